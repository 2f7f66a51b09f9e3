/* Tests of the replicated state of jobs. */
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/job.h"
}

namespace {

class JobTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        jobs_ = jr_new_jobs(ctx_);
        Configure(1, "/q/");
        Announce("w", 1);
    }

    void
    TearDown() override
    {
        jr_drop_jobs(jobs_);
        jr_drop_ctx(ctx_);
    }

    jr_result_t
    Apply(Jr__JobCommand *command)
    {
        std::vector<uint8_t> bytes(jr__job_command__get_packed_size(command));

        jr__job_command__pack(command, bytes.data());
        applied_.push_back(bytes);
        return jr_jobs_apply(jobs_, bytes.data(), bytes.size());
    }

    void
    Configure(uint64_t version, const char *prefix, const char *host = "h")
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
        Jr__JobQueue *queues[] = {&queue};
        std::string text = "text " + std::to_string(version) + prefix;

        queue.host = const_cast<char *>(host);
        queue.prefix = const_cast<char *>(prefix);
        queue.service = const_cast<char *>("s");
        queue.max_failures = 2;
        config.version = version;
        config.text = const_cast<char *>(text.c_str());
        config.n_queues = 1;
        config.queues = queues;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        Apply(&command);
    }

    void
    Announce(const char *id, int64_t incarnation)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobWorker worker = JR__JOB_WORKER__INIT;

        worker.id = const_cast<char *>(id);
        worker.born = incarnation;
        command.body_case = JR__JOB_COMMAND__BODY_WORKER;
        command.worker = &worker;
        Apply(&command);
    }

    void
    Submit(uint64_t id, uint32_t count, bool gang = false)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobStep step = JR__JOB_STEP__INIT;
        Jr__JobStep *steps[] = {&step};

        step.count = count;
        step.gang = gang;
        spec.id = id;
        spec.host = const_cast<char *>("h");
        spec.prefix = const_cast<char *>("/q/");
        spec.n_steps = 1;
        spec.steps = steps;
        submit.spec = &spec;
        command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        EXPECT_EQ(Apply(&command), JR_OK);
    }

    Jr__JobRun
    Run(uint64_t job, uint32_t index, uint32_t attempt)
    {
        Jr__JobRun run = JR__JOB_RUN__INIT;

        run.job = job;
        run.index = index;
        run.attempt = attempt;
        return run;
    }

    void
    Grant(uint64_t job, uint32_t index, uint32_t attempt,
          int64_t incarnation = 1)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobGrants grants = JR__JOB_GRANTS__INIT;
        Jr__JobGrant grant = JR__JOB_GRANT__INIT;
        Jr__JobGrant *rows[] = {&grant};
        Jr__JobRun run = Run(job, index, attempt);

        grant.run = &run;
        grant.worker = const_cast<char *>("w");
        grant.born = incarnation;
        grants.n_grants = 1;
        grants.grants = rows;
        command.body_case = JR__JOB_COMMAND__BODY_GRANTS;
        command.grants = &grants;
        Apply(&command);
    }

    void
    Settle(const char *worker, Jr__JobRun run)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobSettled settled = JR__JOB_SETTLED__INIT;
        Jr__JobRun *rows[] = {&run};

        settled.worker = const_cast<char *>(worker);
        settled.born = 1;
        settled.n_runs = 1;
        settled.runs = rows;
        command.body_case = JR__JOB_COMMAND__BODY_SETTLED;
        command.settled = &settled;
        Apply(&command);
    }

    int64_t
    SettledIn(uint64_t job, uint32_t index)
    {
        Jr__JobRun run = Run(job, index, 1);

        return jr_jobs_task(jobs_, &run)->settled_in;
    }

    void
    End(uint64_t job, uint32_t index, uint32_t attempt, Jr__JobEnd__How how,
        const char *checkpoint = "")
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobEnds ends = JR__JOB_ENDS__INIT;
        Jr__JobEnd end = JR__JOB_END__INIT;
        Jr__JobEnd *rows[] = {&end};
        Jr__JobRun run = Run(job, index, attempt);

        end.run = &run;
        end.how = how;
        end.checkpoint = const_cast<char *>(checkpoint);
        ends.worker = const_cast<char *>("w");
        ends.born = 1;
        ends.up_to = ++number_;
        ends.n_ends = 1;
        ends.ends = rows;
        command.body_case = JR__JOB_COMMAND__BODY_ENDS;
        command.ends = &ends;
        Apply(&command);
    }

    /* The end of a released run, listed while the lease was valid. */
    void
    LateEnd(uint64_t job, uint32_t index, uint32_t attempt,
            Jr__JobEnd__How how, uint64_t number, int64_t incarnation = 1,
            bool is_lease_held = true)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobEnds ends = JR__JOB_ENDS__INIT;
        Jr__JobEnd end = JR__JOB_END__INIT;
        Jr__JobEnd *rows[] = {&end};
        Jr__JobRun run = Run(job, index, attempt);

        end.run = &run;
        end.how = how;
        end.number = number;
        ends.worker = const_cast<char *>("w");
        ends.born = incarnation;
        ends.up_to = number;
        ends.lease_held = is_lease_held;
        ends.n_ends = 1;
        ends.ends = rows;
        command.body_case = JR__JOB_COMMAND__BODY_ENDS;
        command.ends = &ends;
        Apply(&command);
    }

    void
    Release(uint64_t job, uint32_t index, uint32_t attempt,
            int64_t crashed_after_ms = 0, const char *checkpoint = "")
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobReleases releases = JR__JOB_RELEASES__INIT;
        Jr__JobRelease release = JR__JOB_RELEASE__INIT;
        Jr__JobRelease *rows[] = {&release};
        Jr__JobRun run = Run(job, index, attempt);

        release.run = &run;
        release.crashed_after_ms = crashed_after_ms;
        release.checkpoint = const_cast<char *>(checkpoint);
        releases.n_releases = 1;
        releases.releases = rows;
        command.body_case = JR__JOB_COMMAND__BODY_RELEASES;
        command.releases = &releases;
        Apply(&command);
    }

    void
    Begun(std::vector<uint64_t> ids)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobBegun begun = JR__JOB_BEGUN__INIT;

        begun.n_jobs = ids.size();
        begun.jobs = ids.data();
        command.body_case = JR__JOB_COMMAND__BODY_BEGUN;
        command.begun = &begun;
        EXPECT_EQ(Apply(&command), JR_OK);
    }

    void
    Cancel(uint64_t id)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobCancel cancel = JR__JOB_CANCEL__INIT;

        cancel.job = id;
        command.body_case = JR__JOB_COMMAND__BODY_CANCEL;
        command.cancel = &cancel;
        EXPECT_EQ(Apply(&command), JR_OK);
    }

    /* Replaces the state by its snapshot. */
    void
    Reload()
    {
        size_t len;
        uint8_t *bytes = jr_jobs_save(jobs_, &len);

        ASSERT_TRUE(jr_jobs_load(jobs_, bytes, len));
        jr_free(ctx_, bytes);
    }

    jr_phase_t
    Phase(uint64_t job, uint32_t index)
    {
        Jr__JobRun run = Run(job, index, 0);

        return jr_jobs_task(jobs_, &run)->phase;
    }

    jr_ctx_t *ctx_;
    jr_jobs_t *jobs_;
    uint64_t number_ = 0;
    std::vector<std::vector<uint8_t>> applied_;
};

} // namespace

