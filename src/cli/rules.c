/* Commands rules check, rules apply, rules show, settings check, keys new. */
#include <glib.h>
#include <string.h>

#include "cli.h"
#include "jayrelay/bus.h"
#include "jayrelay/rules.h"
#include "jayrelay/settings.h"

enum { HTTP_OK = 200 };

static char *
read_file(const char *path)
{
    GError *error = NULL;
    char *text = NULL;

    if (!g_file_get_contents(path, &text, NULL, &error)) {
        fprintf(stderr, "jayrelay: %s\n", error->message);
        g_error_free(error);
    }
    return text;
}

/* Parses rules; prints all problems and returns NULL if there are any. */
static jr_rules_t *
check_file(jr_cli_t *cli, const char *path, const char *text)
{
    jr_rule_problems_t problems;
    jr_rules_t *rules = jr_new_rules(cli->ctx, text, &problems);

    for (size_t i = 0; i < problems.n; i++) {
        fprintf(stderr, "%s:%d:%d: %s\n", path, problems.problems[i].line,
                problems.problems[i].column, problems.problems[i].text);
    }
    return rules;
}

int
jr_cli_rules_check(jr_cli_t *cli, char **arguments)
{
    char *text = read_file(arguments[0]);
    jr_rules_t *rules;

    if (text == NULL) {
        return jr_result_exit(JR_IO);
    }
    rules = check_file(cli, arguments[0], text);
    g_free(text);
    if (rules == NULL) {
        return jr_result_exit(JR_RULES);
    }
    printf("%s: version %llu is valid: %zu services, %zu classes, %zu "
           "teams\n",
           arguments[0], (unsigned long long)rules->version, rules->n_services,
           rules->n_classes, rules->n_teams);
    jr_drop_rules(rules);
    return 0;
}

static int
print_applied(jr_cli_t *cli, long status, const json_t *answer)
{
    long long version = jr_cli_number(answer, "version");

    if (status == HTTP_OK) {
        printf("accepted; version %lld is in force\n", version);
        return 0;
    }
    if (strcmp(jr_cli_text(answer, "outcome"), "conflict") == 0) {
        fprintf(stderr,
                "jayrelay: %s; the rules in force are version %lld:\n%s",
                jr_cli_text(answer, "message"), version,
                jr_cli_text(answer, "in_force"));
        return jr_result_exit((jr_result_t)jr_cli_number(answer, "code"));
    }
    return jr_cli_fail(cli, status, answer);
}

int
jr_cli_rules_apply(jr_cli_t *cli, char **arguments)
{
    char *text = read_file(arguments[0]);
    jr_rules_t *rules;
    json_t *answer;
    long status;
    int result;

    if (text == NULL) {
        return jr_result_exit(JR_IO);
    }
    rules = check_file(cli, arguments[0], text);
    if (rules == NULL) {
        g_free(text);
        return jr_result_exit(JR_RULES);
    }
    jr_drop_rules(rules);
    status = jr_cli_request(cli, "POST", "/v1/rules", text, &answer);
    if (cli->is_json && status == HTTP_OK) {
        jr_cli_print_json(answer);
        result = 0;
    }
    else {
        result = print_applied(cli, status, answer);
    }
    json_decref(answer);
    g_free(text);
    return result;
}

int
jr_cli_rules_show(jr_cli_t *cli, char **arguments)
{
    json_t *answer;
    long status = jr_cli_request(cli, "GET", "/v1/rules", NULL, &answer);
    int result = 0;

    (void)arguments;
    if (status != HTTP_OK) {
        result = jr_cli_fail(cli, status, answer);
    }
    else if (cli->is_json) {
        jr_cli_print_json(answer);
    }
    else {
        fputs(jr_cli_text(answer, "text"), stdout);
    }
    json_decref(answer);
    return result;
}

static jr_settings_kind_t
settings_kind(const char *program)
{
    if (strcmp(program, "control") == 0) {
        return JR_SETTINGS_CONTROL;
    }
    return strcmp(program, "gate") == 0 ? JR_SETTINGS_GATE : JR_SETTINGS_ENTRY;
}

int
jr_cli_settings_check(jr_cli_t *cli, char **arguments)
{
    jr_settings_kind_t kind = settings_kind(arguments[0]);
    jr_settings_t *settings = jr_alloc(cli->ctx, sizeof *settings);
    jr_setting_errors_t errors;
    jr_result_t result =
        jr_settings_read(cli->ctx, arguments[1], kind, settings, &errors);

    for (size_t i = 0; i < errors.n; i++) {
        fprintf(stderr, "jayrelay: %s: %s\n", arguments[1], errors.texts[i]);
    }
    if (result == JR_OK) {
        printf("%s: settings are valid\n", arguments[1]);
    }
    jr_free(cli->ctx, settings);
    return jr_result_exit(result);
}

int
jr_cli_keys_new(jr_cli_t *cli, char **arguments)
{
    jr_result_t result = jr_bus_keys_write(cli->ctx, arguments[0]);

    if (result != JR_OK) {
        fprintf(stderr, "jayrelay: %s\n", cli->ctx->error.text);
        return jr_result_exit(result);
    }
    printf("%s: wrote a new key pair; all processes need the same file\n",
           arguments[0]);
    return 0;
}
