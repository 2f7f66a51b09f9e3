/**
 * DOC: http - HTTP towards callers, upstreams, workers and operators
 *
 * A server (libmicrohttpd) and a client (libcurl's multi interface) on the
 * libev loop.
 */
#ifndef JAYRELAY_HTTP_H
#define JAYRELAY_HTTP_H

#include <ev.h>

#include "jayrelay/ctx.h"

enum {
    JR_HTTP_BODY_MAX_BYTES = 1024 * 1024, /* of a request or an answer */
    JR_HTTP_HEADERS_MAX = 16, /* read from an answer; more are ignored */
};

/** struct jr_header_t - a header of a request or a response; borrowed */
typedef struct {
    const char *name;
    const char *value;
} jr_header_t;

typedef struct jr_http jr_http_t;
typedef struct jr_exchange jr_exchange_t;

/**
 * jr_http_handler_t - handle a request that was received in full
 *
 * The handler calls jr_http_answer() once, from this call or later.
 */
typedef void jr_http_handler_t(void *user, jr_exchange_t *exchange);

/**
 * jr_new_http - listen on @address ("host:port")
 *
 * Return: the server, or NULL with JR_NETWORK in the context.
 */
jr_http_t *jr_new_http(jr_ctx_t *ctx, struct ev_loop *loop,
                       const char *address, jr_http_handler_t *handler,
                       void *user);

/**
 * jr_drop_http - stop and close all connections; NULL is accepted
 *
 * Answers that were given are sent. Requests without one get none: their
 * callers can't know whether they were executed.
 */
void jr_drop_http(jr_http_t *http);

/** jr_http_close_connections - close each connection after a response */
void jr_http_close_connections(jr_http_t *http);

/**
 * jr_http_quiesce - close the listening port
 *
 * Connections in the listen backlog are still served. As after
 * jr_http_close_connections(), each response closes its connection.
 */
void jr_http_quiesce(jr_http_t *http);

/** jr_http_count_open - number of requests not answered in full yet */
unsigned jr_http_count_open(const jr_http_t *http);

/** jr_exchange_method - "GET" and so on */
const char *jr_exchange_method(const jr_exchange_t *exchange);
/** jr_exchange_path - the path, without the query */
const char *jr_exchange_path(const jr_exchange_t *exchange);
/** jr_exchange_header - value of a header, or NULL */
const char *jr_exchange_header(const jr_exchange_t *exchange,
                               const char *name);
/** jr_exchange_body - the body, NUL-terminated */
const char *jr_exchange_body(const jr_exchange_t *exchange, size_t *len);

/**
 * jr_exchange_is_abandoned - has the caller closed its side of the connection?
 *
 * A caller that waits for the answer has not.
 */
bool jr_exchange_is_abandoned(const jr_exchange_t *exchange);

/**
 * jr_http_answer - answer a request; @exchange is invalid afterwards
 * @headers: @n of them; copied
 * @body: @len bytes; copied
 */
void jr_http_answer(jr_exchange_t *exchange, unsigned status,
                    const jr_header_t *headers, size_t n, const void *body,
                    size_t len);

typedef struct jr_client jr_client_t;

/** enum jr_fetch_outcome_t - outcome of a request */
typedef enum {
    JR_FETCH_ANSWERED,      /* received a complete response */
    JR_FETCH_NOT_CONNECTED, /* no byte of the request was sent */
    JR_FETCH_BROKEN,        /* failed before a response was complete */
    JR_FETCH_TIMEOUT,       /* no complete response within the time-out */
} jr_fetch_outcome_t;

/**
 * struct jr_fetched_t - outcome and response of a request; borrowed
 * @is_refused: of JR_FETCH_NOT_CONNECTED: nothing listens at the address; else
 *              the server may be running and cut off
 * @status: HTTP status of a complete response
 * @body: NUL-terminated
 */
typedef struct {
    jr_fetch_outcome_t outcome;
    bool is_refused;
    unsigned status;
    const char *body;
    size_t len;
    const char *error;
    jr_header_t headers[JR_HTTP_HEADERS_MAX];
    size_t n_headers;
} jr_fetched_t;

typedef void jr_fetch_handler_t(void *user, const jr_fetched_t *fetched);

/**
 * struct jr_fetch_t - a request; it is sent at most once
 * @timeout_ms: for the complete response; a request that was not sent in this
 *              time, as the process was paused, is not sent any more
 * @is_fresh: use a new connection. The server may close a reused one just when
 *            the request is sent, and then nobody knows whether it has run.
 */
typedef struct {
    const char *method;
    const char *url;
    const jr_header_t *headers;
    size_t n_headers;
    const void *body;
    size_t len;
    int64_t timeout_ms;
    bool is_fresh;
    jr_fetch_handler_t *handler;
    void *user;
} jr_fetch_t;

/** jr_new_client - a client; NULL with JR_NETWORK in the context */
jr_client_t *jr_new_client(jr_ctx_t *ctx, struct ev_loop *loop);

/** jr_drop_client - cancel all requests; NULL is accepted */
void jr_drop_client(jr_client_t *client);

/**
 * jr_client_fetch - start a request; copies @from
 *
 * The handler is called once, from the loop, never from this call.
 */
jr_result_t jr_client_fetch(jr_client_t *client, const jr_fetch_t *from);

/** jr_fetched_header - value of a response header, or NULL */
const char *jr_fetched_header(const jr_fetched_t *fetched, const char *name);

#endif
