/* Internal declarations of the settings parser: settings.c reads single keys, settings_rules.c
 * checks the rules over several keys. */
#ifndef SETTINGS_PRIVATE_H
#define SETTINGS_PRIVATE_H

#include "bytes.h"
#include "decls.h"
#include "settings.h"
#include "settings_keys.h"

BEGIN_DECLS

#define SETTINGS_MESSAGE_SIZE 500

struct settings_parser
{
  const char *name; /* of the file */
  const char *text; /* rest of the file, `left` bytes */
  size_t left;
  int line;
  int lines[SETTING_KEYS_MAX]; /* line that set each key, 0 if not set */
  struct settings *out;
  struct bytes *problems; /* may be NULL */
  enum status status;
  char message[SETTINGS_MESSAGE_SIZE]; /* of the first problem */
};

/* Records a problem; `line` is 0 if no single line causes it. */
void settings_report_problem (struct settings_parser *parser, int line, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Returns the line that set a key, 0 if it is not set. */
int settings_key_line (const struct settings_parser *parser, const char *section, const char *name);

/* Checks the rules over several keys; called only if each key is valid by itself. */
void settings_check_rules (struct settings_parser *parser);

END_DECLS

#endif
