/* Encoding of messages between servers: the fields of the kind, followed by entries or a snapshot
 * chunk. */
#include "raft_message.h"
#include "pack.h"
#include <string.h>
#include <talloc.h>

#define CHUNK_MAX (2u << 20)
#define MEMBERS_BYTES_MAX 4096

/* The fields that each kind carries; other fields are omitted to keep heartbeats small. */
#define HAS_INDEX 1u
#define HAS_COMMIT 2u
#define HAS_ROUND 4u
#define HAS_LAST 8u
#define HAS_FLAGS 16u
#define HAS_ENTRIES 32u
#define HAS_CHUNK 64u
#define HAS_OFFSET 128u

static const unsigned fields[RAFT_MESSAGE_KIND_COUNT] = {
  [RAFT_PRE_VOTE] = HAS_INDEX,
  [RAFT_PRE_VOTE_REPLY] = HAS_FLAGS,
  [RAFT_VOTE] = HAS_INDEX | HAS_FLAGS,
  [RAFT_VOTE_REPLY] = HAS_FLAGS,
  [RAFT_APPEND] = HAS_INDEX | HAS_COMMIT | HAS_ROUND | HAS_ENTRIES,
  [RAFT_APPEND_REPLY] = HAS_INDEX | HAS_ROUND | HAS_LAST | HAS_FLAGS,
  [RAFT_SNAPSHOT] = HAS_INDEX | HAS_ROUND | HAS_OFFSET | HAS_CHUNK,
  [RAFT_SNAPSHOT_REPLY] = HAS_INDEX | HAS_ROUND | HAS_FLAGS | HAS_OFFSET,
  [RAFT_TIMEOUT_NOW] = 0,
  [RAFT_LOST] = HAS_INDEX,
};

static const char *const kind_texts[] = {
#define X(name, text) [RAFT_##name] = text,
  RAFT_MESSAGE_KIND_LIST (X)
#undef X
};

const char *
raft_message_kind_text (enum raft_message_kind kind)
{
  return (unsigned) kind < RAFT_MESSAGE_KIND_COUNT ? kind_texts[kind] : "unknown";
}

static void
write_entries (const struct raft_message *m, struct bytes *out)
{
  pack_array (out, m->n_entries);
  for (uint32_t i = 0; i < m->n_entries; i++)
    {
      pack_uint (out, m->entries[i].term);
      pack_uint (out, m->entries[i].kind);
      pack_binary (out, m->entries[i].data, m->entries[i].length);
    }
}

static void
write_chunk (const struct raft_message *m, struct bytes *out)
{
  struct bytes members;

  bytes_init (&members, out->parent);
  if (m->offset == 0)
    raft_members_write (&m->members, &members);
  out->failed |= bytes_has_failed (&members);
  pack_binary (out, members.data, (uint32_t) members.length);
  bytes_clear (&members);
  pack_binary (out, m->data, m->length);
}

void
raft_message_write (const struct raft_message *m, struct bytes *out)
{
  unsigned has = fields[m->kind];

  pack_uint (out, m->kind);
  pack_uint (out, m->from);
  pack_uint (out, m->to);
  pack_uint (out, m->term);
  if (has & HAS_INDEX)
    {
      pack_uint (out, m->index);
      pack_uint (out, m->log_term);
    }
  if (has & HAS_COMMIT)
    pack_uint (out, m->commit);
  if (has & HAS_ROUND)
    pack_uint (out, m->round);
  if (has & HAS_LAST)
    pack_uint (out, m->last);
  if (has & HAS_FLAGS)
    pack_uint (out, (m->ok ? 1u : 0) | (m->paused ? 2u : 0) | (m->transfer ? 4u : 0));
  if (has & HAS_OFFSET)
    {
      pack_uint (out, m->offset);
      pack_uint (out, m->total);
    }
  if (has & HAS_ENTRIES)
    write_entries (m, out);
  if (has & HAS_CHUNK)
    write_chunk (m, out);
}

