// Table of poison requests: merging of evidence, verdicts, and the encoding of messages.
#include "quarantine.h"
#include "quarantine_wire.h"
#include "rng.h"
#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

const int64_t START = 7 * QUARANTINE_SUSPECT_TTL;
const int64_t RUN = 30 * USEC_PER_MSEC;

// Evidence of one crash, as one host reports it; `took` is the duration of the run.
struct quarantine_suspect
make_evidence (int request,
               uint64_t incarnation,
               int64_t at,
               int64_t took = RUN,
               const char *organisation = "org")
{
  struct quarantine_suspect suspect = {};

  memcpy (suspect.digest.bytes, &request, sizeof request);
  snprintf (suspect.organisation, sizeof suspect.organisation, "%s", organisation);
  snprintf (suspect.route, sizeof suspect.route, "r");
  suspect.last_seen = at;
  suspect.n_crashes = 1;
  suspect.crashes[0].incarnation = incarnation;
  suspect.crashes[0].from = at - std::min (took, QUARANTINE_COMMON_CAUSE_SPAN);
  suspect.crashes[0].to = at;
  return suspect;
}

class Quarantine : public ::testing::Test
{
protected:
  ~Quarantine () override
  {
    talloc_free (parent);
  }

  struct quarantine *
  make ()
  {
    return quarantine_new (parent);
  }

  struct quarantine_suspect *
  add (const struct quarantine_suspect &of)
  {
    struct quarantine_suspect *out;

    quarantine_merge (table, &of, of.last_seen, &out);
    return out;
  }

  // Adds three crashes one second apart; returns the time of the last.
  int64_t
  hold (int request, const char *organisation = "org")
  {
    for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
      add (make_evidence (request, static_cast<uint64_t> (10 * request + i),
                          START + i * USEC_PER_SEC, RUN, organisation));
    return START + (QUARANTINE_CRASH_THRESHOLD - 1) * USEC_PER_SEC;
  }

  enum quarantine_verdict
  judge (int request, int64_t now, bool is_trial_host = false)
  {
    struct quarantine_suspect of = make_evidence (request, 0, now);

    return quarantine_get_verdict (quarantine_find (table, &of.digest), is_trial_host, now);
  }

  uint32_t
  count (int request)
  {
    struct quarantine_suspect of = make_evidence (request, 0, START);
    struct quarantine_suspect *suspect = quarantine_find (table, &of.digest);

    return suspect == nullptr ? 0 : quarantine_count_crashes (suspect, START);
  }

  void *parent = talloc_new (nullptr);
  struct quarantine *table = quarantine_new (parent);
};

TEST_F (Quarantine, HoldsARequestThatCrashedThreeTargets)
{
  EXPECT_EQ (judge (1, START), QUARANTINE_PASS);
  add (make_evidence (1, 11, START));
  EXPECT_EQ (judge (1, START), QUARANTINE_ISOLATE);
  struct quarantine_suspect *suspect = add (make_evidence (1, 12, START + USEC_PER_SEC));

  EXPECT_EQ (judge (1, START + USEC_PER_SEC), QUARANTINE_ISOLATE);
  suspect->n_running = 1;
  EXPECT_EQ (judge (1, START + USEC_PER_SEC), QUARANTINE_WAIT);
  add (make_evidence (1, 13, START + 2 * USEC_PER_SEC));
  EXPECT_EQ (judge (1, START + 2 * USEC_PER_SEC), QUARANTINE_REFUSE);
  EXPECT_EQ (judge (2, START + 2 * USEC_PER_SEC), QUARANTINE_PASS);
}

// Several hosts report the same crash.
TEST_F (Quarantine, CountsAnIncarnationOnce)
{
  for (int i = 0; i < 9; i++)
    add (make_evidence (1, 11, START + i * USEC_PER_SEC));
  EXPECT_EQ (count (1), 1u);
}

// A rack loses power while copies of a popular request run on all of its targets: one cause.
TEST_F (Quarantine, CountsSimultaneousCrashesOnce)
{
  for (uint64_t i = 0; i < 6; i++)
    add (make_evidence (1, 10 + i, START + static_cast<int64_t> (i) * USEC_PER_MSEC, USEC_PER_SEC));
  EXPECT_EQ (count (1), 1u);
  EXPECT_EQ (judge (1, START), QUARANTINE_ISOLATE);
}

// A client repeats a request at once, and its targets crash within milliseconds of each other.
TEST_F (Quarantine, CountsCrashesOfConsecutiveRunsSeparately)
{
  for (uint64_t i = 0; i < 3; i++)
    add (make_evidence (1, 10 + i, START + static_cast<int64_t> (i) * 2 * USEC_PER_MSEC,
                        USEC_PER_MSEC));
  EXPECT_EQ (count (1), 3u);
}

