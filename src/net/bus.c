/*
 * The bus. The descriptor of a ZeroMQ socket is edge-triggered, and any call
 * on the socket may consume the edge. So each socket that was used is polled
 * before the loop blocks, and an idle watcher keeps the loop from blocking
 * while a socket has a message. A poll costs two system calls, so sockets
 * that were not used are skipped. Messages are read before other events are
 * handled: among them are those of consensus, which must not be late.
 */
#include "jayrelay/bus.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

enum {
    QUEUE_MESSAGES = 10000, /* per connection and direction */
    MESSAGE_MAX_BYTES = 64 * 1024 * 1024,
    RECONNECT_MS = 50, /* first delay; grows to RECONNECT_MAX_MS */
    RECONNECT_MAX_MS = 500,
    KEEPALIVE_MS = 1000,
    KEEPALIVE_TIMEOUT_MS = 3000,
    LINGER_MS = 200,   /* for unsent messages when a socket closes */
    DRAIN_BATCH = 256, /* messages received per socket in one pass */
};

typedef struct {
    char *name;
    char *address;
    void *socket;
    bool needs_poll; /* used since the last poll */
    ev_io io;
} peer_t;

struct jr_bus {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    char *name;
    jr_bus_keys_t keys;
    jr_bus_handler_t *handler;
    void *user;
    void *zmq;
    void *router;
    bool router_needs_poll;
    ev_io router_io;
    ev_prepare prepare;
    ev_idle idle;
    peer_t *peers;
    int n_peers;
};

static void
set_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

/*
 * All processes share one key pair: each is a CURVE server on its bound socket
 * and a client on its connections.
 */
static void
set_keys(const jr_bus_t *bus, void *socket, int type)
{
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, bus->keys.secret_key,
                   JR_BUS_KEY_BYTES - 1);
    if (type == ZMQ_ROUTER) {
        set_option(socket, ZMQ_CURVE_SERVER, 1);
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, bus->keys.public_key,
                   JR_BUS_KEY_BYTES - 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, bus->keys.public_key,
                   JR_BUS_KEY_BYTES - 1);
}

static void *
new_socket(jr_bus_t *bus, int type)
{
    void *socket = zmq_socket(bus->zmq, type);
    int64_t max = MESSAGE_MAX_BYTES;

    if (socket == NULL) {
        return NULL;
    }
    set_option(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
    set_option(socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
    set_option(socket, ZMQ_LINGER, LINGER_MS);
    set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    set_option(socket, ZMQ_HEARTBEAT_IVL, KEEPALIVE_MS);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, KEEPALIVE_TIMEOUT_MS);
    /* Queue only on completed connections, not for an absent peer. */
    set_option(socket, ZMQ_IMMEDIATE, 1);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof max);
    if (bus->keys.public_key[0] != '\0') {
        set_keys(bus, socket, type);
    }
    return socket;
}

static int
descriptor_of(void *socket)
{
    int fd = -1;
    size_t size = sizeof fd;

    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    return fd;
}

static bool
is_readable(void *socket)
{
    int events = 0;
    size_t size = sizeof events;

    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
}

static void
handle_message(jr_bus_t *bus, const jr_route_t *route, zmq_msg_t *message)
{
    Jr__Envelope *envelope = jr__envelope__unpack(NULL, zmq_msg_size(message),
                                                  zmq_msg_data(message));

    jr_count(bus->ctx, JR_C_BUS_RECEIVED);
    if (envelope == NULL) {
        jr_count(bus->ctx, JR_C_BUS_BAD);
        jr_log(bus->ctx, JR_EV_BAD_MESSAGE,
               "message of %zu bytes dropped: expected a packed Envelope",
               zmq_msg_size(message));
        return;
    }
    bus->handler(bus->user, route, envelope);
    jr__envelope__free_unpacked(envelope, NULL);
}

/* Discards the remaining parts of a message with unexpected framing. */
static void
discard_rest(jr_bus_t *bus, void *socket, zmq_msg_t *message)
{
    while (zmq_msg_more(message)) {
        if (zmq_msg_recv(message, socket, ZMQ_DONTWAIT) < 0) {
            break;
        }
    }
    jr_count(bus->ctx, JR_C_BUS_BAD);
}

