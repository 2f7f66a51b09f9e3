/* Public functions of the core, message dispatch and term handling. */
#include "core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* A follower starts an election after 1.25 to 2.25 election timeouts. */
    STALL_ELECTIONS_MAX = 2, /* in election timeouts */
};

void
jr_quorum_send(jr_quorum_t *q, const jr_member_t *to, Jr__QuorumMsg *message)
{
    jr_outgoing_t *out = jr_alloc(q->ctx, sizeof *out);

    message->group = q->options.group;
    message->from = q->options.self;
    message->to = to->id;
    if (message->term == 0) {
        message->term = q->term;
    }
    out->to = *to;
    out->bytes =
        jr_alloc(q->ctx, jr__quorum_msg__get_packed_size(message) + 1);
    out->len = jr__quorum_msg__pack(message, out->bytes);
    STAILQ_INSERT_TAIL(&q->out, out, link);
}

/* A sender that is not in the known members is addressed by its id only. */
void
jr_quorum_reply(jr_quorum_t *q, const Jr__QuorumMsg *to, Jr__QuorumMsg *reply)
{
    const jr_member_t *known = jr_config_find(&q->config, to->from);
    jr_member_t member = {.id = to->from};

    jr_quorum_send(q, known != NULL ? known : &member, reply);
}

void
jr_quorum_become_follower(jr_quorum_t *q, uint64_t term, uint64_t leader)
{
    if (q->role == JR_LEADER) {
        jr_log(q->ctx, JR_EV_LEADER_LOST, "group %u term %llu",
               q->options.group, (unsigned long long)q->term);
    }
    if (term > q->term) {
        q->term = term;
        q->voted_for = 0;
        q->is_hard_state_dirty = true;
    }
    q->role = JR_FOLLOWER;
    q->leader = leader;
    jr_quorum_reset_timer(q);
}

jr_entry_t *
jr_quorum_append_local(jr_quorum_t *q, jr_entry_kind_t kind,
                       const uint8_t *data, size_t len)
{
    jr_entry_t entry = {
        .index = jr_log_last(&q->log) + 1,
        .term = q->term,
        .kind = kind,
        .data = (uint8_t *)data,
        .len = len,
    };

    return jr_log_append(q->ctx, &q->log, &entry);
}

void
jr_quorum_replicate_all(jr_quorum_t *q, bool is_probe)
{
    for (size_t i = 0; i < q->config.n; i++) {
        jr_quorum_replicate(q, i, is_probe);
    }
}

/* Handle a higher or lower term; false when the message must be dropped. */
static bool
check_term(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    bool is_pre = (m->body_case == JR__QUORUM_MSG__BODY_VOTE_REQUEST &&
                   m->vote_request->pre) ||
                  (m->body_case == JR__QUORUM_MSG__BODY_VOTE_REPLY &&
                   m->vote_reply->pre && m->vote_reply->granted);

    if (m->term > q->term && !is_pre) {
        jr_quorum_become_follower(q, m->term, 0);
    }
    if (m->term < q->term) {
        /* Any reply informs the sender of the newer term. */
        Jr__AppendReply body = JR__APPEND_REPLY__INIT;
        Jr__QuorumMsg reply = JR__QUORUM_MSG__INIT;

        body.sent_at = INT64_MIN;
        reply.body_case = JR__QUORUM_MSG__BODY_APPEND_REPLY;
        reply.append_reply = &body;
        if (m->body_case == JR__QUORUM_MSG__BODY_APPEND ||
            m->body_case == JR__QUORUM_MSG__BODY_INSTALL ||
            m->body_case == JR__QUORUM_MSG__BODY_VOTE_REQUEST) {
            jr_quorum_reply(q, m, &reply);
        }
        return false;
    }
    return true;
}

static void
dispatch(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    switch (m->body_case) {
    case JR__QUORUM_MSG__BODY_VOTE_REQUEST:
        jr_quorum_handle_vote_request(q, m);
        break;
    case JR__QUORUM_MSG__BODY_VOTE_REPLY:
        jr_quorum_handle_vote_reply(q, m);
        break;
    case JR__QUORUM_MSG__BODY_APPEND:
        jr_quorum_handle_append(q, m);
        break;
    case JR__QUORUM_MSG__BODY_APPEND_REPLY:
        jr_quorum_handle_append_reply(q, m);
        break;
    case JR__QUORUM_MSG__BODY_INSTALL:
        jr_quorum_handle_install(q, m);
        break;
    case JR__QUORUM_MSG__BODY_TIMEOUT_NOW:
        if (q->leader == m->from && jr_quorum_is_voter(q)) {
            jr_quorum_campaign(q, false);
        }
        break;
    default:
        jr_count(q->ctx, JR_C_BUS_BAD);
        break;
    }
}

/*
 * While this process is stalled, in a sync or waiting for a processor,
 * messages stay in its socket buffers. So missing heartbeats or replies during
 * a stall do not indicate a failed leader or follower. The election timer is
 * extended by the stall. A leader sends heartbeats at once and gets one
 * election timeout to be confirmed again, unless the stall was longer than
 * STALL_ELECTIONS_MAX election timeouts: by then, followers have elected
 * another leader.
 */
