/* Tests of the dispatcher with simulated workers, healthy and faulty. */
#include <gtest/gtest.h>

#include "fleet_test.h"

static void
ExpectClean(const Fleet &fleet)
{
    for (const std::string &what : fleet.violations) {
        ADD_FAILURE() << what;
    }
}

TEST(DispatchTest, AJobRunsFromSubmissionToItsEnd)
{
    Fleet fleet(1, 3);

    fleet.Submit(1, {MakeStep(5)});
    fleet.Run(2500);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    ExpectClean(fleet);
}

TEST(DispatchTest, AStepWaitsForItsPredecessors)
{
    Fleet fleet(1, 3);
    Jr__JobStep second = MakeStep(2);
    uint32_t after[] = {0};

    second.n_after = 1;
    second.after = after;
    fleet.Submit(1, {MakeStep(3), second});
    fleet.Run(600);
    EXPECT_EQ(fleet.StartsOf({1, 0, 1, 0}), 0u);
    fleet.Run(2500);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    ExpectClean(fleet);
}

TEST(DispatchTest, AWorkerIsNeverFilledBeyondItsCapacity)
{
    Fleet fleet(1, 2);

    fleet.Submit(1, {MakeStep(30, 1500)});
    fleet.Run(300);
    EXPECT_EQ(fleet.Running(1), 4u);
    fleet.Run(8000);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    ExpectClean(fleet);
}

/* A grant that is proposed when its job is cancelled must not take effect. */
TEST(DispatchTest, ACancelOvertakesAGrantInTheLog)
{
    Fleet fleet(1, 2);

    fleet.log_delay_ms = 50;
    fleet.Run(200);
    fleet.Submit(1, {MakeStep(2)});
    fleet.Run(10);
    fleet.Cancel(1);
    fleet.Submit(2, {MakeStep(2)});
    fleet.Run(3000);
    EXPECT_EQ(fleet.State(1), JR_JOB_CANCELLED);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 0u);
    EXPECT_EQ(fleet.State(2), JR_JOB_DONE);
    ExpectClean(fleet);
}

TEST(DispatchTest, ACancelledJobIsStopped)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(4)});
    fleet.Run(500);
    EXPECT_EQ(fleet.Running(1), 4u);
    fleet.Cancel(1);
    fleet.Run(500);
    EXPECT_EQ(fleet.Running(1), 0u);
    ExpectClean(fleet);
}

TEST(DispatchTest, TasksOfAnUnreachableWorkerWaitForItsLease)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.SetPartitioned(1, true);
    fleet.Submit(1, {MakeStep(2, 1000)});
    fleet.Run(500);
    ASSERT_EQ(fleet.Running(1), 2u);
    fleet.SetPartitioned(1, false);
    fleet.Run(3000);
    fleet.SetPartitioned(0, true);
    fleet.Run(1500);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 1u);
    fleet.Run(4000);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 2u);
    ExpectClean(fleet);
}

TEST(DispatchTest, ARestartedWorkersTasksStartAgain)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 2000;
    fleet.Submit(1, {MakeStep(4)});
    fleet.Run(500);
    fleet.Restart(0);
    fleet.Restart(1);
    fleet.Run(4000);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    ExpectClean(fleet);
}

TEST(DispatchTest, ADrainingWorkerGetsNoNewTasks)
{
    Fleet fleet(1, 2);

    fleet.Run(200);
    fleet.CheckIn(0, true);
    fleet.Run(200);
    fleet.Submit(1, {MakeStep(4)});
    fleet.Run(200);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
}

/*
 * The outcome of start orders is unknown, since the worker resets connections,
 * and the worker starts to drain meanwhile. The orders are not sent again.
 */
TEST(DispatchTest, AnUnacknowledgedStartIsGivenUpWhenItsWorkerDrains)
{
    Fleet fleet(1, 1);

    fleet.Run(1000);
    fleet.Submit(1, {MakeStep(2)});
    fleet.Run(25);
    fleet.SetPartitioned(0, true);
    fleet.Run(700);
    ASSERT_EQ(fleet.StartsOf({1, 0, 0, 0}), 0u);
    fleet.CheckIn(0, true);
    fleet.Run(300);
    fleet.SetPartitioned(0, false);
    fleet.Run(5000);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 0u);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 1}), 0u);
    ExpectClean(fleet);
}

