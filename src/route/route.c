/* Choice of an upstream, and ejection of upstreams that fail. */
#include "jayrelay/route.h"

#include <float.h>
#include <math.h>

/* Weights, 0 to 1, of a new sample in the moving averages. */
static const double UPSTREAM_GAIN = 0.1; /* latency of one upstream */
static const double SERVICE_GAIN = 0.02; /* of a service, all upstreams */
static const double FAILURE_GAIN = 0.2;  /* failure rate of an upstream */

/* Fraction of failed attempts above which an upstream may be ejected. */
static const double FAILURE_LIMIT = 0.5;

enum {
    /* Attempts needed before the failure rate can lead to an ejection. */
    SAMPLES_TO_EJECT = 5,
    /* Each ejection lasts twice as long as the last, up to the maximum. */
    EJECTION_FIRST_US = 5 * 1000 * 1000,
    EJECTION_MAX_US = 60 * 1000 * 1000,
    /* Successes that end probation and reset the length of ejections. */
    PROBATION_ANSWERS = 3,
};

static bool
is_eligible(const jr_upstream_t *upstream, int64_t now, int64_t timeout_us)
{
    int64_t until;

    if (!jr_upstream_is_available(upstream, now) ||
        jr_limit_free(upstream) <= 0) {
        return false;
    }
    if (upstream->probation > 0 && upstream->in_use > 0) {
        return false;
    }
    until = jr_limit_free_until(upstream);
    return until == INT64_MAX || until - now >= timeout_us;
}

static jr_upstream_t *
choose_random(jr_service_t *service, GRand *rng, int64_t now,
              int64_t timeout_us)
{
    size_t start = (size_t)g_rand_int_range(rng, 0, (gint32)service->n);

    for (size_t i = 0; i < service->n; i++) {
        jr_upstream_t *u = service->upstreams[(start + i) % service->n];

        if (is_eligible(u, now, timeout_us)) {
            return u;
        }
    }
    return NULL;
}

static jr_upstream_t *
choose_round_robin(jr_service_t *service, int64_t now, int64_t timeout_us)
{
    for (size_t i = 0; i < service->n; i++) {
        jr_upstream_t *u = service->upstreams[service->next++ % service->n];

        if (is_eligible(u, now, timeout_us)) {
            return u;
        }
    }
    return NULL;
}

static jr_upstream_t *
choose_least(jr_service_t *service, int64_t now, int64_t timeout_us)
{
    jr_upstream_t *best = NULL;

    for (size_t i = 0; i < service->n; i++) {
        jr_upstream_t *u = service->upstreams[i];

        if (is_eligible(u, now, timeout_us) &&
            (best == NULL || u->in_use < best->in_use)) {
            best = u;
        }
    }
    return best;
}

/*
 * Expected response time, weighted by load and failure rate. An upstream
 * without samples is given the average latency of its service.
 */
static double
score(const jr_upstream_t *upstream, const jr_upstream_t *avoid)
{
    double latency = upstream->latency_us > 0.0
                         ? upstream->latency_us
                         : upstream->service->latency_us;
    double load = (double)upstream->in_use / (double)MAX(upstream->share, 1);

    if (upstream == avoid) {
        return DBL_MAX / 2.0;
    }
    return MAX(latency, 1.0) * (1.0 + load) *
           (1.0 + 4.0 * upstream->failure_rate);
}

static jr_upstream_t *
choose_scored(jr_service_t *service, int candidates,
              const jr_upstream_t *avoid, GRand *rng, int64_t now,
              int64_t timeout_us)
{
    size_t start = (size_t)g_rand_int_range(rng, 0, (gint32)service->n);
    jr_upstream_t *best = NULL;
    double best_score = DBL_MAX;
    int left = candidates;

    for (size_t i = 0; i < service->n && left > 0; i++) {
        jr_upstream_t *u = service->upstreams[(start + i) % service->n];
        double s;

        if (!is_eligible(u, now, timeout_us)) {
            continue;
        }
        left--;
        s = score(u, avoid);
        if (s < best_score) {
            best = u;
            best_score = s;
        }
    }
    return best;
}

