/* Cost of each hot-path decision by problem size. */
#include <benchmark/benchmark.h>

#include <string>
#include <unistd.h>
#include <vector>

extern "C" {
#include "jayrelay/coord.h"
#include "jayrelay/relay.h"
#include "jayrelay/store.h"
#include "ledger/convert.h"
}

namespace {

constexpr int64_t kLeaseMs = 6000;

/* A ledger and its coordinator, with workers and queued tasks. */
class Cluster {
  public:
    Cluster(int workers, int queued, int cores)
        : ctx_(jr_new_ctx("bench", nullptr)), ledger_(jr_new_ledger(ctx_, 1))
    {
        jr_coord_options_t options = {};

        options.n_groups = 1;
        options.seed = 1;
        options.max_grants = 1;
        options.lease = {kLeaseMs, 10};
        options.policy.kind = JR_PLACE_SCORED;
        options.policy.as.scored.candidates = 16;
        coord_ = jr_new_coord(ctx_, &options, ledger_);
        rules_ = jr_new_rules(ctx_,
                              "version 1 # asked for by A\n"
                              "class study rate 50% priority 9 # asked for "
                              "by A\n",
                              nullptr);
        jr_coord_set_rules(coord_, rules_);
        jr_coord_lead(coord_, now_);
        for (int w = 0; w < workers; w++) {
            names_.push_back("host-" + std::to_string(w) + "/1");
            Heartbeat(w, cores);
        }
        for (int t = 0; t < queued; t++) {
            Submit();
        }
    }

    ~Cluster()
    {
        jr_coord_resign(coord_);
        jr_drop_coord(coord_);
        jr_drop_ledger(ledger_);
        jr_drop_rules(rules_);
        jr_drop_ctx(ctx_);
    }

    void
    Apply(Jr__LedgerCommand *command)
    {
        size_t len;
        uint8_t *bytes = jr_command_pack(ctx_, command, now_, &len);
        jr_ledger_result_t result = jr_ledger_apply(ledger_, bytes, len);

        jr_coord_applied(coord_, &result);
        jr_free(ctx_, bytes);
    }

    void
    Submit()
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        std::string key = "key-" + std::to_string(++keys_);
        char team[] = "lab", cls[] = "study";

        need.cpu_milli = 100;
        need.memory_mb = 100;
        spec.key = key.data();
        spec.team = team;
        spec.class_name = cls;
        spec.need = &need;
        submit.spec = &spec;
        command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        Apply(&command);
    }

    void
    Heartbeat(int w, int cores)
    {
        Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
        Jr__Resources capacity = JR__RESOURCES__INIT;

        capacity.cpu_milli = (uint32_t)cores * 1000;
        capacity.memory_mb = 250000;
        heartbeat.worker = names_[(size_t)w].data();
        heartbeat.capacity = &capacity;
        jr__heartbeat_reply__free_unpacked(
            jr_coord_heartbeat(coord_, &heartbeat, now_), nullptr);
    }

    /* Places one task and applies the grant. */
    void
    StartOne()
    {
        Jr__LedgerCommand *command;

        jr_coord_tick(coord_, now_);
        while (jr_coord_take_command(coord_, &command)) {
            Apply(command);
        }
    }

  private:
    jr_ctx_t *ctx_;
    jr_ledger_t *ledger_;
    jr_coord_t *coord_;
    jr_rules_t *rules_;
    int64_t now_ = 1000;
    int keys_ = 0;
    std::vector<std::string> names_;
};

