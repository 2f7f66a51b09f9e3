/*
 * The HTTP server. libmicrohttpd runs on its own epoll descriptor, which the
 * libev loop watches. A connection is suspended until its request is answered.
 */
#include "jayrelay/http.h"

#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jayrelay/address.h"

enum {
    IDLE_TIMEOUT_S = 60,
    BACKLOG = 1024,         /* connections not yet accepted */
    STALLED_TICKS_MAX = 10, /* 5 s: a body without progress is closed */
    DECIMAL = 10,
    CHUNKED_BYTES = 512, /* first charge for a body of unknown length */
};

/* After JR_INBOUND_STALLED_TICKS, 2 s, a body gives way to others. */
static const double TICK_S = 0.5;

struct jr_http {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    jr_http_handler_t *handler;
    void *user;
    ev_io io;
    ev_timer timer;
    ev_timer tick; /* while bodies are received */
    ev_prepare prepare;
    bool is_closing;
    bool has_resumed; /* a connection, since the last MHD_run() */
    bool is_quiesced; /* the listening port is closed */
    bool is_stopping; /* no request gets an answer any more */
    unsigned n_open;
    TAILQ_HEAD(, jr_exchange) exchanges;
};

/* A connection of a caller, which libmicrohttpd has open. */
typedef struct {
    jr_inbound_conn_t conn;
    int fd;
} jr_caller_t;

struct jr_exchange {
    TAILQ_ENTRY(jr_exchange) link;
    jr_http_t *http;
    struct MHD_Connection *connection;
    jr_caller_t *caller;
    char *method;
    char *path;
    char *body;
    size_t len;
    size_t cap;
    jr_charge_t charge; /* of @cap bytes */
    bool is_ended;      /* its connection is closed before it is handled */
    bool is_handled;
    bool is_suspended;
    struct MHD_Response *response;
    unsigned status;
};

static const char TOO_LARGE[] =
    "{\"outcome\":\"not-run\",\"reason\":\"too-large\"}\n";

static const char OVERLOADED[] =
    "{\"outcome\":\"not-run\",\"reason\":\"overloaded\"}\n";
static const jr_header_t RETRY_AFTER = {"Retry-After", "1"};

