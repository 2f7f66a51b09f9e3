/*
 * Main program of jayrelay-entry, which serves calls, upstream
 * announcements, worker heartbeats, tasks and rules. It has no durable
 * state.
 */
#include <signal.h>
#include <string.h>

#include "admin.h"

enum {
    TICK_MS = 10,
    POLL_RULES_MS = 500,
    HELLO_MS = 500,
    POLL_FIRST_RULES_MS = 50, /* until the first rules arrive */
    DRAIN_CHECK_MS = 20,
    OPEN_CHECK_MS = 20,
    /* The HTTP port opens after this long without rules or upstreams. */
    OPEN_WITHOUT_RULES_MS = 3000,
    OPEN_WITHOUT_UPSTREAMS_MS = 1500,
};

/* Number of upstreams compared for one routing decision. */
enum { ROUTE_CANDIDATES = 4 };

static void
on_hello(jr_entry_t *entry, const char *from, const Jr__Hello *hello)
{
    for (int i = 0; i < entry->n_other_zones + entry->n_own_zone; i++) {
        if (strcmp(entry->peers[i].process->name, from) == 0) {
            jr_relay_mark_peer_alive(entry->relay, i, jr_clock_us());
            jr_entry_on_peer_version(entry, i, hello->rules_version);
        }
    }
}

/* Handles replies to rules requests, from control processes and peers. */
static void
on_rules_reply(jr_entry_t *entry, const Jr__Envelope *envelope)
{
    const Jr__Reply *reply = envelope->reply;

    if (reply->body_case != JR__REPLY__BODY_RULES) {
        return;
    }
    for (int64_t i = 0; i < entry->settings.n_controls; i++) {
        if (strcmp(entry->settings.controls[i].name, envelope->from) == 0) {
            entry->control_last_seen_at = jr_clock_ms();
        }
    }
    if (*reply->rules->text != '\0') {
        jr_entry_update_rules(entry, reply->rules->version,
                              reply->rules->text);
    }
}

static void
on_envelope(void *user, const jr_route_t *route, const Jr__Envelope *envelope)
{
    jr_entry_t *entry = user;

    switch (envelope->body_case) {
    case JR__ENVELOPE__BODY_REPLY:
        on_rules_reply(entry, envelope);
        if (!jr_entry_on_status_reply(entry, envelope->reply)) {
            jr_requester_handle_reply(entry->requester, envelope->reply);
        }
        break;
    case JR__ENVELOPE__BODY_ANNOUNCE:
        jr_entry_on_peer_announce(entry, envelope->announce);
        break;
    case JR__ENVELOPE__BODY_LOAN_ASK:
        if (route != NULL) {
            jr_entry_on_loan_ask(entry, route, envelope->loan_ask);
        }
        break;
    case JR__ENVELOPE__BODY_LOAN_GIVE:
        jr_entry_on_loan_give(entry, envelope->loan_give);
        break;
    case JR__ENVELOPE__BODY_HELLO:
        on_hello(entry, envelope->from, envelope->hello);
        break;
    case JR__ENVELOPE__BODY_REQUEST:
        if (route != NULL &&
            envelope->request->body_case == JR__REQUEST__BODY_RULES_GET) {
            jr_entry_send_rules(entry, route, envelope->request->rules_get);
        }
        break;
    default:
        jr_count(entry->ctx, JR_C_BUS_BAD);
        break;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_entry_t *entry = timer->data;

    (void)loop;
    (void)events;
    jr_relay_tick(entry->relay, jr_clock_us());
}

static void
on_hello_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_entry_t *entry = timer->data;
    Jr__Hello hello = JR__HELLO__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    (void)loop;
    (void)events;
    if (entry->is_draining || entry->http == NULL) {
        return;
    }
    hello.rules_version = entry->rules != NULL ? entry->rules->version : 0;
    envelope.body_case = JR__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    for (int i = 0; i < entry->n_other_zones + entry->n_own_zone; i++) {
        jr_bus_send(entry->bus, entry->peers[i].bus_peer, &envelope);
    }
}

static void
on_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_entry_t *entry = timer->data;

    (void)events;
    jr_entry_poll_rules(entry);
    timer->repeat = entry->rules == NULL ? POLL_FIRST_RULES_MS / 1000.0
                                         : POLL_RULES_MS / 1000.0;
    ev_timer_again(loop, timer);
}

static void
on_drain_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_entry_t *entry = timer->data;

    (void)events;
    jr_http_quiesce(entry->http);
    if (jr_http_count_open(entry->http) == 0 && entry->n_unanswered == 0 &&
        jr_requester_count_open(entry->requester) == 0) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/*
 * Drains in three phases: for drain_ms all requests are still served, so
 * that the load balancer can notice that this process is not ready; then no
 * new connections are accepted; the process stops once all open requests
 * are answered.
 */
