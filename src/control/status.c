/* Status, metrics and health of a control process. */
#include "control.h"

#include <glib.h>
#include <string.h>

#include "jayrelay/metrics.h"
#include "quorum/convert.h"

enum { HTTP_OK = 200, HTTP_NOT_FOUND = 404, HTTP_UNAVAILABLE = 503 };

static const char *const role_names[] = {
    [JR_FOLLOWER] = "follower",
    [JR_CANDIDATE] = "candidate",
    [JR_LEADER] = "leader",
};

/* Does each group with a replica in this process have a known leader? */
static bool
all_groups_have_leader(const jr_control_t *control)
{
    for (size_t g = 0; g < control->n_groups; g++) {
        if (control->groups[g] != NULL &&
            jr_quorum_leader(jr_group_quorum(control->groups[g])) == 0) {
            return false;
        }
    }
    return true;
}

static void
answer_text(jr_exchange_t *exchange, unsigned status, const char *text)
{
    jr_http_answer(exchange, status, NULL, 0, text, strlen(text));
}

enum {
    ZONE_LABEL_BYTES = JR_ZONE_NAME_MAX_BYTES + sizeof "zone=''",
    MS_PER_S = 1000,
};

/* The gauges of a zone that was drained at least once. */
typedef struct {
    char label[ZONE_LABEL_BYTES];
    double drained_since_s;
    double runs;
} zone_gauges_t;

static void
append_labelled(GArray *to, const char *name, const char *help, double value,
                const char *label)
{
    jr_gauge_t gauge = {
        .name = name, .help = help, .value = value, .label = label};

    g_array_append_val(to, gauge);
}

static void
append_gauge(GArray *to, const char *name, const char *help, double value)
{
    append_labelled(to, name, help, value, NULL);
}

static void
append_zone_gauges(const jr_jobs_t *jobs, zone_gauges_t *storage, GArray *to)
{
    const jr_zone_t *zone;
    size_t n = 0;

    TAILQ_FOREACH (zone, &jobs->zones->list, link) {
        zone_gauges_t *row = &storage[n++];

        snprintf(row->label, sizeof row->label, "zone=\"%s\"", zone->name);
        row->drained_since_s = (double)zone->drained_since / MS_PER_S;
        row->runs = (double)jr_jobs_count_granted(jobs, zone->name);
    }
    /* Two loops, since gauges of one name follow each other. */
    for (size_t i = 0; i < n; i++) {
        append_labelled(to, "zone_drained_since_seconds",
                        "Unix time since when the zone is drained; 0: in use",
                        storage[i].drained_since_s, storage[i].label);
    }
    for (size_t i = 0; i < n; i++) {
        append_labelled(to, "zone_runs", "granted tasks in the zone",
                        storage[i].runs, storage[i].label);
    }
}

static void
append_job_gauges(const jr_jobs_t *jobs, zone_gauges_t *zones, GArray *to)
{
    const jr_job_t *job;
    double n_live = 0.0;

    TAILQ_FOREACH (job, &jobs->live, link) {
        n_live += 1.0;
    }
    append_gauge(to, "jobs_live", "jobs that have not ended", n_live);
    append_gauge(to, "workers_known", "workers that announced themselves",
                 (double)HASH_COUNT(jobs->workers));
    append_gauge(to, "config_version", "configuration in force",
                 jobs->config != NULL ? (double)jobs->config->version : 0.0);
    append_zone_gauges(jobs, zones, to);
}

static void
append_group_gauges(const jr_control_t *control, GArray *to)
{
    double n_led = 0.0;
    double n_queued = 0.0;
    double n_leased = 0.0;

    for (size_t g = 0; g < control->n_groups; g++) {
        jr_ledger_t *ledger;

        if (control->groups[g] == NULL) {
            continue;
        }
        ledger = jr_group_ledger(control->groups[g]);
        n_led +=
            jr_quorum_role(jr_group_quorum(control->groups[g])) == JR_LEADER;
        if (ledger != NULL) {
            n_queued += (double)jr_ledger_count(ledger, JR_TASK_QUEUED);
            n_leased += (double)jr_ledger_count(ledger, JR_TASK_LEASED);
        }
    }
    append_gauge(to, "groups_led", "groups that this process leads", n_led);
    append_gauge(to, "tasks_queued", "queued tasks of all groups", n_queued);
    append_gauge(to, "tasks_leased", "leased tasks of all groups", n_leased);
}

