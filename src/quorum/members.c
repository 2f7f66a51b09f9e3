/* Members of a group and membership changes. */
#include "core.h"

#include <string.h>

enum {
    /* Longer than most restarts and network partitions. */
    SILENT_VOTER_MS = 3000,    /* a surplus voter may then be removed */
    SILENT_LEARNER_MS = 15000, /* a learner may then be removed */
    SILENT_LEADER_MS = 3000,   /* this replica may then have been removed */
    ANSWERED_HEARTBEATS = 3,   /* a replica that answered one of them runs */
};

int
jr_quorum_find_member(const jr_quorum_t *q, uint64_t id)
{
    for (size_t i = 0; i < q->config.n; i++) {
        if (q->config.members[i].id == id) {
            return (int)i;
        }
    }
    return -1;
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
            .added_at = q->now,
        };
        for (size_t k = 0; k < before.n; k++) {
            if (old[k].id == q->progress[i].id) {
                q->progress[i] = old[k];
            }
        }
    }
}

jr_config_t
jr_quorum_config_at(const jr_quorum_t *q, uint64_t index)
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

/* A process has one replica at a time: a newer one means that this is dead. */
static bool
is_replaced(const jr_config_t *config, size_t i)
{
    for (size_t k = i + 1; k < config->n; k++) {
        if (strcmp(config->members[k].name, config->members[i].name) == 0) {
            return true;
        }
    }
    return false;
}

static size_t
count_voters(const jr_config_t *config)
{
    size_t n = 0;

    for (size_t i = 0; i < config->n; i++) {
        n += config->members[i].voter;
    }
    return n;
}

static int64_t
silent_ms(const jr_quorum_t *q, size_t i)
{
    const jr_progress_t *progress = &q->progress[i];
    int64_t heard_at = MAX(progress->acked_sent_at, progress->added_at);

    return q->config.members[i].id == q->options.self
               ? 0
               : q->now - MAX(heard_at, q->elected_at);
}

/* One line for each member that a change adds, promotes or removes. */
static void
log_member(const jr_quorum_t *q, const jr_config_t *config,
           const jr_member_t *member, const char *change, const char *reason,
           int64_t silent)
{
    size_t voters = count_voters(config);

    jr_log(q->ctx, JR_EV_MEMBERSHIP,
           "group=%u change=%s member=%s replica=%016llx reason=%s "
           "silent_ms=%lld voters=%zu learners=%zu",
           q->options.group, change, member->name,
           (unsigned long long)member->id, reason, (long long)silent, voters,
           config->n - voters);
}

