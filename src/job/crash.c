/*
 * Tasks that crash the workers that run them. A crash counts for each task
 * that ran there; their next runs are placed away from each other, so that
 * only the score of its cause rises.
 */
#include "jobs.h"

enum {
    LATE_MS = 30000, /* a task that ran for so long was not the cause */
    EARLY_SCORE = 2,
    SCORE = 1,
    SCORE_MAX = 4, /* then the task is given up */
};

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
    task->crash_score += after_ms > JR_CRASH_EARLY_MS ? SCORE : EARLY_SCORE;
    return task->crash_score >= SCORE_MAX;
}
