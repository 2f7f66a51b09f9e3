/* Tasks that fail or stall, and the workers on which they do. */
#include <gtest/gtest.h>

#include "fleet_test.h"

static void
ExpectClean(const Fleet &fleet)
{
    for (const std::string &what : fleet.violations) {
        ADD_FAILURE() << what;
    }
}

/* A worker is healthy when its services fail only after running for long. */
TEST(HealthTest, RareFailuresOfServicesCauseNoQuarantine)
{
    Fleet fleet(1, 1, {.task_fails = 100});
    Jr__JobStep service = MakeStep(1, 1000);

    service.service = 1;
    fleet.task_ms = 4000;
    for (uint64_t id = 1; id <= 3; id++) {
        fleet.Submit(id, {service});
        fleet.Run(1300);
    }
    fleet.Run(30000);
    EXPECT_GE(fleet.StartsOf({1, 0, 0, 0}), 6u);
    ExpectClean(fleet);
}

/* A worker on which every task fails gets no tasks for a while. */
TEST(HealthTest, AWorkerThatFailsEverythingIsQuarantined)
{
    Fleet fleet(1, 1, {.task_fails = 100, .max_failures = 1});

    fleet.task_ms = 50;
    for (uint64_t id = 1; id <= 4; id++) {
        fleet.Submit(id, {MakeStep(1, 4000)});
    }
    fleet.Run(1000);
    EXPECT_EQ(fleet.State(3), JR_JOB_FAILED);
    EXPECT_EQ(fleet.State(4), JR_JOB_QUEUED);
    fleet.Run(2500);
    EXPECT_EQ(fleet.State(4), JR_JOB_FAILED);
}

/*
 * A worker lists many failures at once. They cause a single quarantine, and
 * the worker gets tasks again soon.
 */
TEST(HealthTest, FailuresListedTogetherCauseOneQuarantine)
{
    Fleet fleet(1, 1, {.task_fails = 100, .max_failures = 1});

    fleet.task_ms = 200;
    for (uint64_t id = 1; id <= 8; id++) {
        fleet.Submit(id, {MakeStep(1, 500)});
    }
    fleet.Run(600);
    fleet.faults.task_fails = 0;
    fleet.Submit(9, {MakeStep(1, 500)});
    fleet.Run(500);
    EXPECT_EQ(fleet.State(9), JR_JOB_QUEUED);
    fleet.Run(3000);
    EXPECT_EQ(fleet.State(9), JR_JOB_DONE);
    ExpectClean(fleet);
}

/*
 * Guards against tasks that are stopped and run again elsewhere, since their
 * worker could not be heard for less than its lease. Some of them tell their
 * progress in steps.
 */
TEST(HealthTest, ATaskOfAWorkerThatWasSilentIsNotStalled)
{
    for (uint32_t percent : {0U, 30U}) { /* 0: its actual progress */
        Fleet fleet(1, 2, {}, {.lease_ms = 8000});

        fleet.task_ms = 20000;
        fleet.reported_percent = percent;
        fleet.Submit(1, {MakeStep(1)});
        fleet.Run(1500);
        for (size_t i = 0; i < 2; i++) {
            fleet.SetPartitioned(i, !fleet.workers[i].running.empty());
        }
        fleet.Run(4000);
        for (size_t i = 0; i < 2; i++) {
            fleet.SetPartitioned(i, false);
        }
        fleet.Run(1500);
        EXPECT_EQ(fleet.Running(1), 1u);
        EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 1u);
        EXPECT_EQ(fleet.Counter(JR_C_RUNS_STALLED), 0u);
        EXPECT_EQ(fleet.Counter(JR_C_QUARANTINES), 0u);
        ExpectClean(fleet);
    }
}

/* Tasks make no progress on a worker that still answers. */
TEST(HealthTest, AStalledTaskRunsElsewhere)
{
    Fleet fleet(1, 2);

    fleet.SetPartitioned(1, true);
    fleet.task_ms = 60000;
    fleet.reported_percent = 30;
    fleet.Submit(1, {MakeStep(2)});
    fleet.Run(500);
    ASSERT_EQ(fleet.workers[0].running.size(), 2u);
    fleet.SetPartitioned(1, false);
    fleet.Run(1000);
    EXPECT_EQ(fleet.workers[0].running.size(), 2u);
    fleet.Run(2500);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 2u);
    ExpectClean(fleet);
}

/* The task is released from the first worker and runs on the second. */
static void
ReleaseFirstRun(Fleet *fleet)
{
    fleet->task_ms = 60000;
    fleet->SetPartitioned(1, true);
    fleet->Submit(1, {MakeStep(1)});
    fleet->Run(500);
    ASSERT_EQ(fleet->workers[0].running.size(), 1u);
    fleet->SetPartitioned(1, false);
    fleet->workers[0].cpu = 500; /* the task fits no more */
    fleet->Restart(0);
    fleet->faults.task_fails = 100;
    fleet->task_ms = 5000;
    fleet->Run(3000);
    ASSERT_EQ(fleet->workers[1].running.size(), 1u);
}

/* The released run fails after all: the third start is the last. */
static void
ExpectLateFailureCounts(Fleet *fleet)
{
    fleet->task_ms = 100;
    fleet->StartStray(0, {1, 0, 0, 0}, 1, true);
    fleet->Run(8000);
    EXPECT_EQ(fleet->State(1), JR_JOB_FAILED);
    EXPECT_EQ(fleet->StartsOf({1, 0, 0, 0}), 3u);
    ExpectClean(*fleet);
}

/*
 * A run that was released fails later. Its failure was not counted, and the
 * task was started once too often.
 */
TEST(HealthTest, AFailureOfAReleasedRunCountsAsAnAttempt)
{
    Fleet fleet(1, 2, {.max_failures = 2});

    ReleaseFirstRun(&fleet);
    ExpectLateFailureCounts(&fleet);
}

/*
 * The same, right after its worker restarted, before it has answered a renewal
 * that carries a lease.
 */
TEST(HealthTest, AFailureRightAfterARestartCountsAsAnAttempt)
{
    Fleet fleet(1, 2, {.max_failures = 2});

    ReleaseFirstRun(&fleet);
    fleet.Restart(0);
    fleet.Run(20);
    ExpectLateFailureCounts(&fleet);
}

TEST(HealthTest, AJobThatAlwaysFailsEndsAfterItsAttempts)
{
    Fleet fleet(1, 4, {.task_fails = 100, .max_failures = 2});

    fleet.Submit(1, {MakeStep(1)});
    fleet.Run(4000);
    EXPECT_EQ(fleet.State(1), JR_JOB_FAILED);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 2u);
    ExpectClean(fleet);
}
