/* Many voters in one process on virtual time. */
#include "fake_group.h"
#include "journal.h"
#include "text.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

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

/* The machine: a running hash of all entries, which any lost, doubled or swapped entry changes. */
struct fake_machine
{
  struct machine machine;
  struct host *host;
  uint64_t index;
  uint64_t chain;
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
  uint64_t syncs_seen;
  int64_t busy_until;
  uint64_t lost_ids[16]; /* identities that went with a disk */
  uint32_t n_lost_ids;
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
  uint64_t chains[APPLIED_MAX]; /* of the machine after each index, 0: not seen */
  uint64_t most_applied;
  uint64_t leaders[TERMS_MAX]; /* identity that led in a term */
  uint64_t highest_term;
  uint64_t proposals;
  struct fake_group_count count;
  enum status last_status;
  char breach[GROUP_BREACH_SIZE];
};

static void breach (struct fake_group *group, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
breach (struct fake_group *group, const char *format, ...)
{
  va_list args;

  if (group->breach[0] != '\0')
    return;
  va_start (args, format);
  vsnprintf (group->breach, sizeof group->breach, format, args);
  va_end (args);
}

/* The host's own clock. */
static int64_t
local (const struct host *host, int64_t now)
{
  int64_t since = now - START_OF_TIME;

  return host->clock_offset + now + since / 1000000 * host->clock_ppm
         + since % 1000000 * host->clock_ppm / 1000000;
}

/* When the host's clock shows `at`; a little later never hurts. */
static int64_t
global (const struct host *host, int64_t at)
{
  int64_t since = at - host->clock_offset - START_OF_TIME;
  int64_t now = START_OF_TIME + since - since / (1000000 + host->clock_ppm) * host->clock_ppm;

  while (local (host, now) < at)
    now += at - local (host, now);
  return now;
}

/* Messages by due time, then in order of sending. */

static bool
earlier (const struct message *a, const struct message *b)
{
  return a->due != b->due ? a->due < b->due : a->order < b->order;
}

static void
push_message (struct fake_group *group, const struct message *message)
{
  uint32_t at = ++group->n_messages;

  group->messages = talloc_realloc (group, group->messages, struct message, at + 1);
  while (at > 1 && earlier (message, &group->messages[at / 2]))
    {
      group->messages[at] = group->messages[at / 2];
      at /= 2;
    }
  group->messages[at] = *message;
}

static struct message
pop_message (struct fake_group *group)
{
  struct message first = group->messages[1];
  struct message last = group->messages[group->n_messages--];
  uint32_t at = 1;

  while (at * 2 <= group->n_messages)
    {
      uint32_t child = at * 2;

      if (child < group->n_messages
          && earlier (&group->messages[child + 1], &group->messages[child]))
        child++;
      if (!earlier (&group->messages[child], &last))
        break;
      group->messages[at] = group->messages[child];
      at = child;
    }
  group->messages[at] = last;
  return first;
}

/* A slow disk holds the whole process up: what follows a sync in the same event is later too. */
static void
count_syncs (struct host *host)
{
  uint64_t syncs = disk_fake_syncs (disk_fake_of (host->disk));

  host->busy_until += (int64_t) (syncs - host->syncs_seen) * host->sync_delay;
  host->syncs_seen = syncs;
}

static enum status
port_set_address (struct peer_port *port,
                  const char *name,
                  const char *address,
                  const char *public_key)
{
  (void) port;
  (void) name;
  (void) address;
  (void) public_key;
  return STATUS_OK;
}

static void
port_forget (struct peer_port *port, const char *name)
{
}

static void
send_copy (
    struct host *host, uint32_t to, enum peer_channel channel, const void *data, size_t length)
{
  struct fake_group *group = host->group;
  int64_t delay_max = group->config.delay_max > 0 ? group->config.delay_max : DELAY_MAX;
  int64_t left_at = host->busy_until > group->now ? host->busy_until : group->now;
  struct message message = {
    .due = left_at + 100 + (int64_t) rng_below (&group->rng, (uint64_t) delay_max),
    .order = group->order++,
    .from = host->number,
    .to = to,
    .channel = channel,
    .length = length,
    .data = talloc_memdup (group, data, length),
  };

  push_message (group, &message);
}

static enum status
port_send (struct peer_port *port,
           const char *name,
           enum peer_channel channel,
           const void *data,
           size_t length)
{
  struct host *host = ((struct fake_port *) port)->host;
  struct fake_group *group = host->group;

  if (disk_fake_stopped (disk_fake_of (host->disk)))
    return STATUS_OK;
  count_syncs (host);
  group->count.messages++;
  group->count.bytes += length;
  for (uint32_t i = 0; i < group->n; i++)
    if (strcmp (group->hosts[i].name, name) == 0)
      {
        if (group->cut[host->number][i] || rng_below (&group->rng, 1000) < group->config.drop)
          return STATUS_OK;
        send_copy (host, i, channel, data, length);
        if (rng_below (&group->rng, 1000) < group->config.duplicate)
          send_copy (host, i, channel, data, length);
        return STATUS_OK;
      }
  return STATUS_NOT_FOUND;
}

static void
port_listen (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  ((struct fake_port *) port)->listeners[channel] = listener;
}

static const struct peer_port_ops port_ops = {
  .set_address = port_set_address,
  .forget = port_forget,
  .send = port_send,
  .listen = port_listen,
};

/* Every machine that reaches an index must be in the state that the first one reached there. */
static void
check_chain (struct fake_machine *machine)
{
  struct fake_group *group = machine->host->group;
  uint64_t *known = &group->chains[machine->index];

  INVARIANT (machine->index < APPLIED_MAX);
  if (*known == 0)
    *known = machine->chain;
  else if (*known != machine->chain)
    breach (group, "%s differs at entry %" PRIu64, machine->host->name, machine->index);
  if (machine->index > group->most_applied)
    group->most_applied = machine->index;
}

static void
machine_apply (
    struct machine *base, uint64_t index, const void *entry, size_t length, struct bytes *result)
{
  struct fake_machine *machine = (struct fake_machine *) base;
  uint64_t words[2] = { index, machine->chain };

  if (index <= machine->index)
    breach (machine->host->group, "%s applied %" PRIu64 " again", machine->host->name, index);
  machine->index = index;
  machine->chain = XXH3_64bits_withSeed (entry, length, XXH3_64bits (words, sizeof words)) | 1;
  check_chain (machine);
  bytes_append (result, &machine->index, sizeof machine->index);
}

static enum status
machine_save (struct machine *base, struct bytes *out)
{
  const struct fake_machine *machine = (const struct fake_machine *) base;

  bytes_append (out, &machine->index, sizeof machine->index);
  bytes_append (out, &machine->chain, sizeof machine->chain);
  while (out->length < machine->host->group->config.state_bytes)
    bytes_append (out, &machine->chain, sizeof machine->chain);
  return STATUS_OK;
}

static enum status
machine_load (struct machine *base, uint64_t index, const void *data, size_t length)
{
  (void) index;
  struct fake_machine *machine = (struct fake_machine *) base;

  if (length < 16)
    return status_fail (STATUS_CORRUPT, "snapshot of %zu bytes", length);
  memcpy (&machine->index, data, 8);
  memcpy (&machine->chain, (const char *) data + 8, 8);
  if (machine->index > 0)
    check_chain (machine);
  return STATUS_OK;
}

static const struct machine_ops machine_ops = {
  .apply = machine_apply,
  .save = machine_save,
  .load = machine_load,
};

static void
note_leader (struct fake_group *group, const struct host *host)
{
  const struct raft *raft = consensus_voter_raft (host->consensus);
  uint64_t term = raft_term (raft);

  INVARIANT (term < TERMS_MAX);
  if (group->leaders[term] == 0)
    {
      group->leaders[term] = raft_id (raft);
      group->count.elections++;
      if (term > group->highest_term && raft_last (raft) < group->most_applied)
        breach (group, "%s leads term %" PRIu64 " without what is committed", host->name, term);
    }
  else if (group->leaders[term] != raft_id (raft))
    breach (group, "two leaders in term %" PRIu64, term);
  if (term > group->highest_term)
    group->highest_term = term;
}

static void
check_host (struct fake_group *group, struct host *host)
{
  if (host->consensus == NULL)
    return;
  count_syncs (host);
  if (raft_role (consensus_voter_raft (host->consensus)) == RAFT_LEADER
      && consensus_voter_health (host->consensus) == STATUS_OK)
    note_leader (group, host);
  for (uint32_t i = 0; i < host->n_lost_ids; i++)
    if (raft_id (consensus_voter_raft (host->consensus)) == host->lost_ids[i])
      breach (group, "%s takes part under an identity that was lost", host->name);
  if (disk_fake_stopped (disk_fake_of (host->disk)))
    fake_group_stop (group, host->number, true);
}

static void
call_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  (void) now;
  struct call *call = (struct call *) proposal;
  struct fake_group *group = call->group;
  const struct host *host = &group->hosts[call->host];

  group->last_status = status;
  if (status != STATUS_OK)
    group->count.refused++;
  else if (!call->read)
    group->count.committed++;
  else
    {
      uint64_t seen = host->machine.index;

      /* A host without the machine's entries is told the index instead. */
      if (length > 0)
        seen = strtoull (result, NULL, 10);
      group->count.reads_ok++;
      if (seen < call->applied_before)
        breach (group, "a read on %s saw %" PRIu64 " of %" PRIu64 " applied before", host->name,
                seen, call->applied_before);
    }
  talloc_free (call);
}

