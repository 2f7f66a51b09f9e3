/*
 * Incarnations of workers. A worker that restarts under its id executes orders
 * to its earlier incarnations until it has received a higher fencing token:
 * they give leases there that end by another clock.
 */
#include "dispatch.h"

enum {
    /* Clocks of control hosts may differ, or be set, by so much. */
    WALL_STEP_MS = 5000,
};

/* No start order of the run can reach a new incarnation of its worker. */
static bool
has_ended_with_incarnation(const jr_run_t *run)
{
    int64_t settled_in = run->task->settled_in;

    if (run->is_inherited) {
        return settled_in != 0 && settled_in < run->worker->incarnation;
    }
    return run->is_listed && !run->is_outcome_unknown && run->serial == 0;
}

/*
 * The run ended with the earlier incarnation; but a start order may have
 * reached the new one, or may yet. Then the next list decides: the higher
 * fencing token of that renewal excludes orders to the earlier incarnation.
 */
static void
restart_run(jr_dispatch_t *d, jr_run_t *run)
{
    if (run->state == JR_RUN_RELEASING || run->state == JR_RUN_PROPOSED) {
        return;
    }
    if (has_ended_with_incarnation(run)) {
        jr_run_release(d, run, "restarted");
        return;
    }
    run->state = JR_RUN_UNCONFIRMED;
    run->is_listed = false;
    run->stop_acked_at = 0;
}

void
jr_tracked_worker_restart(jr_dispatch_t *d, jr_tracked_worker_t *w,
                          int64_t incarnation)
{
    jr_run_t *run;

    jr_log(d->ctx, JR_EV_WORKER_LIFE, "worker=%s born=%lld was=%lld",
           w->worker->info->id, (long long)incarnation,
           (long long)w->incarnation);
    jr_crash_note(d, w);
    jr_tracked_worker_forget_orphans(d, w);
    w->incarnation = incarnation;
    w->fence_epoch = ++d->fence_epoch;
    w->renewal_serial = 0; /* it was sent to the earlier incarnation */
    w->has_ended = false;
    w->has_restarted = true;
    w->is_leaving = false;
    w->is_draining = false;
    w->left_at = 0;
    w->sequence = 0;
    w->clock_at = 0;
    w->renewal_expires_ms = 0;
    w->renewed_until_ms = 0;
    w->expires_max_ms = 0; /* its clock starts anew */
    w->is_synced = false;
    w->inherited_until = 0;
    w->late_orders_until = d->now + JR_LATE_ORDER_MS + jr_longest_lease_ms(d);
    w->restarted_at = d->now;
    w->stale_leases_until = 0;
    w->failure_streak = 0;
    w->quarantined_until = 0;
    w->quarantine_ms = 0;
    jr_worker_quality_on_restart(w);
    w->is_end_pending = false;
    w->renewal_at = d->now;
    TAILQ_FOREACH (run, &w->runs, link) {
        restart_run(d, run);
    }
}

/* Orders to earlier incarnations are executed before @excluded_at. */
static void
bound_stale_leases(const jr_dispatch_t *d, jr_tracked_worker_t *w,
                   int64_t excluded_at)
{
    int64_t last_at = MIN(excluded_at, w->restarted_at + JR_LATE_ORDER_MS);
    int64_t until = last_at + jr_accepted_lease_ms(d);

    if (w->restarted_at != 0) {
        w->stale_leases_until = w->stale_leases_until == 0
                                    ? until
                                    : MIN(w->stale_leases_until, until);
    }
}

void
jr_incarnation_on_synced(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    bound_stale_leases(d, w, d->now);
}

/* When the restart came into the log, or later. */
static int64_t
restarted_at(const jr_dispatch_t *d, const Jr__JobWorker *info)
{
    int64_t age_ms = d->jobs->now - info->restarted_ms - WALL_STEP_MS;

    return info->restarted_ms == 0 ? 0 : MAX(d->now - MAX(age_ms, 0), 1);
}

void
jr_incarnation_inherit(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    w->restarted_at = restarted_at(d, w->worker->info);
    bound_stale_leases(d, w, d->now + d->options.order_age_ms);
}
