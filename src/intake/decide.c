/*
 * The verdict: does the accepted work that comes first leave a job enough time
 * before its late bound?
 *
 * Within a time, a task takes its processors for at most that time. So a few
 * long tasks do not look like a long queue: they leave the other processors.
 */
#include "jayrelay/intake.h"

#include <math.h>

#include "intake/slots.h"

enum {
    PERMILLE = 1000,
    /* Part of the job's own estimated time that is assumed. */
    OWN_TIME_PERMILLE = 100,
    /* Part of the work ahead that is assumed. */
    COUNTED_PERMILLE = 800,
    /*
     * Work of other queues of the same priority counts for more than it is, so
     * that a queue over its share is refused first.
     */
    OTHERS_PERMILLE = 1100,
    RETRY_BASE_MAX_MS = JR_INTAKE_RETRY_MAX_MS / 2,
    /* Least spread: smaller ones vanish when rounded to whole seconds. */
    RETRY_SPREAD_MIN_MS = 2000,
};

/* Work that comes before the job, within the longest wait that it has. */
typedef struct {
    const jr_intake_backlog_t *backlog;
    const jr_intake_queue_t *queue;
    jr_intake_class_t work_class;
    int64_t due_in_ms; /* work of equal priority due later comes after it */
    double limit_ms;
} question_t;

/*
 * Of the work in the slot of the job's due time, the part that is due before:
 * all of it when the jobs of the queue are alike.
 */
static double
part_due_before(const jr_intake_queue_t *queue, jr_intake_class_t work_class,
                size_t slot, int64_t due_in_ms)
{
    int64_t latest = queue->latest_due_ms[work_class][slot];
    int64_t begin = jr_intake_due_slot_begin(slot);

    if (due_in_ms >= latest) {
        return 1.0;
    }
    return (double)(due_in_ms - begin) / (double)(latest - begin);
}

static double
work_of_class(const question_t *q, const jr_intake_queue_t *queue,
              jr_intake_class_t work_class, int64_t due_in_ms)
{
    static const jr_intake_cell_t none[JR_INTAKE_TIME_SLOTS];
    size_t slot = jr_intake_due_slot(due_in_ms);
    const jr_intake_cell_t *cells = queue->cells[work_class][slot];
    const jr_intake_cell_t *before =
        slot > 0 ? queue->cells[work_class][slot - 1] : none;
    double part = part_due_before(queue, work_class, slot, due_in_ms);
    double counted = (double)q->backlog->ratio_permille[work_class] /
                     PERMILLE * COUNTED_PERMILLE / PERMILLE;
    double sum = 0.0;

    for (size_t i = 0; i < JR_INTAKE_TIME_SLOTS; i++) {
        double milli =
            before[i].milli + part * (cells[i].milli - before[i].milli);
        double milli_ms = before[i].milli_ms +
                          part * (cells[i].milli_ms - before[i].milli_ms);

        sum += fmin(milli_ms * counted, milli * q->limit_ms);
    }
    return sum;
}

/* Best-effort tasks get what short ones leave, so both come before them. */
static double
work_before(const question_t *q, const jr_intake_queue_t *queue,
            int64_t due_in_ms)
{
    double sum = work_of_class(q, queue, JR_INTAKE_SHORT, due_in_ms);

    if (q->work_class == JR_INTAKE_BEST_EFFORT) {
        sum += work_of_class(q, queue, JR_INTAKE_BEST_EFFORT, due_in_ms);
    }
    return sum;
}

static double
urgent_work(const question_t *q)
{
    double sum = 0.0;

    for (size_t i = 0; i < q->backlog->n_queues; i++) {
        const jr_intake_queue_t *other = &q->backlog->queues[i];

        if (other->pool == q->queue->pool &&
            other->priority < q->queue->priority) {
            sum += work_before(q, other, INT64_MAX);
        }
    }
    return sum;
}

