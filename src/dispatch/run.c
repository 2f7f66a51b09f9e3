/* One run, from its grant until it is known to have ended. */
#include "dispatch.h"

#include <string.h>

enum {
    UNREACHED_TRIES_MAX = 3,  /* then the task goes to another worker */
    REFUSED_BACKOFF_MS = 300, /* no task for a worker that refused one */
    PACE_RETRY_MS = 500,      /* until a pace order is sent again */
};

void
jr_need_of(const Jr__JobStep *step, jr_need_t *need)
{
    *need = (jr_need_t){
        .cpu_milli = step->filler ? 0 : step->cpu_milli,
        .memory_mb = step->memory_mb,
        .accelerators = step->accelerators,
    };
}

void
jr_need_add(jr_need_t *a, const jr_need_t *b, int sign)
{
    a->cpu_milli += sign * b->cpu_milli;
    a->memory_mb += sign * b->memory_mb;
    a->accelerators += sign * b->accelerators;
}

/* Of services with a target, on one worker. */
static void
account_target(jr_tracked_worker_t *w, jr_image_t image, int sign)
{
    if (sign > 0) {
        w->is_mixed =
            w->n_targets > 0 && (w->is_mixed || image != w->target_image);
        w->target_image = image;
    }
    w->n_targets = (uint32_t)((int)w->n_targets + sign);
}

static void
account(jr_dispatch_t *d, jr_run_t *run, int sign)
{
    const Jr__JobStep *step = jr_task_step(run->task);
    jr_tracked_worker_t *w = run->worker;

    w->is_load_stale = true;
    jr_need_add(&w->used, &run->need, sign);
    if (step->filler) {
        w->best_effort_milli += sign * (int64_t)step->cpu_milli;
    }
    if (run->is_suspect) {
        w->n_suspects = (uint32_t)((int)w->n_suspects + sign);
    }
    if (step->service) {
        jr_need_add(&w->services, &run->need, sign);
        w->n_services = (uint32_t)((int)w->n_services + sign);
    }
    if (jr_loads_has_target(run)) {
        account_target(w, run->image, sign);
    }
    jr_places_note(d->places, w);
}

bool
jr_run_is_ending(const jr_run_t *run)
{
    return run->state == JR_RUN_STOPPING || run->state == JR_RUN_RELEASING ||
           run->is_end_listed;
}

void
jr_run_set_state(jr_run_t *run, jr_run_state_t state)
{
    bool was_ending = jr_run_is_ending(run);

    run->state = state;
    run->worker->n_ending += jr_run_is_ending(run);
    run->worker->n_ending -= was_ending;
}

void
jr_run_note_end(jr_run_t *run)
{
    run->worker->n_ending += !jr_run_is_ending(run);
    run->is_end_listed = true;
}

jr_run_t *
jr_run_new(jr_dispatch_t *d, jr_job_task_t *task, jr_tracked_worker_t *w,
           jr_run_state_t state)
{
    jr_run_t *run = jr_alloc(d->ctx, sizeof *run);

    run->task = task;
    run->worker = w;
    run->state = state;
    run->attempt = task->attempt;
    run->image = jr_tails_image(d->tails, jr_task_step(task)->image);
    run->incarnation = w->incarnation;
    run->granted_at = d->now;
    run->is_suspect = task->crash_score > 0;
    run->percent_at = d->now;
    run->pace = state == JR_RUN_PROPOSED ? JR_PACE_FULL : JR_PACE_UNKNOWN;
    run->pace_wanted = JR_PACE_FULL;
    jr_need_of(jr_task_step(task), &run->need);
    task->run = run;
    task->job->n_runs++;
    TAILQ_INSERT_TAIL(&w->runs, run, link);
    account(d, run, 1);
    return run;
}

static void
forget_order(jr_dispatch_t *d, jr_run_t *run)
{
    jr_sent_t *sent;

    if (run->serial == 0) {
        return;
    }
    HASH_FIND(hh, d->sent, &run->serial, sizeof run->serial, sent);
    if (sent != NULL) {
        sent->run = NULL;
    }
}

void
jr_run_free(jr_dispatch_t *d, jr_run_t *run)
{
    forget_order(d, run);
    account(d, run, -1);
    run->worker->n_ending -= jr_run_is_ending(run);
    if (run->due_in != NULL) {
        TAILQ_REMOVE(run->due_in, run, due_link);
    }
    g_ptr_array_remove_fast(d->releases, run);
    TAILQ_REMOVE(&run->worker->runs, run, link);
    run->task->run = NULL;
    run->task->job->n_runs--;
    jr_free(d->ctx, run->checkpoint);
    jr_free(d->ctx, run);
}

