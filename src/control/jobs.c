/* The job group on this process: requests over HTTP, orders to workers. */
#include "control.h"

#include <glib.h>
#include <string.h>

#include "platform/platform.h"

enum {
    ASK_MS = 900, /* callers go elsewhere after a second */
    READY = 200,
    NOT_READY = 503,
    NOT_FOUND = 404,
    ORDERS_PER_TURN = 128, /* so that elections do not wait for them */
};

/* A request that waits for the leader. */
typedef struct {
    jr_control_t *control;
    jr_exchange_t *exchange;
    jr_platform_call_t call;
    uint64_t version; /* of a configuration */
} waiting_t;

/* An order that waits for its answer. */
typedef struct {
    jr_control_t *control;
    uint64_t serial;
    jr_order_kind_t kind;
    Jr__JobRun run;
} sent_t;

static void
answer_status(jr_exchange_t *exchange, unsigned status, const char *text)
{
    jr_http_answer(exchange, status, NULL, 0, text, strlen(text));
}

static void
on_asked(void *user, jr_result_t code, const Jr__Reply *reply)
{
    waiting_t *waiting = user;
    jr_ctx_t *ctx = waiting->control->ctx;
    unsigned status =
        jr_platform_answer(waiting->exchange, waiting->call, code, reply);

    if (waiting->call == JR_CALL_PUT_CONFIG) {
        jr_log(ctx, JR_EV_CONFIG_ACCEPTED, "version=%llu code=%s status=%u",
               (unsigned long long)waiting->version, jr_result_name(code),
               status);
    }
    jr_free(ctx, waiting);
}

static void
ask_leader(jr_control_t *control, jr_exchange_t *exchange,
           jr_platform_request_t *request)
{
    waiting_t *waiting = jr_alloc(control->ctx, sizeof *waiting);

    waiting->control = control;
    waiting->exchange = exchange;
    waiting->call = request->call;
    if (request->call == JR_CALL_PUT_CONFIG) {
        waiting->version = request->request->job_command->config->version;
    }
    jr_requester_send(control->asker, request->request, ASK_MS, on_asked,
                      waiting);
}

static void
refuse_bad(jr_control_t *control, jr_exchange_t *exchange,
           jr_platform_call_t call)
{
    jr_count(control->ctx, JR_C_REFUSED_BAD_REQUEST);
    jr_log(control->ctx, JR_EV_CONFIG_REFUSED, "path=%s reason=%s",
           jr_exchange_path(exchange), control->ctx->error.text);
    jr_platform_answer(exchange, call, JR_BAD_REQUEST, NULL);
}

void
jr_control_on_job_http(void *user, jr_exchange_t *exchange)
{
    jr_control_t *control = user;
    jr_platform_request_t request;

    jr_platform_decode_control_request(control->ctx, exchange, &request);
    switch (request.call) {
    case JR_CALL_BAD:
        refuse_bad(control, exchange, request.call);
        break;
    case JR_CALL_UNKNOWN:
        answer_status(exchange, NOT_FOUND, "{}");
        break;
    case JR_CALL_READY:
        answer_status(exchange, control->is_draining ? NOT_READY : READY, "");
        break;
    case JR_CALL_METRICS: {
        char *text = jr_control_metrics(control);

        answer_status(exchange, READY, text);
        jr_free(control->ctx, text);
        break;
    }
    default:
        ask_leader(control, exchange, &request);
        break;
    }
    jr_platform_request_clear(&request);
}

static void
log_failed(jr_control_t *control, const sent_t *sent,
           const jr_answer_t *answer, const jr_fetched_t *fetched)
{
    if (answer->kind == JR_ANSWER_DONE) {
        return;
    }
    jr_log(control->ctx, JR_EV_ORDER_FAILED,
           "task=%016llx.%u.%u.%u attempt=%u order=%d answer=%d status=%u "
           "error=%s body=%.80s",
           (unsigned long long)sent->run.job, sent->run.occurrence,
           sent->run.step, sent->run.index, sent->run.attempt, (int)sent->kind,
           (int)answer->kind, fetched->status, fetched->error, fetched->body);
}

static void
on_order_answered(void *user, const jr_fetched_t *fetched)
{
    sent_t *sent = user;
    jr_control_t *control = sent->control;
    jr_platform_listing_t *listing;
    jr_answer_t answer;

    if (!control->is_stopping) {
        listing = jr_platform_decode_answer(control->ctx, sent->kind, fetched,
                                            &answer);
        log_failed(control, sent, &answer, fetched);
        jr_group_answer(control->groups[0], sent->serial, &answer,
                        jr_clock_ms());
        jr_platform_drop_listing(listing);
    }
    jr_free(control->ctx, sent);
}

static void
send_order(jr_control_t *control, const jr_order_t *order)
{
    jr_platform_order_t encoded;
    sent_t *sent = jr_alloc(control->ctx, sizeof *sent);
    jr_fetch_t fetch;

    sent->control = control;
    sent->serial = order->serial;
    sent->kind = order->kind;
    sent->run = order->run;
    jr_platform_encode_order(order, &encoded);
    fetch = (jr_fetch_t){
        .method = "POST",
        .url = encoded.url,
        .headers = encoded.headers,
        .n_headers = JR_PLATFORM_HEADERS,
        .body = encoded.body,
        .len = strlen(encoded.body),
        .timeout_ms = order->timeout_ms,
        .handler = on_order_answered,
        .user = sent,
    };
    if (jr_client_fetch(control->client, &fetch) != JR_OK) {
        jr_answer_t answer = {.kind = JR_ANSWER_UNREACHED};

        jr_log(control->ctx, JR_EV_ORDER_FAILED, "%s",
               control->ctx->error.text);
        jr_group_answer(control->groups[0], order->serial, &answer,
                        jr_clock_ms());
        jr_free(control->ctx, sent);
    }
    jr_platform_order_clear(&encoded);
}

void
jr_control_send_orders(jr_control_t *control)
{
    jr_order_t order;

    for (int i = 0; i < ORDERS_PER_TURN &&
                    jr_group_take_order(control->groups[0], &order);
         i++) {
        send_order(control, &order);
    }
}
