/*
 * Compares policies of the relay under load and faults. Each policy gets the
 * same arrivals in a simulation that runs the production code in virtual
 * time. Prints tables and writes them as JSON lines.
 *
 * scenarios [SEEDS [JSON-FILE]]
 */
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "relay/pool_test.h"

using pool::Fault;
using pool::Metrics;
using pool::Options;
using pool::Pool;

namespace {

struct Site {
    const char *name;
    int executors;
    int64_t cross_zone_latency_us;
    int64_t deadline_us;
};

const Site kSites[] = {
    {"liimaneuvo", 50, 4000, 250000},
    {"bergstijl", 65, 5000, 400000},
};

struct Policy {
    const char *name;
    jr_route_kind_t route;
    jr_admit_kind_t admit;
    jr_retry_kind_t retry;
};

const Policy kPolicies[] = {
    {"jayrelay", JR_ROUTE_SCORED, JR_ADMIT_DEADLINE, JR_RETRY_BUDGET},
    {"least-in-flight", JR_ROUTE_LEAST_IN_FLIGHT, JR_ADMIT_DEADLINE,
     JR_RETRY_BUDGET},
    {"round-robin", JR_ROUTE_ROUND_ROBIN, JR_ADMIT_FIFO, JR_RETRY_UNLIMITED},
    {"random", JR_ROUTE_RANDOM, JR_ADMIT_FIFO, JR_RETRY_UNLIMITED},
};

struct Scenario {
    const char *name;
    double load;         /* share of capacity */
    bool below_capacity; /* p99 must meet the deadline */
    void (*run)(Pool &p, double rate);
};

void
Steady(Pool &p, double rate)
{
    p.Run(4, rate);
}

void
FastFailer(Pool &p, double rate)
{
    p.SetFault(0, Fault::kFastFail);
    p.Run(4, rate);
}

void
SlowUpstream(Pool &p, double rate)
{
    p.SetFault(1, Fault::kSlow);
    p.Run(4, rate);
}

void
PartitionedZone(Pool &p, double rate)
{
    p.PartitionZone(0, true);
    p.Run(2, rate);
    p.PartitionZone(0, false);
    p.Run(2, rate);
}

void
LossyCrossZoneLink(Pool &p, double rate)
{
    p.SetCrossZoneLink(0.05, 20000);
    p.Run(4, rate);
}

void
EntryLost(Pool &p, double rate)
{
    p.KillEntry(4);
    p.Run(4, rate);
}

void
RackLost(Pool &p, double rate)
{
    for (int x = 0; x < 8; x++) {
        p.SetFault(3 * x, Fault::kDead);
    }
    p.Run(4, rate);
}

const Scenario kScenarios[] = {
    {"steady 50 %", 0.5, true, Steady},
    {"steady 80 %", 0.8, true, Steady},
    {"steady 95 %", 0.95, true, Steady},
    {"surge to 150 %", 1.5, false, Steady},
    {"fast failer, 50 %", 0.5, true, FastFailer},
    {"slow upstream, 50 %", 0.5, true, SlowUpstream},
    {"zone cut and joined, 60 %", 0.6, true, PartitionedZone},
    {"lossy crossing, 80 %", 0.8, true, LossyCrossZoneLink},
    {"entry host lost, 60 %", 0.6, true, EntryLost},
    {"rack lost, 60 %", 0.6, true, RackLost},
};

/* Values of a metric over the seeds: median, minimum and maximum. */
struct Spread {
    std::vector<double> values;

    double
    Min()
    {
        return *std::min_element(values.begin(), values.end());
    }

    double
    Max()
    {
        return *std::max_element(values.begin(), values.end());
    }

    double
    Median()
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }
};

struct Result {
    Spread p50, p99, p999, goodput, amplification, forwards, refused;
    Spread refusal_p99;
    long wrong_not_run = 0, duplicate_runs = 0, failed = 0, unknown = 0;
};

double
Quantile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[(size_t)(q * (double)(values.size() - 1))];
}

