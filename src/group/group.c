/*
 * A replica: moves data between the store, the consensus core and the state
 * machine.
 */
#include "group.h"

#include <string.h>

#include "ledger/convert.h"

/* Rounds in one call of jr_group_pump(); the next call continues. */
enum {
    PUMP_ROUNDS = 4,
    /*
     * A sync stops the loop of a leader, on which all others wait, and the
     * followers commit without it: so it syncs its own log less often.
     */
    LEADER_SYNC_GAP_MS = 40,
    /* Fewer followers are no majority without their leader. */
    MIN_FOLLOWERS_TO_DEFER = 2,
};

jr_result_t
jr_group_init(jr_ctx_t *ctx, jr_store_t *store, const jr_config_t *members)
{
    jr_entry_t entry = {.index = 1, .term = 1, .kind = JR_ENTRY_CONFIG};
    jr_result_t result;

    entry.len = jr_config_pack(ctx, members, &entry.data);
    result = jr_store_append_hard_state(store, entry.term, 0);
    if (result == JR_OK) {
        result = jr_store_append_entry(store, &entry);
    }
    if (result == JR_OK) {
        result = jr_store_sync(store);
    }
    jr_free(ctx, entry.data);
    return result;
}

static void
on_snapshot(void *user, const jr_snapshot_t *snapshot)
{
    jr_group_t *group = user;

    jr_quorum_restore_snapshot(group->quorum, snapshot);
}

static void
on_hard_state(void *user, uint64_t term, uint64_t voted_for)
{
    jr_group_t *group = user;

    jr_quorum_restore_hard_state(group->quorum, term, voted_for);
}

static void
on_entry(void *user, const jr_entry_t *entry)
{
    jr_group_t *group = user;

    jr_quorum_restore_entry(group->quorum, entry);
}

static jr_result_t
load(jr_group_t *group)
{
    jr_store_callbacks_t callbacks = {
        .snapshot = on_snapshot,
        .hard_state = on_hard_state,
        .entry = on_entry,
        .user = group,
    };
    jr_result_t result = jr_store_load(group->store, &callbacks);
    const jr_snapshot_t *snapshot = jr_quorum_snapshot(group->quorum);

    if (result == JR_OK && snapshot->index > 0) {
        result = jr_group_restore(group, snapshot->data, snapshot->len);
    }
    return result;
}

static void
new_state_machine(jr_group_t *group)
{
    uint32_t number = group->options.quorum.group;

    group->options.dispatch.order_age_ms = group->options.quorum.election_ms;
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        group->as.reg = jr_new_register(group->ctx);
        break;
    case JR_GROUP_LEDGER:
        group->as.ledger.ledger = jr_new_ledger(group->ctx, number);
        group->as.ledger.coord = jr_new_coord(
            group->ctx, &group->options.coord, group->as.ledger.ledger);
        break;
    case JR_GROUP_JOBS:
        group->as.jobs.jobs = jr_new_jobs(group->ctx);
        group->as.jobs.dispatch = jr_new_dispatch(
            group->ctx, &group->options.dispatch, group->as.jobs.jobs);
        break;
    }
}

jr_group_t *
jr_new_group(jr_ctx_t *ctx, const jr_group_options_t *options,
             jr_store_t *store, int64_t now)
{
    jr_group_t *group = jr_alloc(ctx, sizeof *group);

    group->ctx = ctx;
    group->options = *options;
    group->options.quorum.check_snapshot = jr_group_can_restore;
    group->options.quorum.check_user = group;
    group->store = store;
    group->now = now;
    TAILQ_INIT(&group->pending_replies);
    TAILQ_INIT(&group->reads);
    group->quorum = jr_new_quorum(ctx, &group->options.quorum, now);
    new_state_machine(group);
    if (load(group) != JR_OK) {
        jr_drop_group(group);
        return NULL;
    }
    return group;
}

void
jr_drop_group(jr_group_t *group)
{
    if (group == NULL) {
        return;
    }
    jr_group_fail_pending(group);
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        jr_drop_register(group->as.reg);
        break;
    case JR_GROUP_LEDGER:
        jr_drop_coord(group->as.ledger.coord);
        jr_drop_ledger(group->as.ledger.ledger);
        break;
    case JR_GROUP_JOBS:
        jr_drop_dispatch(group->as.jobs.dispatch);
        jr_drop_jobs(group->as.jobs.jobs);
        break;
    }
    jr_drop_quorum(group->quorum);
    jr_free(group->ctx, group);
}

