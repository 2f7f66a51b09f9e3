/* When a replica of a job group issues orders, and when it must not. */
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/group.h"
}

namespace {

constexpr int64_t kElectionMs = 700;
constexpr int64_t kTickMs = 10;
constexpr int kReplicas = 3;

/* Three replicas that exchange messages in virtual time. */
class OrderTest : public ::testing::Test {
  protected:
    struct Message {
        uint64_t to;
        std::vector<uint8_t> bytes;
    };

    void
    SetUp() override
    {
        jr_config_t members = {};

        ctx_ = jr_new_ctx("test", nullptr);
        members.n = kReplicas;
        for (uint64_t i = 0; i < kReplicas; i++) {
            members.members[i].id = i + 1;
            snprintf(members.members[i].name, sizeof members.members[i].name,
                     "replica%d", static_cast<int>(i));
            members.members[i].voter = true;
        }
        for (uint64_t i = 0; i < kReplicas; i++) {
            jr_group_options_t options = {};

            options.kind = JR_GROUP_JOBS;
            options.quorum.self = i + 1;
            options.quorum.seed = static_cast<uint32_t>(i);
            options.quorum.election_ms = kElectionMs;
            options.quorum.heartbeat_ms = 100;
            options.quorum.voters = kReplicas;
            options.quorum.is_preferred_leader = i == 0;
            options.dispatch.lease_ms = 3000;
            options.dispatch.drift_permille = 20;
            options.dispatch.hold_wait_ms = 2000;
            options.snapshot_every = 1000;
            options.hooks.send = OnSend;
            options.hooks.reply = OnReply;
            options.hooks.rules = OnRules;
            options.hooks.user = this;
            stores_[i] = jr_new_memory_store(ctx_);
            ASSERT_EQ(jr_group_init(ctx_, stores_[i], &members), JR_OK);
            groups_[i] = jr_new_group(ctx_, &options, stores_[i], now_);
            ASSERT_NE(groups_[i], nullptr);
        }
        while (!Leads(0)) {
            Step();
        }
        CheckIn(0);
        for (int i = 0; i < 20; i++) {
            Step();
        }
    }

    void
    TearDown() override
    {
        for (int i = 0; i < kReplicas; i++) {
            jr_drop_group(groups_[i]);
            jr_drop_store(stores_[i]);
        }
        jr_drop_ctx(ctx_);
    }

    static void
    OnSend(void *user, const jr_member_t *to, const uint8_t *bytes, size_t len)
    {
        static_cast<OrderTest *>(user)->messages_.push_back(
            {to->id, {bytes, bytes + len}});
    }

    static void
    OnReply(void *user, const jr_reply_address_t *reply_to, Jr__Reply *reply)
    {
        static_cast<OrderTest *>(user)->replies_[reply_to->id] =
            static_cast<jr_result_t>(reply->code);
    }

    static void
    OnRules(void *, uint64_t, const char *)
    {
    }

    bool
    Leads(int i)
    {
        return jr_quorum_is_caught_up(jr_group_quorum(groups_[i]));
    }

    /* Sends a replica a check-in of the only worker. */
    void
    CheckIn(int replica, uint64_t id = 0, uint32_t cpu_milli = 0)
    {
        Jr__JobWorker info = JR__JOB_WORKER__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        reply_to.id = id;
        info.cpu_milli = cpu_milli;
        info.id = const_cast<char *>("w0");
        info.born = 1;
        info.address = const_cast<char *>("10.0.0.1:1");
        info.zone = const_cast<char *>("z");
        info.service = const_cast<char *>("s");
        info.machine = const_cast<char *>("m");
        request.body_case = JR__REQUEST__BODY_JOB_WORKER;
        request.job_worker = &info;
        jr_group_request(groups_[replica], &reply_to, &request, now_);
    }

    void
    Deliver()
    {
        while (!messages_.empty()) {
            Message message = messages_.front();
            uint64_t i = message.to - 1;

            messages_.pop_front();
            if (static_cast<int>(i) == cut_off_) {
                continue;
            }
            jr_group_receive(groups_[i], message.bytes.data(),
                             message.bytes.size(), now_);
            ASSERT_EQ(jr_group_pump(groups_[i], now_), JR_OK);
        }
    }

    void
    Step()
    {
        now_ += kTickMs;
        for (jr_group_t *group : groups_) {
            jr_group_tick(group, now_);
            ASSERT_EQ(jr_group_pump(group, now_), JR_OK);
        }
        Deliver();
    }

