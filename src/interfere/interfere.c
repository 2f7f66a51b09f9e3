/* Interference model: slowdown slopes by service and class. */
#include "jayrelay/interfere.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum { MS_PER_S = 1000 };

/* Fraction of the prediction error corrected by one update. */
static const double LEARNING_GAIN = 0.05;
/* Keeps the update bounded when the loads are near zero. */
static const double REGULARISATION = 0.01;
/* Of a pair without measurements: slowdown per unit of load. */
static const double UNKNOWN_SLOPE = 0.5;
static const double UNKNOWN_MARGIN = 0.5;
/* Of the weight of past measurements of a pair. */
static const double HALF_LIFE_MS = 600.0 * 1000.0;

typedef struct {
    char name[2 * JR_PAIR_NAME_BYTES]; /* "service class" */
    double slope;
    double weight; /* sum of measured loads, decayed */
    int64_t updated_at;
    UT_hash_handle hh;
} pair_t;

struct jr_interference {
    jr_ctx_t *ctx;
    pair_t *pairs;
};

jr_interference_t *
jr_new_interference(jr_ctx_t *ctx)
{
    jr_interference_t *model = jr_alloc(ctx, sizeof *model);

    model->ctx = ctx;
    return model;
}

void
jr_drop_interference(jr_interference_t *model)
{
    pair_t *pair, *next;

    if (model == NULL) {
        return;
    }
    HASH_ITER (hh, model->pairs, pair, next) {
        HASH_DEL(model->pairs, pair);
        jr_free(model->ctx, pair);
    }
    jr_free(model->ctx, model);
}

void
jr_host_load_begin(jr_host_load_t *host)
{
    for (size_t i = 0; i < host->n_classes; i++) {
        host->classes[i].current = 0.0;
    }
}

void
jr_host_load_add(jr_host_load_t *host, const char *class_name, double share)
{
    size_t i = 0;

    while (i < host->n_classes &&
           strcmp(host->classes[i].class_name, class_name) != 0) {
        i++;
    }
    if (i == JR_HOST_CLASSES_MAX) {
        return;
    }
    if (i == host->n_classes) {
        host->n_classes++;
        host->classes[i] = (jr_class_load_t){.current = 0.0};
        g_strlcpy(host->classes[i].class_name, class_name, JR_PAIR_NAME_BYTES);
    }
    host->classes[i].current += share;
}

static size_t
history_slot(int64_t at)
{
    return (size_t)(at / MS_PER_S) % JR_LOAD_SECONDS;
}

/* Load at the time that the current measurements describe. */
static double
lagged_load(const jr_class_load_t *load, int64_t now)
{
    return load->history[history_slot(now - JR_SLOWDOWN_LAG_MS)];
}

static bool
is_unused(const jr_class_load_t *load)
{
    for (size_t i = 0; i < JR_LOAD_SECONDS; i++) {
        if (load->history[i] > 0.0) {
            return false;
        }
    }
    return load->current <= 0.0;
}

void
jr_host_load_end(jr_host_load_t *host, int64_t now)
{
    int64_t from =
        MAX(host->updated_at, now - (JR_LOAD_SECONDS - 1) * (int64_t)MS_PER_S);
    size_t kept = 0;

    for (size_t i = 0; i < host->n_classes; i++) {
        jr_class_load_t *load = &host->classes[i];

        double last_share = load->history[history_slot(from)];

        /* Fill seconds without a heartbeat with the last known load. */
        for (int64_t at = from + MS_PER_S; at < now; at += MS_PER_S) {
            load->history[history_slot(at)] = last_share;
        }
        load->history[history_slot(now)] = load->current;
        if (!is_unused(load)) {
            host->classes[kept++] = *load;
        }
    }
    host->n_classes = kept;
    host->updated_at = now;
}

static void
pair_name(char *to, const char *service, const char *class_name)
{
    snprintf(to, sizeof((pair_t *)0)->name, "%s %s", service, class_name);
}

