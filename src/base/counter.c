/* The table of counters. */
#include "jayrelay/counter.h"

static const struct {
    const char *metric;
    const char *help;
} rows[] = {
#define X(name, metric, help) {metric, help},
    JR_COUNTER_TABLE(X)
#undef X
};

const char *
jr_counter_metric(jr_counter_t counter)
{
    return rows[counter].metric;
}

const char *
jr_counter_help(jr_counter_t counter)
{
    return rows[counter].help;
}
