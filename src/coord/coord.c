/* Coordinator state, lease expiry, placement and command queue. */
#include "coord.h"

#include <string.h>

#include "ledger/convert.h"

enum {
    /*
     * Delay after an election before tasks larger than any live worker are
     * ended; it gives workers time to report to the new leader.
     */
    IMPOSSIBLE_AFTER_MS = 30000,
    /* Interval between scans of the queues for impossible tasks. */
    IMPOSSIBLE_CHECK_MS = 1000,
    /* Queued tasks of a class examined in one scan. */
    QUEUE_SCAN_MAX = 32,
    /*
     * Limits of the expected size of a task, in percent of an average host:
     * with a measurement, and without one.
     */
    MEASURED_PERCENT_MAX = 75,
    EXPECTED_PERCENT_MAX = 50,
    PERCENT = 100,
    /* Upper bound on the lag of use measurements. */
    MEASUREMENT_LAG_MS = 12000,
};

void
jr_coord_propose(jr_coord_t *coord, jr_proposal_t *proposal)
{
    jr_proposal_t *copy = jr_memdup(coord->ctx, proposal, sizeof *proposal);

    STAILQ_INSERT_TAIL(&coord->proposals, copy, link);
}

static void
free_proposal(jr_coord_t *coord, jr_proposal_t *proposal)
{
    if (proposal != NULL) {
        jr_free(coord->ctx, proposal->text);
        jr_free(coord->ctx, proposal->checkpoint);
        jr_free(coord->ctx, proposal);
    }
}

static void
clear_proposals(jr_coord_t *coord)
{
    jr_proposal_t *proposal;

    while ((proposal = STAILQ_FIRST(&coord->proposals)) != NULL) {
        STAILQ_REMOVE_HEAD(&coord->proposals, link);
        free_proposal(coord, proposal);
    }
    free_proposal(coord, coord->taken);
    coord->taken = NULL;
}

jr_coord_t *
jr_new_coord(jr_ctx_t *ctx, const jr_coord_options_t *options,
             jr_ledger_t *ledger)
{
    jr_coord_t *coord = jr_alloc(ctx, sizeof *coord);

    coord->ctx = ctx;
    coord->options = *options;
    coord->ledger = ledger;
    coord->table = jr_new_lease_table(ctx, &options->lease);
    coord->model = jr_new_interference(ctx);
    coord->rng = g_rand_new_with_seed(options->seed);
    STAILQ_INIT(&coord->proposals);
    return coord;
}

void
jr_drop_coord(jr_coord_t *coord)
{
    if (coord == NULL) {
        return;
    }
    clear_proposals(coord);
    jr_drop_lease_table(coord->table);
    jr_drop_rules(coord->rules);
    jr_drop_interference(coord->model);
    g_rand_free(coord->rng);
    jr_free(coord->ctx, coord);
}

void
jr_coord_lead(jr_coord_t *coord, int64_t elected_at)
{
    jr_worker_leases_t *leases, *next;

    coord->is_leading = true;
    coord->generation++;
    coord->elected_at = elected_at;
    jr_lease_reset(coord->table);
    HASH_ITER (hh, jr_ledger_all_leases(coord->ledger), leases, next) {
        jr_lease_renew(coord->table, leases->worker, elected_at);
    }
}

void
jr_coord_resign(jr_coord_t *coord)
{
    coord->is_leading = false;
    clear_proposals(coord);
    jr_lease_reset(coord->table);
}

void
jr_coord_set_rules(jr_coord_t *coord, jr_rules_t *rules)
{
    jr_drop_rules(coord->rules);
    coord->rules = jr_keep_rules(rules);
}

/* This group's share of a team's quota, rounded up. */
static int64_t
group_share(const jr_coord_t *coord, int64_t quota)
{
    int64_t n = MAX(coord->options.n_groups, 1);

    return (quota + n - 1) / n;
}

