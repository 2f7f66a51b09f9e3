/*
 * Carriers: as the leader of the job group, this process gives orders to other
 * control processes, which send them to the workers; for another leader it
 * sends orders itself. See carrier.h.
 */
#include <glib.h>
#include <string.h>

#include "control.h"

enum {
    ORDERS_TURN_MS = 10, /* of one iteration of the loop, spent on orders */
    CLOCK_EVERY = 16,    /* orders between two looks at the clock */
    PING_MS = 150,       /* carriers are asked for a receipt so often */
    CARRIED_MAX = 4096,  /* orders of others that are open in this process */
    CROSSING_MS = 400,   /* to a carrier and back, beside the order itself */
    SESSION_IDLE_MS = 10000,
    /* Between two messages with answers: each one costs the leader time. */
    FLUSH_GAP_MS = 4,
};

/* A leader that uses this process as a carrier. */
struct jr_carry_session {
    TAILQ_ENTRY(jr_carry_session) link;
    jr_control_t *control;
    uint64_t number; /* chosen by the leader's process */
    jr_route_t route;
    size_t n_open;
    int64_t used_at;
    int64_t flushed_at;
    GPtrArray *answers; /* of GBytes, packed OrderAnswers to send */
};

/* An order that a carrier of this leader has not answered. */
typedef struct jr_carried_order {
    TAILQ_ENTRY(jr_carried_order) link;
    UT_hash_handle hh;
    uint64_t serial;
    int carrier;
    char *worker;
    int64_t deadline;
} jr_carried_order_t;

/* Packed Orders for each carrier, to be sent in one message. */
typedef struct {
    GPtrArray *orders[JR_CARRIERS_MAX];
} batches_t;

struct jr_carry {
    jr_control_t *control;
    jr_carriers_t *carriers;
    uint64_t session; /* tells answers to this process from others */
    int64_t pinged_at;
    TAILQ_HEAD(, jr_carried_order) open; /* oldest first */
    jr_carried_order_t *by_serial;
    TAILQ_HEAD(, jr_carry_session) sessions;
    size_t n_carried;
};

jr_carry_t *
jr_new_carry(jr_control_t *control)
{
    jr_carry_t *carry = jr_alloc(control->ctx, sizeof *carry);

    carry->control = control;
    carry->carriers = jr_new_carriers(control->ctx, control->settings.zone);
    carry->session = (uint64_t)g_random_int() << 32 | g_random_int();
    TAILQ_INIT(&carry->open);
    TAILQ_INIT(&carry->sessions);
    return carry;
}

static void
drop_session(jr_carry_t *carry, jr_carry_session_t *session)
{
    TAILQ_REMOVE(&carry->sessions, session, link);
    g_ptr_array_unref(session->answers);
    jr_free(carry->control->ctx, session);
}

static void
drop_carried(jr_carry_t *carry, jr_carried_order_t *order)
{
    TAILQ_REMOVE(&carry->open, order, link);
    HASH_DEL(carry->by_serial, order);
    jr_free(carry->control->ctx, order->worker);
    jr_free(carry->control->ctx, order);
}

void
jr_drop_carry(jr_carry_t *carry)
{
    jr_carry_session_t *session;
    jr_carried_order_t *order;

    if (carry == NULL) {
        return;
    }
    while ((order = TAILQ_FIRST(&carry->open)) != NULL) {
        drop_carried(carry, order);
    }
    while ((session = TAILQ_FIRST(&carry->sessions)) != NULL) {
        drop_session(carry, session);
    }
    jr_drop_carriers(carry->carriers);
    jr_free(carry->control->ctx, carry);
}

/* The outcome is unknown: the order may have been sent, or may be yet. */
static void
give_up(jr_carry_t *carry, jr_carried_order_t *order, int64_t now)
{
    jr_answer_t unknown = {.kind = JR_ANSWER_UNKNOWN};
    uint64_t serial = order->serial;

    jr_count(carry->control->ctx, JR_C_CARRY_EXPIRED);
    jr_carriers_failed(carry->carriers, order->carrier, order->worker, now);
    drop_carried(carry, order);
    jr_group_answer(carry->control->groups[0], serial, &unknown, now);
}

