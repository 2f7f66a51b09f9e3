/* Verdicts on workers under seeded loads, in virtual time. */
#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "jayrelay/quality.h"
}

constexpr int64_t kFirst = 1000;
constexpr size_t kWorkers = 40;

/* A fleet on which steps of jobs run, one task on each of some workers. */
class Load {
  public:
    explicit Load(uint32_t seed) : rng_(seed)
    {
        ctx_ = jr_new_ctx("test", nullptr);
        quality = jr_new_quality(ctx_);
        records.resize(kWorkers);
        slowness.resize(kWorkers, 1.0);
        failing.resize(kWorkers, 0.0);
    }

    ~Load()
    {
        jr_drop_quality(ctx_, quality);
        jr_drop_ctx(ctx_);
    }

    double
    Uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(rng_);
    }

    /* The tasks of a step on @n workers; the estimate may be far off. */
    void
    RunStep(size_t n, double kind_fails = 0.0, uint64_t kind = 1)
    {
        double work = Uniform(300.0, 5000.0);
        int64_t estimate =
            static_cast<int64_t>(work / (1.0 + Uniform(-0.9, 0.9)));

        next_step_++;
        for (size_t i = 0; i < n; i++) {
            size_t w = rng_() % kWorkers;
            jr_quality_run_t run = {next_step_ * 7919, kind, w + 1, estimate};

            RunTask(run, w, work * Uniform(0.9, 1.1), kind_fails);
        }
        now += 200;
    }

    void
    RunTask(const jr_quality_run_t &run, size_t w, double work,
            double kind_fails)
    {
        if (Uniform(0.0, 1.0) < std::max(failing[w], kind_fails)) {
            jr_quality_note_failed(quality, &records[w], &run, false, now);
            return;
        }
        jr_quality_note_time(
            quality, &records[w], &run,
            static_cast<int64_t>(work * slowness[w] + Uniform(0.0, 60.0)),
            now);
        jr_quality_note_done(quality, &records[w], &run, now);
    }

    jr_quality_verdict_t
    Judge(size_t w) const
    {
        return jr_quality_judge(quality, &records[w], now);
    }

    jr_quality_t *quality;
    std::vector<jr_quality_record_t> records;
    std::vector<double> slowness;
    std::vector<double> failing;
    int64_t now = kFirst;

  private:
    jr_ctx_t *ctx_;
    std::mt19937 rng_;
    uint64_t next_step_ = 0;
};

/* Load: a tenth of the workers is slow, by 2 to 5. */
TEST(QualityTest, SlowWorkersAreFoundAndSoundOnesAreNot)
{
    size_t found = 0, slow = 0, wrong = 0, sound = 0;

    for (uint32_t seed = 1; seed <= 20; seed++) {
        Load load(seed);

        for (size_t w = 0; w < kWorkers / 10; w++) {
            load.slowness[w] = load.Uniform(2.0, 5.0);
        }
        for (int i = 0; i < 60; i++) { /* about 9 runs on each worker */
            load.RunStep(6);
        }
        for (size_t w = 0; w < kWorkers; w++) {
            bool is_found = load.Judge(w).speed_permille >= 1400;

            (w < kWorkers / 10 ? slow : sound)++;
            (w < kWorkers / 10 ? found : wrong) += is_found;
        }
    }
    EXPECT_GE(found * 100, slow * 95);
    EXPECT_LE(wrong * 1000, sound * 5);
}

/* Load: jobs of single tasks, whose estimates are off by up to 0.9. */
TEST(QualityTest, WrongEstimatesAloneSetFewWorkersBack)
{
    size_t wrong = 0;

    for (uint32_t seed = 1; seed <= 20; seed++) {
        Load load(seed);

        for (int i = 0; i < 400; i++) {
            load.RunStep(1);
        }
        for (size_t w = 0; w < kWorkers; w++) {
            wrong += load.Judge(w).speed_permille > JR_QUALITY_SOUND;
        }
    }
    EXPECT_LE(wrong * 100, 20 * kWorkers * 3);
}

/* Load: a tenth of the workers is grey: 40 % of the runs there fail. */
TEST(QualityTest, GreyWorkersAreFoundAndSoundOnesAreNot)
{
    size_t found = 0, grey = 0, wrong = 0, sound = 0;

    for (uint32_t seed = 1; seed <= 20; seed++) {
        Load load(seed);

        for (size_t w = 0; w < kWorkers; w++) {
            load.failing[w] = w < kWorkers / 10 ? 0.4 : 0.02;
        }
        for (int i = 0; i < 150; i++) { /* about 15 runs on each worker */
            load.RunStep(4);
        }
        for (size_t w = 0; w < kWorkers; w++) {
            bool is_found = load.Judge(w).failing_permille > 0;

            (w < kWorkers / 10 ? grey : sound)++;
            (w < kWorkers / 10 ? found : wrong) += is_found;
        }
    }
    EXPECT_GE(found * 100, grey * 80);
    EXPECT_LE(wrong * 1000, sound * 10);
}

