/*
 * What the module intake needs to know: accepted work that is not done, and
 * the processors that it can get. It is summed anew after a scheduling pass,
 * when a job asks; jobs accepted since then are added to the sums.
 */
#include "dispatch.h"

#include "jayrelay/intake.h"

enum {
    REFRESH_GAP_MS = 50, /* minimum gap between two sums */
    /* A new leader first learns which workers answer. */
    NO_REFUSALS_AFTER_ELECTION_MS = 5000,
    /* Workers that answered within this time may well come back. */
    RECENT_ANSWER_MS = 5000,
    /*
     * Work of a job counts until this multiple of its allowed time, also once
     * it is of little use: it was accepted, and its processors will be needed.
     * What waits for longer is stuck.
     */
    STUCK_FACTOR = 4 * JR_LATE_FACTOR,
};

static const double SHORT_SHARE = JR_SHORT_SHARE_PERMILLE / 1000.0;

/* Largest capacity of each kind in a pool, maybe of different workers. */
typedef struct {
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
} capacity_max_t;

struct jr_backlog {
    bool is_known;
    int64_t at;           /* when it was summed */
    int64_t pass_at;      /* the latest pass before that */
    GArray *queues;       /* of jr_intake_queue_t */
    GArray *pools;        /* of jr_intake_pool_t */
    GArray *largest;      /* of capacity_max_t, by pool */
    GHashTable *by_queue; /* jr_job_queue_t to its index in @queues */
    GHashTable *by_name;  /* of a service, owned, to index of a pool */
    jr_intake_ratio_t ratios[JR_INTAKE_CLASSES];
};

jr_backlog_t *
jr_new_backlog(jr_ctx_t *ctx)
{
    jr_backlog_t *backlog = jr_alloc(ctx, sizeof *backlog);

    backlog->queues = g_array_new(FALSE, TRUE, sizeof(jr_intake_queue_t));
    backlog->pools = g_array_new(FALSE, TRUE, sizeof(jr_intake_pool_t));
    backlog->largest = g_array_new(FALSE, TRUE, sizeof(capacity_max_t));
    backlog->by_queue = g_hash_table_new(NULL, NULL);
    backlog->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return backlog;
}

void
jr_drop_backlog(jr_ctx_t *ctx, jr_backlog_t *backlog)
{
    if (backlog == NULL) {
        return;
    }
    g_array_unref(backlog->queues);
    g_array_unref(backlog->pools);
    g_array_unref(backlog->largest);
    g_hash_table_unref(backlog->by_queue);
    g_hash_table_unref(backlog->by_name);
    jr_free(ctx, backlog);
}

void
jr_backlog_clear(jr_backlog_t *backlog)
{
    backlog->is_known = false;
    g_array_set_size(backlog->queues, 0);
    g_array_set_size(backlog->pools, 0);
    g_array_set_size(backlog->largest, 0);
    g_hash_table_remove_all(backlog->by_queue);
    g_hash_table_remove_all(backlog->by_name);
}

static size_t
pool_index(jr_backlog_t *backlog, const char *service)
{
    gpointer index;

    if (!g_hash_table_lookup_extended(backlog->by_name, service, NULL,
                                      &index)) {
        index = GUINT_TO_POINTER(backlog->pools->len);
        g_hash_table_insert(backlog->by_name, g_strdup(service), index);
        g_array_set_size(backlog->pools, backlog->pools->len + 1);
        g_array_set_size(backlog->largest, backlog->pools->len);
    }
    return GPOINTER_TO_UINT(index);
}

static size_t
queue_index(jr_backlog_t *backlog, const jr_job_queue_t *queue)
{
    const Jr__JobQueue *config = queue->last_config;
    jr_intake_queue_t *added;
    gpointer index;

    if (!g_hash_table_lookup_extended(backlog->by_queue, queue, NULL,
                                      &index)) {
        index = GUINT_TO_POINTER(backlog->queues->len);
        g_hash_table_insert(backlog->by_queue, (gpointer)queue, index);
        g_array_set_size(backlog->queues, backlog->queues->len + 1);
        added = &g_array_index(backlog->queues, jr_intake_queue_t,
                               GPOINTER_TO_UINT(index));
        added->pool = pool_index(backlog, config->service);
        added->priority = config->priority;
        added->weight = 1;
    }
    return GPOINTER_TO_UINT(index);
}

