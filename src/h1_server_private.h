/* Internals of the HTTP/1.1 server: h1_server.c accepts connections and reads requests,
 * h1_server_answer.c writes responses. */
#ifndef H1_SERVER_PRIVATE_H
#define H1_SERVER_PRIVATE_H

#include "h1_server.h"
#include "timer.h"

#define STATUS_CLASSES 6

/* Time a client has to read the last response and close, in microseconds.  It is renewed while the
 * client makes progress. */
#define H1_LINGER_TIMEOUT (2 * USEC_PER_SEC)

enum connection_state
{
  CONNECTION_READING, /* idle, or receiving a request */
  CONNECTION_WAITING, /* for the response to begin */
  CONNECTION_ANSWERING,
  CONNECTION_CLOSING, /* sending the rest, then closing */
};

struct h1_connection
{
  struct tcp_stream stream;
  struct quota_member member;
  struct timer timer;
  struct h1_server *server;
  struct h1_connection *previous;
  struct h1_connection *next;
  struct h1_reader reader;
  struct bytes body;
  struct bytes input; /* received and not parsed yet */
  struct h1_exchange exchange;
  enum connection_state state;
  unsigned reject_status; /* status for a request rejected by its head or body size; 0: none */
  bool bodiless;          /* the response has no body, whatever the handler gives */
  bool chunked;           /* the response is chunked */
  int64_t remaining;      /* bytes missing from the announced length; negative: none announced */
  bool keep;              /* keep the connection open after the response */
  bool in_feed;
  size_t discarded;      /* bytes received since the connection is to close */
  size_t unacknowledged; /* response bytes not acknowledged by the client at the last check */
};

struct h1_server
{
  struct h1_server_config config;
  struct tcp_listener listener;
  struct h1_connection *connections;
  uint32_t n_connections;
  uint32_t pending;
  bool closing;
  struct counter *requests;
  struct counter *refused;
  struct counter *dropped;
  struct counter *answers[STATUS_CLASSES]; /* by the first digit of the status */
};

static inline struct timer_service *
h1_connection_timers (const struct h1_connection *connection)
{
  return loop_timers (connection->server->config.loop);
}

/* The response ended and the connection stays open: read the next request. */
void h1_connection_next (struct h1_connection *connection, int64_t now);

/* Count the memory that the connection holds, with `more` bytes to come.  False if all clients
 * together would hold too much. */
bool h1_connection_hold (struct h1_connection *connection, size_t more, int64_t now);

/* Send the rest of the last response, then close. */
void h1_connection_close_when_sent (struct h1_connection *connection, int64_t now);

/* Close the connection.  It may be on the call stack, so the timer frees it from the event loop. */
void h1_connection_drop (struct h1_connection *connection, bool reset);

#endif
