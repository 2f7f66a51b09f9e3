/* The quality of workers: evidence for it, and its use in placement. */
#include "dispatch.h"

#include <string.h>
#include <xxhash.h>

enum {
    PERMILLE = 1000,
    /* Costs as in choose.c; twice the run time costs more than packing. */
    URGENT_WEIGHT = 2,
    OTHER_WEIGHT = 1,
    /* Each failed run may be the last that its job is allowed. */
    FAILING_WEIGHT = 8,
    /* Best-effort tasks and long ones go first to workers set back; less than
     * what they would lose by a shortage of processors. */
    PULL_MAX = 300,
    COLD_PULL = 300,
    LONG_WORK_MS = 20000,
    SERVICE_WORK_MS = 60000, /* services have no run time */
    /* Share of the work, in percent, by which a speed is told. */
    PROGRESS_MIN = 30,
    COMPLETE_PERCENT = 100,
    /* Bounds of verdicts that are logged; a smaller one ends them. */
    SLOW_FROM = 1500,
    SLOW_UNTIL = 1300,
    FAILING_FROM = 100,
    FAILING_UNTIL = 50,
};

static jr_quality_run_t
name_run(const jr_run_t *run)
{
    const jr_job_task_t *task = run->task;
    const Jr__JobStep *step = jr_task_step(task);
    const char *kind =
        *step->image != '\0' ? step->image : task->job->queue->key;
    bool is_far = jr_worker_is_far(run->worker, step);
    uint64_t name[] = {task->job->id, task->occurrence, task->step, is_far};

    return (jr_quality_run_t){
        .step = XXH64(name, sizeof name, 0),
        .kind = XXH64(kind, strlen(kind), 0),
        .worker = run->worker->rank,
        .estimate_ms = is_far ? 0 : step->estimate_ms,
    };
}

/*
 * Its time depends on the worker, and not on other runs: those of a gang wait
 * for each other, and best-effort tasks use what others leave.
 */
static bool
has_comparable_time(const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    return !step->service && !step->filler && !step->gang;
}

/* Its worker was warm when it was seen to run first. */
static bool
began_warm(const jr_run_t *run)
{
    return run->speed_from_at >= run->worker->quality.cold_until;
}

/* The time of the whole work, by that of the part since it was seen first. */
static void
note_speed(jr_dispatch_t *d, const jr_run_t *run, uint32_t percent)
{
    int64_t done = (int64_t)percent - run->speed_from_percent;
    jr_quality_run_t name = name_run(run);

    jr_quality_note_time(
        d->quality, &run->worker->quality, &name,
        (d->now - run->speed_from_at) * COMPLETE_PERCENT / done, d->now);
}

/* Is its speed to be told, once so much of its work is done? */
static bool
tells_speed(const jr_run_t *run, uint32_t percent)
{
    return run->speed_from_at != 0 && !run->is_speed_noted &&
           percent <= COMPLETE_PERCENT &&
           percent >= (int64_t)run->speed_from_percent + PROGRESS_MIN &&
           has_comparable_time(run) && began_warm(run);
}

void
jr_worker_quality_on_started(const jr_dispatch_t *d, jr_run_t *run)
{
    if (run->task->checkpoint == NULL) {
        run->speed_from_at = d->now;
    }
}

void
jr_worker_quality_on_progress(jr_dispatch_t *d, jr_run_t *run,
                              uint32_t percent)
{
    if (run->speed_from_at == 0 || percent < run->speed_from_percent) {
        run->speed_from_at = d->now;
        run->speed_from_percent = percent;
    }
    else if (tells_speed(run, percent) && percent < COMPLETE_PERCENT) {
        run->is_speed_noted = true;
        note_speed(d, run, percent);
    }
}

/*
 * If an earlier run of the task failed on another worker, takes back most of
 * the blame there. Returns whether one did.
 */
