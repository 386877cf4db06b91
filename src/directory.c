/* The directory: calls of targets, expiry of leases and removal of old entries. */
#include "directory.h"
#include "directory_state.h"
#include "log.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define TICK_INTERVAL (100 * USEC_PER_MSEC)

/* A renewal that arrives when less than this is left of the lease is pushed to the other hosts at
 * once. */
#define LATE_RENEWAL_MARGIN (600 * USEC_PER_MSEC)

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
  directory->refused_outdated = counter_get (counters, "cherryarch_directory_refused_old_total",
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
  directory->own_home = directory_find_or_add_home (directory, config->self);
  if (directory->own_home == NULL)
    {
      talloc_free (directory);
      return NULL;
    }
  directory->own_home->epoch = config->incarnation;
  return directory;
}

/* ---- calls of targets ---- */

static enum status
refuse_outdated (struct directory *directory, const char *name)
{
  counter_add (directory->refused_outdated, 1);
  return status_fail (STATUS_CONFLICT, "target %s has said newer words", name);
}

static enum status
renew_entry (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  bool renewed_late = now - entry->renewed_at >= DIRECTORY_LEASE - LATE_RENEWAL_MARGIN;

  entry->renewed_at = now;
  if (entry->phase == DIRECTORY_LAPSED)
    directory_set_phase (directory, entry, DIRECTORY_READY, now);
  /* On other hosts the lease has expired or is about to: the push makes them request the list. */
  if (renewed_late)
    directory_list_mark_changed (directory, entry->slot, now);
  directory_set_lease (directory, entry, now + DIRECTORY_LEASE);
  return STATUS_OK;
}

enum status
directory_announce (struct directory *directory, const struct directory_record *record, int64_t now)
{
  struct directory_entry *entry = directory_find_entry (directory, record->name);
  enum status status;
  int order;

  if (entry == NULL)
    entry = directory_add_entry (directory, record->name);
  if (entry == NULL)
    return status_fail (STATUS_LIMIT, "no room for target %s", record->name);
  order = directory_compare (entry, record->incarnation, record->sequence);
  if (order < 0 || (order == 0 && entry->phase == DIRECTORY_LEAVING))
    return refuse_outdated (directory, record->name);
  if (order == 0 && entry->home == directory->own_home)
    return renew_entry (directory, entry, now);
  if (entry->home != directory->own_home)
    directory_detach (directory, entry, now);
  status = directory_update_target (directory, entry, record, now);
  if (status == STATUS_OK && entry->home == NULL)
    status = directory_list_add (directory, entry, now);
  if (status != STATUS_OK)
    return status;
  entry->renewed_at = now;
  directory_set_phase (directory, entry, DIRECTORY_READY, now);
  directory_set_lease (directory, entry, now + DIRECTORY_LEASE);
  directory_list_mark_changed (directory, entry->slot, now);
  return STATUS_OK;
}

/* Returns the entry that `key` refers to if its home is this host and the key is not outdated; else
 * NULL, with the reason in `status`. */
static struct directory_entry *
find_own_entry (struct directory *directory,
                const struct directory_key *key,
                bool with_sequence,
                enum status *status)
{
  struct directory_entry *entry = directory_find_entry (directory, key->name);
  uint64_t sequence;

  *status = STATUS_OK;
  if (entry == NULL || entry->home != directory->own_home)
    {
      *status = status_fail (STATUS_NOT_FOUND, "target %s is not at home here", key->name);
      return NULL;
    }
  sequence = with_sequence ? key->sequence : entry->sequence;
  if (directory_compare (entry, key->incarnation, sequence) < 0)
    *status = refuse_outdated (directory, key->name);
  else if (key->incarnation != entry->incarnation)
    *status =
        status_fail (STATUS_NOT_FOUND, "target %s did not announce this incarnation", key->name);
  return *status == STATUS_OK ? entry : NULL;
}

enum status
directory_renew (struct directory *directory, const struct directory_key *key, int64_t now)
{
  enum status status;
  struct directory_entry *entry = find_own_entry (directory, key, true, &status);

  if (entry == NULL)
    return status;
  if (key->sequence != entry->sequence)
    return status_fail (STATUS_NOT_FOUND, "target %s said something unknown here", key->name);
  return renew_entry (directory, entry, now);
}

