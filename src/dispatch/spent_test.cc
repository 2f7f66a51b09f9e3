/* Tests of the account of where the time of jobs goes. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

const jr_spent_t &
SpentOf(const Fleet &fleet, uint64_t id)
{
    return jr_jobs_find(fleet.jobs, id)->spent;
}

Jr__JobStep
Wanted(uint32_t count, uint32_t cpu)
{
    Jr__JobStep step = MakeStep(count, cpu);

    step.estimate_ms = 1000; /* wanted within 2 s */
    return step;
}

} // namespace

TEST(SpentTest, AJobWithCapacitySpendsItsTimeInItsRuns)
{
    Fleet fleet(1, 2);
    Jr__JobStep second = Wanted(2, 1000);
    uint32_t after[] = {0};

    fleet.Run(500);
    second.n_after = 1;
    second.after = after;
    fleet.task_ms = 700;
    fleet.Submit(1, {Wanted(3, 1000), second});
    fleet.Run(3000);
    ASSERT_EQ(fleet.State(1), JR_JOB_DONE);
    EXPECT_NEAR(static_cast<double>(SpentOf(fleet, 1).run), 1400.0, 150.0);
    EXPECT_LE(SpentOf(fleet, 1).capacity, 100);
    EXPECT_EQ(SpentOf(fleet, 1).lost, 0);
    EXPECT_EQ(fleet.Counter(JR_C_URGENT_IN_TIME), 1u);
}

/* The second job waits for the capacity that the first one holds. */
TEST(SpentTest, AWaitForCapacityIsToldFromTheRunThatFollows)
{
    Fleet fleet(1, 1);

    fleet.Run(500);
    fleet.task_ms = 2500;
    fleet.Submit(1, {Wanted(4, 1000)});
    fleet.Run(100);
    fleet.task_ms = 500;
    fleet.Submit(2, {Wanted(1, 1000)});
    fleet.Run(4000);
    ASSERT_EQ(fleet.State(2), JR_JOB_DONE);
    EXPECT_NEAR(static_cast<double>(SpentOf(fleet, 2).capacity), 2400.0,
                200.0);
    EXPECT_NEAR(static_cast<double>(SpentOf(fleet, 2).run), 500.0, 100.0);
    EXPECT_EQ(fleet.Counter(JR_C_URGENT_LATE), 2u);
}

TEST(SpentTest, ARunThatIsLostWithItsWorkerCounts)
{
    Fleet fleet(1, 2);

    fleet.Run(500);
    fleet.task_ms = 1500;
    fleet.Submit(1, {Wanted(8, 1000)});
    fleet.Run(1000);
    fleet.Restart(0);
    fleet.Run(5000);
    ASSERT_EQ(fleet.State(1), JR_JOB_DONE);
    EXPECT_GE(SpentOf(fleet, 1).lost, 800);
    EXPECT_GE(SpentOf(fleet, 1).run, 1400);
}
