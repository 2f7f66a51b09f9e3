/* Cost of the check of a configuration by its number of routes. */
#include <benchmark/benchmark.h>

#include <string>

extern "C" {
#include "platform/check.h"
#include "platform/platform.h"
}

namespace {

constexpr int kServices = 100;

std::string
MakeConfig(int64_t routes, int version)
{
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"services\":[";

    for (int i = 0; i < kServices; i++) {
        text += (i > 0 ? "," : "") + std::string("{\"name\":\"s") +
                std::to_string(i) + "\"}";
    }
    text += "],\"routes\":[";
    for (int64_t i = 0; i < routes; i++) {
        text += (i > 0 ? "," : "") +
                std::string("{\"host\":\"h\",\"path_prefix\":\"/") +
                std::to_string(i) + "/\",\"timeout_ms\":9000,\"slo_ms\":" +
                std::to_string(100 + i % 50) + ",\"service\":\"s" +
                std::to_string(i % kServices) + "\"}";
    }
    return text + "]}";
}

void
Decode(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    std::string text = MakeConfig(state.range(0), 1);

    for (auto _ : state) {
        jr__job_config__free_unpacked(
            jr_platform_decode_config(ctx, text.data(), text.size()), nullptr);
    }
    state.SetComplexityN(state.range(0));
    jr_drop_ctx(ctx);
}

void
CheckAgainst(benchmark::State &state)
{
    jr_ctx_t *ctx = jr_new_ctx("bench", nullptr);
    std::string old = MakeConfig(state.range(0), 1);
    std::string text = MakeConfig(state.range(0), 2);
    jr_platform_text_t in_force = {old.data(), old.size()};
    jr_platform_text_t subject = {text.data(), text.size()};

    for (auto _ : state) {
        jr_platform_drop_findings(jr_platform_check(ctx, &subject, &in_force));
    }
    state.SetComplexityN(state.range(0));
    jr_drop_ctx(ctx);
}

} // namespace

BENCHMARK(Decode)->Arg(100)->Arg(1000)->Arg(10000)->Complexity()->Unit(
    benchmark::kMillisecond);
BENCHMARK(CheckAgainst)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Complexity()
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
