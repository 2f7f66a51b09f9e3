/**
 * DOC: dispatch - what the leader of a job group decides
 *
 * Which task runs where and when, and what each worker is told. Workers are
 * told by orders that the owner carries out; each order is answered once.
 * A grant is in the log before its start order is handed out. A task goes
 * to another worker only when its run is known to be over: its end is in
 * the log, the worker refuses the run from now on, the worker's life is
 * over, or every lease that it may have has lapsed.
 *
 * The dispatcher reads no clock and opens no socket. Times are
 * milliseconds of a monotonic clock that also counts suspensions; times on
 * a worker's clock are named so.
 */
#ifndef JAYRELAY_DISPATCH_H
#define JAYRELAY_DISPATCH_H

#include "jayrelay/job.h"

/** enum jr_order_kind_t - what a worker is told */
typedef enum {
    JR_ORDER_START,
    JR_ORDER_STOP,
    JR_ORDER_HOLD, /* renew the lease, list runs and ends */
    JR_ORDER_PACE, /* let a run work at a part of its full pace */
} jr_order_kind_t;

/**
 * struct jr_order_t - one order; texts are borrowed until the next call
 * @serial: names the order in its answer
 * @fence: fencing token, the same for all orders of a leader
 * @run: of all but holds
 * @expires_ms: of starts and holds: end of the lease on the worker's
 *              clock; 0 for none
 * @ends_seen: of holds: ends up to this number are in the log
 * @wait_ms: of holds: how long the worker may wait for an end
 * @percent: of paces: of the run's full pace
 */
typedef struct {
    jr_order_kind_t kind;
    uint64_t serial;
    const char *worker;
    const char *address;
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
        } hold;
        struct {
            uint32_t percent;
        } pace;
    } as;
} jr_order_t;

/** enum jr_answer_kind_t - what is known of an order that was sent */
typedef enum {
    JR_ANSWER_DONE,
    JR_ANSWER_FENCED,     /* the worker knows a higher fencing token */
    JR_ANSWER_OLD_RUN,    /* this run, or a later one, has ended there */
    JR_ANSWER_EXPIRED,    /* the lease was over before the order arrived */
    JR_ANSWER_NO_ROOM,    /* the worker lacks the capacity */
    JR_ANSWER_UNHEALTHY,  /* the worker has done nothing */
    JR_ANSWER_OTHER_LIFE, /* the worker's life is over */
    JR_ANSWER_REFUSED,    /* the worker has done nothing, for another reason */
    JR_ANSWER_UNREACHED,  /* no byte of the order left */
    JR_ANSWER_UNCLEAR,    /* it may have been carried out, or may yet be */
} jr_answer_kind_t;

/**
 * struct jr_running_t - a run in the list of a worker
 * @percent: of its work that is done
 * @gauge: tail latency in ms of a service, else processors in use, thousandths
 */
typedef struct {
    Jr__JobRun run;
    const char *checkpoint;
    uint32_t percent;
    uint32_t gauge;
} jr_running_t;

/** struct jr_ended_t - an end in the list of a worker */
typedef struct {
    uint64_t number;
    Jr__JobRun run;
    Jr__JobEnd__How how;
    const char *checkpoint;
} jr_ended_t;

/**
 * struct jr_answer_t - the answer to an order; borrowed
 * @clock_ms: the worker's clock when it answered, 0 when it did not say
 * @born: life of the worker, 0 when it did not say
 * @running: of a hold
 * @ended: of a hold, by number
 */
typedef struct {
    jr_answer_kind_t kind;
    int64_t clock_ms;
    int64_t born;
    const jr_running_t *running;
    size_t n_running;
    const jr_ended_t *ended;
    size_t n_ended;
} jr_answer_t;

/**
 * struct jr_dispatch_options_t - what a dispatcher is made with
 * @lease_ms: of a worker, for all that runs on it
 * @drift_permille: bound on the rate of a worker's clock
 * @hold_wait_ms: how long a worker may wait for an end before it answers
 * @far_permille: run time of a task away from its data, of the usual
 */
typedef struct {
    int64_t lease_ms;
    int64_t drift_permille;
    int64_t hold_wait_ms;
    int64_t far_permille;
} jr_dispatch_options_t;

typedef struct jr_dispatch jr_dispatch_t;

/** jr_new_dispatch - follows @jobs, which it borrows */
jr_dispatch_t *jr_new_dispatch(jr_ctx_t *ctx,
                               const jr_dispatch_options_t *options,
                               jr_jobs_t *jobs);

/** jr_drop_dispatch - free; NULL is accepted */
void jr_drop_dispatch(jr_dispatch_t *d);

/**
 * jr_dispatch_lead - this replica leads from now on
 * @fence: its term
 */
void jr_dispatch_lead(jr_dispatch_t *d, uint64_t fence, int64_t now);

/** jr_dispatch_resign - it leads no more; all orders are forgotten */
void jr_dispatch_resign(jr_dispatch_t *d);

/**
 * jr_dispatch_tick - let time pass
 * @wall_ms: wall clock, for occurrences that become due
 */
void jr_dispatch_tick(jr_dispatch_t *d, int64_t now, int64_t wall_ms);

/**
 * jr_dispatch_take_command - the next command for the log
 * @command: packed, owned by the caller (jr_free())
 */
bool jr_dispatch_take_command(jr_dispatch_t *d, uint8_t **command,
                              size_t *len);

/** jr_dispatch_take_order - the next order to send */
bool jr_dispatch_take_order(jr_dispatch_t *d, jr_order_t *order);

/** jr_dispatch_answer - an order was answered */
void jr_dispatch_answer(jr_dispatch_t *d, uint64_t serial,
                        const jr_answer_t *answer, int64_t now);

/**
 * jr_dispatch_checked_in - a worker announced itself
 *
 * Return: true when the news must go into the log first.
 */
bool jr_dispatch_checked_in(jr_dispatch_t *d, const Jr__JobWorker *info,
                            int64_t now);

/** jr_dispatch_left - a worker says that it ends */
void jr_dispatch_left(jr_dispatch_t *d, const char *worker, int64_t now);

#endif
