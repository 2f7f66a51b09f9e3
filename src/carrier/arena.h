/* Private to src/carrier: memory for one message, freed all at once. */
#ifndef JR_CARRIER_ARENA_H
#define JR_CARRIER_ARENA_H

#include <protobuf-c/protobuf-c.h>

#include "jayrelay/ctx.h"

typedef struct jr_arena jr_arena_t;

jr_arena_t *jr_new_arena(jr_ctx_t *ctx);
/* NULL is accepted. */
void jr_drop_arena(jr_arena_t *arena);
/* What was taken from it is invalid from now on. */
void jr_arena_reset(jr_arena_t *arena);
/* Unpacks messages into the arena; they need not be freed. */
ProtobufCAllocator *jr_arena_allocator(jr_arena_t *arena);

#endif
