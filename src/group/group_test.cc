/* A job group of one replica: who answers, and when. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "jayrelay/group.h"
}

namespace {

constexpr int64_t kElectionMs = 100;
constexpr int64_t kHeartbeatMs = 20;

class GroupTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_group_options_t options = {};
        jr_config_t members = {};

        members.n = 1;
        members.members[0].id = 1;
        members.members[0].voter = true;
        ctx_ = jr_new_ctx("test", nullptr);
        store_ = jr_new_memory_store(ctx_);
        ASSERT_EQ(jr_group_init(ctx_, store_, &members), JR_OK);
        options.kind = JR_GROUP_JOBS;
        options.quorum.self = 1;
        options.quorum.seed = 1;
        options.quorum.election_ms = kElectionMs;
        options.quorum.heartbeat_ms = kHeartbeatMs;
        options.dispatch.lease_ms = 1000;
        options.snapshot_every = 1000;
        options.hooks = {OnSend, OnReply, OnRules, this};
        group_ = jr_new_group(ctx_, &options, store_, now_);
        ASSERT_NE(group_, nullptr);
        for (int i = 0; i < 100; i++) {
            now_ += 10;
            jr_group_tick(group_, now_);
            jr_group_pump(group_, now_);
        }
        ASSERT_EQ(jr_quorum_role(jr_group_quorum(group_)), JR_LEADER);
    }

    void
    TearDown() override
    {
        jr_drop_group(group_);
        jr_drop_store(store_);
        jr_drop_ctx(ctx_);
    }

    static void
    OnSend(void *, const jr_member_t *, const uint8_t *, size_t)
    {
    }

    static void
    OnRules(void *, uint64_t, const char *)
    {
    }

    static void
    OnReply(void *user, const jr_reply_address_t *, Jr__Reply *reply)
    {
        static_cast<GroupTest *>(user)->codes_.push_back(reply->code);
    }

    void
    AskForJob()
    {
        Jr__JobAsk ask = JR__JOB_ASK__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        request.body_case = JR__REQUEST__BODY_JOB_ASK;
        request.job_ask = &ask;
        jr_group_request(group_, &reply_to, &request, now_);
    }

    void
    CheckIn(bool is_draining, int64_t born = 1, const char *service = "s")
    {
        Jr__JobWorker info = JR__JOB_WORKER__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        info.id = const_cast<char *>("w0");
        info.born = born;
        info.service = const_cast<char *>(service);
        info.address = const_cast<char *>("10.0.0.1:1");
        info.cpu_milli = 1000;
        info.draining = is_draining;
        request.body_case = JR__REQUEST__BODY_JOB_WORKER;
        request.job_worker = &info;
        jr_group_request(group_, &reply_to, &request, now_);
        jr_group_pump(group_, now_);
    }

    /* The worker answers the order that is due, as that incarnation. */
    void
    AnswerOrder(int64_t born)
    {
        jr_answer_t answer = {};
        jr_order_t order;

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = 1;
        answer.incarnation = born;
        ASSERT_TRUE(jr_group_take_order(group_, now_, &order));
        jr_group_answer(group_, order.serial, &answer, now_);
        jr_group_pump(group_, now_);
    }

    /* With one service. */
    void
    Configure(const char *service)
    {
        Jr__JobService row = JR__JOB_SERVICE__INIT;
        Jr__JobService *rows[] = {&row};
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        row.name = const_cast<char *>(service);
        config.version = 1;
        config.n_services = 1;
        config.services = rows;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
        request.job_command = &command;
        jr_group_request(group_, &reply_to, &request, now_);
        jr_group_pump(group_, now_);
    }

    void
    Leave(int64_t born)
    {
        Jr__JobLeave leave = JR__JOB_LEAVE__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        leave.id = const_cast<char *>("w0");
        leave.born = born;
        request.body_case = JR__REQUEST__BODY_JOB_LEAVE;
        request.job_leave = &leave;
        jr_group_request(group_, &reply_to, &request, now_);
        jr_group_pump(group_, now_);
    }

    void
    DrainZone(bool drains, uint64_t seen)
    {
        Jr__JobZoneRequest zone = JR__JOB_ZONE_REQUEST__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        zone.zone = const_cast<char *>("a");
        zone.drains = drains;
        zone.seen = seen;
        command.body_case = JR__JOB_COMMAND__BODY_ZONE;
        command.zone = &zone;
        request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
        request.job_command = &command;
        jr_group_request(group_, &reply_to, &request, now_);
        jr_group_pump(group_, now_);
    }

    void
    ReceiveFromNewerLeader()
    {
        Jr__Append append = JR__APPEND__INIT;
        Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;
        std::vector<uint8_t> bytes;

        message.term = 1000;
        message.from = 2;
        message.to = 1;
        message.body_case = JR__QUORUM_MSG__BODY_APPEND;
        message.append = &append;
        bytes.resize(jr__quorum_msg__get_packed_size(&message));
        jr__quorum_msg__pack(&message, bytes.data());
        ASSERT_EQ(jr_group_receive(group_, bytes.data(), bytes.size(), now_),
                  JR_OK);
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_store_t *store_ = nullptr;
    jr_group_t *group_ = nullptr;
    int64_t now_ = 0;
    std::vector<uint32_t> codes_;
};

