/* Requests handled by the leader of a job group. */
#include "group.h"

#include <string.h>

enum {
    /*
     * Reads of jobs are served without a new confirmation if a majority
     * confirmed the leader within this time, so a reply may be this stale.
     */
    MAX_CONFIRMATION_AGE_MS = 500,
    QUEUE_TEXT_BYTES = 128, /* of its host or prefix, in a log line */
};

static void
reply_code(jr_group_t *group, const jr_reply_address_t *reply_to,
           jr_result_t code)
{
    jr_group_reply_code(group, reply_to, code, jr_result_text(code));
}

static jr_pending_reply_t *
propose_command(jr_group_t *group, const jr_reply_address_t *reply_to,
                Jr__JobCommand *command)
{
    jr_pending_reply_t *pending;
    uint8_t *bytes;
    size_t len;

    command->at_ms = group->now + group->options.wall_offset;
    len = jr__job_command__get_packed_size(command);
    bytes = jr_alloc(group->ctx, len + 1);
    jr__job_command__pack(command, bytes);
    pending = jr_group_propose(group, reply_to, bytes, len);
    jr_free(group->ctx, bytes);
    return pending;
}

/* A submission of the job is on its way to the log. */
static bool
is_proposed(const jr_group_t *group, uint64_t id)
{
    const jr_pending_reply_t *pending;

    TAILQ_FOREACH (pending, &group->pending_replies, link) {
        if (pending->is_submit && pending->job == id) {
            return true;
        }
    }
    return false;
}

static void
refuse_backlog(jr_group_t *group, const jr_reply_address_t *reply_to,
               const Jr__JobSpec *spec, const jr_job_queue_t *queue,
               const jr_intake_verdict_t *verdict)
{
    bool is_urgent = verdict->reason == JR_INTAKE_URGENT_BACKLOG;
    char host[QUEUE_TEXT_BYTES];
    char prefix[QUEUE_TEXT_BYTES];
    Jr__Reply reply = JR__REPLY__INIT;

    jr_count(group->ctx, is_urgent ? JR_C_REFUSED_URGENT_BACKLOG
                                   : JR_C_REFUSED_QUEUE_BACKLOG);
    jr_log(group->ctx, JR_EV_JOB_REFUSED,
           "job=%016llx host=%s prefix=%s backlog=%s wait_ms=%lld "
           "limit_ms=%lld retry_after_ms=%lld",
           (unsigned long long)spec->id,
           jr_log_value(host, sizeof host, queue->config->host),
           jr_log_value(prefix, sizeof prefix, queue->config->prefix),
           is_urgent ? "urgent" : "queue", (long long)verdict->wait_ms,
           (long long)verdict->limit_ms, (long long)verdict->retry_after_ms);
    reply.code = JR_OVERLOADED;
    reply.message = (char *)jr_result_text(JR_OVERLOADED);
    reply.retry_after_ms = (uint32_t)verdict->retry_after_ms;
    jr_group_send_reply(group, reply_to, &reply);
}

/*
 * A refusal says that the job does not run, so an earlier submission of it
 * must not be on its way: to this leader, or to one that replaced it without
 * its knowledge. Then the log decides.
 */
static bool
may_refuse(const jr_group_t *group, uint64_t id)
{
    return jr_quorum_is_confirmed(group->quorum, group->now,
                                  MIN(group->options.quorum.election_ms,
                                      (int64_t)MAX_CONFIRMATION_AGE_MS)) &&
           !is_proposed(group, id);
}

/*
 * A job that can't be served now is refused at once. Not one whose earlier
 * submission is on its way to the log: the refusal would be untrue.
 */
static bool
refuse_unserved(jr_group_t *group, const jr_reply_address_t *reply_to,
                const Jr__JobSpec *spec, jr_job_queue_t *queue)
{
    jr_intake_verdict_t verdict;

    if (jr_jobs_is_queue_drained(group->as.jobs.jobs, queue)) {
        if (!may_refuse(group, spec->id)) {
            return false;
        }
        jr_count(group->ctx, JR_C_REFUSED_ZONES_DRAINED);
        reply_code(group, reply_to, JR_NO_UPSTREAM);
        return true;
    }
    if (jr_dispatch_admit(group->as.jobs.dispatch, queue, spec, &verdict) ||
        !may_refuse(group, spec->id)) {
        return false;
    }
    refuse_backlog(group, reply_to, spec, queue, &verdict);
    return true;
}

