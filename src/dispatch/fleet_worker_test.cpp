/* Simulated workers: how they execute orders, and how their runs end. */
#include "fleet_test.h"

#include <algorithm>

constexpr int64_t NEVER_MS = INT64_MAX / 2;

enum {
    STOP_DELAY_MS = 150,
    COLD_FACTOR = 3,
    EXIT_MAX_MS = 4000, /* after it said that it leaves */
};

int64_t
Fleet::RunTime(const FleetWorker &worker) const
{
    int64_t warm_ms = task_ms * worker.run_permille / 1000;
    int64_t cold_ms = std::max<int64_t>(worker.cold_until - now, 0);

    return std::min(COLD_FACTOR * warm_ms,
                    warm_ms + cold_ms - cold_ms / COLD_FACTOR);
}

int64_t
Fleet::EndsAt(const FleetWorker &worker, const TaskName &task) const
{
    if (task.job == long_running_job) {
        return NEVER_MS;
    }
    return now + (run_ms_of ? run_ms_of(task) : RunTime(worker));
}

size_t
Fleet::StartsOn(size_t worker) const
{
    auto found = starts_on_.find(workers[worker].id);

    return found != starts_on_.end() ? found->second : 0;
}

/* A lease is never shortened, and never longer than the longest allowed. */
void
Fleet::Extend(FleetWorker &worker, int64_t expires_ms)
{
    worker.expires_ms =
        std::max(worker.expires_ms,
                 std::min(expires_ms, WorkerClock(worker) + times_.lease_ms));
}

void
Fleet::Acknowledge(FleetWorker &worker, uint64_t up_to)
{
    while (!worker.ended.empty() && worker.ended.front().number <= up_to) {
        FleetEnd end = worker.ended.front();

        Trace("acknowledged", worker.id, end.task, end.attempt);
        worker.ended.pop_front();
        if (end.is_void || (end.is_stale && !checks_stale_starts)) {
            continue;
        }
        if (end.how == JR__JOB_END__HOW__DONE) {
            histories_[end.task].done.push_back(end.ended_at);
        }
        else if (end.how == JR__JOB_END__HOW__FAILED) {
            histories_[end.task].failed.push_back(end.ended_at);
        }
        CheckHistory(end.task);
    }
}

jr_answer_kind_t
Fleet::ExecuteStart(SentOrder &sent, FleetWorker &worker)
{
    TaskName task = NameOf(sent.run);
    auto found = worker.running.find(task);
    auto tombstone = worker.tombstones.find(task);
    jr_job_t *job = jr_jobs_find(jobs, task.job);
    int64_t cpu = job->spec->steps[task.step]->cpu_milli;
    int64_t used = cpu;

    if (found != worker.running.end() &&
        found->second.attempt == sent.run.attempt) {
        return JR_ANSWER_DONE;
    }
    if (!ignores_tombstones && tombstone != worker.tombstones.end() &&
        sent.run.attempt <= tombstone->second) {
        Extend(worker, sent.expires_ms);
        return JR_ANSWER_OLD_RUN;
    }
    if (!ignores_leases && sent.expires_ms <= WorkerClock(worker)) {
        return JR_ANSWER_EXPIRED;
    }
    for (const auto &[name, run] : worker.running) {
        used += run.cpu;
    }
    Extend(worker, sent.expires_ms);
    if (used > worker.cpu && worker.checks_capacity) {
        return JR_ANSWER_NO_CAPACITY;
    }
    CheckCapacityAtStart(sent, worker, used);
    CheckStart(sent, worker);
    CheckCrashes(task);
    starts_[task]++;
    starts_on_[worker.id]++;
    Trace("starts", worker.id, task, sent.run.attempt);
    worker.running[task] = {sent.run.attempt,
                            EndsAt(worker, task),
                            0,
                            Chance(std::max(faults.task_fails, worker.fails)),
                            cpu,
                            now,
                            sent.sent_at < worker.incarnation};
    return JR_ANSWER_DONE;
}

jr_answer_kind_t
Fleet::Execute(SentOrder &sent, FleetWorker &worker)
{
    TaskName task = NameOf(sent.run);

    if (sent.kind == JR_ORDER_START &&
        Chance(std::max(faults.unhealthy, worker.refuses))) {
        return JR_ANSWER_UNHEALTHY;
    }
    if (sent.fence < worker.fence && !ignores_fences) {
        return JR_ANSWER_FENCED;
    }
    worker.fence = std::max(worker.fence, sent.fence);
    switch (sent.kind) {
    case JR_ORDER_START:
        return ExecuteStart(sent, worker);
    case JR_ORDER_STOP: {
        auto found = worker.running.find(task);

        Trace("stop", worker.id, task, sent.run.attempt);
        worker.tombstones[task] =
            std::max(worker.tombstones[task], sent.run.attempt);
        if (found != worker.running.end() &&
            found->second.attempt <= sent.run.attempt &&
            found->second.stops_at == 0) {
            found->second.stops_at = now + STOP_DELAY_MS;
        }
        return JR_ANSWER_DONE;
    }
    case JR_ORDER_RENEW:
        Extend(worker, sent.expires_ms);
        Acknowledge(worker, sent.ends_seen);
        return JR_ANSWER_DONE;
    case JR_ORDER_PACE: {
        auto found = worker.running.find(task);

        if (found != worker.running.end() &&
            found->second.attempt == sent.run.attempt) {
            found->second.pace = sent.pace;
        }
        return JR_ANSWER_DONE;
    }
    }
    return JR_ANSWER_DONE;
}