    /* Sends replica 0 the configuration of one queue. */
    void
    Configure()
    {
        Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
        Jr__JobQueue *queues[] = {&queue};
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        queue.host = const_cast<char *>("h");
        queue.prefix = const_cast<char *>("/q/");
        queue.service = const_cast<char *>("s");
        config.version = 1;
        config.n_queues = 1;
        config.queues = queues;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
        request.job_command = &command;
        jr_group_request(groups_[0], &reply_to, &request, now_);
        Step();
    }

    /* Asks replica 0 to cancel a job that it does not know. */
    void
    CancelUnknownJob(uint64_t id)
    {
        Jr__JobAsk ask = JR__JOB_ASK__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        reply_to.id = id;
        ask.verb = JR__JOB_ASK__VERB__CANCEL;
        ask.host = const_cast<char *>("h");
        ask.path = const_cast<char *>("/q/5c0e7a21d94b36f8");
        request.body_case = JR__REQUEST__BODY_JOB_ASK;
        request.job_ask = &ask;
        jr_group_request(groups_[0], &reply_to, &request, now_);
    }

    /* One scan of the workers may end without an order. */
    bool
    IssuesOrders()
    {
        jr_order_t order;

        return jr_group_take_order(groups_[0], now_, &order) ||
               jr_group_take_order(groups_[0], now_, &order);
    }

    jr_ctx_t *ctx_ = nullptr;
    int64_t now_ = 1000;
    int cut_off_ = -1; /* a replica that receives nothing */
    jr_store_t *stores_[kReplicas] = {};
    jr_group_t *groups_[kReplicas] = {};
    std::deque<Message> messages_;
    std::map<uint64_t, jr_result_t> replies_; /* by request */
};

TEST_F(OrderTest, AConfirmedLeaderIssuesOrders)
{
    EXPECT_TRUE(IssuesOrders());
}

/* Guards against renewals that leave long after a majority confirmed them. */
TEST_F(OrderTest, OrdersAreNotIssuedAfterAStall)
{
    now_ += kElectionMs + kTickMs; /* for example while the log is synced */
    EXPECT_FALSE(IssuesOrders());
}

/* Guards against orders of two leaders after a planned hand-over. */
TEST_F(OrderTest, ALeaderThatHandsOverIssuesNoMoreOrders)
{
    ASSERT_TRUE(Leads(0));
    jr_group_transfer(groups_[0]);
    EXPECT_FALSE(IssuesOrders());
    Step();
    EXPECT_FALSE(Leads(0));
}

/*
 * Guards against a cancel that is answered as done by a former leader, while
 * the job that its successor has accepted runs.
 */
TEST_F(OrderTest, AJobIsNotCalledUnknownByALeaderThatWasReplaced)
{
    Configure();
    now_ += kTickMs;
    CancelUnknownJob(1);
    EXPECT_EQ(replies_.count(1), 0u); /* others may have elected a leader */
    Step();
    EXPECT_EQ(replies_[1], JR_GONE); /* a majority has confirmed this one */
}

/* A repeated check-in, which need not burden the leader. */
TEST_F(OrderTest, AFollowerAcknowledgesACheckInThatItsLogHas)
{
    CheckIn(2, 1);
    EXPECT_EQ(replies_.at(1), JR_OK);
}

/*
 * Guards against a worker whose leader takes an old capacity for its present
 * one as long as a replica that is cut off acknowledges what it says.
 */
TEST_F(OrderTest, AFollowerWithoutALeaderAcknowledgesNoCheckIn)
{
    cut_off_ = 2;
    CheckIn(0, 1, 1000); /* it has grown */
    for (int i = 0; i < 2 * kElectionMs / kTickMs; i++) {
        Step();
    }
    EXPECT_EQ(replies_.at(1), JR_OK);
    CheckIn(2, 2); /* it has shrunk again, to what the replica's log has */
    EXPECT_EQ(replies_.at(2), JR_NOT_LEADER);
}

/* The same where the replica was frozen and does not know yet. */
TEST_F(OrderTest, AFollowerThatWasFrozenAcknowledgesNoCheckIn)
{
    now_ += kElectionMs;
    CheckIn(2, 1);
    EXPECT_EQ(replies_.at(1), JR_NOT_LEADER);
}

} // namespace
