/* The messages of PEER_CHANNEL_CONFIG. */
#include "config_link.h"
#include <talloc.h>

struct config_link
{
  struct peer_listener listener;
  struct peer_port *port;
  struct config_handler *handlers[CONFIG_MESSAGE_COUNT];
};

/* A message of an unknown version or type comes from another release and is dropped; its sender
 * repeats it or does without an answer. */
static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct config_link *link = (struct config_link *) listener;
  struct pack_reader body;
  uint64_t type;

  pack_reader_init (&body, data, length);
  if (pack_read_uint (&body, UINT64_MAX) != CONFIG_LINK_VERSION)
    return;
  type = pack_read_uint (&body, CONFIG_MESSAGE_COUNT - 1);
  if (pack_read_is_ok (&body) && link->handlers[type] != NULL)
    link->handlers[type]->ops->received (link->handlers[type], (enum config_message) type, from,
                                         &body, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

struct config_link *
config_link_new (void *parent, struct peer_port *port)
{
  struct config_link *link = talloc_zero (parent, struct config_link);

  if (link == NULL)
    return NULL;
  link->listener.ops = &listener_ops;
  link->port = port;
  port->ops->set_listener (port, PEER_CHANNEL_CONFIG, &link->listener);
  return link;
}

void
config_link_set_handler (struct config_link *link,
                         enum config_message type,
                         struct config_handler *handler)
{
  link->handlers[type] = handler;
}

void
config_link_write_header (enum config_message type, struct bytes *out)
{
  pack_uint (out, CONFIG_LINK_VERSION);
  pack_uint (out, type);
}

enum status
config_link_send (struct config_link *link, const char *host, struct bytes *message)
{
  enum status status;

  if (bytes_has_failed (message))
    status = status_fail (STATUS_NO_MEMORY, "no memory for a message");
  else
    status = link->port->ops->send (link->port, host, PEER_CHANNEL_CONFIG, message->data,
                                    message->length);
  bytes_clear (message);
  return status;
}
