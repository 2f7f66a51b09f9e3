/* Messages on the bus: consensus traffic, requests and replies. */
#include "control.h"

#include <glib.h>
#include <string.h>

static jr_known_replica_t *
find_known_replica(jr_control_t *control, uint64_t id)
{
    for (size_t i = 0; i < control->n_known_replicas; i++) {
        if (control->known_replicas[i].id == id) {
            return &control->known_replicas[i];
        }
    }
    return NULL;
}

/*
 * A process that sends consensus messages can tell who leads, so requests may
 * go to it. After a lost disk this is how the new replica finds the group: the
 * messages for the earlier replica still arrive.
 */
static void
add_sender_as_peer(jr_control_t *control, const char *name)
{
    int peer = jr_bus_find_or_connect(control->bus, name);

    if (peer >= 0) {
        jr_requester_add_peer(control->requester, peer);
    }
}

/* Records which process last sent a message under a replica id. */
static void
record_replica_name(jr_control_t *control, uint64_t id, const char *name)
{
    jr_known_replica_t *known = find_known_replica(control, id);

    if (strlen(name) >= JR_NAME_BYTES ||
        (known == NULL && control->n_known_replicas == KNOWN_REPLICAS_MAX)) {
        return;
    }
    if (known == NULL) {
        known = &control->known_replicas[control->n_known_replicas++];
        known->id = id;
        add_sender_as_peer(control, name);
    }
    g_strlcpy(known->name, name, sizeof known->name);
}

int
jr_control_find_peer(jr_control_t *control, const jr_member_t *member)
{
    const jr_known_replica_t *known;

    if (member->address[0] != '\0') {
        return jr_bus_connect(control->bus, member->name, member->address);
    }
    known = find_known_replica(control, member->id);
    return known != NULL ? jr_bus_find_or_connect(control->bus, known->name)
                         : -1;
}

void
jr_control_on_send(void *user, const jr_member_t *to, const uint8_t *bytes,
                   size_t len)
{
    jr_control_t *control = user;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;
    Jr__QuorumMsg *message = jr__quorum_msg__unpack(NULL, len, bytes);

    envelope.body_case = JR__ENVELOPE__BODY_QUORUM;
    envelope.quorum = message;
    jr_bus_send(control->bus, jr_control_find_peer(control, to), &envelope);
    jr__quorum_msg__free_unpacked(message, NULL);
}

void
jr_control_reply(jr_control_t *control, const jr_reply_address_t *reply_to,
                 Jr__Reply *reply)
{
    Jr__Envelope envelope = JR__ENVELOPE__INIT;
    jr_route_t route = {.len = reply_to->route_len};

    memcpy(route.bytes, reply_to->route, reply_to->route_len);
    envelope.body_case = JR__ENVELOPE__BODY_REPLY;
    envelope.reply = reply;
    jr_bus_reply(control->bus, &route, &envelope);
}

/*
 * A replica that has not received the members yet knows only the id of its
 * leader. The name is known from the messages that it sent.
 */
static void
add_leader_name(jr_control_t *control, Jr__Reply *reply)
{
    jr_known_replica_t *leader;

    if (!control->settings.jobs || reply->code != JR_NOT_LEADER ||
        *reply->leader != '\0') {
        return;
    }
    leader = find_known_replica(
        control, jr_quorum_leader(jr_group_quorum(control->groups[0])));
    if (leader != NULL) {
        reply->leader = leader->name;
    }
}

void
jr_control_on_reply(void *user, const jr_reply_address_t *reply_to,
                    Jr__Reply *reply)
{
    jr_control_t *control = user;

    add_leader_name(control, reply);
    jr_control_reply(control, reply_to, reply);
}