/* Load: a kind of task that fails wherever it runs, beside others. */
TEST(QualityTest, AKindOfTaskThatFailsEverywhereSetsNoWorkerBack)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        Load load(seed);
        size_t wrong = 0;

        for (int i = 0; i < 60; i++) {
            load.RunStep(4, 0.0, 1);
            load.RunStep(4, 0.9, 2);
        }
        for (size_t w = 0; w < kWorkers; w++) {
            wrong += load.Judge(w).failing_permille > 0;
        }
        EXPECT_LE(wrong, kWorkers / 20) << seed;
    }
}

/* Load: the tasks of one faulty job, all of which one worker got. */
TEST(QualityTest, FailuresOfOneStepProveLittle)
{
    Load load(1);
    jr_quality_run_t run = {5, 1, 1, 1000};

    for (int i = 0; i < 10; i++) {
        load.RunStep(8);
    }
    for (int i = 0; i < 5; i++) {
        jr_quality_note_failed(load.quality, &load.records[0], &run, false,
                               load.now);
    }
    EXPECT_LT(load.Judge(0).failing_permille, 100);
}

TEST(QualityTest, OneFailureProvesNothing)
{
    Load load(1);
    jr_quality_run_t run = {5, 1, 1, 1000};

    jr_quality_note_failed(load.quality, &load.records[0], &run, false,
                           load.now);
    EXPECT_EQ(load.Judge(0).failing_permille, 0);
}

/* A task that fails on one worker after another sets none of them back. */
TEST(QualityTest, ATaskThatFailsElsewhereTooIsForgiven)
{
    Load load(1);

    for (uint64_t step = 1; step <= 6; step++) {
        jr_quality_run_t first = {step, step, 1, 1000};
        jr_quality_run_t second = {step, step, 2, 1000};

        double charge = jr_quality_note_failed(load.quality, &load.records[0],
                                               &first, false, load.now);

        jr_quality_forgive(load.quality, &load.records[0], charge, load.now);
        jr_quality_note_failed(load.quality, &load.records[1], &second, true,
                               load.now);
    }
    EXPECT_LT(load.Judge(0).failing_permille, 100);
    EXPECT_LT(load.Judge(1).failing_permille, 100);
}

/*
 * Guards against a grey worker that is cleared by a task of its own fault:
 * what it was not charged with is not taken back.
 */
TEST(QualityTest, ATaskThatFailsOnThreeWorkersClearsNoneOfOtherFailures)
{
    Load load(1);
    double before;

    for (uint64_t step = 1; step <= 6; step++) {
        jr_quality_run_t own = {step, step, 2, 1000};

        jr_quality_note_failed(load.quality, &load.records[1], &own, false,
                               load.now);
    }
    before = load.records[1].failures;
    for (uint64_t step = 101; step <= 106; step++) {
        jr_quality_run_t first = {step, step, 1, 1000};
        jr_quality_run_t second = {step, step, 2, 1000};
        double charge = jr_quality_note_failed(load.quality, &load.records[0],
                                               &first, false, load.now);

        jr_quality_forgive(load.quality, &load.records[0], charge, load.now);
        charge = jr_quality_note_failed(load.quality, &load.records[1],
                                        &second, true, load.now);
        jr_quality_forgive(load.quality, &load.records[1], charge, load.now);
    }
    EXPECT_GE(load.records[1].failures, before);
}

/* Load: a worker that restarts without notice every few seconds. */
TEST(QualityTest, AWorkerThatFlapsIsFound)
{
    Load load(1);

    for (int i = 0; i < 4; i++) {
        jr_quality_note_lost(load.quality, &load.records[3], load.now);
        load.RunStep(8);
        load.now += 5000;
    }
    EXPECT_GT(load.Judge(3).failing_permille, 0);
}

/* The way back: good runs, or none at all. */
TEST(QualityTest, AMendedWorkerComesBack)
{
    for (bool gets_runs : {false, true}) {
        Load load(7);

        load.slowness[0] = 4.0;
        load.failing[0] = 0.5;
        for (int i = 0; i < 80; i++) {
            load.RunStep(6);
        }
        EXPECT_GT(load.Judge(0).speed_permille, 1400);
        load.slowness[0] = 1.0;
        load.failing[0] = 0.0;
        for (int i = 0; gets_runs && i < 400; i++) {
            load.RunStep(6);
        }
        load.now += gets_runs ? 0 : 200000;
        EXPECT_EQ(load.Judge(0).speed_permille, JR_QUALITY_SOUND);
        EXPECT_EQ(load.Judge(0).failing_permille, 0);
    }
}

