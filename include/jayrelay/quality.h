/**
 * DOC: quality - how fast and how reliable a worker is
 *
 * Load: some workers are slow (tasks take 2 to 5 times as long), grey (a share
 * of starts or runs fails while they look healthy), or cold after a start.
 * Keeps a small record for each worker and judges it: how much longer a task
 * takes there than on a sound worker, and how much more often it fails there.
 *
 * Estimates of run times are far off, but tasks of one step have about the
 * same work. So a run is compared with runs of its step on other workers, and
 * only weakly with its estimate. What fails elsewhere too, the same task, step
 * or kind of task, counts little against the worker. Evidence loses half of
 * its weight within a fixed time, so a worker that gets no tasks is tried
 * again.
 *
 * Pure steps of record, evidence and time; memory is bounded whatever names
 * arrive. Times are milliseconds of a monotonic clock.
 */
#ifndef JAYRELAY_QUALITY_H
#define JAYRELAY_QUALITY_H

#include "jayrelay/ctx.h"

enum {
    JR_QUALITY_SOUND = 1000,            /* thousandths of a sound run time */
    JR_QUALITY_EXPECTED_MAX = 6000,     /* the same; longer is not expected */
    JR_QUALITY_COLD_PERMILLE = 3000,    /* run time while a worker is cold */
    JR_QUALITY_COLD_MAX_MS = 10 * 60000 /* no worker is cold for longer */
};

/**
 * struct jr_quality_record_t - evidence about a worker; zeroed at first
 * @at: when the sums below were last brought up to date, ms; 0: never
 * @speed_sum: sum of weighted logarithms of measured by usual run times
 * @speed_weight: sum of their weights
 * @ends: runs that ended, and starts that were refused
 * @failures: of @ends, weighed by how far the worker is to blame
 * @failed_step: step of the latest failure; 0: none
 * @cold_until: when the worker is warm, ms; 0: it was not cold
 */
typedef struct {
    int64_t at;
    double speed_sum;
    double speed_weight;
    double ends;
    double failures;
    uint64_t failed_step;
    int64_t cold_until;
} jr_quality_record_t;

/**
 * struct jr_quality_run_t - what ran where
 * @step: identifies the step of the task; tasks of it have about equal work
 * @kind: identifies the kind of task, over jobs
 * @worker: identifies the worker
 * @estimate_ms: estimated run time; 0: none
 */
typedef struct {
    uint64_t step;
    uint64_t kind;
    uint64_t worker;
    int64_t estimate_ms;
} jr_quality_run_t;

/**
 * struct jr_quality_verdict_t - how fast and reliable a worker is now
 * @speed_permille: expected run time of a warm worker, in thousandths of that
 *                  on a sound one; JR_QUALITY_SOUND to JR_QUALITY_EXPECTED_MAX
 * @failing_permille: share of runs that fail there beyond what fails
 *                    everywhere; 0: no more than elsewhere
 * @cold_ms: how much longer it is cold; 0: it is warm
 */
typedef struct {
    int64_t speed_permille;
    int64_t failing_permille;
    int64_t cold_ms;
} jr_quality_verdict_t;

typedef struct jr_quality jr_quality_t;

/** jr_new_quality - what the runs of all workers are compared with */
jr_quality_t *jr_new_quality(jr_ctx_t *ctx);

/** jr_drop_quality - free; NULL is accepted */
void jr_drop_quality(jr_ctx_t *ctx, jr_quality_t *quality);

/**
 * jr_quality_note_time - a run took @time_ms
 * @time_ms: whole run time, or that which its progress suggests; a time that
 *           is not positive, or over a day, is ignored
 *
 * Not for runs that were cold, slowed on purpose, or had less work than others
 * of their step.
 */
void jr_quality_note_time(jr_quality_t *quality, jr_quality_record_t *record,
                          const jr_quality_run_t *run, int64_t time_ms,
                          int64_t now);

/** jr_quality_note_done - a run ended as done */
void jr_quality_note_done(jr_quality_t *quality, jr_quality_record_t *record,
                          const jr_quality_run_t *run, int64_t now);

/**
 * jr_quality_note_failed - a run ended as failed
 * @has_failed_elsewhere: an earlier run of the task failed on another worker
 *
 * Return: the part of a failure that the worker is charged with.
 */
double jr_quality_note_failed(jr_quality_t *quality,
                              jr_quality_record_t *record,
                              const jr_quality_run_t *run,
                              bool has_failed_elsewhere, int64_t now);

/**
 * jr_quality_forgive - a task that failed here has failed elsewhere too
 * @charge: what the worker was charged with for the task's latest failure here
 */
void jr_quality_forgive(jr_quality_t *quality, jr_quality_record_t *record,
                        double charge, int64_t now);

/** jr_quality_note_refused - the worker refused a start, as unhealthy */
void jr_quality_note_refused(jr_quality_t *quality,
                             jr_quality_record_t *record, int64_t now);

/** jr_quality_note_lost - the worker ended without notice */
void jr_quality_note_lost(jr_quality_t *quality, jr_quality_record_t *record,
                          int64_t now);

/**
 * jr_quality_note_cold - the worker remains cold for @remaining_ms
 * @remaining_ms: at most JR_QUALITY_COLD_MAX_MS is taken; 0: it is warm
 */
void jr_quality_note_cold(jr_quality_record_t *record, int64_t remaining_ms,
                          int64_t now);

/** jr_quality_judge - judge a worker at @now */
jr_quality_verdict_t jr_quality_judge(const jr_quality_t *quality,
                                      const jr_quality_record_t *record,
                                      int64_t now);

/**
 * jr_quality_expected_permille - expected time of a task on the worker
 * @work_ms: run time of the task on a sound worker
 *
 * Failures count as the time of the runs that are lost. The task is cold only
 * until the worker is warm.
 *
 * Return: in thousandths of the time on a sound worker; JR_QUALITY_SOUND to
 * JR_QUALITY_EXPECTED_MAX.
 */
int64_t jr_quality_expected_permille(const jr_quality_verdict_t *verdict,
                                     int64_t work_ms);

#endif
