/*
 * Load for the demo: sends calls and tasks through all entry processes in
 * turn, as clients behind a load balancer do, and then checks the results
 * against the logs of the executors and workers.
 */
#include <dirent.h>
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "jayrelay/http.h"
#include "jayrelay/program.h"
#include "report.h"

enum {
    CALL_DEADLINE_MS = 1500,
    CALL_TIMEOUT_MS = 4000,
    TASK_TIMEOUT_MS = 6000,
    ATTEMPTS_MAX = 12, /* of a call */
    RESEND_MS = 300,
    POLL_MS = 500,
    TASK_RUN_MS = 1500,
};

typedef struct {
    load_t *load;
    call_t *call;
} call_attempt_t;

typedef struct {
    load_t *load;
    job_t *job;
} job_attempt_t;

static const char *
next_entry(load_t *load)
{
    return load->entries[load->next_entry++ % load->n_entries];
}

static void send_call(load_t *load, call_t *call);

static void
on_resend_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    call_t *call = timer->data;

    (void)loop;
    (void)events;
    send_call(call->load, call);
}

static void
schedule_resend(load_t *load, call_t *call)
{
    ev_timer_init(&call->timer, on_resend_timer, RESEND_MS / 1000.0, 0.0);
    call->timer.data = call;
    ev_timer_start(load->loop, &call->timer);
}

static void
count_refusal(load_t *load, const jr_fetched_t *fetched)
{
    json_t *answer = json_loadb(fetched->body, fetched->len, 0, NULL);
    const char *reason = json_string_value(json_object_get(answer, "reason"));
    char *key = g_strdup(reason != NULL ? reason : "none");
    gpointer n = g_hash_table_lookup(load->refusals, key);

    g_hash_table_replace(load->refusals, key,
                         GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
    json_decref(answer);
}

static void
check_answer(load_t *load, call_t *call, const jr_fetched_t *fetched)
{
    char expected[64];

    snprintf(expected, sizeof expected, "answer to call-%d", call->number);
    if (strcmp(fetched->body, expected) == 0) {
        call->outcome = CALL_ANSWERED;
        g_array_append_val(load->latencies, call->latency_us);
    }
    else {
        call->outcome = CALL_WRONG;
    }
}

/*
 * After a refused connection the call is sent to the next host at once, as a
 * load balancer does. A call with an unknown outcome is sent again when that
 * is safe: when it is idempotent or has an idempotency key.
 */
static void
on_call_reply(void *user, const jr_fetched_t *fetched)
{
    call_attempt_t *attempt = user;
    load_t *load = attempt->load;
    call_t *call = attempt->call;
    bool can_resend = call->n_attempts < ATTEMPTS_MAX &&
                      (call->is_idempotent || call->is_keyed);

    free(attempt);
    call->latency_us = (double)(jr_clock_us() - call->sent_at);
    load->n_open--;
    if (fetched->outcome == JR_FETCH_NOT_CONNECTED &&
        call->n_attempts < ATTEMPTS_MAX) {
        send_call(load, call);
    }
    else if (fetched->outcome == JR_FETCH_ANSWERED && fetched->status == 200) {
        check_answer(load, call, fetched);
    }
    else if (fetched->outcome == JR_FETCH_ANSWERED &&
             strstr(fetched->body, "\"not-run\"") != NULL) {
        call->outcome = CALL_REFUSED;
        count_refusal(load, fetched);
    }
    else {
        call->outcome = CALL_UNKNOWN;
        if (can_resend) {
            schedule_resend(load, call);
        }
    }
}

static void
send_call(load_t *load, call_t *call)
{
    call_attempt_t *attempt = malloc(sizeof *attempt);
    char url[128], body[64], deadline[16], key[64];
    jr_header_t headers[] = {
        {"Jayrelay-Deadline-Ms", deadline},
        {"Jayrelay-Idempotent", call->is_idempotent ? "yes" : "no"},
        {"Idempotency-Key", key},
    };
    jr_fetch_t fetch = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .n_headers = call->is_keyed ? 3 : 2,
        .body = body,
        .timeout_ms = CALL_TIMEOUT_MS,
        .is_fresh = true,
        .handler = on_call_reply,
        .user = attempt,
    };

    attempt->load = load;
    attempt->call = call;
    snprintf(url, sizeof url, "http://%s/v1/call/advice", next_entry(load));
    snprintf(body, sizeof body, "call-%d", call->number);
    snprintf(key, sizeof key, "key-%d", call->number);
    snprintf(deadline, sizeof deadline, "%d", CALL_DEADLINE_MS);
    fetch.len = strlen(body);
    if (call->n_attempts++ == 0) {
        call->sent_at = jr_clock_us();
    }
    load->n_open++;
    jr_client_fetch(load->client, &fetch);
}

static void
on_call_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    load_t *load = timer->data;
    call_t *call;

    (void)events;
    if (load->n_sent == load->n_calls) {
        ev_timer_stop(loop, timer);
        return;
    }
    call = &load->calls[load->n_sent];
    call->load = load;
    call->number = load->n_sent++;
    /* One third is idempotent, one third has a key, the rest neither. */
    call->is_idempotent = call->number % 3 == 0;
    call->is_keyed = call->number % 3 == 2;
    send_call(load, call);
}

