/* Jobs that can't end in time are refused, and no others: seeded loads. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

extern "C" {
#include "jayrelay/intake.h"
}

namespace {

constexpr int kProcessors = 100;
constexpr double kMilli = 1000.0;  /* of one processor */
constexpr int64_t kStepMs = 10;    /* run times are multiples of it */
constexpr int64_t kRefreshMs = 50; /* sums are this old at most */
constexpr int64_t kAllowedMs = 2000;
constexpr int64_t kLateMs = 3 * kAllowedMs;
constexpr double kMeanEstimateMs = 800.0;
constexpr double kRealRatio = 0.6; /* mean of real to estimated run time */
constexpr int64_t kYearMs = INT64_C(365) * 24 * 3600 * 1000;

struct Task {
    int64_t due;
    int64_t late;
    int64_t estimate;
    int64_t real;
    size_t queue;
    int64_t ends = 0; /* once it runs */
};

/*
 * Processors that run tasks of one processor in the order of their due times,
 * which is the order of their acceptance.
 */
class Site {
  public:
    Site(uint32_t seed, size_t n_queues)
        : offered(n_queues), accepted(n_queues), rng_(seed), queues_(n_queues)
    {
        for (size_t i = 0; i < n_queues; i++) {
            queues_[i].weight = 1;
        }
        pool_.milli[JR_INTAKE_SHORT] = kProcessors * kMilli;
        pool_.milli[JR_INTAKE_BEST_EFFORT] = kProcessors * kMilli;
    }

    void
    SetWeight(size_t queue, uint32_t weight)
    {
        queues_[queue].weight = weight;
    }

    /* Each queue asks for so much of all processors. */
    void
    Run(int64_t ms, const std::vector<double> &loads)
    {
        for (int64_t end = now + ms; now < end; now += kStepMs) {
            Work();
            if (now % kRefreshMs == 0) {
                Sum();
            }
            for (size_t q = 0; q < loads.size(); q++) {
                Arrive(q, loads[q]);
            }
        }
    }

    int64_t
    DrainMs()
    {
        int64_t begin = now;

        while (!waiting_.empty() || !running_.empty()) {
            Run(kStepMs, {});
        }
        return now - begin;
    }

    int64_t now = 0;
    size_t n_refused = 0;
    bool checks_refusals = false;
    size_t n_wrongly_refused = 0;
    size_t n_useless = 0; /* accepted, and ended after the late bound */
    std::vector<double> offered, accepted; /* real work by queue */

  private:
    void
    Work()
    {
        while (!running_.empty() && running_.front().ends <= now) {
            const Task &task = running_.front();

            n_useless += task.ends > task.late;
            jr_intake_learn(&ratio_, task.estimate, task.real);
            std::pop_heap(running_.begin(), running_.end(), EndsLater);
            running_.pop_back();
        }
        while (!waiting_.empty() && running_.size() < kProcessors) {
            Task task = waiting_.front();

            waiting_.pop_front();
            task.ends = now + task.real;
            running_.push_back(task);
            std::push_heap(running_.begin(), running_.end(), EndsLater);
        }
    }

    static bool
    EndsLater(const Task &a, const Task &b)
    {
        return a.ends > b.ends;
    }

    void
    Sum()
    {
        for (jr_intake_queue_t &queue : queues_) {
            queue = {.pool = 0, .priority = 0, .weight = queue.weight};
        }
        for (const Task &task : waiting_) {
            jr_intake_add(&queues_[task.queue], JR_INTAKE_SHORT, kMilli,
                          task.estimate, task.due - now);
        }
        for (const Task &task : running_) {
            jr_intake_add(&queues_[task.queue], JR_INTAKE_SHORT, kMilli,
                          task.estimate / 2, 0);
        }
    }

    void
    Arrive(size_t queue, double load)
    {
        double mean =
            load * kProcessors * kStepMs / (kMeanEstimateMs * kRealRatio);
        int n = std::poisson_distribution<int>(mean)(rng_);

        for (int i = 0; i < n; i++) {
            Submit(queue);
        }
    }

