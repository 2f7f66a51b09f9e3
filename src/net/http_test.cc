/*
 * HTTP: connections to a server that is closing, and the outcomes that the
 * client reports for requests whose connection failed.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "jayrelay/http.h"
}

namespace {

constexpr int kLoopIterations = 200;
constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

class HttpTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ctx_ = jr_new_ctx("test", nullptr);
        loop_ = ev_loop_new(EVFLAG_AUTO);
        port_ = FreePort();
        http_ = jr_new_http(ctx_, loop_,
                            ("127.0.0.1:" + std::to_string(port_)).c_str(),
                            OnRequest, this);
        ASSERT_NE(http_, nullptr) << ctx_->error.text;
    }

    void
    TearDown() override
    {
        for (int fd : open_) {
            close(fd);
        }
        jr_drop_http(http_);
        ev_loop_destroy(loop_);
        jr_drop_ctx(ctx_);
    }

    static void
    OnRequest(void *user, jr_exchange_t *exchange)
    {
        HttpTest *test = static_cast<HttpTest *>(user);

        if (test->is_holding_) {
            test->held_.push_back(exchange);
            return;
        }
        jr_http_answer(exchange, 200, nullptr, 0, "yes", 3);
    }

    /* Sends a request that the handler does not answer yet. */
    int
    SendHeldRequest()
    {
        int fd = Connect();
        size_t n = held_.size();

        is_holding_ = true;
        send(fd, kRequest, sizeof kRequest - 1, MSG_NOSIGNAL);
        while (held_.size() == n) {
            ev_run(loop_, EVRUN_ONCE);
        }
        return fd;
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

    static uint16_t
    FreePort()
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = Address(0);
        socklen_t len = sizeof address;

        bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &len);
        close(fd);
        return ntohs(address.sin_port);
    }

    /* Returns the socket, or -1 if the connection was refused. */
    int
    Connect()
    {
        sockaddr_in address = Address(port_);
        int fd = socket(AF_INET, SOCK_STREAM, 0);

        if (connect(fd, reinterpret_cast<sockaddr *>(&address),
                    sizeof address) != 0) {
            close(fd);
            return -1;
        }
        open_.push_back(fd);
        return fd;
    }

    void
    RunLoop()
    {
        for (int i = 0; i < kLoopIterations; i++) {
            ev_run(loop_, EVRUN_NOWAIT);
        }
    }

    jr_ctx_t *ctx_ = nullptr;
    struct ev_loop *loop_ = nullptr;
    jr_http_t *http_ = nullptr;
    uint16_t port_ = 0;
    std::vector<int> open_;
    bool is_holding_ = false;
    std::vector<jr_exchange_t *> held_;
};

/*
 * Pattern: a planned stop while callers connect. The kernel refuses later
 * connections, so their callers know that nothing has run.
 */
TEST_F(HttpTest, AClosedServerRefusesConnectionsAtOnce)
{
    ASSERT_GE(Connect(), 0);
    RunLoop();
    jr_http_quiesce(http_);
    EXPECT_EQ(Connect(), -1);
}

/* Pattern: callers that connect just before a planned stop are served. */
TEST_F(HttpTest, ConnectionsThatWaitWhenItClosesAreServed)
{
    std::vector<int> waiting;

    for (int i = 0; i < 20; i++) {
        waiting.push_back(Connect());
        ASSERT_GE(waiting.back(), 0);
    }
    jr_http_quiesce(http_);
    for (int fd : waiting) {
        ASSERT_EQ(send(fd, kRequest, sizeof kRequest - 1, MSG_NOSIGNAL),
                  static_cast<ssize_t>(sizeof kRequest - 1));
    }
    RunLoop();
    for (int fd : waiting) {
        char answer[256] = {};

        ASSERT_GT(recv(fd, answer, sizeof answer - 1, MSG_DONTWAIT), 0);
        EXPECT_NE(std::string(answer).find("200"), std::string::npos);
    }
}

/* Guards against a server that aborts its process when it is stopped. */
TEST_F(HttpTest, AServerStopsWhileARequestIsPending)
{
    int fd = SendHeldRequest();
    char answer[256];

    jr_drop_http(http_);
    http_ = nullptr;
    EXPECT_EQ(recv(fd, answer, sizeof answer, 0), 0); /* not known */
}

