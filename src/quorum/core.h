/* Private to src/quorum: the state of the core. */
#ifndef JR_QUORUM_CORE_H
#define JR_QUORUM_CORE_H

#include <glib.h>
#include <sys/queue.h>

#include "convert.h"

/* The log after a snapshot: entries[i] has index base.index + 1 + i. */
typedef struct {
    jr_snapshot_t base;
    jr_entry_t *entries;
    size_t n;
    size_t cap;
} jr_log_t;

void jr_log_init(jr_log_t *log);
void jr_log_clear(jr_ctx_t *ctx, jr_log_t *log);
uint64_t jr_log_last(const jr_log_t *log);
/* The term of the entry at index; 0 when the log does not contain it. */
uint64_t jr_log_term(const jr_log_t *log, uint64_t index);
/* NULL when the log does not contain the index. */
jr_entry_t *jr_log_get(const jr_log_t *log, uint64_t index);
/* Append a copy. */
jr_entry_t *jr_log_append(jr_ctx_t *ctx, jr_log_t *log,
                          const jr_entry_t *entry);
/* Remove the entries at and after index. */
void jr_log_truncate(jr_ctx_t *ctx, jr_log_t *log, uint64_t index);
/*
 * Replace the base by a copy of a snapshot and remove the entries that it
 * covers, or all entries unless keep_rest is set.
 */
void jr_log_rebase(jr_ctx_t *ctx, jr_log_t *log, const jr_snapshot_t *base,
                   bool keep_rest);
void jr_snapshot_copy(jr_ctx_t *ctx, jr_snapshot_t *to,
                      const jr_snapshot_t *from);
void jr_snapshot_clear(jr_ctx_t *ctx, jr_snapshot_t *snapshot);

/* Replication state of one member, as seen by a leader or candidate. */
typedef struct {
    uint64_t id;
    uint64_t match;     /* highest index known to be replicated */
    uint64_t next;      /* next index to send */
    uint64_t last_sent; /* highest index in flight */
    unsigned inflight_batches;
    int64_t acked_sent_at;  /* send time of the newest acknowledged probe */
    int64_t inflight_until; /* batches sent count as in flight until then */
    int64_t rewound_at;     /* last time that a refusal moved next back */
    int64_t added_at;       /* to the members, while this replica led */
    bool granted;           /* voted for this candidate */
} jr_progress_t;

typedef struct jr_outgoing {
    STAILQ_ENTRY(jr_outgoing) link;
    jr_member_t to;
    uint8_t *bytes;
    size_t len;
} jr_outgoing_t;

struct jr_quorum {
    jr_ctx_t *ctx;
    jr_quorum_options_t options;
    GRand *rng;

    jr_role_t role;
    uint64_t term;
    uint64_t voted_for;
    uint64_t leader;
    bool is_hard_state_dirty;
    bool is_pre_vote;

    jr_log_t log;
    uint64_t stable; /* last durable index */
    uint64_t commit;
    uint64_t applied;
    uint64_t term_start; /* index of the first entry of this leader's term */
    bool has_install;

    jr_config_t config;
    uint64_t config_index;
    jr_progress_t progress[JR_MEMBERS_MAX]; /* same order as config.members */

    int64_t now;
    int64_t election_at;
    int64_t heartbeat_at;
    int64_t heard_leader_at;
    int64_t campaign_at;
    int64_t elected_at;
    /*
     * Last confirmation by a majority of the earlier members: any majority of
     * the newest ones overlaps with it.
     */
    int64_t confirmed_before;
    int64_t grace_until; /* after a stall: no check-quorum until then */
    STAILQ_HEAD(, jr_outgoing) out;
};

/* Pack a message for its receiver and add it to the send queue. */
void jr_quorum_send(jr_quorum_t *q, const jr_member_t *to,
                    Jr__QuorumMsg *message);
jr_entry_t *jr_quorum_append_local(jr_quorum_t *q, jr_entry_kind_t kind,
                                   const uint8_t *data, size_t len);
void jr_quorum_replicate_all(jr_quorum_t *q, bool is_probe);
bool jr_quorum_is_voter(const jr_quorum_t *q);
void jr_quorum_reset_timer(jr_quorum_t *q);
/* Start an election, or a pre-vote, which does not change the term. */
void jr_quorum_campaign(jr_quorum_t *q, bool is_pre);
void jr_quorum_handle_vote_request(jr_quorum_t *q, const Jr__QuorumMsg *m);
void jr_quorum_handle_vote_reply(jr_quorum_t *q, const Jr__QuorumMsg *m);
/* The members in effect at an index. */
jr_config_t jr_quorum_config_at(const jr_quorum_t *q, uint64_t index);
/* Send entries, a snapshot or an empty probe to one member. */
void jr_quorum_replicate(jr_quorum_t *q, size_t i, bool is_probe);
/* Advance the commit index of a leader. */
void jr_quorum_advance_commit(jr_quorum_t *q);
/* Recompute the members from the log, after the log changed. */
void jr_quorum_reload_config(jr_quorum_t *q);
void jr_quorum_become_follower(jr_quorum_t *q, uint64_t term, uint64_t leader);
void jr_quorum_handle_append(jr_quorum_t *q, const Jr__QuorumMsg *m);
void jr_quorum_handle_append_reply(jr_quorum_t *q, const Jr__QuorumMsg *m);
void jr_quorum_handle_install(jr_quorum_t *q, const Jr__QuorumMsg *m);
void jr_quorum_reply(jr_quorum_t *q, const Jr__QuorumMsg *to,
                     Jr__QuorumMsg *reply);
int jr_quorum_find_member(const jr_quorum_t *q, uint64_t id);
size_t jr_quorum_majority(const jr_quorum_t *q);

#endif
