/**
 * DOC: dispatch - scheduling decisions of the leader of a job group
 *
 * Decides which task runs on which worker and when, and issues the orders
 * for the workers. The owner of the dispatcher sends the orders; each order
 * is answered once. A start order is issued only after its grant is in the
 * log. A task moves to another worker only when its run cannot continue:
 * the end of the run is in the log, the worker refuses the run from now on,
 * the incarnation of the worker has ended, or every lease that the worker
 * may have has expired.
 *
 * The dispatcher reads no clock and opens no socket. Times are
 * milliseconds of a monotonic clock that also counts suspensions; times on
 * the clock of a worker are named so.
 */
#ifndef JAYRELAY_DISPATCH_H
#define JAYRELAY_DISPATCH_H

#include "jayrelay/intake.h"
#include "jayrelay/job.h"

/** enum jr_order_kind_t - kinds of orders to a worker */
typedef enum {
    JR_ORDER_START,
    JR_ORDER_STOP,
    JR_ORDER_RENEW, /* renew the lease, list runs and ends */
    JR_ORDER_PACE,  /* run a task at a percentage of its full pace */
} jr_order_kind_t;

/**
 * struct jr_order_t - one order; texts are borrowed until the next call
 * @serial: identifies the order when it is answered
 * @zone: availability zone of the worker
 * @fence: fencing token, the same for all orders of a leader
 * @run: the run concerned; unset for renewals
 * @expires_ms: of starts and renewals: end of the lease on the worker's
 *              clock; 0 for none
 * @ends_seen: of renewals: ends up to this number are in the log
 * @wait_ms: of renewals: how long the worker may wait for a run to end
 *           before it answers
 * @percent: of pace orders: percentage of the full pace of the run
 */
typedef struct {
    jr_order_kind_t kind;
    uint64_t serial;
    const char *worker;
    const char *address;
    const char *zone;
    uint64_t fence;
    int64_t timeout_ms;
    Jr__JobRun run;
    union {
        struct {
            const char *payload;
            const char *checkpoint;
            int64_t expires_ms;
        } start;
        struct {
            int64_t expires_ms;
            uint64_t ends_seen;
            int64_t wait_ms;
        } renew;
        struct {
            uint32_t percent;
        } pace;
    } as;
} jr_order_t;

/** enum jr_answer_kind_t - outcome of an order */
typedef enum {
    JR_ANSWER_DONE,
    JR_ANSWER_FENCED,      /* the worker knows a higher fencing token */
    JR_ANSWER_OLD_RUN,     /* this run, or a later one, has ended there */
    JR_ANSWER_EXPIRED,     /* the lease expired before the order came */
    JR_ANSWER_NO_CAPACITY, /* the worker lacks the capacity */
    JR_ANSWER_UNHEALTHY,   /* the worker is unhealthy and did nothing */
    JR_ANSWER_OTHER_INCARNATION, /* the incarnation has ended */
    JR_ANSWER_REFUSED,           /* refused for another reason, not executed */
    JR_ANSWER_UNREACHED,         /* no byte of the order was sent */
    JR_ANSWER_UNKNOWN,           /* may have been executed, or may yet be */
} jr_answer_kind_t;

/**
 * struct jr_running_t - a run in the list of a worker
 * @percent: share of its work that is done
 * @gauge: of a service: tail latency in ms; else processors in use,
 *         in thousandths
 */
typedef struct {
    Jr__JobRun run;
    const char *checkpoint;
    uint32_t percent;
    uint32_t gauge;
} jr_running_t;

/** struct jr_ended_t - the end of a run in the list of a worker */
typedef struct {
    uint64_t number;
    Jr__JobRun run;
    Jr__JobEnd__How how;
    const char *checkpoint;
} jr_ended_t;

/**
 * struct jr_answer_t - the answer to an order; borrowed
 * @is_refused: of JR_ANSWER_UNREACHED: the connection was refused at once. The
 * worker may be running in either case, and cut off
 * @clock_ms: clock of the worker when it answered, 0 when not given
 * @incarnation: start time of the worker's incarnation, 0 when not given
 * @running: of a renewal: runs on the worker
 * @ended: of a renewal: ends of runs, in order of their numbers
 */
typedef struct {
    jr_answer_kind_t kind;
    bool is_refused;
    int64_t clock_ms;
    int64_t incarnation;
    const jr_running_t *running;
    size_t n_running;
    const jr_ended_t *ended;
    size_t n_ended;
} jr_answer_t;

