/* Saving the state as a snapshot and loading it. */
#include "jobs.h"

#include <string.h>

static char empty[] = "";

static char *
or_empty(char *text)
{
    return text != NULL ? text : empty;
}

/* Most tasks wait since their job was accepted: 0 takes no space. */
static int64_t
since_or_zero(const jr_job_t *job, int64_t since)
{
    return since != job->accepted_ms ? since : 0;
}

static void
fill_lapse(const jr_lapse_t *lapse, Jr__JobTaskState *to)
{
    to->lapsed_on = empty;
    if (lapse != NULL) {
        to->lapsed_on = lapse->worker;
        to->lapsed_born = lapse->incarnation;
        to->lapsed_attempt = lapse->attempt;
        to->lapsed_after_ms = lapse->after_ms;
    }
}

static void
load_lapse(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobTaskState *from)
{
    jr_lapse_t lapse = {
        .worker = from->lapsed_on,
        .incarnation = from->lapsed_born,
        .attempt = from->lapsed_attempt,
        .after_ms = from->lapsed_after_ms,
    };

    if (*from->lapsed_on != '\0') {
        jr_task_set_lapse(jobs, task, &lapse);
    }
}

static void
fill_task(const jr_job_task_t *task, Jr__JobTaskState *to)
{
    jr__job_task_state__init(to);
    to->phase = (uint32_t)task->phase;
    to->attempt = task->attempt;
    to->failures = task->failures;
    to->crash_score = task->crash_score;
    to->crash_attempt = task->crash_attempt;
    to->checkpoint = or_empty(task->checkpoint);
    to->failed_on = or_empty(task->failed_on);
    to->waiting_since_ms = since_or_zero(task->job, task->waiting_since);
    fill_lapse(task->lapse, to);
    to->worker = empty;
    if (task->phase == JR_PHASE_GRANTED) {
        to->worker = task->worker->info->id;
        to->born = task->incarnation;
        to->settled_born = task->settled_in;
        to->done = task->is_done;
    }
}

static size_t
count_steps(const jr_job_t *job)
{
    return job->occurrences * job->spec->n_steps;
}

static size_t
count_failed_attempts(const jr_job_t *job)
{
    const jr_failed_attempt_t *failed;
    size_t n = 0;

    for (size_t i = 0; i < count_steps(job); i++) {
        SLIST_FOREACH(failed, &job->steps[i].failed_attempts, link)
        {
            n++;
        }
    }
    return n;
}

static void
fill_failed_attempts(jr_ctx_t *ctx, const jr_job_t *job, Jr__JobState *to)
{
    size_t n = count_failed_attempts(job);
    const jr_failed_attempt_t *failed;
    Jr__JobFailedAttempt *rows;

    if (n == 0) {
        return;
    }
    to->failed_attempts = jr_alloc(ctx, n * sizeof(Jr__JobFailedAttempt *));
    rows = jr_alloc(ctx, n * sizeof *rows);
    for (size_t i = 0; i < count_steps(job); i++) {
        SLIST_FOREACH(failed, &job->steps[i].failed_attempts, link)
        {
            Jr__JobFailedAttempt *row = &rows[to->n_failed_attempts];

            jr__job_failed_attempt__init(row);
            row->step = (uint32_t)i;
            row->attempt = failed->attempt;
            to->failed_attempts[to->n_failed_attempts++] = row;
        }
    }
}

static void
fill_job(jr_ctx_t *ctx, const jr_job_t *job, Jr__JobState *to)
{
    Jr__JobTaskState *tasks;

    jr__job_state__init(to);
    to->spec = job->spec;
    to->state = (uint32_t)job->state;
    to->began = job->began;
    to->accepted_ms = job->accepted_ms;
    to->ended_ms = job->ended_ms;
    to->idle_since_ms = since_or_zero(job, job->idle_since);
    if (job->tasks == NULL) {
        return;
    }
    to->n_tasks = job->n_tasks;
    to->tasks = jr_alloc(ctx, job->n_tasks * sizeof(Jr__JobTaskState *));
    tasks = jr_alloc(ctx, job->n_tasks * sizeof *tasks);
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        fill_task(&job->tasks[i], &tasks[i]);
        to->tasks[i] = &tasks[i];
    }
    fill_failed_attempts(ctx, job, to);
}

static void
free_job_state(jr_ctx_t *ctx, Jr__JobState *state)
{
    if (state->n_tasks > 0) {
        jr_free(ctx, state->tasks[0]);
        jr_free(ctx, state->tasks);
    }
    if (state->n_failed_attempts > 0) {
        jr_free(ctx, state->failed_attempts[0]);
        jr_free(ctx, state->failed_attempts);
    }
}

/*
 * Fill in the jobs of a list, oldest first: loading inserts them in the same
 * order.
 */
