/* Parses the body of an operator's request into a change of the store. */
#include "operator_body.h"
#include "resource_parse.h"
#include <stdlib.h>
#include <string.h>

static bool
set_fault (struct operator_fault *fault, int code, const char *field, const char *message)
{
  fault->code = code;
  text_copy_truncated (fault->field, sizeof fault->field, field);
  text_copy_truncated (fault->message, sizeof fault->message, message);
  return false;
}

/* Checks the nesting depth before parsing, because the JSON parser is recursive. */
static bool
nesting_is_within (const char *text, size_t length, int max)
{
  bool quoted = false;
  int depth = 0;
  size_t i;

  for (i = 0; i < length && depth <= max; i++)
    {
      if (quoted && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        quoted = !quoted;
      else if (!quoted && (text[i] == '{' || text[i] == '['))
        depth++;
      else if (!quoted && (text[i] == '}' || text[i] == ']'))
        depth--;
    }
  return depth <= max;
}

/* Accepts a number or a decimal string, the form that other resource APIs use. */
static bool
read_version (const json_t *value, uint64_t *out)
{
  const char *text = json_string_value (value);
  char *end = NULL;

  if (json_is_integer (value) && json_integer_value (value) >= 0)
    {
      *out = (uint64_t) json_integer_value (value);
      return true;
    }
  if (text == NULL || text[0] < '0' || text[0] > '9')
    return false;
  *out = strtoull (text, &end, 10);
  return *end == '\0';
}

static bool
read_metadata (const struct operator_request *request,
               const json_t *metadata,
               struct operator_body *out,
               struct operator_fault *fault)
{
  const json_t *version = json_object_get (metadata, "resourceVersion");
  const json_t *name = json_object_get (metadata, "name");

  if (metadata != NULL && !json_is_object (metadata))
    return set_fault (fault, 400, "metadata", "expected an object");
  if (name != NULL
      && (!json_is_string (name) || strcmp (json_string_value (name), request->name) != 0))
    return set_fault (fault, 400, "metadata.name", "differs from the name in the path");
  if (version == NULL)
    return true;
  out->has_version = true;
  if (!read_version (version, &out->version))
    return set_fault (fault, 400, "metadata.resourceVersion", "expected a whole number");
  return true;
}

static bool
check_fields (const struct operator_request *request, json_t *root, struct operator_fault *fault)
{
  const json_t *kind = json_object_get (root, "kind");
  const char *key;
  json_t *value;

  json_object_foreach (root, key, value)
    if (strcmp (key, "kind") != 0 && strcmp (key, "metadata") != 0 && strcmp (key, "spec") != 0
        && strcmp (key, "status") != 0)
      return set_fault (fault, 400, key, "unknown field");
  if (kind != NULL
      && (!json_is_string (kind)
          || strcmp (json_string_value (kind), resource_kind_plural (request->kind)) != 0))
    return set_fault (fault, 400, "kind", "differs from the kind in the path");
  if (!json_is_object (json_object_get (root, "spec")))
    return set_fault (fault, 400, "spec", "expected an object");
  return true;
}

bool
operator_body_read (const struct operator_request *request,
                    struct operator_body *out,
                    struct operator_fault *fault)
{
  const struct http_exchange *exchange = request->exchange;
  json_error_t error;
  json_t *root;
  bool valid;

  memset (out, 0, sizeof *out);
  if (!nesting_is_within (exchange->body, exchange->body_length, OPERATOR_JSON_DEPTH))
    return set_fault (fault, 400, "", "the JSON nests too deep");
  root = json_loadb (exchange->body, exchange->body_length, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    return set_fault (fault, 400, "", error.text);
  valid = json_is_object (root) || set_fault (fault, 400, "", "expected an object");
  valid = valid && check_fields (request, root, fault)
          && read_metadata (request, json_object_get (root, "metadata"), out, fault);
  if (valid)
    out->spec = json_incref (json_object_get (root, "spec"));
  json_decref (root);
  return valid;
}

bool
operator_body_check (const json_t *spec,
                     void *parent,
                     struct store_change *change,
                     struct operator_fault *fault)
{
  union resource_spec parsed;
  struct resource_problem problem;
  char *text;

  if (resource_parse (change->kind, change->name, spec, &parsed, &problem) != STATUS_OK)
    return set_fault (fault, 400, problem.field, status_message ());
  text = json_dumps (spec, JSON_COMPACT | JSON_SORT_KEYS);
  change->text = text == NULL ? NULL : talloc_strdup (parent, text);
  free (text);
  if (change->text == NULL)
    return set_fault (fault, 500, "", "out of memory");
  change->length = strlen (change->text);
  change->n_references = resource_references (change->kind, &parsed, change->references);
  return true;
}

json_t *
operator_merge_patch (json_t *target, json_t *patch)
{
  const char *key;
  json_t *value;

  if (!json_is_object (patch))
    {
      json_decref (target);
      return patch;
    }
  if (!json_is_object (target))
    {
      json_decref (target);
      target = json_object ();
    }
  json_object_foreach (patch, key, value)
    {
      json_t *old = json_object_get (target, key);

      if (json_is_null (value))
        json_object_del (target, key);
      else
        json_object_set_new (
            target, key,
            operator_merge_patch (old == NULL ? json_object () : json_deep_copy (old),
                                  json_deep_copy (value)));
    }
  json_decref (patch);
  return target;
}
