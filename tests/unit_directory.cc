// The directory of targets: homes, leases and replication among several hosts, on virtual time.
#include "container.h"
#include "directory.h"
#include "directory_wire.h"
#include "text.h"
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t STEP = 10 * USEC_PER_MSEC;

struct net;

struct node
{
  struct directory_wire wire; // first member
  struct directory_cache_sink cache;
  struct net *net;
  std::string name;
  struct board *board;
  struct directory *directory;
  int64_t next_tick = 0;
  bool stopped = false;
  std::vector<uint64_t> cached;
};

struct message
{
  int64_t at;
  std::string from;
  std::string to;
  std::string data;
};

// Hosts, each with its board and directory; messages take 1 ms unless a link is cut or delayed.
struct net
{
  void *memory = talloc_new (nullptr);
  struct counters *counters = counters_new (memory);
  std::map<std::string, std::unique_ptr<node>> nodes;
  std::vector<message> queue;
  std::set<std::pair<std::string, std::string>> cut; // from, to
  std::map<std::pair<std::string, std::string>, int64_t> delay;
  int64_t now = 1000 * USEC_PER_SEC;
  uint64_t bytes = 0;
  uint64_t pushes_lost = 0;
  bool lose_pushes = false;
  uint64_t answers_lost = 0;
  uint64_t lose_answers = 0;
  std::string last_push;

  explicit net (int n)
  {
    for (int i = 0; i < n; i++)
      start ("h" + std::to_string (i), 1);
  }
  ~net ()
  {
    talloc_free (memory);
  }
  net (const net &) = delete;
  net &operator= (const net &) = delete;

  node &
  operator[] (int i)
  {
    return *nodes["h" + std::to_string (i)];
  }

  static void
  send (struct directory_wire *wire, const char *host, const void *data, size_t length)
  {
    auto *self = reinterpret_cast<struct node *> (wire);
    struct net *n = self->net;
    auto link = std::make_pair (self->name, std::string (host));
    std::string copy (static_cast<const char *> (data), length);

    n->bytes += length;
    if (copy[0] == DIRECTORY_PUSH_MESSAGE)
      n->last_push = copy;
    if (n->lose_pushes && copy[0] == DIRECTORY_PUSH_MESSAGE)
      n->pushes_lost++;
    else if (n->lose_answers > 0 && copy[0] == DIRECTORY_ANSWER_MESSAGE)
      {
        n->lose_answers--;
        n->answers_lost++;
      }
    else if (n->cut.count (link) == 0)
      n->queue.push_back (
          { n->now + USEC_PER_MSEC + n->delay[link], self->name, host, std::move (copy) });
  }

  static void
  event (struct directory_cache_sink *sink,
         struct handle,
         const struct directory_cache_event *event,
         int64_t)
  {
    auto *self = CONTAINER_OF (sink, struct node, cache);
    self->cached.push_back (event->block);
  }

  static inline const struct directory_wire_ops wire_ops = { .send = send };
  static inline const struct directory_cache_sink_ops cache_ops = { .event = event };

  void
  add_host (struct board *board, const std::string &name, bool self)
  {
    struct handle handle;
    auto *host = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    text_copy (host->name, sizeof host->name, name.c_str ());
    host->self = self;
    if (self)
      board->self = handle;
  }

  void
  start (const std::string &name, uint64_t incarnation)
  {
    auto fresh = std::make_unique<node> ();

    fresh->wire.ops = &wire_ops;
    fresh->cache.ops = &cache_ops;
    fresh->net = this;
    fresh->name = name;
    fresh->board = board_new (memory);
    for (auto &[other, n] : nodes)
      if (other != name)
        {
          add_host (fresh->board, other, false);
          if (board_find_host (n->board, name.c_str (), nullptr) == nullptr)
            add_host (n->board, name, false);
        }
    add_host (fresh->board, name, true);
    struct directory_config config = { .board = fresh->board,
                                       .counters = counters,
                                       .wire = &fresh->wire,
                                       .cache = &fresh->cache,
                                       .self = fresh->name.c_str (),
                                       .incarnation = incarnation,
                                       .seed = std::hash<std::string>{}(name) };
    fresh->directory = directory_new (memory, &config);
    nodes[name] = std::move (fresh);
  }

