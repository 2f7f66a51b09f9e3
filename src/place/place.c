/* The choice of the class and of the worker. */
#include "jayrelay/place.h"

#include <float.h>

enum { MILLI_PER_CORE = 1000, PERCENT = 100, ROWS_LOOKED_AT = 4 };

static const double SLOWDOWN_RANGE = 2.0;
static const double FIT_WEIGHT = 0.1;

/* Leased processors against the paid-for share; below 1 it is owed more. */
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
jr_place_class(jr_ledger_t *ledger, const jr_rules_t *rules,
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
can_hold(const jr_worker_t *worker, const jr_place_ask_t *ask)
{
    jr_resources_t room = jr_worker_room(worker);

    return worker->quarantined_until <= ask->now &&
           jr_resources_fit(&ask->need, &room);
}

static int
first_bucket(const jr_resources_t *need)
{
    int64_t cores = need->cpu_milli / MILLI_PER_CORE;

    return cores < JR_FREE_BUCKETS ? (int)cores : JR_FREE_BUCKETS - 1;
}

static jr_worker_t *
first_fit(jr_lease_table_t *table, const jr_place_ask_t *ask)
{
    jr_worker_t *worker, *next;

    HASH_ITER (hh, table->by_name, worker, next) {
        if (worker->bucket >= 0 && can_hold(worker, ask)) {
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
score(const jr_worker_t *worker, const jr_place_ask_t *ask)
{
    jr_resources_t room = jr_worker_room(worker);
    double capacity = (double)MAX(worker->capacity.cpu_milli, 1);
    double share = (double)ask->need.cpu_milli / capacity;
    double busy = 1.0 - (double)room.cpu_milli / capacity + share;
    const jr_rules_t *rules = ask->rules;
    int tail = rules != NULL ? rules->weights.tail : 1;
    int throughput = rules != NULL ? rules->weights.throughput : 1;
    double disturbance = 0.0;

    if (ask->model != NULL) {
        /* What the task adds hurts more where services suffer already. */
        double predicted = MAX(worker->host_load.predicted, 1.0);

        disturbance = predicted * predicted *
                      jr_interference_added(ask->model, &worker->host_load,
                                            ask->class_name, share, ask->now);
    }
    return tail * disturbance - throughput * busy * FIT_WEIGHT;
}

/* Hosts have different room; of each row only some are looked at. */
static int
highest_row(const jr_lease_table_t *table)
{
    int row = JR_FREE_BUCKETS - 1;

    while (row > 0 && TAILQ_EMPTY(&table->rooms[row])) {
        row--;
    }
    return row;
}

typedef struct {
    const jr_place_ask_t *ask;
    jr_worker_t *best;
    double best_score;
    int left; /* candidates that may still be looked at */
} search_t;

/* Whoever was looked at goes to the back, so all get their turn. */
static void
search_row(search_t *search, jr_worker_list_t *row, int most)
{
    const jr_worker_t *last = TAILQ_LAST(row, jr_worker_list);
    jr_worker_t *worker = NULL;

    while (most-- > 0 && search->left > 0 && last != NULL && worker != last) {
        double s;

        worker = TAILQ_FIRST(row);
        TAILQ_REMOVE(row, worker, by_room);
        TAILQ_INSERT_TAIL(row, worker, by_room);
        search->left--;
        if (!can_hold(worker, search->ask)) {
            continue;
        }
        s = score(worker, search->ask);
        if (s < search->best_score) {
            search->best = worker;
            search->best_score = s;
        }
    }
}

static jr_worker_t *
scored(jr_lease_table_t *table, int candidates, const jr_place_ask_t *ask,
       GRand *rng)
{
    search_t search = {.ask = ask, .best_score = DBL_MAX, .left = candidates};
    int first = first_bucket(&ask->need);
    int span = highest_row(table) - first + 1;
    int start;

    if (span <= 0) {
        return NULL;
    }
    start = g_rand_int_range(rng, 0, span);
    for (int i = 0; i < span && search.left > 0; i++) {
        search_row(&search, &table->rooms[first + (start + i) % span],
                   MAX(candidates / ROWS_LOOKED_AT, 1));
    }
    return search.best;
}

jr_worker_t *
jr_place_worker(jr_lease_table_t *table, const jr_place_policy_t *policy,
                const jr_place_ask_t *ask, GRand *rng)
{
    switch (policy->kind) {
    case JR_PLACE_FIRST_FIT:
        return first_fit(table, ask);
    case JR_PLACE_SCORED:
        return scored(table, policy->as.scored.candidates, ask, rng);
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
