/* Bounded index of the prompt prefixes in targets' caches, with eviction and expiry.
 *
 * A block is named by the cumulative hash of the prompt up to its end, so a block found means that
 * the whole prefix up to it was cached.  One in PREFIX_SAMPLING blocks is stored, selected by hash;
 * everyone selects the same ones, so only the resolution of the depth is lost.  Entries may be
 * wrong at any time: events are late and incomplete, and engines evict blocks without telling. */
#ifndef PREFIX_H
#define PREFIX_H

#include "decls.h"
#include "table.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define PREFIX_SAMPLING 4 /* one in this many blocks is stored */
#define PREFIX_HOLDERS 4  /* most holders returned for one prompt */

struct prefix_index;

struct prefix_holder
{
  struct handle target;
  uint32_t blocks; /* of the prompt, from its start, expected in the cache */
};

/* `n_sets` is a power of two; each set takes 96 bytes. */
struct prefix_index *prefix_index_new (void *parent, uint32_t n_sets);

void prefix_add (struct prefix_index *index, uint64_t block, struct handle target, int64_t now);
void prefix_remove (struct prefix_index *index, uint64_t block, struct handle target);

/* Removes all entries of a target, e.g. when its process restarted; scans the whole index. */
void prefix_remove_target (struct prefix_index *index, struct handle target);

/* Finds the targets with the longest cached prefixes of the prompt, longest first; returns their
 * number. */
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
