/*
 * A worker as its leader sees it: leases on a slow clock and across a change
 * of the leader, leave requests, and answers of an earlier incarnation.
 */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "dispatch/commands_test.h"

namespace {

constexpr int64_t kLeaseMs = 6000;
constexpr int64_t kShorterFailoverMs = 5800; /* leases of 3 s at most */
constexpr int64_t kDriftPermille = 20;
constexpr int64_t kWaitMs = 2000;
constexpr int64_t kOrderAgeMs = 700;
constexpr int64_t kTickMs = 10;
constexpr int64_t kSlackMs = 100; /* margins of the leader, and its ticks */
constexpr int64_t kWorkerStartedMs = 400;
constexpr int64_t kPauseMs = 4110; /* of a leader; shorter than a lease */
constexpr int64_t kBorn = 2;       /* its start time, on another clock */

/* A worker whose clock is as slow as allowed. */
struct Worker {
    std::string id = "w0";
    int64_t expires_ms = 0; /* end of its lease, on its clock */
    std::vector<jr_running_t> running;

    static int64_t
    Clock(int64_t now)
    {
        return (now - kWorkerStartedMs) * (1000 - kDriftPermille) / 1000;
    }

    void
    Extend(int64_t expires)
    {
        expires_ms = std::max(expires_ms, expires);
    }

    bool
    HasLapsed(int64_t now) const
    {
        return Clock(now) >= expires_ms;
    }
};

/* A replica of the jobs, with the dispatcher that leads them at times. */
class Replica {
  public:
    explicit Replica(int64_t failover_ms = 0)
    {
        jr_dispatch_options_t options = {};

        options.failover_ms = failover_ms;
        options.lease_ms = kLeaseMs;
        options.drift_permille = kDriftPermille;
        options.hold_wait_ms = kWaitMs;
        options.order_age_ms = kOrderAgeMs;
        options.far_permille = 1000;
        ctx_ = jr_new_ctx("test", nullptr);
        jobs = jr_new_jobs(ctx_);
        dispatch = jr_new_dispatch(ctx_, &options, jobs);
    }

    ~Replica()
    {
        jr_drop_dispatch(dispatch);
        jr_drop_jobs(jobs);
        jr_drop_ctx(ctx_);
    }

    std::vector<Bytes>
    TakeCommands()
    {
        std::vector<Bytes> commands;
        uint8_t *bytes;
        size_t len;

        while (jr_dispatch_take_command(dispatch, &bytes, &len)) {
            commands.emplace_back(bytes, bytes + len);
            jr_free(ctx_, bytes);
        }
        return commands;
    }

    jr_jobs_t *jobs;
    jr_dispatch_t *dispatch;

