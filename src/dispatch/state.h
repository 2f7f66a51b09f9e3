/*
 * Private to src/dispatch: what a leader knows of runs, workers and orders.
 * None of it is replicated.
 */
#ifndef JR_DISPATCH_STATE_H
#define JR_DISPATCH_STATE_H

#include <glib.h>

#include "jayrelay/demand.h"
#include "jayrelay/dispatch.h"
#include "jayrelay/quality.h"
#include "jayrelay/tail.h"

enum {
    JR_RUN_TEXT_BYTES = 80,
    /*
     * Short tasks come before services up to this part of all processors;
     * beyond it, services that have waited come first.
     */
    JR_SHORT_SHARE_PERMILLE = 250,
    JR_SHORT_SHARE_IN_TURNS_PERMILLE = 125, /* while services take turns */
    JR_URGENT_PRIORITY = 0,
    /*
     * After this multiple of its allowed time, a job's result is of little
     * use.
     */
    JR_LATE_FACTOR = 3,
    JR_LAPSE_MARGIN_MS = 50,    /* after the end of a lease */
    JR_ANSWER_TIMEOUT_MS = 600, /* of an order that does not wait */
    JR_RETRY_MS = 250,          /* delay before an order is sent again */
    JR_LATE_ORDER_MS =
        15000,          /* an unacknowledged order may arrive this late */
    JR_PACE_FULL = 100, /* percent */
    /*
     * Not a percentage: an earlier leader may have set the pace, or the
     * outcome of the order is unknown.
     */
    JR_PACE_UNKNOWN = 101,
};

typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} jr_need_t;

/*
 * Capacity for a number of tasks. Of urgent ones, which may run on the same
 * workers: @example is one of them.
 */
typedef struct {
    size_t n;
    int64_t cpu_milli;
    int64_t memory_mb;
    const jr_job_task_t *example;
} jr_demand_sum_t;

typedef enum {
    JR_RUN_PROPOSED,    /* the grant is not in the log yet */
    JR_RUN_STARTING,    /* the start is not acknowledged yet */
    JR_RUN_RUNNING,     /* the worker confirmed that it runs */
    JR_RUN_STOPPING,    /* a stop was ordered */
    JR_RUN_UNCONFIRMED, /* the worker's next list shows whether it runs */
    JR_RUN_RELEASING,   /* known to have ended; the release is proposed */
} jr_run_state_t;

/* Starts by what a delay costs: while they wait, the first goes first. */
typedef enum {
    JR_START_SHORT,
    JR_START_SERVICE,
    JR_START_BEST_EFFORT,
    JR_START_CLASSES,
} jr_start_class_t;

typedef struct jr_tracked_worker jr_tracked_worker_t;

/*
 * The services of one image on a worker: the headroom that the model predicts
 * for the task with the least, shortly from now and at the peak of its own
 * load.
 */
typedef struct {
    jr_image_t image;
    double headroom;
    double min_headroom;
} jr_worker_tail_t;

TAILQ_HEAD(jr_run_list, jr_run);

