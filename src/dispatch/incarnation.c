/*
 * Incarnations of workers. A worker that restarts under its id executes orders
 * to its earlier incarnations until it has received a higher fencing token:
 * they may begin runs there, and give leases that end by another clock.
 */
#include "dispatch.h"

enum {
    /* Clocks of control hosts may differ, or be set, by so much. */
    WALL_STEP_MS = 5000,
    PERMILLE = 1000,
};

/*
 * May an incarnation that is not known get orders until that time, and hold a
 * lease by them? A list since then was of the known one.
 */
static bool
may_hold_lease(const jr_dispatch_t *d, const jr_run_t *run, int64_t until)
{
    return run->worker->answered_at < until &&
           d->now < until + jr_accepted_lease_ms(d);
}

/*
 * A start without an answer may have been executed when it was sent. Its
 * worker may as well be gone for good: a service must run again soon, and is
 * not held for that.
 */
static bool
may_have_begun_unheard(const jr_dispatch_t *d, const jr_run_t *run)
{
    int64_t sent_until = run->late_start_until - JR_LATE_ORDER_MS;

    return !jr_task_step(run->task)->service &&
           (run->is_start_pending || may_hold_lease(d, run, sent_until));
}

bool
jr_run_may_be_elsewhere(const jr_dispatch_t *d, const jr_run_t *run)
{
    return !run->is_placed && (may_hold_lease(d, run, run->unplaced_until) ||
                               may_have_begun_unheard(d, run));
}

bool
jr_run_may_begin_late(const jr_dispatch_t *d, const jr_run_t *run)
{
    return run->is_start_pending || jr_run_may_be_elsewhere(d, run) ||
           may_hold_lease(d, run, run->late_start_until);
}

/* No start order of the run can reach a new incarnation of its worker. */
static bool
has_ended_with_incarnation(const jr_dispatch_t *d, const jr_run_t *run)
{
    int64_t settled_in = run->task->settled_in; /* by an earlier leader */
    bool was_placed =
        run->is_placed || (run->is_inherited && settled_in != 0 &&
                           settled_in < run->worker->incarnation);

    return was_placed && !jr_run_may_begin_late(d, run);
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
    if (has_ended_with_incarnation(d, run)) {
        jr_run_release(d, run, "restarted");
        return;
    }
    if (run->silent_since == 0) {
        run->silent_since = jr_tracked_worker_silent_since(run->worker);
    }
    jr_run_set_state(run, JR_RUN_UNCONFIRMED);
    run->is_placed = false;
    run->unplaced_until = d->now + JR_LATE_ORDER_MS;
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

/* Orders to earlier incarnations give no lease from @excluded_at on. */
static void
bound_stale_leases(const jr_dispatch_t *d, jr_tracked_worker_t *w,
                   int64_t excluded_at)
{
    int64_t last_at = MIN(excluded_at, w->restarted_at + JR_LATE_ORDER_MS);

    if (w->restarted_at != 0) {
        w->stale_leases_until = last_at + jr_accepted_lease_ms(d);
    }
}

void
jr_incarnation_on_added(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (d->removed_at != 0 && d->now < d->removed_at + JR_LATE_ORDER_MS) {
        w->restarted_at = d->now;
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

/* The earlier leader may have sent its start shortly before the election. */
static void
inherit_run(jr_dispatch_t *d, jr_run_t *run)
{
    run->is_settled = run->task->settled_in == run->worker->incarnation;
    if (run->task->settled_in == 0) {
        run->late_start_until =
            d->now + d->options.order_age_ms + JR_LATE_ORDER_MS;
    }
}

void
jr_incarnation_inherit(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;

    w->restarted_at = restarted_at(d, w->worker->info);
    /* Of settled runs: their leader had excluded the orders by its token. */
    bound_stale_leases(d, w, d->now + d->options.order_age_ms);
    TAILQ_FOREACH (run, &w->runs, link) {
        inherit_run(d, run);
    }
}

/* Of the known incarnation: its clock was not earlier at that time. */
static int64_t
earliest_clock_ms(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
                  int64_t at)
{
    int64_t passed_ms = at - w->clock_at;
    int64_t drift_ms = ABS(passed_ms) * d->options.drift_permille / PERMILLE;

    return w->clock_ms + passed_ms - drift_ms;
}

/* Can the clock of the answer be compared with that of the worker? */
static bool
has_clock(const jr_sent_t *sent, const jr_answer_t *answer)
{
    const jr_tracked_worker_t *w = sent->worker;

    return answer->clock_ms > 0 && w->clock_at != 0 &&
           sent->incarnation == w->incarnation;
}

bool
jr_incarnation_is_later(const jr_dispatch_t *d, const jr_sent_t *sent,
                        const jr_answer_t *answer)
{
    return has_clock(sent, answer) &&
           answer->clock_ms <
               earliest_clock_ms(d, sent->worker, sent->sent_at);
}

/*
 * The clock of a later incarnation starts anew, when the known one had
 * answered for the last time.
 */
static bool
is_known(const jr_dispatch_t *d, const jr_sent_t *sent,
         const jr_answer_t *answer)
{
    return has_clock(sent, answer) &&
           !jr_incarnation_is_later(d, sent, answer) &&
           answer->clock_ms > d->now - sent->worker->answered_at;
}

/*
 * An order that was executed is not executed again; but only a list names the
 * incarnation, where the clock does not tell.
 */
void
jr_incarnation_on_start_answer(const jr_dispatch_t *d, const jr_sent_t *sent,
                               const jr_answer_t *answer)
{
    jr_run_t *run = sent->run;

    run->is_start_pending = false;
    switch (answer->kind) {
    case JR_ANSWER_UNKNOWN:
        run->late_start_until = d->now + JR_LATE_ORDER_MS;
        break;
    case JR_ANSWER_DONE:
        run->is_placed |= is_known(d, sent, answer);
        run->unplaced_until = d->now + JR_LATE_ORDER_MS;
        break;
    default:
        break;
    }
}
