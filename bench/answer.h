/* The expected answer of a target: a deterministic function of the request, so that the replayer
 * can check every byte of a pipeline's answer and that it belongs to the right request. */
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
  uint32_t index; /* into the documents passed in */
  uint32_t score;
};

/* The input of a request of a trace: its document's text, then a question that holds the request's
 * id.  The length is 4 bytes per token, or more if the id does not fit. */
void answer_input (const struct trace_request *request, struct bytes *out);

void answer_embed (const char *input, size_t length, struct answer_embedding *out);

/* The document at `rank` for this query.  Depends on the embedding, so that a wrong embedding is
 * detected. */
void answer_retrieve (const char *query,
                      size_t length,
                      const struct answer_embedding *embedding, /* NULL for none */
                      uint32_t rank,
                      struct answer_document *out);

/* Rank `documents` by descending score.  Returns the number of ranks written, at most `top`; a
 * `top` of 0 means all. */
uint32_t answer_rerank (const char *query,
                        size_t length,
                        const char *const *documents,
                        uint32_t n_documents,
                        uint32_t top,
                        struct answer_rank *out);

uint64_t answer_prompt_hash (const char *prompt, size_t length);

/* The piece at `index` of the text generated from the prompt: 4 bytes and a NUL. */
void answer_piece (uint64_t prompt_hash, uint32_t index, char out[ANSWER_BYTES_PER_TOKEN + 1]);

/* The response body of a plain service: size and hash of the request's body in canonical form (keys
 * sorted, no spaces).  False if the body is not JSON. */
bool answer_call (const char *body, size_t length, struct bytes *out);

/* The body of a request to a plain service of the trace. */
void answer_call_body (const struct trace_request *request, struct bytes *out);

/* The final answer of a pipeline, computed stage by stage as the hosts do: the text of a final
 * generate stage, or the JSON of a final call stage.  False if the last stage is of another kind or
 * a body is not JSON. */
bool answer_pipeline (const struct pipeline_spec *pipeline,
                      const char *input,
                      size_t length,
                      uint32_t max_tokens,
                      struct bytes *out);

END_DECLS

#endif
