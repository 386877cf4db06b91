/* Failure detection: probes, helpers, joining, and reconnecting after a partition. */
#include "log.h"
#include "member_state.h"
#include "text.h"
#include <string.h>

#define JOIN_INTERVAL_MIN (500 * USEC_PER_MSEC)
#define JOIN_INTERVAL_MAX (10 * USEC_PER_SEC)

/* Interval between joins sent to a dead host and to an unknown seed; shorter while cut off. */
#define REACH_INTERVAL (10 * USEC_PER_SEC)
#define REACH_INTERVAL_CUT_OFF (1 * USEC_PER_SEC)

/* Updates take time to spread; views that differ for this long have missed some. */
#define DIFFERENCE_AGE_MIN (10 * USEC_PER_SEC)
#define SYNC_INTERVAL (30 * USEC_PER_SEC)
#define SYNC_INTERVAL_CUT_OFF (1 * USEC_PER_SEC)

/* ---- probes of this host ---- */

static struct member_host *
pick_unprobed (struct member *member)
{
  struct member_host *host;
  struct member_host *picked = NULL;
  uint32_t seen = 0;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    if (host != member->self && host->probe_round < member->round
        && member_state_is_present (member_board_entry (member, host)->state)
        && rng_below (&member->rng, ++seen) == 0)
      picked = host;
  return picked;
}

/* Each host has its own random order in each round: every host is probed once a round, and hosts do
 * not all probe the same one at the same time. */
static struct member_host *
next_host (struct member *member)
{
  struct member_host *host = pick_unprobed (member);

  if (host != NULL)
    return host;
  member->round++;
  return pick_unprobed (member);
}

static struct member_probe *
find_free_probe (struct member *member)
{
  for (int i = 0; i < MEMBER_PROBES_MAX; i++)
    if (member->probes[i].number == 0)
      return &member->probes[i];
  return NULL;
}

static struct member_probe *
find_probe (struct member *member, uint64_t number)
{
  for (int i = 0; i < MEMBER_PROBES_MAX; i++)
    if (number != 0 && member->probes[i].number == number)
      return &member->probes[i];
  return NULL;
}

static void
start_probe (struct member *member, int64_t now)
{
  struct member_probe *probe = find_free_probe (member);
  struct member_host *host = probe != NULL ? next_host (member) : NULL;

  /* Jitter of a tenth either way, so that hosts do not probe in step. */
  member->next_probe = now + MEMBER_PROBE_PERIOD * 9 / 10
                       + (int64_t) rng_below (&member->rng, MEMBER_PROBE_PERIOD / 5);
  if (host == NULL)
    return;
  host->probe_round = member->round;
  *probe = (struct member_probe){ .number = ++member->next_number, .started = now };
  text_copy_truncated (probe->host, sizeof probe->host, host->name);
  member_send (member, host->name, MEMBER_PING, probe->number, "");
}

static void
ask_helpers (struct member *member, struct member_probe *probe)
{
  char last[RESOURCE_NAME_SIZE] = "";

  probe->indirect = true;
  for (int i = 0; i < MEMBER_HELPERS; i++)
    {
      const struct member_host *helper = member_pick_random (member, probe->host);

      if (helper == NULL)
        return;
      if (strcmp (helper->name, last) != 0)
        member_send (member, helper->name, MEMBER_PROBE_FOR, probe->number, probe->host);
      text_copy_truncated (last, sizeof last, helper->name);
    }
}

static void
end_probe (struct member *member, struct member_probe *probe, int64_t now)
{
  struct member_host *host = member_find (member, probe->host);

  probe->number = 0;
  if (host == NULL)
    return;
  member_suspect (member, host, probe->helper_answered, now);
  /* Not even a helper answered: this host is likely cut off, and probes again at once to find
   * out. */
  if (!probe->helper_answered)
    member->next_probe = now;
}

static void
probe_step (struct member *member, int64_t now)
{
  for (int i = 0; i < MEMBER_PROBES_MAX; i++)
    {
      struct member_probe *probe = &member->probes[i];

      if (probe->number == 0)
        continue;
      if (!probe->indirect && now - probe->started >= MEMBER_DIRECT_TIMEOUT)
        ask_helpers (member, probe);
      if (now - probe->started >= MEMBER_PROBE_TIMEOUT)
        end_probe (member, probe, now);
    }
  if (now >= member->next_probe)
    start_probe (member, now);
}

