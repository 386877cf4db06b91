/* A set-associative table of (block, target); the oldest entry of a full set is evicted. */
#include "prefix.h"
#include "status.h"
#include "usec.h"
#include <talloc.h>

#define WAYS 8
#define TICK_USEC (16 * USEC_PER_MSEC)
#define ENTRY_TTL_TICKS 7500u /* two minutes; older entries are ignored */

struct entry
{
  uint32_t tag; /* of the block; with the set, the probability of a false match is 2^-32 or less */
  uint32_t target; /* low halves of a handle's index and generation; 0 for none */
  uint32_t tick;   /* time of the last update */
};

struct set
{
  struct entry ways[WAYS];
};

struct prefix_index
{
  uint32_t mask;
  struct set *sets;
};

struct prefix_index *
prefix_index_new (void *parent, uint32_t n_sets)
{
  struct prefix_index *index = talloc_zero (parent, struct prefix_index);

  INVARIANT (n_sets > 0 && (n_sets & (n_sets - 1)) == 0);
  if (index == NULL)
    return NULL;
  index->mask = n_sets - 1;
  index->sets = talloc_zero_array (index, struct set, n_sets);
  if (index->sets == NULL)
    {
      talloc_free (index);
      return NULL;
    }
  return index;
}

static uint32_t
pack_target (struct handle target)
{
  return target.generation << 16 | (target.index & 0xffff);
}

static struct handle
unpack_target (uint32_t word)
{
  return (struct handle){ .index = word & 0xffff, .generation = word >> 16 };
}

/* Sampled blocks share their low bits, so higher bits select the set. */
static struct set *
set_of (const struct prefix_index *index, uint64_t block)
{
  return &index->sets[(block >> 8) & index->mask];
}

static uint32_t
tag_of (uint64_t block)
{
  return (uint32_t) (block >> 32);
}

static uint32_t
tick_of (int64_t now)
{
  return (uint32_t) (now / TICK_USEC);
}

void
prefix_add (struct prefix_index *index, uint64_t block, struct handle target, int64_t now)
{
  struct set *set = set_of (index, block);
  struct entry *oldest = &set->ways[0];
  uint32_t tick = tick_of (now);
  uint32_t i;

  if (!prefix_is_sampled (block))
    return;
  for (i = 0; i < WAYS; i++)
    {
      struct entry *entry = &set->ways[i];

      if (entry->tag == tag_of (block) && entry->target == pack_target (target))
        {
          entry->tick = tick;
          return;
        }
      if (entry->target == 0 || (oldest->target != 0 && tick - entry->tick > tick - oldest->tick))
        oldest = entry;
    }
  *oldest = (struct entry){ .tag = tag_of (block), .target = pack_target (target), .tick = tick };
}

void
prefix_remove (struct prefix_index *index, uint64_t block, struct handle target)
{
  struct set *set = set_of (index, block);
  uint32_t i;

  if (!prefix_is_sampled (block))
    return;
  for (i = 0; i < WAYS; i++)
    if (set->ways[i].tag == tag_of (block) && set->ways[i].target == pack_target (target))
      set->ways[i] = (struct entry){ .target = 0 };
}

void
prefix_remove_target (struct prefix_index *index, struct handle target)
{
  uint32_t i;
  uint32_t way;

  for (i = 0; i <= index->mask; i++)
    for (way = 0; way < WAYS; way++)
      if (index->sets[i].ways[way].target == pack_target (target))
        index->sets[i].ways[way] = (struct entry){ .target = 0 };
}

static bool
contains_target (const struct prefix_holder *out, uint32_t count, struct handle target)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    if (handle_equal (out[i].target, target))
      return true;
  return false;
}

uint32_t
prefix_find (const struct prefix_index *index,
             const uint64_t *blocks,
             uint32_t n_blocks,
             int64_t now,
             struct prefix_holder out[PREFIX_HOLDERS])
{
  uint32_t tick = tick_of (now);
  uint32_t count = 0;
  uint32_t at;
  uint32_t i;

  for (at = n_blocks; at > 0 && count < PREFIX_HOLDERS; at--)
    {
      uint64_t block = blocks[at - 1];
      const struct set *set = set_of (index, block);

      if (!prefix_is_sampled (block))
        continue;
      for (i = 0; i < WAYS && count < PREFIX_HOLDERS; i++)
        {
          const struct entry *entry = &set->ways[i];
          struct handle target = unpack_target (entry->target);

          if (entry->target == 0 || entry->tag != tag_of (block)
              || tick - entry->tick > ENTRY_TTL_TICKS || contains_target (out, count, target))
            continue;
          out[count++] = (struct prefix_holder){ .target = target, .blocks = at };
        }
    }
  return count;
}
