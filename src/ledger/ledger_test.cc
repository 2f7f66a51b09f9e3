/* Tests of the task state machine and of claimed idempotency keys. */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "jayrelay/ledger.h"
#include "ledger/convert.h"
}

namespace {

class LedgerTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        ledger_ = jr_new_ledger(ctx_, 2);
    }

    void
    TearDown() override
    {
        jr_drop_ledger(ledger_);
        jr_drop_ctx(ctx_);
    }

    jr_ledger_result_t
    Apply(Jr__LedgerCommand *command)
    {
        size_t len;
        uint8_t *bytes = jr_command_pack(ctx_, command, ++at_, &len);
        jr_ledger_result_t result = jr_ledger_apply(ledger_, bytes, len);

        jr_free(ctx_, bytes);
        return result;
    }

    jr_ledger_result_t
    Submit(std::string key, std::string payload = "p")
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        char team[] = "lab", cls[] = "study";

        need.cpu_milli = 1000;
        spec.key = key.data();
        spec.payload = payload.data();
        spec.team = team;
        spec.class_name = cls;
        spec.need = &need;
        submit.spec = &spec;
        command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        return Apply(&command);
    }

    jr_ledger_result_t
    Grant(uint64_t task, uint64_t epoch, std::string to)
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Grant grant = JR__GRANT__INIT;

        grant.task = task;
        grant.epoch = epoch;
        grant.worker = to.data();
        command.body_case = JR__LEDGER_COMMAND__BODY_GRANT;
        command.grant = &grant;
        return Apply(&command);
    }

    jr_ledger_result_t
    Report(uint64_t task, uint64_t epoch, Jr__Report__Kind kind,
           std::string checkpoint = "")
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Report report = JR__REPORT__INIT;

        report.task = task;
        report.epoch = epoch;
        report.kind = kind;
        report.checkpoint = checkpoint.data();
        command.body_case = JR__LEDGER_COMMAND__BODY_REPORT;
        command.report = &report;
        return Apply(&command);
    }

    jr_ledger_result_t
    Expire(uint64_t task, uint64_t epoch)
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Expire expire = JR__EXPIRE__INIT;

        expire.task = task;
        expire.epoch = epoch;
        command.body_case = JR__LEDGER_COMMAND__BODY_EXPIRE;
        command.expire = &expire;
        return Apply(&command);
    }

    jr_ledger_result_t
    Cancel(uint64_t task)
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Cancel cancel = JR__CANCEL__INIT;

        cancel.task = task;
        command.body_case = JR__LEDGER_COMMAND__BODY_CANCEL;
        command.cancel = &cancel;
        return Apply(&command);
    }

    jr_ledger_result_t
    Claim(std::string key, uint64_t hash, std::string request)
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__ClaimCall claim = JR__CLAIM_CALL__INIT;

        claim.key = key.data();
        claim.body_hash = hash;
        claim.request = request.data();
        command.body_case = JR__LEDGER_COMMAND__BODY_CLAIM_CALL;
        command.claim_call = &claim;
        return Apply(&command);
    }

    jr_ledger_result_t
    Done(std::string key, std::string request, bool not_run, std::string body)
    {
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__CallDone done = JR__CALL_DONE__INIT;

        done.key = key.data();
        done.request = request.data();
        done.not_run = not_run;
        done.status = 200;
        done.body.data = (uint8_t *)body.data();
        done.body.len = body.size();
        command.body_case = JR__LEDGER_COMMAND__BODY_CALL_DONE;
        command.call_done = &done;
        return Apply(&command);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_ledger_t *ledger_ = nullptr;
    int64_t at_ = 1000;
};

TEST_F(LedgerTest, TheSameKeyIsTheSameTask)
{
    uint64_t id = Submit("k").task->id;

    EXPECT_EQ(jr_task_group(id), 2u);
    EXPECT_EQ(Submit("k").task->id, id);
    EXPECT_EQ(Submit("k").code, JR_OK);
    EXPECT_EQ(Submit("k", "other").code, JR_KEY_REUSED);
    EXPECT_NE(Submit("k2").task->id, id);
    EXPECT_EQ(jr_ledger_count(ledger_, JR_TASK_QUEUED), 2u);
}

