/**
 * DOC: retry - budget that limits retries
 *
 * Retries are limited to a percentage of first attempts, so that they can't
 * amplify an outage. An attempt that is known not to have run may be
 * retried for any call, any other attempt for idempotent calls only.
 */
#ifndef JAYRELAY_RETRY_H
#define JAYRELAY_RETRY_H

#include "jayrelay/ctx.h"

/* Attempts of one call, the first included. */
enum { JR_ATTEMPTS_MAX = 3 };

/** enum jr_retry_kind_t - how retries are limited */
typedef enum {
    JR_RETRY_UNLIMITED, /* baseline: up to JR_ATTEMPTS_MAX, no budget */
    JR_RETRY_BUDGET,
} jr_retry_kind_t;

/**
 * struct jr_budget_t - retry budget, a token bucket
 * @percent: retries allowed per 100 first attempts
 * @tokens: tokens left, in hundredths of a retry
 */
typedef struct {
    jr_retry_kind_t kind;
    int percent;
    int64_t tokens;
} jr_budget_t;

/** jr_budget_init - initialize with enough tokens for a few retries */
void jr_budget_init(jr_budget_t *budget, jr_retry_kind_t kind, int percent);

/** jr_budget_earn - add the tokens of one first attempt */
void jr_budget_earn(jr_budget_t *budget);

/** jr_budget_spend - take one retry; false when the budget is exhausted */
bool jr_budget_spend(jr_budget_t *budget);

#endif
