/**
 * DOC: error - numbered result codes and the error struct
 *
 * Every function that can fail returns a jr_result_t and stores the
 * details in the error struct of its context. docs/ERRORS.md lists all codes
 * and what a user can do about each; a test checks that it has them all.
 */
#ifndef JAYRELAY_ERROR_H
#define JAYRELAY_ERROR_H

#include <stddef.h>

/* name, number, exit status of the process, short text */
#define JR_RESULT_TABLE(X)                                                    \
    X(OK, 0, 0, "ok")                                                         \
    X(USAGE, 10, 2, "usage error")                                            \
    X(SETTINGS, 11, 3, "settings are not valid")                              \
    X(RULES, 12, 4, "rules are not valid")                                    \
    X(RULES_CONFLICT, 13, 5, "another rules file has this version")           \
    X(RULES_OLD, 14, 5, "a newer rules file is in force")                     \
    X(BAD_REQUEST, 20, 6, "request is not valid")                             \
    X(TOO_LARGE, 21, 6, "request is too large")                               \
    X(NOT_FOUND, 22, 7, "not found")                                          \
    X(KEY_REUSED, 23, 6, "idempotency key was used with other content")       \
    X(QUOTA, 24, 8, "quota of the team is used up")                           \
    X(IN_PROGRESS, 25, 8, "first request with this key is in progress")       \
    X(STALE_EPOCH, 26, 6, "lease epoch is not the current one")               \
    X(WRONG_STATE, 27, 6, "task is not in a state for this")                  \
    X(GONE, 28, 7, "no such job")                                             \
    X(OVERTAKEN, 29, 8, "a later request was accepted before")                \
    X(NOT_LEADER, 30, 9, "this replica is not the leader")                    \
    X(NO_QUORUM, 31, 9, "quorum cannot be reached")                           \
    X(UNKNOWN, 32, 10, "outcome is unknown")                                  \
    X(NO_CONFIG, 33, 9, "no configuration yet")                               \
    X(OVERLOADED, 40, 8, "no slot is free in time")                           \
    X(NO_UPSTREAM, 41, 8, "no upstream offers this service")                  \
    X(DEADLINE, 42, 8, "deadline cannot be met")                              \
    X(IO, 50, 11, "input or output failed")                                   \
    X(DISK_FULL, 51, 11, "no space left in the data folder")                  \
    X(DAMAGED, 52, 12, "stored data is damaged")                              \
    X(NETWORK, 53, 9, "network failure")

/** enum jr_result_t - result codes; the numbers are a public interface */
typedef enum {
#define X(name, number, exit_code, text) JR_##name = (number),
    JR_RESULT_TABLE(X)
#undef X
} jr_result_t;

enum { JR_ERROR_TEXT_BYTES = 512 };

/**
 * struct jr_error_t - details of the last failure in a context
 * @code: kind of failure
 * @text: one line for people: what failed, and where
 */
typedef struct {
    jr_result_t code;
    char text[JR_ERROR_TEXT_BYTES];
} jr_error_t;

/** jr_result_name - name of a code, such as "NOT_LEADER"; never NULL */
const char *jr_result_name(jr_result_t code);

/** jr_result_text - one-line description of a code; never NULL */
const char *jr_result_text(jr_result_t code);

/** jr_result_exit - exit status of a process that ends with @code */
int jr_result_exit(jr_result_t code);

/** jr_result_at - get code @i of the table; false past the end */
int jr_result_at(size_t i, jr_result_t *code);

#endif
