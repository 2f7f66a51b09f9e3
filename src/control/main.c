/* jayrelay-control: replicas of the consensus groups on one host. */
#include "control.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
    TICK_MS = 10,
    MAX_GRANTS = 256, /* proposed by a group in one tick */
    CANDIDATES = 16,  /* workers examined for one placement */
};

static const double DRAIN_S = 0.4;

static void
stop_loop(jr_control_t *control, int status)
{
    control->exit_status = status;
    ev_break(control->loop, EVBREAK_ALL);
}

/*
 * Processes pending work of all groups. A failed disk ends the process: votes
 * and entries that its replicas acknowledged may be lost, so they must not
 * take part in consensus any longer.
 */
static void
pump_groups(jr_control_t *control)
{
    int64_t now = jr_clock_ms();

    for (size_t g = 0; g < control->n_groups; g++) {
        jr_result_t result = JR_OK;

        if (control->groups[g] != NULL) {
            result = jr_group_pump(control->groups[g], now);
        }
        if (result != JR_OK) {
            jr_log(control->ctx, JR_EV_FATAL, "%s", control->ctx->error.text);
            stop_loop(control, jr_result_exit(result));
            return;
        }
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_control_t *control = timer->data;
    int64_t now = jr_clock_ms();

    (void)loop;
    (void)events;
    for (size_t g = 0; g < control->n_groups; g++) {
        if (control->groups[g] != NULL) {
            jr_group_tick(control->groups[g], now);
        }
    }
    if (control->carry != NULL) {
        jr_carry_tick(control->carry, now);
    }
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    jr_control_t *control = prepare->data;
    int64_t pumped_at, sent_at, ended_at;
    int64_t began_at = jr_clock_ms();

    (void)loop;
    (void)events;
    pump_groups(control);
    pumped_at = jr_clock_ms();
    if (control->carry != NULL) {
        jr_control_send_orders(control);
        jr_carry_send_queued(control->carry);
        jr_carry_flush(control->carry);
    }
    sent_at = jr_clock_ms();
    jr_observe(control->ctx, JR_H_LOOP_EVENTS,
               began_at - control->iteration_start_ms);
    jr_observe(control->ctx, JR_H_LOOP_GROUPS, pumped_at - began_at);
    jr_observe(control->ctx, JR_H_LOOP_ORDERS, sent_at - pumped_at);
    jr_log_flush(control->ctx);
    ended_at = jr_clock_ms();
    jr_observe(control->ctx, JR_H_LOOP,
               ended_at - control->iteration_start_ms);
    jr_control_note_turn(control, ended_at - control->iteration_start_ms,
                         ended_at);
}

static void
on_check(struct ev_loop *loop, ev_check *check, int events)
{
    jr_control_t *control = check->data;

    (void)loop;
    (void)events;
    control->iteration_start_ms = jr_clock_ms();
}

void
jr_control_on_rules(void *user, uint64_t version, const char *text)
{
    jr_control_t *control = user;
    jr_rules_t *rules = jr_new_rules(control->ctx, text, NULL);

    if (rules == NULL) {
        return;
    }
    jr_drop_rules(control->rules);
    jr_free(control->ctx, control->rules_text);
    control->rules_text = jr_strdup(control->ctx, text);
    control->rules = rules;
    jr_log(control->ctx, JR_EV_RULES_IN_FORCE, "version %llu",
           (unsigned long long)version);
    for (size_t g = 1; g < control->n_groups; g++) {
        if (control->groups[g] != NULL) {
            jr_group_set_rules(control->groups[g], rules);
        }
    }
}

static void
on_drained(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    stop_loop(timer->data, 0);
}

/*
 * Drains on SIGTERM or SIGINT: hands over the leadership of all groups, then
 * leaves DRAIN_S for requests in progress before the loop ends.
 */
static void
on_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
    jr_control_t *control = signal->data;

    (void)events;
    if (control->is_draining) {
        return;
    }
    control->is_draining = true;
    jr_log(control->ctx, JR_EV_DRAINING, "received signal %d", signal->signum);
    for (size_t g = 0; g < control->n_groups; g++) {
        if (control->groups[g] != NULL) {
            jr_group_transfer(control->groups[g]);
        }
    }
    ev_timer_init(&control->drain, on_drained, DRAIN_S, 0.0);
    control->drain.data = control;
    ev_timer_start(loop, &control->drain);
}

