/**
 * DOC: job - replicated state of jobs, queues and workers
 *
 * A job is a list of steps; a step is a number of identical tasks and may
 * depend on earlier steps. The state changes only when a command of the
 * replicated log is applied, so all replicas of a group have the same state.
 * This module does not decide when and where a task runs: see dispatch.h.
 *
 * Times are wall-clock milliseconds of the leader that proposed the command.
 */
#ifndef JAYRELAY_JOB_H
#define JAYRELAY_JOB_H

#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/ctx.h"
#include "jayrelay/zone.h"
#include "job/job.pb-c.h"

enum {
    JR_JOB_TASKS_MAX = 100000, /* per job, summed over all occurrences */
    JR_JOB_STEPS_MAX = 64,
    JR_JOB_PAYLOAD_MAX_BYTES = 4000,
    JR_JOB_RETENTION_MS = 600 * 1000, /* of ended jobs */
    JR_JOB_CHECKPOINT_MAX_BYTES = 256,
    /* failures of a task that fail its job, if the queue sets no limit */
    JR_JOB_DEFAULT_MAX_FAILURES = 3,
    /* of a queue's host and prefix together; the rest does not count */
    JR_JOB_QUEUE_NAME_MAX_BYTES = 510,
};

/** enum jr_job_state_t - state of a job; values as in the snapshot */
typedef enum {
    JR_JOB_QUEUED,
    JR_JOB_RUNNING,
    JR_JOB_DONE,
    JR_JOB_FAILED,
    JR_JOB_CANCELLED,
} jr_job_state_t;

/** enum jr_phase_t - phase of a task; values as in the snapshot */
typedef enum {
    JR_PHASE_WAITING, /* for earlier steps, its due time or a worker */
    JR_PHASE_GRANTED, /* a worker may be running it */
    JR_PHASE_DONE,
    JR_PHASE_DROPPED, /* its job ended before it was done */
} jr_phase_t;

struct jr_run;
struct jr_claim;

/**
 * struct jr_spent_t - where the time of a task or job went, ms
 * @capacity: it waited for capacity, or for its turn
 * @start: from grants to the worker's word that the runs begin
 * @lost: runs that did not finish
 * @run: the runs that finished
 */
typedef struct {
    int64_t capacity;
    int64_t start;
    int64_t lost;
    int64_t run;
} jr_spent_t;

enum {
    /* So soon after its start, a task is a likely cause of a crash, in ms. */
    JR_CRASH_EARLY_MS = 2000,
};

/**
 * struct jr_lapse_t - a run that was released since its lease had lapsed
 * @worker: id of the worker that it was granted to, owned
 * @incarnation: of the worker; if a later one comes back, it had crashed
 * @attempt: number of the run
 * @after_ms: from its start until the worker was last known to be well
 */
typedef struct {
    char *worker;
    int64_t incarnation;
    uint32_t attempt;
    int64_t after_ms;
} jr_lapse_t;

/**
 * struct jr_job_task_t - one task of a job
 * @attempt: number of the latest run; increases with each grant
 * @failures: runs that failed; the runs of a gang are counted as one
 * @checkpoint: checkpoint to resume from, owned, or NULL
 * @failed_on: id of the worker of the latest failure, owned, or NULL
 * @crash_score: rises with each worker that crashes under the task, the more
 *               the sooner after the start; at a limit the job fails
 * @crash_attempt: latest run that was counted in @crash_score
 * @lapse: latest run whose lease lapsed, while it is not known whether its
 *         worker had crashed; owned, or NULL. Counted if @crash_attempt is
 *         not lower
 * @waiting_since: when the job was accepted, the latest run that is known to
 *                 have begun ended, or its lost worker was last in contact
 * @worker: worker that the task is granted to, else NULL
 * @incarnation: start time of the worker's incarnation when the task was
 *               granted to it, else 0
 * @settled_in: start time of the incarnation that listed the granted run as
 *              running when none of its start orders was under way any more:
 *              the run ends with that incarnation; 0: not known
 * @is_done: an earlier run than the granted one is done; when the granted
 *           one ends, however it does, the task is done
 * @spent: since its step is ready, under this leader; not replicated
 * @blame: part of its latest failure that the worker was charged with by this
 *         leader; not replicated
 * @preempted: how often this leader stopped it for urgent tasks; not
 *             replicated
 * @run: leader-local state of the run; not replicated
 * @claim: leader-local place of the next run of a service; not replicated
 */
typedef struct jr_job_task {
    struct jr_job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    jr_phase_t phase;
    uint32_t attempt;
    uint32_t failures;
    uint32_t crash_score;
    uint32_t crash_attempt;
    char *checkpoint;
    char *failed_on;
    jr_lapse_t *lapse;
    int64_t waiting_since;
    struct jr_job_worker *worker;
    int64_t incarnation;
    int64_t settled_in;
    bool is_done;
    jr_spent_t spent;
    double blame;
    uint32_t preempted;
    TAILQ_ENTRY(jr_job_task) worker_link;
    struct jr_run *run;
    struct jr_claim *claim;
} jr_job_task_t;

