/* Application of log commands to the state. */
#include "jobs.h"

#include <string.h>

static void
notify_task(jr_jobs_t *jobs, jr_job_task_t *task)
{
    if (jobs->hooks.task != NULL) {
        jobs->hooks.task(jobs->hooks.user, task);
    }
}

static void
notify_job(jr_jobs_t *jobs, jr_job_t *job)
{
    if (jobs->hooks.job != NULL) {
        jobs->hooks.job(jobs->hooks.user, job);
    }
}

static void
notify_worker(jr_jobs_t *jobs, jr_job_worker_t *worker)
{
    if (jobs->hooks.worker != NULL) {
        jobs->hooks.worker(jobs->hooks.user, worker);
    }
}

/* Ended jobs are kept for a while so that clients can query the outcome. */
static void
remove_expired_jobs(jr_jobs_t *jobs)
{
    jr_job_t *job;

    while ((job = TAILQ_FIRST(&jobs->ended)) != NULL && job->n_granted == 0 &&
           jobs->now - job->ended_ms > JR_JOB_RETENTION_MS) {
        jr_job_free(jobs, job);
    }
}

static jr_result_t
apply_config(jr_jobs_t *jobs, Jr__JobCommand *command)
{
    if (jobs->config != NULL &&
        command->config->version <= jobs->config->version) {
        return JR_OK;
    }
    jr_jobs_set_config(jobs, command->config);
    command->body_case = JR__JOB_COMMAND__BODY__NOT_SET;
    command->config = NULL;
    return JR_OK;
}

static jr_result_t
apply_submit(jr_jobs_t *jobs, Jr__JobSubmit *submit)
{
    jr_job_t *job;

    if (submit->spec == NULL ||
        jr_job_check(jobs->ctx, submit->spec) != JR_OK) {
        return JR_BAD_REQUEST;
    }
    if (jr_jobs_find(jobs, submit->spec->id) != NULL) {
        return JR_OK;
    }
    remove_expired_jobs(jobs);
    job = jr_job_insert(jobs, submit->spec);
    submit->spec = NULL;
    job->queue->pending++;
    notify_job(jobs, job);
    return JR_OK;
}

static void
update_pending(jr_job_t *job, bool was_pending)
{
    bool is_pending = jr_job_is_pending(job);

    if (was_pending && !is_pending) {
        job->queue->pending--;
    }
    else if (!was_pending && is_pending) {
        job->queue->pending++;
    }
}

static void
mark_begun(jr_job_t *job)
{
    bool was_pending = jr_job_is_pending(job);

    job->began = true;
    if (job->state == JR_JOB_QUEUED) {
        job->state = JR_JOB_RUNNING;
    }
    update_pending(job, was_pending);
}

static void
end_job(jr_jobs_t *jobs, jr_job_t *job, jr_job_state_t state)
{
    bool was_pending = jr_job_is_pending(job);

    TAILQ_REMOVE(&jobs->live, job, link);
    TAILQ_INSERT_TAIL(&jobs->ended, job, link);
    job->state = state;
    job->ended_ms = jobs->now;
    update_pending(job, was_pending);
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (job->tasks[i].phase == JR_PHASE_WAITING) {
            jr_task_move(&job->tasks[i], JR_PHASE_DROPPED);
            /* A grant of the task may be proposed and not yet committed. */
            notify_task(jobs, &job->tasks[i]);
        }
    }
    notify_job(jobs, job);
    jr_job_trim(jobs, job);
}

static jr_result_t
apply_cancel(jr_jobs_t *jobs, const Jr__JobCancel *cancel)
{
    jr_job_t *job = jr_jobs_find(jobs, cancel->job);

    if (job == NULL) {
        return JR_NOT_FOUND;
    }
    if (jr_job_is_live(job)) {
        end_job(jobs, job, JR_JOB_CANCELLED);
    }
    return JR_OK;
}

static void
refuse_grant(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobGrant *grant)
{
    if (jobs->hooks.grant_refused != NULL) {
        jobs->hooks.grant_refused(jobs->hooks.user, task, grant);
    }
}

