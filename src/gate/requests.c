/* Client requests: decoded, forwarded to the leader and answered. */
#include "gate.h"

#include <glib.h>
#include <string.h>

#include "platform/platform.h"

enum {
    ANSWER_MARGIN_MS = 150, /* before the caller stops waiting */
    /* Bounds on the wait for the leader, whatever time the caller has. */
    ASK_MAX_MS = 2500,
    ASK_MIN_MS = 100,
    ID_BUF_BYTES = 20, /* an id has 16 digits */
};

/* A request that was sent to the leader and not answered yet. */
typedef struct {
    jr_gate_t *gate;
    jr_exchange_t *exchange;
    jr_platform_call_t call;
    int64_t arrived_at;
} pending_request_t;

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
    case JR_OVERLOADED:
        jr_count(ctx, JR_C_REFUSED_OVERLOAD);
        break;
    case JR_NO_UPSTREAM:
        jr_count(ctx, JR_C_REFUSED_NO_UPSTREAM);
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
on_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    pending_request_t *pending = user;
    jr_gate_t *gate = pending->gate;
    const char *path = jr_exchange_path(pending->exchange);
    const char *id = strrchr(path, '/');
    char buf[ID_BUF_BYTES];
    unsigned status;

    jr_gate_record_answer(gate, code);
    count_answer(gate->ctx, code);
    jr_observe(gate->ctx, JR_H_ANSWER, jr_clock_ms() - pending->arrived_at);
    status = jr_platform_answer(pending->exchange, pending->call, code, reply);
    if (pending->call != JR_CALL_SHOW && pending->call != JR_CALL_COUNT) {
        jr_log(gate->ctx, JR_EV_JOB_ANSWERED,
               "job=%s call=%d code=%s status=%u after_ms=%lld",
               jr_log_value(buf, sizeof buf, id != NULL ? id + 1 : ""),
               (int)pending->call, jr_result_name(code), status,
               (long long)(jr_clock_ms() - pending->arrived_at));
    }
    jr_free(gate->ctx, pending);
}

static void
ask_leader(jr_gate_t *gate, jr_exchange_t *exchange,
           jr_platform_request_t *request)
{
    pending_request_t *pending = jr_alloc(gate->ctx, sizeof *pending);
    int64_t timeout = CLAMP(request->time_left_ms - ANSWER_MARGIN_MS,
                            ASK_MIN_MS, ASK_MAX_MS);

    pending->gate = gate;
    pending->exchange = exchange;
    pending->call = request->call;
    pending->arrived_at = jr_clock_ms();
    jr_requester_send(gate->requester, request->request, timeout, on_reply,
                      pending);
}

void
jr_gate_on_client(void *user, jr_exchange_t *exchange)
{
    jr_gate_t *gate = user;
    jr_platform_request_t request;

    jr_count(gate->ctx, JR_C_CALLS);
    jr_platform_decode_client_request(gate->ctx, exchange, &request);
    switch (request.call) {
    case JR_CALL_BAD:
        jr_count(gate->ctx, JR_C_REFUSED_BAD_REQUEST);
        jr_platform_answer(exchange, request.call, JR_BAD_REQUEST, NULL);
        break;
    case JR_CALL_UNKNOWN:
        jr_platform_answer(exchange, request.call, JR_NOT_FOUND, NULL);
        break;
    default:
        if (!jr_gate_is_leader_reachable(gate)) {
            /* Nothing was forwarded, so the request was not executed. */
            jr_count(gate->ctx, JR_C_REFUSED_NO_QUORUM);
            jr_platform_answer(exchange, request.call, JR_NO_QUORUM, NULL);
            break;
        }
        ask_leader(gate, exchange, &request);
        break;
    }
    jr_platform_request_clear(&request);
}
