/* The directory: calls of targets, expiry of leases and removal of old entries. */
#include "directory.h"
#include "directory_state.h"
#include "log.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define TICK (100 * USEC_PER_MSEC)

/* A renewal that arrives when less than this is left of the lease is pushed to the other hosts at
 * once. */
#define LAST_MOMENT (600 * USEC_PER_MSEC)

static int
free_directory (struct directory *directory)
{
  HASH_CLEAR (hh, directory->entries);
  HASH_CLEAR (hh, directory->homes);
  return 0;
}

static void
register_counters (struct directory *directory, struct counters *counters)
{
  directory->refused_old = counter_get (counters, "cherryarch_directory_refused_old_total",
                                        "Targets' words that were old", NULL);
  directory->malformed = counter_get (counters, "cherryarch_directory_malformed_total",
                                      "Messages about targets that could not be read", NULL);
  directory->lapsed = counter_get (counters, "cherryarch_directory_lapsed_total",
                                   "Leases of targets that ended", NULL);
  directory->cache_gaps = counter_get (counters, "cherryarch_directory_cache_gaps_total",
                                       "Gaps in targets' cache events", NULL);
  directory->messages_out = counter_get (counters, "cherryarch_directory_messages_out_total",
                                         "Messages about targets sent", NULL);
  directory->bytes_out = counter_get (counters, "cherryarch_directory_bytes_out_total",
                                      "Bytes of messages about targets sent", NULL);
}

struct directory *
directory_new (void *parent, const struct directory_config *config)
{
  struct directory *directory = talloc_zero (parent, struct directory);

  if (directory == NULL)
    return NULL;
  talloc_set_destructor (directory, free_directory);
  directory->board = config->board;
  directory->wire = config->wire;
  directory->cache = config->cache;
  directory->push_at = USEC_NEVER;
  rng_init (&directory->rng, config->seed);
  register_counters (directory, config->counters);
  directory->ours = directory_home_of (directory, config->self);
  if (directory->ours == NULL)
    {
      talloc_free (directory);
      return NULL;
    }
  directory->ours->epoch = config->incarnation;
  return directory;
}

/* ---- calls of targets ---- */

static enum status
refuse_old (struct directory *directory, const char *name)
{
  counter_add (directory->refused_old, 1);
  return status_fail (STATUS_CONFLICT, "target %s has said newer words", name);
}

static enum status
renew (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  bool last_moment = now - entry->renewed_at >= DIRECTORY_LEASE - LAST_MOMENT;

  entry->renewed_at = now;
  if (entry->phase == DIRECTORY_LAPSED)
    directory_set_phase (directory, entry, DIRECTORY_READY, now);
  /* On other hosts the lease has expired or is about to: the push makes them request the list. */
  if (last_moment)
    directory_list_changed (directory, entry->slot, now);
  directory_set_lease (directory, entry, now + DIRECTORY_LEASE);
  return STATUS_OK;
}

enum status
directory_announce (struct directory *directory, const struct directory_record *said, int64_t now)
{
  struct directory_entry *entry = directory_find (directory, said->name);
  enum status status;
  int order;

  if (entry == NULL)
    entry = directory_add (directory, said->name);
  if (entry == NULL)
    return status_fail (STATUS_LIMIT, "no room for target %s", said->name);
  order = directory_compare (entry, said->incarnation, said->sequence);
  if (order < 0 || (order == 0 && entry->phase == DIRECTORY_LEAVING))
    return refuse_old (directory, said->name);
  if (order == 0 && entry->home == directory->ours)
    return renew (directory, entry, now);
  if (entry->home != directory->ours)
    directory_detach (directory, entry, now);
  status = directory_show (directory, entry, said, now);
  if (status == STATUS_OK && entry->home == NULL)
    status = directory_list_add (directory, entry, now);
  if (status != STATUS_OK)
    return status;
  entry->renewed_at = now;
  directory_set_phase (directory, entry, DIRECTORY_READY, now);
  directory_set_lease (directory, entry, now + DIRECTORY_LEASE);
  directory_list_changed (directory, entry->slot, now);
  return STATUS_OK;
}

/* Returns the entry that `key` refers to if its home is this host and the key is not outdated; else
 * NULL, with the reason in `status`. */
static struct directory_entry *
at_home (struct directory *directory,
         const struct directory_key *key,
         bool with_sequence,
         enum status *status)
{
  struct directory_entry *entry = directory_find (directory, key->name);
  uint64_t sequence;

  *status = STATUS_OK;
  if (entry == NULL || entry->home != directory->ours)
    {
      *status = status_fail (STATUS_NOT_FOUND, "target %s is not at home here", key->name);
      return NULL;
    }
  sequence = with_sequence ? key->sequence : entry->sequence;
  if (directory_compare (entry, key->incarnation, sequence) < 0)
    *status = refuse_old (directory, key->name);
  else if (key->incarnation != entry->incarnation)
    *status =
        status_fail (STATUS_NOT_FOUND, "target %s did not announce this incarnation", key->name);
  return *status == STATUS_OK ? entry : NULL;
}

enum status
directory_renew (struct directory *directory, const struct directory_key *key, int64_t now)
{
  enum status status;
  struct directory_entry *entry = at_home (directory, key, true, &status);

  if (entry == NULL)
    return status;
  if (key->sequence != entry->sequence)
    return status_fail (STATUS_NOT_FOUND, "target %s said something unknown here", key->name);
  return renew (directory, entry, now);
}

