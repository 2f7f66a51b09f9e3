/* The headroom that a job's tasks have without fillers. */
#include "curve.h"

#include <glib.h>
#include <math.h>

enum {
    MS_PER_S = 1000,
    TREND_MS = 1000,  /* a trend is not followed further ahead */
    STALE_MS = 4000,  /* after such a gap the trend is forgotten */
    SWING_MS = 15000, /* a job's load has been through its highs by then */
    PRUNE_EVERY_MS = 10000,
    GONE_MS = 60000, /* no task of the job was listed for so long */
};

static const double FIRST_LEVEL = 2.0;
static const double FIRST_VARIANCE = 0.5;
static const double CAUTIOUS_LEVEL = 1.6; /* of a job that is not known */
static const double TREND_VARIANCE = 0.1;
/* How fast trends change: headroom squared for each second cubed. */
static const double TREND_DIFFUSION = 0.3;
static const double OUTLIER_DEVIATIONS = 2.0;
static const double LEAST_RISE_PER_S = 0.02;

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
        if (now_ms - curve->at_ms > GONE_MS) {
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
            .level = FIRST_LEVEL,
            .variances = {FIRST_VARIANCE, 0.0, TREND_VARIANCE},
            .least = FIRST_LEVEL,
            .at_ms = now_ms,
            .began_ms = now_ms,
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

/* Let time pass: the level follows the trend, and both become uncertain. */
static void
advance(jr_curve_t *curve, int64_t now_ms)
{
    double s = (double)MAX(now_ms - curve->at_ms, 0) / MS_PER_S;
    double *v = curve->variances;

    curve->at_ms = MAX(curve->at_ms, now_ms);
    if (s * MS_PER_S > STALE_MS) {
        curve->trend = 0.0;
        v[0] = FIRST_VARIANCE;
        v[1] = 0.0;
        v[2] = TREND_VARIANCE;
        return;
    }
    curve->level += s * curve->trend;
    v[0] += 2 * s * v[1] + s * s * v[2] + TREND_DIFFUSION * s * s * s / 3.0;
    v[1] += s * v[2] + TREND_DIFFUSION * s * s / 2.0;
    v[2] += TREND_DIFFUSION * s;
    curve->least += LEAST_RISE_PER_S * s;
}

void
jr_curve_update(jr_curve_t *curve, double seen, double variance,
                int64_t now_ms)
{
    double *v = curve->variances;
    double level_gain, trend_gain, error, bound;

    advance(curve, now_ms);
    level_gain = v[0] / (v[0] + variance);
    trend_gain = v[1] / (v[0] + variance);
    bound = OUTLIER_DEVIATIONS * sqrt(v[0] + variance);
    error = CLAMP(seen - curve->level, -bound, bound);
    curve->level += level_gain * error;
    curve->trend += trend_gain * error;
    v[2] -= trend_gain * v[1];
    v[1] -= level_gain * v[1];
    v[0] -= level_gain * v[0];
    curve->least = MIN(curve->least, curve->level);
}

double
jr_curve_at(const jr_curve_t *curve, int64_t at_ms)
{
    int64_t ahead_ms;

    if (curve == NULL) {
        return CAUTIOUS_LEVEL;
    }
    ahead_ms = at_ms - curve->at_ms;
    if (ahead_ms > STALE_MS) {
        return MIN(curve->level, curve->least);
    }
    return curve->level +
           curve->trend * (double)CLAMP(ahead_ms, 0, TREND_MS) / MS_PER_S;
}

double
jr_curve_least(const jr_curve_t *curve)
{
    if (curve == NULL) {
        return CAUTIOUS_LEVEL;
    }
    return curve->at_ms - curve->began_ms < SWING_MS
               ? MIN(curve->least, CAUTIOUS_LEVEL)
               : curve->least;
}

double
jr_curve_variance(const jr_curve_t *curve)
{
    return curve->variances[0];
}
