/* Measures the cost of scheduling decisions by the number of workers. */
#include <benchmark/benchmark.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jayrelay/carrier.h"
#include "jayrelay/dispatch.h"
}

namespace {

constexpr int64_t kLeaseMs = 6000;
constexpr uint32_t kCpuMilli = 64000;
constexpr int64_t kHoldMs = 1500;
/* Of the site of PassOfALargeSite. */
constexpr size_t kSiteWorkers = 1100;
constexpr uint32_t kSiteCpuMilli = 16000;

/* A leader whose workers have all answered; commands are applied at once. */
class Leader {
  public:
    /* Every other worker has half as many processors more, if so wanted. */
    explicit Leader(size_t n_workers, uint32_t cpu_milli = kCpuMilli,
                    bool is_mixed = false)
        : cpu_milli_(cpu_milli), is_mixed_(is_mixed)
    {
        jr_dispatch_options_t options = {};

        options.lease_ms = kLeaseMs;
        options.drift_permille = 20;
        options.hold_wait_ms = kHoldMs;
        options.far_permille = 2000;
        ctx_ = jr_new_ctx("bench", nullptr);
        jobs_ = jr_new_jobs(ctx_);
        dispatch_ = jr_new_dispatch(ctx_, &options, jobs_);
        jr_dispatch_lead(dispatch_, 1, now_);
        Configure();
        for (size_t i = 0; i < n_workers; i++) {
            AddWorker(i);
        }
        jr_dispatch_tick(dispatch_, now_, now_);
        AnswerOrders();
    }

    ~Leader()
    {
        jr_drop_dispatch(dispatch_);
        jr_drop_jobs(jobs_);
        jr_drop_ctx(ctx_);
    }

    void
    Submit(uint32_t tasks, bool gang)
    {
        Jr__JobStep step = JR__JOB_STEP__INIT;

        step.count = tasks;
        step.cpu_milli = 100;
        step.estimate_ms = 1000;
        step.gang = gang;
        SubmitStep(&step);
    }

    void
    SubmitStep(Jr__JobStep *step)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobSubmit submit = JR__JOB_SUBMIT__INIT;
        Jr__JobSpec spec = JR__JOB_SPEC__INIT;
        Jr__JobStep *steps[] = {step};

        spec.id = ++last_id_;
        spec.host = const_cast<char *>("h");
        spec.prefix = const_cast<char *>("/q/");
        spec.n_steps = 1;
        spec.steps = steps;
        submit.spec = &spec;
        command.body_case = JR__JOB_COMMAND__BODY_SUBMIT;
        command.submit = &submit;
        Apply(&command);
    }

    /*
     * @kind: 0: services of five images with a tail latency target; 1:
     *        best-effort tasks of nine images
     */
    void
    SubmitMixed(uint64_t jobs, uint32_t kind)
    {
        for (uint64_t i = 0; i < jobs; i++) {
            Jr__JobStep step = JR__JOB_STEP__INIT;
            std::string image = "image-" + std::to_string(kind) + "-" +
                                std::to_string(i % (kind == 0 ? 5 : 9));

            step.count = 8;
            step.estimate_ms = 2000;
            step.memory_mb = 10;
            step.image = const_cast<char *>(image.c_str());
            step.cpu_milli = kind == 0 ? 12000 : 6000 + i % 7 * 500;
            step.service = kind == 0;
            step.tail_target_ms = kind == 0 ? 45 : 0;
            step.filler = kind == 1;
            SubmitStep(&step);
        }
    }

    /* Services of five images, of four processors each. */
    void
    SubmitServices(uint64_t jobs, uint32_t tasks)
    {
        for (uint64_t i = 0; i < jobs; i++) {
            Jr__JobStep step = JR__JOB_STEP__INIT;
            std::string image = "service-" + std::to_string(i % 5);

            step.count = tasks;
            step.cpu_milli = 4000;
            step.memory_mb = 1000;
            step.image = const_cast<char *>(image.c_str());
            step.service = true;
            step.tail_target_ms = 45;
            SubmitStep(&step);
        }
    }

    /* Short tasks of many sizes. */
    void
    SubmitShort(uint64_t jobs, uint32_t tasks, uint32_t least_milli)
    {
        for (uint64_t i = 0; i < jobs; i++) {
            Jr__JobStep step = JR__JOB_STEP__INIT;

            step.count = tasks;
            step.cpu_milli =
                least_milli + static_cast<uint32_t>(last_id_ * 7 % 40) * 50;
            step.memory_mb = 500;
            step.estimate_ms = 400;
            SubmitStep(&step);
        }
    }

