/*
 * Fillers beside services. The tails that workers list teach the model of
 * tails. Fillers are slowed down as far as the services beside them need,
 * and work on at full pace as these have headroom again. Where that doesn't
 * help in time, all fillers leave for a while.
 */
#include "dispatch.h"

#include <math.h>

enum {
    OVERDUE_MS = 2000,  /* over a target beside fillers: they all go */
    CLEARED_MS = 2000,  /* and stay away, to see whether it helped */
    PACE_DOWN_STEP = 8, /* smaller changes are not worth an order */
    PACE_UP_STEP = 15,
    FILLERS_MAX = 64, /* on one worker, that are slowed down */
    SLOWED_STEP_MAX_MS = 1000,
    MOVED_PACE_MAX = 40,         /* what works faster stays */
    MOVED_AFTER_MS = 700,        /* of lost time, with a checkpoint */
    MOVED_WHOLE_AFTER_MS = 2000, /* when all of its work would be lost */
};

static const double TARGET = 1.0;
/* Headroom that a service is to keep: of its target over its tail. */
static const double HEADROOM_KEPT = 1.1;
/* A filler that takes less from a service, as a whole worker, is let be. */
static const double LEAST_SLOPE = 0.2;
/* How fast an error of the model at one task is believed. */
static const double ERROR_GAIN = 0.3;
static const double ERROR_MAX = 1.0;

/* A filler whose pace is being planned. */
typedef struct {
    jr_run_t *run;
    jr_tail_load_t load; /* at its planned pace */
    double whole;        /* share at full pace */
} paced_t;

bool
jr_guard_is_needed(const jr_lead_worker_t *w)
{
    return w->n_services > 0 && w->filler_milli > 0;
}

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
        left -= jr_tails_taken(d->tails, service->image, &fillers[i].load, 1);
    }
    return left;
}

static double
slope_of(const jr_dispatch_t *d, const jr_run_t *service, jr_image_t filler)
{
    jr_tail_load_t whole = {.image = filler, .share = 1.0};

    return jr_tails_taken(d->tails, service->image, &whole, 1);
}

/* The one that takes most for what it gets done; NULL when none matters. */
static paced_t *
find_worst(const jr_dispatch_t *d, const jr_run_t *service, paced_t *fillers,
           size_t n)
{
    paced_t *worst = NULL;
    double most = LEAST_SLOPE;

    for (size_t i = 0; i < n; i++) {
        double slope = slope_of(d, service, fillers[i].load.image);

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
        double slope = slope_of(d, service, filler->load.image);

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
order_paces(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    paced_t fillers[FILLERS_MAX];
    size_t n = collect_fillers(w, fillers);

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
static void
move_slowed(jr_dispatch_t *d, jr_lead_worker_t *w)
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

static void
stop_filler(jr_dispatch_t *d, jr_lead_worker_t *w, jr_run_t *run,
            const jr_run_t *service)
{
    char text[JR_RUN_TEXT_BYTES];

    jr_log(
        d->ctx, JR_EV_FILLER_STOPPED,
        "task=%s worker=%s image=%s service=%s ratio=%.2f alone=%.2f "
        "slope=%.2f pace=%u ran_ms=%lld",
        jr_run_text(run, text, sizeof text), w->worker->info->id,
        jr_task_step(run->task)->image, jr_task_step(service->task)->image,
        jr_loads_ratio(service), jr_loads_alone(d, service),
        slope_of(d, service, run->image), run->pace_wanted,
        (long long)(run->confirmed_at > 0 ? d->now - run->confirmed_at : 0));
    jr_count(d->ctx, JR_C_EVICTIONS);
    jr_run_stop(d, run);
}

/*
 * The model may hold every filler for harmless, and be wrong: a service that
 * stays over its target is freed of all of them.
 */
static void
clear_fillers(jr_dispatch_t *d, jr_lead_worker_t *w, const jr_run_t *service)
{
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_task_step(run->task)->filler && !run->is_stop_wanted) {
            stop_filler(d, w, run, service);
        }
    }
    w->cleared_until = d->now + CLEARED_MS;
}

/* The service that is furthest over its target, NULL for none. */
static const jr_run_t *
find_over_target(const jr_lead_worker_t *w)
{
    const jr_run_t *worst = NULL;
    const jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_loads_has_target(run) && jr_loads_is_at_work(run) &&
            jr_loads_ratio(run) > TARGET &&
            (worst == NULL || jr_loads_ratio(run) > jr_loads_ratio(worst))) {
            worst = run;
        }
    }
    return worst;
}

static void
watch_target(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    const jr_run_t *service = find_over_target(w);

    if (service == NULL) {
        w->over_since = 0;
        w->beside_since = 0;
        return;
    }
    w->over_since = w->over_since != 0 ? w->over_since : d->now;
    if (w->filler_milli == 0) {
        w->beside_since = 0;
    }
    else if (w->beside_since == 0) {
        w->beside_since = d->now;
    }
    else if (d->now - w->beside_since >= OVERDUE_MS) {
        clear_fillers(d, w, service);
        w->beside_since = 0;
    }
}

/* What stays over its target without fillers does not need their absence. */
bool
jr_guard_allows(const jr_dispatch_t *d, const jr_lead_worker_t *w)
{
    return d->now >= w->cleared_until &&
           (w->over_since == 0 ||
            d->now - w->over_since >= OVERDUE_MS + CLEARED_MS);
}

/* What the model expected at this task, less what was listed. */
static void
note_error(jr_dispatch_t *d, jr_run_t *run, const jr_tail_load_t *loads,
           size_t n)
{
    double expected = jr_tails_alone(d->tails, run->task->job->id, d->now) -
                      jr_tails_taken(d->tails, run->image, loads, n);
    double error =
        CLAMP(expected - 1.0 / jr_loads_ratio(run), -ERROR_MAX, ERROR_MAX);

    run->tail_error += ERROR_GAIN * (error - run->tail_error);
}

static void
learn(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    jr_tail_load_t loads[JR_TAIL_LOADS_MAX];
    size_t n = jr_loads_seen(w, loads);
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        jr_tail_seen_t seen;

        if (!jr_loads_has_target(run) || !jr_loads_is_at_work(run) ||
            run->gauge == 0) {
            continue;
        }
        seen = (jr_tail_seen_t){
            .service = run->image,
            .job = run->task->job->id,
            .tail_ms = run->gauge,
            .target_ms = jr_task_step(run->task)->tail_target_ms,
            .loads = loads,
            .n_loads = n,
            .at_ms = d->now,
        };
        jr_tails_learn(d->tails, &seen);
        note_error(d, run, loads, n);
    }
}

void
jr_guard_worker(jr_dispatch_t *d, jr_lead_worker_t *w)
{
    learn(d, w);
    count_slowed(d, w);
    order_paces(d, w);
    move_slowed(d, w);
    watch_target(d, w);
    w->is_load_stale = true;
}
