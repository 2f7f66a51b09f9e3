/*
 * A leader that gets less done than its work needs, with work of two
 * priorities: what is least urgent waits first. In virtual time, by counted
 * work.
 */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr uint64_t kService = 1;
constexpr uint64_t kFirstUrgent = 1000;
constexpr uint64_t kFirstOther = 1000000;
constexpr int64_t kWorkerMilli = 16000;
constexpr uint32_t kServiceMilli = 4000;
constexpr uint32_t kServicesPerWorker = 2;
/* Jobs of two steps; in time within twice the time that these run. */
constexpr uint32_t kSteps = 2;
constexpr uint32_t kUrgentTasks = 6;
constexpr uint32_t kUrgentMilli = 3200;
constexpr int64_t kUrgentMs = 640;
constexpr uint32_t kOtherTasks = 20;
constexpr uint32_t kOtherMilli = 50;
constexpr int64_t kOtherMs = 1700;
/* Tasks a second for each worker, thousandths. */
constexpr int64_t kUrgentPermille = 400;
constexpr int64_t kOtherPermille = 2200;
constexpr int64_t kWarmUpMs = 8000;
constexpr int64_t kLoadMs = 10000;
constexpr int64_t kStepMs = 50;
/*
 * Work of the leader, a second for each worker: more than all of that takes at
 * short turns.
 */
constexpr uint64_t kWorkPerWorker = 300;

struct Load {
    size_t n_workers;
    uint64_t speed_permille; /* of kWorkPerWorker */
};

struct InTime {
    size_t n;
    size_t of;

    int
    Percent() const
    {
        return of > 0 ? static_cast<int>(100 * n / of) : 0;
    }
};

std::string
NameOf(const testing::TestParamInfo<Load> &info)
{
    return std::to_string(info.param.n_workers) + "WorkersAt" +
           std::to_string(info.param.speed_permille) + "Permille";
}

class SlowLeaderTest : public testing::TestWithParam<Load> {
  protected:
    SlowLeaderTest() : fleet(1, GetParam().n_workers)
    {
        const Load &load = GetParam();

        fleet.long_running_job = kService;
        fleet.reported_percent = 100;
        fleet.run_ms_of = [](const TaskName &task) {
            return task.job == kService      ? INT64_C(1) << 40
                   : task.job >= kFirstOther ? kOtherMs
                                             : kUrgentMs;
        };
        for (size_t i = 0; i < fleet.workers.size(); i++) {
            fleet.SetCapacity(i, kWorkerMilli);
            fleet.CheckIn(i);
        }
        Jr__JobStep service = MakeStep(static_cast<uint32_t>(load.n_workers) *
                                           kServicesPerWorker,
                                       kServiceMilli);

        service.service = 1;
        fleet.Submit(kService, {service});
        fleet.Run(kWarmUpMs);
        fleet.work_per_ms = load.n_workers * kWorkPerWorker *
                            load.speed_permille / 1000 / 1000;
    }

    void
    Submit(uint64_t id)
    {
        bool is_urgent = id < kFirstOther;
        Jr__JobStep step = is_urgent ? MakeStep(kUrgentTasks, kUrgentMilli)
                                     : MakeStep(kOtherTasks, kOtherMilli);
        uint32_t before = 0;
        std::vector<Jr__JobStep> steps;

        step.estimate_ms =
            static_cast<uint32_t>(is_urgent ? kUrgentMs : kOtherMs);
        step.filler = !is_urgent;
        steps.push_back(step);
        step.n_after = 1;
        step.after = &before;
        steps.push_back(step);
        fleet.Submit(id, steps, 0, 0,
                     is_urgent ? FLEET_URGENT_QUEUE : FLEET_OTHER_QUEUE);
        submitted_[id] = fleet.now;
    }

    /* As many jobs as are due by now. */
    void
    SubmitDue(uint64_t first, int64_t ms, int64_t permille, uint32_t tasks)
    {
        int64_t due = ms * permille *
                      static_cast<int64_t>(fleet.workers.size()) / 1000 /
                      1000 / (tasks * kSteps);

        for (int64_t i = n_[first]; i < due; i++) {
            Submit(first + static_cast<uint64_t>(i));
        }
        n_[first] = due;
    }

    void
    NoteDone()
    {
        for (auto &[id, at] : submitted_) {
            const jr_job_t *job = jr_jobs_find(fleet.jobs, id);

            if (done_.count(id) == 0 && job != nullptr &&
                job->state == JR_JOB_DONE) {
                done_[id] = fleet.now;
            }
        }
    }

    void
    RunLoad()
    {
        for (int64_t ms = 0; ms < kLoadMs; ms += kStepMs) {
            SubmitDue(kFirstUrgent, ms, kUrgentPermille, kUrgentTasks);
            SubmitDue(kFirstOther, ms, kOtherPermille, kOtherTasks);
            fleet.Run(kStepMs);
            NoteDone();
        }
        /* Until the last jobs are done or late. */
        for (int64_t ms = 0; ms < 2 * kSteps * kOtherMs; ms += kStepMs) {
            fleet.Run(kStepMs);
            NoteDone();
        }
    }

    InTime
    CountInTime(bool is_urgent) const
    {
        int64_t allowed = 2 * kSteps * (is_urgent ? kUrgentMs : kOtherMs);
        InTime count = {};

        for (const auto &[id, at] : submitted_) {
            if ((id < kFirstOther) == is_urgent) {
                auto done = done_.find(id);

                count.of++;
                count.n += done != done_.end() && done->second - at <= allowed;
            }
        }
        return count;
    }

    Fleet fleet;

  private:
    std::map<uint64_t, int64_t> n_; /* submitted, by the first id */
    std::map<uint64_t, int64_t> submitted_;
    std::map<uint64_t, int64_t> done_;
};

/*
 * Guards against urgent jobs that are late as the leader had too little time
 * for all: its passes took most of it, and best-effort tasks the rest.
 */
TEST_P(SlowLeaderTest, ASlowLeaderKeepsUrgentJobsInTime)
{
    InTime urgent;

    RunLoad();
    urgent = CountInTime(true);
    EXPECT_EQ(urgent.n, urgent.of);
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

INSTANTIATE_TEST_SUITE_P(SizesAndSpeeds, SlowLeaderTest,
                         testing::Values(Load{100, 1000}, Load{100, 500},
                                         Load{100, 350}, Load{100, 300},
                                         Load{250, 500}, Load{250, 350},
                                         Load{250, 300}, Load{400, 300}),
                         NameOf);

/*
 * Guards against urgent jobs that are late in a larger part than best-effort
 * ones, where the leader is too slow for either.
 */
class VerySlowTest : public SlowLeaderTest {};

TEST_P(VerySlowTest, UrgentJobsAreNotWorseOffThanOthers)
{
    InTime urgent, other;

    RunLoad();
    urgent = CountInTime(true);
    other = CountInTime(false);
    EXPECT_GE(urgent.Percent(), other.Percent());
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations[0];
}

INSTANTIATE_TEST_SUITE_P(SizesAndSpeeds, VerySlowTest,
                         testing::Values(Load{100, 250}, Load{100, 200},
                                         Load{100, 150}, Load{250, 250},
                                         Load{250, 150}),
                         NameOf);

} // namespace
