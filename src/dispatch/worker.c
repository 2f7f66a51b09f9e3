/* Leases, clocks and lives of workers. */
#include "dispatch.h"

#include <string.h>
#include <xxhash.h>

enum {
    ANSWER_AGE_MAX_MS = 3000, /* a worker that is silent longer gets nothing */
    LAPSE_MARGIN_MS = 50,
    FORGET_SILENT_MS = 20000,
    PERMILLE = 1000,
};

uint32_t
jr_lead_worker_rank(const jr_job_worker_t *worker)
{
    return XXH32(worker->info->id, strlen(worker->info->id), 0);
}

static void
insert_by_rank(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_lead_worker_t *other;

    /* From the end: a new leader inserts them in order. */
    TAILQ_FOREACH_REVERSE(other, &d->workers, jr_lead_worker_list, link)
    {
        if (other->rank <= w->rank) {
            TAILQ_INSERT_AFTER(&d->workers, other, w, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&d->workers, w, link);
}

jr_lead_worker_t *
jr_lead_worker_new(jr_dispatch_t *d, jr_job_worker_t *worker)
{
    jr_lead_worker_t *w = jr_alloc(d->ctx, sizeof *w);

    w->worker = worker;
    w->born = worker->info->born;
    w->hold_at = d->now;
    w->checked_in_at = d->now;
    w->strays = g_array_new(FALSE, FALSE, sizeof(Jr__JobRun));
    w->unclear = g_array_new(FALSE, FALSE, sizeof(jr_unclear_t));
    w->rank = jr_lead_worker_rank(worker);
    TAILQ_INIT(&w->runs);
    insert_by_rank(d, w);
    worker->local = w;
    return w;
}

static void
forget_orders(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_sent_t *sent, *next;

    HASH_ITER (hh, d->sent, sent, next) {
        if (sent->worker == w) {
            HASH_DEL(d->sent, sent);
            jr_free(d->ctx, sent);
        }
    }
}

void
jr_lead_worker_free(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_run_t *run;

    while ((run = TAILQ_FIRST(&w->runs)) != NULL) {
        jr_run_free(d, run);
    }
    forget_orders(d, w);
    if (d->next_worker == w) {
        d->next_worker = TAILQ_NEXT(w, link);
    }
    TAILQ_REMOVE(&d->workers, w, link);
    w->worker->local = NULL;
    g_array_unref(w->strays);
    g_array_unref(w->unclear);
    jr_free(d->ctx, w);
}

bool
jr_lead_worker_is_usable(const jr_dispatch_t *d, const jr_lead_worker_t *w)
{
    return w->is_taken && !w->is_over && !w->has_left && w->suspect_at == 0 &&
           !w->worker->info->draining && w->worker->info->born == w->born &&
           d->now - w->answered_at <=
               ANSWER_AGE_MAX_MS + d->options.hold_wait_ms &&
           d->now >= w->full_until && jr_health_allows(d, w);
}

void
jr_lead_worker_suspect(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    if (w->suspect_at == 0) {
        w->suspect_at = d->now;
        jr_log(d->ctx, JR_EV_WORKER_SUSPECT, "worker=%s answered_ms_ago=%lld",
               w->worker->info->id, (long long)(d->now - w->answered_at));
    }
}

static void
forget_late(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    for (guint i = 0; i < w->unclear->len;) {
        if (g_array_index(w->unclear, jr_unclear_t, i).until <= d->now) {
            g_array_remove_index_fast(w->unclear, i);
        }
        else {
            i++;
        }
    }
}

void
jr_lead_worker_note_unclear(jr_dispatch_t *d, jr_lead_worker_t *w,
                            const jr_run_t *run)
{
    jr_unclear_t unclear = {.until = d->now + JR_LATE_ORDER_MS};

    forget_late(d, w);
    jr_run_name(run, &unclear.run);
    g_array_append_val(w->unclear, unclear);
}

void
jr_lead_worker_bar_unclear(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    forget_late(d, w);
    for (guint i = 0; i < w->unclear->len; i++) {
        const jr_unclear_t *unclear =
            &g_array_index(w->unclear, jr_unclear_t, i);

        g_array_append_val(w->strays, unclear->run);
    }
}

void
jr_lead_worker_clock(jr_lead_worker_t *w, int64_t clock_ms, int64_t now)
{
    if (clock_ms > 0) {
        w->clock_ms = clock_ms;
        w->clock_at = now;
    }
}

int64_t
jr_lead_worker_lease_end(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    int64_t end;

    if (w->clock_at == 0) {
        return 0;
    }
    end = w->clock_ms + (d->now - w->clock_at) + d->options.lease_ms;
    w->expires_max_ms = MAX(w->expires_max_ms, end);
    return end;
}

/* Its orders, if any is still on its way, name the life that is over. */
void
jr_lead_worker_life_over(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_run_t *run;

    if (w->is_over) {
        return;
    }
    w->is_over = true;
    jr_log(d->ctx, JR_EV_WORKER_LIFE, "worker=%s born=%lld over=1",
           w->worker->info->id, (long long)w->born);
    TAILQ_FOREACH (run, &w->runs, link) {
        jr_run_release(d, run, "life-over");
    }
}

/*
 * The worker was restarted. What ran is gone; but an order to start may have
 * reached the new life, or may yet, so its lists decide.
 */
void
jr_lead_worker_new_life(jr_dispatch_t *d, jr_lead_worker_t *w, int64_t born)
{
    jr_run_t *run;

    jr_log(d->ctx, JR_EV_WORKER_LIFE, "worker=%s born=%lld was=%lld",
           w->worker->info->id, (long long)born, (long long)w->born);
    w->born = born;
    w->is_over = false;
    w->has_left = false;
    w->clock_at = 0;
    w->is_taken = false;
    w->inherited_until = 0;
    w->reborn_until = d->now + JR_LATE_ORDER_MS + d->options.lease_ms;
    w->failure_streak = 0;
    w->quarantined_until = 0;
    w->quarantine_ms = 0;
    w->is_end_pending = false;
    w->hold_at = d->now;
    jr_lead_worker_bar_unclear(d, w);
    TAILQ_FOREACH (run, &w->runs, link) {
        if (run->state != JR_RUN_RELEASING && run->state != JR_RUN_PROPOSED) {
            run->state = JR_RUN_UNSURE;
            run->stop_acked_at = 0;
        }
    }
}

/* No lease that the worker may hold is valid any more. */
static bool
has_lapsed(const jr_dispatch_t *d, const jr_lead_worker_t *w)
{
    int64_t rate = PERMILLE - d->options.drift_permille;

    if (d->now < w->inherited_until || d->now < w->reborn_until) {
        return false;
    }
    if (w->clock_at == 0) {
        return true;
    }
    return w->clock_ms + (d->now - w->clock_at) * rate / PERMILLE >
           w->expires_max_ms + LAPSE_MARGIN_MS;
}

static void
lapse(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (run->state != JR_RUN_PROPOSED && run->state != JR_RUN_RELEASING) {
            jr_run_release(d, run, "lapsed");
            n++;
        }
    }
    w->is_taken = false;
    if (n > 0) {
        jr_count(d->ctx, JR_C_EXPIRIES);
        jr_log(d->ctx, JR_EV_WORKER_LAPSED,
               "worker=%s runs=%zu answered_ms_ago=%lld", w->worker->info->id,
               n, (long long)(d->now - w->answered_at));
    }
}

static void
propose_gone(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    Jr__JobWorkerGone body = JR__JOB_WORKER_GONE__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    body.id = w->worker->info->id;
    body.born = w->born;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER_GONE;
    command.worker_gone = &body;
    jr_queue_command(d, &command);
    w->checked_in_at = d->now; /* not again at once */
}

void
jr_lead_worker_tick(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    bool is_silent = d->now - w->checked_in_at > FORGET_SILENT_MS;

    if (!TAILQ_EMPTY(&w->runs) && has_lapsed(d, w)) {
        lapse(d, w);
    }
    if (TAILQ_EMPTY(&w->runs) && TAILQ_EMPTY(&w->worker->granted) &&
        w->born == w->worker->info->born &&
        (w->is_over || is_silent || (w->has_left && w->suspect_at != 0))) {
        propose_gone(d, w);
    }
}
