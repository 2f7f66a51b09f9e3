/* JSON request bodies, and exchanges that wait for a leader's reply. */
#include "entry.h"

#include <string.h>

/* Largest integer accepted in a request body. */
enum { NUMBER_MAX = 1000 * 1000 * 1000 };

json_t *
jr_read_json(jr_entry_t *entry, jr_exchange_t *exchange)
{
    size_t len;
    const char *body = jr_exchange_body(exchange, &len);
    json_error_t error;
    json_t *object = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);
    char text[JSON_ERROR_TEXT_LENGTH + 64];

    if (object == NULL) {
        snprintf(text, sizeof text,
                 "invalid JSON body: line %d, column %d: %s", error.line,
                 error.column, error.text);
        jr_answer_code(entry, exchange, JR_BAD_REQUEST, text);
        return NULL;
    }
    if (!json_is_object(object)) {
        json_decref(object);
        jr_answer_code(entry, exchange, JR_BAD_REQUEST,
                       "invalid request body: expected a JSON object, got "
                       "another type of JSON value");
        return NULL;
    }
    return object;
}

const char *
jr_json_text(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    if (value == NULL) {
        return "";
    }
    return json_string_value(value);
}

bool
jr_json_number(const json_t *object, const char *key, uint32_t *to)
{
    const json_t *value = json_object_get(object, key);
    json_int_t number;

    if (value == NULL) {
        *to = 0;
        return true;
    }
    number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > NUMBER_MAX) {
        return false;
    }
    *to = (uint32_t)number;
    return true;
}

bool
jr_json_resources(const json_t *object, Jr__Resources *to)
{
    jr__resources__init(to);
    return object == NULL ||
           (json_is_object(object) &&
            jr_json_number(object, "cpu_milli", &to->cpu_milli) &&
            jr_json_number(object, "memory_mb", &to->memory_mb) &&
            jr_json_number(object, "accelerators", &to->accelerators));
}

bool
jr_json_string(const json_t *object, const char *key, char **to, size_t max)
{
    const char *text = jr_json_text(object, key);

    if (text == NULL || strlen(text) > max) {
        return false;
    }
    *to = (char *)text;
    return true;
}

jr_pending_t *
jr_new_pending(jr_entry_t *entry, jr_exchange_t *exchange)
{
    jr_pending_t *pending = jr_alloc(entry->ctx, sizeof *pending);

    pending->entry = entry;
    pending->exchange = exchange;
    entry->n_unanswered++;
    return pending;
}

void
jr_drop_pending(jr_pending_t *pending)
{
    pending->entry->n_unanswered--;
    jr_free(pending->entry->ctx, pending);
}
