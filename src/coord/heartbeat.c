/* Processing of worker heartbeats and construction of replies. */
#include "coord.h"

#include <stdlib.h>
#include <string.h>

#include "ledger/convert.h"

enum {
    /* Delay before a report that was not applied is proposed again. */
    REPORT_AGAIN_MS = 1000,
    /* Minimum interval between checkpoint reports of a task. */
    CHECKPOINT_EVERY_MS = 1000,
    FAILURES_TO_QUARANTINE = 3,      /* consecutive */
    QUARANTINE_FIRST_MS = 30 * 1000, /* each further one is doubled */
    QUARANTINE_MAX_MS = 30 * 60 * 1000,
    OVERLOADS_TO_EVICT = 2, /* consecutive heartbeats over the capacity */
    WORKER_NAME_MAX = 128,  /* bytes; a longer name is refused */
    TASKS_MAX = 4096,       /* in a heartbeat; one with more is refused */
};

/* Weight of the newest run in a class's average of used to declared. */
static const double USE_GAIN = 0.05;
static const double PERMILLE = 1000.0;

/* A reply under construction. */
typedef struct {
    Jr__HeartbeatReply *message;
    size_t cap;
} reply_t;

/* Replies are freed by protobuf-c with free(3), so they need malloc(3). */
static void *
check_alloc(void *p)
{
    if (p == NULL) {
        abort();
    }
    return p;
}

static char *
copy_string(const char *s)
{
    return check_alloc(strdup(s != NULL ? s : ""));
}

static void
assign(reply_t *reply, uint64_t task, uint64_t epoch,
       Jr__Assignment__Action action, const jr_task_t *start)
{
    Jr__HeartbeatReply *message = reply->message;
    Jr__Assignment *a = check_alloc(malloc(sizeof *a));

    jr__assignment__init(a);
    a->task = task;
    a->epoch = epoch;
    a->action = action;
    if (start != NULL) {
        Jr__TaskSpec *spec = check_alloc(malloc(sizeof *spec));
        Jr__Resources *need = check_alloc(malloc(sizeof *need));

        jr_spec_to_message(&start->spec, spec, need);
        spec->team = copy_string(spec->team);
        spec->class_name = copy_string(spec->class_name);
        spec->key = copy_string(spec->key);
        spec->payload = copy_string(spec->payload);
        a->spec = spec;
        a->checkpoint = copy_string(start->checkpoint);
    }
    if (message->n_tasks == reply->cap) {
        reply->cap = reply->cap > 0 ? 2 * reply->cap : 8;
        message->tasks =
            check_alloc(realloc(message->tasks, reply->cap * sizeof(void *)));
    }
    message->tasks[message->n_tasks++] = a;
}

static bool
is_valid(const Jr__Heartbeat *heartbeat)
{
    size_t len = strlen(heartbeat->worker);

    return len > 0 && len <= WORKER_NAME_MAX && heartbeat->worker[0] != '/' &&
           heartbeat->capacity != NULL && heartbeat->n_tasks <= TASKS_MAX;
}

static void
set_text(jr_ctx_t *ctx, char **to, const char *from)
{
    if (*to == NULL || strcmp(*to, from) != 0) {
        jr_free(ctx, *to);
        *to = jr_strdup(ctx, from);
    }
}

static void
read_services(jr_worker_t *worker, const Jr__Heartbeat *heartbeat)
{
    jr_host_load_t *host = &worker->host_load;

    host->n_services = MIN(heartbeat->n_services_seen, JR_HOST_SERVICES_MAX);
    for (size_t i = 0; i < host->n_services; i++) {
        const Jr__ServiceSeen *seen = heartbeat->services_seen[i];

        g_strlcpy(host->services[i], seen->service, JR_PAIR_NAME_BYTES);
        host->slowdowns[i] = MAX(seen->slowdown_permille / PERMILLE, 1.0);
    }
}

static jr_worker_t *
renew(jr_coord_t *coord, const Jr__Heartbeat *heartbeat, int64_t arrived)
{
    jr_lease_table_t *table = coord->table;
    jr_worker_t *worker = jr_lease_find(table, heartbeat->worker);
    jr_resources_t capacity = jr_resources_from_message(heartbeat->capacity);

    if (worker != NULL && worker->is_lapsed &&
        jr_coord_is_idle(coord, worker)) {
        jr_lease_remove(table, worker);
        worker = NULL;
    }
    if (worker == NULL) {
        jr_log(coord->ctx, JR_EV_WORKER_NEW, "%s", heartbeat->worker);
    }
    worker = jr_lease_renew(table, heartbeat->worker, arrived);
    set_text(coord->ctx, &worker->zone, heartbeat->zone);
    set_text(coord->ctx, &worker->rack, heartbeat->rack);
    jr_lease_set_capacity(table, worker, &capacity);
    worker->services = jr_resources_from_message(heartbeat->services);
    worker->is_leaving = heartbeat->leaving;
    read_services(worker, heartbeat);
    if (worker->predecessor != NULL &&
        jr_ledger_worker_leases(coord->ledger, worker->predecessor) == NULL) {
        jr_free(coord->ctx, worker->predecessor);
        worker->predecessor = NULL;
    }
    return worker;
}

