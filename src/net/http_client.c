/* The HTTP client: libcurl's multi interface on the libev loop. */
#include "jayrelay/http.h"

#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "jayrelay/program.h"

enum {
    CONNECT_TIMEOUT_MS = 500,
    UNACKED_MAX_MS = 2000,     /* sent data unacknowledged: connection lost */
    CACHED_CONNECTIONS = 3000, /* idle ones beyond this are closed */
    HEADER_TEXT_BYTES = 256,   /* a longer header is ignored */
    SPARE_HANDLES = 256,       /* handles beyond this are freed after use */
    /*
     * Of one iteration of the loop, spent on what has arrived; the rest waits
     * for the next. Others on the loop, such as consensus messages, are served
     * within this time however many servers answer at once.
     */
    TURN_MS = 50,
};

typedef struct fetch {
    TAILQ_ENTRY(fetch) link;
    jr_client_t *client;
    CURL *easy;
    struct curl_slist *headers;
    char *request_body;
    char *body;
    size_t len;
    size_t cap;
    bool is_too_large;
    bool has_socket; /* opened for this request */
    bool was_sent;
    int64_t expires_at; /* it must not be sent later */
    jr_fetched_t fetched;
    jr_fetch_handler_t *handler;
    void *user;
    /* Last, so that jr_client_fetch() can leave it uncleared. */
    char header_texts[JR_HTTP_HEADERS_MAX][HEADER_TEXT_BYTES];
} fetch_t;

struct jr_client {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    CURLM *multi;
    /* Handles for reuse: creating one costs more than a request. */
    CURL *spare[SPARE_HANDLES];
    size_t n_spare;
    ev_timer timer;
    ev_timer completed; /* handles those left by the last iteration */
    ev_prepare prepare;
    int64_t turn_ends_at; /* 0: it has handled nothing in this iteration */
    TAILQ_HEAD(, fetch) fetches;
};

typedef struct {
    ev_io io;
    jr_client_t *client;
} socket_watcher_t;

static size_t
on_data(char *data, size_t size, size_t n, void *user)
{
    fetch_t *fetch = user;
    size_t len = size * n;

    if (fetch->len + len > JR_HTTP_BODY_MAX_BYTES) {
        fetch->is_too_large = true;
        return 0;
    }
    if (fetch->len + len + 1 > fetch->cap) {
        fetch->cap = 2 * (fetch->len + len + 1);
        fetch->body = jr_resize(fetch->client->ctx, fetch->body, fetch->cap);
    }
    memcpy(fetch->body + fetch->len, data, len);
    fetch->len += len;
    fetch->body[fetch->len] = '\0';
    return len;
}

static size_t
on_header(char *data, size_t size, size_t n, void *user)
{
    fetch_t *fetch = user;
    size_t len = size * n;
    size_t i = fetch->fetched.n_headers;
    char *text;
    char *colon;

    if (i == JR_HTTP_HEADERS_MAX || len >= HEADER_TEXT_BYTES) {
        return len;
    }
    text = fetch->header_texts[i];
    memcpy(text, data, len);
    text[len] = '\0';
    text[strcspn(text, "\r\n")] = '\0';
    colon = strchr(text, ':');
    if (colon != NULL) {
        *colon++ = '\0';
        fetch->fetched.headers[i].name = text;
        fetch->fetched.headers[i].value = colon + strspn(colon, " ");
        fetch->fetched.n_headers++;
    }
    return len;
}

/*
 * Called when a request is about to leave on a connection. When a reused
 * connection fails without a response, libcurl repeats the request on another
 * one. The outcome would then be that of the repetition, while the server may
 * have received the first request as well.
 *
 * libcurl counts the time of a request only from when it first handles it, and
 * this process may have been paused before that. An order whose time is over
 * must not leave: another leader may have given others since.
 */
static int
on_connected(void *user, char *to, char *from, int to_port, int from_port)
{
    fetch_t *fetch = user;

    (void)to;
    (void)from;
    (void)to_port;
    (void)from_port;
    if (fetch->was_sent || jr_clock_ms() > fetch->expires_at) {
        return CURL_PREREQFUNC_ABORT;
    }
    fetch->was_sent = true;
    return CURL_PREREQFUNC_OK;
}

/*
 * A request that was abandoned must not reach the server later, for example
 * when a network partition heals. With a linger time of 0, closing its
 * connection resets it and discards the bytes in flight.
 */
static int
on_new_socket(void *user, curl_socket_t fd, curlsocktype purpose)
{
    fetch_t *fetch = user;
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    unsigned unacked_ms = UNACKED_MAX_MS;

    (void)purpose;
    if (fetch->was_sent) {
        return CURL_SOCKOPT_ERROR; /* it must not be sent again */
    }
    fetch->has_socket = true;
    if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset) != 0 ||
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                   sizeof unacked_ms) != 0) {
        return CURL_SOCKOPT_ERROR;
    }
    return CURL_SOCKOPT_OK;
}