  void
  deliver ()
  {
    std::vector<message> due;
    std::vector<message> later;

    for (auto &l : queue)
      (l.at <= now ? due : later).push_back (l);
    queue = later;
    for (auto &l : due)
      if (!nodes[l.to]->stopped)
        directory_receive (nodes[l.to]->directory, l.from.c_str (), l.data.data (), l.data.size (),
                           now);
  }

  void
  run (int64_t span)
  {
    for (int64_t end = now + span; now < end; now += STEP)
      {
        deliver ();
        for (auto &[name, n] : nodes)
          if (!n->stopped && now >= n->next_tick)
            n->next_tick = directory_tick (n->directory, now);
      }
  }

  // Run while the targets renew with their home each second.
  void
  run_renewing (int64_t span, int home, const std::vector<struct directory_record> &targets)
  {
    for (int64_t done = 0; done < span; done += USEC_PER_SEC)
      {
        for (const auto &t : targets)
          {
            struct directory_key key = { t.name, t.incarnation, t.sequence };

            directory_renew ((*this)[home].directory, &key, now);
          }
        run (std::min (USEC_PER_SEC, span - done));
      }
  }

  bool
  usable (int host, const char *target)
  {
    const struct board_target *t = board_find_target ((*this)[host].board, target, nullptr);

    return t != nullptr && board_target_is_usable (t, now);
  }
};

struct directory_record
record_of (const char *name, uint64_t incarnation, uint64_t sequence)
{
  struct directory_record r = {};

  text_copy (r.name, sizeof r.name, name);
  text_copy (r.pool, sizeof r.pool, "runners");
  text_copy (r.domain, sizeof r.domain, "bkk-a");
  text_copy (r.address, sizeof r.address, "127.0.0.1:9000");
  text_copy (r.models[0], sizeof r.models[0], "claims-7b");
  r.n_models = 1;
  r.kind = STAGE_GENERATE;
  r.incarnation = incarnation;
  r.sequence = sequence;
  return r;
}

enum status
announce (struct net &n, int host, const struct directory_record &r)
{
  return directory_announce (n[host].directory, &r, n.now);
}

TEST (Directory, AnAnnouncedTargetIsUsableOnEveryHostAndStaysSo)
{
  struct net n (9);
  auto t = record_of ("t", 1, 1);

  ASSERT_EQ (announce (n, 0, t), STATUS_OK);
  n.run (200 * USEC_PER_MSEC);
  for (int i = 0; i < 9; i++)
    EXPECT_TRUE (n.usable (i, "t")) << i;
  const struct board_target *seen = board_find_target (n[5].board, "t", nullptr);
  EXPECT_STREQ (seen->home, "h0");
  EXPECT_STREQ (seen->models[0], "claims-7b");
  for (int second = 0; second < 120; second++)
    {
      n.run_renewing (USEC_PER_SEC, 0, { t });
      for (int i = 0; i < 9; i++)
        ASSERT_TRUE (n.usable (i, "t")) << i << " after " << second;
    }
}

// A target's process crashes.  Requests sent to it until the hosts notice only cost time; every
// host, the home included, must stop using it 3 s after the last renewal without any message.
TEST (Directory, NoNewWorkThreeSecondsAfterTheLastRenewal)
{
  struct net n (5);
  auto t = record_of ("t", 1, 1);
  struct directory_key key = { "t", 1, 1 };

  announce (n, 0, t);
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  directory_renew (n[0].directory, &key, n.now);
  n.run (DIRECTORY_LEASE);
  for (int i = 0; i < 5; i++)
    EXPECT_FALSE (n.usable (i, "t")) << i;
  // The target was only slow: it renews and is used again.
  EXPECT_EQ (directory_renew (n[0].directory, &key, n.now), STATUS_OK);
  n.run (300 * USEC_PER_MSEC);
  for (int i = 0; i < 5; i++)
    EXPECT_TRUE (n.usable (i, "t")) << i;
}