/* Guards against callers that never get the last answers of a process. */
TEST_F(HttpTest, AnAnswerGivenJustBeforeTheStopIsSent)
{
    int fd = SendHeldRequest();
    char answer[256] = {};

    jr_http_answer(held_.front(), 504, nullptr, 0, "", 0);
    jr_drop_http(http_);
    http_ = nullptr;
    EXPECT_GT(recv(fd, answer, sizeof answer - 1, 0), 0);
    EXPECT_NE(std::string(answer).find("504"), std::string::npos);
}

struct Result {
    bool is_done = false;
    jr_fetch_outcome_t outcome = JR_FETCH_ANSWERED;
    unsigned status = 0;
    bool is_refused = false;
    std::string error;
};

/* A server that answers one request, reads a second and closes. */
void
AnswerOnceThenClose(int listener)
{
    static constexpr char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    char request[1024];
    int fd = accept(listener, nullptr, nullptr);

    if (recv(fd, request, sizeof request, 0) > 0) {
        send(fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
    }
    EXPECT_GT(recv(fd, request, sizeof request, 0), 0);
    close(listener);
    close(fd);
}

/*
 * Pattern: a network partition cuts off a worker while orders are in flight
 * and heals seconds later. A request that timed out must not be executed then,
 * so its connection is reset, which also discards the bytes in flight.
 */
TEST_F(HttpTest, ARequestThatIsGivenUpIsResetNotClosed)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Address(0);
    socklen_t len = sizeof address;
    jr_client_t *client = jr_new_client(ctx_, loop_);
    char bytes[1024];
    ssize_t last = 1;
    int error = 0;
    Result result;
    std::string url;
    jr_fetch_t fetch = {};

    ASSERT_NE(client, nullptr);
    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(listener, 1);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    fetch.method = "POST";
    fetch.url = url.c_str();
    fetch.body = "x";
    fetch.len = 1;
    fetch.timeout_ms = 100;
    fetch.user = &result;
    fetch.handler = [](void *user, const jr_fetched_t *fetched) {
        *static_cast<Result *>(user) = {true, fetched->outcome,
                                        fetched->status};
    };
    ASSERT_EQ(jr_client_fetch(client, &fetch), JR_OK);
    while (!result.is_done) {
        ev_run(loop_, EVRUN_ONCE);
    }
    EXPECT_EQ(result.outcome, JR_FETCH_TIMEOUT);
    int fd = accept(listener, nullptr, nullptr);
    while (last > 0) {
        last = recv(fd, bytes, sizeof bytes, 0);
        error = errno;
    }
    EXPECT_EQ(last, -1); /* 0 would be an orderly close */
    EXPECT_EQ(error, ECONNRESET);
    close(fd);
    close(listener);
    jr_drop_client(client);
}

/*
 * Pattern: a partition cuts off a zone while an order is in flight on a reused
 * connection. libcurl tries a new connection, which fails, but the worker may
 * have executed the order.
 */
TEST_F(HttpTest, ARequestThatWasSentIsNeverCalledNotConnected)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Address(0);
    socklen_t len = sizeof address;
    jr_client_t *client = jr_new_client(ctx_, loop_);
    Result result;
    std::string url;
    jr_fetch_t fetch = {};

    ASSERT_NE(client, nullptr);
    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(listener, 1);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    std::thread server(AnswerOnceThenClose, listener);

    fetch.method = "POST";
    fetch.url = url.c_str();
    fetch.body = "{}";
    fetch.len = 2;
    fetch.timeout_ms = 5000;
    fetch.user = &result;
    fetch.handler = [](void *user, const jr_fetched_t *fetched) {
        *static_cast<Result *>(user) = {true, fetched->outcome,
                                        fetched->status};
    };
    for (jr_fetch_outcome_t expected : {JR_FETCH_ANSWERED, JR_FETCH_BROKEN}) {
        result = {};
        ASSERT_EQ(jr_client_fetch(client, &fetch), JR_OK);
        while (!result.is_done) {
            ev_run(loop_, EVRUN_ONCE);
        }
        EXPECT_EQ(result.outcome, expected);
    }
    server.join();
    jr_drop_client(client);
}

