/**
 * DOC: preempt - which running tasks give way to urgent ones
 *
 * Load: urgent tasks with a deadline wait, and tasks that can wait longer hold
 * the capacity. Chooses the tasks to stop so that the most urgent tasks fit
 * for the least that is lost by stopping. A pure function: it reads no clock,
 * and the caller stops what it chose. Capacity is free only once the stopped
 * tasks have ended, so the caller subtracts what is being stopped already.
 */
#ifndef JAYRELAY_PREEMPT_H
#define JAYRELAY_PREEMPT_H

#include "jayrelay/ctx.h"

enum {
    /* A task that was stopped this often is not stopped again. */
    JR_PREEMPT_STOPS_MAX = 2,
};

/**
 * struct jr_preempt_size_t - capacity
 * @cpu_milli: thousandths of a processor
 */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
} jr_preempt_size_t;

/**
 * struct jr_preempt_victim_t - a running task that could be stopped
 * @size: capacity that it holds
 * @lost_ms: run time that is lost when it is stopped now
 * @ends_in_ms: when it ends by itself; INT64_MAX: unknown, or not soon
 * @stops: how often it was stopped before
 * @user: of the caller
 */
typedef struct {
    jr_preempt_size_t size;
    int64_t lost_ms;
    int64_t ends_in_ms;
    uint32_t stops;
    void *user;
} jr_preempt_victim_t;

/**
 * struct jr_preempt_worker_t - a worker with tasks that could be stopped
 * @free: capacity that nothing holds
 * @victims: @n_victims of them; borrowed
 */
typedef struct {
    jr_preempt_size_t free;
    const jr_preempt_victim_t *victims;
    size_t n_victims;
} jr_preempt_worker_t;

/**
 * struct jr_preempt_request_t - what is wanted
 * @need: capacity of one urgent task
 * @wanted: number of urgent tasks that should fit in addition
 * @stop_ms: how long a stop takes; a task that ends sooner is not stopped
 * @lost_max: bound on the run time that is lost, in milliseconds of one
 *            processor
 */
typedef struct {
    jr_preempt_size_t need;
    size_t wanted;
    int64_t stop_ms;
    int64_t lost_max;
} jr_preempt_request_t;

/**
 * struct jr_preempt_result_t - what was chosen
 * @chosen: victims to stop, @n of them; points into the workers' victims
 * @gained: urgent tasks that fit once they have ended
 * @lost: run time that is lost, in milliseconds of one processor
 */
typedef struct {
    const jr_preempt_victim_t **chosen;
    size_t n;
    size_t gained;
    int64_t lost;
} jr_preempt_result_t;

/**
 * jr_preempt_choose - choose the tasks to stop
 * @workers: @n of them
 * @result: @chosen has room for all victims of all workers
 */
void jr_preempt_choose(jr_ctx_t *ctx, const jr_preempt_request_t *request,
                       const jr_preempt_worker_t *workers, size_t n,
                       jr_preempt_result_t *result);

#endif