static bool
receive_routed(jr_bus_t *bus)
{
    jr_route_t route = {.len = 0};
    zmq_msg_t message;
    bool ok = false;

    zmq_msg_init(&message);
    if (zmq_msg_recv(&message, bus->router, ZMQ_DONTWAIT) >= 0) {
        ok = true;
        if (zmq_msg_size(&message) <= sizeof route.bytes &&
            zmq_msg_more(&message)) {
            route.len = zmq_msg_size(&message);
            memcpy(route.bytes, zmq_msg_data(&message), route.len);
            zmq_msg_recv(&message, bus->router, ZMQ_DONTWAIT);
        }
        if (route.len == 0 || zmq_msg_more(&message)) {
            discard_rest(bus, bus->router, &message);
        }
        else {
            handle_message(bus, &route, &message);
        }
    }
    zmq_msg_close(&message);
    return ok;
}

static bool
receive_from(jr_bus_t *bus, void *socket)
{
    zmq_msg_t message;
    bool ok = false;

    zmq_msg_init(&message);
    if (zmq_msg_recv(&message, socket, ZMQ_DONTWAIT) >= 0) {
        ok = true;
        if (zmq_msg_more(&message)) {
            discard_rest(bus, socket, &message);
        }
        else {
            handle_message(bus, NULL, &message);
        }
    }
    zmq_msg_close(&message);
    return ok;
}

static void
drain(jr_bus_t *bus)
{
    bus->router_needs_poll = true;
    for (int i = 0; i < DRAIN_BATCH && receive_routed(bus); i++) {
    }
    for (int p = 0; p < bus->n_peers; p++) {
        bus->peers[p].needs_poll = true;
        for (int i = 0; i < DRAIN_BATCH; i++) {
            if (!receive_from(bus, bus->peers[p].socket)) {
                break;
            }
        }
    }
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    drain(io->data);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
    jr_bus_t *bus = prepare->data;
    bool has_message = bus->router_needs_poll && is_readable(bus->router);

    (void)events;
    bus->router_needs_poll = false;
    for (int p = 0; p < bus->n_peers; p++) {
        peer_t *peer = &bus->peers[p];

        has_message |= peer->needs_poll && is_readable(peer->socket);
        peer->needs_poll = false;
    }
    if (has_message) {
        ev_idle_start(loop, &bus->idle);
    }
}

static void
on_idle(struct ev_loop *loop, ev_idle *idle, int events)
{
    (void)events;
    ev_idle_stop(loop, idle);
    drain(idle->data);
}

static void
start_watcher(jr_bus_t *bus, ev_io *io, void *socket)
{
    ev_io_init(io, on_io, descriptor_of(socket), EV_READ);
    ev_set_priority(io, EV_MAXPRI);
    io->data = bus;
    ev_io_start(bus->loop, io);
}

jr_bus_t *
jr_new_bus(jr_ctx_t *ctx, struct ev_loop *loop, const char *name,
           const char *address, const jr_bus_keys_t *keys,
           jr_bus_handler_t *handler, void *user)
{
    jr_bus_t *bus = jr_alloc(ctx, sizeof *bus);
    char endpoint[256];

    bus->ctx = ctx;
    bus->loop = loop;
    bus->name = jr_strdup(ctx, name);
    bus->keys = *keys;
    bus->handler = handler;
    bus->user = user;
    ev_prepare_init(&bus->prepare, on_prepare);
    /* Runs after the other watchers of the iteration, which may send. */
    ev_set_priority(&bus->prepare, EV_MINPRI);
    bus->prepare.data = bus;
    ev_idle_init(&bus->idle, on_idle);
    /*
     * An idle watcher waits for all events of its priority and above: at any
     * other priority, it would never run in a loop that is busy.
     */
    ev_set_priority(&bus->idle, EV_MAXPRI);
    bus->idle.data = bus;
    bus->zmq = zmq_ctx_new();
    bus->router = new_socket(bus, ZMQ_ROUTER);
    snprintf(endpoint, sizeof endpoint, "tcp://%s", address);
    if (bus->router == NULL || zmq_bind(bus->router, endpoint) != 0) {
        jr_fail(
            ctx, JR_NETWORK,
            "cannot bind bus to %.100s: %s; expected IP:PORT with an address "
            "of this host and a free port",
            address, zmq_strerror(errno));
        jr_drop_bus(bus);
        return NULL;
    }
    start_watcher(bus, &bus->router_io, bus->router);
    bus->router_needs_poll = true;
    ev_prepare_start(loop, &bus->prepare);
    return bus;
}

