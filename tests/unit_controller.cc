// Registrations at a controller and its responses to entry hosts, with a fake log and fake peers.
#include "controller.h"
#include "document.h"
#include "sync_harness.h"
#include <cstring>
#include <gtest/gtest.h>
#include <set>
#include <talloc.h>

namespace
{

// A fake log whose reads complete when the test calls answer().
struct fake_log
{
  struct consensus consensus;
  std::vector<struct proposal *> reads;
  bool refuse = false;

  fake_log ()
  {
    static const struct consensus_ops ops = {
      .propose = nullptr,
      .read =
          [] (struct consensus *base, struct proposal *proposal, int64_t, int64_t) {
            auto *self = reinterpret_cast<fake_log *> (base);

            if (self->refuse)
              return STATUS_UNAVAILABLE;
            self->reads.push_back (proposal);
            return STATUS_OK;
          },
      .withdraw = [] (struct consensus *, struct proposal *) {},
      .is_leader = [] (const struct consensus *) { return true; },
      .leader = [] (const struct consensus *) { return ""; },
      .describe = [] (const struct consensus *) { return json_object (); },
      .position = [] (const struct consensus *) { return json_object (); },
    };

    consensus.ops = &ops;
  }

  void
  answer (enum status status, int64_t now)
  {
    struct proposal *proposal = reads.front ();

    reads.erase (reads.begin ());
    proposal->ops->done (proposal, status, nullptr, 0, now);
  }
};

struct recording_wait
{
  struct controller_wait wait = {}; // first
  int done = 0;
  enum status status = STATUS_OK;

  recording_wait ()
  {
    static const struct controller_wait_ops ops = {
      .done =
          [] (struct controller_wait *base, enum status end, int64_t) {
            auto *self = reinterpret_cast<recording_wait *> (base);

            self->done++;
            self->status = end;
          },
    };

    wait.ops = &ops;
  }
};

class ControllerTest : public ::testing::Test
{
protected:
  void *parent = talloc_new (nullptr);
  struct timer_service *timers = timer_service_new (parent);
  recording_port port;
  fake_log log;
  struct document *document = document_new (parent, nullptr);
  struct counters *counters = counters_new (parent);
  struct controller *controller;
  std::vector<struct controller_member> members = { { "c1", true },
                                                    { "c2", true },
                                                    { "c3", true } };
  int64_t now = 10 * USEC_PER_SEC;

  void
  SetUp () override
  {
    struct controller_config config = {};

    config.name = "c1";
    config.consensus = &log.consensus;
    config.document = document;
    config.port = &port.port;
    config.timers = timers;
    config.counters = counters;
    config.incarnation = 5;
    config.now = now;
    config.members_context = &members;
    config.members = [] (void *context, struct controller_member out[SYNC_CONTROLLERS_MAX]) {
      const auto &all = *static_cast<std::vector<struct controller_member> *> (context);

      std::copy (all.begin (), all.end (), out);
      return static_cast<uint32_t> (all.size ());
    };
    controller = controller_new (parent, &config);
    timer_service_run (timers, now);
  }

  void
  TearDown () override
  {
    talloc_free (controller);
    talloc_free (parent);
  }

  double
  refused_hosts ()
  {
    return counter_get (counters, "cherryarch_controller_hosts_refused_total", "", nullptr)->value;
  }

  void
  send_request (const char *host,
                uint64_t nonce,
                uint64_t version = 0,
                bool leaving = false,
                const char *domain = "a",
                uint64_t incarnation = 0)
  {
    struct sync_request request = {};
    struct bytes message;

    request.nonce = nonce;
    request.document = version;
    snprintf (request.self.name, sizeof request.self.name, "%s", host);
    snprintf (request.self.address, sizeof request.self.address, "%s-clients", host);
    snprintf (request.self.domain, sizeof request.self.domain, "%s", domain);
    request.self.ready = true;
    request.self.incarnation = incarnation;
    request.self.leaving = leaving;
    bytes_init (&message, nullptr);
    sync_write_header (SYNC_REQUEST, &message);
    sync_write_request (&request, &message);
    port.deliver (host, PEER_CHANNEL_SYNC, &message, now);
    bytes_clear (&message);
  }

