/**
 * DOC: check - what is doubtful in a configuration, and what it changes
 *
 * Looks at a decoded configuration for entries that can never match and for
 * limits that contradict each other, and compares it with the one in force.
 * The results are typed: whoever knows the names of an operator's format
 * renders them. Pure: no clock, no file and no network.
 */
#ifndef JAYRELAY_CHECK_H
#define JAYRELAY_CHECK_H

#include "jayrelay/ctx.h"
#include "job/job.pb-c.h"

/**
 * enum jr_severity_t - what a finding means
 * @JR_SEVERITY_ERROR: the configuration is refused, or has no effect
 * @JR_SEVERITY_WARNING: it is accepted, and probably not what was meant
 * @JR_SEVERITY_CHANGE: a difference from the configuration in force
 */
typedef enum {
    JR_SEVERITY_ERROR,
    JR_SEVERITY_WARNING,
    JR_SEVERITY_CHANGE,
} jr_severity_t;

/*
 * name, severity, name for people. The first four are found by decoders, the
 * others by this module. docs/OPERATIONS.md states each rule.
 */
#define JR_CHECK_RULE_TABLE(X)                                                \
    X(SYNTAX, ERROR, "syntax")                                                \
    X(TOO_LARGE, ERROR, "too-large")                                          \
    X(BAD_FIELD, ERROR, "bad-field")                                          \
    X(IGNORED_FIELD, WARNING, "ignored-field")                                \
    X(HOST_NEVER_MATCHES, WARNING, "host-never-matches")                      \
    X(PREFIX_HAS_QUERY, WARNING, "prefix-has-query")                          \
    X(NAME_TOO_LONG, WARNING, "name-too-long")                                \
    X(SERVICE_REPEATED, WARNING, "service-repeated")                          \
    X(SERVICE_UNUSED, WARNING, "service-unused")                              \
    X(OBJECTIVE_UNREACHABLE, WARNING, "objective-unreachable")                \
    X(NO_ATTEMPTS, WARNING, "no-attempts")                                    \
    X(TIMEOUT_BELOW_OBJECTIVE, WARNING, "timeout-below-objective")            \
    X(ADVICE_PASSES_OBJECTIVE, WARNING, "advice-passes-objective")            \
    X(PRIORITY_INVERTED, WARNING, "priority-inverted")                        \
    X(VERSION_NOT_HIGHER, ERROR, "version-not-higher")                        \
    X(QUEUE_REMOVED, WARNING, "queue-removed")                                \
    X(QUEUE_STRANDED, WARNING, "queue-stranded")                              \
    X(QUEUE_MOVED, WARNING, "queue-moved")                                    \
    X(QUEUE_ADDED, CHANGE, "queue-added")                                     \
    X(QUEUE_CHANGED, CHANGE, "queue-changed")                                 \
    X(SERVICE_ADDED, CHANGE, "service-added")                                 \
    X(SERVICE_REMOVED, CHANGE, "service-removed")                             \
    X(SERVICE_CHANGED, CHANGE, "service-changed")

/** enum jr_check_rule_t - rules; their names are a public interface */
typedef enum {
#define X(name, severity, text) JR_CHECK_##name,
    JR_CHECK_RULE_TABLE(X)
#undef X
        JR_CHECK_RULES
} jr_check_rule_t;

/**
 * struct jr_check_limits_t - limits of a queue that are not part of its
 * decoded form
 * @timeout_ms: after which callers stop waiting, in ms
 * @has_max_failures: a limit of failures is given, if only 0
 */
typedef struct {
    uint32_t timeout_ms;
    bool has_max_failures;
} jr_check_limits_t;

/**
 * struct jr_check_subject_t - a configuration to check; all is borrowed
 * @config: valid: each queue has a host, a prefix and a known service, and no
 *          two have the same ones
 * @limits: one for each queue of @config
 */
typedef struct {
    const Jr__JobConfig *config;
    const jr_check_limits_t *limits;
} jr_check_subject_t;

/** enum jr_check_field_t - bits of the fields that differ */
typedef enum {
    JR_FIELD_SERVICE = 1 << 0,
    JR_FIELD_PRIORITY = 1 << 1,
    JR_FIELD_MAX_FAILURES = 1 << 2,
    JR_FIELD_OBJECTIVE = 1 << 3,
    JR_FIELD_STRETCH = 1 << 4,
    JR_FIELD_TIMEOUT = 1 << 5,
    JR_FIELD_ADVICE_CALL = 1 << 6,
    JR_FIELD_ADVICE_WORKER = 1 << 7,
    JR_FIELD_ADVICE_VALID = 1 << 8,
} jr_check_field_t;

/**
 * struct jr_check_finding_t - one finding
 * @index: index of the queue or service; of removed ones in the configuration
 *         in force, else in the new one
 * @other: index of another queue or service: the one that has the name
 *         already, the one that ranks before, or the same one in force
 * @fields: of JR_CHECK_QUEUE_CHANGED and JR_CHECK_QUEUE_MOVED: a mask of
 *          jr_check_field_t
 */
typedef struct {
    jr_check_rule_t rule;
    size_t index;
    size_t other;
    unsigned fields;
} jr_check_finding_t;

/** jr_check_handler_t - take a finding; it is valid during the call */
typedef void jr_check_handler_t(void *user, const jr_check_finding_t *finding);

/** jr_check_rule_name - such as "queue-removed"; never NULL */
const char *jr_check_rule_name(jr_check_rule_t rule);

/** jr_check_rule_severity - severity of the findings of a rule */
jr_severity_t jr_check_rule_severity(jr_check_rule_t rule);

/**
 * jr_check_config - check one configuration
 * @handler: called for each finding
 */
void jr_check_config(const jr_check_subject_t *subject,
                     jr_check_handler_t *handler, void *user);

/**
 * jr_check_change - compare a configuration with the one in force
 * @handler: called for each finding
 */
void jr_check_change(const jr_check_subject_t *in_force,
                     const jr_check_subject_t *subject,
                     jr_check_handler_t *handler, void *user);

#endif
