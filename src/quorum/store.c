/* Public functions of the store, dispatched to its implementations. */
#include "store.h"

jr_result_t
jr_store_load(jr_store_t *store, const jr_store_callbacks_t *callbacks)
{
    switch (store->kind) {
    case JR_STORE_FILE:
        return jr_file_store_load(store, callbacks);
    case JR_STORE_MEMORY: {
        const jr_memory_store_t *memory = &store->as.memory;

        if (memory->snapshot->len > 0) {
            jr_snapshot_read(memory->snapshot->data, memory->snapshot->len,
                             callbacks);
        }
        jr_record_read(memory->log->data, memory->log->len, callbacks);
        return JR_OK;
    }
    }
    return JR_OK;
}

static GByteArray *
write_buffer(jr_store_t *store)
{
    switch (store->kind) {
    case JR_STORE_FILE:
        return store->as.file.pending;
    case JR_STORE_MEMORY:
        return store->as.memory.log;
    }
    return NULL;
}

static bool
is_failed(const jr_store_t *store)
{
    switch (store->kind) {
    case JR_STORE_FILE:
        return store->as.file.is_failed;
    case JR_STORE_MEMORY:
        return store->as.memory.is_failed;
    }
    return true;
}

static jr_result_t
fail_closed(jr_store_t *store)
{
    return jr_fail(
        store->ctx, JR_IO,
        "store %s refuses writes after an earlier I/O error or damage",
        store->kind == JR_STORE_FILE ? store->as.file.directory : "in memory");
}

jr_result_t
jr_store_append_hard_state(jr_store_t *store, uint64_t term,
                           uint64_t voted_for)
{
    if (is_failed(store)) {
        return fail_closed(store);
    }
    jr_record_append_hard_state(write_buffer(store), term, voted_for);
    return JR_OK;
}

jr_result_t
jr_store_append_entry(jr_store_t *store, const jr_entry_t *entry)
{
    if (is_failed(store)) {
        return fail_closed(store);
    }
    jr_record_append_entry(write_buffer(store), entry);
    jr_count(store->ctx, JR_C_LOG_APPENDS);
    return JR_OK;
}

jr_result_t
jr_store_sync(jr_store_t *store)
{
    if (is_failed(store)) {
        return fail_closed(store);
    }
    jr_count(store->ctx, JR_C_LOG_SYNCS);
    switch (store->kind) {
    case JR_STORE_FILE:
        return jr_file_store_sync(store);
    case JR_STORE_MEMORY:
        return jr_memory_store_sync(store);
    }
    return JR_OK;
}

jr_result_t
jr_store_save_snapshot(jr_store_t *store, const jr_snapshot_t *snapshot,
                       uint64_t term, uint64_t voted_for,
                       const jr_entry_t *entries, size_t n)
{
    GByteArray *bytes = g_byte_array_new();
    GByteArray *log = g_byte_array_new();
    jr_result_t result = JR_OK;

    jr_snapshot_pack(snapshot, bytes);
    jr_record_append_synced(log, 0);
    jr_record_append_hard_state(log, term, voted_for);
    for (size_t i = 0; i < n; i++) {
        jr_record_append_entry(log, &entries[i]);
    }
    if (is_failed(store)) {
        result = fail_closed(store);
    }
    else if (store->kind == JR_STORE_FILE) {
        result = jr_file_store_snapshot(store, bytes, snapshot->index, log);
    }
    else {
        jr_memory_store_t *memory = &store->as.memory;

        g_byte_array_set_size(memory->snapshot, 0);
        g_byte_array_append(memory->snapshot, bytes->data, bytes->len);
        g_byte_array_set_size(memory->log, 0);
        g_byte_array_append(memory->log, log->data, log->len);
        memory->synced = memory->log->len;
    }
    g_byte_array_unref(bytes);
    g_byte_array_unref(log);
    jr_count(store->ctx, JR_C_SNAPSHOTS);
    return result;
}

bool
jr_store_is_empty(jr_store_t *store)
{
    switch (store->kind) {
    case JR_STORE_FILE:
        return jr_file_store_is_empty(store);
    case JR_STORE_MEMORY:
        return store->as.memory.log->len == 0 &&
               store->as.memory.snapshot->len == 0;
    }
    return true;
}

void
jr_drop_store(jr_store_t *store)
{
    if (store == NULL) {
        return;
    }
    switch (store->kind) {
    case JR_STORE_FILE:
        jr_file_store_close(store);
        break;
    case JR_STORE_MEMORY:
        g_byte_array_unref(store->as.memory.log);
        g_byte_array_unref(store->as.memory.snapshot);
        break;
    }
    jr_free(store->ctx, store);
}
