/*
 * What is stopped for services that lost their run: short tasks on a place
 * that one claims, and services that take turns with those that wait.
 */
#include "claim.h"

enum {
    /*
     * Then short tasks are stopped for a service: a stop and a start may take
     * two of the seven seconds in which it runs again.
     */
    STOP_SHORT_AFTER_MS = 5000,
    /* The same while its worker is silent, and its lease is about to end. */
    STOP_SHORT_SILENT_AFTER_MS = 5800,
    /* A service runs for so long before it gives its place to another one. */
    RUN_MIN_MS = 6000,
    RUN_MIN_FOR_LATE_MS = 3000, /* to one that should run again by now */
    MS_PER_COST = 10, /* of such a run, against the costs in choose.c */
};

/* One of an earlier leader began before this one was elected. */
static bool
has_run_for(const jr_dispatch_t *d, const jr_run_t *run, int64_t min_ms)
{
    return run->is_inherited || d->now - run->granted_at >= min_ms;
}

/* May the service give its place to another one? */
static bool
may_give_place(const jr_dispatch_t *d, const jr_run_t *run, int64_t min_ms)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return run->state == JR_RUN_RUNNING && !run->is_stop_wanted &&
           !jr_run_is_ending(run) && step->service && !step->gang &&
           has_run_for(d, run, min_ms) &&
           (step->may_miss == 0 ||
            (jr_missing_is_known(d) && jr_step_may_miss_one_more(run->task)));
}

/* Would a task of this need fit there instead of the run? */
static bool
fits_instead(const jr_tracked_worker_t *w, const jr_run_t *run,
             const jr_need_t *need)
{
    jr_need_t taken = w->staying;

    jr_need_add(&taken, &w->claimed, 1);
    jr_need_add(&taken, &run->need, -1);
    return jr_need_fits_beside(need, &taken, w->worker->info);
}

void
jr_displace_begin(jr_dispatch_t *d)
{
    g_ptr_array_set_size(d->givers, 0);
    d->has_givers = false;
}

/* Once in a pass, as most runs need not be looked at for each task. */
static const GPtrArray *
list_givers(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;
    jr_run_t *run;

    if (d->has_givers) {
        return d->givers;
    }
    d->has_givers = true;
    TAILQ_FOREACH (w, &d->workers, link) {
        if (!w->is_usable || w->n_services == 0) {
            continue;
        }
        TAILQ_FOREACH (run, &w->runs, link) {
            if (may_give_place(d, run, RUN_MIN_FOR_LATE_MS)) {
                g_ptr_array_add(d->givers, run);
            }
        }
    }
    return d->givers;
}

/* The service that has run longest, on a worker that suits the task. */
static jr_run_t *
find_service(jr_dispatch_t *d, const jr_job_task_t *task,
             const jr_need_t *need, int64_t min_ms)
{
    const GPtrArray *givers = list_givers(d);
    jr_image_t image = jr_tails_image(d->tails, jr_task_step(task)->image);
    jr_run_t *best = NULL;
    int64_t most = 0;

    for (guint i = 0; i < givers->len; i++) {
        jr_run_t *run = g_ptr_array_index(givers, i);
        const jr_tracked_worker_t *w = run->worker;
        int64_t worth;

        if (!fits_instead(w, run, need) || !jr_claim_suits(w, task)) {
            continue;
        }
        worth = (d->now - run->granted_at) / MS_PER_COST -
                jr_choose_base_cost(d, w, task, image);
        if ((best == NULL || worth > most) && may_give_place(d, run, min_ms)) {
            best = run;
            most = worth;
        }
    }
    return best;
}

static void
stop(jr_dispatch_t *d, jr_run_t *run)
{
    char text[JR_RUN_TEXT_BYTES];

    jr_count(d->ctx, JR_C_STOPS_FOR_SERVICES);
    jr_log_job(
        d->ctx, JR_EV_RUN_GAVE_WAY, run->task->job->id,
        "task=%s worker=%s service=%d", jr_run_text(run, text, sizeof text),
        run->worker->worker->info->id, jr_task_step(run->task)->service);
    jr_run_stop(d, run);
}

/*
 * One of several that give their places to a larger task; of those of which
 * few may be missing none, as that is not counted for several at a time.
 */
static bool
may_give_among_several(const jr_dispatch_t *d, const jr_run_t *run,
                       int64_t min_ms)
{
    return jr_task_step(run->task)->may_miss == 0 &&
           may_give_place(d, run, min_ms);
}

/*
 * Services there, in the order of the worker's list, that have to give their
 * places until the task fits; 0: it does not. They are stopped if wanted.
 */
static size_t
displace_several(jr_dispatch_t *d, jr_tracked_worker_t *w,
                 const jr_need_t *need, int64_t min_ms, bool is_wanted)
{
    jr_need_t taken = w->staying;
    size_t n = 0;
    jr_run_t *run;

    jr_need_add(&taken, &w->claimed, 1);
    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_need_fits_beside(need, &taken, w->worker->info)) {
            break;
        }
        if (may_give_among_several(d, run, min_ms)) {
            jr_need_add(&taken, &run->need, -1);
            n++;
            if (is_wanted) {
                jr_need_add(&w->staying, &run->need, -1);
                stop(d, run);
            }
        }
    }
    return jr_need_fits_beside(need, &taken, w->worker->info) ? n : 0;
}