/* The request path selects the queue; its remainder is the job id. */
static void
on_submit(jr_group_t *group, const jr_reply_address_t *reply_to,
          Jr__JobCommand *command)
{
    jr_jobs_t *jobs = group->as.jobs.jobs;
    Jr__JobSpec *spec = command->submit->spec;
    jr_job_queue_t *queue;
    jr_pending_reply_t *pending;
    const char *rest;
    char *path;

    if (spec == NULL) {
        reply_code(group, reply_to, JR_BAD_REQUEST);
        return;
    }
    queue = jr_jobs_route(jobs, spec->host, spec->prefix, &rest);
    if (queue == NULL) {
        reply_code(group, reply_to,
                   jobs->config == NULL ? JR_NO_CONFIG : JR_NOT_FOUND);
        return;
    }
    if (!jr_job_id_parse(rest, &spec->id) ||
        jr_job_check(group->ctx, spec) != JR_OK) {
        jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                            group->ctx->error.text);
        return;
    }
    if (jr_jobs_find(jobs, spec->id) != NULL) {
        jr_count(group->ctx, JR_C_SUBMIT_REPEATED);
        reply_code(group, reply_to, JR_OK);
        return;
    }
    if (refuse_unserved(group, reply_to, spec, queue)) {
        return;
    }
    path = spec->prefix;
    spec->prefix = queue->config->prefix;
    pending = propose_command(group, reply_to, command);
    spec->prefix = path;
    if (pending != NULL) {
        pending->is_submit = true;
        pending->job = spec->id;
    }
}

static void
on_config(jr_group_t *group, const jr_reply_address_t *reply_to,
          Jr__JobCommand *command)
{
    const Jr__JobConfig *current = group->as.jobs.jobs->config;

    if (current != NULL && command->config->version <= current->version) {
        reply_code(group, reply_to, JR_OK);
        return;
    }
    propose_command(group, reply_to, command);
}

/*
 * Goes through the log also when the zone is in the state already: only the
 * log tells whether this replica still leads.
 */
static void
on_zone_request(jr_group_t *group, const jr_reply_address_t *reply_to,
                Jr__JobCommand *command)
{
    if (!jr_zone_name_is_valid(command->zone->zone)) {
        jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                            "the name of the zone is not valid");
        return;
    }
    propose_command(group, reply_to, command);
}

static void
on_command(jr_group_t *group, const jr_reply_address_t *reply_to,
           Jr__JobCommand *command)
{
    switch (command->body_case) {
    case JR__JOB_COMMAND__BODY_SUBMIT:
        on_submit(group, reply_to, command);
        break;
    case JR__JOB_COMMAND__BODY_CONFIG:
        on_config(group, reply_to, command);
        break;
    case JR__JOB_COMMAND__BODY_ZONE:
        on_zone_request(group, reply_to, command);
        break;
    default:
        jr_group_reply_code(
            group, reply_to, JR_BAD_REQUEST,
            "unexpected job command; expected submit, config or zone");
        break;
    }
}

static void
reply_job_state(jr_group_t *group, const jr_reply_address_t *reply_to,
                const jr_job_t *job)
{
    Jr__JobAnswer body = JR__JOB_ANSWER__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    body.state = (char *)jr_job_state_name(job->state);
    reply.body_case = JR__REPLY__BODY_JOB;
    reply.job = &body;
    jr_group_send_reply(group, reply_to, &reply);
}

static void
reply_pending_count(jr_group_t *group, const jr_reply_address_t *reply_to,
                    const jr_job_queue_t *queue)
{
    Jr__JobAnswer body = JR__JOB_ANSWER__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    body.pending = queue->pending;
    reply.body_case = JR__REPLY__BODY_JOB;
    reply.job = &body;
    jr_group_send_reply(group, reply_to, &reply);
}

static void
on_cancel(jr_group_t *group, const jr_reply_address_t *reply_to, uint64_t id)
{
    Jr__JobCancel body = JR__JOB_CANCEL__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    body.job = id;
    command.body_case = JR__JOB_COMMAND__BODY_CANCEL;
    command.cancel = &body;
    propose_command(group, reply_to, &command);
}