Result
RunScenario(const Site &site, const Scenario &scenario, const Policy &policy,
            int seeds)
{
    Result result;

    for (int seed = 1; seed <= seeds; seed++) {
        Options options;

        options.executors = site.executors;
        options.cross_zone_latency_us = site.cross_zone_latency_us;
        options.deadline_us = site.deadline_us;
        options.route.kind = policy.route;
        options.admit = policy.admit;
        options.retry = policy.retry;
        Pool p((uint32_t)seed, options);
        double rate = scenario.load * p.Capacity();

        p.Run(1, 0.5 * p.Capacity());
        p.ResetMetrics();
        scenario.run(p, rate);
        p.Drain();
        Metrics &m = p.metrics;
        double calls = (double)m.calls;

        result.p50.values.push_back(m.Percentile(0.5) / 1000);
        result.p99.values.push_back(m.Percentile(0.99) / 1000);
        result.p999.values.push_back(m.Percentile(0.999) / 1000);
        result.goodput.values.push_back((double)m.in_target / 4.0 /
                                        p.Capacity());
        result.amplification.values.push_back((double)m.attempts / calls);
        result.forwards.values.push_back((double)m.forwards / calls);
        result.refused.values.push_back((double)m.refused / calls);
        result.refusal_p99.values.push_back(Quantile(m.refusal_us, 0.99) /
                                            1000);
        result.wrong_not_run += m.wrong_not_run;
        result.duplicate_runs += m.duplicate_runs;
        result.failed += m.failed;
        result.unknown += m.unknown;
    }
    return result;
}

int
CheckTargets(const Site &site, const Scenario &scenario, Result &result)
{
    int missed = 0;
    auto check = [&](const char *what, double value, double target, bool ok) {
        printf("  %-10s %-26s %-30s %10.2f %10.2f  %s\n", site.name,
               scenario.name, what, target, value, ok ? "met" : "NOT MET");
        missed += !ok;
    };

    check("wrong 'not run'", (double)result.wrong_not_run, 0,
          result.wrong_not_run == 0);
    check("not idempotent, run twice", (double)result.duplicate_runs, 0,
          result.duplicate_runs == 0);
    if (scenario.below_capacity) {
        double target = (double)site.deadline_us / 1000;

        check("p99 ms", result.p99.Median(), target,
              result.p99.Median() <= target);
    }
    else {
        check("goodput, share of capacity", result.goodput.Median(), 0.95,
              result.goodput.Median() >= 0.95);
        check("refused within ms (p99)", result.refusal_p99.Median(), 10,
              result.refusal_p99.Median() <= 10);
    }
    check("attempts for one call", result.amplification.Median(), 1.10,
          result.amplification.Median() <= 1.10);
    return missed;
}

/* A change whose recovery time is measured. */
struct Recovery {
    const char *name;
    void (*change)(Pool &p);
};

const Recovery kRecoveries[] = {
    {"surge to 150 % ended", [](Pool &p) { p.Run(2, 1.5 * p.Capacity()); }},
    {"an upstream fails all",
     [](Pool &p) { p.SetFault(0, Fault::kFastFail); }},
    {"an upstream is slow", [](Pool &p) { p.SetFault(1, Fault::kSlow); }},
    {"an entry host is lost", [](Pool &p) { p.KillEntry(4); }},
    {"a rack is lost",
     [](Pool &p) {
         for (int x = 0; x < 8; x++) {
             p.SetFault(3 * x, Fault::kDead);
         }
     }},
};

/* Milliseconds until two consecutive windows have no unanswered call. */
double
TimeToRecover(const Site &site, const Recovery &recovery, const Policy &policy,
              uint32_t seed)
{
    constexpr int kWindows = 100;
    constexpr double kWindowMs = 100;
    Options options;
    int good = 0;

    options.executors = site.executors;
    options.cross_zone_latency_us = site.cross_zone_latency_us;
    options.deadline_us = site.deadline_us;
    options.route.kind = policy.route;
    options.admit = policy.admit;
    options.retry = policy.retry;
    Pool p(seed, options);

    p.Run(2, 0.5 * p.Capacity());
    recovery.change(p);
    for (int w = 0; w < kWindows; w++) {
        p.ResetMetrics();
        p.Run(kWindowMs / 1000, 0.5 * p.Capacity());
        bool ok =
            p.metrics.refused + p.metrics.unknown + p.metrics.failed == 0;

        good = ok ? good + 1 : 0;
        if (good == 2) {
            return (w - 1) * kWindowMs;
        }
    }
    return kWindows * kWindowMs;
}

