/* The table of result codes. */
#include "jayrelay/error.h"

typedef struct {
    jr_result_t code;
    int exit_code;
    const char *name;
    const char *text;
} jr_result_row_t;

static const jr_result_row_t rows[] = {
#define X(name, number, exit_code, text) {JR_##name, exit_code, #name, text},
    JR_RESULT_TABLE(X)
#undef X
};

enum { N_ROWS = sizeof rows / sizeof rows[0] };

static const jr_result_row_t *
find(jr_result_t code)
{
    for (size_t i = 0; i < N_ROWS; i++) {
        if (rows[i].code == code) {
            return &rows[i];
        }
    }
    return NULL;
}

const char *
jr_result_name(jr_result_t code)
{
    const jr_result_row_t *row = find(code);

    return row != NULL ? row->name : "UNLISTED";
}

const char *
jr_result_text(jr_result_t code)
{
    const jr_result_row_t *row = find(code);

    return row != NULL ? row->text : "unlisted code";
}

int
jr_result_exit(jr_result_t code)
{
    const jr_result_row_t *row = find(code);

    return row != NULL ? row->exit_code : 1;
}

int
jr_result_at(size_t i, jr_result_t *code)
{
    if (i >= N_ROWS) {
        return 0;
    }
    *code = rows[i].code;
    return 1;
}
