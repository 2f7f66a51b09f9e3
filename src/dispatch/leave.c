/*
 * Services of workers that drain. They are stopped and start elsewhere before
 * their worker leaves: it may not be heard when it does, and they would wait
 * for the end of its lease.
 */
#include "dispatch.h"

static bool
drains(const jr_tracked_worker_t *w)
{
    return w->is_draining && !w->is_leaving && !w->has_ended &&
           w->suspect_at == 0 && w->n_services > 0;
}

static bool
is_service(const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return step->service && !step->gang;
}

static size_t
count_stopping(const jr_tracked_worker_t *w)
{
    const jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        n += is_service(run) &&
             (run->state == JR_RUN_STOPPING || run->state == JR_RUN_RELEASING);
    }
    return n;
}

/* Each of @n_moving services may take all that one worker has free. */
static bool
has_room_for_more(const jr_dispatch_t *d, const jr_run_t *run, size_t n_moving)
{
    size_t n;

    jr_places_first(d->places, false, jr_task_step(run->task)->cpu_milli, &n);
    return n > n_moving;
}

static bool
move(jr_dispatch_t *d, jr_run_t *run, size_t n_moving)
{
    const jr_tracked_worker_t *other;
    char text[JR_RUN_TEXT_BYTES];

    if (run->state != JR_RUN_RUNNING || run->is_end_listed ||
        !is_service(run) || !has_room_for_more(d, run, n_moving)) {
        return false;
    }
    other = jr_choose_other(d, run);
    if (other == NULL) {
        return false;
    }
    jr_count(d->ctx, JR_C_SERVICE_MOVES);
    jr_log(d->ctx, JR_EV_SERVICE_MOVED, "task=%s worker=%s to=%s",
           jr_run_text(run, text, sizeof text), run->worker->worker->info->id,
           other->worker->info->id);
    jr_run_stop(d, run);
    return true;
}

void
jr_leave_move_services(jr_dispatch_t *d)
{
    size_t n_moving = 0; /* are being stopped, and start elsewhere */
    jr_tracked_worker_t *w;
    jr_run_t *run;

    TAILQ_FOREACH (w, &d->workers, link) {
        n_moving += drains(w) ? count_stopping(w) : 0;
    }
    TAILQ_FOREACH (w, &d->workers, link) {
        if (!drains(w)) {
            continue;
        }
        TAILQ_FOREACH (run, &w->runs, link) {
            n_moving += move(d, run, n_moving);
        }
    }
}
