/*
 * Memory for one message: an unpacked message has an allocation for each of
 * its rows and texts, which cost more than the reading.
 */
#include "arena.h"

#include <stddef.h>
#include <sys/param.h>
#include <sys/queue.h>

enum { BLOCK_BYTES = 16384 };

typedef struct block {
    SLIST_ENTRY(block) link;
    size_t size;
    size_t used;
    max_align_t bytes[];
} block_t;

struct jr_arena {
    jr_ctx_t *ctx;
    SLIST_HEAD(, block) blocks; /* never empty; the last one is kept */
    ProtobufCAllocator allocator;
};

static block_t *
add_block(jr_arena_t *arena, size_t size)
{
    block_t *block = jr_resize(arena->ctx, NULL, sizeof *block + size);

    block->size = size;
    block->used = 0;
    SLIST_INSERT_HEAD(&arena->blocks, block, link);
    return block;
}

static void *
take(void *user, size_t n)
{
    jr_arena_t *arena = user;
    block_t *block = SLIST_FIRST(&arena->blocks);
    size_t rounded = roundup(n, sizeof(max_align_t));
    void *p;

    if (block->size - block->used < rounded) {
        block = add_block(arena, MAX(rounded, BLOCK_BYTES));
    }
    p = (char *)block->bytes + block->used;
    block->used += rounded;
    return p;
}

static void
leave(void *user, void *p)
{
    (void)user;
    (void)p;
}

jr_arena_t *
jr_new_arena(jr_ctx_t *ctx)
{
    jr_arena_t *arena = jr_alloc(ctx, sizeof *arena);

    arena->ctx = ctx;
    SLIST_INIT(&arena->blocks);
    add_block(arena, BLOCK_BYTES);
    arena->allocator = (ProtobufCAllocator){
        .alloc = take,
        .free = leave,
        .allocator_data = arena,
    };
    return arena;
}

void
jr_arena_reset(jr_arena_t *arena)
{
    block_t *block = SLIST_FIRST(&arena->blocks);

    while (SLIST_NEXT(block, link) != NULL) {
        SLIST_REMOVE_HEAD(&arena->blocks, link);
        jr_free(arena->ctx, block);
        block = SLIST_FIRST(&arena->blocks);
    }
    block->used = 0;
}

void
jr_drop_arena(jr_arena_t *arena)
{
    if (arena == NULL) {
        return;
    }
    jr_arena_reset(arena);
    jr_free(arena->ctx, SLIST_FIRST(&arena->blocks));
    jr_free(arena->ctx, arena);
}

ProtobufCAllocator *
jr_arena_allocator(jr_arena_t *arena)
{
    return &arena->allocator;
}
