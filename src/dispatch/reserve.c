/*
 * Capacity reserved for short tasks and for new services.
 *
 * Services run for long, so the capacity that they take is not available to
 * later tasks. As much capacity as short tasks needed at their recent peak is
 * withheld from services for a while; best-effort tasks may use it meanwhile.
 *
 * Short tasks are placed before services, and would take all capacity that
 * becomes free. For a new service that has waited long, capacity is reserved
 * on one worker; no other task may use it until the service fits. That is
 * bounded by the share of short tasks. Services that ran before have claims
 * instead, which come first: see claim.c.
 */
#include "claim.h"

enum {
    RESERVE_AFTER_MS = 4500,   /* then capacity is reserved for a service */
    RESTARTED_BONUS_MS = 2500, /* wait credited to a service that ran before */
    RESERVED_PERCENT = 33,     /* reservations, of the number of workers */
    /*
     * How long a service must wait before it may use capacity that short tasks
     * use, or may need.
     */
    BUSY_DELAY_MS = 4500,  /* while there are short tasks */
    SPARE_DELAY_MS = 2000, /* otherwise */
    /*
     * After this wait a service may take any free capacity, also if it was
     * free for less than SPARE_WINDOW_MS.
     */
    TAKE_ANY_AFTER_MS = 6000,
    SPARE_WINDOW_MS = 500, /* after which unused capacity counts as spare */
    PERMILLE = 1000,
};

/* Processors kept for short tasks, as a multiple of their peak demand. */
static const double PEAK_MARGIN = 1.3;
/* Bounds of these processors, as fractions of all processors. */
static const double MIN_SHARE = 0.06;
static const double MAX_SHARE = 0.3;

/* Processors of the workers, as of a pass. */
typedef struct {
    int64_t short_milli; /* of tasks that are no services */
    /* Of usable workers. */
    double all;
    double used;
    double held; /* by services */
} totals_t;

static void
note_demand(jr_dispatch_t *d, const totals_t *totals)
{
    double now = (double)(totals->short_milli + d->short_waiting.cpu_milli);

    jr_demand_note(&d->short_demand, now, d->now);
    d->has_short_tasks = now > 0.0;
}

/*
 * Processors that services may take when short tasks keep what they ask for,
 * up to a share of all.
 */
static int64_t
left_beside(const totals_t *totals, double short_milli, int64_t permille)
{
    double share = (double)permille / PERMILLE;

    return (int64_t)(totals->all - totals->held -
                     MIN(short_milli, share * totals->all));
}

static totals_t
sum_usable(const jr_dispatch_t *d)
{
    const jr_tracked_worker_t *w;
    totals_t totals = {0};

    TAILQ_FOREACH (w, &d->workers, link) {
        if (w->is_usable) {
            totals.all += w->worker->info->cpu_milli;
            totals.held += (double)w->services.cpu_milli;
        }
    }
    return totals;
}

int64_t
jr_reserve_left_for_services(const jr_dispatch_t *d, int64_t short_permille)
{
    totals_t totals = sum_usable(d);

    return left_beside(&totals, d->short_demand.latest, short_permille);
}

int64_t
jr_reserve_spare_milli(const jr_tracked_worker_t *w)
{
    return MIN(w->spare_milli[0], w->spare_milli[1]);
}

static void
note_spare(const jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    int64_t free_milli = w->worker->info->cpu_milli - w->used.cpu_milli;

    w->spare_milli[0] = MIN(w->spare_milli[0], free_milli);
    if (d->now - w->spare_at >= SPARE_WINDOW_MS) {
        w->spare_milli[1] = w->spare_milli[0];
        w->spare_milli[0] = free_milli;
        w->spare_at = d->now;
    }
}

/* Brings what passes know of each worker up to date, and sums it up. */
static totals_t
update_workers(jr_dispatch_t *d)
{
    totals_t totals = {0};
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        w->is_usable = jr_tracked_worker_is_usable(d, w);
        w->service_delay_ms = 0;
        note_spare(d, w);
        totals.short_milli += w->used.cpu_milli - w->services.cpu_milli;
        if (w->is_usable) {
            totals.all += w->worker->info->cpu_milli;
            totals.used += (double)w->used.cpu_milli;
            totals.held += (double)w->services.cpu_milli;
        }
    }
    return totals;
}

/* On the first workers by rank, as much as short tasks may need. */
static void
delay_services(jr_dispatch_t *d, double all)
{
    double wanted = MIN(PEAK_MARGIN * d->short_demand.peak, MAX_SHARE * all);
    double spare = MAX(MIN_SHARE * all - wanted, 0.0);
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        /* A worker that shrank may run more than it has capacity for. */
        double free_milli = (double)MAX(
            w->worker->info->cpu_milli - w->services.cpu_milli, (int64_t)0);

        if (wanted <= 0.0 && spare <= 0.0) {
            break;
        }
        if (!w->is_usable) {
            continue;
        }
        if (wanted > 0.0) {
            w->service_delay_ms =
                d->has_short_tasks ? BUSY_DELAY_MS : SPARE_DELAY_MS;
            wanted -= free_milli;
        }
        else {
            w->service_delay_ms = SPARE_DELAY_MS;
            spare -= free_milli;
        }
    }
}

void
jr_reserve_update(jr_dispatch_t *d)
{
    totals_t totals = update_workers(d);

    note_demand(d, &totals);
    d->left_for_services =
        left_beside(&totals, d->short_demand.peak, JR_SHORT_SHARE_PERMILLE);
    d->is_mostly_idle = 2.0 * totals.used < totals.all;
    delay_services(d, totals.all);
}

