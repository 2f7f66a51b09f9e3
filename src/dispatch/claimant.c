/* Services that need a place for their next run. */
#include "claim.h"

#include <stdlib.h>

enum {
    /*
     * Without a run; until then urgent tasks may use the capacity of a service
     * that gave way to them.
     */
    CLAIM_AFTER_MS = 2000,
    /* Of the silence of its worker, so that its place is free in time. */
    CLAIM_SILENT_AFTER_MS = 3000,
};

typedef struct {
    jr_job_task_t *task;
    int64_t since; /* without a run, wall clock */
} claimant_t;

/* The worker is about to end, or has: what runs there has to run elsewhere. */
static bool
is_ending_soon(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return w->is_draining || w->is_leaving || w->has_ended ||
           (w->suspect_at != 0 &&
            d->now - w->suspect_at >= CLAIM_SILENT_AFTER_MS);
}

bool
jr_claim_is_wanted(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return jr_claim_is_waiting(task) ||
           (task->phase == JR_PHASE_GRANTED && task->run != NULL &&
            is_ending_soon(d, task->run->worker));
}

/* The members of a gang start together: claims of some would keep others out.
 */
static bool
may_claim(const jr_job_task_t *task)
{
    return jr_task_step(task)->service && !jr_task_step(task)->gang;
}

/* Does the service need a place, and has waited for one? */
static bool
is_claimant(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return jr_claim_is_waiting(task) && task->claim == NULL &&
           task->attempt > 0 &&
           jr_claim_waited_ms(d, task) >= CLAIM_AFTER_MS && may_claim(task);
}

bool
jr_claim_is_refused(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return is_claimant(d, task);
}

static void
collect_step(const jr_dispatch_t *d, jr_job_t *job,
             const jr_step_progress_t *progress, uint32_t count, GArray *to)
{
    for (uint32_t i = 0; i < count; i++) {
        jr_job_task_t *task = &job->tasks[progress->first + i];
        claimant_t claimant = {.task = task, .since = task->waiting_since};

        if (is_claimant(d, task)) {
            g_array_append_val(to, claimant);
        }
    }
}

static void
collect_occurrence(const jr_dispatch_t *d, jr_job_t *job, uint32_t occurrence,
                   GArray *to)
{
    uint32_t n = (uint32_t)job->spec->n_steps;

    for (uint32_t s = 0; s < n; s++) {
        const jr_step_progress_t *progress = &job->steps[occurrence * n + s];

        if (job->spec->steps[s]->service && progress->waiting > 0 &&
            jr_job_is_step_ready(job, occurrence, s)) {
            collect_step(d, job, progress, job->spec->steps[s]->count, to);
        }
    }
}

static void
collect_waiting(const jr_dispatch_t *d, GArray *to)
{
    jr_job_t *job;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config == NULL) {
            continue;
        }
        for (uint32_t k = 0; k < job->occurrences; k++) {
            collect_occurrence(d, job, k, to);
        }
    }
}

/* They still run, but not for long. */
static void
collect_leaving(const jr_dispatch_t *d, GArray *to)
{
    const jr_tracked_worker_t *w;
    const jr_run_t *run;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (!is_ending_soon(d, w) || w->n_services == 0) {
            continue;
        }
        TAILQ_FOREACH (run, &w->runs, link) {
            claimant_t claimant = {.task = run->task, .since = d->wall_ms};

            if (may_claim(run->task) && run->task->claim == NULL &&
                run->task->job->queue->last_config != NULL &&
                jr_job_is_live(run->task->job) &&
                jr_claim_is_wanted(d, run->task)) {
                g_array_append_val(to, claimant);
            }
        }
    }
}

/* The longest wait first; then by name, so that all leaders agree. */
static int
by_wait(const void *a, const void *b)
{
    const claimant_t *x = a;
    const claimant_t *y = b;

    if (x->since != y->since) {
        return x->since < y->since ? -1 : 1;
    }
    if (x->task->job != y->task->job) {
        return x->task->job->id < y->task->job->id ? -1 : 1;
    }
    return (x->task > y->task) - (x->task < y->task);
}

GPtrArray *
jr_claimants(const jr_dispatch_t *d)
{
    GArray *claimants = g_array_new(FALSE, FALSE, sizeof(claimant_t));
    GPtrArray *tasks = g_ptr_array_new();

    collect_waiting(d, claimants);
    collect_leaving(d, claimants);
    if (claimants->len > 1) {
        qsort(claimants->data, claimants->len, sizeof(claimant_t), by_wait);
    }
    for (guint i = 0; i < claimants->len; i++) {
        g_ptr_array_add(tasks, g_array_index(claimants, claimant_t, i).task);
    }
    g_array_unref(claimants);
    return tasks;
}
