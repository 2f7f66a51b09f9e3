/* Workers and zones that get no new tasks. */
#include "dispatch.h"

bool
jr_drain_forbids_starts(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    const Jr__JobWorker *info = w->worker->info;

    return info->draining || jr_zones_is_drained(d->jobs->zones, info->zone);
}

void
jr_drain_on_zone(jr_dispatch_t *d, const char *name)
{
    size_t n = jr_jobs_count_granted(d->jobs, name);

    d->is_dirty = true;
    if (!jr_zones_is_drained(d->jobs->zones, name)) {
        jr_log(d->ctx, JR_EV_ZONE_RETURNED, "zone=%s runs=%zu", name, n);
        return;
    }
    jr_log(d->ctx, JR_EV_ZONE_DRAINED, "zone=%s runs=%zu", name, n);
    if (n == 0) {
        jr_log(d->ctx, JR_EV_ZONE_EMPTY, "zone=%s", name);
    }
}

void
jr_drain_on_run_ended(jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    const char *zone = w->worker->info->zone;

    if (TAILQ_EMPTY(&w->runs) && jr_zones_is_drained(d->jobs->zones, zone) &&
        jr_jobs_is_zone_empty(d->jobs, zone)) {
        jr_log(d->ctx, JR_EV_ZONE_EMPTY, "zone=%s", zone);
    }
}
