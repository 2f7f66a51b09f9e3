/* Tasks and workers' heartbeats: JSON outside, messages inside. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "jayrelay/interfere.h"
#include "jayrelay/ledger.h"

enum {
    HEARTBEAT_TIMEOUT_MS = 2000,
    NUMBER_MAX = 1000 * 1000 * 1000,
    TASK_ID_BYTES = 32,
};

static char empty[] = "";

/* An exchange that waits for a reply of a leader. */
typedef struct {
    jr_entry_t *entry;
    jr_exchange_t *exchange;
} pending_t;

static pending_t *
new_pending(jr_entry_t *entry, jr_exchange_t *exchange)
{
    pending_t *pending = jr_alloc(entry->ctx, sizeof *pending);

    pending->entry = entry;
    pending->exchange = exchange;
    entry->n_busy++;
    return pending;
}

static void
free_pending(pending_t *pending)
{
    pending->entry->n_busy--;
    jr_free(pending->entry->ctx, pending);
}

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
    pending_t *pending = user;

    if (code == JR_OK && reply->body_case == JR__REPLY__BODY_LEDGER &&
        reply->ledger->task != NULL) {
        jr_answer_json(pending->exchange, HTTP_OK,
                       task_to_json(reply->ledger->task), 0);
    }
    else {
        jr_answer_code(pending->entry, pending->exchange, code,
                       reply != NULL ? reply->message : NULL);
    }
    free_pending(pending);
}

/* A whole number of the object; false when it is out of range. */
static bool
read_number(const json_t *object, const char *key, uint32_t *to)
{
    const json_t *value = json_object_get(object, key);
    json_int_t number;

    if (value == NULL) {
        *to = 0;
        return true;
    }
    number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > NUMBER_MAX) {
        return false;
    }
    *to = (uint32_t)number;
    return true;
}

static bool
read_resources(const json_t *object, Jr__Resources *to)
{
    jr__resources__init(to);
    return object == NULL ||
           (json_is_object(object) &&
            read_number(object, "cpu_milli", &to->cpu_milli) &&
            read_number(object, "memory_mb", &to->memory_mb) &&
            read_number(object, "accelerators", &to->accelerators));
}

static bool
read_text(const json_t *object, const char *key, char **to, size_t max)
{
    const char *text = jr_json_text(object, key);

    if (text == NULL || strlen(text) > max) {
        return false;
    }
    *to = (char *)text;
    return true;
}

static bool
read_spec(const json_t *object, Jr__TaskSpec *spec, Jr__Resources *need)
{
    jr__task_spec__init(spec);
    spec->need = need;
    return read_text(object, "key", &spec->key, JR_KEY_BYTES - 1) &&
           *spec->key != '\0' &&
           read_text(object, "team", &spec->team, JR_KEY_BYTES) &&
           *spec->team != '\0' &&
           read_text(object, "class", &spec->class_name, JR_KEY_BYTES) &&
           *spec->class_name != '\0' &&
           read_text(object, "payload", &spec->payload,
                     JR_PAYLOAD_MAX_BYTES) &&
           read_number(object, "run_ms", &spec->run_ms) &&
           read_resources(json_object_get(object, "need"), need) &&
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
        jr_answer_code(entry, exchange, JR_BAD_REQUEST,
                       "a task needs key, team, class and need "
                       "{cpu_milli, memory_mb, accelerators}; numbers are "
                       "whole, from 0 to 1000000000");
        json_decref(object);
        return;
    }
    body.spec = &spec;
    command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
    command.submit = &body;
    request.group = jr_group_of(spec.key, entry->settings.groups);
    request.body_case = JR__REQUEST__BODY_COMMAND;
    request.command = &command;
    jr_ask(entry->asker, &request, ASK_TIMEOUT_MS, on_task_reply,
           new_pending(entry, exchange));
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
show(jr_entry_t *entry, jr_exchange_t *exchange, uint64_t id)
{
    Jr__TaskGet get = JR__TASK_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    get.task = id;
    request.group = jr_task_group(id);
    request.body_case = JR__REQUEST__BODY_TASK_GET;
    request.task_get = &get;
    jr_ask(entry->asker, &request, ASK_TIMEOUT_MS, on_task_reply,
           new_pending(entry, exchange));
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
    jr_ask(entry->asker, &request, ASK_TIMEOUT_MS, on_task_reply,
           new_pending(entry, exchange));
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
        jr_answer_code(entry, exchange, JR_NOT_FOUND, "no such task");
    }
    else if (strcmp(method, "GET") == 0) {
        show(entry, exchange, id);
    }
    else if (strcmp(method, "DELETE") == 0) {
        cancel(entry, exchange, id);
    }
    else {
        jr_answer_error(exchange, HTTP_METHOD_NOT_ALLOWED, "not-run", "method",
                        JR_BAD_REQUEST, "GET or DELETE", 0);
    }
}

