/*
 * Randomized histories of a leader whose orders and answers go through
 * carriers, reproducible by seed: carriers that are frozen, cut off one way,
 * killed and restarted, late batches of earlier leaders, leaders that change
 * and stand still. JR_SEED=n replays one history, JR_HISTORIES=n sets the
 * number of histories.
 */
#include <gtest/gtest.h>

#include "base/histories_test.h"
#include "carriers_test.h"

enum {
    DEFAULT_HISTORIES = 60,
    NEGATIVE_HISTORIES = 2000, /* until a violation is found */
    WORKERS = 4,
    JOBS = 12,
    ACTIONS = 120,
    SETTLE_MS = 60000,
    STALL_MAX_MS = 4000,
    LAST_JOB = 999,
};

typedef void setup_t(Fleet *fleet, Carriers *carriers);

static void
DisturbWorkers(Fleet *fleet, std::mt19937 *rng)
{
    size_t worker = (*rng)() % fleet->workers.size();

    if ((*rng)() % 2 == 0) {
        fleet->Restart(worker);
    }
    else {
        fleet->SetPartitioned(worker, true);
    }
}

static void
Reconnect(Fleet *fleet)
{
    for (size_t i = 0; i < fleet->workers.size(); i++) {
        fleet->SetPartitioned(i, false);
        fleet->CheckIn(i);
    }
}

static void
RunAction(Fleet *fleet, Carriers *carriers, std::mt19937 *rng,
          uint64_t *next_job)
{
    switch ((*rng)() % 16) {
    case 0:
        DisturbWorkers(fleet, rng);
        break;
    case 1: /* with faults of the hand-over before and after it */
        carriers->Disturb();
        carriers->ChangeLeader();
        carriers->Disturb();
        break;
    case 2:
        fleet->Cancel(1 + (*rng)() % JOBS);
        break;
    case 3:
    case 4:
    case 5:
        if (*next_job <= JOBS) {
            Jr__JobStep second = MakeStep(1 + (*rng)() % 3);
            uint32_t after[] = {0};

            second.n_after = 1;
            second.after = after;
            fleet->Submit((*next_job)++,
                          {MakeStep(1 + (*rng)() % 4, 700), second});
        }
        break;
    case 6:
        fleet->Stall(10 *
                     static_cast<int64_t>((*rng)() % (STALL_MAX_MS / 10)));
        break;
    case 7:
    case 8:
    case 9:
        Reconnect(fleet);
        break;
    default:
        carriers->Disturb();
        break;
    }
    fleet->Run(10 + static_cast<int64_t>((*rng)() % 500));
}

/* All jobs end, nothing runs on, and no capacity is lost. */
static void
CheckSettled(Fleet *fleet, uint64_t next_job)
{
    fleet->Run(SETTLE_MS);
    for (uint64_t id = 1; id < next_job; id++) {
        jr_job_t *job = jr_jobs_find(fleet->jobs, id);

        if (job != nullptr && jr_job_is_live(job)) {
            fleet->violations.push_back(
                "job " + std::to_string(id) +
                " has not ended after the settling time");
        }
        if (fleet->Running(id) > 0) {
            fleet->violations.push_back(
                "job " + std::to_string(id) +
                " still has running tasks after the settling time");
        }
    }
    fleet->task_ms = 60000;
    fleet->Submit(LAST_JOB,
                  {MakeStep(static_cast<uint32_t>(fleet->workers.size()),
                            static_cast<uint32_t>(fleet->workers[0].cpu))});
    fleet->Run(2000);
    if (fleet->Running(LAST_JOB) != fleet->Up()) {
        fleet->violations.push_back("a worker is not whole after all ended");
    }
}

/* What happened in a history, to see that it tries what it should. */
struct Seen {
    std::atomic<size_t> carried{0}, stale{0}, given_up{0}, fenced{0};
};