/* ---- probes for others ---- */

static void
relay_start (struct member *member, const char *asker, const struct member_head *head, int64_t now)
{
  for (int i = 0; i < MEMBER_RELAYS_MAX; i++)
    {
      struct member_relay *relay = &member->relays[i];

      if (relay->number != 0)
        continue;
      relay->number = ++member->next_number;
      relay->asker_number = head->number;
      relay->until = now + MEMBER_DIRECT_TIMEOUT;
      text_copy_truncated (relay->asker, sizeof relay->asker, asker);
      text_copy_truncated (relay->about, sizeof relay->about, head->about);
      member_send (member, head->about, MEMBER_PING, relay->number, "");
      return;
    }
}

static void
relay_end (struct member *member, struct member_relay *relay, enum member_kind kind)
{
  relay->number = 0;
  member_send (member, relay->asker, kind, relay->asker_number, relay->about);
}

static void
relays_step (struct member *member, int64_t now)
{
  for (int i = 0; i < MEMBER_RELAYS_MAX; i++)
    if (member->relays[i].number != 0 && now >= member->relays[i].until)
      relay_end (member, &member->relays[i], MEMBER_NACK);
}

/* ---- joining and reconnecting ---- */

static void
join_step (struct member *member, int64_t now)
{
  if (now < member->next_join || member_count_present (member) > 1)
    return;
  for (uint32_t i = 0; i < member->n_seeds; i++)
    member_send (member, member->seeds[i].name, MEMBER_JOIN, 0, "");
  if (member->join_interval < JOIN_INTERVAL_MIN)
    member->join_interval = JOIN_INTERVAL_MIN;
  member->next_join = now + member->join_interval;
  member->join_interval =
      member->join_interval * 2 > JOIN_INTERVAL_MAX ? JOIN_INTERVAL_MAX : member->join_interval * 2;
}

static const char *
pick_dead_host (struct member *member)
{
  const struct member_host *host;
  const char *picked = NULL;
  uint32_t seen = 0;

  for (host = member->hosts; host != NULL; host = host->hh.next)
    if (member_board_entry (member, host)->state == HOST_DEAD
        && rng_below (&member->rng, ++seen) == 0)
      picked = host->name;
  return picked;
}

static const char *
pick_unknown_seed (struct member *member)
{
  uint32_t start = (uint32_t) rng_below (&member->rng, member->n_seeds);

  for (uint32_t i = 0; i < member->n_seeds; i++)
    {
      const char *name = member->seeds[(start + i) % member->n_seeds].name;

      if (member_find (member, name) == NULL)
        return name;
    }
  return NULL;
}

/* Two sides of a partition that hold each other for dead merge after any one message between them:
 * it carries the suspicion, its receiver refutes it, and the views are compared. */
static void
reach_step (struct member *member, int64_t now)
{
  const char *name;

  if (now < member->next_reach)
    return;
  member->next_reach = now + (member->cut_off ? REACH_INTERVAL_CUT_OFF : REACH_INTERVAL) * 9 / 10
                       + (int64_t) rng_below (&member->rng, USEC_PER_SEC / 5);
  /* A host that restarted meanwhile may not know this one or its address; a join carries both. */
  name = pick_dead_host (member);
  if (name != NULL)
    member_send (member, name, MEMBER_JOIN, 0, "");
  name = pick_unknown_seed (member);
  if (name != NULL)
    member_send (member, name, MEMBER_JOIN, 0, "");
}

void
member_probe_tick (struct member *member, int64_t now)
{
  relays_step (member, now);
  join_step (member, now);
  reach_step (member, now);
  probe_step (member, now);
}

/* ---- messages ---- */

static void
compare_views (struct member *member, const char *from, const struct member_head *head, int64_t now)
{
  int64_t span = member->cut_off ? SYNC_INTERVAL_CUT_OFF : SYNC_INTERVAL;
  int64_t different = member->cut_off ? 0 : DIFFERENCE_AGE_MIN;

  if (head->digest == member_digest (member))
    {
      member->differs_since = 0;
      return;
    }
  if (member->differs_since == 0)
    member->differs_since = now;
  if (now - member->differs_since < different || now - member->synced_at < span)
    return;
  member->synced_at = now;
  member_send_view (member, from, MEMBER_SYNC, false);
}

