/* Tests of drained zones: nothing is started there, and what runs goes on. */
#include <gtest/gtest.h>

#include "fleet_test.h"

class DrainTest : public testing::Test {
  protected:
    DrainTest() : fleet(1, 2)
    {
        fleet.workers[0].zone = "a";
        fleet.workers[1].zone = "b";
        fleet.CheckIn(0);
        fleet.CheckIn(1);
        fleet.Run(500);
    }

    ~DrainTest() override
    {
        for (const std::string &what : fleet.violations) {
            ADD_FAILURE() << what;
        }
    }

    Fleet fleet;
};

TEST_F(DrainTest, NothingIsStartedInADrainedZone)
{
    fleet.task_ms = 60000;
    fleet.DrainZone("a");
    fleet.Run(100);
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(5000);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
}

TEST_F(DrainTest, WhatRunsInADrainedZoneGoesOnAndItsLeaseIsKept)
{
    fleet.task_ms = 12000;
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(500);
    fleet.DrainZone("a");
    fleet.Run(13000);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    for (uint32_t i = 0; i < 8; i++) {
        EXPECT_EQ(fleet.StartsOf({1, 0, 0, i}), 1u);
    }
}

TEST_F(DrainTest, AZoneThatIsTakenBackIsUsedAgain)
{
    fleet.task_ms = 60000;
    fleet.DrainZone("a");
    fleet.Run(1000);
    fleet.DrainZone("a", false);
    fleet.Run(200);
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(1), 8u);
}

/* The grants are proposed when the drain is applied, and come after it. */
TEST_F(DrainTest, AGrantThatWasDecidedBeforeTheDrainIsNotStarted)
{
    fleet.log_delay_ms = 60;
    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(30);
    fleet.DrainZone("a");
    fleet.Run(3000);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
}

/* The outcome of the starts is unknown when the zone is drained. */
TEST_F(DrainTest, AnUnacknowledgedStartIsNotRepeatedInADrainedZone)
{
    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(25);
    fleet.SetPartitioned(0, true);
    fleet.Run(700);
    ASSERT_EQ(fleet.workers[0].running.size(), 0u);
    fleet.DrainZone("a");
    fleet.Run(300);
    fleet.SetPartitioned(0, false);
    fleet.Run(10000);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
}

TEST_F(DrainTest, ANewLeaderKeepsAZoneDrained)
{
    fleet.task_ms = 60000;
    fleet.DrainZone("a");
    fleet.Run(100);
    fleet.ChangeLeader(true);
    fleet.Run(4000);
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(4000);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
}

/* A worker that the queue remembers is drained, comes back, and is removed. */
TEST_F(DrainTest, AQueueIsDrainedWhileAllItsWorkersAre)
{
    jr_job_queue_t *queue = fleet.jobs->queues;

    EXPECT_FALSE(jr_jobs_is_queue_drained(fleet.jobs, queue));
    fleet.DrainZone("a");
    fleet.Run(100);
    EXPECT_FALSE(jr_jobs_is_queue_drained(fleet.jobs, queue));
    fleet.DrainZone("b");
    fleet.Run(100);
    EXPECT_TRUE(jr_jobs_is_queue_drained(fleet.jobs, queue));
    fleet.DrainZone("a", false);
    fleet.Run(100);
    EXPECT_FALSE(jr_jobs_is_queue_drained(fleet.jobs, queue));
    fleet.Crash(0);
    fleet.Run(30000);
    ASSERT_EQ(jr_jobs_worker(fleet.jobs, "w0"), nullptr);
    EXPECT_TRUE(jr_jobs_is_queue_drained(fleet.jobs, queue));
}

/* The last run ends on one worker while another of the zone is busy. */
TEST_F(DrainTest, AZoneIsEmptyOnceNoWorkerOfItRunsAnything)
{
    fleet.task_ms = 3000;
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(500);
    fleet.DrainZone("a");
    fleet.Run(500);
    EXPECT_FALSE(jr_jobs_is_zone_empty(fleet.jobs, "a"));
    EXPECT_TRUE(jr_jobs_is_zone_empty(fleet.jobs, "c"));
    fleet.Run(5000);
    EXPECT_TRUE(jr_jobs_is_zone_empty(fleet.jobs, "a"));
}

/* All zones: accepted tasks wait until one is taken back. */
TEST_F(DrainTest, TasksWaitWhileAllZonesAreDrained)
{
    fleet.task_ms = 500;
    fleet.DrainZone("a");
    fleet.DrainZone("b");
    fleet.Run(100);
    EXPECT_TRUE(jr_jobs_is_service_drained(fleet.jobs, "s"));
    EXPECT_FALSE(jr_jobs_is_service_drained(fleet.jobs, "none"));
    fleet.Submit(1, {MakeStep(2)});
    fleet.Run(3000);
    EXPECT_EQ(fleet.State(1), JR_JOB_QUEUED);
    fleet.DrainZone("b", false);
    fleet.Run(2000);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
}