TEST_F(JobTest, AResentSubmissionIsOneJob)
{
    Submit(1, 2);
    Submit(1, 2);
    EXPECT_EQ(HASH_COUNT(jobs_->by_id), 1u);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->queue->pending, 1u);
}

TEST_F(JobTest, OnlyTheCurrentAttemptEndsATask)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    End(1, 0, 1, JR__JOB_END__HOW__STOPPED);
    Grant(1, 0, 2);
    End(1, 0, 1, JR__JOB_END__HOW__DONE);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_GRANTED);
    End(1, 0, 2, JR__JOB_END__HOW__DONE);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

TEST_F(JobTest, AnAttemptIsGrantedOnce)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    End(1, 0, 1, JR__JOB_END__HOW__STOPPED);
    Grant(1, 0, 1);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_WAITING);
}

/* Guards against a later run that counts as settled before it has begun. */
TEST_F(JobTest, OnlyTheCurrentRunOnItsWorkerIsSettled)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    Settle("other", Run(1, 0, 1));
    EXPECT_EQ(SettledIn(1, 0), 0);
    Settle("w", Run(1, 0, 2));
    EXPECT_EQ(SettledIn(1, 0), 0);
    Settle("w", Run(1, 0, 1));
    EXPECT_EQ(SettledIn(1, 0), 1);
    End(1, 0, 1, JR__JOB_END__HOW__STOPPED);
    Grant(1, 0, 2);
    EXPECT_EQ(SettledIn(1, 0), 0);
}

