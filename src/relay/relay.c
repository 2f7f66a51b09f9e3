/* Handles calls from arrival to outcome. */
#include "jayrelay/relay.h"

#include <string.h>

enum {
    LOAN_REQUEST_INTERVAL_US = 100 * 1000, /* minimum, per service */
    LOAN_SLOTS = 4,                        /* asked for in one request */
    /* A lender reserves this many free slots of an upstream for itself. */
    LOAN_RESERVE_SLOTS = 1,
    /* After an unanswered forward, a peer gets no calls for this long. */
    PEER_BACKOFF_US = 500 * 1000,
    RETRY_AFTER_MIN_US = 100 * 1000, /* lower bound in any refusal */
    /* Used when no upstream is available or a queued call is shed. */
    RETRY_AFTER_NONE_US = 1000 * 1000,
    DEFAULT_SERVICE_US = 10 * 1000, /* until a latency is known */
    SWEEP_INTERVAL_US = 100 * 1000, /* between removals of expired entries */
};

/* Per-service state, created on first use. */
typedef struct {
    char name[JR_UPSTREAM_NAME_BYTES];
    jr_queue_t *queue;
    int64_t loan_requested_at;
    int next_lender;
    UT_hash_handle hh;
} service_state_t;

/*
 * A slot that stays in use after its attempt ended, because the upstream may
 * still be executing the call or has just reported that it is full.
 */
typedef struct cooldown {
    TAILQ_ENTRY(cooldown) link;
    jr_upstream_t *upstream;
    int64_t until;
} cooldown_t;

struct jr_relay {
    jr_ctx_t *ctx;
    jr_relay_options_t options;
    jr_upstreams_t *upstreams;
    jr_budget_t budget;
    GRand *rng;
    jr_call_t *calls;
    service_state_t *states;
    uint64_t next_id;
    uint64_t next_attempt;
    int next_peer;
    int64_t peer_backoff[JR_PEERS_MAX];
    int64_t peer_seen_at[JR_PEERS_MAX]; /* 0: never */
    int64_t sweep_at;
    TAILQ_HEAD(, cooldown) cooldowns;
};

static const jr_counter_t refusal_counters[JR_REFUSALS] = {
    [JR_REFUSE_OVERLOAD] = JR_C_REFUSED_OVERLOAD,
    [JR_REFUSE_DEADLINE] = JR_C_REFUSED_DEADLINE,
    [JR_REFUSE_NO_UPSTREAM] = JR_C_REFUSED_NO_UPSTREAM,
    [JR_REFUSE_SHED] = JR_C_SHED,
    [JR_REFUSE_UPSTREAM] = JR_C_REFUSED_UPSTREAM,
};

static const jr_counter_t retry_counters[] = {
    [JR_END_FAILED] = JR_C_RETRY_FAILED,
    [JR_END_NOT_RUN] = JR_C_RETRY_REFUSED,
    [JR_END_NOT_CONNECTED] = JR_C_RETRY_CONNECT,
    [JR_END_BROKEN] = JR_C_RETRY_BROKEN,
    [JR_END_TIMEOUT] = JR_C_RETRY_BROKEN,
};

static service_state_t *
state_of(jr_relay_t *relay, const char *service)
{
    service_state_t *state;

    HASH_FIND_STR(relay->states, service, state);
    if (state == NULL) {
        state = jr_alloc(relay->ctx, sizeof *state);
        snprintf(state->name, sizeof state->name, "%s", service);
        state->queue = jr_new_queue(relay->ctx, relay->options.admit);
        HASH_ADD_STR(relay->states, name, state);
    }
    return state;
}

static double
service_time(const jr_service_t *service)
{
    return service != NULL && service->latency_us > 0.0 ? service->latency_us
                                                        : DEFAULT_SERVICE_US;
}

/* Number of slots that this process may use for a service now. */
static int
count_slots(const jr_service_t *service, int64_t now)
{
    int slots = 0;

    for (size_t i = 0; service != NULL && i < service->n; i++) {
        const jr_upstream_t *u = service->upstreams[i];

        if (jr_upstream_is_available(u, now)) {
            slots += u->share - u->lent + u->borrowed;
        }
    }
    return slots;
}

static void
finish(jr_relay_t *relay, jr_call_t *call, const jr_call_outcome_t *outcome)
{
    HASH_DEL(relay->calls, call); /* NOLINT: always in the table */
    relay->options.hooks.finish(relay->options.hooks.user, call, outcome);
    jr_free(relay->ctx, call);
}

