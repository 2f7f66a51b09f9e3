/* Tests of the rules parser and of the rules register. */
#include <gtest/gtest.h>

#include <set>

#include <string>

extern "C" {
#include "jayrelay/rules.h"
}

namespace {

const char kGood[] =
    "# the rules of a test\n"
    "version 7 # asked for by Aino\n"
    "\n"
    "service advice target 250ms priority 90 # asked for by the desk\n"
    "service slow target 2s priority 10 # asked for by the desk\n"
    "class study rate 30% priority 20 # asked for by the laboratory\n"
    "team lab cpu 200 memory 800G tasks 5000 # asked for by finance\n"
    "weight tail 5 # asked for by the desk\n";

class RulesTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
    }

    void
    TearDown() override
    {
        jr_drop_ctx(ctx_);
    }

    /* The problems of a file, one "LINE:COLUMN: TEXT" per line. */
    std::string
    Problems(const std::string &text)
    {
        jr_rules_t *rules = jr_new_rules(ctx_, text.c_str(), &problems_);
        std::string all;

        for (size_t i = 0; i < problems_.n; i++) {
            all += std::to_string(problems_.problems[i].line) + ":" +
                   std::to_string(problems_.problems[i].column) + ": " +
                   problems_.problems[i].text + "\n";
        }
        EXPECT_EQ(rules == nullptr, problems_.n > 0);
        jr_drop_rules(rules);
        return all;
    }

    /* The problems of a line after a valid version line. */
    std::string
    Problem(const std::string &line)
    {
        return Problems("version 1 # asked for by A\n" + line + "\n");
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_rule_problems_t problems_;
};

TEST_F(RulesTest, ReadsEveryKindOfRule)
{
    jr_rules_t *rules = jr_new_rules(ctx_, kGood, nullptr);

    ASSERT_NE(rules, nullptr) << ctx_->error.text;
    EXPECT_EQ(rules->version, 7u);
    EXPECT_EQ(jr_rules_service(rules, "advice")->target_ms, 250);
    EXPECT_EQ(jr_rules_service(rules, "advice")->priority, 90);
    EXPECT_EQ(jr_rules_service(rules, "slow")->target_ms, 2000);
    EXPECT_EQ(jr_rules_service(rules, "none"), nullptr);
    EXPECT_EQ(jr_rules_class(rules, "study")->rate_percent, 30);
    EXPECT_EQ(jr_rules_team(rules, "lab")->cpu_milli, 200000);
    EXPECT_EQ(jr_rules_team(rules, "lab")->memory_mb, 800 * 1024);
    EXPECT_EQ(rules->weights.tail, 5);
    EXPECT_EQ(rules->weights.throughput, 1);
    jr_drop_rules(rules);
}

TEST_F(RulesTest, ProblemsHaveLineAndColumn)
{
    EXPECT_EQ(Problem("service advice target 250 priority 9 "
                      "# asked for by B"),
              "2:23: '250' is not a whole number from 0 to 3600 with unit "
              "s\n");
    EXPECT_EQ(Problem("class study rate 30% # asked for by B"),
              "2:38: required key 'priority' is missing\n");
    EXPECT_EQ(Problem("class study rate 130% priority 1 # asked for by B"),
              "2:18: '130%' is not a whole number from 0 to 100 with unit "
              "%\n");
    EXPECT_EQ(Problem("team lab cpus 4 # asked for by B"),
              "2:10: unknown key 'cpus'; expected 'cpu', 'memory' or "
              "'tasks'\n");
    EXPECT_EQ(Problem("class study speed 4 # asked for by B"),
              "2:13: unknown key 'speed'; expected 'rate' or 'priority'\n");
    EXPECT_EQ(Problem("team lab cpu -4 # asked for by B"),
              "2:14: '-4' is not a whole number from 0 to 1000000\n");
    EXPECT_EQ(Problem("frobnicate # asked for by B"),
              "2:1: unknown rule 'frobnicate'; expected 'version', 'service', "
              "'class', 'team' or 'weight'\n");
    EXPECT_EQ(Problem("weight luck 3 # asked for by B"),
              "2:8: unknown weight 'luck'; expected 'tail', 'throughput' or "
              "'evictions'\n");
    EXPECT_EQ(Problem("version 2 # asked for by B"),
              "2:1: the version is given again as '2'; expected once\n");
}

TEST_F(RulesTest, EachRuleNamesItsRequester)
{
    EXPECT_EQ(Problem("weight tail 3"),
              "2:14: the rule has no comment; expected '# asked for by NAME' "
              "at its end\n");
    EXPECT_EQ(Problem("weight tail 3 # because"),
              "2:15: the comment is '# because'; expected '# asked for by "
              "NAME'\n");
    EXPECT_EQ(Problem("weight tail 3 # asked for by "),
              "2:15: the comment is '# asked for by'; expected '# asked for "
              "by NAME'\n");
}

