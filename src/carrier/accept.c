/* What a carrier does with an order that comes from a leader. */
#include "jayrelay/carrier.h"

enum {
    /*
     * From a receipt to the sending of an order that the leader gave after it.
     * Far more than a receipt every 150 ms and the time after which a carrier
     * counts as silent need, and far less than the time after which the
     * dispatcher expects no late order.
     */
    STALE_MS = 2000,
    OPEN_MAX = 4096, /* orders of others that are open in this process */
};

/* After a restart of its host, a carrier's clock may be behind. */
bool
jr_carried_is_stale(int64_t heard_ms, int64_t clock_ms)
{
    return heard_ms != 0 &&
           (heard_ms > clock_ms || clock_ms - heard_ms > STALE_MS);
}

jr_carry_verdict_t
jr_carry_judge(size_t n_open, bool is_draining, int64_t heard_ms,
               int64_t clock_ms)
{
    if (n_open >= OPEN_MAX || is_draining) {
        return JR_CARRY_REFUSE;
    }
    return jr_carried_is_stale(heard_ms, clock_ms) ? JR_CARRY_STALE
                                                   : JR_CARRY_SEND;
}

Jr__Order *
jr_carry_read(jr_ctx_t *ctx, const ProtobufCBinaryData *packed, jr_order_t *to)
{
    Jr__Order *message = jr__order__unpack(NULL, packed->len, packed->data);

    if (message != NULL && jr_order_unpack(ctx, message, to) == JR_OK) {
        return message;
    }
    jr_count(ctx, JR_C_BUS_BAD);
    jr_log(ctx, JR_EV_BAD_MESSAGE, "order of %zu bytes dropped: %s",
           packed->len,
           message != NULL ? ctx->error.text : "it can't be unpacked");
    if (message != NULL) {
        jr__order__free_unpacked(message, NULL);
    }
    return NULL;
}
