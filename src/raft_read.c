/* Linearizable reads without a log entry: by lease, or by confirming leadership with a quorum. */
#include "raft_private.h"
#include <string.h>
#include <talloc.h>

/* The followers that echoed the round cast no vote for election_min after they received it, which
 * is after the leader sent it.  Their clocks may run faster and the leader's slower, by up to
 * drift_ppm each. */
bool
raft_lease_valid (const struct raft *raft, int64_t now)
{
  int64_t span = raft->options.election_min;

  if (raft->role != RAFT_LEADER || !raft->options.lease_reads || raft->lease_released
      || raft->quorum_round == 0)
    return false;
  span -= 2 * span * raft->options.drift_ppm / 1000000;
  return now < raft->quorum_sent_at + span;
}

static enum status
add_finished_read (struct raft *raft, uint64_t token, uint64_t index, bool ok)
{
  struct raft_read *grown =
      talloc_realloc (raft, raft->reads_done, struct raft_read, raft->n_reads_done + 1);

  if (grown == NULL)
    return status_fail (STATUS_NO_MEMORY, "read");
  raft->reads_done = grown;
  raft->reads_done[raft->n_reads_done++] =
      (struct raft_read){ .token = token, .index = index, .ok = ok };
  return STATUS_OK;
}

enum status
raft_read_request (struct raft *raft, uint64_t token, int64_t now)
{
  struct raft_pending_read *grown;
  uint64_t index;

  if (raft->role != RAFT_LEADER)
    return status_fail (STATUS_NOT_LEADER, "not the leader");
  if (raft_lease_valid (raft, now) && raft->commit >= raft->first_index)
    return add_finished_read (raft, token, raft->commit, true);
  if (raft->n_reads == RAFT_READS_MAX)
    return status_fail (STATUS_LIMIT, "%u reads wait", RAFT_READS_MAX);
  grown = talloc_realloc (raft, raft->reads, struct raft_pending_read, raft->n_reads + 1);
  if (grown == NULL)
    return status_fail (STATUS_NO_MEMORY, "read");
  /* Entries committed by earlier leaders are known to be committed only once the first entry of
   * this term is. */
  index = raft->commit > raft->first_index ? raft->commit : raft->first_index;
  raft->reads = grown;
  raft->reads[raft->n_reads++] =
      (struct raft_pending_read){ .token = token, .index = index, .round = raft->round + 1 };
  raft->reads_need_round = true;
  return STATUS_OK;
}

/* The list is ordered by round, so confirmed reads are at its front. */
void
raft_confirm_reads (struct raft *raft)
{
  uint32_t n = 0;

  while (n < raft->n_reads && raft->reads[n].round <= raft->quorum_round
         && add_finished_read (raft, raft->reads[n].token, raft->reads[n].index, true) == STATUS_OK)
    n++;
  if (n == 0)
    return;
  raft->n_reads -= n;
  memmove (raft->reads, raft->reads + n, raft->n_reads * sizeof raft->reads[0]);
}

void
raft_fail_reads (struct raft *raft)
{
  for (uint32_t i = 0; i < raft->n_reads; i++)
    add_finished_read (raft, raft->reads[i].token, 0, false);
  raft->n_reads = 0;
  raft->reads_need_round = false;
}

bool
raft_pop_read (struct raft *raft, struct raft_read *out)
{
  if (raft->reads_taken < raft->n_reads_done)
    {
      *out = raft->reads_done[raft->reads_taken++];
      return true;
    }
  TALLOC_FREE (raft->reads_done);
  raft->n_reads_done = 0;
  raft->reads_taken = 0;
  return false;
}
