// Whether a target ended when a connection to it broke, and the digest that identifies a request.
#include "request_digest.h"
#include "target_watch.h"
#include "unit_edges_support.h"
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace
{

// Accepts connections until it is destroyed.
struct listening
{
  struct tcp_listener listener;
  std::vector<int> taken;

  explicit listening (struct loop *loop)
  {
    static const struct tcp_listener_ops ops = {
      .accepted = [] (struct tcp_listener *base, int fd,
                      int64_t) { reinterpret_cast<listening *> (base)->taken.push_back (fd); },
    };

    EXPECT_EQ (tcp_listen (&listener, &ops, loop, "127.0.0.1:0"), STATUS_OK);
  }

  ~listening ()
  {
    for (int fd : taken)
      close (fd);
    tcp_listener_close (&listener);
  }

  std::string
  address () const
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;

    getsockname (listener.fd, reinterpret_cast<struct sockaddr *> (&at), &size);
    return "127.0.0.1:" + std::to_string (ntohs (at.sin_port));
  }
};

class TargetWatch : public ::testing::Test
{
protected:
  TargetWatch ()
  {
    static const struct target_watch_listener_ops ops = {
      .fate =
          [] (struct target_watch_listener *base, uint64_t incarnation, enum target_fate fate,
              int64_t, int64_t) {
            reinterpret_cast<listener *> (base)->fates.emplace_back (incarnation, fate);
          },
    };
    struct target_watch_config config = {};

    heard.base.ops = &ops;
    config.loop = loop;
    config.registry = registry;
    config.counters = counters_new (parent);
    config.listener = &heard.base;
    watch = target_watch_new (parent, &config);
  }

  ~TargetWatch () override
  {
    talloc_free (parent);
  }

  // Registers a renewal of the target `id` with this sequence number, received at `heard_at`.
  struct balance_target *
  target (const char *id,
          const std::string &address,
          uint64_t sequence,
          int64_t heard_at,
          enum registry_state state = REGISTRY_READY)
  {
    struct registry_registration word = {};
    struct registry_target *record;

    snprintf (word.id, sizeof word.id, "%s", id);
    snprintf (word.address, sizeof word.address, "%s", address.c_str ());
    word.sequence = sequence;
    word.state = state;
    registry_merge (registry, &word, 0, heard_at, &record);
    snprintf (at.id, sizeof at.id, "%s", id);
    snprintf (at.address, sizeof at.address, "%s", address.c_str ());
    at.id_hash = record->id_hash;
    at.leaving = state == REGISTRY_LEAVING;
    return &at;
  }

  void
  pass (int64_t span)
  {
    now += span;
    timer_service_run (loop_timers (loop), now);
  }

  // The fate reported last, UNKNOWN for none.
  enum target_fate
  last () const
  {
    return heard.fates.empty () ? TARGET_FATE_UNKNOWN : heard.fates.back ().second;
  }

  struct listener
  {
    struct target_watch_listener base; // first
    std::vector<std::pair<uint64_t, enum target_fate>> fates;
  } heard;
  void *parent = talloc_new (nullptr);
  struct loop *loop = loop_new_without_tls (parent, 64);
  struct registry *registry = registry_new (parent);
  struct target_watch *watch;
  struct balance_target at = {};
  int64_t now = loop_now (loop);
};

// A target's process has ended: its address refuses connections.
TEST_F (TargetWatch, ReportsAnEndWhenTheAddressRefusesConnections)
{
  std::string address;

  {
    listening was (loop);

    address = was.address ();
  }
  loop_run_once (loop, 0);
  EXPECT_EQ (target_watch_connection_broke (watch, target ("t1", address, 1, now), now),
             TARGET_FATE_UNKNOWN);
  ASSERT_TRUE (run_until (loop, [&] { return !heard.fates.empty (); }));
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
  // The next connection that breaks needs no probe.
  EXPECT_EQ (target_watch_connection_broke (watch, &at, now), TARGET_FATE_ENDED);
  EXPECT_EQ (heard.fates.size (), 1u);
}

