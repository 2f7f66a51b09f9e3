/* Counters and gauges in Prometheus' text format. */
#include "jayrelay/metrics.h"

#include <glib.h>

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
    for (size_t i = 0; i < n; i++) {
        g_string_append_printf(text,
                               "# HELP jayrelay_%s %s\n"
                               "# TYPE jayrelay_%s gauge\njayrelay_%s %g\n",
                               gauges[i].name, gauges[i].help, gauges[i].name,
                               gauges[i].name, gauges[i].value);
    }
    copy = jr_strdup(ctx, text->str);
    g_string_free(text, TRUE);
    return copy;
}
