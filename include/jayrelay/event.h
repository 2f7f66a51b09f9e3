/**
 * DOC: event - numbered log events
 *
 * A log line is a list of key=value fields that begins with time, level,
 * program, pid, event and name. docs/EVENTS.md lists all events and what an
 * operator should do about each; a test checks that it has them all.
 */
#ifndef JAYRELAY_EVENT_H
#define JAYRELAY_EVENT_H

#include <stddef.h>

/* name, number, syslog severity, kebab-case name in the log */
#define JR_EVENT_TABLE(X)                                                     \
    X(STARTED, 100, 6, "started")                                             \
    X(DRAINING, 101, 5, "draining")                                           \
    X(STOPPED, 102, 6, "stopped")                                             \
    X(FATAL, 103, 2, "fatal")                                                 \
    X(BAD_MESSAGE, 110, 4, "bad-message")                                     \
    X(LEADER_ELECTED, 200, 5, "leader-elected")                               \
    X(LEADER_LOST, 201, 5, "leader-lost")                                     \
    X(SNAPSHOT_TAKEN, 203, 6, "snapshot-taken")                               \
    X(SNAPSHOT_INSTALLED, 204, 5, "snapshot-installed")                       \
    X(TORN_TAIL, 205, 4, "torn-tail")                                         \
    X(DAMAGE, 206, 2, "damage")                                               \
    X(DISK_FAILED, 207, 2, "disk-failed")                                     \
    X(MEMBERSHIP, 208, 5, "membership")                                       \
    X(JOINING, 209, 5, "joining")                                             \
    X(RULES_ACCEPTED, 300, 5, "rules-accepted")                               \
    X(RULES_REFUSED, 301, 4, "rules-refused")                                 \
    X(RULES_IN_FORCE, 302, 5, "rules-in-force")                               \
    X(UPSTREAM_NEW, 400, 6, "upstream-new")                                   \
    X(UPSTREAM_LEAVING, 401, 5, "upstream-leaving")                           \
    X(UPSTREAM_SILENT, 402, 4, "upstream-silent")                             \
    X(UPSTREAM_EJECTED, 403, 4, "upstream-ejected")                           \
    X(UPSTREAM_READMITTED, 404, 5, "upstream-readmitted")                     \
    X(ANSWER_MISMATCH, 405, 3, "answer-mismatch")                             \
    X(CONNECTION_LOST, 406, 4, "connection-lost")                             \
    X(WORKER_NEW, 500, 6, "worker-new")                                       \
    X(WORKER_LAPSED, 501, 4, "worker-lapsed")                                 \
    X(WORKER_QUARANTINED, 502, 4, "worker-quarantined")                       \
    X(TASK_EVICTED, 503, 5, "task-evicted")                                   \
    X(TASK_IMPOSSIBLE, 504, 4, "task-impossible")                             \
    X(WORKER_SUSPECT, 505, 5, "worker-suspect")                               \
    X(WORKER_LIFE, 506, 5, "worker-life")                                     \
    X(FENCED, 507, 4, "fenced")                                               \
    X(WORKER_QUALITY, 508, 5, "worker-quality")                               \
    X(RUN_RELEASED, 510, 5, "run-released")                                   \
    X(RUN_STRAY, 511, 4, "run-stray")                                         \
    X(RUN_CONFIRMED, 512, 6, "run-confirmed")                                 \
    X(RUN_ENDED, 513, 6, "run-ended")                                         \
    X(RUN_STALLED, 516, 5, "run-stalled")                                     \
    X(RUN_PREEMPTED, 519, 5, "run-preempted")                                 \
    X(RUN_GAVE_WAY, 526, 5, "run-gave-way")                                   \
    X(FILLER_STOPPED, 515, 6, "filler-stopped")                               \
    X(FILLER_MOVED, 518, 6, "filler-moved")                                   \
    X(FILLER_PACED, 517, 6, "filler-paced")                                   \
    X(SERVICE_MOVED, 524, 6, "service-moved")                                 \
    X(SERVICES_WAIT, 525, 6, "services-wait")                                 \
    X(ORDER_FAILED, 514, 5, "order-failed")                                   \
    X(JOB_ANSWERED, 520, 6, "job-answered")                                   \
    X(JOB_ENDED, 521, 6, "job-ended")                                         \
    X(JOB_REFUSED, 523, 5, "job-refused")                                     \
    X(LEADER_REACHED, 522, 5, "leader-reached")                               \
    X(CONFIG_ACCEPTED, 530, 5, "config-accepted")                             \
    X(CONFIG_REFUSED, 531, 4, "config-refused")                               \
    X(WORKER_CHECKED_IN, 540, 6, "worker-checked-in")                         \
    X(WORKER_REFUSED, 541, 4, "worker-refused")                               \
    X(ZONE_DRAINED, 560, 5, "zone-drained")                                   \
    X(ZONE_EMPTY, 561, 5, "zone-empty")                                       \
    X(ZONE_RETURNED, 562, 5, "zone-returned")                                 \
    X(ZONE_REFUSED, 563, 4, "zone-refused")                                   \
    X(LOOP_LOAD, 112, 6, "loop-load")                                         \
    X(LOG_LINES_DROPPED, 111, 4, "log-lines-dropped")                         \
    X(RELOADED, 104, 5, "reloaded")

/** enum jr_event_t - log events; the numbers are a public interface */
typedef enum {
#define X(name, number, severity, text) JR_EV_##name = (number),
    JR_EVENT_TABLE(X)
#undef X
} jr_event_t;

/* Indexes of the events in the table; the last one is their number. */
typedef enum {
#define X(name, number, severity, text) JR_EVENT_INDEX_##name,
    JR_EVENT_TABLE(X)
#undef X
        JR_EVENTS
} jr_event_index_t;

/** jr_event_index - index of an event in the table; 0 if not listed */
size_t jr_event_index(jr_event_t event);

/** jr_event_at - get event @i of the table; false past the end */
int jr_event_at(size_t i, jr_event_t *event);

/** jr_event_name - kebab-case name of an event; never NULL */
const char *jr_event_name(jr_event_t event);

/** jr_event_severity - syslog severity, 0 (emergency) to 7 (debug) */
int jr_event_severity(jr_event_t event);

#endif
