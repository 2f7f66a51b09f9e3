/* Replicas of a group in one process, for tests of the consensus core. */
#ifndef JR_QUORUM_QUORUM_TEST_H
#define JR_QUORUM_QUORUM_TEST_H

#include <gtest/gtest.h>

#include <map>
#include <vector>

extern "C" {
#include "jayrelay/quorum.h"
}

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

#endif
