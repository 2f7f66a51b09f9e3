/*
 * Messages of each type whose parts are missing or mean nothing, to every
 * receiver. Guards against a process that ends by one malformed message.
 * JR_FUZZ_ROUNDS is the number of messages per receiver.
 */
#include <gtest/gtest.h>

#include <cstdlib>

#include "messages_test.h"

extern "C" {
#include "jayrelay/carrier.h"
#include "jayrelay/group.h"
#include "jayrelay/rules.h"
#include "ledger/convert.h"
#include "net/wire.pb-c.h"
#include "rules/rules.pb-c.h"
}

namespace {

constexpr int64_t kElectionMs = 100;
constexpr int64_t kStepMs = 5;

int
Rounds()
{
    const char *text = getenv("JR_FUZZ_ROUNDS");

    return text != nullptr ? atoi(text) : 3000;
}

const uint8_t *
Data(const std::string &packed)
{
    return reinterpret_cast<const uint8_t *>(packed.data());
}

class MessagesTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("messages", nullptr);
        maker_.SetTexts({"h", "/q/", "/q/0000000000000001",
                         "/q/0000000000000003", "w1", "s", "zone-a",
                         "127.0.0.1:1"});
    }

    void
    TearDown() override
    {
        jr_drop_ctx(ctx_);
    }

    jr_ctx_t *ctx_ = nullptr;
    MessageMaker maker_{1};
};

/* A leader of a group of one replica. */
class Leader {
  public:
    Leader(jr_ctx_t *ctx, jr_group_kind_t kind) : ctx_(ctx)
    {
        jr_config_t members = {};
        jr_group_options_t options = {};

        members.n = 1;
        members.members[0].id = 1;
        members.members[0].voter = true;
        store_ = jr_new_memory_store(ctx);
        jr_group_init(ctx, store_, &members);
        options.kind = kind;
        options.quorum.self = 1;
        options.quorum.election_ms = kElectionMs;
        options.quorum.heartbeat_ms = kElectionMs / 5;
        options.coord.lease.lease_ms = 1000;
        options.coord.n_groups = 2;
        options.coord.max_grants = 10;
        options.coord.policy.kind = JR_PLACE_SCORED;
        options.coord.policy.as.scored.candidates = 4;
        options.dispatch.lease_ms = 3000;
        options.dispatch.hold_wait_ms = 200;
        options.snapshot_every = 500;
        options.hooks.user = &n_answers_;
        options.hooks.send = [](void *, const jr_member_t *, const uint8_t *,
                                size_t) {};
        options.hooks.rules = [](void *, uint64_t, const char *) {};
        options.hooks.reply = [](void *user, const jr_reply_address_t *,
                                 Jr__Reply *) {
            ++*static_cast<long *>(user);
        };
        group_ = jr_new_group(ctx, &options, store_, now_);
        Pass(10 * kElectionMs);
    }

    ~Leader()
    {
        jr_drop_group(group_);
        jr_drop_store(store_);
    }

    void
    Pass(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end;) {
            now_ += kStepMs;
            jr_group_tick(group_, now_);
            ASSERT_EQ(jr_group_pump(group_, now_), JR_OK);
        }
    }

    void
    Ask(const std::string &packed)
    {
        Jr__Request *request =
            jr__request__unpack(nullptr, packed.size(), Data(packed));
        jr_reply_address_t reply_to = {};

        ASSERT_NE(request, nullptr);
        n_asked_++;
        jr_group_request(group_, &reply_to, request, now_);
        jr__request__free_unpacked(request, nullptr);
    }

    /* Answers the orders that are due, as a carrier passes them on. */
    void
    AnswerOrders(MessageMaker *maker)
    {
        jr_order_t order;

        while (jr_group_take_order(group_, now_, &order)) {
            std::string packed = maker->Make(&jr__order_answer__descriptor);
            Jr__OrderAnswer *message =
                jr__order_answer__unpack(nullptr, packed.size(), Data(packed));
            jr_answer_rows_t rows;
            jr_answer_t answer;

            ASSERT_NE(message, nullptr);
            jr_answer_unpack(ctx_, message, &answer, &rows);
            jr_group_answer(group_, order.serial, &answer, now_);
            jr_answer_rows_clear(ctx_, &rows);
            jr__order_answer__free_unpacked(message, nullptr);
        }
    }

    void
    ExpectOneAnswerEach() const
    {
        EXPECT_EQ(n_answers_, n_asked_);
    }

  private:
    jr_ctx_t *ctx_;
    jr_store_t *store_;
    jr_group_t *group_;
    int64_t now_ = 0;
    long n_answers_ = 0;
    long n_asked_ = 0;
};

