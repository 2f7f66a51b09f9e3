/*
 * Simulated histories of the members of a group, in virtual time: machines
 * lose disks, lose power and are cut off at random, within the number of disk
 * losses that the group tolerates. JR_HISTORIES sets the number of histories
 * of each size; JR_SEED runs the single history of that seed.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/histories_test.h"
#include "quorum/members_test.h"

namespace {

constexpr int64_t kStepMs = 5;
constexpr int64_t kElectionMs = 700;
constexpr int64_t kHeartbeatMs = 100;
constexpr int64_t kJoinIntervalMs = 250;
/* A machine that lost its disk counts as lost for so long after it is back. */
constexpr int64_t kCatchUpMs = 4000;
constexpr int64_t kLateJoinMs = 8000; /* a request may take so long */
constexpr int64_t kSettleMs = 10000;
constexpr int64_t kFaultMs = 40000;
constexpr int64_t kRecoveryMs = 15000;
constexpr uint32_t kHistories = 100;
constexpr int kSeeds = 3; /* machines whose addresses all are told */

class History {
  public:
    History(uint32_t seed, size_t machines, size_t tolerate)
        : rng_(seed), tolerate_(tolerate), machines_(machines)
    {
        ctx_ = jr_new_ctx("members", getenv("JR_LOG") ? stdout : nullptr);
        for (size_t m = 0; m < machines_.size(); m++) {
            machines_[m].disk.id = m + 1;
            if (m < kSeeds) {
                InitDisk(machines_[m].disk);
            }
            Start(m);
        }
        last_id_ = machines_.size();
    }

    ~History()
    {
        for (Machine &machine : machines_) {
            jr_drop_quorum(machine.q);
        }
        jr_drop_ctx(ctx_);
    }

    /* Returns the first violation, empty for none. */
    std::string
    Run()
    {
        Advance(kSettleMs);
        next_fault_ = now_;
        with_faults_ = true;
        Advance(kFaultMs);
        with_faults_ = false;
        LastFault();
        Advance(3000);
        cut_.clear();
        Advance(kRecoveryMs);
        CheckEnd();
        return violation_;
    }

  private:
    int64_t
    Random(int64_t lo, int64_t hi)
    {
        return std::uniform_int_distribution<int64_t>(lo, hi)(rng_);
    }

    void
    Fail(const std::string &what)
    {
        if (violation_.empty()) {
            violation_ = "at " + std::to_string(now_) + " ms: " + what;
        }
    }

    void
    Note(const std::string &what)
    {
        if (getenv("JR_VERBOSE") != nullptr) {
            printf("%lld %s\n", (long long)now_, what.c_str());
            fflush(stdout);
        }
    }

    static std::string
    Name(size_t m)
    {
        return "m" + std::to_string(m);
    }

    void
    InitDisk(Disk &disk)
    {
        jr_config_t config = {};
        uint8_t *bytes;
        size_t len;

        for (size_t m = 0; m < kSeeds; m++) {
            jr_member_t &member = config.members[config.n++];

            member.id = m + 1;
            member.voter = true;
            snprintf(member.name, sizeof member.name, "m%zu", m);
        }
        len = jr_config_pack(ctx_, &config, &bytes);
        disk.term = 1;
        disk.entries.push_back(
            {1, 1, JR_ENTRY_CONFIG, Bytes(bytes, bytes + len)});
        jr_free(ctx_, bytes);
    }

    void
    Start(size_t m)
    {
        Machine &machine = machines_[m];
        jr_quorum_options_t options = {};

        options.self = machine.disk.id;
        options.seed = (uint32_t)Random(1, 1 << 30);
        options.election_ms = kElectionMs;
        options.heartbeat_ms = kHeartbeatMs;
        options.voters = 2 * tolerate_ + 1;
        machine.q = jr_new_quorum(ctx_, &options, now_);
        jr_quorum_restore_hard_state(machine.q, machine.disk.term,
                                     machine.disk.voted_for);
        for (Entry &entry : machine.disk.entries) {
            jr_entry_t restored = {entry.index, entry.term, entry.kind,
                                   entry.data.data(), entry.data.size()};

            jr_quorum_restore_entry(machine.q, &restored);
        }
        machine.peers.clear();
        machine.ticket = {};
        for (int s = 0; s < kSeeds; s++) {
            machine.peers.insert(s);
        }
    }

    void
    PowerOff(size_t m, int64_t for_ms)
    {
        jr_drop_quorum(machines_[m].q);
        machines_[m].q = nullptr;
        machines_[m].up_at = std::max(machines_[m].up_at, now_ + for_ms);
    }

