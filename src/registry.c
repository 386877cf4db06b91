/* The registry of targets. */
#include "registry.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define WORD_FIELDS 10

static const char *const state_texts[] = {
#define X(name, text) [REGISTRY_##name] = text,
  REGISTRY_STATE_LIST (X)
#undef X
};

const char *
registry_state_text (enum registry_state state)
{
  return state_texts[state];
}

static int
free_registry (struct registry *registry)
{
  HASH_CLEAR (hh_short, registry->by_short);
  HASH_CLEAR (hh, registry->targets);
  return 0;
}

struct registry *
registry_new (void *parent)
{
  struct registry *registry = talloc_zero (parent, struct registry);

  if (registry != NULL)
    talloc_set_destructor (registry, free_registry);
  return registry;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
struct registry_target *
registry_find (const struct registry *registry, const char *id)
{
  struct registry_target *target;

  HASH_FIND (hh, registry->targets, id, strlen (id), target);
  return target;
}

struct registry_target *
registry_find_short (const struct registry *registry, uint64_t id_hash)
{
  struct registry_target *target;

  HASH_FIND (hh_short, registry->by_short, &id_hash, sizeof id_hash, target);
  return target;
}
/* NOLINTEND(readability-function-size) */

uint64_t
registry_id_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

static void
touch (struct registry *registry, struct registry_target *target)
{
  target->revision = ++registry->revision;
}

/* Addresses are reused: of two targets at one address, the one first heard later owns it now.  The
 * other becomes GONE, so that its delayed renewals do not bring it back. */
static void
settle_address (struct registry *registry, struct registry_target *newcomer)
{
  struct registry_target *target;
  struct registry_target *next;

  HASH_ITER (hh, registry->targets, target, next)
    {
      if (target == newcomer || target->word.state == REGISTRY_GONE
          || strcmp (target->word.address, newcomer->word.address) != 0)
        continue;
      if (target->first_heard > newcomer->first_heard)
        {
          newcomer->word.state = REGISTRY_GONE;
          continue;
        }
      target->word.state = REGISTRY_GONE;
      touch (registry, target);
    }
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static enum registry_news
add (struct registry *registry,
     const struct registry_word *word,
     int64_t age,
     int64_t now,
     struct registry_target **out)
{
  struct registry_target *target = talloc_zero (registry, struct registry_target);

  *out = target;
  if (target == NULL)
    return REGISTRY_NEWS_NONE;
  target->word = *word;
  target->heard = now - age;
  target->first_heard = now - age;
  target->id_hash = registry_id_hash (word->id);
  HASH_ADD_STR (registry->targets, word.id, target);
  HASH_ADD (hh_short, registry->by_short, id_hash, sizeof target->id_hash, target);
  touch (registry, target);
  if (word->state != REGISTRY_GONE)
    settle_address (registry, target);
  return REGISTRY_NEWS_ADDED;
}
/* NOLINTEND(readability-function-size) */

/* Compares the start times of a registration and the one held: below 0 when earlier, above 0 when
 * later.  When either reports no start time they compare equal, and the sequence alone decides. */
static int
compare_starts (const struct registry_word *word, const struct registry_word *held)
{
  if (word->started == 0 || held->started == 0 || word->started == held->started)
    return 0;
  return word->started < held->started ? -1 : 1;
}

/* Replaces the registration of a target that restarted with the same identity. */
static enum registry_news
begin_anew (struct registry *registry,
            struct registry_target *target,
            const struct registry_word *word,
            int64_t age,
            int64_t now)
{
  target->word = *word;
  target->heard = now - age;
  target->first_heard = now - age;
  target->expired = false;
  touch (registry, target);
  if (word->state != REGISTRY_GONE)
    settle_address (registry, target);
  return REGISTRY_NEWS_CHANGED;
}

enum registry_news
registry_merge (struct registry *registry,
                const struct registry_word *word,
                int64_t age,
                int64_t now,
                struct registry_target **out)
{
  struct registry_target *target = registry_find (registry, word->id);
  bool changed;

  *out = target;
  if (target == NULL)
    return add (registry, word, age, now, out);
  if (compare_starts (word, &target->word) < 0)
    return REGISTRY_NEWS_STALE;
  if (compare_starts (word, &target->word) > 0)
    return begin_anew (registry, target, word, age, now);
  if (target->word.started == 0)
    target->word.started = word->started;
  if (now - age > target->heard && word->sequence >= target->word.sequence)
    target->heard = now - age;
  /* The state only moves forward, whatever the sequence: the end of a target may be reported
   * without a new sequence. */
  if (word->sequence < target->word.sequence && word->state <= target->word.state)
    return REGISTRY_NEWS_STALE;
  changed = word->state > target->word.state;
  if (changed)
    target->word.state = word->state;
  if (word->sequence > target->word.sequence)
    {
      target->word.sequence = word->sequence;
      target->word.slots = word->slots;
      target->word.cold_for = word->cold_for;
      if (target->expired && target->word.state != REGISTRY_GONE)
        {
          target->expired = false;
          changed = true;
        }
    }
  if (!changed)
    return REGISTRY_NEWS_NONE;
  touch (registry, target);
  return REGISTRY_NEWS_CHANGED;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static void
forget (struct registry *registry, struct registry_target *target)
{
  HASH_DELETE (hh_short, registry->by_short, target);
  HASH_DEL (registry->targets, target);
  talloc_free (target);
}
/* NOLINTEND(readability-function-size) */

uint32_t
registry_expire (struct registry *registry, int64_t lease, int64_t now)
{
  struct registry_target *target;
  struct registry_target *next;
  uint32_t expired = 0;

  HASH_ITER (hh, registry->targets, target, next)
    {
      if (now - target->heard > REGISTRY_REMEMBER && target->user == NULL)
        {
          forget (registry, target);
          continue;
        }
      if (target->expired || now - target->heard <= lease)
        continue;
      target->expired = true;
      touch (registry, target);
      expired++;
    }
  return expired;
}

void
registry_write (const struct registry_target *target, int64_t now, struct bytes *out)
{
  const struct registry_word *word = &target->word;

  pack_array (out, WORD_FIELDS);
  pack_text (out, word->id);
  pack_uint (out, word->started);
  pack_text (out, word->pool);
  pack_text (out, word->address);
  pack_text (out, word->domain);
  pack_uint (out, word->state);
  pack_uint (out, word->sequence);
  pack_uint (out, word->slots);
  pack_uint (out, word->cold_for < 0 ? 0 : (uint64_t) word->cold_for);
  pack_uint (out, now < target->heard ? 0 : (uint64_t) (now - target->heard));
}

bool
registry_read (struct pack_reader *in, struct registry_word *word, int64_t *age)
{
  if (pack_read_array (in, WORD_FIELDS) != WORD_FIELDS)
    in->failed = true;
  pack_read_text (in, word->id, sizeof word->id);
  word->started = pack_read_uint (in, UINT64_MAX);
  pack_read_text (in, word->pool, sizeof word->pool);
  pack_read_text (in, word->address, sizeof word->address);
  pack_read_text (in, word->domain, sizeof word->domain);
  word->state = (enum registry_state) pack_read_uint (in, REGISTRY_STATE_COUNT - 1);
  word->sequence = pack_read_uint (in, UINT64_MAX);
  word->slots = (uint32_t) pack_read_uint (in, UINT32_MAX);
  word->cold_for = (int64_t) pack_read_uint (in, INT64_MAX);
  *age = (int64_t) pack_read_uint (in, INT64_MAX);
  return pack_read_ok (in);
}
