/* How many orders may be open, of those that can wait. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "dispatch/commands_test.h"

namespace {

constexpr int64_t kTickMs = 100; /* each tick has a scheduling pass */
constexpr int64_t kBorn = 2;
constexpr int64_t kLeaseMs = 6000;
constexpr uint32_t kCpu = 4000; /* of a worker, and of each task */
constexpr uint32_t kWorkers = 600;
constexpr size_t kStartsMost = 256; /* that may be open in a zone */
constexpr uint64_t kFirstJob = 1;

class WindowTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_dispatch_options_t options = {};

        options.lease_ms = kLeaseMs;
        options.hold_wait_ms = 2000;
        options.order_age_ms = 700;
        options.far_permille = 1000;
        ctx_ = jr_new_ctx("test", nullptr);
        jobs_ = jr_new_jobs(ctx_);
        dispatch_ = jr_new_dispatch(ctx_, &options, jobs_);
        jr_dispatch_lead(dispatch_, 1, now_);
        Apply(PackConfig(now_));
        for (uint32_t i = 0; i < kWorkers; i++) {
            Apply(PackWorker("w" + std::to_string(i), kBorn, false, now_));
        }
        Tick();
        TakeOrders();
    }

    void
    TearDown() override
    {
        jr_drop_dispatch(dispatch_);
        jr_drop_jobs(jobs_);
        jr_drop_ctx(ctx_);
    }

    void
    Apply(const Bytes &bytes)
    {
        jr_jobs_apply(jobs_, bytes.data(), bytes.size());
    }

    void
    Submit(uint64_t id, uint32_t count, bool is_best_effort = false)
    {
        Jr__JobStep step = JR__JOB_STEP__INIT;
        Jr__JobStep *steps[] = {&step};
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;

        step.count = count;
        step.filler = is_best_effort;
        step.cpu_milli = kCpu;
        step.estimate_ms = 60000;
        spec.id = id;
        spec.host = const_cast<char *>("h");
        spec.prefix = const_cast<char *>("/q/");
        spec.n_steps = 1;
        spec.steps = steps;
        submit.spec = &spec;
        command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        Apply(PackCommand(&command, now_));
    }

    void
    Cancel()
    {
        Jr__JobCancel cancel = JR__JOB_CANCEL__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;

        cancel.job = kFirstJob;
        command.body_case = JR__JOB_COMMAND__BODY_CANCEL;
        command.cancel = &cancel;
        Apply(PackCommand(&command, now_));
    }

    /* Time passes; what is proposed is in the log at once. */
    void
    Tick()
    {
        uint8_t *bytes;
        size_t len;

        now_ += kTickMs;
        jr_dispatch_tick(dispatch_, now_, now_);
        while (jr_dispatch_take_command(dispatch_, &bytes, &len)) {
            Apply(Bytes(bytes, bytes + len));
            jr_free(ctx_, bytes);
        }
    }

    void
    Answer(uint64_t serial)
    {
        jr_answer_t answer = {};

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = now_;
        answer.incarnation = kBorn;
        jr_dispatch_answer(dispatch_, serial, &answer, now_);
    }

    /* Answers renewals that do not wait; starts and stops stay open. */
    void
    TakeOrders()
    {
        jr_order_t order;

        while (jr_dispatch_take_order(dispatch_, &order)) {
            if (order.kind == JR_ORDER_START) {
                starts_.push_back(order.serial);
                last_job_ = order.run.job;
                last_worker_ = order.worker;
            }
            else if (order.kind == JR_ORDER_STOP) {
                n_stops_++;
            }
            else if (order.as.renew.wait_ms == 0) {
                Answer(order.serial);
            }
        }
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_jobs_t *jobs_ = nullptr;
    jr_dispatch_t *dispatch_ = nullptr;
    int64_t now_ = 1000;
    std::vector<uint64_t> starts_;
    size_t n_stops_ = 0;
    uint64_t last_job_ = 0; /* of the latest start */
    std::string last_worker_;
};

/*
 * Guards against workers that count as silent, since their orders wait in a
 * sender that is given more than it can send.
 */
TEST_F(WindowTest, StartsWaitWhileTooManyHaveNoAnswer)
{
    Submit(kFirstJob, kWorkers);
    Tick();
    TakeOrders();
    EXPECT_EQ(starts_.size(), kStartsMost);
    Tick();
    TakeOrders();
    EXPECT_EQ(starts_.size(), kStartsMost);
    Answer(starts_[0]);
    Answer(starts_[1]);
    TakeOrders();
    EXPECT_EQ(starts_.size(), kStartsMost + 2);
    for (size_t i = 2; i < starts_.size(); i++) {
        Answer(starts_[i]);
        TakeOrders();
    }
    EXPECT_EQ(starts_.size(), kWorkers);
}

/* Guards against stops that wait behind starts. */
TEST_F(WindowTest, StopsDoNotWait)
{
    Submit(kFirstJob, kWorkers);
    Tick();
    TakeOrders();
    for (size_t i = 0; i < kStartsMost; i++) {
        Answer(starts_[i]);
    }
    TakeOrders();
    ASSERT_EQ(starts_.size(), 2 * kStartsMost);
    Cancel();
    Tick();
    TakeOrders();
    EXPECT_GE(n_stops_, kStartsMost);
}

/* Guards against short jobs that are late, as best-effort starts go first. */
TEST_F(WindowTest, ShortTasksStartBeforeBestEffortTasksThatWait)
{
    Submit(kFirstJob, 2 * kStartsMost, true);
    Tick();
    TakeOrders();
    ASSERT_EQ(starts_.size(), kStartsMost);
    Submit(kFirstJob + 1, 1);
    Tick();
    TakeOrders();
    ASSERT_EQ(starts_.size(), kStartsMost);
    Answer(starts_[0]);
    TakeOrders();
    EXPECT_EQ(starts_.size(), kStartsMost + 1);
    EXPECT_EQ(last_job_, kFirstJob + 1);
}

/* Guards against a zone whose orders wait behind all of a slow one. */
TEST_F(WindowTest, AFullZoneDoesNotHoldUpOthers)
{
    Submit(kFirstJob, kWorkers);
    Tick();
    Tick();
    TakeOrders();
    ASSERT_EQ(starts_.size(), kStartsMost);
    Apply(PackWorker("other", kBorn, false, now_, "y"));
    Tick();
    TakeOrders();
    Submit(kFirstJob + 1, 1);
    Tick();
    TakeOrders();
    EXPECT_EQ(starts_.size(), kStartsMost + 1);
    EXPECT_EQ(last_worker_, "other");
}

} // namespace
