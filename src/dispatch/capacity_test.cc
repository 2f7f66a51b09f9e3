/* Workers whose capacity shrinks and grows while they run. */
#include <gtest/gtest.h>

#include <random>

#include "base/histories_test.h"
#include "commands_test.h"
#include "fleet_test.h"

extern "C" {
#include "dispatch/dispatch.h"
}

namespace {

constexpr uint64_t kJob = 1;
constexpr uint64_t kLaterJob = 2;
constexpr TaskName kTask = {kJob, 0, 0, 0};
constexpr int64_t kFull = 4000; /* thousandths of a processor */
constexpr int64_t kSmall = 1000;
constexpr uint32_t kHistories = 60;
constexpr int kActions = 100;
constexpr int64_t kSettleMs = 60000;

void
ExpectClean(const Fleet &fleet)
{
    for (const std::string &what : fleet.violations) {
        ADD_FAILURE() << what;
    }
}

/* The capacity of a worker as the leader knows it. */
int64_t
KnownCapacity(const Fleet &fleet, size_t worker)
{
    const std::string &id = fleet.workers[worker].id;

    return jr_jobs_worker(fleet.jobs, id.c_str())->info->cpu_milli;
}

/* Executes whatever start it gets. */
void
StopChecks(Fleet *fleet, size_t worker)
{
    fleet->workers[worker].checks_capacity = false;
}

/* Workers that the leader may use. */
void
AwaitWorkers(Fleet *fleet)
{
    fleet->Run(500);
}

Jr__JobWorker
MakeInfo(int64_t born, uint64_t sequence, uint32_t cpu)
{
    Jr__JobWorker info = JR__JOB_WORKER__INIT;

    info.id = const_cast<char *>("w0");
    info.born = born;
    info.sequence = sequence;
    info.cpu_milli = cpu;
    return info;
}

class CapacityLogTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        jobs_ = jr_new_jobs(ctx_);
    }

    void
    TearDown() override
    {
        jr_drop_jobs(jobs_);
        jr_drop_ctx(ctx_);
    }

    /* Returns the capacity that the log has then. */
    uint32_t
    Apply(int64_t born, uint64_t sequence, uint32_t cpu)
    {
        Jr__JobWorker info = MakeInfo(born, sequence, cpu);
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;

        command.body_case = JR__JOB_COMMAND__BODY_WORKER;
        command.worker = &info;
        Bytes bytes = PackCommand(&command, 1000);
        jr_jobs_apply(jobs_, bytes.data(), bytes.size());
        return jr_jobs_worker(jobs_, "w0")->info->cpu_milli;
    }

    jr_ctx_t *ctx_;
    jr_jobs_t *jobs_;
};

/* Guards against two check-ins that go to the log in the wrong order. */
TEST_F(CapacityLogTest, AnOvertakenCheckInChangesNothing)
{
    EXPECT_EQ(Apply(7, 5, 1000), 1000u);
    EXPECT_EQ(Apply(7, 4, 4000), 1000u);
    EXPECT_EQ(Apply(7, 6, 2000), 2000u);
}

/* Guards against workers whose check-ins no longer count. */
TEST_F(CapacityLogTest, SequencesAreComparedWithinOneIncarnation)
{
    EXPECT_EQ(Apply(7, 500, 1000), 1000u);
    EXPECT_EQ(Apply(8, 1, 2000), 2000u); /* it has restarted */
    EXPECT_EQ(Apply(8, 0, 3000), 3000u); /* it gives no number */
    EXPECT_EQ(Apply(8, 1, 4000), 4000u);
}

TEST_F(CapacityLogTest, WithoutAStartTimeNoCheckInIsOvertaken)
{
    EXPECT_EQ(Apply(0, 500, 1000), 1000u);
    EXPECT_EQ(Apply(0, 1, 2000), 2000u);
}

/* Guards against a larger capacity that comes back with a late check-in. */
TEST(CapacityTest, ALateCheckInDoesNotTakeAShrinkBack)
{
    Fleet fleet(1, 1);

    AwaitWorkers(&fleet);
    fleet.DelayCheckIn(0, 3000);
    fleet.SetCapacity(0, kSmall);
    fleet.Run(2900);
    EXPECT_EQ(KnownCapacity(fleet, 0), kSmall);
    for (int i = 0; i < 20; i++) {
        fleet.Run(10);
        EXPECT_EQ(KnownCapacity(fleet, 0), kSmall);
    }
}

/* The same when the newer check-in repeated what is in the log. */
TEST(CapacityTest, ALateCheckInDoesNotOvertakeARepeatedOne)
{
    Fleet fleet(1, 1);

    AwaitWorkers(&fleet);
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(100);
    fleet.SetCapacity(0, kFull);
    fleet.DelayCheckIn(0, 100);
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    for (int i = 0; i < 20; i++) {
        fleet.Run(10);
        EXPECT_EQ(KnownCapacity(fleet, 0), kSmall);
    }
}

