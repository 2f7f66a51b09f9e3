/* Rules: the version in force, exchange with peers, and new versions. */
#include "entry.h"

#include <string.h>

enum { CONTROL_TIMEOUT_MS = 1500 };

/* An older version never replaces a newer one. */
void
jr_entry_update_rules(jr_entry_t *entry, uint64_t version, const char *text)
{
    jr_rules_t *rules;

    if (entry->rules != NULL && version <= entry->rules->version) {
        return;
    }
    rules = jr_new_rules(entry->ctx, text, NULL);
    if (rules == NULL || rules->version != version) {
        jr_drop_rules(rules);
        return;
    }
    jr_drop_rules(entry->rules);
    jr_free(entry->ctx, entry->rules_text);
    entry->rules = rules;
    entry->rules_text = jr_strdup(entry->ctx, text);
    jr_log(entry->ctx, JR_EV_RULES_IN_FORCE, "version %llu",
           (unsigned long long)version);
}

static uint64_t
own_version(const jr_entry_t *entry)
{
    return entry->rules != NULL ? entry->rules->version : 0;
}

static void
request_rules(jr_entry_t *entry, int bus_peer)
{
    Jr__RulesGet get = JR__RULES_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    get.have = own_version(entry);
    request.body_case = JR__REQUEST__BODY_RULES_GET;
    request.rules_get = &get;
    envelope.body_case = JR__ENVELOPE__BODY_REQUEST;
    envelope.request = &request;
    jr_bus_send(entry->bus, bus_peer, &envelope);
}

/*
 * Requests the rules from the peer only when no control process replies;
 * otherwise the poll of a control process gets them directly.
 */
void
jr_entry_on_peer_version(jr_entry_t *entry, int peer, uint64_t version)
{
    bool is_control_lost =
        jr_clock_ms() - entry->control_last_seen_at > CONTROL_TIMEOUT_MS;

    if (version > own_version(entry) && is_control_lost) {
        request_rules(entry, entry->peers[peer].bus_peer);
    }
}

void
jr_entry_send_rules(jr_entry_t *entry, const jr_route_t *route,
                    const Jr__RulesGet *get)
{
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    if (get->have >= own_version(entry)) {
        return;
    }
    text.version = own_version(entry);
    text.text = entry->rules_text;
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    envelope.body_case = JR__ENVELOPE__BODY_REPLY;
    envelope.reply = &reply;
    jr_bus_reply(entry->bus, route, &envelope);
}

void
jr_entry_poll_rules(jr_entry_t *entry)
{
    request_rules(entry,
                  entry->controls[entry->next_control++ % entry->n_controls]);
}

static void
on_apply_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_pending_t *pending = user;
    jr_entry_t *entry = pending->entry;
    const Jr__RulesText *rules =
        reply != NULL && reply->body_case == JR__REPLY__BODY_RULES
            ? reply->rules
            : NULL;

    if (rules == NULL) {
        jr_answer_code(entry, pending->exchange, code,
                       reply != NULL ? reply->message : NULL);
    }
    else {
        /* On a conflict the reply holds the rules that are in force. */
        jr_answer_json(
            pending->exchange, code == JR_OK ? HTTP_OK : HTTP_CONFLICT,
            json_pack("{s:s, s:i, s:s, s:I, s:s}", "outcome",
                      code == JR_OK ? "accepted" : "conflict", "code",
                      (int)code, "message", jr_result_text(code), "version",
                      (json_int_t)rules->version, "in_force", rules->text),
            0);
        jr_entry_update_rules(entry, rules->version, rules->text);
    }
    jr_drop_pending(pending);
}

static void
answer_problems(jr_exchange_t *exchange, const jr_rule_problems_t *problems)
{
    json_t *list = json_array();

    for (size_t i = 0; i < problems->n; i++) {
        const jr_rule_problem_t *p = &problems->problems[i];

        json_array_append_new(list, json_pack("{s:i, s:i, s:s}", "line",
                                              p->line, "column", p->column,
                                              "message", p->text));
    }
    jr_answer_json(exchange, HTTP_BAD_REQUEST,
                   json_pack("{s:s, s:i, s:s, s:o}", "outcome", "not-run",
                             "code", (int)JR_RULES, "message",
                             jr_result_text(JR_RULES), "problems", list),
                   0);
}

static void
apply_rules(jr_entry_t *entry, jr_exchange_t *exchange)
{
    size_t len;
    const char *text = jr_exchange_body(exchange, &len);
    jr_rule_problems_t problems;
    jr_rules_t *rules = jr_new_rules(entry->ctx, text, &problems);
    Jr__RulesApply body = JR__RULES_APPLY__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    if (rules == NULL) {
        jr_count(entry->ctx, JR_C_RULES_REFUSED);
        answer_problems(exchange, &problems);
        return;
    }
    body.version = rules->version;
    body.text = (char *)text;
    request.body_case = JR__REQUEST__BODY_RULES_APPLY;
    request.rules_apply = &body;
    jr_requester_send(entry->requester, &request, REQUEST_TIMEOUT_MS,
                      on_apply_reply, jr_new_pending(entry, exchange));
    jr_drop_rules(rules);
}

static void
show_rules(jr_entry_t *entry, jr_exchange_t *exchange)
{
    jr_answer_json(
        exchange, HTTP_OK,
        json_pack(
            "{s:I, s:s}", "version",
            (json_int_t)(entry->rules != NULL ? entry->rules->version : 0),
            "text", entry->rules_text != NULL ? entry->rules_text : ""),
        0);
}

void
jr_entry_on_rules(jr_entry_t *entry, jr_exchange_t *exchange)
{
    const char *method = jr_exchange_method(exchange);

    if (strcmp(method, "GET") == 0) {
        show_rules(entry, exchange);
    }
    else if (strcmp(method, "POST") == 0) {
        apply_rules(entry, exchange);
    }
    else {
        jr_answer_error(exchange, HTTP_METHOD_NOT_ALLOWED, "not-run", "method",
                        JR_BAD_REQUEST,
                        "method not allowed: expected GET or POST", 0);
    }
}
