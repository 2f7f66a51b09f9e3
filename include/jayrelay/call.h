/**
 * DOC: call - a call of a latency-critical service within one entry process
 */
#ifndef JAYRELAY_CALL_H
#define JAYRELAY_CALL_H

#include <glib.h>
#include <sys/queue.h>

#include "jayrelay/upstream.h"

/** enum jr_refusal_t - why a call is refused as "not run" */
typedef enum {
    JR_REFUSE_OVERLOAD,
    JR_REFUSE_DEADLINE,
    JR_REFUSE_NO_UPSTREAM,
    JR_REFUSE_SHED,
    JR_REFUSE_UPSTREAM,
    JR_REFUSALS
} jr_refusal_t;

/** jr_refusal_name - name of a reason, such as "overload"; never NULL */
const char *jr_refusal_name(jr_refusal_t refusal);

/** jr_refusal_code - result code of a reason */
jr_result_t jr_refusal_code(jr_refusal_t refusal);

/** enum jr_call_outcome_kind_t - how a call ends */
typedef enum {
    JR_OUTCOME_ANSWERED, /* complete answer of one attempt */
    JR_OUTCOME_NOT_RUN,  /* no attempt can have run */
    JR_OUTCOME_UNKNOWN,  /* an attempt may have run */
} jr_call_outcome_kind_t;

/**
 * struct jr_call_outcome_t - outcome of a call
 * @as.answered.token: the token given to jr_relay_end_attempt()
 * @as.not_run.reason: why the call was refused
 * @as.not_run.retry_after_us: delay before the caller should try again
 */
typedef struct {
    jr_call_outcome_kind_t kind;
    union {
        struct {
            const void *token;
        } answered;
        struct {
            jr_refusal_t reason;
            int64_t retry_after_us;
        } not_run;
    } as;
} jr_call_outcome_t;

/**
 * struct jr_call_t - a call
 * @service: its service, or NULL when no upstream has announced it
 * @arrived: time of arrival, microseconds
 * @deadline: time until which the caller waits, microseconds
 * @priority: from the rules; higher is served first
 * @is_idempotent: may run more than once
 * @is_forwarded: received from another entry process; not forwarded again
 * @was_declined: a peer declined it; not forwarded a second time
 * @may_have_run: an attempt ended that is not known not to have run
 * @attempts: attempts that were sent; one that a peer declined counts not
 * @attempt: number of the current attempt, 0 for none
 * @attempt_started: start time of that attempt, microseconds
 * @upstream: target of that attempt, or NULL when it was forwarded
 * @peer: index of the peer it was forwarded to, or -1
 * @avoid: upstream of the previous attempt, or NULL
 * @queued: position in the queue's order of service
 * @by_deadline: position in the queue's order of deadlines
 * @user: owned by the relay's owner
 */
typedef struct jr_call {
    uint64_t id;
    jr_service_t *service;
    char service_name[JR_UPSTREAM_NAME_BYTES];
    int64_t arrived;
    int64_t deadline;
    int priority;
    bool is_idempotent;
    bool is_forwarded;
    bool was_declined;
    bool may_have_run;
    int attempts;
    uint64_t attempt;
    int64_t attempt_started;
    jr_upstream_t *upstream;
    int peer;
    jr_upstream_t *avoid;
    GSequenceIter *queued;
    GSequenceIter *by_deadline;
    void *user;
    UT_hash_handle hh;
} jr_call_t;

#endif
