/* Configuration messages between a voter and a follower.
 *
 * The samples are the messages that the two exchange in a run, recorded by fake ports. */
#include "config.h"
#include "config_feed.h"
#include "config_follow.h"
#include "config_wait.h"
#include "consensus_local.h"
#include "fuzz_parts.h"
#include "pack.h"
#include "store.h"
#include "text.h"
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define MESSAGES_MAX 16
#define RECORDED_MESSAGES 6
#define SAMPLES (RECORDED_MESSAGES + 2)
#define STEP (50 * USEC_PER_MSEC)
#define STEPS 40
#define OBJECTS 3

/* A port that passes each sent message to the listener of its peer and records it. */
struct fake_port
{
  struct peer_port port;
  struct fake_port *other;
  const char *name;
  struct peer_listener *listener;
  struct bytes *record; /* MESSAGES_MAX of them, or NULL */
  uint32_t *n_recorded;
  const int64_t *now;
};

static enum status
set_address (struct peer_port *port, const char *host, const char *address, const char *key)
{
  (void) port;
  (void) host;
  (void) address;
  (void) key;
  return STATUS_OK;
}

static void
forget (struct peer_port *port, const char *host)
{
  (void) port;
  (void) host;
}

static enum status
send_message (struct peer_port *port,
              const char *host,
              enum peer_channel channel,
              const void *data,
              size_t length)
{
  struct fake_port *self = (struct fake_port *) port;
  struct peer_listener *listener = self->other == NULL ? NULL : self->other->listener;

  (void) host;
  (void) channel;
  if (self->record != NULL && *self->n_recorded < MESSAGES_MAX)
    bytes_append (&self->record[(*self->n_recorded)++], data, length);
  if (listener != NULL)
    listener->ops->received (listener, self->name, data, length, *self->now);
  return STATUS_OK;
}

static void
listen_channel (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  (void) channel;
  ((struct fake_port *) port)->listener = listener;
}

static const struct peer_port_ops port_ops = {
  .set_address = set_address,
  .remove_host = forget,
  .send = send_message,
  .set_listener = listen_channel,
};

struct host
{
  struct fake_port port;
  struct board *board;
  struct store *store;
  struct consensus *consensus; /* voter only */
  struct config_link *link;
};

/* Two hosts that share a virtual clock. */
struct pair
{
  struct timer_service *timers;
  struct counters *counters;
  struct dump dump;
  int64_t now;
  struct host voter;
  struct host follower;
};

static void
run (struct pair *pair, int steps)
{
  for (; steps > 0; steps--)
    {
      pair->now += STEP;
      timer_service_run (pair->timers, pair->now);
    }
}

static void
make_host (struct pair *pair, struct host *host, const char *name)
{
  host->port.port.ops = &port_ops;
  host->port.name = name;
  host->port.now = &pair->now;
  host->board = board_new (pair);
  host->store = store_new (pair, &(struct store_config){ .history_events_max = 1 });
  host->link = config_link_new (pair, &host->port.port);
  config_wait_new (pair, &(struct config_wait_config){
                             .link = host->link, .board = host->board, .timers = pair->timers });
}

static struct config *
make_config (struct pair *pair, struct host *host)
{
  const struct config_config config = {
    .store = host->store,
    .board = host->board,
    .consensus = host->consensus,
    .timers = pair->timers,
    .counters = pair->counters,
    .dump = &pair->dump,
  };

  return config_new (pair, &config, pair->now);
}

static void
make_voter (struct pair *pair)
{
  struct host *host = &pair->voter;

  make_host (pair, host, "v");
  host->consensus = consensus_local_new (
      pair, &(struct consensus_local_config){
                .timers = pair->timers, .machine = store_machine (host->store), .name = "v" });
  make_config (pair, host);
  config_feed_new (pair, &(struct config_feed_config){ .link = host->link,
                                                       .store = host->store,
                                                       .consensus = host->consensus,
                                                       .timers = pair->timers,
                                                       .counters = pair->counters,
                                                       .dump = &pair->dump });
}

