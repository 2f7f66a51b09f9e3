/*
 * Joining: a replica that is new, or that was removed while it was silent,
 * becomes a member of its groups.
 */
#include "control.h"

enum { JOIN_TIMEOUT_MS = 2000 };

static const double JOIN_INTERVAL_S = 0.25; /* between requests */

/* A request for membership of one group. */
typedef struct {
    jr_control_t *control;
    size_t group;
} join_t;

static void request_membership(jr_control_t *control, size_t g);

/* Of a reply that refuses a request for want of a ticket. */
static bool
take_ticket(jr_join_ticket_t *ticket, const Jr__Reply *reply)
{
    jr_join_ticket_t issued;

    if (reply == NULL || reply->body_case != JR__REPLY__BODY_JOIN_TICKET) {
        return false;
    }
    issued.term = reply->join_ticket->term;
    issued.config_index = reply->join_ticket->config_index;
    if (issued.term == ticket->term &&
        issued.config_index == ticket->config_index) {
        return false; /* refused for another reason */
    }
    *ticket = issued;
    return true;
}

/* on_join_timer() repeats a request that was refused or got no reply. */
static void
on_join_reply(void *user, jr_result_t code, const Jr__Reply *reply)
{
    join_t *join = user;
    jr_control_t *control = join->control;
    size_t g = join->group;

    jr_free(control->ctx, join);
    control->n_open_joins--;
    if (control->is_stopping) {
        return;
    }
    if (take_ticket(&control->join_tickets[g], reply)) {
        request_membership(control, g);
    }
    else if (code != JR_OK) {
        jr_log(control->ctx, JR_EV_JOINING, "replica %016llx is not added: %s",
               (unsigned long long)control->replica_id,
               reply != NULL ? reply->message : jr_result_text(code));
    }
}

static bool
needs_join(const jr_control_t *control, size_t g)
{
    return control->groups[g] != NULL &&
           jr_quorum_needs_join(jr_group_quorum(control->groups[g]));
}

/* The processes in the settings may all be down, or no members themselves. */
static void
add_members_as_peers(jr_control_t *control, size_t g)
{
    const jr_config_t *config =
        jr_quorum_config(jr_group_quorum(control->groups[g]));

    for (size_t i = 0; i < config->n; i++) {
        const jr_member_t *member = &config->members[i];
        int peer = jr_bus_connect(control->bus, member->name, member->address);

        if (peer >= 0) {
            jr_requester_add_peer(control->requester, peer);
        }
    }
}

static void
request_membership(jr_control_t *control, size_t g)
{
    Jr__Member member = JR__MEMBER__INIT;
    Jr__Join join = JR__JOIN__INIT;
    Jr__JoinTicket ticket = JR__JOIN_TICKET__INIT;
    Jr__Request request = JR__REQUEST__INIT;
    join_t *pending = jr_alloc(control->ctx, sizeof *pending);

    pending->control = control;
    pending->group = g;
    add_members_as_peers(control, g);
    member.id = control->replica_id;
    member.name = control->settings.name;
    member.address = control->settings.bus;
    ticket.term = control->join_tickets[g].term;
    ticket.config_index = control->join_tickets[g].config_index;
    join.member = &member;
    join.ticket = &ticket;
    request.group = (uint32_t)g;
    request.body_case = JR__REQUEST__BODY_JOIN;
    request.join = &join;
    control->n_open_joins++;
    jr_requester_send(control->requester, &request, JOIN_TIMEOUT_MS,
                      on_join_reply, pending);
}

static void
on_join_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_control_t *control = timer->data;
    bool is_joining = false;

    (void)loop;
    (void)events;
    if (control->n_open_joins > 0) {
        return;
    }
    for (size_t g = 0; g < control->n_groups; g++) {
        if (needs_join(control, g)) {
            is_joining = true;
            request_membership(control, g);
        }
    }
    if (is_joining && !control->is_joining) {
        jr_log(control->ctx, JR_EV_JOINING,
               "replica %016llx requests membership",
               (unsigned long long)control->replica_id);
    }
    control->is_joining = is_joining;
}

void
jr_control_start_joining(jr_control_t *control)
{
    ev_timer_init(&control->join, on_join_timer, 0.0, JOIN_INTERVAL_S);
    control->join.data = control;
    ev_timer_start(control->loop, &control->join);
}
