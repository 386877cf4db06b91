/* The directory's entries: by name, in their homes' lists, and on the board. */
#include "directory_state.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

/* uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
struct directory_entry *
directory_find_entry (const struct directory *directory, const char *name)
{
  struct directory_entry *entry;

  HASH_FIND_STR (directory->entries, name, entry);
  return entry;
}

struct directory_entry *
directory_add_entry (struct directory *directory, const char *name)
{
  struct directory_entry *entry;

  if (HASH_COUNT (directory->entries) >= DIRECTORY_ENTRIES_MAX)
    return NULL;
  entry = talloc_zero (directory, struct directory_entry);
  if (entry == NULL)
    return NULL;
  text_copy_truncated (entry->name, sizeof entry->name, name);
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
directory_board_target (const struct directory *directory, const struct directory_entry *entry)
{
  return table_get (directory->board->targets, entry->target);
}

static void
copy_record (struct board_target *target, const struct directory_record *record)
{
  memcpy (target->name, record->name, sizeof target->name);
  memcpy (target->pool, record->pool, sizeof target->pool);
  memcpy (target->domain, record->domain, sizeof target->domain);
  memcpy (target->address, record->address, sizeof target->address);
  target->kind = record->kind;
  memcpy (target->models, record->models, sizeof target->models);
  target->n_models = record->n_models;
  memcpy (target->adapters, record->adapters, sizeof target->adapters);
  target->n_adapters = record->n_adapters;
  memcpy (target->version, record->version, sizeof target->version);
  target->checks_orders = record->checks_orders;
  target->reports_load = record->reports_load;
  target->slots = record->slots;
  target->incarnation = record->incarnation;
  target->sequence = record->sequence;
}

enum status
directory_update_target (struct directory *directory,
                         struct directory_entry *entry,
                         const struct directory_record *record,
                         int64_t now)
{
  struct board_target *target = directory_board_target (directory, entry);
  bool added = false;

  /* A restarted process must not get late answers that belong to the old one: those hold the old
   * handle, which is invalid from here on. */
  if (target != NULL && target->incarnation != record->incarnation)
    {
      directory_remove_target (directory, entry, now);
      target = NULL;
    }
  if (target == NULL)
    {
      target = table_add (directory->board->targets, &entry->target);
      if (target == NULL)
        return status_fail (STATUS_LIMIT, "no room for target %s", record->name);
      added = true;
    }
  copy_record (target, record);
  if (added)
    {
      target->state = entry->phase == DIRECTORY_LEAVING ? TARGET_LEAVING : TARGET_READY;
      text_copy_truncated (target->home, sizeof target->home,
                           entry->home != NULL ? entry->home->name : "");
    }
  entry->incarnation = record->incarnation;
  entry->sequence = record->sequence;
  entry->changed_at = now;
  board_publish (directory->board, added ? BOARD_TARGET_ADDED : BOARD_TARGET_CHANGED, entry->target,
                 now);
  return STATUS_OK;
}

void
directory_remove_target (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (directory_board_target (directory, entry) == NULL)
    return;
  board_publish (directory->board, BOARD_TARGET_REMOVED, entry->target, now);
  table_remove (directory->board->targets, entry->target);
  entry->target = (struct handle){ 0 };
  entry->next_cache_event = 0;
}

bool
directory_phase_has_lease (enum directory_phase phase)
{
  return phase == DIRECTORY_READY || phase == DIRECTORY_LEAVING;
}

void
directory_set_lease (struct directory *directory,
                     const struct directory_entry *entry,
                     int64_t until)
{
  struct board_target *target = directory_board_target (directory, entry);

  if (target != NULL)
    target->lease_until = until;
}

void
directory_set_phase (struct directory *directory,
                     struct directory_entry *entry,
                     enum directory_phase phase,
                     int64_t now)
{
  struct board_target *target = directory_board_target (directory, entry);

  if (entry->phase == phase)
    return;
  if (entry->home != NULL)
    {
      entry->home->n_ready -= directory_phase_has_lease (entry->phase) ? 1 : 0;
      entry->home->n_ready += directory_phase_has_lease (phase) ? 1 : 0;
    }
  entry->phase = phase;
  entry->changed_at = now;
  if (target == NULL)
    return;
  if (phase == DIRECTORY_LEAVING)
    target->state = TARGET_LEAVING;
  if (phase == DIRECTORY_READY)
    target->state = TARGET_READY;
  if (!directory_phase_has_lease (phase))
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
  struct board_target *target = directory_board_target (directory, entry);

  INVARIANT (entry->home == NULL);
  if (!grow_slots (home, slot))
    return status_fail (STATUS_NO_MEMORY, "out of memory for the list of %s", home->name);
  home->slots[slot] = entry;
  entry->home = home;
  entry->slot = slot;
  home->n_ready += directory_phase_has_lease (entry->phase) ? 1 : 0;
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
directory_detach_keep_lease (struct directory *directory,
                             struct directory_entry *entry,
                             int64_t now)
{
  struct directory_home *home = entry->home;

  (void) directory;
  if (home == NULL)
    return;
  home->n_ready -= directory_phase_has_lease (entry->phase) ? 1 : 0;
  home->slots[entry->slot] = NULL;
  entry->home = NULL;
  entry->changed_at = now;
}