static void
record_run_result(jr_coord_t *coord, jr_worker_t *worker, bool ok, int64_t now)
{
    if (ok) {
        worker->failures_in_row = 0;
        worker->quarantine_ms = 0;
        return;
    }
    if (++worker->failures_in_row < FAILURES_TO_QUARANTINE) {
        return;
    }
    worker->quarantine_ms =
        worker->quarantine_ms == 0
            ? QUARANTINE_FIRST_MS
            : MIN(2 * worker->quarantine_ms, QUARANTINE_MAX_MS);
    worker->quarantined_until = now + worker->quarantine_ms;
    /* After the quarantine, one failure triggers the next. */
    worker->failures_in_row = FAILURES_TO_QUARANTINE - 1;
    jr_count(coord->ctx, JR_C_QUARANTINES);
    jr_log(coord->ctx, JR_EV_WORKER_QUARANTINED, "%s for %lld ms",
           worker->name, (long long)worker->quarantine_ms);
}

/* Update the class's moving average of used over declared processors. */
static void
learn_use_ratio(jr_coord_t *coord, const jr_task_t *task)
{
    double declared = (double)task->spec.need.cpu_milli;
    double used = (double)task->local.used.cpu_milli;
    jr_class_queue_t *queue;

    HASH_FIND_STR(jr_ledger_classes(coord->ledger), task->spec.class_name,
                  queue);
    if (queue != NULL && queue->generation == coord->generation &&
        used > 0.0 && declared > 0.0) {
        queue->use_ratio += USE_GAIN * (used / declared - queue->use_ratio);
    }
}

static void
propose_report(jr_coord_t *coord, jr_task_t *task, const Jr__WorkerTask *from,
               jr_report_kind_t kind, int64_t now)
{
    jr_proposal_t report = {
        .kind = JR_PROPOSE_REPORT,
        .task = from->task,
        .epoch = from->epoch,
        .report = kind,
        .text = jr_strdup(coord->ctx, from->result),
        .checkpoint = jr_strdup(coord->ctx, from->checkpoint),
        .used = jr_coord_task_local(coord, task)->used,
    };

    jr_coord_task_local(coord, task)->reported_at = now;
    jr_coord_propose(coord, &report);
}

static void
on_running(jr_coord_t *coord, jr_worker_t *worker, jr_task_t *task,
           const Jr__WorkerTask *from, int64_t now, reply_t *reply)
{
    jr_task_local_t *local = jr_coord_task_local(coord, task);
    const char *stored = task->checkpoint != NULL ? task->checkpoint : "";
    Jr__Assignment__Action action = JR__ASSIGNMENT__ACTION__RUN;

    local->used = jr_resources_from_message(from->used);
    if (local->checkpoint_at == 0) {
        local->checkpoint_at = now;
    }
    if (strcmp(stored, from->checkpoint) != 0 &&
        now - local->reported_at >= CHECKPOINT_EVERY_MS) {
        local->checkpoint_at = now;
        propose_report(coord, task, from, JR_REPORT_CHECKPOINT, now);
    }
    if (worker->is_lapsed || local->is_expiring) {
        return;
    }
    if (task->cancel_asked || local->is_evicting) {
        action = JR__ASSIGNMENT__ACTION__STOP;
    }
    else if (local->is_throttled) {
        action = JR__ASSIGNMENT__ACTION__THROTTLE;
    }
    assign(reply, from->task, from->epoch, action, NULL);
}

static void
on_ended(jr_coord_t *coord, jr_worker_t *worker, jr_task_t *task,
         const Jr__WorkerTask *from, int64_t now)
{
    jr_report_kind_t kind = JR_REPORT_STOPPED;

    if (jr_coord_task_local(coord, task)->reported_at != 0 &&
        now - task->local.reported_at < REPORT_AGAIN_MS &&
        task->local.is_ending) {
        return;
    }
    if (from->state == JR__WORKER_TASK__STATE__DONE) {
        kind = JR_REPORT_FINISHED;
    }
    else if (from->state == JR__WORKER_TASK__STATE__BROKEN) {
        kind = JR_REPORT_FAILED;
    }
    if (kind != JR_REPORT_STOPPED && !task->local.is_ending) {
        record_run_result(coord, worker, kind == JR_REPORT_FINISHED, now);
    }
    if (!task->local.is_ending) {
        learn_use_ratio(coord, task);
    }
    task->local.is_ending = true;
    propose_report(coord, task, from, kind, now);
}

