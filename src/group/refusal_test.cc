/* Jobs that the leader of a job group refuses, and how callers are told. */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/group.h"
}

namespace {

constexpr int64_t kStepMs = 10;
constexpr int64_t kSettledMs = 6000;
constexpr uint64_t kBurst = 10000; /* jobs in a second */

struct Answer {
    uint32_t code;
    uint32_t retry_after_ms;
};

/* One replica and one worker of four processors; its tasks do not end. */
class RefusalTest : public ::testing::Test {
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
        options.quorum.election_ms = 100;
        options.quorum.heartbeat_ms = 20;
        options.dispatch.lease_ms = 3000;
        options.dispatch.drift_permille = 20;
        options.snapshot_every = 100000;
        options.hooks = {OnSend, OnReply, OnRules, this};
        group_ = jr_new_group(ctx_, &options, store_, now_);
        ASSERT_NE(group_, nullptr);
        Run(1000);
        ASSERT_EQ(jr_quorum_role(jr_group_quorum(group_)), JR_LEADER);
        CheckIn();
        Configure();
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
    OnReply(void *user, const jr_reply_address_t *reply_to, Jr__Reply *reply)
    {
        static_cast<RefusalTest *>(user)->answers_[reply_to->id] = {
            reply->code, reply->retry_after_ms};
    }

    void
    CheckIn()
    {
        Jr__JobWorker info = JR__JOB_WORKER__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        info.id = const_cast<char *>("w0");
        info.born = 1;
        info.address = const_cast<char *>("10.0.0.1:1");
        info.service = const_cast<char *>("s");
        info.cpu_milli = 4000;
        info.memory_mb = 1000;
        request.body_case = JR__REQUEST__BODY_JOB_WORKER;
        request.job_worker = &info;
        jr_group_request(group_, &reply_to, &request, now_);
        Run(100);
    }

    /* The queues /q/ and /other/, and /any/ without an objective. */
    void
    Configure()
    {
        const char *prefixes[] = {"/q/", "/other/", "/any/"};
        Jr__JobQueue queues[3];
        Jr__JobQueue *pointers[3];
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};

        for (int i = 0; i < 3; i++) {
            jr__job_queue__init(&queues[i]);
            queues[i].host = const_cast<char *>("h");
            queues[i].prefix = const_cast<char *>(prefixes[i]);
            queues[i].service = const_cast<char *>("s");
            queues[i].max_failures = 3;
            queues[i].objective_ms = i < 2 ? 1000 : 0;
            queues[i].stretch_permille = i < 2 ? 1000 : 0;
            pointers[i] = &queues[i];
        }
        config.version = 1;
        config.n_queues = 3;
        config.queues = pointers;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
        request.job_command = &command;
        jr_group_request(group_, &reply_to, &request, now_);
        Run(100);
    }

    /* Sends a job of one task of a second; true when it is refused at once. */
    bool
    Submit(uint64_t id, const std::string &prefix = "/q/")
    {
        char text[17];
        Jr__JobStep step = JR__JOB_STEP__INIT;
        Jr__JobStep *steps[] = {&step};
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        jr_reply_address_t reply_to = {};
        std::string path;

        snprintf(text, sizeof text, "%016llx",
                 static_cast<unsigned long long>(id));
        path = prefix + text;
        step.count = 1;
        step.cpu_milli = 1000;
        step.estimate_ms = 1000;
        spec.host = const_cast<char *>("h");
        spec.prefix = path.data();
        spec.n_steps = 1;
        spec.steps = steps;
        submit.spec = &spec;
        command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
        request.job_command = &command;
        reply_to.id = id;
        answers_.erase(id);
        jr_group_request(group_, &reply_to, &request, now_);
        return answers_.count(id) > 0 && answers_[id].code == JR_OVERLOADED;
    }

