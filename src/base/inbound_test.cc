/* Limits of the requests that a process receives. */
#include <gtest/gtest.h>

extern "C" {
#include "jayrelay/inbound.h"
}

namespace {

constexpr size_t kSmall = 16 * 1024;
constexpr size_t kLarge = 1024 * 1024;
constexpr size_t kTotal = 4 * kLarge;

class InboundTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_inbound_init(&inbound_, kTotal);
    }

    void
    Stall(jr_charge_t *charge)
    {
        for (int i = 0; i < JR_INBOUND_STALLED_TICKS; i++) {
            jr_inbound_tick(charge);
        }
    }

    jr_inbound_t inbound_;
};

/* Guards against large requests that shut out small ones. */
TEST_F(InboundTest, APartIsOnlyForSmallRequests)
{
    jr_charge_t large[4] = {};
    jr_charge_t small[65] = {};

    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(jr_inbound_charge(&inbound_, &large[i], kLarge));
    }
    EXPECT_FALSE(jr_inbound_charge(&inbound_, &large[3], kLarge));
    EXPECT_FALSE(jr_inbound_charge(&inbound_, &large[3], 2 * kSmall));
    for (int i = 0; i < 64; i++) {
        EXPECT_TRUE(jr_inbound_charge(&inbound_, &small[i], kSmall)) << i;
    }
    EXPECT_FALSE(jr_inbound_charge(&inbound_, &small[64], kSmall));
    EXPECT_EQ(inbound_.used, kTotal);
}

/* Guards against memory that is charged and never given back. */
TEST_F(InboundTest, WhatWasReleasedCanBeUsedAgain)
{
    jr_charge_t charge = {};

    for (int i = 0; i < 100; i++) {
        EXPECT_TRUE(jr_inbound_charge(&inbound_, &charge, kSmall));
        EXPECT_TRUE(jr_inbound_charge(&inbound_, &charge, kLarge));
        EXPECT_FALSE(jr_inbound_charge(&inbound_, &charge, kTotal));
        EXPECT_EQ(charge.bytes, kLarge);
        jr_inbound_progress(&inbound_, &charge);
        jr_inbound_release(&inbound_, &charge);
        jr_inbound_release(&inbound_, &charge);
    }
    EXPECT_EQ(inbound_.used, 0u);
    EXPECT_EQ(inbound_.used_large, 0u);
    EXPECT_TRUE(TAILQ_EMPTY(&inbound_.receiving));
}

/* Guards against bodies that arrive being closed for newcomers. */
TEST_F(InboundTest, OnlyStalledBodiesGiveWayToLargeOnesTheLongestFirst)
{
    jr_charge_t charges[3] = {};
    jr_charge_t newcomer = {};

    for (jr_charge_t &charge : charges) {
        ASSERT_TRUE(jr_inbound_charge(&inbound_, &charge, kLarge));
    }
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kLarge), nullptr);
    Stall(&charges[0]);
    jr_inbound_progress(&inbound_, &charges[0]);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kLarge), nullptr);
    Stall(&charges[1]);
    Stall(&charges[2]);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kLarge), &charges[1]);
    jr_inbound_release(&inbound_, &charges[1]);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &charges[2], kLarge), nullptr);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kLarge), &charges[2]);
}

/* Guards against an end of a request that is being handled. */
TEST_F(InboundTest, ACompleteBodyNeverGivesWay)
{
    jr_charge_t charge = {};
    jr_charge_t newcomer = {};

    ASSERT_TRUE(jr_inbound_charge(&inbound_, &charge, kSmall));
    Stall(&charge);
    jr_inbound_complete(&inbound_, &charge);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kSmall), nullptr);
    EXPECT_EQ(inbound_.used, kSmall);
}

/* Guards against many small open bodies that shut out ordinary requests. */
TEST_F(InboundTest, ASmallRequestFindsMemoryAmongSmallOpenBodies)
{
    jr_charge_t charges[kTotal / kSmall] = {};
    jr_charge_t newcomer = {};

    for (jr_charge_t &charge : charges) {
        ASSERT_TRUE(jr_inbound_charge(&inbound_, &charge, kSmall));
    }
    EXPECT_FALSE(jr_inbound_charge(&inbound_, &newcomer, kSmall));
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kLarge), nullptr);
    EXPECT_EQ(jr_inbound_stalest(&inbound_, &newcomer, kSmall), &charges[0]);
    jr_inbound_release(&inbound_, &charges[0]);
    EXPECT_TRUE(jr_inbound_charge(&inbound_, &newcomer, kSmall));
}

/* Guards against connections that are counted twice, or never given back. */
TEST_F(InboundTest, AConnectionThatGaveWayLeavesOnce)
{
    jr_inbound_conn_t conns[3] = {};
    jr_inbound_conn_t *ended;

    jr_inbound_limit(&inbound_, 2);
    jr_inbound_enter(&inbound_, &conns[0]);
    EXPECT_TRUE(jr_inbound_make(&inbound_, &ended));
    EXPECT_EQ(ended, nullptr);
    jr_inbound_enter(&inbound_, &conns[1]);
    jr_inbound_rest(&inbound_, &conns[0]);
    EXPECT_TRUE(jr_inbound_make(&inbound_, &ended));
    EXPECT_EQ(ended, &conns[1]);
    jr_inbound_enter(&inbound_, &conns[2]);
    jr_inbound_rest(&inbound_, &conns[1]);
    jr_inbound_leave(&inbound_, &conns[1]);
    EXPECT_EQ(inbound_.n_conns, 2u);
    jr_inbound_begin(&inbound_, &conns[0]);
    jr_inbound_begin(&inbound_, &conns[2]);
    EXPECT_FALSE(jr_inbound_make(&inbound_, &ended));
    jr_inbound_leave(&inbound_, &conns[0]);
    jr_inbound_leave(&inbound_, &conns[2]);
    EXPECT_EQ(inbound_.n_conns, 0u);
    EXPECT_TRUE(TAILQ_EMPTY(&inbound_.idle));
}

} // namespace
