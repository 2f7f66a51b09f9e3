/*
 * The guard limits the slowdown of services: on a host above the limit it
 * first throttles tasks, the one with the most interference for the least
 * lost work first, then evicts one. Throttling is lifted with hysteresis.
 * Between two actions it waits for the lag of the measurements.
 */
#include "coord.h"

#include <math.h>

enum {
    SLOW_HEARTBEATS_TO_ACT = 2, /* consecutive, over the limit */
    /* Extra delay before an eviction, per unit of the eviction weight. */
    EVICTION_DELAY_MS = 3000,
};

/* Fraction of its processors that a throttled task is assumed to use. */
static const double THROTTLED_FRACTION = 0.5;

void
jr_coord_evict(jr_coord_t *coord, jr_task_t *task, const jr_worker_t *worker)
{
    jr_coord_task_local(coord, task)->is_evicting = true;
    jr_count(coord->ctx, JR_C_EVICTIONS);
    jr_log(coord->ctx, JR_EV_TASK_EVICTED, "task %llu of class %.40s from %s",
           (unsigned long long)task->id, task->spec.class_name, worker->name);
}

static double
share_of(const jr_worker_t *worker, const jr_task_t *task)
{
    jr_resources_t size = jr_task_size(task);
    double share =
        (double)size.cpu_milli / (double)MAX(worker->capacity.cpu_milli, 1);

    return task->local.is_throttled ? THROTTLED_FRACTION * share : share;
}

static void
update_loads(jr_coord_t *coord, jr_worker_t *worker,
             const jr_worker_leases_t *leases, int64_t now)
{
    jr_task_t *task;

    jr_host_load_begin(&worker->host_load);
    if (leases != NULL) {
        TAILQ_FOREACH (task, &leases->tasks, on_worker) {
            jr_coord_task_local(coord, task);
            jr_host_load_add(&worker->host_load, task->spec.class_name,
                             share_of(worker, task));
        }
    }
    jr_host_load_end(&worker->host_load, now);
}

/*
 * Slowdown removed by stopping the task, against the work lost since its
 * last checkpoint.
 */
static double
eviction_gain(const jr_coord_t *coord, const jr_worker_t *worker,
              const jr_task_t *task, int64_t now)
{
    double gain = jr_interference_added(coord->model, &worker->host_load,
                                        task->spec.class_name,
                                        share_of(worker, task), now);
    double lost = (double)(now - task->local.checkpoint_at) / 1000.0;

    return gain / (1.0 + lost);
}

static jr_task_t *
most_disruptive_task(jr_coord_t *coord, const jr_worker_t *worker,
                     const jr_worker_leases_t *leases, bool is_throttled,
                     int64_t now)
{
    jr_task_t *task;
    jr_task_t *worst = NULL;

    TAILQ_FOREACH (task, &leases->tasks, on_worker) {
        if (task->local.is_throttled != is_throttled ||
            task->local.is_evicting || task->local.is_expiring ||
            task->local.is_ending || task->cancel_asked) {
            continue;
        }
        if (worst == NULL || eviction_gain(coord, worker, task, now) >
                                 eviction_gain(coord, worker, worst, now)) {
            worst = task;
        }
    }
    return worst;
}

static void
unthrottle_one(jr_coord_t *coord, jr_worker_t *worker,
               const jr_worker_leases_t *leases, int64_t now)
{
    jr_task_t *task = most_disruptive_task(coord, worker, leases, true, now);

    if (task != NULL) {
        task->local.is_throttled = false;
        worker->guard_acted_at = now;
    }
}

static void
throttle_or_evict(jr_coord_t *coord, jr_worker_t *worker,
                  const jr_worker_leases_t *leases, int64_t now)
{
    jr_task_t *task = most_disruptive_task(coord, worker, leases, false, now);
    int eviction_weight =
        coord->rules != NULL ? coord->rules->weights.evictions : 1;

    if (task != NULL) {
        task->local.is_throttled = true;
        jr_count(coord->ctx, JR_C_THROTTLES);
        worker->guard_acted_at = now;
        return;
    }
    /*
     * All tasks are throttled, so evict one; a higher eviction weight makes
     * evictions rarer by delaying them.
     */
    task = most_disruptive_task(coord, worker, leases, true, now);
    if (task != NULL &&
        now - worker->guard_acted_at >=
            JR_SLOWDOWN_LAG_MS + eviction_weight * EVICTION_DELAY_MS) {
        jr_coord_evict(coord, task, worker);
        worker->guard_acted_at = now;
    }
}

void
jr_coord_guard(jr_coord_t *coord, jr_worker_t *worker,
               const jr_worker_leases_t *leases, int64_t now)
{
    double limit = jr_place_slowdown_limit(coord->rules);
    double unthrottle_below = 1.0 + (limit - 1.0) / 2.0;
    double slowdown;

    update_loads(coord, worker, leases, now);
    if (worker->host_load.n_services == 0) {
        return;
    }
    jr_interference_learn(coord->model, &worker->host_load, now);
    slowdown = jr_host_slowdown(&worker->host_load);
    worker->slow_heartbeats =
        slowdown > limit ? worker->slow_heartbeats + 1 : 0;
    if (leases == NULL || now - worker->guard_acted_at < JR_SLOWDOWN_LAG_MS) {
        return;
    }
    if (worker->slow_heartbeats >= SLOW_HEARTBEATS_TO_ACT) {
        throttle_or_evict(coord, worker, leases, now);
    }
    else if (slowdown < unthrottle_below) {
        unthrottle_one(coord, worker, leases, now);
    }
}
