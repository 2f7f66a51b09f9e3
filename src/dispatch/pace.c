/*
 * Paces of best-effort tasks. They are slowed down as far as the services on
 * the same worker need it, beginning with the tasks that take the most
 * headroom, and return to full pace as headroom becomes available. A task that
 * has lost much time at a low pace moves to a worker with capacity.
 */
#include "dispatch.h"

enum {
    /* Percent of full pace; smaller changes are not worth an order. */
    PACE_DOWN_STEP = 8,
    PACE_UP_STEP = 15,
    BEST_EFFORT_MAX = 64, /* tasks paced on one worker; others keep theirs */
    SLOWED_STEP_MAX_MS = 1000,    /* most time counted in one update */
    MOVE_PACE_MAX = 40,           /* percent; faster tasks stay */
    MOVE_AFTER_MS = 700,          /* of lost time, with checkpoints */
    MOVE_UNSAVED_AFTER_MS = 2000, /* without: all of its work would be lost */
    MOVES_MAX = 16, /* tasks for which one pass looks for another worker */
};

/* Headroom (target divided by tail latency) that services keep. */
static const double HEADROOM_KEPT = 1.1;
/*
 * Tasks of an image that would take less headroom with all processors of the
 * worker are not slowed down. Headroom lost to a whole worker.
 */
static const double MIN_SLOPE = 0.2;

/* A best-effort task whose pace is being planned. */
typedef struct {
    jr_run_t *run;
    jr_tail_load_t load; /* at its planned pace */
    double full_share;   /* share at full pace */
} paced_t;

static size_t
collect_best_effort(const jr_tracked_worker_t *w, paced_t *planned)
{
    jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        const Jr__JobStep *step = jr_task_step(run->task);

        if (step->filler && n < BEST_EFFORT_MAX) {
            double share = jr_loads_share(w, step);

            planned[n++] = (paced_t){
                .run = run, .load = {run->image, share}, .full_share = share};
        }
    }
    return n;
}

/* Headroom that a service has left beside the planned tasks. */
static double
headroom_left(const jr_dispatch_t *d, const jr_run_t *service,
              const paced_t *planned, size_t n)
{
    double left = jr_loads_headroom(d, service);

    for (size_t i = 0; i < n; i++) {
        left -= jr_tails_headroom_loss(d->tails, service->image,
                                       &planned[i].load, 1);
    }
    return left;
}

double
jr_pace_slope(const jr_dispatch_t *d, const jr_run_t *service,
              jr_image_t image)
{
    jr_tail_load_t whole = {.image = image, .share = 1.0};

    return jr_tails_headroom_loss(d->tails, service->image, &whole, 1);
}

/*
 * The task that takes the most headroom per processor; NULL when none takes
 * more than MIN_SLOPE.
 */
static paced_t *
find_worst(const jr_dispatch_t *d, const jr_run_t *service, paced_t *planned,
           size_t n)
{
    paced_t *worst = NULL;
    double most = MIN_SLOPE;

    for (size_t i = 0; i < n; i++) {
        double slope = jr_pace_slope(d, service, planned[i].load.image);

        if (planned[i].load.share > 0.0 && slope > most) {
            most = slope;
            worst = &planned[i];
        }
    }
    return worst;
}

static void
slow_down_for(const jr_dispatch_t *d, const jr_run_t *service,
              paced_t *planned, size_t n)
{
    double lacking = HEADROOM_KEPT - headroom_left(d, service, planned, n);
    paced_t *worst;

    while (lacking > 0.0 &&
           (worst = find_worst(d, service, planned, n)) != NULL) {
        double slope = jr_pace_slope(d, service, worst->load.image);

        if (worst->load.share * slope > lacking) {
            worst->load.share -= lacking / slope;
            return;
        }
        lacking -= worst->load.share * slope;
        worst->load.share = 0.0;
    }
}

static void
plan_paces(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
           paced_t *planned, size_t n)
{
    const jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_loads_has_target(run) && jr_loads_is_serving(run)) {
            slow_down_for(d, run, planned, n);
        }
    }
}

static void
set_pace(jr_dispatch_t *d, jr_run_t *run, uint32_t pace)
{
    char text[JR_RUN_TEXT_BYTES];

    jr_count(d->ctx, JR_C_PACES);
    jr_log(d->ctx, JR_EV_FILLER_PACED,
           "task=%s worker=%s image=%s percent=%u was=%u",
           jr_run_text(run, text, sizeof text), run->worker->worker->info->id,
           jr_task_step(run->task)->image, pace, run->pace_wanted);
    jr_run_set_pace(d, run, pace);
}

static void
count_slowed(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    int64_t gap_ms = MIN(d->now - w->slowed_counted_at, SLOWED_STEP_MAX_MS);
    jr_run_t *run;

    w->slowed_counted_at = d->now;
    TAILQ_FOREACH (run, &w->runs, link) {
        if (run->state == JR_RUN_RUNNING) {
            run->slowed_ms +=
                gap_ms * (JR_PACE_FULL - run->pace_wanted) / JR_PACE_FULL;
        }
    }
}

void
jr_pace_update(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    paced_t planned[BEST_EFFORT_MAX];
    size_t n = collect_best_effort(w, planned);

    count_slowed(d, w);
    plan_paces(d, w, planned, n);
    for (size_t i = 0; i < n; i++) {
        int pace = planned[i].full_share > 0.0
                       ? (int)(JR_PACE_FULL * planned[i].load.share /
                               planned[i].full_share)
                       : JR_PACE_FULL;
        int change = pace - (int)planned[i].run->pace_wanted;

        if (planned[i].run->pace == JR_PACE_UNKNOWN ||
            change <= -PACE_DOWN_STEP || change >= PACE_UP_STEP ||
            (change > 0 && pace == JR_PACE_FULL)) {
            set_pace(d, planned[i].run, (uint32_t)pace);
        }
    }
}

static bool
is_worth_moving(const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return step->filler && !step->gang && run->state == JR_RUN_RUNNING &&
           run->pace_wanted < MOVE_PACE_MAX &&
           run->slowed_ms >
               (step->checkpoints ? MOVE_AFTER_MS : MOVE_UNSAVED_AFTER_MS);
}

bool
jr_pace_has_slowed(const jr_tracked_worker_t *w)
{
    const jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (is_worth_moving(run)) {
            return true;
        }
    }
    return false;
}

/* Returns whether another worker has capacity for the task. */
static bool
move(jr_dispatch_t *d, jr_run_t *run)
{
    const jr_tracked_worker_t *w = run->worker;
    const jr_tracked_worker_t *other = jr_choose_other(d, run);
    char text[JR_RUN_TEXT_BYTES];

    run->slowed_ms = 0;
    if (other == NULL) {
        return false;
    }
    jr_count(d->ctx, JR_C_MOVES);
    jr_log(d->ctx, JR_EV_FILLER_MOVED,
           "task=%s worker=%s image=%s percent=%u pace=%u to=%s",
           jr_run_text(run, text, sizeof text), w->worker->info->id,
           jr_task_step(run->task)->image, run->percent, run->pace_wanted,
           other->worker->info->id);
    jr_run_stop(d, run);
    return true;
}

/* Returns the number of tasks for which a worker was looked for. */
static size_t
move_one_of(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (is_worth_moving(run)) {
            n++;
            if (move(d, run)) {
                break;
            }
        }
    }
    return n;
}

void
jr_pace_move_slowed(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;
    size_t n = 0;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (n >= MOVES_MAX) {
            break; /* the others at the next pass */
        }
        if (w->has_slowed) {
            w->has_slowed = false;
            n += move_one_of(d, w);
        }
    }
}
