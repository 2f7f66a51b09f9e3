/*
 * Randomized histories of zones that are drained and taken back, and of
 * services that give way to urgent tasks, reproducible by seed: changes of
 * leader, lost and late orders, stalls, workers that restart or are cut off.
 * JR_SEED=n replays one history, JR_HISTORIES=n sets the number of histories.
 */
#include <gtest/gtest.h>

#include <memory>

#include "base/histories_test.h"
#include "carriers_test.h"

enum {
    DEFAULT_HISTORIES = 60,
    NEGATIVE_HISTORIES = 2000, /* until a violation is found */
    WORKERS = 6,
    ZONES = 3,
    JOBS = 40,
    ACTIONS = 120,
    STALL_MAX_MS = 3000,
    TASK_MS = 800,
    SETTLE_MS = 60000,
    SERVICES_AT_WORK_MS = 30000, /* once all faults are over */
    LAST_JOB = 999,
    SERVICE_JOB = 998,
    /* Of its steps; together more than the share of services. */
    CHECKED_TASKS = 10,
    OTHER_TASKS = 10,
    MAY_MISS = 2,
};

typedef void setup_t(Fleet *fleet);

static std::string
ZoneOf(size_t i)
{
    return "z" + std::to_string(i % ZONES);
}

/* One step of which few tasks may be missing, and one without a bound. */
static void
AddServices(Fleet *fleet, uint32_t may_miss)
{
    Jr__JobStep checked = MakeStep(CHECKED_TASKS);
    Jr__JobStep other = MakeStep(OTHER_TASKS);

    checked.service = 1;
    checked.may_miss = may_miss;
    other.service = 1;
    fleet->reported_percent = 100;
    fleet->long_running_job = SERVICE_JOB;
    fleet->checked_service = SERVICE_JOB;
    fleet->checked_may_miss = MAY_MISS;
    fleet->Submit(SERVICE_JOB, {checked, other});
    fleet->Run(8000);
}

static void
SetZones(Fleet *fleet)
{
    for (size_t i = 0; i < fleet->workers.size(); i++) {
        fleet->workers[i].zone = ZoneOf(i);
        fleet->CheckIn(i);
    }
    fleet->Run(500);
}

