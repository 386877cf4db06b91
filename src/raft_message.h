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
  X (ENTRY_NOOP, "no-op")      /* first entry of a new leader, which commits the older ones */     \
  X (ENTRY_DATA, "data")       /* for the state machine */                                         \
  X (ENTRY_MEMBERS, "members") /* the members of the group from this index on */

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
  X (APPEND, "append") /* a heartbeat when it has no entries */                                    \
  X (APPEND_REPLY, "append-reply")                                                                 \
  X (SNAPSHOT, "snapshot")                                                                         \
  X (SNAPSHOT_REPLY, "snapshot-reply")                                                             \
  X (TIMEOUT_NOW, "timeout-now")                                                                   \
  X (LOST, "lost") /* the receiver no longer holds entries it acknowledged */

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
  uint64_t term;     /* of the sender; for a pre-vote the term it would campaign in */
  uint64_t index;    /* append: entry before the first; votes: last entry; replies: by kind */
  uint64_t log_term; /* of `index` */
  uint64_t commit;
  uint64_t round;  /* heartbeat round of the leader, echoed in replies */
  uint64_t last;   /* append-reply: last entry in the follower's log */
  bool ok;         /* replies: vote granted, log matched, or snapshot accepted */
  bool paused;     /* append-reply, snapshot-reply: disk full, the leader should wait */
  bool transfer;   /* vote: part of a leadership transfer, so no lease forbids it */
  uint64_t offset; /* snapshot: offset of the chunk; snapshot-reply: bytes received */
  uint64_t total;  /* snapshot: total length */

  /* snapshot: the members as of `index`, with the first chunk only */
  struct raft_members members;

  /* snapshot: the chunk.  When sending, the driver fills in `data` from the stored snapshot. */
  const void *data;
  uint32_t length;

  uint32_t n_entries;
  struct raft_entry *entries;
};

const char *raft_message_kind_text (enum raft_message_kind kind);

void raft_message_write (const struct raft_message *message, struct bytes *out);

/* Decode a message.  `entries[].data` and `data` of `out` point into the input; the array `entries`
 * is a child of `parent`.  STATUS_MALFORMED, STATUS_NO_MEMORY. */
enum status raft_message_read (void *parent,
                               const void *data,
                               size_t length,
                               struct raft_message *out);

END_DECLS

#endif
