/* The table of log events. */
#include "jayrelay/event.h"

typedef struct {
    jr_event_t event;
    int severity;
    const char *name;
} jr_event_row_t;

static const jr_event_row_t rows[] = {
#define X(name, number, severity, text) {JR_EV_##name, severity, text},
    JR_EVENT_TABLE(X)
#undef X
};

enum { N_ROWS = sizeof rows / sizeof rows[0] };

static const jr_event_row_t *
find(jr_event_t event)
{
    for (size_t i = 0; i < N_ROWS; i++) {
        if (rows[i].event == event) {
            return &rows[i];
        }
    }
    return NULL;
}

size_t
jr_event_index(jr_event_t event)
{
    const jr_event_row_t *row = find(event);

    return row != NULL ? (size_t)(row - rows) : 0;
}

int
jr_event_at(size_t i, jr_event_t *event)
{
    if (i >= N_ROWS) {
        return 0;
    }
    *event = rows[i].event;
    return 1;
}

const char *
jr_event_name(jr_event_t event)
{
    const jr_event_row_t *row = find(event);

    return row != NULL ? row->name : "unlisted";
}

int
jr_event_severity(jr_event_t event)
{
    const jr_event_row_t *row = find(event);

    return row != NULL ? row->severity : 3;
}
