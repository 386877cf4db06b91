/* Connects membership to PEER_CHANNEL_MEMBER, the timers and the peer port's addresses. */
#include "member_control.h"
#include "container.h"
#include <stddef.h>
#include <talloc.h>

struct member_control
{
  struct member_transport transport; /* first member */
  struct peer_listener listener;
  struct timer timer;
  struct dump_source source;
  struct peer_port *port;
  struct timer_service *timers;
  struct member *member;
};

static void
wire_send (struct member_transport *wire, const char *host, const void *data, size_t length)
{
  struct member_control *control = (struct member_control *) wire;

  /* An unsent message counts as lost: its probe fails, and its updates are sent again. */
  (void) control->port->ops->send (control->port, host, PEER_CHANNEL_MEMBER, data, length);
}

static void
wire_set_address (struct member_transport *wire,
                  const char *host,
                  const char *address,
                  const char *public_key)
{
  struct member_control *control = (struct member_control *) wire;

  (void) control->port->ops->set_address (control->port, host, address,
                                          public_key[0] != '\0' ? public_key : NULL);
}

static void
wire_forget (struct member_transport *wire, const char *host)
{
  struct member_control *control = (struct member_control *) wire;

  control->port->ops->remove_host (control->port, host);
}

static const struct member_transport_ops wire_ops = {
  .send = wire_send,
  .set_address = wire_set_address,
  .forget = wire_forget,
};

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct member_control *control = CONTAINER_OF (listener, struct member_control, listener);

  member_receive (control->member, from, data, length, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static void
fire (struct timer *timer, int64_t now)
{
  struct member_control *control = CONTAINER_OF (timer, struct member_control, timer);

  timer_arm (control->timers, timer, member_tick (control->member, now));
}

static const struct timer_ops timer_ops = { .fire = fire };

static json_t *
describe (struct dump_source *source, int64_t now)
{
  struct member_control *control = CONTAINER_OF (source, struct member_control, source);

  return member_describe (control->member, now);
}

static const struct dump_source_ops source_ops = { .describe = describe };

static int
free_control (struct member_control *control)
{
  timer_disarm (control->timers, &control->timer);
  return 0;
}

struct member_control *
member_control_new (void *parent, const struct member_control_config *config)
{
  struct member_control *control = talloc_zero (parent, struct member_control);
  struct member_config inner = {
    .board = config->board,
    .counters = config->counters,
    .self = config->self,
    .seeds = config->seeds,
    .n_seeds = config->n_seeds,
    .seed = config->seed,
    .now = config->now,
  };

  if (control == NULL)
    return NULL;
  control->transport.ops = &wire_ops;
  control->listener.ops = &listener_ops;
  control->timer.ops = &timer_ops;
  control->source.ops = &source_ops;
  control->source.name = "member";
  control->port = config->port;
  control->timers = config->timers;
  inner.transport = &control->transport;
  control->member = member_new (control, &inner);
  if (control->member == NULL)
    {
      talloc_free (control);
      return NULL;
    }
  talloc_set_destructor (control, free_control);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_MEMBER, &control->listener);
  timer_arm (control->timers, &control->timer, config->now);
  if (config->dump != NULL)
    dump_add (config->dump, &control->source);
  return control;
}

struct member *
member_control_member (struct member_control *control)
{
  return control->member;
}
