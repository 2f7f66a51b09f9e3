/**
 * DOC: settings - the YAML settings of a process
 *
 * The whole file is checked before the process opens anything else, and all
 * errors are reported together, each with its line. Unknown keys are errors.
 */
#ifndef JAYRELAY_SETTINGS_H
#define JAYRELAY_SETTINGS_H

#include "jayrelay/ctx.h"

enum {
    JR_SETTING_BYTES = 64,
    JR_PATH_BYTES = 256,
    JR_CONTROLS_MAX = 64,
    JR_REPLICAS_MAX = 9,
    JR_ENTRIES_MAX = 64,
    JR_SETTING_ERRORS_MAX = 64,
    JR_SETTING_ZONES_MAX = 32,
};

/**
 * struct jr_process_t - name, zone and addresses of a process of the system
 * @bus: address for messages between processes, IP:PORT
 * @http: address of its HTTP server, IP:PORT; may be empty
 */
typedef struct {
    char name[JR_SETTING_BYTES];
    char zone[JR_SETTING_BYTES];
    char bus[JR_SETTING_BYTES];
    char http[JR_SETTING_BYTES];
} jr_process_t;

/** enum jr_settings_kind_t - the program to which the settings belong */
typedef enum {
    JR_SETTINGS_ENTRY,
    JR_SETTINGS_CONTROL,
    JR_SETTINGS_GATE,
} jr_settings_kind_t;

/**
 * struct jr_settings_t - settings of one process
 * @data: data folder
 * @rules_file: rules file that a control process submits; empty: none
 * @key_file: file with the keys of the bus; empty: none
 * @ready: address at which a gate serves its readiness
 * @metrics: additional address at which metrics are served; empty: none
 * @jobs: this control process serves the job group instead of the rules and
 *        task groups
 * @first_start: the system starts for the first time, with empty disks, so
 *               the control processes named by the seeds create the group
 * @tolerate: number of control processes that may fail at the same time;
 *            sets @replicas to 2n + 1 unless it is 0
 * @far_permille: run time of a task away from its data, in thousandths of
 *                its run time near them; set by far_factor
 * @hold_wait_ms: how long a worker may wait for a run to end before it
 *                answers a lease renewal
 * @failover_ms: tasks of a worker that is lost without notice run again within
 *               this time and @settle_ms; bounds the leases of the job group;
 *               0: no bound
 * @settle_ms: time after a fault that @failover_ms does not count
 * @groups: number of task groups; must be the same for all processes and
 *          never change
 * @replicas: number of initial members of each group
 * @lease_ms: duration of a lease
 * @drift_permille: bound on the drift of any clock from real time
 * @snapshot_every: log entries after which a snapshot is taken
 * @request_memory_mb: for the bodies of requests that are being received or
 *                     handled, all together
 * @connections: of HTTP callers at the same time; 0: as many as descriptors
 *               and memory allow
 * @crossing_ms: assumed latency of a cross-zone message
 * @retry_percent: retries allowed per 100 first attempts
 * @controls: all control processes, or those named by the seeds
 * @entries: all entry processes
 * @zones: availability zones that an operator may drain; none: any
 */
typedef struct {
    char name[JR_SETTING_BYTES];
    char zone[JR_SETTING_BYTES];
    char bus[JR_SETTING_BYTES];
    char http[JR_SETTING_BYTES];
    char data[JR_PATH_BYTES];
    char rules_file[JR_PATH_BYTES];
    char key_file[JR_PATH_BYTES];
    char ready[JR_SETTING_BYTES];
    char metrics[JR_SETTING_BYTES];
    bool jobs;
    bool first_start;
    int64_t tolerate;
    int64_t far_permille;
    int64_t hold_wait_ms;
    int64_t failover_ms;
    int64_t settle_ms;
    int64_t groups;
    int64_t replicas;
    int64_t lease_ms;
    int64_t drift_permille;
    int64_t election_ms;
    int64_t heartbeat_ms;
    int64_t snapshot_every;
    int64_t drain_ms;
    int64_t request_memory_mb;
    int64_t connections;
    int64_t crossing_ms;
    int64_t retry_percent;
    jr_process_t controls[JR_CONTROLS_MAX];
    int64_t n_controls;
    jr_process_t entries[JR_ENTRIES_MAX];
    int64_t n_entries;
    char zones[JR_SETTING_ZONES_MAX][JR_SETTING_BYTES];
    int64_t n_zones;
} jr_settings_t;

/**
 * jr_settings_hosts - the control processes that are a group's first members
 * @hosts: receives indexes into @settings->controls
 *
 * Uses rendezvous hashing, spread over the zones, so that all processes with
 * the same list of control processes compute the same members.
 * Return: the number of members, at most @settings->replicas.
 */
size_t jr_settings_hosts(const jr_settings_t *settings, size_t group,
                         size_t hosts[JR_REPLICAS_MAX]);

/**
 * struct jr_setting_errors_t - the errors found in settings
 * @texts: one error each, as "line N: description"
 */
typedef struct {
    size_t n;
    char texts[JR_SETTING_ERRORS_MAX][160];
} jr_setting_errors_t;

/**
 * jr_settings_parse - parse and check settings in memory
 * @text: YAML text of @len bytes
 * @settings: receives the settings, with defaults for keys not given
 * @errors: receives all errors, up to JR_SETTING_ERRORS_MAX
 *
 * Return: JR_OK, or JR_SETTINGS with the first error in the context.
 */
jr_result_t jr_settings_parse(jr_ctx_t *ctx, const char *text, size_t len,
                              jr_settings_kind_t kind, jr_settings_t *settings,
                              jr_setting_errors_t *errors);

/** jr_settings_read - as jr_settings_parse(), for the file at @path */
jr_result_t jr_settings_read(jr_ctx_t *ctx, const char *path,
                             jr_settings_kind_t kind, jr_settings_t *settings,
                             jr_setting_errors_t *errors);

#endif