  private:
    jr_ctx_t *ctx_;
};

class WorkerTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        Apply(PackConfig(now_));
        CheckIn(false);
        jr_dispatch_lead(first_.dispatch, 1, now_);
    }

    void
    CheckIn(bool is_draining, int64_t born = kBorn)
    {
        Apply(PackWorker(worker_.id, born, is_draining, now_));
    }

    void
    Apply(const Bytes &bytes)
    {
        jr_jobs_apply(first_.jobs, bytes.data(), bytes.size());
        jr_jobs_apply(second_.jobs, bytes.data(), bytes.size());
        jr_jobs_apply(shorter_.jobs, bytes.data(), bytes.size());
    }

    void
    Apply(Jr__JobCommand *command)
    {
        Apply(PackCommand(command, now_));
    }

    void
    Submit()
    {
        Apply(PackSubmit(1000, now_));
    }

    void
    Tick(Replica &leader)
    {
        now_ += kTickMs;
        jr_dispatch_tick(leader.dispatch, now_, now_);
        for (const Bytes &bytes : leader.TakeCommands()) {
            Apply(bytes);
        }
    }

    jr_order_t
    TakeOrder(jr_order_kind_t kind)
    {
        jr_order_t order = {};

        while (!jr_dispatch_take_order(first_.dispatch, &order)) {
            Tick(first_);
        }
        EXPECT_EQ(order.kind, kind);
        return order;
    }

    void
    Answer(const jr_order_t &order, jr_answer_kind_t kind,
           int64_t incarnation = 0)
    {
        jr_answer_t answer = {};

        answer.kind = kind;
        answer.incarnation = incarnation;
        answer.clock_ms = Worker::Clock(now_);
        jr_dispatch_answer(first_.dispatch, order.serial, &answer, now_);
    }

    /* The worker gets an order; it answers renewals without waiting. */
    void
    Execute(Replica &leader, const jr_order_t &order)
    {
        jr_answer_t answer = {};
        jr_running_t row = {};

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = Worker::Clock(now_);
        answer.incarnation = kBorn;
        if (order.kind == JR_ORDER_START) {
            worker_.Extend(order.as.start.expires_ms);
            row.run = order.run;
            worker_.running.push_back(row);
        }
        if (order.kind == JR_ORDER_RENEW) {
            worker_.Extend(order.as.renew.expires_ms);
        }
        answer.running = worker_.running.data();
        answer.n_running = worker_.running.size();
        jr_dispatch_answer(leader.dispatch, order.serial, &answer, now_);
    }

    /* The worker gets all orders that are due. */
    void
    ExecuteOrders(Replica &leader)
    {
        jr_order_t order;
        size_t n_renewals = 0;

        while (n_renewals == 0 &&
               jr_dispatch_take_order(leader.dispatch, &order)) {
            n_renewals += order.kind == JR_ORDER_RENEW;
            Execute(leader, order);
        }
    }

    void
    LoseOrders(Replica &leader)
    {
        jr_answer_t lost = {};
        jr_order_t order;

        lost.kind = JR_ANSWER_UNKNOWN;
        while (jr_dispatch_take_order(leader.dispatch, &order)) {
            jr_dispatch_answer(leader.dispatch, order.serial, &lost, now_);
        }
    }

    /* The worker is cut off, or has closed its port. */
    void
    LoseConnections(Replica &leader, int64_t ms, bool is_refused = false)
    {
        jr_answer_t unreached = {};
        jr_order_t order;

        unreached.kind = JR_ANSWER_UNREACHED;
        unreached.is_refused = is_refused;
        for (int64_t end = now_ + ms; now_ < end;) {
            Tick(leader);
            while (jr_dispatch_take_order(leader.dispatch, &order)) {
                jr_dispatch_answer(leader.dispatch, order.serial, &unreached,
                                   now_);
            }
        }
    }

    void
    StartTask()
    {
        Submit();
        while (worker_.running.empty()) {
            Tick(first_);
            ExecuteOrders(first_);
        }
    }

    bool
    IsGranted()
    {
        Jr__JobRun name = JR__JOB_RUN__INIT;

        name.job = 1;
        return jr_jobs_task(second_.jobs, &name)->phase == JR_PHASE_GRANTED;
    }

    /* By the renewals of some seconds, which the worker answers? */
    bool
    IsLeaseExtended(Replica &leader)
    {
        int64_t expires_ms = worker_.expires_ms;

        for (int64_t end = now_ + kWaitMs; now_ < end;) {
            Tick(leader);
            ExecuteOrders(leader);
        }
        return worker_.expires_ms > expires_ms;
    }

    /* The task is released when the lease of its worker has ended: no sooner,
     * and soon after. */
    void
    ExpectReleaseAtLapse(bool is_refused)
    {
        int64_t longest_ms = kLeaseMs * 1000 / (1000 - kDriftPermille);
        int64_t last_at = now_ + longest_ms + kSlackMs;
        int64_t lapsed_at = 0;

        while (IsGranted() && now_ <= last_at) {
            LoseConnections(first_, kTickMs, is_refused);
            if (lapsed_at == 0 && worker_.HasLapsed(now_)) {
                lapsed_at = now_;
            }
        }
        EXPECT_FALSE(IsGranted());
        ASSERT_NE(lapsed_at, 0);
        EXPECT_LE(now_, lapsed_at + kSlackMs);
    }

    int64_t now_ = 1000;
    Worker worker_;
    Replica first_;
    Replica second_;
    Replica shorter_{kShorterFailoverMs}; /* gives shorter leases */
};

