/* Reads a settings file: checks each key against the table, then the rules over several keys.
 *
 * inih splits the lines.  A custom reader passes them to inih and counts them, so that each problem
 * names its line. */
#include "settings.h"
#include "settings_private.h"
#include "text.h"
#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_FILE_MAX_BYTES (256u << 10)
#define SETTINGS_LINE_MAX_BYTES 8192
#define SETTINGS_SHOWN_VALUE_MAX 60

/* Replaces unprintable characters by '?', since the file may contain arbitrary bytes. */
static void
make_printable (char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text < ' ' || *text > '~')
        *text = '?';
    }
}

void
settings_report_problem (struct settings_parser *parser, int line, const char *format, ...)
{
  char about[SETTINGS_MESSAGE_SIZE - 100];
  char message[SETTINGS_MESSAGE_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (about, sizeof about, format, args);
  va_end (args);
  make_printable (about);
  if (line > 0)
    snprintf (message, sizeof message, "%.80s:%d: %s", parser->name, line, about);
  else
    snprintf (message, sizeof message, "%.80s: %s", parser->name, about);
  if (parser->problems != NULL)
    bytes_append_format (parser->problems, "%s\n", message);
  if (parser->status == STATUS_OK)
    {
      parser->status = STATUS_INVALID;
      text_copy_truncated (parser->message, sizeof parser->message, message);
    }
}

/* Replacement of fgets() for inih: counts lines, and passes a line that is too long or contains NUL
 * as an empty one. */
static char *
read_line (char *out, int size, void *stream)
{
  struct settings_parser *parser = stream;
  const char *end = memchr (parser->text, '\n', parser->left);
  size_t length = end == NULL ? parser->left : (size_t) (end - parser->text) + 1;
  size_t kept = length;

  if (parser->left == 0)
    return NULL;
  parser->line++;
  if (length >= (size_t) size || memchr (parser->text, '\0', length) != NULL)
    {
      settings_report_problem (parser, parser->line, "expected a line of text of at most %d bytes",
                               size - 2);
      kept = 0;
    }
  memcpy (out, parser->text, kept);
  out[kept] = '\0';
  parser->text += length;
  parser->left -= length;
  return out;
}

static const char *
find_section (const char *section)
{
  size_t i;

  for (i = 0; i < n_setting_keys; i++)
    {
      if (strcmp (setting_keys[i].section, section) == 0)
        return setting_keys[i].section;
    }
  return NULL;
}

static size_t
find_key (const char *section, const char *name)
{
  size_t i;

  for (i = 0; i < n_setting_keys; i++)
    {
      if (strcmp (setting_keys[i].section, section) == 0
          && strcmp (setting_keys[i].name, name) == 0)
        break;
    }
  return i;
}

/* Lists the keys of a section, or all sections if it is NULL, for error messages. */
static void
list_names (const char *section, char *out, size_t size)
{
  size_t used = 0;
  size_t i;

  out[0] = '\0';
  for (i = 0; i < n_setting_keys && used < size; i++)
    {
      if (section == NULL
              ? find_key (setting_keys[i].section, setting_keys[i].name) == i
                    && (i == 0
                        || strcmp (setting_keys[i].section, setting_keys[i - 1].section) != 0)
              : strcmp (setting_keys[i].section, section) == 0)
        used +=
            (size_t) snprintf (out + used, size - used, "%s%s", used == 0 ? "" : ", ",
                               section == NULL ? setting_keys[i].section : setting_keys[i].name);
    }
}

/* Callback of inih.  Returns 1 (success) even for an invalid key, so that the rest of the file is
 * checked too; problems are recorded in the parser. */
static int
handle_value (void *user, const char *section, const char *name, const char *value)
{
  struct settings_parser *parser = user;
  const char *known = find_section (section);
  size_t i = find_key (section, name);
  char expected[SETTING_TEXT_SIZE];
  char names[SETTINGS_MESSAGE_SIZE / 2];

  if (i == n_setting_keys)
    {
      list_names (known, names, sizeof names);
      if (known == NULL)
        settings_report_problem (parser, parser->line,
                                 "[%.50s]: unknown section, expected one of %s", section, names);
      else
        settings_report_problem (parser, parser->line,
                                 "[%s] %.50s: unknown key, expected one of %s", section, name,
                                 names);
      return 1;
    }
  if (parser->lines[i] != 0)
    {
      settings_report_problem (parser, parser->line,
                               "[%s] %s: given twice, expected once; first on line %d", section,
                               name, parser->lines[i]);
      return 1;
    }
  parser->lines[i] = parser->line;
  if (!setting_parse (&setting_keys[i], value, parser->out))
    {
      setting_describe_expected (&setting_keys[i], expected);
      settings_report_problem (parser, parser->line, "[%s] %s: expected %s, got \"%.*s\"", section,
                               name, expected, SETTINGS_SHOWN_VALUE_MAX, value);
    }
  return 1;
}

void
settings_set_defaults (struct settings *out)
{
  size_t i;

  memset (out, 0, sizeof *out);
  for (i = 0; i < n_setting_keys; i++)
    {
      if (setting_keys[i].default_text != NULL)
        INVARIANT (setting_parse (&setting_keys[i], setting_keys[i].default_text, out));
    }
  for (i = 0; i < LOG_MODULE_COUNT; i++)
    out->module_levels[i] = out->log_level;
}

int
settings_key_line (const struct settings_parser *parser, const char *section, const char *name)
{
  return parser->lines[find_key (section, name)];
}

static void
check_required (struct settings_parser *parser)
{
  char expected[SETTING_TEXT_SIZE];
  size_t i;

  for (i = 0; i < n_setting_keys; i++)
    {
      if (!setting_keys[i].required || parser->lines[i] != 0)
        continue;
      setting_describe_expected (&setting_keys[i], expected);
      settings_report_problem (parser, 0, "[%s] %s: missing, expected %s", setting_keys[i].section,
                               setting_keys[i].name, expected);
    }
}

/* Sets the log level of modules that have none in the file to the general level. */
static void
set_default_levels (struct settings_parser *parser)
{
  static const char *const modules[] = {
#define X(name, text) [LOG_MODULE_##name] = text,
    LOG_MODULE_LIST (X)
#undef X
  };
  int i;

  for (i = 0; i < LOG_MODULE_COUNT; i++)
    {
      if (settings_key_line (parser, "log", modules[i]) == 0)
        parser->out->module_levels[i] = parser->out->log_level;
    }
}

enum status
settings_parse (
    const char *name, const char *text, size_t length, struct settings *out, struct bytes *problems)
{
  struct settings_parser parser = {
    .name = name, .text = text, .left = length, .out = out, .problems = problems
  };
  int bad_line;

  INVARIANT (n_setting_keys <= SETTING_KEYS_MAX);
  settings_set_defaults (out);
  ini_use_stack = false;
  ini_max_line = SETTINGS_LINE_MAX_BYTES;
  ini_initial_alloc = SETTINGS_LINE_MAX_BYTES;
  ini_allow_multiline = false;
  bad_line = ini_parse_stream (read_line, &parser, handle_value, &parser);
  if (bad_line < 0)
    return status_fail (STATUS_NO_MEMORY, "%s: out of memory", name);
  if (bad_line > 0)
    settings_report_problem (&parser, bad_line,
                             "expected [section], key = value, or a comment after ';'");
  check_required (&parser);
  set_default_levels (&parser);
  if (parser.status == STATUS_OK)
    settings_check_rules (&parser);
  if (parser.status == STATUS_OK)
    return STATUS_OK;
  return status_fail (parser.status, "%s", parser.message);
}

/* Reads the whole file into a buffer that the caller frees; NULL with `status` set on an error. */
static char *
read_file (const char *path, size_t *length, enum status *status)
{
  FILE *file = fopen (path, "re");
  char *text;

  if (file == NULL)
    {
      *status = status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
      return NULL;
    }
  text = malloc (SETTINGS_FILE_MAX_BYTES + 1);
  *length = text == NULL ? 0 : fread (text, 1, SETTINGS_FILE_MAX_BYTES + 1, file);
  *status = STATUS_OK;
  if (text == NULL)
    *status = status_fail (STATUS_NO_MEMORY, "%s: out of memory", path);
  else if (ferror (file))
    *status = status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  else if (*length > SETTINGS_FILE_MAX_BYTES)
    *status = status_fail (STATUS_TOO_LARGE, "%s: expected a file of at most %u bytes", path,
                           SETTINGS_FILE_MAX_BYTES);
  fclose (file);
  if (*status == STATUS_OK)
    return text;
  free (text);
  return NULL;
}

enum status
settings_check (const char *path, struct settings *out, struct bytes *problems)
{
  enum status status;
  size_t length;
  char *text = read_file (path, &length, &status);

  if (text == NULL)
    {
      if (problems != NULL)
        bytes_append_format (problems, "%s\n", status_message ());
      return status;
    }
  status = settings_parse (path, text, length, out, problems);
  free (text);
  return status;
}

enum status
settings_load (const char *path, struct settings *out)
{
  return settings_check (path, out, NULL);
}

void
settings_write_table (struct bytes *out)
{
  char expected[SETTING_TEXT_SIZE];
  const char *section = "";
  size_t i;

  for (i = 0; i < n_setting_keys; i++)
    {
      const struct setting_key *key = &setting_keys[i];
      const char *default_text = key->default_text == NULL ? "" : key->default_text;

      if (strcmp (section, key->section) != 0)
        bytes_append_format (
            out, "%s## [%s]\n\n| key | expects | default | what it sets |\n|---|---|---|---|\n",
            i == 0 ? "" : "\n", key->section);
      section = key->section;
      setting_describe_expected (key, expected);
      bytes_append_format (out, "| `%s` | %s | %s | %s |\n", key->name, expected,
                           key->required ? "required"
                                         : (default_text[0] == '\0' ? "none" : default_text),
                           key->help);
    }
}
