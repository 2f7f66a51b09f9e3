/*
 * Flow control of orders. What sends them, and the network, carry out so many
 * a second; an order beyond that only waits where it can't be taken back,
 * until its outcome counts as unknown and its worker as silent. So starts and
 * paces wait here, while as many as a zone can handle without delay have no
 * answer. Renewals and stops don't wait: they keep what runs, and free
 * capacity.
 */
#include <string.h>

#include "dispatch.h"

enum {
    /*
     * In one zone. At a millisecond an order they are answered within half of
     * JR_ANSWER_TIMEOUT_MS.
     */
    OPEN_MAX = 256,
};

jr_window_t *
jr_window_of(jr_dispatch_t *d, const char *zone)
{
    jr_window_t *window;

    TAILQ_FOREACH (window, &d->windows, link) {
        if (strcmp(window->zone, zone) == 0) {
            return window;
        }
    }
    window = jr_alloc(d->ctx, sizeof *window);
    window->zone = jr_strdup(d->ctx, zone);
    for (size_t i = 0; i < JR_START_CLASSES; i++) {
        TAILQ_INIT(&window->starts[i]);
    }
    TAILQ_INIT(&window->paces);
    TAILQ_INSERT_TAIL(&d->windows, window, link);
    return window;
}

void
jr_windows_drop(jr_dispatch_t *d)
{
    jr_window_t *window;

    while ((window = TAILQ_FIRST(&d->windows)) != NULL) {
        TAILQ_REMOVE(&d->windows, window, link);
        jr_free(d->ctx, window->zone);
        jr_free(d->ctx, window);
    }
}

bool
jr_window_is_full(const jr_window_t *window)
{
    return window->n_open >= OPEN_MAX;
}

void
jr_window_to_end(jr_dispatch_t *d, jr_window_t *window)
{
    TAILQ_REMOVE(&d->windows, window, link);
    TAILQ_INSERT_TAIL(&d->windows, window, link);
}

static bool
is_counted(jr_order_kind_t kind)
{
    switch (kind) {
    case JR_ORDER_START:
    case JR_ORDER_PACE:
        return true;
    case JR_ORDER_STOP:
    case JR_ORDER_RENEW:
        break;
    }
    return false;
}

void
jr_window_add(jr_sent_t *sent)
{
    if (is_counted(sent->kind)) {
        sent->window = sent->worker->window;
        sent->window->n_open++;
    }
}

void
jr_window_remove(jr_sent_t *sent)
{
    if (sent->window != NULL) {
        sent->window->n_open--;
        sent->window = NULL;
    }
}
