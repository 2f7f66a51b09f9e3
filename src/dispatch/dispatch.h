/* Private to the dispatch slice. */
#ifndef JR_DISPATCH_DISPATCH_H
#define JR_DISPATCH_DISPATCH_H

#include <glib.h>

#include "jayrelay/dispatch.h"
#include "jayrelay/tail.h"

typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} jr_need_t;

typedef enum {
    JR_RUN_PROPOSED,  /* the grant is not in the log yet */
    JR_RUN_STARTING,  /* the start has no clear answer yet */
    JR_RUN_RUNNING,   /* the worker said that it runs */
    JR_RUN_STOPPING,  /* a stop was ordered */
    JR_RUN_UNSURE,    /* the next list of its worker tells whether it runs */
    JR_RUN_RELEASING, /* known to be over; the release is on its way */
} jr_run_state_t;

typedef struct jr_lead_worker jr_lead_worker_t;

/* The services of one image on a worker: the headroom that the model expects
 * of the worst of them, soon and when its own load is at its highest. */
typedef struct {
    jr_image_t image;
    double headroom;
    double least;
} jr_worker_tail_t;

/* A granted task, as the leader knows it. */
typedef struct jr_run {
    TAILQ_ENTRY(jr_run) link;     /* in the runs of its worker */
    TAILQ_ENTRY(jr_run) due_link; /* in the runs that wait for an order */
    jr_job_task_t *task;
    jr_lead_worker_t *worker;
    jr_run_state_t state;
    uint32_t attempt;
    jr_image_t image;
    int64_t born; /* life of the worker that it was granted to */
    jr_need_t need;
    bool is_due;       /* in the list of due orders */
    bool is_unclear;   /* an order to start it may still be on its way */
    bool is_inherited; /* the same holds for orders of earlier leaders */
    bool is_stop_wanted;
    uint64_t serial;    /* of the order under way, 0 for none */
    int64_t expires_ms; /* of its first start, on the worker's clock */
    int64_t try_at;     /* no order before */
    uint32_t tries;
    int64_t confirmed_at; /* when it was known to run, 0: never */
    int64_t stop_acked_at;
    uint32_t percent;
    int64_t percent_at; /* when it last grew */
    uint32_t gauge;
    double tail_error;    /* headroom expected there, less what was listed */
    uint32_t pace;        /* as the worker confirmed it, JR_PACE_UNKNOWN */
    uint32_t pace_sent;   /* in the order under way */
    uint32_t pace_wanted; /* percent of its full pace */
    int64_t pace_unsure_until; /* an earlier order may still arrive */
    int64_t slowed_ms;         /* lost by working below its full pace */
    int64_t granted_at;
    char *checkpoint; /* the latest that the worker listed */
} jr_run_t;

TAILQ_HEAD(jr_run_list, jr_run);

/* A start that had no clear answer; a new life of its worker would obey. */
typedef struct {
    Jr__JobRun run;
    int64_t until;
} jr_unclear_t;

struct jr_lead_worker {
    TAILQ_ENTRY(jr_lead_worker) link;
    jr_job_worker_t *worker;
    int64_t born; /* life that the fields below speak of */
    jr_need_t used;
    int64_t filler_milli; /* processors that fillers would use */
    jr_need_t services;   /* the part of it that services have */
    jr_need_t held;       /* for services that wait for short tasks to end */
    uint32_t n_services;
    struct jr_run_list runs;

    int64_t clock_ms; /* the worker's clock at clock_at, at least */
    int64_t clock_at;
    int64_t expires_max_ms;  /* end of the longest lease, its clock */
    int64_t inherited_until; /* leases of earlier leaders have lapsed */
    int64_t reborn_until;    /* orders to its earlier life may arrive */
    bool is_taken;           /* it answered this leader */
    bool is_over;            /* its life is over */
    bool has_left;
    int64_t suspect_at;  /* an order had no clear answer then, 0: none */
    int64_t answered_at; /* sending of the newest hold that was answered */
    int64_t checked_in_at;

    uint64_t hold_serial;
    int64_t hold_at;
    int64_t hold_pause_ms;
    bool is_end_pending; /* ends are on their way into the log */
    GArray *strays;      /* runs (Jr__JobRun) to stop that nobody granted */
    GArray *unclear;     /* starts (jr_unclear_t) that may still arrive */

    uint32_t failure_streak;
    uint64_t streak_job;
    int64_t failed_at;
    int64_t quarantined_until;
    int64_t quarantine_ms;
    int64_t full_until; /* it refused for want of room */

