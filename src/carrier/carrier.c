/* The table of carriers, and the choice of one for an order. */
#include "jayrelay/carrier.h"

#include <glib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum {
    /* Several receipts; a carrier that is silent for longer gets no orders. */
    SILENT_MS = 600,
    /*
     * A carrier that did not reach a worker is not tried again for so long: it
     * may be cut off from it.
     */
    AVOID_MS = 3000,
    /*
     * Most of a turn of the leader that counts as listening. In a longer one
     * carriers may have answered, and it has not read it yet. Lost carriers
     * are still noticed, in three turns.
     */
    TURN_COUNTED_MS = 200,
    /* With more workers the leader leaves also those of its zone to others. */
    OWN_WORKERS_MAX = 100,
};

typedef struct {
    char name[JR_NAME_BYTES];
    char zone[JR_NAME_BYTES];
    int64_t heard_at; /* in time of listening */
    int64_t clock_ms; /* of the carrier, in its latest answer */
} carrier_t;

/* Carriers that did not reach a worker lately. */
typedef struct {
    char *worker;
    uint32_t carriers; /* one bit each */
    int64_t until;
    UT_hash_handle hh;
} avoided_t;

struct jr_carriers {
    jr_ctx_t *ctx;
    char zone[JR_NAME_BYTES];
    int64_t ticked_at;
    int64_t listened_ms; /* until ticked_at */
    size_t n;
    carrier_t carriers[JR_CARRIERS_MAX];
    avoided_t *avoided;
};

jr_carriers_t *
jr_new_carriers(jr_ctx_t *ctx, const char *zone)
{
    jr_carriers_t *carriers = jr_alloc(ctx, sizeof *carriers);

    carriers->ctx = ctx;
    g_strlcpy(carriers->zone, zone, sizeof carriers->zone);
    return carriers;
}

static void
drop_avoided(jr_carriers_t *carriers, avoided_t *avoided)
{
    HASH_DEL(carriers->avoided, avoided);
    jr_free(carriers->ctx, avoided->worker);
    jr_free(carriers->ctx, avoided);
}

void
jr_drop_carriers(jr_carriers_t *carriers)
{
    avoided_t *avoided, *next;

    if (carriers == NULL) {
        return;
    }
    HASH_ITER (hh, carriers->avoided, avoided, next) {
        drop_avoided(carriers, avoided);
    }
    jr_free(carriers->ctx, carriers);
}

