/*
 * Services that lost their run have the next one as soon as the users' rule
 * asks for, however many they are.
 */
#include <gtest/gtest.h>

#include "load_test.h"

namespace {

void
ExpectNothingBroken(const Load &load)
{
    EXPECT_TRUE(load.fleet.violations.empty());
    EXPECT_TRUE(load.broken.empty())
        << load.broken[0] << " and " << load.broken.size() - 1 << " more";
}

} // namespace

/*
 * Guards against services that find nothing reserved for them just when many
 * wait: 40 services, and 36 processors after three of twelve workers are lost,
 * while short tasks ask for more than there is.
 */
TEST(ClaimTest, ManyServicesAreBackInTimeWhereThereIsCapacity)
{
    Load load(1, 12);

    load.StartServices(40);
    load.short_tasks = 18;
    load.Run(3000);
    for (int i = 0; i < 3; i++) {
        load.LoseWorker();
    }
    load.Run(40000);
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/* Guards against the same after the leader changed: it knows the waits. */
TEST(ClaimTest, ManyServicesAreBackInTimeWhenTheLeaderChanges)
{
    Load load(1, 12);

    load.StartServices(40);
    load.short_tasks = 18;
    load.Run(3000);
    for (int i = 0; i < 3; i++) {
        load.LoseWorker();
    }
    load.Run(9000);
    load.ChangeLeader();
    load.Run(30000);
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, 2 * kFailoverMs);
}

/*
 * Guards against services that wait for short tasks to end which take longer
 * than services may be away.
 */
