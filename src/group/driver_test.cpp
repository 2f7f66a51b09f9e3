#include "driver_test.h"

namespace driver {

static const char kClassRules[] =
    "class study rate 50% priority 10 # asked for by the laboratory\n"
    "class watch rate 20% priority 30 # asked for by the returns desk\n";

static std::string
RulesText(uint64_t version, int who)
{
    return "version " + std::to_string(version) + " # asked for by operator " +
           std::to_string(who) + "\n" + kClassRules;
}

World::World(uint32_t seed, Variant variant) : variant_(variant), rng_(seed)
{
    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];

        node.ctx = jr_new_ctx("history", nullptr);
        node.id = (uint64_t)n + 1;
        node.rate = 1.0 + (double)Pick(-kDriftPermille, kDriftPermille) / 1e3;
        for (int g = 0; g < 2; g++) {
            hooks_[n][g] = {this, n, g};
            node.stores[g] = jr_new_memory_store(node.ctx);
        }
        StartNode(n, true);
    }
    for (int w = 0; w < kWorkers; w++) {
        workers_[w].name = "host" + std::to_string(w);
        workers_[w].rate =
            1.0 + (double)Pick(-kDriftPermille, kDriftPermille) / 1e3;
        workers_[w].next_heartbeat = Pick(0, 200);
    }
    for (int t = 0; t < kTasks; t++) {
        Client client;

        client.key = "task-" + std::to_string(t);
        client.next = Pick(300, 4000);
        client.cancel = Chance(0.15);
        clients_.push_back(client);
    }
}

World::~World()
{
    for (Node &node : nodes_) {
        for (int g = 0; g < 2; g++) {
            jr_drop_group(node.groups[g]);
            jr_drop_store(node.stores[g]);
        }
        jr_drop_ctx(node.ctx);
    }
}

void
World::Carry(std::function<void()> run)
{
    int copies = 1;

    if (faulty_) {
        copies = Chance(0.05) ? 0 : Chance(0.03) ? 2 : 1;
    }
    for (int i = 0; i < copies; i++) {
        int64_t delay = faulty_ && Chance(0.03) ? Pick(5, 400) : Pick(1, 12);

        At(delay, run);
    }
}

void
World::OnSend(void *user, const jr_member_t *to, const uint8_t *b, size_t len)
{
    Hook *hook = static_cast<Hook *>(user);
    World *w = hook->world;
    Bytes bytes(b, b + len);
    int group = hook->group;
    int from = hook->node;

    for (int n = 0; n < kNodes; n++) {
        if (w->nodes_[n].id == to->id && !w->Cut(from, n)) {
            w->Carry([w, n, group, bytes] { w->Deliver(n, group, bytes); });
        }
    }
}

void
World::OnReplyHook(void *user, const jr_ticket_t *ticket, Jr__Reply *reply)
{
    Hook *hook = static_cast<Hook *>(user);
    World *w = hook->world;
    uint64_t ask = ticket->id;
    Bytes bytes(jr__reply__get_packed_size(reply));

    jr__reply__pack(reply, bytes.data());
    w->Carry([w, ask, bytes] {
        auto found = w->asks_.find(ask);
        Jr__Reply *copy;

        if (found == w->asks_.end()) {
            return;
        }
        copy = jr__reply__unpack(nullptr, bytes.size(), bytes.data());
        OnReply on_reply = found->second;
        w->asks_.erase(found);
        on_reply(*copy);
        jr__reply__free_unpacked(copy, nullptr);
    });
}

void
World::OnRules(void *user, uint64_t version, const char *text)
{
    Hook *hook = static_cast<Hook *>(user);
    World *w = hook->world;
    Node &node = w->nodes_[hook->node];
    jr_rules_t *rules = jr_new_rules(node.ctx, text, nullptr);

    if (version < node.rules_version) {
        w->Fail("rules of node " + std::to_string(hook->node) + " went back");
    }
    node.rules_version = version;
    if (rules != nullptr && node.groups[1] != nullptr) {
        jr_group_set_rules(node.groups[1], rules);
    }
    jr_drop_rules(rules);
}