int
jr_carriers_find(const jr_carriers_t *carriers, const char *name)
{
    for (size_t i = 0; i < carriers->n; i++) {
        if (strcmp(carriers->carriers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return JR_CARRIER_SELF;
}

const char *
jr_carriers_name(const jr_carriers_t *carriers, int carrier)
{
    return carriers->carriers[carrier].name;
}

int64_t
jr_carriers_listened(const jr_carriers_t *carriers, int64_t now)
{
    return carriers->listened_ms +
           MIN(now - carriers->ticked_at, TURN_COUNTED_MS);
}

static bool
is_answering(const jr_carriers_t *carriers, const carrier_t *carrier,
             int64_t now)
{
    return jr_carriers_listened(carriers, now) - carrier->heard_at <=
           SILENT_MS;
}

bool
jr_carriers_is_answering(const jr_carriers_t *carriers, int carrier,
                         int64_t now)
{
    return is_answering(carriers, &carriers->carriers[carrier], now);
}

size_t
jr_carriers_count(const jr_carriers_t *carriers, int64_t now)
{
    size_t n = 0;

    for (size_t i = 0; i < carriers->n; i++) {
        n += is_answering(carriers, &carriers->carriers[i], now);
    }
    return n;
}

/* A place for a new carrier: a free one, or that of a silent one. */
static carrier_t *
free_place(jr_carriers_t *carriers, int64_t now)
{
    if (carriers->n < JR_CARRIERS_MAX) {
        return &carriers->carriers[carriers->n++];
    }
    for (size_t i = 0; i < carriers->n; i++) {
        if (!is_answering(carriers, &carriers->carriers[i], now)) {
            return &carriers->carriers[i];
        }
    }
    return NULL;
}

void
jr_carriers_heard(jr_carriers_t *carriers, const char *name, const char *zone,
                  int64_t clock_ms, int64_t now)
{
    int known = jr_carriers_find(carriers, name);
    carrier_t *carrier;

    if (strlen(name) >= sizeof carrier->name ||
        strlen(zone) >= sizeof carrier->zone) {
        return;
    }
    carrier =
        known >= 0 ? &carriers->carriers[known] : free_place(carriers, now);
    if (carrier == NULL) {
        return;
    }
    g_strlcpy(carrier->name, name, sizeof carrier->name);
    g_strlcpy(carrier->zone, zone, sizeof carrier->zone);
    carrier->heard_at = jr_carriers_listened(carriers, now);
    carrier->clock_ms = clock_ms;
}

int64_t
jr_carriers_clock(const jr_carriers_t *carriers, int carrier)
{
    return carriers->carriers[carrier].clock_ms;
}

static avoided_t *
find_avoided(const jr_carriers_t *carriers, const char *worker)
{
    avoided_t *avoided;

    HASH_FIND_STR(carriers->avoided, worker, avoided);
    return avoided;
}

void
jr_carriers_failed(jr_carriers_t *carriers, int carrier, const char *worker,
                   int64_t now)
{
    avoided_t *avoided;

    if (carrier == JR_CARRIER_SELF) {
        return;
    }
    avoided = find_avoided(carriers, worker);
    if (avoided == NULL) {
        avoided = jr_alloc(carriers->ctx, sizeof *avoided);
        avoided->worker = jr_strdup(carriers->ctx, worker);
        HASH_ADD_KEYPTR(hh, carriers->avoided, avoided->worker,
                        strlen(avoided->worker), avoided);
    }
    avoided->carriers |= 1U << carrier;
    avoided->until = now + AVOID_MS;
}

void
jr_carriers_tick(jr_carriers_t *carriers, int64_t now)
{
    avoided_t *avoided, *next;

    carriers->listened_ms = jr_carriers_listened(carriers, now);
    carriers->ticked_at = now;
    HASH_ITER (hh, carriers->avoided, avoided, next) {
        if (now >= avoided->until) {
            drop_avoided(carriers, avoided);
        }
    }
}

/*
 * Rendezvous hashing: when a carrier comes or goes, only the workers that it
 * gains or loses change their carrier.
 */
static uint32_t
weight(const char *worker, const char *carrier)
{
    uint32_t seed = XXH32(carrier, strlen(carrier), 0);

    return XXH32(worker, strlen(worker), seed);
}

int
jr_carriers_choose(jr_carriers_t *carriers, const char *worker,
                   const char *zone, size_t n_workers, int64_t now)
{
    const avoided_t *avoided = find_avoided(carriers, worker);
    uint32_t skipped = avoided != NULL ? avoided->carriers : 0;
    bool is_own_zone = strcmp(zone, carriers->zone) == 0;
    int best = JR_CARRIER_SELF;
    uint32_t best_weight = 0;
    bool best_is_near = false;

    if (is_own_zone && n_workers <= OWN_WORKERS_MAX) {
        return JR_CARRIER_SELF;
    }
    for (size_t i = 0; i < carriers->n; i++) {
        const carrier_t *carrier = &carriers->carriers[i];
        bool is_near = strcmp(carrier->zone, zone) == 0;
        uint32_t w;

        if (!is_answering(carriers, carrier, now) ||
            (skipped & 1U << i) != 0 || (best_is_near && !is_near)) {
            continue;
        }
        w = weight(worker, carrier->name);
        if (best == JR_CARRIER_SELF || (is_near && !best_is_near) ||
            w > best_weight) {
            best = (int)i;
            best_weight = w;
            best_is_near = is_near;
        }
    }
    return best;
}
