/*
 * Store in files: snapshot-N and log-N, where N is the index of the snapshot
 * that the log starts from. The log with the largest N identifies the current
 * pair; all other files of these names are left from a crash and are removed.
 */
#include "store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "jayrelay/program.h"

enum { FILE_MODE = 0640, DIRECTORY_MODE = 0750 };

static bool
is_disk_full(int error)
{
    return error == ENOSPC || error == EDQUOT || error == EFBIG;
}

static jr_result_t
report_io_error(jr_store_t *store, const char *what, const char *path)
{
    int error = errno;

    store->as.file.is_failed = true;
    jr_log(store->ctx, JR_EV_DISK_FAILED, "cannot %s %s: %s", what, path,
           strerror(error));
    return jr_fail(store->ctx, is_disk_full(error) ? JR_DISK_FULL : JR_IO,
                   "cannot %s %s: %s", what, path, strerror(error));
}

static char *
make_path(jr_store_t *store, const char *kind, uint64_t index,
          const char *suffix)
{
    return g_strdup_printf("%s/%s-%020" G_GUINT64_FORMAT "%s",
                           store->as.file.directory, kind, index, suffix);
}

static jr_result_t
sync_directory(jr_store_t *store)
{
    const char *directory = store->as.file.directory;
    int fd = open(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    int failed;

    if (fd < 0) {
        return report_io_error(store, "open", directory);
    }
    failed = fsync(fd);
    close(fd);
    return failed ? report_io_error(store, "sync", directory) : JR_OK;
}

static bool
write_all(int fd, const uint8_t *bytes, size_t len)
{
    while (len > 0) {
        ssize_t n = write(fd, bytes, len);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        bytes += n;
        len -= (size_t)n;
    }
    return true;
}

/* Write and sync a temporary file, then rename it to its final name. */
static jr_result_t
write_file(jr_store_t *store, const char *kind, uint64_t index,
           const GByteArray *bytes)
{
    char *temporary = make_path(store, kind, index, ".tmp");
    char *path = make_path(store, kind, index, "");
    int fd =
        open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    jr_result_t result = JR_OK;

    if (fd < 0 || !write_all(fd, bytes->data, bytes->len) || fsync(fd) != 0 ||
        rename(temporary, path) != 0) {
        result = report_io_error(store, "write", temporary);
    }
    if (fd >= 0) {
        close(fd);
    }
    if (result == JR_OK) {
        result = sync_directory(store);
    }
    g_free(temporary);
    g_free(path);
    return result;
}

/* Is the name of the form kind-N? */
static bool
parse_name(const char *name, const char *kind, uint64_t *index)
{
    size_t len = strlen(kind);
    char *end;

    if (strncmp(name, kind, len) != 0 || name[len] != '-') {
        return false;
    }
    *index = strtoull(name + len + 1, &end, 10);
    return *end == '\0';
}

/* Find the largest N of the files kind-N. */
static jr_result_t
find_newest(jr_store_t *store, const char *kind, bool *found, uint64_t *newest)
{
    const char *directory = store->as.file.directory;
    DIR *dir = opendir(directory);
    jr_result_t result = JR_OK;
    struct dirent *file_entry;
    uint64_t index;

    *found = false;
    if (dir == NULL) {
        return report_io_error(store, "open", directory);
    }
    for (;;) {
        errno = 0;
        file_entry = readdir(dir);
        if (file_entry == NULL) {
            break;
        }
        if (parse_name(file_entry->d_name, kind, &index) &&
            (!*found || index > *newest)) {
            *newest = index;
            *found = true;
        }
    }
    if (errno != 0) {
        result = report_io_error(store, "list", directory);
    }
    closedir(dir);
    return result;
}

static bool
is_obsolete(const jr_file_store_t *file, const char *name)
{
    const char *dash = strchr(name, '-');
    char *end;
    uint64_t index;

    if (dash == NULL || (strncmp(name, "log-", 4) != 0 &&
                         strncmp(name, "snapshot-", 9) != 0)) {
        return false;
    }
    index = strtoull(dash + 1, &end, 10);
    return *end != '\0' || index != file->base;
}

static void
remove_obsolete_files(jr_store_t *store)
{
    DIR *dir = opendir(store->as.file.directory);
    struct dirent *file_entry;

    if (dir == NULL) {
        return;
    }
    while ((file_entry = readdir(dir)) != NULL) {
        if (is_obsolete(&store->as.file, file_entry->d_name)) {
            unlinkat(dirfd(dir), file_entry->d_name, 0);
        }
    }
    closedir(dir);
}

/* Write and sync bytes at the end of the log. */
static jr_result_t
append_to_log(jr_store_t *store, const GByteArray *bytes)
{
    jr_file_store_t *file = &store->as.file;

    if (file->fd < 0 || !write_all(file->fd, bytes->data, bytes->len) ||
        fdatasync(file->fd) != 0) {
        return report_io_error(store, "append to the log in", file->directory);
    }
    file->len += bytes->len;
    return JR_OK;
}

static jr_result_t
open_log(jr_store_t *store)
{
    jr_file_store_t *file = &store->as.file;
    char *path = make_path(store, "log", file->base, "");
    jr_result_t result = JR_OK;
    struct stat info;

    if (file->fd >= 0) {
        close(file->fd);
    }
    file->fd =
        open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (file->fd < 0 || fstat(file->fd, &info) != 0) {
        result = report_io_error(store, "open", path);
    }
    else {
        file->len = (uint64_t)info.st_size;
    }
    g_free(path);
    return result == JR_OK ? sync_directory(store) : result;
}

/*
 * Sync what is there: an earlier process may have ended between a write and
 * its sync. From then on the log says what was synced.
 */
static jr_result_t
sync_log(jr_store_t *store)
{
    jr_file_store_t *file = &store->as.file;
    GByteArray *bytes;
    jr_result_t result;

    if (fdatasync(file->fd) != 0) {
        return report_io_error(store, "sync the log in", file->directory);
    }
    bytes = g_byte_array_new();
    jr_record_append_synced(bytes, file->len);
    result = append_to_log(store, bytes);
    g_byte_array_unref(bytes);
    return result;
}

static jr_result_t
load_snapshot(jr_store_t *store, const jr_store_callbacks_t *callbacks)
{
    char *path = make_path(store, "snapshot", store->as.file.base, "");
    char *bytes = NULL;
    gsize len = 0;
    jr_result_t result = JR_OK;

    if (!g_file_get_contents(path, &bytes, &len, NULL) ||
        !jr_snapshot_read((const uint8_t *)bytes, len, callbacks)) {
        jr_log(store->ctx, JR_EV_DAMAGE,
               "%s: snapshot is unreadable or invalid, read %zu bytes", path,
               (size_t)len);
        result =
            jr_fail(store->ctx, JR_DAMAGED,
                    "%s: snapshot is unreadable or invalid, read %zu bytes",
                    path, (size_t)len);
    }
    g_free(bytes);
    g_free(path);
    return result;
}

static jr_result_t
truncate_tail(jr_store_t *store, const char *path, size_t valid_len,
              size_t len)
{
    jr_log(store->ctx, JR_EV_TORN_TAIL,
           "%s: truncated from %zu to %zu bytes; the rest was never synced",
           path, len, valid_len);
    jr_count(store->ctx, JR_C_LOG_TORN);
    if (truncate(path, (off_t)valid_len) != 0) {
        return report_io_error(store, "truncate", path);
    }
    return JR_OK;
}

static jr_result_t
report_read_error(jr_store_t *store, GError *error)
{
    jr_result_t result =
        jr_fail(store->ctx, JR_IO, "cannot read the log: %s", error->message);

    store->as.file.is_failed = true;
    jr_log(store->ctx, JR_EV_DISK_FAILED, "cannot read the log: %s",
           error->message);
    g_error_free(error);
    return result;
}

static jr_result_t
load_log(jr_store_t *store, const jr_store_callbacks_t *callbacks)
{
    char *path = make_path(store, "log", store->as.file.base, "");
    char *bytes = NULL;
    gsize len = 0;
    size_t valid_len;
    jr_result_t result = JR_OK;
    GError *error = NULL;

    if (!g_file_get_contents(path, &bytes, &len, &error)) {
        result = report_read_error(store, error);
        g_free(path);
        return result;
    }
    valid_len = jr_record_read((const uint8_t *)bytes, len, callbacks);
    if (valid_len < len &&
        jr_record_was_synced((const uint8_t *)bytes, len, valid_len)) {
        jr_log(store->ctx, JR_EV_DAMAGE,
               "%s: log is damaged: invalid record at byte %zu of %zu, "
               "which was synced",
               path, valid_len, (size_t)len);
        result =
            jr_fail(store->ctx, JR_DAMAGED,
                    "%s: log is damaged: invalid record at byte %zu of %zu, "
                    "which was synced",
                    path, valid_len, (size_t)len);
    }
    else if (valid_len < len) {
        result = truncate_tail(store, path, valid_len, len);
    }
    g_free(bytes);
    g_free(path);
    return result;
}

/* A new directory is durable only after its parent is synced. */
static bool
sync_parent(const char *directory)
{
    char *parent = g_path_get_dirname(directory);
    int fd = open(parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok = fd >= 0 && fsync(fd) == 0;

    if (fd >= 0) {
        close(fd);
    }
    g_free(parent);
    return ok;
}

jr_store_t *
jr_new_file_store(jr_ctx_t *ctx, const char *directory)
{
    jr_store_t *store;

    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0) {
        jr_fail(ctx, JR_IO, "cannot create directory %s: %s", directory,
                strerror(errno));
        return NULL;
    }
    if (!sync_parent(directory)) {
        jr_fail(ctx, JR_IO, "cannot sync parent directory of %s: %s",
                directory, strerror(errno));
        return NULL;
    }
    store = jr_alloc(ctx, sizeof *store);
    store->ctx = ctx;
    store->kind = JR_STORE_FILE;
    store->as.file.directory = jr_strdup(ctx, directory);
    store->as.file.fd = -1;
    store->as.file.pending = g_byte_array_new();
    return store;
}

bool
jr_file_store_is_empty(jr_store_t *store)
{
    uint64_t newest;
    bool has_log, has_snapshot;

    return find_newest(store, "log", &has_log, &newest) == JR_OK &&
           find_newest(store, "snapshot", &has_snapshot, &newest) == JR_OK &&
           !has_log && !has_snapshot;
}

/* A log is removed only when a newer one is durable. */
static jr_result_t
check_never_written(jr_store_t *store)
{
    uint64_t newest;
    bool found;
    jr_result_t result = find_newest(store, "snapshot", &found, &newest);

    if (result != JR_OK || !found) {
        return result;
    }
    jr_log(store->ctx, JR_EV_DAMAGE, "%s: there is a snapshot, but no log",
           store->as.file.directory);
    return jr_fail(store->ctx, JR_DAMAGED,
                   "%s: there is a snapshot, but no log",
                   store->as.file.directory);
}

static jr_result_t
load_files(jr_store_t *store, const jr_store_callbacks_t *callbacks)
{
    jr_file_store_t *file = &store->as.file;
    bool found;
    jr_result_t result = find_newest(store, "log", &found, &file->base);

    if (result == JR_OK && !found) {
        file->base = 0;
        return check_never_written(store);
    }
    if (result == JR_OK && file->base > 0) {
        result = load_snapshot(store, callbacks);
    }
    return result == JR_OK ? load_log(store, callbacks) : result;
}

jr_result_t
jr_file_store_load(jr_store_t *store, const jr_store_callbacks_t *callbacks)
{
    jr_result_t result = load_files(store, callbacks);

    if (result != JR_OK) {
        store->as.file.is_failed = true;
        return result;
    }
    result = open_log(store);
    if (result == JR_OK) {
        result = sync_log(store);
    }
    /* Their replacements are durable now. */
    if (result == JR_OK) {
        remove_obsolete_files(store);
    }
    return result;
}

jr_result_t
jr_file_store_sync(jr_store_t *store)
{
    jr_file_store_t *file = &store->as.file;
    int64_t started_at = jr_clock_ms();
    GByteArray *bytes = g_byte_array_new();
    jr_result_t result;

    jr_record_append_synced(bytes, file->len);
    g_byte_array_append(bytes, file->pending->data, file->pending->len);
    result = append_to_log(store, bytes);
    g_byte_array_unref(bytes);
    if (result == JR_OK) {
        g_byte_array_set_size(file->pending, 0);
        jr_observe(store->ctx, JR_H_LOG_SYNC, jr_clock_ms() - started_at);
    }
    return result;
}

jr_result_t
jr_file_store_snapshot(jr_store_t *store, const GByteArray *bytes,
                       uint64_t index, const GByteArray *log)
{
    jr_file_store_t *file = &store->as.file;
    jr_result_t result = write_file(store, "snapshot", index, bytes);

    if (result == JR_OK) {
        result = write_file(store, "log", index, log);
    }
    if (result != JR_OK) {
        return result;
    }
    g_byte_array_set_size(file->pending, 0);
    file->base = index;
    result = open_log(store);
    remove_obsolete_files(store);
    return result;
}

void
jr_file_store_close(jr_store_t *store)
{
    jr_file_store_t *file = &store->as.file;

    if (file->fd >= 0) {
        close(file->fd);
    }
    g_byte_array_unref(file->pending);
    jr_free(store->ctx, file->directory);
}
