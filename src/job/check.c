/* Validation of submitted jobs. */
#include "jobs.h"

#include <string.h>

enum { REPEATS_MAX = 100000, TEXT_MAX_BYTES = 200 };

static jr_result_t
check_step(jr_ctx_t *ctx, const Jr__JobStep *step, size_t number)
{
    if (step->count == 0 || step->count > JR_JOB_TASKS_MAX) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "step %zu: count is %u, expected 1 to %d", number,
                       step->count, JR_JOB_TASKS_MAX);
    }
    for (size_t i = 0; i < step->n_after; i++) {
        if (step->after[i] >= number) {
            return jr_fail(ctx, JR_BAD_REQUEST,
                           "step %zu: depends on step %u, which is not an "
                           "earlier one; expected a step below %zu",
                           number, step->after[i], number);
        }
    }
    if (strlen(step->label) > TEXT_MAX_BYTES ||
        strlen(step->data_rack) > TEXT_MAX_BYTES ||
        strlen(step->image) > TEXT_MAX_BYTES) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "step %zu: label has %zu bytes, data rack %zu and "
                       "image %zu, limit is %d each",
                       number, strlen(step->label), strlen(step->data_rack),
                       strlen(step->image), TEXT_MAX_BYTES);
    }
    return JR_OK;
}

jr_result_t
jr_job_check(jr_ctx_t *ctx, const Jr__JobSpec *spec)
{
    uint64_t tasks = 0;

    if (spec->n_steps == 0 || spec->n_steps > JR_JOB_STEPS_MAX) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "job has %zu steps, expected 1 to %d", spec->n_steps,
                       JR_JOB_STEPS_MAX);
    }
    if (strlen(spec->payload) > JR_JOB_PAYLOAD_MAX_BYTES) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "payload has %zu bytes, limit is %d bytes",
                       strlen(spec->payload), JR_JOB_PAYLOAD_MAX_BYTES);
    }
    if (spec->repeats > REPEATS_MAX || spec->interval_ms < 0) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "job repeats %u times with an interval of %lld ms, "
                       "expected at most %d times and an interval of at "
                       "least 0",
                       spec->repeats, (long long)spec->interval_ms,
                       REPEATS_MAX);
    }
    for (size_t i = 0; i < spec->n_steps; i++) {
        jr_result_t result = check_step(ctx, spec->steps[i], i);

        if (result != JR_OK) {
            return result;
        }
        tasks += spec->steps[i]->count;
    }
    if (tasks * (spec->repeats > 0 ? spec->repeats : 1) > JR_JOB_TASKS_MAX) {
        return jr_fail(ctx, JR_BAD_REQUEST,
                       "job has %llu tasks per occurrence and %u repeats, "
                       "expected at most %d tasks in all",
                       (unsigned long long)tasks, spec->repeats,
                       JR_JOB_TASKS_MAX);
    }
    return JR_OK;
}
