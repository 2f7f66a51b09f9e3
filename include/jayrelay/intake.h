/**
 * DOC: intake - whether a new job can still be served in time
 *
 * Load: a burst of jobs beside too few workers. Jobs that are accepted all the
 * same wait until nobody wants their results. A job is refused only when even
 * a favourable estimate says that it ends after its late bound: a wrong
 * refusal costs its caller the job, a wrong acceptance little.
 *
 * Pure functions: the caller describes the job and the accepted work that is
 * not done, the verdict follows. The work is kept as sums, so the cost of a
 * verdict depends on the number of queues and not on that of jobs. Processors
 * are thousandths, work is thousandths of a processor times ms.
 */
#ifndef JAYRELAY_INTAKE_H
#define JAYRELAY_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    JR_INTAKE_DUE_SLOTS = 20,
    JR_INTAKE_TIME_SLOTS = 8,
    /* Bounds of the time to come back. */
    JR_INTAKE_RETRY_MIN_MS = 1000,
    JR_INTAKE_RETRY_MAX_MS = 10000,
};

/** enum jr_intake_class_t - classes of work; services are not counted */
typedef enum {
    JR_INTAKE_SHORT,
    JR_INTAKE_BEST_EFFORT,
    JR_INTAKE_CLASSES,
} jr_intake_class_t;

/** struct jr_intake_cell_t - tasks of similar run times */
typedef struct {
    double milli;    /* processors */
    double milli_ms; /* work, by estimates */
} jr_intake_cell_t;

/**
 * struct jr_intake_queue_t - accepted work of one queue that is not done
 * @pool: index of the workers that run its tasks
 * @priority: 0 is the most urgent
 * @weight: of its share among queues of the same priority
 * @latest_due_ms: of the work in a slot of time, from now
 * @cells: sums over the work due up to the end of a slot of time, by run time;
 *         see jr_intake_add()
 */
typedef struct {
    size_t pool;
    uint32_t priority;
    uint32_t weight;
    int64_t latest_due_ms[JR_INTAKE_CLASSES][JR_INTAKE_DUE_SLOTS];
    jr_intake_cell_t cells[JR_INTAKE_CLASSES][JR_INTAKE_DUE_SLOTS]
                          [JR_INTAKE_TIME_SLOTS];
} jr_intake_queue_t;

/**
 * struct jr_intake_pool_t - workers that run the tasks of some queues
 * @milli: processors that the tasks of a class can get at best; 0: not known
 */
typedef struct {
    double milli[JR_INTAKE_CLASSES];
} jr_intake_pool_t;

/**
 * struct jr_intake_backlog_t - all accepted work; borrowed
 * @ratio_permille: of real to estimated run times, by class; see
 *                  jr_intake_ratio_permille()
 */
typedef struct {
    const jr_intake_queue_t *queues;
    size_t n_queues;
    const jr_intake_pool_t *pools;
    uint32_t ratio_permille[JR_INTAKE_CLASSES];
} jr_intake_backlog_t;

/**
 * struct jr_intake_job_t - a job that asks to be accepted
 * @queue: index of its queue in the backlog
 * @chain_ms: estimated run time of its longest chain of tasks
 * @milli_ms: its work by class, by estimates
 * @allowed_ms: time in which it should end; 0: no objective
 * @late_ms: after this time its result is of little use; not below @allowed_ms
 * @is_exempt: never refused: a lasting service, a job that begins later, or
 *             one whose run time is not known
 */
typedef struct {
    uint64_t id;
    size_t queue;
    int64_t chain_ms;
    double milli_ms[JR_INTAKE_CLASSES];
    int64_t allowed_ms;
    int64_t late_ms;
    bool is_exempt;
} jr_intake_job_t;

/** enum jr_intake_reason_t - what a verdict is for */
typedef enum {
    JR_INTAKE_ACCEPTED,
    JR_INTAKE_URGENT_BACKLOG, /* of more urgent queues */
    JR_INTAKE_QUEUE_BACKLOG,  /* of its own queue, beyond the queue's share */
} jr_intake_reason_t;

/**
 * struct jr_intake_verdict_t - whether a job is accepted
 * @wait_ms: of a refusal: least wait by the estimate, else 0
 * @limit_ms: of a refusal: longest wait with which it may end before its late
 *            bound, else 0
 * @retry_after_ms: of a refusal: when to come back, else 0
 */
typedef struct {
    jr_intake_reason_t reason;
    int64_t wait_ms;
    int64_t limit_ms;
    int64_t retry_after_ms;
} jr_intake_verdict_t;

/**
 * struct jr_intake_ratio_t - learned ratio of real to estimated run times;
 * zeroed before its first use
 */
typedef struct {
    double estimated_ms;
    double real_ms;
    uint32_t n;
} jr_intake_ratio_t;

/** jr_intake_learn - a task ended that was neither interrupted nor resumed */
void jr_intake_learn(jr_intake_ratio_t *ratio, int64_t estimate_ms,
                     int64_t real_ms);

/**
 * jr_intake_ratio_permille - the ratio, in thousandths and within fixed bounds
 *
 * Favourable to callers until enough tasks have ended.
 */
uint32_t jr_intake_ratio_permille(const jr_intake_ratio_t *ratio);

/**
 * jr_intake_add - add tasks to the work of a queue
 * @milli: processors of all of them
 * @time_ms: estimated run time of one that is left; without one they do not
 *           count
 * @due_in_ms: when they should be done; in the past for tasks that run
 */
void jr_intake_add(jr_intake_queue_t *queue, jr_intake_class_t work_class,
                   double milli, int64_t time_ms, int64_t due_in_ms);

/** jr_intake_decide - accept the job, or refuse it */
jr_intake_verdict_t jr_intake_decide(const jr_intake_backlog_t *backlog,
                                     const jr_intake_job_t *job);

#endif
