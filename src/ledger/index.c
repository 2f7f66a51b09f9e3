/* Tables and lists of the ledger. */
#include "ledger.h"

#include <string.h>

/* Bit position of the group number in a task id. */
enum { GROUP_SHIFT = 40 };

static const char *const state_names[JR_TASK_STATES] = {
    "queued", "leased", "finished", "failed", "cancelled", "impossible",
};

uint32_t
jr_task_group(uint64_t id)
{
    return (uint32_t)(id >> GROUP_SHIFT);
}

const char *
jr_task_state_name(jr_task_state_t state)
{
    return state < JR_TASK_STATES ? state_names[state] : "unknown";
}

void
jr_resources_add(jr_resources_t *a, const jr_resources_t *b, int n)
{
    a->cpu_milli += n * b->cpu_milli;
    a->memory_mb += n * b->memory_mb;
    a->accelerators += n * b->accelerators;
}

bool
jr_resources_fit(const jr_resources_t *need, const jr_resources_t *available)
{
    return need->cpu_milli <= available->cpu_milli &&
           need->memory_mb <= available->memory_mb &&
           need->accelerators <= available->accelerators;
}

static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

jr_resources_t
jr_resources_max(const jr_resources_t *a, const jr_resources_t *b)
{
    return (jr_resources_t){
        .cpu_milli = larger(a->cpu_milli, b->cpu_milli),
        .memory_mb = larger(a->memory_mb, b->memory_mb),
        .accelerators = larger(a->accelerators, b->accelerators),
    };
}

jr_resources_t
jr_task_size(const jr_task_t *task)
{
    jr_resources_t size = jr_resources_max(&task->spec.need, &task->measured);

    return jr_resources_max(&size, &task->local.used);
}

void
jr_set_string(jr_ctx_t *ctx, char **to, const char *from)
{
    char *copy = from != NULL && *from != '\0' ? jr_strdup(ctx, from) : NULL;

    jr_free(ctx, *to);
    *to = copy;
}

static jr_class_queue_t *
get_class(jr_ledger_t *ledger, const char *name)
{
    jr_class_queue_t *queue;

    HASH_FIND_STR(ledger->classes, name, queue);
    if (queue == NULL) {
        queue = jr_alloc(ledger->ctx, sizeof *queue);
        queue->name = jr_strdup(ledger->ctx, name);
        TAILQ_INIT(&queue->tasks);
        HASH_ADD_KEYPTR(hh, ledger->classes, queue->name, strlen(queue->name),
                        queue);
    }
    return queue;
}

static jr_worker_leases_t *
get_leases(jr_ledger_t *ledger, const char *worker)
{
    jr_worker_leases_t *leases = jr_ledger_worker_leases(ledger, worker);

    if (leases == NULL) {
        leases = jr_alloc(ledger->ctx, sizeof *leases);
        leases->worker = jr_strdup(ledger->ctx, worker);
        TAILQ_INIT(&leases->tasks);
        HASH_ADD_KEYPTR(hh, ledger->leases, leases->worker,
                        strlen(leases->worker), leases);
    }
    return leases;
}

static jr_team_use_t *
get_team(jr_ledger_t *ledger, const char *name)
{
    jr_team_use_t *use = jr_ledger_team(ledger, name);

    if (use == NULL) {
        use = jr_alloc(ledger->ctx, sizeof *use);
        use->team = jr_strdup(ledger->ctx, name);
        HASH_ADD_KEYPTR(hh, ledger->teams, use->team, strlen(use->team), use);
    }
    return use;
}

static void
free_if_unused(jr_ledger_t *ledger, jr_worker_leases_t *leases,
               jr_team_use_t *team)
{
    if (leases != NULL && leases->n == 0) {
        HASH_DEL(ledger->leases, leases);
        jr_free(ledger->ctx, leases->worker);
        jr_free(ledger->ctx, leases);
    }
    if (team != NULL && team->n_open == 0) {
        HASH_DEL(ledger->teams, team);
        jr_free(ledger->ctx, team->team);
        jr_free(ledger->ctx, team);
    }
}