static size_t
fill_list(jr_jobs_t *jobs, struct jr_job_list *list, Jr__JobState *states,
          Jr__JobState **to)
{
    jr_job_t *job;
    size_t n = 0;

    TAILQ_FOREACH (job, list, link) {
        fill_job(jobs->ctx, job, &states[n]);
        to[n] = &states[n];
        n++;
    }
    return n;
}

static void
fill_removed_queues(jr_jobs_t *jobs, Jr__JobSnapshot *to)
{
    jr_job_queue_t *queue, *next;

    to->removed_queues = jr_alloc(jobs->ctx, (HASH_COUNT(jobs->queues) + 1) *
                                                 sizeof(Jr__JobQueue *));
    HASH_ITER (hh, jobs->queues, queue, next) {
        if (queue->config == NULL && queue->last_config != NULL) {
            to->removed_queues[to->n_removed_queues++] = queue->last_config;
        }
    }
}

static void
fill_zones(jr_jobs_t *jobs, Jr__JobZone *zones, Jr__JobSnapshot *to)
{
    const jr_zone_t *zone;

    TAILQ_FOREACH (zone, &jobs->zones->list, link) {
        Jr__JobZone *copy = &zones[to->n_zones];

        jr__job_zone__init(copy);
        copy->name = zone->name;
        copy->accepted = zone->accepted;
        copy->drained_since_ms = zone->drained_since;
        to->zones[to->n_zones++] = copy;
    }
}

uint8_t *
jr_jobs_save(jr_jobs_t *jobs, size_t *len)
{
    Jr__JobSnapshot snapshot = JR__JOB_SNAPSHOT__INIT;
    size_t n_jobs = HASH_COUNT(jobs->by_id);
    size_t n_workers = HASH_COUNT(jobs->workers);
    Jr__JobState *states = jr_alloc(jobs->ctx, (n_jobs + 1) * sizeof *states);
    Jr__JobZone zones[JR_ZONES_MAX];
    Jr__JobZone *zone_pointers[JR_ZONES_MAX];
    jr_job_worker_t *worker, *next;
    uint8_t *bytes;

    snapshot.zones = zone_pointers;
    fill_zones(jobs, zones, &snapshot);
    snapshot.config = jobs->config;
    snapshot.now_ms = jobs->now;
    snapshot.lease_limit_ms = jobs->lease_limit_ms;
    snapshot.workers =
        jr_alloc(jobs->ctx, (n_workers + 1) * sizeof(Jr__JobWorker *));
    HASH_ITER (hh, jobs->workers, worker, next) {
        snapshot.workers[snapshot.n_workers++] = worker->info;
    }
    snapshot.jobs = jr_alloc(jobs->ctx, (n_jobs + 1) * sizeof(Jr__JobState *));
    snapshot.n_jobs = fill_list(jobs, &jobs->ended, states, snapshot.jobs);
    snapshot.n_jobs += fill_list(jobs, &jobs->live, states + snapshot.n_jobs,
                                 snapshot.jobs + snapshot.n_jobs);
    fill_removed_queues(jobs, &snapshot);
    bytes =
        jr_alloc(jobs->ctx, jr__job_snapshot__get_packed_size(&snapshot) + 1);
    *len = jr__job_snapshot__pack(&snapshot, bytes);
    for (size_t i = 0; i < snapshot.n_jobs; i++) {
        free_job_state(jobs->ctx, &states[i]);
    }
    jr_free(jobs->ctx, snapshot.removed_queues);
    jr_free(jobs->ctx, snapshot.jobs);
    jr_free(jobs->ctx, snapshot.workers);
    jr_free(jobs->ctx, states);
    return bytes;
}

static bool
load_task(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobTaskState *from)
{
    jr_job_worker_t *worker;

    jr_set_text(jobs->ctx, &task->checkpoint, from->checkpoint);
    jr_set_text(jobs->ctx, &task->failed_on, from->failed_on);
    task->waiting_since = from->waiting_since_ms != 0 ? from->waiting_since_ms
                                                      : task->job->accepted_ms;
    task->failures = from->failures;
    task->crash_score = from->crash_score;
    task->crash_attempt = from->crash_attempt;
    load_lapse(jobs, task, from);
    if (from->phase == JR_PHASE_GRANTED) {
        worker = jr_jobs_worker(jobs, from->worker);
        if (worker == NULL) {
            return false;
        }
        jr_task_grant(task, worker, from->born, from->attempt);
        task->settled_in = from->settled_born;
        task->is_done = from->done;
        return true;
    }
    if (from->phase > JR_PHASE_DROPPED) {
        return false;
    }
    task->attempt = from->attempt;
    jr_task_move(task, (jr_phase_t)from->phase);
    return true;
}