static const struct proposal_ops call_ops = { .done = call_done };

static void
make_call (struct fake_group *group, uint32_t number, bool read, int64_t timeout)
{
  struct host *host = &group->hosts[number];
  int64_t now = local (host, group->now);
  char entry[4096] = { 0 };
  uint32_t length = group->config.entry_bytes > 0 ? group->config.entry_bytes : ENTRY_BYTES;
  struct call *call;
  enum status status;

  if (host->consensus == NULL)
    return;
  call = talloc_zero (host->consensus, struct call);
  call->proposal.ops = &call_ops;
  call->group = group;
  call->host = number;
  call->read = read;
  call->applied_before = group->most_applied;
  group->proposals++;
  memcpy (entry, &group->proposals, sizeof group->proposals);
  if (read)
    status = host->consensus->ops->read (host->consensus, &call->proposal, now + timeout, now);
  else
    status = host->consensus->ops->propose (host->consensus, entry, length, &call->proposal,
                                            now + timeout, now);
  if (status != STATUS_OK)
    {
      group->last_status = status;
      group->count.refused++;
      talloc_free (call);
    }
}

void
fake_group_propose (struct fake_group *group, uint32_t host, int64_t timeout)
{
  group->count.proposed++;
  make_call (group, host, false, timeout);
}

