/* The list of targets whose home is this host: a single writer, one version, tombstones kept for
 * DIRECTORY_TOMBSTONE_RETENTION. */
#include "directory_state.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

static enum status
find_free_slot (struct directory *directory, uint32_t *out)
{
  uint32_t count = directory->n_item_slots;
  struct directory_item **slots;
  uint32_t slot = 0;

  while (slot < count && directory->item_slots[slot] != NULL)
    slot++;
  *out = slot;
  if (slot < count)
    return STATUS_OK;
  if (count >= BOARD_TARGETS_MAX)
    return status_fail (STATUS_LIMIT, "this host is home of %u targets", count);
  count = count == 0 ? 16 : count * 2;
  slots = talloc_realloc (directory, directory->item_slots, struct directory_item *, count);
  if (slots == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory for targets at home");
  for (uint32_t i = slot; i < count; i++)
    slots[i] = NULL;
  directory->item_slots = slots;
  directory->n_item_slots = count;
  return STATUS_OK;
}

enum status
directory_list_add (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  struct directory_item *item;
  uint32_t slot;
  enum status status = find_free_slot (directory, &slot);

  if (status != STATUS_OK)
    return status;
  item = talloc_zero (directory, struct directory_item);
  if (item == NULL)
    return status_fail (STATUS_NO_MEMORY, "out of memory for targets at home");
  status = directory_attach (directory, entry, directory->own_home, slot);
  if (status != STATUS_OK)
    {
      talloc_free (item);
      return status;
    }
  item->slot = slot;
  item->entry = entry;
  directory->item_slots[slot] = item;
  DL_APPEND (directory->items, item);
  directory_list_mark_changed (directory, slot, now);
  return STATUS_OK;
}

void
directory_list_mark_changed (struct directory *directory, uint32_t slot, int64_t now)
{
  struct directory_item *item = directory->item_slots[slot];

  if (directory->items->prev != item)
    {
      DL_DELETE (directory->items, item);
      DL_APPEND (directory->items, item);
    }
  item->version = ++directory->own_home->version;
  /* The next tick pushes, so that changes between two ticks share one message. */
  if (directory->push_at == USEC_NEVER)
    directory->push_at = now;
}

void
directory_list_remove (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  uint32_t slot = entry->slot;
  struct directory_item *item = directory->item_slots[slot];

  INVARIANT (entry->home == directory->own_home && item->entry == entry);
  directory_detach (directory, entry, now);
  item->entry = NULL;
  text_copy_truncated (item->name, sizeof item->name, entry->name);
  item->incarnation = entry->incarnation;
  item->sequence = entry->sequence;
  item->removed_at = now;
  directory_list_mark_changed (directory, slot, now);
}

void
directory_list_tick (struct directory *directory, int64_t now)
{
  struct directory_item *item;
  struct directory_item *next;

  DL_FOREACH_SAFE (directory->items, item, next)
    {
      if (item->entry != NULL || now - item->removed_at < DIRECTORY_TOMBSTONE_RETENTION)
        continue;
      if (item->version > directory->dropped_version)
        directory->dropped_version = item->version;
      directory->item_slots[item->slot] = NULL;
      DL_DELETE (directory->items, item);
      talloc_free (item);
    }
}
