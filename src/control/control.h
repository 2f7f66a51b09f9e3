/* Private to jayrelay-control. */
#ifndef JR_CONTROL_CONTROL_H
#define JR_CONTROL_CONTROL_H

#include <ev.h>

#include "jayrelay/ask.h"
#include "jayrelay/bus.h"
#include "jayrelay/group.h"
#include "jayrelay/http.h"
#include "jayrelay/program.h"
#include "jayrelay/watch.h"

enum { REPLICAS_KNOWN_MAX = 64 };

/* Which process a replica id was last heard from. */
typedef struct {
    uint64_t id;
    char name[JR_NAME_BYTES];
} jr_known_replica_t;

typedef struct {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    jr_settings_t settings;
    uint64_t replica_id;
    bool is_new_replica; /* must ask to join */
    jr_bus_t *bus;
    jr_requester_t *asker;
    jr_http_t *http;
    jr_http_t *metrics_http;
    int64_t turn_began;
    ev_check check;
    /* 0 holds the rules, the others hold tasks; NULL: not here. */
    jr_group_t **groups;
    jr_store_t **stores;
    size_t n_groups;
    jr_known_replica_t known[REPLICAS_KNOWN_MAX];
    size_t n_known;
    jr_rules_t *rules;
    char *rules_text;
    size_t next_rules_host;
    ev_timer rules_poll;
    bool is_draining;
    int exit_status;
    ev_timer tick;
    ev_timer join;
    ev_timer drain;
    ev_timer rules_retry;
    ev_prepare prepare;
    ev_stat rules_stat;
    jr_client_t *client; /* for orders to workers */
    bool is_stopping;
    char *settings_path;
    jr_watch_t *watch;
    ev_signal sigterm;
    ev_signal sigint;
} jr_control_t;

/* messages.c: handlers for the groups and the bus. */
void jr_control_on_send(void *user, const jr_member_t *to,
                        const uint8_t *bytes, size_t len);
void jr_control_on_reply(void *user, const jr_ticket_t *ticket,
                         Jr__Reply *reply);
void jr_control_on_envelope(void *user, const jr_route_t *route,
                            const Jr__Envelope *envelope);

/* Ask each group that lacks this replica to take it in, until all have. */
void jr_control_start_joining(jr_control_t *control);

/* Read or make the replica id; JR_IO when that fails. */
jr_result_t jr_control_identify(jr_control_t *control);
/* A rules version is in force here. */
void jr_control_on_rules(void *user, uint64_t version, const char *text);
/* On the first start of a job group: make the log of a first member. */
jr_result_t jr_control_init_jobs(jr_control_t *control);
/* Make the data folder of a first member. */
jr_result_t jr_control_init(jr_control_t *control);
/* Does this process hold a replica of the group? */
bool jr_control_hosts(const jr_control_t *control, size_t group);
jr_store_t *jr_control_open_store(jr_control_t *control, size_t group);

void jr_control_watch_rules(jr_control_t *control);
/* Without a replica of the rules group: ask those that have one. */
void jr_control_poll_rules(jr_control_t *control);
void jr_control_give_rules(jr_control_t *control, const jr_ticket_t *ticket,
                           const Jr__RulesGet *get);
/* The job group on this process: requests, orders. */
void jr_control_on_job_http(void *user, jr_exchange_t *exchange);
void jr_control_send_orders(jr_control_t *control);
void jr_control_on_http(void *user, jr_exchange_t *exchange);
char *jr_control_metrics(jr_control_t *control);
void jr_control_status(jr_control_t *control, const jr_ticket_t *ticket);
void jr_control_reply(jr_control_t *control, const jr_ticket_t *ticket,
                      Jr__Reply *reply);

#endif
