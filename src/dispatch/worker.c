/* Leases, clocks and incarnations of workers. */
#include "claim.h"

#include <string.h>
#include <xxhash.h>

enum {
    /*
     * Plus the longest wait of a renewal; a worker silent for longer gets no
     * task.
     */
    ANSWER_AGE_MAX_MS = 3000,
    /*
     * Of the leases of a worker that drains: it may leave unheard, and its
     * tasks wait for the rest. It outlasts a change of the leader.
     */
    DRAIN_LEASE_MS = 3000,
    FENCE_EPOCH_BITS = 20, /* leaves 33 bits of 53 for the term */
    /* Without check-in or answered renewal, of an idle worker. */
    REMOVE_SILENT_MS = 20000,
    PERMILLE = 1000,
};

/* In the year 2248; times in microseconds, and larger numbers, are beyond. */
static const int64_t BORN_MAX_MS = (int64_t)1 << 43;

bool
jr_dispatch_is_born(int64_t born)
{
    return born <= BORN_MAX_MS;
}

uint32_t
jr_tracked_worker_rank(const jr_job_worker_t *worker)
{
    return XXH32(worker->info->id, strlen(worker->info->id), 0);
}

static void
insert_by_rank(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_tracked_worker_t *other;

    /* Scan from the end, as a new leader inserts in the order of rank. */
    TAILQ_FOREACH_REVERSE(other, &d->workers, jr_tracked_worker_list, link)
    {
        if (other->rank <= w->rank) {
            TAILQ_INSERT_AFTER(&d->workers, other, w, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&d->workers, w, link);
}

jr_tracked_worker_t *
jr_tracked_worker_new(jr_dispatch_t *d, jr_job_worker_t *worker)
{
    jr_tracked_worker_t *w = jr_alloc(d->ctx, sizeof *w);

    w->worker = worker;
    w->window = jr_window_of(d, worker->info->zone);
    w->incarnation = worker->info->born;
    w->fence_epoch = d->fence_epoch;
    w->renewal_at = d->now;
    jr_dispatch_look_at(d, w);
    w->is_draining = worker->info->draining;
    w->tracked_at = d->now;
    w->checked_in_at = d->now;
    w->lapsed = g_array_new(FALSE, FALSE, sizeof(jr_crashed_run_t));
    w->orphans = g_array_new(FALSE, FALSE, sizeof(Jr__JobRun));
    w->listed_orphans = g_array_new(FALSE, FALSE, sizeof(Jr__JobRun));
    w->rank = jr_tracked_worker_rank(worker);
    TAILQ_INIT(&w->runs);
    TAILQ_INIT(&w->claims);
    insert_by_rank(d, w);
    worker->local = w;
    jr_worker_quality_on_worker(d, w);
    return w;
}

void
jr_tracked_worker_add_orphan(jr_dispatch_t *d, jr_tracked_worker_t *w,
                             const Jr__JobRun *name)
{
    g_array_append_val(w->orphans, *name);
    g_array_append_val(w->listed_orphans, *name);
    d->n_listed_orphans++;
}

void
jr_tracked_worker_forget_orphans(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    d->n_listed_orphans -= w->listed_orphans->len;
    g_array_set_size(w->listed_orphans, 0);
}

static bool
lists_orphan(const jr_tracked_worker_t *w, const jr_job_task_t *task)
{
    for (guint i = 0; i < w->listed_orphans->len; i++) {
        const Jr__JobRun *run =
            &g_array_index(w->listed_orphans, Jr__JobRun, i);

        if (run->job == task->job->id && run->occurrence == task->occurrence &&
            run->step == task->step && run->index == task->index) {
            return true;
        }
    }
    return false;
}

bool
jr_task_has_orphan(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    const jr_tracked_worker_t *w;

    if (d->n_listed_orphans == 0) {
        return false;
    }
    TAILQ_FOREACH (w, &d->workers, link) {
        if (lists_orphan(w, task)) {
            return true;
        }
    }
    return false;
}

static void
drop_sent_orders(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_sent_t *sent, *next;

    HASH_ITER (hh, d->sent, sent, next) {
        if (sent->worker == w) {
            HASH_DEL(d->sent, sent);
            jr_window_remove(sent);
            jr_free(d->ctx, sent);
        }
    }
}

void
jr_tracked_worker_free(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;

    while ((run = TAILQ_FIRST(&w->runs)) != NULL) {
        jr_run_free(d, run);
    }
    jr_claims_drop_worker(d, w);
    jr_restart_forget(w);
    drop_sent_orders(d, w);
    jr_dispatch_look_away(d, w);
    TAILQ_REMOVE(&d->workers, w, link);
    w->worker->local = NULL;
    jr_tracked_worker_forget_orphans(d, w);
    g_array_unref(w->lapsed);
    g_array_unref(w->orphans);
    g_array_unref(w->listed_orphans);
    jr_free(d->ctx, w);
}

/* Its clock may be slow since it was last read. */
static int64_t
min_clock(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    int64_t rate = PERMILLE - d->options.drift_permille;

    return w->clock_ms + (d->now - w->clock_at) * rate / PERMILLE;
}

/* No lease that the worker may have is valid any more. */
static bool
has_lapsed(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    if (d->now < w->inherited_until || d->now < w->stale_leases_until) {
        return false;
    }
    if (w->clock_at == 0) {
        return true;
    }
    return min_clock(d, w) > w->expires_max_ms + JR_LAPSE_MARGIN_MS;
}

int64_t
jr_tracked_worker_lease_left_ms(const jr_dispatch_t *d,
                                const jr_tracked_worker_t *w)
{
    return w->renewed_until_ms - min_clock(d, w);
}

/*
 * It may have been this leader that stood still, or had no time for a renewal:
 * then the worker's next list says what was done before the lease expired.
 * The runs of a worker are given up only when it does not answer what it is
 * asked, or has ended and is not asked any more.
 */
static bool
is_silent(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    bool is_late =
        w->renewal_serial != 0 ? w->is_renewal_late : jr_renewal_is_late(d, w);

    return w->has_ended || (w->renewal_backoff_ms != 0 && !is_late);
}

int64_t
jr_tracked_worker_silent_since(const jr_tracked_worker_t *w)
{
    bool is_lost = w->has_ended || w->suspect_at != 0;

    return is_lost ? MAX(w->answered_at, w->tracked_at) : 0;
}

bool
jr_tracked_worker_is_usable(const jr_dispatch_t *d,
                            const jr_tracked_worker_t *w)
{
    return w->is_synced && !w->has_ended && !w->is_leaving &&
           w->suspect_at == 0 && !jr_restart_is_asked(w) &&
           !jr_drain_forbids_starts(d, w) &&
           w->worker->info->born == w->incarnation &&
           d->now - w->answered_at <=
               ANSWER_AGE_MAX_MS + d->options.hold_wait_ms &&
           d->now >= w->backoff_until && !has_lapsed(d, w) &&
           jr_health_allows(d, w);
}

void
jr_tracked_worker_suspect(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (w->suspect_at == 0) {
        w->suspect_at = d->now;
        jr_log(d->ctx, JR_EV_WORKER_SUSPECT, "worker=%s answered_ms_ago=%lld",
               w->worker->info->id, (long long)(d->now - w->answered_at));
    }
}

void
jr_tracked_worker_set_clock(jr_tracked_worker_t *w, int64_t clock_ms,
                            int64_t now)
{
    if (clock_ms > 0) {
        w->clock_ms = clock_ms;
        w->clock_at = now;
    }
}

int64_t
jr_tracked_worker_lease_ms(const jr_dispatch_t *d,
                           const jr_tracked_worker_t *w)
{
    return w->is_draining ? MIN(d->lease_ms, DRAIN_LEASE_MS) : d->lease_ms;
}

int64_t
jr_tracked_worker_lease_end(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    int64_t end;

    if (w->clock_at == 0) {
        return 0;
    }
    end = min_clock(d, w) + jr_tracked_worker_lease_ms(d, w);
    w->expires_max_ms = MAX(w->expires_max_ms, end);
    return end;
}

/*
 * A suspect worker may never get the order: if each attempt extended the
 * lease, it would never expire. A worker that leaves needs no more.
 */
bool
jr_tracked_worker_may_extend_lease(const jr_tracked_worker_t *w)
{
    return w->suspect_at == 0 && !w->is_leaving;
}

/*
 * A worker that is lost without a sign becomes suspect only when its renewal
 * has timed out: if the starts until then extended the lease, its tasks would
 * wait for longer by as much. A leader that had no time for renewals gives a
 * new lease, as the task would be rejected, or end at once.
 */
int64_t
jr_tracked_worker_start_lease_end(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    int64_t lease_ms = jr_tracked_worker_lease_ms(d, w);
    int64_t clock_ms = min_clock(d, w);

    if (w->clock_at == 0 || w->expires_max_ms == 0 ||
        (jr_tracked_worker_may_extend_lease(w) &&
         w->expires_max_ms - clock_ms < lease_ms / 2)) {
        return jr_tracked_worker_lease_end(d, w);
    }
    /* Leaders of before may have given longer ones. */
    return MIN(w->expires_max_ms, clock_ms + lease_ms);
}

void
jr_tracked_worker_leave(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (w->is_leaving) {
        return;
    }
    w->is_leaving = true;
    if (w->left_at == 0) {
        w->left_at = d->now;
    }
    w->renewal_at = d->now;
}

/*
 * Orders that are still under way name the ended incarnation, so its runs can
 * be released.
 */
void
jr_tracked_worker_end(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;

    if (w->has_ended) {
        return;
    }
    jr_crash_note(d, w);
    w->has_ended = true;
    jr_tracked_worker_forget_orphans(d, w);
    jr_log(d->ctx, JR_EV_WORKER_LIFE, "worker=%s born=%lld over=1",
           w->worker->info->id, (long long)w->incarnation);
    TAILQ_FOREACH (run, &w->runs, link) {
        jr_run_release(d, run, "life-over");
    }
    jr_restart_accept(d, w);
}

uint64_t
jr_tracked_worker_fence(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    return (d->fence << FENCE_EPOCH_BITS) + w->fence_epoch;
}

/* A run ends with the lease, unless another incarnation may have begun it. */
static bool
lapses(const jr_dispatch_t *d, const jr_run_t *run)
{
    return run->state != JR_RUN_PROPOSED && run->state != JR_RUN_RELEASING &&
           !jr_run_may_be_elsewhere(d, run);
}

static void
lapse(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (lapses(d, run)) {
            jr_crash_add_lapsed(d, run);
            jr_run_release(d, run, "lapsed");
            n++;
        }
    }
    jr_tracked_worker_forget_orphans(d, w);
    w->is_synced = false;
    if (n > 0) {
        jr_count(d->ctx, JR_C_EXPIRIES);
        jr_log(d->ctx, JR_EV_WORKER_LAPSED,
               "worker=%s runs=%zu answered_ms_ago=%lld", w->worker->info->id,
               n, (long long)(d->now - w->answered_at));
    }
}

static void
propose_removal(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    Jr__JobWorkerGone body = JR__JOB_WORKER_GONE__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    body.id = w->worker->info->id;
    body.born = w->incarnation;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER_GONE;
    command.worker_gone = &body;
    jr_queue_command(d, &command);
    w->checked_in_at = d->now; /* do not repeat the proposal at once */
}

void
jr_tracked_worker_tick(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    int64_t heard_at = MAX(w->checked_in_at, w->answered_at);
    bool is_lost = d->now - heard_at > REMOVE_SILENT_MS;

    if ((!TAILQ_EMPTY(&w->runs) || w->listed_orphans->len > 0) &&
        has_lapsed(d, w) && is_silent(d, w)) {
        lapse(d, w);
    }
    if (TAILQ_EMPTY(&w->runs) && TAILQ_EMPTY(&w->worker->granted) &&
        w->incarnation == w->worker->info->born &&
        (w->has_ended || is_lost || (w->is_leaving && w->suspect_at != 0))) {
        propose_removal(d, w);
    }
}
