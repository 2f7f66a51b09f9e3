/*
 * Feeds mutated input from a seeded generator to every decoder of external
 * data. Guards against crashes, against errors that are not reported, and
 * against wrong results or state. JR_FUZZ_ROUNDS is the number of inputs per
 * decoder.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include <glib.h>
#include <jansson.h>

#include "jayrelay/group.h"
#include "jayrelay/rules.h"
#include "jayrelay/settings.h"
#include "jayrelay/store.h"
#include "ledger/convert.h"
#include "net/wire.pb-c.h"
#include "platform/check.h"
#include "platform/platform.h"
#include "quorum/store.h"
}

namespace {

int
Rounds()
{
    const char *text = getenv("JR_FUZZ_ROUNDS");

    return text != nullptr ? atoi(text) : 20000;
}

class Mutator {
  public:
    explicit Mutator(std::string good) : good_(std::move(good)), rng_(1)
    {
    }

    std::string
    Next()
    {
        std::string s = good_;
        size_t edits = 1 + rng_() % 4;

        for (size_t i = 0; i < edits && !s.empty(); i++) {
            size_t at = rng_() % s.size();

            switch (rng_() % 6) {
            case 0:
                s[at] = (char)rng_();
                break;
            case 1:
                s[at] ^= (char)(1 << rng_() % 8);
                break;
            case 2:
                s.erase(at, 1 + rng_() % 8);
                break;
            case 3:
                s.insert(at, s.substr(rng_() % s.size(), rng_() % 16));
                break;
            case 4:
                s.resize(at);
                break;
            default:
                s.insert(at, std::string(1 + rng_() % 4, (char)rng_()));
                break;
            }
        }
        return s;
    }

  private:
    std::string good_;
    std::mt19937 rng_;
};

class FuzzTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("fuzz", nullptr);
    }

    void
    TearDown() override
    {
        jr_drop_ctx(ctx_);
    }

    std::string
    Pack(const jr_config_t *config)
    {
        uint8_t *bytes;
        size_t len = jr_config_pack(ctx_, config, &bytes);
        std::string packed((char *)bytes, len);

        jr_free(ctx_, bytes);
        return packed;
    }

    jr_ctx_t *ctx_ = nullptr;
};

TEST_F(FuzzTest, Rules)
{
    Mutator mutator("version 7 # asked for by Aino\n"
                    "service advice target 250ms priority 90 # asked for by "
                    "'the desk'\n"
                    "class study rate 30% priority 20 # asked for by lab\n"
                    "team lab cpu 200 memory 800G tasks 5 # asked for by F\n"
                    "weight tail 5 # asked for by the desk\n");
    jr_rule_problems_t problems;

    for (int i = 0; i < Rounds(); i++) {
        std::string text = mutator.Next();
        jr_rules_t *rules = jr_new_rules(ctx_, text.c_str(), &problems);

        ASSERT_EQ(rules == nullptr, problems.n > 0) << text;
        jr_drop_rules(rules);
    }
}

TEST_F(FuzzTest, Settings)
{
    Mutator mutator("name: entry-a\nzone: a\nbus: 127.0.0.1:7000\n"
                    "http: 127.0.0.1:8080\ncontrols:\n"
                    "  - {name: c, zone: a, bus: 127.0.0.1:7100}\n"
                    "entries:\n  - {name: entry-a, zone: a, bus: "
                    "127.0.0.1:7000}\n");
    jr_settings_t settings;
    jr_setting_errors_t errors;

    for (int i = 0; i < Rounds(); i++) {
        std::string text = mutator.Next();
        jr_result_t result =
            jr_settings_parse(ctx_, text.data(), text.size(),
                              JR_SETTINGS_ENTRY, &settings, &errors);

        ASSERT_EQ(result == JR_OK, errors.n == 0) << text;
    }
}

/* The check of a configuration and the decoder of the control processes agree,
 * and all texts can be printed. */
