/* Writing of the journal. */
#include "journal.h"
#include "journal_format.h"
#include "journal_private.h"
#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

static int
free_journal (struct journal *journal)
{
  if (journal->file >= 0)
    journal->disk->ops->close (journal->disk, journal->file);
  return 0;
}

struct journal *
journal_open (void *parent,
              struct disk *disk,
              uint64_t id,
              uint32_t segment_bytes,
              const struct raft_snapshot *snapshot,
              struct journal_recovery *found,
              enum status *status)
{
  struct journal *journal = talloc_zero (parent, struct journal);

  if (journal == NULL)
    {
      *status = status_fail (STATUS_NO_MEMORY, "journal");
      return NULL;
    }
  journal->disk = disk;
  journal->id = id;
  journal->segment_bytes = segment_bytes;
  journal->file = -1;
  bytes_init (&journal->batch, journal);
  talloc_set_destructor (journal, free_journal);
  *status = journal_replay (journal, snapshot, found);
  if (*status == STATUS_OK && journal->file < 0)
    *status = journal_begin_segment (journal, 0);
  if (*status == STATUS_OK)
    return journal;
  talloc_free (journal);
  return NULL;
}

struct journal_segment *
journal_push_segment (struct journal *journal, uint64_t number, uint64_t prev_index)
{
  struct journal_segment *grown =
      talloc_realloc (journal, journal->segments, struct journal_segment, journal->n_segments + 1);

  if (grown == NULL)
    return NULL;
  journal->segments = grown;
  grown = &journal->segments[journal->n_segments++];
  *grown = (struct journal_segment){ .number = number, .prev_index = prev_index };
  return grown;
}

static void
write_header (const struct journal *journal, uint32_t flags, char *header)
{
  char *words = header + JOURNAL_MAGIC_SIZE + 8;

  format_put (header, JOURNAL_MAGIC);
  format_put (header + JOURNAL_MAGIC_SIZE, JOURNAL_VERSION | (uint64_t) flags << 32);
  format_put (words + SEGMENT_ID * 8, journal->id);
  format_put (words + SEGMENT_PREV_INDEX * 8, journal->last_index);
  format_put (words + SEGMENT_PREV_TERM * 8, journal->last_term);
  format_put (words + SEGMENT_TERM * 8, journal->state.term);
  format_put (words + SEGMENT_VOTE * 8, journal->state.vote);
  format_put (words + SEGMENT_CHECKSUM * 8, XXH3_64bits (header, SEGMENT_HEADER_SIZE - 8));
}

/* STATUS_DISK_FULL is returned like any other error; the callers decide whether to continue with
 * the segments that exist. */
enum status
journal_begin_segment (struct journal *journal, uint32_t flags)
{
  struct disk *disk = journal->disk;
  char header[SEGMENT_HEADER_SIZE];
  char name[DISK_NAME_SIZE];
  uint64_t number =
      journal->n_segments == 0 ? 1 : journal->segments[journal->n_segments - 1].number + 1;
  struct journal_segment *segment;
  enum status status;
  int file;

  write_header (journal, flags, header);
  snprintf (name, sizeof name, JOURNAL_NAME_FORMAT, number);
  status = disk_replace_file (disk, name, header, sizeof header);
  if (status == STATUS_OK)
    status = disk->ops->open (disk, name, &file);
  if (status != STATUS_OK)
    return status;
  segment = journal_push_segment (journal, number, journal->last_index);
  if (segment == NULL)
    {
      disk->ops->close (disk, file);
      return status_fail (STATUS_NO_MEMORY, "no memory for a journal segment");
    }
  segment->bytes = sizeof header;
  if (journal->file >= 0)
    disk->ops->close (disk, journal->file);
  journal->file = file;
  return STATUS_OK;
}

static void
add_record (struct journal *journal,
            uint64_t kinds,
            uint64_t index,
            uint64_t term,
            const void *payload,
            uint32_t length)
{
  static const char padding[JOURNAL_ALIGN];
  uint64_t synced = journal->segments[journal->n_segments - 1].bytes;
  size_t start = journal->batch.length;
  size_t size = record_size (length);
  char header[RECORD_HEADER_SIZE];
  char *record;

  format_put (header + RECORD_CHECKSUM * 8, 0);
  format_put (header + RECORD_LENGTH * 8, length | kinds);
  format_put (header + RECORD_SYNCED * 8, synced);
  format_put (header + RECORD_INDEX * 8, index);
  format_put (header + RECORD_TERM * 8, term);
  bytes_append (&journal->batch, header, sizeof header);
  bytes_append (&journal->batch, payload, length);
  bytes_append (&journal->batch, padding, size - RECORD_HEADER_SIZE - length);
  if (bytes_has_failed (&journal->batch))
    return;
  record = journal->batch.data + start;
  format_put (record, record_checksum (record, size, journal->id, synced + start));
}

/* An empty batch starts from the stored state. */
static void
begin_batch (struct journal *journal)
{
  if (journal->batch.length > 0)
    return;
  journal->batch_state = journal->state;
  journal->batch_index = journal->last_index;
  journal->batch_term = journal->last_term;
}

