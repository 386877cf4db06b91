/* Membership: the view of all hosts, and this host's own record. */
#include "member.h"
#include "log.h"
#include "member_state.h"
#include "text.h"
#include <math.h>
#include <string.h>
#include <talloc.h>

#define CHECK_INTERVAL (250 * USEC_PER_MSEC)
#define TICK_INTERVAL (50 * USEC_PER_MSEC)

/* Dead hosts and hosts that left stay in the view for this long.  Until then a host that returns is
 * still known, and dead hosts count in the decision whether this host is cut off. */
#define DEAD_HOST_TTL (3600 * USEC_PER_SEC)

/* A host that is behind the newest revision announced to it for this long sets its `behind` flag
 * (an accepted change must be in force everywhere within 11 s). */
#define BEHIND_AFTER (11 * USEC_PER_SEC)

/* So does a host whose revision no quorum confirmed for this long. */
#define UNCONFIRMED_AFTER (30 * USEC_PER_SEC)

/* Minimum interval between gossiped updates of load and revision: the larger of the fixed one and
 * the one per known host.  Probes carry the latest values anyway. */
#define VITALS_INTERVAL (5 * USEC_PER_SEC)
#define VITALS_INTERVAL_PER_HOST (100 * USEC_PER_MSEC)
#define LOAD_STEP_PERCENT 12 /* a smaller change of load is not gossiped */

/* A suspect is notified of the suspicion this often, so that its refutation does not depend on one
 * message.  A suspicion that is not gossiped reaches the suspect in no other way. */
#define SUSPECT_PING_INTERVAL (1 * USEC_PER_SEC)

static int
free_member (struct member *member)
{
  HASH_CLEAR (hh, member->hosts);
  return 0;
}

static void
register_counters (struct member *member, struct counters *counters)
{
  member->messages_out = counter_get (counters, "cherryarch_member_messages_out_total",
                                      "Messages of membership sent", NULL);
  member->bytes_out = counter_get (counters, "cherryarch_member_bytes_out_total",
                                   "Bytes of messages of membership sent", NULL);
  member->malformed = counter_get (counters, "cherryarch_member_malformed_total",
                                   "Messages of membership that could not be read", NULL);
  member->suspicions = counter_get (counters, "cherryarch_member_suspicions_total",
                                    "Hosts suspected after a probe", NULL);
  member->deaths =
      counter_get (counters, "cherryarch_member_deaths_total", "Hosts taken for dead", NULL);
  member->refutations = counter_get (counters, "cherryarch_member_refutations_total",
                                     "Suspicions of ourselves that we refuted", NULL);
}

/* ---- the view ---- */

/* uthash's macros expand to long code; the functions are short.
 * NOLINTBEGIN(readability-function-size) */
struct member_host *
member_find (const struct member *member, const char *name)
{
  struct member_host *host;

  HASH_FIND_STR (member->hosts, name, host);
  return host;
}

struct member_host *
member_add_host (struct member *member, const char *name, int64_t now)
{
  struct member_host *host = talloc_zero (member, struct member_host);
  struct board_host *entry;

  if (host == NULL)
    return NULL;
  entry = table_add (member->board->hosts, &host->handle);
  if (entry == NULL)
    {
      talloc_free (host);
      return NULL;
    }
  text_copy_truncated (host->name, sizeof host->name, name);
  text_copy_truncated (entry->name, sizeof entry->name, name);
  host->state_changed_at = now;
  /* The first probe comes at random in the next round, so that not all hosts probe a new one at
   * once. */
  host->probe_round = member->round;
  HASH_ADD_STR (member->hosts, name, host);
  return host;
}

/* NOLINTEND(readability-function-size) */

static void
drop_host (struct member *member, struct member_host *host)
{
  member->transport->ops->forget (member->transport, host->name);
  member_dequeue (member, host);
  table_remove (member->board->hosts, host->handle);
  HASH_DEL (member->hosts, host);
  talloc_free (host);
}

struct board_host *
member_board_entry (const struct member *member, const struct member_host *host)
{
  return table_get (member->board->hosts, host->handle);
}

bool
member_state_is_present (enum host_state state)
{
  return state != HOST_DEAD && state != HOST_LEFT;
}

uint32_t
member_count_present (const struct member *member)
{
  const struct member_host *host;
  uint32_t count = 0;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    count += member_state_is_present (member_board_entry (member, host)->state) ? 1 : 0;
  return count;
}

/* Time in us for a suspect to learn of its suspicion and refute it.  Gossip needs a number of
 * rounds that grows with the logarithm of the number of hosts. */
static int64_t
suspicion_span (const struct member *member)
{
  return (int64_t) ((double) USEC_PER_SEC * (2 + log2 (HASH_COUNT (member->hosts) + 1)));
}

