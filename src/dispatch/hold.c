/* Lease renewals, and the lists of runs and ends in their answers. */
#include "dispatch.h"

#include <string.h>

enum {
    ENDED_ROWS_MAX = 500, /* most ends that a worker lists at a time */
    LEFT_WAIT_MS = 250,   /* longest wait of a renewal for a leaving worker */
    DRAIN_WAIT_MS = 500,  /* the same while it drains: its lease is short */
    BACKOFF_MIN_MS = 250, /* first delay after a failed renewal; doubles */
    BACKOFF_MAX_MS = 2000,
    RENEWAL_LATE_MS = 100, /* many turns of a leader that has time */
    /* Of a worker that may have restarted: its tasks wait for the answer. */
    RESTART_ANSWER_MS = JR_ANSWER_TIMEOUT_MS / 2,
};

/* No clock of a worker is later; one that is said to be is not known. */
static const int64_t CLOCK_MAX_MS = INT64_MAX / 4;

/*
 * While ends are on their way to the log, the worker would only list them
 * again, and at once. But the log may be slow, and the lease must not expire
 * meanwhile.
 */
static bool
awaits_log(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return w->is_end_pending &&
           (w->clock_at == 0 || jr_tracked_worker_lease_left_ms(d, w) >
                                    jr_tracked_worker_lease_ms(d, w) / 2);
}

bool
jr_renewal_is_due(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return w->renewal_serial == 0 && !w->has_ended &&
           d->now >= w->renewal_at &&
           (!awaits_log(d, w) || jr_restart_is_asked(w));
}

bool
jr_renewal_is_late(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return d->now - w->renewal_at > RENEWAL_LATE_MS;
}

/* How long the worker may wait for an end before it answers. */
static int64_t
renewal_wait_ms(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    int64_t wait_ms = d->options.hold_wait_ms;

    if (!w->is_synced || w->suspect_at != 0 || jr_restart_is_asked(w)) {
        return 0;
    }
    if (jr_guard_is_needed(w)) {
        wait_ms = MIN(wait_ms, jr_guard_wait_ms(d, w));
    }
    if (w->is_draining) {
        wait_ms = MIN(wait_ms, DRAIN_WAIT_MS);
    }
    if (w->left_at != 0) {
        wait_ms = MIN(wait_ms, LEFT_WAIT_MS);
    }
    return wait_ms;
}

/* What is known of one incarnation is not sent to what may be another. */
void
jr_renewal_order(jr_dispatch_t *d, jr_tracked_worker_t *w, jr_order_t *order)
{
    int64_t wait_ms = renewal_wait_ms(d, w);
    bool extends_lease =
        jr_tracked_worker_may_extend_lease(w) && !jr_restart_is_asked(w);
    bool knows_ends =
        w->worker->info->born == w->incarnation && !jr_restart_is_asked(w);

    *order = (jr_order_t){
        .kind = JR_ORDER_RENEW,
        .timeout_ms = jr_restart_is_asked(w) ? RESTART_ANSWER_MS
                                             : JR_ANSWER_TIMEOUT_MS + wait_ms,
        .as.renew = {.expires_ms =
                         extends_lease ? jr_tracked_worker_lease_end(d, w) : 0,
                     .ends_seen = knows_ends ? w->worker->info->ends_seen : 0,
                     .wait_ms = wait_ms},
    };
    w->renewal_expires_ms = order->as.renew.expires_ms;
    w->is_renewal_late = jr_renewal_is_late(d, w);
}

static jr_run_t *
find_run(jr_dispatch_t *d, const jr_tracked_worker_t *w,
         const Jr__JobRun *name)
{
    jr_job_task_t *task = jr_jobs_task(d->jobs, name);

    if (task == NULL || task->run == NULL || task->run->worker != w ||
        task->run->attempt != name->attempt) {
        return NULL;
    }
    return task->run;
}

