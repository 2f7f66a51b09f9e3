/**
 * DOC: carrier - which control process sends an order to a worker
 *
 * The leader of a job group decides alone. Connections to workers, and the
 * encoding of orders and answers, take most of its processor time, so the
 * other control processes do that for it: they are its carriers. A carrier
 * keeps nothing but orders that wait to be sent, and decides nothing. It sends
 * an order once, unchanged, with the fencing token and the lease end that the
 * leader set, and passes the answer back; so an order that a carrier delays is
 * an order that the network delayed, and two carriers never compete for a
 * worker.
 *
 * That holds for a bounded time. Each receipt of a carrier has the time of its
 * clock, which the leader returns with the orders. A carrier that was paused,
 * or gets them late, finds them stale by its own clock, and does not send
 * them.
 *
 * A worker is served by a carrier in its availability zone if there is one.
 * A carrier that does not answer the leader gets no orders; a worker that a
 * carrier can't reach gets its next orders from another one.
 *
 * This module reads no clock and opens no socket. Times are in milliseconds of
 * a monotonic clock.
 */
#ifndef JAYRELAY_CARRIER_H
#define JAYRELAY_CARRIER_H

#include "jayrelay/dispatch.h"
#include "jayrelay/quorum.h"
#include "net/wire.pb-c.h"

enum {
    JR_CARRIER_SELF = -1, /* the leader sends the order itself */
    JR_CARRIERS_MAX = 32,
};

typedef struct jr_carriers jr_carriers_t;

/** jr_new_carriers - no carriers yet; @zone is that of the leader, copied */
jr_carriers_t *jr_new_carriers(jr_ctx_t *ctx, const char *zone);

/** jr_drop_carriers - free; NULL is accepted */
void jr_drop_carriers(jr_carriers_t *carriers);

/**
 * jr_carriers_heard - a carrier answered the leader; an unknown one is added
 * @clock_ms: the time of its clock when it did
 *
 * Further ones than JR_CARRIERS_MAX are ignored.
 */
void jr_carriers_heard(jr_carriers_t *carriers, const char *name,
                       const char *zone, int64_t clock_ms, int64_t now);

/** jr_carriers_clock - time of a carrier's clock in its latest answer */
int64_t jr_carriers_clock(const jr_carriers_t *carriers, int carrier);

/**
 * jr_carried_is_stale - were these orders on the way for too long?
 * @heard_ms: as the leader returned it; 0 from earlier versions, never stale
 * @clock_ms: the clock of the carrier now
 */
bool jr_carried_is_stale(int64_t heard_ms, int64_t clock_ms);

/**
 * jr_carriers_choose - choose a carrier for an order
 * @n_workers: of the leader, who serves its own zone while they are few
 *
 * Return: the number of the carrier, or JR_CARRIER_SELF.
 */
int jr_carriers_choose(jr_carriers_t *carriers, const char *worker,
                       const char *zone, size_t n_workers, int64_t now);

/** jr_carriers_failed - a carrier did not reach a worker */
void jr_carriers_failed(jr_carriers_t *carriers, int carrier,
                        const char *worker, int64_t now);

/**
 * jr_carriers_listened - milliseconds in which answers could be noticed
 *
 * Time as far as the leader can judge its carriers by it: of a long turn of
 * its own only the first part counts. It rises with each turn.
 */
int64_t jr_carriers_listened(const jr_carriers_t *carriers, int64_t now);

/**
 * jr_carriers_tick - a turn of the leader; forget failures that are long past
 *
 * To be called in each turn: see jr_carriers_listened().
 */
void jr_carriers_tick(jr_carriers_t *carriers, int64_t now);

/** jr_carriers_find - number of a carrier, JR_CARRIER_SELF if unknown */
int jr_carriers_find(const jr_carriers_t *carriers, const char *name);

/** jr_carriers_name - name of a carrier's process; borrowed */
const char *jr_carriers_name(const jr_carriers_t *carriers, int carrier);

/** jr_carriers_is_answering - false once a carrier has been silent for long */
bool jr_carriers_is_answering(const jr_carriers_t *carriers, int carrier,
                              int64_t now);

/** jr_carriers_count - carriers that answer the leader */
size_t jr_carriers_count(const jr_carriers_t *carriers, int64_t now);

