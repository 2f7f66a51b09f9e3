/* The simulation of workers: turns of the leader, and orders on their way. */
#include "fleet_test.h"

#include <algorithm>

enum {
    TICK_MS = 10,
    LATE_ORDER_MIN_MS = 2000,
    LATE_ORDER_MAX_MS = 12000,
    CONNECT_TIMEOUT_MS = 500,
    CHECK_IN_MS = 1000,
    SLOW_ANSWER_MS = 400,
    EPOCH_SHIFT = 40, /* in serials */
};

/* What the leader's work costs, in microseconds of a whole processor. */
enum {
    ORDER_WORK = 5,
    ANSWER_WORK = 6,
    ROW_WORK = 1,   /* of the lists in an answer */
    PLACE_WORK = 1, /* of a pass, for each worker */
};

/* How many things it looks at in a microsecond. */
enum {
    EXAMINED_PER_WORK = 4,
    RUNS_PER_WORK = 8,
    WORKERS_PER_WORK = 8, /* for an order that is due */
};

void
Fleet::Stall(int64_t ms)
{
    Trace("stall", "", {}, 0);
    stalled_until_ = now + ms;
}

bool
Fleet::IsStalled() const
{
    return now < stalled_until_;
}

bool
Fleet::MayTakeAnswer(const SentOrder &sent)
{
    if (sent.sender != FLEET_LEADER) {
        return true;
    }
    if (IsStalled() ||
        (answers_per_step > 0 && answers_in_step_ >= answers_per_step)) {
        return false;
    }
    answers_in_step_++;
    return true;
}

void
Fleet::TakeCommands()
{
    uint8_t *bytes;
    size_t len;

    while (jr_dispatch_take_command(dispatch, &bytes, &len)) {
        proposals_.push_back({now + log_delay_ms, {bytes, bytes + len}});
        jr_free(ctx_, bytes);
    }
}

void
Fleet::ApplyCommand(const std::vector<uint8_t> &bytes, int64_t at)
{
    Jr__JobCommand *command =
        jr__job_command__unpack(nullptr, bytes.size(), bytes.data());
    bool is_zone = command->body_case == JR__JOB_COMMAND__BODY_ZONE;
    std::string zone = is_zone ? command->zone->zone : "";
    bool is_drained = is_zone && command->zone->drains;

    if (!is_zone || !forgets_drains) {
        jr_jobs_apply(jobs, bytes.data(), bytes.size());
        is_drained = is_zone && jr_zones_is_drained(jobs->zones, zone.c_str());
    }
    if (is_drained) {
        drained_.emplace(zone, at);
    }
    else if (is_zone) {
        drained_.erase(zone);
    }
    jr__job_command__free_unpacked(command, nullptr);
}

void
Fleet::ApplyDue()
{
    while (!proposals_.empty() && proposals_.front().due <= now) {
        Proposal proposal = proposals_.front();
        const std::vector<uint8_t> &bytes = proposal.bytes;
        Jr__JobCommand *command =
            jr__job_command__unpack(nullptr, bytes.size(), bytes.data());

        proposals_.pop_front();
        if (command->body_case == JR__JOB_COMMAND__BODY_ENDS) {
            RecordEnds(command->ends);
        }
        jr__job_command__free_unpacked(command, nullptr);
        ApplyCommand(bytes, proposal.due);
    }
}

void
Fleet::ChooseFaults(SentOrder &sent, FleetWay way)
{
    sent.due = now + 1 + static_cast<int64_t>(rng_() % 8);
    sent.is_answered = true;
    if (Chance(faults.late)) {
        sent.due = now + LATE_ORDER_MIN_MS +
                   static_cast<int64_t>(
                       rng_() % (LATE_ORDER_MAX_MS - LATE_ORDER_MIN_MS));
        sent.is_answered = false;
        sent.give_up_at = now + sent.timeout_ms;
    }
    else if (Chance(faults.lost_answer) || way == FleetWay::kNoAnswers) {
        sent.is_answered = false;
        sent.give_up_at = now + sent.timeout_ms;
    }
    else if (Chance(faults.unreached) || way == FleetWay::kNoOrders) {
        sent.is_processed = true;
        sent.answer = JR_ANSWER_UNREACHED;
        sent.answer_at = now + CONNECT_TIMEOUT_MS;
    }
    if (Chance(faults.slow_answer)) {
        sent.answer_delay = static_cast<int64_t>(rng_() % SLOW_ANSWER_MS);
    }
}

