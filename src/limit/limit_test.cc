/* Shares and loans of an upstream's slots. */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "jayrelay/route.h"
}

TEST(Limit, SharesAddUpToAllSlots)
{
    const char *processes[] = {"e1", "e2", "e3", "e4", "e5", "e6", "e7"};

    for (size_t n = 1; n <= 7; n++) {
        for (int slots = 1; slots <= 40; slots++) {
            std::string name = "x" + std::to_string(slots);
            int sum = 0;

            for (size_t self = 0; self < n; self++) {
                sum += jr_limit_share(name.c_str(), slots, processes, n, self);
            }
            EXPECT_EQ(sum, slots);
        }
    }
}

TEST(Limit, SharesDoNotDependOnTheOrderOfTheList)
{
    const char *one[] = {"e1", "e2", "e3"};
    const char *other[] = {"e3", "e1", "e2"};

    EXPECT_EQ(jr_limit_share("x", 8, one, 3, 0),
              jr_limit_share("x", 8, other, 3, 1));
    EXPECT_EQ(jr_limit_share("x", 8, one, 3, 2),
              jr_limit_share("x", 8, other, 3, 0));
}

class LoanTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        for (jr_upstream_t *u : {&lender_, &borrower_}) {
            *u = {};
            u->slots = 8;
            u->share = 4;
            TAILQ_INIT(&u->lent_loans);
            TAILQ_INIT(&u->borrowed_loans);
        }
    }

    void
    TearDown() override
    {
        for (jr_upstream_t *u : {&lender_, &borrower_}) {
            jr_limit_expire(ctx_, u, INT64_MAX);
        }
        jr_drop_ctx(ctx_);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_upstream_t lender_, borrower_;
};

TEST_F(LoanTest, ALoanExpiresAtTheBorrowerBeforeTheLender)
{
    int64_t asked = 1000, given = 1500;
    int lent = jr_limit_lend(ctx_, &lender_, 3, given);

    EXPECT_EQ(lent, 3);
    EXPECT_EQ(jr_limit_free(&lender_), 1);
    jr_limit_borrow(ctx_, &borrower_, lent, asked + JR_LOAN_US);
    EXPECT_EQ(jr_limit_free(&borrower_), 7);
    jr_limit_expire(ctx_, &borrower_, asked + JR_LOAN_US);
    jr_limit_expire(ctx_, &lender_, asked + JR_LOAN_US);
    EXPECT_EQ(jr_limit_free(&borrower_), 4);
    EXPECT_EQ(jr_limit_free(&lender_), 1);
    jr_limit_expire(ctx_, &lender_, given + JR_LOAN_US + JR_LOAN_MARGIN_US);
    EXPECT_EQ(jr_limit_free(&lender_), 4);
}

TEST_F(LoanTest, OnlyFreeSlotsAreLent)
{
    lender_.in_use = 3;
    EXPECT_EQ(jr_limit_lend(ctx_, &lender_, 5, 0), 1);
    EXPECT_EQ(jr_limit_lend(ctx_, &lender_, 5, 0), 0);
    EXPECT_EQ(jr_limit_free(&lender_), 0);
}

TEST_F(LoanTest, OnlyBorrowedSlotsExpire)
{
    jr_limit_borrow(ctx_, &borrower_, 2, 9000);
    EXPECT_EQ(jr_limit_free_until(&borrower_), INT64_MAX);
    borrower_.in_use = 4;
    EXPECT_EQ(jr_limit_free_until(&borrower_), 9000);
}

/*
 * A process that was stopped while its loan expired must not use the loan,
 * even before jr_limit_expire() runs. Nor may it start an attempt that could
 * outlast the loan.
 */
TEST_F(LoanTest, AnExpiredLoanIsNotUsedBeforeTheNextSweep)
{
    jr_route_policy_t policy = {};
    jr_service_t service = {};
    jr_upstream_t *all[] = {&borrower_};
    GRand *rng = g_rand_new_with_seed(1);

    policy.kind = JR_ROUTE_SCORED;
    policy.as.scored.candidates = 4;
    service.upstreams = all;
    service.n = 1;
    borrower_.service = &service;
    borrower_.in_use = 4;
    borrower_.last_seen_at = 1000000;
    jr_limit_borrow(ctx_, &borrower_, 2, 1200000);
    EXPECT_EQ(jr_route_choose(&policy, &service, nullptr, rng, 1100000, 50000),
              &borrower_);
    EXPECT_EQ(
        jr_route_choose(&policy, &service, nullptr, rng, 1100000, 150000),
        nullptr);
    EXPECT_EQ(jr_route_choose(&policy, &service, nullptr, rng, 1300000, 50000),
              nullptr);
    g_rand_free(rng);
}
