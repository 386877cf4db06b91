/* Parsing and validation of callers' requests. */
#include "caller.h"
#include "stage.h"
#include "text.h"
#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static enum status reject (struct caller_error *error,
                           int code,
                           const char *field,
                           const char *format,
                           ...) __attribute__ ((format (printf, 4, 5)));

static enum status
reject (struct caller_error *error, int code, const char *field, const char *format, ...)
{
  va_list args;

  error->code = code;
  error->field = field;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return STATUS_INVALID;
}

bool
caller_id_is_valid (const char *id)
{
  size_t length = strlen (id);
  size_t i;

  if (length == 0 || length >= CALLER_ID_SIZE)
    return false;
  for (i = 0; i < length; i++)
    {
      if (id[i] <= ' ' || id[i] > '~')
        return false;
    }
  return true;
}

/* Extracts NAME from "PREFIX/NAME/requests". */
static enum status
read_path (const char *path, struct caller_request *out, struct caller_error *error)
{
  static const char last[] = "/requests";
  const char *prefix;
  const char *name;
  const char *end;

  out->service = strncmp (path, CALLER_PREFIX_SERVICES, strlen (CALLER_PREFIX_SERVICES)) == 0;
  prefix = out->service ? CALLER_PREFIX_SERVICES : CALLER_PREFIX_PIPELINES;
  if (strncmp (path, prefix, strlen (prefix)) != 0 || path[strlen (prefix)] != '/')
    return reject (error, 404, "path", "expected %s/NAME/requests", prefix);
  name = path + strlen (prefix) + 1;
  end = strchr (name, '/');
  if (end == NULL || end == name || strcmp (end, last) != 0)
    return reject (error, 404, "path", "expected %s/NAME/requests", prefix);
  if ((size_t) (end - name) >= sizeof out->pipeline)
    return reject (error, 404, "path", "a name has at most %d characters", RESOURCE_NAME_SIZE - 1);
  memcpy (out->pipeline, name, (size_t) (end - name));
  out->pipeline[end - name] = '\0';
  return STATUS_OK;
}

/* Reads an integer from `min` to `max`; `out` is unchanged when the header is absent. */
static enum status
read_number (const struct http_exchange *exchange,
             const char *name,
             int64_t min,
             int64_t max,
             int64_t *out,
             struct caller_error *error)
{
  const char *text = http_header (exchange, name);
  char *end;
  long long value;

  if (text == NULL)
    return STATUS_OK;
  errno = 0;
  value = strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0' || value < min || value > max)
    return reject (error, 400, name, "expected a whole number from %lld to %lld", (long long) min,
                   (long long) max);
  *out = value;
  return STATUS_OK;
}

static enum status
read_headers (const struct http_exchange *exchange,
              struct caller_request *out,
              struct caller_error *error)
{
  const char *id = http_header (exchange, "x-request-id");
  const char *repeatable = http_header (exchange, "x-repeatable");
  const char *accept = http_header (exchange, "accept");
  int64_t window_ms = 0;
  int64_t priority = -1;

  if (id != NULL && !caller_id_is_valid (id))
    return reject (error, 400, "x-request-id", "expected 1 to %d printable characters, no spaces",
                   CALLER_ID_SIZE - 1);
  if (id != NULL)
    text_copy (out->id, sizeof out->id, id);
  if (repeatable != NULL && strcmp (repeatable, "yes") != 0 && strcmp (repeatable, "no") != 0)
    return reject (error, 400, "x-repeatable", "expected yes or no");
  if (repeatable != NULL)
    out->repeatable = repeatable[0] == 'y' ? CALLER_YES : CALLER_NO;
  if (read_number (exchange, "x-deadline-ms", 1, INT32_MAX, &window_ms, error) != STATUS_OK
      || read_number (exchange, "x-priority", 0, 9, &priority, error) != STATUS_OK)
    return STATUS_INVALID;
  out->timeout = window_ms * USEC_PER_MSEC;
  out->priority = (int) priority;
  out->stream = accept != NULL && strstr (accept, "text/event-stream") != NULL;
  return STATUS_OK;
}

static enum status
read_pipeline_body (json_t *body, struct caller_request *out, struct caller_error *error)
{
  json_t *input = json_object_get (body, "input");
  json_t *max_tokens = json_object_get (body, "max_tokens");
  const char *name;
  json_t *value;

  if (!json_is_object (body))
    return reject (error, 400, "body", "expected an object");
  if (json_string_length (input) == 0)
    return reject (error, 400, "input", "expected a text that is not empty");
  if (max_tokens != NULL
      && (!json_is_integer (max_tokens) || json_integer_value (max_tokens) < 1
          || json_integer_value (max_tokens) > CALLER_TOKENS_MAX))
    return reject (error, 400, "max_tokens", "expected a whole number from 1 to %d",
                   CALLER_TOKENS_MAX);
  json_object_foreach (body, name, value)
    {
      if (strcmp (name, "input") != 0 && strcmp (name, "max_tokens") != 0)
        return reject (error, 400, "body", "unknown field '%.40s'", name);
    }
  out->max_tokens = (uint32_t) json_integer_value (max_tokens);
  out->input = json_incref (input);
  return STATUS_OK;
}

static enum status
read_body (const struct http_exchange *exchange,
           uint32_t depth,
           struct caller_request *out,
           struct caller_error *error)
{
  enum status status;
  json_t *body;

  if (out->service)
    {
      status = stage_check_json (exchange->body, exchange->body_length, depth);
      return status == STATUS_OK ? status : reject (error, 400, "body", "%s", status_message ());
    }
  body = stage_parse_json (exchange->body, exchange->body_length, depth);
  if (body == NULL)
    return reject (error, 400, "body", "%s", status_message ());
  status = read_pipeline_body (body, out, error);
  json_decref (body);
  return status;
}

enum status
caller_parse_request (const struct http_exchange *exchange,
                      const struct settings *settings,
                      struct caller_request *out,
                      struct caller_error *error)
{
  *out = (struct caller_request){ .priority = -1 };
  if (read_path (exchange->path, out, error) != STATUS_OK)
    return STATUS_INVALID;
  if (strcmp (exchange->method, "POST") != 0)
    return reject (error, 405, "method", "expected POST");
  if (read_headers (exchange, out, error) != STATUS_OK)
    return STATUS_INVALID;
  return read_body (exchange, settings->json_depth, out, error);
}

void
caller_clear (struct caller_request *request)
{
  json_decref (request->input);
  request->input = NULL;
}
