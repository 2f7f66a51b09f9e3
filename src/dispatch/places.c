/*
 * The usable workers of a scheduling pass, ordered by what is free on them, so
 * that a task looks only at those where it may fit. A pass only places tasks:
 * what was free at its beginning stays an upper bound until its end.
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

    if (x->cpu_milli != y->cpu_milli) {
        return x->cpu_milli > y->cpu_milli ? -1 : 1;
    }
    return (x->rank > y->rank) - (x->rank < y->rank);
}

static void
sort_places(GArray *places)
{
    if (places->len > 1) {
        qsort(places->data, places->len, sizeof(jr_place_t), by_room);
    }
}

void
jr_places_refresh(jr_dispatch_t *d)
{
    jr_places_t *places = d->places;
    jr_tracked_worker_t *w;

    jr_places_clear(places);
    TAILQ_FOREACH (w, &d->workers, link) {
        const Jr__JobWorker *info = w->worker->info;
        jr_place_t place = {
            .w = w,
            .rank = w->rank,
            .cpu_milli = info->cpu_milli - w->used.cpu_milli,
            .memory_mb = info->memory_mb - w->used.memory_mb,
        };

        if (!w->is_usable) {
            continue;
        }
        g_array_append_val(places->by_free, place);
        place.cpu_milli = jr_choose_best_effort_room(w);
        g_array_append_val(places->by_best_effort, place);
    }
    sort_places(places->by_free);
    sort_places(places->by_best_effort);
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

        if (first[middle].cpu_milli >= cpu_milli) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    *n = low;
    return first;
}
