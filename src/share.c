/* Leases of a coordinator, the requesting host's share, and their messages. */
#include "share.h"
#include "pack.h"
#include "text.h"
#include <math.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#define DEMAND_MAX 1e9

struct lease
{
  char host[RESOURCE_NAME_SIZE];
  double demand;
  double granted;
  int64_t until;
  struct lease *next;
};

struct entry
{
  char organisation[RESOURCE_NAME_SIZE];
  struct lease *leases;
  int64_t coordinator_since; /* start as coordinator; leases of an earlier one may still run then */
  UT_hash_handle hh;
};

struct share_coordinator
{
  struct entry *entries;
};

static int
coordinator_free (struct share_coordinator *coordinator)
{
  HASH_CLEAR (hh, coordinator->entries);
  return 0;
}

struct share_coordinator *
share_coordinator_new (void *parent)
{
  struct share_coordinator *coordinator = talloc_zero (parent, struct share_coordinator);

  if (coordinator != NULL)
    talloc_set_destructor (coordinator, coordinator_free);
  return coordinator;
}

/* The size comes from uthash's macros.
 * NOLINTBEGIN(readability-function-size) */
static struct entry *
entry_get (struct share_coordinator *coordinator, const char *organisation, int64_t now)
{
  struct entry *entry;

  HASH_FIND_STR (coordinator->entries, organisation, entry);
  if (entry != NULL)
    return entry;
  entry = talloc_zero (coordinator, struct entry);
  if (entry == NULL)
    return NULL;
  text_copy_truncated (entry->organisation, sizeof entry->organisation, organisation);
  entry->coordinator_since = now;
  HASH_ADD_STR (coordinator->entries, organisation, entry);
  return entry;
}

static void
entry_remove (struct share_coordinator *coordinator, struct entry *entry)
{
  HASH_DEL (coordinator->entries, entry);
  talloc_free (entry);
}

/* NOLINTEND(readability-function-size) */

static void
remove_expired (struct entry *entry, int64_t now)
{
  struct lease *lease;
  struct lease *next;

  LL_FOREACH_SAFE (entry->leases, lease, next)
  {
    if (now < lease->until)
      continue;
    LL_DELETE (entry->leases, lease);
    talloc_free (lease);
  }
}

static struct lease *
lease_get (struct entry *entry, const char *host)
{
  struct lease *lease;

  LL_FOREACH (entry->leases, lease)
    if (strcmp (lease->host, host) == 0)
      return lease;
  lease = talloc_zero (entry, struct lease);
  if (lease == NULL)
    return NULL;
  text_copy_truncated (lease->host, sizeof lease->host, host);
  LL_PREPEND (entry->leases, lease);
  return lease;
}

double
share_coordinator_grant (struct share_coordinator *coordinator,
                         const char *organisation,
                         const char *host,
                         double demand,
                         uint32_t n_hosts,
                         int64_t now)
{
  struct entry *entry = entry_get (coordinator, organisation, now);
  struct lease *own;
  const struct lease *lease;
  double whole = 1 - SHARE_RESERVE;
  double demands = 0;
  double others = 0;
  double part;

  if (entry == NULL)
    return 0;
  remove_expired (entry, now);
  own = lease_get (entry, host);
  if (own == NULL)
    return 0;
  own->demand = demand;
  LL_FOREACH (entry->leases, lease)
    {
      demands += lease->demand;
      others += lease == own ? 0 : lease->granted;
    }
  part = demands > 0 ? whole * demand / demands : 0;
  /* An earlier coordinator may have leased the whole: at most an even part until that expired. */
  if (now - entry->coordinator_since < SHARE_LEASE)
    part = fmin (part, whole / (n_hosts > 0 ? n_hosts : 1));
  /* Shares of other hosts become free only when they renew with less or their leases expire. */
  own->granted = fmax (0, fmin (part, whole - others));
  own->until = now + SHARE_LEASE;
  return own->granted;
}

void
share_coordinator_expire (struct share_coordinator *coordinator, int64_t now)
{
  struct entry *entry;
  struct entry *next;

  for (entry = coordinator->entries; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      remove_expired (entry, now);
      if (entry->leases == NULL)
        entry_remove (coordinator, entry);
    }
}

double
share_lease_current (const struct share_lease *lease, uint32_t n_hosts, int64_t now)
{
  double even = 1.0 / (n_hosts > 0 ? n_hosts : 1);

  return now < lease->until ? SHARE_RESERVE * even + lease->granted : even;
}

/* Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998): when a host fails, only the organisations that it coordinated move. */
uint64_t
share_coordinator_weight (const char *organisation, const char *host)
{
  uint64_t seed = XXH3_64bits (organisation, strlen (organisation));

  return XXH3_64bits_withSeed (host, strlen (host), seed);
}

void
share_message_write (const struct share_message *message, struct bytes *out)
{
  uint32_t i;

  pack_uint (out, message->kind);
  pack_array (out, message->n_items);
  for (i = 0; i < message->n_items; i++)
    {
      pack_text (out, message->items[i].organisation);
      pack_double (out, message->items[i].value);
      pack_uint (out, message->items[i].sent_at);
    }
}

static bool
is_in_range (enum share_message_kind kind, double value)
{
  return value >= 0 && value <= (kind == SHARE_GRANT ? 1 : DEMAND_MAX);
}

enum status
share_message_read (void *parent, const void *data, size_t length, struct share_message *out)
{
  struct pack_reader reader;
  bool valid = true;
  uint32_t i;

  *out = (struct share_message){ .n_items = 0 };
  pack_reader_init (&reader, data, length);
  out->kind = (enum share_message_kind) pack_read_uint (&reader, SHARE_GRANT);
  out->n_items = pack_read_array (&reader, SHARE_ITEMS_MAX);
  if (!pack_read_is_ok (&reader) || out->kind < SHARE_REQUEST)
    return status_fail (STATUS_MALFORMED, "not a share message: invalid kind or item count");
  out->items = talloc_zero_array (parent, struct share_item, out->n_items + 1);
  if (out->items == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory for %u share items", out->n_items);
  for (i = 0; i < out->n_items && pack_read_is_ok (&reader); i++)
    {
      struct share_item *item = &out->items[i];

      pack_read_text (&reader, item->organisation, sizeof item->organisation);
      item->value = pack_read_double (&reader);
      item->sent_at = pack_read_uint (&reader, INT64_MAX);
      valid = valid && is_in_range (out->kind, item->value);
    }
  if (valid && pack_read_is_complete (&reader))
    return STATUS_OK;
  TALLOC_FREE (out->items);
  out->n_items = 0;
  return status_fail (STATUS_MALFORMED,
                      "share message is truncated, too long or has a value out of range");
}
