/* Replicas, network and faults of the simulation. */
#include "driver_test.h"

namespace driver {

Simulation::Simulation(uint32_t seed, Variant variant)
    : variant_(variant), rng_(seed)
{
    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];

        node.ctx = jr_new_ctx("history", nullptr);
        node.id = (uint64_t)n + 1;
        node.rate =
            1.0 + (double)RandomInt(-kDriftPermille, kDriftPermille) / 1e3;
        for (int g = 0; g < 2; g++) {
            hooks_[n][g] = {this, n, g};
            node.stores[g] = jr_new_memory_store(node.ctx);
        }
        StartNode(n, true);
    }
    for (int w = 0; w < kWorkers; w++) {
        workers_[w].name = "host" + std::to_string(w);
        workers_[w].rate =
            1.0 + (double)RandomInt(-kDriftPermille, kDriftPermille) / 1e3;
        workers_[w].next_heartbeat = RandomInt(0, 200);
    }
    zone_operators_[0].zone = "a";
    zone_operators_[1].zone = "b";
    for (int t = 0; t < kTasks && !variant.drains_zones; t++) {
        Client client;

        client.key = "task-" + std::to_string(t);
        client.next = RandomInt(300, 4000);
        client.cancel = RandomBool(0.15);
        clients_.push_back(client);
    }
}

Simulation::~Simulation()
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
Simulation::Transmit(std::function<void()> run)
{
    int copies = 1;

    if (inject_faults_) {
        copies = RandomBool(0.05) ? 0 : RandomBool(0.03) ? 2 : 1;
    }
    for (int i = 0; i < copies; i++) {
        int64_t delay = inject_faults_ && RandomBool(0.03) ? RandomInt(5, 400)
                                                           : RandomInt(1, 12);

        Schedule(delay, run);
    }
}

void
Simulation::OnSend(void *user, const jr_member_t *to, const uint8_t *b,
                   size_t len)
{
    Hook *hook = static_cast<Hook *>(user);
    Simulation *sim = hook->simulation;
    Bytes bytes(b, b + len);
    int group = hook->group;
    int from = hook->node;

    for (int n = 0; n < kNodes; n++) {
        if (sim->nodes_[n].id == to->id && !sim->IsPartitioned(from, n)) {
            sim->Transmit(
                [sim, n, group, bytes] { sim->Deliver(n, group, bytes); });
        }
    }
}

void
Simulation::OnGroupReply(void *user, const jr_reply_address_t *reply_to,
                         Jr__Reply *reply)
{
    Hook *hook = static_cast<Hook *>(user);
    Simulation *sim = hook->simulation;
    uint64_t request_id = reply_to->id;
    Bytes bytes(jr__reply__get_packed_size(reply));

    jr__reply__pack(reply, bytes.data());
    sim->Transmit([sim, request_id, bytes] {
        auto found = sim->pending_requests_.find(request_id);
        Jr__Reply *copy;

        if (found == sim->pending_requests_.end()) {
            return;
        }
        copy = jr__reply__unpack(nullptr, bytes.size(), bytes.data());
        OnReply on_reply = found->second;
        sim->pending_requests_.erase(found);
        on_reply(*copy);
        jr__reply__free_unpacked(copy, nullptr);
    });
}

void
Simulation::OnRules(void *user, uint64_t version, const char *text)
{
    Hook *hook = static_cast<Hook *>(user);
    Simulation *sim = hook->simulation;
    Node &node = sim->nodes_[hook->node];
    jr_rules_t *rules = jr_new_rules(node.ctx, text, nullptr);

    if (version < node.rules_version) {
        sim->Fail("rules version of node " + std::to_string(hook->node) +
                  " decreased");
    }
    node.rules_version = version;
    if (rules != nullptr && node.groups[1] != nullptr) {
        jr_group_set_rules(node.groups[1], rules);
    }
    jr_drop_rules(rules);
}

