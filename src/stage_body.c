/* Bodies of calls to targets, and the result for the caller, by stage kind. */
#include "stage.h"
#include <inttypes.h>
#include <stdlib.h>

static const char *const paths[] = {
  [STAGE_ENCODE] = "/v1/embeddings", [STAGE_RETRIEVE] = "/v1/retrieve",
  [STAGE_RERANK] = "/v1/rerank",     [STAGE_GENERATE] = "/v1/completions",
  [STAGE_CALL] = "/v1/call",
};

const char *
stage_path (enum stage_kind kind)
{
  return paths[kind];
}

void
stage_data_clear (struct stage_data *data)
{
  json_decref (data->input);
  json_decref (data->embedding);
  json_decref (data->documents);
  json_decref (data->result);
  free (data->input_text);
  *data = (struct stage_data){ 0 };
}

void
stage_append_prompt_start (const struct stage_data *data, size_t max, struct bytes *out)
{
  size_t length = json_string_length (data->input);
  json_t *document;
  size_t i;

  bytes_append (out, json_string_value (data->input), length < max ? length : max);
  json_array_foreach (data->documents, i, document)
    {
      const json_t *text = json_object_get (document, "text");

      if (out->length >= max)
        return;
      bytes_append (out, "\n", 1);
      length = json_string_length (text);
      bytes_append (out, json_string_value (text),
                    length < max - out->length ? length : max - out->length);
    }
}

/* ---- JSON text ---- */

static int
append_dump (const char *buffer, size_t size, void *out)
{
  bytes_append (out, buffer, size);
  return 0;
}

void
stage_append_json (const json_t *json, struct bytes *out)
{
  if (json_dump_callback (json, append_dump, out, JSON_COMPACT | JSON_ENCODE_ANY) != 0)
    out->failed = true;
}

static void
append_input (struct bytes *out, struct stage_data *data)
{
  if (data->input_text == NULL)
    data->input_text = json_dumps (data->input, JSON_ENCODE_ANY);
  if (data->input_text == NULL)
    out->failed = true;
  else
    bytes_append_text (out, data->input_text);
}

/* Model names consist of letters, digits, '-' and '.', so they need no escaping. */
static void
append_model (struct bytes *out, const char *model)
{
  bytes_append_format (out, "{\"model\":\"%s\"", model);
}

/* Appends the input and the documents after it as one JSON string. */
static void
append_prompt (struct bytes *out, struct stage_data *data)
{
  struct bytes text;
  json_t *document;
  size_t i;

  append_input (out, data);
  bytes_init (&text, out->parent);
  json_array_foreach (data->documents, i, document)
    {
      bytes_consume (&text, text.length);
      stage_append_json (json_object_get (document, "text"), &text);
      if (bytes_has_failed (&text) || bytes_has_failed (out))
        break;
      /* The text without its opening quote overwrites the closing quote of the string so far. */
      out->length--;
      bytes_append_text (out, "\\n");
      bytes_append (out, text.data + 1, text.length - 1);
    }
  out->failed = out->failed || text.failed;
  bytes_clear (&text);
}

static void
append_texts (struct bytes *out, const json_t *documents)
{
  json_t *document;
  size_t i;

  bytes_append_text (out, "[");
  json_array_foreach (documents, i, document)
    {
      if (i > 0)
        bytes_append_text (out, ",");
      stage_append_json (json_object_get (document, "text"), out);
    }
  bytes_append_text (out, "]");
}

/* ---- bodies ---- */

static void
encode_body (const struct stage_spec *spec,
             struct stage_data *data,
             const struct stage_call *call,
             struct bytes *out)
{
  (void) call;
  append_model (out, spec->model);
  bytes_append_text (out, ",\"input\":");
  append_input (out, data);
  bytes_append_text (out, "}");
}

