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
#include <string>
#include <vector>

namespace
{

constexpr uint32_t steps = 300;

// One test a walk, so that the run can share them out.
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

TEST_P (Explore, BreaksNoRuleAndBecomesWhole)
{
  const struct walk &walk = GetParam ();
  struct explore_config config = { .seed = walk.seed,
                                   .voters = walk.voters,
                                   .spares = walk.spares,
                                   .steps = steps,
                                   .plain = walk.plain,
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

// Disks fill up and fail to sync beside all the rest.  Each read that is answered must show what
// was applied anywhere before it began, whoever answers and in whatever state.
INSTANTIATE_TEST_SUITE_P (BadDisks,
                          Explore,
                          testing::ValuesIn (first (3, 15, false, true)),
                          walk_name);
// Full disks have room for some writes more, so that any of several in a row is the one that fails.
INSTANTIATE_TEST_SUITE_P (TightDisks,
                          Explore,
                          testing::Values (walk{ 3, 1, false, true, 0, true },
                                           walk{ 3, 2, false, true, 0, true },
                                           walk{ 3, 3, false, true, 0, true },
                                           walk{ 5, 1, false, true, 0, true },
                                           walk{ 5, 2, false, true, 0, true }),
                          walk_name);

// Two hosts more follow the log, and take the place of voters that are silent for three seconds.
INSTANTIATE_TEST_SUITE_P (Spares,
                          Explore,
                          testing::ValuesIn (first (3, 10, false, true, 2)),
                          walk_name);
INSTANTIATE_TEST_SUITE_P (BadDisksOfFive,
                          Explore,
                          testing::ValuesIn (first (5, 6, false, true)),
                          walk_name);

// An operator reads a setting back and sees the one before it.  The host restarts while its read is
// on the way; the answer comes late and carries the number that the new process gave to a read of
// its own, since numbers began at one at each start.
INSTANTIATE_TEST_SUITE_P (LateAnswerToTheProcessBeforeIsNotTakenForOurs,
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

// A voter refuses to start after a plain restart and says that its journal is damaged.  A new
// leader had replaced entries from before the oldest segment; once a snapshot dropped the segment
// that held the replaced ones, the replacements looked out of place.
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

// A host with a new disk is never taken in, and the group stays one voter short.  Its leader added
// it and was cut off before that was committed; the host had the group's number from then on, and
// the next leader took only hosts without one.
INSTANTIATE_TEST_SUITE_P (HostWhoseAdditionWasLostIsTakenInLater,
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
