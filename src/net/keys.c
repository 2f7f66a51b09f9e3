/* The key pair of a system in a file: public and secret key, one per line. */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "jayrelay/bus.h"

enum { SECRET_FILE_MODE = 0600, RAW_KEY_BYTES = 32 };

jr_result_t
jr_bus_keys_write(jr_ctx_t *ctx, const char *path)
{
    jr_bus_keys_t keys;
    char text[2 * JR_BUS_KEY_BYTES + 2];
    int fd;
    ssize_t n;

    if (zmq_curve_keypair(keys.public_key, keys.secret_key) != 0) {
        return jr_fail(ctx, JR_IO, "cannot generate a key pair: %s",
                       zmq_strerror(errno));
    }
    snprintf(text, sizeof text, "%s\n%s\n", keys.public_key, keys.secret_key);
    fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, SECRET_FILE_MODE);
    if (fd < 0) {
        return jr_fail(ctx, JR_IO, "cannot create key file %s: %s", path,
                       strerror(errno));
    }
    n = write(fd, text, strlen(text));
    if (close(fd) != 0 || n != (ssize_t)strlen(text)) {
        return jr_fail(ctx, JR_IO,
                       "%s: key file is not complete: wrote %zd of %zu bytes",
                       path, n, strlen(text));
    }
    return JR_OK;
}

static bool
is_key(const char *text)
{
    uint8_t raw[RAW_KEY_BYTES];

    return text != NULL && strlen(text) == JR_BUS_KEY_BYTES - 1 &&
           zmq_z85_decode(raw, text) != NULL;
}

jr_result_t
jr_bus_keys_read(jr_ctx_t *ctx, const char *path, jr_bus_keys_t *keys)
{
    char *text = NULL;
    char **lines;
    GError *error = NULL;
    bool ok;

    memset(keys, 0, sizeof *keys);
    if (*path == '\0') {
        return JR_OK;
    }
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        jr_fail(ctx, JR_SETTINGS, "cannot read key file: %s", error->message);
        g_error_free(error);
        return JR_SETTINGS;
    }
    lines = g_strsplit(text, "\n", -1);
    ok = g_strv_length(lines) >= 2 && is_key(lines[0]) && is_key(lines[1]);
    if (ok) {
        g_strlcpy(keys->public_key, lines[0], sizeof keys->public_key);
        g_strlcpy(keys->secret_key, lines[1], sizeof keys->secret_key);
    }
    else {
        jr_fail(ctx, JR_SETTINGS,
                "%s: lines 1 and 2 must be the public and the secret key, "
                "%d Z85 characters each",
                path, JR_BUS_KEY_BYTES - 1);
    }
    g_strfreev(lines);
    g_free(text);
    return ok ? JR_OK : JR_SETTINGS;
}
