/**
 * DOC: place - selection of the next task to start and of its worker
 *
 * Class selection: classes below their paid-for share of the processors come
 * first, the one furthest below its share before the others; remaining
 * capacity is given out by priority. Worker selection: among a few candidates
 * with enough free capacity, a score prefers the worker where services suffer
 * the least added interference, then the best fit. Both cost the same at 50
 * and at 18,000 workers: workers are bucketed by free cores, and a bounded
 * number is examined.
 */
#ifndef JAYRELAY_PLACE_H
#define JAYRELAY_PLACE_H

#include <glib.h>

#include "jayrelay/lease.h"
#include "jayrelay/rules.h"

/** enum jr_place_kind_t - worker selection policy */
typedef enum {
    JR_PLACE_FIRST_FIT, /* baseline: first worker with capacity */
    JR_PLACE_SCORED,
} jr_place_kind_t;

/**
 * struct jr_place_policy_t - placement policy and its parameters
 * @kind: selects the active member of @as
 * @as.scored.candidates: workers examined for one decision
 * @as.scored.ignores_interference: baseline without interference estimates
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
 * jr_place_choose_class - choose the class whose task starts next
 * @total: capacity of the live workers
 *
 * Return: the class, or NULL when all are empty or marked as skipped.
 */
jr_class_queue_t *jr_place_choose_class(jr_ledger_t *ledger,
                                        const jr_rules_t *rules,
                                        const jr_resources_t *total);

/**
 * struct jr_place_request_t - a task to be placed
 * @need: expected resource use of the task
 * @class_name: class of the task; borrowed
 * @rules: rules in force, or NULL for default weights
 * @model: interference model, or NULL to ignore interference
 * @now: current time in ms
 */
typedef struct {
    jr_resources_t need;
    const char *class_name;
    const jr_rules_t *rules;
    const jr_interference_t *model;
    int64_t now;
} jr_place_request_t;

/**
 * jr_place_choose_worker - choose the worker for a task
 *
 * Return: a worker with enough free capacity at this moment, or NULL; owned
 * by the table.
 */
jr_worker_t *jr_place_choose_worker(jr_lease_table_t *table,
                                    const jr_place_policy_t *policy,
                                    const jr_place_request_t *request,
                                    GRand *rng);

/**
 * jr_place_slowdown_limit - service slowdown allowed by the rules
 *
 * Return: a factor; 1.0 is undisturbed.
 */
double jr_place_slowdown_limit(const jr_rules_t *rules);

/** enum jr_evict_kind_t - eviction policy for overloaded hosts */
typedef enum {
    JR_EVICT_NEWEST,   /* baseline: the task submitted last */
    JR_EVICT_CHEAPEST, /* least work lost per freed processor */
} jr_evict_kind_t;

/**
 * jr_evict_choose - choose the task to evict from a host
 * @leases: tasks leased to the host
 *
 * Tasks of lower priority are evicted first; the policy decides among equals.
 * Return: a task, or NULL when all of them are already stopping.
 */
jr_task_t *jr_evict_choose(jr_evict_kind_t kind,
                           const jr_worker_leases_t *leases,
                           const jr_rules_t *rules, int64_t now);

/** jr_place_is_possible - can any live worker ever satisfy @need? */
bool jr_place_is_possible(const jr_lease_table_t *table,
                          const jr_resources_t *need);

#endif