    void
    LoseDisk(size_t m, int64_t for_ms)
    {
        Machine &machine = machines_[m];

        Note("disk of " + Name(m) + " is lost for " + std::to_string(for_ms));
        PowerOff(m, for_ms);
        machine.disk = Disk();
        machine.disk.id = ++last_id_;
        machine.lost_until = machine.up_at + kCatchUpMs;
    }

    bool
    IsDiskLost(size_t m) const
    {
        return machines_[m].lost_until > now_;
    }

    bool
    IsUnavailable(size_t m) const
    {
        return machines_[m].q == nullptr || cut_.count(m) != 0 ||
               IsDiskLost(m);
    }

    size_t
    Count(bool (History::*is)(size_t) const) const
    {
        size_t n = 0;

        for (size_t m = 0; m < machines_.size(); m++) {
            n += (this->*is)(m);
        }
        return n;
    }

    bool
    MayLoseDisk(size_t m) const
    {
        return IsDiskLost(m) || Count(&History::IsDiskLost) < tolerate_;
    }

    /*
     * A machine whose disk is lost stays lost while it is down or cut off. So
     * it does while more machines are away than tolerated, as the group may
     * stand still and replace nothing.
     */
    void
    ExtendLosses()
    {
        bool is_beyond = Count(&History::IsUnavailable) > tolerate_;

        for (size_t m = 0; m < machines_.size(); m++) {
            Machine &machine = machines_[m];
            bool is_away = machine.q == nullptr || cut_.count(m) != 0;

            if (IsDiskLost(m) && (is_beyond || is_away)) {
                machine.lost_until =
                    std::max(machine.lost_until, now_ + kCatchUpMs);
            }
        }
    }

    void
    InjectFault()
    {
        size_t m = (size_t)Random(0, (int64_t)machines_.size() - 1);

        next_fault_ = now_ + Random(100, 3000);
        switch (Random(0, 6)) {
        case 0:
        case 1:
        case 2:
            if (MayLoseDisk(m)) {
                LoseDisk(m, Random(50, 2000));
            }
            break;
        case 3: /* the same machine again */
            for (m = 0; m < machines_.size(); m++) {
                if (IsDiskLost(m) && machines_[m].q != nullptr) {
                    LoseDisk(m, Random(50, 2000));
                    break;
                }
            }
            break;
        case 4:
            Note(Name(m) + " loses power");
            PowerOff(m, Random(50, 5000));
            break;
        case 5:
            cut_.clear();
            for (size_t i = 0; i < (size_t)Random(1, (int64_t)tolerate_);
                 i++) {
                cut_.insert((m + i) % machines_.size());
                Note(Name((m + i) % machines_.size()) + " is cut off");
            }
            break;
        default:
            Note("cut ends");
            cut_.clear();
            break;
        }
    }

    /* As many disks as are tolerated, and power everywhere. */
    void
    LastFault()
    {
        for (size_t i = 0; i < 4 * machines_.size(); i++) {
            size_t m = (size_t)Random(0, (int64_t)machines_.size() - 1);

            if (!IsDiskLost(m) && MayLoseDisk(m)) {
                LoseDisk(m, 3000);
            }
        }
        for (size_t m = 0; m < machines_.size(); m++) {
            PowerOff(m, 2000);
        }
    }

    void
    SendLate(size_t from, size_t to, int64_t delay, std::function<void()> run)
    {
        if (from != to && cut_.count(from) != cut_.count(to)) {
            return;
        }
        events_.push(
            {now_ + delay + Random(1, 12), ++event_number_, std::move(run)});
    }

    void
    Send(size_t from, size_t to, std::function<void()> run)
    {
        SendLate(from, to, 0, std::move(run));
    }

    void
    Write(Machine &machine, const jr_ready_t &ready)
    {
        Disk &disk = machine.disk;

        disk.term = ready.term;
        disk.voted_for = ready.voted_for;
        for (size_t i = 0; i < ready.n_entries; i++) {
            const jr_entry_t &entry = ready.entries[i];

            while (!disk.entries.empty() &&
                   disk.entries.back().index >= entry.index) {
                disk.entries.pop_back();
            }
            disk.entries.push_back(
                {entry.index, entry.term, entry.kind,
                 Bytes(entry.data, entry.data + entry.len)});
        }
    }

    void
    Apply(Machine &machine)
    {
        const jr_entry_t *entry;

        while ((entry = jr_quorum_next_committed(machine.q)) != nullptr) {
            Bytes data(entry->data, entry->data + entry->len);
            auto known = committed_.emplace(entry->index, data);

            if (known.first->second != data) {
                Fail("entry " + std::to_string(entry->index) + " is replaced");
            }
        }
    }

    int
    MachineOf(uint64_t id) const
    {
        for (size_t m = 0; m < machines_.size(); m++) {
            if (machines_[m].disk.id == id) {
                return (int)m;
            }
        }
        return -1;
    }

