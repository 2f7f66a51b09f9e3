/* The context: memory, failures, counters and histograms. */
#include "jayrelay/ctx.h"

#include <stdlib.h>
#include <string.h>

enum { SEVERITY_INFO = 6, BYTES_PER_MB = 1024 * 1024 };

static void *
libc_resize(void *user, void *p, size_t n)
{
    (void)user;
    if (n == 0) {
        free(p);
        return NULL;
    }
    return realloc(p, n);
}

jr_ctx_t *
jr_new_ctx(const char *program, FILE *log)
{
    jr_ctx_t *ctx = calloc(1, sizeof *ctx);

    if (ctx == NULL) {
        return NULL;
    }
    ctx->allocator.resize = libc_resize;
    ctx->program = program;
    ctx->log = log;
    ctx->log_level = SEVERITY_INFO;
    jr_inbound_init(&ctx->inbound,
                    (size_t)JR_INBOUND_STANDARD_MB * BYTES_PER_MB);
    return ctx;
}

void
jr_drop_ctx(jr_ctx_t *ctx)
{
    if (ctx != NULL) {
        jr_log_flush(ctx);
    }
    free(ctx);
}

void *
jr_resize(jr_ctx_t *ctx, void *p, size_t n)
{
    void *q = ctx->allocator.resize(ctx->allocator.user, p, n);

    if (q == NULL && n > 0) {
        jr_log(ctx, JR_EV_FATAL, "out of memory: failed to allocate %zu bytes",
               n);
        abort();
    }
    return q;
}

void *
jr_alloc(jr_ctx_t *ctx, size_t n)
{
    void *p = jr_resize(ctx, NULL, n > 0 ? n : 1);

    memset(p, 0, n);
    return p;
}

void
jr_free(jr_ctx_t *ctx, void *p)
{
    if (p != NULL) {
        ctx->allocator.resize(ctx->allocator.user, p, 0);
    }
}

void *
jr_memdup(jr_ctx_t *ctx, const void *p, size_t n)
{
    if (n == 0) {
        return NULL;
    }
    return memcpy(jr_resize(ctx, NULL, n), p, n);
}

char *
jr_strdup(jr_ctx_t *ctx, const char *s)
{
    return s != NULL ? jr_memdup(ctx, s, strlen(s) + 1) : NULL;
}

jr_result_t
jr_fail(jr_ctx_t *ctx, jr_result_t code, const char *format, ...)
{
    va_list args;

    ctx->error.code = code;
    va_start(args, format);
    vsnprintf(ctx->error.text, sizeof ctx->error.text, format, args);
    va_end(args);
    return code;
}

void
jr_count(jr_ctx_t *ctx, jr_counter_t counter)
{
    ctx->counters[counter]++;
}

void
jr_count_n(jr_ctx_t *ctx, jr_counter_t counter, uint64_t n)
{
    ctx->counters[counter] += n;
}

void
jr_observe(jr_ctx_t *ctx, jr_histogram_t histogram, int64_t ms)
{
    jr_histogram_add(&ctx->histograms[histogram], ms);
}
