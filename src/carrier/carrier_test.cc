/* The choice of a carrier for an order, and the messages between them. */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/carrier.h"
}

namespace {

constexpr size_t kFew = 10;
constexpr size_t kMany = 1100;
constexpr int64_t kTickMs = 10;
constexpr int64_t kSilentMs = 700;
constexpr int64_t kLongTurnMs = 3000;
constexpr int kTurnsMax = 10;          /* until a lost carrier is noticed */
constexpr int64_t kClockAhead = 50000; /* of a carrier, to the leader's */
constexpr int64_t kStaleMs = 2000;

class CarrierTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        carriers_ = jr_new_carriers(ctx_, "a");
        jr_carriers_tick(carriers_, now_); /* the leader's loop runs */
    }

    void
    TearDown() override
    {
        jr_drop_carriers(carriers_);
        jr_drop_ctx(ctx_);
    }

    void
    Hear(const char *name, const char *zone)
    {
        jr_carriers_heard(carriers_, name, zone, now_ + kClockAhead, now_);
    }

    /* Time passes in the leader's loop. */
    void
    Pass(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end;) {
            now_ += kTickMs;
            jr_carriers_tick(carriers_, now_);
        }
    }

    std::string
    Choose(const std::string &worker, const char *zone, size_t n_workers)
    {
        int carrier = jr_carriers_choose(carriers_, worker.c_str(), zone,
                                         n_workers, now_);

        return carrier == JR_CARRIER_SELF
                   ? "self"
                   : jr_carriers_name(carriers_, carrier);
    }

    jr_ctx_t *ctx_;
    jr_carriers_t *carriers_;
    int64_t now_ = 1000;
};

TEST_F(CarrierTest, WithoutCarriersTheLeaderSendsItself)
{
    EXPECT_EQ(Choose("w", "b", kMany), "self");
}

TEST_F(CarrierTest, AWorkerIsServedFromItsZone)
{
    Hear("b1", "b");
    Hear("c1", "c");
    for (int i = 0; i < 20; i++) {
        std::string worker = "w" + std::to_string(i);

        EXPECT_EQ(Choose(worker, "b", kMany), "b1");
        EXPECT_EQ(Choose(worker, "c", kMany), "c1");
        EXPECT_EQ(Choose(worker, "a", kFew), "self");
    }
}

/*
 * Load: 1,100 workers in five zones, one control process in each. The leader's
 * own zone goes to the others too, and none of them gets much more than its
 * share.
 */
TEST_F(CarrierTest, ManyWorkersAreSpreadOverAllCarriers)
{
    const char *zones[] = {"a", "b", "c", "d", "e"};
    std::map<std::string, size_t> n;

    for (size_t i = 1; i < 5; i++) {
        Hear((std::string(zones[i]) + "1").c_str(), zones[i]);
    }
    for (size_t i = 0; i < kMany; i++) {
        n[Choose("i-" + std::to_string(i * 7919), zones[i % 5], kMany)]++;
    }
    EXPECT_EQ(n.count("self"), 0u);
    ASSERT_EQ(n.size(), 4u);
    for (const auto &[name, workers] : n) {
        EXPECT_LT(workers, kMany / 4 * 5 / 4) << name;
    }
}

TEST_F(CarrierTest, OnlyTheWorkersOfALostCarrierMove)
{
    std::map<std::string, std::string> before;
    std::vector<std::string> names = {"b1", "b2", "b3"};

    for (const std::string &name : names) {
        Hear(name.c_str(), "b");
    }
    for (int i = 0; i < 100; i++) {
        std::string worker = "w" + std::to_string(i);

        before[worker] = Choose(worker, "b", kMany);
    }
    Pass(kSilentMs);
    Hear("b1", "b");
    Hear("b3", "b");
    for (const auto &[worker, carrier] : before) {
        std::string after = Choose(worker, "b", kMany);

        EXPECT_NE(after, "b2");
        EXPECT_TRUE(after == carrier || carrier == "b2") << worker;
    }
}

TEST_F(CarrierTest, ASilentCarrierGetsNoOrders)
{
    Hear("b1", "b");
    Pass(kSilentMs);
    EXPECT_EQ(Choose("w", "b", kMany), "self");
    EXPECT_EQ(jr_carriers_count(carriers_, now_), 0u);
    Hear("b1", "b");
    EXPECT_EQ(Choose("w", "b", kMany), "b1");
}

/*
 * Guards against a leader that was paused, or had one long turn, and then
 * takes all carriers for silent.
 */