void
World::StartNode(int n, bool init)
{
    Node &node = nodes_[n];
    jr_config_t members = {};

    for (int i = 0; i < kNodes; i++) {
        jr_member_t &m = members.members[members.n++];

        m.id = (uint64_t)i + 1;
        m.voter = true;
        snprintf(m.name, sizeof m.name, "node%d", i);
    }
    for (int g = 1; g >= 0; g--) {
        jr_group_options_t options = {};

        if (init) {
            jr_group_init(node.ctx, node.stores[g], &members);
        }
        options.kind = g == 0 ? JR_GROUP_RULES : JR_GROUP_LEDGER;
        options.quorum.group = (uint32_t)g;
        options.quorum.self = node.id;
        options.quorum.seed = (uint32_t)Pick(1, 1 << 30);
        options.quorum.election_ms = kElectionMs;
        options.quorum.heartbeat_ms = kHeartbeatMs;
        options.coord.n_groups = 1;
        options.coord.seed = (uint32_t)Pick(1, 1 << 30);
        options.coord.max_grants = 64;
        options.coord.lease.lease_ms = kLeaseMs;
        options.coord.lease.drift_permille = kDriftPermille;
        options.coord.policy.kind = JR_PLACE_SCORED;
        options.coord.policy.as.scored.candidates = 8;
        options.coord.evict = JR_EVICT_CHEAPEST;
        options.snapshot_every = (uint64_t)Pick(20, 200);
        options.hooks = {OnSend, OnReplyHook, OnRules, &hooks_[n][g]};
        node.groups[g] =
            jr_new_group(node.ctx, &options, node.stores[g], Local(node.rate));
        if (node.groups[g] == nullptr) {
            Fail("node does not start: " + std::string(node.ctx->error.text));
        }
    }
    node.alive = node.groups[0] != nullptr && node.groups[1] != nullptr;
}

/* Kill: whatever was not synced is lost. */
void
World::StopNode(int n)
{
    Node &node = nodes_[n];

    for (int g = 0; g < 2; g++) {
        jr_drop_group(node.groups[g]);
        node.groups[g] = nullptr;
        jr_memory_store_restart(node.stores[g]);
        if (variant_.syncs_do_nothing) {
            jr_memory_store_wipe(node.stores[g]);
        }
    }
    node.alive = false;
    node.held.clear();
    node.rules_version = 0;
}

void
World::Pump(int n)
{
    for (int g = 0; g < 2; g++) {
        Node &node = nodes_[n];

        if (node.alive &&
            jr_group_pump(node.groups[g], Local(node.rate)) != JR_OK) {
            StopNode(n);
            node.back_at = now_ + Pick(20, 800);
        }
    }
}

void
World::Deliver(int n, int group, const Bytes &bytes)
{
    Node &node = nodes_[n];

    if (!node.alive) {
        return;
    }
    if (node.frozen_until > now_) {
        node.held.emplace_back(group, bytes);
        return;
    }
    jr_group_receive(node.groups[group], bytes.data(), bytes.size(),
                     Local(node.rate));
}

void
World::Ask(int n, int group, Jr__Request request, OnReply on_reply)
{
    uint64_t ask = ++next_ask_;
    Bytes bytes;

    request.id = ask;
    request.group = (uint32_t)group;
    bytes.resize(jr__request__get_packed_size(&request));
    jr__request__pack(&request, bytes.data());
    asks_[ask] = std::move(on_reply);
    Carry([this, n, group, ask, bytes] {
        Node &node = nodes_[n];
        jr_ticket_t ticket = {};
        Jr__Request *copy;

        if (!node.alive || node.frozen_until > now_) {
            return;
        }
        ticket.id = ask;
        copy = jr__request__unpack(nullptr, bytes.size(), bytes.data());
        jr_group_request(node.groups[group], &ticket, copy, Local(node.rate));
        jr__request__free_unpacked(copy, nullptr);
    });
}