static jr_caller_t *
caller_of(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

static jr_exchange_t *
new_exchange(jr_http_t *http, struct MHD_Connection *connection,
             const char *method, const char *path)
{
    jr_exchange_t *exchange = jr_alloc(http->ctx, sizeof *exchange);

    exchange->http = http;
    exchange->connection = connection;
    exchange->caller = caller_of(connection);
    exchange->charge.owner = exchange;
    exchange->method = jr_strdup(http->ctx, method);
    exchange->path = jr_strdup(http->ctx, path);
    http->n_open++;
    TAILQ_INSERT_TAIL(&http->exchanges, exchange, link);
    return exchange;
}

static void
release_body(jr_exchange_t *exchange)
{
    jr_ctx_t *ctx = exchange->http->ctx;

    jr_inbound_release(&ctx->inbound, &exchange->charge);
    jr_free(ctx, exchange->body);
    exchange->body = NULL;
    exchange->len = 0;
    exchange->cap = 0;
}

/*
 * Ends a request that is being received, also one of another server of the
 * process. libmicrohttpd closes the connection once it sees its end.
 */
static void
end_exchange(jr_exchange_t *exchange)
{
    exchange->is_ended = true;
    release_body(exchange);
    shutdown(exchange->caller->fd, SHUT_RDWR);
}

/* Charges the memory, in which stalled bodies give way if need be. */
static bool
charge(jr_exchange_t *exchange, size_t cap)
{
    jr_ctx_t *ctx = exchange->http->ctx;

    while (!jr_inbound_charge(&ctx->inbound, &exchange->charge, cap)) {
        jr_charge_t *stalest =
            jr_inbound_stalest(&ctx->inbound, &exchange->charge, cap);

        if (stalest == NULL) {
            return false;
        }
        jr_count(ctx, JR_C_CLOSED_GAVE_WAY);
        end_exchange(stalest->owner);
    }
    return true;
}

static bool
resize_body(jr_exchange_t *exchange, size_t cap)
{
    if (!charge(exchange, cap)) {
        return false;
    }
    exchange->body = jr_resize(exchange->http->ctx, exchange->body, cap);
    exchange->cap = cap;
    return true;
}

/* Makes room for a body of @len bytes and a NUL. */
static bool
grow_body(jr_exchange_t *exchange, size_t len)
{
    size_t cap = exchange->cap + exchange->cap / 2;

    if (len < exchange->cap) {
        return true;
    }
    if (cap > JR_HTTP_BODY_MAX_BYTES + 1) {
        cap = JR_HTTP_BODY_MAX_BYTES + 1;
    }
    return resize_body(exchange, cap > len ? cap : len + 1);
}

/* Return: false if the connection is to be closed. */
static bool
append_body(jr_exchange_t *exchange, const char *data, size_t len)
{
    jr_ctx_t *ctx = exchange->http->ctx;

    if (exchange->len + len > JR_HTTP_BODY_MAX_BYTES) {
        jr_count(ctx, JR_C_CLOSED_TOO_LARGE);
        return false;
    }
    if (!grow_body(exchange, exchange->len + len)) {
        jr_count(ctx, JR_C_CLOSED_MEMORY);
        return false;
    }
    jr_inbound_progress(&ctx->inbound, &exchange->charge);
    jr_inbound_rest(&ctx->inbound, &exchange->caller->conn);
    memcpy(exchange->body + exchange->len, data, len);
    exchange->len += len;
    exchange->body[exchange->len] = '\0';
    return true;
}

static enum MHD_Result
queue_response(jr_exchange_t *exchange)
{
    enum MHD_Result result = MHD_queue_response(
        exchange->connection, exchange->status, exchange->response);

    MHD_destroy_response(exchange->response);
    exchange->response = NULL;
    return result;
}

/*
 * Refuses a request whose body was not read, and closes its connection.
 * libmicrohttpd takes an answer before the body only for these methods.
 */
static enum MHD_Result
refuse(jr_exchange_t *exchange, unsigned status, const jr_header_t *headers,
       size_t n, const char *text)
{
    exchange->is_handled = true;
    if (strcmp(exchange->method, MHD_HTTP_METHOD_POST) != 0 &&
        strcmp(exchange->method, MHD_HTTP_METHOD_PUT) != 0) {
        return MHD_NO;
    }
    jr_http_answer(exchange, status, headers, n, text, strlen(text));
    return queue_response(exchange);
}

static enum MHD_Result
refuse_too_large(jr_exchange_t *exchange)
{
    jr_count(exchange->http->ctx, JR_C_REFUSED_TOO_LARGE);
    return refuse(exchange, MHD_HTTP_CONTENT_TOO_LARGE, NULL, 0, TOO_LARGE);
}

static enum MHD_Result
refuse_memory(jr_exchange_t *exchange)
{
    jr_count(exchange->http->ctx, JR_C_REFUSED_MEMORY);
    return refuse(exchange, MHD_HTTP_SERVICE_UNAVAILABLE, &RETRY_AFTER, 1,
                  OVERLOADED);
}

/*
 * The memory for the body of a new request: 0 if it has none, SIZE_MAX if it
 * is too large, and the least if its length is not known. libmicrohttpd
 * ignores a length that is announced beside a transfer encoding.
 */
static size_t
first_cap(const jr_exchange_t *exchange, bool *is_announced)
{
    const char *announced =
        jr_exchange_header(exchange, MHD_HTTP_HEADER_CONTENT_LENGTH);
    unsigned long long len;

    *is_announced = false;
    if (jr_exchange_header(exchange, MHD_HTTP_HEADER_TRANSFER_ENCODING) !=
        NULL) {
        return CHUNKED_BYTES;
    }
    if (announced == NULL) {
        return 0;
    }
    len = strtoull(announced, NULL, DECIMAL);
    *is_announced = true;
    if (len > JR_HTTP_BODY_MAX_BYTES) {
        return SIZE_MAX;
    }
    return len > 0 ? (size_t)len + 1 : 0;
}

/* The headers have arrived, and no byte of the body was read. */
static enum MHD_Result
begin_exchange(jr_exchange_t *exchange)
{
    jr_http_t *http = exchange->http;
    bool is_announced;
    size_t cap = first_cap(exchange, &is_announced);

    if (cap == 0) {
        return MHD_YES;
    }
    if (cap == SIZE_MAX) {
        return refuse_too_large(exchange);
    }
    if (!ev_is_active(&http->tick)) {
        ev_timer_again(http->loop, &http->tick);
    }
    if (resize_body(exchange, cap)) {
        exchange->body[0] = '\0';
        return MHD_YES;
    }
    if (is_announced) {
        return refuse_memory(exchange);
    }
    jr_count(http->ctx, JR_C_CLOSED_MEMORY);
    return MHD_NO;
}

/* The whole request has arrived, or its answer may be there. */
static enum MHD_Result
continue_exchange(jr_exchange_t *exchange)
{
    jr_http_t *http = exchange->http;

    jr_inbound_complete(&http->ctx->inbound, &exchange->charge);
    if (!exchange->is_handled) {
        exchange->is_handled = true;
        jr_inbound_begin(&http->ctx->inbound, &exchange->caller->conn);
        http->handler(http->user, exchange);
    }
    if (exchange->response != NULL) {
        return queue_response(exchange);
    }
    if (!exchange->is_suspended) {
        exchange->is_suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
    return MHD_YES;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *len, void **state)
{
    jr_http_t *http = cls;
    jr_exchange_t *exchange = *state;

    (void)version;
    if (http->is_stopping &&
        (exchange == NULL || exchange->response == NULL)) {
        return MHD_NO;
    }
    if (exchange == NULL) {
        exchange = new_exchange(http, connection, method, url);
        *state = exchange;
        return exchange->caller->conn.is_ended ? MHD_NO
                                               : begin_exchange(exchange);
    }
    if (exchange->is_ended || exchange->caller->conn.is_ended) {
        return MHD_NO;
    }
    if (*len > 0) {
        if (!append_body(exchange, data, *len)) {
            return MHD_NO;
        }
        *len = 0;
        return MHD_YES;
    }
    return continue_exchange(exchange);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode reason)
{
    jr_http_t *http = cls;
    jr_exchange_t *exchange = *state;

    (void)connection;
    (void)reason;
    if (exchange == NULL) {
        return;
    }
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    TAILQ_REMOVE(&http->exchanges, exchange, link);
    jr_inbound_rest(&http->ctx->inbound, &exchange->caller->conn);
    jr_free(http->ctx, exchange->method);
    jr_free(http->ctx, exchange->path);
    release_body(exchange);
    jr_free(http->ctx, exchange);
    *state = NULL;
    http->n_open--;
}

/* Accepts a connection, in place of an idle one if there are too many. */
static enum MHD_Result
on_connect(void *cls, const struct sockaddr *address, socklen_t len)
{
    jr_http_t *http = cls;
    jr_inbound_conn_t *ended;

    (void)address;
    (void)len;
    if (!jr_inbound_make(&http->ctx->inbound, &ended)) {
        jr_count(http->ctx, JR_C_REFUSED_CONNECTIONS);
        return MHD_NO;
    }
    if (ended != NULL) {
        jr_caller_t *caller = ended->owner;

        jr_count(http->ctx, JR_C_CLOSED_IDLE);
        shutdown(caller->fd, SHUT_RDWR);
    }
    return MHD_YES;
}

static void
on_connection(void *cls, struct MHD_Connection *connection, void **state,
              enum MHD_ConnectionNotificationCode code)
{
    jr_http_t *http = cls;
    jr_caller_t *caller = *state;

    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        jr_inbound_leave(&http->ctx->inbound, &caller->conn);
        jr_free(http->ctx, caller);
        *state = NULL;
        return;
    }
    caller = jr_alloc(http->ctx, sizeof *caller);
    caller->conn.owner = caller;
    caller->fd =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    jr_inbound_enter(&http->ctx->inbound, &caller->conn);
    *state = caller;
}

static void
run_daemon(jr_http_t *http)
{
    MHD_UNSIGNED_LONG_LONG timeout;

    http->has_resumed = false;
    MHD_run(http->daemon);
    ev_timer_stop(http->loop, &http->timer);
    if (MHD_get_timeout(http->daemon, &timeout) == MHD_YES) {
        ev_timer_set(&http->timer, (double)timeout / 1000.0, 0.0);
        ev_timer_start(http->loop, &http->timer);
    }
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    run_daemon(io->data);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_daemon(timer->data);
}

/*
 * Time is counted in iterations of the loop: a body has not stalled while the
 * process was paused.
 */
static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_http_t *http = timer->data;
    bool is_receiving = false;
    jr_exchange_t *exchange;

    (void)events;
    TAILQ_FOREACH (exchange, &http->exchanges, link) {
        if (!exchange->charge.is_receiving) {
            continue;
        }
        is_receiving = true;
        jr_inbound_tick(&exchange->charge);
        if (exchange->charge.stalled_ticks > STALLED_TICKS_MAX) {
            jr_count(http->ctx, JR_C_CLOSED_STALLED);
            end_exchange(exchange);
        }
    }
    if (!is_receiving) {
        ev_timer_stop(loop, timer);
    }
}

