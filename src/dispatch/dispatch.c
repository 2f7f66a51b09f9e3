/*
 * The dispatcher: handles answers, and the changes that were applied from the
 * log.
 */
#include "claim.h"

#include <string.h>

enum {
    SCHEDULE_EVERY_MS = 100, /* even when nothing has changed */
    PAUSE_MS = 1000,         /* between two ticks: the process was paused */
    /*
     * Minimum gap between two passes, as the cost of a pass is proportional to
     * the number of workers.
     */
    PASS_MS_PER_1000_WORKERS = 20,
    PER_1000 = 1000,
    /*
     * So much of what a pass looked at for single tasks earns a millisecond
     * more: passes take a bounded share of the time, whatever waits.
     */
    LOOKS_PER_MS = 250,
};

static void
observe_wait(jr_dispatch_t *d, const jr_job_task_t *task)
{
    const jr_job_t *job = task->job;
    bool is_urgent = job->queue->last_config->priority == 0;

    jr_observe(d->ctx, is_urgent ? JR_H_WAIT_URGENT : JR_H_WAIT_OTHER,
               d->wall_ms - MAX(task->waiting_since,
                                jr_job_due_ms(job, task->occurrence)));
    if (!job->began && job->n_granted == 1) {
        jr_observe(d->ctx, JR_H_FIRST_START, d->wall_ms - job->accepted_ms);
    }
}

static bool
is_run_of(const jr_run_t *run, const jr_job_worker_t *worker, uint32_t attempt)
{
    return run->worker->worker == worker && run->attempt == attempt;
}

static void
on_granted(jr_dispatch_t *d, jr_run_t *run)
{
    if (run->state == JR_RUN_PROPOSED) {
        jr_run_set_state(run, JR_RUN_STARTING);
        jr_run_set_due(d, run);
        observe_wait(d, run->task);
        jr_spent_granted(d, run);
    }
    if (run->task->is_done) {
        jr_run_stop(d, run);
    }
}

/*
 * The worker was removed while the grant was on its way to the log, and came
 * back. No order for this run was sent.
 */
static void
release_unknown_grant(jr_dispatch_t *d, jr_job_task_t *task)
{
    jr_run_t *run =
        jr_run_new(d, task, task->worker->local, JR_RUN_UNCONFIRMED);

    jr_run_release(d, run, "granted-before-removal");
}

static void
on_task(void *user, jr_job_task_t *task)
{
    jr_dispatch_t *d = user;
    jr_run_t *run = task->run;

    if (!d->is_leading) {
        return;
    }
    if (task->phase == JR_PHASE_GRANTED && run != NULL &&
        is_run_of(run, task->worker, task->attempt)) {
        on_granted(d, run);
        return;
    }
    if (task->phase == JR_PHASE_WAITING && run != NULL &&
        run->state == JR_RUN_PROPOSED) {
        return; /* its grant is on the way to the log */
    }
    if (run != NULL) {
        const jr_tracked_worker_t *w = run->worker;

        jr_spent_ended(d, run);
        jr_run_free(d, run);
        jr_drain_on_run_ended(d, w);
        d->is_dirty = true;
    }
    if (task->phase == JR_PHASE_GRANTED) {
        release_unknown_grant(d, task);
    }
}

/* A later grant of the task may be on its way to the log. */
static void
on_grant_refused(void *user, jr_job_task_t *task, const Jr__JobGrant *grant)
{
    jr_dispatch_t *d = user;
    jr_run_t *run = task->run;

    if (d->is_leading && run != NULL && run->state == JR_RUN_PROPOSED &&
        run->attempt == grant->run->attempt &&
        run->incarnation == grant->born &&
        strcmp(run->worker->worker->info->id, grant->worker) == 0) {
        jr_run_free(d, run);
        d->is_dirty = true;
    }
}

static void
count_job(jr_ctx_t *ctx, jr_job_state_t state)
{
    switch (state) {
    case JR_JOB_DONE:
        jr_count(ctx, JR_C_JOBS_DONE);
        break;
    case JR_JOB_FAILED:
        jr_count(ctx, JR_C_JOBS_FAILED);
        break;
    case JR_JOB_CANCELLED:
        jr_count(ctx, JR_C_JOBS_CANCELLED);
        break;
    case JR_JOB_QUEUED:
    case JR_JOB_RUNNING:
        break;
    }
}

static void
on_job(void *user, jr_job_t *job)
{
    jr_dispatch_t *d = user;

    d->is_dirty = true;
    if (d->is_leading && jr_job_is_live(job)) {
        jr_count(d->ctx, JR_C_JOBS_ACCEPTED);
    }
    if (!d->is_leading || jr_job_is_live(job)) {
        return;
    }
    count_job(d->ctx, job->state);
    jr_spent_report(d, job);
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        jr_claim_drop(d, &job->tasks[i]);
        if (job->tasks[i].run != NULL) {
            jr_run_stop(d, job->tasks[i].run);
        }
    }
}

