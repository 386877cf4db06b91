/* Replicates the table of suspects over the peer channel. */
#include "quarantine_control.h"
#include "container.h"
#include "log.h"
#include "quarantine_wire.h"
#include <string.h>
#include <talloc.h>

struct quarantine_control
{
  struct quarantine_control_config config;
  struct quarantine *table;
  struct peer_listener listener;
  struct timer timer; /* compares tables */
  struct timer announce_timer;
  uint32_t next_peer;    /* index of the next controller to compare with */
  uint32_t next_to_send; /* where the next send_shared() starts */
  struct counter *held;  /* requests that are not sent any more */
  struct counter *suspected;
  struct counter *learnt;
  struct counter *not_kept;
  struct counter *messages;
  struct counter *bytes;
};

struct quarantine *
quarantine_control_table (struct quarantine_control *control)
{
  return control->table;
}

/* ---- sending ---- */

static bool
send_message (struct quarantine_control *control, const char *host, const struct bytes *message)
{
  struct peer_port *port = control->config.port;

  if (bytes_has_failed (message))
    return false;
  counter_add (control->messages, 1);
  counter_add (control->bytes, (double) message->length);
  return port->ops->send (port, host, PEER_CHANNEL_QUARANTINE, message->data, message->length)
         == STATUS_OK;
}

static void
send_summary (struct quarantine_control *control,
              enum quarantine_message kind,
              const char *host,
              int64_t now)
{
  struct bytes message;

  bytes_init (&message, NULL);
  quarantine_encode_summary (kind, quarantine_summary (control->table, now), &message);
  send_message (control, host, &message);
  bytes_clear (&message);
}

/* Builds a message of `n` suspects that are encoded already. */
static void
write_message (enum quarantine_message kind,
               const struct bytes *suspects,
               uint32_t n,
               struct bytes *out)
{
  bytes_init (out, NULL);
  quarantine_encode_header (kind, n, out);
  bytes_append (out, suspects->data, suspects->length);
}

/* Sends the suspects that entry hosts need, at most one message of them; the next call continues
 * behind the last one sent. */
static void
send_shared (struct quarantine_control *control,
             enum quarantine_message kind,
             const char *host,
             int64_t now)
{
  struct quarantine_suspect *suspect;
  struct bytes written;
  struct bytes message;
  uint32_t n = 0;

  bytes_init (&written, NULL);
  while (n < QUARANTINE_MESSAGE_SUSPECTS_MAX
         && (suspect = quarantine_at (control->table, control->next_to_send)) != NULL)
    {
      control->next_to_send++;
      if (!quarantine_is_shared (suspect))
        continue;
      quarantine_encode_suspect (suspect, now, &written);
      n++;
    }
  if (quarantine_at (control->table, control->next_to_send) == NULL)
    control->next_to_send = 0;
  write_message (kind, &written, n, &message);
  if (n > 0 && !bytes_has_failed (&written))
    send_message (control, host, &message);
  bytes_clear (&message);
  bytes_clear (&written);
}

/* Sends new evidence to all peers.  An entry host has the first controller that takes the message
 * relay it. */
static void
send_update (struct quarantine_control *control,
             const struct bytes *suspects,
             uint32_t n,
             const char *const *peers,
             uint32_t n_peers)
{
  bool relayed = !control->config.is_entry;
  struct bytes news;
  struct bytes relay;

  write_message (QUARANTINE_UPDATE, suspects, n, &news);
  write_message (QUARANTINE_RELAY, suspects, n, &relay);
  for (uint32_t i = 0; i < n_peers; i++)
    relayed = send_message (control, peers[i], relayed ? &news : &relay) || relayed;
  bytes_clear (&news);
  bytes_clear (&relay);
}