static jr_result_t
persist(jr_group_t *group, const jr_ready_t *ready)
{
    jr_result_t result = JR_OK;

    if (ready->install != NULL) {
        jr_log(group->ctx, JR_EV_SNAPSHOT_INSTALLED, "group %u index %llu",
               group->options.quorum.group,
               (unsigned long long)ready->install->index);
        result =
            jr_group_restore(group, ready->install->data, ready->install->len);
        return result != JR_OK
                   ? result
                   : jr_store_save_snapshot(group->store, ready->install,
                                            ready->term, ready->voted_for,
                                            ready->entries, ready->n_entries);
    }
    if (ready->hard_state_changed) {
        result = jr_store_append_hard_state(group->store, ready->term,
                                            ready->voted_for);
    }
    for (size_t i = 0; i < ready->n_entries && result == JR_OK; i++) {
        result = jr_store_append_entry(group->store, &ready->entries[i]);
    }
    return result == JR_OK ? jr_store_sync(group->store) : result;
}

static void
send_messages(jr_group_t *group)
{
    const jr_group_hooks_t *hooks = &group->options.hooks;
    jr_member_t to;
    uint8_t *bytes;
    size_t len;

    while (jr_quorum_take_message(group->quorum, &to, &bytes, &len)) {
        hooks->send(hooks->user, &to, bytes, len);
        jr_free(group->ctx, bytes);
    }
}

/*
 * A leader may send entries before its own log is synced, because it counts
 * itself towards the majority only after the sync. Votes and acknowledgements
 * must be durable before they are sent.
 */
static bool
may_send_early(const jr_group_t *group, const jr_ready_t *ready)
{
    return jr_quorum_role(group->quorum) == JR_LEADER &&
           !ready->hard_state_changed && ready->install == NULL;
}

static bool
is_compaction_due(const jr_group_t *group)
{
    return jr_quorum_applied(group->quorum) >=
           jr_quorum_snapshot(group->quorum)->index +
               group->options.snapshot_every;
}

static size_t
count_other_voters(const jr_group_t *group)
{
    const jr_config_t *config = jr_quorum_config(group->quorum);
    size_t n = 0;

    for (size_t i = 0; i < config->n; i++) {
        n += config->members[i].voter &&
             config->members[i].id != group->options.quorum.self;
    }
    return n;
}

/* A later sync covers the entries; until then the leader does not count. */
static bool
may_defer_sync(const jr_group_t *group, const jr_ready_t *ready)
{
    return may_send_early(group, ready) &&
           group->now - group->synced_at < LEADER_SYNC_GAP_MS &&
           !is_compaction_due(group) &&
           count_other_voters(group) >= MIN_FOLLOWERS_TO_DEFER;
}

static bool
apply_committed(jr_group_t *group)
{
    const jr_entry_t *entry;
    bool progressed = false;

    while ((entry = jr_quorum_next_committed(group->quorum)) != NULL) {
        jr_group_apply(group, entry);
        progressed = true;
    }
    return progressed;
}

static void
stop_leading(jr_group_t *group)
{
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        break;
    case JR_GROUP_LEDGER:
        jr_coord_resign(group->as.ledger.coord);
        break;
    case JR_GROUP_JOBS:
        jr_dispatch_resign(group->as.jobs.dispatch);
        break;
    }
}

static void
start_leading(jr_group_t *group)
{
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        break;
    case JR_GROUP_LEDGER:
        jr_coord_lead(group->as.ledger.coord,
                      jr_quorum_elected_at(group->quorum));
        break;
    case JR_GROUP_JOBS:
        jr_dispatch_lead(group->as.jobs.dispatch, group->leading_term,
                         group->now);
        break;
    }
}

/* Leadership begins once all entries of earlier terms are applied. */
static void
update_leadership(jr_group_t *group)
{
    bool leads = jr_quorum_is_caught_up(group->quorum);
    uint64_t term = jr_quorum_term(group->quorum);

    if (group->is_leading && (!leads || term != group->leading_term)) {
        group->is_leading = false;
        jr_group_fail_pending(group);
        stop_leading(group);
    }
    if (!group->is_leading && leads) {
        group->is_leading = true;
        group->leading_term = term;
        group->is_handing_over = false;
        start_leading(group);
    }
}

static bool
propose_job_commands(jr_group_t *group)
{
    uint8_t *bytes;
    size_t len;
    bool progressed = false;

    while (jr_dispatch_take_command(group->as.jobs.dispatch, &bytes, &len)) {
        uint64_t index;

        jr_quorum_propose(group->quorum, bytes, len, &index);
        jr_free(group->ctx, bytes);
        progressed = true;
    }
    return progressed;
}

static bool
propose_commands(jr_group_t *group)
{
    Jr__LedgerCommand *command;
    bool progressed = false;

    if (group->is_leading && group->options.kind == JR_GROUP_JOBS) {
        return propose_job_commands(group);
    }
    if (!group->is_leading || group->options.kind != JR_GROUP_LEDGER) {
        return false;
    }
    while (jr_coord_take_command(group->as.ledger.coord, &command)) {
        uint64_t index;
        size_t len;
        uint8_t *bytes =
            jr_command_pack(group->ctx, command,
                            group->now + group->options.wall_offset, &len);

        jr_quorum_propose(group->quorum, bytes, len, &index);
        jr_free(group->ctx, bytes);
        progressed = true;
    }
    return progressed;
}