static void
apply_grant(jr_jobs_t *jobs, const Jr__JobGrant *grant)
{
    jr_job_task_t *task = jr_jobs_task(jobs, grant->run);
    jr_job_worker_t *worker = jr_jobs_worker(jobs, grant->worker);

    if (task == NULL) {
        return;
    }
    if (worker == NULL || worker->info->born != grant->born ||
        !jr_job_is_live(task->job) || task->phase != JR_PHASE_WAITING ||
        grant->run->attempt <= task->attempt) {
        refuse_grant(jobs, task, grant);
        return;
    }
    jr_task_grant(task, worker, grant->born, grant->run->attempt);
    notify_task(jobs, task);
}

static jr_result_t
apply_grants(jr_jobs_t *jobs, const Jr__JobGrants *grants)
{
    for (size_t i = 0; i < grants->n_grants; i++) {
        if (grants->grants[i]->run != NULL) {
            apply_grant(jobs, grants->grants[i]);
        }
    }
    return JR_OK;
}

static void
end_job_if_done(jr_jobs_t *jobs, jr_job_t *job)
{
    if (jr_job_is_live(job) && job->n_done == job->n_tasks) {
        end_job(jobs, job, JR_JOB_DONE);
    }
}

/* Phase of a task whose run ended without being done. */
static jr_phase_t
phase_after_run(const jr_job_task_t *task)
{
    if (!jr_job_is_live(task->job)) {
        return JR_PHASE_DROPPED;
    }
    return task->is_done ? JR_PHASE_DONE : JR_PHASE_WAITING;
}

/*
 * The checkpoint of any member of a gang is valid for all of them, and they
 * work only if they are started with the same one.
 */
static void
set_checkpoint(jr_jobs_t *jobs, jr_job_task_t *task, const char *checkpoint)
{
    const Jr__JobStep *step = jr_task_step(task);
    jr_job_task_t *members =
        &task->job->tasks[jr_task_step_progress(task)->first];

    if (!step->gang) {
        jr_set_text(jobs->ctx, &task->checkpoint, checkpoint);
        return;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        jr_set_text(jobs->ctx, &members[i].checkpoint, checkpoint);
    }
}

/*
 * End a run: the task waits again, unless it is done or its job has ended. The
 * caller notifies, then calls end_job_if_done().
 */
static void
end_run(jr_jobs_t *jobs, jr_job_task_t *task, const char *checkpoint)
{
    jr_job_t *job = task->job;

    jr_task_move(task, phase_after_run(task));
    job->idle_since = jobs->now;
    task->waiting_since = jobs->now;
    if (*checkpoint != '\0' &&
        strlen(checkpoint) <= JR_JOB_CHECKPOINT_MAX_BYTES) {
        set_checkpoint(jobs, task, checkpoint);
    }
}

static uint32_t
max_failures(const jr_job_t *job)
{
    const Jr__JobQueue *config = job->queue->last_config;

    return config != NULL && config->max_failures > 0
               ? config->max_failures
               : JR_JOB_DEFAULT_MAX_FAILURES;
}

static bool
is_counted(const jr_step_progress_t *step, uint32_t attempt)
{
    const jr_failed_attempt_t *failed;

    SLIST_FOREACH(failed, &step->failed_attempts, link)
    {
        if (failed->attempt == attempt) {
            return true;
        }
    }
    return false;
}

/*
 * A gang attempt counts as one failure, however many members report it, and
 * in whatever order: the first report records the attempt in the step.
 */
static bool
count_failure(jr_jobs_t *jobs, jr_job_task_t *task, uint32_t attempt)
{
    jr_step_progress_t *step = jr_task_step_progress(task);

    if (!jr_task_step(task)->gang || jr_task_step(task)->service) {
        return true;
    }
    if (is_counted(step, attempt)) {
        return false;
    }
    jr_step_add_failed_attempt(jobs, step, attempt);
    return true;
}

static void
apply_failure(jr_jobs_t *jobs, jr_job_task_t *task, uint32_t attempt,
              const char *worker)
{
    jr_job_t *job = task->job;
    bool is_service = jr_task_step(task)->service;

    jr_set_text(jobs->ctx, &task->failed_on, worker);
    if (!count_failure(jobs, task, attempt)) {
        return;
    }
    task->failures++;
    if (jr_task_step(task)->gang) {
        jr_step_progress_t *step = jr_task_step_progress(task);

        for (uint32_t i = 0; i < jr_task_step(task)->count; i++) {
            job->tasks[step->first + i].failures = task->failures;
        }
    }
    /* Failures of a service do not end its job. */
    if (!is_service && jr_job_is_live(job) &&
        task->failures >= max_failures(job)) {
        end_job(jobs, job, JR_JOB_FAILED);
    }
}

