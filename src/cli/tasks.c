/* Commands status, task submit, task show and task cancel. */
#include <glib.h>
#include <string.h>

#include "cli.h"

enum { HTTP_OK = 200, PATH_BYTES = 64 };

static int
print_task(jr_cli_t *cli, long status, json_t *answer)
{
    int result = 0;

    if (status != HTTP_OK) {
        result = jr_cli_fail(cli, status, answer);
    }
    else if (cli->is_json) {
        jr_cli_print_json(answer);
    }
    else {
        printf("%-16s %-12s %-20s %-12s %6s %6s  %s\n", "ID", "STATE", "CLASS",
               "TEAM", "EPOCH", "STARTS", "WORKER");
        printf("%-16s %-12s %-20s %-12s %6lld %6lld  %s\n",
               jr_cli_text(answer, "id"), jr_cli_text(answer, "state"),
               jr_cli_text(answer, "class"), jr_cli_text(answer, "team"),
               jr_cli_number(answer, "epoch"), jr_cli_number(answer, "starts"),
               jr_cli_text(answer, "worker"));
    }
    json_decref(answer);
    return result;
}

static char *
read_all(FILE *file)
{
    GString *text = g_string_new(NULL);
    char chunk[4096];
    size_t n;

    while ((n = fread(chunk, 1, sizeof chunk, file)) > 0) {
        g_string_append_len(text, chunk, (gssize)n);
    }
    return g_string_free(text, FALSE);
}

int
jr_cli_task_submit(jr_cli_t *cli, char **arguments)
{
    bool is_stdin = strcmp(arguments[0], "-") == 0;
    FILE *file = is_stdin ? stdin : fopen(arguments[0], "r");
    json_t *answer;
    char *body;
    long status;

    if (file == NULL) {
        perror(arguments[0]);
        return jr_result_exit(JR_IO);
    }
    body = read_all(file);
    if (!is_stdin) {
        fclose(file);
    }
    status = jr_cli_request(cli, "POST", "/v1/tasks", body, &answer);
    g_free(body);
    return print_task(cli, status, answer);
}

static int
request_task(jr_cli_t *cli, const char *method, const char *id)
{
    char path[PATH_BYTES];
    json_t *answer;
    long status;

    snprintf(path, sizeof path, "/v1/tasks/%s", id);
    status = jr_cli_request(cli, method, path, NULL, &answer);
    return print_task(cli, status, answer);
}

int
jr_cli_task_show(jr_cli_t *cli, char **arguments)
{
    return request_task(cli, "GET", arguments[0]);
}

int
jr_cli_task_cancel(jr_cli_t *cli, char **arguments)
{
    return request_task(cli, "DELETE", arguments[0]);
}

static void
print_groups(const json_t *control)
{
    const json_t *groups = json_object_get(control, "groups");

    for (size_t i = 0; i < json_array_size(groups); i++) {
        const json_t *g = json_array_get(groups, i);

        printf("%-14s %-8s %5lld  %-10s %-14s %6lld %8lld %7lld %7lld "
               "%7lld %7lld\n",
               jr_cli_text(control, "name"), jr_cli_text(control, "zone"),
               jr_cli_number(g, "group"), jr_cli_text(g, "role"),
               jr_cli_text(g, "leader"), jr_cli_number(g, "term"),
               jr_cli_number(g, "commit"), jr_cli_number(g, "queued"),
               jr_cli_number(g, "leased"), jr_cli_number(g, "ended"),
               jr_cli_number(g, "workers"));
    }
}

static void
print_upstreams(const json_t *upstreams)
{
    printf("\n%-20s %-8s %-22s %5s %6s %6s %5s\n", "UPSTREAM", "ZONE",
           "ADDRESS", "SLOTS", "SHARE", "IN USE", "OPEN");
    for (size_t i = 0; i < json_array_size(upstreams); i++) {
        const json_t *u = json_array_get(upstreams, i);

        printf("%-20s %-8s %-22s %5lld %6lld %6lld %5s\n",
               jr_cli_text(u, "name"), jr_cli_text(u, "zone"),
               jr_cli_text(u, "address"), jr_cli_number(u, "slots"),
               jr_cli_number(u, "share"), jr_cli_number(u, "in_use"),
               json_is_true(json_object_get(u, "open")) ? "yes" : "no");
    }
}

static void
print_status(const json_t *answer)
{
    const json_t *controls = json_object_get(answer, "controls");

    printf("%s in zone %s, rules version %lld\n\n",
           jr_cli_text(answer, "name"), jr_cli_text(answer, "zone"),
           jr_cli_number(answer, "rules_version"));
    printf("%-14s %-8s %5s  %-10s %-14s %6s %8s %7s %7s %7s %7s\n", "CONTROL",
           "ZONE", "GROUP", "ROLE", "LEADER", "TERM", "COMMIT", "QUEUED",
           "LEASED", "ENDED", "WORKERS");
    for (size_t i = 0; i < json_array_size(controls); i++) {
        print_groups(json_array_get(controls, i));
    }
    print_upstreams(json_object_get(answer, "upstreams"));
}

int
jr_cli_status(jr_cli_t *cli, char **arguments)
{
    json_t *answer;
    long status = jr_cli_request(cli, "GET", "/v1/status", NULL, &answer);
    int result = 0;

    (void)arguments;
    if (status != HTTP_OK) {
        result = jr_cli_fail(cli, status, answer);
    }
    else if (cli->is_json) {
        jr_cli_print_json(answer);
    }
    else {
        print_status(answer);
    }
    json_decref(answer);
    return result;
}
