/* Saving the ledger as a snapshot and loading it. */
#include "ledger.h"

#include <string.h>

#include "convert.h"

typedef struct {
    jr_ledger_t *ledger;
    jr_task_message_t *tasks;
    Jr__Task **task_pointers;
    Jr__CallRecord *calls;
    Jr__CallRecord **call_pointers;
    Jr__LedgerSnapshot message;
} save_ctx_t;

static void
save_task(save_ctx_t *s, const jr_task_t *task)
{
    size_t i = s->message.n_tasks++;

    jr_task_to_message(task, &s->tasks[i]);
    s->task_pointers[i] = &s->tasks[i].task;
}

/*
 * The order within each list is part of the state, on which replicas must
 * agree. Each list is saved in its order: queued tasks by class, leased tasks
 * by worker, then ended tasks.
 */
static void
save_tasks(save_ctx_t *s)
{
    jr_class_queue_t *queue, *next_queue;
    jr_worker_leases_t *leases, *next_leases;
    const jr_task_t *task;

    HASH_ITER (hh, s->ledger->classes, queue, next_queue) {
        TAILQ_FOREACH (task, &queue->tasks, link) {
            save_task(s, task);
        }
    }
    HASH_ITER (hh, s->ledger->leases, leases, next_leases) {
        TAILQ_FOREACH (task, &leases->tasks, on_worker) {
            save_task(s, task);
        }
    }
    TAILQ_FOREACH (task, &s->ledger->ended, link) {
        save_task(s, task);
    }
}

static void
save_calls(save_ctx_t *s)
{
    const jr_claim_t *claim;

    TAILQ_FOREACH (claim, &s->ledger->claim_order, link) {
        size_t i = s->message.n_calls++;

        jr_claim_to_message(claim, &s->calls[i]);
        s->call_pointers[i] = &s->calls[i];
    }
}

uint8_t *
jr_ledger_save(jr_ledger_t *ledger, size_t *len)
{
    jr_ctx_t *ctx = ledger->ctx;
    size_t n = HASH_COUNT(ledger->by_id);
    size_t n_calls = HASH_COUNT(ledger->claims);
    save_ctx_t s = {
        .ledger = ledger,
        .tasks = jr_alloc(ctx, n * sizeof *s.tasks),
        .task_pointers = jr_alloc(ctx, n * sizeof(Jr__Task *)),
        .calls = jr_alloc(ctx, n_calls * sizeof *s.calls),
        .call_pointers = jr_alloc(ctx, n_calls * sizeof(Jr__CallRecord *)),
        .message = JR__LEDGER_SNAPSHOT__INIT,
    };
    uint8_t *bytes;

    s.message.next_id = ledger->next_id;
    s.message.now = ledger->now;
    s.message.tasks = s.task_pointers;
    s.message.calls = s.call_pointers;
    save_tasks(&s);
    save_calls(&s);
    bytes =
        jr_alloc(ctx, jr__ledger_snapshot__get_packed_size(&s.message) + 1);
    *len = jr__ledger_snapshot__pack(&s.message, bytes);
    jr_free(ctx, s.tasks);
    jr_free(ctx, s.task_pointers);
    jr_free(ctx, s.calls);
    jr_free(ctx, s.call_pointers);
    return bytes;
}

static void
load_task(jr_ledger_t *ledger, const Jr__Task *from)
{
    jr_task_t *task = jr_task_insert(ledger, from->id, from->spec);
    uint32_t starts = from->starts;

    task->spec_hash = from->spec_hash;
    task->state = (jr_task_state_t)from->state;
    task->epoch = from->epoch;
    task->measured = jr_resources_from_message(from->measured);
    task->cancel_asked = from->cancel_asked;
    task->failures = from->failures;
    task->submitted_at = from->submitted_at;
    task->ended_at = from->ended_at;
    jr_set_string(ledger->ctx, &task->worker, from->worker);
    jr_set_string(ledger->ctx, &task->checkpoint, from->checkpoint);
    jr_set_string(ledger->ctx, &task->result, from->result);
    /*
     * While starts is 0, jr_task_link() appends the task to its queue, which
     * keeps the saved order.
     */
    jr_task_link(ledger, task);
    task->starts = starts;
}

static void
load_call(jr_ledger_t *ledger, const Jr__CallRecord *from)
{
    jr_claim_t *claim = jr_claim_insert(ledger, from->key);

    claim->body_hash = from->body_hash;
    claim->request = jr_strdup(ledger->ctx, from->request);
    claim->is_done = from->done;
    claim->status = from->status;
    claim->body = jr_memdup(ledger->ctx, from->body.data, from->body.len);
    claim->len = from->body.len;
    claim->at = from->at;
}

static bool
is_valid(const Jr__LedgerSnapshot *message)
{
    for (size_t i = 0; i < message->n_tasks; i++) {
        const Jr__Task *task = message->tasks[i];

        if (task->spec == NULL || (unsigned)task->state >= JR_TASK_STATES ||
            (task->state == JR__TASK_STATE__LEASED && *task->worker == '\0')) {
            return false;
        }
    }
    return true;
}

bool
jr_ledger_load(jr_ledger_t *ledger, const uint8_t *bytes, size_t len)
{
    Jr__LedgerSnapshot *message =
        jr__ledger_snapshot__unpack(NULL, len, bytes);
    bool ok = message != NULL && is_valid(message);

    if (ok) {
        jr_ledger_clear(ledger);
        ledger->next_id = message->next_id;
        ledger->now = message->now;
        for (size_t i = 0; i < message->n_tasks; i++) {
            load_task(ledger, message->tasks[i]);
        }
        for (size_t i = 0; i < message->n_calls; i++) {
            load_call(ledger, message->calls[i]);
        }
    }
    if (message != NULL) {
        jr__ledger_snapshot__free_unpacked(message, NULL);
    }
    return ok;
}
