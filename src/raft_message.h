/* Messages between the servers of a group, and their encoding. */
#ifndef RAFT_MESSAGE_H
#define RAFT_MESSAGE_H

#include "bytes.h"
#include "decls.h"
#include "raft_config.h"
#include "status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

#define RAFT_ENTRY_MAX (1u << 20) /* bytes of one entry */
#define RAFT_ENTRIES_MAX 4096     /* in one message */

/* name, text */
#define RAFT_ENTRY_KIND_LIST(X)                                                                    \
  X (ENTRY_NOOP, "no-op")      /* a new leader's first, so that older entries commit */            \
  X (ENTRY_DATA, "data")       /* for the machine */                                               \
  X (ENTRY_MEMBERS, "members") /* the group's members from here on */

enum raft_entry_kind
{
#define X(name, text) RAFT_##name,
  RAFT_ENTRY_KIND_LIST (X)
#undef X
      RAFT_ENTRY_KIND_COUNT
};

struct raft_entry
{
  uint64_t index;
  uint64_t term;
  enum raft_entry_kind kind;
  uint32_t length;
  const void *data;
};

/* name, text */
#define RAFT_MESSAGE_KIND_LIST(X)                                                                  \
  X (PRE_VOTE, "pre-vote")                                                                         \
  X (PRE_VOTE_REPLY, "pre-vote-reply")                                                             \
  X (VOTE, "vote")                                                                                 \
  X (VOTE_REPLY, "vote-reply")                                                                     \
  X (APPEND, "append") /* a heartbeat when without entries */                                      \
  X (APPEND_REPLY, "append-reply")                                                                 \
  X (SNAPSHOT, "snapshot")                                                                         \
  X (SNAPSHOT_REPLY, "snapshot-reply")                                                             \
  X (TIMEOUT_NOW, "timeout-now")                                                                   \
  X (LOST, "lost") /* the receiver no longer holds what it acknowledged */

enum raft_message_kind
{
#define X(name, text) RAFT_##name,
  RAFT_MESSAGE_KIND_LIST (X)
#undef X
      RAFT_MESSAGE_KIND_COUNT
};

/* One struct for all kinds; unused fields are zero. */
struct raft_message
{
  enum raft_message_kind kind;
  uint64_t from;
  uint64_t to;
  uint64_t term;     /* the sender's; for a pre-vote the term it would stand in */
  uint64_t index;    /* append: entry before the first; votes: last entry; replies: see each */
  uint64_t log_term; /* of `index` */
  uint64_t commit;
  uint64_t round;  /* of the leader's heartbeats; a reply gives it back */
  uint64_t last;   /* append-reply: last entry the follower holds */
  bool ok;         /* replies: granted, matched, or taken */
  bool hold;       /* append-reply: no room, wait */
  bool transfer;   /* vote: the leader itself asked for it, so leases do not stand against it */
  uint64_t offset; /* snapshot: of the chunk; its reply: bytes held so far */
  uint64_t total;  /* snapshot: length of the whole */

  /* snapshot: the members as of `index`, with the first chunk only */
  struct raft_members members;

  /* snapshot: the chunk.  On the way out the driver fills `data` in from the stored snapshot. */
  const void *data;
  uint32_t length;

  uint32_t n_entries;
  struct raft_entry *entries;
};

const char *raft_message_kind_text (enum raft_message_kind kind);

void raft_message_write (const struct raft_message *message, struct bytes *out);

/* `entries` and `data` of `out` point into the input; the entries' array is a child of `parent`.
 * STATUS_MALFORMED, STATUS_NO_MEMORY. */
enum status raft_message_read (void *parent,
                               const void *data,
                               size_t length,
                               struct raft_message *out);

END_DECLS

#endif