TEST_F(FuzzTest, ConfigCheck)
{
    const std::string good =
        "{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/q/\","
        "\"timeout_ms\":3000,\"slo_ms\":300,\"priority\":2,\"service\":\"s\","
        "\"max_attempts\":4,\"stretch\":1.5,\"advice\":{\"decide_ms\":1}},"
        "{\"host\":\"h\",\"path_prefix\":\"/r/\",\"timeout_ms\":30,"
        "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"},"
        "{\"name\":\"t\"}],\"limits\":{}}";
    jr_platform_text_t in_force = {good.data(), good.size()};
    Mutator mutator(good);

    for (int i = 0; i < Rounds(); i++) {
        std::string text = mutator.Next();
        jr_platform_text_t subject = {text.c_str(), text.size()};
        jr_platform_findings_t *findings =
            jr_platform_check(ctx_, &subject, nullptr);
        Jr__JobConfig *config =
            jr_platform_decode_config(ctx_, text.c_str(), text.size());

        ASSERT_EQ(config == nullptr, findings->counts[JR_SEVERITY_ERROR] > 0)
            << text;
        for (size_t k = 0; k < findings->n; k++) {
            ASSERT_TRUE(g_utf8_validate(findings->findings[k].text, -1, NULL));
            ASSERT_TRUE(
                g_utf8_validate(findings->findings[k].place, -1, NULL));
        }
        jr_platform_drop_findings(findings);
        findings = jr_platform_check(ctx_, &subject, &in_force);
        ASSERT_NE(findings, nullptr);
        jr_platform_drop_findings(findings);
        findings = jr_platform_check(ctx_, &in_force, &subject);
        ASSERT_EQ(config == nullptr, findings == nullptr) << text;
        jr_platform_drop_findings(findings);
        if (config != nullptr) {
            jr__job_config__free_unpacked(config, nullptr);
        }
    }
}

/* A damaged log is truncated or rejected, but never yields other entries. */
TEST_F(FuzzTest, LogRecords)
{
    GByteArray *log = g_byte_array_new();
    std::vector<std::string> seen;
    jr_store_callbacks_t loaded = {};

    jr_record_append_hard_state(log, 3, 9);
    for (uint64_t i = 1; i <= 5; i++) {
        std::string data = "entry-" + std::to_string(i);
        jr_entry_t entry = {i, 2, JR_ENTRY_COMMAND, (uint8_t *)data.data(),
                            data.size()};

        jr_record_append_entry(log, &entry);
    }
    loaded.user = &seen;
    loaded.hard_state = [](void *, uint64_t term, uint64_t voted_for) {
        ASSERT_EQ(term, 3u);
        ASSERT_EQ(voted_for, 9u);
    };
    loaded.entry = [](void *user, const jr_entry_t *e) {
        static_cast<std::vector<std::string> *>(user)->emplace_back(
            (const char *)e->data, e->len);
    };
    Mutator mutator(std::string((char *)log->data, log->len));

    for (int i = 0; i < Rounds(); i++) {
        std::string bytes = mutator.Next();

        seen.clear();
        jr_record_read((const uint8_t *)bytes.data(), bytes.size(), &loaded);
        for (const std::string &entry : seen) {
            ASSERT_EQ(entry.compare(0, 6, "entry-"), 0);
            ASSERT_EQ(entry.size(), 7u);
        }
    }
    g_byte_array_unref(log);
}

TEST_F(FuzzTest, QuorumMessages)
{
    jr_quorum_options_t options = {};
    jr_quorum_t *q;
    Jr__Entry entry = JR__ENTRY__INIT;
    Jr__Entry *entries[] = {&entry};
    Jr__Append append = JR__APPEND__INIT;
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;
    std::string good;

    options.self = 2;
    options.election_ms = 100;
    options.heartbeat_ms = 20;
    q = jr_new_quorum(ctx_, &options, 0);
    entry.index = 1;
    entry.term = 1;
    append.n_entries = 1;
    append.entries = entries;
    message.term = 1;
    message.from = 1;
    message.to = 2;
    message.body_case = JR__QUORUM_MSG__BODY_APPEND;
    message.append = &append;
    good.resize(jr__quorum_msg__get_packed_size(&message));
    jr__quorum_msg__pack(&message, (uint8_t *)good.data());
    Mutator mutator(good);

    for (int i = 0; i < Rounds(); i++) {
        std::string bytes = mutator.Next();
        jr_member_t to;
        uint8_t *out;
        size_t len;

        jr_quorum_receive(q, (const uint8_t *)bytes.data(), bytes.size(), i);
        while (jr_quorum_take_message(q, &to, &out, &len)) {
            jr_free(ctx_, out);
        }
        ASSERT_LE(jr_quorum_commit(q), jr_quorum_last(q));
    }
    jr_drop_quorum(q);
}

