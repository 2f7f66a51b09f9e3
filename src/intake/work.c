/* Sums of accepted work, and the learned ratio of real run times. */
#include "jayrelay/intake.h"

#include <math.h>

#include "intake/slots.h"

enum {
    PERMILLE = 1000,
    RATIO_MIN_PERMILLE = 100, /* estimates may be this much too long */
    RATIO_MAX_PERMILLE = 2000,
    RATIO_FIRST_PERMILLE = 500, /* at most, until enough tasks have ended */
    ENOUGH_TASKS = 32,
    /* Longer tasks count for no more than this: one must not decide alone. */
    WEIGHT_MAX_MS = 10000,
};

/* What an ended task leaves of the earlier ones. */
static const double KEPT = 1.0 - 1.0 / 64.0;

void
jr_intake_learn(jr_intake_ratio_t *ratio, int64_t estimate_ms, int64_t real_ms)
{
    double weight = fmin((double)estimate_ms, WEIGHT_MAX_MS);
    double one;

    if (estimate_ms <= 0 || real_ms < 0) {
        return;
    }
    one = fmin((double)real_ms / (double)estimate_ms,
               (double)RATIO_MAX_PERMILLE / PERMILLE);
    ratio->estimated_ms = ratio->estimated_ms * KEPT + weight;
    ratio->real_ms = ratio->real_ms * KEPT + weight * one;
    if (ratio->n < ENOUGH_TASKS) {
        ratio->n++;
    }
}

uint32_t
jr_intake_ratio_permille(const jr_intake_ratio_t *ratio)
{
    double permille = RATIO_FIRST_PERMILLE;

    if (ratio->n > 0) {
        permille = PERMILLE * ratio->real_ms / ratio->estimated_ms;
    }
    if (ratio->n < ENOUGH_TASKS) {
        permille = fmin(permille, RATIO_FIRST_PERMILLE);
    }
    return (uint32_t)fmax(RATIO_MIN_PERMILLE,
                          fmin(permille, RATIO_MAX_PERMILLE));
}

void
jr_intake_add(jr_intake_queue_t *queue, jr_intake_class_t work_class,
              double milli, int64_t time_ms, int64_t due_in_ms)
{
    size_t time_slot = jr_intake_time_slot(time_ms);
    size_t due_slot = jr_intake_due_slot(due_in_ms);
    int64_t *latest = &queue->latest_due_ms[work_class][due_slot];

    if (time_ms <= 0) {
        return;
    }
    *latest = due_in_ms > *latest ? due_in_ms : *latest;
    for (size_t due = due_slot; due < JR_INTAKE_DUE_SLOTS; due++) {
        jr_intake_cell_t *cell = &queue->cells[work_class][due][time_slot];

        cell->milli += milli;
        cell->milli_ms += milli * (double)time_ms;
    }
}
