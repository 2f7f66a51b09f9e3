/* Command line, clocks and key hashing of the daemons. */
#include "jayrelay/program.h"

#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <xxhash.h>

enum {
    BYTES_PER_MB = 1024 * 1024,
    FILES_PER_CONNECTION = 2,     /* half are for workers, the bus and files */
    OWN_PAGES_BYTES = 128 * 1024, /* allocations with pages of their own */
};

static int64_t
clock_us(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
jr_clock_us(void)
{
    return clock_us(CLOCK_BOOTTIME);
}

int64_t
jr_clock_ms(void)
{
    return clock_us(CLOCK_BOOTTIME) / 1000;
}

int64_t
jr_wall_ms(void)
{
    return clock_us(CLOCK_REALTIME) / 1000;
}

uint32_t
jr_group_of(const char *key, int64_t groups)
{
    return 1 + (uint32_t)(XXH64(key, strlen(key), 0) % (uint64_t)groups);
}

/*
 * Large bodies get pages of their own, which go back to the system once they
 * are freed. Without it, the threshold would grow with the bodies freed.
 */
static void
set_memory(jr_ctx_t *ctx, const jr_settings_t *settings)
{
    struct rlimit files;

    jr_inbound_init(&ctx->inbound,
                    (size_t)settings->request_memory_mb * BYTES_PER_MB);
    if (settings->connections > 0) {
        jr_inbound_limit(&ctx->inbound, (size_t)settings->connections);
    }
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        jr_inbound_limit(&ctx->inbound, files.rlim_cur / FILES_PER_CONNECTION);
    }
#ifdef M_MMAP_THRESHOLD
    mallopt(M_MMAP_THRESHOLD, OWN_PAGES_BYTES);
#endif
}

static int
check_settings(jr_ctx_t *ctx, const jr_program_t *program, const char *path,
               bool only_check, jr_settings_t *settings)
{
    jr_setting_errors_t errors;
    jr_result_t result =
        jr_settings_read(ctx, path, program->kind, settings, &errors);

    for (size_t i = 0; i < errors.n; i++) {
        fprintf(stderr, "%s: %s: %s\n", program->name, path, errors.texts[i]);
    }
    if (result != JR_OK) {
        return jr_result_exit(result);
    }
    if (only_check) {
        printf("%s: %s: settings are valid\n", program->name, path);
        return 0;
    }
    set_memory(ctx, settings);
    return -1;
}

int
jr_program_start(jr_ctx_t *ctx, jr_program_t *program, int argc, char **argv,
                 jr_settings_t *settings)
{
    gchar *path = NULL;
    gboolean check = FALSE;
    gboolean version = FALSE;
    gboolean init = FALSE;
    gboolean verbose = FALSE;
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "Settings in YAML",
         "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &check,
         "Check the settings and exit", NULL},
        {"verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose, "Log more", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version,
         "Print the version and exit", NULL},
        {"init", 0, program->has_init ? 0 : G_OPTION_FLAG_HIDDEN,
         G_OPTION_ARG_NONE, &init,
         "Create the data folder of a first member and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *options = g_option_context_new(NULL);
    GError *error = NULL;
    int status = -1;

    g_option_context_set_summary(options, program->summary);
    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, &error)) {
        fprintf(stderr, "%s: %s\n", program->name, error->message);
        g_error_free(error);
        status = jr_result_exit(JR_USAGE);
    }
    else if (version) {
        printf("%s %s\n", program->name, JR_VERSION);
        status = 0;
    }
    else if (path == NULL || argc > 1) {
        fprintf(stderr,
                "%s: expected --settings FILE and no further arguments, got "
                "%.100s; see --help\n",
                program->name, argc > 1 ? argv[1] : "no --settings");
        status = jr_result_exit(JR_USAGE);
    }
    else {
        status = check_settings(ctx, program, path, check, settings);
    }
    program->init = program->has_init && init;
    if (verbose) {
        ctx->log_level = 7;
    }
    g_option_context_free(options);
    program->settings_path = path;
    return status;
}
