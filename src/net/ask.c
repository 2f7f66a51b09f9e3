/* Requests to the leaders of groups, with retries. */
#include "jayrelay/ask.h"

#include <glib.h>
#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/program.h"

enum {
    /* An attempt without a reply is followed by one to another process. */
    ATTEMPT_TIMEOUT_MS = 500,
    RETRY_DELAY_MS = 50, /* between attempts when no leader is known */
    TIMER_INTERVAL_MS = 10,
    GROUPS_MAX = 1025, /* setting `groups` is at most 1024 */
};

typedef struct pending {
    uint64_t id;
    Jr__Request *request;
    int64_t deadline;
    int64_t attempt_at;       /* when the next attempt is due */
    bool is_awaiting_reply;   /* to the latest attempt */
    bool has_unknown_attempt; /* an earlier one got no definite reply */
    bool is_for_any;          /* replica, until one names the leader */
    size_t next_peer;
    jr_reply_handler_t *handler;
    void *user;
    UT_hash_handle hh;
} pending_t;

struct jr_requester {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_bus_t *bus;
    int *peers;
    size_t n_peers;
    size_t first_peer;       /* that a new request goes to without a leader */
    int leaders[GROUPS_MAX]; /* peer number + 1 of the leader, 0: unknown */
    uint64_t next_id;
    pending_t *requests;
    ev_timer timer;
};

static void
free_pending(jr_requester_t *requester, pending_t *pending)
{
    HASH_DEL(requester->requests, pending);
    jr__request__free_unpacked(pending->request, NULL);
    jr_free(requester->ctx, pending);
}

static void
complete(jr_requester_t *requester, pending_t *pending, jr_result_t code,
         const Jr__Reply *reply)
{
    jr_reply_handler_t *handler = pending->handler;
    void *user = pending->user;

    free_pending(requester, pending);
    handler(user, code, reply);
}

static void
abandon(jr_requester_t *requester, pending_t *pending)
{
    bool may_have_run =
        pending->is_awaiting_reply || pending->has_unknown_attempt;

    complete(requester, pending, may_have_run ? JR_UNKNOWN : JR_NO_QUORUM,
             NULL);
}

/* The replica that an attempt failed at may not lead any more. */
static void
forget_leader(jr_requester_t *requester, const pending_t *pending)
{
    if (!pending->is_for_any) {
        requester->leaders[pending->request->group % GROUPS_MAX] = 0;
    }
}

