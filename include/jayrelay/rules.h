/**
 * DOC: rules - parser of the operators' rules file
 *
 * The file has one rule per line. Each rule ends with a comment that names
 * the person or department that requested it:
 *
 *   version 7                                # asked for by Aino
 *   service advice target 250ms priority 90  # asked for by the desk
 *   class cure-study rate 30% priority 20    # asked for by the laboratory
 *   team lab cpu 200 memory 800G tasks 5000  # asked for by finance
 *   weight tail 5                            # asked for by the desk
 *
 * A file with any problem is rejected as a whole. Words are split and
 * unquoted by the rules of a POSIX shell.
 */
#ifndef JAYRELAY_RULES_H
#define JAYRELAY_RULES_H

#include "jayrelay/ctx.h"

enum {
    JR_RULE_NAME_BYTES = 64,
    JR_RULES_MAX_BYTES = 1024 * 1024,
    JR_RULE_PROBLEMS_MAX = 100, /* further problems are dropped */
};

/**
 * struct jr_service_rule_t - rule of a latency-critical service
 * @name: name of the service, NUL-terminated
 * @target_ms: latency target of a call, in milliseconds
 * @priority: 0 to 100; calls of a higher priority are served first
 */
typedef struct {
    char name[JR_RULE_NAME_BYTES];
    int64_t target_ms;
    int priority;
} jr_service_rule_t;

/**
 * struct jr_class_rule_t - rule of a class of batch tasks
 * @name: name of the class, NUL-terminated
 * @rate_percent: share of all processors that the class has paid for and is
 *   guaranteed, 0 to 100
 * @priority: 0 to 100; decides between classes that already use their
 *   guaranteed share; tasks of the lowest priority are evicted first
 */
typedef struct {
    char name[JR_RULE_NAME_BYTES];
    int rate_percent;
    int priority;
} jr_class_rule_t;

/**
 * struct jr_team_rule_t - quotas of a team; 0 means no limit
 * @name: name of the team, NUL-terminated
 * @cpu_milli: processors of its running tasks, in thousandths of a processor
 * @memory_mb: memory of its running tasks, in MiB
 * @tasks: number of tasks that are queued or running
 */
typedef struct {
    char name[JR_RULE_NAME_BYTES];
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t tasks;
} jr_team_rule_t;

/**
 * struct jr_weights_t - weights of the scheduling objectives, 0 to 10 each
 * @tail: tail latency of the services
 * @throughput: throughput of batch tasks
 * @evictions: cost of evicting a running task
 */
typedef struct {
    int tail;
    int throughput;
    int evictions;
} jr_weights_t;

/**
 * struct jr_rules_t - a valid rules file, reference-counted
 * @version: version number, at least 1
 * @services, @classes, @teams: sorted by name
 */
typedef struct {
    int refs;
    jr_ctx_t *ctx;
    uint64_t version;
    jr_service_rule_t *services;
    size_t n_services;
    jr_class_rule_t *classes;
    size_t n_classes;
    jr_team_rule_t *teams;
    size_t n_teams;
    jr_weights_t weights;
} jr_rules_t;

/**
 * struct jr_rule_problem_t - an error at one position of the file
 * @line, @column: position in the file, counted from 1; columns are bytes
 * @text: the error and what was expected, NUL-terminated
 */
typedef struct {
    int line;
    int column;
    char text[160];
} jr_rule_problem_t;

/**
 * struct jr_rule_problems_t - the problems of a file, in the order found
 * @n: number of problems; those after the first JR_RULE_PROBLEMS_MAX are not
 *   recorded
 */
typedef struct {
    size_t n;
    jr_rule_problem_t problems[JR_RULE_PROBLEMS_MAX];
} jr_rule_problems_t;

/**
 * jr_new_rules - parse and check a rules file
 * @text: content of the file, NUL-terminated
 * @problems: receives the problems of all lines; may be NULL
 *
 * Return: the rules, owned by the caller (jr_drop_rules()), or NULL with
 * JR_RULES and the first problem set as the error of the context.
 */