TEST_F(JobTest, AGrantToAnEarlierIncarnationIsVoid)
{
    Announce("w", 5);
    Submit(1, 1);
    Grant(1, 0, 1, 1);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_WAITING);
    Announce("w", 3);
    EXPECT_EQ(jr_jobs_worker(jobs_, "w")->info->born, 5);
}

/*
 * Load: a remaining time that counts down, stays, or flaps in each check-in
 * would make each one an entry of the log.
 */
TEST_F(JobTest, ARemainingColdTimeIsLoggedWhenItAppears)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobWorker worker = JR__JOB_WORKER__INIT;
    uint64_t entries = 0;

    worker.id = const_cast<char *>("w");
    worker.born = 1;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER;
    command.worker = &worker;
    Apply(&command);
    for (int64_t at = 1000; at < 21000; at += 500) {
        worker.cold_remaining_ms =
            at % 1000 == 0 ? 5000 : static_cast<uint32_t>(21000 - at);
        if (!jr_worker_is_unchanged(jobs_, jr_jobs_worker(jobs_, "w"),
                                    &worker)) {
            command.at_ms = at;
            Apply(&command);
            entries++;
        }
        jobs_->now = at;
    }
    EXPECT_EQ(entries, 2u); /* again once it was warm for long */
    worker.cold_remaining_ms = 0;
    EXPECT_TRUE(
        jr_worker_is_unchanged(jobs_, jr_jobs_worker(jobs_, "w"), &worker));
}

/* All replicas, and those that load a snapshot, know when it is warm. */
TEST_F(JobTest, AWorkerIsWarmAtATimeOfTheLog)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobWorker worker = JR__JOB_WORKER__INIT;

    worker.id = const_cast<char *>("w");
    worker.born = 1;
    worker.cold_remaining_ms = 4000;
    worker.cold_until_ms = 77; /* not the sender's to say */
    command.at_ms = 10000;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER;
    command.worker = &worker;
    Apply(&command);
    EXPECT_EQ(jr_jobs_worker(jobs_, "w")->info->cold_until_ms, 14000);
    worker.cold_remaining_ms = 0;
    worker.cpu_milli = 1;
    command.at_ms = 11000;
    Apply(&command);
    EXPECT_EQ(jr_jobs_worker(jobs_, "w")->info->cold_until_ms, 11000);
    worker.born = 2;
    Apply(&command);
    EXPECT_EQ(jr_jobs_worker(jobs_, "w")->info->cold_until_ms, 0);
}

TEST_F(JobTest, FailuresEndAJob)
{
    Submit(1, 2);
    Grant(1, 0, 1);
    End(1, 0, 1, JR__JOB_END__HOW__FAILED);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_RUNNING);
    Grant(1, 0, 2);
    End(1, 0, 2, JR__JOB_END__HOW__FAILED);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_FAILED);
}

TEST_F(JobTest, StoppedRunsAreNoFailures)
{
    Submit(1, 1);
    for (uint32_t attempt = 1; attempt < 9; attempt++) {
        Grant(1, 0, attempt);
        End(1, 0, attempt, JR__JOB_END__HOW__LAPSED);
    }
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

/* A failure of a released run was acknowledged without being counted. */
TEST_F(JobTest, AFailureOfAReleasedRunCounts)
{
    Submit(1, 2);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    Grant(1, 0, 2);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_GRANTED);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
    LateEnd(1, 0, 2, JR__JOB_END__HOW__FAILED, 2);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_FAILED);
    EXPECT_EQ(jr_jobs_worker(jobs_, "w")->info->ends_seen, 2u);
}

