/**
 * DOC: group - one replica of a consensus group with its state machine
 *
 * The state machine is the rules register, a ledger with its coordinator, or
 * jobs with their dispatcher. A replica connects the consensus core to the
 * store and the state machine and replies to requests of other processes. It
 * opens no socket and reads no clock, so that tests run the same object code
 * as production, with lost messages, frozen replicas and lost disks.
 *
 * All times are in milliseconds of a monotonic clock.
 */
#ifndef JAYRELAY_GROUP_H
#define JAYRELAY_GROUP_H

#include "jayrelay/coord.h"
#include "jayrelay/dispatch.h"
#include "jayrelay/quorum.h"
#include "jayrelay/store.h"

/** JR_ROUTE_BYTES - maximum length of the route of a reply */
enum { JR_ROUTE_BYTES = 32 };

/** enum jr_group_kind_t - kind of the replicated state machine */
typedef enum {
    JR_GROUP_RULES,
    JR_GROUP_LEDGER,
    JR_GROUP_JOBS,
} jr_group_kind_t;

/**
 * struct jr_reply_address_t - destination of the reply to a request
 * @route: transport route to the sender of the request, opaque to the group
 * @route_len: bytes used in @route
 * @id: request id, chosen by the sender
 */
typedef struct {
    uint8_t route[JR_ROUTE_BYTES];
    size_t route_len;
    uint64_t id;
} jr_reply_address_t;

/**
 * struct jr_group_hooks_t - callbacks to the owner of a group
 * @send: send a packed QuorumMsg, borrowed; delivery is not guaranteed
 * @reply: send the reply to a request; the message is borrowed
 * @rules: a rules version has come into force on this replica; the text is
 *         borrowed
 * @user: passed to each callback
 */
typedef struct {
    void (*send)(void *user, const jr_member_t *to, const uint8_t *bytes,
                 size_t len);
    void (*reply)(void *user, const jr_reply_address_t *reply_to,
                  Jr__Reply *reply);
    void (*rules)(void *user, uint64_t version, const char *text);
    void *user;
} jr_group_hooks_t;

/**
 * struct jr_group_options_t - configuration of a replica
 * @quorum: parameters of the consensus core
 * @coord: for JR_GROUP_LEDGER; its n_groups is also used by JR_GROUP_RULES,
 *         which assigns hosts to that many groups
 * @dispatch: for JR_GROUP_JOBS
 * @snapshot_every: number of applied log entries after which a snapshot is
 *                  taken
 * @wall_offset: wall clock minus monotonic clock, ms
 */
typedef struct {
    jr_group_kind_t kind;
    jr_quorum_options_t quorum;
    jr_coord_options_t coord;
    jr_dispatch_options_t dispatch;
    uint64_t snapshot_every;
    int64_t wall_offset;
    jr_group_hooks_t hooks;
} jr_group_options_t;

typedef struct jr_group jr_group_t;

/**
 * jr_group_init - write the initial members into an empty store
 * @members: must be the same on every initial member
 *
 * Return: JR_OK, JR_IO or JR_DISK_FULL.
 */
jr_result_t jr_group_init(jr_ctx_t *ctx, jr_store_t *store,
                          const jr_config_t *members);

/**
 * jr_new_group - start a replica from the contents of its store
 * @store: borrowed
 *
 * Return: the group, or NULL with JR_IO or JR_DAMAGED in the context.
 */
jr_group_t *jr_new_group(jr_ctx_t *ctx, const jr_group_options_t *options,
                         jr_store_t *store, int64_t now);

/**
 * jr_drop_group - free a group; NULL is accepted
 *
 * Pending requests are answered first: proposals with JR_UNKNOWN, reads with
 * JR_NOT_LEADER.
 */
void jr_drop_group(jr_group_t *group);

/**
 * jr_group_receive - handle a packed QuorumMsg from another replica
 *
 * Return: as jr_quorum_receive().
 */
jr_result_t jr_group_receive(jr_group_t *group, const uint8_t *bytes,
                             size_t len, int64_t now);

/**
 * jr_group_request - handle a request of another process
 *
 * Every request gets exactly one reply, either during this call or later.
 */
void jr_group_request(jr_group_t *group, const jr_reply_address_t *reply_to,
                      const Jr__Request *request, int64_t now);

/** jr_group_tick - advance the time and run timers */
void jr_group_tick(jr_group_t *group, int64_t now);

/**
 * jr_group_pump - write the log, send messages, apply entries and reply
 *
 * To be called after every batch of events, so that the entries of a batch
 * share one log sync.
 *
 * Return: JR_OK. Any other result means that the store failed or that an
 * installed snapshot is invalid; the replica must then be dropped.
 */
jr_result_t jr_group_pump(jr_group_t *group, int64_t now);

/**
 * jr_group_set_rules - pass the rules in force to the coordinator
 * @rules: the coordinator takes a reference
 *
 * No effect on a group that is not JR_GROUP_LEDGER.
 */
void jr_group_set_rules(jr_group_t *group, jr_rules_t *rules);

/**
 * jr_group_transfer - transfer leadership, before a planned stop
 *
 * The replica issues no orders to workers any more, as its successor may be
 * elected at once.
 */
void jr_group_transfer(jr_group_t *group);

/** jr_group_quorum - get the consensus core; borrowed */
jr_quorum_t *jr_group_quorum(jr_group_t *group);
/** jr_group_register - get the register of a rules group, else NULL */
jr_register_t *jr_group_register(jr_group_t *group);
/** jr_group_ledger - get the ledger of a ledger group, else NULL */
jr_ledger_t *jr_group_ledger(jr_group_t *group);
/** jr_group_jobs - get the jobs of a job group, else NULL */
jr_jobs_t *jr_group_jobs(jr_group_t *group);

/**
 * jr_group_take_order - get the next order to send to a worker
 *
 * Only the leader of a job group issues orders, and only while a majority has
 * confirmed it within the election timeout before @now. So @now must be read
 * after any wait, such as a log sync.
 *
 * Return: false when there is none.
 */
bool jr_group_take_order(jr_group_t *group, int64_t now, jr_order_t *order);

/** jr_group_answer - an order was answered, or its outcome is unknown */
void jr_group_answer(jr_group_t *group, uint64_t serial,
                     const jr_answer_t *answer, int64_t now);

/** jr_group_coord - get the coordinator of a ledger group, else NULL */
jr_coord_t *jr_group_coord(jr_group_t *group);

#endif
