/* Tables of jobs, queues and workers, and the task state in them. */
#include "jobs.h"

#include <ctype.h>
#include <string.h>

enum {
    ID_DIGITS = 16,
    KEY_BYTES = JR_JOB_QUEUE_NAME_MAX_BYTES + 2, /* '\n' and '\0' */
    /* Bounds the entries of a worker whose remaining time stays the same. */
    COLD_AGAIN_MS = 10000,
};

static const char *const state_names[] = {
    [JR_JOB_QUEUED] = "queued",       [JR_JOB_RUNNING] = "running",
    [JR_JOB_DONE] = "completed",      [JR_JOB_FAILED] = "failed",
    [JR_JOB_CANCELLED] = "cancelled",
};

const char *
jr_job_state_name(jr_job_state_t state)
{
    return state_names[state];
}

bool
jr_job_id_parse(const char *text, uint64_t *id)
{
    if (strlen(text) != ID_DIGITS) {
        return false;
    }
    for (size_t i = 0; i < ID_DIGITS; i++) {
        if (!isxdigit((unsigned char)text[i])) {
            return false;
        }
    }
    *id = strtoull(text, NULL, 16);
    return true;
}

void
jr_set_text(jr_ctx_t *ctx, char **to, const char *from)
{
    jr_free(ctx, *to);
    *to = from != NULL && *from != '\0' ? jr_strdup(ctx, from) : NULL;
}

bool
jr_job_is_live(const jr_job_t *job)
{
    return job->state == JR_JOB_QUEUED || job->state == JR_JOB_RUNNING;
}

bool
jr_job_is_pending(const jr_job_t *job)
{
    return job->state == JR_JOB_QUEUED && !job->began;
}

const Jr__JobStep *
jr_task_step(const jr_job_task_t *task)
{
    return task->job->spec->steps[task->step];
}

jr_step_progress_t *
jr_task_step_progress(const jr_job_task_t *task)
{
    const jr_job_t *job = task->job;

    return &job->steps[task->occurrence * job->spec->n_steps + task->step];
}

int64_t
jr_job_due_ms(const jr_job_t *job, uint32_t occurrence)
{
    return job->spec->repeats == 0
               ? job->accepted_ms
               : job->spec->first_due_ms +
                     (int64_t)occurrence * job->spec->interval_ms;
}

bool
jr_job_is_step_ready(const jr_job_t *job, uint32_t occurrence, uint32_t step)
{
    const Jr__JobStep *spec = job->spec->steps[step];
    const jr_step_progress_t *steps =
        &job->steps[occurrence * job->spec->n_steps];

    for (size_t i = 0; i < spec->n_after; i++) {
        uint32_t earlier = spec->after[i];

        if (steps[earlier].done < job->spec->steps[earlier]->count) {
            return false;
        }
    }
    return true;
}

/* Names of hosts do not depend on the case of their letters. */
static char *
queue_key(char *buf, const char *host, const char *prefix)
{
    snprintf(buf, KEY_BYTES, "%s\n%s", host, prefix);
    for (char *c = buf; *c != '\0' && *c != '\n'; c++) {
        *c = (char)tolower((unsigned char)*c);
    }
    return buf;
}

jr_job_queue_t *
jr_queue_get(jr_jobs_t *jobs, const char *host, const char *prefix)
{
    char key[KEY_BYTES];
    jr_job_queue_t *queue;

    queue_key(key, host, prefix);
    HASH_FIND_STR(jobs->queues, key, queue);
    if (queue == NULL) {
        queue = jr_alloc(jobs->ctx, sizeof *queue);
        queue->key = jr_strdup(jobs->ctx, key);
        HASH_ADD_KEYPTR(hh, jobs->queues, queue->key, strlen(queue->key),
                        queue);
    }
    return queue;
}

static Jr__JobQueue *
copy_queue(jr_ctx_t *ctx, const Jr__JobQueue *from)
{
    size_t len = jr__job_queue__get_packed_size(from);
    uint8_t *bytes = jr_alloc(ctx, len + 1);
    Jr__JobQueue *copy;

    jr__job_queue__pack(from, bytes);
    copy = jr__job_queue__unpack(NULL, len, bytes);
    jr_free(ctx, bytes);
    return copy;
}

