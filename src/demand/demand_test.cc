/* Tests of the forecast with steady, rising, periodic and single loads. */
#include <gtest/gtest.h>

#include <cmath>
#include <functional>

extern "C" {
#include "jayrelay/demand.h"
}

namespace {

constexpr int64_t kPassMs = 100;
constexpr int64_t kAheadMs = 1000;
constexpr double kRiseMax = 1.3;
constexpr double kTwoPi = 6.283185307179586;

/* Notes the load for a while. */
jr_demand_t
Follow(const std::function<double(int64_t)> &load, int64_t until)
{
    jr_demand_t demand = {};

    for (int64_t now = kPassMs; now <= until; now += kPassMs) {
        jr_demand_note(&demand, load(now), now);
    }
    return demand;
}

double
Wave(int64_t now)
{
    return 400000.0 + 200000.0 * std::sin(kTwoPi * (double)now / 13000.0);
}

} // namespace

TEST(DemandTest, ASteadyDemandIsExpectedToStay)
{
    jr_demand_t demand = Follow([](int64_t) { return 5000.0; }, 10000);

    EXPECT_NEAR(jr_demand_expected(&demand, kAheadMs), 5000.0, 1.0);
    EXPECT_NEAR(demand.peak, 5000.0, 1.0);
}

TEST(DemandTest, ARisingDemandIsExpectedToRise)
{
    jr_demand_t demand =
        Follow([](int64_t now) { return 1000.0 + 0.1 * (double)now; }, 10000);

    EXPECT_GT(jr_demand_expected(&demand, kAheadMs), demand.latest);
}

/* The peak is remembered for a while, so that the next wave finds room. */
TEST(DemandTest, ThePeakOfAWaveIsRememberedInItsTrough)
{
    jr_demand_t demand = Follow(Wave, 13000 * 3 + 13000 * 3 / 4);

    EXPECT_LT(demand.latest, 210000.0);
    EXPECT_GT(demand.peak, 400000.0);
    EXPECT_LE(demand.peak, 600000.0);
}

TEST(DemandTest, ASingleBurstIsForgotten)
{
    jr_demand_t demand = Follow(
        [](int64_t now) { return now < 1000 ? 9000.0 : 100.0; }, 121000);

    EXPECT_LT(demand.peak, 200.0);
    EXPECT_NEAR(jr_demand_expected(&demand, kAheadMs), 100.0, 1.0);
}

/* A wrong forecast costs at most a fixed part of the demand. */
TEST(DemandTest, WhatIsExpectedIsBounded)
{
    for (int kind = 0; kind < 4; kind++) {
        jr_demand_t demand = {};

        for (int64_t now = kPassMs; now < 60000; now += kPassMs) {
            double value = kind == 0   ? Wave(now)
                           : kind == 1 ? (now / 3000 % 2 == 0 ? 100.0 : 9000.0)
                           : kind == 2 ? (double)(now * 7919 % 10007)
                                       : (now == 5000 ? 1e9 : 0.0);

            jr_demand_note(&demand, value, now);
            ASSERT_GE(jr_demand_expected(&demand, kAheadMs), value);
            ASSERT_LE(jr_demand_expected(&demand, kAheadMs), kRiseMax * value);
            ASSERT_GE(demand.peak, value);
        }
    }
}

/* A leader that was paused, and two passes at one time. */
TEST(DemandTest, AnyGapBetweenPassesIsAccepted)
{
    jr_demand_t demand = {};

    jr_demand_note(&demand, 1000.0, 100);
    jr_demand_note(&demand, 3000.0, 100);
    EXPECT_EQ(demand.latest, 3000.0);
    EXPECT_EQ(demand.peak, 3000.0);
    jr_demand_note(&demand, 2000.0, 3600 * 1000);
    EXPECT_NEAR(demand.peak, 2000.0, 1.0);
    EXPECT_NEAR(jr_demand_expected(&demand, kAheadMs), 2000.0, 10.0);
}