TEST(QualityTest, AColdWorkerGetsWarm)
{
    Load load(1);
    jr_quality_record_t *record = &load.records[0];

    jr_quality_note_cold(record, 8000, load.now);
    EXPECT_EQ(load.Judge(0).cold_ms, 8000);
    load.now += 3000;
    EXPECT_EQ(load.Judge(0).cold_ms, 5000);
    jr_quality_note_cold(record, 1000, load.now);
    EXPECT_EQ(load.Judge(0).cold_ms, 1000);
    load.now += 1001;
    EXPECT_EQ(load.Judge(0).cold_ms, 0);
    jr_quality_note_cold(record, INT64_MAX, load.now);
    EXPECT_EQ(load.Judge(0).cold_ms, JR_QUALITY_COLD_MAX_MS);
    jr_quality_note_cold(record, -5, load.now);
    EXPECT_EQ(load.Judge(0).cold_ms, 0);
}

/* Short tasks lose most on a cold worker, long ones hardly anything. */
TEST(QualityTest, ATaskIsColdOnlyUntilItsWorkerIsWarm)
{
    jr_quality_verdict_t cold = {JR_QUALITY_SOUND, 0, 9000};
    jr_quality_verdict_t sound = {JR_QUALITY_SOUND, 0, 0};
    jr_quality_verdict_t worst = {JR_QUALITY_EXPECTED_MAX, 900, 600000};

    EXPECT_EQ(jr_quality_expected_permille(&cold, 1000), 3000);
    EXPECT_EQ(jr_quality_expected_permille(&cold, 60000), 1100);
    EXPECT_EQ(jr_quality_expected_permille(&sound, 1000), JR_QUALITY_SOUND);
    EXPECT_EQ(jr_quality_expected_permille(&sound, 0), JR_QUALITY_SOUND);
    EXPECT_EQ(jr_quality_expected_permille(&worst, INT64_MAX),
              JR_QUALITY_EXPECTED_MAX);
    EXPECT_EQ(jr_quality_expected_permille(&worst, INT64_MIN),
              JR_QUALITY_EXPECTED_MAX);
}

static void
ExpectBounded(const jr_quality_verdict_t &verdict)
{
    EXPECT_GE(verdict.speed_permille, JR_QUALITY_SOUND);
    EXPECT_LE(verdict.speed_permille, JR_QUALITY_EXPECTED_MAX);
    EXPECT_GE(verdict.failing_permille, 0);
    EXPECT_LT(verdict.failing_permille, 1000);
    EXPECT_GE(verdict.cold_ms, 0);
    EXPECT_LE(verdict.cold_ms, JR_QUALITY_COLD_MAX_MS);
    EXPECT_GE(jr_quality_expected_permille(&verdict, 1000), JR_QUALITY_SOUND);
}

/*
 * Bad input: run times of 0 and below, clocks that jump, names that are new
 * each time, in any order.
 */
TEST(QualityTest, VerdictsStayInBoundsWhateverIsNoted)
{
    static const int64_t times[] = {
        0, -1, 1, 500, INT64_MAX, INT64_MIN, 24 * 3600 * 1000};

    for (uint32_t seed = 1; seed <= 20; seed++) {
        std::mt19937 rng(seed);
        Load load(seed);

        for (int i = 0; i < 20000; i++) {
            jr_quality_record_t *record = &load.records[rng() % kWorkers];
            jr_quality_run_t run = {rng(), rng(), rng() % 50,
                                    times[rng() % 7]};

            load.now = rng() % 50 == 0
                           ? static_cast<int64_t>(rng()) * 1000
                           : load.now + static_cast<int64_t>(rng() % 100);
            switch (rng() % 6) {
            case 0:
                jr_quality_note_time(load.quality, record, &run,
                                     times[rng() % 7], load.now);
                break;
            case 1:
                jr_quality_note_done(load.quality, record, &run, load.now);
                break;
            case 2:
                jr_quality_note_failed(load.quality, record, &run,
                                       rng() % 2 == 0, load.now);
                break;
            case 3:
                jr_quality_note_refused(load.quality, record, load.now);
                break;
            case 4:
                jr_quality_note_cold(record, times[rng() % 7], load.now);
                break;
            default:
                jr_quality_forgive(load.quality, record,
                                   (double)(rng() % 3) / 2.0, load.now);
                break;
            }
            ExpectBounded(jr_quality_judge(load.quality, record, load.now));
        }
    }
}

/* A run time that is not one proves nothing. */
TEST(QualityTest, ImpossibleRunTimesAreIgnored)
{
    Load load(1);
    jr_quality_run_t run = {5, 1, 2, 1000};

    for (int i = 0; i < 5; i++) {
        jr_quality_note_time(load.quality, &load.records[1], &run, 1000,
                             load.now);
    }
    run.worker = 1;
    for (int64_t time : {int64_t{0}, int64_t{-7}, INT64_MAX}) {
        jr_quality_note_time(load.quality, &load.records[0], &run, time,
                             load.now);
    }
    EXPECT_EQ(load.records[0].speed_weight, 0.0);
}
