// The configuration in force: at start, on voters, on followers, while cut off and afterwards.
#include "unit_config_nodes.h"

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
const std::string POOL = "{\"kind\":\"generate\",\"slots\":4}";
const std::string PIPELINE =
    "{\"deadlineMs\":900,\"stages\":[{\"name\":\"g\",\"kind\":\"generate\","
    "\"pool\":\"gen\"}]}";

TEST_F (Config, ChangeSetsHandlesAndIsPublished)
{
  struct node &v1 = add_node ("v1", true);

  clock.run (SEC);
  put (v1, "pools", "gen", POOL);
  put (v1, "pipelines", "chat", PIPELINE);
  put (v1, "organisations", "org", "{\"weight\":2}");
  clock.run (SEC / 10);
  EXPECT_EQ (v1.board->revision, 3u);
  struct handle pool;
  struct board_pipeline *pipeline = board_find_pipeline (v1.board, "chat", nullptr);
  ASSERT_NE (pipeline, nullptr);
  ASSERT_NE (board_find_pool (v1.board, "gen", &pool), nullptr);
  EXPECT_TRUE (handle_equal (pipeline->pools[0], pool));
  EXPECT_EQ (pipeline->spec.deadline, 900 * USEC_PER_MSEC);
  EXPECT_EQ (board_find_organisation (v1.board, "org", nullptr)->spec.weight, 2);
  EXPECT_EQ (v1.revisions.back (), 3u);
  apply_change (v1.store, { .kind = "pipelines", .name = "chat", .op = STORE_DELETE });
  clock.run (SEC / 10);
  EXPECT_EQ (board_find_pipeline (v1.board, "chat", nullptr), nullptr);
}

// A voter restarts and replays its log, while the others have gone on.  The replayed revisions are
// no longer in force, so nothing may come into force before a quorum confirms.
TEST_F (Config, ARestartedVoterServesNothingBeforeAQuorumConfirms)
{
  struct node &v1 = add_node ("v1", true);

  v1.log->quorum = false;
  put (v1, "pools", "gen", POOL);
  put (v1, "pools", "gen", "{\"kind\":\"generate\",\"slots\":9}");
  clock.run (5 * SEC);
  EXPECT_FALSE (v1.board->config_ready);
  EXPECT_EQ (board_find_pool (v1.board, "gen", nullptr), nullptr);
  EXPECT_TRUE (v1.revisions.empty ());
  v1.log->quorum = true;
  clock.run (5 * SEC);
  EXPECT_TRUE (v1.board->config_ready);
  EXPECT_EQ (board_find_pool (v1.board, "gen", nullptr)->spec.slots, 9u);
  EXPECT_EQ (v1.revisions, std::vector<uint64_t> ({ 2 }));
}

// All other voters are lost.  The host goes on serving what it has, and reports it as unconfirmed.
TEST_F (Config, WithoutAQuorumItServesOnUnconfirmed)
{
  struct node &v1 = add_node ("v1", true);

  put (v1, "pools", "gen", POOL);
  clock.run (SEC);
  EXPECT_TRUE (config_is_confirmed (v1.board, clock.now));
  v1.log->quorum = false;
  clock.run (20 * SEC);
  EXPECT_FALSE (config_is_confirmed (v1.board, clock.now));
  EXPECT_TRUE (v1.board->config_ready);
  EXPECT_NE (board_find_pool (v1.board, "gen", nullptr), nullptr);
  v1.log->quorum = true;
  clock.run (5 * SEC);
  EXPECT_TRUE (config_is_confirmed (v1.board, clock.now));
}