static void
set_last_config(jr_ctx_t *ctx, jr_job_queue_t *queue, const Jr__JobQueue *from)
{
    if (queue->last_config != NULL) {
        jr__job_queue__free_unpacked(queue->last_config, NULL);
    }
    queue->last_config = copy_queue(ctx, from);
}

void
jr_queue_add_removed(jr_jobs_t *jobs, const Jr__JobQueue *from)
{
    jr_job_queue_t *queue = jr_queue_get(jobs, from->host, from->prefix);

    if (queue->config == NULL) {
        set_last_config(jobs->ctx, queue, from);
    }
}

void
jr_jobs_set_config(jr_jobs_t *jobs, Jr__JobConfig *config)
{
    jr_job_queue_t *queue, *next;

    HASH_ITER (hh, jobs->queues, queue, next) {
        queue->config = NULL;
    }
    for (size_t i = 0; i < config->n_queues; i++) {
        const Jr__JobQueue *from = config->queues[i];

        queue = jr_queue_get(jobs, from->host, from->prefix);
        queue->config = from;
        set_last_config(jobs->ctx, queue, from);
    }
    if (jobs->config != NULL) {
        jr__job_config__free_unpacked(jobs->config, NULL);
    }
    jobs->config = config;
}

jr_job_queue_t *
jr_jobs_route(jr_jobs_t *jobs, const char *host, const char *path,
              const char **rest)
{
    const Jr__JobQueue *best = NULL;
    size_t best_len = 0;

    for (size_t i = 0; jobs->config != NULL && i < jobs->config->n_queues;
         i++) {
        const Jr__JobQueue *queue = jobs->config->queues[i];
        size_t len = strlen(queue->prefix);

        if ((best == NULL || len > best_len) &&
            strncmp(path, queue->prefix, len) == 0 &&
            strcasecmp(host, queue->host) == 0) {
            best = queue;
            best_len = len;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    *rest = path + best_len;
    return jr_queue_get(jobs, best->host, best->prefix);
}

static void
init_tasks(jr_job_t *job, int64_t now)
{
    uint32_t next = 0;

    for (uint32_t k = 0; k < job->occurrences; k++) {
        for (uint32_t s = 0; s < job->spec->n_steps; s++) {
            jr_step_progress_t *step = &job->steps[k * job->spec->n_steps + s];

            step->first = next;
            step->waiting = job->spec->steps[s]->count;
            for (uint32_t i = 0; i < step->waiting; i++) {
                job->tasks[next++] = (jr_job_task_t){.job = job,
                                                     .occurrence = k,
                                                     .step = s,
                                                     .index = i,
                                                     .waiting_since = now};
            }
        }
    }
}

jr_job_t *
jr_job_insert(jr_jobs_t *jobs, Jr__JobSpec *spec)
{
    jr_job_t *job = jr_alloc(jobs->ctx, sizeof *job);
    uint32_t per_occurrence = 0;

    for (size_t s = 0; s < spec->n_steps; s++) {
        per_occurrence += spec->steps[s]->count;
    }
    job->id = spec->id;
    job->spec = spec;
    job->occurrences = spec->repeats > 0 ? spec->repeats : 1;
    job->n_tasks = per_occurrence * job->occurrences;
    job->steps = jr_alloc(jobs->ctx, job->occurrences * spec->n_steps *
                                         sizeof *job->steps);
    job->tasks = jr_alloc(jobs->ctx, job->n_tasks * sizeof *job->tasks);
    job->accepted_ms = jobs->now;
    job->idle_since = jobs->now;
    job->queue = jr_queue_get(jobs, spec->host, spec->prefix);
    init_tasks(job, jobs->now);
    HASH_ADD(hh, jobs->by_id, id, sizeof job->id, job);
    TAILQ_INSERT_TAIL(&jobs->live, job, link);
    return job;
}

void
jr_step_add_failed_attempt(jr_jobs_t *jobs, jr_step_progress_t *step,
                           uint32_t attempt)
{
    jr_failed_attempt_t *failed = jr_alloc(jobs->ctx, sizeof *failed);

    failed->attempt = attempt;
    SLIST_INSERT_HEAD(&step->failed_attempts, failed, link);
}

static void
free_failed_attempts(jr_jobs_t *jobs, jr_step_progress_t *step)
{
    jr_failed_attempt_t *failed;

    while ((failed = SLIST_FIRST(&step->failed_attempts)) != NULL) {
        SLIST_REMOVE_HEAD(&step->failed_attempts, link);
        jr_free(jobs->ctx, failed);
    }
}

static void
free_tasks(jr_jobs_t *jobs, jr_job_t *job)
{
    size_t n_steps = job->occurrences * job->spec->n_steps;

    if (job->tasks == NULL) {
        return;
    }
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        jr_free(jobs->ctx, job->tasks[i].checkpoint);
        jr_free(jobs->ctx, job->tasks[i].failed_on);
        jr_task_set_lapse(jobs, &job->tasks[i], NULL);
    }
    for (size_t i = 0; i < n_steps; i++) {
        free_failed_attempts(jobs, &job->steps[i]);
    }
    jr_free(jobs->ctx, job->tasks);
    jr_free(jobs->ctx, job->steps);
    job->tasks = NULL;
    job->steps = NULL;
}

void
jr_job_trim(jr_jobs_t *jobs, jr_job_t *job)
{
    if (!jr_job_is_live(job) && job->n_granted == 0) {
        free_tasks(jobs, job);
    }
}

void
jr_job_free(jr_jobs_t *jobs, jr_job_t *job)
{
    TAILQ_REMOVE(jr_job_is_live(job) ? &jobs->live : &jobs->ended, job, link);
    HASH_DEL(jobs->by_id, job);
    free_tasks(jobs, job);
    jr__job_spec__free_unpacked(job->spec, NULL);
    jr_free(jobs->ctx, job);
}

static uint32_t *
phase_count(jr_job_task_t *task)
{
    jr_step_progress_t *step = jr_task_step_progress(task);

    switch (task->phase) {
    case JR_PHASE_WAITING:
        return &step->waiting;
    case JR_PHASE_GRANTED:
        return &step->granted;
    case JR_PHASE_DONE:
        return &step->done;
    case JR_PHASE_DROPPED:
        break;
    }
    return NULL;
}

void
jr_task_move(jr_job_task_t *task, jr_phase_t phase)
{
    uint32_t *count = phase_count(task);

    if (count != NULL) {
        (*count)--;
    }
    if (task->phase == JR_PHASE_GRANTED) {
        task->job->n_granted--;
        TAILQ_REMOVE(&task->worker->granted, task, worker_link);
        task->worker = NULL;
        task->incarnation = 0;
        task->settled_in = 0;
        task->is_done = false;
    }
    task->job->n_done -= task->phase == JR_PHASE_DONE;
    task->phase = phase;
    task->job->n_done += phase == JR_PHASE_DONE;
    count = phase_count(task);
    if (count != NULL) {
        (*count)++;
    }
}

void
jr_task_grant(jr_job_task_t *task, jr_job_worker_t *worker,
              int64_t incarnation, uint32_t attempt)
{
    jr_task_move(task, JR_PHASE_GRANTED);
    task->attempt = attempt;
    task->worker = worker;
    task->incarnation = incarnation;
    task->job->n_granted++;
    TAILQ_INSERT_TAIL(&worker->granted, task, worker_link);
}

jr_job_worker_t *
jr_worker_insert(jr_jobs_t *jobs, Jr__JobWorker *info)
{
    jr_job_worker_t *worker = jr_jobs_worker(jobs, info->id);

    if (worker == NULL) {
        worker = jr_alloc(jobs->ctx, sizeof *worker);
        TAILQ_INIT(&worker->granted);
        worker->info = info;
        HASH_ADD_KEYPTR(hh, jobs->workers, info->id, strlen(info->id), worker);
        return worker;
    }
    /* The key of the table entry is part of the message that is replaced. */
    HASH_DEL(jobs->workers, worker);
    jr__job_worker__free_unpacked(worker->info, NULL);
    worker->info = info;
    HASH_ADD_KEYPTR(hh, jobs->workers, info->id, strlen(info->id), worker);
    return worker;
}

void
jr_worker_free(jr_jobs_t *jobs, jr_job_worker_t *worker)
{
    jr_job_queue_t *queue;

    for (queue = jobs->queues; queue != NULL; queue = queue->hh.next) {
        if (queue->open_worker == worker) {
            queue->open_worker = NULL;
        }
    }
    if (jobs->hooks.worker_removed != NULL) {
        jobs->hooks.worker_removed(jobs->hooks.user, worker);
    }
    HASH_DEL(jobs->workers, worker);
    jr__job_worker__free_unpacked(worker->info, NULL);
    jr_free(jobs->ctx, worker);
}

jr_jobs_t *
jr_new_jobs(jr_ctx_t *ctx)
{
    jr_jobs_t *jobs = jr_alloc(ctx, sizeof *jobs);

    jobs->ctx = ctx;
    jobs->zones = jr_new_zones(ctx);
    TAILQ_INIT(&jobs->live);
    TAILQ_INIT(&jobs->ended);
    return jobs;
}

void
jr_jobs_clear(jr_jobs_t *jobs)
{
    jr_job_t *job, *next_job;
    jr_job_worker_t *worker, *next_worker;
    jr_job_queue_t *queue, *next_queue;

    jr_zones_clear(jobs->zones);
    HASH_ITER (hh, jobs->by_id, job, next_job) {
        jr_job_free(jobs, job);
    }
    HASH_ITER (hh, jobs->workers, worker, next_worker) {
        jr_worker_free(jobs, worker);
    }
    HASH_ITER (hh, jobs->queues, queue, next_queue) {
        HASH_DEL(jobs->queues, queue);
        if (queue->last_config != NULL) {
            jr__job_queue__free_unpacked(queue->last_config, NULL);
        }
        jr_free(jobs->ctx, queue->key);
        jr_free(jobs->ctx, queue);
    }
    if (jobs->config != NULL) {
        jr__job_config__free_unpacked(jobs->config, NULL);
        jobs->config = NULL;
    }
}

void
jr_drop_jobs(jr_jobs_t *jobs)
{
    if (jobs != NULL) {
        jobs->hooks = (jr_job_hooks_t){0};
        jr_jobs_clear(jobs);
        jr_drop_zones(jobs->zones);
        jr_free(jobs->ctx, jobs);
    }
}

void
jr_jobs_set_hooks(jr_jobs_t *jobs, const jr_job_hooks_t *hooks)
{
    jobs->hooks = *hooks;
}

jr_job_t *
jr_jobs_find(jr_jobs_t *jobs, uint64_t id)
{
    jr_job_t *job;

    HASH_FIND(hh, jobs->by_id, &id, sizeof id, job);
    return job;
}

/* Is it a worker of the service in a zone that is in use? */
static bool
is_open(const jr_jobs_t *jobs, const jr_job_worker_t *worker,
        const char *service)
{
    return strcmp(worker->info->service, service) == 0 &&
           !jr_zones_is_drained(jobs->zones, worker->info->zone);
}

static jr_job_worker_t *
find_open_worker(const jr_jobs_t *jobs, const char *service)
{
    jr_job_worker_t *worker;

    for (worker = jobs->workers; worker != NULL; worker = worker->hh.next) {
        if (is_open(jobs, worker, service)) {
            return worker;
        }
    }
    return NULL;
}

static bool
has_workers(const jr_jobs_t *jobs, const char *service)
{
    const jr_job_worker_t *worker;

    for (worker = jobs->workers; worker != NULL; worker = worker->hh.next) {
        if (strcmp(worker->info->service, service) == 0) {
            return true;
        }
    }
    return false;
}

bool
jr_jobs_is_service_drained(const jr_jobs_t *jobs, const char *service)
{
    return jobs->zones->n_drained > 0 &&
           find_open_worker(jobs, service) == NULL &&
           has_workers(jobs, service);
}

/* Asked for each submission, so it remembers a worker. */
bool
jr_jobs_is_queue_drained(const jr_jobs_t *jobs, jr_job_queue_t *queue)
{
    const char *service = queue->config->service;

    if (jobs->zones->n_drained == 0) {
        return false;
    }
    if (queue->open_worker == NULL ||
        !is_open(jobs, queue->open_worker, service)) {
        queue->open_worker = find_open_worker(jobs, service);
    }
    return queue->open_worker == NULL && has_workers(jobs, service);
}

bool
jr_jobs_is_zone_empty(const jr_jobs_t *jobs, const char *zone)
{
    const jr_job_worker_t *worker;

    for (worker = jobs->workers; worker != NULL; worker = worker->hh.next) {
        if (!TAILQ_EMPTY(&worker->granted) &&
            strcmp(worker->info->zone, zone) == 0) {
            return false;
        }
    }
    return true;
}

size_t
jr_jobs_count_granted(const jr_jobs_t *jobs, const char *zone)
{
    const jr_job_worker_t *worker;
    const jr_job_task_t *task;
    size_t n = 0;

    for (worker = jobs->workers; worker != NULL; worker = worker->hh.next) {
        if (strcmp(worker->info->zone, zone) != 0) {
            continue;
        }
        TAILQ_FOREACH (task, &worker->granted, worker_link) {
            n++;
        }
    }
    return n;
}

jr_job_worker_t *
jr_jobs_worker(jr_jobs_t *jobs, const char *id)
{
    jr_job_worker_t *worker;

    HASH_FIND_STR(jobs->workers, id, worker);
    return worker;
}

/*
 * A value that counts down, or that stays, must not make each check-in an
 * entry. It says something new when a worker became cold, which may be again
 * in one incarnation: after its zone was taken back.
 */
static bool
is_newly_cold(const jr_jobs_t *jobs, const Jr__JobWorker *known,
              const Jr__JobWorker *info)
{
    if (info->cold_remaining_ms == 0) {
        return false;
    }
    return known->cold_until_ms == 0 ||
           jobs->now > known->cold_until_ms + COLD_AGAIN_MS;
}

static bool
is_same_info(const Jr__JobWorker *a, const Jr__JobWorker *b)
{
    if (a->n_labels != b->n_labels || strcmp(a->address, b->address) != 0 ||
        strcmp(a->service, b->service) != 0 || strcmp(a->zone, b->zone) != 0 ||
        strcmp(a->machine, b->machine) != 0) {
        return false;
    }
    for (size_t i = 0; i < a->n_labels; i++) {
        if (strcmp(a->labels[i], b->labels[i]) != 0) {
            return false;
        }
    }
    return a->cpu_milli == b->cpu_milli && a->memory_mb == b->memory_mb &&
           a->accelerators == b->accelerators;
}

bool
jr_worker_is_outdated(const jr_job_worker_t *worker, const Jr__JobWorker *info)
{
    return info->born != 0 && worker->info->born == info->born &&
           info->sequence != 0 && info->sequence < worker->info->sequence;
}

bool
jr_worker_is_unchanged(const jr_jobs_t *jobs, const jr_job_worker_t *worker,
                       const Jr__JobWorker *info)
{
    return worker->info->born == info->born &&
           (worker->info->draining || !info->draining) &&
           !is_newly_cold(jobs, worker->info, info) &&
           is_same_info(worker->info, info);
}

jr_job_task_t *
jr_jobs_task(jr_jobs_t *jobs, const Jr__JobRun *run)
{
    jr_job_t *job = jr_jobs_find(jobs, run->job);
    const jr_step_progress_t *step;

    if (job == NULL || job->tasks == NULL ||
        run->occurrence >= job->occurrences ||
        run->step >= job->spec->n_steps ||
        run->index >= job->spec->steps[run->step]->count) {
        return NULL;
    }
    step = &job->steps[run->occurrence * job->spec->n_steps + run->step];
    return &job->tasks[step->first + run->index];
}
