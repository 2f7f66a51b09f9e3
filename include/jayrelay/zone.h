/**
 * DOC: zone - availability zones that the operator drains
 *
 * Nothing is started in a zone while it is drained; what runs there goes on.
 * The table is part of a replicated state: it changes only by commands of the
 * log, so all replicas have the same one.
 *
 * A request to drain a zone, or to take it back, may be delayed in a network
 * or in a process that was paused, and arrive after a later request was
 * accepted. So each zone counts the requests that were accepted, and a request
 * carries the count as the process that received it knew it: it changes
 * nothing once another request was accepted since.
 */
#ifndef JAYRELAY_ZONE_H
#define JAYRELAY_ZONE_H

#include <sys/queue.h>

#include "jayrelay/ctx.h"

enum {
    JR_ZONE_NAME_MAX_BYTES = 63,
    JR_ZONES_MAX = 64, /* zones in a table */
};

/**
 * struct jr_zone_t - a zone for which a request was accepted; never removed
 * @accepted: requests that were accepted
 * @drained_since: when it was drained, wall-clock ms; 0: it is in use
 */
typedef struct jr_zone {
    TAILQ_ENTRY(jr_zone) link;
    char *name;
    uint64_t accepted;
    int64_t drained_since;
} jr_zone_t;

TAILQ_HEAD(jr_zone_list, jr_zone);

/** struct jr_zones_t - the zones; fields are read-only outside */
typedef struct {
    jr_ctx_t *ctx;
    struct jr_zone_list list;
    size_t n;
    size_t n_drained;
} jr_zones_t;

/**
 * struct jr_zone_request_t - drain a zone, or take it back
 * @name: borrowed
 * @drains: drain the zone, else take it back
 * @seen: jr_zones_accepted() when the request was received
 */
typedef struct {
    const char *name;
    bool drains;
    uint64_t seen;
} jr_zone_request_t;

/** jr_new_zones - an empty table */
jr_zones_t *jr_new_zones(jr_ctx_t *ctx);

/** jr_drop_zones - free a table; NULL is accepted */
void jr_drop_zones(jr_zones_t *zones);

/** jr_zones_clear - remove all zones */
void jr_zones_clear(jr_zones_t *zones);

/**
 * jr_zone_name_is_valid - is it 1 to 63 printable ASCII characters?
 *
 * None of them may be a blank, a slash, a backslash or a quotation mark.
 */
bool jr_zone_name_is_valid(const char *name);

/** jr_zones_is_drained - false also for a zone that is not in the table */
bool jr_zones_is_drained(const jr_zones_t *zones, const char *name);

/** jr_zones_accepted - number of accepted requests for a zone */
uint64_t jr_zones_accepted(const jr_zones_t *zones, const char *name);

/**
 * jr_zones_apply - carry out a request
 * @now: wall-clock ms
 *
 * A request for the state that the zone has is accepted, whatever it has seen.
 *
 * Return: JR_OK; JR_OVERTAKEN when another request was accepted since this one
 * was received; JR_BAD_REQUEST for an invalid name or a full table.
 */
jr_result_t jr_zones_apply(jr_zones_t *zones, const jr_zone_request_t *request,
                           int64_t now);

/**
 * jr_zones_restore - add a zone from a snapshot
 *
 * Return: false for an invalid name, one that is known, or a full table.
 */
bool jr_zones_restore(jr_zones_t *zones, const char *name, uint64_t accepted,
                      int64_t drained_since);

#endif
