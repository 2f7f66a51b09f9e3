/* Conversion of ledger structs to messages, which borrow their strings. */
#ifndef JR_LEDGER_CONVERT_H
#define JR_LEDGER_CONVERT_H

#include "jayrelay/ledger.h"
#include "ledger/ledger.pb-c.h"

void jr_spec_to_message(const jr_task_spec_t *spec, Jr__TaskSpec *message,
                        Jr__Resources *need);
/* A task message with its submessages. */
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

/* Set the time of a command and pack it; free the result with jr_free(). */
uint8_t *jr_command_pack(jr_ctx_t *ctx, Jr__LedgerCommand *command, int64_t at,
                         size_t *len);

#endif