/* The host answered some message of this one, so no probe of it may end in a suspicion. */
static void
clear_probes (struct member *member, const char *host)
{
  for (int i = 0; i < MEMBER_PROBES_MAX; i++)
    if (strcmp (member->probes[i].host, host) == 0)
      member->probes[i].number = 0;
}

static void
handle_ack (struct member *member, const char *from, const struct member_head *head)
{
  const struct member_probe *probe = find_probe (member, head->number);

  clear_probes (member, from);
  /* Sent by a helper that reached the host. */
  if (probe != NULL && strcmp (head->about, probe->host) == 0)
    clear_probes (member, head->about);
  for (int i = 0; i < MEMBER_RELAYS_MAX; i++)
    if (member->relays[i].number != 0 && member->relays[i].number == head->number
        && strcmp (member->relays[i].about, from) == 0)
      {
        relay_end (member, &member->relays[i], MEMBER_ACK);
        return;
      }
}

static void
handle_nack (struct member *member, const struct member_head *head)
{
  struct member_probe *probe = find_probe (member, head->number);

  if (probe != NULL && strcmp (head->about, probe->host) == 0)
    probe->helper_answered = true;
}

static void
handle_want (struct member *member, const char *from, const struct member_head *head)
{
  const struct member_host *about = member_find (member, head->about);

  if (about != NULL)
    member_send_record (member, from, about);
}

void
member_probe_message (struct member *member,
                      const char *from,
                      const struct member_head *head,
                      int64_t now)
{
  switch (head->kind)
    {
    case MEMBER_PING:
      member_send (member, from, MEMBER_ACK, head->number, "");
      compare_views (member, from, head, now);
      break;
    case MEMBER_ACK:
      handle_ack (member, from, head);
      compare_views (member, from, head, now);
      break;
    case MEMBER_PROBE_FOR:
      relay_start (member, from, head, now);
      break;
    case MEMBER_NACK:
      handle_nack (member, head);
      break;
    case MEMBER_WANT:
      handle_want (member, from, head);
      break;
    case MEMBER_JOIN:
      member_send_view (member, from, MEMBER_GOSSIP, true);
      break;
    case MEMBER_SYNC:
      member_send_view (member, from, MEMBER_GOSSIP, false);
      break;
    case MEMBER_GOSSIP:
    case MEMBER_KIND_COUNT:
      break;
    }
}

/* With `apply` false the items are only decoded, so that a truncated message changes nothing. */
static bool
read_items (struct member *member,
            const char *from,
            struct pack_reader reader,
            uint32_t count,
            bool apply,
            int64_t now)
{
  struct member_item item;

  for (uint32_t i = 0; i < count; i++)
    {
      if (!member_read_item (&reader, &item))
        return false;
      if (!apply)
        continue;
      if (item.form != MEMBER_FORM_VITALS)
        member_apply (member, from, &item, now);
      else if (member_apply_vitals (member, item.host.name, &item.vitals))
        member_queue_vitals (member, member_find (member, item.host.name));
    }
  return pack_read_is_complete (&reader);
}

void
member_receive (
    struct member *member, const char *from, const void *data, size_t length, int64_t now)
{
  struct member_host *host;
  struct member_head head;
  struct pack_reader reader;

  pack_reader_init (&reader, data, length);
  if (!member_read_head (&reader, &head)
      || !read_items (member, from, reader, head.n_items, false, now))
    {
      counter_add (member->malformed, 1);
      log_event (LOG_MODULE_MEMBER, LOG_LEVEL_WARNING, "malformed", "{s:s}", "host", from);
      return;
    }
  if (strcmp (from, member->self->name) == 0)
    return;
  read_items (member, from, reader, head.n_items, true, now);
  member_apply_vitals (member, from, &head.vitals);
  host = member_find (member, from);
  if (host != NULL)
    member_board_entry (member, host)->heard_at = now;
  else if (head.kind != MEMBER_JOIN)
    member_send (member, from, MEMBER_WANT, 0, from);
  member_probe_message (member, from, &head, now);
}
