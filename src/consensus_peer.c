/* Messages between the hosts of a group: encoding of the header, identification of the sender, and
 * dispatch. */
#include "consensus_voter_private.h"
#include "log.h"
#include "pack.h"
#include "snapshot.h"
#include "text.h"
#include <string.h>
#include <talloc.h>

/* Each message starts with a header: the type, the group, and the sender's start counter. */
#define MESSAGE_RAFT 1
#define MESSAGE_HELLO 2      /* id, wants a reply, waits to be added, leader */
#define MESSAGE_OLD_FOLDER 3 /* id, starts: a later start of that server was seen */
#define MESSAGE_TYPE_MAX 3

struct header
{
  uint64_t type;
  uint64_t group;
  uint64_t starts;
};

static void
write_header (const struct consensus_voter *self, uint64_t type, struct bytes *out)
{
  bytes_init (out, (void *) (uintptr_t) self);
  pack_uint (out, type);
  pack_uint (out, self->identity.group);
  pack_uint (out, self->identity.starts);
}

static void
send_bytes (struct consensus_voter *self, const char *host, struct bytes *out)
{
  struct peer_port *port = self->config.port;

  if (!bytes_has_failed (out))
    port->ops->send (port, host, PEER_CHANNEL_CONSENSUS, out->data, out->length);
  bytes_clear (out);
}

void
voter_send_hello (struct consensus_voter *self, const char *host, bool wants_reply, int64_t now)
{
  struct bytes out;

  if (strcmp (host, self->name) == 0)
    return;
  write_header (self, MESSAGE_HELLO, &out);
  pack_uint (&out, self->identity.id);
  pack_bool (&out, wants_reply);
  pack_bool (&out, voter_is_joining (self, now));
  pack_text (&out, voter_leader_name (self));
  send_bytes (self, host, &out);
}

static void
send_old_folder (struct consensus_voter *self, const struct voter_contact *contact)
{
  struct bytes out;

  write_header (self, MESSAGE_OLD_FOLDER, &out);
  pack_uint (&out, contact->id);
  pack_uint (&out, contact->starts);
  send_bytes (self, contact->name, &out);
}

const struct voter_contact *
voter_contact_by_id (const struct consensus_voter *self, uint64_t id)
{
  for (uint32_t i = 0; i < self->n_contacts; i++)
    if (self->contacts[i].id == id)
      return &self->contacts[i];
  return NULL;
}

/* The contact record of a server.  A new one replaces the record not updated for longest. */
static struct voter_contact *
get_contact (struct consensus_voter *self, uint64_t id)
{
  const struct voter_contact *known = voter_contact_by_id (self, id);
  struct voter_contact *oldest = &self->contacts[0];

  if (known != NULL)
    return &self->contacts[known - self->contacts];
  if (self->n_contacts < VOTER_CONTACTS_MAX)
    oldest = &self->contacts[self->n_contacts++];
  else
    for (uint32_t i = 1; i < self->n_contacts; i++)
      if (self->contacts[i].heard_at < oldest->heard_at)
        oldest = &self->contacts[i];
  *oldest = (struct voter_contact){ .id = id };
  return oldest;
}

/* Record the sender.  False for a message of an earlier start than one already seen: either the
 * message was delayed, or an older copy of the data folder was restored and started.  The sender is
 * notified, since it can distinguish the two. */
static bool
record_contact (struct consensus_voter *self,
                uint64_t id,
                const char *from,
                const struct header *header,
                int64_t now)
{
  struct voter_contact *contact = get_contact (self, id);

  if (header->starts < contact->starts)
    {
      send_old_folder (self, contact);
      return false;
    }
  contact->starts = header->starts;
  contact->group = header->group;
  contact->heard_at = now;
  text_copy_truncated (contact->name, sizeof contact->name, from);
  return true;
}

static void
handle_hello (struct consensus_voter *self,
              const struct header *header,
              struct pack_reader *in,
              const char *from,
              int64_t now)
{
  uint64_t id = pack_read_uint (in, UINT64_MAX);
  bool wants_reply = pack_read_bool (in);
  bool waits = pack_read_bool (in);
  char leader[RESOURCE_NAME_SIZE];

  pack_read_text (in, leader, sizeof leader);
  if (!pack_read_is_complete (in) || !record_contact (self, id, from, header, now))
    return;
  if (waits)
    get_contact (self, id)->hello_at = now;
  if (wants_reply)
    voter_send_hello (self, from, false, now);
  /* A host that waits to be added must reach the leader, which need not be one of the initial
   * voters. */
  else if (leader[0] != '\0' && strcmp (leader, from) != 0 && voter_is_joining (self, now))
    voter_send_hello (self, leader, false, now);
}

static void
handle_old_folder (struct consensus_voter *self, struct pack_reader *in, int64_t now)
{
  uint64_t id = pack_read_uint (in, UINT64_MAX);
  uint64_t starts = pack_read_uint (in, UINT64_MAX);

  if (!pack_read_is_complete (in) || id != self->identity.id || starts <= self->identity.starts)
    return;
  status_fail (STATUS_CORRUPT, "a later start of this data folder was seen by another voter");
  voter_stop (self, STATUS_CORRUPT, "older folder", now);
}

/* A message for the identity that this host had before it lost its disk.  The sender belongs to the
 * group; none of the initial voters may. */