static void
expire_carried(jr_carry_t *carry, int64_t now)
{
    jr_carried_order_t *order, *next;

    for (order = TAILQ_FIRST(&carry->open); order != NULL; order = next) {
        next = TAILQ_NEXT(order, link);
        if (now >= order->deadline ||
            !jr_carriers_is_answering(carry->carriers, order->carrier, now)) {
            give_up(carry, order, now);
        }
    }
}

static void
ping_carriers(jr_carry_t *carry)
{
    jr_control_t *control = carry->control;
    const jr_config_t *members =
        jr_quorum_config(jr_group_quorum(control->groups[0]));
    Jr__OrderBatch batch = JR__ORDER_BATCH__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    batch.session = carry->session;
    envelope.body_case = JR__ENVELOPE__BODY_ORDER_BATCH;
    envelope.order_batch = &batch;
    for (size_t i = 0; i < members->n; i++) {
        if (members->members[i].id != control->replica_id) {
            jr_bus_send(control->bus,
                        jr_control_find_peer(control, &members->members[i]),
                        &envelope);
        }
    }
}

static void
drop_idle_sessions(jr_carry_t *carry, int64_t now)
{
    jr_carry_session_t *session, *next;

    for (session = TAILQ_FIRST(&carry->sessions); session != NULL;
         session = next) {
        next = TAILQ_NEXT(session, link);
        if (session->n_open == 0 && now - session->used_at > SESSION_IDLE_MS) {
            drop_session(carry, session);
        }
    }
}

void
jr_carry_tick(jr_carry_t *carry, int64_t now)
{
    jr_quorum_t *quorum = jr_group_quorum(carry->control->groups[0]);

    jr_carriers_tick(carry->carriers, now);
    expire_carried(carry, now);
    drop_idle_sessions(carry, now);
    if (jr_quorum_role(quorum) == JR_LEADER &&
        now - carry->pinged_at >= PING_MS) {
        carry->pinged_at = now;
        ping_carriers(carry);
    }
}

static void
add_to_batch(jr_carry_t *carry, batches_t *batches, const jr_order_t *order,
             int carrier, int64_t now)
{
    jr_ctx_t *ctx = carry->control->ctx;
    jr_carried_order_t *open = jr_alloc(ctx, sizeof *open);
    Jr__Order message;
    uint8_t *bytes;
    size_t len;

    jr_order_pack(order, &message);
    len = jr__order__get_packed_size(&message);
    bytes = g_malloc(len);
    jr__order__pack(&message, bytes);
    if (batches->orders[carrier] == NULL) {
        batches->orders[carrier] =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    }
    g_ptr_array_add(batches->orders[carrier], g_bytes_new_take(bytes, len));
    open->serial = order->serial;
    open->carrier = carrier;
    open->worker = jr_strdup(ctx, order->worker);
    open->deadline = now + order->timeout_ms + CROSSING_MS;
    TAILQ_INSERT_TAIL(&carry->open, open, link);
    HASH_ADD(hh, carry->by_serial, serial, sizeof open->serial, open);
}

/* Borrows the contents of packed messages. */
static ProtobufCBinaryData *
borrow_all(jr_ctx_t *ctx, const GPtrArray *packed)
{
    ProtobufCBinaryData *data =
        jr_alloc(ctx, (packed->len + 1) * sizeof *data);

    for (guint i = 0; i < packed->len; i++) {
        gsize len;

        data[i].data =
            (uint8_t *)g_bytes_get_data(g_ptr_array_index(packed, i), &len);
        data[i].len = len;
    }
    return data;
}

