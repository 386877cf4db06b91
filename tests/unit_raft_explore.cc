// Random walks through failures, with fixed seeds.
//
// A walk proposes and reads while messages are dropped, delayed, duplicated and reordered, links
// fail in one or both directions, processes crash between any two file operations and lose what was
// not synced, disks are lost and replaced, disks are slow and clocks drift.  After each event the
// test checks: at most one leader per term, all state machines equal at the same entry, no read
// older than what was applied before it, and no server under a lost id.  At the end all faults are
// repaired, and the group must become whole.
#include "explore.h"
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

constexpr uint32_t steps = 300;

// One test per walk, so that the test runner can run them in parallel.
struct walk
{
  uint32_t voters;
  uint64_t seed;
  bool plain;
  bool bad_disks = false;
  uint32_t spares = 0;
  bool tight_disks = false;
};

std::string
walk_name (const testing::TestParamInfo<struct walk> &info)
{
  return std::to_string (info.param.voters) + "VotersSeed" + std::to_string (info.param.seed)
         + (info.param.plain ? "Plain" : "") + (info.param.bad_disks ? "BadDisks" : "")
         + (info.param.spares > 0 ? "Spares" : "") + (info.param.tight_disks ? "Tight" : "");
}

// The first `count` seeds.
std::vector<struct walk>
first (uint32_t voters,
       uint64_t count,
       bool plain = false,
       bool bad_disks = false,
       uint32_t spares = 0)
{
  std::vector<struct walk> walks;

  for (uint64_t seed = 1; seed <= count; seed++)
    walks.push_back ({ voters, seed, plain, bad_disks, spares });
  return walks;
}

class Explore : public testing::TestWithParam<struct walk>
{
};

TEST_P (Explore, KeepsTheInvariantsAndRecovers)
{
  const struct walk &walk = GetParam ();
  struct explore_config config = { .seed = walk.seed,
                                   .voters = walk.voters,
                                   .spares = walk.spares,
                                   .steps = steps,
                                   .no_contests = walk.plain,
                                   .tight_disks = walk.tight_disks,
                                   .bad_disks = walk.bad_disks };
  struct explore_result result;

  explore (&config, &result);
  EXPECT_STREQ (result.breach, "");
  EXPECT_GT (result.count.committed, 0u);
}

INSTANTIATE_TEST_SUITE_P (ThreeVoters, Explore, testing::ValuesIn (first (3, 25)), walk_name);
INSTANTIATE_TEST_SUITE_P (FiveVoters, Explore, testing::ValuesIn (first (5, 10)), walk_name);
INSTANTIATE_TEST_SUITE_P (ThreeVotersPlain,
                          Explore,
                          testing::ValuesIn (first (3, 15, true)),
                          walk_name);
INSTANTIATE_TEST_SUITE_P (NineVoters, Explore, testing::ValuesIn (first (9, 4)), walk_name);

// Disks also fill up and fail to sync.  Each answered read must return everything applied anywhere
// before it began, whichever host answers and in whatever state.
INSTANTIATE_TEST_SUITE_P (BadDisks,
                          Explore,
                          testing::ValuesIn (first (3, 15, false, true)),
                          walk_name);
// Full disks still accept some writes, so that any write of a sequence may be the one that fails.
INSTANTIATE_TEST_SUITE_P (TightDisks,
                          Explore,
                          testing::Values (walk{ 3, 1, false, true, 0, true },
                                           walk{ 3, 2, false, true, 0, true },
                                           walk{ 3, 3, false, true, 0, true },
                                           walk{ 5, 1, false, true, 0, true },
                                           walk{ 5, 2, false, true, 0, true }),
                          walk_name);

// Two spare hosts follow the log and replace voters that are silent for three seconds.
INSTANTIATE_TEST_SUITE_P (Spares,
                          Explore,
                          testing::ValuesIn (first (3, 10, false, true, 2)),
                          walk_name);
INSTANTIATE_TEST_SUITE_P (BadDisksOfFive,
                          Explore,
                          testing::ValuesIn (first (5, 6, false, true)),
                          walk_name);

// A read returned an older setting.  The host restarted with a read in progress; the late answer
// carried the number that the new process had given to its own read, since numbers started at one
// in each process.
INSTANTIATE_TEST_SUITE_P (LateAnswerToThePreviousProcessIsIgnored,
                          Explore,
                          testing::Values (walk{ 3, 309, true },
                                           walk{ 3, 801, true },
                                           walk{ 3, 937, true },
                                           walk{ 3, 992, true },
                                           walk{ 5, 107, true },
                                           walk{ 5, 298, true },
                                           walk{ 5, 627, true },
                                           walk{ 9, 718, true }),
                          walk_name);

// A voter refused to start after an ordinary restart and reported a damaged journal.  A new leader
// had replaced entries from before the oldest segment; once a snapshot dropped the segment with the
// replaced entries, the replacements seemed out of order.
INSTANTIATE_TEST_SUITE_P (ReplacedEntriesBehindADroppedSegmentAreReadBack,
                          Explore,
                          testing::Values (walk{ 3, 751, true },
                                           walk{ 3, 1671, true },
                                           walk{ 5, 74, true },
                                           walk{ 5, 154, true },
                                           walk{ 5, 222, true },
                                           walk{ 5, 253, true },
                                           walk{ 9, 567, true },
                                           walk{ 9, 947, true }),
                          walk_name);

// A host with a new disk was never added, and the group stayed one voter short.  Its leader added
// it and was partitioned before that was committed; the host had stored the group id by then, and
// the next leader added only hosts without one.
INSTANTIATE_TEST_SUITE_P (HostWhoseAdditionWasLostIsAddedLater,
                          Explore,
                          testing::Values (walk{ 3, 533, true },
                                           walk{ 3, 857, true },
                                           walk{ 5, 391, true },
                                           walk{ 5, 696, true },
                                           walk{ 5, 1131, true },
                                           walk{ 5, 1339, true },
                                           walk{ 9, 551, true },
                                           walk{ 9, 698, true }),
                          walk_name);

} // namespace
