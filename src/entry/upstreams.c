/* Upstream announcements, and slot loans between entry processes. */
#include "entry.h"

#include <string.h>

enum { US_PER_MS = 1000, MS_PER_S = 1000 };

static void
to_announcement(const Jr__Announce *from, jr_announcement_t *to)
{
    *to = (jr_announcement_t){
        .name = from->name,
        .address = from->address,
        .zone = from->zone,
        .rack = from->rack,
        .service = from->service,
        .slots = (int)MIN(from->slots, (uint32_t)JR_SLOTS_MAX + 1),
        .connections = (int)MIN(from->connections, (uint32_t)INT32_MAX),
        .incarnation = from->incarnation,
        .sequence = from->sequence,
        .is_leaving = from->leaving,
        .age_us = (int64_t)from->age_ms * US_PER_MS,
    };
}

/* Returns false, with the reason in the context, when it is not valid. */
static bool
apply_announcement(jr_entry_t *entry, const Jr__Announce *announce,
                   bool *is_newer)
{
    jr_announcement_t announcement;
    jr_upstream_t *upstream;
    int64_t now = jr_clock_us();

    to_announcement(announce, &announcement);
    upstream =
        jr_upstreams_apply(entry->upstreams, &announcement, now, is_newer);
    if (upstream != NULL) {
        jr_relay_update_upstream(entry->relay, upstream, now);
    }
    return upstream != NULL;
}

void
jr_entry_on_peer_announce(jr_entry_t *entry, const Jr__Announce *announce)
{
    bool is_newer;

    apply_announcement(entry, announce, &is_newer);
}

/* Only entry processes in the upstream's zone send calls to it. */
static void
forward_to_zone(jr_entry_t *entry, Jr__Announce *announce)
{
    int n = entry->n_other_zones + entry->n_own_zone;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    envelope.body_case = JR__ENVELOPE__BODY_ANNOUNCE;
    envelope.announce = announce;
    for (int i = 0; i < n; i++) {
        if (strcmp(entry->peers[i].process->zone, announce->zone) == 0) {
            jr_bus_send(entry->bus, entry->peers[i].bus_peer, &envelope);
        }
    }
}

static bool
read_count(const json_t *object, const char *key, uint64_t max, uint64_t *to)
{
    const json_t *value = json_object_get(object, key);
    json_int_t number = json_integer_value(value);

    if (!json_is_integer(value) || number < 0 || (uint64_t)number > max) {
        return false;
    }
    *to = (uint64_t)number;
    return true;
}

static bool
read_announce(const json_t *object, Jr__Announce *to)
{
    struct {
        const char *key;
        char **to;
    } texts[] = {
        {"name", &to->name}, {"address", &to->address}, {"zone", &to->zone},
        {"rack", &to->rack}, {"service", &to->service},
    };
    uint64_t slots, connections;

    for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++) {
        const char *text = jr_json_text(object, texts[i].key);

        if (text == NULL) {
            return false;
        }
        *texts[i].to = (char *)text;
    }
    if (!read_count(object, "slots", JR_SLOTS_MAX, &slots) ||
        !read_count(object, "connections", JR_SLOTS_MAX, &connections) ||
        !read_count(object, "incarnation", INT64_MAX, &to->incarnation) ||
        !read_count(object, "sequence", INT64_MAX, &to->sequence)) {
        return false;
    }
    to->slots = (uint32_t)slots;
    to->connections = (uint32_t)connections;
    to->leaving = json_is_true(json_object_get(object, "leaving"));
    return true;
}

void
jr_entry_on_announce(jr_entry_t *entry, jr_exchange_t *exchange)
{
    json_t *object = jr_read_json(entry, exchange);
    Jr__Announce announce = JR__ANNOUNCE__INIT;
    bool is_newer = false;

    if (object == NULL) {
        jr_count(entry->ctx, JR_C_ANNOUNCE_BAD);
        return;
    }
    if (!read_announce(object, &announce)) {
        jr_count(entry->ctx, JR_C_ANNOUNCE_BAD);
        jr_answer_code(entry, exchange, JR_BAD_REQUEST,
                       "malformed announcement: expected the strings name, "
                       "address, zone, rack and service, slots and "
                       "connections as integers from 0 to 100000, "
                       "incarnation and sequence as integers from 0");
    }
    else if (!apply_announcement(entry, &announce, &is_newer)) {
        jr_answer_code(entry, exchange, JR_BAD_REQUEST,
                       entry->ctx->error.text);
    }
    else {
        if (is_newer) {
            forward_to_zone(entry, &announce);
        }
        jr_answer_json(exchange, HTTP_OK,
                       json_pack("{s:i}", "announce_again_ms", MS_PER_S), 0);
    }
    json_decref(object);
}

void
jr_entry_request_loan(void *user, int peer, const char *service, int slots)
{
    jr_entry_t *entry = user;
    Jr__LoanAsk ask = JR__LOAN_ASK__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    ask.service = (char *)service;
    ask.asked_at_us = jr_clock_us();
    ask.slots = (uint32_t)slots;
    envelope.body_case = JR__ENVELOPE__BODY_LOAN_ASK;
    envelope.loan_ask = &ask;
    jr_bus_send(entry->bus, entry->peers[peer].bus_peer, &envelope);
}

void
jr_entry_on_loan_ask(jr_entry_t *entry, const jr_route_t *route,
                     const Jr__LoanAsk *ask)
{
    Jr__LoanGive give = JR__LOAN_GIVE__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;
    jr_upstream_t *upstream;
    int lent = jr_relay_lend(entry->relay, ask->service,
                             (int)MIN(ask->slots, (uint32_t)JR_SLOTS_MAX),
                             &upstream, jr_clock_us());

    if (lent <= 0) {
        return;
    }
    give.upstream = upstream->name;
    give.asked_at_us = ask->asked_at_us;
    give.slots = (uint32_t)lent;
    envelope.body_case = JR__ENVELOPE__BODY_LOAN_GIVE;
    envelope.loan_give = &give;
    jr_bus_reply(entry->bus, route, &envelope);
}

void
jr_entry_on_loan_give(jr_entry_t *entry, const Jr__LoanGive *give)
{
    jr_relay_borrow(entry->relay, give->upstream, (int)give->slots,
                    give->asked_at_us, jr_clock_us());
}
