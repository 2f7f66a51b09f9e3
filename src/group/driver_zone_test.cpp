/* Operators of the simulation that drain zones, and what they may rely on. */
#include "driver_test.h"

namespace driver {

constexpr int64_t kRepeatMs = 250;
constexpr int64_t kLateCopyMinMs = 500;
constexpr int64_t kLateCopyMaxMs = 4000;

/* All disks keep what was synced. */
void
Simulation::LosePower()
{
    faults++;
    for (int n = 0; n < kNodes; n++) {
        if (nodes_[n].alive) {
            StopNode(n);
            nodes_[n].restart_at = now_ + RandomInt(20, 800);
        }
    }
}

/* The process that took the request in does not know who leads. */
void
Simulation::ForwardZoneRequest(const ZoneOperator &op, uint64_t seen)
{
    Jr__JobZoneRequest zone = JR__JOB_ZONE_REQUEST__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    std::string name = op.zone;
    ZoneOperator *sender = &zone_operators_[op.zone == "b"];
    int number = op.number;

    zone.zone = name.data();
    zone.drains = op.drains;
    zone.seen = seen;
    command.body_case = JR__JOB_COMMAND__BODY_ZONE;
    command.zone = &zone;
    request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
    request.job_command = &command;
    for (int n = 0; n < kNodes; n++) {
        SendRequest(n, 0, request,
                    [this, sender, number](const Jr__Reply &reply) {
                        if (reply.code == JR_OK && sender->number == number &&
                            !sender->is_acked) {
                            sender->is_acked = true;
                            sender->next = now_ + RandomInt(100, 1500);
                        }
                    });
    }
}

/*
 * A process takes the request in, and a copy of what it forwards is held up.
 * One that is frozen refuses the request later, as its operator has gone.
 */
void
Simulation::SendZoneRequest(int n, const ZoneOperator &op)
{
    ZoneOperator copy = op;

    Transmit([this, n, copy] {
        Node &node = nodes_[n];
        uint64_t seen;

        if (!node.alive || node.frozen_until > now_) {
            return;
        }
        seen = jr_zones_accepted(jr_group_jobs(node.groups[0])->zones,
                                 copy.zone.c_str());
        ForwardZoneRequest(copy, seen);
        if (!inject_faults_ || !RandomBool(0.3)) {
            return;
        }
        Schedule(RandomInt(kLateCopyMinMs, kLateCopyMaxMs), [=] {
            const Node &late = nodes_[n];
            bool is_known = variant_.copies_seem_new && late.alive;

            ForwardZoneRequest(
                copy, is_known ? jr_zones_accepted(
                                     jr_group_jobs(late.groups[0])->zones,
                                     copy.zone.c_str())
                               : seen);
        });
    });
}

void
Simulation::StepZoneOperators()
{
    for (ZoneOperator &op : zone_operators_) {
        if (now_ < op.next || (op.is_acked && !inject_faults_)) {
            continue;
        }
        if (op.is_acked) {
            op.is_acked = false;
            op.number++;
            op.drains = RandomBool(0.8) ? !op.drains : op.drains;
        }
        op.next = now_ + kRepeatMs;
        SendZoneRequest((int)RandomInt(0, kNodes - 1), op);
    }
}

/*
 * The leader of the newest term that any node has had, if it has all entries;
 * else -1. An earlier one that was deposed may not know it yet.
 */
int
Simulation::Leader()
{
    int leader = -1;

    for (int n = 0; n < kNodes; n++) {
        jr_quorum_t *q =
            nodes_[n].alive ? jr_group_quorum(nodes_[n].groups[0]) : nullptr;

        if (q != nullptr && jr_quorum_term(q) >= newest_term_) {
            leader = jr_quorum_is_caught_up(q)          ? n
                     : jr_quorum_term(q) > newest_term_ ? -1
                                                        : leader;
            newest_term_ = jr_quorum_term(q);
        }
    }
    return leader;
}

/* An acknowledged request is in force until the next one is sent. */
void
Simulation::CheckZones()
{
    int leader = Leader();

    for (const ZoneOperator &op : zone_operators_) {
        if (leader < 0 || !op.is_acked || op.number == 0) {
            continue;
        }
        if (jr_zones_is_drained(jr_group_jobs(nodes_[leader].groups[0])->zones,
                                op.zone.c_str()) != op.drains) {
            Fail("zone " + op.zone + ": request " + std::to_string(op.number) +
                 (op.drains ? " to drain it" : " to take it back") +
                 " was acknowledged, and is not in force on node " +
                 std::to_string(leader));
        }
    }
}

/* Late copies may still arrive, and raise the counts at one node first. */
void
Simulation::CheckZonesAtEnd()
{
    jr_group_t *first = nodes_[0].groups[0];

    for (const ZoneOperator &op : zone_operators_) {
        const char *zone = op.zone.c_str();

        for (int n = 0; n < kNodes; n++) {
            jr_group_t *group = nodes_[n].groups[0];
            const jr_zones_t *zones = jr_group_jobs(group)->zones;
            bool has_same_log = jr_quorum_applied(jr_group_quorum(group)) ==
                                jr_quorum_applied(jr_group_quorum(first));
            bool differs =
                has_same_log &&
                jr_zones_accepted(zones, zone) !=
                    jr_zones_accepted(jr_group_jobs(first)->zones, zone);

            if (differs || (op.number > 0 &&
                            jr_zones_is_drained(zones, zone) != op.drains)) {
                Fail("zone " + op.zone + ": node " + std::to_string(n) +
                     " differs");
            }
        }
    }
}

/* All requests are acknowledged, and on all nodes. */
bool
Simulation::HaveZonesSettled()
{
    for (Node &node : nodes_) {
        jr_quorum_t *q =
            node.alive ? jr_group_quorum(node.groups[0]) : nullptr;

        if (q == nullptr || jr_quorum_applied(q) != jr_quorum_last(q)) {
            return false;
        }
    }
    return zone_operators_[0].is_acked && zone_operators_[1].is_acked;
}

} // namespace driver