// The link from the target's home to one host is cut.  That host must stop sending new work within
// the lease; the other hosts must not be affected.
TEST (Directory, LostRenewalsOnOneHostEndNewWorkThereOnly)
{
  struct net n (5);
  auto t = record_of ("t", 1, 1);

  announce (n, 0, t);
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  n.cut.insert ({ "h0", "h3" });
  n.run_renewing (2 * USEC_PER_SEC, 0, { t });
  EXPECT_FALSE (n.usable (3, "t"));
  for (int i : { 0, 1, 2, 4 })
    EXPECT_TRUE (n.usable (i, "t")) << i;
  n.cut.clear ();
  n.run_renewing (USEC_PER_SEC, 0, { t });
  EXPECT_TRUE (n.usable (3, "t"));
}

// One answer of the home is lost.  Another answer must renew the lease before it expires, or a
// healthy target would be unusable for a moment.
TEST (Directory, OneLostAnswerEndsNoLease)
{
  struct net n (2);
  auto t = record_of ("t", 1, 1);
  struct directory_key key = { "t", 1, 1 };

  announce (n, 0, t);
  n.run_renewing (3 * USEC_PER_SEC, 0, { t });
  for (int trial = 0; trial < 30; trial++)
    {
      uint64_t lost = n.answers_lost;

      n.lose_answers = 1;
      for (int step = 0; step < 400; step++)
        {
          if (step % 100 == 0)
            directory_renew (n[0].directory, &key, n.now);
          n.run (STEP);
          ASSERT_TRUE (n.usable (1, "t")) << trial << " " << step;
        }
      EXPECT_EQ (n.answers_lost, lost + 1);
    }
}

// A target announces its shutdown, all pushes of the change are lost, and one host's link from the
// home is cut as well.  Work sent after 2 s would be cut by the shutdown.
TEST (Directory, LeavingTargetGetsNoNewWorkAfterTwoSecondsDespiteLostMessages)
{
  struct net n (5);
  auto t = record_of ("t", 1, 1);
  struct directory_key leave = { "t", 1, 2 };

  announce (n, 0, t);
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  n.lose_pushes = true;
  n.cut.insert ({ "h0", "h4" });
  ASSERT_EQ (directory_leave (n[0].directory, &leave, n.now), STATUS_OK);
  EXPECT_FALSE (n.usable (0, "t"));
  n.run (2 * USEC_PER_SEC);
  EXPECT_GT (n.pushes_lost, 0u);
  for (int i = 0; i < 5; i++)
    EXPECT_FALSE (n.usable (i, "t")) << i;
}

// A home's answer is delayed by ten seconds on a blocked link and arrives after the target has
// died. A lease that ran from the arrival would send work to the dead target; it runs from the
// request.
TEST (Directory, DelayedAnswerDoesNotExtendLease)
{
  struct net n (2);
  auto t = record_of ("t", 1, 1);

  announce (n, 0, t);
  n.run_renewing (3 * USEC_PER_SEC, 0, { t });
  EXPECT_TRUE (n.usable (1, "t"));
  n.delay[{ "h0", "h1" }] = 10 * USEC_PER_SEC;
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  EXPECT_FALSE (n.usable (1, "t"));
  n[0].stopped = true;
  n.run (10 * USEC_PER_SEC);
  EXPECT_FALSE (n.usable (1, "t"));
}

// A target's home is killed.  The target announces itself to another host and is used everywhere
// under the new home; the old home returns with its old list and must not become the home again.
TEST (Directory, AnotherHostTakesOverWhenTheHomeDies)
{
  struct net n (4);
  auto t = record_of ("t", 1, 1);

  announce (n, 0, t);
  n.run_renewing (3 * USEC_PER_SEC, 0, { t });
  n[0].stopped = true;
  n.run (3 * USEC_PER_SEC);
  for (int i = 1; i < 4; i++)
    EXPECT_FALSE (n.usable (i, "t")) << i;
  t.sequence = 2;
  ASSERT_EQ (announce (n, 2, t), STATUS_OK);
  n.run (300 * USEC_PER_MSEC);
  for (int i = 1; i < 4; i++)
    EXPECT_TRUE (n.usable (i, "t")) << i;
  n[0].stopped = false;
  n.run_renewing (10 * USEC_PER_SEC, 2, { t });
  for (int i = 0; i < 4; i++)
    {
      EXPECT_TRUE (n.usable (i, "t")) << i;
      EXPECT_STREQ (board_find_target (n[i].board, "t", nullptr)->home, "h2") << i;
    }
  EXPECT_EQ (directory_count_own_targets (n[0].directory), 0u);
}