static void
on_quorum_message(jr_control_t *control, const Jr__Envelope *envelope)
{
    Jr__QuorumMsg *message = envelope->quorum;
    size_t len = jr__quorum_msg__get_packed_size(message);
    uint8_t *bytes;

    if (message->group >= control->n_groups ||
        control->groups[message->group] == NULL) {
        jr_count(control->ctx, JR_C_BUS_BAD);
        return;
    }
    record_replica_name(control, message->from, envelope->from);
    bytes = jr_alloc(control->ctx, len);
    jr__quorum_msg__pack(message, bytes);
    jr_group_receive(control->groups[message->group], bytes, len,
                     jr_clock_ms());
    jr_free(control->ctx, bytes);
}

/*
 * Answers a request to a group without a replica in this process: rules from
 * the local copy, else the name of a process that hosts the group.
 */
static void
redirect_request(jr_control_t *control, const jr_reply_address_t *reply_to,
                 const Jr__Request *request)
{
    size_t hosts[JR_REPLICAS_MAX];
    size_t n = jr_settings_hosts(&control->settings, request->group, hosts);
    Jr__Reply reply = JR__REPLY__INIT;

    if (request->body_case == JR__REQUEST__BODY_RULES_GET) {
        jr_control_reply_rules(control, reply_to, request->rules_get);
        return;
    }
    reply.id = reply_to->id;
    reply.code = JR_NOT_LEADER;
    if (n > 0) {
        reply.leader =
            control->settings.controls[hosts[reply_to->id % n]].name;
    }
    jr_control_reply(control, reply_to, &reply);
}

static void
on_request(jr_control_t *control, const jr_route_t *route,
           const Jr__Request *request)
{
    jr_reply_address_t reply_to = {.route_len = route->len, .id = request->id};
    Jr__Reply reply = JR__REPLY__INIT;

    memcpy(reply_to.route, route->bytes, route->len);
    if (request->body_case == JR__REQUEST__BODY_STATUS_GET) {
        jr_control_status(control, &reply_to);
    }
    else if (request->group < control->n_groups &&
             control->groups[request->group] == NULL) {
        redirect_request(control, &reply_to, request);
    }
    else if (request->group < control->n_groups) {
        jr_group_request(control->groups[request->group], &reply_to, request,
                         jr_clock_ms());
    }
    else {
        jr_count(control->ctx, JR_C_BUS_BAD);
        reply.id = request->id;
        reply.code = JR_BAD_REQUEST;
        jr_control_reply(control, &reply_to, &reply);
    }
}

/* Only replies to rules polls have the id 0; see on_poll_timer(). */
static void
apply_polled_rules(jr_control_t *control, const Jr__Reply *reply)
{
    uint64_t own = control->rules != NULL ? control->rules->version : 0;

    if (reply->body_case == JR__REPLY__BODY_RULES &&
        reply->rules->version > own && *reply->rules->text != '\0') {
        jr_control_on_rules(control, reply->rules->version,
                            reply->rules->text);
    }
}

void
jr_control_on_envelope(void *user, const jr_route_t *route,
                       const Jr__Envelope *envelope)
{
    jr_control_t *control = user;

    if (envelope->body_case == JR__ENVELOPE__BODY_QUORUM) {
        on_quorum_message(control, envelope);
    }
    else if (envelope->body_case == JR__ENVELOPE__BODY_REQUEST &&
             route != NULL) {
        on_request(control, route, envelope->request);
    }
    else if (envelope->body_case == JR__ENVELOPE__BODY_REPLY &&
             envelope->reply->id == 0) {
        apply_polled_rules(control, envelope->reply);
    }
    else if (envelope->body_case == JR__ENVELOPE__BODY_REPLY) {
        jr_requester_handle_reply(control->requester, envelope->reply);
    }
    else if (envelope->body_case == JR__ENVELOPE__BODY_ORDER_BATCH &&
             control->carry != NULL && route != NULL) {
        jr_carry_on_orders(control->carry, route, envelope->order_batch);
    }
    else if (envelope->body_case == JR__ENVELOPE__BODY_ANSWER_BATCH &&
             control->carry != NULL) {
        jr_carry_on_answers(control->carry, envelope->answer_batch);
    }
    else {
        jr_count(control->ctx, JR_C_BUS_BAD);
    }
}
