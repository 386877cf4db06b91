/* Sending: every message carries this host's vitals and as many updates as fit. */
#include "member_state.h"
#include "text.h"
#include <math.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* No update is added to a message once its items reach this size. */
#define UPDATES_BYTES 1200

/* A view is split into messages of about this size. */
#define VIEW_BYTES (8u << 10)

/* While state updates are queued, they are also sent between probes. */
#define GOSSIP_INTERVAL (200 * USEC_PER_MSEC)
#define GOSSIP_FANOUT 2

#define STATE_COPIES 3  /* copies of an update, times the binary logarithm of the hosts */
#define VITALS_COPIES 1 /* likewise; the next update replaces a lost one */

/* Vitals updates in one message; bounds their bytes whatever the number of hosts. */
#define VITALS_ITEMS_MAX 4

/* ---- the queue of updates ---- */

static uint32_t
copies_needed (const struct member *member, uint32_t factor)
{
  return factor * (uint32_t) ceil (log2 (HASH_COUNT (member->hosts) + 1));
}

static void
enqueue (struct member *member, struct member_host *host)
{
  if (host->is_queued)
    return;
  host->is_queued = true;
  DL_PREPEND (member->queue, host);
}

void
member_queue_state (struct member *member, struct member_host *host, bool record)
{
  /* A record still being gossiped must not shrink to a state, which hosts that lack the record
   * cannot use. */
  bool kept = host->state_update.waiting && host->state_update.record;

  host->state_update =
      (struct member_update){ .waiting = true, .record = record || kept, .sent = 0 };
  enqueue (member, host);
}

void
member_queue_vitals (struct member *member, struct member_host *host)
{
  host->vitals_update = (struct member_update){ .waiting = true, .record = false, .sent = 0 };
  enqueue (member, host);
}

void
member_dequeue (struct member *member, struct member_host *host)
{
  if (host->is_queued)
    DL_DELETE (member->queue, host);
  host->is_queued = false;
}

static void
dequeue_when_spread (struct member *member, struct member_host *host)
{
  if (host->state_update.sent >= copies_needed (member, STATE_COPIES))
    host->state_update.waiting = false;
  if (host->vitals_update.sent >= copies_needed (member, VITALS_COPIES))
    host->vitals_update.waiting = false;
  if (!host->state_update.waiting && !host->vitals_update.waiting)
    member_dequeue (member, host);
}

static uint32_t
least_sent (const struct member_host *host)
{
  return host->state_update.waiting ? host->state_update.sent : host->vitals_update.sent;
}

/* State updates first, then those sent the fewest times. */
static int
compare_updates (const struct member_host *a, const struct member_host *b)
{
  if (a->state_update.waiting != b->state_update.waiting)
    return a->state_update.waiting ? -1 : 1;
  return (int) least_sent (a) - (int) least_sent (b);
}

/* utlist's macros expand to long code; the function is short.
 * NOLINTBEGIN(readability-function-size) */
static void
sort_queue (struct member *member)
{
  DL_SORT (member->queue, compare_updates);
}

/* NOLINTEND(readability-function-size) */

/* ---- messages ---- */

static void
write_state (const struct member *member,
             const struct member_host *host,
             bool record,
             struct bytes *out)
{
  struct member_item item = {
    .form = record ? MEMBER_FORM_RECORD : MEMBER_FORM_STATE,
    .sequence = host->sequence,
    .host = *member_board_entry (member, host),
  };

  member_write_item (out, &item);
}

static void
write_vitals (const struct member *member, const struct member_host *host, struct bytes *out)
{
  const struct board_host *entry = member_board_entry (member, host);
  struct member_item item = { .form = MEMBER_FORM_VITALS };

  text_copy_truncated (item.host.name, sizeof item.host.name, host->name);
  item.vitals = (struct member_vitals){
    .incarnation = entry->incarnation,
    .version = host == member->self ? member->vitals.version : host->vitals_version,
    .revision = entry->revision,
    .load_percent = (uint32_t) (entry->load * 100 + 0.5),
  };
  member_write_item (out, &item);
}

uint32_t
member_digest (const struct member *member)
{
  const struct member_host *host;
  uint64_t sum = 0;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    {
      const struct board_host *entry = member_board_entry (member, host);

      if (member_state_is_present (entry->state))
        sum ^= XXH3_64bits_withSeed (host->name, strlen (host->name),
                                     entry->incarnation * 4 + (entry->behind ? 2 : 0)
                                         + (entry->cut_off ? 1 : 0));
    }
  return (uint32_t) (sum ^ sum >> 32);
}

static void
send_items (struct member *member,
            const char *host,
            struct member_head *head,
            const struct bytes *items)
{
  struct bytes out;

  head->vitals = member->vitals;
  head->digest = member_digest (member);
  bytes_init (&out, member);
  member_write_head (&out, head);
  if (items->length > 0)
    bytes_append (&out, items->data, items->length);
  if (!bytes_has_failed (&out) && !bytes_has_failed (items))
    {
      counter_add (member->messages_out, 1);
      counter_add (member->bytes_out, (double) out.length);
      member->transport->ops->send (member->transport, host, out.data, out.length);
    }
  bytes_clear (&out);
}

