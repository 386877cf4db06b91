// Distribution of limits over hosts: the shares must never sum to more than the bound.
#include "rng.h"
#include "share.h"
#include "share_control.h"
#include "text.h"
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t SECOND = USEC_PER_SEC;

TEST (ShareBook, SharesFollowDemandAndNeverExceedTheWhole)
{
  struct share_coordinator *coordinator = share_coordinator_new (nullptr);
  double a = 0;
  double b = 0;

  for (int64_t now = 0; now < 40 * SECOND; now += SHARE_PERIOD)
    {
      double demand = now < 20 * SECOND ? 9 : 1;
      a = share_coordinator_grant (coordinator, "o", "a", demand, 2, now);
      EXPECT_LE (a + b, 1 - SHARE_RESERVE + 1e-9) << now;
      b = share_coordinator_grant (coordinator, "o", "b", 10 - demand, 2, now + 1);
      EXPECT_LE (a + b, 1 - SHARE_RESERVE + 1e-9) << now;
    }
  EXPECT_NEAR (a, 0.08, 0.001);
  EXPECT_NEAR (b, 0.72, 0.001);
  talloc_free (coordinator);
}

// A host that has leased nearly the whole limit fails.  Its share must not be granted again before
// its lease has expired, and must be granted right after.
TEST (ShareBook, ShareOfAFailedHostIsReleasedAfterItsLease)
{
  struct share_coordinator *coordinator = share_coordinator_new (nullptr);
  int64_t now = 0;

  for (; now < 20 * SECOND; now += SHARE_PERIOD)
    share_coordinator_grant (coordinator, "o", "dead", 100, 2, now);
  EXPECT_LE (share_coordinator_grant (coordinator, "o", "b", 10, 2, now), 0.1);
  EXPECT_NEAR (share_coordinator_grant (coordinator, "o", "b", 10, 2, now + SHARE_LEASE), 0.8,
               1e-9);
  talloc_free (coordinator);
}

TEST (ShareMessage, RoundTripsAndRejectsMalformedMessages)
{
  struct share_item items[2] = { { .organisation = "a", .value = 3.5, .sent_at = 7 },
                                 { .organisation = "b", .value = 0, .sent_at = 8 } };
  struct share_message out = { .kind = SHARE_REQUEST, .n_items = 2, .items = items };
  struct share_message in;
  struct bytes bytes;

  bytes_init (&bytes, nullptr);
  share_message_write (&out, &bytes);
  ASSERT_EQ (share_message_read (nullptr, bytes.data, bytes.length, &in), STATUS_OK);
  EXPECT_EQ (in.n_items, 2u);
  EXPECT_STREQ (in.items[0].organisation, "a");
  EXPECT_EQ (in.items[0].value, 3.5);
  EXPECT_EQ (in.items[1].sent_at, 8u);
  talloc_free (in.items);
  for (size_t length = 0; length < bytes.length; length++)
    EXPECT_EQ (share_message_read (nullptr, bytes.data, length, &in), STATUS_MALFORMED);
  out.kind = SHARE_GRANT; // a grant of 3.5 times the limit
  bytes_clear (&bytes);
  share_message_write (&out, &bytes);
  EXPECT_EQ (share_message_read (nullptr, bytes.data, bytes.length, &in), STATUS_MALFORMED);
  bytes_clear (&bytes);
}

struct cluster;

// A host with its board and decisions.  Its port drops and delays messages.
struct node
{
  struct peer_port port;
  struct cluster *all;
  std::string name;
  struct board *board;
  struct decide *decide;
  struct share_control *control;
  struct peer_listener *listener;
  struct handle organisation;
  bool dead;
};

struct pending_message
{
  int64_t due;
  std::string from;
  std::string to;
  std::string body;
};

struct cluster
{
  std::vector<std::unique_ptr<struct node>> nodes;
  std::deque<struct pending_message> pending_messages;
  struct timer_service *timers;
  struct rng rng;
  int64_t now = 0;
  double lost = 0;
};

enum status
send_message (
    struct peer_port *port, const char *host, enum peer_channel, const void *data, size_t length)
{
  auto *self = reinterpret_cast<struct node *> (port);
  struct cluster *all = self->all;

  if (self->dead || rng_unit (&all->rng) < all->lost)
    return STATUS_OK;
  all->pending_messages.push_back (
      { .due = all->now + static_cast<int64_t> (rng_below (&all->rng, SECOND)),
        .from = self->name,
        .to = host,
        .body = { static_cast<const char *> (data), length } });
  return STATUS_OK;
}

void
listen_to (struct peer_port *port, enum peer_channel, struct peer_listener *listener)
{
  reinterpret_cast<struct node *> (port)->listener = listener;
}