/*
 * Guards against a task that a new leader starts elsewhere while a worker that
 * only the previous leader reaches still has a lease.
 */
TEST_F(WorkerTest, ANewLeaderWaitsForTheLastLeaseOfItsPredecessor)
{
    int64_t elected_at;

    StartTask();
    elected_at = now_;
    jr_dispatch_lead(second_.dispatch, 2, now_);
    while (now_ < elected_at + kOrderAgeMs) {
        Tick(first_);
        ExecuteOrders(first_);
    }
    while (IsGranted()) {
        Tick(second_);
        LoseOrders(second_);
        ASSERT_LT(now_, elected_at + 10 * kLeaseMs);
    }
    EXPECT_TRUE(worker_.HasLapsed(now_))
        << "released " << now_ - elected_at
        << " ms after the election; the lease has "
        << worker_.expires_ms - Worker::Clock(now_) << " ms left";
}

/*
 * Guards against a task that runs twice after a change of the settings, or of
 * the version: the new leader gives shorter leases than its predecessor did.
 */
TEST_F(WorkerTest, ANewLeaderWaitsForLongerLeasesThanItsOwn)
{
    int64_t elected_at;

    StartTask();
    elected_at = now_;
    jr_dispatch_lead(shorter_.dispatch, 2, now_);
    while (IsGranted()) {
        Tick(shorter_);
        LoseOrders(shorter_);
        ASSERT_LT(now_, elected_at + 10 * kLeaseMs);
    }
    EXPECT_TRUE(worker_.HasLapsed(now_));
}

/* Guards against the same for the leader after the next one. */
TEST_F(WorkerTest, LeasesCountAsShorterOnceLongerOnesHaveEnded)
{
    StartTask();
    jr_dispatch_lead(shorter_.dispatch, 2, now_);
    for (int64_t end = now_ + kLeaseMs; now_ < end;) {
        Tick(shorter_);
        ExecuteOrders(shorter_);
        EXPECT_EQ(second_.jobs->lease_limit_ms, 0);
    }
    EXPECT_TRUE(IsGranted());
    for (int64_t end = now_ + kLeaseMs; now_ < end;) {
        Tick(shorter_);
        ExecuteOrders(shorter_);
    }
    EXPECT_GT(second_.jobs->lease_limit_ms, 0);
    EXPECT_LE(second_.jobs->lease_limit_ms, kLeaseMs / 2);
}

/*
 * Guards against a worker that is lost by one odd answer: a start time that
 * can't be true was taken for a restart, and all later answers for late ones.
 */
TEST_F(WorkerTest, AnAnswerOfAWorkerThatIsNotBornYetIsNoRestart)
{
    StartTask();
    Answer(TakeOrder(JR_ORDER_RENEW), JR_ANSWER_DONE, INT64_MAX);
    for (int64_t end = now_ + 2 * kLeaseMs; now_ < end;) {
        Tick(first_);
        ExecuteOrders(first_);
        ASSERT_TRUE(IsGranted());
        ASSERT_FALSE(worker_.HasLapsed(now_));
    }
}

/*
 * Guards against sound answers that a leader refuses as it does not know the
 * time: before its first tick, or long after one of an earlier leadership.
 */
