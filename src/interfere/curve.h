/**
 * DOC: curve - base headroom of a job over time
 *
 * The base headroom is the latency target over the tail latency, without the
 * effect of best-effort tasks. It varies with the calls to the job. A Kalman
 * filter with a level and a trend tracks it.
 */
#ifndef JR_INTERFERE_CURVE_H
#define JR_INTERFERE_CURVE_H

#include <uthash.h>

#include "jayrelay/ctx.h"

/**
 * struct jr_curve_t - filter state of one job
 * @level: base headroom at @at_ms
 * @trend: change of the level per second
 * @variances: variance of the level, covariance, variance of the trend
 * @min_level: lowest recent level; rises slowly over time
 * @at_ms: time of the last update
 * @first_ms: time of the first sample
 */
typedef struct {
    uint64_t job;
    double level;
    double trend;
    double variances[3];
    double min_level;
    int64_t at_ms;
    int64_t first_ms;
    UT_hash_handle hh;
} jr_curve_t;

/** struct jr_curves_t - curves of all jobs; zero-initialised */
typedef struct {
    jr_curve_t *by_job;
    int64_t pruned_ms;
} jr_curves_t;

/** jr_curves_find - curve of a job, or NULL if unknown */
const jr_curve_t *jr_curves_find(const jr_curves_t *curves, uint64_t job);

/**
 * jr_curves_get - find the curve of a job, or create it
 *
 * Also drops curves that have had no samples for a while.
 */
jr_curve_t *jr_curves_get(jr_ctx_t *ctx, jr_curves_t *curves, uint64_t job,
                          int64_t now_ms);

/** jr_curves_clear - drop all curves */
void jr_curves_clear(jr_ctx_t *ctx, jr_curves_t *curves);

/** jr_curve_update - add a measured headroom with its variance */
void jr_curve_update(jr_curve_t *curve, double headroom, double variance,
                     int64_t now_ms);

/** jr_curve_predict - expected level; conservative if @curve is NULL */
double jr_curve_predict(const jr_curve_t *curve, int64_t at_ms);

/** jr_curve_min - lowest level of a load cycle */
double jr_curve_min(const jr_curve_t *curve);

/** jr_curve_variance - variance of the level */
double jr_curve_variance(const jr_curve_t *curve);

#endif