/* Says where the task of an orphan run is granted now. */
static void
log_orphan(jr_dispatch_t *d, const jr_tracked_worker_t *w,
           const Jr__JobRun *name, const jr_run_t *granted)
{
    jr_log_job(d->ctx, JR_EV_RUN_STRAY, name->job,
               "task=%016llx.%u.%u.%u attempt=%u worker=%s born=%lld "
               "granted_to=%s granted_attempt=%u granted_state=%s "
               "granted_born=%lld",
               (unsigned long long)name->job, name->occurrence, name->step,
               name->index, name->attempt, w->worker->info->id,
               (long long)w->incarnation,
               granted != NULL ? granted->worker->worker->info->id : "-",
               granted != NULL ? granted->attempt : 0,
               granted != NULL ? jr_run_state_name(granted->state) : "-",
               granted != NULL ? (long long)granted->incarnation : 0);
}

/*
 * The worker runs a task that no grant in the log names: a start order arrived
 * too late.
 */
static void
stop_orphan(jr_dispatch_t *d, jr_tracked_worker_t *w, const Jr__JobRun *name)
{
    const jr_job_task_t *task = jr_jobs_task(d->jobs, name);
    const jr_run_t *granted = task != NULL ? task->run : NULL;

    jr_count(d->ctx, JR_C_RUNS_STRAY);
    if (granted != NULL && granted->worker != w &&
        granted->state == JR_RUN_RUNNING) {
        jr_count(d->ctx, JR_C_RUNS_DOUBLED);
    }
    log_orphan(d, w, name, granted);
    jr_tracked_worker_add_orphan(d, w, name);
}

static void
note_running(jr_dispatch_t *d, jr_run_t *run, const jr_running_t *row)
{
    if (run->state == JR_RUN_UNCONFIRMED || run->state == JR_RUN_STARTING) {
        jr_run_set_state(run, JR_RUN_RUNNING);
        run->percent_at = d->now;
    }
    if (run->confirmed_at == 0) {
        run->confirmed_at = d->now;
    }
    jr_begun_note(d, run);
    run->is_placed = true;
    run->silent_since = 0;
    run->crashed_after_ms = 0;
    jr_worker_quality_on_progress(d, run, row->percent);
    if (row->percent != run->percent) {
        run->percent = row->percent;
        run->percent_at = d->now;
    }
    jr_health_running(d, run);
    run->gauge = row->gauge;
    if (run->pace_wanted < JR_PACE_FULL) {
        run->percent_at = d->now; /* a slowed task is not stalled */
    }
    if (g_strcmp0(run->checkpoint, row->checkpoint) != 0) {
        jr_free(d->ctx, run->checkpoint);
        run->checkpoint = jr_strdup(d->ctx, row->checkpoint);
    }
    if (run->is_stop_wanted && run->state == JR_RUN_RUNNING) {
        jr_run_stop(d, run);
    }
}

static void
note_absent(jr_dispatch_t *d, jr_run_t *run, int64_t sent_at)
{
    switch (run->state) {
    case JR_RUN_STARTING:
        /* The stop excludes a start order that may still arrive. */
        if (run->withheld_at != 0 && run->withheld_at < sent_at) {
            jr_run_stop(d, run);
        }
        break;
    case JR_RUN_UNCONFIRMED:
        /*
         * The fencing token of the renewal excludes start orders to earlier
         * incarnations, and of earlier leaders.
         */
        if (run->confirmed_at < sent_at) {
            run->is_absent = true;
            jr_run_release(d, run, "not-there");
        }
        break;
    case JR_RUN_RUNNING:
        if (run->confirmed_at < sent_at) {
            jr_run_release(d, run, "vanished");
        }
        break;
    case JR_RUN_STOPPING:
        if (run->stop_acked_at != 0 && run->stop_acked_at < sent_at) {
            jr_run_release(d, run, "stopped-before-start");
        }
        break;
    default:
        break;
    }
}

/*
 * An earlier attempt of a task that is granted to this worker runs there: the
 * current run counts as listed, so that the task does not go to another worker
 * before that attempt has ended.
 */
