/*
 * The length of leases. A leader waits out the leases of its predecessors,
 * which may have had other settings or another version: so the log has the
 * longest lease that any leader gives.
 */
#include "dispatch.h"

enum {
    PERMILLE = 1000,
    LEASE_MIN_MS = 1000, /* however short the failover time is */
    /*
     * Followers begin an election within this many election times after the
     * loss of a leader.
     */
    ELECTION_TIMES = 2,
};

/*
 * When a worker and the leader are lost together, the next leader is elected,
 * waits for the last orders of its predecessor and for the lease, on a slow
 * clock, and starts the tasks elsewhere.
 */
int64_t
jr_bounded_lease_ms(const jr_dispatch_options_t *options)
{
    int64_t rate = PERMILLE - options->drift_permille;
    int64_t election_ms = ELECTION_TIMES * options->order_age_ms;
    int64_t left_ms = options->failover_ms - election_ms -
                      options->order_age_ms - JR_ANSWER_TIMEOUT_MS;

    if (options->failover_ms == 0) {
        return options->lease_ms;
    }
    return MIN(
        options->lease_ms,
        MAX(left_ms * rate / PERMILLE - JR_LAPSE_MARGIN_MS, LEASE_MIN_MS));
}

/* Before there is a limit in the log, leaders gave the longest lease. */
static int64_t
lease_limit_ms(const jr_dispatch_t *d)
{
    return d->jobs->lease_limit_ms > 0 ? d->jobs->lease_limit_ms
                                       : d->options.lease_ms;
}

int64_t
jr_longest_lease_ms(const jr_dispatch_t *d)
{
    return d->has_inherited ? MAX(lease_limit_ms(d), d->lease_ms)
                            : d->lease_ms;
}

int64_t
jr_accepted_lease_ms(const jr_dispatch_t *d)
{
    int64_t rate = PERMILLE - d->options.drift_permille;

    return (d->options.lease_ms + JR_LAPSE_MARGIN_MS) * PERMILLE / rate;
}

void
jr_lease_lead(jr_dispatch_t *d)
{
    d->led_at = d->now;
    d->has_inherited = HASH_COUNT(d->jobs->workers) > 0;
    d->lease_ms = MIN(d->wanted_lease_ms, lease_limit_ms(d));
    d->is_limit_proposed = false;
}

/*
 * An earlier leader that still reaches the worker issues orders until its
 * last confirmation is order_age_ms old. It was confirmed before the election
 * of this one. The worker's clock may be slow, so a lease may last longer.
 */
int64_t
jr_inherited_lease_ms(const jr_dispatch_t *d)
{
    int64_t rate = PERMILLE - d->options.drift_permille;
    int64_t lease_ms = jr_longest_lease_ms(d) + JR_LAPSE_MARGIN_MS;

    return d->options.order_age_ms + lease_ms * PERMILLE / rate;
}

static bool
have_longer_leases_ended(const jr_dispatch_t *d)
{
    return d->wanted_lease_ms >= lease_limit_ms(d) || !d->has_inherited ||
           d->now >= d->led_at + jr_inherited_lease_ms(d);
}

/*
 * The next leader counts on the limit, so a lower one must not reach the log
 * before all longer leases have ended. A higher one holds for later leaders.
 */
void
jr_lease_tick(jr_dispatch_t *d)
{
    Jr__JobLeaseLimit body = JR__JOB_LEASE_LIMIT__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    if (d->is_limit_proposed || d->wanted_lease_ms == lease_limit_ms(d) ||
        !have_longer_leases_ended(d)) {
        return;
    }
    body.limit_ms = d->wanted_lease_ms;
    command.body_case = JR__JOB_COMMAND__BODY_LEASE_LIMIT;
    command.lease_limit = &body;
    jr_queue_command(d, &command);
    d->is_limit_proposed = true;
}
