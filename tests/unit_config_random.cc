// A seeded random test of the configuration: two voters and three followers, with links cut,
// messages lost, voters behind or without a quorum, restarts, and changes throughout.
//
// The configuration in force on a host is always exactly one accepted revision.  The revision never
// decreases, even across a restart, and once all faults are over every host has the last one.
#include "rng.h"
#include "unit_config_nodes.h"

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
constexpr int STEPS = 300;
constexpr int NAMES = 6;

// Weight of each organisation, 0 while it is not declared.
using state = std::vector<int>;

class ConfigExplorer : public Config, public testing::WithParamInterface<uint64_t>
{
protected:
  const std::vector<std::string> voters = { "v1", "v2" };
  const std::vector<std::string> followers = { "f1", "f2", "f3" };
  struct rng rng;
  std::vector<state> accepted = { state (NAMES, 0) }; // by revision
  std::vector<struct change> log;
  std::map<std::string, size_t> applied;
  std::map<std::string, uint64_t> last_revision; // highest seen, also before restarts

  void
  catch_up (const std::string &voter, size_t upto)
  {
    for (size_t &at = applied[voter]; at < upto; at++)
      apply_change (nodes[voter]->store, log[at]);
    nodes[voter]->log->quorum = applied[voter] == log.size ();
  }

  // Applies a random change on voters with a quorum, some of which miss it at random.  Voters that
  // lack it have no quorum until they catch up.
  void
  apply_random_change ()
  {
    size_t which = rng_below (&rng, NAMES);
    state next = accepted.back ();
    struct change change = { .kind = "organisations", .name = "o" + std::to_string (which) };

    if (next[which] != 0 && rng_below (&rng, 3) == 0)
      {
        change.op = STORE_DELETE;
        next[which] = 0;
      }
    else
      {
        next[which] = static_cast<int> (accepted.size ());
        change.spec = "{\"weight\":" + std::to_string (next[which]) + "}";
      }
    accepted.push_back (next);
    log.push_back (change);
    for (const auto &voter : voters)
      if (nodes[voter]->log->quorum && rng_below (&rng, 8) != 0)
        catch_up (voter, log.size ());
      else
        nodes[voter]->log->quorum = false;
  }

  void
  restart (const std::string &name, bool votes)
  {
    nodes.erase (name);
    add_node (name, votes, 8);
    if (!votes)
      return;
    nodes[name]->log->quorum = false;
    applied[name] = 0;
    catch_up (name, rng_below (&rng, log.size () + 1));
  }

  std::string
  any_follower ()
  {
    return followers[rng_below (&rng, followers.size ())];
  }

  void
  step ()
  {
    std::string voter = voters[rng_below (&rng, voters.size ())];

    switch (rng_below (&rng, 12))
      {
      case 0:
      case 1:
      case 2:
        apply_random_change ();
        break;
      case 3:
        catch_up (voter, log.size ());
        break;
      case 4:
        network.cut.insert (any_follower ());
        break;
      case 5:
        network.cut.clear ();
        break;
      case 6:
        network.drop_next = static_cast<int> (rng_below (&rng, 6));
        break;
      case 7:
        restart (any_follower (), false);
        break;
      case 8:
        if (rng_below (&rng, 3) == 0)
          restart (voter, true);
        else
          network.cut.insert (voter);
        break;
      default:
        clock.run (static_cast<int64_t> (rng_below (&rng, 3 * SEC)));
        break;
      }
  }

  void
  check (const std::string &name)
  {
    const struct board *board = nodes[name]->board;

    if (!board->config_ready)
      {
        EXPECT_EQ (board->revision, 0u) << name;
        return;
      }
    ASSERT_GE (board->revision, last_revision[name]) << name;
    ASSERT_LT (board->revision, accepted.size ()) << name;
    last_revision[name] = board->revision;
    for (int i = 0; i < NAMES; i++)
      {
        const struct board_organisation *entry =
            board_find_organisation (board, ("o" + std::to_string (i)).c_str (), nullptr);
        int weight = entry == nullptr ? 0 : static_cast<int> (entry->spec.weight);

        ASSERT_EQ (weight, accepted[board->revision][static_cast<size_t> (i)])
            << name << " at " << board->revision;
      }
  }

  void
  check_all ()
  {
    for (const auto &node : nodes)
      check (node.first);
  }
};

TEST_P (ConfigExplorer, ServesOneAcceptedRevisionThatNeverDecreases)
{
  rng_init (&rng, GetParam ());
  for (const auto &voter : voters)
    add_node (voter, true, 8);
  for (const auto &follower : followers)
    add_node (follower, false, 8);
  for (int i = 0; i < STEPS && !HasFatalFailure (); i++)
    {
      step ();
      check_all ();
    }
  network.cut.clear ();
  network.drop_next = 0;
  for (const auto &voter : voters)
    catch_up (voter, log.size ());
  clock.run (20 * SEC);
  check_all ();
  for (const auto &node : nodes)
    {
      EXPECT_EQ (node.second->board->revision, log.size ()) << node.first;
      EXPECT_TRUE (config_is_confirmed (node.second->board, clock.now)) << node.first;
    }
}

INSTANTIATE_TEST_SUITE_P (Seeds, ConfigExplorer, testing::Range (UINT64_C (1), UINT64_C (31)));

}