static void
send_batch(jr_carry_t *carry, int carrier, GPtrArray *orders)
{
    jr_control_t *control = carry->control;
    int peer = jr_bus_find_or_connect(
        control->bus, jr_carriers_name(carry->carriers, carrier));
    Jr__OrderBatch batch = JR__ORDER_BATCH__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    batch.session = carry->session;
    batch.heard_ms = jr_carriers_clock(carry->carriers, carrier);
    batch.n_orders = orders->len;
    batch.orders = borrow_all(control->ctx, orders);
    envelope.body_case = JR__ENVELOPE__BODY_ORDER_BATCH;
    envelope.order_batch = &batch;
    /* If it is dropped, its orders expire. */
    jr_bus_send(control->bus, peer, &envelope);
    jr_free(control->ctx, batch.orders);
    g_ptr_array_unref(orders);
}

void
jr_control_send_orders(jr_control_t *control)
{
    jr_carry_t *carry = control->carry;
    jr_jobs_t *jobs = jr_group_jobs(control->groups[0]);
    size_t n_workers = HASH_COUNT(jobs->workers);
    int64_t now = jr_clock_ms(); /* the log sync may have taken long */
    int64_t end = now + ORDERS_TURN_MS;
    batches_t batches = {0};
    jr_order_t order;

    for (int i = 1;
         now < end && jr_group_take_order(control->groups[0], now, &order);
         i++) {
        int carrier = jr_carriers_choose(carry->carriers, order.worker,
                                         order.zone, n_workers, now);

        if (carrier == JR_CARRIER_SELF) {
            jr_control_send_order(control, &order, NULL);
        }
        else {
            add_to_batch(carry, &batches, &order, carrier, now);
        }
        if (i % CLOCK_EVERY == 0) {
            now = jr_clock_ms();
        }
    }
    for (int i = 0; i < JR_CARRIERS_MAX; i++) {
        if (batches.orders[i] != NULL) {
            send_batch(carry, i, batches.orders[i]);
        }
    }
}

static void
take_answer(jr_carry_t *carry, const ProtobufCBinaryData *packed, int64_t now)
{
    jr_ctx_t *ctx = carry->control->ctx;
    Jr__OrderAnswer *message =
        jr__order_answer__unpack(NULL, packed->len, packed->data);
    jr_carried_order_t *order = NULL;
    jr_answer_rows_t rows;
    jr_answer_t answer;

    if (message == NULL) {
        jr_count(ctx, JR_C_BUS_BAD);
        jr_log(ctx, JR_EV_BAD_MESSAGE,
               "answer of %zu bytes to an order can't be unpacked",
               packed->len);
        return;
    }
    HASH_FIND(hh, carry->by_serial, &message->serial, sizeof message->serial,
              order);
    if (order != NULL) {
        if (jr_answer_unpack(ctx, message, &answer, &rows) != JR_OK) {
            jr_count(ctx, JR_C_BUS_BAD);
            jr_log(ctx, JR_EV_BAD_MESSAGE, "%s", ctx->error.text);
        }
        if (answer.kind == JR_ANSWER_UNREACHED && !answer.is_refused) {
            jr_carriers_failed(carry->carriers, order->carrier, order->worker,
                               now);
        }
        drop_carried(carry, order);
        jr_group_answer(carry->control->groups[0], message->serial, &answer,
                        now);
        jr_answer_rows_clear(ctx, &rows);
    }
    jr__order_answer__free_unpacked(message, NULL);
}

void
jr_carry_on_answers(jr_carry_t *carry, const Jr__AnswerBatch *batch)
{
    int64_t now = jr_clock_ms();

    if (batch->session != carry->session) {
        return; /* for an earlier process at this address */
    }
    jr_carriers_heard(carry->carriers, batch->name, batch->zone,
                      batch->clock_ms, now);
    for (size_t i = 0; i < batch->n_answers; i++) {
        take_answer(carry, &batch->answers[i], now);
    }
}

size_t
jr_carry_n_answering(const jr_carry_t *carry, int64_t now)
{
    return jr_carriers_count(carry->carriers, now);
}

static jr_carry_session_t *
get_session(jr_carry_t *carry, uint64_t number)
{
    jr_carry_session_t *session;

    TAILQ_FOREACH (session, &carry->sessions, link) {
        if (session->number == number) {
            return session;
        }
    }
    session = jr_alloc(carry->control->ctx, sizeof *session);
    session->control = carry->control;
    session->number = number;
    session->answers =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    TAILQ_INSERT_TAIL(&carry->sessions, session, link);
    return session;
}