/* Tasks of jobs of priority 0, more than the services leave room for. */
static void
SubmitUrgent(Fleet *fleet, std::mt19937 *rng, uint64_t *next_job)
{
    if (*next_job <= JOBS) {
        fleet->Submit((*next_job)++, {MakeStep(2 + (*rng)() % 8, 700)});
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
ChangeLeader(Fleet *fleet, Carriers *carriers, bool keeps_proposals)
{
    if (carriers != nullptr) {
        carriers->Disturb();
        carriers->ChangeLeader();
    }
    else {
        fleet->ChangeLeader(keeps_proposals);
    }
}

static void
RunAction(Fleet *fleet, Carriers *carriers, std::mt19937 *rng,
          uint64_t *next_job)
{
    size_t i = (*rng)() % fleet->workers.size();

    switch ((*rng)() % 16) {
    case 0:
        fleet->Restart(i);
        break;
    case 1:
        fleet->SetPartitioned(i, true);
        break;
    case 2:
        ChangeLeader(fleet, carriers, (*rng)() % 2 == 0);
        break;
    case 3:
        fleet->Stall(10 *
                     static_cast<int64_t>((*rng)() % (STALL_MAX_MS / 10)));
        break;
    case 4:
    case 5:
        fleet->DrainZone(ZoneOf((*rng)()).c_str());
        break;
    case 6:
    case 7:
        fleet->DrainZone(ZoneOf((*rng)()).c_str(), false);
        break;
    case 8:
        if (carriers != nullptr) {
            carriers->Disturb();
        }
        break;
    case 9:
    case 10:
        Reconnect(fleet);
        break;
    default:
        SubmitUrgent(fleet, rng, next_job);
        break;
    }
    fleet->Run(10 + static_cast<int64_t>((*rng)() % 500));
}

/* A job under which too many workers crashed has failed. */
static void
CheckServices(Fleet *fleet)
{
    int64_t end = fleet->now + SERVICES_AT_WORK_MS;

    while (jr_job_is_live(jr_jobs_find(fleet->jobs, SERVICE_JOB)) &&
           fleet->Running(SERVICE_JOB) != CHECKED_TASKS + OTHER_TASKS) {
        if (fleet->now >= end) {
            fleet->violations.push_back(
                "only " + std::to_string(fleet->Running(SERVICE_JOB)) +
                " tasks of the services are at work after " +
                std::to_string(SERVICES_AT_WORK_MS) + " ms without faults");
            return;
        }
        fleet->Run(100);
    }
}

static void
CheckJobs(Fleet *fleet, uint64_t next_job)
{
    for (uint64_t id = 1; id < next_job; id++) {
        jr_job_t *job = jr_jobs_find(fleet->jobs, id);

        /* A submission whose proposal was lost was never accepted. */
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
}

/* All zones are taken back: services come back, and all workers are whole. */
static void
CheckSettled(Fleet *fleet, uint64_t next_job)
{
    fleet->Run(STALL_MAX_MS + 1000); /* earlier requests are in the log */
    for (size_t i = 0; i < ZONES; i++) {
        fleet->DrainZone(ZoneOf(i).c_str(), false);
    }
    fleet->Run(100);
    CheckServices(fleet);
    fleet->Cancel(SERVICE_JOB);
    fleet->Run(SETTLE_MS);
    CheckJobs(fleet, next_job);
    fleet->task_ms = 60000;
    fleet->Submit(LAST_JOB,
                  {MakeStep(static_cast<uint32_t>(fleet->workers.size()),
                            static_cast<uint32_t>(fleet->workers[0].cpu))});
    fleet->Run(2000);
    if (fleet->Running(LAST_JOB) != fleet->Up()) {
        fleet->violations.push_back("a worker is not whole after all ended");
    }
}

/* What happened in the histories, to see that they try what they should. */
struct Seen {
    std::atomic<size_t> drained{0}, preempted{0};
};

static std::vector<std::string>
RunHistory(uint32_t seed, setup_t *setup, bool has_carriers, uint32_t may_miss,
           Seen *seen)
{
    Fleet fleet(seed, WORKERS,
                {.lost_answer = 2,
                 .late = 1,
                 .unreached = 1,
                 .slow_answer = 5,
                 .task_fails = 2,
                 .max_failures = 50});
    std::unique_ptr<Carriers> carriers;
    std::mt19937 rng(seed * 7919 + 1);
    uint64_t next_job = 1;

    if (setup != nullptr) {
        setup(&fleet);
    }
    SetZones(&fleet);
    if (has_carriers) {
        carriers = std::make_unique<Carriers>(seed, &fleet);
    }
    fleet.task_ms = TASK_MS;
    fleet.has_churn = true; /* see DISABLED_LateOrdersStartNothingInANewLife */
    AddServices(&fleet, may_miss);
    for (int i = 0; i < ACTIONS; i++) {
        RunAction(&fleet, carriers.get(), &rng, &next_job);
        seen->drained += fleet.jobs->zones->n_drained;
    }
    seen->preempted += fleet.Counter(JR_C_PREEMPTIONS);
    Reconnect(&fleet);
    if (has_carriers) {
        carriers->Heal();
    }
    fleet.faults = {};
    CheckSettled(&fleet, next_job);
    return fleet.violations;
}

static void
ExpectNoViolations(bool has_carriers)
{
    Seen seen;
    violations_t found =
        RunHistories(DEFAULT_HISTORIES, [has_carriers, &seen](uint32_t seed) {
            return RunHistory(seed, nullptr, has_carriers, MAY_MISS, &seen);
        });

    for (const auto &[seed, violations] : found) {
        ADD_FAILURE() << "seed " << seed << ": " << violations[0] << " and "
                      << violations.size() - 1 << " more";
    }
    printf("%zu actions with a drained zone, %zu services gave way\n",
           seen.drained.load(), seen.preempted.load());
    EXPECT_GT(seen.drained, 0u);
    if (EnvironmentNumber("JR_SEED", 0) == 0) {
        EXPECT_GT(seen.preempted, 0u);
    }
}

/* With a mechanism disabled, some history must have a violation of @kind. */
static void
ExpectViolation(const std::string &kind, setup_t *setup, bool has_carriers,
                uint32_t may_miss)
{
    Seen seen;

    for (uint32_t seed = 1; seed <= NEGATIVE_HISTORIES; seed++) {
        for (const std::string &violation :
             RunHistory(seed, setup, has_carriers, may_miss, &seen)) {
            if (violation.find(kind) != std::string::npos) {
                printf("seed %u: %s\n", seed, violation.c_str());
                return;
            }
        }
    }
    ADD_FAILURE() << "no violation in " << NEGATIVE_HISTORIES << " histories";
}

TEST(DrainHistoryTest, DrainedZonesGetNoStartsAndServicesKeepWhatTheyMust)
{
    ExpectNoViolations(false);
}

TEST(DrainHistoryTest, TheSameWithOrdersThroughCarriers)
{
    ExpectNoViolations(true);
}

TEST(DrainHistoryTest, FindsViolationsWhenDrainsAreForgotten)
{
    setup_t *forget = [](Fleet *fleet) { fleet->forgets_drains = true; };

    ExpectViolation("EVAC", forget, false, MAY_MISS);
    ExpectViolation("EVAC", forget, true, MAY_MISS);
}

TEST(DrainHistoryTest, FindsViolationsWhenServicesMayMissAnyNumber)
{
    ExpectViolation("AVAIL", nullptr, false, 0);
    ExpectViolation("AVAIL", nullptr, true, 0);
}