TEST_F(LedgerTest, ALeaseIsGrantedOnceForEachEpoch)
{
    uint64_t id = Submit("k").task->id;

    EXPECT_EQ(Grant(id, 2, "w1").code, JR_STALE_EPOCH);
    EXPECT_EQ(Grant(id, 1, "w1").code, JR_OK);
    EXPECT_EQ(Grant(id, 1, "w2").code, JR_WRONG_STATE);
    EXPECT_EQ(Grant(id, 2, "w2").code, JR_WRONG_STATE);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "w1")->n, 1u);
    EXPECT_EQ(jr_ledger_team(ledger_, "lab")->leased.cpu_milli, 1000);
}

TEST_F(LedgerTest, AReportOfAnOldEpochChangesNothing)
{
    uint64_t id = Submit("k").task->id;

    Grant(id, 1, "w1");
    EXPECT_EQ(Report(id, 1, JR__REPORT__KIND__STOPPED, "half").code, JR_OK);
    Grant(id, 2, "w2");
    EXPECT_EQ(Report(id, 1, JR__REPORT__KIND__FINISHED_OK).code,
              JR_STALE_EPOCH);
    EXPECT_EQ(Expire(id, 1).code, JR_STALE_EPOCH);
    EXPECT_EQ(jr_ledger_task(ledger_, id)->state, JR_TASK_LEASED);
    EXPECT_STREQ(jr_ledger_task(ledger_, id)->checkpoint, "half");
    EXPECT_EQ(Report(id, 2, JR__REPORT__KIND__FINISHED_OK).code, JR_OK);
    EXPECT_EQ(Report(id, 2, JR__REPORT__KIND__FINISHED_OK).code,
              JR_STALE_EPOCH);
    EXPECT_EQ(jr_ledger_worker_leases(ledger_, "w2"), nullptr);
    EXPECT_EQ(jr_ledger_team(ledger_, "lab"), nullptr);
}

/* The first end of a lease in the log is applied, a second one is refused. */
TEST_F(LedgerTest, EvictionRacesAreDecidedByTheLog)
{
    uint64_t a = Submit("a").task->id;
    uint64_t b = Submit("b").task->id;

    Grant(a, 1, "w");
    Grant(b, 1, "w");
    EXPECT_EQ(Cancel(a).code, JR_OK);
    EXPECT_EQ(jr_ledger_task(ledger_, a)->state, JR_TASK_LEASED);
    EXPECT_EQ(Report(a, 1, JR__REPORT__KIND__FINISHED_OK).code, JR_OK);
    EXPECT_EQ(jr_ledger_task(ledger_, a)->state, JR_TASK_FINISHED);
    EXPECT_EQ(Cancel(a).code, JR_WRONG_STATE);
    EXPECT_EQ(Cancel(b).code, JR_OK);
    EXPECT_EQ(Expire(b, 1).code, JR_OK);
    EXPECT_EQ(jr_ledger_task(ledger_, b)->state, JR_TASK_CANCELLED);
    EXPECT_EQ(Report(b, 1, JR__REPORT__KIND__STOPPED).code, JR_STALE_EPOCH);
    EXPECT_EQ(Cancel(b).code, JR_OK);
}

TEST_F(LedgerTest, ATaskThatAlwaysFailsEnds)
{
    uint64_t id = Submit("k").task->id;

    for (uint64_t epoch = 1; epoch <= JR_TASK_FAILURES_MAX; epoch++) {
        ASSERT_EQ(Grant(id, epoch, "w").code, JR_OK);
        ASSERT_EQ(Report(id, epoch, JR__REPORT__KIND__FAILED_RUN).code, JR_OK);
    }
    EXPECT_EQ(jr_ledger_task(ledger_, id)->state, JR_TASK_FAILED);
}