/* A granted task; leader-local state, not replicated. */
typedef struct jr_run {
    TAILQ_ENTRY(jr_run) link;     /* in the runs of its worker */
    TAILQ_ENTRY(jr_run) due_link; /* in the runs with an order due */
    jr_job_task_t *task;
    jr_tracked_worker_t *worker;
    jr_run_state_t state;
    uint32_t attempt;
    jr_image_t image;
    int64_t incarnation; /* of the worker that it was granted to */
    jr_need_t need;
    struct jr_run_list *due_in; /* list of due orders, NULL: none is due */
    bool is_outcome_unknown;    /* a start order may still be executed */
    bool is_unreached;          /* a later start order was not sent */
    bool is_start_pending;      /* a start order has no answer yet */
    int64_t late_start_until;   /* one may be executed until then, 0: none */
    bool is_placed; /* its worker's incarnation is known to have begun it */
    /*
     * While it is not placed: an incarnation that is not known may have begun
     * it, and get orders until then that extend its lease; 0: no.
     */
    int64_t unplaced_until;
    int64_t withheld_at; /* its start, for lack of capacity; 0: not */
    bool is_inherited;   /* granted by an earlier leader */
    bool is_absent;      /* from the worker's list; its end is not there */
    /* Its worker fell silent before it restarted; 0: not, or listed since. */
    int64_t silent_since;
    bool is_suspect;    /* a worker crashed under an earlier run */
    uint64_t listed_in; /* latest renewal whose answer names its task */
    bool is_settled;    /* said so to the log, see jr_job_task_t */
    bool is_end_listed; /* its end is on the way to the log */
    bool is_stop_wanted;
    uint64_t serial;      /* of the pending order, 0 for none */
    int64_t expires_ms;   /* lease of its first start, on the worker's clock */
    int64_t try_at;       /* no order is sent before this time */
    uint32_t tries;       /* start and stop orders sent */
    int64_t confirmed_at; /* when it was known to run, 0: never */
    int64_t stop_acked_at;
    uint32_t percent;   /* listed progress; 100 for a service that is ready */
    int64_t percent_at; /* when percent last changed */
    /*
     * As listed: the tail latency of a service in ms, or the processors in
     * use by a best-effort task in thousandths.
     */
    uint32_t gauge;
    double tail_error;    /* mean of predicted less measured headroom */
    uint32_t pace;        /* confirmed by the worker, or JR_PACE_UNKNOWN */
    uint32_t pace_sent;   /* in the pending order */
    uint32_t pace_wanted; /* percent of its full pace */
    int64_t pace_unknown_until; /* an earlier pace order may still arrive */
    int64_t slowed_ms;          /* time lost by running below full pace */
    int64_t granted_at;
    int64_t ordered_at;       /* when its first start was sent, 0: not yet */
    int64_t crashed_after_ms; /* age when its worker crashed, 0: it did not */
    int64_t lapsed_after_ms;  /* the same when its lease lapsed */
    char *checkpoint;         /* the latest that the worker listed */
    /* From when on its speed is measured, 0: never; and its progress then. */
    int64_t speed_from_at;
    uint32_t speed_from_percent;
    bool is_speed_noted;
} jr_run_t;

/* A run under which its worker crashed, or may have. */
typedef struct {
    Jr__JobRun name;
    int64_t after_ms; /* from its start; 0: the worker had not crashed */
} jr_crashed_run_t;

/* A worker; leader-local state, not replicated. */
struct jr_tracked_worker {
    TAILQ_ENTRY(jr_tracked_worker) link;
    TAILQ_ENTRY(jr_tracked_worker) look_link;
    bool is_to_look_at; /* in the list of those that may have an order */
    jr_job_worker_t *worker;
    struct jr_window *window;
    int64_t incarnation; /* that the fields below refer to */
    jr_need_t used;
    int64_t best_effort_milli; /* processors wanted by best-effort tasks */
    jr_need_t services;        /* the part of used taken by services */
    jr_need_t reserved;        /* for services that wait for capacity */
    jr_need_t claimed;         /* the part of it that claims hold */
    jr_need_t staying; /* as services, without those that are about to end */
    TAILQ_HEAD(, jr_claim) claims; /* see claim.h */
    uint32_t n_services;
    uint32_t n_ending;       /* runs of which jr_run_is_ending() */
    uint32_t n_targets;      /* services with a target of their tail latency */
    jr_image_t target_image; /* of all of these, unless they are mixed */
    bool is_mixed;           /* of more than one image since there was none */
    uint32_t n_suspects;     /* runs of tasks under which a worker crashed */
    struct jr_run_list runs;

