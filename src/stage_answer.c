/* Checks of targets' answers: only a complete and well-formed answer is accepted. */
#include "stage.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The nesting depth is checked before parsing, because jansson's own limit is fixed at its build:
 * the parser, and later json_decref(), would recurse into a deep nesting. */
static bool
depth_is_within (const char *text, size_t length, uint32_t max)
{
  uint32_t depth = 0;
  bool string = false;
  size_t i;

  for (i = 0; i < length; i++)
    {
      char c = text[i];

      if (string)
        {
          if (c == '\\')
            i++;
          else if (c == '"')
            string = false;
          continue;
        }
      if (c == '"')
        string = true;
      else if ((c == '[' || c == '{') && ++depth > max)
        return false;
      else if ((c == ']' || c == '}') && depth > 0)
        depth--;
    }
  return true;
}

static json_t *
parse (const char *text, size_t length, uint32_t depth, size_t flags)
{
  json_error_t error;
  json_t *json;

  if (!depth_is_within (text, length, depth))
    {
      status_fail (STATUS_MALFORMED, "JSON nested deeper than %u", depth);
      return NULL;
    }
  json = json_loadb (text, length, JSON_REJECT_DUPLICATES | flags, &error);
  if (json == NULL)
    status_fail (STATUS_MALFORMED, "not JSON: %s at byte %d", error.text, error.position);
  return json;
}

json_t *
stage_parse_json (const char *text, size_t length, uint32_t depth)
{
  return parse (text, length, depth, JSON_DECODE_ANY);
}

enum status
stage_check_json (const char *text, size_t length, uint32_t depth)
{
  json_t *json = parse (text, length, depth, JSON_DECODE_ANY | JSON_DECODE_INT_AS_REAL);

  if (json == NULL)
    return STATUS_MALFORMED;
  json_decref (json);
  return STATUS_OK;
}

static uint32_t
get_count (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t) value;
}

static void
read_usage (const json_t *answer, struct stage_usage *out)
{
  const json_t *usage = json_object_get (answer, "usage");

  *out = (struct stage_usage){
    .input_tokens = get_count (usage, "prompt_tokens"),
    .cached_tokens = get_count (usage, "cached_tokens"),
    .output_tokens = get_count (usage, "completion_tokens"),
  };
}

static void
replace_field (json_t **field, json_t *value)
{
  json_decref (*field);
  *field = value;
}

static enum status
accept_embedding (const struct stage_spec *spec, struct stage_data *data, json_t *answer)
{
  json_t *first = json_array_get (json_object_get (answer, "data"), 0);
  json_t *embedding = json_object_get (first, "embedding");
  json_t *number;
  size_t i;

  (void) spec;
  if (json_array_size (embedding) == 0)
    return status_fail (STATUS_MALFORMED, "data[0].embedding: expected numbers");
  json_array_foreach (embedding, i, number)
    {
      if (!json_is_number (number))
        return status_fail (STATUS_MALFORMED, "data[0].embedding[%zu]: expected a number", i);
    }
  replace_field (&data->embedding, json_incref (embedding));
  return STATUS_OK;
}

static enum status
accept_documents (const struct stage_spec *spec, struct stage_data *data, json_t *answer)
{
  json_t *documents = json_object_get (answer, "documents");
  json_t *document;
  size_t i;

  if (!json_is_array (documents))
    return status_fail (STATUS_MALFORMED, "documents: expected an array");
  if (spec->top > 0 && json_array_size (documents) > spec->top)
    return status_fail (STATUS_MALFORMED, "documents: expected at most %u", spec->top);
  json_array_foreach (documents, i, document)
    {
      if (!json_is_string (json_object_get (document, "id"))
          || !json_is_string (json_object_get (document, "text")))
        return status_fail (STATUS_MALFORMED, "documents[%zu]: expected id and text", i);
    }
  replace_field (&data->documents, json_incref (documents));
  return STATUS_OK;
}

/* The document that a rerank result names; NULL if it names none or one already taken. */
static json_t *
find_ranked_document (const json_t *documents, const json_t *result, bool *taken)
{
  const json_t *index = json_object_get (result, "index");
  json_int_t i = json_integer_value (index);

  if (!json_is_integer (index) || i < 0 || (size_t) i >= json_array_size (documents) || taken[i])
    return NULL;
  if (!json_is_number (json_object_get (result, "relevance_score")))
    return NULL;
  taken[i] = true;
  return json_array_get (documents, (size_t) i);
}

