/* The messages of PEER_CHANNEL_CONFIG, and their dispatch to handlers. */
#ifndef CONFIG_LINK_H
#define CONFIG_LINK_H

#include "decls.h"
#include "pack.h"
#include "peer.h"

BEGIN_DECLS

#define CONFIG_LINK_VERSION 1

/* Written into messages: never renumbered. */
enum config_message
{
  CONFIG_REQUEST = 0,       /* follower to voter: nonce, revision held */
  CONFIG_CHANGES = 1,       /* voter to follower: events in order */
  CONFIG_SNAPSHOT_PART = 2, /* voter to follower: revision, part, last, events of all objects */
  CONFIG_CONFIRMATION = 3,  /* voter to follower: nonce, revision confirmed after the request */
  CONFIG_WAIT_REQUEST = 4,  /* any host to any: id, revision */
  CONFIG_WAIT_REPLY = 5,    /* its answer: id, revision in force */
  CONFIG_MESSAGE_COUNT
};

struct config_handler;

struct config_handler_ops
{
  void (*received) (struct config_handler *handler,
                    enum config_message type,
                    const char *from,
                    struct pack_reader *body,
                    int64_t now);
};

struct config_handler
{
  const struct config_handler_ops *ops;
};

struct config_link;

/* Listens on the port's channel. */
struct config_link *config_link_new (void *parent, struct peer_port *port);
void config_link_set_handler (struct config_link *link,
                              enum config_message type,
                              struct config_handler *handler);

/* Write a message's header; the caller appends the body. */
void config_link_write_header (enum config_message type, struct bytes *out);

/* Send `message` and clear it. */
enum status config_link_send (struct config_link *link, const char *host, struct bytes *message);

END_DECLS

#endif
