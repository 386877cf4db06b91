// The journal and snapshots on disks with torn writes, flipped bits, failed syncs and no space.
#include "disk_fake.h"
#include "journal.h"
#include "rng.h"
#include "snapshot.h"
#include <gtest/gtest.h>
#include <string>
#include <talloc.h>
#include <unistd.h>

namespace
{

constexpr uint64_t id = 77;
constexpr uint32_t segment_bytes = 1024;
constexpr size_t header_bytes = 64;
constexpr const char *first_segment = "journal-0000000000000001";

class Journal : public testing::Test
{
protected:
  void
  SetUp () override
  {
    parent = talloc_new (nullptr);
    disk = disk_fake_new (parent, 1);
  }

  void
  TearDown () override
  {
    talloc_free (parent);
  }

  enum status
  open (const struct raft_snapshot &snapshot = {})
  {
    enum status status;

    talloc_free (journal);
    journal = journal_open (parent, disk, id, segment_bytes, &snapshot, &found, &status);
    return status;
  }

  // Commits a batch of one entry whose data is the index as text.
  enum status
  append (uint64_t index, uint64_t term)
  {
    std::string text = std::to_string (index);
    struct raft_entry entry = { index, term, RAFT_ENTRY_DATA, static_cast<uint32_t> (text.size ()),
                                text.data () };

    journal_add_entry (journal, &entry);
    return journal_commit (journal);
  }

