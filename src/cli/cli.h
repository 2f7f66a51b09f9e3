/* Declarations shared by the files of the command-line tool. */
#ifndef JR_CLI_CLI_H
#define JR_CLI_CLI_H

#include <jansson.h>

#include "jayrelay/ctx.h"

typedef struct {
    jr_ctx_t *ctx;
    char **entries; /* addresses of entry processes, NULL-terminated */
    bool is_json;   /* print answers as JSON */
} jr_cli_t;

/*
 * Sends a request to the entry processes in turn until one answers. Returns
 * the HTTP status, or 0 when none answered. *answer is the parsed body, NULL
 * when it is not JSON; the caller releases it with json_decref().
 */
long jr_cli_request(jr_cli_t *cli, const char *method, const char *path,
                    const char *body, json_t **answer);
/*
 * Gets a path from one address. Returns the HTTP status, or 0 when no answer
 * came within the time limit. The caller frees *answer with g_free().
 */
long jr_cli_get(const char *address, const char *path, long timeout_ms,
                char **answer, size_t *len);
/* Prints an error answer; returns the exit status. */
int jr_cli_fail(jr_cli_t *cli, long status, const json_t *answer);
/* Text of a member of an object, "" when it is missing; borrowed. */
const char *jr_cli_text(const json_t *object, const char *key);
/* Number in a member of an object, 0 when it is missing. */
long long jr_cli_number(const json_t *object, const char *key);
void jr_cli_print_json(const json_t *answer);

/*
 * Checks that an entry process answers and is ready. Prints the result and
 * returns the exit status.
 */
int jr_cli_check(jr_cli_t *cli);

/* Commands: each gets its arguments and returns the exit status. */
int jr_cli_rules_check(jr_cli_t *cli, char **arguments);
int jr_cli_rules_apply(jr_cli_t *cli, char **arguments);
int jr_cli_rules_show(jr_cli_t *cli, char **arguments);
int jr_cli_status(jr_cli_t *cli, char **arguments);
int jr_cli_task_submit(jr_cli_t *cli, char **arguments);
int jr_cli_task_show(jr_cli_t *cli, char **arguments);
int jr_cli_task_cancel(jr_cli_t *cli, char **arguments);
int jr_cli_settings_check(jr_cli_t *cli, char **arguments);
/* Prints the timeline of a job or task from log files or standard input. */
int jr_cli_explain(jr_cli_t *cli, char **arguments);
int jr_cli_keys_new(jr_cli_t *cli, char **arguments);
/*
 * Command config check with options of its own; argv[0] is ignored. Returns 0
 * when nothing was found, 1 with findings, and 2 if the check could not be
 * made.
 */
int jr_cli_config_check(jr_cli_t *cli, int argc, char **argv);

#endif
