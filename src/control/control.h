/**
 * DOC: control - private to jayrelay-control: the state of the process
 */
#ifndef JR_CONTROL_CONTROL_H
#define JR_CONTROL_CONTROL_H

#include <ev.h>

#include "jayrelay/ask.h"
#include "jayrelay/bus.h"
#include "jayrelay/carrier.h"
#include "jayrelay/group.h"
#include "jayrelay/http.h"
#include "jayrelay/program.h"
#include "jayrelay/watch.h"

/* The names of further replicas are not recorded. */
enum { KNOWN_REPLICAS_MAX = 64 };

/** struct jr_known_replica_t - the process that last used a replica id */
typedef struct {
    uint64_t id;
    char name[JR_NAME_BYTES];
} jr_known_replica_t;

/** struct jr_loop_totals_t - work and times (ms) since the process started */
typedef struct {
    uint64_t turns;
    uint64_t events_ms;
    uint64_t groups_ms;
    uint64_t sync_ms;
    uint64_t orders_ms;
    uint64_t messages;
    uint64_t answers;
    uint64_t starts;
    uint64_t stops;
    uint64_t renewals;
    uint64_t paces;
    uint64_t passes;
    uint64_t examined;
    uint64_t urgent_starts;     /* of which the workers' word came */
    uint64_t urgent_ordered_ms; /* from grants to orders, of urgent starts */
    uint64_t urgent_started_ms; /* from these to the workers' word */
    uint64_t carried;           /* orders of the leader */
    uint64_t carry_queued_ms;
} jr_loop_totals_t;

/**
 * struct jr_loop_load_t - the load of the loop since its latest log line
 * @since: when that line was written
 * @longest_ms: longest turn since then
 * @totals: as of that line
 */
typedef struct {
    int64_t since;
    int64_t longest_ms;
    jr_loop_totals_t totals;
} jr_loop_load_t;

typedef struct jr_carry jr_carry_t;
typedef struct jr_carry_session jr_carry_session_t;

/**
 * struct jr_control_t - a control process
 * @is_new_replica: no replica id was stored, so it is new and must join
 * @metrics_http: NULL unless metrics have an address of their own
 * @iteration_start_ms: when the event loop last began to handle events
 * @load: see jr_control_note_turn()
 * @groups: group 0 holds rules, the others tasks; in a job process, group 0
 *          is the only one and holds jobs. NULL: no replica in this process
 * @stores: the logs of @groups
 * @rules: rules in force in this process; NULL before the first
 * @rules_text: source of @rules
 * @next_rules_host: counts rules polls, to ask the hosts in turn
 * @client: sends orders to workers
 * @carry: orders that other processes send for this one, and this for others;
 *         NULL unless this is a job process
 * @n_open_joins: requests for membership without an outcome
 * @is_joining: a replica of this process requests membership
 * @join_tickets: of @groups, as their leaders last issued them
 * @is_stopping: answers to orders are ignored from now on
 */
typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_settings_t settings;
    uint64_t replica_id;
    bool is_new_replica;
    jr_bus_t *bus;
    jr_requester_t *requester;
    jr_http_t *http;
    jr_http_t *metrics_http;
    int64_t iteration_start_ms;
    jr_loop_load_t load;
    ev_check check;
    jr_group_t **groups;
    jr_store_t **stores;
    size_t n_groups;
    jr_known_replica_t known_replicas[KNOWN_REPLICAS_MAX];
    size_t n_known_replicas;
    jr_rules_t *rules;
    char *rules_text;
    size_t next_rules_host;
    ev_timer rules_poll;
    bool is_draining;
    int exit_status;
    ev_timer tick;
    ev_timer join;
    size_t n_open_joins;
    bool is_joining;
    jr_join_ticket_t *join_tickets;
    ev_timer drain;
    ev_timer rules_retry;
    ev_prepare prepare;
    ev_stat rules_stat;
    jr_client_t *client;
    jr_carry_t *carry;
    bool is_stopping;
    char *settings_path;
    jr_watch_t *watch;
    ev_signal sigterm;
    ev_signal sigint;
} jr_control_t;

/** jr_control_on_send - group hook: send a packed QuorumMsg over the bus */
void jr_control_on_send(void *user, const jr_member_t *to,
                        const uint8_t *bytes, size_t len);
/** jr_control_on_reply - group hook: send the reply to a request */
void jr_control_on_reply(void *user, const jr_reply_address_t *reply_to,
                         Jr__Reply *reply);
/** jr_control_on_rules - group hook: a rules version is in force here */
void jr_control_on_rules(void *user, uint64_t version, const char *text);
/** jr_control_on_envelope - bus handler: dispatch a message */
void jr_control_on_envelope(void *user, const jr_route_t *route,
                            const Jr__Envelope *envelope);
