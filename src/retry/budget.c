/* The budget of retries. */
#include "jayrelay/retry.h"

enum {
    TOKENS_PER_RETRY = 100,
    STOCK_RETRIES = 10,
    STOCK_MAX_RETRIES = 100,
};

void
jr_budget_init(jr_budget_t *budget, jr_retry_kind_t kind, int percent)
{
    *budget = (jr_budget_t){
        .kind = kind,
        .percent = percent,
        .tokens = STOCK_RETRIES * TOKENS_PER_RETRY,
    };
}

void
jr_budget_earn(jr_budget_t *budget)
{
    budget->tokens += budget->percent;
    if (budget->tokens > STOCK_MAX_RETRIES * TOKENS_PER_RETRY) {
        budget->tokens = STOCK_MAX_RETRIES * TOKENS_PER_RETRY;
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
