/* Private to jayrelay-entry: status requests under way. */
#ifndef JR_ENTRY_ADMIN_H
#define JR_ENTRY_ADMIN_H

#include "entry.h"

/* Takes a reply to a status request; false when it is none. */
bool jr_entry_on_status_reply(jr_entry_t *entry, const Jr__Reply *reply);

#endif
