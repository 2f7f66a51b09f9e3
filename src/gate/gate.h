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
    jr_requester_t *asker;
    jr_http_t *http;
    jr_http_t *ready_http;
    jr_http_t *metrics_http;
    int64_t leader_seen_at; /* 0: never */
    bool knew_leader;
    bool is_probing;
    bool is_draining;
    int64_t drain_began_at;
    ev_prepare flush;
    ev_timer probe;
    ev_timer drain;
    ev_signal sigterm;
    ev_signal sigint;
} jr_gate_t;

/* requests.c: what clients ask. */
void jr_gate_on_client(void *user, jr_exchange_t *exchange);

/* leader.c: is there a leader, and can it be reached from here? */
bool jr_gate_knows_leader(const jr_gate_t *gate);
/* An answer came; some show that a leader gave it. */
void jr_gate_note_answer(jr_gate_t *gate, jr_result_t code);
void jr_gate_watch_leader(jr_gate_t *gate);
/* Readiness and metrics. */
void jr_gate_on_ready(void *user, jr_exchange_t *exchange);

#endif
