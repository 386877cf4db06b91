// Claims: at most one grant, resends at any time, dead holders, expiry, bounds.
#include "claim_entry.h"
#include "claim_log.h"
#include "claim_machine.h"
#include "store_group.h"
#include "unit_store_log.h"
#include <memory>

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
constexpr int64_t MINUTE_MS = 60000;

struct entry
{
  enum claim_op op = CLAIM_ACQUIRE;
  std::string host = "a";
  uint64_t epoch = 1;
  uint64_t acquire = 1;
  std::string key = "k";
  std::string body_hash = "h";
  int64_t time_ms = MINUTE_MS;
  int64_t issued_ms = 0;
  std::string body = {};
};

struct result
{
  enum claim_verdict verdict = CLAIM_UNREACHABLE;
  bool fenced = false;
  std::string holder = {};
  std::string outcome = {};
  std::string body = {};
  bool kept = false;
};

class ClaimMachine : public testing::Test
{
protected:
  struct claim_machine_config config = {};
  struct claim_machine *claims = claim_machine_new (nullptr, &config);

  ~ClaimMachine () override
  {
    talloc_free (claims);
  }

  static std::string
  pack (const struct entry &wanted)
  {
    struct claim_entry entry = {};
    struct bytes out;
    std::string packed;

    entry.op = wanted.op;
    snprintf (entry.holder.host, sizeof entry.holder.host, "%s", wanted.host.c_str ());
    snprintf (entry.host, sizeof entry.host, "%s", wanted.host.c_str ());
    entry.holder.epoch = wanted.epoch;
    entry.acquire_id = wanted.acquire;
    entry.time_ms = wanted.time_ms;
    entry.issued_at_ms = wanted.issued_ms;
    entry.retention_ms = MINUTE_MS;
    memcpy (entry.key, wanted.key.data (), wanted.key.size ());
    memcpy (entry.body_hash, wanted.body_hash.data (), wanted.body_hash.size ());
    entry.code = 200;
    snprintf (entry.outcome, sizeof entry.outcome, "whole");
    entry.body = wanted.op == CLAIM_SETTLE ? wanted.body.data () : nullptr;
    entry.body_length = wanted.op == CLAIM_SETTLE ? wanted.body.size () : 0;
    bytes_init (&out, nullptr);
    claim_entry_pack (&entry, &out);
    packed.assign (out.data, out.length);
    bytes_clear (&out);
    return packed;
  }

  static struct result
  apply_to (struct claim_machine *on, const std::string &packed)
  {
    struct machine *machine = claim_machine_machine (on);
    struct claim_result unpacked;
    struct result result;
    struct bytes out;

    bytes_init (&out, nullptr);
    machine->ops->apply (machine, 1, packed.data (), packed.size (), &out);
    EXPECT_EQ (claim_result_unpack (&unpacked, out.data, out.length), STATUS_OK);
    result.verdict = unpacked.verdict;
    result.fenced = unpacked.fenced;
    result.holder = unpacked.holder.host;
    result.outcome = unpacked.outcome;
    result.kept = unpacked.body_kept;
    if (unpacked.body_length > 0)
      result.body.assign (static_cast<const char *> (unpacked.body), unpacked.body_length);
    bytes_clear (&out);
    return result;
  }

  // Log time advances only when two hosts state it.
  static void
  pass_time (struct claim_machine *on, int64_t time_ms)
  {
    for (const char *host : { "a", "b" })
      apply_to (on, pack ({ .op = CLAIM_HOLDER_STARTED, .host = host, .time_ms = time_ms }));
  }

  struct result
  apply (const struct entry &entry)
  {
    return apply_to (claims, pack (entry));
  }
};

// A caller loses its connection and resends the request to another host while the first runs it.
// With two grants the request would have its effect twice (the dealer is invoiced twice).
TEST_F (ClaimMachine, OnlyOneAcquireIsGranted)
{
  EXPECT_EQ (apply ({}).verdict, CLAIM_GRANTED);
  struct result second = apply ({ .host = "b" });
  EXPECT_EQ (second.verdict, CLAIM_IN_FLIGHT);
  EXPECT_EQ (second.holder, "a");
  EXPECT_EQ (apply ({ .acquire = 2 }).verdict, CLAIM_IN_FLIGHT);
}

