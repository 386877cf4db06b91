// Random walks through failures, the same seeds every time.
//
// A walk proposes and reads while messages are dropped, delayed, doubled and reordered, links cut
// one way or both, processes crash between any two file operations and lose what was not synced,
// disks are lost and replaced, disks are slow and clocks part.  After each event: one leader a
// term, every machine the same at the same entry, no read older than what was applied before it,
// nobody under an identity that was lost.  At the end all is mended, and the group must become
// whole.
#include "explore.h"
#include <gtest/gtest.h>

namespace
{

constexpr uint32_t steps = 300;

void
walk (uint32_t voters, uint64_t seed, bool plain = false)
{
  struct explore_config config = { .seed = seed, .voters = voters, .steps = steps, .plain = plain };
  struct explore_result result;

  explore (&config, &result);
  EXPECT_STREQ (result.breach, "") << voters << " voters, seed " << seed;
  EXPECT_GT (result.count.committed, 0u) << voters << " voters, seed " << seed;
}

TEST (Explore, ThreeVoters)
{
  for (uint64_t seed = 1; seed <= 25; seed++)
    walk (3, seed);
}

TEST (Explore, FiveVoters)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    walk (5, seed);
}

TEST (Explore, ThreeVotersPlain)
{
  for (uint64_t seed = 1; seed <= 15; seed++)
    walk (3, seed, true);
}

TEST (Explore, NineVoters)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    walk (9, seed);
}

// An operator reads a setting back and sees the one before it.  The host restarts while its read is
// on the way; the answer comes late and carries the number that the new process gave to a read of
// its own, since numbers began at one at each start.
TEST (Explore, LateAnswerToTheProcessBeforeIsNotTakenForOurs)
{
  for (uint64_t seed : { 309, 801, 937, 992 })
    walk (3, seed, true);
  for (uint64_t seed : { 107, 298, 627 })
    walk (5, seed, true);
  walk (9, 718, true);
}

// A voter refuses to start after a plain restart and says that its journal is damaged.  A new
// leader had replaced entries from before the oldest segment; once a snapshot dropped the segment
// that held the replaced ones, the replacements looked out of place.
TEST (Explore, ReplacedEntriesBehindADroppedSegmentAreReadBack)
{
  for (uint64_t seed : { 751, 1671 })
    walk (3, seed, true);
  for (uint64_t seed : { 74, 154, 222, 253 })
    walk (5, seed, true);
  for (uint64_t seed : { 567, 947 })
    walk (9, seed, true);
}

// A host with a new disk is never taken in, and the group stays one voter short.  Its leader added
// it and was cut off before that was committed; the host had the group's number from then on, and
// the next leader took only hosts without one.
TEST (Explore, HostWhoseAdditionWasLostIsTakenInLater)
{
  for (uint64_t seed : { 533, 857 })
    walk (3, seed, true);
  for (uint64_t seed : { 391, 696, 1131, 1339 })
    walk (5, seed, true);
  for (uint64_t seed : { 551, 698 })
    walk (9, seed, true);
}

} // namespace
