/* Queue of the calls that wait for a slot. */
#include "jayrelay/admit.h"

/*
 * Pessimistic estimate for admission: the expected wait times WAIT_MARGIN,
 * plus the mean service time and DEVIATIONS times its mean deviation.
 */
static const double WAIT_MARGIN = 1.5;
static const double DEVIATIONS = 4.0;

struct jr_queue {
    jr_ctx_t *ctx;
    jr_admit_kind_t kind;
    GSequence *calls;     /* in the order of service */
    GSequence *deadlines; /* the same calls, earliest deadline first */
};

static const char *const refusal_names[JR_REFUSALS] = {
    "overload", "deadline", "no-upstream", "shed", "upstream",
};

static const jr_result_t refusal_codes[JR_REFUSALS] = {
    [JR_REFUSE_OVERLOAD] = JR_OVERLOADED,
    [JR_REFUSE_DEADLINE] = JR_DEADLINE,
    [JR_REFUSE_NO_UPSTREAM] = JR_NO_UPSTREAM,
    [JR_REFUSE_SHED] = JR_OVERLOADED,
    [JR_REFUSE_UPSTREAM] = JR_OVERLOADED,
};

jr_result_t
jr_refusal_code(jr_refusal_t refusal)
{
    return refusal < JR_REFUSALS ? refusal_codes[refusal] : JR_OVERLOADED;
}

const char *
jr_refusal_name(jr_refusal_t refusal)
{
    return refusal < JR_REFUSALS ? refusal_names[refusal] : "unknown";
}

static gint
by_id(const jr_call_t *a, const jr_call_t *b)
{
    return (a->id > b->id) - (a->id < b->id);
}

static gint
by_deadline(gconstpointer pa, gconstpointer pb, gpointer user)
{
    const jr_call_t *a = pa;
    const jr_call_t *b = pb;

    (void)user;
    if (a->deadline != b->deadline) {
        return a->deadline < b->deadline ? -1 : 1;
    }
    return by_id(a, b);
}

static gint
by_service_order(gconstpointer pa, gconstpointer pb, gpointer user)
{
    const jr_queue_t *queue = user;
    const jr_call_t *a = pa;
    const jr_call_t *b = pb;

    if (queue->kind == JR_ADMIT_FIFO) {
        return by_id(a, b);
    }
    if (a->priority != b->priority) {
        return a->priority > b->priority ? -1 : 1;
    }
    return by_deadline(a, b, NULL);
}

jr_queue_t *
jr_new_queue(jr_ctx_t *ctx, jr_admit_kind_t kind)
{
    jr_queue_t *queue = jr_alloc(ctx, sizeof *queue);

    queue->ctx = ctx;
    queue->kind = kind;
    queue->calls = g_sequence_new(NULL);
    queue->deadlines = g_sequence_new(NULL);
    return queue;
}

void
jr_drop_queue(jr_queue_t *queue)
{
    if (queue == NULL) {
        return;
    }
    g_sequence_free(queue->calls);
    g_sequence_free(queue->deadlines);
    jr_free(queue->ctx, queue);
}

size_t
jr_queue_length(const jr_queue_t *queue)
{
    return (size_t)g_sequence_get_length(queue->calls);
}

int64_t
jr_queue_wait(jr_queue_t *queue, const jr_call_t *call,
              const jr_service_rate_t *rate)
{
    GSequenceIter *place = g_sequence_search(queue->calls, (gpointer)call,
                                             by_service_order, queue);
    double before = (double)g_sequence_iter_get_position(place) + 1.0;

    return (int64_t)(before * rate->mean_us / (double)MAX(rate->slots, 1));
}

jr_result_t
jr_queue_check(jr_queue_t *queue, const jr_call_t *call,
               const jr_service_rate_t *rate, int64_t now)
{
    double wait;
    double service;

    if (queue->kind == JR_ADMIT_FIFO) {
        return jr_queue_length(queue) < JR_QUEUE_MAX ? JR_OK : JR_OVERLOADED;
    }
    wait = WAIT_MARGIN * (double)jr_queue_wait(queue, call, rate);
    service = rate->mean_us + DEVIATIONS * rate->deviation_us;
    if ((double)now + wait + service > (double)call->deadline) {
        return JR_DEADLINE;
    }
    if (jr_queue_length(queue) >= JR_QUEUE_MAX &&
        by_service_order(call, jr_queue_last(queue), queue) > 0) {
        return JR_OVERLOADED;
    }
    return JR_OK;
}

void
jr_queue_push(jr_queue_t *queue, jr_call_t *call)
{
    call->queued =
        g_sequence_insert_sorted(queue->calls, call, by_service_order, queue);
    call->by_deadline =
        g_sequence_insert_sorted(queue->deadlines, call, by_deadline, NULL);
}

void
jr_queue_remove(jr_queue_t *queue, jr_call_t *call)
{
    (void)queue;
    g_sequence_remove(call->queued);
    g_sequence_remove(call->by_deadline);
    call->queued = NULL;
    call->by_deadline = NULL;
}

static jr_call_t *
at(GSequenceIter *place)
{
    return g_sequence_iter_is_end(place) ? NULL : g_sequence_get(place);
}

jr_call_t *
jr_queue_first(jr_queue_t *queue)
{
    return at(g_sequence_get_begin_iter(queue->calls));
}

jr_call_t *
jr_queue_last(jr_queue_t *queue)
{
    GSequenceIter *end = g_sequence_get_end_iter(queue->calls);

    if (g_sequence_iter_is_begin(end)) {
        return NULL;
    }
    return g_sequence_get(g_sequence_iter_prev(end));
}

jr_call_t *
jr_queue_find_late(jr_queue_t *queue, double service_us, int64_t now)
{
    jr_call_t *call = at(g_sequence_get_begin_iter(queue->deadlines));
    int64_t needed = queue->kind == JR_ADMIT_FIFO ? 0 : (int64_t)service_us;

    if (call == NULL || now + needed <= call->deadline) {
        return NULL;
    }
    return call;
}
