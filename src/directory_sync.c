/* Messages of the directory to other hosts: requests for lists, answers that renew leases, and
 * pushes of changes.  directory_receive.c handles the received answers and pushes.
 *
 * A lease that no answer renews expires without any message.  A push only makes a change known
 * sooner; after a lost push the next answer brings the change, because the versions differ. */
#include "directory_state.h"
#include "load_report.h"
#include "log.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

/* Intervals of requests to a host that has not answered yet, and to a host without targets.  The
 * latter grows with the number of hosts, so that these requests stay at a few per second in total;
 * a host's first target is announced by a push. */
#define FIRST_REQUEST_INTERVAL (400 * USEC_PER_MSEC)
#define IDLE_POLL_INTERVAL_MIN (5 * USEC_PER_SEC)
#define IDLE_POLL_INTERVAL_PER_HOST (400 * USEC_PER_MSEC)

/* After this many retries without an answer the home is likely gone, and requests fall back to the
 * regular interval. */
#define RETRIES_MAX 2

/* Interval between the pushes of a change set that exceeds one message. */
#define PUSH_INTERVAL (100 * USEC_PER_MSEC)

/* uthash's macros expand to long code.
 * NOLINTBEGIN(readability-function-size) */
struct directory_home *
directory_find_or_add_home (struct directory *directory, const char *name)
{
  struct directory_home *home;

  HASH_FIND_STR (directory->homes, name, home);
  if (home != NULL)
    return home;
  if (HASH_COUNT (directory->homes) >= BOARD_HOSTS_MAX)
    return NULL;
  home = talloc_zero (directory, struct directory_home);
  if (home == NULL)
    return NULL;
  text_copy_truncated (home->name, sizeof home->name, name);
  HASH_ADD_STR (directory->homes, name, home);
  return home;
}

/* NOLINTEND(readability-function-size) */

static void
send_message (struct directory *directory, const char *host, const struct bytes *message)
{
  if (bytes_has_failed (message))
    return;
  counter_add (directory->messages_out, 1);
  counter_add (directory->bytes_out, (double) message->length);
  directory->wire->ops->send (directory->wire, host, message->data, message->length);
}

static void
send_request (struct directory *directory, struct directory_home *home, int64_t now)
{
  struct directory_request_message message = {
    .requested_at = (uint64_t) now,
    .epoch = home->epoch,
    .version = home->version,
    .base = home->base,
  };
  struct bytes out;

  load_report_request (directory, home, &message, now);
  bytes_init (&out, directory);
  directory_write_request (&out, &message);
  send_message (directory, home->name, &out);
  bytes_clear (&out);
}

static bool
is_live_peer (const struct board_host *host)
{
  return !host->self && host->state != HOST_DEAD && host->state != HOST_LEFT;
}

int64_t
directory_request_delay (struct directory *directory, const struct directory_home *home)
{
  int64_t span = DIRECTORY_POLL_INTERVAL;
  int64_t idle = (int64_t) table_count (directory->board->hosts) * IDLE_POLL_INTERVAL_PER_HOST;

  /* The first request may have been sent before a connection existed. */
  if (home->epoch == 0)
    span = FIRST_REQUEST_INTERVAL;
  else if (home->n_ready == 0)
    span = idle > IDLE_POLL_INTERVAL_MIN ? idle : IDLE_POLL_INTERVAL_MIN;
  if (home->unanswered_requests > 0 && home->unanswered_requests <= RETRIES_MAX)
    return DIRECTORY_RETRY_INTERVAL;
  /* Up to a tenth earlier, so that the requests of different hosts are not synchronised. */
  return span - (int64_t) rng_below (&directory->rng, (uint64_t) span / 10);
}

static void
send_due_requests (struct directory *directory, int64_t now)
{
  const struct board_host *host;
  uint32_t cursor = 0;

  while ((host = table_next (directory->board->hosts, &cursor, NULL)) != NULL)
    {
      struct directory_home *home =
          is_live_peer (host) ? directory_find_or_add_home (directory, host->name) : NULL;

      if (home == NULL || now < home->next_request_at)
        continue;
      send_request (directory, home, now);
      home->unanswered_requests++;
      home->next_request_at = now + directory_request_delay (directory, home);
    }
}

/* ---- answers and pushes ---- */

