/**
 * DOC: upstream - the back ends that have announced themselves
 *
 * There is no list of upstreams. Each announces itself, again and again,
 * to some entry process, and entry processes pass the news on with its
 * age. An upstream that says it leaves, or that nobody heard of for
 * JR_UPSTREAM_TTL_US, gets no new work from this process, whoever else
 * still hears of it. Times are microseconds of a monotonic clock.
 */
#ifndef JAYRELAY_UPSTREAM_H
#define JAYRELAY_UPSTREAM_H

#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/ctx.h"

enum {
    JR_UPSTREAM_TTL_US = 2500 * 1000,
    JR_UPSTREAM_NAME_BYTES = 64,
    JR_SLOTS_MAX = 100000,
};

/**
 * struct jr_announcement_t - one announcement of an upstream; borrowed
 * @incarnation: grows when the upstream restarts
 * @sequence: grows with each announcement of an incarnation
 * @age_us: how old it is
 */
typedef struct {
    const char *name;
    const char *address;
    const char *zone;
    const char *rack;
    const char *service;
    int slots;
    int connections;
    uint64_t incarnation;
    uint64_t sequence;
    bool is_leaving;
    int64_t age_us;
} jr_announcement_t;

/** struct jr_loan_t - slots that are lent or borrowed until a time */
typedef struct jr_loan {
    int slots;
    int64_t until;
    TAILQ_ENTRY(jr_loan) link;
} jr_loan_t;

TAILQ_HEAD(jr_loan_list, jr_loan);

/**
 * struct jr_upstream_t - a known upstream
 * @share: slots that this process may use without asking
 * @in_use: attempts of this process that are under way
 * @latency_us: moving average of its answers, 0 before the first
 * @failure: moving average of failures, 0 to 1
 * @ejected_until: gets no work until then
 * @probation: answers that are still needed before it is trusted again
 */
typedef struct jr_upstream {
    char name[JR_UPSTREAM_NAME_BYTES];
    char address[JR_UPSTREAM_NAME_BYTES];
    char zone[JR_UPSTREAM_NAME_BYTES];
    char rack[JR_UPSTREAM_NAME_BYTES];
    int slots;
    int connections;
    uint64_t incarnation;
    uint64_t sequence;
    bool is_leaving;
    int64_t heard_at;
    int share;
    int in_use;
    int lent;
    int borrowed;
    struct jr_loan_list lent_loans;
    struct jr_loan_list borrowed_loans;
    double latency_us;
    double failure;
    int samples;
    int64_t ejected_until;
    int64_t ejection_us;
    int probation;
    struct jr_service *service;
    UT_hash_handle hh;
} jr_upstream_t;

/**
 * struct jr_service_t - a service and its upstreams in this zone
 * @upstreams: @n of them, dense, in no order
 * @latency_us: moving average of the service's answers
 * @deviation_us: moving average of their distance from it
 */
typedef struct jr_service {
    char name[JR_UPSTREAM_NAME_BYTES];
    jr_upstream_t **upstreams;
    size_t n;
    size_t cap;
    size_t next; /* for round-robin */
    double latency_us;
    double deviation_us;
    UT_hash_handle hh;
} jr_service_t;

/**
 * struct jr_upstreams_t - all that this process has heard of
 * @zone: zone of this process; slots of other zones are not its own
 */
typedef struct {
    jr_ctx_t *ctx;
    char zone[JR_UPSTREAM_NAME_BYTES];
    jr_upstream_t *by_name;
    jr_service_t *services;
} jr_upstreams_t;

/** jr_new_upstreams - none yet */
jr_upstreams_t *jr_new_upstreams(jr_ctx_t *ctx, const char *zone);

/** jr_drop_upstreams - free; NULL is accepted */
void jr_drop_upstreams(jr_upstreams_t *upstreams);

/**
 * jr_upstreams_hear - take an announcement
 * @is_news: set when others should be told; may be NULL
 *
 * Return: the upstream, or NULL with JR_BAD_REQUEST when the announcement
 * is not valid. An announcement that is older than what is known changes
 * nothing and is no news.
 */
jr_upstream_t *jr_upstreams_hear(jr_upstreams_t *upstreams,
                                 const jr_announcement_t *announcement,
                                 int64_t now, bool *is_news);

/** jr_upstreams_expire - forget those silent for long, once their work ended
 */
void jr_upstreams_expire(jr_upstreams_t *upstreams, int64_t now);

/** jr_upstream_is_open - may it get new work at all? */
bool jr_upstream_is_open(const jr_upstream_t *upstream, int64_t now);

/** jr_upstreams_service - a service by name, or NULL */
jr_service_t *jr_upstreams_service(jr_upstreams_t *upstreams,
                                   const char *name);

/** jr_upstreams_find - an upstream by name, or NULL */
jr_upstream_t *jr_upstreams_find(jr_upstreams_t *upstreams, const char *name);

#endif