  void *parent = nullptr;
  struct disk *disk = nullptr;
  struct journal *journal = nullptr;
  struct journal_recovery found = {};
};

TEST_F (Journal, ReadsBackWhatWasStoredOverSegments)
{
  struct raft_state state = { .term = 3, .vote = 9 };

  ASSERT_EQ (open (), STATUS_OK);
  EXPECT_TRUE (found.fresh);
  journal_add_state (journal, &state);
  for (uint64_t i = 1; i <= 100; i++)
    ASSERT_EQ (append (i, 3), STATUS_OK);
  EXPECT_GT (journal_segments (journal), 3u);
  ASSERT_EQ (open (), STATUS_OK);
  EXPECT_EQ (found.state.term, 3u);
  EXPECT_EQ (found.state.vote, 9u);
  ASSERT_EQ (raft_log_last (&found.log), 100u);
  EXPECT_EQ (std::string (static_cast<const char *> (raft_log_at (&found.log, 57)->data), 2), "57");
  EXPECT_EQ (found.torn_bytes, 0u);
}

TEST_F (Journal, LaterEntriesReplaceEarlierOnes)
{
  ASSERT_EQ (open (), STATUS_OK);
  for (uint64_t i = 1; i <= 10; i++)
    ASSERT_EQ (append (i, 1), STATUS_OK);
  ASSERT_EQ (append (4, 2), STATUS_OK);
  ASSERT_EQ (open (), STATUS_OK);
  EXPECT_EQ (raft_log_last (&found.log), 4u);
  EXPECT_EQ (raft_log_last_term (&found.log), 2u);
}

// A power failure during a write leaves a partial record at the end of the file.  The voter must
// start with everything that was synced, and append after the last valid record.
TEST_F (Journal, TornTailIsCutAtEveryLength)
{
  uint64_t full;

  ASSERT_EQ (open (), STATUS_OK);
  for (uint64_t i = 1; i <= 5; i++)
    ASSERT_EQ (append (i, 1), STATUS_OK);
  uint64_t good = journal_bytes (journal);
  ASSERT_EQ (append (6, 1), STATUS_OK);
  full = journal_bytes (journal);
  struct disk_fake *original = disk_fake_of (disk);
  for (uint64_t length = good; length < full; length++)
    {
      disk = disk_fake_copy (parent, original);
      disk_fake_truncate (disk_fake_of (disk), first_segment, length);
      ASSERT_EQ (open (), STATUS_OK) << length;
      EXPECT_EQ (raft_log_last (&found.log), 5u);
      EXPECT_EQ (found.torn_bytes, length - good);
      ASSERT_EQ (append (6, 2), STATUS_OK);
      ASSERT_EQ (open (), STATUS_OK);
      EXPECT_EQ (raft_log_last_term (&found.log), 2u);
    }
}

// A bit flips on the disk, in records that were synced.  Truncating there would silently discard
// acknowledged entries; the voter must refuse to start and report the segment and offset.
TEST_F (Journal, FlippedBitAnywhereInSyncedRecordsIsDamage)
{
  ASSERT_EQ (open (), STATUS_OK);
  for (uint64_t i = 1; i <= 9; i++)
    ASSERT_EQ (append (i, 1), STATUS_OK);
  uint64_t good = journal_bytes (journal);
  ASSERT_EQ (append (10, 1), STATUS_OK);
  struct disk_fake *original = disk_fake_of (disk);
  for (uint64_t offset = 0; offset < good; offset++)
    {
      disk = disk_fake_copy (parent, original);
      disk_fake_flip_bit (disk_fake_of (disk), first_segment, offset);
      enum status status = open ();
      // A flip in the version field reads as a newer format.
      EXPECT_TRUE (status == STATUS_CORRUPT
                   || (offset < header_bytes && status == STATUS_UNSUPPORTED))
          << offset << " " << status_text (status);
    }
  EXPECT_NE (std::string (status_message ()).find ("journal segment 1"), std::string::npos);
}

// As above in an older segment, where even the last record cannot be a torn tail.
TEST_F (Journal, FlippedBitInAnOlderSegmentIsDamage)
{
  ASSERT_EQ (open (), STATUS_OK);
  for (uint64_t i = 1; i <= 50; i++)
    ASSERT_EQ (append (i, 1), STATUS_OK);
  ASSERT_GT (journal_segments (journal), 1u);
  uint64_t size;
  ASSERT_EQ (disk->ops->size (disk, first_segment, &size), STATUS_OK);
  disk_fake_flip_bit (disk_fake_of (disk), first_segment, size - 20);
  EXPECT_EQ (open (), STATUS_CORRUPT);
}

// Records of one unsynced write can reach the disk out of order: the first torn, a later one
// complete.  None was acknowledged, so this is a torn tail and not damage.
TEST_F (Journal, CompleteRecordAfterATornOneOfTheSameBatchIsATornTail)
{
  ASSERT_EQ (open (), STATUS_OK);
  ASSERT_EQ (append (1, 1), STATUS_OK);
  uint64_t good = journal_bytes (journal);
  for (uint64_t i = 2; i <= 4; i++)
    {
      struct raft_entry entry = { i, 1, RAFT_ENTRY_DATA, 1, "x" };
      journal_add_entry (journal, &entry);
    }
  ASSERT_EQ (journal_commit (journal), STATUS_OK);
  disk_fake_flip_bit (disk_fake_of (disk), first_segment, good + 2);
  ASSERT_EQ (open (), STATUS_OK);
  EXPECT_EQ (raft_log_last (&found.log), 1u);
}

TEST_F (Journal, MissingSegmentAndForeignSegmentAreDamage)
{
  ASSERT_EQ (open (), STATUS_OK);
  for (uint64_t i = 1; i <= 60; i++)
    ASSERT_EQ (append (i, 1), STATUS_OK);
  struct disk_fake *original = disk_fake_of (disk);
  disk = disk_fake_copy (parent, original);
  ASSERT_EQ (disk->ops->remove (disk, "journal-0000000000000002"), STATUS_OK);
  EXPECT_EQ (open (), STATUS_CORRUPT);
  disk = disk_fake_copy (parent, original);
  ASSERT_EQ (disk->ops->remove (disk, first_segment), STATUS_OK);
  EXPECT_EQ (open (), STATUS_CORRUPT);
  disk = disk_fake_copy (parent, original);
  struct raft_snapshot none = {};
  enum status status;
  talloc_free (journal);
  journal = journal_open (parent, disk, id + 1, segment_bytes, &none, &found, &status);
  EXPECT_EQ (status, STATUS_CORRUPT);
}

// The disk is full.  The write that did not fit is undone, and the journal works again when there
// is space.
TEST_F (Journal, WriteToAFullDiskIsUndone)
{
  ASSERT_EQ (open (), STATUS_OK);
  ASSERT_EQ (append (1, 1), STATUS_OK);
  disk_fake_set_capacity (disk_fake_of (disk), journal_bytes (journal) + 20);
  EXPECT_EQ (append (2, 1), STATUS_DISK_FULL);
  EXPECT_FALSE (journal_failed (journal));
  disk_fake_set_capacity (disk_fake_of (disk), UINT64_MAX);
  EXPECT_EQ (append (2, 2), STATUS_OK);
  ASSERT_EQ (open (), STATUS_OK);
  EXPECT_EQ (raft_log_last (&found.log), 2u);
  EXPECT_EQ (raft_log_last_term (&found.log), 2u);
}

// A voter installs a snapshot while its disk is nearly full: the snapshot fits, the journal's next
// segment does not.  The journal must not fail permanently: it stays usable and unchanged, and can
// be reset once there is space.
TEST_F (Journal, ResetOnAFullDiskLeavesTheJournalUnchanged)
{
  ASSERT_EQ (open (), STATUS_OK);
  ASSERT_EQ (append (1, 1), STATUS_OK);
  disk_fake_set_capacity (disk_fake_of (disk), disk_fake_used (disk_fake_of (disk)));
  EXPECT_EQ (journal_reset (journal, 10, 1), STATUS_DISK_FULL);
  EXPECT_FALSE (journal_failed (journal));
  disk_fake_set_capacity (disk_fake_of (disk), UINT64_MAX);
  EXPECT_EQ (append (2, 1), STATUS_OK);
  EXPECT_EQ (journal_reset (journal, 10, 1), STATUS_OK);
  EXPECT_EQ (append (11, 1), STATUS_OK);
}

// After a failed sync, a second one may report success for data that the system has dropped.
TEST_F (Journal, FailedSyncIsNeverRetried)
{
  ASSERT_EQ (open (), STATUS_OK);
  disk_fake_fail_sync (disk_fake_of (disk));
  EXPECT_EQ (append (1, 1), STATUS_IO);
  uint64_t syncs = disk_fake_syncs (disk_fake_of (disk));
  EXPECT_EQ (append (2, 1), STATUS_IO);
  EXPECT_EQ (journal_reset (journal, 10, 1), STATUS_IO);
  EXPECT_EQ (disk_fake_syncs (disk_fake_of (disk)), syncs);
}

TEST_F (Journal, DamagedSnapshotIsDetected)
{
  struct raft_snapshot snapshot = { .index = 5, .term = 2, .members = {}, .length = 0 };
  struct raft_snapshot back;
  struct bytes payload;
  struct bytes read;
  uint64_t size;
  const char *name = "snapshot-0000000000000005";

  bytes_init (&payload, parent);
  bytes_init (&read, parent);
  bytes_append_text (&payload, "the machine");
  snapshot_seal (&payload);
  snapshot.length = payload.length;
  EXPECT_EQ (snapshot_load (disk, &back, &read), STATUS_NOT_FOUND);
  ASSERT_EQ (snapshot_store (disk, &snapshot, payload.data), STATUS_OK);
  ASSERT_EQ (snapshot_load (disk, &back, &read), STATUS_OK);
  EXPECT_EQ (back.index, 5u);
  EXPECT_EQ (std::string (read.data, read.length), std::string (payload.data, payload.length));
  ASSERT_EQ (disk->ops->size (disk, name, &size), STATUS_OK);
  struct disk_fake *original = disk_fake_of (disk);
  for (uint64_t offset = 0; offset < size; offset++)
    {
      struct disk *copy = disk_fake_copy (parent, original);

      disk_fake_flip_bit (disk_fake_of (copy), name, offset);
      bytes_clear (&read);
      enum status status = snapshot_load (copy, &back, &read);
      EXPECT_TRUE (status == STATUS_CORRUPT || status == STATUS_UNSUPPORTED) << offset;
    }
}

TEST_F (Journal, DamagedIdentityIsReported)
{
  struct journal_identity identity = { .id = 5, .group = 6, .starts = 7, .name = "v0" };
  struct journal_identity back;

  EXPECT_EQ (journal_identity_read (disk, &back), STATUS_NOT_FOUND);
  ASSERT_EQ (journal_identity_write (disk, &identity), STATUS_OK);
  ASSERT_EQ (journal_identity_read (disk, &back), STATUS_OK);
  EXPECT_EQ (back.starts, 7u);
  disk_fake_flip_bit (disk_fake_of (disk), "identity", 4);
  EXPECT_EQ (journal_identity_read (disk, &back), STATUS_CORRUPT);
}

class Folder : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_NE (mkdtemp (path), nullptr);
    parent = talloc_new (nullptr);
  }

  void
  TearDown () override
  {
    enum status status;
    struct disk *disk;

    talloc_free (parent);
    parent = talloc_new (nullptr);
    disk = disk_posix_new (parent, path, &status);
    if (disk != nullptr)
      for (const char *name : { "identity", first_segment, "journal-0000000000000002", "lock" })
        disk->ops->remove (disk, name);
    talloc_free (parent);
    rmdir (path);
  }

  char path[32] = "/tmp/cherryarch-test-XXXXXX";
  void *parent = nullptr;
};

