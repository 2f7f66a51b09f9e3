/**
 * DOC: ledger - the replicated state of all tasks of one group
 *
 * The state depends only on the commands applied, so all replicas agree. A
 * task is queued, leased to one worker under an epoch, and ends exactly once.
 * The epoch increases with every grant; a report with another epoch is
 * refused. The ledger also stores the idempotency keys claimed by calls,
 * together with the answer to the first request.
 *
 * State machine of a task (every other transition is refused):
 *
 *   QUEUED --grant--> LEASED --report finished--> FINISHED
 *     |                 |------report failed----> QUEUED, later FAILED
 *     |                 |------report stopped---> QUEUED or CANCELLED
 *     |                 |------expire-----------> QUEUED or CANCELLED
 *     |--cancel--> CANCELLED     (when LEASED, cancel only sets a flag)
 *     |--impossible--> IMPOSSIBLE
 */
#ifndef JAYRELAY_LEDGER_H
#define JAYRELAY_LEDGER_H

#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/ctx.h"

enum {
    JR_KEY_BYTES = 128, /* longest idempotency key, with its NUL */
    JR_PAYLOAD_MAX_BYTES = 64 * 1024,
    JR_CHECKPOINT_MAX_BYTES = 4096,
    JR_ANSWER_KEPT_MAX_BYTES = 256 * 1024, /* stored with a claimed key */
    JR_TASK_FAILURES_MAX = 5, /* at this many failed runs a task fails */
    JR_RETENTION_MS = 24 * 3600 * 1000, /* of ended tasks, claimed keys */
};

/** struct jr_resources_t - capacity of a host or requirement of a task */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} jr_resources_t;

/** enum jr_task_state_t - state of a task; values as in ledger.proto */
typedef enum {
    JR_TASK_QUEUED = 0,
    JR_TASK_LEASED = 1,
    JR_TASK_FINISHED = 2,
    JR_TASK_FAILED = 3,
    JR_TASK_CANCELLED = 4,
    JR_TASK_IMPOSSIBLE = 5,
    JR_TASK_STATES
} jr_task_state_t;

/** enum jr_report_kind_t - event of a run that a worker reports */
typedef enum {
    JR_REPORT_CHECKPOINT = 0,
    JR_REPORT_STOPPED = 1,
    JR_REPORT_FINISHED = 2,
    JR_REPORT_FAILED = 3,
} jr_report_kind_t;

/** struct jr_task_spec_t - submitted specification; strings are borrowed */
typedef struct {
    const char *team;
    const char *class_name;
    const char *key;
    const char *payload;
    jr_resources_t need;
    int64_t run_ms;
} jr_task_spec_t;

struct jr_worker;

/**
 * struct jr_task_local_t - leader-local state of a task; not replicated
 * @generation: leadership generation that wrote it; the other fields are
 *              invalid under any other generation
 * @used: measured usage
 * @expected: estimated usage while there are no measurements yet
 * @expected_until: when measurements are available
 * @checkpoint_at: when its latest checkpoint was received
 * @reported_at: when a report about it was last proposed
 * @granting_to: worker of a proposed grant that is not yet applied, or NULL
 * @is_expiring: the expiry of its lease is proposed
 * @is_evicting: the worker has been told to stop it
 * @is_throttled: the worker has been told to run it slower
 * @is_ending: its end is proposed
 * @seen_round: number of the latest heartbeat that listed it
 */
typedef struct {
    uint64_t generation;
    jr_resources_t used;
    jr_resources_t expected;
    int64_t expected_until;
    int64_t checkpoint_at;
    int64_t reported_at;
    struct jr_worker *granting_to;
    bool is_expiring;
    bool is_evicting;
    bool is_throttled;
    bool is_ending;
    uint64_t seen_round;
} jr_task_local_t;

/**
 * struct jr_task_t - a task; owned by the ledger
 * @epoch: epoch of the latest grant, 0 before the first
 * @worker: holder of the lease, NULL unless leased
 * @measured: peak usage that workers have reported, over all runs
 * @local: leader-local state; not replicated
 */
typedef struct jr_task {
    uint64_t id;
    jr_task_spec_t spec;
    uint64_t spec_hash;
    jr_task_state_t state;
    uint64_t epoch;
    jr_resources_t measured;
    char *worker;
    char *checkpoint;
    char *result;
    bool cancel_asked;
    uint32_t starts;
    uint32_t failures;
    int64_t submitted_at;
    int64_t ended_at;
    jr_task_local_t local;
    TAILQ_ENTRY(jr_task) link; /* in its class queue or the ended list */
    TAILQ_ENTRY(jr_task) on_worker;
    UT_hash_handle hh;
    UT_hash_handle hh_key;
} jr_task_t;

TAILQ_HEAD(jr_task_list, jr_task);
typedef struct jr_task_list jr_task_list_t;

/**
 * struct jr_class_queue_t - queued tasks of one class, oldest first
 * @n: number of queued tasks
 * @leased: sum of the declared needs of its leased tasks
 * @generation: leadership generation that wrote the following fields
 * @granting: sum of the needs of its tasks with a proposed grant that is
 *            not yet applied
 * @use_ratio: measured processor use of its tasks, as a share of what they
 *             declare; a moving average
 * @cursor: task at which the current placement round continues
 * @is_skipped: none of its tasks can start in the current placement round
 */
