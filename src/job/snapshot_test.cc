/*
 * A state that is saved and loaded at random points must not differ from one
 * that never is: replicas take snapshots at different times. JR_SEED=n replays
 * one sequence, JR_SEQUENCES=n sets the number of sequences.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/job.h"
}

namespace {

enum {
    DEFAULT_SEQUENCES = 100,
    COMMANDS = 250,
    JOBS = 8,
    WORKERS = 3,
    QUEUES = 3,
    EXPIRE_PERCENT = 2, /* of the commands, after the retention of jobs */
    LOAD_PERCENT = 10,
};

uint32_t
FromEnvironment(const char *name, uint32_t default_value)
{
    const char *text = std::getenv(name);

    return text != nullptr ? static_cast<uint32_t>(std::atoi(text))
                           : default_value;
}

const char *
OrNone(const char *text)
{
    return text != nullptr ? text : "-";
}

/* Bytes as text on one line. */
std::string
Text(const std::string &bytes)
{
    std::string text;

    for (unsigned char c : bytes) {
        text += isprint(c) ? std::string(1, static_cast<char>(c))
                           : "\\" + std::to_string(c);
    }
    return text;
}

template <typename T>
std::string
Packed(const T *message, size_t (*size)(const T *),
       size_t (*pack)(const T *, uint8_t *))
{
    std::string bytes;

    if (message == nullptr) {
        return "-";
    }
    bytes.resize(size(message));
    pack(message, reinterpret_cast<uint8_t *>(bytes.data()));
    return Text(bytes);
}

std::string
Packed(const Jr__JobQueue *queue)
{
    return Packed(queue, jr__job_queue__get_packed_size, jr__job_queue__pack);
}

std::string
LapseText(const jr_job_task_t &task)
{
    const jr_lapse_t *lapse = task.lapse;

    return lapse == nullptr
               ? "-"
               : std::string(lapse->worker) + "/" +
                     std::to_string(lapse->incarnation) + " attempt " +
                     std::to_string(lapse->attempt) + " after " +
                     std::to_string(lapse->after_ms);
}

void
PrintTask(const jr_job_task_t &task, std::ostream &to)
{
    to << "  task " << task.occurrence << "." << task.step << "." << task.index
       << " phase " << task.phase << " attempt " << task.attempt
       << " failures " << task.failures << " checkpoint "
       << OrNone(task.checkpoint) << " failed_on " << OrNone(task.failed_on)
       << " waiting_since " << task.waiting_since << " worker "
       << (task.worker != nullptr ? task.worker->info->id : "-")
       << " incarnation " << task.incarnation << " settled_in "
       << task.settled_in << " crashes " << task.crash_score << " to "
       << task.crash_attempt << " lapse " << LapseText(task) << " done "
       << task.is_done << "\n";
}

void
PrintJob(const jr_job_t &job, std::ostream &to)
{
    to << "job " << job.id << " state " << job.state << " began " << job.began
       << " accepted " << job.accepted_ms << " ended " << job.ended_ms
       << " idle_since " << job.idle_since << " granted " << job.n_granted
       << " queue " << Text(job.queue->key) << "\n";
    if (job.tasks == nullptr) {
        return;
    }
    const jr_failed_attempt_t *failed;

    to << "  done " << job.n_done << "\n";
    for (uint32_t i = 0; i < job.occurrences * job.spec->n_steps; i++) {
        const jr_step_progress_t &step = job.steps[i];

        to << "  step " << step.first << " waiting " << step.waiting
           << " granted " << step.granted << " done " << step.done
           << " failed_attempts";
        SLIST_FOREACH(failed, &step.failed_attempts, link)
        {
            to << " " << failed->attempt;
        }
        to << "\n";
    }
    for (uint32_t i = 0; i < job.n_tasks; i++) {
        PrintTask(job.tasks[i], to);
    }
}

/* The order of the tasks of a worker decides nothing that is applied. */
void
PrintWorker(const jr_job_worker_t &worker, std::ostream &to)
{
    std::set<std::string> granted;
    const jr_job_task_t *task;

    TAILQ_FOREACH (task, &worker.granted, worker_link) {
        std::ostringstream text;

        text << task->job->id << "." << task->step << "." << task->index;
        granted.insert(text.str());
    }
    to << "worker "
       << Packed(worker.info, jr__job_worker__get_packed_size,
                 jr__job_worker__pack);
    for (const std::string &name : granted) {
        to << " " << name;
    }
    to << "\n";
}

