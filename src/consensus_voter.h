/* A host with a data folder: a voter, a learner on the way to be one, or waiting to be taken in.
 *
 * Ties raft.h, journal.h and a disk to the peer channels, the timers and the machine.  Entries
 * proposed within one turn of the loop share one sync.  The sync blocks the loop; docs/CONSENSUS.md
 * has the measured cost. */
#ifndef CONSENSUS_VOTER_H
#define CONSENSUS_VOTER_H

#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "disk.h"
#include "peer.h"
#include "raft.h"
#include "timer.h"

BEGIN_DECLS

struct consensus_timing
{
  int64_t heartbeat;
  int64_t election_min;
  int64_t election_max;
  int64_t replace_after; /* a voter not heard for so long is replaced; USEC_NEVER: not by itself */
  int64_t repair_period; /* between looks at who is missing, and at the room on the disk */
  int64_t hello_period;  /* how often a host that waits to be taken in says so */
  int64_t hello_silence; /* a member that hears no leader for so long says so too */
  uint32_t drift_ppm;
};

/* What is taken for a zero field.  The heartbeat is the idle cost of a leader, in bytes; two and a
 * half of them fit into the shortest election time, so that one lost or late does no harm. */
#define CONSENSUS_HEARTBEAT (500 * USEC_PER_MSEC)
#define CONSENSUS_ELECTION_MIN (1250 * USEC_PER_MSEC)
#define CONSENSUS_ELECTION_MAX (2500 * USEC_PER_MSEC)
#define CONSENSUS_REPLACE_AFTER (600 * USEC_PER_SEC)
#define CONSENSUS_DRIFT_PPM 10000
#define CONSENSUS_REPAIR_PERIOD USEC_PER_SEC
#define CONSENSUS_HELLO_PERIOD (2 * USEC_PER_SEC)
#define CONSENSUS_HELLO_SILENCE (4 * USEC_PER_SEC)

struct consensus_voter_config
{
  const char *name; /* ours */
  struct disk *disk;

  /* Names of the first voters, the same on every host.  The first of them forms the group once it
   * has heard from all; see docs/CONSENSUS.md. */
  const char *const *voters;
  uint32_t n_voters;
  uint32_t wanted_voters; /* of the group; 0: as many as the first ones */
  bool join_only;         /* never form a group: this folder may be a lost one's successor */
  struct peer_port *port; /* NULL for a group of one */
  struct timer_service *timers;
  struct machine *machine;
  struct counters *counters; /* NULL: none */
  uint64_t seed;             /* random and new at each start: identities come from it */
  struct consensus_timing timing;
  bool no_lease;             /* every read asks a quorum */
  uint32_t snapshot_entries; /* between snapshots; 0: the default */
  uint32_t segment_bytes;    /* of the journal; 0: the default */
  uint64_t reserve_bytes;    /* with less room left no entries are taken; 0: the default */
};

#define CONSENSUS_SNAPSHOT_ENTRIES 8192
#define CONSENSUS_SNAPSHOT_BYTES (8u << 20) /* or as many bytes of entries */
#define CONSENSUS_KEEP_ENTRIES 1024         /* behind a snapshot, for followers a little late */
#define CONSENSUS_RESERVE_BYTES (16u << 20)

/* NULL with status_message() and `status` when the folder cannot be used: STATUS_CORRUPT means that
 * this voter must not start from it (docs/CONSENSUS.md says what an operator does). */
struct consensus *consensus_voter_new (void *parent,
                                       const struct consensus_voter_config *config,
                                       enum status *status,
                                       int64_t now);

/* Change the members; only on the leader.  The outcome shows in the members. */
enum status consensus_voter_change (struct consensus *consensus,
                                    const struct raft_change *change,
                                    int64_t now);

/* Before a shutdown: hand leadership over.  STATUS_NOT_LEADER when there is nothing to do. */
enum status consensus_voter_transfer (struct consensus *consensus, int64_t now);

/* STATUS_OK, or why this voter stopped for good. */
enum status consensus_voter_health (const struct consensus *consensus);

/* The state beneath, to be looked at only. */
const struct raft *consensus_voter_raft (const struct consensus *consensus);

/* 0 until a group was formed or took this folder in. */
uint64_t consensus_voter_group (const struct consensus *consensus);

END_DECLS

#endif
