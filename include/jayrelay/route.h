/**
 * DOC: route - chooses the upstream of an attempt
 *
 * Only upstreams with a slot that this process may use are considered. The
 * scored policy compares a few of them and takes the one with the lowest
 * expected response time, from observed latency, slots in use and failure
 * rate. An upstream with a high failure rate is ejected for a while, since
 * fast errors would otherwise make it look like the fastest host, and is
 * readmitted on probation.
 */
#ifndef JAYRELAY_ROUTE_H
#define JAYRELAY_ROUTE_H

#include <glib.h>

#include "jayrelay/limit.h"

/** enum jr_route_kind_t - how an upstream is chosen */
typedef enum {
    JR_ROUTE_RANDOM,          /* baseline */
    JR_ROUTE_ROUND_ROBIN,     /* baseline */
    JR_ROUTE_LEAST_IN_FLIGHT, /* baseline */
    JR_ROUTE_SCORED,
} jr_route_kind_t;

/**
 * struct jr_route_policy_t - a policy and its parameters
 * @as.scored.candidates: number of upstreams compared for one decision
 */
typedef struct {
    jr_route_kind_t kind;
    union {
        struct {
            int candidates;
        } scored;
    } as;
} jr_route_policy_t;

/**
 * jr_route_choose - choose an upstream for an attempt
 * @avoid: upstream of the call's previous attempt, or NULL; the scored
 *         policy chooses it only if no other candidate is eligible
 * @timeout_us: maximum duration of the attempt; a borrowed slot must stay
 *              borrowed at least as long
 *
 * Return: an upstream with a free slot, or NULL.
 */
jr_upstream_t *jr_route_choose(const jr_route_policy_t *policy,
                               jr_service_t *service,
                               const jr_upstream_t *avoid, GRand *rng,
                               int64_t now, int64_t timeout_us);

/** enum jr_attempt_result_t - what an attempt says about its upstream */
typedef enum {
    JR_ATTEMPT_OK,
    JR_ATTEMPT_FAILED,  /* no answer, or an error */
    JR_ATTEMPT_REFUSED, /* full or leaving: no sign of a failure */
} jr_attempt_result_t;

/**
 * jr_route_record_attempt - update an upstream's statistics; may eject it
 * @latency_us: duration of the attempt
 */
void jr_route_record_attempt(jr_ctx_t *ctx, const jr_route_policy_t *policy,
                             jr_upstream_t *upstream,
                             jr_attempt_result_t result, int64_t latency_us,
                             int64_t now);

#endif