  // The host reports that it has lost the pool; none with "".
  void
  send_reach (const char *host, const char *pool, bool requests_lost)
  {
    struct sync_reach reach = {};
    struct bytes message;

    reach.requests_lost = requests_lost;
    reach.n = pool[0] == '\0' ? 0 : 1;
    snprintf (reach.pools[0], sizeof reach.pools[0], "%s", pool);
    bytes_init (&message, nullptr);
    sync_write_header (SYNC_REACH, &message);
    sync_write_reach (&reach, &message);
    port.deliver (host, PEER_CHANNEL_SYNC, &message, now);
    bytes_clear (&message);
  }

  std::string
  listed ()
  {
    const struct sync_host *out[SYNC_HOSTS_MAX];
    uint32_t n = controller_list_entry_hosts (controller, "a", 64, out, now);
    std::set<std::string> names;
    std::string text;

    for (uint32_t i = 0; i < n; i++)
      names.insert (out[i]->name);
    for (const auto &name : names)
      text += name + " ";
    return text;
  }

  // Number of lists of hosts that have lost pools that were sent to the host.
  int
  reach_lists (const std::string &host) const
  {
    int n = 0;

    for (const auto &[to, channel, text] : port.sent)
      {
        struct pack_reader in;
        enum sync_message type;

        pack_reader_init (&in, text.data (), text.size ());
        n += to == host && sync_read_type (&in, &type) && type == SYNC_REACH_LIST ? 1 : 0;
      }
    return n;
  }

  void
  send_unanswered (const char *host, uint64_t nonce)
  {
    struct bytes message;

    bytes_init (&message, nullptr);
    sync_write_header (SYNC_UNANSWERED, &message);
    sync_write_unanswered (nonce, &message);
    port.deliver (host, PEER_CHANNEL_SYNC, &message, now);
    bytes_clear (&message);
  }

  // Reads the header of the latest state sent to the host; false when there is none.
  bool
  last_state (const std::string &host, struct sync_state *out)
  {
    for (auto at = port.sent.rbegin (); at != port.sent.rend (); ++at)
      {
        struct pack_reader in;
        enum sync_message type;

        pack_reader_init (&in, std::get<2> (*at).data (), std::get<2> (*at).size ());
        if (std::get<0> (*at) == host && sync_read_type (&in, &type) && type == SYNC_STATE)
          return sync_read_state (&in, out);
      }
    return false;
  }

  // Requests the versions of targets, and returns those that the controller sends, by id hash.
  std::map<uint64_t, std::string>
  request_versions (const char *host, const std::vector<std::string> &ids)
  {
    struct sync_version_request request = {};
    std::map<uint64_t, std::string> versions;
    struct bytes message;
    struct pack_reader in;
    enum sync_message type;

    for (const auto &id : ids)
      request.id_hashes[request.n++] = registry_id_hash (id.c_str ());
    bytes_init (&message, nullptr);
    sync_write_header (SYNC_VERSION_REQUEST, &message);
    sync_write_version_request (&request, &message);
    port.sent.clear ();
    port.deliver (host, PEER_CHANNEL_SYNC, &message, now);
    bytes_clear (&message);
    if (port.sent.empty ())
      return versions;
    pack_reader_init (&in, std::get<2> (port.sent[0]).data (), std::get<2> (port.sent[0]).size ());
    EXPECT_TRUE (sync_read_type (&in, &type) && type == SYNC_VERSIONS);
    for (uint32_t n = pack_read_array (&in, SYNC_VERSIONS_MAX); n > 0; n--)
      {
        struct registry_version version;

        EXPECT_TRUE (registry_read_version (&in, &version));
        versions[version.id_hash] = version.name;
      }
    EXPECT_TRUE (pack_read_is_complete (&in));
    return versions;
  }

