/*
 * Slopes for docs/CAPACITY.md: memory, processor time and bytes for each
 * unit of load, measured on the production code in one process. Prints one
 * line a slope: name, value, unit.
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

/* An allocator that counts what is in use. */
struct Counted {
    size_t in_use = 0;
};

void *
CountedResize(void *user, void *p, size_t n)
{
    Counted *counted = static_cast<Counted *>(user);
    void *q;

    counted->in_use -= p != nullptr ? malloc_usable_size(p) : 0;
    if (n == 0) {
        free(p);
        return nullptr;
    }
    q = realloc(p, n);
    counted->in_use += malloc_usable_size(q);
    return q;
}

double
CpuUs()
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

FILE *json = nullptr;

void
Say(const char *name, double value, const char *unit)
{
    printf("  %-52s %12.2f  %s\n", name, value, unit);
    if (json != nullptr) {
        fprintf(json, "{\"slope\":\"%s\",\"value\":%.4f,\"unit\":\"%s\"}\n",
                name, value, unit);
    }
}

const char kRules[] = "version 1 # asked for by A\n"
                      "class study rate 50% priority 9 # asked for by A\n";

/* Three replicas of one group that exchange messages without delay. */
class Trio {
  public:
    Trio()
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

            hooks_[n] = {this, n};
            ctx_[n] = jr_new_ctx("bench", nullptr);
            ctx_[n]->allocator = {CountedResize, &counted_[n]};
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
            o.hooks = {OnSend, OnReply, OnRules, &hooks_[n]};
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

    ~Trio()
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
                double from = CpuUs();

                jr_group_tick(group_[n], now_);
                jr_group_pump(group_[n], now_);
                cpu_us[n] += CpuUs() - from;
            }
        }
    }

    void
    Request(Jr__Request *request)
    {
        int n = Leader();
        jr_reply_address_t reply_to = {};
        double from = CpuUs();

        request->group = 1;
        bytes_in += jr__request__get_packed_size(request);
        jr_group_request(group_[n], &reply_to, request, now_);
        cpu_us[n] += CpuUs() - from;
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

    /* The tasks leased to a worker, with their epochs. */
    std::vector<std::pair<uint64_t, uint64_t>>
    Held(const std::string &worker)
    {
        std::vector<std::pair<uint64_t, uint64_t>> tasks;
        jr_holding_t *holding = jr_ledger_holding(
            jr_group_ledger(group_[Leader()]), worker.c_str());
        jr_task_t *task;

        if (holding != nullptr) {
            TAILQ_FOREACH (task, &holding->tasks, on_worker) {
                tasks.emplace_back(task->id, task->epoch);
            }
        }
        return tasks;
    }

    void
    Reset()
    {
        bytes_in = bytes_out = bytes_quorum = n_quorum = 0;
        cpu_us[0] = cpu_us[1] = cpu_us[2] = 0;
    }

    size_t
    Memory(int n) const
    {
        return counted_[n].in_use;
    }
    uint64_t
    Log(int n)
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
    size_t bytes_in = 0, bytes_out = 0, bytes_quorum = 0, n_quorum = 0;

  private:
    struct Hook {
        Trio *trio;
        int node;
    };

    static void
    OnSend(void *user, const jr_member_t *to, const uint8_t *b, size_t len)
    {
        Trio *t = static_cast<Hook *>(user)->trio;
        int n = (int)to->id - 1;

        t->bytes_quorum += len;
        t->n_quorum++;
        jr_group_receive(t->group_[n], b, len, t->now_);
    }

    static void
    OnReply(void *user, const jr_reply_address_t *reply_to, Jr__Reply *reply)
    {
        Trio *t = static_cast<Hook *>(user)->trio;

        (void)reply_to;
        t->bytes_out += jr__reply__get_packed_size(reply);
    }

    static void
    OnRules(void *user, uint64_t version, const char *text)
    {
        (void)user;
        (void)version;
        (void)text;
    }

    int64_t now_ = 1000;
    Hook hooks_[3];
    Counted counted_[3];
    jr_ctx_t *ctx_[3];
    jr_store_t *store_[3];
    jr_group_t *group_[3];
};

void
Idle()
{
    Trio trio;

    trio.Reset();
    trio.Step(60000);
    Say("idle group: messages a second, all replicas",
        (double)trio.n_quorum / 60, "1/s");
    Say("idle group: bytes a second, all replicas",
        (double)trio.bytes_quorum / 60, "B/s");
    Say("idle group: processor of its leader", trio.cpu_us[trio.Leader()] / 60,
        "us/s");
}

