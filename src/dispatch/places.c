/*
 * The usable workers of a scheduling pass, ordered by what was free on them at
 * its beginning, so that a task looks only at those where it may fit, and with
 * copies of what decides that, so that it need not look at most of them. A
 * pass only places tasks: what was free at its beginning stays an upper bound.
 */
#include "dispatch.h"

#include <stdlib.h>

/* A place that is to be sorted, small as it is moved often for that. */
typedef struct {
    int64_t room_milli;
    jr_tracked_worker_t *w;
} sort_key_t;

struct jr_places {
    GArray *by_free;        /* of jr_place_t */
    GArray *by_best_effort; /* the same, by room for a best-effort task */
    GArray *keys;           /* of those that are being sorted */
};

jr_places_t *
jr_new_places(jr_ctx_t *ctx)
{
    jr_places_t *places = jr_alloc(ctx, sizeof *places);

    places->by_free = g_array_new(FALSE, FALSE, sizeof(jr_place_t));
    places->by_best_effort = g_array_new(FALSE, FALSE, sizeof(jr_place_t));
    places->keys = g_array_new(FALSE, FALSE, sizeof(sort_key_t));
    return places;
}

void
jr_drop_places(jr_ctx_t *ctx, jr_places_t *places)
{
    if (places == NULL) {
        return;
    }
    g_array_unref(places->by_free);
    g_array_unref(places->by_best_effort);
    g_array_unref(places->keys);
    jr_free(ctx, places);
}

void
jr_places_clear(jr_places_t *places)
{
    g_array_set_size(places->by_free, 0);
    g_array_set_size(places->by_best_effort, 0);
}

/* The most room first; by rank, so that all leaders order them alike. */
static int
by_room(const void *a, const void *b)
{
    const sort_key_t *x = a;
    const sort_key_t *y = b;

    if (x->room_milli != y->room_milli) {
        return x->room_milli > y->room_milli ? -1 : 1;
    }
    return (x->w->rank > y->w->rank) - (x->w->rank < y->w->rank);
}

/* Copies what changes as tasks are placed there. */
static void
copy_state(jr_place_t *place)
{
    const jr_tracked_worker_t *w = place->w;

    place->free_milli = place->capacity_milli - w->used.cpu_milli;
    place->free_mb = w->worker->info->memory_mb - w->used.memory_mb;
    place->best_effort_milli = w->best_effort_milli;
    place->left_milli = jr_choose_left_by_others(w);
    place->n_targets = w->n_targets;
    place->target_image = w->target_image;
    place->is_mixed = w->is_mixed;
}

static jr_place_t
make_place(jr_tracked_worker_t *w)
{
    jr_place_t place = {
        .w = w,
        .rank = w->rank,
        .capacity_milli = w->worker->info->cpu_milli,
        .reserved_milli = w->reserved.cpu_milli,
        .service_delay_ms = w->service_delay_ms,
    };

    copy_state(&place);
    return place;
}

/* Sorts the keys, and tells the workers where their places are. */
static void
fill_sorted(GArray *places, GArray *keys, bool is_best_effort)
{
    if (keys->len > 1) {
        qsort(keys->data, keys->len, sizeof(sort_key_t), by_room);
    }
    g_array_set_size(places, keys->len);
    for (guint i = 0; i < keys->len; i++) {
        const sort_key_t *key = &g_array_index(keys, sort_key_t, i);
        jr_place_t *place = &g_array_index(places, jr_place_t, i);

        *place = make_place(key->w);
        place->room_milli = key->room_milli;
        key->w->place[is_best_effort] = i;
    }
}

static void
add_key(GArray *keys, jr_tracked_worker_t *w, int64_t room_milli)
{
    sort_key_t key = {.room_milli = room_milli, .w = w};

    g_array_append_val(keys, key);
}

static void
refresh_by_free(jr_dispatch_t *d)
{
    jr_places_t *places = d->places;
    jr_tracked_worker_t *w;

    g_array_set_size(places->keys, 0);
    TAILQ_FOREACH (w, &d->workers, link) {
        w->place[false] = G_MAXUINT;
        if (w->is_usable) {
            add_key(places->keys, w,
                    w->worker->info->cpu_milli - w->used.cpu_milli);
        }
    }
    fill_sorted(places->by_free, places->keys, false);
}

static void
refresh_by_best_effort(jr_dispatch_t *d)
{
    jr_places_t *places = d->places;
    jr_tracked_worker_t *w;

    g_array_set_size(places->keys, 0);
    TAILQ_FOREACH (w, &d->workers, link) {
        w->place[true] = G_MAXUINT;
        if (w->is_usable && jr_guard_allows(d, w)) {
            add_key(places->keys, w, jr_choose_best_effort_room(w));
        }
    }
    fill_sorted(places->by_best_effort, places->keys, true);
}

/* Best-effort tasks are not placed in each pass. */
void
jr_places_refresh(jr_dispatch_t *d)
{
    jr_places_clear(d->places);
    refresh_by_free(d);
    if (d->is_best_effort_turn) {
        refresh_by_best_effort(d);
    }
}

void
jr_places_note(jr_places_t *places, const jr_tracked_worker_t *w)
{
    GArray *arrays[] = {places->by_free, places->by_best_effort};

    for (size_t i = 0; i < G_N_ELEMENTS(arrays); i++) {
        if (w->place[i] < arrays[i]->len) {
            copy_state(&g_array_index(arrays[i], jr_place_t, w->place[i]));
        }
    }
}

const jr_place_t *
jr_places_first(const jr_places_t *places, bool is_best_effort,
                int64_t cpu_milli, size_t *n)
{
    const GArray *array =
        is_best_effort ? places->by_best_effort : places->by_free;
    const jr_place_t *first = (const jr_place_t *)array->data;
    size_t low = 0;
    size_t high = array->len;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (first[middle].room_milli >= cpu_milli) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    *n = low;
    return first;
}