static void
send_answers(jr_carry_session_t *session)
{
    jr_control_t *control = session->control;
    Jr__AnswerBatch batch = JR__ANSWER_BATCH__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    batch.session = session->number;
    batch.name = control->settings.name;
    batch.zone = control->settings.zone;
    batch.clock_ms = jr_clock_ms();
    batch.n_answers = session->answers->len;
    batch.answers = borrow_all(control->ctx, session->answers);
    envelope.body_case = JR__ENVELOPE__BODY_ANSWER_BATCH;
    envelope.answer_batch = &batch;
    jr_bus_reply(control->bus, &session->route, &envelope);
    jr_free(control->ctx, batch.answers);
    g_ptr_array_set_size(session->answers, 0);
    session->flushed_at = jr_clock_ms();
}

void
jr_carry_flush(jr_carry_t *carry)
{
    jr_carry_session_t *session;
    int64_t now = jr_clock_ms();

    TAILQ_FOREACH (session, &carry->sessions, link) {
        if (session->answers->len > 0 &&
            now - session->flushed_at >= FLUSH_GAP_MS) {
            send_answers(session);
        }
    }
}

static void
queue_answer(jr_carry_session_t *session, uint64_t serial,
             const jr_answer_t *answer)
{
    jr_ctx_t *ctx = session->control->ctx;
    size_t len;
    uint8_t *bytes = jr_answer_pack(ctx, serial, answer, &len);

    g_ptr_array_add(session->answers, g_bytes_new(bytes, len));
    jr_free(ctx, bytes);
}

void
jr_control_carry_answer(jr_carry_session_t *session, uint64_t serial,
                        const jr_answer_t *answer)
{
    session->n_open--;
    session->control->carry->n_carried--;
    queue_answer(session, serial, answer);
}

static void
refuse_order(jr_carry_session_t *session, uint64_t serial,
             jr_counter_t counter)
{
    jr_answer_t unreached = {.kind = JR_ANSWER_UNREACHED};

    jr_count(session->control->ctx, counter);
    queue_answer(session, serial, &unreached);
}

static void
carry_order(jr_carry_t *carry, jr_carry_session_t *session,
            const ProtobufCBinaryData *packed, int64_t heard_ms)
{
    jr_ctx_t *ctx = carry->control->ctx;
    Jr__Order *message = jr__order__unpack(NULL, packed->len, packed->data);
    jr_order_t order;

    if (message == NULL || jr_order_unpack(ctx, message, &order) != JR_OK) {
        jr_count(ctx, JR_C_BUS_BAD);
        jr_log(ctx, JR_EV_BAD_MESSAGE, "order of %zu bytes dropped: %s",
               packed->len,
               message != NULL ? ctx->error.text : "it can't be unpacked");
    }
    else if (carry->n_carried >= CARRIED_MAX || carry->control->is_draining) {
        refuse_order(session, order.serial, JR_C_CARRY_REFUSED);
    }
    else if (jr_carried_is_stale(heard_ms, jr_clock_ms())) {
        refuse_order(session, order.serial, JR_C_CARRY_STALE);
    }
    else {
        jr_count(ctx, JR_C_ORDERS_CARRIED);
        session->n_open++;
        carry->n_carried++;
        jr_control_send_order(carry->control, &order, session);
    }
    if (message != NULL) {
        jr__order__free_unpacked(message, NULL);
    }
}

void
jr_carry_on_orders(jr_carry_t *carry, const jr_route_t *route,
                   const Jr__OrderBatch *batch)
{
    jr_carry_session_t *session = get_session(carry, batch->session);

    session->route = *route;
    session->used_at = jr_clock_ms();
    for (size_t i = 0; i < batch->n_orders; i++) {
        carry_order(carry, session, &batch->orders[i], batch->heard_ms);
    }
    /* A process that shuts down gives no receipts, so it gets no orders. */
    if (batch->n_orders == 0 && !carry->control->is_draining) {
        send_answers(session);
    }
}
