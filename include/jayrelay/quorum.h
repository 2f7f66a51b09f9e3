/**
 * DOC: quorum - consensus core (Raft) as a pure state machine
 *
 * The core reads no clock, opens no socket and accesses no disk. The caller
 * passes in messages and the time, writes the data returned by
 * jr_quorum_ready() to durable storage, calls jr_quorum_persisted(), and only
 * then sends the messages returned by jr_quorum_take_message(). The leader
 * must be confirmed by a majority (check-quorum), elections begin with a
 * pre-vote, a new replica is a learner until it has caught up, and membership
 * changes one replica at a time.
 *
 * All times are in milliseconds of a monotonic clock.
 */
#ifndef JAYRELAY_QUORUM_H
#define JAYRELAY_QUORUM_H

#include "jayrelay/ctx.h"

enum {
    JR_MEMBERS_MAX = 32, /* voters, learners and those not removed yet */
    JR_NAME_BYTES = 64,
    JR_ADDRESS_BYTES = 64,
};

/**
 * struct jr_member_t - one replica of a group
 * @id: replica id; a replica that lost its disk rejoins with a new id
 * @name: name of the replica's process in the settings
 * @address: host:port of the replica's message bus
 * @voter: false for a learner
 */
typedef struct {
    uint64_t id;
    char name[JR_NAME_BYTES];
    char address[JR_ADDRESS_BYTES];
    bool voter;
} jr_member_t;

/**
 * struct jr_join_ticket_t - shows that a join request is recent
 * @term: of the leader that issued it
 * @config_index: log index of the members at that time
 */
typedef struct {
    uint64_t term;
    uint64_t config_index;
} jr_join_ticket_t;

/** struct jr_config_t - the members of a group */
typedef struct {
    size_t n;
    jr_member_t members[JR_MEMBERS_MAX];
} jr_config_t;

/** enum jr_entry_kind_t - kind of a log entry; values as stored in the log */
typedef enum {
    JR_ENTRY_COMMAND = 0,
    JR_ENTRY_NOOP = 1,
    JR_ENTRY_CONFIG = 2,
} jr_entry_kind_t;

/**
 * struct jr_entry_t - one log entry
 * @data: owned by the log that contains the entry
 */
typedef struct {
    uint64_t index;
    uint64_t term;
    jr_entry_kind_t kind;
    uint8_t *data;
    size_t len;
} jr_entry_t;

/** enum jr_role_t - role of a replica in the current term */
typedef enum { JR_FOLLOWER, JR_CANDIDATE, JR_LEADER } jr_role_t;

/** typedef jr_snapshot_check_t - can the state machine load this state? */
typedef bool jr_snapshot_check_t(void *user, const uint8_t *data, size_t len);

/**
 * struct jr_quorum_options_t - parameters of a core
 * @group: number of the consensus group, sent in every message
 * @self: replica id of this core
 * @seed: seed of the random generator for election timeouts
 * @election_ms: minimum election timeout
 * @heartbeat_ms: interval between heartbeats of a leader
 * @voters: number of voters that membership repair restores; 0: every
 *          learner is promoted, and only replaced voters are removed
 * @is_preferred_leader: use shorter election timeouts, so that this replica
 *          usually starts an election before the others
 * @check_snapshot: called for a snapshot from the leader; one that can't be
 *          loaded is ignored, so the replica stays behind; NULL: all can be
 * @check_user: passed to @check_snapshot
 */
typedef struct {
    uint32_t group;
    uint64_t self;
    uint32_t seed;
    int64_t election_ms;
    int64_t heartbeat_ms;
    size_t voters;
    bool is_preferred_leader;
    jr_snapshot_check_t *check_snapshot;
    void *check_user;
} jr_quorum_options_t;

/**
 * struct jr_snapshot_t - state of the state machine up to an index
 * @config: members as of @index
 * @data: serialized state, owned by the owner of the snapshot
 */
typedef struct {
    uint64_t index;
    uint64_t term;
    jr_config_t config;
    uint8_t *data;
    size_t len;
} jr_snapshot_t;

/**
 * struct jr_ready_t - data to make durable before any message is sent
 * @hard_state_changed: @term or @voted_for changed
 * @install: a snapshot from the leader that replaces log and state, or NULL
 * @entries: entries to write; the first one truncates the stored log from its
 *           index on; borrowed until the next call that changes the core
 */
