/* Class and worker selection. */
#include "jayrelay/place.h"

#include <float.h>

enum {
    MILLI_PER_CORE = 1000,
    PERCENT = 100,
    MIN_BUCKETS_SCANNED = 4, /* one gives at most 1/4 of the candidates */
};

/* The slowdown limit is above 1 by this range divided by 1 + tail weight. */
static const double SLOWDOWN_RANGE = 2.0;
/* Weight of utilisation against interference in the score of a worker. */
static const double FIT_WEIGHT = 0.1;

/*
 * Processors leased to a class, pending grants included, divided by its
 * guaranteed share of all processors.
 */
static double
share_used(const jr_class_queue_t *queue, const jr_class_rule_t *rule,
           const jr_resources_t *total)
{
    double share =
        (double)total->cpu_milli * rule->rate_percent / (double)PERCENT;

    if (share <= 0.0) {
        return DBL_MAX;
    }
    return (double)(queue->leased.cpu_milli + queue->granting.cpu_milli) /
           share;
}

/*
 * Classes below their guaranteed share come first, beginning with the one that
 * uses the smallest part of it; the others follow by priority.
 */
static bool
is_better(const jr_class_queue_t *queue, const jr_class_queue_t *best,
          const jr_rules_t *rules, const jr_resources_t *total)
{
    const jr_class_rule_t *a = jr_rules_class(rules, queue->name);
    const jr_class_rule_t *b = jr_rules_class(rules, best->name);
    double used_a, used_b;

    if (a == NULL || b == NULL) {
        return a != NULL;
    }
    used_a = share_used(queue, a, total);
    used_b = share_used(best, b, total);
    if (used_a < 1.0 || used_b < 1.0) {
        return used_a < used_b;
    }
    return a->priority > b->priority;
}

jr_class_queue_t *
jr_place_choose_class(jr_ledger_t *ledger, const jr_rules_t *rules,
                      const jr_resources_t *total)
{
    jr_class_queue_t *queue, *next;
    jr_class_queue_t *best = NULL;

    HASH_ITER (hh, jr_ledger_classes(ledger), queue, next) {
        if (queue->n == 0 || queue->is_skipped) {
            continue;
        }
        if (best == NULL || is_better(queue, best, rules, total)) {
            best = queue;
        }
    }
    return best;
}

static bool
is_eligible(const jr_worker_t *worker, const jr_place_request_t *request)
{
    jr_resources_t available = jr_worker_free_capacity(worker);

    return worker->quarantined_until <= request->now &&
           jr_resources_fit(&request->need, &available);
}

static int
first_bucket(const jr_resources_t *need)
{
    int64_t cores = need->cpu_milli / MILLI_PER_CORE;

    return cores < JR_FREE_BUCKETS ? (int)cores : JR_FREE_BUCKETS - 1;
}

static jr_worker_t *
first_fit(jr_lease_table_t *table, const jr_place_request_t *request)
{
    jr_worker_t *worker, *next;

    HASH_ITER (hh, table->by_name, worker, next) {
        if (worker->bucket >= 0 && is_eligible(worker, request)) {
            return worker;
        }
    }
    return NULL;
}

double
jr_place_slowdown_limit(const jr_rules_t *rules)
{
    int tail = rules != NULL ? rules->weights.tail : 1;

    return 1.0 + SLOWDOWN_RANGE / (1.0 + tail);
}

/* Lower is better. */
static double
score(const jr_worker_t *worker, const jr_place_request_t *request)
{
    jr_resources_t available = jr_worker_free_capacity(worker);
    double capacity = (double)MAX(worker->capacity.cpu_milli, 1);
    double share = (double)request->need.cpu_milli / capacity;
    double utilisation = 1.0 - (double)available.cpu_milli / capacity + share;
    const jr_rules_t *rules = request->rules;
    int tail = rules != NULL ? rules->weights.tail : 1;
    int throughput = rules != NULL ? rules->weights.throughput : 1;
    double interference = 0.0;

    if (request->model != NULL) {
        /* Added slowdown weighs more where services are already slow. */
        double predicted = MAX(worker->host_load.predicted, 1.0);

        interference =
            predicted * predicted *
            jr_interference_added(request->model, &worker->host_load,
                                  request->class_name, share, request->now);
    }
    return tail * interference - throughput * utilisation * FIT_WEIGHT;
}

/* The highest bucket that is not empty, or 0. */
static int
highest_bucket(const jr_lease_table_t *table)
{
    int bucket = JR_FREE_BUCKETS - 1;

    while (bucket > 0 && TAILQ_EMPTY(&table->buckets[bucket])) {
        bucket--;
    }
    return bucket;
}

typedef struct {
    const jr_place_request_t *request;
    jr_worker_t *best;
    double best_score;
    int remaining; /* candidates that may still be examined */
} search_t;

/* Examined workers move to the back, so that all are examined in rotation. */
static void
search_bucket(search_t *search, jr_worker_list_t *bucket, int limit)
{
    const jr_worker_t *last = TAILQ_LAST(bucket, jr_worker_list);
    jr_worker_t *worker = NULL;

    while (limit-- > 0 && search->remaining > 0 && last != NULL &&
           worker != last) {
        double s;

        worker = TAILQ_FIRST(bucket);
        TAILQ_REMOVE(bucket, worker, by_bucket);
        TAILQ_INSERT_TAIL(bucket, worker, by_bucket);
        search->remaining--;
        if (!is_eligible(worker, search->request)) {
            continue;
        }
        s = score(worker, search->request);
        if (s < search->best_score) {
            search->best = worker;
            search->best_score = s;
        }
    }
}

/*
 * Examines buckets with enough free cores from a random one on, and only some
 * workers of each, so that hosts with different free capacity are compared.
 */
static jr_worker_t *
choose_scored(jr_lease_table_t *table, int candidates,
              const jr_place_request_t *request, GRand *rng)
{
    search_t search = {
        .request = request, .best_score = DBL_MAX, .remaining = candidates};
    int first = first_bucket(&request->need);
    int span = highest_bucket(table) - first + 1;
    int start;

    if (span <= 0) {
        return NULL;
    }
    start = g_rand_int_range(rng, 0, span);
    for (int i = 0; i < span && search.remaining > 0; i++) {
        search_bucket(&search, &table->buckets[first + (start + i) % span],
                      MAX(candidates / MIN_BUCKETS_SCANNED, 1));
    }
    return search.best;
}

jr_worker_t *
jr_place_choose_worker(jr_lease_table_t *table,
                       const jr_place_policy_t *policy,
                       const jr_place_request_t *request, GRand *rng)
{
    switch (policy->kind) {
    case JR_PLACE_FIRST_FIT:
        return first_fit(table, request);
    case JR_PLACE_SCORED:
        return choose_scored(table, policy->as.scored.candidates, request,
                             rng);
    }
    return NULL;
}

bool
jr_place_is_possible(const jr_lease_table_t *table, const jr_resources_t *need)
{
    const jr_worker_t *worker, *next;

    HASH_ITER (hh, table->by_name, worker, next) {
        if (!worker->is_lapsed && jr_resources_fit(need, &worker->capacity)) {
            return true;
        }
    }
    return false;
}
