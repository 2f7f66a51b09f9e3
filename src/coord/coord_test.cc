/* Leases, placement, eviction and quarantine by the leader of a group. */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/coord.h"
#include "ledger/convert.h"
}

namespace {

const char kRules[] = "version 1 # asked for by A\n"
                      "class study rate 60% priority 10 # asked for by A\n"
                      "class watch rate 10% priority 50 # asked for by A\n"
                      "team small cpu 2 tasks 5 # asked for by A\n";

constexpr int64_t kLeaseMs = 1000;

struct Reported {
    uint64_t task;
    uint64_t epoch;
    Jr__WorkerTask__State state;
    uint32_t used_cpu;
};

class CoordTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_coord_options_t options = {};

        ctx_ = jr_new_ctx("test", nullptr);
        ledger_ = jr_new_ledger(ctx_, 1);
        options.n_groups = 1;
        options.seed = 1;
        options.max_grants = 100;
        options.lease.lease_ms = kLeaseMs;
        options.lease.drift_permille = 10;
        options.policy.kind = JR_PLACE_SCORED;
        options.policy.as.scored.candidates = 8;
        options.evict = JR_EVICT_CHEAPEST;
        coord_ = jr_new_coord(ctx_, &options, ledger_);
        rules_ = jr_new_rules(ctx_, kRules, nullptr);
        jr_coord_set_rules(coord_, rules_);
        jr_coord_lead(coord_, now_);
    }

    void
    TearDown() override
    {
        jr_coord_resign(coord_);
        jr_drop_coord(coord_);
        jr_drop_ledger(ledger_);
        jr_drop_rules(rules_);
        jr_drop_ctx(ctx_);
    }

    jr_ledger_result_t
    Apply(Jr__LedgerCommand *command)
    {
        size_t len;
        uint8_t *bytes = jr_command_pack(ctx_, command, now_, &len);
        jr_ledger_result_t result = jr_ledger_apply(ledger_, bytes, len);

        jr_free(ctx_, bytes);
        jr_coord_applied(coord_, &result);
        return result;
    }

    void
    ApplyDecisions()
    {
        Jr__LedgerCommand *command;

        while (jr_coord_take_command(coord_, &command)) {
            Apply(command);
        }
    }

    void
    Tick(int64_t ms)
    {
        now_ += ms;
        jr_coord_tick(coord_, now_);
        ApplyDecisions();
    }

    uint64_t
    Submit(std::string cls, uint32_t cpu, std::string team = "big")
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        std::string key = "key-" + std::to_string(++keys_);

        need.cpu_milli = cpu;
        need.memory_mb = 100;
        spec.key = key.data();
        spec.team = team.data();
        spec.class_name = cls.data();
        spec.need = &need;
        submit.spec = &spec;
        command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        return Apply(&command).task->id;
    }

    /* Sends a heartbeat; returns the assigned actions by task id. */
    std::map<uint64_t, int>
    Heartbeat(std::string worker, uint32_t cpu,
              std::vector<Reported> reported = {})
    {
        Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
        Jr__Resources capacity = JR__RESOURCES__INIT;
        std::vector<Jr__WorkerTask> tasks(reported.size());
        std::vector<Jr__Resources> used(reported.size());
        std::vector<Jr__WorkerTask *> pointers;
        std::map<uint64_t, int> actions;
        Jr__HeartbeatReply *reply;

        capacity.cpu_milli = cpu;
        capacity.memory_mb = 100000;
        for (size_t i = 0; i < reported.size(); i++) {
            jr__worker_task__init(&tasks[i]);
            jr__resources__init(&used[i]);
            used[i].cpu_milli = reported[i].used_cpu;
            tasks[i].task = reported[i].task;
            tasks[i].epoch = reported[i].epoch;
            tasks[i].state = reported[i].state;
            tasks[i].used = &used[i];
            pointers.push_back(&tasks[i]);
        }
        Jr__ServiceSeen seen = JR__SERVICE_SEEN__INIT;
        Jr__ServiceSeen *all[] = {&seen};
        char service[] = "advice";

        seen.service = service;
        seen.slowdown_permille = slowdown_permille_;
        heartbeat.n_services_seen = slowdown_permille_ > 0;
        heartbeat.services_seen = all;
        heartbeat.worker = worker.data();
        heartbeat.capacity = &capacity;
        heartbeat.n_tasks = pointers.size();
        heartbeat.tasks = pointers.data();
        reply = jr_coord_heartbeat(coord_, &heartbeat, now_);
        EXPECT_NE(reply, nullptr);
        last_lease_ = reply->lease_ms;
        for (size_t i = 0; i < reply->n_tasks; i++) {
            actions[reply->tasks[i]->task] = reply->tasks[i]->action;
        }
        jr__heartbeat_reply__free_unpacked(reply, nullptr);
        ApplyDecisions();
        return actions;
    }

    jr_task_t *
    Task(uint64_t id)
    {
        return jr_ledger_task(ledger_, id);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_ledger_t *ledger_ = nullptr;
    jr_coord_t *coord_ = nullptr;
    jr_rules_t *rules_ = nullptr;
    int64_t now_ = 100000;
    int keys_ = 0;
    int64_t last_lease_ = 0;
    uint32_t slowdown_permille_ = 0; /* of the service on each host */
};