static std::vector<std::string>
RunHistory(uint32_t seed, setup_t *setup, Seen *seen = nullptr)
{
    Fleet fleet(seed, WORKERS,
                {.lost_answer = 2,
                 .late = 1,
                 .unreached = 1,
                 .task_fails = 2,
                 .max_failures = 50});
    Carriers carriers(seed, &fleet);
    std::mt19937 rng(seed * 7919 + 1);
    uint64_t next_job = 1;

    if (setup != nullptr) {
        setup(&fleet, &carriers);
    }
    for (int i = 0; i < ACTIONS; i++) {
        RunAction(&fleet, &carriers, &rng, &next_job);
    }
    if (seen != nullptr) {
        seen->carried += carriers.n_carried;
        seen->stale += carriers.Counter(JR_C_CARRY_STALE);
        seen->given_up += carriers.Counter(JR_C_CARRY_EXPIRED);
        seen->fenced += carriers.n_fenced;
    }
    Reconnect(&fleet);
    carriers.Heal();
    fleet.faults = {};
    CheckSettled(&fleet, next_job);
    return fleet.violations;
}

TEST(CarrierHistoryTest, OrdersThroughCarriersAreSentAndAnsweredOnce)
{
    Seen seen;
    violations_t found =
        RunHistories(DEFAULT_HISTORIES, [&seen](uint32_t seed) {
            return RunHistory(seed, nullptr, &seen);
        });

    for (const auto &[seed, violations] : found) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0] << " and "
                      << violations.size() - 1 << " more";
    }
    printf("%zu orders carried, %zu stale, %zu given up, %zu fenced\n",
           seen.carried.load(), seen.stale.load(), seen.given_up.load(),
           seen.fenced.load());
    if (EnvironmentNumber("JR_SEED", 0) == 0) {
        EXPECT_GT(seen.stale, 0u);
        EXPECT_GT(seen.given_up, 0u);
        EXPECT_GT(seen.fenced, 0u);
    }
}

/* With a mechanism disabled, some history must have a violation of @kind. */
static void
ExpectViolation(const std::string &kind, setup_t *setup)
{
    for (uint32_t seed = 1; seed <= NEGATIVE_HISTORIES; seed++) {
        for (const std::string &violation : RunHistory(seed, setup)) {
            if (violation.find(kind) != std::string::npos) {
                printf("seed %u: %s\n", seed, violation.c_str());
                return;
            }
        }
    }
    ADD_FAILURE() << "no violation in " << NEGATIVE_HISTORIES << " histories";
}

TEST(CarrierHistoryTest, FindsViolationsWhenCarriersIgnoreTheAgeOfOrders)
{
    ExpectViolation("is sent by a carrier", [](Fleet *, Carriers *carriers) {
        carriers->ignores_age = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenCarriersRepeatOrders)
{
    ExpectViolation("is sent again", [](Fleet *, Carriers *carriers) {
        carriers->repeats_orders = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenLateAnswersCount)
{
    ExpectViolation("has another outcome", [](Fleet *, Carriers *carriers) {
        carriers->takes_late_answers = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenCarriersHideUnknownOutcomes)
{
    ExpectViolation("reported as not sent", [](Fleet *, Carriers *carriers) {
        carriers->hides_unknown = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenALeaderDoesNotGiveUp)
{
    ExpectViolation("has no outcome", [](Fleet *, Carriers *carriers) {
        carriers->keeps_waiting = true;
    });
}

/* The orders of two leaders, through the same carriers. */
TEST(CarrierHistoryTest, FindsViolationsWhenWorkersIgnoreFences)
{
    ExpectViolation("task", [](Fleet *fleet, Carriers *) {
        fleet->ignores_fences = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenWorkersIgnoreLeases)
{
    ExpectViolation("task", [](Fleet *fleet, Carriers *) {
        fleet->ignores_leases = true;
    });
}

TEST(CarrierHistoryTest, FindsViolationsWhenWorkersKeepNoTombstones)
{
    ExpectViolation("task", [](Fleet *fleet, Carriers *) {
        fleet->ignores_tombstones = true;
    });
}
