/*
 * Check-ins of a later incarnation. Anybody may write one, and the runs of the
 * worker would start elsewhere while they go on: so the worker is asked which
 * incarnation it is, and its answer counts. Only a worker that gives none has
 * ended by the word of the check-in.
 */
#include "dispatch.h"

static Jr__JobWorker *
copy_info(jr_dispatch_t *d, const Jr__JobWorker *info)
{
    size_t len = jr__job_worker__get_packed_size(info);
    uint8_t *bytes = jr_alloc(d->ctx, len + 1);
    Jr__JobWorker *copy;

    jr__job_worker__pack(info, bytes);
    copy = jr__job_worker__unpack(NULL, len, bytes);
    jr_free(d->ctx, bytes);
    return copy;
}

void
jr_restart_forget(jr_tracked_worker_t *w)
{
    if (w->restart_info != NULL) {
        jr__job_worker__free_unpacked(w->restart_info, NULL);
        w->restart_info = NULL;
    }
}

bool
jr_restart_is_asked(const jr_tracked_worker_t *w)
{
    return w->restart_info != NULL;
}

static bool
is_older(const Jr__JobWorker *info, const Jr__JobWorker *than)
{
    return info->born < than->born ||
           (info->born == than->born && info->sequence < than->sequence);
}

bool
jr_restart_ask(jr_dispatch_t *d, jr_tracked_worker_t *w,
               const Jr__JobWorker *info)
{
    bool is_asked = jr_restart_is_asked(w);

    if (w->has_ended || info->born <= w->incarnation) {
        return false;
    }
    if (is_asked && is_older(info, w->restart_info)) {
        return true;
    }
    jr_restart_forget(w);
    w->restart_info = copy_info(d, info);
    if (!is_asked) {
        w->renewal_serial = 0; /* that one may have been answered before */
        w->renewal_at = d->now;
        jr_dispatch_look_at(d, w);
    }
    return true;
}

static void
propose(jr_dispatch_t *d, Jr__JobWorker *info)
{
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;

    command.body_case = JR__JOB_COMMAND__BODY_WORKER;
    command.worker = info;
    jr_queue_command(d, &command);
}

void
jr_restart_on_restarted(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    Jr__JobWorker *info = w->restart_info;

    if (info == NULL || info->born > w->incarnation) {
        return;
    }
    if (info->born == w->incarnation && w->worker->info->born < info->born) {
        propose(d, info);
    }
    jr_restart_forget(w);
}

void
jr_restart_accept(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (jr_restart_is_asked(w)) {
        jr_tracked_worker_restart(d, w, w->restart_info->born);
        jr_restart_on_restarted(d, w);
    }
}

void
jr_restart_deny(jr_dispatch_t *d, jr_tracked_worker_t *w)
{
    if (!jr_restart_is_asked(w)) {
        return;
    }
    jr_count(d->ctx, JR_C_RESTARTS_DENIED);
    jr_log(d->ctx, JR_EV_WORKER_REFUSED,
           "worker=%s born=%lld reason=the worker answers as born %lld",
           w->worker->info->id, (long long)w->restart_info->born,
           (long long)w->incarnation);
    jr_restart_forget(w);
}
