/* Definitions shared by the files of the fake group. */
#ifndef FAKE_GROUP_PRIVATE_H
#define FAKE_GROUP_PRIVATE_H

#include "fake_group.h"

#define DELAY_MAX (2 * USEC_PER_MSEC)
#define ENTRY_BYTES 32
#define TERMS_MAX 100000
#define APPLIED_MAX 400000
#define SEGMENT_BYTES 16384
#define START_OF_TIME (1000 * USEC_PER_SEC)

struct host;

struct fake_port
{
  struct peer_port port;
  struct host *host;
  struct peer_listener *listeners[PEER_CHANNEL_COUNT];
};

/* State machine: a running hash of all entries, which detects lost, duplicated or reordered
 * ones. */
struct fake_machine
{
  struct machine machine;
  struct host *host;
  uint64_t index;
  uint64_t chain;
};

/* Does each job at its start or at its end, as disks may, and takes the time of its syncs. */
struct fake_worker
{
  struct disk_worker worker;
  struct host *host;
  struct disk_job *job;
  bool is_run;
  struct timer timer;
};

struct host
{
  struct fake_group *group;
  uint32_t number;
  char name[16];
  struct disk *disk;
  struct timer_service *timers;
  struct fake_port port;
  struct fake_machine machine;
  struct consensus *consensus;
  int64_t clock_offset;
  int32_t clock_ppm;
  int64_t sync_delay;
  struct fake_worker worker;
  uint64_t lost_ids[16]; /* identities lost with a disk */
  uint32_t n_lost_ids;
  bool is_disk_replaced; /* by an empty one */
};

struct message
{
  int64_t due;
  uint64_t order;
  uint32_t from;
  uint32_t to;
  enum peer_channel channel;
  size_t length;
  void *data;
};

struct call
{
  struct proposal proposal;
  struct fake_group *group;
  uint32_t host;
  bool read;
  uint64_t applied_before;
  struct call *next;
  struct call *prev;
};

struct fake_group
{
  struct fake_group_config config;
  struct rng rng;
  struct host hosts[GROUP_MAX];
  uint32_t n;
  const char *names[GROUP_MAX];
  int64_t now;
  uint64_t events;
  uint64_t order;
  bool cut[GROUP_MAX][GROUP_MAX];
  struct message *messages; /* a heap, from index 1 */
  uint32_t n_messages;
  uint64_t chains[APPLIED_MAX]; /* machine state after each index; 0: not reached */
  uint64_t most_applied;
  uint64_t leaders[TERMS_MAX]; /* identity of each term's leader; 0: none seen */
  uint64_t highest_term;
  uint64_t proposals;
  struct fake_group_count count;
  enum status last_status;
  char violation[GROUP_VIOLATION_SIZE];
};

/* fake_group.c */
void group_report_violation (struct fake_group *group, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
int64_t group_local_time (const struct host *host, int64_t now); /* the host's own clock */

/* fake_group_net.c */
extern const struct peer_port_ops group_port_ops;
void group_push_message (struct fake_group *group, const struct message *message);
struct message group_pop_message (struct fake_group *group);

/* fake_group_disk.c */
extern const struct disk_worker_ops group_worker_ops;

/* fake_group_host.c */
extern const struct machine_ops group_machine_ops;
void group_check_host (struct fake_group *group, struct host *host);

#endif