void
Fleet::Send(const jr_order_t &order, int64_t given_at, int sender,
            FleetWay way)
{
    SentOrder sent = {};
    bool is_renewal = order.kind == JR_ORDER_RENEW;

    if (order.kind == JR_ORDER_START) {
        CheckDrain(order, sender);
    }
    sent.sender = sender;
    sent.kind = order.kind;
    sent.serial = order.serial;
    sent.worker = order.worker;
    sent.fence = order.fence;
    sent.run = order.run;
    sent.sent_at = given_at;
    /* The worker waits no longer than it is told, and then answers. */
    sent.timeout_ms =
        order.timeout_ms - (is_renewal ? order.as.renew.wait_ms : 0);
    sent.expires_ms = is_renewal ? order.as.renew.expires_ms
                      : order.kind == JR_ORDER_START
                          ? order.as.start.expires_ms
                          : 0;
    sent.ends_seen = is_renewal ? order.as.renew.ends_seen : 0;
    sent.wait_ms = is_renewal ? order.as.renew.wait_ms : 0;
    sent.pace = order.kind == JR_ORDER_PACE ? order.as.pace.percent : 0;
    ChooseFaults(sent, way);
    sent_orders_.push_back(sent);
}

/* After @n orders of the turn; a control process spends up to 10 ms on them.
 */
bool
Fleet::MayTakeOrder(size_t n) const
{
    return (orders_per_step == 0 || n < orders_per_step) &&
           (work_per_ms == 0 || n * ORDER_WORK < TICK_MS * work_per_ms);
}

void
Fleet::TakeOrders()
{
    jr_order_t order;

    for (size_t n = 0;
         MayTakeOrder(n) && jr_dispatch_take_order(dispatch, &order); n++) {
        if (order.kind == JR_ORDER_START && checks_sent_starts) {
            CheckCapacityAtSend(order);
        }
        if (order.kind == JR_ORDER_STOP && order.run.job == checked_service &&
            order.run.step == 0) {
            CheckAvailability(order);
        }
        work_ += ORDER_WORK;
        order.serial |= epoch_ << EPOCH_SHIFT;
        if (relay != nullptr) {
            relay->Take(order);
        }
        else {
            Send(order, now, FLEET_LEADER, FleetWay::kOpen);
        }
    }
    if (relay != nullptr) {
        relay->Flush();
    }
}

uint64_t
Fleet::Epoch() const
{
    return epoch_;
}

uint64_t
Fleet::EpochOf(uint64_t serial)
{
    return serial >> EPOCH_SHIFT;
}

void
Fleet::Report(uint64_t serial, const jr_answer_t &answer)
{
    if (relay != nullptr) {
        relay->Reported(serial, answer.kind);
    }
    if (EpochOf(serial) == epoch_) {
        jr_dispatch_answer(dispatch, serial & ((1ull << EPOCH_SHIFT) - 1),
                           &answer, now);
    }
}

void
Fleet::GiveAnswer(const SentOrder &sent, jr_answer_kind_t kind)
{
    jr_answer_t answer = {};

    answer.kind = kind;
    answer.is_refused = sent.is_refused;
    if (kind != JR_ANSWER_UNKNOWN && kind != JR_ANSWER_UNREACHED) {
        answer.clock_ms = sent.clock_ms;
        answer.incarnation = sent.incarnation;
        answer.running = sent.running.data();
        answer.n_running = sent.running.size();
        answer.ended = sent.ended.data();
        answer.n_ended = sent.ended.size();
    }
    if (sent.sender == FLEET_LEADER) {
        work_ +=
            ANSWER_WORK + ROW_WORK * (sent.running.size() + sent.ended.size());
        Report(sent.serial, answer);
    }
    else {
        relay->Answered(sent.sender, sent.serial, answer);
    }
}

/* The order is lost; its sender times out, or could not send it. */
static int64_t
LostAnswerAt(int64_t now, jr_answer_kind_t kind, int64_t timeout_ms)
{
    int64_t unreached_ms = std::min<int64_t>(CONNECT_TIMEOUT_MS, timeout_ms);

    return now + (kind == JR_ANSWER_UNREACHED ? unreached_ms : timeout_ms);
}

/* An order arrives. */
void
Fleet::Receive(SentOrder &sent, FleetWorker &worker)
{
    bool is_cut_off =
        worker.is_partitioned && (sent.is_answered || !late_orders_pass_cuts);

    if (is_cut_off && !sent.is_answered) {
        return; /* it arrives when the partition is over */
    }
    sent.is_processed = true;
    if (is_cut_off && cuts_refuse) {
        sent.answer = JR_ANSWER_UNREACHED;
        sent.is_refused = true;
        sent.answer_at = now;
    }
    else if (is_cut_off) {
        sent.answer = Chance(50) ? JR_ANSWER_UNREACHED : JR_ANSWER_UNKNOWN;
        sent.answer_at = LostAnswerAt(now, sent.answer, sent.timeout_ms);
    }
    else if (!worker.is_up) {
        sent.answer = worker.is_replaced ? JR_ANSWER_OTHER_INCARNATION
                                         : JR_ANSWER_UNREACHED;
        sent.is_refused = !worker.is_replaced;
        sent.answer_at = now;
    }
    else {
        if (relay != nullptr) {
            relay->Reached(sent.serial);
        }
        sent.answer = Execute(sent, worker);
        sent.received_at = now;
    }
}

