/* Tests of the consensus core: elections, replication, membership. */
#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C" {
#include "jayrelay/quorum.h"
#include "quorum/quorum.pb-c.h"
}

namespace {

constexpr int64_t kElectionMs = 100;
constexpr int64_t kHeartbeatMs = 20;

/*
 * Replicas in one process. Writes are durable immediately; messages are lost
 * only to and from the replica cut_.
 */
class QuorumTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
    }

    void
    TearDown() override
    {
        for (auto &item : replicas_) {
            jr_drop_quorum(item.second);
        }
        jr_drop_ctx(ctx_);
    }

    /* Asks for a ticket, and joins with it. */
    jr_result_t
    Join(jr_quorum_t *leader, const jr_member_t &member)
    {
        jr_join_ticket_t ticket = jr_quorum_join_ticket(leader);

        return jr_quorum_join(leader, &member, &ticket);
    }

    jr_config_t
    Members(std::vector<uint64_t> ids)
    {
        jr_config_t config = {};

        for (uint64_t id : ids) {
            config.members[config.n].id = id;
            config.members[config.n].voter = true;
            snprintf(config.members[config.n].name, JR_NAME_BYTES, "n%d",
                     (int)id);
            config.n++;
        }
        return config;
    }

    jr_quorum_t *
    Add(uint64_t id, const jr_config_t *members)
    {
        jr_quorum_options_t options = {};
        jr_entry_t entry = {1, 1, JR_ENTRY_CONFIG, nullptr, 0};
        jr_quorum_t *q;

        options.self = id;
        options.seed = (uint32_t)id;
        options.election_ms = kElectionMs;
        options.heartbeat_ms = kHeartbeatMs;
        options.voters = voters_;
        q = jr_new_quorum(ctx_, &options, now_);
        if (members != nullptr) {
            entry.len = jr_config_pack(ctx_, members, &entry.data);
            jr_quorum_restore_hard_state(q, 1, 0);
            jr_quorum_restore_entry(q, &entry);
            jr_free(ctx_, entry.data);
        }
        replicas_[id] = q;
        return q;
    }

    void
    StartThree()
    {
        jr_config_t members = Members({1, 2, 3});

        for (uint64_t id = 1; id <= 3; id++) {
            Add(id, &members);
        }
        Run(600);
    }

    void
    Exchange(jr_quorum_t *q)
    {
        jr_ready_t ready;
        jr_member_t to;
        uint8_t *bytes;
        size_t len;

        if (jr_quorum_ready(q, &ready)) {
            jr_quorum_persisted(q, now_);
        }
        while (jr_quorum_take_message(q, &to, &bytes, &len)) {
            auto found = replicas_.find(to.id);

            if (found != replicas_.end() && cut_ != to.id &&
                (cut_ == 0 || replicas_[cut_] != q)) {
                jr_quorum_receive(found->second, bytes, len, now_);
            }
            jr_free(ctx_, bytes);
        }
        while (jr_quorum_next_committed(q) != nullptr) {
        }
    }

    void
    Run(int64_t ms)
    {
        for (int64_t end = now_ + ms; now_ < end; now_ += 5) {
            for (auto &item : replicas_) {
                jr_quorum_tick(item.second, now_);
                Exchange(item.second);
            }
        }
    }

    jr_quorum_t *
    Leader()
    {
        jr_quorum_t *leader = nullptr;

        for (auto &item : replicas_) {
            if (item.first != cut_ &&
                jr_quorum_role(item.second) == JR_LEADER) {
                EXPECT_EQ(leader, nullptr);
                leader = item.second;
            }
        }
        return leader;
    }

    uint64_t
    IdOf(const jr_quorum_t *q)
    {
        for (auto &item : replicas_) {
            if (item.second == q) {
                return item.first;
            }
        }
        return 0;
    }

    void
    Propose(jr_quorum_t *q, const char *text)
    {
        uint64_t index;

        ASSERT_EQ(
            jr_quorum_propose(q, (const uint8_t *)text, strlen(text), &index),
            JR_OK);
    }

    jr_ctx_t *ctx_ = nullptr;
    int64_t now_ = 0;
    size_t voters_ = 0;
    uint64_t cut_ = 0;
    std::map<uint64_t, jr_quorum_t *> replicas_;
};

