/* The room of requests that a process receives. */
#include <gtest/gtest.h>

extern "C" {
#include "jayrelay/room.h"
}

namespace {

constexpr size_t kSmall = 16 * 1024;
constexpr size_t kLarge = 1024 * 1024;
constexpr size_t kTotal = 4 * kLarge;

class RoomTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_room_init(&room_, kTotal);
    }

    void
    Stall(jr_hold_t *hold)
    {
        for (int i = 0; i < JR_ROOM_STALLED_TICKS; i++) {
            jr_room_tick(hold);
        }
    }

    jr_room_t room_;
};

/* Guards against large requests that shut out small ones. */
TEST_F(RoomTest, APartIsOnlyForSmallRequests)
{
    jr_hold_t large[4] = {};
    jr_hold_t small[65] = {};

    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(jr_room_charge(&room_, &large[i], kLarge));
    }
    EXPECT_FALSE(jr_room_charge(&room_, &large[3], kLarge));
    EXPECT_FALSE(jr_room_charge(&room_, &large[3], 2 * kSmall));
    for (int i = 0; i < 64; i++) {
        EXPECT_TRUE(jr_room_charge(&room_, &small[i], kSmall)) << i;
    }
    EXPECT_FALSE(jr_room_charge(&room_, &small[64], kSmall));
    EXPECT_EQ(room_.used, kTotal);
}

/* Guards against memory that is charged and never given back. */
TEST_F(RoomTest, WhatWasReleasedCanBeUsedAgain)
{
    jr_hold_t hold = {};

    for (int i = 0; i < 100; i++) {
        EXPECT_TRUE(jr_room_charge(&room_, &hold, kSmall));
        EXPECT_TRUE(jr_room_charge(&room_, &hold, kLarge));
        EXPECT_FALSE(jr_room_charge(&room_, &hold, kTotal));
        EXPECT_EQ(hold.bytes, kLarge);
        jr_room_progress(&room_, &hold);
        jr_room_release(&room_, &hold);
        jr_room_release(&room_, &hold);
    }
    EXPECT_EQ(room_.used, 0u);
    EXPECT_EQ(room_.used_large, 0u);
    EXPECT_TRUE(TAILQ_EMPTY(&room_.receiving));
}

/* Guards against bodies that arrive being closed for newcomers. */
TEST_F(RoomTest, OnlyStalledBodiesGiveWayToLargeOnesTheLongestFirst)
{
    jr_hold_t holds[3] = {};
    jr_hold_t newcomer = {};

    for (jr_hold_t &hold : holds) {
        ASSERT_TRUE(jr_room_charge(&room_, &hold, kLarge));
    }
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kLarge), nullptr);
    Stall(&holds[0]);
    jr_room_progress(&room_, &holds[0]);
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kLarge), nullptr);
    Stall(&holds[1]);
    Stall(&holds[2]);
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kLarge), &holds[1]);
    jr_room_release(&room_, &holds[1]);
    EXPECT_EQ(jr_room_stalest(&room_, &holds[2], kLarge), nullptr);
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kLarge), &holds[2]);
}

/* Guards against an end of a request that is being handled. */
TEST_F(RoomTest, ACompleteBodyNeverGivesWay)
{
    jr_hold_t hold = {};
    jr_hold_t newcomer = {};

    ASSERT_TRUE(jr_room_charge(&room_, &hold, kSmall));
    Stall(&hold);
    jr_room_complete(&room_, &hold);
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kSmall), nullptr);
    EXPECT_EQ(room_.used, kSmall);
}

/* Guards against many small open bodies that shut out ordinary requests. */
TEST_F(RoomTest, ASmallRequestFindsMemoryAmongSmallOpenBodies)
{
    jr_hold_t holds[kTotal / kSmall] = {};
    jr_hold_t newcomer = {};

    for (jr_hold_t &hold : holds) {
        ASSERT_TRUE(jr_room_charge(&room_, &hold, kSmall));
    }
    EXPECT_FALSE(jr_room_charge(&room_, &newcomer, kSmall));
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kLarge), nullptr);
    EXPECT_EQ(jr_room_stalest(&room_, &newcomer, kSmall), &holds[0]);
    jr_room_release(&room_, &holds[0]);
    EXPECT_TRUE(jr_room_charge(&room_, &newcomer, kSmall));
}

/* Guards against connections that are counted twice, or never given back. */
TEST_F(RoomTest, AConnectionThatGaveWayLeavesOnce)
{
    jr_seat_t seats[3] = {};
    jr_seat_t *ended;

    jr_room_limit(&room_, 2);
    jr_room_enter(&room_, &seats[0]);
    EXPECT_TRUE(jr_room_make(&room_, &ended));
    EXPECT_EQ(ended, nullptr);
    jr_room_enter(&room_, &seats[1]);
    jr_room_rest(&room_, &seats[0]);
    EXPECT_TRUE(jr_room_make(&room_, &ended));
    EXPECT_EQ(ended, &seats[1]);
    jr_room_enter(&room_, &seats[2]);
    jr_room_rest(&room_, &seats[1]);
    jr_room_leave(&room_, &seats[1]);
    EXPECT_EQ(room_.n_seats, 2u);
    jr_room_begin(&room_, &seats[0]);
    jr_room_begin(&room_, &seats[2]);
    EXPECT_FALSE(jr_room_make(&room_, &ended));
    jr_room_leave(&room_, &seats[0]);
    jr_room_leave(&room_, &seats[2]);
    EXPECT_EQ(room_.n_seats, 0u);
    EXPECT_TRUE(TAILQ_EMPTY(&room_.idle));
}

} // namespace
