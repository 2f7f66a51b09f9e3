/* Order of the queue and admission by deadline. */
#include <gtest/gtest.h>

extern "C" {
#include "jayrelay/admit.h"
}

class AdmitTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        queue_ = jr_new_queue(ctx_, JR_ADMIT_DEADLINE);
    }

    void
    TearDown() override
    {
        jr_drop_queue(queue_);
        jr_drop_ctx(ctx_);
    }

    jr_call_t
    Call(int priority, int64_t deadline)
    {
        jr_call_t call = {};

        call.id = ++id_;
        call.priority = priority;
        call.deadline = deadline;
        return call;
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_queue_t *queue_ = nullptr;
    uint64_t id_ = 0;
};

TEST_F(AdmitTest, PriorityThenDeadline)
{
    jr_call_t low = Call(10, 100), late = Call(50, 900), soon = Call(50, 200);

    jr_queue_push(queue_, &low);
    jr_queue_push(queue_, &late);
    jr_queue_push(queue_, &soon);
    EXPECT_EQ(jr_queue_first(queue_), &soon);
    EXPECT_EQ(jr_queue_last(queue_), &low);
    jr_queue_remove(queue_, &soon);
    EXPECT_EQ(jr_queue_first(queue_), &late);
    EXPECT_EQ(jr_queue_length(queue_), 2u);
}

TEST_F(AdmitTest, ACallThatWouldMissItsDeadlineIsNotQueued)
{
    jr_call_t others[10];
    jr_call_t call = Call(10, 1000);

    jr_service_rate_t two = {2, 100, 0}, one = {1, 100, 0},
                      unsteady = {2, 100, 20};

    EXPECT_EQ(jr_queue_check(queue_, &call, &two, 0), JR_OK);
    for (jr_call_t &other : others) {
        other = Call(50, 5000);
        jr_queue_push(queue_, &other);
    }
    /* Ten calls precede it, so its expected wait is 11 x 100 / 2. */
    EXPECT_EQ(jr_queue_wait(queue_, &call, &two), 550);
    EXPECT_EQ(jr_queue_check(queue_, &call, &two, 0), JR_OK);
    EXPECT_EQ(jr_queue_check(queue_, &call, &unsteady, 0), JR_DEADLINE);
    EXPECT_EQ(jr_queue_check(queue_, &call, &one, 0), JR_DEADLINE);
    call.priority = 90;
    EXPECT_EQ(jr_queue_check(queue_, &call, &one, 0), JR_OK);
}

TEST_F(AdmitTest, AQueuedCallIsLateWhenItsServiceWouldEndPastTheDeadline)
{
    jr_call_t call = Call(10, 1000);

    jr_queue_push(queue_, &call);
    EXPECT_EQ(jr_queue_find_late(queue_, 300, 700), nullptr);
    EXPECT_EQ(jr_queue_find_late(queue_, 300, 701), &call);
}

TEST_F(AdmitTest, FifoKeepsTheOrderOfArrival)
{
    jr_queue_t *fifo = jr_new_queue(ctx_, JR_ADMIT_FIFO);
    jr_call_t first = Call(1, 900), second = Call(99, 100);

    jr_queue_push(fifo, &second);
    jr_queue_push(fifo, &first);
    EXPECT_EQ(jr_queue_first(fifo), &first);
    jr_drop_queue(fifo);
}
