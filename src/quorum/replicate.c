/* Log replication: sending by the leader and handling by followers. */
#include "core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* A batch ends with the entry that reaches either limit. */
    BATCH_ENTRIES = 1024,
    BATCH_BYTES = 512 * 1024,
    INFLIGHT_BATCHES_MAX = 8, /* to a follower, unacknowledged */
};

static void
send_install(jr_quorum_t *q, size_t i)
{
    jr_snapshot_t *base = &q->log.base;
    jr_config_message_t buf;
    Jr__Snapshot snapshot = JR__SNAPSHOT__INIT;
    Jr__Install install = JR__INSTALL__INIT;
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;

    jr_config_to_message(&base->config, &buf);
    snapshot.index = base->index;
    snapshot.term = base->term;
    snapshot.config = &buf.message;
    snapshot.data.data = base->data;
    snapshot.data.len = base->len;
    install.snapshot = &snapshot;
    install.sent_at = q->now;
    message.body_case = JR__QUORUM_MSG__BODY_INSTALL;
    message.install = &install;
    jr_quorum_send(q, &q->config.members[i], &message);
}

static size_t
batch_size(const jr_quorum_t *q, uint64_t first)
{
    size_t bytes = 0;
    size_t n = 0;

    while (n < BATCH_ENTRIES && bytes < BATCH_BYTES &&
           first + n <= jr_log_last(&q->log)) {
        bytes += jr_log_get(&q->log, first + n)->len;
        n++;
    }
    return n;
}

static void
send_append(jr_quorum_t *q, size_t i, uint64_t first, size_t n)
{
    Jr__Entry *slots = jr_alloc(q->ctx, n * sizeof *slots);
    Jr__Entry **pointers = jr_alloc(q->ctx, n * sizeof(Jr__Entry *));
    Jr__Append append = JR__APPEND__INIT;
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;

    for (size_t k = 0; k < n; k++) {
        const jr_entry_t *entry = jr_log_get(&q->log, first + k);

        jr__entry__init(&slots[k]);
        slots[k].index = entry->index;
        slots[k].term = entry->term;
        slots[k].kind = (Jr__Entry__Kind)entry->kind;
        slots[k].data.data = entry->data;
        slots[k].data.len = entry->len;
        pointers[k] = &slots[k];
    }
    append.prev_index = first - 1;
    append.prev_term = jr_log_term(&q->log, first - 1);
    append.commit = q->commit;
    append.sent_at = q->now;
    append.n_entries = n;
    append.entries = pointers;
    message.body_case = JR__QUORUM_MSG__BODY_APPEND;
    message.append = &append;
    jr_quorum_send(q, &q->config.members[i], &message);
    jr_free(q->ctx, pointers);
    jr_free(q->ctx, slots);
}

void
jr_quorum_replicate(jr_quorum_t *q, size_t i, bool is_probe)
{
    jr_progress_t *progress = &q->progress[i];
    bool is_inflight = progress->inflight_until > q->now;
    uint64_t first;
    size_t n;

    if (progress->id == q->options.self) {
        return;
    }
    if (progress->next <= q->log.base.index) {
        if (!is_inflight) {
            send_install(q, i);
            progress->last_sent = q->log.base.index;
            progress->inflight_until = q->now + q->options.election_ms;
        }
        return;
    }
    if (!is_inflight) {
        progress->inflight_batches = 0;
    }
    first = is_inflight ? progress->last_sent + 1 : progress->next;
    n = progress->inflight_batches < INFLIGHT_BATCHES_MAX
            ? batch_size(q, first)
            : 0;
    if (n == 0 && !is_probe) {
        return;
    }
    send_append(q, i, n > 0 ? first : progress->next, n);
    if (n > 0) {
        progress->inflight_batches++;
        progress->last_sent = first + n - 1;
        progress->inflight_until = q->now + 2 * q->options.heartbeat_ms;
    }
}

static int
descending(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return (x < y) - (x > y);
}

void
jr_quorum_advance_commit(jr_quorum_t *q)
{
    uint64_t matches[JR_MEMBERS_MAX];
    size_t n = 0;
    uint64_t majority_match;

    for (size_t i = 0; i < q->config.n; i++) {
        if (!q->config.members[i].voter) {
            continue;
        }
        matches[n++] = q->progress[i].id == q->options.self
                           ? q->stable
                           : q->progress[i].match;
    }
    if (n == 0) {
        return;
    }
    qsort(matches, n, sizeof matches[0], descending);
    majority_match = matches[n / 2];
    if (majority_match > q->commit &&
        jr_log_term(&q->log, majority_match) == q->term) {
        q->commit = majority_match;
    }
}

/*
 * The highest index that may match the leader's log: the last index of a log
 * that ends before prev_index, else the last one before the term of the entry
 * that does not match, but at least the commit index.
 */
static uint64_t
conflict_hint(const jr_quorum_t *q, uint64_t prev_index)
{
    uint64_t index = prev_index;
    uint64_t term;

    if (index > jr_log_last(&q->log)) {
        return jr_log_last(&q->log);
    }
    term = jr_log_term(&q->log, index);
    while (index > q->commit && jr_log_term(&q->log, index) == term) {
        index--;
    }
    return index;
}

static void
reply_append(jr_quorum_t *q, const Jr__QuorumMsg *m, bool ok, uint64_t match,
             int64_t sent_at)
{
    Jr__AppendReply body = JR__APPEND_REPLY__INIT;
    Jr__QuorumMsg reply = JR__QUORUM_MSG__INIT;

    body.ok = ok;
    body.match = match;
    body.sent_at = sent_at;
    reply.body_case = JR__QUORUM_MSG__BODY_APPEND_REPLY;
    reply.append_reply = &body;
    jr_quorum_reply(q, m, &reply);
}

