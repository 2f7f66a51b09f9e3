/*
 * Slopes for docs/CAPACITY.md: the cost of one more unit of load in memory,
 * processor time and bytes, measured on the production code in one process.
 * Prints one line for each slope: name, value, unit. Writes the same as JSON
 * lines to the file given as the first argument.
 */
#include <cstdio>
#include <cstring>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/group.h"
#include "jayrelay/relay.h"
#include "ledger/convert.h"
}

namespace {

/* Bytes in use of one context, for its allocator. */
struct MemoryCounter {
    size_t in_use = 0;
};

void *
CountingResize(void *user, void *p, size_t n)
{
    MemoryCounter *counter = static_cast<MemoryCounter *>(user);
    void *q;

    counter->in_use -= p != nullptr ? malloc_usable_size(p) : 0;
    if (n == 0) {
        free(p);
        return nullptr;
    }
    q = realloc(p, n);
    counter->in_use += malloc_usable_size(q);
    return q;
}

double
ProcessCpuUs()
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

FILE *json = nullptr;

void
Report(const char *name, double value, const char *unit)
{
    printf("  %-52s %12.2f  %s\n", name, value, unit);
    if (json != nullptr) {
        fprintf(json, "{\"slope\":\"%s\",\"value\":%.4f,\"unit\":\"%s\"}\n",
                name, value, unit);
    }
}

const char kRules[] = "version 1 # asked for by A\n"
                      "class study rate 50% priority 9 # asked for by A\n";

/*
 * Three replicas of one task group. A message is handled by its receiver
 * within the call that sends it, so the processor time of a replica includes
 * that of the receivers of its messages.
 */
class ReplicaGroup {
  public:
    ReplicaGroup()
    {
        jr_config_t members = {};

        for (int n = 0; n < 3; n++) {
            jr_member_t &m = members.members[members.n++];

            m.id = (uint64_t)n + 1;
            m.voter = true;
            snprintf(m.name, sizeof m.name, "control-%d", n);
        }
        for (int n = 0; n < 3; n++) {
            jr_group_options_t o = {};
            jr_rules_t *rules;

            hook_args_[n] = {this, n};
            ctx_[n] = jr_new_ctx("bench", nullptr);
            ctx_[n]->allocator = {CountingResize, &counters_[n]};
            store_[n] = jr_new_memory_store(ctx_[n]);
            jr_group_init(ctx_[n], store_[n], &members);
            o.kind = JR_GROUP_LEDGER;
            o.quorum = {1,   (uint64_t)n + 1, (uint32_t)n + 1, 1000,
                        100, n == 0};
            o.coord.n_groups = 1;
            o.coord.seed = 1;
            o.coord.max_grants = 256;
            o.coord.lease = {6000, 10};
            o.coord.policy.kind = JR_PLACE_SCORED;
            o.coord.policy.as.scored.candidates = 16;
            o.snapshot_every = UINT64_MAX / 2;
            o.hooks = {OnSend, OnReply, OnRules, &hook_args_[n]};
            group_[n] = jr_new_group(ctx_[n], &o, store_[n], now_);
            rules = jr_new_rules(ctx_[n], kRules, nullptr);
            jr_group_set_rules(group_[n], rules);
            jr_drop_rules(rules);
        }
        while (Leader() < 0) {
            Step(10);
        }
        Step(200);
    }

    ~ReplicaGroup()
    {
        for (int n = 0; n < 3; n++) {
            jr_drop_group(group_[n]);
            jr_drop_store(store_[n]);
            jr_drop_ctx(ctx_[n]);
        }
    }

    int
    Leader()
    {
        for (int n = 0; n < 3; n++) {
            if (jr_quorum_is_caught_up(jr_group_quorum(group_[n]))) {
                return n;
            }
        }
        return -1;
    }

    void
    Step(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end; now_ += 10) {
            for (int n = 0; n < 3; n++) {
                double start_us = ProcessCpuUs();

                jr_group_tick(group_[n], now_);
                jr_group_pump(group_[n], now_);
                cpu_us[n] += ProcessCpuUs() - start_us;
            }
        }
    }

