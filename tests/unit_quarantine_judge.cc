// Verdicts on requests with several features, of which one crashes targets; and the record of parts
// that were answered completely.
#include "proven_parts.h"
#include "quarantine.h"
#include "rng.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

const int64_t START = 7 * QUARANTINE_SUSPECT_TTL;
const int64_t RUN = 30 * USEC_PER_MSEC;

std::string
key_of (const struct request_digest &digest)
{
  return std::string (reinterpret_cast<const char *> (digest.bytes), REQUEST_DIGEST_SIZE);
}

// Numbers up to 99 are contents of requests, those above are parts.
struct request_digest
digest_of (int number)
{
  struct request_digest digest = {};

  if (number >= 100)
    request_part_digest ("p", (uint64_t) number, &digest);
  else
    memcpy (digest.bytes, &number, sizeof number);
  return digest;
}

const int A = 100;
const int BAD = 101;
const int C = 102;
const int OTHER_BAD = 103;

class QuarantineJudge : public ::testing::Test
{
protected:
  struct test_view : quarantine_view
  {
    std::map<std::string, int64_t> cleared_until;
    enum proven_pool pool = PROVEN_POOL_ANSWERS;
    std::vector<std::string> trials; // features whose trials this host makes
  } view;
  void *parent = talloc_new (nullptr);
  struct quarantine *table = quarantine_new (parent);
  uint64_t incarnation = 0;
  int64_t now = START;

  QuarantineJudge ()
  {
    static const struct quarantine_view_ops ops = {
      .cleared_until =
          [] (struct quarantine_view *base, const struct request_digest *feature) {
            auto *self = static_cast<test_view *> (base);
            auto found = self->cleared_until.find (key_of (*feature));

            return found == self->cleared_until.end () ? INT64_MIN : found->second;
          },
      .pool = [] (struct quarantine_view *base, const char *,
                  int64_t) { return static_cast<test_view *> (base)->pool; },
      .is_trial_host =
          [] (struct quarantine_view *base, const struct request_digest *feature) {
            auto *self = static_cast<test_view *> (base);

            return std::find (self->trials.begin (), self->trials.end (), key_of (*feature))
                   != self->trials.end ();
          },
    };

    view.ops = &ops;
  }

  ~QuarantineJudge () override
  {
    talloc_free (parent);
  }

  // A target crashes while it runs requests with these features, a second after the one before.
  void
  crash (const std::vector<int> &features)
  {
    now += USEC_PER_SEC;
    incarnation++;
    for (int number : features)
      merge (number, incarnation, now);
  }

  void
  merge (int number, uint64_t of, int64_t at)
  {
    struct quarantine_suspect suspect = {};
    struct quarantine_suspect *out;

    suspect.digest = digest_of (number);
    suspect.last_seen = at;
    suspect.n_crashes = 1;
    suspect.crashes[0] = { of, at - RUN, at, false };
    quarantine_merge (table, &suspect, at, &out);
  }

  struct quarantine_judgement
  judge (const std::vector<int> &numbers)
  {
    std::vector<struct request_feature> features;

    for (int number : numbers)
      features.push_back ({ digest_of (number), false });
    return quarantine_judge (table, features.data (), (uint32_t) features.size (), "p", &view, now);
  }

  enum quarantine_verdict
  verdict (const std::vector<int> &numbers)
  {
    return judge (numbers).verdict;
  }

  void
  clear (int number, int64_t until)
  {
    view.cleared_until[key_of (digest_of (number))] = until;
  }

  struct quarantine_suspect *
  suspect (int number)
  {
    struct request_digest digest = digest_of (number);

    return quarantine_find (table, &digest);
  }
};

TEST_F (QuarantineJudge, RefusesRequestsWithAHeldPartAlone)
{
  for (int i = 1; i <= QUARANTINE_CRASH_THRESHOLD; i++)
    {
      EXPECT_NE (verdict ({ 9, BAD }), QUARANTINE_REFUSE);
      crash ({ i, BAD });
    }
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, A, BAD, C }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_PASS);
  EXPECT_EQ (verdict ({ 9 }), QUARANTINE_PASS);
  EXPECT_EQ (verdict ({ 1 }), QUARANTINE_ISOLATE);
  EXPECT_TRUE (
      request_digest_equal (&judge ({ 9, A, BAD }).suspect->digest, &suspect (BAD)->digest));
}