// The answer to an announcement is lost, and the target sends the same announcement to another
// host. Both are its home for a moment; only one must remain.
TEST (Directory, SameAnnouncementAtTwoHostsLeavesOneHome)
{
  struct net n (4);
  auto t = record_of ("t", 1, 1);
  struct directory_key key = { "t", 1, 1 };

  announce (n, 0, t);
  n.run (500 * USEC_PER_MSEC);
  announce (n, 1, t);
  n.run (500 * USEC_PER_MSEC);
  EXPECT_EQ (directory_renew (n[0].directory, &key, n.now), STATUS_NOT_FOUND);
  n.run_renewing (5 * USEC_PER_SEC, 1, { t });
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (n.usable (i, "t")) << i;
  EXPECT_EQ (directory_count_own_targets (n[0].directory), 0u);
  EXPECT_EQ (directory_count_own_targets (n[1].directory), 1u);
}

// A target restarts at the same address.  An announcement of its old process, delayed or replayed,
// arrives after the new one; accepting it would bring back a process that has ended.
TEST (Directory, AnOldAnnouncementAfterARestartIsRefusedOnEveryHost)
{
  struct net n (3);
  auto old = record_of ("t", 1, 7);
  auto fresh = record_of ("t", 2, 1);
  struct directory_key old_key = { "t", 1, 8 };
  struct handle before;
  struct handle after;

  announce (n, 0, old);
  n.run_renewing (2 * USEC_PER_SEC, 0, { old });
  ASSERT_NE (board_find_target (n[1].board, "t", &before), nullptr);
  ASSERT_EQ (announce (n, 0, fresh), STATUS_OK);
  n.run_renewing (USEC_PER_SEC, 0, { fresh });
  // Late answers hold the old handle.
  ASSERT_NE (board_find_target (n[1].board, "t", &after), nullptr);
  EXPECT_FALSE (handle_equal (before, after));
  EXPECT_EQ (table_get (n[1].board->targets, before), nullptr);
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (announce (n, i, old), STATUS_CONFLICT) << i;
  EXPECT_EQ (directory_leave (n[0].directory, &old_key, n.now), STATUS_CONFLICT);
  EXPECT_EQ (directory_renew (n[0].directory, &old_key, n.now), STATUS_CONFLICT);
  n.run_renewing (USEC_PER_SEC, 0, { fresh });
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE (n.usable (i, "t")) << i;
}

// A target leaves for good, and its announcement is replayed within the hour for which its sequence
// is kept.  The target must not come back.
TEST (Directory, AnAnnouncementReplayedAfterLeavingIsRefused)
{
  struct net n (2);
  auto t = record_of ("t", 1, 1);
  struct directory_key leave = { "t", 1, 2 };

  announce (n, 0, t);
  n.run (USEC_PER_SEC);
  directory_leave (n[0].directory, &leave, n.now);
  n.run (200 * USEC_PER_SEC);
  for (int i = 0; i < 2; i++)
    {
      EXPECT_EQ (board_find_target (n[i].board, "t", nullptr), nullptr) << i;
      EXPECT_EQ (announce (n, i, t), STATUS_CONFLICT) << i;
    }
}

// A home restarts, so its list is empty and its version small.  Hosts that still have the old list
// must not take the new one for a part of it.
TEST (Directory, ARestartedHomeStartsANewList)
{
  struct net n (3);
  auto a = record_of ("a", 1, 1);
  auto b = record_of ("b", 1, 1);

  announce (n, 0, a);
  announce (n, 0, b);
  n.run_renewing (3 * USEC_PER_SEC, 0, { a, b });
  n.start ("h0", 2);
  b.sequence = 2;
  announce (n, 0, b);
  n.run_renewing (2 * USEC_PER_SEC, 0, { b });
  for (int i = 0; i < 3; i++)
    {
      EXPECT_FALSE (n.usable (i, "a")) << i;
      EXPECT_TRUE (n.usable (i, "b")) << i;
    }
}