// Runs overlap, but the targets crash at unrelated moments.
TEST_F (Quarantine, CountsUnrelatedCrashesOfOverlappingRunsSeparately)
{
  for (uint64_t i = 0; i < 3; i++)
    add (make_evidence (1, 10 + i,
                        START + static_cast<int64_t> (i) * 2 * QUARANTINE_COMMON_CAUSE_SPAN,
                        5 * USEC_PER_SEC));
  EXPECT_EQ (count (1), 3u);
}

// More targets crash together than crashes are stored, as many runs are in flight at once: crashes
// that follow must still be counted.
TEST_F (Quarantine, CountsLaterCrashesAfterMoreSimultaneousOnesThanAreStored)
{
  for (uint64_t i = 0; i < 30; i++)
    add (make_evidence (1, 10 + i, START + static_cast<int64_t> (i) * USEC_PER_MSEC, USEC_PER_SEC));
  EXPECT_EQ (count (1), 1u);
  add (make_evidence (1, 50, START + USEC_PER_SEC));
  add (make_evidence (1, 51, START + 2 * USEC_PER_SEC));
  EXPECT_EQ (count (1), 3u);
  // An evicted crash that is reported again is not new.
  struct quarantine_suspect again = make_evidence (1, 11, START + USEC_PER_MSEC, USEC_PER_SEC);
  struct quarantine_suspect *out;

  quarantine_merge (table, &again, START, &out);
  EXPECT_FALSE (quarantine_merge (table, &again, START, &out));
  EXPECT_EQ (count (1), 3u);
}

// A request that is sent all day is in flight on some target whenever one crashes.
TEST_F (Quarantine, CountsOnlyCrashesWithinOneWindow)
{
  for (uint64_t i = 0; i < 5; i++)
    add (make_evidence (1, 10 + i, START + static_cast<int64_t> (i) * QUARANTINE_WINDOW * 2 / 3));
  EXPECT_EQ (count (1), 2u);
  EXPECT_EQ (judge (1, START + 10 * QUARANTINE_WINDOW), QUARANTINE_PASS);
}

// The crash of a target whose machine goes silent is detected seconds later, so it may lie at any
// moment since the last sign of life.
TEST_F (Quarantine, CountsSilentTargetsWithOverlappingSpansOnce)
{
  for (uint64_t i = 0; i < 3; i++)
    {
      struct quarantine_suspect silent =
          make_evidence (1, 10 + i, START + static_cast<int64_t> (i) * USEC_PER_SEC);

      silent.crashes[0].from = START - 3 * USEC_PER_SEC;
      add (silent);
    }
  EXPECT_EQ (count (1), 1u);
}

// Requests that run beside a poison request collect its crashes until a complete answer clears
// them.  Evidence from before the answer that arrives late must not count again.
TEST_F (Quarantine, ACompleteAnswerClearsOlderEvidencePermanently)
{
  int64_t now = hold (1);
  struct quarantine_suspect of = make_evidence (1, 0, now);

  EXPECT_TRUE (quarantine_clear (quarantine_find (table, &of.digest)));
  EXPECT_EQ (judge (1, now), QUARANTINE_PASS);
  hold (1);
  EXPECT_EQ (judge (1, now), QUARANTINE_PASS);
  add (make_evidence (1, 99, now + USEC_PER_SEC));
  EXPECT_EQ (judge (1, now + USEC_PER_SEC), QUARANTINE_ISOLATE);
}

TEST_F (Quarantine, RetractsTheCrashOfALiveTarget)
{
  int64_t now = hold (1);
  struct quarantine_suspect of = make_evidence (1, 0, now);

  EXPECT_TRUE (quarantine_retract (quarantine_find (table, &of.digest), 11, now));
  EXPECT_EQ (count (1), 2u);
  EXPECT_FALSE (quarantine_retract (quarantine_find (table, &of.digest), 11, now));
}

// One host saw the target alive before another host saw it crash: the crash is valid.
TEST_F (Quarantine, KeepsACrashAfterTheTargetWasLastSeenAlive)
{
  struct quarantine_suspect of = make_evidence (1, 0, hold (1));
  struct quarantine_suspect *held = quarantine_find (table, &of.digest);
  int64_t ended = held->crashes[0].to;
  uint64_t incarnation = held->crashes[0].incarnation;

  EXPECT_FALSE (quarantine_retract (held, incarnation, ended - 1));
  EXPECT_EQ (count (1), 3u);
  EXPECT_TRUE (quarantine_retract (held, incarnation, ended));
}