static const char *const action_names[] = {
    [JR__ASSIGNMENT__ACTION__RUN] = "run",
    [JR__ASSIGNMENT__ACTION__STOP] = "stop",
    [JR__ASSIGNMENT__ACTION__FORGET] = "forget",
    [JR__ASSIGNMENT__ACTION__THROTTLE] = "throttle",
};

static json_t *
assignment_to_json(const Jr__Assignment *a)
{
    char id[TASK_ID_BYTES];
    json_t *object;

    snprintf(id, sizeof id, "%llu", (unsigned long long)a->task);
    object =
        json_pack("{s:s, s:I, s:s}", "id", id, "epoch", (json_int_t)a->epoch,
                  "action", action_names[a->action]);
    if (a->spec != NULL) {
        json_object_set_new(
            object, "spec",
            json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s}", "key",
                      a->spec->key, "team", a->spec->team, "class",
                      a->spec->class_name, "payload", a->spec->payload,
                      "run_ms", (int)a->spec->run_ms, "cpu_milli",
                      (int)a->spec->need->cpu_milli, "memory_mb",
                      (int)a->spec->need->memory_mb, "accelerators",
                      (int)a->spec->need->accelerators, "checkpoint",
                      a->checkpoint));
    }
    return object;
}

static void
on_heartbeat_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    pending_t *pending = user;
    json_t *tasks;

    if (code != JR_OK || reply->body_case != JR__REPLY__BODY_HEARTBEAT) {
        jr_answer_code(pending->entry, pending->exchange, code,
                       reply != NULL ? reply->message : NULL);
        free_pending(pending);
        return;
    }
    tasks = json_array();
    for (size_t i = 0; i < reply->heartbeat->n_tasks; i++) {
        json_array_append_new(tasks,
                              assignment_to_json(reply->heartbeat->tasks[i]));
    }
    jr_answer_json(pending->exchange, HTTP_OK,
                   json_pack("{s:I, s:o}", "lease_ms",
                             (json_int_t)reply->heartbeat->lease_ms, "tasks",
                             tasks),
                   0);
    free_pending(pending);
}

typedef struct {
    Jr__WorkerTask task;
    Jr__Resources used;
} task_space_t;

typedef struct {
    Jr__ServiceSeen services[JR_HOST_SERVICES_MAX];
    Jr__ServiceSeen *pointers[JR_HOST_SERVICES_MAX];
} seen_space_t;

static bool
read_state(const json_t *object, Jr__WorkerTask__State *to)
{
    static const char *const names[] = {"running", "stopped", "done",
                                        "broken"};
    const char *text = jr_json_text(object, "state");

    for (size_t i = 0; text != NULL && i < 4; i++) {
        if (strcmp(text, names[i]) == 0) {
            *to = (Jr__WorkerTask__State)i;
            return true;
        }
    }
    return false;
}

static bool
read_worker_task(const json_t *object, task_space_t *space)
{
    const char *id = jr_json_text(object, "id");
    const json_t *epoch = json_object_get(object, "epoch");
    Jr__WorkerTask *task = &space->task;

    jr__worker_task__init(task);
    task->used = &space->used;
    if (id == NULL || !json_is_integer(epoch) ||
        json_integer_value(epoch) < 0) {
        return false;
    }
    task->task = strtoull(id, NULL, 10);
    task->epoch = (uint64_t)json_integer_value(epoch);
    return read_state(object, &task->state) &&
           read_text(object, "checkpoint", &task->checkpoint,
                     JR_CHECKPOINT_MAX_BYTES) &&
           read_text(object, "result", &task->result,
                     JR_CHECKPOINT_MAX_BYTES) &&
           read_resources(json_object_get(object, "used"), &space->used);
}

