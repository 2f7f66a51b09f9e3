/*
 * Calls under faults, in virtual time: every call gets one verdict, "not
 * run" is true, what is not idempotent runs at most once, and no executor
 * gets more calls than it has slots.
 */
#include <gtest/gtest.h>

#include "pool_test.h"

using pool::Fault;
using pool::Options;
using pool::Pool;

static Options
Small()
{
    Options options;

    options.executors = 12;
    options.route.kind = JR_ROUTE_SCORED;
    return options;
}

/* Several kinds of trouble, one after another. */
static void
RunTrouble(Pool &p, uint32_t seed)
{
    std::mt19937 rng(seed);

    p.Run(1, 0.3 * p.Capacity());
    for (int round = 0; round < 6; round++) {
        int x = (int)(rng() % 12);
        static const Fault faults[] = {Fault::kFastFail, Fault::kSlow,
                                       Fault::kDead};

        p.SetFault(x, faults[rng() % 3]);
        p.CutZone((int)(rng() % 3), rng() % 3 == 0);
        p.SetCrossing(0.05 * (rng() % 3), 8000);
        p.Run(0.7, (0.4 + 0.3 * (rng() % 5)) * p.Capacity());
        if (rng() % 2 == 0) {
            p.SetFault(x, Fault::kNone);
        }
    }
    p.Drain();
}

TEST(Relay, HoldsThePromisesUnderFaults)
{
    long calls = 0;

    for (uint32_t seed = 1; seed <= 60; seed++) {
        Pool p(seed, Small());

        RunTrouble(p, seed);
        calls += p.metrics.calls;
        ASSERT_EQ(p.metrics.wrong_not_run, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.doubled, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.two_verdicts, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.mixed, 0) << "seed " << seed;
        ASSERT_EQ(p.OpenCalls(), 0u) << "seed " << seed;
        ASSERT_EQ(p.metrics.calls, p.metrics.answered + p.metrics.refused +
                                       p.metrics.unknown + p.metrics.failed)
            << "seed " << seed;
    }
    printf("%ld calls\n", calls);
}

/* Without faults that leave work behind, slots are never exceeded. */
TEST(Relay, NoExecutorGetsMoreThanItsSlots)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        Options options = Small();

        /* Nothing times out, so the entries know all that runs. */
        options.deadline_us = 5000000;
        Pool p(seed, options);

        p.Run(1, 0.3 * p.Capacity());
        p.Run(3, 1.5 * p.Capacity());
        p.Run(1, 0.2 * p.Capacity());
        p.Drain();
        ASSERT_EQ(p.metrics.over_slots, 0) << "seed " << seed;
        EXPECT_GT(p.Counter(JR_C_LOANS_TAKEN), 0u);
    }
}

TEST(Relay, IsRedWhenEveryEntryTakesAllSlots)
{
    Options options = Small();

    options.deadline_us = 5000000;
    options.sloppy_slots = true;
    Pool p(1, options);

    p.Run(1, 0.3 * p.Capacity());
    p.Run(3, 1.5 * p.Capacity());
    EXPECT_GT(p.metrics.over_slots, 0);
}

TEST(Relay, IsRedWhenEveryFailureCountsAsNotRun)
{
    long wrong = 0;

    for (uint32_t seed = 1; seed <= 5; seed++) {
        Options options = Small();

        options.retry_blindly = true;
        Pool p(seed, options);

        RunTrouble(p, seed);
        wrong += p.metrics.doubled + p.metrics.wrong_not_run;
    }
    EXPECT_GT(wrong, 0);
}

TEST(Relay, IsRedWhenAnswersAreNotMatched)
{
    long mixed = 0;

    for (uint32_t seed = 1; seed <= 5; seed++) {
        Options options = Small();

        options.match_nothing = true;
        Pool p(seed, options);

        RunTrouble(p, seed);
        mixed += p.metrics.mixed;
    }
    EXPECT_GT(mixed, 0);
}

/* Most upstreams leave; one entry process is cut off from the news. */
static long
CallsAfterLeaving(bool hear_forever)
{
    Options options = Small();

    options.deaf_entry = 0;
    options.hear_forever = hear_forever;
    Pool p(3, options);

    p.Run(1, 0.3 * p.Capacity());
    for (int x = 1; x < 12; x++) {
        p.Leave(x);
    }
    p.Run(6, 0.05 * p.Capacity());
    EXPECT_GT(p.metrics.answered, 0);
    return p.metrics.after_leaving;
}

TEST(Relay, ALeavingUpstreamGetsNoNewWorkAfterThreeSeconds)
{
    EXPECT_EQ(CallsAfterLeaving(false), 0);
}

TEST(Relay, IsRedWhenLeavingUpstreamsAreHeardForever)
{
    EXPECT_GT(CallsAfterLeaving(true), 0);
}

TEST(Relay, ACutOffZoneGoesOnWithItsOwn)
{
    Pool p(4, Small());

    p.Run(1, 0.3 * p.Capacity());
    p.CutZone(1, true);
    p.Run(3, 0.3 * p.Capacity());
    p.Drain();
    EXPECT_EQ(p.metrics.refused, 0);
    EXPECT_EQ(p.metrics.unknown, 0);
    EXPECT_EQ(p.metrics.answered, p.metrics.calls);
}

/* The targets at 150 % of capacity: refused within 10 ms, 10 % more load. */
TEST(Relay, RefusalsAreNotHeldBack)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Options options = Small();

        options.executors = 50;
        Pool p(seed, options);
        long late = 0;

        p.Run(1, 0.5 * p.Capacity());
        p.ForgetMetrics();
        p.Run(3, 1.5 * p.Capacity());
        p.Drain();
        ASSERT_GT(p.metrics.refused, 0);
        for (double us : p.metrics.refusal_us) {
            late += us > 10000;
        }
        EXPECT_LE(late, p.metrics.refused / 100) << "seed " << seed;
        EXPECT_LE(p.metrics.attempts, p.metrics.calls * 11 / 10);
        EXPECT_GE((double)p.metrics.in_target, 0.95 * 3 * p.Capacity());
    }
}

/* An upstream that is full must not look like a free one. */
TEST(Relay, AFullUpstreamDoesNotDrawMoreCalls)
{
    Options options = Small();

    options.executors = 50;
    Pool p(1, options);

    p.Run(1, 0.5 * p.Capacity());
    p.Run(4, 1.5 * p.Capacity());
    EXPECT_LE(p.metrics.over_slots, p.metrics.attempts / 100);
}