void
jr_drop_bus(jr_bus_t *bus)
{
    if (bus == NULL) {
        return;
    }
    ev_prepare_stop(bus->loop, &bus->prepare);
    ev_idle_stop(bus->loop, &bus->idle);
    ev_io_stop(bus->loop, &bus->router_io);
    for (int i = 0; i < bus->n_peers; i++) {
        ev_io_stop(bus->loop, &bus->peers[i].io);
        zmq_close(bus->peers[i].socket);
        jr_free(bus->ctx, bus->peers[i].name);
        jr_free(bus->ctx, bus->peers[i].address);
    }
    if (bus->router != NULL) {
        zmq_close(bus->router);
    }
    zmq_ctx_term(bus->zmq);
    jr_free(bus->ctx, bus->peers);
    jr_free(bus->ctx, bus->name);
    jr_free(bus->ctx, bus);
}

int
jr_bus_find(const jr_bus_t *bus, const char *name)
{
    for (int i = 0; i < bus->n_peers; i++) {
        if (strcmp(bus->peers[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

int
jr_bus_connect(jr_bus_t *bus, const char *name, const char *address)
{
    int found = jr_bus_find(bus, name);
    char endpoint[256];
    peer_t *peer;
    void *socket;

    if (found >= 0) {
        return found;
    }
    snprintf(endpoint, sizeof endpoint, "tcp://%s", address);
    socket = new_socket(bus, ZMQ_DEALER);
    if (socket == NULL || zmq_connect(socket, endpoint) != 0) {
        jr_fail(
            bus->ctx, JR_NETWORK,
            "cannot connect bus to %.100s at %.100s: %s; expected an address "
            "IP:PORT",
            name, address, zmq_strerror(errno));
        if (socket != NULL) {
            zmq_close(socket);
        }
        return -1;
    }
    /* Resizing may move the array, and the active watchers are in it. */
    for (int i = 0; i < bus->n_peers; i++) {
        ev_io_stop(bus->loop, &bus->peers[i].io);
    }
    bus->peers = jr_resize(bus->ctx, bus->peers,
                           (size_t)(bus->n_peers + 1) * sizeof *bus->peers);
    peer = &bus->peers[bus->n_peers++];
    *peer = (peer_t){
        .needs_poll = true,
        .name = jr_strdup(bus->ctx, name),
        .address = jr_strdup(bus->ctx, address),
        .socket = socket,
    };
    for (int i = 0; i < bus->n_peers; i++) {
        start_watcher(bus, &bus->peers[i].io, bus->peers[i].socket);
    }
    return bus->n_peers - 1;
}

int
jr_bus_find_or_connect(jr_bus_t *bus, const char *name)
{
    return strchr(name, ':') != NULL ? jr_bus_connect(bus, name, name)
                                     : jr_bus_find(bus, name);
}

static bool
pack_into(jr_bus_t *bus, Jr__Envelope *envelope, zmq_msg_t *message)
{
    size_t len;

    envelope->from = bus->name;
    len = jr__envelope__get_packed_size(envelope);
    if (zmq_msg_init_size(message, len) != 0) {
        return false;
    }
    jr__envelope__pack(envelope, zmq_msg_data(message));
    jr_count_n(bus->ctx, JR_C_BUS_SENT_BYTES, len);
    return true;
}

static bool
finish_send(jr_bus_t *bus, void *socket, zmq_msg_t *message)
{
    if (zmq_msg_send(message, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(message);
        jr_count(bus->ctx, JR_C_BUS_DROPPED);
        return false;
    }
    jr_count(bus->ctx, JR_C_BUS_SENT);
    return true;
}

bool
jr_bus_send(jr_bus_t *bus, int peer, Jr__Envelope *envelope)
{
    zmq_msg_t message;

    if (peer < 0 || peer >= bus->n_peers ||
        !pack_into(bus, envelope, &message)) {
        jr_count(bus->ctx, JR_C_BUS_DROPPED);
        return false;
    }
    bus->peers[peer].needs_poll = true;
    return finish_send(bus, bus->peers[peer].socket, &message);
}

bool
jr_bus_reply(jr_bus_t *bus, const jr_route_t *route, Jr__Envelope *envelope)
{
    zmq_msg_t message;

    bus->router_needs_poll = true;
    if (zmq_send(bus->router, route->bytes, route->len,
                 ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0 ||
        !pack_into(bus, envelope, &message)) {
        jr_count(bus->ctx, JR_C_BUS_DROPPED);
        return false;
    }
    return finish_send(bus, bus->router, &message);
}
