/* Histograms with bucket bounds that are powers of two. */
#include "jayrelay/histogram.h"

static const struct {
    const char *metric;
    const char *help;
} rows[] = {
#define X(name, metric, help) {metric, help},
    JR_HISTOGRAM_TABLE(X)
#undef X
};

const char *
jr_histogram_metric(jr_histogram_t histogram)
{
    return rows[histogram].metric;
}

const char *
jr_histogram_help(jr_histogram_t histogram)
{
    return rows[histogram].help;
}

uint64_t
jr_histogram_bound(size_t bucket)
{
    return (uint64_t)1 << bucket;
}

void
jr_histogram_add(jr_histogram_data_t *data, int64_t ms)
{
    uint64_t value = ms > 0 ? (uint64_t)ms : 0;
    size_t bucket = 0;

    while (bucket < JR_HISTOGRAM_BUCKETS &&
           value > jr_histogram_bound(bucket)) {
        bucket++;
    }
    data->buckets[bucket]++;
    data->n++;
    data->sum_ms += value;
}
