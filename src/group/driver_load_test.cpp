/* Workers, clients and operators of the simulation. */
#include "driver_test.h"

namespace driver {

static const char kClassRules[] =
    "class study rate 50% priority 10 # asked for by the laboratory\n"
    "class watch rate 20% priority 30 # asked for by the returns desk\n";

static std::string
RulesText(uint64_t version, int op)
{
    return "version " + std::to_string(version) + " # asked for by operator " +
           std::to_string(op) + "\n" + kClassRules;
}

void
Simulation::SendHeartbeat(Worker &worker)
{
    std::string name = worker.name + "/" + std::to_string(worker.incarnation);
    Jr__Resources capacity = JR__RESOURCES__INIT;
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    std::vector<Jr__WorkerTask> tasks;
    std::vector<Jr__WorkerTask *> pointers;
    int64_t sent = LocalTime(worker.rate);
    Worker *w = &worker;
    int incarnation = worker.incarnation;

    capacity.cpu_milli = 4000;
    capacity.memory_mb = 4096;
    tasks.resize(worker.runs.size());
    for (auto &item : worker.runs) {
        Jr__WorkerTask &task = tasks[pointers.size()];

        jr__worker_task__init(&task);
        task.task = item.first;
        task.epoch = item.second.epoch;
        task.state = item.second.state;
        pointers.push_back(&task);
    }
    heartbeat.worker = name.data();
    heartbeat.capacity = &capacity;
    heartbeat.n_tasks = pointers.size();
    heartbeat.tasks = pointers.data();
    request.body_case = JR__REQUEST__BODY_HEARTBEAT;
    request.heartbeat = &heartbeat;
    uint64_t request_id = last_request_ + 1;
    worker.awaited_request = request_id;
    worker.reply_deadline = now_ + 300;
    /* As an entry process: send to the known leader, else to any node. */
    int to =
        worker.leader >= 0 ? worker.leader : (int)RandomInt(0, kNodes - 1);
    worker.leader = -1;
    SendRequest(
        to, 1, request,
        [this, w, to, sent, incarnation, request_id](const Jr__Reply &reply) {
            if (reply.code == JR_NOT_LEADER) {
                sscanf(reply.leader, "node%d", &w->leader);
            }
            else if (reply.code == JR_OK) {
                w->leader = to;
            }
            if (w->incarnation != incarnation ||
                w->awaited_request != request_id) {
                return;
            }
            w->awaited_request = 0;
            if (reply.body_case == JR__REPLY__BODY_HEARTBEAT) {
                OnHeartbeatReply(*w, *reply.heartbeat, sent);
            }
        });
}

void
Simulation::OnHeartbeatReply(Worker &worker, const Jr__HeartbeatReply &reply,
                             int64_t sent_local)
{
    int64_t lease = reply.lease_ms;
    int64_t local = LocalTime(worker.rate);

    if (worker.frozen_until > now_) {
        return;
    }
    if (variant_.leader_waits_too_short) {
        lease *= 3;
    }
    for (size_t i = 0; i < reply.n_tasks; i++) {
        const Jr__Assignment &a = *reply.tasks[i];
        auto found = worker.runs.find(a.task);
        bool is_known =
            found != worker.runs.end() && found->second.epoch == a.epoch;

        if (a.action == JR__ASSIGNMENT__ACTION__FORGET) {
            if (is_known) {
                worker.runs.erase(found);
            }
        }
        else if (a.action == JR__ASSIGNMENT__ACTION__STOP) {
            worker.runs[a.task] = {a.epoch, 0, 0,
                                   JR__WORKER_TASK__STATE__STOPPED, 0};
        }
        else if (is_known) {
            found->second.deadline =
                std::max(found->second.deadline, sent_local + lease);
        }
        else if (a.spec != nullptr && sent_local + lease > local) {
            auto key = std::make_pair(a.task, a.epoch);
            std::string incarnation =
                worker.name + "/" + std::to_string(worker.incarnation);

            if (starts_.count(key) != 0) {
                Fail("task " + std::to_string(a.task) + " epoch " +
                     std::to_string(a.epoch) +
                     " started twice: " + starts_[key] + ", " + incarnation);
            }
            starts_[key] = incarnation;
            worker.runs[a.task] = {
                a.epoch, sent_local + lease, RandomInt(50, 1500),
                JR__WORKER_TASK__STATE__RUNNING, a.spec->need->cpu_milli};
        }
    }
}

void
Simulation::StepWorkers()
{
    for (Worker &worker : workers_) {
        int64_t local = LocalTime(worker.rate);

        if (worker.frozen_until > now_) {
            continue;
        }
        for (auto &item : worker.runs) {
            TaskRun &run = item.second;

            if (run.state != JR__WORKER_TASK__STATE__RUNNING) {
                continue;
            }
            run.remaining -= kStepMs;
            if (local >= run.deadline && !variant_.workers_ignore_leases) {
                run.state = JR__WORKER_TASK__STATE__STOPPED;
            }
            else if (run.remaining <= 0) {
                run.state = RandomBool(0.1) ? JR__WORKER_TASK__STATE__BROKEN
                                            : JR__WORKER_TASK__STATE__DONE;
            }
        }
        if (worker.awaited_request != 0 && now_ >= worker.reply_deadline) {
            worker.awaited_request = 0;
        }
        if (worker.awaited_request == 0 && now_ >= worker.next_heartbeat) {
            worker.next_heartbeat = now_ + 100;
            SendHeartbeat(worker);
        }
    }
}

void
Simulation::StepClients()
{
    for (size_t c = 0; c < clients_.size(); c++) {
        Client &client = clients_[c];
        Jr__Request request = JR__REQUEST__INIT;
        Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
        Jr__Submit submit = JR__SUBMIT__INIT;
        Jr__TaskSpec spec = JR__TASK_SPEC__INIT;
        Jr__Resources need = JR__RESOURCES__INIT;
        Jr__Cancel cancel = JR__CANCEL__INIT;
        char team[] = "lab", study[] = "study", watch[] = "watch";
        std::string key = client.key;

        if (now_ < client.next) {
            continue;
        }
        request.body_case = JR__REQUEST__BODY_COMMAND;
        request.command = &command;
        client.next = now_ + 250;
        if (client.task == 0) {
            if (variant_.clients_change_keys) {
                key += "." + std::to_string(client.tries++);
            }
            spec.key = key.data();
            spec.team = team;
            spec.class_name = c % 2 == 0 ? study : watch;
            need.cpu_milli = c % 3 == 0 ? 2500 : 1000;
            need.memory_mb = 1024;
            spec.need = &need;
            submit.spec = &spec;
            command.body_case = JR__LEDGER_COMMAND__BODY_SUBMIT;
            command.submit = &submit;
        }
        else if (client.cancel && now_ > 3000) {
            client.next = now_ + 100000;
            cancel.task = client.task;
            command.body_case = JR__LEDGER_COMMAND__BODY_CANCEL;
            command.cancel = &cancel;
        }
        else {
            continue;
        }
        SendRequest((int)RandomInt(0, kNodes - 1), 1, request,
                    [this, c](const Jr__Reply &reply) {
                        if (reply.body_case == JR__REPLY__BODY_LEDGER &&
                            reply.ledger->task != nullptr) {
                            clients_[c].task = reply.ledger->task->id;
                            task_ids_by_key_[clients_[c].key].insert(
                                reply.ledger->task->id);
                        }
                    });
    }
}

/* Two operators compete for each rules version and resend until answered. */
void
Simulation::StepOperators()
{
    for (int o = 0; o < 2; o++) {
        Operator &op = operators_[o];
        Jr__Request request = JR__REQUEST__INIT;
        Jr__RulesApply apply = JR__RULES_APPLY__INIT;

        if (now_ < op.next) {
            continue;
        }
        op.next = now_ + RandomInt(100, 250);
        op.text = RulesText(op.version, o);
        apply.version = op.version;
        apply.text = op.text.data();
        request.body_case = JR__REQUEST__BODY_RULES_APPLY;
        request.rules_apply = &apply;
        std::string text = op.text;
        uint64_t version = op.version;
        SendRequest(
            (int)RandomInt(0, kNodes - 1), 0, request,
            [this, o, text, version](const Jr__Reply &reply) {
                if (reply.body_case != JR__REPLY__BODY_RULES) {
                    return;
                }
                if (reply.code == JR_OK) {
                    auto entry = accepted_.emplace(version, text);

                    if (entry.first->second != text) {
                        Fail("two texts accepted as version " +
                             std::to_string(version));
                    }
                    if (reply.rules->version < version) {
                        Fail("rules version was accepted but is not in force");
                    }
                }
                if (operators_[o].version == version) {
                    operators_[o].version = reply.rules->version + 1;
                }
            });
    }
}

} // namespace driver
