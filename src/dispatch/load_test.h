/*
 * A fleet with services, and short tasks that ask for more than there is, for
 * tests of how soon services that lost their run have the next one.
 */
#ifndef JR_DISPATCH_LOAD_TEST_H
#define JR_DISPATCH_LOAD_TEST_H

#include <gtest/gtest.h>

#include "fleet_test.h"

constexpr int64_t kTickMs = 10;
/*
 * Within these times tasks run again: of a worker that is lost (settle_ms and
 * failover_ms of a deployment), and where nothing was lost (failover_ms).
 */
constexpr int64_t kFailoverMs = 10000;
constexpr int64_t kNothingLostMs = 7000;
constexpr int64_t kElectionMs = 700;
constexpr uint64_t kService = 1;
constexpr uint64_t kFirstShortJob = 100;
/* Short tasks of a job, and from one job to the next. */
constexpr int64_t kShortMs = 2000;
constexpr int64_t kJobEveryMs = 500;
/* Of short tasks that take longer than services may be away. */
constexpr int64_t kShortMaxMs = 60000;

/*
 * The users' rule: a service runs within 6 s of its last run, wherever there
 * is capacity for two of it beside the services that run; it counts when it
 * held for 3 s, and nothing failed in these nor in the 4 s before.
 */
constexpr int64_t kRuleWaitMs = 6000;
constexpr int64_t kRuleSpanMs = 3000;
constexpr int64_t kRuleCalmMs = 7000;

/* A step of services, and what is known of its tasks. */
struct LoadStep {
    int64_t cpu;
    uint32_t per_worker; /* 0: no limit */
};

/* A service that has run. */
struct LoadService {
    int64_t seen_at;      /* last */
    int64_t broken_since; /* the rule; see CheckRule() */
    bool is_late;         /* its wait was reported */
};

/* Tasks of a job, and for how long each of them runs. */
struct LoadShort {
    Jr__JobStep step;
    int64_t run_ms;
};

/* Workers with 4 processors each. */
class Load {
  public:
    explicit Load(uint32_t seed = 1, size_t n_workers = 4,
                  FleetFaults faults = {})
        : fleet(seed, n_workers, faults,
                {.lease_ms = 6000,
                 .failover_ms = kFailoverMs,
                 .order_age_ms = kElectionMs})
    {
        fleet.reported_percent = 100;
        fleet.task_ms = kShortMs;
        fleet.run_ms_of = [this](const TaskName &task) {
            auto found = run_ms_.find(task.job);

            return IsService(task)          ? kForeverMs
                   : found != run_ms_.end() ? found->second
                                            : fleet.task_ms;
        };
    }

    /* @n_apart of them on different workers. */
    void
    StartServices(uint32_t count, uint32_t n_apart = 0)
    {
        Jr__JobStep apart =
            MakeStep(n_apart, static_cast<uint32_t>(service_cpu));
        std::vector<Jr__JobStep> steps;

        apart.per_worker = 1;
        if (n_apart > 0) {
            steps.push_back(apart);
        }
        steps.push_back(
            MakeStep(count - n_apart, static_cast<uint32_t>(service_cpu)));
        SubmitServices(kService, steps);
        Run(8000);
        ASSERT_EQ(fleet.Running(kService), count);
    }

    /* A job whose number is less than kFirstShortJob. */
    void
    SubmitServices(uint64_t job, std::vector<Jr__JobStep> steps,
                   uint32_t repeats = 0)
    {
        for (Jr__JobStep &step : steps) {
            step.service = true;
            steps_[job].push_back({step.cpu_milli, step.per_worker});
        }
        fleet.Submit(job, steps, repeats, 1);
    }

    /* In steps; notes how long each service that has run is away. */
    void
    Run(int64_t ms)
    {
        for (int64_t end = fleet.now + ms; fleet.now < end;) {
            if (fleet.now >= next_job_at_ && (next_short || short_tasks > 0)) {
                SubmitShort();
                next_job_at_ = fleet.now + kJobEveryMs;
            }
            size_t n_up = CountUp();

            fleet.Run(kTickMs);
            gone_at = CountUp() < n_up ? fleet.now : gone_at;
            NoteAway();
            CheckApart();
            CheckRule();
        }
    }

