/* The rules file, and polling for rules without a replica of group 0. */
#include "control.h"

#include <glib.h>
#include <string.h>

enum { APPLY_TIMEOUT_MS = 5000 };

static const double POLL_INTERVAL_S = 0.5;
static const double RETRY_DELAY_S = 1.0;

static void propose_rules_file(jr_control_t *control);

static void
on_apply_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    jr_control_t *control = user;
    unsigned long long version =
        reply != NULL && reply->body_case == JR__REPLY__BODY_RULES
            ? (unsigned long long)reply->rules->version
            : 0;

    switch (code) {
    case JR_OK:
        jr_count(control->ctx, JR_C_RULES_ACCEPTED);
        jr_log(control->ctx, JR_EV_RULES_ACCEPTED, "%s: version %llu",
               control->settings.rules_file, version);
        break;
    case JR_NO_QUORUM:
    case JR_UNKNOWN:
        ev_timer_again(control->loop, &control->rules_retry);
        break;
    default:
        jr_count(control->ctx, code == JR_RULES_CONFLICT ? JR_C_RULES_CONFLICT
                                                         : JR_C_RULES_REFUSED);
        jr_log(control->ctx, JR_EV_RULES_REFUSED,
               "%s: %s; version %llu is in force",
               control->settings.rules_file, jr_result_text(code), version);
        break;
    }
}

static void
log_problems(jr_control_t *control, const jr_rule_problems_t *problems)
{
    jr_count(control->ctx, JR_C_RULES_REFUSED);
    for (size_t i = 0; i < problems->n; i++) {
        const jr_rule_problem_t *p = &problems->problems[i];

        jr_log(control->ctx, JR_EV_RULES_REFUSED, "%s:%d:%d: %s",
               control->settings.rules_file, p->line, p->column, p->text);
    }
}

/* Checks the rules file and proposes its contents to the rules group. */
static void
propose_rules_file(jr_control_t *control)
{
    jr_rule_problems_t problems;
    Jr__RulesApply apply = JR__RULES_APPLY__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    jr_rules_t *rules;
    char *text;

    if (!g_file_get_contents(control->settings.rules_file, &text, NULL,
                             NULL)) {
        return;
    }
    rules = jr_new_rules(control->ctx, text, &problems);
    if (rules == NULL) {
        log_problems(control, &problems);
    }
    else {
        apply.version = rules->version;
        apply.text = text;
        request.body_case = JR__REQUEST__BODY_RULES_APPLY;
        request.rules_apply = &apply;
        jr_requester_send(control->requester, &request, APPLY_TIMEOUT_MS,
                          on_apply_reply, control);
        jr_drop_rules(rules);
    }
    g_free(text);
}

static void
on_file_change(struct ev_loop *loop, ev_stat *stat, int events)
{
    (void)loop;
    (void)events;
    if (stat->attr.st_nlink > 0) {
        propose_rules_file(stat->data);
    }
}

static void
on_retry_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    ev_timer_stop(loop, timer);
    propose_rules_file(timer->data);
}

void
jr_control_watch_rules(jr_control_t *control)
{
    if (control->settings.rules_file[0] == '\0') {
        return;
    }
    ev_stat_init(&control->rules_stat, on_file_change,
                 control->settings.rules_file, POLL_INTERVAL_S);
    control->rules_stat.data = control;
    ev_stat_start(control->loop, &control->rules_stat);
    ev_timer_init(&control->rules_retry, on_retry_timer, 0.0, RETRY_DELAY_S);
    control->rules_retry.data = control;
    /* Also proposes changes that were made while the process was down. */
    ev_timer_again(control->loop, &control->rules_retry);
}

/* Asks a host of the rules group for a newer version. The request id is 0. */
static void
on_poll_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_control_t *control = timer->data;
    const jr_settings_t *settings = &control->settings;
    size_t hosts[JR_REPLICAS_MAX];
    size_t n = jr_settings_hosts(settings, 0, hosts);
    const jr_process_t *host =
        &settings->controls[hosts[control->next_rules_host++ % n]];
    Jr__RulesGet get = JR__RULES_GET__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    Jr__Envelope envelope = JR__ENVELOPE__INIT;

    (void)loop;
    (void)events;
    get.have = control->rules != NULL ? control->rules->version : 0;
    request.body_case = JR__REQUEST__BODY_RULES_GET;
    request.rules_get = &get;
    envelope.body_case = JR__ENVELOPE__BODY_REQUEST;
    envelope.request = &request;
    jr_bus_send(control->bus, jr_bus_find(control->bus, host->name),
                &envelope);
}

void
jr_control_poll_rules(jr_control_t *control)
{
    ev_timer_init(&control->rules_poll, on_poll_timer, 0.0, POLL_INTERVAL_S);
    control->rules_poll.data = control;
    ev_timer_start(control->loop, &control->rules_poll);
}

void
jr_control_reply_rules(jr_control_t *control,
                       const jr_reply_address_t *reply_to,
                       const Jr__RulesGet *get)
{
    static char none[] = "";
    Jr__RulesText text = JR__RULES_TEXT__INIT;
    Jr__Reply reply = JR__REPLY__INIT;

    text.version = control->rules != NULL ? control->rules->version : 0;
    text.text = get->have < text.version ? control->rules_text : none;
    reply.id = reply_to->id;
    reply.body_case = JR__REPLY__BODY_RULES;
    reply.rules = &text;
    jr_control_reply(control, reply_to, &reply);
}