/* Each kind of request to each kind of group. */
class RequestsTest : public MessagesTest,
                     public ::testing::WithParamInterface<jr_group_kind_t> {};

void
AddConfig(Leader *leader)
{
    char host[] = "h", prefix[] = "/q/", service[] = "s";
    Jr__Request request = JR__REQUEST__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobConfig config = JR__JOB_CONFIG__INIT;
    Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
    Jr__JobQueue *queues[] = {&queue};
    std::string packed;

    queue.host = host;
    queue.prefix = prefix;
    queue.service = service;
    config.version = 1;
    config.n_queues = 1;
    config.queues = queues;
    command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
    command.config = &config;
    request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
    request.job_command = &command;
    packed.resize(jr__request__get_packed_size(&request));
    jr__request__pack(&request, (uint8_t *)packed.data());
    leader->Ask(packed);
}

TEST_P(RequestsTest, EachIsAnsweredOnce)
{
    const ProtobufCMessageDescriptor *type = &jr__request__descriptor;
    Leader leader(ctx_, GetParam());

    if (GetParam() == JR_GROUP_JOBS) {
        AddConfig(&leader);
    }
    for (int i = 0; i < Rounds(); i++) {
        /* The first two fields are no part of the oneof. */
        size_t member = 2 + maker_.Below(type->n_fields - 2);

        leader.Ask(maker_.MakeWith(type, &type->fields[member]));
        leader.AnswerOrders(&maker_);
        leader.Pass(kStepMs);
    }
    leader.Pass(10 * kElectionMs);
    leader.ExpectOneAnswerEach();
}

INSTANTIATE_TEST_SUITE_P(Groups, RequestsTest,
                         ::testing::Values(JR_GROUP_RULES, JR_GROUP_LEDGER,
                                           JR_GROUP_JOBS));

TEST_F(MessagesTest, QuorumMessagesLeaveTheReplicaConsistent)
{
    jr_quorum_options_t options = {};
    jr_quorum_t *quorum;

    options.self = 2;
    options.election_ms = kElectionMs;
    options.heartbeat_ms = kElectionMs / 5;
    quorum = jr_new_quorum(ctx_, &options, 0);
    for (int i = 0; i < 10 * Rounds(); i++) {
        std::string packed = maker_.Make(&jr__quorum_msg__descriptor);
        Jr__QuorumMsg *message =
            jr__quorum_msg__unpack(nullptr, packed.size(), Data(packed));
        jr_member_t to;
        uint8_t *out;
        size_t len;

        ASSERT_NE(message, nullptr);
        message->group = 0;
        message->to = options.self;
        packed.resize(jr__quorum_msg__get_packed_size(message));
        jr__quorum_msg__pack(message, (uint8_t *)packed.data());
        jr__quorum_msg__free_unpacked(message, nullptr);
        jr_quorum_receive(quorum, Data(packed), packed.size(), i);
        jr_quorum_tick(quorum, i);
        while (jr_quorum_take_message(quorum, &to, &out, &len)) {
            jr_free(ctx_, out);
        }
        ASSERT_LE(jr_quorum_commit(quorum), jr_quorum_last(quorum));
        if (i % 100 == 0) {
            jr_drop_quorum(quorum);
            quorum = jr_new_quorum(ctx_, &options, i);
        }
    }
    jr_drop_quorum(quorum);
}