void
Fleet::FillAnswer(SentOrder &sent, const FleetWorker &worker)
{
    sent.clock_ms = WorkerClock(worker);
    sent.incarnation = worker.incarnation;
    sent.answer_at = now + sent.answer_delay;
    if (sent.kind != JR_ORDER_RENEW || sent.answer != JR_ANSWER_DONE) {
        return;
    }
    for (const auto &[name, run] : worker.running) {
        jr_running_t row = {};

        jr__job_run__init(&row.run);
        row.run.job = name.job;
        row.run.occurrence = name.occurrence;
        row.run.step = name.step;
        row.run.index = name.index;
        row.run.attempt = run.attempt;
        row.percent =
            reported_percent != 0
                ? reported_percent
                : static_cast<uint32_t>(100 * (now - run.started_at) /
                                        (run.ends_at - run.started_at + 1));
        row.gauge = gauge_of ? gauge_of(worker, name) : reported_gauge;
        sent.running.push_back(row);
    }
    for (const FleetEnd &end : worker.ended) {
        jr_ended_t row = {};

        jr__job_run__init(&row.run);
        row.number = end.number;
        row.run.job = end.task.job;
        row.run.occurrence = end.task.occurrence;
        row.run.step = end.task.step;
        row.run.index = end.task.index;
        row.run.attempt = end.attempt;
        row.how = end.how;
        sent.ended.push_back(row);
    }
}

void
Fleet::EndRun(FleetWorker &worker, const TaskName &task, Jr__JobEnd__How how)
{
    const FleetRun run = worker.running[task];
    uint32_t attempt = run.attempt;

    worker.tombstones[task] = std::max(worker.tombstones[task], attempt);
    Trace("ends", worker.id, task, attempt);
    worker.ended.push_back({++worker.last_end_number, task, attempt, how,
                            false, now, run.is_stale});
    worker.running.erase(task);
}

void
Fleet::AdvanceWorkers()
{
    for (FleetWorker &worker : workers) {
        std::vector<std::pair<TaskName, Jr__JobEnd__How>> ends;
        bool has_lapsed = !ignores_leases && worker.expires_ms > 0 &&
                          worker.expires_ms <= WorkerClock(worker);

        for (FleetEnd &end : worker.ended) {
            end.is_void |= has_lapsed;
        }
        for (const auto &[name, run] : worker.running) {
            if (has_lapsed) {
                ends.push_back({name, JR__JOB_END__HOW__LAPSED});
            }
            else if (run.stops_at != 0 && run.stops_at <= now) {
                ends.push_back({name, JR__JOB_END__HOW__STOPPED});
            }
            else if (run.ends_at <= now) {
                ends.push_back({name, run.will_fail ? JR__JOB_END__HOW__FAILED
                                                    : JR__JOB_END__HOW__DONE});
            }
        }
        for (const auto &[name, how] : ends) {
            EndRun(worker, name, how);
        }
    }
}

void
Fleet::AdvanceLeaving(size_t i)
{
    FleetWorker &worker = workers[i];

    if (worker.leaves_at != 0 && worker.leaves_at <= now) {
        Trace("leaves", worker.id, {}, 0);
        worker.leaves_at = 0;
        worker.exits_at =
            now + static_cast<int64_t>(rng_() % (EXIT_MAX_MS + 1));
        if (!worker.is_partitioned && !IsStalled() &&
            jr_dispatch_left(dispatch, worker.id.c_str(), worker.incarnation,
                             now)) {
            Jr__JobCommand command = JR__JOB_COMMAND__INIT;
            Jr__JobWorkerLeaving leaving = JR__JOB_WORKER_LEAVING__INIT;

            leaving.id = worker.id.data();
            leaving.born = worker.incarnation;
            command.body_case = JR__JOB_COMMAND__BODY_WORKER_LEAVING;
            command.worker_leaving = &leaving;
            Propose(&command);
        }
    }
    if (worker.exits_at != 0 && worker.exits_at <= now) {
        Crash(i);
    }
}

void
Fleet::AdvanceCrashes(size_t i)
{
    FleetWorker &worker = workers[i];

    if (worker.returns_at != 0 && worker.returns_at <= now) {
        Restart(i);
    }
    for (const auto &[task, run] : worker.running) {
        if (crashing.count(task) > 0 &&
            now >= run.started_at + crash_after_ms) {
            crashes_[task]++;
            Crash(i);
            worker.returns_at = now + crashed_for_ms;
            return;
        }
    }
}

void
Fleet::StartStray(size_t worker, const TaskName &task, uint32_t attempt,
                  bool will_fail)
{
    starts_[task]++;
    workers[worker].running[task] = {attempt, now + task_ms, 0,   will_fail,
                                     0,       now,           true};
}
