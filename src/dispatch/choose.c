/* Selects the worker on which a task runs best now. */
#include "claim.h"

#include <string.h>

enum {
    /* Costs, in thousandths of a whole worker. */
    FIRST_IMAGE_COST = 600, /* no service with a target there yet */
    MIX_COST = 3000,        /* services of another image there */
    SERVICE_WEIGHT = 1,   /* per unit of headroom lost to best-effort tasks */
    SHORTFALL_WEIGHT = 2, /* per unit of headroom missing at peak load */
    SERVICE_USE = 450,    /* per mille of a service's processors in use */
    FAILED_HERE_COST = 8000,    /* its latest run failed on this worker */
    STREAK_COST = 1500,         /* per recent failure here of another job */
    BESIDE_SUSPECT_COST = 4000, /* it may crash the worker again */
    RECENT_CRASH_COST = 4000,   /* another crash here would prove less */
    SUSPECT_BESIDE_COST = 100,  /* per run that would be lost then */
    /* Per thousandth of shortage; being slowed costs more than being far. */
    SHORTAGE_WEIGHT = 6,
    /* Per mille; beside other best-effort tasks, more makes a task wait. */
    SHORTAGE_MAX = 250,
    RELAX_AFTER_MS = 1200, /* without runs; then a job's limits relax */
    MS_PER_S = 1000,
    FAR_WEIGHT = 2, /* per thousandth of slowdown far from the data */
    PERMILLE = 1000,
};

/* A task for which a worker is wanted. */
typedef struct {
    const jr_job_task_t *task;
    const Jr__JobStep *step;
    const jr_need_t *need;
    jr_image_t image;
    int64_t waited_ms;    /* by a service */
    double headroom_kept; /* by each service beside a best-effort task */
    int64_t shortage_max; /* per mille of a best-effort task's processors */
} request_t;

/*
 * Headroom that services keep beside a new best-effort task; 1 is exactly at
 * the target.
 */
static const double HEADROOM_KEPT = 1.1;
static const double MIN_PEAK_HEADROOM = 1.05;   /* wanted at peak load */
static const double NEGLIGIBLE_HEADROOM = 0.05; /* always allowed */
/* Decrease of HEADROOM_KEPT per second, once limits are relaxed. */
static const double RELAX_PER_S = 0.5;

bool
jr_need_fits_beside(const jr_need_t *need, const jr_need_t *used,
                    const Jr__JobWorker *info)
{
    return need->cpu_milli + used->cpu_milli <= info->cpu_milli &&
           need->memory_mb + used->memory_mb <= info->memory_mb &&
           need->accelerators + used->accelerators <= info->accelerators;
}

bool
jr_worker_has_capacity(const jr_need_t *need, const jr_tracked_worker_t *w)
{
    return jr_need_fits_beside(need, &w->used, w->worker->info);
}

/* Capacity that is reserved for services is not available to other tasks. */
static bool
has_capacity_beside_reserved(const jr_need_t *need,
                             const jr_tracked_worker_t *w)
{
    jr_need_t used = w->used;

    jr_need_add(&used, &w->reserved, 1);
    return jr_need_fits_beside(need, &used, w->worker->info);
}

