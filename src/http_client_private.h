/* Shared by the files of the HTTP client: http_client.c keeps connections, http_client_call.c
 * turns lws's events into those of a call. */
#ifndef HTTP_CLIENT_PRIVATE_H
#define HTTP_CLIENT_PRIVATE_H

#include "http_client.h"
#include "http_headers.h"
#include "inet_address.h"
#include "timer.h"
#include <libwebsockets.h>
#include <uthash.h>

#define CLIENT_ADDRESS_SIZE 64

/* name, text, help */
#define CLIENT_COUNTER_LIST(X)                                                                     \
  X (CALLS, "cherryarch_http_client_calls", "Calls started")                                       \
  X (CONNECTIONS, "cherryarch_http_client_connections", "Connections opened")                      \
  X (FAILED, "cherryarch_http_client_failed", "Calls that ended without a whole answer")           \
  X (CUT, "cherryarch_http_client_cut", "Answers cut short by the other side")

enum client_counter
{
#define X(name, text, help) CLIENT_##name,
  CLIENT_COUNTER_LIST (X)
#undef X
      CLIENT_COUNTER_COUNT
};

/* Where one connection at a time lives, with an lws vhost of its own.  lws gives a call any
 * connection of the same vhost and address, also a busy one, behind whose answer the call would
 * wait; with one connection a vhost there is nothing else it could choose. */
struct client_slot
{
  struct client *client; /* NULL once the client is gone */
  struct lws_vhost *vhost;
  struct lws *wsi; /* the connection, NULL for none */
  struct http_call *call;
  struct client_endpoint *endpoint; /* while the connection is idle */
  struct client_slot *prev;
  struct client_slot *next; /* among the idle of its endpoint, or the free */
  struct client_slot *all_prev;
  struct client_slot *all_next;
};

/* An address with idle connections. */
struct client_endpoint
{
  char address[CLIENT_ADDRESS_SIZE];
  struct client_slot *idle;
  UT_hash_handle hh;
};

struct client
{
  struct http_client http;
  struct http_client_config config;
  struct timer_service *timers;
  struct counter *counters[CLIENT_COUNTER_COUNT];
  struct client_slot *slots; /* all */
  struct client_slot *free;
  struct client_endpoint *endpoints; /* hash by address */
  uint32_t n_calls;
};

struct http_call
{
  struct client *client;
  struct client_slot *slot;
  struct http_call_sink *sink;
  struct timer timer;
  int64_t deadline;
  char address[CLIENT_ADDRESS_SIZE];
  char *method;
  struct http_field *headers;
  size_t n_headers;
  char *body;
  size_t body_length;
  size_t body_sent;
  size_t max_body_bytes;
  bool starting; /* within start(): no event may come */
  bool sent;     /* the head was given to the connection */
  bool settled;  /* lws's own timeout was taken off */
  bool head_seen;
  bool chunked;
  bool closes;     /* the other side closes the connection after the answer */
  bool reading;    /* within lws_http_client_read() */
  bool completed;  /* lws says so */
  size_t expected; /* bytes of the answer, where not chunked */
  size_t received;
};

static inline void
client_count (struct client *client, enum client_counter counter)
{
  if (client->counters[counter] != NULL)
    counter_add (client->counters[counter], 1);
}

/* http_client.c */

/* The call is over; its connection idles, or closes when `keep` is false. */
void client_call_free (struct http_call *call, bool keep);

/* The connection is gone. */
void client_slot_closed (struct client_slot *slot, struct lws *wsi);

/* http_client_call.c */
int client_on_event (
    struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in, size_t len);
void client_call_fail (struct http_call *call, enum status why, int64_t now);
extern const struct timer_ops client_call_timer_ops;

#endif