/* Sends at most one message and rearms the timer for the rest. */
static void
announce_fired (struct timer *timer, int64_t now)
{
  struct quarantine_control *control =
      CONTAINER_OF (timer, struct quarantine_control, announce_timer);
  const char *peers[SYNC_HOSTS_MAX];
  uint32_t n_peers = control->config.peers->ops->list (control->config.peers, peers, now);
  struct quarantine_suspect *suspect;
  struct bytes written;
  uint32_t n = 0;

  /* Evidence that only this host has is kept until a controller is reachable. */
  if (n_peers == 0 && control->config.is_entry)
    {
      timer_arm (control->config.timers, timer, now + QUARANTINE_COMPARE_RETRY_PERIOD);
      return;
    }
  bytes_init (&written, NULL);
  for (uint32_t i = 0; (suspect = quarantine_at (control->table, i)) != NULL; i++)
    {
      if (!suspect->announce_due)
        continue;
      if (n == QUARANTINE_MESSAGE_SUSPECTS_MAX)
        {
          timer_arm (control->config.timers, timer, now + QUARANTINE_ANNOUNCE_DELAY);
          break;
        }
      suspect->announce_due = false;
      suspect->last_announced = now;
      quarantine_encode_suspect (suspect, now, &written);
      n++;
    }
  if (n > 0 && !bytes_has_failed (&written))
    send_update (control, &written, n, peers, n_peers);
  bytes_clear (&written);
}

static const struct timer_ops announce_ops = { .fire = announce_fired };

void
quarantine_control_announce (struct quarantine_control *control,
                             struct quarantine_suspect *suspect,
                             int64_t now)
{
  suspect->announce_due = true;
  if (!timer_is_armed (&control->announce_timer))
    timer_arm (control->config.timers, &control->announce_timer, now + QUARANTINE_ANNOUNCE_DELAY);
}

/* ---- local changes ---- */

static void
update_gauges (struct quarantine_control *control, int64_t now)
{
  const struct quarantine_suspect *suspect;
  uint32_t held = 0;
  uint32_t suspected = 0;

  for (uint32_t i = 0; (suspect = quarantine_at (control->table, i)) != NULL; i++)
    {
      uint32_t count = quarantine_count_crashes (suspect, now);

      held += count >= QUARANTINE_CRASH_THRESHOLD ? 1 : 0;
      suspected += count > 0 && count < QUARANTINE_CRASH_THRESHOLD ? 1 : 0;
    }
  gauge_set (control->held, held);
  gauge_set (control->suspected, suspected);
}

static int64_t
newest_crash (const struct quarantine_suspect *suspect)
{
  int64_t newest = INT64_MIN;

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (!suspect->crashes[i].retracted && suspect->crashes[i].to > newest)
      newest = suspect->crashes[i].to;
  return newest;
}

static void
log_change (const struct quarantine_suspect *suspect,
            uint32_t before,
            const char *source,
            int64_t now)
{
  uint32_t count = quarantine_count_crashes (suspect, now);
  const char *event = "request-suspected";
  char content[REQUEST_DIGEST_TEXT_SIZE];
  char part[REQUEST_PART_TEXT_SIZE];

  if (count == before)
    return;
  if (count >= QUARANTINE_CRASH_THRESHOLD && before < QUARANTINE_CRASH_THRESHOLD)
    event = "request-held";
  else if (count < before)
    event = count == 0 ? "request-cleared" : "request-suspected-less";
  request_digest_format (&suspect->digest, content);
  request_digest_format_part (&suspect->digest, part);
  log_event (LOG_MODULE_FLOW,
             count >= QUARANTINE_CRASH_THRESHOLD ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO, event,
             "{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:I,s:I}", "content", content, "part", part,
             "organisation", suspect->organisation, "route", suspect->route, "ends", (int) count,
             "before", (int) before, "source", source, "newest_end_ms",
             (json_int_t) (count == 0 ? -1 : (now - newest_crash (suspect)) / USEC_PER_MSEC),
             "seen_ms", (json_int_t) ((now - suspect->last_seen) / USEC_PER_MSEC));
}

