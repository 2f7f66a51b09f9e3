/**
 * DOC: job - replicated state of jobs, queues and workers
 *
 * A job is a list of steps; a step is a number of equal tasks that may
 * wait for earlier steps. The state changes only by commands of the log,
 * so all replicas of a group hold the same. It decides nothing about when
 * and where a task runs: see dispatch.h.
 *
 * Times are wall-clock milliseconds of the leader that gave the command.
 */
#ifndef JAYRELAY_JOB_H
#define JAYRELAY_JOB_H

#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/ctx.h"
#include "job/job.pb-c.h"

enum {
    JR_JOB_TASKS_MAX = 100000, /* of one job, over all occurrences */
    JR_JOB_STEPS_MAX = 64,
    JR_JOB_PAYLOAD_MAX_BYTES = 4000,
    JR_JOB_ENDED_KEEP_MS = 600 * 1000,
    JR_JOB_CHECKPOINT_MAX_BYTES = 256,
};

/** enum jr_job_state_t - numbers as in the snapshot */
typedef enum {
    JR_JOB_QUEUED,
    JR_JOB_RUNNING,
    JR_JOB_DONE,
    JR_JOB_FAILED,
    JR_JOB_CANCELLED,
} jr_job_state_t;

/** enum jr_phase_t - of a task; numbers as in the snapshot */
typedef enum {
    JR_PHASE_WAITING, /* for its turn, or for a worker */
    JR_PHASE_GRANTED, /* a worker may be running it */
    JR_PHASE_DONE,
    JR_PHASE_DROPPED, /* its job ended otherwise */
} jr_phase_t;

struct jr_run;

/**
 * struct jr_job_task_t - one task of a job
 * @attempt: number of its latest run; grows with each grant
 * @failures: runs that ended by the fault of the task or its worker
 * @checkpoint: to resume from, or NULL
 * @failed_on: worker of the latest failure; a copy, or NULL
 * @waiting_since: when it began to wait, or last left a worker
 * @worker: while granted, else NULL
 * @born: life of the worker that it was granted to
 * @run: what the leader knows of the run; not replicated
 */
typedef struct jr_job_task {
    struct jr_job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    jr_phase_t phase;
    uint32_t attempt;
    uint32_t failures;
    char *checkpoint;
    char *failed_on;
    int64_t waiting_since;
    struct jr_job_worker *worker;
    int64_t born;
    TAILQ_ENTRY(jr_job_task) worker_link;
    struct jr_run *run;
} jr_job_task_t;

TAILQ_HEAD(jr_job_task_list, jr_job_task);

/**
 * struct jr_step_run_t - a step of one occurrence
 * @first: index of its first task in the job
 * @waiting: of its tasks, and so on
 * @failed_attempt: latest attempt of a gang that counted as a failure
 */
typedef struct {
    uint32_t first;
    uint32_t waiting;
    uint32_t granted;
    uint32_t done;
    uint32_t failed_attempt;
} jr_step_run_t;

/**
 * struct jr_job_t - one job
 * @steps: spec->n_steps for each occurrence, in order
 * @began: a task of it is known to have run
 * @idle_since: since when no task of it has been granted; not in snapshots
 * @n_runs: grants that the leader has given or proposed; not replicated
 */
typedef struct jr_job {
    uint64_t id;
    Jr__JobSpec *spec;
    struct jr_job_queue *queue;
    jr_job_state_t state;
    bool began;
    int64_t accepted_ms;
    int64_t ended_ms;
    int64_t idle_since;
    uint32_t n_runs;
    uint32_t occurrences;
    uint32_t n_tasks;
    uint32_t n_granted;
    uint32_t n_done;
    jr_step_run_t *steps;
    jr_job_task_t *tasks;     /* NULL when the job has ended */
    TAILQ_ENTRY(jr_job) link; /* in live, or in ended */
    UT_hash_handle hh;
} jr_job_t;

TAILQ_HEAD(jr_job_list, jr_job);

/**
 * struct jr_job_queue_t - a queue, kept while the configuration or a job
 * names it
 * @config: NULL when the configuration no longer names it
 * @last: the last configuration that named it
 */
typedef struct jr_job_queue {
    char *key; /* host, a newline, prefix */
    const Jr__JobQueue *config;
    Jr__JobQueue *last;
    uint64_t pending; /* jobs of which nothing has begun */
    UT_hash_handle hh;
} jr_job_queue_t;

