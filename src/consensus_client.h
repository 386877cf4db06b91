/* Client side of requests forwarded to a voter: choice of the host, retries, and answers. */
#ifndef CONSENSUS_CLIENT_H
#define CONSENSUS_CLIENT_H

#include "consensus_request.h"
#include "decls.h"
#include "peer.h"
#include "rng.h"

BEGIN_DECLS

/* XXX: only the hosts named in the settings are asked.  Once all of the initial voters have been
 * replaced by other hosts, the settings must name the new ones. */
#define CLIENT_HOSTS_MAX 16
#define CLIENT_RESPONSE_TIMEOUT (1000 * USEC_PER_MSEC) /* before the next host is asked */
#define CLIENT_BACKOFF (100 * USEC_PER_MSEC)           /* after an answer that names no leader */

struct client
{
  struct requests *requests;
  struct peer_port *port;
  struct rng rng;
  char self[RESOURCE_NAME_SIZE]; /* name of this host; never asked */
  char hosts[CLIENT_HOSTS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_hosts;
  uint32_t next_host;
  char leader[RESOURCE_NAME_SIZE]; /* "" while unknown */
};

/* The answer to a forwarded request. */
struct client_response
{
  uint64_t number;
  enum status status;
  uint64_t index;                  /* read index, for a confirmed read */
  char leader[RESOURCE_NAME_SIZE]; /* as known to the answering voter */
  const void *result;
  size_t length;
};

/* A request as received by a voter. */
struct client_request
{
  uint64_t number;
  enum request_kind kind;
  int64_t time_left;
  const void *data;
  size_t length;
};

void client_init (struct client *client,
                  struct requests *requests,
                  struct peer_port *port,
                  const char *self,
                  const char *const *hosts,
                  uint32_t n_hosts,
                  uint64_t seed);

/* Send the request to the leader, or to the next host when none is known, and arm the retry
 * timer. */
void client_send (struct client *client, struct request *request, int64_t now);

/* Process an answer.  Returns the request, which the caller must finish with the answer; NULL when
 * the request no longer exists or was sent to another host. */
struct request *client_handle_response (struct client *client,
                                        const struct client_response *response,
                                        const char *from,
                                        int64_t now);

/* Decode a message on PEER_CHANNEL_PROPOSAL into `request` when `is_request` is set, else into
 * `response`.  STATUS_MALFORMED. */
enum status client_read_message (const void *data,
                                 size_t length,
                                 bool *is_request,
                                 struct client_request *request,
                                 struct client_response *response);
void client_write_response (const struct client_response *response, struct bytes *out);

END_DECLS

#endif
