/*
 * Fake executor for tests and the demo: announces itself to entry processes,
 * answers each call after --delay-ms and logs each run. With --fault fail it
 * answers every call with status 500.
 *
 * Lines of the log: "run BODY" for a run, "over N" for a call that arrived
 * while all slots were in use, and at exit "most N of SLOTS" with the largest
 * number of concurrent runs. demo-load reads the first two.
 */
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "jayrelay/http.h"
#include "jayrelay/program.h"

enum {
    ANNOUNCE_MS = 250,
    OK = 200,
    ERROR = 500,
    UNAVAILABLE = 503,
    ANNOUNCE_TIMEOUT_MS = 1000,
};

typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_http_t *http;
    jr_client_t *client;
    char **entries;
    size_t n_entries;
    size_t next_entry;
    gchar *name, *zone, *rack, *service, *listen, *log_path, *fault;
    gint slots, connections, delay_ms;
    FILE *log;
    int in_use;
    int max_in_use;
    uint64_t incarnation;
    uint64_t sequence;
    bool is_leaving;
    ev_timer announce;
    ev_signal sigterm;
} executor_t;

typedef struct {
    executor_t *executor;
    jr_exchange_t *exchange;
    ev_timer timer;
} run_t;

static void
send_answer(jr_exchange_t *exchange, unsigned status, bool not_run,
            const void *body, size_t len)
{
    const char *attempt = jr_exchange_header(exchange, "Jayrelay-Attempt");
    jr_header_t headers[2];
    size_t n = 0;

    if (attempt != NULL) {
        headers[n++] = (jr_header_t){"Jayrelay-Attempt", attempt};
    }
    if (not_run) {
        headers[n++] = (jr_header_t){"Jayrelay-Not-Run", "1"};
    }
    jr_http_answer(exchange, status, headers, n, body, len);
}

static void
on_run_ended(struct ev_loop *loop, ev_timer *timer, int events)
{
    run_t *run = timer->data;
    executor_t *executor = run->executor;
    size_t len;
    const char *body = jr_exchange_body(run->exchange, &len);
    char *text = g_strdup_printf("answer to %s", body);

    (void)loop;
    (void)events;
    executor->in_use--;
    send_answer(run->exchange, OK, false, text, strlen(text));
    g_free(text);
    jr_free(executor->ctx, run);
    if (executor->is_leaving && executor->in_use == 0) {
        ev_break(executor->loop, EVBREAK_ALL);
    }
}

static void
start_run(executor_t *executor, jr_exchange_t *exchange)
{
    run_t *run = jr_alloc(executor->ctx, sizeof *run);
    size_t len;
    const char *body = jr_exchange_body(exchange, &len);

    executor->in_use++;
    executor->max_in_use = MAX(executor->max_in_use, executor->in_use);
    fprintf(executor->log, "run %s\n", body);
    fflush(executor->log);
    run->executor = executor;
    run->exchange = exchange;
    ev_timer_init(&run->timer, on_run_ended, executor->delay_ms / 1000.0, 0.0);
    run->timer.data = run;
    ev_timer_start(executor->loop, &run->timer);
}

static void
on_request(void *user, jr_exchange_t *exchange)
{
    executor_t *executor = user;

    if (strncmp(jr_exchange_path(exchange), "/v1/call/", 9) != 0) {
        send_answer(exchange, OK, false, "ok\n", 3);
    }
    else if (g_strcmp0(executor->fault, "fail") == 0) {
        send_answer(exchange, ERROR, false, "broken\n", 7);
    }
    else if (executor->in_use >= executor->slots) {
        fprintf(executor->log, "over %d\n", executor->in_use + 1);
        fflush(executor->log);
        send_answer(exchange, UNAVAILABLE, true, "full\n", 5);
    }
    else if (executor->is_leaving) {
        send_answer(exchange, UNAVAILABLE, true, "leaving\n", 8);
    }
    else {
        start_run(executor, exchange);
    }
}

/* Replies are ignored; the announcement is repeated periodically. */
static void
on_announce_reply(void *user, const jr_fetched_t *fetched)
{
    (void)user;
    (void)fetched;
}

/* Sends an announcement to one entry process in turn, or to all. */
static void
send_announcement(executor_t *executor, bool to_all)
{
    char body[1024];
    size_t n = to_all ? executor->n_entries : 1;

    snprintf(body, sizeof body,
             "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"rack\":"
             "\"%s\",\"service\":\"%s\",\"slots\":%d,\"connections\":%d,"
             "\"incarnation\":%llu,\"sequence\":%llu,\"leaving\":%s}",
             executor->name, executor->listen, executor->zone, executor->rack,
             executor->service, executor->slots, executor->connections,
             (unsigned long long)executor->incarnation,
             (unsigned long long)++executor->sequence,
             executor->is_leaving ? "true" : "false");
    for (size_t i = 0; i < n; i++) {
        char url[128];
        jr_fetch_t fetch = {
            .method = "POST",
            .url = url,
            .body = body,
            .len = strlen(body),
            .timeout_ms = ANNOUNCE_TIMEOUT_MS,
            .handler = on_announce_reply,
        };

        snprintf(
            url, sizeof url, "http://%s/v1/upstreams",
            executor->entries[executor->next_entry++ % executor->n_entries]);
        jr_client_fetch(executor->client, &fetch);
    }
}

