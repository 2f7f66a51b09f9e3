/*
 * Seeded histories of services that lost their run: none waits for too long,
 * however many wait. JR_SEED=n replays one history, JR_HISTORIES=n sets the
 * number of histories.
 */
#include <gtest/gtest.h>

#include "base/histories_test.h"
#include "load_test.h"

namespace {

enum {
    DEFAULT_HISTORIES = 60,
    NEGATIVE_HISTORIES = 500, /* until a violation is found */
    ROUNDS = 24,
    WORKERS_MIN = 6,
    WORKERS_MAX = 14,
    CPU_MILLI = 4000, /* of a worker */
    /* Processors that services ask for, of those left after losses. */
    FILL_MIN_PERCENT = 60,
    FILL_MAX_PERCENT = 110,
    CROWDED_PERCENT = 140, /* 1.6 times what is left beside an eighth */
    SERVICE_JOBS = 3,
    SHORT_JOBS_MAX = 24,
    /*
     * In which the lease runs out of a worker that is lost, or has left: the
     * leader stays, as each new one waits it out anew.
     */
    LEASE_OVER_MS = 9000,
    BETWEEN_LOSSES_MS = 12000,
    MAY_MISS = 2,
    MAY_MISS_TASKS = 8,
};

constexpr int64_t kShortMinMs = 200;

/* How histories differ. */
struct Kind {
    FleetFaults faults = {};
    bool checks_stops = false; /* of a step of which MAY_MISS may be missing */
    uint32_t may_miss = MAY_MISS; /* as the step says */
    bool checks_waits = false;
    bool has_drains = true;  /* they stop services, whatever may be missing */
    bool is_crowded = false; /* services ask for up to CROWDED_PERCENT */
    bool refuses = false;    /* workers refuse all starts after a loss */
};

/*
 * Workers are lost, drain and leave, and come back, leaders change, and jobs
 * with services are cancelled and submitted, while the services that are
 * wanted fit, or nearly fit, on the workers that are always left.
 */
class History {
  public:
    History(uint32_t seed, const Kind &kind)
        : load(seed, WORKERS_MIN + seed % (WORKERS_MAX - WORKERS_MIN + 1),
               kind.faults),
          rng_(seed * 7919 + 1), kind_(kind)
    {
        n_workers_ = load.fleet.workers.size();
        gone_max_ =
            kind.is_crowded ? n_workers_ * 2 / 5 : 1 + Below(n_workers_ / 3);
        load.short_jobs_max = SHORT_JOBS_MAX;
        load.next_short = [this] { return NextShort(); };
    }

    void
    Run()
    {
        int64_t milli = Left() * CPU_MILLI * AnyFill() / 100;

        if (kind_.checks_stops) {
            milli -= StartChecked();
        }
        for (int i = 0; i < SERVICE_JOBS; i++) {
            StartServices(milli / SERVICE_JOBS);
        }
        load.Run(8000);
        LoseWorkers(gone_max_ - Gone());
        for (FleetWorker &worker : load.fleet.workers) {
            worker.refuses = kind_.refuses ? 100 : 0;
        }
        for (int i = 0; i < ROUNDS; i++) {
            short_tasks_ = Below(2) * Below(12);
            Act();
            load.Run(500 + Below(2000));
        }
        load.Run(2 * kFailoverMs);
    }

    std::vector<std::string>
    Violations() const
    {
        std::vector<std::string> all = load.fleet.violations;

        all.insert(all.end(), load.broken.begin(), load.broken.end());
        if (kind_.checks_waits) {
            all.insert(all.end(), load.late.begin(), load.late.end());
        }
        return all;
    }

    Load load;

  private:
    int64_t
    Below(int64_t n)
    {
        return static_cast<int64_t>(rng_() % static_cast<uint32_t>(n));
    }

    /* More is more frequent. */
    int64_t
    AnyFill()
    {
        int64_t least = kind_.is_crowded ? FILL_MAX_PERCENT : FILL_MIN_PERCENT;
        int64_t most = kind_.is_crowded ? CROWDED_PERCENT : FILL_MAX_PERCENT;
        int64_t a = Below(most - least + 1);

        return most - std::min(a, Below(most - least + 1));
    }

    /* Workers that stay, whatever happens. */
    int64_t
    Left() const
    {
        return n_workers_ - gone_max_;
    }

