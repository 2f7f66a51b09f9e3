/*
 * Histories of the quorum, lease and ledger cores together, in virtual
 * time, under seeded faults. JR_HISTORIES sets how many, JR_SEED runs one.
 */
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "driver_test.h"

using driver::Variant;
using driver::World;

static const int kHistories = 10000;
static const int64_t kFaultMs = 6000;
static const int64_t kHealMs = 20000;

static int
NumberFrom(const char *name, int standard)
{
    const char *text = getenv(name);

    return text != nullptr ? atoi(text) : standard;
}

struct Outcome {
    int violations = 0;
    long faults = 0;
    uint32_t first_seed = 0;
    std::string first;
};

static Outcome
RunMany(int n, uint32_t first_seed, Variant variant, bool stop_at_first)
{
    Outcome outcome;
    std::mutex lock;
    std::atomic<int> next{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    unsigned cores = std::max(1u, std::thread::hardware_concurrency());

    for (unsigned t = 0; t < cores; t++) {
        threads.emplace_back([&] {
            int i;

            while ((i = next++) < n && !stop) {
                uint32_t seed = first_seed + (uint32_t)i;
                World world(seed, variant);

                world.Run(kFaultMs, kHealMs);
                std::lock_guard<std::mutex> guard(lock);
                outcome.faults += world.faults;
                if (world.violation.empty()) {
                    continue;
                }
                if (getenv("JR_VERBOSE") != nullptr) {
                    printf("seed %u %s\n", seed, world.violation.c_str());
                }
                if (outcome.violations++ == 0 || seed < outcome.first_seed) {
                    outcome.first_seed = seed;
                    outcome.first = world.violation;
                }
                stop = stop_at_first;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return outcome;
}

TEST(History, HoldsEveryInvariantUnderFaults)
{
    int one = NumberFrom("JR_SEED", 0);
    int n = one > 0 ? 1 : NumberFrom("JR_HISTORIES", kHistories);
    Outcome outcome =
        RunMany(n, one > 0 ? (uint32_t)one : 1, Variant{}, false);

    printf("%d histories, %ld faults\n", n, outcome.faults);
    EXPECT_EQ(outcome.violations, 0)
        << "replay with JR_SEED=" << outcome.first_seed << ": "
        << outcome.first;
}

/* Each of these seeds found a fault once. */
TEST(History, HoldsForSeedsThatFoundFaults)
{
    static const uint32_t seeds[] = {
        /* A snapshot from the leader dropped acknowledged entries. */
        2786, 3386, 6620, 9513, 11221, 64153, 80323, 84804,
    };

    for (uint32_t seed : seeds) {
        World world(seed, Variant{});

        world.Run(kFaultMs, kHealMs);
        EXPECT_EQ(world.violation, "") << "seed " << seed;
    }
}

/* With a mechanism switched off the checks must go red. */
static void
ExpectRed(Variant variant, const char *expected)
{
    Outcome outcome = RunMany(2000, 1, variant, true);

    EXPECT_GT(outcome.violations, 0);
    printf("seed %u: %s\n", outcome.first_seed, outcome.first.c_str());
    EXPECT_NE(outcome.first.find(expected), std::string::npos)
        << outcome.first;
}

TEST(History, IsRedWhenWorkersIgnoreTheirLeases)
{
    Variant variant;

    variant.workers_ignore_leases = true;
    ExpectRed(variant, "runs on");
}

TEST(History, IsRedWhenTheLeaderWaitsTooShort)
{
    Variant variant;

    variant.leader_waits_too_short = true;
    ExpectRed(variant, "runs on");
}

TEST(History, IsRedWhenALostDiskKeepsItsId)
{
    Variant variant;

    variant.lost_disk_keeps_its_id = true;
    ExpectRed(variant, "");
}

TEST(History, IsRedWhenSyncsDoNothing)
{
    Variant variant;

    variant.syncs_do_nothing = true;
    ExpectRed(variant, "");
}

TEST(History, IsRedWhenClientsChangeTheirKeys)
{
    Variant variant;

    variant.clients_change_keys = true;
    ExpectRed(variant, "");
}
