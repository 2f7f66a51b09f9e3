/**
 * DOC: curve - the headroom that a job's tasks have without fillers
 *
 * It swings with the calls that the job gets. A Kalman filter with a level
 * and a trend follows it.
 */
#ifndef JR_INTERFERE_CURVE_H
#define JR_INTERFERE_CURVE_H

#include <uthash.h>

#include "jayrelay/ctx.h"

/**
 * struct jr_curve_t - the curve of one job
 * @level: headroom at @at_ms
 * @trend: change of the level a second
 * @variances: of level, of both, and of trend
 * @least: the lowest level of late
 */
typedef struct {
    uint64_t job;
    double level;
    double trend;
    double variances[3];
    double least;
    int64_t at_ms;
    int64_t began_ms;
    UT_hash_handle hh;
} jr_curve_t;

/** struct jr_curves_t - the curves of all jobs; zeroed to begin with */
typedef struct {
    jr_curve_t *by_job;
    int64_t pruned_ms;
} jr_curves_t;

/** jr_curves_find - NULL for a job that was never seen */
const jr_curve_t *jr_curves_find(const jr_curves_t *curves, uint64_t job);

/** jr_curves_get - found or made; those of jobs that are gone are dropped */
jr_curve_t *jr_curves_get(jr_ctx_t *ctx, jr_curves_t *curves, uint64_t job,
                          int64_t now_ms);

/** jr_curves_clear - drop all */
void jr_curves_clear(jr_ctx_t *ctx, jr_curves_t *curves);

/** jr_curve_update - a headroom was seen, with this variance */
void jr_curve_update(jr_curve_t *curve, double seen, double variance,
                     int64_t now_ms);

/** jr_curve_at - expected level; with caution for a curve that is NULL */
double jr_curve_at(const jr_curve_t *curve, int64_t at_ms);

/** jr_curve_least - the lowest level of a swing */
double jr_curve_least(const jr_curve_t *curve);

/** jr_curve_variance - of the level */
double jr_curve_variance(const jr_curve_t *curve);

#endif
