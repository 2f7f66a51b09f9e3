/* Shares and loans of an upstream's slots. */
#include "jayrelay/limit.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
rank(const char *upstream, const char *process)
{
    return XXH64(upstream, strlen(upstream),
                 XXH64(process, strlen(process), 0));
}

int
jr_limit_share(const char *upstream, int slots, const char *const *processes,
               size_t n, size_t self)
{
    uint64_t own = rank(upstream, processes[self]);
    int count = n > 0 ? (int)n : 1;
    size_t before = 0;

    for (size_t i = 0; i < n; i++) {
        uint64_t other = rank(upstream, processes[i]);

        if (other < own || (other == own && i < self)) {
            before++;
        }
    }
    return slots / count + ((int)before < slots % count ? 1 : 0);
}

int
jr_limit_free(const jr_upstream_t *upstream)
{
    int owned =
        upstream->share < upstream->slots ? upstream->share : upstream->slots;

    return owned - upstream->lent + upstream->borrowed - upstream->in_use;
}

int64_t
jr_limit_free_until(const jr_upstream_t *upstream)
{
    const jr_loan_t *loan;
    int64_t until = 0;

    /* Owned slots are used first; borrowed ones are used after them. */
    if (upstream->share - upstream->lent > upstream->in_use) {
        return INT64_MAX;
    }
    TAILQ_FOREACH (loan, &upstream->borrowed_loans, link) {
        if (until == 0 || loan->until < until) {
            until = loan->until;
        }
    }
    return until;
}

static void
add_loan(jr_ctx_t *ctx, struct jr_loan_list *loans, int slots, int64_t until)
{
    jr_loan_t *loan = jr_alloc(ctx, sizeof *loan);

    loan->slots = slots;
    loan->until = until;
    TAILQ_INSERT_TAIL(loans, loan, link);
}

int
jr_limit_lend(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots, int64_t now)
{
    int own = upstream->share - upstream->lent - upstream->in_use;
    int lent = slots < own ? slots : own;

    if (lent <= 0) {
        return 0;
    }
    upstream->lent += lent;
    add_loan(ctx, &upstream->lent_loans, lent,
             now + JR_LOAN_US + JR_LOAN_MARGIN_US);
    jr_count_n(ctx, JR_C_LOANS_GIVEN, (uint64_t)lent);
    return lent;
}

void
jr_limit_borrow(jr_ctx_t *ctx, jr_upstream_t *upstream, int slots,
                int64_t until)
{
    upstream->borrowed += slots;
    add_loan(ctx, &upstream->borrowed_loans, slots, until);
    jr_count_n(ctx, JR_C_LOANS_TAKEN, (uint64_t)slots);
}

static int
expire(jr_ctx_t *ctx, struct jr_loan_list *loans, int64_t now)
{
    jr_loan_t *loan, *next;
    int ended = 0;

    for (loan = TAILQ_FIRST(loans); loan != NULL; loan = next) {
        next = TAILQ_NEXT(loan, link);
        if (loan->until <= now) {
            ended += loan->slots;
            TAILQ_REMOVE(loans, loan, link);
            jr_free(ctx, loan);
        }
    }
    return ended;
}

void
jr_limit_expire(jr_ctx_t *ctx, jr_upstream_t *upstream, int64_t now)
{
    upstream->lent -= expire(ctx, &upstream->lent_loans, now);
    upstream->borrowed -= expire(ctx, &upstream->borrowed_loans, now);
}
