/*
 * HTTP: clients that send many requests at once, most of which never end. The
 * memory of the process stays bounded and ordinary requests are served.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "jayrelay/http.h"
}

namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kBodiesMaxBytes = 32 * kMiB; /* of a process, by default */
constexpr double kIdleTimeoutS = 55;          /* below that of a connection */
constexpr size_t kOtherBytes = 2 * kMiB;      /* of exchanges, at most */

/* Memory that is allocated through a context, now and at most. */
struct Memory {
    size_t now = 0;
    size_t most = 0;

    static void *
    Resize(void *user, void *p, size_t n)
    {
        Memory *memory = static_cast<Memory *>(user);
        void *q;

        memory->now -= p != nullptr ? malloc_usable_size(p) : 0;
        if (n == 0) {
            free(p);
            return nullptr;
        }
        q = realloc(p, n);
        memory->now += malloc_usable_size(q);
        memory->most = std::max(memory->most, memory->now);
        return q;
    }
};

class CrowdTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        ctx_->allocator = {Memory::Resize, &memory_};
        loop_ = ev_loop_new(EVFLAG_AUTO);
        start_ = ev_now(loop_);
        http_ = Listen(&port_);
        other_http_ = Listen(&other_port_);
    }

    void
    TearDown() override
    {
        for (int fd : open_) {
            close(fd);
        }
        jr_drop_http(http_);
        jr_drop_http(other_http_);
        EXPECT_EQ(memory_.now, 0u);
        ev_loop_destroy(loop_);
        jr_drop_ctx(ctx_);
    }

    static sockaddr_in
    Address(uint16_t port)
    {
        sockaddr_in address = {};

        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    jr_http_t *
    Listen(uint16_t *port)
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = Address(0);
        socklen_t len = sizeof address;
        jr_http_t *http;

        bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &len);
        close(fd);
        *port = ntohs(address.sin_port);
        http = jr_new_http(ctx_, loop_,
                           ("127.0.0.1:" + std::to_string(*port)).c_str(),
                           OnRequest, this);
        EXPECT_NE(http, nullptr) << ctx_->error.text;
        return http;
    }

    static void
    OnRequest(void *user, jr_exchange_t *exchange)
    {
        CrowdTest *test = static_cast<CrowdTest *>(user);

        test->n_handled_++;
        if (strcmp(jr_exchange_path(exchange), "/charge") == 0) {
            test->held_.push_back(exchange);
            return;
        }
        jr_exchange_body(exchange, &test->last_len_);
        jr_http_answer(exchange, 200, nullptr, 0, "yes", 3);
    }

    void
    Turn()
    {
        ev_run(loop_, EVRUN_NOWAIT);
    }

    /* Returns a socket that is connected to the server at @port. */
    int
    Connect(uint16_t port)
    {
        sockaddr_in address = Address(port);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

        EXPECT_GE(fd, 0);
        if (connect(fd, reinterpret_cast<sockaddr *>(&address),
                    sizeof address) != 0) {
            EXPECT_EQ(errno, EINPROGRESS);
        }
        open_.push_back(fd);
        return fd;
    }

    /* Sends all of @text unless the server closes the connection. */
    bool
    Send(int fd, const std::string &text)
    {
        size_t sent = 0;

        while (sent < text.size()) {
            ssize_t n = send(fd, text.data() + sent, text.size() - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);

            if (n < 0 && errno != EAGAIN) {
                return false;
            }
            sent += n > 0 ? static_cast<size_t>(n) : 0;
            Turn();
        }
        return true;
    }

    /* Returns the answer, or nothing if the server closed the connection. */
    std::string
    Receive(int fd)
    {
        std::string answer;
        char bytes[4096];

        for (;;) {
            ssize_t n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);

            if (n > 0) {
                answer.append(bytes, static_cast<size_t>(n));
            }
            if (answer.find("\r\n\r\n") != std::string::npos || n == 0 ||
                (n < 0 && errno != EAGAIN)) {
                return answer;
            }
            Turn();
        }
    }

    /* Has the server closed the connection? */
    static bool
    IsClosed(int fd)
    {
        char byte;
        ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

        return n == 0 || (n < 0 && errno != EAGAIN);
    }

    static std::string
    Announce(size_t len)
    {
        return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(len) + "\r\n\r\n";
    }

    static std::string
    Chunk(size_t len)
    {
        char size[32];

        snprintf(size, sizeof size, "%zx\r\n", len);
        return size + std::string(len, 'x') + "\r\n";
    }

    /* Status of the answer to a request with a body of @len bytes. */
    std::string
    Status(uint16_t port, size_t len)
    {
        int fd = Connect(port);
        std::string answer;

        Send(fd, Announce(len) + std::string(len, 'x'));
        answer = Receive(fd);
        return answer.size() > 12 ? answer.substr(9, 3) : "none";
    }

    /* Opens bodies of @len bytes, all but the end of each is sent. */
    std::vector<int>
    OpenBodies(int n, size_t len)
    {
        std::vector<int> fds;

        for (int i = 0; i < n; i++) {
            fds.push_back(Connect(i % 2 == 0 ? port_ : other_port_));
            Send(fds.back(), Announce(len) + std::string(len - 1, 'x'));
        }
        return fds;
    }

    /* As OpenBodies(), in chunks of @chunk bytes. */
    void
    OpenChunkedBodies(int n, size_t len, size_t chunk)
    {
        std::string text = kChunkedHead;

        for (size_t sent = 0; sent < len; sent += chunk) {
            text += Chunk(chunk);
        }
        for (int i = 0; i < n; i++) {
            Send(Connect(i % 2 == 0 ? port_ : other_port_), text);
        }
    }

    static constexpr char kChunkedHead[] =
        "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    Memory memory_;
    jr_ctx_t *ctx_ = nullptr;
    struct ev_loop *loop_ = nullptr;
    jr_http_t *http_ = nullptr;
    jr_http_t *other_http_ = nullptr;
    uint16_t port_ = 0;
    uint16_t other_port_ = 0;
    std::vector<int> open_;
    std::vector<jr_exchange_t *> held_;
    double start_ = 0;
    int n_handled_ = 0;
    size_t last_len_ = 0;
};

