/* The simulation of carriers: processes, their connections, and checks. */
#include "carriers_test.h"

#include <algorithm>

enum {
    PROCESSES = 5,
    PROCESSES_DOWN_MAX = 2,
    PING_MS = 150,
    PROCESS_SHIFT = 8, /* in the number of a sender: its life, its process */
    BOOT_CLOCK_MS = 40000,
    DRIFT_PERMILLE = 10,
    CUT_MAX_MS = 4000,
    FREEZE_MAX_MS = 8000,
    DOWN_MAX_MS = 3000,
    SLOW_MESSAGE_MS = 700,
    /* A carrier may send an order for 2 s, by a clock that drifts. */
    AGE_MAX_MS = 2000 * (1000 + DRIFT_PERMILLE) / 1000 + 10,
    /* The longest order, and its way to a carrier and back. */
    OUTCOME_MAX_MS = 2000,
    MANY_WORKERS = 1100,
};

static std::vector<ProtobufCBinaryData>
Borrow(const std::vector<std::vector<uint8_t>> &packed)
{
    std::vector<ProtobufCBinaryData> data;

    for (const std::vector<uint8_t> &bytes : packed) {
        data.push_back({bytes.size(), const_cast<uint8_t *>(bytes.data())});
    }
    return data;
}

Carriers::Carriers(uint32_t seed, Fleet *fleet)
    : fleet_(fleet), rng_(seed * 104729 + 3), n_workers_(fleet->workers.size())
{
    const char *zones[PROCESSES] = {"y", "z", "z", "x", "y"};

    if (seed % 2 == 0) {
        n_workers_ = MANY_WORKERS;
    }
    for (int i = 0; i < PROCESSES; i++) {
        processes_.push_back(std::make_unique<Process>());
        processes_[i]->all = this;
        processes_[i]->name = "c" + std::to_string(i);
        processes_[i]->zone = zones[i];
        Boot(*processes_[i], true);
        processes_[i]->clock_at_boot = BOOT_CLOCK_MS * (i + 1);
    }
    fleet->relay = this;
}

static void
DropParts(jr_carry_book_t *book, jr_carriers_t *carriers, jr_ctx_t *ctx)
{
    jr_drop_carry_book(book);
    jr_drop_carriers(carriers);
    jr_drop_ctx(ctx);
}

Carriers::~Carriers()
{
    for (auto &process : processes_) {
        DropParts(process->book, process->carriers, process->ctx);
    }
}

bool
Carriers::Chance(int percent)
{
    return static_cast<int>(rng_() % 100) < percent;
}

int64_t
Carriers::UpTo(int64_t max)
{
    return static_cast<int64_t>(rng_() % static_cast<uint64_t>(max + 1));
}

int64_t
Carriers::Clock(const Process &process) const
{
    return process.clock_at_boot +
           (fleet_->now - process.booted_at) * process.clock_permille / 1000;
}

void
Carriers::OnOutcome(void *user, uint64_t serial, const jr_answer_t *answer,
                    int64_t now)
{
    Carriers *all = static_cast<Process *>(user)->all;

    (void)now;
    all->fleet_->Report(serial, *answer);
}

/* A process starts with nothing; its clock is that of its host. */
void
Carriers::Boot(Process &process, bool is_host_new)
{
    if (is_host_new) {
        process.booted_at = fleet_->now;
        process.clock_at_boot = 1000;
        process.clock_permille =
            1000 - DRIFT_PERMILLE + UpTo(2 * DRIFT_PERMILLE);
    }
    DropParts(process.book, process.carriers, process.ctx);
    process.ctx = jr_new_ctx("carrier", nullptr);
    process.carriers = jr_new_carriers(process.ctx, process.zone.c_str());
    process.session = static_cast<uint64_t>(rng_()) << 32 | rng_();
    process.book = jr_new_carry_book(process.ctx, process.carriers,
                                     process.session, OnOutcome, &process);
    process.life++;
    process.is_up = true;
    process.returns_at = 0;
    process.frozen_until = 0;
    process.pinged_at = 0;
    process.batches.clear();
    process.sessions.clear();
    process.open.clear();
    process.held.clear();
}

void
Carriers::Kill(int i)
{
    processes_[i]->is_up = false;
    processes_[i]->returns_at = fleet_->now + 10 + UpTo(DOWN_MAX_MS);
    messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                   [i](const Message &message) {
                                       return message.to == i;
                                   }),
                    messages_.end());
}

bool
Carriers::Runs(int i) const
{
    return processes_[i]->is_up &&
           processes_[i]->frozen_until <= fleet_->now &&
           (i != leader_ || !fleet_->IsStalled());
}

FleetWay
Carriers::WayTo(int process, const std::string &worker)
{
    auto cut = cuts_.find({process, worker});

    return cut != cuts_.end() && cut->second.first > fleet_->now
               ? cut->second.second
               : FleetWay::kOpen;
}

