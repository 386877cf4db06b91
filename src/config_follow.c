/* Replicates a voter's store to a host that does not vote. */
#include "config_follow.h"
#include "container.h"
#include "log.h"
#include "text.h"
#include <talloc.h>
#include <xxhash.h>

#define EVENTS_MAX 65536
#define UNANSWERED_MAX 2 /* requests before the next voter is tried */
#define REQUESTS_KEPT 16 /* an answer to an older request is ignored */

struct config_follow
{
  struct config_follow_config config;
  struct config_handler handler;
  struct timer timer;
  struct dump_source source;
  char voters[SETTINGS_VOTERS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_voters;
  uint32_t voter; /* index of the voter asked */
  uint32_t unanswered;
  uint64_t nonce;
  int64_t requested_at[REQUESTS_KEPT]; /* by nonce modulo REQUESTS_KEPT */
  uint64_t snapshot_revision;          /* of the snapshot being received */
  uint32_t snapshot_next_part;         /* number of its next part; 0 when none is received */
  struct counter *requests;
};

static int64_t
last_requested_at (const struct config_follow *follow)
{
  return follow->requested_at[follow->nonce % REQUESTS_KEPT];
}

static void
send_request (struct config_follow *follow, int64_t now)
{
  struct bytes message;

  bytes_init (&message, follow);
  follow->nonce++;
  follow->requested_at[follow->nonce % REQUESTS_KEPT] = now;
  follow->unanswered++;
  config_link_write_header (CONFIG_REQUEST, &message);
  pack_uint (&message, follow->nonce);
  pack_uint (&message, store_revision (follow->config.store));
  config_link_send (follow->config.link, follow->voters[follow->voter], &message);
  counter_add (follow->requests, 1);
}

/* A voter that does not answer is down, unreachable, or without a quorum.  The missing answer is
 * the only sign of all three, and another voter may still confirm. */
static void
due (struct timer *timer, int64_t now)
{
  struct config_follow *follow = CONTAINER_OF (timer, struct config_follow, timer);
  bool settled = follow->config.board->config_ready && follow->unanswered == 0;

  if (follow->unanswered >= UNANSWERED_MAX && follow->n_voters > 0)
    {
      follow->voter = (follow->voter + 1) % follow->n_voters;
      follow->unanswered = 0;
    }
  if (follow->n_voters > 0)
    send_request (follow, now);
  timer_arm (follow->config.timers, timer,
             now + (settled ? CONFIG_CONFIRM_PERIOD : CONFIG_REQUEST_PERIOD));
}

/* Handle a gap left by a lost message: send the next request early, with the revision held. */
static void
request_soon (struct config_follow *follow, int64_t now)
{
  int64_t at = last_requested_at (follow) + CONFIG_REQUEST_PERIOD;

  follow->snapshot_next_part = 0;
  if (at < follow->timer.due)
    timer_arm (follow->config.timers, &follow->timer, at < now ? now : at);
}

static void
apply_changes (struct config_follow *follow, struct pack_reader *body, int64_t now)
{
  uint32_t count = pack_read_array (body, EVENTS_MAX);
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      struct store_event event;
      void *scratch = talloc_new (follow);
      enum status status = store_event_unpack (&event, body, scratch);

      if (status == STATUS_OK && event.revision > store_revision (follow->config.store))
        status = store_apply_event (follow->config.store, &event);
      talloc_free (scratch);
      if (status == STATUS_OK)
        continue;
      request_soon (follow, now);
      return;
    }
}

static void
apply_snapshot_part (struct config_follow *follow, struct pack_reader *body, int64_t now)
{
  uint64_t revision = pack_read_uint (body, UINT64_MAX);
  uint32_t number = (uint32_t) pack_read_uint (body, UINT32_MAX);
  bool last = pack_read_bool (body);
  uint32_t count = pack_read_array (body, EVENTS_MAX);
  uint32_t i;

  if (!pack_read_is_ok (body))
    return;
  if (number == 0)
    store_replace_begin (follow->config.store);
  else if (number != follow->snapshot_next_part || revision != follow->snapshot_revision)
    {
      request_soon (follow, now);
      return;
    }
  for (i = 0; i < count; i++)
    {
      struct store_event event;
      void *scratch = talloc_new (follow);
      enum status status = store_event_unpack (&event, body, scratch);

      if (status == STATUS_OK)
        store_replace_add (follow->config.store, &event);
      talloc_free (scratch);
      if (status == STATUS_OK)
        continue;
      request_soon (follow, now);
      return;
    }
  follow->snapshot_revision = revision;
  follow->snapshot_next_part = last ? 0 : number + 1;
  if (last && store_replace_end (follow->config.store, revision) != STATUS_OK)
    log_event (LOG_MODULE_STORE, LOG_LEVEL_WARNING, "old-copy-refused", "{s:s}", "message",
               status_message ());
}

