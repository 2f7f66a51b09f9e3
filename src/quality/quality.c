/* Evidence about workers, and the verdict on them. */
#include "jayrelay/quality.h"

#include <math.h>

#include "quality/history.h"

enum {
    STEPS = 1024, /* latest steps that are remembered */
    KINDS = 64,
    SIBLINGS_FULL = 3, /* runs to compare with that prove a speed */
    TIME_MAX_MS = 24 * 3600 * 1000,
    PERMILLE = 1000,
};

/*
 * Failures are forgotten sooner: a worker that gets no tasks can't prove that
 * it is well.
 */
static const double SPEED_HALF_LIFE_MS = 45000.0;
static const double FAILURE_HALF_LIFE_MS = 30000.0;
/* Added to both run times before they are compared, for fixed delays. */
static const double SLACK_MS = 200.0;
/* Evidence that each worker is sound, in runs that were compared. */
static const double PRIOR_SPEED = 1.5;
/* A run that was compared with its estimate only. */
static const double ESTIMATE_WEIGHT = 0.05;
/* Bounds of the logarithm of one run's time against that of others. */
static const double SLOWEST_LOG = 1.8;
static const double FASTEST_LOG = -0.4;
/* Below this ratio a worker counts as sound: times of one step vary. */
static const double SOUND_PERMILLE = 1250.0;
/* Failures that are ignored in each record. */
static const double FREE_FAILURES = 1.0;
static const double PRIOR_ENDS = 2.0;
/* Smaller shares of failures count as 0. */
static const double SOUND_FAILING = 0.05;
/* Factor of the blame if the task failed on another worker before. */
static const double ELSEWHERE_BLAME = 0.25;
/* Factor of the blame if another task of the step failed here before. */
static const double REPEAT_BLAME = 0.2;
static const double REFUSED_BLAME = 0.5;

/*
 * @all: all workers as one record; its speed is the mean of the logarithms of
 *       run times by estimates
 */
struct jr_quality {
    jr_quality_record_t all;
    jr_quality_history_t steps[STEPS];
    jr_quality_history_t kinds[KINDS];
};

jr_quality_t *
jr_new_quality(jr_ctx_t *ctx)
{
    return jr_alloc(ctx, sizeof(jr_quality_t));
}

void
jr_drop_quality(jr_ctx_t *ctx, jr_quality_t *quality)
{
    jr_free(ctx, quality);
}

/* The record at @now, which is never before its time. */
static jr_quality_record_t
aged(const jr_quality_record_t *record, int64_t now)
{
    jr_quality_record_t to = *record;
    double age = fmax(0.0, (double)now - (double)record->at);
    double speed = exp2(-age / SPEED_HALF_LIFE_MS);
    double failure = exp2(-age / FAILURE_HALF_LIFE_MS);

    to.at = now > record->at ? now : record->at;
    to.speed_sum *= speed;
    to.speed_weight *= speed;
    to.ends *= failure;
    to.failures *= failure;
    return to;
}

static void
add_speed(jr_quality_record_t *record, double value, double weight)
{
    record->speed_sum += weight * fmin(fmax(value, FASTEST_LOG), SLOWEST_LOG);
    record->speed_weight += weight;
}

static void
add_end(jr_quality_t *quality, jr_quality_record_t *record, double blame,
        int64_t now)
{
    *record = aged(record, now);
    record->ends += 1.0;
    record->failures += blame;
    quality->all = aged(&quality->all, now);
    quality->all.ends += 1.0;
    quality->all.failures += blame;
}

/* The mean moves by what this run differs from it, within bounds. */
static double
compare_with_estimate(jr_quality_t *quality, int64_t estimate_ms,
                      double log_time, int64_t now)
{
    double ratio = log_time - log((double)estimate_ms + SLACK_MS);
    double mean;

    quality->all = aged(&quality->all, now);
    mean = quality->all.speed_weight > 0.0
               ? quality->all.speed_sum / quality->all.speed_weight
               : ratio;
    quality->all.speed_sum += ratio;
    quality->all.speed_weight += 1.0;
    return ratio - mean;
}

void
jr_quality_note_time(jr_quality_t *quality, jr_quality_record_t *record,
                     const jr_quality_run_t *run, int64_t time_ms, int64_t now)
{
    jr_quality_history_t *step =
        jr_quality_history(quality->steps, STEPS, run->step);
    jr_quality_end_t end = {.worker = run->worker};
    double median;
    double estimated = 0.0;
    size_t n;

    if (time_ms <= 0 || time_ms > TIME_MAX_MS) {
        return;
    }
    end.log_time = log((double)time_ms + SLACK_MS);
    median = jr_quality_history_median(step, run->worker, &n);
    jr_quality_history_add(step, &end);
    *record = aged(record, now);
    if (run->estimate_ms > 0) {
        estimated = compare_with_estimate(quality, run->estimate_ms,
                                          end.log_time, now);
    }
    if (n > 0) {
        add_speed(record, end.log_time - median,
                  fmin((double)n / SIBLINGS_FULL, 1.0));
    }
    else if (run->estimate_ms > 0) {
        add_speed(record, estimated, ESTIMATE_WEIGHT);
    }
}