bool
Fleet::Handle(SentOrder &sent, FleetWorker &worker)
{
    if (!sent.is_processed && sent.due <= now) {
        Receive(sent, worker);
    }
    if (!sent.is_answered && sent.give_up_at != 0 && sent.give_up_at <= now &&
        MayTakeAnswer(sent)) {
        GiveAnswer(sent, JR_ANSWER_UNKNOWN);
        sent.give_up_at = 0;
    }
    if (!sent.is_answered) {
        return sent.is_processed && sent.give_up_at == 0;
    }
    if (sent.is_processed && sent.answer_at == 0) {
        bool is_waiting =
            sent.kind == JR_ORDER_RENEW && sent.answer == JR_ANSWER_DONE &&
            worker.ended.empty() && now - sent.received_at < sent.wait_ms;

        if (sent.received_at < worker.incarnation || !worker.is_up) {
            sent.answer = JR_ANSWER_UNKNOWN; /* the connection broke */
            sent.answer_at = now;
        }
        else if (!is_waiting) {
            FillAnswer(sent, worker);
        }
    }
    if (sent.answer_at != 0 && sent.answer_at <= now && MayTakeAnswer(sent)) {
        GiveAnswer(sent,
                   worker.is_partitioned && sent.answer != JR_ANSWER_UNREACHED
                       ? JR_ANSWER_UNKNOWN
                       : sent.answer);
        return true;
    }
    return false;
}

void
Fleet::DeliverOrders()
{
    std::vector<SentOrder> left;
    std::vector<SentOrder> batch;

    batch.swap(sent_orders_);
    for (SentOrder &sent : batch) {
        if (!Handle(sent, *FindWorker(sent.worker))) {
            left.push_back(std::move(sent));
        }
    }
    sent_orders_.insert(sent_orders_.end(), left.begin(), left.end());
}

void
Fleet::SpendOnCommands()
{
    uint64_t examined = Counter(JR_C_WORKERS_EXAMINED);
    int64_t ms;

    TakeCommands();
    if (examined_per_ms == 0) {
        return;
    }
    examined = Counter(JR_C_WORKERS_EXAMINED) - examined;
    ms = static_cast<int64_t>(examined / examined_per_ms);
    examining_ms += ms;
    if (ms >= TICK_MS) {
        Stall(ms / TICK_MS * TICK_MS);
    }
}

void
Fleet::CountWork()
{
    FleetLooks looks = {Counter(JR_C_PASSES), Counter(JR_C_WORKERS_EXAMINED),
                        Counter(JR_C_RUNS_LOOKED_AT),
                        Counter(JR_C_WORKERS_LOOKED_AT)};

    work_ += (looks.passes - looks_.passes) * workers.size() * PLACE_WORK +
             (looks.examined - looks_.examined) / EXAMINED_PER_WORK +
             (looks.runs - looks_.runs) / RUNS_PER_WORK +
             (looks.workers - looks_.workers) / WORKERS_PER_WORK;
    looks_ = looks;
}

void
Fleet::SpendTurn()
{
    int64_t ms;

    CountWork();
    if (work_per_ms == 0) {
        work_ = 0;
        return;
    }
    ms = static_cast<int64_t>(work_ / work_per_ms);
    work_ %= work_per_ms;
    if (ms > TICK_MS) {
        Stall(ms);
    }
}

void
Fleet::StepLeader()
{
    ApplyDue();
    jr_dispatch_tick(dispatch, now, now);
    SpendOnCommands();
    if (!IsStalled()) {
        TakeOrders();
    }
    SpendTurn();
}

void
Fleet::Step()
{
    now += TICK_MS;
    for (size_t i = 0; i < workers.size(); i++) {
        AdvanceLeaving(i);
        AdvanceCrashes(i);
    }
    if (!IsStalled()) {
        DeliverCheckIns();
    }
    if (now % CHECK_IN_MS == 0 && !IsStalled()) {
        for (size_t i = 0; i < workers.size(); i++) {
            if (!workers[i].is_partitioned) {
                CheckIn(i, workers[i].is_draining);
            }
        }
    }
    AdvanceWorkers();
    answers_in_step_ = 0;
    if (now == stalled_until_) {
        StepLeader(); /* before it reads the answers of meanwhile */
    }
    if (relay != nullptr) {
        relay->Step();
    }
    DeliverOrders();
    if (!IsStalled()) {
        StepLeader();
    }
    CheckCapacity();
    CheckDoubles();
    if (checked_service != 0) {
        NoteAway();
    }
}

void
Fleet::Run(int64_t ms)
{
    for (int64_t end = now + ms; now < end;) {
        Step();
    }
}