void
fake_group_read (struct fake_group *group, uint32_t host, int64_t timeout)
{
  group->count.reads++;
  make_call (group, host, true, timeout);
}

enum status
fake_group_start (struct fake_group *group, uint32_t number)
{
  struct host *host = &group->hosts[number];
  struct consensus_voter_config config = {
    .name = host->name,
    .disk = host->disk,
    .voters = group->names,
    .n_voters = group->config.voters,
    .port = &host->port.port,
    .machine = &host->machine.machine,
    .seed = rng_u64 (&group->rng),
    .timing = { .replace_after = group->config.replace_after },
    .no_lease = group->config.no_lease,
    .snapshot_entries = group->config.snapshot_entries,
    .segment_bytes = SEGMENT_BYTES,
    .reserve_bytes = 1,
  };
  enum status status;

  INVARIANT (host->consensus == NULL);
  host->timers = timer_service_new (group);
  host->machine.index = 0;
  host->machine.chain = 0;
  memset (host->port.listeners, 0, sizeof host->port.listeners);
  host->syncs_seen = disk_fake_syncs (disk_fake_of (host->disk));
  host->busy_until = 0;
  config.timers = host->timers;
  if (group->config.clock_ppm > 0)
    config.timing.drift_ppm = group->config.clock_ppm * 2;
  host->consensus = consensus_voter_new (group, &config, &status, local (host, group->now));
  if (host->consensus == NULL)
    {
      talloc_free (host->timers);
      if (disk_fake_stopped (disk_fake_of (host->disk)))
        disk_fake_crash (disk_fake_of (host->disk));
    }
  return status;
}

void
fake_group_stop (struct fake_group *group, uint32_t number, bool power)
{
  struct host *host = &group->hosts[number];

  if (host->consensus != NULL)
    {
      talloc_free (host->consensus);
      talloc_free (host->timers);
      host->consensus = NULL;
      group->count.crashes++;
    }
  if (power || disk_fake_stopped (disk_fake_of (host->disk)))
    disk_fake_crash (disk_fake_of (host->disk));
}

