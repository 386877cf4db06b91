/* Shared by the files that read settings: settings.c takes the keys one by one,
 * settings_together.c checks those that concern each other. */
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
  const char *text; /* what was not read yet */
  size_t left;
  int line;
  int lines[SETTING_KEYS_MAX]; /* where a key was set, 0 for not yet */
  struct settings *out;
  struct bytes *problems; /* may be NULL */
  enum status status;
  char message[SETTINGS_MESSAGE_SIZE]; /* of the first problem */
};

/* Note a problem; `line` 0 where no line causes it. */
void settings_problem (struct settings_parser *parser, int line, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Where a key was set, 0 for not at all. */
int settings_line_of (const struct settings_parser *parser, const char *section, const char *name);

/* The checks over several keys; only where each of them is in order by itself. */
void settings_check_together (struct settings_parser *parser);

END_DECLS

#endif