/* The next start was one too many when the failure came before its grant. */
TEST_F(JobTest, AFailureOfAReleasedRunEndsAJobWithoutARun)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1);
    Grant(1, 0, 2);
    Release(1, 0, 2);
    LateEnd(1, 0, 2, JR__JOB_END__HOW__FAILED, 2);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_FAILED);
}

/* Two leaders may propose the same list of ends. */
TEST_F(JobTest, AFailureIsCountedOnce)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    Grant(1, 0, 2);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

/* A job must not fail by ends that no worker is told are known. */
TEST_F(JobTest, AFailureBeforeTheLeaseExpiredIsNotCounted)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    Grant(1, 0, 2);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1, 1, false);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 2, 0, true);
    LateEnd(1, 0, 3, JR__JOB_END__HOW__FAILED, 3);
    Announce("w", 2);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 4);
    LateEnd(1, 0, 2, JR__JOB_END__HOW__FAILED, 5);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

/* A task that was done was started again. */
TEST_F(JobTest, ATaskIsDoneWhenAReleasedRunIsDone)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__DONE, 1);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

/*
 * Guards against a task that starts again after it was done: its worker was
 * cut off until the leader took the lease for expired, and listed the end when
 * it was back.
 */
TEST_F(JobTest, ATaskIsDoneThoughItsLeaseMayHaveExpired)
{
    Submit(1, 1);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__DONE, 1, 1, false);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

/*
 * Guards against a job that is given up for crashes that are reported when the
 * task is done already.
 */
TEST_F(JobTest, CrashesUnderADoneTaskAreNotCounted)
{
    Submit(1, 2);
    for (uint32_t attempt = 1; attempt <= 4; attempt++) {
        Grant(1, 0, attempt);
        Release(1, 0, attempt);
    }
    Grant(1, 0, 5);
    End(1, 0, 5, JR__JOB_END__HOW__DONE);
    for (uint32_t attempt = 1; attempt <= 4; attempt++) {
        Release(1, 0, attempt, 1);
    }
    ASSERT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_RUNNING);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_DONE);
}

/* A task was started again although an earlier run was done. */
TEST_F(JobTest, ATaskIsDoneWhenItsLatestRunEndsAfterADoneOne)
{
    for (Jr__JobEnd__How how :
         {JR__JOB_END__HOW__STOPPED, JR__JOB_END__HOW__FAILED,
          JR__JOB_END__HOW__DONE}) {
        uint64_t job = 1 + static_cast<uint64_t>(how);

        Submit(job, 1);
        Grant(job, 0, 1);
        Release(job, 0, 1);
        Grant(job, 0, 2);
        LateEnd(job, 0, 1, JR__JOB_END__HOW__DONE, ++number_);
        EXPECT_EQ(Phase(job, 0), JR_PHASE_GRANTED);
        EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, job)));
        LateEnd(job, 0, 2, how, ++number_);
        EXPECT_EQ(jr_jobs_find(jobs_, job)->state, JR_JOB_DONE);
    }
}

TEST_F(JobTest, ATaskIsDoneWhenItsLatestRunIsReleasedAfterADoneOne)
{
    Submit(1, 2);
    Grant(1, 0, 1);
    Release(1, 0, 1);
    Grant(1, 0, 2);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__DONE, 1);
    Release(1, 0, 2);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_DONE);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