void
jr_run_name(const jr_run_t *run, Jr__JobRun *to)
{
    jr__job_run__init(to);
    to->job = run->task->job->id;
    to->occurrence = run->task->occurrence;
    to->step = run->task->step;
    to->index = run->task->index;
    to->attempt = run->attempt;
}

const char *
jr_run_text(const jr_run_t *run, char *buf, size_t size)
{
    snprintf(buf, size, "%016llx.%u.%u.%u attempt=%u",
             (unsigned long long)run->task->job->id, run->task->occurrence,
             run->task->step, run->task->index, run->attempt);
    return buf;
}

const char *
jr_run_state_name(jr_run_state_t state)
{
    static const char *const names[] = {
        [JR_RUN_PROPOSED] = "proposed",       [JR_RUN_STARTING] = "starting",
        [JR_RUN_RUNNING] = "running",         [JR_RUN_STOPPING] = "stopping",
        [JR_RUN_UNCONFIRMED] = "unconfirmed", [JR_RUN_RELEASING] = "releasing",
    };

    return names[state];
}

static jr_start_class_t
class_of(const Jr__JobStep *step)
{
    return step->service  ? JR_START_SERVICE
           : step->filler ? JR_START_BEST_EFFORT
                          : JR_START_SHORT;
}

static struct jr_run_list *
due_list(jr_dispatch_t *d, const jr_run_t *run)
{
    jr_window_t *window = run->worker->window;

    switch (run->state) {
    case JR_RUN_RUNNING:
        return &window->paces;
    case JR_RUN_STOPPING:
        return &d->due_stops;
    default:
        return &window->starts[class_of(jr_task_step(run->task))];
    }
}

/* Stops a run of which a start or a pace was due, too. */
void
jr_run_set_due(jr_dispatch_t *d, jr_run_t *run)
{
    struct jr_run_list *due = due_list(d, run);

    if (run->due_in == due) {
        return;
    }
    if (run->due_in != NULL) {
        TAILQ_REMOVE(run->due_in, run, due_link);
    }
    run->due_in = due;
    TAILQ_INSERT_TAIL(due, run, due_link);
}

void
jr_run_stop(jr_dispatch_t *d, jr_run_t *run)
{
    run->is_stop_wanted = true;
    if (run->state == JR_RUN_STARTING || run->state == JR_RUN_RUNNING) {
        jr_run_set_state(run, JR_RUN_STOPPING);
        run->try_at = d->now;
        jr_run_set_due(d, run);
    }
}

static bool
needs_pace(const jr_dispatch_t *d, const jr_run_t *run)
{
    return run->state == JR_RUN_RUNNING && jr_task_step(run->task)->filler &&
           (run->pace != run->pace_wanted || d->now < run->pace_unknown_until);
}

void
jr_run_set_pace(jr_dispatch_t *d, jr_run_t *run, uint32_t percent)
{
    run->pace_wanted = percent;
    run->worker->is_load_stale = true;
    if (needs_pace(d, run)) {
        jr_run_set_due(d, run);
    }
}

void
jr_run_release(jr_dispatch_t *d, jr_run_t *run, const char *reason)
{
    char text[JR_RUN_TEXT_BYTES];

    if (run->state == JR_RUN_RELEASING || run->state == JR_RUN_PROPOSED) {
        return;
    }
    jr_count(d->ctx, JR_C_RUNS_RELEASED);
    jr_log_job(d->ctx, JR_EV_RUN_RELEASED, run->task->job->id,
               "task=%s worker=%s reason=%s state=%s unknown=%d tries=%u "
               "answered_ms_ago=%lld crashed_after_ms=%lld",
               jr_run_text(run, text, sizeof text),
               run->worker->worker->info->id, reason,
               jr_run_state_name(run->state), run->is_outcome_unknown,
               run->tries, (long long)(d->now - run->worker->answered_at),
               (long long)run->crashed_after_ms);
    jr_run_set_state(run, JR_RUN_RELEASING);
    g_ptr_array_add(d->releases, run);
}

/* The worker may get no start; one that was sent before is stopped. */
static void
abandon_start(jr_dispatch_t *d, jr_run_t *run)
{
    if (run->tries == 0) {
        jr_run_release(d, run, "draining");
        return;
    }
    run->is_stop_wanted = true;
    jr_run_set_state(run, JR_RUN_STOPPING);
}

static void
retry(jr_dispatch_t *d, jr_run_t *run)
{
    run->try_at = d->now + JR_RETRY_MS;
    jr_run_set_due(d, run);
}

/* May the run hold capacity on its worker? */
static bool
may_hold_capacity(const jr_run_t *run)
{
    switch (run->state) {
    case JR_RUN_PROPOSED:
    case JR_RUN_RELEASING:
        return false;
    case JR_RUN_STARTING:
        return run->serial != 0 || run->is_outcome_unknown;
    case JR_RUN_RUNNING:
    case JR_RUN_STOPPING:
    case JR_RUN_UNCONFIRMED:
        break;
    }
    return true;
}

