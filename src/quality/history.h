/* Private to src/quality: the latest ends of runs of one step or kind. */
#ifndef JR_QUALITY_HISTORY_H
#define JR_QUALITY_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { JR_QUALITY_ENDS_MAX = 12 };

/**
 * struct jr_quality_end_t - one end of a run
 * @log_time: logarithm of its run time; 0: not known
 */
typedef struct {
    uint64_t worker;
    double log_time;
    bool has_failed;
} jr_quality_end_t;

/**
 * struct jr_quality_history_t - the latest ends of one step or kind
 * @key: the step or kind; 0: empty
 * @n: ends noted so far; the latest JR_QUALITY_ENDS_MAX are kept
 */
typedef struct {
    uint64_t key;
    size_t n;
    jr_quality_end_t ends[JR_QUALITY_ENDS_MAX];
} jr_quality_history_t;

/* The place of a key; what another key left there is forgotten. */
jr_quality_history_t *jr_quality_history(jr_quality_history_t *table,
                                         size_t size, uint64_t key);
void jr_quality_history_add(jr_quality_history_t *history,
                            const jr_quality_end_t *end);
/*
 * Median of the logarithms of run times on other workers than @worker; @n is
 * their number.
 */
double jr_quality_history_median(const jr_quality_history_t *history,
                                 uint64_t worker, size_t *n);
/*
 * Share of the entries of other workers that are failures; entries without one
 * are ends as done, or run times.
 */
double jr_quality_history_failing(const jr_quality_history_t *history,
                                  uint64_t worker);

#endif
