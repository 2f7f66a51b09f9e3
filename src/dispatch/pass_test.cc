/* What a scheduling pass may cost the leader, by the workers it examines. */
#include <gtest/gtest.h>

#include "fleet_test.h"

namespace {

constexpr size_t kWorkers = 300;
constexpr uint64_t kService = 1;
constexpr uint64_t kFirst = 2;

/* Services on all workers, which lack headroom beside best-effort tasks. */
class PassTest : public testing::Test {
  protected:
    PassTest() : fleet(1, kWorkers)
    {
        fleet.task_ms = 60000;
        fleet.long_running_job = kService;
        fleet.reported_percent = 100;
        fleet.reported_gauge = 90;
    }

    void
    FillWithServices(uint32_t cpu)
    {
        Jr__JobStep service = MakeStep(kWorkers, cpu);

        service.service = 1;
        service.tail_target_ms = 45;
        service.image = const_cast<char *>("service");
        fleet.Submit(kService, {service});
        fleet.Run(12000);
        ASSERT_EQ(fleet.Running(kService), kWorkers);
    }

    /* Jobs of best-effort tasks, each of its own image. */
    void
    SubmitBestEffort(uint64_t n)
    {
        for (uint64_t i = 0; i < n; i++) {
            Jr__JobStep step = MakeStep(4, 3000);
            std::string image = "image-" + std::to_string(i);

            step.filler = 1;
            step.image = image.data();
            step.estimate_ms = 2000;
            fleet.Submit(kFirst + i, {step});
        }
    }

    uint64_t
    ExaminedIn(int64_t ms)
    {
        uint64_t before = fleet.Counter(JR_C_WORKERS_EXAMINED);

        fleet.Run(ms);
        return fleet.Counter(JR_C_WORKERS_EXAMINED) - before;
    }

    Fleet fleet;
};

/*
 * The leader of many workers had no time for anything but passes: best-effort
 * tasks of many images found no place, each after a look at all workers, in
 * each pass.
 */
TEST_F(PassTest, WaitingBestEffortTasksLeaveTheLeaderHalfOfItsTime)
{
    constexpr uint64_t kImages = 200;
    constexpr int64_t kSpanMs = 10000; /* more than three leases */

    FillWithServices(3000);
    SubmitBestEffort(kImages);
    fleet.examined_per_ms = 1000;
    fleet.Run(kSpanMs);
    EXPECT_LE(fleet.examining_ms, kSpanMs / 2);
    EXPECT_EQ(fleet.Counter(JR_C_EXPIRIES), 0u);
    EXPECT_EQ(fleet.Running(kService), kWorkers);
    /* A short task still starts soon. */
    fleet.Submit(kFirst + kImages, {MakeStep(1, 500)});
    fleet.Run(500);
    EXPECT_EQ(fleet.Running(kFirst + kImages), 1u);
}

/* Guards against a look at all workers for each task where all are alike. */
TEST_F(PassTest, ATaskExaminesOnlyWorkersThatMayBeTheBest)
{
    constexpr uint64_t kJobs = 100;
    uint64_t examined;

    fleet.Run(2000);
    for (uint64_t i = 0; i < kJobs; i++) {
        fleet.Submit(kFirst + i, {MakeStep(1, 1000)});
    }
    examined = ExaminedIn(1000);
    for (uint64_t i = 0; i < kJobs; i++) {
        EXPECT_EQ(fleet.Running(kFirst + i), 1u);
    }
    EXPECT_LE(examined, kJobs * kWorkers / 10);
}

/* The same for services, which are chosen for one by one. */
TEST_F(PassTest, AServiceExaminesOnlyWorkersThatMayBeTheBest)
{
    uint64_t before = fleet.Counter(JR_C_WORKERS_EXAMINED);

    FillWithServices(3000);
    EXPECT_LE(fleet.Counter(JR_C_WORKERS_EXAMINED) - before,
              kWorkers * kWorkers / 10);
}

/*
 * Guards against a leader without time for short jobs: best-effort tasks of
 * many sizes looked at all workers anew in each pass, though no load there
 * had changed since services had too little headroom for them.
 */
TEST_F(PassTest, ARefusedBestEffortTaskLooksAgainOnceLoadsAreKnownAnew)
{
    constexpr uint64_t kSizes = 60;
    constexpr int64_t kSpanMs = 2000;
    constexpr int64_t kLoadsMs = 150; /* mean age of loads, at least */

    fleet.reported_gauge = 36; /* below the target, but not by enough */
    FillWithServices(3000);
    for (uint64_t i = 0; i < kSizes; i++) {
        Jr__JobStep step = MakeStep(1, 2900 - 10 * (uint32_t)i);

        step.filler = 1;
        step.image = const_cast<char *>("image");
        step.estimate_ms = 2000;
        fleet.Submit(kFirst + i, {step});
    }
    EXPECT_LE(ExaminedIn(kSpanMs), kSpanMs / kLoadsMs * kSizes * kWorkers);
    for (uint64_t i = 0; i < kSizes; i++) {
        EXPECT_EQ(fleet.Running(kFirst + i), 0u);
    }
}

/* A fleet with services and nothing else, by its size. */
class QuietTest : public testing::TestWithParam<size_t> {
  protected:
    QuietTest() : fleet(1, GetParam())
    {
        uint32_t n = static_cast<uint32_t>(GetParam());
        Jr__JobStep service = MakeStep(4 * n, 900);

        service.service = 1;
        fleet.long_running_job = kService;
        fleet.reported_percent = 100;
        fleet.Submit(kService, {service});
        fleet.Run(12000);
    }

    uint64_t
    CountIn(jr_counter_t counter, int64_t ms)
    {
        uint64_t before = fleet.Counter(counter);

        fleet.Run(ms);
        return fleet.Counter(counter) - before;
    }

    Fleet fleet;
};

/*
 * Guards against a leader without time for urgent tasks: each pass looked at
 * all runs of all workers, whatever had happened.
 */
TEST_P(QuietTest, PassesLookAtNoRunsWhereNoneIsEnding)
{
    ASSERT_EQ(fleet.Running(kService), 4 * GetParam());
    EXPECT_EQ(CountIn(JR_C_RUNS_LOOKED_AT, 2000), 0u);
}

/* The same in each turn, for orders that are due: at all workers. */
TEST_P(QuietTest, WorkersAreLookedAtForOrdersWhenSomethingHappened)
{
    constexpr int64_t kSpanMs = 2000;
    uint64_t renewals = fleet.Counter(JR_C_RENEWALS_SENT);
    uint64_t looks = CountIn(JR_C_WORKERS_LOOKED_AT, kSpanMs);

    renewals = fleet.Counter(JR_C_RENEWALS_SENT) - renewals;
    EXPECT_GT(renewals, GetParam());
    /* When one is due, after it was taken, and once its answer is there. */
    EXPECT_LE(looks, 3 * renewals + GetParam());
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuietTest, testing::Values(50u, 100u, 200u));

} // namespace