// Nothing tells them apart yet but that one of them runs without the other.
TEST_F (QuarantineJudge, SendsAPartAloneThatWasPresentWheneverAHeldOneWas)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ A, BAD });
  EXPECT_EQ (verdict ({ 9, A, BAD }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_ISOLATE);
  suspect (A)->n_running = 1;
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_WAIT);
  suspect (A)->n_running = 0;
  crash ({ BAD });
  EXPECT_EQ (verdict ({ 9, BAD, C }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_ISOLATE);
}

TEST_F (QuarantineJudge, RefusesAPartWithCrashesThatNoOtherExplains)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ BAD, OTHER_BAD });
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ BAD });
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_REFUSE);
}

// Clients repeat each request a few times: each time its content explains the crashes as well.
TEST_F (QuarantineJudge, RefusesAPartWhoseRequestsAreRepeated)
{
  int crashes = 0;

  for (int content = 1; content <= 5; content++)
    for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
      if (verdict ({ content, BAD }) != QUARANTINE_REFUSE)
        {
          crash ({ content, BAD });
          crashes++;
        }
  EXPECT_LE (crashes, QUARANTINE_CRASH_THRESHOLD + 1);
}

// One request that comes again crashes targets by its body; another shares a rare part of its
// prompt.
TEST_F (QuarantineJudge, DoesNotRefuseAPartOfARequestThatCrashesTargets)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ 1, C });
  EXPECT_EQ (verdict ({ 1, C }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 2, C }), QUARANTINE_ISOLATE);
}

TEST_F (QuarantineJudge, RefusesEachOfTwoParts)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    {
      crash ({ BAD });
      crash ({ OTHER_BAD });
    }
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, OTHER_BAD }), QUARANTINE_REFUSE);
}

// Crashes before and shortly after a complete answer, as this host knows of it.
TEST_F (QuarantineJudge, DoesNotCountCrashesOfAPartThatWasAnswered)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ A, BAD });
  clear (A, now);
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_PASS);
  EXPECT_EQ (verdict ({ 9, A, BAD }), QUARANTINE_REFUSE);
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ A, BAD });
  clear (BAD, now);
  EXPECT_EQ (verdict ({ 9, A, C }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_PASS);
}

// Its targets may crash under any request.
TEST_F (QuarantineJudge, RefusesNoPartWhereThePoolIsNotKnownToAnswer)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ 1, A });
  view.pool = PROVEN_POOL_UNKNOWN;
  EXPECT_EQ (verdict ({ 9, A }), QUARANTINE_ISOLATE);
  suspect (A)->n_running = 1;
  EXPECT_EQ (verdict ({ 9, A }), QUARANTINE_WAIT);
  EXPECT_EQ (verdict ({ 1, A }), QUARANTINE_REFUSE);
}

// A host that seldom has requests for the pool refuses a held part, unless the pool's targets crash
// under anything.
TEST_F (QuarantineJudge, RefusesAPartOfASilentPoolUnlessManyAreHeld)
{
  view.pool = PROVEN_POOL_SILENT;
  for (int part = 200; part < 200 + QUARANTINE_HELD_PARTS_MAX; part++)
    for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
      crash ({ part });
  EXPECT_EQ (verdict ({ 9, 200 }), QUARANTINE_REFUSE);
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ 300 });
  EXPECT_EQ (verdict ({ 9, 200 }), QUARANTINE_ISOLATE);
  view.pool = PROVEN_POOL_ANSWERS;
  EXPECT_EQ (verdict ({ 9, 200 }), QUARANTINE_REFUSE);
}

// Two requests crash targets by their content, often the same ones.
TEST_F (QuarantineJudge, RefusesRequestsThatCrashTheSameTargets)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ 1, 2 });
  EXPECT_EQ (verdict ({ 1 }), QUARANTINE_REFUSE);
  EXPECT_EQ (verdict ({ 2 }), QUARANTINE_REFUSE);
}

