/*
 * Workers that restart under their id: orders to an earlier incarnation that a
 * later one executes, and the leases that they give there.
 */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr int64_t kLongestLeaseMs = 10000; /* that workers accept */
constexpr int64_t kFailoverMs = 10000;     /* bounds the leader's leases */
constexpr int64_t kElectionMs = 700;
constexpr int64_t kTickMs = 10;
constexpr int64_t kUptimeMs = 30000; /* the clock is ahead of the next one */
constexpr int64_t kContactMs = 300;  /* the leader hears of a restart */
/* Late orders arrive within 12 s, and their leases end. */
constexpr int64_t kLongEnoughMs = 40000;
constexpr int64_t kTaskMs = 60000;
constexpr uint64_t kJob = 1;
constexpr uint64_t kOther = 2; /* occupies the other worker at first */
constexpr uint32_t kWholeWorker = 4000;

/* The parameter is a seed. */
class IncarnationTest : public ::testing::TestWithParam<uint32_t> {
  protected:
    IncarnationTest()
        : fleet_(GetParam(), 2, {},
                 {.lease_ms = kLongestLeaseMs,
                  .failover_ms = kFailoverMs,
                  .order_age_ms = kElectionMs})
    {
        fleet_.checks_stale_starts = true;
        fleet_.late_orders_pass_cuts = true;
        fleet_.task_ms = kTaskMs;
        fleet_.Run(kUptimeMs);
        fleet_.Submit(kOther, {MakeStep(1, kWholeWorker)});
        RunUntilStartIsSent();
        fleet_.Run(kContactMs);
        worker_ = fleet_.workers[0].running.empty() ? 0 : 1;
    }

    /* Its start is on the way to the only worker with capacity. */
    void
    SubmitUntilStartIsSent()
    {
        fleet_.Submit(kJob, {MakeStep(1, kWholeWorker)});
        RunUntilStartIsSent();
    }

    void
    RunUntilStartIsSent()
    {
        uint64_t n_sent = fleet_.Counter(JR_C_STARTS_SENT);

        while (fleet_.Counter(JR_C_STARTS_SENT) == n_sent) {
            fleet_.Run(kTickMs);
        }
    }

    /* Renewals of the next seconds arrive late. */
    void
    DelayOrders(int64_t ms)
    {
        fleet_.faults.late = 100;
        fleet_.Run(ms);
        fleet_.faults.late = 0;
    }

    /* The leader reaches the worker once a late order has given it a lease. */
    void
    ReachAfterLateLease()
    {
        int64_t last_at = fleet_.now + kLongEnoughMs;

        while (fleet_.workers[worker_].expires_ms == 0 &&
               fleet_.now < last_at) {
            fleet_.Run(kTickMs);
        }
        ASSERT_GT(fleet_.workers[worker_].expires_ms, 0);
        fleet_.SetPartitioned(worker_, false);
    }

    /* Then the worker is cut off. */
    void
    RunTaskThere()
    {
        fleet_.Submit(kJob, {MakeStep(1, kWholeWorker)});
        while (fleet_.workers[worker_].running.empty()) {
            fleet_.Run(kTickMs);
        }
        CutOff();
    }

    void
    CutOff()
    {
        fleet_.SetPartitioned(worker_, true);
    }

    /* The other worker gets capacity for the task, and time to start it. */
    void
    ExpectOneRunAtATime()
    {
        fleet_.Cancel(kOther);
        fleet_.Run(kLongEnoughMs);
        EXPECT_EQ(fleet_.workers[1 - worker_].running.size(), 1u);
        for (const std::string &violation : fleet_.violations) {
            ADD_FAILURE() << violation;
        }
    }

    Fleet fleet_;
    size_t worker_; /* that the task is started on */
};

/*
 * Guards against a task that runs twice: its start was sent before its worker
 * restarted, with a lease that ends by the earlier clock. The worker kept the
 * lease for as long as it accepts, the leader believed in a shorter one.
 */
TEST_P(IncarnationTest, ALeaseByTheClockOfAnEarlierIncarnationIsWaitedOut)
{
    SubmitUntilStartIsSent();
    fleet_.Restart(worker_);
    fleet_.Run(kContactMs);
    ASSERT_EQ(fleet_.Running(kJob), 1u);
    CutOff();
    ExpectOneRunAtATime();
}

/* Guards against the same where the leader changes between the two. */
TEST_P(IncarnationTest, ANewLeaderWaitsOutSuchALeaseOfItsPredecessor)
{
    SubmitUntilStartIsSent();
    fleet_.Restart(worker_);
    fleet_.Run(kContactMs);
    ASSERT_EQ(fleet_.Running(kJob), 1u);
    CutOff();
    fleet_.ChangeLeader(true);
    ExpectOneRunAtATime();
}

/* Guards against the same where the new leader reaches the worker first. */
TEST_P(IncarnationTest, ANewLeaderWaitsOutSuchALeaseThatItHasSeen)
{
    SubmitUntilStartIsSent();
    fleet_.Restart(worker_);
    fleet_.Run(kContactMs);
    ASSERT_EQ(fleet_.Running(kJob), 1u);
    fleet_.ChangeLeader(true);
    fleet_.Run(kContactMs);
    CutOff();
    ExpectOneRunAtATime();
}

