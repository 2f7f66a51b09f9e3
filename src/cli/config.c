/* Command config check. */
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "cli.h"
#include "platform/check.h"

enum {
    CLEAN = 0,
    FOUND = 1,
    NOT_CHECKED = 2,
    CONTROL_TIMEOUT_MS = 1500,
    FILE_MAX_BYTES = 64 * 1024 * 1024,
    READ_BYTES = 64 * 1024,
    HTTP_OK = 200,
};

typedef struct {
    gchar *against;
    gchar *control;
    gchar *format;
    gboolean is_strict;
} options_t;

static const char *const severities[] = {
    [JR_SEVERITY_ERROR] = "error",
    [JR_SEVERITY_WARNING] = "warning",
    [JR_SEVERITY_CHANGE] = "change",
};

static bool
read_stream(FILE *file, const char *path, GString *to)
{
    char *buf = g_malloc(READ_BYTES);
    size_t n;

    while (to->len <= FILE_MAX_BYTES &&
           (n = fread(buf, 1, READ_BYTES, file)) > 0) {
        g_string_append_len(to, buf, (gssize)n);
    }
    g_free(buf);
    if (ferror(file)) {
        fprintf(stderr, "jayrelay: %s: cannot be read\n", path);
        return false;
    }
    if (to->len > FILE_MAX_BYTES) {
        fprintf(stderr, "jayrelay: %s: has more than %d bytes\n", path,
                FILE_MAX_BYTES);
        return false;
    }
    return true;
}

/* Returns the file, or NULL after a message. */
static GString *
read_file(const char *path)
{
    FILE *file = fopen(path, "rb");
    GString *text;

    if (file == NULL) {
        fprintf(stderr, "jayrelay: %s: %s\n", path, g_strerror(errno));
        return NULL;
    }
    text = g_string_new(NULL);
    if (!read_stream(file, path, text)) {
        g_string_free(text, TRUE);
        text = NULL;
    }
    fclose(file);
    return text;
}

/* Returns the configuration in force there, or NULL after a message. */
static GString *
fetch_in_force(const char *address)
{
    char *answer;
    size_t len;
    long status = jr_cli_get(address, JR_PLATFORM_CONFIG_PATH,
                             CONTROL_TIMEOUT_MS, &answer, &len);
    GString *text = NULL;

    if (status == HTTP_OK) {
        text = g_string_new_len(answer, (gssize)len);
    }
    else if (status == 0) {
        fprintf(stderr,
                "jayrelay: %s: no complete answer within %d ms; expected the "
                "address of a control process\n",
                address, CONTROL_TIMEOUT_MS);
    }
    else {
        fprintf(stderr,
                "jayrelay: %s: status %ld; expected 200: it has no leader, or "
                "no configuration is in force\n",
                address, status);
    }
    g_free(answer);
    return text;
}

static void
print_text(const char *path, const jr_platform_findings_t *findings)
{
    for (size_t i = 0; i < findings->n; i++) {
        const jr_platform_finding_t *f = &findings->findings[i];

        printf("%s:", path);
        if (f->line > 0) {
            printf("%d:%d:", f->line, f->column);
        }
        printf(" %s: %s%s%s [%s]\n",
               severities[jr_check_rule_severity(f->rule)], f->place,
               *f->place != '\0' ? ": " : "", f->text,
               jr_check_rule_name(f->rule));
    }
    if (findings->version > 0) {
        printf("%s: version %llu, %zu routes, %zu services: ", path,
               (unsigned long long)findings->version, findings->n_routes,
               findings->n_services);
    }
    else {
        printf("%s: ", path);
    }
    printf("errors: %zu, warnings: %zu, changes: %zu\n",
           findings->counts[JR_SEVERITY_ERROR],
           findings->counts[JR_SEVERITY_WARNING],
           findings->counts[JR_SEVERITY_CHANGE]);
}

static json_t *
finding_to_json(const jr_platform_finding_t *f)
{
    json_t *to = json_object();

    json_object_set_new(
        to, "severity",
        json_string(severities[jr_check_rule_severity(f->rule)]));
    json_object_set_new(to, "rule", json_string(jr_check_rule_name(f->rule)));
    json_object_set_new(to, "place", json_string(f->place));
    if (f->line > 0) {
        json_object_set_new(to, "line", json_integer(f->line));
        json_object_set_new(to, "column", json_integer(f->column));
    }
    json_object_set_new(to, "text", json_string(f->text));
    return to;
}

