/* Terms, elections and the interface of the core. */
#include "core.h"

#include <stdlib.h>
#include <string.h>

int
jr_quorum_find(const jr_quorum_t *q, uint64_t id)
{
    for (size_t i = 0; i < q->config.n; i++) {
        if (q->config.members[i].id == id) {
            return (int)i;
        }
    }
    return -1;
}

static size_t
count_voters(const jr_quorum_t *q)
{
    size_t n = 0;

    for (size_t i = 0; i < q->config.n; i++) {
        n += q->config.members[i].voter;
    }
    return n;
}

size_t
jr_quorum_majority(const jr_quorum_t *q)
{
    return count_voters(q) / 2 + 1;
}

static bool
is_voter(const jr_quorum_t *q)
{
    int i = jr_quorum_find(q, q->options.self);

    return i >= 0 && q->config.members[i].voter;
}

static void
reset_election_timer(jr_quorum_t *q)
{
    int64_t base = q->options.election_ms;
    int64_t spread = q->options.prefers_lead ? base / 4 : base;
    int64_t extra = q->options.prefers_lead ? 0 : base / 4;

    q->election_at = q->now + base + extra +
                     g_rand_int_range(q->rng, 0, (gint32)MAX(spread, 1));
}

void
jr_quorum_send(jr_quorum_t *q, const jr_member_t *to, Jr__QuorumMsg *message)
{
    jr_out_t *out = jr_alloc(q->ctx, sizeof *out);

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

/* A sender that is not a member yet known here is answered by its id. */
void
jr_quorum_reply(jr_quorum_t *q, const Jr__QuorumMsg *to, Jr__QuorumMsg *reply)
{
    const jr_member_t *known = jr_config_find(&q->config, to->from);
    jr_member_t member = {.id = to->from};

    jr_quorum_send(q, known != NULL ? known : &member, reply);
}

void
jr_quorum_reload_config(jr_quorum_t *q)
{
    jr_progress_t old[JR_MEMBERS_MAX];
    jr_config_t before = q->config;

    memcpy(old, q->progress, sizeof old);
    q->config = q->log.base.config;
    q->config_index = q->log.base.index;
    for (size_t i = q->log.n; i > 0; i--) {
        const jr_entry_t *entry = &q->log.entries[i - 1];

        if (entry->kind == JR_ENTRY_CONFIG &&
            jr_config_unpack(entry->data, entry->len, &q->config)) {
            q->config_index = entry->index;
            break;
        }
    }
    for (size_t i = 0; i < q->config.n; i++) {
        q->progress[i] = (jr_progress_t){
            .id = q->config.members[i].id,
            .next = jr_log_last(&q->log) + 1,
            .acked_sent_at = INT64_MIN,
        };
        for (size_t k = 0; k < before.n; k++) {
            if (old[k].id == q->progress[i].id) {
                q->progress[i] = old[k];
            }
        }
    }
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
        q->is_hard_dirty = true;
    }
    q->role = JR_FOLLOWER;
    q->leader = leader;
    reset_election_timer(q);
}

static jr_entry_t *
append_own(jr_quorum_t *q, jr_entry_kind_t kind, const uint8_t *data,
           size_t len)
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

static void
replicate_all(jr_quorum_t *q, bool is_probe)
{
    for (size_t i = 0; i < q->config.n; i++) {
        jr_quorum_replicate(q, i, is_probe);
    }
}

static void
become_leader(jr_quorum_t *q)
{
    q->role = JR_LEADER;
    q->leader = q->options.self;
    q->elected_at = q->now;
    for (size_t i = 0; i < q->config.n; i++) {
        q->progress[i] = (jr_progress_t){
            .id = q->config.members[i].id,
            .next = jr_log_last(&q->log) + 1,
            /*
             * A vote confirms the leader as of the request, not of the
             * reply: a newer leader may have been elected in between.
             */
            .acked_sent_at =
                q->progress[i].granted ? q->campaign_at : INT64_MIN,
        };
    }
    q->term_start = append_own(q, JR_ENTRY_NOOP, NULL, 0)->index;
    q->heartbeat_at = q->now + q->options.heartbeat_ms;
    replicate_all(q, true);
    jr_log(q->ctx, JR_EV_LEADER_ELECTED, "group %u term %llu",
           q->options.group, (unsigned long long)q->term);
}

static size_t
count_grants(const jr_quorum_t *q)
{
    size_t n = 0;

    for (size_t i = 0; i < q->config.n; i++) {
        n += q->config.members[i].voter && q->progress[i].granted;
    }
    return n;
}

static void campaign(jr_quorum_t *q, bool is_pre);

static void
check_votes(jr_quorum_t *q)
{
    if (count_grants(q) < jr_quorum_majority(q)) {
        return;
    }
    if (q->is_pre_vote) {
        campaign(q, false);
    }
    else {
        become_leader(q);
    }
}