TEST_F(WorkerTest, AnswersCountBeforeALeaderKnowsTheTime)
{
    constexpr int64_t kHoursMs = 3 * 3600 * 1000;
    jr_answer_t answer = {};
    jr_order_t order;

    answer.kind = JR_ANSWER_DONE;
    answer.incarnation = kHoursMs;
    CheckIn(false, kHoursMs);
    jr_dispatch_lead(second_.dispatch, 2, now_);
    for (int i = 0; i < 2; i++) {
        ASSERT_TRUE(jr_dispatch_take_order(second_.dispatch, &order));
        now_++;
        jr_dispatch_answer(second_.dispatch, order.serial, &answer, now_);
    }
    jr_dispatch_resign(second_.dispatch);
    jr_dispatch_tick(second_.dispatch, now_, now_);
    now_ += kHoursMs;
    jr_dispatch_lead(second_.dispatch, 3, now_);
    for (int i = 0; i < 2; i++) {
        ASSERT_TRUE(jr_dispatch_take_order(second_.dispatch, &order));
        now_++;
        jr_dispatch_answer(second_.dispatch, order.serial, &answer, now_);
    }
}

/*
 * Guards against a task that is started elsewhere while a worker that has said
 * that it leaves is cut off and still runs it.
 */
TEST_F(WorkerTest, ALeavingWorkerThatIsCutOffKeepsItsLease)
{
    StartTask();
    jr_dispatch_left(first_.dispatch, "w0", kBorn, now_);
    LoseConnections(first_, kLeaseMs / 2);
    EXPECT_TRUE(IsGranted());
    LoseConnections(first_, kLeaseMs);
    EXPECT_FALSE(IsGranted());
}

/*
 * Guards against tasks that are granted to a worker whose lease ran out while
 * it was cut off, and are released at once: ends that it lists are still on
 * their way to the log, so it has not been renewed yet.
 */
TEST_F(WorkerTest, AWorkerWithoutALeaseGetsNoTask)
{
    jr_answer_t answer = {};
    jr_ended_t end = {};

    Tick(first_);
    ExecuteOrders(first_);
    LoseConnections(first_, 2 * kLeaseMs);
    Submit();
    jr__job_run__init(&end.run);
    end.number = 1;
    end.run.job = 99;
    end.checkpoint = "";
    answer.kind = JR_ANSWER_DONE;
    answer.clock_ms = Worker::Clock(now_);
    answer.incarnation = kBorn;
    answer.ended = &end;
    answer.n_ended = 1;
    jr_dispatch_answer(first_.dispatch, TakeOrder(JR_ORDER_RENEW).serial,
                       &answer, now_);
    for (int i = 0; i < 20; i++) {
        now_ += kTickMs;
        jr_dispatch_tick(first_.dispatch, now_, now_);
        for (const Bytes &bytes : first_.TakeCommands()) {
            Jr__JobCommand *command =
                jr__job_command__unpack(nullptr, bytes.size(), bytes.data());

            EXPECT_NE(command->body_case, JR__JOB_COMMAND__BODY_RELEASES);
            if (command->body_case == JR__JOB_COMMAND__BODY_GRANTS) {
                Apply(bytes);
            }
            jr__job_command__free_unpacked(command, nullptr);
        }
    }
}

/*
 * Guards against a task that is started elsewhere because connections to its
 * worker, which leaves, are refused: a network partition may refuse them too.
 */
TEST_F(WorkerTest, ALeavingWorkerThatRefusesConnectionsKeepsItsLease)
{
    StartTask();
    CheckIn(true);
    jr_dispatch_left(first_.dispatch, "w0", kBorn, now_);
    ExpectReleaseAtLapse(true);
}

/*
 * Guards against the same where nothing answers: how long a worker runs on
 * after its request is not known.
 */
TEST_F(WorkerTest, ALeavingWorkerThatFallsSilentKeepsItsLease)
{
    StartTask();
    jr_dispatch_left(first_.dispatch, "w0", kBorn, now_);
    ExpectReleaseAtLapse(false);
}

/*
 * Guards against a check-in that was delayed and takes back the leave request:
 * the lease would be extended, and the tasks would wait for its end.
 */
