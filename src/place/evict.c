/* Choice of the task to evict from an overloaded host. */
#include "jayrelay/place.h"

static int
priority_of(const jr_rules_t *rules, const jr_task_t *task)
{
    const jr_class_rule_t *rule =
        rules != NULL ? jr_rules_class(rules, task->spec.class_name) : NULL;

    return rule != NULL ? rule->priority : 0;
}

/* Work to be repeated after an eviction, per processor freed. */
static double
lost_work(const jr_task_t *task, int64_t now)
{
    jr_resources_t size = jr_task_size(task);
    double lost = (double)(now - task->local.checkpoint_at) *
                  (double)task->spec.need.cpu_milli;

    return lost / (double)MAX(size.cpu_milli, 1);
}

static bool
evicts_before(jr_evict_kind_t kind, const jr_task_t *a, const jr_task_t *b,
              const jr_rules_t *rules, int64_t now)
{
    int priority_a = priority_of(rules, a);
    int priority_b = priority_of(rules, b);

    if (priority_a != priority_b) {
        return priority_a < priority_b;
    }
    switch (kind) {
    case JR_EVICT_NEWEST:
        return a->id > b->id;
    case JR_EVICT_CHEAPEST:
        return lost_work(a, now) < lost_work(b, now);
    }
    return false;
}

jr_task_t *
jr_evict_choose(jr_evict_kind_t kind, const jr_worker_leases_t *leases,
                const jr_rules_t *rules, int64_t now)
{
    jr_task_t *task;
    jr_task_t *best = NULL;

    TAILQ_FOREACH (task, &leases->tasks, on_worker) {
        if (task->local.is_evicting || task->local.is_expiring ||
            task->cancel_asked) {
            continue;
        }
        if (best == NULL || evicts_before(kind, task, best, rules, now)) {
            best = task;
        }
    }
    return best;
}