class FollowersTest : public MessagesTest,
                      public ::testing::WithParamInterface<jr_group_kind_t> {
  protected:
    /* One of three, with an empty log. */
    void
    SetUp() override
    {
        jr_group_options_t options = {};

        MessagesTest::SetUp();
        store_ = jr_new_memory_store(ctx_);
        options.kind = GetParam();
        options.quorum.self = 2;
        options.quorum.election_ms = kElectionMs;
        options.quorum.heartbeat_ms = kElectionMs / 5;
        options.coord.n_groups = 2;
        options.dispatch.lease_ms = 3000;
        options.snapshot_every = 500;
        options.hooks.send = [](void *, const jr_member_t *, const uint8_t *,
                                size_t) {};
        options.hooks.rules = [](void *, uint64_t, const char *) {};
        options.hooks.reply = [](void *, const jr_reply_address_t *,
                                 Jr__Reply *) {};
        group_ = jr_new_group(ctx_, &options, store_, 0);
    }

    void
    TearDown() override
    {
        jr_drop_group(group_);
        jr_drop_store(store_);
        MessagesTest::TearDown();
    }

    jr_result_t
    Receive(Jr__QuorumMsg *message, int64_t now)
    {
        std::string packed;

        message->group = 0;
        message->to = 2;
        packed.resize(jr__quorum_msg__get_packed_size(message));
        jr__quorum_msg__pack(message, (uint8_t *)packed.data());
        jr_group_receive(group_, Data(packed), packed.size(), now);
        jr_group_tick(group_, now);
        return jr_group_pump(group_, now);
    }

    /* A packed state without any contents. */
    std::string
    EmptyState()
    {
        jr_register_t *reg = jr_new_register(ctx_);
        size_t len;
        uint8_t *bytes = jr_register_save(reg, &len);
        std::string state((char *)bytes, len);

        jr_free(ctx_, bytes);
        jr_drop_register(reg);
        return GetParam() == JR_GROUP_RULES ? state : "";
    }

    jr_store_t *store_ = nullptr;
    jr_group_t *group_ = nullptr;
};

/* Guards against a process that ends since it was sent a bad snapshot. */
TEST_P(FollowersTest, ASnapshotThatCannotBeLoadedIsIgnored)
{
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;
    Jr__Install install = JR__INSTALL__INIT;
    Jr__Snapshot snapshot = JR__SNAPSHOT__INIT;
    Jr__Config config = JR__CONFIG__INIT;
    Jr__Member member = JR__MEMBER__INIT;
    Jr__Member *members[] = {&member};
    std::string bad = "\xff\xff no state";
    std::string good = EmptyState();

    member.id = 1;
    member.voter = true;
    config.n_members = 1;
    config.members = members;
    snapshot.config = &config;
    snapshot.index = 5;
    snapshot.term = 1;
    snapshot.data.data = (uint8_t *)bad.data();
    snapshot.data.len = bad.size();
    install.snapshot = &snapshot;
    message.term = 1;
    message.from = 1;
    message.body_case = JR__QUORUM_MSG__BODY_INSTALL;
    message.install = &install;
    EXPECT_EQ(Receive(&message, 10), JR_OK);
    EXPECT_EQ(jr_quorum_commit(jr_group_quorum(group_)), 0u);
    snapshot.data.data = (uint8_t *)good.data();
    snapshot.data.len = good.size();
    EXPECT_EQ(Receive(&message, 20), JR_OK);
    EXPECT_EQ(jr_quorum_commit(jr_group_quorum(group_)), 5u);
}

TEST_P(FollowersTest, NoMessageEndsAFollower)
{
    maker_.Nest("data", &jr__job_snapshot__descriptor);
    for (int i = 0; i < Rounds(); i++) {
        std::string packed = maker_.Make(&jr__quorum_msg__descriptor);
        Jr__QuorumMsg *message =
            jr__quorum_msg__unpack(nullptr, packed.size(), Data(packed));

        ASSERT_NE(message, nullptr);
        ASSERT_EQ(Receive(message, i), JR_OK) << ctx_->error.text;
        jr__quorum_msg__free_unpacked(message, nullptr);
    }
}

INSTANTIATE_TEST_SUITE_P(Groups, FollowersTest,
                         ::testing::Values(JR_GROUP_RULES, JR_GROUP_LEDGER,
                                           JR_GROUP_JOBS));