// The answer to a grant is lost and the same acquire is proposed again.  It must be granted again,
// not answered "in flight", or no host would run the request.
TEST_F (ClaimMachine, RepeatedAcquireIsGrantedAgain)
{
  apply ({});
  EXPECT_EQ (apply ({}).verdict, CLAIM_GRANTED);
}

TEST_F (ClaimMachine, EveryResendGetsTheAnswerOfASettledClaim)
{
  apply ({});
  EXPECT_EQ (apply ({ .op = CLAIM_SETTLE, .body = "done" }).verdict, CLAIM_SETTLED);
  EXPECT_EQ (apply ({ .op = CLAIM_SETTLE, .body = "done" }).verdict, CLAIM_SETTLED);
  struct result resend = apply ({ .host = "b" });
  EXPECT_EQ (resend.verdict, CLAIM_SETTLED);
  EXPECT_EQ (resend.outcome, "whole");
  EXPECT_EQ (resend.body, "done");
  EXPECT_TRUE (resend.kept);
}

TEST_F (ClaimMachine, TheSameIdWithAnotherBodyIsRefused)
{
  apply ({});
  EXPECT_EQ (apply ({ .host = "b", .body_hash = "x" }).verdict, CLAIM_MISMATCH);
  apply ({ .op = CLAIM_SETTLE });
  EXPECT_EQ (apply ({ .host = "b", .body_hash = "x" }).verdict, CLAIM_MISMATCH);
}

// The entry host dies after the claim: before the send, after it, or before settling.  No other
// host can distinguish these, so a resend must be answered "unknown" and never be run.
TEST_F (ClaimMachine, ClaimOfADeadHolderIsUnknown)
{
  apply ({});
  apply ({ .op = CLAIM_HOLDER_DEAD, .epoch = 1 });
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_UNKNOWN);
  EXPECT_EQ (apply ({ .host = "b", .acquire = 9 }).verdict, CLAIM_UNKNOWN);
}

// As above, but the host's process has restarted and announced it, or has acquired another claim.
TEST_F (ClaimMachine, OldClaimsOfARestartedHostAreUnknown)
{
  apply ({});
  apply ({ .key = "l" });
  apply ({ .op = CLAIM_HOLDER_STARTED, .epoch = 2 });
  EXPECT_EQ (apply ({ .epoch = 2 }).verdict, CLAIM_UNKNOWN);
  EXPECT_EQ (apply ({ .host = "b", .key = "l" }).verdict, CLAIM_UNKNOWN);
}

// The holder was only partitioned, and its outcome is applied after it was declared dead.  The
// outcome is valid, so resends get it from then on instead of "unknown".
TEST_F (ClaimMachine, LateSettleOfAHolderDeclaredDeadIsStored)
{
  apply ({});
  apply ({ .op = CLAIM_HOLDER_DEAD });
  apply ({ .op = CLAIM_SETTLE, .body = "done" });
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_SETTLED);
}

TEST_F (ClaimMachine, AcquireUnderAnEpochDeclaredDeadIsFenced)
{
  apply ({ .op = CLAIM_HOLDER_DEAD, .epoch = 5 });
  struct result late = apply ({ .epoch = 5 });
  EXPECT_EQ (late.verdict, CLAIM_UNREACHABLE);
  EXPECT_TRUE (late.fenced);
  EXPECT_EQ (apply ({ .epoch = 6 }).verdict, CLAIM_GRANTED);
}

// Nothing was sent, so the claim is released and the caller's resend may run on any host.
TEST_F (ClaimMachine, ReleasedClaimCanBeAcquiredAgain)
{
  apply ({});
  apply ({ .op = CLAIM_RELEASE });
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_GRANTED);
  EXPECT_EQ (apply ({ .op = CLAIM_RELEASE }).verdict, CLAIM_GRANTED);
  EXPECT_EQ (apply ({ .host = "c" }).verdict, CLAIM_IN_FLIGHT);
}

// A host abandons an acquire that was not answered and releases it.  The entry was delayed at
// another voter and is applied after the release.  If it were granted, the id would be blocked
// permanently.
TEST_F (ClaimMachine, AcquireAppliedAfterItsReleaseIsRefused)
{
  apply ({ .op = CLAIM_RELEASE, .acquire = 7 });
  EXPECT_EQ (apply ({ .acquire = 7 }).verdict, CLAIM_UNREACHABLE);
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_GRANTED);
}

