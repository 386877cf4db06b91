/* Builds the bodies of calls to targets and checks their answers, by stage kind.
 *
 * Pure functions of a request's data: no I/O, no time.  See docs/INTERFACES.md, "Hosts to
 * targets". */
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
#define STAGE_JSON_DEPTH 32 /* maximum nesting of a target's answer */

/* Data that a request carries from stage to stage.  Each field owns a reference, or is NULL. */
struct stage_data
{
  json_t *input; /* a string; NULL for a service, whose body is forwarded unchanged */
  json_t *embedding;
  json_t *documents; /* array of {"id", "text"} */
  json_t *result;    /* answer of the last STAGE_CALL */
  char *input_text;  /* `input` as JSON text, cached by stage_append_body() */
};

/* Parameters that differ between calls of one stage. */
struct stage_call
{
  uint32_t max_tokens;
  uint32_t priority;
  uint32_t resume_from; /* number of pieces received already */
};

/* Token counts reported by the target; 0 where it reports none. */
struct stage_usage
{
  uint32_t input_tokens;
  uint32_t cached_tokens;
  uint32_t output_tokens;
};

/* One event of a generation's stream. */
struct stage_piece
{
  json_t *document; /* owns `text`; released by stage_piece_clear() */
  const char *text; /* "" if the event has none */
  size_t text_length;
  uint32_t index;
  bool has_index; /* always set if there is text */
  bool finished;  /* the last event, which carries the usage */
  struct stage_usage usage;
};

const char *stage_path (enum stage_kind kind);

void stage_data_clear (struct stage_data *data);

/* Appends the first `max` bytes of a generation's prompt: the input, then a newline and the text
 * of each document. */
void stage_append_prompt_start (const struct stage_data *data, size_t max, struct bytes *out);

/* Appends the body of the call; check bytes_has_failed().  Caches the input's JSON text in `data`,
 * because a long document goes to several stages and escaping it is most of the work of a body. */
void stage_append_body (const struct stage_spec *spec,
                        struct stage_data *data,
                        const struct stage_call *call,
                        struct bytes *out);

/* Number of tokens the stage reads, estimated as one per STAGE_BYTES_PER_TOKEN bytes. */
uint32_t stage_estimate_tokens (const struct stage_spec *spec, const struct stage_data *data);

/* Checks a complete JSON answer and stores its result in `data`, which changes only on STATUS_OK;
 * else STATUS_MALFORMED with status_message().  Not for STAGE_GENERATE. */
enum status stage_accept_answer (const struct stage_spec *spec,
                                 struct stage_data *data,
                                 const char *body,
                                 size_t length,
                                 struct stage_usage *usage);

/* Parses one event of a generation's stream.  STATUS_MALFORMED with status_message() on error. */
enum status stage_piece_parse (const char *event, size_t length, struct stage_piece *out);
void stage_piece_clear (struct stage_piece *piece);

/* Makes the generated text the input of later stages. */
enum status stage_set_input (struct stage_data *data, const char *text, size_t length);

/* Appends the "result" object of a pipeline whose last stage is of kind `last`. */
void stage_append_result (enum stage_kind last, struct stage_data *data, struct bytes *out);

/* Appends `json` as compact text. */
void stage_append_json (const json_t *json, struct bytes *out);

/* Parses untrusted JSON: one complete value, no duplicate keys, nested at most `depth` deep.  NULL
 * with status_message() on error. */
json_t *stage_parse_json (const char *text, size_t length, uint32_t depth);

/* Checks JSON that is forwarded unchanged; numbers of any range pass. */
enum status stage_check_json (const char *text, size_t length, uint32_t depth);

END_DECLS

#endif