    /* Loses the worker with the most services. */
    void
    LoseWorker()
    {
        size_t most = 0;
        size_t n_most = 0;

        for (size_t i = 0; i < fleet.workers.size(); i++) {
            size_t n = 0;

            for (const auto &[name, run] : fleet.workers[i].running) {
                n += IsService(name);
            }
            if (n > n_most) {
                most = i;
                n_most = n;
            }
        }
        LoseWorker(most);
    }

    void
    LoseWorker(size_t i)
    {
        fleet.Crash(i);
        lost_worker = i;
        failed_at_ = fleet.now;
        lost_at = fleet.now;
        gone_at = fleet.now;
    }

    void
    ChangeLeader(bool keeps_proposals = true)
    {
        fleet.ChangeLeader(keeps_proposals);
        failed_at_ = fleet.now;
    }

    /* Services that have run and do not run now. */
    size_t
    Away() const
    {
        size_t n = 0;

        for (const auto &[name, service] : services_) {
            n += service.seen_at != fleet.now;
        }
        return n;
    }

    size_t
    ShortRunning() const
    {
        size_t n = 0;

        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                n += !IsService(name);
            }
        }
        return n;
    }

    /* Only later ones count in LongestWait(). */
    void
    ForgetWaits()
    {
        longest_waits_.clear();
    }

    /* Of the services of a job. */
    int64_t
    LongestWait(uint64_t job) const
    {
        auto found = longest_waits_.find(job);

        return found != longest_waits_.end() ? found->second : 0;
    }

    /* Of services that ran again, then of those that are away now. */
    std::vector<int64_t>
    Waits() const
    {
        std::vector<int64_t> all = waits_;

        for (const auto &[name, service] : services_) {
            if (service.seen_at != fleet.now) {
                all.push_back(fleet.now - service.seen_at);
            }
        }
        return all;
    }

    Fleet fleet;
    uint32_t short_tasks = 0; /* of each job; 0: no jobs come */
    /* When set, gives each job of short tasks instead; of no task: none. */
    std::function<LoadShort()> next_short;
    size_t short_jobs_max = SIZE_MAX; /* beyond it the oldest is cancelled */
    int64_t service_cpu = 1000;
    int64_t longest_away_ms = 0;
    int64_t lost_at = 0; /* a worker without notice, last */
    size_t lost_worker = 0;
    int64_t gone_at = 0;             /* a worker, last */
    std::vector<std::string> broken; /* the rule, and what broke it */
    std::vector<std::string> late;   /* waits beyond the bound */

  private:
    static constexpr int64_t kForeverMs = INT64_MAX / 4;

    std::map<uint64_t, int64_t> longest_waits_; /* by job */

    static bool
    IsService(const TaskName &task)
    {
        return task.job < kFirstShortJob;
    }

    size_t
    CountUp() const
    {
        size_t n = 0;

        for (const FleetWorker &worker : fleet.workers) {
            n += worker.is_up;
        }
        return n;
    }

    void
    SubmitShort()
    {
        LoadShort next = {MakeStep(short_tasks), 0};

        next.step.estimate_ms = static_cast<uint32_t>(kShortMs);
        if (next_short) {
            next = next_short();
            run_ms_[next_job_] = next.run_ms;
        }
        if (next.step.count == 0) {
            return;
        }
        fleet.Submit(next_job_, {next.step});
        next_job_++;
        if (next_job_ - kFirstShortJob > short_jobs_max) {
            fleet.Cancel(next_job_ - 1 - short_jobs_max);
        }
    }

    bool
    IsLive(uint64_t id) const
    {
        const jr_job_t *job = jr_jobs_find(fleet.jobs, id);

        return job != nullptr && jr_job_is_live(job);
    }

    void
    NoteRunning(const TaskName &name)
    {
        auto [found, is_new] = services_.try_emplace(
            name, LoadService{fleet.now, fleet.now, false});
        LoadService &service = found->second;

        if (fleet.now - service.seen_at > kTickMs) {
            waits_.push_back(fleet.now - service.seen_at);
        }
        service = {fleet.now, fleet.now, false};
    }

    /* With no failure in the wait, nor for a while before. */
    int64_t
    BoundOf(const LoadService &service) const
    {
        return failed_at_ + kRuleCalmMs - kRuleSpanMs >= service.seen_at
                   ? kFailoverMs
                   : kNothingLostMs;
    }

    void
    NoteAway()
    {
        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                if (IsService(name)) {
                    NoteRunning(name);
                }
            }
        }
        for (auto it = services_.begin(); it != services_.end();) {
            LoadService &service = it->second;
            int64_t away_ms = fleet.now - service.seen_at;

            if (away_ms > 0 && !IsLive(it->first.job)) {
                it = services_.erase(it);
                continue;
            }
            longest_away_ms = std::max(longest_away_ms, away_ms);
            int64_t &longest = longest_waits_[it->first.job];

            longest = std::max(longest, away_ms);
            if (away_ms > BoundOf(service) && !service.is_late) {
                late.push_back(std::to_string(fleet.now) + ": " +
                               TextOf(it->first) + " does not run for " +
                               std::to_string(away_ms) + " ms");
                service.is_late = true;
            }
            ++it;
        }
    }

    /* No worker runs more tasks of a step than may run on one. */
    void
    CheckApart()
    {
        for (const FleetWorker &worker : fleet.workers) {
            std::map<std::pair<uint64_t, uint32_t>, uint32_t> n;

            for (const auto &[name, run] : worker.running) {
                auto found = steps_.find(name.job);
                uint32_t limit = found == steps_.end()
                                     ? 0
                                     : found->second[name.step].per_worker;

                if (limit > 0 && ++n[{name.job, name.step}] > limit) {
                    fleet.violations.push_back(
                        std::to_string(fleet.now) +
                        ": ROUTE: " + TextOf(name) +
                        " beside others of its step on " + worker.id);
                }
            }
        }
    }

    /* Tasks of the step that fit on the worker, beside services. */
    static int64_t
    CapacityOn(const FleetWorker &worker, const TaskName &task,
               const LoadStep &step)
    {
        int64_t left = worker.cpu;
        int64_t apart = step.per_worker > 0 ? step.per_worker : INT64_MAX;

        if (!worker.is_up || worker.is_draining) {
            return 0;
        }
        for (const auto &[name, run] : worker.running) {
            left -= IsService(name) ? run.cpu : 0;
            apart -= name.job == task.job && name.step == task.step;
        }
        return std::max<int64_t>(std::min(left / step.cpu, apart), 0);
    }

    bool
    HasCapacityForTwo(const TaskName &task) const
    {
        const LoadStep &step = steps_.at(task.job)[task.step];
        int64_t n = 0;

        for (const FleetWorker &worker : fleet.workers) {
            n += CapacityOn(worker, task, step);
        }
        return n >= 2;
    }

    void
    CheckRule()
    {
        for (auto &[name, service] : services_) {
            if (fleet.now - service.seen_at < kRuleWaitMs ||
                !HasCapacityForTwo(name)) {
                service.broken_since = fleet.now;
            }
            if (fleet.now - service.broken_since >= kRuleSpanMs &&
                fleet.now - failed_at_ >= kRuleCalmMs) {
                broken.push_back(std::to_string(fleet.now) + ": " +
                                 TextOf(name) + " does not run for " +
                                 std::to_string(fleet.now - service.seen_at) +
                                 " ms, with capacity for it");
                service.broken_since = fleet.now;
            }
        }
    }

    std::map<uint64_t, std::vector<LoadStep>> steps_; /* of services */
    std::map<uint64_t, int64_t> run_ms_; /* of tasks of these short jobs */
    std::map<TaskName, LoadService> services_;
    std::vector<int64_t> waits_; /* that are over */
    int64_t failed_at_ = 0;      /* a worker or the leader, last */
    uint64_t next_job_ = kFirstShortJob;
    int64_t next_job_at_ = 0;
};

#endif
