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

enum {
    /* Without a place by then, it takes the place of another service. */
    TURN_AFTER_MS = 4500,
    TURNS_MAX = 32, /* in a pass */
    /*
     * Then it is late: it takes what short tasks keep, and the place of a
     * service that runs for less time.
     */
    LATE_AFTER_MS = 6500,
    /* Costs, in thousandths of a whole worker; see choose.c. */
    OCCUPIED_COST = 4000, /* other tasks have to end there first */
    PERMILLE = 1000,
};

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
count_staying(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    const jr_run_t *run;

    w->staying = w->services;
    if (w->n_services == 0 || w->n_ending == 0) {
        return;
    }
    TAILQ_FOREACH (run, &w->runs, link) {
        jr_count(d->ctx, JR_C_RUNS_LOOKED_AT);
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
        count_staying(d, w);
    }
    for (claim = TAILQ_FIRST(&d->claims); claim != NULL; claim = next) {
        bool holds = jr_claim_is_wanted(d, claim->task) &&
                     jr_claim_suits(claim->worker, claim->task) &&
                     has_capacity(claim->worker, &claim->need);

        next = TAILQ_NEXT(claim, link);
        jr_need_add(&claim->worker->claimed, &claim->need, 1);
        if (!holds) {
            drop(d, claim);
        }
    }
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

/* What was found out in a pass about the tasks of a step. */
enum {
    NO_PLACE = 1, /* beside services */
    NO_SPARE = 2, /* in capacity that nothing uses */
    NO_TURN = 4,
    IMPOSSIBLE = 8, /* even on an empty worker */
    POSSIBLE = 16,
};

/* Where services find a place; as claims are added, less is left. */
typedef struct {
    jr_dispatch_t *d;
    int64_t left_milli; /* processors that may be claimed beside services */
    bool has_failed;
    jr_need_t failed;  /* as much, or more, is free on no worker */
    GHashTable *steps; /* step progress -> what was found out */
    size_t turns;
} search_t;

static bool
knows(const search_t *search, const jr_job_task_t *task, guint what)
{
    gpointer known =
        g_hash_table_lookup(search->steps, jr_task_step_progress(task));

    return (GPOINTER_TO_UINT(known) & what) != 0;
}

static void
learn(search_t *search, const jr_job_task_t *task, guint what)
{
    jr_step_progress_t *step = jr_task_step_progress(task);
    guint known = GPOINTER_TO_UINT(g_hash_table_lookup(search->steps, step));

    g_hash_table_insert(search->steps, step, GUINT_TO_POINTER(known | what));
}

static bool
is_known_to_fail(const search_t *search, const jr_need_t *need)
{
    return search->has_failed && need->cpu_milli >= search->failed.cpu_milli &&
           need->memory_mb >= search->failed.memory_mb &&
           need->accelerators >= search->failed.accelerators;
}

/* Has nothing used so much of the worker for some time? */
static bool
has_spare(const jr_tracked_worker_t *w, const jr_need_t *need)
{
    jr_need_t taken = w->used;

    jr_need_add(&taken, &w->claimed, 1);
    return jr_reserve_spare_milli(w) >=
               w->claimed.cpu_milli + need->cpu_milli &&
           jr_need_fits_beside(need, &taken, w->worker->info);
}

static jr_tracked_worker_t *
find_worker(search_t *search, const jr_job_task_t *task, const jr_need_t *need,
            bool is_spare_only)
{
    jr_dispatch_t *d = search->d;
    jr_image_t image = jr_tails_image(d->tails, jr_task_step(task)->image);
    jr_tracked_worker_t *best = NULL;
    int64_t least = 0;
    bool has_any = false;
    jr_tracked_worker_t *w;

    if (is_known_to_fail(search, need)) {
        return NULL;
    }
    TAILQ_FOREACH (w, &d->workers, link) {
        int64_t sum;

        if (!w->is_usable || !has_capacity(w, need)) {
            continue;
        }
        has_any = true;
        if ((is_spare_only && !has_spare(w, need)) ||
            !jr_claim_suits(w, task)) {
            continue;
        }
        d->pass_looks++;
        sum = cost(d, w, task, need, image);
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
is_possible(search_t *search, const jr_job_task_t *task, const jr_need_t *need)
{
    const jr_need_t none = {0};
    const jr_tracked_worker_t *w;

    if (knows(search, task, IMPOSSIBLE | POSSIBLE)) {
        return knows(search, task, POSSIBLE);
    }
    TAILQ_FOREACH (w, &search->d->workers, link) {
        if (jr_need_fits_beside(need, &none, w->worker->info) &&
            jr_claim_suits(w, task)) {
            learn(search, task, POSSIBLE);
            return true;
        }
    }
    learn(search, task, IMPOSSIBLE);
    return false;
}

static bool
take_turn(search_t *search, jr_job_task_t *task, const jr_need_t *need)
{
    jr_tracked_worker_t *w;

    if (search->turns >= TURNS_MAX || knows(search, task, NO_TURN)) {
        return false;
    }
    w = jr_displace_service(search->d, task, need);
    if (w == NULL) {
        learn(search, task, NO_TURN);
        return false;
    }
    search->turns++;
    add(search->d, task, w, need);
    return true;
}

/* Beyond their share, short tasks keep only what they use. */
static bool
claim_beside_services(search_t *search, jr_job_task_t *task,
                      const jr_need_t *need)
{
    bool is_spare_only = search->left_milli < need->cpu_milli &&
                         !jr_claim_is_late(search->d, task);
    guint failure = is_spare_only ? NO_SPARE : NO_PLACE;
    jr_tracked_worker_t *w;

    if (knows(search, task, failure)) {
        return false;
    }
    w = find_worker(search, task, need, is_spare_only);
    if (w == NULL) {
        learn(search, task, failure);
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
    d->n_unclaimed += is_possible(search, task, &need);
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
    search_t search = {.d = d};
    GPtrArray *tasks;

    jr_displace_begin(d);
    drop_invalid(d);
    d->n_unclaimed = 0;
    tasks = jr_claimants(d);
    search.left_milli = left_for_claims(d);
    search.steps = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint i = 0; i < tasks->len; i++) {
        claim_for(&search, g_ptr_array_index(tasks, i));
    }
    g_hash_table_unref(search.steps);
    g_ptr_array_unref(tasks);
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

static bool
may_start(const jr_dispatch_t *d, const jr_claim_t *claim)
{
    return jr_schedule_may_place(d, claim->task) &&
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
