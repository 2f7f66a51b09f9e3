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

/*
 * The users' rule: a service runs within 6 s of its last run, wherever there
 * is capacity for two of it beside the services that run; it counts when it
 * held for 3 s, and nothing failed in these nor in the 4 s before.
 */
constexpr int64_t kRuleWaitMs = 6000;
constexpr int64_t kRuleSpanMs = 3000;
constexpr int64_t kRuleCalmMs = 7000;

/* Workers with 4 processors each. */
class Load {
  public:
    explicit Load(uint32_t seed = 1, size_t n_workers = 4)
        : fleet(seed, n_workers, {},
                {.lease_ms = 6000,
                 .failover_ms = kFailoverMs,
                 .order_age_ms = kElectionMs})
    {
        fleet.long_running_job = kService;
        fleet.reported_percent = 100;
        fleet.task_ms = kShortMs;
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
        for (Jr__JobStep &service : steps) {
            service.service = true;
        }
        fleet.Submit(kService, steps);
        Run(8000);
        ASSERT_EQ(fleet.Running(kService), count);
    }

    /* In steps; notes how long each service that has run is away. */
    void
    Run(int64_t ms)
    {
        for (int64_t end = fleet.now + ms; fleet.now < end;) {
            if (short_tasks > 0 && fleet.now >= next_job_at_) {
                Jr__JobStep step = MakeStep(short_tasks);

                step.estimate_ms = static_cast<uint32_t>(kShortMs);
                fleet.Submit(next_job_++, {step});
                next_job_at_ = fleet.now + kJobEveryMs;
            }
            fleet.Run(kTickMs);
            NoteAway();
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
                n += name.job == kService;
            }
            if (n > n_most) {
                most = i;
                n_most = n;
            }
        }
        fleet.Crash(most);
        failed_at_ = fleet.now;
    }

    void
    ChangeLeader()
    {
        fleet.ChangeLeader(true);
        failed_at_ = fleet.now;
    }

    /* Services that have run and do not run now. */
    size_t
    Away() const
    {
        return seen_at_.size() - fleet.Running(kService);
    }

    size_t
    ShortRunning() const
    {
        size_t n = 0;

        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                n += name.job >= kFirstShortJob;
            }
        }
        return n;
    }

    Fleet fleet;
    uint32_t short_tasks = 0; /* of each job; 0: no jobs come */
    int64_t service_cpu = 1000;
    int64_t longest_away_ms = 0;
    std::vector<std::string> broken; /* the rule, and what broke it */

  private:
    void
    NoteAway()
    {
        for (const FleetWorker &worker : fleet.workers) {
            for (const auto &[name, run] : worker.running) {
                if (name.job == kService) {
                    seen_at_[name] = fleet.now;
                }
            }
        }
        for (const auto &[name, at] : seen_at_) {
            longest_away_ms = std::max(longest_away_ms, fleet.now - at);
        }
    }

    /* Services that fit on workers that get tasks, beside the others. */
    int64_t
    Capacity() const
    {
        int64_t n = 0;

        for (const FleetWorker &worker : fleet.workers) {
            int64_t left = worker.cpu;

            for (const auto &[name, run] : worker.running) {
                left -= name.job == kService ? run.cpu : 0;
            }
            if (worker.is_up && !worker.is_draining) {
                n += left / service_cpu;
            }
        }
        return n;
    }

    void
    CheckRule()
    {
        bool has_capacity = Capacity() >= 2;

        for (const auto &[name, at] : seen_at_) {
            int64_t &since = broken_since_[name];

            if (!has_capacity || fleet.now - at < kRuleWaitMs) {
                since = fleet.now;
            }
            if (fleet.now - since >= kRuleSpanMs &&
                fleet.now - failed_at_ >= kRuleCalmMs) {
                broken.push_back(TextOf(name) + " does not run for " +
                                 std::to_string(fleet.now - at) +
                                 " ms, with capacity for it");
                since = fleet.now;
            }
        }
    }

    std::map<TaskName, int64_t> seen_at_;
    std::map<TaskName, int64_t> broken_since_;
    int64_t failed_at_ = 0; /* a worker or the leader, last */
    uint64_t next_job_ = kFirstShortJob;
    int64_t next_job_at_ = 0;
};

#endif
