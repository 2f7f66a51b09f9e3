/*
 * A simulation in virtual time of a few replicas, workers and clients. It
 * passes messages between them and injects faults from a seeded random
 * generator. The replicas run the production code; workers, clients and
 * operators are models.
 */
#ifndef JR_GROUP_DRIVER_TEST_H
#define JR_GROUP_DRIVER_TEST_H

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/group.h"
}

namespace driver {

/* Mechanisms that can be disabled, to show that the checks detect it. */
struct Variant {
    bool workers_ignore_leases = false;
    bool leader_waits_too_short = false;
    bool lost_disk_keeps_its_id = false;
    bool syncs_do_nothing = false;
    bool clients_change_keys = false;
    /* Not disabled, but tried: zones are drained, in place of the rules. */
    bool drains_zones = false;
    /* Late copies of these requests say that they have seen everything. */
    bool copies_seem_new = false;
};

constexpr int kNodes = 3;
constexpr int kWorkers = 3;
constexpr int kTasks = 12;
constexpr int64_t kStepMs = 5;
constexpr int64_t kLeaseMs = 600;
constexpr int64_t kElectionMs = 150;
constexpr int64_t kHeartbeatMs = 30;
constexpr int64_t kDriftPermille = 10;

using Bytes = std::vector<uint8_t>;

class Simulation {
  public:
    Simulation(uint32_t seed, Variant variant);
    ~Simulation();

    /*
     * Injects faults for fault_ms, then lets the system recover without
     * faults until it has settled, for at most recovery_ms.
     */
    void Run(int64_t fault_ms, int64_t recovery_ms);

    std::string violation; /* the first violation, empty for none */
    int faults = 0;

  private:
    struct Node {
        jr_ctx_t *ctx = nullptr;
        jr_store_t *stores[2] = {};
        jr_group_t *groups[2] = {};
        uint64_t id = 0;
        jr_join_ticket_t tickets[2] = {}; /* of its groups */
        double rate = 1.0; /* clock rate relative to virtual time */
        bool alive = false;
        bool joining = false;
        int64_t restart_at = 0;
        int64_t frozen_until = 0;
        uint64_t rules_version = 0;
        /* Messages received while frozen, each with its group. */
        std::vector<std::pair<int, Bytes>> unread;
    };
    struct TaskRun {
        uint64_t epoch;
        int64_t deadline;  /* lease end on the worker's clock, ms */
        int64_t remaining; /* run time, ms */
        Jr__WorkerTask__State state;
        int64_t cpu; /* cpu_milli */
    };
    struct Worker {
        std::string name;
        double rate = 1.0;
        int64_t frozen_until = 0;
        int64_t next_heartbeat = 0;
        int64_t reply_deadline = 0;
        uint64_t awaited_request = 0;
        int incarnation = 0;
        int leader = -1; /* last known leader node, -1 for none */
        std::map<uint64_t, TaskRun> runs;
    };
    struct Client {
        std::string key;
        uint64_t task = 0;
        int64_t next = 0;
        int tries = 0;
        bool cancel = false;
    };
    struct Operator {
        uint64_t version = 1;
        int64_t next = 0;
        std::string text;
    };
    /* Drains one zone and takes it back; one request at a time. */
    struct ZoneOperator {
        std::string zone;
        bool drains = false; /* the latest request */
        int number = 0;      /* of it */
        bool is_acked = true;
        int64_t next = 0;
    };
    using OnReply = std::function<void(const Jr__Reply &)>;
    struct Event {
        int64_t at;
        uint64_t order;
        std::function<void()> run;
        bool
        operator<(const Event &o) const
        {
            return at != o.at ? at > o.at : order > o.order;
        }
    };

    static void OnSend(void *user, const jr_member_t *to, const uint8_t *b,
                       size_t len);
    static void OnGroupReply(void *user, const jr_reply_address_t *reply_to,
                             Jr__Reply *reply);
    static void OnRules(void *user, uint64_t version, const char *text);

    struct Hook {
        Simulation *simulation;
        int node;
        int group;
    };

    bool
    RandomBool(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(rng_) < p;
    }
    int64_t
    RandomInt(int64_t lo, int64_t hi)
    {
        return std::uniform_int_distribution<int64_t>(lo, hi)(rng_);
    }
    int64_t
    LocalTime(double rate) const
    {
        return (int64_t)((double)now_ * rate);
    }
    void
    Fail(const std::string &what)
    {
        if (violation.empty()) {
            violation = "at " + std::to_string(now_) + " ms: " + what;
        }
    }
    void
    Schedule(int64_t delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++event_number_, std::move(run)});
    }
    /* Delivers over a network that may drop, duplicate and delay. */
    void Transmit(std::function<void()> run);
    bool
    IsPartitioned(int a, int b) const
    {
        return a >= 0 && b >= 0 && partition_[a] != partition_[b];
    }

    void StartNode(int n, bool init);
    void StopNode(int n);
    void Pump(int n);
    void Deliver(int n, int group, const Bytes &bytes);
    void SendRequest(int node, int group, Jr__Request request,
                     OnReply on_reply);
    void InjectFaults();
    void Heal();
    void StepNodes();
    void StepWorkers();
    void StepClients();
    void StepOperators();
    void StepZoneOperators();
    void SendZoneRequest(int n, const ZoneOperator &op);
    void ForwardZoneRequest(const ZoneOperator &op, uint64_t seen);
    void LosePower();
    int Leader();
    void CheckZones();
    void CheckZonesAtEnd();
    bool HaveZonesSettled();
    void SendHeartbeat(Worker &worker);
    void OnHeartbeatReply(Worker &worker, const Jr__HeartbeatReply &reply,
                          int64_t sent_local);
    void CheckRuns();
    void CheckEnd();
    void CheckAgreement();
    bool HasSettled();

    Variant variant_;
    std::mt19937 rng_;
    int64_t now_ = 0;
    bool inject_faults_ = true;
    uint64_t event_number_ = 0;
    uint64_t last_request_ = 0;
    uint64_t last_node_id_ = 100;
    Node nodes_[kNodes];
    Hook hooks_[kNodes][2];
    Worker workers_[kWorkers];
    std::vector<Client> clients_;
    Operator operators_[2];
    ZoneOperator zone_operators_[2];
    uint64_t newest_term_ = 0; /* of group 0 */
    int partition_[kNodes] = {};
    std::priority_queue<Event> events_;
    std::map<uint64_t, OnReply> pending_requests_;
    std::map<uint64_t, std::string> accepted_; /* rules by version */
    /* Worker incarnation that started each task and epoch. */
    std::map<std::pair<uint64_t, uint64_t>, std::string> starts_;
    std::map<std::string, std::set<uint64_t>> task_ids_by_key_;
    /* Node that lost its disk and has not rejoined yet, -1 for none. */
    int wiped_node_ = -1;
};

} // namespace driver

#endif