// Two parts, each in requests of its own, crash targets that run both.
TEST_F (QuarantineJudge, RefusesPartsThatCrashTheSameTargets)
{
  int crashes = 0;

  for (int i = 0; i < 20; i++)
    if (verdict ({ 8, BAD }) != QUARANTINE_REFUSE
        || verdict ({ 9, OTHER_BAD }) != QUARANTINE_REFUSE)
      {
        crash ({ BAD, OTHER_BAD });
        crashes++;
      }
  EXPECT_LE (crashes, QUARANTINE_EXPLAINED_CRASHES_MAX);
}

// Each held part may be what crashes targets, so all of them have to be due at one host.
TEST_F (QuarantineJudge, TriesARequestOnlyWhereAllItsHeldPartsAreDue)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    {
      crash ({ BAD });
      crash ({ OTHER_BAD });
    }
  now += QUARANTINE_FIRST_TRIAL_DELAY;
  view.trials = { key_of (digest_of (BAD)) };
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_TRIAL);
  EXPECT_EQ (verdict ({ 9, BAD, OTHER_BAD }), QUARANTINE_REFUSE);
  view.trials.push_back (key_of (digest_of (OTHER_BAD)));
  EXPECT_EQ (verdict ({ 9, BAD, OTHER_BAD }), QUARANTINE_TRIAL);
}

// Hosts learn of the same crashes in different orders, some of them twice.
TEST_F (QuarantineJudge, GivesOneVerdictForAnyOrderOfTheEvidence)
{
  std::vector<std::pair<int, int>> evidence; // feature, number of the crash
  struct rng rng;

  rng_init (&rng, 1);
  for (int i = 0; i < 6; i++)
    {
      evidence.emplace_back (BAD, i);
      evidence.emplace_back (i % 2 == 0 ? A : C, i);
      evidence.emplace_back (1 + i % 2, i);
    }
  for (int round = 0; round < 50; round++)
    {
      for (size_t i = evidence.size () - 1; i > 0; i--)
        std::swap (evidence[i], evidence[rng_below (&rng, i + 1)]);
      table = quarantine_new (parent);
      for (size_t i = 0; i < evidence.size () * 2; i++)
        {
          const auto &[feature, number] = evidence[i % evidence.size ()];

          merge (feature, (uint64_t) number + 1, START + number * USEC_PER_SEC);
        }
      now = START + 6 * USEC_PER_SEC;
      EXPECT_EQ (verdict ({ 9, BAD, A }), QUARANTINE_REFUSE);
      EXPECT_EQ (verdict ({ 9, A }), QUARANTINE_ISOLATE);
      EXPECT_EQ (verdict ({ 9, C }), QUARANTINE_ISOLATE);
      EXPECT_EQ (verdict ({ 1 }), QUARANTINE_ISOLATE);
    }
}

// One organisation sends requests with ever new parts, and targets end: held parts stay.
TEST_F (QuarantineJudge, KeepsHeldPartsWhenManyContentsAndPartsAreSuspected)
{
  for (int i = 0; i < QUARANTINE_CRASH_THRESHOLD; i++)
    crash ({ BAD });
  for (int i = 0; i < 3 * QUARANTINE_SUSPECTS_MAX; i++)
    {
      merge (1 + i % 99, (uint64_t) (1000 + i), now);
      merge (1000 + i, (uint64_t) (1000 + i), now);
    }
  EXPECT_EQ (verdict ({ 9, BAD }), QUARANTINE_REFUSE);
}

// Suspects of one kind do not make room for those of the other.
TEST_F (QuarantineJudge, KeepsSuspectedPartsWhenManyContentsAreSuspected)
{
  crash ({ BAD });
  for (int i = 0; i < 2 * QUARANTINE_ORGANISATION_SUSPECTS_MAX; i++)
    {
      struct quarantine_suspect content = {};
      struct quarantine_suspect *out;
      uint64_t number = (uint64_t) i + 1;

      memcpy (content.digest.bytes + 8, &number, sizeof number);
      content.last_seen = now;
      content.n_crashes = 1;
      content.crashes[0] = { 5000 + number, now - RUN, now, false };
      quarantine_merge (table, &content, now, &out);
    }
  EXPECT_EQ (verdict ({ BAD }), QUARANTINE_ISOLATE);
}

