/* Helpers for HTTP exchanges, independent of the server implementation. */
#include "http.h"
#include "http_headers.h"
#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

const char *
http_header (const struct http_exchange *exchange, const char *name)
{
  return http_headers_find (exchange->headers, exchange->n_headers, name);
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  c = (char) tolower ((unsigned char) c);
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Percent-decode up to `end`; false when the result does not fit, an escape is invalid or a NUL is
 * encoded. */
static bool
decode (const char *text, const char *end, char *out, size_t out_size)
{
  size_t length = 0;

  for (; text < end; text++)
    {
      char c = *text;

      if (c == '+')
        c = ' ';
      else if (c == '%')
        {
          int high = end - text < 3 ? -1 : hex_digit (text[1]);
          int low = high < 0 ? -1 : hex_digit (text[2]);

          if (low < 0)
            return false;
          c = (char) (high * 16 + low);
          text += 2;
        }
      if (c == '\0' || length + 1 >= out_size)
        return false;
      out[length++] = c;
    }
  out[length] = '\0';
  return true;
}

bool
http_query (const struct http_exchange *exchange, const char *name, char *out, size_t out_size)
{
  size_t name_length = strlen (name);
  const char *at = exchange->query;

  while (*at != '\0')
    {
      const char *end = at + strcspn (at, "&");

      if ((size_t) (end - at) >= name_length && strncmp (at, name, name_length) == 0)
        {
          const char *value = at + name_length;

          if (value == end || *value == '=')
            return decode (value == end ? value : value + 1, end, out, out_size);
        }
      at = *end == '&' ? end + 1 : end;
    }
  return false;
}

void
http_reply_error (struct http_exchange *exchange, int code, const char *field, const char *message)
{
  static const struct http_field json_type = { "content-type", "application/json" };
  /* The message may quote bytes of the caller that are not valid UTF-8; then this is NULL. */
  json_t *body =
      json_pack ("{s:{s:i,s:s?,s:s}}", "error", "code", code, "field", field, "message", message);
  char *text;

  if (body == NULL)
    body = json_pack ("{s:{s:i,s:n,s:s}}", "error", "code", code, "field", "message",
                      "not valid UTF-8");
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  exchange->ops->reply (exchange, code, &json_type, 1, text != NULL ? text : "",
                        text != NULL ? strlen (text) : 0);
  free (text);
}
