/* Expected answers, derived from XXH3 hashes.  Shares no code with the product's stages, so that a
 * fault there shows as a wrong answer. */
#include "answer.h"
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DOCUMENT_PIECES 50
/* One piece in this many holds a quote, a line break and a two-byte UTF-8 letter, to exercise JSON
 * escaping and SSE framing. */
#define ESCAPE_PIECE_PERIOD 16
#define SCORE_BITS 24

void
answer_piece (uint64_t prompt_hash, uint32_t index, char out[ANSWER_BYTES_PER_TOKEN + 1])
{
  static const char letters[] = "abcdefghijklmnoprstuvwxyzABCDEF.";
  uint64_t hash = XXH3_64bits_withSeed (&index, sizeof index, prompt_hash);

  if (hash % ESCAPE_PIECE_PERIOD == 0)
    {
      memcpy (out, "\xc3\xa9\n\"", ANSWER_BYTES_PER_TOKEN + 1);
      return;
    }
  out[0] = ' ';
  for (int i = 1; i < ANSWER_BYTES_PER_TOKEN; i++)
    out[i] = letters[(hash >> (8 * i)) % (sizeof letters - 1)];
  out[ANSWER_BYTES_PER_TOKEN] = '\0';
}

static void
append_pieces (struct bytes *out, uint64_t hash, uint32_t first, uint32_t end)
{
  char piece[ANSWER_BYTES_PER_TOKEN + 1];

  for (uint32_t i = first; i < end; i++)
    {
      answer_piece (hash, i, piece);
      bytes_append (out, piece, ANSWER_BYTES_PER_TOKEN);
    }
}

static uint32_t
pieces_for (size_t length)
{
  return (uint32_t) ((length + ANSWER_BYTES_PER_TOKEN - 1) / ANSWER_BYTES_PER_TOKEN);
}

void
answer_input (const struct trace_request *request, struct bytes *out)
{
  uint64_t document = XXH3_64bits (&request->document, sizeof request->document);
  uint64_t id_hash = XXH3_64bits (request->id, strlen (request->id));

  append_pieces (out, document, 0, request->prefix_tokens);
  bytes_append_format (out, " question %s:", request->id);
  append_pieces (out, id_hash, pieces_for (out->length), request->input_tokens);
}

void
answer_embed (const char *input, size_t length, struct answer_embedding *out)
{
  for (uint64_t i = 0; i < ANSWER_EMBEDDING_SIZE; i++)
    out->numbers[i] = (int64_t) (XXH3_64bits_withSeed (input, length, i) % 20001) - 10000;
}

void
answer_retrieve (const char *query,
                 size_t length,
                 const struct answer_embedding *embedding,
                 uint32_t rank,
                 struct answer_document *out)
{
  uint64_t hash = XXH3_64bits_withSeed (query, length, rank);

  if (embedding)
    hash = XXH3_64bits_withSeed (embedding->numbers, sizeof embedding->numbers, hash);
  snprintf (out->id, sizeof out->id, "d%016" PRIx64, hash);
  for (uint32_t i = 0; i < DOCUMENT_PIECES; i++)
    answer_piece (hash, i, out->text + (size_t) i * ANSWER_BYTES_PER_TOKEN);
}

uint32_t
answer_rerank (const char *query,
               size_t length,
               const char *const *documents,
               uint32_t n_documents,
               uint32_t top,
               struct answer_rank *out)
{
  uint64_t seed = XXH3_64bits (query, length);
  struct answer_rank all[ANSWER_DOCUMENTS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < n_documents && i < ANSWER_DOCUMENTS_MAX; i++)
    {
      uint64_t hash = XXH3_64bits_withSeed (documents[i], strlen (documents[i]), seed);
      struct answer_rank rank = { .index = i, .score = (uint32_t) (hash >> (64 - SCORE_BITS)) };
      uint32_t at = count++;

      for (; at > 0 && all[at - 1].score < rank.score; at--)
        all[at] = all[at - 1];
      all[at] = rank;
    }
  if (top > 0 && top < count)
    count = top;
  memcpy (out, all, count * sizeof *out);
  return count;
}

uint64_t
answer_prompt_hash (const char *prompt, size_t length)
{
  return XXH3_64bits (prompt, length);
}