TEST_F(QuorumTest, ElectsOneLeaderAndCommits)
{
    StartThree();
    ASSERT_NE(Leader(), nullptr);
    Propose(Leader(), "hello");
    Run(100);
    for (auto &item : replicas_) {
        EXPECT_EQ(jr_quorum_applied(item.second), jr_quorum_last(Leader()));
    }
}

TEST_F(QuorumTest, ACutOffLeaderStepsDownAndCannotCommit)
{
    jr_quorum_t *old;
    uint64_t commit;

    StartThree();
    old = Leader();
    ASSERT_NE(old, nullptr);
    cut_ = IdOf(old);
    commit = jr_quorum_commit(old);
    Propose(old, "lost");
    Run(600);
    EXPECT_NE(jr_quorum_role(old), JR_LEADER);
    EXPECT_EQ(jr_quorum_commit(old), commit);
    ASSERT_NE(Leader(), nullptr);
    Propose(Leader(), "kept");
    Run(100);
    cut_ = 0;
    Run(600);
    ASSERT_NE(Leader(), nullptr);
    EXPECT_EQ(jr_quorum_applied(old), jr_quorum_last(Leader()));
}

/* On an overloaded host, all processes stall at the same time. */
TEST_F(QuorumTest, ALeaderSurvivesAStallOfAllProcesses)
{
    jr_quorum_t *leader;
    uint64_t term;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    term = jr_quorum_term(leader);
    now_ += 3 * kElectionMs / 2;
    Run(400);
    EXPECT_EQ(Leader(), leader);
    for (auto &item : replicas_) {
        EXPECT_EQ(jr_quorum_term(item.second), term);
        EXPECT_EQ(jr_quorum_leader(item.second), IdOf(leader));
    }
}

/*
 * A stalled follower has heartbeats waiting in its socket: it must not start
 * an election before it has read them.
 */
TEST_F(QuorumTest, AStalledFollowerDoesNotStartAnElectionAtOnce)
{
    jr_quorum_t *leader;
    jr_quorum_t *follower;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    follower = replicas_[IdOf(leader) % 3 + 1];
    jr_quorum_tick(follower, now_ + 20 * kElectionMs);
    EXPECT_EQ(jr_quorum_role(follower), JR_FOLLOWER);
    EXPECT_EQ(jr_quorum_leader(follower), IdOf(leader));
}

/*
 * A stall must not extend the majority confirmation of a leader. Without a new
 * confirmation the leader steps down.
 */
TEST_F(QuorumTest, AStallDoesNotConfirmTheLeader)
{
    jr_quorum_t *leader;
    int64_t before;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    before = jr_quorum_confirmed_at(leader);
    jr_quorum_tick(leader, now_ + kElectionMs + kHeartbeatMs);
    EXPECT_EQ(jr_quorum_role(leader), JR_LEADER);
    EXPECT_EQ(jr_quorum_confirmed_at(leader), before);
    for (int64_t ms = 0; ms <= 2 * kElectionMs; ms += 5) {
        jr_quorum_tick(leader, now_ + kElectionMs + kHeartbeatMs + ms);
    }
    EXPECT_NE(jr_quorum_role(leader), JR_LEADER);
}

/* After a long stall, the followers have elected another leader. */
TEST_F(QuorumTest, ALongStallEndsLeadership)
{
    jr_quorum_t *leader;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    jr_quorum_tick(leader, now_ + 10 * kElectionMs);
    EXPECT_NE(jr_quorum_role(leader), JR_LEADER);
}

/*
 * A partitioned replica must not raise the term: without pre-votes it would
 * depose the leader when it reconnects.
 */
TEST_F(QuorumTest, AReconnectedReplicaDoesNotDeposeTheLeader)
{
    uint64_t term;
    jr_quorum_t *leader;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    term = jr_quorum_term(leader);
    cut_ = IdOf(leader) % 3 + 1;
    Run(2000);
    cut_ = 0;
    Run(600);
    EXPECT_EQ(Leader(), leader);
    EXPECT_EQ(jr_quorum_term(leader), term);
}

TEST_F(QuorumTest, LeadershipIsConfirmedFromTheRequestNotTheReply)
{
    jr_quorum_t *leader;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    EXPECT_LE(jr_quorum_confirmed_at(leader), now_);
    EXPECT_GE(jr_quorum_confirmed_at(leader), now_ - 2 * kHeartbeatMs);
    cut_ = IdOf(leader);
    int64_t before = jr_quorum_confirmed_at(leader);
    Run(50);
    EXPECT_EQ(jr_quorum_confirmed_at(leader), before);
}

