/* Tests of the consensus core: elections and replication. */
#include "quorum/quorum_test.h"

extern "C" {
#include "quorum/quorum.pb-c.h"
}

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