/* All replicated fields, one line each. */
std::string
Print(const jr_jobs_t *jobs)
{
    std::ostringstream to;
    std::set<std::string> queues;
    const jr_job_t *job;

    to << "now " << jobs->now << " config "
       << (jobs->config != nullptr ? jobs->config->version : 0) << "\n";
    for (const jr_job_queue_t *q = jobs->queues; q != nullptr;
         q = static_cast<const jr_job_queue_t *>(q->hh.next)) {
        if (q->last_config == nullptr && q->pending == 0) {
            continue; /* of an unknown queue; its jobs are gone */
        }
        queues.insert("queue " + Text(q->key) + " " + Packed(q->config) +
                      " last " + Packed(q->last_config) + " pending " +
                      std::to_string(q->pending));
    }
    for (const std::string &text : queues) {
        to << text << "\n";
    }
    for (const jr_job_worker_t *w = jobs->workers; w != nullptr;
         w = static_cast<const jr_job_worker_t *>(w->hh.next)) {
        PrintWorker(*w, to);
    }
    TAILQ_FOREACH (job, &jobs->live, link) {
        PrintJob(*job, to);
    }
    to << "ended\n";
    TAILQ_FOREACH (job, &jobs->ended, link) {
        PrintJob(*job, to);
    }
    return to.str();
}

/* The first line that differs, of each. */
std::string
Difference(const std::string &a, const std::string &b)
{
    std::istringstream in_a(a), in_b(b);
    std::string x, y;

    while (std::getline(in_a, x) && std::getline(in_b, y)) {
        if (x != y) {
            return "  never loaded: " + x + "\n  loaded:       " + y;
        }
    }
    return "  of different length";
}

class Sequence {
  public:
    explicit Sequence(uint32_t seed) : rng_(seed)
    {
        ctx_ = jr_new_ctx("test", nullptr);
        kept_ = jr_new_jobs(ctx_);
        loaded_ = jr_new_jobs(ctx_);
    }

    ~Sequence()
    {
        jr_drop_jobs(kept_);
        jr_drop_jobs(loaded_);
        jr_drop_ctx(ctx_);
    }

    /* Returns the first difference, or nothing. */
    std::string
    Run()
    {
        for (int i = 0; i < COMMANDS; i++) {
            Command();
            if (result_kept_ != result_loaded_) {
                return "command " + std::to_string(i) + ": results differ";
            }
            if (Chance(LOAD_PERCENT)) {
                Reload();
            }
            if (Print(kept_) != Print(loaded_)) {
                return "command " + std::to_string(i) + ":\n" +
                       Difference(Print(kept_), Print(loaded_));
            }
        }
        return "";
    }

  private:
    uint32_t
    Below(uint32_t n)
    {
        return static_cast<uint32_t>(rng_() % n);
    }

    bool
    Chance(uint32_t percent)
    {
        return Below(100) < percent;
    }

    void
    Reload()
    {
        size_t len;
        uint8_t *bytes = jr_jobs_save(loaded_, &len);

        EXPECT_TRUE(jr_jobs_load(loaded_, bytes, len));
        jr_free(ctx_, bytes);
    }

    void
    Apply(Jr__JobCommand *command, Jr__JobCommand__BodyCase body_case)
    {
        std::vector<uint8_t> bytes;

        command->body_case = body_case;
        command->at_ms = now_;
        bytes.resize(jr__job_command__get_packed_size(command));
        jr__job_command__pack(command, bytes.data());
        result_kept_ = jr_jobs_apply(kept_, bytes.data(), bytes.size());
        result_loaded_ = jr_jobs_apply(loaded_, bytes.data(), bytes.size());
    }

    std::string
    WorkerId()
    {
        return "w" + std::to_string(Below(WORKERS));
    }

    void
    Configure()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        std::vector<Jr__JobQueue> queues(QUEUES, JR__JOB_QUEUE__INIT);
        std::vector<std::string> prefixes(QUEUES);
        std::vector<Jr__JobQueue *> rows;

