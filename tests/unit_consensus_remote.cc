// A host without a data folder and the voters it sends requests to: leader hints, silent voters,
// deadlines.
#include "consensus_client.h"
#include "consensus_remote.h"
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t ms = USEC_PER_MSEC;

struct sent
{
  std::string host;
  struct client_request ask;
};

struct fake_port
{
  struct peer_port port;
  struct peer_listener *listener;
  std::vector<struct sent> sent;
};

enum status
port_send (
    struct peer_port *port, const char *host, enum peer_channel, const void *data, size_t length)
{
  struct sent sent = { .host = host, .ask = {} };
  struct client_response answer;
  bool is_request;

  EXPECT_EQ (client_read_message (data, length, &is_request, &sent.ask, &answer), STATUS_OK);
  EXPECT_TRUE (is_request);
  reinterpret_cast<struct fake_port *> (port)->sent.push_back (sent);
  return STATUS_OK;
}

void
port_listen (struct peer_port *port, enum peer_channel, struct peer_listener *listener)
{
  reinterpret_cast<struct fake_port *> (port)->listener = listener;
}

const struct peer_port_ops port_ops = {
  .set_address = nullptr, .remove_host = nullptr, .send = port_send, .set_listener = port_listen
};

struct caller
{
  struct proposal proposal;
  int calls;
  enum status status;
  std::string result;
};

void
done (struct proposal *proposal, enum status status, const void *result, size_t length, int64_t)
{
  auto *caller = reinterpret_cast<struct caller *> (proposal);

  caller->calls++;
  caller->status = status;
  caller->result.assign (static_cast<const char *> (result), length);
}

const struct proposal_ops caller_ops = { .done = done };

class Remote : public testing::Test
{
protected:
  void
  SetUp () override
  {
    static const char *const voters[] = { "v0", "v1", "v2" };
    struct consensus_remote_config config = {};

    port.port.ops = &port_ops;
    timers = timer_service_new (nullptr);
    config.voters = voters;
    config.n_voters = 3;
    config.port = &port.port;
    config.timers = timers;
    config.seed = 1;
    consensus = consensus_remote_new (nullptr, &config);
    caller.proposal.ops = &caller_ops;
  }

  void
  TearDown () override
  {
    talloc_free (consensus);
    talloc_free (timers);
  }

  void
  propose (int64_t timeout)
  {
    ASSERT_EQ (consensus->ops->propose (consensus, "x", 1, &caller.proposal, now + timeout, now),
               STATUS_OK);
  }

  void
  answer (const std::string &from, enum status status, const char *leader, const char *result = "")
  {
    struct client_response answer = {};
    struct bytes out;

    answer.number = port.sent.back ().ask.number;
    answer.status = status;
    answer.index = 41;
    answer.result = result;
    answer.length = strlen (result);
    snprintf (answer.leader, sizeof answer.leader, "%s", leader);
    bytes_init (&out, nullptr);
    client_write_response (&answer, &out);
    port.listener->ops->received (port.listener, from.c_str (), out.data, out.length, now);
    bytes_clear (&out);
  }

  void
  wait (int64_t span)
  {
    now += span;
    timer_service_run (timers, now);
  }

  struct fake_port port = {};
  struct timer_service *timers = nullptr;
  struct consensus *consensus = nullptr;
  struct caller caller = {};
  int64_t now = 1000000 * ms;
};

TEST_F (Remote, RequestFollowsTheLeaderHint)
{
  propose (5000 * ms);
  std::string first = port.sent[0].host;
  std::string leader = first == "v1" ? "v2" : "v1";
  answer (first, STATUS_NOT_LEADER, leader.c_str ());
  ASSERT_EQ (port.sent.size (), 2u);
  EXPECT_EQ (port.sent[1].host, leader);
  answer (leader, STATUS_OK, leader.c_str (), "done");
  EXPECT_EQ (caller.status, STATUS_OK);
  EXPECT_EQ (caller.result, "done");
  // The next request goes to the leader directly.
  propose (5000 * ms);
  EXPECT_EQ (port.sent[2].host, leader);
}

// The voter asked fails or is unreachable.  The request must not wait for it until the deadline:
// another voter is asked, and when both answer only one answer counts.
TEST_F (Remote, RequestIsRetriedAtAnotherVoterAfterSilence)
{
  propose (5000 * ms);
  std::string first = port.sent[0].host;
  wait (1001 * ms);
  ASSERT_EQ (port.sent.size (), 2u);
  EXPECT_NE (port.sent[1].host, first);
  answer (first, STATUS_OK, first.c_str ());
  answer (port.sent[1].host, STATUS_OK, first.c_str ());
  EXPECT_EQ (caller.calls, 1);
}

// Two voters each take the other for the leader.  The request must not bounce between them without
// a backoff.
TEST_F (Remote, RequestBacksOffWhenVotersNameEachOtherAsLeader)
{
  propose (5000 * ms);
  for (int i = 0; i < 100; i++)
    answer (port.sent.back ().host, STATUS_NOT_LEADER,
            port.sent.back ().host == "v0" ? "v1" : "v0");
  EXPECT_LT (port.sent.size (), 10u);
}

TEST_F (Remote, RequestTimesOutAtTheDeadline)
{
  propose (300 * ms);
  wait (301 * ms);
  EXPECT_EQ (caller.calls, 1);
  EXPECT_EQ (caller.status, STATUS_TIMEOUT);
  answer (port.sent[0].host, STATUS_OK, "");
  EXPECT_EQ (caller.calls, 1);
}

TEST_F (Remote, WithdrawnProposalIsNotAnswered)
{
  propose (300 * ms);
  consensus->ops->withdraw (consensus, &caller.proposal);
  answer (port.sent[0].host, STATUS_OK, "");
  wait (1000 * ms);
  EXPECT_EQ (caller.calls, 0);
}

// A host without a data folder could be given a confirmed read index but has no state machine to
// read from.  Reads must be refused at once, and no voter is asked.
TEST_F (Remote, ReadsAreRefusedWithoutAStateMachine)
{
  EXPECT_EQ (consensus->ops->read (consensus, &caller.proposal, now + 300 * ms, now),
             STATUS_UNSUPPORTED);
  wait (1000 * ms);
  EXPECT_EQ (caller.calls, 0);
  EXPECT_TRUE (port.sent.empty ());
}

TEST_F (Remote, RefusalIsFinal)
{
  propose (5000 * ms);
  answer (port.sent[0].host, STATUS_DISK_FULL, "");
  EXPECT_EQ (caller.status, STATUS_DISK_FULL);
}

} // namespace
