/* Calls: HTTP requests of clients, their attempts and their answers. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "jayrelay/ledger.h"

enum {
    URL_BYTES = 256,
    ID_BYTES = 48,
    ATTEMPT_BYTES = ID_BYTES + 16,
    CLAIM_TIMEOUT_MS = 1500, /* to claim a key, or to store the answer */
    US_PER_MS = 1000,
};

struct jr_entry_call {
    jr_entry_t *entry;
    jr_exchange_t *exchange;
    char service[JR_UPSTREAM_NAME_BYTES];
    char request[ID_BYTES]; /* sent as Jayrelay-Request */
    char *key;              /* claimed idempotency key, or NULL */
    int64_t deadline_at;    /* microseconds */
    int priority;
    bool is_idempotent;
    bool is_forwarded;
    /* Copy of the answer while the ledger stores it under the key. */
    unsigned status;
    char *body;
    size_t len;
};

/* An attempt sent to an upstream or a peer. */
typedef struct {
    jr_entry_t *entry;
    uint64_t call_id;
    uint64_t attempt;
    char attempt_text[ATTEMPT_BYTES];
} attempt_t;

void
jr_entry_answer_call(jr_entry_call_t *c, unsigned status,
                     const char *extra_header, const void *body, size_t len)
{
    const char *attempt = jr_exchange_header(c->exchange, "Jayrelay-Attempt");
    jr_header_t headers[4] = {{"Jayrelay-Request", c->request}};
    size_t n = 1;

    if (attempt != NULL) {
        headers[n++] = (jr_header_t){"Jayrelay-Attempt", attempt};
    }
    if (extra_header != NULL) {
        headers[n++] = (jr_header_t){extra_header, "1"};
    }
    jr_http_answer(c->exchange, status, headers, n, body, len);
    c->exchange = NULL;
}

static void
free_call(jr_entry_call_t *c)
{
    c->entry->n_unanswered--;
    jr_free(c->entry->ctx, c->key);
    jr_free(c->entry->ctx, c->body);
    jr_free(c->entry->ctx, c);
}

/* Echoes the attempt id, which a peer that forwarded the call checks. */
static void
answer_failure(jr_entry_call_t *c, unsigned status, const char *outcome,
               const char *reason, jr_result_t code, int64_t retry_after_ms)
{
    const char *attempt = jr_exchange_header(c->exchange, "Jayrelay-Attempt");
    bool not_run = strcmp(outcome, "not-run") == 0;
    char seconds[32];
    char body[256];
    jr_header_t headers[5] = {
        {"Content-Type", "application/json"},
        {"Jayrelay-Request", c->request},
        {not_run ? "Jayrelay-Not-Run" : "Jayrelay-Unknown", "1"},
        {"Retry-After", seconds},
    };
    size_t n = 4;
    int len = snprintf(body, sizeof body,
                       "{\"outcome\":\"%s\",\"reason\":\"%s\",\"code\":%d,"
                       "\"message\":\"%s\",\"retry_after_ms\":%lld}",
                       outcome, reason, (int)code, jr_result_text(code),
                       (long long)retry_after_ms);

    snprintf(seconds, sizeof seconds, "%lld",
             (long long)((retry_after_ms + 999) / 1000));
    if (attempt != NULL) {
        headers[n++] = (jr_header_t){"Jayrelay-Attempt", attempt};
    }
    jr_http_answer(c->exchange, status, headers, n, body, (size_t)len);
    c->exchange = NULL;
}

static void
ignore_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    (void)user;
    (void)code;
    (void)reply;
}

static void
on_stored(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_entry_call_t *c = user;

    (void)code;
    (void)reply;
    jr_entry_answer_call(c, c->status, NULL, c->body, c->len);
    free_call(c);
}

static void
send_command(jr_entry_call_t *c, Jr__LedgerCommand *command,
             int64_t timeout_ms, jr_reply_handler_t *handler, void *user)
{
    Jr__Request request = JR__REQUEST__INIT;

    request.group = jr_group_of(c->key, c->entry->settings.groups);
    request.body_case = JR__REQUEST__BODY_COMMAND;
    request.command = command;
    jr_requester_send(c->entry->requester, &request, timeout_ms, handler,
                      user);
}