/* Slowdowns of the services on the host, as many as are looked at. */
static bool
read_services(const json_t *object, seen_space_t *seen,
              Jr__Heartbeat *heartbeat)
{
    const json_t *list = json_object_get(object, "services_seen");

    heartbeat->services_seen = seen->pointers;
    for (size_t i = 0; i < json_array_size(list) && i < JR_HOST_SERVICES_MAX;
         i++) {
        const json_t *item = json_array_get(list, i);

        jr__service_seen__init(&seen->services[i]);
        if (!read_text(item, "service", &seen->services[i].service,
                       JR_PAIR_NAME_BYTES - 1) ||
            !read_number(item, "slowdown_permille",
                         &seen->services[i].slowdown_permille)) {
            return false;
        }
        seen->pointers[i] = &seen->services[i];
        heartbeat->n_services_seen++;
    }
    return true;
}

static bool
read_heartbeat(const json_t *object, Jr__Heartbeat *heartbeat,
               Jr__Resources *capacity, Jr__Resources *services,
               seen_space_t *seen, task_space_t *spaces)
{
    const json_t *tasks = json_object_get(object, "tasks");

    heartbeat->capacity = capacity;
    heartbeat->services = services;
    if (!read_text(object, "worker", &heartbeat->worker, JR_KEY_BYTES) ||
        *heartbeat->worker == '\0' ||
        !read_text(object, "zone", &heartbeat->zone, JR_KEY_BYTES) ||
        !read_text(object, "rack", &heartbeat->rack, JR_KEY_BYTES) ||
        !read_resources(json_object_get(object, "capacity"), capacity) ||
        !read_resources(json_object_get(object, "services"), services) ||
        !read_services(object, seen, heartbeat)) {
        return false;
    }
    heartbeat->leaving = json_is_true(json_object_get(object, "leaving"));
    for (size_t i = 0; i < json_array_size(tasks); i++) {
        if (!read_worker_task(json_array_get(tasks, i), &spaces[i])) {
            return false;
        }
        heartbeat->tasks[heartbeat->n_tasks++] = &spaces[i].task;
    }
    return true;
}

/* The group of a worker is that of its host, whatever its incarnation. */
static uint32_t
group_of_worker(const jr_entry_t *entry, const char *worker)
{
    char host[JR_KEY_BYTES + 1];

    snprintf(host, sizeof host, "%s", worker);
    host[strcspn(host, "/")] = '\0';
    return jr_group_of(host, entry->settings.groups);
}

void
jr_entry_on_heartbeat(jr_entry_t *entry, jr_exchange_t *exchange)
{
    json_t *object = jr_read_json(entry, exchange);
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Resources capacity, services;
    seen_space_t seen;
    task_space_t *spaces;
    size_t n;

    if (object == NULL) {
        jr_count(entry->ctx, JR_C_HEARTBEAT_BAD);
        return;
    }
    n = json_array_size(json_object_get(object, "tasks"));
    spaces = jr_alloc(entry->ctx, n * sizeof *spaces);
    heartbeat.tasks = jr_alloc(entry->ctx, n * sizeof(Jr__WorkerTask *));
    heartbeat.worker = heartbeat.zone = heartbeat.rack = empty;
    if (read_heartbeat(object, &heartbeat, &capacity, &services, &seen,
                       spaces)) {
        request.group = group_of_worker(entry, heartbeat.worker);
        request.body_case = JR__REQUEST__BODY_HEARTBEAT;
        request.heartbeat = &heartbeat;
        jr_ask(entry->asker, &request, HEARTBEAT_TIMEOUT_MS,
               on_heartbeat_reply, new_pending(entry, exchange));
    }
    else {
        jr_count(entry->ctx, JR_C_HEARTBEAT_BAD);
        jr_answer_code(entry, exchange, JR_BAD_REQUEST,
                       "a heartbeat needs worker, zone, rack, capacity, and "
                       "for each task id, epoch and state");
    }
    jr_free(entry->ctx, heartbeat.tasks);
    jr_free(entry->ctx, spaces);
    json_decref(object);
}