static void
account_for_stall(jr_quorum_t *q, int64_t stall_ms)
{
    q->election_at += stall_ms;
    if (stall_ms <= STALL_ELECTIONS_MAX * q->options.election_ms) {
        q->grace_until = q->now + q->options.election_ms;
        q->heartbeat_at = MIN(q->heartbeat_at, q->now);
    }
}

static void
advance(jr_quorum_t *q, int64_t now)
{
    int64_t gap_ms = now - q->now;

    q->now = MAX(q->now, now);
    if (gap_ms > q->options.heartbeat_ms) {
        account_for_stall(q, gap_ms);
    }
}

/* A leader steps down after an election timeout without a majority. */
static void
check_quorum(jr_quorum_t *q)
{
    if (q->role == JR_LEADER && q->now >= q->grace_until &&
        !jr_quorum_is_confirmed(q, q->now, q->options.election_ms)) {
        jr_quorum_become_follower(q, q->term, 0);
    }
}

jr_quorum_t *
jr_new_quorum(jr_ctx_t *ctx, const jr_quorum_options_t *options, int64_t now)
{
    jr_quorum_t *q = jr_alloc(ctx, sizeof *q);

    q->ctx = ctx;
    q->options = *options;
    q->rng = g_rand_new_with_seed(options->seed);
    q->now = now;
    q->heard_leader_at = now;
    jr_log_init(&q->log);
    STAILQ_INIT(&q->out);
    jr_quorum_reset_timer(q);
    return q;
}

void
jr_drop_quorum(jr_quorum_t *q)
{
    jr_member_t to;
    uint8_t *bytes;
    size_t len;

    if (q == NULL) {
        return;
    }
    while (jr_quorum_take_message(q, &to, &bytes, &len)) {
        jr_free(q->ctx, bytes);
    }
    jr_log_clear(q->ctx, &q->log);
    g_rand_free(q->rng);
    jr_free(q->ctx, q);
}

void
jr_quorum_restore_hard_state(jr_quorum_t *q, uint64_t term, uint64_t voted_for)
{
    q->term = term;
    q->voted_for = voted_for;
}

void
jr_quorum_restore_snapshot(jr_quorum_t *q, const jr_snapshot_t *snapshot)
{
    jr_log_rebase(q->ctx, &q->log, snapshot, false);
    q->commit = snapshot->index;
    q->applied = snapshot->index;
    q->stable = snapshot->index;
    jr_quorum_reload_config(q);
}

void
jr_quorum_restore_entry(jr_quorum_t *q, const jr_entry_t *entry)
{
    bool is_config_truncated = entry->index <= q->config_index;

    jr_log_truncate(q->ctx, &q->log, entry->index);
    jr_log_append(q->ctx, &q->log, entry);
    q->stable = entry->index;
    if (is_config_truncated || entry->kind == JR_ENTRY_CONFIG) {
        jr_quorum_reload_config(q);
    }
}

void
jr_quorum_tick(jr_quorum_t *q, int64_t now)
{
    advance(q, now);
    check_quorum(q);
    if (q->role == JR_LEADER) {
        if (q->now >= q->heartbeat_at) {
            q->heartbeat_at = q->now + q->options.heartbeat_ms;
            jr_quorum_replicate_all(q, true);
        }
        return;
    }
    if (q->now >= q->election_at) {
        if (jr_quorum_is_voter(q)) {
            jr_quorum_campaign(q, true);
        }
        else {
            /* Callers must not be sent to a leader that is silent. */
            q->leader = 0;
            jr_quorum_reset_timer(q);
        }
    }
}

jr_result_t
jr_quorum_receive(jr_quorum_t *q, const uint8_t *bytes, size_t len,
                  int64_t now)
{
    Jr__QuorumMsg *m = jr__quorum_msg__unpack(NULL, len, bytes);

    if (m == NULL || m->group != q->options.group ||
        m->to != q->options.self) {
        if (m != NULL) {
            jr__quorum_msg__free_unpacked(m, NULL);
        }
        jr_count(q->ctx, JR_C_BUS_BAD);
        return jr_fail(q->ctx, JR_BAD_REQUEST,
                       "cannot unpack message of %zu bytes, or it is not for "
                       "replica %llu of group %u",
                       len, (unsigned long long)q->options.self,
                       q->options.group);
    }
    advance(q, now);
    /* After a freeze, an outdated leader must step down before it acts. */
    check_quorum(q);
    if (check_term(q, m)) {
        dispatch(q, m);
    }
    jr__quorum_msg__free_unpacked(m, NULL);
    return JR_OK;
}

jr_result_t
jr_quorum_propose(jr_quorum_t *q, const uint8_t *data, size_t len,
                  uint64_t *index)
{
    if (q->role != JR_LEADER) {
        return jr_fail(
            q->ctx, JR_NOT_LEADER,
            "replica %llu is not the leader of group %u; the leader is "
            "%llu (0: unknown)",
            (unsigned long long)q->options.self, q->options.group,
            (unsigned long long)q->leader);
    }
    *index = jr_quorum_append_local(q, JR_ENTRY_COMMAND, data, len)->index;
    return JR_OK;
}