/* Writes all answers given since the last loop iteration in one call. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    jr_http_t *http = prepare->data;

    (void)loop;
    (void)events;
    if (http->has_resumed) {
        run_daemon(http);
    }
}

/*
 * Above the limit of the process, as libmicrohttpd does not accept connections
 * at its own: those that gave way are open until it sees their end.
 */
static unsigned
connections_max(const jr_http_t *http)
{
    return 2 * (unsigned)http->ctx->inbound.conns_max + BACKLOG;
}

static bool
start_daemon(jr_http_t *http, const char *address)
{
    const union MHD_DaemonInfo *info;
    struct sockaddr_in bind_to;

    if (!jr_address_parse(address, &bind_to)) {
        return false;
    }
    http->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, on_connect,
        http, on_access, http, MHD_OPTION_SOCK_ADDR, &bind_to,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, http,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, http,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)JR_INBOUND_CONNECTION_BYTES, MHD_OPTION_CONNECTION_LIMIT,
        connections_max(http), MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)IDLE_TIMEOUT_S, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        (unsigned)BACKLOG, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_END);
    if (http->daemon == NULL) {
        return false;
    }
    info = MHD_get_daemon_info(http->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&http->io, on_io, info->epoll_fd, EV_READ);
    return true;
}

jr_http_t *
jr_new_http(jr_ctx_t *ctx, struct ev_loop *loop, const char *address,
            jr_http_handler_t *handler, void *user)
{
    jr_http_t *http = jr_alloc(ctx, sizeof *http);

    http->ctx = ctx;
    http->loop = loop;
    http->handler = handler;
    http->user = user;
    TAILQ_INIT(&http->exchanges);
    if (!start_daemon(http, address)) {
        jr_fail(ctx, JR_NETWORK,
                "cannot listen on %.100s: expected IP:PORT with an IPv4 "
                "address of this host and a free port; last system error: %s",
                address, strerror(errno));
        jr_free(ctx, http);
        return NULL;
    }
    http->io.data = http;
    ev_io_start(loop, &http->io);
    ev_timer_init(&http->timer, on_timer, 0.0, 0.0);
    http->timer.data = http;
    ev_timer_init(&http->tick, on_tick, TICK_S, TICK_S);
    http->tick.data = http;
    ev_prepare_init(&http->prepare, on_prepare);
    http->prepare.data = http;
    ev_prepare_start(loop, &http->prepare);
    return http;
}

