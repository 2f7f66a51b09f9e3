/*
 * One scheduling pass: places the waiting tasks by the priority of their
 * queues, then by the objectives of their jobs.
 */
#include "claim.h"

#include <stdlib.h>
#include <string.h>

enum {
    PERMILLE = 1000,
    GRANTS_MAX = 512, /* in one command */
    /*
     * So long a job that is too late gives way to all others of its priority;
     * then it counts as late again, since it was accepted.
     */
    LOST_MAX_MS = 60 * 1000,
    MIN_ESTIMATE_PERMILLE = 500, /* estimates may be this much too long */
    /*
     * Best-effort tasks can wait: so many workers that were examined for them
     * in a pass earn a millisecond without another try.
     */
    BEST_EFFORT_LOOKS_PER_MS = 500,
    REFUSED_PER_LOOK = 4, /* that many cost as much, where it is known */
    /* The same for runs that were looked at, as they may give way. */
    ROOM_LOOKS_PER_MS = 100,
};

/* A century: keeps sums of bad estimates within their type. */
static const int64_t ALLOWED_MAX_MS = INT64_C(36525) * 24 * 3600 * 1000;

/* Whether a job can still meet its objective. */
typedef enum {
    ON_TIME, /* it may meet its objective */
    LATE,
    LOST, /* so late that its result is of little use */
} prospect_t;

/* An occurrence of a job with tasks that may start. */
typedef struct {
    jr_job_t *job;
    uint32_t occurrence;
    uint32_t priority;
    bool is_service; /* its first step */
    prospect_t prospect;
    int64_t due_ms;
} candidate_t;

int64_t
jr_critical_path_ms(const Jr__JobSpec *spec,
                    const jr_step_progress_t *progress)
{
    int64_t ends[JR_JOB_STEPS_MAX];
    int64_t longest = 0;

    for (size_t s = 0; s < spec->n_steps; s++) {
        const Jr__JobStep *step = spec->steps[s];
        bool is_done = progress != NULL && progress[s].done == step->count;
        int64_t start = 0;

        for (size_t i = 0; i < step->n_after; i++) {
            start = MAX(start, ends[step->after[i]]);
        }
        ends[s] = start + (is_done ? 0 : step->estimate_ms);
        longest = MAX(longest, ends[s]);
    }
    return longest;
}

int64_t
jr_allowed_ms(const Jr__JobQueue *config, const Jr__JobSpec *spec)
{
    int64_t path_ms = jr_critical_path_ms(spec, NULL);
    int64_t stretch = MAX((int64_t)config->stretch_permille, (int64_t)1);

    path_ms = MIN(path_ms, ALLOWED_MAX_MS * PERMILLE / stretch);
    return config->objective_ms +
           path_ms * config->stretch_permille / PERMILLE;
}

bool
jr_schedule_is_too_late(int64_t after_ms, int64_t allowed_ms)
{
    return allowed_ms > 0 && after_ms > JR_LATE_FACTOR * allowed_ms;
}

static prospect_t
prospect_of(const jr_dispatch_t *d, const jr_job_t *job, uint32_t occurrence,
            int64_t allowed_ms)
{
    const jr_step_progress_t *progress =
        &job->steps[occurrence * job->spec->n_steps];
    int64_t begin = jr_job_due_ms(job, occurrence);
    int64_t left_ms = jr_critical_path_ms(job->spec, progress) *
                      MIN_ESTIMATE_PERMILLE / PERMILLE;

    if (allowed_ms <= 0) {
        return ON_TIME; /* its queue has no objective */
    }
    if (jr_schedule_is_too_late(d->wall_ms - begin, allowed_ms) &&
        d->wall_ms - begin < JR_LATE_FACTOR * allowed_ms + LOST_MAX_MS) {
        return LOST;
    }
    return d->wall_ms + left_ms > begin + allowed_ms ? LATE : ON_TIME;
}

