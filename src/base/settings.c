/*
 * Settings, parsed with libyaml, whose document nodes carry line numbers.
 * libcyaml is not used because it stops at the first error, while all errors
 * are to be reported at once.
 */
#include "jayrelay/settings.h"

#include <errno.h>
#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <yaml.h>

#include "jayrelay/address.h"
#include "settings_keys.h"

typedef struct {
    jr_ctx_t *ctx;
    yaml_document_t document;
    jr_settings_kind_t kind;
    jr_settings_t *settings;
    jr_setting_errors_t *errors;
} reader_t;

static void __attribute__((format(printf, 3, 4)))
add_error(reader_t *r, const yaml_node_t *node, const char *format, ...)
{
    char text[160];
    size_t line = node != NULL ? node->start_mark.line + 1 : 1;
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (r->errors->n == 0) {
        jr_fail(r->ctx, JR_SETTINGS, "line %zu: %s", line, text);
    }
    if (r->errors->n < JR_SETTING_ERRORS_MAX) {
        snprintf(r->errors->texts[r->errors->n++], sizeof r->errors->texts[0],
                 "line %zu: %.140s", line, text);
    }
}

static const char *
scalar(const yaml_node_t *node)
{
    return node->type == YAML_SCALAR_NODE
               ? (const char *)node->data.scalar.value
               : NULL;
}

static void
read_text(reader_t *r, const char *key, const yaml_node_t *node,
          jr_value_kind_t kind, char *to)
{
    const char *text = scalar(node);
    size_t size = kind == JR_VALUE_PATH ? JR_PATH_BYTES : JR_SETTING_BYTES;
    struct sockaddr_in address;

    if (text == NULL || *text == '\0' || strlen(text) >= size) {
        add_error(
            r, node,
            "'%s' must be a text of 1 to %zu characters, got %zu: '%.40s'",
            key, size - 1, text != NULL ? strlen(text) : 0,
            text != NULL ? text : "(list or mapping)");
        return;
    }
    if (kind == JR_VALUE_ADDRESS && !jr_address_parse(text, &address)) {
        add_error(r, node,
                  "'%s' must be an IP number and a port, such as "
                  "10.0.0.1:7000, got '%.40s'",
                  key, text);
        return;
    }
    g_strlcpy(to, text, size);
}

static void
read_number(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    int64_t *to = (int64_t *)((char *)r->settings + spec->offset);
    const char *text = scalar(node);
    char *end = NULL;
    long long value;

    errno = 0;
    value = text != NULL ? strtoll(text, &end, 10) : 0;
    if (text == NULL || end == text || *end != '\0' || errno != 0 ||
        value < spec->min || value > spec->max) {
        add_error(r, node,
                  "'%s' must be a whole number from %lld to %lld, got '%.40s'",
                  spec->key, (long long)spec->min, (long long)spec->max,
                  text != NULL ? text : "(list or mapping)");
        return;
    }
    *to = value;
}

/* Reads a decimal number such as 1.5, which is stored as 1500. */
static void
read_ratio(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    int64_t *to = (int64_t *)((char *)r->settings + spec->offset);
    const char *text = scalar(node);
    char *end = NULL;
    double value = text != NULL ? g_ascii_strtod(text, &end) * 1000.0 : 0.0;

    if (text == NULL || end == text || *end != '\0' ||
        !(value >= (double)spec->min && value <= (double)spec->max)) {
        add_error(r, node, "'%s' must be a number from %g to %g, got '%.40s'",
                  spec->key, (double)spec->min / 1000.0,
                  (double)spec->max / 1000.0,
                  text != NULL ? text : "(list or mapping)");
        return;
    }
    *to = (int64_t)value;
}

static void
read_bool(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    bool *to = (bool *)((char *)r->settings + spec->offset);
    const char *text = scalar(node);

    if (g_strcmp0(text, "true") != 0 && g_strcmp0(text, "false") != 0) {
        add_error(r, node, "'%s' must be true or false, got '%.40s'",
                  spec->key, text != NULL ? text : "(list or mapping)");
        return;
    }
    *to = strcmp(text, "true") == 0;
}

