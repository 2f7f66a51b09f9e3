/* Placement while some workers are slow, fail more than others, or are cold.
 */
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet_test.h"

static void
ExpectClean(const Fleet &fleet)
{
    for (const std::string &what : fleet.violations) {
        ADD_FAILURE() << what;
    }
}

static std::vector<size_t>
StartsOnEach(const Fleet &fleet)
{
    std::vector<size_t> starts;

    for (size_t i = 0; i < fleet.workers.size(); i++) {
        starts.push_back(fleet.StartsOn(i));
    }
    return starts;
}

/* A job of @count tasks each @every ms; the ids begin with @first. */
static void
SubmitEach(Fleet *fleet, uint64_t first, size_t n, uint32_t count,
           int64_t every)
{
    for (uint64_t i = 0; i < n; i++) {
        fleet->Submit(first + i, {MakeStep(count)});
        fleet->Run(every);
    }
}

/* Load: half of the workers has just restarted. */
TEST(WorkerQualityTest, UrgentTasksGoToWarmWorkersFirst)
{
    Fleet fleet(1, 4);

    fleet.MakeCold(0, 10000);
    fleet.MakeCold(1, 10000);
    fleet.Run(500);
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(300);
    EXPECT_EQ(fleet.StartsOn(0) + fleet.StartsOn(1), 0u);
    EXPECT_EQ(fleet.Running(1), 8u);
    fleet.Submit(2, {MakeStep(8)});
    fleet.Run(200);
    EXPECT_EQ(fleet.Running(2), 8u); /* cold capacity is not idle */
    EXPECT_EQ(fleet.Counter(JR_C_WORKERS_COLD), 2u);
    fleet.Run(8000);
    EXPECT_EQ(fleet.State(2), JR_JOB_DONE);
    ExpectClean(fleet);
}

/* A worker that was cold gets urgent tasks as any other. */
TEST(WorkerQualityTest, AWorkerIsWarmInTime)
{
    Fleet fleet(1, 2);
    size_t cold_starts;

    fleet.MakeCold(0, 3000);
    fleet.MakeCold(1, 3000);
    fleet.Run(4000);
    cold_starts = fleet.StartsOn(0) + fleet.StartsOn(1);
    EXPECT_EQ(cold_starts, 0u);
    SubmitEach(&fleet, 1, 10, 8, 1500);
    EXPECT_EQ(fleet.StartsOn(0), 40u);
    EXPECT_EQ(fleet.StartsOn(1), 40u);
    EXPECT_EQ(fleet.Counter(JR_C_WORKERS_SLOW), 0u);
    ExpectClean(fleet);
}

TEST(WorkerQualityTest, BestEffortTasksGoToColdWorkersFirst)
{
    for (size_t cold = 0; cold < 4; cold++) {
        Fleet fleet(1, 4);
        Jr__JobStep step = MakeStep(1);

        step.filler = 1;
        fleet.MakeCold(cold, 20000);
        fleet.Run(500);
        fleet.Submit(1, {step});
        fleet.Run(300);
        EXPECT_EQ(fleet.StartsOn(cold), 1u);
        ExpectClean(fleet);
    }
}

/*
 * Services run for minutes: they leave the warm workers to short tasks. Where
 * capacity is kept for short tasks they wait, cold or not.
 */
TEST(WorkerQualityTest, ServicesGoToColdWorkersFirst)
{
    for (uint32_t target_ms : {0u, 100u}) {
        size_t on_cold = 0;

        for (size_t cold = 0; cold < 4; cold++) {
            Fleet fleet(1, 4);
            Jr__JobStep step = MakeStep(1);

            step.service = 1;
            step.tail_target_ms = target_ms;
            fleet.long_running_job = 1;
            fleet.MakeCold(cold, 10000);
            fleet.Run(1500);
            fleet.Submit(1, {step});
            fleet.Run(2000);
            on_cold += fleet.StartsOn(cold);
            ExpectClean(fleet);
        }
        EXPECT_GE(on_cold, 3u) << target_ms; /* 1 when it does not matter */
    }
}

/* The log says when a worker is warm, so a new leader knows. */
TEST(WorkerQualityTest, ANewLeaderKeepsUrgentTasksOffColdWorkers)
{
    Fleet fleet(1, 4);

    fleet.MakeCold(0, 20000);
    fleet.MakeCold(1, 20000);
    fleet.Run(500);
    fleet.ChangeLeader(true);
    fleet.Run(4000);
    fleet.Submit(1, {MakeStep(8)});
    fleet.Run(300);
    EXPECT_EQ(fleet.StartsOn(0) + fleet.StartsOn(1), 0u);
    ExpectClean(fleet);
}

/* One half of the workers is in a zone that was drained and comes back cold.
 */
static void
ReturnColdZone(Fleet *fleet, size_t first)
{
    for (size_t i = first; i < first + 4; i++) {
        fleet->workers[i].zone = "b";
        fleet->CheckIn(i);
    }
    fleet->Run(200);
    fleet->DrainZone("b");
    fleet->Run(2000);
    fleet->DrainZone("b", false);
    for (size_t i = first; i < first + 4; i++) {
        fleet->MakeCold(i, 10000);
    }
    fleet->Run(300);
}

/*
 * Load: a zone comes back cold, while urgent tasks ask for three quarters of
 * all processors: the others are full first, and nothing waits.
 */
