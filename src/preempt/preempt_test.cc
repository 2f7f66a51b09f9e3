/* Tests of the choice of tasks that give way to urgent ones. */
#include <gtest/gtest.h>

#include <random>
#include <set>
#include <vector>

extern "C" {
#include "jayrelay/preempt.h"
}

namespace {

class PreemptTest : public testing::Test {
  protected:
    PreemptTest() : ctx_(jr_new_ctx("test", nullptr))
    {
    }

    ~PreemptTest() override
    {
        jr_drop_ctx(ctx_);
    }

    void
    Add(jr_preempt_size_t free, std::vector<jr_preempt_victim_t> victims)
    {
        victims_.push_back(std::move(victims));
        workers_.push_back({free, nullptr, 0});
    }

    std::vector<const jr_preempt_victim_t *>
    Choose()
    {
        size_t n = 0;

        for (size_t i = 0; i < workers_.size(); i++) {
            workers_[i].victims = victims_[i].data();
            workers_[i].n_victims = victims_[i].size();
            n += victims_[i].size();
        }
        std::vector<const jr_preempt_victim_t *> chosen(n + 1);
        result_ = {};
        result_.chosen = chosen.data();
        jr_preempt_choose(ctx_, &request_, workers_.data(), workers_.size(),
                          &result_);
        chosen.resize(result_.n);
        return chosen;
    }

    jr_ctx_t *ctx_;
    jr_preempt_request_t request_ = {{2000, 1000}, 1, 1000, INT64_MAX};
    std::vector<std::vector<jr_preempt_victim_t>> victims_;
    std::vector<jr_preempt_worker_t> workers_;
    jr_preempt_result_t result_ = {};
};

jr_preempt_victim_t
Victim(int64_t cpu, int64_t lost_ms, uint32_t stops = 0,
       int64_t ends_in_ms = INT64_MAX)
{
    return {{cpu, 1000}, lost_ms, ends_in_ms, stops, nullptr};
}

} // namespace

TEST_F(PreemptTest, TheLeastWorkIsLostForATaskThatFits)
{
    Add({0, 4000}, {Victim(3000, 5000), Victim(3000, 400)});
    Add({0, 4000}, {Victim(3000, 900)});
    std::vector<const jr_preempt_victim_t *> chosen = Choose();

    ASSERT_EQ(chosen.size(), 1u);
    EXPECT_EQ(chosen[0], &victims_[0][1]);
    EXPECT_EQ(result_.gained, 1u);
    EXPECT_EQ(result_.lost, 1200);
}

/* One stop that lets two tasks fit beats two stops. */
TEST_F(PreemptTest, FreeCapacityOfTheWorkerCounts)
{
    request_.wanted = 2;
    Add({0, 4000}, {Victim(3000, 1000)});
    Add({1000, 4000}, {Victim(3000, 1000)});
    std::vector<const jr_preempt_victim_t *> chosen = Choose();

    ASSERT_EQ(chosen.size(), 1u);
    EXPECT_EQ(chosen[0], &victims_[1][0]);
    EXPECT_EQ(result_.gained, 2u);
}

TEST_F(PreemptTest, NothingIsStoppedInVain)
{
    Add({0, 4000}, {Victim(1900, 10)});      /* too small */
    Add({0, 0}, {Victim(3000, 10, 0, 900)}); /* ends sooner by itself */
    Add({0, 0}, {Victim(3000, 10, JR_PREEMPT_STOPS_MAX)});
    EXPECT_TRUE(Choose().empty());
    request_.need.memory_mb = 9000; /* memory lacks, not processors */
    Add({0, 0}, {Victim(3000, 10)});
    EXPECT_TRUE(Choose().empty());
    request_.need = {0, 0};
    EXPECT_TRUE(Choose().empty());
}

TEST_F(PreemptTest, SmallTasksOfOneWorkerAreStoppedTogether)
{
    Add({0, 4000}, {Victim(1000, 10), Victim(1000, 10), Victim(1000, 10)});
    EXPECT_EQ(Choose().size(), 2u);
    EXPECT_EQ(result_.gained, 1u);
}

TEST_F(PreemptTest, TheBudgetIsKept)
{
    request_.wanted = 10;
    request_.lost_max = 2 * 3000;
    for (int i = 0; i < 5; i++) {
        Add({0, 4000}, {Victim(3000, 1000)});
    }
    EXPECT_EQ(Choose().size(), 2u);
    request_.lost_max = -1;
    EXPECT_TRUE(Choose().empty());
}

/*
 * Load: a wave of urgent tasks on workers full of others, drawn from a seed.
 * No more is stopped than wanted, nothing that is protected, and each chosen
 * task once; what is gained is real.
 */
TEST_F(PreemptTest, AnyLoadKeepsTheBounds)
{
    std::mt19937 rng(11);

    for (int round = 0; round < 2000; round++) {
        victims_.clear();
        workers_.clear();
        request_.need = {500 + (int64_t)(rng() % 4000),
                         500 + (int64_t)(rng() % 4000)};
        request_.wanted = 1 + rng() % 12;
        request_.lost_max = (int64_t)(rng() % 100000);
        for (unsigned n = 1 + rng() % 12; n > 0; n--) {
            std::vector<jr_preempt_victim_t> victims;

            for (unsigned k = rng() % 6; k > 0; k--) {
                victims.push_back(Victim(500 + rng() % 5000, rng() % 9000,
                                         rng() % 4,
                                         rng() % 3 == 0 ? 500 : INT64_MAX));
            }
            Add({(int64_t)(rng() % 3000), (int64_t)(rng() % 9000)}, victims);
        }
        std::vector<const jr_preempt_victim_t *> chosen = Choose();
        std::set<const jr_preempt_victim_t *> unique(chosen.begin(),
                                                     chosen.end());
        int64_t lost = 0;

        ASSERT_EQ(unique.size(), chosen.size());
        for (const jr_preempt_victim_t *v : chosen) {
            ASSERT_LT(v->stops, (uint32_t)JR_PREEMPT_STOPS_MAX);
            ASSERT_GT(v->ends_in_ms, request_.stop_ms);
            lost += v->lost_ms * v->size.cpu_milli / 1000;
        }
        ASSERT_EQ(lost, result_.lost);
        ASSERT_LE(lost, request_.lost_max);
        ASSERT_EQ(result_.gained == 0, chosen.empty());
    }
}

/* Guards against an overflow in the costs that are compared. */
TEST_F(PreemptTest, CostsOfHugeTasksAreCompared)
{
    constexpr int64_t kHuge = INT32_MAX;

    request_.need = {1, 0};
    request_.wanted = SIZE_MAX;
    Add({0, 4000}, {Victim(kHuge, 9000000)});
    Add({0, 4000}, {Victim(kHuge, 1000)});
    std::vector<const jr_preempt_victim_t *> chosen = Choose();

    ASSERT_GE(chosen.size(), 1u);
    EXPECT_EQ(chosen[0], &victims_[1][0]);
}
