/* Messages between two buses on one loop, over real sockets. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "jayrelay/bus.h"
}

namespace {

constexpr int kMessages = 2000; /* far more than a bus reads at a time */
constexpr int kIterations = 5000;
constexpr useconds_t kBusyUs = 200; /* of an iteration */

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

class BusTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        std::string to = FreeAddress();
        jr_bus_keys_t keys = {};

        ASSERT_EQ(pipe(pipe_), 0);
        ASSERT_EQ(write(pipe_[1], "x", 1), 1);
        ctx_ = jr_new_ctx("test", nullptr);
        loop_ = ev_loop_new(EVFLAG_AUTO);
        from_ = jr_new_bus(ctx_, loop_, "from", FreeAddress().c_str(), &keys,
                           OnMessage, this);
        to_ = jr_new_bus(ctx_, loop_, to.c_str(), to.c_str(), &keys, OnMessage,
                         this);
        ASSERT_NE(from_, nullptr) << ctx_->error.text;
        ASSERT_NE(to_, nullptr) << ctx_->error.text;
        peer_ = jr_bus_connect(from_, to.c_str(), to.c_str());
        ev_io_init(&busy_, OnBusy, pipe_[0], EV_READ);
    }

    void
    TearDown() override
    {
        ev_io_stop(loop_, &busy_);
        jr_drop_bus(from_);
        jr_drop_bus(to_);
        ev_loop_destroy(loop_);
        jr_drop_ctx(ctx_);
        close(pipe_[0]);
        close(pipe_[1]);
    }

    static void
    OnMessage(void *user, const jr_route_t *, const Jr__Envelope *)
    {
        static_cast<BusTest *>(user)->received_++;
    }

    /* The byte stays unread, so that each iteration has an event. */
    static void
    OnBusy(struct ev_loop *, ev_io *, int)
    {
        usleep(kBusyUs);
    }

    /* False while the connection is not open yet. */
    bool
    Send()
    {
        Jr__StatusGet get = JR__STATUS_GET__INIT;
        Jr__Request request = JR__REQUEST__INIT;
        Jr__Envelope envelope = JR__ENVELOPE__INIT;

        request.body_case = JR__REQUEST__BODY_STATUS_GET;
        request.status_get = &get;
        envelope.body_case = JR__ENVELOPE__BODY_REQUEST;
        envelope.request = &request;
        return jr_bus_send(from_, peer_, &envelope);
    }

    void
    WaitForMessages(int n)
    {
        for (int i = 0; i < kIterations && received_ < n; i++) {
            ev_run(loop_, EVRUN_ONCE);
        }
    }

    jr_ctx_t *ctx_ = nullptr;
    struct ev_loop *loop_ = nullptr;
    jr_bus_t *from_ = nullptr;
    jr_bus_t *to_ = nullptr;
    int peer_ = -1;
    int pipe_[2] = {-1, -1};
    ev_io busy_ = {};
    int received_ = 0;
};

} // namespace

/*
 * Guards against messages of consensus that are not read while each iteration
 * of the loop has other events, such as answers of workers.
 */
TEST_F(BusTest, MessagesAreReadWhileTheLoopIsNeverIdle)
{
    for (int i = 0; i < kIterations && !Send(); i++) {
        ev_run(loop_, EVRUN_NOWAIT);
        usleep(kBusyUs);
    }
    WaitForMessages(1);
    ASSERT_EQ(received_, 1);
    ev_io_start(loop_, &busy_);
    for (int i = 0; i < kMessages; i++) {
        ASSERT_TRUE(Send());
    }
    WaitForMessages(1 + kMessages);
    EXPECT_EQ(received_, 1 + kMessages);
}
