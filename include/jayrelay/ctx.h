/**
 * DOC: ctx - the context: allocator, last error, log and counters
 *
 * The context is the first argument of every function that allocates
 * memory, can fail or logs. There are no global variables. A context is not
 * thread-safe: only one thread may use it.
 */
#ifndef JAYRELAY_CTX_H
#define JAYRELAY_CTX_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "jayrelay/counter.h"
#include "jayrelay/error.h"
#include "jayrelay/event.h"
#include "jayrelay/histogram.h"
#include "jayrelay/inbound.h"

/**
 * struct jr_allocator_t - memory allocator
 * @resize: like realloc(3), but @n 0 always frees @p and returns NULL, and
 *          otherwise NULL means that there is no memory
 * @user: passed to @resize
 */
typedef struct {
    void *(*resize)(void *user, void *p, size_t n);
    void *user;
} jr_allocator_t;

/* PIPE_BUF on Linux: a pipe takes a write of up to this size in full or not
 * at all. */
enum { JR_LOG_BUFFER_BYTES = 4096 };

/**
 * struct jr_log_state_t - buffered log lines and the budgets of events
 * @buffer: lines that are not written yet
 * @used: bytes used in @buffer
 * @lines: number of lines in @buffer
 * @suppressed: lines over budget in @second, not yet reported in the log
 * @second: the second, by the boot-time clock, for which @counts are valid
 * @counts: lines logged in @second, by index of the event in the table
 * @job_lines: lines about jobs in @second, logged or left out
 * @job_lines_kept: those of them that were logged
 * @job_bits: of 2 to this power jobs, one has its lines logged
 */
typedef struct {
    char buffer[JR_LOG_BUFFER_BYTES];
    size_t used;
    uint64_t lines;
    uint64_t suppressed;
    int64_t second;
    uint32_t counts[JR_EVENTS];
    uint64_t job_lines;
    uint64_t job_lines_kept;
    unsigned job_bits;
} jr_log_state_t;

/**
 * struct jr_ctx_t - the context
 * @allocator: source of all memory
 * @error: details of the last failure
 * @program: program name in log lines; borrowed
 * @log: stream for log lines, NULL for none; borrowed
 * @log_level: highest syslog severity number that is written
 * @log_is_buffered: the owner calls jr_log_flush() in each iteration of its
 *                   event loop; only warnings and worse are written at once
 * @log_state: private to jr_log() and jr_log_flush()
 * @counters: see jr_counter_t
 * @histograms: see jr_histogram_t
 * @inbound: memory of the requests that the process receives
 */
typedef struct {
    jr_allocator_t allocator;
    jr_error_t error;
    const char *program;
    FILE *log;
    int log_level;
    bool log_is_buffered;
    jr_log_state_t log_state;
    uint64_t counters[JR_COUNTERS];
    jr_histogram_data_t histograms[JR_HISTOGRAMS];
    jr_inbound_t inbound;
} jr_ctx_t;

/**
 * jr_new_ctx - create a context
 * @program: program name in log lines; borrowed
 * @log: stream for log lines, or NULL for none; borrowed
 *
 * Return: the context, owned by the caller (jr_drop_ctx()), or NULL when
 * there is no memory.
 */
jr_ctx_t *jr_new_ctx(const char *program, FILE *log);

/** jr_drop_ctx - flush the log and free a context; NULL is accepted */
void jr_drop_ctx(jr_ctx_t *ctx);

/** jr_alloc - allocate @n zeroed bytes; aborts when there is no memory */
void *jr_alloc(jr_ctx_t *ctx, size_t n);

/** jr_resize - like realloc(3); aborts when there is no memory */
void *jr_resize(jr_ctx_t *ctx, void *p, size_t n);

/** jr_free - free memory allocated with a context; NULL is accepted */
void jr_free(jr_ctx_t *ctx, void *p);

/** jr_strdup - a copy of @s, owned by the caller; NULL gives NULL */
char *jr_strdup(jr_ctx_t *ctx, const char *s);

/** jr_memdup - a copy of @n bytes, owned by the caller; NULL for n = 0 */
void *jr_memdup(jr_ctx_t *ctx, const void *p, size_t n);

/** jr_fail - store the details of a failure in @ctx; returns @code */
jr_result_t jr_fail(jr_ctx_t *ctx, jr_result_t code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/**
 * jr_log - write a log event
 *
 * @format is a list of key=value fields. A format without '=' is free text
 * and is written as the value of a field named text. Never blocks: lines
 * that can't be written at once are dropped and counted.
 */
void jr_log(jr_ctx_t *ctx, jr_event_t event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/**
 * jr_log_job - write a log event about a job
 * @job: its id; 0 for none, as jr_log()
 *
 * As jr_log(), but over budget whole jobs are left out, the same ones in all
 * processes and for all events: the lines about the others stay complete.
 */
void jr_log_job(jr_ctx_t *ctx, jr_event_t event, uint64_t job,
                const char *format, ...) __attribute__((format(printf, 4, 5)));

/** jr_log_flush - write the buffered lines, or drop and count them */
void jr_log_flush(jr_ctx_t *ctx);

/**
 * jr_log_value - make untrusted text safe as the value of a log field
 * @buf: receives the value, cut to fit; returned
 * @size: size of @buf, bytes
 *
 * Replaces all characters that could end the value or begin another field.
 */
const char *jr_log_value(char *buf, size_t size, const char *value);

/** jr_count - add one to a counter */
void jr_count(jr_ctx_t *ctx, jr_counter_t counter);

/** jr_observe - add an observation in milliseconds to a histogram */
void jr_observe(jr_ctx_t *ctx, jr_histogram_t histogram, int64_t ms);

/** jr_count_n - add @n to a counter */
void jr_count_n(jr_ctx_t *ctx, jr_counter_t counter, uint64_t n);

#endif
