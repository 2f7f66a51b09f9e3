/* Conversion of ledger structs to messages. */
#include "convert.h"

static char empty[] = "";

static char *
or_empty(const char *s)
{
    return s != NULL ? (char *)s : empty;
}

void
jr_resources_to_message(const jr_resources_t *from, Jr__Resources *to)
{
    jr__resources__init(to);
    to->cpu_milli = (uint32_t)from->cpu_milli;
    to->memory_mb = (uint32_t)from->memory_mb;
    to->accelerators = (uint32_t)from->accelerators;
}

jr_resources_t
jr_resources_from_message(const Jr__Resources *message)
{
    if (message == NULL) {
        return (jr_resources_t){0};
    }
    return (jr_resources_t){
        .cpu_milli = message->cpu_milli,
        .memory_mb = message->memory_mb,
        .accelerators = message->accelerators,
    };
}

void
jr_spec_to_message(const jr_task_spec_t *spec, Jr__TaskSpec *message,
                   Jr__Resources *need)
{
    jr__task_spec__init(message);
    jr_resources_to_message(&spec->need, need);
    message->team = or_empty(spec->team);
    message->class_name = or_empty(spec->class_name);
    message->key = or_empty(spec->key);
    message->payload = or_empty(spec->payload);
    message->run_ms = (uint32_t)spec->run_ms;
    message->need = need;
}

void
jr_task_to_message(const jr_task_t *task, jr_task_message_t *message)
{
    Jr__Task *to = &message->task;

    jr__task__init(to);
    jr_spec_to_message(&task->spec, &message->spec, &message->need);
    jr_resources_to_message(&task->measured, &message->measured);
    to->id = task->id;
    to->spec = &message->spec;
    to->measured = &message->measured;
    to->state = (Jr__TaskState)task->state;
    to->epoch = task->epoch;
    to->worker = or_empty(task->worker);
    to->checkpoint = or_empty(task->checkpoint);
    to->result = or_empty(task->result);
    to->cancel_asked = task->cancel_asked;
    to->starts = task->starts;
    to->failures = task->failures;
    to->submitted_at = task->submitted_at;
    to->ended_at = task->ended_at;
    to->spec_hash = task->spec_hash;
}

void
jr_claim_to_message(const jr_claim_t *claim, Jr__CallRecord *message)
{
    jr__call_record__init(message);
    message->key = claim->key;
    message->body_hash = claim->body_hash;
    message->request = or_empty(claim->request);
    message->done = claim->is_done;
    message->status = claim->status;
    message->body.data = claim->body;
    message->body.len = claim->len;
    message->at = claim->at;
}

uint8_t *
jr_command_pack(jr_ctx_t *ctx, Jr__LedgerCommand *command, int64_t at,
                size_t *len)
{
    uint8_t *bytes;

    command->at = at;
    bytes = jr_alloc(ctx, jr__ledger_command__get_packed_size(command) + 1);
    *len = jr__ledger_command__pack(command, bytes);
    return bytes;
}