static jr_result_t
compact(jr_group_t *group)
{
    jr_quorum_t *q = group->quorum;
    const jr_entry_t *entries;
    jr_ready_t ready;
    uint8_t *state;
    size_t len, n;

    if (!is_compaction_due(group)) {
        return JR_OK;
    }
    state = jr_group_save(group, &len);
    jr_quorum_compact(q, state, len);
    jr_free(group->ctx, state);
    jr_log(group->ctx, JR_EV_SNAPSHOT_TAKEN, "group %u index %llu, %zu bytes",
           group->options.quorum.group,
           (unsigned long long)jr_quorum_snapshot(q)->index, len);
    entries = jr_quorum_entries(q, &n);
    jr_quorum_ready(q, &ready);
    return jr_store_save_snapshot(group->store, jr_quorum_snapshot(q),
                                  ready.term, ready.voted_for, entries,
                                  n - ready.n_entries);
}

jr_result_t
jr_group_pump(jr_group_t *group, int64_t now)
{
    group->now = MAX(group->now, now);
    for (int round = 0; round < PUMP_ROUNDS; round++) {
        jr_ready_t ready;
        bool progressed = apply_committed(group);

        /* New decisions and received entries share one log sync. */
        update_leadership(group);
        jr_group_serve_reads(group);
        progressed |= propose_commands(group);
        if (jr_quorum_ready(group->quorum, &ready) &&
            !may_defer_sync(group, &ready)) {
            jr_result_t result;

            /* Followers write in parallel with the leader. */
            if (may_send_early(group, &ready)) {
                send_messages(group);
            }
            result = persist(group, &ready);

            if (result != JR_OK) {
                return result;
            }
            group->synced_at = group->now;
            jr_quorum_persisted(group->quorum, group->now);
            progressed = true;
        }
        send_messages(group);
        if (!progressed) {
            break;
        }
    }
    return compact(group);
}

jr_result_t
jr_group_receive(jr_group_t *group, const uint8_t *bytes, size_t len,
                 int64_t now)
{
    jr_result_t result;

    group->now = MAX(group->now, now);
    result = jr_quorum_receive(group->quorum, bytes, len, now);
    /* A request in the same batch must not be served by a deposed leader. */
    update_leadership(group);
    return result;
}

void
jr_group_tick(jr_group_t *group, int64_t now)
{
    jr_config_t next;

    group->now = MAX(group->now, now);
    jr_quorum_tick(group->quorum, now);
    update_leadership(group);
    if (!group->is_leading) {
        return;
    }
    if (jr_quorum_next_config(group->quorum, &next)) {
        jr_quorum_propose_config(group->quorum, &next);
    }
    if (group->options.kind == JR_GROUP_LEDGER) {
        jr_coord_tick(group->as.ledger.coord, now);
    }
    if (group->options.kind == JR_GROUP_JOBS) {
        jr_dispatch_tick(group->as.jobs.dispatch, now,
                         now + group->options.wall_offset);
    }
}

void
jr_group_set_rules(jr_group_t *group, jr_rules_t *rules)
{
    if (group->options.kind == JR_GROUP_LEDGER) {
        jr_coord_set_rules(group->as.ledger.coord, rules);
    }
}

void
jr_group_transfer(jr_group_t *group)
{
    group->is_handing_over = group->is_leading;
    jr_quorum_transfer(group->quorum);
}

jr_quorum_t *
jr_group_quorum(jr_group_t *group)
{
    return group->quorum;
}

jr_register_t *
jr_group_register(jr_group_t *group)
{
    return group->options.kind == JR_GROUP_RULES ? group->as.reg : NULL;
}

jr_ledger_t *
jr_group_ledger(jr_group_t *group)
{
    return group->options.kind == JR_GROUP_LEDGER ? group->as.ledger.ledger
                                                  : NULL;
}

jr_jobs_t *
jr_group_jobs(jr_group_t *group)
{
    return group->options.kind == JR_GROUP_JOBS ? group->as.jobs.jobs : NULL;
}

bool
jr_group_take_order(jr_group_t *group, int64_t now, jr_order_t *order)
{
    return group->options.kind == JR_GROUP_JOBS && group->is_leading &&
           !group->is_handing_over &&
           jr_quorum_is_confirmed(group->quorum, now,
                                  group->options.dispatch.order_age_ms) &&
           jr_dispatch_take_order(group->as.jobs.dispatch, order);
}

void
jr_group_answer(jr_group_t *group, uint64_t serial, const jr_answer_t *answer,
                int64_t now)
{
    group->now = MAX(group->now, now);
    if (group->options.kind == JR_GROUP_JOBS) {
        jr_dispatch_answer(group->as.jobs.dispatch, serial, answer, now);
    }
}

jr_coord_t *
jr_group_coord(jr_group_t *group)
{
    return group->options.kind == JR_GROUP_LEDGER ? group->as.ledger.coord
                                                  : NULL;
}