TEST_F (Config, AFollowerGetsTheConfigurationAndItsChanges)
{
  struct node &v1 = add_node ("v1", true);

  add_node ("v2", true);
  put_all ("pools", "gen", POOL);
  struct node &f = add_node ("f", false);
  clock.run (2 * SEC);
  EXPECT_TRUE (f.board->config_ready);
  EXPECT_EQ (f.board->revision, 1u);
  put_all ("pipelines", "chat", PIPELINE);
  clock.run (SEC / 10);
  EXPECT_EQ (f.board->revision, 2u);
  EXPECT_NE (board_find_pipeline (f.board, "chat", nullptr), nullptr);
  EXPECT_TRUE (handle_is_none (board_find_pipeline (f.board, "chat", nullptr)->pools[0]) == false);
  EXPECT_EQ (v1.board->revision, 2u);
}

// A follower is cut off during more changes than the voters' history holds.  It goes on serving as
// unconfirmed; once reconnected it receives a snapshot, deleted objects are removed, and its
// revision never decreases.
TEST_F (Config, CutOffFollowerServesOnUnconfirmedAndCatchesUp)
{
  add_node ("v1", true, 8);
  add_node ("v2", true, 8);
  put_all ("pools", "gen", POOL);
  put_all ("pools", "old", POOL);
  struct node &f = add_node ("f", false);
  clock.run (2 * SEC);
  ASSERT_TRUE (config_is_confirmed (f.board, clock.now));
  network.cut.insert ("f");
  for (int i = 0; i < 20; i++)
    put_all ("organisations", "o" + std::to_string (i), "{}");
  for (const char *voter : { "v1", "v2" })
    apply_change (nodes[voter]->store, { .name = "old", .op = STORE_DELETE });
  clock.run (30 * SEC);
  EXPECT_FALSE (config_is_confirmed (f.board, clock.now));
  EXPECT_TRUE (f.board->config_ready);
  EXPECT_EQ (f.board->revision, 2u);
  network.cut.clear ();
  clock.run (10 * SEC);
  EXPECT_TRUE (config_is_confirmed (f.board, clock.now));
  EXPECT_EQ (f.board->revision, 23u);
  EXPECT_EQ (board_find_pool (f.board, "old", nullptr), nullptr);
  EXPECT_NE (board_find_organisation (f.board, "o19", nullptr), nullptr);
  for (size_t i = 1; i < f.revisions.size (); i++)
    EXPECT_GE (f.revisions[i], f.revisions[i - 1]);
}

// Some messages with changes are lost.  A follower that skipped the gap would run a mix of
// revisions that was never accepted.
TEST_F (Config, ALostMessageLeavesNoGap)
{
  add_node ("v1", true);
  add_node ("v2", true);
  struct node &f = add_node ("f", false);

  clock.run (2 * SEC);
  for (int i = 0; i < 30; i++)
    {
      network.drop_next = i % 3;
      put_all ("organisations", "o" + std::to_string (i), "{}");
      clock.run (SEC / 3);
    }
  clock.run (10 * SEC);
  EXPECT_EQ (f.board->revision, 30u);
  for (int i = 0; i < 30; i++)
    EXPECT_NE (board_find_organisation (f.board, ("o" + std::to_string (i)).c_str (), nullptr),
               nullptr);
}

// The follower's voter is cut off from the quorum but not from the follower.  It answers nothing
// that it cannot confirm, and the follower switches to the other voter.
TEST_F (Config, FollowerSwitchesFromVoterWithoutQuorum)
{
  struct node &v1 = add_node ("v1", true);
  struct node &v2 = add_node ("v2", true);

  for (struct node *cut : { &v1, &v2 })
    {
      struct node *other = cut == &v1 ? &v2 : &v1;

      cut->log->quorum = false;
      other->log->quorum = true;
      put (*other, "organisations", cut == &v1 ? "x" : "y", "{}");
      put (*cut, "organisations", cut == &v1 ? "x" : "y", "{}");
      struct node &f = add_node (cut == &v1 ? "f" : "g", false);
      clock.run (6 * SEC);
      EXPECT_TRUE (config_is_confirmed (f.board, clock.now));
    }
}

