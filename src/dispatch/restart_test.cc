/*
 * Check-ins and leave requests of a later incarnation, while the worker goes
 * on as it is, and after a true restart.
 */
#include <gtest/gtest.h>

#include <random>

#include "fleet_test.h"

namespace {

constexpr size_t kWorkers = 3;
constexpr int64_t kLaterMs = 5000;   /* than the worker's start */
constexpr int64_t kLeasesMs = 30000; /* more than any lease lasts */
constexpr int64_t kTickMs = 10;
/* An order, its answer and two entries of the log. */
constexpr int64_t kContactMs = 300;
constexpr int64_t kAnswerMs = 300; /* that it is asked for */
constexpr int64_t kTaskMs = 60000;
constexpr uint64_t kJob = 1;
constexpr uint32_t kWholeWorker = 4000;

/* The parameter is a seed. */
class RestartTest : public ::testing::TestWithParam<uint32_t> {
  protected:
    RestartTest() : fleet_(GetParam(), kWorkers)
    {
        fleet_.task_ms = kTaskMs;
        fleet_.Run(kLaterMs);
        fleet_.Submit(kJob, {MakeStep(1, kWholeWorker)});
        while (fleet_.Running(kJob) == 0) {
            fleet_.Run(kTickMs);
        }
        fleet_.Run(kContactMs);
        for (size_t i = 0; i < kWorkers; i++) {
            worker_ = fleet_.workers[i].running.empty() ? worker_ : i;
        }
    }

    int64_t
    Later()
    {
        return fleet_.workers[worker_].incarnation + kLaterMs;
    }

    /* The one run of the task goes on, and its worker gets tasks as before. */
    void
    ExpectNothingEnded()
    {
        fleet_.Run(kLeasesMs);
        EXPECT_EQ(fleet_.workers[worker_].running.size(), 1u);
        EXPECT_EQ(fleet_.StartsOf({kJob, 0, 0, 0}), 1u);
        fleet_.Submit(kJob + 1, {MakeStep(kWorkers - 1, kWholeWorker)});
        fleet_.Cancel(kJob);
        fleet_.Run(kContactMs);
        fleet_.Submit(kJob + 2, {MakeStep(1, kWholeWorker)});
        fleet_.Run(kContactMs);
        EXPECT_EQ(fleet_.Running(kJob + 2), 1u);
        for (const std::string &violation : fleet_.violations) {
            ADD_FAILURE() << violation;
        }
    }

    int64_t
    TimeUntilRunning()
    {
        int64_t since = fleet_.now;

        while (fleet_.Running(kJob) == 0 && fleet_.now < since + kLeasesMs) {
            fleet_.Run(kTickMs);
        }
        return fleet_.now - since;
    }

    Fleet fleet_;
    size_t worker_ = 0; /* that runs the task */
};

/*
 * Guards against a task that runs twice: a check-in that another writer sent
 * under the id of its worker, with a later start, ended its run.
 */
TEST_P(RestartTest, ACheckInEndsNothingWhileTheWorkerAnswers)
{
    fleet_.ForgeCheckIn(worker_, Later());
    ExpectNothingEnded();
    EXPECT_EQ(fleet_.Counter(JR_C_RESTARTS_DENIED), 1u);
}

/* Guards against the same where such check-ins come again and again. */
TEST_P(RestartTest, RepeatedCheckInsEndNothing)
{
    for (int i = 0; i < 20; i++) {
        fleet_.ForgeCheckIn(worker_, Later() + i, i % 3 == 0);
        fleet_.Run(i % 2 == 0 ? kTickMs : kContactMs);
    }
    ExpectNothingEnded();
}

/* Guards against the same at a leader that has not heard the worker yet. */
TEST_P(RestartTest, ACheckInEndsNothingAtANewLeader)
{
    fleet_.ChangeLeader(true);
    fleet_.ForgeCheckIn(worker_, Later());
    ExpectNothingEnded();
}

/* Guards against the same where ends are on their way to the log. */
TEST_P(RestartTest, ACheckInEndsNothingWhileTheLogIsSlow)
{
    fleet_.task_ms = kTickMs;
    fleet_.log_delay_ms = 2000;
    fleet_.Submit(kJob + 9, {MakeStep(1, 0)});
    fleet_.Run(2500);
    fleet_.ForgeCheckIn(worker_, Later());
    fleet_.Run(kLaterMs);
    fleet_.log_delay_ms = 20;
    fleet_.task_ms = kTaskMs;
    ExpectNothingEnded();
}

/*
 * Guards against tasks that lapse: a leave request that another writer sent
 * under the id of their worker, with a later start, ended its leases.
 */
TEST_P(RestartTest, ALeaveRequestOfALaterIncarnationEndsNothing)
{
    fleet_.ForgeLeave(worker_, Later());
    ExpectNothingEnded();
}

/* Guards against a restart that waits for more than the worker's answer. */
TEST_P(RestartTest, TheTasksOfAWorkerThatRestartedRunAgainAtOnce)
{
    fleet_.Restart(worker_);
    EXPECT_LE(TimeUntilRunning(), kContactMs);
    EXPECT_EQ(fleet_.Counter(JR_C_RESTARTS_DENIED), 0u);
    EXPECT_TRUE(fleet_.violations.empty());
}

/* Guards against the same where the worker is cut off right afterwards. */
TEST_P(RestartTest, ARestartCountsWhenTheWorkerDoesNotAnswer)
{
    fleet_.Restart(worker_);
    fleet_.SetPartitioned(worker_, true);
    EXPECT_LE(TimeUntilRunning(), kAnswerMs + kContactMs);
    EXPECT_TRUE(fleet_.violations.empty());
}

/* Guards against the same where a leader learns of it only by the list. */
TEST_P(RestartTest, ARestartThatOnlyTheListNamesCounts)
{
    fleet_.RestartUnheard(worker_);
    EXPECT_LE(TimeUntilRunning(), kLaterMs);
    fleet_.ForgeCheckIn(worker_, Later() + kLeasesMs);
    fleet_.Run(kContactMs);
    EXPECT_EQ(fleet_.Counter(JR_C_RESTARTS_DENIED), 1u);
    EXPECT_TRUE(fleet_.violations.empty());
}

/* Guards against the same while other workers, or this one, restart. */
TEST_P(RestartTest, NoTaskRunsTwiceBesideTrueRestarts)
{
    std::mt19937 rng(GetParam());

    fleet_.Submit(kJob + 1, {MakeStep(kWorkers, kWholeWorker / 4)});
    for (int i = 0; i < 100; i++) {
        size_t w = rng() % kWorkers;

        if (rng() % 4 == 0) {
            fleet_.ForgeCheckIn(w, fleet_.now);
        }
        else if (rng() % 4 == 0) {
            fleet_.Restart(w);
        }
        fleet_.Run(static_cast<int64_t>(rng() % kContactMs));
    }
    for (const std::string &violation : fleet_.violations) {
        ADD_FAILURE() << violation;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartTest, ::testing::Range(1u, 9u));

} // namespace
