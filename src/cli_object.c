/* Reads resource files and reports the responses of hosts. */
#include "cli_object.h"
#include "text.h"
#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

#define SUFFIX ".json"
#define KIND_LIST_SIZE 160
#define FILE_PATH_SIZE 4096

static const char *const plurals[] = {
#define X(name, plural) [RESOURCE_##name] = plural,
  RESOURCE_KIND_LIST (X)
#undef X
};

bool
cli_kind_find (const char *plural, enum resource_kind *out)
{
  int kind;

  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    {
      if (strcmp (plurals[kind], plural) == 0)
        {
          *out = (enum resource_kind) kind;
          return true;
        }
    }
  return false;
}

void
cli_list_kinds (char *out, size_t size)
{
  size_t used = 0;
  int kind;

  for (kind = 0; kind < RESOURCE_KIND_COUNT && used < size; kind++)
    used +=
        (size_t) snprintf (out + used, size - used, "%s%s", kind == 0 ? "" : ", ", plurals[kind]);
}

enum resource_kind
cli_parse_kind_argument (const char *text, struct argp_state *argp)
{
  enum resource_kind kind = RESOURCE_KIND_COUNT;
  char list[KIND_LIST_SIZE];

  if (text != NULL && cli_kind_find (text, &kind))
    return kind;
  cli_list_kinds (list, sizeof list);
  if (text == NULL)
    argp_error (argp, "expected a kind: one of %s", list);
  else
    argp_error (argp, "expected one of %s, got \"%s\"", list, text);
  return kind;
}

/* ---- files ---- */

static enum status
add_object (struct cli_objects *objects, json_t *json, const char *file, size_t position)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));
  const char *name =
      json_string_value (json_object_get (json_object_get (json, "metadata"), "name"));
  struct cli_object *object;
  char list[KIND_LIST_SIZE];

  objects->items = talloc_realloc (NULL, objects->items, struct cli_object, objects->count + 1);
  if (objects->items == NULL)
    return status_fail (STATUS_NO_MEMORY, "%s: out of memory", file);
  object = &objects->items[objects->count];
  *object = (struct cli_object){ .json = NULL };
  if (kind == NULL || !cli_kind_find (kind, &object->kind))
    {
      cli_list_kinds (list, sizeof list);
      return status_fail (STATUS_INVALID, "%s: object %zu: kind: expected one of %s, got %s", file,
                          position, list, kind == NULL ? "none" : kind);
    }
  if (name == NULL || name[0] == '\0' || strchr (name, '/') != NULL
      || !text_copy (object->name, sizeof object->name, name))
    return status_fail (STATUS_INVALID,
                        "%s: object %zu (%s): metadata.name: expected a name of at most %d "
                        "letters, digits, '-' and '.'",
                        file, position, kind, RESOURCE_NAME_SIZE - 1);
  object->json = json_incref (json);
  objects->count++;
  return STATUS_OK;
}

static enum status
read_file (struct cli_objects *objects, const char *path)
{
  json_error_t error;
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  enum status status = STATUS_OK;
  size_t i;

  if (root == NULL && error.line < 0)
    return status_fail (STATUS_IO, "%s", error.text);
  if (root == NULL)
    return status_fail (STATUS_INVALID, "%s:%d:%d: %s", path, error.line, error.column, error.text);
  if (json_is_object (root))
    status = add_object (objects, root, path, 1);
  else
    {
      for (i = 0; i < json_array_size (root) && status == STATUS_OK; i++)
        status = add_object (objects, json_array_get (root, i), path, i + 1);
    }
  json_decref (root);
  return status;
}

static int
is_json_file (const struct dirent *entry)
{
  size_t length = strlen (entry->d_name);

  return entry->d_name[0] != '.' && length > strlen (SUFFIX)
         && strcmp (entry->d_name + length - strlen (SUFFIX), SUFFIX) == 0;
}

static enum status
read_folder (struct cli_objects *objects, const char *path)
{
  struct dirent **entries;
  int n = scandir (path, &entries, is_json_file, alphasort);
  char file[FILE_PATH_SIZE];
  enum status status = STATUS_OK;
  int i;

  if (n < 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  for (i = 0; i < n; i++)
    {
      snprintf (file, sizeof file, "%s/%s", path, entries[i]->d_name);
      if (status == STATUS_OK)
        status = read_file (objects, file);
      free (entries[i]);
    }
  free (entries);
  return status;
}

enum status
cli_objects_read (void *parent, const char *path, struct cli_objects *out)
{
  struct stat about;
  enum status status;

  *out = (struct cli_objects){ .items = NULL };
  if (stat (path, &about) != 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  status = S_ISDIR (about.st_mode) ? read_folder (out, path) : read_file (out, path);
  talloc_steal (parent, out->items);
  if (status == STATUS_OK && out->count == 0)
    status = status_fail (STATUS_INVALID, "%s: expected at least one object", path);
  if (status != STATUS_OK)
    cli_objects_clear (out);
  return status;
}

void
cli_objects_clear (struct cli_objects *objects)
{
  size_t i;

  for (i = 0; i < objects->count; i++)
    json_decref (objects->items[i].json);
  talloc_free (objects->items);
  *objects = (struct cli_objects){ .items = NULL };
}

/* ---- answers ---- */

enum cli_exit
cli_report_error (const struct cli_answer *answer, const char *about)
{
  json_t *body = answer->body.data == NULL
                     ? NULL
                     : json_loadb (answer->body.data, answer->body.length, 0, NULL);
  const json_t *error = json_object_get (body, "error");
  const char *field = json_string_value (json_object_get (error, "field"));
  const char *message = json_string_value (json_object_get (error, "message"));

  /* Many messages already begin with the field's name; print it once. */
  if (field != NULL && message != NULL && strncmp (message, field, strlen (field)) == 0)
    field = NULL;
  fprintf (stderr, "%s: %s%s%s (%d from %s)\n", about, field == NULL ? "" : field,
           field == NULL ? "" : ": ", message == NULL ? "refused" : message, answer->code,
           answer->host);
  json_decref (body);
  switch (answer->code)
    {
    case 401:
    case 403:
      return CLI_EXIT_DENIED;
    case 404:
      return CLI_EXIT_NOT_FOUND;
    case 409:
      return CLI_EXIT_CONFLICT;
    default:
      return CLI_EXIT_FAILED;
    }
}

enum cli_exit
cli_report_unreachable (void)
{
  fprintf (stderr, "%s\n", status_message ());
  return CLI_EXIT_UNREACHABLE;
}

json_t *
cli_answer_json (const struct cli_answer *answer)
{
  json_error_t error;
  json_t *json = json_loadb (answer->body.data == NULL ? "" : answer->body.data,
                             answer->body.length, JSON_REJECT_DUPLICATES, &error);

  if (json == NULL)
    fprintf (stderr, "%s: the response is not valid JSON: %s\n", answer->host, error.text);
  return json;
}

void
cli_print_json (const json_t *json, size_t flags)
{
  json_dumpf (json, stdout, flags | JSON_PRESERVE_ORDER);
  putchar ('\n');
}
