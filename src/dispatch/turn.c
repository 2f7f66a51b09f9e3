/*
 * Turns of the loop. A leader whose processor is full takes long for each, and
 * an urgent task needs several: its grant, its start and its end each wait for
 * the next one. A scheduling pass costs about as much as all else in a turn,
 * so while turns are long most of them have none.
 */
#include "dispatch.h"

enum {
    /* The loop is woken each 10 ms; the mean is longer when it is full. */
    TURN_LONG_MS = 15,
    TURN_SMOOTH_MS = 300, /* time constant of the mean */
    TURN_MAX_MS = 100,    /* longer ones are pauses, not load */
    PASS_TURNS = 4,       /* long ones, from one pass to the next */
    PASS_GAP_MAX_MS = 200,
};

void
jr_turn_note(jr_dispatch_t *d)
{
    double ms = (double)MIN(d->now - d->ticked_at, (int64_t)TURN_MAX_MS);

    if (d->ticked_at != 0) {
        d->turn_ms += (ms - d->turn_ms) * ms / (ms + TURN_SMOOTH_MS);
    }
}

int64_t
jr_turn_pass_gap_ms(const jr_dispatch_t *d)
{
    int64_t gap_ms = (int64_t)(PASS_TURNS * d->turn_ms);

    return d->turn_ms > TURN_LONG_MS ? MIN(gap_ms, (int64_t)PASS_GAP_MAX_MS)
                                     : 0;
}
