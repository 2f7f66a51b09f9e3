/* Private to jayrelay-gate. */
#ifndef JR_GATE_GATE_H
#define JR_GATE_GATE_H

#include <ev.h>

#include "jayrelay/ask.h"
#include "jayrelay/http.h"
#include "jayrelay/program.h"
#include "jayrelay/watch.h"

typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_settings_t settings;
    char *settings_path;
    jr_watch_t *watch;
    jr_bus_t *bus;
    jr_requester_t *requester;
    jr_http_t *http;
    jr_http_t *ready_http;
    jr_http_t *metrics_http;
    int64_t leader_answered_at; /* time of its last answer, 0 for none */
    bool was_leader_reachable;
    bool is_probing;
    bool is_draining;
    int64_t drain_began_at;
    ev_prepare flush;
    ev_timer probe;
    ev_timer drain;
    ev_signal sigterm;
    ev_signal sigint;
} jr_gate_t;

/* requests.c: handles a request from a client. */
void jr_gate_on_client(void *user, jr_exchange_t *exchange);

/* leader.c: whether a leader exists and can be reached from this process. */
bool jr_gate_is_leader_reachable(const jr_gate_t *gate);
/* Records the outcome of a request. Some outcomes show that a leader gave the
 * answer. */
void jr_gate_record_answer(jr_gate_t *gate, jr_result_t code);
/* Updates the state of the leader and sends a probe unless one is open. */
void jr_gate_probe_leader(jr_gate_t *gate);
/* Serves readiness and metrics. */
void jr_gate_on_monitor(void *user, jr_exchange_t *exchange);

#endif
