/* Heartbeats of workers: translates between JSON and messages. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "jayrelay/interfere.h"
#include "jayrelay/ledger.h"

enum {
    HEARTBEAT_TIMEOUT_MS = 2000,
    TASK_ID_BYTES = 32,
};

static char empty[] = "";

static const char *const action_names[] = {
    [JR__ASSIGNMENT__ACTION__RUN] = "run",
    [JR__ASSIGNMENT__ACTION__STOP] = "stop",
    [JR__ASSIGNMENT__ACTION__FORGET] = "forget",
    [JR__ASSIGNMENT__ACTION__THROTTLE] = "throttle",
};

/* NULL for one that a later version may send. */
static json_t *
assignment_to_json(const Jr__Assignment *a)
{
    char id[TASK_ID_BYTES];
    json_t *object;

    if (a->action > JR__ASSIGNMENT__ACTION__THROTTLE ||
        (a->spec != NULL && a->spec->need == NULL)) {
        return NULL;
    }
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
    jr_pending_t *pending = user;
    json_t *tasks;

    if (code != JR_OK || reply->body_case != JR__REPLY__BODY_HEARTBEAT) {
        jr_answer_code(pending->entry, pending->exchange, code,
                       reply != NULL ? reply->message : NULL);
        jr_drop_pending(pending);
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
    jr_drop_pending(pending);
}

/* Storage for one task of a heartbeat message. */
typedef struct {
    Jr__WorkerTask task;
    Jr__Resources used;
} task_buf_t;

/* Storage for the service slowdowns of a heartbeat message. */
typedef struct {
    Jr__ServiceSeen services[JR_HOST_SERVICES_MAX];
    Jr__ServiceSeen *pointers[JR_HOST_SERVICES_MAX];
} slowdowns_buf_t;

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
read_worker_task(const json_t *object, task_buf_t *buf)
{
    const char *id = jr_json_text(object, "id");
    const json_t *epoch = json_object_get(object, "epoch");
    Jr__WorkerTask *task = &buf->task;

    jr__worker_task__init(task);
    task->used = &buf->used;
    if (id == NULL || !json_is_integer(epoch) ||
        json_integer_value(epoch) < 0) {
        return false;
    }
    task->task = strtoull(id, NULL, 10);
    task->epoch = (uint64_t)json_integer_value(epoch);
    return read_state(object, &task->state) &&
           jr_json_string(object, "checkpoint", &task->checkpoint,
                          JR_CHECKPOINT_MAX_BYTES) &&
           jr_json_string(object, "result", &task->result,
                          JR_CHECKPOINT_MAX_BYTES) &&
           jr_json_resources(json_object_get(object, "used"), &buf->used);
}

/* Reads at most JR_HOST_SERVICES_MAX slowdowns; ignores the rest. */
static bool
read_slowdowns(const json_t *object, slowdowns_buf_t *slowdowns,
               Jr__Heartbeat *heartbeat)
{
    const json_t *list = json_object_get(object, "services_seen");

    heartbeat->services_seen = slowdowns->pointers;
    for (size_t i = 0; i < json_array_size(list) && i < JR_HOST_SERVICES_MAX;
         i++) {
        const json_t *item = json_array_get(list, i);

        jr__service_seen__init(&slowdowns->services[i]);
        if (!jr_json_string(item, "service", &slowdowns->services[i].service,
                            JR_PAIR_NAME_BYTES - 1) ||
            !jr_json_number(item, "slowdown_permille",
                            &slowdowns->services[i].slowdown_permille)) {
            return false;
        }
        slowdowns->pointers[i] = &slowdowns->services[i];
        heartbeat->n_services_seen++;
    }
    return true;
}

static bool
read_heartbeat(const json_t *object, Jr__Heartbeat *heartbeat,
               Jr__Resources *capacity, Jr__Resources *services,
               slowdowns_buf_t *slowdowns, task_buf_t *task_bufs)
{
    const json_t *tasks = json_object_get(object, "tasks");

    heartbeat->capacity = capacity;
    heartbeat->services = services;
    if (!jr_json_string(object, "worker", &heartbeat->worker, JR_KEY_BYTES) ||
        *heartbeat->worker == '\0' ||
        !jr_json_string(object, "zone", &heartbeat->zone, JR_KEY_BYTES) ||
        !jr_json_string(object, "rack", &heartbeat->rack, JR_KEY_BYTES) ||
        !jr_json_resources(json_object_get(object, "capacity"), capacity) ||
        !jr_json_resources(json_object_get(object, "services"), services) ||
        !read_slowdowns(object, slowdowns, heartbeat)) {
        return false;
    }
    heartbeat->leaving = json_is_true(json_object_get(object, "leaving"));
    for (size_t i = 0; i < json_array_size(tasks); i++) {
        if (!read_worker_task(json_array_get(tasks, i), &task_bufs[i])) {
            return false;
        }
        heartbeat->tasks[heartbeat->n_tasks++] = &task_bufs[i].task;
    }
    return true;
}

typedef struct {
    jr_entry_t *entry;
    char host[JR_KEY_BYTES + 1];
} home_request_t;

static jr_home_t *
find_home(jr_entry_t *entry, const char *host)
{
    jr_home_t *home;

    HASH_FIND_STR(entry->homes, host, home);
    return home;
}

static void
drop_home(jr_entry_t *entry, jr_home_t *home)
{
    HASH_DEL(entry->homes, home);
    jr_free(entry->ctx, home->host);
    jr_free(entry->ctx, home);
}

static void
on_home_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    home_request_t *home_request = user;
    jr_home_t *home = find_home(home_request->entry, home_request->host);
    bool is_known = code == JR_OK &&
                    reply->body_case == JR__REPLY__BODY_RULES &&
                    reply->rules->home != 0;

    if (home != NULL && is_known) {
        home->group = reply->rules->home;
    }
    else if (home != NULL) {
        /* The next heartbeat requests it again. */
        drop_home(home_request->entry, home);
    }
    jr_free(home_request->entry->ctx, home_request);
}

