/* Registry of upstreams, from their announcements. */
#include "jayrelay/upstream.h"

#include <glib.h>
#include <string.h>

/* An unused upstream is removed after this long without announcements. */
enum { REMOVE_AFTER_US = 60 * 1000 * 1000 };

jr_upstreams_t *
jr_new_upstreams(jr_ctx_t *ctx, const char *zone)
{
    jr_upstreams_t *upstreams = jr_alloc(ctx, sizeof *upstreams);

    upstreams->ctx = ctx;
    snprintf(upstreams->zone, sizeof upstreams->zone, "%s", zone);
    return upstreams;
}

static void
leave_service(jr_upstream_t *upstream)
{
    jr_service_t *service = upstream->service;

    if (service == NULL) {
        return;
    }
    for (size_t i = 0; i < service->n; i++) {
        if (service->upstreams[i] == upstream) {
            service->upstreams[i] = service->upstreams[--service->n];
            break;
        }
    }
    upstream->service = NULL;
}

static void
drop_loans(jr_ctx_t *ctx, struct jr_loan_list *loans)
{
    jr_loan_t *loan;

    while ((loan = TAILQ_FIRST(loans)) != NULL) {
        TAILQ_REMOVE(loans, loan, link);
        jr_free(ctx, loan);
    }
}

static void
remove_upstream(jr_upstreams_t *upstreams, jr_upstream_t *upstream)
{
    leave_service(upstream);
    drop_loans(upstreams->ctx, &upstream->lent_loans);
    drop_loans(upstreams->ctx, &upstream->borrowed_loans);
    HASH_DEL(upstreams->by_name, upstream); /* NOLINT: always in the table */
    jr_free(upstreams->ctx, upstream);
}

void
jr_drop_upstreams(jr_upstreams_t *upstreams)
{
    jr_upstream_t *upstream, *next;
    jr_service_t *service, *next_service;

    if (upstreams == NULL) {
        return;
    }
    HASH_ITER (hh, upstreams->by_name, upstream, next) {
        remove_upstream(upstreams, upstream);
    }
    HASH_ITER (hh, upstreams->services, service, next_service) {
        HASH_DEL(upstreams->services, service);
        jr_free(upstreams->ctx, service->upstreams);
        jr_free(upstreams->ctx, service);
    }
    jr_free(upstreams->ctx, upstreams);
}

jr_service_t *
jr_upstreams_service(jr_upstreams_t *upstreams, const char *name)
{
    jr_service_t *service;

    HASH_FIND_STR(upstreams->services, name, service);
    return service;
}

jr_upstream_t *
jr_upstreams_find(jr_upstreams_t *upstreams, const char *name)
{
    jr_upstream_t *upstream;

    HASH_FIND_STR(upstreams->by_name, name, upstream);
    return upstream;
}

static bool
is_valid_text(const char *text)
{
    return text != NULL && *text != '\0' &&
           strlen(text) < JR_UPSTREAM_NAME_BYTES;
}

static bool
is_valid(const jr_announcement_t *a)
{
    return is_valid_text(a->name) && is_valid_text(a->address) &&
           is_valid_text(a->zone) && is_valid_text(a->service) &&
           a->rack != NULL && strlen(a->rack) < JR_UPSTREAM_NAME_BYTES &&
           a->slots > 0 && a->slots <= JR_SLOTS_MAX && a->connections > 0 &&
           a->age_us >= 0;
}

static jr_service_t *
service_of(jr_upstreams_t *upstreams, const char *name)
{
    jr_service_t *service = jr_upstreams_service(upstreams, name);

    if (service == NULL) {
        service = jr_alloc(upstreams->ctx, sizeof *service);
        g_strlcpy(service->name, name, sizeof service->name);
        HASH_ADD_STR(upstreams->services, name, service);
    }
    return service;
}

static void
join_service(jr_upstreams_t *upstreams, jr_upstream_t *upstream,
             const char *name)
{
    jr_service_t *service = service_of(upstreams, name);

    if (upstream->service == service) {
        return;
    }
    leave_service(upstream);
    if (service->n == service->cap) {
        service->cap = service->cap > 0 ? 2 * service->cap : 8;
        service->upstreams = jr_resize(upstreams->ctx, service->upstreams,
                                       service->cap * sizeof(jr_upstream_t *));
    }
    service->upstreams[service->n++] = upstream;
    upstream->service = service;
}

