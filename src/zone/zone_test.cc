/* Tests of requests to drain zones, which may be repeated and overtaken. */
#include <gtest/gtest.h>

#include <random>
#include <string>

extern "C" {
#include "jayrelay/zone.h"
}

class ZoneTest : public testing::Test {
  protected:
    ZoneTest() : ctx_(jr_new_ctx("test", stdout)), zones_(jr_new_zones(ctx_))
    {
    }

    ~ZoneTest() override
    {
        jr_drop_zones(zones_);
        jr_drop_ctx(ctx_);
    }

    /* A request as it is received now. */
    jr_zone_request_t
    Request(const char *name, bool drains)
    {
        return {name, drains, jr_zones_accepted(zones_, name)};
    }

    jr_result_t
    Apply(const jr_zone_request_t &request)
    {
        return jr_zones_apply(zones_, &request, 1000);
    }

    jr_ctx_t *ctx_;
    jr_zones_t *zones_;
};

TEST_F(ZoneTest, AZoneIsDrainedAndTakenBack)
{
    EXPECT_FALSE(jr_zones_is_drained(zones_, "a"));
    EXPECT_EQ(Apply(Request("a", true)), JR_OK);
    EXPECT_TRUE(jr_zones_is_drained(zones_, "a"));
    EXPECT_FALSE(jr_zones_is_drained(zones_, "b"));
    EXPECT_EQ(Apply(Request("a", false)), JR_OK);
    EXPECT_FALSE(jr_zones_is_drained(zones_, "a"));
}

TEST_F(ZoneTest, ARepeatedRequestHasTheSameAnswer)
{
    jr_zone_request_t first = Request("a", true);
    jr_zone_request_t second = Request("a", true);

    EXPECT_EQ(Apply(first), JR_OK);
    EXPECT_EQ(Apply(second), JR_OK);
    EXPECT_TRUE(jr_zones_is_drained(zones_, "a"));
}

/* Its acknowledgement was lost, and the operator has taken the zone back. */
TEST_F(ZoneTest, ADrainThatArrivesAfterTheZoneWasTakenBackChangesNothing)
{
    jr_zone_request_t late = Request("a", true);

    ASSERT_EQ(Apply(Request("a", true)), JR_OK);
    ASSERT_EQ(Apply(Request("a", false)), JR_OK);
    EXPECT_EQ(Apply(late), JR_OVERTAKEN);
    EXPECT_FALSE(jr_zones_is_drained(zones_, "a"));
}

TEST_F(ZoneTest, ADrainThatItsEndHasOvertakenChangesNothing)
{
    jr_zone_request_t late = Request("a", true);

    ASSERT_EQ(Apply(Request("a", false)), JR_OK);
    EXPECT_EQ(Apply(late), JR_OVERTAKEN);
    EXPECT_FALSE(jr_zones_is_drained(zones_, "a"));
}

TEST_F(ZoneTest, AnEndThatArrivesAfterTheNextDrainChangesNothing)
{
    jr_zone_request_t late;

    ASSERT_EQ(Apply(Request("a", true)), JR_OK);
    late = Request("a", false);
    ASSERT_EQ(Apply(Request("a", false)), JR_OK);
    ASSERT_EQ(Apply(Request("a", true)), JR_OK);
    EXPECT_EQ(Apply(late), JR_OVERTAKEN);
    EXPECT_TRUE(jr_zones_is_drained(zones_, "a"));
}

TEST_F(ZoneTest, RequestsForOneZoneDoNotOutdateThoseForAnother)
{
    jr_zone_request_t other = Request("b", true);

    ASSERT_EQ(Apply(Request("a", true)), JR_OK);
    EXPECT_EQ(Apply(other), JR_OK);
    EXPECT_TRUE(jr_zones_is_drained(zones_, "b"));
}

TEST_F(ZoneTest, InvalidNamesAreRefusedAndTheTableIsBounded)
{
    std::string longest(JR_ZONE_NAME_MAX_BYTES, 'z');

    EXPECT_EQ(Apply(Request("", true)), JR_BAD_REQUEST);
    EXPECT_EQ(Apply(Request("a b", true)), JR_BAD_REQUEST);
    EXPECT_EQ(Apply(Request("a/b", true)), JR_BAD_REQUEST);
    EXPECT_EQ(Apply(Request((longest + "z").c_str(), true)), JR_BAD_REQUEST);
    EXPECT_EQ(Apply(Request(longest.c_str(), true)), JR_OK);
    for (int i = 1; i < JR_ZONES_MAX; i++) {
        EXPECT_EQ(Apply(Request(("z" + std::to_string(i)).c_str(), true)),
                  JR_OK);
    }
    EXPECT_EQ(Apply(Request("one-more", true)), JR_BAD_REQUEST);
    EXPECT_EQ(zones_->n, (size_t)JR_ZONES_MAX);
}

TEST_F(ZoneTest, ARestoredTableRefusesWhatWasOvertakenBefore)
{
    jr_zone_request_t late = Request("a", true);
    jr_zones_t *copy = jr_new_zones(ctx_);
    const jr_zone_t *zone;

    ASSERT_EQ(Apply(Request("a", true)), JR_OK);
    ASSERT_EQ(Apply(Request("a", false)), JR_OK);
    TAILQ_FOREACH (zone, &zones_->list, link) {
        ASSERT_TRUE(jr_zones_restore(copy, zone->name, zone->accepted,
                                     zone->drained_since));
    }
    EXPECT_EQ(jr_zones_apply(copy, &late, 1000), JR_OVERTAKEN);
    EXPECT_FALSE(jr_zones_restore(copy, "a", 1, 0));
    EXPECT_FALSE(jr_zones_restore(copy, "", 1, 0));
    jr_drop_zones(copy);
}

/*
 * An operator sends requests one after the other and repeats each until it is
 * accepted. Copies of any age arrive in between. The state after each accepted
 * request is the one that was asked for last.
 */
TEST_F(ZoneTest, CopiesOfAnyAgeNeverUndoTheLatestRequest)
{
    std::mt19937 rng(7);
    std::vector<jr_zone_request_t> sent;
    bool wanted = false;

    for (int i = 0; i < 20000; i++) {
        wanted = !wanted;
        sent.push_back(Request("a", wanted));
        for (unsigned n = rng() % 3; n > 0; n--) {
            sent.push_back(Request("a", wanted));
        }
        ASSERT_EQ(Apply(sent.back()), JR_OK);
        for (unsigned n = rng() % 4; n > 0; n--) {
            size_t age = rng() % std::min<size_t>(sent.size(), 12);

            Apply(sent[sent.size() - 1 - age]);
            ASSERT_EQ(jr_zones_is_drained(zones_, "a"), wanted);
        }
    }
}