constexpr char CrowdTest::kChunkedHead[];

/* Guards against limits that refuse a request which the pages allow. */
TEST_F(CrowdTest, ASingleBodyOfTheLargestSizeIsServed)
{
    int fd = Connect(port_);

    EXPECT_EQ(Status(port_, JR_HTTP_BODY_MAX_BYTES), "200");
    EXPECT_EQ(last_len_, static_cast<size_t>(JR_HTTP_BODY_MAX_BYTES));
    Send(fd, kChunkedHead);
    for (size_t sent = 0; sent < JR_HTTP_BODY_MAX_BYTES; sent += 1024) {
        Send(fd, Chunk(1024));
    }
    Send(fd, "0\r\n\r\n");
    EXPECT_NE(Receive(fd).find("200"), std::string::npos);
    EXPECT_EQ(last_len_, static_cast<size_t>(JR_HTTP_BODY_MAX_BYTES));
}

/* Guards against a process that open bodies of legal size bring out of memory.
 */
TEST_F(CrowdTest, TheSumOfOpenBodiesIsBounded)
{
    OpenBodies(100, JR_HTTP_BODY_MAX_BYTES);
    EXPECT_LE(memory_.most, kBodiesMaxBytes + kOtherBytes);
    EXPECT_EQ(n_handled_, 0);
    EXPECT_EQ(Status(port_, 300), "200");
    EXPECT_EQ(Status(other_port_, 16 * 1024), "200");
}

/* Guards against the same by bodies whose length is not announced. */
TEST_F(CrowdTest, TheSumOfOpenChunkedBodiesIsBounded)
{
    for (size_t chunk : {size_t{64}, size_t{64 * 1024}}) {
        n_handled_ = 0;
        OpenChunkedBodies(60, kMiB - chunk, chunk);
        EXPECT_LE(memory_.most, kBodiesMaxBytes + kOtherBytes);
        EXPECT_EQ(n_handled_, 0);
        EXPECT_EQ(Status(port_, 300), "200");
    }
}

/* Guards against callers that can't tell whether their request has run. */
TEST_F(CrowdTest, ARequestThatDoesNotFitIsRefusedBeforeItsBodyIsRead)
{
    std::string answer;
    int fd;

    OpenBodies(40, JR_HTTP_BODY_MAX_BYTES);
    fd = Connect(port_);
    Send(fd, Announce(JR_HTTP_BODY_MAX_BYTES));
    answer = Receive(fd);
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(answer.find("\r\nRetry-After: "), std::string::npos);
    while (answer.find('}') == std::string::npos && !IsClosed(fd)) {
        answer += Receive(fd);
    }
    EXPECT_NE(answer.find("{\"outcome\":\"not-run\","
                          "\"reason\":\"overloaded\"}"),
              std::string::npos);
    EXPECT_EQ(n_handled_, 0);
}

