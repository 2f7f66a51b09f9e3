/**
 * DOC: limit - divides the slots of an upstream among entry processes
 *
 * The entry processes of a zone send to the same upstreams without a common
 * view of their load, yet an upstream must never get more concurrent calls
 * than it has slots. Each entry process configured in the zone therefore
 * owns a share of the slots, computed by rendezvous hashing. A process
 * lends unused slots to another for a short time. The loan expires at the
 * borrower before it expires at the lender, so a slot is never used by both.
 * This needs no quorum, so a zone that is partitioned from the others keeps
 * serving calls. The share of a process that is down is not reassigned.
 */
#ifndef JAYRELAY_LIMIT_H
#define JAYRELAY_LIMIT_H

#include "jayrelay/upstream.h"

enum {
    /* Duration of a loan, from the borrower's request. */
    JR_LOAN_US = 2000 * 1000,
    /* The lender waits this much longer, for drift between the clocks. */
    JR_LOAN_MARGIN_US = 100 * 1000,
};

/**
 * jr_limit_share - number of an upstream's slots that one process owns
 * @processes: names of all @n entry processes of the zone, in any order
 * @self: index of the process whose share is computed
 *
 * The shares of all processes add up to exactly @slots.
 */
int jr_limit_share(const char *upstream, int slots,
                   const char *const *processes, size_t n, size_t self);

/** jr_limit_free - number of slots that this process may use now */
int jr_limit_free(const jr_upstream_t *upstream);

/** jr_limit_free_until - end of use of a free slot; INT64_MAX when owned */
int64_t jr_limit_free_until(const jr_upstream_t *upstream);

/** jr_limit_lend - lend up to @slots free slots; returns how many */
int jr_limit_lend(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots,
                  int64_t now);

/** jr_limit_borrow - add borrowed slots; @until is on the local clock */
void jr_limit_borrow(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots,
                     int64_t until);

/** jr_limit_expire - end the loans that have expired */
void jr_limit_expire(jr_ctx_t *ctx, jr_upstream_t *upstream, int64_t now);

#endif
