// The fake engine's prefix cache, and the flood of requests added to a trace.
#include "fake_cache.h"
#include "site.h"
#include "trace.h"
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

std::string
text_of (char first, size_t blocks)
{
  return std::string (1, first) + std::string (blocks * FAKE_BLOCK_BYTES - 1, 'x');
}

TEST (FakeCache, MatchStopsAtFirstUncachedBlock)
{
  struct fake_cache *cache = fake_cache_new (nullptr, 10);
  std::string stored = text_of ('a', 3);
  std::string longer = stored + text_of ('b', 1);
  std::string other = text_of ('c', 3);

  fake_cache_store (cache, stored.data (), stored.size ());
  EXPECT_EQ (fake_cache_match (cache, stored.data (), stored.size ()), 3u * FAKE_BLOCK_TOKENS);
  EXPECT_EQ (fake_cache_match (cache, longer.data (), longer.size ()), 3u * FAKE_BLOCK_TOKENS);
  EXPECT_EQ (fake_cache_match (cache, other.data (), other.size ()), 0u);
  talloc_free (cache);
}

TEST (FakeCache, EvictsLeastRecentlyUsedBlocksAndPublishesEvents)
{
  struct fake_cache *cache = fake_cache_new (nullptr, 4);
  std::string a = text_of ('a', 2);
  std::string b = text_of ('b', 2);
  std::string c = text_of ('c', 2);
  uint64_t first = 99;

  fake_cache_store (cache, a.data (), a.size ());
  fake_cache_store (cache, b.data (), b.size ());
  json_t *events = fake_cache_take_events (cache, &first);
  EXPECT_EQ (first, 0u);
  EXPECT_EQ (json_array_size (events), 4u);
  json_decref (events);
  EXPECT_EQ (fake_cache_match (cache, a.data (), a.size ()), 2u * FAKE_BLOCK_TOKENS);
  fake_cache_store (cache, c.data (), c.size ());
  EXPECT_EQ (fake_cache_match (cache, b.data (), b.size ()), 0u);
  EXPECT_EQ (fake_cache_match (cache, a.data (), a.size ()), 2u * FAKE_BLOCK_TOKENS);
  events = fake_cache_take_events (cache, &first);
  EXPECT_EQ (first, 4u);
  EXPECT_EQ (json_array_size (events), 4u);
  json_decref (events);
  EXPECT_EQ (fake_cache_take_events (cache, &first), nullptr);
  fake_cache_clear (cache);
  EXPECT_EQ (fake_cache_match (cache, a.data (), a.size ()), 0u);
  talloc_free (cache);
}

TEST (TraceFlood, DoublesTheRequestsInOrderForOneOrganisation)
{
  struct trace *trace = trace_generate (nullptr, TRACE_BKK, 1, 30 * USEC_PER_SEC, 20, 1);
  uint32_t before = trace->count;
  uint32_t flood = 0;

  trace_flood (trace, TRACE_BKK, 2, 30 * USEC_PER_SEC, 20, "officers");
  EXPECT_NEAR (trace->count, 2 * before, 150);
  for (uint32_t i = 0; i < trace->count; i++)
    {
      const struct trace_request &request = trace->requests[i];

      if (i > 0)
        {
          EXPECT_GE (request.at, trace->requests[i - 1].at);
        }
      if (std::string (request.id).find ("-flood") != std::string::npos)
        {
          flood++;
          EXPECT_STREQ (request.organisation, "officers");
        }
    }
  EXPECT_EQ (flood, trace->count - before);
  talloc_free (trace);
}

} // namespace
