/* Retry budget. */
#include "jayrelay/retry.h"

enum {
    /* A call earns `percent` tokens, so this is 100 for a percentage. */
    TOKENS_PER_RETRY = 100,
    STOCK_TOKENS = 10 * TOKENS_PER_RETRY,      /* at the start */
    STOCK_MAX_TOKENS = 100 * TOKENS_PER_RETRY, /* bounds a burst of retries */
};

void
jr_budget_init(jr_budget_t *budget, jr_retry_kind_t kind, int percent)
{
    *budget = (jr_budget_t){
        .kind = kind,
        .percent = percent,
        .tokens = STOCK_TOKENS,
    };
}

void
jr_budget_earn(jr_budget_t *budget)
{
    budget->tokens += budget->percent;
    if (budget->tokens > STOCK_MAX_TOKENS) {
        budget->tokens = STOCK_MAX_TOKENS;
    }
}

bool
jr_budget_spend(jr_budget_t *budget)
{
    if (budget->kind == JR_RETRY_UNLIMITED) {
        return true;
    }
    if (budget->tokens < TOKENS_PER_RETRY) {
        return false;
    }
    budget->tokens -= TOKENS_PER_RETRY;
    return true;
}
