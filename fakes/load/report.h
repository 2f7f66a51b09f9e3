/* The demo's load and what came of it. */
#ifndef FAKES_LOAD_REPORT_H
#define FAKES_LOAD_REPORT_H

#include <ev.h>
#include <glib.h>

#include "jayrelay/http.h"

typedef enum {
    CALL_PENDING,
    CALL_ANSWERED,
    CALL_WRONG,
    CALL_REFUSED,
    CALL_UNKNOWN,
} call_outcome_t;

typedef struct load load_t;

typedef struct {
    load_t *load;
    int number;
    bool is_idempotent;
    bool is_keyed;
    int tries;
    int64_t sent_at;
    double latency_us;
    call_outcome_t outcome;
    ev_timer timer;
} call_t;

typedef struct {
    int number;
    char id[32];
    bool is_asking;
    bool is_finished;
    bool is_doubled;
} job_t;

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

/* Print the table; 0 when nothing was lost, doubled or mixed up. */
int load_report(load_t *load);

#endif
