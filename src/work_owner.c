/* Which entry host owns a pool, which owners are alive, and where a split pool's pieces are
 * made. */
#include "log.h"
#include "text.h"
#include "work_private.h"
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

/* ---- who owns a pool ---- */

static uint64_t
owner_score (const char *host, const char *pool, const char *domain)
{
  uint64_t seed = XXH3_64bits_withSeed (pool, strlen (pool), XXH3_64bits (domain, strlen (domain)));

  return XXH3_64bits_withSeed (host, strlen (host), seed);
}

struct work_owner *
work_owner_find (struct work *work, const char *name)
{
  for (uint32_t i = 0; i < work->n_owners; i++)
    if (strcmp (work->owners[i].name, name) == 0)
      return &work->owners[i];
  return NULL;
}

struct work_owner *
work_owner_get (struct work *work, const char *name)
{
  struct work_owner *owner = work_owner_find (work, name);

  if (owner != NULL)
    return owner;
  if (work->n_owners < WORK_OWNERS_MAX)
    owner = &work->owners[work->n_owners++];
  for (uint32_t i = 0; owner == NULL && i < work->n_owners; i++)
    if (work->owners[i].n_orders == 0)
      owner = &work->owners[i];
  if (owner == NULL)
    return NULL;
  *owner = (struct work_owner){ .n_orders = 0 };
  text_copy_truncated (owner->name, sizeof owner->name, name);
  return owner;
}

static bool
is_suspect (struct work *work, const char *name, int64_t now)
{
  const struct work_owner *owner = work_owner_find (work, name);

  return owner != NULL && now < owner->suspect_until;
}

static bool
is_in (const struct work_owner_list *list, const char *name)
{
  for (uint32_t i = 0; list != NULL && i < list->n; i++)
    if (strcmp (list->names[i], name) == 0)
      return true;
  return false;
}

static bool
has_lost_pool (const struct work *work, const char *name, const char *pool, int64_t now)
{
  if (strcmp (name, work->config.name) == 0)
    return target_reach_is_lost (work->config.reach, pool);
  return subscriber_has_lost (work->config.subscriber, name, pool, now);
}

/* A host in another failure domain is used only if there is none in this one, one that does not
 * reach the pool only if none does. */
static uint64_t
rank_owner (struct work *work,
            const struct sync_host *host,
            const char *pool,
            const char *domain,
            const struct work_owner_list *unreaching,
            int64_t now)
{
  uint64_t rank = owner_score (host->name, pool, domain) >> 2;

  if (strcmp (host->domain, domain) == 0)
    rank |= UINT64_C (1) << 62;
  if (!is_in (unreaching, host->name) && !has_lost_pool (work, host->name, pool, now))
    rank |= UINT64_C (1) << 63;
  return rank;
}

const char *
work_owner_of (struct work *work,
               const char *pool,
               const char *domain,
               const struct work_owner_list *unreaching,
               int64_t now)
{
  const struct host_view *view = subscriber_hosts (work->config.subscriber);
  const char *best = work->config.name;
  uint64_t best_rank = 0;

  for (uint32_t i = 0; i < view->n; i++)
    {
      const struct sync_host *host = view->hosts[i];
      uint64_t rank = rank_owner (work, host, pool, domain, unreaching, now);

      if (rank < best_rank || is_suspect (work, host->name, now))
        continue;
      best = host->name;
      best_rank = rank;
    }
  return best;
}

bool
work_note_unreaching (struct work *work, struct work_order *order, int64_t now)
{
  struct work_owner_list *list = &order->unreaching;
  const char *next;

  if (list->n == WORK_UNREACHING_OWNERS_MAX)
    return false;
  text_copy_truncated (list->names[list->n++], ROUTING_NAME_SIZE, order->owner);
  next = work_owner_of (work, order->pool, order->domain, list, now);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "owner-reaches-no-target", "{s:s,s:i,s:s,s:s,s:s}",
             "id", order->request, "stage", (int) order->stage, "pool", order->pool, "owner",
             order->owner, "next", next);
  return !is_in (list, next);
}

/* ---- where pieces are made ---- */

static struct work_shard *
find_shard (struct work *work, const char *pool, const char *domain)
{
  for (uint32_t i = 0; i < work->n_shards; i++)
    if (strcmp (work->shards[i].pool, pool) == 0 && strcmp (work->shards[i].domain, domain) == 0)
      return &work->shards[i];
  return NULL;
}

void
work_note_wait (struct work *work,
                const char *pool,
                const char *domain,
                int64_t wait,
                int64_t smoothed_wait,
                int64_t now)
{
  struct work_shard *shard = find_shard (work, pool, domain);

  if (shard == NULL)
    {
      if (work->n_shards == WORK_SHARDS_MAX)
        return;
      shard = &work->shards[work->n_shards++];
      text_copy_truncated (shard->pool, sizeof shard->pool, pool);
      text_copy_truncated (shard->domain, sizeof shard->domain, domain);
    }
  shard->wait = wait;
  shard->smoothed_wait = smoothed_wait;
  shard->reported_at = now;
}

static int64_t
reported_wait (struct work *work, const char *pool, const char *domain, int64_t now)
{
  const struct work_shard *shard = find_shard (work, pool, domain);

  return shard == NULL || now - shard->reported_at > WORK_WAIT_TTL ? 0 : shard->wait;
}