static jr_group_options_t
group_options(jr_control_t *control, size_t g)
{
    const jr_settings_t *s = &control->settings;
    int64_t own = 0;

    while (own < s->n_controls &&
           strcmp(s->controls[own].name, s->name) != 0) {
        own++;
    }
    return (jr_group_options_t){
        .kind = s->jobs  ? JR_GROUP_JOBS
                : g == 0 ? JR_GROUP_RULES
                         : JR_GROUP_LEDGER,
        .quorum = {.group = (uint32_t)g,
                   .self = control->replica_id,
                   .seed = g_random_int(),
                   .election_ms = s->election_ms,
                   .heartbeat_ms = s->heartbeat_ms,
                   .voters = s->jobs ? (size_t)s->replicas : 0,
                   .is_preferred_leader = (int64_t)g % s->n_controls == own},
        .coord = {.n_groups = (uint32_t)s->groups,
                  .seed = g_random_int(),
                  .max_grants = MAX_GRANTS,
                  .lease = {.lease_ms = s->lease_ms,
                            .drift_permille = s->drift_permille},
                  .policy = {.kind = JR_PLACE_SCORED,
                             .as.scored.candidates = CANDIDATES},
                  .evict = JR_EVICT_CHEAPEST},
        .dispatch = {.lease_ms = s->lease_ms,
                     .failover_ms = s->failover_ms > 0
                                        ? s->settle_ms + s->failover_ms
                                        : 0,
                     .drift_permille = s->drift_permille,
                     .hold_wait_ms = s->hold_wait_ms,
                     .far_permille = s->far_permille},
        .snapshot_every = (uint64_t)s->snapshot_every,
        .wall_offset = jr_wall_ms() - jr_clock_ms(),
        .hooks = {.send = jr_control_on_send,
                  .reply = jr_control_on_reply,
                  .rules = jr_control_on_rules,
                  .user = control},
    };
}

/* Group 0 is opened last: its rules are then passed to the open groups. */
static jr_result_t
open_groups(jr_control_t *control)
{
    for (size_t k = 0; k < control->n_groups; k++) {
        size_t g = (k + 1) % control->n_groups;
        jr_group_options_t options = group_options(control, g);

        if (!jr_control_hosts(control, g)) {
            continue;
        }
        control->stores[g] = jr_control_open_store(control, g);
        if (control->stores[g] == NULL) {
            return control->ctx->error.code;
        }
        control->groups[g] = jr_new_group(control->ctx, &options,
                                          control->stores[g], jr_clock_ms());
        if (control->groups[g] == NULL) {
            return control->ctx->error.code;
        }
    }
    return JR_OK;
}

static jr_result_t
connect_controls(jr_control_t *control)
{
    const jr_settings_t *s = &control->settings;
    int peers[JR_CONTROLS_MAX];
    size_t n = 0;

    for (int64_t i = 0; i < s->n_controls; i++) {
        int peer = jr_bus_connect(control->bus, s->controls[i].name,
                                  s->controls[i].bus);

        if (peer < 0) {
            return JR_NETWORK;
        }
        peers[n++] = peer;
    }
    control->requester =
        jr_new_requester(control->ctx, control->loop, control->bus, peers, n);
    return JR_OK;
}

static jr_result_t
open_control(jr_control_t *control)
{
    const jr_settings_t *s = &control->settings;
    jr_bus_keys_t keys;
    jr_result_t result = jr_bus_keys_read(control->ctx, s->key_file, &keys);

    if (result == JR_OK) {
        result = jr_control_load_replica_id(control);
    }
    if (result == JR_OK && s->jobs) {
        result = jr_control_init_jobs(control);
    }
    if (result == JR_OK) {
        result = open_groups(control);
    }
    if (result != JR_OK) {
        return result;
    }
    control->bus = jr_new_bus(control->ctx, control->loop, s->name, s->bus,
                              &keys, jr_control_on_envelope, control);
    if (control->bus == NULL) {
        return JR_NETWORK;
    }
    result = connect_controls(control);
    if (result != JR_OK) {
        return result;
    }
    control->client = jr_new_client(control->ctx, control->loop);
    if (s->jobs) {
        control->carry = jr_new_carry(control);
    }
    control->http = jr_new_http(
        control->ctx, control->loop, s->http,
        s->jobs ? jr_control_on_job_http : jr_control_on_http, control);
    if (control->http != NULL && *s->metrics != '\0') {
        control->metrics_http =
            jr_new_http(control->ctx, control->loop, s->metrics,
                        jr_control_on_http, control);
        return control->metrics_http != NULL ? JR_OK : JR_NETWORK;
    }
    return control->http != NULL ? JR_OK : JR_NETWORK;
}

