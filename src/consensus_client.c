/* Client side of requests forwarded to a voter. */
#include "consensus_client.h"
#include "pack.h"
#include "raft_message.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define MESSAGE_REQUEST 1
#define MESSAGE_RESPONSE 2
#define RESULT_MAX (3u << 20)

void
client_init (struct client *client,
             struct requests *requests,
             struct peer_port *port,
             const char *self,
             const char *const *hosts,
             uint32_t n_hosts,
             uint64_t seed)
{
  memset (client, 0, sizeof *client);
  client->requests = requests;
  client->port = port;
  rng_init (&client->rng, seed);
  text_copy_truncated (client->self, sizeof client->self, self);
  for (uint32_t i = 0; i < n_hosts && client->n_hosts < CLIENT_HOSTS_MAX; i++)
    if (strcmp (hosts[i], self) != 0)
      text_copy_truncated (client->hosts[client->n_hosts++], RESOURCE_NAME_SIZE, hosts[i]);
  /* Random, so that hosts that start together do not all ask the same voter. */
  if (client->n_hosts > 0)
    client->next_host = (uint32_t) rng_below (&client->rng, client->n_hosts);
}

static void
write_request (const struct request *request, struct bytes *out, int64_t now)
{
  pack_uint (out, MESSAGE_REQUEST);
  pack_uint (out, request->number);
  pack_uint (out, request->kind);
  pack_uint (out, (uint64_t) (request->deadline - now));
  pack_binary (out, request->data, request->length);
}

static const char *
choose_host (struct client *client)
{
  if (client->leader[0] != '\0')
    return client->leader;
  if (client->n_hosts == 0)
    return NULL;
  client->next_host = (client->next_host + 1) % client->n_hosts;
  return client->hosts[client->next_host];
}

/* A retry may apply an entry twice; the state machine detects the duplicate by the id in the
 * entry. */
void
client_send (struct client *client, struct request *request, int64_t now)
{
  const char *host;
  struct bytes out;
  enum status status = STATUS_UNAVAILABLE;

  request->stage = REQUEST_FORWARDED;
  /* No answer from the presumed leader: it failed, is partitioned, or no longer leads. */
  if (request->sent_to[0] != '\0' && strcmp (request->sent_to, client->leader) == 0)
    client->leader[0] = '\0';
  host = choose_host (client);
  if (host != NULL && now < request->deadline)
    {
      bytes_init (&out, request);
      write_request (request, &out, now);
      if (!bytes_has_failed (&out))
        status = client->port->ops->send (client->port, host, PEER_CHANNEL_PROPOSAL, out.data,
                                          out.length);
      bytes_clear (&out);
      text_copy_truncated (request->sent_to, sizeof request->sent_to, host);
    }
  request->attempts++;
  request_arm (request, now + (status == STATUS_OK ? CLIENT_RESPONSE_TIMEOUT : CLIENT_BACKOFF));
}

/* The host did not accept the request: retry at the leader that it names, or after a backoff. */
static void
redirect_request (struct client *client,
                  struct request *request,
                  const struct client_response *response,
                  const char *from,
                  int64_t now)
{
  text_copy_truncated (client->leader, sizeof client->leader, response->leader);
  if (strcmp (client->leader, from) == 0 || strcmp (client->leader, client->self) == 0)
    client->leader[0] = '\0';
  request->sent_to[0] = '\0';
  if (client->leader[0] != '\0' && request->attempts % 4 != 0)
    client_send (client, request, now);
  else
    {
      request->attempts++;
      request_arm (request, now + CLIENT_BACKOFF);
    }
}

struct request *
client_handle_response (struct client *client,
                        const struct client_response *response,
                        const char *from,
                        int64_t now)
{
  struct request *request = request_find (client->requests, response->number);

  if (request == NULL || request->proposal == NULL || request->stage != REQUEST_FORWARDED)
    return NULL;
  switch (response->status)
    {
    case STATUS_NOT_LEADER:
    case STATUS_AGAIN:
    case STATUS_UNAVAILABLE:
      /* Ignore duplicate answers and those of a host that is no longer being asked. */
      if (strcmp (request->sent_to, from) == 0)
        redirect_request (client, request, response, from, now);
      return NULL;
    default:
      text_copy_truncated (client->leader, sizeof client->leader, response->leader);
      return request;
    }
}

static void
read_request (struct pack_reader *in, struct client_request *request)
{
  request->number = pack_read_uint (in, UINT64_MAX);
  request->kind = (enum request_kind) pack_read_uint (in, REQUEST_KIND_COUNT - 1);
  request->time_left = (int64_t) pack_read_uint (in, INT32_MAX * (uint64_t) USEC_PER_SEC);
  request->data = pack_read_binary (in, RAFT_ENTRY_MAX, &request->length);
}

static void
read_response (struct pack_reader *in, struct client_response *response)
{
  response->number = pack_read_uint (in, UINT64_MAX);
  response->status = (enum status) pack_read_uint (in, STATUS_COUNT - 1);
  response->index = pack_read_uint (in, UINT64_MAX);
  pack_read_text (in, response->leader, sizeof response->leader);
  response->result = pack_read_binary (in, RESULT_MAX, &response->length);
}

enum status
client_read_message (const void *data,
                     size_t length,
                     bool *is_request,
                     struct client_request *request,
                     struct client_response *response)
{
  struct pack_reader in;
  uint64_t type;

  pack_reader_init (&in, data, length);
  type = pack_read_uint (&in, MESSAGE_RESPONSE);
  *is_request = type == MESSAGE_REQUEST;
  if (type == MESSAGE_REQUEST)
    read_request (&in, request);
  else if (type == MESSAGE_RESPONSE)
    read_response (&in, response);
  else
    return status_fail (STATUS_MALFORMED, "unknown type of message on the proposal channel");
  return pack_read_is_complete (&in)
             ? STATUS_OK
             : status_fail (STATUS_MALFORMED, "malformed message on the proposal channel");
}

void
client_write_response (const struct client_response *response, struct bytes *out)
{
  pack_uint (out, MESSAGE_RESPONSE);
  pack_uint (out, response->number);
  pack_uint (out, response->status);
  pack_uint (out, response->index);
  pack_text (out, response->leader);
  pack_binary (out, response->result, response->length);
}