    void
    Request(Jr__Request *request)
    {
        int n = Leader();
        jr_reply_address_t reply_to = {};
        double start_us = ProcessCpuUs();

        request->group = 1;
        bytes_in += jr__request__get_packed_size(request);
        jr_group_request(group_[n], &reply_to, request, now_);
        cpu_us[n] += ProcessCpuUs() - start_us;
    }

    void
    Submit(int k)
    {
        Jr__Request request = JR__REQUEST__INIT;
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        std::string key = "nightly-allocation-" + std::to_string(k);
        char team[] = "laboratory", cls[] = "study";

        need.cpu_milli = 100;
        need.memory_mb = 64;
        spec.key = key.data();
        spec.team = team;
        spec.class_name = cls;
        spec.need = &need;
        submit.spec = &spec;
        command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        request.body_case = JR__REQUEST__BODY_COMMAND;
        request.command = &command;
        Request(&request);
    }

    void
    Heartbeat(const std::string &worker,
              const std::vector<std::pair<uint64_t, uint64_t>> &tasks,
              Jr__WorkerTask__State state)
    {
        Jr__Request request = JR__REQUEST__INIT;
        Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
        Jr__Resources capacity = JR__RESOURCES__INIT;
        std::vector<Jr__WorkerTask> slots(tasks.size());
        std::vector<Jr__WorkerTask *> pointers;
        Jr__Resources used = JR__RESOURCES__INIT;
        std::string name = worker;
        char zone[] = "espoo", rack[] = "rack-12", checkpoint[] = "";

        used.cpu_milli = 100;
        used.memory_mb = 64;
        capacity.cpu_milli = 64000;
        capacity.memory_mb = 250000;
        for (size_t i = 0; i < tasks.size(); i++) {
            jr__worker_task__init(&slots[i]);
            slots[i].task = tasks[i].first;
            slots[i].epoch = tasks[i].second;
            slots[i].state = state;
            slots[i].used = &used;
            slots[i].checkpoint = checkpoint;
            pointers.push_back(&slots[i]);
        }
        heartbeat.worker = name.data();
        heartbeat.zone = zone;
        heartbeat.rack = rack;
        heartbeat.capacity = &capacity;
        heartbeat.n_tasks = pointers.size();
        heartbeat.tasks = pointers.data();
        request.body_case = JR__REQUEST__BODY_HEARTBEAT;
        request.heartbeat = &heartbeat;
        Request(&request);
    }

    /* Pairs of id and epoch of the tasks leased to a worker. */
    std::vector<std::pair<uint64_t, uint64_t>>
    LeasedTasks(const std::string &worker)
    {
        std::vector<std::pair<uint64_t, uint64_t>> tasks;
        jr_worker_leases_t *leases = jr_ledger_worker_leases(
            jr_group_ledger(group_[Leader()]), worker.c_str());
        jr_task_t *task;

        if (leases != nullptr) {
            TAILQ_FOREACH (task, &leases->tasks, on_worker) {
                tasks.emplace_back(task->id, task->epoch);
            }
        }
        return tasks;
    }

    void
    Reset()
    {
        bytes_in = bytes_out = quorum_bytes = quorum_messages = 0;
        cpu_us[0] = cpu_us[1] = cpu_us[2] = 0;
    }

    size_t
    Memory(int n) const
    {
        return counters_[n].in_use;
    }
    uint64_t
    LastIndex(int n)
    {
        return jr_quorum_last(jr_group_quorum(group_[n]));
    }
    jr_ledger_t *
    Ledger(int n)
    {
        return jr_group_ledger(group_[n]);
    }
    jr_ctx_t *
    Ctx(int n)
    {
        return ctx_[n];
    }

    double cpu_us[3] = {};
    size_t bytes_in = 0, bytes_out = 0;
    size_t quorum_bytes = 0, quorum_messages = 0;

  private:
    struct HookArgs {
        ReplicaGroup *group;
        int node;
    };

    static void
    OnSend(void *user, const jr_member_t *to, const uint8_t *b, size_t len)
    {
        ReplicaGroup *group = static_cast<HookArgs *>(user)->group;
        int n = (int)to->id - 1;

        group->quorum_bytes += len;
        group->quorum_messages++;
        jr_group_receive(group->group_[n], b, len, group->now_);
    }

