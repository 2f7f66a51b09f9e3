/**
 * DOC: retry - when an attempt may be repeated
 *
 * Retries are a share of the traffic, so that they can't multiply an
 * outage. An attempt that truly did not run may be repeated for any call;
 * one whose outcome is not known only for an idempotent call.
 */
#ifndef JAYRELAY_RETRY_H
#define JAYRELAY_RETRY_H

#include "jayrelay/ctx.h"

enum { JR_ATTEMPTS_MAX = 3 };

/** enum jr_retry_kind_t - how retries are limited */
typedef enum {
    JR_RETRY_UNLIMITED, /* baseline: up to JR_ATTEMPTS_MAX, no budget */
    JR_RETRY_BUDGET,
} jr_retry_kind_t;

/**
 * struct jr_budget_t - a budget of retries
 * @percent: retries allowed for 100 first attempts
 * @tokens: hundredths of a retry that are left
 */
typedef struct {
    jr_retry_kind_t kind;
    int percent;
    int64_t tokens;
} jr_budget_t;

/** jr_budget_init - a budget with a small stock for the start */
void jr_budget_init(jr_budget_t *budget, jr_retry_kind_t kind, int percent);

/** jr_budget_earn - a first attempt was sent */
void jr_budget_earn(jr_budget_t *budget);

/** jr_budget_spend - take one retry; false when none is left */
bool jr_budget_spend(jr_budget_t *budget);

#endif
