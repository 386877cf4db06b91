/* Memory and connections of all clients. */
#include "quota.h"
#include "log.h"
#include "usec.h"
#include <jansson.h>
#include <talloc.h>
#include <utlist.h>

/* Added to the time without progress, so that size decides between connections that all receive. */
#define STALL_OFFSET USEC_PER_MSEC

/* name, text */
#define SHORTAGE_LIST(X)                                                                           \
  X (MEMORY, "memory")                                                                             \
  X (CONNECTIONS, "connections")

enum shortage
{
#define X(name, text) SHORTAGE_##name,
  SHORTAGE_LIST (X)
#undef X
      SHORTAGE_COUNT
};

static const char *const shortage_texts[] = {
#define X(name, text) text,
  SHORTAGE_LIST (X)
#undef X
};

static const char *const state_texts[] = {
  [QUOTA_IDLE] = "idle",
  [QUOTA_RECEIVING] = "receiving",
  [QUOTA_RUNNING] = "running",
  [QUOTA_SENDING] = "sending",
};

struct quota
{
  struct quota_config config;
  struct quota_member *members;
  uint64_t bytes;
  uint64_t peak;
  uint32_t n_members;
  uint32_t n_own; /* connections to targets */
  struct counter *held_gauge;
  struct counter *peak_gauge;
  struct counter *ended[SHORTAGE_COUNT];
  struct counter *refused[SHORTAGE_COUNT];
  int64_t logged_since; /* begin of the second that `logged` counts */
  uint32_t logged;
  uint32_t omitted; /* since the last line */
};

static void
register_counters (struct quota *quota)
{
  struct counters *counters = quota->config.counters;

  quota->held_gauge =
      gauge_get (counters, "cherryarch_clients_held_bytes", "Memory that all clients hold.", NULL);
  quota->peak_gauge = gauge_get (counters, "cherryarch_clients_held_peak_bytes",
                                 "The most memory that all clients held.", NULL);
  quota->ended[SHORTAGE_MEMORY] =
      counter_get (counters, "cherryarch_clients_ended_total",
                   "Connections of clients ended as others needed the room.", "for=\"memory\"");
  quota->ended[SHORTAGE_CONNECTIONS] = counter_get (
      counters, "cherryarch_clients_ended_total",
      "Connections of clients ended as others needed the room.", "for=\"connections\"");
  quota->refused[SHORTAGE_MEMORY] = counter_get (
      counters, "cherryarch_clients_refused_total",
      "Requests and connections of clients refused for want of room.", "for=\"memory\"");
  quota->refused[SHORTAGE_CONNECTIONS] = counter_get (
      counters, "cherryarch_clients_refused_total",
      "Requests and connections of clients refused for want of room.", "for=\"connections\"");
}

struct quota *
quota_new (void *parent, const struct quota_config *config)
{
  struct quota *quota = talloc_zero (parent, struct quota);

  if (quota == NULL)
    return NULL;
  quota->config = *config;
  if (quota->config.bytes_max == 0)
    quota->config.bytes_max = QUOTA_DEFAULT_BYTES;
  if (quota->config.connections_max == 0)
    quota->config.connections_max = UINT32_MAX;
  if (quota->config.counters == NULL)
    quota->config.counters = counters_new (quota);
  if (quota->config.counters == NULL)
    {
      talloc_free (quota);
      return NULL;
    }
  register_counters (quota);
  return quota;
}

/* Clients decide how many lines there are, so their number is bounded. */
static void
log_shortage (struct quota *quota,
              const char *event,
              const struct quota_member *member,
              enum shortage shortage,
              size_t bytes,
              int64_t now)
{
  if (now - quota->logged_since >= USEC_PER_SEC)
    {
      quota->logged_since = now;
      quota->logged = 0;
    }
  if (quota->logged >= QUOTA_LOGGED_PER_SECOND)
    {
      quota->omitted++;
      return;
    }
  quota->logged++;
  log_event (LOG_MODULE_HTTP, LOG_LEVEL_WARNING, event, "{s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:i}",
             "listener", member->label, "for", shortage_texts[shortage], "state",
             state_texts[member->state], "bytes", (json_int_t) bytes, "held",
             (json_int_t) quota->bytes, "limit", (json_int_t) quota->config.bytes_max,
             "connections", (int) quota->n_members, "own_connections", (int) quota->n_own,
             "omitted", (int) quota->omitted);
  quota->omitted = 0;
}

/* ---- memory ---- */

static void
set_bytes (struct quota_member *member, size_t bytes)
{
  struct quota *quota = member->quota;

  quota->bytes = quota->bytes - member->bytes + bytes;
  member->bytes = bytes;
  gauge_set (quota->held_gauge, (double) quota->bytes);
  if (quota->bytes <= quota->peak)
    return;
  quota->peak = quota->bytes;
  gauge_set (quota->peak_gauge, (double) quota->peak);
}

/* What a connection of `bytes` may fill up to. */
static uint64_t
limit_for (const struct quota *quota, size_t bytes)
{
  uint64_t max = quota->config.bytes_max;

  return bytes <= QUOTA_SMALL_BYTES ? max : max - max / QUOTA_RESERVE_PART;
}

