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
jr_crash_add_lapsed(jr_dispatch_t *d, const jr_run_t *run)
{
    jr_crashed_run_t lapsed = {.after_ms = age_at_crash(d, run)};

    if (has_not_begun(run)) {
        return;
    }
    jr_run_name(run, &lapsed.name);
    g_array_append_val(run->worker->lapsed, lapsed);
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
        g_array_set_size(w->lapsed, 0);
        return;
    }
    report_lapsed(d, w);
    w->crashed_at = d->now;
    jr_count(d->ctx, JR_C_WORKER_CRASHES);
    if (w->n_suspects == 0) {
        jr_worth_on_crash(d, w);
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
