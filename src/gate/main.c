/* jayrelay-gate: accepts job requests from clients and forwards them to the
 * leader. */
#include "gate.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
    PROBE_INTERVAL_MS = 400, /* between probes of the leader */
    DRAIN_POLL_MS = 50,
    DRAIN_MAX_MS = 2500, /* after drain_ms, for open requests */
};

static void
on_envelope(void *user, const jr_route_t *route, const Jr__Envelope *envelope)
{
    jr_gate_t *gate = user;

    (void)route;
    if (envelope->body_case == JR__ENVELOPE__BODY_REPLY) {
        jr_requester_handle_reply(gate->requester, envelope->reply);
    }
    else {
        jr_count(gate->ctx, JR_C_BUS_BAD);
    }
}

static void
on_probe(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    jr_gate_probe_leader(timer->data);
}

static void
start_timer(jr_gate_t *gate, ev_timer *timer,
            void (*on)(struct ev_loop *, ev_timer *, int), int every_ms)
{
    ev_timer_init(timer, on, 0.0, every_ms / 1000.0);
    timer->data = gate;
    ev_timer_start(gate->loop, timer);
}

/* During drain_ms the load balancer sees that this process is not ready and
 * stops sending requests to it. After that no new connections are accepted
 * and open requests are answered. */
static void
on_drain(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_gate_t *gate = timer->data;
    int64_t age = jr_clock_ms() - gate->drain_began_at;

    (void)events;
    if (age < gate->settings.drain_ms) {
        return;
    }
    jr_http_quiesce(gate->http);
    if (jr_http_count_open(gate->http) == 0 ||
        age > gate->settings.drain_ms + DRAIN_MAX_MS) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
on_stop(struct ev_loop *loop, ev_signal *signal, int events)
{
    jr_gate_t *gate = signal->data;

    (void)loop;
    (void)events;
    if (gate->is_draining) {
        return;
    }
    gate->is_draining = true;
    gate->drain_began_at = jr_clock_ms();
    jr_log(gate->ctx, JR_EV_DRAINING, "signal=%d open=%u", signal->signum,
           jr_http_count_open(gate->http));
    jr_http_close_connections(gate->http);
    start_timer(gate, &gate->drain, on_drain, DRAIN_POLL_MS);
}

static jr_result_t
connect_controls(jr_gate_t *gate, const jr_settings_t *settings)
{
    int peers[JR_CONTROLS_MAX];
    size_t n = 0;

    for (int64_t i = 0; i < settings->n_controls; i++) {
        int peer = jr_bus_connect(gate->bus, settings->controls[i].name,
                                  settings->controls[i].bus);

        if (peer < 0) {
            return JR_NETWORK;
        }
        peers[n++] = peer;
    }
    if (gate->requester == NULL) {
        gate->requester =
            jr_new_requester(gate->ctx, gate->loop, gate->bus, peers, n);
        return JR_OK;
    }
    for (size_t i = 0; i < n; i++) {
        jr_requester_add_peer(gate->requester, peers[i]);
    }
    return JR_OK;
}

static void
on_settings(void *user, const jr_settings_t *settings)
{
    jr_gate_t *gate = user;

    if (connect_controls(gate, settings) != JR_OK) {
        jr_log(gate->ctx, JR_EV_RELOADED, "refused=%s", gate->ctx->error.text);
    }
}

static jr_result_t
open_gate(jr_gate_t *gate)
{
    const jr_settings_t *s = &gate->settings;
    jr_bus_keys_t keys;
    jr_result_t result = jr_bus_keys_read(gate->ctx, s->key_file, &keys);

    if (result != JR_OK) {
        return result;
    }
    gate->bus = jr_new_bus(gate->ctx, gate->loop, s->name, s->bus, &keys,
                           on_envelope, gate);
    if (gate->bus == NULL) {
        return JR_NETWORK;
    }
    result = connect_controls(gate, s);
    if (result != JR_OK) {
        return result;
    }
    gate->http =
        jr_new_http(gate->ctx, gate->loop, s->http, jr_gate_on_client, gate);
    gate->ready_http =
        jr_new_http(gate->ctx, gate->loop, s->ready, jr_gate_on_monitor, gate);
    if (*s->metrics != '\0') {
        gate->metrics_http = jr_new_http(gate->ctx, gate->loop, s->metrics,
                                         jr_gate_on_monitor, gate);
        if (gate->metrics_http == NULL) {
            return JR_NETWORK;
        }
    }
    return gate->http != NULL && gate->ready_http != NULL ? JR_OK : JR_NETWORK;
}

static void
on_flush(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    (void)loop;
    (void)events;
    jr_log_flush(prepare->data);
}

static void
start_signal(jr_gate_t *gate, ev_signal *watcher, int number,
             void (*on)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(watcher, on, number);
    watcher->data = gate;
    ev_signal_start(gate->loop, watcher);
}

static void
close_gate(jr_gate_t *gate)
{
    jr_requester_abandon_all(gate->requester); /* answers callers */
    jr_drop_requester(gate->requester);
    jr_drop_http(gate->http);
    jr_drop_http(gate->ready_http);
    jr_drop_http(gate->metrics_http);
    jr_drop_bus(gate->bus);
    jr_drop_watch(gate->watch);
    g_free(gate->settings_path);
}

static int
run(jr_gate_t *gate)
{
    jr_result_t result = open_gate(gate);

    if (result != JR_OK) {
        jr_log(gate->ctx, JR_EV_FATAL, "%s", gate->ctx->error.text);
        close_gate(gate);
        return jr_result_exit(result);
    }
    gate->ctx->log_is_buffered = true;
    ev_prepare_init(&gate->flush, on_flush);
    gate->flush.data = gate->ctx;
    ev_prepare_start(gate->loop, &gate->flush);
    start_timer(gate, &gate->probe, on_probe, PROBE_INTERVAL_MS);
    gate->watch = jr_new_watch(gate->ctx, gate->loop, gate->settings_path,
                               JR_SETTINGS_GATE, on_settings, gate);
    start_signal(gate, &gate->sigterm, SIGTERM, on_stop);
    start_signal(gate, &gate->sigint, SIGINT, on_stop);
    jr_log(gate->ctx, JR_EV_STARTED, "name=%s zone=%s", gate->settings.name,
           gate->settings.zone);
    ev_run(gate->loop, 0);
    jr_log(gate->ctx, JR_EV_STOPPED, "name=%s", gate->settings.name);
    close_gate(gate);
    return 0;
}

int
main(int argc, char **argv)
{
    jr_program_t program = {
        .name = "jayrelay-gate",
        .summary =
            "Accepts jobs from clients and forwards them to the leader.",
        .kind = JR_SETTINGS_GATE,
    };
    jr_ctx_t *ctx = jr_new_ctx(program.name, stdout);
    jr_gate_t *gate = jr_alloc(ctx, sizeof *gate);
    int status;

    gate->ctx = ctx;
    signal(SIGPIPE, SIG_IGN);
    status = jr_program_start(ctx, &program, argc, argv, &gate->settings);
    gate->settings_path = program.settings_path;
    if (status < 0) {
        gate->loop = ev_default_loop(EVFLAG_AUTO);
        status = run(gate);
    }
    jr_free(ctx, gate);
    jr_drop_ctx(ctx);
    return status;
}