    int64_t clock_ms; /* lower bound of the worker's clock at clock_at */
    int64_t clock_at;
    int64_t expires_max_ms;  /* latest end of its leases, on its clock */
    int64_t inherited_until; /* leases of earlier leaders end before this */
    /* The log, or this leader, heard of a restart; 0: of none. */
    int64_t restarted_at;
    /* Leases by the clock of an earlier incarnation end before this. */
    int64_t stale_leases_until;
    uint64_t fence_epoch; /* rises with each of its incarnations */
    bool is_synced;       /* has listed its runs to this leader */
    bool has_restarted;   /* this leader saw its incarnation begin */
    bool has_ended;       /* its incarnation has ended */
    /*
     * The check-in of a later incarnation, which the worker is asked about;
     * owned, NULL: none.
     */
    Jr__JobWorker *restart_info;
    bool is_leaving;
    bool is_draining;   /* its incarnation, as the log said last */
    int64_t left_at;    /* when it said that it leaves, 0: never */
    int64_t crashed_at; /* when its latest crash was noticed, 0: never */
    /*
     * When the first order since the latest answered renewal was found
     * unacknowledged; 0: none.
     */
    int64_t suspect_at;
    int64_t tracked_at;  /* when this leader first knew of it */
    int64_t answered_at; /* when the last answered renewal was sent */
    int64_t checked_in_at;
    uint64_t sequence; /* of its latest check-in, 0: not known */

    uint64_t renewal_serial;
    int64_t renewal_expires_ms; /* lease end in the pending renewal, or 0 */
    int64_t renewed_until_ms;   /* lease end that the worker confirmed, or 0 */
    bool is_lease_held;         /* between the last two answers, for certain */
    int64_t renewal_at;         /* when the next one is due */
    int64_t renewal_backoff_ms; /* 0: the latest one was answered */
    bool is_renewal_late;       /* the pending one, as this leader was slow */
    bool is_end_pending;        /* ends are proposed, but not in the log yet */
    uint64_t ends_proposed;     /* while ends are pending: up to this number */
    /*
     * Runs (jr_crashed_run_t) whose lease lapsed: if the worker comes back as
     * another incarnation, it had crashed.
     */
    GArray *lapsed;
    GArray *orphans;        /* orphan runs (Jr__JobRun) to stop */
    GArray *listed_orphans; /* in its latest list (Jr__JobRun) */

    uint32_t failure_streak; /* failures in a row, without repeats of a job */
    uint64_t streak_job;     /* job of the latest failure in the streak */
    int64_t failed_at;
    int64_t quarantined_until;
    int64_t quarantine_ms;
    int64_t backoff_until; /* it refused a start for lack of capacity */

    jr_quality_record_t quality;
    jr_quality_verdict_t verdict; /* as of the latest pass */
    int64_t logged_cold_until;    /* as in the log, wall clock */
    bool is_slow;                 /* as logged last */
    bool is_failing;
    bool is_cold;

    uint32_t place[2];        /* in the lists of jr_places_t */
    uint32_t rank;            /* hash of its id, so equal on all leaders */
    bool is_usable;           /* as of the latest pass */
    int64_t service_delay_ms; /* services wait this long before they may
                                 use what is reserved for short tasks */
    /* Least free processors in the present and in the previous window. */
    int64_t spare_milli[2];
    int64_t spare_at;   /* when the present window began */
    bool is_load_stale; /* loads and tails must be recomputed */
    int64_t loads_at;
    jr_tail_load_t loads[JR_TAIL_LOADS_MAX]; /* at the paces wanted */
    size_t n_loads;
    int64_t guarded_at;           /* when paces were planned last */
    int64_t over_target_since;    /* a service exceeds its target, or 0 */
    int64_t interference_since;   /* the same, beside best-effort tasks */
    int64_t no_best_effort_until; /* best-effort tasks were evicted */
    int64_t slowed_counted_at;    /* when slowed_ms was last updated */
    bool has_slowed;              /* best-effort tasks that should move */
    jr_worker_tail_t tails[JR_TAIL_LOADS_MAX];
    size_t n_tails;
    /*
     * Of each image, the fewest processors with which a best-effort task was
     * found to leave services too little headroom; 0: none was. Valid as long
     * as the loads.
     */
    uint32_t refused_milli[JR_TAIL_IMAGES_MAX];
};

TAILQ_HEAD(jr_tracked_worker_list, jr_tracked_worker);

