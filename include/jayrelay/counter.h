/**
 * DOC: counter - the counters in /metrics
 *
 * Each reason for a refusal or a retry has its own counter, so that every
 * refusal shows up in a counter. Counters only grow.
 */
#ifndef JAYRELAY_COUNTER_H
#define JAYRELAY_COUNTER_H

#include <stddef.h>
#include <stdint.h>

/* name, name in /metrics, help text */
#define JR_COUNTER_TABLE(X)                                                   \
    X(CALLS, "calls_total", "calls taken in")                                 \
    X(CALLS_ANSWERED, "calls_answered_total", "calls answered")               \
    X(CALLS_UNKNOWN, "calls_unknown_total", "calls with unknown outcome")     \
    X(REFUSED_OVERLOAD, "refused_overload_total", "not run: no slot in time") \
    X(REFUSED_DEADLINE, "refused_deadline_total",                             \
      "not run: deadline cannot be met")                                      \
    X(REFUSED_NO_UPSTREAM, "refused_no_upstream_total",                       \
      "not run: nothing offers the service")                                  \
    X(REFUSED_NO_QUORUM, "refused_no_quorum_total",                           \
      "not run: key could not be claimed")                                    \
    X(REFUSED_KEY_REUSED, "refused_key_reused_total",                         \
      "not run: key used with other content")                                 \
    X(REFUSED_IN_PROGRESS, "refused_in_progress_total",                       \
      "first request with the key is in progress")                            \
    X(REFUSED_STARTING, "refused_starting_total", "not run: no rules yet")    \
    X(REFUSED_BAD_REQUEST, "refused_bad_request_total", "request not valid")  \
    X(REFUSED_TOO_LARGE, "refused_too_large_total", "request too large")      \
    X(REFUSED_MEMORY, "refused_memory_total",                                 \
      "not run: no memory for the body, said before it was read")             \
    X(CLOSED_IDLE, "closed_idle_total",                                       \
      "idle connections closed: too many, another took its place")            \
    X(REFUSED_CONNECTIONS, "refused_connections_total",                       \
      "connections not accepted: too many, and none was idle")                \
    X(CLOSED_TOO_LARGE, "closed_too_large_total",                             \
      "connections closed: chunked body too large")                           \
    X(CLOSED_MEMORY, "closed_memory_total",                                   \
      "connections closed: no memory for the rest of a chunked body")         \
    X(CLOSED_STALLED, "closed_stalled_total",                                 \
      "connections closed: incomplete body made no progress")                 \
    X(CLOSED_GAVE_WAY, "closed_gave_way_total",                               \
      "connections closed: incomplete body gave way to another request")      \
    X(REFUSED_QUOTA, "refused_quota_total", "team quota used up")             \
    X(REFUSED_UPSTREAM, "refused_upstream_total",                             \
      "not run: upstream said so and no attempt was left")                    \
    X(SHED, "shed_total", "queued calls shed for more urgent ones")           \
    X(RETRY_CONNECT, "retry_connect_total",                                   \
      "attempts repeated: no connection")                                     \
    X(RETRY_REFUSED, "retry_refused_total",                                   \
      "attempts repeated: upstream said not run")                             \
    X(RETRY_BROKEN, "retry_broken_total",                                     \
      "attempts repeated: answer broken off")                                 \
    X(RETRY_FAILED, "retry_failed_total",                                     \
      "attempts repeated: upstream failed")                                   \
    X(RETRY_NO_BUDGET, "retry_no_budget_total",                               \
      "attempts not repeated: budget spent")                                  \
    X(ATTEMPTS, "attempts_total", "attempts sent to upstreams")               \
    X(FORWARDS, "forwards_total", "calls forwarded to a peer")                \
    X(ANSWER_LATE, "answer_late_total", "answers dropped: too late")          \
    X(ANSWER_MISMATCH, "answer_mismatch_total",                               \
      "answers dropped: of another attempt")                                  \
    X(ANSWER_PARTIAL, "answer_partial_total", "answers dropped: cut off")     \
    X(EJECTIONS, "ejections_total", "upstreams ejected")                      \
    X(LOANS_ASKED, "loans_asked_total", "slot loans asked of peers")          \
    X(LOANS_GIVEN, "loans_given_total", "slots lent to peers")                \
    X(LOANS_TAKEN, "loans_taken_total", "slots borrowed from peers")          \
    X(ANNOUNCE_OLD, "announce_old_total", "announcements older than known")   \
    X(ANNOUNCE_BAD, "announce_bad_total", "announcements not valid")          \
    X(BUS_SENT, "bus_sent_total", "messages sent on the bus")                 \
    X(BUS_RECEIVED, "bus_received_total", "messages received on the bus")     \
    X(BUS_SENT_BYTES, "bus_sent_bytes_total", "bytes sent on the bus")        \
    X(BUS_DROPPED, "bus_dropped_total", "messages dropped: peer not there")   \
    X(BUS_BAD, "bus_bad_total", "messages not valid")                         \
    X(LOG_APPENDS, "log_appends_total", "log entries written")                \
    X(LOG_SYNCS, "log_syncs_total", "log syncs")                              \
    X(LOG_TORN, "log_torn_total", "torn log tails cut")                       \
    X(SNAPSHOTS, "snapshots_total", "snapshots taken")                        \
    X(ELECTIONS, "elections_total", "elections started")                      \
    X(JOIN_NO_TICKET, "join_no_ticket_total",                                 \
      "join requests refused: no valid ticket, so maybe late")                \
    X(JOIN_NAME_IN_USE, "join_name_in_use_total",                             \
      "join requests refused: another replica of the process answers")        \
    X(HEARTBEATS, "heartbeats_total", "worker heartbeats handled")            \
    X(HEARTBEAT_BAD, "heartbeat_bad_total", "heartbeats not valid")           \
    X(REPORT_STALE, "report_stale_total", "reports with an old epoch")        \
    X(GRANTS, "grants_total", "leases granted")                               \
    X(EXPIRIES, "expiries_total", "leases expired")                           \
    X(THROTTLES, "throttles_total", "tasks throttled")                        \
    X(EVICTIONS, "evictions_total", "tasks evicted")                          \
    X(MOVES, "moves_total", "fillers moved away from services")               \
    X(SERVICE_MOVES, "service_moves_total",                                   \
      "services moved away from workers that drain")                          \
    X(PACES, "paces_total", "changes of the pace of a filler")                \
    X(QUARANTINES, "quarantines_total", "workers quarantined")                \
    X(WORKERS_SLOW, "workers_slow_total", "workers found to be slow")         \
    X(WORKERS_FAILING, "workers_failing_total",                               \
      "workers found to fail more than others")                               \
    X(WORKERS_COLD, "workers_cold_total", "workers that said they are cold")  \
    X(IMPOSSIBLE, "impossible_total", "tasks that can never run")             \
    X(SUBMIT_REPEATED, "submit_repeated_total",                               \
      "submissions answered from an earlier one")                             \
    X(JOBS_ACCEPTED, "jobs_accepted_total", "jobs taken into the log")        \
    X(JOBS_DONE, "jobs_done_total", "jobs that ended as done")                \
    X(URGENT_IN_TIME, "jobs_urgent_in_time_total",                            \
      "jobs of priority 0 that were done within their objective")             \
    X(URGENT_LATE, "jobs_urgent_late_total",                                  \
      "jobs of priority 0 done after it, within three times it")              \
    X(URGENT_TOO_LATE, "jobs_urgent_too_late_total",                          \
      "jobs of priority 0 that were done after three times their objective")  \
    X(OTHER_IN_TIME, "jobs_other_in_time_total",                              \
      "jobs of other priorities that were done within their objective")       \
    X(OTHER_LATE, "jobs_other_late_total",                                    \
      "jobs of other priorities done after it, within three times it")        \
    X(OTHER_TOO_LATE, "jobs_other_too_late_total",                            \
      "jobs of other priorities that were done after three times it")         \
    X(JOBS_FAILED, "jobs_failed_total", "jobs that ended as failed")          \
    X(JOBS_CANCELLED, "jobs_cancelled_total", "jobs that were cancelled")     \
    X(REFUSED_NO_CONFIG, "refused_no_config_total",                           \
      "refused: no configuration yet")                                        \
    X(REFUSED_WORKER, "refused_worker_total",                                 \
      "check-ins and leave requests of workers that are not valid")           \
    X(RESTARTS_DENIED, "restarts_denied_total",                               \
      "check-ins of a later incarnation that the worker itself denied")       \
    X(REFUSED_ANSWER, "refused_answer_total",                                 \
      "answers of workers to orders that are not valid")                      \
    X(REFUSED_ZONE, "refused_zone_total",                                     \
      "requests to drain or take back a zone that is not in the settings")    \
    X(REFUSED_OVERTAKEN, "refused_overtaken_total",                           \
      "requests to drain or take back a zone after a later one")              \
    X(REFUSED_ZONES_DRAINED, "refused_zones_drained_total",                   \
      "not run: all workers of the service are in drained zones")             \
    X(REFUSED_QUEUE_BACKLOG, "refused_queue_backlog_total",                   \
      "not run: too late because of its own queue's backlog")                 \
    X(REFUSED_URGENT_BACKLOG, "refused_urgent_backlog_total",                 \
      "not run: too late because of more urgent queues")                      \
    X(REFUSED_NO_QUEUE, "refused_no_queue_total", "refused: no such queue")   \
    X(REFUSED_NO_JOB, "refused_no_job_total", "asked for a job not known")    \
    X(ANSWERED_UNKNOWN, "answered_unknown_total",                             \
      "answered that the outcome is not known")                               \
    X(STARTS_SENT, "starts_sent_total", "orders to start a task")             \
    X(STOPS_SENT, "stops_sent_total", "orders to stop a run")                 \
    X(RENEWALS_SENT, "renewals_sent_total",                                   \
      "orders that renew a lease and ask for the lists of a worker")          \
    X(PACES_SENT, "paces_sent_total", "orders to run a filler at a pace")     \
    X(ORDERS_DONE, "orders_done_total", "orders that workers carried out")    \
    X(ORDERS_FENCED, "orders_fenced_total",                                   \
      "orders refused: higher fencing token")                                 \
    X(ORDERS_OLD_RUN, "orders_old_run_total", "orders refused: old run")      \
    X(ORDERS_EXPIRED, "orders_expired_total", "orders refused: lease over")   \
    X(ORDERS_NO_ROOM, "orders_no_room_total", "orders refused: no room")      \
    X(ORDERS_UNHEALTHY, "orders_unhealthy_total",                             \
      "orders refused: worker unhealthy")                                     \
    X(ORDERS_OTHER_LIFE, "orders_other_life_total",                           \
      "orders to a life that was over")                                       \
    X(ORDERS_REFUSED, "orders_refused_total", "orders refused otherwise")     \
    X(ORDERS_UNREACHED, "orders_unreached_total",                             \
      "orders that could not be sent")                                        \
    X(ORDERS_UNCLEAR, "orders_unclear_total", "orders without an answer")     \
    X(ORDERS_CARRIED, "orders_carried_total",                                 \
      "orders sent to workers for the leader")                                \
    X(CARRY_REFUSED, "carry_refused_total",                                   \
      "orders not sent for the leader: too many are open")                    \
    X(CARRY_STALE, "carry_stale_total",                                       \
      "orders not sent for the leader: they were on the way for too long")    \
    X(CARRY_EXPIRED, "carry_expired_total",                                   \
      "orders of which a carrier gave no answer in time")                     \
    X(RUNS_ENDED_DONE, "runs_done_total", "runs that ended as done")          \
    X(RUNS_ENDED_FAILED, "runs_failed_total", "runs that failed")             \
    X(RUNS_ENDED_OTHER, "runs_cut_total",                                     \
      "runs that were stopped, lapsed or broken")                             \
    X(RUNS_RELEASED, "runs_released_total",                                   \
      "runs over without an end from their worker")                           \
    X(WORKER_CRASHES, "worker_crashes_total",                                 \
      "workers whose incarnation ended without notice")                       \
    X(RUNS_STALLED, "runs_stalled_total",                                     \
      "runs stopped since they made no progress")                             \
    X(PASSES, "passes_total", "scheduling passes over the waiting tasks")     \
    X(WORKERS_EXAMINED, "workers_examined_total",                             \
      "workers examined as a place for a task")                               \
    X(WORKERS_LOOKED_AT, "workers_looked_at_total",                           \
      "workers looked at for an order that is due")                           \
    X(RUNS_LOOKED_AT, "runs_looked_at_total",                                 \
      "runs looked at in passes, for what services keep")                     \
    X(PREEMPTIONS, "preemptions_total",                                       \
      "tasks stopped for urgent tasks that waited")                           \
    X(STOPS_FOR_SERVICES, "stops_for_services_total",                         \
      "tasks stopped for services that lost their run")                       \
    X(RUNS_STRAY, "runs_stray_total", "runs that nobody granted, stopped")    \
    X(RUNS_DOUBLED, "runs_doubled_total",                                     \
      "runs that nobody granted, of tasks that ran elsewhere")                \
    X(LOG_LINES_LOST, "log_lines_lost_total", "log lines not written")        \
    X(RULES_ACCEPTED, "rules_accepted_total", "rules files accepted")         \
    X(RULES_REFUSED, "rules_refused_total", "rules files refused")            \
    X(RULES_CONFLICT, "rules_conflict_total", "rules files in conflict")

/** enum jr_counter_t - index of a counter */
typedef enum {
#define X(name, metric, help) JR_C_##name,
    JR_COUNTER_TABLE(X)
#undef X
        JR_COUNTERS
} jr_counter_t;

/** jr_counter_metric - name in /metrics, without the common prefix */
const char *jr_counter_metric(jr_counter_t counter);

/** jr_counter_help - one line of help */
const char *jr_counter_help(jr_counter_t counter);

#endif
