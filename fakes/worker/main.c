/*
 * Fake worker for tests and the demo: sends heartbeats, simulates tasks with
 * checkpoints, and stops each task when its lease expires by its own clock.
 * With --fault fail every task fails at its start.
 *
 * Lines of the log, which demo-load reads: "EVENT TASK EPOCH TIME WORKER",
 * where EVENT is start, finish or end and TIME is in microseconds. A task that
 * completes has both finish and end.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "jayrelay/http.h"
#include "jayrelay/program.h"

enum { HEARTBEAT_TIMEOUT_MS = 1500, STEP_MS = 20, CHECKPOINT_EVERY_MS = 500 };

/* The order matches state_names. */
typedef enum { RUNNING, STOPPED, DONE, BROKEN } state_t;

static const char *const state_names[] = {"running", "stopped", "done",
                                          "broken"};

typedef struct task {
    TAILQ_ENTRY(task) link;
    char *id;
    long long epoch;
    state_t state;
    long long run_ms;
    long long done_ms;
    long long checkpoint_ms;
    int64_t lease_end; /* by this worker's clock, milliseconds */
    int64_t stepped_at;
    int64_t started_at;
    bool is_throttled;
    int cpu_milli, memory_mb, accelerators;
} task_t;

typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_client_t *client;
    char **entries;
    size_t n_entries;
    size_t next_entry;
    gchar *name, *zone, *rack, *log_path, *fault;
    gint cpu_milli, memory_mb, accelerators, every_ms;
    /*
     * Measured processor use of a task as a percentage of the declared use,
     * and the time from the start of a task until it is measured.
     */
    gint use_percent, lag_ms;
    FILE *log;
    uint64_t incarnation;
    int64_t sent_at;
    bool is_heartbeat_pending;
    bool is_leaving;
    TAILQ_HEAD(, task) tasks;
    ev_timer heartbeat;
    ev_timer step;
    ev_signal sigterm;
} worker_t;

static void
log_event(worker_t *worker, const char *event, const task_t *task)
{
    fprintf(worker->log, "%s %s %lld %lld %s\n", event, task->id, task->epoch,
            (long long)jr_clock_us(), worker->name);
    fflush(worker->log);
}

static task_t *
find_task(worker_t *worker, const char *id, long long epoch)
{
    task_t *task;

    TAILQ_FOREACH (task, &worker->tasks, link) {
        /* NOLINTNEXTLINE: remove_task() unlinks a task before it frees it */
        if (strcmp(task->id, id) == 0 && task->epoch == epoch) {
            return task;
        }
    }
    return NULL;
}

static void
remove_task(worker_t *worker, task_t *task)
{
    if (task->state == RUNNING) {
        log_event(worker, "end", task);
    }
    TAILQ_REMOVE(&worker->tasks, task, link);
    g_free(task->id);
    g_free(task);
}

static void
end_task(worker_t *worker, task_t *task, state_t state)
{
    if (task->state == RUNNING) {
        log_event(worker, "end", task);
        task->state = state;
        task->checkpoint_ms = task->done_ms;
    }
}

/*
 * Advances the running tasks to the present time. An expired lease is checked
 * first, so that a task makes no progress and doesn't finish after it.
 */
static void
step_tasks(worker_t *worker)
{
    int64_t now = jr_clock_ms();
    task_t *task;

    TAILQ_FOREACH (task, &worker->tasks, link) {
        if (task->state != RUNNING) {
            continue;
        }
        if (now >= task->lease_end) {
            end_task(worker, task, STOPPED);
            continue;
        }
        task->done_ms +=
            (now - task->stepped_at) / (task->is_throttled ? 2 : 1);
        task->stepped_at = now;
        if (task->done_ms - task->checkpoint_ms >= CHECKPOINT_EVERY_MS) {
            task->checkpoint_ms = task->done_ms;
        }
        if (task->done_ms >= task->run_ms) {
            log_event(worker, "finish", task);
            end_task(worker, task, DONE);
        }
    }
}

static task_t *
add_task(worker_t *worker, const char *id, long long epoch, state_t state)
{
    task_t *task = g_new0(task_t, 1);

    task->id = g_strdup(id);
    task->epoch = epoch;
    task->state = state;
    TAILQ_INSERT_TAIL(&worker->tasks, task, link);
    return task;
}

static void
start_task(worker_t *worker, const char *id, long long epoch, json_t *spec,
           int64_t lease_end)
{
    task_t *task = add_task(worker, id, epoch, RUNNING);
    const char *checkpoint =
        json_string_value(json_object_get(spec, "checkpoint"));

    task->run_ms = json_integer_value(json_object_get(spec, "run_ms"));
    task->cpu_milli =
        (int)json_integer_value(json_object_get(spec, "cpu_milli"));
    task->memory_mb =
        (int)json_integer_value(json_object_get(spec, "memory_mb"));
    task->accelerators =
        (int)json_integer_value(json_object_get(spec, "accelerators"));
    task->done_ms = checkpoint != NULL ? atoll(checkpoint) : 0;
    task->checkpoint_ms = task->done_ms;
    task->lease_end = lease_end;
    task->stepped_at = jr_clock_ms();
    task->started_at = task->stepped_at;
    log_event(worker, "start", task);
    if (g_strcmp0(worker->fault, "fail") == 0) {
        end_task(worker, task, BROKEN);
    }
}