TEST_F(WorkerTest, ALateCheckInDoesNotTakeBackALeaveRequest)
{
    Jr__JobCommand *command;
    Bytes bytes = PackWorker(worker_.id, kBorn, false, now_);

    StartTask();
    CheckIn(true);
    jr_dispatch_left(first_.dispatch, "w0", 0, now_);
    command = jr__job_command__unpack(nullptr, bytes.size(), bytes.data());
    jr_dispatch_checked_in(first_.dispatch, command->worker, now_);
    jr__job_command__free_unpacked(command, nullptr);
    EXPECT_FALSE(IsLeaseExtended(first_));
    ExpectReleaseAtLapse(true);
}

/*
 * Guards against a leader that was paused and then takes a leaving worker, of
 * which it heard nothing meanwhile, for one that has ended.
 */
TEST_F(WorkerTest, APauseOfTheLeaderIsNotSilenceOfALeavingWorker)
{
    StartTask();
    jr_dispatch_left(first_.dispatch, "w0", kBorn, now_);
    now_ += kPauseMs;
    Tick(first_);
    EXPECT_TRUE(IsGranted());
    ExecuteOrders(first_);
    Tick(first_);
    EXPECT_TRUE(IsGranted());
    EXPECT_FALSE(worker_.HasLapsed(now_));
}

/*
 * Guards against tasks that wait for a whole lease when a worker leaves and
 * the leader that it told is lost: the next one must know.
 */
TEST_F(WorkerTest, ANewLeaderKnowsAWorkerThatLeaves)
{
    Jr__JobWorkerLeaving leaving = JR__JOB_WORKER_LEAVING__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    StartTask();
    EXPECT_TRUE(jr_dispatch_left(first_.dispatch, "w0", kBorn, now_));
    leaving.id = worker_.id.data();
    leaving.born = kBorn;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER_LEAVING;
    command.worker_leaving = &leaving;
    Apply(&command);
    EXPECT_FALSE(jr_dispatch_left(first_.dispatch, "w0", kBorn, now_));
    CheckIn(true); /* a delayed one does not take it back */
    jr_dispatch_resign(first_.dispatch);
    jr_dispatch_lead(second_.dispatch, 2, now_);
    EXPECT_FALSE(IsLeaseExtended(second_));
}

/* Guards against a late leave request ending a worker that has restarted
 * since. */
TEST_F(WorkerTest, ALeaveRequestOfAnEarlierIncarnationIsIgnored)
{
    StartTask();
    jr_dispatch_left(first_.dispatch, "w0", kBorn - 1, now_);
    EXPECT_TRUE(IsLeaseExtended(first_));
    LoseConnections(first_, 100, true);
    EXPECT_TRUE(IsGranted());
}

/*
 * Guards against a late leave request without an incarnation, which may be of
 * an earlier one: this one has not announced that it drains.
 */
TEST_F(WorkerTest, ALeaveRequestWithoutIncarnationCountsOnceTheWorkerDrains)
{
    StartTask();
    jr_dispatch_left(first_.dispatch, "w0", 0, now_);
    EXPECT_TRUE(IsLeaseExtended(first_));
    CheckIn(true);
    jr_dispatch_left(first_.dispatch, "w0", 0, now_);
    EXPECT_FALSE(IsLeaseExtended(first_));
}

/*
 * Guards against a worker that has restarted elsewhere being taken for ended,
 * as another worker answers at the address of its earlier incarnation.
 */
TEST_F(WorkerTest, AMisdirectedOrderToAnEarlierIncarnationEndsNoOther)
{
    jr_order_t renewal = TakeOrder(JR_ORDER_RENEW);
    jr_order_t next = {};

    CheckIn(false, kBorn + 1);
    Answer(renewal, JR_ANSWER_OTHER_INCARNATION);
    for (int i = 0; i < 100 && next.serial == 0; i++) {
        Tick(first_);
        jr_dispatch_take_order(first_.dispatch, &next);
    }
    EXPECT_EQ(next.kind, JR_ORDER_RENEW);
    EXPECT_NE(next.serial, 0u);
}