/**
 * struct jr_dispatch_options_t - settings of a dispatcher
 * @lease_ms: longest lease of a worker, which covers all runs on it
 * @failover_ms: tasks of a worker that is lost without notice run again within
 *               this time, also when the leader is lost with it; bounds the
 *               lease; 0: no bound
 * @drift_permille: bound on the rate error of a worker's clock
 * @hold_wait_ms: how long a worker may wait for a run to end before it
 *                answers a renewal
 * @order_age_ms: a leader issues orders for at most this long after a majority
 *                has confirmed it, so for as long after a newer one is elected
 * @far_permille: run time of a task away from its data, in thousandths of
 *                its run time near them
 */
typedef struct {
    int64_t lease_ms;
    int64_t failover_ms;
    int64_t drift_permille;
    int64_t hold_wait_ms;
    int64_t order_age_ms;
    int64_t far_permille;
} jr_dispatch_options_t;

typedef struct jr_dispatch jr_dispatch_t;

/** jr_new_dispatch - a dispatcher for @jobs, which it borrows */
jr_dispatch_t *jr_new_dispatch(jr_ctx_t *ctx,
                               const jr_dispatch_options_t *options,
                               jr_jobs_t *jobs);

/** jr_drop_dispatch - free; NULL is accepted */
void jr_drop_dispatch(jr_dispatch_t *d);

/**
 * jr_dispatch_lead - this replica became the leader
 * @fence: its term, used as fencing token
 */
void jr_dispatch_lead(jr_dispatch_t *d, uint64_t fence, int64_t now);

/** jr_dispatch_resign - step down; discards all orders and commands */
void jr_dispatch_resign(jr_dispatch_t *d);

/**
 * jr_dispatch_tick - advance the time and handle what has become due
 * @wall_ms: wall clock, for occurrences that become due
 */
void jr_dispatch_tick(jr_dispatch_t *d, int64_t now, int64_t wall_ms);

/**
 * jr_dispatch_take_command - the next command for the log
 * @command: packed, owned by the caller (jr_free())
 *
 * Return: false when there is none.
 */
bool jr_dispatch_take_command(jr_dispatch_t *d, uint8_t **command,
                              size_t *len);

/**
 * jr_dispatch_take_order - the next order to send
 *
 * Return: false when there is none.
 */
bool jr_dispatch_take_order(jr_dispatch_t *d, jr_order_t *order);

/** jr_dispatch_answer - an order was answered, or its outcome is unknown */
void jr_dispatch_answer(jr_dispatch_t *d, uint64_t serial,
                        const jr_answer_t *answer, int64_t now);

/**
 * jr_dispatch_is_born - can that be the start time of a worker?
 * @born: wall clock of the worker, ms since 1970
 *
 * The highest start time under an id is the worker's, so one that can't be
 * true would shut it out. This host's clock is not asked: it may be the wrong
 * one.
 */
bool jr_dispatch_is_born(int64_t born);

/**
 * jr_dispatch_checked_in - a worker announced itself
 *
 * One of a later incarnation than the known one is kept until the worker has
 * been asked; then it becomes a command, see jr_dispatch_take_command().
 *
 * Return: true when @info must be written to the log first.
 */
bool jr_dispatch_checked_in(jr_dispatch_t *d, const Jr__JobWorker *info,
                            int64_t now);

/**
 * jr_dispatch_left - a worker announced that it shuts down
 * @incarnation: start time of the incarnation that leaves, 0 when not given
 *
 * Return: true when a JobWorkerLeaving of its present incarnation must be
 * written to the log, so that later leaders know.
 */
bool jr_dispatch_left(jr_dispatch_t *d, const char *worker,
                      int64_t incarnation, int64_t now);

/**
 * jr_dispatch_admit - may a new job be proposed to the log?
 * @queue: its queue, in the current configuration
 * @spec: a valid job that is not known yet
 * @verdict: set to the reasons
 *
 * A job that may be is counted as accepted work from now on.
 *
 * Return: false when the job can't end in time.
 */
bool jr_dispatch_admit(jr_dispatch_t *d, const jr_job_queue_t *queue,
                       const Jr__JobSpec *spec, jr_intake_verdict_t *verdict);

#endif
