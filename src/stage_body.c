/* What goes to targets, by stage kind. */
#include "bytes.h"
#include "stage.h"
#include <string.h>

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
  *data = (struct stage_data){ 0 };
}

static void
append_string (struct bytes *out, const json_t *string)
{
  bytes_append (out, json_string_value (string), json_string_length (string));
}

json_t *
stage_prompt (const struct stage_data *data)
{
  struct bytes text;
  json_t *prompt = NULL;
  json_t *document;
  size_t i;

  if (json_array_size (data->documents) == 0)
    return json_incref (data->input);
  bytes_init (&text, NULL);
  append_string (&text, data->input);
  json_array_foreach (data->documents, i, document)
    {
      bytes_append (&text, "\n", 1);
      append_string (&text, json_object_get (document, "text"));
    }
  if (!bytes_failed (&text))
    prompt = json_stringn_nocheck (text.data, text.length);
  bytes_clear (&text);
  return prompt;
}

static json_t *
texts_of (const json_t *documents)
{
  json_t *texts = json_array ();
  json_t *document;
  size_t i;

  json_array_foreach (documents, i, document)
    {
      if (json_array_append (texts, json_object_get (document, "text")) != 0)
        break;
    }
  return texts;
}

static json_t *
encode_body (const struct stage_spec *spec,
             const struct stage_data *data,
             const struct stage_call *call)
{
  (void) call;
  return json_pack ("{s:s,s:O}", "model", spec->model, "input", data->input);
}

static json_t *
retrieve_body (const struct stage_spec *spec,
               const struct stage_data *data,
               const struct stage_call *call)
{
  (void) call;
  return json_pack ("{s:O,s:O?,s:I}", "query", data->input, "embedding", data->embedding, "top",
                    (json_int_t) spec->top);
}

static json_t *
rerank_body (const struct stage_spec *spec,
             const struct stage_data *data,
             const struct stage_call *call)
{
  (void) call;
  return json_pack ("{s:s,s:O,s:o,s:I}", "model", spec->model, "query", data->input, "documents",
                    texts_of (data->documents), "top_n", (json_int_t) spec->top);
}

static json_t *
generate_body (const struct stage_spec *spec,
               const struct stage_data *data,
               const struct stage_call *call)
{
  return json_pack (
      "{s:s,s:o,s:I,s:b,s:I,s:I}", "model", spec->adapter[0] != '\0' ? spec->adapter : spec->model,
      "prompt", stage_prompt (data), "max_tokens", (json_int_t) call->max_tokens, "stream", 1,
      "priority", (json_int_t) call->priority, "resume_from", (json_int_t) call->resume_from);
}

static json_t *
call_body (const struct stage_spec *spec,
           const struct stage_data *data,
           const struct stage_call *call)
{
  (void) spec;
  (void) call;
  if (data->documents == NULL)
    return json_pack ("{s:O,s:[]}", "input", data->input, "documents");
  return json_pack ("{s:O,s:O}", "input", data->input, "documents", data->documents);
}

typedef json_t *body_function (const struct stage_spec *spec,
                               const struct stage_data *data,
                               const struct stage_call *call);

static body_function *const bodies[] = {
  [STAGE_ENCODE] = encode_body,     [STAGE_RETRIEVE] = retrieve_body, [STAGE_RERANK] = rerank_body,
  [STAGE_GENERATE] = generate_body, [STAGE_CALL] = call_body,
};

char *
stage_body (const struct stage_spec *spec,
            const struct stage_data *data,
            const struct stage_call *call)
{
  json_t *body = bodies[spec->kind](spec, data, call);
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);

  json_decref (body);
  return text;
}

static size_t
documents_bytes (const json_t *documents)
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
stage_tokens (const struct stage_spec *spec, const struct stage_data *data)
{
  size_t bytes = json_string_length (data->input);

  if (spec->kind == STAGE_RERANK || spec->kind == STAGE_GENERATE || spec->kind == STAGE_CALL)
    bytes += documents_bytes (data->documents);
  return (uint32_t) (bytes / STAGE_BYTES_PER_TOKEN) + 1;
}
