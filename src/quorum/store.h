/* Private to the quorum slice: the variants of the store. */
#ifndef JR_QUORUM_STORE_H
#define JR_QUORUM_STORE_H

#include <glib.h>

#include "jayrelay/store.h"

typedef enum { JR_STORE_FILE, JR_STORE_MEMORY } jr_store_kind_t;

typedef struct {
    char *folder;
    int fd;        /* the open log, -1 for none */
    uint64_t base; /* index of the snapshot that the log starts from */
    GByteArray *pending;
    bool is_failed;
} jr_file_store_t;

typedef struct {
    GByteArray *log; /* records as in the files */
    size_t synced;
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
void jr_record_hard(GByteArray *to, uint64_t term, uint64_t voted_for);
void jr_record_entry(GByteArray *to, const jr_entry_t *entry);
/*
 * Hand over the records of a buffer up to the first bad one. Returns the
 * number of good bytes.
 */
size_t jr_record_read(const uint8_t *bytes, size_t len,
                      const jr_loaded_t *loaded);
/* Is there a good record anywhere behind a bad one? */
bool jr_record_follows(const uint8_t *bytes, size_t len);
void jr_snapshot_pack(const jr_snapshot_t *snapshot, GByteArray *to);
/* False when the bytes are no snapshot. */
bool jr_snapshot_read(const uint8_t *bytes, size_t len,
                      const jr_loaded_t *loaded);

jr_result_t jr_file_store_load(jr_store_t *store, const jr_loaded_t *loaded);
jr_result_t jr_file_store_sync(jr_store_t *store);
jr_result_t jr_file_store_snapshot(jr_store_t *store, const GByteArray *bytes,
                                   uint64_t index, const GByteArray *log);
bool jr_file_store_is_empty(jr_store_t *store);
void jr_file_store_close(jr_store_t *store);

jr_result_t jr_memory_store_sync(jr_store_t *store);

#endif
