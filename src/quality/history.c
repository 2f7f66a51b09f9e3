/* The latest ends of runs, to compare other runs with. */
#include "quality/history.h"

#include <math.h>
#include <stdlib.h>

/* Ends without a failure that are assumed before any is known. */
static const double PRIOR_ENDS = 2.0;

jr_quality_history_t *
jr_quality_history(jr_quality_history_t *table, size_t size, uint64_t key)
{
    jr_quality_history_t *history = &table[key % size];

    if (history->key != key) {
        *history = (jr_quality_history_t){.key = key};
    }
    return history;
}

void
jr_quality_history_add(jr_quality_history_t *history,
                       const jr_quality_end_t *end)
{
    history->ends[history->n % JR_QUALITY_ENDS_MAX] = *end;
    history->n++;
}

static size_t
count_kept(const jr_quality_history_t *history)
{
    return history->n < JR_QUALITY_ENDS_MAX ? history->n : JR_QUALITY_ENDS_MAX;
}

static int
by_value(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

double
jr_quality_history_median(const jr_quality_history_t *history, uint64_t worker,
                          size_t *n)
{
    double times[JR_QUALITY_ENDS_MAX];
    size_t kept = count_kept(history);

    *n = 0;
    for (size_t i = 0; i < kept; i++) {
        const jr_quality_end_t *end = &history->ends[i];

        if (end->worker != worker && end->log_time > 0.0) {
            times[(*n)++] = end->log_time;
        }
    }
    if (*n == 0) {
        return 0.0;
    }
    qsort(times, *n, sizeof times[0], by_value);
    return (times[(*n - 1) / 2] + times[*n / 2]) / 2.0;
}

double
jr_quality_history_failing(const jr_quality_history_t *history,
                           uint64_t worker)
{
    size_t kept = count_kept(history);
    double failed = 0.0;
    double n = PRIOR_ENDS;

    for (size_t i = 0; i < kept; i++) {
        if (history->ends[i].worker != worker) {
            failed += history->ends[i].has_failed;
            n += 1.0;
        }
    }
    return failed / n;
}