/* NULL if nothing of it was new. */
static struct quarantine_suspect *
merge_evidence (struct quarantine_control *control,
                const struct quarantine_suspect *from,
                const char *source,
                int64_t now)
{
  const struct quarantine_suspect *known = quarantine_find (control->table, &from->digest);
  uint32_t before = known == NULL ? 0 : quarantine_count_crashes (known, now);
  struct quarantine_suspect *suspect;
  bool news = quarantine_merge (control->table, from, now, &suspect);

  if (suspect == NULL)
    {
      counter_add (control->not_kept, 1);
      log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "suspect-not-kept", "{s:s,s:s,s:I}",
                 "organisation", from->organisation, "route", from->route, "seen_ms",
                 (json_int_t) ((now - from->last_seen) / USEC_PER_MSEC));
      return NULL;
    }
  if (!news)
    return NULL;
  counter_add (control->learnt, 1);
  log_change (suspect, before, source, now);
  update_gauges (control, now);
  return suspect;
}

void
quarantine_control_learn (struct quarantine_control *control,
                          const struct quarantine_suspect *learnt,
                          int64_t now)
{
  struct quarantine_suspect *suspect = merge_evidence (control, learnt, "here", now);

  if (suspect != NULL)
    quarantine_control_announce (control, suspect, now);
}

void
quarantine_control_clear (struct quarantine_control *control,
                          const struct request_digest *digest,
                          const char *why,
                          int64_t now)
{
  struct quarantine_suspect *suspect = quarantine_find (control->table, digest);
  uint32_t before = suspect == NULL ? 0 : quarantine_count_crashes (suspect, now);

  if (suspect == NULL || !quarantine_clear (suspect))
    return;
  log_change (suspect, before, why, now);
  update_gauges (control, now);
  quarantine_control_announce (control, suspect, now);
}

void
quarantine_control_retract (struct quarantine_control *control,
                            uint64_t incarnation,
                            int64_t alive,
                            const char *why,
                            int64_t now)
{
  struct quarantine_suspect *suspect;

  for (uint32_t i = 0; (suspect = quarantine_at (control->table, i)) != NULL; i++)
    {
      uint32_t before = quarantine_count_crashes (suspect, now);

      if (!quarantine_retract (suspect, incarnation, alive))
        continue;
      log_change (suspect, before, why, now);
      quarantine_control_announce (control, suspect, now);
    }
  update_gauges (control, now);
}

/* ---- receiving ---- */

/* Retracts the crashes of a suspect that this host knows to be no evidence. */
static void
refute (struct quarantine_control *control, struct quarantine_suspect *suspect, int64_t now)
{
  struct quarantine_view *view = control->config.view;
  int64_t until = view == NULL ? INT64_MIN : view->ops->cleared_until (view, &suspect->digest);
  uint32_t before = quarantine_count_crashes (suspect, now);

  if (!quarantine_retract_until (suspect, until))
    return;
  log_change (suspect, before, "a whole answer here", now);
  update_gauges (control, now);
  quarantine_control_announce (control, suspect, now);
}

/* A relayed message is passed on to all entry hosts where it is new; its sender is included, as it
 * may know less than this table by now. */
static void
receive_update (struct quarantine_control *control,
                const struct quarantine_decoded *decoded,
                const char *from,
                int64_t now)
{
  bool relays = decoded->kind == QUARANTINE_RELAY && !control->config.is_entry;

  for (uint32_t i = 0; i < decoded->n; i++)
    {
      struct quarantine_suspect *suspect =
          merge_evidence (control, &decoded->suspects[i], from, now);

      if (suspect == NULL)
        continue;
      if (relays && quarantine_is_shared (suspect))
        quarantine_control_announce (control, suspect, now);
      refute (control, suspect, now);
    }
}