static bool
has_name(const jr_config_t *config, const char *name)
{
    for (size_t i = 0; i < config->n; i++) {
        if (strcmp(config->members[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* To be called before the change takes effect, while silences are known. */
static void
log_change(const jr_quorum_t *q, const jr_config_t *next)
{
    for (size_t i = 0; i < q->config.n; i++) {
        const jr_member_t *member = &q->config.members[i];

        if (jr_config_find(next, member->id) == NULL) {
            log_member(q, next, member, "removed",
                       has_name(next, member->name) ? "replaced" : "silent",
                       silent_ms(q, i));
        }
    }
    for (size_t i = 0; i < next->n; i++) {
        const jr_member_t *member = &next->members[i];
        const jr_member_t *before = jr_config_find(&q->config, member->id);

        if (before == NULL) {
            log_member(q, next, member, "added", "joined", 0);
        }
        else if (member->voter && !before->voter) {
            log_member(q, next, member, "promoted", "caught-up", 0);
        }
    }
}

jr_result_t
jr_quorum_propose_config(jr_quorum_t *q, const jr_config_t *config)
{
    uint8_t *bytes;
    size_t len;

    if (q->role != JR_LEADER) {
        return jr_fail(
            q->ctx, JR_NOT_LEADER,
            "replica %llu is not the leader of group %u; the leader is "
            "%llu (0: unknown)",
            (unsigned long long)q->options.self, q->options.group,
            (unsigned long long)q->leader);
    }
    if (q->config_index > q->commit || q->commit < q->term_start) {
        return jr_fail(
            q->ctx, JR_IN_PROGRESS,
            "group %u: membership change refused until the latest "
            "configuration (entry %llu) and the first entry of the leader "
            "(%llu) are committed; commit index is "
            "%llu; retry later",
            q->options.group, (unsigned long long)q->config_index,
            (unsigned long long)q->term_start, (unsigned long long)q->commit);
    }
    log_change(q, config);
    q->confirmed_before = jr_quorum_confirmed_at(q);
    len = jr_config_pack(q->ctx, config, &bytes);
    jr_quorum_append_local(q, JR_ENTRY_CONFIG, bytes, len);
    jr_free(q->ctx, bytes);
    jr_quorum_reload_config(q);
    jr_quorum_replicate_all(q, true);
    return JR_OK;
}

/*
 * Find a member to remove: of the learners, and of the voters if there are
 * more than configured, the one that has been silent longest, if longer than
 * its limit. Returns its position, or -1 for none.
 */
static int
find_surplus(const jr_quorum_t *q)
{
    bool has_surplus = count_voters(&q->config) > q->options.voters;
    int found = -1;

    for (size_t i = 0; i < q->config.n; i++) {
        bool is_voter = q->config.members[i].voter;
        int64_t bound = is_voter ? SILENT_VOTER_MS : SILENT_LEARNER_MS;

        if ((!is_voter || has_surplus) && silent_ms(q, i) > bound &&
            (found < 0 || silent_ms(q, i) > silent_ms(q, (size_t)found))) {
            found = (int)i;
        }
    }
    return found;
}

static void
remove_member(jr_config_t *config, size_t i)
{
    config->n--;
    memmove(&config->members[i], &config->members[i + 1],
            (config->n - i) * sizeof config->members[0]);
}

/*
 * Remove the earlier replicas of a process. A change may remove any number of
 * learners, but only one voter.
 */
static void
remove_replaced(jr_config_t *config, const char *name)
{
    bool has_voter = false;
    size_t i = 0;

    while (i < config->n) {
        const jr_member_t *member = &config->members[i];
        bool is_voter = member->voter;

        if (strcmp(member->name, name) != 0 || (is_voter && has_voter)) {
            i++;
            continue;
        }
        has_voter |= is_voter;
        remove_member(config, i);
    }
}

jr_join_ticket_t
jr_quorum_join_ticket(const jr_quorum_t *q)
{
    return (jr_join_ticket_t){
        .term = q->term,
        .config_index = q->config_index,
    };
}

/* Does another replica of the process answer this leader? */
static bool
has_answering_replica(const jr_quorum_t *q, const char *name)
{
    int64_t limit_ms = ANSWERED_HEARTBEATS * q->options.heartbeat_ms;

    for (size_t i = 0; i < q->config.n; i++) {
        if (strcmp(q->config.members[i].name, name) == 0 &&
            q->progress[i].acked_sent_at > q->now - limit_ms) {
            return true;
        }
    }
    return false;
}

static jr_result_t
refuse_join(const jr_quorum_t *q, const jr_member_t *member,
            jr_counter_t counter, const char *reason)
{
    jr_count(q->ctx, counter);
    return jr_fail(q->ctx, JR_IN_PROGRESS,
                   "group %u: replica %016llx of %s is not added: %s",
                   q->options.group, (unsigned long long)member->id,
                   member->name, reason);
}

/*
 * A delayed request of a replica whose disk is lost by now must not remove the
 * next replica of its process, so the leader must have answered the sender
 * since the members last changed.
 */
static jr_result_t
check_join(const jr_quorum_t *q, const jr_member_t *member,
           const jr_join_ticket_t *ticket)
{
    if (q->role != JR_LEADER) {
        return JR_OK; /* refused when the change is proposed */
    }
    if (ticket->term != q->term || ticket->config_index != q->config_index) {
        return refuse_join(q, member, JR_C_JOIN_NO_TICKET,
                           "it has no ticket of the present members");
    }
    if (has_answering_replica(q, member->name)) {
        return refuse_join(q, member, JR_C_JOIN_NAME_IN_USE,
                           "another replica of its process answers");
    }
    return JR_OK;
}

jr_result_t
jr_quorum_join(jr_quorum_t *q, const jr_member_t *member,
               const jr_join_ticket_t *ticket)
{
    jr_config_t next = q->config;
    jr_result_t result;

    if (jr_config_find(&next, member->id) != NULL) {
        return JR_OK;
    }
    result = check_join(q, member, ticket);
    if (result != JR_OK) {
        return result;
    }
    remove_replaced(&next, member->name);
    if (next.n == JR_MEMBERS_MAX) {
        return jr_fail(q->ctx, JR_QUOTA,
                       "group %u: %s can't join, the group already has the "
                       "maximum of %d members",
                       q->options.group, member->name, JR_MEMBERS_MAX);
    }
    next.members[next.n] = *member;
    next.members[next.n].voter = false;
    next.n++;
    return jr_quorum_propose_config(q, &next);
}

bool
jr_quorum_needs_join(const jr_quorum_t *q)
{
    return jr_quorum_find_member(q, q->options.self) < 0 ||
           (q->role != JR_LEADER &&
            q->now - q->heard_leader_at > SILENT_LEADER_MS);
}

/* The index up to which a member is known to have the log on disk. */
static uint64_t
durable_index(const jr_quorum_t *q, size_t i)
{
    return q->config.members[i].id == q->options.self ? q->stable
                                                      : q->progress[i].match;
}

size_t
jr_quorum_whole_voters(const jr_quorum_t *q)
{
    size_t n = 0;

    for (size_t i = 0; i < q->config.n && q->role == JR_LEADER; i++) {
        n += q->config.members[i].voter &&
             silent_ms(q, i) <= SILENT_VOTER_MS &&
             durable_index(q, i) >= q->commit;
    }
    return n;
}

static bool
has_silent_voter(const jr_quorum_t *q)
{
    for (size_t i = 0; i < q->config.n; i++) {
        if (q->config.members[i].voter && silent_ms(q, i) > SILENT_VOTER_MS) {
            return true;
        }
    }
    return false;
}

/*
 * A silent voter may have its disk still, so another one is promoted before it
 * is removed.
 */
static bool
may_promote(const jr_quorum_t *q)
{
    size_t voters = count_voters(&q->config);

    return q->options.voters == 0 || voters < q->options.voters ||
           (voters == q->options.voters && has_silent_voter(q));
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
            remove_member(next, i);
            return true;
        }
    }
    if (q->options.voters > 0 && find_surplus(q) >= 0) {
        remove_member(next, (size_t)find_surplus(q));
        return true;
    }
    for (size_t i = 0; i < next->n && may_promote(q); i++) {
        if (!next->members[i].voter && q->progress[i].match >= q->commit &&
            q->progress[i].match > 0) {
            next->members[i].voter = true;
            return true;
        }
    }
    return false;
}