void
jr_task_link(jr_ledger_t *ledger, jr_task_t *task)
{
    jr_class_queue_t *queue = get_class(ledger, task->spec.class_name);

    ledger->counts[task->state]++;
    if (task->state == JR_TASK_QUEUED) {
        get_team(ledger, task->spec.team)->n_open++;
        /* Requeue a task that ran at the head: it is older than the others. */
        if (task->starts > 0) {
            TAILQ_INSERT_HEAD(&queue->tasks, task, link);
        }
        else {
            TAILQ_INSERT_TAIL(&queue->tasks, task, link);
        }
        queue->n++;
    }
    else if (task->state == JR_TASK_LEASED) {
        jr_worker_leases_t *leases = get_leases(ledger, task->worker);
        jr_team_use_t *team = get_team(ledger, task->spec.team);

        TAILQ_INSERT_TAIL(&leases->tasks, task, on_worker);
        leases->n++;
        team->n_open++;
        jr_resources_add(&team->leased, &task->spec.need, 1);
        jr_resources_add(&queue->leased, &task->spec.need, 1);
    }
    else {
        TAILQ_INSERT_TAIL(&ledger->ended, task, link);
    }
}

void
jr_task_unlink(jr_ledger_t *ledger, jr_task_t *task)
{
    jr_class_queue_t *queue = get_class(ledger, task->spec.class_name);
    jr_worker_leases_t *leases = NULL;
    jr_team_use_t *team = NULL;

    ledger->counts[task->state]--;
    if (task->state == JR_TASK_QUEUED) {
        team = get_team(ledger, task->spec.team);
        team->n_open--;
        TAILQ_REMOVE(&queue->tasks, task, link);
        queue->n--;
    }
    else if (task->state == JR_TASK_LEASED) {
        leases = get_leases(ledger, task->worker);
        team = get_team(ledger, task->spec.team);
        TAILQ_REMOVE(&leases->tasks, task, on_worker);
        leases->n--;
        team->n_open--;
        jr_resources_add(&team->leased, &task->spec.need, -1);
        jr_resources_add(&queue->leased, &task->spec.need, -1);
    }
    else {
        TAILQ_REMOVE(&ledger->ended, task, link);
    }
    free_if_unused(ledger, leases, team);
}

jr_task_t *
jr_task_insert(jr_ledger_t *ledger, uint64_t id, const Jr__TaskSpec *spec)
{
    jr_ctx_t *ctx = ledger->ctx;
    jr_task_t *task = jr_alloc(ctx, sizeof *task);

    task->id = id;
    task->spec.team = jr_strdup(ctx, spec->team);
    task->spec.class_name = jr_strdup(ctx, spec->class_name);
    task->spec.key = jr_strdup(ctx, spec->key);
    task->spec.payload = jr_strdup(ctx, spec->payload);
    task->spec.run_ms = spec->run_ms;
    if (spec->need != NULL) {
        task->spec.need = (jr_resources_t){
            .cpu_milli = spec->need->cpu_milli,
            .memory_mb = spec->need->memory_mb,
            .accelerators = spec->need->accelerators,
        };
    }
    HASH_ADD(hh, ledger->by_id, id, sizeof task->id, task);
    HASH_ADD_KEYPTR(hh_key, ledger->by_key, task->spec.key,
                    strlen(task->spec.key), task);
    return task;
}

void
jr_task_free(jr_ledger_t *ledger, jr_task_t *task)
{
    jr_ctx_t *ctx = ledger->ctx;

    HASH_DELETE(hh, ledger->by_id, task);
    HASH_DELETE(hh_key, ledger->by_key, task);
    jr_free(ctx, (char *)task->spec.team);
    jr_free(ctx, (char *)task->spec.class_name);
    jr_free(ctx, (char *)task->spec.key);
    jr_free(ctx, (char *)task->spec.payload);
    jr_free(ctx, task->worker);
    jr_free(ctx, task->checkpoint);
    jr_free(ctx, task->result);
    jr_free(ctx, task);
}

