/* Requests from other processes and the replies to them. */
#include "group.h"

#include <string.h>

#include "ledger/convert.h"

enum { RULES_DETAIL_BYTES = 256 };

void
jr_group_send_reply(jr_group_t *group, const jr_reply_address_t *reply_to,
                    Jr__Reply *reply)
{
    reply->id = reply_to->id;
    group->options.hooks.reply(group->options.hooks.user, reply_to, reply);
}

void
jr_group_reply_code(jr_group_t *group, const jr_reply_address_t *reply_to,
                    jr_result_t code, const char *message)
{
    static char empty[] = "";
    const jr_member_t *leader = jr_config_find(
        jr_quorum_config(group->quorum), jr_quorum_leader(group->quorum));
    Jr__Reply reply = JR__REPLY__INIT;

    reply.code = (uint32_t)code;
    reply.message = (char *)message;
    reply.leader = leader != NULL ? (char *)leader->name : empty;
    jr_group_send_reply(group, reply_to, &reply);
}

static void
refuse(jr_group_t *group, const jr_reply_address_t *reply_to, jr_result_t code)
{
    jr_group_reply_code(group, reply_to, code, group->ctx->error.text);
}

static void
refuse_not_leader(jr_group_t *group, const jr_reply_address_t *reply_to)
{
    jr_group_reply_code(group, reply_to, JR_NOT_LEADER,
                        jr_result_text(JR_NOT_LEADER));
}

jr_pending_reply_t *
jr_group_propose(jr_group_t *group, const jr_reply_address_t *reply_to,
                 const uint8_t *bytes, size_t len)
{
    jr_pending_reply_t *pending;
    uint64_t index;
    jr_result_t result = jr_quorum_propose(group->quorum, bytes, len, &index);

    if (result != JR_OK) {
        refuse_not_leader(group, reply_to);
        return NULL;
    }
    pending = jr_alloc(group->ctx, sizeof *pending);
    pending->index = index;
    pending->term = jr_quorum_term(group->quorum);
    pending->reply_to = *reply_to;
    TAILQ_INSERT_TAIL(&group->pending_replies, pending, link);
    return pending;
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
                           "task key '%.40s' has %zu bytes, expected 1 to %d",
                           spec != NULL ? spec->key : "",
                           spec != NULL ? strlen(spec->key) : 0,
                           JR_KEY_BYTES - 1);
        }
        return jr_coord_check_submit(group->as.ledger.coord, spec);
    case JR__LEDGER_COMMAND__BODY_CANCEL:
    case JR__LEDGER_COMMAND__BODY_CLAIM_CALL:
    case JR__LEDGER_COMMAND__BODY_CALL_DONE:
        return JR_OK;
    default:
        return jr_fail(group->ctx, JR_BAD_REQUEST,
                       "unexpected ledger command with field number %d; "
                       "expected submit, cancel, claim_call or call_done",
                       (int)command->body_case);
    }
}

/*
 * A repeated submission gets the reply to the first one, so it is not checked
 * against rules and quota again.
 */
static bool
is_repeated_submit(jr_group_t *group, const Jr__LedgerCommand *command)
{
    return command->body_case == JR__LEDGER_COMMAND__BODY_SUBMIT &&
           command->submit->spec != NULL &&
           jr_ledger_find_key(group->as.ledger.ledger,
                              command->submit->spec->key) != NULL;
}

static void
on_command(jr_group_t *group, const jr_reply_address_t *reply_to,
           Jr__LedgerCommand *command)
{
    jr_result_t result;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, reply_to);
        return;
    }
    result = is_repeated_submit(group, command)
                 ? JR_OK
                 : check_command(group, command);
    if (result != JR_OK) {
        refuse(group, reply_to, result);
        return;
    }
    bytes = jr_command_pack(group->ctx, command,
                            group->now + group->options.wall_offset, &len);
    jr_group_propose(group, reply_to, bytes, len);
    jr_free(group->ctx, bytes);
}

