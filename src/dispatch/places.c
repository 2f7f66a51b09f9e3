/*
 * The usable workers of a scheduling pass, ordered by what was free on them at
 * its beginning, so that a task looks only at those where it may fit, and with
 * copies of what decides that, so that it need not look at most of them. A
 * pass only places tasks: what was free at its beginning stays an upper bound.
 */
#include "dispatch.h"

#include <stdlib.h>

struct jr_places {
    GArray *by_free;        /* of jr_place_t */
    GArray *by_best_effort; /* the same, by room for a best-effort task */
};

jr_places_t *
jr_new_places(jr_ctx_t *ctx)
{
    jr_places_t *places = jr_alloc(ctx, sizeof *places);

    places->by_free = g_array_new(FALSE, FALSE, sizeof(jr_place_t));
    places->by_best_effort = g_array_new(FALSE, FALSE, sizeof(jr_place_t));
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
    const jr_place_t *x = a;
    const jr_place_t *y = b;

    if (x->room_milli != y->room_milli) {
        return x->room_milli > y->room_milli ? -1 : 1;
    }
    return (x->rank > y->rank) - (x->rank < y->rank);
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

/* Sorts, and tells the workers where their places are. */
static void
sort_places(GArray *places, bool is_best_effort)
{
    if (places->len > 1) {
        qsort(places->data, places->len, sizeof(jr_place_t), by_room);
    }
    for (guint i = 0; i < places->len; i++) {
        jr_tracked_worker_t *w = g_array_index(places, jr_place_t, i).w;

        w->place[is_best_effort] = i;
    }
}

void
jr_places_refresh(jr_dispatch_t *d)
{
    jr_places_t *places = d->places;
    jr_tracked_worker_t *w;

    jr_places_clear(places);
    TAILQ_FOREACH (w, &d->workers, link) {
        jr_place_t place;

        w->place[false] = w->place[true] = G_MAXUINT;
        if (!w->is_usable) {
            continue;
        }
        place = make_place(w);
        place.room_milli = place.free_milli;
        g_array_append_val(places->by_free, place);
        place.room_milli = jr_choose_best_effort_room(w);
        if (jr_guard_allows(d, w)) {
            g_array_append_val(places->by_best_effort, place);
        }
    }
    sort_places(places->by_free, false);
    sort_places(places->by_best_effort, true);
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
