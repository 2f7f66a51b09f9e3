/* Store in memory, for tests and benchmarks. */
#include "store.h"

jr_store_t *
jr_new_memory_store(jr_ctx_t *ctx)
{
    jr_store_t *store = jr_alloc(ctx, sizeof *store);

    store->ctx = ctx;
    store->kind = JR_STORE_MEMORY;
    store->as.memory.log = g_byte_array_new();
    store->as.memory.snapshot = g_byte_array_new();
    return store;
}

jr_result_t
jr_memory_store_sync(jr_store_t *store)
{
    jr_memory_store_t *memory = &store->as.memory;

    if (memory->crash == JR_CRASH_BEFORE_SYNC) {
        memory->is_failed = true;
        return jr_fail(store->ctx, JR_IO,
                       "memory store: simulated crash before the sync");
    }
    memory->synced = memory->log->len;
    if (memory->crash == JR_CRASH_AFTER_SYNC) {
        memory->is_failed = true;
        return jr_fail(store->ctx, JR_IO,
                       "memory store: simulated crash after the sync");
    }
    return JR_OK;
}

void
jr_memory_store_crash(jr_store_t *store, jr_crash_t crash)
{
    store->as.memory.crash = crash;
}

void
jr_memory_store_restart(jr_store_t *store)
{
    jr_memory_store_t *memory = &store->as.memory;

    g_byte_array_set_size(memory->log, (guint)memory->synced);
    memory->crash = JR_CRASH_NONE;
    memory->is_failed = false;
}

void
jr_memory_store_wipe(jr_store_t *store)
{
    jr_memory_store_t *memory = &store->as.memory;

    g_byte_array_set_size(memory->log, 0);
    g_byte_array_set_size(memory->snapshot, 0);
    memory->synced = 0;
}
