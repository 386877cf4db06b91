/* Which hosts keep a binding. */
#include "binding_store.h"
#include <string.h>
#include <xxhash.h>

static uint64_t
score (const struct binding_key *key, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), XXH3_64bits (key->bytes, sizeof key->bytes));
}

static uint32_t
count_in_domain (const struct sync_host *const *chosen, uint32_t n, const char *domain)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < n; i++)
    count += strcmp (chosen[i]->domain, domain) == 0 ? 1 : 0;
  return count;
}

static bool
is_chosen (const struct sync_host *const *chosen, uint32_t n, const struct sync_host *host)
{
  for (uint32_t i = 0; i < n; i++)
    if (chosen[i] == host)
      return true;
  return false;
}

/* The best of the hosts that are not chosen yet: of the domain with the fewest chosen ones, the
 * one with the highest score. */
static const struct sync_host *
next_host (const struct host_view *view,
           const char *self,
           const uint64_t *scores,
           const struct sync_host *const *chosen,
           uint32_t n)
{
  const struct sync_host *best = NULL;
  uint32_t best_count = 0;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < view->n; i++)
    {
      const struct sync_host *host = view->hosts[i];
      uint32_t count = count_in_domain (chosen, n, host->domain);

      if (strcmp (host->name, self) == 0 || is_chosen (chosen, n, host))
        continue;
      if (best != NULL && (count > best_count || (count == best_count && scores[i] <= best_score)))
        continue;
      best = host;
      best_count = count;
      best_score = scores[i];
    }
  return best;
}

uint32_t
binding_order_hosts (const struct host_view *view,
                     const char *self,
                     const struct binding_key *key,
                     uint32_t max,
                     const char **out)
{
  const struct sync_host *chosen[BINDING_LOOKUP_HOSTS];
  uint64_t scores[SYNC_HOSTS_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < view->n; i++)
    scores[i] = score (key, view->hosts[i]->name);
  while (n < max && n < BINDING_LOOKUP_HOSTS)
    {
      const struct sync_host *host = next_host (view, self, scores, chosen, n);

      if (host == NULL)
        break;
      out[n] = host->name;
      chosen[n++] = host;
    }
  return n;
}

void
binding_order_names (const struct binding_key *key, const char **names, uint32_t n)
{
  for (uint32_t i = 1; i < n; i++)
    for (uint32_t j = i; j > 0 && score (key, names[j]) > score (key, names[j - 1]); j--)
      {
        const char *name = names[j];

        names[j] = names[j - 1];
        names[j - 1] = name;
      }
}
