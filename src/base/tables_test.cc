/* The tables in the docs list all codes and events; /metrics all counters. */
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

extern "C" {
#include "jayrelay/ctx.h"
#include "jayrelay/metrics.h"
}

static std::string
ReadFile(const char *path)
{
    std::ifstream in(path);
    std::stringstream text;

    text << in.rdbuf();
    return text.str();
}

TEST(Tables, EveryResultCodeIsDocumented)
{
    std::string doc = ReadFile("docs/ERRORS.md");
    jr_result_t code;

    for (size_t i = 0; jr_result_at(i, &code); i++) {
        std::string row = "| " + std::to_string(code) + " | " +
                          jr_result_name(code) + " | " +
                          std::to_string(jr_result_exit(code)) + " |";

        EXPECT_NE(doc.find(row), std::string::npos) << row;
    }
}

TEST(Tables, EveryEventIsDocumented)
{
    static const char *const severities[] = {
        "emergency", "alert",  "critical", "error",
        "warning",   "notice", "info",     "debug"};
    std::string doc = ReadFile("docs/EVENTS.md");
    jr_event_t event;

    for (size_t i = 0; jr_event_at(i, &event); i++) {
        std::string row = "| " + std::to_string(event) + " | " +
                          jr_event_name(event) + " | " +
                          severities[jr_event_severity(event)] + " |";

        EXPECT_NE(doc.find(row), std::string::npos) << row;
    }
}

TEST(Tables, MetricsContainEveryCounter)
{
    jr_ctx_t *ctx = jr_new_ctx("test", nullptr);
    jr_gauge_t gauge = {"things", "some things", 2.5};
    char *text;

    jr_count_n(ctx, JR_C_CALLS, 3);
    text = jr_metrics_text(ctx, &gauge, 1);
    for (int i = 0; i < JR_COUNTERS; i++) {
        std::string line = std::string("\njayrelay_") +
                           jr_counter_metric((jr_counter_t)i) + " ";

        EXPECT_NE(strstr(text, line.c_str()), nullptr) << line;
    }
    EXPECT_NE(strstr(text, "\njayrelay_calls_total 3\n"), nullptr);
    EXPECT_NE(strstr(text, "\njayrelay_things 2.5\n"), nullptr);
    jr_free(ctx, text);
    jr_drop_ctx(ctx);
}
