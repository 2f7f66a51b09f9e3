/* Commands for the log. */
#include "dispatch.h"

void
jr_queue_command(jr_dispatch_t *d, Jr__JobCommand *command)
{
    jr_queued_command_t *queued = jr_alloc(d->ctx, sizeof *queued);

    command->at_ms = d->wall_ms;
    queued->bytes =
        jr_alloc(d->ctx, jr__job_command__get_packed_size(command) + 1);
    queued->len = jr__job_command__pack(command, queued->bytes);
    STAILQ_INSERT_TAIL(&d->commands, queued, link);
}

/* 0 while the worker is in contact, and was since the run was listed. */
static int64_t
silent_ms(const jr_dispatch_t *d, const jr_run_t *run)
{
    int64_t since = run->silent_since != 0
                        ? run->silent_since
                        : jr_tracked_worker_silent_since(run->worker);

    return since != 0 ? d->now - since : 0;
}

/*
 * How long a service has waited when its run ends that never began, as far as
 * is known: a start that comes to nothing does not end its wait.
 */
static int64_t
waited_ms(const jr_dispatch_t *d, const jr_run_t *run)
{
    bool has_begun =
        run->confirmed_at > 0 || (run->is_inherited && !run->is_absent);

    return jr_task_step(run->task)->service && !has_begun
               ? d->wall_ms - run->task->waiting_since
               : 0;
}

static void
fill_release(const jr_dispatch_t *d, const jr_run_t *run, Jr__JobRelease *to)
{
    static char none[] = "";

    jr_run_name(run, to->run);
    to->began = jr_run_has_begun(run);
    to->crashed_after_ms = run->crashed_after_ms;
    to->lapsed_after_ms =
        run->crashed_after_ms == 0 ? run->lapsed_after_ms : 0;
    to->waited_ms = MAX(silent_ms(d, run), waited_ms(d, run));
    to->checkpoint = run->checkpoint != NULL ? run->checkpoint : none;
}

static void
propose_releases(jr_dispatch_t *d)
{
    size_t n_runs = d->releases->len;
    size_t n = n_runs + d->crashes->len;
    Jr__JobReleases body = JR__JOB_RELEASES__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobRelease *rows = jr_alloc(d->ctx, n * sizeof *rows);
    Jr__JobRun *runs = jr_alloc(d->ctx, n * sizeof *runs);

    body.releases = jr_alloc(d->ctx, n * sizeof(Jr__JobRelease *));
    body.n_releases = n;
    for (size_t i = 0; i < n; i++) {
        jr__job_release__init(&rows[i]);
        rows[i].run = &runs[i];
        body.releases[i] = &rows[i];
        if (i < n_runs) {
            fill_release(d, g_ptr_array_index(d->releases, i), &rows[i]);
        }
        else {
            const jr_crashed_run_t *crashed =
                &g_array_index(d->crashes, jr_crashed_run_t, i - n_runs);

            runs[i] = crashed->name;
            rows[i].crashed_after_ms = crashed->after_ms;
            rows[i].not_crashed = crashed->after_ms == 0;
        }
    }
    command.body_case = JR__JOB_COMMAND__BODY_RELEASES;
    command.releases = &body;
    jr_queue_command(d, &command);
    jr_free(d->ctx, body.releases);
    jr_free(d->ctx, runs);
    jr_free(d->ctx, rows);
    g_ptr_array_set_size(d->releases, 0);
    g_array_set_size(d->crashes, 0);
}

static void
propose_grants(jr_dispatch_t *d)
{
    size_t n = d->proposed->len;
    Jr__JobGrants body = JR__JOB_GRANTS__INIT;
    Jr__JobCommand command = JR__JOB_COMMAND__INIT;
    Jr__JobGrant *rows = jr_alloc(d->ctx, n * sizeof *rows);
    Jr__JobRun *runs = jr_alloc(d->ctx, n * sizeof *runs);

    body.grants = jr_alloc(d->ctx, n * sizeof(Jr__JobGrant *));
    body.n_grants = n;
    for (size_t i = 0; i < n; i++) {
        const jr_run_t *run = g_ptr_array_index(d->proposed, i);

        jr__job_grant__init(&rows[i]);
        jr_run_name(run, &runs[i]);
        rows[i].run = &runs[i];
        rows[i].worker = run->worker->worker->info->id;
        rows[i].born = run->incarnation;
        body.grants[i] = &rows[i];
    }
    command.body_case = JR__JOB_COMMAND__BODY_GRANTS;
    command.grants = &body;
    jr_queue_command(d, &command);
    jr_count_n(d->ctx, JR_C_GRANTS, n);
    jr_free(d->ctx, body.grants);
    jr_free(d->ctx, runs);
    jr_free(d->ctx, rows);
    g_ptr_array_set_size(d->proposed, 0);
}

bool
jr_dispatch_take_command(jr_dispatch_t *d, uint8_t **command, size_t *len)
{
    jr_queued_command_t *queued;

    if (!d->is_leading) {
        return false;
    }
    if (d->releases->len > 0 || d->crashes->len > 0) {
        propose_releases(d);
    }
    if (STAILQ_EMPTY(&d->commands) && jr_dispatch_is_pass_due(d)) {
        d->is_dirty = false;
        d->scheduled_at = d->now;
        jr_schedule(d);
        if (d->proposed->len > 0) {
            propose_grants(d);
        }
    }
    if (jr_begun_is_due(d)) {
        jr_begun_propose(d);
    }
    queued = STAILQ_FIRST(&d->commands);
    if (queued == NULL) {
        return false;
    }
    STAILQ_REMOVE_HEAD(&d->commands, link);
    *command = queued->bytes;
    *len = queued->len;
    jr_free(d->ctx, queued);
    return true;
}