    /* Single estimates are off by up to 0.9 of themselves. */
    void
    Submit(size_t queue)
    {
        std::uniform_real_distribution<double> size(0.5, 1.5), off(0.1, 1.1);
        int64_t estimate = (int64_t)(kMeanEstimateMs * size(rng_));
        int64_t real =
            (int64_t)((double)estimate * off(rng_)) / kStepMs * kStepMs +
            kStepMs;
        Task task = {now + kAllowedMs, now + kLateMs, estimate, real, queue};
        jr_intake_verdict_t verdict = Ask(task);

        offered[queue] += (double)real;
        if (verdict.reason != JR_INTAKE_ACCEPTED) {
            n_refused++;
            n_wrongly_refused +=
                checks_refusals && EndIfAccepted(task) <= task.late;
            return;
        }
        accepted[queue] += (double)real;
        waiting_.push_back(task);
        jr_intake_add(&queues_[queue], JR_INTAKE_SHORT, kMilli, estimate,
                      kAllowedMs);
    }

    jr_intake_verdict_t
    Ask(const Task &task)
    {
        jr_intake_backlog_t backlog = {queues_.data(), queues_.size(), &pool_};
        jr_intake_job_t job = {};

        backlog.ratio_permille[JR_INTAKE_SHORT] =
            jr_intake_ratio_permille(&ratio_);
        job.id = ++id_;
        job.queue = task.queue;
        job.chain_ms = task.estimate;
        job.milli_ms[JR_INTAKE_SHORT] = kMilli * (double)task.estimate;
        job.allowed_ms = kAllowedMs;
        job.late_ms = kLateMs;
        return jr_intake_decide(&backlog, &job);
    }

    /* By real run times, if nothing else is accepted. */
    int64_t
    EndIfAccepted(const Task &task) const
    {
        std::priority_queue<int64_t, std::vector<int64_t>, std::greater<>>
            ends;

        for (const Task &other : running_) {
            ends.push(other.ends);
        }
        while (ends.size() < kProcessors) {
            ends.push(now);
        }
        for (const Task &other : waiting_) {
            ends.push(ends.top() + other.real);
            ends.pop();
        }
        return ends.top() + task.real;
    }

    std::mt19937 rng_;
    std::vector<jr_intake_queue_t> queues_;
    jr_intake_pool_t pool_ = {};
    jr_intake_ratio_t ratio_ = {};
    std::deque<Task> waiting_;  /* by due time */
    std::vector<Task> running_; /* a heap, by their ends */
    uint64_t id_ = 0;
};

class LoadTest : public ::testing::TestWithParam<uint32_t> {};

/* Load: the usual one, with its variations. */
TEST_P(LoadTest, NothingIsRefusedWhileThereIsCapacityForAll)
{
    Site site(GetParam(), 3);

    site.Run(120000, {0.3, 0.3, 0.3});
    EXPECT_GT(std::accumulate(site.accepted.begin(), site.accepted.end(), 0.0),
              0.0);
    EXPECT_EQ(site.n_refused, 0u);
}

/* Load: a burst of 2.6 times the capacity, by one queue. */
TEST_P(LoadTest, NothingThatCouldEndInTimeIsRefused)
{
    Site site(GetParam(), 1);

    site.checks_refusals = true;
    site.Run(20000, {2.6});
    EXPECT_GT(site.n_refused, 1000u) << "no overload";
    EXPECT_EQ(site.n_wrongly_refused, 0u);
}

/* Guards against work that is accepted and ends when nobody wants it. */
TEST_P(LoadTest, TheQueueDrainsInBoundedTimeAfterABurst)
{
    Site site(GetParam(), 1);

    site.Run(20000, {2.6});
    EXPECT_LT(site.DrainMs(), 2 * kLateMs); /* else: 32 s */
}

/* Weighted max-min shares of one, of what the queues ask for. */
std::vector<double>
MaxMin(const std::vector<double> &loads, const std::vector<double> &weights)
{
    std::vector<double> shares(loads.size(), 0.0);
    double level = 0.0;
    constexpr double kStep = 0.0001;

    while (std::accumulate(shares.begin(), shares.end(), 0.0) < 1.0 - kStep) {
        level += kStep;
        for (size_t i = 0; i < loads.size(); i++) {
            shares[i] = std::min(loads[i], level * weights[i]);
        }
    }
    return shares;
}

void
ExpectMaxMin(uint32_t seed, const std::vector<double> &loads,
             const std::vector<double> &weights)
{
    Site site(seed, loads.size());
    std::vector<double> asked, shares, offered, accepted;
    constexpr int64_t kMeasuredMs = 300000;
    constexpr double kAll = (double)(kMeasuredMs * kProcessors);

    for (size_t i = 0; i < weights.size(); i++) {
        site.SetWeight(i, (uint32_t)weights[i]);
    }
    site.Run(30000, loads); /* until the backlog no longer grows */
    offered = site.offered;
    accepted = site.accepted;
    site.Run(kMeasuredMs, loads);
    for (size_t i = 0; i < loads.size(); i++) {
        asked.push_back((site.offered[i] - offered[i]) / kAll);
    }
    shares = MaxMin(asked, weights);
    for (size_t i = 0; i < loads.size(); i++) {
        double got = (site.accepted[i] - accepted[i]) / kAll;

        EXPECT_NEAR(got, shares[i], 0.05 * shares[i]) << "queue " << i;
    }
}

