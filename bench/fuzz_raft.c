/* Consensus messages, received by a follower and by a leader. */
#include "fuzz_parts.h"
#include "raft.h"
#include "text.h"
#include <talloc.h>

#define SELF 101
#define OTHER 100
#define SEED 1
#define ENTRIES 4
#define SPAN USEC_PER_SEC

static const struct raft_options options = {
  .id = SELF,
  .seed = SEED,
  .heartbeat = 50 * USEC_PER_MSEC,
  .election_min = 200 * USEC_PER_MSEC,
  .election_max = 400 * USEC_PER_MSEC,
  .drift_ppm = 500,
  .lease_reads = true,
  .batch_bytes = 4096,
  .max_in_flight = 4,
  .chunk_bytes = 1024,
};

static void
fill_members (struct raft_members *members)
{
  static const char *const names[] = { "a", "b", "c" };
  uint32_t i;

  *members = (struct raft_members){ .n = 3, .wanted = 3 };
  for (i = 0; i < members->n; i++)
    {
      members->members[i].id = OTHER + i;
      members->members[i].voter = true;
      text_copy (members->members[i].name, sizeof members->members[i].name, names[i]);
    }
}

/* Handles each ready as a driver does, with a disk that never fails. */
static void
process_ready (struct raft *raft, int64_t now)
{
  struct raft_ready ready;

  while (raft_poll (raft, &ready, now))
    if (ready.stores)
      raft_synced (raft, now);
  while (raft_next_committed (raft) != NULL)
    raft_mark_applied (raft);
}

/* Returns a server with a few log entries, of which the first is committed. */
static struct raft *
make_raft (void *parent, bool is_leader)
{
  const struct raft_state state = { .term = 0 };
  struct raft_message vote = { .from = OTHER, .to = SELF, .ok = true, .kind = RAFT_PRE_VOTE_REPLY };
  struct raft *raft =
      raft_new (parent, &options, &state, &(struct raft_snapshot){ .index = 0 }, 0, 0, 0);
  struct raft_members members;
  uint64_t index;
  uint64_t term;
  int i;

  fill_members (&members);
  raft_bootstrap (raft, &members);
  process_ready (raft, 0);
  if (!is_leader)
    return raft;
  raft_tick (raft, SPAN);
  process_ready (raft, SPAN);
  vote.term = raft_term (raft) + 1;
  raft_step (raft, &vote, SPAN);
  process_ready (raft, SPAN);
  vote.kind = RAFT_VOTE_REPLY;
  vote.term = raft_term (raft);
  raft_step (raft, &vote, SPAN);
  process_ready (raft, SPAN);
  INVARIANT (raft_role (raft) == RAFT_LEADER);
  for (i = 0; i < ENTRIES; i++)
    raft_propose (raft, "x", 1, &index, &term);
  process_ready (raft, SPAN);
  return raft;
}

static enum status
receive_message (void *parent, const void *data, size_t length, bool is_leader)
{
  struct raft *raft = make_raft (parent, is_leader);
  struct raft_message message;
  enum status status = raft_message_read (parent, data, length, &message);

  if (status != STATUS_OK)
    return status;
  raft_step (raft, &message, 2 * SPAN);
  process_ready (raft, 2 * SPAN);
  raft_tick (raft, 3 * SPAN);
  process_ready (raft, 3 * SPAN);
  return STATUS_OK;
}

static enum status
follower_decode (void *parent, const void *data, size_t length)
{
  return receive_message (parent, data, length, false);
}

static enum status
leader_decode (void *parent, const void *data, size_t length)
{
  return receive_message (parent, data, length, true);
}

static void
sample (uint32_t i, struct bytes *out)
{
  fuzz_raft.sample (i, out);
}

const struct fuzz_decoder fuzz_raft_follower = {
  .name = "raft-follower",
  .n_samples = RAFT_MESSAGE_KIND_COUNT,
  .sample = sample,
  .decode = follower_decode,
};

const struct fuzz_decoder fuzz_raft_leader = {
  .name = "raft-leader",
  .n_samples = RAFT_MESSAGE_KIND_COUNT,
  .sample = sample,
  .decode = leader_decode,
};
