// Memory and connections of all clients: who is refused, and who is ended for whom.
#include "quota.h"
#include "usec.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <talloc.h>
#include <vector>

namespace
{

const size_t LIMIT = 8u << 20;
const size_t LARGE = 1u << 20;
const uint32_t CONNECTIONS = 32;
const int64_t NOW = 100 * USEC_PER_SEC;

struct test_member
{
  struct quota_member member; // first
  int ended = 0;
  bool kept = false;

  test_member ()
  {
    static const struct quota_member_ops ops = { .end = [] (struct quota_member *base, bool keep,
                                                            int64_t) {
      auto *self = reinterpret_cast<test_member *> (base);

      self->ended++;
      self->kept = keep;
    } };

    member = {};
    member.ops = &ops;
    member.label = "test";
  }
};

class Quota : public testing::Test
{
protected:
  Quota ()
  {
    struct quota_config config = {};

    config.bytes_max = LIMIT;
    config.connections_max = CONNECTIONS;
    config.counters = counters_new (parent_);
    quota_ = quota_new (parent_, &config);
  }

  ~Quota () override
  {
    talloc_free (parent_);
  }

  // A connection in that state since `since`, which holds `bytes`.
  test_member *
  add (enum quota_state state, size_t bytes, int64_t since = NOW)
  {
    members_.push_back (std::make_unique<test_member> ());
    test_member *made = members_.back ().get ();

    EXPECT_TRUE (quota_join (quota_, &made->member, since));
    quota_set_state (&made->member, state, since);
    EXPECT_TRUE (quota_hold (&made->member, bytes, since));
    return made;
  }

  int
  count_ended () const
  {
    int n = 0;

    for (const auto &at : members_)
      n += at->ended;
    return n;
  }