// An acquire times out, its retry is answered "in flight" since another host holds the claim, and
// the requester gives up.  The other host finds no target and releases the claim; only then the
// first copy of the acquire is applied.  If it were granted, the id would stay held with no host to
// run it.  (ClaimExplorer, seed 6.)
TEST_F (ClaimMachine, CopyOfAnAbandonedAcquireIsRefusedAfterAnotherHostsRelease)
{
  apply ({ .host = "b" });
  EXPECT_EQ (apply ({ .acquire = 7 }).verdict, CLAIM_IN_FLIGHT);
  apply ({ .op = CLAIM_RELEASE, .acquire = 7 });
  EXPECT_EQ (apply ({ .host = "c" }).verdict, CLAIM_IN_FLIGHT);
  apply ({ .op = CLAIM_RELEASE, .host = "b" });
  EXPECT_EQ (apply ({ .acquire = 7 }).verdict, CLAIM_UNREACHABLE);
  EXPECT_EQ (apply ({ .host = "c" }).verdict, CLAIM_GRANTED);
}

// A client resends after hours, when the outcome is no longer stored; running the request could
// have its effect twice.  The answer is "expired" while the id is in the table, and after that by
// the request's time of issue.
TEST_F (ClaimMachine, AfterItsRetentionAClaimIsRefusedNotRun)
{
  apply ({});
  apply ({ .op = CLAIM_SETTLE, .body = "done" });
  pass_time (claims, 2 * MINUTE_MS - 1);
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_SETTLED);
  pass_time (claims, 2 * MINUTE_MS);
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_EXPIRED);
  pass_time (claims, 3 * MINUTE_MS - 1);
  EXPECT_EQ (apply ({ .host = "b" }).verdict, CLAIM_EXPIRED);
  pass_time (claims, 5 * MINUTE_MS);
  EXPECT_EQ (apply ({ .host = "b", .issued_ms = MINUTE_MS }).verdict, CLAIM_EXPIRED);
  EXPECT_EQ (claim_machine_count (claims), 0u);
}

TEST_F (ClaimMachine, AtTheBoundNewClaimsAreRefusedAndOldOnesKept)
{
  config.count_max = 2;
  struct claim_machine *small = claim_machine_new (nullptr, &config);

  apply_to (small, pack ({ .key = "1" }));
  apply_to (small, pack ({ .key = "2" }));
  EXPECT_EQ (apply_to (small, pack ({ .key = "3" })).verdict, CLAIM_FULL);
  EXPECT_EQ (apply_to (small, pack ({ .host = "b", .key = "1" })).verdict, CLAIM_IN_FLIGHT);
  pass_time (small, 4 * MINUTE_MS);
  EXPECT_EQ (apply_to (small, pack ({ .key = "3" })).verdict, CLAIM_GRANTED);
  talloc_free (small);
}

TEST_F (ClaimMachine, OverTheBoundOfAnswersTheOutcomeIsKeptWithoutBody)
{
  config.answer_bytes_max = 5;
  struct claim_machine *small = claim_machine_new (nullptr, &config);

  for (const char *key : { "1", "2" })
    {
      apply_to (small, pack ({ .key = key }));
      apply_to (small, pack ({ .op = CLAIM_SETTLE, .key = key, .body = "four" }));
    }
  EXPECT_TRUE (apply_to (small, pack ({ .host = "b", .key = "1" })).kept);
  struct result second = apply_to (small, pack ({ .host = "b", .key = "2" }));
  EXPECT_EQ (second.verdict, CLAIM_SETTLED);
  EXPECT_FALSE (second.kept);
  talloc_free (small);
}