TEST_F(QuorumTest, ANewReplicaIsALearnerUntilItHasCaughtUp)
{
    jr_config_t next;
    jr_quorum_t *leader;
    uint8_t state[] = {1, 2, 3};

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    for (int i = 0; i < 50; i++) {
        Propose(leader, "entry");
    }
    Run(100);
    jr_quorum_compact(leader, state, sizeof state);

    /* Replica 9 replaces a member that lost its disk. */
    uint64_t lost = IdOf(leader) % 3 + 1;
    jr_drop_quorum(replicas_[lost]);
    replicas_.erase(lost);
    Add(9, nullptr);
    next = *jr_quorum_config(leader);
    next.members[next.n].id = 9;
    snprintf(next.members[next.n].name, JR_NAME_BYTES, "n%d", (int)lost);
    next.n++;
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    EXPECT_EQ(jr_quorum_propose_config(leader, &next), JR_IN_PROGRESS);
    EXPECT_FALSE(jr_quorum_next_config(leader, &next));
    for (int step = 0; step < 10; step++) {
        Run(100);
        if (jr_quorum_next_config(leader, &next)) {
            ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
        }
    }
    const jr_config_t *config = jr_quorum_config(leader);

    EXPECT_EQ(config->n, 3u);
    EXPECT_EQ(jr_config_find(config, lost), nullptr);
    ASSERT_NE(jr_config_find(config, 9), nullptr);
    EXPECT_TRUE(jr_config_find(config, 9)->voter);
    EXPECT_EQ(jr_quorum_applied(replicas_[9]), jr_quorum_last(leader));
}

/*
 * A host rejoins with an empty disk long after the election. The limit for a
 * silent learner counts from when the replica joined: counted from the
 * election, the learner would be removed before it can answer. It is removed
 * if it is still silent at the limit.
 */
TEST_F(QuorumTest, ANewLearnerIsSilentSinceItJoinedNotSinceTheElection)
{
    jr_config_t next;
    jr_quorum_t *leader;

    voters_ = 3;
    StartThree();
    Run(20000);
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    next = *jr_quorum_config(leader);
    next.members[next.n].id = 9;
    snprintf(next.members[next.n].name, JR_NAME_BYTES, "elsewhere");
    next.n++;
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    Run(5000);
    EXPECT_FALSE(jr_quorum_next_config(leader, &next));
    Run(11000);
    EXPECT_TRUE(jr_quorum_next_config(leader, &next));
    EXPECT_EQ(jr_config_find(&next, 9), nullptr);
}

/*
 * A host is replaced by one with another name: the silent voter is removed
 * after the replacement has joined.
 */
TEST_F(QuorumTest, AReplacementLeadsToRemovalOfTheSilentVoter)
{
    jr_config_t next;
    jr_quorum_t *leader;

    voters_ = 3;
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    uint64_t lost = IdOf(leader) % 3 + 1;
    jr_drop_quorum(replicas_[lost]);
    replicas_.erase(lost);
    /* Without a replacement, the group keeps its three voters. */
    Run(5000);
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    EXPECT_FALSE(jr_quorum_next_config(leader, &next));
    Add(9, nullptr);
    next = *jr_quorum_config(leader);
    next.members[next.n].id = 9;
    snprintf(next.members[next.n].name, JR_NAME_BYTES, "elsewhere");
    next.n++;
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    for (int step = 0; step < 60; step++) {
        Run(100);
        if (jr_quorum_next_config(leader, &next)) {
            ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
        }
    }
    const jr_config_t *config = jr_quorum_config(leader);

    EXPECT_EQ(config->n, 3u);
    EXPECT_EQ(jr_config_find(config, lost), nullptr);
    ASSERT_NE(jr_config_find(config, 9), nullptr);
    EXPECT_TRUE(jr_config_find(config, 9)->voter);
}

