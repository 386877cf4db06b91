/* Parsing and validation of the JSON bodies of the targets' calls. */
#include "target_body.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define CACHE_EVENTS_MAX 4096

/* Checked before the parser runs, whose own limit is far higher. */
bool
target_body_depth_is_within (const char *text, size_t length, uint32_t limit)
{
  uint32_t depth = 0;
  bool quoted = false;

  for (size_t i = 0; i < length; i++)
    {
      if (quoted && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        quoted = !quoted;
      else if (!quoted && (text[i] == '{' || text[i] == '[') && ++depth > limit)
        return false;
      else if (!quoted && (text[i] == '}' || text[i] == ']') && depth > 0)
        depth--;
    }
  return true;
}

static bool
fail (struct target_body_error *fault, const char *field, const char *message)
{
  /* Report the first fault only. */
  if (fault->message == NULL)
    *fault = (struct target_body_error){ .field = field, .message = message };
  return false;
}

static bool
name_is_valid (const char *text)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.";

  return text[0] != '\0' && strlen (text) < RESOURCE_NAME_SIZE
         && text[strspn (text, allowed)] == '\0';
}

static bool
copy_name (const json_t *value, char out[RESOURCE_NAME_SIZE])
{
  const char *text = json_string_value (value);

  return text != NULL && name_is_valid (text) && text_copy (out, RESOURCE_NAME_SIZE, text);
}

static bool
read_name (const json_t *body,
           const char *field,
           char out[RESOURCE_NAME_SIZE],
           struct target_body_error *fault)
{
  if (copy_name (json_object_get (body, field), out))
    return true;
  return fail (fault, field, "expected a name of 1 to 63 letters, digits, '-' and '.'");
}

static bool
read_address (const json_t *body, char out[RESOURCE_ADDRESS_SIZE], struct target_body_error *fault)
{
  const char *text = json_string_value (json_object_get (body, "address"));

  /* XXX: only the form is checked; an invalid IP address is found when connecting. */
  if (text != NULL && strchr (text, ':') != NULL
      && strspn (text, "0123456789abcdefABCDEF.:[]") == strlen (text)
      && text_copy (out, RESOURCE_ADDRESS_SIZE, text))
    return true;
  return fail (fault, "address", "expected \"ip:port\"");
}

bool
target_body_read_number (const json_t *body,
                         const char *field,
                         uint64_t max,
                         uint64_t *out,
                         struct target_body_error *fault)
{
  const json_t *value = json_object_get (body, field);
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < 0 || (uint64_t) number > max)
    return fail (fault, field, "expected a whole number in range");
  *out = (uint64_t) number;
  return true;
}

static bool
read_flag (const json_t *body, const char *field, bool *out, struct target_body_error *fault)
{
  const json_t *value = json_object_get (body, field);

  if (value != NULL && !json_is_boolean (value))
    return fail (fault, field, "expected true or false");
  *out = json_is_true (value);
  return true;
}

static bool
read_names (const json_t *body,
            const char *field,
            char out[][RESOURCE_NAME_SIZE],
            uint32_t *count,
            struct target_body_error *fault)
{
  const json_t *list = json_object_get (body, field);

  *count = 0;
  if (list == NULL)
    return true;
  if (!json_is_array (list) || json_array_size (list) > BOARD_MODELS_MAX)
    return fail (fault, field, "expected a list of at most 8 names");
  for (size_t i = 0; i < json_array_size (list); i++)
    if (!copy_name (json_array_get (list, i), out[i]))
      return fail (fault, field, "expected a list of names");
  *count = (uint32_t) json_array_size (list);
  return true;
}

static bool
read_kind (const json_t *body, enum stage_kind *out, struct target_body_error *fault)
{
  static const char *const kinds[] = {
#define X(name, text) [STAGE_##name] = text,
    STAGE_KIND_LIST (X)
#undef X
  };
  const char *text = json_string_value (json_object_get (body, "kind"));

  for (unsigned i = 0; text != NULL && i < STAGE_KIND_COUNT; i++)
    if (strcmp (text, kinds[i]) == 0)
      {
        *out = (enum stage_kind) i;
        return true;
      }
  return fail (fault, "kind", "expected encode, retrieve, rerank, generate or call");
}

bool
target_body_read_record (const json_t *body,
                         struct directory_record *out,
                         struct target_body_error *fault)
{
  uint64_t slots = 0;
  const char *version = json_string_value (json_object_get (body, "version"));

  memset (out, 0, sizeof *out);
  if (version != NULL && !text_copy (out->version, sizeof out->version, version))
    return fail (fault, "version", "expected at most 63 bytes");
  if (json_object_get (body, "slots") != NULL
      && !target_body_read_number (body, "slots", 65535, &slots, fault))
    return false;
  out->slots = (uint32_t) slots;
  return read_name (body, "name", out->name, fault) && read_name (body, "pool", out->pool, fault)
         && read_name (body, "domain", out->domain, fault) && read_kind (body, &out->kind, fault)
         && read_address (body, out->address, fault)
         && read_names (body, "models", out->models, &out->n_models, fault)
         && read_names (body, "adapters", out->adapters, &out->n_adapters, fault)
         && read_flag (body, "checks_orders", &out->checks_orders, fault)
         && read_flag (body, "reports_load", &out->reports_load, fault)
         && target_body_read_number (body, "incarnation", INT64_MAX, &out->incarnation, fault)
         && target_body_read_number (body, "sequence", INT64_MAX, &out->sequence, fault);
}

bool
target_body_read_key (const json_t *body,
                      bool with_sequence,
                      char name[RESOURCE_NAME_SIZE],
                      struct directory_key *out,
                      struct target_body_error *fault)
{
  *out = (struct directory_key){ .name = name };
  return read_name (body, "name", name, fault)
         && target_body_read_number (body, "incarnation", INT64_MAX, &out->incarnation, fault)
         && (!with_sequence
             || target_body_read_number (body, "sequence", INT64_MAX, &out->sequence, fault));
}

static bool
read_event (const json_t *from, struct directory_cache_event *out)
{
  const char *block = json_string_value (json_object_get (from, "block"));
  const json_t *stored = json_object_get (from, "stored");

  if (block == NULL || strlen (block) != 16 || strspn (block, "0123456789abcdefABCDEF") != 16
      || !json_is_boolean (stored))
    return false;
  out->block = strtoull (block, NULL, 16);
  out->stored = json_is_true (stored);
  return true;
}

struct directory_cache_event *
target_body_read_events (void *parent,
                         const json_t *body,
                         size_t *count,
                         struct target_body_error *fault)
{
  const json_t *list = json_object_get (body, "events");
  struct directory_cache_event *events;

  *count = json_array_size (list);
  if (!json_is_array (list) || *count > CACHE_EVENTS_MAX)
    {
      fail (fault, "events", "expected a list of at most 4096 events");
      return NULL;
    }
  events = talloc_array (parent, struct directory_cache_event, *count + 1);
  for (size_t i = 0; events != NULL && i < *count; i++)
    if (!read_event (json_array_get (list, i), &events[i]))
      {
        fail (fault, "events", "expected {\"block\": 16 hex digits, \"stored\": BOOL}");
        talloc_free (events);
        return NULL;
      }
  if (events == NULL)
    fail (fault, "events", "out of memory");
  return events;
}
