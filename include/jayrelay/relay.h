/**
 * DOC: relay - the life of calls in one entry process
 *
 * Admission, routing, limits and retries put together. Pure: it is told
 * what happened and when, and asks its owner through hooks to start
 * attempts and to answer callers. A verdict is given once for each call; an
 * end of an attempt that is not the call's current one changes nothing, so
 * a late answer can't reach the wrong caller.
 */
#ifndef JAYRELAY_RELAY_H
#define JAYRELAY_RELAY_H

#include "jayrelay/admit.h"
#include "jayrelay/retry.h"
#include "jayrelay/route.h"

enum {
    JR_PEERS_MAX = 64,
    JR_PEER_TTL_US = 1500 * 1000,
};

/** enum jr_attempt_end_t - what is known of an attempt that ended */
typedef enum {
    JR_END_ANSWERED, /* whole answer to this very attempt */
    JR_END_FAILED,   /* whole answer that reports a failure of the upstream */
    JR_END_NOT_RUN,  /* the upstream said so, or no byte left */
    JR_END_NOT_CONNECTED,
    JR_END_BROKEN, /* no whole answer */
    JR_END_TIMEOUT,
} jr_attempt_end_t;

/**
 * struct jr_relay_hooks_t - what a relay asks of its owner
 * @start: send an attempt of @call: to @call->upstream, or to the peer
 *         @call->peer when that is NULL
 * @finish: the verdict; @call is freed afterwards
 * @ask_loan: ask a peer for slots of a service
 */
typedef struct {
    void (*start)(void *user, jr_call_t *call, int64_t timeout_us);
    void (*finish)(void *user, jr_call_t *call, const jr_verdict_t *verdict);
    void (*ask_loan)(void *user, int peer, const char *service, int slots);
    void *user;
} jr_relay_hooks_t;

/**
 * struct jr_relay_options_t - policies
 * @processes: names of the entry processes of the zone's settings, this
 *             one at @self; borrowed
 * @peers: entry processes of the other zones, for forwarding: 0 to
 *         @n_peers - 1; peers of the own zone come after them
 * @crossing_us: what a crossing to another zone is reckoned to cost
 */
typedef struct {
    jr_route_policy_t route;
    jr_admit_kind_t admit;
    jr_retry_kind_t retry;
    int retry_percent;
    const char *const *processes;
    size_t n_processes;
    size_t self;
    int n_other_zones;
    int n_own_zone;
    int64_t crossing_us;
    uint32_t seed;
    jr_relay_hooks_t hooks;
} jr_relay_options_t;

typedef struct jr_relay jr_relay_t;

/** jr_new_relay - a relay over the upstreams, which it borrows */
jr_relay_t *jr_new_relay(jr_ctx_t *ctx, const jr_relay_options_t *options,
                         jr_upstreams_t *upstreams);

/** jr_drop_relay - free; calls under way get no verdict. NULL is accepted */
void jr_drop_relay(jr_relay_t *relay);

/**
 * jr_relay_call - a call arrived
 *
 * The verdict may come before this returns.
 */
void jr_relay_call(jr_relay_t *relay, const char *service, int priority,
                   bool is_idempotent, bool is_forwarded, int64_t deadline_us,
                   void *user, int64_t now);

/**
 * jr_relay_ended - an attempt ended
 * @call_id, @attempt: as they were when it started
 * @token: the answer, handed on in the verdict
 *
 * Return: false when it was late and nothing happened.
 */
bool jr_relay_ended(jr_relay_t *relay, uint64_t call_id, uint64_t attempt,
                    jr_attempt_end_t end, const void *token, int64_t now);

/** jr_relay_announced - an upstream was heard of; share its slots out */
void jr_relay_announced(jr_relay_t *relay, jr_upstream_t *upstream,
                        int64_t now);

/**
 * jr_relay_asked - a peer asks for slots of a service
 * @upstream: set to the upstream of which slots are lent
 *
 * Return: number of slots lent, 0 for none.
 */
int jr_relay_asked(jr_relay_t *relay, const char *service, int slots,
                   jr_upstream_t **upstream, int64_t now);

/**
 * jr_relay_lent - a peer answered that it lends
 * @asked_at: when the loan was asked for; its time counts from then
 */
void jr_relay_lent(jr_relay_t *relay, const char *name, int slots,
                   int64_t asked_at, int64_t now);

/** jr_relay_heard - a peer was heard of; only such a one gets calls */
void jr_relay_heard(jr_relay_t *relay, int peer, int64_t now);

/** jr_relay_tick - let time pass */
void jr_relay_tick(jr_relay_t *relay, int64_t now);

/** jr_relay_open - calls without a verdict */
size_t jr_relay_open(const jr_relay_t *relay);

#endif
