// The peer port under bursts, wrong and replaced keys, garbage input, and hosts that stop and
// return.
#include "peer_zmq.h"
#include "unit_edges_support.h"
#include <memory>
#include <zmq.h>

namespace
{

struct keys
{
  char open[41];
  char secret[41];

  keys ()
  {
    EXPECT_EQ (zmq_curve_keypair (open, secret), 0);
  }
};

struct test_host
{
  struct peer_listener listener; // must be the first member
  struct loop *loop;
  struct counters *counters;
  struct peer_port *port;
  std::string name;
  std::vector<std::string> heard;

  static void
  on_message (struct peer_listener *to, const char *from, const void *data, size_t length, int64_t)
  {
    auto *self = reinterpret_cast<struct test_host *> (to);

    self->heard.push_back (std::string (from) + ":"
                           + std::string (static_cast<const char *> (data), length));
  }

  test_host (struct loop *on, const char *host, const struct keys *keys) : loop (on), name (host)
  {
    static const struct peer_listener_ops ops = { .received = on_message };
    struct peer_zmq_config config = {};

    counters = counters_new (nullptr);
    config.loop = loop;
    config.counters = counters;
    config.name = host;
    config.listen = "127.0.0.1:0";
    config.secret_key = keys == nullptr ? nullptr : keys->secret;
    config.public_key = keys == nullptr ? nullptr : keys->open;
    config.queue_messages = 1000;
    port = peer_zmq_new (nullptr, &config);
    EXPECT_NE (port, nullptr) << status_message ();
    listener.ops = &ops;
    port->ops->set_listener (port, PEER_CHANNEL_MEMBER, &listener);
  }

  test_host (const test_host &) = delete;

  ~test_host ()
  {
    talloc_free (port);
    talloc_free (counters);
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (peer_zmq_port (port));
  }

  void
  knows (const test_host &other, const struct keys *keys) const
  {
    EXPECT_EQ (port->ops->set_address (port, other.name.c_str (), other.address ().c_str (),
                                       keys == nullptr ? nullptr : keys->open),
               STATUS_OK)
        << status_message ();
  }

  enum status
  say (const char *host, const std::string &text, enum peer_channel channel = PEER_CHANNEL_MEMBER)
  {
    return port->ops->send (port, host, channel, text.data (), text.size ());
  }

  // Waits until the connection accepts a message.
  bool
  say_when_connected (const char *host, const std::string &text)
  {
    return run_until (loop, [&] { return say (host, text) == STATUS_OK; });
  }

  double
  counted (const char *what) const
  {
    return counter_get (counters, (std::string ("cherryarch_peer_") + what + "_total").c_str (), "",
                        nullptr)
        ->value;
  }
};

// One loop for all hosts of a test.
struct ring
{
  struct loop *loop = loop_new (nullptr, 64);

  ~ring ()
  {
    talloc_free (loop);
  }
};

// Many messages at once, and one message each way after an idle period: the descriptor of a socket
// signals once for many messages, and a missed signal leaves messages unread.
TEST (PeerZmqFaults, DeliversEveryMessageInOrderBothWays)
{
  struct ring ring;
  struct keys keys_a;
  struct keys keys_b;
  struct test_host a (ring.loop, "a", &keys_a);
  struct test_host b (ring.loop, "b", &keys_b);

  a.knows (b, &keys_b);
  b.knows (a, &keys_a);
  peer_zmq_set_trusted_key (a.port, "b", keys_b.open);
  peer_zmq_set_trusted_key (b.port, "a", keys_a.open);
  ASSERT_TRUE (a.say_when_connected ("b", "0"));
  for (int i = 1; i < 900; i++)
    ASSERT_EQ (a.say ("b", std::to_string (i)), STATUS_OK);
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () >= 900; })) << b.heard.size ();
  for (int i = 0; i < 900; i++)
    ASSERT_EQ (b.heard[i], "a:" + std::to_string (i));
  ASSERT_TRUE (b.say_when_connected ("a", "back"));
  for (int i = 0; i < 100; i++)
    {
      ASSERT_TRUE (run_until (ring.loop, [&] { return a.heard.size () == size_t (i) + 1; })) << i;
      ASSERT_EQ (b.say ("a", "back"), STATUS_OK);
    }
}