TEST_F(MessagesTest, JobCommandsLeaveAStateThatCanBeSavedAndLoaded)
{
    const ProtobufCMessageDescriptor *type = &jr__job_command__descriptor;
    jr_jobs_t *jobs = jr_new_jobs(ctx_);

    for (int i = 0; i < 10 * Rounds(); i++) {
        size_t member = 1 + maker_.Below(type->n_fields - 1);
        std::string packed = maker_.MakeWith(type, &type->fields[member]);

        jr_jobs_apply(jobs, Data(packed), packed.size());
        if (i % 100 == 0) {
            jr_jobs_t *copy = jr_new_jobs(ctx_);
            size_t len;
            uint8_t *bytes = jr_jobs_save(jobs, &len);

            ASSERT_TRUE(jr_jobs_load(copy, bytes, len));
            jr_free(ctx_, bytes);
            jr_drop_jobs(jobs);
            jobs = copy;
        }
    }
    jr_drop_jobs(jobs);
}

TEST_F(MessagesTest, JobSnapshotsAreLoadedOrRefused)
{
    jr_jobs_t *jobs = jr_new_jobs(ctx_);

    for (int i = 0; i < 10 * Rounds(); i++) {
        std::string packed = maker_.Make(&jr__job_snapshot__descriptor);

        if (jr_jobs_load(jobs, Data(packed), packed.size())) {
            size_t len;
            uint8_t *bytes = jr_jobs_save(jobs, &len);

            ASSERT_TRUE(jr_jobs_load(jobs, bytes, len));
            jr_free(ctx_, bytes);
        }
    }
    jr_drop_jobs(jobs);
}

TEST_F(MessagesTest, LedgerCommandsAndSnapshots)
{
    const ProtobufCMessageDescriptor *type = &jr__ledger_command__descriptor;
    jr_ledger_t *ledger = jr_new_ledger(ctx_, 1);

    for (int i = 0; i < 10 * Rounds(); i++) {
        size_t member = 1 + maker_.Below(type->n_fields - 1);
        std::string packed = maker_.MakeWith(type, &type->fields[member]);

        jr_ledger_apply(ledger, Data(packed), packed.size());
    }
    for (int i = 0; i < 10 * Rounds(); i++) {
        std::string packed = maker_.Make(&jr__ledger_snapshot__descriptor);
        jr_ledger_t *copy = jr_new_ledger(ctx_, 1);

        jr_ledger_load(copy, Data(packed), packed.size());
        jr_drop_ledger(copy);
    }
    jr_drop_ledger(ledger);
}

TEST_F(MessagesTest, OrdersAndAnswersOfCarriers)
{
    jr_carriers_t *carriers = jr_new_carriers(ctx_, "zone-a");
    long n_outcomes = 0;
    jr_carry_book_t *book = jr_new_carry_book(
        ctx_, carriers, 1,
        [](void *user, uint64_t, const jr_answer_t *, int64_t) {
            ++*static_cast<long *>(user);
        },
        &n_outcomes);
    int64_t now = 0;

    maker_.Nest("answers", &jr__order_answer__descriptor);
    jr_carriers_heard(carriers, "w1", "zone-a", 1, now);
    for (int i = 0; i < 10 * Rounds(); i++, now++) {
        std::string packed = maker_.Make(&jr__order__descriptor);
        ProtobufCBinaryData data = {packed.size(), (uint8_t *)packed.data()};
        jr_order_t order;
        Jr__Order *message = jr_carry_read(ctx_, &data, &order);
        Jr__AnswerBatch *batch;

        if (message != nullptr) {
            jr__order__free_unpacked(message, nullptr);
        }
        order = {};
        order.worker = order.address = order.zone = "w1";
        order.serial = i;
        order.timeout_ms = 100;
        jr_carry_book_add(book, &order, 0, now);
        packed = maker_.Make(&jr__answer_batch__descriptor);
        batch = jr__answer_batch__unpack(nullptr, packed.size(), Data(packed));
        ASSERT_NE(batch, nullptr);
        batch->session = 1;
        jr_carriers_tick(carriers, now);
        jr_carry_book_receive(book, batch, now);
        jr__answer_batch__free_unpacked(batch, nullptr);
        if (jr_carriers_count(carriers, now) > 0) {
            jr_carriers_choose(carriers, "w1", "zone-a", 5000, now);
        }
        jr_carry_book_expire(book, now);
    }
    for (int i = 0; i < 100; i++, now += 1000) {
        jr_carriers_tick(carriers, now);
        jr_carry_book_expire(book, now);
    }
    EXPECT_EQ(n_outcomes, 10L * Rounds());
    jr_drop_carry_book(book);
    jr_drop_carriers(carriers);
}

} // namespace
