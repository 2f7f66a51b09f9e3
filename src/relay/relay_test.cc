/*
 * Calls under faults, in virtual time: each call gets exactly one outcome, a
 * call reported as "not run" did not run, a call that is not idempotent runs
 * at most once, and no executor gets more concurrent calls than it has slots.
 * The Detects... tests inject a fault into the simulation and expect the
 * checks to notice it.
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

/* Run under random faults of executors and links between zones. */
static void
RunWithFaults(Pool &p, uint32_t seed)
{
    std::mt19937 rng(seed);

    p.Run(1, 0.3 * p.Capacity());
    for (int round = 0; round < 6; round++) {
        int x = (int)(rng() % 12);
        static const Fault faults[] = {Fault::kFastFail, Fault::kSlow,
                                       Fault::kDead};

        p.SetFault(x, faults[rng() % 3]);
        p.PartitionZone((int)(rng() % 3), rng() % 3 == 0);
        p.SetCrossZoneLink(0.05 * (rng() % 3), 8000);
        p.Run(0.7, (0.4 + 0.3 * (rng() % 5)) * p.Capacity());
        if (rng() % 2 == 0) {
            p.SetFault(x, Fault::kNone);
        }
    }
    p.Drain();
}

TEST(Relay, KeepsItsGuaranteesUnderFaults)
{
    long calls = 0;

    for (uint32_t seed = 1; seed <= 60; seed++) {
        Pool p(seed, Small());

        RunWithFaults(p, seed);
        calls += p.metrics.calls;
        ASSERT_EQ(p.metrics.wrong_not_run, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.duplicate_runs, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.duplicate_outcomes, 0) << "seed " << seed;
        ASSERT_EQ(p.metrics.misdelivered, 0) << "seed " << seed;
        ASSERT_EQ(p.OpenCalls(), 0u) << "seed " << seed;
        ASSERT_EQ(p.metrics.calls, p.metrics.answered + p.metrics.refused +
                                       p.metrics.unknown + p.metrics.failed)
            << "seed " << seed;
    }
    printf("%ld calls\n", calls);
}

/* Without faults that leave calls running, slots are never exceeded. */
TEST(Relay, NoExecutorGetsMoreCallsThanItsSlots)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        Options options = Small();

        /* Nothing times out, so the entries know of every running call. */
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

TEST(Relay, DetectsEntriesThatIgnoreTheirShares)
{
    Options options = Small();

    options.deadline_us = 5000000;
    options.ignore_shares = true;
    Pool p(1, options);

    p.Run(1, 0.3 * p.Capacity());
    p.Run(3, 1.5 * p.Capacity());
    EXPECT_GT(p.metrics.over_slots, 0);
}

TEST(Relay, DetectsFailuresReportedAsNotRun)
{
    long wrong = 0;

    for (uint32_t seed = 1; seed <= 5; seed++) {
        Options options = Small();

        options.report_all_not_run = true;
        Pool p(seed, options);

        RunWithFaults(p, seed);
        wrong += p.metrics.duplicate_runs + p.metrics.wrong_not_run;
    }
    EXPECT_GT(wrong, 0);
}

TEST(Relay, DetectsAnswersThatReachAnotherCall)
{
    long misdelivered = 0;

    for (uint32_t seed = 1; seed <= 5; seed++) {
        Options options = Small();

        options.misdeliver_late_answers = true;
        Pool p(seed, options);

        RunWithFaults(p, seed);
        misdelivered += p.metrics.misdelivered;
    }
    EXPECT_GT(misdelivered, 0);
}

/*
 * Most upstreams leave, and one entry process gets no announcement of that.
 * Returns the calls that reached an upstream 3 s after it began to leave.
 */
static long
CallsAfterLeaving(bool ignore_leaving)
{
    Options options = Small();

    options.partitioned_entry = 0;
    options.ignore_leaving = ignore_leaving;
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

TEST(Relay, DetectsCallsToUpstreamsThatLeft)
{
    EXPECT_GT(CallsAfterLeaving(true), 0);
}

TEST(Relay, APartitionedZoneUsesItsOwnUpstreams)
{
    Pool p(4, Small());

    p.Run(1, 0.3 * p.Capacity());
    p.PartitionZone(1, true);
    p.Run(3, 0.3 * p.Capacity());
    p.Drain();
    EXPECT_EQ(p.metrics.refused, 0);
    EXPECT_EQ(p.metrics.unknown, 0);
    EXPECT_EQ(p.metrics.answered, p.metrics.calls);
}

/*
 * At 150 % of capacity, 99 % of refusals take at most 10 ms and there are at
 * most 10 % more attempts than calls.
 */
TEST(Relay, RefusalsAreNotDelayed)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Options options = Small();

        options.executors = 50;
        Pool p(seed, options);
        long late = 0;

        p.Run(1, 0.5 * p.Capacity());
        p.ResetMetrics();
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

/* An upstream that reports that it is full must not be chosen again soon. */
TEST(Relay, AFullUpstreamDoesNotAttractCalls)
{
    Options options = Small();

    options.executors = 50;
    Pool p(1, options);

    p.Run(1, 0.5 * p.Capacity());
    p.Run(4, 1.5 * p.Capacity());
    EXPECT_LE(p.metrics.over_slots, p.metrics.attempts / 100);
}
