/**
 * DOC: inbound - limits of the requests that a process receives
 *
 * One account is shared by all HTTP servers of a process. A part of it is only
 * for small requests, so that large ones can't shut these out. Bodies that
 * don't arrive give way to others. This module only counts: it allocates
 * nothing, reads no clock and opens no socket.
 */
#ifndef JAYRELAY_INBOUND_H
#define JAYRELAY_INBOUND_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

enum {
    JR_INBOUND_STANDARD_MB = 32,
    JR_INBOUND_CONNECTION_BYTES = 32 * 1024, /* memory of a connection */
    JR_INBOUND_SMALL_BYTES = 16 * 1024 + 1,  /* a small body, with a NUL */
    JR_INBOUND_SMALL_SHARE = 4,   /* one part in this is only for small ones */
    JR_INBOUND_STALLED_TICKS = 4, /* without progress, until it gives way */
};

/**
 * struct jr_charge_t - memory that one request holds
 * @bytes: as charged
 * @is_receiving: the body is not complete
 * @stalled_ticks: since the last progress; counted by jr_inbound_tick()
 * @owner: of the request
 */
typedef struct jr_charge {
    TAILQ_ENTRY(jr_charge) link;
    size_t bytes;
    bool is_receiving;
    unsigned stalled_ticks;
    void *owner;
} jr_charge_t;

/**
 * struct jr_inbound_conn_t - a connection
 * @is_idle: no request of it is being handled
 * @is_ended: it gave way to another and is about to close
 * @owner: of the connection
 */
typedef struct jr_inbound_conn {
    TAILQ_ENTRY(jr_inbound_conn) link;
    bool is_idle;
    bool is_ended;
    void *owner;
} jr_inbound_conn_t;

/**
 * struct jr_inbound_t - the account
 * @total: bytes for all requests
 * @used: bytes charged
 * @used_large: those of requests that are not small
 * @receiving: incomplete bodies, the one longest without progress first
 * @conns_max: connections at the same time
 * @n_conns: connections that have not ended
 * @idle: those without a request that is handled, the longest idle first
 */
typedef struct {
    size_t total;
    size_t used;
    size_t used_large;
    TAILQ_HEAD(jr_charges, jr_charge) receiving;
    size_t conns_max;
    size_t n_conns;
    TAILQ_HEAD(jr_inbound_conns, jr_inbound_conn) idle;
} jr_inbound_t;

/**
 * jr_inbound_init - @total bytes for bodies, and as many for connections
 */
void jr_inbound_init(jr_inbound_t *inbound, size_t total);

/** jr_inbound_limit - have at most @connections, if there is memory for them
 */
void jr_inbound_limit(jr_inbound_t *inbound, size_t connections);

/**
 * jr_inbound_charge - change what @charge holds to @bytes
 *
 * The first charge makes it an incomplete body.
 * Return: false if that does not fit; nothing is changed then.
 */
bool jr_inbound_charge(jr_inbound_t *inbound, jr_charge_t *charge,
                       size_t bytes);

/** jr_inbound_progress - a part of the body of @charge has arrived */
void jr_inbound_progress(jr_inbound_t *inbound, jr_charge_t *charge);

/** jr_inbound_complete - the body of @charge is complete: it gives way no more
 */
void jr_inbound_complete(jr_inbound_t *inbound, jr_charge_t *charge);

/** jr_inbound_release - @charge holds nothing any more; may be repeated */
void jr_inbound_release(jr_inbound_t *inbound, jr_charge_t *charge);

/** jr_inbound_tick - time has passed for @charge, in which its owner could
 * read
 */
void jr_inbound_tick(jr_charge_t *charge);

/**
 * jr_inbound_stalest - the body that should give way to @charge with @bytes
 *
 * That is the large one, or else the small one, longest without progress.
 * Only stalled bodies give way, but to small ones also a small one that is
 * not. Return: NULL if none should.
 */
jr_charge_t *jr_inbound_stalest(const jr_inbound_t *inbound,
                                const jr_charge_t *charge, size_t bytes);

/** jr_inbound_enter - a connection was accepted; it is idle */
void jr_inbound_enter(jr_inbound_t *inbound, jr_inbound_conn_t *conn);

/** jr_inbound_leave - a connection is closed */
void jr_inbound_leave(jr_inbound_t *inbound, jr_inbound_conn_t *conn);

/** jr_inbound_begin - a request of the connection is being handled */
void jr_inbound_begin(jr_inbound_t *inbound, jr_inbound_conn_t *conn);

/** jr_inbound_rest - the connection is idle, or receives, from now on */
void jr_inbound_rest(jr_inbound_t *inbound, jr_inbound_conn_t *conn);

/**
 * jr_inbound_make - make place for one more connection
 * @ended: receives the connection that is to be closed, the longest idle one,
 *         or NULL if there is place
 *
 * Return: false if there is none, since all connections have requests that are
 * being handled.
 */
bool jr_inbound_make(jr_inbound_t *inbound, jr_inbound_conn_t **ended);

#endif
