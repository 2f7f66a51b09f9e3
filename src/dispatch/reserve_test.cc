/*
 * How soon services that gave way, or lost their worker, run again while short
 * tasks ask for more than there is. JR_SEED=n replays one history,
 * JR_HISTORIES=n sets the number of histories.
 */
#include <gtest/gtest.h>

#include "base/histories_test.h"
#include "load_test.h"

namespace {

enum { DEFAULT_HISTORIES = 60 };

} // namespace

/*
 * Guards against services that gave way and stay away for as long as short
 * tasks ask for more than their share.
 */
TEST(ReserveTest, ServicesThatGaveWayAreBackInTimeWhateverShortTasksAskFor)
{
    Load load;

    load.StartServices(15);
    load.short_tasks = 6;
    load.Run(40000);
    EXPECT_GE(load.fleet.Counter(JR_C_PREEMPTIONS), 3u);
    EXPECT_LE(load.longest_away_ms, kNothingLostMs);
    EXPECT_TRUE(load.fleet.violations.empty());
}

/* Guards against the same while the leader changes: the wait is in the log. */
TEST(ReserveTest, ServicesThatGaveWayAreBackInTimeWhenTheLeaderChanges)
{
    Load load;

    load.StartServices(15);
    load.short_tasks = 6;
    for (int i = 0; i < 10; i++) {
        load.Run(3500);
        load.ChangeLeader();
    }
    EXPECT_GE(load.fleet.Counter(JR_C_PREEMPTIONS), 3u);
    EXPECT_LE(load.longest_away_ms, kNothingLostMs);
    EXPECT_TRUE(load.fleet.violations.empty());
}

/*
 * Guards against services of a lost worker that find the capacity of the
 * others taken by short tasks, again and again.
 */
TEST(ReserveTest, ServicesOfALostWorkerAreBackInTimeWhateverShortTasksAskFor)
{
    Load load;

    load.StartServices(11);
    load.short_tasks = 6;
    load.Run(5000);
    load.LoseWorker();
    load.Run(20000);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
    EXPECT_TRUE(load.fleet.violations.empty());
}

/*
 * Guards against two tasks of a step that reserve one worker, on which only
 * one of them may run.
 */
TEST(ReserveTest, ServicesThatKeepApartAreBackInTime)
{
    Load load;

    load.StartServices(15, 4);
    load.short_tasks = 6;
    load.Run(40000);
    EXPECT_LE(load.longest_away_ms, kNothingLostMs);
    EXPECT_TRUE(load.fleet.violations.empty());
}

/*
 * Guards against short tasks that get nothing while services that lost their
 * worker ask for more than there is: of 12 processors, half of their share.
 */
TEST(ReserveTest, ShortTasksKeepAPartWhenServicesAskForMoreThanThereIs)
{
    constexpr int kSamples = 200;
    Load load;
    size_t sum = 0;

    load.StartServices(16);
    load.LoseWorker();
    load.short_tasks = 6;
    load.Run(12000);
    for (int i = 0; i < kSamples; i++) {
        load.Run(100);
        sum += load.ShortRunning();
    }
    EXPECT_GE(sum, kSamples * 12 / 8);
    EXPECT_TRUE(load.fleet.violations.empty());
}

/*
 * No service waits for longer than the bound while the workers that are up
 * have the capacity, short tasks aside.
 */
TEST(ReserveTest, NoServiceWaitsTooLongInAnyHistory)
{
    violations_t found = RunHistories(DEFAULT_HISTORIES, [](uint32_t seed) {
        std::mt19937 rng(seed * 7919 + 1);
        Load load(seed);
        /* They fit on three workers, and on four beside short tasks. */
        uint32_t services = 6 + rng() % 6;

        load.StartServices(services);
        for (int i = 0; i < 20; i++) {
            load.short_tasks = rng() % 10;
            load.fleet.task_ms = 200 + (int64_t)(rng() % kShortMs);
            /* Each new leader waits out the lease of a lost worker. */
            if ((i <= 10 || i >= 18) && rng() % 4 == 0) {
                load.ChangeLeader();
            }
            if (i == 10) {
                load.LoseWorker();
            }
            load.Run(1500);
        }
        if (load.longest_away_ms > kFailoverMs) {
            load.fleet.violations.push_back(
                "a service was away for " +
                std::to_string(load.longest_away_ms) + " ms");
        }
        return load.fleet.violations;
    });

    for (const auto &[seed, violations] : found) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0] << " and "
                      << violations.size() - 1 << " more";
    }
}
