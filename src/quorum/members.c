/* Members of a group and membership changes. */
#include "core.h"

#include <string.h>

enum {
    /* Longer than most restarts and network partitions. */
    SILENT_VOTER_MS = 3000,    /* a surplus voter may then be removed */
    SILENT_LEARNER_MS = 15000, /* a learner may then be removed */
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
    len = jr_config_pack(q->ctx, config, &bytes);
    jr_quorum_append_local(q, JR_ENTRY_CONFIG, bytes, len);
    jr_free(q->ctx, bytes);
    jr_quorum_reload_config(q);
    jr_quorum_replicate_all(q, true);
    return JR_OK;
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

static bool
may_promote(const jr_quorum_t *q)
{
    return q->options.voters == 0 ||
           count_voters(&q->config) <= q->options.voters;
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
