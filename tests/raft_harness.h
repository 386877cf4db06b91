// Fixture with one raft server, whose group has three, driven message by message.
#ifndef RAFT_HARNESS_H
#define RAFT_HARNESS_H

#include "raft.h"
#include <gtest/gtest.h>
#include <talloc.h>
#include <vector>

constexpr int64_t ms = USEC_PER_MSEC;

class Raft : public testing::Test
{
protected:
  void
  SetUp () override
  {
    members.n = 3;
    members.wanted = 3;
    for (uint32_t i = 0; i < 3; i++)
      {
        members.members[i].id = i + 1;
        members.members[i].voter = true;
        snprintf (members.members[i].name, sizeof members.members[i].name, "v%u", i);
      }
  }

  void
  TearDown () override
  {
    talloc_free (raft);
  }

  // Creates server 1 with a term and entries, as after a restart.
  void
  restore (uint64_t term, const std::vector<uint64_t> &terms)
  {
    struct raft_options options = {};
    struct raft_state state = { .term = term, .vote = 0 };
    struct raft_snapshot snapshot = {};

    options.id = 1;
    options.seed = 1;
    options.heartbeat = 100 * ms;
    options.election_min = 1000 * ms;
    options.election_max = 2000 * ms;
    options.lease_reads = leases;
    options.batch_bytes = 1; // one entry a message
    options.max_in_flight = 1;
    options.chunk_bytes = 100;
    snapshot.members = members;
    raft = raft_new (nullptr, &options, &state, &snapshot, 0, 0, now);
    for (uint64_t i = 0; i < terms.size (); i++)
      {
        struct raft_entry entry = { i + 1, terms[i], RAFT_ENTRY_DATA, 1, "x" };
        ASSERT_EQ (raft_restore_entry (raft, &entry), STATUS_OK);
      }
  }

  // Stores and sends everything pending; returns the kinds of the messages sent.
  std::vector<enum raft_message_kind>
  flush ()
  {
    std::vector<enum raft_message_kind> kinds;
    struct raft_ready ready;

    while (raft_poll (raft, &ready, now))
      {
        for (uint32_t i = 0; i < ready.n_messages; i++)
          kinds.push_back (ready.messages[i]->kind);
        if (ready.stores)
          raft_synced (raft, now);
      }
    return kinds;
  }

  struct raft_message
  from (uint64_t id, enum raft_message_kind kind)
  {
    struct raft_message m = {};

    m.kind = kind;
    m.from = id;
    m.to = 1;
    m.term = raft_term (raft);
    return m;
  }

  void
  lead ()
  {
    now += 3000 * ms;
    raft_tick (raft, now);
    flush ();
    struct raft_message m = from (2, RAFT_PRE_VOTE_REPLY);
    m.term = raft_term (raft) + 1;
    m.ok = true;
    raft_step (raft, &m, now);
    flush ();
    m = from (2, RAFT_VOTE_REPLY);
    m.ok = true;
    raft_step (raft, &m, now);
    flush ();
    ASSERT_EQ (raft_role (raft), RAFT_LEADER);
  }

  void
  acknowledge (uint64_t id, uint64_t index, uint64_t round)
  {
    struct raft_message m = from (id, RAFT_APPEND_REPLY);

    m.ok = true;
    m.index = index;
    m.last = index;
    m.round = round;
    raft_step (raft, &m, now);
    flush ();
  }

  bool leases = true;
  struct raft *raft = nullptr;
  struct raft_members members = {};
  int64_t now = 1000000 * ms;
};

#endif
