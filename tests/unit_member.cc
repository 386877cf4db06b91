// Membership: many instances on virtual time, with lossy, one-way and silent links.
#include "member_wire.h"
#include "spread_member.h"
#include "spread_net.h"
#include <gtest/gtest.h>
#include <memory>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t DELAY = 1 * USEC_PER_MSEC;

struct cluster
{
  void *memory = talloc_new (nullptr);
  struct spread_net *net;
  std::vector<struct spread_member *> hosts;

  explicit cluster (uint32_t n, uint64_t seed = 1) : net (spread_net_new (memory, seed, DELAY))
  {
    for (uint32_t i = 0; i < n; i++)
      hosts.push_back (spread_member_new (memory, net, i, 1));
  }
  ~cluster ()
  {
    talloc_free (memory);
  }
  cluster (const cluster &) = delete;
  cluster &operator= (const cluster &) = delete;

  void
  run (int64_t span)
  {
    spread_net_run (net, span);
  }

  // Counts the other hosts that see `about` in that state.
  unsigned
  count_seeing (uint32_t about, enum host_state state) const
  {
    unsigned count = 0;

    for (uint32_t i = 0; i < hosts.size (); i++)
      count += i != about && spread_member_host_state (hosts[i], about) == state ? 1 : 0;
    return count;
  }

  bool
  all_alive () const
  {
    for (uint32_t i = 0; i < hosts.size (); i++)
      if (count_seeing (i, HOST_ALIVE) != hosts.size () - 1)
        return false;
    return true;
  }

  double
  sum_counter (const char *name) const
  {
    double sum = 0;

    for (auto *host : hosts)
      sum += counter_get (host->counters, name, "", nullptr)->value;
    return sum;
  }
};

TEST (Member, HostsFindEachOtherFromTheSeeds)
{
  struct cluster c (9);

  c.run (5 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
  const struct board_host *host = board_find_host (c.hosts[8]->board, "host-004", nullptr);
  EXPECT_STREQ (host->domain, "domain-1");
  EXPECT_STREQ (host->target_address, "10.0.0.4:8082");
  EXPECT_FALSE (member_is_cut_off (c.hosts[8]->member));
}

// All seeds but one are down when a host starts, and come back one by one.
TEST (Member, OneSeedIsEnoughToJoin)
{
  struct cluster c (6);

  spread_net_stop (c.net, 0, false);
  spread_net_stop (c.net, 1, false);
  c.run (5 * USEC_PER_SEC);
  EXPECT_EQ (spread_member_host_state (c.hosts[5], 4), HOST_ALIVE);
  spread_net_resume (c.net, 0);
  spread_net_resume (c.net, 1);
  c.run (15 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
}

// A host's process is killed.  Callers sent to it would wait in vain, so all others must know
// within seconds.  When it restarts with a new incarnation it must be alive again.
TEST (Member, KilledHostIsSuspectedThenDeadAndAliveAfterItsRestart)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  spread_net_stop (c.net, 4, false);
  c.run (6 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (4, HOST_ALIVE), 0u);
  c.run (9 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (4, HOST_DEAD), 8u);
  c.hosts[4] = spread_member_new (c.memory, c.net, 4, 2);
  c.run (10 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
}

// The link between two hosts fails in both directions; both reach all others.  If either became
// dead, callers and targets would lose a healthy host to a bad cable.
TEST (Member, OneBadLinkRaisesNoSuspicion)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  spread_net_cut (c.net, 3, 5, true);
  spread_net_cut (c.net, 5, 3, true);
  c.run (300 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
  EXPECT_EQ (c.sum_counter ("cherryarch_member_suspicions_total"), 0);
}

// A host is stopped for a while (SIGSTOP, or a machine that swaps): its connections stay up and no
// error is reported.  It must become dead, and refute that when it continues.
TEST (Member, StoppedHostBecomesDeadAndRefutesWhenItContinues)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  spread_net_stop (c.net, 2, true);
  c.run (20 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (2, HOST_DEAD), 8u);
  spread_net_resume (c.net, 2);
  c.run (20 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
  EXPECT_GT (c.sum_counter ("cherryarch_member_refutations_total"), 0);
}

// One host receives nothing, but what it sends arrives.  It considers all others dead; if that
// spread, one broken network card would empty every host's list.
TEST (Member, HostThatReceivesNothingMakesNoOtherDeadAndKnowsItIsCutOff)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 9; i++)
    spread_net_cut (c.net, i, 6, true);
  for (int second = 0; second < 60; second++)
    {
      c.run (USEC_PER_SEC);
      for (uint32_t about = 0; about < 9; about++)
        for (uint32_t i = 0; i < 9; i++)
          {
            if (about == 6 || i == 6 || about == i)
              continue;
            ASSERT_EQ (spread_member_host_state (c.hosts[i], about), HOST_ALIVE)
                << i << " " << about;
          }
    }
  EXPECT_EQ (c.count_seeing (6, HOST_DEAD), 8u);
  EXPECT_TRUE (member_is_cut_off (c.hosts[6]->member));
  for (uint32_t i = 0; i < 9; i++)
    spread_net_cut (c.net, i, 6, false);
  c.run (15 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
  EXPECT_FALSE (member_is_cut_off (c.hosts[6]->member));
}

// The other direction: what one host sends is lost.  It receives suspicions of itself, its
// refutations are lost, and it must detect by itself that no host answers it.
TEST (Member, HostWhoseMessagesAreLostBecomesDeadAndKnowsItIsCutOff)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 9; i++)
    spread_net_cut (c.net, 6, i, true);
  c.run (30 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (6, HOST_DEAD), 8u);
  EXPECT_TRUE (member_is_cut_off (c.hosts[6]->member));
  for (uint32_t i = 0; i < 9; i++)
    EXPECT_EQ (member_is_cut_off (c.hosts[i]->member), i == 6) << i;
}

