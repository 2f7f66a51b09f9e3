/**
 * DOC: lease - leases of workers, as the leader of a group sees them
 *
 * One lease covers all tasks of a worker; a heartbeat renews it, so the
 * cost is one message per worker and not one per task. The table is not
 * replicated. A new leader counts each lease from its own election, which
 * is later than anything that an earlier leader can have granted.
 *
 * A worker counts its lease from the sending of the heartbeat, by its own
 * clock. The leader waits for the lease and the bound on drift from the
 * arrival of the heartbeat, and it answers a heartbeat only after a
 * majority has confirmed its leadership since that arrival. So the leader
 * never lets a task lapse before the worker has stopped it.
 */
#ifndef JAYRELAY_LEASE_H
#define JAYRELAY_LEASE_H

#include <sys/queue.h>

#include "jayrelay/interfere.h"
#include "jayrelay/ledger.h"

enum { JR_FREE_BUCKETS = 128 };

/**
 * struct jr_worker_t - a worker process, known by host/incarnation
 * @name: "host/incarnation"; a restarted worker is a new one
 * @host: the host alone
 * @capacity: what the host has
 * @services: what services on the host use, measured
 * @load: tasks leased to it, on the larger of declared and measured
 * @reserved: grants that are proposed and not applied yet
 * @n_granting: number of those grants
 * @renewed_at: when the heartbeat that renewed the lease arrived
 * @predecessor: earlier incarnation of the host that still holds tasks
 * @quarantined_until: no work until then
 * @overloads: heartbeats in a row that showed it over its capacity
 * @host_load: services and classes of tasks on the host
 * @guard_over: heartbeats in a row that showed a service too slow
 * @guard_acted_at: when the guard last throttled, evicted or eased
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
    uint32_t overloads;
    bool is_leaving;
    bool is_lapsed;
    bool is_superseded;
    jr_host_load_t host_load;
    uint32_t guard_over;
    int64_t guard_acted_at;
    int bucket;
    TAILQ_ENTRY(jr_worker) by_renewal;
    TAILQ_ENTRY(jr_worker) by_room;
    UT_hash_handle hh;
    UT_hash_handle hh_host;
} jr_worker_t;

TAILQ_HEAD(jr_worker_list, jr_worker);
typedef struct jr_worker_list jr_worker_list_t;

/**
 * struct jr_lease_options_t - times of the leases
 * @lease_ms: length of a lease by the worker's clock
 * @drift_permille: bound on the drift of any clock against true time
 */
typedef struct {
    int64_t lease_ms;
    int64_t drift_permille;
} jr_lease_options_t;

/**
 * struct jr_lease_table_t - the workers of a group
 * @renewals: live workers, the longest silent first
 * @lapsed: workers whose lease lapsed, until their tasks are gone
 * @rooms: workers that take work, by free whole cores
 * @total: capacity of the live workers
 */
typedef struct jr_lease_table {
    jr_ctx_t *ctx;
    jr_lease_options_t options;
    jr_worker_t *by_name;
    jr_worker_t *by_host;
    jr_worker_list_t renewals;
    jr_worker_list_t lapsed;
    jr_worker_list_t rooms[JR_FREE_BUCKETS];
    jr_resources_t total;
} jr_lease_table_t;

/** jr_new_lease_table - an empty table */
jr_lease_table_t *jr_new_lease_table(jr_ctx_t *ctx,
                                     const jr_lease_options_t *options);

/** jr_drop_lease_table - free a table; NULL is accepted */
void jr_drop_lease_table(jr_lease_table_t *table);

/** jr_lease_reset - forget all workers, at a change of leader */
void jr_lease_reset(jr_lease_table_t *table);

/** jr_lease_wait - how long the leader waits before a lease has lapsed */
int64_t jr_lease_wait(const jr_lease_options_t *options);

/**
 * jr_lease_renew - a worker was heard of at @now
 *
 * The worker is made when it is new. A lapsed lease is not renewed.
 * Return: the worker; owned by the table.
 */
jr_worker_t *jr_lease_renew(jr_lease_table_t *table, const char *name,
                            int64_t now);

/** jr_lease_find - a worker by name, or NULL */
jr_worker_t *jr_lease_find(jr_lease_table_t *table, const char *name);

/**
 * jr_lease_next_lapsed - the next worker whose lease lapsed by @now
 *
 * Each is returned once; it stays in the table, in the list of lapsed
 * ones, until jr_lease_forget().
 */
jr_worker_t *jr_lease_next_lapsed(jr_lease_table_t *table, int64_t now);

/** jr_lease_forget - remove a worker */
void jr_lease_forget(jr_lease_table_t *table, jr_worker_t *worker);

/** jr_worker_room - what is left on a worker */
jr_resources_t jr_worker_room(const jr_worker_t *worker);

/** jr_lease_update_room - file a worker anew after its load changed */
void jr_lease_update_room(jr_lease_table_t *table, jr_worker_t *worker);

/** jr_lease_set_capacity - what the host has, from its heartbeat */
void jr_lease_set_capacity(jr_lease_table_t *table, jr_worker_t *worker,
                           const jr_resources_t *capacity);

#endif
