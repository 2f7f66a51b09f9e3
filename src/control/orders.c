/*
 * Orders to workers: sent by HTTP from here, on behalf of this process or of
 * a leader that uses it as a carrier.
 */
#include <string.h>

#include "control.h"
#include "platform/platform.h"

/* An order that was sent to a worker and not answered yet. */
typedef struct {
    jr_control_t *control;
    jr_carry_session_t *session; /* NULL: of the group in this process */
    uint64_t serial;
    jr_order_kind_t kind;
    Jr__JobRun run;
    char *worker;
} sent_order_t;

static void
log_failed_order(jr_control_t *control, const sent_order_t *sent,
                 const jr_answer_t *answer, const jr_fetched_t *fetched)
{
    if (answer->kind == JR_ANSWER_DONE) {
        return;
    }
    jr_log_job(control->ctx, JR_EV_ORDER_FAILED, sent->run.job,
               "task=%016llx.%u.%u.%u attempt=%u worker=%s order=%d answer=%d "
               "status=%u error=%s body=%.80s",
               (unsigned long long)sent->run.job, sent->run.occurrence,
               sent->run.step, sent->run.index, sent->run.attempt,
               sent->worker, (int)sent->kind, (int)answer->kind,
               fetched->status, fetched->error, fetched->body);
}

static void
finish_order(sent_order_t *sent, const jr_answer_t *answer)
{
    jr_control_t *control = sent->control;

    if (sent->session != NULL) {
        jr_control_carry_answer(sent->session, sent->serial, answer);
    }
    else {
        jr_group_answer(control->groups[0], sent->serial, answer,
                        jr_clock_ms());
    }
}

static void
drop_sent_order(sent_order_t *sent)
{
    jr_ctx_t *ctx = sent->control->ctx;

    jr_free(ctx, sent->worker);
    jr_free(ctx, sent);
}

static void
on_order_answered(void *user, const jr_fetched_t *fetched)
{
    sent_order_t *sent = user;
    jr_control_t *control = sent->control;
    jr_platform_listing_t *listing;
    jr_answer_t answer;

    if (!control->is_stopping) {
        listing = jr_platform_decode_answer(control->ctx, sent->kind, fetched,
                                            &answer);
        log_failed_order(control, sent, &answer, fetched);
        finish_order(sent, &answer);
        jr_platform_drop_listing(listing);
    }
    drop_sent_order(sent);
}

static void
give_up(sent_order_t *sent, const jr_order_t *order, const char *reason)
{
    jr_answer_t answer = {.kind = JR_ANSWER_UNREACHED};

    jr_log(sent->control->ctx, JR_EV_ORDER_FAILED,
           "order %d for task %016llx.%u.%u.%u was not sent to worker %s: %s",
           (int)order->kind, (unsigned long long)order->run.job,
           order->run.occurrence, order->run.step, order->run.index,
           order->worker, reason);
    finish_order(sent, &answer);
    drop_sent_order(sent);
}

void
jr_control_send_order(jr_control_t *control, const jr_order_t *order,
                      jr_carry_session_t *session)
{
    jr_platform_order_t encoded;
    sent_order_t *sent = jr_alloc(control->ctx, sizeof *sent);
    jr_fetch_t fetch;

    sent->control = control;
    sent->session = session;
    sent->serial = order->serial;
    sent->kind = order->kind;
    sent->run = order->run;
    sent->worker = jr_strdup(control->ctx, order->worker);
    if (!jr_platform_encode_order(order, &encoded)) {
        give_up(sent, order, "its address is not valid");
        return;
    }
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
        give_up(sent, order, control->ctx->error.text);
    }
    jr_platform_order_clear(&encoded);
}