static enum status
accept_ranking (const struct stage_spec *spec, struct stage_data *data, json_t *answer)
{
  json_t *results = json_object_get (answer, "results");
  size_t n = json_array_size (data->documents);
  size_t wanted = spec->top > 0 && spec->top < n ? spec->top : n;
  json_t *kept;
  bool *taken;
  size_t i;

  /* Fewer results than requested would drop documents silently. */
  if (!json_is_array (results) || json_array_size (results) < wanted)
    return status_fail (STATUS_MALFORMED, "results: expected %zu", wanted);
  kept = json_array ();
  taken = calloc (n + 1, sizeof *taken);
  for (i = 0; kept != NULL && taken != NULL && i < wanted; i++)
    {
      json_t *document = find_ranked_document (data->documents, json_array_get (results, i), taken);

      if (document == NULL || json_array_append (kept, document) != 0)
        break;
    }
  free (taken);
  if (kept == NULL || json_array_size (kept) != wanted)
    {
      json_decref (kept);
      return status_fail (STATUS_MALFORMED, "results[%zu]: expected an index not yet named", i);
    }
  replace_field (&data->documents, kept);
  return STATUS_OK;
}

static enum status
accept_result (const struct stage_spec *spec, struct stage_data *data, json_t *answer)
{
  (void) spec;
  replace_field (&data->result, json_incref (answer));
  return STATUS_OK;
}

enum status
stage_accept_answer (const struct stage_spec *spec,
                     struct stage_data *data,
                     const char *body,
                     size_t length,
                     struct stage_usage *usage)
{
  static enum status (*const acceptors[]) (const struct stage_spec *, struct stage_data *,
                                           json_t *) = {
    [STAGE_ENCODE] = accept_embedding,
    [STAGE_RETRIEVE] = accept_documents,
    [STAGE_RERANK] = accept_ranking,
    [STAGE_CALL] = accept_result,
  };
  json_t *answer = stage_parse_json (body, length, STAGE_JSON_DEPTH);
  enum status status;

  INVARIANT (spec->kind != STAGE_GENERATE);
  if (answer == NULL)
    return STATUS_MALFORMED;
  status = acceptors[spec->kind](spec, data, answer);
  if (status == STATUS_OK)
    read_usage (answer, usage);
  json_decref (answer);
  return status;
}

/* The engine finished or reached the requested number of tokens.  With any other reason, such as
 * an abort, the text is incomplete. */
static bool
finish_reason_is_complete (const json_t *reason)
{
  const char *word = json_string_value (reason);

  return strcmp (word, "stop") == 0 || strcmp (word, "length") == 0;
}

static enum status
check_piece (const struct stage_piece *piece, const json_t *choice)
{
  const json_t *reason = json_object_get (choice, "finish_reason");
  json_int_t index = json_integer_value (json_object_get (choice, "index"));

  if (!json_is_object (choice)
      || (!piece->finished && !json_is_string (json_object_get (choice, "text")))
      || (piece->text_length > 0 && !piece->has_index) || index < 0 || index >= UINT32_MAX)
    return status_fail (STATUS_MALFORMED, "choices[0]: expected text and index");
  if (piece->finished && !finish_reason_is_complete (reason))
    return status_fail (STATUS_MALFORMED, "finish_reason: %s", json_string_value (reason));
  return STATUS_OK;
}

enum status
stage_piece_parse (const char *event, size_t length, struct stage_piece *out)
{
  json_t *document = stage_parse_json (event, length, STAGE_JSON_DEPTH);
  json_t *choice = json_array_get (json_object_get (document, "choices"), 0);
  json_t *text = json_object_get (choice, "text");
  enum status status;

  *out = (struct stage_piece){ .document = document, .text = "" };
  if (document == NULL)
    return STATUS_MALFORMED;
  out->finished = json_is_string (json_object_get (choice, "finish_reason"));
  out->has_index = json_is_integer (json_object_get (choice, "index"));
  if (json_is_string (text))
    {
      out->text = json_string_value (text);
      out->text_length = json_string_length (text);
    }
  out->index = get_count (choice, "index");
  read_usage (document, &out->usage);
  status = check_piece (out, choice);
  if (status != STATUS_OK)
    stage_piece_clear (out);
  return status;
}

void
stage_piece_clear (struct stage_piece *piece)
{
  json_decref (piece->document);
  piece->document = NULL;
  piece->text = "";
  piece->text_length = 0;
}

enum status
stage_set_input (struct stage_data *data, const char *text, size_t length)
{
  json_t *input = json_stringn_nocheck (length > 0 ? text : "", length);

  if (input == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for the text");
  replace_field (&data->input, input);
  free (data->input_text);
  data->input_text = NULL;
  return STATUS_OK;
}