    /* Short times are as frequent as long ones. */
    LoadShort
    NextShort()
    {
        LoadShort next = {MakeStep(static_cast<uint32_t>(short_tasks_),
                                   250 * (1 + Below(6))),
                          kShortMinMs};

        while (next.run_ms < kShortMaxMs && Below(5) > 0) {
            next.run_ms = std::min(next.run_ms * 2, kShortMaxMs);
        }
        next.step.estimate_ms = static_cast<uint32_t>(next.run_ms);
        return next;
    }

    /* What a task takes of workers that run tasks of this size only. */
    static int64_t
    TakenBy(int64_t size)
    {
        return CPU_MILLI / (CPU_MILLI / size);
    }

    /* Returns what the step takes of workers. */
    int64_t
    AddStep(std::vector<Jr__JobStep> *steps, int64_t milli)
    {
        const int64_t sizes[] = {500, 500, 1000, 1000, 1500, 2000, 3000};
        int64_t size = sizes[Below(std::size(sizes))];
        int64_t count;
        Jr__JobStep step;

        if (TakenBy(size) > milli) {
            size = sizes[0];
        }
        count = std::min(1 + Below(10), milli / TakenBy(size));
        step = MakeStep(static_cast<uint32_t>(count),
                        static_cast<uint32_t>(size));
        step.per_worker = count <= Left() && Below(3) == 0;
        steps->push_back(step);
        return count * TakenBy(size);
    }

    void
    StartServices(int64_t milli)
    {
        std::vector<Jr__JobStep> steps;
        int64_t left = milli;

        while (left >= CPU_MILLI / 8) {
            left -= AddStep(&steps, left);
        }
        if (!steps.empty()) {
            load.SubmitServices(next_job_, steps);
            jobs_.push_back({next_job_++, milli});
        }
    }

    /* Its first step is one of which few tasks may be missing. */
    int64_t
    StartChecked()
    {
        Jr__JobStep step = MakeStep(MAY_MISS_TASKS);

        step.may_miss = kind_.may_miss;
        load.fleet.checked_service = next_job_;
        load.fleet.checked_may_miss = MAY_MISS;
        load.SubmitServices(next_job_++, {step});
        return static_cast<int64_t>(MAY_MISS_TASKS) * 1000;
    }

    void
    ChangeJob()
    {
        if (!jobs_.empty()) {
            size_t i = static_cast<size_t>(Below(jobs_.size()));
            std::pair<uint64_t, int64_t> job = jobs_[i];

            jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(i));
            load.fleet.Cancel(job.first);
            StartServices(job.second);
        }
    }

    /* That is there, and does not leave. */
    size_t
    AnyWorker()
    {
        size_t i;

        do {
            i = static_cast<size_t>(Below(load.fleet.workers.size()));
        } while (!load.fleet.workers[i].is_up ||
                 load.fleet.workers[i].is_draining);
        return i;
    }

    int64_t
    Gone() const
    {
        return n_workers_ - static_cast<int64_t>(load.fleet.Up());
    }

    /* At once, or nearly so. */
    void
    LoseWorkers(int64_t n)
    {
        for (int64_t i = 0; i < n; i++) {
            load.LoseWorker(AnyWorker());
            load.Run(10 * Below(50));
        }
    }

    /* Half of those that have gone. */
    void
    BringBack()
    {
        for (size_t i = load.fleet.workers.size(); i-- > 0;) {
            const FleetWorker &worker = load.fleet.workers[i];

            if (worker.is_up || worker.is_replaced || Below(2) == 0) {
                continue;
            }
            if (Below(2) == 0) {
                load.fleet.Replace(i);
            }
            else {
                load.fleet.Restart(i);
            }
        }
    }

    void
    Act()
    {
        switch (Below(8)) {
        case 0:
        case 1:
            if (Gone() < gone_max_ &&
                load.fleet.now - load.lost_at >= BETWEEN_LOSSES_MS) {
                LoseWorkers(1 + Below(gone_max_ - Gone()));
            }
            break;
        case 2:
            if (kind_.has_drains && Gone() < gone_max_) {
                load.fleet.Drain(AnyWorker());
            }
            break;
        case 3:
            if (Below(2) == 0) {
                BringBack();
            }
            break;
        case 4:
            ChangeJob();
            break;
        case 5:
            break;
        default:
            if (load.fleet.now - load.gone_at >= LEASE_OVER_MS) {
                load.ChangeLeader(Below(4) > 0);
            }
            break;
        }
    }

