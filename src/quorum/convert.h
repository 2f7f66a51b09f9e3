/* Conversion of member lists to and from their protobuf messages. */
#ifndef JR_QUORUM_CONVERT_H
#define JR_QUORUM_CONVERT_H

#include "jayrelay/quorum.h"
#include "quorum/quorum.pb-c.h"

/* Storage for the protobuf message of a member list. */
typedef struct {
    jr_config_t config;
    Jr__Config message;
    Jr__Member slots[JR_MEMBERS_MAX];
    Jr__Member *pointers[JR_MEMBERS_MAX];
} jr_config_message_t;

bool jr_config_unpack(const uint8_t *bytes, size_t len, jr_config_t *config);
bool jr_config_from_message(const Jr__Config *message, jr_config_t *config);
/* Copies config into buf; buf->message points into buf. */
void jr_config_to_message(const jr_config_t *config, jr_config_message_t *buf);

#endif