/* Each membership change logs one line; a refused one logs none. */
TEST_F(QuorumTest, AMembershipChangeIsLoggedOnceItIsProposed)
{
    char text[4096] = {};
    FILE *log = tmpfile();
    jr_config_t next;
    jr_quorum_t *leader;

    ASSERT_NE(log, nullptr);
    jr_drop_ctx(ctx_);
    ctx_ = jr_new_ctx("test", log);
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    next = *jr_quorum_config(leader);
    next.members[next.n].id = 9;
    snprintf(next.members[next.n].name, JR_NAME_BYTES, "n9");
    next.n++;
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    next.n--;
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_IN_PROGRESS);
    jr_log_flush(ctx_);
    rewind(log);
    fread(text, 1, sizeof text - 1, log);
    EXPECT_NE(std::string(text).find(
                  "name=membership group=0 change=added member=n9 "
                  "replica=0000000000000009 reason=joined silent_ms=0 "
                  "voters=3 learners=1\n"),
              std::string::npos)
        << text;
    EXPECT_EQ(std::string(text).find("change=removed"), std::string::npos);
    jr_log_flush(ctx_);
    ctx_->log = nullptr;
    fclose(log);
}

/* A replica is not informed that it was removed, so it must ask again. */
TEST_F(QuorumTest, AReplicaRemovedWhileItRunsRequestsMembershipAgain)
{
    jr_config_t next;
    jr_quorum_t *leader;
    jr_quorum_t *removed;
    jr_member_t member = {};

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    cut_ = IdOf(leader) % 3 + 1;
    removed = replicas_[cut_];
    member = *jr_config_find(jr_quorum_config(leader), cut_);
    next = *jr_quorum_config(leader);
    next.n = 0;
    for (uint64_t id = 1; id <= 3; id++) {
        if (id != cut_) {
            next.members[next.n++] =
                *jr_config_find(jr_quorum_config(leader), id);
        }
    }
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    EXPECT_FALSE(jr_quorum_needs_join(removed));
    Run(500);
    cut_ = 0;
    Run(4000);
    EXPECT_EQ(Leader(), leader);
    EXPECT_FALSE(jr_quorum_needs_join(leader));
    ASSERT_TRUE(jr_quorum_needs_join(removed));
    ASSERT_EQ(Join(leader, member), JR_OK);
    Run(500);
    EXPECT_FALSE(jr_quorum_needs_join(removed));
    EXPECT_EQ(jr_quorum_leader(removed), IdOf(leader));
}

/* Callers must not be sent to a leader that is silent. */
TEST_F(QuorumTest, ALearnerForgetsASilentLeader)
{
    jr_quorum_t *learner = Add(9, nullptr);
    jr_member_t member = {};
    jr_quorum_t *leader;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    member.id = 9;
    snprintf(member.name, sizeof member.name, "n9");
    ASSERT_EQ(Join(leader, member), JR_OK);
    Run(500);
    EXPECT_EQ(jr_quorum_leader(learner), IdOf(leader));
    cut_ = 9;
    Run(1000);
    EXPECT_EQ(jr_quorum_leader(learner), 0u);
}

/* A replica that lost its disk must not count beside its successor. */
TEST_F(QuorumTest, ADeadVoterIsRemovedBeforeItsSuccessorVotes)
{
    jr_config_t next;
    jr_member_t member = {};
    jr_quorum_t *leader;
    uint64_t lost;

    voters_ = 3;
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    lost = IdOf(leader) % 3 + 1;
    member = *jr_config_find(jr_quorum_config(leader), lost);
    member.id = 9;
    jr_drop_quorum(replicas_[lost]);
    replicas_.erase(lost);
    Add(9, nullptr);
    Run(500); /* until it is silent */
    ASSERT_EQ(Join(leader, member), JR_OK);
    for (int step = 0; step < 10; step++) {
        const jr_config_t *config = jr_quorum_config(leader);

        EXPECT_TRUE(jr_config_find(config, lost) == nullptr ||
                    !jr_config_find(config, 9)->voter);
        Run(50);
        if (jr_quorum_next_config(leader, &next)) {
            ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
        }
    }
    EXPECT_EQ(jr_quorum_config(leader)->n, 3u);
    EXPECT_TRUE(jr_config_find(jr_quorum_config(leader), 9)->voter);
}

