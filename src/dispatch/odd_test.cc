/*
 * Values at the limits of their types, in workers and jobs whose messages are
 * sound: other workers and jobs must not notice.
 */
#include <gtest/gtest.h>

#include <climits>
#include <random>

#include "base/histories_test.h"
#include "fleet_test.h"

namespace {

constexpr uint32_t kHistories = 60;
constexpr size_t kWorkers = 10;
constexpr uint64_t kOddJobs = 12;
constexpr uint64_t kSoundJob = 100; /* and those after it */
constexpr uint64_t kSoundJobs = 8;
constexpr int64_t kSettleMs = 60000;

class OddSteps {
  public:
    explicit OddSteps(uint32_t seed) : rng_(seed)
    {
    }

    uint32_t
    Number()
    {
        static const uint32_t kNumbers[] = {
            0, 1, 1000, 4000, INT_MAX / 2, INT_MAX - 1, INT_MAX, UINT32_MAX};

        return kNumbers[rng_() % (sizeof kNumbers / sizeof *kNumbers)];
    }

    Jr__JobStep
    Next()
    {
        Jr__JobStep step = MakeStep(1 + rng_() % 4, Number());

        step.memory_mb = rng_() % 2 == 0 ? 0 : Number();
        step.accelerators = rng_() % 4 != 0 ? 0 : Number();
        step.estimate_ms = Number();
        step.per_worker = rng_() % 2 == 0 ? 0 : Number();
        step.may_miss = Number();
        step.service = rng_() % 3 == 0;
        step.tail_target_ms = step.service ? Number() : 0;
        step.filler = !step.service && rng_() % 3 == 0;
        step.gang = rng_() % 4 == 0;
        return step;
    }

  private:
    std::mt19937 rng_;
};

/* Two workers say that they have any capacity, or none, and one is silent. */
void
MakeWorkersOdd(Fleet *fleet)
{
    fleet->SetCapacity(0, INT_MAX);
    fleet->SetCapacity(1, 0);
    fleet->SetPartitioned(2, true);
    fleet->CheckIn(0);
    fleet->CheckIn(1);
    fleet->reported_gauge = UINT32_MAX;
}

std::vector<std::string>
PlayHistory(uint32_t seed)
{
    Fleet fleet(seed, kWorkers);
    OddSteps steps(seed);
    size_t n_starts = 0;

    fleet.Run(500);
    MakeWorkersOdd(&fleet);
    for (uint64_t id = 1; id <= kOddJobs; id++) {
        fleet.Submit(id, {steps.Next(), steps.Next()});
        fleet.Run(300);
        if (id == kOddJobs / 2) {
            fleet.ChangeLeader(true);
        }
    }
    for (uint64_t id = kSoundJob; id < kSoundJob + kSoundJobs; id++) {
        fleet.Submit(id, {MakeStep(4)});
    }
    fleet.Run(kSettleMs);
    for (uint64_t id = kSoundJob; id < kSoundJob + kSoundJobs; id++) {
        if (fleet.State(id) != JR_JOB_DONE) {
            fleet.violations.push_back("job " + std::to_string(id) +
                                       " is not done");
        }
    }
    for (size_t i = 3; i < kWorkers; i++) {
        n_starts += fleet.StartsOn(i);
    }
    if (n_starts == 0) {
        fleet.violations.push_back("no sound worker was given a task");
    }
    return fleet.violations;
}

/*
 * Guards against sums that overflow, and against one worker that takes all
 * work as it says that it has any capacity.
 */
TEST(OddTest, NumbersAtTheirLimitsLeaveOtherWorkAlone)
{
    for (const auto &[seed, violations] :
         RunHistories(kHistories, PlayHistory)) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0];
    }
}

} // namespace