char *
jr_control_metrics(jr_control_t *control)
{
    GArray *gauges = g_array_new(FALSE, FALSE, sizeof(jr_gauge_t));
    jr_group_t *first = control->groups[0];
    jr_jobs_t *jobs = first != NULL ? jr_group_jobs(first) : NULL;
    zone_gauges_t zones[JR_ZONES_MAX];
    char *text;

    append_gauge(gauges, "rules_version", "rules version in force",
                 control->rules != NULL ? (double)control->rules->version
                                        : 0.0);
    append_group_gauges(control, gauges);
    append_gauge(
        gauges, "voters_whole",
        "of group 0, on its leader: voters with every committed entry",
        first != NULL ? (double)jr_quorum_whole_voters(jr_group_quorum(first))
                      : 0.0);
    append_gauge(gauges, "carriers_answering",
                 "on the leader of jobs: processes that send its orders",
                 control->carry != NULL ? (double)jr_carry_n_answering(
                                              control->carry, jr_clock_ms())
                                        : 0.0);
    if (jobs != NULL) {
        append_job_gauges(jobs, zones, gauges);
    }
    text = jr_metrics_text(control->ctx, (const jr_gauge_t *)gauges->data,
                           gauges->len);
    g_array_unref(gauges);
    return text;
}

static void
answer_metrics(jr_control_t *control, jr_exchange_t *exchange)
{
    char *text = jr_control_metrics(control);

    answer_text(exchange, HTTP_OK, text);
    jr_free(control->ctx, text);
}

void
jr_control_on_http(void *user, jr_exchange_t *exchange)
{
    jr_control_t *control = user;
    const char *path = jr_exchange_path(exchange);

    if (strcmp(path, "/healthz") == 0) {
        answer_text(exchange, HTTP_OK, "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = all_groups_have_leader(control) && !control->is_draining;

        answer_text(
            exchange, ready ? HTTP_OK : HTTP_UNAVAILABLE,
            ready ? "ready\n"
                  : "not ready: a group without a leader, or draining\n");
    }
    else if (strcmp(path, "/metrics") == 0) {
        answer_metrics(control, exchange);
    }
    else {
        answer_text(exchange, HTTP_NOT_FOUND,
                    "no such path: expected /healthz, /readyz or /metrics\n");
    }
}

/* A group status with the storage of the messages that it points to. */
typedef struct {
    Jr__GroupStatus status;
    jr_config_message_t members;
} group_status_t;

static void
fill_group_status(jr_control_t *control, size_t g, group_status_t *to)
{
    static char none[] = "";
    jr_group_t *group = control->groups[g];
    const jr_quorum_t *quorum = jr_group_quorum(group);
    jr_ledger_t *ledger = jr_group_ledger(group);
    Jr__GroupStatus *status = &to->status;
    const jr_member_t *leader;

    jr__group_status__init(status);
    jr_config_to_message(jr_quorum_config(quorum), &to->members);
    status->config = &to->members.message;
    leader = jr_config_find(&to->members.config, jr_quorum_leader(quorum));
    status->group = (uint32_t)g;
    status->role = (char *)role_names[jr_quorum_role(quorum)];
    status->term = jr_quorum_term(quorum);
    status->commit = jr_quorum_commit(quorum);
    status->applied = jr_quorum_applied(quorum);
    status->voters_whole = (uint32_t)jr_quorum_whole_voters(quorum);
    status->leader = leader != NULL ? (char *)leader->name : none;
    if (ledger != NULL) {
        status->queued = jr_ledger_count(ledger, JR_TASK_QUEUED);
        status->leased = jr_ledger_count(ledger, JR_TASK_LEASED);
        for (int s = JR_TASK_FINISHED; s < JR_TASK_STATES; s++) {
            status->ended += jr_ledger_count(ledger, (jr_task_state_t)s);
        }
        status->workers =
            HASH_COUNT(jr_coord_table(jr_group_coord(group))->by_name);
    }
}

void
jr_control_status(jr_control_t *control, const jr_reply_address_t *reply_to)
{
    size_t n = control->n_groups;
    group_status_t *statuses = jr_alloc(control->ctx, n * sizeof *statuses);
    Jr__GroupStatus **pointers =
        jr_alloc(control->ctx, n * sizeof(Jr__GroupStatus *));
    Jr__StatusReply status = JR__STATUS_REPLY__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    for (size_t g = 0; g < n; g++) {
        if (control->groups[g] != NULL) {
            fill_group_status(control, g, &statuses[g]);
            pointers[status.n_groups++] = &statuses[g].status;
        }
    }
    status.name = control->settings.name;
    status.zone = control->settings.zone;
    status.rules_version =
        control->rules != NULL ? control->rules->version : 0;
    status.groups = pointers;
    reply.id = reply_to->id;
    reply.body_case = JR__REPLY__BODY_STATUS;
    reply.status = &status;
    jr_control_reply(control, reply_to, &reply);
    jr_free(control->ctx, pointers);
    jr_free(control->ctx, statuses);
}
