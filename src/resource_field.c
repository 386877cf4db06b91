/* Reads JSON objects into structs, driven by tables of fields. */
#include "resource_field.h"
#include "text.h"
#include <math.h>
#include <sodium.h>

enum status
field_problem (struct resource_problem *problem, const char *path, const char *message)
{
  text_copy_truncated (problem->field, sizeof problem->field, path);
  return status_fail (STATUS_INVALID, "%s: %s", path, message);
}

static enum status
read_text (const struct field *field,
           const json_t *value,
           char *out,
           const char *path,
           struct resource_problem *problem)
{
  const char *text = json_string_value (value);

  if (text == NULL)
    return field_problem (problem, path, "expected a string");
  if (text[0] == '\0' && !field->required)
    {
      out[0] = '\0';
      return STATUS_OK;
    }
  if (field->type == FIELD_NAME && !resource_name_is_valid (text))
    return field_problem (problem, path, "expected 1 to 63 letters, digits, '-' and '.'");
  if (strlen (text) != json_string_length (value) || !text_copy (out, RESOURCE_ADDRESS_SIZE, text))
    return field_problem (problem, path, "text too long, or with a NUL in it");
  return STATUS_OK;
}

static enum status
read_number (const struct field *field,
             const json_t *value,
             void *out,
             const char *path,
             struct resource_problem *problem)
{
  double number = json_number_value (value);
  char message[96];

  if (!json_is_number (value) || (field->type != FIELD_NUMBER && !json_is_integer (value)))
    return field_problem (problem, path,
                          field->type == FIELD_NUMBER ? "expected a number"
                                                      : "expected a whole number");
  if (!isfinite (number) || number < field->min || number > field->max)
    {
      snprintf (message, sizeof message, "expected %.10g to %.10g", field->min, field->max);
      return field_problem (problem, path, message);
    }
  if (field->type == FIELD_COUNT)
    *(uint32_t *) out = (uint32_t) number;
  else if (field->type == FIELD_MSEC)
    *(int64_t *) out = (int64_t) number * USEC_PER_MSEC;
  else
    *(double *) out = number;
  return STATUS_OK;
}

static enum status
read_choice (const struct field *field,
             const json_t *value,
             int *out,
             const char *path,
             struct resource_problem *problem)
{
  const char *text = json_string_value (value);
  char message[128] = "expected one of";
  size_t length;
  int i;

  for (i = 0; text != NULL && field->texts[i] != NULL; i++)
    {
      if (strcmp (field->texts[i], text) != 0)
        continue;
      *out = i;
      return STATUS_OK;
    }
  for (i = 0; field->texts[i] != NULL; i++)
    {
      length = strlen (message);
      snprintf (message + length, sizeof message - length, " %s", field->texts[i]);
    }
  return field_problem (problem, path, message);
}

static enum status
read_field (const struct field *field,
            const json_t *value,
            void *out,
            const char *path,
            struct resource_problem *problem)
{
  switch (field->type)
    {
    case FIELD_NAME:
    case FIELD_TEXT:
      return read_text (field, value, out, path, problem);
    case FIELD_COUNT:
    case FIELD_NUMBER:
    case FIELD_MSEC:
      return read_number (field, value, out, path, problem);
    case FIELD_BOOL:
      if (!json_is_boolean (value))
        return field_problem (problem, path, "expected true or false");
      *(bool *) out = json_is_true (value);
      return STATUS_OK;
    case FIELD_CHOICE:
      return read_choice (field, value, out, path, problem);
    case FIELD_CUSTOM:
      break;
    }
  return field->read (value, out, path, problem);
}

/* Rejects unknown fields, since a misspelt optional field would otherwise count as absent. */
static enum status
reject_unknown_fields (const struct field *fields,
                       const json_t *object,
                       const char *path,
                       struct resource_problem *problem)
{
  const struct field *field;
  char inner[RESOURCE_FIELD_SIZE];
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *) object, key, value)
    {
      for (field = fields; field->name != NULL; field++)
        if (strcmp (field->name, key) == 0)
          break;
      if (field->name != NULL)
        continue;
      snprintf (inner, sizeof inner, "%s.%s", path, key);
      return field_problem (problem, inner, "unknown field");
    }
  return STATUS_OK;
}

enum status
fields_read (const struct field *fields,
             const json_t *object,
             void *out,
             const char *path,
             struct resource_problem *problem)
{
  const struct field *field;
  char inner[RESOURCE_FIELD_SIZE];
  enum status status;

  if (!json_is_object (object))
    return field_problem (problem, path, "expected an object");
  status = reject_unknown_fields (fields, object, path, problem);
  for (field = fields; status == STATUS_OK && field->name != NULL; field++)
    {
      const json_t *value = json_object_get (object, field->name);

      snprintf (inner, sizeof inner, "%s.%s", path, field->name);
      if (value != NULL)
        status = read_field (field, value, (char *) out + field->offset, inner, problem);
      else if (field->required)
        status = field_problem (problem, inner, "required field is missing");
    }
  return status;
}

enum status
field_names (const json_t *value,
             char (*names)[RESOURCE_NAME_SIZE],
             uint32_t *count,
             uint32_t max,
             const char *path,
             struct resource_problem *problem)
{
  char inner[RESOURCE_FIELD_SIZE];
  size_t i;

  if (!json_is_array (value))
    return field_problem (problem, path, "expected an array");
  if (json_array_size (value) > max)
    return field_problem (problem, path, "too many entries");
  for (i = 0; i < json_array_size (value); i++)
    {
      const char *text = json_string_value (json_array_get (value, i));

      snprintf (inner, sizeof inner, "%s[%zu]", path, i);
      if (text == NULL || !resource_name_is_valid (text))
        return field_problem (problem, inner, "expected 1 to 63 letters, digits, '-' and '.'");
      text_copy (names[i], RESOURCE_NAME_SIZE, text);
    }
  *count = (uint32_t) i;
  return STATUS_OK;
}

enum status
field_hash (const json_t *value,
            uint8_t out[RESOURCE_TOKEN_HASH_SIZE],
            const char *path,
            struct resource_problem *problem)
{
  const char *text = json_string_value (value);
  size_t length = 0;

  if (text == NULL || strlen (text) != 2 * (size_t) RESOURCE_TOKEN_HASH_SIZE
      || sodium_hex2bin (out, RESOURCE_TOKEN_HASH_SIZE, text, strlen (text), NULL, &length, NULL)
             != 0
      || length != RESOURCE_TOKEN_HASH_SIZE)
    return field_problem (problem, path, "expected the 64 hex digits of a token's hash");
  return STATUS_OK;
}
