/* Declarations shared by the source files of the journal. */
#ifndef JOURNAL_PRIVATE_H
#define JOURNAL_PRIVATE_H

#include "journal.h"

struct journal_segment
{
  uint64_t number;
  uint64_t prev_index;
  uint64_t bytes;
};

struct journal
{
  struct disk *disk;
  uint64_t id;
  uint32_t segment_bytes;
  struct raft_state state;
  uint64_t last_index;
  uint64_t last_term;
  struct journal_segment *segments; /* oldest first; records go to the last */
  uint32_t n_segments;
  int file; /* of the last segment; -1 for none */
  struct bytes batch;
  struct raft_state batch_state; /* state, last_index and last_term once the batch is stored */
  uint64_t batch_index;
  uint64_t batch_term;
  bool failed;
};

enum status journal_replay (struct journal *journal,
                            const struct raft_snapshot *snapshot,
                            struct journal_recovery *found);
enum status journal_begin_segment (struct journal *journal, uint32_t flags);
struct journal_segment *journal_push_segment (struct journal *journal,
                                              uint64_t number,
                                              uint64_t prev_index);

#endif