static void
request_home(jr_entry_t *entry, const char *host)
{
    home_request_t *home_request = jr_alloc(entry->ctx, sizeof *home_request);
    jr_home_t *home = jr_alloc(entry->ctx, sizeof *home);
    Jr__HomeGet get = JR__HOME_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    home->host = jr_strdup(entry->ctx, host);
    HASH_ADD_KEYPTR(hh, entry->homes, home->host, strlen(home->host), home);
    home_request->entry = entry;
    g_strlcpy(home_request->host, host, sizeof home_request->host);
    get.host = home_request->host;
    request.body_case = JR__REQUEST__BODY_HOME_GET;
    request.home_get = &get;
    jr_requester_send(entry->requester, &request, HEARTBEAT_TIMEOUT_MS,
                      on_home_reply, home_request);
}

/*
 * The task group of a worker is the home of its host, which is the part of
 * the worker's name before any slash, so that all incarnations of a worker
 * belong to the same group. Returns 0 while the group is not known; the
 * worker's next heartbeat tries again.
 */
static uint32_t
find_worker_group(jr_entry_t *entry, const char *worker)
{
    char host[JR_KEY_BYTES + 1];
    const jr_home_t *home;

    g_strlcpy(host, worker, sizeof host);
    host[strcspn(host, "/")] = '\0';
    home = find_home(entry, host);
    if (home == NULL) {
        request_home(entry, host);
        return 0;
    }
    return home->group;
}

void
jr_entry_drop_homes(jr_entry_t *entry)
{
    jr_home_t *home, *next;

    HASH_ITER (hh, entry->homes, home, next) {
        drop_home(entry, home);
    }
}

static void
forward_heartbeat(jr_entry_t *entry, jr_exchange_t *exchange,
                  Jr__Heartbeat *heartbeat)
{
    Jr__Request request = JR__REQUEST__INIT;

    request.group = find_worker_group(entry, heartbeat->worker);
    if (request.group == 0) {
        jr_answer_code(
            entry, exchange, JR_NO_QUORUM,
            "the task group of this worker's host is not known yet and "
            "has been requested");
        return;
    }
    request.body_case = JR__REQUEST__BODY_HEARTBEAT;
    request.heartbeat = heartbeat;
    jr_requester_send(entry->requester, &request, HEARTBEAT_TIMEOUT_MS,
                      on_heartbeat_reply, jr_new_pending(entry, exchange));
}

void
jr_entry_on_heartbeat(jr_entry_t *entry, jr_exchange_t *exchange)
{
    json_t *object = jr_read_json(entry, exchange);
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Resources capacity, services;
    slowdowns_buf_t slowdowns;
    task_buf_t *task_bufs;
    size_t n;

    if (object == NULL) {
        jr_count(entry->ctx, JR_C_HEARTBEAT_BAD);
        return;
    }
    n = json_array_size(json_object_get(object, "tasks"));
    task_bufs = jr_alloc(entry->ctx, n * sizeof *task_bufs);
    heartbeat.tasks = jr_alloc(entry->ctx, n * sizeof(Jr__WorkerTask *));
    heartbeat.worker = heartbeat.zone = heartbeat.rack = empty;
    if (read_heartbeat(object, &heartbeat, &capacity, &services, &slowdowns,
                       task_bufs)) {
        forward_heartbeat(entry, exchange, &heartbeat);
    }
    else {
        jr_count(entry->ctx, JR_C_HEARTBEAT_BAD);
        jr_answer_code(
            entry, exchange, JR_BAD_REQUEST,
            "malformed heartbeat: expected worker (1 to 128 bytes), "
            "zone and rack (at most 128 bytes each), capacity "
            "with integers from 0 to 1000000000, and for each "
            "task id, epoch (an integer from 0) and state "
            "(running, stopped, done or broken)");
    }
    jr_free(entry->ctx, heartbeat.tasks);
    jr_free(entry->ctx, task_bufs);
    json_decref(object);
}