static void
retrieve_body (const struct stage_spec *spec,
               struct stage_data *data,
               const struct stage_call *call,
               struct bytes *out)
{
  (void) call;
  bytes_append_text (out, "{\"query\":");
  append_input (out, data);
  bytes_append_text (out, ",\"embedding\":");
  if (data->embedding != NULL)
    stage_append_json (data->embedding, out);
  else
    bytes_append_text (out, "null");
  bytes_append_format (out, ",\"top\":%" PRIu32 "}", spec->top);
}

static void
rerank_body (const struct stage_spec *spec,
             struct stage_data *data,
             const struct stage_call *call,
             struct bytes *out)
{
  (void) call;
  append_model (out, spec->model);
  bytes_append_text (out, ",\"query\":");
  append_input (out, data);
  bytes_append_text (out, ",\"documents\":");
  append_texts (out, data->documents);
  bytes_append_format (out, ",\"top_n\":%" PRIu32 "}", spec->top);
}

static void
generate_body (const struct stage_spec *spec,
               struct stage_data *data,
               const struct stage_call *call,
               struct bytes *out)
{
  append_model (out, spec->adapter[0] != '\0' ? spec->adapter : spec->model);
  bytes_append_text (out, ",\"prompt\":");
  append_prompt (out, data);
  bytes_append_format (out,
                       ",\"max_tokens\":%" PRIu32 ",\"stream\":true,\"priority\":%" PRIu32
                       ",\"resume_from\":%" PRIu32 "}",
                       call->max_tokens, call->priority, call->resume_from);
}

static void
call_body (const struct stage_spec *spec,
           struct stage_data *data,
           const struct stage_call *call,
           struct bytes *out)
{
  (void) spec;
  (void) call;
  bytes_append_text (out, "{\"input\":");
  append_input (out, data);
  bytes_append_text (out, ",\"documents\":");
  if (data->documents != NULL)
    stage_append_json (data->documents, out);
  else
    bytes_append_text (out, "[]");
  bytes_append_text (out, "}");
}

typedef void body_function (const struct stage_spec *spec,
                            struct stage_data *data,
                            const struct stage_call *call,
                            struct bytes *out);

static body_function *const body_builders[] = {
  [STAGE_ENCODE] = encode_body,     [STAGE_RETRIEVE] = retrieve_body, [STAGE_RERANK] = rerank_body,
  [STAGE_GENERATE] = generate_body, [STAGE_CALL] = call_body,
};

void
stage_append_body (const struct stage_spec *spec,
                   struct stage_data *data,
                   const struct stage_call *call,
                   struct bytes *out)
{
  body_builders[spec->kind](spec, data, call, out);
}

static size_t
count_document_bytes (const json_t *documents)
{
  json_t *document;
  size_t bytes = 0;
  size_t i;

  json_array_foreach (documents, i, document)
    {
      bytes += json_string_length (json_object_get (document, "text")) + 1;
    }
  return bytes;
}

uint32_t
stage_estimate_tokens (const struct stage_spec *spec, const struct stage_data *data)
{
  size_t bytes = json_string_length (data->input);

  if (spec->kind == STAGE_RERANK || spec->kind == STAGE_GENERATE || spec->kind == STAGE_CALL)
    bytes += count_document_bytes (data->documents);
  return (uint32_t) (bytes / STAGE_BYTES_PER_TOKEN) + 1;
}

void
stage_append_result (enum stage_kind last, struct stage_data *data, struct bytes *out)
{
  switch (last)
    {
    case STAGE_ENCODE:
      bytes_append_text (out, "{\"embedding\":");
      stage_append_json (data->embedding, out);
      break;
    case STAGE_RETRIEVE:
    case STAGE_RERANK:
      bytes_append_text (out, "{\"documents\":");
      stage_append_json (data->documents, out);
      break;
    case STAGE_GENERATE:
      bytes_append_text (out, "{\"text\":");
      append_input (out, data);
      break;
    case STAGE_CALL:
    default:
      stage_append_json (data->result, out);
      return;
    }
  bytes_append_text (out, "}");
}