static void
on_announce_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    send_announcement(timer->data, false);
}

/* Ends the process once no run is in progress. */
static void
on_drain_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    executor_t *executor = timer->data;

    (void)events;
    if (executor->in_use == 0) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/*
 * Announces to all entry processes that this executor is leaving. The process
 * exits when its last run ends or, while no run is in progress, after 3 s.
 */
static void
on_sigterm(struct ev_loop *loop, ev_signal *signal, int events)
{
    static ev_timer drain_timer;
    executor_t *executor = signal->data;

    (void)events;
    if (executor->is_leaving) {
        return;
    }
    executor->is_leaving = true;
    send_announcement(executor, true);
    ev_timer_init(&drain_timer, on_drain_timer, 3.0, 0.1);
    drain_timer.data = executor;
    ev_timer_start(loop, &drain_timer);
}

static bool
parse_options(executor_t *executor, int argc, char **argv)
{
    gchar *entries = NULL;
    GOptionEntry options[] = {
        {"name", 0, 0, G_OPTION_ARG_STRING, &executor->name, "", ""},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &executor->zone, "", ""},
        {"rack", 0, 0, G_OPTION_ARG_STRING, &executor->rack, "", ""},
        {"service", 0, 0, G_OPTION_ARG_STRING, &executor->service, "", ""},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &executor->listen, "", ""},
        {"entries", 0, 0, G_OPTION_ARG_STRING, &entries, "", ""},
        {"log", 0, 0, G_OPTION_ARG_STRING, &executor->log_path, "", ""},
        {"fault", 0, 0, G_OPTION_ARG_STRING, &executor->fault, "", ""},
        {"slots", 0, 0, G_OPTION_ARG_INT, &executor->slots, "", ""},
        {"delay-ms", 0, 0, G_OPTION_ARG_INT, &executor->delay_ms, "", ""},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new(NULL);
    bool ok;

    g_option_context_add_main_entries(context, options, NULL);
    ok = g_option_context_parse(context, &argc, &argv, NULL) &&
         executor->name != NULL && entries != NULL &&
         executor->listen != NULL && executor->log_path != NULL;
    g_option_context_free(context);
    if (ok) {
        executor->entries = g_strsplit(entries, ",", -1);
        executor->n_entries = g_strv_length(executor->entries);
    }
    g_free(entries);
    return ok;
}

int
main(int argc, char **argv)
{
    executor_t executor = {.slots = 8, .connections = 64, .delay_ms = 20};

    signal(SIGPIPE, SIG_IGN);
    executor.zone = g_strdup("a");
    executor.rack = g_strdup("r1");
    executor.service = g_strdup("advice");
    if (!parse_options(&executor, argc, argv)) {
        fprintf(stderr,
                "fake-executor: invalid options: expected at least --name, "
                "--listen, --entries and --log; got --name %.40s, --listen "
                "%.40s and --log %.100s\n",
                executor.name != NULL ? executor.name : "(none)",
                executor.listen != NULL ? executor.listen : "(none)",
                executor.log_path != NULL ? executor.log_path : "(none)");
        return 2;
    }
    executor.ctx = jr_new_ctx("fake-executor", NULL);
    executor.loop = ev_default_loop(EVFLAG_AUTO);
    executor.incarnation = (uint64_t)jr_wall_ms();
    executor.log = fopen(executor.log_path, "a");
    executor.client = jr_new_client(executor.ctx, executor.loop);
    executor.http = jr_new_http(executor.ctx, executor.loop, executor.listen,
                                on_request, &executor);
    if (executor.http == NULL || executor.log == NULL) {
        fprintf(stderr,
                "fake-executor: cannot start: listen address %.100s: %s; log "
                "file %.100s: %s\n",
                executor.listen,
                executor.http != NULL ? "open" : executor.ctx->error.text,
                executor.log_path,
                executor.log != NULL ? "open"
                                     : "cannot be opened for appending");
        return 1;
    }
    ev_timer_init(&executor.announce, on_announce_timer, 0.0,
                  ANNOUNCE_MS / 1000.0);
    executor.announce.data = &executor;
    ev_timer_start(executor.loop, &executor.announce);
    ev_signal_init(&executor.sigterm, on_sigterm, SIGTERM);
    executor.sigterm.data = &executor;
    ev_signal_start(executor.loop, &executor.sigterm);
    ev_run(executor.loop, 0);
    fprintf(executor.log, "most %d of %d\n", executor.max_in_use,
            executor.slots);
    fclose(executor.log);
    return 0;
}