static void
campaign(jr_quorum_t *q, bool is_pre)
{
    q->role = JR_CANDIDATE;
    q->is_pre_vote = is_pre;
    q->leader = 0;
    if (!is_pre) {
        q->term++;
        q->voted_for = q->options.self;
        q->is_hard_dirty = true;
        jr_count(q->ctx, JR_C_ELECTIONS);
    }
    q->campaign_at = q->now;
    reset_election_timer(q);
    for (size_t i = 0; i < q->config.n; i++) {
        const jr_member_t *member = &q->config.members[i];
        Jr__VoteRequest body = JR__VOTE_REQUEST__INIT;
        Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;

        q->progress[i].id = member->id;
        q->progress[i].granted = member->id == q->options.self;
        if (member->id == q->options.self || !member->voter) {
            continue;
        }
        body.pre = is_pre;
        body.last_index = jr_log_last(&q->log);
        body.last_term = jr_log_term(&q->log, body.last_index);
        message.term = q->term + is_pre;
        message.body_case = JR__QUORUM_MSG__BODY_VOTE_REQUEST;
        message.vote_request = &body;
        jr_quorum_send(q, member, &message);
    }
    check_votes(q);
}

static bool
is_up_to_date(const jr_quorum_t *q, const Jr__VoteRequest *request)
{
    uint64_t last = jr_log_last(&q->log);
    uint64_t term = jr_log_term(&q->log, last);

    if (request->last_term != term) {
        return request->last_term > term;
    }
    return request->last_index >= last;
}

static bool
heard_leader_lately(const jr_quorum_t *q)
{
    if (q->role == JR_LEADER) {
        return true;
    }
    return q->leader != 0 &&
           q->now - q->heard_leader_at < q->options.election_ms;
}

static void
on_vote_request(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    const Jr__VoteRequest *request = m->vote_request;
    Jr__VoteReply body = JR__VOTE_REPLY__INIT;
    Jr__QuorumMsg reply = JR__QUORUM_MSG__INIT;

    body.pre = request->pre;
    body.granted = is_up_to_date(q, request);
    if (request->pre) {
        body.granted =
            body.granted && m->term > q->term && !heard_leader_lately(q);
        reply.term = body.granted ? m->term : q->term;
    }
    else {
        body.granted = body.granted && m->term == q->term &&
                       (q->voted_for == 0 || q->voted_for == m->from);
        if (body.granted) {
            q->voted_for = m->from;
            q->is_hard_dirty = true;
            reset_election_timer(q);
        }
    }
    reply.body_case = JR__QUORUM_MSG__BODY_VOTE_REPLY;
    reply.vote_reply = &body;
    jr_quorum_reply(q, m, &reply);
}

static void
on_vote_reply(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    int i = jr_quorum_find(q, m->from);
    uint64_t expected = q->term + (q->is_pre_vote ? 1 : 0);

    if (q->role != JR_CANDIDATE || i < 0 ||
        m->vote_reply->pre != q->is_pre_vote || m->term != expected ||
        !m->vote_reply->granted) {
        return;
    }
    q->progress[i].granted = true;
    check_votes(q);
}

/* Handle a higher or lower term; false when the message goes no further. */
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
        /* Any reply shows the sender the newer term. */
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
        on_vote_request(q, m);
        break;
    case JR__QUORUM_MSG__BODY_VOTE_REPLY:
        on_vote_reply(q, m);
        break;
    case JR__QUORUM_MSG__BODY_APPEND:
        jr_quorum_on_append(q, m);
        break;
    case JR__QUORUM_MSG__BODY_APPEND_REPLY:
        jr_quorum_on_append_reply(q, m);
        break;
    case JR__QUORUM_MSG__BODY_INSTALL:
        jr_quorum_on_install(q, m);
        break;
    case JR__QUORUM_MSG__BODY_TIMEOUT_NOW:
        if (q->leader == m->from && is_voter(q)) {
            campaign(q, false);
        }
        break;
    default:
        jr_count(q->ctx, JR_C_BUS_BAD);
        break;
    }
}