static void
mark_listed_task(jr_dispatch_t *d, const jr_tracked_worker_t *w,
                 const Jr__JobRun *name, uint64_t serial)
{
    const jr_job_task_t *task = jr_jobs_task(d->jobs, name);

    if (task != NULL && task->run != NULL && task->run->worker == w) {
        task->run->listed_in = serial;
    }
}

/*
 * Compares the runs of the worker with its lists. A run that is missing there
 * has ended, unless it was confirmed after the renewal was sent, or the list
 * of ends is full.
 */
static void
reconcile(jr_dispatch_t *d, jr_tracked_worker_t *w, const jr_sent_t *sent,
          const jr_answer_t *answer)
{
    jr_run_t *run;

    jr_tracked_worker_forget_orphans(d, w);
    for (size_t i = 0; i < answer->n_running; i++) {
        run = find_run(d, w, &answer->running[i].run);
        if (run == NULL) {
            stop_orphan(d, w, &answer->running[i].run);
            mark_listed_task(d, w, &answer->running[i].run, sent->serial);
            continue;
        }
        run->listed_in = sent->serial;
        note_running(d, run, &answer->running[i]);
    }
    for (size_t i = 0; i < answer->n_ended; i++) {
        run = find_run(d, w, &answer->ended[i].run);
        if (run != NULL) {
            run->listed_in = sent->serial;
        }
    }
    if (answer->n_ended >= ENDED_ROWS_MAX) {
        return;
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        if (run->listed_in != sent->serial) {
            note_absent(d, run, sent->sent_at);
        }
    }
}

static void
log_end(jr_dispatch_t *d, const jr_tracked_worker_t *w, const jr_ended_t *end,
        bool is_current)
{
    static const char *const how_names[] = {
        [JR__JOB_END__HOW__DONE] = "done",
        [JR__JOB_END__HOW__FAILED] = "failed",
        [JR__JOB_END__HOW__STOPPED] = "stopped",
        [JR__JOB_END__HOW__LAPSED] = "lapsed",
        [JR__JOB_END__HOW__BROKEN] = "broken",
        [JR__JOB_END__HOW__ALONE] = "alone",
    };

    jr_count(d->ctx, end->how == JR__JOB_END__HOW__DONE ? JR_C_RUNS_ENDED_DONE
                     : end->how == JR__JOB_END__HOW__FAILED
                         ? JR_C_RUNS_ENDED_FAILED
                         : JR_C_RUNS_ENDED_OTHER);
    jr_log_job(d->ctx, JR_EV_RUN_ENDED, end->run.job,
               "task=%016llx.%u.%u.%u attempt=%u worker=%s how=%s number=%llu "
               "current=%d lease_held=%d",
               (unsigned long long)end->run.job, end->run.occurrence,
               end->run.step, end->run.index, end->run.attempt,
               w->worker->info->id, how_names[end->how],
               (unsigned long long)end->number, is_current, w->is_lease_held);
}

/* An end may be listed again until it is in the log; it counts once. */
static void
note_end(jr_dispatch_t *d, jr_tracked_worker_t *w, jr_run_t *run,
         const jr_ended_t *end)
{
    if (run != NULL && run->is_end_listed) {
        return;
    }
    jr_health_end(d, w, run, end);
    if (run != NULL) {
        jr_run_note_end(run);
        if (end->how == JR__JOB_END__HOW__DONE) {
            jr_backlog_learn(d, run);
        }
    }
}

static void
fill_end(Jr__JobEnd *row, const jr_ended_t *end)
{
    static char none[] = "";

    jr__job_end__init(row);
    row->number = end->number;
    row->run = (Jr__JobRun *)&end->run;
    row->how = end->how;
    row->checkpoint = end->checkpoint != NULL ? (char *)end->checkpoint : none;
}

