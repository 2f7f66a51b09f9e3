/* Private to src/dispatch: places of services that lost their run. */
#ifndef JR_DISPATCH_CLAIM_H
#define JR_DISPATCH_CLAIM_H

#include "dispatch.h"

/* Capacity of a worker that is held for the next run of a service. */
typedef struct jr_claim {
    TAILQ_ENTRY(jr_claim) link;        /* in the claims of the dispatcher */
    TAILQ_ENTRY(jr_claim) worker_link; /* in those of its worker */
    jr_job_task_t *task;
    jr_tracked_worker_t *worker;
    jr_need_t need;
    bool is_move; /* it was claimed while the service still ran */
} jr_claim_t;

/* At the beginning of a pass: drop claims that do not hold, add new ones. */
void jr_claims_update(jr_dispatch_t *d);
/*
 * Then: start the services whose claim is free of other tasks, there or on a
 * worker that suits them better.
 */
void jr_claims_place(jr_dispatch_t *d);
/* Does the service have to wait, as there is no place that it may claim? */
bool jr_claim_is_refused(const jr_dispatch_t *d, const jr_job_task_t *task);
/* The task needs no place any more; it may have no claim. */
void jr_claim_drop(jr_dispatch_t *d, jr_job_task_t *task);
/* The worker is about to be freed. */
void jr_claims_drop_worker(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Would the task fit beside what the services of other claims need there? */
bool jr_claims_leave_room(const jr_tracked_worker_t *w,
                          const jr_job_task_t *task, const jr_need_t *need);
/* Could all claims on the worker be used now? */
bool jr_claims_are_free(const jr_tracked_worker_t *w);
/* Has the task no run, so that it could start? */
bool jr_claim_is_waiting(const jr_job_task_t *task);
/* Time since its last run ended, of a task that waits. */
int64_t jr_claim_waited_ms(const jr_dispatch_t *d, const jr_job_task_t *task);
/* Has it waited for so long that it should run again by now? */
bool jr_claim_is_late(const jr_dispatch_t *d, const jr_job_task_t *task);
/* May the task claim a place there, capacity aside? */
bool jr_claim_suits(const jr_tracked_worker_t *w, const jr_job_task_t *task);

/* claimant.c: services that need a place for their next run. */
/* Tasks without a claim that need one, in the order in which they get it. */
GPtrArray *jr_claimants(const jr_dispatch_t *d);
/* Does the task need its claim, now or soon? */
bool jr_claim_is_wanted(const jr_dispatch_t *d, const jr_job_task_t *task);

/* displace.c: what is stopped for services that lost their run. */
/* A pass begins. */
void jr_displace_begin(jr_dispatch_t *d);
/*
 * Stop a service that has run for long, or several where one is not enough, so
 * that the task fits there instead; returns the worker, or NULL if there is
 * none.
 */
jr_tracked_worker_t *jr_displace_service(jr_dispatch_t *d,
                                         const jr_job_task_t *task,
                                         const jr_need_t *need);
/* After a pass: stop short tasks that keep services from their claims. */
void jr_displace_short(jr_dispatch_t *d);

#endif