constexpr int kRun = JR__ASSIGNMENT__ACTION__RUN;
constexpr int kStop = JR__ASSIGNMENT__ACTION__STOP;
constexpr int kThrottle = JR__ASSIGNMENT__ACTION__THROTTLE;
constexpr int kForget = JR__ASSIGNMENT__ACTION__FORGET;
constexpr auto kRunning = JR__WORKER_TASK__STATE__RUNNING;
constexpr auto kDone = JR__WORKER_TASK__STATE__DONE;
constexpr auto kBroken = JR__WORKER_TASK__STATE__BROKEN;
constexpr auto kStopped = JR__WORKER_TASK__STATE__STOPPED;

TEST_F(CoordTest, HostCapacityIsNeverExceeded)
{
    for (int i = 0; i < 20; i++) {
        Submit("study", 1500);
    }
    Heartbeat("h1/1", 4000);
    Heartbeat("h2/1", 8000);
    for (int i = 0; i < 5; i++) {
        Tick(10);
    }
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h1/1")->n, 2u);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h2/1")->n, 5u);
}

TEST_F(CoordTest, MeasuredUseCountsWhenLargerThanDeclared)
{
    uint64_t first = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    Heartbeat("h1/1", 4000, {{first, 1, kRunning, 3500}});
    Submit("study", 1000);
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h1/1")->n, 1u);
}

TEST_F(CoordTest, AGrantIsSentUntilTheWorkerReportsIt)
{
    uint64_t id = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    EXPECT_EQ(Heartbeat("h1/1", 4000)[id], kRun);
    EXPECT_EQ(Heartbeat("h1/1", 4000)[id], kRun);
    EXPECT_EQ(Heartbeat("h1/1", 4000, {{id, 1, kRunning, 0}})[id], kRun);
    Heartbeat("h1/1", 4000, {{id, 1, kDone, 0}});
    EXPECT_EQ(Task(id)->state, JR_TASK_FINISHED);
    EXPECT_EQ(Heartbeat("h1/1", 4000, {{id, 1, kDone, 0}})[id], kForget);
}

TEST_F(CoordTest, TasksOfASilentWorkerExpireAfterLeaseAndDrift)
{
    uint64_t id = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    Heartbeat("h1/1", 4000);
    Tick(kLeaseMs);
    EXPECT_EQ(Task(id)->state, JR_TASK_LEASED);
    Tick(5);
    EXPECT_EQ(Task(id)->state, JR_TASK_LEASED);
    Tick(30);
    EXPECT_EQ(Task(id)->state, JR_TASK_QUEUED);
    /* The worker returns after its lease expired and must drop the task. */
    EXPECT_EQ(Heartbeat("h1/1", 4000, {{id, 1, kRunning, 0}})[id], kForget);
}

TEST_F(CoordTest, ANewLeaderStartsLeasesAtItsElection)
{
    uint64_t id = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    now_ += 5000;
    jr_coord_resign(coord_);
    jr_coord_lead(coord_, now_);
    Tick(kLeaseMs);
    EXPECT_EQ(Task(id)->state, JR_TASK_LEASED);
    Tick(40);
    EXPECT_EQ(Task(id)->state, JR_TASK_QUEUED);
}