    void
    Run(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end;) {
            std::vector<jr_order_t> orders;
            jr_order_t next;

            now_ += kStepMs;
            jr_group_tick(group_, now_);
            jr_group_pump(group_, now_);
            while (jr_group_take_order(group_, now_, &next)) {
                orders.push_back(next);
            }
            for (const jr_order_t &order : orders) {
                Obey(order);
            }
        }
    }

    void
    Obey(const jr_order_t &order)
    {
        jr_answer_t answer = {};
        std::vector<jr_running_t> rows;

        if (order.kind == JR_ORDER_START) {
            running_.push_back(order.run);
        }
        for (const Jr__JobRun &run : running_) {
            jr_running_t row = {};

            row.run = run;
            row.percent = ++percent_ % 100; /* no run looks stalled */
            rows.push_back(row);
        }
        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = now_;
        answer.incarnation = 1;
        if (order.kind == JR_ORDER_RENEW) {
            answer.running = rows.data();
            answer.n_running = rows.size();
        }
        jr_group_answer(group_, order.serial, &answer, now_);
    }

    uint64_t
    Count(jr_counter_t counter) const
    {
        return ctx_->counters[counter];
    }

    /* Submits jobs until one is refused; returns its id. */
    uint64_t
    Fill()
    {
        for (uint64_t id = 1; id < kBurst; id++) {
            if (Submit(id)) {
                return id;
            }
        }
        return 0;
    }

    jr_ctx_t *ctx_ = nullptr;
    jr_store_t *store_ = nullptr;
    jr_group_t *group_ = nullptr;
    int64_t now_ = 0;
    uint32_t percent_ = 0;
    std::vector<Jr__JobRun> running_;
    std::map<uint64_t, Answer> answers_;
};

/* Load: 10,000 jobs in a second, of one queue. */
TEST_F(RefusalTest, AFloodIsRefusedAndOtherQueuesAreServed)
{
    size_t n_refused = 0;

    Run(kSettledMs);
    for (uint64_t id = 1; id <= kBurst; id++) {
        if (Submit(id)) {
            n_refused++;
            EXPECT_GE(answers_[id].retry_after_ms, 1000u);
            EXPECT_LE(answers_[id].retry_after_ms, 10000u);
        }
        if (id % (kBurst / 100) == 0) {
            Run(kStepMs);
        }
    }
    EXPECT_GT(n_refused, kBurst * 9 / 10);
    EXPECT_EQ(Count(JR_C_REFUSED_QUEUE_BACKLOG), n_refused);
    EXPECT_EQ(HASH_COUNT(jr_group_jobs(group_)->by_id), kBurst - n_refused);
    EXPECT_FALSE(Submit(kBurst + 1, "/other/"));
    EXPECT_FALSE(Submit(kBurst + 2, "/any/"));
    Run(kStepMs);
    EXPECT_EQ(answers_[kBurst + 1].code, JR_OK);
    EXPECT_EQ(answers_[kBurst + 2].code, JR_OK);
}

/* "Not run" is true: nothing was proposed, and a later try decides anew. */
TEST_F(RefusalTest, ARefusedJobIsNotKnown)
{
    uint64_t id;

    Run(kSettledMs);
    id = Fill();
    ASSERT_GT(id, 0u);
    Run(1000);
    EXPECT_EQ(jr_jobs_find(jr_group_jobs(group_), id), nullptr);
    EXPECT_NE(jr_jobs_find(jr_group_jobs(group_), id - 1), nullptr);
}

/* A client whose first answer was lost sends the job again. */
TEST_F(RefusalTest, ARepeatedJobStaysAccepted)
{
    Run(kSettledMs);
    ASSERT_GT(Fill(), 2u);
    Run(kStepMs);
    EXPECT_FALSE(Submit(1));
    EXPECT_EQ(answers_[1].code, JR_OK);
}

/*
 * Guards against "not run" for a job that runs: the first submission is on its
 * way to the log when the second one arrives.
 */
TEST_F(RefusalTest, AJobOnItsWayToTheLogIsNotRefused)
{
    Run(kSettledMs);
    ASSERT_GT(Fill(), 2u); /* nothing is applied yet */
    EXPECT_FALSE(Submit(1));
    Run(kStepMs);
    EXPECT_EQ(answers_[1].code, JR_OK);
}

TEST_F(RefusalTest, ANewLeaderRefusesNothing)
{
    EXPECT_EQ(Fill(), 0u);
}

} // namespace