static bool
forgive_earlier(jr_dispatch_t *d, const jr_run_t *run)
{
    const char *failed_on = run->task->failed_on;
    const jr_job_worker_t *earlier;

    if (failed_on == NULL ||
        strcmp(failed_on, run->worker->worker->info->id) == 0) {
        return false;
    }
    earlier = jr_jobs_worker(d->jobs, failed_on);
    if (earlier != NULL && earlier->local != NULL) {
        jr_quality_forgive(d->quality, &earlier->local->quality,
                           run->task->blame, d->now);
    }
    return true;
}

void
jr_worker_quality_on_end(jr_dispatch_t *d, const jr_run_t *run,
                         Jr__JobEnd__How how)
{
    jr_tracked_worker_t *w = run->worker;
    jr_quality_run_t name = name_run(run);

    if (how == JR__JOB_END__HOW__DONE) {
        if (tells_speed(run, COMPLETE_PERCENT)) {
            note_speed(d, run, COMPLETE_PERCENT);
        }
        jr_quality_note_done(d->quality, &w->quality, &name, d->now);
    }
    else if (how == JR__JOB_END__HOW__FAILED) {
        bool has_failed_elsewhere = forgive_earlier(d, run);

        run->task->blame = jr_quality_note_failed(
            d->quality, &w->quality, &name, has_failed_elsewhere, d->now);
    }
}

void
jr_worker_quality_on_refused(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_quality_note_refused(d->quality, &w->quality, d->now);
}

void
jr_worker_quality_on_crash(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    jr_quality_note_lost(d->quality, &w->quality, d->now);
}

/* What the log says; the leader counts the time down by its own clock. */
void
jr_worker_quality_on_worker(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    const Jr__JobWorker *info = w->worker->info;
    int64_t remaining_ms = info->cold_until_ms - d->jobs->now;

    if (info->born == w->incarnation &&
        info->cold_until_ms != w->logged_cold_until) {
        w->logged_cold_until = info->cold_until_ms;
        jr_quality_note_cold(
            &w->quality, MIN(remaining_ms, info->cold_remaining_ms), d->now);
    }
    w->verdict = jr_quality_judge(d->quality, &w->quality, d->now);
}

void
jr_worker_quality_on_check_in(const jr_dispatch_t *d, jr_tracked_worker_t *w,
                              const Jr__JobWorker *info)
{
    if (info->born == w->incarnation &&
        d->now + info->cold_remaining_ms < w->quality.cold_until) {
        jr_quality_note_cold(&w->quality, info->cold_remaining_ms, d->now);
    }
}

void
jr_worker_quality_on_restart(jr_tracked_worker_t *w)
{
    w->logged_cold_until = 0;
    jr_quality_note_cold(&w->quality, 0, 0);
}

/* A state with two bounds, so that it does not change with each run. */
static bool
is_beyond(bool was_beyond, int64_t value, int64_t from, int64_t until)
{
    return value >= (was_beyond ? until : from);
}

static void
log_verdict(jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    jr_log(d->ctx, JR_EV_WORKER_QUALITY,
           "worker=%s slow=%d failing=%d cold=%d speed_permille=%lld "
           "failing_permille=%lld cold_ms=%lld ends=%.1f failures=%.1f",
           w->worker->info->id, w->is_slow, w->is_failing, w->is_cold,
           (long long)w->verdict.speed_permille,
           (long long)w->verdict.failing_permille,
           (long long)w->verdict.cold_ms, w->quality.ends,
           w->quality.failures);
}

static void
note_verdict(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    bool is_slow = is_beyond(w->is_slow, w->verdict.speed_permille, SLOW_FROM,
                             SLOW_UNTIL);
    bool is_failing = is_beyond(w->is_failing, w->verdict.failing_permille,
                                FAILING_FROM, FAILING_UNTIL);
    bool is_cold = w->verdict.cold_ms > 0;

    if (is_slow == w->is_slow && is_failing == w->is_failing &&
        is_cold == w->is_cold) {
        return;
    }
    jr_count_n(d->ctx, JR_C_WORKERS_SLOW, is_slow && !w->is_slow);
    jr_count_n(d->ctx, JR_C_WORKERS_FAILING, is_failing && !w->is_failing);
    jr_count_n(d->ctx, JR_C_WORKERS_COLD, is_cold && !w->is_cold);
    w->is_slow = is_slow;
    w->is_failing = is_failing;
    w->is_cold = is_cold;
    log_verdict(d, w);
}

