/* Where a task runs best now. */
#include "dispatch.h"

#include <string.h>

enum {
    /* Costs, in thousandths of a whole worker. */
    FIRST_IMAGE_COST = 600,
    MIX_COST = 3000,
    SERVICE_WEIGHT = 1,      /* of headroom that fillers there would take */
    HARM_WEIGHT = 2,         /* of headroom that lacks at the highest load */
    SERVICE_USE = 450,       /* thousandths of its processors a service uses */
    FAILED_HERE_COST = 8000, /* its latest run failed on this worker */
    STREAK_COST = 1500,      /* runs of other jobs failed here lately */
    SHORTAGE_WEIGHT = 6,     /* a slow filler costs more than a far one */
    SHORTAGE_MAX = 250,
    PATIENCE_MS = 1200,
    MS_PER_S = 1000,
    FAR_WEIGHT = 2,
    PERMILLE = 1000,
};

/* A task that looks for a worker. */
typedef struct {
    const jr_job_task_t *task;
    const Jr__JobStep *step;
    const jr_need_t *need;
    jr_image_t image;
    double headroom_kept; /* by each service beside a filler */
    int64_t shortage_max; /* of a filler's processors */
} request_t;

/* Headroom that services keep beside a new filler; 1 is at the target. */
static const double HEADROOM_KEPT = 1.1;
static const double LEAST_WANTED = 1.05; /* at its highest load */
static const double HARMLESS = 0.05;     /* headroom taken by a filler */
static const double RELAX_PER_S = 0.5;

static bool
fits_beside(const jr_need_t *need, const jr_need_t *used,
            const Jr__JobWorker *info)
{
    return need->cpu_milli + used->cpu_milli <= info->cpu_milli &&
           need->memory_mb + used->memory_mb <= info->memory_mb &&
           need->accelerators + used->accelerators <= info->accelerators;
}

bool
jr_need_fits(const jr_need_t *need, const jr_lead_worker_t *w)
{
    return fits_beside(need, &w->used, w->worker->info);
}

bool
jr_need_fits_services(const jr_need_t *need, const jr_lead_worker_t *w)
{
    jr_need_t used = w->services;

    jr_need_add(&used, &w->held, 1);
    return fits_beside(need, &used, w->worker->info);
}

/* What is held for services is no room for others. */
static bool
fits_beside_held(const jr_need_t *need, const jr_lead_worker_t *w)
{
    jr_need_t used = w->used;

    jr_need_add(&used, &w->held, 1);
    return fits_beside(need, &used, w->worker->info);
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

/* Tasks of the same step and occurrence on this worker. */
static uint32_t
count_siblings(const jr_lead_worker_t *w, const jr_job_task_t *task)
{
    const jr_run_t *run;
    uint32_t n = 0;

    TAILQ_FOREACH (run, &w->runs, link) {
        n += run->task->job == task->job && run->task->step == task->step &&
             run->task->occurrence == task->occurrence;
    }
    return n;
}

bool
jr_may_run_there(const jr_lead_worker_t *w, const jr_job_task_t *task)
{
    const Jr__JobStep *step = jr_task_step(task);
    const Jr__JobWorker *info = w->worker->info;

    if (strcmp(info->service, task->job->queue->last_config->service) != 0 ||
        (*step->label != '\0' && !has_label(info, step->label))) {
        return false;
    }
    return step->per_worker == 0 || count_siblings(w, task) < step->per_worker;
}

static bool
may_run(const jr_dispatch_t *d, const jr_lead_worker_t *w,
        const request_t *request)
{
    const Jr__JobStep *step = request->step;
    bool has_room = step->service ? jr_need_fits(request->need, w)
                                  : fits_beside_held(request->need, w);

    if (!has_room || !w->is_usable || !jr_health_allows(d, w)) {
        return false;
    }
    if (step->service &&
        jr_reserve_waited(d, request->task) < w->kept_free_ms) {
        return false;
    }
    return jr_may_run_there(w, request->task);
}

static int64_t
share(int64_t part, int64_t whole)
{
    return whole > 0 ? part * PERMILLE / whole : 0;
}

/* How much of what it asks for a filler would not get. */
static int64_t
filler_shortage(const jr_lead_worker_t *w, const Jr__JobStep *step)
{
    int64_t in_use = w->used.cpu_milli - w->services.cpu_milli +
                     w->services.cpu_milli * SERVICE_USE / PERMILLE;
    int64_t left = w->worker->info->cpu_milli - in_use;
    int64_t wanted = w->filler_milli + step->cpu_milli;

    return wanted > left ? PERMILLE * (wanted - MAX(left, 0)) / wanted : 0;
}

/* A filler works on while the load of the service swings: half way counts. */
static double
headroom_for(const jr_worker_tail_t *tail)
{
    return MIN(tail->headroom, (tail->headroom + tail->least) / 2.0);
}

/*
 * Headroom that the services there will lack at their highest load beside a
 * filler; -1 when one would lack it before. What takes hardly any is let in
 * however little there is.
 */
static double
added_harm(jr_dispatch_t *d, jr_lead_worker_t *w, const request_t *request)
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
        double taken = jr_tails_taken(d->tails, tail->image, &load, 1);

        if (taken > HARMLESS &&
            headroom_for(tail) - taken < request->headroom_kept) {
            return -1.0;
        }
        sum += MIN(taken, MAX(LEAST_WANTED - tail->least + taken, 0.0));
    }
    return sum;
}