/*
 * Guards against a task that runs twice: an incarnation of which the leader
 * has not heard answered its start, and was taken for the one before.
 */
TEST_P(IncarnationTest, AnAnswerOfAnUnknownIncarnationIsNotThatOfTheLast)
{
    SubmitUntilStartIsSent();
    fleet_.RestartUnheard(worker_);
    fleet_.Run(kTickMs);
    ASSERT_EQ(fleet_.Running(kJob), 1u);
    fleet_.Run(kTickMs); /* its answer arrives */
    CutOff();
    ExpectOneRunAtATime();
}

/*
 * Guards against a task that runs twice: its start is executed late, by an
 * incarnation that the leader can't reach, after it was started elsewhere.
 * Disabled here; ctest runs it as late_starts_cut_off, with the next one.
 */
TEST_P(IncarnationTest, DISABLED_ALateStartMayBeginInAnIncarnationThatIsCutOff)
{
    fleet_.faults.late = 100;
    SubmitUntilStartIsSent();
    fleet_.faults.late = 0;
    CutOff();
    fleet_.RestartUnheard(worker_);
    ExpectOneRunAtATime();
}

/* Guards against the same where the leader changes meanwhile. */
TEST_P(IncarnationTest, DISABLED_ANewLeaderWaitsForLateStartsOfItsPredecessor)
{
    fleet_.faults.late = 100;
    SubmitUntilStartIsSent();
    fleet_.faults.late = 0;
    CutOff();
    fleet_.RestartUnheard(worker_);
    fleet_.ChangeLeader(true);
    ExpectOneRunAtATime();
}

/*
 * Guards against a task that runs twice: a new leader took late orders of its
 * predecessor for executed by the time of the election. One of them gave a
 * lease seconds later, shortly before the new leader reached the worker.
 */
TEST_P(IncarnationTest, ALateOrderOfThePredecessorGivesALeaseAfterTheElection)
{
    DelayOrders(2500);
    fleet_.Restart(worker_);
    CutOff();
    fleet_.Run(50); /* the restart is in the log */
    fleet_.ChangeLeader(true);
    ReachAfterLateLease();
    RunTaskThere();
    ExpectOneRunAtATime();
}

/*
 * Guards against the same where the worker had left, and its record had been
 * removed, so that nothing was known of an earlier incarnation.
 */
TEST_P(IncarnationTest, AWorkerThatIsBackAfterItsRemovalMayHoldAStaleLease)
{
    fleet_.Drain(worker_);
    fleet_.Run(1500);
    DelayOrders(800);
    while (jr_jobs_worker(fleet_.jobs, fleet_.workers[worker_].id.c_str()) !=
           nullptr) {
        fleet_.Run(kTickMs);
    }
    fleet_.Restart(worker_);
    CutOff();
    ReachAfterLateLease();
    RunTaskThere();
    ExpectOneRunAtATime();
}

/*
 * Guards against a service that is down for longer than the failover time, as
 * one answer to its start was lost: it was listed since, so it ends with the
 * lease of the incarnation that listed it.
 */
TEST_P(IncarnationTest, AListedServiceIsNotHeldForALostAnswer)
{
    Jr__JobStep step = MakeStep(1, kWholeWorker);
    int64_t lost_at;

    step.service = true;
    fleet_.long_running_job = kJob;
    fleet_.faults.lost_answer = 100;
    fleet_.Submit(kJob, {step});
    RunUntilStartIsSent();
    fleet_.Run(2 * kTickMs);
    fleet_.faults.lost_answer = 0;
    fleet_.Run(6000);
    ASSERT_EQ(fleet_.Running(kJob), 1u);
    lost_at = fleet_.now;
    fleet_.Crash(worker_);
    CutOff();
    fleet_.Cancel(kOther);
    fleet_.Run(1000);
    while (fleet_.Running(kJob) == 0 && fleet_.now < lost_at + kLongEnoughMs) {
        fleet_.Run(kTickMs);
    }
    EXPECT_LE(fleet_.now - lost_at, kFailoverMs);
}

/*
 * Guards against a service that is down for longer than the failover time, as
 * its start had no answer: its worker was lost for good at that moment.
 */
TEST_P(IncarnationTest, AServiceWithoutAnAnswerIsNotHeldForALateStart)
{
    Jr__JobStep step = MakeStep(1, kWholeWorker);
    int64_t lost_at;

    step.service = true;
    fleet_.long_running_job = kJob;
    fleet_.Submit(kJob, {step});
    RunUntilStartIsSent();
    lost_at = fleet_.now;
    fleet_.Crash(worker_);
    CutOff();
    fleet_.Cancel(kOther);
    fleet_.Run(1000);
    while (fleet_.Running(kJob) == 0 && fleet_.now < lost_at + kLongEnoughMs) {
        fleet_.Run(kTickMs);
    }
    EXPECT_LE(fleet_.now - lost_at, kFailoverMs);
}

INSTANTIATE_TEST_SUITE_P(Seeds, IncarnationTest, ::testing::Range(1u, 9u));

} // namespace
