/* Internal interface of the job module. */
#ifndef JR_JOB_JOBS_H
#define JR_JOB_JOBS_H

#include "jayrelay/job.h"

/* Find a queue; creates it if it does not exist. */
jr_job_queue_t *jr_queue_get(jr_jobs_t *jobs, const char *host,
                             const char *prefix);
/* Replace the configuration; takes ownership of the message. */
void jr_jobs_set_config(jr_jobs_t *jobs, Jr__JobConfig *config);
/* Remember a queue that is no longer in the configuration. */
void jr_queue_add_removed(jr_jobs_t *jobs, const Jr__JobQueue *from);
/* Create a job; takes ownership of the spec. */
jr_job_t *jr_job_insert(jr_jobs_t *jobs, Jr__JobSpec *spec);
void jr_job_free(jr_jobs_t *jobs, jr_job_t *job);
/* Move a task to another phase; updates all counts and lists. */
void jr_task_move(jr_job_task_t *task, jr_phase_t phase);
void jr_task_grant(jr_job_task_t *task, jr_job_worker_t *worker,
                   int64_t incarnation, uint32_t attempt);
/* Whether the job is queued, with no task known to have begun. */
bool jr_job_is_pending(const jr_job_t *job);
/* Free the tasks of an ended job once none of them is granted. */
void jr_job_trim(jr_jobs_t *jobs, jr_job_t *job);
/* Add a worker or replace its info; takes ownership of the message. */
jr_job_worker_t *jr_worker_insert(jr_jobs_t *jobs, Jr__JobWorker *info);
void jr_worker_free(jr_jobs_t *jobs, jr_job_worker_t *worker);
void jr_jobs_clear(jr_jobs_t *jobs);
/* Count an attempt of a gang as a failure. */
void jr_step_add_failed_attempt(jr_jobs_t *jobs, jr_step_progress_t *step,
                                uint32_t attempt);
/* Replaces the lapse of the task by a copy; NULL: by none. */
void jr_task_set_lapse(jr_jobs_t *jobs, jr_job_task_t *task,
                       const jr_lapse_t *lapse);
/*
 * The worker of a run crashed so long after the start of the run. Returns true
 * when the task is to be given up.
 */
bool jr_task_count_crash(jr_job_task_t *task, uint32_t attempt,
                         int64_t after_ms);
/* Replace an owned string by a copy; NULL or empty gives NULL. */
void jr_set_text(jr_ctx_t *ctx, char **to, const char *from);

#endif