static void
answer_message_to_lost_identity (struct consensus_voter *self, const char *from, int64_t now)
{
  if (!voter_is_joining (self, now) || now < self->lost_identity_hello_at)
    return;
  self->lost_identity_hello_at = now + self->config.timing.hello_period;
  voter_send_hello (self, from, false, now);
}

static void
handle_raft (struct consensus_voter *self,
             const struct header *header,
             const struct pack_reader *in,
             const char *from,
             int64_t now)
{
  struct raft_message message;
  void *parent;

  if (header->group == 0)
    return;
  parent = talloc_new (self);
  if (raft_message_read (parent, in->data, in->left, &message) != STATUS_OK)
    ;
  else if (message.to != self->identity.id)
    answer_message_to_lost_identity (self, from, now);
  else if (record_contact (self, message.from, from, header, now)
           && voter_join_group (self, header->group) == STATUS_OK)
    {
      raft_step (self->raft, &message, now);
      voter_schedule_flush (self, now);
    }
  talloc_free (parent);
}

static void
consensus_received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct consensus_voter *self =
      (struct consensus_voter *) ((char *) listener
                                  - offsetof (struct consensus_voter, consensus_listener));
  struct pack_reader in;
  struct header header;

  if (self->health != STATUS_OK)
    return;
  pack_reader_init (&in, data, length);
  header.type = pack_read_uint (&in, MESSAGE_TYPE_MAX);
  header.group = pack_read_uint (&in, UINT64_MAX);
  header.starts = pack_read_uint (&in, UINT64_MAX);
  if (!pack_read_is_ok (&in))
    return;
  if (header.type == MESSAGE_HELLO)
    handle_hello (self, &header, &in, from, now);
  else if (header.type == MESSAGE_OLD_FOLDER)
    handle_old_folder (self, &in, now);
  else if (header.type == MESSAGE_RAFT)
    handle_raft (self, &header, &in, from, now);
}

/* A request from another host: accepted when this host leads, else answered with the leader's
 * name. */
static void
handle_request (struct consensus_voter *self,
                const struct client_request *incoming,
                const char *from,
                int64_t now)
{
  enum status status;
  struct request *request = request_new (&self->requests, incoming->kind, incoming->data,
                                         incoming->length, now + incoming->time_left, &status);

  if (request == NULL)
    return;
  text_copy_truncated (request->origin, sizeof request->origin, from);
  request->origin_number = incoming->number;
  voter_route_request (self, request, now);
}

static void
handle_response (struct consensus_voter *self,
                 const struct client_response *response,
                 const char *from,
                 int64_t now)
{
  struct request *request = client_handle_response (&self->client, response, from, now);

  if (request == NULL)
    return;
  if (request->kind == REQUEST_PROPOSE || response->status != STATUS_OK)
    {
      request_finish (request, response->status, response->result, response->length, now);
      return;
    }
  if (!voter_can_read (self))
    {
      request_finish (request, STATUS_UNAVAILABLE, NULL, 0, now);
      return;
    }
  request->stage = REQUEST_APPLYING;
  request->index = response->index;
  self->reads_waiting = true;
  request_arm (request, request->deadline);
  voter_schedule_flush (self, now);
}

static void
proposal_received (
    struct peer_listener *listener, const char *from, const void *data, size_t length, int64_t now)
{
  struct consensus_voter *self =
      (struct consensus_voter *) ((char *) listener
                                  - offsetof (struct consensus_voter, proposal_listener));
  struct client_request incoming;
  struct client_response response;
  bool is_request;

  if (client_read_message (data, length, &is_request, &incoming, &response) != STATUS_OK)
    return;
  if (is_request)
    handle_request (self, &incoming, from, now);
  else
    handle_response (self, &response, from, now);
}

static const struct peer_listener_ops consensus_ops = { .received = consensus_received };
static const struct peer_listener_ops proposal_ops = { .received = proposal_received };

void
voter_listen (struct consensus_voter *self)
{
  struct peer_port *port = self->config.port;

  self->consensus_listener.ops = &consensus_ops;
  self->proposal_listener.ops = &proposal_ops;
  port->ops->set_listener (port, PEER_CHANNEL_CONSENSUS, &self->consensus_listener);
  port->ops->set_listener (port, PEER_CHANNEL_PROPOSAL, &self->proposal_listener);
}

static const char *
find_host_name (const struct consensus_voter *self, uint64_t id)
{
  const struct raft_member *member = raft_members_find (raft_get_members (self->raft), id);
  const struct voter_contact *contact;

  if (member != NULL)
    return member->name;
  contact = voter_contact_by_id (self, id);
  return contact != NULL ? contact->name : NULL;
}

void
voter_send (struct consensus_voter *self, const struct raft_message *message)
{
  const char *host = find_host_name (self, message->to);
  struct raft_message filled = *message;
  struct bytes chunk;
  struct bytes out;
  enum status status = STATUS_OK;

  if (self->config.port == NULL || host == NULL)
    return;
  bytes_init (&chunk, self);
  if (message->kind == RAFT_SNAPSHOT)
    {
      status = snapshot_read (self->config.disk, raft_last_snapshot (self->raft), message->offset,
                              message->length, &chunk);
      filled.data = chunk.data;
    }
  if (status == STATUS_OK)
    {
      write_header (self, MESSAGE_RAFT, &out);
      raft_message_write (&filled, &out);
      send_bytes (self, host, &out);
    }
  bytes_clear (&chunk);
}