static void
on_worker(void *user, jr_job_worker_t *worker)
{
    jr_dispatch_t *d = user;
    jr_tracked_worker_t *w = worker->local;

    if (!d->is_leading) {
        return;
    }
    if (w == NULL) {
        w = jr_tracked_worker_new(d, worker);
        jr_incarnation_on_added(d, w);
    }
    if (worker->info->born > w->incarnation) {
        jr_tracked_worker_restart(d, w, worker->info->born);
        jr_restart_on_restarted(d, w);
    }
    if (worker->info->born == w->incarnation) {
        w->is_draining = worker->info->draining;
    }
    if (worker->info->leaving && worker->info->born == w->incarnation) {
        jr_tracked_worker_leave(d, w);
    }
    jr_worker_quality_on_worker(d, w);
    w->is_end_pending = false;
    jr_dispatch_look_at(d, w);
    d->is_dirty = true;
}

static void
on_zone(void *user, const char *name)
{
    jr_dispatch_t *d = user;

    if (d->is_leading) {
        jr_drain_on_zone(d, name);
    }
}

static void
on_worker_removed(void *user, jr_job_worker_t *worker)
{
    jr_dispatch_t *d = user;

    if (worker->local != NULL) {
        jr_tracked_worker_free(d, worker->local);
        d->fence_epoch++; /* the id may come back */
        d->removed_at = d->now;
    }
}

jr_dispatch_t *
jr_new_dispatch(jr_ctx_t *ctx, const jr_dispatch_options_t *options,
                jr_jobs_t *jobs)
{
    jr_dispatch_t *d = jr_alloc(ctx, sizeof *d);
    jr_job_hooks_t hooks = {
        .task = on_task,
        .grant_refused = on_grant_refused,
        .job = on_job,
        .worker = on_worker,
        .zone = on_zone,
        .worker_removed = on_worker_removed,
        .user = d,
    };

    d->ctx = ctx;
    d->options = *options;
    d->wanted_lease_ms = jr_bounded_lease_ms(options);
    d->jobs = jobs;
    TAILQ_INIT(&d->workers);
    TAILQ_INIT(&d->to_look_at);
    TAILQ_INIT(&d->claims);
    TAILQ_INIT(&d->due_stops);
    STAILQ_INIT(&d->commands);
    TAILQ_INIT(&d->windows);
    d->tails = jr_new_tails(ctx);
    d->quality = jr_new_quality(ctx);
    d->releases = g_ptr_array_new();
    d->begun = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    d->crashes = g_array_new(FALSE, FALSE, sizeof(jr_crashed_run_t));
    d->proposed = g_ptr_array_new();
    d->givers = g_ptr_array_new();
    d->backlog = jr_new_backlog(ctx);
    d->places = jr_new_places(ctx);
    d->shapes = jr_new_shapes(ctx);
    jr_jobs_set_hooks(jobs, &hooks);
    return d;
}

static void
drop_sent_orders(jr_dispatch_t *d)
{
    jr_sent_t *sent, *next;

    HASH_ITER (hh, d->sent, sent, next) {
        HASH_DEL(d->sent, sent);
        jr_free(d->ctx, sent);
    }
}

void
jr_dispatch_resign(jr_dispatch_t *d)
{
    jr_queued_command_t *queued;
    jr_tracked_worker_t *w;

    d->is_leading = false;
    d->wall_ms = 0;
    jr_places_clear(d->places);
    while ((queued = STAILQ_FIRST(&d->commands)) != NULL) {
        STAILQ_REMOVE_HEAD(&d->commands, link);
        jr_free(d->ctx, queued->bytes);
        jr_free(d->ctx, queued);
    }
    while ((w = TAILQ_FIRST(&d->workers)) != NULL) {
        jr_tracked_worker_free(d, w);
    }
    drop_sent_orders(d);
    g_ptr_array_set_size(d->releases, 0);
    g_array_set_size(d->begun, 0);
    g_array_set_size(d->crashes, 0);
    g_ptr_array_set_size(d->proposed, 0);
    jr_backlog_clear(d->backlog);
}

void
jr_drop_dispatch(jr_dispatch_t *d)
{
    jr_job_hooks_t none = {0};

    if (d == NULL) {
        return;
    }
    jr_dispatch_resign(d);
    jr_jobs_set_hooks(d->jobs, &none);
    jr_windows_drop(d);
    jr_drop_tails(d->tails);
    jr_drop_quality(d->ctx, d->quality);
    g_ptr_array_unref(d->releases);
    g_array_unref(d->begun);
    g_array_unref(d->crashes);
    g_ptr_array_unref(d->proposed);
    g_ptr_array_unref(d->givers);
    jr_drop_backlog(d->ctx, d->backlog);
    jr_drop_places(d->ctx, d->places);
    jr_drop_shapes(d->ctx, d->shapes);
    jr_free(d->ctx, d);
}