enum status
directory_leave (struct directory *directory, const struct directory_key *key, int64_t now)
{
  enum status status;
  struct directory_entry *entry = find_own_entry (directory, key, true, &status);
  struct board_target *target;

  if (entry == NULL)
    return status;
  entry->sequence = key->sequence;
  target = directory_board_target (directory, entry);
  if (target != NULL)
    target->sequence = key->sequence;
  directory_set_phase (directory, entry, DIRECTORY_LEAVING, now);
  directory_list_mark_changed (directory, entry->slot, now);
  return STATUS_OK;
}

enum status
directory_report_load (struct directory *directory,
                       const struct directory_key *key,
                       const struct load_report *report,
                       int64_t now)
{
  enum status status;
  struct directory_entry *entry = find_own_entry (directory, key, false, &status);
  struct board_target *target;

  if (entry == NULL)
    return status;
  target = directory_board_target (directory, entry);
  /* Reports may arrive out of order; an older one is ignored. */
  if (target != NULL && report->measured_at >= target->report.measured_at)
    {
      target->report = *report;
      target->report.received_at = now;
    }
  return STATUS_OK;
}

enum status
directory_report_cache_events (struct directory *directory,
                               const struct directory_key *key,
                               uint64_t first,
                               const struct directory_cache_event *events,
                               size_t n_events,
                               int64_t now)
{
  enum status status;
  struct directory_entry *entry = find_own_entry (directory, key, false, &status);

  if (entry == NULL)
    return status;
  if (entry->next_cache_event != 0 && first > entry->next_cache_event)
    {
      counter_add (directory->cache_gaps, 1);
      log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "cache_gap", "{s:s,s:I}", "target",
                 entry->name, "lost", (json_int_t) (first - entry->next_cache_event));
    }
  for (size_t i = 0; i < n_events; i++)
    {
      /* A resend after a lost answer begins with events that were already processed. */
      if (first + i < entry->next_cache_event)
        continue;
      entry->next_cache_event = first + i + 1;
      if (directory->cache != NULL)
        directory->cache->ops->event (directory->cache, entry->target, &events[i], now);
    }
  return STATUS_OK;
}

/* ---- expiry ---- */

/* Expires the lease of a target of this host that stopped renewing.  A target that was leaving is
 * then removed; any other may only be slow and is kept for DIRECTORY_LAPSED_RETENTION. */
static void
expire_own_entry (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (directory_phase_has_lease (entry->phase) && now - entry->renewed_at >= DIRECTORY_LEASE)
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
      directory_list_mark_changed (directory, entry->slot, now);
    }
  if (entry->phase == DIRECTORY_LAPSED && now - entry->renewed_at >= DIRECTORY_LAPSED_RETENTION)
    directory_list_remove (directory, entry, now);
}

static void
free_detached (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (entry->home == NULL && now - entry->changed_at >= DIRECTORY_LAPSED_RETENTION)
    directory_remove_target (directory, entry, now);
  if (entry->home == NULL && now - entry->changed_at >= DIRECTORY_ENTRY_RETENTION)
    {
      HASH_DEL (directory->entries, entry);
      talloc_free (entry);
    }
}

static void
entry_tick (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  const struct board_target *target = directory_board_target (directory, entry);

  if (target != NULL && target->in_flight > 0)
    entry->used_at = now;
  if (entry->home == directory->own_home)
    expire_own_entry (directory, entry, now);
  else if (entry->home != NULL && now - entry->renewed_at >= DIRECTORY_LAPSED_RETENTION)
    directory_detach (directory, entry, now); /* its home is dead or no longer lists it */
  free_detached (directory, entry, now);
}

/* A process whose clock was set back learns from the other hosts that its incarnation is outdated
 * and adopts a newer one (member.c).  The list's epoch follows, or other hosts would ignore the
 * list as that of the previous process. */
static void
update_epoch (struct directory *directory)
{
  const struct board_host *self = table_get (directory->board->hosts, directory->board->self);

  if (self != NULL && self->incarnation > directory->own_home->epoch)
    directory->own_home->epoch = self->incarnation;
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
  update_epoch (directory);
  directory_list_tick (directory, now);
  directory_sync_tick (directory, now);
  directory_ready_tick (directory, now);
  return now + TICK_INTERVAL;
}

uint32_t
directory_count_own_targets (const struct directory *directory)
{
  return directory->own_home->n_ready;
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
                    (int) directory->own_home->n_ready, "homes", homes);
}
