/* Table of workers and their leases. */
#include "jayrelay/lease.h"

#include <string.h>

enum { PERMILLE = 1000, MILLI_PER_CORE = 1000 };

/* Bucket of a worker that is overcommitted or excluded from placement. */
enum { BUCKET_NONE = -1 };

static char *
host_of(jr_ctx_t *ctx, const char *name)
{
    const char *slash = strchr(name, '/');
    char *host = jr_strdup(ctx, name);

    if (slash != NULL) {
        host[slash - name] = '\0';
    }
    return host;
}

static void
remove_from_bucket(jr_lease_table_t *table, jr_worker_t *worker)
{
    if (worker->bucket != BUCKET_NONE) {
        TAILQ_REMOVE(&table->buckets[worker->bucket], worker, by_bucket);
        worker->bucket = BUCKET_NONE;
    }
}

static void
supersede(jr_lease_table_t *table, jr_worker_t *old, jr_worker_t *worker)
{
    old->is_superseded = true;
    worker->predecessor = jr_strdup(
        table->ctx, old->predecessor != NULL ? old->predecessor : old->name);
    HASH_DELETE(hh_host, table->by_host, old);
    remove_from_bucket(table, old);
}

static jr_worker_t *
add_worker(jr_lease_table_t *table, const char *name, int64_t now)
{
    jr_worker_t *worker = jr_alloc(table->ctx, sizeof *worker);
    jr_worker_t *old;

    worker->name = jr_strdup(table->ctx, name);
    worker->host = host_of(table->ctx, name);
    worker->renewed_at = now;
    worker->host_load.updated_at = now;
    worker->bucket = BUCKET_NONE;
    HASH_FIND(hh_host, table->by_host, worker->host, strlen(worker->host),
              old);
    if (old != NULL) {
        supersede(table, old, worker);
    }
    HASH_ADD_KEYPTR(hh, table->by_name, worker->name, strlen(worker->name),
                    worker);
    HASH_ADD_KEYPTR(hh_host, table->by_host, worker->host,
                    strlen(worker->host), worker);
    TAILQ_INSERT_TAIL(&table->renewals, worker, by_renewal);
    return worker;
}

jr_lease_table_t *
jr_new_lease_table(jr_ctx_t *ctx, const jr_lease_options_t *options)
{
    jr_lease_table_t *table = jr_alloc(ctx, sizeof *table);

    table->ctx = ctx;
    table->options = *options;
    TAILQ_INIT(&table->renewals);
    TAILQ_INIT(&table->lapsed);
    for (int i = 0; i < JR_FREE_BUCKETS; i++) {
        TAILQ_INIT(&table->buckets[i]);
    }
    return table;
}

void
jr_lease_reset(jr_lease_table_t *table)
{
    jr_worker_t *worker, *next;

    HASH_ITER (hh, table->by_name, worker, next) {
        jr_lease_remove(table, worker);
    }
}

void
jr_drop_lease_table(jr_lease_table_t *table)
{
    if (table == NULL) {
        return;
    }
    jr_lease_reset(table);
    jr_free(table->ctx, table);
}

/*
 * With clock drift d, a lease on the worker's clock lasts up to
 * lease / (1 - d) of real time, and the leader's clock may advance by up to
 * (1 + d) times that.
 */
int64_t
jr_lease_timeout_ms(const jr_lease_options_t *options)
{
    int64_t slow = PERMILLE - options->drift_permille;
    int64_t fast = PERMILLE + options->drift_permille;

    return options->lease_ms * fast / slow + 1;
}

jr_worker_t *
jr_lease_find(jr_lease_table_t *table, const char *name)
{
    jr_worker_t *worker;

    HASH_FIND_STR(table->by_name, name, worker);
    return worker;
}

jr_worker_t *
jr_lease_renew(jr_lease_table_t *table, const char *name, int64_t now)
{
    jr_worker_t *worker = jr_lease_find(table, name);

    if (worker == NULL) {
        return add_worker(table, name, now);
    }
    if (!worker->is_lapsed && now > worker->renewed_at) {
        worker->renewed_at = now;
        TAILQ_REMOVE(&table->renewals, worker, by_renewal);
        TAILQ_INSERT_TAIL(&table->renewals, worker, by_renewal);
    }
    return worker;
}

jr_worker_t *
jr_lease_next_lapsed(jr_lease_table_t *table, int64_t now)
{
    jr_worker_t *worker = TAILQ_FIRST(&table->renewals);

    if (worker == NULL ||
        now - worker->renewed_at <= jr_lease_timeout_ms(&table->options)) {
        return NULL;
    }
    TAILQ_REMOVE(&table->renewals, worker, by_renewal);
    TAILQ_INSERT_TAIL(&table->lapsed, worker, by_renewal);
    worker->is_lapsed = true;
    remove_from_bucket(table, worker);
    jr_resources_add(&table->total, &worker->capacity, -1);
    return worker;
}

void
jr_lease_remove(jr_lease_table_t *table, jr_worker_t *worker)
{
    jr_ctx_t *ctx = table->ctx;

    remove_from_bucket(table, worker);
    if (worker->is_lapsed) {
        TAILQ_REMOVE(&table->lapsed, worker, by_renewal);
    }
    else {
        TAILQ_REMOVE(&table->renewals, worker, by_renewal);
        jr_resources_add(&table->total, &worker->capacity, -1);
    }
    if (!worker->is_superseded) {
        HASH_DELETE(hh_host, table->by_host, worker);
    }
    HASH_DEL(table->by_name, worker);
    jr_free(ctx, worker->name);
    jr_free(ctx, worker->host);
    jr_free(ctx, worker->zone);
    jr_free(ctx, worker->rack);
    jr_free(ctx, worker->predecessor);
    jr_free(ctx, worker);
}

jr_resources_t
jr_worker_free_capacity(const jr_worker_t *worker)
{
    jr_resources_t available = worker->capacity;

    jr_resources_add(&available, &worker->services, -1);
    jr_resources_add(&available, &worker->load, -1);
    jr_resources_add(&available, &worker->reserved, -1);
    return available;
}

static bool
accepts_tasks(const jr_worker_t *worker)
{
    return !worker->is_lapsed && !worker->is_leaving &&
           !worker->is_superseded && worker->predecessor == NULL;
}

void
jr_lease_update_bucket(jr_lease_table_t *table, jr_worker_t *worker)
{
    int64_t cores = jr_worker_free_capacity(worker).cpu_milli / MILLI_PER_CORE;
    int bucket = cores < JR_FREE_BUCKETS ? (int)cores : JR_FREE_BUCKETS - 1;

    if (!accepts_tasks(worker) || cores < 0) {
        bucket = BUCKET_NONE;
    }
    if (bucket == worker->bucket) {
        return;
    }
    remove_from_bucket(table, worker);
    worker->bucket = bucket;
    if (bucket != BUCKET_NONE) {
        TAILQ_INSERT_TAIL(&table->buckets[bucket], worker, by_bucket);
    }
}

void
jr_lease_set_capacity(jr_lease_table_t *table, jr_worker_t *worker,
                      const jr_resources_t *capacity)
{
    if (!worker->is_lapsed) {
        jr_resources_add(&table->total, &worker->capacity, -1);
        jr_resources_add(&table->total, capacity, 1);
    }
    worker->capacity = *capacity;
}