/*
 * Guards against a task that is granted elsewhere although its start order
 * reached the worker after a restart that the leader learnt of meanwhile.
 */
TEST_F(WorkerTest, AStartThatARestartedWorkerExecutedIsNotReleased)
{
    jr_order_t renewal, start;

    Tick(first_);
    ExecuteOrders(first_);
    renewal = TakeOrder(JR_ORDER_RENEW);
    Submit();
    start = TakeOrder(JR_ORDER_START);
    CheckIn(false, kBorn + 1);
    Answer(start, JR_ANSWER_DONE);
    Answer(renewal, JR_ANSWER_DONE, kBorn + 1); /* listed before the start */
    Tick(first_);
    EXPECT_TRUE(IsGranted());
}

/* Guards against a stop that only an earlier incarnation has received. */
TEST_F(WorkerTest, AStopOfAnEarlierIncarnationBarsNothingInALaterOne)
{
    jr_order_t renewal, start, order;
    uint64_t fence = 0; /* highest that the later incarnation has received */
    int n_starts = 0;   /* of the next attempt */

    Tick(first_);
    ExecuteOrders(first_);
    renewal = TakeOrder(JR_ORDER_RENEW);
    Submit();
    start = TakeOrder(JR_ORDER_START);
    Answer(start, JR_ANSWER_OLD_RUN);
    order = TakeOrder(JR_ORDER_STOP);
    CheckIn(false, kBorn + 1);
    Answer(renewal, JR_ANSWER_DONE, kBorn + 1);
    Answer(order, JR_ANSWER_DONE);
    Tick(first_);
    EXPECT_TRUE(IsGranted());
    for (int i = 0; i < 50; i++) {
        Tick(first_);
        while (jr_dispatch_take_order(first_.dispatch, &order)) {
            if (order.kind == JR_ORDER_RENEW) {
                fence = std::max(fence, order.fence);
                Answer(order, JR_ANSWER_DONE, kBorn + 1);
                break;
            }
            if (order.kind == JR_ORDER_START) {
                EXPECT_GT(fence, start.fence); /* which can't start any more */
                n_starts++;
            }
        }
    }
    EXPECT_EQ(n_starts, 1);
}

/* Guards against leases that last longer than any other leader expects. */
TEST_F(WorkerTest, ALeaseIsNoLongerThanItsDurationOnASlowClock)
{
    jr_order_t order = {};

    Tick(first_);
    ExecuteOrders(first_);
    Tick(first_);
    ASSERT_TRUE(jr_dispatch_take_order(first_.dispatch, &order));
    ASSERT_EQ(order.kind, JR_ORDER_RENEW); /* the worker waits for an end */
    for (int64_t waited = 0; waited < kWaitMs; waited += kTickMs) {
        Tick(first_);
    }
    Submit();
    do {
        Tick(first_);
    } while (!jr_dispatch_take_order(first_.dispatch, &order));
    ASSERT_EQ(order.kind, JR_ORDER_START);
    EXPECT_LE(order.as.start.expires_ms, Worker::Clock(now_) + kLeaseMs);
}

/*
 * Guards against a lease that starts extend while a lost worker owes an answer
 * to its renewal: all that ran there waited for as much longer.
 */
