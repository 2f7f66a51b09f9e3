/*
 * Room for short tasks and for services.
 *
 * Services stay for long, so what they take is gone for whatever comes next.
 * As much room as the short tasks of late needed at their peak is kept from
 * services for a while; fillers may use it meanwhile.
 *
 * Short tasks come before services, and would take each bit of room that
 * opens. A service that has waited for long gets a worker held for it, on
 * which nothing else starts until it fits.
 */
#include "dispatch.h"

#include <math.h>

enum {
    WAITED_MS = 4500,    /* then room is held for a service */
    RESTARTED_MS = 2500, /* of that a service that ran before need not wait */
    HELD_PERCENT = 33,   /* services at once, of the number of workers */
    /* How long services stay away from room that short tasks use, or may. */
    KEPT_USED_MS = 4500,
    KEPT_SPARE_MS = 2000,
};

static const double HALF_LIFE_MS = 15000.0;
static const double HEADROOM = 1.3;
static const double LEAST_SHARE = 0.06; /* of all processors */
static const double MOST_SHARE = 0.3;

static bool
is_short(const Jr__JobStep *step)
{
    return !step->service && !step->filler;
}

static int64_t
waiting_milli(const jr_dispatch_t *d)
{
    const jr_job_t *job;
    int64_t sum = 0;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        size_t n = job->spec->n_steps * job->occurrences;

        for (size_t i = 0; i < n; i++) {
            uint32_t s = (uint32_t)(i % job->spec->n_steps);
            const Jr__JobStep *step = job->spec->steps[s];

            if (job->steps[i].waiting > 0 && is_short(step) &&
                jr_job_is_step_ready(job, (uint32_t)(i / job->spec->n_steps),
                                     s)) {
                sum += (int64_t)job->steps[i].waiting * step->cpu_milli;
            }
        }
    }
    return sum;
}

static int64_t
running_milli(const jr_dispatch_t *d)
{
    const jr_lead_worker_t *w;
    int64_t sum = 0;

    TAILQ_FOREACH (w, &d->workers, link) {
        sum += w->used.cpu_milli - w->services.cpu_milli;
    }
    return sum;
}

static void
note_peak(jr_dispatch_t *d)
{
    double now = (double)(running_milli(d) + waiting_milli(d));
    double age = (double)(d->now - d->short_at);

    d->short_milli = MAX(now, d->short_milli * exp2(-age / HALF_LIFE_MS));
    d->short_at = d->now;
    d->has_short = now > 0.0;
}

void
jr_reserve_update(jr_dispatch_t *d)
{
    jr_lead_worker_t *w;
    double all = 0.0;
    double used = 0.0;
    double wanted, spare;

    note_peak(d);
    TAILQ_FOREACH (w, &d->workers, link) {
        w->is_usable = jr_lead_worker_is_usable(d, w);
        if (w->is_usable) {
            all += w->worker->info->cpu_milli;
            used += (double)w->used.cpu_milli;
        }
    }
    d->is_half_empty = 2.0 * used < all;
    wanted = MIN(HEADROOM * d->short_milli, MOST_SHARE * all);
    spare = MAX(LEAST_SHARE * all - wanted, 0.0);
    TAILQ_FOREACH (w, &d->workers, link) {
        double room =
            (double)(w->worker->info->cpu_milli - w->services.cpu_milli);

        w->kept_free_ms = 0;
        if (!w->is_usable) {
            continue;
        }
        if (wanted > 0.0) {
            w->kept_free_ms = d->has_short ? KEPT_USED_MS : KEPT_SPARE_MS;
            wanted -= room;
        }
        else if (spare > 0.0) {
            w->kept_free_ms = KEPT_SPARE_MS;
            spare -= room;
        }
    }
}

/* The worker where the fewest others have to end first. */
static jr_lead_worker_t *
find_room_to_hold(jr_dispatch_t *d, const jr_job_task_t *task,
                  const jr_need_t *need)
{
    jr_lead_worker_t *best = NULL;
    jr_lead_worker_t *w;
    int64_t most_free = 0;

    TAILQ_FOREACH (w, &d->workers, link) {
        int64_t room =
            w->worker->info->cpu_milli - w->used.cpu_milli - w->held.cpu_milli;

        if ((best == NULL || room > most_free) && w->is_usable &&
            jr_need_fits_services(need, w) && jr_may_run_there(w, task)) {
            best = w;
            most_free = room;
        }
    }
    return best;
}

int64_t
jr_reserve_waited(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return d->wall_ms - task->waiting_since +
           (task->attempt > 0 ? RESTARTED_MS : 0);
}

static size_t
hold_for_step(jr_dispatch_t *d, jr_job_t *job, uint32_t s)
{
    const Jr__JobStep *step = job->spec->steps[s];
    jr_need_t need;
    size_t n = 0;

    jr_need_of(step, &need);
    for (uint32_t i = 0; i < step->count; i++) {
        jr_job_task_t *task = &job->tasks[job->steps[s].first + i];
        jr_lead_worker_t *w;

        if (task->phase != JR_PHASE_WAITING || task->run != NULL ||
            jr_reserve_waited(d, task) < WAITED_MS) {
            continue;
        }
        w = find_room_to_hold(d, task, &need);
        if (w == NULL) {
            break;
        }
        jr_need_add(&w->held, &need, 1);
        n++;
    }
    return n;
}

void
jr_reserve_for_services(jr_dispatch_t *d)
{
    jr_lead_worker_t *w;
    jr_job_t *job;
    size_t most = HASH_COUNT(d->jobs->workers) * HELD_PERCENT / 100 + 1;
    size_t n = 0;

    TAILQ_FOREACH (w, &d->workers, link) {
        w->held = (jr_need_t){0};
    }
    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config == NULL) {
            continue;
        }
        for (uint32_t s = 0; s < job->spec->n_steps && n < most; s++) {
            if (job->spec->steps[s]->service && job->steps[s].waiting > 0 &&
                jr_job_is_step_ready(job, 0, s)) {
                n += hold_for_step(d, job, s);
            }
        }
    }
}
