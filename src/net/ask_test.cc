/* Requests to the leader of a group, over real sockets. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

extern "C" {
#include "jayrelay/ask.h"
}

namespace {

constexpr int kServers = 3;
constexpr int64_t kTimeoutMs = 1000;
constexpr double kPollS = 0.01;
constexpr int64_t kLongTimeoutMs = 20000;

std::string
FreeAddress()
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    socklen_t len = sizeof address;

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &len);
    close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

class AskTest : public ::testing::Test {
  protected:
    struct Server {
        AskTest *test;
        jr_bus_t *bus = nullptr;
        bool answers = false;
        jr_result_t code = JR_OK;
        int n_requests = 0;
    };

    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        loop_ = ev_loop_new(EVFLAG_AUTO);
        client_ = jr_new_bus(ctx_, loop_, "client", FreeAddress().c_str(),
                             &keys_, OnReply, this);
        ASSERT_NE(client_, nullptr) << ctx_->error.text;
        for (int i = 0; i < kServers; i++) {
            std::string address = FreeAddress();

            servers_[i].test = this;
            leader_name_ = i == 1 ? address : leader_name_;
            servers_[i].bus =
                jr_new_bus(ctx_, loop_, address.c_str(), address.c_str(),
                           &keys_, OnRequest, &servers_[i]);
            ASSERT_NE(servers_[i].bus, nullptr) << ctx_->error.text;
            peers_[i] =
                jr_bus_connect(client_, address.c_str(), address.c_str());
            ASSERT_GE(peers_[i], 0);
        }
        requester_ = jr_new_requester(ctx_, loop_, client_, peers_, kServers);
        for (int peer : peers_) {
            WaitForConnection(peer);
        }
    }

    void
    TearDown() override
    {
        jr_drop_requester(requester_);
        jr_drop_bus(client_);
        for (Server &server : servers_) {
            jr_drop_bus(server.bus);
        }
        ev_loop_destroy(loop_);
        jr_drop_ctx(ctx_);
    }

    static void
    OnRequest(void *user, const jr_route_t *route,
              const Jr__Envelope *envelope)
    {
        Server *server = static_cast<Server *>(user);
        Jr__Reply reply = JR__REPLY__INIT;
        Jr__Envelope answer = JR__ENVELOPE__INIT;

        if (envelope->body_case != JR__ENVELOPE__BODY_REQUEST) {
            return;
        }
        server->n_requests++;
        if (!server->answers) {
            return;
        }
        reply.id = envelope->request->id;
        reply.code = server->code;
        answer.body_case = JR__ENVELOPE__BODY_REPLY;
        answer.reply = &reply;
        jr_bus_reply(server->bus, route, &answer);
    }

    static void
    OnReply(void *user, const jr_route_t *, const Jr__Envelope *envelope)
    {
        AskTest *test = static_cast<AskTest *>(user);

        if (envelope->body_case == JR__ENVELOPE__BODY_REPLY) {
            jr_requester_handle_reply(test->requester_, envelope->reply);
            test->n_replies_++;
        }
    }

    void
    RunFor(double seconds)
    {
        ev_timer timer;

        ev_timer_init(
            &timer,
            [](struct ev_loop *loop, ev_timer *, int) {
                ev_break(loop, EVBREAK_ALL);
            },
            seconds, 0.0);
        ev_timer_start(loop_, &timer);
        ev_run(loop_, 0);
    }

    /* A message can be sent only once the connection is complete. */
    void
    WaitForConnection(int peer)
    {
        Jr__Reply reply = JR__REPLY__INIT;
        Jr__Envelope envelope = JR__ENVELOPE__INIT;

        envelope.body_case = JR__ENVELOPE__BODY_REPLY;
        envelope.reply = &reply;
        while (!jr_bus_send(client_, peer, &envelope)) {
            RunFor(kPollS);
        }
    }

    /* Sends a request and returns its outcome. */
    jr_result_t
    Ask()
    {
        struct Outcome {
            struct ev_loop *loop;
            jr_result_t code;
        } outcome = {loop_, JR_OK};
        Jr__Join join = JR__JOIN__INIT;
        Jr__Request request = JR__REQUEST__INIT;

        request.body_case = JR__REQUEST__BODY_JOIN;
        request.join = &join;
        jr_requester_send(
            requester_, &request, kTimeoutMs,
            [](void *user, jr_result_t code, const Jr__Reply *) {
                static_cast<Outcome *>(user)->code = code;
                ev_break(static_cast<Outcome *>(user)->loop, EVBREAK_ALL);
            },
            &outcome);
        ev_run(loop_, 0);
        return outcome.code;
    }

    /* The outcome of a request that is given up after so many replies. */
    jr_result_t
    AskAndAbandon(jr_requester_t *requester, int n_replies)
    {
        jr_result_t outcome = JR_OK;
        Jr__Join join = JR__JOIN__INIT;
        Jr__Request request = JR__REQUEST__INIT;

        request.body_case = JR__REQUEST__BODY_JOIN;
        request.join = &join;
        jr_requester_send(
            requester, &request, kTimeoutMs,
            [](void *user, jr_result_t code, const Jr__Reply *) {
                *static_cast<jr_result_t *>(user) = code;
            },
            &outcome);
        for (n_replies_ = 0; n_replies_ < n_replies;) {
            ev_run(loop_, EVRUN_ONCE);
        }
        jr_requester_abandon_all(requester);
        return outcome;
    }

    jr_ctx_t *ctx_ = nullptr;
    struct ev_loop *loop_ = nullptr;
    jr_bus_keys_t keys_ = {};
    jr_bus_t *client_ = nullptr;
    jr_requester_t *requester_ = nullptr;
    Server servers_[kServers];
    int peers_[kServers] = {};
    int n_replies_ = 0;
    std::string leader_name_; /* of the second server */
};