jr_upstream_t *
jr_route_choose(const jr_route_policy_t *policy, jr_service_t *service,
                const jr_upstream_t *avoid, GRand *rng, int64_t now,
                int64_t timeout_us)
{
    if (service->n == 0) {
        return NULL;
    }
    switch (policy->kind) {
    case JR_ROUTE_RANDOM:
        return choose_random(service, rng, now, timeout_us);
    case JR_ROUTE_ROUND_ROBIN:
        return choose_round_robin(service, now, timeout_us);
    case JR_ROUTE_LEAST_IN_FLIGHT:
        return choose_least(service, now, timeout_us);
    case JR_ROUTE_SCORED:
        return choose_scored(service, policy->as.scored.candidates, avoid, rng,
                             now, timeout_us);
    }
    return NULL;
}

/* At most half of a service's upstreams may be ejected at once. */
static bool
may_eject(const jr_service_t *service, int64_t now)
{
    size_t ejected = 0;

    for (size_t i = 0; i < service->n; i++) {
        ejected += service->upstreams[i]->ejected_until > now;
    }
    return 2 * (ejected + 1) <= service->n;
}

static void
eject(jr_ctx_t *ctx, jr_upstream_t *upstream, int64_t now)
{
    upstream->ejection_us =
        upstream->ejection_us == 0
            ? EJECTION_FIRST_US
            : MIN(2 * upstream->ejection_us, EJECTION_MAX_US);
    upstream->ejected_until = now + upstream->ejection_us;
    upstream->probation = PROBATION_ANSWERS;
    upstream->failure_rate = 0.0;
    /* On probation, a single failure is enough for the next ejection. */
    upstream->samples = SAMPLES_TO_EJECT - 1;
    jr_count(ctx, JR_C_EJECTIONS);
    jr_log(ctx, JR_EV_UPSTREAM_EJECTED, "%s for %lld ms", upstream->name,
           (long long)upstream->ejection_us / 1000);
}

static void
move_average(double *mean, double value, double gain)
{
    *mean = *mean == 0.0 ? value : *mean + gain * (value - *mean);
}

static void
record_service_latency(jr_service_t *service, double latency_us)
{
    if (service->latency_us > 0.0) {
        move_average(&service->deviation_us,
                     fabs(latency_us - service->latency_us), SERVICE_GAIN);
    }
    move_average(&service->latency_us, latency_us, SERVICE_GAIN);
}

static void
record_success(jr_ctx_t *ctx, jr_upstream_t *upstream, int64_t latency_us)
{
    move_average(&upstream->latency_us, (double)latency_us, UPSTREAM_GAIN);
    upstream->failure_rate -= FAILURE_GAIN * upstream->failure_rate;
    if (upstream->probation > 0 && --upstream->probation == 0) {
        upstream->ejection_us = 0;
        jr_log(ctx, JR_EV_UPSTREAM_READMITTED, "%s", upstream->name);
    }
    if (upstream->service != NULL) {
        record_service_latency(upstream->service, (double)latency_us);
    }
}

void
jr_route_record_attempt(jr_ctx_t *ctx, const jr_route_policy_t *policy,
                        jr_upstream_t *upstream, jr_attempt_result_t result,
                        int64_t latency_us, int64_t now)
{
    switch (result) {
    case JR_ATTEMPT_OK:
        upstream->samples++;
        record_success(ctx, upstream, latency_us);
        break;
    case JR_ATTEMPT_FAILED:
        upstream->samples++;
        upstream->failure_rate +=
            FAILURE_GAIN * (1.0 - upstream->failure_rate);
        if (policy->kind == JR_ROUTE_SCORED && upstream->service != NULL &&
            (upstream->failure_rate > FAILURE_LIMIT ||
             upstream->probation > 0) &&
            upstream->samples >= SAMPLES_TO_EJECT &&
            may_eject(upstream->service, now)) {
            eject(ctx, upstream, now);
        }
        break;
    case JR_ATTEMPT_REFUSED:
        break;
    }
}