static void
add_outcome(jr_quality_t *quality, const jr_quality_run_t *run,
            bool has_failed)
{
    jr_quality_end_t end = {.worker = run->worker, .has_failed = has_failed};

    if (has_failed) {
        jr_quality_history_add(
            jr_quality_history(quality->steps, STEPS, run->step), &end);
    }
    jr_quality_history_add(
        jr_quality_history(quality->kinds, KINDS, run->kind), &end);
}

void
jr_quality_note_done(jr_quality_t *quality, jr_quality_record_t *record,
                     const jr_quality_run_t *run, int64_t now)
{
    if (record->failed_step == run->step) {
        record->failed_step = 0; /* tasks of the step do not all fail */
    }
    add_outcome(quality, run, false);
    add_end(quality, record, 0.0, now);
}

double
jr_quality_note_failed(jr_quality_t *quality, jr_quality_record_t *record,
                       const jr_quality_run_t *run, bool has_failed_elsewhere,
                       int64_t now)
{
    double step = jr_quality_history_failing(
        jr_quality_history(quality->steps, STEPS, run->step), run->worker);
    double kind = jr_quality_history_failing(
        jr_quality_history(quality->kinds, KINDS, run->kind), run->worker);
    double blame = (1.0 - step) * (1.0 - kind);

    if (has_failed_elsewhere) {
        blame *= ELSEWHERE_BLAME;
    }
    if (record->failed_step == run->step) {
        blame *= REPEAT_BLAME;
    }
    record->failed_step = run->step;
    add_outcome(quality, run, true);
    add_end(quality, record, blame, now);
    return blame;
}

static void
take_back(jr_quality_record_t *record, double charge, int64_t now)
{
    *record = aged(record, now);
    record->failures = fmax(0.0, record->failures - charge);
}

void
jr_quality_forgive(jr_quality_t *quality, jr_quality_record_t *record,
                   double charge, int64_t now)
{
    double excess = charge * (1.0 - ELSEWHERE_BLAME);

    take_back(record, excess, now);
    take_back(&quality->all, excess, now);
}

void
jr_quality_note_refused(jr_quality_t *quality, jr_quality_record_t *record,
                        int64_t now)
{
    add_end(quality, record, REFUSED_BLAME, now);
}

void
jr_quality_note_lost(jr_quality_t *quality, jr_quality_record_t *record,
                     int64_t now)
{
    add_end(quality, record, 1.0, now);
}

void
jr_quality_note_cold(jr_quality_record_t *record, int64_t remaining_ms,
                     int64_t now)
{
    int64_t bounded = remaining_ms < JR_QUALITY_COLD_MAX_MS
                          ? remaining_ms
                          : JR_QUALITY_COLD_MAX_MS;

    record->cold_until = bounded > 0 ? now + bounded : 0;
}

static double
failing_share(const jr_quality_record_t *record)
{
    double failures = fmax(0.0, record->failures - FREE_FAILURES);

    return failures / (record->ends + PRIOR_ENDS);
}

static int64_t
speed_of(const jr_quality_record_t *record)
{
    double mean = record->speed_sum / (record->speed_weight + PRIOR_SPEED);
    double permille = PERMILLE * exp(mean);

    if (permille < SOUND_PERMILLE) {
        return JR_QUALITY_SOUND;
    }
    return (int64_t)fmin(permille, JR_QUALITY_EXPECTED_MAX);
}

jr_quality_verdict_t
jr_quality_judge(const jr_quality_t *quality,
                 const jr_quality_record_t *record, int64_t now)
{
    jr_quality_record_t own = aged(record, now);
    jr_quality_record_t all = aged(&quality->all, now);
    double failing = failing_share(&own) - failing_share(&all);
    int64_t cold_ms = record->cold_until - now;

    if (failing < SOUND_FAILING) {
        failing = 0.0;
    }
    if (cold_ms < 0 || record->cold_until == 0) {
        cold_ms = 0;
    }
    return (jr_quality_verdict_t){
        .speed_permille = speed_of(&own),
        .failing_permille = (int64_t)(PERMILLE * failing),
        .cold_ms = cold_ms < JR_QUALITY_COLD_MAX_MS ? cold_ms
                                                    : JR_QUALITY_COLD_MAX_MS,
    };
}

/* Time that the work takes, from a cold start on. */
static int64_t
cold_time(int64_t work_ms, int64_t cold_ms)
{
    int64_t all_cold = work_ms * JR_QUALITY_COLD_PERMILLE / PERMILLE;

    if (all_cold <= cold_ms) {
        return all_cold;
    }
    return work_ms + cold_ms - cold_ms * PERMILLE / JR_QUALITY_COLD_PERMILLE;
}

int64_t
jr_quality_expected_permille(const jr_quality_verdict_t *verdict,
                             int64_t work_ms)
{
    int64_t work = work_ms < 1             ? 1
                   : work_ms > TIME_MAX_MS ? TIME_MAX_MS
                                           : work_ms;
    int64_t permille =
        cold_time(work, verdict->cold_ms) * verdict->speed_permille / work;

    permille = permille * PERMILLE / (PERMILLE - verdict->failing_permille);
    return permille < JR_QUALITY_EXPECTED_MAX ? permille
                                              : JR_QUALITY_EXPECTED_MAX;
}
