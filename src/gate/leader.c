/* Is there a leader, and can it be reached from here? */
#include "gate.h"

#include <string.h>

#include "jayrelay/metrics.h"

enum {
    PROBE_ASK_MS = 1000,
    /* Longer than most elections: then nobody can serve, or not from here. */
    LEADER_LOST_MS = 1600,
    OK = 200,
    UNAVAILABLE = 503,
};

static void
answer_text(jr_exchange_t *exchange, unsigned status, const char *text)
{
    jr_http_answer(exchange, status, NULL, 0, text, strlen(text));
}

static bool
is_ready(const jr_gate_t *gate)
{
    return !gate->is_draining && jr_gate_knows_leader(gate);
}

static void
answer_metrics(jr_gate_t *gate, jr_exchange_t *exchange)
{
    jr_gauge_t gauges[] = {
        {"leader_age_ms", "time since the leader answered",
         (double)(jr_clock_ms() - gate->leader_seen_at)},
        {"requests_open", "requests that wait for the leader",
         (double)jr_requester_count_open(gate->asker)},
    };
    char *text =
        jr_metrics_text(gate->ctx, gauges, sizeof gauges / sizeof gauges[0]);

    answer_text(exchange, OK, text);
    jr_free(gate->ctx, text);
}

static void
on_probed(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_gate_t *gate = user;

    (void)reply;
    gate->is_probing = false;
    jr_gate_note_answer(gate, code);
}

bool
jr_gate_knows_leader(const jr_gate_t *gate)
{
    return gate->leader_seen_at > 0 &&
           jr_clock_ms() - gate->leader_seen_at <= LEADER_LOST_MS;
}

void
jr_gate_note_answer(jr_gate_t *gate, jr_result_t code)
{
    switch (code) {
    case JR_NO_QUORUM:
    case JR_UNKNOWN:
    case JR_NOT_LEADER:
        break;
    default:
        gate->leader_seen_at = jr_clock_ms();
        break;
    }
}

void
jr_gate_on_ready(void *user, jr_exchange_t *exchange)
{
    jr_gate_t *gate = user;

    if (strcmp(jr_exchange_path(exchange), "/metrics") == 0) {
        answer_metrics(gate, exchange);
        return;
    }
    answer_text(exchange, is_ready(gate) ? OK : UNAVAILABLE, "");
}

/* Whoever waits gets a final answer now instead of one near the deadline. */
static void
follow_leader(jr_gate_t *gate)
{
    bool knows = jr_gate_knows_leader(gate);

    if (knows != gate->knew_leader) {
        gate->knew_leader = knows;
        jr_log(gate->ctx, JR_EV_LEADER_REACHED, "reached=%d open=%zu", knows,
               jr_requester_count_open(gate->asker));
        if (!knows) {
            jr_requester_abandon_all(gate->asker);
        }
    }
}

/*
 * Asks for the count of a queue that does not exist: cheap, and only a leader
 * that a majority confirmed answers it.
 */
void
jr_gate_watch_leader(jr_gate_t *gate)
{
    static char none[] = "";
    Jr__JobAsk ask = JR__JOB_ASK__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    follow_leader(gate);
    if (gate->is_probing) {
        return;
    }
    gate->is_probing = true;
    ask.verb = JR__JOB_ASK__VERB__COUNT;
    ask.host = none;
    ask.path = none;
    request.body_case = JR__REQUEST__BODY_JOB_ASK;
    request.job_ask = &ask;
    jr_requester_send(gate->asker, &request, PROBE_ASK_MS, on_probed, gate);
}