// A follower restarts while the voters have no quorum.  What they hold was never confirmed to the
// new process, so it must not serve it.
TEST_F (Config, ARestartedFollowerServesNothingUnconfirmed)
{
  struct node &v1 = add_node ("v1", true);
  struct node &v2 = add_node ("v2", true);

  put_all ("pools", "gen", POOL);
  v1.log->quorum = false;
  v2.log->quorum = false;
  struct node &f = add_node ("f", false);
  clock.run (20 * SEC);
  EXPECT_FALSE (f.board->config_ready);
  EXPECT_EQ (f.board->revision, 0u);
}

struct waiting
{
  struct config_waiter waiter = {};
  int calls = 0;
  bool everywhere = false;
  uint32_t hosts = 0;
  std::string behind = {};
  std::string cut_off = {};

  static void
  done (struct config_waiter *waiter, const struct config_wait_result *result, int64_t)
  {
    struct waiting *self = reinterpret_cast<struct waiting *> (waiter);

    self->calls++;
    self->everywhere = result->everywhere;
    self->hosts = result->hosts;
    if (json_array_size (result->behind) > 0)
      self->behind = json_string_value (json_array_get (result->behind, 0));
    if (json_array_size (result->cut_off) > 0)
      self->cut_off = json_string_value (json_array_get (result->cut_off, 0));
  }

  waiting ()
  {
    static const struct config_waiter_ops ops = { done };
    waiter.ops = &ops;
  }
};

class ConfigWait : public Config
{
protected:
  void
  add_board_hosts (struct node &of, const std::string &self, const std::vector<std::string> &names)
  {
    for (const auto &name : names)
      {
        struct handle handle;
        struct board_host *host =
            static_cast<struct board_host *> (table_add (of.board->hosts, &handle));

        snprintf (host->name, sizeof host->name, "%s", name.c_str ());
        host->self = name == self;
      }
  }
};

TEST_F (ConfigWait, EndsAsSoonAsTheRevisionIsInForceOnAllHosts)
{
  struct node &v1 = add_node ("v1", true);
  struct waiting waiting;

  add_node ("v2", true);
  add_node ("f", false);
  add_board_hosts (v1, "v1", { "v1", "v2", "f" });
  clock.run (2 * SEC);
  put_all ("pools", "gen", POOL);
  config_wait_start (v1.wait, &waiting.waiter, 1, clock.now + 10 * SEC, clock.now);
  EXPECT_EQ (waiting.calls, 0);
  clock.run (SEC);
  EXPECT_EQ (waiting.calls, 1);
  EXPECT_TRUE (waiting.everywhere);
  EXPECT_EQ (waiting.hosts, 3u);
}

// An operator applies a change while one host is cut off.  The wait must end and name the host: as
// behind at first, as cut off once membership reports it dead.
TEST_F (ConfigWait, NamesHostsThatLackTheRevision)
{
  struct node &v1 = add_node ("v1", true);
  struct waiting first;
  struct waiting second;

  add_node ("v2", true);
  add_node ("f", false);
  add_board_hosts (v1, "v1", { "v1", "v2", "f" });
  clock.run (2 * SEC);
  network.cut.insert ("f");
  put_all ("pools", "gen", POOL);
  config_wait_start (v1.wait, &first.waiter, 1, clock.now + 2 * SEC, clock.now);
  clock.run (3 * SEC);
  EXPECT_EQ (first.calls, 1);
  EXPECT_FALSE (first.everywhere);
  EXPECT_EQ (first.behind, "f");
  board_find_host (v1.board, "f", nullptr)->state = HOST_DEAD;
  config_wait_start (v1.wait, &second.waiter, 1, clock.now + 10 * SEC, clock.now);
  clock.run (2 * SEC);
  EXPECT_EQ (second.calls, 1);
  EXPECT_TRUE (second.everywhere);
  EXPECT_EQ (second.cut_off, "f");
}

}
