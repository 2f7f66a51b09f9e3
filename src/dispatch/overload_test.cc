/*
 * A leader that gets less done than its work needs, in virtual time: orders
 * and answers that it has no time for wait.
 */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr size_t kWorkers = 300;
constexpr size_t kFewWorkers = 10;
constexpr uint32_t kTasks = 40; /* of a job */
constexpr uint64_t kJobs = 120;
constexpr int64_t kJobEveryMs = 50; /* twice what the leader can start */
/*
 * In a step of 10 ms: 400 orders a second, a third more than it takes to renew
 * all leases in half their duration.
 */
constexpr size_t kOrders = 4;
constexpr size_t kAnswers = 8;
constexpr int64_t kDrainMs = 90000;

/* Load: 800 tasks a second for six seconds, each of half a second. */
void
Overload(Fleet *fleet, uint64_t n_jobs)
{
    fleet->Run(3000);
    fleet->orders_per_step = kOrders;
    fleet->answers_per_step = kAnswers;
    for (uint64_t id = 1; id <= n_jobs; id++) {
        fleet->Submit(id, {MakeStep(kTasks)});
        fleet->Run(kJobEveryMs);
    }
}

/* Guards against runs that are lost since starts go before renewals. */
TEST(OverloadTest, NoLeaseLapsesAtTwiceTheLoadThatTheLeaderCanStart)
{
    Fleet fleet(1, kWorkers);
    size_t n_waiting = 0;

    Overload(&fleet, kJobs);
    for (uint64_t id = 1; id <= kJobs; id++) {
        n_waiting += jr_job_is_live(jr_jobs_find(fleet.jobs, id));
    }
    EXPECT_GT(n_waiting, kJobs / 3) << "the leader is not overloaded";
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_EQ(fleet.Counter(JR_C_RUNS_RELEASED), 0u);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

/* Guards against an overload that keeps itself alive by what it repeats. */
TEST(OverloadTest, TheQueueDrainsOnceTheLoadIsOver)
{
    Fleet fleet(2, kWorkers);

    Overload(&fleet, kJobs);
    fleet.Run(kDrainMs);
    for (uint64_t id = 1; id <= kJobs; id++) {
        EXPECT_EQ(fleet.State(id), JR_JOB_DONE) << "job " << id;
    }
    for (uint64_t id = 1; id <= kJobs; id++) {
        for (uint32_t i = 0; i < kTasks; i++) {
            EXPECT_EQ(fleet.StartsOf({id, 0, 0, i}), 1u);
        }
    }
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

/*
 * Guards against a take-over that is the load which ends the next leadership:
 * the new leader keeps the leases that it finds.
 */
TEST(OverloadTest, AnOverloadedLeaderTakesOverWithoutLosingRuns)
{
    Fleet fleet(3, kWorkers);

    Overload(&fleet, kJobs / 2);
    fleet.ChangeLeader(true);
    fleet.Run(kDrainMs);
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    for (uint64_t id = 1; id <= kJobs / 2; id++) {
        EXPECT_EQ(fleet.State(id), JR_JOB_DONE) << "job " << id;
    }
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

/*
 * Guards against tasks that are started again after they are done: the leader
 * stood still for longer than a lease, and asked no worker since.
 */
TEST(OverloadTest, WhatIsDoneDuringALongTurnIsNotStartedAgain)
{
    Fleet fleet(4, kFewWorkers);

    fleet.task_ms = 1000;
    fleet.Run(1000);
    fleet.Submit(1, {MakeStep(kTasks)});
    fleet.Run(500);
    fleet.Stall(2 * FLEET_LEASE_MS);
    fleet.Run(4 * FLEET_LEASE_MS);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    for (uint32_t i = 0; i < kTasks; i++) {
        EXPECT_EQ(fleet.StartsOf({1, 0, 0, i}), 1u) << "task " << i;
    }
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

/*
 * The same, of a worker that did not answer once, before the long turn: it has
 * not been asked since.
 */
TEST(OverloadTest, AWorkerThatDidNotAnswerOnceIsAskedAgainAfterALongTurn)
{
    Fleet fleet(6, kFewWorkers);

    fleet.task_ms = 2500;
    fleet.Run(1000);
    fleet.Submit(1, {MakeStep(kTasks)});
    fleet.Run(300);
    fleet.SetPartitioned(0, true);
    while (fleet.Counter(JR_C_ORDERS_UNREACHED) +
               fleet.Counter(JR_C_ORDERS_UNCLEAR) ==
           0) {
        fleet.Run(10);
    }
    fleet.SetPartitioned(0, false);
    fleet.Stall(2 * FLEET_LEASE_MS);
    fleet.Run(4 * FLEET_LEASE_MS);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    for (uint32_t i = 0; i < kTasks; i++) {
        EXPECT_EQ(fleet.StartsOf({1, 0, 0, i}), 1u) << "task " << i;
    }
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

/*
 * Guards against a log from which a slow leader and slow carriers can't be
 * told apart: the wait for the order, and for the worker, have their own sums.
 */
TEST(OverloadTest, TheWaitForAnUrgentOrderAndForItsAnswerAreToldApart)
{
    constexpr int64_t kLogMs = 200;
    Fleet fleet(7, kFewWorkers);
    const jr_histogram_data_t *ordered, *started;

    fleet.Run(1000);
    fleet.log_delay_ms = kLogMs;
    fleet.Submit(1, {MakeStep(kFewWorkers)});
    fleet.Run(2000);
    ordered = fleet.Histogram(JR_H_ORDERED_URGENT);
    started = fleet.Histogram(JR_H_STARTED_URGENT);
    EXPECT_EQ(ordered->n, kFewWorkers);
    EXPECT_EQ(started->n, kFewWorkers);
    EXPECT_GE(ordered->sum_ms, kFewWorkers * kLogMs);
    EXPECT_LT(started->sum_ms, kFewWorkers * kLogMs);
}

/* Guards against leases that lapse while ends are on their way to the log. */
TEST(OverloadTest, LeasesOutlastASlowLog)
{
    Fleet fleet(5, kFewWorkers);

    fleet.long_running_job = 1;
    fleet.task_ms = 1000;
    fleet.Run(1000);
    fleet.Submit(1, {MakeStep(kFewWorkers)});
    fleet.Submit(2, {MakeStep(kFewWorkers)});
    fleet.Run(500);
    fleet.log_delay_ms = 3 * FLEET_LEASE_MS;
    fleet.Run(4 * FLEET_LEASE_MS);
    EXPECT_EQ(fleet.State(2), JR_JOB_DONE);
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    for (uint32_t i = 0; i < kFewWorkers; i++) {
        EXPECT_EQ(fleet.StartsOf({1, 0, 0, i}), 1u) << "task " << i;
        EXPECT_EQ(fleet.StartsOf({2, 0, 0, i}), 1u) << "task " << i;
    }
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

} // namespace
