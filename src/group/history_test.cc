/*
 * Simulated histories of the quorum, lease and ledger cores together, in
 * virtual time, with faults from a seeded generator. JR_HISTORIES sets their
 * number; JR_SEED runs the single history of that seed.
 */
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "driver_test.h"

using driver::Simulation;
using driver::Variant;

static const int kHistories = 10000;
static const int kZoneHistories = 2000;
static const int64_t kFaultMs = 6000;
static const int64_t kRecoveryMs = 20000;

static int
EnvNumber(const char *name, int default_value)
{
    const char *text = getenv(name);

    return text != nullptr ? atoi(text) : default_value;
}

struct Outcome {
    int violations = 0;
    long faults = 0;
    uint32_t first_seed = 0;
    std::string first;
};

static Outcome
RunHistories(int n, uint32_t first_seed, Variant variant, bool stop_at_first)
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
                Simulation simulation(seed, variant);

                simulation.Run(kFaultMs, kRecoveryMs);
                std::lock_guard<std::mutex> guard(lock);
                outcome.faults += simulation.faults;
                if (simulation.violation.empty()) {
                    continue;
                }
                if (getenv("JR_VERBOSE") != nullptr) {
                    printf("seed %u %s\n", seed, simulation.violation.c_str());
                }
                if (outcome.violations++ == 0 || seed < outcome.first_seed) {
                    outcome.first_seed = seed;
                    outcome.first = simulation.violation;
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
    int single_seed = EnvNumber("JR_SEED", 0);
    int n = single_seed > 0 ? 1 : EnvNumber("JR_HISTORIES", kHistories);
    Outcome outcome = RunHistories(
        n, single_seed > 0 ? (uint32_t)single_seed : 1, Variant{}, false);

    printf("%d histories, %ld faults\n", n, outcome.faults);
    EXPECT_EQ(outcome.violations, 0)
        << "replay with JR_SEED=" << outcome.first_seed << ": "
        << outcome.first;
}

static Variant
DrainingZones()
{
    Variant variant;

    variant.drains_zones = true;
    return variant;
}

/*
 * Drains of zones in a job group: power loss of all nodes, lost disks, changes
 * of leader, and copies of requests that are seconds late.
 */
TEST(History, AcknowledgedDrainsStayInForce)
{
    int single_seed = EnvNumber("JR_SEED", 0);
    int n = single_seed > 0 ? 1 : EnvNumber("JR_HISTORIES", kZoneHistories);
    Outcome outcome =
        RunHistories(n, single_seed > 0 ? (uint32_t)single_seed : 1,
                     DrainingZones(), false);

    printf("%d histories, %ld faults\n", n, outcome.faults);
    EXPECT_EQ(outcome.violations, 0)
        << "replay with JR_SEED=" << outcome.first_seed << ": "
        << outcome.first;
}

/* Regression test: each of these seeds once revealed a fault. */
TEST(History, HoldsForSeedsThatFoundFaults)
{
    static const uint32_t seeds[] = {
        /* Installing a leader's snapshot dropped acknowledged entries. */
        2786, 3386, 6620, 9513, 11221, 64153, 80323, 84804,
    };

    for (uint32_t seed : seeds) {
        Simulation simulation(seed, Variant{});

        simulation.Run(kFaultMs, kRecoveryMs);
        EXPECT_EQ(simulation.violation, "") << "seed " << seed;
    }
}

/* With a mechanism disabled, the checks must report a violation. */
static void
ExpectViolation(Variant variant, const char *expected)
{
    Outcome outcome = RunHistories(2000, 1, variant, true);

    EXPECT_GT(outcome.violations, 0);
    printf("seed %u: %s\n", outcome.first_seed, outcome.first.c_str());
    EXPECT_NE(outcome.first.find(expected), std::string::npos)
        << outcome.first;
}

TEST(History, IsRedWhenWorkersIgnoreTheirLeases)
{
    Variant variant;

    variant.workers_ignore_leases = true;
    ExpectViolation(variant, "runs on");
}

TEST(History, IsRedWhenTheLeaderWaitsTooShort)
{
    Variant variant;

    variant.leader_waits_too_short = true;
    ExpectViolation(variant, "runs on");
}

TEST(History, IsRedWhenALostDiskKeepsItsId)
{
    Variant variant;

    variant.lost_disk_keeps_its_id = true;
    ExpectViolation(variant, "");
}

TEST(History, IsRedWhenSyncsDoNothing)
{
    Variant variant;

    variant.syncs_do_nothing = true;
    ExpectViolation(variant, "");
}

TEST(History, IsRedWhenClientsChangeTheirKeys)
{
    Variant variant;

    variant.clients_change_keys = true;
    ExpectViolation(variant, "");
}

TEST(History, IsRedWhenLateCopiesOfDrainsSeemNew)
{
    Variant variant = DrainingZones();

    variant.copies_seem_new = true;
    ExpectViolation(variant, "is not in force");
}

TEST(History, IsRedForDrainsWhenSyncsDoNothing)
{
    Variant variant = DrainingZones();

    variant.syncs_do_nothing = true;
    ExpectViolation(variant, "");
}