void
fake_group_set_disk (struct fake_group *group, uint32_t number, struct disk *disk)
{
  struct host *host = &group->hosts[number];

  struct journal_identity identity;

  INVARIANT (host->consensus == NULL);
  if (disk == NULL)
    {
      if (journal_identity_read (host->disk, &identity) == STATUS_OK
          && host->n_lost_ids < sizeof host->lost_ids / sizeof host->lost_ids[0])
        host->lost_ids[host->n_lost_ids++] = identity.id;
      disk = disk_fake_new (group, rng_u64 (&group->rng));
      group->count.disks_lost++;
    }
  host->disk = disk;
}

struct fake_group *
fake_group_new (void *parent, const struct fake_group_config *config)
{
  struct fake_group *group = talloc_zero (parent, struct fake_group);

  INVARIANT (group != NULL && config->voters + config->waiting <= GROUP_MAX);
  group->config = *config;
  group->n = config->voters + config->waiting;
  group->now = START_OF_TIME;
  rng_init (&group->rng, config->seed);
  for (uint32_t i = 0; i < group->n; i++)
    {
      struct host *host = &group->hosts[i];

      host->group = group;
      host->number = i;
      snprintf (host->name, sizeof host->name, "v%u", i);
      group->names[i] = host->name;
      host->disk = disk_fake_new (group, rng_u64 (&group->rng));
      host->port = (struct fake_port){ .port = { .ops = &port_ops }, .host = host };
      host->machine = (struct fake_machine){ .machine = { .ops = &machine_ops }, .host = host };
      host->clock_offset = (int64_t) rng_below (&group->rng, 1000 * (uint64_t) USEC_PER_SEC);
      if (config->clock_ppm > 0)
        host->clock_ppm = (int32_t) rng_below (&group->rng, 2 * (uint64_t) config->clock_ppm + 1)
                          - (int32_t) config->clock_ppm;
    }
  for (uint32_t i = 0; i < group->n; i++)
    fake_group_start (group, i);
  return group;
}

/* The next timer of a host in global time; a busy process serves it late. */
static int64_t
next_timer (const struct host *host)
{
  int64_t due;
  int64_t at;

  if (host->consensus == NULL)
    return INT64_MAX;
  due = timer_service_next (host->timers);
  if (due == USEC_NEVER)
    return INT64_MAX;
  at = due <= local (host, host->group->now) ? host->group->now : global (host, due);
  return at > host->busy_until ? at : host->busy_until;
}

static struct host *
earliest_timer (struct fake_group *group, int64_t *at)
{
  struct host *earliest = NULL;

  *at = INT64_MAX;
  for (uint32_t i = 0; i < group->n; i++)
    if (next_timer (&group->hosts[i]) < *at)
      {
        *at = next_timer (&group->hosts[i]);
        earliest = &group->hosts[i];
      }
  return earliest;
}

static void
deliver (struct fake_group *group)
{
  struct message message = pop_message (group);
  struct host *host = &group->hosts[message.to];
  struct peer_listener *listener = host->port.listeners[message.channel];

  if (message.due > group->now)
    group->now = message.due;
  if (host->consensus != NULL && host->busy_until > group->now)
    {
      message.due = host->busy_until;
      push_message (group, &message);
      return;
    }
  if (host->consensus != NULL && listener != NULL && !group->cut[message.from][message.to])
    {
      listener->ops->received (listener, group->hosts[message.from].name, message.data,
                               message.length, local (host, group->now));
      check_host (group, host);
    }
  talloc_free (message.data);
}

static void
fire (struct fake_group *group, struct host *host, int64_t at)
{
  if (at > group->now)
    group->now = at;
  timer_service_run (host->timers, local (host, group->now));
  check_host (group, host);
}

/* The next event before `until`; false when there is none. */
static bool
one_event (struct fake_group *group, int64_t until)
{
  int64_t timer_at;
  struct host *host = earliest_timer (group, &timer_at);
  int64_t message_at = group->n_messages > 0 ? group->messages[1].due : INT64_MAX;

  if (group->breach[0] != '\0' || (timer_at > until && message_at > until))
    return false;
  group->events++;
  if (message_at <= timer_at)
    deliver (group);
  else
    fire (group, host, timer_at);
  return true;
}

void
fake_group_run (struct fake_group *group, int64_t span)
{
  int64_t until = group->now + span;

  while (one_event (group, until))
    ;
  if (group->breach[0] == '\0')
    group->now = until;
}