// A silent partition separates three hosts from six for ten minutes.  Each side considers the other
// dead, the three know that they are cut off, and the views merge afterwards.
TEST (Member, SidesOfALongPartitionMergeAfterwards)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 9; i++)
    for (uint32_t j = 0; j < 9; j++)
      if ((i < 3) != (j < 3))
        spread_net_cut (c.net, i, j, true);
  c.run (600 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 9; i++)
    EXPECT_EQ (member_is_cut_off (c.hosts[i]->member), i < 3) << i;
  EXPECT_EQ (c.count_seeing (7, HOST_DEAD), 3u);
  for (uint32_t i = 0; i < 9; i++)
    for (uint32_t j = 0; j < 9; j++)
      spread_net_cut (c.net, i, j, false);
  c.run (60 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
}

// A host announces that it leaves, and the messages to three others are lost.  These must learn it
// from the rest, or they would go on naming the host to callers.
TEST (Member, LostLeaveMessageIsReplacedByGossip)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 5; i < 8; i++)
    spread_net_cut (c.net, 4, i, true);
  member_announce_leaving (c.hosts[4]->member, spread_net_now (c.net));
  c.run (2 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (4, HOST_LEAVING), 8u);
  member_announce_left (c.hosts[4]->member, spread_net_now (c.net));
  spread_net_run (c.net, 100 * USEC_PER_MSEC);
  spread_net_stop (c.net, 4, false);
  c.run (10 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (4, HOST_LEFT), 8u);
  EXPECT_EQ (c.sum_counter ("cherryarch_member_deaths_total"), 0);
}

