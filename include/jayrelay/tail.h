/**
 * DOC: tail - effect of best-effort tasks on the tail latency of services
 *
 * The latency of a queue grows as 1 / (1 - utilisation). So the headroom of
 * a service, defined as its latency target over its tail latency, falls
 * linearly with its load: its own calls, which vary over time and are alike
 * for all tasks of a job, and the best-effort tasks on the same worker. The
 * model tracks the base headroom of each job, which its tasks have without
 * best-effort tasks, and learns for each pair of images how much headroom a
 * best-effort task costs. Its input is the tail latencies that workers report.
 */
#ifndef JAYRELAY_TAIL_H
#define JAYRELAY_TAIL_H

#include "jayrelay/ctx.h"

enum {
    JR_TAIL_LOADS_MAX = 32,  /* best-effort images per worker */
    JR_TAIL_IMAGES_MAX = 64, /* further images share the last index */
};

/** typedef jr_image_t - index of an image in the model */
typedef uint32_t jr_image_t;

/**
 * struct jr_tail_load_t - best-effort tasks of one image on a worker
 * @share: share of the worker's processors that they use, 0 to 1
 */
typedef struct {
    jr_image_t image;
    double share;
} jr_tail_load_t;

/**
 * struct jr_tail_sample_t - reported tail latency of a service task
 * @service: image of the service
 * @job: job of the task; all tasks of a job have the same load of calls
 * @tail_ms: measured tail latency; 0 when there was none
 * @target_ms: target of the tail latency
 * @loads: best-effort tasks on the worker during the measurement; borrowed
 * @at_ms: time of the measurement, monotonic clock
 */
typedef struct {
    jr_image_t service;
    uint64_t job;
    uint32_t tail_ms;
    uint32_t target_ms;
    const jr_tail_load_t *loads;
    size_t n_loads;
    int64_t at_ms;
} jr_tail_sample_t;

typedef struct jr_tails jr_tails_t;

/** jr_new_tails - create a model without measurements */
jr_tails_t *jr_new_tails(jr_ctx_t *ctx);

/** jr_drop_tails - free a model; NULL is accepted */
void jr_drop_tails(jr_tails_t *tails);

/**
 * jr_tails_image - index of an image, assigned on first use
 *
 * Images beyond JR_TAIL_IMAGES_MAX share the last index.
 */
jr_image_t jr_tails_image(jr_tails_t *tails, const char *name);

/** jr_tails_learn - learn from a sample; a tail of 0 ms is ignored */
void jr_tails_learn(jr_tails_t *tails, const jr_tail_sample_t *sample);

/**
 * jr_tails_base_headroom - headroom of a job without best-effort tasks
 * @at_ms: the present or shortly after; later times are extrapolated only
 *         for a bounded time
 */
double jr_tails_base_headroom(const jr_tails_t *tails, uint64_t job,
                              int64_t at_ms);

/** jr_tails_base_headroom_min - base headroom at the job's peak load */
double jr_tails_base_headroom_min(const jr_tails_t *tails, uint64_t job);

/** jr_tails_headroom_loss - headroom that best-effort tasks cost a service */
double jr_tails_headroom_loss(const jr_tails_t *tails, jr_image_t service,
                              const jr_tail_load_t *loads, size_t n);

#endif