TEST_F(WorkerTest, AStartExtendsNoLeaseOfAWorkerThatOwesAnAnswer)
{
    int64_t longest_ms = kLeaseMs * 1000 / (1000 - kDriftPermille);
    jr_order_t renewal, start;
    int64_t lost_at;

    StartTask();
    renewal = TakeOrder(JR_ORDER_RENEW); /* the worker waits for an end */
    Execute(first_, renewal);
    renewal = TakeOrder(JR_ORDER_RENEW);
    lost_at = now_;
    while (now_ < lost_at + kWaitMs / 2) {
        Tick(first_);
    }
    Apply(PackSubmit(1000, now_, 2));
    start = TakeOrder(JR_ORDER_START);
    EXPECT_LE(start.as.start.expires_ms, renewal.as.renew.expires_ms);
    while (now_ < lost_at + kWaitMs) {
        Tick(first_);
    }
    Answer(start, JR_ANSWER_UNREACHED);
    Answer(renewal, JR_ANSWER_UNKNOWN);
    while (IsGranted()) {
        LoseConnections(first_, kTickMs);
        ASSERT_LT(now_, lost_at + 10 * kLeaseMs);
    }
    EXPECT_LE(now_, lost_at + longest_ms + kSlackMs);
    EXPECT_GE(Worker::Clock(now_), renewal.as.renew.expires_ms);
}

/* Guards against a start that is rejected, or a task that ends at once. */
TEST_F(WorkerTest, AStartGivesALeaseWhereALeaderHadNoTimeForRenewals)
{
    jr_order_t order = {};

    Tick(first_);
    ExecuteOrders(first_);
    order = TakeOrder(JR_ORDER_RENEW);
    Execute(first_, order);
    now_ += kPauseMs;
    Tick(first_);
    Submit();
    do {
        Tick(first_);
        while (jr_dispatch_take_order(first_.dispatch, &order) &&
               order.kind != JR_ORDER_START) {
        }
        ASSERT_LT(now_, 3 * kLeaseMs);
    } while (order.kind != JR_ORDER_START);
    EXPECT_GE(order.as.start.expires_ms, Worker::Clock(now_) + kLeaseMs / 2);
}

/*
 * Guards against ends that count as those of a held lease, although the lease
 * of the previous leader ran out before the first renewal of this one arrived.
 */
TEST_F(WorkerTest, ALeaseThatRanOutBeforeTheFirstRenewalWasNotHeld)
{
    jr_order_t renewal = {};
    jr_answer_t answer = {};
    jr_ended_t end = {};
    bool was_proposed = false;

    StartTask();
    while (worker_.expires_ms - Worker::Clock(now_) > 200) {
        now_ += kTickMs; /* the previous leader is gone */
    }
    jr_dispatch_lead(second_.dispatch, 2, now_);
    Tick(second_);
    ExecuteOrders(second_); /* the first list, which gives no lease */
    ASSERT_FALSE(worker_.HasLapsed(now_));
    do {
        Tick(second_);
    } while (!jr_dispatch_take_order(second_.dispatch, &renewal));
    ASSERT_EQ(renewal.kind, JR_ORDER_RENEW);
    ASSERT_FALSE(worker_.HasLapsed(now_));

    /* The run ends, the lease runs out, and then the renewal arrives. */
    end.number = 1;
    end.run = worker_.running[0].run;
    end.how = JR__JOB_END__HOW__DONE;
    end.checkpoint = "";
    for (int64_t due = now_ + 1500; now_ < due;) {
        Tick(second_);
    }
    ASSERT_TRUE(worker_.HasLapsed(now_));
    answer.kind = JR_ANSWER_DONE;
    answer.clock_ms = Worker::Clock(now_);
    answer.incarnation = kBorn;
    answer.ended = &end;
    answer.n_ended = 1;
    jr_dispatch_answer(second_.dispatch, renewal.serial, &answer, now_);
    for (const Bytes &bytes : second_.TakeCommands()) {
        Jr__JobCommand *command =
            jr__job_command__unpack(nullptr, bytes.size(), bytes.data());

        if (command->body_case == JR__JOB_COMMAND__BODY_ENDS) {
            was_proposed = true;
            EXPECT_FALSE(command->ends->lease_held);
        }
        jr__job_command__free_unpacked(command, nullptr);
    }
    EXPECT_TRUE(was_proposed);
}

} // namespace