TEST(DispatchTest, ANewLeaderTakesRunsOver)
{
    Fleet fleet(1, 3);

    fleet.task_ms = 3000;
    fleet.Submit(1, {MakeStep(6)});
    fleet.Run(1000);
    fleet.ChangeLeader(false);
    fleet.Run(4000);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 1u);
    ExpectClean(fleet);
}

TEST(DispatchTest, AServiceStartsAgainHoweverItEnds)
{
    Fleet fleet(1, 2);
    Jr__JobStep step = MakeStep(2);

    step.service = 1;
    fleet.Submit(1, {step});
    fleet.Run(4000);
    EXPECT_EQ(fleet.State(1), JR_JOB_RUNNING);
    EXPECT_GT(fleet.StartsOf({1, 0, 0, 0}), 3u);
    ExpectClean(fleet);
}

TEST(DispatchTest, TheNumberOfTasksOfAStepOnAWorkerIsLimited)
{
    Fleet fleet(1, 3);
    Jr__JobStep step = MakeStep(6, 500);

    fleet.task_ms = 60000;
    step.per_worker = 1;
    fleet.Submit(1, {step});
    fleet.Run(1000);
    for (const FleetWorker &worker : fleet.workers) {
        EXPECT_EQ(worker.running.size(), 1u);
    }
}

TEST(DispatchTest, AGangStartsAsAWholeOrNotAtAll)
{
    Fleet fleet(1, 2);
    Jr__JobStep step = MakeStep(9, 1000);

    step.gang = 1;
    fleet.Submit(1, {step});
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(1), 0u);
    step.count = 8;
    fleet.Submit(2, {step});
    fleet.Run(300);
    EXPECT_EQ(fleet.Running(2), 8u);
}

/*
 * Every worker runs a service that a best-effort image interferes with. A job
 * of that image is delayed, but must not wait for ever.
 */
TEST(DispatchTest, ABestEffortTaskThatDisturbsEveryServiceRunsAfterADelay)
{
    Fleet fleet(1, 2);
    Jr__JobStep service = MakeStep(2, 1000);
    Jr__JobStep best_effort = MakeStep(1, 2000);

    service.service = 1;
    service.per_worker = 1;
    service.tail_target_ms = 10;
    service.image = const_cast<char *>("service");
    best_effort.filler = 1;
    best_effort.image = const_cast<char *>("filler");
    fleet.task_ms = 60000;
    fleet.reported_gauge = 9;
    fleet.reported_percent = 100;
    fleet.Submit(1, {service});
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(1), 2u);
    fleet.Submit(2, {best_effort});
    fleet.Run(1000);
    EXPECT_EQ(fleet.StartsOf({2, 0, 0, 0}), 0u);
    fleet.Run(3000);
    EXPECT_EQ(fleet.StartsOf({2, 0, 0, 0}), 1u);
}

/*
 * A service exceeds its tail latency target while best-effort tasks run on its
 * worker that never slowed it down before. They are evicted after a few
 * seconds, whatever the tail latency model predicts for them, and start again
 * when the eviction did not help.
 */
TEST(DispatchTest, BestEffortTasksAreEvictedWhenAServiceStaysOverItsTarget)
{
    Fleet fleet(1, 2);
    Jr__JobStep service = MakeStep(2, 1000);
    Jr__JobStep best_effort = MakeStep(2, 2000);

    service.service = 1;
    service.per_worker = 1;
    service.tail_target_ms = 100;
    service.image = const_cast<char *>("service");
    best_effort.filler = 1;
    best_effort.cpu_milli = 100;
    best_effort.image = const_cast<char *>("filler");
    fleet.task_ms = 60000;
    fleet.reported_gauge = 50;
    fleet.reported_percent = 100;
    fleet.Submit(1, {service});
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(1), 2u);
    fleet.Submit(2, {best_effort});
    fleet.Run(8000);
    ASSERT_EQ(fleet.Running(2), 2u);
    fleet.reported_gauge = 102;
    fleet.Run(3500);
    EXPECT_EQ(fleet.Running(1), 2u);
    EXPECT_EQ(fleet.Running(2), 0u);
    fleet.Run(3000);
    EXPECT_EQ(fleet.Running(2), 2u);
}

/*
 * A worker with services restarts while short tasks use the other capacity.
 * The services run again within seconds: they wait for less time than new
 * services do.
 */
