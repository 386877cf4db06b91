/* The replicated log on a host with a data folder: a voter, a learner that may become one, or a
 * host that waits to be added.
 *
 * Connects raft.h, journal.h and a disk to the peer channels, the timers and the state machine.
 * Entries proposed within one event loop iteration share one sync, and so do all that are proposed
 * while another sync is under way.  The worker syncs; the loop never waits for a disk, but at the
 * start. */
#ifndef CONSENSUS_VOTER_H
#define CONSENSUS_VOTER_H

#include "consensus.h"
#include "counter.h"
#include "decls.h"
#include "disk.h"
#include "disk_worker.h"
#include "peer.h"
#include "raft.h"
#include "timer.h"

BEGIN_DECLS

struct consensus_timing
{
  int64_t heartbeat;
  int64_t election_min;
  int64_t election_max;
  int64_t replace_after; /* silence after which a voter is replaced; USEC_NEVER: never */
  int64_t repair_period; /* between checks of the members and of the free space */
  int64_t hello_period;  /* between hellos of a host that waits to be added */
  int64_t hello_after;   /* a member without a leader for this long sends hellos too */
  uint32_t drift_ppm;
};

/* Defaults for zero fields.  The heartbeat determines the idle traffic of a leader.  2.5 heartbeats
 * fit into the shortest election timeout, so one lost or late heartbeat starts no election. */
#define CONSENSUS_HEARTBEAT (500 * USEC_PER_MSEC)
#define CONSENSUS_ELECTION_MIN (1250 * USEC_PER_MSEC)
#define CONSENSUS_ELECTION_MAX (2500 * USEC_PER_MSEC)
#define CONSENSUS_REPLACE_AFTER (600 * USEC_PER_SEC)
#define CONSENSUS_DRIFT_PPM 10000
#define CONSENSUS_REPAIR_PERIOD USEC_PER_SEC
#define CONSENSUS_HELLO_PERIOD (2 * USEC_PER_SEC)
#define CONSENSUS_HELLO_AFTER (4 * USEC_PER_SEC)

struct consensus_voter_config
{
  const char *name; /* of this host */
  struct disk *disk;
  struct disk_worker *worker; /* writes to the disk; NULL: on the loop */

  /* Names of the initial voters, the same on every host.  The first of them forms the group once it
   * has received messages from all; see docs/CONSENSUS.md. */
  const char *const *voters;
  uint32_t n_voters;
  uint32_t wanted_voters; /* number of voters in the group; 0: as many as the initial ones */
  bool join_only;         /* never form a group, since this folder may replace a lost one */
  struct peer_port *port; /* NULL for a group of one */
  struct timer_service *timers;
  struct machine *machine;
  struct counters *counters; /* NULL: none */
  uint64_t seed;             /* random at each start: ids are derived from it */
  struct consensus_timing timing;
  bool no_lease;             /* every read is confirmed by a quorum */
  uint32_t snapshot_entries; /* between snapshots; 0: the default */
  uint32_t segment_bytes;    /* of the journal; 0: the default */
  uint64_t reserve_bytes;    /* proposals are refused when less is free; 0: the default */
};

#define CONSENSUS_SNAPSHOT_ENTRIES 8192
#define CONSENSUS_SNAPSHOT_BYTES (8u << 20) /* or this many bytes of entries */
#define CONSENSUS_KEEP_ENTRIES 1024         /* entries kept before a snapshot, for slow followers */
#define CONSENSUS_RESERVE_BYTES (16u << 20)

/* Entries that are not stored yet, in bytes, beyond which a leader refuses proposals. */
#define CONSENSUS_UNSTORED_BYTES_MAX (8u << 20)

/* NULL with status_message() and `status` when the folder cannot be used.  STATUS_CORRUPT means
 * that this voter must not start from it (docs/CONSENSUS.md describes the recovery). */
struct consensus *consensus_voter_new (void *parent,
                                       const struct consensus_voter_config *config,
                                       enum status *status,
                                       int64_t now);

/* Change the members; only on the leader.  STATUS_OK means proposed; the change is visible in the
 * members once it is in the log. */
enum status consensus_voter_change (struct consensus *consensus,
                                    const struct raft_change *change,
                                    int64_t now);

/* Transfer leadership before a shutdown.  STATUS_NOT_LEADER when this host does not lead. */
enum status consensus_voter_transfer (struct consensus *consensus, int64_t now);

/* STATUS_OK, or why this voter stopped permanently. */
enum status consensus_voter_health (const struct consensus *consensus);

/* The underlying raft server, read-only. */
const struct raft *consensus_voter_raft (const struct consensus *consensus);

/* 0 until this folder belongs to a group. */
uint64_t consensus_voter_group (const struct consensus *consensus);

END_DECLS

#endif
