/*
 * Jobs that are refused since accepted work leaves them no time, with the
 * dispatcher's own order of tasks, in virtual time.
 */
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "commands_test.h"
#include "fleet_test.h"

namespace {

constexpr size_t kWorkers = 25; /* of four processors */
constexpr int kProcessors = 100;
constexpr uint32_t kTasks = 4;        /* of a job */
constexpr uint32_t kEstimateMs = 800; /* of a task; they take 500 ms */
constexpr uint32_t kObjectiveMs = 1200;
constexpr int64_t kAllowedMs = kObjectiveMs + kEstimateMs;
constexpr int64_t kLateMs = 3 * kAllowedMs;
constexpr int64_t kStepMs = 10; /* of the fleet */
constexpr int64_t kSettledMs = 6000;

class BacklogTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        Configure();
        fleet_.Run(kSettledMs);
    }

    /* The queue /q/, with an objective. */
    void
    Configure()
    {
        Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
        Jr__JobQueue *queues[] = {&queue};
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Bytes bytes;

        queue.host = const_cast<char *>("h");
        queue.prefix = const_cast<char *>("/q/");
        queue.service = const_cast<char *>("s");
        queue.max_failures = 3;
        queue.objective_ms = kObjectiveMs;
        queue.stretch_permille = 1000;
        config.version = 1000;
        config.n_queues = 1;
        config.queues = queues;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        bytes = PackCommand(&command, fleet_.now);
        ASSERT_EQ(jr_jobs_apply(fleet_.jobs, bytes.data(), bytes.size()),
                  JR_OK);
    }

    bool
    Submit(uint32_t count, uint32_t cpu, uint32_t estimate_ms,
           bool is_service = false)
    {
        Jr__JobStep step = MakeStep(count, cpu);
        Jr__JobStep *steps[] = {&step};
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        jr_intake_verdict_t verdict;
        const char *rest;

        step.estimate_ms = estimate_ms;
        step.service = is_service;
        spec.id = ++id_;
        spec.n_steps = 1;
        spec.steps = steps;
        if (!jr_dispatch_admit(fleet_.dispatch,
                               jr_jobs_route(fleet_.jobs, "h", "/q/", &rest),
                               &spec, &verdict)) {
            n_refused_++;
            return false;
        }
        fleet_.Submit(id_, {step});
        accepted_.push_back(id_);
        return true;
    }

    /* Jobs that ask for so much of all processors. */
    void
    Load(int64_t ms, double load)
    {
        double mean =
            load * kProcessors * kStepMs / (double)(fleet_.task_ms * kTasks);
        std::poisson_distribution<int> arrivals(mean);

        for (int64_t end = fleet_.now + ms; fleet_.now < end;) {
            for (int i = arrivals(rng_); i > 0; i--) {
                Submit(kTasks, 1000, kEstimateMs);
            }
            fleet_.Run(kStepMs);
        }
    }

    size_t
    CountInTime()
    {
        size_t n = 0;

        for (uint64_t id : accepted_) {
            const jr_job_t *job = jr_jobs_find(fleet_.jobs, id);

            n += job->state == JR_JOB_DONE &&
                 job->ended_ms - job->accepted_ms <= kLateMs;
        }
        return n;
    }

    Fleet fleet_{1, kWorkers};
    std::mt19937 rng_{1};
    std::vector<uint64_t> accepted_;
    uint64_t id_ = 0;
    size_t n_refused_ = 0;
};

/* Load: the usual one. Deployments with capacity are served as before. */
TEST_F(BacklogTest, NothingIsRefusedWhileThereIsCapacityForAll)
{
    Load(30000, 0.7);
    fleet_.Run(3000);
    EXPECT_EQ(n_refused_, 0u);
    EXPECT_EQ(CountInTime(), accepted_.size());
}

/* Load: 2.6 times the capacity for 20 s; without refusals it takes 32 s. */
TEST_F(BacklogTest, TheBacklogOfABurstEndsInBoundedTime)
{
    constexpr size_t kServable = 20000 * kProcessors / (500 * kTasks);

    Load(20000, 2.6);
    EXPECT_GT(n_refused_, kServable);
    fleet_.Run(2 * kLateMs);
    for (uint64_t id : accepted_) {
        ASSERT_EQ(fleet_.State(id), JR_JOB_DONE) << "job " << id;
    }
    EXPECT_GT(CountInTime(), kServable * 9 / 10);
}

/* Guards against refusals that go on once there is capacity for all again. */
TEST_F(BacklogTest, AfterABurstTheUsualLoadIsAccepted)
{
    constexpr int64_t kRecoveryMs = 500;

    Load(20000, 2.6);
    Load(kRecoveryMs, 0.7);
    n_refused_ = 0;
    Load(20000, 0.7);
    EXPECT_EQ(n_refused_, 0u);
}

/* Guards against a wrong wait by what the leader does not know yet. */
TEST_F(BacklogTest, ANewLeaderRefusesNothingAtFirst)
{
    Load(20000, 2.6);
    n_refused_ = 0;
    fleet_.ChangeLeader(true);
    Load(3000, 2.6);
    EXPECT_EQ(n_refused_, 0u);
}

/* Without the capacity of lost workers there is too little for the load. */
TEST_F(BacklogTest, JobsAreRefusedWhenTooFewWorkersAreLeft)
{
    for (size_t i = 0; i < kWorkers * 3 / 4; i++) {
        fleet_.Crash(i);
    }
    Load(20000, 0.7);
    EXPECT_GT(n_refused_, 0u);
}

TEST_F(BacklogTest, SomeJobsAreAcceptedDuringABurst)
{
    Load(20000, 2.6);
    while (Submit(kTasks, 1000, kEstimateMs)) {
    }
    EXPECT_TRUE(Submit(1, 1000, kEstimateMs, true)) << "service";
    EXPECT_TRUE(Submit(1, 1000, 0)) << "no estimate";
    EXPECT_FALSE(Submit(kTasks, 1000, kEstimateMs));
}

/* Bad input: such jobs must not shut the queue for the others. */
TEST_F(BacklogTest, OddJobsKeepNoOtherJobOut)
{
    constexpr uint32_t kYearMs = UINT32_MAX; /* more do not fit */

    for (int i = 0; i < 10; i++) {
        EXPECT_TRUE(Submit(1000, 5000, 100)) << "no worker has five";
        EXPECT_TRUE(Submit(1, 1000, kYearMs));
        EXPECT_TRUE(Submit(100, 1, 0));
    }
    Load(20000, 0.7);
    EXPECT_EQ(n_refused_, 0u);
}

} // namespace
