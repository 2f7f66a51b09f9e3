/* Requests of other processes and their replies. */
#include "group.h"

#include <string.h>

#include "ledger/convert.h"

enum { RULES_DETAIL_BYTES = 256 };

void
jr_group_send_reply(jr_group_t *group, const jr_ticket_t *ticket,
                    Jr__Reply *reply)
{
    reply->id = ticket->id;
    group->options.hooks.reply(group->options.hooks.user, ticket, reply);
}

void
jr_group_reply_code(jr_group_t *group, const jr_ticket_t *ticket,
                    jr_result_t code, const char *message)
{
    static char none[] = "";
    const jr_member_t *leader = jr_config_find(
        jr_quorum_config(group->quorum), jr_quorum_leader(group->quorum));
    Jr__Reply reply = JR__REPLY__INIT;

    reply.code = (uint32_t)code;
    reply.message = (char *)message;
    reply.leader = leader != NULL ? (char *)leader->name : none;
    jr_group_send_reply(group, ticket, &reply);
}

static void
refuse(jr_group_t *group, const jr_ticket_t *ticket, jr_result_t code)
{
    jr_group_reply_code(group, ticket, code, group->ctx->error.text);
}

static void
refuse_not_leader(jr_group_t *group, const jr_ticket_t *ticket)
{
    jr_group_reply_code(group, ticket, JR_NOT_LEADER,
                        jr_result_text(JR_NOT_LEADER));
}

void
jr_group_propose(jr_group_t *group, const jr_ticket_t *ticket,
                 const uint8_t *bytes, size_t len)
{
    jr_waiter_t *waiter;
    uint64_t index;
    jr_result_t result = jr_quorum_propose(group->quorum, bytes, len, &index);

    if (result != JR_OK) {
        refuse_not_leader(group, ticket);
        return;
    }
    waiter = jr_alloc(group->ctx, sizeof *waiter);
    waiter->index = index;
    waiter->term = jr_quorum_term(group->quorum);
    waiter->ticket = *ticket;
    TAILQ_INSERT_TAIL(&group->waiters, waiter, link);
}

static jr_result_t
check_command(jr_group_t *group, const Jr__LedgerCommand *command)
{
    const Jr__TaskSpec *spec;

    switch (command->body_case) {
    case JR__LEDGER_COMMAND__BODY_SUBMIT:
        spec = command->submit->spec;
        if (spec == NULL || *spec->key == '\0' ||
            strlen(spec->key) >= JR_KEY_BYTES) {
            return jr_fail(group->ctx, JR_BAD_REQUEST,
                           "a task needs a key of 1 to %d bytes",
                           JR_KEY_BYTES - 1);
        }
        return jr_coord_check_submit(group->as.ledger.coord, spec);
    case JR__LEDGER_COMMAND__BODY_CANCEL:
    case JR__LEDGER_COMMAND__BODY_CLAIM_CALL:
    case JR__LEDGER_COMMAND__BODY_CALL_DONE:
        return JR_OK;
    default:
        return jr_fail(group->ctx, JR_BAD_REQUEST,
                       "not a command that other processes may give");
    }
}

/* A repeated submission must get its first answer, whatever the quota. */
static bool
is_repeated_submit(jr_group_t *group, const Jr__LedgerCommand *command)
{
    return command->body_case == JR__LEDGER_COMMAND__BODY_SUBMIT &&
           command->submit->spec != NULL &&
           jr_ledger_find_key(group->as.ledger.ledger,
                              command->submit->spec->key) != NULL;
}

static void
on_command(jr_group_t *group, const jr_ticket_t *ticket,
           Jr__LedgerCommand *command)
{
    jr_result_t result;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, ticket);
        return;
    }
    result = is_repeated_submit(group, command)
                 ? JR_OK
                 : check_command(group, command);
    if (result != JR_OK) {
        refuse(group, ticket, result);
        return;
    }
    bytes = jr_command_pack(group->ctx, command,
                            group->now + group->options.wall_offset, &len);
    jr_group_propose(group, ticket, bytes, len);
    jr_free(group->ctx, bytes);
}

