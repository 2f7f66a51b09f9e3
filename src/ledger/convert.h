/* Messages that borrow from the ledger's structs. */
#ifndef JR_LEDGER_CONVERT_H
#define JR_LEDGER_CONVERT_H

#include "jayrelay/ledger.h"
#include "ledger/ledger.pb-c.h"

void jr_spec_to_message(const jr_task_spec_t *spec, Jr__TaskSpec *message,
                        Jr__Resources *need);
/* Room for a task's message. */
typedef struct {
    Jr__Task task;
    Jr__TaskSpec spec;
    Jr__Resources need;
    Jr__Resources measured;
} jr_task_message_t;

void jr_task_to_message(const jr_task_t *task, jr_task_message_t *message);
void jr_claim_to_message(const jr_claim_t *claim, Jr__CallRecord *message);
void jr_resources_to_message(const jr_resources_t *from, Jr__Resources *to);
jr_resources_t jr_resources_from_message(const Jr__Resources *message);

/*
 * Pack a command: fills in the time, packs, returns bytes that the caller
 * frees with jr_free().
 */
uint8_t *jr_command_pack(jr_ctx_t *ctx, Jr__LedgerCommand *command, int64_t at,
                         size_t *len);

#endif
