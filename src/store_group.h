/* Several state machines on one log: entries and snapshots carry the part they belong to.
 *
 * A group holds the resources, a share of the claims, or both; a separate claim shard is a group
 * with claims only. */
#ifndef STORE_GROUP_H
#define STORE_GROUP_H

#include "consensus.h"
#include "decls.h"

BEGIN_DECLS

/* Stored in log entries and snapshots: never renumbered. */
enum store_part
{
  STORE_PART_RESOURCES = 1,
  STORE_PART_CLAIMS = 2,
  STORE_PART_COUNT
};

struct store_group;

/* Freed with `parent`.  NULL when out of memory. */
struct store_group *store_group_new (void *parent);
void store_group_add (struct store_group *group, enum store_part part, struct machine *machine);
struct machine *store_group_machine (struct store_group *group);

/* Write the prefix of an entry of that part; the state machine's own entry follows. */
void store_group_begin_entry (enum store_part part, struct bytes *entry);

END_DECLS

#endif