    /* Ends the latest jobs; what they ran is gone. */
    void
    CancelLatest(uint64_t jobs)
    {
        for (uint64_t i = 0; i < jobs; i++) {
            Jr__JobCommand command = JR__JOB_COMMAND__INIT;
            Jr__JobCancel cancel = JR__JOB_CANCEL__INIT;

            cancel.job = last_id_ - i;
            command.body_case = JR__JOB_COMMAND__BODY_CANCEL;
            command.cancel = &cancel;
            Apply(&command);
        }
    }

    /* As AnswerOrders(); renewals list what was started there. */
    void
    AnswerOrdersAsWorkers()
    {
        std::vector<jr_order_t> orders;
        jr_order_t order;

        while (jr_dispatch_take_order(dispatch_, &order)) {
            orders.push_back(order);
        }
        for (const jr_order_t &taken : orders) {
            AnswerAsWorker(taken);
        }
    }

    uint64_t
    Counter(jr_counter_t counter) const
    {
        return ctx_->counters[counter];
    }

    void
    RunPass()
    {
        now_ += 100;
        jr_dispatch_tick(dispatch_, now_, now_);
        Place();
    }

    /* Chooses workers for all queued tasks and applies the grants. */
    void
    Place()
    {
        uint8_t *bytes;
        size_t len;

        while (jr_dispatch_take_command(dispatch_, &bytes, &len)) {
            jr_jobs_apply(jobs_, bytes, len);
            jr_free(ctx_, bytes);
        }
    }

    /* Answers every order as done; lease renewals list no runs. */
    size_t
    AnswerOrders()
    {
        jr_order_t order;
        jr_answer_t answer = {};
        size_t n = 0;

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = 1000;
        while (jr_dispatch_take_order(dispatch_, &order)) {
            serials_.push_back(order.serial);
        }
        for (uint64_t serial : serials_) {
            jr_dispatch_answer(dispatch_, serial, &answer, now_);
            n++;
        }
        serials_.clear();
        return n;
    }

    /* Commands that are no grants, and the answers to all orders. */
    void
    Settle()
    {
        for (int i = 0; i < 5; i++) {
            Place();
            AnswerOrdersAsWorkers();
        }
    }

    void
    Cancel()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobCancel cancel = JR__JOB_CANCEL__INIT;