static void
finish_unknown(jr_relay_t *relay, jr_call_t *call)
{
    jr_call_outcome_t outcome = {.kind = JR_OUTCOME_UNKNOWN};

    jr_count(relay->ctx, JR_C_CALLS_UNKNOWN);
    finish(relay, call, &outcome);
}

static void
refuse(jr_relay_t *relay, jr_call_t *call, jr_refusal_t reason,
       int64_t retry_after_us)
{
    jr_call_outcome_t outcome = {
        .kind = JR_OUTCOME_NOT_RUN,
        .as.not_run = {.reason = reason,
                       .retry_after_us =
                           MAX(retry_after_us, RETRY_AFTER_MIN_US)},
    };

    /* Report "not run" only when no attempt can have run. */
    if (call->may_have_run) {
        finish_unknown(relay, call);
        return;
    }
    jr_count(relay->ctx, refusal_counters[reason]);
    finish(relay, call, &outcome);
}

static void
start_attempt(jr_relay_t *relay, jr_call_t *call, jr_upstream_t *upstream,
              int peer, int64_t now)
{
    call->upstream = upstream;
    call->peer = peer;
    call->attempt = ++relay->next_attempt;
    call->attempt_started = now;
    if (call->attempts++ == 0) {
        jr_budget_earn(&relay->budget);
    }
    if (upstream != NULL) {
        upstream->in_use++;
        jr_count(relay->ctx, JR_C_ATTEMPTS);
    }
    else {
        jr_count(relay->ctx, JR_C_FORWARDS);
    }
    relay->options.hooks.start(relay->options.hooks.user, call,
                               call->deadline - now);
}

static bool
is_peer_alive(const jr_relay_t *relay, int peer, int64_t now)
{
    return relay->peer_seen_at[peer] != 0 &&
           now - relay->peer_seen_at[peer] < JR_PEER_TTL_US;
}

/*
 * Return the next peer of another zone that is alive and not in backoff
 * after a failed or declined forward, or -1.
 */
static int
choose_peer(jr_relay_t *relay, int64_t now)
{
    int n = relay->options.n_other_zones;

    for (int i = 0; i < n; i++) {
        int peer = relay->next_peer++ % n;

        if (relay->peer_backoff[peer] <= now &&
            is_peer_alive(relay, peer, now)) {
            return peer;
        }
    }
    return -1;
}

static bool
try_local(jr_relay_t *relay, jr_call_t *call, int64_t now)
{
    jr_service_t *service = call->service;
    jr_upstream_t *upstream;

    if (service == NULL) {
        return false;
    }
    upstream = jr_route_choose(&relay->options.route, service, call->avoid,
                               relay->rng, now, call->deadline - now);
    if (upstream == NULL) {
        return false;
    }
    start_attempt(relay, call, upstream, -1, now);
    return true;
}

static bool
try_forward(jr_relay_t *relay, jr_call_t *call, int64_t now)
{
    int peer;

    if (call->is_forwarded || call->was_declined ||
        now + 2 * relay->options.cross_zone_latency_us > call->deadline) {
        return false;
    }
    peer = choose_peer(relay, now);
    if (peer < 0) {
        return false;
    }
    start_attempt(relay, call, NULL, peer, now);
    return true;
}

static void
request_loan(jr_relay_t *relay, service_state_t *state, int64_t now)
{
    int n = relay->options.n_own_zone;

    if (n == 0 || now - state->loan_requested_at < LOAN_REQUEST_INTERVAL_US) {
        return;
    }
    state->loan_requested_at = now;
    jr_count(relay->ctx, JR_C_LOANS_ASKED);
    relay->options.hooks.request_loan(relay->options.hooks.user,
                                      relay->options.n_other_zones +
                                          state->next_lender++ % n,
                                      state->name, LOAN_SLOTS);
}

static void
shed_last(jr_relay_t *relay, service_state_t *state)
{
    jr_call_t *last = jr_queue_last(state->queue);

    jr_queue_remove(state->queue, last);
    refuse(relay, last, JR_REFUSE_SHED, RETRY_AFTER_NONE_US);
}

static jr_service_rate_t
service_rate_of(const jr_service_t *service, int64_t now)
{
    return (jr_service_rate_t){
        .slots = count_slots(service, now),
        .mean_us = service_time(service),
        .deviation_us = service != NULL ? service->deviation_us : 0.0,
    };
}