static candidate_t
make_candidate(const jr_dispatch_t *d, jr_job_t *job, uint32_t occurrence)
{
    const Jr__JobQueue *config = job->queue->last_config;
    int64_t begin = jr_job_due_ms(job, occurrence);
    int64_t allowed = jr_allowed_ms(config, job->spec);

    return (candidate_t){
        .job = job,
        .occurrence = occurrence,
        .priority = config->priority,
        .is_service = job->spec->steps[0]->service,
        /* A service is wanted however late it starts. */
        .prospect = job->spec->steps[0]->service
                        ? ON_TIME
                        : prospect_of(d, job, occurrence, allowed),
        .due_ms = begin + allowed,
    };
}

static bool
is_short(const Jr__JobStep *step)
{
    return !step->service && !step->filler;
}

/* Tasks of a step that wait and have no run. */
static size_t
count_waiting(const jr_job_t *job, const jr_step_progress_t *progress,
              const Jr__JobStep *step)
{
    size_t n = 0;

    if (job->n_runs == 0) {
        return progress->waiting;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        const jr_job_task_t *task = &job->tasks[progress->first + i];

        n += task->phase == JR_PHASE_WAITING && task->run == NULL;
    }
    return n;
}

/* Called with each step of short tasks that wait. */
typedef void for_demand_t(void *user, const jr_job_t *job,
                          const jr_step_progress_t *progress,
                          const Jr__JobStep *step);

/* None of a job that is so late that it waits for what the others leave. */
static void
for_short_demand(const candidate_t *candidate, for_demand_t *call, void *user)
{
    const jr_job_t *job = candidate->job;
    uint32_t n_steps = (uint32_t)job->spec->n_steps;

    for (uint32_t s = 0; s < n_steps && candidate->prospect != LOST; s++) {
        const Jr__JobStep *step = job->spec->steps[s];
        const jr_step_progress_t *progress =
            &job->steps[candidate->occurrence * n_steps + s];

        if (is_short(step) && progress->waiting > 0 &&
            jr_job_is_step_ready(job, candidate->occurrence, s)) {
            call(user, job, progress, step);
        }
    }
}

static void
add_demand(void *user, const jr_job_t *job, const jr_step_progress_t *progress,
           const Jr__JobStep *step)
{
    jr_demand_sum_t *to = user;
    size_t n = count_waiting(job, progress, step);

    to->cpu_milli += (int64_t)n * step->cpu_milli;
    to->memory_mb += (int64_t)n * step->memory_mb;
    to->n += n;
}

/* May the tasks run on the same workers as those of the step? */
static bool
has_same_workers(const jr_demand_sum_t *sum, const jr_job_t *job,
                 const Jr__JobStep *step)
{
    const jr_job_task_t *other = sum->example;

    return strcmp(jr_task_step(other)->label, step->label) == 0 &&
           strcmp(other->job->queue->last_config->service,
                  job->queue->last_config->service) == 0;
}

/*
 * Tasks with accelerators wait for accelerators, which no service frees that
 * gives way for its processors.
 */
static void
add_urgent_demand(void *user, const jr_job_t *job,
                  const jr_step_progress_t *progress, const Jr__JobStep *step)
{
    GArray *sums = user;
    jr_demand_sum_t sum = {.example = &job->tasks[progress->first]};

    if (step->accelerators > 0) {
        return;
    }
    for (guint i = 0; i < sums->len; i++) {
        jr_demand_sum_t *known = &g_array_index(sums, jr_demand_sum_t, i);

        if (has_same_workers(known, job, step)) {
            add_demand(known, job, progress, step);
            return;
        }
    }
    add_demand(&sum, job, progress, step);
    if (sum.n > 0) {
        g_array_append_val(sums, sum);
    }
}

static bool
has_waiting(const jr_job_t *job, uint32_t occurrence)
{
    const jr_step_progress_t *steps =
        &job->steps[occurrence * job->spec->n_steps];

    for (uint32_t s = 0; s < job->spec->n_steps; s++) {
        if (steps[s].waiting > 0 && jr_job_is_step_ready(job, occurrence, s)) {
            return true;
        }
    }
    return false;
}

static void
collect(jr_dispatch_t *d, GArray *to)
{
    jr_job_t *job;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        if (job->queue->last_config == NULL) {
            continue;
        }
        for (uint32_t k = 0; k < job->occurrences; k++) {
            if (jr_job_due_ms(job, k) > d->wall_ms && job->spec->repeats > 0) {
                break;
            }
            if (has_waiting(job, k)) {
                candidate_t candidate = make_candidate(d, job, k);

                g_array_append_val(to, candidate);
            }
        }
    }
}