    uint32_t rank;        /* from its id, the same for every leader */
    bool is_usable;       /* as of the latest pass */
    int64_t kept_free_ms; /* for short tasks: services wait so long */
    bool is_load_stale;   /* the loads and tails below */
    int64_t loads_at;
    jr_tail_load_t loads[JR_TAIL_LOADS_MAX]; /* at the paces wanted */
    size_t n_loads;
    int64_t over_since;    /* a service is over its target, or 0 */
    int64_t beside_since;  /* the same, beside fillers */
    int64_t cleared_until; /* no fillers before */
    int64_t guarded_at;    /* its latest list was looked at */
    jr_worker_tail_t tails[JR_TAIL_LOADS_MAX];
    size_t n_tails;
};

TAILQ_HEAD(jr_lead_worker_list, jr_lead_worker);

/* An order that has no answer yet. */
typedef struct {
    uint64_t serial;
    jr_order_kind_t kind;
    jr_lead_worker_t *worker;
    jr_run_t *run; /* NULL for holds, or when the run is gone */
    int64_t sent_at;
    UT_hash_handle hh;
} jr_sent_t;

typedef struct jr_queued_command {
    STAILQ_ENTRY(jr_queued_command) link;
    uint8_t *bytes;
    size_t len;
} jr_queued_command_t;

struct jr_dispatch {
    jr_ctx_t *ctx;
    jr_dispatch_options_t options;
    jr_jobs_t *jobs;
    jr_tails_t *tails;
    bool is_leading;
    uint64_t fence;
    int64_t now;
    int64_t wall_ms;
    uint64_t next_serial;
    bool is_dirty; /* something may be placeable */
    int64_t scheduled_at;
    double short_milli; /* recent peak of processors for short tasks */
    int64_t short_at;
    bool has_short;     /* such tasks run, or wait */
    bool is_half_empty; /* most of the workers' processors are free */
    struct jr_lead_worker_list workers; /* by rank */
    jr_lead_worker_t *next_worker; /* to be looked at for orders, or NULL */
    struct jr_run_list due;
    jr_sent_t *sent;
    STAILQ_HEAD(, jr_queued_command) commands;
    GPtrArray *releases; /* of runs */
    GPtrArray *proposed; /* runs whose grant is to be proposed */
};

/* worker.c: leases, clocks and lives. */
uint32_t jr_lead_worker_rank(const jr_job_worker_t *worker);
jr_lead_worker_t *jr_lead_worker_new(jr_dispatch_t *d,
                                     jr_job_worker_t *worker);
void jr_lead_worker_free(jr_dispatch_t *d, jr_lead_worker_t *w);
/* Does its word count: has it answered lately, and is it to stay? */
bool jr_lead_worker_is_usable(const jr_dispatch_t *d,
                              const jr_lead_worker_t *w);
void jr_lead_worker_new_life(jr_dispatch_t *d, jr_lead_worker_t *w,
                             int64_t born);
void jr_lead_worker_life_over(jr_dispatch_t *d, jr_lead_worker_t *w);
void jr_lead_worker_tick(jr_dispatch_t *d, jr_lead_worker_t *w);
void jr_lead_worker_suspect(jr_dispatch_t *d, jr_lead_worker_t *w);
/* A start had no clear answer: it may be carried out seconds later. */
void jr_lead_worker_note_unclear(jr_dispatch_t *d, jr_lead_worker_t *w,
                                 const jr_run_t *run);
/* Stop what earlier orders may yet start in a new life of the worker. */
void jr_lead_worker_bar_unclear(jr_dispatch_t *d, jr_lead_worker_t *w);
/* End of a lease that starts now, on the worker's clock; 0: unknown. */
int64_t jr_lead_worker_lease_end(jr_dispatch_t *d, jr_lead_worker_t *w);
void jr_lead_worker_clock(jr_lead_worker_t *w, int64_t clock_ms, int64_t now);

/* hold.c: renewals and the lists that answer them. */
bool jr_hold_is_due(const jr_dispatch_t *d, const jr_lead_worker_t *w);
void jr_hold_order(jr_dispatch_t *d, jr_lead_worker_t *w, jr_order_t *order);
void jr_hold_answer(jr_dispatch_t *d, jr_lead_worker_t *w, int64_t sent_at,
                    const jr_answer_t *answer);

/* health.c: workers that fail what they are given. */
bool jr_health_allows(const jr_dispatch_t *d, const jr_lead_worker_t *w);
/* A run is listed as running. */
void jr_health_running(jr_dispatch_t *d, jr_run_t *run);
/* An end is listed; run may be NULL. */
void jr_health_end(jr_dispatch_t *d, jr_lead_worker_t *w, const jr_run_t *run,
                   const jr_ended_t *end);

/* guard.c: fillers beside services. */
void jr_guard_worker(jr_dispatch_t *d, jr_lead_worker_t *w);
/* False while the worker is kept free of fillers for its services. */
bool jr_guard_allows(const jr_dispatch_t *d, const jr_lead_worker_t *w);
/* May fillers there disturb services? */
bool jr_guard_is_needed(const jr_lead_worker_t *w);

