/* State of the demo's load, and the report on its results. */
#ifndef FAKES_LOAD_REPORT_H
#define FAKES_LOAD_REPORT_H

#include <ev.h>
#include <glib.h>

#include "jayrelay/http.h"

/** enum call_outcome_t - outcome of a call, as its client sees it */
typedef enum {
    CALL_PENDING,
    CALL_ANSWERED,
    CALL_WRONG,   /* the answer isn't that of this call */
    CALL_REFUSED, /* not run, according to the answer */
    CALL_UNKNOWN, /* may or may not have run */
} call_outcome_t;

typedef struct load load_t;

/**
 * struct call_t - one call with all its attempts
 * @is_keyed: has an idempotency key
 * @sent_at: of the first attempt, microseconds
 * @latency_us: from the first attempt to the last answer
 * @timer: for the next attempt
 */
typedef struct {
    load_t *load;
    int number;
    bool is_idempotent;
    bool is_keyed;
    int n_attempts;
    int64_t sent_at;
    double latency_us;
    call_outcome_t outcome;
    ev_timer timer;
} call_t;

/**
 * struct job_t - one task, submitted repeatedly until it has an id
 * @id: empty until a submission is answered
 * @is_request_open: a submission or a query waits for its answer
 * @is_duplicated: two answers gave different ids
 */
typedef struct {
    int number;
    char id[32];
    bool is_request_open;
    bool is_finished;
    bool is_duplicated;
} job_t;

/**
 * struct load - the load and its settings
 * @logs: folder with the logs of executors and workers
 * @rate: calls per second
 * @seconds: time in which the calls and tasks are sent
 * @limit_s: time after which the program stops waiting for results
 * @n_sent: calls that have been sent at least once
 * @n_open: attempts without an answer
 * @refusals: number of refused calls by reason
 * @latencies: of the answered calls, microseconds
 */
struct load {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_client_t *client;
    char **entries;
    int n_entries;
    int next_entry;
    gchar *logs;
    int rate, seconds, limit_s;
    int n_calls, n_sent, n_open, n_jobs;
    call_t *calls;
    job_t *jobs;
    GHashTable *refusals;
    GArray *latencies;
    int64_t started_ms;
};

/**
 * load_report - print the results as a table
 *
 * Return: 0, or 1 when a call or task was lost, run twice, run in spite of a
 * refusal, given the answer of another or run beyond an executor's slots.
 */
int load_report(load_t *load);

#endif