    void
    SendMessages(size_t m)
    {
        jr_member_t to;
        uint8_t *packed;
        size_t len;

        while (jr_quorum_take_message(machines_[m].q, &to, &packed, &len)) {
            Bytes bytes(packed, packed + len);
            int receiver =
                to.name[0] != '\0' ? atoi(to.name + 1) : MachineOf(to.id);

            jr_free(ctx_, packed);
            if (receiver < 0) {
                continue;
            }
            Send(m, (size_t)receiver, [this, m, receiver, bytes] {
                Machine &machine = machines_[(size_t)receiver];

                if (machine.q != nullptr) {
                    machine.peers.insert((int)m);
                    jr_quorum_receive(machine.q, bytes.data(), bytes.size(),
                                      now_);
                }
            });
        }
    }

    /* Is the replica on the disk of a machine a member? */
    bool
    HasCurrentReplica(const Machine &leader, size_t m) const
    {
        return jr_config_find(jr_quorum_config(leader.q),
                              machines_[m].disk.id) != nullptr;
    }

    void
    OfferTicket(size_t leader, size_t to, uint64_t id)
    {
        jr_join_ticket_t ticket = jr_quorum_join_ticket(machines_[leader].q);

        Send(leader, to, [this, to, id, ticket] {
            if (machines_[to].disk.id == id) {
                machines_[to].ticket = ticket;
            }
        });
    }

    void
    OnJoin(size_t m, size_t from, uint64_t id, jr_join_ticket_t ticket)
    {
        Machine &machine = machines_[m];
        jr_member_t member = {};
        int leader;

        if (machine.q == nullptr) {
            return;
        }
        leader = MachineOf(jr_quorum_leader(machine.q));
        if (jr_quorum_is_caught_up(machine.q)) {
            bool had_current = HasCurrentReplica(machine, from);

            member.id = id;
            snprintf(member.name, sizeof member.name, "m%zu", from);
            if (jr_quorum_join(machine.q, &member, &ticket) ==
                JR_IN_PROGRESS) {
                OfferTicket(m, from, id);
            }
            if (had_current && !HasCurrentReplica(machine, from)) {
                Fail("a late join request removed the replica of " +
                     Name(from));
            }
        }
        else if (leader >= 0 && machines_[from].q != nullptr) {
            machines_[from].peers.insert(leader);
        }
    }

    void
    Join(size_t m)
    {
        Machine &machine = machines_[m];
        const jr_config_t *config = jr_quorum_config(machine.q);
        uint64_t id = machine.disk.id;

        machine.next_join = now_ + kJoinIntervalMs;
        if (!jr_quorum_needs_join(machine.q)) {
            return;
        }
        for (size_t i = 0; i < config->n; i++) {
            machine.peers.insert(atoi(config->members[i].name + 1));
        }
        for (int peer : machine.peers) {
            int64_t delay = Random(0, 9) == 0 ? Random(0, kLateJoinMs) : 0;

            SendLate(m, (size_t)peer, delay,
                     [this, m, peer, id, ticket = machine.ticket] {
                         OnJoin((size_t)peer, m, id, ticket);
                     });
        }
    }

    void
    Propose(Machine &machine)
    {
        uint64_t command = ++last_command_;
        uint64_t index;

        jr_quorum_propose(machine.q, (const uint8_t *)&command, sizeof command,
                          &index);
    }

    void
    Step(size_t m)
    {
        Machine &machine = machines_[m];
        jr_config_t next;
        jr_ready_t ready;

        if (machine.q == nullptr && now_ < machine.up_at) {
            return;
        }
        if (machine.q == nullptr) {
            Start(m);
        }
        jr_quorum_tick(machine.q, now_);
        if (jr_quorum_is_caught_up(machine.q)) {
            if (jr_quorum_next_config(machine.q, &next)) {
                jr_quorum_propose_config(machine.q, &next);
            }
            if (now_ % 50 == 0) {
                Propose(machine);
            }
        }
        if (now_ >= machine.next_join) {
            Join(m);
        }
        if (jr_quorum_ready(machine.q, &ready)) {
            Write(machine, ready);
            jr_quorum_persisted(machine.q, now_);
        }
        SendMessages(m);
        Apply(machine);
        CheckCopies(machine);
        jr_log_flush(ctx_);
    }

    /* A replica whose disk is lost is no copy, even while it is a voter. */
    size_t
    CountCopies(const jr_config_t *config, uint64_t index,
                const Bytes &data) const
    {
        size_t n = 0;

        for (const Machine &machine : machines_) {
            const Disk &disk = machine.disk;
            const jr_member_t *member = jr_config_find(config, disk.id);

            n += member != nullptr && member->voter &&
                 std::any_of(disk.entries.rbegin(), disk.entries.rend(),
                             [&](const Entry &entry) {
                                 return entry.index == index &&
                                        entry.data == data;
                             });
        }
        return n;
    }