// A home restarts with its clock set back, so that its list seems older than that of its previous
// process.  Membership later gives it a newer incarnation; the epoch of its list must follow, or no
// other host would use its targets.
TEST (Directory, ListOfHomeWithClockSetBackIsAppliedAfterNewIncarnation)
{
  struct net n (3);
  auto t = record_of ("t", 1, 1);

  n.start ("h0", 100);
  announce (n, 0, t);
  n.run_renewing (2 * USEC_PER_SEC, 0, { t });
  n.start ("h0", 50);
  t.sequence = 2;
  announce (n, 0, t);
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  EXPECT_FALSE (n.usable (1, "t"));
  board_find_host (n[0].board, "h0", nullptr)->incarnation = 101;
  n.run_renewing (5 * USEC_PER_SEC, 0, { t });
  EXPECT_TRUE (n.usable (1, "t"));
}

// A home is killed, restarts at once and sends an empty list before its targets have announced
// themselves again.  Were the leases cut, a pool with one target would have none and refuse
// requests although the target never stopped.  The lease stays, and expires if the target does not
// come back.
TEST (Directory, TargetsOfRestartedHomeKeepTheirLeases)
{
  struct net n (3);
  auto a = record_of ("a", 1, 1);

  announce (n, 0, a);
  n.run_renewing (3 * USEC_PER_SEC, 0, { a });
  n.start ("h0", 2);
  for (int i = 0; i < 30; i++)
    {
      EXPECT_TRUE (n.usable (1, "a") && n.usable (2, "a")) << i;
      n.run (20 * USEC_PER_MSEC);
    }
  n.run (DIRECTORY_ANSWER_LEASE);
  EXPECT_FALSE (n.usable (1, "a") || n.usable (2, "a"));
}

// A home restarts and sends an empty list; its targets announce themselves again, and the push of
// the change is lost, so that the next answer brings them.  Were the home still polled like one
// without targets, the leases would expire seconds before the next answer, though the targets
// renew.
TEST (Directory, TargetsFirstListedInAnAnswerKeepTheirLeases)
{
  struct net n (3);
  auto a = record_of ("a", 1, 1);

  announce (n, 0, a);
  n.run_renewing (3 * USEC_PER_SEC, 0, { a });
  n.start ("h0", 2);
  n.lose_pushes = true;
  n.run (1500 * USEC_PER_MSEC);
  announce (n, 0, a);
  for (int i = 0; i < 10; i++)
    {
      n.run_renewing (USEC_PER_SEC, 0, { a });
      EXPECT_TRUE (i < 1 || (n.usable (1, "a") && n.usable (2, "a"))) << i;
    }
}

// A home shuts down and its targets announce themselves to another host.  The push that reports the
// move grants no lease; if it cut the old one, the target would be unusable for a moment.
TEST (Directory, MoveToAnotherHomeKeepsTheLease)
{
  struct net n (3);
  auto a = record_of ("a", 1, 1);

  announce (n, 0, a);
  n.run_renewing (3 * USEC_PER_SEC, 0, { a });
  a.sequence = 2;
  announce (n, 1, a);
  for (int i = 0; i < 100; i++)
    {
      EXPECT_TRUE (n.usable (0, "a") && n.usable (1, "a") && n.usable (2, "a")) << i;
      n.run (10 * USEC_PER_MSEC);
    }
}