jr_claim_t *
jr_claim_insert(jr_ledger_t *ledger, const char *key)
{
    jr_claim_t *claim = jr_alloc(ledger->ctx, sizeof *claim);

    claim->key = jr_strdup(ledger->ctx, key);
    HASH_ADD_KEYPTR(hh, ledger->claims, claim->key, strlen(claim->key), claim);
    TAILQ_INSERT_TAIL(&ledger->claim_order, claim, link);
    return claim;
}

void
jr_claim_free(jr_ledger_t *ledger, jr_claim_t *claim)
{
    HASH_DEL(ledger->claims, claim);
    TAILQ_REMOVE(&ledger->claim_order, claim, link);
    jr_free(ledger->ctx, claim->key);
    jr_free(ledger->ctx, claim->request);
    jr_free(ledger->ctx, claim->body);
    jr_free(ledger->ctx, claim);
}

static void
free_classes(jr_ledger_t *ledger)
{
    jr_class_queue_t *queue, *next;

    HASH_ITER (hh, ledger->classes, queue, next) {
        HASH_DEL(ledger->classes, queue);
        jr_free(ledger->ctx, queue->name);
        jr_free(ledger->ctx, queue);
    }
}

void
jr_ledger_clear(jr_ledger_t *ledger)
{
    jr_task_t *task, *next_task;
    jr_claim_t *claim, *next_claim;

    HASH_ITER (hh, ledger->by_id, task, next_task) {
        jr_task_unlink(ledger, task);
        jr_task_free(ledger, task);
    }
    HASH_ITER (hh, ledger->claims, claim, next_claim) {
        jr_claim_free(ledger, claim);
    }
    free_classes(ledger);
}

jr_ledger_t *
jr_new_ledger(jr_ctx_t *ctx, uint32_t group)
{
    jr_ledger_t *ledger = jr_alloc(ctx, sizeof *ledger);

    ledger->ctx = ctx;
    ledger->group = group;
    ledger->next_id = ((uint64_t)group << GROUP_SHIFT) + 1;
    TAILQ_INIT(&ledger->ended);
    TAILQ_INIT(&ledger->claim_order);
    return ledger;
}

void
jr_drop_ledger(jr_ledger_t *ledger)
{
    if (ledger == NULL) {
        return;
    }
    jr_ledger_clear(ledger);
    jr_free(ledger->ctx, ledger);
}

jr_task_t *
jr_ledger_task(jr_ledger_t *ledger, uint64_t id)
{
    jr_task_t *task;

    HASH_FIND(hh, ledger->by_id, &id, sizeof id, task);
    return task;
}

jr_task_t *
jr_ledger_find_key(jr_ledger_t *ledger, const char *key)
{
    jr_task_t *task;

    HASH_FIND(hh_key, ledger->by_key, key, strlen(key), task);
    return task;
}

jr_class_queue_t *
jr_ledger_classes(jr_ledger_t *ledger)
{
    return ledger->classes;
}

jr_worker_leases_t *
jr_ledger_all_leases(jr_ledger_t *ledger)
{
    return ledger->leases;
}

jr_worker_leases_t *
jr_ledger_worker_leases(jr_ledger_t *ledger, const char *worker)
{
    jr_worker_leases_t *leases;

    HASH_FIND_STR(ledger->leases, worker, leases);
    return leases;
}

jr_team_use_t *
jr_ledger_team(jr_ledger_t *ledger, const char *team)
{
    jr_team_use_t *use;

    HASH_FIND_STR(ledger->teams, team, use);
    return use;
}

uint64_t
jr_ledger_count(const jr_ledger_t *ledger, jr_task_state_t state)
{
    return ledger->counts[state];
}
