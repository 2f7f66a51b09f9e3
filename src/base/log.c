/*
 * Structured log lines, limited in rate and written without blocking.
 *
 * Lines are buffered and written in chunks that a pipe takes in full or not
 * at all; a chunk that can't be written at once is dropped and its lines are
 * counted. Each event has a budget of lines per second, so that a flood of
 * one event does not hide the others. Errors and worse are exempt from it.
 * Lines about jobs have a budget together, and over it the lines of some jobs
 * are all left out: one line of each job would tell nothing about any.
 */
#include <ctype.h>
#include <poll.h>
#include <string.h>
#include <sys/param.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "jayrelay/ctx.h"

enum {
    LINES_PER_S = 300,     /* budget of one event */
    JOB_LINES_PER_S = 600, /* budget of all lines about jobs */
    JOB_BITS_MAX = 16,
    SEVERITY_WARNING = 4,
    TEXT_BYTES = 2 * JR_ERROR_TEXT_BYTES,
    STAMP_BYTES = 32,
    PREFIX_BYTES = 192,
};

static const char *const levels[] = {
    "emergency", "alert",  "critical", "error",
    "warning",   "notice", "info",     "debug",
};

static int64_t
second_now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec;
}

/* Whether a write of up to JR_LOG_BUFFER_BYTES would not block. */
static bool
is_writable(int fd)
{
    struct pollfd pfd = {.fd = fd, .events = POLLOUT};

    return poll(&pfd, 1, 0) == 1 && (pfd.revents & POLLOUT) != 0;
}

void
jr_log_flush(jr_ctx_t *ctx)
{
    jr_log_state_t *state = &ctx->log_state;

    if (state->used == 0 || ctx->log == NULL) {
        return;
    }
    if (!is_writable(fileno(ctx->log)) ||
        write(fileno(ctx->log), state->buffer, state->used) !=
            (ssize_t)state->used) {
        jr_count_n(ctx, JR_C_LOG_LINES_LOST, state->lines);
    }
    state->used = 0;
    state->lines = 0;
}

static size_t
write_prefix(const jr_ctx_t *ctx, jr_event_t event, char *prefix)
{
    char stamp[STAMP_BYTES];
    struct timespec now;
    struct tm tm;
    int n;

    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &tm);
    strftime(stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
    n = snprintf(prefix, PREFIX_BYTES,
                 "time=%s.%03ldZ level=%s program=%s pid=%ld event=%d "
                 "name=%s ",
                 stamp, now.tv_nsec / 1000000,
                 levels[jr_event_severity(event)], ctx->program,
                 (long)getpid(), (int)event, jr_event_name(event));
    return MIN((size_t)n, PREFIX_BYTES - 1);
}

/* Replaces control characters, so that a text can't begin a new line. */
static void
make_printable(char *text)
{
    for (; *text != '\0'; text++) {
        if (!isprint((unsigned char)*text)) {
            *text = '?';
        }
    }
}

static void
append_line(jr_ctx_t *ctx, jr_event_t event, const char *text,
            bool is_free_text)
{
    jr_log_state_t *state = &ctx->log_state;
    char line[PREFIX_BYTES + TEXT_BYTES + sizeof "text=\"\"\n"];
    size_t len = write_prefix(ctx, event, line);

    len += (size_t)snprintf(line + len, sizeof line - len,
                            is_free_text ? "text=\"%s\"\n" : "%s\n", text);
    if (state->used + len > sizeof state->buffer) {
        jr_log_flush(ctx);
    }
    memcpy(state->buffer + state->used, line, len);
    state->used += len;
    state->lines++;
}

/* Log more jobs once the lines of twice as many would be within the budget. */
static void
renew_job_budget(jr_log_state_t *state)
{
    uint64_t fewer = (uint64_t)JOB_LINES_PER_S << state->job_bits;

    if (state->job_bits > 0 && state->job_lines < fewer / 2) {
        state->job_bits--;
    }
    state->job_lines = 0;
    state->job_lines_kept = 0;
}

static void
renew_budgets(jr_ctx_t *ctx)
{
    jr_log_state_t *state = &ctx->log_state;
    int64_t second = second_now();
    uint64_t suppressed = state->suppressed;
    char text[64];

    if (second == state->second) {
        return;
    }
    state->second = second;
    state->suppressed = 0;
    memset(state->counts, 0, sizeof state->counts);
    renew_job_budget(state);
    if (suppressed > 0) {
        snprintf(text, sizeof text, "lines=%llu jobs_logged=1/%u",
                 (unsigned long long)suppressed, 1U << state->job_bits);
        append_line(ctx, JR_EV_LOG_LINES_DROPPED, text, false);
    }
}

static void
write_line(jr_ctx_t *ctx, jr_event_t event, const char *format, va_list args)
{
    char text[TEXT_BYTES];

    vsnprintf(text, sizeof text, format, args);
    make_printable(text);
    append_line(ctx, event, text, strchr(format, '=') == NULL);
    if (jr_event_severity(event) <= SEVERITY_WARNING ||
        !ctx->log_is_buffered) {
        jr_log_flush(ctx);
    }
}

static void
leave_out(jr_ctx_t *ctx)
{
    ctx->log_state.suppressed++;
    jr_count(ctx, JR_C_LOG_LINES_LOST);
}

static bool
is_within_budget(jr_ctx_t *ctx, jr_event_t event)
{
    return ++ctx->log_state.counts[jr_event_index(event)] <= LINES_PER_S ||
           jr_event_severity(event) < SEVERITY_WARNING;
}

void
jr_log(jr_ctx_t *ctx, jr_event_t event, const char *format, ...)
{
    va_list args;

    if (ctx->log == NULL || jr_event_severity(event) > ctx->log_level) {
        return;
    }
    renew_budgets(ctx);
    if (!is_within_budget(ctx, event)) {
        leave_out(ctx);
        return;
    }
    va_start(args, format);
    write_line(ctx, event, format, args);
    va_end(args);
}

/* With one bit more, half of the same jobs are still logged. */
static bool
is_job_logged(jr_log_state_t *state, uint64_t job)
{
    uint32_t mask;

    state->job_lines++;
    if (state->job_lines_kept >= JOB_LINES_PER_S &&
        state->job_bits < JOB_BITS_MAX) {
        state->job_bits++;
        state->job_lines_kept /= 2;
    }
    mask = (1U << state->job_bits) - 1;
    if ((XXH32(&job, sizeof job, 0) & mask) != 0) {
        return false;
    }
    state->job_lines_kept++;
    return true;
}

void
jr_log_job(jr_ctx_t *ctx, jr_event_t event, uint64_t job, const char *format,
           ...)
{
    va_list args;

    if (ctx->log == NULL || jr_event_severity(event) > ctx->log_level) {
        return;
    }
    renew_budgets(ctx);
    if (job != 0 ? !is_job_logged(&ctx->log_state, job)
                 : !is_within_budget(ctx, event)) {
        leave_out(ctx);
        return;
    }
    va_start(args, format);
    write_line(ctx, event, format, args);
    va_end(args);
}

const char *
jr_log_value(char *buf, size_t size, const char *value)
{
    size_t n = 0;

    for (; *value != '\0' && n + 2 < size; value++) {
        unsigned char c = (unsigned char)*value;

        buf[n++] = isgraph(c) && c != '"' && c != '=' ? (char)c : '?';
    }
    buf[n] = '\0';
    return buf;
}