jr_rules_t *jr_new_rules(jr_ctx_t *ctx, const char *text,
                         jr_rule_problems_t *problems);

/** jr_keep_rules - take another reference; returns @rules */
jr_rules_t *jr_keep_rules(jr_rules_t *rules);

/** jr_drop_rules - release a reference; NULL is accepted */
void jr_drop_rules(jr_rules_t *rules);

/** jr_rules_service - rule of a service, or NULL; borrowed from @rules */
const jr_service_rule_t *jr_rules_service(const jr_rules_t *rules,
                                          const char *name);

/** jr_rules_class - rule of a class, or NULL; borrowed from @rules */
const jr_class_rule_t *jr_rules_class(const jr_rules_t *rules,
                                      const char *name);

/** jr_rules_team - quotas of a team, or NULL; borrowed from @rules */
const jr_team_rule_t *jr_rules_team(const jr_rules_t *rules, const char *name);

/**
 * DOC: register - replicated register of the rules in force
 *
 * The version number only increases. The register also stores the home of
 * each host: the task group that the workers of the host belong to. A new
 * host is assigned to the group with the fewest hosts, because a hash of the
 * host name would leave some groups without workers when there are few hosts.
 * The state of the register is a pure function of the commands applied to it.
 */
typedef struct jr_register jr_register_t;

/**
 * struct jr_register_result_t - result of jr_register_apply()
 * @code: JR_OK, JR_RULES_CONFLICT or JR_RULES_OLD
 * @version, @text: the rules in force after the call; @text is borrowed from
 *   the register and valid until its next change
 */
typedef struct {
    jr_result_t code;
    uint64_t version;
    const char *text;
} jr_register_result_t;

/** jr_new_register - create an empty register with version 0 */
jr_register_t *jr_new_register(jr_ctx_t *ctx);

/** jr_drop_register - free a register; NULL is accepted */
void jr_drop_register(jr_register_t *reg);

/**
 * jr_register_apply - propose a version of the rules
 * @version: accepted when it is greater than the version in force
 * @text: content of the rules file, NUL-terminated; copied
 *
 * Repeating an accepted version with the same content gives JR_OK again, so
 * that a request can be resent; with other content it gives
 * JR_RULES_CONFLICT. Any other version that is not newer, among them accepted
 * ones that have left the history, gives JR_RULES_OLD.
 */
jr_register_result_t jr_register_apply(jr_register_t *reg, uint64_t version,
                                       const char *text);

/**
 * jr_register_home - task group that the workers of a host belong to
 *
 * Return: number of the group, or 0 when the host has none yet.
 */
uint32_t jr_register_home(const jr_register_t *reg, const char *host);

/**
 * jr_register_assign_home - assign a host permanently to a task group
 * @groups: number of task groups, at least 1; groups are numbered from 1
 *
 * Return: the group that the host already has, or else the group with the
 * fewest hosts, the lowest number of several.
 */
uint32_t jr_register_assign_home(jr_register_t *reg, const char *host,
                                 uint32_t groups);

/** jr_register_text - rules text in force, "" for none; borrowed */
const char *jr_register_text(const jr_register_t *reg);

/** jr_register_version - version in force, 0 for none */
uint64_t jr_register_version(const jr_register_t *reg);

/**
 * jr_register_save - serialise the state as a RulesSnapshot message
 * @len: receives the number of bytes
 *
 * Return: the bytes, owned by the caller (jr_free()).
 */
uint8_t *jr_register_save(const jr_register_t *reg, size_t *len);

/**
 * jr_register_load - replace the state by one from jr_register_save()
 *
 * Return: false when the bytes are not valid; the state is then unchanged.
 */
bool jr_register_load(jr_register_t *reg, const uint8_t *bytes, size_t len);

#endif
