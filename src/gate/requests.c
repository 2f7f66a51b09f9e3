/* Requests of clients: decoded, asked of the leader, answered. */
#include "gate.h"

#include <glib.h>
#include <string.h>

#include "platform/platform.h"

enum {
    ANSWER_MARGIN_MS = 150, /* before the caller stops waiting */
    LONGEST_ASK_MS = 2500,
    SHORTEST_ASK_MS = 100,
    ID_ROOM_BYTES = 20, /* more than an id has */
};

/* A request that waits for the leader. */
typedef struct {
    jr_gate_t *gate;
    jr_exchange_t *exchange;
    jr_platform_call_t call;
    int64_t arrived_at;
} waiting_t;

static void
count_answer(jr_ctx_t *ctx, jr_result_t code)
{
    switch (code) {
    case JR_OK:
        jr_count(ctx, JR_C_CALLS_ANSWERED);
        break;
    case JR_BAD_REQUEST:
        jr_count(ctx, JR_C_REFUSED_BAD_REQUEST);
        break;
    case JR_NOT_FOUND:
        jr_count(ctx, JR_C_REFUSED_NO_QUEUE);
        break;
    case JR_GONE:
        jr_count(ctx, JR_C_REFUSED_NO_JOB);
        break;
    case JR_NO_CONFIG:
        jr_count(ctx, JR_C_REFUSED_NO_CONFIG);
        break;
    case JR_UNKNOWN:
        jr_count(ctx, JR_C_ANSWERED_UNKNOWN);
        break;
    default:
        jr_count(ctx, JR_C_REFUSED_NO_QUORUM);
        break;
    }
}

static void
on_asked(void *user, jr_result_t code, const Jr__Reply *reply)
{
    waiting_t *waiting = user;
    jr_gate_t *gate = waiting->gate;
    const char *path = jr_exchange_path(waiting->exchange);
    const char *id = strrchr(path, '/');
    char room[ID_ROOM_BYTES];
    unsigned status;

    jr_gate_note_answer(gate, code);
    count_answer(gate->ctx, code);
    jr_observe(gate->ctx, JR_H_ANSWER, jr_clock_ms() - waiting->arrived_at);
    status = jr_platform_answer(waiting->exchange, waiting->call, code, reply);
    if (waiting->call != JR_CALL_SHOW && waiting->call != JR_CALL_COUNT) {
        jr_log(gate->ctx, JR_EV_JOB_ANSWERED,
               "job=%s call=%d code=%s status=%u after_ms=%lld",
               jr_log_value(room, sizeof room, id != NULL ? id + 1 : ""),
               (int)waiting->call, jr_result_name(code), status,
               (long long)(jr_clock_ms() - waiting->arrived_at));
    }
    jr_free(gate->ctx, waiting);
}

static void
ask_leader(jr_gate_t *gate, jr_exchange_t *exchange,
           jr_platform_request_t *request)
{
    waiting_t *waiting = jr_alloc(gate->ctx, sizeof *waiting);
    int64_t timeout = CLAMP(request->time_left_ms - ANSWER_MARGIN_MS,
                            SHORTEST_ASK_MS, LONGEST_ASK_MS);

    waiting->gate = gate;
    waiting->exchange = exchange;
    waiting->call = request->call;
    waiting->arrived_at = jr_clock_ms();
    jr_requester_send(gate->asker, request->request, timeout, on_asked,
                      waiting);
}

void
jr_gate_on_client(void *user, jr_exchange_t *exchange)
{
    jr_gate_t *gate = user;
    jr_platform_request_t request;

    jr_count(gate->ctx, JR_C_CALLS);
    jr_platform_client_request(gate->ctx, exchange, &request);
    switch (request.call) {
    case JR_CALL_BAD:
        jr_count(gate->ctx, JR_C_REFUSED_BAD_REQUEST);
        jr_platform_answer(exchange, request.call, JR_BAD_REQUEST, NULL);
        break;
    case JR_CALL_UNKNOWN:
        jr_platform_answer(exchange, request.call, JR_NOT_FOUND, NULL);
        break;
    default:
        if (!jr_gate_knows_leader(gate)) {
            /* Nothing was sent on, so the request has not run. */
            jr_count(gate->ctx, JR_C_REFUSED_NO_QUORUM);
            jr_platform_answer(exchange, request.call, JR_NO_QUORUM, NULL);
            break;
        }
        ask_leader(gate, exchange, &request);
        break;
    }
    jr_platform_request_clear(&request);
}
