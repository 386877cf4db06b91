/* Peer port whose host names are addresses. */
#include "peer_direct.h"
#include <talloc.h>

struct peer_direct
{
  struct peer_port port;
  struct peer_port *inner;
};

static enum status
set_address (struct peer_port *port, const char *host, const char *address, const char *public_key)
{
  struct peer_direct *self = (struct peer_direct *) port;

  return self->inner->ops->set_address (self->inner, host, address, public_key);
}

static void
remove_host (struct peer_port *port, const char *host)
{
  struct peer_direct *self = (struct peer_direct *) port;

  self->inner->ops->remove_host (self->inner, host);
}

static enum status
send_message (struct peer_port *port,
              const char *host,
              enum peer_channel channel,
              const void *data,
              size_t length)
{
  struct peer_direct *self = (struct peer_direct *) port;
  enum status status = self->inner->ops->send (self->inner, host, channel, data, length);

  if (status != STATUS_NOT_FOUND)
    return status;
  status = self->inner->ops->set_address (self->inner, host, host, NULL);
  if (status != STATUS_OK)
    return status;
  return self->inner->ops->send (self->inner, host, channel, data, length);
}

static void
set_listener (struct peer_port *port, enum peer_channel channel, struct peer_listener *listener)
{
  struct peer_direct *self = (struct peer_direct *) port;

  self->inner->ops->set_listener (self->inner, channel, listener);
}

static const struct peer_port_ops port_ops = {
  .set_address = set_address,
  .remove_host = remove_host,
  .send = send_message,
  .set_listener = set_listener,
};

struct peer_port *
peer_direct_new (void *parent, struct peer_port *port)
{
  struct peer_direct *self = talloc_zero (parent, struct peer_direct);

  if (self == NULL)
    return NULL;
  self->port.ops = &port_ops;
  self->inner = port;
  return &self->port;
}
