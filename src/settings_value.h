/* A settings key: its type and range, and the parsing of its value. */
#ifndef SETTINGS_VALUE_H
#define SETTINGS_VALUE_H

#include "decls.h"
#include "settings.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* name */
#define SETTING_TYPE_LIST(X)                                                                       \
  X (NAME)   /* char[RESOURCE_NAME_SIZE] */                                                        \
  X (LISTEN) /* char[RESOURCE_ADDRESS_SIZE], port 0 allowed */                                     \
  X (PATH)   /* char[SETTINGS_PATH_SIZE] */                                                        \
  X (HASH)   /* char[65], lower-case hex */                                                        \
  X (BOOL)   /* bool */                                                                            \
  X (COUNT)  /* uint32_t from `low` to `high` */                                                   \
  X (MSEC)   /* milliseconds from `low` to `high`, kept as int64_t microseconds */                 \
  X (PEERS)  /* at most `high` of struct settings_peer, the count at `count_offset` */             \
  X (LEVEL)  /* enum log_level */

enum setting_type
{
#define X(name) SETTING_##name,
  SETTING_TYPE_LIST (X)
#undef X
};

#define SETTING_TEXT_SIZE 160

struct setting_key
{
  const char *section;
  const char *name;
  enum setting_type type;
  size_t offset;       /* of the field in struct settings */
  size_t count_offset; /* for SETTING_PEERS */
  uint64_t low;
  uint64_t high;
  bool required;
  const char *default_text; /* default, as written in a file; NULL for none */
  const char *help;
};

/* Parses `value` into its field of `out`; false, with the field unchanged or empty, if the value is
 * invalid. */
bool setting_parse (const struct setting_key *key, const char *value, struct settings *out);

/* Describes the valid values of a key, such as "a whole number from 1 to 9". */
void setting_describe_expected (const struct setting_key *key, char out[SETTING_TEXT_SIZE]);

/* True for "ip:port" with an IPv4 address other than 0.0.0.0; port 0 only if `any_port`. */
bool setting_is_address (const char *text, bool any_port);

END_DECLS

#endif
