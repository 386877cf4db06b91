/* Simulated group of voters on virtual time: clocks, the event loop and the test interface. */
#include "fake_group_private.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

void
group_report_violation (struct fake_group *group, const char *format, ...)
{
  va_list args;

  if (group->violation[0] != '\0')
    return;
  va_start (args, format);
  vsnprintf (group->violation, sizeof group->violation, format, args);
  va_end (args);
}

/* Convert global time to the host's clock. */
int64_t
group_local_time (const struct host *host, int64_t now)
{
  int64_t since = now - START_OF_TIME;

  return host->clock_offset + now + since / 1000000 * host->clock_ppm
         + since % 1000000 * host->clock_ppm / 1000000;
}

/* Global time at which the host's clock shows at least `at`.  May be slightly late, never early. */
static int64_t
global_time (const struct host *host, int64_t at)
{
  int64_t since = at - host->clock_offset - START_OF_TIME;
  int64_t now = START_OF_TIME + since - since / (1000000 + host->clock_ppm) * host->clock_ppm;

  while (group_local_time (host, now) < at)
    now += at - group_local_time (host, now);
  return now;
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
      host->worker = (struct fake_worker){ .worker = { .ops = &group_worker_ops }, .host = host };
      host->port = (struct fake_port){ .port = { .ops = &group_port_ops }, .host = host };
      host->machine =
          (struct fake_machine){ .machine = { .ops = &group_machine_ops }, .host = host };
      host->clock_offset = (int64_t) rng_below (&group->rng, 1000 * (uint64_t) USEC_PER_SEC);
      if (config->clock_ppm > 0)
        host->clock_ppm = (int32_t) rng_below (&group->rng, 2 * (uint64_t) config->clock_ppm + 1)
                          - (int32_t) config->clock_ppm;
    }
  for (uint32_t i = 0; i < group->n; i++)
    fake_group_start (group, i);
  return group;
}

/* Global time at which the host's next timer fires. */
static int64_t
next_timer (const struct host *host)
{
  int64_t due;

  if (host->consensus == NULL)
    return INT64_MAX;
  due = timer_service_next_due (host->timers);
  if (due == USEC_NEVER)
    return INT64_MAX;
  return due <= group_local_time (host, host->group->now) ? host->group->now
                                                          : global_time (host, due);
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
  struct message message = group_pop_message (group);
  struct host *host = &group->hosts[message.to];
  struct peer_listener *listener = host->port.listeners[message.channel];

  if (message.due > group->now)
    group->now = message.due;
  if (host->consensus != NULL && listener != NULL && !group->cut[message.from][message.to])
    {
      listener->ops->received (listener, group->hosts[message.from].name, message.data,
                               message.length, group_local_time (host, group->now));
      group_check_host (group, host);
    }
  talloc_free (message.data);
}

static void
fire_timers (struct fake_group *group, struct host *host, int64_t at)
{
  if (at > group->now)
    group->now = at;
  timer_service_run (host->timers, group_local_time (host, group->now));
  group_check_host (group, host);
}

/* Process the next event up to `until`.  False if there is none or a rule is broken. */
static bool
process_event (struct fake_group *group, int64_t until)
{
  int64_t timer_at;
  struct host *host = earliest_timer (group, &timer_at);
  int64_t message_at = group->n_messages > 0 ? group->messages[1].due : INT64_MAX;

  if (group->violation[0] != '\0' || (timer_at > until && message_at > until))
    return false;
  group->events++;
  if (message_at <= timer_at)
    deliver (group);
  else
    fire_timers (group, host, timer_at);
  return true;
}

void
fake_group_run (struct fake_group *group, int64_t span)
{
  int64_t until = group->now + span;

  while (process_event (group, until))
    ;
  if (group->violation[0] == '\0')
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

  while (working_leader (group) < 0 && process_event (group, until))
    ;
  return working_leader (group);
}

static bool
has_converged (const struct fake_group *group)
{
  for (uint32_t i = 0; i < group->n; i++)
    if (group->hosts[i].consensus != NULL && group->hosts[i].machine.index != group->most_applied)
      return false;
  return true;
}

bool
fake_group_await_convergence (struct fake_group *group, int64_t span)
{
  int64_t until = group->now + span;

  while (!has_converged (group) && process_event (group, until))
    ;
  return has_converged (group);
}

const char *
fake_group_violation (const struct fake_group *group)
{
  return group->violation;
}

int64_t
fake_group_now (const struct fake_group *group)
{
  return group->now;
}

int64_t
fake_group_local_time (const struct fake_group *group, uint32_t host)
{
  return group_local_time (&group->hosts[host], group->now);
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
has_all_entries (struct fake_group *group,
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
fake_group_is_fully_replicated (struct fake_group *group)
{
  int number = working_leader (group);
  const struct raft_members *members;
  const struct raft *raft;

  if (number < 0)
    return false;
  raft = consensus_voter_raft (group->hosts[number].consensus);
  members = raft_get_members (raft);
  if (raft_members_voters (members) != group->config.voters)
    return false;
  for (uint32_t i = 0; i < members->n; i++)
    if (members->members[i].voter && !has_all_entries (group, raft, &members->members[i]))
      return false;
  return true;
}
