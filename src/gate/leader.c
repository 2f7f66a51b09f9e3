/* Whether a leader exists and can be reached from this process. */
#include "gate.h"

#include <string.h>

#include "jayrelay/metrics.h"

enum {
    PROBE_TIMEOUT_MS = 1000,
    /* Longer than most elections: after this time there is no leader, or this
     * process cannot reach it. */
    LEADER_TIMEOUT_MS = 1600,
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
    return !gate->is_draining && jr_gate_is_leader_reachable(gate);
}

static void
answer_metrics(jr_gate_t *gate, jr_exchange_t *exchange)
{
    jr_gauge_t gauges[] = {
        {.name = "leader_age_ms",
         .help = "time since the leader answered",
         .value = (double)(jr_clock_ms() - gate->leader_answered_at)},
        {.name = "requests_open",
         .help = "requests that wait for the leader",
         .value = (double)jr_requester_count_open(gate->requester)},
    };
    char *text =
        jr_metrics_text(gate->ctx, gauges, sizeof gauges / sizeof gauges[0]);

    answer_text(exchange, OK, text);
    jr_free(gate->ctx, text);
}

static void
on_probe_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_gate_t *gate = user;

    (void)reply;
    gate->is_probing = false;
    jr_gate_record_answer(gate, code);
}

bool
jr_gate_is_leader_reachable(const jr_gate_t *gate)
{
    return gate->leader_answered_at > 0 &&
           jr_clock_ms() - gate->leader_answered_at <= LEADER_TIMEOUT_MS;
}

void
jr_gate_record_answer(jr_gate_t *gate, jr_result_t code)
{
    switch (code) {
    case JR_NO_QUORUM:
    case JR_UNKNOWN:
    case JR_NOT_LEADER:
        break;
    default:
        gate->leader_answered_at = jr_clock_ms();
        break;
    }
}

void
jr_gate_on_monitor(void *user, jr_exchange_t *exchange)
{
    jr_gate_t *gate = user;

    if (strcmp(jr_exchange_path(exchange), "/metrics") == 0) {
        answer_metrics(gate, exchange);
        return;
    }
    answer_text(exchange, is_ready(gate) ? OK : UNAVAILABLE, "");
}

/* When the leader becomes unreachable, open requests get a final answer at
 * once instead of near their deadlines. */
static void
update_reachability(jr_gate_t *gate)
{
    bool is_reachable = jr_gate_is_leader_reachable(gate);

    if (is_reachable != gate->was_leader_reachable) {
        gate->was_leader_reachable = is_reachable;
        jr_log(gate->ctx, JR_EV_LEADER_REACHED, "reached=%d open=%zu",
               is_reachable, jr_requester_count_open(gate->requester));
        if (!is_reachable) {
            jr_requester_abandon_all(gate->requester);
        }
    }
}

/*
 * The probe asks for the job count of a queue that does not exist. That is
 * cheap, and only a leader confirmed by a majority answers it.
 */
void
jr_gate_probe_leader(jr_gate_t *gate)
{
    static char none[] = "";
    Jr__JobAsk ask = JR__JOB_ASK__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    update_reachability(gate);
    if (gate->is_probing) {
        return;
    }
    gate->is_probing = true;
    ask.verb = JR__JOB_ASK__VERB__COUNT;
    ask.host = none;
    ask.path = none;
    request.body_case = JR__REQUEST__BODY_JOB_ASK;
    request.job_ask = &ask;
    jr_requester_send(gate->requester, &request, PROBE_TIMEOUT_MS,
                      on_probe_reply, gate);
}
