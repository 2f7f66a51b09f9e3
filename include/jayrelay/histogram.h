/**
 * DOC: histogram - latency histograms in /metrics
 *
 * The bucket bounds are fixed powers of two, in milliseconds. Like counters,
 * histograms belong to a context and only grow.
 */
#ifndef JAYRELAY_HISTOGRAM_H
#define JAYRELAY_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/* name, name in /metrics, help text */
#define JR_HISTOGRAM_TABLE(X)                                                 \
    X(ANSWER, "answer_ms", "from a client's request to its answer")           \
    X(FIRST_START, "first_start_ms", "from a job's acceptance to a grant")    \
    X(WAIT_URGENT, "wait_urgent_ms",                                          \
      "tasks of priority 0: from their turn to a grant")                      \
    X(WAIT_OTHER, "wait_other_ms",                                            \
      "tasks of other priorities: from their turn to a grant")                \
    X(START, "start_ms", "from a grant to the worker's word that it runs")    \
    X(ORDERED_URGENT, "ordered_urgent_ms",                                    \
      "tasks of priority 0: from a grant to the first start order")           \
    X(STARTED_URGENT, "started_urgent_ms",                                    \
      "tasks of priority 0: from that order to the worker's word")            \
    X(CARRY_QUEUED, "carry_queued_ms",                                        \
      "orders of the leader: from their arrival here until they are sent")    \
    X(LOG_SYNC, "log_sync_ms", "writing and syncing the log")                 \
    X(LOOP, "loop_ms", "one turn of the loop")                                \
    X(LOOP_EVENTS, "loop_events_ms",                                          \
      "messages, answers and timers of a turn")                               \
    X(LOOP_GROUPS, "loop_groups_ms",                                          \
      "state machines, decisions and the log in a turn")                      \
    X(LOOP_ORDERS, "loop_orders_ms", "sending orders to workers in a turn")

/** enum jr_histogram_t - index of a histogram */
typedef enum {
#define X(name, metric, help) JR_H_##name,
    JR_HISTOGRAM_TABLE(X)
#undef X
        JR_HISTOGRAMS
} jr_histogram_t;

enum { JR_HISTOGRAM_BUCKETS = 17 }; /* 1 ms to 65.5 s */

/**
 * struct jr_histogram_data_t - one histogram
 * @buckets: observations up to 1, 2, 4 ... ms, each counted in one bucket
 *           only; the last bucket counts those above the highest bound
 * @n: number of observations
 * @sum_ms: sum of all observations
 */
typedef struct {
    uint64_t buckets[JR_HISTOGRAM_BUCKETS + 1];
    uint64_t n;
    uint64_t sum_ms;
} jr_histogram_data_t;

/** jr_histogram_metric - name in /metrics, without the common prefix */
const char *jr_histogram_metric(jr_histogram_t histogram);

/** jr_histogram_help - one line of help */
const char *jr_histogram_help(jr_histogram_t histogram);

/** jr_histogram_add - add an observation; a negative one counts as 0 */
void jr_histogram_add(jr_histogram_data_t *data, int64_t ms);

/** jr_histogram_bound - inclusive upper bound of a bucket, ms */
uint64_t jr_histogram_bound(size_t bucket);

#endif