/* Releases the claim of the key, as the call did not run. */
static void
release_key(jr_entry_call_t *c)
{
    Jr__CallDone done = JR__CALL_DONE__INIT;
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;

    done.key = c->key;
    done.request = c->request;
    done.not_run = true;
    command.body_case = JR__LEDGER_COMMAND__BODY_CALL_DONE;
    command.call_done = &done;
    send_command(c, &command, REQUEST_TIMEOUT_MS, ignore_reply, NULL);
}

/*
 * Stores the answer under the key before the client gets it, so that a
 * repeated call gets the same answer. Only the end of the call is recorded
 * when the answer is too long.
 */
static void
store_answer(jr_entry_call_t *c, const jr_fetched_t *fetched)
{
    Jr__CallDone done = JR__CALL_DONE__INIT;
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;

    c->status = fetched->status;
    c->body = jr_memdup(c->entry->ctx, fetched->body, fetched->len);
    c->len = fetched->len;
    done.key = c->key;
    done.request = c->request;
    if (fetched->len <= JR_ANSWER_KEPT_MAX_BYTES) {
        done.status = fetched->status;
        done.body.data = (uint8_t *)c->body;
        done.body.len = c->len;
    }
    command.body_case = JR__LEDGER_COMMAND__BODY_CALL_DONE;
    command.call_done = &done;
    send_command(c, &command, CLAIM_TIMEOUT_MS, on_stored, c);
}

void
jr_entry_finish_call(void *user, jr_call_t *call,
                     const jr_call_outcome_t *outcome)
{
    jr_entry_call_t *c = call->user;
    const jr_fetched_t *fetched;

    (void)user;
    switch (outcome->kind) {
    case JR_OUTCOME_ANSWERED:
        fetched = outcome->as.answered.token;
        if (c->key != NULL) {
            store_answer(c, fetched);
            return;
        }
        jr_entry_answer_call(c, fetched->status, NULL, fetched->body,
                             fetched->len);
        break;
    case JR_OUTCOME_NOT_RUN:
        if (c->key != NULL) {
            release_key(c);
        }
        answer_failure(c,
                       outcome->as.not_run.reason == JR_REFUSE_OVERLOAD ||
                               outcome->as.not_run.reason == JR_REFUSE_SHED
                           ? HTTP_TOO_MANY
                           : HTTP_UNAVAILABLE,
                       "not-run", jr_refusal_name(outcome->as.not_run.reason),
                       jr_refusal_code(outcome->as.not_run.reason),
                       outcome->as.not_run.retry_after_us / US_PER_MS);
        break;
    case JR_OUTCOME_UNKNOWN:
        answer_failure(c, HTTP_GATEWAY_TIMEOUT, "unknown", "no-answer",
                       JR_UNKNOWN, RETRY_AFTER_QUORUM_MS);
        break;
    }
    free_call(c);
}

static jr_attempt_end_t
classify_end(attempt_t *attempt, const jr_fetched_t *fetched)
{
    jr_ctx_t *ctx = attempt->entry->ctx;
    const char *echo;

    switch (fetched->outcome) {
    case JR_FETCH_NOT_CONNECTED:
        return JR_END_NOT_CONNECTED;
    case JR_FETCH_TIMEOUT:
        return JR_END_TIMEOUT;
    case JR_FETCH_BROKEN:
        jr_count(ctx, JR_C_ANSWER_PARTIAL);
        return JR_END_BROKEN;
    case JR_FETCH_ANSWERED:
        break;
    }
    echo = jr_fetched_header(fetched, "Jayrelay-Attempt");
    if (echo == NULL || strcmp(echo, attempt->attempt_text) != 0) {
        jr_count(ctx, JR_C_ANSWER_MISMATCH);
        jr_log(ctx, JR_EV_ANSWER_MISMATCH,
               "answer to attempt %s has the Jayrelay-Attempt header %.100s, "
               "expected the same id",
               attempt->attempt_text, echo != NULL ? echo : "none");
        return JR_END_BROKEN;
    }
    if (jr_fetched_header(fetched, "Jayrelay-Not-Run") != NULL) {
        return JR_END_NOT_RUN;
    }
    if (jr_fetched_header(fetched, "Jayrelay-Unknown") != NULL) {
        return JR_END_BROKEN;
    }
    return fetched->status >= 500 ? JR_END_FAILED : JR_END_ANSWERED;
}

