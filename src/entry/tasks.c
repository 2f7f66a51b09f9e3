/* Tasks: translates between the JSON interface and ledger commands. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "jayrelay/ledger.h"

enum {
    TASK_ID_BYTES = 32,
};

static json_t *
task_to_json(const Jr__Task *task)
{
    char id[TASK_ID_BYTES];

    snprintf(id, sizeof id, "%llu", (unsigned long long)task->id);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:i, s:b, s:I, "
        "s:I}",
        "id", id, "key", task->spec->key, "team", task->spec->team, "class",
        task->spec->class_name, "state",
        jr_task_state_name((jr_task_state_t)task->state), "worker",
        task->worker, "checkpoint", task->checkpoint, "result", task->result,
        "epoch", (json_int_t)task->epoch, "starts", (int)task->starts,
        "failures", (int)task->failures, "cancel_asked",
        (int)task->cancel_asked, "submitted_at",
        (json_int_t)task->submitted_at, "ended_at",
        (json_int_t)task->ended_at);
}

static void
on_task_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_pending_t *pending = user;

    if (code == JR_OK && reply->body_case == JR__REPLY__BODY_LEDGER &&
        reply->ledger->task != NULL && reply->ledger->task->spec != NULL) {
        jr_answer_json(pending->exchange, HTTP_OK,
                       task_to_json(reply->ledger->task), 0);
    }
    else {
        jr_answer_code(pending->entry, pending->exchange, code,
                       reply != NULL ? reply->message : NULL);
    }
    jr_drop_pending(pending);
}

static bool
read_spec(const json_t *object, Jr__TaskSpec *spec, Jr__Resources *need)
{
    jr__task_spec__init(spec);
    spec->need = need;
    return jr_json_string(object, "key", &spec->key, JR_KEY_BYTES - 1) &&
           *spec->key != '\0' &&
           jr_json_string(object, "team", &spec->team, JR_KEY_BYTES) &&
           *spec->team != '\0' &&
           jr_json_string(object, "class", &spec->class_name, JR_KEY_BYTES) &&
           *spec->class_name != '\0' &&
           jr_json_string(object, "payload", &spec->payload,
                          JR_PAYLOAD_MAX_BYTES) &&
           jr_json_number(object, "run_ms", &spec->run_ms) &&
           jr_json_resources(json_object_get(object, "need"), need) &&
           need->cpu_milli > 0 && need->memory_mb > 0;
}

static void
submit(jr_entry_t *entry, jr_exchange_t *exchange)
{
    json_t *object = jr_read_json(entry, exchange);
    Jr__Resources need;
    Jr__TaskSpec spec;
    Jr__Submit body = JR__SUBMIT__INIT;
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    if (object == NULL) {
        return;
    }
    if (!read_spec(object, &spec, &need)) {
        jr_answer_code(
            entry, exchange, JR_BAD_REQUEST,
            "malformed task: expected key (1 to 127 bytes), team and "
            "class (1 to 128 bytes each), payload (at most 65536 "
            "bytes), run_ms and need {cpu_milli, memory_mb, "
            "accelerators}; numbers must be integers from 0 to "
            "1000000000, cpu_milli and memory_mb at least 1");
        json_decref(object);
        return;
    }
    body.spec = &spec;
    command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
    command.submit = &body;
    request.group = jr_group_of(spec.key, entry->settings.groups);
    request.body_case = JR__REQUEST__BODY_COMMAND;
    request.command = &command;
    jr_requester_send(entry->requester, &request, REQUEST_TIMEOUT_MS,
                      on_task_reply, jr_new_pending(entry, exchange));
    json_decref(object);
}

static bool
read_task_id(const jr_entry_t *entry, const char *text, uint64_t *id)
{
    char *end;

    *id = strtoull(text, &end, 10);
    return end != text && *end == '\0' && jr_task_group(*id) >= 1 &&
           jr_task_group(*id) <= entry->settings.groups;
}

static void
show_task(jr_entry_t *entry, jr_exchange_t *exchange, uint64_t id)
{
    Jr__TaskGet get = JR__TASK_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    get.task = id;
    request.group = jr_task_group(id);
    request.body_case = JR__REQUEST__BODY_TASK_GET;
    request.task_get = &get;
    jr_requester_send(entry->requester, &request, REQUEST_TIMEOUT_MS,
                      on_task_reply, jr_new_pending(entry, exchange));
}

static void
cancel(jr_entry_t *entry, jr_exchange_t *exchange, uint64_t id)
{
    Jr__Cancel body = JR__CANCEL__INIT;
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    body.task = id;
    command.body_case = JR__LEDGER_COMMAND__BODY_CANCEL;
    command.cancel = &body;
    request.group = jr_task_group(id);
    request.body_case = JR__REQUEST__BODY_COMMAND;
    request.command = &command;
    jr_requester_send(entry->requester, &request, REQUEST_TIMEOUT_MS,
                      on_task_reply, jr_new_pending(entry, exchange));
}

void
jr_entry_on_tasks(jr_entry_t *entry, jr_exchange_t *exchange, const char *rest)
{
    const char *method = jr_exchange_method(exchange);
    uint64_t id;

    if (*rest == '\0' && strcmp(method, "POST") == 0) {
        submit(entry, exchange);
    }
    else if (*rest != '/' || !read_task_id(entry, rest + 1, &id)) {
        jr_answer_code(
            entry, exchange, JR_NOT_FOUND,
            "no such task: expected /v1/tasks/ID with the decimal id "
            "that was returned when the task was submitted");
    }
    else if (strcmp(method, "GET") == 0) {
        show_task(entry, exchange, id);
    }
    else if (strcmp(method, "DELETE") == 0) {
        cancel(entry, exchange, id);
    }
    else {
        jr_answer_error(exchange, HTTP_METHOD_NOT_ALLOWED, "not-run", "method",
                        JR_BAD_REQUEST,
                        "method not allowed: expected GET or DELETE", 0);
    }
}