    std::mt19937 rng_;
    const Kind &kind_;
    int64_t n_workers_;
    int64_t gone_max_; /* at a time */
    int64_t short_tasks_ = 0;
    uint64_t next_job_ = kService;
    std::vector<std::pair<uint64_t, int64_t>> jobs_; /* and their processors */
};

/* Prints how long services waited in all histories. */
void
PrintWaits(std::vector<int64_t> *waits)
{
    std::sort(waits->begin(), waits->end());
    if (!waits->empty()) {
        printf("%zu waits: median %lld ms, 99 %% %lld ms, longest %lld ms\n",
               waits->size(),
               static_cast<long long>((*waits)[waits->size() / 2]),
               static_cast<long long>((*waits)[waits->size() * 99 / 100]),
               static_cast<long long>(waits->back()));
    }
}

/* Some history must have a violation that says so. */
void
ExpectViolation(const std::string &what, const Kind &kind)
{
    for (uint32_t seed = 1; seed <= NEGATIVE_HISTORIES; seed++) {
        History history(seed, kind);

        history.Run();
        for (const std::string &violation : history.Violations()) {
            if (violation.find(what) != std::string::npos) {
                printf("seed %u: %s\n", seed, violation.c_str());
                return;
            }
        }
    }
    ADD_FAILURE() << "no violation in " << NEGATIVE_HISTORIES << " histories";
}

violations_t
RunKind(const Kind &kind)
{
    std::mutex mutex;
    std::vector<int64_t> waits;
    violations_t found = RunHistories(DEFAULT_HISTORIES, [&](uint32_t seed) {
        History history(seed, kind);

        history.Run();
        std::lock_guard<std::mutex> lock(mutex);
        for (int64_t ms : history.load.Waits()) {
            waits.push_back(ms);
        }
        return history.Violations();
    });

    PrintWaits(&waits);
    return found;
}

void
ExpectNoViolations(const Kind &kind)
{
    for (const auto &[seed, violations] : RunKind(kind)) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0] << " and "
                      << violations.size() - 1 << " more";
    }
}

} // namespace

/*
 * Guards against services that wait too long, however many wait, in any
 * history.
 */
TEST(ClaimHistoryTest, NoServiceWaitsTooLongInAnyHistory)
{
    ExpectNoViolations({.checks_waits = true});
}

/* Guards against the same where services take turns all the time. */
TEST(ClaimHistoryTest, NoServiceWaitsTooLongWhereMoreAreWantedThanFit)
{
    ExpectNoViolations({.checks_waits = true, .is_crowded = true});
}

/* Guards against claims that start a task twice, or break the rule. */
TEST(ClaimHistoryTest, TasksAreNotDuplicatedWhenAnswersAreLostAndOrdersLate)
{
    ExpectNoViolations({.faults = {.lost_answer = 2,
                                   .late = 1,
                                   .unreached = 1,
                                   .slow_answer = 5,
                                   .max_failures = 50}});
}

/* Guards against turns that stop more tasks of a step than may be missing. */
TEST(ClaimHistoryTest, TurnsStopNoTaskThatMayNotBeMissing)
{
    ExpectNoViolations({.checks_stops = true, .has_drains = false});
}

TEST(ClaimHistoryTest, FindsViolationsWhenAStepMayMissAnyNumber)
{
    ExpectViolation(
        "AVAIL", {.checks_stops = true, .may_miss = 0, .has_drains = false});
}

TEST(ClaimHistoryTest, FindsViolationsWhenWorkersRefuseServices)
{
    Kind kind = {.checks_waits = true, .refuses = true};

    ExpectViolation("with capacity for it", kind);
    ExpectViolation("does not run for 10010 ms", kind);
}

/*
 * Guards against a service that waits until those that have just begun have
 * run for long: in this history all have, as several workers were lost.
 */
TEST(ClaimHistoryTest, ServicesThatHaveJustBegunGiveWayToOneThatIsLate)
{
    constexpr uint32_t kSeed = 69;
    const Kind kind = {.checks_waits = true};
    History history(kSeed, kind);

    history.Run();
    EXPECT_TRUE(history.Violations().empty());
}
