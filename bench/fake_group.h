/* Simulated group of voters in one process on virtual time, over a fake network and fake disks.
 *
 * Runs are deterministic for a seed.  The invariants are checked after each event; the first
 * violation is kept as text and stops the simulation. */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "consensus_voter.h"
#include "decls.h"
#include "disk_fake.h"
#include "rng.h"
#include <stdbool.h>

BEGIN_DECLS

#define GROUP_MAX 12
#define GROUP_VIOLATION_SIZE 256

struct fake_group;

struct fake_group_config
{
  uint64_t seed;
  uint32_t voters;    /* initial voters, named "v0", "v1", ... */
  uint32_t waiting;   /* spare hosts with data folders, not yet members */
  bool no_lease;      /* reads go to a quorum; clocks may then jump while running */
  uint32_t clock_ppm; /* max. drift of each clock; voters are configured with twice this */
  uint32_t snapshot_entries;
  struct consensus_timing timing; /* zero: the product's defaults */
  int64_t delay_max;              /* of a message, in us; 0: 2 ms */
  uint32_t drop;                  /* of 1000 messages */
  uint32_t duplicate;             /* of 1000 messages */
  uint32_t state_bytes;           /* size to which a saved machine state is padded */
  uint32_t entry_bytes;           /* size of the group's own proposals; 0: 32 */
};

struct fake_group *fake_group_new (void *parent, const struct fake_group_config *config);

/* Run for `span` us of virtual time, or until an invariant is violated. */
void fake_group_run (struct fake_group *group, int64_t span);

/* Run until the leader of the highest term has committed its whole log, for at most `span`. Returns
 * its number, or -1. */
int fake_group_await_leader (struct fake_group *group, int64_t span);

/* Run until every running host has applied as much as any host, for at most `span`. */
bool fake_group_await_convergence (struct fake_group *group, int64_t span);

/* The first invariant violation, "" if none. */
const char *fake_group_violation (const struct fake_group *group);

int64_t fake_group_now (const struct fake_group *group);
/* The time by the host's own clock. */
int64_t fake_group_local_time (const struct fake_group *group, uint32_t host);

uint64_t fake_group_events (const struct fake_group *group);
struct consensus *fake_group_consensus (struct fake_group *group, uint32_t host); /* NULL: down */
struct disk_fake *fake_group_disk (struct fake_group *group, uint32_t host);

/* Highest index applied by the host's machine, and by any machine so far. */
uint64_t fake_group_applied (const struct fake_group *group, uint32_t host);
uint64_t fake_group_most_applied (const struct fake_group *group);

/* Propose or read through a host and count the outcome.  A successful read must see every entry
 * applied on any host before it began. */
void fake_group_propose (struct fake_group *group, uint32_t host, int64_t timeout);
void fake_group_read (struct fake_group *group, uint32_t host, int64_t timeout);

struct fake_group_count
{
  uint64_t proposed;
  uint64_t committed;
  uint64_t refused; /* any status other than OK */
  uint64_t reads;
  uint64_t reads_ok;
  uint64_t crashes;
  uint64_t disks_lost;
  uint64_t elections; /* terms in which a leader was seen */
  uint64_t lost_voters_replaced;
  uint64_t messages;
  uint64_t bytes;
};

void fake_group_counts (const struct fake_group *group, struct fake_group_count *out);

/* Status of the last completed proposal or read of the group. */
enum status fake_group_last_status (const struct fake_group *group);

/* Drop all messages from one host to another. */
void fake_group_cut (struct fake_group *group, uint32_t from, uint32_t to, bool cut);
void fake_group_isolate (struct fake_group *group, uint32_t host, bool isolated);
void fake_group_heal (struct fake_group *group);

/* Stop a host's process.  With `power`, its disk also loses unsynced data. */
void fake_group_stop (struct fake_group *group, uint32_t host, bool power);

/* Start a host's process.  Returns the status of opening its data folder. */
enum status fake_group_start (struct fake_group *group, uint32_t host);

/* Replace the disk; NULL: by an empty one.  The host must be down. */
void fake_group_set_disk (struct fake_group *group, uint32_t host, struct disk *disk);

/* Set the duration of each sync of this host, in us. */
void fake_group_slow_disk (struct fake_group *group, uint32_t host, int64_t delay);

/* Step a host's clock by `by` us.  Only with no_lease or while the host is down. */
void fake_group_jump_clock (struct fake_group *group, uint32_t host, int64_t by);

/* True if the configured number of voters run under their current identities and hold all committed
 * entries. */
bool fake_group_is_fully_replicated (struct fake_group *group);

END_DECLS

#endif
