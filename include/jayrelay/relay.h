/**
 * DOC: relay - handles calls in one entry process from arrival to outcome
 *
 * Combines admission, routing, slot limits and retries. The relay does no
 * I/O and reads no clock: its owner passes events with their times, and the
 * relay starts attempts and answers callers through hooks. Each call gets
 * exactly one outcome. The end of an attempt that is not the current one of
 * its call is ignored, so a late answer can't reach the wrong caller.
 * All times are microseconds of a monotonic clock.
 */
#ifndef JAYRELAY_RELAY_H
#define JAYRELAY_RELAY_H

#include "jayrelay/admit.h"
#include "jayrelay/retry.h"
#include "jayrelay/route.h"

enum {
    JR_PEERS_MAX = 64,
    /* A peer not heard from for this long gets no forwarded calls. */
    JR_PEER_TTL_US = 1500 * 1000,
};

/** enum jr_attempt_end_t - how an attempt ended */
typedef enum {
    JR_END_ANSWERED, /* complete answer to this attempt */
    JR_END_FAILED,   /* complete answer that reports an upstream failure */
    JR_END_NOT_RUN,  /* reported as not run, or nothing was sent */
    JR_END_NOT_CONNECTED,
    JR_END_BROKEN, /* connection lost or answer not usable */
    JR_END_TIMEOUT,
} jr_attempt_end_t;

/**
 * struct jr_relay_hooks_t - callbacks from a relay to its owner
 * @start: send an attempt of @call to @call->upstream or, when that is
 *         NULL, to the peer @call->peer
 * @finish: deliver the outcome of @call; @call is freed on return
 * @request_loan: ask a peer to lend slots of a service
 * @user: passed to each callback
 */
typedef struct {
    void (*start)(void *user, jr_call_t *call, int64_t timeout_us);
    void (*finish)(void *user, jr_call_t *call,
                   const jr_call_outcome_t *outcome);
    void (*request_loan)(void *user, int peer, const char *service, int slots);
    void *user;
} jr_relay_hooks_t;

/**
 * struct jr_relay_options_t - policies and peers of a relay
 * @retry_percent: retries allowed per 100 first attempts
 * @processes: names of all entry processes configured in the zone, this
 *             process at index @self; borrowed
 * @n_other_zones: number of peers in other zones, to which calls may be
 *                 forwarded; their indexes are 0 to @n_other_zones - 1
 * @n_own_zone: number of peers in the same zone, which may lend slots;
 *              their indexes follow those of the other zones
 * @cross_zone_latency_us: assumed latency of a cross-zone message
 * @seed: seed of the random choices of routing
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
    int64_t cross_zone_latency_us;
    uint32_t seed;
    jr_relay_hooks_t hooks;
} jr_relay_options_t;

typedef struct jr_relay jr_relay_t;

/** jr_new_relay - create a relay over @upstreams, which are borrowed */
jr_relay_t *jr_new_relay(jr_ctx_t *ctx, const jr_relay_options_t *options,
                         jr_upstreams_t *upstreams);

/** jr_drop_relay - free; open calls get no outcome. NULL is accepted */
void jr_drop_relay(jr_relay_t *relay);

/**
 * jr_relay_call - accept a call
 * @priority: from the rules; higher is served first
 * @is_forwarded: received from another entry process
 * @deadline_us: time left until the deadline, from @now
 * @user: stored in the call for the hooks
 *
 * The finish hook may run before this function returns.
 */
void jr_relay_call(jr_relay_t *relay, const char *service, int priority,
                   bool is_idempotent, bool is_forwarded, int64_t deadline_us,
                   void *user, int64_t now);

/**
 * jr_relay_end_attempt - report the end of an attempt
 * @call_id: id of the call
 * @attempt: number of the attempt, as given to the start hook
 * @token: the answer, passed on in the outcome
 *
 * Return: false when the attempt is no longer the current one of its call;
 * then nothing changes.
 */
bool jr_relay_end_attempt(jr_relay_t *relay, uint64_t call_id,
                          uint64_t attempt, jr_attempt_end_t end,
                          const void *token, int64_t now);

/**
 * jr_relay_update_upstream - account for a new announcement of an upstream
 *
 * Recomputes its share and serves the queue of its service.
 */
void jr_relay_update_upstream(jr_relay_t *relay, jr_upstream_t *upstream,
                              int64_t now);

/**
 * jr_relay_lend - lend slots of a service to a peer that requested them
 * @slots: number of slots requested
 * @upstream: set to the upstream whose slots are lent
 *
 * Return: number of slots lent, 0 for none.
 */
int jr_relay_lend(jr_relay_t *relay, const char *service, int slots,
                  jr_upstream_t **upstream, int64_t now);

/**
 * jr_relay_borrow - record slots that a peer lent
 * @name: name of the upstream
 * @asked_at: when the loan was requested; it lasts JR_LOAN_US from then
 */
void jr_relay_borrow(jr_relay_t *relay, const char *name, int slots,
                     int64_t asked_at, int64_t now);

/**
 * jr_relay_mark_peer_alive - record that a peer sent a message
 *
 * Calls are forwarded only to peers marked within JR_PEER_TTL_US.
 */
void jr_relay_mark_peer_alive(jr_relay_t *relay, int peer, int64_t now);

/** jr_relay_tick - expire loans and upstreams, serve the queues */
void jr_relay_tick(jr_relay_t *relay, int64_t now);

/** jr_relay_count_calls - number of calls without an outcome */
size_t jr_relay_count_calls(const jr_relay_t *relay);

#endif