static bool
has_label(const Jr__JobWorker *info, const char *label)
{
    for (size_t i = 0; i < info->n_labels; i++) {
        if (strcmp(info->labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

bool
jr_worker_is_far(const jr_tracked_worker_t *w, const Jr__JobStep *step)
{
    return *step->data_rack != '\0' &&
           !has_label(w->worker->info, step->data_rack);
}

bool
jr_task_is_sibling(const jr_job_task_t *a, const jr_job_task_t *b)
{
    return a->job == b->job && a->step == b->step &&
           a->occurrence == b->occurrence;
}

uint32_t
jr_worker_siblings(const jr_tracked_worker_t *w, const jr_job_task_t *task)
{
    const jr_run_t *run;
    uint32_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        n += jr_task_is_sibling(run->task, task);
    }
    return n;
}

bool
jr_worker_is_eligible(const jr_tracked_worker_t *w, const jr_job_task_t *task)
{
    const Jr__JobStep *step = jr_task_step(task);
    const Jr__JobWorker *info = w->worker->info;

    if (strcmp(info->service, task->job->queue->last_config->service) != 0 ||
        (*step->label != '\0' && !has_label(info, step->label))) {
        return false;
    }
    return step->per_worker == 0 ||
           jr_worker_siblings(w, task) < step->per_worker;
}

static bool
is_candidate(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
             const request_t *request)
{
    const Jr__JobStep *step = request->step;
    bool has_capacity = step->service
                            ? jr_worker_has_capacity(request->need, w)
                            : has_capacity_beside_reserved(request->need, w);

    if (!has_capacity || !w->is_usable || !jr_health_allows(d, w)) {
        return false;
    }
    if (step->service &&
        (!jr_claims_leave_room(w, request->task, request->need) ||
         !jr_reserve_allows_service(d, w, request->task, request->need))) {
        return false;
    }
    return jr_worker_is_eligible(w, request->task);
}

static int64_t
share(int64_t part, int64_t whole)
{
    return whole > 0 ? part * PERMILLE / whole : 0;
}

int64_t
jr_choose_left_by_others(const jr_tracked_worker_t *w)
{
    int64_t in_use = w->used.cpu_milli - w->services.cpu_milli +
                     w->services.cpu_milli * SERVICE_USE / PERMILLE;

    return w->worker->info->cpu_milli - in_use;
}

/*
 * Share of the processors it asks for that a best-effort task would not get,
 * beside others that ask for @best_effort_milli.
 */
static int64_t
best_effort_shortage(int64_t left, int64_t best_effort_milli,
                     const Jr__JobStep *step)
{
    int64_t wanted = best_effort_milli + step->cpu_milli;

    return wanted > left ? PERMILLE * (wanted - MAX(left, 0)) / wanted : 0;
}

int64_t
jr_choose_best_effort_room(const jr_tracked_worker_t *w)
{
    int64_t left = MAX(jr_choose_left_by_others(w), (int64_t)0);

    if (w->best_effort_milli == 0) {
        return INT64_MAX; /* the first one is slowed down, but runs */
    }
    /* Where the shortage is just SHORTAGE_MAX, rounded up. */
    return left * PERMILLE / (PERMILLE - SHORTAGE_MAX) + 1 -
           w->best_effort_milli;
}

/*
 * A best-effort task keeps running while the load of the service varies, so
 * half of the difference to the peak load is taken into account.
 */
static double
expected_headroom(const jr_worker_tail_t *tail)
{
    return MIN(tail->headroom, (tail->headroom + tail->min_headroom) / 2.0);
}

/*
 * A task that asks for more processors takes more headroom, so that services
 * lack it as well, while the loads of the worker are the same.
 */
static bool
is_known_to_be_refused(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
                       const request_t *request)
{
    uint32_t refused_milli = w->refused_milli[request->image];

    return request->step->filler && refused_milli > 0 &&
           request->step->cpu_milli >= refused_milli &&
           request->headroom_kept >= HEADROOM_KEPT && jr_loads_are_fresh(d, w);
}

static void
note_refused(jr_tracked_worker_t *w, const request_t *request)
{
    uint32_t *refused_milli = &w->refused_milli[request->image];

    if (request->headroom_kept <= HEADROOM_KEPT &&
        (*refused_milli == 0 || request->step->cpu_milli < *refused_milli)) {
        *refused_milli = request->step->cpu_milli;
    }
}

/*
 * Headroom that the services on the worker would lack at their peak load
 * because of the best-effort task; -1 when the guard keeps such tasks away,
 * or when a service would already lack headroom. A task that takes a
 * negligible amount of headroom is allowed however little there is.
 */
static double
added_shortfall(jr_dispatch_t *d, jr_tracked_worker_t *w,
                const request_t *request)
{
    jr_tail_load_t load = {.image = request->image,
                           .share = jr_loads_share(w, request->step)};
    double sum = 0.0;

    if (!jr_guard_allows(d, w)) {
        return -1.0;
    }
    jr_loads_refresh(d, w);
    for (size_t i = 0; i < w->n_tails; i++) {
        const jr_worker_tail_t *tail = &w->tails[i];
        double taken = jr_tails_headroom_loss(d->tails, tail->image, &load, 1);

        if (taken > NEGLIGIBLE_HEADROOM &&
            expected_headroom(tail) - taken < request->headroom_kept) {
            note_refused(w, request);
            return -1.0;
        }
        sum += MIN(taken,
                   MAX(MIN_PEAK_HEADROOM - tail->min_headroom + taken, 0.0));
    }
    return sum;
}

/*
 * Places services of the same image on the same workers, so that a best-effort
 * task that disturbs one image finds workers without it.
 */
static int64_t
mix_cost(const jr_tracked_worker_t *w, jr_image_t image)
{
    if (w->n_tails == 0) {
        return FIRST_IMAGE_COST;
    }
    return w->n_tails == 1 && w->tails[0].image == image ? 0 : MIX_COST;
}

/* Prefers workers that are full already, so that others stay free. */
static int64_t
fullness_cost(int64_t left_milli, int64_t best_effort_milli,
              int64_t capacity_milli)
{
    return share(left_milli, capacity_milli) / 2 +
           share(best_effort_milli, capacity_milli) / 2;
}

static int64_t
packing_cost(jr_dispatch_t *d, jr_tracked_worker_t *w,
             const request_t *request)
{
    const Jr__JobStep *step = request->step;
    const jr_need_t *need = request->need;
    const Jr__JobWorker *info = w->worker->info;
    int64_t left = info->cpu_milli - w->used.cpu_milli - need->cpu_milli;
    int64_t sum = fullness_cost(left, w->best_effort_milli, info->cpu_milli);

    if (step->service && step->tail_target_ms > 0) {
        jr_loads_refresh(d, w);
        sum += mix_cost(w, request->image);
        sum += (int64_t)(SERVICE_WEIGHT * PERMILLE *
                         jr_tails_headroom_loss(d->tails, request->image,
                                                w->loads, w->n_loads));
    }
    return sum;
}

/* Keeps tasks apart under which a worker crashed, and others from them. */
static int64_t
crash_cost(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
           const jr_job_task_t *task)
{
    int64_t sum = w->n_suspects > 0 ? BESIDE_SUSPECT_COST : 0;
    const jr_run_t *run;

    if (task->crash_score == 0) {
        return sum;
    }
    if (jr_crash_is_recent(d, w)) {
        sum += RECENT_CRASH_COST;
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        sum += SUSPECT_BESIDE_COST;
    }
    return sum;
}

static int64_t
worker_cost(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
            const jr_job_task_t *task)
{
    const Jr__JobWorker *info = w->worker->info;
    int64_t sum = 0;

    if (jr_worker_is_far(w, jr_task_step(task))) {
        sum += (d->options.far_permille - PERMILLE) * FAR_WEIGHT;
    }
    if (task->failed_on != NULL && strcmp(task->failed_on, info->id) == 0) {
        sum += FAILED_HERE_COST;
    }
    if (task->failures > 0) {
        sum += (int64_t)w->failure_streak * STREAK_COST;
    }
    return sum + crash_cost(d, w, task) + jr_worker_quality_cost(d, w, task);
}

/* As mix_cost(); nothing where several images were on the worker. */
static int64_t
least_mix_cost(uint32_t n_targets, bool is_mixed, bool is_same)
{
    if (n_targets == 0) {
        return FIRST_IMAGE_COST;
    }
    return is_mixed || is_same ? 0 : MIX_COST;
}

int64_t
jr_choose_base_cost(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
                    const jr_job_task_t *task, jr_image_t image)
{
    int64_t sum = worker_cost(d, w, task);

    if (jr_task_step(task)->tail_target_ms > 0) {
        sum += least_mix_cost(w->n_targets, w->is_mixed,
                              w->target_image == image);
    }
    return sum;
}

/*
 * Cost of the task on this worker. It is -1 if the task is a best-effort one
 * that has to wait: it would slow services down, or get hardly any processors.
 */
static int64_t
cost(jr_dispatch_t *d, jr_tracked_worker_t *w, const request_t *request)
{
    int64_t shortage;
    double shortfall;

    if (!request->step->filler) {
        return worker_cost(d, w, request->task) + packing_cost(d, w, request);
    }
    shortage = best_effort_shortage(jr_choose_left_by_others(w),
                                    w->best_effort_milli, request->step);
    if (w->best_effort_milli > 0 && shortage > request->shortage_max) {
        return -1;
    }
    shortfall = added_shortfall(d, w, request);
    if (shortfall < 0.0) {
        return -1;
    }
    return worker_cost(d, w, request->task) + SHORTAGE_WEIGHT * shortage +
           (int64_t)(SHORTFALL_WEIGHT * PERMILLE * shortfall);
}

/*
 * While most processors are idle, a job of which nothing runs may place its
 * first task after RELAX_AFTER_MS, on the worker where the services lack the
 * least headroom; the guard protects the services.
 */
bool
jr_choose_is_relaxed(const jr_dispatch_t *d, const jr_job_t *job)
{
    return job->n_runs == 0 && d->is_mostly_idle &&
           d->wall_ms - job->idle_since > RELAX_AFTER_MS;
}

static void
set_limits(const jr_dispatch_t *d, request_t *request)
{
    const jr_job_t *job = request->task->job;
    int64_t idle_ms = d->wall_ms - job->idle_since - RELAX_AFTER_MS;

    request->headroom_kept = HEADROOM_KEPT;
    request->shortage_max = SHORTAGE_MAX;
    if (jr_choose_is_relaxed(d, job)) {
        request->headroom_kept -= RELAX_PER_S * (double)idle_ms / MS_PER_S;
        request->shortage_max = PERMILLE;
    }
}

static request_t
make_request(jr_dispatch_t *d, const jr_job_task_t *task,
             const jr_need_t *need)
{
    request_t request = {
        .task = task,
        .step = jr_task_step(task),
        .need = need,
        .image = jr_tails_image(d->tails, jr_task_step(task)->image),
        .waited_ms = jr_reserve_waited(d, task),
    };

    set_limits(d, &request);
    return request;
}

/* Cost of the task on a worker, or -1 if it can't be placed there now. */
static int64_t
candidate_cost(jr_dispatch_t *d, jr_tracked_worker_t *w,
               const request_t *request)
{
    jr_count(d->ctx, JR_C_WORKERS_EXAMINED);
    *(request->step->filler ? &d->best_effort_looks : &d->pass_looks) += 1;
    return is_candidate(d, w, request) ? cost(d, w, request) : -1;
}

/* As cost(), of what is known without a look at the worker. */
static int64_t
least_best_effort_cost(const jr_place_t *place, const request_t *request)
{
    int64_t shortage = best_effort_shortage(
        place->left_milli, place->best_effort_milli, request->step);

    return place->best_effort_milli > 0 && shortage > request->shortage_max
               ? -1
               : SHORTAGE_WEIGHT * shortage;
}

static int64_t
least_service_cost(const jr_place_t *place, const request_t *request)
{
    int64_t left = place->free_milli - request->need->cpu_milli;
    int64_t sum;

    if (left < 0 || request->waited_ms < place->service_delay_ms) {
        return -1;
    }
    sum = fullness_cost(left, place->best_effort_milli, place->capacity_milli);
    return request->step->tail_target_ms > 0
               ? sum + least_mix_cost(place->n_targets, place->is_mixed,
                                      place->target_image == request->image)
               : sum;
}

/* At least this is the cost there; -1: the task can't be placed there now. */
static int64_t
least_cost(const jr_place_t *place, const request_t *request)
{
    const jr_need_t *need = request->need;
    int64_t left = place->free_milli - need->cpu_milli;

    if (need->memory_mb > place->free_mb) {
        return -1;
    }
    if (request->step->service) {
        return least_service_cost(place, request);
    }
    if (left < place->reserved_milli) {
        return -1;
    }
    return request->step->filler
               ? least_best_effort_cost(place, request)
               : fullness_cost(left, place->best_effort_milli,
                               place->capacity_milli);
}

/* The workers on which the task may fit, the most room first. */
static const jr_place_t *
first_place(const jr_dispatch_t *d, const request_t *request, size_t *n)
{
    const Jr__JobStep *step = request->step;
    int64_t milli = request->need->cpu_milli;

    if (step->filler) {
        /* Without a limit of the shortage all workers may do. */
        milli = request->shortage_max <= SHORTAGE_MAX ? step->cpu_milli
                                                      : INT64_MIN;
    }
    return jr_places_first(d->places, step->filler, milli, n);
}

/*
 * Cost of the task on some worker, which is looked at only when it may be the
 * best one.
 */
typedef struct {
    const jr_place_t *place;
    int64_t cost;  /* -1: the task can't be placed there now */
    bool is_exact; /* else it may cost more, or be impossible */
} ranked_t;

/* By rank where the costs are equal. */
static bool
is_better(const ranked_t *a, const ranked_t *b)
{
    return a->cost != b->cost ? a->cost < b->cost
                              : a->place->rank < b->place->rank;
}

static ranked_t
rank_place(const jr_place_t *place, const request_t *request)
{
    return (ranked_t){.place = place, .cost = least_cost(place, request)};
}

/* Returns whether the task can be placed there, better than on @best. */
static bool
beats(jr_dispatch_t *d, const request_t *request, ranked_t *ranked,
      const ranked_t *best)
{
    if (ranked->cost < 0 ||
        (best->place != NULL && !is_better(ranked, best))) {
        return false;
    }
    if (ranked->is_exact) {
        return true;
    }
    ranked->is_exact = true;
    if (is_known_to_be_refused(d, ranked->place->w, request)) {
        ranked->cost = -1;
        d->refused_looks++;
        return false;
    }
    ranked->cost = candidate_cost(d, ranked->place->w, request);
    return ranked->cost >= 0 &&
           (best->place == NULL || is_better(ranked, best));
}

jr_tracked_worker_t *
jr_choose_worker(jr_dispatch_t *d, const jr_job_task_t *task,
                 const jr_need_t *need)
{
    request_t request = make_request(d, task, need);
    ranked_t best = {.place = NULL};
    size_t n;
    const jr_place_t *places = first_place(d, &request, &n);

    for (size_t i = 0; i < n; i++) {
        ranked_t ranked = rank_place(&places[i], &request);

        if (beats(d, &request, &ranked, &best)) {
            best = ranked;
        }
    }
    return best.place != NULL ? best.place->w : NULL;
}

jr_tracked_worker_t *
jr_choose_other(jr_dispatch_t *d, const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);
    jr_tracked_worker_t *other;
    jr_shape_t shape;
    jr_need_t need;

    jr_need_of(step, &need);
    shape = jr_shape_of(d, run->task, &need);
    if (jr_shapes_has(d->shapes, &shape)) {
        return NULL;
    }
    other = jr_choose_worker(d, run->task, &need);
    if (other == NULL) {
        jr_shapes_add(d->shapes, step, &shape);
    }
    return other != run->worker ? other : NULL;
}

struct jr_ranking {
    jr_dispatch_t *d;
    request_t request;
    bool is_relaxed;
    ranked_t *last;  /* the last choice was used: its cost has changed */
    GArray *workers; /* of ranked_t */
};

static void
rank_workers(jr_ranking_t *ranking)
{
    size_t n;
    const jr_place_t *places = first_place(ranking->d, &ranking->request, &n);

    g_array_set_size(ranking->workers, 0);
    for (size_t i = 0; i < n; i++) {
        ranked_t ranked = rank_place(&places[i], &ranking->request);

        if (ranked.cost >= 0) {
            g_array_append_val(ranking->workers, ranked);
        }
    }
}

jr_ranking_t *
jr_new_ranking(jr_dispatch_t *d, const jr_job_task_t *task,
               const jr_need_t *need)
{
    jr_ranking_t *ranking = jr_alloc(d->ctx, sizeof *ranking);

    ranking->d = d;
    ranking->request = make_request(d, task, need);
    ranking->is_relaxed = jr_choose_is_relaxed(d, task->job);
    ranking->workers = g_array_new(FALSE, FALSE, sizeof(ranked_t));
    rank_workers(ranking);
    return ranking;
}

void
jr_drop_ranking(jr_ranking_t *ranking)
{
    if (ranking != NULL) {
        g_array_unref(ranking->workers);
        jr_free(ranking->d->ctx, ranking);
    }
}

/* Limits that were relaxed for the first run of a job apply again. */
static void
update_ranking(jr_ranking_t *ranking, const jr_job_task_t *task)
{
    bool is_relaxed = jr_choose_is_relaxed(ranking->d, task->job);

    ranking->request.task = task;
    if (is_relaxed != ranking->is_relaxed) {
        ranking->is_relaxed = is_relaxed;
        set_limits(ranking->d, &ranking->request);
        rank_workers(ranking);
    }
    else if (ranking->last != NULL) {
        *ranking->last = rank_place(ranking->last->place, &ranking->request);
    }
    ranking->last = NULL;
}

jr_tracked_worker_t *
jr_ranking_next(jr_ranking_t *ranking, const jr_job_task_t *task)
{
    ranked_t best = {.place = NULL};

    update_ranking(ranking, task);
    for (guint i = 0; i < ranking->workers->len; i++) {
        ranked_t *ranked = &g_array_index(ranking->workers, ranked_t, i);

        if (beats(ranking->d, &ranking->request, ranked, &best)) {
            best = *ranked;
            ranking->last = ranked;
        }
    }
    return best.place != NULL ? best.place->w : NULL;
}