TEST_F(JobTest, AGangIsDoneWhenAReleasedRunIsDone)
{
    Submit(1, 2, true);
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    Release(1, 0, 1);
    Release(1, 1, 1);
    Grant(1, 0, 2);
    LateEnd(1, 1, 1, JR__JOB_END__HOW__DONE, 1);
    EXPECT_EQ(Phase(1, 0), JR_PHASE_GRANTED);
    EXPECT_EQ(Phase(1, 1), JR_PHASE_DONE);
    Release(1, 0, 2);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

/*
 * Guards against a gang that stays running for good: the lease of one member
 * expired, then another member was listed as done. The first one was not done,
 * and a gang is started only as a whole.
 */
TEST_F(JobTest, AGangIsDoneThoughAMemberWasReleasedBefore)
{
    Submit(1, 3, true);
    for (uint32_t i = 0; i < 3; i++) {
        Grant(1, i, 1);
    }
    Release(1, 0, 1);
    End(1, 1, 1, JR__JOB_END__HOW__DONE);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

/* Members of a gang report an attempt each, also of a released one. */
TEST_F(JobTest, AReleasedAttemptOfAGangFailsOnce)
{
    Submit(1, 2, true);
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    Release(1, 0, 1);
    Release(1, 1, 1);
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 1);
    LateEnd(1, 1, 1, JR__JOB_END__HOW__FAILED, 2);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

/*
 * Guards against a gang that never works again after a crash: its members were
 * started with the checkpoints of their own runs, which differ.
 */
TEST_F(JobTest, TheMembersOfAGangHaveOneCheckpoint)
{
    const jr_job_task_t *tasks;

    Submit(1, 3, true);
    for (uint32_t i = 0; i < 3; i++) {
        Grant(1, i, 1);
    }
    End(1, 0, 1, JR__JOB_END__HOW__BROKEN, "c2");
    End(1, 1, 1, JR__JOB_END__HOW__BROKEN, "c2");
    Release(1, 2, 1, 1000, "c1"); /* the last that a list had shown */
    tasks = jr_jobs_find(jobs_, 1)->tasks;
    ASSERT_NE(tasks[0].checkpoint, nullptr);
    for (uint32_t i = 1; i < 3; i++) {
        EXPECT_STREQ(tasks[i].checkpoint, tasks[0].checkpoint);
    }
}

TEST_F(JobTest, AGangFailsOnceARun)
{
    Submit(1, 3, true);
    for (uint32_t i = 0; i < 3; i++) {
        Grant(1, i, 1);
    }
    End(1, 0, 1, JR__JOB_END__HOW__FAILED);
    End(1, 1, 1, JR__JOB_END__HOW__FAILED);
    End(1, 2, 1, JR__JOB_END__HOW__BROKEN);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

TEST_F(JobTest, AGangIsDoneWhenOneMemberIsDone)
{
    Submit(1, 3, true);
    for (uint32_t i = 0; i < 3; i++) {
        Grant(1, i, 1);
    }
    End(1, 1, 1, JR__JOB_END__HOW__DONE);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_DONE);
}

/*
 * Guards against a job that is shown as begun when the leader has decided for
 * a worker: the worker may be lost, and nothing of the job has begun.
 */
TEST_F(JobTest, PendingCountsJobsOfWhichNothingHasBegun)
{
    jr_job_queue_t *queue;

    Submit(1, 2);
    Submit(2, 2);
    queue = jr_jobs_find(jobs_, 1)->queue;
    EXPECT_EQ(queue->pending, 2u);
    Grant(1, 0, 1);
    EXPECT_EQ(queue->pending, 2u);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_QUEUED);
    Release(1, 0, 1);
    EXPECT_EQ(queue->pending, 2u);
    Grant(1, 0, 2);
    Reload(); /* so it is in the snapshots of earlier versions, too */
    queue = jr_jobs_find(jobs_, 1)->queue;
    EXPECT_EQ(queue->pending, 2u);
    Begun({1, 7});
    EXPECT_EQ(queue->pending, 1u);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_RUNNING);
    Begun({1});
    Reload();
    queue = jr_jobs_find(jobs_, 1)->queue;
    EXPECT_EQ(queue->pending, 1u);
    Release(1, 0, 2);
    EXPECT_EQ(queue->pending, 1u);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_RUNNING);
}

/* Guards against a count that stays too high: an end says it, too. */
TEST_F(JobTest, AnEndTellsThatAJobHasBegun)
{
    uint64_t id = 0;

    for (Jr__JobEnd__How how :
         {JR__JOB_END__HOW__DONE, JR__JOB_END__HOW__FAILED,
          JR__JOB_END__HOW__STOPPED, JR__JOB_END__HOW__LAPSED}) {
        jr_job_queue_t *queue;

        Submit(++id, 2);
        queue = jr_jobs_find(jobs_, id)->queue;
        EXPECT_EQ(queue->pending, 1u);
        Grant(id, 0, 1);
        End(id, 0, 1, how);
        EXPECT_EQ(queue->pending, 0u) << how;
        EXPECT_EQ(jr_jobs_find(jobs_, id)->state, JR_JOB_RUNNING) << how;
    }
}

