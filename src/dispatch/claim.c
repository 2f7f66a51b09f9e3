/*
 * Places of services that lost their run. Each such service claims capacity of
 * one worker, whoever uses it now: no other task starts there that would delay
 * it, and short tasks that do not end in time are stopped.
 *
 * Where services ask for more than there is beside a part for short tasks,
 * they take turns: one that has run for long gives its place to one that has
 * waited for long, so that no wait is without a bound.
 *
 * A claim is leader-local. A new leader knows from the log how long each
 * service has waited, and claims anew.
 */
#include "claim.h"

#include <stdlib.h>

enum {
    /*
     * Without a run; until then urgent tasks may use the capacity of a service
     * that gave way to them.
     */
    CLAIM_AFTER_MS = 2000,
    /* Without a place by then, it takes the place of another service. */
    TURN_AFTER_MS = 4500,
    TURNS_MAX = 32, /* that are tried in a pass */
    /*
     * Then it is late: it takes what short tasks keep, and the place of a
     * service that runs for less time.
     */
    LATE_AFTER_MS = 6500,
    /* Costs, in thousandths of a whole worker; see choose.c. */
    OCCUPIED_COST = 4000, /* other tasks have to end there first */
    PERMILLE = 1000,
};

/* A service that needs a claim. */
typedef struct {
    jr_job_task_t *task;
    int64_t since; /* without a run, wall clock */
} claimant_t;

/* The worker is about to end, or has: what runs there has to run elsewhere. */
static bool
is_ending_soon(const jr_tracked_worker_t *w)
{
    return w->is_draining || w->is_leaving || w->has_ended;
}

bool
jr_claim_is_waiting(const jr_job_task_t *task)
{
    return task->phase == JR_PHASE_WAITING && task->run == NULL;
}

int64_t
jr_claim_waited_ms(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return d->wall_ms - task->waiting_since;
}

bool
jr_claim_is_late(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return jr_claim_is_waiting(task) &&
           jr_claim_waited_ms(d, task) >= LATE_AFTER_MS;
}

/* Does the task still need the place? */
static bool
is_wanted(const jr_job_task_t *task)
{
    return jr_claim_is_waiting(task) ||
           (task->phase == JR_PHASE_GRANTED && task->run != NULL &&
            is_ending_soon(task->run->worker));
}

/* Runs and claims of the step there, its own claim aside. */
static bool
is_apart(const jr_tracked_worker_t *w, const jr_job_task_t *task)
{
    uint32_t limit = jr_task_step(task)->per_worker;
    uint32_t n = jr_worker_siblings(w, task);
    const jr_claim_t *claim;

    if (limit == 0) {
        return true;
    }
    TAILQ_FOREACH (claim, &w->claims, worker_link) {
        n += claim->task != task && jr_task_is_sibling(claim->task, task);
    }
    return n < limit;
}

/* Beside services that stay and the claims that are counted so far. */
static bool
has_capacity(const jr_tracked_worker_t *w, const jr_need_t *need)
{
    jr_need_t taken = w->staying;

    jr_need_add(&taken, &w->claimed, 1);
    return jr_need_fits_beside(need, &taken, w->worker->info);
}

bool
jr_claim_suits(const jr_tracked_worker_t *w, const jr_job_task_t *task)
{
    return w->is_usable && jr_worker_is_eligible(w, task) && is_apart(w, task);
}

static void
drop(jr_dispatch_t *d, jr_claim_t *claim)
{
    jr_need_add(&claim->worker->claimed, &claim->need, -1);
    TAILQ_REMOVE(&d->claims, claim, link);
    TAILQ_REMOVE(&claim->worker->claims, claim, worker_link);
    claim->task->claim = NULL;
    jr_free(d->ctx, claim);
}

void
jr_claim_drop(jr_dispatch_t *d, jr_job_task_t *task)
{
    if (task->claim != NULL) {
        drop(d, task->claim);
    }
}

void
jr_claims_drop_worker(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_claim_t *claim;

    while ((claim = TAILQ_FIRST(&w->claims)) != NULL) {
        drop(d, claim);
    }
}

static void
add(jr_dispatch_t *d, jr_job_task_t *task, jr_tracked_worker_t *w,
    const jr_need_t *need)
{
    jr_claim_t *claim = jr_alloc(d->ctx, sizeof *claim);

    claim->task = task;
    claim->worker = w;
    claim->need = *need;
    claim->is_move = task->run != NULL;
    task->claim = claim;
    TAILQ_INSERT_TAIL(&d->claims, claim, link);
    TAILQ_INSERT_TAIL(&w->claims, claim, worker_link);
    jr_need_add(&w->claimed, need, 1);
}

static void
count_staying(jr_tracked_worker_t *w)
{
    const jr_run_t *run;

    w->staying = w->services;
    if (w->n_services == 0) {
        return;
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        if (jr_task_step(run->task)->service && jr_run_is_ending(run)) {
            jr_need_add(&w->staying, &run->need, -1);
        }
    }
}

