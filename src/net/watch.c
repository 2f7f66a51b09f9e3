/* Reloads the settings file of a running process. */
#include "jayrelay/watch.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

static const double POLL_INTERVAL_S = 1.0;

struct jr_watch {
    jr_ctx_t *ctx;
    struct ev_loop *loop;
    char *path;
    char *text; /* contents when last polled */
    jr_settings_kind_t kind;
    jr_watch_handler_t *handler;
    void *user;
    ev_timer poll_timer;
    ev_signal hup;
};

static void
reload(jr_watch_t *watch)
{
    jr_setting_errors_t errors;
    jr_settings_t settings;

    if (jr_settings_read(watch->ctx, watch->path, watch->kind, &settings,
                         &errors) != JR_OK) {
        jr_log(watch->ctx, JR_EV_RELOADED, "errors=%zu first=\"%s\"", errors.n,
               errors.texts[0]);
        return;
    }
    watch->handler(watch->user, &settings);
    jr_log(watch->ctx, JR_EV_RELOADED, "errors=0 controls=%lld",
           (long long)settings.n_controls);
}

static void
on_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
    jr_watch_t *watch = timer->data;
    char *text = NULL;

    (void)loop;
    (void)events;
    if (!g_file_get_contents(watch->path, &text, NULL, NULL)) {
        return; /* the file may be in the middle of a replacement */
    }
    if (watch->text != NULL && strcmp(text, watch->text) != 0) {
        reload(watch);
    }
    g_free(watch->text);
    watch->text = text;
}

static void
on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    reload(signal->data);
}

jr_watch_t *
jr_new_watch(jr_ctx_t *ctx, struct ev_loop *loop, const char *path,
             jr_settings_kind_t kind, jr_watch_handler_t *handler, void *user)
{
    jr_watch_t *watch = jr_alloc(ctx, sizeof *watch);

    watch->ctx = ctx;
    watch->loop = loop;
    watch->path = jr_strdup(ctx, path);
    watch->kind = kind;
    watch->handler = handler;
    watch->user = user;
    ev_timer_init(&watch->poll_timer, on_poll, 0.0, POLL_INTERVAL_S);
    watch->poll_timer.data = watch;
    ev_timer_start(loop, &watch->poll_timer);
    ev_signal_init(&watch->hup, on_hup, SIGHUP);
    watch->hup.data = watch;
    ev_signal_start(loop, &watch->hup);
    return watch;
}

void
jr_drop_watch(jr_watch_t *watch)
{
    if (watch == NULL) {
        return;
    }
    ev_timer_stop(watch->loop, &watch->poll_timer);
    ev_signal_stop(watch->loop, &watch->hup);
    g_free(watch->text);
    jr_free(watch->ctx, watch->path);
    jr_free(watch->ctx, watch);
}
