/*
 * Control processes that carry the leader's orders to the simulated workers,
 * in virtual time: the steps of src/carrier, with processes that are frozen,
 * killed and restarted, and connections that delay, hold or lose messages.
 */
#ifndef JR_DISPATCH_CARRIERS_TEST_H
#define JR_DISPATCH_CARRIERS_TEST_H

#include <memory>

#include "fleet_test.h"

extern "C" {
#include "jayrelay/carrier.h"
}

class Carriers : public FleetRelay {
  public:
    Carriers(uint32_t seed, Fleet *fleet);
    ~Carriers() override;

    void Take(const jr_order_t &order) override;
    void Flush() override;
    void Answered(int sender, uint64_t serial,
                  const jr_answer_t &answer) override;
    void Reached(uint64_t serial) override;
    void Reported(uint64_t serial, jr_answer_kind_t kind) override;
    void Step() override;

    /* One fault, or the end of all cuts. */
    void Disturb();
    /* Another process leads, under a higher fencing token. */
    void ChangeLeader();
    /* All processes run and all cuts end. */
    void Heal();
    size_t Counter(jr_counter_t counter) const;

    size_t n_carried = 0; /* orders that carriers sent */
    size_t n_fenced = 0;  /* of those, refused as an earlier leader's */
    /* Disable a safety mechanism, to test that the checks find violations. */
    bool ignores_age = false;        /* carriers send stale orders */
    bool repeats_orders = false;     /* carriers send an order again */
    bool takes_late_answers = false; /* of orders that were given up */
    bool keeps_waiting = false;      /* the leader does not give orders up */
    bool hides_unknown = false; /* carriers say that the order was not sent */

  private:
    struct Session {
        int leader; /* number of the process that gave the orders */
        std::vector<std::vector<uint8_t>> answers;
    };
    struct Process {
        Carriers *all;
        std::string name;
        std::string zone;
        int life = 0;
        bool is_up = false;
        int64_t returns_at = 0;
        int64_t frozen_until = 0;
        int64_t pinged_at = 0;
        int64_t clock_at_boot = 0; /* its clock when its host started */
        int64_t booted_at = 0;
        int64_t clock_permille = 1000;
        uint64_t session = 0;
        jr_ctx_t *ctx = nullptr;
        jr_carriers_t *carriers = nullptr;
        jr_carry_book_t *book = nullptr;
        /* As the leader: packed orders for each carrier. */
        std::map<int, std::vector<std::vector<uint8_t>>> batches;
        /* As a carrier. */
        std::map<uint64_t, Session> sessions;
        std::map<uint64_t, uint64_t> open; /* order: its session */
        std::deque<std::pair<uint64_t, std::vector<uint8_t>>> held;
    };
    struct Message {
        int64_t due;
        int from, to;
        bool is_orders;
        std::vector<uint8_t> bytes;
    };
    struct Link {
        int64_t cut_until = 0;
        bool loses = false; /* else messages wait for the end of the cut */
        int64_t last_due = 0;
    };
    struct Order {
        int64_t given_at = 0;
        size_t n_sent = 0;
        size_t n_reported = 0;
        bool is_reached = false;
        bool is_not_sent = false; /* its outcome, as reported */
    };

    static void OnOutcome(void *user, uint64_t serial,
                          const jr_answer_t *answer, int64_t now);
    void Boot(Process &process, bool is_host_new);
    void Kill(int i);
    bool Runs(int i) const;
    void DelayAll(int from, int to, int64_t ms);
    int64_t Clock(const Process &process) const;
    FleetWay WayTo(int process, const std::string &worker);
    void SendMessage(int from, int to, bool is_orders,
                     std::vector<uint8_t> bytes);
    void SendOrders(int to, const std::vector<std::vector<uint8_t>> &orders);
    void SendAnswers(int from, uint64_t session);
    void Deliver(int to);
    void OnOrders(int to, int from, const Jr__OrderBatch &batch);
    void OnAnswers(int to, Jr__AnswerBatch *batch);
    void Carry(int i, uint64_t session, const ProtobufCBinaryData &packed,
               int64_t heard_ms);
    void SendCarried(int i, const jr_order_t &order);
    void QueueAnswer(Process &process, uint64_t session, uint64_t serial,
                     const jr_answer_t &answer);
    void StepProcess(int i);
    void Tick(int i);
    void CheckSending(const jr_order_t &order, bool is_carried);
    void CheckLateOutcomes();
    void AddViolation(uint64_t serial, const std::string &what);
    bool Chance(int percent);
    int64_t UpTo(int64_t max);

    Fleet *fleet_;
    std::mt19937 rng_;
    std::vector<std::unique_ptr<Process>> processes_;
    int leader_ = 0;
    size_t n_workers_; /* as the choice of a carrier sees it */
    std::deque<Message> messages_;
    std::map<std::pair<int, int>, Link> links_;
    std::map<std::pair<int, std::string>, std::pair<int64_t, FleetWay>> cuts_;
    std::map<uint64_t, Order> orders_;
    std::set<uint64_t> open_; /* of the present leader */
    int64_t stalled_at_ = 0;  /* the leader, most lately */
};

#endif