// Guards against probes of a target whose failure domain is evacuated while it is watched.
TEST_F (TargetWatch, ProbesNoEvacuatedTarget)
{
  const struct balance_target *watched = target ("t1", "127.0.0.1:1", 1, now);

  registry_find (registry, "t1")->evacuated = true;
  target_watch_connection_broke (watch, watched, now);
  for (int i = 0; i < 10; i++)
    {
      loop_run_once (loop, 0);
      pass (TARGET_WATCH_PERIOD);
    }
  EXPECT_TRUE (target_watch_is_watched (watch, watched->id_hash));
  EXPECT_TRUE (heard.fates.empty ());
}

// Connections are reset while their target keeps running: that does not count as its end, however
// many there are.
TEST_F (TargetWatch, ReportsNoEndOfATargetThatGoesOn)
{
  listening there (loop);

  for (int i = 0; i < 5; i++)
    target_watch_connection_broke (watch, target ("t1", there.address (), 1, now), now);
  ASSERT_TRUE (run_until (loop, [&] { return !there.taken.empty (); }));
  loop_run_once (loop, 0);
  EXPECT_TRUE (heard.fates.empty ());
  target ("t1", there.address (), 2, now + TARGET_WATCH_RENEWAL_DELAY_MAX + 1);
  pass (TARGET_WATCH_RENEWAL_DELAY_MAX + TARGET_WATCH_PERIOD);
  EXPECT_EQ (last (), TARGET_FATE_LIVES);
  EXPECT_EQ (heard.fates.size (), 1u);
  EXPECT_EQ (there.taken.size (), 1u);
}

