/**
 * DOC: metrics - counters and gauges as text
 */
#ifndef JAYRELAY_METRICS_H
#define JAYRELAY_METRICS_H

#include "jayrelay/ctx.h"

/** struct jr_gauge_t - a value that goes up and down */
typedef struct {
    const char *name;
    const char *help;
    double value;
} jr_gauge_t;

/**
 * jr_metrics_text - all counters and @n gauges in Prometheus' text format
 *
 * Return: NUL-terminated text, owned by the caller (jr_free()).
 */
char *jr_metrics_text(jr_ctx_t *ctx, const jr_gauge_t *gauges, size_t n);

#endif