static void
finish_task(jr_jobs_t *jobs, jr_job_task_t *task)
{
    jr_task_move(task,
                 jr_job_is_live(task->job) ? JR_PHASE_DONE : JR_PHASE_DROPPED);
    task->job->idle_since = jobs->now;
    notify_task(jobs, task);
}

/*
 * When one member of a gang is done, all members of the attempt are done, also
 * those that were released before: none is granted again alone.
 */
static void
finish_gang(jr_jobs_t *jobs, jr_job_task_t *task)
{
    jr_step_progress_t *step = jr_task_step_progress(task);
    jr_job_t *job = task->job;
    uint32_t count = jr_task_step(task)->count;

    for (uint32_t i = 0; i < count; i++) {
        jr_job_task_t *member = &job->tasks[step->first + i];

        if (member != task && member->attempt == task->attempt &&
            (member->phase == JR_PHASE_GRANTED ||
             member->phase == JR_PHASE_WAITING)) {
            finish_task(jobs, member);
        }
    }
    finish_task(jobs, task);
}

static void
apply_done(jr_jobs_t *jobs, jr_job_task_t *task)
{
    jr_job_t *job = task->job;

    if (jr_task_step(task)->service) {
        end_run(jobs, task, "");
        notify_task(jobs, task);
        return;
    }
    if (jr_task_step(task)->gang) {
        finish_gang(jobs, task);
    }
    else {
        finish_task(jobs, task);
    }
    end_job_if_done(jobs, job);
}

/*
 * An earlier run than the granted one is done. The granted run uses its worker
 * until it has ended, so the task stays granted until then.
 */
static void
finish_late(jr_jobs_t *jobs, jr_job_task_t *task)
{
    switch (task->phase) {
    case JR_PHASE_WAITING:
        finish_task(jobs, task);
        break;
    case JR_PHASE_GRANTED:
        task->is_done = true;
        notify_task(jobs, task);
        break;
    case JR_PHASE_DONE:
    case JR_PHASE_DROPPED:
        break;
    }
}

static void
apply_late_done(jr_jobs_t *jobs, jr_job_task_t *task)
{
    jr_job_t *job = task->job;

    if (jr_task_step(task)->gang) {
        jr_job_task_t *members =
            &job->tasks[jr_task_step_progress(task)->first];

        for (uint32_t i = 0; i < jr_task_step(task)->count; i++) {
            finish_late(jobs, &members[i]);
        }
    }
    else {
        finish_late(jobs, task);
    }
    end_job_if_done(jobs, job);
}

/* The end of the run that the task is granted to. */
static void
apply_current_end(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobEnd *end,
                  const char *worker)
{
    jr_job_t *job = task->job;

    if (end->how == JR__JOB_END__HOW__DONE) {
        apply_done(jobs, task);
        return;
    }
    end_run(jobs, task, end->checkpoint);
    /* Notify first: apply_failure() may free the task with its job. */
    notify_task(jobs, task);
    if (end->how == JR__JOB_END__HOW__FAILED && task->phase != JR_PHASE_DONE) {
        apply_failure(jobs, task, end->run->attempt, worker);
    }
    end_job_if_done(jobs, job);
}

/*
 * Does the end of a run that was released before count? What is done need not
 * be done again; a failure under a lease that had expired is no attempt.
 */
static bool
may_count_late(const Jr__JobEnds *ends, const Jr__JobEnd *end)
{
    return end->number != 0 &&
           (ends->lease_held || end->how == JR__JOB_END__HOW__DONE);
}

/*
 * The end of a run that was released before. The worker forgets it, so it has
 * to count now.
 */