/* May `member` be ended so that another connection holds `bytes`? */
static bool
may_end (const struct quota_member *member, size_t bytes, int64_t now)
{
  int64_t stalled = now - member->moved_at;

  if (member->bytes == 0)
    return false;
  if (member->state == QUOTA_SENDING)
    return stalled >= QUOTA_SEND_STALL;
  if (member->state == QUOTA_RUNNING)
    return false;
  return bytes <= QUOTA_SMALL_BYTES || stalled >= QUOTA_RECEIVE_STALL;
}

/* How much is gained by ending a connection: bytes times microseconds without progress. */
static double
gain_of (const struct quota_member *member, int64_t now)
{
  return (double) member->bytes * (double) (now - member->moved_at + STALL_OFFSET);
}

/* The best connection to end for `asker`, NULL for none; `sum` is what all such hold. */
static struct quota_member *
find_holder (const struct quota_member *asker, size_t bytes, int64_t now, uint64_t *sum)
{
  struct quota_member *best = NULL;
  struct quota_member *at;

  *sum = 0;
  DL_FOREACH (asker->quota->members, at)
    {
      if (at == asker || !may_end (at, bytes, now))
        continue;
      *sum += at->bytes;
      if (best == NULL || gain_of (at, now) > gain_of (best, now))
        best = at;
    }
  return best;
}

static void
end_for_memory (struct quota *quota, struct quota_member *member, int64_t now)
{
  bool keep = member->state == QUOTA_RECEIVING;

  counter_add (quota->ended[SHORTAGE_MEMORY], 1);
  log_shortage (quota, "client-ended", member, SHORTAGE_MEMORY, member->bytes, now);
  if (keep)
    set_bytes (member, 0);
  else
    quota_leave (member);
  member->ops->end (member, keep, now);
}

bool
quota_fits (const struct quota *quota, size_t bytes)
{
  return bytes <= limit_for (quota, bytes);
}

bool
quota_hold (struct quota_member *member, size_t bytes, int64_t now)
{
  struct quota *quota = member->quota;
  uint64_t limit = quota == NULL ? 0 : limit_for (quota, bytes);

  if (quota == NULL)
    return false;
  while (bytes > member->bytes && quota->bytes - member->bytes + bytes > limit)
    {
      uint64_t sum;
      struct quota_member *other = find_holder (member, bytes, now, &sum);

      if (other == NULL || quota->bytes - member->bytes - sum + bytes > limit)
        {
          counter_add (quota->refused[SHORTAGE_MEMORY], 1);
          log_shortage (quota, "client-refused", member, SHORTAGE_MEMORY, bytes, now);
          return false;
        }
      end_for_memory (quota, other, now);
    }
  set_bytes (member, bytes);
  return true;
}

/* ---- connections ---- */

/* The connection without progress for longest that may be ended; NULL for none. */
static struct quota_member *
find_stalled (const struct quota *quota, int64_t now)
{
  struct quota_member *best = NULL;
  struct quota_member *at;

  DL_FOREACH (quota->members, at)
    {
      if (at->state == QUOTA_RUNNING
          || (at->state == QUOTA_SENDING && now - at->moved_at < QUOTA_SEND_STALL))
        continue;
      if (best == NULL || at->moved_at < best->moved_at)
        best = at;
    }
  return best;
}

bool
quota_join (struct quota *quota, struct quota_member *member, int64_t now)
{
  member->state = QUOTA_IDLE;
  member->bytes = 0;
  member->received = 0;
  member->moved_at = now;
  while (quota->n_members + quota->n_own >= quota->config.connections_max)
    {
      struct quota_member *other = find_stalled (quota, now);

      if (other == NULL)
        {
          counter_add (quota->refused[SHORTAGE_CONNECTIONS], 1);
          log_shortage (quota, "client-refused", member, SHORTAGE_CONNECTIONS, 0, now);
          return false;
        }
      counter_add (quota->ended[SHORTAGE_CONNECTIONS], 1);
      log_shortage (quota, "client-ended", other, SHORTAGE_CONNECTIONS, other->bytes, now);
      quota_leave (other);
      other->ops->end (other, false, now);
    }
  member->quota = quota;
  DL_APPEND (quota->members, member);
  quota->n_members++;
  return true;
}

void
quota_leave (struct quota_member *member)
{
  struct quota *quota = member->quota;

  if (quota == NULL)
    return;
  set_bytes (member, 0);
  DL_DELETE (quota->members, member);
  quota->n_members--;
  member->quota = NULL;
}

void
quota_set_state (struct quota_member *member, enum quota_state state, int64_t now)
{
  if (member->state == state)
    return;
  member->state = state;
  member->moved_at = now;
  member->received = 0;
}

void
quota_note_progress (struct quota_member *member, size_t bytes, int64_t now)
{
  member->received += bytes;
  if (member->received < QUOTA_PROGRESS_BYTES)
    return;
  member->received = 0;
  member->moved_at = now;
}

void
quota_count_own (struct quota *quota, int change)
{
  quota->n_own += (uint32_t) change;
}

uint64_t
quota_bytes (const struct quota *quota)
{
  return quota->bytes;
}

uint32_t
quota_connections (const struct quota *quota)
{
  return quota->n_members;
}
