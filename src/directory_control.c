/* Connects the directory to the peer channel PEER_CHANNEL_DIRECTORY and to the timers. */
#include "directory_control.h"
#include "container.h"
#include <stddef.h>
#include <talloc.h>

struct directory_control
{
  struct directory_wire wire; /* first member */
  struct peer_listener listener;
  struct timer timer;
  struct dump_source source;
  struct peer_port *port;
  struct timer_service *timers;
  struct directory *directory;
};

static void
wire_send (struct directory_wire *wire, const char *host, const void *data, size_t length)
{
  struct directory_control *control = (struct directory_control *) wire;

  /* The message is lost when the queue is full or the host unknown; the next request recovers. */
  (void) control->port->ops->send (control->port, host, PEER_CHANNEL_DIRECTORY, data, length);
}

static const struct directory_wire_ops wire_ops = { .send = wire_send };

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct directory_control *control = CONTAINER_OF (listener, struct directory_control, listener);

  directory_receive (control->directory, from, data, length, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static void
fire (struct timer *timer, int64_t now)
{
  struct directory_control *control = CONTAINER_OF (timer, struct directory_control, timer);

  timer_arm (control->timers, timer, directory_tick (control->directory, now));
}

static const struct timer_ops timer_ops = { .fire = fire };

static json_t *
describe (struct dump_source *source, int64_t now)
{
  struct directory_control *control = CONTAINER_OF (source, struct directory_control, source);

  (void) now;
  return directory_describe (control->directory);
}

static const struct dump_source_ops source_ops = { .describe = describe };

static int
free_control (struct directory_control *control)
{
  timer_disarm (control->timers, &control->timer);
  return 0;
}

struct directory_control *
directory_control_new (void *parent, const struct directory_control_config *config)
{
  struct directory_control *control = talloc_zero (parent, struct directory_control);
  struct directory_config inner = {
    .board = config->board,
    .counters = config->counters,
    .cache = config->cache,
    .self = config->self,
    .incarnation = config->incarnation,
    .seed = config->seed,
  };

  if (control == NULL)
    return NULL;
  control->wire.ops = &wire_ops;
  control->listener.ops = &listener_ops;
  control->timer.ops = &timer_ops;
  control->source.ops = &source_ops;
  control->source.name = "directory";
  control->port = config->port;
  control->timers = config->timers;
  inner.wire = &control->wire;
  control->directory = directory_new (control, &inner);
  if (control->directory == NULL)
    {
      talloc_free (control);
      return NULL;
    }
  talloc_set_destructor (control, free_control);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_DIRECTORY, &control->listener);
  timer_arm (control->timers, &control->timer, config->now);
  if (config->dump != NULL)
    dump_add (config->dump, &control->source);
  return control;
}

struct directory *
directory_control_directory (struct directory_control *control)
{
  return control->directory;
}