TEST_F(CarrierTest, AStallOfTheLeaderIsNotSilenceOfItsCarriers)
{
    Hear("b1", "b");
    Pass(100);
    now_ += 5000;
    jr_carriers_tick(carriers_, now_);
    EXPECT_EQ(Choose("w", "b", kMany), "b1");
    Pass(kSilentMs);
    EXPECT_EQ(Choose("w", "b", kMany), "self");
}

/*
 * Guards against a busy leader that never notices the loss of a carrier, since
 * each of its turns is long.
 */
TEST_F(CarrierTest, ALostCarrierIsNoticedHoweverLongTheTurnsAre)
{
    Hear("b1", "b");
    for (int i = 0; i < kTurnsMax; i++) {
        now_ += kLongTurnMs;
        jr_carriers_tick(carriers_, now_);
    }
    EXPECT_EQ(Choose("w", "b", kMany), "self");
}

/*
 * Guards against a carrier that was paused and then sends orders of before,
 * when the dispatcher expects none of them any more.
 */
TEST_F(CarrierTest, OrdersThatWaitedInAPausedCarrierAreStale)
{
    int64_t heard;

    Hear("b1", "b");
    heard = jr_carriers_clock(carriers_, jr_carriers_find(carriers_, "b1"));
    EXPECT_EQ(heard, now_ + kClockAhead);
    EXPECT_FALSE(jr_carried_is_stale(heard, heard));
    EXPECT_FALSE(jr_carried_is_stale(heard, heard + kStaleMs));
    EXPECT_TRUE(jr_carried_is_stale(heard, heard + kStaleMs + 1));
    EXPECT_TRUE(jr_carried_is_stale(heard, heard - 1)); /* it restarted */
    EXPECT_FALSE(jr_carried_is_stale(0, heard)); /* an earlier version */
    Pass(100);
    Hear("b1", "b");
    EXPECT_EQ(jr_carriers_clock(carriers_, 0), heard + 100);
}

/* Guards against retries through the one carrier that is cut off. */
TEST_F(CarrierTest, AWorkerThatACarrierDoesNotReachGetsAnother)
{
    Hear("b1", "b");
    Hear("c1", "c");
    ASSERT_EQ(Choose("w", "b", kMany), "b1");
    jr_carriers_failed(carriers_, jr_carriers_find(carriers_, "b1"), "w",
                       now_);
    EXPECT_EQ(Choose("w", "b", kMany), "c1");
    EXPECT_EQ(Choose("other", "b", kMany), "b1");
    jr_carriers_failed(carriers_, jr_carriers_find(carriers_, "c1"), "w",
                       now_);
    EXPECT_EQ(Choose("w", "b", kMany), "self");
    for (int i = 0; i < 40; i++) {
        Pass(100);
        Hear("b1", "b");
    }
    EXPECT_EQ(Choose("w", "b", kMany), "b1");
}

/* Bad input: names that are too long, and more carriers than there may be. */
TEST_F(CarrierTest, TheTableOfCarriersIsBounded)
{
    std::string longest(JR_NAME_BYTES, 'x');

    Hear(longest.c_str(), "b");
    Hear("b", longest.c_str());
    EXPECT_EQ(jr_carriers_count(carriers_, now_), 0u);
    for (int i = 0; i < 2 * JR_CARRIERS_MAX; i++) {
        Hear(("n" + std::to_string(i)).c_str(), "b");
    }
    EXPECT_EQ(jr_carriers_count(carriers_, now_), (size_t)JR_CARRIERS_MAX);
    Pass(kSilentMs);
    Hear("new", "b");
    EXPECT_EQ(jr_carriers_count(carriers_, now_), 1u);
}

jr_order_t
MakeOrder(jr_order_kind_t kind)
{
    jr_order_t order = {};

    order.kind = kind;
    order.serial = 7;
    order.worker = "i-1";
    order.address = "10.0.0.1:80";
    order.zone = "a";
    order.fence = 5;
    order.timeout_ms = 600;
    jr__job_run__init(&order.run);
    order.run.job = 0x5c0e7a21d94b36f8;
    order.run.attempt = 3;
    return order;
}

