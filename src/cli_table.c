/* Prints objects as tables; each column is as wide as its widest cell. */
#include "cli_object.h"
#include "text.h"
#include <stdio.h>
#include <string.h>

#define COLUMNS_MAX 6
#define CELL_SIZE 96

struct column
{
  const char *title;
  const char *path; /* keys separated by dots; "[]" joins the elements of an array */
};

static const struct column columns[RESOURCE_KIND_COUNT][COLUMNS_MAX] = {
  [RESOURCE_PIPELINE] = { { "NAME", "metadata.name" },
                          { "DEADLINE-MS", "spec.deadlineMs" },
                          { "OBJECTIVE", "spec.objective" },
                          { "STAGES", "spec.stages[].name" },
                          { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_SERVICE] = { { "NAME", "metadata.name" },
                         { "DEADLINE-MS", "spec.deadlineMs" },
                         { "POOL", "spec.pool" },
                         { "REPEATABLE", "spec.repeatable" },
                         { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_POOL] = { { "NAME", "metadata.name" },
                      { "KIND", "spec.kind" },
                      { "COST-PER-SECOND", "spec.costPerSecond" },
                      { "SLOTS", "spec.slots" },
                      { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_ORGANISATION] = { { "NAME", "metadata.name" },
                              { "WEIGHT", "spec.weight" },
                              { "REQUESTS-PER-SECOND", "spec.requestsPerSecond" },
                              { "TOKENS-PER-SECOND", "spec.tokensPerSecond" },
                              { "CONCURRENCY", "spec.concurrency" },
                              { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_HOST] = { { "NAME", "metadata.name" },
                      { "DOMAIN", "spec.domain" },
                      { "REGION", "spec.region" },
                      { "ADDRESS", "spec.address" },
                      { "VOTER", "spec.voter" },
                      { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_OPERATOR] = { { "NAME", "metadata.name" },
                          { "ROLE", "spec.role" },
                          { "VERSION", "metadata.resourceVersion" } },
  [RESOURCE_ASSIGNMENT] = { { "NAME", "metadata.name" },
                            { "POOL", "spec.pool" },
                            { "TARGET", "spec.target" },
                            { "MODELS", "spec.models[]" },
                            { "ROLE", "spec.role" },
                            { "VERSION", "metadata.resourceVersion" } },
};

static void
append_cell (char *out, const char *text)
{
  size_t used = strlen (out);

  text_copy_truncated (out + used, CELL_SIZE - used, text);
}

static void
append_value (const json_t *value, char *out)
{
  char number[32];

  if (json_is_string (value))
    append_cell (out, json_string_value (value));
  else if (json_is_boolean (value))
    append_cell (out, json_is_true (value) ? "yes" : "no");
  else if (json_is_number (value))
    {
      snprintf (number, sizeof number, "%.15g", json_number_value (value));
      append_cell (out, number);
    }
  else
    append_cell (out, "-");
}

static void
append_path (const json_t *value, const char *path, char *out)
{
  size_t length = strcspn (path, ".[");
  char key[RESOURCE_NAME_SIZE];
  size_t i;

  if (path[0] == '\0')
    {
      append_value (value, out);
      return;
    }
  if (strncmp (path, "[]", 2) == 0)
    {
      for (i = 0; i < json_array_size (value); i++)
        {
          append_cell (out, i == 0 ? "" : ",");
          append_path (json_array_get (value, i), path + 2 + (path[2] == '.'), out);
        }
      if (json_array_size (value) == 0)
        append_cell (out, "-");
      return;
    }
  snprintf (key, sizeof key, "%.*s", (int) length, path);
  path += length;
  append_path (json_object_get (value, key), path + (path[0] == '.'), out);
}

static void
cell_text (const struct column *column, const json_t *object, char out[CELL_SIZE])
{
  out[0] = '\0';
  append_path (object, column->path, out);
}

static void
find_widths (const struct column *shown, const json_t *items, int widths[COLUMNS_MAX])
{
  char cell[CELL_SIZE];
  size_t i;
  int c;

  for (c = 0; c < COLUMNS_MAX && shown[c].title != NULL; c++)
    {
      widths[c] = (int) strlen (shown[c].title);
      for (i = 0; i < json_array_size (items); i++)
        {
          cell_text (&shown[c], json_array_get (items, i), cell);
          if ((int) strlen (cell) > widths[c])
            widths[c] = (int) strlen (cell);
        }
    }
}

/* Prints a row, or the titles if `object` is NULL.  The last cell is not padded. */
static void
print_row (const struct column *shown, const int widths[COLUMNS_MAX], const json_t *object)
{
  char cell[CELL_SIZE];
  int c;

  for (c = 0; c < COLUMNS_MAX && shown[c].title != NULL; c++)
    {
      bool last = c + 1 == COLUMNS_MAX || shown[c + 1].title == NULL;

      if (object == NULL)
        text_copy_truncated (cell, sizeof cell, shown[c].title);
      else
        cell_text (&shown[c], object, cell);
      printf ("%-*s%s", last ? 0 : widths[c], cell, last ? "\n" : "  ");
    }
}

void
cli_print_table (enum resource_kind kind, const json_t *items)
{
  int widths[COLUMNS_MAX] = { 0 };
  size_t i;

  find_widths (columns[kind], items, widths);
  print_row (columns[kind], widths, NULL);
  for (i = 0; i < json_array_size (items); i++)
    print_row (columns[kind], widths, json_array_get (items, i));
}
