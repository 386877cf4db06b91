/* Parts of shared rate limits by the list of entry hosts. */
#include "rate_share.h"
#include <string.h>
#include <xxhash.h>

/* This host's position in the order of the hosts for the key, by rendezvous hashing: when a host
 * comes or goes, each part moves by one place at most. */
static uint32_t
rank_for (const struct host_view *view, const char *name, const char *key)
{
  uint64_t seed = XXH3_64bits (key, strlen (key));
  uint64_t own = XXH3_64bits_withSeed (name, strlen (name), seed);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < view->n; i++)
    {
      const char *other = view->hosts[i]->name;

      rank += XXH3_64bits_withSeed (other, strlen (other), seed) > own ? 1 : 0;
    }
  return rank;
}

uint32_t
rate_share_hosts (struct rate_share *share, int64_t now)
{
  if (!subscriber_knows_hosts (share->subscriber))
    return 0;
  return host_count_update (&share->count, subscriber_hosts (share->subscriber)->n, now);
}

struct rate_limit
rate_share_part (struct rate_share *share,
                 const struct rate_limit *limit,
                 const char *key,
                 int64_t now)
{
  uint32_t n_hosts = rate_share_hosts (share, now);
  uint32_t rank = 0;

  if (rate_part_holders (limit, n_hosts) < n_hosts)
    rank = rank_for (subscriber_hosts (share->subscriber), share->name, key);
  return rate_part_of (limit, n_hosts, rank);
}