TEST_F(CarrierTest, AnOrderArrivesAsItWasSent)
{
    jr_order_t order = MakeOrder(JR_ORDER_START);
    Jr__Order message;
    jr_order_t read;

    order.as.start.payload = "spec";
    order.as.start.checkpoint = "abc";
    order.as.start.expires_ms = 486000;
    jr_order_pack(&order, &message);
    ASSERT_EQ(jr_order_unpack(ctx_, &message, &read), JR_OK);
    EXPECT_EQ(read.kind, JR_ORDER_START);
    EXPECT_EQ(read.serial, order.serial);
    EXPECT_STREQ(read.worker, order.worker);
    EXPECT_STREQ(read.address, order.address);
    EXPECT_EQ(read.fence, order.fence);
    EXPECT_EQ(read.timeout_ms, order.timeout_ms);
    EXPECT_EQ(read.run.job, order.run.job);
    EXPECT_EQ(read.run.attempt, order.run.attempt);
    EXPECT_STREQ(read.as.start.payload, "spec");
    EXPECT_STREQ(read.as.start.checkpoint, "abc");
    EXPECT_EQ(read.as.start.expires_ms, 486000);
    order = MakeOrder(JR_ORDER_RENEW);
    order.as.renew.expires_ms = 486000;
    order.as.renew.ends_seen = 57;
    order.as.renew.wait_ms = 1000;
    jr_order_pack(&order, &message);
    ASSERT_EQ(jr_order_unpack(ctx_, &message, &read), JR_OK);
    EXPECT_EQ(read.kind, JR_ORDER_RENEW);
    EXPECT_EQ(read.as.renew.expires_ms, 486000);
    EXPECT_EQ(read.as.renew.ends_seen, 57u);
    EXPECT_EQ(read.as.renew.wait_ms, 1000);
    order = MakeOrder(JR_ORDER_PACE);
    order.as.pace.percent = 40;
    jr_order_pack(&order, &message);
    ASSERT_EQ(jr_order_unpack(ctx_, &message, &read), JR_OK);
    EXPECT_EQ(read.as.pace.percent, 40u);
}

TEST_F(CarrierTest, AnOrderWithoutARunOrOfAnUnknownKindIsRefused)
{
    jr_order_t order = MakeOrder(JR_ORDER_STOP);
    Jr__Order message;
    jr_order_t read;

    jr_order_pack(&order, &message);
    EXPECT_EQ(jr_order_unpack(ctx_, &message, &read), JR_OK);
    message.run = nullptr;
    EXPECT_EQ(jr_order_unpack(ctx_, &message, &read), JR_BAD_REQUEST);
    message.kind = static_cast<Jr__Order__Kind>(9);
    message.run = &order.run;
    EXPECT_EQ(jr_order_unpack(ctx_, &message, &read), JR_BAD_REQUEST);
}

TEST_F(CarrierTest, AnAnswerArrivesAsItWasSent)
{
    jr_running_t running[2] = {};
    jr_ended_t ended[1] = {};
    jr_answer_t answer = {};
    jr_answer_t read;
    jr_answer_rows_t rows;
    Jr__OrderAnswer *message;
    uint8_t *bytes;
    size_t len;

    running[0].run = MakeOrder(JR_ORDER_STOP).run;
    running[0].checkpoint = "c";
    running[0].percent = 41;
    running[0].gauge = 1200;
    running[1].run = running[0].run;
    ended[0].number = 58;
    ended[0].run = running[0].run;
    ended[0].how = JR__JOB_END__HOW__LAPSED;
    answer.kind = JR_ANSWER_DONE;
    answer.clock_ms = 482113;
    answer.incarnation = 9;
    answer.running = running;
    answer.n_running = 2;
    answer.ended = ended;
    answer.n_ended = 1;
    bytes = jr_answer_pack(ctx_, 7, &answer, &len);
    message = jr__order_answer__unpack(nullptr, len, bytes);
    ASSERT_NE(message, nullptr);
    ASSERT_EQ(jr_answer_unpack(ctx_, message, &read, &rows), JR_OK);
    EXPECT_EQ(message->serial, 7u);
    EXPECT_EQ(read.kind, JR_ANSWER_DONE);
    EXPECT_EQ(read.clock_ms, 482113);
    EXPECT_EQ(read.incarnation, 9);
    ASSERT_EQ(read.n_running, 2u);
    EXPECT_STREQ(read.running[0].checkpoint, "c");
    EXPECT_EQ(read.running[0].percent, 41u);
    EXPECT_EQ(read.running[0].gauge, 1200u);
    EXPECT_EQ(read.running[0].run.attempt, 3u);
    EXPECT_EQ(read.running[1].checkpoint, nullptr);
    ASSERT_EQ(read.n_ended, 1u);
    EXPECT_EQ(read.ended[0].number, 58u);
    EXPECT_EQ(read.ended[0].how, JR__JOB_END__HOW__LAPSED);
    jr_answer_rows_clear(ctx_, &rows);
    /* Guards against a list cut short, by which a run would count as ended. */
    jr__job_run__free_unpacked(message->running[0]->run, nullptr);
    message->running[0]->run = nullptr;
    EXPECT_EQ(jr_answer_unpack(ctx_, message, &read, &rows), JR_BAD_REQUEST);
    EXPECT_EQ(read.kind, JR_ANSWER_UNKNOWN);
    EXPECT_EQ(read.n_running, 0u);
    jr_answer_rows_clear(ctx_, &rows);
    jr__order_answer__free_unpacked(message, nullptr);
    jr_free(ctx_, bytes);
}