/*
 * Starts and paces for the workers of an availability zone: how many have no
 * answer yet, and those that are due.
 */
typedef struct jr_window {
    TAILQ_ENTRY(jr_window) link;
    char *zone;
    size_t n_open;
    struct jr_run_list starts[JR_START_CLASSES];
    struct jr_run_list paces;
} jr_window_t;

/* An order that has no answer yet. */
typedef struct {
    uint64_t serial;
    jr_order_kind_t kind;
    jr_tracked_worker_t *worker;
    int64_t incarnation; /* of the worker, as known when it was sent */
    jr_run_t *run;       /* NULL for renewals, or when the run was removed */
    jr_window_t *window; /* that counts it, or NULL */
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
    int64_t lease_ms;        /* of leases that it gives as the leader */
    int64_t wanted_lease_ms; /* by its options */
    int64_t led_at;          /* when it became the leader */
    bool has_inherited;      /* workers to which others may have given any */
    bool is_limit_proposed;  /* the limit that it wants, for the log */
    jr_jobs_t *jobs;
    jr_tails_t *tails;
    jr_quality_t *quality;
    bool has_set_back; /* usable workers that are slow or cold */
    bool is_leading;
    uint64_t fence;
    uint64_t fence_epoch; /* of the latest restart or removal of a worker */
    int64_t removed_at;   /* when a worker was removed last, 0: never */
    int64_t now;
    int64_t wall_ms; /* as of the latest tick; 0: none since the election */
    int64_t ticked_at;
    int64_t paused_at; /* when it was found to have been paused; 0: never */
    uint64_t next_serial;
    bool is_dirty; /* a scheduling pass may place tasks */
    int64_t scheduled_at;
    jr_demand_t short_demand; /* processors for short tasks, thousandths */
    jr_demand_sum_t short_waiting; /* before the latest pass */
    int64_t lost_updated_at;       /* when preempted_cpu_ms was updated */
    double preempted_cpu_ms;       /* of one processor, decaying */
    /* Of the recent peak of short tasks; see jr_reserve_left_for_services().
     */
    int64_t left_for_services;
    bool has_short_tasks; /* running, or waiting */
    bool is_mostly_idle;  /* more than half of the processors are free */
    struct jr_tracked_worker_list workers; /* by rank */
    /* Those that may have an order due since they were looked at. */
    TAILQ_HEAD(, jr_tracked_worker) to_look_at;
    uint64_t n_orders; /* that were asked for */
    struct jr_run_list due_stops;
    size_t n_listed_orphans; /* of all workers */
    jr_sent_t *sent;
    TAILQ_HEAD(, jr_window) windows; /* first the next to get an order */
    STAILQ_HEAD(, jr_queued_command) commands;
    GPtrArray *releases; /* of runs */
    GArray *begun;       /* ids of jobs, see jr_begun_note() */
    int64_t begun_at;    /* when the first of them was noted */
    /*
     * Runs (jr_crashed_run_t) that were released before it was known whether
     * their worker had crashed.
     */
    GArray *crashes;
    GPtrArray *proposed;           /* runs whose grant is to be proposed */
    TAILQ_HEAD(, jr_claim) claims; /* see claim.h */
    size_t n_unclaimed; /* services without a place that a worker could take */
    GPtrArray *givers;  /* of a pass: services that may give their place */
    bool has_givers;    /* are they listed yet? */
    struct jr_backlog *backlog;
    struct jr_places *places; /* of the present pass, else empty */
    struct jr_shapes *shapes; /* the same */
    /* Tasks and workers looked at in the latest pass, by its tasks. */
    int64_t pass_looks;
    int64_t best_effort_looks;  /* the same, for best-effort tasks */
    int64_t refused_looks;      /* at what was known to refuse these */
    int64_t best_effort_due_at; /* these wait until then */
    bool is_best_effort_turn;   /* in the present pass */
    int64_t room_looks;         /* at runs that may give way, last */
    int64_t room_due_at;        /* none is looked at until then */
    int64_t waits_reported_at;  /* see jr_waits_report() */
};

#endif
