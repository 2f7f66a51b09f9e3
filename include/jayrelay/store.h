/**
 * DOC: store - the durable log and snapshot of one replica
 *
 * There are two implementations: files in a directory, and memory for tests
 * and benchmarks. Appended records are durable only after jr_store_sync().
 * Each record is stored with its length and a checksum. Each write to the log
 * says how much of it was synced before. An invalid record after that, which
 * was never synced, is truncated with all that follows when the store is
 * loaded; one before that is reported as damage.
 */
#ifndef JAYRELAY_STORE_H
#define JAYRELAY_STORE_H

#include "jayrelay/quorum.h"

typedef struct jr_store jr_store_t;

/**
 * struct jr_store_callbacks_t - callbacks for the contents of a store
 * @snapshot: called at most once, first
 * @hard_state: may be called several times; the last call is the current state
 * @entry: called for each log entry; an entry replaces earlier entries from
 *         its index on
 * @user: passed to each callback
 */
typedef struct {
    void (*snapshot)(void *user, const jr_snapshot_t *snapshot);
    void (*hard_state)(void *user, uint64_t term, uint64_t voted_for);
    void (*entry)(void *user, const jr_entry_t *entry);
    void *user;
} jr_store_callbacks_t;

/** enum jr_crash_t - simulated crash of a memory store, for tests */
typedef enum {
    JR_CRASH_NONE,
    JR_CRASH_BEFORE_SYNC,
    JR_CRASH_AFTER_SYNC,
} jr_crash_t;

/**
 * jr_new_file_store - open a store in a directory, created if missing
 *
 * Return: the store, or NULL with JR_IO in the context.
 */
jr_store_t *jr_new_file_store(jr_ctx_t *ctx, const char *directory);

/** jr_new_memory_store - create a store in memory */
jr_store_t *jr_new_memory_store(jr_ctx_t *ctx);

/** jr_drop_store - close a store; NULL is accepted */
void jr_drop_store(jr_store_t *store);

/**
 * jr_store_load - pass the durable contents to the callbacks
 *
 * Return: JR_OK, JR_IO, or JR_DAMAGED; the error text gives the file and, for
 * the log, the offset.
 */
jr_result_t jr_store_load(jr_store_t *store,
                          const jr_store_callbacks_t *callbacks);

/** jr_store_append_hard_state - append a change of term or vote */
jr_result_t jr_store_append_hard_state(jr_store_t *store, uint64_t term,
                                       uint64_t voted_for);

/** jr_store_append_entry - append a log entry */
jr_result_t jr_store_append_entry(jr_store_t *store, const jr_entry_t *entry);

/**
 * jr_store_sync - make all appended records durable
 *
 * Return: JR_OK, JR_IO or JR_DISK_FULL. After a failure the store refuses
 * further writes, because the contents of the disk are no longer known.
 */
jr_result_t jr_store_sync(jr_store_t *store);

/**
 * jr_store_save_snapshot - replace snapshot and log, durably
 * @term: current term, written at the start of the new log
 * @voted_for: current vote, written at the start of the new log
 * @entries: entries after the snapshot, written to the new log
 * @n: number of @entries
 *
 * Return: JR_OK, JR_IO or JR_DISK_FULL; a failure has the same effect as in
 * jr_store_sync().
 */
jr_result_t jr_store_save_snapshot(jr_store_t *store,
                                   const jr_snapshot_t *snapshot,
                                   uint64_t term, uint64_t voted_for,
                                   const jr_entry_t *entries, size_t n);

/** jr_store_is_empty - true when it is certain that nothing was ever stored */
bool jr_store_is_empty(jr_store_t *store);

/** jr_memory_store_crash - make the next sync of a memory store fail */
void jr_memory_store_crash(jr_store_t *store, jr_crash_t crash);

/** jr_memory_store_restart - discard unsynced records, allow writes again */
void jr_memory_store_restart(jr_store_t *store);

/** jr_memory_store_wipe - delete all contents, as if the disk were lost */
void jr_memory_store_wipe(jr_store_t *store);

#endif