void
BM_Place(benchmark::State &state)
{
    Cluster cluster((int)state.range(0), 0, 64);

    for (auto _ : state) {
        cluster.Submit();
        cluster.StartOne();
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Place)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(18000)
    ->Iterations(20000)
    ->Complexity();

void
BM_PlaceWithQueue(benchmark::State &state)
{
    Cluster cluster(5000, (int)state.range(0), 64);

    for (auto _ : state) {
        cluster.Submit();
        cluster.StartOne();
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_PlaceWithQueue)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(100000)
    ->Arg(550000)
    ->Iterations(10000)
    ->Complexity();

void
BM_LeaseRenewal(benchmark::State &state)
{
    int workers = (int)state.range(0);
    Cluster cluster(workers, 0, 64);
    int w = 0;

    for (auto _ : state) {
        cluster.Heartbeat(w++ % workers, 64);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_LeaseRenewal)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(18000)
    ->Complexity();

void
BM_Route(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    jr_upstreams_t *upstreams = jr_new_upstreams(ctx, "a");
    jr_route_policy_t policy = {};
    GRand *rng = g_rand_new_with_seed(1);

    policy.kind = JR_ROUTE_SCORED;
    policy.as.scored.candidates = 4;
    for (int i = 0; i < state.range(0); i++) {
        std::string name = "x" + std::to_string(i);
        jr_announcement_t a = {};

        a.name = name.c_str();
        a.address = "127.0.0.1:1";
        a.zone = "a";
        a.rack = "r";
        a.service = "advice";
        a.slots = a.connections = 8;
        a.sequence = 1;
        jr_upstreams_apply(upstreams, &a, 0, nullptr)->share = 8;
    }
    jr_service_t *service = jr_upstreams_service(upstreams, "advice");

    for (auto _ : state) {
        jr_upstream_t *u =
            jr_route_choose(&policy, service, nullptr, rng, 1000, 250000);

        u->in_use++;
        jr_route_record_attempt(ctx, &policy, u, JR_ATTEMPT_OK, 20000, 1000);
        u->in_use--;
    }
    state.SetComplexityN(state.range(0));
    g_rand_free(rng);
    jr_drop_upstreams(upstreams);
    jr_drop_ctx(ctx);
}
BENCHMARK(BM_Route)->Arg(50)->Arg(500)->Arg(5000)->Arg(18000)->Complexity();

void
BM_Admit(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    jr_queue_t *queue = jr_new_queue(ctx, JR_ADMIT_DEADLINE);
    std::vector<jr_call_t> waiting((size_t)state.range(0));
    jr_call_t call = {};
    jr_service_rate_t pace = {100, 20000, 5000};
    GRand *rng = g_rand_new_with_seed(1);

    for (size_t i = 0; i < waiting.size(); i++) {
        waiting[i] = {};
        waiting[i].id = i + 1;
        waiting[i].priority = g_rand_int_range(rng, 0, 100);
        waiting[i].deadline = g_rand_int_range(rng, 100000, 1000000000);
        jr_queue_push(queue, &waiting[i]);
    }
    call.id = waiting.size() + 1;
    call.deadline = INT64_MAX / 2;
    for (auto _ : state) {
        call.priority = g_rand_int_range(rng, 0, 100);
        benchmark::DoNotOptimize(jr_queue_check(queue, &call, &pace, 0));
        jr_queue_push(queue, &call);
        jr_queue_remove(queue, &call);
    }
    state.SetComplexityN(state.range(0));
    g_rand_free(rng);
    jr_drop_queue(queue);
    jr_drop_ctx(ctx);
}
BENCHMARK(BM_Admit)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000)->Complexity();

void
BM_LogAppend(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    char folder[] = "/tmp/jr-bench-XXXXXX";
    jr_store_t *store = jr_new_file_store(ctx, mkdtemp(folder));
    std::vector<uint8_t> data(200);
    jr_store_callbacks_t none = {};
    uint64_t index = 0;

    jr_store_load(store, &none);
    for (auto _ : state) {
        for (int i = 0; i < state.range(0); i++) {
            jr_entry_t entry = {++index, 1, JR_ENTRY_COMMAND, data.data(),
                                data.size()};

            jr_store_append_entry(store, &entry);
        }
        jr_store_sync(store);
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
    jr_drop_store(store);
    jr_drop_ctx(ctx);
    std::string path = std::string(folder) + "/log-00000000000000000000";

    unlink(path.c_str());
    rmdir(folder);
}
BENCHMARK(BM_LogAppend)->Arg(1)->Arg(16)->Arg(256)->Arg(1024);

void
BM_RulesApply(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    std::string text = "version 1 # asked for by A\n";

    for (int i = 0; i < state.range(0); i++) {
        text += "team team-" + std::to_string(i) +
                " cpu 200 memory 800G tasks 5000 # asked for by finance\n";
    }
    for (auto _ : state) {
        jr_drop_rules(jr_new_rules(ctx, text.c_str(), nullptr));
    }
    state.SetComplexityN(state.range(0));
    jr_drop_ctx(ctx);
}
BENCHMARK(BM_RulesApply)->Arg(10)->Arg(62)->Arg(620)->Arg(2000)->Complexity();

} // namespace

BENCHMARK_MAIN();
