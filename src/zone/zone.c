/* The table of zones and the requests that change it. */
#include "jayrelay/zone.h"

#include <string.h>

jr_zones_t *
jr_new_zones(jr_ctx_t *ctx)
{
    jr_zones_t *zones = jr_alloc(ctx, sizeof *zones);

    zones->ctx = ctx;
    TAILQ_INIT(&zones->list);
    return zones;
}

void
jr_zones_clear(jr_zones_t *zones)
{
    jr_zone_t *zone;

    while ((zone = TAILQ_FIRST(&zones->list)) != NULL) {
        TAILQ_REMOVE(&zones->list, zone, link);
        jr_free(zones->ctx, zone->name);
        jr_free(zones->ctx, zone);
    }
    zones->n = 0;
    zones->n_drained = 0;
}

void
jr_drop_zones(jr_zones_t *zones)
{
    if (zones != NULL) {
        jr_zones_clear(zones);
        jr_free(zones->ctx, zones);
    }
}

bool
jr_zone_name_is_valid(const char *name)
{
    size_t len = strlen(name);

    if (len == 0 || len > JR_ZONE_NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (name[i] <= ' ' || name[i] > '~' || strchr("/\"\\", name[i])) {
            return false;
        }
    }
    return true;
}

static jr_zone_t *
find(const jr_zones_t *zones, const char *name)
{
    jr_zone_t *zone;

    TAILQ_FOREACH (zone, &zones->list, link) {
        if (strcmp(zone->name, name) == 0) {
            return zone;
        }
    }
    return NULL;
}

bool
jr_zones_is_drained(const jr_zones_t *zones, const char *name)
{
    const jr_zone_t *zone = zones->n_drained > 0 ? find(zones, name) : NULL;

    return zone != NULL && zone->drained_since != 0;
}

uint64_t
jr_zones_accepted(const jr_zones_t *zones, const char *name)
{
    const jr_zone_t *zone = find(zones, name);

    return zone != NULL ? zone->accepted : 0;
}

/* NULL for an invalid name and when the table is full. */
static jr_zone_t *
add(jr_zones_t *zones, const char *name)
{
    jr_zone_t *zone;

    if (!jr_zone_name_is_valid(name) || zones->n == JR_ZONES_MAX) {
        return NULL;
    }
    zone = jr_alloc(zones->ctx, sizeof *zone);
    zone->name = jr_strdup(zones->ctx, name);
    TAILQ_INSERT_TAIL(&zones->list, zone, link);
    zones->n++;
    return zone;
}

static void
set_drained(jr_zones_t *zones, jr_zone_t *zone, bool drained, int64_t now)
{
    if (drained && zone->drained_since == 0) {
        zone->drained_since = now > 0 ? now : 1;
        zones->n_drained++;
    }
    else if (!drained && zone->drained_since != 0) {
        zone->drained_since = 0;
        zones->n_drained--;
    }
}

jr_result_t
jr_zones_apply(jr_zones_t *zones, const jr_zone_request_t *request,
               int64_t now)
{
    jr_zone_t *zone = find(zones, request->name);
    bool is_drained;

    if (zone == NULL) {
        zone = add(zones, request->name);
    }
    if (zone == NULL) {
        return JR_BAD_REQUEST;
    }
    is_drained = zone->drained_since != 0;
    if (request->drains != is_drained && request->seen != zone->accepted) {
        return JR_OVERTAKEN;
    }
    /* Also when nothing changes: what was received before is outdated now. */
    zone->accepted++;
    set_drained(zones, zone, request->drains, now);
    return JR_OK;
}

bool
jr_zones_restore(jr_zones_t *zones, const char *name, uint64_t accepted,
                 int64_t drained_since)
{
    jr_zone_t *zone = find(zones, name) == NULL ? add(zones, name) : NULL;

    if (zone == NULL) {
        return false;
    }
    zone->accepted = accepted;
    set_drained(zones, zone, drained_since != 0, drained_since);
    return true;
}
