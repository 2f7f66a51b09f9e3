/*
 * Grants that are on their way to the log while their worker is removed, comes
 * back, or the task is granted anew.
 */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "dispatch/commands_test.h"

namespace {

constexpr int64_t kTickMs = 100; /* each tick has a scheduling pass */
constexpr int64_t kBorn = 2;
constexpr int64_t kLeaseMs = 3000;
constexpr uint32_t kCpu = 4000; /* of a worker, and of each task */

class GrantTest : public ::testing::Test {
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
    CheckIn(const std::string &id, bool is_draining = false)
    {
        Apply(PackWorker(id, kBorn, is_draining, now_));
    }

    void
    Remove(std::string id)
    {
        Jr__JobWorkerGone gone = JR__JOB_WORKER_GONE__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;

        gone.id = id.data();
        gone.born = kBorn;
        command.body_case = JR__JOB_COMMAND__BODY_WORKER_GONE;
        command.worker_gone = &gone;
        Apply(PackCommand(&command, now_));
    }

    void
    Submit()
    {
        Apply(PackSubmit(kCpu, now_));
    }

    /* Time passes; returns the proposals, which the log does not have yet. */
    std::vector<Bytes>
    Tick()
    {
        std::vector<Bytes> commands;
        uint8_t *bytes;
        size_t len;

        now_ += kTickMs;
        jr_dispatch_tick(dispatch_, now_, now_);
        while (jr_dispatch_take_command(dispatch_, &bytes, &len)) {
            commands.emplace_back(bytes, bytes + len);
            jr_free(ctx_, bytes);
        }
        return commands;
    }

    /* Answers renewals; returns the workers that get a start order. */
    std::vector<std::string>
    TakeStarts()
    {
        std::vector<std::string> workers;
        jr_order_t order;

        while (jr_dispatch_take_order(dispatch_, &order)) {
            jr_answer_t answer = {};

            if (order.kind == JR_ORDER_START) {
                workers.push_back(order.worker);
                continue;
            }
            answer.kind = JR_ANSWER_DONE;
            answer.clock_ms = now_;
            answer.incarnation = kBorn;
            if (order.as.renew.wait_ms == 0) {
                jr_dispatch_answer(dispatch_, order.serial, &answer, now_);
            }
        }
        return workers;
    }

    /* Answers all orders that are due now; not those that follow. */
    void
    AnswerAll(jr_answer_kind_t kind)
    {
        std::vector<uint64_t> serials;
        jr_answer_t answer = {};
        jr_order_t order;

        while (jr_dispatch_take_order(dispatch_, &order)) {
            serials.push_back(order.serial);
        }
        answer.kind = kind;
        answer.clock_ms = now_;
        answer.incarnation = kBorn;
        for (uint64_t serial : serials) {
            jr_dispatch_answer(dispatch_, serial, &answer, now_);
        }
    }

    /* Answers all orders so for a while; returns the number of starts. */
    int
    RunWith(jr_answer_kind_t start, jr_answer_kind_t renewal, int64_t ms)
    {
        int n_starts = 0;

        for (int64_t end = now_ + ms; now_ < end;) {
            jr_order_t order;

            Tick();
            while (jr_dispatch_take_order(dispatch_, &order)) {
                bool is_start = order.kind == JR_ORDER_START;
                jr_answer_t answer = {};

                answer.kind = is_start ? start : renewal;
                answer.clock_ms = now_;
                answer.incarnation = kBorn;
                n_starts += is_start;
                jr_dispatch_answer(dispatch_, order.serial, &answer, now_);
            }
        }
        return n_starts;
    }

    /* Returns the proposal that grants the task. */
    Bytes
    GrantTo(const std::string &id)
    {
        CheckIn(id);
        EXPECT_TRUE(Tick().empty());
        EXPECT_TRUE(TakeStarts().empty());
        std::vector<Bytes> commands = Tick();

        EXPECT_EQ(commands.size(), 1u);
        return commands.empty() ? Bytes() : commands[0];
    }

    const jr_job_task_t *
    Task()
    {
        Jr__JobRun name = JR__JOB_RUN__INIT;

        name.job = 1;
        return jr_jobs_task(jobs_, &name);
    }