static void
take_over(jr_dispatch_t *d, jr_job_worker_t *worker)
{
    jr_tracked_worker_t *w = jr_tracked_worker_new(d, worker);
    jr_job_task_t *task;

    w->inherited_until = d->now + jr_inherited_lease_ms(d);
    if (worker->info->leaving) {
        jr_tracked_worker_leave(d, w);
    }
    TAILQ_FOREACH (task, &worker->granted, worker_link) {
        jr_run_t *run = jr_run_new(d, task, w, JR_RUN_UNCONFIRMED);

        run->incarnation = task->incarnation;
        run->is_inherited = true;
        jr_crash_inherit(run);
        run->is_stop_wanted = !jr_job_is_live(task->job) || task->is_done;
    }
    jr_incarnation_inherit(d, w);
}

static int
by_rank(gconstpointer a, gconstpointer b)
{
    uint32_t x = jr_tracked_worker_rank(*(jr_job_worker_t *const *)a);
    uint32_t y = jr_tracked_worker_rank(*(jr_job_worker_t *const *)b);

    return (x > y) - (x < y);
}

void
jr_dispatch_lead(jr_dispatch_t *d, uint64_t fence, int64_t now)
{
    GPtrArray *workers = g_ptr_array_new();
    jr_job_worker_t *worker, *next;

    d->now = MAX(d->now, now);
    d->is_leading = true;
    jr_lease_lead(d);
    d->fence = fence;
    d->is_dirty = true;
    HASH_ITER (hh, d->jobs->workers, worker, next) {
        g_ptr_array_add(workers, worker);
    }
    g_ptr_array_sort(workers, by_rank);
    for (guint i = 0; i < workers->len; i++) {
        take_over(d, g_ptr_array_index(workers, i));
    }
    g_ptr_array_unref(workers);
    jr_crash_take_over(d);
}

static void
note_pause(jr_dispatch_t *d)
{
    if (d->ticked_at != 0 && d->now - d->ticked_at > PAUSE_MS) {
        d->paused_at = d->now;
    }
    d->ticked_at = d->now;
}

void
jr_dispatch_tick(jr_dispatch_t *d, int64_t now, int64_t wall_ms)
{
    jr_tracked_worker_t *w, *next;

    d->now = MAX(d->now, now);
    d->wall_ms = wall_ms;
    note_pause(d);
    if (!d->is_leading) {
        return;
    }
    for (w = TAILQ_FIRST(&d->workers); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        jr_tracked_worker_tick(d, w);
        if (jr_renewal_is_due(d, w)) {
            jr_dispatch_look_at(d, w);
        }
    }
    jr_lease_tick(d);
    /* As time passes, backoffs end and occurrences become due. */
    if (d->now - d->scheduled_at >= SCHEDULE_EVERY_MS) {
        d->is_dirty = true;
    }
}

static void
count_answer(jr_ctx_t *ctx, jr_answer_kind_t kind)
{
    static const jr_counter_t counters[] = {
        [JR_ANSWER_DONE] = JR_C_ORDERS_DONE,
        [JR_ANSWER_FENCED] = JR_C_ORDERS_FENCED,
        [JR_ANSWER_OLD_RUN] = JR_C_ORDERS_OLD_RUN,
        [JR_ANSWER_EXPIRED] = JR_C_ORDERS_EXPIRED,
        [JR_ANSWER_NO_CAPACITY] = JR_C_ORDERS_NO_ROOM,
        [JR_ANSWER_UNHEALTHY] = JR_C_ORDERS_UNHEALTHY,
        [JR_ANSWER_OTHER_INCARNATION] = JR_C_ORDERS_OTHER_LIFE,
        [JR_ANSWER_REFUSED] = JR_C_ORDERS_REFUSED,
        [JR_ANSWER_UNREACHED] = JR_C_ORDERS_UNREACHED,
        [JR_ANSWER_UNKNOWN] = JR_C_ORDERS_UNCLEAR,
    };

    jr_count(ctx, counters[kind]);
}

/*
 * The worker has restarted since the order was sent, and either incarnation
 * may have answered: whether the order was executed in the present one is not
 * known. The answer to a renewal names its incarnation.
 */
static bool
is_answer_outdated(const jr_sent_t *sent, const jr_answer_t *answer)
{
    if (sent->incarnation == sent->worker->incarnation) {
        return false;
    }
    switch (answer->kind) {
    case JR_ANSWER_OTHER_INCARNATION:
        return true;
    case JR_ANSWER_DONE:
        return answer->incarnation == 0 || sent->kind != JR_ORDER_RENEW;
    default:
        return false;
    }
}

