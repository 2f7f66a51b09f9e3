/* HTTP requests to the job group in this process. */
#include "control.h"

#include <glib.h>
#include <string.h>

#include "platform/platform.h"

enum {
    REQUEST_TIMEOUT_MS = 900, /* callers try another process after 1 s */
    HTTP_OK = 200,
    HTTP_UNAVAILABLE = 503,
    HTTP_NOT_FOUND = 404,
    PATH_TEXT_BYTES = 160, /* of a request, in a log line */
};

/* A client request that waits for the reply of the leader. */
typedef struct {
    jr_control_t *control;
    jr_exchange_t *exchange;
    jr_platform_call_t call;
    uint64_t version; /* of the submitted configuration */
} pending_request_t;

static void
answer_status(jr_exchange_t *exchange, unsigned status, const char *text)
{
    jr_http_answer(exchange, status, NULL, 0, text, strlen(text));
}

static bool
is_of_worker(jr_platform_call_t call)
{
    return call == JR_CALL_HEARTBEAT || call == JR_CALL_LEAVE ||
           call == JR_CALL_BAD_WORKER;
}

/* Before the request is answered. */
static void
note_bad_request(jr_control_t *control, const jr_exchange_t *exchange,
                 jr_platform_call_t call, const char *reason)
{
    char path[PATH_TEXT_BYTES];

    jr_count(control->ctx, is_of_worker(call) ? JR_C_REFUSED_WORKER
                                              : JR_C_REFUSED_BAD_REQUEST);
    jr_log(control->ctx,
           is_of_worker(call) ? JR_EV_WORKER_REFUSED : JR_EV_CONFIG_REFUSED,
           "path=%s reason=%s",
           jr_log_value(path, sizeof path, jr_exchange_path(exchange)),
           reason);
}

static void
on_leader_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    pending_request_t *pending = user;
    jr_ctx_t *ctx = pending->control->ctx;
    unsigned status;

    if (code == JR_BAD_REQUEST && is_of_worker(pending->call)) {
        note_bad_request(pending->control, pending->exchange, pending->call,
                         reply != NULL ? reply->message
                                       : jr_result_text(code));
    }
    status = jr_platform_answer(pending->exchange, pending->call, code, reply);
    if (pending->call == JR_CALL_ZONE && code == JR_OVERTAKEN) {
        jr_count(ctx, JR_C_REFUSED_OVERTAKEN);
    }
    if (pending->call == JR_CALL_PUT_CONFIG) {
        jr_log(ctx, JR_EV_CONFIG_ACCEPTED, "version=%llu code=%s status=%u",
               (unsigned long long)pending->version, jr_result_name(code),
               status);
    }
    jr_free(ctx, pending);
}

static void
send_to_leader(jr_control_t *control, jr_exchange_t *exchange,
               jr_platform_request_t *request)
{
    pending_request_t *pending = jr_alloc(control->ctx, sizeof *pending);

    pending->control = control;
    pending->exchange = exchange;
    pending->call = request->call;
    if (request->call == JR_CALL_PUT_CONFIG) {
        pending->version = request->request->job_command->config->version;
    }
    jr_requester_send(control->requester, request->request, REQUEST_TIMEOUT_MS,
                      on_leader_reply, pending);
}

static void
reject_bad_request(jr_control_t *control, jr_exchange_t *exchange,
                   jr_platform_call_t call)
{
    Jr__Reply reply = JR__REPLY__INIT;

    note_bad_request(control, exchange, call, control->ctx->error.text);
    reply.message = control->ctx->error.text;
    jr_platform_answer(exchange, call, JR_BAD_REQUEST, &reply);
}

static bool
is_known_zone(const jr_control_t *control, const char *name)
{
    const jr_settings_t *settings = &control->settings;

    for (int64_t i = 0; i < settings->n_zones; i++) {
        if (strcmp(settings->zones[i], name) == 0) {
            return true;
        }
    }
    return settings->n_zones == 0;
}

/*
 * A request that waited in a socket while this process was paused may be
 * outdated, and its operator has closed the connection by now: it is not
 * carried out. The log refuses those that are overtaken later.
 */
static void
send_zone_request(jr_control_t *control, jr_exchange_t *exchange,
                  jr_platform_request_t *request)
{
    Jr__JobZoneRequest *zone = request->request->job_command->zone;
    jr_jobs_t *jobs =
        control->groups[0] != NULL ? jr_group_jobs(control->groups[0]) : NULL;
    jr_result_t refused = JR_OK;

    if (!is_known_zone(control, zone->zone)) {
        jr_count(control->ctx, JR_C_REFUSED_ZONE);
        refused = JR_NOT_FOUND;
    }
    else if (jr_exchange_is_abandoned(exchange)) {
        jr_count(control->ctx, JR_C_REFUSED_OVERTAKEN);
        refused = JR_OVERTAKEN;
    }
    if (refused != JR_OK) {
        jr_log(control->ctx, JR_EV_ZONE_REFUSED, "zone=%s drains=%d code=%s",
               zone->zone, zone->drains, jr_result_name(refused));
        jr_platform_answer(exchange, request->call, refused, NULL);
        return;
    }
    zone->seen = jobs != NULL ? jr_zones_accepted(jobs->zones, zone->zone) : 0;
    send_to_leader(control, exchange, request);
}

void
jr_control_on_job_http(void *user, jr_exchange_t *exchange)
{
    jr_control_t *control = user;
    jr_platform_request_t request;

    jr_platform_decode_control_request(control->ctx, exchange, &request);
    switch (request.call) {
    case JR_CALL_BAD:
    case JR_CALL_BAD_WORKER:
        reject_bad_request(control, exchange, request.call);
        break;
    case JR_CALL_UNKNOWN:
        answer_status(exchange, HTTP_NOT_FOUND, "{}");
        break;
    case JR_CALL_READY:
        answer_status(exchange,
                      control->is_draining ? HTTP_UNAVAILABLE : HTTP_OK, "");
        break;
    case JR_CALL_METRICS: {
        char *text = jr_control_metrics(control);

        answer_status(exchange, HTTP_OK, text);
        jr_free(control->ctx, text);
        break;
    }
    case JR_CALL_ZONE:
        send_zone_request(control, exchange, &request);
        break;
    default:
        send_to_leader(control, exchange, &request);
        break;
    }
    jr_platform_request_clear(&request);
}
