// Fixture with a simulated group of voters on virtual time.
#ifndef GROUP_HARNESS_H
#define GROUP_HARNESS_H

#include "fake_group.h"
#include <gtest/gtest.h>
#include <talloc.h>

constexpr int64_t second = USEC_PER_SEC;

inline struct fake_group_config
voters (uint32_t n)
{
  struct fake_group_config config = {};

  config.seed = 1;
  config.voters = n;
  return config;
}

class Group : public testing::Test
{
protected:
  void
  start (const struct fake_group_config &config)
  {
    group = fake_group_new (nullptr, &config);
    leader = fake_group_await_leader (group, 10 * second);
    ASSERT_GE (leader, 0);
  }

  void
  TearDown () override
  {
    EXPECT_STREQ (fake_group_violation (group), "");
    talloc_free (group);
  }

  // Proposes `n` entries through `host`, one after the other, and returns how many were committed.
  uint64_t
  propose (uint32_t host, int n)
  {
    struct fake_group_count before;
    struct fake_group_count after;

    fake_group_counts (group, &before);
    for (int i = 0; i < n; i++)
      {
        fake_group_propose (group, host, 3 * second);
        fake_group_run (group, second / 100);
      }
    fake_group_run (group, 4 * second);
    fake_group_counts (group, &after);
    return after.committed - before.committed;
  }

  uint32_t
  other (uint32_t host)
  {
    return (host + 1) % 3;
  }

  struct fake_group *group = nullptr;
  int leader = -1;
};

#endif
