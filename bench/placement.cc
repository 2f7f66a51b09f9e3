/*
 * Simulation of placement and eviction in virtual time, with the production
 * coordinator and ledger and with lagged measurements. Compares the policy
 * with the baselines on the same arrivals.
 */
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/coord.h"
#include "ledger/convert.h"
}

namespace {

constexpr int64_t kStepMs = 500;
constexpr int64_t kLagMs = 10000;
constexpr int64_t kRunMs = 20000;

struct Scenario {
    const char *name;
    double load;       /* offered processors over all processors */
    double noisy;      /* share of tasks that use 4 times the declared */
    double impossible; /* share of tasks larger than any host */
    double cancelled;  /* share of tasks that are cancelled */
    int failing;       /* workers on which every task fails */
    int lost;          /* workers lost after 60 s */
    int64_t seconds;
    bool interference; /* tasks slow services down, by pair and load */
};

const Scenario kScenarios[] = {
    {"steady 80 %", 0.8, 0, 0, 0, 0, 0, 180, false},
    {"declared wrong by 4", 0.5, 0.3, 0, 0, 0, 0, 180, false},
    {"wave of cancellations", 0.8, 0, 0, 0.4, 0, 0, 180, false},
    {"jobs that can never run", 0.8, 0, 0.05, 0, 0, 0, 180, false},
    {"a worker that fails all", 0.6, 0, 0, 0, 1, 0, 180, false},
    {"rack lost", 0.6, 0, 0, 0, 0, 8, 180, false},
    {"paid rate at 200 %", 2.0, 0, 0, 0, 0, 0, 180, false},
    {"noisy beside services", 0.5, 0, 0, 0, 0, 0, 400, true},
};

struct Policy {
    const char *name;
    jr_place_kind_t place;
    jr_evict_kind_t evict;
    bool ignores_interference;
};

const Policy kPolicies[] = {
    {"jayrelay", JR_PLACE_SCORED, JR_EVICT_CHEAPEST, false},
    {"first-fit, newest", JR_PLACE_FIRST_FIT, JR_EVICT_NEWEST, true},
    {"without estimates", JR_PLACE_SCORED, JR_EVICT_CHEAPEST, true},
};

struct Result {
    long submitted = 0, finished = 0, failed = 0, over_host = 0;
    double lost_work_s = 0; /* processor seconds to repeat */
    double study_share = 0; /* share of the processors used by tasks */
    double study_rate = 0;  /* share of all processors, in steady state */
    long impossible_found = 0, impossible_made = 0;
    uint64_t evictions = 0, throttles = 0;
    std::vector<double> slowdowns; /* one sample per worker and step */

    double
    Slowdown(double p)
    {
        if (slowdowns.empty()) {
            return 1;
        }
        std::sort(slowdowns.begin(), slowdowns.end());
        return slowdowns[(size_t)(p * (double)(slowdowns.size() - 1))];
    }
};

class Site {
  public:
    Site(const Scenario &s, const Policy &p, int workers, int cores,
         const char *weights, uint32_t seed)
        : s_(s), cores_(cores), rng_(seed)
    {
        jr_coord_options_t o = {};

        ctx_ = jr_new_ctx("bench", nullptr);
        ledger_ = jr_new_ledger(ctx_, 1);
        o.n_groups = 1;
        o.seed = seed;
        o.max_grants = 256;
        o.lease = {6000, 10};
        o.policy.kind = p.place;
        o.policy.as.scored.candidates = 16;
        o.policy.as.scored.ignores_interference = p.ignores_interference;
        o.evict = p.evict;
        coord_ = jr_new_coord(ctx_, &o, ledger_);
        rules_ = jr_new_rules(
            ctx_,
            (std::string("version 1 # asked for by A\n"
                         "class study rate 60% priority 10 # asked for by A\n"
                         "class watch rate 20% priority 90 # asked for by "
                         "A\n") +
             weights)
                .c_str(),
            nullptr);
        jr_coord_set_rules(coord_, rules_);
        jr_coord_lead(coord_, now_);
        for (int w = 0; w < workers; w++) {
            workers_.push_back({"host-" + std::to_string(w) + "/1",
                                w < s.failing,
                                false,
                                {},
                                w % 2,
                                {}});
        }
    }

