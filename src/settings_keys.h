/* The table of the keys of a settings file, in the order of docs/SETTINGS.md. */
#ifndef SETTINGS_KEYS_H
#define SETTINGS_KEYS_H

#include "decls.h"
#include "settings_value.h"

BEGIN_DECLS

#define SETTING_KEYS_MAX 64 /* size of arrays indexed by key */

extern const struct setting_key setting_keys[];
extern const size_t n_setting_keys;

END_DECLS

#endif