/* Sets @rest to what follows the queue in the path. */
static jr_job_t *
find_job(const jr_group_t *group, const Jr__JobAsk *ask,
         jr_job_queue_t **queue, const char **rest)
{
    jr_jobs_t *jobs = group->as.jobs.jobs;
    uint64_t id;

    *queue = jr_jobs_route(jobs, ask->host, ask->path, rest);
    return *queue != NULL && jr_job_id_parse(*rest, &id)
               ? jr_jobs_find(jobs, id)
               : NULL;
}

void
jr_group_serve_ask(jr_group_t *group, const jr_reply_address_t *reply_to,
                   const Jr__JobAsk *ask)
{
    jr_jobs_t *jobs = group->as.jobs.jobs;
    const char *rest;
    jr_job_queue_t *queue;
    jr_job_t *job = find_job(group, ask, &queue, &rest);

    if (queue == NULL) {
        reply_code(group, reply_to,
                   jobs->config == NULL ? JR_NO_CONFIG : JR_NOT_FOUND);
        return;
    }
    if (ask->verb == JR__JOB_ASK__VERB__COUNT && *rest == '\0') {
        reply_pending_count(group, reply_to, queue);
        return;
    }
    if (job == NULL) {
        reply_code(group, reply_to, JR_GONE);
    }
    else if (ask->verb == JR__JOB_ASK__VERB__CANCEL && jr_job_is_live(job)) {
        on_cancel(group, reply_to, job->id);
    }
    else {
        reply_job_state(group, reply_to, job);
    }
}

/*
 * A leader that was replaced without knowing it may lack a job that its
 * successor has accepted, so a job is called unknown only after a new
 * confirmation.
 */
static void
on_ask(jr_group_t *group, const jr_reply_address_t *reply_to,
       const Jr__Request *request)
{
    const Jr__JobAsk *ask = request->job_ask;
    const char *rest;
    jr_job_queue_t *queue;

    if (!jr_quorum_is_confirmed(group->quorum, group->now,
                                MAX_CONFIRMATION_AGE_MS)) {
        jr_group_reply_code(
            group, reply_to, JR_NO_QUORUM,
            "the leader was not recently confirmed by a majority");
    }
    else if (ask->verb != JR__JOB_ASK__VERB__COUNT &&
             find_job(group, ask, &queue, &rest) == NULL && queue != NULL) {
        jr_group_defer_read(group, reply_to, request);
    }
    else {
        jr_group_serve_ask(group, reply_to, ask);
    }
}

/* Says so, if it is not. */
static bool
is_born(jr_group_t *group, const jr_reply_address_t *reply_to, int64_t born)
{
    if (jr_dispatch_is_born(born)) {
        return true;
    }
    jr_fail(group->ctx, JR_BAD_REQUEST,
            "worker: 'born' is %lld; expected the time of a start, in ms",
            (long long)born);
    jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                        group->ctx->error.text);
    return false;
}

/*
 * A worker that names its start does so in all that it says of itself. Says
 * so, if the check-in does not.
 */
static bool
names_start(jr_group_t *group, const jr_reply_address_t *reply_to,
            const Jr__JobWorker *info)
{
    const jr_job_worker_t *known =
        jr_jobs_worker(group->as.jobs.jobs, info->id);

    if (info->born != 0 || known == NULL || known->info->born == 0) {
        return true;
    }
    jr_fail(group->ctx, JR_BAD_REQUEST,
            "worker: 'born' is missing; the worker of that id has named it");
    jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                        group->ctx->error.text);
    return false;
}