static void
print_json(const char *path, const jr_platform_findings_t *findings)
{
    char *file = g_utf8_make_valid(path, -1);
    json_t *to = json_object();
    json_t *list = json_array();

    for (size_t i = 0; i < findings->n; i++) {
        json_array_append_new(list, finding_to_json(&findings->findings[i]));
    }
    json_object_set_new(to, "file", json_string(file));
    json_object_set_new(to, "version",
                        json_integer((json_int_t)findings->version));
    json_object_set_new(
        to, "errors",
        json_integer((json_int_t)findings->counts[JR_SEVERITY_ERROR]));
    json_object_set_new(
        to, "warnings",
        json_integer((json_int_t)findings->counts[JR_SEVERITY_WARNING]));
    json_object_set_new(
        to, "changes",
        json_integer((json_int_t)findings->counts[JR_SEVERITY_CHANGE]));
    json_object_set_new(to, "findings", list);
    jr_cli_print_json(to);
    json_decref(to);
    g_free(file);
}

static int
exit_status(const options_t *options, const jr_platform_findings_t *findings)
{
    bool is_clean =
        findings->counts[JR_SEVERITY_ERROR] == 0 &&
        (!options->is_strict || findings->counts[JR_SEVERITY_WARNING] == 0);

    return is_clean ? CLEAN : FOUND;
}

static int
check(jr_cli_t *cli, const options_t *options, const char *path,
      const GString *text, const GString *in_force)
{
    jr_platform_text_t new = {text->str, text->len};
    jr_platform_text_t old = {NULL, 0};
    jr_platform_findings_t *findings;
    int status;

    if (in_force != NULL) {
        old = (jr_platform_text_t){in_force->str, in_force->len};
    }
    findings =
        jr_platform_check(cli->ctx, &new, in_force != NULL ? &old : NULL);
    if (findings == NULL) {
        fprintf(stderr, "jayrelay: %s: %s\n",
                options->against != NULL ? options->against : options->control,
                cli->ctx->error.text);
        return NOT_CHECKED;
    }
    if (g_strcmp0(options->format, "json") == 0) {
        print_json(path, findings);
    }
    else {
        print_text(path, findings);
    }
    status = exit_status(options, findings);
    jr_platform_drop_findings(findings);
    return status;
}

static int
check_file(jr_cli_t *cli, const options_t *options, const char *path)
{
    GString *text = read_file(path);
    GString *in_force = NULL;
    int status = NOT_CHECKED;

    if (text == NULL) {
        return NOT_CHECKED;
    }
    if (options->against != NULL) {
        in_force = read_file(options->against);
    }
    else if (options->control != NULL) {
        in_force = fetch_in_force(options->control);
    }
    if (in_force != NULL ||
        (options->against == NULL && options->control == NULL)) {
        status = check(cli, options, path, text, in_force);
    }
    g_string_free(text, TRUE);
    if (in_force != NULL) {
        g_string_free(in_force, TRUE);
    }
    return status;
}

/* What is wrong with the command line, or NULL. */
static const char *
find_usage_error(const options_t *options, int argc)
{
    if (argc != 2) {
        return "expected one FILE";
    }
    if (options->against != NULL && options->control != NULL) {
        return "expected one of --against and --control";
    }
    if (options->format != NULL && strcmp(options->format, "text") != 0 &&
        strcmp(options->format, "json") != 0) {
        return "expected --format text or json";
    }
    return NULL;
}

int
jr_cli_config_check(jr_cli_t *cli, int argc, char **argv)
{
    options_t options = {.against = NULL};
    GOptionEntry entries[] = {
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &options.against,
         "Compare with the configuration in FILE", "FILE"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &options.control,
         "Compare with the one in force at a control process", "IP:PORT"},
        {"strict", 0, 0, G_OPTION_ARG_NONE, &options.is_strict,
         "Exit status 1 also for warnings", NULL},
        {"format", 0, 0, G_OPTION_ARG_STRING, &options.format,
         "Print text (default) or json", "text|json"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context = g_option_context_new("FILE");
    GError *error = NULL;
    const char *problem;
    int status = NOT_CHECKED;

    g_set_prgname("jayrelay config check");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context,
        "Exit status: 0 clean, 1 errors were found (with --strict also "
        "warnings), 2 the check could not be made. The rules are listed in "
        "docs/OPERATIONS.md.");
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "jayrelay: %s; see jayrelay config check --help\n",
                error->message);
        g_error_free(error);
    }
    else if ((problem = find_usage_error(&options, argc)) != NULL) {
        fprintf(stderr, "jayrelay: %s; see jayrelay config check --help\n",
                problem);
    }
    else {
        status = check_file(cli, &options, argv[1]);
    }
    g_option_context_free(context);
    g_free(options.against);
    g_free(options.control);
    g_free(options.format);
    return status;
}
