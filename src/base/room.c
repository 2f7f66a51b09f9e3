/* Memory for the bodies of requests that a process receives. */
#include "jayrelay/room.h"

static bool
is_large(size_t bytes)
{
    return bytes > JR_ROOM_SMALL_BYTES;
}

static bool
fits(const jr_room_t *room, size_t before, size_t bytes)
{
    size_t large = room->used_large - (is_large(before) ? before : 0);

    if (room->used - before + bytes > room->total) {
        return false;
    }
    return !is_large(bytes) ||
           large + bytes <= room->total - room->total / JR_ROOM_SMALL_SHARE;
}

static void
set_bytes(jr_room_t *room, jr_hold_t *hold, size_t bytes)
{
    room->used_large -= is_large(hold->bytes) ? hold->bytes : 0;
    room->used_large += is_large(bytes) ? bytes : 0;
    room->used += bytes - hold->bytes;
    hold->bytes = bytes;
}

/* The incomplete body that is longest without progress. */
static jr_hold_t *
find_stalest(const jr_room_t *room, const jr_hold_t *but, bool large,
             unsigned ticks)
{
    jr_hold_t *hold;

    TAILQ_FOREACH (hold, &room->receiving, link) {
        if (hold != but && is_large(hold->bytes) == large) {
            return hold->stalled_ticks >= ticks ? hold : NULL;
        }
    }
    return NULL;
}

void
jr_room_init(jr_room_t *room, size_t total)
{
    *room = (jr_room_t){.total = total,
                        .seats_max = total / JR_ROOM_CONNECTION_BYTES};
    TAILQ_INIT(&room->receiving);
    TAILQ_INIT(&room->idle);
}

void
jr_room_limit(jr_room_t *room, size_t connections)
{
    if (connections < room->seats_max) {
        room->seats_max = connections;
    }
}

bool
jr_room_charge(jr_room_t *room, jr_hold_t *hold, size_t bytes)
{
    if (!fits(room, hold->bytes, bytes)) {
        return false;
    }
    if (hold->bytes == 0) {
        hold->is_receiving = true;
        hold->stalled_ticks = 0;
        TAILQ_INSERT_TAIL(&room->receiving, hold, link);
    }
    set_bytes(room, hold, bytes);
    return true;
}

void
jr_room_progress(jr_room_t *room, jr_hold_t *hold)
{
    if (hold->is_receiving) {
        hold->stalled_ticks = 0;
        TAILQ_REMOVE(&room->receiving, hold, link);
        TAILQ_INSERT_TAIL(&room->receiving, hold, link);
    }
}

void
jr_room_complete(jr_room_t *room, jr_hold_t *hold)
{
    if (hold->is_receiving) {
        hold->is_receiving = false;
        TAILQ_REMOVE(&room->receiving, hold, link);
    }
}

void
jr_room_release(jr_room_t *room, jr_hold_t *hold)
{
    jr_room_complete(room, hold);
    set_bytes(room, hold, 0);
}

void
jr_room_tick(jr_hold_t *hold)
{
    hold->stalled_ticks++;
}

jr_hold_t *
jr_room_stalest(const jr_room_t *room, const jr_hold_t *hold, size_t bytes)
{
    jr_hold_t *stalest = find_stalest(room, hold, true, JR_ROOM_STALLED_TICKS);

    if (stalest != NULL) {
        return stalest;
    }
    return find_stalest(room, hold, false,
                        is_large(bytes) ? JR_ROOM_STALLED_TICKS : 0);
}

static void
set_idle(jr_room_t *room, jr_seat_t *seat, bool is_idle)
{
    if (seat->is_idle) {
        TAILQ_REMOVE(&room->idle, seat, link);
    }
    if (is_idle) {
        TAILQ_INSERT_TAIL(&room->idle, seat, link);
    }
    seat->is_idle = is_idle;
}

void
jr_room_enter(jr_room_t *room, jr_seat_t *seat)
{
    room->n_seats++;
    set_idle(room, seat, true);
}

void
jr_room_leave(jr_room_t *room, jr_seat_t *seat)
{
    if (!seat->is_ended) {
        room->n_seats--;
        set_idle(room, seat, false);
    }
}

void
jr_room_begin(jr_room_t *room, jr_seat_t *seat)
{
    set_idle(room, seat, false);
}

void
jr_room_rest(jr_room_t *room, jr_seat_t *seat)
{
    if (!seat->is_ended) {
        set_idle(room, seat, true);
    }
}

bool
jr_room_make(jr_room_t *room, jr_seat_t **ended)
{
    *ended = NULL;
    if (room->n_seats < room->seats_max) {
        return true;
    }
    *ended = TAILQ_FIRST(&room->idle);
    if (*ended == NULL) {
        return false;
    }
    jr_room_leave(room, *ended);
    (*ended)->is_ended = true;
    return true;
}
