/* Private to src/quorum: the implementations of the store. */
#ifndef JR_QUORUM_STORE_H
#define JR_QUORUM_STORE_H

#include <glib.h>

#include "jayrelay/store.h"

typedef enum { JR_STORE_FILE, JR_STORE_MEMORY } jr_store_kind_t;

typedef struct {
    char *directory;
    int fd;              /* descriptor of the open log, -1 for none */
    uint64_t base;       /* index of the snapshot that the log starts from */
    uint64_t len;        /* of the log, all synced */
    GByteArray *pending; /* records appended since the last sync */
    bool is_failed;
} jr_file_store_t;

typedef struct {
    GByteArray *log;      /* framed records, as in the files */
    size_t synced;        /* bytes of log that are durable */
    GByteArray *snapshot; /* packed, empty for none */
    jr_crash_t crash;
    bool is_failed;
} jr_memory_store_t;

struct jr_store {
    jr_ctx_t *ctx;
    jr_store_kind_t kind;
    union {
        jr_file_store_t file;
        jr_memory_store_t memory;
    } as;
};

/* Append a framed record to a buffer. */
void jr_record_append_hard_state(GByteArray *to, uint64_t term,
                                 uint64_t voted_for);
void jr_record_append_entry(GByteArray *to, const jr_entry_t *entry);
/*
 * Pass the records of a buffer to the callbacks, up to the first invalid one.
 * Returns the number of bytes before it.
 */
size_t jr_record_read(const uint8_t *bytes, size_t len,
                      const jr_store_callbacks_t *callbacks);
/* Starts a write to a log whose first bytes are synced. */
void jr_record_append_synced(GByteArray *to, uint64_t bytes);
/*
 * Was the invalid record at an offset of a log synced? Else it belongs to the
 * last write, of which any part may be missing.
 */
bool jr_record_was_synced(const uint8_t *log, size_t len, size_t invalid);
void jr_snapshot_pack(const jr_snapshot_t *snapshot, GByteArray *to);
/* False when the bytes are not a valid snapshot. */
bool jr_snapshot_read(const uint8_t *bytes, size_t len,
                      const jr_store_callbacks_t *callbacks);

jr_result_t jr_file_store_load(jr_store_t *store,
                               const jr_store_callbacks_t *callbacks);
jr_result_t jr_file_store_sync(jr_store_t *store);
jr_result_t jr_file_store_snapshot(jr_store_t *store, const GByteArray *bytes,
                                   uint64_t index, const GByteArray *log);
bool jr_file_store_is_empty(jr_store_t *store);
void jr_file_store_close(jr_store_t *store);

jr_result_t jr_memory_store_sync(jr_store_t *store);

#endif