/* Guards against a restarted worker whose check-ins are taken for late. */
TEST(CapacityTest, ARestartedWorkerIsHeardFromItsFirstCheckIn)
{
    Fleet fleet(1, 1);

    fleet.Run(10000);
    fleet.Restart(0);
    fleet.Run(100);
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(100);
    EXPECT_EQ(KnownCapacity(fleet, 0), kSmall);
}

/* Guards against a new leader that writes what is overtaken to the log. */
TEST(CapacityTest, ANewLeaderKnowsWhatIsOvertaken)
{
    Fleet fleet(1, 1);

    AwaitWorkers(&fleet);
    Jr__JobWorker late = MakeInfo(fleet.workers[0].incarnation, 1, kFull);

    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(100);
    fleet.ChangeLeader(true);
    EXPECT_FALSE(jr_dispatch_checked_in(fleet.dispatch, &late, fleet.now));
}

/* Guards against a start that is granted before the worker shrinks. */
TEST(CapacityTest, AGrantedTaskIsNotStartedOnAWorkerThatHasShrunk)
{
    Fleet fleet(1, 1);

    StopChecks(&fleet, 0);
    AwaitWorkers(&fleet);
    fleet.Submit(kJob, {MakeStep(1, 2000)});
    fleet.Run(10);
    fleet.SetCapacity(0, kSmall); /* in the log between task and grant */
    fleet.CheckIn(0);
    fleet.Run(3000);
    EXPECT_EQ(fleet.StartsOf(kTask), 0u);
    fleet.SetCapacity(0, kFull);
    fleet.Run(3000);
    EXPECT_EQ(fleet.State(kJob), JR_JOB_DONE);
    ExpectClean(fleet);
}

/* Guards against a start that is sent again after the worker has shrunk. */
TEST(CapacityTest, AnUnreachedStartIsNotSentAgainToAWorkerThatHasShrunk)
{
    Fleet fleet(1, 1);

    StopChecks(&fleet, 0);
    AwaitWorkers(&fleet);
    fleet.faults.unreached = 100;
    fleet.Submit(kJob, {MakeStep(1, 2000)});
    fleet.Run(100);
    fleet.faults.unreached = 0;
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(4000);
    EXPECT_EQ(fleet.StartsOf(kTask), 0u);
    fleet.SetCapacity(0, kFull);
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kJob), JR_JOB_DONE);
    ExpectClean(fleet);
}

/* The same when the first start may arrive yet: a stop excludes it. */
TEST(CapacityTest, AStartWithoutAnswerIsNotSentAgainToAWorkerThatHasShrunk)
{
    Fleet fleet(1, 1);

    StopChecks(&fleet, 0);
    AwaitWorkers(&fleet);
    fleet.faults.late = 100;
    fleet.Submit(kJob, {MakeStep(1, 2000)});
    fleet.Run(100);
    fleet.faults.late = 0;
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(15000);
    EXPECT_EQ(fleet.StartsOf(kTask), 0u);
    EXPECT_EQ(jr_jobs_find(fleet.jobs, kJob)->n_granted, 0u);
    fleet.SetCapacity(0, kFull);
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kJob), JR_JOB_DONE);
    EXPECT_EQ(fleet.StartsOf(kTask), 1u);
    ExpectClean(fleet);
}

/* Guards against a start beside one that may have been executed. */
TEST(CapacityTest, AStartWithoutAnswerCountsAsCapacityInUse)
{
    for (bool is_outcome_unknown : {false, true}) {
        Fleet fleet(1, 1);
        jr_dispatch_t *d = fleet.dispatch;
        jr_tracked_worker_t *w;
        jr_job_t *job;
        jr_run_t *first, *second;
        jr_order_t order;

        fleet.Submit(kJob, {MakeStep(2, kFull + 1)}); /* fits nowhere */
        AwaitWorkers(&fleet);
        w = TAILQ_FIRST(&d->workers);
        w->worker->info->cpu_milli = kFull + 1;
        job = jr_jobs_find(fleet.jobs, kJob);
        first = jr_run_new(d, &job->tasks[0], w, JR_RUN_STARTING);
        first->is_outcome_unknown = is_outcome_unknown;
        second = jr_run_new(d, &job->tasks[1], w, JR_RUN_STARTING);
        EXPECT_EQ(jr_run_order(d, second, &order), !is_outcome_unknown);
        EXPECT_EQ(second->state,
                  is_outcome_unknown ? JR_RUN_RELEASING : JR_RUN_STARTING);
        jr_run_free(d, first);
        jr_run_free(d, second);
    }
}

/* Guards against a stop of what began before the worker shrank. */
TEST(CapacityTest, ARunWhoseStartWasNotAnsweredStaysWhenItsWorkerShrinks)
{
    Fleet fleet(1, 1);

    fleet.task_ms = 10000;
    StopChecks(&fleet, 0);
    AwaitWorkers(&fleet);
    fleet.faults.lost_answer = 100;
    fleet.Submit(kJob, {MakeStep(1, 2000)});
    fleet.Run(100);
    fleet.faults.lost_answer = 0;
    ASSERT_EQ(fleet.Running(kJob), 1u);
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    fleet.Run(12000);
    EXPECT_EQ(fleet.StartsOf(kTask), 1u);
    EXPECT_EQ(fleet.State(kJob), JR_JOB_DONE);
    ExpectClean(fleet);
}