static void
apply_assignment(worker_t *worker, json_t *assignment, int64_t lease_end)
{
    const char *id = json_string_value(json_object_get(assignment, "id"));
    const char *action =
        json_string_value(json_object_get(assignment, "action"));
    long long epoch = json_integer_value(json_object_get(assignment, "epoch"));
    json_t *spec = json_object_get(assignment, "spec");
    task_t *task;

    if (id == NULL || action == NULL) {
        return;
    }
    task = find_task(worker, id, epoch);
    if (strcmp(action, "forget") == 0 && task != NULL) {
        remove_task(worker, task);
    }
    else if (strcmp(action, "stop") == 0) {
        if (task == NULL) {
            /*
             * The task is unknown, so it isn't running here. It is listed as
             * stopped, which also keeps a late order from starting it.
             */
            task = add_task(worker, id, epoch, STOPPED);
        }
        end_task(worker, task, STOPPED);
    }
    else if ((strcmp(action, "run") == 0 || strcmp(action, "throttle") == 0) &&
             task != NULL) {
        task->is_throttled = strcmp(action, "throttle") == 0;
        task->lease_end = MAX(task->lease_end, lease_end);
    }
    else if (strcmp(action, "run") == 0 && spec != NULL) {
        start_task(worker, id, epoch, spec, lease_end);
    }
}

static void
on_heartbeat_reply(void *user, const jr_fetched_t *fetched)
{
    worker_t *worker = user;
    json_t *reply;
    json_t *tasks;
    int64_t lease_ms;

    worker->is_heartbeat_pending = false;
    /*
     * If the process was suspended, expired leases end their tasks before the
     * reply can extend them.
     */
    step_tasks(worker);
    if (fetched->outcome != JR_FETCH_ANSWERED || fetched->status != 200) {
        return;
    }
    reply = json_loadb(fetched->body, fetched->len, 0, NULL);
    tasks = json_object_get(reply, "tasks");
    lease_ms = json_integer_value(json_object_get(reply, "lease_ms"));
    /* Leases count from the sending of the heartbeat, not from the reply. */
    for (size_t i = 0; i < json_array_size(tasks); i++) {
        if (worker->sent_at + lease_ms > jr_clock_ms()) {
            apply_assignment(worker, json_array_get(tasks, i),
                             worker->sent_at + lease_ms);
        }
    }
    json_decref(reply);
}

/* The use is measured from lag_ms after the start, declared before that. */
static int
measured_cpu(const worker_t *worker, const task_t *task)
{
    bool is_measured = jr_clock_ms() - task->started_at >= worker->lag_ms;

    return is_measured ? task->cpu_milli * worker->use_percent / 100
                       : task->cpu_milli;
}

static json_t *
tasks_to_json(worker_t *worker)
{
    json_t *tasks = json_array();
    task_t *task;

    TAILQ_FOREACH (task, &worker->tasks, link) {
        char checkpoint[32];

        snprintf(checkpoint, sizeof checkpoint, "%lld", task->checkpoint_ms);
        json_array_append_new(
            tasks,
            json_pack("{s:s, s:I, s:s, s:s, s:{s:i, s:i, s:i}}", "id",
                      task->id, "epoch", (json_int_t)task->epoch, "state",
                      state_names[task->state], "checkpoint", checkpoint,
                      "used", "cpu_milli", measured_cpu(worker, task),
                      "memory_mb", task->memory_mb, "accelerators",
                      task->accelerators));
    }
    return tasks;
}

static void
on_heartbeat_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    worker_t *worker = timer->data;
    char url[128];
    char name[128];
    json_t *body;
    char *text;
    jr_fetch_t fetch = {
        .method = "POST",
        .url = url,
        .timeout_ms = HEARTBEAT_TIMEOUT_MS,
        .handler = on_heartbeat_reply,
        .user = worker,
    };

    (void)loop;
    (void)events;
    if (worker->is_heartbeat_pending) {
        return;
    }
    snprintf(name, sizeof name, "%s/%llx", worker->name,
             (unsigned long long)worker->incarnation);
    body = json_pack("{s:s, s:s, s:s, s:b, s:{s:i, s:i, s:i}, s:o}", "worker",
                     name, "zone", worker->zone, "rack", worker->rack,
                     "leaving", (int)worker->is_leaving, "capacity",
                     "cpu_milli", worker->cpu_milli, "memory_mb",
                     worker->memory_mb, "accelerators", worker->accelerators,
                     "tasks", tasks_to_json(worker));
    text = json_dumps(body, JSON_COMPACT);
    fetch.body = text;
    fetch.len = strlen(text);
    snprintf(url, sizeof url, "http://%s/v1/workers/heartbeat",
             worker->entries[worker->next_entry++ % worker->n_entries]);
    worker->is_heartbeat_pending = true;
    worker->sent_at = jr_clock_ms();
    jr_client_fetch(worker->client, &fetch);
    free(text);
    json_decref(body);
}

