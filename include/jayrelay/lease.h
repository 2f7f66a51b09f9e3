/**
 * DOC: lease - worker leases tracked by the leader of a group
 *
 * One lease covers all tasks of a worker; a heartbeat renews it, so the
 * cost is one message per worker and not one per task. The table is not
 * replicated. A new leader starts the clock of every lease at its own
 * election, which is later than any grant or renewal by an earlier leader.
 *
 * A worker measures its lease from the time it sent the heartbeat, on its own
 * clock. The leader measures the lease plus the bound on clock drift from the
 * arrival of the heartbeat, and it replies only after a majority has confirmed
 * its leadership since that arrival. So the leader never expires a lease
 * before the worker has stopped its tasks.
 */
#ifndef JAYRELAY_LEASE_H
#define JAYRELAY_LEASE_H

#include <sys/queue.h>

#include "jayrelay/interfere.h"
#include "jayrelay/ledger.h"

/* One per whole free core; hosts with more free cores share the last one. */
enum { JR_FREE_BUCKETS = 128 };

/**
 * struct jr_worker_t - one incarnation of a worker process
 * @name: "host/incarnation"; a restarted worker gets a new entry
 * @host: host part of the name
 * @capacity: total resources of the host
 * @services: measured use by services on the host
 * @load: use by leased tasks; the larger of declared and measured
 * @reserved: resources of proposed grants that are not applied yet
 * @n_granting: number of proposed grants that are not applied yet
 * @renewed_at: arrival time of the heartbeat that renewed the lease, in ms
 * @predecessor: earlier incarnation of the host that still has leased tasks
 * @failures_in_row: consecutive failed runs
 * @quarantine_ms: length of the last quarantine
 * @quarantined_until: no tasks are placed here before this time
 * @overload_heartbeats: consecutive heartbeats with use above capacity
 * @host_load: services and classes of tasks on the host
 * @slow_heartbeats: consecutive heartbeats with a service above its limit
 * @guard_acted_at: when the guard last throttled, evicted or unthrottled
 * @bucket: index into jr_lease_table_t.buckets, or -1
 */
typedef struct jr_worker {
    char *name;
    char *host;
    char *zone;
    char *rack;
    jr_resources_t capacity;
    jr_resources_t services;
    jr_resources_t load;
    jr_resources_t reserved;
    uint32_t n_granting;
    int64_t renewed_at;
    char *predecessor;
    uint32_t failures_in_row;
    int64_t quarantine_ms;
    int64_t quarantined_until;
    uint32_t overload_heartbeats;
    bool is_leaving;
    bool is_lapsed;
    bool is_superseded;
    jr_host_load_t host_load;
    uint32_t slow_heartbeats;
    int64_t guard_acted_at;
    int bucket;
    TAILQ_ENTRY(jr_worker) by_renewal;
    TAILQ_ENTRY(jr_worker) by_bucket;
    UT_hash_handle hh;
    UT_hash_handle hh_host;
} jr_worker_t;

TAILQ_HEAD(jr_worker_list, jr_worker);
typedef struct jr_worker_list jr_worker_list_t;

/**
 * struct jr_lease_options_t - lease length and clock drift
 * @lease_ms: length of a lease on the worker's clock
 * @drift_permille: bound on the drift of any clock from real time
 */
typedef struct {
    int64_t lease_ms;
    int64_t drift_permille;
} jr_lease_options_t;

/**
 * struct jr_lease_table_t - the workers of a group
 * @by_name: all workers
 * @by_host: newest incarnation of each host
 * @renewals: live workers, least recently renewed first
 * @lapsed: workers whose lease expired, until their tasks are expired too
 * @buckets: workers that accept tasks, by free whole cores
 * @total: capacity of the live workers
 */
typedef struct jr_lease_table {
    jr_ctx_t *ctx;
    jr_lease_options_t options;
    jr_worker_t *by_name;
    jr_worker_t *by_host;
    jr_worker_list_t renewals;
    jr_worker_list_t lapsed;
    jr_worker_list_t buckets[JR_FREE_BUCKETS];
    jr_resources_t total;
} jr_lease_table_t;

/** jr_new_lease_table - create an empty table */
jr_lease_table_t *jr_new_lease_table(jr_ctx_t *ctx,
                                     const jr_lease_options_t *options);

/** jr_drop_lease_table - free a table; NULL is accepted */
void jr_drop_lease_table(jr_lease_table_t *table);

/** jr_lease_reset - remove all workers, at a change of leader */
void jr_lease_reset(jr_lease_table_t *table);

/** jr_lease_timeout_ms - time without renewal after which a lease expires */
int64_t jr_lease_timeout_ms(const jr_lease_options_t *options);

/**
 * jr_lease_renew - renew the lease of a worker at @now
 *
 * An unknown worker is added. An expired lease is not renewed.
 * Return: the worker; owned by the table.
 */
jr_worker_t *jr_lease_renew(jr_lease_table_t *table, const char *name,
                            int64_t now);

/** jr_lease_find - find a worker by name, or NULL */
jr_worker_t *jr_lease_find(jr_lease_table_t *table, const char *name);

/**
 * jr_lease_next_lapsed - expire the next overdue lease
 *
 * Each worker is returned once; it stays in the table, on the list @lapsed,
 * until jr_lease_remove().
 * Return: the worker, or NULL when none is overdue.
 */
jr_worker_t *jr_lease_next_lapsed(jr_lease_table_t *table, int64_t now);

/** jr_lease_remove - remove a worker */
void jr_lease_remove(jr_lease_table_t *table, jr_worker_t *worker);

/** jr_worker_free_capacity - capacity not in use and not reserved */
jr_resources_t jr_worker_free_capacity(const jr_worker_t *worker);

/** jr_lease_update_bucket - re-bucket a worker after a load change */
void jr_lease_update_bucket(jr_lease_table_t *table, jr_worker_t *worker);

/** jr_lease_set_capacity - set the capacity of a worker */
void jr_lease_set_capacity(jr_lease_table_t *table, jr_worker_t *worker,
                           const jr_resources_t *capacity);

#endif
