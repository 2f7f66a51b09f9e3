/*
 * Services of workers that drain. They are stopped and start elsewhere before
 * their worker leaves: it may not be heard when it does, and they would wait
 * for the end of its lease.
 */
#include "claim.h"

static bool
drains(const jr_tracked_worker_t *w)
{
    return w->is_draining && !w->is_leaving && !w->has_ended &&
           w->suspect_at == 0 && w->n_services > 0;
}

/* Its next place is free of other tasks. */
static void
move(jr_dispatch_t *d, jr_run_t *run)
{
    const jr_claim_t *claim = run->task->claim;
    char text[JR_RUN_TEXT_BYTES];

    if (run->state != JR_RUN_RUNNING || run->is_end_listed || claim == NULL ||
        !jr_claims_are_free(claim->worker)) {
        return;
    }
    jr_count(d->ctx, JR_C_SERVICE_MOVES);
    jr_log(d->ctx, JR_EV_SERVICE_MOVED, "task=%s worker=%s to=%s",
           jr_run_text(run, text, sizeof text), run->worker->worker->info->id,
           claim->worker->worker->info->id);
    jr_run_stop(d, run);
}

void
jr_leave_move_services(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;
    jr_run_t *run;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (!drains(w)) {
            continue;
        }
        TAILQ_FOREACH (run, &w->runs, link) {
            move(d, run);
        }
    }
}