/* A request whose time ends with two silent processes must not hide a third.
 */
TEST_F(AskTest, TheNextRequestGoesToAProcessThatWasNotAskedYet)
{
    servers_[2].answers = true;
    EXPECT_EQ(Ask(), JR_UNKNOWN);
    EXPECT_EQ(Ask(), JR_OK);
}

TEST_F(AskTest, ARequestIsRepeatedToAnotherProcess)
{
    servers_[1].answers = true;
    EXPECT_EQ(Ask(), JR_OK);
}

/* Guards against "not executed" for a request that a process may have. */
TEST_F(AskTest, ARequestThatWasSentIsUnknownWhenItIsGivenUp)
{
    EXPECT_EQ(AskAndAbandon(requester_, 0), JR_UNKNOWN);
}

/* "Not executed" needs an answer of each process that was asked. */
TEST_F(AskTest, ARequestThatNobodyTookIsNotExecutedWhenItIsGivenUp)
{
    std::string address = FreeAddress(); /* nothing listens there */
    int peer = jr_bus_connect(client_, "nobody", address.c_str());
    jr_requester_t *requester =
        jr_new_requester(ctx_, loop_, client_, &peer, 1);

    EXPECT_EQ(AskAndAbandon(requester, 0), JR_NO_QUORUM);
    jr_drop_requester(requester);
    for (Server &server : servers_) {
        server.answers = true;
        server.code = JR_NOT_LEADER;
    }
    EXPECT_EQ(AskAndAbandon(requester_, 1), JR_NO_QUORUM);
}

/*
 * Guards against a request that is sent after a pause of this process, when
 * its caller has given up: the answer to the first attempt comes too late.
 */
TEST_F(AskTest, ARequestIsNotRepeatedOnceItsTimeIsOver)
{
    constexpr int64_t kShortMs = 20;
    jr_result_t outcome = JR_OK;
    Jr__Join join = JR__JOIN__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    request.body_case = JR__REQUEST__BODY_JOIN;
    request.join = &join;
    jr_requester_send(
        requester_, &request, kShortMs,
        [](void *user, jr_result_t code, const Jr__Reply *) {
            *static_cast<jr_result_t *>(user) = code;
        },
        &outcome);
    usleep(10 * 1000 * kShortMs);
    ev_now_update(loop_);
    reply.id = request.id;
    reply.code = JR_NOT_LEADER;
    reply.leader = const_cast<char *>(leader_name_.c_str());
    jr_requester_handle_reply(requester_, &reply);
    RunFor(0.2);
    EXPECT_EQ(outcome, JR_NO_QUORUM);
    EXPECT_EQ(servers_[1].n_requests, 0);
}