        cancel.job = last_id_;
        command.body_case = JR__JOB_COMMAND__BODY_CANCEL;
        command.cancel = &cancel;
        Apply(&command);
        jr_dispatch_resign(dispatch_);
    }

    void
    TakeOver()
    {
        jr_dispatch_resign(dispatch_);
        jr_dispatch_lead(dispatch_, ++fence_, now_);
        AnswerOrders();
    }

    /* On each worker some five services and some ten best-effort tasks. */
    void
    FillWithMixed(size_t n_workers)
    {
        for (size_t i = 0; i < n_workers / 40 + 1; i++) {
            SubmitImage("service-" + std::to_string(i % 16), 200, true);
            SubmitImage("filler-" + std::to_string(i % 30), 400, false);
        }
        for (int i = 0; i < 100; i++) {
            RunPass();
            ListStarted();
        }
    }

    /* Takes the renewals that are due, and prepares their answers. */
    void
    TakeRenewals()
    {
        jr_order_t order;

        now_ += kHoldMs;
        round_++;
        RunPass();
        renewals_.clear();
        while (jr_dispatch_take_order(dispatch_, &order)) {
            if (order.kind == JR_ORDER_RENEW) {
                renewals_.push_back(
                    {order.serial, &lists_[order.worker], order.worker});
            }
            else {
                serials_.push_back(order.serial);
            }
        }
        AnswerTaken();
        for (Renewal &renewal : renewals_) {
            Measure(renewal.list);
        }
    }

    void
    AnswerRenewals()
    {
        for (const Renewal &renewal : renewals_) {
            jr_answer_t answer = AnswerTo(renewal);

            jr_dispatch_answer(dispatch_, renewal.serial, &answer, now_);
        }
    }

    /* The answers as carriers pack them. */
    std::vector<std::vector<uint8_t>>
    PackAnswers()
    {
        std::vector<std::vector<uint8_t>> packed;

        for (const Renewal &renewal : renewals_) {
            jr_answer_t answer = AnswerTo(renewal);
            size_t len;
            uint8_t *bytes =
                jr_answer_pack(ctx_, renewal.serial, &answer, &len);

            packed.emplace_back(bytes, bytes + len);
            jr_free(ctx_, bytes);
        }
        return packed;
    }

    void
    AddToBook(jr_carry_book_t *book, int carrier)
    {
        for (const Renewal &renewal : renewals_) {
            jr_order_t order = {};

            order.kind = JR_ORDER_RENEW;
            order.serial = renewal.serial;
            order.worker = renewal.worker.c_str();
            order.timeout_ms = kLeaseMs;
            jr_carry_book_add(book, &order, carrier, now_);
        }
    }

    jr_ctx_t *
    ctx()
    {
        return ctx_;
    }

    int64_t
    now() const
    {
        return now_;
    }

    size_t
    n_renewals() const
    {
        return renewals_.size();
    }

    size_t
    n_listed() const
    {
        size_t n = 0;

        for (const Renewal &renewal : renewals_) {
            n += renewal.list->size();
        }
        return n;
    }

  private:
    using List = std::vector<jr_running_t>;
    struct Renewal {
        uint64_t serial;
        List *list;
        std::string worker;
    };

    void
    SubmitImage(const std::string &image, uint32_t tasks, bool is_service)
    {
        Jr__JobStep step = JR__JOB_STEP__INIT;

        step.count = tasks;
        step.estimate_ms = 2000;
        step.memory_mb = 10;
        step.image = const_cast<char *>(image.c_str());
        step.cpu_milli = is_service ? 10000 : 6000;
        step.service = is_service;
        step.tail_target_ms = is_service ? 18 : 0;
        step.filler = !is_service;
        SubmitStep(&step);
    }

    /* The workers start what they are told to, and list it from now on. */
    void
    ListStarted()
    {
        jr_order_t order;

        while (jr_dispatch_take_order(dispatch_, &order)) {
            if (order.kind == JR_ORDER_START) {
                jr_running_t row = {};

                row.run = order.run;
                row.percent = 100; /* a service that is ready */
                lists_[order.worker].push_back(row);
            }
            if (order.kind == JR_ORDER_RENEW) {
                renewals_.push_back(
                    {order.serial, &lists_[order.worker], order.worker});
            }
            else {
                serials_.push_back(order.serial);
            }
        }
        AnswerTaken();
        AnswerRenewals();
        renewals_.clear();
    }

    void
    AnswerTaken()
    {
        jr_answer_t answer = {};

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = now_;
        for (uint64_t serial : serials_) {
            jr_dispatch_answer(dispatch_, serial, &answer, now_);
        }
        serials_.clear();
    }

    /* Gauges vary, and each fourth row has a new checkpoint. */
    void
    Measure(List *list)
    {
        static const char *const checkpoints[] = {
            "c:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822c",
            "c:60303ae22b998861bce3b28f33eec1be758a213c86c93c07",
        };

        for (size_t i = 0; i < list->size(); i++) {
            jr_running_t *row = &(*list)[i];

            row->gauge = 9 + (round_ + i) % 7;
            row->checkpoint = checkpoints[(round_ + i) / 4 % 2];
        }
    }

    jr_answer_t
    AnswerTo(const Renewal &renewal) const
    {
        jr_answer_t answer = {};

        answer.kind = JR_ANSWER_DONE;
        answer.clock_ms = now_;
        answer.incarnation = 1;
        answer.running = renewal.list->data();
        answer.n_running = renewal.list->size();
        return answer;
    }

    void
    AnswerAsWorker(const jr_order_t &order)
    {
        std::vector<jr_running_t> &running = running_[order.worker];
        jr_answer_t answer = {};

        answer.kind = JR_ANSWER_DONE;
        answer.incarnation = 1;
        answer.clock_ms = now_;
        if (order.kind == JR_ORDER_START) {
            running.push_back({order.run, nullptr, 100, 20});
        }
        else if (order.kind == JR_ORDER_STOP) {
            auto is_it = [&order](const jr_running_t &other) {
                return other.run.job == order.run.job &&
                       other.run.index == order.run.index;
            };

            running.erase(
                std::remove_if(running.begin(), running.end(), is_it),
                running.end());
        }
        else if (order.kind == JR_ORDER_RENEW) {
            answer.running = running.data();
            answer.n_running = running.size();
        }
        jr_dispatch_answer(dispatch_, order.serial, &answer, now_);
    }

    void
    Apply(Jr__JobCommand *command)
    {
        std::vector<uint8_t> bytes(jr__job_command__get_packed_size(command));

        jr__job_command__pack(command, bytes.data());
        jr_jobs_apply(jobs_, bytes.data(), bytes.size());
    }

    void
    Configure()
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobConfig config = JR__JOB_CONFIG__INIT;
        Jr__JobQueue queue = JR__JOB_QUEUE__INIT;
        Jr__JobQueue *queues[] = {&queue};

        queue.host = const_cast<char *>("h");
        queue.prefix = const_cast<char *>("/q/");
        queue.service = const_cast<char *>("s");
        config.version = 1;
        config.n_queues = 1;
        config.queues = queues;
        command.body_case = JR__JOB_COMMAND__BODY_CONFIG;
        command.config = &config;
        Apply(&command);
    }

    void
    AddWorker(size_t i)
    {
        Jr__JobCommand command = JR__JOB_COMMAND__INIT;
        Jr__JobWorker worker = JR__JOB_WORKER__INIT;
        std::string id = "worker-" + std::to_string(i);

        worker.id = const_cast<char *>(id.c_str());
        worker.born = 1;
        worker.service = const_cast<char *>("s");
        worker.cpu_milli =
            cpu_milli_ + (is_mixed_ && i % 2 == 1 ? cpu_milli_ / 2 : 0);
        worker.memory_mb = 4 * worker.cpu_milli;
        command.body_case = JR__JOB_COMMAND__BODY_WORKER;
        command.worker = &worker;
        Apply(&command);
    }

    uint32_t cpu_milli_;
    bool is_mixed_;
    jr_ctx_t *ctx_;
    jr_jobs_t *jobs_;
    jr_dispatch_t *dispatch_;
    int64_t now_ = 100000;
    uint64_t fence_ = 1;
    uint64_t last_id_ = 0;
    std::vector<uint64_t> serials_;
    std::map<std::string, List> lists_;
    std::vector<Renewal> renewals_;
    size_t round_ = 0;
    std::map<std::string, std::vector<jr_running_t>> running_;
};

