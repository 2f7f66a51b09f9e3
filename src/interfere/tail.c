/*
 * Tail latency model. The slopes are learnt by recursive least squares, with
 * one regression per service: base headroom - headroom = sum of slope * share.
 * The base headroom comes from the curve of the job.
 */
#include "jayrelay/tail.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "curve.h"

/*
 * The slopes of a service hold for all of its tasks, so that the samples of
 * many say little more than those of some. What is learnt from is bounded, as
 * its cost is proportional to the square of the number of images.
 */
enum {
    SAMPLE_EVERY_MS = 20, /* in the mean, of one service */
    SAMPLES_MAX = 25,     /* at once */
    CREDIT_MAX_MS = SAMPLES_MAX * SAMPLE_EVERY_MS,
};

/* Assumed headroom loss to a whole worker of an unknown best-effort image. */
static const double SLOPE_PRIOR = 2.0;
static const double SLOPE_PRIOR_VARIANCE = 6.0; /* also the maximum */
/*
 * Noise of a reported tail, in squared headroom, besides the rounding to whole
 * milliseconds.
 */
static const double NOISE_VARIANCE = 0.04;
static const double ROUNDING_DEVIATION = 0.29; /* ms */
/* Slopes change over time, so each update adds to their variance. */
static const double VARIANCE_GROWTH = 0.002;
/* Headroom outside of these bounds carries no more information. */
static const double HEADROOM_MAX = 6.0;
static const double HEADROOM_MIN = 0.25;

typedef struct {
    char *name;
    jr_image_t index;
    UT_hash_handle hh;
} image_t;

/* Regression of one service: one slope per best-effort image. */
typedef struct {
    double slopes[JR_TAIL_IMAGES_MAX];
    double variances[JR_TAIL_IMAGES_MAX][JR_TAIL_IMAGES_MAX];
    int64_t credit_ms; /* at credit_at; each sample costs SAMPLE_EVERY_MS */
    int64_t credit_at;
} regression_t;

struct jr_tails {
    jr_ctx_t *ctx;
    image_t *images;
    jr_image_t n;
    regression_t *regressions[JR_TAIL_IMAGES_MAX]; /* NULL: no such service */
    jr_curves_t curves;
};

jr_tails_t *
jr_new_tails(jr_ctx_t *ctx)
{
    jr_tails_t *tails = jr_alloc(ctx, sizeof *tails);

    tails->ctx = ctx;
    return tails;
}

void
jr_drop_tails(jr_tails_t *tails)
{
    image_t *image, *next;

    if (tails == NULL) {
        return;
    }
    HASH_ITER (hh, tails->images, image, next) {
        HASH_DEL(tails->images, image);
        jr_free(tails->ctx, image->name);
        jr_free(tails->ctx, image);
    }
    for (jr_image_t i = 0; i < JR_TAIL_IMAGES_MAX; i++) {
        jr_free(tails->ctx, tails->regressions[i]);
    }
    jr_curves_clear(tails->ctx, &tails->curves);
    jr_free(tails->ctx, tails);
}

jr_image_t
jr_tails_image(jr_tails_t *tails, const char *name)
{
    image_t *image;

    HASH_FIND_STR(tails->images, name, image);
    if (image != NULL) {
        return image->index;
    }
    if (tails->n == JR_TAIL_IMAGES_MAX) {
        return JR_TAIL_IMAGES_MAX - 1;
    }
    image = jr_alloc(tails->ctx, sizeof *image);
    image->name = jr_strdup(tails->ctx, name);
    image->index = tails->n++;
    HASH_ADD_KEYPTR(hh, tails->images, image->name, strlen(image->name),
                    image);
    return image->index;
}

static regression_t *
regression_of(jr_tails_t *tails, jr_image_t service)
{
    regression_t *r = tails->regressions[service];

    if (r == NULL) {
        r = jr_alloc(tails->ctx, sizeof *r);
        for (size_t i = 0; i < JR_TAIL_IMAGES_MAX; i++) {
            r->slopes[i] = SLOPE_PRIOR;
            r->variances[i][i] = SLOPE_PRIOR_VARIANCE;
        }
        r->credit_ms = CREDIT_MAX_MS;
        tails->regressions[service] = r;
    }
    return r;
}