// A replica that loaded a snapshot and one that applied every entry give the same verdicts, and
// their snapshots are equal byte for byte.
TEST_F (ClaimMachine, ReplicaLoadedFromASnapshotStaysIdentical)
{
  struct claim_machine *other = claim_machine_new (nullptr, &config);
  struct machine *machine = claim_machine_machine (other);

  for (uint64_t i = 0; i < 200; i++)
    {
      struct entry entry = { .host = i % 3 ? "a" : "b",
                             .acquire = i,
                             .key = "k" + std::to_string (i % 40),
                             .time_ms = MINUTE_MS + static_cast<int64_t> (i) * 1000 };
      entry.op = i % 5 == 4 ? CLAIM_SETTLE : i % 7 == 6 ? CLAIM_RELEASE : CLAIM_ACQUIRE;
      entry.body = "body";
      apply (entry);
    }
  std::string saved = save_machine (claim_machine_machine (claims));
  ASSERT_EQ (machine->ops->load (machine, 1, saved.data (), saved.size ()), STATUS_OK);
  EXPECT_EQ (save_machine (machine), saved);
  for (uint64_t i = 0; i < 40; i++)
    {
      struct entry entry = { .host = "c", .acquire = i, .key = "k" + std::to_string (i) };
      entry.time_ms = 5 * MINUTE_MS;
      EXPECT_EQ (apply (entry).verdict, apply_to (other, pack (entry)).verdict);
    }
  EXPECT_EQ (save_machine (machine), save_machine (claim_machine_machine (claims)));
  for (size_t length = 0; length < saved.size (); length += 7)
    EXPECT_NE (machine->ops->load (machine, 1, saved.data (), length), STATUS_OK);
  talloc_free (other);
}

struct acquire_waiter
{
  struct claim_waiter waiter = {};
  int answers = 0;
  enum claim_verdict verdict = CLAIM_VERDICT_COUNT;
  std::string body = {};
  std::string outcome = {};

  static void
  answered (struct claim_waiter *waiter, const struct claim_answer *answer, int64_t)
  {
    struct acquire_waiter *self = reinterpret_cast<struct acquire_waiter *> (waiter);

    self->answers++;
    self->verdict = answer->verdict;
    if (answer->outcome != nullptr)
      self->outcome = answer->outcome;
    if (answer->body_length > 0)
      self->body.assign (static_cast<const char *> (answer->body), answer->body_length);
  }

  acquire_waiter ()
  {
    static const struct claim_waiter_ops ops = { answered };
    waiter.ops = &ops;
  }
};

// Two entry hosts over one log.
class ClaimLog : public testing::Test
{
protected:
  struct entry_host
  {
    std::unique_ptr<struct test_log> log;
    struct board *board;
    struct claim_log *claims;
  };

  struct test_clock clock;
  struct claim_machine_config machine_config = {};
  void *memory = talloc_new (nullptr);
  struct store_group *group = store_group_new (memory);
  struct claim_machine *machine = claim_machine_new (memory, &machine_config);
  struct counters *counters = counters_new (memory);
  struct entry_host a;
  struct entry_host b;

  ClaimLog ()
  {
    store_group_add (group, STORE_PART_CLAIMS, claim_machine_machine (machine));
    start (a, "a", 1);
    start (b, "b", 1);
    clock.run (SEC);
  }

  ~ClaimLog () override
  {
    talloc_free (a.claims);
    talloc_free (b.claims);
    talloc_free (memory);
  }

  void
  start (struct entry_host &host, const char *name, uint64_t incarnation)
  {
    struct claim_log_config config = {};

    host.log = std::make_unique<struct test_log> (store_group_machine (group), clock.timers);
    host.board = board_new (memory);
    add_host (host.board, "a", name);
    add_host (host.board, "b", name);
    config.groups[0] = &host.log->consensus;
    config.n_groups = 1;
    config.board = host.board;
    config.timers = clock.timers;
    config.counters = counters;
    config.host = name;
    config.incarnation = incarnation;
    config.wall_offset_ms = 1000000;
    config.retention = 600 * SEC;
    config.answer_bytes = 100;
    host.claims = claim_log_new (nullptr, &config, clock.now);
  }

  static void
  add_host (struct board *board, const char *name, const char *self)
  {
    struct handle handle;
    struct board_host *host = static_cast<struct board_host *> (table_add (board->hosts, &handle));

    snprintf (host->name, sizeof host->name, "%s", name);
    host->incarnation = 1;
    host->self = strcmp (name, self) == 0;
  }