TEST (PeerZmqFaults, WorksWithoutKeysWhenConfigured)
{
  struct ring ring;
  struct test_host a (ring.loop, "a", nullptr);
  struct test_host b (ring.loop, "b", nullptr);
  std::string large (PEER_MESSAGE_BYTES_MAX, 'l');

  a.knows (b, nullptr);
  EXPECT_EQ (a.say ("c", "x"), STATUS_NOT_FOUND);
  ASSERT_TRUE (a.say_when_connected ("b", large));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 1; }));
  EXPECT_EQ (b.heard[0], "a:" + large);
  EXPECT_EQ (a.say ("b", large + "x"), STATUS_TOO_LARGE);
  EXPECT_EQ (a.say ("b", "x", PEER_CHANNEL_LOAD), STATUS_OK); // no listener on this channel
  ASSERT_EQ (a.say ("b", "y"), STATUS_OK);
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 2; }));
  EXPECT_EQ (b.heard[1], "a:y");
  a.port->ops->remove_host (a.port, "b");
  EXPECT_EQ (a.say ("b", "x"), STATUS_NOT_FOUND);
}

// A host with an unknown key connects: it is refused and counted, none of its messages is received,
// and known hosts are not affected.
TEST (PeerZmqFaults, RefusesAnUnknownKey)
{
  struct ring ring;
  struct keys keys_a;
  struct keys keys_b;
  struct keys keys_x;
  struct test_host a (ring.loop, "a", &keys_a);
  struct test_host b (ring.loop, "b", &keys_b);
  struct test_host x (ring.loop, "a", &keys_x); // claims to be a

  peer_zmq_set_trusted_key (b.port, "a", keys_a.open);
  x.knows (b, &keys_b);
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.counted ("keys_refused") > 0; }));
  EXPECT_NE (x.say ("b", "lie"), STATUS_OK);
  a.knows (b, &keys_b);
  ASSERT_TRUE (a.say_when_connected ("b", "truth"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return !b.heard.empty (); }));
  EXPECT_EQ (b.heard, std::vector<std::string>{ "a:truth" });
}

// A host connects with its own, known key and names another host in its messages.
TEST (PeerZmqFaults, DropsMessagesOfAHostThatNamesAnother)
{
  struct ring ring;
  struct keys keys_a;
  struct keys keys_b;
  struct keys keys_c;
  struct test_host b (ring.loop, "b", &keys_b);
  struct test_host c (ring.loop, "a", &keys_c); // key of c, name of a

  peer_zmq_set_trusted_key (b.port, "a", keys_a.open);
  peer_zmq_set_trusted_key (b.port, "c", keys_c.open);
  c.knows (b, &keys_b);
  ASSERT_TRUE (c.say_when_connected ("b", "lie"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.counted ("wrong_name") > 0; }));
  EXPECT_TRUE (b.heard.empty ());
}

// An operator revokes the key of a connected host and then gives the host a new key.  The holder of
// the old key still has the open connection: its messages must be dropped before and after the new
// key is added.  When the old key is trusted again, its messages are accepted again.
TEST (PeerZmqFaults, RevocationIsImmediateAlsoWhenTheKeyIsReplaced)
{
  struct ring ring;
  struct keys keys_a;
  struct keys keys_b;
  struct keys keys_next;
  struct test_host a (ring.loop, "a", &keys_a);
  struct test_host b (ring.loop, "b", &keys_b);

  peer_zmq_set_trusted_key (b.port, "a", keys_a.open);
  a.knows (b, &keys_b);
  ASSERT_TRUE (a.say_when_connected ("b", "one"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 1; }));
  for (const char *instead :
       { static_cast<const char *> (nullptr), static_cast<const char *> (keys_next.open) })
    {
      double dropped = b.counted ("wrong_name");

      EXPECT_EQ (peer_zmq_set_trusted_key (b.port, "a", instead), STATUS_OK);
      ASSERT_EQ (a.say ("b", "two"), STATUS_OK);
      ASSERT_TRUE (run_until (
          ring.loop, [&] { return b.counted ("wrong_name") > dropped || b.heard.size () > 1; }));
      EXPECT_EQ (b.heard.size (), 1u);
    }
  peer_zmq_set_trusted_key (b.port, "a", keys_a.open);
  ASSERT_EQ (a.say ("b", "three"), STATUS_OK);
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () > 1; }));
  EXPECT_EQ (b.heard.back (), "a:three");
}