  void
  acknowledge (const char *from)
  {
    for (const auto &[host, channel, text] : port.sent)
      {
        struct pack_reader in;
        enum sync_message type;
        struct bytes message;

        pack_reader_init (&in, text.data (), text.size ());
        if (host != from || !sync_read_type (&in, &type) || type != SYNC_TARGET)
          continue;
        uint64_t incarnation = pack_read_uint (&in, UINT64_MAX);
        uint64_t number = pack_read_uint (&in, UINT64_MAX);

        bytes_init (&message, nullptr);
        sync_write_header (SYNC_TARGET_ACK, &message);
        pack_uint (&message, incarnation);
        pack_uint (&message, number);
        port.deliver (from, PEER_CHANNEL_SYNC, &message, now);
        bytes_clear (&message);
      }
  }

  // Registers a target, and that it leaves; expects that "e1" was told when that is acknowledged.
  void
  leave (const std::string &id, enum registry_state state)
  {
    recording_wait wait;
    std::string address = "a:" + id;
    struct registry_registration word =
        make_word (id.c_str (), "p", address.c_str (), REGISTRY_READY, 1);
    struct sync_state ready = {};
    struct sync_state left = {};
    bool acknowledged;

    controller_register (controller, &word, &wait.wait, now);
    now += 10 * USEC_PER_MSEC;
    timer_service_run (timers, now);
    ASSERT_TRUE (last_state ("e1", &ready));
    word.state = state;
    word.sequence++;
    acknowledged = controller_register (controller, &word, &wait.wait, now);
    for (int i = 0; i < 20 && !acknowledged; i++)
      {
        if (i == 0)
          acknowledge ("c2");
        else
          timer_service_run (timers, now += USEC_PER_MSEC);
        acknowledged = wait.done > 0;
      }
    ASSERT_TRUE (acknowledged);
    EXPECT_EQ (wait.status, STATUS_OK);
    ASSERT_TRUE (last_state ("e1", &left));
    EXPECT_GT (left.targets, ready.targets) << id;
  }
};

// An entry host asks for versions of targets; a controller sends those that it knows.
TEST_F (ControllerTest, SendsTheVersionsThatItKnows)
{
  recording_wait wait;
  struct registry_registration known = make_word ("i", "p", "a:1", REGISTRY_READY, 1);
  struct registry_registration unknown = make_word ("j", "p", "a:2", REGISTRY_READY, 1);
  std::map<uint64_t, std::string> expected = { { registry_id_hash ("i"), "v2" } };

  known.version_known = true;
  snprintf (known.version, sizeof known.version, "v2");
  controller_register (controller, &known, &wait.wait, now);
  controller_register (controller, &unknown, &wait.wait, now);
  EXPECT_EQ (request_versions ("e1", { "i", "j", "k" }), expected);
}

TEST_F (ControllerTest, AcceptsARenewalImmediately)
{
  recording_wait wait;
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_READY, 1);

  EXPECT_TRUE (controller_register (controller, &word, &wait.wait, now));
  EXPECT_EQ (wait.done, 0);
}

// A controller acknowledges that a target leaves and loses power right after.  Unless another
// controller holds the registration, entry hosts go on sending work to the target.
TEST_F (ControllerTest, AcknowledgesALeavingTargetOnceAMajorityHoldsIt)
{
  recording_wait wait;
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_LEAVING, 1);

  EXPECT_FALSE (controller_register (controller, &word, &wait.wait, now));
  EXPECT_EQ (wait.done, 0);
  acknowledge ("c2");
  EXPECT_EQ (wait.done, 1);
  EXPECT_EQ (wait.status, STATUS_OK);
  acknowledge ("c3");
  EXPECT_EQ (wait.done, 1);
}

// Guards against requests to a target whose leave was acknowledged right before all controllers
// ended: entry hosts that were not told use it until its lease expires.
TEST_F (ControllerTest, TellsEntryHostsThatATargetLeavesBeforeItAcknowledgesThat)
{
  const std::vector<struct controller_member> groups[] = { members, { { "c1", true } } };

  for (const auto &group : groups)
    for (enum registry_state state : { REGISTRY_LEAVING, REGISTRY_GONE })
      {
        members = group;
        send_request ("e1", 11);
        leave ("i" + std::to_string (group.size ()) + std::to_string (state), state);
      }
}

