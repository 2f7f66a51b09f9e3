/* Parser of rules files. */
#include "jayrelay/rules.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum {
    PRIORITY_MAX = 100,
    PERCENT_MAX = 100,
    WEIGHT_MAX = 10,
    TARGET_MAX_MS = 3600 * 1000,
    QUANTITY_MAX = 1000 * 1000 * 1000, /* millicores, MB or tasks */
    MILLI = 1000,
    MB_PER_GB = 1024,
    WORDS_MAX = 16, /* on one line */
    DEFAULT_WEIGHT = 1,
};

static const char ASKED_FOR_BY[] = "asked for by ";

typedef struct {
    jr_ctx_t *ctx;
    jr_rules_t *rules;
    jr_rule_problems_t *problems;
    size_t n_problems;
    int line;
    const char *raw;        /* line as written, without trailing space */
    int n;                  /* number of words on the line */
    char **words;           /* words, unquoted */
    int columns[WORDS_MAX]; /* column of each word, from 1 */
    bool seen_weights[3];
    GHashTable *names; /* "KIND NAME" of each rule read so far */
} parser_t;

static void __attribute__((format(printf, 3, 4)))
add_problem(parser_t *p, int column, const char *format, ...)
{
    jr_rule_problem_t found = {.line = p->line, .column = column};
    va_list args;

    va_start(args, format);
    vsnprintf(found.text, sizeof found.text, format, args);
    va_end(args);
    if (p->n_problems == 0) {
        jr_fail(p->ctx, JR_RULES, "line %d, column %d: %s", found.line,
                found.column, found.text);
    }
    if (p->problems != NULL && p->problems->n < JR_RULE_PROBLEMS_MAX) {
        p->problems->problems[p->problems->n++] = found;
    }
    p->n_problems++;
}

static int
end_column(const parser_t *p)
{
    return (int)strlen(p->raw) + 1;
}

/*
 * Parses a whole number followed by the unit, which may be "". The value
 * times the scale may be at most max. Returns it scaled, or -1 after
 * reporting a problem.
 */
static int64_t
read_number(parser_t *p, int word, const char *unit, int64_t scale,
            int64_t max)
{
    const char *text = p->words[word];
    char *end;
    long long value;

    errno = 0;
    value = strtoll(text, &end, 10);
    if (end == text || errno != 0 || strcmp(end, unit) != 0 || value < 0 ||
        value > max / scale) {
        add_problem(p, p->columns[word],
                    "'%.40s' is not a whole number from 0 to %lld%s%s", text,
                    (long long)(max / scale),
                    *unit != '\0' ? " with unit " : "", unit);
        return -1;
    }
    return value * scale;
}

static int64_t
read_target(parser_t *p, int word)
{
    int64_t value;

    if (g_str_has_suffix(p->words[word], "ms")) {
        value = read_number(p, word, "ms", 1, TARGET_MAX_MS);
    }
    else {
        value = read_number(p, word, "s", MILLI, TARGET_MAX_MS);
    }
    if (value == 0) {
        add_problem(p, p->columns[word],
                    "the target is '%.40s'; expected more than 0",
                    p->words[word]);
    }
    return value;
}

static int64_t
read_memory(parser_t *p, int word)
{
    if (g_str_has_suffix(p->words[word], "G")) {
        return read_number(p, word, "G", MB_PER_GB, QUANTITY_MAX);
    }
    return read_number(p, word, "M", 1, QUANTITY_MAX);
}

static bool
read_name(parser_t *p, char *to)
{
    const char *name;

    if (p->n < 2) {
        add_problem(p, end_column(p),
                    "'%s' has no name; expected '%s NAME ...'", p->words[0],
                    p->words[0]);
        return false;
    }
    name = p->words[1];
    if (strlen(name) >= JR_RULE_NAME_BYTES || *name == '\0') {
        add_problem(p, p->columns[1],
                    "the name '%.40s' has %zu bytes; expected 1 to %d", name,
                    strlen(name), JR_RULE_NAME_BYTES - 1);
        return false;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("-_.", *c) == NULL) {
            add_problem(
                p, p->columns[1],
                "the name '%.40s' has a character that is not allowed; "
                "expected ASCII letters, digits, '-', '_' and '.'",
                name);
            return false;
        }
    }
    g_strlcpy(to, name, JR_RULE_NAME_BYTES);
    return true;
}

/* A key of a rule; its value is the next word. */
typedef struct {
    const char *key;
    int word; /* index of the value, 0 when the key is missing */
    bool is_required;
} keyword_t;

