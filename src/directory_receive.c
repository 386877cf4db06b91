/* Messages of the directory from other hosts: changes of their lists, and leases. */
#include "directory_state.h"
#include "load_report.h"
#include "log.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <utlist.h>

/* Log a change of a target's home as this host knows it; `to` NULL: no known home. */
static void
log_home_change (const struct directory *directory,
                 const struct directory_entry *entry,
                 const struct directory_home *to,
                 const char *why,
                 int64_t now)
{
  const struct board_target *target = directory_board_target (directory, entry);
  int64_t remaining = target == NULL ? 0 : target->lease_until - now;

  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_INFO, "home", "{s:s,s:s,s:s,s:s,s:I,s:I}", "target",
             entry->name, "from", entry->home == NULL ? "" : entry->home->name, "to",
             to == NULL ? "" : to->name, "why", why, "sequence", (json_int_t) entry->sequence,
             "lease_left_ms", (json_int_t) (remaining > 0 ? remaining / USEC_PER_MSEC : 0));
}

static void
remove_from_list (struct directory *directory, struct directory_entry *entry, int64_t now)
{
  if (entry->home == directory->own_home)
    directory_list_remove (directory, entry, now);
  else
    directory_detach (directory, entry, now);
}

/* Whether a change from `home` applies to the target.  A newer announcement wins.  The same one
 * from another home means that the target moved without a new sequence, unless its lease has
 * expired at that home too. */
static bool
change_applies (const struct directory_entry *entry,
                const struct directory_home *home,
                const struct directory_change *change)
{
  int order = directory_compare (entry, change->record.incarnation, change->record.sequence);

  if (order == 0 && entry->home != NULL && entry->home != home)
    return change->phase != DIRECTORY_LAPSED;
  return order >= 0;
}

static void
apply_gone (struct directory *directory,
            const struct directory_home *home,
            const struct directory_change *change,
            int64_t now)
{
  struct directory_entry *entry = directory_find_entry (directory, change->record.name);

  if (entry == NULL || entry->home != home)
    return;
  if (directory_compare (entry, change->record.incarnation, change->record.sequence) >= 0)
    {
      entry->incarnation = change->record.incarnation;
      entry->sequence = change->record.sequence;
    }
  log_home_change (directory, entry, NULL, "its home no longer lists it", now);
  directory_detach (directory, entry, now);
}

/* The end of the lease that this host holds for a target of the same incarnation, else 0.  A move
 * to another home must not cut it, although the push that reports the move grants no lease. */
static int64_t
current_lease (const struct directory *directory,
               const struct directory_entry *entry,
               const struct directory_change *change)
{
  const struct board_target *target = table_get (directory->board->targets, entry->target);

  if (target == NULL || entry->incarnation != change->record.incarnation)
    return 0;
  return target->lease_until;
}

static void
apply_change (struct directory *directory,
              struct directory_home *home,
              const struct directory_change *change,
              int64_t now)
{
  struct directory_entry *entry = directory_find_entry (directory, change->record.name);
  int64_t lease;

  INVARIANT (home != NULL);
  if (entry == NULL)
    entry = directory_add_entry (directory, change->record.name);
  if (entry == NULL)
    return;
  lease = current_lease (directory, entry, change);
  if (!change_applies (entry, home, change))
    {
      counter_add (directory->refused_outdated, 1);
      return;
    }
  if (entry->home != home)
    log_home_change (directory, entry, home, "the new home lists it", now);
  if (entry->home != NULL && (entry->home != home || entry->slot != change->slot))
    remove_from_list (directory, entry, now);
  if (directory_update_target (directory, entry, &change->record, now) != STATUS_OK)
    log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_ERROR, "not_shown", "{s:s,s:s}", "target",
               entry->name, "message", status_message ());
  if (entry->home == NULL)
    {
      if (change->slot < home->n_slots && home->slots[change->slot] != NULL)
        directory_detach (directory, home->slots[change->slot], now);
      if (directory_attach (directory, entry, home, change->slot) != STATUS_OK)
        return;
      entry->renewed_at = now;
    }
  directory_set_phase (directory, entry, change->phase, now);
  if (change->phase == DIRECTORY_READY)
    directory_set_lease (directory, entry, lease);
}

/* Drop a home's list but keep the leases.  A home that restarts within a second sends an empty list
 * before its targets have announced themselves again; cutting their leases would leave a pool
 * without targets meanwhile.  The lease of a target that is really gone still expires, as soon as
 * with a home that does not answer. */
static void
reset_list (struct directory *directory, struct directory_home *home, int64_t now)
{
  for (uint32_t slot = 0; slot < home->n_slots; slot++)
    if (home->slots[slot] != NULL)
      {
        log_home_change (directory, home->slots[slot], NULL, "its home restarted its list", now);
        directory_detach_keep_lease (directory, home->slots[slot], now);
      }
  home->version = 0;
  home->base = 0;
}

/* With `apply` false the changes are only parsed, so that a truncated message changes nothing. */
static bool
read_changes (struct directory *directory,
              struct directory_home *home,
              struct pack_reader reader,
              const struct directory_head *head,
              bool apply,
              int64_t now)
{
  struct directory_change change;

  for (uint32_t i = 0; i < head->n_changes; i++)
    {
      if (!directory_read_change (&reader, &change))
        return false;
      if (!apply || change.version <= home->version)
        continue;
      if (change.phase == DIRECTORY_GONE)
        apply_gone (directory, home, &change, now);
      else
        apply_change (directory, home, &change, now);
    }
  return pack_read_is_complete (&reader);
}