/* pace.c: how fast fillers work, and where. */
/* Plan the paces of a worker's fillers, and order what changed. */
void jr_pace_order(jr_dispatch_t *d, jr_lead_worker_t *w);
/* Stop one that lost much time, when another worker would take it. */
void jr_pace_move_slowed(jr_dispatch_t *d, jr_lead_worker_t *w);
/* Headroom that a whole worker of this image would take from a service. */
double jr_pace_slope(const jr_dispatch_t *d, const jr_run_t *service,
                     jr_image_t filler);

/* loads.c: what fillers and services do to each other. */
/* Bring the lists of loads and tails up to date. */
void jr_loads_refresh(jr_dispatch_t *d, jr_lead_worker_t *w);
/* Share of a worker's processors that a filler asks for. */
double jr_loads_share(const jr_lead_worker_t *w, const Jr__JobStep *filler);
/* What fillers used lately; loads has room for JR_TAIL_LOADS_MAX. */
size_t jr_loads_seen(const jr_lead_worker_t *w, jr_tail_load_t *loads);
bool jr_loads_has_target(const jr_run_t *run);
bool jr_loads_is_at_work(const jr_run_t *run);
/* Tail of a service as a share of its target. */
double jr_loads_ratio(const jr_run_t *run);
/* Headroom of a service without fillers, soon. */
double jr_loads_alone(const jr_dispatch_t *d, const jr_run_t *service);

/* run.c: one run from its grant to its end. */
jr_run_t *jr_run_new(jr_dispatch_t *d, jr_job_task_t *task,
                     jr_lead_worker_t *w, jr_run_state_t state);
void jr_run_free(jr_dispatch_t *d, jr_run_t *run);
void jr_run_set_due(jr_dispatch_t *d, jr_run_t *run);
void jr_run_stop(jr_dispatch_t *d, jr_run_t *run);
/* Let a filler work at this percentage of its full pace. */
void jr_run_set_pace(jr_dispatch_t *d, jr_run_t *run, uint32_t percent);
/* The run is over, without an end that the worker listed. */
void jr_run_release(jr_dispatch_t *d, jr_run_t *run, const char *why);
bool jr_run_order(jr_dispatch_t *d, jr_run_t *run, jr_order_t *order);
void jr_run_answer(jr_dispatch_t *d, jr_run_t *run, jr_order_kind_t kind,
                   const jr_answer_t *answer);
void jr_run_name(const jr_run_t *run, Jr__JobRun *to);
const char *jr_run_text(const jr_run_t *run, char *room, size_t size);

/* schedule.c: which task next, and where. */
void jr_schedule(jr_dispatch_t *d);
/* reserve.c: workers that services leave to short tasks, and room that short
 * tasks leave to services that have waited for long. */
void jr_reserve_update(jr_dispatch_t *d);
void jr_reserve_for_services(jr_dispatch_t *d);
/* How long a service has waited; one that ran before is let in sooner. */
int64_t jr_reserve_waited(const jr_dispatch_t *d, const jr_job_task_t *task);

/* choose.c: the best worker for a task now, or NULL. */
jr_lead_worker_t *jr_choose_worker(jr_dispatch_t *d, const jr_job_task_t *task,
                                   const jr_need_t *need);
/* Has the job waited for so long, with room about, that it may disturb? */
bool jr_choose_is_relaxed(const jr_dispatch_t *d, const jr_job_t *job);
void jr_need_of(const Jr__JobStep *step, jr_need_t *need);
bool jr_need_fits(const jr_need_t *need, const jr_lead_worker_t *w);
/* Would the task fit if only services were there? */
bool jr_need_fits_services(const jr_need_t *need, const jr_lead_worker_t *w);
void jr_need_add(jr_need_t *a, const jr_need_t *b, int sign);
/* Do the rules of the step let the task run there, room apart? */
bool jr_may_run_there(const jr_lead_worker_t *w, const jr_job_task_t *task);

/* Has something changed, and is it time to look for workers again? */
bool jr_dispatch_is_pass_due(const jr_dispatch_t *d);

/* command.c: commands for the log. */
void jr_queue_command(jr_dispatch_t *d, Jr__JobCommand *command);

enum {
    JR_RUN_TEXT_BYTES = 80,
    JR_ANSWER_TIMEOUT_MS = 600, /* of an order that does not wait */
    JR_RETRY_MS = 250,
    JR_LATE_ORDER_MS = 15000, /* a lost order may be carried out this late */
    JR_PACE_WHOLE = 100,
    JR_PACE_UNKNOWN = 101, /* an earlier leader may have set it */
};

#endif