static void
apply_late_end(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobEnd *end,
               const char *worker)
{
    bool is_open = task->phase == JR_PHASE_WAITING ||
                   (task->phase == JR_PHASE_GRANTED && !task->is_done);

    if (!is_open || !jr_job_is_live(task->job) ||
        jr_task_step(task)->service || end->run->attempt > task->attempt) {
        return;
    }
    if (end->how == JR__JOB_END__HOW__DONE) {
        apply_late_done(jobs, task);
    }
    else if (end->how == JR__JOB_END__HOW__FAILED) {
        apply_failure(jobs, task, end->run->attempt, worker);
    }
}

/*
 * Does the end tell that the task had begun? A gang begins when all of its
 * members are there: one that waited for the others has not.
 */
static bool
shows_beginning(const jr_job_task_t *task, const Jr__JobEnd *end)
{
    bool may_have_waited = jr_task_step(task)->gang &&
                           end->how != JR__JOB_END__HOW__DONE &&
                           end->how != JR__JOB_END__HOW__FAILED;

    return end->run->attempt <= task->attempt && !may_have_waited;
}

/*
 * An attempt is granted only once, so the end of the current one is accepted
 * from any incarnation of the worker: a delayed start order may have reached a
 * later incarnation than the one it was granted to.
 */
static void
apply_end(jr_jobs_t *jobs, const Jr__JobEnd *end, const char *worker,
          bool may_be_late)
{
    jr_job_task_t *task = jr_jobs_task(jobs, end->run);
    jr_job_t *job;

    if (task == NULL) {
        return;
    }
    job = task->job;
    if (shows_beginning(task, end)) {
        mark_begun(job);
    }
    if (task->phase == JR_PHASE_GRANTED &&
        task->attempt == end->run->attempt) {
        if (strcmp(task->worker->info->id, worker) == 0) {
            apply_current_end(jobs, task, end, worker);
        }
    }
    else if (may_be_late) {
        apply_late_end(jobs, task, end, worker);
    }
    jr_job_trim(jobs, job);
}

static jr_result_t
apply_ends(jr_jobs_t *jobs, const Jr__JobEnds *ends)
{
    jr_job_worker_t *worker = jr_jobs_worker(jobs, ends->worker);
    bool is_same = worker != NULL && worker->info->born == ends->born;
    uint64_t seen = is_same ? worker->info->ends_seen : 0;

    for (size_t i = 0; i < ends->n_ends; i++) {
        const Jr__JobEnd *end = ends->ends[i];
        bool is_numbered = end->number != 0;

        /* Two leaders may have proposed the same end. */
        if (end->run != NULL && !(is_numbered && end->number <= seen)) {
            apply_end(jobs, end, ends->worker,
                      is_same && may_count_late(ends, end));
        }
    }
    if (is_same) {
        if (ends->up_to > worker->info->ends_seen) {
            worker->info->ends_seen = ends->up_to;
        }
        notify_worker(jobs, worker);
    }
    return JR_OK;
}

/* The task has not run for so long: see JobRelease. */
static void
credit_wait(jr_job_task_t *task, int64_t waited_ms)
{
    int64_t since = task->waiting_since - waited_ms;

    if (waited_ms > 0) {
        task->waiting_since =
            since > task->job->accepted_ms ? since : task->job->accepted_ms;
    }
}

/*
 * A crash may be reported after a later run is done. May free the task with
 * its job: the caller notifies first.
 */
static void
apply_crash(jr_jobs_t *jobs, jr_job_task_t *task,
            const Jr__JobRelease *release)
{
    bool is_done = task->is_done || task->phase == JR_PHASE_DONE;

    if (release->crashed_after_ms > 0 && jr_job_is_live(task->job) &&
        !is_done &&
        jr_task_count_crash(task, release->run->attempt,
                            release->crashed_after_ms)) {
        end_job(jobs, task->job, JR_JOB_FAILED);
    }
}

static void
note_lapse(jr_jobs_t *jobs, jr_job_task_t *task, const Jr__JobRelease *release)
{
    jr_lapse_t lapse = {
        .worker = task->worker->info->id,
        .incarnation = task->incarnation,
        .attempt = task->attempt,
        .after_ms = release->lapsed_after_ms,
    };

    if (release->lapsed_after_ms > 0) {
        jr_task_set_lapse(jobs, task, &lapse);
    }
}