static jr_upstream_t *
add_upstream(jr_upstreams_t *upstreams, const char *name)
{
    jr_upstream_t *upstream = jr_alloc(upstreams->ctx, sizeof *upstream);

    g_strlcpy(upstream->name, name, sizeof upstream->name);
    TAILQ_INIT(&upstream->lent_loans);
    TAILQ_INIT(&upstream->borrowed_loans);
    HASH_ADD_STR(upstreams->by_name, name, upstream);
    return upstream;
}

static bool
is_older(const jr_upstream_t *known, const jr_announcement_t *a)
{
    if (a->incarnation != known->incarnation) {
        return a->incarnation < known->incarnation;
    }
    return a->sequence <= known->sequence;
}

static void
apply_announcement(jr_upstreams_t *upstreams, jr_upstream_t *upstream,
                   const jr_announcement_t *a, int64_t now)
{
    if (a->incarnation != upstream->incarnation) {
        upstream->failure_rate = 0.0;
        upstream->samples = 0;
        upstream->ejected_until = 0;
    }
    g_strlcpy(upstream->address, a->address, sizeof upstream->address);
    g_strlcpy(upstream->zone, a->zone, sizeof upstream->zone);
    g_strlcpy(upstream->rack, a->rack, sizeof upstream->rack);
    upstream->slots = a->slots;
    upstream->connections = a->connections;
    upstream->incarnation = a->incarnation;
    upstream->sequence = a->sequence;
    upstream->is_leaving = a->is_leaving;
    upstream->last_seen_at = now - a->age_us;
    if (strcmp(a->zone, upstreams->zone) == 0) {
        join_service(upstreams, upstream, a->service);
    }
    else {
        leave_service(upstream);
    }
}

jr_upstream_t *
jr_upstreams_apply(jr_upstreams_t *upstreams, const jr_announcement_t *a,
                   int64_t now, bool *is_newer)
{
    jr_upstream_t *upstream;

    if (is_newer != NULL) {
        *is_newer = false;
    }
    if (!is_valid(a)) {
        jr_count(upstreams->ctx, JR_C_ANNOUNCE_BAD);
        jr_fail(upstreams->ctx, JR_BAD_REQUEST,
                "invalid announcement: name '%.40s', address '%.40s', zone "
                "'%.40s', service '%.40s', rack '%.40s', slots %d, "
                "connections %d, age %lld us; expected 1 to %d bytes each "
                "(rack 0 to %d), 1 to %d slots, 1 or more connections and no "
                "negative age",
                a->name != NULL ? a->name : "",
                a->address != NULL ? a->address : "",
                a->zone != NULL ? a->zone : "",
                a->service != NULL ? a->service : "",
                a->rack != NULL ? a->rack : "", a->slots, a->connections,
                (long long)a->age_us, JR_UPSTREAM_NAME_BYTES - 1,
                JR_UPSTREAM_NAME_BYTES - 1, JR_SLOTS_MAX);
        return NULL;
    }
    upstream = jr_upstreams_find(upstreams, a->name);
    if (upstream == NULL) {
        upstream = add_upstream(upstreams, a->name);
        jr_log(upstreams->ctx, JR_EV_UPSTREAM_NEW, "%s at %s for %s", a->name,
               a->address, a->service);
    }
    else if (is_older(upstream, a)) {
        jr_count(upstreams->ctx, JR_C_ANNOUNCE_OLD);
        return upstream;
    }
    if (a->is_leaving && !upstream->is_leaving) {
        jr_log(upstreams->ctx, JR_EV_UPSTREAM_LEAVING, "%s", a->name);
    }
    apply_announcement(upstreams, upstream, a, now);
    if (is_newer != NULL) {
        *is_newer = true;
    }
    return upstream;
}

bool
jr_upstream_is_available(const jr_upstream_t *upstream, int64_t now)
{
    return !upstream->is_leaving &&
           now - upstream->last_seen_at < JR_UPSTREAM_TTL_US &&
           now >= upstream->ejected_until;
}

void
jr_upstreams_expire(jr_upstreams_t *upstreams, int64_t now)
{
    jr_upstream_t *upstream, *next;

    HASH_ITER (hh, upstreams->by_name, upstream, next) {
        if (upstream->in_use == 0 &&
            now - upstream->last_seen_at > REMOVE_AFTER_US) {
            jr_log(upstreams->ctx, JR_EV_UPSTREAM_SILENT,
                   "%s removed: last announcement %lld ms ago, limit is %d ms",
                   upstream->name,
                   (long long)(now - upstream->last_seen_at) / 1000,
                   REMOVE_AFTER_US / 1000);
            remove_upstream(upstreams, upstream);
        }
    }
}