void
TaskLife(int tasks)
{
    constexpr int kWorkers = 200;
    Trio trio;
    std::vector<std::string> workers;
    int leader = trio.Leader();
    int follower = (leader + 1) % 3;
    size_t before, log_before;

    for (int w = 0; w < kWorkers; w++) {
        workers.push_back("host-" + std::to_string(w) + ".espoo/1a2b3c");
        trio.Heartbeat(workers.back(), {}, JR__WORKER_TASK__STATE__RUNNING);
    }
    trio.Step(300);
    before = trio.Memory(follower);
    log_before = trio.Log(follower);
    trio.Reset();
    for (int k = 0; k < tasks; k++) {
        trio.Submit(k);
        if (k % 100 == 99) {
            trio.Step(10);
        }
    }
    trio.Step(tasks / 20);
    Say("task: log entries to submit and start it",
        (double)(trio.Log(follower) - log_before) / tasks, "entries");
    Say("task: leader's processor to submit and start it",
        trio.cpu_us[leader] / tasks, "us");
    Say("task: a follower's processor to submit and start it",
        trio.cpu_us[follower] / tasks, "us");
    Say("task: bytes from the leader to one follower",
        (double)trio.bytes_quorum / 2 / tasks, "B");
    Say("task: a replica's memory, state and log",
        (double)(trio.Memory(follower) - before) / tasks, "B");

    /* Each worker reports the tasks it holds as running, a few rounds. */
    std::vector<std::vector<std::pair<uint64_t, uint64_t>>> held;
    size_t reported = 0;

    for (const std::string &worker : workers) {
        held.push_back(trio.Held(worker));
        reported += held.back().size();
    }
    trio.Reset();
    for (int round = 0; round < 5; round++) {
        for (int w = 0; w < kWorkers; w++) {
            trio.Heartbeat(workers[(size_t)w], held[(size_t)w],
                           JR__WORKER_TASK__STATE__RUNNING);
        }
        trio.Step(200);
    }
    double beats = 5.0 * kWorkers;
    double tasks_each = (double)reported / kWorkers;

    Say("heartbeat: tasks in each", tasks_each, "tasks");
    Say("heartbeat: leader's processor", trio.cpu_us[leader] / beats, "us");
    Say("heartbeat: bytes to the leader", (double)trio.bytes_in / beats, "B");
    Say("heartbeat: bytes back", (double)trio.bytes_out / beats, "B");

    /* All are done. */
    trio.Reset();
    for (int w = 0; w < kWorkers; w++) {
        trio.Heartbeat(workers[(size_t)w], held[(size_t)w],
                       JR__WORKER_TASK__STATE__DONE);
    }
    trio.Step(500);
    Say("task: leader's processor to end it",
        trio.cpu_us[leader] / (double)reported, "us");
}

void
Heartbeats()
{
    for (int n : {0, 8, 32}) {
        Trio trio;
        int leader = trio.Leader();
        std::string worker = "host-" + std::to_string(n) + ".espoo/1a2b3c";
        std::vector<std::pair<uint64_t, uint64_t>> held;

        trio.Heartbeat(worker, {}, JR__WORKER_TASK__STATE__RUNNING);
        trio.Step(200);
        for (int k = 0; k < n; k++) {
            trio.Submit(n * 1000 + k);
        }
        trio.Step(500);
        held = trio.Held(worker);
        trio.Reset();
        for (int round = 0; round < 2000; round++) {
            trio.Heartbeat(worker, held, JR__WORKER_TASK__STATE__RUNNING);
            if (round % 100 == 99) {
                trio.Step(100);
            }
        }
        std::string name =
            "heartbeat with " + std::to_string(held.size()) + " tasks: ";

        Say((name + "leader's processor").c_str(), trio.cpu_us[leader] / 2000,
            "us");
        Say((name + "bytes in").c_str(), (double)trio.bytes_in / 2000, "B");
        Say((name + "bytes out").c_str(), (double)trio.bytes_out / 2000, "B");
    }
}

void
Snapshot(int tasks)
{
    Trio trio;
    jr_ledger_t *ledger;
    jr_ledger_t *copy;
    uint8_t *bytes;
    size_t len;
    double from;

    for (int k = 0; k < tasks; k++) {
        trio.Submit(k);
        if (k % 1000 == 999) {
            trio.Step(10);
        }
    }
    trio.Step(200);
    ledger = trio.Ledger(trio.Leader());
    from = CpuUs();
    bytes = jr_ledger_save(ledger, &len);
    Say("snapshot: processor for 1,000 tasks", (CpuUs() - from) * 1000 / tasks,
        "us");
    Say("snapshot: bytes a task", (double)len / tasks, "B");
    copy = jr_new_ledger(trio.Ctx(0), 1);
    from = CpuUs();
    jr_ledger_load(copy, bytes, len);
    Say("restore: processor for 1,000 tasks", (CpuUs() - from) * 1000 / tasks,
        "us");
    jr_drop_ledger(copy);
    jr_free(trio.Ctx(trio.Leader()), bytes);
}

void
Upstreams()
{
    Counted counted;
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    constexpr int kUpstreams = 10000;

    ctx->allocator = {CountedResize, &counted};
    jr_upstreams_t *upstreams = jr_new_upstreams(ctx, "a");
    size_t before = counted.in_use;
    double from = CpuUs();

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
    Say("upstream: processor of an announcement",
        (CpuUs() - from) / (5 * kUpstreams), "us");
    Say("upstream: memory in an entry process",
        (double)(counted.in_use - before) / kUpstreams, "B");
    jr_drop_upstreams(upstreams);
    jr_drop_ctx(ctx);
}

void
Rules()
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    std::string text = "version 1 # asked for by A\n";
    double from;

    for (int i = 0; i < 620; i++) {
        text += "team team-" + std::to_string(i) +
                " cpu 200 memory 800G tasks 5000 # asked for by finance\n";
    }
    from = CpuUs();
    for (int i = 0; i < 20; i++) {
        jr_drop_rules(jr_new_rules(ctx, text.c_str(), nullptr));
    }
    Say("rules: processor to check 621 rules", (CpuUs() - from) / 20, "us");
    Say("rules: bytes of 621 rules", (double)text.size(), "B");
    jr_drop_ctx(ctx);
}

} // namespace

int
main(int argc, char **argv)
{
    json = argc > 1 ? fopen(argv[1], "w") : nullptr;
    printf("slopes on this machine\n");
    Idle();
    TaskLife(20000);
    Heartbeats();
    Snapshot(100000);
    Upstreams();
    Rules();
    if (json != nullptr) {
        fclose(json);
    }
    return 0;
}
