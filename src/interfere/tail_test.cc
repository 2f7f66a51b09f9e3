/* The model of tails. */
#include <gtest/gtest.h>

#include <cmath>
#include <random>

extern "C" {
#include "jayrelay/tail.h"
}

namespace {

constexpr uint32_t kTargetMs = 18;
constexpr int64_t kEveryMs = 500;
constexpr double kMean = 2.6;
constexpr double kSwing = 0.95;

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

    /* Headroom of a job without fillers; jobs swing at different times. */
    static double
    Alone(uint64_t job, int64_t at_ms)
    {
        return kMean +
               kSwing * cos(2 * M_PI * static_cast<double>(at_ms) / 10000.0 +
                            static_cast<double>(job));
    }

    void
    See(uint64_t job, double headroom, const jr_tail_load_t *loads, size_t n)
    {
        jr_tail_seen_t seen = {};

        seen.service = service_;
        seen.job = job;
        seen.target_ms = kTargetMs;
        seen.tail_ms = static_cast<uint32_t>(
            lround(kTargetMs / std::max(headroom, 0.05)));
        seen.loads = loads;
        seen.n_loads = n;
        seen.at_ms = now_;
        jr_tails_learn(tails_, &seen);
    }

    /* Two jobs of three tasks each, beside mixes of two fillers. */
    void
    Learn(int64_t ms)
    {
        std::mt19937 rng(1);
        std::uniform_real_distribution<double> share(0.0, 0.15);

        for (int64_t end = now_ + ms; now_ < end; now_ += kEveryMs) {
            for (uint64_t job = 1; job <= 2; job++) {
                for (int task = 0; task < 3; task++) {
                    jr_tail_load_t loads[] = {{heavy_, share(rng)},
                                              {light_, share(rng)}};

                    See(job, Alone(job, now_) - 6.0 * loads[0].share, loads,
                        2);
                }
            }
        }
    }

    double
    Taken(jr_image_t filler, double share)
    {
        jr_tail_load_t load = {filler, share};

        return jr_tails_taken(tails_, service_, &load, 1);
    }

    jr_ctx_t *ctx_;
    jr_tails_t *tails_;
    jr_image_t service_;
    jr_image_t heavy_;
    jr_image_t light_;
    int64_t now_ = 1000;
};

} // namespace

TEST_F(TailTest, AnImageHasOneNumber)
{
    EXPECT_EQ(jr_tails_image(tails_, "heavy"), heavy_);
    EXPECT_NE(heavy_, light_);
}

TEST_F(TailTest, TellsTheFillerThatTakesHeadroomFromTheOther)
{
    Learn(30000);
    EXPECT_NEAR(Taken(heavy_, 0.1), 0.6, 0.1);
    EXPECT_LT(Taken(light_, 0.1), 0.06);
}

/* Pattern: the calls of each job come in waves, at different times. */
TEST_F(TailTest, FollowsTheSwingOfEachJob)
{
    double worst = 0.0;

    Learn(20000);
    for (int i = 0; i < 20; i++) {
        Learn(kEveryMs);
        for (uint64_t job = 1; job <= 2; job++) {
            worst = std::max(worst, fabs(jr_tails_alone(tails_, job, now_) -
                                         Alone(job, now_)));
        }
    }
    EXPECT_LT(worst, 0.4);
}

TEST_F(TailTest, KnowsTheLeastOfASwing)
{
    EXPECT_LT(jr_tails_least(tails_, 1), kMean); /* nothing was seen */
    Learn(40000);
    EXPECT_NEAR(jr_tails_least(tails_, 1), kMean - kSwing, 0.35);
}

TEST_F(TailTest, AnUnknownPairIsReckonedWithCaution)
{
    jr_image_t other = jr_tails_image(tails_, "other");

    EXPECT_GT(Taken(other, 0.1), 0.05);
    Learn(5000);
    EXPECT_GT(Taken(other, 0.1), 0.05);
}

/* One list with a wild tail says little about the job or the fillers. */
TEST_F(TailTest, AWildTailIsTakenWithCaution)
{
    jr_tail_load_t load = {light_, 0.1};
    double before;

    Learn(30000);
    before = jr_tails_alone(tails_, 1, now_);
    See(1, 0.1, &load, 1);
    EXPECT_NEAR(jr_tails_alone(tails_, 1, now_), before, 0.5);
    EXPECT_LT(Taken(light_, 0.1), 0.25);
}

/* Tails stop growing when a service is swamped: how far is not known. */
TEST_F(TailTest, ASwampedServiceTeachesNoSmallerSlope)
{
    jr_tail_load_t load = {heavy_, 0.6};

    Learn(30000);
    for (int i = 0; i < 40; i++, now_ += kEveryMs) {
        See(1, 0.1, &load, 1);
    }
    EXPECT_GT(Taken(heavy_, 0.1), 0.45);
}

TEST_F(TailTest, ATailOfNothingTeachesNothing)
{
    jr_tail_seen_t seen = {};
    double before;

    Learn(10000);
    before = jr_tails_alone(tails_, 1, now_);
    seen.service = service_;
    seen.job = 1;
    seen.target_ms = kTargetMs;
    seen.at_ms = now_;
    jr_tails_learn(tails_, &seen);
    EXPECT_EQ(jr_tails_alone(tails_, 1, now_), before);
}

TEST_F(TailTest, JobsThatAreGoneAreForgotten)
{
    double unknown = jr_tails_alone(tails_, 99, now_);

    Learn(10000);
    now_ += 120000;
    See(3, 2.0, nullptr, 0);
    EXPECT_EQ(jr_tails_alone(tails_, 1, now_), unknown);
}

TEST_F(TailTest, ManyImagesShareTheLastNumber)
{
    jr_image_t last = 0;

    for (int i = 0; i < 3 * JR_TAIL_IMAGES_MAX; i++) {
        last = jr_tails_image(tails_, std::to_string(i).c_str());
        ASSERT_LT(last, JR_TAIL_IMAGES_MAX);
    }
    jr_tail_load_t loads[] = {{last, 0.5}};

    service_ = last;
    See(1, 0.5, loads, 1);
    EXPECT_GT(jr_tails_taken(tails_, last, loads, 1), 0.0);
}