/* Guards against large requests that stay shut out once some have stalled. */
TEST_F(CrowdTest, BodiesThatStalledGiveWay)
{
    constexpr auto kWait = std::chrono::milliseconds(3500);
    auto end = std::chrono::steady_clock::now() + kWait;

    OpenBodies(40, JR_HTTP_BODY_MAX_BYTES);
    while (std::chrono::steady_clock::now() < end) {
        Turn();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(Status(port_, JR_HTTP_BODY_MAX_BYTES), "200");
    EXPECT_LE(memory_.most, kBodiesMaxBytes + kOtherBytes);
}

/* Guards against a gigabyte that is read on only to be refused. */
TEST_F(CrowdTest, ABodyAnnouncedOverTheLimitIsRefusedBeforeItIsRead)
{
    for (const char *method : {"POST", "PUT", "DELETE", "GET", "PATCH"}) {
        int fd = Connect(port_);
        std::string answer;

        Send(fd, method + Announce(1000 * kMiB).substr(4));
        answer = Receive(fd);
        if (*method == 'P' && method != std::string("PATCH")) {
            EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 413");
        }
        while (!IsClosed(fd)) {
            Receive(fd);
        }
    }
    EXPECT_EQ(n_handled_, 0);
    EXPECT_EQ(ctx_->counters[JR_C_REFUSED_TOO_LARGE], 5u);
    EXPECT_EQ(Status(port_, JR_HTTP_BODY_MAX_BYTES + 1), "413");
    EXPECT_EQ(Status(port_, JR_HTTP_BODY_MAX_BYTES), "200");
}

/* Guards against the same where the length is not announced. */
TEST_F(CrowdTest, AChunkedBodyThatPassesTheLimitIsClosed)
{
    int fd = Connect(port_);
    int n = 0;

    Send(fd, kChunkedHead);
    while (n < 1000 && Send(fd, Chunk(kMiB / 4))) {
        n++;
    }
    EXPECT_LE(n, 40); /* with what the kernel buffers */
    EXPECT_EQ(n_handled_, 0);
    EXPECT_EQ(ctx_->counters[JR_C_CLOSED_TOO_LARGE], 1u);
    EXPECT_EQ(Status(port_, 300), "200");
}

/* Guards against bodies that charge memory for as long as they stay open. */
TEST_F(CrowdTest, ABodyThatDoesNotArriveIsClosedASlowOneIsNot)
{
    std::vector<int> stalled = {Connect(port_), Connect(port_),
                                Connect(other_port_)};
    int slow = Connect(port_);
    size_t n_slow = 0;

    Send(stalled[0], Announce(10));
    Send(stalled[1], Announce(kMiB) + "x");
    Send(stalled[2], kChunkedHead + Chunk(10));
    Send(slow, Announce(100));
    while (ctx_->counters[JR_C_CLOSED_STALLED] < stalled.size()) {
        ev_run(loop_, EVRUN_ONCE);
        if (ev_now(loop_) - start_ > n_slow + 1.0) {
            Send(slow, "x");
            n_slow++;
        }
        ASSERT_LT(ev_now(loop_) - start_, kIdleTimeoutS);
    }
    for (int fd : stalled) {
        EXPECT_EQ(Receive(fd), "");
        EXPECT_TRUE(IsClosed(fd));
    }
    EXPECT_EQ(n_handled_, 0);
    Send(slow, std::string(100 - n_slow, 'x'));
    EXPECT_NE(Receive(slow).find("200"), std::string::npos);
}

/* Guards against the same being done to callers as the process was paused. */
TEST_F(CrowdTest, ABodyHasNotStalledWhileTheProcessWasPaused)
{
    int fd = Connect(port_);

    Send(fd, Announce(2) + "x");
    std::this_thread::sleep_for(std::chrono::seconds(7));
    Send(fd, "x");
    EXPECT_NE(Receive(fd).find("200"), std::string::npos);
    EXPECT_EQ(ctx_->counters[JR_C_CLOSED_STALLED], 0u);
}

/* Guards against the deadline being counted for requests that are handled. */
TEST_F(CrowdTest, ARequestThatIsHandledHasNoDeadlineForItsBody)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(7);
    int fd = Connect(port_);
    int other = Connect(port_);
    std::string head = Announce(2);

    Send(fd, head.replace(head.find("/x"), 2, "/charge") + "xx");
    Send(other, Announce(2)); /* keeps the ticks going */
    while (std::chrono::steady_clock::now() < end) {
        Turn();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    ASSERT_EQ(held_.size(), 1u);
    jr_http_answer(held_.front(), 200, nullptr, 0, "yes", 3);
    EXPECT_NE(Receive(fd).find("200"), std::string::npos);
    EXPECT_EQ(ctx_->counters[JR_C_CLOSED_STALLED], 1u);
}

/* Guards against headers that the pages allow being refused. */
TEST_F(CrowdTest, HeadersOf16KBAreServed)
{
    int fd = Connect(port_);

    Send(fd, "GET /x HTTP/1.1\r\nHost: x\r\nX-Long: " +
                 std::string(16 * 1024, 'x') + "\r\n\r\n");
    EXPECT_EQ(Receive(fd).substr(0, 12), "HTTP/1.1 200");
}

/* Connections are few, so that tests need few descriptors. */
class ConnectionsTest : public CrowdTest {
  protected:
    static constexpr int kConnections = 20;
    static constexpr int kTurns = 50; /* for the server to close connections */

    void
    SetUp() override
    {
        CrowdTest::SetUp();
        jr_inbound_limit(&ctx_->inbound, kConnections);
    }

    /* Returns @n new connections without a request, to the two servers. */
    std::vector<int>
    OpenIdle(int n)
    {
        std::vector<int> fds;

        for (int i = 0; i < n; i++) {
            fds.push_back(Connect(i % 2 == 0 ? port_ : other_port_));
            Turn();
        }
        Settle();
        return fds;
    }

    void
    Settle()
    {
        for (int i = 0; i < kTurns; i++) {
            Turn();
        }
    }

    static size_t
    CountOpen(const std::vector<int> &fds)
    {
        return fds.size() - static_cast<size_t>(std::count_if(
                                fds.begin(), fds.end(), IsClosed));
    }

    /* Returns a connection whose request the handler holds. */
    int
    Hold()
    {
        int fd = Connect(port_);
        size_t n = held_.size();

        Send(fd, "GET /charge HTTP/1.1\r\nHost: x\r\n\r\n");
        while (held_.size() == n && !IsClosed(fd)) {
            Turn();
        }
        return fd;
    }
};

/* Guards against a process that idle callers bring out of descriptors. */
TEST_F(ConnectionsTest, TheNewestConnectionsAreServedAndOthersMakeRoom)
{
    std::vector<int> fds = OpenIdle(10 * kConnections);

    EXPECT_EQ(CountOpen(fds), static_cast<size_t>(kConnections));
    EXPECT_TRUE(IsClosed(fds.front()));
    EXPECT_FALSE(IsClosed(fds.back()));
    EXPECT_EQ(Status(port_, 300), "200");
    EXPECT_EQ(Status(other_port_, 300), "200");
}

/* Guards against regular callers that lose their connections to idle ones. */
TEST_F(ConnectionsTest, AConnectionInUseIsKept)
{
    int fd = Connect(port_);

    for (int i = 0; i < 10; i++) {
        Send(fd, Announce(1) + "x");
        EXPECT_NE(Receive(fd).find("200"), std::string::npos);
        OpenIdle(kConnections - 1);
    }
    EXPECT_FALSE(IsClosed(fd));
}

/* Guards against outcomes that are not known for the sake of newcomers. */
TEST_F(ConnectionsTest, ARequestThatIsHandledKeepsItsConnection)
{
    std::vector<int> fds;
    int newcomer;

    for (int i = 0; i < kConnections; i++) {
        fds.push_back(Hold());
        OpenIdle(kConnections);
    }
    EXPECT_EQ(CountOpen(fds), fds.size());
    newcomer = Hold();
    EXPECT_TRUE(IsClosed(newcomer));
    EXPECT_GT(ctx_->counters[JR_C_REFUSED_CONNECTIONS], 0u);
    ASSERT_EQ(held_.size(), fds.size());
    for (size_t i = 0; i < fds.size(); i++) {
        jr_http_answer(held_[i], 200, nullptr, 0, "yes", 3);
        EXPECT_NE(Receive(fds[i]).find("200"), std::string::npos);
    }
    EXPECT_EQ(Status(port_, 300), "200");
}

} // namespace