    ~Site()
    {
        jr_coord_resign(coord_);
        jr_drop_coord(coord_);
        jr_drop_ledger(ledger_);
        jr_drop_rules(rules_);
        jr_drop_ctx(ctx_);
    }

    Result
    Run()
    {
        double cores = (double)workers_.size() * cores_;
        double per_step = s_.load * cores * kStepMs / (double)kRunMs / 1.5;
        double due = 0, busy = 0, study = 0;
        double window_study = 0, window_all = 0;

        for (; now_ < s_.seconds * 1000; now_ += kStepMs) {
            if (now_ < s_.seconds * 1000 - 2 * kRunMs) {
                for (due += per_step; due >= 1; due -= 1) {
                    Submit();
                }
            }
            if (s_.lost > 0 && now_ == 60000) {
                for (int w = 0; w < s_.lost; w++) {
                    workers_[(size_t)w].is_lost = true;
                }
            }
            for (Worker &worker : workers_) {
                if (!worker.is_lost) {
                    Step(worker);
                    busy += DeclaredCpu(worker, "");
                    study += DeclaredCpu(worker, "study");
                    if (now_ > 40000 &&
                        now_ < s_.seconds * 1000 - 2 * kRunMs) {
                        window_study += DeclaredCpu(worker, "study");
                        window_all += cores_ * 1000.0;
                    }
                }
            }
            jr_coord_tick(coord_, now_);
            Apply();
        }
        result_.finished = (long)jr_ledger_count(ledger_, JR_TASK_FINISHED);
        result_.failed = (long)jr_ledger_count(ledger_, JR_TASK_FAILED);
        result_.impossible_found =
            (long)jr_ledger_count(ledger_, JR_TASK_IMPOSSIBLE);
        result_.evictions = ctx_->counters[JR_C_EVICTIONS];
        result_.throttles = ctx_->counters[JR_C_THROTTLES];
        result_.study_rate = window_all > 0 ? window_study / window_all : 0;
        result_.study_share = busy > 0 ? study / busy : 0;
        return result_;
    }

  private:
    struct Job {
        uint64_t epoch;
        Jr__WorkerTask__State state;
        int64_t done, saved, total, started;
        uint32_t declared, real;
        bool study;
        bool throttled;
    };
    struct Worker {
        std::string name;
        bool fails;
        bool is_lost;
        std::map<uint64_t, Job> jobs;
        int service;             /* index of its service, 0 or 1 */
        std::vector<double> lag; /* measured slowdowns, oldest first */
    };
    struct TaskModel {
        bool noisy;
        int64_t total;
        int64_t saved;
    };

    double
    Uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(rng_);
    }

    double
    DeclaredCpu(const Worker &worker, const std::string &cls)
    {
        double busy = 0;

        for (const auto &item : worker.jobs) {
            if (item.second.state == JR__WORKER_TASK__STATE__RUNNING &&
                (cls.empty() || item.second.study)) {
                busy += item.second.declared;
            }
        }
        return busy;
    }

    void
    ApplyOne(Jr__LedgerCommand *command)
    {
        size_t len;
        uint8_t *bytes = jr_command_pack(ctx_, command, now_, &len);
        jr_ledger_result_t result = jr_ledger_apply(ledger_, bytes, len);

        jr_coord_applied(coord_, &result);
        if (result.task != nullptr) {
            last_ = result.task->id;
        }
        jr_free(ctx_, bytes);
    }

    void
    Apply()
    {
        Jr__LedgerCommand *command;

        while (jr_coord_take_command(coord_, &command)) {
            ApplyOne(command);
        }
    }

    void
    Submit()
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        std::string key = "k" + std::to_string(result_.submitted++);
        char team[] = "t", study[] = "study", watch[] = "watch";
        bool impossible = Uniform() < s_.impossible;