static void
on_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
    jr_entry_t *entry = signal->data;

    (void)events;
    if (entry->is_draining) {
        return;
    }
    entry->is_draining = true;
    if (entry->http == NULL) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    jr_log(entry->ctx, JR_EV_DRAINING, "received signal %d", signal->signum);
    jr_http_close_connections(entry->http);
    ev_timer_init(&entry->drain, on_drain_check,
                  (double)entry->settings.drain_ms / 1000.0,
                  DRAIN_CHECK_MS / 1000.0);
    entry->drain.data = entry;
    ev_timer_start(loop, &entry->drain);
}

/* Control processes in the same zone come first in the list. */
static jr_result_t
connect_controls(jr_entry_t *entry)
{
    const jr_settings_t *s = &entry->settings;

    for (int is_other = 0; is_other <= 1; is_other++) {
        for (int64_t i = 0; i < s->n_controls; i++) {
            const jr_process_t *control = &s->controls[i];
            int peer;

            if ((strcmp(control->zone, s->zone) != 0) != is_other) {
                continue;
            }
            peer = jr_bus_connect(entry->bus, control->name, control->bus);
            if (peer < 0) {
                return JR_NETWORK;
            }
            entry->controls[entry->n_controls++] = peer;
        }
    }
    entry->requester = jr_new_requester(entry->ctx, entry->loop, entry->bus,
                                        entry->controls, entry->n_controls);
    return JR_OK;
}

static jr_result_t
connect_peers(jr_entry_t *entry)
{
    const jr_settings_t *s = &entry->settings;

    for (int is_own = 0; is_own <= 1; is_own++) {
        for (int64_t i = 0; i < s->n_entries; i++) {
            const jr_process_t *process = &s->entries[i];
            int n = entry->n_other_zones + entry->n_own_zone;

            if ((strcmp(process->zone, s->zone) == 0) != is_own ||
                strcmp(process->name, s->name) == 0) {
                continue;
            }
            entry->peers[n].process = process;
            entry->peers[n].bus_peer =
                jr_bus_connect(entry->bus, process->name, process->bus);
            if (entry->peers[n].bus_peer < 0) {
                return JR_NETWORK;
            }
            *(is_own ? &entry->n_own_zone : &entry->n_other_zones) += 1;
        }
    }
    return JR_OK;
}

static void
make_relay(jr_entry_t *entry)
{
    const jr_settings_t *s = &entry->settings;
    jr_relay_options_t options = {
        .route = {.kind = JR_ROUTE_SCORED,
                  .as.scored.candidates = ROUTE_CANDIDATES},
        .admit = JR_ADMIT_DEADLINE,
        .retry = JR_RETRY_BUDGET,
        .retry_percent = (int)s->retry_percent,
        .processes = entry->zone_names,
        .n_other_zones = entry->n_other_zones,
        .n_own_zone = entry->n_own_zone,
        .cross_zone_latency_us = s->crossing_ms * 1000,
        .seed = g_random_int(),
        .hooks = {.start = jr_entry_start_attempt,
                  .finish = jr_entry_finish_call,
                  .request_loan = jr_entry_request_loan,
                  .user = entry},
    };

    for (int64_t i = 0; i < s->n_entries; i++) {
        if (strcmp(s->entries[i].zone, s->zone) != 0) {
            continue;
        }
        if (strcmp(s->entries[i].name, s->name) == 0) {
            options.self = options.n_processes;
        }
        entry->zone_names[options.n_processes++] = s->entries[i].name;
    }
    entry->relay = jr_new_relay(entry->ctx, &options, entry->upstreams);
}

static jr_result_t
open_entry(jr_entry_t *entry)
{
    const jr_settings_t *s = &entry->settings;
    jr_bus_keys_t keys;
    jr_result_t result = jr_bus_keys_read(entry->ctx, s->key_file, &keys);

    if (result != JR_OK) {
        return result;
    }
    entry->instance = (uint64_t)jr_wall_ms() << 16 | (g_random_int() & 0xffff);
    entry->upstreams = jr_new_upstreams(entry->ctx, s->zone);
    entry->client = jr_new_client(entry->ctx, entry->loop);
    entry->bus = jr_new_bus(entry->ctx, entry->loop, s->name, s->bus, &keys,
                            on_envelope, entry);
    if (entry->client == NULL || entry->bus == NULL) {
        return JR_NETWORK;
    }
    result = connect_controls(entry);
    if (result == JR_OK) {
        result = connect_peers(entry);
    }
    if (result != JR_OK) {
        return result;
    }
    make_relay(entry);
    return JR_OK;
}