void
journal_add_state (struct journal *journal, const struct raft_state *state)
{
  begin_batch (journal);
  add_record (journal, (uint64_t) RECORD_STATE << 32, state->vote, state->term, NULL, 0);
  journal->batch_state = *state;
}

void
journal_add_entry (struct journal *journal, const struct raft_entry *entry)
{
  uint64_t kinds = (uint64_t) RECORD_ENTRY << 32 | (uint64_t) entry->kind << 48;

  begin_batch (journal);
  INVARIANT (entry->index <= journal->batch_index + 1);
  add_record (journal, kinds, entry->index, entry->term, entry->data, entry->length);
  journal->batch_index = entry->index;
  journal->batch_term = entry->term;
}

static enum status
fail_permanently (struct journal *journal, enum status status)
{
  journal->failed = true;
  return status == STATUS_DISK_FULL ? STATUS_IO : status;
}

/* Truncate a write that did not fit on the disk; no part of it was synced or acknowledged. */
static enum status
undo_write (struct journal *journal, uint64_t length)
{
  enum status status = journal->disk->ops->truncate (journal->disk, journal->file, length);

  bytes_clear (&journal->batch);
  if (status != STATUS_OK)
    return fail_permanently (journal, status);
  return status_fail (STATUS_DISK_FULL, "no space left in the data folder");
}

enum status
journal_commit (struct journal *journal)
{
  struct journal_segment *segment = &journal->segments[journal->n_segments - 1];
  struct disk *disk = journal->disk;
  enum status status;

  if (journal->failed)
    return status_fail (STATUS_IO, "an earlier write to the journal failed");
  if (bytes_has_failed (&journal->batch))
    return fail_permanently (journal,
                             status_fail (STATUS_NO_MEMORY, "no memory for a journal batch"));
  if (journal->batch.length == 0)
    return STATUS_OK;
  status = disk->ops->append (disk, journal->file, journal->batch.data, journal->batch.length);
  if (status == STATUS_DISK_FULL)
    return undo_write (journal, segment->bytes);
  if (status == STATUS_OK)
    status = disk->ops->sync (disk, journal->file);
  if (status != STATUS_OK)
    return fail_permanently (journal, status);
  segment->bytes += journal->batch.length;
  journal->state = journal->batch_state;
  journal->last_index = journal->batch_index;
  journal->last_term = journal->batch_term;
  bytes_clear (&journal->batch);
  if (segment->bytes < journal->segment_bytes)
    return STATUS_OK;
  /* On a full disk the current segment keeps growing. */
  status = journal_begin_segment (journal, 0);
  if (status != STATUS_OK && status != STATUS_DISK_FULL)
    return fail_permanently (journal, status);
  return STATUS_OK;
}

static enum status
remove_segments (struct journal *journal, uint32_t n)
{
  char name[DISK_NAME_SIZE];
  enum status status = STATUS_OK;
  uint32_t removed = 0;

  while (status == STATUS_OK && removed < n)
    {
      snprintf (name, sizeof name, JOURNAL_NAME_FORMAT, journal->segments[removed].number);
      status = journal->disk->ops->remove (journal->disk, name);
      removed += status == STATUS_OK;
    }
  journal->n_segments -= removed;
  memmove (journal->segments, journal->segments + removed,
           journal->n_segments * sizeof journal->segments[0]);
  return status;
}

enum status
journal_reset (struct journal *journal, uint64_t index, uint64_t term)
{
  uint64_t last_index = journal->last_index;
  uint64_t last_term = journal->last_term;
  enum status status;

  if (journal->failed)
    return status_fail (STATUS_IO, "an earlier write to the journal failed");
  INVARIANT (journal->batch.length == 0);
  journal->last_index = index;
  journal->last_term = term;
  status = journal_begin_segment (journal, SEGMENT_RESET);
  /* No segment was created: the existing ones stay in use.  The next start finds the snapshot
   * together with them, as after a crash between storing the snapshot and the reset. */
  if (status == STATUS_DISK_FULL)
    {
      journal->last_index = last_index;
      journal->last_term = last_term;
      return status;
    }
  if (status == STATUS_OK)
    status = remove_segments (journal, journal->n_segments - 1);
  if (status != STATUS_OK)
    journal->failed = true;
  return status;
}

/* Removes the oldest first, so that a crash leaves a contiguous sequence of segments. */
enum status
journal_compact (struct journal *journal, uint64_t index)
{
  uint32_t n = 0;

  while (n + 1 < journal->n_segments && journal->segments[n + 1].prev_index <= index)
    n++;
  return n == 0 ? STATUS_OK : remove_segments (journal, n);
}

bool
journal_failed (const struct journal *journal)
{
  return journal->failed;
}

uint64_t
journal_bytes (const struct journal *journal)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < journal->n_segments; i++)
    bytes += journal->segments[i].bytes;
  return bytes;
}

uint32_t
journal_segments (const struct journal *journal)
{
  return journal->n_segments;
}