void
member_set_state (struct member *member,
                  struct member_host *host,
                  enum host_state state,
                  int64_t now)
{
  struct board_host *entry = member_board_entry (member, host);

  if (state == HOST_SUSPECT)
    host->suspect_until = now + suspicion_span (member);
  if (entry->state == state)
    return;
  if (state == HOST_DEAD)
    counter_add (member->deaths, 1);
  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_INFO, "state", "{s:s,s:s,s:s,s:b}", "host", host->name,
             "from", host_state_text (entry->state), "to", host_state_text (state), "local",
             host->local);
  entry->state = state;
  host->state_changed_at = now;
  board_publish (member->board, BOARD_HOST_CHANGED, host->handle, now);
}

void
member_suspect (struct member *member, struct member_host *host, bool gossiped, int64_t now)
{
  enum host_state state = member_board_entry (member, host)->state;

  if (state != HOST_ALIVE && state != HOST_LEAVING)
    return;
  counter_add (member->suspicions, 1);
  host->local = !gossiped;
  host->suspicion_gossiped = gossiped;
  member_set_state (member, host, HOST_SUSPECT, now);
  if (gossiped)
    member_queue_state (member, host, false);
}

/* ---- this host's record ---- */

static bool
is_behind (struct member *member, int64_t now)
{
  const struct board *board = member->board;

  if (board->revision >= member->newest_revision)
    member->behind_since = 0;
  else if (member->behind_since == 0)
    member->behind_since = now;
  return !board->config_ready || board->targets_unknown
         || (member->behind_since != 0 && now - member->behind_since >= BEHIND_AFTER)
         || (board->confirmed_at != 0 && now - board->confirmed_at >= UNCONFIRMED_AFTER);
}

static bool
vitals_equal (const struct member_vitals *a, const struct member_vitals *b)
{
  return a->incarnation == b->incarnation && a->revision == b->revision
         && a->load_percent == b->load_percent;
}

void
member_refresh_vitals (struct member *member, int64_t now)
{
  struct board_host *entry = member_board_entry (member, member->self);
  struct member_vitals fresh = member->vitals;
  double load = member->board->load;

  fresh.incarnation = entry->incarnation;
  fresh.revision = member->board->revision;
  fresh.load_percent = load <= 0 ? 0 : load >= 1 ? 100 : (uint32_t) (load * 100);
  if (vitals_equal (&fresh, &member->vitals))
    return;
  fresh.version++;
  member->vitals = fresh;
  entry->revision = fresh.revision;
  entry->load = load;
  entry->heard_at = now;
}

static void
gossip_vitals (struct member *member, int64_t now)
{
  const struct member_vitals *fresh = &member->vitals;
  const struct member_vitals *gossiped = &member->gossiped;
  int64_t span = (int64_t) HASH_COUNT (member->hosts) * VITALS_INTERVAL_PER_HOST;
  uint32_t step = fresh->load_percent > gossiped->load_percent
                      ? fresh->load_percent - gossiped->load_percent
                      : gossiped->load_percent - fresh->load_percent;

  if (span < VITALS_INTERVAL)
    span = VITALS_INTERVAL;
  if (now - member->gossiped_at < span
      || (step < LOAD_STEP_PERCENT && fresh->revision == gossiped->revision))
    return;
  member->gossiped = *fresh;
  member->gossiped_at = now;
  member_queue_vitals (member, member->self);
}

/* Flags are part of this host's record; a change is gossiped at once. */
static void
gossip_flags (struct member *member, int64_t now)
{
  struct board_host *entry = member_board_entry (member, member->self);
  bool behind = is_behind (member, now);

  if (entry->behind == behind && entry->cut_off == member->cut_off)
    return;
  entry->behind = behind;
  entry->cut_off = member->cut_off;
  member->self->sequence++;
  member_queue_state (member, member->self, false);
  board_publish (member->board, BOARD_HOST_CHANGED, member->self->handle, now);
}

/* When fewer than half of the expected hosts answer, the fault is likely on this host's side. */
static void
update_cut_off (struct member *member)
{
  const struct member_host *host;
  uint32_t reached = 0;
  uint32_t expected = 0;
  bool cut_off;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    {
      enum host_state state = member_board_entry (member, host)->state;

      expected += state != HOST_LEFT ? 1 : 0;
      reached += state == HOST_ALIVE || state == HOST_LEAVING ? 1 : 0;
    }
  cut_off = reached * 2 < expected;
  if (cut_off == member->cut_off)
    return;
  member->cut_off = cut_off;
  log_event (LOG_MODULE_MEMBER, LOG_LEVEL_WARNING, cut_off ? "cut_off" : "reached_again",
             "{s:i,s:i}", "reached", (int) reached, "expected", (int) expected);
}