// An operator starts the program twice with the same settings file.  Two writers would destroy the
// journal; the second must fail with a clear message, and can start once the first has ended.
TEST_F (Folder, SecondProcessOnOneFolderIsRefused)
{
  enum status status;
  struct disk *first = disk_posix_new (parent, path, &status);

  ASSERT_NE (first, nullptr);
  EXPECT_EQ (disk_posix_new (parent, path, &status), nullptr);
  EXPECT_EQ (status, STATUS_CONFLICT);
  EXPECT_NE (std::string (status_message ()).find ("another process"), std::string::npos);
  talloc_free (first);
  EXPECT_NE (disk_posix_new (parent, path, &status), nullptr);
}

TEST_F (Folder, JournalOnRealFilesReadsBack)
{
  enum status status;
  struct disk *disk = disk_posix_new (parent, path, &status);
  struct raft_snapshot none = {};
  struct journal_recovery found;
  struct journal *journal = journal_open (parent, disk, id, 1 << 20, &none, &found, &status);

  ASSERT_EQ (status, STATUS_OK) << status_message ();
  for (uint64_t i = 1; i <= 20; i++)
    {
      struct raft_entry entry = { i, 1, RAFT_ENTRY_DATA, 3, "abc" };
      journal_add_entry (journal, &entry);
    }
  ASSERT_EQ (journal_commit (journal), STATUS_OK);
  talloc_free (journal);
  journal = journal_open (parent, disk, id, 1 << 20, &none, &found, &status);
  ASSERT_EQ (status, STATUS_OK) << status_message ();
  EXPECT_EQ (raft_log_last (&found.log), 20u);
}

} // namespace