/* A voter more than configured would raise the majority for nothing. */
TEST_F(QuorumTest, ALearnerIsNotPromotedWhileNoVoterIsSilent)
{
    jr_config_t next;
    jr_member_t member = {};
    jr_quorum_t *leader;

    voters_ = 3;
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    Add(9, nullptr);
    member.id = 9;
    snprintf(member.name, sizeof member.name, "n9");
    ASSERT_EQ(Join(leader, member), JR_OK);
    Run(1000);
    EXPECT_EQ(jr_quorum_applied(replicas_[9]), jr_quorum_last(leader));
    EXPECT_FALSE(jr_quorum_next_config(leader, &next));
}

/* Two processes that lose their disks at once must both be able to join. */
TEST_F(QuorumTest, AJoinReplacesTheEarlierReplicaAtOnce)
{
    jr_member_t member = {};
    jr_quorum_t *leader;

    voters_ = 3;
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    for (uint64_t id = 10; id < 20; id++) {
        member.id = id;
        snprintf(member.name, sizeof member.name, "m%d", (int)(id % 2));
        ASSERT_EQ(Join(leader, member), JR_OK);
        Run(50);
    }
    EXPECT_EQ(jr_config_find(jr_quorum_config(leader), 17), nullptr);
    EXPECT_NE(jr_config_find(jr_quorum_config(leader), 18), nullptr);
    EXPECT_NE(jr_config_find(jr_quorum_config(leader), 19), nullptr);
}

/* A leader that no majority of the new members ever confirmed must resign. */
TEST_F(QuorumTest, ALeaderStepsDownWhenItsNewMajorityIsSilent)
{
    jr_config_t members = Members({1, 2, 3});
    jr_config_t next = {};
    jr_quorum_t *leader;

    cut_ = 3;
    for (uint64_t id = 1; id <= 3; id++) {
        Add(id, &members);
    }
    Run(600);
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    next.members[next.n++] =
        *jr_config_find(jr_quorum_config(leader), IdOf(leader));
    next.members[next.n++] = *jr_config_find(jr_quorum_config(leader), 3);
    ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
    EXPECT_TRUE(jr_quorum_is_confirmed(leader, now_, kElectionMs));
    Run(1000);
    EXPECT_NE(jr_quorum_role(leader), JR_LEADER);
    EXPECT_FALSE(jr_quorum_is_confirmed(leader, now_, kElectionMs));
}

/* Entries are sent before the first batch is acknowledged. */
TEST_F(QuorumTest, SeveralBatchesAreInFlightAtOnce)
{
    jr_quorum_t *leader;
    jr_ready_t ready;
    size_t sent = 0;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    for (int i = 0; i < 3; i++) {
        jr_member_t to;
        uint8_t *bytes;
        size_t len;

        Propose(leader, "entry");
        jr_quorum_ready(leader, &ready);
        while (jr_quorum_take_message(leader, &to, &bytes, &len)) {
            Jr__QuorumMsg *m = jr__quorum_msg__unpack(nullptr, len, bytes);

            sent += m->body_case == JR__QUORUM_MSG__BODY_APPEND
                        ? m->append->n_entries
                        : 0;
            jr__quorum_msg__free_unpacked(m, nullptr);
            jr_free(ctx_, bytes);
        }
        jr_quorum_persisted(leader, now_);
    }
    EXPECT_EQ(sent, 6u); /* each entry once to each of two followers */
    Run(1000);
    EXPECT_EQ(jr_quorum_commit(leader), jr_quorum_last(leader));
}

TEST_F(QuorumTest, LeadershipTransferIsImmediate)
{
    jr_quorum_t *old;

    StartThree();
    old = Leader();
    ASSERT_NE(old, nullptr);
    jr_quorum_transfer(old);
    Run(30);
    ASSERT_NE(Leader(), nullptr);
    EXPECT_NE(Leader(), old);
}

/*
 * A follower whose log already contains the last entry of a snapshot must keep
 * the entries after it, which may be acknowledged. Found by seed 2786 of
 * history_test.
 */