/* Messages of a connection arrive in their order, or not at all. */
void
Carriers::SendMessage(int from, int to, bool is_orders,
                      std::vector<uint8_t> bytes)
{
    Link &link = links_[{from, to}];
    int64_t due = fleet_->now + 1 + UpTo(8);

    if (!processes_[to]->is_up) {
        return;
    }
    if (link.cut_until > fleet_->now) {
        if (link.loses) {
            return;
        }
        due = link.cut_until + UpTo(8);
    }
    else if (Chance(1)) {
        due += UpTo(SLOW_MESSAGE_MS);
    }
    link.last_due = std::max(link.last_due, due);
    messages_.push_back(
        {link.last_due, from, to, is_orders, std::move(bytes)});
}

void
Carriers::SendOrders(int to, const std::vector<std::vector<uint8_t>> &orders)
{
    const Process &leader = *processes_[leader_];
    Jr__OrderBatch batch = JR__ORDER_BATCH__INIT;
    std::vector<ProtobufCBinaryData> data = Borrow(orders);
    std::vector<uint8_t> bytes;

    batch.session = leader.session;
    if (!orders.empty()) {
        int known =
            jr_carriers_find(leader.carriers, processes_[to]->name.c_str());

        batch.heard_ms = jr_carriers_clock(leader.carriers, known);
    }
    batch.n_orders = data.size();
    batch.orders = data.data();
    bytes.resize(jr__order_batch__get_packed_size(&batch) + 1);
    bytes.resize(jr__order_batch__pack(&batch, bytes.data()));
    SendMessage(leader_, to, true, std::move(bytes));
}

void
Carriers::Take(const jr_order_t &order)
{
    Process &leader = *processes_[leader_];
    int carrier = jr_carriers_choose(leader.carriers, order.worker, "z",
                                     n_workers_, fleet_->now);
    Jr__Order message;
    std::vector<uint8_t> bytes;

    orders_[order.serial].given_at = fleet_->now;
    open_.insert(order.serial);
    if (carrier == JR_CARRIER_SELF) {
        CheckSending(order, false);
        fleet_->Send(order, fleet_->now, FLEET_LEADER,
                     WayTo(leader_, order.worker));
        return;
    }
    jr_order_pack(&order, &message);
    bytes.resize(jr__order__get_packed_size(&message) + 1);
    bytes.resize(jr__order__pack(&message, bytes.data()));
    jr_carry_book_add(leader.book, &order, carrier, fleet_->now);
    /* "c" and the number of the process. */
    leader.batches[std::stoi(jr_carriers_name(leader.carriers, carrier) + 1)]
        .push_back(std::move(bytes));
}

void
Carriers::Flush()
{
    std::map<int, std::vector<std::vector<uint8_t>>> batches;

    batches.swap(processes_[leader_]->batches);
    for (const auto &[to, orders] : batches) {
        SendOrders(to, orders);
    }
}

void
Carriers::AddViolation(uint64_t serial, const std::string &what)
{
    fleet_->violations.push_back(std::to_string(fleet_->now) + ": order " +
                                 std::to_string(serial) + " " + what);
}

void
Carriers::CheckSending(const jr_order_t &order, bool is_carried)
{
    Order &known = orders_[order.serial];
    int64_t age = fleet_->now - known.given_at;

    if (++known.n_sent > 1) {
        AddViolation(order.serial, "is sent again");
    }
    if (is_carried && age > AGE_MAX_MS) {
        AddViolation(order.serial, "is sent by a carrier " +
                                       std::to_string(age) +
                                       " ms after it was given");
    }
}

void
Carriers::Reached(uint64_t serial)
{
    orders_[serial].is_reached = true;
    if (orders_[serial].is_not_sent) {
        AddViolation(serial, "arrives, and was reported as not sent");
    }
}

void
Carriers::Reported(uint64_t serial, jr_answer_kind_t kind)
{
    Order &order = orders_[serial];

    open_.erase(serial);
    if (++order.n_reported > 1) {
        AddViolation(serial, "has another outcome");
    }
    if (kind == JR_ANSWER_UNREACHED) {
        order.is_not_sent = true;
        if (order.is_reached) {
            AddViolation(serial, "is reported as not sent, and has arrived");
        }
    }
}

/* The leader gets an outcome in time, but for its own stalls. */
void
Carriers::CheckLateOutcomes()
{
    if (fleet_->IsStalled()) {
        stalled_at_ = fleet_->now;
    }
    while (!open_.empty() && stalled_at_ < fleet_->now - OUTCOME_MAX_MS) {
        uint64_t serial = *open_.begin();

        if (orders_[serial].given_at >= fleet_->now - OUTCOME_MAX_MS) {
            return;
        }
        AddViolation(serial, "has no outcome");
        open_.erase(serial);
    }
}

