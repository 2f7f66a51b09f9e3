/*
 * Capacity for urgent tasks. Services fill what short tasks leave, for long;
 * when the demand of urgent short tasks rises, some services give way.
 */
#include "dispatch.h"

#include "jayrelay/preempt.h"

enum {
    /* From the decision until the end of a stopped task is in the log. */
    STOP_MS = 1000,
    /* A service that was stopped starts again after about this time. */
    SERVICE_LOST_MS = 5000,
    /*
     * Processors, of all, that may be lost to stopped tasks on average, in
     * thousandths.
     */
    LOST_PERMILLE = 100,
    LOST_WINDOW_MS = 10000, /* of that average */
    PERMILLE = 1000,
};

typedef struct {
    jr_dispatch_t *d;
    const jr_demand_sum_t *waiting;
    GHashTable *missing; /* step progress -> number of its missing tasks */
    GArray *workers;     /* of jr_preempt_worker_t */
    GArray *victims;     /* of jr_preempt_victim_t, by worker */
    int64_t stopping_milli;
} candidates_t;

/* Tasks of the step that are not at work; counted once for each decision. */
static uint32_t
count_missing(const candidates_t *candidates, const jr_job_task_t *task)
{
    jr_step_progress_t *progress = jr_task_step_progress(task);
    gpointer known;
    uint32_t n;

    if (g_hash_table_lookup_extended(candidates->missing, progress, NULL,
                                     &known)) {
        return GPOINTER_TO_UINT(known);
    }
    n = jr_step_count_missing(task);
    g_hash_table_insert(candidates->missing, progress, GUINT_TO_POINTER(n));
    return n;
}

/* May one more task of the step be missing? */
static bool
may_miss_one_more(const candidates_t *candidates, const jr_job_task_t *task)
{
    uint32_t may_miss = jr_task_step(task)->may_miss;
    uint32_t n_others;

    if (may_miss == 0) {
        return true;
    }
    n_others = count_missing(candidates, task) - !jr_task_is_at_work(task);
    return n_others < may_miss;
}

/* The task is about to be stopped. */
static void
note_missing(const candidates_t *candidates, const jr_job_task_t *task)
{
    uint32_t n;

    if (jr_task_step(task)->may_miss == 0 || !jr_task_is_at_work(task)) {
        return;
    }
    n = count_missing(candidates, task);
    g_hash_table_insert(candidates->missing, jr_task_step_progress(task),
                        GUINT_TO_POINTER(n + 1));
}

static void
add_victims(candidates_t *candidates, jr_tracked_worker_t *w)
{
    const Jr__JobWorker *info = w->worker->info;
    jr_preempt_worker_t worker = {
        .free = {.cpu_milli = info->cpu_milli - w->used.cpu_milli -
                              w->claimed.cpu_milli,
                 .memory_mb = info->memory_mb - w->used.memory_mb -
                              w->claimed.memory_mb},
    };
    jr_run_t *run;

    candidates->d->room_looks++;
    TAILQ_FOREACH (run, &w->runs, link) {
        jr_preempt_victim_t victim = {
            .size = {.cpu_milli = run->need.cpu_milli,
                     .memory_mb = run->need.memory_mb},
            .lost_ms = SERVICE_LOST_MS,
            .ends_in_ms = INT64_MAX,
            .stops = run->task->preempted,
            .user = run,
        };

        candidates->d->room_looks++;
        if (jr_run_is_ending(run)) {
            candidates->stopping_milli += run->need.cpu_milli;
        }
        else if (run->state == JR_RUN_RUNNING && !run->is_stop_wanted &&
                 jr_task_step(run->task)->service &&
                 may_miss_one_more(candidates, run->task)) {
            g_array_append_val(candidates->victims, victim);
            worker.n_victims++;
        }
    }
    g_array_append_val(candidates->workers, worker);
}

/* The victims are in one array, which may have moved while it grew. */
static void
link_victims(candidates_t *candidates)
{
    const jr_preempt_victim_t *next =
        (const jr_preempt_victim_t *)candidates->victims->data;

    for (guint i = 0; i < candidates->workers->len; i++) {
        jr_preempt_worker_t *worker =
            &g_array_index(candidates->workers, jr_preempt_worker_t, i);

        worker->victims = next;
        next += worker->n_victims;
    }
}

static void
collect(candidates_t *candidates)
{
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &candidates->d->workers, link) {
        if (w->is_usable &&
            jr_worker_is_eligible(w, candidates->waiting->example)) {
            add_victims(candidates, w);
        }
    }
    link_victims(candidates);
}