// A host starts under load and its configuration is confirmed before it has the homes' lists of
// targets.  Listed to callers then, it would refuse or fail requests that any other host can serve.
TEST (Directory, TargetsAreUnknownAfterStartUntilAllHomesHaveAnswered)
{
  struct net n (3);
  auto a = record_of ("a", 1, 1);

  announce (n, 0, a);
  n.run_renewing (2 * USEC_PER_SEC, 0, { a });
  n.start ("h2", 2);
  n.cut.insert ({ "h0", "h2" });
  directory_ready_start (n[2].directory, n.now);
  n.run (USEC_PER_SEC);
  EXPECT_TRUE (n[2].board->targets_unknown);
  n.cut.clear ();
  n.run (1900 * USEC_PER_MSEC);
  EXPECT_FALSE (n[2].board->targets_unknown);
  EXPECT_EQ (table_count (n[2].board->targets), 1u);
}

// All other hosts are down: a host that just started must not wait for their lists for ever.
TEST (Directory, StartedHostServesAfterTimeoutWithoutAnswers)
{
  struct net n (2);

  n[1].stopped = true;
  directory_ready_start (n[0].directory, n.now);
  n.run (2 * USEC_PER_SEC);
  EXPECT_TRUE (n[0].board->targets_unknown);
  n.run (2 * USEC_PER_SEC);
  EXPECT_FALSE (n[0].board->targets_unknown);
}

// A host is partitioned for minutes.  Meanwhile a target leaves and its tombstone is dropped from
// the home's list; when the partition ends, the host must not keep the target for ever.
TEST (Directory, HostBackFromLongPartitionRemovesTargetThatLeft)
{
  struct net n (2);
  auto a = record_of ("a", 1, 1);
  auto b = record_of ("b", 1, 1);
  struct directory_key leave = { "a", 1, 2 };

  announce (n, 0, a);
  announce (n, 0, b);
  n.run_renewing (2 * USEC_PER_SEC, 0, { a, b });
  n.cut.insert ({ "h0", "h1" });
  directory_leave (n[0].directory, &leave, n.now);
  // "a" expires and its tombstone is dropped before h1 is reachable; until then h1 keeps "a".
  n.run_renewing (70 * USEC_PER_SEC, 0, { b });
  n.cut.clear ();
  n.run_renewing (70 * USEC_PER_SEC, 0, { b });
  EXPECT_EQ (board_find_target (n[1].board, "a", nullptr), nullptr);
  EXPECT_TRUE (n.usable (1, "b"));
}

TEST (Directory, LongListIsSentInPartsAndLeasedWhenComplete)
{
  struct net n (2);
  std::vector<struct directory_record> targets;

  for (int i = 0; i < 700; i++)
    targets.push_back (record_of (("t" + std::to_string (i)).c_str (), 1, 1));
  n.cut.insert ({ "h0", "h1" });
  for (auto &t : targets)
    ASSERT_EQ (announce (n, 0, t), STATUS_OK);
  n.run (USEC_PER_SEC);
  n.cut.clear ();
  n.run_renewing (8 * USEC_PER_SEC, 0, targets);
  for (auto &t : targets)
    ASSERT_TRUE (n.usable (1, t.name)) << t.name;
  // Nothing changes, so the list is not sent again.
  n.bytes = 0;
  n.run_renewing (10 * USEC_PER_SEC, 0, targets);
  EXPECT_LT (n.bytes, 10u * 500u);
}

// Most hosts of a large system are not the home of any target; polling them as often as homes would
// cost each host more than all other messages of the directory.
TEST (Directory, HostsWithoutTargetsArePolledRarely)
{
  struct net n (9);

  n.run (10 * USEC_PER_SEC);
  n.bytes = 0;
  n.run (60 * USEC_PER_SEC);
  // 72 pairs, a request and an answer of about 60 bytes together, every 4.5 to 5 s.
  EXPECT_LT (n.bytes, 72u * 60u / 4u * 70u);
}

// Some targets of a home renew late.  The common lease of the list must not extend their leases.
TEST (Directory, LateRenewalsShortenOnlyTheirOwnLeases)
{
  struct net n (2);
  std::vector<struct directory_record> prompt;
  std::vector<struct directory_record> late;

  for (int i = 0; i < 100; i++)
    {
      prompt.push_back (record_of (("p" + std::to_string (i)).c_str (), 1, 1));
      late.push_back (record_of (("l" + std::to_string (i)).c_str (), 1, 1));
      announce (n, 0, prompt.back ());
      announce (n, 0, late.back ());
    }
  n.run_renewing (DIRECTORY_LEASE, 0, prompt);
  for (int i = 0; i < 100; i++)
    {
      EXPECT_TRUE (n.usable (1, prompt[i].name));
      EXPECT_FALSE (n.usable (1, late[i].name));
    }
}