/** enum jr_carry_verdict_t - what a carrier does with an order */
typedef enum {
    JR_CARRY_SEND,
    JR_CARRY_REFUSE, /* it has too many, or shuts down */
    JR_CARRY_STALE,  /* the order was on the way for too long */
} jr_carry_verdict_t;

/**
 * jr_carry_judge - does a carrier send an order?
 * @n_open: orders that it sent, and that are not answered
 * @heard_ms: see jr_carried_is_stale()
 * @clock_ms: see jr_carried_is_stale()
 *
 * An order that is not sent is answered as JR_ANSWER_UNREACHED.
 */
jr_carry_verdict_t jr_carry_judge(size_t n_open, bool is_draining,
                                  int64_t heard_ms, int64_t clock_ms);

/**
 * jr_carry_read - read a packed order; @to borrows its texts
 *
 * Return: the message, owned by the caller, or NULL for an order that can't be
 * read, which is counted and logged. It gets no answer.
 */
Jr__Order *jr_carry_read(jr_ctx_t *ctx, const ProtobufCBinaryData *packed,
                         jr_order_t *to);

/** typedef jr_carry_handler_t - the outcome of an order; all is borrowed */
typedef void jr_carry_handler_t(void *user, uint64_t serial,
                                const jr_answer_t *answer, int64_t now);

/** struct jr_carry_book_t - orders that carriers of a leader have not answered
 */
typedef struct jr_carry_book jr_carry_book_t;

/**
 * jr_new_carry_book - an empty book
 * @carriers: borrowed
 * @session: of this process; tells answers to it from others
 * @handler: called exactly once for each order in the book
 */
jr_carry_book_t *jr_new_carry_book(jr_ctx_t *ctx, jr_carriers_t *carriers,
                                   uint64_t session,
                                   jr_carry_handler_t *handler, void *user);

/** jr_drop_carry_book - free, without outcomes; NULL is accepted */
void jr_drop_carry_book(jr_carry_book_t *book);

/** jr_carry_book_add - an order goes to a carrier */
void jr_carry_book_add(jr_carry_book_t *book, const jr_order_t *order,
                       int carrier, int64_t now);

/**
 * jr_carry_book_expire - give up on late answers and on silent carriers
 *
 * The outcome is unknown: the order may have been sent, or may be yet.
 */
void jr_carry_book_expire(jr_carry_book_t *book, int64_t now);

/**
 * jr_carry_book_receive - a carrier answered
 *
 * Batches of another session, and answers to orders that are not open, change
 * nothing. An answer from a carrier that was not given the order is counted as
 * a bad message.
 */
void jr_carry_book_receive(jr_carry_book_t *book, const Jr__AnswerBatch *batch,
                           int64_t now);

/** jr_order_pack - fill a message; it borrows the texts of @order */
void jr_order_pack(const jr_order_t *order, Jr__Order *to);

/**
 * jr_order_unpack - read a message; @to borrows its texts
 *
 * Return: JR_OK, or JR_BAD_REQUEST with the reason in the context.
 */
jr_result_t jr_order_unpack(jr_ctx_t *ctx, const Jr__Order *from,
                            jr_order_t *to);

/**
 * jr_answer_pack - make a message of an answer
 *
 * Return: a packed OrderAnswer, owned by the caller (jr_free()).
 */
uint8_t *jr_answer_pack(jr_ctx_t *ctx, uint64_t serial,
                        const jr_answer_t *answer, size_t *len);

/** struct jr_answer_rows_t - the lists that an answer refers to */
typedef struct {
    jr_running_t *running;
    jr_ended_t *ended;
} jr_answer_rows_t;

/**
 * jr_answer_unpack - read a message; @to borrows its texts
 * @rows: filled; freed with jr_answer_rows_clear(), also after an error
 *
 * A row that can't be read makes the whole answer one of unknown outcome, as a
 * run that is missing in a list counts as ended.
 * Return: JR_OK, or JR_BAD_REQUEST with the reason in the context.
 */
jr_result_t jr_answer_unpack(jr_ctx_t *ctx, const Jr__OrderAnswer *from,
                             jr_answer_t *to, jr_answer_rows_t *rows);

/** jr_answer_rows_clear - free the lists of an answer */
void jr_answer_rows_clear(jr_ctx_t *ctx, jr_answer_rows_t *rows);

#endif