static void
make_follower (struct pair *pair)
{
  static const struct settings_peer voters[] = { { .name = "v", .address = "10.0.0.1:1" } };
  struct host *host = &pair->follower;
  struct config_follow *follow;

  make_host (pair, host, "f");
  follow = config_follow_new (pair,
                              &(struct config_follow_config){ .link = host->link,
                                                              .config = make_config (pair, host),
                                                              .store = host->store,
                                                              .board = host->board,
                                                              .timers = pair->timers,
                                                              .counters = pair->counters,
                                                              .dump = &pair->dump,
                                                              .host = "f" },
                              pair->now);
  config_follow_set_voters (follow, voters, 1);
}

/* Applies the declaration of the `i`-th pool on the voter. */
static void
declare_pool (struct pair *pair, uint32_t i)
{
  static const char spec[] = "{\"kind\":\"generate\",\"slots\":4}";
  struct store_change change = {
    .op = STORE_PUT,
    .kind = RESOURCE_POOL,
    .text = spec,
    .length = sizeof spec - 1,
    .host = "v",
    .time_ms = 1,
  };
  struct machine *machine = store_machine (pair->voter.store);
  struct bytes entry;
  struct bytes result;

  bytes_init (&entry, pair);
  bytes_init (&result, pair);
  snprintf (change.name, sizeof change.name, "pool-%u", i);
  store_change_pack (&change, &entry);
  machine->ops->apply (machine, i + 1, entry.data, entry.length, &result);
  bytes_clear (&entry);
  bytes_clear (&result);
}

static struct pair *
make_pair (void *parent)
{
  struct pair *pair = talloc_zero (parent, struct pair);

  pair->timers = timer_service_new (parent);
  pair->counters = counters_new (parent);
  pair->now = USEC_PER_SEC;
  make_voter (pair);
  make_follower (pair);
  return pair;
}

/* Records the messages of a run: first all objects in parts, since the voter's history does not
 * reach back to the start, and then changes. */
static uint32_t
record_run (void *parent, struct bytes messages[MESSAGES_MAX])
{
  struct pair *pair = make_pair (parent);
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < MESSAGES_MAX; i++)
    bytes_init (&messages[i], parent);
  pair->voter.port.record = messages;
  pair->voter.port.n_recorded = &n;
  pair->follower.port.record = messages;
  pair->follower.port.n_recorded = &n;
  pair->voter.port.other = &pair->follower.port;
  pair->follower.port.other = &pair->voter.port;
  for (i = 0; i < OBJECTS; i++)
    declare_pool (pair, i);
  run (pair, STEPS);
  declare_pool (pair, OBJECTS);
  run (pair, STEPS);
  talloc_free (pair);
  return n;
}

static void
config_sample (uint32_t i, struct bytes *out)
{
  void *parent = talloc_new (NULL);
  struct bytes messages[MESSAGES_MAX];
  uint32_t n;

  if (i >= RECORDED_MESSAGES)
    {
      config_link_write_header (i == RECORDED_MESSAGES ? CONFIG_WAIT_REQUEST : CONFIG_WAIT_REPLY,
                                out);
      pack_uint (out, 1);
      pack_uint (out, OBJECTS);
    }
  else
    {
      n = record_run (parent, messages);
      INVARIANT (n >= RECORDED_MESSAGES);
      bytes_append (out, messages[i].data, messages[i].length);
    }
  talloc_free (parent);
}

/* Delivers the message to both hosts and drops their replies.  The hosts report no error, since a
 * message from another release is silently ignored; they must only keep running.  The status shows
 * whether the message has a known kind. */
static enum status
config_decode (void *parent, const void *data, size_t length)
{
  struct pair *pair = make_pair (parent);
  struct pack_reader reader;
  enum status status = STATUS_MALFORMED;

  declare_pool (pair, 0);
  run (pair, 2);
  pair->follower.port.listener->ops->received (pair->follower.port.listener, "v", data, length,
                                               pair->now);
  pair->voter.port.listener->ops->received (pair->voter.port.listener, "f", data, length,
                                            pair->now);
  run (pair, 2);
  pack_reader_init (&reader, data, length);
  pack_read_uint (&reader, 1);
  if (pack_read_uint (&reader, CONFIG_MESSAGE_COUNT - 1) < CONFIG_MESSAGE_COUNT
      && pack_read_is_ok (&reader))
    status = STATUS_OK;
  /* Disarms the timers of the pair before their service, a child of `parent`, is freed. */
  talloc_free (pair);
  return status;
}

const struct fuzz_decoder fuzz_config = {
  .name = "config",
  .n_samples = SAMPLES,
  .sample = config_sample,
  .decode = config_decode,
};
