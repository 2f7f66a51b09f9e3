/* In-memory log: a snapshot and the entries after it. */
#include "core.h"

#include <string.h>

enum { FIRST_CAPACITY = 64 };

void
jr_log_init(jr_log_t *log)
{
    memset(log, 0, sizeof *log);
}

void
jr_snapshot_clear(jr_ctx_t *ctx, jr_snapshot_t *snapshot)
{
    jr_free(ctx, snapshot->data);
    memset(snapshot, 0, sizeof *snapshot);
}

void
jr_snapshot_copy(jr_ctx_t *ctx, jr_snapshot_t *to, const jr_snapshot_t *from)
{
    uint8_t *data = jr_memdup(ctx, from->data, from->len);

    jr_free(ctx, to->data);
    *to = *from;
    to->data = data;
}

void
jr_log_clear(jr_ctx_t *ctx, jr_log_t *log)
{
    jr_log_truncate(ctx, log, log->base.index + 1);
    jr_snapshot_clear(ctx, &log->base);
    jr_free(ctx, log->entries);
    jr_log_init(log);
}

uint64_t
jr_log_last(const jr_log_t *log)
{
    return log->base.index + log->n;
}

jr_entry_t *
jr_log_get(const jr_log_t *log, uint64_t index)
{
    if (index <= log->base.index || index > jr_log_last(log)) {
        return NULL;
    }
    return &log->entries[index - log->base.index - 1];
}

uint64_t
jr_log_term(const jr_log_t *log, uint64_t index)
{
    const jr_entry_t *entry = jr_log_get(log, index);

    if (entry != NULL) {
        return entry->term;
    }
    return index == log->base.index ? log->base.term : 0;
}

jr_entry_t *
jr_log_append(jr_ctx_t *ctx, jr_log_t *log, const jr_entry_t *entry)
{
    jr_entry_t *slot;

    if (log->n == log->cap) {
        log->cap = log->cap > 0 ? 2 * log->cap : FIRST_CAPACITY;
        log->entries =
            jr_resize(ctx, log->entries, log->cap * sizeof *log->entries);
    }
    slot = &log->entries[log->n++];
    *slot = *entry;
    slot->data = jr_memdup(ctx, entry->data, entry->len);
    return slot;
}

void
jr_log_truncate(jr_ctx_t *ctx, jr_log_t *log, uint64_t index)
{
    while (log->n > 0 && jr_log_last(log) >= index) {
        jr_free(ctx, log->entries[--log->n].data);
    }
}

void
jr_log_rebase(jr_ctx_t *ctx, jr_log_t *log, const jr_snapshot_t *base,
              bool keep_rest)
{
    size_t covered = 0;

    if (!keep_rest || base->index > jr_log_last(log)) {
        covered = log->n;
    }
    else if (base->index > log->base.index) {
        covered = base->index - log->base.index;
    }
    for (size_t i = 0; i < covered; i++) {
        jr_free(ctx, log->entries[i].data);
    }
    if (covered > 0) {
        log->n -= covered;
        memmove(log->entries, log->entries + covered,
                log->n * sizeof *log->entries);
    }
    jr_snapshot_copy(ctx, &log->base, base);
}
