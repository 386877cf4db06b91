/* Requests forwarded to a voter: which host to ask, when to ask another, what came back. */
#ifndef CONSENSUS_CLIENT_H
#define CONSENSUS_CLIENT_H

#include "consensus_request.h"
#include "decls.h"
#include "peer.h"
#include "rng.h"

BEGIN_DECLS

/* XXX: the hosts asked are those of the settings.  Once all of the first voters have been replaced
 * by other hosts, the settings must name the new ones. */
#define CLIENT_HOSTS_MAX 16
#define CLIENT_SILENCE (1000 * USEC_PER_MSEC) /* then the next host is asked */
#define CLIENT_BACKOFF (100 * USEC_PER_MSEC)  /* after a host that knows no leader */

struct client
{
  struct requests *requests;
  struct peer_port *port;
  struct rng rng;
  char self[RESOURCE_NAME_SIZE]; /* never asked */
  char hosts[CLIENT_HOSTS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_hosts;
  uint32_t next_host;
  char leader[RESOURCE_NAME_SIZE]; /* "" while unknown */
};

/* An answer to a request of ours. */
struct client_answer
{
  uint64_t number;
  enum status status;
  uint64_t index;                  /* of a confirmed read */
  char leader[RESOURCE_NAME_SIZE]; /* as the voter knows it */
  const void *result;
  size_t length;
};

/* A request as it arrives at a voter. */
struct client_ask
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

/* Ask the leader, or the next host when none is known; arms the resend. */
void client_send (struct client *client, struct request *request, int64_t now);

/* Take an answer in: NULL when the request is gone or was sent on; else the request, to be
 * finished with the answer. */
struct request *client_answered (struct client *client,
                                 const struct client_answer *answer,
                                 const char *from,
                                 int64_t now);

/* Messages on PEER_CHANNEL_PROPOSAL.  `is_ask` tells which of the two was read. */
enum status client_read_message (const void *data,
                                 size_t length,
                                 bool *is_ask,
                                 struct client_ask *ask,
                                 struct client_answer *answer);
void client_write_answer (const struct client_answer *answer, struct bytes *out);

END_DECLS

#endif