/* After control processes are replaced, reloaded seeds list new peers. */
static void
on_settings(void *user, const jr_settings_t *settings)
{
    jr_control_t *control = user;

    for (int64_t i = 0; settings->jobs && i < settings->n_controls; i++) {
        int peer = jr_bus_connect(control->bus, settings->controls[i].name,
                                  settings->controls[i].bus);

        if (peer >= 0) {
            jr_requester_add_peer(control->requester, peer);
        }
    }
}

static void
start_watchers(jr_control_t *control)
{
    struct ev_loop *loop = control->loop;

    ev_timer_init(&control->tick, on_tick, 0.0, TICK_MS / 1000.0);
    control->tick.data = control;
    ev_timer_start(loop, &control->tick);
    ev_prepare_init(&control->prepare, on_prepare);
    control->prepare.data = control;
    ev_prepare_start(loop, &control->prepare);
    ev_check_init(&control->check, on_check);
    ev_set_priority(&control->check, EV_MAXPRI);
    control->check.data = control;
    ev_check_start(loop, &control->check);
    control->iteration_start_ms = jr_clock_ms();
    control->load.since = control->iteration_start_ms;
    ev_signal_init(&control->sigterm, on_signal, SIGTERM);
    control->sigterm.data = control;
    ev_signal_start(loop, &control->sigterm);
    ev_signal_init(&control->sigint, on_signal, SIGINT);
    control->sigint.data = control;
    ev_signal_start(loop, &control->sigint);
    jr_control_watch_rules(control);
    control->watch =
        jr_new_watch(control->ctx, control->loop, control->settings_path,
                     JR_SETTINGS_CONTROL, on_settings, control);
    if (control->groups[0] == NULL) {
        jr_control_poll_rules(control);
    }
    jr_control_start_joining(control);
}

static void
close_control(jr_control_t *control)
{
    control->is_stopping = true;
    jr_drop_watch(control->watch);
    jr_drop_client(control->client);
    jr_drop_carry(control->carry);
    jr_requester_abandon_all(control->requester); /* answers callers */
    jr_drop_http(control->http);
    jr_drop_http(control->metrics_http);
    jr_drop_requester(control->requester);
    for (size_t g = 0; g < control->n_groups; g++) {
        jr_drop_group(control->groups[g]);
        jr_drop_store(control->stores[g]);
    }
    jr_drop_bus(control->bus);
    jr_drop_rules(control->rules);
    jr_free(control->ctx, control->rules_text);
    jr_free(control->ctx, control->join_tickets);
    jr_free(control->ctx, control->groups);
    jr_free(control->ctx, control->stores);
}

static int
run(jr_control_t *control, bool init)
{
    jr_result_t result;

    control->n_groups =
        control->settings.jobs ? 1 : (size_t)control->settings.groups + 1;
    control->groups =
        jr_alloc(control->ctx, control->n_groups * sizeof(jr_group_t *));
    control->stores =
        jr_alloc(control->ctx, control->n_groups * sizeof(jr_store_t *));
    control->join_tickets =
        jr_alloc(control->ctx, control->n_groups * sizeof(jr_join_ticket_t));
    result = init ? jr_control_init(control) : open_control(control);
    if (result != JR_OK) {
        jr_log(control->ctx, JR_EV_FATAL, "%s", control->ctx->error.text);
        control->exit_status = jr_result_exit(result);
    }
    else if (!init) {
        start_watchers(control);
        jr_log(control->ctx, JR_EV_STARTED, "%s in zone %s",
               control->settings.name, control->settings.zone);
        ev_run(control->loop, 0);
        jr_log(control->ctx, JR_EV_STOPPED, "%s", control->settings.name);
    }
    close_control(control);
    return control->exit_status;
}

int
main(int argc, char **argv)
{
    jr_program_t program = {
        .name = "jayrelay-control",
        .summary = "Replicas of jayrelay's consensus groups: rules, tasks "
                   "and leases.",
        .kind = JR_SETTINGS_CONTROL,
        .has_init = true,
    };
    jr_ctx_t *ctx = jr_new_ctx(program.name, stdout);
    jr_control_t *control = jr_alloc(ctx, sizeof *control);
    int status;

    control->ctx = ctx;
    ctx->log_is_buffered = true;
    signal(SIGPIPE, SIG_IGN);
    /* A write beyond the file size limit must fail, not end the process. */
    signal(SIGXFSZ, SIG_IGN);
    status = jr_program_start(ctx, &program, argc, argv, &control->settings);
    control->settings_path = program.settings_path;
    if (status < 0) {
        control->loop = ev_default_loop(EVFLAG_AUTO);
        status = run(control, program.init);
    }
    g_free(control->settings_path);
    jr_free(ctx, control);
    jr_drop_ctx(ctx);
    return status;
}
