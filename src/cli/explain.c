/* Command explain: timeline of a job or task from the logs of processes. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

enum { MICROSECONDS_PER_MS = 1000 };

typedef struct {
    int64_t at_ms;
    size_t order; /* index among the matching lines; for equal times */
    char *program;
    char *pid;
    char *name;
    char *fields;
} line_t;

static void
free_line(gpointer data)
{
    line_t *line = data;

    g_free(line->program);
    g_free(line->pid);
    g_free(line->name);
    g_free(line->fields);
    g_free(line);
}

/* Returns a copy of the value of a key=value field, or NULL. */
static char *
copy_field(const char *text, const char *key)
{
    char *pattern = g_strdup_printf("%s=", key);
    const char *at = strstr(text, pattern);
    size_t len = strlen(pattern);

    g_free(pattern);
    return at != NULL ? g_strndup(at + len, strcspn(at + len, " \n")) : NULL;
}

/*
 * Whether the job= or task= field of the line is the id. A task id followed
 * by '.' and more also matches.
 */
static bool
mentions(const char *text, const char *id)
{
    static const char *const keys[] = {"job=", "task="};
    size_t len = strlen(id);

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const char *at = strstr(text, keys[i]);
        const char *value = at != NULL ? at + strlen(keys[i]) : NULL;

        if (value != NULL && strncmp(value, id, len) == 0 &&
            (value[len] == ' ' || value[len] == '.' || value[len] == '\n' ||
             value[len] == '\0')) {
            return true;
        }
    }
    return false;
}

/* Parses a log line; a prefix added by a log collector is skipped. */
static line_t *
parse(const char *text, size_t order)
{
    const char *start = strstr(text, "time=");
    const char *name = start != NULL ? strstr(start, " name=") : NULL;
    char *time = start != NULL ? copy_field(start, "time") : NULL;
    GDateTime *when =
        time != NULL ? g_date_time_new_from_iso8601(time, NULL) : NULL;
    line_t *line = NULL;

    if (when != NULL && name != NULL) {
        name += strlen(" name=");
        line = g_new0(line_t, 1);
        line->order = order;
        line->at_ms = g_date_time_to_unix(when) * 1000 +
                      g_date_time_get_microsecond(when) / MICROSECONDS_PER_MS;
        line->program = copy_field(start, "program");
        line->pid = copy_field(start, "pid");
        line->name = g_strndup(name, strcspn(name, " \n"));
        line->fields = g_strdup(name + strcspn(name, " \n"));
        g_strstrip(line->fields);
    }
    if (when != NULL) {
        g_date_time_unref(when);
    }
    g_free(time);
    return line;
}

static void
read_lines(FILE *file, const char *id, GPtrArray *lines)
{
    char *text = NULL;
    size_t size = 0;

    while (getline(&text, &size, file) >= 0) {
        line_t *line = mentions(text, id) ? parse(text, lines->len) : NULL;

        if (line != NULL) {
            g_ptr_array_add(lines, line);
        }
    }
    free(text);
}

static int
by_time(gconstpointer a, gconstpointer b)
{
    const line_t *x = *(line_t *const *)a;
    const line_t *y = *(line_t *const *)b;

    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return (x->order > y->order) - (x->order < y->order);
}

static void
print_table(const GPtrArray *lines)
{
    int64_t first = 0;
    int64_t last = 0;

    printf("%8s %8s  %-18s %-7s %-18s %s\n", "AT", "GAP", "PROGRAM", "PID",
           "EVENT", "FIELDS");
    for (guint i = 0; i < lines->len; i++) {
        const line_t *line = g_ptr_array_index(lines, i);

        if (i == 0) {
            first = last = line->at_ms;
        }
        printf("%8lld %+8lld  %-18s %-7s %-18s %s\n",
               (long long)(line->at_ms - first),
               (long long)(line->at_ms - last), line->program, line->pid,
               line->name, line->fields);
        last = line->at_ms;
    }
}

static void
print_json(const GPtrArray *lines)
{
    json_t *list = json_array();

    for (guint i = 0; i < lines->len; i++) {
        const line_t *line = g_ptr_array_index(lines, i);

        json_array_append_new(list, json_pack("{s:I, s:s, s:s, s:s, s:s}",
                                              "at_ms", (json_int_t)line->at_ms,
                                              "program", line->program, "pid",
                                              line->pid, "event", line->name,
                                              "fields", line->fields));
    }
    jr_cli_print_json(list);
    json_decref(list);
}

static bool
read_file(const char *path, const char *id, GPtrArray *lines)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");

    if (file == NULL) {
        perror(path);
        return false;
    }
    read_lines(file, id, lines);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

int
jr_cli_explain(jr_cli_t *cli, char **arguments)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
    const char *id = arguments[0];
    int result = 0;

    if (arguments[1] == NULL) {
        read_lines(stdin, id, lines);
    }
    for (char **path = arguments + 1; *path != NULL; path++) {
        if (!read_file(*path, id, lines)) {
            result = jr_result_exit(JR_IO);
        }
    }
    g_ptr_array_sort(lines, by_time);
    if (result == 0 && lines->len == 0) {
        fprintf(stderr, "jayrelay: no log line has job or task id '%s'\n", id);
        result = jr_result_exit(JR_NOT_FOUND);
    }
    else if (cli->is_json) {
        print_json(lines);
    }
    else {
        print_table(lines);
    }
    g_ptr_array_unref(lines);
    return result;
}