TEST(CapacityTest, WhatRunsStaysAndNothingIsAddedUntilItFits)
{
    Fleet fleet(1, 1);

    fleet.task_ms = 10000;
    StopChecks(&fleet, 0);
    AwaitWorkers(&fleet);
    fleet.Submit(kJob, {MakeStep(4)});
    fleet.Run(500);
    ASSERT_EQ(fleet.Running(kJob), 4u);
    fleet.SetCapacity(0, 2 * kSmall);
    fleet.Submit(kLaterJob, {MakeStep(4)});
    fleet.Run(9000);
    EXPECT_EQ(fleet.Running(kJob), 4u);
    EXPECT_EQ(fleet.Running(kLaterJob), 0u);
    fleet.Run(2000);
    EXPECT_EQ(fleet.State(kJob), JR_JOB_DONE);
    EXPECT_EQ(fleet.Running(kLaterJob), 2u);
    ExpectClean(fleet);
}

TEST(CapacityTest, AWorkerThatHasGrownIsUsedAtOnce)
{
    Fleet fleet(1, 1);

    fleet.task_ms = 10000;
    fleet.SetCapacity(0, kSmall);
    fleet.CheckIn(0);
    AwaitWorkers(&fleet);
    fleet.Submit(kJob, {MakeStep(3)});
    fleet.Run(1000);
    EXPECT_EQ(fleet.Running(kJob), 1u);
    fleet.SetCapacity(0, kFull);
    fleet.CheckIn(0);
    fleet.Run(150);
    EXPECT_EQ(fleet.Running(kJob), 3u);
    ExpectClean(fleet);
}

/*
 * Guards against services that wait since a worker runs more than it has
 * capacity for: other workers were to make up for it.
 */
TEST(CapacityTest, AnOverfullWorkerDoesNotDelayServicesOnOthers)
{
    Fleet fleet(1, 3);
    jr_dispatch_t *d = fleet.dispatch;
    jr_tracked_worker_t *full, *w;
    size_t delayed = 0;

    AwaitWorkers(&fleet);
    full = TAILQ_FIRST(&d->workers);
    full->services.cpu_milli = full->used.cpu_milli = kFull;
    full->worker->info->cpu_milli = 500;
    d->short_demand.peak = 1500;
    d->short_demand.at = d->now;
    jr_reserve_update(d);
    TAILQ_FOREACH (w, &d->workers, link) {
        delayed += w != full && w->service_delay_ms > 0;
    }
    EXPECT_EQ(delayed, 1u);
}

/* A worker gets another capacity; half of them say so at once. */
void
ChangeCapacity(Fleet *fleet, std::mt19937 *rng)
{
    size_t worker = (*rng)() % fleet->workers.size();

    fleet->SetCapacity(worker, 500 * static_cast<int64_t>(1 + (*rng)() % 8));
    if ((*rng)() % 2 == 0) {
        fleet->CheckIn(worker);
    }
}

/* Every second worker executes any start. */
std::vector<std::string>
RunHistory(uint32_t seed)
{
    FleetFaults faults;
    std::mt19937 rng(seed);
    uint64_t jobs = 0;

    faults.lost_answer = 6;
    faults.late = 3;
    faults.unreached = 3;
    faults.slow_answer = 5;
    faults.late_check_in = 20;
    Fleet fleet(seed, 4, faults);
    fleet.checks_sent_starts = true;
    StopChecks(&fleet, 0);
    StopChecks(&fleet, 2);
    for (int i = 0; i < kActions; i++) {
        fleet.task_ms = rng() % 4 == 0 ? 6000 : 500;
        fleet.Submit(++jobs, {MakeStep(1 + rng() % 4, 500 * (1 + rng() % 3))});
        ChangeCapacity(&fleet, &rng);
        if (rng() % 15 == 0) {
            fleet.ChangeLeader(rng() % 2 == 0);
        }
        fleet.Run(static_cast<int64_t>(rng() % 600));
    }
    fleet.faults = {};
    fleet.task_ms = 500;
    for (size_t i = 0; i < fleet.workers.size(); i++) {
        fleet.SetCapacity(i, kFull);
    }
    fleet.Run(kSettleMs);
    for (uint64_t id = 1; id <= jobs; id++) {
        /* A submission whose proposal was lost was never accepted. */
        if (jr_jobs_find(fleet.jobs, id) != nullptr &&
            fleet.State(id) != JR_JOB_DONE) {
            fleet.violations.push_back("job " + std::to_string(id) +
                                       " is not done");
        }
    }
    return fleet.violations;
}

TEST(CapacityTest, NoStartBringsAWorkerOverItsCapacity)
{
    for (const auto &[seed, violations] :
         RunHistories(kHistories, RunHistory)) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0] << " and "
                      << violations.size() - 1 << " more";
    }
}

} // namespace
