/* Internal declarations of the group module. */
#ifndef JR_GROUP_GROUP_H
#define JR_GROUP_GROUP_H

#include <sys/queue.h>

#include "jayrelay/group.h"

/* A proposed command whose result is still to be sent to the requester. */
typedef struct jr_pending_reply {
    TAILQ_ENTRY(jr_pending_reply) link;
    uint64_t index;
    uint64_t term;
    jr_reply_address_t reply_to;
    bool is_submit;
    uint64_t job; /* that it submits */
} jr_pending_reply_t;

/* A read that is served once a majority has confirmed the leader. */
typedef struct jr_read {
    TAILQ_ENTRY(jr_read) link;
    int64_t arrived; /* ms */
    Jr__Request *request;
    jr_reply_address_t reply_to;
} jr_read_t;

struct jr_group {
    jr_ctx_t *ctx;
    jr_group_options_t options;
    jr_store_t *store;
    jr_quorum_t *quorum;
    union {
        jr_register_t *reg;
        struct {
            jr_ledger_t *ledger;
            jr_coord_t *coord;
        } ledger;
        struct {
            jr_jobs_t *jobs;
            jr_dispatch_t *dispatch;
        } jobs;
    } as;
    bool is_leading;       /* leader that has applied all earlier terms */
    uint64_t leading_term; /* valid while is_leading */
    bool is_handing_over;  /* the leadership, to another replica */
    int64_t now;
    int64_t synced_at;                              /* the log, last */
    TAILQ_HEAD(, jr_pending_reply) pending_replies; /* by index */
    TAILQ_HEAD(, jr_read) reads;                    /* by arrival time */
};

void jr_group_reply_code(jr_group_t *group, const jr_reply_address_t *reply_to,
                         jr_result_t code, const char *message);
/* Serve the reads that arrived before the last majority confirmation. */
void jr_group_serve_reads(jr_group_t *group);
/*
 * Reply to all pending proposals with JR_UNKNOWN and to all pending reads
 * with JR_NOT_LEADER; called when this replica steps down or is dropped.
 */
void jr_group_fail_pending(jr_group_t *group);
/* Apply a committed entry and reply to the request that proposed it. */
void jr_group_apply(jr_group_t *group, const jr_entry_t *entry);
/*
 * Is this a valid state? @user is the group, whose state is not changed. The
 * leader sends snapshots rarely, so that loading each twice costs little.
 */
bool jr_group_can_restore(void *user, const uint8_t *bytes, size_t len);
/* Replace the state by that of a snapshot; JR_OK or JR_DAMAGED. */
jr_result_t jr_group_restore(jr_group_t *group, const uint8_t *bytes,
                             size_t len);
/* Handle a request to a job group; false for any other type of request. */
bool jr_group_job_request(jr_group_t *group,
                          const jr_reply_address_t *reply_to,
                          const Jr__Request *request);
/* Reply with the configuration; the leader must have been confirmed. */
void jr_group_serve_config(jr_group_t *group,
                           const jr_reply_address_t *reply_to);
/* Reply to a question about jobs, from what has been applied here. */
void jr_group_serve_ask(jr_group_t *group, const jr_reply_address_t *reply_to,
                        const Jr__JobAsk *ask);
/*
 * Propose a packed command; the reply is sent when it is applied. Returns NULL
 * when this replica does not lead, which is replied at once.
 */
jr_pending_reply_t *jr_group_propose(jr_group_t *group,
                                     const jr_reply_address_t *reply_to,
                                     const uint8_t *bytes, size_t len);
void jr_group_send_reply(jr_group_t *group, const jr_reply_address_t *reply_to,
                         Jr__Reply *reply);
/* Queue a copy of a read until the leader is confirmed. */
void jr_group_defer_read(jr_group_t *group, const jr_reply_address_t *reply_to,
                         const Jr__Request *request);
/* Serialize the state; owned by the caller (jr_free()). */
uint8_t *jr_group_save(jr_group_t *group, size_t *len);

#endif