/* What a server does with a connection after the first response on it. */
enum class Then {
    kCloseIdle,    /* close it while the client does not use it */
    kCloseRequest, /* read a second request and close */
    kResetRequest, /* read a second request and reset */
};

/*
 * A server that answers one request, closes the connection as told, and
 * answers what comes on a second connection with 503.
 */
class ClosingServer {
  public:
    explicit ClosingServer(Then then)
        : then_(then), listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = {};
        socklen_t len = sizeof address;

        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, reinterpret_cast<sockaddr *>(&address),
             sizeof address);
        listen(listener_, 4);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &len);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { Run(); });
    }

    ~ClosingServer()
    {
        shutdown(listener_, SHUT_RDWR); /* ends accept() */
        thread_.join();
        close(listener_);
    }

    std::string
    Url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/";
    }

    int
    Requests() const
    {
        return requests_;
    }

    int
    Connections() const
    {
        return connections_;
    }

    void
    WaitUntilClosed() const
    {
        while (!is_closed_) {
            std::this_thread::yield();
        }
    }

  private:
    bool
    Read(int fd)
    {
        char request[1024];

        if (recv(fd, request, sizeof request, 0) <= 0) {
            return false;
        }
        requests_++;
        return true;
    }

    static void
    Send(int fd, const char *status)
    {
        std::string answer = std::string("HTTP/1.1 ") + status +
                             "\r\nContent-Length: 2\r\n\r\n{}";

        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    }

    int
    Accept()
    {
        int fd = accept(listener_, nullptr, nullptr);

        connections_ += fd >= 0;
        return fd;
    }

    void
    Run()
    {
        struct linger reset = {1, 0};
        int fd = Accept();

        if (Read(fd)) {
            Send(fd, "200 OK");
        }
        if (then_ != Then::kCloseIdle) {
            EXPECT_TRUE(Read(fd));
        }
        if (then_ == Then::kResetRequest) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        close(fd);
        is_closed_ = true;
        while ((fd = Accept()) >= 0) {
            if (Read(fd)) {
                Send(fd, "503 Unavailable");
            }
            close(fd);
        }
    }

    Then then_;
    int listener_;
    uint16_t port_ = 0;
    std::atomic<int> requests_{0};
    std::atomic<int> connections_{0};
    std::atomic<bool> is_closed_{false};
    std::thread thread_;
};

class ClientTest : public HttpTest {
  protected:
    void
    SetUp() override
    {
        HttpTest::SetUp();
        client_ = jr_new_client(ctx_, loop_);
        ASSERT_NE(client_, nullptr);
    }

    void
    TearDown() override
    {
        jr_drop_client(client_);
        HttpTest::TearDown();
    }

    /* Sends one request and returns its outcome. */
    Result
    Fetch(const ClosingServer &server)
    {
        return Fetch(server.Url());
    }

    Result
    Fetch(const std::string &url)
    {
        Result result;

        Start(url, &result);
        while (!result.is_done) {
            ev_run(loop_, EVRUN_ONCE);
        }
        return result;
    }

    void
    Start(const std::string &url, Result *result, int64_t timeout_ms = 5000)
    {
        jr_fetch_t fetch = {};

        fetch.method = "POST";
        fetch.url = url.c_str();
        fetch.body = "{}";
        fetch.len = 2;
        fetch.timeout_ms = timeout_ms;
        fetch.user = result;
        fetch.handler = [](void *user, const jr_fetched_t *fetched) {
            *static_cast<Result *>(user) = {
                true, fetched->outcome, fetched->status, fetched->is_refused,
                fetched->error};
        };
        EXPECT_EQ(jr_client_fetch(client_, &fetch), JR_OK);
    }

    jr_client_t *client_ = nullptr;
};

/*
 * Guards against a second copy of an order, whose refusal hides that the first
 * copy may yet be carried out.
 */
TEST_F(ClientTest, ARequestThatWasSentIsNotSentAgain)
{
    for (Then then : {Then::kCloseRequest, Then::kResetRequest}) {
        ClosingServer server(then);
        Result result;

        EXPECT_EQ(Fetch(server).outcome, JR_FETCH_ANSWERED);
        result = Fetch(server);
        EXPECT_EQ(result.outcome, JR_FETCH_BROKEN);
        EXPECT_EQ(result.error, "the connection failed before a response");
        RunLoop();
        EXPECT_EQ(server.Requests(), 2);
        EXPECT_EQ(server.Connections(), 1);
    }
}

