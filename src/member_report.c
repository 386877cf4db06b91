/* Applies what other hosts report about members to the view. */
#include "log.h"
#include "member_state.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

static unsigned
state_rank (enum host_state state)
{
  static const unsigned ranks[] = {
    [HOST_ALIVE] = 0, [HOST_LEAVING] = 0, [HOST_SUSPECT] = 1, [HOST_DEAD] = 2, [HOST_LEFT] = 3,
  };

  return ranks[state];
}

/* Handle an item about this host.  A suspicion is refuted with a higher sequence.  A later
 * incarnation is of a process whose clock was ahead of this one's; this host goes one past it. */
static void
apply_self (struct member *member, const char *from, const struct member_item *item, int64_t now)
{
  struct board_host *entry = member_board_entry (member, member->self);
  const struct board_host *reported = &item->host;

  if (reported->incarnation > entry->incarnation)
    {
      entry->incarnation = reported->incarnation + 1;
      member->self->sequence = 1;
      member->vitals.version = 0;
      member_queue_state (member, member->self, true);
      board_publish (member->board, BOARD_HOST_CHANGED, member->self->handle, now);
      return;
    }
  if (reported->incarnation < entry->incarnation || state_rank (reported->state) == 0
      || state_rank (entry->state) >= state_rank (reported->state))
    return;
  /* Already refuted, but the refutation did not reach the sender and is no longer gossiped. */
  if (item->sequence < member->self->sequence)
    {
      member_send_record (member, from, member->self);
      return;
    }
  counter_add (member->refutations, 1);
  member->self->sequence = item->sequence + 1;
  member_queue_state (member, member->self, false);
}

static void
update_record (struct member *member, struct member_host *host, const struct board_host *reported)
{
  struct board_host *entry = member_board_entry (member, host);
  bool moved = strcmp (entry->peer_address, reported->peer_address) != 0
               || strcmp (entry->public_key, reported->public_key) != 0;

  memcpy (entry->domain, reported->domain, sizeof entry->domain);
  memcpy (entry->region, reported->region, sizeof entry->region);
  memcpy (entry->entry_address, reported->entry_address, sizeof entry->entry_address);
  memcpy (entry->operator_address, reported->operator_address, sizeof entry->operator_address);
  memcpy (entry->target_address, reported->target_address, sizeof entry->target_address);
  memcpy (entry->peer_address, reported->peer_address, sizeof entry->peer_address);
  memcpy (entry->public_key, reported->public_key, sizeof entry->public_key);
  entry->voter = reported->voter;
  if (moved && entry->peer_address[0] != '\0')
    member->transport->ops->set_address (member->transport, host->name, entry->peer_address,
                                         entry->public_key);
}

static bool
is_newer (const struct member *member,
          const struct member_host *host,
          const struct member_item *item)
{
  const struct board_host *entry = member_board_entry (member, host);
  const struct board_host *reported = &item->host;

  if (reported->incarnation != entry->incarnation)
    return reported->incarnation > entry->incarnation;
  if (item->sequence != host->sequence)
    return item->sequence > host->sequence;
  /* A suspicion on this host's evidence alone gives way to any report that the host is alive. */
  if (host->local && state_rank (reported->state) == 0)
    return true;
  return state_rank (reported->state) > state_rank (entry->state);
}

/* Handle an item about an unknown host. */
static void
apply_unknown (struct member *member, const char *from, const struct member_item *item, int64_t now)
{
  struct member_host *host;

  if (!member_state_is_present (item->host.state))
    return;
  if (item->form != MEMBER_FORM_RECORD)
    {
      member_send (member, from, MEMBER_WANT, 0, item->host.name);
      return;
    }
  host = member_add_host (member, item->host.name, now);
  if (host == NULL)
    return;
  host->sequence = item->sequence;
  member_board_entry (member, host)->incarnation = item->host.incarnation;
  member_board_entry (member, host)->heard_at = now;
  member_board_entry (member, host)->behind = item->host.behind;
  member_board_entry (member, host)->cut_off = item->host.cut_off;
  update_record (member, host, &item->host);
  board_publish (member->board, BOARD_HOST_ADDED, host->handle, now);
  member_set_state (member, host, item->host.state, now);
  member_queue_state (member, host, true);
}

void
member_apply (struct member *member, const char *from, const struct member_item *item, int64_t now)
{
  struct member_host *host = member_find (member, item->host.name);
  struct board_host *entry;

  if (host == member->self)
    {
      apply_self (member, from, item, now);
      return;
    }
  if (host == NULL)
    {
      apply_unknown (member, from, item, now);
      return;
    }
  entry = member_board_entry (member, host);
  if (!is_newer (member, host, item))
    {
      /* A sender that knows the state already needs no copy, so this counts as one sent (Demers et
       * al., Epidemic algorithms, 1987: feedback). */
      if (item->sequence == host->sequence && item->host.state == entry->state)
        host->state_update.sent++;
      return;
    }
  if (item->host.incarnation != entry->incarnation)
    {
      /* A restarted process may have other addresses, so its record is requested. */
      if (item->form != MEMBER_FORM_RECORD)
        {
          member_send (member, from, MEMBER_WANT, 0, host->name);
          return;
        }
      host->vitals_version = 0;
      entry->incarnation = item->host.incarnation;
    }
  if (item->form == MEMBER_FORM_RECORD)
    update_record (member, host, &item->host);
  host->sequence = item->sequence;
  entry->behind = item->host.behind;
  entry->cut_off = item->host.cut_off;
  host->local = false;
  host->suspicion_gossiped = false;
  member_set_state (member, host, item->host.state, now);
  member_queue_state (member, host, item->form == MEMBER_FORM_RECORD);
}

bool
member_apply_vitals (struct member *member, const char *name, const struct member_vitals *vitals)
{
  struct member_host *host = member_find (member, name);
  struct board_host *entry;

  if (host == NULL || host == member->self)
    return false;
  entry = member_board_entry (member, host);
  if (vitals->incarnation != entry->incarnation || vitals->version <= host->vitals_version)
    return false;
  host->vitals_version = vitals->version;
  entry->revision = vitals->revision;
  entry->load = vitals->load_percent / 100.0;
  if (vitals->revision > member->newest_revision)
    member->newest_revision = vitals->revision;
  return true;
}
