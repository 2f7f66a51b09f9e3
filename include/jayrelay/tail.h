/**
 * DOC: tail - how fillers lengthen the tail latency of services
 *
 * The latency of a queue grows as 1 / (1 - utilisation). So the headroom of
 * a service, its target over its tail, falls in proportion to what loads it:
 * its own calls, which swing and are alike for all tasks of a job, and the
 * fillers beside it. The model follows the headroom that each job's tasks
 * would have alone, and learns for each pair of images how much headroom a
 * filler takes. It learns from the tails that workers list.
 */
#ifndef JAYRELAY_TAIL_H
#define JAYRELAY_TAIL_H

#include "jayrelay/ctx.h"

enum {
    JR_TAIL_LOADS_MAX = 32, /* images of fillers on one worker */
    JR_TAIL_IMAGES_MAX = 64,
};

/** typedef jr_image_t - number of an image in the model */
typedef uint32_t jr_image_t;

/**
 * struct jr_tail_load_t - fillers of one image on a worker
 * @share: of the worker's processors that they use, 0 to 1
 */
typedef struct {
    jr_image_t image;
    double share;
} jr_tail_load_t;

/**
 * struct jr_tail_seen_t - a worker listed the tail of a service's task
 * @job: its tasks have the same load of their own
 * @loads: the fillers beside it while the tail was measured
 * @at_ms: monotonic clock
 */
typedef struct {
    jr_image_t service;
    uint64_t job;
    uint32_t tail_ms;
    uint32_t target_ms;
    const jr_tail_load_t *loads;
    size_t n_loads;
    int64_t at_ms;
} jr_tail_seen_t;

typedef struct jr_tails jr_tails_t;

/** jr_new_tails - a model that has seen nothing */
jr_tails_t *jr_new_tails(jr_ctx_t *ctx);

/** jr_drop_tails - free; NULL is accepted */
void jr_drop_tails(jr_tails_t *tails);

/**
 * jr_tails_image - the number of an image
 *
 * Images beyond JR_TAIL_IMAGES_MAX share the last number.
 */
jr_image_t jr_tails_image(jr_tails_t *tails, const char *name);

/** jr_tails_learn - a tail was listed; one of 0 ms says nothing */
void jr_tails_learn(jr_tails_t *tails, const jr_tail_seen_t *seen);

/**
 * jr_tails_alone - headroom of a job's tasks without fillers
 * @at_ms: now or shortly after
 */
double jr_tails_alone(const jr_tails_t *tails, uint64_t job, int64_t at_ms);

/** jr_tails_least - the same when the job's own load is at its highest */
double jr_tails_least(const jr_tails_t *tails, uint64_t job);

/** jr_tails_taken - headroom that fillers take from a service */
double jr_tails_taken(const jr_tails_t *tails, jr_image_t service,
                      const jr_tail_load_t *loads, size_t n);

#endif
