/* Tail latency model. */
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <set>

extern "C" {
#include "jayrelay/tail.h"
}

namespace {

constexpr uint32_t kTargetMs = 18;
constexpr int64_t kIntervalMs = 500;
constexpr double kMean = 2.6;
constexpr double kAmplitude = 0.95;

class TailTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        tails_ = jr_new_tails(ctx_);
        service_ = jr_tails_image(tails_, "service");
        heavy_ = jr_tails_image(tails_, "heavy");
        light_ = jr_tails_image(tails_, "light");
    }

    void
    TearDown() override
    {
        jr_drop_tails(tails_);
        jr_drop_ctx(ctx_);
    }

    /* Base headroom of a job: a sine wave, with a phase per job. */
    static double
    BaseHeadroom(uint64_t job, int64_t at_ms)
    {
        return kMean + kAmplitude * cos(2 * M_PI * static_cast<double>(at_ms) /
                                            10000.0 +
                                        static_cast<double>(job));
    }

    void
    AddSample(uint64_t job, double headroom, const jr_tail_load_t *loads,
              size_t n)
    {
        jr_tail_sample_t sample = {};

        sample.service = service_;
        sample.job = job;
        sample.target_ms = kTargetMs;
        sample.tail_ms = static_cast<uint32_t>(
            lround(kTargetMs / std::max(headroom, 0.05)));
        sample.loads = loads;
        sample.n_loads = n;
        sample.at_ms = now_;
        jr_tails_learn(tails_, &sample);
    }

    /* Two jobs of three tasks each, with random loads of two images. */
    void
    Learn(int64_t ms)
    {
        std::mt19937 rng(1);
        std::uniform_real_distribution<double> share(0.0, 0.15);

        for (int64_t end = now_ + ms; now_ < end; now_ += kIntervalMs) {
            for (uint64_t job = 1; job <= 2; job++) {
                for (int task = 0; task < 3; task++) {
                    jr_tail_load_t loads[] = {{heavy_, share(rng)},
                                              {light_, share(rng)}};

                    AddSample(job,
                              BaseHeadroom(job, now_) - 6.0 * loads[0].share,
                              loads, 2);
                }
            }
        }
    }

    double
    HeadroomLoss(jr_image_t best_effort, double share)
    {
        jr_tail_load_t load = {best_effort, share};

        return jr_tails_headroom_loss(tails_, service_, &load, 1);
    }

    jr_ctx_t *ctx_;
    jr_tails_t *tails_;
    jr_image_t service_;
    jr_image_t heavy_;
    jr_image_t light_;
    int64_t now_ = 1000;
};

} // namespace

TEST_F(TailTest, AnImageHasOneIndex)
{
    EXPECT_EQ(jr_tails_image(tails_, "heavy"), heavy_);
    EXPECT_NE(heavy_, light_);
}

TEST_F(TailTest, SeparatesTheLossOfTwoImages)
{
    Learn(30000);
    EXPECT_NEAR(HeadroomLoss(heavy_, 0.1), 0.6, 0.1);
    EXPECT_LT(HeadroomLoss(light_, 0.1), 0.06);
}

/*
 * The cost of learning grew with the tasks of a service, though its slopes are
 * known from some of them: what is learnt of one instant is bounded, and goes
 * on later.
 */
TEST_F(TailTest, TheSamplesOfOneInstantAreBounded)
{
    constexpr int kMany = 1000;
    jr_tail_load_t load = {heavy_, 0.1};
    std::set<double> learnt;

    for (int i = 0; i < kMany; i++) {
        AddSample(1, 1.0, &load, 1);
        learnt.insert(HeadroomLoss(heavy_, 0.1));
    }
    EXPECT_LT(learnt.size(), 50u);
    now_ += 1000;
    AddSample(1, 3.0, &load, 1);
    EXPECT_EQ(learnt.count(HeadroomLoss(heavy_, 0.1)), 0u);
}

/* The call rate of each job is periodic, with different phases. */
TEST_F(TailTest, TracksThePeriodicLoadOfEachJob)
{
    double worst = 0.0;

    Learn(20000);
    for (int i = 0; i < 20; i++) {
        Learn(kIntervalMs);
        for (uint64_t job = 1; job <= 2; job++) {
            worst = std::max(worst,
                             fabs(jr_tails_base_headroom(tails_, job, now_) -
                                  BaseHeadroom(job, now_)));
        }
    }
    EXPECT_LT(worst, 0.4);
}

TEST_F(TailTest, LearnsTheMinimumOverALoadCycle)
{
    EXPECT_LT(jr_tails_base_headroom_min(tails_, 1),
              kMean); /* no samples yet */
    Learn(40000);
    EXPECT_NEAR(jr_tails_base_headroom_min(tails_, 1), kMean - kAmplitude,
                0.35);
}

TEST_F(TailTest, AnUnknownPairGetsAConservativeSlope)
{
    jr_image_t other = jr_tails_image(tails_, "other");

    EXPECT_GT(HeadroomLoss(other, 0.1), 0.05);
    Learn(5000);
    EXPECT_GT(HeadroomLoss(other, 0.1), 0.05);
}

/* A single outlier must not change the estimates much. */
TEST_F(TailTest, AnOutlierHasLimitedEffect)
{
    jr_tail_load_t load = {light_, 0.1};
    double before;

    Learn(30000);
    before = jr_tails_base_headroom(tails_, 1, now_);
    AddSample(1, 0.1, &load, 1);
    EXPECT_NEAR(jr_tails_base_headroom(tails_, 1, now_), before, 0.5);
    EXPECT_LT(HeadroomLoss(light_, 0.1), 0.25);
}

/*
 * The tail stops growing when a service is saturated, so such samples must
 * not lower the learnt slope.
 */
TEST_F(TailTest, SaturationDoesNotLowerTheSlope)
{
    jr_tail_load_t load = {heavy_, 0.6};

    Learn(30000);
    for (int i = 0; i < 40; i++, now_ += kIntervalMs) {
        AddSample(1, 0.1, &load, 1);
    }
    EXPECT_GT(HeadroomLoss(heavy_, 0.1), 0.45);
}

TEST_F(TailTest, AZeroTailIsIgnored)
{
    jr_tail_sample_t sample = {};
    double before;

    Learn(10000);
    before = jr_tails_base_headroom(tails_, 1, now_);
    sample.service = service_;
    sample.job = 1;
    sample.target_ms = kTargetMs;
    sample.at_ms = now_;
    jr_tails_learn(tails_, &sample);
    EXPECT_EQ(jr_tails_base_headroom(tails_, 1, now_), before);
}

TEST_F(TailTest, CurvesOfEndedJobsAreDropped)
{
    double unknown = jr_tails_base_headroom(tails_, 99, now_);

    Learn(10000);
    now_ += 120000;
    AddSample(3, 2.0, nullptr, 0);
    EXPECT_EQ(jr_tails_base_headroom(tails_, 1, now_), unknown);
}

TEST_F(TailTest, ExcessImagesShareTheLastIndex)
{
    jr_image_t last = 0;

    for (int i = 0; i < 3 * JR_TAIL_IMAGES_MAX; i++) {
        last = jr_tails_image(tails_, std::to_string(i).c_str());
        ASSERT_LT(last, JR_TAIL_IMAGES_MAX);
    }
    jr_tail_load_t loads[] = {{last, 0.5}};

    service_ = last;
    AddSample(1, 0.5, loads, 1);
    EXPECT_GT(jr_tails_headroom_loss(tails_, last, loads, 1), 0.0);
}