TEST (Directory, LoadReportsReachHostsWithWorkOnTheTargetWithTheirAge)
{
  struct net n (3);
  auto t = record_of ("t", 1, 1);
  struct directory_key key = { "t", 1, 1 };
  struct load_report report = {
    .received_at = 0, .measured_at = 0, .running = 3, .waiting = 5, .kv_used = 0.25
  };

  announce (n, 0, t);
  n.run (USEC_PER_SEC);
  board_find_target (n[1].board, "t", nullptr)->in_flight = 1;
  report.measured_at = n.now - 2 * USEC_PER_SEC;
  ASSERT_EQ (directory_report_load (n[0].directory, &key, &report, n.now), STATUS_OK);
  n.run_renewing (2 * USEC_PER_SEC, 0, { t });
  const struct board_target *user = board_find_target (n[1].board, "t", nullptr);
  EXPECT_EQ (user->report.running, 3u);
  EXPECT_EQ (user->report.waiting, 5u);
  EXPECT_DOUBLE_EQ (user->report.kv_used, 0.25);
  // The age of a report is never understated.
  EXPECT_LE (user->report.measured_at, report.measured_at + USEC_PER_MSEC);
  EXPECT_GE (user->report.measured_at, report.measured_at - 100 * USEC_PER_MSEC);
  EXPECT_EQ (board_find_target (n[2].board, "t", nullptr)->report.received_at, 0);
}

// An engine's cache events are resent after a lost answer, and some are lost for good.  Duplicates
// must be skipped and the gap must be counted.
TEST (Directory, CacheEventsAreAppliedOnceAndGapsAreCounted)
{
  struct net n (1);
  struct directory_key key = { "t", 1, 1 };
  struct directory_cache_event events[] = { { 10, true }, { 11, true }, { 12, false } };
  struct counter *gaps =
      counter_get (n.counters, "cherryarch_directory_cache_gaps_total", "", nullptr);

  announce (n, 0, record_of ("t", 1, 1));
  directory_report_cache_events (n[0].directory, &key, 5, events, 2, n.now);
  directory_report_cache_events (n[0].directory, &key, 5, events, 3, n.now);
  EXPECT_EQ (n[0].cached, (std::vector<uint64_t>{ 10, 11, 12 }));
  EXPECT_EQ (gaps->value, 0);
  directory_report_cache_events (n[0].directory, &key, 9, events, 1, n.now);
  EXPECT_EQ (gaps->value, 1);
}

// A peer sends messages that are truncated or altered.  A truncated one must be refused as a whole,
// as a list applied in part would name wrong targets; an altered one must not crash the host.
TEST (Directory, TruncatedMessagesChangeNothingAndAlteredOnesAreHandled)
{
  struct net n (2);
  struct counter *malformed =
      counter_get (n.counters, "cherryarch_directory_malformed_total", "", nullptr);

  for (int i = 0; i < 3; i++)
    announce (n, 0, record_of (("t" + std::to_string (i)).c_str (), 1, 1));
  n.cut.insert ({ "h0", "h1" });
  n.run (200 * USEC_PER_MSEC);
  std::string whole = n.last_push;
  ASSERT_FALSE (whole.empty ());
  for (size_t cut = 0; cut < whole.size (); cut++)
    directory_receive (n[1].directory, "h0", whole.data (), cut, n.now);
  EXPECT_EQ (malformed->value, (double) whole.size ());
  EXPECT_EQ (table_count (n[1].board->targets), 0u);
  for (size_t i = 0; i < whole.size (); i++)
    for (int bit = 0; bit < 8; bit++)
      {
        std::string altered = whole;

        altered[i] = (char) (altered[i] ^ (1 << bit));
        directory_receive (n[1].directory, "h0", altered.data (), altered.size (), n.now);
      }
}

} // namespace
