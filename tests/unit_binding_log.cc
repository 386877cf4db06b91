// The log of bindings on a disk that loses power, fails, fills up and stalls.
#include "binding_log.h"
#include "disk_fake.h"
#include "held_worker.h"
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
constexpr int64_t LIFETIME = 120 * SEC;

struct binding_log_entry
entry_of (int number)
{
  struct binding_log_entry entry = {};

  binding_key_compute ("org", "route", std::to_string (number).c_str (), &entry.key);
  snprintf (entry.binding.pool, sizeof entry.binding.pool, "p");
  snprintf (entry.binding.target, sizeof entry.binding.target, "t%d", number);
  snprintf (entry.binding.version, sizeof entry.binding.version, "v%d", number);
  entry.binding.version_known = true;
  entry.binding.started = 7;
  entry.lifetime = LIFETIME;
  return entry;
}

class BindingLogTest : public ::testing::Test
{
protected:
  struct listener
  {
    struct binding_log_listener base; // must be first
    std::vector<struct binding_log_entry> entries;
    std::vector<int64_t> ages;
    int loaded = 0;
  };

  static inline int64_t wall = 0;
  int64_t now = 10 * SEC;
  void *parent = talloc_new (nullptr);
  struct disk *disk = disk_fake_new (parent, 5);
  struct disk_fake *fake = disk_fake_of (disk);
  struct timer_service *timers = nullptr;
  std::unique_ptr<held_worker> worker;
  std::unique_ptr<struct listener> found;
  void *run = nullptr; // of one process
  struct binding_log *log = nullptr;
  uint64_t free_bytes_min = 0;

  void
  SetUp () override
  {
    wall = 1000 * SEC;
    start ();
  }

  void
  TearDown () override
  {
    talloc_free (run);
    talloc_free (parent);
  }

  // A process starts, after the one before has ended.
  void
  start ()
  {
    static const struct binding_log_listener_ops ops = {
      .restored =
          [] (struct binding_log_listener *base, const struct binding_log_entry *entry, int64_t age,
              int64_t) {
            reinterpret_cast<struct listener *> (base)->entries.push_back (*entry);
            reinterpret_cast<struct listener *> (base)->ages.push_back (age);
          },
      .loaded = [] (struct binding_log_listener *base,
                    int64_t) { reinterpret_cast<struct listener *> (base)->loaded++; },
    };
    struct binding_log_config config = {};

    talloc_free (run);
    run = talloc_new (nullptr);
    timers = timer_service_new (run);
    worker = std::make_unique<held_worker> ();
    found = std::make_unique<struct listener> ();
    found->base.ops = &ops;
    config.disk = disk;
    config.worker = &worker->worker;
    config.free_bytes_min = free_bytes_min;
    config.wall_clock = [] { return wall; };
    config.timers = timers;
    config.counters = counters_new (run);
    config.listener = &found->base;
    log = binding_log_new (run, &config);
  }

  void
  advance (int64_t span)
  {
    for (int64_t until = now + span; now < until;)
      {
        int64_t step = until - now < SEC / 100 ? until - now : SEC / 100;

        now += step;
        wall += step;
        timer_service_run (timers, now);
      }
  }

  void
  add (int number)
  {
    struct binding_log_entry entry = entry_of (number);

    binding_log_add (log, &entry, now);
  }

  void
  restart (int64_t downtime)
  {
    wall += downtime;
    now = 3 * SEC;
    start ();
    advance (SEC);
  }

  std::vector<std::string>
  versions () const
  {
    std::vector<std::string> out;

    for (const auto &entry : found->entries)
      out.emplace_back (entry.binding.version);
    return out;
  }

  std::vector<std::string>
  files ()
  {
    std::vector<std::string> out;

    disk->ops->list (
        disk,
        [] (void *context, const char *name) {
          static_cast<std::vector<std::string> *> (context)->emplace_back (name);
        },
        &out);
    return out;
  }
};

// Guards against bindings that a loss of power of all hosts forgets.
TEST_F (BindingLogTest, WhatWasSyncedIsFoundAfterALossOfPower)
{
  advance (SEC);
  for (int i = 0; i < 3; i++)
    add (i);
  advance (SEC);
  disk_fake_crash (fake);
  restart (2 * SEC);
  EXPECT_EQ (versions (), (std::vector<std::string>{ "v0", "v1", "v2" }));
  EXPECT_EQ (found->loaded, 1);
  EXPECT_STREQ (found->entries[1].binding.target, "t1");
  EXPECT_EQ (found->entries[1].binding.started, 7u);
  struct binding_log_entry second = entry_of (1);

  EXPECT_EQ (memcmp (&found->entries[1].key, &second.key, BINDING_KEY_SIZE), 0);
  EXPECT_EQ (found->entries[1].lifetime, LIFETIME);
}