/* The book of orders that a leader gave to its carriers. */
class CarryBookTest : public CarrierTest {
  protected:
    static constexpr uint64_t kSession = 77;
    static constexpr int64_t kExpiryMs = 1000; /* 600 and the way */

    void
    SetUp() override
    {
        CarrierTest::SetUp();
        book_ = jr_new_carry_book(ctx_, carriers_, kSession, OnOutcome, this);
        Hear("b1", "b");
        Hear("b2", "b");
    }

    void
    TearDown() override
    {
        jr_drop_carry_book(book_);
        CarrierTest::TearDown();
    }

    static void
    OnOutcome(void *user, uint64_t serial, const jr_answer_t *answer,
              int64_t now)
    {
        CarryBookTest *test = static_cast<CarryBookTest *>(user);

        (void)now;
        test->outcomes_.push_back({serial, answer->kind});
        test->listed_.clear();
        for (size_t i = 0; i < answer->n_running; i++) {
            test->listed_.push_back(answer->running[i].checkpoint);
        }
    }

    void
    Give(uint64_t serial, const char *carrier)
    {
        jr_order_t order = MakeOrder(JR_ORDER_STOP);

        order.serial = serial;
        jr_carry_book_add(book_, &order, jr_carriers_find(carriers_, carrier),
                          now_);
    }

    std::vector<uint8_t>
    PackAnswer(uint64_t serial, jr_answer_kind_t kind)
    {
        jr_answer_t answer = {};
        uint8_t *bytes;
        size_t len;

        answer.kind = kind;
        bytes = jr_answer_pack(ctx_, serial, &answer, &len);
        std::vector<uint8_t> packed(bytes, bytes + len);
        jr_free(ctx_, bytes);
        return packed;
    }

    void
    Receive(std::string carrier, std::vector<std::vector<uint8_t>> answers,
            uint64_t session = kSession)
    {
        Jr__AnswerBatch batch = JR__ANSWER_BATCH__INIT;
        std::vector<ProtobufCBinaryData> data;
        std::string zone = "b";

        for (std::vector<uint8_t> &bytes : answers) {
            data.push_back({bytes.size(), bytes.data()});
        }
        batch.session = session;
        batch.name = carrier.data();
        batch.zone = zone.data();
        batch.clock_ms = now_ + kClockAhead;
        batch.n_answers = data.size();
        batch.answers = data.data();
        jr_carry_book_receive(book_, &batch, now_);
    }

    /* The carriers go on to give receipts. */
    void
    Expire(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end;) {
            Pass(kTickMs);
            Hear("b1", "b");
            Hear("b2", "b");
            jr_carry_book_expire(book_, now_);
        }
    }

    typedef std::vector<std::pair<uint64_t, jr_answer_kind_t>> outcomes_t;

    jr_carry_book_t *book_;
    outcomes_t outcomes_;
    std::vector<std::string> listed_; /* checkpoints in the latest answer */
};

TEST_F(CarryBookTest, AnOrderHasOneOutcomeWhateverComesLater)
{
    Give(1, "b1");
    Give(2, "b1");
    Receive("b1", {PackAnswer(1, JR_ANSWER_DONE)});
    Receive("b1", {PackAnswer(1, JR_ANSWER_UNREACHED)});
    Expire(kExpiryMs);
    Receive("b1", {PackAnswer(2, JR_ANSWER_DONE)});
    EXPECT_EQ(outcomes_,
              (outcomes_t{{1, JR_ANSWER_DONE}, {2, JR_ANSWER_UNKNOWN}}));
    EXPECT_EQ(ctx_->counters[JR_C_CARRY_EXPIRED], 1u);
}

