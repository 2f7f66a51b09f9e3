/*
 * Paces of fillers. They are slowed down as far as the services beside them
 * need, those that take most of their headroom first, and work on at full pace
 * as there is headroom again. One that hardly works for long moves to a worker
 * with room.
 */
#include "dispatch.h"

enum {
    PACE_DOWN_STEP = 8, /* smaller changes are not worth an order */
    PACE_UP_STEP = 15,
    FILLERS_MAX = 64, /* on one worker, that are slowed down */
    SLOWED_STEP_MAX_MS = 1000,
    MOVED_PACE_MAX = 40,         /* what works faster stays */
    MOVED_AFTER_MS = 700,        /* of lost time, with a checkpoint */
    MOVED_WHOLE_AFTER_MS = 2000, /* when all of its work would be lost */
};

/* Headroom that a service is to keep: of its target over its tail. */
static const double HEADROOM_KEPT = 1.1;
/* A filler that takes less from a service, as a whole worker, is let be. */
static const double LEAST_SLOPE = 0.2;

/* A filler whose pace is being planned. */
typedef struct {
    jr_run_t *run;
    jr_tail_load_t load; /* at its planned pace */
    double whole;        /* share at full pace */
} paced_t;

static size_t
collect_fillers(const jr_lead_worker_t *w, paced_t *fillers)
{
    jr_run_t *run;
    size_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        const Jr__JobStep *step = jr_task_step(run->task);

        if (step->filler && n < FILLERS_MAX) {
            double share = jr_loads_share(w, step);

            fillers[n++] = (paced_t){
                .run = run, .load = {run->image, share}, .whole = share};
        }
    }
    return n;
}

/* Headroom that the planned fillers leave to a service. */
static double
headroom_left(const jr_dispatch_t *d, const jr_run_t *service,
              const paced_t *fillers, size_t n)
{
    double left = jr_loads_alone(d, service);

    for (size_t i = 0; i < n; i++) {
        left -= jr_tails_headroom_loss(d->tails, service->image,
                                       &fillers[i].load, 1);
    }
    return left;
}

double
jr_pace_slope(const jr_dispatch_t *d, const jr_run_t *service,
              jr_image_t filler)
{
    jr_tail_load_t whole = {.image = filler, .share = 1.0};

    return jr_tails_headroom_loss(d->tails, service->image, &whole, 1);
}

/* The one that takes most for what it gets done; NULL when none matters. */
static paced_t *
find_worst(const jr_dispatch_t *d, const jr_run_t *service, paced_t *fillers,
           size_t n)
{
    paced_t *worst = NULL;
    double most = LEAST_SLOPE;

    for (size_t i = 0; i < n; i++) {
        double slope = jr_pace_slope(d, service, fillers[i].load.image);

        if (fillers[i].load.share > 0.0 && slope > most) {
            most = slope;
            worst = &fillers[i];
        }
    }
    return worst;
}

static void
slow_down_for(const jr_dispatch_t *d, const jr_run_t *service,
              paced_t *fillers, size_t n)
{
    double lacking = HEADROOM_KEPT - headroom_left(d, service, fillers, n);
    paced_t *filler;

    while (lacking > 0.0 &&
           (filler = find_worst(d, service, fillers, n)) != NULL) {
        double slope = jr_pace_slope(d, service, filler->load.image);

        if (filler->load.share * slope > lacking) {
            filler->load.share -= lacking / slope;
            return;
        }
        lacking -= filler->load.share * slope;
        filler->load.share = 0.0;
    }
}

static void
plan_paces(const jr_dispatch_t *d, const jr_lead_worker_t *w, paced_t *fillers,
           size_t n)
{
    const jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_loads_has_target(run) && jr_loads_is_at_work(run)) {
            slow_down_for(d, run, fillers, n);
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
count_slowed(const jr_dispatch_t *d, jr_lead_worker_t *w)
{
    int64_t gap_ms = MIN(d->now - w->guarded_at, SLOWED_STEP_MAX_MS);
    jr_run_t *run;

    w->guarded_at = d->now;
    TAILQ_FOREACH (run, &w->runs, link) {
        if (run->state == JR_RUN_RUNNING) {
            run->slowed_ms +=
                gap_ms * (JR_PACE_WHOLE - run->pace_wanted) / JR_PACE_WHOLE;
        }
    }
}

void
jr_pace_order(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    paced_t fillers[FILLERS_MAX];
    size_t n = collect_fillers(w, fillers);

    count_slowed(d, w);
    plan_paces(d, w, fillers, n);
    for (size_t i = 0; i < n; i++) {
        int pace = fillers[i].whole > 0.0
                       ? (int)(JR_PACE_WHOLE * fillers[i].load.share /
                               fillers[i].whole)
                       : JR_PACE_WHOLE;
        int change = pace - (int)fillers[i].run->pace_wanted;

        if (fillers[i].run->pace == JR_PACE_UNKNOWN ||
            change <= -PACE_DOWN_STEP || change >= PACE_UP_STEP ||
            (change > 0 && pace == JR_PACE_WHOLE)) {
            set_pace(d, fillers[i].run, (uint32_t)pace);
        }
    }
}

static bool
is_worth_moving(const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return step->filler && !step->gang && run->state == JR_RUN_RUNNING &&
           run->pace_wanted < MOVED_PACE_MAX &&
           run->slowed_ms >
               (step->checkpoints ? MOVED_AFTER_MS : MOVED_WHOLE_AFTER_MS);
}

/* A filler that stands beside services for long, while others have room. */
void
jr_pace_move_slowed(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    char text[JR_RUN_TEXT_BYTES];
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        jr_lead_worker_t *other;
        jr_need_t need;

        if (!is_worth_moving(run)) {
            continue;
        }
        run->slowed_ms = 0;
        jr_need_of(jr_task_step(run->task), &need);
        other = jr_choose_worker(d, run->task, &need);
        if (other == NULL || other == w) {
            continue;
        }
        jr_count(d->ctx, JR_C_MOVES);
        jr_log(d->ctx, JR_EV_FILLER_MOVED,
               "task=%s worker=%s image=%s percent=%u pace=%u to=%s",
               jr_run_text(run, text, sizeof text), w->worker->info->id,
               jr_task_step(run->task)->image, run->percent, run->pace_wanted,
               other->worker->info->id);
        jr_run_stop(d, run);
        return;
    }
}