static void
read_process(reader_t *r, const yaml_node_t *node, jr_process_t *to)
{
    static const struct {
        const char *key;
        jr_value_kind_t kind;
        size_t offset;
    } fields[] = {
        {"name", JR_VALUE_TEXT, offsetof(jr_process_t, name)},
        {"zone", JR_VALUE_TEXT, offsetof(jr_process_t, zone)},
        {"bus", JR_VALUE_ADDRESS, offsetof(jr_process_t, bus)},
        {"http", JR_VALUE_ADDRESS, offsetof(jr_process_t, http)},
    };
    yaml_node_pair_t *pair;

    if (node->type != YAML_MAPPING_NODE) {
        add_error(
            r, node,
            "a process must be written as "
            "{name: N, zone: Z, bus: IP:PORT, http: IP:PORT}, got '%.40s'",
            scalar(node) != NULL ? scalar(node) : "(list)");
        return;
    }
    for (pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++) {
        yaml_node_t *key = yaml_document_get_node(&r->document, pair->key);
        yaml_node_t *value = yaml_document_get_node(&r->document, pair->value);
        const char *name = scalar(key);
        size_t i = 0;

        while (i < G_N_ELEMENTS(fields) &&
               g_strcmp0(name, fields[i].key) != 0) {
            i++;
        }
        if (i == G_N_ELEMENTS(fields)) {
            add_error(r, key,
                      "'%.40s' is not a key of a process; expected 'name', "
                      "'zone', 'bus' or 'http'",
                      name != NULL ? name : "(list or mapping)");
            continue;
        }
        read_text(r, fields[i].key, value, fields[i].kind,
                  (char *)to + fields[i].offset);
    }
    if (*to->name == '\0' || *to->zone == '\0' || *to->bus == '\0') {
        add_error(r, node,
                  "a process must have 'name', 'zone' and 'bus'; got name "
                  "'%.15s', zone '%.15s' and bus '%.21s'",
                  to->name, to->zone, to->bus);
    }
}

static void
read_processes(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    jr_process_t *to = (jr_process_t *)((char *)r->settings + spec->offset);
    int64_t *n = (int64_t *)((char *)r->settings + spec->count_offset);
    yaml_node_item_t *item;

    if (node->type != YAML_SEQUENCE_NODE) {
        add_error(r, node, "'%s' must be a list, got '%.40s'", spec->key,
                  scalar(node) != NULL ? scalar(node) : "(mapping)");
        return;
    }
    for (item = node->data.sequence.items.start;
         item < node->data.sequence.items.top; item++) {
        yaml_node_t *element = yaml_document_get_node(&r->document, *item);

        if (*n == spec->max) {
            add_error(r, element, "'%s' has more than %lld elements: %lld",
                      spec->key, (long long)spec->max,
                      (long long)(node->data.sequence.items.top -
                                  node->data.sequence.items.start));
            return;
        }
        read_process(r, element, &to[(*n)++]);
    }
    for (int64_t i = 0; i < *n; i++) {
        for (int64_t k = 0; k < i; k++) {
            if (strcmp(to[i].name, to[k].name) == 0) {
                add_error(r, node, "'%s' names '%s' twice", spec->key,
                          to[i].name);
            }
        }
    }
}