/*
 * A server that answers one request on each of two connections, closes the one
 * that a third request comes on, and tells whether it comes on the other.
 */
bool
IsRepeatedOnSecond(int listener)
{
    static constexpr char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    char request[1024];
    struct pollfd fds[2] = {};
    int first;
    bool is_repeated;

    for (struct pollfd &fd : fds) {
        fd = {accept(listener, nullptr, nullptr), POLLIN, 0};
    }
    for (struct pollfd &fd : fds) {
        EXPECT_GT(recv(fd.fd, request, sizeof request, 0), 0);
        send(fd.fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
    }
    EXPECT_GT(poll(fds, 2, 5000), 0);
    first = fds[0].revents != 0 ? 0 : 1;
    EXPECT_GT(recv(fds[first].fd, request, sizeof request, 0), 0);
    close(fds[first].fd);
    is_repeated = poll(&fds[1 - first], 1, 200) == 1 &&
                  recv(fds[1 - first].fd, request, sizeof request, 0) > 0;
    close(fds[1 - first].fd);
    return is_repeated;
}

/* Guards against a second copy of an order on another reused connection. */
TEST_F(ClientTest, ARequestThatWasSentIsNotSentAgainOnAnIdleConnection)
{
    sockaddr_in address = Address(0);
    socklen_t len = sizeof address;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    bool is_repeated = false;
    std::string url;
    Result results[2];

    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(listener, 2);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    std::thread server([&] { is_repeated = IsRepeatedOnSecond(listener); });
    for (Result &result : results) {
        Start(url, &result);
    }
    while (!results[0].is_done || !results[1].is_done) {
        ev_run(loop_, EVRUN_ONCE);
    }
    EXPECT_EQ(Fetch(url).outcome, JR_FETCH_BROKEN);
    server.join();
    EXPECT_FALSE(is_repeated);
    close(listener);
}

/* Guards against a server that is cut off being taken for one that ended. */
TEST_F(ClientTest, ARefusedConnectionIsToldFromAServerThatIsSilent)
{
    sockaddr_in address = Address(0);
    socklen_t len = sizeof address;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    std::string url;
    Result result;

    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    result = Fetch(url);
    EXPECT_EQ(result.outcome, JR_FETCH_NOT_CONNECTED);
    EXPECT_TRUE(result.is_refused);

    port_ = ntohs(address.sin_port);
    listen(listener, 0);
    ASSERT_GE(Connect(), 0); /* fills the backlog */
    result = Fetch(url);
    EXPECT_EQ(result.outcome, JR_FETCH_NOT_CONNECTED);
    EXPECT_FALSE(result.is_refused);
    close(listener);
}

/*
 * Guards against an order that leaves after a pause of this process, whose
 * permission has run out meanwhile.
 */
TEST_F(ClientTest, ARequestIsNotSentOnceItsTimeIsOver)
{
    constexpr int64_t kPauseMs = 300;
    sockaddr_in address = Address(0);
    socklen_t len = sizeof address;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    std::string url;
    Result result;
    pollfd connected = {listener, POLLIN, 0};
    char byte;
    int fd;

    bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(listener, 4);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    Start(url, &result, kPauseMs / 3);
    std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
    while (!result.is_done) {
        ev_run(loop_, EVRUN_ONCE);
    }
    EXPECT_EQ(result.outcome, JR_FETCH_NOT_CONNECTED);
    EXPECT_FALSE(result.is_refused);
    if (poll(&connected, 1, 0) == 1) {
        fd = accept(listener, nullptr, nullptr);
        EXPECT_LE(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
        close(fd);
    }
    close(listener);
}

/* Guards against errors for requests whose connection was closed while idle.
 */
TEST_F(ClientTest, AConnectionThatWasClosedIdleIsReplaced)
{
    ClosingServer server(Then::kCloseIdle);

    EXPECT_EQ(Fetch(server).outcome, JR_FETCH_ANSWERED);
    server.WaitUntilClosed();
    EXPECT_EQ(Fetch(server).status, 503u);
    EXPECT_EQ(server.Requests(), 2);
    EXPECT_EQ(server.Connections(), 2);
}

/*
 * Guards against a worker being taken for one that ended, as an earlier
 * request on the same libcurl handle was refused and this one got no socket.
 */
TEST_F(ClientTest, ALackOfDescriptorsIsNotARefusedConnection)
{
    std::string url = "http://127.0.0.1:" + std::to_string(FreePort()) + "/";
    std::vector<int> fds;
    Result result = Fetch(url);
    int fd;

    EXPECT_TRUE(result.is_refused);
    while ((fd = dup(0)) >= 0) {
        fds.push_back(fd);
    }
    result = Fetch(url);
    for (int used : fds) {
        close(used);
    }
    EXPECT_EQ(result.outcome, JR_FETCH_NOT_CONNECTED);
    EXPECT_FALSE(result.is_refused) << result.error;
}

} // namespace

/*
 * Guards against messages of consensus that are late, and leaders that are
 * deposed, as one iteration of the loop handles all answers that have arrived.
 */
TEST_F(HttpTest, AnswersThatArriveAtOnceDoNotHoldUpTheLoop)
{
    constexpr int kRequests = 60;
    static constexpr int kHandlerMs = 5;
    constexpr int kTurnMs = 100; /* so long others on the loop may wait */
    struct Counts {
        int done = 0;
        int now = 0;  /* in this iteration */
        int most = 0; /* in one iteration */
    } counts;
    jr_client_t *client = jr_new_client(ctx_, loop_);
    std::string url = "http://127.0.0.1:" + std::to_string(port_) + "/x";
    jr_fetch_t fetch = {};

    fetch.method = "GET";
    fetch.url = url.c_str();
    fetch.timeout_ms = 20000;
    fetch.user = &counts;
    fetch.handler = [](void *user, const jr_fetched_t *fetched) {
        Counts *c = static_cast<Counts *>(user);
        auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(kHandlerMs);

        EXPECT_EQ(fetched->outcome, JR_FETCH_ANSWERED);
        while (std::chrono::steady_clock::now() < end) {
        }
        c->done++;
        c->most = std::max(c->most, ++c->now);
    };
    is_holding_ = true;
    for (int i = 0; i < kRequests; i++) {
        ASSERT_EQ(jr_client_fetch(client, &fetch), JR_OK);
    }
    while (held_.size() < kRequests) {
        ev_run(loop_, EVRUN_ONCE);
    }
    for (jr_exchange_t *exchange : held_) {
        jr_http_answer(exchange, 200, nullptr, 0, "yes", 3);
    }
    while (counts.done < kRequests) {
        counts.now = 0;
        ev_run(loop_, EVRUN_ONCE);
    }
    EXPECT_LE(counts.most, kTurnMs / kHandlerMs);
    jr_drop_client(client);
}

/* Guards against a client that handles nothing, as others always come first.
 */
TEST_F(HttpTest, AnswersAreHandledThoughOthersOnTheLoopTakeLong)
{
    static constexpr int kOthersMs = 120; /* of each iteration */
    static constexpr int kIterations = 100;
    ev_check others;
    bool is_done = false;
    jr_client_t *client = jr_new_client(ctx_, loop_);
    std::string url = "http://127.0.0.1:" + std::to_string(port_) + "/x";
    jr_fetch_t fetch = {};

    fetch.method = "GET";
    fetch.url = url.c_str();
    fetch.timeout_ms = 20000;
    fetch.user = &is_done;
    fetch.handler = [](void *user, const jr_fetched_t *) {
        *static_cast<bool *>(user) = true;
    };
    ev_check_init(&others, [](struct ev_loop *, ev_check *, int) {
        usleep(1000 * kOthersMs);
    });
    ev_check_start(loop_, &others);
    ASSERT_EQ(jr_client_fetch(client, &fetch), JR_OK);
    for (int i = 0; i < kIterations && !is_done; i++) {
        ev_run(loop_, EVRUN_ONCE);
    }
    EXPECT_TRUE(is_done);
    ev_check_stop(loop_, &others);
    jr_drop_client(client);
}