static void
on_rules_apply(jr_group_t *group, const jr_ticket_t *ticket,
               const Jr__RulesApply *apply)
{
    jr_rules_t *rules;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, ticket);
        return;
    }
    rules = jr_new_rules(group->ctx, apply->text, NULL);
    if (rules == NULL || rules->version != apply->version) {
        jr_drop_rules(rules);
        refuse(group, ticket, JR_RULES);
        return;
    }
    jr_drop_rules(rules);
    len = jr__rules_apply__get_packed_size(apply);
    bytes = jr_alloc(group->ctx, len);
    jr__rules_apply__pack(apply, bytes);
    jr_group_propose(group, ticket, bytes, len);
    jr_free(group->ctx, bytes);
}

static void
on_rules_get(jr_group_t *group, const jr_ticket_t *ticket,
             const Jr__RulesGet *get)
{
    static char none[] = "";
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    text.version = jr_register_version(group->as.reg);
    text.text = get->have < text.version
                    ? (char *)jr_register_text(group->as.reg)
                    : none;
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    jr_group_send_reply(group, ticket, &reply);
}

/* A host without a home gets one through the log. */
static void
on_home_get(jr_group_t *group, const jr_ticket_t *ticket,
            const Jr__HomeGet *get)
{
    Jr__RulesApply command = JR__RULES_APPLY__INIT;
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, ticket);
        return;
    }
    text.home = jr_register_home(group->as.reg, get->host);
    if (text.home != 0) {
        reply.body_case = JR__REPLY__BODY_RULES;
        reply.rules = &text;
        jr_group_send_reply(group, ticket, &reply);
        return;
    }
    if (*get->host == '\0') {
        jr_group_reply_code(group, ticket, JR_BAD_REQUEST, "no host");
        return;
    }
    command.host = get->host;
    command.groups = group->options.coord.n_groups;
    len = jr__rules_apply__get_packed_size(&command);
    bytes = jr_alloc(group->ctx, len);
    jr__rules_apply__pack(&command, bytes);
    jr_group_propose(group, ticket, bytes, len);
    jr_free(group->ctx, bytes);
}

static void
on_join(jr_group_t *group, const jr_ticket_t *ticket, const Jr__Join *join)
{
    jr_config_t config = *jr_quorum_config(group->quorum);
    const Jr__Member *from = join->member;
    jr_member_t *slot = &config.members[config.n];
    jr_result_t result;

    if (from == NULL || from->id == 0 ||
        strlen(from->name) >= sizeof slot->name ||
        strlen(from->address) >= sizeof slot->address) {
        jr_group_reply_code(group, ticket, JR_BAD_REQUEST, "not a member");
        return;
    }
    if (!group->is_leading) {
        refuse_not_leader(group, ticket);
        return;
    }
    if (jr_config_find(&config, from->id) != NULL) {
        jr_group_reply_code(group, ticket, JR_OK, "member already");
        return;
    }
    if (config.n == JR_MEMBERS_MAX) {
        jr_group_reply_code(group, ticket, JR_QUOTA, "group is full");
        return;
    }
    *slot = (jr_member_t){.id = from->id, .voter = false};
    g_strlcpy(slot->name, from->name, sizeof slot->name);
    g_strlcpy(slot->address, from->address, sizeof slot->address);
    config.n++;
    result = jr_quorum_propose_config(group->quorum, &config);
    jr_log(group->ctx, JR_EV_MEMBERSHIP, "group %u: %s joins as a learner",
           group->options.quorum.group, from->name);
    jr_group_reply_code(group, ticket, result, jr_result_text(result));
}

/* Keep a read until the leader is confirmed; takes over the request. */
void
jr_group_defer_read(jr_group_t *group, const jr_ticket_t *ticket,
                    const Jr__Request *request)
{
    jr_read_t *read;
    size_t len = jr__request__get_packed_size(request);
    uint8_t *bytes;

    if (!group->is_leading) {
        refuse_not_leader(group, ticket);
        return;
    }
    bytes = jr_alloc(group->ctx, len);
    jr__request__pack(request, bytes);
    read = jr_alloc(group->ctx, sizeof *read);
    read->arrived = group->now;
    read->ticket = *ticket;
    read->request = jr__request__unpack(NULL, len, bytes);
    jr_free(group->ctx, bytes);
    TAILQ_INSERT_TAIL(&group->reads, read, link);
    jr_quorum_request_heartbeat(group->quorum);
}

