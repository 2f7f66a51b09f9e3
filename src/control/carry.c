/*
 * Carriers: as the leader of the job group, this process gives orders to other
 * control processes, which send them to the workers; for another leader it
 * sends orders itself, in the order of their arrival and a bounded part of
 * each iteration of the loop. See carrier.h.
 */
#include <glib.h>
#include <string.h>

#include "control.h"

enum {
    /*
     * Of one iteration of the loop, spent on orders: consensus messages wait
     * for its end, and a leader whose followers are late is deposed.
     */
    ORDERS_TURN_MS = 10,
    CLOCK_EVERY = 16, /* orders between two looks at the clock */
    PING_MS = 150,    /* carriers are asked for a receipt so often */
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

/* An order of another leader that waits for its turn to be sent. */
typedef struct queued_order {
    STAILQ_ENTRY(queued_order) link;
    jr_carry_session_t *session;
    int64_t heard_ms; /* see jr_carried_is_stale() */
    int64_t queued_at;
    Jr__Order *message;
    jr_order_t order; /* borrows from the message */
} queued_order_t;

/* Packed Orders for each carrier, to be sent in one message. */
typedef struct {
    GPtrArray *orders[JR_CARRIERS_MAX];
} batches_t;

struct jr_carry {
    jr_control_t *control;
    jr_carriers_t *carriers;
    uint64_t session; /* tells answers to this process from others */
    int64_t pinged_at;
    jr_carry_book_t *book;
    TAILQ_HEAD(, jr_carry_session) sessions;
    STAILQ_HEAD(, queued_order) queued; /* oldest first */
    size_t n_carried;                   /* queued, or sent and not answered */
};

static void
on_outcome(void *user, uint64_t serial, const jr_answer_t *answer, int64_t now)
{
    jr_control_t *control = user;

    jr_group_answer(control->groups[0], serial, answer, now);
}

jr_carry_t *
jr_new_carry(jr_control_t *control)
{
    jr_carry_t *carry = jr_alloc(control->ctx, sizeof *carry);

    carry->control = control;
    carry->carriers = jr_new_carriers(control->ctx, control->settings.zone);
    carry->session = (uint64_t)g_random_int() << 32 | g_random_int();
    carry->book = jr_new_carry_book(control->ctx, carry->carriers,
                                    carry->session, on_outcome, control);
    TAILQ_INIT(&carry->sessions);
    STAILQ_INIT(&carry->queued);
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
drop_queued(jr_carry_t *carry, queued_order_t *queued)
{
    STAILQ_REMOVE_HEAD(&carry->queued, link);
    jr__order__free_unpacked(queued->message, NULL);
    jr_free(carry->control->ctx, queued);
}

void
jr_drop_carry(jr_carry_t *carry)
{
    jr_carry_session_t *session;
    queued_order_t *queued;

    if (carry == NULL) {
        return;
    }
    while ((queued = STAILQ_FIRST(&carry->queued)) != NULL) {
        drop_queued(carry, queued);
    }
    while ((session = TAILQ_FIRST(&carry->sessions)) != NULL) {
        drop_session(carry, session);
    }
    jr_drop_carry_book(carry->book);
    jr_drop_carriers(carry->carriers);
    jr_free(carry->control->ctx, carry);
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
    jr_carry_book_expire(carry->book, now);
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
    jr_carry_book_add(carry->book, order, carrier, now);
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

void
jr_carry_on_answers(jr_carry_t *carry, const Jr__AnswerBatch *batch)
{
    jr_carry_book_receive(carry->book, batch, jr_clock_ms());
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
refuse_by(jr_carry_session_t *session, uint64_t serial,
          jr_carry_verdict_t verdict)
{
    refuse_order(session, serial,
                 verdict == JR_CARRY_STALE ? JR_C_CARRY_STALE
                                           : JR_C_CARRY_REFUSED);
}

static void
queue_order(jr_carry_t *carry, jr_carry_session_t *session,
            const ProtobufCBinaryData *packed, int64_t heard_ms)
{
    jr_ctx_t *ctx = carry->control->ctx;
    queued_order_t *queued = jr_alloc(ctx, sizeof *queued);
    int64_t now = jr_clock_ms();
    jr_carry_verdict_t verdict = jr_carry_judge(
        carry->n_carried, carry->control->is_draining, heard_ms, now);

    queued->session = session;
    queued->heard_ms = heard_ms;
    queued->queued_at = now;
    queued->message = jr_carry_read(ctx, packed, &queued->order);
    if (queued->message == NULL) {
        jr_free(ctx, queued);
        return;
    }
    if (verdict != JR_CARRY_SEND) {
        refuse_by(session, queued->order.serial, verdict);
        jr__order__free_unpacked(queued->message, NULL);
        jr_free(ctx, queued);
        return;
    }
    STAILQ_INSERT_TAIL(&carry->queued, queued, link);
    session->n_open++;
    carry->n_carried++;
}

/*
 * It may have become stale in the queue, or so late that the leader is about
 * to give it up, and to order the same anew.
 */
static void
send_queued(jr_carry_t *carry, queued_order_t *queued, int64_t now)
{
    jr_carry_session_t *session = queued->session;
    jr_carry_verdict_t verdict =
        jr_carry_judge(carry->n_carried - 1, carry->control->is_draining,
                       queued->heard_ms, now);

    if (verdict == JR_CARRY_SEND &&
        now - queued->queued_at >= queued->order.timeout_ms) {
        verdict = JR_CARRY_STALE;
    }
    if (verdict == JR_CARRY_SEND) {
        jr_observe(carry->control->ctx, JR_H_CARRY_QUEUED,
                   now - queued->queued_at);
        jr_count(carry->control->ctx, JR_C_ORDERS_CARRIED);
        jr_control_send_order(carry->control, &queued->order, session);
    }
    else {
        session->n_open--;
        carry->n_carried--;
        refuse_by(session, queued->order.serial, verdict);
    }
    drop_queued(carry, queued);
}

void
jr_carry_send_queued(jr_carry_t *carry)
{
    int64_t now = jr_clock_ms();
    int64_t end = now + ORDERS_TURN_MS;
    queued_order_t *queued;

    for (int i = 1;
         now < end && (queued = STAILQ_FIRST(&carry->queued)) != NULL; i++) {
        send_queued(carry, queued, now);
        if (i % CLOCK_EVERY == 0) {
            now = jr_clock_ms();
        }
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
        queue_order(carry, session, &batch->orders[i], batch->heard_ms);
    }
    /* A process that shuts down gives no receipts, so it gets no orders. */
    if (batch->n_orders == 0 && !carry->control->is_draining) {
        send_answers(session);
    }
}
