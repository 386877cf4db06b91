/* Answers that are not streamed: all kinds except generation. */
#include "answer.h"
#include "fake.h"
#include <stdlib.h>
#include <string.h>

static bool
append_json (json_t *json, struct bytes *out)
{
  char *text = json ? json_dumps (json, JSON_COMPACT) : NULL;

  json_decref (json);
  if (!text)
    return false;
  bytes_append_text (out, text);
  free (text);
  return true;
}

static bool
reply_embedding (const json_t *body, struct bytes *out)
{
  const json_t *input = json_object_get (body, "input");
  struct answer_embedding embedding;
  json_t *numbers;

  if (!json_is_string (input))
    return false;
  answer_embed (json_string_value (input), json_string_length (input), &embedding);
  numbers = json_array ();
  for (int i = 0; i < ANSWER_EMBEDDING_SIZE; i++)
    json_array_append_new (numbers, json_integer (embedding.numbers[i]));
  return append_json (
      json_pack ("{s:[{s:o}], s:{s:I}}", "data", "embedding", numbers, "usage", "prompt_tokens",
                 (json_int_t) (json_string_length (input) / ANSWER_BYTES_PER_TOKEN)),
      out);
}

/* False if the body's embedding is not an array of ANSWER_EMBEDDING_SIZE numbers. */
static bool
read_embedding (const json_t *body, struct answer_embedding *out, bool *given)
{
  const json_t *numbers = json_object_get (body, "embedding");

  *given = json_is_array (numbers);
  if (!*given)
    return numbers == NULL || json_is_null (numbers);
  if (json_array_size (numbers) != ANSWER_EMBEDDING_SIZE)
    return false;
  for (size_t i = 0; i < ANSWER_EMBEDDING_SIZE; i++)
    out->numbers[i] = (int64_t) json_number_value (json_array_get (numbers, i));
  return true;
}

static bool
reply_documents (const json_t *body, struct bytes *out)
{
  const json_t *query = json_object_get (body, "query");
  json_int_t top = json_integer_value (json_object_get (body, "top"));
  struct answer_embedding embedding;
  bool embedded;
  json_t *documents;

  if (!json_is_string (query) || top < 0 || top > ANSWER_DOCUMENTS_MAX
      || !read_embedding (body, &embedding, &embedded))
    return false;
  documents = json_array ();
  for (uint32_t i = 0; i < (uint32_t) top; i++)
    {
      struct answer_document document;

      answer_retrieve (json_string_value (query), json_string_length (query),
                       embedded ? &embedding : NULL, i, &document);
      json_array_append_new (documents,
                             json_pack ("{s:s, s:s}", "id", document.id, "text", document.text));
    }
  return append_json (json_pack ("{s:o}", "documents", documents), out);
}

static bool
reply_ranks (const json_t *body, struct bytes *out)
{
  const json_t *query = json_object_get (body, "query");
  const json_t *documents = json_object_get (body, "documents");
  json_int_t top = json_integer_value (json_object_get (body, "top_n"));
  const char *texts[ANSWER_DOCUMENTS_MAX];
  struct answer_rank ranks[ANSWER_DOCUMENTS_MAX];
  size_t n = json_array_size (documents);
  uint32_t count;
  json_t *results;

  if (!json_is_string (query) || !json_is_array (documents) || n > ANSWER_DOCUMENTS_MAX || top < 0)
    return false;
  for (size_t i = 0; i < n; i++)
    {
      texts[i] = json_string_value (json_array_get (documents, i));
      if (!texts[i])
        return false;
    }
  count = answer_rerank (json_string_value (query), json_string_length (query), texts, (uint32_t) n,
                         (uint32_t) top, ranks);
  results = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (results, json_pack ("{s:I, s:f}", "index", (json_int_t) ranks[i].index,
                                               "relevance_score", ranks[i].score / 16777216.0));
  return append_json (json_pack ("{s:o}", "results", results), out);
}

bool
fake_reply_body (enum stage_kind kind, const char *body, size_t length, struct bytes *out)
{
  json_t *json;
  bool made = false;

  if (kind == STAGE_CALL)
    return answer_call (body, length, out);
  json = json_loadb (body, length, JSON_REJECT_DUPLICATES, NULL);
  if (kind == STAGE_ENCODE)
    made = reply_embedding (json, out);
  if (kind == STAGE_RETRIEVE)
    made = reply_documents (json, out);
  if (kind == STAGE_RERANK)
    made = reply_ranks (json, out);
  json_decref (json);
  return made;
}
