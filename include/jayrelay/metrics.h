/**
 * DOC: metrics - counters, histograms and gauges as text
 */
#ifndef JAYRELAY_METRICS_H
#define JAYRELAY_METRICS_H

#include "jayrelay/ctx.h"

/**
 * struct jr_gauge_t - a value that can rise and fall
 * @name: name in /metrics, without the common prefix; borrowed
 * @label: labels such as zone="a"; NULL for none; borrowed. Gauges of one name
 *         follow each other
 * @help: one line of help; borrowed
 * @value: current value
 */
typedef struct {
    const char *name;
    const char *help;
    double value;
    const char *label;
} jr_gauge_t;

/**
 * jr_metrics_text - all metrics in the Prometheus text format
 * @gauges: @n gauges, written after the counters and histograms of @ctx
 *
 * Return: NUL-terminated text, owned by the caller (jr_free()).
 */
char *jr_metrics_text(jr_ctx_t *ctx, const jr_gauge_t *gauges, size_t n);

#endif
