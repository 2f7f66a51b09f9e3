/* Tests of the pace and migration of best-effort tasks beside services. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

/*
 * A service beside best-effort tasks of an image that interferes with it: they
 * lower its headroom in proportion to their pace. Tests set headroom_alone_,
 * the headroom of the service without them.
 */
class PaceTest : public ::testing::Test {
  protected:
    static constexpr uint32_t kTargetMs = 100;
    static constexpr double kSlope = 6.0;

    void
    SubmitJobs(Fleet &fleet)
    {
        Jr__JobStep service = MakeStep(1, 1000);
        Jr__JobStep best_effort = MakeStep(4, 400);

        service.service = 1;
        service.tail_target_ms = kTargetMs;
        service.image = const_cast<char *>("service");
        best_effort.filler = 1;
        best_effort.image = const_cast<char *>("filler");
        fleet.task_ms = 600000;
        fleet.reported_percent = 100;
        fleet.gauge_of = [this](const FleetWorker &worker,
                                const TaskName &task) {
            return Gauge(worker, task);
        };
        fleet.Submit(1, {service});
        fleet.Run(4000);
        fleet.Submit(2, {best_effort});
    }

    double
    Headroom(const FleetWorker &worker) const
    {
        double sum = headroom_alone_;

        for (const auto &[name, run] : worker.running) {
            sum -= name.job == 2 ? kSlope * 0.1 * run.pace / 100.0 : 0.0;
        }
        return std::max(sum, 0.1);
    }

    uint32_t
    Gauge(const FleetWorker &worker, const TaskName &task) const
    {
        if (task.job == 1) {
            return static_cast<uint32_t>(kTargetMs / Headroom(worker));
        }
        return 4 * worker.running.at(task).pace;
    }

    static uint32_t
    TotalPace(const Fleet &fleet)
    {
        uint32_t sum = 0;

        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                sum += name.job == 2 ? run.pace : 0;
            }
        }
        return sum;
    }

    double headroom_alone_ = 0.0;
};

} // namespace

/* The service's own load rises and falls beside best-effort tasks. */
TEST_F(PaceTest, BestEffortTasksSlowDownForAServiceAndSpeedUpAfterwards)
{
    Fleet fleet(1, 1);

    headroom_alone_ = 4.5;
    SubmitJobs(fleet);
    fleet.Run(20000);
    ASSERT_EQ(fleet.Running(2), 4u);
    EXPECT_EQ(TotalPace(fleet), 400u);
    for (; headroom_alone_ > 2.0; headroom_alone_ -= 0.25) {
        fleet.Run(500);
    }
    fleet.Run(1500);
    EXPECT_EQ(fleet.Running(2), 4u);
    EXPECT_GE(Headroom(fleet.workers[0]), 1.0);
    EXPECT_GT(TotalPace(fleet), 50u);
    EXPECT_LT(TotalPace(fleet), 200u);
    headroom_alone_ = 4.5;
    fleet.Run(6000);
    EXPECT_EQ(TotalPace(fleet), 400u);
}

/* A new leader does not know which paces its predecessor set. */
TEST_F(PaceTest, ANewLeaderSetsPacesAgain)
{
    Fleet fleet(1, 1);

    headroom_alone_ = 4.5;
    SubmitJobs(fleet);
    fleet.Run(10000);
    ASSERT_EQ(fleet.Running(2), 4u);
    for (auto &[name, run] : fleet.workers[0].running) {
        run.pace = name.job == 2 ? 1 : 100;
    }
    fleet.Run(4000);
    EXPECT_EQ(TotalPace(fleet), 4u); /* unknown to the leader */
    fleet.ChangeLeader(true);
    fleet.Run(4000);
    EXPECT_EQ(TotalPace(fleet), 400u);
}

/* A delayed order to slow down may arrive after a newer one to speed up. */
TEST_F(PaceTest, ALatePaceOrderIsCorrected)
{
    Fleet fleet(3, 1);

    headroom_alone_ = 4.5;
    SubmitJobs(fleet);
    fleet.Run(10000);
    ASSERT_EQ(fleet.Running(2), 4u);
    fleet.faults.late = 30;
    for (int i = 0; i < 10; i++) {
        headroom_alone_ = headroom_alone_ > 3.0 ? 2.2 : 4.5;
        fleet.Run(1500);
    }
    fleet.faults.late = 0;
    headroom_alone_ = 4.5;
    fleet.Run(30000);
    EXPECT_EQ(TotalPace(fleet),
              100u * static_cast<uint32_t>(fleet.Running(2)));
    EXPECT_TRUE(fleet.violations.empty());
}

/* A task slowed down by a pace order is not stopped as stalled. */
TEST_F(PaceTest, ASlowedBestEffortTaskIsNotStalled)
{
    Fleet fleet(1, 1);

    headroom_alone_ = 4.5;
    SubmitJobs(fleet);
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(2), 4u);
    headroom_alone_ = 1.15;
    fleet.Run(12000);
    EXPECT_EQ(fleet.Running(2), 4u);
    EXPECT_EQ(fleet.StartsOf({2, 0, 0, 0}), 1u);
}

/*
 * The service's own load stays high, so that best-effort tasks beside it make
 * almost no progress. They move to a worker with free capacity.
 */
