/* HTTP/1.1 header fields: lookup, classification and output. */
#include "h1.h"
#include <string.h>
#include <strings.h>

const char *
h1_field_value (const struct h1_head *head, const char *name)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

uint32_t
h1_count_fields (const struct h1_head *head, const char *name)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      n++;
  return n;
}

/* Is `name` one of the comma-separated words of `list`? */
static bool
is_listed (const char *list, const char *name)
{
  size_t length = strlen (name);

  while (*list != '\0')
    {
      size_t word;

      list += strspn (list, ", \t");
      word = strcspn (list, ", \t");
      if (word == length && strncasecmp (list, name, length) == 0)
        return true;
      list += word;
    }
  return false;
}

bool
h1_is_hop_by_hop (const struct h1_head *head, const char *name)
{
  static const char *const names[] = {
    "connection",          "keep-alive", "proxy-connection",   "te",     "trailer",
    "transfer-encoding",   "upgrade",    "proxy-authenticate", "expect", "content-length",
    "proxy-authorization",
  };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcasecmp (names[i], name) == 0)
      return true;
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (head->fields[i].name, "connection") == 0
        && is_listed (head->fields[i].value, name))
      return true;
  return false;
}

bool
h1_is_event_stream (const struct h1_head *head)
{
  static const char events[] = "text/event-stream";
  const char *type = h1_field_value (head, "content-type");
  size_t length = sizeof events - 1;

  if (type == NULL || strncasecmp (type, events, length) != 0)
    return false;
  return type[length] == '\0' || type[length] == ';' || type[length] == ' ';
}

void
h1_write_field (struct bytes *out, const char *name, const char *value)
{
  bytes_append_text (out, name);
  bytes_append (out, ": ", 2);
  bytes_append_text (out, value);
  bytes_append (out, "\r\n", 2);
}

const char *
h1_reason_phrase (unsigned status)
{
  switch (status)
    {
#define X(number, name, text)                                                                      \
  case number:                                                                                     \
    return #text;
      HTTP_STATUS_MAP (X)
#undef X
    default:
      return "Unknown";
    }
}