/* Where the fewest services give their places to the task, which is larger. */
static jr_tracked_worker_t *
find_several(jr_dispatch_t *d, const jr_job_task_t *task,
             const jr_need_t *need, int64_t min_ms)
{
    jr_tracked_worker_t *best = NULL;
    size_t fewest = 0;
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        size_t n = w->n_services > 1 && jr_claim_suits(w, task)
                       ? displace_several(d, w, need, min_ms, false)
                       : 0;

        if (n > 0 && (best == NULL || n < fewest)) {
            best = w;
            fewest = n;
        }
    }
    return best;
}

jr_tracked_worker_t *
jr_displace_service(jr_dispatch_t *d, const jr_job_task_t *task,
                    const jr_need_t *need)
{
    int64_t min_ms =
        jr_claim_is_late(d, task) ? RUN_MIN_FOR_LATE_MS : RUN_MIN_MS;
    jr_run_t *run = find_service(d, task, need, min_ms);
    jr_tracked_worker_t *w;

    if (run != NULL) {
        jr_need_add(&run->worker->staying, &run->need, -1);
        stop(d, run);
        return run->worker;
    }
    w = list_givers(d)->len > 1 ? find_several(d, task, need, min_ms) : NULL;
    if (w != NULL) {
        displace_several(d, w, need, min_ms, true);
    }
    return w;
}

/* Should the place of the task be free by now? */
static bool
is_due(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    int64_t suspect_at = task->run != NULL ? task->run->worker->suspect_at : 0;

    if (jr_claim_is_waiting(task)) {
        return jr_claim_waited_ms(d, task) >= STOP_SHORT_AFTER_MS;
    }
    return suspect_at != 0 &&
           d->now - suspect_at >= STOP_SHORT_SILENT_AFTER_MS;
}

/* What the services whose claim is due lack there. */
static jr_need_t
lacking_on(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    const Jr__JobWorker *info = w->worker->info;
    jr_need_t lacking = w->used;
    const jr_need_t capacity = {.cpu_milli = info->cpu_milli,
                                .memory_mb = info->memory_mb,
                                .accelerators = info->accelerators};
    const jr_claim_t *claim;
    const jr_run_t *run;
    bool has_due = false;

    TAILQ_FOREACH (claim, &w->claims, worker_link) {
        if (is_due(d, claim->task)) {
            jr_need_add(&lacking, &claim->need, 1);
            has_due = true;
        }
    }
    if (!has_due) {
        return (jr_need_t){0};
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_run_is_ending(run)) {
            jr_need_add(&lacking, &run->need, -1);
        }
    }
    jr_need_add(&lacking, &capacity, -1);
    return lacking;
}

static bool
helps(const jr_run_t *run, const jr_need_t *lacking)
{
    return run->state == JR_RUN_RUNNING && !run->is_stop_wanted &&
           !jr_run_is_ending(run) && !jr_task_step(run->task)->service &&
           ((lacking->cpu_milli > 0 && run->need.cpu_milli > 0) ||
            (lacking->memory_mb > 0 && run->need.memory_mb > 0) ||
            (lacking->accelerators > 0 && run->need.accelerators > 0));
}

static uint32_t
priority_of(const jr_run_t *run)
{
    const Jr__JobQueue *config = run->task->job->queue->last_config;

    return config != NULL ? config->priority : UINT32_MAX;
}

/* No member of a gang, then the least urgent, then the one that began last. */
static bool
is_better_victim(const jr_run_t *a, const jr_run_t *b)
{
    bool is_gang_a = jr_task_step(a->task)->gang;
    bool is_gang_b = jr_task_step(b->task)->gang;

    if (is_gang_a != is_gang_b) {
        return is_gang_b;
    }
    if (priority_of(a) != priority_of(b)) {
        return priority_of(a) > priority_of(b);
    }
    return a->granted_at > b->granted_at;
}

static jr_run_t *
find_victim(const jr_tracked_worker_t *w, const jr_need_t *lacking)
{
    jr_run_t *best = NULL;
    jr_run_t *run;

    TAILQ_FOREACH (run, &w->runs, link) {
        if (helps(run, lacking) &&
            (best == NULL || is_better_victim(run, best))) {
            best = run;
        }
    }
    return best;
}

static void
make_room_on(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_need_t lacking = lacking_on(d, w);
    jr_run_t *run;

    while ((run = find_victim(w, &lacking)) != NULL) {
        jr_need_add(&lacking, &run->need, -1);
        stop(d, run);
    }
}

void
jr_displace_short(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (!TAILQ_EMPTY(&w->claims)) {
            make_room_on(d, w);
        }
    }
}