static void
on_job_reply(void *user, const jr_fetched_t *fetched)
{
    job_attempt_t *attempt = user;
    job_t *job = attempt->job;
    json_t *answer;
    const char *id;
    const char *state;

    free(attempt);
    job->is_request_open = false;
    if (fetched->outcome != JR_FETCH_ANSWERED || fetched->status != 200) {
        return;
    }
    answer = json_loadb(fetched->body, fetched->len, 0, NULL);
    id = json_string_value(json_object_get(answer, "id"));
    state = json_string_value(json_object_get(answer, "state"));
    if (id != NULL && state != NULL) {
        if (job->id[0] != '\0' && strcmp(job->id, id) != 0) {
            job->is_duplicated = true;
        }
        g_strlcpy(job->id, id, sizeof job->id);
        job->is_finished = strcmp(state, "finished") == 0;
    }
    json_decref(answer);
}

/* Submits a task with the same key until it has an id, then queries it. */
static void
submit_or_query_job(load_t *load, job_t *job)
{
    static const char *const classes[] = {"cure-study", "allocation", "watch"};
    job_attempt_t *attempt = malloc(sizeof *attempt);
    char url[128], body[512];
    bool is_new = job->id[0] == '\0';
    jr_fetch_t fetch = {
        .method = is_new ? "POST" : "GET",
        .url = url,
        .body = body,
        .timeout_ms = TASK_TIMEOUT_MS,
        .handler = on_job_reply,
        .user = attempt,
    };

    attempt->load = load;
    attempt->job = job;
    snprintf(url, sizeof url, "http://%s/v1/tasks%s%s", next_entry(load),
             is_new ? "" : "/", job->id);
    snprintf(body, sizeof body,
             "{\"key\":\"job-%d\",\"team\":\"demo\",\"class\":\"%s\","
             "\"payload\":\"\",\"run_ms\":%d,\"need\":{\"cpu_milli\":1000,"
             "\"memory_mb\":512}}",
             job->number, classes[job->number % 3], TASK_RUN_MS);
    fetch.len = is_new ? strlen(body) : 0;
    job->is_request_open = true;
    jr_client_fetch(load->client, &fetch);
}

static bool
is_complete(const load_t *load)
{
    if (load->n_sent < load->n_calls || load->n_open > 0) {
        return false;
    }
    for (int i = 0; i < load->n_jobs; i++) {
        if (!load->jobs[i].is_finished) {
            return false;
        }
    }
    return true;
}

static void
on_poll_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    load_t *load = timer->data;
    int64_t age_ms = jr_clock_ms() - load->started_ms;

    (void)events;
    for (int i = 0; i < load->n_jobs; i++) {
        job_t *job = &load->jobs[i];

        /* Submissions are spread evenly over the time of the calls. */
        if (!job->is_finished && !job->is_request_open &&
            age_ms * load->n_jobs >= (int64_t)i * load->seconds * 1000) {
            submit_or_query_job(load, job);
        }
    }
    if (is_complete(load) || age_ms > (int64_t)load->limit_s * 1000) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static bool
parse_options(load_t *load, int argc, char **argv)
{
    gchar *entries = NULL;
    GOptionEntry options[] = {
        {"entries", 0, 0, G_OPTION_ARG_STRING, &entries, "", ""},
        {"logs", 0, 0, G_OPTION_ARG_STRING, &load->logs, "", ""},
        {"rate", 0, 0, G_OPTION_ARG_INT, &load->rate, "", ""},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &load->seconds, "", ""},
        {"limit", 0, 0, G_OPTION_ARG_INT, &load->limit_s, "", ""},
        {"jobs", 0, 0, G_OPTION_ARG_INT, &load->n_jobs, "", ""},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new(NULL);
    bool ok;

    g_option_context_add_main_entries(context, options, NULL);
    ok = g_option_context_parse(context, &argc, &argv, NULL) &&
         entries != NULL && load->logs != NULL;
    g_option_context_free(context);
    if (ok) {
        load->entries = g_strsplit(entries, ",", -1);
        load->n_entries = (int)g_strv_length(load->entries);
    }
    g_free(entries);
    return ok;
}

static void
start_timer(load_t *load, ev_timer *timer,
            void (*handler)(struct ev_loop *, ev_timer *, int), double every_s)
{
    ev_timer_init(timer, handler, 0.0, every_s);
    timer->data = load;
    ev_timer_start(load->loop, timer);
}

int
main(int argc, char **argv)
{
    load_t load = {.rate = 200, .seconds = 10, .limit_s = 30, .n_jobs = 40};
    ev_timer calls, poll;
    int status;

    signal(SIGPIPE, SIG_IGN);
    if (!parse_options(&load, argc, argv)) {
        fprintf(stderr,
                "demo-load: invalid options: expected at least --entries and "
                "--logs; got --logs %.100s\n",
                load.logs != NULL ? load.logs : "(none)");
        return 2;
    }
    load.ctx = jr_new_ctx("demo-load", NULL);
    load.loop = ev_default_loop(EVFLAG_AUTO);
    load.client = jr_new_client(load.ctx, load.loop);
    load.refusals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    load.latencies = g_array_new(FALSE, FALSE, sizeof(double));
    load.n_calls = load.rate * load.seconds;
    load.calls = g_new0(call_t, load.n_calls + 1);
    load.jobs = g_new0(job_t, load.n_jobs + 1);
    for (int i = 0; i < load.n_jobs; i++) {
        load.jobs[i].number = i;
    }
    load.started_ms = jr_clock_ms();
    start_timer(&load, &calls, on_call_timer, 1.0 / load.rate);
    start_timer(&load, &poll, on_poll_timer, POLL_MS / 1000.0);
    ev_run(load.loop, 0);
    status = load_report(&load);
    jr_drop_client(load.client);
    g_hash_table_destroy(load.refusals);
    g_array_free(load.latencies, TRUE);
    g_strfreev(load.entries);
    g_free(load.logs);
    g_free(load.calls);
    g_free(load.jobs);
    jr_drop_ctx(load.ctx);
    return status;
}
