/* Announcements of upstreams: age, order and time-out. */
#include <gtest/gtest.h>

extern "C" {
#include "jayrelay/upstream.h"
}

class UpstreamTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        upstreams_ = jr_new_upstreams(ctx_, "a");
    }

    void
    TearDown() override
    {
        jr_drop_upstreams(upstreams_);
        jr_drop_ctx(ctx_);
    }

    jr_announcement_t
    Announcement(uint64_t sequence, bool leaving = false)
    {
        jr_announcement_t a = {};

        a.name = "x";
        a.address = "127.0.0.1:9000";
        a.zone = "a";
        a.rack = "r1";
        a.service = "advice";
        a.slots = 8;
        a.connections = 64;
        a.incarnation = 1;
        a.sequence = sequence;
        a.is_leaving = leaving;
        return a;
    }

    jr_upstream_t *
    Apply(jr_announcement_t a, int64_t now)
    {
        return jr_upstreams_apply(upstreams_, &a, now, &is_news_);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_upstreams_t *upstreams_ = nullptr;
    bool is_news_ = false;
};

/* An upstream must get no new work 3 s after its last announcement. */
TEST_F(UpstreamTest, ASilentUpstreamIsUnavailableAfterThreeSeconds)
{
    jr_upstream_t *u = Apply(Announcement(1), 0);

    ASSERT_NE(u, nullptr);
    EXPECT_TRUE(is_news_);
    EXPECT_TRUE(jr_upstream_is_available(u, 0));
    EXPECT_FALSE(jr_upstream_is_available(u, 3000000));
}

TEST_F(UpstreamTest, TheAgeOfAForwardedAnnouncementCounts)
{
    jr_announcement_t a = Announcement(1);

    a.age_us = JR_UPSTREAM_TTL_US;
    EXPECT_FALSE(jr_upstream_is_available(Apply(a, 10000000), 10000000));
}

TEST_F(UpstreamTest, OldAnnouncementsDoNotReopenALeavingUpstream)
{
    jr_upstream_t *u = Apply(Announcement(5), 0);

    Apply(Announcement(7, true), 1000);
    EXPECT_FALSE(jr_upstream_is_available(u, 1000));
    Apply(Announcement(6), 2000);
    EXPECT_FALSE(is_news_);
    EXPECT_FALSE(jr_upstream_is_available(u, 2000));
    /* A new incarnation is available again. */
    jr_announcement_t again = Announcement(1);

    again.incarnation = 2;
    Apply(again, 3000);
    EXPECT_TRUE(jr_upstream_is_available(u, 3000));
}

TEST_F(UpstreamTest, BadAnnouncementsAreCounted)
{
    jr_announcement_t a = Announcement(1);

    a.slots = 0;
    EXPECT_EQ(Apply(a, 0), nullptr);
    a = Announcement(1);
    a.slots = -8;
    EXPECT_EQ(Apply(a, 0), nullptr);
    a = Announcement(1);
    a.name = "";
    EXPECT_EQ(Apply(a, 0), nullptr);
    EXPECT_EQ(ctx_->counters[JR_C_ANNOUNCE_BAD], 3u);
    EXPECT_EQ(HASH_COUNT(upstreams_->by_name), 0u);
}

TEST_F(UpstreamTest, OnlyUpstreamsOfTheOwnZoneJoinTheService)
{
    jr_announcement_t a = Announcement(1);

    Apply(a, 0);
    a = Announcement(2);
    a.name = "y";
    a.zone = "b";
    Apply(a, 0);
    EXPECT_EQ(jr_upstreams_service(upstreams_, "advice")->n, 1u);
}

TEST_F(UpstreamTest, LongSilentUpstreamsAreRemoved)
{
    Apply(Announcement(1), 0);
    jr_upstreams_expire(upstreams_, 59000000);
    EXPECT_EQ(HASH_COUNT(upstreams_->by_name), 1u);
    jr_upstreams_expire(upstreams_, 61000000);
    EXPECT_EQ(HASH_COUNT(upstreams_->by_name), 0u);
    EXPECT_EQ(jr_upstreams_service(upstreams_, "advice")->n, 0u);
}