TEST_F(LedgerTest, AClaimedKeyIsAnsweredFromTheFirstRequest)
{
    EXPECT_EQ(Claim("k", 5, "r1").code, JR_OK);
    EXPECT_EQ(Claim("k", 5, "r1").code, JR_OK);
    EXPECT_EQ(Claim("k", 5, "r2").code, JR_IN_PROGRESS);
    EXPECT_EQ(Claim("k", 6, "r3").code, JR_KEY_REUSED);
    EXPECT_EQ(Done("k", "r2", false, "wrong").code, JR_NOT_FOUND);
    EXPECT_EQ(Done("k", "r1", false, "right").code, JR_OK);
    EXPECT_EQ(Done("k", "r1", false, "late").code, JR_OK);
    jr_ledger_result_t result = Claim("k", 5, "r4");

    EXPECT_EQ(result.code, JR_OK);
    EXPECT_TRUE(result.claim->is_done);
    EXPECT_EQ(std::string((char *)result.claim->body, result.claim->len),
              "right");
}

TEST_F(LedgerTest, AClaimOfACallThatDidNotRunIsReleased)
{
    Claim("k", 5, "r1");
    EXPECT_EQ(Done("k", "r1", true, "").code, JR_OK);
    EXPECT_EQ(Claim("k", 6, "r2").code, JR_OK);
}

TEST_F(LedgerTest, ASnapshotHoldsAll)
{
    jr_ledger_t *copy = jr_new_ledger(ctx_, 2);
    uint64_t queued = Submit("q").task->id;
    uint64_t leased = Submit("l").task->id;
    uint64_t ended = Submit("e").task->id;
    uint8_t *bytes, *again;
    size_t len, len_again;

    Grant(leased, 1, "w");
    Report(leased, 1, JR__REPORT__KIND__CHECKPOINT, "cp");
    Cancel(ended);
    Claim("c", 9, "r1");
    Done("c", "r1", false, "answer");
    bytes = jr_ledger_save(ledger_, &len);
    ASSERT_TRUE(jr_ledger_load(copy, bytes, len));
    again = jr_ledger_save(copy, &len_again);
    ASSERT_EQ(len, len_again);
    EXPECT_EQ(memcmp(bytes, again, len), 0);
    EXPECT_EQ(jr_ledger_task(copy, queued)->state, JR_TASK_QUEUED);
    EXPECT_STREQ(jr_ledger_task(copy, leased)->checkpoint, "cp");
    EXPECT_EQ(jr_ledger_worker_leases(copy, "w")->n, 1u);
    EXPECT_FALSE(jr_ledger_load(copy, (const uint8_t *)"\xff\xff", 2));
    EXPECT_EQ(jr_ledger_count(copy, JR_TASK_CANCELLED), 1u);
    jr_free(ctx_, bytes);
    jr_free(ctx_, again);
    jr_drop_ledger(copy);
}

TEST_F(LedgerTest, EndedTasksAndKeysAreRemovedAfterTheirRetention)
{
    uint64_t id = Submit("old").task->id;

    Cancel(id);
    Claim("old-call", 1, "r");
    at_ += JR_RETENTION_MS + 10;
    Submit("new");
    EXPECT_EQ(jr_ledger_task(ledger_, id), nullptr);
    EXPECT_EQ(Claim("old-call", 2, "r2").code, JR_OK);
}

TEST_F(LedgerTest, GarbageIsRefusedAndChangesNothing)
{
    const uint8_t garbage[] = {0x0a, 0xff, 0x01};

    EXPECT_EQ(jr_ledger_apply(ledger_, garbage, sizeof garbage).code,
              JR_BAD_REQUEST);
    EXPECT_EQ(Submit("").code, JR_BAD_REQUEST);
    EXPECT_EQ(Grant(77, 1, "w").code, JR_NOT_FOUND);
}

} // namespace
