/* Elections: pre-votes, votes and leadership transfer. */
#include "core.h"

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

bool
jr_quorum_is_voter(const jr_quorum_t *q)
{
    int i = jr_quorum_find_member(q, q->options.self);

    return i >= 0 && q->config.members[i].voter;
}

void
jr_quorum_reset_timer(jr_quorum_t *q)
{
    int64_t base = q->options.election_ms;
    int64_t spread = q->options.is_preferred_leader ? base / 4 : base;
    int64_t extra = q->options.is_preferred_leader ? 0 : base / 4;

    q->election_at = q->now + base + extra +
                     g_rand_int_range(q->rng, 0, (gint32)MAX(spread, 1));
}

static void
become_leader(jr_quorum_t *q)
{
    q->role = JR_LEADER;
    q->leader = q->options.self;
    q->elected_at = q->now;
    q->confirmed_before = INT64_MIN;
    for (size_t i = 0; i < q->config.n; i++) {
        q->progress[i] = (jr_progress_t){
            .id = q->config.members[i].id,
            .next = jr_log_last(&q->log) + 1,
            /*
             * A vote confirms the leader at the time of the request, not
             * of the reply: a newer leader may have been elected in between.
             */
            .acked_sent_at =
                q->progress[i].granted ? q->campaign_at : INT64_MIN,
        };
    }
    q->term_start = jr_quorum_append_local(q, JR_ENTRY_NOOP, NULL, 0)->index;
    q->heartbeat_at = q->now + q->options.heartbeat_ms;
    jr_quorum_replicate_all(q, true);
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

static void
check_votes(jr_quorum_t *q)
{
    if (count_grants(q) < jr_quorum_majority(q)) {
        return;
    }
    if (q->is_pre_vote) {
        jr_quorum_campaign(q, false);
    }
    else {
        become_leader(q);
    }
}

void
jr_quorum_campaign(jr_quorum_t *q, bool is_pre)
{
    q->role = JR_CANDIDATE;
    q->is_pre_vote = is_pre;
    q->leader = 0;
    if (!is_pre) {
        q->term++;
        q->voted_for = q->options.self;
        q->is_hard_state_dirty = true;
        jr_count(q->ctx, JR_C_ELECTIONS);
    }
    q->campaign_at = q->now;
    jr_quorum_reset_timer(q);
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
heard_leader_recently(const jr_quorum_t *q)
{
    return q->role == JR_LEADER || jr_quorum_hears_leader(q, q->now);
}

void
jr_quorum_handle_vote_request(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    const Jr__VoteRequest *request = m->vote_request;
    Jr__VoteReply body = JR__VOTE_REPLY__INIT;
    Jr__QuorumMsg reply = JR__QUORUM_MSG__INIT;

    body.pre = request->pre;
    body.granted = is_up_to_date(q, request);
    if (request->pre) {
        body.granted =
            body.granted && m->term > q->term && !heard_leader_recently(q);
        reply.term = body.granted ? m->term : q->term;
    }
    else {
        body.granted = body.granted && m->term == q->term &&
                       (q->voted_for == 0 || q->voted_for == m->from);
        if (body.granted) {
            q->voted_for = m->from;
            q->is_hard_state_dirty = true;
            jr_quorum_reset_timer(q);
        }
    }
    reply.body_case = JR__QUORUM_MSG__BODY_VOTE_REPLY;
    reply.vote_reply = &body;
    jr_quorum_reply(q, m, &reply);
}

void
jr_quorum_handle_vote_reply(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    int i = jr_quorum_find_member(q, m->from);
    uint64_t expected = q->term + (q->is_pre_vote ? 1 : 0);

    if (q->role != JR_CANDIDATE || i < 0 ||
        m->vote_reply->pre != q->is_pre_vote || m->term != expected ||
        !m->vote_reply->granted) {
        return;
    }
    q->progress[i].granted = true;
    check_votes(q);
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