// A host restarts with a clock that was set back, so its incarnation is below the one that others
// know.  They would ignore its records as old, and it would stay dead.
TEST (Member, HostRestartedWithAnOlderClockBecomesAlive)
{
  struct cluster c (5);

  c.hosts[3] = spread_member_new (c.memory, c.net, 3, 100);
  c.run (10 * USEC_PER_SEC);
  spread_net_stop (c.net, 3, false);
  c.run (20 * USEC_PER_SEC);
  EXPECT_EQ (c.count_seeing (3, HOST_DEAD), 4u);
  c.hosts[3] = spread_member_new (c.memory, c.net, 3, 50);
  c.run (20 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
}

TEST (Member, OnePercentMessageLossMakesNoHostDead)
{
  struct cluster c (9);

  spread_net_set_loss (c.net, 0.01);
  c.run (600 * USEC_PER_SEC);
  EXPECT_TRUE (c.all_alive ());
  EXPECT_EQ (c.sum_counter ("cherryarch_member_deaths_total"), 0);
}

// One of two hosts receives nothing from the other for a while and suspects it.  The other refutes,
// but every copy of its refutation is lost.  When the link is back the suspect must be notified and
// refute again, or it becomes dead while both hosts are healthy.
TEST (Member, ASuspectIsToldUntilItRefutes)
{
  struct cluster c (3);

  c.run (10 * USEC_PER_SEC);
  spread_net_stop (c.net, 2, false);
  c.run (20 * USEC_PER_SEC);
  spread_net_cut (c.net, 1, 0, true);
  c.run (2500 * USEC_PER_MSEC);
  spread_net_cut (c.net, 1, 0, false);
  ASSERT_EQ (spread_member_host_state (c.hosts[0], 1), HOST_SUSPECT);
  c.run (2 * USEC_PER_SEC);
  EXPECT_EQ (spread_member_host_state (c.hosts[0], 1), HOST_ALIVE);
}

// A host reaches its peers but does not receive the newest configuration.  Callers would be served
// by an old one, so it must flag that it is behind, and the others must see the flag.
TEST (Member, HostWithOldConfigurationIsFlaggedBehind)
{
  struct cluster c (9);

  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 8; i++)
    c.hosts[i]->board->revision = 7;
  c.run (30 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 8; i++)
    {
      EXPECT_TRUE (board_find_host (c.hosts[i]->board, "host-008", nullptr)->behind) << i;
      EXPECT_FALSE (board_find_host (c.hosts[8]->board, "host-003", nullptr)->behind) << i;
    }
  c.hosts[8]->board->revision = 7;
  c.run (10 * USEC_PER_SEC);
  for (uint32_t i = 0; i < 8; i++)
    EXPECT_FALSE (board_find_host (c.hosts[i]->board, "host-008", nullptr)->behind) << i;
}

// The traffic of an idle host is bounded by its probes, whatever the number of hosts; the budget is
// 2 KB a second for the whole control plane.
TEST (Member, IdleTrafficIsBoundedAtAnyNumberOfHosts)
{
  for (uint32_t n : { 9u, 60u })
    {
      struct cluster c (n);
      uint64_t before = 0;
      uint64_t after = 0;

      c.run (60 * USEC_PER_SEC);
      for (uint32_t i = 0; i < n; i++)
        before += spread_net_traffic (c.net, i).bytes;
      c.run (60 * USEC_PER_SEC);
      for (uint32_t i = 0; i < n; i++)
        after += spread_net_traffic (c.net, i).bytes;
      EXPECT_TRUE (c.all_alive ());
      EXPECT_LT ((after - before) / n / 60, 300u) << n;
    }
}

// A faulty peer, or anyone who can reach the port, sends truncated or altered bytes.  Each message
// must be refused as a whole or be valid, and nothing may be read beyond its end.
TEST (Member, TruncatedAndAlteredMessagesDoNoHarm)
{
  struct cluster c (3);
  struct bytes whole;
  struct member_head head = {};
  struct member_item item = {};

  c.run (5 * USEC_PER_SEC);
  bytes_init (&whole, c.memory);
  head.kind = MEMBER_PING;
  head.number = 5;
  head.n_items = 1;
  item.form = MEMBER_FORM_RECORD;
  item.host = *board_find_host (c.hosts[0]->board, "host-002", nullptr);
  item.sequence = 1;
  member_write_head (&whole, &head);
  member_write_item (&whole, &item);
  for (size_t cut = 0; cut < whole.length; cut++)
    member_receive (c.hosts[0]->member, "host-001", whole.data, cut, spread_net_now (c.net));
  EXPECT_EQ (
      counter_get (c.hosts[0]->counters, "cherryarch_member_malformed_total", "", nullptr)->value,
      (double) whole.length);
  for (size_t i = 0; i < whole.length; i++)
    for (int bit = 0; bit < 8; bit++)
      {
        std::string altered (whole.data, whole.length);

        altered[i] = (char) (altered[i] ^ (1 << bit));
        member_receive (c.hosts[0]->member, "host-001", altered.data (), altered.size (),
                        spread_net_now (c.net));
      }
  EXPECT_EQ (spread_member_host_state (c.hosts[0], 1), HOST_ALIVE);
}

} // namespace