static void
read_seeds(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    jr_process_t *to = (jr_process_t *)((char *)r->settings + spec->offset);
    int64_t *n = (int64_t *)((char *)r->settings + spec->count_offset);
    yaml_node_item_t *item;

    if (node->type != YAML_SEQUENCE_NODE || *n > 0) {
        add_error(r, node,
                  "'%s' must be a list and must not be given with 'controls'; "
                  "got '%.20s' and %lld controls",
                  spec->key,
                  scalar(node) != NULL ? scalar(node) : "(list or mapping)",
                  (long long)*n);
        return;
    }
    for (item = node->data.sequence.items.start;
         item < node->data.sequence.items.top; item++) {
        yaml_node_t *element = yaml_document_get_node(&r->document, *item);

        if (*n == spec->max) {
            add_error(r, element, "'%s' has more than %lld elements: %lld",
                      spec->key, (long long)spec->max,
                      (long long)(node->data.sequence.items.top -
                                  node->data.sequence.items.start));
            return;
        }
        read_text(r, spec->key, element, JR_VALUE_ADDRESS, to[*n].http);
        (*n)++;
    }
}

static void
read_names(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    char(*to)[JR_SETTING_BYTES] =
        (char(*)[JR_SETTING_BYTES])((char *)r->settings + spec->offset);
    int64_t *n = (int64_t *)((char *)r->settings + spec->count_offset);
    yaml_node_item_t *item;

    if (node->type != YAML_SEQUENCE_NODE ||
        node->data.sequence.items.top - node->data.sequence.items.start >
            spec->max) {
        add_error(r, node, "'%s' must be a list of at most %lld names",
                  spec->key, (long long)spec->max);
        return;
    }
    for (item = node->data.sequence.items.start;
         item < node->data.sequence.items.top; item++) {
        yaml_node_t *element = yaml_document_get_node(&r->document, *item);

        read_text(r, spec->key, element, JR_VALUE_TEXT, to[(*n)++]);
    }
}

/*
 * Completes control processes that are known by their HTTP address only: all
 * control processes use the same bus port, and their bus address as name.
 */
static void
complete_seeds(jr_settings_t *s)
{
    char port[JR_SETTING_BYTES];

    g_strlcpy(port, strrchr(s->bus, ':'), sizeof port);

    for (int64_t i = 0; i < s->n_controls; i++) {
        jr_process_t *seed = &s->controls[i];

        if (*seed->name != '\0') {
            return;
        }
        g_strlcpy(seed->bus, seed->http, sizeof seed->bus);
        seed->bus[strcspn(seed->bus, ":")] = '\0';
        g_strlcat(seed->bus, port, sizeof seed->bus);
        g_strlcpy(seed->name, seed->bus, sizeof seed->name);
        g_strlcpy(seed->zone, "-", sizeof seed->zone);
    }
}

static int
program_flag(jr_settings_kind_t kind)
{
    switch (kind) {
    case JR_SETTINGS_ENTRY:
        return JR_KEY_FOR_ENTRY;
    case JR_SETTINGS_CONTROL:
        return JR_KEY_FOR_CONTROL;
    case JR_SETTINGS_GATE:
        return JR_KEY_FOR_GATE;
    }
    return 0;
}

static const jr_key_spec_t *
find_spec(const reader_t *r, const char *key)
{
    int wanted = program_flag(r->kind);

    for (size_t i = 0; i < jr_n_setting_keys; i++) {
        if (g_strcmp0(key, jr_setting_keys[i].key) == 0 &&
            (jr_setting_keys[i].flags & wanted) != 0) {
            return &jr_setting_keys[i];
        }
    }
    return NULL;
}

static void
read_value(reader_t *r, const jr_key_spec_t *spec, const yaml_node_t *node)
{
    switch (spec->kind) {
    case JR_VALUE_TEXT:
    case JR_VALUE_ADDRESS:
    case JR_VALUE_PATH:
        read_text(r, spec->key, node, spec->kind,
                  (char *)r->settings + spec->offset);
        break;
    case JR_VALUE_NUMBER:
        read_number(r, spec, node);
        break;
    case JR_VALUE_RATIO:
        read_ratio(r, spec, node);
        break;
    case JR_VALUE_BOOL:
        read_bool(r, spec, node);
        break;
    case JR_VALUE_SEEDS:
        read_seeds(r, spec, node);
        break;
    case JR_VALUE_NAMES:
        read_names(r, spec, node);
        break;
    case JR_VALUE_PROCESSES:
        read_processes(r, spec, node);
        break;
    }
}