static void
on_rules_apply(jr_group_t *group, const jr_reply_address_t *reply_to,
               const Jr__RulesApply *apply)
{
    jr_rules_t *rules;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, reply_to);
        return;
    }
    rules = jr_new_rules(group->ctx, apply->text, NULL);
    if (rules == NULL || rules->version != apply->version) {
        jr_drop_rules(rules);
        refuse(group, reply_to, JR_RULES);
        return;
    }
    jr_drop_rules(rules);
    len = jr__rules_apply__get_packed_size(apply);
    bytes = jr_alloc(group->ctx, len);
    jr__rules_apply__pack(apply, bytes);
    jr_group_propose(group, reply_to, bytes, len);
    jr_free(group->ctx, bytes);
}

static void
on_rules_get(jr_group_t *group, const jr_reply_address_t *reply_to,
             const Jr__RulesGet *get)
{
    static char empty[] = "";
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    text.version = jr_register_version(group->as.reg);
    text.text = get->have < text.version
                    ? (char *)jr_register_text(group->as.reg)
                    : empty;
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    jr_group_send_reply(group, reply_to, &reply);
}

/*
 * Replies with the home group of a host. A host that has none is assigned one
 * through the log.
 */
static void
on_home_get(jr_group_t *group, const jr_reply_address_t *reply_to,
            const Jr__HomeGet *get)
{
    Jr__RulesApply command = JR__RULES_APPLY__INIT;
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;
    uint8_t *bytes;
    size_t len;

    if (!group->is_leading) {
        refuse_not_leader(group, reply_to);
        return;
    }
    text.home = jr_register_home(group->as.reg, get->host);
    if (text.home != 0) {
        reply.body_case = JR__REPLY__BODY_RULES;
        reply.rules = &text;
        jr_group_send_reply(group, reply_to, &reply);
        return;
    }
    if (*get->host == '\0') {
        jr_group_reply_code(
            group, reply_to, JR_BAD_REQUEST,
            "home request has an empty host name, expected at least 1 byte");
        return;
    }
    command.host = get->host;
    command.groups = group->options.coord.n_groups;
    len = jr__rules_apply__get_packed_size(&command);
    bytes = jr_alloc(group->ctx, len);
    jr__rules_apply__pack(&command, bytes);
    jr_group_propose(group, reply_to, bytes, len);
    jr_free(group->ctx, bytes);
}

/* The replica sends its request again, with the ticket. */
static void
offer_ticket(jr_group_t *group, const jr_reply_address_t *reply_to)
{
    jr_join_ticket_t ticket = jr_quorum_join_ticket(group->quorum);
    Jr__JoinTicket body = JR__JOIN_TICKET__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    body.term = ticket.term;
    body.config_index = ticket.config_index;
    reply.code = JR_IN_PROGRESS;
    reply.message = group->ctx->error.text;
    reply.body_case = JR__REPLY__BODY_JOIN_TICKET;
    reply.join_ticket = &body;
    jr_group_send_reply(group, reply_to, &reply);
}

static void
on_join(jr_group_t *group, const jr_reply_address_t *reply_to,
        const Jr__Join *join)
{
    const Jr__Member *from = join->member;
    jr_member_t member = {0};
    jr_join_ticket_t ticket = {0};
    jr_result_t result;

    if (from == NULL || from->id == 0 ||
        strlen(from->name) >= sizeof member.name ||
        strlen(from->address) >= sizeof member.address) {
        jr_group_reply_code(
            group, reply_to, JR_BAD_REQUEST,
            "invalid join request: expected a member with a nonzero id, and "
            "a name and an address of at most 63 bytes each");
        return;
    }
    if (!group->is_leading) {
        refuse_not_leader(group, reply_to);
        return;
    }
    member.id = from->id;
    g_strlcpy(member.name, from->name, sizeof member.name);
    g_strlcpy(member.address, from->address, sizeof member.address);
    if (join->ticket != NULL) {
        ticket.term = join->ticket->term;
        ticket.config_index = join->ticket->config_index;
    }
    result = jr_quorum_join(group->quorum, &member, &ticket);
    if (result == JR_IN_PROGRESS) {
        offer_ticket(group, reply_to);
        return;
    }
    if (result != JR_OK) {
        refuse(group, reply_to, result);
        return;
    }
    jr_group_reply_code(group, reply_to, JR_OK, jr_result_text(JR_OK));
}

