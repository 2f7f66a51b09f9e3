/*
 * Services that wait to run again, in the log: how many, for how long, and
 * what there is for them. It tells a lack of capacity from capacity that is
 * kept for others, and both from a slow leader.
 */
#include "dispatch.h"

enum { REPORT_EVERY_MS = 2000 };

/* Services that ran before and do not run now. */
typedef struct {
    size_t n;
    size_t n_placed;  /* of these: with a run that has not started yet */
    size_t n_claimed; /* with a claim, see claim.h */
    int64_t cpu_milli;
    int64_t longest_ms;
    const jr_job_task_t *longest;
} waiting_t;

/* Thousandths of processors, of all usable workers. */
typedef struct {
    int64_t all;
    int64_t used;
    int64_t services;
    int64_t reserved;
    int64_t claimed;
} capacity_t;

static void
add_task(const jr_dispatch_t *d, waiting_t *waiting, const jr_job_task_t *task)
{
    int64_t waited_ms = d->wall_ms - task->waiting_since;

    waiting->n++;
    waiting->n_placed += task->run != NULL;
    waiting->n_claimed += task->claim != NULL;
    waiting->cpu_milli += jr_task_step(task)->cpu_milli;
    if (waiting->longest == NULL || waited_ms > waiting->longest_ms) {
        waiting->longest = task;
        waiting->longest_ms = waited_ms;
    }
}

static void
add_job(const jr_dispatch_t *d, waiting_t *waiting, const jr_job_t *job)
{
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const jr_job_task_t *task = &job->tasks[i];

        if (jr_task_step(task)->service && task->attempt > 0 &&
            task->phase == JR_PHASE_WAITING) {
            add_task(d, waiting, task);
        }
    }
}

static capacity_t
sum_capacity(const jr_dispatch_t *d)
{
    const jr_tracked_worker_t *w;
    capacity_t sum = {0};

    TAILQ_FOREACH (w, &d->workers, link) {
        if (w->is_usable) {
            sum.all += w->worker->info->cpu_milli;
            sum.used += w->used.cpu_milli;
            sum.services += w->services.cpu_milli;
            sum.reserved += w->reserved.cpu_milli;
            sum.claimed += w->claimed.cpu_milli;
        }
    }
    return sum;
}

static void
log_waiting(const jr_dispatch_t *d, const waiting_t *waiting)
{
    const jr_job_task_t *task = waiting->longest;
    capacity_t capacity = sum_capacity(d);

    jr_log(d->ctx, JR_EV_SERVICES_WAIT,
           "services=%zu placed=%zu claimed=%zu unclaimed=%zu cpu=%lld "
           "longest_ms=%lld "
           "task=%016llx.%u.%u.%u attempt=%u usable_cpu=%lld used_cpu=%lld "
           "services_cpu=%lld reserved_cpu=%lld claimed_cpu=%lld "
           "short_cpu=%lld",
           waiting->n, waiting->n_placed, waiting->n_claimed, d->n_unclaimed,
           (long long)waiting->cpu_milli, (long long)waiting->longest_ms,
           (unsigned long long)task->job->id, task->occurrence, task->step,
           task->index, task->attempt, (long long)capacity.all,
           (long long)capacity.used, (long long)capacity.services,
           (long long)capacity.reserved, (long long)capacity.claimed,
           (long long)d->short_demand.latest);
}

void
jr_waits_report(jr_dispatch_t *d)
{
    waiting_t waiting = {0};
    const jr_job_t *job;

    if (d->now - d->waits_reported_at < REPORT_EVERY_MS) {
        return;
    }
    d->waits_reported_at = d->now;
    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config != NULL) {
            add_job(d, &waiting, job);
        }
    }
    if (waiting.n > 0) {
        log_waiting(d, &waiting);
    }
}
