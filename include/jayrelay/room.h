/**
 * DOC: room - memory for the bodies of requests that a process receives
 *
 * One account is shared by all HTTP servers of a process. A part of it is only
 * for small requests, so that large ones can't shut these out. Bodies that
 * don't arrive give way to others. This module only counts: it allocates
 * nothing, reads no clock and opens no socket.
 */
#ifndef JAYRELAY_ROOM_H
#define JAYRELAY_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

enum {
    JR_ROOM_STANDARD_MB = 32,
    JR_ROOM_CONNECTION_BYTES = 32 * 1024, /* memory of a connection */
    JR_ROOM_SMALL_BYTES = 16 * 1024 + 1,  /* a small body, with a NUL */
    JR_ROOM_SMALL_SHARE = 4,   /* one part in this is only for small ones */
    JR_ROOM_STALLED_TICKS = 4, /* without progress, until it gives way */
};

/**
 * struct jr_hold_t - memory that one request holds
 * @bytes: as charged
 * @is_receiving: the body is not complete
 * @stalled_ticks: since the last progress; counted by jr_room_tick()
 * @owner: of the request
 */
typedef struct jr_hold {
    TAILQ_ENTRY(jr_hold) link;
    size_t bytes;
    bool is_receiving;
    unsigned stalled_ticks;
    void *owner;
} jr_hold_t;

/**
 * struct jr_seat_t - a connection
 * @is_idle: no request of it is being handled
 * @is_ended: it gave way to another and is about to close
 * @owner: of the connection
 */
typedef struct jr_seat {
    TAILQ_ENTRY(jr_seat) link;
    bool is_idle;
    bool is_ended;
    void *owner;
} jr_seat_t;

/**
 * struct jr_room_t - the account
 * @total: bytes for all requests
 * @used: bytes charged
 * @used_large: those of requests that are not small
 * @receiving: incomplete bodies, the one longest without progress first
 * @seats_max: connections at the same time
 * @n_seats: connections that have not ended
 * @idle: those without a request that is handled, the longest idle first
 */
typedef struct {
    size_t total;
    size_t used;
    size_t used_large;
    TAILQ_HEAD(jr_holds, jr_hold) receiving;
    size_t seats_max;
    size_t n_seats;
    TAILQ_HEAD(jr_seats, jr_seat) idle;
} jr_room_t;

/**
 * jr_room_init - a room of @total bytes for bodies and as many for connections
 */
void jr_room_init(jr_room_t *room, size_t total);

/** jr_room_limit - have at most @connections, if there is memory for them */
void jr_room_limit(jr_room_t *room, size_t connections);

/**
 * jr_room_charge - change what @hold holds to @bytes
 *
 * The first charge makes it an incomplete body.
 * Return: false if that does not fit; nothing is changed then.
 */
bool jr_room_charge(jr_room_t *room, jr_hold_t *hold, size_t bytes);

/** jr_room_progress - a part of the body of @hold has arrived */
void jr_room_progress(jr_room_t *room, jr_hold_t *hold);

/** jr_room_complete - the body of @hold is complete: it gives way no more */
void jr_room_complete(jr_room_t *room, jr_hold_t *hold);

/** jr_room_release - @hold holds nothing any more; may be repeated */
void jr_room_release(jr_room_t *room, jr_hold_t *hold);

/** jr_room_tick - time has passed for @hold, in which its owner could read
 */
void jr_room_tick(jr_hold_t *hold);

/**
 * jr_room_stalest - the body that should give way to @hold with @bytes
 *
 * That is the large one, or else the small one, longest without progress.
 * Only stalled bodies give way, but to small ones also a small one that is
 * not. Return: NULL if none should.
 */
jr_hold_t *jr_room_stalest(const jr_room_t *room, const jr_hold_t *hold,
                           size_t bytes);

/** jr_room_enter - a connection was accepted; it is idle */
void jr_room_enter(jr_room_t *room, jr_seat_t *seat);

/** jr_room_leave - a connection is closed */
void jr_room_leave(jr_room_t *room, jr_seat_t *seat);

/** jr_room_begin - a request of the connection is being handled */
void jr_room_begin(jr_room_t *room, jr_seat_t *seat);

/** jr_room_rest - the connection is idle, or receives, from now on */
void jr_room_rest(jr_room_t *room, jr_seat_t *seat);

/**
 * jr_room_make - make room for one more connection
 * @ended: receives the connection that is to be closed, the longest idle one,
 *         or NULL if there is room
 *
 * Return: false if there is none, since all connections have requests that are
 * being handled.
 */
bool jr_room_make(jr_room_t *room, jr_seat_t **ended);

#endif
