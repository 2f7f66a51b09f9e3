/* Simulates workers in virtual time for tests of the dispatcher. */
#ifndef JR_DISPATCH_FLEET_TEST_H
#define JR_DISPATCH_FLEET_TEST_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "jayrelay/dispatch.h"
}

constexpr int64_t FLEET_LEASE_MS = 3000;
/* Prefixes of the queues; the second one has priority 2. */
constexpr const char *FLEET_URGENT_QUEUE = "/q/";
constexpr const char *FLEET_OTHER_QUEUE = "/other/";

/* Identifies a task, whatever its attempt. */
struct TaskName {
    uint64_t job;
    uint32_t occurrence, step, index;

    bool
    operator<(const TaskName &other) const
    {
        return std::tie(job, occurrence, step, index) <
               std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

struct FleetRun {
    uint32_t attempt;
    int64_t ends_at;
    int64_t stops_at; /* 0: no stop was ordered */
    bool will_fail;
    int64_t cpu; /* thousandths of a processor */
    int64_t started_at;
    bool is_stale;       /* its start was sent to an earlier incarnation */
    uint32_t pace = 100; /* percent of full pace */
};

struct FleetEnd {
    uint64_t number;
    TaskName task;
    uint32_t attempt;
    Jr__JobEnd__How how;
    bool is_void; /* the lease lapsed before the end was acknowledged */
    int64_t ended_at;
    bool is_stale; /* as that of its run */
};

/* An acknowledged end, and what began after it. */
struct FleetHistory {
    std::vector<int64_t> starts;
    std::vector<int64_t> failed; /* when acknowledged failed runs ended */
    std::vector<int64_t> done;
};

/* What the leader has looked at. */
struct FleetLooks {
    uint64_t passes;
    uint64_t examined; /* workers, as a place for a task */
    uint64_t runs;
    uint64_t workers; /* for an order that is due */
};

/* A stop order for a run of a service. */
struct FleetStop {
    uint32_t attempt;
    uint64_t fence; /* a worker that has received a higher one refuses it */
};

/* A capacity that a worker no longer has. */
struct FleetCapacity {
    int64_t cpu;
    int64_t until;
};

struct FleetWorker {
    std::string id;
    std::string zone = "z";
    std::string label;           /* "": none */
    int64_t incarnation = 1;     /* its start time */
    int64_t cpu = 4000;          /* thousandths of a processor */
    int64_t run_permille = 1000; /* run times there, of those elsewhere */
    int fails = 0;               /* percent of its runs */
    int refuses = 0;             /* percent of its starts, as unhealthy */
    int64_t cold_until = 0;      /* runs take three times as long until then */
    bool hides_cold = false;     /* its check-ins do not say so */
    bool checks_capacity = true; /* refuses a start that does not fit */
    std::vector<FleetCapacity> past_capacities;
    uint64_t sequence = 0;   /* of its latest check-in */
    int64_t clock_start = 0; /* its clock at the start of its incarnation */
    int64_t clock_permille = 1000; /* rate of its clock */
    bool is_up = true;
    bool is_replaced = false; /* another worker has its address */
    bool is_partitioned = false;
    bool is_draining = false;
    int64_t returns_at = 0; /* a crashed worker, 0: never */
    int64_t leaves_at = 0;  /* announces that it leaves, 0: never */
    int64_t exits_at = 0;   /* 0: never */
    uint64_t fence = 0;     /* highest fencing token received */
    int64_t expires_ms = 0; /* end of the lease, on the worker's clock */
    std::map<TaskName, FleetRun> running;
    /* Attempts up to this one ended or were stopped: they can't start. */
    std::map<TaskName, uint32_t> tombstones;
    std::deque<FleetEnd> ended; /* reported until known to be in the log */
    uint64_t last_end_number = 0;
};

/* Probabilities in percent, and the failure limit of a task. */
struct FleetFaults {
    int lost_answer = 0; /* order executed, but its answer is lost */
    int late = 0;        /* no answer, order executed seconds later */
    int unreached = 0;   /* nothing is sent */
    int unhealthy = 0;   /* the worker refuses, and does nothing */
    int slow_answer = 0; /* overtaken by answers to later orders */
    int task_fails = 0;
    int late_check_in = 0; /* arrives seconds later, after newer ones */
    int max_failures = 3;
};

/* See jr_dispatch_options_t. */
struct FleetTimes {
    int64_t lease_ms = FLEET_LEASE_MS;
    int64_t failover_ms = 0;
    int64_t order_age_ms = 0;
};

/* What works on the way between the sender of an order and its worker. */
enum class FleetWay { kOpen, kNoOrders, kNoAnswers };

constexpr int FLEET_LEADER = -1; /* sends an order itself */

/* Stands between the dispatcher and the workers; see carriers_test.h. */
class FleetRelay {
  public:
    virtual ~FleetRelay() = default;
    /* An order of the dispatcher, to be given to Fleet::Send(). */
    virtual void Take(const jr_order_t &order) = 0;
    /* The dispatcher has no more orders for now. */
    virtual void Flush() = 0;
    /* The outcome of an order that @sender sent. */
    virtual void Answered(int sender, uint64_t serial,
                          const jr_answer_t &answer) = 0;
    /* An order reached its worker. */
    virtual void Reached(uint64_t serial) = 0;
    /* The dispatcher, or an earlier leader, is told the outcome. */
    virtual void Reported(uint64_t serial, jr_answer_kind_t kind) = 0;
    virtual void Step() = 0;
};

class Fleet {
  public:
    Fleet(uint32_t seed, size_t n_workers, FleetFaults faults = {},
          FleetTimes times = {});
    ~Fleet();

    void Submit(uint64_t id, const std::vector<Jr__JobStep> &steps,
                uint32_t repeats = 0, int64_t interval_ms = 0,
                const char *prefix = FLEET_URGENT_QUEUE);
    void Cancel(uint64_t id);
    /* Drains a zone, or takes it back. */
    void DrainZone(const char *zone, bool drains = true);
    void Run(int64_t ms);
    /* Another leader takes over; pending proposals are applied or lost. */
    void ChangeLeader(bool keeps_proposals);
    /* A new incarnation under the same id, at once. */
    void Restart(size_t worker);
    /* The same, without a check-in. */
    void RestartUnheard(size_t worker);
    /* Ends without notice; Restart() brings it back. */
    void Crash(size_t worker);
    /* A crashed worker's address gets a worker with a new id. */
    void Replace(size_t worker);
    /* Announces that it drains, later that it leaves, and exits. */
    void Drain(size_t worker);
    void SetPartitioned(size_t worker, bool is_partitioned);
    /* The leader does nothing; what workers do and send goes on. */
    void Stall(int64_t ms);
    void CheckIn(size_t worker, bool draining = false);
    /* Shrinks or grows, which the next check-in says; what runs stays. */
    void SetCapacity(size_t worker, int64_t cpu);
    /* It runs slowly for @ms, and says so in its check-ins. */
    void MakeCold(size_t worker, int64_t ms);
    /* Another writer sends a whole check-in under the id of the worker. */
    void ForgeCheckIn(size_t worker, int64_t incarnation,
                      bool draining = false);
    /* The same for a leave request. */
    void ForgeLeave(size_t worker, int64_t incarnation);
    /* A check-in as it is now, which arrives later. */
    void DelayCheckIn(size_t worker, int64_t ms);

    jr_job_state_t State(uint64_t id);
    size_t Running(uint64_t id) const;
    /* Workers that crashed under the task. */
    size_t CrashesUnder(const TaskName &task) const;
    /* Workers that are up and get tasks. */
    size_t Up() const;
    /* Starts that the worker carried out, of all its incarnations. */
    size_t StartsOn(size_t worker) const;
    size_t StartsOf(const TaskName &task) const;
    uint64_t Counter(jr_counter_t counter) const;
    const jr_histogram_data_t *Histogram(jr_histogram_t histogram) const;
    bool IsStalled() const;
    /* Sends an order, which the dispatcher gave at @given_at, to its worker.
     */
    void Send(const jr_order_t &order, int64_t given_at, int sender,
              FleetWay way);
    /* Tells the dispatcher the outcome, unless the order was not its own. */
    void Report(uint64_t serial, const jr_answer_t &answer);
    /* Of the leader; part of the serials that a relay sees. */
    uint64_t Epoch() const;
    static uint64_t EpochOf(uint64_t serial);
    /* A run that no order asked for, as if an order came late. */
    void StartStray(size_t worker, const TaskName &task, uint32_t attempt,
                    bool will_fail);

    int64_t now = 1000;
    std::vector<FleetWorker> workers;
    std::vector<std::string> violations;
    FleetFaults faults;
    int64_t task_ms = 500;
    uint64_t long_running_job = 0; /* its tasks run until they are stopped */
    /* When set, gives the run time of each task instead of task_ms. */
    std::function<int64_t(const TaskName &)> run_ms_of;
    std::set<TaskName> crashing;   /* crash each worker that runs them */
    int64_t crash_after_ms = 10;   /* from their start */
    int64_t crashed_for_ms = 3000; /* then the worker comes back */
    int64_t log_delay_ms = 20;     /* from a proposal to its application */
    uint32_t reported_percent = 0; /* by every run; 0: its actual progress */
    uint32_t reported_gauge = 0;
    /* When set, gives the gauge of each run instead of reported_gauge. */
    std::function<uint32_t(const FleetWorker &, const TaskName &)> gauge_of;
    /* Disable a safety mechanism, to test that the checks find violations. */
    bool ignores_fences = false;
    bool ignores_leases = false;
    bool ignores_tombstones = false;
    bool forgets_drains = false; /* of zones, as if not in the log */
    bool cuts_refuse = false;    /* connections into a partition are refused */
    /* Orders that are carried out late reach workers that are cut off. */
    bool late_orders_pass_cuts = false;
    /* Report also what a start sent to an earlier incarnation begins. */
    bool checks_stale_starts = false;
    /*
     * Report also a start that is sent to a worker without the capacity by the
     * log. For histories without restarts and best-effort tasks.
     */
    bool checks_sent_starts = false;
    /*
     * AVAIL: no task of the first step of this job, a service, is stopped
     * while as many others are known to be away. Whatever the job itself
     * says; 0: not checked.
     */
    uint64_t checked_service = 0;
    uint32_t checked_may_miss = 0;
    /* What the leader gets done in a step; 0: everything. */
    size_t orders_per_step = 0;
    size_t answers_per_step = 0;
    /*
     * Workers that the leader examines in a millisecond, in which it does
     * nothing else; 0: without an end. The time that this took so far.
     */
    uint64_t examined_per_ms = 0;
    int64_t examining_ms = 0;
    /*
     * The leader gets so much done in a millisecond, by what orders, answers
     * and passes cost (see fleet_leader_test.cpp); 0: all at once.
     */
    uint64_t work_per_ms = 0;
    FleetRelay *relay = nullptr; /* none: orders go to the workers directly */
    bool has_churn = false;      /* for the histories: workers come and go */
    bool has_stalls = false; /* for the histories: the leader stands still */
    /* For the histories: workers restart, and are cut off soon after. */
    bool has_recuts = false;
    jr_jobs_t *jobs;
    jr_dispatch_t *dispatch;

  private:
    struct SentOrder {
        int64_t due;        /* arrival at the worker */
        int64_t give_up_at; /* without an answer: the outcome is unknown */
        int64_t timeout_ms; /* the sender waits for an answer */
        bool is_answered;   /* the leader will receive the answer */
        jr_order_kind_t kind;
        int sender; /* FLEET_LEADER, or a number of the relay */
        uint64_t serial;
        std::string worker;
        uint64_t fence;
        Jr__JobRun run;
        int64_t expires_ms;
        uint64_t ends_seen;
        int64_t wait_ms;
        uint32_t pace;
        int64_t received_at;
        bool is_processed; /* executed, or lost on the way */
        int64_t sent_at;
        jr_answer_kind_t answer;
        bool is_refused;
        int64_t answer_delay;
        int64_t answer_at; /* 0: not answered yet */
        int64_t clock_ms;
        int64_t incarnation;
        std::vector<jr_running_t> running;
        std::vector<jr_ended_t> ended;
    };
    struct DelayedCheckIn {
        int64_t due;
        std::vector<uint8_t> info;
    };
    struct Proposal {
        int64_t due;
        std::vector<uint8_t> bytes;
    };

    std::vector<uint8_t> PackCheckIn(size_t worker);
    /* A check-in arrives at the leader. */
    void ReceiveCheckIn(const std::vector<uint8_t> &info);
    void DeliverCheckIns();
    void Step();
    void StepLeader();
    bool MayTakeAnswer(const SentOrder &sent);
    void ChooseFaults(SentOrder &sent, FleetWay way);
    void TakeCommands();
    /* As TakeCommands(), which takes the leader time. */
    void SpendOnCommands();
    /* Adds what the leader looked at in the present turn. */
    void CountWork();
    /* The turn of the leader took as long as its work. */
    void SpendTurn();
    void ApplyDue();
    /* A command that is in the log since @at. */
    void ApplyCommand(const std::vector<uint8_t> &bytes, int64_t at);
    bool MayTakeOrder(size_t n) const;
    void TakeOrders();
    void DeliverOrders();
    void AdvanceWorkers();
    /* Carries an order out, or loses it; true when it needs no more work. */
    bool Handle(SentOrder &sent, FleetWorker &worker);
    void Receive(SentOrder &sent, FleetWorker &worker);
    void FillAnswer(SentOrder &sent, const FleetWorker &worker);
    void GiveAnswer(const SentOrder &sent, jr_answer_kind_t kind);
    void Extend(FleetWorker &worker, int64_t expires_ms);
    void Acknowledge(FleetWorker &worker, uint64_t up_to);
    void AdvanceLeaving(size_t worker);
    void AdvanceCrashes(size_t worker);
    /* A start of a task under which workers crashed. */
    void CheckCrashes(const TaskName &task);
    jr_answer_kind_t Execute(SentOrder &sent, FleetWorker &worker);
    jr_answer_kind_t ExecuteStart(SentOrder &sent, FleetWorker &worker);
    void EndRun(FleetWorker &worker, const TaskName &task,
                Jr__JobEnd__How how);
    void Propose(Jr__JobCommand *command);
    void RecordEnds(const Jr__JobEnds *ends);
    void CheckCapacity();
    /* A start is sent; its worker may have shrunk, by what the log says. */
    void CheckCapacityAtSend(const jr_order_t &order);
    /* A start brings the worker to @used thousandths of a processor. */
    void CheckCapacityAtStart(const SentOrder &sent, const FleetWorker &worker,
                              int64_t used);
    void CheckDoubles();
    /* A start is sent: not to a worker in a drained zone. */
    void CheckDrain(const jr_order_t &order, int sender);
    /* The dispatcher has ordered a stop. */
    void CheckAvailability(const jr_order_t &order);
    void NoteAway();
    /* Is the run being stopped, or will it be? */
    bool IsStopped(const FleetWorker &worker, const TaskName &task,
                   const FleetRun &run) const;
    void CheckHistory(const TaskName &task);
    void CheckStart(const SentOrder &sent, const FleetWorker &worker);
    void AddViolation(const std::string &what);
    /* Writes an event to standard error when JR_TRACE is set. */
    void Trace(const char *what, const std::string &worker,
               const TaskName &task, uint32_t attempt) const;
    bool Chance(int percent);
    /* Run time of a task that begins there now. */
    int64_t RunTime(const FleetWorker &worker) const;
    /* When a run that begins there now will end. */
    int64_t EndsAt(const FleetWorker &worker, const TaskName &task) const;
    int64_t SlowClock();
    int64_t WorkerClock(const FleetWorker &worker) const;
    FleetWorker *FindWorker(const std::string &id);

    jr_ctx_t *ctx_;
    FleetTimes times_;
    std::mt19937 rng_;
    size_t allowed_failures_;
    uint64_t fence_ = 1;
    uint64_t epoch_ = 0; /* number of leader changes, part of serials */
    int64_t stalled_until_ = 0;
    size_t answers_in_step_ = 0;
    FleetLooks looks_ = {}; /* counted so far */
    uint64_t work_ = 0; /* of the present turn, and less than 1 ms before */
    std::deque<Proposal> proposals_;
    std::vector<DelayedCheckIn> check_ins_;
    std::vector<SentOrder> sent_orders_;
    std::map<TaskName, size_t> starts_;
    std::map<std::string, size_t> starts_on_;
    std::set<TaskName> done_; /* tasks whose end is in the log */
    /* Attempts whose failures are in the log. */
    std::map<TaskName, std::set<uint32_t>> failed_;
    std::map<TaskName, FleetHistory> histories_;
    std::set<TaskName> doubled_; /* already reported */
    std::map<TaskName, size_t> crashes_;
    std::map<std::string, int64_t> drained_; /* zone: in the log since */
    /* Tasks of the checked service that do not run: since when. */
    std::map<TaskName, int64_t> away_;
    std::map<TaskName, FleetStop> stopped_; /* stops that were ordered */
    std::map<TaskName, uint32_t> began_;    /* latest attempts that ran */
    /* Starts after the third crash. */
    std::map<TaskName, size_t> starts_after_crashes_;
};

Jr__JobStep MakeStep(uint32_t count, uint32_t cpu = 1000);
TaskName NameOf(const Jr__JobRun &run);
/* For messages: "task JOB.OCCURRENCE.STEP.INDEX". */
std::string TextOf(const TaskName &task);

#endif