static int
by_urgency(const void *a, const void *b)
{
    const candidate_t *x = a;
    const candidate_t *y = b;

    if (x->priority != y->priority) {
        return x->priority < y->priority ? -1 : 1;
    }
    if ((x->prospect == LOST) != (y->prospect == LOST)) {
        return x->prospect == LOST ? 1 : -1;
    }
    if (x->is_service != y->is_service) {
        return x->is_service ? 1 : -1;
    }
    if (x->prospect != y->prospect) {
        return x->prospect < y->prospect ? -1 : 1;
    }
    return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

static jr_run_t *
propose(jr_dispatch_t *d, jr_job_task_t *task, jr_tracked_worker_t *w)
{
    jr_run_t *run = jr_run_new(d, task, w, JR_RUN_PROPOSED);

    run->attempt = task->attempt + 1;
    return run;
}

static bool
is_placeable(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return task->phase == JR_PHASE_WAITING && task->run == NULL &&
           !jr_task_has_orphan(d, task);
}

bool
jr_schedule_may_place(const jr_dispatch_t *d, const jr_job_task_t *task)
{
    return is_placeable(d, task) && d->proposed->len < GRANTS_MAX;
}

void
jr_schedule_place(jr_dispatch_t *d, jr_job_task_t *task,
                  jr_tracked_worker_t *w)
{
    g_ptr_array_add(d->proposed, propose(d, task, w));
}

/*
 * Tasks that failed, or under which a worker crashed, avoid some workers, and
 * what services may use depends on their wait: these are chosen for one by
 * one, the others of a step alike.
 */
static jr_tracked_worker_t *
choose(jr_dispatch_t *d, const jr_job_task_t *task, const jr_need_t *need,
       jr_ranking_t **ranking)
{
    if (jr_task_step(task)->service || task->failures > 0 ||
        task->crash_score > 0 || task->failed_on != NULL) {
        jr_drop_ranking(*ranking);
        *ranking = NULL;
        return jr_choose_worker(d, task, need);
    }
    if (*ranking == NULL) {
        *ranking = jr_new_ranking(d, task, need);
    }
    return jr_ranking_next(*ranking, task);
}

static void
place_each(jr_dispatch_t *d, jr_job_t *job, const jr_step_progress_t *progress,
           const Jr__JobStep *step)
{
    int64_t failed_ms = -1; /* waited by a service that was not placed */
    jr_ranking_t *ranking = NULL;
    jr_need_t need;

    jr_need_of(step, &need);
    for (uint32_t i = 0; i < step->count; i++) {
        jr_job_task_t *task = &job->tasks[progress->first + i];
        jr_shape_t shape;
        jr_tracked_worker_t *w;

        if (!jr_schedule_may_place(d, task) || jr_claim_is_refused(d, task)) {
            continue;
        }
        shape = jr_shape_of(d, task, &need);
        if (shape.waited_ms <= failed_ms) {
            continue;
        }
        w = !jr_choose_is_relaxed(d, job) && jr_shapes_has(d->shapes, &shape)
                ? NULL
                : choose(d, task, &need, &ranking);
        if (w != NULL) {
            jr_claim_drop(d, task);
            jr_schedule_place(d, task, w);
            continue;
        }
        jr_shapes_add(d->shapes, step, &shape);
        if (!step->service) {
            break;
        }
        failed_ms = shape.waited_ms; /* others may have waited longer */
    }
    jr_drop_ranking(ranking);
}

static void
withdraw(jr_dispatch_t *d, GPtrArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        jr_run_free(d, g_ptr_array_index(runs, i));
    }
}