/* Sets the options that are the same for all requests. */
static CURL *
new_handle(void)
{
    CURL *easy = curl_easy_init();

    if (easy == NULL) {
        return NULL;
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    return easy;
}

static CURL *
acquire_handle(jr_client_t *client)
{
    return client->n_spare > 0 ? client->spare[--client->n_spare]
                               : new_handle();
}

static void
release_handle(jr_client_t *client, CURL *easy)
{
    if (client->n_spare == SPARE_HANDLES) {
        curl_easy_cleanup(easy);
        return;
    }
    client->spare[client->n_spare++] = easy;
}

static void
free_fetch(fetch_t *fetch)
{
    jr_ctx_t *ctx = fetch->client->ctx;

    TAILQ_REMOVE(&fetch->client->fetches, fetch, link);
    curl_multi_remove_handle(fetch->client->multi, fetch->easy);
    release_handle(fetch->client, fetch->easy);
    curl_slist_free_all(fetch->headers);
    jr_free(ctx, fetch->request_body);
    jr_free(ctx, fetch->body);
    jr_free(ctx, fetch);
}

/*
 * The error code alone can't show whether a byte of the request was sent: a
 * repetition that on_new_socket() prevented has failed to connect.
 */
static jr_fetch_outcome_t
outcome_of(const fetch_t *fetch, CURLcode code)
{
    if (code == CURLE_OK && !fetch->is_too_large) {
        return JR_FETCH_ANSWERED;
    }
    if (!fetch->was_sent) {
        return JR_FETCH_NOT_CONNECTED;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? JR_FETCH_TIMEOUT
                                            : JR_FETCH_BROKEN;
}

static const char *
error_of(const fetch_t *fetch, CURLcode code)
{
    if (fetch->is_too_large) {
        return "response body exceeds 1048576 bytes";
    }
    if (fetch->was_sent &&
        (code == CURLE_COULDNT_CONNECT || code == CURLE_ABORTED_BY_CALLBACK)) {
        return "the connection failed before a response"; /* not repeated */
    }
    return curl_easy_strerror(code);
}

static void
complete(fetch_t *fetch, CURLcode code)
{
    long status = 0;
    long system_error = 0;

    curl_easy_getinfo(fetch->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(fetch->easy, CURLINFO_OS_ERRNO, &system_error);
    fetch->fetched.outcome = outcome_of(fetch, code);
    fetch->fetched.is_refused =
        fetch->fetched.outcome == JR_FETCH_NOT_CONNECTED &&
        fetch->has_socket && code == CURLE_COULDNT_CONNECT &&
        system_error == ECONNREFUSED;
    fetch->fetched.status = (unsigned)status;
    fetch->fetched.body = fetch->body != NULL ? fetch->body : "";
    fetch->fetched.len = fetch->len;
    fetch->fetched.error = error_of(fetch, code);
    fetch->handler(fetch->user, &fetch->fetched);
    free_fetch(fetch);
}

/*
 * Its turn begins with the first thing that it handles in an iteration: others
 * may have taken long before.
 */
static bool
is_turn_over(jr_client_t *client)
{
    int64_t now = jr_clock_ms();

    if (client->turn_ends_at == 0) {
        client->turn_ends_at = now + TURN_MS;
    }
    return now >= client->turn_ends_at;
}

static void
check_completed(jr_client_t *client)
{
    CURLMsg *message;
    int left = 1;

    while (left > 0) {
        fetch_t *fetch;

        if (is_turn_over(client)) {
            ev_timer_start(client->loop, &client->completed);
            return;
        }
        message = curl_multi_info_read(client->multi, &left);
        if (message == NULL) {
            return;
        }

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &fetch);
        complete(fetch, message->data.result);
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_client_t *client = timer->data;
    int running;

    (void)loop;
    (void)events;
    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    check_completed(client);
}

static void
on_completed_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    check_completed(timer->data);
}

/* An iteration of the loop has ended. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    jr_client_t *client = prepare->data;

    (void)loop;
    (void)events;
    client->turn_ends_at = 0;
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    socket_watcher_t *watcher = (socket_watcher_t *)io;
    jr_client_t *client = watcher->client;
    int action = 0;
    int running;

    (void)loop;
    if (is_turn_over(client)) {
        return; /* the socket stays ready: the next iteration handles it */
    }
    if (events & EV_READ) {
        action |= CURL_CSELECT_IN;
    }
    if (events & EV_WRITE) {
        action |= CURL_CSELECT_OUT;
    }
    /* This call may free the watcher. */
    curl_multi_socket_action(client->multi, io->fd, action, &running);
    check_completed(client);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *socket)
{
    jr_client_t *client = user;
    socket_watcher_t *watcher = socket;
    int events = 0;

    (void)easy;
    if (watcher != NULL) {
        ev_io_stop(client->loop, &watcher->io);
    }
    if (what == CURL_POLL_REMOVE) {
        curl_multi_assign(client->multi, fd, NULL);
        jr_free(client->ctx, watcher);
        return 0;
    }
    if (watcher == NULL) {
        watcher = jr_alloc(client->ctx, sizeof *watcher);
        watcher->client = client;
        curl_multi_assign(client->multi, fd, watcher);
    }
    if (what & CURL_POLL_IN) {
        events |= EV_READ;
    }
    if (what & CURL_POLL_OUT) {
        events |= EV_WRITE;
    }
    ev_io_init(&watcher->io, on_io, fd, events);
    ev_io_start(client->loop, &watcher->io);
    return 0;
}

