/* Selection of the hosts that are listed to callers. */
#include "entries.h"
#include "rng.h"
#include <stdlib.h>
#include <string.h>

/* A host that reports full load is still drawn at times: its report may be stale. */
#define WEIGHT_MIN 0.05

struct candidate
{
  const struct board_host *host;
  struct handle handle;
  double key; /* smaller is earlier */
  bool chosen;
};

static const char *const tiers[] = {
#define X(name, text) [ENTRIES_##name] = text,
  ENTRIES_TIER_LIST (X)
#undef X
};

const char *
entries_tier_text (enum entries_tier tier)
{
  return (unsigned) tier < ENTRIES_TIER_COUNT ? tiers[tier] : "unknown";
}

static bool
host_is_in_tier (const struct board *board, const struct board_host *host, enum entries_tier tier)
{
  bool alive = host->state == HOST_ALIVE && !(host->self && (board->leaving || board->refusing));

  if (host->entry_address[0] == '\0')
    return false;
  switch (tier)
    {
    case ENTRIES_SOUND:
      return alive && !host->behind && !host->cut_off;
    case ENTRIES_BEHIND:
      return alive;
    case ENTRIES_ELSEWHERE:
      return !host->self && host->state != HOST_LEAVING && host->state != HOST_LEFT;
    case ENTRIES_NONE:
    case ENTRIES_TIER_COUNT:
      break;
    }
  return false;
}

/* Assigns each host of the tier a key.  Sorted by key they are a weighted random sample without
 * replacement (Efraimidis and Spirakis, Weighted random sampling with a reservoir, 2006). */
static uint32_t
collect_candidates (const struct board *board,
                    enum entries_tier tier,
                    struct rng *rng,
                    struct candidate out[BOARD_HOSTS_MAX])
{
  const struct board_host *host;
  struct handle handle;
  uint32_t cursor = 0;
  uint32_t count = 0;

  while ((host = table_next (board->hosts, &cursor, &handle)) != NULL)
    {
      double weight = 1 - host->load;

      if (!host_is_in_tier (board, host, tier))
        continue;
      if (weight < WEIGHT_MIN)
        weight = WEIGHT_MIN;
      out[count++] = (struct candidate){
        .host = host,
        .handle = handle,
        .key = rng_exponential (rng, 1 / weight),
      };
    }
  return count;
}

static int
compare_keys (const void *a, const void *b)
{
  double left = ((const struct candidate *) a)->key;
  double right = ((const struct candidate *) b)->key;

  return left < right ? -1 : left > right ? 1 : 0;
}

static bool
domain_is_in_round (const struct candidate *candidates,
                    const uint32_t *round,
                    uint32_t n_round,
                    const char *domain)
{
  for (uint32_t i = 0; i < n_round; i++)
    if (strcmp (candidates[round[i]].host->domain, domain) == 0)
      return true;
  return false;
}

/* Goes over the hosts by key in rounds, each taking one host of every failure domain, so that a
 * caller whose host failed with its domain finds the next host in another one. */
static void
interleave_domains (struct candidate *candidates, uint32_t count, struct entries_choice *out)
{
  uint32_t round[ENTRIES_MAX];
  uint32_t left = count;

  while (left > 0 && out->n_hosts < ENTRIES_MAX)
    {
      uint32_t n_round = 0;

      for (uint32_t i = 0; i < count && out->n_hosts < ENTRIES_MAX; i++)
        {
          if (candidates[i].chosen
              || domain_is_in_round (candidates, round, n_round, candidates[i].host->domain))
            continue;
          candidates[i].chosen = true;
          round[n_round++] = i;
          out->hosts[out->n_hosts++] = candidates[i].handle;
          left--;
        }
    }
}

void
entries_choose (const struct board *board, uint64_t seed, struct entries_choice *out)
{
  const struct board_host *self = table_get (board->hosts, board->self);
  struct candidate candidates[BOARD_HOSTS_MAX];
  enum entries_tier tier = ENTRIES_SOUND;
  uint32_t count = 0;
  struct rng rng;

  rng_init (&rng, seed);
  if (self != NULL && self->cut_off)
    tier = ENTRIES_ELSEWHERE;
  for (; tier < ENTRIES_NONE && count == 0; tier++)
    count = collect_candidates (board, tier, &rng, candidates);
  *out = (struct entries_choice){ .tier = count == 0 ? ENTRIES_NONE : tier - 1 };
  qsort (candidates, count, sizeof candidates[0], compare_keys);
  interleave_domains (candidates, count, out);
}
