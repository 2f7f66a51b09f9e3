/* The choice of tasks to stop. */
#include "jayrelay/preempt.h"

#include <stdlib.h>

enum { MILLI = 1000 };

/* Stopping some tasks of one worker. */
typedef struct {
    const jr_preempt_worker_t *worker;
    size_t gained; /* urgent tasks that fit then */
    int64_t lost;  /* milliseconds of one processor */
    size_t n;      /* the cheapest eligible victims */
} option_t;

static bool
is_eligible(const jr_preempt_request_t *request,
            const jr_preempt_victim_t *victim)
{
    return victim->stops < JR_PREEMPT_STOPS_MAX &&
           victim->ends_in_ms > request->stop_ms;
}

/* The processor time that is not available to others while it is repeated. */
static int64_t
lost_by(const jr_preempt_victim_t *victim)
{
    return victim->lost_ms * victim->size.cpu_milli / MILLI;
}

static size_t
count_fitting(const jr_preempt_size_t *need, const jr_preempt_size_t *free)
{
    int64_t by_cpu =
        need->cpu_milli > 0 ? free->cpu_milli / need->cpu_milli : INT64_MAX;
    int64_t by_memory =
        need->memory_mb > 0 ? free->memory_mb / need->memory_mb : INT64_MAX;
    int64_t n = by_cpu < by_memory ? by_cpu : by_memory;

    if (n == INT64_MAX) {
        return 0; /* a task that needs nothing fits everywhere */
    }
    return n > 0 ? (size_t)n : 0;
}

/* Is @a lost for less per processor that it frees? */
static bool
is_cheaper(const jr_preempt_victim_t *a, const jr_preempt_victim_t *b)
{
    if (a->lost_ms != b->lost_ms) {
        return a->lost_ms < b->lost_ms;
    }
    if (a->stops != b->stops) {
        return a->stops < b->stops;
    }
    return a->size.cpu_milli < b->size.cpu_milli;
}

/* The cheapest eligible victim that comes after @previous in that order. */
static const jr_preempt_victim_t *
next_victim(const jr_preempt_request_t *request,
            const jr_preempt_worker_t *worker,
            const jr_preempt_victim_t *previous)
{
    const jr_preempt_victim_t *best = NULL;

    for (size_t i = 0; i < worker->n_victims; i++) {
        const jr_preempt_victim_t *v = &worker->victims[i];
        bool is_later = previous == NULL || is_cheaper(previous, v) ||
                        (!is_cheaper(v, previous) && v > previous);

        if (is_eligible(request, v) && is_later &&
            (best == NULL || is_cheaper(v, best))) {
            best = v;
        }
    }
    return best;
}

/*
 * Less is lost for each urgent task that fits. The products of what a worker
 * and a client may say need more than 64 bits.
 */
static bool
is_better(const option_t *a, const option_t *b)
{
    double cost_a = (double)a->lost * (double)b->gained;
    double cost_b = (double)b->lost * (double)a->gained;

    return cost_a != cost_b ? cost_a < cost_b : a->n < b->n;
}

/* The cheapest victims of a worker, as many as serve best. */
static option_t
best_option(const jr_preempt_request_t *request,
            const jr_preempt_worker_t *worker)
{
    size_t fits_now = count_fitting(&request->need, &worker->free);
    option_t best = {.worker = worker};
    option_t option = best;
    jr_preempt_size_t free = worker->free;
    const jr_preempt_victim_t *v = NULL;

    while ((v = next_victim(request, worker, v)) != NULL) {
        free.cpu_milli += v->size.cpu_milli;
        free.memory_mb += v->size.memory_mb;
        option.n++;
        option.lost += lost_by(v);
        option.gained = count_fitting(&request->need, &free) - fits_now;
        if (option.gained > 0 &&
            (best.gained == 0 || is_better(&option, &best))) {
            best = option;
        }
    }
    return best;
}

static int
by_cost(const void *a, const void *b)
{
    const option_t *x = a;
    const option_t *y = b;

    if (is_better(x, y)) {
        return -1;
    }
    if (is_better(y, x)) {
        return 1;
    }
    return (x->worker > y->worker) - (x->worker < y->worker);
}

static void
take(const jr_preempt_request_t *request, const option_t *option,
     jr_preempt_result_t *result)
{
    const jr_preempt_victim_t *v = NULL;

    for (size_t i = 0; i < option->n; i++) {
        v = next_victim(request, option->worker, v);
        result->chosen[result->n++] = v;
    }
    result->gained += option->gained;
    result->lost += option->lost;
}

void
jr_preempt_choose(jr_ctx_t *ctx, const jr_preempt_request_t *request,
                  const jr_preempt_worker_t *workers, size_t n,
                  jr_preempt_result_t *result)
{
    option_t *options = jr_alloc(ctx, (n + 1) * sizeof *options);
    size_t n_options = 0;

    result->n = 0;
    result->gained = 0;
    result->lost = 0;
    for (size_t i = 0; i < n; i++) {
        option_t option = best_option(request, &workers[i]);

        if (option.gained > 0) {
            options[n_options++] = option;
        }
    }
    qsort(options, n_options, sizeof *options, by_cost);
    for (size_t i = 0; i < n_options && result->gained < request->wanted;
         i++) {
        if (result->lost + options[i].lost <= request->lost_max) {
            take(request, &options[i], result);
        }
    }
    jr_free(ctx, options);
}