TEST_F(CarryBookTest, OrdersOfASilentCarrierAreGivenUpBeforeTheirTime)
{
    Give(1, "b1");
    Pass(kSilentMs);
    jr_carry_book_expire(book_, now_);
    EXPECT_EQ(outcomes_, (outcomes_t{{1, JR_ANSWER_UNKNOWN}}));
}

/*
 * Guards against a busy leader that takes its workers for silent: their
 * answers wait in its own queue.
 */
TEST_F(CarryBookTest, AnswersThatWaitForALongTurnCount)
{
    Give(1, "b1");
    Expire(kTickMs);
    for (int i = 0; i < 2; i++) {
        now_ += kLongTurnMs;
        jr_carriers_tick(carriers_, now_);
        jr_carry_book_expire(book_, now_);
    }
    Receive("b1", {PackAnswer(1, JR_ANSWER_DONE)});
    EXPECT_EQ(outcomes_, (outcomes_t{{1, JR_ANSWER_DONE}}));
}

/* The same, of an order that is given late in a long turn. */
TEST_F(CarryBookTest, ALongTurnDoesNotCountBeforeAnOrderIsGiven)
{
    Expire(kTickMs);
    now_ += kLongTurnMs;
    Give(1, "b1");
    Expire(kExpiryMs + kTickMs);
    EXPECT_EQ(outcomes_, (outcomes_t{{1, JR_ANSWER_UNKNOWN}}));
}

/* Guards against orders without an outcome, as each turn is long. */
TEST_F(CarryBookTest, OrdersAreGivenUpHoweverLongTheTurnsAre)
{
    Give(1, "b1");
    for (int i = 0; i < kTurnsMax; i++) {
        now_ += kLongTurnMs;
        Hear("b1", "b");
        jr_carriers_tick(carriers_, now_);
        jr_carry_book_expire(book_, now_);
    }
    EXPECT_EQ(outcomes_, (outcomes_t{{1, JR_ANSWER_UNKNOWN}}));
}

/* Bad input: an earlier process at this address gave the order. */
TEST_F(CarryBookTest, AnswersForAnEarlierProcessChangeNothing)
{
    Give(1, "b1");
    Receive("b1", {PackAnswer(1, JR_ANSWER_UNREACHED)}, kSession + 1);
    Receive("b3", {}, kSession + 1);
    EXPECT_TRUE(outcomes_.empty());
    EXPECT_EQ(jr_carriers_find(carriers_, "b3"), JR_CARRIER_SELF);
}

/* Bad input: an order that was never given, for whatever worker. */
TEST_F(CarryBookTest, AnswersToUnknownOrdersChangeNothing)
{
    Give(1, "b1");
    Receive("b1", {PackAnswer(9, JR_ANSWER_DONE)});
    EXPECT_TRUE(outcomes_.empty());
}

/*
 * Bad input: guards against a carrier that claims a worker of another one, and
 * says that nothing was sent to it.
 */
TEST_F(CarryBookTest, AnAnswerCountsOnlyFromTheCarrierThatHasTheOrder)
{
    Give(1, "b1");
    Receive("b2", {PackAnswer(1, JR_ANSWER_UNREACHED)});
    EXPECT_TRUE(outcomes_.empty());
    EXPECT_EQ(ctx_->counters[JR_C_BUS_BAD], 1u);
    Receive("b1", {PackAnswer(1, JR_ANSWER_DONE)});
    EXPECT_EQ(outcomes_, (outcomes_t{{1, JR_ANSWER_DONE}}));
}

/* Bad input: the others of its batch count, its order is given up in time. */
/* Memory for an answer is used again for the next one, however long. */
TEST_F(CarryBookTest, LongListsArriveInFullAmongShortOnes)
{
    std::vector<std::string> checkpoints;
    std::vector<jr_running_t> rows;
    jr_answer_t answer = {};
    uint8_t *bytes;
    size_t len;

    for (size_t i = 0; i < kMany; i++) {
        checkpoints.push_back(std::string(i % 100 + 1, 'a') +
                              std::to_string(i));
    }
    for (const std::string &checkpoint : checkpoints) {
        jr_running_t row = {};

        jr__job_run__init(&row.run);
        row.run.job = 1;
        row.checkpoint = checkpoint.c_str();
        rows.push_back(row);
    }
    answer.kind = JR_ANSWER_DONE;
    answer.running = rows.data();
    answer.n_running = rows.size();
    for (uint64_t serial = 1; serial < 9; serial += 2) {
        bytes = jr_answer_pack(ctx_, serial, &answer, &len);
        std::vector<uint8_t> packed(bytes, bytes + len);
        jr_free(ctx_, bytes);
        Give(serial, "b1");
        Give(serial + 1, "b1");
        Receive("b1", {packed});
        EXPECT_EQ(listed_, checkpoints);
        Receive("b1", {PackAnswer(serial + 1, JR_ANSWER_DONE)});
        EXPECT_TRUE(listed_.empty());
    }
    EXPECT_EQ(outcomes_.size(), 8u);
}

