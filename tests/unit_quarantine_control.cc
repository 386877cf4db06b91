// Replication of evidence about poison requests between hosts: recipients and timing.
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
  start (bool is_entry, struct quarantine_view *view = nullptr)
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
    config.view = view;
    config.port = &port.port;
    config.timers = timers;
    config.counters = counters_new (parent);
    control = quarantine_control_new (parent, &config);
  }

  struct quarantine_suspect
  make_evidence (uint64_t incarnation)
  {
    struct quarantine_suspect suspect = {};

    suspect.digest.bytes[0] = 1;
    suspect.last_seen = now;
    suspect.n_crashes = 1;
    suspect.crashes[0] = { incarnation, now - USEC_PER_MSEC, now, false };
    return suspect;
  }

  void
  advance (int64_t span)
  {
    now += span;
    timer_service_run (timers, now);
  }

  // Recipient, kind and number of crashes of each message of suspects; summaries are left out.
  std::vector<std::string>
  announcements () const
  {
    std::vector<std::string> out;

    for (const auto &[host, channel, bytes] : port.sent)
      {
        struct quarantine_decoded decoded;

        EXPECT_TRUE (quarantine_decode (bytes.data (), bytes.size (), now, &decoded));
        if (decoded.n > 0)
          out.push_back (host + (decoded.kind == QUARANTINE_RELAY ? " relay " : " news ")
                         + std::to_string (decoded.suspects[0].n_crashes));
      }
    return out;
  }

  void
  receive (enum quarantine_message kind, const struct quarantine_suspect &suspect)
  {
    struct bytes message;

    bytes_init (&message, parent);
    quarantine_encode_header (kind, 1, &message);
    quarantine_encode_suspect (&suspect, now, &message);
    port.deliver ("other:1", PEER_CHANNEL_QUARANTINE, &message, now);
    bytes_clear (&message);
  }

  void *parent = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (parent);
  struct quarantine_control *control = nullptr;
  recording_port port;
  listed_peers peers;
  int64_t now = 100 * USEC_PER_SEC;
};

// A crash is recorded while no controller is reachable: it must not be lost.
TEST_F (QuarantineControl, AnnouncesOnceAControllerIsReachable)
{
  struct quarantine_suspect suspect = make_evidence (11);

  start (true);
  quarantine_control_learn (control, &suspect, now);
  advance (USEC_PER_SEC);
  EXPECT_TRUE (announcements ().empty ());
  peers.names = { "c1:1", "c2:1" };
  advance (QUARANTINE_COMPARE_RETRY_PERIOD);
  EXPECT_EQ (announcements (), (std::vector<std::string>{ "c1:1 relay 1", "c2:1 news 1" }));
}

// The controller that is asked to relay is unreachable: the next one is asked.
TEST_F (QuarantineControl, AsksTheNextControllerToRelayWhenTheFirstIsUnreachable)
{
  struct quarantine_suspect suspect = make_evidence (11);

  start (true);
  peers.names = { "c1:1", "c2:1", "c3:1" };
  port.unreachable["c1:1"] = true;
  quarantine_control_learn (control, &suspect, now);
  advance (QUARANTINE_ANNOUNCE_DELAY);
  EXPECT_EQ (announcements (), (std::vector<std::string>{ "c2:1 relay 1", "c3:1 news 1" }));
}

// When a host of targets loses power, hundreds of requests get one crash each.  Controllers keep
// these to themselves and announce a request to all entry hosts from its second crash on,
// whichever host reported it.
TEST_F (QuarantineControl, RelaysRequestsFromTheSecondCrashOn)
{
  start (false);
  peers.names = { "h1:1", "h2:1" };
  receive (QUARANTINE_RELAY, make_evidence (11));
  advance (QUARANTINE_ANNOUNCE_DELAY);
  EXPECT_TRUE (announcements ().empty ());
  advance (USEC_PER_SEC);
  receive (QUARANTINE_RELAY, make_evidence (12));
  advance (QUARANTINE_ANNOUNCE_DELAY);
  EXPECT_EQ (announcements (), (std::vector<std::string>{ "h1:1 news 2", "h2:1 news 2" }));
  // Evidence that is not new is not announced.
  receive (QUARANTINE_RELAY, make_evidence (12));
  advance (QUARANTINE_ANNOUNCE_DELAY);
  EXPECT_EQ (announcements ().size (), 2u);
}

// Another host tells of crashes under a part that this host has seen answered since: it takes them
// back for all.
TEST_F (QuarantineControl, RefutesCrashesOfWhatItSawAnswered)
{
  struct seen : quarantine_view
  {
    int64_t until;
  } view;
  static const struct quarantine_view_ops ops = {
    .cleared_until =
        [] (struct quarantine_view *base, const struct request_digest *) {
          return static_cast<seen *> (base)->until;
        },
    .pool = [] (struct quarantine_view *, const char *, int64_t) { return PROVEN_POOL_ANSWERS; },
    .is_trial_host = [] (struct quarantine_view *, const struct request_digest *) { return false; },
  };

  view.ops = &ops;
  view.until = now;
  start (true, &view);
  peers.names = { "c1:1" };
  receive (QUARANTINE_UPDATE, make_evidence (11));
  advance (QUARANTINE_ANNOUNCE_DELAY);
  EXPECT_EQ (announcements (), (std::vector<std::string>{ "c1:1 relay 1" }));
  EXPECT_EQ (quarantine_count_crashes (quarantine_at (quarantine_control_table (control), 0), now),
             0u);
  // Later crashes stand.
  now += USEC_PER_SEC;
  receive (QUARANTINE_UPDATE, make_evidence (12));
  EXPECT_EQ (quarantine_count_crashes (quarantine_at (quarantine_control_table (control), 0), now),
             1u);
}

// What the command line lists tells parts from requests.
TEST_F (QuarantineControl, DescribesAPartByItsNumber)
{
  struct quarantine_suspect suspect = make_evidence (11);

  start (true);
  request_part_digest ("p", 0xbad, &suspect.digest);
  quarantine_control_learn (control, &suspect, now);
  suspect = make_evidence (11);
  quarantine_control_learn (control, &suspect, now);
  json_t *list = quarantine_control_describe (control, now);

  EXPECT_STREQ (json_string_value (json_object_get (json_array_get (list, 0), "part")), "bad");
  EXPECT_STREQ (json_string_value (json_object_get (json_array_get (list, 1), "part")), "");
  json_decref (list);
}

// Tables differ: the host that is asked replies with its suspects and the hash of its table.
TEST_F (QuarantineControl, SendsItsTableToAHostWhoseTableDiffers)
{
  struct bytes message;

  start (false);
  peers.names = { "h1:1" };
  receive (QUARANTINE_UPDATE, make_evidence (11));
  now += USEC_PER_SEC;
  receive (QUARANTINE_UPDATE, make_evidence (12));
  bytes_init (&message, parent);
  quarantine_encode_summary (QUARANTINE_SUMMARY, 0, &message);
  port.deliver ("h1:1", PEER_CHANNEL_QUARANTINE, &message, now);
  EXPECT_EQ (announcements (), (std::vector<std::string>{ "h1:1 news 2" }));
  EXPECT_EQ (port.sent.size (), 2u);
  bytes_clear (&message);
  // A host whose table is equal gets no reply.
  quarantine_encode_summary (
      QUARANTINE_SUMMARY, quarantine_summary (quarantine_control_table (control), now), &message);
  port.deliver ("h1:1", PEER_CHANNEL_QUARANTINE, &message, now);
  EXPECT_EQ (port.sent.size (), 2u);
}

}