    int64_t now_ = 1000;
    jr_ctx_t *ctx_;
    jr_jobs_t *jobs_;
    jr_dispatch_t *dispatch_;
};

/* Guards against a task that stays granted and is never started. */
TEST_F(GrantTest, ARefusedGrantDoesNotWithdrawTheNextOne)
{
    Submit();
    Bytes first = GrantTo("w0");

    Remove("w0");
    Bytes second = GrantTo("w1");

    Apply(first);
    Apply(second);
    ASSERT_EQ(Task()->phase, JR_PHASE_GRANTED);
    EXPECT_EQ(TakeStarts(), std::vector<std::string>{"w1"});
}

/*
 * Guards against a task that is started on one worker and granted to another:
 * its end would be acknowledged and not counted.
 */
TEST_F(GrantTest, ATaskIsStartedWhereTheLogGrantsIt)
{
    Submit();
    Bytes first = GrantTo("w0");

    Remove("w0");
    Bytes second = GrantTo("w1");

    Apply(first);
    CheckIn("w1", true);
    CheckIn("w2");
    Tick();
    TakeStarts();
    Tick(); /* a third grant, if the second was withdrawn */
    Apply(second);
    for (const std::string &id : TakeStarts()) {
        EXPECT_EQ(id, Task()->worker->info->id);
    }
}

/* Guards against the same when a removed worker is back before its grant. */
TEST_F(GrantTest, AGrantToAWorkerThatIsBackIsReleased)
{
    Submit();
    Bytes first = GrantTo("w0");

    Remove("w0");
    Bytes second = GrantTo("w1");

    CheckIn("w0");
    Apply(first);
    EXPECT_STREQ(Task()->worker->info->id, "w0");
    Apply(second);
    EXPECT_TRUE(TakeStarts().empty());
    for (const Bytes &command : Tick()) {
        Apply(command);
    }
    EXPECT_EQ(Task()->phase, JR_PHASE_WAITING);
    for (int i = 0; i < 3; i++) {
        for (const Bytes &command : Tick()) {
            Apply(command);
        }
        std::vector<std::string> starts = TakeStarts();

        if (!starts.empty()) {
            EXPECT_EQ(starts,
                      std::vector<std::string>{Task()->worker->info->id});
            return;
        }
    }
    ADD_FAILURE() << "the task is not started again";
}

/*
 * Guards against a task that stays granted to a worker which ended while the
 * grant was on its way to the log: it is asked nothing any more, and was not
 * taken for silent.
 */
TEST_F(GrantTest, AGrantToAWorkerThatHasEndedIsReleased)
{
    Submit();
    CheckIn("w0");
    Tick();
    AnswerAll(JR_ANSWER_DONE);
    std::vector<Bytes> commands = Tick();
    ASSERT_EQ(commands.size(), 1u);
    AnswerAll(JR_ANSWER_OTHER_INCARNATION);
    Apply(commands[0]);
    ASSERT_EQ(Task()->phase, JR_PHASE_GRANTED);
    for (int64_t end = now_ + 2 * kLeaseMs;
         now_ < end && Task()->phase == JR_PHASE_GRANTED;) {
        for (const Bytes &command : Tick()) {
            Apply(command);
        }
        AnswerAll(JR_ANSWER_OTHER_INCARNATION);
    }
    EXPECT_EQ(Task()->phase, JR_PHASE_WAITING);
}

/*
 * Guards against a worker that is in use again after it was removed: its last
 * check-in arrives late. It gets no task before it has answered.
 */
TEST_F(GrantTest, ALateCheckInOfARemovedWorkerBringsItNoTask)
{
    Submit();
    CheckIn("w0");
    Remove("w0");
    CheckIn("w0");
    EXPECT_EQ(RunWith(JR_ANSWER_DONE, JR_ANSWER_UNREACHED, 15000), 0);
    EXPECT_EQ(Task()->phase, JR_PHASE_WAITING);
    EXPECT_NE(jr_jobs_worker(jobs_, "w0"), nullptr);
    for (int i = 0; i < 100; i++) {
        for (const Bytes &command : Tick()) {
            Apply(command);
        }
    }
    EXPECT_EQ(jr_jobs_worker(jobs_, "w0"), nullptr);
}

/*
 * Guards against a start that is not repeated: one that did not reach the
 * worker at first, and whose answer is lost after it did.
 */
TEST_F(GrantTest, AStartThatWasOnceUnreachedIsRepeatedAfterALostAnswer)
{
    Submit();
    Apply(GrantTo("w0"));
    EXPECT_EQ(RunWith(JR_ANSWER_UNREACHED, JR_ANSWER_DONE, kTickMs), 1);
    EXPECT_EQ(RunWith(JR_ANSWER_UNKNOWN, JR_ANSWER_DONE, 3 * kTickMs), 1);
    EXPECT_GT(RunWith(JR_ANSWER_UNKNOWN, JR_ANSWER_UNKNOWN, 10 * kTickMs), 0);
}

/*
 * Guards against a start that crashes its worker twice: the worker may have
 * crashed under the one without an answer, and can't be reached since.
 */
TEST_F(GrantTest, AStartWithoutAnswerIsNotRepeatedOnceItsWorkerIsUnreached)
{
    Submit();
    Apply(GrantTo("w0"));
    EXPECT_EQ(RunWith(JR_ANSWER_UNKNOWN, JR_ANSWER_UNREACHED, kTickMs), 1);
    EXPECT_EQ(RunWith(JR_ANSWER_UNREACHED, JR_ANSWER_UNREACHED, 4 * kTickMs),
              1);
    EXPECT_EQ(RunWith(JR_ANSWER_UNKNOWN, JR_ANSWER_UNREACHED, 10 * kTickMs),
              0);
}

/*
 * Guards against a new leader that takes all waits for 0, or for those of its
 * last leadership, as it decides before its clock is set.
 */
TEST_F(GrantTest, ANewLeaderDecidesNothingBeforeItKnowsTheTime)
{
    uint64_t passes;
    uint8_t *bytes;
    size_t len;

    CheckIn("w");
    Submit();
    Tick();
    passes = ctx_->counters[JR_C_PASSES];
    jr_dispatch_resign(dispatch_);
    now_ += 60000;
    jr_dispatch_lead(dispatch_, 2, now_);
    while (jr_dispatch_take_command(dispatch_, &bytes, &len)) {
        jr_free(ctx_, bytes);
    }
    EXPECT_EQ(ctx_->counters[JR_C_PASSES], passes);
    Tick();
    EXPECT_GT(ctx_->counters[JR_C_PASSES], passes);
}

} // namespace
