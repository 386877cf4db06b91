/* Replay of the journal at a start. */
#include "journal_format.h"
#include "journal_private.h"
#include <inttypes.h>
#include <stdlib.h>
#include <talloc.h>

#define SEGMENT_FILE_BYTES_MAX (256u << 20)

struct numbers
{
  void *parent;
  uint64_t *list;
  uint32_t n;
  bool failed;
};

static void
collect_segment_number (void *context, const char *name)
{
  struct numbers *numbers = context;
  uint64_t *grown;
  char *end;
  uint64_t number;

  if (strncmp (name, JOURNAL_NAME_PREFIX, strlen (JOURNAL_NAME_PREFIX)) != 0)
    return;
  number = strtoull (name + strlen (JOURNAL_NAME_PREFIX), &end, 16);
  grown = *end != '\0' ? NULL
                       : talloc_realloc (numbers->parent, numbers->list, uint64_t, numbers->n + 1);
  if (grown == NULL)
    {
      numbers->failed = true;
      return;
    }
  numbers->list = grown;
  numbers->list[numbers->n++] = number;
}

static int
compare_numbers (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *) a;
  uint64_t y = *(const uint64_t *) b;

  return (x > y) - (x < y);
}

static enum status
corrupt (uint64_t number, uint64_t offset, const char *what)
{
  return status_fail (STATUS_CORRUPT, "journal segment %" PRIu64 " at byte %" PRIu64 ": %s", number,
                      offset, what);
}

/* The size of the complete record with a valid checksum at `offset`; 0 when there is none. */
static size_t
valid_record_size (const struct journal *journal, const struct bytes *file, uint64_t offset)
{
  const char *record = file->data + offset;
  size_t left = file->length - offset;
  uint32_t length;
  size_t size;

  if (left < RECORD_HEADER_SIZE)
    return 0;
  length = (uint32_t) format_get (record + RECORD_LENGTH * 8);
  size = record_size (length);
  if (length > RAFT_ENTRY_MAX || size > left)
    return 0;
  if (format_get (record) != record_checksum (record, size, journal->id, offset))
    return 0;
  return size;
}

/* True when a later record proves that the bad record at `bad` had been synced. */
static bool
was_synced (const struct journal *journal, const struct bytes *file, uint64_t bad)
{
  for (uint64_t at = bad + JOURNAL_ALIGN; at < file->length; at += JOURNAL_ALIGN)
    if (valid_record_size (journal, file, at) > 0
        && format_get (file->data + at + RECORD_SYNCED * 8) > bad)
      return true;
  return false;
}

static enum status
replay_header (struct journal *journal,
               uint64_t number,
               const struct bytes *file,
               bool first,
               struct journal_recovery *found)
{
  const char *words = file->data + JOURNAL_MAGIC_SIZE + 8;
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t version;

  if (file->length < SEGMENT_HEADER_SIZE || format_get (file->data) != JOURNAL_MAGIC)
    return corrupt (number, 0, "no segment header");
  version = format_get (file->data + JOURNAL_MAGIC_SIZE);
  if ((uint32_t) version > JOURNAL_VERSION)
    return status_fail (STATUS_UNSUPPORTED,
                        "journal has format %u, newer than this program supports",
                        (uint32_t) version);
  if (format_get (words + SEGMENT_CHECKSUM * 8)
      != XXH3_64bits (file->data, SEGMENT_HEADER_SIZE - 8))
    return corrupt (number, 0, "the checksum of the header does not match");
  if (format_get (words + SEGMENT_ID * 8) != journal->id)
    return corrupt (number, 0, "it belongs to another voter");
  prev_index = format_get (words + SEGMENT_PREV_INDEX * 8);
  prev_term = format_get (words + SEGMENT_PREV_TERM * 8);
  if (first || (version >> 32 & SEGMENT_RESET) != 0)
    raft_log_reset (&found->log, prev_index, prev_term);
  else if (prev_index != raft_log_last (&found->log))
    return corrupt (number, 0, "it does not continue the previous segment");
  found->state.term = format_get (words + SEGMENT_TERM * 8);
  found->state.vote = format_get (words + SEGMENT_VOTE * 8);
  if (journal_push_segment (journal, number, prev_index) == NULL)
    return status_fail (STATUS_NO_MEMORY, "no memory for a journal segment");
  return STATUS_OK;
}

static enum status
replay_entry (struct journal *journal,
              const char *record,
              uint32_t length,
              struct journal_recovery *found)
{
  uint64_t index = format_get (record + RECORD_INDEX * 8);
  uint64_t entry_kind = format_get (record + RECORD_LENGTH * 8) >> 48;

  if (index > raft_log_last (&found->log) + 1 || index == 0 || entry_kind >= RAFT_ENTRY_KIND_COUNT)
    return status_fail (STATUS_CORRUPT, "journal entry %" PRIu64 " is out of sequence", index);
  /* A leader replaced entries from before this segment, and the segment with the replaced ones was
   * removed since, below a snapshot: the header's previous entry no longer holds. */
  if (index <= found->log.base_index)
    {
      raft_log_reset (&found->log, index, format_get (record + RECORD_TERM * 8));
      return STATUS_OK;
    }
  raft_log_truncate (&found->log, index);
  return raft_log_append (talloc_parent (journal), &found->log,
                          format_get (record + RECORD_TERM * 8), (enum raft_entry_kind) entry_kind,
                          record + RECORD_HEADER_SIZE, length);
}

