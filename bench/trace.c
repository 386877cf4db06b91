/* Reads and writes traces as JSON lines.  docs/TRACES.md describes the format. */
#include "trace.h"
#include "text.h"
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define LINES_MAX 1000000

static bool
read_text (const json_t *line, const char *key, char *out, size_t size)
{
  const char *text = json_string_value (json_object_get (line, key));

  return text && text[0] && text_copy (out, size, text);
}

static bool
read_number (const json_t *line, const char *key, int64_t max, int64_t *out)
{
  const json_t *value = json_object_get (line, key);

  if (!json_is_integer (value))
    return false;
  *out = json_integer_value (value);
  return *out >= 0 && *out <= max;
}

static bool
read_u32 (const json_t *line, const char *key, uint32_t *out)
{
  int64_t number = 0;

  if (!read_number (line, key, UINT32_MAX, &number))
    return false;
  *out = (uint32_t) number;
  return true;
}

static bool
read_flag (const json_t *line, const char *key, bool *out)
{
  const json_t *value = json_object_get (line, key);

  *out = json_is_true (value);
  return json_is_boolean (value);
}

static bool
read_request (const json_t *line, struct trace_request *out)
{
  return read_number (line, "at_us", INT64_MAX, &out->at)
         && read_text (line, "id", out->id, sizeof out->id)
         && read_text (line, "organisation", out->organisation, sizeof out->organisation)
         && read_text (line, "pipeline", out->pipeline, sizeof out->pipeline)
         && read_flag (line, "service", &out->service)
         && read_flag (line, "repeatable", &out->repeatable)
         && read_u32 (line, "priority", &out->priority)
         && read_number (line, "deadline_us", INT64_MAX, &out->deadline)
         && read_u32 (line, "input_tokens", &out->input_tokens)
         && read_u32 (line, "output_tokens", &out->output_tokens)
         && read_u32 (line, "document", &out->document)
         && read_u32 (line, "prefix_tokens", &out->prefix_tokens)
         && out->prefix_tokens <= out->input_tokens;
}

static enum status
load_line (struct trace *trace, const char *path, const char *text, uint32_t number)
{
  struct trace_request request = { 0 };
  json_error_t error;
  json_t *line;
  bool valid;

  line = json_loads (text, JSON_REJECT_DUPLICATES, &error);
  if (!line)
    return status_fail (STATUS_MALFORMED, "%s:%u: %s", path, number, error.text);
  valid = read_request (line, &request);
  json_decref (line);
  if (!valid)
    return status_fail (STATUS_MALFORMED, "%s:%u: a field is missing or invalid", path, number);
  if (trace->count > 0 && request.at < trace->requests[trace->count - 1].at)
    return status_fail (STATUS_MALFORMED, "%s:%u: at_us is less than on the previous line", path,
                        number);
  if (trace->count >= LINES_MAX)
    return status_fail (STATUS_TOO_LARGE, "%s: more than %d lines", path, LINES_MAX);
  if ((trace->count & (trace->count - 1)) == 0)
    trace->requests = talloc_realloc (trace, trace->requests, struct trace_request,
                                      trace->count ? 2 * trace->count : 1);
  if (!trace->requests)
    return status_fail (STATUS_NO_MEMORY, "out of memory reading %s", path);
  trace->requests[trace->count++] = request;
  return STATUS_OK;
}

struct trace *
trace_load (void *parent, const char *path)
{
  struct trace *trace = talloc_zero (parent, struct trace);
  enum status status = STATUS_OK;
  uint32_t number = 0;
  char *text = NULL;
  size_t size = 0;
  FILE *file;

  file = fopen (path, "re");
  if (!file)
    {
      status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
      talloc_free (trace);
      return NULL;
    }
  while (status == STATUS_OK && getline (&text, &size, file) > 0)
    status = load_line (trace, path, text, ++number);
  free (text);
  fclose (file);
  if (status != STATUS_OK)
    {
      talloc_free (trace);
      return NULL;
    }
  return trace;
}

static bool
write_request (const struct trace_request *request, FILE *file)
{
  json_t *line;
  bool written;

  line = json_pack ("{s:I, s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I}", "at_us",
                    (json_int_t) request->at, "id", request->id, "organisation",
                    request->organisation, "pipeline", request->pipeline, "service",
                    request->service, "repeatable", request->repeatable, "priority",
                    (json_int_t) request->priority, "deadline_us", (json_int_t) request->deadline,
                    "input_tokens", (json_int_t) request->input_tokens, "output_tokens",
                    (json_int_t) request->output_tokens, "document", (json_int_t) request->document,
                    "prefix_tokens", (json_int_t) request->prefix_tokens);
  if (!line)
    return false;
  written = json_dumpf (line, file, JSON_COMPACT) == 0 && fputc ('\n', file) != EOF;
  json_decref (line);
  return written;
}

enum status
trace_save (const struct trace *trace, const char *path)
{
  bool written = true;
  FILE *file;

  file = fopen (path, "we");
  if (!file)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  for (uint32_t i = 0; i < trace->count && written; i++)
    written = write_request (&trace->requests[i], file);
  if (fclose (file) != 0 || !written)
    return status_fail (STATUS_IO, "%s: writing failed", path);
  return STATUS_OK;
}