void
World::InjectFaults()
{
    int n = (int)Pick(0, kNodes - 1);
    Node &node = nodes_[n];

    if (!Chance(0.02)) {
        return;
    }
    faults++;
    switch (Pick(0, 9)) {
    case 0: /* kill */
        if (node.alive) {
            StopNode(n);
            node.back_at = now_ + Pick(20, 1500);
        }
        break;
    case 1: /* crash around a sync */
        if (node.alive) {
            jr_memory_store_crash(node.stores[Pick(0, 1)],
                                  Chance(0.5) ? JR_CRASH_BEFORE_SYNC
                                              : JR_CRASH_AFTER_SYNC);
        }
        break;
    case 2:
    case 3: /* freeze */
        node.frozen_until = now_ + Pick(50, 1500);
        break;
    case 4:
    case 5: /* cut one replica off, or heal */
        for (int i = 0; i < kNodes; i++) {
            side_[i] = 0;
        }
        side_[n] = Chance(0.7) ? 1 : 0;
        break;
    case 6: /* lose a disk: one at a time, when all others are there */
        if (wiped_ < 0 && node.alive && Chance(0.4)) {
            for (int i = 0; i < kNodes; i++) {
                side_[i] = 0;
            }
            StopNode(n);
            jr_memory_store_wipe(node.stores[0]);
            jr_memory_store_wipe(node.stores[1]);
            if (!variant_.lost_disk_keeps_its_id) {
                node.id = ++next_id_;
                node.joining = true;
                wiped_ = n;
            }
            node.back_at = now_ + Pick(50, 500);
        }
        break;
    case 7: { /* freeze a worker */
        Worker &worker = workers_[Pick(0, kWorkers - 1)];

        worker.frozen_until = now_ + Pick(50, 2500);
        break;
    }
    case 8: /* hand leadership over */
        if (node.alive) {
            jr_group_transfer(node.groups[Pick(0, 1)]);
        }
        break;
    default: { /* restart a worker */
        Worker &worker = workers_[Pick(0, kWorkers - 1)];

        worker.runs.clear();
        worker.incarnation++;
        worker.waiting_for = 0;
        break;
    }
    }
}

void
World::Heal()
{
    faulty_ = false;
    for (int n = 0; n < kNodes; n++) {
        side_[n] = 0;
        nodes_[n].frozen_until = 0;
        nodes_[n].back_at = std::min(nodes_[n].back_at, now_);
        for (int g = 0; g < 2; g++) {
            jr_memory_store_crash(nodes_[n].stores[g], JR_CRASH_NONE);
        }
    }
    for (Worker &worker : workers_) {
        worker.frozen_until = 0;
    }
}

void
World::StepNodes()
{
    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];

        if (!node.alive && now_ >= node.back_at) {
            StartNode(n, false);
        }
        if (!node.alive || node.frozen_until > now_) {
            continue;
        }
        /* After a freeze, what had arrived is read first. */
        for (auto &held : node.held) {
            jr_group_receive(node.groups[held.first], held.second.data(),
                             held.second.size(), Local(node.rate));
        }
        node.held.clear();
        for (int g = 0; g < 2; g++) {
            jr_group_tick(node.groups[g], Local(node.rate));
        }
        Pump(n);
        if (!node.joining || now_ % 200 != 0 || !node.alive) {
            continue;
        }
        bool done = true;

        for (int g = 0; g < 2; g++) {
            Jr__Member member = JR__MEMBER__INIT;
            Jr__Join join = JR__JOIN__INIT;
            Jr__Request request = JR__REQUEST__INIT;
            std::string name = "node" + std::to_string(n);
            const jr_member_t *self = jr_config_find(
                jr_quorum_config(jr_group_quorum(node.groups[g])), node.id);
            const jr_config_t *config =
                jr_quorum_config(jr_group_quorum(node.groups[g]));

            if (self != nullptr && self->voter && config->n == kNodes &&
                jr_quorum_applied(jr_group_quorum(node.groups[g])) > 0) {
                continue;
            }
            done = false;
            member.id = node.id;
            member.name = name.data();
            join.member = &member;
            request.body_case = JR__REQUEST__BODY_JOIN;
            request.join = &join;
            for (int other = 0; other < kNodes; other++) {
                Ask(other, g, request, [](const Jr__Reply &) {});
            }
        }
        if (done) {
            node.joining = false;
            wiped_ = -1;
        }
    }
}

