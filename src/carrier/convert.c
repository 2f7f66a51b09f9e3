/* Conversion of orders and answers to and from their messages. */
#include <string.h>

#include "jayrelay/carrier.h"

void
jr_order_pack(const jr_order_t *order, Jr__Order *to)
{
    jr__order__init(to);
    to->serial = order->serial;
    to->worker = (char *)order->worker;
    to->address = (char *)order->address;
    to->fence = order->fence;
    to->timeout_ms = order->timeout_ms;
    switch (order->kind) {
    case JR_ORDER_START:
        to->kind = JR__ORDER__KIND__START;
        to->run = (Jr__JobRun *)&order->run;
        to->payload = (char *)order->as.start.payload;
        to->checkpoint = (char *)order->as.start.checkpoint;
        to->expires_ms = order->as.start.expires_ms;
        break;
    case JR_ORDER_STOP:
        to->kind = JR__ORDER__KIND__STOP;
        to->run = (Jr__JobRun *)&order->run;
        break;
    case JR_ORDER_RENEW:
        to->kind = JR__ORDER__KIND__RENEW;
        to->expires_ms = order->as.renew.expires_ms;
        to->ends_seen = order->as.renew.ends_seen;
        to->wait_ms = order->as.renew.wait_ms;
        break;
    case JR_ORDER_PACE:
        to->kind = JR__ORDER__KIND__PACE;
        to->run = (Jr__JobRun *)&order->run;
        to->percent = order->as.pace.percent;
        break;
    }
}

jr_result_t
jr_order_unpack(jr_ctx_t *ctx, const Jr__Order *from, jr_order_t *to)
{
    *to = (jr_order_t){
        .serial = from->serial,
        .worker = from->worker,
        .address = from->address,
        .zone = "",
        .fence = from->fence,
        .timeout_ms = from->timeout_ms,
    };
    if (from->kind != JR__ORDER__KIND__RENEW && from->run == NULL) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "order %llu for worker %s names no run",
                       (unsigned long long)from->serial, from->worker);
    }
    if (from->run != NULL) {
        to->run = *from->run;
    }
    switch (from->kind) {
    case JR__ORDER__KIND__START:
        to->kind = JR_ORDER_START;
        to->as.start.payload = from->payload;
        to->as.start.checkpoint = from->checkpoint;
        to->as.start.expires_ms = from->expires_ms;
        return JR_OK;
    case JR__ORDER__KIND__STOP:
        to->kind = JR_ORDER_STOP;
        return JR_OK;
    case JR__ORDER__KIND__RENEW:
        to->kind = JR_ORDER_RENEW;
        to->as.renew.expires_ms = from->expires_ms;
        to->as.renew.ends_seen = from->ends_seen;
        to->as.renew.wait_ms = from->wait_ms;
        return JR_OK;
    case JR__ORDER__KIND__PACE:
        to->kind = JR_ORDER_PACE;
        to->as.pace.percent = from->percent;
        return JR_OK;
    default:
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "order %llu for worker %s is of unknown kind %d",
                       (unsigned long long)from->serial, from->worker,
                       (int)from->kind);
    }
}

/* The lists of an answer as messages. */
typedef struct {
    Jr__RunningRun *running;
    Jr__RunningRun **running_pointers;
    Jr__JobEnd *ended;
    Jr__JobEnd **ended_pointers;
} message_rows_t;

static char *
or_empty(const char *text)
{
    static char empty[] = "";

    return text != NULL ? (char *)text : empty;
}

static void
fill_running(const jr_answer_t *answer, message_rows_t *rows)
{
    for (size_t i = 0; i < answer->n_running; i++) {
        const jr_running_t *from = &answer->running[i];
        Jr__RunningRun *to = &rows->running[i];

        jr__running_run__init(to);
        to->run = (Jr__JobRun *)&from->run;
        to->checkpoint = or_empty(from->checkpoint);
        to->percent = from->percent;
        to->gauge = from->gauge;
        rows->running_pointers[i] = to;
    }
}

static void
fill_ended(const jr_answer_t *answer, message_rows_t *rows)
{
    for (size_t i = 0; i < answer->n_ended; i++) {
        const jr_ended_t *from = &answer->ended[i];
        Jr__JobEnd *to = &rows->ended[i];

        jr__job_end__init(to);
        to->number = from->number;
        to->run = (Jr__JobRun *)&from->run;
        to->how = from->how;
        to->checkpoint = or_empty(from->checkpoint);
        rows->ended_pointers[i] = to;
    }
}

