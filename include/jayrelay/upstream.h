/**
 * DOC: upstream - registry of the upstreams that announced themselves
 *
 * Upstreams are not configured. Each one periodically announces itself to
 * some entry process, and entry processes pass announcements on together
 * with their age. An upstream that announces that it is leaving, or whose
 * last announcement known here is older than JR_UPSTREAM_TTL_US, gets no
 * new work from this process, even if others still receive announcements.
 * Times are microseconds of a monotonic clock.
 */
#ifndef JAYRELAY_UPSTREAM_H
#define JAYRELAY_UPSTREAM_H

#include <sys/queue.h>
#include <uthash.h>

#include "jayrelay/ctx.h"

enum {
    /* An upstream without an announcement for this long gets no calls. */
    JR_UPSTREAM_TTL_US = 2500 * 1000,
    JR_UPSTREAM_NAME_BYTES = 64,
    JR_SLOTS_MAX = 100000, /* larger announcements are refused */
};

/**
 * struct jr_announcement_t - announcement of an upstream; strings borrowed
 * @incarnation: increases when the upstream restarts
 * @sequence: increases with each announcement of an incarnation
 * @age_us: age of the announcement
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

/** struct jr_loan_t - slots lent or borrowed until a time */
typedef struct jr_loan {
    int slots;
    int64_t until;
    TAILQ_ENTRY(jr_loan) link;
} jr_loan_t;

TAILQ_HEAD(jr_loan_list, jr_loan);

/**
 * struct jr_upstream_t - a known upstream
 * @last_seen_at: time of the latest announcement
 * @share: slots that this process owns
 * @in_use: slots that this process uses, including those in cooldown after
 *          an attempt
 * @lent: slots lent to other processes
 * @borrowed: slots borrowed from other processes
 * @latency_us: moving average of its response time, 0 before the first
 * @failure_rate: moving average of failures, 0 to 1
 * @samples: attempts counted; an ejection needs a minimum number of them
 * @ejected_until: gets no work before this time
 * @ejection_us: duration of the last ejection, 0 after a probation ended
 * @probation: successful answers still needed to end the probation, 0 when
 *             not on probation
 * @service: its service, or NULL when it belongs to another zone
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
    int64_t last_seen_at;
    int share;
    int in_use;
    int lent;
    int borrowed;
    struct jr_loan_list lent_loans;
    struct jr_loan_list borrowed_loans;
    double latency_us;
    double failure_rate;
    int samples;
    int64_t ejected_until;
    int64_t ejection_us;
    int probation;
    struct jr_service *service;
    UT_hash_handle hh;
} jr_upstream_t;

/**
 * struct jr_service_t - a service and its upstreams in this zone
 * @upstreams: array of @n upstreams, unordered
 * @cap: allocated length of @upstreams
 * @next: position of round-robin routing
 * @latency_us: moving average of the response time, 0 before the first
 * @deviation_us: moving average of the absolute deviation from it
 */
typedef struct jr_service {
    char name[JR_UPSTREAM_NAME_BYTES];
    jr_upstream_t **upstreams;
    size_t n;
    size_t cap;
    size_t next;
    double latency_us;
    double deviation_us;
    UT_hash_handle hh;
} jr_service_t;

/**
 * struct jr_upstreams_t - registry of upstreams and services
 * @zone: zone of this process; only its upstreams are used here
 */
typedef struct {
    jr_ctx_t *ctx;
    char zone[JR_UPSTREAM_NAME_BYTES];
    jr_upstream_t *by_name;
    jr_service_t *services;
} jr_upstreams_t;

/** jr_new_upstreams - create an empty registry */
jr_upstreams_t *jr_new_upstreams(jr_ctx_t *ctx, const char *zone);

/** jr_drop_upstreams - free; NULL is accepted */
void jr_drop_upstreams(jr_upstreams_t *upstreams);

/**
 * jr_upstreams_apply - apply an announcement
 * @is_newer: set to whether the announcement was applied and should be
 *            passed on; may be NULL
 *
 * Return: the upstream, or NULL with JR_BAD_REQUEST when the announcement
 * is not valid. An announcement that is not newer than the last one applied
 * changes nothing.
 */
jr_upstream_t *jr_upstreams_apply(jr_upstreams_t *upstreams,
                                  const jr_announcement_t *announcement,
                                  int64_t now, bool *is_newer);

/** jr_upstreams_expire - remove idle upstreams without announcements for 60 s
 */
void jr_upstreams_expire(jr_upstreams_t *upstreams, int64_t now);

/** jr_upstream_is_available - not leaving, silent or ejected? */
bool jr_upstream_is_available(const jr_upstream_t *upstream, int64_t now);

/** jr_upstreams_service - find a service by name; NULL if unknown */
jr_service_t *jr_upstreams_service(jr_upstreams_t *upstreams,
                                   const char *name);

/** jr_upstreams_find - find an upstream by name; NULL if unknown */
jr_upstream_t *jr_upstreams_find(jr_upstreams_t *upstreams, const char *name);

#endif
