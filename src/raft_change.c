/* Membership changes.  A set of members takes effect when its entry is appended to the log,
 * committed or not, and is reverted when the entry is truncated. */
#include "raft_private.h"
#include <string.h>

/* When the table is full the oldest set is dropped.  No truncation reaches back that far, since at
 * most one change is uncommitted at a time. */
void
raft_configs_add (struct raft *raft, uint64_t index, const struct raft_members *members)
{
  if (raft->n_configs == RAFT_CONFIGS_MAX)
    {
      raft->n_configs--;
      memmove (&raft->configs[0], &raft->configs[1], raft->n_configs * sizeof raft->configs[0]);
    }
  raft->configs[raft->n_configs].index = index;
  raft->configs[raft->n_configs].members = *members;
  raft->n_configs++;
}

void
raft_configs_truncate (struct raft *raft, uint64_t from)
{
  while (raft->n_configs > 1 && raft->configs[raft->n_configs - 1].index >= from)
    raft->n_configs--;
}

/* Discard sets that are superseded by a later one at or before `index`. */
void
raft_configs_compact (struct raft *raft, uint64_t index)
{
  uint32_t n = 0;

  while (n + 1 < raft->n_configs && raft->configs[n + 1].index <= index)
    n++;
  raft->n_configs -= n;
  memmove (&raft->configs[0], &raft->configs[n], raft->n_configs * sizeof raft->configs[0]);
}

bool
raft_members_at (const struct raft *raft, uint64_t index, struct raft_members *out)
{
  for (uint32_t i = raft->n_configs; i > 0; i--)
    if (raft->configs[i - 1].index <= index)
      {
        *out = raft->configs[i - 1].members;
        return true;
      }
  return false;
}

static enum status
check_change (struct raft *raft, const struct raft_change *change)
{
  const struct raft_peer *peer;

  if (raft->role != RAFT_LEADER || raft->transfer_to != 0)
    return status_fail (STATUS_NOT_LEADER, "not the leader");
  /* Ongaro's correction of 2015: a change made before the leader commits an entry of its term could
   * overlap with one of another leader. */
  if (raft->commit < raft->first_index)
    return status_fail (STATUS_AGAIN, "this leader has not committed an entry yet");
  if (raft->configs[raft->n_configs - 1].index > raft->commit)
    return status_fail (STATUS_AGAIN, "the last change of members is not committed yet");
  if (change->kind == RAFT_REMOVE && change->member.id == raft->options.id)
    return status_fail (STATUS_CONFLICT, "hand leadership over before removing the leader");
  if (change->kind != RAFT_PROMOTE)
    return STATUS_OK;
  peer = raft_peer_find (raft, change->member.id);
  if (peer != NULL && peer->match < raft->commit)
    return status_fail (STATUS_UNAVAILABLE, "the learner has not caught up");
  return STATUS_OK;
}

enum status
raft_change_members (struct raft *raft, const struct raft_change *change)
{
  struct raft_members members;
  struct bytes out;
  enum status status = check_change (raft, change);

  if (status == STATUS_OK)
    status = raft_members_apply_change (raft_current_members (raft), change, &members);
  if (status != STATUS_OK)
    return status;
  bytes_init (&out, raft);
  raft_members_write (&members, &out);
  if (bytes_has_failed (&out))
    return status_fail (STATUS_NO_MEMORY, "members");
  status = raft_append_local (raft, RAFT_ENTRY_MEMBERS, out.data, (uint32_t) out.length);
  bytes_clear (&out);
  if (status != STATUS_OK)
    return status;
  raft_configs_add (raft, raft_log_last (&raft->log), &members);
  raft_rebuild_peers (raft);
  return STATUS_OK;
}