static void
send_attempt(jr_requester_t *requester, pending_t *pending, int64_t now)
{
    uint32_t group = pending->request->group % GROUPS_MAX;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;
    int peer = requester->leaders[group] - 1;

    if (now >= pending->deadline) {
        return; /* this process was paused; on_timer() gives it up */
    }
    if (peer < 0 || pending->is_for_any) {
        peer = requester->peers[pending->next_peer++ % requester->n_peers];
    }
    envelope.body_case = JR__ENVELOPE__BODY_REQUEST;
    envelope.request = pending->request;
    if (jr_bus_send(requester->bus, peer, &envelope)) {
        pending->is_awaiting_reply = true;
        pending->attempt_at = now + ATTEMPT_TIMEOUT_MS;
    }
    else {
        forget_leader(requester, pending);
        pending->attempt_at = now + RETRY_DELAY_MS;
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_requester_t *requester = timer->data;
    int64_t now = jr_clock_ms();
    pending_t *pending, *next;

    (void)loop;
    (void)events;
    HASH_ITER (hh, requester->requests, pending, next) {
        if (now >= pending->deadline) {
            abandon(requester, pending);
        }
        else if (now >= pending->attempt_at) {
            if (pending->is_awaiting_reply) {
                pending->is_awaiting_reply = false;
                pending->has_unknown_attempt = true;
                forget_leader(requester, pending);
                requester->first_peer =
                    MAX(requester->first_peer, pending->next_peer);
            }
            send_attempt(requester, pending, now);
        }
    }
    if (requester->requests == NULL) {
        ev_timer_stop(requester->loop, &requester->timer);
    }
}

jr_requester_t *
jr_new_requester(jr_ctx_t *ctx, struct ev_loop *loop, jr_bus_t *bus,
                 const int *peers, size_t n)
{
    jr_requester_t *requester = jr_alloc(ctx, sizeof *requester);

    requester->ctx = ctx;
    requester->loop = loop;
    requester->bus = bus;
    requester->peers = jr_memdup(ctx, peers, n * sizeof *peers);
    requester->n_peers = n;
    /*
     * Starting at the wall clock keeps the ids of a restarted process apart
     * from those of its predecessor, whose replies may still arrive.
     */
    requester->next_id = (uint64_t)jr_wall_ms() << 20;
    ev_timer_init(&requester->timer, on_timer, 0.0,
                  TIMER_INTERVAL_MS / 1000.0);
    requester->timer.data = requester;
    return requester;
}

void
jr_requester_add_peer(jr_requester_t *requester, int peer)
{
    for (size_t i = 0; i < requester->n_peers; i++) {
        if (requester->peers[i] == peer) {
            return;
        }
    }
    requester->peers =
        jr_resize(requester->ctx, requester->peers,
                  (requester->n_peers + 1) * sizeof *requester->peers);
    requester->peers[requester->n_peers++] = peer;
}

void
jr_drop_requester(jr_requester_t *requester)
{
    pending_t *pending, *next;

    if (requester == NULL) {
        return;
    }
    ev_timer_stop(requester->loop, &requester->timer);
    HASH_ITER (hh, requester->requests, pending, next) {
        free_pending(requester, pending);
    }
    jr_free(requester->ctx, requester->peers);
    jr_free(requester->ctx, requester);
}

static Jr__Request *
copy_request(jr_requester_t *requester, const Jr__Request *request)
{
    size_t len = jr__request__get_packed_size(request);
    uint8_t *bytes = jr_alloc(requester->ctx, len);
    Jr__Request *copy;

    jr__request__pack(request, bytes);
    copy = jr__request__unpack(NULL, len, bytes);
    jr_free(requester->ctx, bytes);
    return copy;
}

void
jr_requester_send(jr_requester_t *requester, Jr__Request *request,
                  int64_t timeout_ms, jr_reply_handler_t *handler, void *user)
{
    pending_t *pending = jr_alloc(requester->ctx, sizeof *pending);
    int64_t now = jr_clock_ms();

    pending->id = ++requester->next_id;
    request->id = pending->id;
    pending->request = copy_request(requester, request);
    pending->deadline = now + timeout_ms;
    pending->is_for_any = request->body_case == JR__REQUEST__BODY_JOB_WORKER;
    pending->next_peer =
        pending->is_for_any ? requester->next_id : requester->first_peer;
    pending->handler = handler;
    pending->user = user;
    HASH_ADD(hh, requester->requests, id, sizeof pending->id, pending);
    send_attempt(requester, pending, now);
    if (!ev_is_active(&requester->timer)) {
        ev_timer_again(requester->loop, &requester->timer);
    }
}

static void
on_not_leader(jr_requester_t *requester, pending_t *pending,
              const Jr__Reply *reply, int64_t now)
{
    uint32_t group = pending->request->group % GROUPS_MAX;
    int leader = *reply->leader != '\0'
                     ? jr_bus_find_or_connect(requester->bus, reply->leader)
                     : -1;

    pending->is_awaiting_reply = false;
    if (pending->is_for_any) {
        pending->is_for_any = false;
        if (leader >= 0) {
            requester->leaders[group] = leader + 1;
        }
        send_attempt(requester, pending, now);
        return;
    }
    if (leader >= 0 && requester->leaders[group] != leader + 1) {
        requester->leaders[group] = leader + 1;
        send_attempt(requester, pending, now);
        return;
    }
    requester->leaders[group] = 0;
    pending->attempt_at = now + RETRY_DELAY_MS;
}

/*
 * Does the code say that a command had no effect, for a reason that may not
 * have held for an earlier attempt?
 */
static bool
is_refusal(uint32_t code)
{
    switch (code) {
    case JR_BAD_REQUEST: /* by another configuration, or other rules */
    case JR_NOT_FOUND:
    case JR_QUOTA:
    case JR_OVERLOADED:
    case JR_NO_QUORUM:
    case JR_NO_CONFIG:
    case JR_NO_UPSTREAM:
        return true;
    default:
        return false;
    }
}

static bool
is_command(const Jr__Request *request)
{
    switch (request->body_case) {
    case JR__REQUEST__BODY_COMMAND:
    case JR__REQUEST__BODY_JOB_COMMAND:
        return true;
    case JR__REQUEST__BODY_JOB_ASK:
        return request->job_ask->verb == JR__JOB_ASK__VERB__CANCEL;
    default:
        return false;
    }
}

/*
 * A refusal speaks for one attempt only: an earlier one that got no reply may
 * arrive later, when the command is not refused any more.
 */
static void
finish(jr_requester_t *requester, pending_t *pending, const Jr__Reply *reply)
{
    if (pending->has_unknown_attempt && is_command(pending->request) &&
        is_refusal(reply->code)) {
        complete(requester, pending, JR_UNKNOWN, NULL);
        return;
    }
    complete(requester, pending, (jr_result_t)reply->code, reply);
}

void
jr_requester_handle_reply(jr_requester_t *requester, const Jr__Reply *reply)
{
    pending_t *pending;
    uint64_t id = reply->id;
    int64_t now = jr_clock_ms();

    HASH_FIND(hh, requester->requests, &id, sizeof id, pending);
    if (pending == NULL) {
        return;
    }
    switch (reply->code) {
    case JR_NOT_LEADER:
        on_not_leader(requester, pending, reply, now);
        break;
    case JR_UNKNOWN:
        pending->is_awaiting_reply = false;
        pending->has_unknown_attempt = true;
        forget_leader(requester, pending);
        pending->attempt_at = now + RETRY_DELAY_MS;
        break;
    default:
        finish(requester, pending, reply);
        break;
    }
}

void
jr_requester_abandon_all(jr_requester_t *requester)
{
    pending_t *pending, *next;

    if (requester == NULL) {
        return;
    }
    HASH_ITER (hh, requester->requests, pending, next) {
        abandon(requester, pending);
    }
}

size_t
jr_requester_count_open(const jr_requester_t *requester)
{
    return HASH_COUNT(requester->requests);
}