/* The worker may have shrunk since the run was granted to it. */
static bool
fits_beside_others(const jr_run_t *run)
{
    const jr_tracked_worker_t *w = run->worker;
    jr_need_t held = {0};
    const jr_run_t *other;

    TAILQ_FOREACH (other, &w->runs, link) {
        if (other != run && may_hold_capacity(other)) {
            jr_need_add(&held, &other->need, 1);
        }
    }
    return jr_need_fits_beside(&run->need, &held, w->worker->info);
}

/*
 * A worker that does not check its capacity executes any start. One that may
 * have been executed before it shrank is not sent again: the next list shows
 * whether it runs, and it is stopped when it does not. Others go elsewhere.
 */
static void
withhold_start(jr_dispatch_t *d, jr_run_t *run)
{
    if (!run->is_outcome_unknown) {
        jr_run_release(d, run, "shrunk");
        return;
    }
    if (run->withheld_at == 0) {
        run->withheld_at = d->now;
    }
    retry(d, run);
}

/*
 * The worker may have crashed under the run. The next list tells, before an
 * order is sent again and may crash the next incarnation. The same holds once
 * the lease of the worker has lapsed.
 */
static bool
must_wait_for_list(const jr_run_t *run)
{
    const jr_tracked_worker_t *w = run->worker;

    return run->state == JR_RUN_STARTING && run->is_outcome_unknown &&
           (!w->is_synced || (run->is_unreached && w->suspect_at != 0));
}

bool
jr_task_is_urgent(const jr_job_task_t *task)
{
    const Jr__JobQueue *config = task->job->queue->last_config;

    return config != NULL && config->priority == JR_URGENT_PRIORITY &&
           !jr_task_step(task)->service;
}

static void
note_ordered(const jr_dispatch_t *d, jr_run_t *run)
{
    if (run->ordered_at != 0) {
        return;
    }
    run->ordered_at = d->now;
    if (jr_task_is_urgent(run->task)) {
        jr_observe(d->ctx, JR_H_ORDERED_URGENT, d->now - run->granted_at);
    }
}

bool
jr_run_order(jr_dispatch_t *d, jr_run_t *run, jr_order_t *order)
{
    jr_job_task_t *task = run->task;
    jr_tracked_worker_t *w = run->worker;

    if (run->serial != 0) {
        return false;
    }
    if (run->state == JR_RUN_STARTING && jr_drain_forbids_starts(d, w)) {
        abandon_start(d, run);
    }
    if (must_wait_for_list(run)) {
        retry(d, run);
        return false;
    }
    if (run->state == JR_RUN_STARTING && !fits_beside_others(run)) {
        withhold_start(d, run);
        return false;
    }
    run->withheld_at = 0;
    *order = (jr_order_t){.timeout_ms = JR_ANSWER_TIMEOUT_MS};
    jr_run_name(run, &order->run);
    switch (run->state) {
    case JR_RUN_STARTING:
        order->kind = JR_ORDER_START;
        order->as.start.payload = task->job->spec->payload;
        order->as.start.checkpoint =
            task->checkpoint != NULL ? task->checkpoint : "";
        if (run->expires_ms == 0) {
            run->expires_ms = jr_tracked_worker_start_lease_end(d, w);
        }
        order->as.start.expires_ms = run->expires_ms;
        run->is_start_pending = true;
        note_ordered(d, run);
        break;
    case JR_RUN_STOPPING:
        order->kind = JR_ORDER_STOP;
        break;
    case JR_RUN_RUNNING:
        if (!needs_pace(d, run)) {
            return false;
        }
        order->kind = JR_ORDER_PACE;
        order->as.pace.percent = run->pace_wanted;
        run->pace_sent = run->pace_wanted;
        return true;
    default:
        return false;
    }
    run->tries++;
    return true;
}

/* This start did nothing; an earlier one may have been executed, though. */
static void
start_failed(jr_dispatch_t *d, jr_run_t *run, const char *reason)
{
    if (run->is_outcome_unknown) {
        jr_run_stop(d, run);
    }
    else {
        jr_run_release(d, run, reason);
    }
}

static void
on_start_unreached(jr_dispatch_t *d, jr_run_t *run)
{
    jr_tracked_worker_suspect(d, run->worker);
    run->is_unreached = true;
    if (run->is_outcome_unknown || run->tries < UNREACHED_TRIES_MAX) {
        retry(d, run);
    }
    else {
        jr_run_release(d, run, "unreached");
    }
}