    static size_t
    CountVoters(const Machine &machine)
    {
        const jr_config_t *config = jr_quorum_config(machine.q);
        size_t n = 0;

        for (size_t i = 0; i < config->n; i++) {
            n += config->members[i].voter;
        }
        return n;
    }

    /*
     * A change of the members must not take a copy away that the disks lost
     * so far have left. The newest committed entry has the fewest copies.
     * At the first start the group has only the seeds as voters, and promises
     * this once it has grown.
     */
    void
    CheckCopies(const Machine &machine)
    {
        size_t lost = Count(&History::IsDiskLost);
        size_t copies;

        if (!jr_quorum_is_caught_up(machine.q) || committed_.empty()) {
            return;
        }
        has_grown_ |= CountVoters(machine) >= 2 * tolerate_ + 1;
        copies = CountCopies(jr_quorum_config(machine.q),
                             committed_.rbegin()->first,
                             committed_.rbegin()->second);
        if (has_grown_ && copies + lost < tolerate_ + 1) {
            Fail("entry " + std::to_string(committed_.rbegin()->first) +
                 " has " + std::to_string(copies) + " copies with " +
                 std::to_string(lost) +
                 " disks lost:" + Members(jr_quorum_config(machine.q)));
        }
    }

    void
    Advance(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end; now_ += kStepMs) {
            if (with_faults_ && now_ >= next_fault_) {
                InjectFault();
            }
            ExtendLosses();
            while (!events_.empty() && events_.top().at <= now_) {
                auto run = events_.top().run;

                events_.pop();
                run();
            }
            for (size_t m = 0; m < machines_.size(); m++) {
                Step(m);
            }
        }
    }

    std::string
    Members(const jr_config_t *config) const
    {
        std::string text;

        for (size_t i = 0; i < config->n; i++) {
            const jr_member_t &member = config->members[i];

            text += std::string(" ") + member.name + "/" +
                    std::to_string(member.id) + (member.voter ? "v" : "l");
        }
        return text;
    }

    void
    CheckEnd()
    {
        jr_quorum_t *leader = nullptr;
        size_t voters = 0;

        for (Machine &machine : machines_) {
            if (jr_quorum_is_caught_up(machine.q)) {
                leader = machine.q;
            }
        }
        if (leader == nullptr) {
            Fail("there is no leader in the end");
            return;
        }
        if (jr_quorum_applied(leader) < committed_.rbegin()->first) {
            Fail("acknowledged entries are lost");
        }
        for (size_t m = 0; m < machines_.size(); m++) {
            const jr_member_t *member =
                jr_config_find(jr_quorum_config(leader), machines_[m].disk.id);

            voters += member != nullptr && member->voter;
            if (MachineOf(jr_quorum_leader(machines_[m].q)) !=
                MachineOf(jr_quorum_leader(leader))) {
                Fail(Name(m) + " does not know the leader in the end");
            }
            if (member == nullptr) {
                Fail(Name(m) + " is no member in the end:" +
                     Members(jr_quorum_config(leader)));
            }
        }
        if (voters < 2 * tolerate_ + 1) {
            Fail("too few voters in the end:" +
                 Members(jr_quorum_config(leader)));
        }
    }

    jr_ctx_t *ctx_;
    std::mt19937 rng_;
    size_t tolerate_;
    std::vector<Machine> machines_;
    int64_t now_ = 0;
    bool with_faults_ = false;
    bool has_grown_ = false; /* to as many voters as are to be restored */
    int64_t next_fault_ = 0;
    std::set<size_t> cut_;
    uint64_t event_number_ = 0;
    uint64_t last_id_ = 0;
    uint64_t last_command_ = 0;
    std::priority_queue<Event> events_;
    std::map<uint64_t, Bytes> committed_; /* by index */
    std::string violation_;
};

void
ExpectNoViolation(size_t machines, size_t tolerate)
{
    violations_t found = RunHistories(kHistories, [=](uint32_t seed) {
        std::string violation = History(seed, machines, tolerate).Run();

        return violation.empty() ? std::vector<std::string>()
                                 : std::vector<std::string>{violation};
    });

    for (const auto &[seed, violations] : found) {
        ADD_FAILURE() << "replay with JR_SEED=" << seed << ": "
                      << violations[0];
    }
}

TEST(Members, ThreeOfWhichOneMayLoseItsDisk)
{
    ExpectNoViolation(3, 1);
}

TEST(Members, FiveOfWhichTwoMayLoseTheirDisks)
{
    ExpectNoViolation(5, 2);
}

TEST(Members, EightOfWhichTwoMayLoseTheirDisks)
{
    ExpectNoViolation(8, 2);
}

} // namespace
