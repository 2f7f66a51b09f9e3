/**
 * DOC: coord - what the leader of a task group decides
 *
 * The coordinator turns heartbeats and the passing of time into commands
 * for the ledger, and answers heartbeats from the ledger. It is pure: it
 * proposes nothing itself, its owner takes the commands and proposes them.
 * It decides only while its replica leads and has applied all entries of
 * earlier terms.
 */
#ifndef JAYRELAY_COORD_H
#define JAYRELAY_COORD_H

#include "jayrelay/place.h"
#include "net/wire.pb-c.h"

/**
 * struct jr_coord_options_t - what a coordinator is made with
 * @n_groups: task groups; a team's quota is split evenly over them
 * @seed: of the generator for placement
 * @max_grants: grants proposed in one step
 */
typedef struct {
    uint32_t n_groups;
    uint32_t seed;
    uint32_t max_grants;
    jr_lease_options_t lease;
    jr_place_policy_t policy;
    jr_evict_kind_t evict;
} jr_coord_options_t;

typedef struct jr_coord jr_coord_t;

/** jr_new_coord - a coordinator over a ledger, which it borrows */
jr_coord_t *jr_new_coord(jr_ctx_t *ctx, const jr_coord_options_t *options,
                         jr_ledger_t *ledger);

/** jr_drop_coord - free a coordinator; NULL is accepted */
void jr_drop_coord(jr_coord_t *coord);

/**
 * jr_coord_lead - start to decide
 * @elected_at: time of the election; leases that the ledger shows are
 *              counted from then
 */
void jr_coord_lead(jr_coord_t *coord, int64_t elected_at);

/** jr_coord_resign - stop to decide; proposals not taken are dropped */
void jr_coord_resign(jr_coord_t *coord);

/** jr_coord_set_rules - new rules in force; takes a reference */
void jr_coord_set_rules(jr_coord_t *coord, jr_rules_t *rules);

/**
 * jr_coord_check_submit - may this task be submitted now?
 *
 * Return: JR_OK, JR_BAD_REQUEST or JR_QUOTA with the reason in the context.
 */
jr_result_t jr_coord_check_submit(jr_coord_t *coord, const Jr__TaskSpec *spec);

/**
 * jr_coord_heartbeat - a worker was heard of
 * @arrived: when the heartbeat arrived; a majority must have confirmed
 *           this leader since
 *
 * Return: the reply, which the caller frees with
 * jr__heartbeat_reply__free_unpacked(), or NULL with JR_BAD_REQUEST.
 */
Jr__HeartbeatReply *jr_coord_heartbeat(jr_coord_t *coord,
                                       const Jr__Heartbeat *heartbeat,
                                       int64_t arrived);

/** jr_coord_tick - lapsed leases, placement */
void jr_coord_tick(jr_coord_t *coord, int64_t now);

/**
 * jr_coord_take_command - the next command to propose
 * @command: filled in; the caller packs it before the next call
 */
bool jr_coord_take_command(jr_coord_t *coord, Jr__LedgerCommand **command);

/** jr_coord_applied - a command about a task was applied */
void jr_coord_applied(jr_coord_t *coord, const jr_ledger_result_t *result);

/** jr_coord_table - the workers, for status and tests */
jr_lease_table_t *jr_coord_table(jr_coord_t *coord);

#endif