// A controller in the minority side of a partition must not acknowledge, so that the target tries
// another one.
TEST_F (ControllerTest, DoesNotAcknowledgeALeavingTargetAlone)
{
  recording_wait wait;
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_LEAVING, 1);

  controller_register (controller, &word, &wait.wait, now);
  now += CONTROLLER_LEAVE_TIMEOUT;
  timer_service_run (timers, now);
  EXPECT_EQ (wait.done, 1);
  EXPECT_EQ (wait.status, STATUS_TIMEOUT);
}

// A learner accepts the registration of a leaving target.  A copy at another learner does not
// count: after the loss of one voter, no possible leader would hold the registration.
TEST_F (ControllerTest, LearnersDoNotCountForAMajority)
{
  recording_wait wait;
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_LEAVING, 1);

  members = { { "c1", false }, { "c2", true }, { "c3", true }, { "c4", true }, { "c5", false } };
  EXPECT_FALSE (controller_register (controller, &word, &wait.wait, now));
  acknowledge ("c5");
  acknowledge ("c2");
  EXPECT_EQ (wait.done, 0);
  acknowledge ("c4");
  EXPECT_EQ (wait.done, 1);
  EXPECT_EQ (wait.status, STATUS_OK);
}

// Four controllers are started and three are seeds.  The fourth joined no group, yet acknowledged
// the targets of its failure domain.  No entry host learned of them: a quarter of the targets got
// no request.
TEST_F (ControllerTest, RejectsTargetsThatEntryHostsWouldNotLearnOf)
{
  now += CONTROLLER_START_GRACE;
  EXPECT_FALSE (controller_can_accept_targets (controller, now));
  send_request ("e1", 11);
  EXPECT_TRUE (controller_can_accept_targets (controller, now));
  now += CONTROLLER_HOST_LEASE + 1;
  EXPECT_FALSE (controller_can_accept_targets (controller, now));
  send_request ("e1", 12);
  members = { { "c2", true }, { "c3", true }, { "c4", true } };
  EXPECT_FALSE (controller_can_accept_targets (controller, now));
  members.clear ();
  EXPECT_FALSE (controller_can_accept_targets (controller, now));
}

// All hosts restart after a power loss.  A target that renews before the first request of an entry
// host is accepted: if rejected, it would retry a heartbeat later and get no work until then.
TEST_F (ControllerTest, AcceptsTargetsDuringStartGrace)
{
  EXPECT_TRUE (controller_can_accept_targets (controller, now));
  now += CONTROLLER_START_GRACE;
  EXPECT_FALSE (controller_can_accept_targets (controller, now));
}

// The only controller accepts targets while the entry hosts start, as targets have no other to try.
TEST_F (ControllerTest, SingleControllerAcceptsTargetsWithoutEntryHosts)
{
  members = { { "c1", true } };
  now += CONTROLLER_START_GRACE;
  EXPECT_TRUE (controller_can_accept_targets (controller, now));
}

// An entry host sends a request during a quorum read.  The result may be older than the request, so
// it confirms nothing to this host; the next read does.
TEST_F (ControllerTest, QuorumReadConfirmsOnlyEarlierRequests)
{
  struct sync_state state;

  send_request ("e1", 11);
  send_request ("e2", 21);
  ASSERT_EQ (log.reads.size (), 1u);
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_TRUE (state.confirmed);
  EXPECT_EQ (state.nonce, 11u);
  EXPECT_FALSE (last_state ("e2", &state));
  ASSERT_EQ (log.reads.size (), 1u);
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e2", &state));
  EXPECT_TRUE (state.confirmed);
}

// Reads that take longer than the interval of an entry host's requests left all of them unanswered.
TEST_F (ControllerTest, AnswersARequestThatANewerOneFollowed)
{
  struct sync_state state;

  send_request ("e1", 11);
  for (uint64_t nonce = 12; nonce < 15; nonce++)
    {
      send_request ("e1", nonce);
      ASSERT_EQ (log.reads.size (), 1u);
      log.answer (STATUS_OK, now);
      ASSERT_TRUE (last_state ("e1", &state));
      EXPECT_TRUE (state.confirmed);
      EXPECT_EQ (state.nonce, nonce - 1);
    }
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_EQ (state.nonce, 14u);
  EXPECT_TRUE (log.reads.empty ());
}

