/**
 * DOC: ledger - the replicated state of all tasks of one group
 *
 * The ledger is a pure function of the commands applied to it. A task is
 * queued, leased to one worker under an epoch, and ended once. The epoch
 * grows with every grant; a report that names another epoch changes
 * nothing. The ledger also holds the claims of idempotency keys of calls
 * together with the answer that the first request got.
 *
 * State machine of a task (every other transition is refused):
 *
 *   QUEUED --grant--> LEASED --report finished--> FINISHED
 *     |                 |------report failed----> QUEUED, later FAILED
 *     |                 |------report stopped---> QUEUED or CANCELLED
 *     |                 |------expire-----------> QUEUED or CANCELLED
 *     |--cancel--> CANCELLED          (LEASED + cancel: asked to stop)
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
    JR_ANSWER_KEPT_MAX_BYTES = 256 * 1024,
    JR_TASK_FAILURES_MAX = 5,
    JR_RETENTION_MS = 24 * 3600 * 1000, /* of ended tasks and keys */
};

/** struct jr_resources_t - amounts of what a host has or a task needs */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} jr_resources_t;

/** enum jr_task_state_t - numbers as in the messages and the log */
typedef enum {
    JR_TASK_QUEUED = 0,
    JR_TASK_LEASED = 1,
    JR_TASK_FINISHED = 2,
    JR_TASK_FAILED = 3,
    JR_TASK_CANCELLED = 4,
    JR_TASK_IMPOSSIBLE = 5,
    JR_TASK_STATES
} jr_task_state_t;

/** enum jr_report_kind_t - what a worker says of a run */
typedef enum {
    JR_REPORT_CHECKPOINT = 0,
    JR_REPORT_STOPPED = 1,
    JR_REPORT_FINISHED = 2,
    JR_REPORT_FAILED = 3,
} jr_report_kind_t;

/** struct jr_task_spec_t - what was asked for; strings are borrowed */
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
 * struct jr_task_soft_t - what the current leader knows of a task besides
 * @generation: of the leadership that it belongs to; else it is void
 * @used: measured use
 * @expected: what it is reckoned to use until measurements are in
 * @expected_until: when they are
 * @checkpoint_at: when its last checkpoint was seen
 * @reported_at: when a report about it was last proposed
 * @granting_to: worker of a grant that is proposed and not applied
 * @is_expiring: its expiry is proposed
 * @is_evicting: the worker is asked to stop it
 * @is_throttled: the worker is asked to run it slower
 * @is_ending: its end is proposed
 * @seen_round: heartbeat that last named it
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
} jr_task_soft_t;

/**
 * struct jr_task_t - a task; owned by the ledger
 * @epoch: of the newest grant, 0 before the first
 * @worker: holder of the lease, NULL unless leased
 * @measured: the most that a run which ended was seen to use
 * @soft: not replicated; see jr_task_soft_t
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
    jr_task_soft_t soft;
    TAILQ_ENTRY(jr_task) link; /* of its class's queue, or the ended list */
    TAILQ_ENTRY(jr_task) on_worker;
    UT_hash_handle hh;
    UT_hash_handle hh_key;
} jr_task_t;

TAILQ_HEAD(jr_task_list, jr_task);
typedef struct jr_task_list jr_task_list_t;

/**
 * struct jr_class_queue_t - queued tasks of one class, oldest first
 * @leased: declared needs of its leased tasks
 * @generation: of the leadership that the next fields belong to
 * @granting: needs of its tasks whose grant is proposed and not applied
 * @use_ratio: moving average of measured over declared processors
 * @cursor: where the current round of placement goes on
 * @is_skipped: nothing of it can start in this round
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

/** struct jr_holding_t - the tasks leased to one worker */
typedef struct {
    char *worker;
    jr_task_list_t tasks;
    uint64_t n;
    UT_hash_handle hh;
} jr_holding_t;

/**
 * struct jr_team_use_t - what one team has in this group
 * @n_open: its queued and leased tasks
 * @leased: declared needs of the leased ones
 * @generation: of the leadership that @granting belongs to
 * @granting: needs of its tasks whose grant is proposed and not applied
 */
typedef struct {
    char *team;
    uint64_t n_open;
    jr_resources_t leased;
    uint64_t generation;
    jr_resources_t granting;
    UT_hash_handle hh;
} jr_team_use_t;

/** struct jr_claim_t - a claimed idempotency key of a call */
typedef struct jr_claim {
    char *key;
    uint64_t body_hash;
    char *request; /* id of the request that claimed it */
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
 * @code: JR_OK or why nothing changed
 * @task, @claim: what the command was about, after it, or NULL; borrowed
 *               until the next command
 */
typedef struct {
    jr_result_t code;
    const jr_task_t *task;
    const jr_claim_t *claim;
} jr_ledger_result_t;

typedef struct jr_ledger jr_ledger_t;

/** jr_new_ledger - an empty ledger of a group; ids carry the group */
jr_ledger_t *jr_new_ledger(jr_ctx_t *ctx, uint32_t group);

/** jr_drop_ledger - free a ledger; NULL is accepted */
void jr_drop_ledger(jr_ledger_t *ledger);

/** jr_ledger_apply - apply a packed LedgerCommand */
jr_ledger_result_t jr_ledger_apply(jr_ledger_t *ledger, const uint8_t *bytes,
                                   size_t len);

/** jr_ledger_save - packed state; owned by the caller (jr_free()) */
uint8_t *jr_ledger_save(jr_ledger_t *ledger, size_t *len);

/** jr_ledger_load - replace the state; false when it is not valid */
bool jr_ledger_load(jr_ledger_t *ledger, const uint8_t *bytes, size_t len);

/** jr_ledger_task - a task by id, or NULL */
jr_task_t *jr_ledger_task(jr_ledger_t *ledger, uint64_t id);

/** jr_ledger_find_key - a task by its idempotency key, or NULL */
jr_task_t *jr_ledger_find_key(jr_ledger_t *ledger, const char *key);

/** jr_ledger_classes - head of the class queues, for HASH_ITER */
jr_class_queue_t *jr_ledger_classes(jr_ledger_t *ledger);

/** jr_ledger_holdings - head of the workers with leased tasks */
jr_holding_t *jr_ledger_holdings(jr_ledger_t *ledger);

/** jr_ledger_holding - the tasks leased to a worker, or NULL for none */
jr_holding_t *jr_ledger_holding(jr_ledger_t *ledger, const char *worker);

/** jr_ledger_team - what a team has, or NULL for nothing */
jr_team_use_t *jr_ledger_team(jr_ledger_t *ledger, const char *team);

/** jr_ledger_count - number of tasks in a state */
uint64_t jr_ledger_count(const jr_ledger_t *ledger, jr_task_state_t state);

/** jr_task_size - what a task is reckoned to need: declared or measured */
jr_resources_t jr_task_size(const jr_task_t *task);

/** jr_task_group - the group that a task id belongs to */
uint32_t jr_task_group(uint64_t id);

/** jr_task_state_name - "queued" and so on; never NULL */
const char *jr_task_state_name(jr_task_state_t state);

/** jr_resources_add - add @n times @b to @a */
void jr_resources_add(jr_resources_t *a, const jr_resources_t *b, int n);

/** jr_resources_fit - does @need fit into @room? */
bool jr_resources_fit(const jr_resources_t *need, const jr_resources_t *room);

/** jr_resources_max - the larger of each amount */
jr_resources_t jr_resources_max(const jr_resources_t *a,
                                const jr_resources_t *b);

#endif