/* All members of the gang at once, with one attempt number, or none. */
static void
place_gang(jr_dispatch_t *d, jr_job_t *job, const jr_step_progress_t *progress,
           const Jr__JobStep *step)
{
    GPtrArray *runs = g_ptr_array_new();
    uint32_t attempt = 0;
    bool is_complete = true;
    jr_need_t need;

    jr_need_of(step, &need);
    for (uint32_t i = 0; i < step->count && is_complete; i++) {
        jr_job_task_t *task = &job->tasks[progress->first + i];
        jr_tracked_worker_t *w =
            is_placeable(d, task) ? jr_choose_worker(d, task, &need) : NULL;

        is_complete = w != NULL;
        if (is_complete) {
            attempt = MAX(attempt, task->attempt + 1);
            g_ptr_array_add(runs, propose(d, task, w));
        }
    }
    if (!is_complete) {
        withdraw(d, runs);
    }
    for (guint i = 0; is_complete && i < runs->len; i++) {
        jr_run_t *run = g_ptr_array_index(runs, i);

        run->attempt = attempt;
        g_ptr_array_add(d->proposed, run);
    }
    g_ptr_array_unref(runs);
}

static void
place_occurrence(jr_dispatch_t *d, const candidate_t *candidate)
{
    jr_job_t *job = candidate->job;
    uint32_t n = (uint32_t)job->spec->n_steps;

    for (uint32_t s = 0; s < n; s++) {
        const Jr__JobStep *step = job->spec->steps[s];
        const jr_step_progress_t *progress =
            &job->steps[candidate->occurrence * n + s];

        if (progress->waiting == 0 ||
            (step->filler && !d->is_best_effort_turn) ||
            !jr_job_is_step_ready(job, candidate->occurrence, s)) {
            continue;
        }
        if (step->gang) {
            place_gang(d, job, progress, step);
        }
        else {
            place_each(d, job, progress, step);
        }
    }
}

/* Of the short tasks that wait, up to a priority. */
static void
for_demand(const GArray *candidates, uint32_t priority, for_demand_t *call,
           void *user)
{
    for (guint i = 0; i < candidates->len; i++) {
        const candidate_t *candidate =
            &g_array_index(candidates, candidate_t, i);

        if (candidate->priority <= priority) {
            for_short_demand(candidate, call, user);
        }
    }
}

static void
place_all(jr_dispatch_t *d, GArray *candidates)
{
    if (candidates->len > 1) {
        qsort(candidates->data, candidates->len, sizeof(candidate_t),
              by_urgency);
    }
    for (guint i = 0; i < candidates->len && d->proposed->len < GRANTS_MAX;
         i++) {
        place_occurrence(d, &g_array_index(candidates, candidate_t, i));
    }
}

static void
make_room(jr_dispatch_t *d, const GArray *candidates)
{
    GArray *urgent = g_array_new(FALSE, FALSE, sizeof(jr_demand_sum_t));

    for_demand(candidates, JR_URGENT_PRIORITY, add_urgent_demand, urgent);
    if (d->now >= d->room_due_at) {
        d->room_looks = 0;
        jr_urgent_make_room(d, urgent);
        d->room_due_at = d->now + d->room_looks / ROOM_LOOKS_PER_MS;
    }
    g_array_unref(urgent);
}

void
jr_schedule(jr_dispatch_t *d)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

    jr_count(d->ctx, JR_C_PASSES);
    d->pass_looks = 0;
    d->best_effort_looks = 0;
    d->refused_looks = 0;
    d->is_best_effort_turn = d->now >= d->best_effort_due_at;
    collect(d, candidates);
    d->short_waiting = (jr_demand_sum_t){0};
    for_demand(candidates, UINT32_MAX, add_demand, &d->short_waiting);
    jr_reserve_update(d);
    jr_worker_quality_update(d);
    jr_claims_update(d);
    jr_reserve_for_services(d);
    jr_places_refresh(d);
    jr_claims_place(d);
    place_all(d, candidates);
    jr_leave_move_services(d);
    if (d->is_best_effort_turn) {
        jr_pace_move_slowed(d);
        d->best_effort_due_at =
            d->now +
            (d->best_effort_looks + d->refused_looks / REFUSED_PER_LOOK) /
                BEST_EFFORT_LOOKS_PER_MS;
    }
    jr_displace_short(d);
    make_room(d, candidates);
    jr_waits_report(d);
    jr_places_clear(d->places);
    jr_shapes_clear(d->shapes);
    g_array_unref(candidates);
}
