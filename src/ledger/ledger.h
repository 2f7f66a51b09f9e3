/* Private to the ledger slice. */
#ifndef JR_LEDGER_LEDGER_H
#define JR_LEDGER_LEDGER_H

#include "jayrelay/ledger.h"
#include "ledger/ledger.pb-c.h"

TAILQ_HEAD(jr_claim_list, jr_claim);

struct jr_ledger {
    jr_ctx_t *ctx;
    uint32_t group;
    uint64_t next_id;
    int64_t now; /* of the newest command */
    jr_task_t *by_id;
    jr_task_t *by_key;
    jr_class_queue_t *classes;
    jr_holding_t *holdings;
    jr_team_use_t *teams;
    jr_task_list_t ended; /* oldest first */
    uint64_t counts[JR_TASK_STATES];
    jr_claim_t *claims;
    struct jr_claim_list claim_order; /* by time of the claim */
};

/* Make a task that is in no list yet; copies the strings of spec. */
jr_task_t *jr_task_insert(jr_ledger_t *ledger, uint64_t id,
                          const Jr__TaskSpec *spec);
/* Put a task into the lists of its state; the state is set already. */
void jr_task_link(jr_ledger_t *ledger, jr_task_t *task);
/* Take it out of them, before the state changes. */
void jr_task_unlink(jr_ledger_t *ledger, jr_task_t *task);
void jr_task_free(jr_ledger_t *ledger, jr_task_t *task);
jr_claim_t *jr_claim_insert(jr_ledger_t *ledger, const char *key);
void jr_claim_free(jr_ledger_t *ledger, jr_claim_t *claim);
void jr_ledger_clear(jr_ledger_t *ledger);
void jr_set_string(jr_ctx_t *ctx, char **to, const char *from);

#endif
