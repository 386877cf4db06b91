/* The configuration in force on this host. */
#include "config.h"
#include "config_board.h"
#include "container.h"
#include "log.h"
#include <talloc.h>

struct config
{
  struct config_config config;
  struct config_board *entries;
  struct store_listener listener;
  struct timer board_timer;   /* armed when the store is newer than the board */
  struct timer request_timer; /* next request to a quorum */
  struct proposal proposal;
  struct dump_source source;
  bool reading;
  int64_t requested_at;
  uint32_t n_unreadable; /* specs that this release cannot read */
  bool replaced;         /* the store was replaced; its history does not list what changed */
  struct counter *changes;
  struct counter *revision;
};

static void
apply_all (struct config *config)
{
  config->n_unreadable = config_board_replace (config->entries, config->config.store);
  config->config.board->revision = store_revision (config->config.store);
  config->replaced = false;
}

static void
apply_one (struct config *config, const struct store_event *event)
{
  if (config_board_apply (config->entries, event) != STATUS_OK)
    {
      config->n_unreadable++;
      log_event (LOG_MODULE_STORE, LOG_LEVEL_ERROR, "spec-not-read", "{s:s}", "message",
                 status_message ());
    }
  config->config.board->revision = event->revision;
  counter_add (config->changes, 1);
}

/* Apply the store's changes to the board. */
static void
update_board (struct config *config, int64_t now)
{
  struct board *board = config->config.board;
  const struct store_history *changes = store_get_history (config->config.store);
  const struct store_event *event;
  uint64_t before = board->revision;

  if (!board->config_ready
      || (!config->replaced && store_revision (config->config.store) == before))
    return;
  while (!config->replaced)
    {
      if (store_history_next (changes, board->revision, &event) != STATUS_OK)
        config->replaced = true;
      else if (event == NULL)
        break;
      else
        apply_one (config, event);
    }
  if (config->replaced)
    apply_all (config);
  INVARIANT (board->revision >= before);
  gauge_set (config->revision, (double) board->revision);
  board_publish (board, BOARD_CONFIG_CHANGED, (struct handle){ 0 }, now);
}

static void
board_due (struct timer *timer, int64_t now)
{
  update_board (CONTAINER_OF (timer, struct config, board_timer), now);
}

/* The board is updated from the loop, not from inside the state machine: the listener is not given
 * the time, and must not block a voter that applies a long run of entries. */
static void
changed (struct store_listener *listener, const struct store_event *event)
{
  struct config *config = CONTAINER_OF (listener, struct config, listener);

  (void) event;
  if (config->config.board->config_ready && !timer_is_armed (&config->board_timer))
    timer_arm (config->config.timers, &config->board_timer, 0);
}

static void
replaced (struct store_listener *listener)
{
  CONTAINER_OF (listener, struct config, listener)->replaced = true;
  changed (listener, NULL);
}

void
config_set_confirmed (struct config *config, int64_t at, int64_t now)
{
  struct board *board = config->config.board;

  if (at > board->confirmed_at)
    board->confirmed_at = at;
  if (board->config_ready)
    return;
  board->config_ready = true;
  config->replaced = true;
  update_board (config, now);
  log_event (LOG_MODULE_STORE, LOG_LEVEL_INFO, "config-ready", "{s:I}", "revision",
             (json_int_t) board->revision);
}

/* Ask a quorum whether the store holds everything committed. */
static void
request_due (struct timer *timer, int64_t now)
{
  struct config *config = CONTAINER_OF (timer, struct config, request_timer);
  struct consensus *consensus = config->config.consensus;

  config->requested_at = now;
  config->reading =
      consensus->ops->read (consensus, &config->proposal, now + CONFIG_CONFIRM_PERIOD, now)
      == STATUS_OK;
  if (!config->reading)
    timer_arm (config->config.timers, timer, now + CONFIG_REQUEST_PERIOD);
}

static void
read_done (
    struct proposal *proposal, enum status status, const void *result, size_t length, int64_t now)
{
  struct config *config = CONTAINER_OF (proposal, struct config, proposal);
  int64_t period = CONFIG_REQUEST_PERIOD;

  (void) result;
  (void) length;
  config->reading = false;
  if (status == STATUS_OK)
    {
      config_set_confirmed (config, config->requested_at, now);
      period = CONFIG_CONFIRM_PERIOD;
    }
  timer_arm (config->config.timers, &config->request_timer, now + period);
}

static json_t *
describe (struct dump_source *source, int64_t now)
{
  const struct config *config = CONTAINER_OF (source, struct config, source);
  const struct board *board = config->config.board;
  json_int_t age = board->config_ready ? (now - board->confirmed_at) / USEC_PER_MSEC : -1;

  return json_pack ("{s:I,s:b,s:b,s:I,s:I,s:o}", "revision", (json_int_t) board->revision, "ready",
                    board->config_ready, "confirmed", config_is_confirmed (board, now),
                    "confirmed_ms_ago", age, "specs_not_read", (json_int_t) config->n_unreadable,
                    "store", store_describe (config->config.store));
}

static const struct store_listener_ops listener_ops = { .changed = changed, .replaced = replaced };
static const struct timer_ops board_timer_ops = { .fire = board_due };
static const struct timer_ops request_timer_ops = { .fire = request_due };
static const struct proposal_ops proposal_ops = { .done = read_done };
static const struct dump_source_ops source_ops = { .describe = describe };

static int
destroy (struct config *config)
{
  timer_disarm (config->config.timers, &config->board_timer);
  timer_disarm (config->config.timers, &config->request_timer);
  store_remove_listener (config->config.store, &config->listener);
  if (config->reading)
    config->config.consensus->ops->withdraw (config->config.consensus, &config->proposal);
  return 0;
}

struct config *
config_new (void *parent, const struct config_config *config, int64_t now)
{
  struct config *self = talloc_zero (parent, struct config);

  if (self == NULL)
    return NULL;
  self->config = *config;
  self->entries = config_board_new (self, config->board, config->access);
  if (self->entries == NULL)
    {
      talloc_free (self);
      return NULL;
    }
  self->listener.ops = &listener_ops;
  self->board_timer.ops = &board_timer_ops;
  self->request_timer.ops = &request_timer_ops;
  self->proposal.ops = &proposal_ops;
  self->source.ops = &source_ops;
  self->source.name = "config";
  self->changes = counter_get (config->counters, "cherryarch_config_changes_total",
                               "Changes of configuration brought into force here.", NULL);
  self->revision = gauge_get (config->counters, "cherryarch_config_revision",
                              "Revision of the configuration in force here.", NULL);
  store_add_listener (config->store, &self->listener);
  if (config->dump != NULL)
    dump_add (config->dump, &self->source);
  if (config->consensus != NULL)
    timer_arm (config->timers, &self->request_timer, now);
  talloc_set_destructor (self, destroy);
  return self;
}