static bool
read_keys(parser_t *p, int first, keyword_t *keys, size_t n)
{
    size_t before = p->n_problems;

    for (int w = first; w < p->n; w += 2) {
        size_t k = 0;

        while (k < n && strcmp(keys[k].key, p->words[w]) != 0) {
            k++;
        }
        if (k == n) {
            /* Rules have two or three keys. */
            add_problem(p, p->columns[w],
                        "unknown key '%.40s'; expected '%s'%s%s%s or '%s'",
                        p->words[w], keys[0].key, n > 2 ? ", '" : "",
                        n > 2 ? keys[1].key : "", n > 2 ? "'" : "",
                        keys[n - 1].key);
            return false;
        }
        if (keys[k].word != 0) {
            add_problem(p, p->columns[w],
                        "key '%s' is given twice; expected once", keys[k].key);
            return false;
        }
        if (w + 1 >= p->n) {
            add_problem(p, end_column(p), "key '%s' has no value",
                        keys[k].key);
            return false;
        }
        keys[k].word = w + 1;
    }
    for (size_t k = 0; k < n; k++) {
        if (keys[k].is_required && keys[k].word == 0) {
            add_problem(p, end_column(p), "required key '%s' is missing",
                        keys[k].key);
        }
    }
    return p->n_problems == before;
}

static void
parse_version(parser_t *p)
{
    int64_t version;

    if (p->n != 2) {
        add_problem(p, p->columns[0],
                    "the rule has %d words; expected 'version N'", p->n);
        return;
    }
    if (p->rules->version != 0) {
        add_problem(p, p->columns[0],
                    "the version is given again as '%.40s'; expected once",
                    p->words[1]);
        return;
    }
    version = read_number(p, 1, "", 1, INT64_MAX);
    if (version == 0) {
        add_problem(p, p->columns[1],
                    "the version is '%.40s'; expected at least 1",
                    p->words[1]);
    }
    p->rules->version = version > 0 ? (uint64_t)version : 1;
}

/* Grows an array of n elements by one element. */
static void *
grow(parser_t *p, void *array, size_t n, size_t size)
{
    return jr_resize(p->ctx, array, (n + 1) * size);
}

/* Only one rule is allowed for each service, class or team. */
static void
check_unique(parser_t *p, const char *name)
{
    char *key = g_strdup_printf("%s %s", p->words[0], name);

    if (!g_hash_table_add(p->names, key)) {
        add_problem(p, p->columns[1],
                    "duplicate rule for %s '%s'; expected one", p->words[0],
                    name);
    }
}

static void
parse_service(parser_t *p)
{
    keyword_t keys[] = {{"target", 0, true}, {"priority", 0, true}};
    jr_service_rule_t rule = {0};
    jr_rules_t *rules = p->rules;

    if (!read_name(p, rule.name) || !read_keys(p, 2, keys, 2)) {
        return;
    }
    rule.target_ms = read_target(p, keys[0].word);
    rule.priority = (int)read_number(p, keys[1].word, "", 1, PRIORITY_MAX);
    check_unique(p, rule.name);
    rules->services = grow(p, rules->services, rules->n_services, sizeof rule);
    rules->services[rules->n_services++] = rule;
}

static void
parse_class(parser_t *p)
{
    keyword_t keys[] = {{"rate", 0, true}, {"priority", 0, true}};
    jr_class_rule_t rule = {0};
    jr_rules_t *rules = p->rules;
    int sum = 0;

    if (!read_name(p, rule.name) || !read_keys(p, 2, keys, 2)) {
        return;
    }
    rule.rate_percent = (int)read_number(p, keys[0].word, "%", 1, PERCENT_MAX);
    rule.priority = (int)read_number(p, keys[1].word, "", 1, PRIORITY_MAX);
    for (size_t i = 0; i < rules->n_classes; i++) {
        sum += rules->classes[i].rate_percent;
    }
    check_unique(p, rule.name);
    if (sum + rule.rate_percent > PERCENT_MAX) {
        add_problem(p, p->columns[keys[0].word],
                    "the rates of the classes add up to %d%%; at most %d%% is "
                    "allowed",
                    sum + rule.rate_percent, PERCENT_MAX);
    }
    rules->classes = grow(p, rules->classes, rules->n_classes, sizeof rule);
    rules->classes[rules->n_classes++] = rule;
}

