/* What a target answers to a given input: a deterministic function of the request, so that the
 * replayer knows every byte of a pipeline's answer and that it belongs to its own request. */
#ifndef ANSWER_H
#define ANSWER_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "trace.h"

BEGIN_DECLS

#define ANSWER_EMBEDDING_SIZE 16
#define ANSWER_DOCUMENTS_MAX 64
#define ANSWER_ID_SIZE 20
#define ANSWER_BYTES_PER_TOKEN 4

struct answer_embedding
{
  int64_t numbers[ANSWER_EMBEDDING_SIZE];
};

struct answer_document
{
  char id[ANSWER_ID_SIZE];
  char text[256];
};

struct answer_rank
{
  uint32_t index; /* in the documents asked about */
  uint32_t score;
};

/* The input of a trace's request: its document's text, then a question that names its id.  Bytes
 * are 4 times its tokens, or more where the id needs it. */
void answer_input (const struct trace_request *request, struct bytes *out);

void answer_embed (const char *input, size_t length, struct answer_embedding *out);

/* The document at `rank` for this query; differs with the embedding, so that a wrong one shows. */
void answer_retrieve (const char *query,
                      size_t length,
                      const struct answer_embedding *embedding, /* NULL for none */
                      uint32_t rank,
                      struct answer_document *out);

/* Rank `documents` best first; the count of ranks written is at most `top`. */
uint32_t answer_rerank (const char *query,
                        size_t length,
                        const char *const *documents,
                        uint32_t n_documents,
                        uint32_t top,
                        struct answer_rank *out);

uint64_t answer_prompt_hash (const char *prompt, size_t length);

/* The piece at `index` of the text generated from the prompt, 4 bytes and a NUL. */
void answer_piece (uint64_t prompt_hash, uint32_t index, char out[ANSWER_BYTES_PER_TOKEN + 1]);

/* The body a plain service answers, from the bytes of its request's body in canonical form: keys
 * sorted, no spaces.  False when the body isn't JSON. */
bool answer_call (const char *body, size_t length, struct bytes *out);

/* The body of a request to a plain service of the trace. */
void answer_call_body (const struct trace_request *request, struct bytes *out);

/* The final answer of a whole pipeline, stage by stage as the hosts do it: the text of the last
 * generate stage, or the JSON of a last call stage.  False when a pipeline's
 * shape has no answer. */
bool answer_pipeline (const struct pipeline_spec *pipeline,
                      const char *input,
                      size_t length,
                      uint32_t max_tokens,
                      struct bytes *out);

END_DECLS

#endif