static enum status
replay_record (struct journal *journal, const char *record, struct journal_recovery *found)
{
  uint64_t word = format_get (record + RECORD_LENGTH * 8);

  switch (word >> 32 & 0xffff)
    {
    case RECORD_STATE:
      found->state.term = format_get (record + RECORD_TERM * 8);
      found->state.vote = format_get (record + RECORD_INDEX * 8);
      return STATUS_OK;
    case RECORD_ENTRY:
      return replay_entry (journal, record, (uint32_t) word, found);
    default:
      return status_fail (STATUS_CORRUPT, "unknown kind of journal record");
    }
}

static enum status
replay_records (struct journal *journal,
                uint64_t number,
                const struct bytes *file,
                bool last,
                struct journal_recovery *found)
{
  struct journal_segment *segment = &journal->segments[journal->n_segments - 1];
  uint64_t offset = SEGMENT_HEADER_SIZE;
  enum status status = STATUS_OK;

  while (status == STATUS_OK && offset < file->length)
    {
      size_t size = valid_record_size (journal, file, offset);

      if (size == 0)
        break;
      status = replay_record (journal, file->data + offset, found);
      offset += size;
    }
  segment->bytes = offset;
  if (status != STATUS_OK || offset >= file->length)
    return status;
  if (!last || was_synced (journal, file, offset))
    return corrupt (number, offset, "a record that was synced is damaged");
  found->torn_bytes = file->length - offset;
  return STATUS_OK;
}

static enum status
replay_segment (
    struct journal *journal, uint64_t number, bool first, bool last, struct journal_recovery *found)
{
  char name[DISK_NAME_SIZE];
  struct bytes file;
  enum status status;

  snprintf (name, sizeof name, JOURNAL_NAME_FORMAT, number);
  bytes_init (&file, journal);
  status = journal->disk->ops->read (journal->disk, name, 0, SEGMENT_FILE_BYTES_MAX, &file);
  if (status == STATUS_OK)
    status = replay_header (journal, number, &file, first, found);
  if (status == STATUS_OK)
    status = replay_records (journal, number, &file, last, found);
  bytes_clear (&file);
  return status;
}

/* Open the last segment for writing and truncate an unfinished write. */
static enum status
reopen_last_segment (struct journal *journal, uint64_t torn_bytes)
{
  struct journal_segment *segment = &journal->segments[journal->n_segments - 1];
  struct disk *disk = journal->disk;
  char name[DISK_NAME_SIZE];
  enum status status;

  snprintf (name, sizeof name, JOURNAL_NAME_FORMAT, segment->number);
  status = disk->ops->open (disk, name, &journal->file);
  if (status != STATUS_OK)
    {
      journal->file = -1;
      return status;
    }
  if (torn_bytes > 0)
    status = disk->ops->truncate (disk, journal->file, segment->bytes);
  /* Needed also without a torn tail: a record that was written but not synced before the crash may
   * be readable now and still be lost in a power failure. */
  if (status == STATUS_OK)
    status = disk->ops->sync (disk, journal->file);
  return status;
}

/* The log must contain the snapshot's last entry.  When it ends before it, or has another entry at
 * that index, a crash came between storing a leader's snapshot and resetting the journal. */
static enum status
reconcile_snapshot (struct journal *journal,
                    const struct raft_snapshot *snapshot,
                    struct journal_recovery *found)
{
  uint64_t term;

  if (found->log.base_index > snapshot->index)
    return status_fail (STATUS_CORRUPT,
                        "the journal begins after entry %" PRIu64 ", the snapshot ends at %" PRIu64,
                        found->log.base_index, snapshot->index);
  if (raft_log_term (&found->log, snapshot->index, &term) && term == snapshot->term)
    return STATUS_OK;
  raft_log_reset (&found->log, snapshot->index, snapshot->term);
  return journal_reset (journal, snapshot->index, snapshot->term);
}

enum status
journal_replay (struct journal *journal,
                const struct raft_snapshot *snapshot,
                struct journal_recovery *found)
{
  struct numbers numbers = { .parent = journal };
  enum status status;

  memset (found, 0, sizeof *found);
  raft_log_init (&found->log, 0, 0);
  status = journal->disk->ops->list (journal->disk, collect_segment_number, &numbers);
  if (status == STATUS_OK && numbers.failed)
    status = status_fail (STATUS_CORRUPT, "journal segment name is not \"" JOURNAL_NAME_PREFIX
                                          "\" and a hexadecimal number");
  if (numbers.n > 0)
    qsort (numbers.list, numbers.n, sizeof numbers.list[0], compare_numbers);
  for (uint32_t i = 0; status == STATUS_OK && i < numbers.n; i++)
    if (i > 0 && numbers.list[i] != numbers.list[i - 1] + 1)
      status = corrupt (numbers.list[i], 0, "the previous segment is missing");
    else
      status = replay_segment (journal, numbers.list[i], i == 0, i + 1 == numbers.n, found);
  talloc_free (numbers.list);
  found->fresh = numbers.n == 0;
  if (status != STATUS_OK || found->fresh)
    {
      if (status == STATUS_OK && snapshot->index > 0)
        status = status_fail (STATUS_CORRUPT, "there is a snapshot but no journal segment");
      return status;
    }
  journal->state = found->state;
  journal->last_index = raft_log_last (&found->log);
  journal->last_term = raft_log_last_term (&found->log);
  status = reopen_last_segment (journal, found->torn_bytes);
  if (status == STATUS_OK)
    status = reconcile_snapshot (journal, snapshot, found);
  return status;
}
