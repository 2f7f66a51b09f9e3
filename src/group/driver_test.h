/*
 * A small driver for histories in virtual time: it hands messages between
 * a few replicas, workers and clients and injects faults from a seed.
 * Everything that decides is the production code.
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

/* Mechanisms that can be switched off, to see the checks go red. */
struct Variant {
    bool workers_ignore_leases = false;
    bool leader_waits_too_short = false;
    bool lost_disk_keeps_its_id = false;
    bool syncs_do_nothing = false;
    bool clients_change_keys = false;
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

class World {
  public:
    World(uint32_t seed, Variant variant);
    ~World();

    /* Faults for a while, then none until all is quiet. */
    void Run(int64_t fault_ms, int64_t heal_ms);

    std::string violation; /* the first one, empty for none */
    int faults = 0;

  private:
    struct Node {
        jr_ctx_t *ctx = nullptr;
        jr_store_t *stores[2] = {};
        jr_group_t *groups[2] = {};
        uint64_t id = 0;
        double rate = 1.0; /* of its clock */
        bool alive = false;
        bool joining = false;
        int64_t back_at = 0;
        int64_t frozen_until = 0;
        uint64_t rules_version = 0;
        std::vector<std::pair<int, Bytes>> held; /* while it is frozen */
    };
    struct Run_ {
        uint64_t epoch;
        int64_t deadline; /* by the worker's clock */
        int64_t left;
        Jr__WorkerTask__State state;
        int64_t cpu;
    };
    struct Worker {
        std::string name;
        double rate = 1.0;
        int64_t frozen_until = 0;
        int64_t next_heartbeat = 0;
        int64_t waiting_until = 0;
        uint64_t waiting_for = 0;
        int incarnation = 0;
        int leader = -1; /* node that led when last heard of */
        std::map<uint64_t, Run_> runs;
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
    static void OnReplyHook(void *user, const jr_ticket_t *ticket,
                            Jr__Reply *reply);
    static void OnRules(void *user, uint64_t version, const char *text);

    struct Hook {
        World *world;
        int node;
        int group;
    };

    bool
    Chance(double p)
    {
        return std::uniform_real_distribution<>(0, 1)(rng_) < p;
    }
    int64_t
    Pick(int64_t lo, int64_t hi)
    {
        return std::uniform_int_distribution<int64_t>(lo, hi)(rng_);
    }
    int64_t
    Local(double rate) const
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
    At(int64_t delay, std::function<void()> run)
    {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    /* Deliver over a network that may lose, repeat and delay. */
    void Carry(std::function<void()> run);
    bool
    Cut(int a, int b) const
    {
        return a >= 0 && b >= 0 && side_[a] != side_[b];
    }

    void StartNode(int n, bool init);
    void StopNode(int n);
    void Pump(int n);
    void Deliver(int n, int group, const Bytes &bytes);
    void Ask(int node, int group, Jr__Request request, OnReply on_reply);
    void InjectFaults();
    void Heal();
    void StepNodes();
    void StepWorkers();
    void StepClients();
    void StepOperators();
    void SendHeartbeat(Worker &worker);
    void OnHeartbeatReply(Worker &worker, const Jr__HeartbeatReply &reply,
                          int64_t sent_local);
    void CheckRuns();
    void CheckEnd();
    void CheckAgreement();
    bool IsQuiet();

    Variant variant_;
    std::mt19937 rng_;
    int64_t now_ = 0;
    bool faulty_ = true;
    uint64_t order_ = 0;
    uint64_t next_ask_ = 0;
    uint64_t next_id_ = 100;
    Node nodes_[kNodes];
    Hook hooks_[kNodes][2];
    Worker workers_[kWorkers];
    std::vector<Client> clients_;
    Operator operators_[2];
    int side_[kNodes] = {};
    std::priority_queue<Event> events_;
    std::map<uint64_t, OnReply> asks_;
    std::map<uint64_t, std::string> accepted_; /* rules by version */
    std::map<std::pair<uint64_t, uint64_t>, std::string> starts_;
    std::map<std::string, std::set<uint64_t>> ids_of_key_;
    int wiped_ = -1; /* node whose disk was lost and is not replaced yet */
};

} // namespace driver

#endif
