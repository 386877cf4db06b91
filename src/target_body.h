/* Parses JSON bodies of the targets' calls into the directory's types. */
#ifndef TARGET_BODY_H
#define TARGET_BODY_H

#include "decls.h"
#include "directory.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* Why a body is rejected. */
struct target_body_error
{
  const char *field;
  const char *message;
};

/* Is the text nested at most `limit` deep?  Checked before parsing, which recurses. */
bool target_body_depth_is_within (const char *text, size_t length, uint32_t limit);

/* The readers return false, or NULL, and fill in `fault` for an invalid body. */
bool target_body_read_number (const json_t *body,
                              const char *field,
                              uint64_t max,
                              uint64_t *out,
                              struct target_body_error *fault);

bool target_body_read_record (const json_t *body,
                              struct directory_record *out,
                              struct target_body_error *fault);

bool target_body_read_key (const json_t *body,
                           bool with_sequence,
                           char name[RESOURCE_NAME_SIZE],
                           struct directory_key *out,
                           struct target_body_error *fault);

struct directory_cache_event *target_body_read_events (void *parent,
                                                       const json_t *body,
                                                       size_t *count,
                                                       struct target_body_error *fault);

END_DECLS

#endif
