/**
 * DOC: admit - admission control: queue of the calls that wait for a slot
 *
 * Calls without a slot are queued by priority and, within a priority, by
 * deadline. A call that is not expected to meet its deadline is refused at
 * once with a retry delay. A queued call is refused as soon as it can no
 * longer meet its deadline, so that no caller waits for an answer that is
 * already known.
 */
#ifndef JAYRELAY_ADMIT_H
#define JAYRELAY_ADMIT_H

#include "jayrelay/call.h"

/** enum jr_admit_kind_t - order of the queue */
typedef enum {
    JR_ADMIT_FIFO,     /* baseline: order of arrival, deadlines ignored */
    JR_ADMIT_DEADLINE, /* priority, then deadline */
} jr_admit_kind_t;

/* Calls waiting per service; beyond it a call is refused or one is shed. */
enum { JR_QUEUE_MAX = 10000 };

typedef struct jr_queue jr_queue_t;

/** jr_new_queue - create an empty queue */
jr_queue_t *jr_new_queue(jr_ctx_t *ctx, jr_admit_kind_t kind);

/** jr_drop_queue - free a queue but not its calls. NULL is accepted */
void jr_drop_queue(jr_queue_t *queue);

/** jr_queue_length - number of queued calls */
size_t jr_queue_length(const jr_queue_t *queue);

/**
 * struct jr_service_rate_t - how fast a queue is served
 * @slots: number of slots that serve it
 * @mean_us: mean service time of a call
 * @deviation_us: mean absolute deviation from that
 */
typedef struct {
    int slots;
    double mean_us;
    double deviation_us;
} jr_service_rate_t;

/** jr_queue_wait - expected wait of a call for a slot, in microseconds */
int64_t jr_queue_wait(jr_queue_t *queue, const jr_call_t *call,
                      const jr_service_rate_t *rate);

/**
 * jr_queue_check - may this call be queued?
 *
 * A call is admitted only if a pessimistic estimate of its wait and service
 * time meets its deadline, so that few calls are refused after waiting.
 * The FIFO baseline checks the length of the queue only.
 * Return: JR_OK; JR_DEADLINE when the call would miss its deadline;
 * JR_OVERLOADED when the queue is full of calls that precede it.
 */
jr_result_t jr_queue_check(jr_queue_t *queue, const jr_call_t *call,
                           const jr_service_rate_t *rate, int64_t now);

/** jr_queue_push - add a call */
void jr_queue_push(jr_queue_t *queue, jr_call_t *call);

/** jr_queue_remove - remove a queued call */
void jr_queue_remove(jr_queue_t *queue, jr_call_t *call);

/** jr_queue_first - the call to serve next, or NULL */
jr_call_t *jr_queue_first(jr_queue_t *queue);

/** jr_queue_last - the call to shed first, or NULL */
jr_call_t *jr_queue_last(jr_queue_t *queue);

/**
 * jr_queue_find_late - find a call that can no longer meet its deadline
 * @service_us: expected service time; the FIFO baseline ignores it
 *
 * Return: the call, still in the queue, or NULL.
 */
jr_call_t *jr_queue_find_late(jr_queue_t *queue, double service_us,
                              int64_t now);

#endif