/* A control process that leaves the first attempt of a request unanswered. */
class UnansweredAttemptTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        jr_bus_keys_t keys = {};
        std::string address = FreeAddress();
        int peer;

        ctx_ = jr_new_ctx("test", nullptr);
        loop_ = ev_loop_new(EVFLAG_AUTO);
        server_ = jr_new_bus(ctx_, loop_, "control", address.c_str(), &keys,
                             OnRequest, this);
        ASSERT_NE(server_, nullptr) << ctx_->error.text;
        client_ = jr_new_bus(ctx_, loop_, "gate", FreeAddress().c_str(), &keys,
                             OnReply, this);
        ASSERT_NE(client_, nullptr) << ctx_->error.text;
        peer = jr_bus_connect(client_, "control", address.c_str());
        requester_ = jr_new_requester(ctx_, loop_, client_, &peer, 1);
    }

    void
    TearDown() override
    {
        jr_drop_requester(requester_);
        jr_drop_bus(client_);
        jr_drop_bus(server_);
        ev_loop_destroy(loop_);
        jr_drop_ctx(ctx_);
    }

    static void
    OnRequest(void *user, const jr_route_t *route,
              const Jr__Envelope *envelope)
    {
        auto *self = static_cast<UnansweredAttemptTest *>(user);
        Jr__Envelope answer = JR__ENVELOPE__INIT;
        Jr__Reply reply = JR__REPLY__INIT;

        if (self->requests_++ == 0) {
            return;
        }
        reply.id = envelope->request->id;
        reply.code = self->reply_code_;
        answer.body_case = JR__ENVELOPE__BODY_REPLY;
        answer.reply = &reply;
        jr_bus_reply(self->server_, route, &answer);
    }

    static void
    OnReply(void *user, const jr_route_t *, const Jr__Envelope *envelope)
    {
        jr_requester_handle_reply(
            static_cast<UnansweredAttemptTest *>(user)->requester_,
            envelope->reply);
    }

    /* Sends the request; its second attempt is answered with this code. */
    jr_result_t
    Ask(Jr__Request *request, jr_result_t reply_code)
    {
        requests_ = 0;
        reply_code_ = reply_code;
        is_done_ = false;
        jr_requester_send(
            requester_, request, kLongTimeoutMs,
            [](void *user, jr_result_t code, const Jr__Reply *) {
                auto *self = static_cast<UnansweredAttemptTest *>(user);

                self->outcome_ = code;
                self->is_done_ = true;
            },
            this);
        while (!is_done_) {
            ev_run(loop_, EVRUN_ONCE);
        }
        EXPECT_EQ(requests_, 2);
        return outcome_;
    }

    jr_ctx_t *ctx_ = nullptr;
    struct ev_loop *loop_ = nullptr;
    jr_bus_t *server_ = nullptr;
    jr_bus_t *client_ = nullptr;
    jr_requester_t *requester_ = nullptr;
    int requests_ = 0;
    jr_result_t reply_code_ = JR_OK;
    bool is_done_ = false;
    jr_result_t outcome_ = JR_OK;
};

/* Guards against "refused" for a submission whose first attempt may succeed.
 */
TEST_F(UnansweredAttemptTest,
       ARefusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown)
{
    Jr__LedgerCommand command = JR__LEDGER_COMMAND__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    request.body_case = JR__REQUEST__BODY_COMMAND;
    request.command = &command;
    for (jr_result_t refusal : {JR_QUOTA, JR_NO_CONFIG, JR_NOT_FOUND}) {
        EXPECT_EQ(Ask(&request, refusal), JR_UNKNOWN);
    }
    EXPECT_EQ(Ask(&request, JR_OK), JR_OK);
    EXPECT_EQ(Ask(&request, JR_KEY_REUSED), JR_KEY_REUSED);
}

/*
 * The same for refusals that depend on what may change between two attempts:
 * drained zones, the configuration and the rules.
 */
TEST_F(UnansweredAttemptTest, ARefusedSubmissionIsUnknownAfterAnUnanswered)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    request.body_case = JR__REQUEST__BODY_JOB_COMMAND;
    request.job_command = &command;
    for (jr_result_t refusal : {JR_NO_UPSTREAM, JR_BAD_REQUEST}) {
        EXPECT_EQ(Ask(&request, refusal), JR_UNKNOWN);
    }
}

TEST_F(UnansweredAttemptTest, AReadIsAnsweredByItsLastAttempt)
{
    static char none[] = "";
    Jr__JobAsk ask = JR__JOB_ASK__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    ask.host = none;
    ask.path = none;
    request.body_case = JR__REQUEST__BODY_JOB_ASK;
    request.job_ask = &ask;
    EXPECT_EQ(Ask(&request, JR_NOT_FOUND), JR_NOT_FOUND);
    EXPECT_EQ(Ask(&request, JR_GONE), JR_GONE);
}

/* Guards against "not accepted" for a cancellation that may yet take effect.
 */
TEST_F(UnansweredAttemptTest, ARefusedCancellationIsUnknownAfterAnUnanswered)
{
    static char none[] = "";
    Jr__JobAsk ask = JR__JOB_ASK__INIT;
    Jr__Request request = JR__REQUEST__INIT;

    ask.host = none;
    ask.path = none;
    ask.verb = JR__JOB_ASK__VERB__CANCEL;
    request.body_case = JR__REQUEST__BODY_JOB_ASK;
    request.job_ask = &ask;
    for (jr_result_t refusal : {JR_NO_QUORUM, JR_NO_CONFIG, JR_OVERLOADED}) {
        EXPECT_EQ(Ask(&request, refusal), JR_UNKNOWN);
    }
}

} // namespace
