/**
 * DOC: store - the durable log and snapshot of one replica
 *
 * Two variants stand behind one interface: files in a folder, and memory
 * for tests and benchmarks. What was appended is durable only after
 * jr_store_sync(). In the files each record carries its length and a
 * checksum. A torn tail, which was never synced, is cut when the store is
 * opened; a bad record with a good one behind it is damage and is reported.
 */
#ifndef JAYRELAY_STORE_H
#define JAYRELAY_STORE_H

#include "jayrelay/quorum.h"

typedef struct jr_store jr_store_t;

/**
 * struct jr_loaded_t - receiver of what a store holds, in order
 * @snapshot: called at most once, first
 * @hard: may be called several times; the last one counts
 * @entry: called for each log entry; a later one replaces those from its
 *         index on
 */
typedef struct {
    void (*snapshot)(void *user, const jr_snapshot_t *snapshot);
    void (*hard)(void *user, uint64_t term, uint64_t voted_for);
    void (*entry)(void *user, const jr_entry_t *entry);
    void *user;
} jr_loaded_t;

/** enum jr_crash_t - where a memory store fails, for tests */
typedef enum {
    JR_CRASH_NONE,
    JR_CRASH_BEFORE_SYNC,
    JR_CRASH_AFTER_SYNC,
} jr_crash_t;

/**
 * jr_new_file_store - a store in a folder, which is made if it is missing
 *
 * Return: the store, or NULL with JR_IO in the context.
 */
jr_store_t *jr_new_file_store(jr_ctx_t *ctx, const char *folder);

/** jr_new_memory_store - a store that lives as long as the process */
jr_store_t *jr_new_memory_store(jr_ctx_t *ctx);

/** jr_drop_store - close a store; NULL is accepted */
void jr_drop_store(jr_store_t *store);

/**
 * jr_store_load - hand over what is durable
 *
 * Return: JR_OK, JR_IO, or JR_DAMAGED with the file and the offset.
 */
jr_result_t jr_store_load(jr_store_t *store, const jr_loaded_t *loaded);

/** jr_store_hard - append a change of term or vote */
jr_result_t jr_store_hard(jr_store_t *store, uint64_t term,
                          uint64_t voted_for);

/** jr_store_entry - append a log entry */
jr_result_t jr_store_entry(jr_store_t *store, const jr_entry_t *entry);

/**
 * jr_store_sync - make all that was appended durable
 *
 * Return: JR_OK, JR_IO or JR_DISK_FULL. After a failure the store refuses
 * further writes: what the disk holds is no longer known.
 */
jr_result_t jr_store_sync(jr_store_t *store);

/**
 * jr_store_snapshot - start the log anew from a snapshot, durably
 * @term: current term, and
 * @voted_for: current vote, which the new log begins with
 * @entries: entries after the snapshot that are to be kept
 */
jr_result_t jr_store_snapshot(jr_store_t *store, const jr_snapshot_t *snapshot,
                              uint64_t term, uint64_t voted_for,
                              const jr_entry_t *entries, size_t n);

/** jr_store_is_empty - nothing was ever stored here */
bool jr_store_is_empty(jr_store_t *store);

/** jr_memory_store_crash - make the next sync of a memory store fail */
void jr_memory_store_crash(jr_store_t *store, jr_crash_t crash);

/** jr_memory_store_restart - forget what was not synced, allow writes */
void jr_memory_store_restart(jr_store_t *store);

/** jr_memory_store_wipe - lose the disk */
void jr_memory_store_wipe(jr_store_t *store);

#endif