jr_result_t
jr_coord_check_submit(jr_coord_t *coord, const Jr__TaskSpec *spec)
{
    const jr_team_rule_t *team;
    const jr_team_use_t *use;

    if (coord->rules == NULL) {
        return JR_OK;
    }
    if (jr_rules_class(coord->rules, spec->class_name) == NULL) {
        return jr_fail(coord->ctx, JR_BAD_REQUEST,
                       "class '%.40s' is not defined in version %llu of the "
                       "rules",
                       spec->class_name,
                       (unsigned long long)coord->rules->version);
    }
    team = jr_rules_team(coord->rules, spec->team);
    use = jr_ledger_team(coord->ledger, spec->team);
    if (team != NULL && team->tasks > 0 && use != NULL &&
        (int64_t)use->n_open >= group_share(coord, team->tasks)) {
        return jr_fail(
            coord->ctx, JR_QUOTA,
            "quota exceeded: team '%.40s' has %lld open tasks in this "
            "group, limit is %lld",
            spec->team, (long long)use->n_open,
            (long long)group_share(coord, team->tasks));
    }
    return JR_OK;
}

/*
 * Add the task's need to the pending grants of its class and team when a grant
 * is proposed (n = 1); subtract it when the grant was applied (n = -1).
 */
static void
count_pending_grant(jr_coord_t *coord, const jr_task_t *task, int n)
{
    jr_team_use_t *team = jr_ledger_team(coord->ledger, task->spec.team);
    jr_class_queue_t *queue;

    HASH_FIND_STR(jr_ledger_classes(coord->ledger), task->spec.class_name,
                  queue);
    if (queue != NULL && queue->generation == coord->generation) {
        jr_resources_add(&queue->granting, &task->spec.need, n);
    }
    /* Counts from an earlier leadership are reset. */
    if (team != NULL && team->generation != coord->generation) {
        team->generation = coord->generation;
        team->granting = (jr_resources_t){0};
        if (n < 0) {
            return;
        }
    }
    if (team != NULL) {
        jr_resources_add(&team->granting, &task->spec.need, n);
    }
}

/* True if starting the task would exceed its team's running quota. */
static bool
is_over_quota(const jr_coord_t *coord, const jr_task_t *task)
{
    const jr_team_rule_t *team;
    const jr_team_use_t *use;
    jr_resources_t after = task->spec.need;

    if (coord->rules == NULL) {
        return false;
    }
    team = jr_rules_team(coord->rules, task->spec.team);
    use = jr_ledger_team(coord->ledger, task->spec.team);
    if (team == NULL || use == NULL) {
        return false;
    }
    jr_resources_add(&after, &use->leased, 1);
    if (use->generation == coord->generation) {
        jr_resources_add(&after, &use->granting, 1);
    }
    if (team->cpu_milli > 0 &&
        after.cpu_milli > group_share(coord, team->cpu_milli)) {
        return true;
    }
    return team->memory_mb > 0 &&
           after.memory_mb > group_share(coord, team->memory_mb);
}

jr_task_local_t *
jr_coord_task_local(const jr_coord_t *coord, jr_task_t *task)
{
    if (task->local.generation != coord->generation) {
        task->local = (jr_task_local_t){.generation = coord->generation};
    }
    return &task->local;
}

static void
expire_tasks(jr_coord_t *coord, const jr_worker_t *worker)
{
    jr_worker_leases_t *leases =
        jr_ledger_worker_leases(coord->ledger, worker->name);
    jr_task_t *task;

    if (leases == NULL) {
        return;
    }
    TAILQ_FOREACH (task, &leases->tasks, on_worker) {
        jr_task_local_t *local = jr_coord_task_local(coord, task);
        jr_proposal_t expire = {
            .kind = JR_PROPOSE_EXPIRE,
            .task = task->id,
            .epoch = task->epoch,
        };

        if (!local->is_expiring) {
            local->is_expiring = true;
            jr_coord_propose(coord, &expire);
        }
    }
}

