/**
 * DOC: call - a call of a latency-critical service inside one process
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

/** jr_refusal_name - "overload" and so on; never NULL */
const char *jr_refusal_name(jr_refusal_t refusal);

/** jr_refusal_code - the result code of a refusal */
jr_result_t jr_refusal_code(jr_refusal_t refusal);

/** enum jr_verdict_kind_t - how a call ends */
typedef enum {
    JR_VERDICT_ANSWERED, /* the whole answer of one attempt */
    JR_VERDICT_NOT_RUN,  /* it truly did not run */
    JR_VERDICT_UNKNOWN,  /* it may have run */
} jr_verdict_kind_t;

/**
 * struct jr_verdict_t - the final answer to a call
 * @as.answered.token: what the owner handed in with the attempt's end
 * @as.not_run.retry_after_us: when to come back
 */
typedef struct {
    jr_verdict_kind_t kind;
    union {
        struct {
            const void *token;
        } answered;
        struct {
            jr_refusal_t reason;
            int64_t retry_after_us;
        } not_run;
    } as;
} jr_verdict_t;

/**
 * struct jr_call_t - a call
 * @deadline: until when its caller waits
 * @priority: from the rules; the higher is served first
 * @is_idempotent: may run more than once
 * @is_forwarded: came from another entry process; not forwarded again
 * @attempt: number of the attempt under way, 0 for none
 * @user: its owner's
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
    bool was_sent_back; /* a peer did not take it */
    bool may_have_run;  /* an attempt ended without a known outcome */
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