        for (uint32_t i = 0; i < QUEUES; i++) {
            prefixes[i] = "/" + std::to_string(i) + "/";
            queues[i].host = const_cast<char *>("h");
            queues[i].prefix = prefixes[i].data();
            queues[i].service = const_cast<char *>("s");
            queues[i].max_failures = Below(5);
            if (Chance(60)) {
                rows.push_back(&queues[i]);
            }
        }
        config.version = ++version_;
        config.n_queues = rows.size();
        config.queues = rows.data();
        command.config = &config;
        Apply(&command, JR__JOB_COMMAND__BODY_CONFIG);
    }

    void
    Announce()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobWorker worker = JR__JOB_WORKER__INIT;
        std::string id = WorkerId();

        worker.id = id.data();
        worker.born = 1 + static_cast<int64_t>(Below(4));
        worker.draining = Chance(20);
        command.worker = &worker;
        Apply(&command, JR__JOB_COMMAND__BODY_WORKER);
    }

    void
    Remove()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobWorkerGone gone = JR__JOB_WORKER_GONE__INIT;
        std::string id = WorkerId();

        gone.id = id.data();
        gone.born = 1 + static_cast<int64_t>(Below(4));
        command.worker_gone = &gone;
        Apply(&command, JR__JOB_COMMAND__BODY_WORKER_GONE);
    }

    void
    Submit()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobStep first = JR__JOB_STEP__INIT;
        Jr__JobStep second = JR__JOB_STEP__INIT;
        Jr__JobStep *steps[] = {&first, &second};
        uint32_t after[] = {0};
        std::string prefix = "/" + std::to_string(Below(QUEUES)) + "/";

        first.count = 1 + Below(3);
        first.gang = Chance(40);
        second.count = 1 + Below(2);
        second.service = !first.gang && Chance(20);
        second.n_after = 1;
        second.after = after;
        spec.id = 1 + Below(JOBS);
        spec.host = const_cast<char *>("h");
        spec.prefix = prefix.data();
        spec.n_steps = 2;
        spec.steps = steps;
        spec.repeats = Chance(20) ? 2 : 0;
        spec.interval_ms = 1000;
        submit.spec = &spec;
        command.submit = &submit;
        Apply(&command, JR__JOB_COMMAND__BODY_SUBMIT);
    }

    void
    Cancel()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobCancel cancel = JR__JOB_CANCEL__INIT;

        cancel.job = 1 + Below(JOBS);
        command.cancel = &cancel;
        Apply(&command, JR__JOB_COMMAND__BODY_CANCEL);
    }

    /* A run of a random task: its current attempt, or one beside it. */
    Jr__JobRun
    RandomRun()
    {
        Jr__JobRun run = JR__JOB_RUN__INIT;
        const jr_job_task_t *task;

        run.job = 1 + Below(JOBS);
        run.occurrence = Below(2);
        run.step = Below(2);
        run.index = Below(3);
        task = jr_jobs_task(kept_, &run);
        run.attempt = task != nullptr ? task->attempt : 1;
        if (run.attempt > 0 && Chance(25)) {
            run.attempt--;
        }
        return run;
    }

    /* The worker that the run is granted to, or another. */
    std::string
    WorkerOf(const Jr__JobRun &run)
    {
        const jr_job_task_t *task = jr_jobs_task(kept_, &run);

        return task != nullptr && task->worker != nullptr && Chance(80)
                   ? task->worker->info->id
                   : WorkerId();
    }

    int64_t
    Born(const std::string &id)
    {
        const jr_job_worker_t *worker = jr_jobs_worker(kept_, id.c_str());

        return worker != nullptr && Chance(90) ? worker->info->born : 1;
    }

    void
    Grant()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobGrants grants = JR__JOB_GRANTS__INIT;
        Jr__JobGrant grant = JR__JOB_GRANT__INIT;
        Jr__JobGrant *rows[] = {&grant};
        Jr__JobRun run = RandomRun();
        std::string id = WorkerId();

        run.attempt++;
        grant.run = &run;
        grant.worker = id.data();
        grant.born = Born(id);
        grants.n_grants = 1;
        grants.grants = rows;
        command.grants = &grants;
        Apply(&command, JR__JOB_COMMAND__BODY_GRANTS);
    }

    void
    End()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobEnds ends = JR__JOB_ENDS__INIT;
        Jr__JobEnd end = JR__JOB_END__INIT;
        Jr__JobEnd *rows[] = {&end};
        Jr__JobRun run = RandomRun();
        std::string id = WorkerOf(run);

        end.run = &run;
        end.how = static_cast<Jr__JobEnd__How>(Below(3));
        end.number = ++number_;
        end.checkpoint = const_cast<char *>(Chance(30) ? "saved" : "");
        ends.worker = id.data();
        ends.born = Born(id);
        ends.up_to = number_;
        ends.lease_held = Chance(70);
        ends.n_ends = 1;
        ends.ends = rows;
        command.ends = &ends;
        Apply(&command, JR__JOB_COMMAND__BODY_ENDS);
    }

    void
    Release()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobReleases releases = JR__JOB_RELEASES__INIT;
        Jr__JobRelease release = JR__JOB_RELEASE__INIT;
        Jr__JobRelease *rows[] = {&release};
        Jr__JobRun run = RandomRun();

        release.run = &run;
        release.began = Chance(50);
        release.crashed_after_ms = Chance(20) ? Below(40000) : 0;
        release.lapsed_after_ms = Chance(30) ? Below(40000) : 0;
        release.not_crashed = Chance(10);
        release.waited_ms = Chance(50) ? Below(20000) : 0;
        releases.n_releases = 1;
        releases.releases = rows;
        command.releases = &releases;
        Apply(&command, JR__JOB_COMMAND__BODY_RELEASES);
    }

    void
    Settle()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobSettled settled = JR__JOB_SETTLED__INIT;
        Jr__JobRun run = RandomRun();
        Jr__JobRun *rows[] = {&run};
        std::string id = WorkerOf(run);

        settled.worker = id.data();
        settled.born = Born(id);
        settled.n_runs = 1;
        settled.runs = rows;
        command.settled = &settled;
        Apply(&command, JR__JOB_COMMAND__BODY_SETTLED);
    }

    /* Some have seen an older state of the zone. */
    void
    RequestZone()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobZoneRequest zone = JR__JOB_ZONE_REQUEST__INIT;
        std::string name = Chance(50) ? "a" : "b";
        uint64_t accepted = jr_zones_accepted(kept_->zones, name.c_str());

        zone.zone = name.data();
        zone.drains = Chance(50);
        zone.seen = accepted > 0 && Chance(30) ? accepted - 1 : accepted;
        command.zone = &zone;
        Apply(&command, JR__JOB_COMMAND__BODY_ZONE);
    }

    void
    Command()
    {
        now_ +=
            Chance(EXPIRE_PERCENT) ? int64_t{JR_JOB_RETENTION_MS} : Below(500);
        switch (Below(21)) {
        case 0:
            Configure();
            break;
        case 1:
        case 2:
            Announce();
            break;
        case 3:
            Remove();
            break;
        case 4:
        case 5:
            Submit();
            break;
        case 6:
            if (Chance(30)) {
                Cancel();
            }
            break;
        case 7:
            Release();
            break;
        case 8:
        case 9:
        case 10:
        case 11:
            End();
            break;
        case 12:
            RequestZone();
            break;
        case 13:
            Settle();
            break;
        default:
            Grant();
            break;
        }
    }

    std::mt19937 rng_;
    jr_ctx_t *ctx_;
    jr_jobs_t *kept_;
    jr_jobs_t *loaded_;
    jr_result_t result_kept_ = JR_OK;
    jr_result_t result_loaded_ = JR_OK;
    int64_t now_ = 1000000;
    uint64_t version_ = 0;
    uint64_t number_ = 0;
};

} // namespace

/* Replicas differed once one of them had loaded a snapshot. */
TEST(SnapshotTest, ALoadedStateDoesNotDifferFromOneThatWasKept)
{
    uint32_t only = FromEnvironment("JR_SEED", 0);
    uint32_t last = FromEnvironment("JR_SEQUENCES", DEFAULT_SEQUENCES);

    for (uint32_t seed = only != 0 ? only : 1;
         seed <= (only != 0 ? only : last); seed++) {
        std::string found = Sequence(seed).Run();

        EXPECT_EQ(found, "") << "seed " << seed;
    }
}