TEST_F(FuzzTest, LedgerCommandsAndSnapshots)
{
    jr_ledger_t *ledger = jr_new_ledger(ctx_, 1);
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    Jr__Submit submit = JR__SUBMIT__INIT;
    Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
    char key[] = "key", team[] = "team", cls[] = "class";
    uint8_t *bytes;
    size_t len;

    spec.key = key;
    spec.team = team;
    spec.class_name = cls;
    submit.spec = &spec;
    command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
    command.submit = &submit;
    bytes = jr_command_pack(ctx_, &command, 5, &len);
    Mutator commands(std::string((char *)bytes, len));

    for (int i = 0; i < Rounds(); i++) {
        std::string text = commands.Next();

        jr_ledger_apply(ledger, (const uint8_t *)text.data(), text.size());
    }
    jr_free(ctx_, bytes);
    bytes = jr_ledger_save(ledger, &len);
    Mutator snapshots(std::string((char *)bytes, std::min<size_t>(len, 500)));

    for (int i = 0; i < Rounds() / 10; i++) {
        std::string text = snapshots.Next();
        jr_ledger_t *copy = jr_new_ledger(ctx_, 1);

        jr_ledger_load(copy, (const uint8_t *)text.data(), text.size());
        jr_drop_ledger(copy);
    }
    jr_free(ctx_, bytes);
    jr_drop_ledger(ledger);
}

/* A leader answers each mutated request that decodes exactly once. */
TEST_F(FuzzTest, Requests)
{
    jr_group_options_t options = {};
    jr_store_t *store = jr_new_memory_store(ctx_);
    jr_config_t members = {};
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Resources capacity = JR__RESOURCES__INIT;
    Jr__WorkerTask task = JR__WORKER_TASK__INIT;
    Jr__WorkerTask *tasks[] = {&task};
    char worker[] = "host/1";
    long answers = 0, asked = 0;
    int64_t now = 0;
    std::string good;
    jr_group_t *group;

    members.n = 1;
    members.members[0].id = 1;
    members.members[0].voter = true;
    jr_group_init(ctx_, store, &members);
    options.kind = JR_GROUP_LEDGER;
    options.quorum.self = 1;
    options.quorum.election_ms = 100;
    options.quorum.heartbeat_ms = 20;
    options.coord.lease.lease_ms = 1000;
    options.coord.max_grants = 10;
    options.coord.policy.kind = JR_PLACE_SCORED;
    options.coord.policy.as.scored.candidates = 4;
    options.snapshot_every = 1000;
    options.hooks.user = &answers;
    options.hooks.send = [](void *, const jr_member_t *, const uint8_t *,
                            size_t) {};
    options.hooks.rules = [](void *, uint64_t, const char *) {};
    options.hooks.reply = [](void *user, const jr_reply_address_t *,
                             Jr__Reply *) { ++*static_cast<long *>(user); };
    group = jr_new_group(ctx_, &options, store, now);
    for (; now < 1000; now += 10) {
        jr_group_tick(group, now);
        jr_group_pump(group, now);
    }
    capacity.cpu_milli = 1000;
    task.task = 7;
    heartbeat.worker = worker;
    heartbeat.capacity = &capacity;
    heartbeat.n_tasks = 1;
    heartbeat.tasks = tasks;
    request.body_case = JR__REQUEST__BODY_HEARTBEAT;
    request.heartbeat = &heartbeat;
    good.resize(jr__request__get_packed_size(&request));
    jr__request__pack(&request, (uint8_t *)good.data());
    Mutator mutator(good);

    for (int i = 0; i < Rounds(); i++) {
        std::string bytes = mutator.Next();
        Jr__Request *mutant = jr__request__unpack(
            nullptr, bytes.size(), (const uint8_t *)bytes.data());
        jr_reply_address_t reply_to = {};

        if (mutant == nullptr) {
            continue;
        }
        asked++;
        jr_group_request(group, &reply_to, mutant, now);
        jr__request__free_unpacked(mutant, nullptr);
        now += 5;
        jr_group_tick(group, now);
        ASSERT_EQ(jr_group_pump(group, now), JR_OK);
    }
    for (int i = 0; i < 20; i++) {
        now += 20;
        jr_group_tick(group, now);
        jr_group_pump(group, now);
    }
    EXPECT_EQ(answers, asked);
    jr_drop_group(group);
    jr_drop_store(store);
}

} // namespace
