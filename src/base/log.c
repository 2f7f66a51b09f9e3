/*
 * Structured log lines, limited in rate and written without blocking.
 *
 * Lines are buffered and written in chunks that a pipe takes in full or not
 * at all; a chunk that can't be written at once is dropped and its lines are
 * counted. Each event has a budget of lines per second, so that a flood of
 * one event does not hide the others. Errors and worse are exempt from it.
 */
#include <ctype.h>
#include <poll.h>
#include <string.h>
#include <sys/param.h>
#include <time.h>
#include <unistd.h>

#include "jayrelay/ctx.h"

enum {
    LINES_PER_S = 300, /* budget of one event */
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
    if (suppressed > 0) {
        snprintf(text, sizeof text, "lines=%llu",
                 (unsigned long long)suppressed);
        append_line(ctx, JR_EV_LOG_LINES_DROPPED, text, false);
    }
}

void
jr_log(jr_ctx_t *ctx, jr_event_t event, const char *format, ...)
{
    jr_log_state_t *state = &ctx->log_state;
    int severity = jr_event_severity(event);
    char text[TEXT_BYTES];
    va_list args;

    if (ctx->log == NULL || severity > ctx->log_level) {
        return;
    }
    renew_budgets(ctx);
    if (++state->counts[jr_event_index(event)] > LINES_PER_S &&
        severity >= SEVERITY_WARNING) {
        state->suppressed++;
        jr_count(ctx, JR_C_LOG_LINES_LOST);
        return;
    }
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    make_printable(text);
    append_line(ctx, event, text, strchr(format, '=') == NULL);
    if (severity <= SEVERITY_WARNING || !ctx->log_is_buffered) {
        jr_log_flush(ctx);
    }
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