  void *parent_ = talloc_new (nullptr);
  struct quota *quota_;
  std::vector<std::unique_ptr<test_member>> members_;
};

// Failure: bodies that stop short of their end leave no room for others.
TEST_F (Quota, StalledRequestIsEndedForALargeOne)
{
  for (int i = 0; i < 7; i++)
    add (QUOTA_RECEIVING, LARGE, NOW - QUOTA_RECEIVE_STALL);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_TRUE (quota_hold (&asker->member, LARGE, NOW));
  EXPECT_EQ (count_ended (), 1);
  EXPECT_EQ (quota_bytes (quota_), 7 * LARGE);
}

// Failure: a burst of large requests ends those that came before it.
TEST_F (Quota, RequestThatReceivesIsNotEndedForALargeOne)
{
  for (int i = 0; i < 7; i++)
    add (QUOTA_RECEIVING, LARGE);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_FALSE (quota_hold (&asker->member, LARGE, NOW));
  EXPECT_EQ (count_ended (), 0);
  EXPECT_EQ (asker->member.bytes, 0u);
}

// Failure: large requests in progress shut out small ones.
TEST_F (Quota, SmallRequestFindsRoomBesideLargeOnes)
{
  std::vector<test_member *> small;

  for (int i = 0; i < 7; i++)
    add (QUOTA_RUNNING, LARGE);
  for (int i = 0; i < 16; i++)
    small.push_back (add (QUOTA_RUNNING, QUOTA_SMALL_BYTES));
  EXPECT_EQ (count_ended (), 0);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_FALSE (quota_hold (&asker->member, 1, NOW));
  quota_leave (&small[0]->member);
  EXPECT_TRUE (quota_hold (&asker->member, QUOTA_SMALL_BYTES, NOW));
}

// Failure: a small request is refused as large ones that are being received hold everything.
TEST_F (Quota, LargestRequestIsEndedForASmallOne)
{
  test_member *largest = add (QUOTA_RECEIVING, 4 * LARGE);

  for (int i = 0; i < 3; i++)
    add (QUOTA_RECEIVING, LARGE);
  for (int i = 0; i < 16; i++)
    add (QUOTA_RECEIVING, QUOTA_SMALL_BYTES);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_TRUE (quota_hold (&asker->member, QUOTA_SMALL_BYTES, NOW));
  EXPECT_EQ (largest->ended, 1);
  EXPECT_TRUE (largest->kept);
  EXPECT_EQ (count_ended (), 1);
}

// Failure: a request that a target runs is ended as others need its memory.
TEST_F (Quota, RequestThatRunsIsNeverEnded)
{
  for (int i = 0; i < 7; i++)
    add (QUOTA_RUNNING, LARGE, NOW - 100 * USEC_PER_SEC);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_FALSE (quota_hold (&asker->member, LARGE, NOW));
  EXPECT_EQ (count_ended (), 0);
}

// Failure: others are ended for a request that finds no room all the same.
TEST_F (Quota, NobodyIsEndedInVain)
{
  for (int i = 0; i < 6; i++)
    add (QUOTA_RUNNING, LARGE);
  add (QUOTA_RECEIVING, LARGE, NOW - QUOTA_RECEIVE_STALL);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  EXPECT_FALSE (quota_hold (&asker->member, 2 * LARGE, NOW));
  EXPECT_EQ (count_ended (), 0);
}

// Failure: a byte now and then counts as progress.
TEST_F (Quota, DrippedBytesAreNoProgress)
{
  test_member *dripping = add (QUOTA_RECEIVING, 7 * LARGE, NOW - USEC_PER_SEC);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  for (int i = 0; i < 100; i++)
    quota_note_progress (&dripping->member, 1, NOW - USEC_PER_SEC + i * 10 * USEC_PER_MSEC);
  EXPECT_TRUE (quota_hold (&asker->member, LARGE, NOW));
  EXPECT_EQ (dripping->ended, 1);
}

// Failure: an answer is dropped while its client takes it.
TEST_F (Quota, AnswerIsDroppedOnlyWhenItsClientStopped)
{
  test_member *reading = add (QUOTA_SENDING, 3 * LARGE, NOW - 10 * USEC_PER_SEC);
  test_member *stopped = add (QUOTA_SENDING, 3 * LARGE, NOW - 10 * USEC_PER_SEC);
  test_member *asker = add (QUOTA_RECEIVING, 0);

  quota_note_progress (&reading->member, QUOTA_PROGRESS_BYTES, NOW - USEC_PER_SEC);
  EXPECT_TRUE (quota_hold (&asker->member, 3 * LARGE, NOW));
  EXPECT_EQ (reading->ended, 0);
  EXPECT_EQ (stopped->ended, 1);
  EXPECT_FALSE (stopped->kept);
}

// Failure: what a connection held is still counted after it has left.
TEST_F (Quota, LeavingFreesWhatWasHeld)
{
  test_member *member = add (QUOTA_RECEIVING, LARGE);

  quota_leave (&member->member);
  quota_leave (&member->member);
  EXPECT_EQ (quota_bytes (quota_), 0u);
  EXPECT_EQ (quota_connections (quota_), 0u);
  EXPECT_FALSE (quota_hold (&member->member, 1, NOW));
}

// Failure: idle connections that fill the table shut out others.
TEST_F (Quota, ConnectionIdleForLongestIsEndedForANewOne)
{
  test_member *oldest = nullptr;
  test_member newcomer;

  for (uint32_t i = 0; i < CONNECTIONS; i++)
    {
      test_member *made = add (i % 2 == 0 ? QUOTA_IDLE : QUOTA_RECEIVING, 0,
                               NOW - (i == 7 ? USEC_PER_SEC : USEC_PER_MSEC));

      oldest = i == 7 ? made : oldest;
    }
  EXPECT_TRUE (quota_join (quota_, &newcomer.member, NOW));
  EXPECT_EQ (oldest->ended, 1);
  EXPECT_FALSE (oldest->kept);
  EXPECT_EQ (count_ended (), 1);
  EXPECT_EQ (quota_connections (quota_), CONNECTIONS);
}

// Failure: a request that a target runs is ended for a new connection.
TEST_F (Quota, ConnectionWithARunningRequestIsNotEndedForANewOne)
{
  test_member newcomer;

  for (uint32_t i = 0; i < CONNECTIONS; i++)
    add (QUOTA_RUNNING, 1, NOW - 100 * USEC_PER_SEC);
  EXPECT_FALSE (quota_join (quota_, &newcomer.member, NOW));
  EXPECT_EQ (newcomer.member.quota, nullptr);
  EXPECT_EQ (count_ended (), 0);
}

// Failure: connections to targets and of clients together exceed the descriptors.
TEST_F (Quota, OwnConnectionsLeaveFewerForClients)
{
  test_member newcomer;

  for (uint32_t i = 0; i < CONNECTIONS - 4; i++)
    add (QUOTA_IDLE, 0);
  for (int i = 0; i < 4; i++)
    quota_count_own (quota_, 1);
  EXPECT_TRUE (quota_join (quota_, &newcomer.member, NOW));
  EXPECT_EQ (count_ended (), 1);
  EXPECT_EQ (quota_connections (quota_), CONNECTIONS - 4);
}

}