/* Variance of the headroom loss that is due to uncertain slopes. */
static double
variance_of(const regression_t *r, const jr_tail_load_t *loads, size_t n)
{
    double sum = 0.0;

    for (size_t i = 0; i < n; i++) {
        for (size_t k = 0; k < n; k++) {
            sum += loads[i].share * loads[k].share *
                   r->variances[loads[i].image][loads[k].image];
        }
    }
    return sum;
}

/* One step of recursive least squares. */
static void
update_regression(regression_t *r, const jr_tail_load_t *loads, size_t n,
                  size_t images, double loss, double noise)
{
    double px[JR_TAIL_IMAGES_MAX] = {0.0};
    double scale = noise;

    for (size_t i = 0; i < images; i++) {
        for (size_t k = 0; k < n; k++) {
            px[i] += r->variances[i][loads[k].image] * loads[k].share;
        }
    }
    for (size_t k = 0; k < n; k++) {
        loss -= r->slopes[loads[k].image] * loads[k].share;
        scale += px[loads[k].image] * loads[k].share;
    }
    for (size_t i = 0; i < images; i++) {
        if (px[i] == 0.0) {
            continue; /* it never ran beside these */
        }
        r->slopes[i] += px[i] * loss / scale;
        for (size_t k = 0; k < images; k++) {
            r->variances[i][k] -= px[i] * px[k] / scale;
        }
    }
    for (size_t k = 0; k < n; k++) {
        double *variance = &r->variances[loads[k].image][loads[k].image];

        *variance = MIN(*variance + VARIANCE_GROWTH, SLOPE_PRIOR_VARIANCE);
    }
}

/* May the slopes be learnt from one more sample? */
static bool
take_credit(regression_t *r, int64_t at_ms)
{
    int64_t gained_ms = CLAMP(at_ms - r->credit_at, 0, CREDIT_MAX_MS);

    r->credit_ms = MIN(r->credit_ms + gained_ms, CREDIT_MAX_MS);
    r->credit_at = MAX(r->credit_at, at_ms);
    if (r->credit_ms < SAMPLE_EVERY_MS) {
        return false;
    }
    r->credit_ms -= SAMPLE_EVERY_MS;
    return true;
}

void
jr_tails_learn(jr_tails_t *tails, const jr_tail_sample_t *sample)
{
    regression_t *r = regression_of(tails, sample->service);
    jr_curve_t *curve =
        jr_curves_get(tails->ctx, &tails->curves, sample->job, sample->at_ms);
    double loss = jr_tails_headroom_loss(tails, sample->service, sample->loads,
                                         sample->n_loads);
    double headroom, rounding, noise;

    if (sample->tail_ms == 0 || sample->target_ms == 0) {
        return;
    }
    headroom = (double)sample->target_ms / sample->tail_ms;
    rounding = ROUNDING_DEVIATION * headroom / sample->tail_ms;
    noise = NOISE_VARIANCE + rounding * rounding;
    headroom = CLAMP(headroom, HEADROOM_MIN, HEADROOM_MAX);
    /* Past saturation the tail stops growing, so the sample is discarded. */
    if (headroom == HEADROOM_MIN &&
        jr_curve_predict(curve, sample->at_ms) - loss < HEADROOM_MIN) {
        return;
    }
    jr_curve_update(curve, headroom + loss,
                    noise + variance_of(r, sample->loads, sample->n_loads),
                    sample->at_ms);
    if (sample->n_loads > 0 && take_credit(r, sample->at_ms)) {
        update_regression(r, sample->loads, sample->n_loads, tails->n,
                          jr_curve_predict(curve, sample->at_ms) - headroom,
                          noise + jr_curve_variance(curve));
    }
}

double
jr_tails_base_headroom(const jr_tails_t *tails, uint64_t job, int64_t at_ms)
{
    return jr_curve_predict(jr_curves_find(&tails->curves, job), at_ms);
}

double
jr_tails_base_headroom_min(const jr_tails_t *tails, uint64_t job)
{
    return jr_curve_min(jr_curves_find(&tails->curves, job));
}

double
jr_tails_headroom_loss(const jr_tails_t *tails, jr_image_t service,
                       const jr_tail_load_t *loads, size_t n)
{
    const regression_t *r = tails->regressions[service];
    double sum = 0.0;

    for (size_t i = 0; i < n; i++) {
        double slope = r != NULL ? r->slopes[loads[i].image] : SLOPE_PRIOR;

        sum += MAX(slope, 0.0) * loads[i].share;
    }
    return sum;
}