// A connection is reset, and the target ends a little later: its address then refuses connections.
TEST_F (TargetWatch, ProbesAgainWhenAnotherConnectionBreaks)
{
  auto there = std::make_unique<listening> (loop);

  target_watch_connection_broke (watch, target ("t1", there->address (), 1, now), now);
  ASSERT_TRUE (run_until (loop, [&] { return !there->taken.empty (); }));
  loop_run_once (loop, 0);
  there.reset ();
  now += TARGET_WATCH_PERIOD;
  target_watch_connection_broke (watch, &at, now);
  ASSERT_TRUE (run_until (loop, [&] { return !heard.fates.empty (); }));
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// The target renewed between two breaks: that shows that it lived at the first one only.
TEST_F (TargetWatch, ReportsAnEndAfterABreakThatTheTargetOutlived)
{
  const int64_t BETWEEN = TARGET_WATCH_RENEWAL_DELAY_MAX + USEC_PER_MSEC;
  listening there (loop);

  target_watch_connection_broke (watch, target ("t1", there.address (), 1, now), now);
  ASSERT_TRUE (run_until (loop, [&] { return !there.taken.empty (); }));
  target ("t1", there.address (), 2, now + BETWEEN);
  now += BETWEEN - USEC_PER_MSEC;
  target_watch_connection_broke (watch, &at, now);
  pass (TARGET_WATCH_PERIOD);
  EXPECT_EQ (last (), TARGET_FATE_LIVES);
  registry_expire (registry, 3 * USEC_PER_SEC, now + 4 * USEC_PER_SEC);
  pass (4 * USEC_PER_SEC);
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// The target has restarted at the same address before the probe arrives, which is accepted: the
// registry shows the other incarnation.
TEST_F (TargetWatch, ReportsAnEndWhenAnotherIncarnationTakesTheAddress)
{
  listening there (loop);

  target_watch_connection_broke (watch, target ("t1", there.address (), 1, now), now);
  ASSERT_TRUE (run_until (loop, [&] { return !there.taken.empty (); }));
  target ("t2", there.address (), 1, now + 1);
  pass (TARGET_WATCH_PERIOD);
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// A machine that lost power neither accepts nor refuses connections.
TEST_F (TargetWatch, ReportsAnEndWhenTheLeaseExpires)
{
  listening there (loop);

  target_watch_connection_broke (watch, target ("t1", there.address (), 1, now), now);
  registry_expire (registry, 3 * USEC_PER_SEC, now + 4 * USEC_PER_SEC);
  pass (4 * USEC_PER_SEC);
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// A faulty link refused connections in the target's place and has recovered.
TEST_F (TargetWatch, RetractsAnEndWhenTheTargetRenews)
{
  std::string address;

  {
    listening was (loop);

    address = was.address ();
  }
  loop_run_once (loop, 0);
  target_watch_connection_broke (watch, target ("t1", address, 1, now), now);
  ASSERT_TRUE (run_until (loop, [&] { return last () == TARGET_FATE_ENDED; }));
  target ("t1", address, 2, now + TARGET_WATCH_RENEWAL_DELAY_MAX + 1);
  pass (TARGET_WATCH_RENEWAL_DELAY_MAX + TARGET_WATCH_PERIOD);
  EXPECT_EQ (last (), TARGET_FATE_LIVES);
}

// A leaving target ends its connections, whatever requests run on them.
TEST_F (TargetWatch, DoesNotWatchALeavingTarget)
{
  target_watch_connection_broke (watch, target ("t1", "127.0.0.1:9", 1, now, REGISTRY_LEAVING),
                                 now);
  pass (TARGET_WATCH_DURATION);
  EXPECT_TRUE (heard.fates.empty ());
}

// Neither an end nor a renewal shows: the watch ends and reports UNKNOWN.
TEST_F (TargetWatch, ReportsUnknownWhenTheWatchEnds)
{
  listening there (loop);

  target_watch_connection_broke (watch, target ("t1", there.address (), 1, now), now);
  pass (TARGET_WATCH_DURATION);
  ASSERT_EQ (heard.fates.size (), 1u);
  EXPECT_EQ (last (), TARGET_FATE_UNKNOWN);
}

// Where targets end all answers with their connections, a probe for each would cost as much as the
// requests.
TEST_F (TargetWatch, DoesNotProbeATargetWhoseAnswersEnd)
{
  listening there (loop);

  for (int i = 0; i < 5; i++)
    {
      target_watch_connection_ended (watch, target ("t1", there.address (), 1, now), now);
      pass (TARGET_WATCH_PERIOD);
      loop_run_once (loop, 0);
    }
  EXPECT_TRUE (there.taken.empty ());
  EXPECT_TRUE (heard.fates.empty ());
}

TEST_F (TargetWatch, ProbesATargetWhoseAnswersEndOnceItRefusesAConnection)
{
  std::string address;

  {
    listening was (loop);

    address = was.address ();
  }
  loop_run_once (loop, 0);
  target_watch_connection_ended (watch, target ("t1", address, 1, now), now);
  target_watch_connection_refused (watch, &at, now);
  ASSERT_TRUE (run_until (loop, [&] { return !heard.fates.empty (); }));
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// What a target sent before it ended may be read after the end of its connections.
TEST_F (TargetWatch, TakesALaterAnswerForASignOfLife)
{
  target_watch_connection_ended (watch, target ("t1", "127.0.0.1:9", 1, now), now);
  target_watch_answered (watch, at.id_hash, now + TARGET_WATCH_ANSWER_DELAY_MAX - 1);
  EXPECT_TRUE (heard.fates.empty ());
  target_watch_answered (watch, at.id_hash, now + TARGET_WATCH_ANSWER_DELAY_MAX);
  EXPECT_EQ (last (), TARGET_FATE_LIVES);
}

// The target ends right after it has answered: the sign of life tells nothing of that.
TEST_F (TargetWatch, ReportsAnEndRightAfterASignOfLife)
{
  auto there = std::make_unique<listening> (loop);

  target_watch_connection_ended (watch, target ("t1", there->address (), 1, now), now);
  now += TARGET_WATCH_ANSWER_DELAY_MAX;
  target_watch_answered (watch, at.id_hash, now);
  ASSERT_EQ (last (), TARGET_FATE_LIVES);
  there.reset ();
  EXPECT_EQ (target_watch_connection_broke (watch, &at, now), TARGET_FATE_UNKNOWN);
  ASSERT_TRUE (run_until (loop, [&] { return heard.fates.size () > 1; }));
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

// ---- request digests ----

class RequestDigest : public ::testing::Test
{
protected:
  ~RequestDigest () override
  {
    talloc_free (parent);
  }

  std::string
  digest (const std::string &message, const char *organisation)
  {
    static const struct h1_reader_ops ops = {
      .head = [] (struct h1_reader *) { return true; },
      .body =
          [] (struct h1_reader *reader, const char *data, size_t length) {
            auto *self = reinterpret_cast<reading *> (reader);

            bytes_append (&self->body, data, length);
            return true;
          },
      .complete = [] (struct h1_reader *) {},
    };
    struct request_digest out;
    char text[REQUEST_DIGEST_TEXT_SIZE];
    reading at;
    size_t used;

    bytes_init (&at.body, parent);
    h1_reader_init (&at.reader, &ops, HTTP_REQUEST, H1_HEAD_BYTES_MAX);
    EXPECT_EQ (h1_read (&at.reader, message.data (), message.size (), &used), STATUS_OK);
    EXPECT_TRUE (at.reader.done);
    request_digest_compute (&at.reader.head, &at.body, organisation, &out);
    request_digest_format (&out, text);
    h1_reader_clear (&at.reader);
    return text;
  }

  static std::string
  post (const std::string &path, const std::string &fields, const std::string &body)
  {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields
           + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  struct reading
  {
    struct h1_reader reader; // first
    struct bytes body;
  };
  void *parent = talloc_new (nullptr);
};

// Another try of a request has another id and deadline, and may be framed differently.
TEST_F (RequestDigest, IsEqualForAllTriesOfARequest)
{
  std::string first =
      digest (post ("/a?b", "X-Attempt-Id: 1\r\nX-Deadline-Ms: 9\r\n", "body"), "o");

  EXPECT_EQ (first.size (), REQUEST_DIGEST_TEXT_SIZE - 1u);
  EXPECT_EQ (digest (post ("/a?b", "X-Attempt-Id: 2\r\nConnection: close\r\n", "body"), "o"),
             first);
  EXPECT_EQ (digest ("POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "4\r\nbody\r\n0\r\n\r\n",
                     "o"),
             first);
}

// Requests of two organisations are never taken for the same, and bytes moved from one part to the
// next change the digest.
TEST_F (RequestDigest, DependsOnEachPart)
{
  std::string first = digest (post ("/a?b", "", "body"), "o");

  EXPECT_NE (digest (post ("/a?b", "", "body"), "other"), first);
  EXPECT_NE (digest (post ("/a?c", "", "body"), "o"), first);
  EXPECT_NE (digest (post ("/a?b", "", "bodz"), "o"), first);
  EXPECT_NE (digest (post ("/a?b", "", "ybody"), "o"), digest (post ("/a?b", "", "body"), "oy"));
  EXPECT_NE (digest ("PUT /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "o"), first);
  EXPECT_NE (digest ("POST /a?b HTTP/1.1\r\nHost: g\r\nContent-Length: 4\r\n\r\nbody", "o"), first);
}

TEST_F (RequestDigest, IsReadBackAsWritten)
{
  struct request_digest read;
  char text[REQUEST_DIGEST_TEXT_SIZE];
  std::string first = digest (post ("/a", "", ""), "");

  ASSERT_TRUE (request_digest_parse (first.c_str (), &read));
  request_digest_format (&read, text);
  EXPECT_EQ (text, first);
  EXPECT_FALSE (request_digest_parse ("12", &read));
  EXPECT_FALSE (request_digest_parse ((first + "00").c_str (), &read));
  EXPECT_FALSE (request_digest_parse ("zz", &read));
}

// Guards against requests that are held as if they had ended targets, while this host is cut from
// all targets.
TEST_F (TargetWatch, ARefusalCountsOnceAnotherTargetIsReached)
{
  struct balance_target other = {};
  struct balance balance = {};
  struct target_watch_config config = {};
  const int64_t start = loop_now (loop);

  balance.targets = &other;
  config.loop = loop;
  config.registry = registry;
  config.balance = &balance;
  config.counters = counters_new (parent);
  config.listener = &heard.base;
  watch = target_watch_new (parent, &config);
  other.usable = true;
  snprintf (other.address, sizeof other.address, "127.0.0.2:1");
  target_watch_connection_broke (watch, target ("t1", "127.0.0.1:1", 1, now), now);
  run_until (loop, [&] { return loop_now (loop) > start + 3 * TARGET_WATCH_PERIOD; });
  EXPECT_EQ (last (), TARGET_FATE_UNKNOWN);

  listening reached (loop);

  snprintf (other.address, sizeof other.address, "%s", reached.address ().c_str ());
  EXPECT_TRUE (run_until (loop, [&] { return !heard.fates.empty (); }));
  EXPECT_EQ (last (), TARGET_FATE_ENDED);
}

}