TEST_F(CarryBookTest, AnAnswerThatIsCutShortIsCountedAndLosesNoOther)
{
    std::vector<uint8_t> cut = PackAnswer(1, JR_ANSWER_FENCED);

    cut.pop_back();
    Give(1, "b1");
    Give(2, "b1");
    Receive("b1", {cut, PackAnswer(2, JR_ANSWER_DONE)});
    EXPECT_EQ(outcomes_, (outcomes_t{{2, JR_ANSWER_DONE}}));
    EXPECT_EQ(ctx_->counters[JR_C_BUS_BAD], 1u);
    Expire(kExpiryMs);
    EXPECT_EQ(outcomes_,
              (outcomes_t{{2, JR_ANSWER_DONE}, {1, JR_ANSWER_UNKNOWN}}));
}

std::vector<uint8_t>
PackOrder()
{
    jr_order_t order = MakeOrder(JR_ORDER_START);
    Jr__Order message;

    order.as.start.payload = "spec";
    order.as.start.checkpoint = "abc";
    jr_order_pack(&order, &message);
    std::vector<uint8_t> bytes(jr__order__get_packed_size(&message));
    jr__order__pack(&message, bytes.data());
    return bytes;
}

/* Bad input: sent to no worker, counted, and left for its leader to give up.
 */
TEST_F(CarrierTest, AnOrderThatIsCutShortIsCountedAndNotRead)
{
    std::vector<uint8_t> bytes = PackOrder();
    ProtobufCBinaryData packed = {bytes.size(), bytes.data()};
    jr_order_t read;
    Jr__Order *message = jr_carry_read(ctx_, &packed, &read);

    ASSERT_NE(message, nullptr);
    jr__order__free_unpacked(message, nullptr);
    packed.len--;
    EXPECT_EQ(jr_carry_read(ctx_, &packed, &read), nullptr);
    EXPECT_EQ(ctx_->counters[JR_C_BUS_BAD], 1u);
}

/*
 * Bad input: guards against a part of a batch, which would lack the time by
 * which its orders are stale.
 */
TEST_F(CarrierTest, OfABatchThatIsCutShortNothingIsRead)
{
    std::vector<uint8_t> order = PackOrder();
    ProtobufCBinaryData orders[2] = {{order.size(), order.data()},
                                     {order.size(), order.data()}};
    Jr__OrderBatch batch = JR__ORDER_BATCH__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    batch.session = 77;
    batch.n_orders = 2;
    batch.orders = orders;
    batch.heard_ms = now_;
    envelope.body_case = JR__ENVELOPE__BODY_ORDER_BATCH;
    envelope.order_batch = &batch;
    std::vector<uint8_t> bytes(jr__envelope__get_packed_size(&envelope));
    jr__envelope__pack(&envelope, bytes.data());
    for (size_t n = 0; n < bytes.size(); n++) {
        Jr__Envelope *read = jr__envelope__unpack(nullptr, n, bytes.data());

        EXPECT_TRUE(read == nullptr ||
                    read->body_case == JR__ENVELOPE__BODY__NOT_SET)
            << n;
        if (read != nullptr) {
            jr__envelope__free_unpacked(read, nullptr);
        }
    }
}

TEST_F(CarrierTest, ACarrierThatIsFullOrShutsDownSendsNoOrders)
{
    constexpr size_t kOpenMax = 4096;

    EXPECT_EQ(jr_carry_judge(0, false, 100, 100), JR_CARRY_SEND);
    EXPECT_EQ(jr_carry_judge(kOpenMax - 1, false, 100, 100), JR_CARRY_SEND);
    EXPECT_EQ(jr_carry_judge(kOpenMax, false, 100, 100), JR_CARRY_REFUSE);
    EXPECT_EQ(jr_carry_judge(0, true, 100, 100), JR_CARRY_REFUSE);
    EXPECT_EQ(jr_carry_judge(0, false, 100, 100 + kStaleMs), JR_CARRY_SEND);
    EXPECT_EQ(jr_carry_judge(0, false, 100, 101 + kStaleMs), JR_CARRY_STALE);
}

} // namespace
