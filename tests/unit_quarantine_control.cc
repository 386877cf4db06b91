// What hosts tell each other of requests that end targets, and when.
#include "container.h"
#include "quarantine_control.h"
#include "quarantine_wire.h"
#include "sync_harness.h"
#include <gtest/gtest.h>
#include <talloc.h>

namespace
{

class QuarantineControl : public ::testing::Test
{
protected:
  struct listed_peers
  {
    struct quarantine_peers base; // first
    std::vector<std::string> names;
  };

  ~QuarantineControl () override
  {
    talloc_free (control);
    talloc_free (parent);
  }

  void
  start (bool is_entry)
  {
    static const struct quarantine_peers_ops ops = {
      .list =
          [] (struct quarantine_peers *base, const char *out[SYNC_HOSTS_MAX], int64_t) {
            auto *self = reinterpret_cast<listed_peers *> (base);

            for (size_t i = 0; i < self->names.size (); i++)
              out[i] = self->names[i].c_str ();
            return static_cast<uint32_t> (self->names.size ());
          },
    };
    struct quarantine_control_config config = {};

    peers.base.ops = &ops;
    config.peers = &peers.base;
    config.is_entry = is_entry;
    config.port = &port.port;
    config.timers = timers;
    config.counters = counters_new (parent);
    control = quarantine_control_new (parent, &config);
  }

  struct quarantine_suspect
  learnt (uint64_t incarnation)
  {
    struct quarantine_suspect suspect = {};

    suspect.digest.bytes[0] = 1;
    suspect.seen = now;
    suspect.n_ends = 1;
    suspect.ends[0] = { incarnation, now - USEC_PER_MSEC, now, false };
    return suspect;
  }

  void
  pass (int64_t span)
  {
    now += span;
    timer_service_run (timers, now);
  }

  // To whom suspects went, with the kind of message and how many ends each had; what only compares
  // tables is left out.
  std::vector<std::string>
  told () const
  {
    std::vector<std::string> out;

    for (const auto &[host, channel, bytes] : port.sent)
      {
        struct quarantine_said said;

        EXPECT_TRUE (quarantine_read (bytes.data (), bytes.size (), now, &said));
        if (said.n > 0)
          out.push_back (host + (said.kind == QUARANTINE_RELAY ? " relay " : " news ")
                         + std::to_string (said.suspects[0].n_ends));
      }
    return out;
  }

  void
  hear (enum quarantine_message kind, const struct quarantine_suspect &suspect)
  {
    struct bytes message;

    bytes_init (&message, parent);
    quarantine_write_news (kind, 1, &message);
    quarantine_write_suspect (&suspect, now, &message);
    port.deliver ("other:1", PEER_CHANNEL_QUARANTINE, &message, now);
    bytes_clear (&message);
  }

  void *parent = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (parent);
  struct quarantine_control *control = nullptr;
  played_port port;
  listed_peers peers;
  int64_t now = 100 * USEC_PER_SEC;
};

// An end that one host alone knows, while it reaches no controller: it must not be lost.
TEST_F (QuarantineControl, TellsWhenThereIsSomebodyToTell)
{
  struct quarantine_suspect suspect = learnt (11);

  start (true);
  quarantine_control_learn (control, &suspect, now);
  pass (USEC_PER_SEC);
  EXPECT_TRUE (told ().empty ());
  peers.names = { "c1:1", "c2:1" };
  pass (QUARANTINE_COMPARE_FIRST);
  EXPECT_EQ (told (), (std::vector<std::string>{ "c1:1 relay 1", "c2:1 news 1" }));
}

// The controller that is asked to pass on cannot be reached: the next one is.
TEST_F (QuarantineControl, HasAnotherControllerPassOn)
{
  struct quarantine_suspect suspect = learnt (11);

  start (true);
  peers.names = { "c1:1", "c2:1", "c3:1" };
  port.unreachable["c1:1"] = true;
  quarantine_control_learn (control, &suspect, now);
  pass (QUARANTINE_TELL);
  EXPECT_EQ (told (), (std::vector<std::string>{ "c2:1 relay 1", "c3:1 news 1" }));
}

// Hundreds of requests have one end when a host of targets loses power: controllers keep that to
// themselves, and tell all entry hosts of a second end, whoever told of it.
TEST_F (QuarantineControl, PassesOnWhatHasTwoEnds)
{
  start (false);
  peers.names = { "h1:1", "h2:1" };
  hear (QUARANTINE_RELAY, learnt (11));
  pass (QUARANTINE_TELL);
  EXPECT_TRUE (told ().empty ());
  pass (USEC_PER_SEC);
  hear (QUARANTINE_RELAY, learnt (12));
  pass (QUARANTINE_TELL);
  EXPECT_EQ (told (), (std::vector<std::string>{ "h1:1 news 2", "h2:1 news 2" }));
  // What is no news goes no further.
  hear (QUARANTINE_RELAY, learnt (12));
  pass (QUARANTINE_TELL);
  EXPECT_EQ (told ().size (), 2u);
}

// Tables that differ: who is asked sends what it has and how it stands, and takes what it lacks.
TEST_F (QuarantineControl, GivesAHostThatStartsAllThereIs)
{
  struct bytes message;

  start (false);
  peers.names = { "h1:1" };
  hear (QUARANTINE_NEWS, learnt (11));
  now += USEC_PER_SEC;
  hear (QUARANTINE_NEWS, learnt (12));
  bytes_init (&message, parent);
  quarantine_write_summary (QUARANTINE_SUMMARY, 0, &message);
  port.deliver ("h1:1", PEER_CHANNEL_QUARANTINE, &message, now);
  EXPECT_EQ (told (), (std::vector<std::string>{ "h1:1 news 2" }));
  EXPECT_EQ (port.sent.size (), 2u);
  bytes_clear (&message);
  // One that knows the same is told nothing.
  quarantine_write_summary (QUARANTINE_SUMMARY,
                            quarantine_summary (quarantine_control_table (control), now), &message);
  port.deliver ("h1:1", PEER_CHANNEL_QUARANTINE, &message, now);
  EXPECT_EQ (port.sent.size (), 2u);
}

}