static int
on_timeout(CURLM *multi, long timeout_ms, void *user)
{
    jr_client_t *client = user;

    (void)multi;
    ev_timer_stop(client->loop, &client->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(client->loop, &client->timer);
    }
    return 0;
}

jr_client_t *
jr_new_client(jr_ctx_t *ctx, struct ev_loop *loop)
{
    jr_client_t *client = jr_alloc(ctx, sizeof *client);

    client->ctx = ctx;
    client->loop = loop;
    TAILQ_INIT(&client->fetches);
    client->multi = curl_multi_init();
    if (client->multi == NULL) {
        jr_fail(ctx, JR_NETWORK,
                "cannot create an HTTP client: curl_multi_init() failed");
        jr_free(ctx, client);
        return NULL;
    }
    ev_timer_init(&client->timer, on_timer, 0.0, 0.0);
    client->timer.data = client;
    ev_timer_init(&client->completed, on_completed_timer, 0.0, 0.0);
    client->completed.data = client;
    ev_prepare_init(&client->prepare, on_prepare);
    client->prepare.data = client;
    ev_prepare_start(loop, &client->prepare);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)CACHED_CONNECTIONS);
    return client;
}

void
jr_drop_client(jr_client_t *client)
{
    fetch_t *fetch;

    if (client == NULL) {
        return;
    }
    while ((fetch = TAILQ_FIRST(&client->fetches)) != NULL) {
        free_fetch(fetch);
    }
    while (client->n_spare > 0) {
        curl_easy_cleanup(client->spare[--client->n_spare]);
    }
    ev_timer_stop(client->loop, &client->timer);
    ev_timer_stop(client->loop, &client->completed);
    ev_prepare_stop(client->loop, &client->prepare);
    curl_multi_cleanup(client->multi);
    jr_free(client->ctx, client);
}

static void
add_headers(fetch_t *fetch, const jr_fetch_t *from)
{
    for (size_t i = 0; i < from->n_headers; i++) {
        char text[2 * HEADER_TEXT_BYTES];

        snprintf(text, sizeof text, "%s: %s", from->headers[i].name,
                 from->headers[i].value);
        fetch->headers = curl_slist_append(fetch->headers, text);
    }
    /* Otherwise libcurl waits up to 1 s for a "100 Continue" response. */
    fetch->headers = curl_slist_append(fetch->headers, "Expect:");
}

static void
set_options(fetch_t *fetch, const jr_fetch_t *from)
{
    CURL *easy = fetch->easy;

    curl_easy_setopt(easy, CURLOPT_URL, from->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, fetch);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fetch->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, fetch);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, fetch);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, fetch);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, fetch);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)from->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, from->is_fresh ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, from->method);
    if (strcmp(from->method, "GET") == 0) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    else {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)from->len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         fetch->request_body != NULL ? fetch->request_body
                                                     : "");
    }
}

jr_result_t
jr_client_fetch(jr_client_t *client, const jr_fetch_t *from)
{
    fetch_t *fetch = jr_resize(client->ctx, NULL, sizeof *fetch);

    memset(fetch, 0, offsetof(fetch_t, header_texts));
    fetch->client = client;
    fetch->handler = from->handler;
    fetch->user = from->user;
    fetch->expires_at = jr_clock_ms() + from->timeout_ms;
    fetch->easy = acquire_handle(client);
    if (fetch->easy == NULL) {
        jr_free(client->ctx, fetch);
        return jr_fail(
            client->ctx, JR_NETWORK,
            "cannot create HTTP request %.10s %.100s: curl_easy_init() "
            "failed",
            from->method, from->url);
    }
    fetch->request_body = jr_memdup(client->ctx, from->body, from->len);
    TAILQ_INSERT_TAIL(&client->fetches, fetch, link);
    add_headers(fetch, from);
    set_options(fetch, from);
    curl_multi_add_handle(client->multi, fetch->easy);
    return JR_OK;
}

const char *
jr_fetched_header(const jr_fetched_t *fetched, const char *name)
{
    for (size_t i = 0; i < fetched->n_headers; i++) {
        if (strcasecmp(fetched->headers[i].name, name) == 0) {
            return fetched->headers[i].value;
        }
    }
    return NULL;
}