TEST_F(PaceTest, SlowedBestEffortTasksMoveToAWorkerWithCapacity)
{
    Fleet fleet(1, 2);
    size_t with_service = 0;

    headroom_alone_ = 4.5;
    fleet.SetPartitioned(1, true);
    SubmitJobs(fleet);
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(2), 4u);
    fleet.SetPartitioned(1, false);
    fleet.CheckIn(1);
    fleet.Run(1000);
    headroom_alone_ = 1.15;
    fleet.Run(12000);
    EXPECT_EQ(fleet.Running(2), 4u);
    for (const FleetWorker &worker : fleet.workers) {
        if (worker.running.count({1, 0, 0, 0}) == 1) {
            with_service = worker.running.size();
        }
    }
    EXPECT_EQ(with_service, 1u);
    EXPECT_EQ(TotalPace(fleet), 400u);
}

/*
 * Each run that ended made its worker answer, and each answer planned the
 * paces anew: the more a leader had to do, the more orders for paces it sent.
 * Time between two plans grows with the number of workers.
 */
TEST_F(PaceTest, PacesAreNotPlannedWithEachRunThatEnds)
{
    constexpr size_t kWorkers = 500;
    constexpr int64_t kGapMs = 500; /* 1 ms for each of them */
    constexpr int64_t kForMs = 6000;
    Fleet fleet(1, kWorkers);
    uint64_t before;

    headroom_alone_ = 4.5;
    for (size_t i = 1; i < kWorkers; i++) {
        fleet.SetPartitioned(i, true);
    }
    SubmitJobs(fleet);
    fleet.Run(2000);
    ASSERT_EQ(fleet.Running(2), 4u);
    /* The measured headroom varies, and never falls below the target. */
    fleet.gauge_of = [this](const FleetWorker &worker, const TaskName &task) {
        uint32_t gauge = Gauge(worker, task);

        return task.job == 1 ? std::min(gauge, kTargetMs - 1) : gauge;
    };
    before = fleet.Counter(JR_C_PACES);
    fleet.task_ms = 30;
    for (int64_t ms = 0; ms < kForMs; ms += 60) {
        headroom_alone_ = ms % 480 < 240 ? 2.0 : 4.5;
        fleet.Submit(static_cast<uint64_t>(100 + ms), {MakeStep(1, 100)});
        fleet.Run(60);
    }
    EXPECT_LE(fleet.Counter(JR_C_PACES) - before, 4 * (kForMs / kGapMs + 1));
}

/* A service that begins to exceed its target does not wait for that time. */
TEST_F(PaceTest, PacesArePlannedAtOnceForAServiceOverItsTarget)
{
    constexpr size_t kWorkers = 500;
    constexpr int64_t kStepMs = 50;
    constexpr int64_t kSoonMs = 250;

    for (int64_t phase_ms = 0; phase_ms < 500; phase_ms += 100) {
        Fleet fleet(1, kWorkers);
        int64_t late_ms = -600 - phase_ms;

        headroom_alone_ = 4.5;
        for (size_t i = 1; i < kWorkers; i++) {
            fleet.SetPartitioned(i, true);
        }
        SubmitJobs(fleet);
        fleet.Run(4000);
        ASSERT_EQ(fleet.Running(2), 4u);
        fleet.task_ms = 30;
        for (uint64_t job = 100; TotalPace(fleet) == 400u && late_ms < 2000;
             late_ms += kStepMs) {
            headroom_alone_ = late_ms < 0 ? 4.5 : 2.0;
            /* The worker answers as each of these ends. */
            fleet.Submit(job++, {MakeStep(1, 100)});
            fleet.Run(kStepMs);
        }
        EXPECT_LE(late_ms, kSoonMs) << phase_ms;
    }
}

/*
 * Guards against urgent tasks that wait while a busy leader sends paces: it
 * knows none after its election, and sends all of them.
 */
TEST_F(PaceTest, AStartDoesNotWaitForPaces)
{
    constexpr uint32_t kBestEffort = 60;
    constexpr int64_t kStepMs = 10;
    constexpr int64_t kSoonMs = 150; /* paces alone take 600 */
    Fleet fleet(1, 1);
    Jr__JobStep best_effort = MakeStep(kBestEffort, 10);
    int64_t late_ms = 0;

    headroom_alone_ = 9.0;
    SubmitJobs(fleet);
    best_effort.filler = 1;
    best_effort.image = const_cast<char *>("harmless");
    fleet.Submit(3, {best_effort});
    fleet.Run(20000);
    ASSERT_EQ(fleet.Running(3), kBestEffort) << fleet.Running(2);
    fleet.ChangeLeader(true);
    for (int i = 0; fleet.Counter(JR_C_PACES) < kBestEffort; i++) {
        ASSERT_LT(i, 300);
        fleet.Run(kStepMs);
        fleet.orders_per_step = fleet.Counter(JR_C_RENEWALS_SENT) > 0 ? 1 : 0;
    }
    fleet.Submit(4, {MakeStep(1, 100)});
    for (; fleet.StartsOf({4, 0, 0, 0}) == 0 && late_ms < 2000;
         late_ms += kStepMs) {
        fleet.Run(kStepMs);
    }
    EXPECT_LE(late_ms, kSoonMs);
    fleet.Run(3000);
    EXPECT_GE(fleet.Counter(JR_C_PACES_SENT), kBestEffort);
}
