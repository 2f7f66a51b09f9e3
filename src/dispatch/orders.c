/*
 * Orders that are due: which one goes first, and which workers may have one.
 */
#include "dispatch.h"

enum {
    PACE_TURN = 8, /* one of so many orders may be a pace before others */
};

static void
count_sent(jr_ctx_t *ctx, jr_order_kind_t kind)
{
    static const jr_counter_t counters[] = {
        [JR_ORDER_START] = JR_C_STARTS_SENT,
        [JR_ORDER_STOP] = JR_C_STOPS_SENT,
        [JR_ORDER_RENEW] = JR_C_RENEWALS_SENT,
        [JR_ORDER_PACE] = JR_C_PACES_SENT,
    };

    jr_count(ctx, counters[kind]);
}

static void
add_sent(jr_dispatch_t *d, jr_order_t *order, jr_tracked_worker_t *w,
         jr_run_t *run)
{
    jr_sent_t *sent = jr_alloc(d->ctx, sizeof *sent);

    order->serial = ++d->next_serial;
    order->worker = w->worker->info->id;
    order->address = w->worker->info->address;
    order->zone = w->worker->info->zone;
    order->fence = jr_tracked_worker_fence(d, w);
    sent->serial = order->serial;
    sent->kind = order->kind;
    sent->worker = w;
    sent->incarnation = w->incarnation;
    sent->run = run;
    sent->sent_at = d->now;
    jr_window_add(sent);
    HASH_ADD(hh, d->sent, serial, sizeof sent->serial, sent);
    count_sent(d->ctx, order->kind);
}

static bool
take_run_order(jr_dispatch_t *d, struct jr_run_list *due, jr_order_t *order)
{
    jr_run_t *run, *next;

    for (run = TAILQ_FIRST(due); run != NULL; run = next) {
        next = TAILQ_NEXT(run, due_link);
        if (d->now < run->try_at) {
            continue;
        }
        TAILQ_REMOVE(due, run, due_link);
        run->due_in = NULL;
        if (jr_run_order(d, run, order)) {
            add_sent(d, order, run->worker, run);
            run->serial = order->serial;
            return true;
        }
    }
    return false;
}

/* The zones in turn. */
static bool
take_start(jr_dispatch_t *d, jr_start_class_t start_class, jr_order_t *order)
{
    jr_window_t *window;

    TAILQ_FOREACH (window, &d->windows, link) {
        if (!jr_window_is_full(window) &&
            take_run_order(d, &window->starts[start_class], order)) {
            jr_window_to_end(d, window);
            return true;
        }
    }
    return false;
}

static bool
take_pace(jr_dispatch_t *d, jr_order_t *order)
{
    jr_window_t *window;

    TAILQ_FOREACH (window, &d->windows, link) {
        if (!jr_window_is_full(window) &&
            take_run_order(d, &window->paces, order)) {
            jr_window_to_end(d, window);
            return true;
        }
    }
    return false;
}

/* Stops first: they are few, and free capacity. */
static bool
take_start_or_stop(jr_dispatch_t *d, jr_order_t *order)
{
    bool found = take_run_order(d, &d->due_stops, order);

    for (int c = 0; c < JR_START_CLASSES && !found; c++) {
        found = take_start(d, c, order);
    }
    return found;
}

static bool
order_for_worker(jr_dispatch_t *d, jr_tracked_worker_t *w, jr_order_t *order)
{
    if (w->orphans->len > 0) {
        *order = (jr_order_t){
            .kind = JR_ORDER_STOP,
            .timeout_ms = JR_ANSWER_TIMEOUT_MS,
            .run = g_array_index(w->orphans, Jr__JobRun, 0),
        };
        g_array_remove_index_fast(w->orphans, 0);
        add_sent(d, order, w, NULL);
        return true;
    }
    if (jr_renewal_is_due(d, w)) {
        jr_renewal_order(d, w, order);
        add_sent(d, order, w, NULL);
        w->renewal_serial = order->serial;
        return true;
    }
    return false;
}

void
jr_dispatch_look_at(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (!w->is_to_look_at) {
        w->is_to_look_at = true;
        TAILQ_INSERT_TAIL(&d->to_look_at, w, look_link);
    }
}

void
jr_dispatch_look_away(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (w->is_to_look_at) {
        w->is_to_look_at = false;
        TAILQ_REMOVE(&d->to_look_at, w, look_link);
    }
}

static bool
take_worker_order(jr_dispatch_t *d, jr_order_t *order)
{
    jr_tracked_worker_t *w;

    while ((w = TAILQ_FIRST(&d->to_look_at)) != NULL) {
        jr_count(d->ctx, JR_C_WORKERS_LOOKED_AT);
        if (order_for_worker(d, w, order)) {
            return true; /* it may have another one */
        }
        jr_dispatch_look_away(d, w);
    }
    return false;
}

/*
 * By turns, so that starts and renewals can't starve each other: a lease that
 * expires costs all runs on a worker. Paces wait while there are others, but
 * for a few: a service may exceed its target meanwhile.
 */
bool
jr_dispatch_take_order(jr_dispatch_t *d, jr_order_t *order)
{
    if (!d->is_leading) {
        return false;
    }
    d->n_orders++;
    if (d->n_orders % PACE_TURN == 0 && take_pace(d, order)) {
        return true;
    }
    if (d->n_orders % 2 == 0) {
        return take_start_or_stop(d, order) || take_worker_order(d, order) ||
               take_pace(d, order);
    }
    return take_worker_order(d, order) || take_start_or_stop(d, order) ||
           take_pace(d, order);
}
