/* The calls of one request of the demo site: one to a host, or one to the target of each stage. */
#include "answer.h"
#include "host_cost.h"
#include "site.h"
#include "text.h"
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define OUTPUT_TOKENS 16
#define TRACE_REQUESTS 2 /* one of a pipeline, then one of a service */

static void
set_json (struct bytes *out, void *parent, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_ENCODE_ANY);

  bytes_init (out, parent);
  bytes_append_text (out, text);
  free (text);
  json_decref (json);
}

static void
set_input (struct bytes *out, void *parent, const struct pipeline_spec *spec)
{
  struct trace *trace = site_demo_trace (parent, "cost", TRACE_REQUESTS, 0);

  bytes_init (out, parent);
  if (spec->service)
    answer_call_body (&trace->requests[1], out);
  else
    answer_input (&trace->requests[0], out);
}

/* Sets the expected answer: the text as escaped in JSON, or the first piece of a generator's
 * stream, which holds half of the tokens. */
static void
set_expected (struct host_cost_request *request,
              void *parent,
              const struct pipeline_spec *spec,
              const struct bytes *input,
              bool first_piece)
{
  struct bytes answer;

  bytes_init (&answer, parent);
  INVARIANT (answer_pipeline (spec, input->data, input->length, OUTPUT_TOKENS, &answer));
  if (spec->service)
    {
      request->expected = answer;
      return;
    }
  set_json (&request->expected, parent,
            json_stringn (answer.data, first_piece ? answer.length / 2 : answer.length));
  /* Removes the quotes. */
  bytes_consume (&request->expected, 1);
  request->expected.length--;
}

void
host_cost_request_via_host (struct host_cost_request *request,
                            void *parent,
                            const char *host,
                            const struct pipeline_spec *spec)
{
  struct host_cost_step *step = &request->steps[0];
  struct bytes input;

  *request = (struct host_cost_request){ .n_steps = 1 };
  text_copy_truncated (step->address, sizeof step->address, host);
  snprintf (step->path, sizeof step->path, "/v1/%s/%s/requests",
            spec->service ? "services" : "pipelines", spec->name);
  set_input (&input, parent, spec);
  set_expected (request, parent, spec, &input, false);
  if (spec->service)
    step->body = input;
  else
    set_json (&step->body, parent,
              json_pack ("{s:s%, s:I}", "input", input.data, input.length, "max_tokens",
                         (json_int_t) OUTPUT_TOKENS));
}

/* The input as processed by the preceding stages. */
struct pipeline_state
{
  struct bytes input;
  struct answer_embedding embedding;
  struct answer_document documents[ANSWER_DOCUMENTS_MAX];
  uint32_t n_documents;
};

static json_t *
retrieve_json (struct pipeline_state *pipeline_state, uint32_t top)
{
  json_t *numbers = json_array ();

  for (int i = 0; i < ANSWER_EMBEDDING_SIZE; i++)
    json_array_append_new (numbers, json_integer (pipeline_state->embedding.numbers[i]));
  for (pipeline_state->n_documents = 0; pipeline_state->n_documents < top;
       pipeline_state->n_documents++)
    answer_retrieve (pipeline_state->input.data, pipeline_state->input.length,
                     &pipeline_state->embedding, pipeline_state->n_documents,
                     &pipeline_state->documents[pipeline_state->n_documents]);
  return json_pack ("{s:s%, s:o, s:I}", "query", pipeline_state->input.data,
                    pipeline_state->input.length, "embedding", numbers, "top", (json_int_t) top);
}

static json_t *
rerank_json (struct pipeline_state *pipeline_state, uint32_t top)
{
  struct answer_rank ranks[ANSWER_DOCUMENTS_MAX];
  struct answer_document kept[ANSWER_DOCUMENTS_MAX];
  const char *texts[ANSWER_DOCUMENTS_MAX];
  json_t *documents = json_array ();

  for (uint32_t i = 0; i < pipeline_state->n_documents; i++)
    {
      texts[i] = pipeline_state->documents[i].text;
      json_array_append_new (documents, json_string (texts[i]));
    }
  pipeline_state->n_documents =
      answer_rerank (pipeline_state->input.data, pipeline_state->input.length, texts,
                     pipeline_state->n_documents, top, ranks);
  for (uint32_t i = 0; i < pipeline_state->n_documents; i++)
    kept[i] = pipeline_state->documents[ranks[i].index];
  memcpy (pipeline_state->documents, kept, pipeline_state->n_documents * sizeof *kept);
  return json_pack ("{s:s, s:s%, s:o, s:I}", "model", "default", "query",
                    pipeline_state->input.data, pipeline_state->input.length, "documents",
                    documents, "top_n", (json_int_t) top);
}

static json_t *
generate_json (struct pipeline_state *pipeline_state)
{
  for (uint32_t i = 0; i < pipeline_state->n_documents; i++)
    bytes_append_format (&pipeline_state->input, "\n%s", pipeline_state->documents[i].text);
  return json_pack ("{s:s, s:s%, s:I, s:b, s:I, s:I}", "model", "default", "prompt",
                    pipeline_state->input.data, pipeline_state->input.length, "max_tokens",
                    (json_int_t) OUTPUT_TOKENS, "stream", 1, "priority", (json_int_t) 5,
                    "resume_from", (json_int_t) 0);
}

static json_t *
stage_json (struct pipeline_state *pipeline_state, const struct stage_spec *stage)
{
  if (stage->kind == STAGE_RETRIEVE)
    return retrieve_json (pipeline_state, stage->top);
  if (stage->kind == STAGE_RERANK)
    return rerank_json (pipeline_state, stage->top);
  if (stage->kind == STAGE_GENERATE)
    return generate_json (pipeline_state);
  answer_embed (pipeline_state->input.data, pipeline_state->input.length,
                &pipeline_state->embedding);
  return json_pack ("{s:s, s:s%}", "model", "default", "input", pipeline_state->input.data,
                    pipeline_state->input.length);
}

void
host_cost_request_direct (struct host_cost_request *request,
                          void *parent,
                          const char *const *targets,
                          const struct pipeline_spec *spec)
{
  static const char *const paths[STAGE_KIND_COUNT] = {
    [STAGE_ENCODE] = "/v1/embeddings", [STAGE_RETRIEVE] = "/v1/retrieve",
    [STAGE_RERANK] = "/v1/rerank",     [STAGE_GENERATE] = "/v1/completions",
    [STAGE_CALL] = "/v1/call",
  };
  struct pipeline_state *pipeline_state = talloc_zero (parent, struct pipeline_state);

  INVARIANT (spec->n_stages <= HOST_COST_STEPS_MAX);
  *request = (struct host_cost_request){ .n_steps = spec->n_stages };
  set_input (&pipeline_state->input, parent, spec);
  set_expected (request, parent, spec, &pipeline_state->input, true);
  for (uint32_t i = 0; i < spec->n_stages; i++)
    {
      struct host_cost_step *step = &request->steps[i];

      text_copy_truncated (step->address, sizeof step->address, targets[i]);
      text_copy_truncated (step->path, sizeof step->path, paths[spec->stages[i].kind]);
      if (spec->service)
        step->body = pipeline_state->input;
      else
        set_json (&step->body, parent, stage_json (pipeline_state, &spec->stages[i]));
    }
}