void
Simulation::StartNode(int n, bool init)
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
        options.kind = g == 1                  ? JR_GROUP_LEDGER
                       : variant_.drains_zones ? JR_GROUP_JOBS
                                               : JR_GROUP_RULES;
        options.dispatch.lease_ms = kLeaseMs;
        options.quorum.group = (uint32_t)g;
        options.quorum.self = node.id;
        options.quorum.seed = (uint32_t)RandomInt(1, 1 << 30);
        options.quorum.election_ms = kElectionMs;
        options.quorum.heartbeat_ms = kHeartbeatMs;
        options.coord.n_groups = 1;
        options.coord.seed = (uint32_t)RandomInt(1, 1 << 30);
        options.coord.max_grants = 64;
        options.coord.lease.lease_ms = kLeaseMs;
        options.coord.lease.drift_permille = kDriftPermille;
        options.coord.policy.kind = JR_PLACE_SCORED;
        options.coord.policy.as.scored.candidates = 8;
        options.coord.evict = JR_EVICT_CHEAPEST;
        options.snapshot_every = (uint64_t)RandomInt(20, 200);
        options.hooks = {OnSend, OnGroupReply, OnRules, &hooks_[n][g]};
        node.groups[g] = jr_new_group(node.ctx, &options, node.stores[g],
                                      LocalTime(node.rate));
        if (node.groups[g] == nullptr) {
            Fail("node failed to start: " + std::string(node.ctx->error.text));
        }
    }
    node.alive = node.groups[0] != nullptr && node.groups[1] != nullptr;
}

/* Kills the process: records that were not synced are lost. */
void
Simulation::StopNode(int n)
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
    node.unread.clear();
    node.rules_version = 0;
}

void
Simulation::Pump(int n)
{
    for (int g = 0; g < 2; g++) {
        Node &node = nodes_[n];

        if (node.alive &&
            jr_group_pump(node.groups[g], LocalTime(node.rate)) != JR_OK) {
            StopNode(n);
            node.restart_at = now_ + RandomInt(20, 800);
        }
    }
}

void
Simulation::Deliver(int n, int group, const Bytes &bytes)
{
    Node &node = nodes_[n];

    if (!node.alive) {
        return;
    }
    if (node.frozen_until > now_) {
        node.unread.emplace_back(group, bytes);
        return;
    }
    jr_group_receive(node.groups[group], bytes.data(), bytes.size(),
                     LocalTime(node.rate));
}

void
Simulation::SendRequest(int n, int group, Jr__Request request,
                        OnReply on_reply)
{
    uint64_t request_id = ++last_request_;
    Bytes bytes;

    request.id = request_id;
    request.group = (uint32_t)group;
    bytes.resize(jr__request__get_packed_size(&request));
    jr__request__pack(&request, bytes.data());
    pending_requests_[request_id] = std::move(on_reply);
    Transmit([this, n, group, request_id, bytes] {
        Node &node = nodes_[n];
        jr_reply_address_t reply_to = {};
        Jr__Request *copy;

        if (!node.alive || node.frozen_until > now_) {
            return;
        }
        reply_to.id = request_id;
        copy = jr__request__unpack(nullptr, bytes.size(), bytes.data());
        jr_group_request(node.groups[group], &reply_to, copy,
                         LocalTime(node.rate));
        jr__request__free_unpacked(copy, nullptr);
    });
}

void
Simulation::InjectFaults()
{
    int n = (int)RandomInt(0, kNodes - 1);
    Node &node = nodes_[n];

    if (variant_.drains_zones && RandomBool(0.001)) {
        LosePower();
    }
    if (!RandomBool(0.02)) {
        return;
    }
    faults++;
    switch (RandomInt(0, 9)) {
    case 0: /* kill */
        if (node.alive) {
            StopNode(n);
            node.restart_at = now_ + RandomInt(20, 1500);
        }
        break;
    case 1: /* crash around a sync */
        if (node.alive) {
            jr_memory_store_crash(node.stores[RandomInt(0, 1)],
                                  RandomBool(0.5) ? JR_CRASH_BEFORE_SYNC
                                                  : JR_CRASH_AFTER_SYNC);
        }
        break;
    case 2:
    case 3: /* freeze */
        node.frozen_until = now_ + RandomInt(50, 1500);
        break;
    case 4:
    case 5: /* partition one replica, or end the partition */
        for (int i = 0; i < kNodes; i++) {
            partition_[i] = 0;
        }
        partition_[n] = RandomBool(0.7) ? 1 : 0;
        break;
    case 6: /* lose a disk: one at a time; ends the partition first */
        if (wiped_node_ < 0 && node.alive && RandomBool(0.4)) {
            for (int i = 0; i < kNodes; i++) {
                partition_[i] = 0;
            }
            StopNode(n);
            jr_memory_store_wipe(node.stores[0]);
            jr_memory_store_wipe(node.stores[1]);
            if (!variant_.lost_disk_keeps_its_id) {
                node.id = ++last_node_id_;
                node.joining = true;
                wiped_node_ = n;
            }
            node.restart_at = now_ + RandomInt(50, 500);
        }
        break;
    case 7: { /* freeze a worker */
        Worker &worker = workers_[RandomInt(0, kWorkers - 1)];

        worker.frozen_until = now_ + RandomInt(50, 2500);
        break;
    }
    case 8: /* transfer leadership */
        if (node.alive) {
            jr_group_transfer(node.groups[RandomInt(0, 1)]);
        }
        break;
    default: { /* restart a worker */
        Worker &worker = workers_[RandomInt(0, kWorkers - 1)];

        worker.runs.clear();
        worker.incarnation++;
        worker.awaited_request = 0;
        break;
    }
    }
}

