/* Many voters in one process on virtual time, over fakes of the network and of disks.
 *
 * Everything replays from the seed.  After each event the rules that must always hold are checked;
 * the first breach is kept as text and nothing runs on. */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "consensus_voter.h"
#include "decls.h"
#include "disk_fake.h"
#include "rng.h"
#include <stdbool.h>

BEGIN_DECLS

#define GROUP_MAX 12
#define GROUP_BREACH_SIZE 256

struct fake_group;

struct fake_group_config
{
  uint64_t seed;
  uint32_t voters;    /* the first ones, named "v0" and on */
  uint32_t waiting;   /* more hosts with data folders, that wait to be taken in */
  bool no_lease;      /* reads ask a quorum; clocks may then jump while running */
  uint32_t clock_ppm; /* clocks run apart by up to this; the voters are told twice as much */
  uint32_t snapshot_entries;
  struct consensus_timing timing; /* zero: the product's */
  int64_t delay_max;              /* of a message; 0: 2 ms */
  uint32_t drop;                  /* of 1000 messages */
  uint32_t duplicate;             /* of 1000 messages */
  uint32_t state_bytes;           /* the machine's state is padded to */
  uint32_t entry_bytes;           /* of the group's own proposals; 0: 32 */
};

struct fake_group *fake_group_new (void *parent, const struct fake_group_config *config);

/* Run for `span` of virtual time, or until a rule is broken. */
void fake_group_run (struct fake_group *group, int64_t span);

/* Run until there is a leader that has committed in its term, for at most `span`; its number, -1.
 */
int fake_group_await_leader (struct fake_group *group, int64_t span);

/* Run until every running host has applied what any has, for at most `span`. */
bool fake_group_await_equal (struct fake_group *group, int64_t span);

/* "" while all rules hold. */
const char *fake_group_breach (const struct fake_group *group);

int64_t fake_group_now (const struct fake_group *group);
int64_t fake_group_local (const struct fake_group *group, uint32_t host); /* on its own clock */
uint64_t fake_group_events (const struct fake_group *group);
struct consensus *fake_group_consensus (struct fake_group *group, uint32_t host); /* NULL: down */
struct disk_fake *fake_group_disk (struct fake_group *group, uint32_t host);

/* Entries applied by that host's machine, and the most applied by any ever. */
uint64_t fake_group_applied (const struct fake_group *group, uint32_t host);
uint64_t fake_group_most_applied (const struct fake_group *group);

/* Propose or read through a host.  The outcomes are counted; OK reads are checked to see everything
 * that was applied anywhere before they began. */
void fake_group_propose (struct fake_group *group, uint32_t host, int64_t timeout);
void fake_group_read (struct fake_group *group, uint32_t host, int64_t timeout);

struct fake_group_count
{
  uint64_t proposed;
  uint64_t committed;
  uint64_t refused; /* not OK, of any kind */
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

/* The status of the last own proposal or read that ended. */
enum status fake_group_last_status (const struct fake_group *group);

/* Messages from one host to another are lost. */
void fake_group_cut (struct fake_group *group, uint32_t from, uint32_t to, bool cut);
void fake_group_isolate (struct fake_group *group, uint32_t host, bool isolated);
void fake_group_heal (struct fake_group *group);

/* End a host's process; with `power` its disk loses what was not synced. */
void fake_group_stop (struct fake_group *group, uint32_t host, bool power);

/* The outcome of opening its data folder. */
enum status fake_group_start (struct fake_group *group, uint32_t host);

/* Put another disk in: an empty one for NULL.  The host must be down. */
void fake_group_set_disk (struct fake_group *group, uint32_t host, struct disk *disk);

/* Every sync of this host takes so long. */
void fake_group_slow_disk (struct fake_group *group, uint32_t host, int64_t delay);

/* Move a host's clock by `by`; only with no_lease, or while it is down. */
void fake_group_jump_clock (struct fake_group *group, uint32_t host, int64_t by);

/* All voters wanted are there under their present identities and hold everything. */
bool fake_group_whole (struct fake_group *group);

END_DECLS

#endif
