/* The invariants that every history must satisfy. */
#include "driver_test.h"

namespace driver {

/* No task runs on two workers, and no worker exceeds its capacity. */
void
Simulation::CheckRuns()
{
    std::map<uint64_t, std::string> running;

    for (Worker &worker : workers_) {
        int64_t cpu = 0;

        for (auto &item : worker.runs) {
            const TaskRun &run = item.second;

            if (run.state != JR__WORKER_TASK__STATE__RUNNING ||
                (LocalTime(worker.rate) >= run.deadline &&
                 !variant_.workers_ignore_leases)) {
                continue;
            }
            cpu += run.cpu;
            if (!running.emplace(item.first, worker.name).second) {
                Fail("task " + std::to_string(item.first) + " runs on " +
                     running[item.first] + " and " + worker.name);
            }
        }
        if (cpu > 4000) {
            Fail(worker.name + " runs tasks that need " + std::to_string(cpu) +
                 " of 4000 cpu_milli");
        }
    }
}

/* Every replica has applied its log, and every task has ended on it. */
bool
Simulation::HasSettled()
{
    if (variant_.drains_zones && !HaveZonesSettled()) {
        return false;
    }
    for (Node &node : nodes_) {
        jr_quorum_t *q =
            node.alive ? jr_group_quorum(node.groups[1]) : nullptr;

        if (q == nullptr || node.joining ||
            jr_quorum_applied(q) != jr_quorum_last(q)) {
            return false;
        }
        for (Client &client : clients_) {
            jr_task_t *task =
                jr_ledger_task(jr_group_ledger(node.groups[1]), client.task);

            if (task == nullptr || task->state == JR_TASK_QUEUED ||
                task->state == JR_TASK_LEASED) {
                return false;
            }
        }
    }
    return true;
}

void
Simulation::CheckAgreement()
{
    uint64_t newest = accepted_.empty() ? 0 : accepted_.rbegin()->first;
    std::string first;

    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];
        std::string state;

        if (!node.alive) {
            Fail("node " + std::to_string(n) +
                 " is down after the recovery phase");
            return;
        }
        if (!variant_.drains_zones &&
            jr_register_version(jr_group_register(node.groups[0])) < newest) {
            Fail("node " + std::to_string(n) + " lost rules version " +
                 std::to_string(newest));
        }
        for (auto &key : task_ids_by_key_) {
            for (uint64_t id : key.second) {
                jr_task_t *task =
                    jr_ledger_task(jr_group_ledger(node.groups[1]), id);

                state += std::to_string(id) + ":";
                state += task == nullptr ? "lost"
                                         : jr_task_state_name(task->state) +
                                               std::to_string(task->epoch);
                state += " ";
            }
        }
        first = n == 0 ? state : first;
        if (state != first) {
            Fail("replicas differ: " + first + " / " + state);
        }
    }
}

void
Simulation::CheckEnd()
{
    CheckAgreement();
    if (variant_.drains_zones && violation.empty()) {
        if (!zone_operators_[0].is_acked || !zone_operators_[1].is_acked) {
            Fail("a request for a zone got no answer");
        }
        CheckZonesAtEnd();
    }
    if (!violation.empty()) {
        return;
    }
    jr_ledger_t *ledger = jr_group_ledger(nodes_[0].groups[1]);

    for (Client &client : clients_) {
        const std::set<uint64_t> &ids = task_ids_by_key_[client.key];
        jr_task_t *task = jr_ledger_task(ledger, client.task);

        if (ids.size() > 1) {
            Fail(client.key + " was accepted as more than one task");
        }
        if (task == nullptr) {
            Fail(client.key + " is lost");
        }
        else if (task->state == JR_TASK_QUEUED ||
                 task->state == JR_TASK_LEASED) {
            Fail(client.key +
                 " has not ended: " + jr_task_state_name(task->state) +
                 " on " + (task->worker != nullptr ? task->worker : "none"));
        }
    }
    if (variant_.clients_change_keys &&
        jr_ledger_count(ledger, JR_TASK_FINISHED) +
                jr_ledger_count(ledger, JR_TASK_CANCELLED) +
                jr_ledger_count(ledger, JR_TASK_FAILED) >
            (uint64_t)kTasks) {
        Fail("more tasks ran than clients submitted");
    }
}

} // namespace driver