void
Simulation::Heal()
{
    inject_faults_ = false;
    for (int n = 0; n < kNodes; n++) {
        partition_[n] = 0;
        nodes_[n].frozen_until = 0;
        nodes_[n].restart_at = std::min(nodes_[n].restart_at, now_);
        for (int g = 0; g < 2; g++) {
            jr_memory_store_crash(nodes_[n].stores[g], JR_CRASH_NONE);
        }
    }
    for (Worker &worker : workers_) {
        worker.frozen_until = 0;
    }
}

static void
KeepTicket(jr_join_ticket_t *ticket, const Jr__Reply &reply)
{
    if (reply.body_case == JR__REPLY__BODY_JOIN_TICKET) {
        ticket->term = reply.join_ticket->term;
        ticket->config_index = reply.join_ticket->config_index;
    }
}

void
Simulation::StepNodes()
{
    for (int n = 0; n < kNodes; n++) {
        Node &node = nodes_[n];

        if (!node.alive && now_ >= node.restart_at) {
            StartNode(n, false);
        }
        if (!node.alive || node.frozen_until > now_) {
            continue;
        }
        /* After a freeze, messages that arrived meanwhile come first. */
        for (auto &message : node.unread) {
            jr_group_receive(node.groups[message.first], message.second.data(),
                             message.second.size(), LocalTime(node.rate));
        }
        node.unread.clear();
        for (int g = 0; g < 2; g++) {
            jr_group_tick(node.groups[g], LocalTime(node.rate));
        }
        Pump(n);
        if (!node.joining || now_ % 200 != 0 || !node.alive) {
            continue;
        }
        bool done = true;

        for (int g = 0; g < 2; g++) {
            Jr__Member member = JR__MEMBER__INIT;
            Jr__Join join = JR__JOIN__INIT;
            Jr__JoinTicket ticket = JR__JOIN_TICKET__INIT;
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
            join.ticket = &ticket;
            ticket.term = node.tickets[g].term;
            ticket.config_index = node.tickets[g].config_index;
            request.body_case = JR__REQUEST__BODY_JOIN;
            request.join = &join;
            for (int other = 0; other < kNodes; other++) {
                SendRequest(other, g, request,
                            [&node, g](const Jr__Reply &reply) {
                                KeepTicket(&node.tickets[g], reply);
                            });
            }
        }
        if (done) {
            node.joining = false;
            wiped_node_ = -1;
        }
    }
}

void
Simulation::Run(int64_t fault_ms, int64_t recovery_ms)
{
    int64_t settled_at = 0;

    for (; now_ < fault_ms + recovery_ms && violation.empty();
         now_ += kStepMs) {
        if (now_ < fault_ms) {
            InjectFaults();
        }
        else if (inject_faults_) {
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
        if (variant_.drains_zones) {
            StepZoneOperators();
            CheckZones();
        }
        /* Operators retry until at least one rules version is accepted. */
        else if (inject_faults_ || accepted_.empty()) {
            StepOperators();
        }
        CheckRuns();
        if (inject_faults_ || now_ % 100 != 0 || !HasSettled()) {
            continue;
        }
        /* Runs on for 1 s, so that delayed messages still arrive. */
        if (settled_at == 0) {
            settled_at = now_;
        }
        if (now_ - settled_at >= 1000) {
            break;
        }
    }
    if (violation.empty()) {
        CheckEnd();
    }
}

} // namespace driver