/* In a split pool it is not known yet which shard will make a later stage, so the longest reported
 * wait counts. */
int64_t
work_smoothed_wait (const struct work *work, const char *pool, int64_t now)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < work->n_shards; i++)
    if (strcmp (work->shards[i].pool, pool) == 0
        && now - work->shards[i].reported_at < WORK_SMOOTHED_WAIT_TTL
        && work->shards[i].smoothed_wait > longest)
      longest = work->shards[i].smoothed_wait;
  return longest;
}

static uint32_t
count_targets (const struct work *work, const char *pool)
{
  uint32_t n = 0;

  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    n += at->usable && strcmp (at->pool, pool) == 0 ? 1 : 0;
  return n;
}

bool
work_pool_is_split (const struct work *work, const char *pool)
{
  return count_targets (work, pool) >= WORK_SPLIT_TARGETS_MIN;
}

static bool
has_domain (const struct work_shard_list *list, const char *domain)
{
  for (uint32_t i = 0; i < list->n; i++)
    if (strcmp (list->domains[i], domain) == 0)
      return true;
  return false;
}

bool
work_choose_shard (struct work *work,
                   const char *pool,
                   const char *wanted,
                   const struct work_shard_list *refused,
                   char out[ROUTING_NAME_SIZE],
                   int64_t now)
{
  const struct balance_target *best = NULL;
  int64_t best_cost = 0;

  if (!work_pool_is_split (work, pool))
    {
      out[0] = '\0';
      return true;
    }
  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    {
      int64_t cost;

      if (!at->usable || strcmp (at->pool, pool) != 0 || has_domain (refused, at->domain))
        continue;
      cost = reported_wait (work, pool, at->domain, now)
             + (strcmp (at->domain, wanted) == 0 ? 0 : WORK_CROSS_DOMAIN_COST);
      if (best != NULL && cost >= best_cost)
        continue;
      best = at;
      best_cost = cost;
    }
  if (best == NULL)
    return false;
  text_copy_truncated (out, ROUTING_NAME_SIZE, best->domain);
  return true;
}

bool
work_note_refusal (struct work *work,
                   const char *request,
                   const char *pool,
                   const char *domain,
                   struct work_shard_list *refused)
{
  char other[ROUTING_NAME_SIZE];
  bool has_other;

  if (domain[0] == '\0' || refused->n == WORK_REFUSED_SHARDS_MAX)
    return false;
  text_copy_truncated (refused->domains[refused->n++], ROUTING_NAME_SIZE, domain);
  has_other =
      work_pool_is_split (work, pool) && work_choose_shard (work, pool, "", refused, other, 0);
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_INFO, "part-refused", "{s:s,s:s,s:s,s:i,s:b}", "id",
             request, "pool", pool, "domain", domain, "refused", (int) refused->n, "asks_other",
             has_other);
  return has_other;
}

static bool
has_targets (const struct work *work, const char *pool, const char *domain)
{
  for (const struct balance_target *at = work->config.balance->targets; at != NULL; at = at->next)
    if (at->usable && strcmp (at->pool, pool) == 0 && strcmp (at->domain, domain) == 0)
      return true;
  return false;
}

static bool
can_use_booked_shard (const struct work *work, const struct work_order *order)
{
  return order->booked_domain[0] != '\0'
         && !has_domain (&order->refused_shards, order->booked_domain)
         && (order->preferred_domain[0] == '\0'
             || strcmp (order->preferred_domain, order->booked_domain) == 0
             || has_domain (&order->refused_shards, order->preferred_domain))
         && has_targets (work, order->pool, order->booked_domain);
}

/* A booking that is not used would cause others to be rejected. */
static void
cancel_unused_booking (struct work *work, struct work_order *order)
{
  if (order->booked_domain[0] == '\0' || strcmp (order->booked_domain, order->domain) == 0)
    return;
  work_book_cancel (work, order->booked_owner, order->pool, order->booked_domain, order->request,
                    order->stage);
  order->booked_domain[0] = '\0';
}

/* Uses the shard where the order was booked, unless it prefers another one by now that has not
 * refused. */
void
work_choose_domain (struct work *work, struct work_order *order, int64_t now)
{
  const char *wanted =
      order->preferred_domain[0] != '\0' ? order->preferred_domain : order->home_domain;
  const struct work_shard_list none = { .n = 0 };

  if (can_use_booked_shard (work, order))
    text_copy_truncated (order->domain, sizeof order->domain, order->booked_domain);
  else if (!work_choose_shard (work, order->pool, wanted, &order->refused_shards, order->domain,
                               now))
    work_choose_shard (work, order->pool, wanted, &none, order->domain, now);
  cancel_unused_booking (work, order);
}

void
work_owner_add_orders (struct work *work, const char *name, int change)
{
  struct work_owner *owner = work_owner_find (work, name);

  if (owner != NULL)
    owner->n_orders += (uint32_t) change;
}

void
work_owner_heard (struct work *work, const char *from, int64_t now)
{
  struct work_owner *owner = work_owner_find (work, from);

  if (owner == NULL)
    return;
  owner->last_heard = now;
  owner->suspect_until = 0;
}