/* Tell a host that is suspect or dead in this view of it, so that it can refute (Lifeguard's buddy
 * system).  Otherwise a host that returns after a partition would not learn of it. */
static uint32_t
write_suspicion (const struct member *member, const char *name, struct bytes *out)
{
  const struct member_host *host = member_find (member, name);
  enum host_state state = host != NULL ? member_board_entry (member, host)->state : HOST_ALIVE;

  if (state == HOST_ALIVE || state == HOST_LEAVING)
    return 0;
  write_state (member, host, false, out);
  return 1;
}

static uint32_t
write_updates (struct member *member, struct bytes *out)
{
  struct member_host *host;
  struct member_host *next;
  uint32_t vitals = 0;
  uint32_t count = 0;

  sort_queue (member);
  DL_FOREACH_SAFE (member->queue, host, next)
    {
      if (out->length >= UPDATES_BYTES || count + 2 > MEMBER_ITEMS_MAX)
        break;
      if (host->state_update.waiting)
        {
          /* A suspicion on this host's evidence alone is not gossiped. */
          if (!host->local)
            write_state (member, host, host->state_update.record, out);
          count += host->local ? 0 : 1;
          host->state_update.sent++;
        }
      if (host->vitals_update.waiting && vitals < VITALS_ITEMS_MAX)
        {
          write_vitals (member, host, out);
          vitals++;
          count++;
          host->vitals_update.sent++;
        }
      dequeue_when_spread (member, host);
    }
  return count;
}

void
member_send (struct member *member,
             const char *host,
             enum member_kind kind,
             uint64_t number,
             const char *about)
{
  struct member_head head = { .kind = kind, .number = number };
  struct bytes items;

  text_copy_truncated (head.about, sizeof head.about, about);
  bytes_init (&items, member);
  head.n_items = write_suspicion (member, host, &items);
  /* A joining host has no view yet; its only update is its own record. */
  if (kind == MEMBER_JOIN)
    {
      write_state (member, member->self, true, &items);
      head.n_items++;
    }
  else
    head.n_items += write_updates (member, &items);
  send_items (member, host, &head, &items);
  bytes_clear (&items);
}

void
member_send_record (struct member *member, const char *host, const struct member_host *about)
{
  struct member_head head = { .kind = MEMBER_GOSSIP, .n_items = 1 };
  struct bytes items;

  bytes_init (&items, member);
  write_state (member, about, true, &items);
  send_items (member, host, &head, &items);
  bytes_clear (&items);
}

void
member_send_view (struct member *member, const char *host, enum member_kind kind, bool records)
{
  struct member_head head = { .kind = kind };
  const struct member_host *about;
  struct bytes items;

  bytes_init (&items, member);
  for (about = member->hosts; about != NULL; about = about->hh.next)
    {
      if (about->local)
        continue;
      write_state (member, about, records, &items);
      head.n_items++;
      if (items.length < VIEW_BYTES && head.n_items < MEMBER_ITEMS_MAX)
        continue;
      send_items (member, host, &head, &items);
      bytes_clear (&items);
      head = (struct member_head){ .kind = MEMBER_GOSSIP };
    }
  if (head.n_items > 0)
    send_items (member, host, &head, &items);
  bytes_clear (&items);
}

void
member_broadcast_state (struct member *member)
{
  struct member_host *host;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    {
      struct member_head head = { .kind = MEMBER_GOSSIP, .n_items = 1 };
      struct bytes items;

      if (host == member->self
          || !member_state_is_present (member_board_entry (member, host)->state))
        continue;
      bytes_init (&items, member);
      write_state (member, member->self, false, &items);
      send_items (member, host->name, &head, &items);
      bytes_clear (&items);
    }
}

const struct member_host *
member_pick_random (struct member *member, const char *not_this)
{
  const struct member_host *picked = NULL;
  const struct member_host *host;
  uint32_t seen = 0;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    {
      enum host_state state = member_board_entry (member, host)->state;

      if (host == member->self || (state != HOST_ALIVE && state != HOST_LEAVING)
          || strcmp (host->name, not_this) == 0)
        continue;
      if (rng_below (&member->rng, ++seen) == 0)
        picked = host;
    }
  return picked;
}

void
member_gossip (struct member *member, int64_t now)
{
  if (now < member->next_gossip || member->queue == NULL)
    return;
  sort_queue (member);
  if (!member->queue->state_update.waiting)
    return;
  member->next_gossip = now + GOSSIP_INTERVAL;
  for (int i = 0; i < GOSSIP_FANOUT; i++)
    {
      const struct member_host *host = member_pick_random (member, "");

      if (host == NULL)
        return;
      member_send (member, host->name, MEMBER_GOSSIP, 0, "");
    }
}
