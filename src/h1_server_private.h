/* Shared by the files of the HTTP/1.1 server: h1_server.c accepts connections and reads requests,
 * h1_server_answer.c writes answers. */
#ifndef H1_SERVER_PRIVATE_H
#define H1_SERVER_PRIVATE_H

#include "h1_server.h"
#include "timer.h"

#define STATUS_CLASSES 6

/* After the last answer a client has so long to read it and close; one that still reads has as long
 * again. */
#define H1_LINGER (2 * USEC_PER_SEC)

enum connection_state
{
  CONNECTION_READING, /* a request, or nothing yet */
  CONNECTION_WAITING, /* for the answer to begin */
  CONNECTION_ANSWERING,
  CONNECTION_CLOSING, /* what is unsent goes out first */
};

struct h1_connection
{
  struct tcp_stream stream;
  struct timer timer;
  struct h1_server *server;
  struct h1_connection *previous;
  struct h1_connection *next;
  struct h1_reader reader;
  struct bytes body;
  struct bytes input; /* bytes behind the request being answered */
  struct h1_exchange exchange;
  enum connection_state state;
  unsigned refusal; /* the status for a request that its head condemns; 0: none */
  bool bodiless;    /* the answer has no body, whatever its handler gives */
  bool chunked;     /* the answer is */
  int64_t owed;     /* of the length that the answer said; under 0: it said none */
  bool keep;        /* the connection lives on after the answer */
  bool feeding;
  size_t unread; /* of the answers, by the client, when their end was given or last looked at */
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
  struct counter *answers[STATUS_CLASSES]; /* by the first digit of their status */
};

static inline struct timer_service *
h1_connection_timers (const struct h1_connection *connection)
{
  return loop_timers (connection->server->config.loop);
}

/* The answer is out and the connection lives on: ready for the next request. */
void h1_connection_next (struct h1_connection *connection, int64_t now);

#endif
