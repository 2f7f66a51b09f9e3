/* Private to the settings: the keys and the kinds of their values. */
#ifndef JR_BASE_SETTINGS_KEYS_H
#define JR_BASE_SETTINGS_KEYS_H

#include <stddef.h>

#include "jayrelay/settings.h"

typedef enum {
    JR_VALUE_TEXT,
    JR_VALUE_ADDRESS,
    JR_VALUE_PATH,
    JR_VALUE_NUMBER,
    JR_VALUE_RATIO, /* a decimal number, stored in thousandths */
    JR_VALUE_BOOL,
    JR_VALUE_PROCESSES,
    JR_VALUE_SEEDS, /* HTTP addresses of control processes */
    JR_VALUE_NAMES,
} jr_value_kind_t;

enum {
    JR_KEY_FOR_ENTRY = 1,
    JR_KEY_FOR_CONTROL = 2,
    JR_KEY_FOR_ENTRY_OR_CONTROL = 3,
    JR_KEY_REQUIRED = 4,
    JR_KEY_FOR_GATE = 8,
    JR_KEY_FOR_ALL = JR_KEY_FOR_ENTRY_OR_CONTROL | JR_KEY_FOR_GATE,
};

/*
 * One key: the programs that accept it, its kind of value, and where that is
 * stored in jr_settings_t. @min, @max and @default_value are those of numbers
 * and ratios; for lists @max is the largest number of elements.
 */
typedef struct {
    const char *key;
    jr_value_kind_t kind;
    size_t offset;
    int flags;
    int64_t min;
    int64_t max;
    int64_t default_value;
    size_t count_offset; /* of a list: its number of elements */
} jr_key_spec_t;

extern const jr_key_spec_t jr_setting_keys[];
extern const size_t jr_n_setting_keys;

#endif