TEST_F(RulesTest, AllProblemsAreReported)
{
    std::string all = Problems("service x # asked for by A\nnonsense\n");

    EXPECT_NE(
        all.find("1:1: the first rule must be 'version N'; got 'service'"),
        std::string::npos);
    EXPECT_NE(all.find("2:9: the rule has no comment; expected '# asked for "
                       "by NAME'"),
              std::string::npos);
    EXPECT_NE(all.find("unknown rule 'nonsense'"), std::string::npos);
}

TEST_F(RulesTest, RatesAddUpToAtMost100Percent)
{
    EXPECT_NE(Problem("class a rate 60% priority 1 # asked for by A\n"
                      "class b rate 50% priority 1 # asked for by B")
                  .find("add up to 110%"),
              std::string::npos);
}

TEST_F(RulesTest, EmptyFileIsRejected)
{
    EXPECT_EQ(Problems(""),
              "1:1: the file has no rules; it must begin with 'version N'\n");
    EXPECT_EQ(Problems("# nothing\n"),
              "1:1: the file has no rules; it must begin with 'version N'\n");
}

class RegisterTest : public RulesTest {};

TEST_F(RegisterTest, EqualVersionWithOtherTextIsAConflict)
{
    jr_register_t *reg = jr_new_register(ctx_);
    jr_register_result_t result;

    EXPECT_EQ(jr_register_apply(reg, 3, "one").code, JR_OK);
    result = jr_register_apply(reg, 3, "other");
    EXPECT_EQ(result.code, JR_RULES_CONFLICT);
    EXPECT_STREQ(result.text, "one");
    EXPECT_EQ(jr_register_apply(reg, 3, "one").code, JR_OK);
    EXPECT_EQ(jr_register_apply(reg, 5, "five").code, JR_OK);
    /* A resend is accepted again and returns the rules in force now. */
    result = jr_register_apply(reg, 3, "one");
    EXPECT_EQ(result.code, JR_OK);
    EXPECT_EQ(result.version, 5u);
    EXPECT_EQ(jr_register_apply(reg, 4, "four").code, JR_RULES_OLD);
    EXPECT_EQ(jr_register_version(reg), 5u);
    jr_drop_register(reg);
}

TEST_F(RegisterTest, SnapshotKeepsHistoryOfVersions)
{
    jr_register_t *reg = jr_new_register(ctx_);
    jr_register_t *copy = jr_new_register(ctx_);
    uint8_t *bytes;
    size_t len;

    for (uint64_t v = 1; v <= 3000; v++) {
        std::string text = "text " + std::to_string(v);

        ASSERT_EQ(jr_register_apply(reg, v, text.c_str()).code, JR_OK);
    }
    bytes = jr_register_save(reg, &len);
    ASSERT_TRUE(jr_register_load(copy, bytes, len));
    EXPECT_EQ(jr_register_version(copy), 3000u);
    EXPECT_STREQ(jr_register_text(copy), "text 3000");
    EXPECT_EQ(jr_register_apply(copy, 2500, "text 2500").code, JR_OK);
    EXPECT_EQ(jr_register_apply(copy, 2500, "other").code, JR_RULES_CONFLICT);
    EXPECT_EQ(jr_register_apply(copy, 1, "text 1").code, JR_RULES_OLD);
    EXPECT_FALSE(jr_register_load(copy, (const uint8_t *)"\xff", 1));
    EXPECT_EQ(jr_register_version(copy), 3000u);
    jr_free(ctx_, bytes);
    jr_drop_register(reg);
    jr_drop_register(copy);
}

} // namespace

/* Assignment by hash would leave groups without hosts if hosts are few. */
TEST_F(RegisterTest, HostsAreSpreadOverTheGroups)
{
    jr_register_t *reg = jr_new_register(ctx_);
    jr_register_t *copy = jr_new_register(ctx_);
    std::set<uint32_t> seen;
    uint8_t *bytes;
    size_t len;

    EXPECT_EQ(jr_register_home(reg, "host-a"), 0u);
    for (const char *host : {"host-a", "host-b", "host-c"}) {
        seen.insert(jr_register_assign_home(reg, host, 3));
    }
    EXPECT_EQ(seen, (std::set<uint32_t>{1, 2, 3}));
    EXPECT_EQ(jr_register_assign_home(reg, "host-b", 3),
              jr_register_home(reg, "host-b"));
    bytes = jr_register_save(reg, &len);
    EXPECT_TRUE(jr_register_load(copy, bytes, len));
    EXPECT_EQ(jr_register_home(copy, "host-c"),
              jr_register_home(reg, "host-c"));
    jr_free(ctx_, bytes);
    jr_drop_register(copy);
    jr_drop_register(reg);
}