void
Carriers::QueueAnswer(Process &process, uint64_t session, uint64_t serial,
                      const jr_answer_t &answer)
{
    size_t len;
    uint8_t *bytes = jr_answer_pack(process.ctx, serial, &answer, &len);

    process.sessions[session].answers.emplace_back(bytes, bytes + len);
    jr_free(process.ctx, bytes);
}

void
Carriers::SendAnswers(int from, uint64_t session)
{
    Process &process = *processes_[from];
    Session &to = process.sessions[session];
    Jr__AnswerBatch batch = JR__ANSWER_BATCH__INIT;
    std::vector<ProtobufCBinaryData> data = Borrow(to.answers);
    std::vector<uint8_t> bytes;

    batch.session = session;
    batch.name = process.name.data();
    batch.zone = process.zone.data();
    batch.clock_ms = Clock(process);
    batch.n_answers = data.size();
    batch.answers = data.data();
    bytes.resize(jr__answer_batch__get_packed_size(&batch) + 1);
    bytes.resize(jr__answer_batch__pack(&batch, bytes.data()));
    to.answers.clear();
    SendMessage(from, to.leader, false, std::move(bytes));
}

void
Carriers::SendCarried(int i, const jr_order_t &order)
{
    Process &process = *processes_[i];

    n_carried++;
    CheckSending(order, true);
    fleet_->Send(order, orders_[order.serial].given_at,
                 process.life << PROCESS_SHIFT | i, WayTo(i, order.worker));
}

void
Carriers::Carry(int i, uint64_t session, const ProtobufCBinaryData &packed,
                int64_t heard_ms)
{
    Process &process = *processes_[i];
    jr_answer_t unreached = {};
    jr_order_t order;
    Jr__Order *message = jr_carry_read(process.ctx, &packed, &order);

    unreached.kind = JR_ANSWER_UNREACHED;
    switch (ignores_age ? JR_CARRY_SEND
                        : jr_carry_judge(process.open.size(), false, heard_ms,
                                         Clock(process))) {
    case JR_CARRY_SEND:
        process.open[order.serial] = session;
        SendCarried(i, order);
        if (repeats_orders && Chance(1)) {
            SendCarried(i, order);
        }
        break;
    case JR_CARRY_REFUSE:
        QueueAnswer(process, session, order.serial, unreached);
        break;
    case JR_CARRY_STALE:
        jr_count(process.ctx, JR_C_CARRY_STALE);
        QueueAnswer(process, session, order.serial, unreached);
        break;
    }
    jr__order__free_unpacked(message, nullptr);
}

void
Carriers::Answered(int sender, uint64_t serial, const jr_answer_t &answer)
{
    Process &process = *processes_[sender & ((1 << PROCESS_SHIFT) - 1)];
    auto open = process.open.find(serial);
    jr_answer_t said = answer;
    size_t len;
    uint8_t *bytes;

    if (!process.is_up || process.life != sender >> PROCESS_SHIFT ||
        open == process.open.end()) {
        return;
    }
    n_fenced += answer.kind == JR_ANSWER_FENCED;
    if (hides_unknown && said.kind == JR_ANSWER_UNKNOWN) {
        said.kind = JR_ANSWER_UNREACHED;
    }
    bytes = jr_answer_pack(process.ctx, serial, &said, &len);
    process.held.push_back({open->second, {bytes, bytes + len}});
    process.open.erase(open);
    jr_free(process.ctx, bytes);
}

void
Carriers::OnOrders(int to, int from, const Jr__OrderBatch &batch)
{
    Process &process = *processes_[to];

    process.sessions[batch.session].leader = from;
    for (size_t i = 0; i < batch.n_orders; i++) {
        Carry(to, batch.session, batch.orders[i], batch.heard_ms);
    }
    if (batch.n_orders == 0) {
        SendAnswers(to, batch.session);
    }
}

void
Carriers::OnAnswers(int to, Jr__AnswerBatch *batch)
{
    Process &process = *processes_[to];

    for (size_t i = 0; takes_late_answers && i < batch->n_answers; i++) {
        Jr__OrderAnswer *answer = jr__order_answer__unpack(
            nullptr, batch->answers[i].len, batch->answers[i].data);
        jr_answer_t late = {};

        late.kind = JR_ANSWER_UNKNOWN;
        if (orders_[answer->serial].n_reported > 0) {
            fleet_->Report(answer->serial, late);
        }
        jr__order_answer__free_unpacked(answer, nullptr);
    }
    jr_carry_book_receive(process.book, batch, fleet_->now);
}