/* Load: one queue has a burst, the others ask for less than their share. */
TEST_P(LoadTest, ABurstOfOneQueueTakesNoShareOfTheOthers)
{
    ExpectMaxMin(GetParam(), {0.2, 0.25, 2.0}, {1, 1, 1});
}

TEST_P(LoadTest, QueuesThatAllAskForTooMuchGetEqualShares)
{
    ExpectMaxMin(GetParam(), {0.1, 0.9, 1.6}, {1, 1, 1});
}

TEST_P(LoadTest, SharesFollowTheWeights)
{
    ExpectMaxMin(GetParam(), {1.2, 1.4}, {3, 1});
}

INSTANTIATE_TEST_SUITE_P(Seeds, LoadTest, ::testing::Range(1u, 6u));

/* A backlog of two queues: 0 is the more urgent one. */
class DecideTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        queues_[0] = {.pool = 0, .priority = 0, .weight = 1};
        queues_[1] = {.pool = 0, .priority = 1, .weight = 1};
        pool_.milli[JR_INTAKE_SHORT] = kProcessors * kMilli;
        pool_.milli[JR_INTAKE_BEST_EFFORT] = kProcessors * kMilli;
        job_.id = 1;
        job_.queue = 1;
        job_.chain_ms = 1000;
        job_.milli_ms[JR_INTAKE_SHORT] = 1000 * kMilli;
        job_.allowed_ms = kAllowedMs;
        job_.late_ms = kLateMs;
    }

    jr_intake_verdict_t
    Decide()
    {
        jr_intake_backlog_t backlog = {
            queues_, 2, &pool_, {1000, 1000} /* estimates are right */};

        return jr_intake_decide(&backlog, &job_);
    }

    /* Work for this time on all processors, in tasks of a second. */
    void
    AddSeconds(size_t queue, double seconds)
    {
        jr_intake_add(&queues_[queue], JR_INTAKE_SHORT,
                      seconds * kProcessors * kMilli, 1000, 0);
    }

    jr_intake_queue_t queues_[2] = {};
    jr_intake_pool_t pool_ = {};
    jr_intake_job_t job_ = {};
};

TEST_F(DecideTest, TheReasonTellsWhoseBacklogItIs)
{
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    AddSeconds(1, 20);
    EXPECT_EQ(Decide().reason, JR_INTAKE_QUEUE_BACKLOG);
    AddSeconds(0, 20);
    EXPECT_EQ(Decide().reason, JR_INTAKE_URGENT_BACKLOG);
    job_.queue = 0;
    EXPECT_EQ(Decide().reason, JR_INTAKE_QUEUE_BACKLOG);
}

TEST_F(DecideTest, LessUrgentWorkDoesNotCount)
{
    AddSeconds(1, 1000);
    job_.queue = 0;
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
}

TEST_F(DecideTest, WorkOfOtherWorkersDoesNotCount)
{
    AddSeconds(0, 1000);
    queues_[0].pool = 1;
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
}

/* Guards against refusals since long work, which is due later, waits. */
TEST_F(DecideTest, WorkOfTheQueueThatIsDueLaterDoesNotCount)
{
    jr_intake_add(&queues_[1], JR_INTAKE_SHORT, 1e9, 60000, 600000);
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
}

/* A task of an hour is no wait of 36 s for others: it takes one processor. */
TEST_F(DecideTest, FewLongTasksLeaveTheOtherProcessors)
{
    jr_intake_add(&queues_[0], JR_INTAKE_SHORT, kMilli, 3600000, 0);
    jr_intake_add(&queues_[1], JR_INTAKE_SHORT, kMilli, kYearMs, 0);
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    jr_intake_add(&queues_[0], JR_INTAKE_SHORT, kProcessors * kMilli, kYearMs,
                  0);
    EXPECT_EQ(Decide().reason, JR_INTAKE_URGENT_BACKLOG);
}

/* Best-effort tasks get what short ones leave, and never delay them. */
TEST_F(DecideTest, BestEffortWorkDelaysOnlyItsLike)
{
    jr_intake_add(&queues_[1], JR_INTAKE_BEST_EFFORT, 1e9, 1000, 0);
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    job_.milli_ms[JR_INTAKE_BEST_EFFORT] = 1.0;
    EXPECT_EQ(Decide().reason, JR_INTAKE_QUEUE_BACKLOG);
}

