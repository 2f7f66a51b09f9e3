/* Checks of safety invariants in the simulation of workers. */
#include "fleet_test.h"

#include <algorithm>

enum {
    SHRINK_KNOWN_AFTER_MS = 4000, /* a check-in, and time out of contact */
    CRASHES_MAX = 3, /* then a task is started at most so many times more: */
    STARTS_AFTER_CRASHES_MAX = 2,
    /* A carrier may send an order for 2 s, by a clock that drifts by 1 %. */
    CARRIED_AGE_MAX_MS = 2030,
    /*
     * Until the dispatcher knows that a task runs, or no longer runs: renewals
     * that get no answer, and pauses of the leader.
     */
    TASK_KNOWN_AFTER_MS = 4000,
};

TaskName
NameOf(const Jr__JobRun &run)
{
    return {run.job, run.occurrence, run.step, run.index};
}

std::string
TextOf(const TaskName &task)
{
    return "task " + std::to_string(task.job) + "." +
           std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

void
Fleet::AddViolation(const std::string &what)
{
    violations.push_back(std::to_string(now) + ": " + what);
}

/*
 * Records the tasks that are done, and failed attempts, so that a later start
 * of a task that may not start again is reported. An end does not count when
 * the worker's lease had lapsed before the end was in the log: the task may
 * then have been started elsewhere.
 */
void
Fleet::RecordEnds(const Jr__JobEnds *ends)
{
    const FleetWorker *worker = FindWorker(ends->worker);

    for (size_t i = 0; i < ends->n_ends; i++) {
        TaskName name = NameOf(*ends->ends[i]->run);
        jr_job_task_t *task = jr_jobs_task(jobs, ends->ends[i]->run);

        if (task == nullptr || jr_task_step(task)->service) {
            continue;
        }
        for (const FleetEnd &end : worker->ended) {
            if (end.task < name || name < end.task ||
                end.attempt != ends->ends[i]->run->attempt || end.is_void ||
                (end.is_stale && has_churn && !checks_stale_starts)) {
                continue;
            }
            if (end.how == JR__JOB_END__HOW__DONE) {
                done_.insert(name);
            }
            else if (end.how == JR__JOB_END__HOW__FAILED) {
                failed_[name].insert(end.attempt);
            }
        }
    }
}

void
Fleet::CheckStart(const SentOrder &sent, const FleetWorker &worker)
{
    TaskName task = NameOf(sent.run);

    /* An order to an earlier incarnation can't be revoked any more. */
    if (sent.sent_at < worker.incarnation && !checks_stale_starts) {
        return;
    }
    for (const FleetWorker &other : workers) {
        auto run = other.running.find(task);

        if (run != other.running.end()) {
            AddViolation("task is started on " + worker.id +
                         " while it runs on " + other.id +
                         (run->second.is_stale
                              ? ", where a start for an earlier life began it"
                              : ""));
        }
    }
    if (done_.count(task) > 0) {
        AddViolation("task is started after its end is in the log");
    }
    if (failed_[task].size() >= allowed_failures_) {
        AddViolation("task is started after its last allowed failure");
    }
    histories_[task].starts.push_back(now);
    CheckHistory(task);
}

/*
 * Acknowledged ends: no start after one that is done, nor after as many that
 * failed as are allowed.
 */
void
Fleet::CheckHistory(const TaskName &task)
{
    const jr_job_t *job = jr_jobs_find(jobs, task.job);
    const FleetHistory &history = histories_[task];

    if (job == nullptr || job->spec->steps[task.step]->service) {
        return;
    }
    for (int64_t start : history.starts) {
        size_t n_failed = 0;

        for (int64_t end : history.done) {
            if (end < start) {
                AddViolation(TextOf(task) +
                             " is started after an acknowledged end");
            }
        }
        for (int64_t end : history.failed) {
            n_failed += end < start;
        }
        if (n_failed >= allowed_failures_) {
            AddViolation(TextOf(task) + " is started after " +
                         std::to_string(n_failed) + " acknowledged failures");
        }
    }
}

static int64_t
UsedBy(const FleetWorker &worker)
{
    int64_t used = 0;

    for (const auto &[name, run] : worker.running) {
        used += run.cpu;
    }
    return used;
}

/*
 * What the leader may take for the capacity of the worker at that time: one
 * that has shrunk counts once the leader must have heard of it.
 */
static int64_t
CapacityAt(const FleetWorker &worker, int64_t at)
{
    int64_t largest = worker.cpu;

    for (const FleetCapacity &past : worker.past_capacities) {
        if (at < past.until + SHRINK_KNOWN_AFTER_MS) {
            largest = std::max(largest, past.cpu);
        }
    }
    return largest;
}

/*
 * What runs on a worker that shrinks stays, so it may be over its capacity:
 * there each start is checked.
 */
void
Fleet::CheckCapacity()
{
    for (const FleetWorker &worker : workers) {
        int64_t used = UsedBy(worker);

        if (worker.past_capacities.empty() && used > worker.cpu) {
            AddViolation(worker.id + " runs tasks of " + std::to_string(used) +
                         " cpu_milli, capacity " + std::to_string(worker.cpu));
        }
    }
}

/* A run that the order has begun before is there already. */
void
Fleet::CheckCapacityAtSend(const jr_order_t &order)
{
    TaskName task = NameOf(order.run);
    const FleetWorker *worker = FindWorker(order.worker);
    const jr_job_t *job = jr_jobs_find(jobs, task.job);
    int64_t known = jr_jobs_worker(jobs, order.worker)->info->cpu_milli;
    int64_t used = UsedBy(*worker) + job->spec->steps[task.step]->cpu_milli;

    if (worker->running.count(task) == 0 && used > known) {
        AddViolation("start of " + TextOf(task) + " is sent to " + worker->id +
                     ", which then has " + std::to_string(used) +
                     " cpu_milli, known capacity " + std::to_string(known));
    }
}

/* An order that is carried out late was sent by what was known before. */
void
Fleet::CheckCapacityAtStart(const SentOrder &sent, const FleetWorker &worker,
                            int64_t used)
{
    int64_t capacity = CapacityAt(worker, sent.sent_at);

    if (used > capacity) {
        AddViolation(TextOf(NameOf(sent.run)) + " brings " + worker.id +
                     " to " + std::to_string(used) + " cpu_milli, capacity " +
                     std::to_string(capacity));
    }
}

/* Two runs of a task at the same time, on workers that are up. */
void
Fleet::CheckDoubles()
{
    std::map<TaskName, const FleetWorker *> seen;

    for (const FleetWorker &worker : workers) {
        for (const auto &[name, run] : worker.running) {
            auto [found, is_first] = seen.emplace(name, &worker);

            if (is_first || doubled_.count(name) > 0) {
                continue;
            }
            const FleetRun &other = found->second->running.at(name);

            if (checks_stale_starts || (!run.is_stale && !other.is_stale)) {
                AddViolation(TextOf(name) + " runs on " + worker.id +
                             " and on " + found->second->id);
                doubled_.insert(name);
            }
        }
    }
}

/*
 * EVAC: once the drain is in its log, a leader sends no start there; a carrier
 * none that is older than the limit of age.
 */
void
Fleet::CheckDrain(const jr_order_t &order, int sender)
{
    const FleetWorker *worker = FindWorker(order.worker);
    auto drain = drained_.find(worker->zone);
    int64_t allowed_ms = sender == FLEET_LEADER ? 0 : CARRIED_AGE_MAX_MS;

    if (drain != drained_.end() && now >= drain->second + allowed_ms) {
        AddViolation("EVAC: start of " + TextOf(NameOf(order.run)) +
                     " is sent to " + worker->id + ", its zone " +
                     worker->zone + " is drained for " +
                     std::to_string(now - drain->second) + " ms");
    }
}

bool
Fleet::IsStopped(const FleetWorker &worker, const TaskName &task,
                 const FleetRun &run) const
{
    auto stop = stopped_.find(task);

    return run.stops_at != 0 ||
           (stop != stopped_.end() && run.attempt <= stop->second.attempt &&
            worker.fence <= stop->second.fence);
}

/* Which tasks of the checked service run nowhere, or are being stopped. */
void
Fleet::NoteAway()
{
    const jr_job_t *job = jr_jobs_find(jobs, checked_service);
    std::set<TaskName> running;

    if (job == nullptr || !jr_job_is_live(job)) {
        away_.clear();
        return;
    }
    for (const FleetWorker &worker : workers) {
        for (const auto &[name, run] : worker.running) {
            if (name.job == checked_service && name.step == 0 &&
                !IsStopped(worker, name, run)) {
                running.insert(name);
                began_[name] = run.attempt;
            }
        }
    }
    for (uint32_t i = 0; i < job->spec->steps[0]->count; i++) {
        TaskName name = {checked_service, 0, 0, i};

        if (running.count(name) > 0) {
            away_.erase(name);
        }
        else {
            away_.emplace(name, now);
        }
    }
}

/*
 * Only stops of a task that the dispatcher must know to run. Others that were
 * stopped count as away at once.
 */
void
Fleet::CheckAvailability(const jr_order_t &order)
{
    TaskName task = NameOf(order.run);
    const FleetWorker *worker = FindWorker(order.worker);
    auto run = worker->running.find(task);
    size_t n_away = 0;

    NoteAway(); /* some may have started in this step */
    if (run == worker->running.end() ||
        run->second.attempt != order.run.attempt || away_.count(task) > 0 ||
        !jr_job_is_live(jr_jobs_find(jobs, task.job))) {
        return;
    }
    for (const auto &[name, since] : away_) {
        auto stop = stopped_.find(name);

        n_away +=
            now - since >= TASK_KNOWN_AFTER_MS ||
            (stop != stopped_.end() && stop->second.attempt >= began_[name]);
    }
    if (now - run->second.started_at >= TASK_KNOWN_AFTER_MS &&
        n_away >= checked_may_miss) {
        AddViolation("AVAIL: " + TextOf(task) + " is stopped while " +
                     std::to_string(n_away) + " others are away");
    }
    stopped_[task] = {order.run.attempt, order.fence};
    away_.emplace(task, now);
}

size_t
Fleet::CrashesUnder(const TaskName &task) const
{
    auto found = crashes_.find(task);

    return found != crashes_.end() ? found->second : 0;
}

void
Fleet::CheckCrashes(const TaskName &task)
{
    if (CrashesUnder(task) >= CRASHES_MAX &&
        ++starts_after_crashes_[task] > STARTS_AFTER_CRASHES_MAX) {
        AddViolation(TextOf(task) + " is started again and again, " +
                     std::to_string(CrashesUnder(task)) +
                     " workers crashed under it");
    }
}