/**
 * struct jr_job_worker_t - a worker that announced itself
 * @lead: what the leader knows of it; not replicated
 */
typedef struct jr_job_worker {
    Jr__JobWorker *info;
    struct jr_job_task_list granted;
    struct jr_tracked_worker *lead;
    UT_hash_handle hh;
} jr_job_worker_t;

/**
 * struct jr_job_hooks_t - what the leader's decisions follow
 * @task: a grant was applied or refused, or the task left its worker
 * @job: a job came or ended
 * @worker: a worker came or changed
 * @worker_gone: a worker is about to be forgotten
 */
typedef struct {
    void (*task)(void *user, jr_job_task_t *task);
    void (*job)(void *user, jr_job_t *job);
    void (*worker)(void *user, jr_job_worker_t *worker);
    void (*worker_gone)(void *user, jr_job_worker_t *worker);
    void *user;
} jr_job_hooks_t;

/** struct jr_jobs_t - the replicated state; fields are read-only outside */
typedef struct {
    jr_ctx_t *ctx;
    int64_t now; /* of the newest command */
    Jr__JobConfig *config;
    jr_job_queue_t *queues;
    jr_job_t *by_id;
    jr_job_worker_t *workers;
    struct jr_job_list live;
    struct jr_job_list ended; /* oldest first */
    jr_job_hooks_t hooks;
} jr_jobs_t;

/** jr_new_jobs - an empty state */
jr_jobs_t *jr_new_jobs(jr_ctx_t *ctx);

/** jr_drop_jobs - free it; NULL is accepted */
void jr_drop_jobs(jr_jobs_t *jobs);

/** jr_jobs_set_hooks - one follower; all NULL for none */
void jr_jobs_set_hooks(jr_jobs_t *jobs, const jr_job_hooks_t *hooks);

/**
 * jr_jobs_apply - carry out a packed JobCommand of the log
 *
 * Return: JR_OK, or what the proposer is to be told.
 */
jr_result_t jr_jobs_apply(jr_jobs_t *jobs, const uint8_t *bytes, size_t len);

/** jr_jobs_save - packed JobSnapshot, owned by the caller (jr_free()) */
uint8_t *jr_jobs_save(jr_jobs_t *jobs, size_t *len);

/** jr_jobs_load - replace the state; false when it is not a snapshot */
bool jr_jobs_load(jr_jobs_t *jobs, const uint8_t *bytes, size_t len);

/**
 * jr_job_check - is this a job that can be accepted?
 *
 * Return: JR_OK, or JR_BAD_REQUEST with the place in the context.
 */
jr_result_t jr_job_check(jr_ctx_t *ctx, const Jr__JobSpec *spec);

/**
 * jr_jobs_route - the queue of the configuration for a request
 * @rest: set to the part of @path behind the prefix
 *
 * The longest prefix wins. Return: NULL when no queue fits.
 */
jr_job_queue_t *jr_jobs_route(jr_jobs_t *jobs, const char *host,
                              const char *path, const char **rest);

/** jr_jobs_find - a job by its id, or NULL */
jr_job_t *jr_jobs_find(jr_jobs_t *jobs, uint64_t id);

/** jr_jobs_worker - a worker by its id, or NULL */
jr_job_worker_t *jr_jobs_worker(jr_jobs_t *jobs, const char *id);

/** jr_jobs_task - the task that a run names, or NULL */
jr_job_task_t *jr_jobs_task(jr_jobs_t *jobs, const Jr__JobRun *run);

/** jr_job_id_parse - 16 hexadecimal digits; false for anything else */
bool jr_job_id_parse(const char *text, uint64_t *id);

/** jr_job_state_name - "queued" and so on */
const char *jr_job_state_name(jr_job_state_t state);

/** jr_task_step - description of the step of a task */
const Jr__JobStep *jr_task_step(const jr_job_task_t *task);

/** jr_task_step_run - progress of the step of a task */
jr_step_run_t *jr_task_step_run(const jr_job_task_t *task);

/** jr_job_due_ms - wall-clock time at which an occurrence is due */
int64_t jr_job_due_ms(const jr_job_t *job, uint32_t occurrence);

/** jr_job_is_step_open - are all steps done that it waits for? */
bool jr_job_is_step_open(const jr_job_t *job, uint32_t occurrence,
                         uint32_t step);

/** jr_job_is_live - has it not ended? */
bool jr_job_is_live(const jr_job_t *job);

#endif