const struct peer_port_ops port_ops = {
  .set_address = nullptr, .remove_host = nullptr, .send = send_message, .set_listener = listen_to
};

class ShareControl : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    root = talloc_new (nullptr);
    all.timers = timer_service_new (root);
    rng_init (&all.rng, 3);
    for (int i = 0; i < 6; i++)
      add_node (i);
  }

  void
  TearDown () override
  {
    for (auto &node : all.nodes)
      talloc_free (node->control);
    talloc_free (root);
  }

  void
  add_node (int number)
  {
    auto node = std::make_unique<struct node> ();

    node->port.ops = &port_ops;
    node->all = &all;
    node->name = "host-" + std::to_string (number);
    node->board = board_new (root);
    for (int i = 0; i < 6; i++)
      {
        struct handle handle;
        auto *host = static_cast<struct board_host *> (table_add (node->board->hosts, &handle));
        text_copy (host->name, sizeof host->name, ("host-" + std::to_string (i)).c_str ());
        host->self = i == number;
      }
    auto *entry = static_cast<struct board_organisation *> (
        table_add (node->board->organisations, &node->organisation));
    text_copy (entry->spec.name, sizeof entry->spec.name, "o");
    entry->spec.requests_per_sec = 100;
    node->decide = decide_new (node->board, node->board, counters_new (root), 1);
    struct share_control_config config = { .board = node->board,
                                           .decide = node->decide,
                                           .timers = all.timers,
                                           .port = &node->port,
                                           .now = 0 };
    node->control = share_control_new (root, &config);
    all.nodes.push_back (std::move (node));
  }

  // Sends requests to one host.  The pipeline has no stages, so only the limits decide.
  void
  demand (struct node *node, int requests)
  {
    for (int i = 0; i < requests; i++)
      {
        struct decide_request request = {};
        request.pipeline = pipeline_of (node);
        request.organisation = node->organisation;
        request.deadline = all.now + SECOND;
        decide_admit (node->decide, &request, all.now);
      }
  }

  struct handle
  pipeline_of (struct node *node)
  {
    struct handle handle;

    if (board_find_pipeline (node->board, "p", &handle) != nullptr)
      return handle;
    auto *entry =
        static_cast<struct board_pipeline *> (table_add (node->board->pipelines, &handle));
    text_copy (entry->spec.name, sizeof entry->spec.name, "p");
    return handle;
  }

  void
  step ()
  {
    all.now += SECOND / 10;
    timer_service_run (all.timers, all.now);
    for (size_t i = 0; i < all.pending_messages.size ();)
      {
        struct pending_message pending_message = all.pending_messages[i];
        if (pending_message.due > all.now)
          {
            i++;
            continue;
          }
        all.pending_messages.erase (all.pending_messages.begin () + static_cast<long> (i));
        for (auto &node : all.nodes)
          if (node->name == pending_message.to && !node->dead)
            node->listener->ops->received (node->listener, pending_message.from.c_str (),
                                           pending_message.body.data (),
                                           pending_message.body.size (), all.now);
      }
  }

  double
  share (const struct node *node)
  {
    json_t *state = decide_describe (node->decide, all.now);
    json_t *list = json_object_get (state, "organisations");
    double value = json_real_value (json_object_get (json_array_get (list, 0), "share"));

    json_decref (state);
    return value;
  }

  double
  sum ()
  {
    double total = 0;
    for (auto &node : all.nodes)
      total += node->dead ? 0 : share (node.get ());
    return total;
  }

  void *root = nullptr;
  struct cluster all;
};

// All callers of an organisation use one host.  An even split would refuse five sixths of a demand
// that is within the limit.
TEST_F (ShareControl, ShareFollowsDemand)
{
  for (int i = 0; i < 300; i++)
    {
      demand (all.nodes[2].get (), 5);
      step ();
    }
  EXPECT_GT (share (all.nodes[2].get ()), 0.8);
  EXPECT_LE (sum (), 1.0 + 5.0 / 6 + 1e-9); // hosts that never asked stay at their even share
}

// A third of the messages are lost, the rest are delayed by up to a second, and the demand moves
// from host to host.  Grants made at different times must not sum to more than the stated bound.
TEST_F (ShareControl, BoundHoldsWithLostAndLateMessages)
{
  all.lost = 0.33;
  for (int i = 0; i < 2000; i++)
    {
      for (auto &node : all.nodes)
        demand (node.get (), 1);
      demand (all.nodes[static_cast<size_t> (i / 100) % 6].get (), 4);
      step ();
      ASSERT_LE (sum (), 2.0 + 1e-9) << i;
    }
}

} // namespace
