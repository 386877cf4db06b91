/* Shared by the files of the peer port: peer_zmq.c creates it and sends, peer_zmq_receive.c
 * validates and dispatches received messages. */
#ifndef PEER_ZMQ_PRIVATE_H
#define PEER_ZMQ_PRIVATE_H

#include "peer_trust.h"
#include "peer_zmq.h"
#include "resource.h"
#include "timer.h"
#include <uthash.h>

#define PEER_ENVELOPE_VERSION 1
#define PEER_ENVELOPE_FIELDS 4

struct peer
{
  char name[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  char public_key[BOARD_KEY_SIZE];
  void *socket;
  UT_hash_handle hh;
  bool was_connected; /* at least one message was sent to it */
  bool unreachable;   /* the last message found no connection, or a full queue */
};

struct peer_zmq
{
  struct peer_port port; /* first member: the vtable */
  struct loop_watch watch;
  struct timer resume_receive; /* fires when messages remain after a full batch */
  struct loop *loop;
  struct peer_trust *trust;
  void *context;
  void *router;
  bool uses_curve;
  char name[RESOURCE_NAME_SIZE];
  char secret_key[BOARD_KEY_SIZE];
  char public_key[BOARD_KEY_SIZE];
  int queue_messages;
  int reconnect_max_ms;
  int connect_timeout_ms;
  int retransmit_max_ms;
  uint16_t bound_port;
  struct peer *peers; /* by name */
  struct peer_listener *listeners[PEER_CHANNEL_COUNT];
  struct peer_zmq_traffic traffic;
  struct counter *malformed;
  struct counter *sender_mismatch;
  struct counter *not_sent;
  struct counter *messages_in;
  struct counter *messages_out;
  struct counter *bytes_in;
  struct counter *bytes_out;
};

/* Receives a batch of messages; a timer receives the rest. */
void peer_zmq_receive (struct peer_zmq *peer, int64_t now);

#endif
