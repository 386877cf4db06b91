// Orders of evacuation at a controller with a fake log, and what it sends to entry hosts.
#include "document.h"
#include "evacuation_control.h"
#include "sync_harness.h"
#include <gtest/gtest.h>
#include <talloc.h>

namespace
{

// A log whose reads and proposals end when the test says so; proposals are applied then.
struct fake_log
{
  struct consensus consensus;
  struct machine *machine = nullptr;
  std::vector<struct proposal *> reads;
  std::vector<std::pair<struct proposal *, std::string>> proposals;
  uint64_t index = 10;
  bool refuse = false;

  fake_log ()
  {
    static const struct consensus_ops ops = {
      .propose =
          [] (struct consensus *base, const void *entry, size_t length, struct proposal *proposal,
              int64_t, int64_t) {
            reinterpret_cast<fake_log *> (base)->proposals.emplace_back (
                proposal, std::string (static_cast<const char *> (entry), length));
            return STATUS_OK;
          },
      .read =
          [] (struct consensus *base, struct proposal *proposal, int64_t, int64_t) {
            auto *self = reinterpret_cast<fake_log *> (base);

            if (self->refuse)
              return STATUS_UNAVAILABLE;
            self->reads.push_back (proposal);
            return STATUS_OK;
          },
      .withdraw =
          [] (struct consensus *base, struct proposal *proposal) {
            auto *self = reinterpret_cast<fake_log *> (base);

            std::erase (self->reads, proposal);
          },
      .is_leader = [] (const struct consensus *) { return true; },
      .leader = [] (const struct consensus *) { return ""; },
      .describe = [] (const struct consensus *) { return json_object (); },
      .position = [] (const struct consensus *) { return json_object (); },
    };

    consensus.ops = &ops;
  }

  void
  end_read (int64_t now, enum status status = STATUS_OK)
  {
    struct proposal *proposal = reads.front ();

    reads.erase (reads.begin ());
    proposal->ops->done (proposal, status, nullptr, 0, now);
  }

  void
  commit (int64_t now)
  {
    auto [proposal, entry] = proposals.front ();
    struct bytes result;

    proposals.erase (proposals.begin ());
    bytes_init (&result, nullptr);
    machine->ops->apply (machine, ++index, entry.data (), entry.size (), &result);
    proposal->ops->done (proposal, STATUS_OK, result.data, result.length, now);
    bytes_clear (&result);
  }
};

struct recording_call
{
  struct evacuation_call call = {}; // first
  int done = 0;
  enum evacuation_result result = EVACUATION_RESULT_COUNT;

  recording_call ()
  {
    static const struct evacuation_call_ops ops = {
      .done =
          [] (struct evacuation_call *base, enum evacuation_result end, int64_t) {
            auto *self = reinterpret_cast<recording_call *> (base);

            self->done++;
            self->result = end;
          },
    };

    call.ops = &ops;
  }
};

class EvacuationControl : public ::testing::Test
{
protected:
  struct forwarding_listener
  {
    struct document_listener base; // first
    EvacuationControl *test;
  } listener;
  void *parent = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (parent);
  recording_port port;
  fake_log log;
  struct document *document;
  struct controller *controller = nullptr;
  struct evacuation_control *control = nullptr;
  int64_t now = 10 * USEC_PER_SEC;

  EvacuationControl ()
  {
    static const struct document_listener_ops ops = {
      .changed = [] (struct document_listener *, const struct document *) {},
      .evacuated =
          [] (struct document_listener *base, const struct document *) {
            auto *test = reinterpret_cast<forwarding_listener *> (base)->test;

            controller_evacuations_changed (test->controller, test->now);
          },
    };

    listener.base.ops = &ops;
    listener.test = this;
    document = document_new (parent, &listener.base);
    log.machine = document_machine (document);
    make ({ "a", "b" });
  }

  ~EvacuationControl () override
  {
    talloc_free (controller);
    talloc_free (parent);
  }