bool
jr_quorum_ready(jr_quorum_t *q, jr_ready_t *ready)
{
    uint64_t last = jr_log_last(&q->log);

    *ready = (jr_ready_t){
        .hard_state_changed = q->is_hard_state_dirty,
        .term = q->term,
        .voted_for = q->voted_for,
        .install = q->has_install ? &q->log.base : NULL,
    };
    if (q->stable < last) {
        ready->entries = jr_log_get(&q->log, q->stable + 1);
        ready->n_entries = last - q->stable;
    }
    /* Send the entries to the followers while they are written to disk. */
    if (q->role == JR_LEADER) {
        jr_quorum_replicate_all(q, false);
    }
    return ready->hard_state_changed || ready->install != NULL ||
           ready->n_entries > 0;
}

void
jr_quorum_persisted(jr_quorum_t *q, int64_t now)
{
    q->now = MAX(q->now, now);
    q->is_hard_state_dirty = false;
    q->has_install = false;
    q->stable = jr_log_last(&q->log);
    if (q->role == JR_LEADER) {
        jr_quorum_advance_commit(q);
    }
}

bool
jr_quorum_take_message(jr_quorum_t *q, jr_member_t *to, uint8_t **bytes,
                       size_t *len)
{
    jr_outgoing_t *out = STAILQ_FIRST(&q->out);

    if (out == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&q->out, link);
    *to = out->to;
    *bytes = out->bytes;
    *len = out->len;
    jr_free(q->ctx, out);
    return true;
}

const jr_entry_t *
jr_quorum_next_committed(jr_quorum_t *q)
{
    if (q->applied >= q->commit || q->applied >= q->stable) {
        return NULL;
    }
    q->applied++;
    return jr_log_get(&q->log, q->applied);
}

void
jr_quorum_compact(jr_quorum_t *q, const uint8_t *data, size_t len)
{
    jr_snapshot_t snapshot = {
        .index = q->applied,
        .term = jr_log_term(&q->log, q->applied),
        .config = jr_quorum_config_at(q, q->applied),
        .data = (uint8_t *)data,
        .len = len,
    };

    if (snapshot.index > q->log.base.index) {
        jr_log_rebase(q->ctx, &q->log, &snapshot, true);
    }
}

const jr_snapshot_t *
jr_quorum_snapshot(const jr_quorum_t *q)
{
    return &q->log.base;
}

const jr_entry_t *
jr_quorum_entries(const jr_quorum_t *q, size_t *n)
{
    *n = q->log.n;
    return q->log.entries;
}

static int
descending_time(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x < y) - (x > y);
}

int64_t
jr_quorum_confirmed_at(const jr_quorum_t *q)
{
    int64_t times[JR_MEMBERS_MAX];
    size_t n = 0;

    if (q->role != JR_LEADER) {
        return INT64_MIN;
    }
    for (size_t i = 0; i < q->config.n; i++) {
        if (q->config.members[i].voter) {
            times[n++] = q->progress[i].id == q->options.self
                             ? q->now
                             : q->progress[i].acked_sent_at;
        }
    }
    if (n == 0) {
        return INT64_MIN;
    }
    qsort(times, n, sizeof times[0], descending_time);
    return MAX(times[n / 2], q->confirmed_before);
}

bool
jr_quorum_is_confirmed(const jr_quorum_t *q, int64_t now, int64_t max_age_ms)
{
    int64_t confirmed_at = jr_quorum_confirmed_at(q);

    return confirmed_at != INT64_MIN && now - confirmed_at <= max_age_ms;
}

void
jr_quorum_request_heartbeat(jr_quorum_t *q)
{
    q->heartbeat_at = MIN(q->heartbeat_at, q->now);
}

bool
jr_quorum_is_caught_up(const jr_quorum_t *q)
{
    return q->role == JR_LEADER && q->applied >= q->term_start;
}

jr_role_t
jr_quorum_role(const jr_quorum_t *q)
{
    return q->role;
}

uint64_t
jr_quorum_term(const jr_quorum_t *q)
{
    return q->term;
}

uint64_t
jr_quorum_commit(const jr_quorum_t *q)
{
    return q->commit;
}

uint64_t
jr_quorum_applied(const jr_quorum_t *q)
{
    return q->applied;
}

uint64_t
jr_quorum_last(const jr_quorum_t *q)
{
    return jr_log_last(&q->log);
}

uint64_t
jr_quorum_leader(const jr_quorum_t *q)
{
    return q->leader;
}

bool
jr_quorum_hears_leader(const jr_quorum_t *q, int64_t now)
{
    return q->role != JR_LEADER && q->leader != 0 &&
           now - q->heard_leader_at < q->options.election_ms;
}

int64_t
jr_quorum_elected_at(const jr_quorum_t *q)
{
    return q->elected_at;
}

const jr_config_t *
jr_quorum_config(const jr_quorum_t *q)
{
    return &q->config;
}