    static void
    OnReply(void *user, const jr_reply_address_t *reply_to, Jr__Reply *reply)
    {
        ReplicaGroup *group = static_cast<HookArgs *>(user)->group;

        (void)reply_to;
        group->bytes_out += jr__reply__get_packed_size(reply);
    }

    static void
    OnRules(void *user, uint64_t version, const char *text)
    {
        (void)user;
        (void)version;
        (void)text;
    }

    int64_t now_ = 1000;
    HookArgs hook_args_[3];
    MemoryCounter counters_[3];
    jr_ctx_t *ctx_[3];
    jr_store_t *store_[3];
    jr_group_t *group_[3];
};

void
MeasureIdle()
{
    ReplicaGroup group;

    group.Reset();
    group.Step(60000);
    Report("idle group: messages a second, all replicas",
           (double)group.quorum_messages / 60, "1/s");
    Report("idle group: bytes a second, all replicas",
           (double)group.quorum_bytes / 60, "B/s");
    Report("idle group: processor of its leader",
           group.cpu_us[group.Leader()] / 60, "us/s");
}

void
MeasureTaskLifecycle(int tasks)
{
    constexpr int kWorkers = 200;
    ReplicaGroup group;
    std::vector<std::string> workers;
    int leader = group.Leader();
    int follower = (leader + 1) % 3;
    size_t before, index_before;

    for (int w = 0; w < kWorkers; w++) {
        workers.push_back("host-" + std::to_string(w) + ".espoo/1a2b3c");
        group.Heartbeat(workers.back(), {}, JR__WORKER_TASK__STATE__RUNNING);
    }
    group.Step(300);
    before = group.Memory(follower);
    index_before = group.LastIndex(follower);
    group.Reset();
    for (int k = 0; k < tasks; k++) {
        group.Submit(k);
        if (k % 100 == 99) {
            group.Step(10);
        }
    }
    group.Step(tasks / 20);
    Report("task: log entries to submit and start it",
           (double)(group.LastIndex(follower) - index_before) / tasks,
           "entries");
    Report("task: leader's processor to submit and start it",
           group.cpu_us[leader] / tasks, "us");
    Report("task: a follower's processor to submit and start it",
           group.cpu_us[follower] / tasks, "us");
    Report("task: bytes from the leader to one follower",
           (double)group.quorum_bytes / 2 / tasks, "B");
    Report("task: a replica's memory, state and log",
           (double)(group.Memory(follower) - before) / tasks, "B");

    /* Each worker reports its leased tasks as running, five times. */
    std::vector<std::vector<std::pair<uint64_t, uint64_t>>> leased;
    size_t reported = 0;

    for (const std::string &worker : workers) {
        leased.push_back(group.LeasedTasks(worker));
        reported += leased.back().size();
    }
    group.Reset();
    for (int round = 0; round < 5; round++) {
        for (int w = 0; w < kWorkers; w++) {
            group.Heartbeat(workers[(size_t)w], leased[(size_t)w],
                            JR__WORKER_TASK__STATE__RUNNING);
        }
        group.Step(200);
    }
    double heartbeats = 5.0 * kWorkers;
    double tasks_per_worker = (double)reported / kWorkers;

    Report("heartbeat: tasks in each", tasks_per_worker, "tasks");
    Report("heartbeat: leader's processor", group.cpu_us[leader] / heartbeats,
           "us");
    Report("heartbeat: bytes to the leader",
           (double)group.bytes_in / heartbeats, "B");
    Report("heartbeat: bytes back", (double)group.bytes_out / heartbeats, "B");

    /* All workers report their tasks as done. */
    group.Reset();
    for (int w = 0; w < kWorkers; w++) {
        group.Heartbeat(workers[(size_t)w], leased[(size_t)w],
                        JR__WORKER_TASK__STATE__DONE);
    }
    group.Step(500);
    Report("task: leader's processor to end it",
           group.cpu_us[leader] / (double)reported, "us");
}