typedef struct {
    bool hard_state_changed;
    uint64_t term;
    uint64_t voted_for;
    const jr_snapshot_t *install;
    const jr_entry_t *entries;
    size_t n_entries;
} jr_ready_t;

typedef struct jr_quorum jr_quorum_t;

/** jr_new_quorum - create an empty core: a follower without members */
jr_quorum_t *jr_new_quorum(jr_ctx_t *ctx, const jr_quorum_options_t *options,
                           int64_t now);

/** jr_drop_quorum - free a core; NULL is accepted */
void jr_drop_quorum(jr_quorum_t *q);

/** jr_quorum_restore_hard_state - set the durable term and vote at restart */
void jr_quorum_restore_hard_state(jr_quorum_t *q, uint64_t term,
                                  uint64_t voted_for);

/** jr_quorum_restore_snapshot - load the snapshot at restart; copied */
void jr_quorum_restore_snapshot(jr_quorum_t *q, const jr_snapshot_t *snapshot);

/** jr_quorum_restore_entry - append a log entry at restart; copied */
void jr_quorum_restore_entry(jr_quorum_t *q, const jr_entry_t *entry);

/** jr_quorum_tick - run timers: elections, heartbeats, check-quorum */
void jr_quorum_tick(jr_quorum_t *q, int64_t now);

/**
 * jr_quorum_receive - handle a packed message from another replica
 *
 * Return: JR_OK, or JR_BAD_REQUEST when @bytes cannot be unpacked or the
 * message is for another group or replica.
 */
jr_result_t jr_quorum_receive(jr_quorum_t *q, const uint8_t *bytes, size_t len,
                              int64_t now);

/**
 * jr_quorum_propose - append a command as the leader; copies @data
 * @index: set to the index of the new entry; together with the term from
 *         jr_quorum_term() it identifies the entry
 *
 * Return: JR_OK or JR_NOT_LEADER.
 */
jr_result_t jr_quorum_propose(jr_quorum_t *q, const uint8_t *data, size_t len,
                              uint64_t *index);

/**
 * jr_quorum_propose_config - append a new set of members as the leader
 *
 * Return: JR_OK, JR_NOT_LEADER, or JR_IN_PROGRESS while an earlier change,
 * or the first entry of this leader, is not committed yet.
 */
jr_result_t jr_quorum_propose_config(jr_quorum_t *q,
                                     const jr_config_t *config);

/**
 * jr_quorum_join_ticket - get a ticket for a replica that asks to join
 *
 * Only for a leader; it is valid until the members or the leader change.
 */
jr_join_ticket_t jr_quorum_join_ticket(const jr_quorum_t *q);

/**
 * jr_quorum_join - add a replica to the members as a learner
 * @ticket: as the leader issued it to this replica
 *
 * Earlier replicas of the same process have lost their disk and are removed.
 * The ticket shows that the request was not delayed: its sender may have lost
 * its disk meanwhile, and must not replace its own successor.
 *
 * Return: JR_OK also when it is a member already, JR_IN_PROGRESS without a
 * valid ticket or while another replica of its process answers, JR_QUOTA, or
 * an error of jr_quorum_propose_config().
 */
jr_result_t jr_quorum_join(jr_quorum_t *q, const jr_member_t *member,
                           const jr_join_ticket_t *ticket);

/**
 * jr_quorum_needs_join - should this replica request membership?
 *
 * True for a replica that is no member. Also for one that has not heard a
 * leader for long: nobody tells a replica that it was removed.
 */
bool jr_quorum_needs_join(const jr_quorum_t *q);

/** jr_quorum_ready - get the data to make durable; false when there is none */
bool jr_quorum_ready(jr_quorum_t *q, jr_ready_t *ready);

/** jr_quorum_persisted - report that data of jr_quorum_ready() is durable */
void jr_quorum_persisted(jr_quorum_t *q, int64_t now);

/**
 * jr_quorum_take_message - remove the next message from the send queue
 * @to: set to the receiver
 * @bytes: packed message, owned by the caller (jr_free())
 *
 * Return: false when there is none.
 */
bool jr_quorum_take_message(jr_quorum_t *q, jr_member_t *to, uint8_t **bytes,
                            size_t *len);

/**
 * jr_quorum_next_committed - get the next committed entry to apply, or NULL
 *
 * Each call advances the applied index by one entry. The entry is borrowed
 * until the next call that changes the core.
 */
const jr_entry_t *jr_quorum_next_committed(jr_quorum_t *q);