static void
append_entries(jr_quorum_t *q, const Jr__Append *append)
{
    bool is_config_changed = false;

    for (size_t k = 0; k < append->n_entries; k++) {
        const Jr__Entry *from = append->entries[k];
        jr_entry_t entry = {
            .index = from->index,
            .term = from->term,
            .kind = (jr_entry_kind_t)from->kind,
            .data = from->data.data,
            .len = from->data.len,
        };

        if (entry.index <= jr_log_last(&q->log)) {
            if (jr_log_term(&q->log, entry.index) == entry.term) {
                continue;
            }
            jr_log_truncate(q->ctx, &q->log, entry.index);
            q->stable = MIN(q->stable, entry.index - 1);
            is_config_changed |= q->config_index >= entry.index;
        }
        jr_log_append(q->ctx, &q->log, &entry);
        is_config_changed |= entry.kind == JR_ENTRY_CONFIG;
    }
    if (is_config_changed) {
        jr_quorum_reload_config(q);
    }
}

/* Entries must follow prev_index without a gap. */
static bool
is_contiguous(const Jr__Append *append)
{
    for (size_t k = 0; k < append->n_entries; k++) {
        if (append->entries[k]->index != append->prev_index + 1 + k) {
            return false;
        }
    }
    return true;
}

void
jr_quorum_handle_append(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    const Jr__Append *append = m->append;
    uint64_t end = append->prev_index + append->n_entries;

    jr_quorum_become_follower(q, m->term, m->from);
    q->heard_leader_at = q->now;
    if (!is_contiguous(append)) {
        jr_count(q->ctx, JR_C_BUS_BAD);
        return;
    }
    if (append->prev_index < q->commit) {
        reply_append(q, m, true, q->commit, append->sent_at);
        return;
    }
    if (append->prev_index > jr_log_last(&q->log) ||
        jr_log_term(&q->log, append->prev_index) != append->prev_term) {
        reply_append(q, m, false, conflict_hint(q, append->prev_index),
                     append->sent_at);
        return;
    }
    append_entries(q, append);
    q->commit = MAX(q->commit, MIN(append->commit, end));
    reply_append(q, m, true, end, append->sent_at);
}

void
jr_quorum_handle_append_reply(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    int i = jr_quorum_find_member(q, m->from);
    const Jr__AppendReply *reply = m->append_reply;
    jr_progress_t *progress;

    if (q->role != JR_LEADER || i < 0) {
        return;
    }
    progress = &q->progress[i];
    progress->acked_sent_at = MAX(progress->acked_sent_at, reply->sent_at);
    if (!reply->ok && reply->sent_at < progress->rewound_at) {
        return; /* refuses a message sent before the last rewind */
    }
    if (!reply->ok) {
        progress->rewound_at = q->now;
        progress->inflight_until = 0;
        progress->next = MAX(progress->match, reply->match) + 1;
        jr_quorum_replicate(q, (size_t)i, true);
        return;
    }
    if (reply->match > jr_log_last(&q->log)) {
        return;
    }
    progress->match = MAX(progress->match, reply->match);
    progress->next = progress->match + 1;
    if (progress->match >= progress->last_sent) {
        /* Only now: a reply to an earlier batch must not cause a resend. */
        progress->inflight_until = 0;
    }
    else if (progress->inflight_batches > 1) {
        progress->inflight_batches--;
    }
    jr_quorum_advance_commit(q);
    jr_quorum_replicate(q, (size_t)i, false);
}

static bool
is_loadable(const jr_quorum_t *q, const Jr__Snapshot *snapshot)
{
    const jr_quorum_options_t *options = &q->options;

    return options->check_snapshot == NULL ||
           options->check_snapshot(options->check_user, snapshot->data.data,
                                   snapshot->data.len);
}

void
jr_quorum_handle_install(jr_quorum_t *q, const Jr__QuorumMsg *m)
{
    const Jr__Snapshot *from = m->install->snapshot;
    jr_snapshot_t snapshot = {0};

    jr_quorum_become_follower(q, m->term, m->from);
    q->heard_leader_at = q->now;
    if (from == NULL ||
        !jr_config_from_message(from->config, &snapshot.config)) {
        jr_count(q->ctx, JR_C_BUS_BAD);
        return;
    }
    if (from->index <= jr_log_last(&q->log) &&
        jr_log_term(&q->log, from->index) == from->term) {
        /* Keep the entries after the snapshot: they may be acknowledged. */
        q->commit = MAX(q->commit, from->index);
        reply_append(q, m, true, from->index, m->install->sent_at);
        return;
    }
    if (from->index > q->commit &&
        (snapshot.config.n == 0 || !is_loadable(q, from))) {
        jr_count(q->ctx, JR_C_BUS_BAD);
        jr_log(q->ctx, JR_EV_BAD_MESSAGE,
               "group %u: snapshot of %zu bytes to index %llu has no "
               "members or no valid state, and is ignored",
               q->options.group, from->data.len,
               (unsigned long long)from->index);
        return;
    }
    if (from->index > q->commit) {
        snapshot.index = from->index;
        snapshot.term = from->term;
        snapshot.data = from->data.data;
        snapshot.len = from->data.len;
        jr_log_rebase(q->ctx, &q->log, &snapshot, false);
        q->commit = from->index;
        q->applied = from->index;
        q->stable = from->index;
        q->has_install = true;
        jr_quorum_reload_config(q);
    }
    reply_append(q, m, true, q->commit, m->install->sent_at);
}