void
jr_group_defer_read(jr_group_t *group, const jr_reply_address_t *reply_to,
                    const Jr__Request *request)
{
    jr_read_t *read;
    size_t len = jr__request__get_packed_size(request);
    uint8_t *bytes;

    if (!group->is_leading) {
        refuse_not_leader(group, reply_to);
        return;
    }
    bytes = jr_alloc(group->ctx, len);
    jr__request__pack(request, bytes);
    read = jr_alloc(group->ctx, sizeof *read);
    read->arrived = group->now;
    read->reply_to = *reply_to;
    read->request = jr__request__unpack(NULL, len, bytes);
    jr_free(group->ctx, bytes);
    TAILQ_INSERT_TAIL(&group->reads, read, link);
    jr_quorum_request_heartbeat(group->quorum);
}

void
jr_group_request(jr_group_t *group, const jr_reply_address_t *reply_to,
                 const Jr__Request *request, int64_t now)
{
    bool is_rules = group->options.kind == JR_GROUP_RULES;

    group->now = MAX(group->now, now);
    if (group->options.kind == JR_GROUP_JOBS &&
        jr_group_job_request(group, reply_to, request)) {
        return;
    }
    switch (request->body_case) {
    case JR__REQUEST__BODY_COMMAND:
        if (group->options.kind == JR_GROUP_LEDGER) {
            on_command(group, reply_to, request->command);
            return;
        }
        break;
    case JR__REQUEST__BODY_TASK_GET:
    case JR__REQUEST__BODY_HEARTBEAT:
        if (group->options.kind == JR_GROUP_LEDGER) {
            jr_group_defer_read(group, reply_to, request);
            return;
        }
        break;
    case JR__REQUEST__BODY_RULES_APPLY:
        if (is_rules) {
            on_rules_apply(group, reply_to, request->rules_apply);
            return;
        }
        break;
    case JR__REQUEST__BODY_RULES_GET:
        if (is_rules) {
            on_rules_get(group, reply_to, request->rules_get);
            return;
        }
        break;
    case JR__REQUEST__BODY_HOME_GET:
        if (is_rules) {
            on_home_get(group, reply_to, request->home_get);
            return;
        }
        break;
    case JR__REQUEST__BODY_JOIN:
        on_join(group, reply_to, request->join);
        return;
    default:
        break;
    }
    jr_count(group->ctx, JR_C_BUS_BAD);
    jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                        "request type not supported by this group");
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
        jr_group_reply_code(group, &read->reply_to, JR_NOT_FOUND,
                            "task not found in the ledger of this group");
        return;
    }
    jr_task_to_message(task, &message);
    result.task = &message.task;
    reply.body_case = JR__REPLY__BODY_LEDGER;
    reply.ledger = &result;
    jr_group_send_reply(group, &read->reply_to, &reply);
}

static void
serve_heartbeat(jr_group_t *group, const jr_read_t *read)
{
    Jr__HeartbeatReply *body = jr_coord_heartbeat(
        group->as.ledger.coord, read->request->heartbeat, read->arrived);
    Jr__Reply reply = JR__REPLY__INIT;

    if (body == NULL) {
        refuse(group, &read->reply_to, JR_BAD_REQUEST);
        return;
    }
    reply.body_case = JR__REPLY__BODY_HEARTBEAT;
    reply.heartbeat = body;
    jr_group_send_reply(group, &read->reply_to, &reply);
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
        jr_group_serve_config(group, &read->reply_to);
        break;
    case JR__REQUEST__BODY_JOB_ASK:
        jr_group_serve_ask(group, &read->reply_to, read->request->job_ask);
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
jr_group_fail_pending(jr_group_t *group)
{
    jr_pending_reply_t *pending;
    jr_read_t *read;

    while ((pending = TAILQ_FIRST(&group->pending_replies)) != NULL) {
        TAILQ_REMOVE(&group->pending_replies, pending, link);
        jr_group_reply_code(group, &pending->reply_to, JR_UNKNOWN,
                            "outcome unknown: this replica stepped down or "
                            "closed before the command was applied");
        jr_free(group->ctx, pending);
    }
    while ((read = TAILQ_FIRST(&group->reads)) != NULL) {
        refuse_not_leader(group, &read->reply_to);
        free_read(group, read);
    }
}
