/* Where the time of the loop went lately, in the log. */
#include "control.h"

enum { LOAD_EVERY_MS = 5000 };

/* What is reported, as totals since the start of the process. */
static void
read_totals(const jr_ctx_t *ctx, jr_loop_totals_t *to)
{
    *to = (jr_loop_totals_t){
        .turns = ctx->histograms[JR_H_LOOP].n,
        .events_ms = ctx->histograms[JR_H_LOOP_EVENTS].sum_ms,
        .groups_ms = ctx->histograms[JR_H_LOOP_GROUPS].sum_ms,
        .sync_ms = ctx->histograms[JR_H_LOG_SYNC].sum_ms,
        .orders_ms = ctx->histograms[JR_H_LOOP_ORDERS].sum_ms,
        .messages = ctx->counters[JR_C_BUS_RECEIVED],
        .answers = ctx->counters[JR_C_ORDERS_DONE],
        .starts = ctx->counters[JR_C_STARTS_SENT],
        .stops = ctx->counters[JR_C_STOPS_SENT],
        .renewals = ctx->counters[JR_C_RENEWALS_SENT],
        .paces = ctx->counters[JR_C_PACES_SENT],
        .passes = ctx->counters[JR_C_PASSES],
        .examined = ctx->counters[JR_C_WORKERS_EXAMINED],
        .urgent_starts = ctx->histograms[JR_H_STARTED_URGENT].n,
        .urgent_ordered_ms = ctx->histograms[JR_H_ORDERED_URGENT].sum_ms,
        .urgent_started_ms = ctx->histograms[JR_H_STARTED_URGENT].sum_ms,
        .carried = ctx->histograms[JR_H_CARRY_QUEUED].n,
        .carry_queued_ms = ctx->histograms[JR_H_CARRY_QUEUED].sum_ms,
    };
}

static void
log_load(const jr_control_t *control, const jr_loop_totals_t *now,
         int64_t span_ms)
{
    const jr_loop_totals_t *was = &control->load.totals;

    jr_log(
        control->ctx, JR_EV_LOOP_LOAD,
        "span_ms=%lld turns=%llu longest_ms=%lld events_ms=%llu "
        "groups_ms=%llu sync_ms=%llu orders_ms=%llu messages=%llu "
        "answers=%llu starts=%llu stops=%llu renewals=%llu paces=%llu "
        "passes=%llu workers_examined=%llu urgent_starts=%llu "
        "urgent_ordered_ms=%llu urgent_started_ms=%llu carried=%llu "
        "carry_queued_ms=%llu",
        (long long)span_ms, (unsigned long long)(now->turns - was->turns),
        (long long)control->load.longest_ms,
        (unsigned long long)(now->events_ms - was->events_ms),
        (unsigned long long)(now->groups_ms - was->groups_ms),
        (unsigned long long)(now->sync_ms - was->sync_ms),
        (unsigned long long)(now->orders_ms - was->orders_ms),
        (unsigned long long)(now->messages - was->messages),
        (unsigned long long)(now->answers - was->answers),
        (unsigned long long)(now->starts - was->starts),
        (unsigned long long)(now->stops - was->stops),
        (unsigned long long)(now->renewals - was->renewals),
        (unsigned long long)(now->paces - was->paces),
        (unsigned long long)(now->passes - was->passes),
        (unsigned long long)(now->examined - was->examined),
        (unsigned long long)(now->urgent_starts - was->urgent_starts),
        (unsigned long long)(now->urgent_ordered_ms - was->urgent_ordered_ms),
        (unsigned long long)(now->urgent_started_ms - was->urgent_started_ms),
        (unsigned long long)(now->carried - was->carried),
        (unsigned long long)(now->carry_queued_ms - was->carry_queued_ms));
}

void
jr_control_note_turn(jr_control_t *control, int64_t turn_ms, int64_t now)
{
    int64_t span_ms = now - control->load.since;
    jr_loop_totals_t totals;

    if (turn_ms > control->load.longest_ms) {
        control->load.longest_ms = turn_ms;
    }
    if (span_ms < LOAD_EVERY_MS) {
        return;
    }
    read_totals(control->ctx, &totals);
    log_load(control, &totals, span_ms);
    control->load = (jr_loop_load_t){.since = now, .totals = totals};
}