static int
working_leader (struct fake_group *group)
{
  for (uint32_t i = 0; i < group->n; i++)
    {
      const struct host *host = &group->hosts[i];
      const struct raft *raft;

      if (host->consensus == NULL || !host->consensus->ops->is_leader (host->consensus))
        continue;
      raft = consensus_voter_raft (host->consensus);
      if (raft_term (raft) == group->highest_term && raft_committed (raft) == raft_last (raft))
        return (int) i;
    }
  return -1;
}

int
fake_group_await_leader (struct fake_group *group, int64_t span)
{
  int64_t until = group->now + span;

  while (working_leader (group) < 0 && one_event (group, until))
    ;
  return working_leader (group);
}

static bool
equal (const struct fake_group *group)
{
  for (uint32_t i = 0; i < group->n; i++)
    if (group->hosts[i].consensus != NULL && group->hosts[i].machine.index != group->most_applied)
      return false;
  return true;
}

bool
fake_group_await_equal (struct fake_group *group, int64_t span)
{
  int64_t until = group->now + span;

  while (!equal (group) && one_event (group, until))
    ;
  return equal (group);
}

const char *
fake_group_breach (const struct fake_group *group)
{
  return group->breach;
}

int64_t
fake_group_now (const struct fake_group *group)
{
  return group->now;
}

int64_t
fake_group_local (const struct fake_group *group, uint32_t host)
{
  return local (&group->hosts[host], group->now);
}

uint64_t
fake_group_events (const struct fake_group *group)
{
  return group->events;
}

struct consensus *
fake_group_consensus (struct fake_group *group, uint32_t host)
{
  return group->hosts[host].consensus;
}

struct disk_fake *
fake_group_disk (struct fake_group *group, uint32_t host)
{
  return disk_fake_of (group->hosts[host].disk);
}

uint64_t
fake_group_applied (const struct fake_group *group, uint32_t host)
{
  return group->hosts[host].machine.index;
}

uint64_t
fake_group_most_applied (const struct fake_group *group)
{
  return group->most_applied;
}

void
fake_group_counts (const struct fake_group *group, struct fake_group_count *out)
{
  *out = group->count;
}

enum status
fake_group_last_status (const struct fake_group *group)
{
  return group->last_status;
}

void
fake_group_cut (struct fake_group *group, uint32_t from, uint32_t to, bool cut)
{
  group->cut[from][to] = cut;
}

void
fake_group_isolate (struct fake_group *group, uint32_t host, bool isolated)
{
  for (uint32_t i = 0; i < group->n; i++)
    if (i != host)
      {
        group->cut[i][host] = isolated;
        group->cut[host][i] = isolated;
      }
}

void
fake_group_heal (struct fake_group *group)
{
  memset (group->cut, 0, sizeof group->cut);
}

void
fake_group_slow_disk (struct fake_group *group, uint32_t host, int64_t delay)
{
  group->hosts[host].sync_delay = delay;
}

void
fake_group_jump_clock (struct fake_group *group, uint32_t number, int64_t by)
{
  struct host *host = &group->hosts[number];

  INVARIANT (group->config.no_lease || host->consensus == NULL);
  host->clock_offset += by;
}

static bool
holds_everything (struct fake_group *group,
                  const struct raft *leader,
                  const struct raft_member *member)
{
  struct raft_progress progress;

  for (uint32_t i = 0; i < group->n; i++)
    {
      const struct host *host = &group->hosts[i];

      if (host->consensus == NULL || raft_id (consensus_voter_raft (host->consensus)) != member->id)
        continue;
      return member->id == raft_id (leader)
             || (raft_progress_of (leader, member->id, &progress)
                 && progress.match >= raft_committed (leader));
    }
  return false;
}

bool
fake_group_whole (struct fake_group *group)
{
  int number = working_leader (group);
  const struct raft_members *members;
  const struct raft *raft;

  if (number < 0)
    return false;
  raft = consensus_voter_raft (group->hosts[number].consensus);
  members = raft_member_set (raft);
  if (raft_members_voters (members) != group->config.voters)
    return false;
  for (uint32_t i = 0; i < members->n; i++)
    if (members->members[i].voter && !holds_everything (group, raft, &members->members[i]))
      return false;
  return true;
}