static jr_intake_class_t
class_of(const Jr__JobStep *step)
{
    return step->filler ? JR_INTAKE_BEST_EFFORT : JR_INTAKE_SHORT;
}

/* A task that no worker has the capacity for keeps no other one waiting. */
static bool
fits_some_worker(const jr_backlog_t *backlog, const jr_intake_queue_t *queue,
                 const Jr__JobStep *step)
{
    const capacity_max_t *largest =
        &g_array_index(backlog->largest, capacity_max_t, queue->pool);

    return step->cpu_milli <= largest->cpu_milli &&
           step->memory_mb <= largest->memory_mb &&
           step->accelerators <= largest->accelerators;
}

/* Of tasks that run, half of the time is left on average. */
static void
add_step(jr_backlog_t *backlog, size_t index, const Jr__JobStep *step,
         uint32_t waiting, uint32_t running, int64_t due_in_ms)
{
    jr_intake_queue_t *queue =
        &g_array_index(backlog->queues, jr_intake_queue_t, index);
    jr_intake_class_t work_class = class_of(step);

    if (step->service) {
        return;
    }
    if (waiting > 0 && fits_some_worker(backlog, queue, step)) {
        jr_intake_add(queue, work_class, (double)waiting * step->cpu_milli,
                      step->estimate_ms, due_in_ms);
    }
    if (running > 0) {
        jr_intake_add(queue, work_class, (double)running * step->cpu_milli,
                      step->estimate_ms / 2, 0);
    }
}

/* It may wait for something that other tasks do not need. */
static bool
has_constraints(const Jr__JobStep *step)
{
    return step->gang || step->per_worker > 0 || *step->label != '\0';
}

/* Without an objective nothing tells how long a job may wait. */
static bool
is_stuck(const jr_dispatch_t *d, const Jr__JobStep *step, int64_t begin,
         int64_t allowed_ms)
{
    return allowed_ms > 0 ? d->wall_ms > begin + STUCK_FACTOR * allowed_ms
                          : has_constraints(step);
}

static void
add_occurrence(const jr_dispatch_t *d, const jr_job_t *job,
               uint32_t occurrence, int64_t allowed_ms)
{
    const Jr__JobSpec *spec = job->spec;
    const jr_step_progress_t *progress =
        &job->steps[(size_t)occurrence * spec->n_steps];
    int64_t begin = jr_job_due_ms(job, occurrence);
    size_t index = queue_index(d->backlog, job->queue);

    for (size_t s = 0; s < spec->n_steps; s++) {
        const Jr__JobStep *step = spec->steps[s];
        bool counts = !is_stuck(d, step, begin, allowed_ms);

        add_step(d->backlog, index, step, counts ? progress[s].waiting : 0,
                 progress[s].granted, begin + allowed_ms - d->wall_ms);
    }
}

static void
add_jobs(jr_dispatch_t *d)
{
    const jr_job_t *job;

    TAILQ_FOREACH (job, &d->jobs->live, link) {
        int64_t allowed_ms;

        if (job->queue->last_config == NULL) {
            continue;
        }
        allowed_ms = jr_allowed_ms(job->queue->last_config, job->spec);
        for (uint32_t k = 0; k < job->occurrences; k++) {
            if (job->spec->repeats > 0 && jr_job_due_ms(job, k) > d->wall_ms) {
                break;
            }
            add_occurrence(d, job, k, allowed_ms);
        }
    }
}

static bool
may_run_tasks(const jr_dispatch_t *d, const jr_tracked_worker_t *w)
{
    if (w->is_usable) {
        return true;
    }
    return !w->has_ended && !w->is_leaving && !jr_drain_forbids_starts(d, w) &&
           d->now - w->answered_at <= RECENT_ANSWER_MS;
}