/** jr_control_reply - send a reply along the route of its request */
void jr_control_reply(jr_control_t *control,
                      const jr_reply_address_t *reply_to, Jr__Reply *reply);

/**
 * jr_control_start_joining - request membership of a group whenever its
 * replica in this process needs it
 */
void jr_control_start_joining(jr_control_t *control);

/**
 * jr_control_load_replica_id - read the replica id, or create and store it
 *
 * Return: JR_OK, JR_IO or JR_DAMAGED.
 */
jr_result_t jr_control_load_replica_id(jr_control_t *control);
/**
 * jr_control_init_jobs - create the log of an initial member of the job group
 *
 * Does nothing unless this is the first start and the store is empty.
 */
jr_result_t jr_control_init_jobs(jr_control_t *control);
/**
 * jr_control_init - create the data folder of an initial member (--init)
 *
 * Return: JR_OK, or an error such as JR_WRONG_STATE when the folder already
 * contains a log.
 */
jr_result_t jr_control_init(jr_control_t *control);
/** jr_control_hosts - does this process have a replica of the group? */
bool jr_control_hosts(const jr_control_t *control, size_t group);
/**
 * jr_control_open_store - open the store of a group; owned by the caller
 *
 * Return: the store, or NULL with an error in the context.
 */
jr_store_t *jr_control_open_store(jr_control_t *control, size_t group);

/**
 * jr_control_note_turn - a turn of the loop has ended
 *
 * Logs every few seconds where the time of the turns went.
 */
void jr_control_note_turn(jr_control_t *control, int64_t turn_ms, int64_t now);

/** jr_control_watch_rules - propose the rules file now and on each change */
void jr_control_watch_rules(jr_control_t *control);
/** jr_control_poll_rules - fetch rules from the hosts of the rules group */
void jr_control_poll_rules(jr_control_t *control);
/** jr_control_reply_rules - answer a RulesGet from the local copy */
void jr_control_reply_rules(jr_control_t *control,
                            const jr_reply_address_t *reply_to,
                            const Jr__RulesGet *get);

/** jr_control_on_job_http - HTTP handler of a job process */
void jr_control_on_job_http(void *user, jr_exchange_t *exchange);
/** jr_control_send_orders - send queued orders of the job group to workers,
 *                           through carriers where there are any */
void jr_control_send_orders(jr_control_t *control);
/**
 * jr_control_send_order - send an order to its worker from this process
 * @session: of the leader that gets the answer; NULL: the group in this
 * process
 */
void jr_control_send_order(jr_control_t *control, const jr_order_t *order,
                           jr_carry_session_t *session);
/** jr_control_carry_answer - an order of another leader was answered */
void jr_control_carry_answer(jr_carry_session_t *session, uint64_t serial,
                             const jr_answer_t *answer);
/** jr_control_find_peer - bus peer of a member, by its id if it has no
 *                         address; -1 for none */
int jr_control_find_peer(jr_control_t *control, const jr_member_t *member);

/** jr_new_carry - state of the carriers of this process */
jr_carry_t *jr_new_carry(jr_control_t *control);
/** jr_drop_carry - free; NULL is accepted */
void jr_drop_carry(jr_carry_t *carry);
/** jr_carry_tick - ask carriers for receipts, give up on late answers */
void jr_carry_tick(jr_carry_t *carry, int64_t now);
/** jr_carry_on_orders - take orders of another leader, to be sent */
void jr_carry_on_orders(jr_carry_t *carry, const jr_route_t *route,
                        const Jr__OrderBatch *batch);
/** jr_carry_send_queued - send some of these orders, once in each iteration */
void jr_carry_send_queued(jr_carry_t *carry);
/** jr_carry_on_answers - a carrier answered */
void jr_carry_on_answers(jr_carry_t *carry, const Jr__AnswerBatch *batch);
/** jr_carry_n_answering - processes that send orders for this leader */
size_t jr_carry_n_answering(const jr_carry_t *carry, int64_t now);
/** jr_carry_flush - send the answers for other leaders */
void jr_carry_flush(jr_carry_t *carry);

/** jr_control_on_http - HTTP handler for health, readiness and metrics */
void jr_control_on_http(void *user, jr_exchange_t *exchange);
/** jr_control_metrics - metrics as text; owned by the caller (jr_free()) */
char *jr_control_metrics(jr_control_t *control);
/** jr_control_status - reply to a StatusGet */
void jr_control_status(jr_control_t *control,
                       const jr_reply_address_t *reply_to);

#endif
