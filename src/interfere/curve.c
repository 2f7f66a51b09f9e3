/* Base headroom of jobs, without best-effort tasks. */
#include "curve.h"

#include <glib.h>
#include <math.h>

enum {
    MS_PER_S = 1000,
    TREND_HORIZON_MS = 1000, /* longest extrapolation of a trend */
    STALE_MS = 4000,         /* a longer gap resets the trend */
    LOAD_CYCLE_MS =
        15000, /* a job's load reaches its peaks within this time */
    PRUNE_EVERY_MS = 10000,
    JOB_EXPIRY_MS = 60000, /* without samples, the job's curve is dropped */
};

/* Levels are headroom: target divided by tail latency. */
static const double INITIAL_LEVEL = 2.0;
static const double INITIAL_VARIANCE = 0.5;   /* squared headroom */
static const double CONSERVATIVE_LEVEL = 1.6; /* of an unknown job */
static const double TREND_VARIANCE = 0.1;     /* (headroom per second)^2 */
/* Process noise of the trend: squared headroom per cubed second. */
static const double TREND_DIFFUSION = 0.3;
/* Larger errors are cut to this many standard deviations. */
static const double OUTLIER_DEVIATIONS = 2.0;
/* The lowest level seen rises at this rate, so that old minima fade. */
static const double MIN_LEVEL_RISE_PER_S = 0.02;

const jr_curve_t *
jr_curves_find(const jr_curves_t *curves, uint64_t job)
{
    jr_curve_t *curve;

    HASH_FIND(hh, curves->by_job, &job, sizeof job, curve);
    return curve;
}

static void
prune(jr_ctx_t *ctx, jr_curves_t *curves, int64_t now_ms)
{
    jr_curve_t *curve, *next;

    curves->pruned_ms = now_ms;
    HASH_ITER (hh, curves->by_job, curve, next) {
        if (now_ms - curve->at_ms > JOB_EXPIRY_MS) {
            HASH_DEL(curves->by_job, curve);
            jr_free(ctx, curve);
        }
    }
}

jr_curve_t *
jr_curves_get(jr_ctx_t *ctx, jr_curves_t *curves, uint64_t job, int64_t now_ms)
{
    jr_curve_t *curve;

    if (now_ms - curves->pruned_ms > PRUNE_EVERY_MS) {
        prune(ctx, curves, now_ms);
    }
    HASH_FIND(hh, curves->by_job, &job, sizeof job, curve);
    if (curve == NULL) {
        curve = jr_alloc(ctx, sizeof *curve);
        *curve = (jr_curve_t){
            .job = job,
            .level = INITIAL_LEVEL,
            .variances = {INITIAL_VARIANCE, 0.0, TREND_VARIANCE},
            .min_level = INITIAL_LEVEL,
            .at_ms = now_ms,
            .first_ms = now_ms,
        };
        HASH_ADD(hh, curves->by_job, job, sizeof curve->job, curve);
    }
    return curve;
}

void
jr_curves_clear(jr_ctx_t *ctx, jr_curves_t *curves)
{
    jr_curve_t *curve, *next;

    HASH_ITER (hh, curves->by_job, curve, next) {
        HASH_DEL(curves->by_job, curve);
        jr_free(ctx, curve);
    }
}

/* Prediction step: the level follows the trend and the variances grow. */
static void
advance(jr_curve_t *curve, int64_t now_ms)
{
    double s = (double)MAX(now_ms - curve->at_ms, 0) / MS_PER_S;
    double *v = curve->variances;

    curve->at_ms = MAX(curve->at_ms, now_ms);
    if (s * MS_PER_S > STALE_MS) {
        curve->trend = 0.0;
        v[0] = INITIAL_VARIANCE;
        v[1] = 0.0;
        v[2] = TREND_VARIANCE;
        return;
    }
    curve->level += s * curve->trend;
    v[0] += 2 * s * v[1] + s * s * v[2] + TREND_DIFFUSION * s * s * s / 3.0;
    v[1] += s * v[2] + TREND_DIFFUSION * s * s / 2.0;
    v[2] += TREND_DIFFUSION * s;
    curve->min_level += MIN_LEVEL_RISE_PER_S * s;
}

void
jr_curve_update(jr_curve_t *curve, double headroom, double variance,
                int64_t now_ms)
{
    double *v = curve->variances;
    double level_gain, trend_gain, error, bound;

    advance(curve, now_ms);
    level_gain = v[0] / (v[0] + variance);
    trend_gain = v[1] / (v[0] + variance);
    bound = OUTLIER_DEVIATIONS * sqrt(v[0] + variance);
    error = CLAMP(headroom - curve->level, -bound, bound);
    curve->level += level_gain * error;
    curve->trend += trend_gain * error;
    v[2] -= trend_gain * v[1];
    v[1] -= level_gain * v[1];
    v[0] -= level_gain * v[0];
    curve->min_level = MIN(curve->min_level, curve->level);
}

double
jr_curve_predict(const jr_curve_t *curve, int64_t at_ms)
{
    int64_t ahead_ms;

    if (curve == NULL) {
        return CONSERVATIVE_LEVEL;
    }
    ahead_ms = at_ms - curve->at_ms;
    if (ahead_ms > STALE_MS) {
        return MIN(curve->level, curve->min_level);
    }
    return curve->level + curve->trend *
                              (double)CLAMP(ahead_ms, 0, TREND_HORIZON_MS) /
                              MS_PER_S;
}

double
jr_curve_min(const jr_curve_t *curve)
{
    if (curve == NULL) {
        return CONSERVATIVE_LEVEL;
    }
    return curve->at_ms - curve->first_ms < LOAD_CYCLE_MS
               ? MIN(curve->min_level, CONSERVATIVE_LEVEL)
               : curve->min_level;
}

double
jr_curve_variance(const jr_curve_t *curve)
{
    return curve->variances[0];
}
