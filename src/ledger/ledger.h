/* Internal interface of the ledger module. */
#ifndef JR_LEDGER_LEDGER_H
#define JR_LEDGER_LEDGER_H

#include "jayrelay/ledger.h"
#include "ledger/ledger.pb-c.h"

TAILQ_HEAD(jr_claim_list, jr_claim);

struct jr_ledger {
    jr_ctx_t *ctx;
    uint32_t group;
    uint64_t next_id;
    int64_t now; /* latest time of a command; never decreases */
    jr_task_t *by_id;
    jr_task_t *by_key;
    jr_class_queue_t *classes;
    jr_worker_leases_t *leases;
    jr_team_use_t *teams;
    jr_task_list_t ended; /* oldest first */
    uint64_t counts[JR_TASK_STATES];
    jr_claim_t *claims;
    struct jr_claim_list claim_order; /* oldest first */
};

/*
 * Create a task and add it to the tables by id and key, but to no list. Copies
 * the strings of the spec.
 */
jr_task_t *jr_task_insert(jr_ledger_t *ledger, uint64_t id,
                          const Jr__TaskSpec *spec);
/* Add a task to the lists and counts of its current state. */
void jr_task_link(jr_ledger_t *ledger, jr_task_t *task);
/* Remove a task from them; to be called before the state changes. */
void jr_task_unlink(jr_ledger_t *ledger, jr_task_t *task);
void jr_task_free(jr_ledger_t *ledger, jr_task_t *task);
jr_claim_t *jr_claim_insert(jr_ledger_t *ledger, const char *key);
void jr_claim_free(jr_ledger_t *ledger, jr_claim_t *claim);
void jr_ledger_clear(jr_ledger_t *ledger);
/* Replace an owned string by a copy; NULL or empty gives NULL. */
void jr_set_string(jr_ctx_t *ctx, char **to, const char *from);

#endif