/**
 * jr_quorum_compact - replace the log up to the last applied entry by a
 *                     snapshot
 * @data: serialized state of the state machine at that entry; copied
 */
void jr_quorum_compact(jr_quorum_t *q, const uint8_t *data, size_t len);

/** jr_quorum_snapshot - get the snapshot before the log; index 0: none */
const jr_snapshot_t *jr_quorum_snapshot(const jr_quorum_t *q);

/** jr_quorum_entries - get the log entries after the snapshot; borrowed */
const jr_entry_t *jr_quorum_entries(const jr_quorum_t *q, size_t *n);

/**
 * jr_quorum_confirmed_at - get the time of the last majority confirmation
 *
 * Return: the latest time at which this replica is known to have been the
 * only possible leader, or INT64_MIN when it is not the leader.
 */
int64_t jr_quorum_confirmed_at(const jr_quorum_t *q);

/**
 * jr_quorum_is_confirmed - is this the leader, and was it confirmed by a
 *                          majority at most @max_age_ms ago?
 */
bool jr_quorum_is_confirmed(const jr_quorum_t *q, int64_t now,
                            int64_t max_age_ms);

/**
 * jr_quorum_hears_leader - has a follower heard from its leader so recently
 *                          that no other one need have been elected?
 */
bool jr_quorum_hears_leader(const jr_quorum_t *q, int64_t now);

/** jr_quorum_request_heartbeat - make the next tick of a leader a heartbeat */
void jr_quorum_request_heartbeat(jr_quorum_t *q);

/**
 * jr_quorum_is_caught_up - true for a leader that has applied every entry of
 *                          earlier terms
 */
bool jr_quorum_is_caught_up(const jr_quorum_t *q);

/**
 * jr_quorum_transfer - transfer leadership, before a planned stop
 *
 * Asks the voter with the highest replicated index to start an election
 * immediately. This replica stays leader until another one is elected.
 */
void jr_quorum_transfer(jr_quorum_t *q);

/**
 * jr_quorum_next_config - get the next single membership change, if any
 * @next: set to the members after the change
 *
 * A replica whose process has a newer one has lost its disk. It is removed
 * before the newer one is promoted: as a voter without a disk it would raise
 * the majority, and count twice if the process lost its disk again. A learner
 * that has caught up is promoted while there are fewer voters than configured,
 * or one of them is silent, which is then removed. Learners that have been
 * silent for too long are removed too.
 *
 * Return: true when @next should be proposed.
 */
bool jr_quorum_next_config(const jr_quorum_t *q, jr_config_t *next);

/**
 * jr_quorum_whole_voters - count the voters that hold every committed entry
 *
 * Only the leader knows; other replicas return 0. It counts the voters that
 * answered lately. After a host was replaced, all copies are restored once the
 * result is the number of voters.
 */
size_t jr_quorum_whole_voters(const jr_quorum_t *q);

/** jr_quorum_role - get the current role */
jr_role_t jr_quorum_role(const jr_quorum_t *q);
/** jr_quorum_term - get the current term */
uint64_t jr_quorum_term(const jr_quorum_t *q);
/** jr_quorum_commit - get the last index known to be committed */
uint64_t jr_quorum_commit(const jr_quorum_t *q);
/** jr_quorum_applied - get the last index returned for applying */
uint64_t jr_quorum_applied(const jr_quorum_t *q);
/** jr_quorum_last - get the last index of the log */
uint64_t jr_quorum_last(const jr_quorum_t *q);
/** jr_quorum_leader - get the replica id of the known leader, 0 for none */
uint64_t jr_quorum_leader(const jr_quorum_t *q);
/** jr_quorum_elected_at - get the time at which this leader was elected */
int64_t jr_quorum_elected_at(const jr_quorum_t *q);
/** jr_quorum_config - get the newest members, committed or not */
const jr_config_t *jr_quorum_config(const jr_quorum_t *q);
/**
 * jr_config_pack - serialize members, as in a JR_ENTRY_CONFIG entry
 * @bytes: set to the packed form, owned by the caller (jr_free())
 *
 * Return: the length in bytes.
 */
size_t jr_config_pack(jr_ctx_t *ctx, const jr_config_t *config,
                      uint8_t **bytes);
/** jr_config_find - get the member with this id, or NULL */
const jr_member_t *jr_config_find(const jr_config_t *config, uint64_t id);

#endif
