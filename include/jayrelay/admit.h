/**
 * DOC: admit - which call waits, which is served next, which is refused
 *
 * Calls without a slot wait by priority and, within a priority, by
 * deadline. A call that can't meet its deadline is refused at once, with a
 * time to come back, and so is a waiting call as soon as that becomes
 * clear. Nobody is kept waiting for an answer that is known already.
 */
#ifndef JAYRELAY_ADMIT_H
#define JAYRELAY_ADMIT_H

#include "jayrelay/call.h"

/** enum jr_admit_kind_t - order of the queue */
typedef enum {
    JR_ADMIT_FIFO,     /* baseline: first come, no look at deadlines */
    JR_ADMIT_DEADLINE, /* priority, then deadline */
} jr_admit_kind_t;

enum { JR_QUEUE_MAX = 10000 };

typedef struct jr_queue jr_queue_t;

/** jr_new_queue - an empty queue */
jr_queue_t *jr_new_queue(jr_ctx_t *ctx, jr_admit_kind_t kind);

/** jr_drop_queue - free a queue; the calls are not touched */
void jr_drop_queue(jr_queue_t *queue);

/** jr_queue_length - calls that wait */
size_t jr_queue_length(const jr_queue_t *queue);

/**
 * struct jr_pace_t - how fast a queue is served
 * @slots: slots that serve it
 * @mean_us: mean time that a call takes
 * @deviation_us: mean distance from that
 */
typedef struct {
    int slots;
    double mean_us;
    double deviation_us;
} jr_pace_t;

/** jr_queue_wait - expected wait of a call before it gets a slot */
int64_t jr_queue_wait(jr_queue_t *queue, const jr_call_t *call,
                      const jr_pace_t *pace);

/**
 * jr_queue_check - may this call wait?
 *
 * A call is let in only when nearly all calls like it would make it, so
 * that few are refused after they have waited.
 * Return: JR_OK; JR_DEADLINE when it would be late; JR_OVERLOADED when the
 * queue is full of calls that go before it.
 */
jr_result_t jr_queue_check(jr_queue_t *queue, const jr_call_t *call,
                           const jr_pace_t *pace, int64_t now);

/** jr_queue_push - let a call wait */
void jr_queue_push(jr_queue_t *queue, jr_call_t *call);

/** jr_queue_remove - take a call out */
void jr_queue_remove(jr_queue_t *queue, jr_call_t *call);

/** jr_queue_first - the call to serve next, or NULL */
jr_call_t *jr_queue_first(jr_queue_t *queue);

/** jr_queue_last - the call to shed first, or NULL */
jr_call_t *jr_queue_last(jr_queue_t *queue);

/**
 * jr_queue_late - a waiting call that can't meet its deadline any more
 *
 * Return: the call, still in the queue, or NULL.
 */
jr_call_t *jr_queue_late(jr_queue_t *queue, double service_us, int64_t now);

#endif
