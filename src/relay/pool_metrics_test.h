/* Options and metrics of a simulated pool of executors. */
#ifndef JR_RELAY_POOL_METRICS_TEST_H
#define JR_RELAY_POOL_METRICS_TEST_H

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/relay.h"
}

namespace pool {

struct Options {
    int zones = 3;
    int entries_per_zone = 3;
    int executors = 50;
    int slots = 8;
    double service_us = 40000;            /* mean service time */
    int64_t cross_zone_latency_us = 4000; /* one way */
    int64_t deadline_us = 250000;
    double idempotent = 0.5;
    bool ignore_shares = false;      /* fault: each entry uses all slots */
    bool report_all_not_run = false; /* fault: any failure is "not run" */
    bool misdeliver_late_answers = false; /* fault: to another call */
    bool ignore_leaving = false;          /* fault: leaving is not noticed */
    int partitioned_entry = -1; /* gets no announcement that one leaves */
    jr_route_policy_t route = {};
    jr_admit_kind_t admit = JR_ADMIT_DEADLINE;
    jr_retry_kind_t retry = JR_RETRY_BUDGET;
};

enum class Fault { kNone, kFastFail, kSlow, kDead };

struct Metrics {
    std::vector<double> latency_us; /* of answered calls */
    std::vector<double> refusal_us; /* from arrival to refusal */
    long calls = 0, answered = 0, in_target = 0, unknown = 0, failed = 0;
    long refused = 0, attempts = 0, forwards = 0, over_slots = 0;
    long wrong_not_run = 0, duplicate_runs = 0, duplicate_outcomes = 0;
    long misdelivered = 0, after_leaving = 0;
    std::map<std::string, long> reasons;

    double
    Percentile(double p)
    {
        if (latency_us.empty()) {
            return 0;
        }
        size_t k = (size_t)(p * (double)(latency_us.size() - 1));

        std::nth_element(latency_us.begin(), latency_us.begin() + (long)k,
                         latency_us.end());
        return latency_us[k];
    }
};

} // namespace pool

#endif