static pair_t *
find_pair(const jr_interference_t *model, const char *service,
          const char *class_name)
{
    char name[sizeof((pair_t *)0)->name];
    pair_t *pair;

    pair_name(name, service, class_name);
    HASH_FIND_STR(model->pairs, name, pair);
    return pair;
}

static pair_t *
make_pair(jr_interference_t *model, const char *service,
          const char *class_name)
{
    pair_t *pair = find_pair(model, service, class_name);

    if (pair == NULL) {
        pair = jr_alloc(model->ctx, sizeof *pair);
        pair_name(pair->name, service, class_name);
        pair->slope = UNKNOWN_SLOPE;
        HASH_ADD_STR(model->pairs, name, pair);
    }
    return pair;
}

static double
decayed(double weight, int64_t since, int64_t now)
{
    return weight * exp2(-(double)(now - since) / HALF_LIFE_MS);
}

/* Distribute the prediction error over the classes by their loads. */
static void
learn_service(jr_interference_t *model, const jr_host_load_t *host,
              size_t service, int64_t now)
{
    pair_t *pairs[JR_HOST_CLASSES_MAX];
    double predicted = 0.0;
    double square = REGULARISATION;
    double error;

    for (size_t i = 0; i < host->n_classes; i++) {
        double x = lagged_load(&host->classes[i], now);

        pairs[i] = make_pair(model, host->services[service],
                             host->classes[i].class_name);
        predicted += pairs[i]->slope * x;
        square += x * x;
    }
    error = host->slowdowns[service] - 1.0 - predicted;
    for (size_t i = 0; i < host->n_classes; i++) {
        double x = lagged_load(&host->classes[i], now);

        pairs[i]->slope += LEARNING_GAIN * error * x / square;
        pairs[i]->slope = MAX(pairs[i]->slope, 0.0);
        pairs[i]->weight =
            decayed(pairs[i]->weight, pairs[i]->updated_at, now) + x;
        pairs[i]->updated_at = now;
    }
}

static double
predict_slowdown(const jr_interference_t *model, const jr_host_load_t *host,
                 size_t service)
{
    double slowdown = 1.0;

    for (size_t i = 0; i < host->n_classes; i++) {
        const pair_t *pair = find_pair(model, host->services[service],
                                       host->classes[i].class_name);

        slowdown += (pair != NULL ? pair->slope : UNKNOWN_SLOPE) *
                    host->classes[i].current;
    }
    return slowdown;
}

void
jr_interference_learn(jr_interference_t *model, jr_host_load_t *host,
                      int64_t now)
{
    host->predicted = 1.0;
    for (size_t i = 0; i < host->n_services; i++) {
        learn_service(model, host, i, now);
        host->predicted =
            MAX(host->predicted, predict_slowdown(model, host, i));
    }
}

double
jr_interference_slope(const jr_interference_t *model, const char *service,
                      const char *class_name, int64_t now)
{
    const pair_t *pair = find_pair(model, service, class_name);

    if (pair == NULL) {
        return UNKNOWN_SLOPE + UNKNOWN_MARGIN;
    }
    return pair->slope +
           UNKNOWN_MARGIN /
               (1.0 + decayed(pair->weight, pair->updated_at, now));
}

double
jr_interference_added(const jr_interference_t *model,
                      const jr_host_load_t *host, const char *class_name,
                      double share, int64_t now)
{
    double added = 0.0;

    for (size_t i = 0; i < host->n_services; i++) {
        added += share * jr_interference_slope(model, host->services[i],
                                               class_name, now);
    }
    return added;
}

double
jr_host_slowdown(const jr_host_load_t *host)
{
    double worst = 1.0;

    for (size_t i = 0; i < host->n_services; i++) {
        worst = MAX(worst, host->slowdowns[i]);
    }
    return worst;
}