void
jr_dispatch_answer(jr_dispatch_t *d, uint64_t serial,
                   const jr_answer_t *answer, int64_t now)
{
    static const jr_answer_t unknown = {.kind = JR_ANSWER_UNKNOWN};
    jr_sent_t *sent;

    d->now = MAX(d->now, now);
    HASH_FIND(hh, d->sent, &serial, sizeof serial, sent);
    if (sent == NULL) {
        return; /* sent during an earlier leadership */
    }
    HASH_DEL(d->sent, sent);
    jr_window_remove(sent);
    if (sent->kind == JR_ORDER_START && sent->run != NULL) {
        jr_incarnation_on_start_answer(d, sent, answer);
    }
    if (is_answer_outdated(sent, answer) ||
        (sent->kind == JR_ORDER_START &&
         jr_incarnation_is_later(d, sent, answer))) {
        answer = &unknown;
    }
    count_answer(d->ctx, answer->kind);
    if (sent->kind == JR_ORDER_RENEW) {
        jr_renewal_answer(d, sent, answer);
    }
    else if (sent->run != NULL) {
        jr_run_answer(d, sent->run, sent->kind, answer);
    }
    jr_dispatch_look_at(d, sent->worker);
    jr_free(d->ctx, sent);
}

/*
 * Has a later check-in of the worker been received? It need not be in the log:
 * it may have repeated what is there, or is on its way. A worker without a
 * start time begins its sequence anew without notice.
 */
static bool
is_overtaken(jr_tracked_worker_t *w, const Jr__JobWorker *info)
{
    if (info->born == 0 || info->born != w->incarnation ||
        info->sequence == 0) {
        return false;
    }
    if (info->sequence < w->sequence) {
        return true;
    }
    w->sequence = info->sequence;
    return false;
}

bool
jr_dispatch_checked_in(jr_dispatch_t *d, const Jr__JobWorker *info,
                       int64_t now)
{
    jr_job_worker_t *known = jr_jobs_worker(d->jobs, info->id);

    d->now = MAX(d->now, now);
    if (known == NULL) {
        return true;
    }
    if (known->info->born < info->born) {
        return known->local == NULL || !jr_restart_ask(d, known->local, info);
    }
    if (known->info->born > info->born || jr_worker_is_outdated(known, info)) {
        return false;
    }
    if (known->local != NULL && is_overtaken(known->local, info)) {
        return false;
    }
    if (known->local != NULL) {
        known->local->checked_in_at = d->now;
        jr_worker_quality_on_check_in(d, known->local, info);
        /* A worker that drains is never ready again: its check-in is late. */
        if (!info->draining && !known->info->draining) {
            known->local->left_at = 0; /* of an earlier incarnation */
        }
    }
    return !jr_worker_is_unchanged(d->jobs, known, info);
}

/*
 * A leave request may be delayed until a later incarnation has started. One
 * that names a later incarnation ends nothing before the worker has said that
 * it is that one.
 */
static bool
is_leave_current(const jr_tracked_worker_t *w, int64_t incarnation)
{
    const Jr__JobWorker *info = w->worker->info;

    if (incarnation != 0) {
        return incarnation == w->incarnation;
    }
    /* A worker announces that it drains before it leaves. */
    return info->draining && info->born == w->incarnation;
}

bool
jr_dispatch_left(jr_dispatch_t *d, const char *worker, int64_t incarnation,
                 int64_t now)
{
    jr_job_worker_t *known = jr_jobs_worker(d->jobs, worker);
    jr_tracked_worker_t *w = known != NULL ? known->local : NULL;

    d->now = MAX(d->now, now);
    if (w == NULL) {
        return false;
    }
    jr_log(d->ctx, JR_EV_WORKER_LIFE, "worker=%s born=%lld known=%lld left=1",
           worker, (long long)incarnation, (long long)w->incarnation);
    if (incarnation == 0 || incarnation == w->incarnation) {
        w->left_at = d->now;
    }
    if (!is_leave_current(w, incarnation)) {
        return false;
    }
    jr_tracked_worker_leave(d, w);
    return known->info->born == w->incarnation && !known->info->leaving;
}

bool
jr_dispatch_is_pass_due(const jr_dispatch_t *d)
{
    int64_t gap_ms = (int64_t)HASH_COUNT(d->jobs->workers) *
                         PASS_MS_PER_1000_WORKERS / PER_1000 +
                     d->pass_looks / LOOKS_PER_MS;

    return d->is_dirty && d->wall_ms != 0 &&
           d->now - d->scheduled_at >= gap_ms;
}
