/* The replicated state machine: apply, save and restore. */
#include "group.h"

#include <string.h>

#include "ledger/convert.h"

/* Storage for the messages nested in a reply. */
typedef struct {
    Jr__LedgerResult result;
    jr_task_message_t task;
    Jr__CallRecord call;
} ledger_reply_t;

static void
fill_ledger_reply(ledger_reply_t *storage, const jr_ledger_result_t *from,
                  Jr__Reply *reply)
{
    jr__ledger_result__init(&storage->result);
    storage->result.code = (uint32_t)from->code;
    if (from->task != NULL) {
        jr_task_to_message(from->task, &storage->task);
        storage->result.task = &storage->task.task;
    }
    if (from->claim != NULL) {
        jr_claim_to_message(from->claim, &storage->call);
        storage->result.call = &storage->call;
    }
    reply->code = (uint32_t)from->code;
    reply->message = (char *)jr_result_text(from->code);
    reply->body_case = JR__REPLY__BODY_LEDGER;
    reply->ledger = &storage->result;
}

/*
 * Removes and returns the pending reply of an entry, or NULL. Requests
 * whose index the log has passed without a match are answered with JR_UNKNOWN:
 * an entry of another leader replaced theirs, or a snapshot skipped it.
 */
static jr_pending_reply_t *
take_pending_reply(jr_group_t *group, const jr_entry_t *entry)
{
    jr_pending_reply_t *pending;

    while ((pending = TAILQ_FIRST(&group->pending_replies)) != NULL &&
           pending->index <= entry->index) {
        TAILQ_REMOVE(&group->pending_replies, pending, link);
        if (pending->index == entry->index && pending->term == entry->term) {
            return pending;
        }
        jr_group_reply_code(
            group, &pending->reply_to, JR_UNKNOWN,
            "outcome unknown: an entry of another leader or a snapshot took "
            "the place of the proposed entry");
        jr_free(group->ctx, pending);
    }
    return NULL;
}

static void
reply_to_proposer(jr_group_t *group, const jr_entry_t *entry, Jr__Reply *reply)
{
    jr_pending_reply_t *pending = take_pending_reply(group, entry);

    if (pending != NULL) {
        reply->id = pending->reply_to.id;
        group->options.hooks.reply(group->options.hooks.user,
                                   &pending->reply_to, reply);
        jr_free(group->ctx, pending);
    }
}

static void
apply_home(jr_group_t *group, const jr_entry_t *entry,
           const Jr__RulesApply *command)
{
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    text.home =
        jr_register_assign_home(group->as.reg, command->host, command->groups);
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    reply_to_proposer(group, entry, &reply);
}

static void
apply_rules(jr_group_t *group, const jr_entry_t *entry)
{
    Jr__RulesApply *command =
        jr__rules_apply__unpack(NULL, entry->len, entry->data);
    uint64_t before = jr_register_version(group->as.reg);
    jr_register_result_t result = {.code = JR_BAD_REQUEST, .text = ""};
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    if (command != NULL && *command->host != '\0' && command->groups > 0) {
        apply_home(group, entry, command);
        jr__rules_apply__free_unpacked(command, NULL);
        return;
    }
    if (command != NULL) {
        result =
            jr_register_apply(group->as.reg, command->version, command->text);
        jr__rules_apply__free_unpacked(command, NULL);
    }
    text.version = result.version;
    text.text = (char *)result.text;
    reply.code = (uint32_t)result.code;
    reply.message = (char *)jr_result_text(result.code);
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    reply_to_proposer(group, entry, &reply);
    if (result.version > before) {
        group->options.hooks.rules(group->options.hooks.user, result.version,
                                   result.text);
    }
}

static void
apply_ledger(jr_group_t *group, const jr_entry_t *entry)
{
    jr_ledger_result_t result =
        jr_ledger_apply(group->as.ledger.ledger, entry->data, entry->len);
    Jr__Reply reply = JR__REPLY__INIT;
    ledger_reply_t storage;

    jr_coord_applied(group->as.ledger.coord, &result);
    fill_ledger_reply(&storage, &result, &reply);
    reply_to_proposer(group, entry, &reply);
}

static void
apply_job(jr_group_t *group, const jr_entry_t *entry)
{
    Jr__Reply reply = JR__REPLY__INIT;
    jr_result_t code =
        jr_jobs_apply(group->as.jobs.jobs, entry->data, entry->len);

    reply.code = (uint32_t)code;
    reply.message = (char *)jr_result_text(code);
    reply_to_proposer(group, entry, &reply);
}

void
jr_group_apply(jr_group_t *group, const jr_entry_t *entry)
{
    Jr__Reply empty = JR__REPLY__INIT;

    if (entry->kind != JR_ENTRY_COMMAND) {
        reply_to_proposer(group, entry, &empty);
        return;
    }
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        apply_rules(group, entry);
        break;
    case JR_GROUP_LEDGER:
        apply_ledger(group, entry);
        break;
    case JR_GROUP_JOBS:
        apply_job(group, entry);
        break;
    }
}

uint8_t *
jr_group_save(jr_group_t *group, size_t *len)
{
    switch (group->options.kind) {
    case JR_GROUP_RULES:
        return jr_register_save(group->as.reg, len);
    case JR_GROUP_LEDGER:
        return jr_ledger_save(group->as.ledger.ledger, len);
    case JR_GROUP_JOBS:
        return jr_jobs_save(group->as.jobs.jobs, len);
    }
    return NULL;
}

bool
jr_group_can_restore(void *user, const uint8_t *bytes, size_t len)
{
    jr_group_t *group = user;
    bool ok = false;

    switch (group->options.kind) {
    case JR_GROUP_RULES: {
        jr_register_t *reg = jr_new_register(group->ctx);

        ok = jr_register_load(reg, bytes, len);
        jr_drop_register(reg);
        break;
    }
    case JR_GROUP_LEDGER: {
        jr_ledger_t *ledger =
            jr_new_ledger(group->ctx, group->options.quorum.group);

        ok = jr_ledger_load(ledger, bytes, len);
        jr_drop_ledger(ledger);
        break;
    }
    case JR_GROUP_JOBS: {
        jr_jobs_t *jobs = jr_new_jobs(group->ctx);

        ok = jr_jobs_load(jobs, bytes, len);
        jr_drop_jobs(jobs);
        break;
    }
    }
    return ok;
}

jr_result_t
jr_group_restore(jr_group_t *group, const uint8_t *bytes, size_t len)
{
    bool ok = false;

    switch (group->options.kind) {
    case JR_GROUP_RULES:
        ok = jr_register_load(group->as.reg, bytes, len);
        if (ok) {
            group->options.hooks.rules(group->options.hooks.user,
                                       jr_register_version(group->as.reg),
                                       jr_register_text(group->as.reg));
        }
        break;
    case JR_GROUP_LEDGER:
        ok = jr_ledger_load(group->as.ledger.ledger, bytes, len);
        break;
    case JR_GROUP_JOBS:
        ok = jr_jobs_load(group->as.jobs.jobs, bytes, len);
        break;
    }
    if (!ok) {
        return jr_fail(
            group->ctx, JR_DAMAGED,
            "group %u: the snapshot of %zu bytes does not contain a valid "
            "state",
            group->options.quorum.group, len);
    }
    return JR_OK;
}
