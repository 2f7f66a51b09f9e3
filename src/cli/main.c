/* jayrelay: command-line tool for operators. */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"

enum { AT_LEAST_ONE = -1 };

static const char DEFAULT_ENTRY[] = "127.0.0.1:8080";

static const struct {
    const char *noun;
    const char *verb;
    int n_arguments;
    const char *usage;
    int (*run)(jr_cli_t *cli, char **arguments);
} commands[] = {
    {"rules", "check", 1, "rules check FILE     check a rules file",
     jr_cli_rules_check},
    {"rules", "apply", 1,
     "rules apply FILE     apply a rules file and print the result",
     jr_cli_rules_apply},
    {"rules", "show", 0, "rules show           print the rules in force",
     jr_cli_rules_show},
    {"status", NULL, 0,
     "status               print the state of groups and upstreams",
     jr_cli_status},
    {"task", "submit", 1,
     "task submit FILE     submit a task from JSON ('-': standard input)",
     jr_cli_task_submit},
    {"task", "show", 1, "task show ID         print a task", jr_cli_task_show},
    {"task", "cancel", 1, "task cancel ID       cancel a task",
     jr_cli_task_cancel},
    {"keys", "new", 1,
     "keys new FILE        create the key pair shared by all processes",
     jr_cli_keys_new},
    {"explain", NULL, AT_LEAST_ONE,
     "explain ID [FILE...]  print the timeline of a job or task from logs",
     jr_cli_explain},
    {"settings", "check", 2,
     "settings check entry|control|gate FILE   check settings",
     jr_cli_settings_check},
};

static const char CONFIG_CHECK_USAGE[] =
    "config check FILE    check a configuration of jobs before it is sent; "
    "see config check --help";

static char *
make_description(void)
{
    GString *text = g_string_new("Commands:\n");

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(text, "  %s\n", commands[i].usage);
    }
    g_string_append_printf(text, "  %s\n", CONFIG_CHECK_USAGE);
    g_string_append(
        text, "\nWithout --entry, the value of JAYRELAY_ENTRY is used, or "
              "127.0.0.1:8080. "
              "Exit statuses are listed in docs/ERRORS.md.");
    return g_string_free(text, FALSE);
}

static int __attribute__((format(printf, 1, 2)))
usage_error(const char *format, ...)
{
    va_list args;

    fputs("jayrelay: ", stderr);
    va_start(args, format);
    vfprintf(stderr, format, args);
    va_end(args);
    fputs("; see jayrelay --help\n", stderr);
    return jr_result_exit(JR_USAGE);
}

static int
run_command(jr_cli_t *cli, int argc, char **argv)
{
    if (argc < 2) {
        return usage_error("no command given");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const char *verb = commands[i].verb;
        int first = verb != NULL ? 3 : 2;

        if (strcmp(argv[1], commands[i].noun) != 0 ||
            (verb != NULL && g_strcmp0(argv[2], verb) != 0)) {
            continue;
        }
        if (commands[i].n_arguments == AT_LEAST_ONE
                ? argc - first < 1
                : argc - first != commands[i].n_arguments) {
            return usage_error("got %d arguments; expected '%s'", argc - first,
                               commands[i].usage);
        }
        return commands[i].run(cli, argv + first);
    }
    return usage_error("unknown command '%.40s%s%.40s'", argv[1],
                       argc > 2 ? " " : "", argc > 2 ? argv[2] : "");
}

static bool
is_config_check(int argc, char **argv)
{
    return argc > 2 && strcmp(argv[1], "config") == 0 &&
           strcmp(argv[2], "check") == 0;
}

static int
run_program(jr_cli_t *cli, int argc, char **argv)
{
    gchar *entry = NULL;
    gboolean json = FALSE;
    gboolean version = FALSE;
    gboolean check = FALSE;
    GOptionEntry entries[] = {
        {"entry", 'e', 0, G_OPTION_ARG_STRING, &entry,
         "Entry processes, tried in order", "IP:PORT[,IP:PORT...]"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &check,
         "Check that an entry process answers and is ready, and exit", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version,
         "Print the version and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *options = g_option_context_new("COMMAND");
    char *description = make_description();
    GError *error = NULL;
    int status;

    g_option_context_add_main_entries(options, entries, NULL);
    g_option_context_set_description(options, description);
    if (!g_option_context_parse(options, &argc, &argv, &error)) {
        status = usage_error("%s", error->message);
        g_error_free(error);
    }
    else if (version) {
        printf("jayrelay %s\n", JR_VERSION);
        status = 0;
    }
    else {
        const char *from_environment = getenv("JAYRELAY_ENTRY");

        if (entry == NULL) {
            entry = g_strdup(from_environment != NULL ? from_environment
                                                      : DEFAULT_ENTRY);
        }
        cli->entries = g_strsplit(entry, ",", -1);
        cli->is_json = json;
        status = check ? jr_cli_check(cli) : run_command(cli, argc, argv);
        g_strfreev(cli->entries);
    }
    g_free(description);
    g_free(entry);
    g_option_context_free(options);
    return status;
}

int
main(int argc, char **argv)
{
    jr_cli_t cli = {.ctx = jr_new_ctx("jayrelay", stderr)};
    int status = is_config_check(argc, argv)
                     ? jr_cli_config_check(&cli, argc - 2, argv + 2)
                     : run_program(&cli, argc, argv);

    jr_drop_ctx(cli.ctx);
    return status;
}
