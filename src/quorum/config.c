/* Conversion of member lists to and from their protobuf form. */
#include "convert.h"

#include <string.h>

static bool
copy_string(char *to, size_t size, const char *from)
{
    size_t len = strlen(from);

    if (len >= size) {
        return false;
    }
    memcpy(to, from, len + 1);
    return true;
}

bool
jr_config_from_message(const Jr__Config *message, jr_config_t *config)
{
    memset(config, 0, sizeof *config);
    if (message == NULL || message->n_members > JR_MEMBERS_MAX) {
        return message == NULL;
    }
    config->n = message->n_members;
    for (size_t i = 0; i < config->n; i++) {
        const Jr__Member *from = message->members[i];
        jr_member_t *to = &config->members[i];

        to->id = from->id;
        to->voter = from->voter;
        if (!copy_string(to->name, sizeof to->name, from->name) ||
            !copy_string(to->address, sizeof to->address, from->address)) {
            return false;
        }
    }
    return true;
}

void
jr_config_to_message(const jr_config_t *config, jr_config_message_t *buf)
{
    buf->config = *config;
    jr__config__init(&buf->message);
    for (size_t i = 0; i < config->n; i++) {
        jr__member__init(&buf->slots[i]);
        buf->slots[i].id = buf->config.members[i].id;
        buf->slots[i].name = buf->config.members[i].name;
        buf->slots[i].address = buf->config.members[i].address;
        buf->slots[i].voter = buf->config.members[i].voter;
        buf->pointers[i] = &buf->slots[i];
    }
    buf->message.n_members = config->n;
    buf->message.members = buf->pointers;
}

size_t
jr_config_pack(jr_ctx_t *ctx, const jr_config_t *config, uint8_t **bytes)
{
    jr_config_message_t buf;

    jr_config_to_message(config, &buf);
    *bytes = jr_alloc(ctx, jr__config__get_packed_size(&buf.message) + 1);
    return jr__config__pack(&buf.message, *bytes);
}

bool
jr_config_unpack(const uint8_t *bytes, size_t len, jr_config_t *config)
{
    Jr__Config *message = jr__config__unpack(NULL, len, bytes);
    bool ok;

    if (message == NULL) {
        return false;
    }
    ok = jr_config_from_message(message, config);
    jr__config__free_unpacked(message, NULL);
    return ok;
}

const jr_member_t *
jr_config_find(const jr_config_t *config, uint64_t id)
{
    for (size_t i = 0; i < config->n; i++) {
        if (config->members[i].id == id) {
            return &config->members[i];
        }
    }
    return NULL;
}
