// The list of hosts for callers: which hosts it excludes, and how callers are spread.
#include "entries.h"
#include "text.h"
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <talloc.h>

namespace
{

struct view
{
  struct board *board = board_new (nullptr);

  ~view ()
  {
    talloc_free (board);
  }

  struct board_host *
  add (const char *name, const char *domain, double load = 0)
  {
    struct handle handle;
    auto *host = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    text_copy (host->name, sizeof host->name, name);
    text_copy (host->domain, sizeof host->domain, domain);
    text_copy (host->entry_address, sizeof host->entry_address, "127.0.0.1:1");
    host->load = load;
    if (handle_is_none (board->self))
      {
        board->self = handle;
        host->self = true;
      }
    return host;
  }

  struct entries_choice
  choose (uint64_t seed) const
  {
    struct entries_choice choice;

    entries_choose (board, seed, &choice);
    return choice;
  }

  const struct board_host *
  at (const struct entries_choice &choice, uint32_t i) const
  {
    return static_cast<const struct board_host *> (table_get (board->hosts, choice.hosts[i]));
  }

  std::set<std::string>
  names (uint64_t seed) const
  {
    struct entries_choice choice = choose (seed);
    std::set<std::string> out;

    for (uint32_t i = 0; i < choice.n_hosts; i++)
      out.insert (at (choice, i)->name);
    return out;
  }
};

// A caller caches a list.  A listed host that is dead, suspect, leaving, cut off or behind would
// time out, close the connection, or serve an old configuration.
TEST (Entries, ExcludeUnhealthyHosts)
{
  struct view v;

  v.add ("self", "a");
  v.add ("sound", "b");
  v.add ("suspect", "b")->state = HOST_SUSPECT;
  v.add ("dead", "b")->state = HOST_DEAD;
  v.add ("leaving", "b")->state = HOST_LEAVING;
  v.add ("left", "b")->state = HOST_LEFT;
  v.add ("behind", "b")->behind = true;
  v.add ("cut-off", "b")->cut_off = true;
  v.add ("no-address", "b")->entry_address[0] = '\0';
  EXPECT_EQ (v.names (1), (std::set<std::string>{ "self", "sound" }));
  v.board->leaving = true;
  EXPECT_EQ (v.names (1), (std::set<std::string>{ "sound" }));
}

// The voters lost their quorum, so every host's configuration is unconfirmed.  No new one can be
// accepted either; an empty list would stop all service without need.
TEST (Entries, HostsBehindAreListedWhenAllAreBehind)
{
  struct view v;

  v.add ("self", "a")->behind = true;
  v.add ("other", "b")->behind = true;
  v.add ("dead", "b")->state = HOST_DEAD;
  EXPECT_EQ (v.choose (1).tier, ENTRIES_BEHIND);
  EXPECT_EQ (v.names (1), (std::set<std::string>{ "self", "other" }));
}

// A caller sends a request to a host that is cut off from its peers and considers all of them dead.
// A list of only this host would keep the caller on the wrong side of the partition.
TEST (Entries, AHostThatIsCutOffListsTheOthers)
{
  struct view v;

  v.add ("self", "a")->cut_off = true;
  v.add ("x", "b")->state = HOST_DEAD;
  v.add ("y", "b")->state = HOST_SUSPECT;
  v.add ("gone", "b")->state = HOST_LEFT;
  EXPECT_EQ (v.choose (1).tier, ENTRIES_ELSEWHERE);
  EXPECT_EQ (v.names (1), (std::set<std::string>{ "x", "y" }));
}

// A thousand callers ask within a second, with the same load reports.  If every list began with the
// least loaded host, all callers would connect to it.
TEST (Entries, CallersAreSpreadByLoad)
{
  struct view v;
  std::map<std::string, unsigned> first;

  v.add ("idle", "a", 0.0);
  v.add ("half", "b", 0.5);
  v.add ("full", "c", 1.0);
  for (uint64_t seed = 0; seed < 3000; seed++)
    {
      struct entries_choice choice = v.choose (seed);

      ASSERT_EQ (choice.n_hosts, 3u);
      first[v.at (choice, 0)->name]++;
    }
  // Weights 1, 0.5 and 0.05 of 1.55: 1935, 968 and 97 of 3000 are expected.
  EXPECT_NEAR (first["idle"], 1935, 120);
  EXPECT_NEAR (first["half"], 968, 120);
  EXPECT_NEAR (first["full"], 97, 60);
}

// A failure domain fails while a caller has a cached list.  The next host in the list must not be
// in the same domain.
TEST (Entries, NeighboursInTheListAreOfDifferentDomains)
{
  struct view v;

  for (int i = 0; i < 9; i++)
    v.add (("h" + std::to_string (i)).c_str (), i < 3 ? "a" : i < 6 ? "b" : "c", i * 0.1);
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      struct entries_choice choice = v.choose (seed);

      ASSERT_EQ (choice.n_hosts, 9u);
      for (uint32_t i = 0; i < 9; i += 3)
        {
          std::set<std::string> domains;

          for (uint32_t j = i; j < i + 3; j++)
            domains.insert (v.at (choice, j)->domain);
          ASSERT_EQ (domains.size (), 3u) << seed;
        }
    }
}

TEST (Entries, ListsAreASampleOfManyHosts)
{
  struct view v;
  std::set<std::string> seen;

  for (int i = 0; i < 360; i++)
    v.add (("h" + std::to_string (i)).c_str (), ("d" + std::to_string (i % 8)).c_str ());
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      auto names = v.names (seed);

      ASSERT_EQ (names.size (), (size_t) ENTRIES_MAX);
      seen.insert (names.begin (), names.end ());
    }
  EXPECT_GT (seen.size (), 350u);
}

} // namespace
