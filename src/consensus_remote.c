/* The replicated log on a host without a data folder. */
#include "consensus_remote.h"
#include "consensus_client.h"
#include <talloc.h>

struct consensus_remote
{
  struct consensus consensus;
  struct peer_listener listener;
  struct requests requests;
  struct client client;
};

static struct consensus_remote *
of_listener (struct peer_listener *listener)
{
  return (struct consensus_remote *) ((char *) listener
                                      - offsetof (struct consensus_remote, listener));
}

static struct consensus_remote *
of_requests (struct requests *requests)
{
  return (struct consensus_remote *) ((char *) requests
                                      - offsetof (struct consensus_remote, requests));
}

static enum status
remote_propose (struct consensus *consensus,
                const void *entry,
                size_t length,
                struct proposal *proposal,
                int64_t deadline,
                int64_t now)
{
  struct consensus_remote *self = (struct consensus_remote *) consensus;
  enum status status;
  struct request *request = request_new_local (&self->requests, REQUEST_PROPOSE, entry, length,
                                               proposal, deadline, &status);

  if (request != NULL)
    client_send (&self->client, request, now);
  return status;
}

/* A quorum could confirm the read index, but this host has no state machine that applies up to
 * it. */
static enum status
remote_read (struct consensus *consensus, struct proposal *proposal, int64_t deadline, int64_t now)
{
  (void) consensus;
  (void) proposal;
  (void) deadline;
  (void) now;
  return status_fail (STATUS_UNSUPPORTED, "a host without a data folder holds nothing to read");
}

static void
remote_withdraw (struct consensus *consensus, struct proposal *proposal)
{
  requests_withdraw (&((struct consensus_remote *) consensus)->requests, proposal);
}

static bool
remote_is_leader (const struct consensus *consensus)
{
  (void) consensus;
  return false;
}

static const char *
remote_leader (const struct consensus *consensus)
{
  return ((const struct consensus_remote *) consensus)->client.leader;
}

static json_t *
remote_describe (const struct consensus *consensus)
{
  const struct consensus_remote *self = (const struct consensus_remote *) consensus;

  return json_pack ("{s:s, s:s, s:I}", "role", "remote", "leader", self->client.leader, "waiting",
                    (json_int_t) HASH_COUNT (self->requests.by_number));
}

static const struct consensus_ops ops = {
  .propose = remote_propose,
  .read = remote_read,
  .withdraw = remote_withdraw,
  .is_leader = remote_is_leader,
  .leader = remote_leader,
  .describe = remote_describe,
  .position = remote_describe,
};

static void
due (struct requests *requests, struct request *request, int64_t now)
{
  client_send (&of_requests (requests)->client, request, now);
}

static void
answer_nobody (struct requests *requests,
               struct request *request,
               enum status status,
               const void *result,
               size_t length)
{
  (void) requests;
  (void) request;
  (void) status;
  (void) result;
  (void) length;
}

static const struct requests_ops requests_ops = { .due = due, .answer = answer_nobody };

static void
received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct consensus_remote *self = of_listener (listener);
  struct client_request incoming;
  struct client_response answer;
  struct request *request;
  bool is_request;

  if (client_read_message (data, length, &is_request, &incoming, &answer) != STATUS_OK
      || is_request)
    return;
  request = client_handle_response (&self->client, &answer, from, now);
  if (request != NULL)
    request_finish (request, answer.status, answer.result, answer.length, now);
}

static const struct peer_listener_ops listener_ops = { .received = received };

static int
free_remote (struct consensus_remote *self)
{
  requests_clear (&self->requests);
  return 0;
}

struct consensus *
consensus_remote_new (void *parent, const struct consensus_remote_config *config)
{
  struct consensus_remote *self = talloc_zero (parent, struct consensus_remote);
  struct rng rng;

  if (self == NULL)
    return NULL;
  self->consensus.ops = &ops;
  self->listener.ops = &listener_ops;
  rng_init (&rng, config->seed);
  requests_init (&self->requests, &requests_ops, self, config->timers, rng_u64 (&rng));
  client_init (&self->client, &self->requests, config->port, "", config->voters, config->n_voters,
               rng_u64 (&rng));
  talloc_set_destructor (self, free_remote);
  config->port->ops->set_listener (config->port, PEER_CHANNEL_PROPOSAL, &self->listener);
  return &self->consensus;
}
