/* Replicated register of the rules in force. */
#include "jayrelay/rules.h"

#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "rules/rules.pb-c.h"

/*
 * Number of accepted versions that are kept, so that a resent request gets the
 * same result again.
 */
enum { HISTORY_MAX = 1024 };

typedef struct {
    uint64_t version;
    uint64_t hash;
} accepted_t;

typedef struct {
    char *host;
    uint32_t group;
    UT_hash_handle hh;
} home_t;

struct jr_register {
    jr_ctx_t *ctx;
    uint64_t version;
    char *text;
    accepted_t history[HISTORY_MAX]; /* ring in order of acceptance */
    uint64_t n_accepted;
    home_t *homes;
};

static uint64_t
hash_text(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

static const accepted_t *
find_accepted(const jr_register_t *reg, uint64_t version)
{
    uint64_t n = reg->n_accepted < HISTORY_MAX ? reg->n_accepted : HISTORY_MAX;

    for (uint64_t i = 0; i < n; i++) {
        if (reg->history[i].version == version) {
            return &reg->history[i];
        }
    }
    return NULL;
}

static void
accept_version(jr_register_t *reg, uint64_t version, const char *text)
{
    char *copy = jr_strdup(reg->ctx, text);

    jr_free(reg->ctx, reg->text);
    reg->text = copy;
    reg->version = version;
    reg->history[reg->n_accepted % HISTORY_MAX] =
        (accepted_t){.version = version, .hash = hash_text(text)};
    reg->n_accepted++;
}

jr_register_t *
jr_new_register(jr_ctx_t *ctx)
{
    jr_register_t *reg = jr_alloc(ctx, sizeof *reg);

    reg->ctx = ctx;
    reg->text = jr_strdup(ctx, "");
    return reg;
}

static void
clear_homes(jr_register_t *reg)
{
    home_t *home, *next;

    HASH_ITER (hh, reg->homes, home, next) {
        HASH_DEL(reg->homes, home);
        jr_free(reg->ctx, home->host);
        jr_free(reg->ctx, home);
    }
}

static void
add_home(jr_register_t *reg, const char *host, uint32_t group)
{
    home_t *home = jr_alloc(reg->ctx, sizeof *home);

    home->host = jr_strdup(reg->ctx, host);
    home->group = group;
    HASH_ADD_KEYPTR(hh, reg->homes, home->host, strlen(home->host), home);
}

uint32_t
jr_register_home(const jr_register_t *reg, const char *host)
{
    home_t *home;

    HASH_FIND_STR(reg->homes, host, home);
    return home != NULL ? home->group : 0;
}

static size_t
count_hosts(const jr_register_t *reg, uint32_t group)
{
    const home_t *home, *next;
    size_t n = 0;

    HASH_ITER (hh, reg->homes, home, next) {
        n += home->group == group;
    }
    return n;
}

uint32_t
jr_register_assign_home(jr_register_t *reg, const char *host, uint32_t groups)
{
    uint32_t best = jr_register_home(reg, host);
    size_t fewest = SIZE_MAX;

    if (best != 0) {
        return best;
    }
    for (uint32_t group = 1; group <= groups; group++) {
        size_t n = count_hosts(reg, group);

        if (n < fewest) {
            fewest = n;
            best = group;
        }
    }
    add_home(reg, host, best);
    return best;
}

void
jr_drop_register(jr_register_t *reg)
{
    if (reg == NULL) {
        return;
    }
    clear_homes(reg);
    jr_free(reg->ctx, reg->text);
    jr_free(reg->ctx, reg);
}

jr_register_result_t
jr_register_apply(jr_register_t *reg, uint64_t version, const char *text)
{
    jr_register_result_t result = {.code = JR_OK};
    const accepted_t *known;

    if (version > reg->version) {
        accept_version(reg, version, text);
    }
    else {
        known = find_accepted(reg, version);
        if (known == NULL) {
            result.code = JR_RULES_OLD;
        }
        else if (known->hash != hash_text(text)) {
            result.code = JR_RULES_CONFLICT;
        }
    }
    result.version = reg->version;
    result.text = reg->text;
    return result;
}

const char *
jr_register_text(const jr_register_t *reg)
{
    return reg->text;
}

uint64_t
jr_register_version(const jr_register_t *reg)
{
    return reg->version;
}

static Jr__RulesHome *
fill_homes(const jr_register_t *reg, Jr__RulesSnapshot *snapshot)
{
    size_t n = HASH_COUNT(reg->homes);
    Jr__RulesHome *rows = jr_alloc(reg->ctx, n * sizeof *rows);
    const home_t *home, *next;

    snapshot->homes = jr_alloc(reg->ctx, n * sizeof(Jr__RulesHome *));
    HASH_ITER (hh, reg->homes, home, next) {
        Jr__RulesHome *row = &rows[snapshot->n_homes];

        jr__rules_home__init(row);
        row->host = home->host;
        row->group = home->group;
        snapshot->homes[snapshot->n_homes++] = row;
    }
    return rows;
}

uint8_t *
jr_register_save(const jr_register_t *reg, size_t *len)
{
    uint64_t n = reg->n_accepted < HISTORY_MAX ? reg->n_accepted : HISTORY_MAX;
    uint64_t first = reg->n_accepted - n;
    Jr__RulesAccepted *slots = jr_alloc(reg->ctx, n * sizeof *slots);
    Jr__RulesAccepted **history =
        jr_alloc(reg->ctx, n * sizeof(Jr__RulesAccepted *));
    Jr__RulesText current = JR__RULES_TEXT__INIT;
    Jr__RulesSnapshot snapshot = JR__RULES_SNAPSHOT__INIT;
    Jr__RulesHome *homes;
    uint8_t *bytes;

    for (uint64_t i = 0; i < n; i++) {
        const accepted_t *accepted = &reg->history[(first + i) % HISTORY_MAX];

        jr__rules_accepted__init(&slots[i]);
        slots[i].version = accepted->version;
        slots[i].hash = accepted->hash;
        history[i] = &slots[i];
    }
    current.version = reg->version;
    current.text = reg->text;
    snapshot.n_history = n;
    snapshot.history = history;
    snapshot.current = &current;
    homes = fill_homes(reg, &snapshot);
    bytes =
        jr_alloc(reg->ctx, jr__rules_snapshot__get_packed_size(&snapshot) + 1);
    *len = jr__rules_snapshot__pack(&snapshot, bytes);
    jr_free(reg->ctx, snapshot.homes);
    jr_free(reg->ctx, homes);
    jr_free(reg->ctx, history);
    jr_free(reg->ctx, slots);
    return bytes;
}

bool
jr_register_load(jr_register_t *reg, const uint8_t *bytes, size_t len)
{
    Jr__RulesSnapshot *snapshot = jr__rules_snapshot__unpack(NULL, len, bytes);
    bool ok = snapshot != NULL && snapshot->current != NULL &&
              snapshot->n_history <= HISTORY_MAX;

    if (ok) {
        for (size_t i = 0; i < snapshot->n_history; i++) {
            reg->history[i] = (accepted_t){
                .version = snapshot->history[i]->version,
                .hash = snapshot->history[i]->hash,
            };
        }
        reg->n_accepted = snapshot->n_history;
        reg->version = snapshot->current->version;
        jr_free(reg->ctx, reg->text);
        reg->text = jr_strdup(reg->ctx, snapshot->current->text);
        clear_homes(reg);
        for (size_t i = 0; i < snapshot->n_homes; i++) {
            if (jr_register_home(reg, snapshot->homes[i]->host) == 0) {
                add_home(reg, snapshot->homes[i]->host,
                         snapshot->homes[i]->group);
            }
        }
    }
    if (snapshot != NULL) {
        jr__rules_snapshot__free_unpacked(snapshot, NULL);
    }
    return ok;
}
