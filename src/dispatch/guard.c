/*
 * Protects services from best-effort tasks. The tail latencies that workers
 * list train the model of tails, which determines the paces of best-effort
 * tasks. Where this does not help within EVICT_AFTER_MS, all best-effort tasks
 * are evicted for EVICTED_MS.
 */
#include "dispatch.h"

#include <math.h>

enum {
    EVICT_AFTER_MS = 2000, /* over a target beside best-effort tasks */
    EVICTED_MS = 2000,     /* without them, to see whether it helps */
    /*
     * The longest wait is this plus the gap; the gap bounds the total load by
     * all workers.
     */
    WAIT_MS = 500,
    GAP_MS_PER_WORKER = 1,
};

static const double TARGET = 1.0; /* tail latency divided by target */
/* Weight of the newest error in the moving average of a task's errors. */
static const double ERROR_GAIN = 0.3;
/* Headroom; bounds what one error adds to the average. */
static const double ERROR_MAX = 1.0;

bool
jr_guard_is_needed(const jr_tracked_worker_t *w)
{
    return w->n_services > 0 && w->best_effort_milli > 0;
}

/*
 * Least time between two plans for one worker. Its answers may come sooner,
 * one with each run that ends.
 */
static int64_t
gap_of(const jr_dispatch_t *d)
{
    int64_t gap_ms = (int64_t)HASH_COUNT(d->jobs->workers) * GAP_MS_PER_WORKER;

    return MIN(gap_ms, d->options.hold_wait_ms);
}

/* Counted from the latest plan, not from an answer that came sooner. */
int64_t
jr_guard_wait_ms(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    int64_t due_at = w->guarded_at + gap_of(d) + WAIT_MS;

    return CLAMP(due_at - d->now, WAIT_MS, gap_of(d) + WAIT_MS);
}

static void
evict_run(jr_dispatch_t *d, jr_tracked_worker_t *w, jr_run_t *run,
          const jr_run_t *service)
{
    char text[JR_RUN_TEXT_BYTES];

    jr_log(
        d->ctx, JR_EV_FILLER_STOPPED,
        "task=%s worker=%s image=%s service=%s ratio=%.2f alone=%.2f "
        "slope=%.2f pace=%u ran_ms=%lld",
        jr_run_text(run, text, sizeof text), w->worker->info->id,
        jr_task_step(run->task)->image, jr_task_step(service->task)->image,
        jr_loads_ratio(service), jr_loads_headroom(d, service),
        jr_pace_slope(d, service, run->image), run->pace_wanted,
        (long long)(run->confirmed_at > 0 ? d->now - run->confirmed_at : 0));
    jr_count(d->ctx, JR_C_EVICTIONS);
    jr_run_stop(d, run);
}

/*
 * The model may wrongly predict that no best-effort task does any harm: when a
 * service stays over its target, all of them are evicted.
 */
static void
evict_best_effort(jr_dispatch_t *d, jr_tracked_worker_t *w,
                  const jr_run_t *service)
{
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_task_step(run->task)->filler && !run->is_stop_wanted) {
            evict_run(d, w, run, service);
        }
    }
    w->no_best_effort_until = d->now + EVICTED_MS;
}

/* The service furthest over its target, NULL for none. */
static const jr_run_t *
find_over_target(const jr_tracked_worker_t *w)
{
    const jr_run_t *worst = NULL;
    const jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_loads_has_target(run) && jr_loads_is_serving(run) &&
            jr_loads_ratio(run) > TARGET &&
            (worst == NULL || jr_loads_ratio(run) > jr_loads_ratio(worst))) {
            worst = run;
        }
    }
    return worst;
}

static void
check_targets(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    const jr_run_t *service = find_over_target(w);

    if (service == NULL) {
        w->over_target_since = 0;
        w->interference_since = 0;
        return;
    }
    w->over_target_since =
        w->over_target_since != 0 ? w->over_target_since : d->now;
    if (w->best_effort_milli == 0) {
        w->interference_since = 0;
    }
    else if (w->interference_since == 0) {
        w->interference_since = d->now;
    }
    else if (d->now - w->interference_since >= EVICT_AFTER_MS) {
        evict_best_effort(d, w, service);
        w->interference_since = 0;
    }
}

/*
 * A service that stays over its target without best-effort tasks gains nothing
 * from keeping them away.
 */
bool
jr_guard_allows(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return d->now >= w->no_best_effort_until &&
           (w->over_target_since == 0 ||
            d->now - w->over_target_since >= EVICT_AFTER_MS + EVICTED_MS);
}

/* Averages the predicted less the measured headroom of this task. */
static void
note_error(jr_dispatch_t *d, jr_run_t *run, const jr_tail_load_t *loads,
           size_t n)
{
    double expected =
        jr_tails_base_headroom(d->tails, run->task->job->id, d->now) -
        jr_tails_headroom_loss(d->tails, run->image, loads, n);
    double error =
        CLAMP(expected - 1.0 / jr_loads_ratio(run), -ERROR_MAX, ERROR_MAX);

    run->tail_error += ERROR_GAIN * (error - run->tail_error);
}

static void
learn(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_tail_load_t loads[JR_TAIL_LOADS_MAX];
    size_t n = jr_loads_measured(w, loads);
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        jr_tail_sample_t seen;

        if (!jr_loads_has_target(run) || !jr_loads_is_serving(run) ||
            run->gauge == 0) {
            continue;
        }
        seen = (jr_tail_sample_t){
            .service = run->image,
            .job = run->task->job->id,
            .tail_ms = run->gauge,
            .target_ms = jr_task_step(run->task)->tail_target_ms,
            .loads = loads,
            .n_loads = n,
            .at_ms = d->now,
        };
        jr_tails_learn(d->tails, &seen);
        note_error(d, run, loads, n);
    }
}

/*
 * With each answer when a service begins to exceed its target: the model may
 * not believe the first measurement.
 */
static bool
is_plan_due(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    int64_t since = w->over_target_since != 0 ? w->over_target_since : d->now;

    return d->now - w->guarded_at >= gap_of(d) ||
           (d->now - since < gap_of(d) && find_over_target(w) != NULL);
}

void
jr_guard_worker(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (is_plan_due(d, w)) {
        w->guarded_at = d->now;
        learn(d, w);
        jr_pace_update(d, w);
        w->has_slowed = jr_pace_has_slowed(w);
    }
    check_targets(d, w);
    w->is_load_stale = true;
}
