/*
 * Framing of log records and snapshots: length (4 bytes), checksum (8
 * bytes), both little-endian, then the packed record.
 */
#include "store.h"

#include <string.h>
#include <xxhash.h>

#include "core.h"

enum {
    LENGTH_BYTES = 4,
    CHECKSUM_BYTES = 8,
    HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES,
};

static void
append_framed(GByteArray *to, const uint8_t *bytes, size_t len)
{
    uint32_t length = GUINT32_TO_LE((uint32_t)len);
    uint64_t checksum = GUINT64_TO_LE(XXH64(bytes, len, len));

    g_byte_array_append(to, (const uint8_t *)&length, LENGTH_BYTES);
    g_byte_array_append(to, (const uint8_t *)&checksum, CHECKSUM_BYTES);
    g_byte_array_append(to, bytes, (guint)len);
}

/* The payload of a valid frame at the start of the bytes, or NULL. */
static const uint8_t *
read_frame(const uint8_t *bytes, size_t len, size_t *payload_len)
{
    uint32_t length;
    uint64_t checksum;

    if (len < HEADER_BYTES) {
        return NULL;
    }
    memcpy(&length, bytes, LENGTH_BYTES);
    memcpy(&checksum, bytes + LENGTH_BYTES, CHECKSUM_BYTES);
    length = GUINT32_FROM_LE(length);
    if (length > len - HEADER_BYTES) {
        return NULL;
    }
    bytes += HEADER_BYTES;
    if (XXH64(bytes, length, length) != GUINT64_FROM_LE(checksum)) {
        return NULL;
    }
    *payload_len = length;
    return bytes;
}

static void
append_record(GByteArray *to, const Jr__Record *record)
{
    size_t len = jr__record__get_packed_size(record);
    uint8_t *bytes = g_malloc(len + 1);

    jr__record__pack(record, bytes);
    append_framed(to, bytes, len);
    g_free(bytes);
}

void
jr_record_append_hard_state(GByteArray *to, uint64_t term, uint64_t voted_for)
{
    Jr__HardState hard = JR__HARD_STATE__INIT;
    Jr__Record record = JR__RECORD__INIT;

    hard.term = term;
    hard.voted_for = voted_for;
    record.body_case = JR__RECORD__BODY_HARD;
    record.hard = &hard;
    append_record(to, &record);
}

void
jr_record_append_entry(GByteArray *to, const jr_entry_t *entry)
{
    Jr__Entry message = JR__ENTRY__INIT;
    Jr__Record record = JR__RECORD__INIT;

    message.index = entry->index;
    message.term = entry->term;
    message.kind = (Jr__Entry__Kind)entry->kind;
    message.data.data = entry->data;
    message.data.len = entry->len;
    record.body_case = JR__RECORD__BODY_ENTRY;
    record.entry = &message;
    append_record(to, &record);
}

void
jr_record_append_synced(GByteArray *to, uint64_t bytes)
{
    Jr__Synced synced = JR__SYNCED__INIT;
    Jr__Record record = JR__RECORD__INIT;

    synced.bytes = bytes;
    record.body_case = JR__RECORD__BODY_SYNCED;
    record.synced = &synced;
    append_record(to, &record);
}

static bool
deliver_record(const uint8_t *bytes, size_t len,
               const jr_store_callbacks_t *callbacks)
{
    Jr__Record *record = jr__record__unpack(NULL, len, bytes);
    bool is_known = record != NULL;

    if (record == NULL) {
        return false;
    }
    switch (record->body_case) {
    case JR__RECORD__BODY_HARD:
        callbacks->hard_state(callbacks->user, record->hard->term,
                              record->hard->voted_for);
        break;
    case JR__RECORD__BODY_ENTRY: {
        jr_entry_t entry = {
            .index = record->entry->index,
            .term = record->entry->term,
            .kind = (jr_entry_kind_t)record->entry->kind,
            .data = record->entry->data.data,
            .len = record->entry->data.len,
        };

        callbacks->entry(callbacks->user, &entry);
        break;
    }
    case JR__RECORD__BODY_SYNCED:
        break;
    default:
        is_known = false;
        break;
    }
    jr__record__free_unpacked(record, NULL);
    return is_known;
}