  void
  acquire (struct entry_host &host,
           struct acquire_waiter &acquire_waiter,
           int64_t within = 4 * SEC,
           const char *id = "r1")
  {
    struct claim_request request = {};
    struct claims *claims = claim_log_claims (host.claims);

    request.key = { "org", id };
    ASSERT_EQ (claims->ops->acquire (claims, &request, &acquire_waiter.waiter, clock.now + within,
                                     clock.now),
               STATUS_OK);
    EXPECT_EQ (acquire_waiter.answers, 0);
  }

  enum status
  settle (struct entry_host &host, const std::string &body, const char *id = "r1")
  {
    struct claims *claims = claim_log_claims (host.claims);
    struct claim_key key = { "org", id };

    return claims->ops->settle (claims, &key, 200, "whole", body.data (), body.size (), nullptr,
                                clock.now);
  }

  enum status
  release (struct entry_host &host, const char *id = "r1")
  {
    struct claims *claims = claim_log_claims (host.claims);
    struct claim_key key = { "org", id };

    return claims->ops->release (claims, &key, clock.now);
  }
};

// The caller's connection broke, and it resent the request to another host while the first runs it.
// The second host polls until the first has settled, and returns the first run's answer.
TEST_F (ClaimLog, AResendWhileInFlightGetsTheFirstRunsAnswer)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC / 10);
  ASSERT_EQ (first.verdict, CLAIM_GRANTED);
  acquire (b, second);
  clock.run (SEC);
  EXPECT_EQ (second.answers, 0);
  EXPECT_EQ (settle (a, "letter 1"), STATUS_OK);
  clock.run (2 * SEC);
  EXPECT_EQ (second.answers, 1);
  EXPECT_EQ (second.verdict, CLAIM_SETTLED);
  EXPECT_EQ (second.body, "letter 1");
  EXPECT_EQ (claim_log_pending (a.claims) + claim_log_pending (b.claims), 0u);
}

TEST_F (ClaimLog, ResendIsAnsweredInFlightAtItsDeadline)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  acquire (b, second, 2 * SEC);
  clock.run (3 * SEC);
  EXPECT_EQ (second.answers, 1);
  EXPECT_EQ (second.verdict, CLAIM_IN_FLIGHT);
}

// The answer to the acquire is lost three times; the request must still be granted, once.
TEST_F (ClaimLog, AcquireIsRetriedUntilItIsAnswered)
{
  struct acquire_waiter acquire_waiter;

  a.log->delivery_mode = delivery_mode::ANSWER_LOST;
  acquire (a, acquire_waiter);
  clock.run (SEC * 5 / 2);
  EXPECT_EQ (acquire_waiter.answers, 0);
  a.log->delivery_mode = delivery_mode::APPLIED;
  clock.run (SEC);
  EXPECT_EQ (acquire_waiter.answers, 1);
  EXPECT_EQ (acquire_waiter.verdict, CLAIM_GRANTED);
}

// The acquire times out: the caller gets the answer that the request was not run, and resends it to
// another host.  The acquire was in the log, and without a release the resend would always be
// answered "in flight".
TEST_F (ClaimLog, TimedOutAcquireDoesNotBlockTheResend)
{
  struct acquire_waiter lost;
  struct acquire_waiter resend;

  a.log->delivery_mode = delivery_mode::ANSWER_LOST;
  acquire (a, lost, 2 * SEC);
  clock.run (SEC * 5 / 2);
  EXPECT_EQ (lost.verdict, CLAIM_UNREACHABLE);
  a.log->delivery_mode = delivery_mode::APPLIED;
  clock.run (2 * SEC);
  acquire (b, resend);
  clock.run (SEC);
  EXPECT_EQ (resend.verdict, CLAIM_GRANTED);
  EXPECT_EQ (lost.answers, 1);
}

// As above, but the acquire is applied only after the release.
TEST_F (ClaimLog, AcquireAppliedAfterItsTimeoutDoesNotBlockTheResend)
{
  struct acquire_waiter lost;
  struct acquire_waiter resend;

  a.log->delivery_mode = delivery_mode::LATE;
  acquire (a, lost, SEC);
  clock.run (SEC * 3 / 2);
  EXPECT_EQ (lost.verdict, CLAIM_UNREACHABLE);
  a.log->delivery_mode = delivery_mode::APPLIED;
  clock.run (2 * SEC);
  a.log->deliver_late ();
  acquire (b, resend);
  clock.run (SEC);
  EXPECT_EQ (resend.verdict, CLAIM_GRANTED);
}

