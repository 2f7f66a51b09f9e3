/* Counters, histograms and gauges in the Prometheus text format. */
#include "jayrelay/metrics.h"

#include <glib.h>
#include <string.h>

static void
append_histogram(GString *text, jr_histogram_t histogram,
                 const jr_histogram_data_t *data)
{
    const char *name = jr_histogram_metric(histogram);
    uint64_t sum = 0;

    g_string_append_printf(text,
                           "# HELP jayrelay_%s %s\n"
                           "# TYPE jayrelay_%s histogram\n",
                           name, jr_histogram_help(histogram), name);
    for (size_t b = 0; b < JR_HISTOGRAM_BUCKETS; b++) {
        sum += data->buckets[b];
        g_string_append_printf(text, "jayrelay_%s_bucket{le=\"%llu\"} %llu\n",
                               name, (unsigned long long)jr_histogram_bound(b),
                               (unsigned long long)sum);
    }
    g_string_append_printf(text,
                           "jayrelay_%s_bucket{le=\"+Inf\"} %llu\n"
                           "jayrelay_%s_sum %llu\njayrelay_%s_count %llu\n",
                           name, (unsigned long long)data->n, name,
                           (unsigned long long)data->sum_ms, name,
                           (unsigned long long)data->n);
}

static void
append_gauge(GString *text, const jr_gauge_t *gauge, bool is_first)
{
    if (is_first) {
        g_string_append_printf(
            text, "# HELP jayrelay_%s %s\n# TYPE jayrelay_%s gauge\n",
            gauge->name, gauge->help, gauge->name);
    }
    if (gauge->label != NULL) {
        g_string_append_printf(text, "jayrelay_%s{%s} %.15g\n", gauge->name,
                               gauge->label, gauge->value);
        return;
    }
    g_string_append_printf(text, "jayrelay_%s %g\n", gauge->name,
                           gauge->value);
}

char *
jr_metrics_text(jr_ctx_t *ctx, const jr_gauge_t *gauges, size_t n)
{
    GString *text = g_string_new(NULL);
    char *copy;

    for (int i = 0; i < JR_COUNTERS; i++) {
        const char *name = jr_counter_metric((jr_counter_t)i);

        g_string_append_printf(
            text,
            "# HELP jayrelay_%s %s\n# TYPE jayrelay_%s counter\n"
            "jayrelay_%s %llu\n",
            name, jr_counter_help((jr_counter_t)i), name, name,
            (unsigned long long)ctx->counters[i]);
    }
    for (int i = 0; i < JR_HISTOGRAMS; i++) {
        append_histogram(text, (jr_histogram_t)i, &ctx->histograms[i]);
    }
    for (size_t i = 0; i < n; i++) {
        append_gauge(text, &gauges[i],
                     i == 0 ||
                         strcmp(gauges[i].name, gauges[i - 1].name) != 0);
    }
    copy = jr_strdup(ctx, text->str);
    g_string_free(text, TRUE);
    return copy;
}
