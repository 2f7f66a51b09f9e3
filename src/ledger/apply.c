/* The task state machine: application of commands. */
#include "ledger.h"

#include "convert.h"

#include <string.h>
#include <xxhash.h>

/* Most expired tasks, and most expired keys, that one command removes. */
enum { PURGE_BATCH = 4 };

static jr_ledger_result_t
refuse(jr_result_t code, const jr_task_t *task)
{
    return (jr_ledger_result_t){.code = code, .task = task};
}

static jr_ledger_result_t
done(const jr_task_t *task)
{
    return (jr_ledger_result_t){.code = JR_OK, .task = task};
}

static bool
is_ended(const jr_task_t *task)
{
    return task->state != JR_TASK_QUEUED && task->state != JR_TASK_LEASED;
}

static void
set_state(jr_ledger_t *ledger, jr_task_t *task, jr_task_state_t state,
          const char *worker)
{
    jr_task_unlink(ledger, task);
    task->state = state;
    jr_set_string(ledger->ctx, &task->worker, worker);
    if (is_ended(task)) {
        task->ended_at = ledger->now;
    }
    jr_task_link(ledger, task);
}

/* End a lease: the task is queued again, or cancelled if that was asked. */
static void
release(jr_ledger_t *ledger, jr_task_t *task)
{
    set_state(ledger, task,
              task->cancel_asked ? JR_TASK_CANCELLED : JR_TASK_QUEUED, NULL);
}

/* Submissions with the same key and hash are repetitions of one another. */
static uint64_t
hash_spec(jr_ctx_t *ctx, const Jr__TaskSpec *spec)
{
    size_t len = jr__task_spec__get_packed_size(spec);
    uint8_t *bytes = jr_alloc(ctx, len);
    uint64_t hash;

    jr__task_spec__pack(spec, bytes);
    hash = XXH64(bytes, len, 0);
    jr_free(ctx, bytes);
    return hash;
}

static jr_ledger_result_t
on_submit(jr_ledger_t *ledger, const Jr__TaskSpec *spec)
{
    jr_task_t *task;
    uint64_t hash;

    if (spec == NULL || *spec->key == '\0' || *spec->class_name == '\0') {
        return refuse(JR_BAD_REQUEST, NULL);
    }
    hash = hash_spec(ledger->ctx, spec);
    task = jr_ledger_find_key(ledger, spec->key);
    if (task != NULL) {
        jr_count(ledger->ctx, JR_C_SUBMIT_REPEATED);
        return refuse(task->spec_hash == hash ? JR_OK : JR_KEY_REUSED, task);
    }
    task = jr_task_insert(ledger, ledger->next_id++, spec);
    task->spec_hash = hash;
    task->submitted_at = ledger->now;
    jr_task_link(ledger, task);
    return done(task);
}

static jr_ledger_result_t
on_grant(jr_ledger_t *ledger, const Jr__Grant *grant)
{
    jr_task_t *task = jr_ledger_task(ledger, grant->task);

    if (task == NULL) {
        return refuse(JR_NOT_FOUND, NULL);
    }
    if (task->state != JR_TASK_QUEUED || *grant->worker == '\0') {
        return refuse(JR_WRONG_STATE, task);
    }
    if (grant->epoch != task->epoch + 1) {
        return refuse(JR_STALE_EPOCH, task);
    }
    task->epoch = grant->epoch;
    task->starts++;
    set_state(ledger, task, JR_TASK_LEASED, grant->worker);
    jr_count(ledger->ctx, JR_C_GRANTS);
    return done(task);
}

/* Find the task that is leased under an epoch, or the reason of refusal. */
static jr_ledger_result_t
find_leased(jr_ledger_t *ledger, uint64_t id, uint64_t epoch)
{
    jr_task_t *task = jr_ledger_task(ledger, id);

    if (task == NULL) {
        return refuse(JR_NOT_FOUND, NULL);
    }
    if (task->epoch != epoch || task->state != JR_TASK_LEASED) {
        jr_count(ledger->ctx, JR_C_REPORT_STALE);
        return refuse(JR_STALE_EPOCH, task);
    }
    return done(task);
}

static jr_ledger_result_t
on_expire(jr_ledger_t *ledger, const Jr__Expire *expire)
{
    jr_ledger_result_t found =
        find_leased(ledger, expire->task, expire->epoch);

    if (found.code == JR_OK) {
        release(ledger, (jr_task_t *)found.task);
        jr_count(ledger->ctx, JR_C_EXPIRIES);
    }
    return found;
}

static void
on_failed_run(jr_ledger_t *ledger, jr_task_t *task)
{
    task->failures++;
    if (task->failures >= JR_TASK_FAILURES_MAX) {
        set_state(ledger, task, JR_TASK_FAILED, NULL);
    }
    else {
        release(ledger, task);
    }
}

static jr_ledger_result_t
on_report(jr_ledger_t *ledger, const Jr__Report *report)
{
    jr_ledger_result_t found =
        find_leased(ledger, report->task, report->epoch);
    jr_task_t *task = (jr_task_t *)found.task;

    if (found.code != JR_OK) {
        return found;
    }
    if (report->used != NULL) {
        jr_resources_t used = jr_resources_from_message(report->used);

        task->measured = jr_resources_max(&task->measured, &used);
    }
    if (*report->checkpoint != '\0') {
        jr_set_string(ledger->ctx, &task->checkpoint, report->checkpoint);
    }
    switch (report->kind) {
    case JR__REPORT__KIND__CHECKPOINT:
        break;
    case JR__REPORT__KIND__STOPPED:
        release(ledger, task);
        break;
    case JR__REPORT__KIND__FINISHED_OK:
        jr_set_string(ledger->ctx, &task->result, report->result);
        set_state(ledger, task, JR_TASK_FINISHED, NULL);
        break;
    case JR__REPORT__KIND__FAILED_RUN:
        jr_set_string(ledger->ctx, &task->result, report->result);
        on_failed_run(ledger, task);
        break;
    default:
        return refuse(JR_BAD_REQUEST, task);
    }
    return found;
}

