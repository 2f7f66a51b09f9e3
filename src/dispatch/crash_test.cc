/*
 * Tasks that crash each worker that runs them, and those that run beside.
 * JR_SEED=n replays one history, JR_HISTORIES=n sets their number.
 */
#include <gtest/gtest.h>

#include <random>

#include "base/histories_test.h"
#include "fleet_test.h"

namespace {

constexpr uint64_t kCrashingJob = 1;
constexpr TaskName kCrashingTask = {kCrashingJob, 0, 0, 0};
constexpr uint64_t kServiceJob = 2;
constexpr uint64_t kFirstInnocentJob = 10;
constexpr uint64_t kInnocentJobs = 12;
constexpr uint32_t kHistories = 60;

void
ExpectClean(const Fleet &fleet)
{
    for (const std::string &what : fleet.violations) {
        ADD_FAILURE() << what;
    }
}

/* The crashing task has a sibling. */
void
SubmitCrashingJob(Fleet *fleet)
{
    fleet->crashing.insert(kCrashingTask);
    fleet->Submit(kCrashingJob, {MakeStep(2)});
}

std::vector<size_t>
CrashBusyWorkers(Fleet *fleet)
{
    std::vector<size_t> crashed;

    for (size_t i = 0; i < fleet->workers.size(); i++) {
        if (!fleet->workers[i].running.empty()) {
            fleet->Crash(i);
            crashed.push_back(i);
        }
    }
    return crashed;
}

void
RunUntilUp(Fleet *fleet, size_t n_workers)
{
    for (int i = 0; i < 1000 && fleet->Up() != n_workers; i++) {
        fleet->Run(10);
    }
}

/*
 * Guards against a task that crashes one worker after the other, each of which
 * is back before its lease lapses.
 */
TEST(CrashTest, ATaskThatCrashesItsWorkersIsGivenUp)
{
    Fleet fleet(1, 6);

    fleet.crashed_for_ms = 2000;
    SubmitCrashingJob(&fleet);
    fleet.Run(60000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    EXPECT_EQ(fleet.CrashesUnder(kCrashingTask), 3u);
    EXPECT_EQ(fleet.Up(), 6u);
    ExpectClean(fleet);
}

/* The same where the lease lapses, and the task goes on elsewhere, before. */
TEST(CrashTest, ATaskWhoseWorkersComeBackLateIsGivenUp)
{
    Fleet fleet(1, 6);

    fleet.crashed_for_ms = 5000;
    SubmitCrashingJob(&fleet);
    fleet.Run(60000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    EXPECT_EQ(fleet.Up(), 6u);
    ExpectClean(fleet);
}

/* The same for a task that works for a while before each crash. */
TEST(CrashTest, ATaskThatCrashesItsWorkersLateIsGivenUp)
{
    Fleet fleet(1, 6);

    fleet.task_ms = 20000;
    fleet.crash_after_ms = 5000;
    SubmitCrashingJob(&fleet);
    fleet.Run(120000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    ExpectClean(fleet);
}

/* The same for a service, which is otherwise restarted without a limit. */
TEST(CrashTest, AServiceThatCrashesItsWorkersIsGivenUp)
{
    Fleet fleet(1, 6);
    Jr__JobStep step = MakeStep(1);

    step.service = true;
    fleet.long_running_job = kCrashingJob;
    fleet.crashing.insert(kCrashingTask);
    fleet.Submit(kCrashingJob, {step});
    fleet.Run(60000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    ExpectClean(fleet);
}

/* Guards against a new leader that begins to count anew. */
TEST(CrashTest, CrashesBeforeAChangeOfLeaderCount)
{
    Fleet fleet(1, 6);

    SubmitCrashingJob(&fleet);
    for (int i = 0; i < 60; i++) {
        fleet.Run(1000);
        if (i % 4 == 0) {
            fleet.ChangeLeader(true);
        }
    }
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    ExpectClean(fleet);
}

/*
 * Guards against a drained worker that is taken for a crashed one, since it is
 * back under its id.
 */
TEST(CrashTest, TheEndOfADrainingWorkerIsNoCrash)
{
    Fleet fleet(1, 1);
    Jr__JobRun name = JR__JOB_RUN__INIT;

    name.job = kServiceJob;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {MakeStep(1)});
    fleet.Run(1000);
    fleet.Drain(0);
    fleet.Run(300);
    EXPECT_EQ(fleet.Running(kServiceJob), 1u);
    fleet.Crash(0);
    fleet.Run(100);
    fleet.Restart(0);
    fleet.Run(1000);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->attempt, 2u);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->crash_score, 0u);
}

/*
 * Guards against a crash that nobody counts: the leader changes when the
 * restart of the worker is in the log, but not the release of the run.
 */
TEST(CrashTest, CrashesOfWorkersThatAreBackBeforeAChangeOfLeaderCount)
{
    Fleet fleet(1, 6);

    SubmitCrashingJob(&fleet);
    for (int i = 0; i < 8; i++) {
        RunUntilUp(&fleet, 5);
        RunUntilUp(&fleet, 6);
        fleet.Run(30);
        fleet.ChangeLeader(false);
    }
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    ExpectClean(fleet);
}

/*
 * Guards against a crash that nobody counts: the leader changes when the lease
 * of the crashed worker has lapsed, before the worker is back.
 */
TEST(CrashTest, CrashesThatAreKnownAfterALapseAndAChangeOfLeaderCount)
{
    Fleet fleet(1, 6);

    fleet.crashed_for_ms = 6000;
    SubmitCrashingJob(&fleet);
    for (int i = 0; i < 8; i++) {
        uint64_t lapses = fleet.Counter(JR_C_EXPIRIES);

        for (int k = 0; k < 1500; k++) {
            fleet.Run(10);
            if (fleet.Counter(JR_C_EXPIRIES) != lapses) {
                break;
            }
        }
        fleet.ChangeLeader(true);
    }
    fleet.Run(10000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    ExpectClean(fleet);
}

/* Guards against a lapse that counts as a crash long after it was explained.
 */
TEST(CrashTest, AWorkerThatWasCutOffHasNotCrashedForTheNextLeader)
{
    Fleet fleet(1, 1);
    Jr__JobRun name = JR__JOB_RUN__INIT;

    name.job = kServiceJob;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {MakeStep(1)});
    fleet.Run(1000);
    fleet.SetPartitioned(0, true);
    fleet.Run(5000);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->phase, JR_PHASE_WAITING);
    EXPECT_NE(jr_jobs_task(fleet.jobs, &name)->lapse, nullptr);
    fleet.SetPartitioned(0, false);
    fleet.Run(3000);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->lapse, nullptr);
    fleet.Drain(0);
    fleet.Run(4000);
    fleet.Restart(0);
    fleet.Run(100);
    fleet.ChangeLeader(true);
    fleet.Run(5000);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->crash_score, 0u);
}

