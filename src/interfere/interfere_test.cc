/* Interference model: learning from lagged measurements and decay. */
#include <gtest/gtest.h>

#include <cstring>
#include <random>

extern "C" {
#include "jayrelay/interfere.h"
}

class InterfereTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        model_ = jr_new_interference(ctx_);
        host_.n_services = 1;
        strcpy(host_.services[0], "advice");
    }

    void
    TearDown() override
    {
        jr_drop_interference(model_);
        jr_drop_ctx(ctx_);
    }

    void
    Load(double study, double watch, int64_t now)
    {
        jr_host_load_begin(&host_);
        jr_host_load_add(&host_, "study", study);
        jr_host_load_add(&host_, "watch", watch);
        jr_host_load_end(&host_, now);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_interference_t *model_ = nullptr;
    jr_host_load_t host_ = {};
};

/* True slopes: 3 for study and 0.2 for watch. */
TEST_F(InterfereTest, LearnsPairsFromLaggedMeasurements)
{
    std::mt19937 rng(1);
    std::uniform_real_distribution<> share(0, 0.5);
    std::vector<double> past(10, 1.0);

    for (int64_t s = 0; s < 3000; s++) {
        double study = share(rng), watch = share(rng);

        Load(study, watch, s * 1000);
        host_.slowdowns[0] = past.front();
        past.erase(past.begin());
        past.push_back(1 + 3 * study + 0.2 * watch);
        if (s > 10) {
            jr_interference_learn(model_, &host_, s * 1000);
        }
    }
    EXPECT_NEAR(jr_interference_slope(model_, "advice", "study", 3000000), 3.0,
                0.3);
    EXPECT_NEAR(jr_interference_slope(model_, "advice", "watch", 3000000), 0.2,
                0.3);
    EXPECT_GT(jr_interference_added(model_, &host_, "study", 0.1, 3000000),
              jr_interference_added(model_, &host_, "watch", 0.1, 3000000));
}

TEST_F(InterfereTest, AnUnknownPairGetsAConservativeSlope)
{
    double unknown = jr_interference_slope(model_, "advice", "new", 0);

    EXPECT_GT(unknown, 0.5);
    for (int64_t s = 0; s < 200; s++) {
        Load(0.5, 0, s * 1000);
        host_.slowdowns[0] = 1.0;
        jr_interference_learn(model_, &host_, s * 1000);
    }
    EXPECT_LT(jr_interference_slope(model_, "advice", "study", 200000), 0.2);
    /* After hours without measurements the margin grows again. */
    EXPECT_GT(jr_interference_slope(model_, "advice", "study", 36000000), 0.3);
}

TEST_F(InterfereTest, ClassesWithoutLoadAreDropped)
{
    Load(0.5, 0.1, 0);
    EXPECT_EQ(host_.n_classes, 2u);
    for (int64_t s = 1; s < 15; s++) {
        jr_host_load_begin(&host_);
        jr_host_load_end(&host_, s * 1000);
    }
    EXPECT_EQ(host_.n_classes, 0u);
}