/* Is the wait longer than forwarding to another zone and back takes? */
static bool
exceeds_round_trip(const jr_relay_t *relay, int64_t wait_us)
{
    return wait_us > 2 * relay->options.cross_zone_latency_us;
}

/* Without a free slot, queue a call, forward it or refuse it at once. */
static void
queue_forward_or_refuse(jr_relay_t *relay, jr_call_t *call, int64_t now)
{
    service_state_t *state = state_of(relay, call->service_name);
    jr_service_rate_t rate = service_rate_of(call->service, now);
    int64_t wait = jr_queue_wait(state->queue, call, &rate);
    jr_result_t check;

    if (rate.slots == 0) {
        if (!try_forward(relay, call, now)) {
            refuse(relay, call, JR_REFUSE_NO_UPSTREAM, RETRY_AFTER_NONE_US);
        }
        return;
    }
    request_loan(relay, state, now);
    check = jr_queue_check(state->queue, call, &rate, now);
    if (relay->options.admit == JR_ADMIT_DEADLINE) {
        if (call->is_forwarded && exceeds_round_trip(relay, wait)) {
            /* Refuse early so that the forwarding peer can try elsewhere. */
            check = JR_OVERLOADED;
        }
        else if ((check != JR_OK || exceeds_round_trip(relay, wait)) &&
                 try_forward(relay, call, now)) {
            return;
        }
    }
    if (check != JR_OK) {
        refuse(relay, call,
               check == JR_DEADLINE ? JR_REFUSE_DEADLINE : JR_REFUSE_OVERLOAD,
               wait);
        return;
    }
    jr_queue_push(state->queue, call);
    if (jr_queue_length(state->queue) > JR_QUEUE_MAX) {
        shed_last(relay, state);
    }
}

static void
serve_queue(jr_relay_t *relay, service_state_t *state, int64_t now)
{
    jr_service_t *service =
        jr_upstreams_service(relay->upstreams, state->name);
    jr_call_t *call;

    while ((call = jr_queue_find_late(state->queue, service_time(service),
                                      now)) != NULL) {
        jr_queue_remove(state->queue, call);
        refuse(relay, call, JR_REFUSE_DEADLINE,
               (int64_t)service_time(service));
    }
    while ((call = jr_queue_first(state->queue)) != NULL) {
        call->service = service;
        jr_queue_remove(state->queue, call);
        if (!try_local(relay, call, now)) {
            jr_queue_push(state->queue, call);
            break;
        }
    }
}

static void
add_cooldown(jr_relay_t *relay, jr_upstream_t *upstream, int64_t until)
{
    cooldown_t *cooldown = jr_alloc(relay->ctx, sizeof *cooldown);

    cooldown->upstream = upstream;
    cooldown->until = until;
    TAILQ_INSERT_TAIL(&relay->cooldowns, cooldown, link);
}

static void
end_cooldowns(jr_relay_t *relay, int64_t now)
{
    cooldown_t *cooldown, *next;

    for (cooldown = TAILQ_FIRST(&relay->cooldowns); cooldown != NULL;
         cooldown = next) {
        next = TAILQ_NEXT(cooldown, link);
        if (cooldown->until <= now) {
            cooldown->upstream->in_use--;
            TAILQ_REMOVE(&relay->cooldowns, cooldown, link);
            jr_free(relay->ctx, cooldown);
        }
    }
}

jr_relay_t *
jr_new_relay(jr_ctx_t *ctx, const jr_relay_options_t *options,
             jr_upstreams_t *upstreams)
{
    jr_relay_t *relay = jr_alloc(ctx, sizeof *relay);

    relay->ctx = ctx;
    relay->options = *options;
    relay->upstreams = upstreams;
    TAILQ_INIT(&relay->cooldowns);
    relay->rng = g_rand_new_with_seed(options->seed);
    jr_budget_init(&relay->budget, options->retry, options->retry_percent);
    return relay;
}

void
jr_drop_relay(jr_relay_t *relay)
{
    jr_call_t *call, *next_call;
    service_state_t *state, *next_state;

    if (relay == NULL) {
        return;
    }
    HASH_ITER (hh, relay->calls, call, next_call) {
        HASH_DEL(relay->calls, call);
        jr_free(relay->ctx, call);
    }
    HASH_ITER (hh, relay->states, state, next_state) {
        HASH_DEL(relay->states, state);
        jr_drop_queue(state->queue);
        jr_free(relay->ctx, state);
    }
    end_cooldowns(relay, INT64_MAX);
    g_rand_free(relay->rng);
    jr_free(relay->ctx, relay);
}