  void
  make (const std::vector<std::string> &zones)
  {
    static char domains[4][ROUTING_NAME_SIZE];
    struct controller_config config = {};
    struct evacuation_control_config control_config = {};

    config.name = "c1";
    config.consensus = &log.consensus;
    config.document = document;
    config.port = &port.port;
    config.timers = timers;
    config.counters = counters_new (parent);
    config.incarnation = 5;
    config.now = now;
    config.members = [] (void *, struct controller_member *) { return UINT32_C (0); };
    talloc_free (controller);
    controller = controller_new (parent, &config);
    timer_service_run (timers, now);
    for (size_t i = 0; i < zones.size (); i++)
      snprintf (domains[i], sizeof domains[i], "%s", zones[i].c_str ());
    control_config.consensus = &log.consensus;
    control_config.document = document;
    control_config.controller = controller;
    control_config.domains = domains;
    control_config.n_domains = static_cast<uint32_t> (zones.size ());
    control_config.now = now;
    control = evacuation_control_new (parent, &control_config);
  }

  void
  order (recording_call &call, const char *domain, bool begins)
  {
    evacuation_control_order (control, &call.call, domain, begins, now);
  }

  // Gives an order and lets it be applied.
  enum evacuation_result
  complete (const char *domain, bool begins)
  {
    recording_call call;

    order (call, domain, begins);
    log.end_read (now);
    if (!log.proposals.empty ())
      log.commit (now);
    EXPECT_EQ (call.done, 1);
    return call.result;
  }

  void
  send_request (const char *host, uint64_t nonce)
  {
    struct sync_request request = {};
    struct bytes message;

    request.nonce = nonce;
    snprintf (request.self.name, sizeof request.self.name, "%s", host);
    snprintf (request.self.domain, sizeof request.self.domain, "of-hosts");
    bytes_init (&message, nullptr);
    sync_write_header (SYNC_REQUEST, &message);
    sync_write_request (&request, &message);
    port.deliver (host, PEER_CHANNEL_SYNC, &message, now);
    bytes_clear (&message);
  }

  // The types of the messages sent to the host, and the names in the last set.
  std::vector<enum sync_message>
  sent_to (const std::string &host, struct evacuation_message *last = nullptr)
  {
    std::vector<enum sync_message> types;

    for (const auto &[to, channel, text] : port.sent)
      {
        struct pack_reader in;
        enum sync_message type;

        pack_reader_init (&in, text.data (), text.size ());
        if (to != host || !sync_read_type (&in, &type))
          continue;
        types.push_back (type);
        if (type == SYNC_EVACUATIONS && last != nullptr)
          {
            EXPECT_TRUE (evacuation_message_read (&in, last));
          }
      }
    return types;
  }
};

// Guards against a resend that is refused, or costs another entry, after the first was acknowledged
// and its answer lost.
TEST_F (EvacuationControl, AResendIsAcknowledgedWithoutAnotherEntry)
{
  EXPECT_EQ (complete ("a", true), EVACUATION_RESULT_DONE);
  EXPECT_EQ (log.index, 11u);
  EXPECT_EQ (complete ("a", true), EVACUATION_RESULT_DONE);
  EXPECT_EQ (complete ("b", false), EVACUATION_RESULT_DONE); // finish without begin
  EXPECT_EQ (log.index, 11u);
  EXPECT_EQ (complete ("a", false), EVACUATION_RESULT_DONE);
  EXPECT_FALSE (evacuation_includes (document_evacuations (document), "a"));
}

// Guards against an order that was taken twice at the same time and is kept twice.
TEST_F (EvacuationControl, TwoCallsOfOneOrderChangeTheSetOnce)
{
  recording_call first;
  recording_call second;

  order (first, "a", true);
  order (second, "a", true);
  log.end_read (now);
  log.end_read (now);
  log.commit (now);
  log.commit (now);
  EXPECT_EQ (first.result, EVACUATION_RESULT_DONE);
  EXPECT_EQ (second.result, EVACUATION_RESULT_DONE);
  EXPECT_EQ (document_evacuations (document)->revision, 11u);
}

// Guards against an order that is refused, or acknowledged without effect, since another one was
// applied between its read and its entry.
TEST_F (EvacuationControl, AnOvertakenOrderIsJudgedAnew)
{
  recording_call late;

  order (late, "a", true);
  log.end_read (now);
  auto held = log.proposals;
  log.proposals.clear ();
  EXPECT_EQ (complete ("a", true), EVACUATION_RESULT_DONE);
  EXPECT_EQ (complete ("a", false), EVACUATION_RESULT_DONE);
  log.proposals = held;
  log.commit (now);
  EXPECT_EQ (late.done, 0);
  EXPECT_FALSE (evacuation_includes (document_evacuations (document), "a"));
  log.end_read (now);
  log.commit (now);
  EXPECT_EQ (late.result, EVACUATION_RESULT_DONE);
  EXPECT_TRUE (evacuation_includes (document_evacuations (document), "a"));
}

// Guards against an old order of a caller that left while this controller did not run.
TEST_F (EvacuationControl, AnOrderWhoseCallerIsGoneIsNotProposed)
{
  recording_call call;

  order (call, "a", true);
  evacuation_control_cancel (&call.call, now);
  EXPECT_TRUE (log.reads.empty ());
  EXPECT_TRUE (log.proposals.empty ());
  EXPECT_EQ (call.done, 0);
}

// Guards against an acknowledgement without a quorum.
TEST_F (EvacuationControl, WithoutAQuorumNothingIsAcknowledged)
{
  recording_call refused;
  recording_call timed_out;

  log.refuse = true;
  order (refused, "a", true);
  EXPECT_EQ (refused.result, EVACUATION_RESULT_UNAVAILABLE);
  log.refuse = false;
  order (timed_out, "a", true);
  log.end_read (now, STATUS_TIMEOUT);
  EXPECT_EQ (timed_out.result, EVACUATION_RESULT_UNAVAILABLE);
}

// Guards against orders for domains that only a target or an entry host names, and against a
// controller that just started and denies a domain that it has not heard of yet.
TEST_F (EvacuationControl, KnowsDomainsOfSettingsTargetsAndHosts)
{
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_READY, 1);
  struct controller_wait wait = {};

