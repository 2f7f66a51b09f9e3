/* Internal to jayrelay-entry: replies to open status requests. */
#ifndef JR_ENTRY_ADMIN_H
#define JR_ENTRY_ADMIN_H

#include "entry.h"

/* Handles a status reply; returns false for a reply of another kind. */
bool jr_entry_on_status_reply(jr_entry_t *entry, const Jr__Reply *reply);

#endif
