/* Which targets hold which prompt prefixes in their caches: a bounded, forgetful index.
 *
 * A block is named by the cumulative hash of the prompt up to its end, so one block found says that
 * the whole prefix up to it was there.  Only blocks whose hash falls in one of PREFIX_SAMPLING are
 * kept; all parties choose the same ones, so nothing but depth resolution is lost.  What is noted
 * may be wrong at any time: events are late and have gaps, and engines drop blocks unasked. */
#ifndef PREFIX_H
#define PREFIX_H

#include "decls.h"
#include "table.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define PREFIX_SAMPLING 4 /* one block in so many is kept */
#define PREFIX_HOLDERS 4  /* found at most for one prompt */

struct prefix_index;

struct prefix_holder
{
  struct handle target;
  uint32_t blocks; /* of the prompt, from its start, that it is thought to hold */
};

/* `n_sets` is a power of two; each set takes 96 bytes. */
struct prefix_index *prefix_index_new (void *parent, uint32_t n_sets);

void prefix_note (struct prefix_index *index, uint64_t block, struct handle target, int64_t now);
void prefix_drop (struct prefix_index *index, uint64_t block, struct handle target);

/* Drop all notes of a target, as when its process started anew; walks the whole index. */
void prefix_forget (struct prefix_index *index, struct handle target);

/* Targets that hold the most of the prompt, deepest first; their count. */
uint32_t prefix_find (const struct prefix_index *index,
                      const uint64_t *blocks,
                      uint32_t n_blocks,
                      int64_t now,
                      struct prefix_holder out[PREFIX_HOLDERS]);

static inline bool
prefix_is_sampled (uint64_t block)
{
  return block % PREFIX_SAMPLING == 0;
}

END_DECLS

#endif
