// Registration of targets with several hosts, and the merge of their registrations.
#include "registry.h"
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>

namespace
{

struct registry_registration
registration (const char *id, const char *address, enum registry_state state, uint64_t sequence)
{
  struct registry_registration out = {};

  snprintf (out.id, sizeof out.id, "%s", id);
  snprintf (out.pool, sizeof out.pool, "p");
  snprintf (out.address, sizeof out.address, "%s", address);
  out.state = state;
  out.sequence = sequence;
  return out;
}

class RegistryTest : public ::testing::Test
{
protected:
  void *parent = talloc_new (nullptr);
  struct registry *registry = registry_new (parent);
  struct registry_target *target = nullptr;
  int64_t now = 100 * USEC_PER_SEC;

  void
  TearDown () override
  {
    talloc_free (parent);
  }

  enum registry_merge_result
  merge (const struct registry_registration &sent, int64_t age = 0)
  {
    return registry_merge (registry, &sent, age, now, &target);
  }
};

TEST_F (RegistryTest, RenewalsKeepATargetAlive)
{
  EXPECT_EQ (merge (registration ("i", "a:1", REGISTRY_READY, 1)), REGISTRY_MERGE_ADDED);
  now += 4 * USEC_PER_SEC;
  EXPECT_EQ (merge (registration ("i", "a:1", REGISTRY_READY, 2)), REGISTRY_MERGE_NONE);
  now += 4 * USEC_PER_SEC;
  EXPECT_EQ (registry_expire (registry, 5 * USEC_PER_SEC, now), 0u);
  now += 2 * USEC_PER_SEC;
  EXPECT_EQ (registry_expire (registry, 5 * USEC_PER_SEC, now), 1u);
  EXPECT_FALSE (registry_target_is_usable (target));
  EXPECT_EQ (merge (registration ("i", "a:1", REGISTRY_READY, 3)), REGISTRY_MERGE_CHANGED);
  EXPECT_TRUE (registry_target_is_usable (target));
}

// Short renewals carry a hash instead of the identity; freed targets are not found by it.
TEST_F (RegistryTest, FindsATargetByTheHashOfItsIdentity)
{
  uint64_t hash = registry_id_hash ("i-77");

  for (int i = 0; i < 300; i++)
    merge (registration (("i-" + std::to_string (i)).c_str (), ("a:" + std::to_string (i)).c_str (),
                         REGISTRY_READY, 1));
  ASSERT_NE (registry_find_by_hash (registry, hash), nullptr);
  EXPECT_STREQ (registry_find_by_hash (registry, hash)->registration.id, "i-77");
  now += REGISTRY_RETENTION + USEC_PER_SEC;
  registry_expire (registry, USEC_PER_SEC, now);
  EXPECT_EQ (registry_find_by_hash (registry, hash), nullptr);
}

// A target reports that it leaves.  An earlier renewal, delayed on a slow link, arrives afterwards;
// it must not make the target ready again, or work is sent to it while it shuts down.
TEST_F (RegistryTest, DelayedRenewalDoesNotRestoreLeavingTarget)
{
  merge (registration ("i", "a:1", REGISTRY_READY, 1));
  EXPECT_EQ (merge (registration ("i", "a:1", REGISTRY_LEAVING, 5)), REGISTRY_MERGE_CHANGED);
  EXPECT_EQ (merge (registration ("i", "a:1", REGISTRY_READY, 4)), REGISTRY_MERGE_STALE);
  EXPECT_EQ (target->registration.state, REGISTRY_LEAVING);
  merge (registration ("i", "a:1", REGISTRY_READY, 6));
  EXPECT_EQ (target->registration.state, REGISTRY_LEAVING);
}

// Addresses are reused.  A target crashes behind a partition, another starts at its address, and
// then a renewal of the first one arrives.  Requests for the pool of the second must not be routed
// by the record of the first.
TEST_F (RegistryTest, TargetFirstHeardLaterOwnsTheAddress)
{
  struct registry_target *first;

  merge (registration ("old", "a:1", REGISTRY_READY, 1));
  first = target;
  now += USEC_PER_SEC;
  merge (registration ("new", "a:1", REGISTRY_READY, 1));
  EXPECT_EQ (first->registration.state, REGISTRY_GONE);
  EXPECT_TRUE (registry_target_is_usable (target));
  merge (registration ("old", "a:1", REGISTRY_READY, 2), USEC_PER_SEC / 2);
  EXPECT_EQ (first->registration.state, REGISTRY_GONE);
}

struct registry_registration
started (struct registry_registration sent, uint64_t at)
{
  sent.started_unix_ms = at;
  return sent;
}

// A target crashes and restarts with the same identity; its sequence starts over.  If its renewals
// were ignored as old, it would get no work until the sequence catches up.
TEST_F (RegistryTest, RestartWithSameIdentityReplacesTheRegistration)
{
  merge (started (registration ("i", "a:1", REGISTRY_READY, 500), 1000));
  now += 10 * USEC_PER_SEC;
  registry_expire (registry, 5 * USEC_PER_SEC, now);
  EXPECT_EQ (merge (started (registration ("i", "a:2", REGISTRY_READY, 1), 2000)),
             REGISTRY_MERGE_CHANGED);
  EXPECT_TRUE (registry_target_is_usable (target));
  EXPECT_EQ (target->registration.sequence, 1u);
  EXPECT_STREQ (target->registration.address, "a:2");
  EXPECT_EQ (merge (started (registration ("i", "a:2", REGISTRY_READY, 2), 2000)),
             REGISTRY_MERGE_NONE);
}

// A registration of a target's previous start arrives late.  It must neither end the new start nor
// raise its sequence, or the new start's own registrations would be ignored as old.
TEST_F (RegistryTest, RegistrationsOfThePreviousStartAreIgnored)
{
  merge (started (registration ("i", "a:1", REGISTRY_LEAVING, 500), 1000));
  merge (started (registration ("i", "a:1", REGISTRY_READY, 1), 2000));
  EXPECT_TRUE (registry_target_is_usable (target));
  EXPECT_EQ (merge (started (registration ("i", "a:1", REGISTRY_GONE, 501), 1000)),
             REGISTRY_MERGE_STALE);
  EXPECT_EQ (merge (started (registration ("i", "a:1", REGISTRY_READY, 502), 1000)),
             REGISTRY_MERGE_STALE);
  EXPECT_TRUE (registry_target_is_usable (target));
  EXPECT_EQ (target->registration.sequence, 1u);
}

struct registry_registration
of_version (struct registry_registration sent, const char *version)
{
  sent.version_known = true;
  snprintf (sent.version, sizeof sent.version, "%s", version);
  return sent;
}

struct registry_version
named (uint64_t started, uint64_t sequence, const char *name)
{
  struct registry_version version = { registry_id_hash ("i"), started, sequence, "" };

  snprintf (version.name, sizeof version.name, "%s", name);
  return version;
}

// The record of a target comes without its version, from a host that knows none: this must not
// count as a version, nor replace the one that is known.
TEST_F (RegistryTest, ARecordWithoutAVersionLeavesTheVersionAsItIs)
{
  struct registry_version version = named (0, 1, "v2");

  merge (registration ("i", "a:1", REGISTRY_READY, 1));
  EXPECT_EQ (registry_target_version (target), nullptr);
  registry_merge_version (registry, &version, now);
  EXPECT_STREQ (registry_target_version (target), "v2");
  merge (registration ("i", "a:1", REGISTRY_READY, 2));
  EXPECT_STREQ (registry_target_version (target), "v2");
}

// A target renews with another version: the newest registration counts, and it is a change.
TEST_F (RegistryTest, TheNewestRegistrationNamesTheVersion)
{
  struct registry_version older = named (0, 3, "v1");

  merge (of_version (registration ("i", "a:1", REGISTRY_READY, 2), "v1"));
  EXPECT_EQ (merge (of_version (registration ("i", "a:1", REGISTRY_READY, 3), "v1")),
             REGISTRY_MERGE_NONE);
  EXPECT_EQ (merge (of_version (registration ("i", "a:1", REGISTRY_READY, 4), "v2")),
             REGISTRY_MERGE_CHANGED);
  registry_merge_version (registry, &older, now);
  EXPECT_STREQ (registry_target_version (target), "v2");
}

// A target restarts with the same identity: the version of its earlier start is not its own.
TEST_F (RegistryTest, AVersionBelongsToOneStart)
{
  struct registry_version version = named (1000, 9, "v1");

  merge (started (of_version (registration ("i", "a:1", REGISTRY_READY, 9), "v1"), 1000));
  merge (started (registration ("i", "a:1", REGISTRY_READY, 1), 2000));
  EXPECT_EQ (registry_target_version (target), nullptr);
  registry_merge_version (registry, &version, now);
  EXPECT_EQ (registry_target_version (target), nullptr);
  version.started = 2000;
  registry_merge_version (registry, &version, now);
  EXPECT_STREQ (registry_target_version (target), "v1");
}

// Targets that ended count as long as they are remembered: a stream may have begun there.
TEST_F (RegistryTest, APoolHasASingleVersionWhileAllItsTargetsHadIt)
{
  EXPECT_EQ (registry_single_version (registry, "p", now), nullptr);
  merge (of_version (registration ("i", "a:1", REGISTRY_READY, 1), "v1"));
  EXPECT_STREQ (registry_single_version (registry, "p", now), "v1");
  EXPECT_EQ (registry_single_version (registry, "q", now), nullptr);
  merge (of_version (registration ("j", "a:2", REGISTRY_GONE, 1), "v2"));
  EXPECT_EQ (registry_single_version (registry, "p", now), nullptr);
  now += REGISTRY_RETENTION + 1;
  merge (of_version (registration ("i", "a:1", REGISTRY_READY, 2), "v1"));
  registry_expire (registry, USEC_PER_SEC, now);
  EXPECT_STREQ (registry_single_version (registry, "p", now), "v1");
  merge (registration ("k", "a:3", REGISTRY_READY, 1));
  EXPECT_EQ (registry_single_version (registry, "p", now), nullptr);
}

TEST_F (RegistryTest, ATargetThatChangedItsVersionHadSeveral)
{
  merge (of_version (registration ("i", "a:1", REGISTRY_READY, 1), "v1"));
  merge (of_version (registration ("i", "a:1", REGISTRY_READY, 2), "v2"));
  EXPECT_EQ (registry_single_version (registry, "p", now), nullptr);
  now += REGISTRY_RETENTION + 1;
  EXPECT_STREQ (registry_single_version (registry, "p", now), "v2");
}

TEST_F (RegistryTest, VersionSurvivesEncodingAndDecoding)
{
  struct bytes out;
  struct pack_reader in;
  struct registry_version read;

  merge (started (of_version (registration ("i", "a:1", REGISTRY_READY, 3), "v1.10"), 77));
  bytes_init (&out, parent);
  registry_write_version (target, &out);
  pack_reader_init (&in, out.data, out.length);
  ASSERT_TRUE (registry_read_version (&in, &read));
  EXPECT_EQ (read.id_hash, registry_id_hash ("i"));
  EXPECT_EQ (read.started, 77u);
  EXPECT_EQ (read.sequence, 3u);
  EXPECT_STREQ (read.name, "v1.10");
  pack_reader_init (&in, out.data, out.length - 1);
  EXPECT_FALSE (registry_read_version (&in, &read));
}

TEST_F (RegistryTest, GoneTargetIsKeptForABoundedTime)
{
  merge (registration ("i", "a:1", REGISTRY_READY, 1));
  merge (registration ("i", "a:1", REGISTRY_GONE, 1));
  now += REGISTRY_RETENTION / 2;
  registry_expire (registry, USEC_PER_SEC, now);
  ASSERT_NE (registry_find (registry, "i"), nullptr);
  EXPECT_NE (merge (registration ("i", "a:1", REGISTRY_READY, 9)), REGISTRY_MERGE_ADDED);
  EXPECT_FALSE (registry_target_is_usable (target));
  now += 2 * REGISTRY_RETENTION;
  registry_expire (registry, USEC_PER_SEC, now);
  EXPECT_EQ (registry_find (registry, "i"), nullptr);
}

TEST_F (RegistryTest, RegistrationSurvivesEncodingAndDecoding)
{
  struct bytes out;
  struct pack_reader in;
  struct registry_registration read;
  int64_t age;

  merge (started (registration ("i", "a:1", REGISTRY_LEAVING, 3), 1234567890123));
  now += 7;
  bytes_init (&out, parent);
  registry_write (target, now, &out);
  pack_reader_init (&in, out.data, out.length);
  ASSERT_TRUE (registry_read (&in, &read, &age));
  EXPECT_STREQ (read.id, "i");
  EXPECT_EQ (read.state, REGISTRY_LEAVING);
  EXPECT_EQ (read.started_unix_ms, 1234567890123u);
  EXPECT_EQ (age, 7);
  pack_reader_init (&in, out.data, out.length - 1);
  EXPECT_FALSE (registry_read (&in, &read, &age));
}

struct registry_registration
cold_registration (uint64_t sequence, int64_t left)
{
  struct registry_registration out = registration ("i", "a:1", REGISTRY_READY, sequence);

  out.warmup_remaining = left;
  return out;
}

// Renewals repeat what is left; counted anew from each, a target would never be warm.
TEST_F (RegistryTest, ColdTimeCountsFromWhenItWasHeard)
{
  const int64_t until = now + 3 * USEC_PER_SEC;

  merge (cold_registration (1, 3 * USEC_PER_SEC));
  now += USEC_PER_SEC;
  EXPECT_EQ (merge (cold_registration (2, 2 * USEC_PER_SEC)), REGISTRY_MERGE_NONE);
  EXPECT_EQ (target->cold_until, until);
  now += USEC_PER_SEC;
  EXPECT_EQ (merge (cold_registration (3, USEC_PER_SEC + 200 * USEC_PER_MSEC), 0),
             REGISTRY_MERGE_NONE);
  struct registry_registration renewal = cold_registration (4, 3 * USEC_PER_SEC);
  renewal.is_short = true;
  now += USEC_PER_SEC / 2;
  EXPECT_EQ (merge (renewal), REGISTRY_MERGE_NONE);
  EXPECT_EQ (target->cold_until, until + 200 * USEC_PER_MSEC);
}

// A target that turns cold again is pushed as a full record, also if its short renewal, of the next
// sequence and from another controller, came first; and if it stays cold longer by small steps.
TEST_F (RegistryTest, ATargetThatTurnsColdCountsAsAChange)
{
  struct registry_registration renewal = cold_registration (8, 0);
  uint64_t revision;

  merge (cold_registration (1, 0));
  now += 20 * USEC_PER_SEC;
  renewal.is_short = true;
  EXPECT_EQ (merge (renewal), REGISTRY_MERGE_NONE);
  revision = target->revision;
  EXPECT_EQ (merge (cold_registration (7, 2 * USEC_PER_SEC), USEC_PER_SEC), REGISTRY_MERGE_CHANGED);
  EXPECT_GT (target->revision, revision);
  EXPECT_EQ (registry_cold_left (target, now), USEC_PER_SEC);
  EXPECT_EQ (target->registration.sequence, 8u);
  EXPECT_EQ (merge (cold_registration (9, USEC_PER_SEC + 200 * USEC_PER_MSEC)),
             REGISTRY_MERGE_NONE);
  EXPECT_EQ (merge (cold_registration (10, USEC_PER_SEC + 400 * USEC_PER_MSEC)),
             REGISTRY_MERGE_CHANGED);
  EXPECT_EQ (merge (cold_registration (9, 9 * USEC_PER_SEC)), REGISTRY_MERGE_STALE);
}

// The record that is passed on holds the age of the last renewal beside what is left.
TEST_F (RegistryTest, ARecordCarriesWhatIsLeft)
{
  void *memory = talloc_new (nullptr);
  struct registry *other = registry_new (memory);
  struct registry_registration read;
  struct registry_target *copy;
  struct pack_reader in;
  struct bytes out;
  int64_t age;

  merge (cold_registration (1, 3 * USEC_PER_SEC));
  now += USEC_PER_SEC;
  merge (cold_registration (2, 2 * USEC_PER_SEC));
  bytes_init (&out, memory);
  registry_write (target, now + USEC_PER_SEC / 2, &out);
  pack_reader_init (&in, out.data, out.length);
  ASSERT_TRUE (registry_read (&in, &read, &age));
  registry_merge (other, &read, age, 7 * USEC_PER_SEC, &copy);
  EXPECT_EQ (registry_cold_left (copy, 7 * USEC_PER_SEC), 3 * USEC_PER_SEC / 2);
  talloc_free (memory);
}

// An answer to a request that was sent before the announcement must not end the cold time that this
// one began; a later one does.  A longer time always counts.
TEST_F (RegistryTest, TheNewerOfAnswerAndAnnouncementCounts)
{
  merge (cold_registration (1, 2 * USEC_PER_SEC));
  registry_hear_cold (registry, target, 0, now - 1, now + 10);
  EXPECT_EQ (target->cold_until, now + 2 * USEC_PER_SEC);
  registry_hear_cold (registry, target, 0, now + 5, now + 10);
  EXPECT_EQ (registry_cold_left (target, now + 10), 0);
  EXPECT_EQ (merge (cold_registration (2, 2 * USEC_PER_SEC), 10), REGISTRY_MERGE_NONE);
  EXPECT_EQ (registry_cold_left (target, now + 10), 0);
  registry_hear_cold (registry, target, USEC_PER_SEC, now - 9, now + 20);
  EXPECT_EQ (registry_cold_left (target, now + 20), USEC_PER_SEC);
}

// A time or an age that is out of range, from a controller of another release, must not overflow.
TEST_F (RegistryTest, AnyColdTimeIsKept)
{
  merge (cold_registration (1, INT64_MAX));
  EXPECT_EQ (target->cold_until, INT64_MAX);
  EXPECT_EQ (merge (cold_registration (2, 0), INT64_MAX), REGISTRY_MERGE_NONE);
}

}
