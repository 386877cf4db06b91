// The index of cached prefixes, with events that are late, duplicated or lost.
#include "prefix.h"
#include "usec.h"
#include <gtest/gtest.h>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t SECOND = USEC_PER_SEC;

class PrefixTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    index = prefix_index_new (nullptr, 64);
    // Every fourth block is sampled.
    for (uint64_t i = 0; i < 32; i++)
      prompt.push_back ((i * 0x9e3779b97f4a7c15u & ~7ull) | (i % 4));
  }

  void
  TearDown () override
  {
    talloc_free (index);
  }

  void
  store (struct handle target, uint32_t blocks, int64_t now)
  {
    for (uint32_t i = 0; i < blocks; i++)
      prefix_add (index, prompt[i], target, now);
  }

  std::vector<struct prefix_holder>
  find (int64_t now)
  {
    struct prefix_holder out[PREFIX_HOLDERS];
    uint32_t count = prefix_find (index, prompt.data (), 32, now, out);

    return { out, out + count };
  }

  struct prefix_index *index = nullptr;
  std::vector<uint64_t> prompt;
  struct handle a = { .index = 1, .generation = 1 };
  struct handle b = { .index = 2, .generation = 7 };
};

TEST_F (PrefixTest, LongestPrefixComesFirst)
{
  store (a, 9, SECOND);
  store (b, 32, SECOND);
  auto found = find (SECOND);

  ASSERT_EQ (found.size (), 2u);
  EXPECT_TRUE (handle_equal (found[0].target, b));
  EXPECT_EQ (found[0].blocks, 29u); // the last sampled block
  EXPECT_TRUE (handle_equal (found[1].target, a));
  EXPECT_EQ (found[1].blocks, 9u);
}

// An engine evicts the end of a prompt from its cache, and some of the events are lost.  The
// entries left must not report the evicted blocks.
TEST_F (PrefixTest, EvictedBlocksAreNotReported)
{
  store (a, 32, SECOND);
  for (uint32_t i = 10; i < 32; i++)
    prefix_remove (index, prompt[i], a);
  ASSERT_EQ (find (SECOND).size (), 1u);
  EXPECT_EQ (find (SECOND)[0].blocks, 9u);
}

// The eviction event was lost.  After two minutes without an update the entry must be ignored.
TEST_F (PrefixTest, EntriesExpire)
{
  store (a, 32, SECOND);
  EXPECT_EQ (find (100 * SECOND).size (), 1u);
  EXPECT_TRUE (find (200 * SECOND).empty ());
}

// More blocks are stored than the index can hold.  It must stay bounded and keep the newest.
TEST_F (PrefixTest, OldestEntriesAreEvictedWhenFull)
{
  for (uint64_t i = 1; i < 100000; i++)
    prefix_add (index, i * 4 * 0x9e3779b97f4a7c15u, a, SECOND);
  store (b, 32, 2 * SECOND);
  ASSERT_FALSE (find (2 * SECOND).empty ());
  EXPECT_TRUE (handle_equal (find (2 * SECOND)[0].target, b));
}

} // namespace
