/* Log lines: format, resistance to injection, and limits on their number. */
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>
#include <vector>

extern "C" {
#include "jayrelay/ctx.h"
}

namespace {

class LogTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(pipe(ends_), 0);
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        stream_ = fdopen(ends_[1], "w");
        ctx_ = jr_new_ctx("test", stream_);
    }

    void
    TearDown() override
    {
        jr_drop_ctx(ctx_);
        fclose(stream_);
        close(ends_[0]);
    }

    std::string
    Read()
    {
        std::string all;
        char buf[4096];
        ssize_t n;

        jr_log_flush(ctx_);
        while ((n = read(ends_[0], buf, sizeof buf)) > 0) {
            all.append(buf, static_cast<size_t>(n));
        }
        return all;
    }

    int ends_[2];
    FILE *stream_;
    jr_ctx_t *ctx_;
};

size_t
CountLines(const std::string &text)
{
    size_t n = 0;

    for (char c : text) {
        n += c == '\n';
    }
    return n;
}

} // namespace

TEST_F(LogTest, ALineHasLevelProgramNumberAndName)
{
    jr_log(ctx_, JR_EV_TORN_TAIL, "at byte %d", 7);
    std::string line = Read();

    EXPECT_EQ(line.compare(0, 5, "time="), 0) << line;
    EXPECT_NE(line.find("Z level=warning program=test pid="),
              std::string::npos)
        << line;
    EXPECT_NE(line.find(" event=205 name=torn-tail text=\"at byte 7\"\n"),
              std::string::npos)
        << line;
}

TEST_F(LogTest, FieldsAreWrittenUnchanged)
{
    jr_log(ctx_, JR_EV_RUN_CONFIRMED, "task=%s worker=%s", "a.0.0.1", "w");
    EXPECT_NE(Read().find(" name=run-confirmed task=a.0.0.1 worker=w\n"),
              std::string::npos);
}

TEST_F(LogTest, UntrustedTextCannotAddALineOrField)
{
    std::string id =
        "x\nlevel=critical status=200\"\x01" + std::string(4000, 'y');
    char buf[64];

    jr_log(ctx_, JR_EV_JOB_ANSWERED, "job=%s status=%d",
           jr_log_value(buf, sizeof buf, id.c_str()), 503);
    std::string line = Read();

    EXPECT_EQ(CountLines(line), 1u);
    EXPECT_EQ(line.find("critical"), line.find("?critical") + 1);
    EXPECT_NE(line.find(" status=503\n"), std::string::npos);
    EXPECT_LT(line.size(), 300u);
}

TEST_F(LogTest, ControlCharactersInFreeTextDoNotEndTheLine)
{
    jr_log(ctx_, JR_EV_TORN_TAIL, "%s", "one\ntwo\rthree");
    EXPECT_EQ(CountLines(Read()), 1u);
}

/*
 * Load: 40,000 lines about 400 jobs in turn. Guards against a log in which a
 * busy day leaves a line of each job here and there, and the story of none.
 */
TEST_F(LogTest, OverBudgetSomeJobsAreLoggedInFull)
{
    constexpr size_t kJobs = 400;
    constexpr size_t kLines = 100;
    std::vector<size_t> logged(kJobs, 0);
    size_t n_full = 0;

    ctx_->log_is_buffered = true;
    for (size_t i = 0; i < kLines; i++) {
        for (size_t job = 0; job < kJobs; job++) {
            uint64_t before = ctx_->counters[JR_C_LOG_LINES_LOST];

            jr_log_job(ctx_, JR_EV_RUN_CONFIRMED, job, "task=%zu", job);
            std::string drained = Read();

            if (ctx_->counters[JR_C_LOG_LINES_LOST] == before) {
                EXPECT_EQ(logged[job], i) << "job " << job << " has a gap";
                logged[job]++;
            }
        }
    }
    for (size_t job = 0; job < kJobs; job++) {
        n_full += logged[job] == kLines;
    }
    EXPECT_GE(n_full, 1u);
    EXPECT_LE(n_full, 60u); /* 600 lines a second, in ten seconds at most */
    EXPECT_GE(ctx_->counters[JR_C_LOG_LINES_LOST], kJobs * kLines / 2);
}

/* Guards against failed renewals that are missing while jobs are left out. */
TEST_F(LogTest, LinesAboutNoJobHaveTheBudgetOfTheirEvent)
{
    size_t n_lines;

    ctx_->log_is_buffered = true;
    for (uint64_t job = 1; job <= 5000; job++) {
        jr_log_job(ctx_, JR_EV_RUN_CONFIRMED, job, "task=1");
        std::string drained = Read();
    }
    for (int i = 0; i < 100; i++) {
        jr_log_job(ctx_, JR_EV_ORDER_FAILED, 0, "task=0");
    }
    n_lines = CountLines(Read());
    EXPECT_GE(n_lines, 100u);
    EXPECT_LE(n_lines, 101u); /* with one about what was left out */
}

TEST_F(LogTest, LinesOverBudgetAreDroppedAndCounted)
{
    ctx_->log_is_buffered = true;
    for (int i = 0; i < 2000; i++) {
        jr_log(ctx_, JR_EV_RUN_CONFIRMED, "task=%d", i);
        if (i % 10 == 0) {
            std::string drained = Read();
        }
    }
    /* The loop may run into the next second, which has its own budget. */
    EXPECT_GE(ctx_->counters[JR_C_LOG_LINES_LOST], 2000u - 2 * 300u);
}

TEST_F(LogTest, DoesNotBlockWhenTheReaderStalls)
{
    /* Nothing reads the pipe: lines beyond its size are dropped, counted. */
    for (int i = 0; i < 3000; i++) {
        jr_log(ctx_, JR_EV_DISK_FAILED, "%0400d", i);
    }
    EXPECT_GT(ctx_->counters[JR_C_LOG_LINES_LOST], 0u);
    EXPECT_GT(CountLines(Read()), 0u);
}
