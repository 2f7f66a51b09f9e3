/* HTTP request routing, status, metrics and health checks. */
#include "admin.h"

#include <string.h>

#include "jayrelay/metrics.h"

enum { STATUS_TIMEOUT_MS = 400 };

/* Set only in ids of status requests; jr_requester_send() uses lower ids. */
static const uint64_t STATUS_ID = (uint64_t)1 << 63;

/* A status request, answered when all controls replied or on time-out. */
struct jr_status_query {
    TAILQ_ENTRY(jr_status_query) link;
    jr_entry_t *entry;
    jr_exchange_t *exchange;
    uint64_t id;
    size_t missing;
    json_t *controls;
    ev_timer timer;
};

/* A host that lost its disk has a new replica under the same name. */
static json_t *
member_to_json(const Jr__Member *member)
{
    char replica[sizeof "0123456789abcdef"];

    snprintf(replica, sizeof replica, "%016llx",
             (unsigned long long)member->id);
    return json_pack("{s:s, s:s, s:b}", "name", member->name, "replica",
                     replica, "voter", (int)member->voter);
}

static json_t *
group_to_json(const Jr__GroupStatus *group)
{
    json_t *members = json_array();

    for (size_t i = 0; group->config != NULL && i < group->config->n_members;
         i++) {
        const Jr__Member *m = group->config->members[i];

        json_array_append_new(members, member_to_json(m));
    }
    return json_pack(
        "{s:i, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:o}",
        "group", (int)group->group, "role", group->role, "leader",
        group->leader, "term", (json_int_t)group->term, "commit",
        (json_int_t)group->commit, "applied", (json_int_t)group->applied,
        "queued", (json_int_t)group->queued, "leased",
        (json_int_t)group->leased, "ended", (json_int_t)group->ended,
        "workers", (json_int_t)group->workers, "voters_whole",
        (int)group->voters_whole, "members", members);
}

static json_t *
control_to_json(const Jr__StatusReply *status)
{
    json_t *groups = json_array();

    for (size_t i = 0; i < status->n_groups; i++) {
        json_array_append_new(groups, group_to_json(status->groups[i]));
    }
    return json_pack("{s:s, s:s, s:I, s:o}", "name", status->name, "zone",
                     status->zone, "rules_version",
                     (json_int_t)status->rules_version, "groups", groups);
}

static json_t *
upstreams_to_json(jr_entry_t *entry)
{
    json_t *list = json_array();
    int64_t now = jr_clock_us();
    jr_upstream_t *u, *next;

    HASH_ITER (hh, entry->upstreams->by_name, u, next) {
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:b, s:f}",
                      "name", u->name, "address", u->address, "zone", u->zone,
                      "slots", u->slots, "share", u->share, "in_use",
                      u->in_use, "lent", u->lent, "borrowed", u->borrowed,
                      "open", (int)jr_upstream_is_available(u, now),
                      "latency_ms", u->latency_us / 1000.0));
    }
    return list;
}

static void
answer_status(jr_status_query_t *query)
{
    jr_entry_t *entry = query->entry;

    ev_timer_stop(entry->loop, &query->timer);
    jr_answer_json(
        query->exchange, HTTP_OK,
        json_pack(
            "{s:s, s:s, s:I, s:b, s:o, s:o}", "name", entry->settings.name,
            "zone", entry->settings.zone, "rules_version",
            (json_int_t)(entry->rules != NULL ? entry->rules->version : 0),
            "draining", (int)entry->is_draining, "controls", query->controls,
            "upstreams", upstreams_to_json(entry)),
        0);
    TAILQ_REMOVE(&entry->status_queries, query, link);
    entry->n_unanswered--;
    jr_free(entry->ctx, query);
}

static void
on_status_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    answer_status(timer->data);
}

bool
jr_entry_on_status_reply(jr_entry_t *entry, const Jr__Reply *reply)
{
    jr_status_query_t *query;

    if (reply->body_case != JR__REPLY__BODY_STATUS) {
        return false;
    }
    TAILQ_FOREACH (query, &entry->status_queries, link) {
        if (query->id == reply->id) {
            json_array_append_new(query->controls,
                                  control_to_json(reply->status));
            if (--query->missing == 0) {
                answer_status(query);
            }
            break;
        }
    }
    return true;
}