size_t
jr_record_read(const uint8_t *bytes, size_t len,
               const jr_store_callbacks_t *callbacks)
{
    size_t done = 0;

    while (done < len) {
        size_t payload_len;
        const uint8_t *payload =
            read_frame(bytes + done, len - done, &payload_len);

        if (payload == NULL ||
            !deliver_record(payload, payload_len, callbacks)) {
            break;
        }
        done += HEADER_BYTES + payload_len;
    }
    return done;
}

/* Is it a record of how much was synced? */
static bool
read_synced(const uint8_t *payload, size_t len, uint64_t *synced)
{
    Jr__Record *record = jr__record__unpack(NULL, len, payload);
    bool is_synced =
        record != NULL && record->body_case == JR__RECORD__BODY_SYNCED;

    if (is_synced) {
        *synced = record->synced->bytes;
    }
    if (record != NULL) {
        jr__record__free_unpacked(record, NULL);
    }
    return is_synced;
}

/* Logs of earlier versions do not say what was synced. */
static bool
says_what_was_synced(const uint8_t *log, size_t valid_len)
{
    size_t done = 0;

    while (done < valid_len) {
        uint64_t synced;
        size_t payload_len;
        const uint8_t *payload =
            read_frame(log + done, valid_len - done, &payload_len);

        if (payload == NULL || read_synced(payload, payload_len, &synced)) {
            return payload != NULL;
        }
        done += HEADER_BYTES + payload_len;
    }
    return false;
}

bool
jr_record_was_synced(const uint8_t *log, size_t len, size_t invalid)
{
    bool is_told = says_what_was_synced(log, invalid);

    for (size_t i = invalid + 1; i + HEADER_BYTES < len; i++) {
        uint64_t synced;
        size_t payload_len;
        const uint8_t *payload = read_frame(log + i, len - i, &payload_len);

        if (payload == NULL || payload_len == 0) {
            continue;
        }
        if (!is_told) {
            return true;
        }
        if (read_synced(payload, payload_len, &synced) && synced > invalid) {
            return true;
        }
    }
    return false;
}

void
jr_snapshot_pack(const jr_snapshot_t *snapshot, GByteArray *to)
{
    jr_config_message_t buf;
    Jr__Snapshot message = JR__SNAPSHOT__INIT;
    uint8_t *bytes;
    size_t len;

    jr_config_to_message(&snapshot->config, &buf);
    message.index = snapshot->index;
    message.term = snapshot->term;
    message.config = &buf.message;
    message.data.data = snapshot->data;
    message.data.len = snapshot->len;
    len = jr__snapshot__get_packed_size(&message);
    bytes = g_malloc(len + 1);
    jr__snapshot__pack(&message, bytes);
    append_framed(to, bytes, len);
    g_free(bytes);
}

bool
jr_snapshot_read(const uint8_t *bytes, size_t len,
                 const jr_store_callbacks_t *callbacks)
{
    size_t payload_len;
    const uint8_t *payload = read_frame(bytes, len, &payload_len);
    jr_snapshot_t snapshot = {0};
    Jr__Snapshot *message;
    bool ok;

    if (payload == NULL) {
        return false;
    }
    message = jr__snapshot__unpack(NULL, payload_len, payload);
    if (message == NULL) {
        return false;
    }
    ok = jr_config_from_message(message->config, &snapshot.config);
    if (ok) {
        snapshot.index = message->index;
        snapshot.term = message->term;
        snapshot.data = message->data.data;
        snapshot.len = message->data.len;
        callbacks->snapshot(callbacks->user, &snapshot);
    }
    jr__snapshot__free_unpacked(message, NULL);
    return ok;
}