bool
answer_call (const char *body, size_t length, struct bytes *out)
{
  json_t *json = json_loadb (body, length, JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
  char *canonical;

  if (!json)
    return false;
  canonical = json_dumps (json, JSON_SORT_KEYS | JSON_COMPACT | JSON_ENCODE_ANY);
  json_decref (json);
  if (!canonical)
    return false;
  bytes_append_format (out, "{\"bytes\":%zu,\"receipt\":\"%016" PRIx64 "\"}", strlen (canonical),
                       (uint64_t) XXH3_64bits (canonical, strlen (canonical)));
  free (canonical);
  return true;
}

void
answer_call_body (const struct trace_request *request, struct bytes *out)
{
  json_t *json;
  struct bytes note;
  char *text;

  bytes_init (&note, out->parent);
  answer_input (request, &note);
  json = json_pack ("{s:s, s:s%}", "request", request->id, "note", note.data, note.length);
  text = json_dumps (json, JSON_COMPACT);
  bytes_append_text (out, text);
  free (text);
  json_decref (json);
  bytes_clear (&note);
}

/* State of a request passed from stage to stage. */
struct run
{
  struct bytes input;
  struct answer_embedding embedding;
  bool embedded;
  struct answer_document documents[ANSWER_DOCUMENTS_MAX];
  uint32_t n_documents;
};

static void
run_retrieve (struct run *run, uint32_t top)
{
  run->n_documents = top < ANSWER_DOCUMENTS_MAX ? top : ANSWER_DOCUMENTS_MAX;
  for (uint32_t i = 0; i < run->n_documents; i++)
    answer_retrieve (run->input.data, run->input.length, run->embedded ? &run->embedding : NULL, i,
                     &run->documents[i]);
}

static void
run_rerank (struct run *run, uint32_t top)
{
  struct answer_document kept[ANSWER_DOCUMENTS_MAX];
  struct answer_rank ranks[ANSWER_DOCUMENTS_MAX];
  const char *texts[ANSWER_DOCUMENTS_MAX];

  for (uint32_t i = 0; i < run->n_documents; i++)
    texts[i] = run->documents[i].text;
  run->n_documents =
      answer_rerank (run->input.data, run->input.length, texts, run->n_documents, top, ranks);
  for (uint32_t i = 0; i < run->n_documents; i++)
    kept[i] = run->documents[ranks[i].index];
  memcpy (run->documents, kept, run->n_documents * sizeof *kept);
}

static void
run_generate (struct run *run, uint32_t max_tokens)
{
  uint64_t hash;

  for (uint32_t i = 0; i < run->n_documents; i++)
    {
      bytes_append (&run->input, "\n", 1);
      bytes_append_text (&run->input, run->documents[i].text);
    }
  hash = answer_prompt_hash (run->input.data, run->input.length);
  bytes_consume (&run->input, run->input.length);
  append_pieces (&run->input, hash, 0, max_tokens);
}

static bool
run_call (const struct run *run, struct bytes *out)
{
  json_t *documents = json_array ();
  json_t *json;
  char *text;
  bool answered;

  for (uint32_t i = 0; i < run->n_documents; i++)
    json_array_append_new (documents, json_pack ("{s:s, s:s}", "id", run->documents[i].id, "text",
                                                 run->documents[i].text));
  json = json_pack ("{s:s%, s:o}", "input", run->input.data, run->input.length, "documents",
                    documents);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  answered = text && answer_call (text, strlen (text), out);
  free (text);
  return answered;
}

static uint32_t
effective_max_tokens (const struct stage_spec *stage, uint32_t max_tokens)
{
  if (max_tokens == 0 || (stage->max_tokens > 0 && stage->max_tokens < max_tokens))
    return stage->max_tokens;
  return max_tokens;
}

bool
answer_pipeline (const struct pipeline_spec *pipeline,
                 const char *input,
                 size_t length,
                 uint32_t max_tokens,
                 struct bytes *out)
{
  struct run run = { .embedded = false };
  bool answered = false;

  if (pipeline->service)
    return answer_call (input, length, out);
  bytes_init (&run.input, out->parent);
  bytes_append (&run.input, input, length);
  for (uint32_t i = 0; i < pipeline->n_stages; i++)
    {
      const struct stage_spec *stage = &pipeline->stages[i];

      if (stage->kind == STAGE_ENCODE)
        answer_embed (run.input.data, run.input.length, &run.embedding);
      run.embedded = run.embedded || stage->kind == STAGE_ENCODE;
      if (stage->kind == STAGE_RETRIEVE)
        run_retrieve (&run, stage->top);
      if (stage->kind == STAGE_RERANK)
        run_rerank (&run, stage->top);
      if (stage->kind == STAGE_GENERATE)
        run_generate (&run, effective_max_tokens (stage, max_tokens));
      if (i + 1 < pipeline->n_stages)
        continue;
      if (stage->kind == STAGE_CALL)
        answered = run_call (&run, out);
      if (stage->kind == STAGE_GENERATE)
        {
          bytes_append (out, run.input.data, run.input.length);
          answered = true;
        }
    }
  bytes_clear (&run.input);
  return answered;
}
