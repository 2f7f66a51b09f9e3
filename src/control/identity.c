/* The replica id, the data folder and the initial members of groups. */
#include "control.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>
#include <xxhash.h>

enum { ID_TEXT_BYTES = 32 };

static char *
id_path(const jr_control_t *control)
{
    return g_build_filename(control->settings.data, "replica", NULL);
}

/* Durable: g_file_set_contents_full() syncs the file and its directory. */
static jr_result_t
write_id(jr_control_t *control, uint64_t id)
{
    char *path = id_path(control);
    char text[ID_TEXT_BYTES];
    GError *error = NULL;
    jr_result_t result = JR_OK;

    snprintf(text, sizeof text, "%016llx\n", (unsigned long long)id);
    if (g_mkdir_with_parents(control->settings.data, 0750) != 0) {
        result =
            jr_fail(control->ctx, JR_IO, "cannot create data folder %s: %s",
                    control->settings.data, strerror(errno));
    }
    else if (!g_file_set_contents_full(path, text, -1,
                                       G_FILE_SET_CONTENTS_CONSISTENT |
                                           G_FILE_SET_CONTENTS_DURABLE,
                                       0640, &error)) {
        result =
            jr_fail(control->ctx, JR_IO, "cannot write replica id %016llx: %s",
                    (unsigned long long)id, error->message);
        g_error_free(error);
    }
    control->replica_id = id;
    g_free(path);
    return result;
}

/* Initial members must know each other's ids, so these follow from names. */
static uint64_t
initial_replica_id(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* Is this the first start of a job process that is listed in the seeds? */
static bool
is_first_member(const jr_control_t *control)
{
    const jr_settings_t *s = &control->settings;

    for (int64_t i = 0; i < s->n_controls; i++) {
        if (strcmp(s->controls[i].name, s->name) == 0) {
            return s->jobs && s->first_start;
        }
    }
    return false;
}

/*
 * The disk is new, or was lost with the votes and entries that it held. A
 * replica without them must not vote under its old id, so it joins its groups
 * as a new member.
 */
static jr_result_t
create_id(jr_control_t *control)
{
    uint64_t id = 0;

    if (is_first_member(control)) {
        return write_id(control, initial_replica_id(control->settings.name));
    }
    if (getrandom(&id, sizeof id, 0) != sizeof id) {
        return jr_fail(control->ctx, JR_IO,
                       "cannot create a replica id: getrandom() did not "
                       "return %zu bytes: %s",
                       sizeof id, strerror(errno));
    }
    control->is_new_replica = true;
    return write_id(control, id | 1);
}

static jr_result_t
parse_id(jr_control_t *control, const char *path, const char *text)
{
    control->replica_id = strtoull(text, NULL, 16);
    if (control->replica_id != 0) {
        return JR_OK;
    }
    return jr_fail(control->ctx, JR_DAMAGED,
                   "%s: invalid replica id '%.40s'; expected a non-zero "
                   "hexadecimal number",
                   path, text);
}

jr_result_t
jr_control_load_replica_id(jr_control_t *control)
{
    char *path = id_path(control);
    char *text = NULL;
    GError *error = NULL;
    jr_result_t result;

    if (g_file_get_contents(path, &text, NULL, &error)) {
        result = parse_id(control, path, text);
    }
    else if (g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
        result = create_id(control);
    }
    else {
        result = jr_fail(control->ctx, JR_IO, "cannot read the replica id: %s",
                         error->message);
    }
    g_clear_error(&error);
    g_free(text);
    g_free(path);
    return result;
}

jr_store_t *
jr_control_open_store(jr_control_t *control, size_t group)
{
    char *folder =
        g_strdup_printf("%s/group-%zu", control->settings.data, group);
    jr_store_t *store = jr_new_file_store(control->ctx, folder);

    g_free(folder);
    return store;
}

/* The initial members of the job group are the processes in the seeds. */
static size_t
seed_hosts(const jr_settings_t *settings, size_t hosts[JR_REPLICAS_MAX])
{
    size_t n = 0;

    for (int64_t i = 0; i < settings->n_controls && n < JR_REPLICAS_MAX; i++) {
        hosts[n++] = (size_t)i;
    }
    return n;
}

static void
initial_members(const jr_settings_t *settings, size_t group,
                jr_config_t *config)
{
    size_t hosts[JR_REPLICAS_MAX];
    size_t n = settings->jobs ? seed_hosts(settings, hosts)
                              : jr_settings_hosts(settings, group, hosts);

    memset(config, 0, sizeof *config);
    for (size_t i = 0; i < n; i++) {
        const jr_process_t *host = &settings->controls[hosts[i]];
        jr_member_t *member = &config->members[config->n++];

        member->id = initial_replica_id(host->name);
        member->voter = true;
        g_strlcpy(member->name, host->name, sizeof member->name);
        g_strlcpy(member->address, host->bus, sizeof member->address);
    }
}

bool
jr_control_hosts(const jr_control_t *control, size_t group)
{
    const jr_settings_t *settings = &control->settings;
    size_t hosts[JR_REPLICAS_MAX];
    size_t n = settings->jobs ? 0 : jr_settings_hosts(settings, group, hosts);

    if (settings->jobs) {
        return true;
    }

    for (size_t i = 0; i < n; i++) {
        if (strcmp(settings->controls[hosts[i]].name, settings->name) == 0) {
            return true;
        }
    }
    return false;
}

static jr_result_t
init_group(jr_control_t *control, size_t group, const jr_config_t *members)
{
    jr_store_t *store = jr_control_open_store(control, group);
    jr_store_callbacks_t none = {0};
    jr_result_t result;

    if (store == NULL) {
        return control->ctx->error.code;
    }
    if (!jr_store_is_empty(store)) {
        result = jr_fail(control->ctx, JR_WRONG_STATE,
                         "data folder %s already contains a log of group "
                         "%zu; expected an empty folder",
                         control->settings.data, group);
    }
    else {
        result = jr_store_load(store, &none);
    }
    if (result == JR_OK) {
        result = jr_group_init(control->ctx, store, members);
    }
    jr_drop_store(store);
    return result;
}

jr_result_t
jr_control_init_jobs(jr_control_t *control)
{
    jr_store_t *store;
    jr_config_t members;
    bool is_empty;

    if (!is_first_member(control) ||
        control->replica_id != initial_replica_id(control->settings.name)) {
        return JR_OK;
    }
    store = jr_control_open_store(control, 0);
    if (store == NULL) {
        return control->ctx->error.code;
    }
    is_empty = jr_store_is_empty(store);
    jr_drop_store(store);
    if (!is_empty) {
        return JR_OK;
    }
    initial_members(&control->settings, 0, &members);
    return init_group(control, 0, &members);
}

jr_result_t
jr_control_init(jr_control_t *control)
{
    jr_config_t members;
    jr_result_t result = JR_OK;

    for (size_t g = 0; g < control->n_groups && result == JR_OK; g++) {
        if (jr_control_hosts(control, g)) {
            initial_members(&control->settings, g, &members);
            result = init_group(control, g, &members);
        }
    }
    return result == JR_OK
               ? write_id(control, initial_replica_id(control->settings.name))
               : result;
}