/* What may be lost now, in milliseconds of one processor. */
static int64_t
remaining_budget(jr_dispatch_t *d)
{
    double age_ms =
        (double)MIN(d->now - d->lost_updated_at, (int64_t)LOST_WINDOW_MS);
    int64_t all_milli = 0;
    const jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        all_milli += w->is_usable ? w->worker->info->cpu_milli : 0;
    }
    d->preempted_cpu_ms -= d->preempted_cpu_ms * age_ms / LOST_WINDOW_MS;
    d->lost_updated_at = d->now;
    return all_milli * LOST_PERMILLE / PERMILLE * LOST_WINDOW_MS / PERMILLE -
           (int64_t)d->preempted_cpu_ms;
}

static void
stop(const candidates_t *candidates, const jr_preempt_victim_t *victim)
{
    jr_dispatch_t *d = candidates->d;
    jr_run_t *run = victim->user;
    char text[JR_RUN_TEXT_BYTES];

    note_missing(candidates, run->task);
    d->preempted_cpu_ms +=
        (double)victim->lost_ms * (double)victim->size.cpu_milli / PERMILLE;
    run->task->preempted++;
    jr_count(d->ctx, JR_C_PREEMPTIONS);
    jr_log_job(d->ctx, JR_EV_RUN_PREEMPTED, run->task->job->id,
               "task=%s worker=%s urgent_waiting_cpu=%lld",
               jr_run_text(run, text, sizeof text),
               run->worker->worker->info->id,
               (long long)candidates->waiting->cpu_milli);
    jr_run_stop(d, run);
}

static void
choose_and_stop(const candidates_t *candidates,
                const jr_preempt_request_t *request)
{
    jr_dispatch_t *d = candidates->d;
    jr_preempt_result_t result = {
        .chosen = jr_alloc(d->ctx, (candidates->victims->len + 1) *
                                       sizeof(jr_preempt_victim_t *)),
    };

    jr_preempt_choose(d->ctx, request,
                      (const jr_preempt_worker_t *)candidates->workers->data,
                      candidates->workers->len, &result);
    for (size_t i = 0; i < result.n; i++) {
        const jr_run_t *run = result.chosen[i]->user;

        /* Another task of its step may be among the chosen. */
        if (may_miss_one_more(candidates, run->task)) {
            stop(candidates, result.chosen[i]);
        }
    }
    jr_free(d->ctx, result.chosen);
}

/* By how much the demand is expected to rise until stopped tasks have ended.
 */
static int64_t
expected_rise_milli(const jr_dispatch_t *d)
{
    return (int64_t)(jr_demand_expected(&d->short_demand, STOP_MS) -
                     d->short_demand.latest);
}

/*
 * @excess: processors that services hold beyond their share; reduced by those
 * that are freed for these tasks.
 */
static void
make_room_for(candidates_t *candidates, int64_t *excess)
{
    const jr_demand_sum_t *waiting = candidates->waiting;
    int64_t lacking =
        MIN(waiting->cpu_milli + expected_rise_milli(candidates->d), *excess);

    if (lacking <= 0) {
        return;
    }
    *excess -= lacking;
    collect(candidates);
    lacking -= candidates->stopping_milli;
    if (lacking > 0) {
        jr_preempt_request_t request = {
            .need = {.cpu_milli = waiting->cpu_milli / (int64_t)waiting->n,
                     .memory_mb = waiting->memory_mb / (int64_t)waiting->n},
            .stop_ms = STOP_MS,
            .lost_max = remaining_budget(candidates->d),
        };

        int64_t size = MAX(request.need.cpu_milli, (int64_t)1);

        request.wanted = (size_t)((lacking + size - 1) / size);
        choose_and_stop(candidates, &request);
    }
}

void
jr_urgent_make_room(jr_dispatch_t *d, const GArray *waiting)
{
    int64_t share = d->n_unclaimed > 0 ? JR_SHORT_SHARE_IN_TURNS_PERMILLE
                                       : JR_SHORT_SHARE_PERMILLE;
    int64_t excess = -jr_reserve_left_for_services(d, share);
    GHashTable *missing;

    if (!jr_missing_is_known(d)) {
        return;
    }
    missing = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint i = 0; i < waiting->len; i++) {
        candidates_t candidates = {
            .d = d,
            .waiting = &g_array_index(waiting, jr_demand_sum_t, i),
            .missing = missing,
            .workers = g_array_new(FALSE, FALSE, sizeof(jr_preempt_worker_t)),
            .victims = g_array_new(FALSE, FALSE, sizeof(jr_preempt_victim_t)),
        };

        make_room_for(&candidates, &excess);
        g_array_unref(candidates.workers);
        g_array_unref(candidates.victims);
    }
    g_hash_table_unref(missing);
}