        need.cpu_milli = impossible ? (uint32_t)cores_ * 2000
                                    : (uint32_t)(1000 + 1000 * Uniform());
        need.memory_mb = 1000;
        spec.key = key.data();
        spec.team = team;
        spec.class_name = result_.submitted % 2 ? study : watch;
        spec.need = &need;
        submit.spec = &spec;
        command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        ApplyOne(&command);
        result_.impossible_made += impossible;
        models_[last_] = {Uniform() < s_.noisy,
                          (int64_t)(kRunMs * (0.5 + Uniform())), 0};
        if (Uniform() < s_.cancelled) {
            Jr__LedgerCommand cancel_command = JR__LEDGER_COMMAND__INIT;
            Jr__Cancel cancel = JR__CANCEL__INIT;

            cancel.task = last_;
            cancel_command.body_case = JR__LEDGER_COMMAND__BODY_CANCEL;
            cancel_command.cancel = &cancel;
            ApplyOne(&cancel_command);
        }
    }

    void
    Advance(Worker &worker)
    {
        double used = 0;

        for (auto &item : worker.jobs) {
            used += item.second.state == JR__WORKER_TASK__STATE__RUNNING
                        ? item.second.real
                        : 0;
        }
        /* An overcommitted host slows all its tasks down. */
        double pace = std::min(1.0, cores_ * 1000 / std::max(used, 1.0));

        for (auto &item : worker.jobs) {
            Job &job = item.second;

            if (job.state != JR__WORKER_TASK__STATE__RUNNING) {
                continue;
            }
            job.done +=
                (int64_t)(pace * kStepMs * (job.throttled ? 0.5 : 1.0));
            if (job.done - job.saved >= 5000) {
                job.saved = job.done;
                models_[item.first].saved = job.saved;
            }
            if (worker.fails) {
                job.state = JR__WORKER_TASK__STATE__BROKEN;
            }
            else if (job.done >= job.total) {
                job.state = JR__WORKER_TASK__STATE__DONE;
            }
        }
    }

    /*
     * True slowdown: linear in the load, with a large slope for one class
     * and a small slope for the other, depending on the service.
     */
    double
    Slowdown(const Worker &worker)
    {
        double slowdown = 1;

        for (const auto &item : worker.jobs) {
            const Job &job = item.second;
            bool is_strong = job.study == (worker.service == 0);

            if (job.state == JR__WORKER_TASK__STATE__RUNNING) {
                slowdown += (is_strong ? 3.0 : 0.2) * job.real /
                            (cores_ * 1000.0) * (job.throttled ? 0.5 : 1.0);
            }
        }
        return slowdown;
    }

    void
    ApplyAssignment(Worker &worker, const Jr__Assignment &a)
    {
        auto found = worker.jobs.find(a.task);

        if (a.action == JR__ASSIGNMENT__ACTION__FORGET) {
            worker.jobs.erase(a.task);
        }
        else if (a.action == JR__ASSIGNMENT__ACTION__STOP) {
            if (found != worker.jobs.end() &&
                found->second.state == JR__WORKER_TASK__STATE__RUNNING) {
                result_.lost_work_s +=
                    (double)(found->second.done - found->second.saved) *
                    found->second.declared / 1e6;
            }
            worker.jobs[a.task].epoch = a.epoch;
            worker.jobs[a.task].state = JR__WORKER_TASK__STATE__STOPPED;
        }
        else if (found != worker.jobs.end()) {
            found->second.throttled =
                a.action == JR__ASSIGNMENT__ACTION__THROTTLE;
        }
        else if (a.spec != nullptr) {
            const TaskModel &model = models_[a.task];
            uint32_t declared = a.spec->need->cpu_milli;

            worker.jobs[a.task] = {a.epoch,
                                   JR__WORKER_TASK__STATE__RUNNING,
                                   model.saved,
                                   model.saved,
                                   model.total,
                                   now_,
                                   declared,
                                   model.noisy ? 4 * declared : declared,
                                   strcmp(a.spec->class_name, "study") == 0,
                                   false};
        }
    }

    void
    Step(Worker &worker)
    {
        Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
        Jr__Resources capacity = JR__RESOURCES__INIT;
        std::vector<Jr__WorkerTask> tasks(worker.jobs.size());
        std::vector<Jr__Resources> used(worker.jobs.size());
        std::vector<Jr__WorkerTask *> pointers;
        Jr__HeartbeatReply *reply;
        double declared = 0;

        Advance(worker);
        capacity.cpu_milli = (uint32_t)cores_ * 1000;
        capacity.memory_mb = 250000;
        for (auto &item : worker.jobs) {
            size_t i = pointers.size();
            bool seen = now_ - item.second.started >= kLagMs;

            jr__worker_task__init(&tasks[i]);
            jr__resources__init(&used[i]);
            tasks[i].task = item.first;
            tasks[i].epoch = item.second.epoch;
            tasks[i].state = item.second.state;
            used[i].cpu_milli = seen ? item.second.real : item.second.declared;
            tasks[i].used = &used[i];
            pointers.push_back(&tasks[i]);
            declared += item.second.state == JR__WORKER_TASK__STATE__RUNNING
                            ? item.second.declared
                            : 0;
        }
        result_.over_host += declared > cores_ * 1000;
        heartbeat.worker = worker.name.data();
        heartbeat.capacity = &capacity;
        heartbeat.n_tasks = pointers.size();
        heartbeat.tasks = pointers.data();
        Jr__ServiceSeen seen = JR__SERVICE_SEEN__INIT;
        Jr__ServiceSeen *all[] = {&seen};
        char name[] = "service-0";

        if (s_.interference) {
            double now = Slowdown(worker);

            /* Excludes the warm-up and the end, when no tasks arrive. */
            if (now_ > 100000 && now_ < s_.seconds * 1000 - 2 * kRunMs) {
                result_.slowdowns.push_back(now);
            }
            worker.lag.push_back(now);
            name[8] = (char)('0' + worker.service);
            seen.service = name;
            seen.slowdown_permille = (uint32_t)(1000 * worker.lag.front());
            if (worker.lag.size() > kLagMs / kStepMs) {
                worker.lag.erase(worker.lag.begin());
            }
            heartbeat.n_services_seen = 1;
            heartbeat.services_seen = all;
        }
        reply = jr_coord_heartbeat(coord_, &heartbeat, now_);
        for (size_t i = 0; i < reply->n_tasks; i++) {
            ApplyAssignment(worker, *reply->tasks[i]);
        }
        jr__heartbeat_reply__free_unpacked(reply, nullptr);
        Apply();
    }

    Scenario s_;
    int cores_;
    std::mt19937 rng_;
    jr_ctx_t *ctx_;
    jr_ledger_t *ledger_;
    jr_coord_t *coord_;
    jr_rules_t *rules_;
    int64_t now_ = 0;
    uint64_t last_ = 0;
    std::vector<Worker> workers_;
    std::map<uint64_t, TaskModel> models_;
    Result result_;
};

