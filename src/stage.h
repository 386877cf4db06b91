/* The bodies of calls to targets and the checks of their answers, one stage kind each.
 *
 * Pure over a request's data: no I/O, no time.  See docs/INTERFACES.md, "Hosts to targets". */
#ifndef STAGE_H
#define STAGE_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define STAGE_BYTES_PER_TOKEN 4
#define STAGE_JSON_DEPTH 32 /* of a target's answer */

/* What a request carries from stage to stage.  Each field owns a reference, or is NULL. */
struct stage_data
{
  json_t *input; /* a string; NULL for a service, whose body goes as it came */
  json_t *embedding;
  json_t *documents; /* of {"id", "text"} */
  json_t *result;    /* of the last STAGE_CALL */
  char *input_text;  /* `input` as JSON text, made once: stage_body() */
};

/* What varies from call to call of one stage. */
struct stage_call
{
  uint32_t max_tokens;
  uint32_t priority;
  uint32_t resume_from; /* pieces that are kept already */
};

/* As the target says; 0 where it does not. */
struct stage_usage
{
  uint32_t input_tokens;
  uint32_t cached_tokens;
  uint32_t output_tokens;
};

/* One event of a generation. */
struct stage_piece
{
  json_t *document; /* owns `text`; stage_piece_clear() */
  const char *text; /* "" when the event has none */
  size_t text_length;
  uint32_t index;
  bool has_index; /* always where there is text */
  bool finished;  /* the event that ends the text, with its usage */
  struct stage_usage usage;
};

const char *stage_path (enum stage_kind kind);

void stage_data_clear (struct stage_data *data);

/* The first `max` bytes of a generation's prompt: the input, then a newline and the text of each
 * document. */
void stage_prompt_start (const struct stage_data *data, size_t max, struct bytes *out);

/* Append the body of the call; check bytes_failed().  Keeps the input's JSON text in `data`: a long
 * document goes to several stages, and escaping it is most of the work of a body. */
void stage_body (const struct stage_spec *spec,
                 struct stage_data *data,
                 const struct stage_call *call,
                 struct bytes *out);

/* Tokens the stage reads, estimated from bytes. */
uint32_t stage_tokens (const struct stage_spec *spec, const struct stage_data *data);

/* Check a whole JSON answer and keep its result in `data`, which changes only on STATUS_OK.
 * STATUS_MALFORMED with a message else.  Not for STAGE_GENERATE. */
enum status stage_take (const struct stage_spec *spec,
                        struct stage_data *data,
                        const char *body,
                        size_t length,
                        struct stage_usage *usage);

/* Read one event of a generation's stream. */
enum status stage_piece_read (const char *event, size_t length, struct stage_piece *out);
void stage_piece_clear (struct stage_piece *piece);

/* The text that a generation made is the input of later stages. */
enum status stage_take_text (struct stage_data *data, const char *text, size_t length);

/* Append a pipeline's "result" object after its last stage. */
void stage_append_result (enum stage_kind last, struct stage_data *data, struct bytes *out);

/* Append JSON text. */
void stage_append_json (const json_t *json, struct bytes *out);

/* Parse untrusted JSON: whole, no doubled keys, at most `depth` deep.  NULL with
 * status_message(). */
json_t *stage_parse_json (const char *text, size_t length, uint32_t depth);

/* Check JSON that is passed on as it is, whatever the range of its numbers. */
enum status stage_check_json (const char *text, size_t length, uint32_t depth);

END_DECLS

#endif