typedef struct {
    char *name;
    jr_task_list_t tasks;
    uint64_t n;
    jr_resources_t leased;
    uint64_t generation;
    jr_resources_t granting;
    double use_ratio;
    jr_task_t *cursor;
    bool is_skipped;
    UT_hash_handle hh;
} jr_class_queue_t;

/** struct jr_worker_leases_t - the tasks leased to one worker */
typedef struct {
    char *worker;
    jr_task_list_t tasks;
    uint64_t n;
    UT_hash_handle hh;
} jr_worker_leases_t;

/**
 * struct jr_team_use_t - usage of one team in this group
 * @n_open: number of its queued and leased tasks
 * @leased: sum of the declared needs of its leased tasks
 * @generation: leadership generation that wrote @granting
 * @granting: sum of the needs of its tasks with a proposed grant that is
 *            not yet applied
 */
typedef struct {
    char *team;
    uint64_t n_open;
    jr_resources_t leased;
    uint64_t generation;
    jr_resources_t granting;
    UT_hash_handle hh;
} jr_team_use_t;

/**
 * struct jr_claim_t - an idempotency key claimed by a call
 * @body_hash: hash of the request body; a reuse of the key must match it
 * @request: id of the request that claimed the key
 * @is_done: @status, @body and @len hold the answer
 * @at: when the key was claimed
 */
typedef struct jr_claim {
    char *key;
    uint64_t body_hash;
    char *request;
    bool is_done;
    uint32_t status;
    uint8_t *body;
    size_t len;
    int64_t at;
    TAILQ_ENTRY(jr_claim) link;
    UT_hash_handle hh;
} jr_claim_t;

/**
 * struct jr_ledger_result_t - outcome of a command
 * @code: JR_OK, or the reason why the command was refused
 * @task, @claim: the object of the command, with the command applied, or
 *                NULL; borrowed until the next command
 */
typedef struct {
    jr_result_t code;
    const jr_task_t *task;
    const jr_claim_t *claim;
} jr_ledger_result_t;

typedef struct jr_ledger jr_ledger_t;

/** jr_new_ledger - create an empty ledger; task ids contain @group */
jr_ledger_t *jr_new_ledger(jr_ctx_t *ctx, uint32_t group);

/** jr_drop_ledger - free a ledger; NULL is accepted */
void jr_drop_ledger(jr_ledger_t *ledger);

/** jr_ledger_apply - apply a packed LedgerCommand */
jr_ledger_result_t jr_ledger_apply(jr_ledger_t *ledger, const uint8_t *bytes,
                                   size_t len);

/** jr_ledger_save - pack the state; free it with jr_free() */
uint8_t *jr_ledger_save(jr_ledger_t *ledger, size_t *len);

/** jr_ledger_load - replace the state; if invalid, false and no change */
bool jr_ledger_load(jr_ledger_t *ledger, const uint8_t *bytes, size_t len);

/** jr_ledger_task - find a task by id; NULL if unknown */
jr_task_t *jr_ledger_task(jr_ledger_t *ledger, uint64_t id);

/** jr_ledger_find_key - find a task by idempotency key; NULL if unknown */
jr_task_t *jr_ledger_find_key(jr_ledger_t *ledger, const char *key);

/** jr_ledger_classes - table of class queues, for HASH_ITER */
jr_class_queue_t *jr_ledger_classes(jr_ledger_t *ledger);

/** jr_ledger_all_leases - table of workers with leases, for HASH_ITER */
jr_worker_leases_t *jr_ledger_all_leases(jr_ledger_t *ledger);

/** jr_ledger_worker_leases - tasks leased to a worker; NULL if none */
jr_worker_leases_t *jr_ledger_worker_leases(jr_ledger_t *ledger,
                                            const char *worker);

/** jr_ledger_team - usage of a team; NULL without queued or leased tasks */
jr_team_use_t *jr_ledger_team(jr_ledger_t *ledger, const char *team);

/** jr_ledger_count - number of tasks in a state */
uint64_t jr_ledger_count(const jr_ledger_t *ledger, jr_task_state_t state);

/** jr_task_size - larger of the declared need and the measured usage */
jr_resources_t jr_task_size(const jr_task_t *task);

/** jr_task_group - group that a task id belongs to */
uint32_t jr_task_group(uint64_t id);

/** jr_task_state_name - name of a state, such as "queued"; never NULL */
const char *jr_task_state_name(jr_task_state_t state);

/** jr_resources_add - add @n times @b to @a */
void jr_resources_add(jr_resources_t *a, const jr_resources_t *b, int n);

/** jr_resources_fit - whether @need is within the @available resources */
bool jr_resources_fit(const jr_resources_t *need,
                      const jr_resources_t *available);

/** jr_resources_max - the larger of each amount */
jr_resources_t jr_resources_max(const jr_resources_t *a,
                                const jr_resources_t *b);

#endif