static void
log_started(jr_dispatch_t *d, const jr_run_t *run)
{
    char text[JR_RUN_TEXT_BYTES];

    jr_observe(d->ctx, JR_H_START, d->now - run->granted_at);
    if (jr_task_is_urgent(run->task)) {
        jr_observe(d->ctx, JR_H_STARTED_URGENT, d->now - run->ordered_at);
    }
    jr_log_job(d->ctx, JR_EV_RUN_CONFIRMED, run->task->job->id,
               "task=%s worker=%s granted_ms_ago=%lld",
               jr_run_text(run, text, sizeof text),
               run->worker->worker->info->id,
               (long long)(d->now - run->granted_at));
}

static void
on_start_answer(jr_dispatch_t *d, jr_run_t *run, const jr_answer_t *answer)
{
    switch (answer->kind) {
    case JR_ANSWER_DONE:
        jr_run_set_state(run, JR_RUN_RUNNING);
        run->confirmed_at = d->now;
        run->percent_at = d->now;
        jr_worker_quality_on_started(d, run);
        log_started(d, run);
        jr_begun_note(d, run);
        break;
    case JR_ANSWER_FENCED:
        start_failed(d, run, "fenced");
        break;
    case JR_ANSWER_OLD_RUN:
        /* This run or a later one has been there: the lists show which. */
        run->is_outcome_unknown = true;
        jr_run_stop(d, run);
        break;
    case JR_ANSWER_EXPIRED:
        start_failed(d, run, "expired");
        break;
    case JR_ANSWER_NO_CAPACITY:
        run->worker->backoff_until = d->now + REFUSED_BACKOFF_MS;
        start_failed(d, run, "no-room");
        break;
    case JR_ANSWER_UNHEALTHY:
        run->worker->backoff_until = d->now + REFUSED_BACKOFF_MS;
        jr_worker_quality_on_refused(d, run->worker);
        start_failed(d, run, "unhealthy");
        break;
    case JR_ANSWER_REFUSED:
        jr_worker_quality_on_refused(d, run->worker);
        start_failed(d, run, "refused");
        break;
    case JR_ANSWER_OTHER_INCARNATION:
        jr_tracked_worker_end(d, run->worker);
        break;
    case JR_ANSWER_UNREACHED:
        on_start_unreached(d, run);
        break;
    case JR_ANSWER_UNKNOWN:
        run->is_outcome_unknown = true;
        run->is_unreached = false; /* this one was sent */
        jr_tracked_worker_suspect(d, run->worker);
        retry(d, run);
        break;
    }
}

static void
on_stop_answer(jr_dispatch_t *d, jr_run_t *run, const jr_answer_t *answer)
{
    switch (answer->kind) {
    case JR_ANSWER_DONE:
        run->stop_acked_at = d->now;
        break;
    case JR_ANSWER_OTHER_INCARNATION:
        jr_tracked_worker_end(d, run->worker);
        break;
    default:
        retry(d, run);
        break;
    }
}

/*
 * An unacknowledged pace order may arrive late, after newer ones: the wanted
 * pace is sent again until none can arrive any more.
 */
static void
on_pace_answer(jr_dispatch_t *d, jr_run_t *run, const jr_answer_t *answer)
{
    switch (answer->kind) {
    case JR_ANSWER_DONE:
        run->pace = run->pace_sent;
        break;
    case JR_ANSWER_OTHER_INCARNATION:
        jr_tracked_worker_end(d, run->worker);
        return;
    case JR_ANSWER_UNREACHED:
        break;
    case JR_ANSWER_UNKNOWN:
        run->pace = JR_PACE_UNKNOWN;
        run->pace_unknown_until = d->now + JR_LATE_ORDER_MS;
        break;
    default:
        run->pace = run->pace_wanted; /* the next list shows its state */
        break;
    }
    if (needs_pace(d, run)) {
        run->try_at = d->now + PACE_RETRY_MS;
        jr_run_set_due(d, run);
    }
}

void
jr_run_answer(jr_dispatch_t *d, jr_run_t *run, jr_order_kind_t kind,
              const jr_answer_t *answer)
{
    run->serial = 0;
    if (kind == JR_ORDER_START && run->state == JR_RUN_STARTING) {
        on_start_answer(d, run, answer);
    }
    else if (kind == JR_ORDER_START) {
        /* The run is being stopped by now, or is known to run. */
        run->is_outcome_unknown |= answer->kind == JR_ANSWER_UNKNOWN;
        if (run->state == JR_RUN_STOPPING && run->stop_acked_at == 0) {
            jr_run_set_due(d, run);
        }
    }
    else if (kind == JR_ORDER_STOP && run->state == JR_RUN_STOPPING) {
        on_stop_answer(d, run, answer);
    }
    else if (kind == JR_ORDER_PACE && run->state == JR_RUN_RUNNING) {
        on_pace_answer(d, run, answer);
    }
    else if (kind == JR_ORDER_PACE && run->state == JR_RUN_STOPPING) {
        jr_run_set_due(d, run);
    }
}