static void
write_item (const struct directory *directory, struct bytes *out, const struct directory_item *item)
{
  struct directory_change change = { .slot = item->slot, .version = item->version };
  const struct directory_entry *entry = item->entry;
  const struct board_target *target =
      entry != NULL ? table_get (directory->board->targets, entry->target) : NULL;

  change.phase = target != NULL ? entry->phase : DIRECTORY_GONE;
  text_copy_truncated (change.record.name, sizeof change.record.name,
                       entry != NULL ? entry->name : item->name);
  change.record.incarnation = entry != NULL ? entry->incarnation : item->incarnation;
  change.record.sequence = entry != NULL ? entry->sequence : item->sequence;
  directory_write_change (out, &change, target);
}

/* Write the items that changed after `head->since` to `out`, as many as fit in one message, and set
 * `head->version` to the version of the last one. */
static void
write_changes (const struct directory *directory, struct directory_head *head, struct bytes *out)
{
  const struct directory_item *item =
      directory->items != NULL ? directory->items->prev : NULL; /* the last */

  head->epoch = directory->own_home->epoch;
  head->current = directory->own_home->version;
  head->version = head->current;
  head->n_changes = 0;
  while (item != NULL && item->version > head->since && item != directory->items)
    item = item->prev;
  if (item != NULL && item->version <= head->since)
    item = item->next;
  for (; item != NULL; item = item->next)
    {
      if (head->n_changes == DIRECTORY_CHANGES_MAX || out->length >= DIRECTORY_MESSAGE_MAX)
        {
          head->version = item->prev->version;
          return;
        }
      write_item (directory, out, item);
      head->n_changes++;
    }
}

static void
send_changes (struct directory *directory,
              const char *host,
              const struct directory_head *head,
              const struct bytes *changes)
{
  struct bytes out;

  bytes_init (&out, directory);
  directory_write_head (&out, head);
  if (changes->length > 0)
    bytes_append (&out, changes->data, changes->length);
  if (!bytes_has_failed (changes))
    send_message (directory, host, &out);
  bytes_clear (&out);
}

/* Write one lease for the whole list, and exceptions by slot for targets that have less left. */
static void
write_leases (const struct directory *directory, struct directory_head *head, int64_t now)
{
  head->lease_ms = (uint32_t) (DIRECTORY_ANSWER_LEASE / USEC_PER_MSEC);
  for (uint32_t slot = 0; slot < directory->own_home->n_slots; slot++)
    {
      const struct directory_entry *entry = directory->own_home->slots[slot];
      int64_t remaining;

      if (entry == NULL || entry->phase != DIRECTORY_READY)
        continue;
      remaining = entry->renewed_at + DIRECTORY_LEASE - now;
      if (remaining >= DIRECTORY_ANSWER_LEASE)
        continue;
      remaining = remaining > 0 ? remaining / USEC_PER_MSEC : 0;
      if (head->n_exceptions < DIRECTORY_EXCEPTIONS_MAX)
        head->exceptions[head->n_exceptions++] =
            (struct directory_lease_exception){ .slot = slot,
                                                .remaining_ms = (uint32_t) remaining };
      else if (remaining < head->lease_ms)
        head->lease_ms = (uint32_t) remaining;
    }
}

void
directory_send_answer (struct directory *directory,
                       const char *host,
                       const struct directory_request_message *request,
                       int64_t now)
{
  struct directory_head head = { .kind = DIRECTORY_ANSWER_MESSAGE,
                                 .requested_at = request->requested_at };
  struct bytes changes;

  head.since = request->version;
  head.reset = request->epoch != directory->own_home->epoch
               || request->base < directory->dropped_version
               || request->version > directory->own_home->version;
  if (head.reset)
    head.since = 0;
  bytes_init (&changes, directory);
  write_changes (directory, &head, &changes);
  write_leases (directory, &head, now);
  load_report_answer (directory, request, &head, now);
  send_changes (directory, host, &head, &changes);
  bytes_clear (&changes);
}

static void
push_changes (struct directory *directory, int64_t now)
{
  struct directory_head head = { .kind = DIRECTORY_PUSH_MESSAGE,
                                 .since = directory->pushed_version };
  const struct board_host *host;
  struct bytes changes;
  uint32_t cursor = 0;

  bytes_init (&changes, directory);
  write_changes (directory, &head, &changes);
  while ((host = table_next (directory->board->hosts, &cursor, NULL)) != NULL)
    if (is_live_peer (host))
      send_changes (directory, host->name, &head, &changes);
  bytes_clear (&changes);
  directory->pushed_version = head.version;
  directory->push_at = head.version < head.current ? now + PUSH_INTERVAL : USEC_NEVER;
}

void
directory_sync_tick (struct directory *directory, int64_t now)
{
  if (now >= directory->push_at)
    push_changes (directory, now);
  send_due_requests (directory, now);
}
