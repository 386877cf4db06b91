// Voters and followers of the configuration on one virtual clock and a fake network.
#pragma once
#include "config.h"
#include "config_feed.h"
#include "config_follow.h"
#include "config_wait.h"
#include "container.h"
#include "unit_config_peers.h"
#include "unit_store_log.h"
#include <memory>
#include <vector>

// One host: its store, board and configuration.
struct node
{
  void *memory = talloc_new (nullptr);
  struct store_config store_config = {};
  struct store *store = nullptr;
  struct board *board = board_new (memory);
  struct counters *counters = counters_new (memory);
  struct config *config = nullptr;
  struct config_link *link = nullptr;
  struct config_feed *feed = nullptr;
  struct config_follow *follow = nullptr;
  struct config_wait *wait = nullptr;
  std::unique_ptr<struct test_log> log = {};
  std::vector<uint64_t> revisions = {};
  struct board_subscriber subscriber = {};

  ~node ()
  {
    talloc_free (memory);
  }
};

class Config : public testing::Test
{
protected:
  struct test_clock clock;
  struct test_network network
  {
    clock.timers, &clock.now
  };
  std::map<std::string, std::unique_ptr<struct node>> nodes;

  ~Config () override
  {
    nodes.clear ();
  }

  static void
  changed (struct board_subscriber *subscriber, enum board_event, struct handle, int64_t)
  {
    struct node *self = CONTAINER_OF (subscriber, struct node, subscriber);

    self->revisions.push_back (self->board->revision);
  }

  struct node &
  add_node (const std::string &name, bool votes, uint32_t history = 0)
  {
    static const struct board_subscriber_ops ops = { changed };
    struct config_config config = {};
    struct config_wait_config wait = {};

    nodes[name] = std::make_unique<struct node> ();
    struct node &added = *nodes[name];
    added.store_config.history_events_max = history;
    added.store = store_new (added.memory, &added.store_config);
    added.log = std::make_unique<struct test_log> (store_machine (added.store), clock.timers);
    added.subscriber.ops = &ops;
    board_subscribe (added.board, &added.subscriber);
    added.link = config_link_new (added.memory, network.add (name));
    config.store = added.store;
    config.board = added.board;
    config.consensus = votes ? &added.log->consensus : nullptr;
    config.timers = clock.timers;
    config.counters = added.counters;
    added.config = config_new (added.memory, &config, clock.now);
    wait.link = added.link;
    wait.board = added.board;
    wait.timers = clock.timers;
    added.wait = config_wait_new (added.memory, &wait);
    if (votes)
      add_feed (added);
    else
      add_follow (added, name);
    return added;
  }

  void
  add_feed (struct node &voter)
  {
    struct config_feed_config config = {};

    config.link = voter.link;
    config.store = voter.store;
    config.consensus = &voter.log->consensus;
    config.timers = clock.timers;
    config.counters = voter.counters;
    voter.feed = config_feed_new (voter.memory, &config);
  }

  void
  add_follow (struct node &follower, const std::string &name)
  {
    struct config_follow_config config = {};
    struct settings_peer voters[2] = {};

    config.link = follower.link;
    config.config = follower.config;
    config.store = follower.store;
    config.board = follower.board;
    config.timers = clock.timers;
    config.counters = follower.counters;
    config.host = name.c_str ();
    follower.follow = config_follow_new (follower.memory, &config, clock.now);
    snprintf (voters[0].name, sizeof voters[0].name, "v1");
    snprintf (voters[1].name, sizeof voters[1].name, "v2");
    config_follow_set_voters (follower.follow, voters, 2);
  }

  static void
  put (struct node &on, const std::string &kind, const std::string &name, const std::string &spec)
  {
    struct answer answer = apply_change (on.store, { .kind = kind, .name = name, .spec = spec });

    EXPECT_LT (answer.verdict, STORE_CONFLICT);
  }

  // Applies a change on both voters, as the replicated log would.
  void
  put_all (const std::string &kind, const std::string &name, const std::string &spec)
  {
    put (*nodes["v1"], kind, name, spec);
    put (*nodes["v2"], kind, name, spec);
  }
};