bool
jr_coord_is_idle(const jr_coord_t *coord, const jr_worker_t *worker)
{
    return worker->n_granting == 0 &&
           jr_ledger_worker_leases(coord->ledger, worker->name) == NULL;
}

/*
 * A pending grant may still be applied for a worker whose lease has expired,
 * so the worker is kept until it is idle.
 */
static void
check_lapsed(jr_coord_t *coord, int64_t now)
{
    jr_worker_t *worker, *next;

    while ((worker = jr_lease_next_lapsed(coord->table, now)) != NULL) {
        jr_log(coord->ctx, JR_EV_WORKER_LAPSED,
               "%s: lease renewed %lld ms ago, length is %lld ms",
               worker->name, (long long)(now - worker->renewed_at),
               (long long)coord->options.lease.lease_ms);
    }
    for (worker = TAILQ_FIRST(&coord->table->lapsed); worker != NULL;
         worker = next) {
        next = TAILQ_NEXT(worker, by_renewal);
        expire_tasks(coord, worker);
        if (jr_coord_is_idle(coord, worker)) {
            jr_lease_remove(coord->table, worker);
        }
    }
}

/* Fraction of an average host's capacity. */
static jr_resources_t
average_host_fraction(const jr_coord_t *coord, int percent)
{
    int64_t n = MAX((int64_t)HASH_COUNT(coord->table->by_name), 1) * PERCENT;
    const jr_resources_t *total = &coord->table->total;

    return (jr_resources_t){
        .cpu_milli = total->cpu_milli * percent / n,
        .memory_mb = total->memory_mb * percent / n,
        .accelerators = total->accelerators * PERCENT / n,
    };
}

static double
use_ratio(const jr_coord_t *coord, const jr_task_t *task)
{
    jr_class_queue_t *queue;

    HASH_FIND_STR(jr_ledger_classes(coord->ledger), task->spec.class_name,
                  queue);
    return queue != NULL && queue->generation == coord->generation
               ? queue->use_ratio
               : 1.0;
}

/*
 * The measured use of the task or, without a measurement, its declared need
 * scaled by the ratio of used to declared processors of its class. Unless
 * declared larger, the size is limited to a fraction of an average host;
 * otherwise no worker might have enough capacity for the task.
 */
jr_resources_t
jr_coord_expected_size(const jr_coord_t *coord, const jr_task_t *task)
{
    bool is_measured = task->measured.cpu_milli > 0;
    jr_resources_t size = task->measured;
    jr_resources_t limit = average_host_fraction(
        coord, is_measured ? MEASURED_PERCENT_MAX : EXPECTED_PERCENT_MAX);

    if (coord->options.policy.kind == JR_PLACE_FIRST_FIT) {
        return task->spec.need;
    }
    if (!is_measured) {
        size.cpu_milli = (int64_t)((double)task->spec.need.cpu_milli *
                                   use_ratio(coord, task));
    }
    size.cpu_milli = MIN(size.cpu_milli, limit.cpu_milli);
    size.memory_mb = MIN(size.memory_mb, limit.memory_mb);
    size.accelerators = MIN(size.accelerators, limit.accelerators);
    return jr_resources_max(&size, &task->spec.need);
}

static bool
models_interference(const jr_coord_t *coord)
{
    const jr_place_policy_t *policy = &coord->options.policy;

    return policy->kind == JR_PLACE_SCORED &&
           !policy->as.scored.ignores_interference;
}

