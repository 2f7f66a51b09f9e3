/* The book of a leader: orders that its carriers have not answered. */
#include <glib.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

#include "arena.h"
#include "jayrelay/carrier.h"

enum {
    CROSSING_MS = 400, /* to a carrier and back, beside the order itself */
};

typedef struct open_order {
    TAILQ_ENTRY(open_order) link;
    UT_hash_handle hh;
    uint64_t serial;
    int carrier;
    int64_t deadline; /* in time of listening to carriers */
    char worker[];
} open_order_t;

struct jr_carry_book {
    jr_ctx_t *ctx;
    jr_carriers_t *carriers;
    uint64_t session;
    jr_carry_handler_t *handler;
    void *user;
    jr_arena_t *arena;             /* of the answer that is being read */
    TAILQ_HEAD(, open_order) open; /* oldest first */
    open_order_t *by_serial;
    size_t n_open[JR_CARRIERS_MAX]; /* by carrier */
    int64_t next_deadline;          /* none of the open ones is earlier */
};

jr_carry_book_t *
jr_new_carry_book(jr_ctx_t *ctx, jr_carriers_t *carriers, uint64_t session,
                  jr_carry_handler_t *handler, void *user)
{
    jr_carry_book_t *book = jr_alloc(ctx, sizeof *book);

    book->ctx = ctx;
    book->carriers = carriers;
    book->session = session;
    book->handler = handler;
    book->user = user;
    book->arena = jr_new_arena(ctx);
    book->next_deadline = INT64_MAX;
    TAILQ_INIT(&book->open);
    return book;
}

static void
drop_open(jr_carry_book_t *book, open_order_t *order)
{
    TAILQ_REMOVE(&book->open, order, link);
    HASH_DEL(book->by_serial, order);
    book->n_open[order->carrier]--;
    jr_free(book->ctx, order);
}

void
jr_drop_carry_book(jr_carry_book_t *book)
{
    open_order_t *order;

    if (book == NULL) {
        return;
    }
    while ((order = TAILQ_FIRST(&book->open)) != NULL) {
        drop_open(book, order);
    }
    jr_drop_arena(book->arena);
    jr_free(book->ctx, book);
}

void
jr_carry_book_add(jr_carry_book_t *book, const jr_order_t *order, int carrier,
                  int64_t now)
{
    size_t name_bytes = strlen(order->worker) + 1;
    open_order_t *open = jr_alloc(book->ctx, sizeof *open + name_bytes);

    open->serial = order->serial;
    open->carrier = carrier;
    memcpy(open->worker, order->worker, name_bytes);
    open->deadline = jr_carriers_listened(book->carriers, now) +
                     order->timeout_ms + CROSSING_MS;
    TAILQ_INSERT_TAIL(&book->open, open, link);
    HASH_ADD(hh, book->by_serial, serial, sizeof open->serial, open);
    book->n_open[carrier]++;
    book->next_deadline = MIN(book->next_deadline, open->deadline);
}

static void
give_up(jr_carry_book_t *book, open_order_t *order, int64_t now)
{
    jr_answer_t unknown = {.kind = JR_ANSWER_UNKNOWN};
    uint64_t serial = order->serial;

    jr_count(book->ctx, JR_C_CARRY_EXPIRED);
    jr_carriers_failed(book->carriers, order->carrier, order->worker, now);
    drop_open(book, order);
    book->handler(book->user, serial, &unknown, now);
}

static bool
has_silent_carrier(const jr_carry_book_t *book, int64_t now)
{
    for (int i = 0; i < JR_CARRIERS_MAX; i++) {
        if (book->n_open[i] > 0 &&
            !jr_carriers_is_answering(book->carriers, i, now)) {
            return true;
        }
    }
    return false;
}

/* Most calls find nothing: the open orders are not looked through for that. */
void
jr_carry_book_expire(jr_carry_book_t *book, int64_t now)
{
    int64_t listened_ms = jr_carriers_listened(book->carriers, now);
    open_order_t *order, *next;

    if (listened_ms < book->next_deadline && !has_silent_carrier(book, now)) {
        return;
    }
    book->next_deadline = INT64_MAX;
    for (order = TAILQ_FIRST(&book->open); order != NULL; order = next) {
        next = TAILQ_NEXT(order, link);
        if (listened_ms >= order->deadline ||
            !jr_carriers_is_answering(book->carriers, order->carrier, now)) {
            give_up(book, order, now);
        }
        else {
            book->next_deadline = MIN(book->next_deadline, order->deadline);
        }
    }
}

/* An answer to an open order. */
static void
close_order(jr_carry_book_t *book, open_order_t *order,
            const Jr__OrderAnswer *message, int64_t now)
{
    jr_answer_rows_t rows;
    jr_answer_t answer;

    if (jr_answer_unpack(book->ctx, message, &answer, &rows) != JR_OK) {
        jr_count(book->ctx, JR_C_BUS_BAD);
        jr_log(book->ctx, JR_EV_BAD_MESSAGE, "%s", book->ctx->error.text);
    }
    if (answer.kind == JR_ANSWER_UNREACHED && !answer.is_refused) {
        jr_carriers_failed(book->carriers, order->carrier, order->worker, now);
    }
    drop_open(book, order);
    book->handler(book->user, message->serial, &answer, now);
    jr_answer_rows_clear(book->ctx, &rows);
}

/* An order that is open with this carrier; late answers have none. */
static open_order_t *
find_open(jr_carry_book_t *book, uint64_t serial, int carrier)
{
    open_order_t *order;

    HASH_FIND(hh, book->by_serial, &serial, sizeof serial, order);
    if (order != NULL && order->carrier != carrier) {
        jr_count(book->ctx, JR_C_BUS_BAD);
        jr_log(book->ctx, JR_EV_BAD_MESSAGE,
               "answer to order %llu is from a carrier that was not given it",
               (unsigned long long)serial);
        return NULL;
    }
    return order;
}

static void
take_answer(jr_carry_book_t *book, int carrier,
            const ProtobufCBinaryData *packed, int64_t now)
{
    Jr__OrderAnswer *message;
    open_order_t *order;

    jr_arena_reset(book->arena);
    message = jr__order_answer__unpack(jr_arena_allocator(book->arena),
                                       packed->len, packed->data);
    if (message == NULL) {
        jr_count(book->ctx, JR_C_BUS_BAD);
        jr_log(book->ctx, JR_EV_BAD_MESSAGE,
               "answer of %zu bytes to an order can't be unpacked",
               packed->len);
        return;
    }
    order = find_open(book, message->serial, carrier);
    if (order != NULL) {
        close_order(book, order, message, now);
    }
}

void
jr_carry_book_receive(jr_carry_book_t *book, const Jr__AnswerBatch *batch,
                      int64_t now)
{
    int carrier;

    if (batch->session != book->session) {
        return; /* for an earlier process at this address */
    }
    jr_carriers_heard(book->carriers, batch->name, batch->zone,
                      batch->clock_ms, now);
    carrier = jr_carriers_find(book->carriers, batch->name);
    for (size_t i = 0; i < batch->n_answers; i++) {
        take_answer(book, carrier, &batch->answers[i], now);
    }
}