void
PrintRecoveries(int seeds, FILE *json)
{
    printf("\ntime to recover, ms (median of %d seeds)\n  %-10s %-26s", seeds,
           "site", "change");
    for (const Policy &policy : kPolicies) {
        printf(" %16s", policy.name);
    }
    printf("\n");
    for (const Site &site : kSites) {
        for (const Recovery &recovery : kRecoveries) {
            printf("  %-10s %-26s", site.name, recovery.name);
            for (const Policy &policy : kPolicies) {
                Spread times;

                for (int seed = 1; seed <= seeds; seed++) {
                    times.values.push_back(
                        TimeToRecover(site, recovery, policy, (uint32_t)seed));
                }
                printf(" %16.0f", times.Median());
                if (json != nullptr) {
                    fprintf(json,
                            "{\"site\":\"%s\",\"recovery\":\"%s\","
                            "\"policy\":\"%s\",\"ms\":%.0f}\n",
                            site.name, recovery.name, policy.name,
                            times.Median());
                }
            }
            printf("\n");
        }
    }
}

} // namespace

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 3;
    FILE *json = argc > 2 ? fopen(argv[2], "w") : nullptr;
    int missed = 0;

    printf("%-10s %-26s %-16s %7s %7s %13s %8s %8s %8s %8s %8s %8s %7s %7s\n",
           "site", "scenario", "policy", "p50 ms", "p99 ms", "p99 spread",
           "p99.9 ms", "goodput", "attempts", "forwards", "refused", "refusal",
           "failed", "unknown");
    for (const Site &site : kSites) {
        for (const Scenario &scenario : kScenarios) {
            for (const Policy &policy : kPolicies) {
                Result c = RunScenario(site, scenario, policy, seeds);

                printf("%-10s %-26s %-16s %7.1f %7.1f %6.1f-%-6.1f %8.1f "
                       "%8.3f %8.3f %8.3f "
                       "%8.3f %8.1f %7ld %7ld\n",
                       site.name, scenario.name, policy.name, c.p50.Median(),
                       c.p99.Median(), c.p99.Min(), c.p99.Max(),
                       c.p999.Median(), c.goodput.Median(),
                       c.amplification.Median(), c.forwards.Median(),
                       c.refused.Median(), c.refusal_p99.Median(), c.failed,
                       c.unknown);
                if (json != nullptr) {
                    fprintf(json,
                            "{\"site\":\"%s\",\"scenario\":\"%s\","
                            "\"policy\":\"%s\",\"p50_ms\":%.2f,\"p99_ms\":"
                            "%.2f,\"p999_ms\":%.2f,\"goodput\":%.4f,"
                            "\"attempts\":%.4f,\"refused\":%.4f,"
                            "\"refusal_p99_ms\":%.2f,\"wrong_not_run\":%ld,"
                            "\"failed\":%ld,\"unknown\":%ld}\n",
                            site.name, scenario.name, policy.name,
                            c.p50.Median(), c.p99.Median(), c.p999.Median(),
                            c.goodput.Median(), c.amplification.Median(),
                            c.refused.Median(), c.refusal_p99.Median(),
                            c.wrong_not_run, c.failed, c.unknown);
                }
            }
        }
    }
    printf("\ntargets of the first policy (median of %d seeds)\n", seeds);
    printf("  %-10s %-26s %-30s %10s %10s\n", "site", "scenario", "what",
           "target", "figure");
    for (const Site &site : kSites) {
        for (const Scenario &scenario : kScenarios) {
            Result c = RunScenario(site, scenario, kPolicies[0], seeds);

            missed += CheckTargets(site, scenario, c);
        }
    }
    PrintRecoveries(seeds, json);
    if (json != nullptr) {
        fclose(json);
    }
    printf("%d targets not met\n", missed);
    return missed > 0 ? 1 : 0;
}
