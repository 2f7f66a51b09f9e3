/* Internal interfaces of jayrelay-entry. */
#ifndef JR_ENTRY_ENTRY_H
#define JR_ENTRY_ENTRY_H

#include <ev.h>
#include <jansson.h>

#include "jayrelay/ask.h"
#include "jayrelay/bus.h"
#include "jayrelay/http.h"
#include "jayrelay/program.h"
#include "jayrelay/relay.h"
#include "jayrelay/rules.h"

enum {
    HTTP_OK = 200,
    HTTP_ACCEPTED = 202,
    HTTP_BAD_REQUEST = 400,
    HTTP_NOT_FOUND = 404,
    HTTP_METHOD_NOT_ALLOWED = 405,
    HTTP_CONFLICT = 409,
    HTTP_UNPROCESSABLE = 422,
    HTTP_TOO_MANY = 429,
    HTTP_BAD_GATEWAY = 502,
    HTTP_UNAVAILABLE = 503,
    HTTP_GATEWAY_TIMEOUT = 504,
};

enum {
    DEADLINE_MAX_MS = 30 * 1000, /* a call with a longer one is refused */
    DEADLINE_DEFAULT_MS = 1000,
    REQUEST_TIMEOUT_MS = 4000,    /* for the reply of a control process */
    RETRY_AFTER_QUORUM_MS = 1000, /* in answers to clients */
};

/* Cached task group of a host's workers; 0 while the request is open. */
typedef struct {
    char *host;
    uint32_t group;
    UT_hash_handle hh;
} jr_home_t;

/* Another entry process, for forwarded calls and slot loans. */
typedef struct {
    const jr_process_t *process;
    int bus_peer;
} jr_entry_peer_t;

typedef struct jr_status_query jr_status_query_t;

typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_settings_t settings;
    jr_bus_t *bus;
    jr_requester_t *requester;
    jr_home_t *homes; /* cached, by host */
    jr_http_t *http;
    jr_client_t *client;
    jr_upstreams_t *upstreams;
    jr_relay_t *relay;
    jr_rules_t *rules;
    char *rules_text;
    /* Peers in other zones, followed by peers in the same zone. */
    jr_entry_peer_t peers[JR_ENTRIES_MAX];
    int n_other_zones;
    int n_own_zone;
    const char *zone_names[JR_ENTRIES_MAX];
    int controls[JR_CONTROLS_MAX]; /* nearest first */
    size_t n_controls;
    size_t next_control;
    int64_t control_last_seen_at; /* ms; latest rules reply of a control */
    uint64_t instance; /* makes request ids unique across restarts */
    uint64_t next_request;
    unsigned n_unanswered; /* exchanges waiting for a reply or a call */
    TAILQ_HEAD(, jr_status_query) status_queries;
    bool is_draining;
    int64_t started_at; /* ms */
    int exit_status;
    ev_timer open;
    ev_timer tick;
    ev_timer poll;
    ev_timer hello;
    ev_timer drain;
    ev_signal sigterm;
    ev_signal sigint;
} jr_entry_t;

/* calls.c */
void jr_entry_on_call(jr_entry_t *entry, jr_exchange_t *exchange,
                      const char *service);
void jr_entry_start_attempt(void *user, jr_call_t *call, int64_t timeout_us);
void jr_entry_finish_call(void *user, jr_call_t *call,
                          const jr_call_outcome_t *outcome);
/* A call received over HTTP, with or without an idempotency key. */
typedef struct jr_entry_call jr_entry_call_t;
void jr_entry_run_call(jr_entry_call_t *c);
void jr_entry_answer_call(jr_entry_call_t *c, unsigned status,
                          const char *extra_header, const void *body,
                          size_t len);

/* tasks.c */
void jr_entry_on_tasks(jr_entry_t *entry, jr_exchange_t *exchange,
                       const char *rest);

/* workers.c */
/* Frees all cached homes. */
void jr_entry_drop_homes(jr_entry_t *entry);
void jr_entry_on_heartbeat(jr_entry_t *entry, jr_exchange_t *exchange);

/* upstreams.c */
void jr_entry_on_announce(jr_entry_t *entry, jr_exchange_t *exchange);
/* Applies an announcement that another entry process passed on. */
void jr_entry_on_peer_announce(jr_entry_t *entry,
                               const Jr__Announce *announce);
void jr_entry_request_loan(void *user, int peer, const char *service,
                           int slots);
void jr_entry_on_loan_ask(jr_entry_t *entry, const jr_route_t *route,
                          const Jr__LoanAsk *ask);
void jr_entry_on_loan_give(jr_entry_t *entry, const Jr__LoanGive *give);

/* rules.c */
void jr_entry_poll_rules(jr_entry_t *entry);
/* Puts rules in force; ignores invalid ones and versions not newer. */
void jr_entry_update_rules(jr_entry_t *entry, uint64_t version,
                           const char *text);
/* Handles a hello that reports the rules version in force at a peer. */
void jr_entry_on_peer_version(jr_entry_t *entry, int peer, uint64_t version);
/* Answers a peer's request for rules newer than its own. */
void jr_entry_send_rules(jr_entry_t *entry, const jr_route_t *route,
                         const Jr__RulesGet *get);
void jr_entry_on_rules(jr_entry_t *entry, jr_exchange_t *exchange);

/* admin.c */
void jr_entry_on_http(void *user, jr_exchange_t *exchange);

/* answer.c */
/* Sends JSON; takes ownership of object. No Retry-After header for 0. */
void jr_answer_json(jr_exchange_t *exchange, unsigned status, json_t *object,
                    int64_t retry_after_ms);
/* Sends an error; outcome is "not-run", "unknown" or "ran". */
void jr_answer_error(jr_exchange_t *exchange, unsigned status,
                     const char *outcome, const char *reason, jr_result_t code,
                     const char *message, int64_t retry_after_ms);
/* Sends an error for a result code; the message defaults to its text. */
void jr_answer_code(jr_entry_t *entry, jr_exchange_t *exchange,
                    jr_result_t code, const char *message);

/* json.c */
/* Parses the body as a JSON object; on failure answers 400, returns NULL. */
json_t *jr_read_json(jr_entry_t *entry, jr_exchange_t *exchange);
/* A string member: "" when missing, NULL when not a string; borrowed. */
const char *jr_json_text(const json_t *object, const char *key);
/*
 * Read members of an object; a missing one reads as "" or 0. Return false
 * when a member has the wrong type, is longer than max bytes or is out of
 * range. Strings are borrowed from the object.
 */
bool jr_json_string(const json_t *object, const char *key, char **to,
                    size_t max);
bool jr_json_number(const json_t *object, const char *key, uint32_t *to);
bool jr_json_resources(const json_t *object, Jr__Resources *to);

/* An exchange to answer when a leader's reply arrives. */
typedef struct {
    jr_entry_t *entry;
    jr_exchange_t *exchange;
} jr_pending_t;

jr_pending_t *jr_new_pending(jr_entry_t *entry, jr_exchange_t *exchange);
void jr_drop_pending(jr_pending_t *pending);

#endif