TEST (PartDigest, DependsOnPoolAndNumber)
{
  struct request_digest a;
  struct request_digest b;
  uint64_t part;
  char text[REQUEST_PART_TEXT_SIZE];

  request_part_digest ("p", 0xbad, &a);
  request_part_digest ("q", 0xbad, &b);
  EXPECT_FALSE (request_digest_equal (&a, &b));
  request_part_digest ("p", 0xbae, &b);
  EXPECT_FALSE (request_digest_equal (&a, &b));
  ASSERT_TRUE (request_digest_is_part (&a, &part));
  EXPECT_EQ (part, 0xbadu);
  request_digest_format_part (&a, text);
  EXPECT_STREQ (text, "bad");
  a = digest_of (7);
  EXPECT_FALSE (request_digest_is_part (&a, &part));
  request_digest_format_part (&a, text);
  EXPECT_STREQ (text, "");
}

class ProvenParts : public ::testing::Test
{
protected:
  void *parent = talloc_new (nullptr);
  struct proven_parts *proven = proven_parts_new (parent);

  ~ProvenParts () override
  {
    talloc_free (parent);
  }
};

TEST_F (ProvenParts, AreNotBlamedForCrashesBeforeAndShortlyAfterTheirLastAnswer)
{
  struct request_digest a = digest_of (A);
  struct request_digest c = digest_of (C);
  int64_t later = START + PROVEN_PARTS_TTL;

  EXPECT_EQ (proven_parts_cleared_until (proven, &a), INT64_MIN);
  proven_parts_note (proven, &a, START);
  proven_parts_note (proven, &a, START - 1);
  proven_parts_note_pool (proven, "p", START);
  EXPECT_EQ (proven_parts_cleared_until (proven, &a), later);
  EXPECT_EQ (proven_parts_cleared_until (proven, &c), INT64_MIN);
  EXPECT_FALSE (proven_parts_may_blame (proven, "p", &a, START - 1));
  EXPECT_FALSE (proven_parts_may_blame (proven, "p", &a, later));
  EXPECT_TRUE (proven_parts_may_blame (proven, "p", &c, START));
  proven_parts_note_pool (proven, "p", START + 2);
  EXPECT_TRUE (proven_parts_may_blame (proven, "p", &a, later + 1));
}

// A pool whose targets crash under everything shows nothing about a part.
TEST_F (ProvenParts, AreNotBlamedWhereAPoolAnswersNothing)
{
  struct request_digest a = digest_of (A);

  EXPECT_TRUE (proven_parts_may_blame (proven, "p", &a, START));
  EXPECT_EQ (proven_parts_pool (proven, "p", START), PROVEN_POOL_UNKNOWN);
  proven_parts_note_pool (proven, "p", START);
  EXPECT_TRUE (proven_parts_may_blame (proven, "p", &a, START + PROVEN_PARTS_TTL));
  EXPECT_EQ (proven_parts_pool (proven, "p", START + PROVEN_PARTS_TTL), PROVEN_POOL_ANSWERS);
  EXPECT_FALSE (proven_parts_may_blame (proven, "p", &a, START + PROVEN_PARTS_TTL + 1));
  EXPECT_EQ (proven_parts_pool (proven, "p", START + PROVEN_PARTS_TTL + 1), PROVEN_POOL_SILENT);
  EXPECT_EQ (proven_parts_pool (proven, "q", START), PROVEN_POOL_UNKNOWN);
}

// Prompts bring ever new parts: those that come again stay.
TEST_F (ProvenParts, KeepPartsThatComeAgainAmongManyOthers)
{
  struct request_digest a = digest_of (A);

  for (int i = 0; i < 50 * PROVEN_PARTS_SETS; i++)
    {
      struct request_digest other = digest_of (1000 + i);

      proven_parts_note (proven, &other, START + i);
      if (i % PROVEN_PARTS_SETS == 0)
        proven_parts_note (proven, &a, START + i);
    }
  EXPECT_NE (proven_parts_cleared_until (proven, &a), INT64_MIN);
}

}