void
MeasureHeartbeats()
{
    for (int n : {0, 8, 32}) {
        ReplicaGroup group;
        int leader = group.Leader();
        std::string worker = "host-" + std::to_string(n) + ".espoo/1a2b3c";
        std::vector<std::pair<uint64_t, uint64_t>> leased;

        group.Heartbeat(worker, {}, JR__WORKER_TASK__STATE__RUNNING);
        group.Step(200);
        for (int k = 0; k < n; k++) {
            group.Submit(n * 1000 + k);
        }
        group.Step(500);
        leased = group.LeasedTasks(worker);
        group.Reset();
        for (int round = 0; round < 2000; round++) {
            group.Heartbeat(worker, leased, JR__WORKER_TASK__STATE__RUNNING);
            if (round % 100 == 99) {
                group.Step(100);
            }
        }
        std::string name =
            "heartbeat with " + std::to_string(leased.size()) + " tasks: ";

        Report((name + "leader's processor").c_str(),
               group.cpu_us[leader] / 2000, "us");
        Report((name + "bytes in").c_str(), (double)group.bytes_in / 2000,
               "B");
        Report((name + "bytes out").c_str(), (double)group.bytes_out / 2000,
               "B");
    }
}

void
MeasureSnapshot(int tasks)
{
    ReplicaGroup group;
    jr_ledger_t *ledger;
    jr_ledger_t *copy;
    uint8_t *bytes;
    size_t len;
    double start_us;

    for (int k = 0; k < tasks; k++) {
        group.Submit(k);
        if (k % 1000 == 999) {
            group.Step(10);
        }
    }
    group.Step(200);
    ledger = group.Ledger(group.Leader());
    start_us = ProcessCpuUs();
    bytes = jr_ledger_save(ledger, &len);
    Report("snapshot: processor for 1,000 tasks",
           (ProcessCpuUs() - start_us) * 1000 / tasks, "us");
    Report("snapshot: bytes a task", (double)len / tasks, "B");
    copy = jr_new_ledger(group.Ctx(0), 1);
    start_us = ProcessCpuUs();
    jr_ledger_load(copy, bytes, len);
    Report("restore: processor for 1,000 tasks",
           (ProcessCpuUs() - start_us) * 1000 / tasks, "us");
    jr_drop_ledger(copy);
    jr_free(group.Ctx(group.Leader()), bytes);
}

void
MeasureUpstreams()
{
    MemoryCounter counter;
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    constexpr int kUpstreams = 10000;

    ctx->allocator = {CountingResize, &counter};
    jr_upstreams_t *upstreams = jr_new_upstreams(ctx, "a");
    size_t before = counter.in_use;
    double start_us = ProcessCpuUs();

    for (int round = 1; round <= 5; round++) {
        for (int i = 0; i < kUpstreams; i++) {
            std::string name = "executor-" + std::to_string(i);
            jr_announcement_t a = {};

            a.name = name.c_str();
            a.address = "10.1.2.3:8080";
            a.zone = "a";
            a.rack = "r";
            a.service = "advice";
            a.slots = 8;
            a.connections = 64;
            a.sequence = (uint64_t)round;
            jr_upstreams_apply(upstreams, &a, 0, nullptr);
        }
    }
    Report("upstream: processor of an announcement",
           (ProcessCpuUs() - start_us) / (5 * kUpstreams), "us");
    Report("upstream: memory in an entry process",
           (double)(counter.in_use - before) / kUpstreams, "B");
    jr_drop_upstreams(upstreams);
    jr_drop_ctx(ctx);
}

void
MeasureRules()
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    std::string text = "version 1 # asked for by A\n";
    double start_us;

    for (int i = 0; i < 620; i++) {
        text += "team team-" + std::to_string(i) +
                " cpu 200 memory 800G tasks 5000 # asked for by finance\n";
    }
    start_us = ProcessCpuUs();
    for (int i = 0; i < 20; i++) {
        jr_drop_rules(jr_new_rules(ctx, text.c_str(), nullptr));
    }
    Report("rules: processor to check 621 rules",
           (ProcessCpuUs() - start_us) / 20, "us");
    Report("rules: bytes of 621 rules", (double)text.size(), "B");
    jr_drop_ctx(ctx);
}

} // namespace

int
main(int argc, char **argv)
{
    json = argc > 1 ? fopen(argv[1], "w") : nullptr;
    printf("slopes on this machine\n");
    MeasureIdle();
    MeasureTaskLifecycle(20000);
    MeasureHeartbeats();
    MeasureSnapshot(100000);
    MeasureUpstreams();
    MeasureRules();
    if (json != nullptr) {
        fclose(json);
    }
    return 0;
}