TAILQ_HEAD(jr_job_task_list, jr_job_task);

/** struct jr_failed_attempt_t - an attempt of a gang that was counted as a
 *                                failure */
typedef struct jr_failed_attempt {
    SLIST_ENTRY(jr_failed_attempt) link;
    uint32_t attempt;
} jr_failed_attempt_t;

/**
 * struct jr_step_progress_t - progress of a step in one occurrence of a job
 * @first: index of the step's first task in jr_job_t.tasks
 * @waiting: number of tasks in JR_PHASE_WAITING
 * @granted: number of tasks in JR_PHASE_GRANTED
 * @done: number of tasks in JR_PHASE_DONE
 * @failed_attempts: of a gang, latest counted first; owned. Not kept for
 *                   services, whose failures are not limited
 */
typedef struct {
    uint32_t first;
    uint32_t waiting;
    uint32_t granted;
    uint32_t done;
    SLIST_HEAD(, jr_failed_attempt) failed_attempts;
} jr_step_progress_t;

/**
 * struct jr_job_t - one job
 * @steps: progress of the steps, spec->n_steps entries per occurrence
 * @began: at least one task is known to have begun; a gang begins when all of
 *         its members are there
 * @begun_in: fencing token of the leadership that has told the log so; not
 *            replicated
 * @idle_since: when a run of the job last ended, or when the job was
 *              accepted
 * @n_runs: runs that the leader has granted or proposed to grant; not
 *          replicated
 * @step_ended_ms: when its latest step ended under this leader, 0: none did;
 *                 not replicated
 * @spent: of the tasks that ended its steps last, under this leader; not
 *         replicated
 */
typedef struct jr_job {
    uint64_t id;
    Jr__JobSpec *spec;
    struct jr_job_queue *queue;
    jr_job_state_t state;
    bool began;
    uint64_t begun_in;
    int64_t accepted_ms;
    int64_t ended_ms;
    int64_t idle_since;
    uint32_t n_runs;
    int64_t step_ended_ms;
    jr_spent_t spent;
    uint32_t occurrences;
    uint32_t n_tasks;
    uint32_t n_granted;
    uint32_t n_done;
    jr_step_progress_t *steps;
    jr_job_task_t *tasks;     /* NULL once the job and all its runs ended */
    TAILQ_ENTRY(jr_job) link; /* in jr_jobs_t.live or .ended */
    UT_hash_handle hh;
} jr_job_t;

TAILQ_HEAD(jr_job_list, jr_job);

/**
 * struct jr_job_queue_t - a job queue
 * @key: host, a newline and the path prefix
 * @config: its entry in the current configuration, NULL if there is none
 * @last_config: copy of its latest entry in a configuration, owned; jobs
 *               use it when the queue has been removed from the
 *               configuration. NULL if there never was one
 * @pending: live jobs of which no task is known to have begun
 * @open_worker: a worker of its service in a zone that was not drained when it
 *               was looked up, or NULL; not replicated
 *
 * Queues are removed only when the whole state is cleared or replaced, since
 * jobs refer to them.
 */
typedef struct jr_job_queue {
    char *key;
    const Jr__JobQueue *config;
    Jr__JobQueue *last_config;
    uint64_t pending;
    struct jr_job_worker *open_worker;
    UT_hash_handle hh;
} jr_job_queue_t;

/**
 * struct jr_job_worker_t - a registered worker
 * @granted: tasks that are granted to it
 * @local: leader-local state; not replicated
 */
typedef struct jr_job_worker {
    Jr__JobWorker *info;
    struct jr_job_task_list granted;
    struct jr_tracked_worker *local;
    UT_hash_handle hh;
} jr_job_worker_t;

/**
 * struct jr_job_hooks_t - callbacks by which the leader follows the state
 * @task: a grant was applied, a run of the task ended, or the granted run is
 *        no longer needed
 * @grant_refused: a grant changed nothing; another one of the task may follow
 *                 in the log
 * @job: a job was accepted or has ended
 * @worker: a worker was added or updated
 * @zone: a zone was drained or taken back
 * @worker_removed: a worker is about to be removed and freed
 * @user: passed to each callback
 */
typedef struct {
    void (*task)(void *user, jr_job_task_t *task);
    void (*grant_refused)(void *user, jr_job_task_t *task,
                          const Jr__JobGrant *grant);
    void (*job)(void *user, jr_job_t *job);
    void (*worker)(void *user, jr_job_worker_t *worker);
    void (*zone)(void *user, const char *name);
    void (*worker_removed)(void *user, jr_job_worker_t *worker);
    void *user;
} jr_job_hooks_t;

