/* Tests of services that give way when urgent tasks lack capacity. */
#include <gtest/gtest.h>

#include "dispatch.h"
#include "fleet_test.h"

namespace {

constexpr uint64_t kService = 1;

/* Four workers with 4 processors each, full of services. */
class UrgentTest : public testing::Test {
  protected:
    UrgentTest() : fleet(1, 4)
    {
    }

    ~UrgentTest() override
    {
        for (const std::string &what : fleet.violations) {
            ADD_FAILURE() << what;
        }
    }

    void
    FillWithServices(uint32_t may_miss = 0)
    {
        Jr__JobStep service = MakeStep(16, 1000);

        service.service = 1;
        service.may_miss = may_miss;
        fleet.long_running_job = kService;
        fleet.reported_percent = 100;
        fleet.Submit(kService, {service});
        fleet.Run(8000);
        ASSERT_EQ(fleet.Running(kService), 16u);
    }

    /* Has a worker begun to stop a task, which still runs? */
    bool
    IsAnyStopping() const
    {
        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                if (run.stops_at != 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /* Tasks of one second, wanted within three. */
    Jr__JobStep
    Urgent(uint32_t count)
    {
        Jr__JobStep step = MakeStep(count, 1000);

        step.estimate_ms = 1500;
        return step;
    }

    Fleet fleet;
};

} // namespace

TEST_F(UrgentTest, ServicesGiveWayToUrgentTasksAndComeBack)
{
    FillWithServices();
    fleet.task_ms = 1000;
    fleet.Submit(2, {Urgent(3)});
    fleet.Run(2200);
    EXPECT_EQ(fleet.State(2), JR_JOB_DONE);
    EXPECT_GE(fleet.Counter(JR_C_PREEMPTIONS), 3u);
    EXPECT_LE(fleet.Counter(JR_C_PREEMPTIONS), 4u);
    fleet.Run(6000);
    EXPECT_EQ(fleet.Running(kService), 16u);
}

/* A burst gets no more than a quarter of the processors from services. */
TEST_F(UrgentTest, ServicesKeepTheirShareInABurst)
{
    FillWithServices();
    fleet.task_ms = 1000;
    for (uint64_t id = 2; id < 12; id++) {
        fleet.Submit(id, {Urgent(8)});
    }
    for (int i = 0; i < 40; i++) {
        fleet.Run(100);
        ASSERT_GE(fleet.Running(kService), 11u);
    }
}

TEST_F(UrgentTest, NoMoreTasksOfAServiceAreStoppedThanItMayMiss)
{
    FillWithServices(1);
    fleet.task_ms = 1000;
    fleet.Submit(2, {Urgent(4)});
    for (int i = 0; i < 25; i++) {
        fleet.Run(100);
        ASSERT_GE(fleet.Running(kService), 15u);
    }
}

/* Jobs that are too late for anybody stop nothing. */
TEST_F(UrgentTest, JobsThatAreTooLateStopNothing)
{
    Jr__JobStep late = Urgent(64);

    FillWithServices();
    fleet.task_ms = 60000;
    late.estimate_ms = 10;
    fleet.Submit(2, {late});
    fleet.Run(3000);
    uint64_t stopped = fleet.Counter(JR_C_PREEMPTIONS);

    fleet.Run(20000);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), stopped);
}

/* No worker has the label that the urgent tasks ask for. */
TEST_F(UrgentTest, TasksThatFitNowhereStopNothing)
{
    Jr__JobStep step = Urgent(4);

    FillWithServices();
    step.label = const_cast<char *>("large");
    fleet.Submit(2, {step});
    fleet.Run(3000);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 0u);
}

/* Its tasks on a worker that answers nothing may be missing already. */
TEST_F(UrgentTest, TasksOnASuspectWorkerCountAsMissing)
{
    FillWithServices(1);
    fleet.task_ms = 1000;
    fleet.SetPartitioned(0, true);
    fleet.Run(2000);
    fleet.Submit(2, {Urgent(4)});
    fleet.Run(500);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 0u);
}