static void
compare_tables (struct quarantine_control *control,
                const struct quarantine_decoded *decoded,
                const char *from,
                int64_t now)
{
  if (decoded->summary == quarantine_summary (control->table, now))
    return;
  if (decoded->kind == QUARANTINE_SUMMARY_REPLY)
    {
      send_shared (control, QUARANTINE_RELAY, from, now);
      return;
    }
  send_shared (control, QUARANTINE_UPDATE, from, now);
  send_summary (control, QUARANTINE_SUMMARY_REPLY, from, now);
}

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct quarantine_control *control = CONTAINER_OF (listener, struct quarantine_control, listener);
  struct quarantine_decoded *decoded = talloc (control, struct quarantine_decoded);

  if (decoded != NULL && quarantine_decode (data, length, now, decoded))
    {
      if (decoded->kind == QUARANTINE_UPDATE || decoded->kind == QUARANTINE_RELAY)
        receive_update (control, decoded, from, now);
      else
        compare_tables (control, decoded, from, now);
    }
  else
    log_event (LOG_MODULE_PEER, LOG_LEVEL_WARNING, "quarantine-message-refused", "{s:s,s:I}",
               "from", from, "length", (json_int_t) length);
  talloc_free (decoded);
}

static const struct peer_listener_ops listener_ops = { .received = received };

/* ---- periodic comparison ---- */

static void
timer_fired (struct timer *timer, int64_t now)
{
  struct quarantine_control *control = CONTAINER_OF (timer, struct quarantine_control, timer);
  const char *peers[SYNC_HOSTS_MAX];
  uint32_t n = 0;

  if (!quarantine_is_empty (control->table))
    {
      quarantine_expire (control->table, now);
      update_gauges (control, now);
    }
  if (control->config.is_entry)
    n = control->config.peers->ops->list (control->config.peers, peers, now);
  if (n > 0)
    send_summary (control, QUARANTINE_SUMMARY, peers[control->next_peer++ % n], now);
  timer_arm (control->config.timers, timer,
             now
                 + (n == 0 && control->config.is_entry ? QUARANTINE_COMPARE_RETRY_PERIOD
                                                       : QUARANTINE_COMPARE_PERIOD));
}

static const struct timer_ops timer_ops = { .fire = timer_fired };

/* ---- construction ---- */

static int
free_control (struct quarantine_control *control)
{
  timer_disarm (control->config.timers, &control->timer);
  timer_disarm (control->config.timers, &control->announce_timer);
  return 0;
}

static void
create_counters (struct quarantine_control *control)
{
  struct counters *counters = control->config.counters;

  control->held = gauge_get (counters, "cherryarch_quarantine_held",
                             "Requests and parts of prompts that are not sent any more.", NULL);
  control->suspected =
      gauge_get (counters, "cherryarch_quarantine_suspected",
                 "Requests and parts of prompts under which a target ended.", NULL);
  control->learnt = counter_get (counters, "cherryarch_quarantine_learnt_total",
                                 "Changes of what is known of suspects.", NULL);
  control->not_kept =
      counter_get (counters, "cherryarch_quarantine_not_kept_total",
                   "Suspects that were too old, or for which there was no room.", NULL);
  control->messages = counter_get (counters, "cherryarch_quarantine_messages_total",
                                   "Messages sent about suspects.", NULL);
  control->bytes = counter_get (counters, "cherryarch_quarantine_bytes_total",
                                "Bytes of messages sent about suspects.", NULL);
}

struct quarantine_control *
quarantine_control_new (void *parent, const struct quarantine_control_config *config)
{
  struct quarantine_control *control = talloc_zero (parent, struct quarantine_control);

  if (control == NULL)
    return NULL;
  control->config = *config;
  control->table = quarantine_new (control);
  control->listener.ops = &listener_ops;
  control->timer.ops = &timer_ops;
  control->announce_timer.ops = &announce_ops;
  if (control->table == NULL)
    {
      talloc_free (control);
      return NULL;
    }
  create_counters (control);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_QUARANTINE, &control->listener);
  timer_arm (config->timers, &control->timer, 0);
  talloc_set_destructor (control, free_control);
  return control;
}
