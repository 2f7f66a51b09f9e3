/* Internals of the coordinator. */
#ifndef JR_COORD_COORD_H
#define JR_COORD_COORD_H

#include "jayrelay/coord.h"

typedef enum {
    JR_PROPOSE_GRANT,
    JR_PROPOSE_EXPIRE,
    JR_PROPOSE_REPORT,
    JR_PROPOSE_IMPOSSIBLE,
} jr_propose_kind_t;

/* A command queued for proposal; owns its strings. */
typedef struct jr_proposal {
    STAILQ_ENTRY(jr_proposal) link;
    jr_propose_kind_t kind;
    uint64_t task;
    uint64_t epoch;
    jr_report_kind_t report;
    char *text; /* worker, result or reason */
    char *checkpoint;
    jr_resources_t used;
} jr_proposal_t;

/* Storage of the command returned by jr_coord_take_command(). */
typedef struct {
    Jr__LedgerCommand command;
    Jr__Resources used;
    union {
        Jr__Grant grant;
        Jr__Expire expire;
        Jr__Report report;
        Jr__Impossible impossible;
    } as;
} jr_command_buf_t;

struct jr_coord {
    jr_ctx_t *ctx;
    jr_coord_options_t options;
    jr_ledger_t *ledger;
    jr_lease_table_t *table;
    jr_rules_t *rules;
    jr_interference_t *model;
    GRand *rng;
    bool is_leading;
    uint64_t generation; /* counts the leaderships of this replica */
    uint64_t round;      /* number of the current heartbeat */
    int64_t elected_at;
    int64_t impossible_check_at;
    STAILQ_HEAD(, jr_proposal) proposals;
    jr_proposal_t *taken; /* returned last; freed by the next take */
    jr_command_buf_t command_buf;
};

/* Queue a command for proposal; takes ownership of its strings. */
void jr_coord_propose(jr_coord_t *coord, jr_proposal_t *proposal);
/* Leader-local state of a task; reset if it is from an earlier leadership. */
jr_task_local_t *jr_coord_task_local(const jr_coord_t *coord, jr_task_t *task);
/* Expected resource use of a task on a worker. */
jr_resources_t jr_coord_expected_size(const jr_coord_t *coord,
                                      const jr_task_t *task);
/* Learn from a heartbeat and keep service slowdown below its limit. */
void jr_coord_guard(jr_coord_t *coord, jr_worker_t *worker,
                    const jr_worker_leases_t *leases, int64_t now);
/* Ask a worker to stop a task to free capacity on its host. */
void jr_coord_evict(jr_coord_t *coord, jr_task_t *task,
                    const jr_worker_t *worker);
/* True when no tasks are leased to the worker and no grants are pending. */
bool jr_coord_is_idle(const jr_coord_t *coord, const jr_worker_t *worker);

#endif
