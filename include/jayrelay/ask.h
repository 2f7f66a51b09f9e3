/**
 * DOC: ask - requests to the leader of a group
 *
 * Finds the leader, follows leader changes, and repeats a request that got
 * no reply. All requests are safe to repeat: submissions carry a key,
 * reports an epoch, rules a version.
 */
#ifndef JAYRELAY_ASK_H
#define JAYRELAY_ASK_H

#include "jayrelay/bus.h"

typedef struct jr_requester jr_requester_t;

/**
 * jr_reply_handler_t - the outcome of a request
 * @code: code of the reply; JR_NO_QUORUM when no leader accepted the request,
 *        so that it certainly had no effect; JR_UNKNOWN when it may have had
 *        one
 * @reply: the leader's reply, or NULL; borrowed
 */
typedef void jr_reply_handler_t(void *user, jr_result_t code,
                                const Jr__Reply *reply);

/**
 * jr_new_requester - a requester that sends over @bus, which it borrows
 * @peers: numbers of the control processes on the bus, nearest first;
 *         copied
 */
jr_requester_t *jr_new_requester(jr_ctx_t *ctx, struct ev_loop *loop,
                                 jr_bus_t *bus, const int *peers, size_t n);

/** jr_requester_add_peer - add a control process that requests may go to */
void jr_requester_add_peer(jr_requester_t *requester, int peer);

/** jr_drop_requester - free; handlers are not called. NULL is accepted */
void jr_drop_requester(jr_requester_t *requester);

/**
 * jr_requester_send - send a request to the leader of its group; copies it
 *
 * The handler is called once, from the loop, never from this call.
 */
void jr_requester_send(jr_requester_t *requester, Jr__Request *request,
                       int64_t timeout_ms, jr_reply_handler_t *handler,
                       void *user);

/** jr_requester_handle_reply - process a reply that arrived on the bus */
void jr_requester_handle_reply(jr_requester_t *requester,
                               const Jr__Reply *reply);

/**
 * jr_requester_abandon_all - give up on all open requests; NULL is accepted
 *
 * Each handler is called: with JR_NO_QUORUM when every attempt was rejected or
 * could not be sent, else with JR_UNKNOWN.
 */
void jr_requester_abandon_all(jr_requester_t *requester);

/** jr_requester_count_open - number of requests without an outcome */
size_t jr_requester_count_open(const jr_requester_t *requester);

#endif