void
World::SendHeartbeat(Worker &worker)
{
    std::string name = worker.name + "/" + std::to_string(worker.incarnation);
    Jr__Resources capacity = JR__RESOURCES__INIT;
    Jr__Heartbeat heartbeat = JR__HEARTBEAT__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    std::vector<Jr__WorkerTask> tasks;
    std::vector<Jr__WorkerTask *> pointers;
    int64_t sent = Local(worker.rate);
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
    uint64_t mine = next_ask_ + 1;
    worker.waiting_for = mine;
    worker.waiting_until = now_ + 300;
    /* As an entry process does: follow the hint, guess without one. */
    int to = worker.leader >= 0 ? worker.leader : (int)Pick(0, kNodes - 1);
    worker.leader = -1;
    Ask(to, 1, request,
        [this, w, to, sent, incarnation, mine](const Jr__Reply &reply) {
            if (reply.code == JR_NOT_LEADER) {
                sscanf(reply.leader, "node%d", &w->leader);
            }
            else if (reply.code == JR_OK) {
                w->leader = to;
            }
            if (w->incarnation != incarnation || w->waiting_for != mine) {
                return;
            }
            w->waiting_for = 0;
            if (reply.body_case == JR__REPLY__BODY_HEARTBEAT) {
                OnHeartbeatReply(*w, *reply.heartbeat, sent);
            }
        });
}

void
World::OnHeartbeatReply(Worker &worker, const Jr__HeartbeatReply &reply,
                        int64_t sent_local)
{
    int64_t lease = reply.lease_ms;
    int64_t local = Local(worker.rate);

    if (worker.frozen_until > now_) {
        return;
    }
    if (variant_.leader_waits_too_short) {
        lease *= 3;
    }
    for (size_t i = 0; i < reply.n_tasks; i++) {
        const Jr__Assignment &a = *reply.tasks[i];
        auto found = worker.runs.find(a.task);
        bool known =
            found != worker.runs.end() && found->second.epoch == a.epoch;

        if (a.action == JR__ASSIGNMENT__ACTION__FORGET) {
            if (known) {
                worker.runs.erase(found);
            }
        }
        else if (a.action == JR__ASSIGNMENT__ACTION__STOP) {
            worker.runs[a.task] = {a.epoch, 0, 0,
                                   JR__WORKER_TASK__STATE__STOPPED, 0};
        }
        else if (known) {
            found->second.deadline =
                std::max(found->second.deadline, sent_local + lease);
        }
        else if (a.spec != nullptr && sent_local + lease > local) {
            auto key = std::make_pair(a.task, a.epoch);
            std::string who =
                worker.name + "/" + std::to_string(worker.incarnation);

            if (starts_.count(key) != 0) {
                Fail("task " + std::to_string(a.task) + " epoch " +
                     std::to_string(a.epoch) +
                     " started twice: " + starts_[key] + ", " + who);
            }
            starts_[key] = who;
            worker.runs[a.task] = {a.epoch, sent_local + lease, Pick(50, 1500),
                                   JR__WORKER_TASK__STATE__RUNNING,
                                   a.spec->need->cpu_milli};
        }
    }
}

void
World::StepWorkers()
{
    for (Worker &worker : workers_) {
        int64_t local = Local(worker.rate);

        if (worker.frozen_until > now_) {
            continue;
        }
        for (auto &item : worker.runs) {
            Run_ &run = item.second;

            if (run.state != JR__WORKER_TASK__STATE__RUNNING) {
                continue;
            }
            run.left -= kStepMs;
            if (local >= run.deadline && !variant_.workers_ignore_leases) {
                run.state = JR__WORKER_TASK__STATE__STOPPED;
            }
            else if (run.left <= 0) {
                run.state = Chance(0.1) ? JR__WORKER_TASK__STATE__BROKEN
                                        : JR__WORKER_TASK__STATE__DONE;
            }
        }
        if (worker.waiting_for != 0 && now_ >= worker.waiting_until) {
            worker.waiting_for = 0;
        }
        if (worker.waiting_for == 0 && now_ >= worker.next_heartbeat) {
            worker.next_heartbeat = now_ + 100;
            SendHeartbeat(worker);
        }
    }
}

void
World::StepClients()
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
        Ask((int)Pick(0, kNodes - 1), 1, request,
            [this, c](const Jr__Reply &reply) {
                if (reply.body_case == JR__REPLY__BODY_LEDGER &&
                    reply.ledger->task != nullptr) {
                    clients_[c].task = reply.ledger->task->id;
                    ids_of_key_[clients_[c].key].insert(
                        reply.ledger->task->id);
                }
            });
    }
}