/* One may go at a time: the others that were looked at cost nothing. */
TEST_F(UrgentTest, OnlyServicesThatAreStoppedCountAgainstTheBound)
{
    FillWithServices(1);
    fleet.Submit(2, {Urgent(4)});
    fleet.Run(100);
    ASSERT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 1u);
    EXPECT_LE(fleet.dispatch->preempted_cpu_ms, 5000);
}

/*
 * The leader changes between a stop and its end, and the list that the next
 * leader reads has the task as running.
 */
TEST_F(UrgentTest, ANewLeaderStopsNothingBesideTheStopsOfTheLastOne)
{
    FillWithServices(1);
    fleet.task_ms = 1000;
    fleet.Submit(2, {Urgent(4)});
    for (int i = 0; i < 50 && !IsAnyStopping(); i++) {
        fleet.Run(10);
    }
    ASSERT_TRUE(IsAnyStopping());
    fleet.ChangeLeader(true);
    fleet.Run(140);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 1u);
}

/* Tasks may have ended meanwhile, and the answers that say so are unread. */
TEST_F(UrgentTest, ALeaderThatStoodStillStopsNothingByOldLists)
{
    FillWithServices(1);
    fleet.Submit(2, {Urgent(4)});
    fleet.Stall(2000);
    fleet.Run(2500);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 0u);
}

/* It has ended, its worker said so, and the log does not say it yet. */
TEST_F(UrgentTest, ATaskThatIsListedAsEndedIsMissing)
{
    FillWithServices(1);
    fleet.log_delay_ms = 300;
    fleet.Submit(2, {Urgent(4)});
    fleet.Run(260);
    fleet.workers[0].running.begin()->second.ends_at = fleet.now;
    fleet.Run(240);
    EXPECT_EQ(fleet.Counter(JR_C_PREEMPTIONS), 0u);
}

/* Urgent tasks of a wave use each stopped service's capacity in turn. */
TEST_F(UrgentTest, AWaveDoesNotStopServicesOverAndOver)
{
    FillWithServices();
    fleet.task_ms = 500;
    for (uint64_t id = 2; id < 42; id++) {
        fleet.Submit(id, {Urgent(2)});
        fleet.Run(250);
    }
    EXPECT_LE(fleet.Counter(JR_C_PREEMPTIONS), 12u);
    EXPECT_GE(fleet.Running(kService), 11u);
}

/*
 * Urgent tasks use the last capacity in turns, so that none of it is unused
 * for long. A service that waits beside it still starts.
 */
TEST_F(UrgentTest, AServiceStartsInCapacityThatComesAndGoes)
{
    Jr__JobStep service = MakeStep(14, 1000);

    service.service = 1;
    fleet.long_running_job = kService;
    fleet.reported_percent = 100;
    fleet.Submit(kService, {service});
    fleet.Run(8000);
    ASSERT_EQ(fleet.Running(kService), 14u);
    service.count = 1;
    fleet.task_ms = 200;
    for (uint64_t id = 3; id < 35; id++) {
        fleet.Submit(id, {Urgent(2)});
        fleet.Run(125);
        if (id == 3) {
            fleet.task_ms = 60000;
            fleet.Submit(2, {service});
            fleet.task_ms = 200;
        }
        fleet.Run(125);
    }
    EXPECT_GE(fleet.StartsOf({2, 0, 0, 0}), 1u);
}

/* Guards against accepted jobs that wait for as long as services run. */
TEST_F(UrgentTest, AJobThatIsTooLateRunsAfterABoundedWait)
{
    Jr__JobStep late = Urgent(1);

    FillWithServices();
    late.estimate_ms = 1; /* too late before it is in the log */
    fleet.task_ms = 500;
    fleet.Submit(2, {late});
    fleet.Run(50000);
    ASSERT_EQ(fleet.State(2), JR_JOB_QUEUED);
    fleet.Run(20000);
    EXPECT_EQ(fleet.State(2), JR_JOB_DONE);
}