static void
on_fetched(void *user, const jr_fetched_t *fetched)
{
    attempt_t *attempt = user;
    jr_entry_t *entry = attempt->entry;

    jr_relay_end_attempt(entry->relay, attempt->call_id, attempt->attempt,
                         classify_end(attempt, fetched), fetched,
                         jr_clock_us());
    jr_free(entry->ctx, attempt);
}

static void
make_url(const jr_entry_t *entry, const jr_call_t *call, char *url)
{
    const char *address = call->upstream != NULL
                              ? call->upstream->address
                              : entry->peers[call->peer].process->http;

    snprintf(url, URL_BYTES, "http://%s/v1/call/%s", address,
             call->service_name);
}

void
jr_entry_start_attempt(void *user, jr_call_t *call, int64_t timeout_us)
{
    jr_entry_t *entry = user;
    jr_entry_call_t *c = call->user;
    attempt_t *attempt = jr_alloc(entry->ctx, sizeof *attempt);
    char url[URL_BYTES];
    char deadline[32];
    int64_t timeout_ms = MAX(timeout_us / US_PER_MS, 1);
    jr_header_t headers[] = {
        {"Jayrelay-Request", c->request},
        {"Jayrelay-Attempt", attempt->attempt_text},
        {"Jayrelay-Deadline-Ms", deadline},
        {"Jayrelay-Idempotent", call->is_idempotent ? "yes" : "no"},
        {"Jayrelay-Forwarded", "1"},
    };
    jr_fetch_t fetch = {
        .method = "POST",
        .url = url,
        .headers = headers,
        /* Jayrelay-Forwarded goes to peers only. */
        .n_headers = call->upstream != NULL ? 4 : 5,
        .timeout_ms = timeout_ms,
        .is_fresh = !call->is_idempotent,
        .handler = on_fetched,
        .user = attempt,
    };

    attempt->entry = entry;
    attempt->call_id = call->id;
    attempt->attempt = call->attempt;
    snprintf(attempt->attempt_text, sizeof attempt->attempt_text, "%s.%d",
             c->request, call->attempts);
    snprintf(deadline, sizeof deadline, "%lld", (long long)timeout_ms);
    make_url(entry, call, url);
    fetch.body = jr_exchange_body(c->exchange, &fetch.len);
    jr_client_fetch(entry->client, &fetch);
}

void
jr_entry_run_call(jr_entry_call_t *c)
{
    int64_t now = jr_clock_us();

    jr_relay_call(c->entry->relay, c->service, c->priority, c->is_idempotent,
                  c->is_forwarded, MAX(c->deadline_at - now, 0), c, now);
}

static void
replay(jr_entry_call_t *c, const Jr__CallRecord *record)
{
    if (record->status == 0) {
        jr_answer_error(
            c->exchange, HTTP_CONFLICT, "ran", "answer-not-kept", JR_TOO_LARGE,
            "the call ran, but its answer is longer than the 262144 bytes "
            "that are stored under an idempotency key",
            0);
    }
    else {
        jr_entry_answer_call(c, record->status, "Jayrelay-Replayed",
                             record->body.data, record->body.len);
    }
    free_call(c);
}

static void
on_claimed(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_entry_call_t *c = user;
    const Jr__CallRecord *record =
        reply != NULL && reply->body_case == JR__REPLY__BODY_LEDGER
            ? reply->ledger->call
            : NULL;

    if (code == JR_OK && record != NULL && record->done) {
        replay(c, record);
        return;
    }
    if (code == JR_OK && record != NULL) {
        jr_entry_run_call(c);
        return;
    }
    if (code == JR_UNKNOWN) {
        /*
         * The claim may have been stored, but no attempt was sent:
         * release it and report the call as not run.
         */
        release_key(c);
        code = JR_NO_QUORUM;
    }
    jr_answer_code(c->entry, c->exchange, code, NULL);
    free_call(c);
}

