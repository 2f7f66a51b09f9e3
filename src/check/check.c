/* Checks of one configuration: entries that never match, and limits that
 * contradict each other. */
#include "jayrelay/check.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "jayrelay/job.h"

enum { PERMILLE = 1000 };

typedef struct {
    const jr_check_subject_t *subject;
    jr_check_handler_t *handler;
    void *user;
} check_t;

/* A queue with an objective, for the comparison of priorities. */
typedef struct {
    const Jr__JobQueue *queue;
    size_t index;
} ranked_t;

static const struct {
    const char *name;
    jr_severity_t severity;
} rules[JR_CHECK_RULES] = {
#define X(name, severity, text) {text, JR_SEVERITY_##severity},
    JR_CHECK_RULE_TABLE(X)
#undef X
};

const char *
jr_check_rule_name(jr_check_rule_t rule)
{
    return rules[rule].name;
}

jr_severity_t
jr_check_rule_severity(jr_check_rule_t rule)
{
    return rules[rule].severity;
}

static void
tell(const check_t *c, jr_check_rule_t rule, size_t index, size_t other)
{
    jr_check_finding_t finding = {
        .rule = rule, .index = index, .other = other};

    c->handler(c->user, &finding);
}

/* Requests are compared by the host without its port and by the path without
 * its query. */
static void
check_names(const check_t *c, size_t i)
{
    const Jr__JobQueue *queue = c->subject->config->queues[i];

    if (strpbrk(queue->host, ": \t\r\n/") != NULL) {
        tell(c, JR_CHECK_HOST_NEVER_MATCHES, i, i);
    }
    if (strpbrk(queue->prefix, "?#") != NULL) {
        tell(c, JR_CHECK_PREFIX_HAS_QUERY, i, i);
    }
    if (strlen(queue->host) + strlen(queue->prefix) >
        JR_JOB_QUEUE_NAME_MAX_BYTES) {
        tell(c, JR_CHECK_NAME_TOO_LONG, i, i);
    }
}

static void
check_limits(const check_t *c, size_t i)
{
    const Jr__JobQueue *queue = c->subject->config->queues[i];
    const jr_check_limits_t *limits = &c->subject->limits[i];
    uint32_t objective = queue->objective_ms;

    /* Its deadline would be a part of the run time that its jobs need. */
    if (objective == 0 && queue->stretch_permille > 0 &&
        queue->stretch_permille < PERMILLE) {
        tell(c, JR_CHECK_OBJECTIVE_UNREACHABLE, i, i);
    }
    if (limits->has_max_failures && queue->max_failures == 0) {
        tell(c, JR_CHECK_NO_ATTEMPTS, i, i);
    }
    if (limits->timeout_ms < objective) {
        tell(c, JR_CHECK_TIMEOUT_BELOW_OBJECTIVE, i, i);
    }
    if (objective > 0 && queue->advice_call_ms >= objective) {
        tell(c, JR_CHECK_ADVICE_PASSES_OBJECTIVE, i, i);
    }
}

static void
check_services(const check_t *c)
{
    const Jr__JobConfig *config = c->subject->config;
    GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < config->n_queues; i++) {
        g_hash_table_add(used, config->queues[i]->service);
    }
    for (size_t i = 0; i < config->n_services; i++) {
        char *name = config->services[i]->name;
        gpointer first;

        if (g_hash_table_lookup_extended(seen, name, NULL, &first)) {
            tell(c, JR_CHECK_SERVICE_REPEATED, i, GPOINTER_TO_SIZE(first));
            continue;
        }
        g_hash_table_insert(seen, name, GSIZE_TO_POINTER(i));
        if (!g_hash_table_contains(used, name)) {
            tell(c, JR_CHECK_SERVICE_UNUSED, i, i);
        }
    }
    g_hash_table_unref(used);
    g_hash_table_unref(seen);
}

static int
compare(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

/* Queues share workers if they have one service; their objectives can be
 * compared if they have one stretch. */
static int
compare_groups(const ranked_t *a, const ranked_t *b)
{
    int order = strcmp(a->queue->service, b->queue->service);

    return order != 0 ? order
                      : compare(a->queue->stretch_permille,
                                b->queue->stretch_permille);
}

/* By group, the loosest objective first. */
static int
compare_ranked(const void *left, const void *right)
{
    const ranked_t *a = left;
    const ranked_t *b = right;
    int order = compare_groups(a, b);

    if (order == 0) {
        order = compare(b->queue->objective_ms, a->queue->objective_ms);
    }
    return order != 0 ? order : compare(a->index, b->index);
}

static void
check_ranked(const check_t *c, const ranked_t *ranked, size_t n)
{
    const ranked_t *first = NULL;  /* most urgent of the looser ones */
    const ranked_t *urgent = NULL; /* most urgent of all before this one */

    for (size_t i = 0; i < n; i++) {
        const ranked_t *r = &ranked[i];

        if (i == 0 || compare_groups(r - 1, r) != 0) {
            first = NULL;
            urgent = NULL;
        }
        else if (r->queue->objective_ms < (r - 1)->queue->objective_ms) {
            first = urgent;
        }
        if (first != NULL && first->queue->priority < r->queue->priority) {
            tell(c, JR_CHECK_PRIORITY_INVERTED, r->index, first->index);
        }
        if (urgent == NULL || r->queue->priority < urgent->queue->priority) {
            urgent = r;
        }
    }
}

static void
check_priorities(const check_t *c)
{
    const Jr__JobConfig *config = c->subject->config;
    ranked_t *ranked = g_new(ranked_t, config->n_queues);
    size_t n = 0;

    for (size_t i = 0; i < config->n_queues; i++) {
        if (config->queues[i]->objective_ms > 0) {
            ranked[n++] = (ranked_t){config->queues[i], i};
        }
    }
    if (n > 0) {
        qsort(ranked, n, sizeof *ranked, compare_ranked);
        check_ranked(c, ranked, n);
    }
    g_free(ranked);
}

void
jr_check_config(const jr_check_subject_t *subject, jr_check_handler_t *handler,
                void *user)
{
    check_t c = {.subject = subject, .handler = handler, .user = user};

    for (size_t i = 0; i < subject->config->n_queues; i++) {
        check_names(&c, i);
        check_limits(&c, i);
    }
    check_services(&c);
    check_priorities(&c);
}