enum status
directory_leave (struct directory *directory, const struct directory_key *key, int64_t now)
{
  enum status status;
  struct directory_entry *entry = at_home (directory, key, true, &status);
  struct board_target *target;

  if (entry == NULL)
    return status;
  entry->sequence = key->sequence;
  target = directory_target_of (directory, entry);
  if (target != NULL)
    target->sequence = key->sequence;
  directory_set_phase (directory, entry, DIRECTORY_LEAVING, now);
  directory_list_changed (directory, entry->slot, now);
  return STATUS_OK;
}

enum status
directory_load (struct directory *directory,
                const struct directory_key *key,
                const struct load_report *report,
                int64_t now)
{
  enum status status;
  struct directory_entry *entry = at_home (directory, key, false, &status);
  struct board_target *target;

  if (entry == NULL)
    return status;
  target = directory_target_of (directory, entry);
  /* Reports may arrive out of order; an older one is ignored. */
  if (target != NULL && report->measured_at >= target->report.measured_at)
    {
      target->report = *report;
      target->report.received_at = now;
    }
  return STATUS_OK;
}

enum status
directory_cache (struct directory *directory,
                 const struct directory_key *key,
                 uint64_t first,
                 const struct directory_cache_event *events,
                 size_t n_events,
                 int64_t now)
{
  enum status status;
  struct directory_entry *entry = at_home (directory, key, false, &status);

  if (entry == NULL)
    return status;
  if (entry->cache_next != 0 && first > entry->cache_next)
    {
      counter_add (directory->cache_gaps, 1);
      log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "cache_gap", "{s:s,s:I}", "target",
                 entry->name, "lost", (json_int_t) (first - entry->cache_next));
    }
  for (size_t i = 0; i < n_events; i++)
    {
      /* A resend after a lost answer begins with events that were already processed. */
      if (first + i < entry->cache_next)
        continue;
      entry->cache_next = first + i + 1;
      if (directory->cache != NULL)
        directory->cache->ops->event (directory->cache, entry->target, &events[i], now);
    }
  return STATUS_OK;
}

/* ---- expiry ---- */

/* Expires the lease of a target of this host that stopped renewing.  A target that was leaving is
 * then removed; any other may only be slow and is kept for DIRECTORY_KEEP_LAPSED. */
static void
lapse_at_home (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (directory_counts_ready (entry->phase) && now - entry->renewed_at >= DIRECTORY_LEASE)
    {
      counter_add (directory->lapsed, 1);
      log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_WARNING, "lapsed", "{s:s,s:s}", "target",
                 entry->name, "phase", directory_phase_text (entry->phase));
      if (entry->phase == DIRECTORY_LEAVING)
        {
          directory_list_remove (directory, entry, now);
          return;
        }
      directory_set_phase (directory, entry, DIRECTORY_LAPSED, now);
      directory_list_changed (directory, entry->slot, now);
    }
  if (entry->phase == DIRECTORY_LAPSED && now - entry->renewed_at >= DIRECTORY_KEEP_LAPSED)
    directory_list_remove (directory, entry, now);
}

static void
forget (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (entry->home == NULL && now - entry->changed_at >= DIRECTORY_KEEP_LAPSED)
    directory_hide (directory, entry, now);
  if (entry->home == NULL && now - entry->changed_at >= DIRECTORY_REMEMBER)
    {
      HASH_DEL (directory->entries, entry);
      talloc_free (entry);
    }
}

static void
entry_tick (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  const struct board_target *target = directory_target_of (directory, entry);

  if (target != NULL && target->in_flight > 0)
    entry->used_at = now;
  if (entry->home == directory->ours)
    lapse_at_home (directory, entry, now);
  else if (entry->home != NULL && now - entry->renewed_at >= DIRECTORY_KEEP_LAPSED)
    directory_detach (directory, entry, now); /* its home is dead or no longer lists it */
  forget (directory, entry, now);
}

/* A process whose clock was set back learns from the other hosts that its incarnation is outdated
 * and adopts a newer one (member.c).  The list's epoch follows, or other hosts would ignore the
 * list as that of the previous process. */
static void
follow_incarnation (struct directory *directory)
{
  const struct board_host *self = table_get (directory->board->hosts, directory->board->self);

  if (self != NULL && self->incarnation > directory->ours->epoch)
    directory->ours->epoch = self->incarnation;
}

int64_t
directory_tick (struct directory *directory, int64_t now)
{
  struct directory_entry *entry;
  struct directory_entry *next;

  HASH_ITER (hh, directory->entries, entry, next)
    {
      entry_tick (directory, entry, now);
    }
  follow_incarnation (directory);
  directory_list_tick (directory, now);
  directory_sync_tick (directory, now);
  directory_ready_tick (directory, now);
  return now + TICK;
}

uint32_t
directory_at_home (const struct directory *directory)
{
  return directory->ours->n_ready;
}

json_t *
directory_describe (const struct directory *directory)
{
  json_t *homes = json_array ();
  const struct directory_home *home;

  for (home = directory->homes; home != NULL; home = home->hh.next)
    json_array_append_new (homes, json_pack ("{s:s,s:I,s:I,s:I}", "host", home->name, "epoch",
                                             (json_int_t) home->epoch, "version",
                                             (json_int_t) home->version, "targets",
                                             (json_int_t) home->n_ready));
  return json_pack ("{s:i,s:i,s:o}", "known", (int) HASH_COUNT (directory->entries), "at_home",
                    (int) directory->ours->n_ready, "homes", homes);
}