TEST(WorkerQualityTest, AColdZoneIsNeitherFloodedNorStarved)
{
    for (size_t first : {0, 4}) { /* one of them is preferred by rank */
        Fleet fleet(3, 8);
        size_t cold = 0, warm = 0;

        ReturnColdZone(&fleet, first);
        fleet.task_ms = 400;
        fleet.Submit(1, {MakeStep(24)});
        fleet.Run(300);
        for (size_t i = 0; i < 8; i++) {
            (i >= first && i < first + 4 ? cold : warm) += fleet.StartsOn(i);
        }
        EXPECT_EQ(warm, 16u);
        EXPECT_EQ(cold, 8u);
        ExpectClean(fleet);
    }
}

/* They take half of each cold worker, and do not fill one after another. */
TEST(WorkerQualityTest, BestEffortTasksSpreadOverAColdZone)
{
    for (size_t first : {0, 4}) {
        Fleet fleet(3, 8);
        Jr__JobStep step = MakeStep(8);

        step.filler = 1;
        fleet.task_ms = 5000;
        ReturnColdZone(&fleet, first);
        fleet.Submit(1, {step});
        fleet.Run(1000);
        for (size_t i = first; i < first + 4; i++) {
            EXPECT_EQ(fleet.StartsOn(i), 2u);
        }
        ExpectClean(fleet);
    }
}

/* The worker that gets most tasks while all are sound. */
static size_t
PreferredWorker(uint32_t seed)
{
    Fleet fleet(seed, 10);
    std::vector<size_t> starts;

    SubmitEach(&fleet, 1, 10, 20, 1000);
    starts = StartsOnEach(fleet);
    return static_cast<size_t>(std::max_element(starts.begin(), starts.end()) -
                               starts.begin());
}

/* Load: one worker of ten takes four times as long; half of all is used. */
TEST(WorkerQualityTest, ASlowWorkerGetsFewUrgentTasks)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Fleet fleet(seed, 10);
        size_t slow = PreferredWorker(seed);
        size_t before;

        fleet.workers[slow].run_permille = 4000;
        SubmitEach(&fleet, 1, 20, 20, 1000);
        EXPECT_EQ(fleet.Counter(JR_C_WORKERS_SLOW), 1u);
        before = fleet.StartsOn(slow);
        SubmitEach(&fleet, 100, 30, 20, 1000);
        EXPECT_LE(fleet.StartsOn(slow) - before, 600u / 40) << seed;
        ExpectClean(fleet);
    }
}

/* Load: one worker of ten fails half of its runs. */
TEST(WorkerQualityTest, AGreyWorkerGetsFewTasks)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        Fleet fleet(seed, 10);
        size_t grey = PreferredWorker(seed);
        size_t before;

        fleet.workers[grey].fails = 50;
        SubmitEach(&fleet, 1, 20, 20, 1000);
        before = fleet.StartsOn(grey);
        SubmitEach(&fleet, 100, 30, 20, 1000);
        EXPECT_LE(fleet.StartsOn(grey) - before, 600u / 30) << seed;
        ExpectClean(fleet);
    }
}

/* Load: one worker refuses half of its starts, as unhealthy. */
TEST(WorkerQualityTest, AWorkerThatRefusesStartsIsFound)
{
    Fleet fleet(1, 10);

    fleet.workers[4].refuses = 70;
    SubmitEach(&fleet, 1, 30, 40, 1000);
    EXPECT_GE(fleet.Counter(JR_C_WORKERS_FAILING), 1u);
    EXPECT_EQ(fleet.Counter(JR_C_QUARANTINES), 0u);
    ExpectClean(fleet);
}

/* Load: tasks that fail by themselves, one in ten, on all workers alike. */
TEST(WorkerQualityTest, FailuresOfTasksSetFewWorkersBack)
{
    Fleet fleet(2, 10, {.task_fails = 10});

    SubmitEach(&fleet, 1, 60, 24, 1000);
    EXPECT_LE(fleet.Counter(JR_C_WORKERS_FAILING), 2u);
    EXPECT_EQ(fleet.Counter(JR_C_WORKERS_SLOW), 0u);
    ExpectClean(fleet);
}

/* Tasks make little progress on a cold worker, but are not stalled there. */
TEST(WorkerQualityTest, AColdWorkerIsNotQuarantinedForBeingCold)
{
    for (bool hides_cold : {false, true}) {
        Fleet fleet(1, 1);

        fleet.task_ms = 150000;
        fleet.workers[0].hides_cold = hides_cold;
        fleet.MakeCold(0, 500000);
        fleet.Run(300);
        fleet.Submit(1, {MakeStep(2)});
        fleet.Run(30000);
        EXPECT_EQ(fleet.Counter(JR_C_QUARANTINES) > 0, hides_cold);
        EXPECT_EQ(fleet.Counter(JR_C_RUNS_STALLED) > 0, hides_cold);
        ExpectClean(fleet);
    }
}

/* Bad input: progress over 100, and a size that changes in each check-in. */
TEST(WorkerQualityTest, OddListsSetNoWorkerBack)
{
    Fleet fleet(1, 4);

    for (uint32_t i = 0; i < 40; i++) {
        fleet.reported_percent = i % 2 == 0 ? 4000000000u : 1 + i;
        fleet.SetCapacity(0, 4000 + 1000 * (i % 2));
        fleet.CheckIn(0);
        fleet.Submit(i + 1, {MakeStep(6)});
        fleet.Run(400);
    }
    fleet.reported_percent = 0;
    fleet.Run(5000);
    EXPECT_EQ(fleet.Counter(JR_C_WORKERS_SLOW), 0u);
    EXPECT_EQ(fleet.Counter(JR_C_WORKERS_FAILING), 0u);
    ExpectClean(fleet);
}
