/* Features of requests, and pools, to which targets gave complete answers lately, with the time of
 * the last one.
 *
 * A table of fixed size: the entry proven longest ago makes room.  Pure: time is passed in. */
#ifndef PROVEN_PARTS_H
#define PROVEN_PARTS_H

#include "decls.h"
#include "request_digest.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* Entries: PROVEN_PARTS_SETS times PROVEN_PARTS_WAYS, of which a key may take one of one set. */
#define PROVEN_PARTS_SETS 1024
#define PROVEN_PARTS_WAYS 4

/* A part is not blamed for crashes up to this long after it was answered completely, nor is any
 * part for crashes in a pool that has given no complete answer for this long. */
#define PROVEN_PARTS_TTL (60 * USEC_PER_SEC)

struct proven_parts;

/* Freed with `parent`.  NULL when memory is out. */
struct proven_parts *proven_parts_new (void *parent);

/* A target gave a complete answer at `at`, which is later than 0. */
void proven_parts_note (struct proven_parts *proven, const struct request_digest *part, int64_t at);
void proven_parts_note_pool (struct proven_parts *proven, const char *pool, int64_t at);

/* Crashes up to this time are no evidence against the part; INT64_MIN if it was not answered. */
int64_t proven_parts_cleared_until (const struct proven_parts *proven,
                                    const struct request_digest *part);

/* Whether a crash at `at` in the pool is evidence against the part.  A host that has just started
 * does not know of a pool that answers nothing. */
bool proven_parts_may_blame (const struct proven_parts *proven,
                             const char *pool,
                             const struct request_digest *part,
                             int64_t at);

/* What this host knows of a pool. */
enum proven_pool
{
  PROVEN_POOL_UNKNOWN, /* it has given no answer since this host started */
  PROVEN_POOL_SILENT,  /* nor has it for PROVEN_PARTS_TTL */
  PROVEN_POOL_ANSWERS,
};

enum proven_pool proven_parts_pool (const struct proven_parts *proven,
                                    const char *pool,
                                    int64_t now);

END_DECLS

#endif
