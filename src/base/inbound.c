/* Limits of the requests that a process receives. */
#include "jayrelay/inbound.h"

static bool
is_large(size_t bytes)
{
    return bytes > JR_INBOUND_SMALL_BYTES;
}

static bool
fits(const jr_inbound_t *inbound, size_t before, size_t bytes)
{
    size_t large = inbound->used_large - (is_large(before) ? before : 0);

    if (inbound->used - before + bytes > inbound->total) {
        return false;
    }
    return !is_large(bytes) ||
           large + bytes <=
               inbound->total - inbound->total / JR_INBOUND_SMALL_SHARE;
}

static void
set_bytes(jr_inbound_t *inbound, jr_charge_t *charge, size_t bytes)
{
    inbound->used_large -= is_large(charge->bytes) ? charge->bytes : 0;
    inbound->used_large += is_large(bytes) ? bytes : 0;
    inbound->used += bytes - charge->bytes;
    charge->bytes = bytes;
}

/* The incomplete body that is longest without progress. */
static jr_charge_t *
find_stalest(const jr_inbound_t *inbound, const jr_charge_t *but, bool large,
             unsigned ticks)
{
    jr_charge_t *charge;

    TAILQ_FOREACH (charge, &inbound->receiving, link) {
        if (charge != but && is_large(charge->bytes) == large) {
            return charge->stalled_ticks >= ticks ? charge : NULL;
        }
    }
    return NULL;
}

void
jr_inbound_init(jr_inbound_t *inbound, size_t total)
{
    *inbound = (jr_inbound_t){
        .total = total, .conns_max = total / JR_INBOUND_CONNECTION_BYTES};
    TAILQ_INIT(&inbound->receiving);
    TAILQ_INIT(&inbound->idle);
}

void
jr_inbound_limit(jr_inbound_t *inbound, size_t connections)
{
    if (connections < inbound->conns_max) {
        inbound->conns_max = connections;
    }
}

bool
jr_inbound_charge(jr_inbound_t *inbound, jr_charge_t *charge, size_t bytes)
{
    if (!fits(inbound, charge->bytes, bytes)) {
        return false;
    }
    if (charge->bytes == 0) {
        charge->is_receiving = true;
        charge->stalled_ticks = 0;
        TAILQ_INSERT_TAIL(&inbound->receiving, charge, link);
    }
    set_bytes(inbound, charge, bytes);
    return true;
}

void
jr_inbound_progress(jr_inbound_t *inbound, jr_charge_t *charge)
{
    if (charge->is_receiving) {
        charge->stalled_ticks = 0;
        TAILQ_REMOVE(&inbound->receiving, charge, link);
        TAILQ_INSERT_TAIL(&inbound->receiving, charge, link);
    }
}

void
jr_inbound_complete(jr_inbound_t *inbound, jr_charge_t *charge)
{
    if (charge->is_receiving) {
        charge->is_receiving = false;
        TAILQ_REMOVE(&inbound->receiving, charge, link);
    }
}

void
jr_inbound_release(jr_inbound_t *inbound, jr_charge_t *charge)
{
    jr_inbound_complete(inbound, charge);
    set_bytes(inbound, charge, 0);
}

void
jr_inbound_tick(jr_charge_t *charge)
{
    charge->stalled_ticks++;
}

jr_charge_t *
jr_inbound_stalest(const jr_inbound_t *inbound, const jr_charge_t *charge,
                   size_t bytes)
{
    jr_charge_t *stalest =
        find_stalest(inbound, charge, true, JR_INBOUND_STALLED_TICKS);

    if (stalest != NULL) {
        return stalest;
    }
    return find_stalest(inbound, charge, false,
                        is_large(bytes) ? JR_INBOUND_STALLED_TICKS : 0);
}

static void
set_idle(jr_inbound_t *inbound, jr_inbound_conn_t *conn, bool is_idle)
{
    if (conn->is_idle) {
        TAILQ_REMOVE(&inbound->idle, conn, link);
    }
    if (is_idle) {
        TAILQ_INSERT_TAIL(&inbound->idle, conn, link);
    }
    conn->is_idle = is_idle;
}

void
jr_inbound_enter(jr_inbound_t *inbound, jr_inbound_conn_t *conn)
{
    inbound->n_conns++;
    set_idle(inbound, conn, true);
}

void
jr_inbound_leave(jr_inbound_t *inbound, jr_inbound_conn_t *conn)
{
    if (!conn->is_ended) {
        inbound->n_conns--;
        set_idle(inbound, conn, false);
    }
}

void
jr_inbound_begin(jr_inbound_t *inbound, jr_inbound_conn_t *conn)
{
    set_idle(inbound, conn, false);
}

void
jr_inbound_rest(jr_inbound_t *inbound, jr_inbound_conn_t *conn)
{
    if (!conn->is_ended) {
        set_idle(inbound, conn, true);
    }
}

bool
jr_inbound_make(jr_inbound_t *inbound, jr_inbound_conn_t **ended)
{
    *ended = NULL;
    if (inbound->n_conns < inbound->conns_max) {
        return true;
    }
    *ended = TAILQ_FIRST(&inbound->idle);
    if (*ended == NULL) {
        return false;
    }
    jr_inbound_leave(inbound, *ended);
    (*ended)->is_ended = true;
    return true;
}
