/**
 * DOC: place - which task starts next, and on which worker
 *
 * Two decisions. The class: one that has less than its paid-for share of
 * the processors goes first, the one furthest below its share before the
 * others; what is left over goes by priority. The worker: of a few
 * candidates with room, the one that disturbs services least, keeps its
 * rack least crowded and fits best. Both cost the same at 50 and at 18,000
 * workers: workers are filed by free cores, and a bounded number is looked
 * at.
 */
#ifndef JAYRELAY_PLACE_H
#define JAYRELAY_PLACE_H

#include <glib.h>

#include "jayrelay/lease.h"
#include "jayrelay/rules.h"

/** enum jr_place_kind_t - how a worker is chosen */
typedef enum {
    JR_PLACE_FIRST_FIT, /* baseline: the first worker with room */
    JR_PLACE_SCORED,
} jr_place_kind_t;

/**
 * struct jr_place_policy_t - a policy and its parameters
 * @scored.candidates: workers looked at for one decision
 * @scored.ignores_interference: baseline, without estimates
 */
typedef struct {
    jr_place_kind_t kind;
    union {
        struct {
            int candidates;
            bool ignores_interference;
        } scored;
    } as;
} jr_place_policy_t;

/**
 * jr_place_class - the class whose task should start next
 *
 * Return: the class, or NULL when all are empty or marked as skipped.
 */
jr_class_queue_t *jr_place_class(jr_ledger_t *ledger, const jr_rules_t *rules,
                                 const jr_resources_t *total);

/**
 * struct jr_place_ask_t - what a worker is looked for
 * @need: what the task is reckoned to use
 * @model: of interference, NULL: none is reckoned with
 */
typedef struct {
    jr_resources_t need;
    const char *class_name;
    const jr_rules_t *rules;
    const jr_interference_t *model;
    int64_t now;
} jr_place_ask_t;

/**
 * jr_place_worker - the worker for a task
 *
 * Return: a worker whose room holds the need at this moment, or NULL.
 */
jr_worker_t *jr_place_worker(jr_lease_table_t *table,
                             const jr_place_policy_t *policy,
                             const jr_place_ask_t *ask, GRand *rng);

/** jr_place_slowdown_limit - slowdown of services that the rules allow */
double jr_place_slowdown_limit(const jr_rules_t *rules);

/** enum jr_evict_kind_t - which task goes when a host has too much */
typedef enum {
    JR_EVICT_NEWEST,   /* baseline: the one that started last */
    JR_EVICT_CHEAPEST, /* the least work since its checkpoint */
} jr_evict_kind_t;

/**
 * jr_evict_choose - the task to evict from a host
 * @holding: the tasks of the host
 *
 * Tasks of a lower priority go first; among equals the policy decides.
 * Return: a task, or NULL when all are stopping already.
 */
jr_task_t *jr_evict_choose(jr_evict_kind_t kind,
                           const jr_worker_leases_t *holding,
                           const jr_rules_t *rules, int64_t now);

/** jr_place_is_possible - could any live worker ever hold @need? */
bool jr_place_is_possible(const jr_lease_table_t *table,
                          const jr_resources_t *need);

#endif