// Hosts receive the same evidence in different orders and with duplicates: their tables must
// converge.
TEST_F (Quarantine, ConvergesForAnyOrderAndDuplicationOfEvidence)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct rng rng;
      std::vector<struct quarantine_suspect> news;

      rng_init (&rng, seed);
      for (int i = 0; i < 12; i++)
        {
          struct quarantine_suspect one =
              make_evidence (static_cast<int> (rng_below (&rng, 3)), 1 + rng_below (&rng, 5),
                             START + static_cast<int64_t> (rng_below (&rng, 5)) * USEC_PER_SEC);

          // One incarnation crashes once, whichever host reports it.
          one.crashes[0].to =
              START + static_cast<int64_t> (one.crashes[0].incarnation) * USEC_PER_SEC;
          one.crashes[0].from = one.crashes[0].to - RUN;
          one.crashes[0].retracted = rng_below (&rng, 4) == 0;
          news.push_back (one);
        }
      std::vector<struct quarantine *> tables = { make (), make () };

      for (struct quarantine *of : tables)
        {
          std::vector<struct quarantine_suspect> heard = news;

          for (int i = 0; i < 6; i++)
            heard.push_back (news[rng_below (&rng, news.size ())]);
          for (size_t i = heard.size (); i > 1; i--)
            std::swap (heard[i - 1], heard[rng_below (&rng, i)]);
          // Every item is delivered at least once.
          heard.insert (heard.end (), news.begin (), news.end ());
          for (const auto &one : heard)
            {
              struct quarantine_suspect *out;

              quarantine_merge (of, &one, START, &out);
            }
        }
      ASSERT_EQ (quarantine_summary (tables[0], START), quarantine_summary (tables[1], START))
          << seed;
      for (const auto &one : news)
        ASSERT_EQ (quarantine_count_crashes (quarantine_find (tables[0], &one.digest), START),
                   quarantine_count_crashes (quarantine_find (tables[1], &one.digest), START))
            << seed;
    }
}

// An organisation that sends invented requests evicts neither the suspects of others nor requests
// that are held.
TEST_F (Quarantine, KeepsHeldRequestsWhenManySuspectsAreAdded)
{
  hold (1, "other");
  hold (2, "many");
  for (int i = 0; i < 3 * QUARANTINE_ORGANISATION_SUSPECTS_MAX; i++)
    add (make_evidence (100 + i, 5000 + static_cast<uint64_t> (i), START + 3 * USEC_PER_SEC + i,
                        RUN, "many"));
  EXPECT_EQ (judge (1, START + 4 * USEC_PER_SEC), QUARANTINE_REFUSE);
  EXPECT_EQ (judge (2, START + 4 * USEC_PER_SEC), QUARANTINE_REFUSE);
  for (int i = 0; i < 2 * QUARANTINE_SUSPECTS_MAX; i++)
    add (make_evidence (1000 + i, 9000 + static_cast<uint64_t> (i), START + 3 * USEC_PER_SEC + i,
                        RUN, std::to_string (i % 50).c_str ()));
  EXPECT_EQ (judge (1, START + 4 * USEC_PER_SEC), QUARANTINE_REFUSE);
  uint32_t n = 0;

  while (quarantine_at (table, n) != nullptr)
    n++;
  EXPECT_EQ (n, static_cast<uint32_t> (QUARANTINE_SUSPECTS_MAX));
}

// A request was held only because it ran beside a poison request, or the cause has been repaired:
// it is tried again, at most twice.
TEST_F (Quarantine, TriesAHeldRequestAgainTwice)
{
  const int64_t waits[] = { QUARANTINE_FIRST_TRIAL_DELAY, QUARANTINE_SECOND_TRIAL_DELAY };
  int64_t now = hold (1);

  EXPECT_EQ (judge (1, now + QUARANTINE_FIRST_TRIAL_DELAY - 1, true), QUARANTINE_REFUSE);
  EXPECT_EQ (judge (1, now + QUARANTINE_FIRST_TRIAL_DELAY, false), QUARANTINE_REFUSE);
  for (uint32_t i = 0; i < QUARANTINE_TRIALS_MAX; i++)
    {
      now += waits[i];
      ASSERT_EQ (judge (1, now, true), QUARANTINE_TRIAL);
      struct quarantine_suspect tried = make_evidence (1, 10, now);

      tried.n_trials = i + 1;
      tried.last_trial = now;
      add (tried);
      EXPECT_EQ (judge (1, now, true), QUARANTINE_REFUSE);
    }
  EXPECT_EQ (judge (1, now + 100 * QUARANTINE_SECOND_TRIAL_DELAY, true), QUARANTINE_REFUSE);
}

