/* Peer port whose host names are addresses. */
#include "peer_direct.h"
#include <talloc.h>

struct peer_direct
{
  struct peer_port port;
  struct peer_port *under;
};

static enum status
set_address (struct peer_port *port, const char *host, const char *address, const char *public_key)
{
  struct peer_direct *self = (struct peer_direct *) port;

  return self->under->ops->set_address (self->under, host, address, public_key);
}

static void
forget (struct peer_port *port, const char *host)
{
  struct peer_direct *self = (struct peer_direct *) port;

  self->under->ops->forget (self->under, host);
}

static enum status
send_message (struct peer_port *port,
              const char *host,
              enum peer_channel channel,
              const void *data,
              size_t length)
{
  struct peer_direct *self = (struct peer_direct *) port;
  enum status status = self->under->ops->send (self->under, host, channel, data, length);

  if (status != STATUS_NOT_FOUND)
    return status;
  status = self->under->ops->set_address (self->under, host, host, NULL);
  if (status != STATUS_OK)
    return status;
  return self->under->ops->send (self->under, host, channel, data, length);
}

static void
listen_channel (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  struct peer_direct *self = (struct peer_direct *) port;

  self->under->ops->listen (self->under, channel, listener);
}

static const struct peer_port_ops port_ops = {
  .set_address = set_address,
  .forget = forget,
  .send = send_message,
  .listen = listen_channel,
};

struct peer_port *
peer_direct_new (void *parent, struct peer_port *port)
{
  struct peer_direct *self = talloc_zero (parent, struct peer_direct);

  if (self == NULL)
    return NULL;
  self->port.ops = &port_ops;
  self->under = port;
  return &self->port;
}