/* A usable worker, and what reservations there may take. */
typedef struct {
    jr_tracked_worker_t *w;
    int64_t free_milli;        /* not used and not reserved */
    jr_need_t capacity;        /* beside services and reservations */
    const Jr__JobStep *latest; /* that has reserved */
} reservable_t;

static GArray *
list_reservable(const jr_dispatch_t *d)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(reservable_t));
    jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        const Jr__JobWorker *info = w->worker->info;
        reservable_t reservable = {
            .w = w,
            .free_milli =
                info->cpu_milli - w->used.cpu_milli - w->claimed.cpu_milli,
            .capacity = {.cpu_milli = info->cpu_milli,
                         .memory_mb = info->memory_mb,
                         .accelerators = info->accelerators},
        };

        jr_need_add(&reservable.capacity, &w->services, -1);
        jr_need_add(&reservable.capacity, &w->claimed, -1);
        if (w->is_usable) {
            g_array_append_val(list, reservable);
        }
    }
    return list;
}

static bool
has_capacity(const reservable_t *reservable, const jr_need_t *need)
{
    const jr_need_t *capacity = &reservable->capacity;

    return need->cpu_milli <= capacity->cpu_milli &&
           need->memory_mb <= capacity->memory_mb &&
           need->accelerators <= capacity->accelerators;
}

/* May another task of the step run there, beside one that has reserved? */
static bool
is_apart(const reservable_t *reservable, const Jr__JobStep *step)
{
    return step->per_worker == 0 || reservable->latest != step;
}

/*
 * The eligible worker with the most free processors: the least other work has
 * to end there before the service fits.
 */
static reservable_t *
find_worker_to_reserve(const GArray *list, const jr_job_task_t *task,
                       const jr_need_t *need)
{
    reservable_t *best = NULL;

    for (guint i = 0; i < list->len; i++) {
        reservable_t *reservable = &g_array_index(list, reservable_t, i);

        if ((best == NULL || reservable->free_milli > best->free_milli) &&
            has_capacity(reservable, need) &&
            is_apart(reservable, jr_task_step(task)) &&
            jr_worker_is_eligible(reservable->w, task)) {
            best = reservable;
        }
    }
    return best;
}

int64_t
jr_reserve_waited(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    if (task->run != NULL && task->run->state == JR_RUN_RUNNING) {
        return RESTARTED_BONUS_MS;
    }
    return d->wall_ms - task->waiting_since +
           (task->attempt > 0 ? RESTARTED_BONUS_MS : 0);
}

bool
jr_reserve_allows_service(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
                          const jr_job_task_t *task, const jr_need_t *need)
{
    int64_t waited = jr_reserve_waited(d, task);

    if (waited < w->service_delay_ms) {
        return false;
    }
    return waited >= TAKE_ANY_AFTER_MS ||
           d->left_for_services >= need->cpu_milli ||
           jr_reserve_spare_milli(w) >= need->cpu_milli;
}

/* The reservations of a pass. */
typedef struct {
    jr_dispatch_t *d;
    GArray *workers; /* of reservable_t; NULL until one is wanted */
    size_t n;
    size_t most;
    int64_t left; /* processors that may be reserved */
} reservations_t;

static bool
may_reserve(const reservations_t *reservations, const jr_job_task_t *task,
            const jr_need_t *need)
{
    return task->phase == JR_PHASE_WAITING && task->run == NULL &&
           (task->attempt == 0 || jr_task_step(task)->gang) &&
           jr_reserve_waited(reservations->d, task) >= RESERVE_AFTER_MS &&
           reservations->n < reservations->most &&
           reservations->left >= need->cpu_milli;
}

static void
reserve(reservations_t *reservations, reservable_t *reservable,
        const Jr__JobStep *step, const jr_need_t *need)
{
    jr_need_add(&reservable->w->reserved, need, 1);
    jr_need_add(&reservable->capacity, need, -1);
    reservable->free_milli -= need->cpu_milli;
    reservable->latest = step;
    reservations->left -= need->cpu_milli;
    reservations->n++;
}

static void
reserve_for_step(reservations_t *reservations, jr_job_t *job, uint32_t s)
{
    const Jr__JobStep *step = job->spec->steps[s];
    jr_need_t need;

    jr_need_of(step, &need);
    for (uint32_t i = 0; i < step->count; i++) {
        jr_job_task_t *task = &job->tasks[job->steps[s].first + i];
        reservable_t *reservable;

        if (!may_reserve(reservations, task, &need)) {
            continue;
        }
        if (reservations->workers == NULL) {
            reservations->workers = list_reservable(reservations->d);
        }
        reservable =
            find_worker_to_reserve(reservations->workers, task, &need);
        if (reservable == NULL) {
            break;
        }
        reserve(reservations, reservable, step, &need);
    }
}

static void
reserve_for_job(reservations_t *reservations, jr_job_t *job)
{
    for (uint32_t s = 0; s < job->spec->n_steps; s++) {
        if (job->spec->steps[s]->service && job->steps[s].waiting > 0 &&
            jr_job_is_step_ready(job, 0, s)) {
            reserve_for_step(reservations, job, s);
        }
    }
}

void
jr_reserve_for_services(jr_dispatch_t *d)
{
    reservations_t reservations = {
        .d = d,
        .most = HASH_COUNT(d->jobs->workers) * RESERVED_PERCENT / 100 + 1,
        .left = jr_reserve_left_for_services(d, JR_SHORT_SHARE_PERMILLE),
    };
    jr_tracked_worker_t *w;
    jr_job_t *job;

    TAILQ_FOREACH (w, &d->workers, link) {
        w->reserved = w->claimed;
        reservations.left -= w->claimed.cpu_milli;
    }
    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config != NULL) {
            reserve_for_job(&reservations, job);
        }
    }
    if (reservations.workers != NULL) {
        g_array_unref(reservations.workers);
    }
}