/* Two operators race for each number, and resend until they hear. */
void
World::StepOperators()
{
    for (int o = 0; o < 2; o++) {
        Operator &op = operators_[o];
        Jr__Request request = JR__REQUEST__INIT;
        Jr__RulesApply apply = JR__RULES_APPLY__INIT;

        if (now_ < op.next) {
            continue;
        }
        op.next = now_ + Pick(100, 250);
        op.text = RulesText(op.version, o);
        apply.version = op.version;
        apply.text = op.text.data();
        request.body_case = JR__REQUEST__BODY_RULES_APPLY;
        request.rules_apply = &apply;
        std::string text = op.text;
        uint64_t version = op.version;
        Ask((int)Pick(0, kNodes - 1), 0, request,
            [this, o, text, version](const Jr__Reply &reply) {
                if (reply.body_case != JR__REPLY__BODY_RULES) {
                    return;
                }
                if (reply.code == JR_OK) {
                    auto known = accepted_.emplace(version, text);

                    if (known.first->second != text) {
                        Fail("two texts accepted as version " +
                             std::to_string(version));
                    }
                    if (reply.rules->version < version) {
                        Fail("accepted, but not in force");
                    }
                }
                if (operators_[o].version == version) {
                    operators_[o].version = reply.rules->version + 1;
                }
            });
    }
}

/* No task runs in two places, and no host holds more than it has. */
void
World::CheckRuns()
{
    std::map<uint64_t, std::string> running;

    for (Worker &worker : workers_) {
        int64_t cpu = 0;

        for (auto &item : worker.runs) {
            const Run_ &run = item.second;

            if (run.state != JR__WORKER_TASK__STATE__RUNNING ||
                (Local(worker.rate) >= run.deadline &&
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
            Fail(worker.name + " holds " + std::to_string(cpu) + " of 4000");
        }
    }
}

/* Every replica shows every task as ended and the newest rules. */
bool
World::IsQuiet()
{
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
World::CheckAgreement()
{
    uint64_t newest = accepted_.empty() ? 0 : accepted_.rbegin()->first;
    std::string first;

    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];
        std::string state;

        if (!node.alive) {
            Fail("node " + std::to_string(n) + " is down after healing");
            return;
        }
        if (jr_register_version(jr_group_register(node.groups[0])) < newest) {
            Fail("node " + std::to_string(n) + " lost rules version " +
                 std::to_string(newest));
        }
        for (auto &key : ids_of_key_) {
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
World::CheckEnd()
{
    CheckAgreement();
    if (!violation.empty()) {
        return;
    }
    jr_ledger_t *ledger = jr_group_ledger(nodes_[0].groups[1]);

    for (Client &client : clients_) {
        const std::set<uint64_t> &ids = ids_of_key_[client.key];
        jr_task_t *task = jr_ledger_task(ledger, client.task);

        if (ids.size() > 1) {
            Fail(client.key + " became more than one task");
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
        Fail("more tasks ran than were wanted");
    }
}

void
World::Run(int64_t fault_ms, int64_t heal_ms)
{
    int64_t quiet_at = 0;

    for (; now_ < fault_ms + heal_ms && violation.empty(); now_ += kStepMs) {
        if (now_ < fault_ms) {
            InjectFaults();
        }
        else if (faulty_) {
            Heal();
        }
        while (!events_.empty() && events_.top().at <= now_) {
            auto run = events_.top().run;

            events_.pop();
            run();
        }
        StepNodes();
        StepWorkers();
        StepClients();
        /* Operators go on until they have been heard at least once. */
        if (faulty_ || accepted_.empty()) {
            StepOperators();
        }
        CheckRuns();
        if (faulty_ || now_ % 100 != 0 || !IsQuiet()) {
            continue;
        }
        /* A while longer, for what is late on the network. */
        if (quiet_at == 0) {
            quiet_at = now_;
        }
        if (now_ - quiet_at >= 1000) {
            break;
        }
    }
    if (violation.empty()) {
        CheckEnd();
    }
}

} // namespace driver