static bool
start_task(jr_coord_t *coord, jr_task_t *task, int64_t now)
{
    jr_resources_t size = jr_coord_expected_size(coord, task);
    jr_place_request_t request = {
        .need = size,
        .class_name = task->spec.class_name,
        .rules = coord->rules,
        .model = models_interference(coord) ? coord->model : NULL,
        .now = now,
    };
    jr_worker_t *worker = jr_place_choose_worker(
        coord->table, &coord->options.policy, &request, coord->rng);
    jr_proposal_t grant = {.kind = JR_PROPOSE_GRANT, .task = task->id};

    if (worker == NULL) {
        return false;
    }
    grant.epoch = task->epoch + 1;
    grant.text = jr_strdup(coord->ctx, worker->name);
    jr_coord_propose(coord, &grant);
    jr_coord_task_local(coord, task)->granting_to = worker;
    task->local.expected = size;
    task->local.expected_until = now + MEASUREMENT_LAG_MS;
    jr_resources_add(&worker->reserved, &size, 1);
    worker->n_granting++;
    jr_lease_update_bucket(coord->table, worker);
    return true;
}

static void
start_round(jr_coord_t *coord)
{
    jr_class_queue_t *queue, *next;

    HASH_ITER (hh, jr_ledger_classes(coord->ledger), queue, next) {
        if (queue->generation != coord->generation) {
            queue->generation = coord->generation;
            queue->granting = (jr_resources_t){0};
            queue->use_ratio = 1.0;
        }
        queue->cursor = TAILQ_FIRST(&queue->tasks);
        queue->is_skipped = false;
    }
}

/*
 * Start one task of the class; false when none of the next QUEUE_SCAN_MAX
 * tasks can start.
 */
static bool
start_from_class(jr_coord_t *coord, jr_class_queue_t *queue, int64_t now)
{
    int scanned = 0;

    while (queue->cursor != NULL && scanned < QUEUE_SCAN_MAX) {
        jr_task_t *task = queue->cursor;

        queue->cursor = TAILQ_NEXT(task, link);
        if (jr_coord_task_local(coord, task)->granting_to != NULL) {
            continue;
        }
        scanned++;
        if (!is_over_quota(coord, task) && start_task(coord, task, now)) {
            count_pending_grant(coord, task, 1);
            return true;
        }
    }
    return false;
}

static void
place_tasks(jr_coord_t *coord, int64_t now)
{
    uint32_t granted = 0;

    start_round(coord);
    while (granted < coord->options.max_grants) {
        jr_class_queue_t *queue = jr_place_choose_class(
            coord->ledger, coord->rules, &coord->table->total);

        if (queue == NULL) {
            break;
        }
        if (start_from_class(coord, queue, now)) {
            granted++;
        }
        else {
            queue->is_skipped = true;
        }
    }
}

static void
end_impossible(jr_coord_t *coord, jr_class_queue_t *queue)
{
    jr_task_t *task;
    int scanned = 0;

    TAILQ_FOREACH (task, &queue->tasks, link) {
        jr_proposal_t proposal = {
            .kind = JR_PROPOSE_IMPOSSIBLE,
            .task = task->id,
        };

        if (scanned++ >= QUEUE_SCAN_MAX) {
            break;
        }
        if (jr_coord_task_local(coord, task)->granting_to != NULL ||
            jr_place_is_possible(coord->table, &task->spec.need)) {
            continue;
        }
        proposal.text =
            jr_strdup(coord->ctx, "no worker of this group is large enough");
        jr_coord_propose(coord, &proposal);
        jr_count(coord->ctx, JR_C_IMPOSSIBLE);
        jr_log(coord->ctx, JR_EV_TASK_IMPOSSIBLE, "task %llu",
               (unsigned long long)task->id);
    }
}

static void
check_impossible(jr_coord_t *coord, int64_t now)
{
    jr_class_queue_t *queue, *next;

    if (now < coord->elected_at + IMPOSSIBLE_AFTER_MS ||
        now < coord->impossible_check_at ||
        HASH_COUNT(coord->table->by_name) == 0) {
        return;
    }
    coord->impossible_check_at = now + IMPOSSIBLE_CHECK_MS;
    HASH_ITER (hh, jr_ledger_classes(coord->ledger), queue, next) {
        end_impossible(coord, queue);
    }
}