/* Claims do not move while they hold, so that what runs there ends. */
static void
drop_invalid(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;
    jr_claim_t *claim, *next;

    TAILQ_FOREACH (w, &d->workers, link) {
        w->claimed = (jr_need_t){0};
        count_staying(w);
    }
    for (claim = TAILQ_FIRST(&d->claims); claim != NULL; claim = next) {
        bool holds = is_wanted(claim->task) &&
                     jr_claim_suits(claim->worker, claim->task) &&
                     has_capacity(claim->worker, &claim->need);

        next = TAILQ_NEXT(claim, link);
        jr_need_add(&claim->worker->claimed, &claim->need, 1);
        if (!holds) {
            drop(d, claim);
        }
    }
}

/* Does the service need a place, and has waited for one? */
static bool
is_claimant(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return jr_claim_is_waiting(task) && task->claim == NULL &&
           task->attempt > 0 && jr_claim_waited_ms(d, task) >= CLAIM_AFTER_MS;
}

bool
jr_claim_is_refused(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return jr_task_step(task)->service && is_claimant(d, task);
}

static void
collect_step(const jr_dispatch_t *d, jr_job_t *job, uint32_t s, GArray *to)
{
    for (uint32_t i = 0; i < job->spec->steps[s]->count; i++) {
        jr_job_task_t *task = &job->tasks[job->steps[s].first + i];
        claimant_t claimant = {.task = task, .since = task->waiting_since};

        if (is_claimant(d, task)) {
            g_array_append_val(to, claimant);
        }
    }
}

static void
collect_waiting(const jr_dispatch_t *d, GArray *to)
{
    jr_job_t *job;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config == NULL) {
            continue;
        }
        for (uint32_t s = 0; s < job->spec->n_steps; s++) {
            if (job->spec->steps[s]->service && job->steps[s].waiting > 0 &&
                jr_job_is_step_ready(job, 0, s)) {
                collect_step(d, job, s, to);
            }
        }
    }
}

/* They still run, but not for long. */
static void
collect_leaving(const jr_dispatch_t *d, GArray *to)
{
    const jr_tracked_worker_t *w;
    const jr_run_t *run;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (!is_ending_soon(w) || w->n_services == 0) {
            continue;
        }
        TAILQ_FOREACH (run, &w->runs, link) {
            claimant_t claimant = {.task = run->task, .since = d->wall_ms};

            if (jr_task_step(run->task)->service && run->task->claim == NULL &&
                run->task->job->queue->last_config != NULL &&
                jr_job_is_live(run->task->job) && is_wanted(run->task)) {
                g_array_append_val(to, claimant);
            }
        }
    }
}

/* The longest wait first; then by name, so that all leaders agree. */
static int
by_wait(const void *a, const void *b)
{
    const claimant_t *x = a;
    const claimant_t *y = b;

    if (x->since != y->since) {
        return x->since < y->since ? -1 : 1;
    }
    if (x->task->job != y->task->job) {
        return x->task->job->id < y->task->job->id ? -1 : 1;
    }
    return (x->task > y->task) - (x->task < y->task);
}

/* A worker on which nothing has to end, then one that is filled up by it. */
static int64_t
cost(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
     const jr_job_task_t *task, const jr_need_t *need, jr_image_t image)
{
    const Jr__JobWorker *info = w->worker->info;
    jr_need_t taken = w->used;
    int64_t left = info->cpu_milli - w->staying.cpu_milli -
                   w->claimed.cpu_milli - need->cpu_milli;
    int64_t lacking;

    jr_need_add(&taken, &w->claimed, 1);
    lacking = taken.cpu_milli + need->cpu_milli - info->cpu_milli;
    return jr_choose_base_cost(d, w, task, image) +
           (jr_need_fits_beside(need, &taken, info) ? 0 : OCCUPIED_COST) +
           PERMILLE * (MAX(lacking, (int64_t)0) + left / 2) /
               MAX(info->cpu_milli, (int64_t)1);
}

/* Where services find a place; as claims are added, less is left. */
typedef struct {
    jr_dispatch_t *d;
    int64_t left_milli; /* processors that may be claimed beside services */
    bool has_failed;
    jr_need_t failed; /* as much, or more, is free on no worker */
    size_t turns;
} search_t;

static bool
is_known_to_fail(const search_t *search, const jr_need_t *need)
{
    return search->has_failed && need->cpu_milli >= search->failed.cpu_milli &&
           need->memory_mb >= search->failed.memory_mb &&
           need->accelerators >= search->failed.accelerators;
}

static jr_tracked_worker_t *
find_worker(search_t *search, const jr_job_task_t *task, const jr_need_t *need)
{
    jr_image_t image =
        jr_tails_image(search->d->tails, jr_task_step(task)->image);
    jr_tracked_worker_t *best = NULL;
    int64_t least = 0;
    bool has_any = false;
    jr_tracked_worker_t *w;

    if (is_known_to_fail(search, need)) {
        return NULL;
    }
    TAILQ_FOREACH (w, &search->d->workers, link) {
        int64_t sum;

        if (!w->is_usable || !has_capacity(w, need)) {
            continue;
        }
        has_any = true;
        if (!jr_claim_suits(w, task)) {
            continue;
        }
        sum = cost(search->d, w, task, need, image);
        if (best == NULL || sum < least) {
            best = w;
            least = sum;
        }
    }
    if (!has_any) {
        search->has_failed = true;
        search->failed = *need;
    }
    return best;
}