/* Guards against a gang shown as begun while its members wait for another. */
TEST_F(JobTest, AGangHasBegunWhenAllOfItsMembersAreThere)
{
    jr_job_queue_t *queue;

    Submit(1, 2, true);
    queue = jr_jobs_find(jobs_, 1)->queue;
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    End(1, 0, 1, JR__JOB_END__HOW__ALONE);
    End(1, 1, 1, JR__JOB_END__HOW__BROKEN);
    EXPECT_EQ(queue->pending, 1u);
    Grant(1, 0, 2);
    Grant(1, 1, 2);
    End(1, 1, 2, JR__JOB_END__HOW__FAILED);
    EXPECT_EQ(queue->pending, 0u);
}

/* Guards against a count that goes wrong as jobs end before they begin. */
TEST_F(JobTest, AJobThatEndsBeforeItBeginsIsNotPending)
{
    jr_job_queue_t *queue;

    Submit(1, 1);
    Submit(2, 1);
    queue = jr_jobs_find(jobs_, 1)->queue;
    Grant(1, 0, 1);
    Cancel(1);
    EXPECT_EQ(queue->pending, 1u);
    Begun({1, 2});
    EXPECT_EQ(queue->pending, 0u);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_CANCELLED);
    End(1, 0, 1, JR__JOB_END__HOW__STOPPED);
    EXPECT_EQ(queue->pending, 0u);
}

TEST_F(JobTest, TheHighestConfigurationHolds)
{
    const char *rest;

    Configure(9, "/new/");
    Configure(4, "/old/");
    EXPECT_EQ(jobs_->config->version, 9u);
    EXPECT_NE(jr_jobs_route(jobs_, "H", "/new/x", &rest), nullptr);
    EXPECT_STREQ(rest, "x");
    EXPECT_EQ(jr_jobs_route(jobs_, "h", "/q/x", &rest), nullptr);
    /* A configuration of the same version is ignored, whatever it says. */
    Configure(9, "/other/");
    EXPECT_NE(jr_jobs_route(jobs_, "h", "/new/x", &rest), nullptr);
}

/*
 * Guards against an accepted job that never runs: its client writes the host
 * in another case than the configuration, which finds the queue all the same.
 */
TEST_F(JobTest, AJobFindsItsQueueWhateverTheCaseOfTheHost)
{
    const char *rest;
    jr_job_queue_t *queue;

    Configure(2, "/q/", "H");
    queue = jr_jobs_route(jobs_, "h", "/q/1", &rest);
    ASSERT_NE(queue, nullptr);
    Submit(1, 1); /* for the host "h" */
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->queue, queue);
    EXPECT_NE(queue->config, nullptr);
    Configure(3, "/q/"); /* spelled as before */
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->queue->config, jobs_->config->queues[0]);
}

TEST_F(JobTest, ASnapshotHoldsEverything)
{
    jr_jobs_t *copy = jr_new_jobs(ctx_);
    uint8_t *bytes, *again;
    size_t len, len_again;

    Submit(1, 3);
    Submit(2, 2);
    Submit(3, 1);
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    End(1, 1, 1, JR__JOB_END__HOW__FAILED);
    Grant(2, 0, 1);
    End(2, 0, 1, JR__JOB_END__HOW__DONE);
    Grant(3, 0, 1);
    End(3, 0, 1, JR__JOB_END__HOW__DONE);
    bytes = jr_jobs_save(jobs_, &len);
    ASSERT_TRUE(jr_jobs_load(copy, bytes, len));
    again = jr_jobs_save(copy, &len_again);
    EXPECT_EQ(std::string((char *)bytes, len),
              std::string((char *)again, len_again));
    EXPECT_EQ(jr_jobs_find(copy, 3)->state, JR_JOB_DONE);
    EXPECT_EQ(jr_jobs_find(copy, 1)->n_granted, 1u);
    EXPECT_EQ(jr_jobs_find(copy, 1)->tasks[1].failures, 1u);
    EXPECT_FALSE(jr_jobs_load(copy, bytes, len / 2));
    jr_free(ctx_, again);
    jr_free(ctx_, bytes);
    jr_drop_jobs(copy);
}

