/* Copies headers out of the lws header tables. */
#include "http_headers.h"
#include <ctype.h>
#include <libwebsockets.h>
#include <string.h>
#include <talloc.h>

#define HEADERS_MAX 64

/* bytes of ": " and CR LF */
#define HEADER_LINE_EXTRA 4

struct custom_header
{
  const char *name;
  const char *key; /* with the colon, as lws expects */
  int key_length;
};

static const struct custom_header custom_headers[] = {
#define X(text) { text, text ":", sizeof (text) },
  HTTP_CUSTOM_HEADER_LIST (X)
#undef X
};

/* Names of the headers known to lws, by token; NULL for tokens that are not header lines. */
static const char *known_names[WSI_TOKEN_COUNT];
static bool known_names_ready;

static void
make_known_names (void)
{
  static char names[WSI_TOKEN_COUNT][40];

  for (int token = 0; token < WSI_TOKEN_COUNT; token++)
    {
      const char *key = (const char *) lws_token_to_string ((enum lws_token_indexes) token);
      size_t length = key == NULL ? 0 : strlen (key);

      if (length < 2 || length > sizeof names[token] || key[length - 1] != ':'
          || !isalpha ((unsigned char) key[0]))
        continue;
      memcpy (names[token], key, length - 1);
      known_names[token] = names[token];
    }
  known_names_ready = true;
}

static enum status
add (struct http_headers *out, const char *name, char *value)
{
  if (value == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a header");
  if (out->count == HEADERS_MAX)
    return status_fail (STATUS_LIMIT, "more than %d headers", HEADERS_MAX);
  out->bytes += strlen (name) + strlen (value) + HEADER_LINE_EXTRA;
  out->fields[out->count++] = (struct http_field){ .name = name, .value = value };
  return STATUS_OK;
}

static enum status
copy_known (struct lws *wsi, struct http_headers *out)
{
  for (int token = 0; token < WSI_TOKEN_COUNT; token++)
    {
      enum lws_token_indexes index = (enum lws_token_indexes) token;
      int length = known_names[token] == NULL ? 0 : lws_hdr_total_length (wsi, index);
      char *value;
      enum status status;

      if (length <= 0)
        continue;
      value = talloc_zero_size (out->fields, (size_t) length + 1);
      if (value != NULL && lws_hdr_copy (wsi, value, length + 1, index) < 0)
        value[0] = '\0';
      status = add (out, known_names[token], value);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum status
copy_custom (struct lws *wsi, struct http_headers *out)
{
  for (size_t i = 0; i < sizeof custom_headers / sizeof custom_headers[0]; i++)
    {
      const struct custom_header *custom = &custom_headers[i];
      int length = lws_hdr_custom_length (wsi, custom->key, custom->key_length);
      char *value;
      enum status status;

      if (length <= 0)
        continue;
      value = talloc_zero_size (out->fields, (size_t) length + 1);
      if (value != NULL
          && lws_hdr_custom_copy (wsi, value, length + 1, custom->key, custom->key_length) < 0)
        value[0] = '\0';
      status = add (out, custom->name, value);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

enum status
http_headers_copy (void *parent, struct lws *wsi, struct http_headers *out)
{
  enum status status;

  if (!known_names_ready)
    make_known_names ();
  *out = (struct http_headers){ .fields = talloc_array (parent, struct http_field, HEADERS_MAX) };
  if (out->fields == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for headers");
  status = copy_known (wsi, out);
  return status != STATUS_OK ? status : copy_custom (wsi, out);
}

const char *
http_headers_find (const struct http_field *fields, size_t n_fields, const char *name)
{
  for (size_t i = 0; i < n_fields; i++)
    if (strcmp (fields[i].name, name) == 0)
      return fields[i].value;
  return NULL;
}

bool
http_header_text_is_valid (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char) *text < ' ' || *text == 0x7f)
      return false;
  return true;
}