// Answers to an entry host were lost on a connection that showed no error.
TEST_F (ControllerTest, ReplacesAConnectionOnWhichAnswersAreLost)
{
  send_request ("e1", 11);
  log.answer (STATUS_OK, now);
  now += 50 * USEC_PER_MSEC;
  send_unanswered ("e1", 11); // sent before the answer arrived there
  EXPECT_TRUE (port.removed.empty ());
  now += 250 * USEC_PER_MSEC;
  send_unanswered ("e1", 11);
  EXPECT_EQ (port.removed, std::vector<std::string>{ "e1" });
  send_unanswered ("e1", 11);
  EXPECT_EQ (port.removed.size (), 1u);
}

// Requests that were lost on their way have no answer that could be.
TEST_F (ControllerTest, KeepsAConnectionOnWhichNoAnswerWasSent)
{
  send_request ("e1", 11);
  now += USEC_PER_SEC;
  send_unanswered ("e1", 11);
  send_unanswered ("unknown", 11);
  log.answer (STATUS_OK, now);
  now += USEC_PER_SEC;
  send_unanswered ("e1", 12);
  EXPECT_TRUE (port.removed.empty ());
}

TEST_F (ControllerTest, SendsUnconfirmedStateWithoutQuorum)
{
  struct sync_state state;

  send_request ("e1", 11);
  log.answer (STATUS_TIMEOUT, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_FALSE (state.confirmed);
  log.refuse = true;
  send_request ("e1", 12);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_EQ (state.nonce, 12u);
  EXPECT_FALSE (state.confirmed);
}

TEST_F (ControllerTest, PushesANewDocumentWithoutARequest)
{
  struct sync_state state;

  send_request ("e1", 11);
  log.answer (STATUS_OK, now);
  document_update (document, 4, "text", 4);
  controller_document_changed (controller, now);
  now += 10 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_TRUE (state.has_document);
  EXPECT_EQ (state.document, 4u);
  EXPECT_EQ (state.nonce, 0u);
  EXPECT_FALSE (state.confirmed);
}

// Guards against a copy of the configuration from each controller with each state.
TEST_F (ControllerTest, SendsNoTextWithAStateToAHostThatRequestsTexts)
{
  const struct sync_document_request request = { 0xe1, 4, true, 0 };
  struct sync_state state;
  struct bytes message;
  int texts = 0;

  bytes_init (&message, nullptr);
  sync_write_header (SYNC_DOCUMENT_REQUEST, &message);
  sync_write_document_request (&request, &message);
  document_update (document, 4, "text", 4);
  controller_document_changed (controller, now);
  port.deliver ("e1", PEER_CHANNEL_SYNC, &message, now);
  bytes_clear (&message);
  for (const auto &[host, channel, text] : port.sent)
    {
      struct pack_reader in;
      enum sync_message type;

      pack_reader_init (&in, text.data (), text.size ());
      texts += host == "e1" && sync_read_type (&in, &type) && type == SYNC_DOCUMENT ? 1 : 0;
    }
  EXPECT_EQ (texts, 1);
  EXPECT_EQ (controller_list_entry_hosts (controller, "a", 64, nullptr, now), 0u);
  send_request ("e1", 11, 0, false, "a", 0xe1);
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_EQ (state.document, 4u);
  EXPECT_FALSE (state.has_document);
  // Another start of the host, of a release that requests none.
  send_request ("e1", 12, 0, false, "a", 0xe2);
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_TRUE (state.has_document);
}

// Entry hosts do not read from a renewal that a target turned cold; until they are sent its full
// record they take it for warm.
TEST_F (ControllerTest, PushesATargetThatTurnsCold)
{
  recording_wait wait;
  struct registry_registration word = make_word ("i", "p", "a:1", REGISTRY_READY, 1);
  struct sync_state state;
  uint64_t before;

  controller_register (controller, &word, &wait.wait, now);
  send_request ("e1", 11);
  log.answer (STATUS_OK, now);
  ASSERT_TRUE (last_state ("e1", &state));
  before = state.targets;
  word.sequence++;
  word.warmup_remaining = 3 * USEC_PER_SEC;
  controller_register (controller, &word, &wait.wait, now);
  now += 10 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  ASSERT_TRUE (last_state ("e1", &state));
  EXPECT_EQ (state.nonce, 0u);
  EXPECT_GT (state.targets, before);
  // What is left of it, counted from each heartbeat, is no news.
  port.sent.clear ();
  now += USEC_PER_SEC;
  word.sequence++;
  word.warmup_remaining = 2 * USEC_PER_SEC;
  controller_register (controller, &word, &wait.wait, now);
  now += 10 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  EXPECT_FALSE (last_state ("e1", &state));
}

TEST_F (ControllerTest, ListsOnlyLiveEntryHosts)
{
  const struct sync_host *out[SYNC_HOSTS_MAX];

  send_request ("e1", 11);
  send_request ("e2", 21);
  EXPECT_EQ (controller_list_entry_hosts (controller, "a", 64, out, now), 2u);
  send_request ("e2", 22, 0, true);
  ASSERT_EQ (controller_list_entry_hosts (controller, "a", 64, out, now), 1u);
  EXPECT_STREQ (out[0]->address, "e1-clients");
  now += CONTROLLER_HOST_LEASE + 1;
  EXPECT_EQ (controller_list_entry_hosts (controller, "a", 64, out, now), 0u);
}

// Guards against callers sent to a host that reaches no target while another host does.
TEST_F (ControllerTest, LeavesOutHostsThatHaveLostAPoolThatTakesRequests)
{
  for (const char *host : { "e1", "e2", "e3" })
    send_request (host, 11);
  send_reach ("e1", "p", true);
  send_reach ("e2", "w", false); // of stage work alone
  EXPECT_EQ (listed (), "e2 e3 ");
  send_reach ("e1", "", false);
  EXPECT_EQ (listed (), "e1 e2 e3 ");
}

// Guards against an empty list where targets are unreachable from all hosts.
TEST_F (ControllerTest, ListsAllHostsWhileAllHaveLostAPool)
{
  for (const char *host : { "e1", "e2" })
    {
      send_request (host, 11);
      send_reach (host, "p", true);
    }
  EXPECT_EQ (listed (), "e1 e2 ");
}

// Guards against a host that stays left out as the end of its report was lost, or as it restarted.
TEST_F (ControllerTest, ForgetsAReportThatIsNotRepeated)
{
  for (const char *host : { "e1", "e2" })
    send_request (host, 11);
  send_reach ("e1", "p", true);
  now += CONTROLLER_HOST_LEASE;
  for (const char *host : { "e1", "e2" })
    send_request (host, 12);
  EXPECT_EQ (listed (), "e2 ");
  now++;
  EXPECT_EQ (listed (), "e1 e2 ");
}

// Guards against hosts that go on to send work to one that has lost its targets.
TEST_F (ControllerTest, TellsAllHostsWhichHaveLostPools)
{
  for (const char *host : { "e1", "e2" })
    send_request (host, 11);
  send_reach ("e1", "w", false);
  send_reach ("e1", "w", false);
  now += 10 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  EXPECT_EQ (reach_lists ("e2"), 1);
  send_reach ("e1", "", false);
  now += 200 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  EXPECT_EQ (reach_lists ("e2"), 1); // not so soon after the first
  now += 50 * USEC_PER_MSEC;
  timer_service_run (timers, now);
  EXPECT_EQ (reach_lists ("e2"), 2);
  now += 5 * USEC_PER_SEC;
  timer_service_run (timers, now);
  EXPECT_EQ (reach_lists ("e2"), 2);
}

// Guards against a host that misses one message and goes on to send work to one that is cut.
TEST_F (ControllerTest, RepeatsWhichHostsHaveLostPools)
{
  for (const char *host : { "e1", "e2" })
    send_request (host, 11);
  for (int i = 0; i < 6; i++)
    {
      for (const char *host : { "e1", "e2" })
        send_request (host, 12);
      send_reach ("e1", "w", false);
      now += 500 * USEC_PER_MSEC;
      timer_service_run (timers, now);
    }
  EXPECT_EQ (reach_lists ("e2"), 2);
}

// There are more entry hosts than a list can hold.  If all clients got the same 64, a third of the
// hosts would get no client and the rest half as many again.
TEST_F (ControllerTest, ListsEachEntryHostToSomeDomain)
{
  const struct sync_host *out[SYNC_HOSTS_MAX];
  const struct sync_host *again[SYNC_HOSTS_MAX];
  std::map<std::string, int> named;

  for (int i = 0; i < 100; i++)
    {
      std::string domain (1, static_cast<char> ('a' + i % 4));

      send_request (("e" + std::to_string (i)).c_str (), 11, 0, false, domain.c_str ());
    }
  for (const char *domain : { "a", "b", "c", "d" })
    {
      ASSERT_EQ (controller_list_entry_hosts (controller, domain, 64, out, now), 64u);
      for (int i = 0; i < 25; i++)
        EXPECT_STREQ (out[i]->domain, domain);
      for (int i = 0; i < 64; i++)
        named[out[i]->name]++;
      ASSERT_EQ (controller_list_entry_hosts (controller, domain, 64, again, now), 64u);
      EXPECT_EQ (memcmp (out, again, 64 * sizeof out[0]), 0);
    }
  EXPECT_EQ (named.size (), 100u);
}

// A rolling update of 360 entry hosts, the required maximum: each is present twice for a while.  A
// host without a record would never be confirmed and serve no requests.
TEST_F (ControllerTest, ListsAllHostsOfARollingUpdate)
{
  for (int i = 0; i < 720; i++)
    send_request (("e" + std::to_string (i)).c_str (), 11);
  log.answer (STATUS_OK, now);
  EXPECT_EQ (gauge_get (counters, "cherryarch_controller_entry_hosts", "", nullptr)->value, 720);
  EXPECT_EQ (refused_hosts (), 0);
}

// More hosts send requests than a controller has records for.  Without the counter the cause would
// go unnoticed.
TEST_F (ControllerTest, CountsHostsRejectedForLackOfRecords)
{
  for (int i = 0; i < SYNC_HOSTS_MAX + 3; i++)
    send_request (("e" + std::to_string (i)).c_str (), 11);
  EXPECT_EQ (refused_hosts (), 3);
}

// ---- the document ----

TEST (Document, KeepsTheHighestVersion)
{
  void *parent = talloc_new (nullptr);
  struct document *document = document_new (parent, nullptr);
  struct machine *machine = document_machine (document);
  const std::vector<std::pair<uint64_t, std::string>> changes = {
    { 3, "three" }, { 2, "two" }, { 3, "other" }, { 9, "nine" }
  };

  for (const auto &[version, text] : changes)
    {
      struct bytes entry;
      struct bytes result;

      bytes_init (&entry, parent);
      bytes_init (&result, parent);
      document_change_pack (version, text.data (), text.size (), &entry);
      machine->ops->apply (machine, 1, entry.data, entry.length, &result);
      if (version == 3)
        {
          EXPECT_EQ (std::string (document_text (document)->data), "three");
        }
    }
  EXPECT_EQ (document_version (document), 9u);
  struct bytes snapshot;
  struct document *other = document_new (parent, nullptr);

  bytes_init (&snapshot, parent);
  ASSERT_EQ (machine->ops->save (machine, &snapshot), STATUS_OK);
  machine = document_machine (other);
  ASSERT_EQ (machine->ops->load (machine, 1, snapshot.data, snapshot.length), STATUS_OK);
  EXPECT_EQ (document_version (other), 9u);
  EXPECT_EQ (std::string (document_text (other)->data), "nine");
  EXPECT_EQ (machine->ops->load (machine, 1, snapshot.data, snapshot.length - 1), STATUS_CORRUPT);
  talloc_free (parent);
}

}
