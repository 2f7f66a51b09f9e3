/* How soon the tasks of a worker that is lost without notice run again. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr int64_t kFailoverMs = 10000;
constexpr int64_t kElectionMs = 700;
/* Followers begin an election when they have heard nothing for so long. */
constexpr int64_t kLeaderSilentMs = 2 * kElectionMs;
constexpr int64_t kTickMs = 10;
constexpr uint64_t kService = 1;

class FailoverTest : public ::testing::TestWithParam<int64_t> {
  protected:
    FailoverTest()
        : fleet_(1, 2, {},
                 {.lease_ms = GetParam(),
                  .failover_ms = kFailoverMs,
                  .order_age_ms = kElectionMs})
    {
        Jr__JobStep step = MakeStep(1);

        step.service = true;
        fleet_.long_running_job = kService;
        fleet_.Submit(kService, {step});
        while (fleet_.Running(kService) == 0) {
            Run(kTickMs);
        }
        Run(3000);
    }

    /* Short tasks come all the time, so capacity is kept for them. */
    void
    Run(int64_t ms)
    {
        for (int64_t end = fleet_.now + ms; fleet_.now < end;) {
            if (fleet_.now >= next_job_at_) {
                fleet_.Submit(next_job_++, {MakeStep(2)});
                next_job_at_ = fleet_.now + fleet_.task_ms;
            }
            fleet_.Run(kTickMs);
        }
    }

    /* Returns its index. */
    size_t
    LoseWorkerOfService()
    {
        for (size_t i = 0; i < fleet_.workers.size(); i++) {
            if (fleet_.workers[i].running.count({kService, 0, 0, 0}) > 0) {
                fleet_.Crash(i);
                return i;
            }
        }
        ADD_FAILURE() << "the service does not run";
        return 0;
    }

    int64_t
    RunUntilServiceRuns(int64_t lost_at)
    {
        while (fleet_.Running(kService) == 0 &&
               fleet_.now < lost_at + 3 * kFailoverMs) {
            Run(kTickMs);
        }
        return fleet_.now - lost_at;
    }

    Fleet fleet_;
    uint64_t next_job_ = 100;
    int64_t next_job_at_ = 0;
};

/*
 * Guards against a service that stays down for longer than the failover time
 * because the lease of its lost worker is as long, and because it has to wait
 * for capacity again once that lease has expired.
 */
TEST_P(FailoverTest, AServiceOfALostWorkerRunsAgainInTime)
{
    int64_t lost_at = fleet_.now;

    LoseWorkerOfService();
    EXPECT_LE(RunUntilServiceRuns(lost_at), kFailoverMs);
    EXPECT_TRUE(fleet_.violations.empty());
}

/*
 * Guards against the same when the leader is lost with the worker: the next
 * one counts the lease from its election.
 */
TEST_P(FailoverTest, AServiceRunsAgainInTimeWhenTheLeaderIsLostToo)
{
    int64_t lost_at = fleet_.now;

    LoseWorkerOfService();
    fleet_.Stall(kLeaderSilentMs);
    Run(kLeaderSilentMs);
    fleet_.ChangeLeader(true);
    EXPECT_LE(RunUntilServiceRuns(lost_at), kFailoverMs);
    EXPECT_TRUE(fleet_.violations.empty());
}

/*
 * Guards against a worker that comes back and is lost again before its first
 * list: runs of an earlier leader wait until late start orders are excluded.
 */
TEST_P(FailoverTest, AServiceRunsAgainInTimeWhenItsWorkerIsLostTwice)
{
    int64_t lost_at;
    size_t host;

    fleet_.ChangeLeader(true);
    Run(2000);
    lost_at = fleet_.now;
    host = LoseWorkerOfService();
    Run(500);
    fleet_.Restart(host);
    Run(2 * kTickMs);
    fleet_.Crash(host);
    EXPECT_LE(RunUntilServiceRuns(lost_at), kFailoverMs);
    EXPECT_TRUE(fleet_.violations.empty());
}

/* Longest leases, in ms: shorter than the failover time, equal, longer. */
INSTANTIATE_TEST_SUITE_P(LongestLeases, FailoverTest,
                         ::testing::Values(6000, 10000, 20000));

} // namespace