static jr_ledger_result_t
on_cancel(jr_ledger_t *ledger, const Jr__Cancel *cancel)
{
    jr_task_t *task = jr_ledger_task(ledger, cancel->task);

    if (task == NULL) {
        return refuse(JR_NOT_FOUND, NULL);
    }
    if (task->state == JR_TASK_CANCELLED) {
        return done(task);
    }
    if (is_ended(task)) {
        return refuse(JR_WRONG_STATE, task);
    }
    task->cancel_asked = true;
    if (task->state == JR_TASK_QUEUED) {
        set_state(ledger, task, JR_TASK_CANCELLED, NULL);
    }
    return done(task);
}

static jr_ledger_result_t
on_impossible(jr_ledger_t *ledger, const Jr__Impossible *impossible)
{
    jr_task_t *task = jr_ledger_task(ledger, impossible->task);

    if (task == NULL) {
        return refuse(JR_NOT_FOUND, NULL);
    }
    if (task->state != JR_TASK_QUEUED) {
        return refuse(JR_WRONG_STATE, task);
    }
    jr_set_string(ledger->ctx, &task->result, impossible->reason);
    set_state(ledger, task, JR_TASK_IMPOSSIBLE, NULL);
    return done(task);
}

static jr_ledger_result_t
on_claim_call(jr_ledger_t *ledger, const Jr__ClaimCall *message)
{
    jr_ledger_result_t result = {.code = JR_OK};
    jr_claim_t *claim;

    if (*message->key == '\0') {
        return refuse(JR_BAD_REQUEST, NULL);
    }
    HASH_FIND_STR(ledger->claims, message->key, claim);
    if (claim == NULL) {
        claim = jr_claim_insert(ledger, message->key);
        claim->body_hash = message->body_hash;
        claim->request = jr_strdup(ledger->ctx, message->request);
        claim->at = ledger->now;
    }
    else if (claim->body_hash != message->body_hash) {
        result.code = JR_KEY_REUSED;
    }
    else if (strcmp(claim->request, message->request) != 0 &&
             !claim->is_done) {
        result.code = JR_IN_PROGRESS;
    }
    result.claim = claim;
    return result;
}

static jr_ledger_result_t
on_call_done(jr_ledger_t *ledger, const Jr__CallDone *message)
{
    jr_ledger_result_t result = {.code = JR_OK};
    jr_claim_t *claim;

    HASH_FIND_STR(ledger->claims, message->key, claim);
    if (claim == NULL || strcmp(claim->request, message->request) != 0) {
        return refuse(JR_NOT_FOUND, NULL);
    }
    if (claim->is_done) {
        result.claim = claim;
        return result;
    }
    if (message->not_run) {
        jr_claim_free(ledger, claim);
        return result;
    }
    claim->is_done = true;
    claim->status = message->status;
    claim->body =
        jr_memdup(ledger->ctx, message->body.data, message->body.len);
    claim->len = message->body.len;
    result.claim = claim;
    return result;
}

static void
purge(jr_ledger_t *ledger)
{
    int64_t before = ledger->now - JR_RETENTION_MS;

    for (int i = 0; i < PURGE_BATCH; i++) {
        jr_task_t *task = TAILQ_FIRST(&ledger->ended);
        jr_claim_t *claim = TAILQ_FIRST(&ledger->claim_order);

        if (task != NULL && task->ended_at < before) {
            jr_task_unlink(ledger, task);
            jr_task_free(ledger, task);
        }
        if (claim != NULL && claim->at < before) {
            jr_claim_free(ledger, claim);
        }
    }
}

static jr_ledger_result_t
dispatch(jr_ledger_t *ledger, const Jr__LedgerCommand *command)
{
    switch (command->body_case) {
    case JR__LEDGER_COMMAND__BODY_SUBMIT:
        return on_submit(ledger, command->submit->spec);
    case JR__LEDGER_COMMAND__BODY_GRANT:
        return on_grant(ledger, command->grant);
    case JR__LEDGER_COMMAND__BODY_EXPIRE:
        return on_expire(ledger, command->expire);
    case JR__LEDGER_COMMAND__BODY_REPORT:
        return on_report(ledger, command->report);
    case JR__LEDGER_COMMAND__BODY_CANCEL:
        return on_cancel(ledger, command->cancel);
    case JR__LEDGER_COMMAND__BODY_IMPOSSIBLE:
        return on_impossible(ledger, command->impossible);
    case JR__LEDGER_COMMAND__BODY_CLAIM_CALL:
        return on_claim_call(ledger, command->claim_call);
    case JR__LEDGER_COMMAND__BODY_CALL_DONE:
        return on_call_done(ledger, command->call_done);
    default:
        return refuse(JR_BAD_REQUEST, NULL);
    }
}

jr_ledger_result_t
jr_ledger_apply(jr_ledger_t *ledger, const uint8_t *bytes, size_t len)
{
    Jr__LedgerCommand *command = jr__ledger_command__unpack(NULL, len, bytes);
    jr_ledger_result_t result;

    if (command == NULL) {
        return refuse(JR_BAD_REQUEST, NULL);
    }
    /* The clocks of leaders differ; the time of the ledger never decreases. */
    if (command->at > ledger->now) {
        ledger->now = command->at;
    }
    purge(ledger);
    result = dispatch(ledger, command);
    jr__ledger_command__free_unpacked(command, NULL);
    return result;
}
