/* Paces and moves of fillers beside services. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

/* A service beside fillers of a heavy image; tests set what it has alone. */
class PaceTest : public ::testing::Test {
  protected:
    static constexpr uint32_t kTargetMs = 100;
    static constexpr double kSlope = 6.0;

    void
    Start(Fleet &fleet)
    {
        Jr__JobStep service = MakeStep(1, 1000);
        Jr__JobStep filler = MakeStep(4, 400);

        service.service = 1;
        service.tail_target_ms = kTargetMs;
        service.image = const_cast<char *>("service");
        filler.filler = 1;
        filler.image = const_cast<char *>("filler");
        fleet.task_ms = 600000;
        fleet.percent = 100;
        fleet.gauge_of = [this](const FleetWorker &worker,
                                const TaskName &task) {
            return Gauge(worker, task);
        };
        fleet.Submit(1, {service});
        fleet.Run(4000);
        fleet.Submit(2, {filler});
    }

    double
    Headroom(const FleetWorker &worker) const
    {
        double sum = alone_;

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
    Pace(const Fleet &fleet)
    {
        uint32_t sum = 0;

        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                sum += name.job == 2 ? run.pace : 0;
            }
        }
        return sum;
    }

    double alone_ = 0.0;
};

} // namespace

/* Pattern: a service's own load rises while fillers run beside it. */
TEST_F(PaceTest, FillersSlowDownForAServiceAndSpeedUpAfterwards)
{
    Fleet fleet(1, 1);

    alone_ = 4.5;
    Start(fleet);
    fleet.Run(20000);
    ASSERT_EQ(fleet.Running(2), 4u);
    EXPECT_EQ(Pace(fleet), 400u);
    for (; alone_ > 2.0; alone_ -= 0.25) {
        fleet.Run(500);
    }
    fleet.Run(1500);
    EXPECT_EQ(fleet.Running(2), 4u);
    EXPECT_GE(Headroom(fleet.workers[0]), 1.0);
    EXPECT_GT(Pace(fleet), 50u);
    EXPECT_LT(Pace(fleet), 200u);
    alone_ = 4.5;
    fleet.Run(6000);
    EXPECT_EQ(Pace(fleet), 400u);
}

/* The paces that an earlier leader set are not known to the next one. */
TEST_F(PaceTest, ANewLeaderSetsPacesAgain)
{
    Fleet fleet(1, 1);

    alone_ = 4.5;
    Start(fleet);
    fleet.Run(10000);
    ASSERT_EQ(fleet.Running(2), 4u);
    for (auto &[name, run] : fleet.workers[0].running) {
        run.pace = name.job == 2 ? 1 : 100;
    }
    fleet.Run(4000);
    EXPECT_EQ(Pace(fleet), 4u); /* nobody knows of it */
    fleet.ChangeLeader(true);
    fleet.Run(4000);
    EXPECT_EQ(Pace(fleet), 400u);
}

/* An order to slow down may arrive after a later one to speed up. */
TEST_F(PaceTest, ALatePaceIsCorrected)
{
    Fleet fleet(3, 1);

    alone_ = 4.5;
    Start(fleet);
    fleet.Run(10000);
    ASSERT_EQ(fleet.Running(2), 4u);
    fleet.faults.late = 30;
    for (int i = 0; i < 10; i++) {
        alone_ = alone_ > 3.0 ? 2.2 : 4.5;
        fleet.Run(1500);
    }
    fleet.faults.late = 0;
    alone_ = 4.5;
    fleet.Run(30000);
    EXPECT_EQ(Pace(fleet), 100u * static_cast<uint32_t>(fleet.Running(2)));
    EXPECT_TRUE(fleet.violations.empty());
}

/* What runs slowly by order makes no progress, and is not stalled. */
TEST_F(PaceTest, AFillerThatIsSlowedDownIsNotStalled)
{
    Fleet fleet(1, 1);

    alone_ = 4.5;
    Start(fleet);
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(2), 4u);
    alone_ = 1.15;
    fleet.Run(12000);
    EXPECT_EQ(fleet.Running(2), 4u);
    EXPECT_EQ(fleet.StartsOf({2, 0, 0, 0}), 1u);
}

/*
 * Pattern: a service's own load stays high, so that the fillers beside it
 * hardly work. They go on where there is room.
 */
TEST_F(PaceTest, FillersThatStandMoveToAWorkerWithRoom)
{
    Fleet fleet(1, 2);
    size_t with_service = 0;

    alone_ = 4.5;
    fleet.Cut(1, true);
    Start(fleet);
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(2), 4u);
    fleet.Cut(1, false);
    fleet.CheckIn(1);
    fleet.Run(1000);
    alone_ = 1.15;
    fleet.Run(12000);
    EXPECT_EQ(fleet.Running(2), 4u);
    for (const FleetWorker &worker : fleet.workers) {
        if (worker.running.count({1, 0, 0, 0}) == 1) {
            with_service = worker.running.size();
        }
    }
    EXPECT_EQ(with_service, 1u);
    EXPECT_EQ(Pace(fleet), 400u);
}