static void
read_root(reader_t *r, const yaml_node_t *root)
{
    bool *seen = jr_alloc(r->ctx, jr_n_setting_keys);
    int wanted = program_flag(r->kind);
    yaml_node_pair_t *pair;

    for (pair = root->data.mapping.pairs.start;
         pair < root->data.mapping.pairs.top; pair++) {
        yaml_node_t *key = yaml_document_get_node(&r->document, pair->key);
        yaml_node_t *value = yaml_document_get_node(&r->document, pair->value);
        const char *name = scalar(key);
        const jr_key_spec_t *spec = find_spec(r, name);

        if (spec == NULL) {
            add_error(r, key, "'%.40s' is not a setting of this program",
                      name != NULL ? name : "(list or mapping)");
        }
        else if (seen[spec - jr_setting_keys]) {
            add_error(r, key, "'%s' is given twice", name);
        }
        else {
            seen[spec - jr_setting_keys] = true;
            read_value(r, spec, value);
        }
    }
    for (size_t i = 0; i < jr_n_setting_keys; i++) {
        bool has_seeds = jr_setting_keys[i].kind == JR_VALUE_PROCESSES &&
                         r->settings->n_controls > 0;

        if ((jr_setting_keys[i].flags & wanted) &&
            (jr_setting_keys[i].flags & JR_KEY_REQUIRED) && !seen[i] &&
            !has_seeds) {
            add_error(r, root, "'%s' is missing", jr_setting_keys[i].key);
        }
    }
    jr_free(r->ctx, seen);
}

static const jr_process_t *
find_process(const jr_process_t *processes, int64_t n, const char *name)
{
    for (int64_t i = 0; i < n; i++) {
        if (strcmp(processes[i].name, name) == 0) {
            return &processes[i];
        }
    }
    return NULL;
}

/* Checks that involve more than one setting. */
static void
check_consistency(reader_t *r)
{
    jr_settings_t *s = r->settings;

    if (r->errors->n > 0) {
        return;
    }
    complete_seeds(s);
    if (s->tolerate > 0) {
        s->replicas = 2 * s->tolerate + 1;
    }
    if (r->kind == JR_SETTINGS_ENTRY &&
        find_process(s->entries, s->n_entries, s->name) == NULL) {
        add_error(r, NULL,
                  "'entries' must name this process, '%s'; none of the %lld "
                  "elements does",
                  s->name, (long long)s->n_entries);
    }
    if (r->kind == JR_SETTINGS_CONTROL && s->replicas % 2 == 0) {
        add_error(r, NULL, "'replicas' must be odd, got %lld",
                  (long long)s->replicas);
    }
    if (r->kind == JR_SETTINGS_CONTROL && !s->jobs &&
        s->replicas > s->n_controls) {
        add_error(r, NULL,
                  "'replicas' must not exceed the number of 'controls'; got "
                  "%lld replicas and %lld controls",
                  (long long)s->replicas, (long long)s->n_controls);
    }
    if (r->kind == JR_SETTINGS_CONTROL &&
        s->election_ms < 3 * s->heartbeat_ms) {
        add_error(r, NULL,
                  "'election_ms' must be at least 3 times 'heartbeat_ms'; got "
                  "%lld and %lld",
                  (long long)s->election_ms, (long long)s->heartbeat_ms);
    }
}

typedef struct {
    uint64_t rank;
    size_t control;
} candidate_t;

static int
by_rank(const void *a, const void *b)
{
    const candidate_t *x = a;
    const candidate_t *y = b;

    return x->rank != y->rank ? (x->rank < y->rank ? -1 : 1)
                              : (int)x->control - (int)y->control;
}

