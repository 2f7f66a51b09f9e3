/**
 * DOC: coord - scheduling decisions of the leader of a task group
 *
 * The coordinator turns heartbeats and timer ticks into commands for the
 * ledger, and builds heartbeat replies from the ledger. It does no I/O and
 * does not touch the replicated log: its owner takes the queued commands and
 * proposes them. It makes decisions only while its replica is the leader and
 * has applied all entries of earlier terms.
 */
#ifndef JAYRELAY_COORD_H
#define JAYRELAY_COORD_H

#include "jayrelay/place.h"
#include "net/wire.pb-c.h"

/**
 * struct jr_coord_options_t - configuration of a coordinator
 * @n_groups: number of task groups; a team's quota is split evenly over them
 * @seed: seed of the random generator used for placement
 * @max_grants: upper bound on the grants proposed in one tick
 * @lease: lease length and bound on clock drift
 * @policy: placement policy
 * @evict: eviction policy
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

/** jr_new_coord - create a coordinator; the ledger is borrowed */
jr_coord_t *jr_new_coord(jr_ctx_t *ctx, const jr_coord_options_t *options,
                         jr_ledger_t *ledger);

/** jr_drop_coord - free a coordinator; NULL is accepted */
void jr_drop_coord(jr_coord_t *coord);

/**
 * jr_coord_lead - start making decisions as the new leader
 * @elected_at: time of the election in ms; the leases recorded in the ledger
 *              are taken to have been renewed at this time
 */
void jr_coord_lead(jr_coord_t *coord, int64_t elected_at);

/** jr_coord_resign - stop making decisions; drops pending proposals */
void jr_coord_resign(jr_coord_t *coord);

/** jr_coord_set_rules - install new rules; takes a reference */
void jr_coord_set_rules(jr_coord_t *coord, jr_rules_t *rules);

/**
 * jr_coord_check_submit - check a task against the rules before submission
 *
 * Return: JR_OK, JR_BAD_REQUEST for an unknown class, or JR_QUOTA; the error
 * text is in the context.
 */
jr_result_t jr_coord_check_submit(jr_coord_t *coord, const Jr__TaskSpec *spec);

/**
 * jr_coord_heartbeat - process a heartbeat and build its reply
 * @arrived: arrival time in ms; a majority must have confirmed this leader
 *           after that time
 *
 * Return: the reply, to be freed by the caller with
 * jr__heartbeat_reply__free_unpacked(), or NULL with JR_BAD_REQUEST.
 */
Jr__HeartbeatReply *jr_coord_heartbeat(jr_coord_t *coord,
                                       const Jr__Heartbeat *heartbeat,
                                       int64_t arrived);

/** jr_coord_tick - expire leases and place queued tasks; @now in ms */
void jr_coord_tick(jr_coord_t *coord, int64_t now);

/**
 * jr_coord_take_command - take the next command to propose
 * @command: set to the command; valid until the next call
 *
 * Return: false when no command is pending.
 */
bool jr_coord_take_command(jr_coord_t *coord, Jr__LedgerCommand **command);

/** jr_coord_applied - update local state after a command was applied */
void jr_coord_applied(jr_coord_t *coord, const jr_ledger_result_t *result);

/** jr_coord_table - the table of workers, for status and tests */
jr_lease_table_t *jr_coord_table(jr_coord_t *coord);

#endif
