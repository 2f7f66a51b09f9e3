/**
 * DOC: route - which upstream gets the next attempt
 *
 * Only upstreams with a slot that this process may use are considered. The
 * scored policy looks at a few of them and takes the one with the least
 * expected wait, by observed latency and slots in use. An upstream that
 * fails what it is given is ejected, so that a fast failer does not look
 * like the fastest host, and comes back on probation.
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
 * @scored.candidates: upstreams looked at for one decision
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
 * jr_route_choose - an upstream for an attempt
 * @avoid: an upstream that failed the call before, or NULL
 * @timeout_us: how long the attempt may last; a borrowed slot must last
 *              as long
 *
 * Return: an upstream with a free slot, or NULL.
 */
jr_upstream_t *jr_route_choose(const jr_route_policy_t *policy,
                               jr_service_t *service,
                               const jr_upstream_t *avoid, GRand *rng,
                               int64_t now, int64_t timeout_us);

/** enum jr_attempt_result_t - how an attempt ended, for its upstream */
typedef enum {
    JR_ATTEMPT_OK,
    JR_ATTEMPT_FAILED,  /* no answer, or an error */
    JR_ATTEMPT_REFUSED, /* it was full or leaving: says nothing of health */
} jr_attempt_result_t;

/** jr_route_note - learn from the end of an attempt; may eject */
void jr_route_note(jr_ctx_t *ctx, const jr_route_policy_t *policy,
                   jr_upstream_t *upstream, jr_attempt_result_t result,
                   int64_t latency_us, int64_t now);

#endif