/** struct jr_jobs_t - the replicated state; fields are read-only outside */
typedef struct {
    jr_ctx_t *ctx;
    int64_t now; /* latest time of a command; never decreases */
    Jr__JobConfig *config;
    int64_t lease_limit_ms;
    jr_job_queue_t *queues;
    jr_job_t *by_id;
    jr_job_worker_t *workers;
    jr_zones_t *zones;
    struct jr_job_list live;
    struct jr_job_list ended; /* oldest first */
    jr_job_hooks_t hooks;
} jr_jobs_t;

/** jr_new_jobs - create an empty state */
jr_jobs_t *jr_new_jobs(jr_ctx_t *ctx);

/** jr_drop_jobs - free the state; NULL is accepted */
void jr_drop_jobs(jr_jobs_t *jobs);

/** jr_jobs_set_hooks - set the callbacks; NULL members are not called */
void jr_jobs_set_hooks(jr_jobs_t *jobs, const jr_job_hooks_t *hooks);

/**
 * jr_jobs_apply - apply a packed JobCommand of the log
 *
 * Return: JR_OK, or the error to report to the proposer.
 */
jr_result_t jr_jobs_apply(jr_jobs_t *jobs, const uint8_t *bytes, size_t len);

/** jr_jobs_save - pack a JobSnapshot; free it with jr_free() */
uint8_t *jr_jobs_save(jr_jobs_t *jobs, size_t *len);

/**
 * jr_jobs_load - replace the state by a packed JobSnapshot
 *
 * Return: false for an invalid snapshot. Bytes that cannot be unpacked leave
 * the state unchanged; other errors leave it partly loaded.
 */
bool jr_jobs_load(jr_jobs_t *jobs, const uint8_t *bytes, size_t len);

/**
 * jr_job_check - validate the specification of a submitted job
 *
 * Return: JR_OK, or JR_BAD_REQUEST with a message in the context.
 */
jr_result_t jr_job_check(jr_ctx_t *ctx, const Jr__JobSpec *spec);

/**
 * jr_jobs_route - find the configured queue for a request
 * @rest: set to the part of @path after the prefix
 *
 * The longest matching prefix is used. Return: NULL when no queue matches.
 */
jr_job_queue_t *jr_jobs_route(jr_jobs_t *jobs, const char *host,
                              const char *path, const char **rest);

/** jr_jobs_find - find a job by id; NULL if unknown */
jr_job_t *jr_jobs_find(jr_jobs_t *jobs, uint64_t id);

/** jr_jobs_worker - find a worker by id; NULL if unknown */
jr_job_worker_t *jr_jobs_worker(jr_jobs_t *jobs, const char *id);

/**
 * jr_jobs_is_service_drained - are all workers of the service in drained
 * zones? False when it has no workers.
 */
bool jr_jobs_is_service_drained(const jr_jobs_t *jobs, const char *service);

/** jr_jobs_is_queue_drained - the same for a queue that is configured */
bool jr_jobs_is_queue_drained(const jr_jobs_t *jobs, jr_job_queue_t *queue);

/** jr_jobs_is_zone_empty - is no task granted to a worker in the zone? */
bool jr_jobs_is_zone_empty(const jr_jobs_t *jobs, const char *zone);

/** jr_jobs_count_granted - granted tasks of all workers in a zone */
size_t jr_jobs_count_granted(const jr_jobs_t *jobs, const char *zone);

/**
 * jr_worker_is_outdated - was @info sent before what is in the log?
 *
 * False for another incarnation of the worker, and when one of the two has no
 * sequence number, or no start time that tells incarnations apart.
 */
bool jr_worker_is_outdated(const jr_job_worker_t *worker,
                           const Jr__JobWorker *info);

/**
 * jr_worker_is_unchanged - does @info say nothing that is not in the log?
 *
 * False for another incarnation of the worker, and for a worker that became
 * cold; how much longer it is cold is nothing new.
 */
bool jr_worker_is_unchanged(const jr_jobs_t *jobs,
                            const jr_job_worker_t *worker,
                            const Jr__JobWorker *info);

/** jr_jobs_task - find the task of a run; NULL if unknown or freed */
jr_job_task_t *jr_jobs_task(jr_jobs_t *jobs, const Jr__JobRun *run);

/** jr_job_id_parse - parse exactly 16 hexadecimal digits, else false */
bool jr_job_id_parse(const char *text, uint64_t *id);

/** jr_job_state_name - name of a state, such as "queued" */
const char *jr_job_state_name(jr_job_state_t state);

/** jr_task_step - specification of the step of a task */
const Jr__JobStep *jr_task_step(const jr_job_task_t *task);

/** jr_task_step_progress - progress of the step of a task */
jr_step_progress_t *jr_task_step_progress(const jr_job_task_t *task);

/** jr_job_due_ms - time at which an occurrence is due, wall-clock ms */
int64_t jr_job_due_ms(const jr_job_t *job, uint32_t occurrence);

/** jr_job_is_step_ready - whether all steps that it depends on are done */
bool jr_job_is_step_ready(const jr_job_t *job, uint32_t occurrence,
                          uint32_t step);

/** jr_job_is_live - whether the job has not ended */
bool jr_job_is_live(const jr_job_t *job);

#endif
