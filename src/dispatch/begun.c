/*
 * Jobs of which a task is known to have begun, for the log: a leader knows it
 * from its workers, and the next one must not take it back.
 */
#include "dispatch.h"

enum {
    /*
     * So long the news waits for another command, to share its write to the
     * log. Callers allow a count to be two seconds old.
     */
    BEGUN_WAIT_MS = 100,
};

static bool
is_known_to_run(const jr_job_task_t *task, uint32_t attempt)
{
    return task->run != NULL && task->run->attempt == attempt &&
           task->run->confirmed_at != 0;
}

/* The members of a gang wait for each other, and work from then on. */
static bool
is_gang_there(const jr_run_t *run)
{
    const jr_job_task_t *members =
        &run->task->job->tasks[jr_task_step_progress(run->task)->first];

    for (uint32_t i = 0; i < jr_task_step(run->task)->count; i++) {
        if (!is_known_to_run(&members[i], run->attempt)) {
            return false;
        }
    }
    return true;
}

bool
jr_run_has_begun(const jr_run_t *run)
{
    return run->confirmed_at != 0 &&
           (!jr_task_step(run->task)->gang || is_gang_there(run));
}

void
jr_begun_note(jr_dispatch_t *d, const jr_run_t *run)
{
    jr_job_t *job = run->task->job;

    if (job->began || job->begun_in == d->fence || !jr_run_has_begun(run)) {
        return;
    }
    if (d->begun->len == 0) {
        d->begun_at = d->now;
    }
    job->begun_in = d->fence;
    g_array_append_val(d->begun, job->id);
}

bool
jr_begun_is_due(const jr_dispatch_t *d)
{
    return d->begun->len > 0 && (!STAILQ_EMPTY(&d->commands) ||
                                 d->now - d->begun_at >= BEGUN_WAIT_MS);
}

void
jr_begun_propose(jr_dispatch_t *d)
{
    Jr__JobBegun body = JR__JOB_BEGUN__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    body.jobs = (uint64_t *)(void *)d->begun->data;
    body.n_jobs = d->begun->len;
    command.body_case = JR__JOB_COMMAND__BODY_BEGUN;
    command.begun = &body;
    jr_queue_command(d, &command);
    g_array_set_size(d->begun, 0);
}