/* The worker was only cut off, or had announced its end. */
static void
forget_lapse(jr_jobs_t *jobs, jr_job_task_t *task, uint32_t attempt)
{
    if (task->lapse != NULL && task->lapse->attempt == attempt) {
        jr_task_set_lapse(jobs, task, NULL);
    }
}

/*
 * A run whose lease lapsed is released before it is known that its worker
 * crashed: such a crash is reported afterwards.
 */
static void
apply_release(jr_jobs_t *jobs, jr_job_task_t *task,
              const Jr__JobRelease *release)
{
    jr_job_t *job = task->job;

    if (release->not_crashed) {
        forget_lapse(jobs, task, release->run->attempt);
        return;
    }
    if (task->phase == JR_PHASE_GRANTED &&
        task->attempt == release->run->attempt) {
        note_lapse(jobs, task, release);
        if (release->began) {
            mark_begun(job);
        }
        end_run(jobs, task, release->checkpoint);
        credit_wait(task, release->waited_ms);
        notify_task(jobs, task);
    }
    apply_crash(jobs, task, release);
    end_job_if_done(jobs, job);
    jr_job_trim(jobs, job);
}

static jr_result_t
apply_releases(jr_jobs_t *jobs, const Jr__JobReleases *releases)
{
    for (size_t i = 0; i < releases->n_releases; i++) {
        const Jr__JobRelease *release = releases->releases[i];
        jr_job_task_t *task =
            release->run != NULL ? jr_jobs_task(jobs, release->run) : NULL;

        if (task != NULL) {
            apply_release(jobs, task, release);
        }
    }
    return JR_OK;
}

/*
 * When the worker is warm, by the clock of the log, so that each replica has
 * the same. A check-in without a remaining time says that it is warm by now.
 */
static int64_t
cold_until(const jr_jobs_t *jobs, const Jr__JobWorker *known,
           const Jr__JobWorker *info)
{
    if (info->cold_remaining_ms > 0) {
        return jobs->now > INT64_MAX - info->cold_remaining_ms
                   ? INT64_MAX
                   : jobs->now + info->cold_remaining_ms;
    }
    if (known == NULL || known->born != info->born) {
        return 0;
    }
    return known->cold_until_ms < jobs->now ? known->cold_until_ms : jobs->now;
}

/* When the incarnation replaced an earlier one. */
static int64_t
restarted_ms(const jr_jobs_t *jobs, const Jr__JobWorker *known,
             const Jr__JobWorker *info)
{
    if (known == NULL) {
        return 0;
    }
    return known->born == info->born ? known->restarted_ms : jobs->now;
}

/* Updates that a later one of the worker has overtaken are ignored. */
static jr_result_t
apply_worker(jr_jobs_t *jobs, Jr__JobCommand *command)
{
    Jr__JobWorker *info = command->worker;
    jr_job_worker_t *known = jr_jobs_worker(jobs, info->id);

    if (known != NULL && (known->info->born > info->born ||
                          jr_worker_is_outdated(known, info))) {
        return JR_OK;
    }
    if (known != NULL && known->info->born == info->born) {
        info->ends_seen = known->info->ends_seen;
        info->draining |= known->info->draining;
        info->leaving |= known->info->leaving;
    }
    info->cold_until_ms =
        cold_until(jobs, known != NULL ? known->info : NULL, info);
    info->restarted_ms =
        restarted_ms(jobs, known != NULL ? known->info : NULL, info);
    command->body_case = JR__JOB_COMMAND__BODY__NOT_SET;
    command->worker = NULL;
    notify_worker(jobs, jr_worker_insert(jobs, info));
    return JR_OK;
}

static jr_result_t
apply_worker_leaving(jr_jobs_t *jobs, const Jr__JobWorkerLeaving *leaving)
{
    jr_job_worker_t *worker = jr_jobs_worker(jobs, leaving->id);

    if (worker != NULL && worker->info->born == leaving->born) {
        worker->info->leaving = true;
        notify_worker(jobs, worker);
    }
    return JR_OK;
}