TEST(DispatchTest, AServiceThatRanBeforeWaitsForLessTime)
{
    Fleet fleet(1, 1);
    Jr__JobStep service = MakeStep(1, 1000);
    int64_t lost_at;

    service.service = 1;
    fleet.task_ms = 60000;
    fleet.Submit(1, {service});
    fleet.Run(4000);
    ASSERT_EQ(fleet.Running(1), 1u);
    fleet.Submit(2, {MakeStep(2, 1000)});
    fleet.Run(1000);
    ASSERT_EQ(fleet.Running(2), 2u);
    fleet.Restart(0);
    lost_at = fleet.now;
    fleet.Run(1000);
    ASSERT_EQ(fleet.Running(2), 2u);
    while (fleet.Running(1) == 0 && fleet.now < lost_at + 10000) {
        fleet.Run(50);
    }
    EXPECT_LT(fleet.now - lost_at, 4000);
    ExpectClean(fleet);
}

/*
 * Workers are lost while new services keep arriving, and only some services
 * fit. Services that ran before are placed first, however long ago they
 * started.
 */
TEST(DispatchTest, AServiceThatRanBeforeIsPlacedBeforeNewOnes)
{
    Fleet fleet(1, 1);
    Jr__JobStep service = MakeStep(1, 3000);

    service.service = 1;
    fleet.task_ms = 60000;
    fleet.Submit(1, {service});
    fleet.Run(8000);
    ASSERT_EQ(fleet.Running(1), 1u);
    fleet.Submit(2, {service});
    fleet.Run(2200);
    fleet.Restart(0);
    fleet.Run(8000);
    EXPECT_EQ(fleet.Running(1), 1u);
    EXPECT_EQ(fleet.Running(2), 0u);
    ExpectClean(fleet);
}

/*
 * Services already fill the workers that rank first. The capacity reserved for
 * short tasks must be on other workers.
 */
TEST(DispatchTest, CapacityThatServicesUseIsNotReservedForShortTasks)
{
    Fleet fleet(1, 8);
    Jr__JobStep service = MakeStep(40, 1000);

    service.service = 1;
    fleet.task_ms = 60000;
    fleet.Submit(1, {service});
    fleet.Run(6000);
    ASSERT_EQ(fleet.Running(1), 32u);
    fleet.Cancel(1);
    fleet.Run(1000);
    service.count = 24;
    fleet.Submit(2, {service});
    fleet.Run(6000);
    ASSERT_EQ(fleet.Running(2), 24u);
    /* Services don't take the capacity of the four short tasks at once. */
    fleet.Submit(3, {MakeStep(4, 1000)});
    fleet.Run(1000);
    ASSERT_EQ(fleet.Running(3), 4u);
    service.count = 8;
    fleet.Submit(4, {service});
    fleet.Run(2500);
    EXPECT_LT(fleet.Running(4), 4u);
    fleet.Submit(5, {MakeStep(2, 1000)});
    fleet.Run(300);
    EXPECT_EQ(fleet.Running(5), 2u);
    ExpectClean(fleet);
}

/*
 * Enough services to fill every worker are submitted before any short task.
 * Some capacity stays reserved for short tasks for a limited time.
 */
TEST(DispatchTest, ServicesLeaveCapacityForShortTasks)
{
    Fleet fleet(1, 4);
    Jr__JobStep service = MakeStep(20, 1000);

    service.service = 1;
    fleet.task_ms = 60000;
    fleet.Submit(1, {service});
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(1), 12u);
    fleet.Submit(2, {MakeStep(4, 1000)});
    fleet.Run(300);
    EXPECT_EQ(fleet.Running(2), 4u);
    fleet.Cancel(2);
    fleet.Run(1500);
    EXPECT_EQ(fleet.Running(1), 16u); /* the reservation expires */
    ExpectClean(fleet);
}

/*
 * A burst of short jobs exceeds the capacity. The oldest can't meet their
 * objectives any more; jobs that still can are placed first, so that not all
 * are late.
 */