/*
 * Services of an image gather on the same workers, so that a filler which
 * disturbs one image finds workers without it.
 */
static int64_t
mix_cost(const jr_lead_worker_t *w, jr_image_t image)
{
    if (w->n_tails == 0) {
        return FIRST_IMAGE_COST;
    }
    return w->n_tails == 1 && w->tails[0].image == image ? 0 : MIX_COST;
}

static int64_t
task_cost(jr_dispatch_t *d, jr_lead_worker_t *w, const request_t *request)
{
    const Jr__JobStep *step = request->step;
    const jr_need_t *need = request->need;
    const Jr__JobWorker *info = w->worker->info;
    int64_t left = info->cpu_milli - w->used.cpu_milli - need->cpu_milli;
    int64_t sum = share(left, info->cpu_milli) / 2 +
                  share(w->filler_milli, info->cpu_milli) / 2;

    if (step->service && step->tail_target_ms > 0) {
        jr_loads_refresh(d, w);
        sum += mix_cost(w, request->image);
        sum += (int64_t)(SERVICE_WEIGHT * PERMILLE *
                         jr_tails_taken(d->tails, request->image, w->loads,
                                        w->n_loads));
    }
    return sum;
}

static int64_t
place_cost(const jr_dispatch_t *d, const jr_lead_worker_t *w,
           const request_t *request)
{
    const jr_job_task_t *task = request->task;
    const Jr__JobWorker *info = w->worker->info;
    int64_t sum = 0;

    if (*request->step->data_rack != '\0' &&
        !has_label(info, request->step->data_rack)) {
        sum += (d->options.far_permille - PERMILLE) * FAR_WEIGHT;
    }
    if (task->failed_on != NULL && strcmp(task->failed_on, info->id) == 0) {
        sum += FAILED_HERE_COST;
    }
    if (task->failures > 0) {
        sum += (int64_t)w->failure_streak * STREAK_COST;
    }
    return sum;
}

/*
 * What the task costs there, or -1: a filler that would harm services, or
 * would hardly get anything, waits.
 */
static int64_t
cost(jr_dispatch_t *d, jr_lead_worker_t *w, const request_t *request)
{
    int64_t shortage;
    double harm;

    if (!request->step->filler) {
        return place_cost(d, w, request) + task_cost(d, w, request);
    }
    shortage = filler_shortage(w, request->step);
    if (w->filler_milli > 0 && shortage > request->shortage_max) {
        return -1;
    }
    harm = added_harm(d, w, request);
    if (harm < 0.0) {
        return -1;
    }
    return place_cost(d, w, request) + SHORTAGE_WEIGHT * shortage +
           (int64_t)(HARM_WEIGHT * PERMILLE * harm);
}

/*
 * While there is plenty of room a job of which nothing runs gets a first
 * task in after a while, wherever it does the least harm; the guard looks
 * after the services.
 */
bool
jr_choose_is_relaxed(const jr_dispatch_t *d, const jr_job_t *job)
{
    return job->n_runs == 0 && d->is_half_empty &&
           d->wall_ms - job->idle_since > PATIENCE_MS;
}

static void
set_limits(const jr_dispatch_t *d, request_t *request)
{
    const jr_job_t *job = request->task->job;
    int64_t idle_ms = d->wall_ms - job->idle_since - PATIENCE_MS;

    request->headroom_kept = HEADROOM_KEPT;
    request->shortage_max = SHORTAGE_MAX;
    if (jr_choose_is_relaxed(d, job)) {
        request->headroom_kept -= RELAX_PER_S * (double)idle_ms / MS_PER_S;
        request->shortage_max = PERMILLE;
    }
}

jr_lead_worker_t *
jr_choose_worker(jr_dispatch_t *d, const jr_job_task_t *task,
                 const jr_need_t *need)
{
    request_t request = {
        .task = task,
        .step = jr_task_step(task),
        .need = need,
        .image = jr_tails_image(d->tails, jr_task_step(task)->image),
    };
    jr_lead_worker_t *best = NULL;
    jr_lead_worker_t *w;
    int64_t best_cost = 0;

    set_limits(d, &request);
    TAILQ_FOREACH (w, &d->workers, link) {
        int64_t own;

        if (!may_run(d, w, &request)) {
            continue;
        }
        own = cost(d, w, &request);
        if (own >= 0 && (best == NULL || own < best_cost)) {
            best = w;
            best_cost = own;
        }
    }
    return best;
}