static jr_result_t
apply_settled(jr_jobs_t *jobs, const Jr__JobSettled *settled)
{
    for (size_t i = 0; i < settled->n_runs; i++) {
        jr_job_task_t *task = jr_jobs_task(jobs, settled->runs[i]);

        if (task != NULL && task->phase == JR_PHASE_GRANTED &&
            task->attempt == settled->runs[i]->attempt &&
            strcmp(task->worker->info->id, settled->worker) == 0) {
            task->settled_in = settled->born;
        }
    }
    return JR_OK;
}

static jr_result_t
apply_begun(jr_jobs_t *jobs, const Jr__JobBegun *begun)
{
    for (size_t i = 0; i < begun->n_jobs; i++) {
        jr_job_t *job = jr_jobs_find(jobs, begun->jobs[i]);

        if (job != NULL) {
            mark_begun(job);
        }
    }
    return JR_OK;
}

static jr_result_t
apply_worker_removal(jr_jobs_t *jobs, const Jr__JobWorkerGone *removal)
{
    jr_job_worker_t *worker = jr_jobs_worker(jobs, removal->id);

    if (worker != NULL && worker->info->born == removal->born &&
        TAILQ_EMPTY(&worker->granted)) {
        jr_worker_free(jobs, worker);
    }
    return JR_OK;
}

static jr_result_t
apply_lease_limit(jr_jobs_t *jobs, const Jr__JobLeaseLimit *limit)
{
    if (limit->limit_ms <= 0) {
        return JR_BAD_REQUEST;
    }
    jobs->lease_limit_ms = limit->limit_ms;
    return JR_OK;
}

static jr_result_t
apply_zone_request(jr_jobs_t *jobs, const Jr__JobZoneRequest *from)
{
    jr_zone_request_t request = {
        .name = from->zone, .drains = from->drains, .seen = from->seen};
    bool was_drained = jr_zones_is_drained(jobs->zones, from->zone);
    jr_result_t result = jr_zones_apply(jobs->zones, &request, jobs->now);

    if (jr_zones_is_drained(jobs->zones, from->zone) != was_drained &&
        jobs->hooks.zone != NULL) {
        jobs->hooks.zone(jobs->hooks.user, from->zone);
    }
    return result;
}

static jr_result_t
apply_command(jr_jobs_t *jobs, Jr__JobCommand *command)
{
    switch (command->body_case) {
    case JR__JOB_COMMAND__BODY_CONFIG:
        return apply_config(jobs, command);
    case JR__JOB_COMMAND__BODY_SUBMIT:
        return apply_submit(jobs, command->submit);
    case JR__JOB_COMMAND__BODY_CANCEL:
        return apply_cancel(jobs, command->cancel);
    case JR__JOB_COMMAND__BODY_GRANTS:
        return apply_grants(jobs, command->grants);
    case JR__JOB_COMMAND__BODY_ENDS:
        return apply_ends(jobs, command->ends);
    case JR__JOB_COMMAND__BODY_RELEASES:
        return apply_releases(jobs, command->releases);
    case JR__JOB_COMMAND__BODY_WORKER:
        return apply_worker(jobs, command);
    case JR__JOB_COMMAND__BODY_WORKER_GONE:
        return apply_worker_removal(jobs, command->worker_gone);
    case JR__JOB_COMMAND__BODY_WORKER_LEAVING:
        return apply_worker_leaving(jobs, command->worker_leaving);
    case JR__JOB_COMMAND__BODY_LEASE_LIMIT:
        return apply_lease_limit(jobs, command->lease_limit);
    case JR__JOB_COMMAND__BODY_ZONE:
        return apply_zone_request(jobs, command->zone);
    case JR__JOB_COMMAND__BODY_SETTLED:
        return apply_settled(jobs, command->settled);
    case JR__JOB_COMMAND__BODY_BEGUN:
        return apply_begun(jobs, command->begun);
    default:
        return JR_BAD_REQUEST;
    }
}

jr_result_t
jr_jobs_apply(jr_jobs_t *jobs, const uint8_t *bytes, size_t len)
{
    Jr__JobCommand *command = jr__job_command__unpack(NULL, len, bytes);
    jr_result_t result;

    if (command == NULL) {
        return JR_BAD_REQUEST;
    }
    if (command->at_ms > jobs->now) {
        jobs->now = command->at_ms;
    }
    result = apply_command(jobs, command);
    jr__job_command__free_unpacked(command, NULL);
    return result;
}