void
jr_relay_call(jr_relay_t *relay, const char *service, int priority,
              bool is_idempotent, bool is_forwarded, int64_t deadline_us,
              void *user, int64_t now)
{
    jr_call_t *call = jr_alloc(relay->ctx, sizeof *call);
    service_state_t *state;

    call->id = ++relay->next_id;
    call->service = jr_upstreams_service(relay->upstreams, service);
    snprintf(call->service_name, sizeof call->service_name, "%s", service);
    call->arrived = now;
    call->deadline = now + deadline_us;
    call->priority = priority;
    call->is_idempotent = is_idempotent;
    call->is_forwarded = is_forwarded;
    call->user = user;
    HASH_ADD(hh, relay->calls, id, sizeof call->id, call);
    jr_count(relay->ctx, JR_C_CALLS);
    state = state_of(relay, service);
    /* Queued calls are served first. */
    if (jr_queue_first(state->queue) != NULL || !try_local(relay, call, now)) {
        queue_forward_or_refuse(relay, call, now);
    }
}

static jr_attempt_result_t
result_of(jr_attempt_end_t end)
{
    switch (end) {
    case JR_END_ANSWERED:
        return JR_ATTEMPT_OK;
    case JR_END_NOT_RUN:
        return JR_ATTEMPT_REFUSED;
    case JR_END_FAILED:
    case JR_END_NOT_CONNECTED:
    case JR_END_BROKEN:
    case JR_END_TIMEOUT:
        return JR_ATTEMPT_FAILED;
    }
    return JR_ATTEMPT_FAILED;
}

/* How long the slot of an attempt stays in use after its end, in us. */
static int64_t
cooldown_time(const jr_upstream_t *upstream, jr_attempt_end_t end)
{
    const jr_service_t *service = upstream->service;
    double mean = service_time(service);

    switch (end) {
    case JR_END_TIMEOUT:
    case JR_END_BROKEN:
        return (int64_t)(mean + 4.0 * (service != NULL ? service->deviation_us
                                                       : 0.0));
    case JR_END_NOT_RUN:
        return (int64_t)(mean / 2.0);
    case JR_END_ANSWERED:
    case JR_END_FAILED:
    case JR_END_NOT_CONNECTED:
        return 0;
    }
    return 0;
}

static void
release_slot(jr_relay_t *relay, jr_call_t *call, jr_attempt_end_t end,
             int64_t now)
{
    int64_t cooldown_us;

    if (call->upstream != NULL) {
        cooldown_us = cooldown_time(call->upstream, end);
        if (cooldown_us > 0) {
            add_cooldown(relay, call->upstream, now + cooldown_us);
        }
        else {
            call->upstream->in_use--;
        }
        jr_route_record_attempt(relay->ctx, &relay->options.route,
                                call->upstream, result_of(end),
                                now - call->attempt_started, now);
    }
    else if (end != JR_END_ANSWERED && call->peer >= 0) {
        relay->peer_backoff[call->peer] = now + PEER_BACKOFF_US;
    }
    call->avoid = call->upstream;
    call->upstream = NULL;
    call->attempt = 0;
}

static bool
is_known_not_run(jr_attempt_end_t end)
{
    return end == JR_END_NOT_RUN || end == JR_END_NOT_CONNECTED;
}

static bool
may_retry(jr_relay_t *relay, const jr_call_t *call, jr_attempt_end_t end,
          int64_t now)
{
    if (!is_known_not_run(end) && !call->is_idempotent) {
        return false;
    }
    if (call->attempts >= JR_ATTEMPTS_MAX || now >= call->deadline) {
        return false;
    }
    if (!jr_budget_spend(&relay->budget)) {
        jr_count(relay->ctx, JR_C_RETRY_NO_BUDGET);
        return false;
    }
    jr_count(relay->ctx, retry_counters[end]);
    return true;
}

/* End a call with the result of its last attempt. */
static void
conclude(jr_relay_t *relay, jr_call_t *call, jr_attempt_end_t end,
         const void *token)
{
    jr_call_outcome_t outcome = {
        .kind = JR_OUTCOME_ANSWERED,
        .as.answered = {.token = token},
    };

    /* An error response is a complete answer and goes to the caller. */
    if (end == JR_END_ANSWERED || end == JR_END_FAILED) {
        jr_count(relay->ctx, JR_C_CALLS_ANSWERED);
        finish(relay, call, &outcome);
    }
    else if (is_known_not_run(end)) {
        refuse(relay, call, JR_REFUSE_UPSTREAM, RETRY_AFTER_MIN_US);
    }
    else {
        finish_unknown(relay, call);
    }
}