TEST(DispatchTest, JobsThatCanMeetTheirObjectivesGoBeforeLateOnes)
{
    Fleet fleet(1, 1);
    Jr__JobStep step = MakeStep(1, 4000);

    step.estimate_ms = 500;
    fleet.Submit(1, {step});
    fleet.Run(400);
    ASSERT_EQ(fleet.Running(1), 1u);
    fleet.task_ms = 3000;
    fleet.Submit(2, {step});
    fleet.Run(600);
    ASSERT_EQ(fleet.Running(2), 1u);
    fleet.Submit(3, {step}); /* late when there is capacity again */
    fleet.Run(2300);
    fleet.Submit(4, {step});
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(4), 1u);
    EXPECT_EQ(fleet.Running(3), 0u);
    fleet.Run(3300);
    EXPECT_EQ(fleet.Running(3), 1u); /* late, but still run */
    ExpectClean(fleet);
}

/*
 * Short tasks keep arriving and take all capacity that becomes free. A service
 * that waits still gets a worker.
 */
TEST(DispatchTest, ShortTasksDoNotStarveAService)
{
    Fleet fleet(1, 1);
    Jr__JobStep service = MakeStep(1, 3000);

    service.service = 1;
    fleet.long_running_job = 1;
    fleet.task_ms = 400;
    for (uint64_t id = 10; id < 90; id++) {
        fleet.Submit(id, {MakeStep(4, 1000)});
    }
    fleet.Run(300);
    fleet.task_ms = 60000;
    fleet.Submit(1, {service});
    fleet.Run(100);
    fleet.task_ms = 400;
    fleet.Run(5000);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 1u);
    ExpectClean(fleet);
}

/*
 * A short task finds no capacity because the free capacity is reserved for a
 * service. This must not keep the service from being placed.
 */
TEST(DispatchTest, ReservedCapacityIsUsedByItsService)
{
    Fleet fleet(1, 2);
    Jr__JobStep service = MakeStep(1, 2000);

    service.service = 1;
    fleet.long_running_job = 1;
    fleet.task_ms = 1500;
    fleet.Submit(10, {MakeStep(8, 1000)});
    fleet.Run(300);
    fleet.Submit(1, {service});
    for (uint64_t id = 20; id < 90; id++) {
        fleet.Submit(id, {MakeStep(2, 500)});
    }
    fleet.task_ms = 700;
    fleet.Run(6000);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 1u);
    ExpectClean(fleet);
}

/*
 * A run that was released is done while another run of its task is going on.
 * The other run went on, and the task was started again when it was lost.
 */
TEST(DispatchTest, ARunIsStoppedWhenAnEarlierOneIsDone)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.SetPartitioned(1, true);
    fleet.Submit(1, {MakeStep(1)});
    fleet.Run(500);
    ASSERT_EQ(fleet.workers[0].running.size(), 1u);
    fleet.SetPartitioned(1, false);
    fleet.workers[0].cpu = 500; /* the task fits no more */
    fleet.Restart(0);
    fleet.Run(3000);
    ASSERT_EQ(fleet.workers[1].running.size(), 1u);
    fleet.task_ms = 100;
    fleet.StartStray(0, {1, 0, 0, 0}, 1, false);
    fleet.Run(1000);
    EXPECT_EQ(fleet.workers[1].running.size(), 0u);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    fleet.Run(8000);
    EXPECT_EQ(fleet.StartsOf({1, 0, 0, 0}), 3u);
    ExpectClean(fleet);
}

/* The same, and a new leader finds the other run. */
TEST(DispatchTest, ANewLeaderStopsARunWhenAnEarlierOneIsDone)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.SetPartitioned(1, true);
    fleet.Submit(1, {MakeStep(1)});
    fleet.Run(500);
    fleet.SetPartitioned(1, false);
    fleet.workers[0].cpu = 500;
    fleet.Restart(0);
    fleet.Run(3000);
    ASSERT_EQ(fleet.workers[1].running.size(), 1u);
    fleet.SetPartitioned(1, true);
    fleet.task_ms = 100;
    fleet.StartStray(0, {1, 0, 0, 0}, 1, false);
    fleet.Run(500);
    EXPECT_EQ(fleet.workers[1].running.size(), 1u);
    EXPECT_EQ(fleet.State(1), JR_JOB_RUNNING);
    fleet.ChangeLeader(true);
    fleet.SetPartitioned(1, false);
    fleet.Run(1500);
    EXPECT_EQ(fleet.workers[1].running.size(), 0u);
    EXPECT_EQ(fleet.State(1), JR_JOB_DONE);
    ExpectClean(fleet);
}