static enum status
read_entries (void *parent, struct pack_reader *in, struct raft_message *m)
{
  uint32_t n = pack_read_array (in, RAFT_ENTRIES_MAX);

  if (n == 0)
    return STATUS_OK;
  m->entries = talloc_zero_array (parent, struct raft_entry, n);
  if (m->entries == NULL)
    return status_fail (STATUS_NO_MEMORY, "entries of a message");
  m->n_entries = n;
  for (uint32_t i = 0; i < n; i++)
    {
      struct raft_entry *entry = &m->entries[i];
      uint64_t kind;
      size_t length;

      entry->index = m->index + 1 + i;
      entry->term = pack_read_uint (in, UINT64_MAX);
      kind = pack_read_uint (in, UINT64_MAX);
      in->failed |= kind >= RAFT_ENTRY_KIND_COUNT;
      entry->kind = (enum raft_entry_kind) kind;
      entry->data = pack_read_binary (in, RAFT_ENTRY_MAX, &length);
      entry->length = (uint32_t) length;
    }
  return STATUS_OK;
}

static void
read_chunk (struct pack_reader *in, struct raft_message *m)
{
  size_t length;
  const void *members = pack_read_binary (in, MEMBERS_BYTES_MAX, &length);

  if (m->offset == 0 && raft_members_read (members, length, &m->members) != STATUS_OK)
    in->failed = true;
  m->data = pack_read_binary (in, CHUNK_MAX, &length);
  m->length = (uint32_t) length;
}

static void
read_fields (struct pack_reader *in, unsigned has, struct raft_message *m)
{
  uint64_t flags = 0;

  if (has & HAS_INDEX)
    {
      m->index = pack_read_uint (in, UINT64_MAX);
      m->log_term = pack_read_uint (in, UINT64_MAX);
    }
  if (has & HAS_COMMIT)
    m->commit = pack_read_uint (in, UINT64_MAX);
  if (has & HAS_ROUND)
    m->round = pack_read_uint (in, UINT64_MAX);
  if (has & HAS_LAST)
    m->last = pack_read_uint (in, UINT64_MAX);
  if (has & HAS_FLAGS)
    flags = pack_read_uint (in, UINT64_MAX);
  m->ok = (flags & 1u) != 0;
  m->paused = (flags & 2u) != 0;
  m->transfer = (flags & 4u) != 0;
  if (has & HAS_OFFSET)
    {
      m->offset = pack_read_uint (in, UINT64_MAX);
      m->total = pack_read_uint (in, UINT64_MAX);
    }
}

enum status
raft_message_read (void *parent, const void *data, size_t length, struct raft_message *m)
{
  struct pack_reader in;
  uint64_t kind;
  enum status status = STATUS_OK;

  memset (m, 0, sizeof *m);
  pack_reader_init (&in, data, length);
  kind = pack_read_uint (&in, UINT64_MAX);
  if (in.failed || kind >= RAFT_MESSAGE_KIND_COUNT)
    return status_fail (STATUS_MALFORMED, "unknown kind of raft message");
  m->kind = (enum raft_message_kind) kind;
  m->from = pack_read_uint (&in, UINT64_MAX);
  m->to = pack_read_uint (&in, UINT64_MAX);
  m->term = pack_read_uint (&in, UINT64_MAX);
  read_fields (&in, fields[kind], m);
  if (fields[kind] & HAS_ENTRIES)
    status = read_entries (parent, &in, m);
  if (status == STATUS_OK && (fields[kind] & HAS_CHUNK))
    read_chunk (&in, m);
  if (status == STATUS_OK && !pack_read_is_complete (&in))
    status = status_fail (STATUS_MALFORMED, "malformed raft message of kind %s", kind_texts[kind]);
  if (status != STATUS_OK)
    TALLOC_FREE (m->entries);
  return status;
}