static void
on_step_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    worker_t *worker = timer->data;

    (void)events;
    step_tasks(worker);
    if (worker->is_leaving && TAILQ_EMPTY(&worker->tasks)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
on_sigterm(struct ev_loop *loop, ev_signal *signal, int events)
{
    worker_t *worker = signal->data;
    task_t *task;

    (void)loop;
    (void)events;
    worker->is_leaving = true;
    TAILQ_FOREACH (task, &worker->tasks, link) {
        end_task(worker, task, STOPPED);
    }
}

static bool
parse_options(worker_t *worker, int argc, char **argv)
{
    gchar *entries = NULL;
    GOptionEntry options[] = {
        {"name", 0, 0, G_OPTION_ARG_STRING, &worker->name, "", ""},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &worker->zone, "", ""},
        {"rack", 0, 0, G_OPTION_ARG_STRING, &worker->rack, "", ""},
        {"entries", 0, 0, G_OPTION_ARG_STRING, &entries, "", ""},
        {"log", 0, 0, G_OPTION_ARG_STRING, &worker->log_path, "", ""},
        {"fault", 0, 0, G_OPTION_ARG_STRING, &worker->fault, "", ""},
        {"cpu", 0, 0, G_OPTION_ARG_INT, &worker->cpu_milli, "", ""},
        {"memory", 0, 0, G_OPTION_ARG_INT, &worker->memory_mb, "", ""},
        {"accelerators", 0, 0, G_OPTION_ARG_INT, &worker->accelerators, "",
         ""},
        {"use-percent", 0, 0, G_OPTION_ARG_INT, &worker->use_percent, "", ""},
        {"lag-ms", 0, 0, G_OPTION_ARG_INT, &worker->lag_ms, "", ""},
        {"every-ms", 0, 0, G_OPTION_ARG_INT, &worker->every_ms, "", ""},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new(NULL);
    bool ok;

    g_option_context_add_main_entries(context, options, NULL);
    ok = g_option_context_parse(context, &argc, &argv, NULL) &&
         worker->name != NULL && entries != NULL && worker->log_path != NULL;
    g_option_context_free(context);
    if (ok) {
        worker->entries = g_strsplit(entries, ",", -1);
        worker->n_entries = g_strv_length(worker->entries);
    }
    g_free(entries);
    return ok;
}

static void
start_timer(worker_t *worker, ev_timer *timer,
            void (*handler)(struct ev_loop *, ev_timer *, int), int every_ms)
{
    ev_timer_init(timer, handler, 0.0, every_ms / 1000.0);
    timer->data = worker;
    ev_timer_start(worker->loop, timer);
}

int
main(int argc, char **argv)
{
    worker_t worker = {.cpu_milli = 16000,
                       .memory_mb = 60000,
                       .every_ms = 200,
                       .use_percent = 100,
                       .lag_ms = 2000};

    signal(SIGPIPE, SIG_IGN);
    worker.zone = g_strdup("a");
    worker.rack = g_strdup("r1");
    if (!parse_options(&worker, argc, argv)) {
        fprintf(stderr,
                "fake-worker: invalid options: expected at least --name, "
                "--entries and --log; got --name %.40s and --log %.100s\n",
                worker.name != NULL ? worker.name : "(none)",
                worker.log_path != NULL ? worker.log_path : "(none)");
        return 2;
    }
    worker.ctx = jr_new_ctx("fake-worker", NULL);
    worker.loop = ev_default_loop(EVFLAG_AUTO);
    worker.incarnation = (uint64_t)jr_wall_ms();
    worker.log = fopen(worker.log_path, "a");
    worker.client = jr_new_client(worker.ctx, worker.loop);
    TAILQ_INIT(&worker.tasks);
    if (worker.log == NULL || worker.client == NULL) {
        fprintf(stderr,
                "fake-worker: cannot start: log file %.100s: %s; HTTP client: "
                "%s\n",
                worker.log_path,
                worker.log != NULL ? "open" : "cannot be opened for appending",
                worker.client != NULL ? "ready" : worker.ctx->error.text);
        return 1;
    }
    start_timer(&worker, &worker.heartbeat, on_heartbeat_timer,
                worker.every_ms);
    start_timer(&worker, &worker.step, on_step_timer, STEP_MS);
    ev_signal_init(&worker.sigterm, on_sigterm, SIGTERM);
    worker.sigterm.data = &worker;
    ev_signal_start(worker.loop, &worker.sigterm);
    ev_run(worker.loop, 0);
    fclose(worker.log);
    return 0;
}