TEST_F(GroupTest, ALeaderAnswersQuestions)
{
    AskForJob();
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_NO_CONFIG});
}

/* A leader deposed by a message must not answer the next one from its state.
 */
TEST_F(GroupTest, ADeposedLeaderAnswersNoQuestionBeforeTheNextPump)
{
    ReceiveFromNewerLeader();
    AskForJob();
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_NOT_LEADER});
}

/*
 * The operator's request waited in a queue, and the zone was taken back
 * meanwhile: it is refused and changes nothing.
 */
TEST_F(GroupTest, ADelayedDrainOfAZoneIsRefused)
{
    DrainZone(true, 0);
    DrainZone(true, 0);
    DrainZone(false, 2);
    EXPECT_EQ(codes_, (std::vector<uint32_t>{JR_OK, JR_OK, JR_OK}));
    codes_.clear();
    DrainZone(true, 1);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_OVERTAKEN});
    EXPECT_FALSE(jr_zones_is_drained(jr_group_jobs(group_)->zones, "a"));
}

/* Only the log tells: a leader that was replaced may have an old state. */
TEST_F(GroupTest, ADeposedLeaderAcknowledgesNoDrainOfAZone)
{
    DrainZone(true, 0);
    codes_.clear();
    ReceiveFromNewerLeader();
    DrainZone(true, 1);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_NOT_LEADER});
}

/*
 * Load: thousands of check-ins a second that repeat what is in the log. Any
 * replica acknowledges them, but nothing that is not in the log: a worker that
 * drains must not be acknowledged before the leader knows.
 */
TEST_F(GroupTest, AFollowerAcknowledgesOnlyCheckInsThatSayNothingNew)
{
    CheckIn(false);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_OK});
    ReceiveFromNewerLeader();
    codes_.clear();
    CheckIn(false);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_OK});
    codes_.clear();
    CheckIn(true);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_NOT_LEADER});
}

/*
 * Guards against a worker that another writer shuts out: a check-in under its
 * id, with a start time that can't be true, was taken for a later incarnation,
 * and those of the worker for late ones; a leave request ended it.
 */
TEST_F(GroupTest, AWorkerThatIsNotBornYetIsRefused)
{
    const jr_job_worker_t *worker;

    CheckIn(false, 1);
    codes_.clear();
    for (int64_t born : {INT64_MAX, INT64_MAX / 2, int64_t{1} << 53,
                         int64_t{1791499593189} * 1000}) {
        CheckIn(false, born);
        Leave(born);
    }
    EXPECT_EQ(codes_, std::vector<uint32_t>(8, JR_BAD_REQUEST));
    worker = jr_jobs_worker(jr_group_jobs(group_), "w0");
    ASSERT_NE(worker, nullptr);
    EXPECT_EQ(worker->info->born, 1);
    EXPECT_FALSE(worker->info->leaving);
    codes_.clear();
    CheckIn(true, 1);
    EXPECT_EQ(codes_, std::vector<uint32_t>{JR_OK});
    EXPECT_TRUE(worker->info->draining);
}

/*
 * Guards against tasks that run twice after a check-in of another writer under
 * the id of a worker: it names an unknown service, and was taken for a
 * restart.
 */
TEST_F(GroupTest, ACheckInForAnUnknownServiceRestartsNoWorker)
{
    const jr_job_worker_t *worker;

    Configure("t");
    CheckIn(false, 1, "s"); /* not configured yet, or not any more */
    CheckIn(false, 2, "nobody");
    EXPECT_EQ(codes_, (std::vector<uint32_t>{JR_OK, JR_OK, JR_BAD_REQUEST}));
    worker = jr_jobs_worker(jr_group_jobs(group_), "w0");
    ASSERT_NE(worker, nullptr);
    EXPECT_EQ(worker->info->born, 1);
    codes_.clear();
    CheckIn(true, 1, "s");
    CheckIn(false, 3, "t"); /* it was moved */
    EXPECT_EQ(codes_, (std::vector<uint32_t>{JR_OK, JR_OK}));
    EXPECT_EQ(worker->info->born, 1);
    AnswerOrder(3);
    EXPECT_EQ(worker->info->born, 3);
}

/* Guards against a check-in of another writer that is answered as sound. */
TEST_F(GroupTest, ACheckInWithoutTheStartThatItsWorkerNamesIsRefused)
{
    CheckIn(false, 0); /* names none yet */
    CheckIn(false, 1);
    AnswerOrder(1);
    CheckIn(true, 0);
    EXPECT_EQ(codes_, (std::vector<uint32_t>{JR_OK, JR_OK, JR_BAD_REQUEST}));
    EXPECT_FALSE(jr_jobs_worker(jr_group_jobs(group_), "w0")->info->draining);
}

/* Guards against a leader whose clock is years behind and refuses workers. */
TEST_F(GroupTest, TheLeadersClockRefusesNoWorker)
{
    int64_t born = 1791499593189;

    CheckIn(false, born);
    Leave(born);
    EXPECT_EQ(codes_, (std::vector<uint32_t>{JR_OK, JR_OK}));
}

} // namespace