static void
check_host (struct member *member, struct member_host *host, int64_t now)
{
  enum host_state state = member_board_entry (member, host)->state;

  if (state == HOST_SUSPECT && now >= host->suspect_until)
    {
      member_set_state (member, host, HOST_DEAD, now);
      if (host->suspicion_gossiped)
        member_queue_state (member, host, false);
    }
  else if (state == HOST_SUSPECT && (host->local || host->suspicion_gossiped)
           && now >= host->next_suspect_ping)
    {
      host->next_suspect_ping = now + SUSPECT_PING_INTERVAL;
      member_send (member, host->name, MEMBER_PING, 0, "");
    }
  if (!member_state_is_present (state) && now - host->state_changed_at >= DEAD_HOST_TTL)
    drop_host (member, host);
}

static void
check (struct member *member, int64_t now)
{
  struct member_host *host;
  struct member_host *next;

  HASH_ITER (hh, member->hosts, host, next)
    {
      if (host != member->self)
        check_host (member, host, now);
    }
  update_cut_off (member);
  gossip_flags (member, now);
  member_refresh_vitals (member, now);
  gossip_vitals (member, now);
}

int64_t
member_tick (struct member *member, int64_t now)
{
  if (now >= member->next_check)
    {
      check (member, now);
      member->next_check = now + CHECK_INTERVAL;
    }
  member_probe_tick (member, now);
  member_gossip (member, now);
  return now + TICK_INTERVAL;
}

static void
set_own_state (struct member *member, enum host_state state, int64_t now)
{
  member->self->sequence++;
  member_set_state (member, member->self, state, now);
  member_queue_state (member, member->self, false);
  member_broadcast_state (member);
}

void
member_announce_leaving (struct member *member, int64_t now)
{
  set_own_state (member, HOST_LEAVING, now);
}

void
member_announce_left (struct member *member, int64_t now)
{
  set_own_state (member, HOST_LEFT, now);
}

bool
member_is_cut_off (const struct member *member)
{
  return member->cut_off;
}

/* ---- start ---- */

static bool
add_self (struct member *member, const struct member_config *config)
{
  struct board_host *entry;

  member->self = member_add_host (member, config->self.name, config->now);
  if (member->self == NULL)
    return false;
  entry = member_board_entry (member, member->self);
  *entry = config->self;
  entry->self = true;
  entry->state = HOST_ALIVE;
  entry->heard_at = config->now;
  member->self->sequence = 1;
  member->board->self = member->self->handle;
  board_publish (member->board, BOARD_HOST_ADDED, member->self->handle, config->now);
  return true;
}

static void
add_seeds (struct member *member, const struct member_config *config)
{
  for (uint32_t i = 0; i < config->n_seeds && member->n_seeds < MEMBER_SEEDS_MAX; i++)
    {
      const struct member_seed *seed = &config->seeds[i];

      if (strcmp (seed->name, config->self.name) == 0)
        continue;
      member->seeds[member->n_seeds++] = *seed;
      member->transport->ops->set_address (member->transport, seed->name, seed->address,
                                           seed->public_key);
    }
}

struct member *
member_new (void *parent, const struct member_config *config)
{
  struct member *member = talloc_zero (parent, struct member);

  if (member == NULL)
    return NULL;
  talloc_set_destructor (member, free_member);
  member->board = config->board;
  member->transport = config->transport;
  rng_init (&member->rng, config->seed);
  register_counters (member, config->counters);
  if (!add_self (member, config))
    {
      talloc_free (member);
      return NULL;
    }
  add_seeds (member, config);
  member->round = 1;
  member_board_entry (member, member->self)->behind = !config->board->config_ready;
  member_queue_state (member, member->self, true);
  member_refresh_vitals (member, config->now);
  member->next_probe = config->now + (int64_t) rng_below (&member->rng, MEMBER_PROBE_PERIOD);
  return member;
}

static json_t *
describe_host (const struct member *member, const struct member_host *host, int64_t now)
{
  const struct board_host *entry = member_board_entry (member, host);

  return json_pack ("{s:s,s:s,s:s,s:I,s:I,s:I,s:f,s:b,s:b,s:I}", "name", host->name, "domain",
                    entry->domain, "state", host_state_text (entry->state), "incarnation",
                    (json_int_t) entry->incarnation, "sequence", (json_int_t) host->sequence,
                    "revision", (json_int_t) entry->revision, "load", entry->load, "behind",
                    (int) entry->behind, "cut_off", (int) entry->cut_off, "heard_ms_ago",
                    (json_int_t) ((now - entry->heard_at) / USEC_PER_MSEC));
}

json_t *
member_describe (const struct member *member, int64_t now)
{
  const struct member_host *host;
  json_t *hosts = json_array ();

  for (host = member->hosts; host != NULL; host = host->hh.next)
    json_array_append_new (hosts, describe_host (member, host, now));
  return json_pack ("{s:b,s:o}", "cut_off", (int) member->cut_off, "hosts", hosts);
}