static void
request_status(jr_entry_t *entry, jr_exchange_t *exchange)
{
    Jr__StatusGet get = JR__STATUS_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;
    jr_status_query_t *query = jr_alloc(entry->ctx, sizeof *query);

    query->entry = entry;
    query->exchange = exchange;
    query->id = STATUS_ID | ++entry->next_request;
    query->controls = json_array();
    request.id = query->id;
    request.body_case = JR__REQUEST__BODY_STATUS_GET;
    request.status_get = &get;
    envelope.body_case = JR__ENVELOPE__BODY_REQUEST;
    envelope.request = &request;
    for (size_t i = 0; i < entry->n_controls; i++) {
        query->missing +=
            jr_bus_send(entry->bus, entry->controls[i], &envelope);
    }
    entry->n_unanswered++;
    TAILQ_INSERT_TAIL(&entry->status_queries, query, link);
    ev_timer_init(&query->timer, on_status_timer,
                  query->missing > 0 ? STATUS_TIMEOUT_MS / 1000.0 : 0.0, 0.0);
    query->timer.data = query;
    ev_timer_start(entry->loop, &query->timer);
}

static void
answer_text(jr_exchange_t *exchange, unsigned status, const char *text)
{
    jr_http_answer(exchange, status, NULL, 0, text, strlen(text));
}

static void
answer_metrics(jr_entry_t *entry, jr_exchange_t *exchange)
{
    jr_gauge_t gauges[] = {
        {.name = "rules_version",
         .help = "rules version in force",
         .value = entry->rules != NULL ? (double)entry->rules->version : 0.0},
        {.name = "calls_open",
         .help = "calls without a verdict",
         .value = (double)jr_relay_count_calls(entry->relay)},
        {.name = "upstreams",
         .help = "upstreams known",
         .value = (double)HASH_COUNT(entry->upstreams->by_name)},
    };
    char *text =
        jr_metrics_text(entry->ctx, gauges, sizeof gauges / sizeof gauges[0]);

    answer_text(exchange, HTTP_OK, text);
    jr_free(entry->ctx, text);
}

static void
on_post_only(jr_entry_t *entry, jr_exchange_t *exchange,
             void (*handler)(jr_entry_t *entry, jr_exchange_t *exchange))
{
    if (strcmp(jr_exchange_method(exchange), "POST") == 0) {
        handler(entry, exchange);
    }
    else {
        jr_answer_error(exchange, HTTP_METHOD_NOT_ALLOWED, "not-run", "method",
                        JR_BAD_REQUEST, "method not allowed: expected POST",
                        0);
    }
}

static bool
skip_prefix(const char *path, const char *prefix, const char **rest)
{
    size_t len = strlen(prefix);

    *rest = path + len;
    return strncmp(path, prefix, len) == 0;
}

static void
on_call_path(jr_entry_t *entry, jr_exchange_t *exchange, const char *service)
{
    if (strcmp(jr_exchange_method(exchange), "POST") != 0) {
        jr_answer_error(exchange, HTTP_METHOD_NOT_ALLOWED, "not-run", "method",
                        JR_BAD_REQUEST, "method not allowed: expected POST",
                        0);
    }
    else if (*service == '\0' || strchr(service, '/') != NULL ||
             strlen(service) >= JR_UPSTREAM_NAME_BYTES) {
        jr_answer_code(
            entry, exchange, JR_NOT_FOUND,
            "no such service: expected /v1/call/SERVICE with a name of "
            "1 to 63 bytes without a slash");
    }
    else {
        jr_entry_on_call(entry, exchange, service);
    }
}

void
jr_entry_on_http(void *user, jr_exchange_t *exchange)
{
    jr_entry_t *entry = user;
    const char *path = jr_exchange_path(exchange);
    const char *rest;

    if (skip_prefix(path, "/v1/call/", &rest)) {
        on_call_path(entry, exchange, rest);
    }
    else if (strcmp(path, "/v1/upstreams") == 0) {
        on_post_only(entry, exchange, jr_entry_on_announce);
    }
    else if (strcmp(path, "/v1/workers/heartbeat") == 0) {
        on_post_only(entry, exchange, jr_entry_on_heartbeat);
    }
    else if (skip_prefix(path, "/v1/tasks", &rest) &&
             (*rest == '\0' || *rest == '/')) {
        jr_entry_on_tasks(entry, exchange, rest);
    }
    else if (strcmp(path, "/v1/rules") == 0) {
        jr_entry_on_rules(entry, exchange);
    }
    else if (strcmp(path, "/v1/status") == 0) {
        request_status(entry, exchange);
    }
    else if (strcmp(path, "/metrics") == 0) {
        answer_metrics(entry, exchange);
    }
    else if (strcmp(path, "/healthz") == 0) {
        answer_text(exchange, HTTP_OK, "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = !entry->is_draining && entry->rules != NULL;

        answer_text(exchange, ready ? HTTP_OK : HTTP_UNAVAILABLE,
                    ready ? "ready\n"
                          : "not ready: draining, or no rules received yet\n");
    }
    else {
        jr_answer_code(
            entry, exchange, JR_NOT_FOUND,
            "no such path: expected /v1/call/SERVICE, /v1/upstreams, "
            "/v1/workers/heartbeat, /v1/tasks, /v1/tasks/ID, /v1/rules, "
            "/v1/status, /metrics, /healthz or /readyz");
    }
}
