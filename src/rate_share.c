/* Parts of shared rate limits by the list of entry hosts. */
#include "rate_share.h"
#include <string.h>
#include <xxhash.h>

static const struct host_view *
view_of (const struct rate_share *share)
{
  return share->view != NULL ? share->view : subscriber_hosts (share->subscriber);
}

/* By rendezvous hashing: when a host comes or goes, each position moves by one at most. */
uint32_t
rate_share_rank (const struct rate_share *share, const char *key)
{
  const struct host_view *view = view_of (share);
  uint64_t seed = XXH3_64bits (key, strlen (key));
  uint64_t own = XXH3_64bits_withSeed (share->name, strlen (share->name), seed);
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
  if (share->view == NULL && !subscriber_knows_hosts (share->subscriber))
    return 0;
  if (share->known_since == 0)
    share->known_since = now;
  return host_count_update (&share->count, view_of (share)->n, now);
}

uint32_t
rate_share_settled_hosts (struct rate_share *share, int64_t now)
{
  uint32_t n = rate_share_hosts (share, now);

  return n > 0 && now - share->known_since >= RATE_SHARE_SETTLE ? n : 0;
}

uint64_t
rate_share_revision (const struct rate_share *share)
{
  return view_of (share)->revision;
}

struct rate_limit
rate_share_part (struct rate_share *share,
                 const struct rate_limit *limit,
                 const char *key,
                 int64_t now)
{
  uint32_t n_hosts = rate_share_hosts (share, now);

  return rate_part_of (limit, n_hosts, rate_share_rank (share, key));
}