TEST_F (Quarantine, DropsRequestsThatNoClientSends)
{
  hold (1);
  quarantine_expire (table, START + QUARANTINE_SUSPECT_TTL - 1);
  EXPECT_EQ (count (1), 3u);
  quarantine_at (table, 0)->last_seen = START + USEC_PER_SEC;
  quarantine_expire (table, START + QUARANTINE_SUSPECT_TTL);
  EXPECT_EQ (count (1), 3u);
  quarantine_expire (table, START + USEC_PER_SEC + QUARANTINE_SUSPECT_TTL);
  EXPECT_TRUE (quarantine_is_empty (table));
}

// A target crashed for a reason of its own: once that crash expired, no request need be compared
// with those that ran there.
TEST_F (Quarantine, DropsASuspectWhoseCrashExpired)
{
  add (make_evidence (1, 11, START));
  quarantine_expire (table, START + QUARANTINE_WINDOW);
  EXPECT_FALSE (quarantine_is_empty (table));
  quarantine_expire (table, START + QUARANTINE_WINDOW + 1);
  EXPECT_TRUE (quarantine_is_empty (table));
}

// A host that was cut off may still hold a request that was cleared meanwhile.
TEST_F (Quarantine, KeepsAClearedRequestThatWasHeld)
{
  int64_t now = hold (1);

  quarantine_clear (quarantine_at (table, 0));
  quarantine_expire (table, now + QUARANTINE_WINDOW + USEC_PER_SEC);
  hold (1);
  EXPECT_EQ (count (1), 0u);
}

// ---- messages ----

TEST_F (Quarantine, DecodesWhatWasEncoded)
{
  int64_t now = hold (1) + USEC_PER_SEC;
  struct quarantine_suspect *suspect = quarantine_at (table, 0);
  struct quarantine_decoded read;
  struct bytes message;

  suspect->crashes[1].retracted = true;
  suspect->n_trials = 1;
  suspect->last_trial = now - 5;
  bytes_init (&message, parent);
  quarantine_encode_header (QUARANTINE_RELAY, 1, &message);
  quarantine_encode_suspect (suspect, now, &message);
  // Decoded on a host whose clock differs.
  ASSERT_TRUE (quarantine_decode (message.data, message.length, now + 77, &read));
  ASSERT_EQ (read.n, 1u);
  EXPECT_EQ (read.kind, QUARANTINE_RELAY);
  EXPECT_TRUE (request_digest_equal (&read.suspects[0].digest, &suspect->digest));
  EXPECT_STREQ (read.suspects[0].organisation, "org");
  EXPECT_STREQ (read.suspects[0].route, "r");
  EXPECT_EQ (read.suspects[0].last_seen, suspect->last_seen + 77);
  EXPECT_EQ (read.suspects[0].n_trials, 1u);
  EXPECT_EQ (read.suspects[0].last_trial, suspect->last_trial + 77);
  ASSERT_EQ (read.suspects[0].n_crashes, 3u);
  for (uint32_t i = 0; i < 3; i++)
    {
      EXPECT_EQ (read.suspects[0].crashes[i].incarnation, suspect->crashes[i].incarnation);
      EXPECT_EQ (read.suspects[0].crashes[i].from, suspect->crashes[i].from + 77);
      EXPECT_EQ (read.suspects[0].crashes[i].to, suspect->crashes[i].to + 77);
      EXPECT_EQ (read.suspects[0].crashes[i].retracted, suspect->crashes[i].retracted);
    }
}

// A truncated message is rejected.  A corrupted one is rejected or decodes within the limits, and
// nothing outside it is read.
TEST_F (Quarantine, RejectsTruncatedMessagesAndBoundsCorruptedOnes)
{
  struct quarantine_decoded read;
  struct bytes message;
  struct rng rng;

  hold (1);
  bytes_init (&message, parent);
  quarantine_encode_header (QUARANTINE_UPDATE, 1, &message);
  quarantine_encode_suspect (quarantine_at (table, 0), START, &message);
  for (size_t i = 0; i < message.length; i++)
    EXPECT_FALSE (quarantine_decode (message.data, i, START, &read)) << i;
  EXPECT_FALSE (quarantine_decode ("\x05\x00", 2, START, &read));
  rng_init (&rng, 1);
  for (int i = 0; i < 20000; i++)
    {
      std::string damaged (message.data, message.length);

      damaged[rng_below (&rng, damaged.size ())] = static_cast<char> (rng_below (&rng, 256));
      if (quarantine_decode (damaged.data (), damaged.size (), START, &read))
        {
          EXPECT_LE (read.n, static_cast<uint32_t> (QUARANTINE_MESSAGE_SUSPECTS_MAX));
          for (uint32_t j = 0; j < read.n; j++)
            EXPECT_LE (read.suspects[j].n_crashes, static_cast<uint32_t> (QUARANTINE_CRASHES_MAX));
        }
    }
}

}
