/* Parts of prompts, and pools, to which targets gave complete answers lately, with the time of the
 * last one.
 *
 * A table of fixed size: the entry proven longest ago makes room.  Pure: time is passed in. */
#ifndef PROVEN_PARTS_H
#define PROVEN_PARTS_H

#include "decls.h"
#include "request_digest.h"
#include <stdint.h>

BEGIN_DECLS

/* Entries: PROVEN_PARTS_SETS times PROVEN_PARTS_WAYS, of which a key may take one of one set. */
#define PROVEN_PARTS_SETS 1024
#define PROVEN_PARTS_WAYS 4

struct proven_parts;

/* Freed with `parent`.  NULL when memory is out. */
struct proven_parts *proven_parts_new (void *parent);

/* A target gave a complete answer at `at`, which is later than 0. */
void proven_parts_note (struct proven_parts *proven, const struct request_digest *part, int64_t at);
void proven_parts_note_pool (struct proven_parts *proven, const char *pool, int64_t at);

/* The time of the last one; 0 if none is known. */
int64_t proven_parts_last (const struct proven_parts *proven, const struct request_digest *part);
int64_t proven_parts_last_of_pool (const struct proven_parts *proven, const char *pool);

END_DECLS

#endif