static void
propose_ends(jr_dispatch_t *d, jr_tracked_worker_t *w,
             const jr_answer_t *answer)
{
    uint64_t seen = MAX(w->worker->info->ends_seen,
                        w->is_end_pending ? w->ends_proposed : 0);
    Jr__JobEnds body = JR__JOB_ENDS__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobEnd *rows;

    if (answer->n_ended == 0 || w->worker->info->born != w->incarnation) {
        return;
    }
    rows = jr_alloc(d->ctx, (answer->n_ended + 1) * sizeof *rows);
    body.ends = jr_alloc(d->ctx, (answer->n_ended + 1) * sizeof(Jr__JobEnd *));
    for (size_t i = 0; i < answer->n_ended; i++) {
        const jr_ended_t *end = &answer->ended[i];
        Jr__JobEnd *row = &rows[body.n_ends];
        jr_run_t *run;

        if (end->number <= seen) {
            continue;
        }
        run = find_run(d, w, &end->run);
        note_end(d, w, run, end);
        log_end(d, w, end, run != NULL);
        fill_end(row, end);
        body.ends[body.n_ends++] = row;
        body.up_to = MAX(body.up_to, end->number);
    }
    if (body.n_ends > 0) {
        body.worker = w->worker->info->id;
        body.born = w->incarnation;
        body.lease_held = w->is_lease_held;
        command.body_case = JR__JOB_COMMAND__BODY_ENDS;
        command.ends = &body;
        jr_queue_command(d, &command);
        w->is_end_pending = true;
        w->ends_proposed = body.up_to;
    }
    jr_free(d->ctx, body.ends);
    jr_free(d->ctx, rows);
}

/* The next leader can't know which start orders this one has sent. */
static bool
is_newly_settled(const jr_dispatch_t *d, const jr_run_t *run)
{
    return run->state == JR_RUN_RUNNING && run->is_placed &&
           !run->is_settled && !jr_run_may_begin_late(d, run) &&
           jr_task_step(run->task)->service;
}

/* The names (Jr__JobRun) of the runs that are settled now; NULL for none. */
static GArray *
settle_runs(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    GArray *names = NULL;
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (is_newly_settled(d, run)) {
            Jr__JobRun name;

            jr_run_name(run, &name);
            if (names == NULL) {
                names = g_array_new(FALSE, FALSE, sizeof(Jr__JobRun));
            }
            g_array_append_val(names, name);
            run->is_settled = true;
        }
    }
    return names;
}

/*
 * Says in the log which services run for certain in the incarnation that
 * listed them: when it is over, the next leader need not wait for late start
 * orders of this one. Others have ended before that matters.
 */
static void
propose_settled(jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    Jr__JobSettled body = JR__JOB_SETTLED__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    GArray *names = settle_runs(d, w);

    if (names == NULL) {
        return;
    }
    body.worker = w->worker->info->id;
    body.born = w->incarnation;
    body.n_runs = names->len;
    body.runs = jr_alloc(d->ctx, names->len * sizeof(Jr__JobRun *));
    for (guint i = 0; i < names->len; i++) {
        body.runs[i] = &g_array_index(names, Jr__JobRun, i);
    }
    command.body_case = JR__JOB_COMMAND__BODY_SETTLED;
    command.settled = &body;
    jr_queue_command(d, &command);
    jr_free(d->ctx, body.runs);
    g_array_unref(names);
}

/*
 * The worker has accepted the fencing token of this leader, so earlier leaders
 * can no longer renew its lease. A lease that they gave before ends within
 * lease_ms.
 */
static void
mark_synced(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    w->is_synced = true;
    w->inherited_until = 0;
    if (w->clock_at != 0) {
        w->expires_max_ms =
            MAX(w->expires_max_ms, w->clock_ms + jr_longest_lease_ms(d));
    }
    jr_incarnation_on_synced(d, w);
}

/*
 * Ends that this answer is the first to list came after the answer before it.
 * A lease that was confirmed then and is valid now has not expired since. In
 * an incarnation that this leader saw begin, no lease can have expired within
 * the first lease_ms of its clock, which starts anew.
 */
static void
note_lease(const jr_dispatch_t *d, jr_tracked_worker_t *w, int64_t clock_ms)
{
    int64_t first_ms = w->has_restarted ? d->lease_ms : 0;
    int64_t until_ms = MAX(w->renewed_until_ms, first_ms);

    w->is_lease_held = w->is_synced && clock_ms != 0 && clock_ms < until_ms;
    w->renewed_until_ms = MAX(w->renewed_until_ms, w->renewal_expires_ms);
}

