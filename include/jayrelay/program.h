/**
 * DOC: program - command line, clocks and key hashing of the daemons
 */
#ifndef JAYRELAY_PROGRAM_H
#define JAYRELAY_PROGRAM_H

#include "jayrelay/settings.h"

/**
 * struct jr_program_t - the command line of a daemon
 * @name: program name in messages; borrowed
 * @summary: first text of --help; borrowed
 * @kind: the program, which decides the settings that are accepted
 * @has_init: the program accepts --init
 * @init: output: --init was given
 * @settings_path: output: argument of --settings; owned by the caller
 *                 (g_free())
 */
typedef struct {
    const char *name;
    const char *summary;
    jr_settings_kind_t kind;
    bool has_init;
    bool init;
    char *settings_path;
} jr_program_t;

/**
 * jr_program_start - read the command line and the settings
 * @settings: receives the settings
 *
 * Handles --help, --version and --check, and prints all errors to stderr.
 * Return: -1 if the program should run, or else its exit status.
 */
int jr_program_start(jr_ctx_t *ctx, jr_program_t *program, int argc,
                     char **argv, jr_settings_t *settings);

/** jr_clock_us - monotonic clock, microseconds; runs on in suspension */
int64_t jr_clock_us(void);

/** jr_clock_ms - the clock of jr_clock_us() in milliseconds */
int64_t jr_clock_ms(void);

/** jr_wall_ms - wall clock, milliseconds since the Unix epoch */
int64_t jr_wall_ms(void);

/**
 * jr_group_of - the task group to which a key or a host is hashed
 *
 * Return: 1 to @groups.
 */
uint32_t jr_group_of(const char *key, int64_t groups);

#endif