/* libmicrohttpd aborts the process if it is stopped with one suspended. */
static void
resume_all(jr_http_t *http)
{
    jr_exchange_t *exchange;

    TAILQ_FOREACH (exchange, &http->exchanges, link) {
        if (exchange->is_suspended) {
            exchange->is_suspended = false;
            MHD_resume_connection(exchange->connection);
        }
    }
}

void
jr_drop_http(jr_http_t *http)
{
    if (http == NULL) {
        return;
    }
    http->is_stopping = true;
    resume_all(http);
    run_daemon(http); /* writes the last answers */
    ev_io_stop(http->loop, &http->io);
    ev_timer_stop(http->loop, &http->timer);
    ev_timer_stop(http->loop, &http->tick);
    ev_prepare_stop(http->loop, &http->prepare);
    MHD_stop_daemon(http->daemon);
    jr_free(http->ctx, http);
}

void
jr_http_close_connections(jr_http_t *http)
{
    http->is_closing = true;
}

/* Connections that the kernel has accepted already are still served. */
static void
accept_backlog(jr_http_t *http, int listen_fd)
{
    struct pollfd poll_fd = {.fd = listen_fd, .events = POLLIN};

    while (poll(&poll_fd, 1, 0) == 1) {
        struct sockaddr_in from;
        socklen_t len = sizeof from;
        int fd = accept4(listen_fd, (struct sockaddr *)&from, &len,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd < 0 ||
            MHD_add_connection(http->daemon, fd, (struct sockaddr *)&from,
                               len) != MHD_YES) {
            jr_log(http->ctx, JR_EV_CONNECTION_LOST,
                   "cannot accept a connection from the backlog of listening "
                   "socket %d: %s",
                   listen_fd, strerror(errno));
            return;
        }
    }
}

