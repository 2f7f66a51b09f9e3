/* Best-effort tasks and services on one worker, as input to the tail model. */
#include "dispatch.h"

#include <string.h>

enum {
    SERVING_PERCENT = 100, /* listed by a service that is ready */
    FORECAST_MS = 600,     /* until the next list of the worker */
    REFRESH_MS = 200,      /* unchanged loads are computed again after this */
};

double
jr_loads_share(const jr_tracked_worker_t *w, const Jr__JobStep *step)
{
    uint32_t total_milli = w->worker->info->cpu_milli;

    return total_milli > 0 ? (double)step->cpu_milli / total_milli : 0.0;
}

bool
jr_loads_has_target(const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return step->service && step->tail_target_ms > 0;
}

bool
jr_loads_is_serving(const jr_run_t *run)
{
    return run->state == JR_RUN_RUNNING && run->percent >= SERVING_PERCENT;
}

double
jr_loads_ratio(const jr_run_t *run)
{
    return (double)run->gauge / jr_task_step(run->task)->tail_target_ms;
}

static size_t
add_load(jr_tail_load_t *loads, size_t n, jr_image_t image, double share)
{
    for (size_t i = 0; i < n; i++) {
        if (loads[i].image == image) {
            loads[i].share += share;
            return n;
        }
    }
    if (n < JR_TAIL_LOADS_MAX && share > 0.0) {
        loads[n++] = (jr_tail_load_t){.image = image, .share = share};
    }
    return n;
}

size_t
jr_loads_measured(const jr_tracked_worker_t *w, jr_tail_load_t *loads)
{
    double total_milli = w->worker->info->cpu_milli;
    const jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_task_step(run->task)->filler && total_milli > 0.0) {
            n = add_load(loads, n, run->image, run->gauge / total_milli);
        }
    }
    return n;
}

double
jr_loads_headroom(const jr_dispatch_t *d, const jr_run_t *service)
{
    return MIN(jr_tails_base_headroom(d->tails, service->task->job->id,
                                      d->now),
               jr_tails_base_headroom(d->tails, service->task->job->id,
                                      d->now + FORECAST_MS)) -
           MAX(service->tail_error, 0.0);
}

static void
add_tail(jr_dispatch_t *d, jr_tracked_worker_t *w, const jr_run_t *run)
{
    double taken =
        jr_tails_headroom_loss(d->tails, run->image, w->loads, w->n_loads);
    jr_worker_tail_t tail = {
        .image = run->image,
        .headroom = jr_loads_headroom(d, run) - taken,
        .min_headroom =
            jr_tails_base_headroom_min(d->tails, run->task->job->id) - taken,
    };

    for (size_t i = 0; i < w->n_tails; i++) {
        jr_worker_tail_t *other = &w->tails[i];

        if (other->image == run->image) {
            other->headroom = MIN(other->headroom, tail.headroom);
            other->min_headroom = MIN(other->min_headroom, tail.min_headroom);
            return;
        }
    }
    if (w->n_tails < JR_TAIL_LOADS_MAX) {
        w->tails[w->n_tails++] = tail;
    }
}

bool
jr_loads_are_fresh(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return !w->is_load_stale && d->now - w->loads_at < REFRESH_MS;
}

void
jr_loads_refresh(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    const jr_run_t *run;

    if (jr_loads_are_fresh(d, w)) {
        return;
    }
    memset(w->refused_milli, 0, sizeof w->refused_milli);
    w->is_load_stale = false;
    w->loads_at = d->now;
    w->n_loads = 0;
    w->n_tails = 0;
    TAILQ_FOREACH (run, &w->runs, link) {
        const Jr__JobStep *step = jr_task_step(run->task);

        if (step->filler) {
            w->n_loads = add_load(w->loads, w->n_loads, run->image,
                                  jr_loads_share(w, step) * run->pace_wanted /
                                      JR_PACE_FULL);
        }
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_loads_has_target(run)) {
            add_tail(d, w, run);
        }
    }
}