// Guards against a sync for each stream: bindings that come together share one.
TEST_F (BindingLogTest, ManyBindingsShareASync)
{
  advance (SEC);
  uint64_t before = disk_fake_syncs (fake);

  for (int i = 0; i < 1000; i++)
    {
      add (i);
      if (i % 100 == 99)
        advance (SEC / 100);
    }
  advance (SEC);
  EXPECT_LE (disk_fake_syncs (fake) - before, 8u);
  restart (0);
  EXPECT_EQ (found->entries.size (), 1000u);
}

// Guards against bindings that are lost, or restored twice, over several restarts.
TEST_F (BindingLogTest, EachRunFindsThoseOfAllEarlierOnes)
{
  for (int i = 0; i < 4; i++)
    {
      advance (SEC);
      add (i);
      restart (SEC);
      add (10 + i);
      advance (SEC);
      restart (SEC);
    }
  EXPECT_EQ (found->entries.size (), 4u); // what was added right before an end was not handed over
  EXPECT_EQ (versions ().back (), "v13");
}

// Guards against a torn or damaged record that costs more than those after it in its file.
TEST_F (BindingLogTest, DamageCostsTheRestOfItsFileAlone)
{
  advance (SEC);
  for (int i = 0; i < 3; i++)
    add (i);
  advance (SEC);
  std::string first = files ().at (0);

  restart (SEC);
  add (3);
  advance (SEC);
  disk_fake_flip_bit (fake, first.c_str (), disk_fake_used (fake) / 2);
  restart (SEC);
  ASSERT_GE (found->entries.size (), 2u);
  EXPECT_LE (found->entries.size (), 3u);
  EXPECT_EQ (versions ().front (), "v0");
  EXPECT_EQ (versions ().back (), "v3");
  for (const auto &name : files ())
    disk_fake_truncate (fake, name.c_str (), 10);
  restart (SEC);
  EXPECT_TRUE (found->entries.empty ());
  EXPECT_EQ (found->loaded, 1);
}

// Guards against a restart that makes bindings young again, or a clock that was set and ends them.
TEST_F (BindingLogTest, ABindingIsAsOldAsItsStream)
{
  advance (SEC);
  add (0);
  advance (20 * SEC);
  add (1);
  advance (SEC);
  int64_t written = wall;

  restart (4 * SEC);
  ASSERT_EQ (found->ages.size (), 2u);
  EXPECT_NEAR ((double) found->ages[0] / SEC, 25, 1.5);
  EXPECT_NEAR ((double) found->ages[1] / SEC, 5, 1.5);
  wall = written - 1000 * SEC;
  restart (0);
  EXPECT_EQ (found->entries.size (), 2u);
  EXPECT_NEAR ((double) found->ages[0] / SEC, 20, 1.5);
  wall = written + 100000 * SEC;
  restart (0);
  ASSERT_EQ (found->entries.size (), 2u);
  EXPECT_LE (found->ages[1], BINDING_LOG_DOWNTIME_MAX);
}

// Guards against bindings that outlive their lifetime, and files of which nothing is needed.
TEST_F (BindingLogTest, WhatHasExpiredIsNeitherFoundNorKept)
{
  advance (SEC);
  add (0);
  advance (LIFETIME - 10 * SEC);
  add (1);
  advance (SEC);
  restart (15 * SEC);
  EXPECT_EQ (versions (), std::vector<std::string>{ "v1" });
  advance (LIFETIME + BINDING_LOG_SWEEP_PERIOD + SEC);
  EXPECT_TRUE (files ().empty ());
}

// Guards against a log that grows without bound under many streams.
TEST_F (BindingLogTest, TheLogIsBounded)
{
  advance (SEC);
  for (int i = 0; i < 60000; i++)
    {
      add (i);
      if (i % 50 == 49)
        advance (SEC / 20);
    }
  advance (SEC);
  EXPECT_LE (disk_fake_used (fake), BINDING_LOG_BYTES_MAX + BINDING_LOG_FILE_BYTES);
  restart (0);
  EXPECT_EQ (versions ().back (), "v59999");
}

// Guards against bindings that take the room of the configuration.
TEST_F (BindingLogTest, TheLogIsRemovedWhereTheDiskIsShortOfSpace)
{
  free_bytes_min = 1u << 20;
  restart (0);
  add (0);
  advance (SEC);
  EXPECT_EQ (files ().size (), 1u);
  disk_fake_set_reported (fake, free_bytes_min - 1);
  add (1);
  advance (SEC);
  EXPECT_TRUE (files ().empty ());
  disk_fake_set_reported (fake, UINT64_MAX);
  advance (BINDING_LOG_PAUSE);
  add (2);
  advance (SEC);
  restart (0);
  EXPECT_EQ (versions (), std::vector<std::string>{ "v2" });
}