/* Would an empty worker take it? */
static bool
is_possible(const jr_dispatch_t *d, const jr_job_task_t *task,
            const jr_need_t *need)
{
    const jr_need_t none = {0};
    const jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (jr_need_fits_beside(need, &none, w->worker->info) &&
            jr_claim_suits(w, task)) {
            return true;
        }
    }
    return false;
}

static bool
take_turn(search_t *search, jr_job_task_t *task, const jr_need_t *need)
{
    jr_dispatch_t *d = search->d;
    jr_tracked_worker_t *w;

    if (search->turns >= TURNS_MAX) {
        return false;
    }
    search->turns++;
    w = jr_displace_service(d, task, need);
    if (w == NULL) {
        return false;
    }
    add(d, task, w, need);
    return true;
}

static bool
claim_beside_services(search_t *search, jr_job_task_t *task,
                      const jr_need_t *need)
{
    jr_tracked_worker_t *w;

    if (search->left_milli < need->cpu_milli &&
        !jr_claim_is_late(search->d, task)) {
        return false;
    }
    w = find_worker(search, task, need);
    if (w == NULL) {
        return false;
    }
    add(search->d, task, w, need);
    search->left_milli -= need->cpu_milli;
    return true;
}

static void
claim_for(search_t *search, jr_job_task_t *task)
{
    jr_dispatch_t *d = search->d;
    jr_need_t need;

    jr_need_of(jr_task_step(task), &need);
    if (claim_beside_services(search, task, &need)) {
        return;
    }
    if (jr_claim_is_waiting(task) &&
        jr_claim_waited_ms(d, task) >= TURN_AFTER_MS &&
        take_turn(search, task, &need)) {
        return;
    }
    if (is_possible(d, task, &need)) {
        d->n_unclaimed++;
        d->has_late_service |= jr_claim_is_late(d, task);
    }
}

/* Processors that claims may take beside services, and short tasks' share. */
static int64_t
left_for_claims(const jr_dispatch_t *d)
{
    int64_t left =
        jr_reserve_left_for_services(d, JR_SHORT_SHARE_IN_TURNS_PERMILLE);
    const jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        if (w->is_usable) {
            left += w->services.cpu_milli - w->staying.cpu_milli -
                    w->claimed.cpu_milli;
        }
    }
    return left;
}

void
jr_claims_update(jr_dispatch_t *d)
{
    GArray *claimants = g_array_new(FALSE, FALSE, sizeof(claimant_t));
    search_t search = {.d = d};

    drop_invalid(d);
    d->n_unclaimed = 0;
    d->has_late_service = false;
    collect_waiting(d, claimants);
    collect_leaving(d, claimants);
    if (claimants->len > 1) {
        qsort(claimants->data, claimants->len, sizeof(claimant_t), by_wait);
    }
    search.left_milli = left_for_claims(d);
    for (guint i = 0; i < claimants->len; i++) {
        claim_for(&search, g_array_index(claimants, claimant_t, i).task);
    }
    g_array_unref(claimants);
}

bool
jr_claims_leave_room(const jr_tracked_worker_t *w, const jr_job_task_t *task,
                     const jr_need_t *need)
{
    jr_need_t taken = w->used;

    jr_need_add(&taken, &w->claimed, 1);
    if (task->claim != NULL && task->claim->worker == w) {
        jr_need_add(&taken, &task->claim->need, -1);
    }
    return jr_need_fits_beside(need, &taken, w->worker->info);
}

bool
jr_claims_are_free(const jr_tracked_worker_t *w)
{
    return jr_need_fits_beside(&w->claimed, &w->used, w->worker->info);
}

/* The members of a gang start together: schedule.c places them. */
static bool
may_start(const jr_dispatch_t *d, const jr_claim_t *claim)
{
    return jr_schedule_may_place(d, claim->task) &&
           !jr_task_step(claim->task)->gang &&
           jr_claim_suits(claim->worker, claim->task) &&
           jr_worker_has_capacity(&claim->need, claim->worker) &&
           (claim->is_move ||
            jr_reserve_allows_service(d, claim->worker, claim->task,
                                      &claim->need));
}

/* On its place, unless another worker suits it better. */
static void
start(jr_dispatch_t *d, jr_claim_t *claim)
{
    jr_job_task_t *task = claim->task;
    jr_tracked_worker_t *w = jr_choose_worker(d, task, &claim->need);

    if (w == NULL || !is_apart(w, task)) {
        w = claim->worker;
    }
    drop(d, claim);
    jr_schedule_place(d, task, w);
}

void
jr_claims_place(jr_dispatch_t *d)
{
    jr_claim_t *claim, *next;

    for (claim = TAILQ_FIRST(&d->claims); claim != NULL; claim = next) {
        next = TAILQ_NEXT(claim, link);
        if (may_start(d, claim)) {
            start(d, claim);
        }
    }
}
