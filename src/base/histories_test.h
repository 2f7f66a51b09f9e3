/*
 * Runs seeded histories of a simulation on all processors. JR_SEED=n replays
 * the history of one seed, JR_HISTORIES=n sets the number of histories.
 */
#ifndef JR_BASE_HISTORIES_TEST_H
#define JR_BASE_HISTORIES_TEST_H

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/* Violations by seed; only seeds that have any. */
typedef std::map<uint32_t, std::vector<std::string>> violations_t;

/* Returns the violations in the history of a seed; called by several threads
 * at a time. */
typedef std::function<std::vector<std::string>(uint32_t seed)> history_t;

inline uint32_t
EnvironmentNumber(const char *name, uint32_t default_value)
{
    const char *text = std::getenv(name);

    return text != nullptr ? static_cast<uint32_t>(std::atoi(text))
                           : default_value;
}

/* Runs the seeds from first to first + n - 1. */
inline violations_t
RunSeeds(uint32_t first, uint32_t n, const history_t &history)
{
    violations_t found;
    std::mutex mutex;
    std::atomic<uint32_t> next(first);
    std::vector<std::thread> threads;
    uint32_t n_threads =
        std::min(n, std::max(1u, std::thread::hardware_concurrency()));

    for (uint32_t t = 0; t < n_threads; t++) {
        threads.emplace_back([&] {
            for (uint32_t seed = next++; seed < first + n; seed = next++) {
                std::vector<std::string> violations = history(seed);
                std::lock_guard<std::mutex> lock(mutex);

                if (!violations.empty()) {
                    found[seed] = violations;
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return found;
}

/* Runs the histories that the environment asks for. */
inline violations_t
RunHistories(uint32_t default_histories, const history_t &history)
{
    uint32_t seed = EnvironmentNumber("JR_SEED", 0);

    return seed != 0
               ? RunSeeds(seed, 1, history)
               : RunSeeds(1,
                          EnvironmentNumber("JR_HISTORIES", default_histories),
                          history);
}

#endif
