/* Client side of requests forwarded to a voter. */
#include "consensus_client.h"
#include "pack.h"
#include "raft_message.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

#define MESSAGE_ASK 1
#define MESSAGE_ANSWER 2
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
  text_copy_cut (client->self, sizeof client->self, self);
  for (uint32_t i = 0; i < n_hosts && client->n_hosts < CLIENT_HOSTS_MAX; i++)
    if (strcmp (hosts[i], self) != 0)
      text_copy_cut (client->hosts[client->n_hosts++], RESOURCE_NAME_SIZE, hosts[i]);
  /* Random, so that hosts that start together do not all ask the same voter. */
  if (client->n_hosts > 0)
    client->next_host = (uint32_t) rng_below (&client->rng, client->n_hosts);
}

static void
write_ask (const struct request *request, struct bytes *out, int64_t now)
{
  pack_uint (out, MESSAGE_ASK);
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

  request->place = REQUEST_FORWARDED;
  /* No answer from the presumed leader: it failed, is partitioned, or no longer leads. */
  if (request->asked[0] != '\0' && strcmp (request->asked, client->leader) == 0)
    client->leader[0] = '\0';
  host = choose_host (client);
  if (host != NULL && now < request->deadline)
    {
      bytes_init (&out, request);
      write_ask (request, &out, now);
      if (!bytes_failed (&out))
        status = client->port->ops->send (client->port, host, PEER_CHANNEL_PROPOSAL, out.data,
                                          out.length);
      bytes_clear (&out);
      text_copy_cut (request->asked, sizeof request->asked, host);
    }
  request->tries++;
  request_arm (request, now + (status == STATUS_OK ? CLIENT_SILENCE : CLIENT_BACKOFF));
}

/* The host did not accept the request: retry at the leader that it names, or after a backoff. */
static void
send_on (struct client *client,
         struct request *request,
         const struct client_answer *answer,
         const char *from,
         int64_t now)
{
  text_copy_cut (client->leader, sizeof client->leader, answer->leader);
  if (strcmp (client->leader, from) == 0 || strcmp (client->leader, client->self) == 0)
    client->leader[0] = '\0';
  request->asked[0] = '\0';
  if (client->leader[0] != '\0' && request->tries % 4 != 0)
    client_send (client, request, now);
  else
    {
      request->tries++;
      request_arm (request, now + CLIENT_BACKOFF);
    }
}

struct request *
client_answered (struct client *client,
                 const struct client_answer *answer,
                 const char *from,
                 int64_t now)
{
  struct request *request = request_find (client->requests, answer->number);

  if (request == NULL || request->proposal == NULL || request->place != REQUEST_FORWARDED)
    return NULL;
  switch (answer->status)
    {
    case STATUS_NOT_LEADER:
    case STATUS_AGAIN:
    case STATUS_UNAVAILABLE:
      /* Ignore duplicate answers and those of a host that is no longer being asked. */
      if (strcmp (request->asked, from) == 0)
        send_on (client, request, answer, from, now);
      return NULL;
    default:
      text_copy_cut (client->leader, sizeof client->leader, answer->leader);
      return request;
    }
}

static void
read_ask (struct pack_reader *in, struct client_ask *ask)
{
  ask->number = pack_read_uint (in, UINT64_MAX);
  ask->kind = (enum request_kind) pack_read_uint (in, REQUEST_KIND_COUNT - 1);
  ask->time_left = (int64_t) pack_read_uint (in, INT32_MAX * (uint64_t) USEC_PER_SEC);
  ask->data = pack_read_binary (in, RAFT_ENTRY_MAX, &ask->length);
}

static void
read_answer (struct pack_reader *in, struct client_answer *answer)
{
  answer->number = pack_read_uint (in, UINT64_MAX);
  answer->status = (enum status) pack_read_uint (in, STATUS_COUNT - 1);
  answer->index = pack_read_uint (in, UINT64_MAX);
  pack_read_text (in, answer->leader, sizeof answer->leader);
  answer->result = pack_read_binary (in, RESULT_MAX, &answer->length);
}

enum status
client_read_message (const void *data,
                     size_t length,
                     bool *is_ask,
                     struct client_ask *ask,
                     struct client_answer *answer)
{
  struct pack_reader in;
  uint64_t type;

  pack_reader_init (&in, data, length);
  type = pack_read_uint (&in, MESSAGE_ANSWER);
  *is_ask = type == MESSAGE_ASK;
  if (type == MESSAGE_ASK)
    read_ask (&in, ask);
  else if (type == MESSAGE_ANSWER)
    read_answer (&in, answer);
  else
    return status_fail (STATUS_MALFORMED, "unknown type of message on the proposal channel");
  return pack_read_end (&in)
             ? STATUS_OK
             : status_fail (STATUS_MALFORMED, "malformed message on the proposal channel");
}

void
client_write_answer (const struct client_answer *answer, struct bytes *out)
{
  pack_uint (out, MESSAGE_ANSWER);
  pack_uint (out, answer->number);
  pack_uint (out, answer->status);
  pack_uint (out, answer->index);
  pack_text (out, answer->leader);
  pack_binary (out, answer->result, answer->length);
}
