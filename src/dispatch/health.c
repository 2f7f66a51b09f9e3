/*
 * Workers on which tasks fail. Consecutive failures of different jobs point to
 * the worker, failures of a single job point to the job. A suspected worker is
 * quarantined, then gets a few tasks on probation.
 */
#include "dispatch.h"

enum {
    STREAK_FAILURES = 3, /* then the worker is quarantined */
    STREAK_MS = 3000,    /* without failures; then the streak starts anew */
    /*
     * A longer run ends a probation. Failures of services after this time
     * are not due to the worker.
     */
    HEALTHY_RUN_MS = 1500,
    QUARANTINE_MIN_MS = 1500, /* the first; each further one is doubled */
    QUARANTINE_MAX_MS = 3000,
    PROBES_MAX = 2,      /* concurrent runs on a worker on probation */
    STALL_MIN_MS = 2000, /* bounds of the time allowed without progress */
    STALL_MAX_MS = 10000,
    STALL_DIVISOR = 20, /* of the estimated run time */
    COMPLETE_PERCENT = 100,
};

static bool
is_on_probation(const jr_tracked_worker_t *w)
{
    return w->quarantine_ms > 0;
}

static void
end_probation(jr_tracked_worker_t *w)
{
    w->failure_streak = 0;
    w->quarantine_ms = 0;
}

static bool
is_probe(const jr_run_t *run)
{
    return run->granted_at >= run->worker->quarantined_until;
}

static void
quarantine(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    w->quarantine_ms = w->quarantine_ms == 0
                           ? QUARANTINE_MIN_MS
                           : MIN(2 * w->quarantine_ms, QUARANTINE_MAX_MS);
    w->quarantined_until = d->now + w->quarantine_ms;
    jr_count(d->ctx, JR_C_QUARANTINES);
    jr_log(d->ctx, JR_EV_WORKER_QUARANTINED, "worker=%s for_ms=%lld",
           w->worker->info->id, (long long)w->quarantine_ms);
}

/* Other tasks would stall there as well. */
static void
quarantine_after_stall(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (d->now >= w->quarantined_until) {
        quarantine(d, w);
    }
}

bool
jr_health_allows(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    const jr_run_t *run;
    int n = 0;

    if (d->now < w->quarantined_until) {
        return false;
    }
    if (!is_on_probation(w)) {
        return true;
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        n += is_probe(run);
    }
    return n < PROBES_MAX;
}

/* A task that makes no progress is stopped, and runs again elsewhere. */
static bool
is_stalled(const jr_dispatch_t *d, const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);
    int64_t bound = CLAMP((int64_t)step->estimate_ms / STALL_DIVISOR,
                          STALL_MIN_MS, STALL_MAX_MS);

    return !step->service && !step->gang && run->state == JR_RUN_RUNNING &&
           run->percent < COMPLETE_PERCENT &&
           d->now - run->percent_at >
               jr_worker_quality_patience_ms(run->worker, bound);
}

void
jr_health_running(jr_dispatch_t *d, jr_run_t *run)
{
    jr_tracked_worker_t *w = run->worker;
    char text[JR_RUN_TEXT_BYTES];

    if (is_stalled(d, run)) {
        jr_count(d->ctx, JR_C_RUNS_STALLED);
        jr_log_job(d->ctx, JR_EV_RUN_STALLED, run->task->job->id,
                   "task=%s worker=%s percent=%u for_ms=%lld",
                   jr_run_text(run, text, sizeof text), w->worker->info->id,
                   run->percent, (long long)(d->now - run->percent_at));
        jr_run_stop(d, run);
        quarantine_after_stall(d, w);
        return;
    }

    if (is_on_probation(w) && is_probe(run) &&
        d->now - run->confirmed_at > HEALTHY_RUN_MS) {
        end_probation(w);
    }
}

static void
note_failure(jr_dispatch_t *d, jr_tracked_worker_t *w, const jr_ended_t *end)
{
    if (d->now - w->failed_at > STREAK_MS) {
        w->failure_streak = 0;
    }
    w->failed_at = d->now;
    if (w->failure_streak == 0 || w->streak_job != end->run.job) {
        w->failure_streak++;
        w->streak_job = end->run.job;
    }
}

void
jr_health_end(jr_dispatch_t *d, jr_tracked_worker_t *w, const jr_run_t *run,
              const jr_ended_t *end)
{
    if (end->how == JR__JOB_END__HOW__DONE) {
        if (run != NULL) {
            jr_worker_quality_on_end(d, run, end->how);
        }
        end_probation(w);
        return;
    }
    if (end->how != JR__JOB_END__HOW__FAILED || run == NULL ||
        (jr_task_step(run->task)->service &&
         d->now - run->confirmed_at > HEALTHY_RUN_MS)) {
        return;
    }
    note_failure(d, w, end);
    jr_worker_quality_on_end(d, run, end->how);
    /* Runs granted before the quarantine give no new evidence. */
    if (is_on_probation(w) ? is_probe(run)
                           : w->failure_streak >= STREAK_FAILURES) {
        quarantine(d, w);
    }
}
