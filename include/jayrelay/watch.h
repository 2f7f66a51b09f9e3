/**
 * DOC: watch - settings that change while a process runs
 *
 * The file is read again on SIGHUP and whenever a poll, once a second, finds
 * that its contents have changed. Invalid settings are logged and ignored.
 */
#ifndef JAYRELAY_WATCH_H
#define JAYRELAY_WATCH_H

#include <ev.h>

#include "jayrelay/settings.h"

typedef struct jr_watch jr_watch_t;

/** jr_watch_handler_t - apply valid settings that were read again; borrowed */
typedef void jr_watch_handler_t(void *user, const jr_settings_t *settings);

/** jr_new_watch - watch a settings file; copies @path */
jr_watch_t *jr_new_watch(jr_ctx_t *ctx, struct ev_loop *loop, const char *path,
                         jr_settings_kind_t kind, jr_watch_handler_t *handler,
                         void *user);

/** jr_drop_watch - stop watching; NULL is accepted */
void jr_drop_watch(jr_watch_t *watch);

#endif