// Guards against a full disk or a failed sync after which nothing is written any more.
TEST_F (BindingLogTest, WritesAgainAfterTheDiskFailed)
{
  advance (SEC);
  add (0);
  advance (SEC);
  disk_fake_fail_sync (fake);
  add (1);
  advance (SEC);
  add (2); // the disk is left alone for a while
  advance (BINDING_LOG_PAUSE);
  add (3);
  advance (SEC);
  restart (0);
  EXPECT_EQ (versions ().front (), "v0");
  EXPECT_EQ (versions ().back (), "v3");
  disk_fake_set_capacity (fake, disk_fake_used (fake));
  add (4);
  advance (SEC);
  disk_fake_set_capacity (fake, 64u << 20);
  advance (BINDING_LOG_PAUSE);
  add (5);
  advance (SEC);
  restart (0);
  EXPECT_EQ (versions (), std::vector<std::string>{ "v5" });
}

// Guards against a disk that is not left alone after a failure, for bindings that came meanwhile.
TEST_F (BindingLogTest, WhatWaitsDuringAFailedWriteIsNotWrittenAtOnce)
{
  advance (SEC);
  worker->holds = true;
  add (0);
  advance (SEC / 10);
  add (1);
  disk_fake_fail_sync (fake);
  worker->release (now);
  worker->holds = false;
  uint64_t before = disk_fake_changes (fake);

  advance (BINDING_LOG_PAUSE - SEC);
  EXPECT_EQ (disk_fake_changes (fake), before);
  advance (2 * SEC);
  add (2);
  advance (SEC);
  restart (0);
  EXPECT_EQ (versions ().back (), "v2");
}

// Guards against a write to a file of an earlier run that could not be listed.
TEST_F (BindingLogTest, NothingIsWrittenWhereTheFilesCannotBeListed)
{
  const struct disk_ops *sound = disk->ops;
  struct disk_ops failing = *sound;

  failing.list = [] (struct disk *, void (*) (void *, const char *), void *) {
    return status_fail (STATUS_IO, "list");
  };
  advance (SEC);
  add (0);
  advance (SEC);
  disk->ops = &failing;
  restart (0);
  EXPECT_EQ (found->loaded, 1);
  disk->ops = sound;
  uint64_t before = disk_fake_used (fake);

  add (1);
  advance (2 * BINDING_LOG_PAUSE);
  EXPECT_EQ (disk_fake_used (fake), before);
  restart (0);
  EXPECT_EQ (versions (), std::vector<std::string>{ "v0" });
}

// Guards against memory without bound, and a loop that waits, while the disk stalls.
TEST_F (BindingLogTest, AStalledDiskKeepsABoundedNumberWaiting)
{
  advance (SEC);
  worker->holds = true;
  for (int i = 0; i < 20000; i++)
    add (i);
  advance (SEC);
  for (int i = 0; i < 20000; i++)
    add (i);
  advance (SEC);
  EXPECT_LE (talloc_total_size (log), 4 * BINDING_LOG_PENDING_MAX);
  worker->holds = false;
  worker->release (now);
  advance (SEC);
  restart (0);
  EXPECT_GT (found->entries.size (), 1000u);
  EXPECT_EQ (versions ().front (), "v0");
}

// Guards against a caller that is told that its stream is not known before the disk was read.
TEST_F (BindingLogTest, IsLoadingUntilAllIsRestored)
{
  advance (SEC);
  add (0);
  advance (SEC);
  start ();
  worker->holds = true;
  advance (SEC);
  EXPECT_TRUE (binding_log_is_loading (log));
  EXPECT_EQ (found->loaded, 0);
  add (1); // is not lost
  worker->release (now);
  worker->holds = false;
  advance (SEC);
  EXPECT_FALSE (binding_log_is_loading (log));
  EXPECT_EQ (versions (), std::vector<std::string>{ "v0" });
  restart (0);
  EXPECT_EQ (versions (), (std::vector<std::string>{ "v0", "v1" }));
}

// Guards against use of freed memory where the process ends while the worker has a job.
TEST_F (BindingLogTest, MayEndDuringAWrite)
{
  advance (SEC);
  worker->holds = true;
  add (0);
  advance (SEC);
  ASSERT_NE (worker->job, nullptr);
  restart (0);
  EXPECT_EQ (found->loaded, 1);
}

}