static void
on_task_report(jr_coord_t *coord, jr_worker_t *worker,
               const Jr__WorkerTask *from, int64_t now, reply_t *reply)
{
    jr_task_t *task = jr_ledger_task(coord->ledger, from->task);

    if (task == NULL || task->state != JR_TASK_LEASED ||
        task->epoch != from->epoch ||
        strcmp(task->worker, worker->name) != 0) {
        jr_count(coord->ctx, JR_C_REPORT_STALE);
        assign(reply, from->task, from->epoch, JR__ASSIGNMENT__ACTION__FORGET,
               NULL);
        return;
    }
    jr_coord_task_local(coord, task)->seen_round = coord->round;
    if (from->state == JR__WORKER_TASK__STATE__RUNNING) {
        on_running(coord, worker, task, from, now, reply);
    }
    else {
        on_ended(coord, worker, task, from, now);
    }
}

/* Send leased tasks that are missing from the worker's heartbeat. */
static void
assign_new(jr_coord_t *coord, const jr_worker_t *worker,
           const jr_worker_leases_t *leases, int64_t now, reply_t *reply)
{
    jr_task_t *task;

    TAILQ_FOREACH (task, &leases->tasks, on_worker) {
        jr_task_local_t *local = jr_coord_task_local(coord, task);

        if (local->seen_round == coord->round || local->is_expiring ||
            worker->is_lapsed) {
            continue;
        }
        if (local->checkpoint_at == 0) {
            local->checkpoint_at = now;
        }
        if (task->cancel_asked || local->is_evicting) {
            assign(reply, task->id, task->epoch, JR__ASSIGNMENT__ACTION__STOP,
                   NULL);
        }
        else {
            assign(reply, task->id, task->epoch, JR__ASSIGNMENT__ACTION__RUN,
                   task);
        }
    }
}

/* The expected size is a lower bound until measurements are available. */
static jr_resources_t
current_size(const jr_task_t *task, int64_t now)
{
    jr_resources_t size = jr_task_size(task);

    return now < task->local.expected_until
               ? jr_resources_max(&size, &task->local.expected)
               : size;
}

static void
refresh_load(jr_coord_t *coord, jr_worker_t *worker,
             const jr_worker_leases_t *leases, int64_t now)
{
    jr_task_t *task;

    worker->load = (jr_resources_t){0};
    if (leases != NULL) {
        TAILQ_FOREACH (task, &leases->tasks, on_worker) {
            jr_resources_t size;

            jr_coord_task_local(coord, task);
            size = current_size(task, now);

            jr_resources_add(&worker->load, &size, 1);
        }
    }
    jr_lease_update_bucket(coord->table, worker);
}

/*
 * Evict one task when OVERLOADS_TO_EVICT consecutive heartbeats exceed the
 * capacity.
 */
static void
check_overload(jr_coord_t *coord, jr_worker_t *worker,
               const jr_worker_leases_t *leases, int64_t now)
{
    jr_resources_t available = jr_worker_free_capacity(worker);
    jr_task_t *task;

    if (available.cpu_milli >= 0 && available.memory_mb >= 0 &&
        available.accelerators >= 0) {
        worker->overload_heartbeats = 0;
        return;
    }
    if (++worker->overload_heartbeats < OVERLOADS_TO_EVICT || leases == NULL) {
        return;
    }
    worker->overload_heartbeats = 0;
    task = jr_evict_choose(coord->options.evict, leases, coord->rules, now);
    if (task != NULL) {
        jr_coord_evict(coord, task, worker);
    }
}

Jr__HeartbeatReply *
jr_coord_heartbeat(jr_coord_t *coord, const Jr__Heartbeat *heartbeat,
                   int64_t arrived)
{
    reply_t reply = {0};
    jr_worker_t *worker;
    const jr_worker_leases_t *leases;

    if (!is_valid(heartbeat)) {
        jr_count(coord->ctx, JR_C_HEARTBEAT_BAD);
        jr_fail(coord->ctx, JR_BAD_REQUEST,
                "invalid heartbeat of worker '%.40s': name of %zu bytes, %s "
                "capacity, %zu tasks; expected a name of 1 to %d bytes that "
                "does not start with '/', a capacity and at most %d tasks",
                heartbeat->worker, strlen(heartbeat->worker),
                heartbeat->capacity != NULL ? "a" : "no", heartbeat->n_tasks,
                WORKER_NAME_MAX, TASKS_MAX);
        return NULL;
    }
    jr_count(coord->ctx, JR_C_HEARTBEATS);
    coord->round++;
    reply.message = check_alloc(malloc(sizeof *reply.message));
    jr__heartbeat_reply__init(reply.message);
    worker = renew(coord, heartbeat, arrived);
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        on_task_report(coord, worker, heartbeat->tasks[i], arrived, &reply);
    }
    leases = jr_ledger_worker_leases(coord->ledger, worker->name);
    refresh_load(coord, worker, leases, arrived);
    check_overload(coord, worker, leases, arrived);
    if (coord->options.policy.kind != JR_PLACE_FIRST_FIT) {
        jr_coord_guard(coord, worker, leases, arrived);
    }
    if (leases != NULL) {
        assign_new(coord, worker, leases, arrived, &reply);
    }
    reply.message->lease_ms =
        worker->is_lapsed ? 0 : coord->options.lease.lease_ms;
    return reply.message;
}
