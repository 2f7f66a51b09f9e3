/*
 * Where the time of a job goes: of each step, the task that ended last decided
 * when the next one could begin. Counted under one leader: a new one knows
 * only what comes after its election.
 */
#include "dispatch.h"

void
jr_spent_granted(const jr_dispatch_t *d, jr_run_t *run)
{
    jr_job_task_t *task = run->task;
    int64_t since =
        MAX(task->waiting_since, jr_job_due_ms(task->job, task->occurrence));

    since = MAX(since, task->job->step_ended_ms);
    task->spent.capacity += MAX(d->wall_ms - since, (int64_t)0);
}

static void
add_step(const jr_dispatch_t *d, jr_job_task_t *task)
{
    jr_job_t *job = task->job;

    job->spent.capacity += task->spent.capacity;
    job->spent.start += task->spent.start;
    job->spent.lost += task->spent.lost;
    job->spent.run += task->spent.run;
    job->step_ended_ms = d->wall_ms;
}

void
jr_spent_ended(const jr_dispatch_t *d, jr_run_t *run)
{
    jr_job_task_t *task = run->task;
    const jr_step_progress_t *step = jr_task_step_progress(task);
    int64_t began = run->confirmed_at != 0 ? run->confirmed_at : d->now;
    int64_t ran_ms = d->now - began;

    task->spent.start += began - run->granted_at;
    if (task->phase != JR_PHASE_DONE) {
        task->spent.lost += ran_ms;
        return;
    }
    task->spent.run += ran_ms;
    if (step->done == jr_task_step(task)->count) {
        add_step(d, task);
    }
}

static void
count_lateness(jr_dispatch_t *d, const jr_job_t *job, int64_t after_ms,
               int64_t allowed_ms)
{
    bool is_urgent = job->queue->last_config->priority == JR_URGENT_PRIORITY;

    if (allowed_ms <= 0 || job->state != JR_JOB_DONE) {
        return;
    }
    if (after_ms <= allowed_ms) {
        jr_count(d->ctx, is_urgent ? JR_C_URGENT_IN_TIME : JR_C_OTHER_IN_TIME);
    }
    else if (jr_schedule_is_too_late(after_ms, allowed_ms)) {
        jr_count(d->ctx,
                 is_urgent ? JR_C_URGENT_TOO_LATE : JR_C_OTHER_TOO_LATE);
    }
    else {
        jr_count(d->ctx, is_urgent ? JR_C_URGENT_LATE : JR_C_OTHER_LATE);
    }
}

void
jr_spent_report(jr_dispatch_t *d, const jr_job_t *job)
{
    bool has_queue = job->queue->last_config != NULL;
    int64_t allowed_ms =
        has_queue ? jr_allowed_ms(job->queue->last_config, job->spec) : 0;
    int64_t after_ms = job->ended_ms - job->accepted_ms;

    if (has_queue && job->spec->repeats == 0) {
        count_lateness(d, job, after_ms, allowed_ms);
    }
    /* Not left out when lines about jobs are: one line of each job. */
    jr_log(d->ctx, JR_EV_JOB_ENDED,
           "job=%016llx state=%s priority=%u after_ms=%lld allowed_ms=%lld "
           "capacity_ms=%lld start_ms=%lld lost_ms=%lld run_ms=%lld",
           (unsigned long long)job->id, jr_job_state_name(job->state),
           has_queue ? job->queue->last_config->priority : 0,
           (long long)after_ms, (long long)allowed_ms,
           (long long)job->spent.capacity, (long long)job->spent.start,
           (long long)job->spent.lost, (long long)job->spent.run);
}