/* The ends that it acknowledges are those of the earlier incarnation. */
TEST(DispatchTest, ALateRenewalForAnEarlierIncarnationForgetsNoEnds)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Fleet fleet(seed, 1);

        fleet.task_ms = 50;
        fleet.Submit(1, {MakeStep(200)});
        fleet.Run(20000);
        ASSERT_EQ(fleet.State(1), JR_JOB_DONE);
        fleet.log_delay_ms = 200;
        fleet.faults.late = 100;
        fleet.Run(3000);
        fleet.faults.late = 0;
        fleet.Restart(0);
        for (uint64_t id = 2; id < 132; id++) {
            fleet.Submit(id, {MakeStep(1)});
            fleet.Run(100);
        }
        fleet.Run(20000);
        ExpectClean(fleet);
    }
}

/* The clock of a restarted worker starts anew, and its leases with it. */
TEST(DispatchTest, TasksOfARestartedWorkerThatIsLostRunElsewhere)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.Run(40000);
    fleet.Restart(0);
    fleet.Run(500);
    fleet.Submit(1, {MakeStep(4, 2000)});
    fleet.Run(500);
    ASSERT_EQ(fleet.workers[0].running.size(), 2u);
    fleet.workers[1].cpu = 8000;
    fleet.CheckIn(1);
    fleet.Crash(0);
    fleet.Run(5000);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
    ExpectClean(fleet);
}

/* Its check-in comes by way of a process that still reaches it. */
TEST(DispatchTest, TasksOfAWorkerThatRestartsBehindAPartitionRunElsewhere)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(4, 2000)});
    fleet.Run(1500);
    ASSERT_EQ(fleet.workers[0].running.size(), 2u);
    fleet.workers[1].cpu = 8000;
    fleet.CheckIn(1);
    fleet.SetPartitioned(0, true);
    fleet.Run(200);
    fleet.Restart(0);
    fleet.Run(1000);
    EXPECT_EQ(fleet.workers[1].running.size(), 4u);
    ExpectClean(fleet);
}

/* A worker that said it leaves may be cut off before it exits. */
TEST(DispatchTest, ALeavingWorkerThatIsCutOffKeepsItsRunsForItsLease)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.Submit(1, {MakeStep(2, 4000)});
    fleet.Run(500);
    ASSERT_EQ(fleet.workers[0].running.size(), 1u);
    fleet.workers[1].cpu = 8000;
    fleet.CheckIn(1);
    fleet.CheckIn(0, true);
    fleet.Run(500);
    jr_dispatch_left(fleet.dispatch, "w0", fleet.workers[0].incarnation,
                     fleet.now);
    fleet.SetPartitioned(0, true);
    fleet.Run(2500);
    EXPECT_EQ(fleet.workers[0].running.size(), 1u);
    EXPECT_EQ(fleet.workers[1].running.size(), 1u);
    fleet.Run(3000);
    EXPECT_EQ(fleet.workers[0].running.size(), 0u);
    EXPECT_EQ(fleet.workers[1].running.size(), 2u);
    ExpectClean(fleet);
}

/* A late start began it in a new incarnation; it is stopped first. */
TEST(DispatchTest, ATaskWithAnOrphanRunStartsWhenTheOrphanHasEnded)
{
    Fleet fleet(1, 2);

    fleet.task_ms = 60000;
    fleet.checks_stale_starts = true;
    fleet.workers[1].cpu = 1000;
    fleet.CheckIn(1);
    fleet.Run(200);
    fleet.faults.late = 100;
    fleet.Submit(1, {MakeStep(1, 4000)});
    fleet.Run(100);
    fleet.faults.late = 0;
    fleet.SetPartitioned(0, true);
    fleet.Run(13000);
    fleet.Restart(0);
    fleet.Run(100);
    fleet.SetPartitioned(0, false);
    for (int i = 0; i < 300; i++) {
        auto orphan = fleet.workers[0].running.begin();

        if (orphan != fleet.workers[0].running.end() &&
            orphan->second.stops_at != 0) {
            break;
        }
        fleet.Run(10);
    }
    ASSERT_EQ(fleet.workers[0].running.size(), 1u);
    fleet.workers[1].cpu = 8000;
    fleet.CheckIn(1);
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(1), 1u);
    ExpectClean(fleet);
}