TEST_F(CoordTest, ARestartedWorkerGetsNoTasksUntilThoseOfTheOldOneExpire)
{
    uint64_t id = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    Submit("study", 1000);
    EXPECT_TRUE(Heartbeat("h1/2", 4000).empty());
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h1/2"), nullptr);
    Tick(kLeaseMs + 40);
    EXPECT_EQ(Task(id)->state, JR_TASK_QUEUED);
    Heartbeat("h1/2", 4000);
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h1/2")->n, 2u);
}

TEST_F(CoordTest, CancelStopsARunningTask)
{
    uint64_t id = Submit("study", 1000);
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    Jr__Cancel cancel = JR__CANCEL__INIT;

    Heartbeat("h1/1", 4000);
    Tick(10);
    cancel.task = id;
    command.body_case = JR__LEDGER_COMMAND__BODY_CANCEL;
    command.cancel = &cancel;
    Apply(&command);
    EXPECT_EQ(Heartbeat("h1/1", 4000)[id], kStop);
    Heartbeat("h1/1", 4000, {{id, 1, kStopped, 0}});
    EXPECT_EQ(Task(id)->state, JR_TASK_CANCELLED);
}

TEST_F(CoordTest, OverloadEvictsOneTaskAndRequeuesIt)
{
    uint64_t a = Submit("study", 1000);
    uint64_t b = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    std::vector<Reported> noisy = {{a, 1, kRunning, 3000},
                                   {b, 1, kRunning, 3000}};
    Heartbeat("h1/1", 4000, noisy);
    EXPECT_EQ(ctx_->counters[JR_C_EVICTIONS], 0u);
    now_ += 100;
    Heartbeat("h1/1", 4000, noisy);
    EXPECT_EQ(ctx_->counters[JR_C_EVICTIONS], 1u);
    std::map<uint64_t, int> actions = Heartbeat("h1/1", 4000, noisy);
    uint64_t victim = actions[a] == kStop ? a : b;

    EXPECT_EQ((actions[a] == kStop) + (actions[b] == kStop), 1);
    Heartbeat("h1/1", 4000, {{victim, 1, kStopped, 0}});
    EXPECT_EQ(Task(victim)->state, JR_TASK_QUEUED);
    EXPECT_EQ(Task(victim)->epoch, 1u);
}

/* A measured use above the host's capacity must not prevent placement. */
TEST_F(CoordTest, ATaskThatUsedAWholeHostRunsAgain)
{
    uint64_t id = Submit("study", 1000);

    Heartbeat("h1/1", 4000);
    Tick(10);
    Heartbeat("h1/1", 4000, {{id, 1, kRunning, 4500}});
    Heartbeat("h1/1", 4000, {{id, 1, kStopped, 4500}});
    EXPECT_EQ(Task(id)->state, JR_TASK_QUEUED);
    EXPECT_EQ(Task(id)->measured.cpu_milli, 4500);
    Heartbeat("h1/1", 4000);
    Tick(10);
    EXPECT_EQ(Task(id)->state, JR_TASK_LEASED);
}

/* Throttles first and evicts only after the measurement lag. */
TEST_F(CoordTest, TheGuardThrottlesBeforeItEvicts)
{
    uint64_t id = Submit("study", 1000);
    std::vector<Reported> running = {{id, 1, kRunning, 1000}};
    std::vector<int> actions;

    Heartbeat("h1/1", 4000);
    Tick(10);
    slowdown_permille_ = 4000;
    for (int s = 0; s < 60; s++) {
        int action = Heartbeat("h1/1", 4000, running)[id];

        if (actions.empty() || actions.back() != action) {
            actions.push_back(action);
        }
        now_ += 500;
    }
    EXPECT_EQ(actions, (std::vector<int>{kRun, kThrottle, kStop}));
    EXPECT_EQ(ctx_->counters[JR_C_EVICTIONS], 1u);
    EXPECT_EQ(ctx_->counters[JR_C_THROTTLES], 1u);
}

