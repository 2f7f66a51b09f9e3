/*
 * The guard keeps services near their usual speed: it throttles the task
 * that disturbs most, then evicts it, and eases again with hysteresis. It
 * waits for the lag of the measurements between two steps.
 */
#include "coord.h"

#include <math.h>

enum {
    OVER_TO_ACT = 2,
    /* Heartbeats to wait with an eviction, for each weight of evictions. */
    PATIENCE_MS = 3000,
};

/* A throttled task is reckoned with this part of its processors. */
static const double THROTTLED_PART = 0.5;

void
jr_coord_evict(jr_coord_t *coord, jr_task_t *task, const jr_worker_t *worker)
{
    jr_coord_soft(coord, task)->is_evicting = true;
    jr_count(coord->ctx, JR_C_EVICTIONS);
    jr_log(coord->ctx, JR_EV_TASK_EVICTED, "task %llu from %s",
           (unsigned long long)task->id, worker->name);
}

static double
share_of(const jr_worker_t *worker, const jr_task_t *task)
{
    jr_resources_t size = jr_task_size(task);
    double share =
        (double)size.cpu_milli / (double)MAX(worker->capacity.cpu_milli, 1);

    return task->local.is_throttled ? THROTTLED_PART * share : share;
}

static void
take_loads(jr_coord_t *coord, jr_worker_t *worker,
           const jr_worker_leases_t *holding, int64_t now)
{
    jr_task_t *task;

    jr_host_load_begin(&worker->host_load);
    if (holding != NULL) {
        TAILQ_FOREACH (task, &holding->tasks, on_worker) {
            jr_coord_soft(coord, task);
            jr_host_load_add(&worker->host_load, task->spec.class_name,
                             share_of(worker, task));
        }
    }
    jr_host_load_end(&worker->host_load, now);
}

/* What the services gain for each unit of work that would be lost. */
static double
worth(const jr_coord_t *coord, const jr_worker_t *worker,
      const jr_task_t *task, int64_t now)
{
    double gain = jr_interference_added(coord->model, &worker->host_load,
                                        task->spec.class_name,
                                        share_of(worker, task), now);
    double lost = (double)(now - task->local.checkpoint_at) / 1000.0;

    return gain / (1.0 + lost);
}

static jr_task_t *
worst_task(jr_coord_t *coord, const jr_worker_t *worker,
           const jr_worker_leases_t *holding, bool is_throttled, int64_t now)
{
    jr_task_t *task;
    jr_task_t *worst = NULL;

    TAILQ_FOREACH (task, &holding->tasks, on_worker) {
        if (task->local.is_throttled != is_throttled ||
            task->local.is_evicting || task->local.is_expiring ||
            task->local.is_ending || task->cancel_asked) {
            continue;
        }
        if (worst == NULL || worth(coord, worker, task, now) >
                                 worth(coord, worker, worst, now)) {
            worst = task;
        }
    }
    return worst;
}

static void
ease(jr_coord_t *coord, jr_worker_t *worker, const jr_worker_leases_t *holding,
     int64_t now)
{
    jr_task_t *task = worst_task(coord, worker, holding, true, now);

    if (task != NULL) {
        task->local.is_throttled = false;
        worker->guard_acted_at = now;
    }
}

static void
restrain(jr_coord_t *coord, jr_worker_t *worker,
         const jr_worker_leases_t *holding, int64_t now)
{
    jr_task_t *task = worst_task(coord, worker, holding, false, now);
    int patience = coord->rules != NULL ? coord->rules->weights.evictions : 1;

    if (task != NULL) {
        task->local.is_throttled = true;
        jr_count(coord->ctx, JR_C_THROTTLES);
        worker->guard_acted_at = now;
        return;
    }
    /* All are throttled: the more evictions weigh, the longer it waits. */
    task = worst_task(coord, worker, holding, true, now);
    if (task != NULL && now - worker->guard_acted_at >=
                            JR_SLOWDOWN_LAG_MS + patience * PATIENCE_MS) {
        jr_coord_evict(coord, task, worker);
        worker->guard_acted_at = now;
    }
}

void
jr_coord_guard(jr_coord_t *coord, jr_worker_t *worker,
               const jr_worker_leases_t *holding, int64_t now)
{
    double limit = jr_place_slowdown_limit(coord->rules);
    double clear = 1.0 + (limit - 1.0) / 2.0;
    double slowdown;

    take_loads(coord, worker, holding, now);
    if (worker->host_load.n_services == 0) {
        return;
    }
    jr_interference_learn(coord->model, &worker->host_load, now);
    slowdown = jr_host_slowdown(&worker->host_load);
    worker->guard_over = slowdown > limit ? worker->guard_over + 1 : 0;
    if (holding == NULL || now - worker->guard_acted_at < JR_SLOWDOWN_LAG_MS) {
        return;
    }
    if (worker->guard_over >= OVER_TO_ACT) {
        restrain(coord, worker, holding, now);
    }
    else if (slowdown < clear) {
        ease(coord, worker, holding, now);
    }
}
