/**
 * DOC: bus - messages between the system's own processes
 *
 * ZeroMQ on the libev loop. Each process binds one address and connects to
 * those of its peers. A message that can't be queued for sending at once is
 * dropped and counted: users of the bus repeat the messages that matter.
 */
#ifndef JAYRELAY_BUS_H
#define JAYRELAY_BUS_H

#include <ev.h>

#include "jayrelay/ctx.h"
#include "net/wire.pb-c.h"

enum { JR_BUS_ROUTE_BYTES = 32 };

/**
 * struct jr_route_t - return address of a message
 */
typedef struct {
    uint8_t bytes[JR_BUS_ROUTE_BYTES];
    size_t len;
} jr_route_t;

typedef struct jr_bus jr_bus_t;

/**
 * jr_bus_handler_t - handle a valid message; @envelope is borrowed
 * @route: for jr_bus_reply(); NULL for a message that arrived on a connection
 *         to a peer
 */
typedef void jr_bus_handler_t(void *user, const jr_route_t *route,
                              const Jr__Envelope *envelope);

enum { JR_BUS_KEY_BYTES = 41 };

/**
 * struct jr_bus_keys_t - the key pair that all processes of a system share
 *
 * With keys the bus is encrypted (CURVE). Only holders of the public key can
 * connect to a process, so both keys are secret. Empty strings: no encryption.
 */
typedef struct {
    char public_key[JR_BUS_KEY_BYTES];
    char secret_key[JR_BUS_KEY_BYTES];
} jr_bus_keys_t;

/** jr_bus_keys_write - write a new key pair to a file it creates */
jr_result_t jr_bus_keys_write(jr_ctx_t *ctx, const char *path);

/** jr_bus_keys_read - read a key pair; an empty path gives empty keys */
jr_result_t jr_bus_keys_read(jr_ctx_t *ctx, const char *path,
                             jr_bus_keys_t *keys);

/**
 * jr_new_bus - a bus that is bound to @address ("host:port")
 * @name: name of this process, sent in each envelope; copied
 * @keys: copied
 *
 * Return: the bus, or NULL with JR_NETWORK in the context.
 */
jr_bus_t *jr_new_bus(jr_ctx_t *ctx, struct ev_loop *loop, const char *name,
                     const char *address, const jr_bus_keys_t *keys,
                     jr_bus_handler_t *handler, void *user);

/** jr_drop_bus - close; NULL is accepted */
void jr_drop_bus(jr_bus_t *bus);

/**
 * jr_bus_connect - connect to a peer, unless it is connected already
 * @name: name of the peer's process
 *
 * Return: the number of the peer, or -1 with JR_NETWORK in the context.
 */
int jr_bus_connect(jr_bus_t *bus, const char *name, const char *address);

/** jr_bus_find - number of the peer with this name, -1 for none */
int jr_bus_find(const jr_bus_t *bus, const char *name);

/**
 * jr_bus_find_or_connect - number of the peer with this name; connects to an
 * unknown peer if its name is an address ("host:port")
 *
 * Return: the number, or -1 if the peer is unknown and can't be connected to.
 */
int jr_bus_find_or_connect(jr_bus_t *bus, const char *name);

/** jr_bus_send - send to a peer; false if the message was dropped */
bool jr_bus_send(jr_bus_t *bus, int peer, Jr__Envelope *envelope);

/** jr_bus_reply - answer a message; false if the answer was dropped */
bool jr_bus_reply(jr_bus_t *bus, const jr_route_t *route,
                  Jr__Envelope *envelope);

#endif
