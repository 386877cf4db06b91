/* The SSE line decoder. */
#include "sse.h"
#include "text.h"
#include <string.h>

void
sse_init (struct sse_decoder *decoder, void *parent, size_t max_event_bytes)
{
  bytes_init (&decoder->line, parent);
  bytes_init (&decoder->data, parent);
  decoder->name[0] = '\0';
  decoder->max_event_bytes = max_event_bytes;
  decoder->skipped_bytes = 0;
}

void
sse_clear (struct sse_decoder *decoder)
{
  bytes_clear (&decoder->line);
  bytes_clear (&decoder->data);
  decoder->name[0] = '\0';
  decoder->skipped_bytes = 0;
}

/* The value of "field: value" when `line` has that field, else NULL. */
static const char *
field_value (const char *line, const char *field)
{
  size_t length = strlen (field);

  if (strncmp (line, field, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return *line == ' ' ? line + 1 : line;
}

static enum status
end_event (struct sse_decoder *decoder, struct sse_sink *sink)
{
  struct bytes data = decoder->data;
  char name[SSE_NAME_SIZE];
  bool go_on;

  text_copy_truncated (name, sizeof name, decoder->name);
  decoder->name[0] = '\0';
  /* The newline of the last line is not part of the data. */
  data.data[--data.length] = '\0';
  go_on = sink->ops->event (sink, name, data.data, data.length);
  if (!go_on)
    return STATUS_CANCELLED;
  bytes_consume (&decoder->data, decoder->data.length);
  decoder->skipped_bytes = 0;
  return STATUS_OK;
}

/* Such a line holds no memory, so only this limit ends an endless run of them. */
static enum status
skip_line (struct sse_decoder *decoder, size_t length)
{
  decoder->skipped_bytes += length + 1;
  if (decoder->skipped_bytes > SSE_SKIPPED_BYTES_MAX)
    return status_fail (STATUS_TOO_LARGE, "over %u bytes without an event", SSE_SKIPPED_BYTES_MAX);
  return STATUS_OK;
}

static enum status
process_line (struct sse_decoder *decoder, const char *line, struct sse_sink *sink)
{
  const char *value;

  if (line[0] == '\0' && decoder->data.length > 0)
    return end_event (decoder, sink);
  if (line[0] == '\0')
    decoder->name[0] = '\0';
  value = field_value (line, "event");
  if (value != NULL)
    text_copy_truncated (decoder->name, sizeof decoder->name, value);
  value = field_value (line, "data");
  if (value == NULL)
    return skip_line (decoder, strlen (line));
  bytes_append_text (&decoder->data, value);
  bytes_append (&decoder->data, "\n", 1);
  return STATUS_OK;
}

static enum status
check_bounds (const struct sse_decoder *decoder, size_t more)
{
  if (bytes_has_failed (&decoder->line) || bytes_has_failed (&decoder->data))
    return status_fail (STATUS_NO_MEMORY, "no memory for an event");
  if (decoder->line.length + decoder->data.length + more > decoder->max_event_bytes)
    return status_fail (STATUS_TOO_LARGE, "an event of over %zu bytes", decoder->max_event_bytes);
  return STATUS_OK;
}

enum status
sse_feed (struct sse_decoder *decoder, const void *data, size_t length, struct sse_sink *sink)
{
  const char *at = data;
  const char *end = at + length;

  while (at < end)
    {
      const char *newline = memchr (at, '\n', (size_t) (end - at));
      size_t part = (size_t) ((newline != NULL ? newline : end) - at);
      enum status status = check_bounds (decoder, part);

      if (status != STATUS_OK)
        return status;
      bytes_append (&decoder->line, at, part);
      status = check_bounds (decoder, 0);
      if (status != STATUS_OK)
        return status;
      at += part;
      if (newline == NULL)
        break;
      at++;
      if (decoder->line.length > 0 && decoder->line.data[decoder->line.length - 1] == '\r')
        decoder->line.data[--decoder->line.length] = '\0';
      status = process_line (decoder, decoder->line.length > 0 ? decoder->line.data : "", sink);
      if (status != STATUS_OK)
        return status;
      bytes_consume (&decoder->line, decoder->line.length);
    }
  return check_bounds (decoder, 0);
}