static void
add_workers(const jr_dispatch_t *d)
{
    const jr_tracked_worker_t *w;

    TAILQ_FOREACH (w, &d->workers, link) {
        const Jr__JobWorker *info = w->worker->info;
        size_t index = pool_index(d->backlog, info->service);
        jr_intake_pool_t *pool =
            &g_array_index(d->backlog->pools, jr_intake_pool_t, index);

        capacity_max_t *largest =
            &g_array_index(d->backlog->largest, capacity_max_t, index);

        if (may_run_tasks(d, w)) {
            largest->cpu_milli = MAX(largest->cpu_milli, info->cpu_milli);
            largest->memory_mb = MAX(largest->memory_mb, info->memory_mb);
            largest->accelerators =
                MAX(largest->accelerators, info->accelerators);
            pool->milli[JR_INTAKE_BEST_EFFORT] += info->cpu_milli;
            pool->milli[JR_INTAKE_SHORT] +=
                MAX((double)info->cpu_milli - (double)w->services.cpu_milli,
                    SHORT_SHARE * info->cpu_milli);
        }
    }
}

static void
refresh(jr_dispatch_t *d)
{
    jr_backlog_t *backlog = d->backlog;

    if (backlog->is_known && (backlog->pass_at == d->scheduled_at ||
                              d->now - backlog->at < REFRESH_GAP_MS)) {
        return;
    }
    jr_backlog_clear(backlog);
    add_workers(d);
    add_jobs(d);
    backlog->at = d->now;
    backlog->pass_at = d->scheduled_at;
    backlog->is_known = true;
}

void
jr_backlog_learn(jr_dispatch_t *d, const jr_run_t *run)
{
    const Jr__JobStep *step = jr_task_step(run->task);

    if (step->service || run->is_inherited || run->confirmed_at == 0 ||
        run->task->checkpoint != NULL) {
        return;
    }
    jr_intake_learn(&d->backlog->ratios[class_of(step)], step->estimate_ms,
                    d->now - run->confirmed_at - run->slowed_ms);
}

static jr_intake_job_t
describe(const Jr__JobQueue *config, const Jr__JobSpec *spec)
{
    int64_t allowed_ms = jr_allowed_ms(config, spec);
    jr_intake_job_t job = {
        .id = spec->id,
        .chain_ms = jr_critical_path_ms(spec, NULL),
        .allowed_ms = allowed_ms,
        .late_ms = JR_LATE_FACTOR * allowed_ms,
        .is_exempt = spec->repeats > 0 || config->objective_ms == 0,
    };

    for (size_t s = 0; s < spec->n_steps; s++) {
        const Jr__JobStep *step = spec->steps[s];

        job.is_exempt |= step->service || step->estimate_ms == 0;
        job.milli_ms[class_of(step)] +=
            (double)step->count * step->cpu_milli * step->estimate_ms;
    }
    return job;
}

/* It counts from now on, for those that ask before the next sums. */
static void
add_accepted(jr_dispatch_t *d, const Jr__JobSpec *spec,
             const jr_intake_job_t *job)
{
    for (size_t s = 0; s < spec->n_steps && spec->repeats == 0; s++) {
        add_step(d->backlog, job->queue, spec->steps[s], spec->steps[s]->count,
                 0, job->allowed_ms);
    }
}

bool
jr_dispatch_admit(jr_dispatch_t *d, const jr_job_queue_t *queue,
                  const Jr__JobSpec *spec, jr_intake_verdict_t *verdict)
{
    jr_intake_job_t job = describe(queue->last_config, spec);
    jr_intake_backlog_t backlog;

    *verdict = (jr_intake_verdict_t){.reason = JR_INTAKE_ACCEPTED};
    if (d->now - d->led_at < NO_REFUSALS_AFTER_ELECTION_MS) {
        return true;
    }
    refresh(d);
    job.queue = queue_index(d->backlog, queue);
    backlog = (jr_intake_backlog_t){
        .queues = (const jr_intake_queue_t *)d->backlog->queues->data,
        .n_queues = d->backlog->queues->len,
        .pools = (const jr_intake_pool_t *)d->backlog->pools->data,
    };
    for (int i = 0; i < JR_INTAKE_CLASSES; i++) {
        backlog.ratio_permille[i] =
            jr_intake_ratio_permille(&d->backlog->ratios[i]);
    }
    *verdict = jr_intake_decide(&backlog, &job);
    if (verdict->reason == JR_INTAKE_ACCEPTED) {
        add_accepted(d, spec, &job);
    }
    return verdict->reason == JR_INTAKE_ACCEPTED;
}