void
PlaceStep(benchmark::State &state, bool gang)
{
    Leader leader(static_cast<size_t>(state.range(0)));

    for (auto _ : state) {
        leader.Submit(100, gang);
        leader.Place();
        state.PauseTiming();
        leader.Cancel();
        leader.TakeOver();
        leader.Place();
        state.ResumeTiming();
    }
    state.SetItemsProcessed(100 * state.iterations());
    state.SetComplexityN(state.range(0));
}

void
PlaceAStepOf100Tasks(benchmark::State &state)
{
    PlaceStep(state, false);
}

void
PlaceAGangOf100Tasks(benchmark::State &state)
{
    PlaceStep(state, true);
}

void
TakeWorkersOver(benchmark::State &state)
{
    Leader leader(static_cast<size_t>(state.range(0)));

    for (auto _ : state) {
        leader.TakeOver();
    }
    state.SetItemsProcessed(state.range(0) * state.iterations());
    state.SetComplexityN(state.range(0));
}

/* One pass over all queued tasks, of which almost none has capacity. */
void
PassWithABacklog(benchmark::State &state)
{
    uint64_t n = static_cast<uint64_t>(state.range(0));
    Leader leader(n);

    leader.SubmitMixed(n, 0);
    leader.RunPass();
    leader.AnswerOrders();
    leader.SubmitMixed(n, 1);
    for (int i = 0; i < 100; i++) {
        leader.RunPass();
    }
    for (auto _ : state) {
        leader.RunPass();
    }
    state.SetComplexityN(state.range(0));
}

