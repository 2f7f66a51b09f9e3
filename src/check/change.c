/* What a configuration changes of the one in force. */
#include "jayrelay/check.h"

#include <glib.h>
#include <string.h>

typedef struct {
    const jr_check_subject_t *in_force;
    const jr_check_subject_t *subject;
    jr_check_handler_t *handler;
    void *user;
} change_t;

static void
tell(const change_t *c, jr_check_rule_t rule, size_t index, size_t other,
     unsigned fields)
{
    jr_check_finding_t finding = {
        .rule = rule, .index = index, .other = other, .fields = fields};

    c->handler(c->user, &finding);
}

/* Jobs belong to a queue by its exact host and prefix. */
static guint
hash_queue(gconstpointer p)
{
    const Jr__JobQueue *queue = p;

    return g_str_hash(queue->host) ^ g_str_hash(queue->prefix);
}

static gboolean
is_same_queue(gconstpointer left, gconstpointer right)
{
    const Jr__JobQueue *a = left;
    const Jr__JobQueue *b = right;

    return strcmp(a->host, b->host) == 0 && strcmp(a->prefix, b->prefix) == 0;
}

/* Queues to their indices. */
static GHashTable *
index_queues(const Jr__JobConfig *config)
{
    GHashTable *index = g_hash_table_new(hash_queue, is_same_queue);

    for (size_t i = 0; i < config->n_queues; i++) {
        g_hash_table_insert(index, config->queues[i], GSIZE_TO_POINTER(i));
    }
    return index;
}

/* Names of services to the indices of their first entries. */
static GHashTable *
index_services(const Jr__JobConfig *config)
{
    GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < config->n_services; i++) {
        if (!g_hash_table_contains(index, config->services[i]->name)) {
            g_hash_table_insert(index, config->services[i]->name,
                                GSIZE_TO_POINTER(i));
        }
    }
    return index;
}

static unsigned
differing_fields(const change_t *c, size_t old, size_t new)
{
    const Jr__JobQueue *a = c->in_force->config->queues[old];
    const Jr__JobQueue *b = c->subject->config->queues[new];
    const struct {
        unsigned field;
        bool differs;
    } fields[] = {
        {JR_FIELD_SERVICE, strcmp(a->service, b->service) != 0},
        {JR_FIELD_PRIORITY, a->priority != b->priority},
        {JR_FIELD_MAX_FAILURES, a->max_failures != b->max_failures},
        {JR_FIELD_OBJECTIVE, a->objective_ms != b->objective_ms},
        {JR_FIELD_STRETCH, a->stretch_permille != b->stretch_permille},
        {JR_FIELD_TIMEOUT, c->in_force->limits[old].timeout_ms !=
                               c->subject->limits[new].timeout_ms},
        {JR_FIELD_ADVICE_CALL, a->advice_call_ms != b->advice_call_ms},
        {JR_FIELD_ADVICE_WORKER, a->advice_worker_ms != b->advice_worker_ms},
        {JR_FIELD_ADVICE_VALID, a->advice_valid_ms != b->advice_valid_ms},
    };
    unsigned mask = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        mask |= fields[i].differs ? fields[i].field : 0;
    }
    return mask;
}

static void
compare_queue(const change_t *c, size_t old, size_t new)
{
    unsigned fields = differing_fields(c, old, new);

    if ((fields & JR_FIELD_SERVICE) != 0) {
        tell(c, JR_CHECK_QUEUE_MOVED, new, old, fields);
    }
    else if (fields != 0) {
        tell(c, JR_CHECK_QUEUE_CHANGED, new, old, fields);
    }
}

/* The jobs of a removed queue go on with its last settings, on workers of the
 * service that it had. */
static void
tell_removed_queue(const change_t *c, GHashTable *services, size_t i)
{
    const Jr__JobQueue *queue = c->in_force->config->queues[i];
    bool has_service = g_hash_table_contains(services, queue->service);

    tell(c, has_service ? JR_CHECK_QUEUE_REMOVED : JR_CHECK_QUEUE_STRANDED, i,
         i, 0);
}

static void
compare_queues(const change_t *c, GHashTable *services)
{
    const Jr__JobConfig *old = c->in_force->config;
    const Jr__JobConfig *new = c->subject->config;
    GHashTable *old_queues = index_queues(old);
    GHashTable *new_queues = index_queues(new);

    for (size_t i = 0; i < old->n_queues; i++) {
        if (!g_hash_table_contains(new_queues, old->queues[i])) {
            tell_removed_queue(c, services, i);
        }
    }
    for (size_t i = 0; i < new->n_queues; i++) {
        gpointer before;

        if (g_hash_table_lookup_extended(old_queues, new->queues[i], NULL,
                                         &before)) {
            compare_queue(c, GPOINTER_TO_SIZE(before), i);
        }
        else {
            tell(c, JR_CHECK_QUEUE_ADDED, i, i, 0);
        }
    }
    g_hash_table_unref(old_queues);
    g_hash_table_unref(new_queues);
}

/* Is the entry the first one of its name? Others have no effect. */
static bool
is_first(GHashTable *services, const Jr__JobConfig *config, size_t i)
{
    gpointer first = g_hash_table_lookup(services, config->services[i]->name);

    return GPOINTER_TO_SIZE(first) == i;
}

static void
compare_services(const change_t *c, GHashTable *old_services,
                 GHashTable *new_services)
{
    const Jr__JobConfig *old = c->in_force->config;
    const Jr__JobConfig *new = c->subject->config;

    for (size_t i = 0; i < old->n_services; i++) {
        if (is_first(old_services, old, i) &&
            !g_hash_table_contains(new_services, old->services[i]->name)) {
            tell(c, JR_CHECK_SERVICE_REMOVED, i, i, 0);
        }
    }
    for (size_t i = 0; i < new->n_services; i++) {
        const Jr__JobService *service = new->services[i];
        gpointer before;

        if (!is_first(new_services, new, i)) {
            continue;
        }
        if (!g_hash_table_lookup_extended(old_services, service->name, NULL,
                                          &before)) {
            tell(c, JR_CHECK_SERVICE_ADDED, i, i, 0);
        }
        else if (old->services[GPOINTER_TO_SIZE(before)]->checks_room !=
                 service->checks_room) {
            tell(c, JR_CHECK_SERVICE_CHANGED, i, GPOINTER_TO_SIZE(before), 0);
        }
    }
}

void
jr_check_change(const jr_check_subject_t *in_force,
                const jr_check_subject_t *subject, jr_check_handler_t *handler,
                void *user)
{
    change_t c = {.in_force = in_force,
                  .subject = subject,
                  .handler = handler,
                  .user = user};
    GHashTable *old_services = index_services(in_force->config);
    GHashTable *new_services = index_services(subject->config);

    if (subject->config->version <= in_force->config->version) {
        tell(&c, JR_CHECK_VERSION_NOT_HIGHER, 0, 0, 0);
    }
    compare_queues(&c, new_services);
    compare_services(&c, old_services, new_services);
    g_hash_table_unref(old_services);
    g_hash_table_unref(new_services);
}
