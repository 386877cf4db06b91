/* Declarations shared by the h1_client*.c files. */
#ifndef H1_CLIENT_PRIVATE_H
#define H1_CLIENT_PRIVATE_H

#include "client_stream.h"
#include "h1_client.h"
#include "resource.h"
#include <uthash.h>

/* Connections to one address. */
struct h1_endpoint
{
  char address[RESOURCE_ADDRESS_SIZE];
  struct h1_client_connection *idle; /* newest first */
  UT_hash_handle hh;
};

/* A connection. */
struct h1_client_connection
{
  struct client_stream stream;
  struct timer timer; /* path check, connect or idle timeout; frees the connection after a cancel */
  struct h1_client *client;
  struct h1_endpoint *endpoint;
  struct h1_client_connection *prev; /* in the idle list of its address */
  struct h1_client_connection *next;
  struct h1_client_connection *all_prev; /* in the client's list of all connections */
  struct h1_client_connection *all_next;
  struct h1_reader reader;
  struct h1_call *call;  /* NULL while idle */
  struct bytes message;  /* request to send once connected */
  int64_t idle_timeout;  /* microseconds */
  int64_t connect_until; /* end of the connect timeout */
  uint32_t n_skipped;    /* responses before the one to the call */
  uint64_t skipped_bytes;
  const char *excess; /* the limit of skipped responses that was exceeded; NULL: none */
  uint64_t received;  /* bytes since the start of the call */
  size_t head_held;   /* bytes of the head, as counted in the client's sum */
  bool skipping;      /* the current response is interim or belongs to another call */
  bool foreign;       /* a response to another call was received */
  bool overdrawn;     /* the call is to be ended, as too much is held */
  bool idle;
};

struct h1_client
{
  struct loop *loop;
  int64_t connect_timeout;
  const struct tls_trust *trust;
  struct h1_path_listener *paths;
  struct quota *quota;
  struct h1_endpoint *endpoints;
  struct h1_client_connection *connections;
  struct counter *opened;
  struct counter *reused;
  size_t held; /* by all running calls, with their heads; bytes */
  size_t held_max;
  struct counter *foreign;
  struct counter *rejected;
  struct counter *overdrawn;
  struct counter *held_gauge;
  int64_t rejections_since;    /* begin of the second that `rejections_logged` counts */
  uint32_t rejections_logged;  /* in that second */
  uint32_t rejections_omitted; /* from the log since the last line about one */
};

/* h1_client.c */

/* The connection has no call any more; its user learns nothing. */
void h1_client_detach (struct h1_client_connection *connection);
void h1_client_end_call (struct h1_client_connection *connection, enum h1_end end, int64_t now);
void h1_client_free_connection (struct h1_client_connection *connection);

/* h1_client_answer.c */
extern const struct h1_reader_ops h1_client_reader_ops;

/* Keeps the connection for a later call. */
void h1_client_go_idle (struct h1_client_connection *connection, int64_t now);

/* Reads bytes of responses; frees the connection if it cannot be used again. */
void h1_client_read (struct h1_client_connection *connection,
                     const char *data,
                     size_t length,
                     int64_t now);

/* The connection ended in order.  Whether that completed the response: the connection is freed
 * then. */
bool h1_client_read_end (struct h1_client_connection *connection, int64_t now);

#endif