/*
 * What is done by weighted max-min shares until the work of the job's queue is
 * done: of each other queue no more than the same share.
 */
static double
shared_work(const question_t *q)
{
    double own = work_before(q, q->queue, q->due_in_ms) / q->queue->weight;
    double sum = 0.0;

    for (size_t i = 0; i < q->backlog->n_queues && own > 0.0; i++) {
        const jr_intake_queue_t *other = &q->backlog->queues[i];

        if (other->pool == q->queue->pool &&
            other->priority == q->queue->priority) {
            double share = work_before(q, other, q->due_in_ms) / other->weight;

            share *= (double)OTHERS_PERMILLE / PERMILLE;
            sum += other->weight * fmin(share, own);
        }
    }
    return sum;
}

/* Even a job that takes longer than its bound may wait for its allowed time.
 */
static double
limit_of(const jr_intake_job_t *job, double capacity, double work)
{
    double own_ms = fmax((double)job->chain_ms, work / capacity) *
                    OWN_TIME_PERMILLE / PERMILLE;

    return fmax((double)job->late_ms - own_ms, (double)job->allowed_ms);
}

static uint64_t
mix(uint64_t x)
{
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    x *= 0xc4ceb9fe1a85ec53ULL;
    return x ^ (x >> 33);
}

/* Those refused together come back at different times. */
static int64_t
retry_after_ms(uint64_t id, double excess_ms)
{
    int64_t base = (int64_t)fmax(JR_INTAKE_RETRY_MIN_MS,
                                 fmin(excess_ms, RETRY_BASE_MAX_MS));
    int64_t spread = base > RETRY_SPREAD_MIN_MS ? base : RETRY_SPREAD_MIN_MS;

    return base + (int64_t)(mix(id) % (uint64_t)spread);
}

static jr_intake_verdict_t
decide_for_class(const jr_intake_backlog_t *backlog,
                 const jr_intake_job_t *job, jr_intake_class_t work_class)
{
    const jr_intake_queue_t *queue = &backlog->queues[job->queue];
    double capacity = backlog->pools[queue->pool].milli[work_class];
    question_t question = {
        .backlog = backlog,
        .queue = queue,
        .work_class = work_class,
        .due_in_ms = job->allowed_ms,
    };
    jr_intake_verdict_t verdict = {.reason = JR_INTAKE_ACCEPTED};
    double urgent_ms, wait_ms;

    if (job->milli_ms[work_class] <= 0.0 || capacity <= 0.0) {
        return verdict;
    }
    question.limit_ms = limit_of(job, capacity, job->milli_ms[work_class]);
    urgent_ms = urgent_work(&question) / capacity;
    wait_ms = urgent_ms + shared_work(&question) / capacity;
    verdict.wait_ms = (int64_t)wait_ms;
    verdict.limit_ms = (int64_t)question.limit_ms;
    if (wait_ms > question.limit_ms) {
        verdict.reason = urgent_ms > question.limit_ms
                             ? JR_INTAKE_URGENT_BACKLOG
                             : JR_INTAKE_QUEUE_BACKLOG;
        verdict.retry_after_ms =
            retry_after_ms(job->id, wait_ms - question.limit_ms);
    }
    return verdict;
}

jr_intake_verdict_t
jr_intake_decide(const jr_intake_backlog_t *backlog,
                 const jr_intake_job_t *job)
{
    jr_intake_verdict_t worst = {.reason = JR_INTAKE_ACCEPTED};

    if (job->is_exempt || job->allowed_ms <= 0 || job->chain_ms <= 0) {
        return worst;
    }
    for (int i = 0; i < JR_INTAKE_CLASSES; i++) {
        jr_intake_verdict_t verdict =
            decide_for_class(backlog, job, (jr_intake_class_t)i);

        if (verdict.reason != JR_INTAKE_ACCEPTED &&
            verdict.retry_after_ms >= worst.retry_after_ms) {
            worst = verdict;
        }
    }
    return worst;
}