static void
parse_team(parser_t *p)
{
    keyword_t keys[] = {
        {"cpu", 0, false}, {"memory", 0, false}, {"tasks", 0, false}};
    jr_team_rule_t rule = {0};
    jr_rules_t *rules = p->rules;

    if (!read_name(p, rule.name) || !read_keys(p, 2, keys, 3)) {
        return;
    }
    if (keys[0].word != 0) {
        rule.cpu_milli = read_number(p, keys[0].word, "", MILLI, QUANTITY_MAX);
    }
    if (keys[1].word != 0) {
        rule.memory_mb = read_memory(p, keys[1].word);
    }
    if (keys[2].word != 0) {
        rule.tasks = read_number(p, keys[2].word, "", 1, QUANTITY_MAX);
    }
    check_unique(p, rule.name);
    rules->teams = grow(p, rules->teams, rules->n_teams, sizeof rule);
    rules->teams[rules->n_teams++] = rule;
}

static void
parse_weight(parser_t *p)
{
    static const char *const names[] = {"tail", "throughput", "evictions"};
    int *values[] = {&p->rules->weights.tail, &p->rules->weights.throughput,
                     &p->rules->weights.evictions};

    if (p->n != 3) {
        add_problem(p, p->columns[0],
                    "the rule has %d words; expected 'weight NAME N'", p->n);
        return;
    }
    for (size_t i = 0; i < 3; i++) {
        if (strcmp(p->words[1], names[i]) != 0) {
            continue;
        }
        if (p->seen_weights[i]) {
            add_problem(p, p->columns[1],
                        "weight '%s' is given twice; expected once", names[i]);
        }
        p->seen_weights[i] = true;
        *values[i] = (int)read_number(p, 2, "", 1, WEIGHT_MAX);
        return;
    }
    add_problem(p, p->columns[1],
                "unknown weight '%.40s'; expected 'tail', 'throughput' or "
                "'evictions'",
                p->words[1]);
}

static const struct {
    const char *word;
    void (*parse)(parser_t *p);
} rule_kinds[] = {
    {"version", parse_version}, {"service", parse_service},
    {"class", parse_class},     {"team", parse_team},
    {"weight", parse_weight},
};

static void
parse_rule(parser_t *p)
{
    if (p->rules->version == 0 && strcmp(p->words[0], "version") != 0) {
        add_problem(p, 1, "the first rule must be 'version N'; got '%.40s'",
                    p->words[0]);
        p->rules->version = 1;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rule_kinds); i++) {
        if (strcmp(p->words[0], rule_kinds[i].word) == 0) {
            rule_kinds[i].parse(p);
            return;
        }
    }
    add_problem(
        p, p->columns[0],
        "unknown rule '%.40s'; expected 'version', 'service', 'class', "
        "'team' or 'weight'",
        p->words[0]);
}

/* Finds the column at which each word starts in the line as written. */
static void
find_columns(parser_t *p)
{
    const char *at = p->raw;

    for (int i = 0; i < p->n; i++) {
        const char *found = strstr(at, p->words[i]);

        p->columns[i] = (int)((found != NULL ? found : at) - p->raw) + 1;
        at = found != NULL ? found + strlen(p->words[i]) : at;
    }
}

/* The comment must name the requester of the rule. */
static void
check_comment(parser_t *p, const char *comment)
{
    const char *requester;

    if (comment == NULL) {
        add_problem(p, end_column(p),
                    "the rule has no comment; expected '# asked for by NAME' "
                    "at its end");
        return;
    }
    requester = comment + 1;
    while (*requester == ' ') {
        requester++;
    }
    if (strncmp(requester, ASKED_FOR_BY, strlen(ASKED_FOR_BY)) != 0 ||
        requester[strlen(ASKED_FOR_BY)] == '\0') {
        add_problem(p, (int)(comment - p->raw) + 1,
                    "the comment is '%.40s'; expected '# asked for by NAME'",
                    comment);
    }
}

/*
 * Returns the '#' that starts the comment, or NULL. It is outside quotes and
 * at the start of a word, as in a shell.
 */
static char *
find_comment(char *line)
{
    char quote = '\0';

    for (char *c = line; *c != '\0'; c++) {
        if (quote != '\0') {
            quote = *c == quote ? '\0' : quote;
        }
        else if (*c == '"' || *c == '\'') {
            quote = *c;
        }
        else if (*c == '#' && (c == line || c[-1] == ' ' || c[-1] == '\t')) {
            return c;
        }
    }
    return NULL;
}