void
jr_group_request(jr_group_t *group, const jr_ticket_t *ticket,
                 const Jr__Request *request, int64_t now)
{
    bool is_rules = group->options.kind == JR_GROUP_RULES;

    group->now = MAX(group->now, now);
    if (group->options.kind == JR_GROUP_JOBS &&
        jr_group_job_request(group, ticket, request)) {
        return;
    }
    switch (request->body_case) {
    case JR__REQUEST__BODY_COMMAND:
        if (group->options.kind == JR_GROUP_LEDGER) {
            on_command(group, ticket, request->command);
            return;
        }
        break;
    case JR__REQUEST__BODY_TASK_GET:
    case JR__REQUEST__BODY_HEARTBEAT:
        if (group->options.kind == JR_GROUP_LEDGER) {
            jr_group_defer_read(group, ticket, request);
            return;
        }
        break;
    case JR__REQUEST__BODY_RULES_APPLY:
        if (is_rules) {
            on_rules_apply(group, ticket, request->rules_apply);
            return;
        }
        break;
    case JR__REQUEST__BODY_RULES_GET:
        if (is_rules) {
            on_rules_get(group, ticket, request->rules_get);
            return;
        }
        break;
    case JR__REQUEST__BODY_HOME_GET:
        if (is_rules) {
            on_home_get(group, ticket, request->home_get);
            return;
        }
        break;
    case JR__REQUEST__BODY_JOIN:
        on_join(group, ticket, request->join);
        return;
    default:
        break;
    }
    jr_count(group->ctx, JR_C_BUS_BAD);
    jr_group_reply_code(group, ticket, JR_BAD_REQUEST,
                        "not a request for this group");
}

static void
serve_task(jr_group_t *group, const jr_read_t *read)
{
    const jr_task_t *task =
        jr_ledger_task(group->as.ledger.ledger, read->request->task_get->task);
    Jr__LedgerResult result = JR__LEDGER_RESULT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;
    jr_task_message_t message;

    if (task == NULL) {
        jr_group_reply_code(group, &read->ticket, JR_NOT_FOUND,
                            "no such task");
        return;
    }
    jr_task_to_message(task, &message);
    result.task = &message.task;
    reply.body_case = JR__REPLY__BODY_LEDGER;
    reply.ledger = &result;
    jr_group_send_reply(group, &read->ticket, &reply);
}

static void
serve_heartbeat(jr_group_t *group, const jr_read_t *read)
{
    Jr__HeartbeatReply *body = jr_coord_heartbeat(
        group->as.ledger.coord, read->request->heartbeat, read->arrived);
    Jr__Reply reply = JR__REPLY__INIT;

    if (body == NULL) {
        refuse(group, &read->ticket, JR_BAD_REQUEST);
        return;
    }
    reply.body_case = JR__REPLY__BODY_HEARTBEAT;
    reply.heartbeat = body;
    jr_group_send_reply(group, &read->ticket, &reply);
    jr__heartbeat_reply__free_unpacked(body, NULL);
}

static void
free_read(jr_group_t *group, jr_read_t *read)
{
    TAILQ_REMOVE(&group->reads, read, link);
    jr__request__free_unpacked(read->request, NULL);
    jr_free(group->ctx, read);
}

static void
serve_read(jr_group_t *group, const jr_read_t *read)
{
    switch (read->request->body_case) {
    case JR__REQUEST__BODY_HEARTBEAT:
        serve_heartbeat(group, read);
        break;
    case JR__REQUEST__BODY_CONFIG_READ:
        jr_group_serve_config(group, &read->ticket);
        break;
    default:
        serve_task(group, read);
        break;
    }
}

void
jr_group_serve_reads(jr_group_t *group)
{
    int64_t confirmed = jr_quorum_confirmed_at(group->quorum);
    jr_read_t *read;

    while ((read = TAILQ_FIRST(&group->reads)) != NULL &&
           read->arrived <= confirmed) {
        serve_read(group, read);
        free_read(group, read);
    }
}

void
jr_group_fail_waiting(jr_group_t *group)
{
    jr_waiter_t *waiter;
    jr_read_t *read;

    while ((waiter = TAILQ_FIRST(&group->waiters)) != NULL) {
        TAILQ_REMOVE(&group->waiters, waiter, link);
        jr_group_reply_code(group, &waiter->ticket, JR_UNKNOWN,
                            "the leader changed before the outcome was known");
        jr_free(group->ctx, waiter);
    }
    while ((read = TAILQ_FIRST(&group->reads)) != NULL) {
        refuse_not_leader(group, &read->ticket);
        free_read(group, read);
    }
}