static void
back_off(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    w->renewal_backoff_ms =
        w->renewal_backoff_ms == 0
            ? BACKOFF_MIN_MS
            : MIN(2 * w->renewal_backoff_ms, BACKOFF_MAX_MS);
    w->renewal_at = d->now + w->renewal_backoff_ms;
}

static int64_t
known_clock_ms(const jr_answer_t *answer)
{
    return answer->clock_ms <= CLOCK_MAX_MS ? MAX(answer->clock_ms, 0) : 0;
}

/*
 * The worker could not be heard, or was paused: that its runs made no
 * progress meanwhile is no sign that they are stalled.
 */
static void
forgive_silence(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        run->percent_at = d->now;
    }
}

static void
on_renewed(jr_dispatch_t *d, jr_tracked_worker_t *w, const jr_sent_t *sent,
           const jr_answer_t *answer)
{
    int64_t clock_ms = known_clock_ms(answer);

    if (answer->incarnation != 0 && answer->incarnation < w->incarnation) {
        back_off(d, w); /* from an earlier incarnation */
        return;
    }
    if (answer->incarnation > w->incarnation) {
        /* The order does not exclude late ones to the earlier incarnation. */
        jr_tracked_worker_restart(d, w, answer->incarnation);
        jr_restart_on_restarted(d, w);
        return;
    }
    if (answer->incarnation == 0 && jr_restart_is_asked(w)) {
        jr_restart_accept(d, w);
        return;
    }
    jr_restart_deny(d, w);
    jr_crash_forget_lapsed(d, w); /* it was cut off */
    note_lease(d, w, clock_ms);
    jr_tracked_worker_set_clock(w, clock_ms, d->now);
    w->answered_at = sent->sent_at;
    w->renewal_backoff_ms = 0;
    w->renewal_at = d->now;
    if (w->suspect_at != 0 && sent->sent_at >= w->suspect_at) {
        w->suspect_at = 0;
        forgive_silence(d, w);
    }
    if (!w->is_synced) {
        mark_synced(d, w);
    }
    reconcile(d, w, sent, answer);
    if (answer->incarnation != 0) {
        propose_settled(d, w);
    }
    jr_guard_worker(d, w);
    propose_ends(d, w, answer);
    d->is_dirty = true;
}

/* An answer that can't be true is none. */
static jr_answer_kind_t
kind_of(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
        const jr_answer_t *answer)
{
    if (answer->kind != JR_ANSWER_DONE ||
        jr_dispatch_is_born(answer->incarnation)) {
        return answer->kind;
    }
    jr_log(d->ctx, JR_EV_BAD_MESSAGE,
           "worker=%s answers a renewal with born=%lld, which is no time of a "
           "start",
           w->worker->info->id, (long long)answer->incarnation);
    return JR_ANSWER_UNKNOWN;
}

void
jr_renewal_answer(jr_dispatch_t *d, const jr_sent_t *sent,
                  const jr_answer_t *answer)
{
    jr_tracked_worker_t *w = sent->worker;

    if (w->renewal_serial != sent->serial) {
        return; /* sent before a later incarnation was heard of */
    }
    w->renewal_serial = 0;
    switch (kind_of(d, w, answer)) {
    case JR_ANSWER_DONE:
        on_renewed(d, w, sent, answer);
        break;
    case JR_ANSWER_OTHER_INCARNATION:
        jr_tracked_worker_end(d, w);
        break;
    case JR_ANSWER_FENCED:
        jr_log(d->ctx, JR_EV_FENCED, "worker=%s fence=%llu",
               w->worker->info->id,
               (unsigned long long)jr_tracked_worker_fence(d, w));
        back_off(d, w);
        break;
    default:
        jr_tracked_worker_suspect(d, w);
        back_off(d, w);
        jr_restart_accept(d, w);
        break;
    }
    if (w->renewal_backoff_ms != 0) {
        /* The next tick may come too late to tell who is slow. */
        jr_tracked_worker_tick(d, w);
    }
}