void
Carriers::Deliver(int to)
{
    std::deque<Message> due, left;

    for (Message &message : messages_) {
        bool is_due = message.to == to && message.due <= fleet_->now;

        (is_due ? due : left).push_back(std::move(message));
    }
    messages_.swap(left);
    for (const Message &message : due) {
        if (message.is_orders) {
            Jr__OrderBatch *batch = jr__order_batch__unpack(
                nullptr, message.bytes.size(), message.bytes.data());

            OnOrders(to, message.from, *batch);
            jr__order_batch__free_unpacked(batch, nullptr);
        }
        else {
            Jr__AnswerBatch *batch = jr__answer_batch__unpack(
                nullptr, message.bytes.size(), message.bytes.data());

            OnAnswers(to, batch);
            jr__answer_batch__free_unpacked(batch, nullptr);
        }
    }
}

void
Carriers::Tick(int i)
{
    Process &process = *processes_[i];

    jr_carriers_tick(process.carriers, fleet_->now);
    if (!keeps_waiting) {
        jr_carry_book_expire(process.book, fleet_->now);
    }
    if (i == leader_ && fleet_->now - process.pinged_at >= PING_MS) {
        process.pinged_at = fleet_->now;
        for (int to = 0; to < PROCESSES; to++) {
            if (to != i) {
                SendOrders(to, {});
            }
        }
    }
}

/* The loop may see its timer or its messages first. */
void
Carriers::StepProcess(int i)
{
    Process &process = *processes_[i];
    bool is_tick_first = Chance(50);

    if (is_tick_first) {
        Tick(i);
    }
    Deliver(i);
    while (!process.held.empty()) {
        process.sessions[process.held.front().first].answers.push_back(
            process.held.front().second);
        process.held.pop_front();
    }
    for (auto &[number, session] : process.sessions) {
        if (!session.answers.empty()) {
            SendAnswers(i, number);
        }
    }
    if (!is_tick_first) {
        Tick(i);
    }
}

void
Carriers::Step()
{
    for (int i = 0; i < PROCESSES; i++) {
        Process &process = *processes_[i];

        if (!process.is_up && process.returns_at <= fleet_->now) {
            Boot(process, Chance(30));
        }
        if (Runs(i)) {
            StepProcess(i);
        }
    }
    CheckLateOutcomes();
}

/* What is under way on a connection, such as the last batches of a leader. */
void
Carriers::DelayAll(int from, int to, int64_t ms)
{
    for (Message &message : messages_) {
        if (message.from == from && message.to == to) {
            message.due += ms;
        }
    }
    links_[{from, to}].last_due += ms;
}

void
Carriers::ChangeLeader()
{
    int old = leader_;

    do {
        leader_ = static_cast<int>(rng_() % PROCESSES);
    } while (!processes_[leader_]->is_up ||
             processes_[leader_]->frozen_until > fleet_->now);
    processes_[old]->batches.clear();
    open_.clear();
    for (int to = 0; to < PROCESSES; to++) {
        DelayAll(old, to, Chance(30) ? UpTo(CUT_MAX_MS) : 0);
    }
    fleet_->ChangeLeader(Chance(50));
}

void
Carriers::Disturb()
{
    int i = static_cast<int>(rng_() % PROCESSES);
    int other = Chance(50) ? leader_ : static_cast<int>(rng_() % PROCESSES);
    size_t worker = rng_() % fleet_->workers.size();
    int n_down = 0;

    for (const auto &process : processes_) {
        n_down += !process->is_up || process->frozen_until > fleet_->now;
    }
    switch (rng_() % 6) {
    case 0:
    case 1: /* one way */
        if (Chance(50)) {
            std::swap(i, other);
        }
        links_[{i, other}].cut_until = fleet_->now + UpTo(CUT_MAX_MS);
        links_[{i, other}].loses = Chance(50);
        break;
    case 2:
        cuts_[{i, fleet_->workers[worker].id}] = {
            fleet_->now + UpTo(CUT_MAX_MS),
            Chance(50) ? FleetWay::kNoOrders : FleetWay::kNoAnswers};
        break;
    case 3:
    case 4:
        if (n_down < PROCESSES_DOWN_MAX && processes_[i]->is_up) {
            processes_[i]->frozen_until = fleet_->now + UpTo(FREEZE_MAX_MS);
        }
        break;
    default:
        if (n_down < PROCESSES_DOWN_MAX && processes_[i]->is_up) {
            Kill(i);
        }
        break;
    }
    /* A leader that is frozen or killed has a successor. */
    if (!processes_[leader_]->is_up ||
        processes_[leader_]->frozen_until > fleet_->now) {
        ChangeLeader();
    }
}

void
Carriers::Heal()
{
    for (auto &process : processes_) {
        process->frozen_until = 0;
    }
    links_.clear();
    cuts_.clear();
}

size_t
Carriers::Counter(jr_counter_t counter) const
{
    size_t n = 0;

    for (const auto &process : processes_) {
        n += process->ctx->counters[counter];
    }
    return n;
}