/* Guards against jobs that are given up since they ran beside a crashing task.
 */
TEST(CrashTest, TasksBesideACrashingOneAreNotGivenUp)
{
    Fleet fleet(1, 6);
    Jr__JobStep service = MakeStep(6);

    service.service = true;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {service});
    fleet.Run(3000);
    SubmitCrashingJob(&fleet);
    for (uint64_t i = 0; i < kInnocentJobs; i++) {
        fleet.Submit(kFirstInnocentJob + i, {MakeStep(2)});
    }
    fleet.Run(60000);
    EXPECT_EQ(fleet.State(kCrashingJob), JR_JOB_FAILED);
    EXPECT_EQ(fleet.Running(kServiceJob), 6u);
    for (uint64_t i = 0; i < kInnocentJobs; i++) {
        EXPECT_EQ(fleet.State(kFirstInnocentJob + i), JR_JOB_DONE);
    }
    ExpectClean(fleet);
}

/*
 * Guards against a job that is given up since its workers are lost: here by
 * crashes that the task has nothing to do with, long after its starts.
 */
TEST(CrashTest, AServiceOutlivesCrashesLongAfterItsStarts)
{
    Fleet fleet(1, 6);
    Jr__JobStep step = MakeStep(1);

    step.service = true;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {step});
    for (int i = 0; i < 12; i++) {
        fleet.Run(40000);
        for (size_t w = 0; w < fleet.workers.size(); w++) {
            if (!fleet.workers[w].running.empty()) {
                fleet.Crash(w);
                fleet.Run(1000);
                fleet.Restart(w);
                break;
            }
        }
    }
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kServiceJob), JR_JOB_RUNNING);
    EXPECT_EQ(fleet.Running(kServiceJob), 1u);
    ExpectClean(fleet);
}