/* Each worker lists what runs there, as it renews its lease. */
void
AnswerRenewals(benchmark::State &state)
{
    Leader leader(static_cast<size_t>(state.range(0)));
    size_t n = 0;
    size_t listed = 0;

    leader.FillWithMixed(static_cast<size_t>(state.range(0)));
    for (auto _ : state) {
        state.PauseTiming();
        leader.TakeRenewals();
        n += leader.n_renewals();
        listed += leader.n_listed();
        state.ResumeTiming();
        leader.AnswerRenewals();
    }
    state.SetItemsProcessed(static_cast<int64_t>(n));
    state.counters["listed"] = n > 0 ? static_cast<double>(listed) / n : 0.0;
}

void
IgnoreOutcome(void *, uint64_t, const jr_answer_t *, int64_t)
{
}

/* The same answers, as a carrier sends them to the leader. */
void
ReceiveAnswers(benchmark::State &state)
{
    constexpr uint64_t kSession = 1;
    Leader leader(static_cast<size_t>(state.range(0)));
    jr_carriers_t *carriers = jr_new_carriers(leader.ctx(), "z");
    jr_carry_book_t *book = jr_new_carry_book(leader.ctx(), carriers, kSession,
                                              IgnoreOutcome, nullptr);
    std::vector<ProtobufCBinaryData> rows;
    Jr__AnswerBatch batch = JR__ANSWER_BATCH__INIT;

    leader.FillWithMixed(static_cast<size_t>(state.range(0)));
    leader.TakeRenewals();
    std::vector<std::vector<uint8_t>> packed = leader.PackAnswers();
    for (std::vector<uint8_t> &bytes : packed) {
        rows.push_back({bytes.size(), bytes.data()});
    }
    batch.session = kSession;
    batch.name = const_cast<char *>("carrier");
    batch.zone = const_cast<char *>("z");
    jr_carriers_heard(carriers, batch.name, batch.zone, 1, leader.now());
    batch.clock_ms = 1;
    batch.n_answers = rows.size();
    batch.answers = rows.data();
    for (auto _ : state) {
        state.PauseTiming();
        leader.AddToBook(book, jr_carriers_find(carriers, batch.name));
        state.ResumeTiming();
        jr_carry_book_receive(book, &batch, leader.now());
    }
    state.SetItemsProcessed(static_cast<int64_t>(rows.size()) *
                            state.iterations());
    jr_drop_carry_book(book);
    jr_drop_carriers(carriers);
}

/*
 * One pass of a busy site: services fill most of it, short and best-effort
 * tasks wait that find no capacity, and some short ones that do.
 */
void
PassOfALargeSite(benchmark::State &state)
{
    constexpr uint64_t kJobs = 20; /* that find capacity */
    Leader leader(kSiteWorkers, kSiteCpuMilli, true);
    uint64_t passes, examined, grants;

    leader.SubmitServices(50, 80);
    for (int i = 0; i < 20; i++) {
        leader.RunPass();
        leader.Settle();
    }
    leader.SubmitMixed(500, 1);
    for (int i = 0; i < 20; i++) {
        leader.RunPass();
        leader.Settle();
    }
    leader.SubmitShort(200, 5, 16500);
    passes = leader.Counter(JR_C_PASSES);
    examined = leader.Counter(JR_C_WORKERS_EXAMINED);
    grants = leader.Counter(JR_C_GRANTS);
    for (auto _ : state) {
        state.PauseTiming();
        leader.SubmitShort(kJobs, 8, 500);
        state.ResumeTiming();
        leader.RunPass();
        state.PauseTiming();
        leader.CancelLatest(kJobs);
        leader.Settle();
        state.ResumeTiming();
    }
    passes = leader.Counter(JR_C_PASSES) - passes;
    state.counters["passes"] = static_cast<double>(passes);
    state.counters["examined"] =
        static_cast<double>(leader.Counter(JR_C_WORKERS_EXAMINED) - examined) /
        static_cast<double>(passes);
    state.counters["grants"] =
        static_cast<double>(leader.Counter(JR_C_GRANTS) - grants) /
        static_cast<double>(passes);
}

} // namespace

BENCHMARK(AnswerRenewals)->Arg(50)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(ReceiveAnswers)->Arg(50)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(PassOfALargeSite)->Unit(benchmark::kMicrosecond);
BENCHMARK(PassWithABacklog)
    ->Arg(50)
    ->Arg(500)
    ->Arg(2000)
    ->Complexity()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(PlaceAStepOf100Tasks)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(18000)
    ->Complexity()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(PlaceAGangOf100Tasks)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(18000)
    ->Complexity()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(TakeWorkersOver)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Complexity()
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