static void
alloc_rows(jr_ctx_t *ctx, const jr_answer_t *answer, message_rows_t *rows)
{
    size_t n = answer->n_running + 1;
    size_t m = answer->n_ended + 1;

    rows->running = jr_alloc(ctx, n * sizeof *rows->running);
    rows->running_pointers = jr_alloc(ctx, n * sizeof(Jr__RunningRun *));
    rows->ended = jr_alloc(ctx, m * sizeof *rows->ended);
    rows->ended_pointers = jr_alloc(ctx, m * sizeof(Jr__JobEnd *));
}

static void
free_rows(jr_ctx_t *ctx, message_rows_t *rows)
{
    jr_free(ctx, rows->running);
    jr_free(ctx, rows->running_pointers);
    jr_free(ctx, rows->ended);
    jr_free(ctx, rows->ended_pointers);
}

uint8_t *
jr_answer_pack(jr_ctx_t *ctx, uint64_t serial, const jr_answer_t *answer,
               size_t *len)
{
    Jr__OrderAnswer message = JR__ORDER_ANSWER__INIT;
    message_rows_t rows;
    uint8_t *bytes;

    alloc_rows(ctx, answer, &rows);
    fill_running(answer, &rows);
    fill_ended(answer, &rows);
    message.serial = serial;
    message.kind = (uint32_t)answer->kind;
    message.refused = answer->is_refused;
    message.clock_ms = answer->clock_ms;
    message.incarnation = answer->incarnation;
    message.n_running = answer->n_running;
    message.running = rows.running_pointers;
    message.n_ended = answer->n_ended;
    message.ended = rows.ended_pointers;
    bytes = jr_alloc(ctx, jr__order_answer__get_packed_size(&message) + 1);
    *len = jr__order_answer__pack(&message, bytes);
    free_rows(ctx, &rows);
    return bytes;
}

static bool
read_running(const Jr__RunningRun *from, jr_running_t *to)
{
    if (from->run == NULL) {
        return false;
    }
    to->run = *from->run;
    to->checkpoint = *from->checkpoint != '\0' ? from->checkpoint : NULL;
    to->percent = from->percent;
    to->gauge = from->gauge;
    return true;
}

static bool
read_ended(const Jr__JobEnd *from, jr_ended_t *to)
{
    if (from->run == NULL || from->how > JR__JOB_END__HOW__ALONE) {
        return false;
    }
    to->number = from->number;
    to->run = *from->run;
    to->how = from->how;
    to->checkpoint = from->checkpoint;
    return true;
}

static bool
read_rows(const Jr__OrderAnswer *from, jr_answer_rows_t *rows)
{
    for (size_t i = 0; i < from->n_running; i++) {
        if (!read_running(from->running[i], &rows->running[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < from->n_ended; i++) {
        if (!read_ended(from->ended[i], &rows->ended[i])) {
            return false;
        }
    }
    return true;
}

jr_result_t
jr_answer_unpack(jr_ctx_t *ctx, const Jr__OrderAnswer *from, jr_answer_t *to,
                 jr_answer_rows_t *rows)
{
    *to = (jr_answer_t){.kind = JR_ANSWER_UNKNOWN};
    *rows = (jr_answer_rows_t){0};
    if (from->n_running > 0) {
        rows->running = jr_alloc(ctx, from->n_running * sizeof *rows->running);
    }
    if (from->n_ended > 0) {
        rows->ended = jr_alloc(ctx, from->n_ended * sizeof *rows->ended);
    }
    if (from->kind > JR_ANSWER_UNKNOWN || !read_rows(from, rows)) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "answer to order %llu is of unknown kind %u, or lists "
                       "a run without a name",
                       (unsigned long long)from->serial, from->kind);
    }
    to->kind = (jr_answer_kind_t)from->kind;
    to->is_refused = from->refused;
    to->clock_ms = from->clock_ms;
    to->incarnation = from->incarnation;
    to->running = rows->running;
    to->n_running = from->n_running;
    to->ended = rows->ended;
    to->n_ended = from->n_ended;
    return JR_OK;
}

void
jr_answer_rows_clear(jr_ctx_t *ctx, jr_answer_rows_t *rows)
{
    jr_free(ctx, rows->running);
    jr_free(ctx, rows->ended);
}