static bool
knows_upstreams(const jr_entry_t *entry)
{
    const jr_service_t *service, *next;

    HASH_ITER (hh, entry->upstreams->services, service, next) {
        if (service->n > 0) {
            return true;
        }
    }
    return false;
}

/*
 * The port of a new process stays closed until rules and upstreams are
 * known, so that the load balancer sends calls elsewhere. It opens anyway
 * after a delay: without any rules in the system, an operator needs an open
 * port to post the first ones.
 */
static bool
is_ready_to_open(const jr_entry_t *entry)
{
    int64_t age_ms = jr_clock_ms() - entry->started_at;

    if (entry->rules == NULL) {
        return age_ms >= OPEN_WITHOUT_RULES_MS;
    }
    return knows_upstreams(entry) || age_ms >= OPEN_WITHOUT_UPSTREAMS_MS;
}

static void
on_open_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_entry_t *entry = timer->data;

    (void)events;
    if (!is_ready_to_open(entry)) {
        return;
    }
    ev_timer_stop(loop, timer);
    entry->http = jr_new_http(entry->ctx, entry->loop, entry->settings.http,
                              jr_entry_on_http, entry);
    if (entry->http == NULL) {
        jr_log(entry->ctx, JR_EV_FATAL, "%s", entry->ctx->error.text);
        entry->exit_status = jr_result_exit(JR_NETWORK);
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    jr_log(entry->ctx, JR_EV_STARTED, "%s in zone %s", entry->settings.name,
           entry->settings.zone);
}

static void
start_timer(jr_entry_t *entry, ev_timer *timer,
            void (*on)(struct ev_loop *, ev_timer *, int), int every_ms)
{
    ev_timer_init(timer, on, 0.0, every_ms / 1000.0);
    timer->data = entry;
    ev_timer_start(entry->loop, timer);
}

static void
start_signal(jr_entry_t *entry, ev_signal *watcher, int number)
{
    ev_signal_init(watcher, on_signal, number);
    watcher->data = entry;
    ev_signal_start(entry->loop, watcher);
}

static void
close_entry(jr_entry_t *entry)
{
    jr_drop_client(entry->client);
    jr_entry_drop_homes(entry);
    jr_drop_requester(entry->requester);
    jr_drop_relay(entry->relay);
    jr_drop_http(entry->http);
    jr_drop_bus(entry->bus);
    jr_drop_upstreams(entry->upstreams);
    jr_drop_rules(entry->rules);
    jr_free(entry->ctx, entry->rules_text);
}

static int
run(jr_entry_t *entry)
{
    jr_result_t result;

    TAILQ_INIT(&entry->status_queries);
    result = open_entry(entry);
    if (result != JR_OK) {
        jr_log(entry->ctx, JR_EV_FATAL, "%s", entry->ctx->error.text);
        close_entry(entry);
        return jr_result_exit(result);
    }
    start_timer(entry, &entry->tick, on_tick, TICK_MS);
    start_timer(entry, &entry->poll, on_poll, POLL_RULES_MS);
    start_timer(entry, &entry->hello, on_hello_timer, HELLO_MS);
    start_signal(entry, &entry->sigterm, SIGTERM);
    start_signal(entry, &entry->sigint, SIGINT);
    entry->started_at = jr_clock_ms();
    start_timer(entry, &entry->open, on_open_check, OPEN_CHECK_MS);
    ev_run(entry->loop, 0);
    jr_log(entry->ctx, JR_EV_STOPPED, "%s", entry->settings.name);
    close_entry(entry);
    return entry->exit_status;
}

int
main(int argc, char **argv)
{
    jr_program_t program = {
        .name = "jayrelay-entry",
        .summary = "Serves calls, announcements, heartbeats and tasks over "
                   "HTTP.",
        .kind = JR_SETTINGS_ENTRY,
    };
    jr_ctx_t *ctx = jr_new_ctx(program.name, stdout);
    jr_entry_t *entry = jr_alloc(ctx, sizeof *entry);
    int status;

    entry->ctx = ctx;
    signal(SIGPIPE, SIG_IGN);
    status = jr_program_start(ctx, &program, argc, argv, &entry->settings);
    if (status < 0) {
        entry->loop = ev_default_loop(EVFLAG_AUTO);
        status = run(entry);
    }
    g_free(program.settings_path);
    jr_free(ctx, entry);
    jr_drop_ctx(ctx);
    return status;
}
