/* Workers that drain and leave, in touch with the leader and cut off. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr uint64_t kService = 1;
constexpr uint64_t kFilling = 2;
constexpr int64_t kTickMs = 10;
constexpr int64_t kElectionMs = 700;
constexpr int64_t kLongestLeaseMs = 10000;
constexpr int64_t kFailoverMs = 10000;
/* A task that lasts runs again within this time of its last run. */
constexpr int64_t kRestartMs = 6000;
constexpr int64_t kExitMs = 3000; /* of a worker whose request got no answer */

constexpr int64_t kMoveMs = 1000; /* shorter than the shortest drain */
constexpr int64_t kLongTaskMs = 60000;
constexpr int64_t kCpu = 1000; /* of the service, in thousandths */

/* Two workers; one of them runs a service. */
class LeaveTest : public ::testing::Test {
  protected:
    LeaveTest()
        : fleet_(1, 2, {},
                 {.lease_ms = kLongestLeaseMs,
                  .failover_ms = kFailoverMs,
                  .order_age_ms = kElectionMs})
    {
        Jr__JobStep step = MakeStep(1);

        step.service = true;
        fleet_.long_running_job = kService;
        fleet_.Submit(kService, {step});
        fleet_.Run(5000);
        for (size_t i = 0; i < fleet_.workers.size(); i++) {
            if (fleet_.workers[i].running.count({kService, 0, 0, 0}) > 0) {
                host_ = i;
            }
        }
    }

    FleetWorker &
    Host()
    {
        return fleet_.workers[host_];
    }

    /* The service fits on no other worker. */
    void
    FillOthers()
    {
        fleet_.task_ms = kLongTaskMs;
        fleet_.Submit(kFilling,
                      {MakeStep(2, fleet_.workers[0].cpu - kCpu / 2)});
        fleet_.Run(1000);
    }

    /*
     * It drains, and sends its leave request, which arrives. It runs the
     * service until then; now others have room.
     */
    void
    DrainAndLeave()
    {
        FillOthers();
        fleet_.Drain(host_);
        while (Host().exits_at == 0 && Host().is_up) {
            EXPECT_EQ(Host().running.count({kService, 0, 0, 0}), 1u);
            fleet_.Run(kTickMs);
        }
        fleet_.Cancel(kFilling);
    }

    /* It is cut off as it leaves, and ends much later. */
    void
    LeaveBehindCut(int64_t exit_ms)
    {
        DrainAndLeave();
        fleet_.SetPartitioned(host_, true);
        Host().exits_at = fleet_.now + exit_ms;
    }

    int64_t
    RunUntilServiceRuns(int64_t longest_ms)
    {
        int64_t began = fleet_.now;

        while (fleet_.Running(kService) == 0 &&
               fleet_.now < began + longest_ms) {
            fleet_.Run(kTickMs);
        }
        return fleet_.now - began;
    }

    Fleet fleet_;
    size_t host_ = 0;
};

/*
 * Guards against a task that is started elsewhere while its worker, which
 * leaves and is cut off, runs it: refused connections are no end.
 */
TEST_F(LeaveTest, ATaskBehindACutThatRefusesRunsOnce)
{
    fleet_.cuts_refuse = true;
    LeaveBehindCut(kExitMs);
    fleet_.Run(kExitMs + kTickMs);
    RunUntilServiceRuns(kRestartMs);
    EXPECT_EQ(fleet_.Running(kService), 1u);
    EXPECT_TRUE(fleet_.violations.empty()) << fleet_.violations[0];
}

/* Guards against the same when nothing answers, and it ends after long. */
TEST_F(LeaveTest, ATaskBehindASilentCutRunsOnce)
{
    LeaveBehindCut(2 * kLongestLeaseMs);
    fleet_.Run(kLongestLeaseMs);
    EXPECT_EQ(fleet_.Running(kService), 1u);
    EXPECT_TRUE(fleet_.violations.empty()) << fleet_.violations[0];
}

/* Guards against the same when another leader has taken over meanwhile. */
TEST_F(LeaveTest, ATaskBehindACutRunsOnceUnderANewLeader)
{
    fleet_.cuts_refuse = true;
    LeaveBehindCut(2 * kLongestLeaseMs);
    fleet_.Run(kElectionMs);
    fleet_.ChangeLeader(true);
    fleet_.Run(2 * kLongestLeaseMs);
    EXPECT_EQ(fleet_.Running(kService), 1u);
    EXPECT_TRUE(fleet_.violations.empty()) << fleet_.violations[0];
}

/*
 * Guards against a service that waits out a long lease when its worker ends as
 * soon as it has asked to leave.
 */
TEST_F(LeaveTest, AServiceOfAWorkerThatHasLeftRunsAgainInTime)
{
    DrainAndLeave();
    if (Host().is_up) {
        fleet_.Crash(host_);
    }
    EXPECT_LE(RunUntilServiceRuns(2 * kRestartMs), kRestartMs);
    EXPECT_TRUE(fleet_.violations.empty());
}

/*
 * Guards against a service that is down until the lease of its worker has
 * ended: it moves while the worker drains, before it may be cut off.
 */
TEST_F(LeaveTest, AServiceRunsElsewhereBeforeItsWorkerLeaves)
{
    fleet_.cuts_refuse = true;
    fleet_.Drain(host_);
    fleet_.Run(kMoveMs);
    EXPECT_TRUE(Host().is_up);
    EXPECT_TRUE(Host().running.empty());
    EXPECT_EQ(fleet_.Running(kService), 1u);
    EXPECT_TRUE(fleet_.violations.empty());
}

/* Guards against a service that is stopped early and then waits for room. */
TEST_F(LeaveTest, AServiceThatFitsNowhereElseRunsUntilItsWorkerLeaves)
{
    DrainAndLeave();
    EXPECT_EQ(fleet_.StartsOf({kService, 0, 0, 0}), 1u);
    EXPECT_TRUE(fleet_.violations.empty());
}

} // namespace