static void
claim_key(jr_entry_call_t *c)
{
    Jr__ClaimCall claim = JR__CLAIM_CALL__INIT;
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    int64_t left_ms = (c->deadline_at - jr_clock_us()) / US_PER_MS;
    size_t len;
    const char *body = jr_exchange_body(c->exchange, &len);

    claim.key = c->key;
    claim.body_hash = XXH64(body, len, 0);
    claim.request = c->request;
    command.body_case = JR__LEDGER_COMMAND__BODY_CLAIM_CALL;
    command.claim_call = &claim;
    send_command(c, &command, MIN(left_ms, CLAIM_TIMEOUT_MS), on_claimed, c);
}

/* Milliseconds; the service's target by default, -1 when not valid. */
static int64_t
read_deadline(jr_exchange_t *exchange, const jr_service_rule_t *rule)
{
    const char *text = jr_exchange_header(exchange, "Jayrelay-Deadline-Ms");
    char *end;
    long long value;

    if (text == NULL) {
        return rule != NULL ? rule->target_ms : DEADLINE_DEFAULT_MS;
    }
    value = strtoll(text, &end, 10);
    if (end == text || *end != '\0' || value <= 0 || value > DEADLINE_MAX_MS) {
        return -1;
    }
    return value;
}

static jr_entry_call_t *
new_call(jr_entry_t *entry, jr_exchange_t *exchange, const char *service,
         const char *key)
{
    jr_entry_call_t *c = jr_alloc(entry->ctx, sizeof *c);
    const char *idempotent =
        jr_exchange_header(exchange, "Jayrelay-Idempotent");
    const char *request = jr_exchange_header(exchange, "Jayrelay-Request");

    c->entry = entry;
    c->exchange = exchange;
    g_strlcpy(c->service, service, sizeof c->service);
    c->is_idempotent = idempotent != NULL && strcmp(idempotent, "yes") == 0;
    c->is_forwarded =
        jr_exchange_header(exchange, "Jayrelay-Forwarded") != NULL;
    if (c->is_forwarded && request != NULL && strlen(request) < ID_BYTES) {
        g_strlcpy(c->request, request, sizeof c->request);
    }
    else {
        snprintf(c->request, sizeof c->request, "%llx-%llx",
                 (unsigned long long)entry->instance,
                 (unsigned long long)++entry->next_request);
    }
    if (key != NULL) {
        c->key = jr_alloc(entry->ctx, strlen(service) + strlen(key) + 2);
        sprintf(c->key, "%s/%s", service, key);
    }
    entry->n_unanswered++;
    return c;
}

void
jr_entry_on_call(jr_entry_t *entry, jr_exchange_t *exchange,
                 const char *service)
{
    const jr_service_rule_t *rule =
        entry->rules != NULL ? jr_rules_service(entry->rules, service) : NULL;
    const char *key = jr_exchange_header(exchange, "Idempotency-Key");
    int64_t deadline_ms = read_deadline(exchange, rule);
    jr_entry_call_t *c;

    if (entry->rules == NULL) {
        jr_count(entry->ctx, JR_C_REFUSED_STARTING);
        jr_answer_error(exchange, HTTP_UNAVAILABLE, "not-run", "starting",
                        JR_OVERLOADED,
                        "this process has not received any rules yet",
                        RETRY_AFTER_QUORUM_MS);
        return;
    }
    if (rule == NULL) {
        jr_answer_code(
            entry, exchange, JR_NOT_FOUND,
            "no such service: the rules in force do not declare it");
        return;
    }
    if (deadline_ms < 0 ||
        (key != NULL && (*key == '\0' || strlen(key) >= JR_KEY_BYTES))) {
        jr_answer_code(
            entry, exchange, JR_BAD_REQUEST,
            "invalid call header: Jayrelay-Deadline-Ms must be an integer "
            "from 1 to 30000, Idempotency-Key must have 1 to 127 bytes");
        return;
    }
    c = new_call(entry, exchange, service, key);
    c->priority = rule->priority;
    c->deadline_at = jr_clock_us() + deadline_ms * US_PER_MS;
    if (c->key != NULL) {
        claim_key(c);
    }
    else {
        jr_entry_run_call(c);
    }
}