  EXPECT_EQ (complete ("nowhere", true), EVACUATION_RESULT_UNKNOWN);
  EXPECT_EQ (complete ("of-hosts", true), EVACUATION_RESULT_UNKNOWN);
  EXPECT_EQ (complete ("of-targets", false), EVACUATION_RESULT_UNKNOWN);
  send_request ("e1", 1);
  log.end_read (now);
  snprintf (word.domain, sizeof word.domain, "of-targets");
  controller_register (controller, &word, &wait, now);
  EXPECT_EQ (complete ("of-hosts", true), EVACUATION_RESULT_DONE);
  EXPECT_EQ (complete ("of-targets", false), EVACUATION_RESULT_DONE);
  make ({});
  EXPECT_EQ (complete ("nowhere", true), EVACUATION_RESULT_UNAVAILABLE);
  EXPECT_EQ (complete ("of-hosts", false), EVACUATION_RESULT_DONE); // it was ordered before
  now += 4 * USEC_PER_SEC;
  EXPECT_EQ (complete ("nowhere", true), EVACUATION_RESULT_UNKNOWN);
}

// Guards against messages where no order was given, against hosts that learn of an order late, and
// against a confirmation that arrives before the set.
TEST_F (EvacuationControl, SendsTheSetAtOnceAndBeforeEachAnswer)
{
  const std::vector<enum sync_message> answer = { SYNC_STATE };
  const std::vector<enum sync_message> pushed = { SYNC_EVACUATIONS };
  const std::vector<enum sync_message> both = { SYNC_EVACUATIONS, SYNC_STATE };
  struct evacuation_message message;

  send_request ("e1", 1);
  log.end_read (now);
  EXPECT_EQ (sent_to ("e1"), answer);
  port.sent.clear ();
  complete ("a", true);
  EXPECT_EQ (sent_to ("e1", &message), pushed);
  EXPECT_TRUE (evacuation_includes (&message.set, "a"));
  port.sent.clear ();
  now += USEC_PER_SEC;
  send_request ("e1", 2);
  log.end_read (now);
  EXPECT_EQ (sent_to ("e1", &message), both);
  EXPECT_EQ (message.ages[0], USEC_PER_SEC);
  port.sent.clear ();
  send_request ("e1", 3);
  port.unreachable["e1"] = true;
  log.end_read (now);
  EXPECT_TRUE (sent_to ("e1").empty ());
}

// Guards against a controller that starts from its log and sends no set.
TEST_F (EvacuationControl, ARestartedControllerSendsTheSet)
{
  struct evacuation_message message;

  complete ("a", true);
  now += USEC_PER_SEC;
  make ({ "a" });
  port.sent.clear ();
  send_request ("e1", 1);
  log.end_read (now);
  ASSERT_EQ (sent_to ("e1", &message).size (), 2u);
  EXPECT_TRUE (evacuation_includes (&message.set, "a"));
}

}