bool
jr_relay_end_attempt(jr_relay_t *relay, uint64_t call_id, uint64_t attempt,
                     jr_attempt_end_t end, const void *token, int64_t now)
{
    jr_call_t *call;
    service_state_t *state;
    bool was_declined;

    HASH_FIND(hh, relay->calls, &call_id, sizeof call_id, call);
    if (call == NULL || call->attempt != attempt) {
        jr_count(relay->ctx, JR_C_ANSWER_LATE);
        return false;
    }
    state = state_of(relay, call->service_name);
    was_declined = call->upstream == NULL && is_known_not_run(end);
    release_slot(relay, call, end, now);
    call->may_have_run |= !is_known_not_run(end);
    if (was_declined) {
        /* The call reached no upstream, so the next attempt is no retry. */
        call->was_declined = true;
        call->attempts--;
    }
    if (was_declined ||
        (end != JR_END_ANSWERED && may_retry(relay, call, end, now))) {
        if (!try_local(relay, call, now)) {
            queue_forward_or_refuse(relay, call, now);
        }
    }
    else {
        conclude(relay, call, end, token);
    }
    serve_queue(relay, state, now);
    return true;
}

void
jr_relay_update_upstream(jr_relay_t *relay, jr_upstream_t *upstream,
                         int64_t now)
{
    service_state_t *state;

    if (upstream->service == NULL) {
        return;
    }
    upstream->share = jr_limit_share(
        upstream->name, upstream->slots, relay->options.processes,
        relay->options.n_processes, relay->options.self);
    state = state_of(relay, upstream->service->name);
    serve_queue(relay, state, now);
}

int
jr_relay_lend(jr_relay_t *relay, const char *service_name, int slots,
              jr_upstream_t **upstream, int64_t now)
{
    jr_service_t *service =
        jr_upstreams_service(relay->upstreams, service_name);
    service_state_t *state = state_of(relay, service_name);
    jr_upstream_t *best = NULL;
    int best_free = LOAN_RESERVE_SLOTS;

    if (service == NULL || jr_queue_first(state->queue) != NULL) {
        return 0;
    }
    for (size_t i = 0; i < service->n; i++) {
        jr_upstream_t *u = service->upstreams[i];
        int own = u->share - u->lent - u->in_use;

        if (jr_upstream_is_available(u, now) && own > best_free) {
            best = u;
            best_free = own;
        }
    }
    if (best == NULL) {
        return 0;
    }
    *upstream = best;
    return jr_limit_lend(relay->ctx, best,
                         MIN(slots, best_free - LOAN_RESERVE_SLOTS), now);
}

void
jr_relay_borrow(jr_relay_t *relay, const char *name, int slots,
                int64_t asked_at, int64_t now)
{
    jr_upstream_t *upstream = jr_upstreams_find(relay->upstreams, name);

    if (upstream == NULL || upstream->service == NULL || slots <= 0 ||
        asked_at + JR_LOAN_US <= now) {
        return;
    }
    jr_limit_borrow(relay->ctx, upstream, slots, asked_at + JR_LOAN_US);
    serve_queue(relay, state_of(relay, upstream->service->name), now);
}

void
jr_relay_mark_peer_alive(jr_relay_t *relay, int peer, int64_t now)
{
    if (peer >= 0 && peer < JR_PEERS_MAX) {
        relay->peer_seen_at[peer] = now;
    }
}

void
jr_relay_tick(jr_relay_t *relay, int64_t now)
{
    jr_upstream_t *upstream, *next_upstream;
    service_state_t *state, *next_state;

    end_cooldowns(relay, now);

    if (now >= relay->sweep_at) {
        relay->sweep_at = now + SWEEP_INTERVAL_US;
        HASH_ITER (hh, relay->upstreams->by_name, upstream, next_upstream) {
            jr_limit_expire(relay->ctx, upstream, now);
        }
        jr_upstreams_expire(relay->upstreams, now);
    }
    HASH_ITER (hh, relay->states, state, next_state) {
        serve_queue(relay, state, now);
        if (jr_queue_first(state->queue) != NULL) {
            request_loan(relay, state, now);
        }
    }
}

size_t
jr_relay_count_calls(const jr_relay_t *relay)
{
    return HASH_COUNT(relay->calls);
}