// The outcome cannot be stored while there is no quorum.  The settle is retried until it is
// applied, so that a resend minutes later gets the answer.
TEST_F (ClaimLog, SettleIsRetriedUntilItIsApplied)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC);
  a.log->delivery_mode = delivery_mode::REFUSED;
  EXPECT_EQ (settle (a, "x"), STATUS_OK);
  clock.run (120 * SEC);
  EXPECT_EQ (claim_log_pending (a.claims), 1u);
  a.log->delivery_mode = delivery_mode::APPLIED;
  clock.run (2 * SEC);
  EXPECT_EQ (claim_log_pending (a.claims), 0u);
  acquire (b, second);
  clock.run (SEC);
  EXPECT_EQ (second.verdict, CLAIM_SETTLED);
}

// The entry host dies while it holds the claim, and the board of the other host shows it as dead.
// The resend must be answered "unknown" at once and not at its deadline.
TEST_F (ClaimLog, AClaimOfAHostKnownDeadIsUnknownAtOnce)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC);
  board_find_host (b.board, "a", nullptr)->state = HOST_DEAD;
  acquire (b, second);
  clock.run (SEC / 10);
  EXPECT_EQ (second.verdict, CLAIM_UNKNOWN);
}

// The entry host's process dies and restarts at once, with a new incarnation.
TEST_F (ClaimLog, AClaimOfARestartedHostIsUnknown)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC);
  talloc_free (a.claims);
  start (a, "a", 2);
  clock.run (SEC);
  acquire (b, second);
  clock.run (SEC / 10);
  EXPECT_EQ (second.verdict, CLAIM_UNKNOWN);
}

// A host was partitioned and declared dead by another.  When it is reachable again it must be able
// to acquire claims without a restart.
TEST_F (ClaimLog, LiveHostDeclaredDeadClaimsUnderANewEpoch)
{
  struct acquire_waiter first;
  struct acquire_waiter second;
  struct acquire_waiter third;

  acquire (a, first);
  clock.run (SEC);
  board_find_host (b.board, "a", nullptr)->state = HOST_DEAD;
  acquire (b, second);
  clock.run (SEC);
  acquire (a, third, 4 * SEC, "r2");
  clock.run (SEC);
  EXPECT_EQ (third.verdict, CLAIM_GRANTED);
  EXPECT_EQ (settle (a, "y", "r2"), STATUS_OK);
}

TEST_F (ClaimLog, ReleasedClaimIsGrantedToTheNextRequest)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC);
  EXPECT_EQ (release (a), STATUS_OK);
  EXPECT_EQ (release (a), STATUS_NOT_FOUND);
  clock.run (SEC);
  acquire (b, second);
  clock.run (SEC);
  EXPECT_EQ (second.verdict, CLAIM_GRANTED);
}

// The caller disconnects between the acquire and its answer; the grant must be released.
TEST_F (ClaimLog, WithdrawnAcquireIsReleased)
{
  struct acquire_waiter gone;
  struct acquire_waiter next;
  struct claims *claims = claim_log_claims (a.claims);

  acquire (a, gone);
  claims->ops->withdraw (claims, &gone.waiter);
  clock.run (SEC);
  EXPECT_EQ (gone.answers, 0);
  acquire (b, next);
  clock.run (SEC);
  EXPECT_EQ (next.verdict, CLAIM_GRANTED);
  EXPECT_EQ (claim_log_pending (a.claims), 0u);
}

// An answer over the size bound is not stored.  A resend must get the answer that the request ran,
// and never get a truncated or empty answer as if it were complete.
TEST_F (ClaimLog, AnswerTooLargeToStoreIsReported)
{
  struct acquire_waiter first;
  struct acquire_waiter second;

  acquire (a, first);
  clock.run (SEC);
  settle (a, std::string (101, 'x'));
  clock.run (SEC);
  acquire (b, second);
  clock.run (SEC);
  EXPECT_EQ (second.verdict, CLAIM_SETTLED);
  EXPECT_EQ (second.outcome, "failed");
  EXPECT_NE (second.body.find ("too large"), std::string::npos);
}

}