static bool
has_service(const Jr__JobConfig *config, const char *service)
{
    for (size_t i = 0; i < config->n_services; i++) {
        if (strcmp(config->services[i]->name, service) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Another writer may use the id of a worker, and name a service that there is
 * not: the worker has not restarted. Says so, if it is such a check-in.
 */
static bool
has_valid_service(jr_group_t *group, const jr_reply_address_t *reply_to,
                  const Jr__JobWorker *info)
{
    jr_jobs_t *jobs = group->as.jobs.jobs;
    const jr_job_worker_t *known = jr_jobs_worker(jobs, info->id);

    if (known == NULL || jobs->config == NULL ||
        strcmp(known->info->service, info->service) == 0 ||
        has_service(jobs->config, info->service)) {
        return true;
    }
    jr_fail(group->ctx, JR_BAD_REQUEST,
            "worker: 'service' is '%.40s', which is not configured; the "
            "worker of that id is of '%.40s'",
            info->service, known->info->service);
    jr_group_reply_code(group, reply_to, JR_BAD_REQUEST,
                        group->ctx->error.text);
    return false;
}

static void
on_worker(jr_group_t *group, const jr_reply_address_t *reply_to,
          Jr__JobWorker *info)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    jr_count(group->ctx, JR_C_HEARTBEATS);
    if (!is_born(group, reply_to, info->born) ||
        !names_start(group, reply_to, info) ||
        !has_valid_service(group, reply_to, info)) {
        return;
    }
    if (!jr_dispatch_checked_in(group->as.jobs.dispatch, info, group->now)) {
        reply_code(group, reply_to, JR_OK);
        return;
    }
    jr_log(group->ctx, JR_EV_WORKER_CHECKED_IN,
           "worker=%s born=%lld address=%s service=%s cpu=%u mem=%u "
           "draining=%d",
           info->id, (long long)info->born, info->address, info->service,
           info->cpu_milli, info->memory_mb, info->draining);
    command.body_case = JR__JOB_COMMAND__BODY_WORKER;
    command.worker = info;
    propose_command(group, reply_to, &command);
}

/* Acknowledged once it is in the log: the worker does not say it again. */
static void
on_leave(jr_group_t *group, const jr_reply_address_t *reply_to,
         const Jr__JobLeave *leave)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobWorkerLeaving leaving = JR__JOB_WORKER_LEAVING__INIT;

    if (!is_born(group, reply_to, leave->born)) {
        return;
    }
    if (!jr_dispatch_left(group->as.jobs.dispatch, leave->id, leave->born,
                          group->now)) {
        reply_code(group, reply_to, JR_OK);
        return;
    }
    leaving.id = leave->id;
    leaving.born = jr_jobs_worker(group->as.jobs.jobs, leave->id)->info->born;
    command.body_case = JR__JOB_COMMAND__BODY_WORKER_LEAVING;
    command.worker_leaving = &leaving;
    propose_command(group, reply_to, &command);
}

void
jr_group_serve_config(jr_group_t *group, const jr_reply_address_t *reply_to)
{
    Jr__JobAnswer body = JR__JOB_ANSWER__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    if (group->as.jobs.jobs->config == NULL) {
        reply_code(group, reply_to, JR_NO_CONFIG);
        return;
    }
    body.config = group->as.jobs.jobs->config;
    reply.body_case = JR__REPLY__BODY_JOB;
    reply.job = &body;
    jr_group_send_reply(group, reply_to, &reply);
}

/*
 * Most check-ins repeat what is in the log. Any replica acknowledges those, so
 * that the leader gets only what is new. It learns from renewals who is alive.
 * A replica that is cut off from the leader has an old log: what repeats that
 * one may be new to the leader.
 */
static bool
is_known_check_in(const jr_group_t *group, const Jr__Request *request)
{
    jr_jobs_t *jobs = group->as.jobs.jobs;
    const jr_job_worker_t *worker;

    if (request->body_case != JR__REQUEST__BODY_JOB_WORKER ||
        !jr_quorum_hears_leader(group->quorum, group->now)) {
        return false;
    }
    worker = jr_jobs_worker(jobs, request->job_worker->id);
    return worker != NULL &&
           jr_worker_is_unchanged(jobs, worker, request->job_worker);
}

bool
jr_group_job_request(jr_group_t *group, const jr_reply_address_t *reply_to,
                     const Jr__Request *request)
{
    if (request->body_case == JR__REQUEST__BODY_JOIN) {
        return false;
    }
    if (!group->is_leading && is_known_check_in(group, request)) {
        jr_count(group->ctx, JR_C_HEARTBEATS);
        reply_code(group, reply_to, JR_OK);
        return true;
    }
    if (!group->is_leading) {
        reply_code(group, reply_to, JR_NOT_LEADER);
        return true;
    }
    switch (request->body_case) {
    case JR__REQUEST__BODY_JOB_COMMAND:
        on_command(group, reply_to, request->job_command);
        return true;
    case JR__REQUEST__BODY_JOB_ASK:
        on_ask(group, reply_to, request);
        return true;
    case JR__REQUEST__BODY_CONFIG_READ:
        jr_group_defer_read(group, reply_to, request);
        return true;
    case JR__REQUEST__BODY_JOB_WORKER:
        on_worker(group, reply_to, request->job_worker);
        return true;
    case JR__REQUEST__BODY_JOB_LEAVE:
        on_leave(group, reply_to, request->job_leave);
        return true;
    default:
        return false;
    }
}
