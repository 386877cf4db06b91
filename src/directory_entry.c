/* The directory's entries: by name, in their homes' lists, and on the board. */
#include "directory_state.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

/* uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
struct directory_entry *
directory_find (const struct directory *directory, const char *name)
{
  struct directory_entry *entry;

  HASH_FIND_STR (directory->entries, name, entry);
  return entry;
}

struct directory_entry *
directory_add (struct directory *directory, const char *name)
{
  struct directory_entry *entry;

  if (HASH_COUNT (directory->entries) >= DIRECTORY_ENTRIES_MAX)
    return NULL;
  entry = talloc_zero (directory, struct directory_entry);
  if (entry == NULL)
    return NULL;
  text_copy_cut (entry->name, sizeof entry->name, name);
  entry->phase = DIRECTORY_GONE;
  HASH_ADD_STR (directory->entries, name, entry);
  return entry;
}

/* NOLINTEND(readability-function-size) */

int
directory_compare (const struct directory_entry *entry, uint64_t incarnation, uint64_t sequence)
{
  if (incarnation != entry->incarnation)
    return incarnation < entry->incarnation ? -1 : 1;
  if (sequence != entry->sequence)
    return sequence < entry->sequence ? -1 : 1;
  return 0;
}

struct board_target *
directory_target_of (const struct directory *directory, const struct directory_entry *entry)
{
  return table_get (directory->board->targets, entry->target);
}

static void
copy_said (struct board_target *target, const struct directory_record *said)
{
  memcpy (target->name, said->name, sizeof target->name);
  memcpy (target->pool, said->pool, sizeof target->pool);
  memcpy (target->domain, said->domain, sizeof target->domain);
  memcpy (target->address, said->address, sizeof target->address);
  target->kind = said->kind;
  memcpy (target->models, said->models, sizeof target->models);
  target->n_models = said->n_models;
  memcpy (target->adapters, said->adapters, sizeof target->adapters);
  target->n_adapters = said->n_adapters;
  memcpy (target->version, said->version, sizeof target->version);
  target->checks_orders = said->checks_orders;
  target->reports_load = said->reports_load;
  target->slots = said->slots;
  target->incarnation = said->incarnation;
  target->sequence = said->sequence;
}

enum status
directory_show (struct directory *directory,
                struct directory_entry *entry,
                const struct directory_record *said,
                int64_t now)
{
  struct board_target *target = directory_target_of (directory, entry);
  bool added = false;

  /* A restarted process must not get late answers that belong to the old one: those hold the old
   * handle, which is invalid from here on. */
  if (target != NULL && target->incarnation != said->incarnation)
    {
      directory_hide (directory, entry, now);
      target = NULL;
    }
  if (target == NULL)
    {
      target = table_add (directory->board->targets, &entry->target);
      if (target == NULL)
        return status_fail (STATUS_LIMIT, "no room for target %s", said->name);
      added = true;
    }
  copy_said (target, said);
  if (added)
    {
      target->state = entry->phase == DIRECTORY_LEAVING ? TARGET_LEAVING : TARGET_READY;
      text_copy_cut (target->home, sizeof target->home,
                     entry->home != NULL ? entry->home->name : "");
    }
  entry->incarnation = said->incarnation;
  entry->sequence = said->sequence;
  entry->changed_at = now;
  board_publish (directory->board, added ? BOARD_TARGET_ADDED : BOARD_TARGET_CHANGED, entry->target,
                 now);
  return STATUS_OK;
}

void
directory_hide (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (directory_target_of (directory, entry) == NULL)
    return;
  board_publish (directory->board, BOARD_TARGET_REMOVED, entry->target, now);
  table_remove (directory->board->targets, entry->target);
  entry->target = (struct handle){ 0 };
  entry->cache_next = 0;
}

bool
directory_counts_ready (enum directory_phase phase)
{
  return phase == DIRECTORY_READY || phase == DIRECTORY_LEAVING;
}

void
directory_set_lease (struct directory *directory,
                     const struct directory_entry *entry,
                     int64_t until)
{
  struct board_target *target = directory_target_of (directory, entry);

  if (target != NULL)
    target->lease_until = until;
}

void
directory_set_phase (struct directory *directory,
                     struct directory_entry *entry,
                     enum directory_phase phase,
                     int64_t now)
{
  struct board_target *target = directory_target_of (directory, entry);

  if (entry->phase == phase)
    return;
  if (entry->home != NULL)
    {
      entry->home->n_ready -= directory_counts_ready (entry->phase) ? 1 : 0;
      entry->home->n_ready += directory_counts_ready (phase) ? 1 : 0;
    }
  entry->phase = phase;
  entry->changed_at = now;
  if (target == NULL)
    return;
  if (phase == DIRECTORY_LEAVING)
    target->state = TARGET_LEAVING;
  if (phase == DIRECTORY_READY)
    target->state = TARGET_READY;
  if (!directory_counts_ready (phase))
    target->lease_until = 0;
  board_publish (directory->board, BOARD_TARGET_CHANGED, entry->target, now);
}

static bool
grow_slots (struct directory_home *home, uint32_t slot)
{
  uint32_t count = home->n_slots;
  struct directory_entry **slots;

  if (slot < count)
    return true;
  while (count <= slot)
    count = count == 0 ? 16 : count * 2;
  slots = talloc_realloc (home, home->slots, struct directory_entry *, count);
  if (slots == NULL)
    return false;
  for (uint32_t i = home->n_slots; i < count; i++)
    slots[i] = NULL;
  home->slots = slots;
  home->n_slots = count;
  return true;
}

enum status
directory_attach (struct directory *directory,
                  struct directory_entry *entry,
                  struct directory_home *home,
                  uint32_t slot)
{
  struct board_target *target = directory_target_of (directory, entry);

  INVARIANT (entry->home == NULL);
  if (!grow_slots (home, slot))
    return status_fail (STATUS_NO_MEMORY, "out of memory for the list of %s", home->name);
  home->slots[slot] = entry;
  entry->home = home;
  entry->slot = slot;
  home->n_ready += directory_counts_ready (entry->phase) ? 1 : 0;
  if (target != NULL)
    memcpy (target->home, home->name, sizeof target->home);
  return STATUS_OK;
}

void
directory_detach (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  struct directory_home *home = entry->home;

  if (home == NULL)
    return;
  directory_set_phase (directory, entry, DIRECTORY_GONE, now);
  home->slots[entry->slot] = NULL;
  entry->home = NULL;
}

void
directory_release (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  struct directory_home *home = entry->home;

  (void) directory;
  if (home == NULL)
    return;
  home->n_ready -= directory_counts_ready (entry->phase) ? 1 : 0;
  home->slots[entry->slot] = NULL;
  entry->home = NULL;
  entry->changed_at = now;
}
