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
constexpr uint32_t kWorkers = 300;
/* So many starts a second take 20 ms each, one after the other. */
constexpr size_t kStartsMost = 6400 * 20 / 1000;

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
        Submit();
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

    /* A task for each worker. */
    void
    Submit()
    {
        Jr__JobStep step = JR__JOB_STEP__INIT;
        Jr__JobStep *steps[] = {&step};
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;

        step.count = kWorkers;
        step.cpu_milli = kCpu;
        step.estimate_ms = 60000;
        spec.id = 1;
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

        cancel.job = 1;
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
};

/*
 * Guards against workers that count as silent, since their orders wait in a
 * sender that is given more than it can send.
 */
TEST_F(WindowTest, StartsWaitWhileTooManyHaveNoAnswer)
{
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

} // namespace
