/* Workers that crash, and the tasks that ran there. */
#include "dispatch.h"

enum {
    FLAPPING_MS = 20000, /* between two crashes of a worker that is unstable */
    OUTAGE_MS = 2000,    /* between crashes that have a cause in common */
    OUTAGE_WORKERS_MIN = 3,
    OUTAGE_SHARE = 10, /* one worker in so many */
};

/* It announced its end, or had ended before. */
static bool
is_expected(const jr_tracked_worker_t *w)
{
    return w->has_ended || w->is_leaving || w->left_at != 0 || w->is_draining;
}

bool
jr_crash_is_recent(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return w->crashed_at != 0 && d->now - w->crashed_at < FLAPPING_MS;
}

/* Time from its start until the worker was last known to be well. */
static int64_t
age_at_crash(const jr_dispatch_t *d, const jr_run_t *run)
{
    int64_t crashed_at =
        run->worker->suspect_at != 0 ? run->worker->suspect_at : d->now;

    return MAX(crashed_at - run->granted_at, 1);
}

/* No start order of the run can have reached the worker. */
static bool
has_not_begun(const jr_run_t *run)
{
    return run->confirmed_at == 0 && run->serial == 0 &&
           !run->is_outcome_unknown && !run->is_inherited;
}

void
jr_crash_add_lapsed(jr_dispatch_t *d, jr_run_t *run)
{
    jr_crashed_run_t lapsed = {.after_ms = age_at_crash(d, run)};

    if (has_not_begun(run)) {
        return;
    }
    run->lapsed_after_ms = lapsed.after_ms;
    jr_run_name(run, &lapsed.name);
    g_array_append_val(run->worker->lapsed, lapsed);
}

void
jr_crash_forget_lapsed(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    for (guint i = 0; i < w->lapsed->len; i++) {
        jr_crashed_run_t lapsed =
            g_array_index(w->lapsed, jr_crashed_run_t, i);

        lapsed.after_ms = 0;
        g_array_append_val(d->crashes, lapsed);
    }
    g_array_set_size(w->lapsed, 0);
}

static void
report_lapsed(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    g_array_append_vals(d->crashes, w->lapsed->data, w->lapsed->len);
    g_array_set_size(w->lapsed, 0);
}

static bool
is_in_trouble(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    bool has_crashed =
        w->crashed_at != 0 && d->now - w->crashed_at < OUTAGE_MS;

    return has_crashed || (!is_expected(w) && w->suspect_at != 0);
}

/* Hosts, or links to them, fail: tasks crash their workers one by one. */
static bool
is_outage(const jr_dispatch_t *d)
{
    const jr_tracked_worker_t *w;
    size_t n_all = 0;
    size_t n = 0;

    TAILQ_FOREACH (w, &d->workers, link) {
        n_all++;
        n += is_in_trouble(d, w);
    }
    return n >= OUTAGE_WORKERS_MIN && n * OUTAGE_SHARE >= n_all;
}

void
jr_crash_note(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    bool is_host_suspect = jr_crash_is_recent(d, w) || is_outage(d);
    jr_run_t *run;

    if (is_expected(w)) {
        jr_crash_forget_lapsed(d, w);
        return;
    }
    report_lapsed(d, w);
    w->crashed_at = d->now;
    jr_count(d->ctx, JR_C_WORKER_CRASHES);
    if (w->n_suspects == 0) {
        jr_worker_quality_on_crash(d, w);
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        bool is_cause_unclear = is_host_suspect || run->is_inherited;
        int64_t age_ms = age_at_crash(d, run);

        if (run->state != JR_RUN_PROPOSED && run->state != JR_RUN_RELEASING &&
            !has_not_begun(run)) {
            run->crashed_after_ms =
                is_cause_unclear ? MAX(age_ms, JR_CRASH_EARLY_MS + 1) : age_ms;
        }
    }
}

void
jr_crash_inherit(jr_run_t *run)
{
    if (run->incarnation < run->worker->incarnation) {
        run->crashed_after_ms = JR_CRASH_EARLY_MS + 1;
    }
}

/*
 * The worker is back as a later incarnation, but the earlier leader did not
 * say so in the log; whether other workers crashed with it is not known.
 */
static void
add_inherited_crash(jr_dispatch_t *d, jr_crashed_run_t *lapsed)
{
    lapsed->after_ms = MAX(lapsed->after_ms, JR_CRASH_EARLY_MS + 1);
    g_array_append_vals(d->crashes, lapsed, 1);
}

static void
take_over_lapse(jr_dispatch_t *d, const jr_job_task_t *task)
{
    const jr_lapse_t *lapse = task->lapse;
    jr_crashed_run_t lapsed = {.after_ms = lapse->after_ms};
    jr_job_worker_t *worker = jr_jobs_worker(d->jobs, lapse->worker);

    if (worker == NULL || lapse->attempt <= task->crash_attempt) {
        return;
    }
    jr__job_run__init(&lapsed.name);
    lapsed.name.job = task->job->id;
    lapsed.name.occurrence = task->occurrence;
    lapsed.name.step = task->step;
    lapsed.name.index = task->index;
    lapsed.name.attempt = lapse->attempt;
    if (worker->info->born > lapse->incarnation) {
        add_inherited_crash(d, &lapsed);
    }
    else {
        g_array_append_val(worker->local->lapsed, lapsed);
    }
}

void
jr_crash_take_over(jr_dispatch_t *d)
{
    const jr_job_t *job;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        for (uint32_t i = 0; i < job->n_tasks; i++) {
            if (job->tasks[i].lapse != NULL) {
                take_over_lapse(d, &job->tasks[i]);
            }
        }
    }
}