void
jr_coord_tick(jr_coord_t *coord, int64_t now)
{
    if (!coord->is_leading) {
        return;
    }
    check_lapsed(coord, now);
    check_impossible(coord, now);
    if (coord->rules != NULL) {
        place_tasks(coord, now);
    }
}

bool
jr_coord_take_command(jr_coord_t *coord, Jr__LedgerCommand **command)
{
    static char empty[] = "";
    jr_proposal_t *p = STAILQ_FIRST(&coord->proposals);
    jr_command_buf_t *command_buf = &coord->command_buf;

    free_proposal(coord, coord->taken);
    coord->taken = p;
    if (p == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&coord->proposals, link);
    jr__ledger_command__init(&command_buf->command);
    switch (p->kind) {
    case JR_PROPOSE_GRANT:
        jr__grant__init(&command_buf->as.grant);
        command_buf->as.grant.task = p->task;
        command_buf->as.grant.epoch = p->epoch;
        command_buf->as.grant.worker = p->text;
        command_buf->command.body_case = JR__LEDGER_COMMAND__BODY_GRANT;
        command_buf->command.grant = &command_buf->as.grant;
        break;
    case JR_PROPOSE_EXPIRE:
        jr__expire__init(&command_buf->as.expire);
        command_buf->as.expire.task = p->task;
        command_buf->as.expire.epoch = p->epoch;
        command_buf->command.body_case = JR__LEDGER_COMMAND__BODY_EXPIRE;
        command_buf->command.expire = &command_buf->as.expire;
        break;
    case JR_PROPOSE_REPORT:
        jr__report__init(&command_buf->as.report);
        command_buf->as.report.task = p->task;
        command_buf->as.report.epoch = p->epoch;
        command_buf->as.report.kind = (Jr__Report__Kind)p->report;
        command_buf->as.report.checkpoint =
            p->checkpoint != NULL ? p->checkpoint : empty;
        command_buf->as.report.result = p->text != NULL ? p->text : empty;
        jr_resources_to_message(&p->used, &command_buf->used);
        command_buf->as.report.used = &command_buf->used;
        command_buf->command.body_case = JR__LEDGER_COMMAND__BODY_REPORT;
        command_buf->command.report = &command_buf->as.report;
        break;
    case JR_PROPOSE_IMPOSSIBLE:
        jr__impossible__init(&command_buf->as.impossible);
        command_buf->as.impossible.task = p->task;
        command_buf->as.impossible.reason = p->text;
        command_buf->command.body_case = JR__LEDGER_COMMAND__BODY_IMPOSSIBLE;
        command_buf->command.impossible = &command_buf->as.impossible;
        break;
    }
    *command = &command_buf->command;
    return true;
}

void
jr_coord_applied(jr_coord_t *coord, const jr_ledger_result_t *result)
{
    jr_task_t *task = (jr_task_t *)result->task;
    jr_task_local_t *local;
    jr_worker_t *worker;
    jr_resources_t size;

    if (!coord->is_leading || task == NULL) {
        return;
    }
    local = jr_coord_task_local(coord, task);
    worker = local->granting_to;
    if (task->state == JR_TASK_QUEUED) {
        /* Discard state of the last run but keep that of a pending grant. */
        jr_task_local_t next = {.generation = coord->generation};

        if (worker != NULL) {
            next.granting_to = worker;
            next.expected = local->expected;
            next.expected_until = local->expected_until;
        }
        *local = next;
        return;
    }
    if (worker == NULL) {
        return;
    }
    /* The grant was applied, or the task ended first. */
    size = local->expected;
    local->granting_to = NULL;
    worker->n_granting--;
    jr_resources_add(&worker->reserved, &size, -1);
    if (task->state == JR_TASK_LEASED) {
        jr_resources_add(&worker->load, &size, 1);
    }
    count_pending_grant(coord, task, -1);
    jr_lease_update_bucket(coord->table, worker);
}

jr_lease_table_t *
jr_coord_table(jr_coord_t *coord)
{
    return coord->table;
}