int missed = 0;

void
Check(const char *site, const char *scenario, const char *what, double target,
      double figure, bool ok)
{
    printf("  %-10s %-26s %-34s %10.2f %10.2f  %s\n", site, scenario, what,
           target, figure, ok ? "met" : "NOT MET");
    missed += !ok;
}

} // namespace

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int workers;
        int cores;
        const char *weights; /* weights of the site's example rules */
    } sites[] = {{"liimaneuvo", 50, 16,
                  "weight tail 8 # asked for by A\n"
                  "weight throughput 3 # asked for by A\n"
                  "weight evictions 3 # asked for by A\n"},
                 {"bergstijl", 65, 64,
                  "weight tail 3 # asked for by A\n"
                  "weight throughput 6 # asked for by A\n"
                  "weight evictions 8 # asked for by A\n"}};
    FILE *json = argc > 1 ? fopen(argv[1], "w") : nullptr;
    std::vector<std::vector<Result>> all;

    printf("%-10s %-26s %-18s %9s %9s %7s %9s %9s %10s %6s %8s %8s\n", "site",
           "scenario", "policy", "submitted", "finished", "failed",
           "evictions", "throttles", "lost cpu s", "study", "slow p50",
           "slow p99");
    for (const auto &site : sites) {
        for (const Scenario &scenario : kScenarios) {
            std::vector<Result> pair;

            for (const Policy &policy : kPolicies) {
                Site s(scenario, policy, site.workers, site.cores,
                       site.weights, 1);
                Result r = s.Run();

                pair.push_back(r);
                printf(
                    "%-10s %-26s %-18s %9ld %9ld %7ld %9lu %9lu %10.0f %6.2f "
                    "%8.2f %8.2f\n",
                    site.name, scenario.name, policy.name, r.submitted,
                    r.finished, r.failed, (unsigned long)r.evictions,
                    (unsigned long)r.throttles, r.lost_work_s, r.study_share,
                    r.Slowdown(0.5), r.Slowdown(0.99));
                if (json != nullptr) {
                    fprintf(json,
                            "{\"site\":\"%s\",\"scenario\":\"%s\","
                            "\"policy\":\"%s\",\"submitted\":%ld,"
                            "\"finished\":%ld,\"failed\":%ld,\"evictions\":"
                            "%lu,\"lost_cpu_s\":%.1f}\n",
                            site.name, scenario.name, policy.name, r.submitted,
                            r.finished, r.failed, (unsigned long)r.evictions,
                            r.lost_work_s);
                }
            }
            all.push_back(pair);
        }
    }
    printf("\ntargets of the first policy\n");
    size_t k = 0;

    for (const auto &site : sites) {
        for (const Scenario &scenario : kScenarios) {
            Result &r = all[k][0];
            const Result &base = all[k][1];
            Result &no_estimates = all[k++][2];

            Check(site.name, scenario.name, "hosts over their processors", 0,
                  (double)r.over_host, r.over_host == 0);
            if (scenario.load > 1) {
                /* The guaranteed share of the class of lower priority is 60 %.
                 */
                Check(site.name, scenario.name, "share of the paid-for rate",
                      0.95, r.study_rate / 0.6, r.study_rate >= 0.95 * 0.6);
            }
            if (scenario.failing > 0) {
                double share = (double)r.failed / (double)r.submitted;

                Check(site.name, scenario.name, "tasks lost to the worker",
                      0.01, share, share <= 0.01);
            }
            if (scenario.impossible > 0) {
                Check(site.name, scenario.name, "impossible tasks found",
                      (double)r.impossible_made, (double)r.impossible_found,
                      r.impossible_found == r.impossible_made);
            }
            if (scenario.interference) {
                double p99 = r.Slowdown(0.99);

                Check(site.name, scenario.name,
                      "slowdown p99 vs. no estimates",
                      no_estimates.Slowdown(0.99), p99,
                      p99 <= no_estimates.Slowdown(0.99));
                Check(site.name, scenario.name, "evictions vs. no estimates",
                      0.5 * (double)no_estimates.evictions,
                      (double)r.evictions,
                      2 * r.evictions <= no_estimates.evictions);
                Check(site.name, scenario.name, "finished vs. no estimates",
                      0.95 * (double)no_estimates.finished, (double)r.finished,
                      (double)r.finished >=
                          0.95 * (double)no_estimates.finished);
            }
            if (scenario.noisy > 0) {
                Check(site.name, scenario.name, "work lost vs. baseline", 0.5,
                      r.lost_work_s / std::max(base.lost_work_s, 1.0),
                      r.lost_work_s <= 0.5 * base.lost_work_s);
            }
        }
    }
    printf("%d targets not met\n", missed);
    if (json != nullptr) {
        fclose(json);
    }
    return missed > 0 ? 1 : 0;
}