TEST_F(QuorumTest, ASnapshotDoesNotDropAcknowledgedEntries)
{
    jr_quorum_options_t options = {};
    jr_quorum_t *q;
    Jr__Snapshot snapshot = JR__SNAPSHOT__INIT;
    Jr__Install install = JR__INSTALL__INIT;
    Jr__QuorumMsg message = JR__QUORUM_MSG__INIT;
    std::vector<uint8_t> bytes;

    options.self = 2;
    options.election_ms = kElectionMs;
    options.heartbeat_ms = kHeartbeatMs;
    q = jr_new_quorum(ctx_, &options, 0);
    replicas_[2] = q;
    for (uint64_t i = 1; i <= 5; i++) {
        jr_entry_t entry = {i, 1, JR_ENTRY_NOOP, nullptr, 0};

        jr_quorum_restore_entry(q, &entry);
    }
    snapshot.index = 4;
    snapshot.term = 1;
    install.snapshot = &snapshot;
    message.term = 1;
    message.from = 1;
    message.to = 2;
    message.body_case = JR__QUORUM_MSG__BODY_INSTALL;
    message.install = &install;
    bytes.resize(jr__quorum_msg__get_packed_size(&message));
    jr__quorum_msg__pack(&message, bytes.data());
    ASSERT_EQ(jr_quorum_receive(q, bytes.data(), bytes.size(), 1), JR_OK);
    EXPECT_EQ(jr_quorum_last(q), 5u);
    EXPECT_EQ(jr_quorum_commit(q), 4u);
}

TEST_F(QuorumTest, MalformedMessagesAreRefused)
{
    jr_config_t members = Members({1, 2, 3});
    jr_quorum_t *q = Add(1, &members);
    const uint8_t malformed[] = {0xff, 0x00, 0x13, 0x37};

    EXPECT_EQ(jr_quorum_receive(q, malformed, sizeof malformed, 0),
              JR_BAD_REQUEST);
    EXPECT_EQ(ctx_->counters[JR_C_BUS_BAD], 1u);
}

/* What an operator waits for after a host was replaced. */
TEST_F(QuorumTest, TheLeaderCountsTheVotersWithAllCommittedEntries)
{
    const uint8_t command[] = {1};
    uint64_t index;
    jr_quorum_t *leader;

    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    Run(200);
    EXPECT_EQ(jr_quorum_whole_voters(leader), 3u);
    cut_ = IdOf(leader) % 3 + 1;
    EXPECT_EQ(jr_quorum_whole_voters(replicas_[cut_]), 0u);
    ASSERT_EQ(jr_quorum_propose(leader, command, sizeof command, &index),
              JR_OK);
    Run(200);
    EXPECT_EQ(jr_quorum_whole_voters(leader), 2u);
    cut_ = 0;
    Run(500);
    EXPECT_EQ(jr_quorum_whole_voters(leader), 3u);
}

/*
 * Guards against a working voter being removed by a join request of the
 * earlier replica of its process: one that was delayed, or one of an old
 * process of that name which still runs.
 */
TEST_F(QuorumTest, ALateJoinOfAReplacedReplicaRemovesNoVoter)
{
    jr_config_t next;
    jr_member_t earlier = {};
    jr_member_t successor;
    jr_join_ticket_t late;
    jr_quorum_t *leader;

    voters_ = 3;
    StartThree();
    leader = Leader();
    ASSERT_NE(leader, nullptr);
    earlier = *jr_config_find(jr_quorum_config(leader), IdOf(leader) % 3 + 1);
    successor = earlier;
    successor.id = 9;
    late = jr_quorum_join_ticket(leader);
    jr_drop_quorum(replicas_[earlier.id]);
    replicas_.erase(earlier.id);
    Add(9, nullptr);
    Run(500);
    ASSERT_EQ(Join(leader, successor), JR_OK);
    for (int step = 0; step < 10; step++) {
        Run(50);
        if (jr_quorum_next_config(leader, &next)) {
            ASSERT_EQ(jr_quorum_propose_config(leader, &next), JR_OK);
        }
    }
    ASSERT_TRUE(jr_config_find(jr_quorum_config(leader), 9)->voter);
    EXPECT_EQ(jr_quorum_join(leader, &earlier, &late), JR_IN_PROGRESS);
    EXPECT_EQ(ctx_->counters[JR_C_JOIN_NO_TICKET], 1u);
    EXPECT_EQ(Join(leader, earlier), JR_IN_PROGRESS);
    EXPECT_EQ(ctx_->counters[JR_C_JOIN_NAME_IN_USE], 1u);
    EXPECT_NE(jr_config_find(jr_quorum_config(leader), 9), nullptr);
    cut_ = 9;
    Run(500);
    EXPECT_EQ(jr_quorum_join(leader, &earlier, &late), JR_IN_PROGRESS);
    EXPECT_NE(jr_config_find(jr_quorum_config(leader), 9), nullptr);
}

} // namespace