TEST(ClaimTest, ServicesDoNotWaitForLongShortTasks)
{
    Load load(1, 6);

    load.StartServices(16);
    load.fleet.task_ms = 60000;
    load.short_tasks = 12;
    load.Run(3000);
    load.short_tasks = 0;
    load.LoseWorker();
    load.Run(20000);
    ExpectNothingBroken(load);
    EXPECT_EQ(load.Away(), 0u);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against large services whose places are taken, piece by piece, by
 * services that are overdue as well.
 */
TEST(ClaimTest, LargeServicesAreBackInTime)
{
    Load load(1, 12);

    load.service_cpu = 3000;
    load.StartServices(9);
    load.short_tasks = 24;
    load.Run(3000);
    load.LoseWorker();
    load.LoseWorker();
    load.Run(30000);
    ExpectNothingBroken(load);
    EXPECT_EQ(load.Away(), 0u);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against a new leader under which no service gives its place to one
 * that waits, as it does not know for how long each has run.
 */
TEST(ClaimTest, ServicesTakeTurnsUnderANewLeader)
{
    Load load(1, 12);

    load.StartServices(40);
    load.short_tasks = 18;
    for (int i = 0; i < 3; i++) {
        load.LoseWorker();
    }
    load.Run(15000);
    load.longest_away_ms = 0;
    for (int i = 0; i < 6; i++) {
        load.ChangeLeader();
        load.Run(4000);
    }
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against a wait that begins anew with each start that is given up: the
 * worker drains when the grant gets into the log, so the start is not sent.
 */
TEST(ClaimTest, AStartThatIsGivenUpDoesNotEndTheWait)
{
    Load load(1, 4);
    Fleet &fleet = load.fleet;

    load.StartServices(1);
    fleet.log_delay_ms = 400;
    load.LoseWorker();
    int64_t lost_at = fleet.now;
    const jr_job_task_t *task = &jr_jobs_find(fleet.jobs, kService)->tasks[0];

    while (task->phase != JR_PHASE_WAITING) {
        load.Run(kTickMs);
    }
    size_t sound = fleet.workers[0].is_up ? 0 : 1;

    for (size_t i = sound + 1; i < fleet.workers.size(); i++) {
        fleet.CheckIn(i, true);
    }
    while (task->attempt < 3) {
        load.Run(kTickMs);
        ASSERT_LE(fleet.now - lost_at, 2 * kFailoverMs);
    }
    EXPECT_LE(task->waiting_since, lost_at);
    EXPECT_TRUE(fleet.violations.empty());
}

/*
 * Guards against a wait that begins anew with each start that comes to
 * nothing: workers refuse all starts for 1.5 s.
 */
TEST(ClaimTest, RefusedStartsDoNotBeginTheWaitAnew)
{
    Load load(1, 4);

    load.StartServices(10);
    load.fleet.task_ms = kShortMaxMs;
    load.short_tasks = 6;
    load.Run(3000);
    load.LoseWorker();
    load.Run(6000);
    for (FleetWorker &worker : load.fleet.workers) {
        worker.refuses = 100;
    }
    load.Run(1500);
    for (FleetWorker &worker : load.fleet.workers) {
        worker.refuses = 0;
    }
    load.Run(15000);
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against a service that waits without a bound as it is larger than
 * each of those that could give it their place.
 */
TEST(ClaimTest, LargeServicesTakeTurnsWithSeveralSmallOnes)
{
    Load load(1, 4);

    load.SubmitServices(kService, {MakeStep(1, 3000)});
    load.Run(2000);
    load.SubmitServices(kService + 1, {MakeStep(24, 500)});
    load.Run(8000);
    ASSERT_EQ(load.fleet.Running(kService), 1u);
    ASSERT_EQ(load.fleet.Running(kService + 1), 24u);
    for (size_t i = 0; i < load.fleet.workers.size(); i++) {
        if (load.fleet.workers[i].running.count({kService, 0, 0, 0}) > 0) {
            load.LoseWorker(i);
        }
    }
    load.Run(60000);
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against places that are freed only once the lease of a lost worker
 * has run out, which a new leader waits out anew.
 */
TEST(ClaimTest, PlacesAreFreeWhenTheLeaseOfALostWorkerRunsOut)
{
    Load load(1, 6);

    load.StartServices(16);
    load.fleet.task_ms = kShortMaxMs;
    load.short_tasks = 12;
    load.Run(3000);
    load.short_tasks = 0;
    load.LoseWorker();
    load.Run(3000);
    load.ChangeLeader();
    load.Run(15000);
    ExpectNothingBroken(load);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/* Guards against services of a later occurrence that never run again. */
TEST(ClaimTest, ServicesOfALaterOccurrenceAreBackInTime)
{
    Load load(1, 4);

    load.SubmitServices(kService, {MakeStep(2)}, 2);
    load.Run(8000);
    ASSERT_EQ(load.fleet.Running(kService), 4u);
    load.LoseWorker();
    load.Run(20000);
    EXPECT_EQ(load.Away(), 0u);
    EXPECT_LE(load.longest_away_ms, kFailoverMs);
}

/*
 * Guards against urgent tasks that get nothing from services for as long as
 * one service waits that no service can make room for.
 */
TEST(ClaimTest, UrgentTasksGetTheirPartWhileAServiceWaits)
{
    constexpr int kSamples = 300;
    Load load(1, 12);
    size_t sum = 0;

    load.SubmitServices(kService, {MakeStep(1, 4000)});
    load.Run(8000);
    load.SubmitServices(kService + 1, {MakeStep(44)});
    load.Run(12000);
    for (size_t i = 0; i < load.fleet.workers.size(); i++) {
        if (load.fleet.workers[i].running.count({kService, 0, 0, 0}) > 0) {
            load.LoseWorker(i);
        }
    }
    load.Run(20000);
    load.short_tasks = 3;
    for (int i = 0; i < kSamples; i++) {
        load.Run(100);
        sum += load.ShortRunning();
    }
    /* Half of their eighth of 44 processors. */
    EXPECT_GE(sum, kSamples * 44u / 8 / 2);
}

/*
 * Guards against services that take turns for ever beside capacity that short
 * tasks ask for and can't use: no worker has their label.
 */
TEST(ClaimTest, ServicesDoNotTakeTurnsBesideFreeCapacity)
{
    Load load(1, 10);
    uint64_t before;

    load.StartServices(37);
    load.next_short = [] {
        LoadShort next = {MakeStep(3), 2000};

        next.step.label = const_cast<char *>("none");
        return next;
    };
    load.Run(3000);
    load.LoseWorker();
    load.fleet.Replace(load.lost_worker);
    load.Run(15000);
    before = load.fleet.Counter(JR_C_STOPS_FOR_SERVICES);
    load.Run(40000);
    EXPECT_EQ(load.fleet.Counter(JR_C_STOPS_FOR_SERVICES), before);
    EXPECT_EQ(load.Away(), 0u);
}

/*
 * Guards against services that wait behind others which can take no turn: no
 * worker that is left has their label.
 */
TEST(ClaimTest, ServicesThatNoWorkerTakesDoNotKeepOthersFromTheirTurns)
{
    Load load(1, 14);
    Jr__JobStep labelled = MakeStep(38, 400);

    for (size_t i = 0; i < 4; i++) {
        load.fleet.workers[i].label = "a";
        load.fleet.CheckIn(i);
    }
    labelled.label = const_cast<char *>("a");
    load.SubmitServices(kService, {labelled});
    load.SubmitServices(kService + 1, {MakeStep(38)});
    load.Run(12000);
    for (size_t i = 0; i < 4; i++) {
        load.LoseWorker(i);
    }
    load.Run(12000);
    load.LoseWorker(4);
    load.Run(10000);
    load.ForgetWaits();
    load.Run(40000);
    EXPECT_LE(load.LongestWait(kService + 1), kFailoverMs);
}

/*
 * Guards against two gangs of services, each of which holds places that the
 * other one needs.
 */
TEST(ClaimTest, OneOfTwoGangsRunsWhereBothDoNotFit)
{
    Load load(1, 6);
    Jr__JobStep gang = MakeStep(3, 4000);
    std::vector<size_t> first, second;

    gang.gang = true;
    load.SubmitServices(kService, {gang});
    load.Run(3000);
    load.SubmitServices(kService + 1, {gang});
    load.Run(6000);
    for (size_t i = 0; i < load.fleet.workers.size(); i++) {
        for (const auto &[name, run] : load.fleet.workers[i].running) {
            (name.job == kService ? first : second).push_back(i);
        }
    }
    ASSERT_EQ(first.size(), 3u);
    ASSERT_EQ(second.size(), 3u);
    for (size_t i :
         {first[0], first[1], second[0], second[1], second[2], first[2]}) {
        load.LoseWorker(i);
        load.Run(300);
    }
    load.Run(12000);
    for (size_t i : {first[0], first[1], second[0]}) {
        load.fleet.Replace(i);
    }
    load.Run(20000);
    EXPECT_EQ(load.fleet.Running(kService) + load.fleet.Running(kService + 1),
              3u);
}
