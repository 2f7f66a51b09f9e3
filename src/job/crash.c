/*
 * Tasks that crash the workers that run them. A crash counts for each task
 * that ran there; their next runs are placed away from each other, so that
 * only the score of its cause rises. The first crash shows little, as hosts
 * fail too, several at once.
 */
#include "jobs.h"

enum {
    LATE_MS = 30000, /* a task that ran for so long was not the cause */
    EARLY_SCORE = 2, /* soon after its start, but not the first crash */
    SCORE = 1,
    SCORE_MAX = 4, /* then the task is given up */
};

static uint32_t
score_of(const jr_job_task_t *task, int64_t after_ms)
{
    bool is_early = after_ms <= JR_CRASH_EARLY_MS;

    return task->crash_score > 0 && is_early ? EARLY_SCORE : SCORE;
}

void
jr_task_set_lapse(jr_jobs_t *jobs, jr_job_task_t *task,
                  const jr_lapse_t *lapse)
{
    if (task->lapse != NULL) {
        jr_free(jobs->ctx, task->lapse->worker);
        jr_free(jobs->ctx, task->lapse);
        task->lapse = NULL;
    }
    if (lapse != NULL) {
        task->lapse = jr_memdup(jobs->ctx, lapse, sizeof *lapse);
        task->lapse->worker = jr_strdup(jobs->ctx, lapse->worker);
    }
}

bool
jr_task_count_crash(jr_job_task_t *task, uint32_t attempt, int64_t after_ms)
{
    if (attempt <= task->crash_attempt) {
        return false; /* two leaders may report the same crash */
    }
    task->crash_attempt = attempt;
    if (after_ms > LATE_MS) {
        task->crash_score = 0;
        return false;
    }
    task->crash_score += score_of(task, after_ms);
    return task->crash_score >= SCORE_MAX;
}