/* A confirmation counts from the time of the request that it answers. */
static void
apply_confirmation (struct config_follow *follow, struct pack_reader *body, int64_t now)
{
  uint64_t nonce = pack_read_uint (body, UINT64_MAX);
  uint64_t revision = pack_read_uint (body, UINT64_MAX);

  if (!pack_read_is_complete (body) || nonce > follow->nonce
      || nonce + REQUESTS_KEPT <= follow->nonce)
    return;
  follow->unanswered = 0;
  if (store_revision (follow->config.store) < revision)
    request_soon (follow, now);
  else
    config_set_confirmed (follow->config.config, follow->requested_at[nonce % REQUESTS_KEPT], now);
}

static bool
is_voter (const struct config_follow *follow, const char *host)
{
  uint32_t i;

  for (i = 0; i < follow->n_voters; i++)
    if (strcmp (follow->voters[i], host) == 0)
      return true;
  return false;
}

static void
received (struct config_handler *handler,
          enum config_message type,
          const char *from,
          struct pack_reader *body,
          int64_t now)
{
  struct config_follow *follow = CONTAINER_OF (handler, struct config_follow, handler);

  /* Parts of two voters' snapshots must not mix, and only voters may send a configuration. */
  if (!is_voter (follow, from)
      || (type != CONFIG_CHANGES && strcmp (follow->voters[follow->voter], from) != 0))
    return;
  if (type == CONFIG_CHANGES)
    apply_changes (follow, body, now);
  else if (type == CONFIG_SNAPSHOT_PART)
    apply_snapshot_part (follow, body, now);
  else
    apply_confirmation (follow, body, now);
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct config_follow *follow = CONTAINER_OF (source, struct config_follow, source);

  return json_pack ("{s:s,s:I,s:I}", "voter",
                    follow->n_voters > 0 ? follow->voters[follow->voter] : "", "unanswered",
                    (json_int_t) follow->unanswered, "asked_ms_ago",
                    (json_int_t) ((now - last_requested_at (follow)) / USEC_PER_MSEC));
}

static const struct config_handler_ops handler_ops = { .received = received };
static const struct timer_ops timer_ops = { .fire = due };
static const struct dump_source_ops source_ops = { .describe = describe };

static int
destroy (struct config_follow *follow)
{
  timer_disarm (follow->config.timers, &follow->timer);
  return 0;
}

struct config_follow *
config_follow_new (void *parent, const struct config_follow_config *config, int64_t now)
{
  struct config_follow *follow = talloc_zero (parent, struct config_follow);

  if (follow == NULL)
    return NULL;
  follow->config = *config;
  follow->config.host = talloc_strdup (follow, config->host);
  if (follow->config.host == NULL)
    {
      talloc_free (follow);
      return NULL;
    }
  follow->handler.ops = &handler_ops;
  follow->timer.ops = &timer_ops;
  follow->source.ops = &source_ops;
  follow->source.name = "config_follow";
  follow->requests = counter_get (config->counters, "cherryarch_config_asks_total",
                                  "Times a voter was asked to confirm the configuration.", NULL);
  config_link_set_handler (config->link, CONFIG_CHANGES, &follow->handler);
  config_link_set_handler (config->link, CONFIG_SNAPSHOT_PART, &follow->handler);
  config_link_set_handler (config->link, CONFIG_CONFIRMATION, &follow->handler);
  if (config->dump != NULL)
    dump_add (config->dump, &follow->source);
  timer_arm (config->timers, &follow->timer, now);
  talloc_set_destructor (follow, destroy);
  return follow;
}

void
config_follow_set_voters (struct config_follow *follow,
                          const struct settings_peer *voters,
                          uint32_t n_voters)
{
  uint32_t i;

  follow->n_voters = n_voters > SETTINGS_VOTERS_MAX ? SETTINGS_VOTERS_MAX : n_voters;
  for (i = 0; i < follow->n_voters; i++)
    text_copy_truncated (follow->voters[i], sizeof follow->voters[i], voters[i].name);
  follow->voter = follow->n_voters == 0
                      ? 0
                      : (uint32_t) (XXH3_64bits (follow->config.host, strlen (follow->config.host))
                                    % follow->n_voters);
  follow->unanswered = 0;
}
