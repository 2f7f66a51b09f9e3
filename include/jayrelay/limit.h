/**
 * DOC: limit - who may use which slot of an upstream
 *
 * Several entry processes of a zone send to the same upstreams, each with a
 * view of its own, and no upstream may ever get more calls at once than it
 * has slots. So the slots are divided: each entry process of the zone's
 * settings owns a share, by rendezvous hashing. What one does not need it
 * lends to another for a short time; the borrower's time ends before the
 * lender's, so the slot is never used twice. No quorum is needed, and a
 * zone that is cut off goes on. The share of a process that is down is not
 * taken over.
 */
#ifndef JAYRELAY_LIMIT_H
#define JAYRELAY_LIMIT_H

#include "jayrelay/upstream.h"

enum {
    JR_LOAN_US = 2000 * 1000,
    /* Lender's allowance for the drift of two clocks. */
    JR_LOAN_MARGIN_US = 100 * 1000,
};

/**
 * jr_limit_share - slots that one process owns of an upstream
 * @processes: names of all entry processes of the zone, in any order
 * @self: index of the one that is asked about
 *
 * The shares of all processes add up to @slots exactly.
 */
int jr_limit_share(const char *upstream, int slots,
                   const char *const *processes, size_t n, size_t self);

/** jr_limit_free - slots that this process may use now */
int jr_limit_free(const jr_upstream_t *upstream);

/** jr_limit_free_until - how long a free slot may be used, INT64_MAX: own */
int64_t jr_limit_free_until(const jr_upstream_t *upstream);

/** jr_limit_lend - lend slots; fewer or none when they are not free */
int jr_limit_lend(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots,
                  int64_t now);

/** jr_limit_borrow - note borrowed slots; @until by this process's clock */
void jr_limit_borrow(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots,
                     int64_t until);

/** jr_limit_expire - end loans whose time is over */
void jr_limit_expire(jr_ctx_t *ctx, jr_upstream_t *upstream, int64_t now);

#endif