/* Guards against a job that is given up for two crashes of hosts in a row. */
TEST(CrashTest, AJobOutlivesTwoCrashesSoonAfterItsStarts)
{
    Fleet fleet(1, 6);
    Jr__JobStep service = MakeStep(4);

    service.service = true;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {service});
    for (int i = 0; i < 2; i++) {
        std::vector<size_t> crashed;

        fleet.Run(1500);
        EXPECT_EQ(fleet.Running(kServiceJob), 4u);
        crashed = CrashBusyWorkers(&fleet);
        fleet.Run(500);
        for (size_t w : crashed) {
            fleet.Restart(w);
        }
    }
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kServiceJob), JR_JOB_RUNNING);
    EXPECT_EQ(fleet.Running(kServiceJob), 4u);
    ExpectClean(fleet);
}

/* Guards against a job that is given up for outages of many hosts in a row. */
TEST(CrashTest, AJobOutlivesThreeOutages)
{
    Fleet fleet(1, 12);
    Jr__JobStep service = MakeStep(4, 4000);

    service.service = true;
    fleet.long_running_job = kServiceJob;
    fleet.Submit(kServiceJob, {service});
    for (int i = 0; i < 3; i++) {
        std::vector<size_t> crashed;

        fleet.Run(1500);
        EXPECT_EQ(fleet.Running(kServiceJob), 4u);
        crashed = CrashBusyWorkers(&fleet);
        fleet.Run(500);
        for (size_t w : crashed) {
            fleet.Restart(w);
        }
    }
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kServiceJob), JR_JOB_RUNNING);
    EXPECT_EQ(fleet.Running(kServiceJob), 4u);
    ExpectClean(fleet);
}

/* Guards against crashing tasks that are taken for an outage of hosts. */
TEST(CrashTest, ManyCrashingTasksAtOnceAreGivenUp)
{
    Fleet fleet(1, 10);

    for (uint64_t i = 0; i < kInnocentJobs; i++) {
        fleet.crashing.insert({kFirstInnocentJob + i, 0, 0, 0});
        fleet.Submit(kFirstInnocentJob + i, {MakeStep(1)});
    }
    fleet.Run(120000);
    for (uint64_t i = 0; i < kInnocentJobs; i++) {
        EXPECT_EQ(fleet.State(kFirstInnocentJob + i), JR_JOB_FAILED);
    }
    ExpectClean(fleet);
}

/*
 * Guards against a job that is given up since its workers had crashed before
 * its start orders were sent: it never ran there.
 */
TEST(CrashTest, ATaskThatNeverReachedItsWorkerIsNotSuspect)
{
    Fleet fleet(1, 1);
    Jr__JobRun name = JR__JOB_RUN__INIT;

    fleet.log_delay_ms = 200;
    fleet.Run(1000);
    name.job = kFirstInnocentJob;
    fleet.Submit(kFirstInnocentJob, {MakeStep(1)});
    fleet.Run(300);
    fleet.Crash(0);
    fleet.Run(120);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->attempt, 1u);
    fleet.Restart(0);
    fleet.Run(700);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->attempt, 2u);
    EXPECT_EQ(jr_jobs_task(fleet.jobs, &name)->crash_score, 0u);
    fleet.Run(5000);
    EXPECT_EQ(fleet.State(kFirstInnocentJob), JR_JOB_DONE);
}

/* Answers are lost, and leaders change, while workers crash. */
std::vector<std::string>
RunHistory(uint32_t seed)
{
    FleetFaults faults;
    std::mt19937 rng(seed);

    faults.lost_answer = 10;
    faults.slow_answer = 5;
    Fleet fleet(seed, 6, faults);
    fleet.crash_after_ms = rng() % 2 == 0 ? 10 : rng() % 400;
    SubmitCrashingJob(&fleet);
    for (int i = 0; i < 60; i++) {
        fleet.Run(1000);
        if (rng() % 8 == 0) {
            fleet.ChangeLeader(rng() % 2 == 0);
        }
        if (i < static_cast<int>(kInnocentJobs)) {
            fleet.Submit(kFirstInnocentJob + static_cast<uint64_t>(i),
                         {MakeStep(2)});
        }
    }
    fleet.Run(20000);
    if (fleet.State(kCrashingJob) != JR_JOB_FAILED) {
        fleet.violations.push_back("the crashing job is not given up");
    }
    return fleet.violations;
}

TEST(CrashTest, CrashingTasksAreNotStartedTooOften)
{
    for (const auto &[seed, found] : RunHistories(kHistories, RunHistory)) {
        for (const std::string &what : found) {
            ADD_FAILURE() << "seed " << seed << ": " << what;
        }
    }
}

} // namespace