TEST_F(CoordTest, TheGuardUnthrottlesWithHysteresis)
{
    uint64_t id = Submit("study", 1000);
    std::vector<Reported> running = {{id, 1, kRunning, 1000}};
    double limit = jr_place_slowdown_limit(rules_);

    Heartbeat("h1/1", 4000);
    Tick(10);
    slowdown_permille_ = 4000;
    for (int s = 0; s < 25; s++, now_ += 500) {
        Heartbeat("h1/1", 4000, running);
    }
    EXPECT_EQ(Heartbeat("h1/1", 4000, running)[id], kThrottle);
    /* Just below the limit, the task stays throttled. */
    slowdown_permille_ = (uint32_t)(1000 * (limit - 0.1));
    for (int s = 0; s < 60; s++, now_ += 500) {
        EXPECT_EQ(Heartbeat("h1/1", 4000, running)[id], kThrottle);
    }
    slowdown_permille_ = 1000;
    Heartbeat("h1/1", 4000, running);
    EXPECT_EQ(Heartbeat("h1/1", 4000, running)[id], kRun);
    EXPECT_EQ(ctx_->counters[JR_C_EVICTIONS], 0u);
}

TEST_F(CoordTest, AWorkerWithRepeatedFailuresIsQuarantined)
{
    std::vector<uint64_t> ids;

    for (int i = 0; i < 3; i++) {
        ids.push_back(Submit("study", 1000));
    }
    Heartbeat("bad/1", 4000);
    Tick(10);
    Heartbeat("bad/1", 4000,
              {{ids[0], 1, kBroken, 0},
               {ids[1], 1, kBroken, 0},
               {ids[2], 1, kBroken, 0}});
    EXPECT_EQ(ctx_->counters[JR_C_QUARANTINES], 1u);
    Heartbeat("bad/1", 4000);
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "bad/1"), nullptr);
    Heartbeat("good/1", 4000);
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "good/1")->n, 3u);
}

TEST_F(CoordTest, PaidShareTakesPrecedenceOverPriority)
{
    for (int i = 0; i < 20; i++) {
        Submit("study", 1000);
        Submit("watch", 1000);
    }
    Heartbeat("h1/1", 10000);
    Tick(10);
    int study = 0;
    jr_task_t *task;

    TAILQ_FOREACH (task, &jr_ledger_worker_leases(ledger_, "h1/1")->tasks,
                   on_worker) {
        study += strcmp(task->spec.class_name, "study") == 0;
    }
    /* study gets its paid 60 %, watch its 10 % and the rest by priority. */
    EXPECT_EQ(study, 6);
}

TEST_F(CoordTest, QuotaLimitsLeasesAndSubmissions)
{
    Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
    char team[] = "small", cls[] = "study", none[] = "none";

    for (int i = 0; i < 5; i++) {
        Submit("study", 1000, "small");
    }
    Heartbeat("h1/1", 10000);
    Tick(10);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "h1/1")->n, 2u);
    spec.team = team;
    spec.class_name = cls;
    EXPECT_EQ(jr_coord_check_submit(coord_, &spec), JR_QUOTA);
    spec.class_name = none;
    EXPECT_EQ(jr_coord_check_submit(coord_, &spec), JR_BAD_REQUEST);
}

TEST_F(CoordTest, ATaskTooLargeForAnyHostBecomesImpossible)
{
    uint64_t id = Submit("study", 64000);

    Heartbeat("h1/1", 4000);
    for (int i = 0; i < 40; i++) {
        Tick(900);
        Heartbeat("h1/1", 4000);
    }
    EXPECT_EQ(Task(id)->state, JR_TASK_IMPOSSIBLE);
    EXPECT_STREQ(Task(id)->result, "no worker of this group is large enough");
}

TEST_F(CoordTest, AnInvalidHeartbeatIsRefused)
{
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Resources capacity = JR__RESOURCES__INIT;
    char name[] = "/x";

    EXPECT_EQ(jr_coord_heartbeat(coord_, &heartbeat, now_), nullptr);
    heartbeat.worker = name;
    heartbeat.capacity = &capacity;
    EXPECT_EQ(jr_coord_heartbeat(coord_, &heartbeat, now_), nullptr);
    EXPECT_EQ(ctx_->counters[JR_C_HEARTBEAT_BAD], 2u);
}

} // namespace