/* A replica that loaded a snapshot counted a failed attempt twice. */
TEST_F(JobTest, ASnapshotHoldsTheFailedAttemptOfAGang)
{
    Submit(1, 2, true);
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    End(1, 0, 1, JR__JOB_END__HOW__FAILED);
    Reload();
    End(1, 1, 1, JR__JOB_END__HOW__FAILED);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
}

/*
 * Jobs of a removed queue had the default number of failures on a replica that
 * loaded a snapshot, and were not scheduled by it.
 */
TEST_F(JobTest, ASnapshotHoldsQueuesThatWereRemoved)
{
    Submit(1, 1);
    Configure(2, "/other/");
    Reload();
    ASSERT_NE(jr_jobs_find(jobs_, 1)->queue->last_config, nullptr);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->queue->config, nullptr);
    for (uint32_t attempt = 1; attempt <= 2; attempt++) {
        Grant(1, 0, attempt);
        End(1, 0, attempt, JR__JOB_END__HOW__FAILED);
    }
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_FAILED);
}

/*
 * Guards against a start after the allowed number of failures of a gang, when
 * the failure of its earlier attempt is listed after that of the later one.
 */
TEST_F(JobTest, FailuresOfAGangCountInAnyOrder)
{
    Submit(1, 2, true);
    Grant(1, 0, 1);
    Grant(1, 1, 1);
    Release(1, 0, 1);
    Release(1, 1, 1);
    Grant(1, 0, 2);
    Grant(1, 1, 2);
    LateEnd(1, 0, 2, JR__JOB_END__HOW__FAILED, 1);
    EXPECT_TRUE(jr_job_is_live(jr_jobs_find(jobs_, 1)));
    LateEnd(1, 0, 1, JR__JOB_END__HOW__FAILED, 2);
    EXPECT_EQ(jr_jobs_find(jobs_, 1)->state, JR_JOB_FAILED);
}

TEST_F(JobTest, IdsAreSixteenHexadecimalDigits)
{
    uint64_t id;

    EXPECT_TRUE(jr_job_id_parse("5c0e7a21d94b36f8", &id));
    EXPECT_EQ(id, 0x5c0e7a21d94b36f8u);
    EXPECT_FALSE(jr_job_id_parse("5c0e7a21d94b36f", &id));
    EXPECT_FALSE(jr_job_id_parse("5c0e7a21d94b36f8a", &id));
    EXPECT_FALSE(jr_job_id_parse("5c0e7a21d94b36fg", &id));
    EXPECT_FALSE(jr_job_id_parse("", &id));
}

/*
 * Arbitrary bytes must not crash jr_jobs_apply() or jr_jobs_load(), and a
 * snapshot that was loaded must be possible to save.
 */
TEST_F(JobTest, MutatedCommandsAndSnapshotsAreHandled)
{
    const char *rounds = getenv("JR_FUZZ_ROUNDS");
    int n = rounds != nullptr ? atoi(rounds) : 20000;
    std::mt19937 rng(1);
    jr_jobs_t *copy = jr_new_jobs(ctx_);
    uint8_t *bytes;
    size_t len;

    Submit(1, 3);
    Grant(1, 0, 1);
    End(1, 0, 1, JR__JOB_END__HOW__DONE);
    Grant(1, 1, 1);
    bytes = jr_jobs_save(jobs_, &len);
    std::vector<uint8_t> snapshot(bytes, bytes + len);
    std::vector<std::vector<uint8_t>> commands = applied_;
    jr_free(ctx_, bytes);
    for (int i = 0; i < n; i++) {
        bool is_snapshot = i % 4 == 0;
        std::vector<uint8_t> mutant =
            is_snapshot ? snapshot : commands[rng() % commands.size()];

        for (unsigned k = 0; k < 1 + rng() % 3 && !mutant.empty(); k++) {
            mutant[rng() % mutant.size()] = static_cast<uint8_t>(rng());
        }
        if (rng() % 8 == 0) {
            mutant.resize(rng() % (mutant.size() + 1));
        }
        if (!is_snapshot) {
            jr_jobs_apply(copy, mutant.data(), mutant.size());
        }
        else if (jr_jobs_load(copy, mutant.data(), mutant.size())) {
            jr_free(ctx_, jr_jobs_save(copy, &len));
        }
    }
    jr_drop_jobs(copy);
}