static void
parse_line(parser_t *p, char *line)
{
    char *comment;
    GError *error = NULL;
    char *rule;

    g_strchomp(line);
    p->raw = line;
    comment = find_comment(line);
    rule = comment != NULL ? g_strndup(line, (gsize)(comment - line))
                           : g_strdup(line);
    g_strstrip(rule);
    if (*rule == '\0') {
        g_free(rule);
        return;
    }
    if (!g_utf8_validate(line, -1, NULL)) {
        add_problem(p, 1, "the line of %zu bytes is not valid UTF-8",
                    strlen(line));
    }
    else if (!g_shell_parse_argv(rule, &p->n, &p->words, &error)) {
        add_problem(p, 1, "the line cannot be split into words: %.100s",
                    error->message);
        g_error_free(error);
    }
    else if (p->n > WORDS_MAX) {
        add_problem(p, 1, "the rule has %d words; expected at most %d", p->n,
                    WORDS_MAX);
        g_strfreev(p->words);
    }
    else {
        find_columns(p);
        check_comment(p, comment);
        parse_rule(p);
        g_strfreev(p->words);
    }
    g_free(rule);
}

static int
by_name(const void *a, const void *b)
{
    /* The name is the first field of each rule type. */
    return strcmp(a, b);
}

jr_rules_t *
jr_new_rules(jr_ctx_t *ctx, const char *text, jr_rule_problems_t *problems)
{
    parser_t p = {.ctx = ctx, .problems = problems};
    jr_rules_t *rules = jr_alloc(ctx, sizeof *rules);
    char **lines;

    rules->refs = 1;
    rules->ctx = ctx;
    rules->weights = (jr_weights_t){.tail = DEFAULT_WEIGHT,
                                    .throughput = DEFAULT_WEIGHT,
                                    .evictions = DEFAULT_WEIGHT};
    p.rules = rules;
    p.names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (problems != NULL) {
        problems->n = 0;
    }
    if (strlen(text) > JR_RULES_MAX_BYTES) {
        p.line = 1;
        add_problem(&p, 1, "the file has %zu bytes; expected at most %d",
                    strlen(text), JR_RULES_MAX_BYTES);
    }
    else {
        lines = g_strsplit(text, "\n", -1);
        for (int i = 0; lines[i] != NULL; i++) {
            p.line = i + 1;
            parse_line(&p, lines[i]);
        }
        g_strfreev(lines);
    }
    if (rules->version == 0 && p.n_problems == 0) {
        p.line = 1;
        add_problem(&p, 1,
                    "the file has no rules; it must begin with 'version N'");
    }
    g_hash_table_destroy(p.names);
    if (p.n_problems > 0) {
        jr_drop_rules(rules);
        return NULL;
    }
    if (rules->n_services > 0) {
        qsort(rules->services, rules->n_services, sizeof(jr_service_rule_t),
              by_name);
    }
    if (rules->n_classes > 0) {
        qsort(rules->classes, rules->n_classes, sizeof(jr_class_rule_t),
              by_name);
    }
    if (rules->n_teams > 0) {
        qsort(rules->teams, rules->n_teams, sizeof(jr_team_rule_t), by_name);
    }
    return rules;
}

jr_rules_t *
jr_keep_rules(jr_rules_t *rules)
{
    rules->refs++;
    return rules;
}

void
jr_drop_rules(jr_rules_t *rules)
{
    if (rules == NULL || --rules->refs > 0) {
        return;
    }
    jr_free(rules->ctx, rules->services);
    jr_free(rules->ctx, rules->classes);
    jr_free(rules->ctx, rules->teams);
    jr_free(rules->ctx, rules);
}

static const void *
find_rule(const void *array, size_t n, size_t size, const char *name)
{
    return n > 0 ? bsearch(name, array, n, size, by_name) : NULL;
}

const jr_service_rule_t *
jr_rules_service(const jr_rules_t *rules, const char *name)
{
    return find_rule(rules->services, rules->n_services,
                     sizeof(jr_service_rule_t), name);
}

const jr_class_rule_t *
jr_rules_class(const jr_rules_t *rules, const char *name)
{
    return find_rule(rules->classes, rules->n_classes, sizeof(jr_class_rule_t),
                     name);
}

const jr_team_rule_t *
jr_rules_team(const jr_rules_t *rules, const char *name)
{
    return find_rule(rules->teams, rules->n_teams, sizeof(jr_team_rule_t),
                     name);
}