/* Earlier versions recorded only the latest attempt of each step. */
static bool
load_latest_failed_attempts(jr_jobs_t *jobs, jr_job_t *job,
                            const Jr__JobState *state)
{
    size_t n = state->n_latest_failed_attempts;

    if (n != 0 && n != count_steps(job)) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (state->latest_failed_attempts[i] != 0) {
            jr_step_add_failed_attempt(jobs, &job->steps[i],
                                       state->latest_failed_attempts[i]);
        }
    }
    return true;
}

/* From the last one on, since each is added at the head of its list. */
static bool
load_failed_attempts(jr_jobs_t *jobs, jr_job_t *job, const Jr__JobState *state)
{
    for (size_t i = state->n_failed_attempts; i > 0; i--) {
        const Jr__JobFailedAttempt *row = state->failed_attempts[i - 1];

        if (row->step >= count_steps(job)) {
            return false;
        }
        jr_step_add_failed_attempt(jobs, &job->steps[row->step], row->attempt);
    }
    return load_latest_failed_attempts(jobs, job, state);
}

static bool
load_tasks(jr_jobs_t *jobs, jr_job_t *job, const Jr__JobState *state)
{
    if (state->n_tasks == 0) {
        return true;
    }
    if (state->n_tasks != job->n_tasks) {
        return false;
    }
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (!load_task(jobs, &job->tasks[i], state->tasks[i])) {
            return false;
        }
    }
    return load_failed_attempts(jobs, job, state);
}

static bool
load_job(jr_jobs_t *jobs, Jr__JobState *state)
{
    jr_job_t *job;

    if (state->spec == NULL || state->state > JR_JOB_CANCELLED ||
        jr_job_check(jobs->ctx, state->spec) != JR_OK ||
        jr_jobs_find(jobs, state->spec->id) != NULL) {
        return false;
    }
    job = jr_job_insert(jobs, state->spec);
    state->spec = NULL;
    job->accepted_ms = state->accepted_ms;
    job->ended_ms = state->ended_ms;
    job->idle_since =
        state->idle_since_ms != 0 ? state->idle_since_ms : state->accepted_ms;
    job->began = state->began;
    if (!load_tasks(jobs, job, state)) {
        return false;
    }
    if (state->state > JR_JOB_RUNNING) {
        TAILQ_REMOVE(&jobs->live, job, link);
        TAILQ_INSERT_TAIL(&jobs->ended, job, link);
    }
    job->state = (jr_job_state_t)state->state;
    job->queue->pending += jr_job_is_pending(job);
    jr_job_trim(jobs, job);
    return true;
}

static bool
load_all(jr_jobs_t *jobs, Jr__JobSnapshot *snapshot)
{
    jobs->now = snapshot->now_ms;
    jobs->lease_limit_ms = snapshot->lease_limit_ms;
    if (snapshot->config != NULL) {
        jr_jobs_set_config(jobs, snapshot->config);
        snapshot->config = NULL;
    }
    for (size_t i = 0; i < snapshot->n_zones; i++) {
        const Jr__JobZone *zone = snapshot->zones[i];

        if (!jr_zones_restore(jobs->zones, zone->name, zone->accepted,
                              zone->drained_since_ms)) {
            return false;
        }
    }
    for (size_t i = 0; i < snapshot->n_removed_queues; i++) {
        jr_queue_add_removed(jobs, snapshot->removed_queues[i]);
    }
    for (size_t i = 0; i < snapshot->n_workers; i++) {
        if (jr_jobs_worker(jobs, snapshot->workers[i]->id) != NULL) {
            return false;
        }
        jr_worker_insert(jobs, snapshot->workers[i]);
        snapshot->workers[i] = NULL;
    }
    for (size_t i = 0; i < snapshot->n_jobs; i++) {
        if (!load_job(jobs, snapshot->jobs[i])) {
            return false;
        }
    }
    return true;
}

/*
 * Free what the state did not take ownership of. Workers that it owns are NULL
 * in the array and are removed from it, so that only the others are freed.
 */
static void
free_snapshot(Jr__JobSnapshot *snapshot)
{
    size_t kept = 0;

    for (size_t i = 0; i < snapshot->n_workers; i++) {
        if (snapshot->workers[i] != NULL) {
            snapshot->workers[kept++] = snapshot->workers[i];
        }
    }
    snapshot->n_workers = kept;
    jr__job_snapshot__free_unpacked(snapshot, NULL);
}

bool
jr_jobs_load(jr_jobs_t *jobs, const uint8_t *bytes, size_t len)
{
    Jr__JobSnapshot *snapshot = jr__job_snapshot__unpack(NULL, len, bytes);
    bool ok;

    if (snapshot == NULL) {
        return false;
    }
    jr_jobs_clear(jobs);
    ok = load_all(jobs, snapshot);
    free_snapshot(snapshot);
    return ok;
}