/*
 * How strongly a worker attracts tasks that lose little on it. One of which
 * half is used attracts no more than a sound one, so that a whole zone that
 * comes back cold is not filled before the others.
 */
static int64_t
pull_of(const jr_tracked_worker_t *w, bool is_by_speed)
{
    const Jr__JobWorker *info = w->worker->info;
    int64_t half_milli = info->cpu_milli / 2;
    int64_t used_milli = w->used.cpu_milli + w->best_effort_milli;
    int64_t pull =
        is_by_speed ? w->verdict.speed_permille - JR_QUALITY_SOUND : 0;

    if (w->verdict.failing_permille > 0 || used_milli >= half_milli) {
        return 0;
    }
    if (w->verdict.cold_ms > 0) {
        pull += COLD_PULL;
    }
    return MIN(pull, PULL_MAX) * (half_milli - used_milli) / half_milli;
}

void
jr_worker_quality_update(jr_dispatch_t *d)
{
    jr_tracked_worker_t *w;

    d->has_set_back = false;
    TAILQ_FOREACH (w, &d->workers, link) {
        w->verdict = jr_quality_judge(d->quality, &w->quality, d->now);
        note_verdict(d, w);
        d->has_set_back |= w->is_usable && pull_of(w, true) > 0;
    }
}

/*
 * Time that the task loses because the worker is cold or slow, in thousandths
 * of its run time.
 */
static int64_t
loss_of(const jr_tracked_worker_t *w, const Jr__JobStep *step)
{
    jr_quality_verdict_t verdict = w->verdict;
    int64_t work_ms = step->service ? SERVICE_WORK_MS : step->estimate_ms;

    verdict.failing_permille = 0;
    return jr_quality_expected_permille(&verdict, work_ms) - JR_QUALITY_SOUND;
}

/* Does it matter how fast the task runs? */
static bool
is_speed_wanted(const Jr__JobStep *step)
{
    return !step->filler && (!step->service || step->tail_target_ms > 0);
}

/* Is the task not urgent, and long against the time that workers are cold? */
static bool
is_long(const jr_job_task_t *task)
{
    const Jr__JobStep *step = jr_task_step(task);

    return step->service ||
           (task->job->queue->last_config->priority != JR_URGENT_PRIORITY &&
            step->estimate_ms >= LONG_WORK_MS);
}

static int64_t
failing_cost(const jr_tracked_worker_t *w)
{
    int64_t failing = w->verdict.failing_permille;

    return failing * PERMILLE / (PERMILLE - failing) * FAILING_WEIGHT;
}

int64_t
jr_worker_quality_cost(const jr_dispatch_t *d, const jr_tracked_worker_t *w,
                       const jr_job_task_t *task)
{
    const Jr__JobStep *step = jr_task_step(task);
    bool is_urgent =
        task->job->queue->last_config->priority == JR_URGENT_PRIORITY;
    bool is_wanted = is_speed_wanted(step);
    int64_t sum = failing_cost(w);

    if (d->has_set_back && (!is_wanted || is_long(task))) {
        sum += PULL_MAX - pull_of(w, !is_wanted);
    }
    if (is_wanted) {
        sum += loss_of(w, step) * (is_urgent ? URGENT_WEIGHT : OTHER_WEIGHT);
    }
    return sum;
}

int64_t
jr_worker_quality_patience_ms(const jr_tracked_worker_t *w, int64_t sound_ms)
{
    int64_t permille = w->verdict.cold_ms > 0 ? JR_QUALITY_EXPECTED_MAX
                                              : w->verdict.speed_permille;

    return sound_ms * permille / PERMILLE;
}
