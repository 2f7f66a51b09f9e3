/* JSON answers and errors. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

enum { MS_PER_S = 1000 };

void
jr_answer_json(jr_exchange_t *exchange, unsigned status, json_t *object,
               int64_t retry_after_ms)
{
    char *text = json_dumps(object, JSON_COMPACT);
    char seconds[32];
    jr_header_t headers[] = {{"Content-Type", "application/json"},
                             {"Retry-After", seconds}};

    snprintf(seconds, sizeof seconds, "%lld",
             (long long)((retry_after_ms + MS_PER_S - 1) / MS_PER_S));
    jr_http_answer(exchange, status, headers, retry_after_ms > 0 ? 2 : 1,
                   text != NULL ? text : "{}",
                   text != NULL ? strlen(text) : 2);
    free(text);
    json_decref(object);
}

void
jr_answer_error(jr_exchange_t *exchange, unsigned status, const char *outcome,
                const char *reason, jr_result_t code, const char *message,
                int64_t retry_after_ms)
{
    json_t *text = json_string(message != NULL ? message : "");
    json_t *object;

    if (text == NULL) { /* it quotes a text that was cut in a character */
        text = json_string(jr_result_text(code));
    }
    object = json_pack("{s:s, s:s, s:i, s:o}", "outcome", outcome, "reason",
                       reason, "code", (int)code, "message", text);
    if (retry_after_ms > 0) {
        json_object_set_new(object, "retry_after_ms",
                            json_integer(retry_after_ms));
    }
    jr_answer_json(exchange, status, object, retry_after_ms);
}

void
jr_answer_code(jr_entry_t *entry, jr_exchange_t *exchange, jr_result_t code,
               const char *message)
{
    const char *text =
        message != NULL && *message != '\0' ? message : jr_result_text(code);

    switch (code) {
    case JR_NO_QUORUM:
    case JR_NOT_LEADER:
        jr_count(entry->ctx, JR_C_REFUSED_NO_QUORUM);
        jr_answer_error(exchange, HTTP_UNAVAILABLE, "not-run", "no-quorum",
                        code, text, RETRY_AFTER_QUORUM_MS);
        break;
    case JR_UNKNOWN:
        jr_count(entry->ctx, JR_C_CALLS_UNKNOWN);
        jr_answer_error(exchange, HTTP_GATEWAY_TIMEOUT, "unknown", "no-reply",
                        code, text, RETRY_AFTER_QUORUM_MS);
        break;
    case JR_NOT_FOUND:
        jr_answer_error(exchange, HTTP_NOT_FOUND, "not-run", "not-found", code,
                        text, 0);
        break;
    case JR_KEY_REUSED:
        jr_count(entry->ctx, JR_C_REFUSED_KEY_REUSED);
        jr_answer_error(exchange, HTTP_UNPROCESSABLE, "not-run", "key-reused",
                        code, text, 0);
        break;
    case JR_QUOTA:
        jr_count(entry->ctx, JR_C_REFUSED_QUOTA);
        jr_answer_error(exchange, HTTP_TOO_MANY, "not-run", "quota", code,
                        text, RETRY_AFTER_QUORUM_MS);
        break;
    case JR_IN_PROGRESS:
        jr_count(entry->ctx, JR_C_REFUSED_IN_PROGRESS);
        jr_answer_error(exchange, HTTP_CONFLICT, "unknown", "in-progress",
                        code, text, RETRY_AFTER_QUORUM_MS);
        break;
    case JR_WRONG_STATE:
    case JR_RULES_CONFLICT:
    case JR_RULES_OLD:
        jr_answer_error(exchange, HTTP_CONFLICT, "not-run", "conflict", code,
                        text, 0);
        break;
    default:
        jr_count(entry->ctx, JR_C_REFUSED_BAD_REQUEST);
        jr_answer_error(exchange, HTTP_BAD_REQUEST, "not-run", "bad-request",
                        code, text, 0);
        break;
    }
}
