/* Tests of the consensus core: who joins, votes, and is removed. */
#include "quorum/quorum_test.h"

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
