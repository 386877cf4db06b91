/* The next order for a target. */
#include "order_plan.h"
#include "text.h"
#include <jansson.h>

static const char *const kinds[] = {
#define X(name, text) [ORDER_##name] = text,
  ORDER_KIND_LIST (X)
#undef X
};

const char *
order_kind_text (enum order_kind kind)
{
  return (unsigned) kind < ORDER_KIND_COUNT ? kinds[kind] : "unknown";
}

static bool
parse_names (const json_t *array, char (*names)[RESOURCE_NAME_SIZE], uint32_t *count)
{
  size_t i;

  *count = 0;
  if (array != NULL && !json_is_array (array))
    return false;
  for (i = 0; i < json_array_size (array) && i < ORDER_LOADED_MAX; i++)
    {
      const char *name = json_string_value (json_array_get (array, i));

      if (name == NULL || !text_copy (names[i], RESOURCE_NAME_SIZE, name))
        return false;
      *count = (uint32_t) i + 1;
    }
  return true;
}

static bool
parse_text (const json_t *value, char *out)
{
  out[0] = '\0';
  if (value == NULL || json_is_null (value))
    return true;
  return json_is_string (value) && text_copy (out, RESOURCE_NAME_SIZE, json_string_value (value));
}

enum status
order_state_parse (const char *text, size_t length, struct order_state *out)
{
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  bool good = json_is_object (root)
              && parse_names (json_object_get (root, "models"), out->models, &out->n_models)
              && parse_names (json_object_get (root, "adapters"), out->adapters, &out->n_adapters)
              && parse_text (json_object_get (root, "version"), out->version)
              && parse_text (json_object_get (root, "role"), out->role);

  out->fence = (uint64_t) json_integer_value (json_object_get (root, "fence"));
  out->incarnation = (uint64_t) json_integer_value (json_object_get (root, "incarnation"));
  json_decref (root);
  return good ? STATUS_OK : status_fail (STATUS_MALFORMED, "target's state cannot be read");
}

static bool
contains_name (const char (*names)[RESOURCE_NAME_SIZE], uint32_t count, const char *name)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

/* The first of `names` that is not among `others`; NULL when all are. */
static const char *
first_missing (const char (*names)[RESOURCE_NAME_SIZE],
               uint32_t count,
               const char (*others)[RESOURCE_NAME_SIZE],
               uint32_t n_others)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (!contains_name (others, n_others, names[i]))
      return names[i];
  return NULL;
}

static bool
set_step (struct order_step *out, enum order_kind kind, const char *value)
{
  out->kind = kind;
  text_copy_truncated (out->value, sizeof out->value, value);
  return true;
}

bool
order_next_step (const struct assignment_spec *wanted,
                 const struct order_state *state,
                 struct order_step *out)
{
  const char *name;

  if (wanted->version[0] != '\0' && strcmp (wanted->version, state->version) != 0)
    return set_step (out, ORDER_SET_VERSION, wanted->version);
  name = first_missing (wanted->models, wanted->n_models, state->models, state->n_models);
  if (name != NULL)
    return set_step (out, ORDER_LOAD_MODEL, name);
  name = first_missing (wanted->adapters, wanted->n_adapters, state->adapters, state->n_adapters);
  if (name != NULL)
    return set_step (out, ORDER_LOAD_ADAPTER, name);
  if (wanted->role[0] != '\0' && strcmp (wanted->role, state->role) != 0)
    return set_step (out, ORDER_SET_ROLE, wanted->role);
  name = first_missing (state->models, state->n_models, wanted->models, wanted->n_models);
  if (wanted->n_models > 0 && name != NULL)
    return set_step (out, ORDER_UNLOAD_MODEL, name);
  return false;
}
