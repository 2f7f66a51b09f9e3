/* How many tasks of a service are not at work, and how many may be. */
#include "dispatch.h"

enum {
    /*
     * After a leader took over, or was paused: its lists of tasks may be old,
     * and tasks that an earlier leader has ordered to stop are listed as
     * running until they have ended.
     */
    UNKNOWN_AFTER_PAUSE_MS = 2000,
    COMPLETE_PERCENT = 100,
};

bool
jr_missing_is_known(const jr_dispatch_t *d)
{
    return d->now >= MAX(d->led_at, d->paused_at) + UNKNOWN_AFTER_PAUSE_MS;
}

bool
jr_task_is_at_work(const jr_job_task_t *task)
{
    const jr_run_t *run = task->run;

    return run != NULL && run->state == JR_RUN_RUNNING &&
           !run->is_end_listed && run->percent >= COMPLETE_PERCENT &&
           run->worker->suspect_at == 0 && !run->worker->has_ended &&
           !run->worker->is_leaving;
}

uint32_t
jr_step_count_missing(const jr_job_task_t *task)
{
    const jr_job_task_t *tasks =
        &task->job->tasks[jr_task_step_progress(task)->first];
    uint32_t n = 0;

    for (uint32_t i = 0; i < jr_task_step(task)->count; i++) {
        n += !jr_task_is_at_work(&tasks[i]);
    }
    return n;
}

bool
jr_step_may_miss_one_more(const jr_job_task_t *task)
{
    uint32_t may_miss = jr_task_step(task)->may_miss;

    return may_miss == 0 ||
           jr_step_count_missing(task) - !jr_task_is_at_work(task) < may_miss;
}
