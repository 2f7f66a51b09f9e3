/* Parsing and checks of the YAML settings; placement of groups. */
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/settings.h"
}

namespace {

const char kEntry[] = "name: entry-a\n"
                      "zone: a\n"
                      "bus: 127.0.0.1:7000\n"
                      "http: 127.0.0.1:8080\n"
                      "controls:\n"
                      "  - {name: control-a, zone: a, bus: 127.0.0.1:7100}\n"
                      "entries:\n"
                      "  - {name: entry-a, zone: a, bus: 127.0.0.1:7000, "
                      "http: 127.0.0.1:8080}\n";

class SettingsTest : public ::testing::Test {
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

    std::string
    Errors(const std::string &text, jr_settings_kind_t kind)
    {
        jr_result_t result = jr_settings_parse(ctx_, text.data(), text.size(),
                                               kind, &settings_, &errors_);
        std::string all;

        EXPECT_EQ(result == JR_OK, errors_.n == 0);
        for (size_t i = 0; i < errors_.n; i++) {
            all += std::string(errors_.texts[i]) + "\n";
        }
        return all;
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_settings_t settings_;
    jr_setting_errors_t errors_;
};

TEST_F(SettingsTest, ReadsValuesAndDefaults)
{
    EXPECT_EQ(Errors(kEntry, JR_SETTINGS_ENTRY), "");
    EXPECT_STREQ(settings_.name, "entry-a");
    EXPECT_STREQ(settings_.entries[0].http, "127.0.0.1:8080");
    EXPECT_EQ(settings_.n_controls, 1);
    EXPECT_EQ(settings_.groups, 3);
    EXPECT_EQ(settings_.retry_percent, 10);
}

TEST_F(SettingsTest, ReportsAllErrorsEachWithItsLine)
{
    std::string errors = Errors("name: entry-a\n"
                                "zone: ''\n"
                                "bus: localhost:7000\n"
                                "http: 127.0.0.1:99999\n"
                                "speed: 9\n"
                                "groups: many\n"
                                "name: again\n"
                                "controls: none\n",
                                JR_SETTINGS_ENTRY);

    EXPECT_EQ(
        errors,
        "line 2: 'zone' must be a text of 1 to 63 characters, got 0: ''\n"
        "line 3: 'bus' must be an IP number and a port, such as "
        "10.0.0.1:7000, got 'localhost:7000'\n"
        "line 4: 'http' must be an IP number and a port, such as "
        "10.0.0.1:7000, got '127.0.0.1:99999'\n"
        "line 5: 'speed' is not a setting of this program\n"
        "line 6: 'groups' must be a whole number from 1 to 1024, got "
        "'many'\n"
        "line 7: 'name' is given twice\n"
        "line 8: 'controls' must be a list, got 'none'\n");
}

TEST_F(SettingsTest, MissingSettingsAreNamed)
{
    std::string errors = Errors("zone: a\n", JR_SETTINGS_CONTROL);

    EXPECT_NE(errors.find("'name' is missing"), std::string::npos);
    EXPECT_NE(errors.find("'data' is missing"), std::string::npos);
    EXPECT_NE(errors.find("'controls' is missing"), std::string::npos);
}

TEST_F(SettingsTest, InvalidYamlIsReportedWithItsLine)
{
    EXPECT_NE(Errors("name: a\n  - b: [\n", JR_SETTINGS_ENTRY).find("line 2"),
              std::string::npos);
    EXPECT_NE(Errors("", JR_SETTINGS_ENTRY).find("key: value"),
              std::string::npos);
}

TEST_F(SettingsTest, ConsistencyBetweenSettingsIsChecked)
{
    std::string text = kEntry;

    text.replace(text.find("- {name: entry-a"), 16, "- {name: entry-z");
    EXPECT_NE(Errors(text, JR_SETTINGS_ENTRY).find("must name this process"),
              std::string::npos);
}

/*
 * Each group has members in as many zones as possible, and no control process
 * has far more groups than the others.
 */
TEST_F(SettingsTest, GroupsAreSpreadOverZonesAndControls)
{
    std::vector<int> n_groups(12, 0);
    jr_settings_t s = {};

    s.replicas = 3;
    s.n_controls = 12;
    for (int i = 0; i < 12; i++) {
        snprintf(s.controls[i].name, sizeof s.controls[i].name, "c%d", i);
        snprintf(s.controls[i].zone, sizeof s.controls[i].zone, "z%d", i % 4);
    }
    for (size_t group = 0; group < 200; group++) {
        size_t hosts[JR_REPLICAS_MAX];
        std::set<std::string> zones;

        ASSERT_EQ(jr_settings_hosts(&s, group, hosts), 3u);
        for (size_t i = 0; i < 3; i++) {
            zones.insert(s.controls[hosts[i]].zone);
            n_groups[hosts[i]]++;
        }
        EXPECT_EQ(zones.size(), 3u);
    }
    for (int n : n_groups) {
        EXPECT_GT(n, 25);
        EXPECT_LT(n, 80);
    }
    s.n_controls = 2;
    size_t hosts[JR_REPLICAS_MAX];
    EXPECT_EQ(jr_settings_hosts(&s, 0, hosts), 2u);
}

TEST_F(SettingsTest, TheExamplesAreValid)
{
    static const struct {
        const char *path;
        jr_settings_kind_t kind;
    } examples[] = {
        {"examples/liimaneuvo/control.yaml", JR_SETTINGS_CONTROL},
        {"examples/liimaneuvo/entry.yaml", JR_SETTINGS_ENTRY},
        {"examples/bergstijl/control.yaml", JR_SETTINGS_CONTROL},
        {"examples/bergstijl/entry.yaml", JR_SETTINGS_ENTRY},
    };

    for (const auto &example : examples) {
        EXPECT_EQ(jr_settings_read(ctx_, example.path, example.kind,
                                   &settings_, &errors_),
                  JR_OK)
            << example.path << ": " << ctx_->error.text;
    }
}

} // namespace

static const char kSeeds[] = "name: \"10.1.0.16:7720\"\n"
                             "zone: a\n"
                             "bus: 10.1.0.16:7720\n"
                             "http: 10.1.0.16:8166\n"
                             "data: /data\n"
                             "jobs: true\n"
                             "first_start: true\n"
                             "tolerate: 1\n"
                             "far_factor: 1.5\n"
                             "seeds: [10.1.0.16:8166, 10.2.0.32:8166]\n";

/* A seed is an HTTP address; the bus port is that of this process. */
TEST_F(SettingsTest, SeedsReplaceControls)
{
    EXPECT_EQ(Errors(kSeeds, JR_SETTINGS_CONTROL), "");
    ASSERT_EQ(settings_.n_controls, 2);
    EXPECT_STREQ(settings_.controls[1].bus, "10.2.0.32:7720");
    EXPECT_STREQ(settings_.controls[1].name, "10.2.0.32:7720");
    EXPECT_STREQ(settings_.controls[0].name, settings_.name);
    EXPECT_TRUE(settings_.jobs);
    EXPECT_TRUE(settings_.first_start);
    EXPECT_EQ(settings_.replicas, 3);
    EXPECT_EQ(settings_.far_permille, 1500);
}

TEST_F(SettingsTest, ZonesAreAListOfNames)
{
    EXPECT_EQ(
        Errors(std::string(kSeeds) + "zones: [a, b]\n", JR_SETTINGS_CONTROL),
        "");
    ASSERT_EQ(settings_.n_zones, 2);
    EXPECT_STREQ(settings_.zones[1], "b");
    EXPECT_NE(Errors(std::string(kSeeds) + "zones: a\n", JR_SETTINGS_CONTROL)
                  .find("'zones' must be a list of at most 32 names"),
              std::string::npos);
    EXPECT_NE(
        Errors(std::string(kSeeds) + "zones: [a, '']\n", JR_SETTINGS_CONTROL)
            .find("'zones' must be a text of 1 to 63 characters"),
        std::string::npos);
}

TEST_F(SettingsTest, BadSwitchesRatiosAndSeedsAreNamed)
{
    std::string text = kSeeds;

    text.replace(text.find("jobs: true"), 10, "jobs: yes!");
    text.replace(text.find("1.5"), 3, "0.5");
    text.replace(text.find("10.2.0.32:8166"), 14, "example.org:80");
    std::string errors = Errors(text, JR_SETTINGS_CONTROL);

    EXPECT_NE(errors.find("'jobs' must be true or false"), std::string::npos)
        << errors;
    EXPECT_NE(errors.find("'far_factor' must be a number from 1"),
              std::string::npos)
        << errors;
    EXPECT_NE(errors.find("'seeds' must be an IP number and a port"),
              std::string::npos)
        << errors;
}
