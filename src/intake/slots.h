/*
 * Slots of time by which work is summed. The last one is without an end.
 * Private to src/intake.
 */
#ifndef JR_INTAKE_SLOTS_H
#define JR_INTAKE_SLOTS_H

#include "jayrelay/intake.h"

enum {
    JR_INTAKE_FIRST_SLOT_MS = 250,
    JR_INTAKE_DUE_FACTOR = 2, /* from the end of a slot to that of the next */
    JR_INTAKE_TIME_FACTOR = 4,
};

static inline size_t
jr_intake_slot(int64_t ms, int factor, size_t n)
{
    int64_t end = JR_INTAKE_FIRST_SLOT_MS;
    size_t slot = 0;

    while (slot + 1 < n && ms > end) {
        end *= factor;
        slot++;
    }
    return slot;
}

/* The slot in which the time lies. */
static inline size_t
jr_intake_due_slot(int64_t due_in_ms)
{
    return jr_intake_slot(due_in_ms, JR_INTAKE_DUE_FACTOR,
                          JR_INTAKE_DUE_SLOTS);
}

static inline int64_t
jr_intake_due_slot_begin(size_t slot)
{
    int64_t begin = slot > 0 ? JR_INTAKE_FIRST_SLOT_MS : 0;

    for (size_t i = 1; i < slot; i++) {
        begin *= JR_INTAKE_DUE_FACTOR;
    }
    return begin;
}

static inline size_t
jr_intake_time_slot(int64_t time_ms)
{
    return jr_intake_slot(time_ms, JR_INTAKE_TIME_FACTOR,
                          JR_INTAKE_TIME_SLOTS);
}

#endif