/* Leadership that no majority confirms ends after an election timeout. */
static void
check_quorum(jr_quorum_t *q)
{
    if (q->role == JR_LEADER &&
        q->now - jr_quorum_confirmed_at(q) > q->options.election_ms) {
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
    reset_election_timer(q);
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
jr_quorum_restore_hard(jr_quorum_t *q, uint64_t term, uint64_t voted_for)
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
    bool is_cut = entry->index <= q->config_index;

    jr_log_truncate(q->ctx, &q->log, entry->index);
    jr_log_append(q->ctx, &q->log, entry);
    q->stable = entry->index;
    if (is_cut || entry->kind == JR_ENTRY_CONFIG) {
        jr_quorum_reload_config(q);
    }
}

void
jr_quorum_tick(jr_quorum_t *q, int64_t now)
{
    q->now = MAX(q->now, now);
    check_quorum(q);
    if (q->role == JR_LEADER) {
        if (q->now >= q->heartbeat_at) {
            q->heartbeat_at = q->now + q->options.heartbeat_ms;
            replicate_all(q, true);
        }
        return;
    }
    if (q->now >= q->election_at) {
        if (is_voter(q)) {
            campaign(q, true);
        }
        else {
            reset_election_timer(q);
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
        return jr_fail(q->ctx, JR_BAD_REQUEST, "not a message of this group");
    }
    q->now = MAX(q->now, now);
    /* A process that was frozen must not act on old leadership. */
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
        return jr_fail(q->ctx, JR_NOT_LEADER, "group %u is led elsewhere",
                       q->options.group);
    }
    *index = append_own(q, JR_ENTRY_COMMAND, data, len)->index;
    return JR_OK;
}

jr_result_t
jr_quorum_propose_config(jr_quorum_t *q, const jr_config_t *config)
{
    uint8_t *bytes;
    size_t len;

    if (q->role != JR_LEADER) {
        return jr_fail(q->ctx, JR_NOT_LEADER, "group %u is led elsewhere",
                       q->options.group);
    }
    if (q->config_index > q->commit || q->commit < q->term_start) {
        return jr_fail(q->ctx, JR_IN_PROGRESS,
                       "group %u has a change of members in progress",
                       q->options.group);
    }
    len = jr_config_pack(q->ctx, config, &bytes);
    append_own(q, JR_ENTRY_CONFIG, bytes, len);
    jr_free(q->ctx, bytes);
    jr_quorum_reload_config(q);
    replicate_all(q, true);
    return JR_OK;
}

bool
jr_quorum_ready(jr_quorum_t *q, jr_ready_t *ready)
{
    uint64_t last = jr_log_last(&q->log);

    *ready = (jr_ready_t){
        .hard_changed = q->is_hard_dirty,
        .term = q->term,
        .voted_for = q->voted_for,
        .install = q->has_install ? &q->log.base : NULL,
    };
    if (q->stable < last) {
        ready->entries = jr_log_get(&q->log, q->stable + 1);
        ready->n_entries = last - q->stable;
    }
    /* Entries that wait here go out to the others at the same time. */
    if (q->role == JR_LEADER) {
        replicate_all(q, false);
    }
    return ready->hard_changed || ready->install != NULL ||
           ready->n_entries > 0;
}

void
jr_quorum_persisted(jr_quorum_t *q, int64_t now)
{
    q->now = MAX(q->now, now);
    q->is_hard_dirty = false;
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
    jr_out_t *out = STAILQ_FIRST(&q->out);

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

static jr_config_t
config_at(const jr_quorum_t *q, uint64_t index)
{
    jr_config_t config = q->log.base.config;

    for (size_t i = 0; i < q->log.n; i++) {
        const jr_entry_t *entry = &q->log.entries[i];

        if (entry->index <= index && entry->kind == JR_ENTRY_CONFIG) {
            jr_config_unpack(entry->data, entry->len, &config);
        }
    }
    return config;
}

void
jr_quorum_compact(jr_quorum_t *q, const uint8_t *data, size_t len)
{
    jr_snapshot_t snapshot = {
        .index = q->applied,
        .term = jr_log_term(&q->log, q->applied),
        .config = config_at(q, q->applied),
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
    return times[n / 2];
}

void
jr_quorum_confirm_soon(jr_quorum_t *q)
{
    q->heartbeat_at = MIN(q->heartbeat_at, q->now);
}

bool
jr_quorum_is_caught_up(const jr_quorum_t *q)
{
    return q->role == JR_LEADER && q->applied >= q->term_start;
}

void
jr_quorum_transfer(jr_quorum_t *q)
{
    Jr__TimeoutNow body = JR__TIMEOUT_NOW__INIT;
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;
    int best = -1;

    for (size_t i = 0; i < q->config.n && q->role == JR_LEADER; i++) {
        if (q->config.members[i].voter &&
            q->config.members[i].id != q->options.self &&
            (best < 0 || q->progress[i].match > q->progress[best].match)) {
            best = (int)i;
        }
    }
    if (best >= 0) {
        message.body_case = JR__QUORUM_MSG__BODY_TIMEOUT_NOW;
        message.timeout_now = &body;
        jr_quorum_send(q, &q->config.members[best], &message);
    }
}

static bool
is_replaced(const jr_config_t *config, size_t i)
{
    for (size_t k = i + 1; k < config->n; k++) {
        if (config->members[k].voter &&
            strcmp(config->members[k].name, config->members[i].name) == 0) {
            return true;
        }
    }
    return false;
}

bool
jr_quorum_next_config(const jr_quorum_t *q, jr_config_t *next)
{
    *next = q->config;
    if (q->role != JR_LEADER || q->config_index > q->commit ||
        q->commit < q->term_start) {
        return false;
    }
    for (size_t i = 0; i < next->n; i++) {
        if (is_replaced(next, i)) {
            next->n--;
            memmove(&next->members[i], &next->members[i + 1],
                    (next->n - i) * sizeof next->members[0]);
            return true;
        }
    }
    for (size_t i = 0; i < next->n; i++) {
        if (!next->members[i].voter && q->progress[i].match >= q->commit &&
            q->progress[i].match > 0) {
            next->members[i].voter = true;
            return true;
        }
    }
    return false;
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