/* The lease of a slot, in microseconds.  Callers pass slots in ascending order, the order of the
 * exceptions; `cursor` is the position among them. */
static int64_t
slot_lease (const struct directory_head *head, uint32_t slot, uint32_t *cursor)
{
  while (*cursor < head->n_exceptions && head->exceptions[*cursor].slot < slot)
    (*cursor)++;
  if (*cursor < head->n_exceptions && head->exceptions[*cursor].slot == slot)
    return head->exceptions[*cursor].remaining_ms * USEC_PER_MSEC;
  return head->lease_ms * USEC_PER_MSEC;
}

/* Exceptions are targets that renew late: schedule the next request before the first of their
 * leases expires. */
static void
request_before_expiry (struct directory_home *home, const struct directory_head *head)
{
  int64_t remaining = DIRECTORY_ANSWER_LEASE;
  int64_t due;

  if (head->n_exceptions == 0)
    return;
  for (uint32_t i = 0; i < head->n_exceptions; i++)
    if (head->exceptions[i].remaining_ms * USEC_PER_MSEC < remaining)
      remaining = head->exceptions[i].remaining_ms * USEC_PER_MSEC;
  remaining = remaining > 2 * DIRECTORY_RETRY_INTERVAL ? remaining - DIRECTORY_RETRY_INTERVAL
                                                       : DIRECTORY_RETRY_INTERVAL;
  due = (int64_t) head->requested_at + remaining;
  if (due < home->next_request_at)
    home->next_request_at = due;
}

static void
apply_leases (struct directory *directory,
              const struct directory_home *home,
              const struct directory_head *head,
              int64_t now)
{
  int64_t requested_at = (int64_t) head->requested_at;
  uint32_t cursor = 0;

  /* Not an answer to a request of this host, or one from which every lease has already expired. */
  if (requested_at > now || now - requested_at >= DIRECTORY_LEASE)
    return;
  for (uint32_t slot = 0; slot < home->n_slots; slot++)
    {
      struct directory_entry *entry = home->slots[slot];
      int64_t until = requested_at + slot_lease (head, slot, &cursor);
      struct board_target *target;

      if (entry == NULL)
        continue;
      entry->renewed_at = now;
      target = table_get (directory->board->targets, entry->target);
      if (target != NULL && entry->phase == DIRECTORY_READY && until > target->lease_until)
        target->lease_until = until;
    }
}

/* Compute the time of the next request again with the list that the answer brought.  A home that
 * had no targets until this answer would otherwise be polled at the interval of a home without
 * targets, seconds after the new leases expired.  The earlier time is used, because the targets of
 * a home that lost its list come back soon. */
static void
reschedule_request (struct directory *directory, struct directory_home *home, int64_t now)
{
  int64_t due = now + directory_request_delay (directory, home);

  if (due < home->next_request_at)
    home->next_request_at = due;
}

static void
apply_list (struct directory *directory,
            struct directory_home *home,
            const struct pack_reader *reader,
            const struct directory_head *head,
            int64_t now)
{
  bool is_complete;

  if (head->kind == DIRECTORY_ANSWER_MESSAGE)
    {
      home->unanswered_requests = 0;
      home->next_request_at = now + directory_request_delay (directory, home);
    }
  if (head->epoch < home->epoch)
    return;
  if (head->epoch > home->epoch || head->reset)
    reset_list (directory, home, now);
  home->epoch = head->epoch;
  if (head->reset)
    home->base = head->current;
  if (head->since > home->version)
    {
      home->next_request_at = now;
      return;
    }
  read_changes (directory, home, *reader, head, true, now);
  if (head->version > home->version)
    home->version = head->version;
  is_complete = home->version >= head->current;
  if (is_complete)
    home->base = home->version;
  if (is_complete && head->kind == DIRECTORY_ANSWER_MESSAGE)
    {
      apply_leases (directory, home, head, now);
      reschedule_request (directory, home, now);
      request_before_expiry (home, head);
      load_report_apply (directory, home, head, now);
      return;
    }
  /* Neither a push nor a part of a list grants a lease. */
  if (!is_complete || home->n_ready > 0)
    home->next_request_at = now;
}

static void
handle_message (struct directory *directory,
                struct directory_home *home,
                struct pack_reader *reader,
                int64_t now)
{
  struct directory_request_message request;
  struct directory_head head = { 0 };
  uint64_t kind = pack_read_uint (reader, DIRECTORY_PUSH_MESSAGE);

  if (kind == DIRECTORY_REQUEST_MESSAGE && directory_read_request (reader, &request))
    {
      directory_send_answer (directory, home->name, &request, now);
      return;
    }
  head.kind = (enum directory_message_kind) kind;
  if ((kind == DIRECTORY_ANSWER_MESSAGE || kind == DIRECTORY_PUSH_MESSAGE)
      && directory_read_head (reader, &head)
      && read_changes (directory, home, *reader, &head, false, now))
    {
      apply_list (directory, home, reader, &head, now);
      return;
    }
  counter_add (directory->malformed, 1);
  log_event (LOG_MODULE_DIRECTORY, LOG_LEVEL_WARNING, "malformed", "{s:s}", "host", home->name);
}

void
directory_receive (
    struct directory *directory, const char *from, const void *data, size_t length, int64_t now)
{
  struct directory_home *home = directory_find_or_add_home (directory, from);
  struct pack_reader reader;

  if (home == NULL || home == directory->own_home)
    return;
  pack_reader_init (&reader, data, length);
  handle_message (directory, home, &reader, now);
}