/*
 * Closes the port instead of leaving it open without accepting: the kernel
 * would still complete connections, and their callers could not tell whether
 * their requests have run when the process ends. A refused connection shows
 * that nothing has run.
 */
void
jr_http_quiesce(jr_http_t *http)
{
    int listen_fd;

    if (http->is_quiesced) {
        return;
    }
    http->is_quiesced = true;
    http->is_closing = true;
    listen_fd = MHD_quiesce_daemon(http->daemon);
    if (listen_fd >= 0) {
        accept_backlog(http, listen_fd);
        close(listen_fd);
    }
    run_daemon(http);
}

unsigned
jr_http_count_open(const jr_http_t *http)
{
    return http->n_open;
}

const char *
jr_exchange_method(const jr_exchange_t *exchange)
{
    return exchange->method;
}

const char *
jr_exchange_path(const jr_exchange_t *exchange)
{
    return exchange->path;
}

const char *
jr_exchange_header(const jr_exchange_t *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
jr_exchange_body(const jr_exchange_t *exchange, size_t *len)
{
    *len = exchange->len;
    return exchange->body != NULL ? exchange->body : "";
}

bool
jr_exchange_is_abandoned(const jr_exchange_t *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    char byte;
    ssize_t n;

    if (info == NULL) {
        return false;
    }
    n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
jr_http_answer(jr_exchange_t *exchange, unsigned status,
               const jr_header_t *headers, size_t n, const void *body,
               size_t len)
{
    exchange->status = status;
    exchange->response = MHD_create_response_from_buffer(
        len, (void *)body, MHD_RESPMEM_MUST_COPY);
    for (size_t i = 0; i < n; i++) {
        MHD_add_response_header(exchange->response, headers[i].name,
                                headers[i].value);
    }
    if (exchange->http->is_closing) {
        MHD_add_response_header(exchange->response, MHD_HTTP_HEADER_CONNECTION,
                                "close");
    }
    if (exchange->is_suspended) {
        exchange->is_suspended = false;
        MHD_resume_connection(exchange->connection);
        exchange->http->has_resumed = true;
    }
}
