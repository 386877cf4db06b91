/* Several state machines on one log. */
#include "store_group.h"
#include "store_pack.h"
#include <string.h>
#include <talloc.h>

#define GROUP_FORMAT 1
#define GROUP_PART_FIELDS 2

struct store_group
{
  struct machine machine;
  struct machine *parts[STORE_PART_COUNT];
};

void
store_group_begin_entry (enum store_part part, struct bytes *entry)
{
  char byte = (char) part;

  bytes_append (entry, &byte, 1);
}

/* An entry for an unknown part changes nothing and has an empty result: a malformed entry must have
 * the same effect on every replica, not stop them all. */
static void
apply (
    struct machine *machine, uint64_t index, const void *entry, size_t length, struct bytes *result)
{
  struct store_group *group = (struct store_group *) machine;
  const uint8_t *bytes = entry;
  struct machine *part;

  if (length == 0 || bytes[0] >= STORE_PART_COUNT || group->parts[bytes[0]] == NULL)
    return;
  part = group->parts[bytes[0]];
  part->ops->apply (part, index, bytes + 1, length - 1, result);
}

static enum status
save_part (struct machine *part, uint32_t number, struct bytes *out)
{
  struct bytes inner;
  enum status status;

  bytes_init (&inner, NULL);
  status = part->ops->save (part, &inner);
  pack_array (out, GROUP_PART_FIELDS);
  pack_uint (out, number);
  pack_binary (out, inner.data, inner.length);
  bytes_clear (&inner);
  return status;
}

static enum status
save (struct machine *machine, struct bytes *out)
{
  struct store_group *group = (struct store_group *) machine;
  enum status status = STATUS_OK;
  uint32_t number;

  pack_uint (out, GROUP_FORMAT);
  for (number = 0; number < STORE_PART_COUNT && status == STATUS_OK; number++)
    if (group->parts[number] != NULL)
      status = save_part (group->parts[number], number, out);
  if (status == STATUS_OK && bytes_has_failed (out))
    return status_fail (STATUS_NO_MEMORY, "no memory for a snapshot");
  return status;
}

static enum status
load (struct machine *machine, uint64_t index, const void *data, size_t length)
{
  struct store_group *group = (struct store_group *) machine;
  struct pack_reader in;
  enum status status = STATUS_OK;

  pack_reader_init (&in, data, length);
  if (pack_read_uint (&in, UINT64_MAX) != GROUP_FORMAT)
    return status_fail (STATUS_UNSUPPORTED, "snapshot has an unsupported format");
  while (in.left > 0 && !in.failed && status == STATUS_OK)
    {
      uint64_t number;
      size_t part_length;
      const void *part;

      if (pack_read_array (&in, GROUP_PART_FIELDS) != GROUP_PART_FIELDS)
        in.failed = true;
      number = pack_read_uint (&in, STORE_PART_COUNT - 1);
      part = store_read_data (&in, &part_length);
      if (in.failed || group->parts[number] == NULL)
        return status_fail (STATUS_CORRUPT, "snapshot is malformed or has an unknown part");
      status = group->parts[number]->ops->load (group->parts[number], index, part, part_length);
    }
  return status == STATUS_OK ? store_read_end (&in) : status;
}

static const struct machine_ops machine_ops = { .apply = apply, .save = save, .load = load };

struct store_group *
store_group_new (void *parent)
{
  struct store_group *group = talloc_zero (parent, struct store_group);

  if (group != NULL)
    group->machine.ops = &machine_ops;
  return group;
}

void
store_group_add (struct store_group *group, enum store_part part, struct machine *machine)
{
  group->parts[part] = machine;
}

struct machine *
store_group_machine (struct store_group *group)
{
  return &group->machine;
}