// A host rotates its key: it has two for a while, and messages with either are accepted.
TEST (PeerZmqFaults, AcceptsAHostWithEitherOfItsTwoKeys)
{
  struct ring ring;
  struct keys keys_old;
  struct keys keys_new;
  struct keys keys_b;
  struct test_host before (ring.loop, "a", &keys_old);
  struct test_host after (ring.loop, "a", &keys_new);
  struct test_host b (ring.loop, "b", &keys_b);

  EXPECT_EQ (peer_zmq_set_trusted_key (b.port, "a", keys_old.open), STATUS_OK);
  EXPECT_EQ (peer_zmq_set_trusted_key (b.port, "a", keys_new.open), STATUS_OK);
  EXPECT_EQ (peer_zmq_set_trusted_key (b.port, "c", keys_new.open), STATUS_CONFLICT);
  before.knows (b, &keys_b);
  after.knows (b, &keys_b);
  ASSERT_TRUE (before.say_when_connected ("b", "old"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 1; }));
  ASSERT_TRUE (after.say_when_connected ("b", "new"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 2; }));
  EXPECT_EQ (b.heard, (std::vector<std::string>{ "a:old", "a:new" }));
}

// Any process can connect to the peer port and send bytes that are not the protocol, not an
// envelope, or too long.  They are dropped, and other peers are not affected.
TEST (PeerZmqFaults, DropsGarbage)
{
  struct ring ring;
  struct test_host a (ring.loop, "a", nullptr);
  struct test_host b (ring.loop, "b", nullptr);
  struct raw_caller raw (ring.loop, peer_zmq_port (b.port));
  void *context = zmq_ctx_new ();
  void *dealer = zmq_socket (context, ZMQ_DEALER);
  const std::vector<std::string> garbage = {
    "",
    "x",
    std::string (1, '\x94'),
    std::string ("\x94\x01\xa1", 3),
    std::string ("\x94\x02\xa1"
                 "a\x00\xc4\x01x",
                 8), // version 2
    std::string ("\x94\x01\xa1"
                 "a\x63\xc4\x01x",
                 8), // channel 99
    std::string ("\x94\x01\xa1"
                 "a\x00\xc4\x09x",
                 8), // payload shorter than its length
    std::string ("\x94\x01\xa1"
                 "a\x00\xc4\x01xy",
                 9),                              // payload longer than its length
    std::string ("\x94\x01\xa0\x00\xc4\x01x", 7), // no name
    std::string ("\x94\x01\xa3"
                 "a\x00"
                 "b\x00\xc4\x01x",
                 10), // NUL in the name
    std::string (PEER_MESSAGE_BYTES_MAX + 1000, 'x'),
  };
  int linger = 0;

  raw.send (std::string (5000, '\xff'));
  zmq_setsockopt (dealer, ZMQ_LINGER, &linger, sizeof linger);
  ASSERT_EQ (zmq_connect (dealer, ("tcp://" + b.address ()).c_str ()), 0);
  for (const std::string &bytes : garbage)
    ASSERT_GE (zmq_send (dealer, bytes.data (), bytes.size (), 0), 0);
  ASSERT_GE (zmq_send (dealer, "two", 3, ZMQ_SNDMORE), 0);
  ASSERT_GE (zmq_send (dealer, "frames", 6, 0), 0);
  ASSERT_TRUE (run_until (ring.loop, [&] {
    return b.counted ("malformed") >= double (garbage.size () + 1);
  })) << b.counted ("malformed");
  EXPECT_TRUE (b.heard.empty ());
  a.knows (b, nullptr);
  ASSERT_TRUE (a.say_when_connected ("b", "fine"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b.heard.size () == 1; }));
  zmq_close (dealer);
  zmq_ctx_term (context);
}

// A host stops and returns at another address.  Sending to it fails in the meantime and recovers by
// itself afterwards.
TEST (PeerZmqFaults, RecoversWhenAHostReturns)
{
  struct ring ring;
  struct keys keys_a;
  struct keys keys_b;
  struct test_host a (ring.loop, "a", &keys_a);
  auto b = std::make_unique<struct test_host> (ring.loop, "b", &keys_b);
  std::string address = b->address ();

  peer_zmq_set_trusted_key (b->port, "a", keys_a.open);
  a.knows (*b, &keys_b);
  ASSERT_TRUE (a.say_when_connected ("b", "one"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b->heard.size () == 1; }));
  b.reset ();
  ASSERT_TRUE (run_until (ring.loop, [&] { return a.say ("b", "lost") == STATUS_AGAIN; }));
  b = std::make_unique<struct test_host> (ring.loop, "b", &keys_b);
  peer_zmq_set_trusted_key (b->port, "a", keys_a.open);
  a.knows (*b, &keys_b); // at its new port
  ASSERT_TRUE (a.say_when_connected ("b", "two"));
  ASSERT_TRUE (run_until (ring.loop, [&] { return b->heard.size () == 1; }));
  EXPECT_EQ (b->heard[0], "a:two");
}

} // namespace
