/* Private to src/dispatch: what its modules offer each other. */
#ifndef JR_DISPATCH_DISPATCH_H
#define JR_DISPATCH_DISPATCH_H

#include "state.h"

/* orders.c: orders that concern a worker, not a run. */
/* Something happened: it may have such an order due. */
void jr_dispatch_look_at(jr_dispatch_t *d, jr_tracked_worker_t *w);
void jr_dispatch_look_away(jr_dispatch_t *d, jr_tracked_worker_t *w);

/* worker.c: leases, clocks and incarnations of workers. */
uint32_t jr_tracked_worker_rank(const jr_job_worker_t *worker);
jr_tracked_worker_t *jr_tracked_worker_new(jr_dispatch_t *d,
                                           jr_job_worker_t *worker);
void jr_tracked_worker_free(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Since when the worker has been lost, by the leader's clock; 0: it is not. */
int64_t jr_tracked_worker_silent_since(const jr_tracked_worker_t *w);
/* Has it answered recently, and may it get new tasks? */
bool jr_tracked_worker_is_usable(const jr_dispatch_t *d,
                                 const jr_tracked_worker_t *w);
/* Stop a run that no grant in the log names. */
void jr_tracked_worker_add_orphan(jr_dispatch_t *d, jr_tracked_worker_t *w,
                                  const Jr__JobRun *name);
/* They have ended, or the next list names them again. */
void jr_tracked_worker_forget_orphans(jr_dispatch_t *d,
                                      jr_tracked_worker_t *w);
/* Does an orphan run of the task still run on some worker? */
bool jr_task_has_orphan(const jr_dispatch_t *d, const jr_job_task_t *task);
/* Excludes orders to its earlier incarnations, and of earlier leaders. */
uint64_t jr_tracked_worker_fence(const jr_dispatch_t *d,
                                 const jr_tracked_worker_t *w);
/* It announced that it shuts down now. */
void jr_tracked_worker_leave(jr_dispatch_t *d, jr_tracked_worker_t *w);
void jr_tracked_worker_end(jr_dispatch_t *d, jr_tracked_worker_t *w);
void jr_tracked_worker_tick(jr_dispatch_t *d, jr_tracked_worker_t *w);
void jr_tracked_worker_suspect(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* A renewal is due for long: it is this leader that has no time. */
bool jr_renewal_is_late(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* Of the lease that the worker confirmed last, at least; below 0: expired. */
int64_t jr_tracked_worker_lease_left_ms(const jr_dispatch_t *d,
                                        const jr_tracked_worker_t *w);
/* Length of the leases that it gets; shorter while it drains. */
int64_t jr_tracked_worker_lease_ms(const jr_dispatch_t *d,
                                   const jr_tracked_worker_t *w);
/* End of a lease that starts now, on the worker's clock; 0: unknown. */
int64_t jr_tracked_worker_lease_end(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* The same in a start: of the lease that the worker has, while it lasts. */
int64_t jr_tracked_worker_start_lease_end(jr_dispatch_t *d,
                                          jr_tracked_worker_t *w);
/* May orders extend the lease of the worker? */
bool jr_tracked_worker_may_extend_lease(const jr_tracked_worker_t *w);
/*
 * lease.c: the length of leases. What any leader may have given is limited by
 * the log, as settings and versions of leaders may differ.
 */
/* The longest lease that lets tasks of a lost worker run again in time. */
int64_t jr_bounded_lease_ms(const jr_dispatch_options_t *options);
/* Longest lease that this leader or an earlier one may have given. */
int64_t jr_longest_lease_ms(const jr_dispatch_t *d);
/*
 * Time until the end of any lease that a worker accepts now, on a slow clock:
 * one by the clock of another incarnation may be as long.
 */
int64_t jr_accepted_lease_ms(const jr_dispatch_t *d);
/*
 * How long leases that earlier leaders gave may last after the election of
 * this one.
 */
int64_t jr_inherited_lease_ms(const jr_dispatch_t *d);
/* Set the length of the leases that a new leader gives. */
void jr_lease_lead(jr_dispatch_t *d);
/* Propose the limit that this leader wants, once that is safe. */
void jr_lease_tick(jr_dispatch_t *d);
void jr_tracked_worker_set_clock(jr_tracked_worker_t *w, int64_t clock_ms,
                                 int64_t now);

/*
 * drain.c: workers that drain, and drained zones. What runs there goes on.
 */
bool jr_drain_forbids_starts(const jr_dispatch_t *d,
                             const jr_tracked_worker_t *w);
/* A zone was drained or taken back. */
void jr_drain_on_zone(jr_dispatch_t *d, const char *name);
/* A run ended on the worker. */
void jr_drain_on_run_ended(jr_dispatch_t *d, const jr_tracked_worker_t *w);

/* leave.c: services of workers that drain. */
/* In a pass: stop some of those for which others have capacity. */
void jr_leave_move_services(jr_dispatch_t *d);

/* window.c: how many orders may be open at a time. */
/* The window of a zone, which lasts as long as the dispatcher. */
jr_window_t *jr_window_of(jr_dispatch_t *d, const char *zone);
void jr_windows_drop(jr_dispatch_t *d);
/* Must starts and paces for the zone wait for answers to others? */
bool jr_window_is_full(const jr_window_t *window);
/* Let the other zones be asked for an order before this one. */
void jr_window_to_end(jr_dispatch_t *d, jr_window_t *window);
/* The order is sent: count it, if orders of its kind are. */
void jr_window_add(jr_sent_t *sent);
/* It was answered, or no answer is awaited any more. */
void jr_window_remove(jr_sent_t *sent);

/*
 * incarnation.c: orders to an earlier incarnation that a later one executes.
 */
void jr_tracked_worker_restart(jr_dispatch_t *d, jr_tracked_worker_t *w,
                               int64_t incarnation);
/* A worker that may have been removed before checked in. */
void jr_incarnation_on_added(const jr_dispatch_t *d, jr_tracked_worker_t *w);
/* A new leader has read of the worker and its runs in the log. */
void jr_incarnation_inherit(jr_dispatch_t *d, jr_tracked_worker_t *w);
/*
 * The worker has accepted the fencing token of its incarnation, so orders to
 * earlier ones give no lease any more.
 */
void jr_incarnation_on_synced(const jr_dispatch_t *d, jr_tracked_worker_t *w);
/*
 * May an incarnation of the worker that is not known yet begin the run, or
 * hold a lease for it?
 */
bool jr_run_may_begin_late(const jr_dispatch_t *d, const jr_run_t *run);
/*
 * Was the run begun by an incarnation that may not be the known one, and may
 * it hold a lease for it?
 */
bool jr_run_may_be_elsewhere(const jr_dispatch_t *d, const jr_run_t *run);
/* The outcome of a start order. */
void jr_incarnation_on_start_answer(const jr_dispatch_t *d,
                                    const jr_sent_t *sent,
                                    const jr_answer_t *answer);
/* Does its clock show that a later incarnation gave the answer? */
bool jr_incarnation_is_later(const jr_dispatch_t *d, const jr_sent_t *sent,
                             const jr_answer_t *answer);

/* restart.c: check-ins of a later incarnation. */
/*
 * Ask the worker by a renewal whether it has restarted. Returns false when
 * there is nothing to ask: the check-in counts.
 */
bool jr_restart_ask(jr_dispatch_t *d, jr_tracked_worker_t *w,
                    const Jr__JobWorker *info);
bool jr_restart_is_asked(const jr_tracked_worker_t *w);
/* The answer does not say, or there is none: the check-in counts. */
void jr_restart_accept(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* The known incarnation has answered. */
void jr_restart_deny(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* The worker has restarted, by its own word or that of the log. */
void jr_restart_on_restarted(jr_dispatch_t *d, jr_tracked_worker_t *w);
void jr_restart_forget(jr_tracked_worker_t *w);

/* hold.c: lease renewals, and the lists of runs and ends in the answers. */
bool jr_renewal_is_due(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
void jr_renewal_order(jr_dispatch_t *d, jr_tracked_worker_t *w,
                      jr_order_t *order);
void jr_renewal_answer(jr_dispatch_t *d, const jr_sent_t *sent,
                       const jr_answer_t *answer);

/* health.c: workers on which tasks fail or stall. */
bool jr_health_allows(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* A run is listed as running. */
void jr_health_running(jr_dispatch_t *d, jr_run_t *run);
/* An end is listed; run may be NULL. */
void jr_health_end(jr_dispatch_t *d, jr_tracked_worker_t *w,
                   const jr_run_t *run, const jr_ended_t *end);

/*
 * worker_quality.c: how fast and reliable workers are, from their runs.
 */
/* The worker said that the run has started. */
void jr_worker_quality_on_started(const jr_dispatch_t *d, jr_run_t *run);
/* The run is listed, with its progress. */
void jr_worker_quality_on_progress(jr_dispatch_t *d, jr_run_t *run,
                                   uint32_t percent);
/* It is listed as ended, for a reason that may be the worker. */
void jr_worker_quality_on_end(jr_dispatch_t *d, const jr_run_t *run,
                              Jr__JobEnd__How how);
/* It refused a start, though it has the capacity. */
void jr_worker_quality_on_refused(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* It ended without notice, and no task is known to have caused it. */
void jr_worker_quality_on_crash(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* The log says something new of the worker, or this leader is new. */
void jr_worker_quality_on_worker(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* A check-in that need not be logged may say that it is warm sooner. */
void jr_worker_quality_on_check_in(const jr_dispatch_t *d,
                                   jr_tracked_worker_t *w,
                                   const Jr__JobWorker *info);
/* Another incarnation has begun. */
void jr_worker_quality_on_restart(jr_tracked_worker_t *w);
/* Before a pass: judge all workers. */
void jr_worker_quality_update(jr_dispatch_t *d);
/* Added to the cost of the task there; 0 while all workers are sound. */
int64_t jr_worker_quality_cost(const jr_dispatch_t *d,
                               const jr_tracked_worker_t *w,
                               const jr_job_task_t *task);
/* Time that something may take there which takes @sound_ms elsewhere. */
int64_t jr_worker_quality_patience_ms(const jr_tracked_worker_t *w,
                                      int64_t sound_ms);

/* crash.c: workers that crash, and the tasks that ran there. */
/* Its incarnation has ended: a crash, unless the worker announced it. */
void jr_crash_note(jr_dispatch_t *d, jr_tracked_worker_t *w);
/*
 * The run is of an earlier leader: an incarnation that ended under that one
 * crashed, if the worker does not list the run. Its age is not known.
 */
void jr_crash_inherit(jr_run_t *run);
/* So recently that the worker itself may be unstable. */
bool jr_crash_is_recent(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* The lease of the run lapsed; the cause is not known yet. */
void jr_crash_add_lapsed(jr_dispatch_t *d, jr_run_t *run);
/* The worker whose leases lapsed had not crashed. */
void jr_crash_forget_lapsed(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Runs that lapsed under an earlier leader. */
void jr_crash_take_over(jr_dispatch_t *d);

/* guard.c: protects services against best-effort tasks. */
void jr_guard_worker(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Longest wait of a renewal while the guard needs the loads of the worker. */
int64_t jr_guard_wait_ms(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* False while best-effort tasks must stay off the worker. */
bool jr_guard_allows(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* Does the worker run both services and best-effort tasks? */
bool jr_guard_is_needed(const jr_tracked_worker_t *w);

/* pace.c: paces of best-effort tasks, and moves to other workers. */
/* Plan the paces on a worker, and order the changes. */
void jr_pace_update(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Does a best-effort task there lose much time? */
bool jr_pace_has_slowed(const jr_tracked_worker_t *w);
/* In a pass: stop some of these tasks for which others have capacity. */
void jr_pace_move_slowed(jr_dispatch_t *d);
/* Headroom a service would lose if tasks of this image used all processors. */
double jr_pace_slope(const jr_dispatch_t *d, const jr_run_t *service,
                     jr_image_t image);

/* loads.c: loads of best-effort tasks, and headroom of services. */
/* Bring the lists of loads and tails up to date. */
void jr_loads_refresh(jr_dispatch_t *d, jr_tracked_worker_t *w);
/* Are they up to date? */
bool jr_loads_are_fresh(const jr_dispatch_t *d, const jr_tracked_worker_t *w);
/* Share of the worker's processors that a best-effort task asks for. */
double jr_loads_share(const jr_tracked_worker_t *w, const Jr__JobStep *step);
/* Measured use by best-effort tasks; loads has JR_TAIL_LOADS_MAX elements. */
size_t jr_loads_measured(const jr_tracked_worker_t *w, jr_tail_load_t *loads);
bool jr_loads_has_target(const jr_run_t *run);
bool jr_loads_is_serving(const jr_run_t *run);
/* Tail latency of a service, divided by its target. */
double jr_loads_ratio(const jr_run_t *run);
/* Predicted headroom of a service without best-effort tasks. */
double jr_loads_headroom(const jr_dispatch_t *d, const jr_run_t *service);

/* run.c: one run from its grant to its end. */
jr_run_t *jr_run_new(jr_dispatch_t *d, jr_job_task_t *task,
                     jr_tracked_worker_t *w, jr_run_state_t state);
void jr_run_free(jr_dispatch_t *d, jr_run_t *run);
void jr_run_set_state(jr_run_t *run, jr_run_state_t state);
/* Its worker lists its end. */
void jr_run_note_end(jr_run_t *run);
void jr_run_set_due(jr_dispatch_t *d, jr_run_t *run);
void jr_run_stop(jr_dispatch_t *d, jr_run_t *run);
/* Run a best-effort task at this percentage of its full pace. */
void jr_run_set_pace(jr_dispatch_t *d, jr_run_t *run, uint32_t percent);
/* The run has ended, without an end that the worker listed. */
void jr_run_release(jr_dispatch_t *d, jr_run_t *run, const char *reason);
/* Is it a short task of the most urgent queues? */
bool jr_task_is_urgent(const jr_job_task_t *task);
bool jr_run_order(jr_dispatch_t *d, jr_run_t *run, jr_order_t *order);
void jr_run_answer(jr_dispatch_t *d, jr_run_t *run, jr_order_kind_t kind,
                   const jr_answer_t *answer);
void jr_run_name(const jr_run_t *run, Jr__JobRun *to);
const char *jr_run_state_name(jr_run_state_t state);
/* Is it about to free its capacity? */
bool jr_run_is_ending(const jr_run_t *run);
const char *jr_run_text(const jr_run_t *run, char *buf, size_t size);

/* schedule.c: one scheduling pass over the waiting tasks. */
void jr_schedule(jr_dispatch_t *d);
/* May a run of the task be proposed in this pass? */
bool jr_schedule_may_place(const jr_dispatch_t *d, const jr_job_task_t *task);
void jr_schedule_place(jr_dispatch_t *d, jr_job_task_t *task,
                       jr_tracked_worker_t *w);
/* So late that it is of little use, that long after it was due. */
bool jr_schedule_is_too_late(int64_t after_ms, int64_t allowed_ms);

/* begun.c: jobs of which a task is known to have begun. */
/* The run is there: the log is to know, if that is the beginning of its job.
 */
void jr_begun_note(jr_dispatch_t *d, const jr_run_t *run);
/* Is it known to have begun? */
bool jr_run_has_begun(const jr_run_t *run);
bool jr_begun_is_due(const jr_dispatch_t *d);
void jr_begun_propose(jr_dispatch_t *d);

/* missing.c: tasks of a step that are not at work. */
/* Not for some time after this leader took over, or was paused. */
bool jr_missing_is_known(const jr_dispatch_t *d);
/* Is the task of a service at work, for certain? */
bool jr_task_is_at_work(const jr_job_task_t *task);
/* Tasks of the same step and occurrence that are not. */
uint32_t jr_step_count_missing(const jr_job_task_t *task);
/* May one more task of its step be missing, when it is stopped? */
bool jr_step_may_miss_one_more(const jr_job_task_t *task);

/* waits.c: services that wait to run again, in the log. */
/* After a pass: log them, every few seconds. */
void jr_waits_report(jr_dispatch_t *d);

/* spent.c: where the time of jobs goes. */
/* A grant of the run is in the log. */
void jr_spent_granted(const jr_dispatch_t *d, jr_run_t *run);
/* The run has ended; the phase of its task says how. */
void jr_spent_ended(const jr_dispatch_t *d, jr_run_t *run);
/* Log and count a job that has ended. */
void jr_spent_report(jr_dispatch_t *d, const jr_job_t *job);

/*
 * Critical path of one occurrence by estimated run times: of the whole
 * occurrence, or of what is left when the progress of its steps is given.
 */
int64_t jr_critical_path_ms(const Jr__JobSpec *spec,
                            const jr_step_progress_t *progress);
/* Time in which a job of the queue should end; 0: it has no objective. */
int64_t jr_allowed_ms(const Jr__JobQueue *config, const Jr__JobSpec *spec);

/* backlog.c: accepted work that is not done, and processors for it. */
typedef struct jr_backlog jr_backlog_t;
jr_backlog_t *jr_new_backlog(jr_ctx_t *ctx);
void jr_drop_backlog(jr_ctx_t *ctx, jr_backlog_t *backlog);
/* Forget the work, but not what was learned about run times. */
void jr_backlog_clear(jr_backlog_t *backlog);
/* The run is done. */
void jr_backlog_learn(jr_dispatch_t *d, const jr_run_t *run);

/*
 * reserve.c: capacity reserved for short tasks, and for new services that have
 * waited long.
 */
void jr_reserve_update(jr_dispatch_t *d);
void jr_reserve_for_services(jr_dispatch_t *d);
/* Processors of the worker that nothing has used for some time. */
int64_t jr_reserve_spare_milli(const jr_tracked_worker_t *w);
/*
 * Processors, in thousandths, that services may still take from short tasks
 * that keep what they ask for, up to these thousandths of all; negative when
 * services hold more than that leaves.
 */
int64_t jr_reserve_left_for_services(const jr_dispatch_t *d,
                                     int64_t short_permille);
/* May a service take this much of the worker, with regard to short tasks? */
bool jr_reserve_allows_service(const jr_dispatch_t *d,
                               const jr_tracked_worker_t *w,
                               const jr_job_task_t *task,
                               const jr_need_t *need);
/*
 * Waiting time of a service; a restarted one gets a bonus. Of one that runs:
 * if it were stopped now.
 */
int64_t jr_reserve_waited(const jr_dispatch_t *d, const jr_job_task_t *task);

/*
 * urgent.c: capacity for urgent tasks that wait, from tasks that can wait
 * longer.
 */
/*
 * After a pass: stop tasks, if that serves the urgent ones that wait. These
 * are jr_demand_sum_t, one for each set of workers on which they may run.
 */
void jr_urgent_make_room(jr_dispatch_t *d, const GArray *waiting);

/* places.c: the usable workers of a pass, by what is free on them. */
typedef struct {
    jr_tracked_worker_t *w;
    uint32_t rank;      /* of the worker */
    int64_t room_milli; /* no task that asks for more fits, in this pass */
    int64_t capacity_milli;
    int64_t reserved_milli;
    int64_t service_delay_ms;
    /* As tasks are placed there. */
    int64_t free_milli;
    int64_t free_mb;
    int64_t left_milli; /* see jr_choose_left_by_others() */
    int64_t best_effort_milli;
    uint32_t n_targets; /* this and the next as those of the worker */
    jr_image_t target_image;
    bool is_mixed;
} jr_place_t;
typedef struct jr_places jr_places_t;
jr_places_t *jr_new_places(jr_ctx_t *ctx);
void jr_drop_places(jr_ctx_t *ctx, jr_places_t *places);
/* The pass is over. */
void jr_places_clear(jr_places_t *places);
/* A pass begins. */
void jr_places_refresh(jr_dispatch_t *d);
/* What is free on the worker has changed. */
void jr_places_note(jr_places_t *places, const jr_tracked_worker_t *w);
/* The workers with that many free processors or more; sets their number. */
const jr_place_t *jr_places_first(const jr_places_t *places,
                                  bool is_best_effort, int64_t cpu_milli,
                                  size_t *n);

/* shapes.c: demands that could not be placed in the present pass. */
typedef enum {
    JR_SHAPE_SHORT,
    JR_SHAPE_SERVICE,
    JR_SHAPE_BEST_EFFORT,
    JR_SHAPE_KINDS,
} jr_shape_kind_t;
typedef struct {
    const char *service;
    jr_shape_kind_t kind;
    jr_need_t need;
    const char *image; /* of a best-effort task, else "" */
    int64_t waited_ms; /* of a service: decides what it may use */
} jr_shape_t;
typedef struct jr_shapes jr_shapes_t;
jr_shapes_t *jr_new_shapes(jr_ctx_t *ctx);
void jr_drop_shapes(jr_ctx_t *ctx, jr_shapes_t *shapes);
void jr_shapes_clear(jr_shapes_t *shapes);
jr_shape_t jr_shape_of(const jr_dispatch_t *d, const jr_job_task_t *task,
                       const jr_need_t *need);
/* Could a task of this shape, or one that needs less, not be placed? */
bool jr_shapes_has(const jr_shapes_t *shapes, const jr_shape_t *shape);
/* A task of this step could not be placed. */
void jr_shapes_add(jr_shapes_t *shapes, const Jr__JobStep *step,
                   const jr_shape_t *shape);

/* choose.c: the best worker for a task in this pass, or NULL. */
jr_tracked_worker_t *jr_choose_worker(jr_dispatch_t *d,
                                      const jr_job_task_t *task,
                                      const jr_need_t *need);
/* Another worker for the task of the run in this pass, or NULL. */
jr_tracked_worker_t *jr_choose_other(jr_dispatch_t *d, const jr_run_t *run);
/*
 * The workers by their cost for the tasks of one step, which do not differ:
 * each choice costs one worker's evaluation, not that of all. It is valid
 * within a pass, while only its own choices change the workers.
 */
typedef struct jr_ranking jr_ranking_t;
jr_ranking_t *jr_new_ranking(jr_dispatch_t *d, const jr_job_task_t *task,
                             const jr_need_t *need);
void jr_drop_ranking(jr_ranking_t *ranking);
/* As jr_choose_worker(); the task is placed there before the next call. */
jr_tracked_worker_t *jr_ranking_next(jr_ranking_t *ranking,
                                     const jr_job_task_t *task);
/* Processors that short tasks and services leave to best-effort tasks. */
int64_t jr_choose_left_by_others(const jr_tracked_worker_t *w);
/*
 * Processors, in thousandths, that a further best-effort task may ask for
 * beside those on the worker; INT64_MAX: as many as it likes.
 */
int64_t jr_choose_best_effort_room(const jr_tracked_worker_t *w);
/* Has the job waited so long that interference limits are relaxed? */
bool jr_choose_is_relaxed(const jr_dispatch_t *d, const jr_job_t *job);
void jr_need_of(const Jr__JobStep *step, jr_need_t *need);
bool jr_need_fits_beside(const jr_need_t *need, const jr_need_t *used,
                         const Jr__JobWorker *info);
bool jr_worker_has_capacity(const jr_need_t *need,
                            const jr_tracked_worker_t *w);
/* Is it in another rack than the data of the step? */
bool jr_worker_is_far(const jr_tracked_worker_t *w, const Jr__JobStep *step);
void jr_need_add(jr_need_t *a, const jr_need_t *b, int sign);
/* Are they of one step and occurrence? */
bool jr_task_is_sibling(const jr_job_task_t *a, const jr_job_task_t *b);
/* Tasks of the same step and occurrence that run there. */
uint32_t jr_worker_siblings(const jr_tracked_worker_t *w,
                            const jr_job_task_t *task);
/* Cost of a service there, whatever else is on the worker now. */
int64_t jr_choose_base_cost(const jr_dispatch_t *d,
                            const jr_tracked_worker_t *w,
                            const jr_job_task_t *task, jr_image_t image);
/* Do the constraints of the step allow the worker, capacity aside? */
bool jr_worker_is_eligible(const jr_tracked_worker_t *w,
                           const jr_job_task_t *task);

/*
 * Has something changed, and has the minimum gap between passes elapsed? Not
 * before the first tick of a leadership: waits depend on the time of day.
 */
bool jr_dispatch_is_pass_due(const jr_dispatch_t *d);

/* command.c: commands for the log. */
void jr_queue_command(jr_dispatch_t *d, Jr__JobCommand *command);

#endif