TEST_F(DecideTest, SomeJobsAreNeverRefused)
{
    jr_intake_job_t usual = job_;

    AddSeconds(0, 1000);
    EXPECT_NE(Decide().reason, JR_INTAKE_ACCEPTED);
    job_.is_exempt = true;
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    job_ = usual;
    job_.allowed_ms = job_.late_ms = 0; /* no objective */
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    job_ = usual;
    job_.chain_ms = 0; /* no estimate */
    job_.milli_ms[JR_INTAKE_SHORT] = 0.0;
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    job_ = usual;
    pool_.milli[JR_INTAKE_SHORT] = 0.0; /* no worker is known */
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
}

/* Bad input: with capacity, the job itself is no reason to refuse it. */
TEST_F(DecideTest, AJobThatCanNeverEndInTimeIsAcceptedWithoutABacklog)
{
    job_.chain_ms = kYearMs; /* stretch 0: nothing is allowed for it */
    job_.milli_ms[JR_INTAKE_SHORT] = 1e6 * kMilli * (double)kYearMs;
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    AddSeconds(1, 1);
    EXPECT_EQ(Decide().reason, JR_INTAKE_ACCEPTED);
    AddSeconds(1, 20);
    EXPECT_EQ(Decide().reason, JR_INTAKE_QUEUE_BACKLOG);
}

/* Load: thousands are refused at once; they must not return at once. */
TEST_F(DecideTest, RefusedJobsComeBackAtDifferentTimes)
{
    constexpr int kJobs = 10000;

    for (double seconds : {10.0, 14.0, 1000.0}) {
        std::map<int64_t, int> by_second, by_tenth;

        AddSeconds(1, seconds);
        for (int i = 0; i < kJobs; i++) {
            int64_t retry;

            job_.id++;
            retry = Decide().retry_after_ms;
            ASSERT_GE(retry, JR_INTAKE_RETRY_MIN_MS);
            ASSERT_LE(retry, JR_INTAKE_RETRY_MAX_MS);
            by_second[(retry + 999) / 1000]++;
            by_tenth[retry / 100]++;
        }
        EXPECT_GE(by_second.size(), 2u);
        for (const auto &[second, n] : by_second) {
            EXPECT_LT(n, kJobs * 6 / 10) << second << " s";
        }
        for (const auto &[tenth, n] : by_tenth) {
            EXPECT_LT(n, kJobs / 12) << tenth << " tenths of a second";
        }
    }
}

TEST_F(DecideTest, TheLongerTheBacklogTheLaterTheReturn)
{
    int64_t after_short;

    AddSeconds(1, 9);
    after_short = Decide().retry_after_ms;
    AddSeconds(1, 1000);
    EXPECT_GT(Decide().retry_after_ms, after_short);
}

/* Bad input: no estimate, however wrong, gives an unbounded figure. */
TEST(RatioTest, TheRatioIsBoundedAndNoSingleTaskDecidesIt)
{
    jr_intake_ratio_t ratio = {};

    EXPECT_EQ(jr_intake_ratio_permille(&ratio), 500u);
    jr_intake_learn(&ratio, 0, 1000);
    EXPECT_EQ(ratio.n, 0u);
    for (int i = 0; i < 200; i++) {
        jr_intake_learn(&ratio, 1000, 800);
    }
    EXPECT_NEAR(jr_intake_ratio_permille(&ratio), 800, 1);
    jr_intake_learn(&ratio, kYearMs, 1);
    EXPECT_GT(jr_intake_ratio_permille(&ratio), 650u);
    for (int i = 0; i < 1000; i++) {
        jr_intake_learn(&ratio, 1, kYearMs);
    }
    EXPECT_NEAR(jr_intake_ratio_permille(&ratio), 2000, 1);
    for (int i = 0; i < 1000; i++) {
        jr_intake_learn(&ratio, kYearMs, 0);
    }
    EXPECT_EQ(jr_intake_ratio_permille(&ratio), 100u);
}

/* A few slow tasks after a start must not raise the estimate. */
TEST(RatioTest, TheRatioIsFavourableUntilEnoughTasksHaveEnded)
{
    jr_intake_ratio_t ratio = {};

    for (int i = 0; i < 10; i++) {
        jr_intake_learn(&ratio, 1000, 1900);
    }
    EXPECT_EQ(jr_intake_ratio_permille(&ratio), 500u);
}

} // namespace
