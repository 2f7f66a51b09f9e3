/* Report on the load, from the records of the client and from the logs. */
#include "report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LINE_BYTES = 512 };

/* One run of a task, from a worker's log. */
typedef struct {
    char id[32];
    long long epoch;
    long long from, to; /* microseconds; to is -1 without an end */
} span_t;

/* Contents of the logs of executors and workers. */
typedef struct {
    int *runs; /* number of runs by call */
    int n_calls;
    int over_slots; /* calls that arrived while all slots were in use */
    GArray *spans;
    GHashTable *finishes; /* number of finishes by task id */
} log_summary_t;

static void
add_span(log_summary_t *summary, const char *id, long long epoch, long long at)
{
    span_t span = {.epoch = epoch, .from = at, .to = -1};

    g_strlcpy(span.id, id, sizeof span.id);
    g_array_append_val(summary->spans, span);
}

static void
end_span(log_summary_t *summary, const char *id, long long epoch, long long at)
{
    for (guint i = summary->spans->len; i > 0; i--) {
        span_t *span = &g_array_index(summary->spans, span_t, i - 1);

        if (span->to < 0 && span->epoch == epoch &&
            strcmp(span->id, id) == 0) {
            span->to = at;
            return;
        }
    }
}

static void
count_finish(log_summary_t *summary, const char *id)
{
    gpointer n = g_hash_table_lookup(summary->finishes, id);

    g_hash_table_replace(summary->finishes, g_strdup(id),
                         GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static void
parse_line(log_summary_t *summary, const char *line)
{
    char event[16], id[32];
    long long epoch, at;
    int number;

    if (sscanf(line, "run call-%d", &number) == 1) {
        if (number >= 0 && number < summary->n_calls) {
            summary->runs[number]++;
        }
    }
    else if (strncmp(line, "over ", 5) == 0) {
        summary->over_slots++;
    }
    else if (sscanf(line, "%15s %31s %lld %lld", event, id, &epoch, &at) ==
             4) {
        if (strcmp(event, "start") == 0) {
            add_span(summary, id, epoch, at);
        }
        else if (strcmp(event, "end") == 0) {
            end_span(summary, id, epoch, at);
        }
        else if (strcmp(event, "finish") == 0) {
            count_finish(summary, id);
        }
    }
}

static void
read_logs(log_summary_t *summary, const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = g_build_filename(folder, name, NULL);
        FILE *file = g_str_has_suffix(name, ".runs") ? fopen(path, "r") : NULL;
        char line[LINE_BYTES];

        while (file != NULL && fgets(line, sizeof line, file) != NULL) {
            parse_line(summary, line);
        }
        if (file != NULL) {
            fclose(file);
        }
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
}

/* Counts pairs of runs of one task that overlap in time. */
static int
count_overlaps(const log_summary_t *summary)
{
    int overlaps = 0;

    for (guint i = 0; i < summary->spans->len; i++) {
        const span_t *a = &g_array_index(summary->spans, span_t, i);

        for (guint k = 0; k < i; k++) {
            const span_t *b = &g_array_index(summary->spans, span_t, k);

            if (strcmp(a->id, b->id) == 0 && (b->to < 0 || a->from < b->to) &&
                (a->to < 0 || b->from < a->to)) {
                overlaps++;
            }
        }
    }
    return overlaps;
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* Percentile of sorted values in microseconds, in milliseconds. */
static double
percentile_ms(GArray *values, double p)
{
    if (values->len == 0) {
        return 0.0;
    }
    return g_array_index(values, double,
                         (guint)(p * (double)(values->len - 1))) /
           1000.0;
}

/* Rows of the report. */
typedef struct {
    int answered, wrong, refused, unknown, pending;
    int duplicated, false_not_run;
    int finished, lost, duplicated_jobs, overlaps;
} totals_t;

static void
add_call(totals_t *t, const call_t *call, int runs)
{
    switch (call->outcome) {
    case CALL_ANSWERED:
        t->answered++;
        break;
    case CALL_WRONG:
        t->wrong++;
        break;
    case CALL_REFUSED:
        t->refused++;
        /*
         * After several attempts the refusal can be true of the last one,
         * while an earlier one ran and its answer was lost.
         */
        t->false_not_run += runs > 0 && call->n_attempts == 1;
        break;
    case CALL_UNKNOWN:
        t->unknown++;
        break;
    case CALL_PENDING:
        t->pending++;
        break;
    }
    t->duplicated += !call->is_idempotent && runs > 1;
}

static void
add_job(totals_t *t, const job_t *job, const log_summary_t *summary)
{
    int finishes =
        GPOINTER_TO_INT(g_hash_table_lookup(summary->finishes, job->id));

    t->finished += job->is_finished;
    t->lost += !job->is_finished;
    t->duplicated_jobs += job->is_duplicated || finishes > 1;
}

static void
print_refusals(load_t *load)
{
    GHashTableIter iter;
    gpointer reason, n;

    g_hash_table_iter_init(&iter, load->refusals);
    while (g_hash_table_iter_next(&iter, &reason, &n)) {
        printf("    %-36s %8d\n", (char *)reason, GPOINTER_TO_INT(n));
    }
}

static void
print_table(load_t *load, const totals_t *t, const log_summary_t *summary)
{
    printf("  %-38s %8d\n", "calls sent", load->n_calls);
    printf("  %-38s %8d\n", "calls answered", t->answered);
    printf("  %-38s %8d\n", "calls refused as not run", t->refused);
    print_refusals(load);
    printf("  %-38s %8d\n", "calls with unknown outcome", t->unknown);
    printf("  %-38s %8d\n", "calls without any answer", t->pending);
    printf("  %-38s %8d\n", "wrong or mixed answers", t->wrong);
    printf("  %-38s %8d\n", "not idempotent, run twice", t->duplicated);
    printf("  %-38s %8d\n", "refused as not run, but ran", t->false_not_run);
    printf("  %-38s %8d\n", "calls beyond an executor's slots",
           summary->over_slots);
    printf("  %-38s %8.1f\n", "p50 of answered calls, ms",
           percentile_ms(load->latencies, 0.50));
    printf("  %-38s %8.1f\n", "p99 of answered calls, ms",
           percentile_ms(load->latencies, 0.99));
    printf("  %-38s %8d\n", "tasks submitted", load->n_jobs);
    printf("  %-38s %8d\n", "tasks finished", t->finished);
    printf("  %-38s %8d\n", "tasks run in two places at once", t->overlaps);
    printf("  %-38s %8d\n", "tasks doubled", t->duplicated_jobs);
    printf("  %-38s %8d\n", "tasks lost", t->lost);
}

int
load_report(load_t *load)
{
    log_summary_t summary = {
        .runs = g_new0(int, load->n_calls + 1),
        .n_calls = load->n_calls,
        .spans = g_array_new(FALSE, FALSE, sizeof(span_t)),
        .finishes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    totals_t t = {0};

    read_logs(&summary, load->logs);
    for (int i = 0; i < load->n_calls; i++) {
        add_call(&t, &load->calls[i], summary.runs[i]);
    }
    for (int i = 0; i < load->n_jobs; i++) {
        add_job(&t, &load->jobs[i], &summary);
    }
    t.overlaps = count_overlaps(&summary);
    g_array_sort(load->latencies, compare_doubles);
    print_table(load, &t, &summary);
    g_free(summary.runs);
    g_array_free(summary.spans, TRUE);
    g_hash_table_destroy(summary.finishes);
    return t.wrong + t.duplicated + t.false_not_run + t.overlaps +
                       t.duplicated_jobs + t.lost + t.pending +
                       summary.over_slots >
                   0
               ? 1
               : 0;
}