/* The number of the chosen @hosts that share the zone of @control. */
static size_t
count_in_zone(const jr_settings_t *settings, const size_t *hosts, size_t n,
              size_t control)
{
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        count += strcmp(settings->controls[hosts[i]].zone,
                        settings->controls[control].zone) == 0;
    }
    return count;
}

size_t
jr_settings_hosts(const jr_settings_t *settings, size_t group,
                  size_t hosts[JR_REPLICAS_MAX])
{
    candidate_t ranked[JR_CONTROLS_MAX];
    size_t n_controls = (size_t)settings->n_controls;
    size_t wanted = MIN((size_t)settings->replicas, n_controls);
    size_t n = 0;

    for (size_t i = 0; i < n_controls; i++) {
        const char *name = settings->controls[i].name;

        ranked[i] = (candidate_t){XXH64(name, strlen(name), group), i};
    }
    qsort(ranked, n_controls, sizeof ranked[0], by_rank);
    /*
     * Round k takes control processes from zones that have k so far. Rank
     * UINT64_MAX marks those already chosen.
     */
    for (size_t round = 0; n < wanted; round++) {
        for (size_t i = 0; i < n_controls && n < wanted; i++) {
            if (count_in_zone(settings, hosts, n, ranked[i].control) ==
                    round &&
                ranked[i].rank != UINT64_MAX) {
                hosts[n++] = ranked[i].control;
                ranked[i].rank = UINT64_MAX;
            }
        }
    }
    return n;
}

static void
set_defaults(jr_settings_t *settings)
{
    memset(settings, 0, sizeof *settings);
    for (size_t i = 0; i < jr_n_setting_keys; i++) {
        if (jr_setting_keys[i].kind == JR_VALUE_NUMBER ||
            jr_setting_keys[i].kind == JR_VALUE_RATIO) {
            int64_t *to =
                (int64_t *)((char *)settings + jr_setting_keys[i].offset);

            *to = jr_setting_keys[i].default_value;
        }
    }
}

jr_result_t
jr_settings_parse(jr_ctx_t *ctx, const char *text, size_t len,
                  jr_settings_kind_t kind, jr_settings_t *settings,
                  jr_setting_errors_t *errors)
{
    reader_t r = {
        .ctx = ctx, .kind = kind, .settings = settings, .errors = errors};
    yaml_parser_t parser;
    yaml_node_t *root;

    set_defaults(settings);
    errors->n = 0;
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
    if (!yaml_parser_load(&parser, &r.document)) {
        yaml_node_t at = {.start_mark = parser.problem_mark};

        add_error(&r, &at, "invalid YAML: %s",
                  parser.problem != NULL ? parser.problem : "unknown problem");
        yaml_parser_delete(&parser);
        return JR_SETTINGS;
    }
    root = yaml_document_get_root_node(&r.document);
    if (root == NULL || root->type != YAML_MAPPING_NODE) {
        add_error(&r, root,
                  "settings must be 'key: value' pairs, one per line; got %s",
                  root == NULL ? "no document" : "a list or a scalar");
    }
    else {
        read_root(&r, root);
        check_consistency(&r);
    }
    yaml_document_delete(&r.document);
    yaml_parser_delete(&parser);
    return errors->n == 0 ? JR_OK : JR_SETTINGS;
}

jr_result_t
jr_settings_read(jr_ctx_t *ctx, const char *path, jr_settings_kind_t kind,
                 jr_settings_t *settings, jr_setting_errors_t *errors)
{
    GError *error = NULL;
    char *text;
    gsize len;
    jr_result_t result;

    if (!g_file_get_contents(path, &text, &len, &error)) {
        errors->n = 1;
        snprintf(errors->texts[0], sizeof errors->texts[0], "%.150s",
                 error->message);
        jr_fail(ctx, JR_SETTINGS, "%s", error->message);
        g_error_free(error);
        return JR_SETTINGS;
    }
    result = jr_settings_parse(ctx, text, len, kind, settings, errors);
    g_free(text);
    return result;
}
