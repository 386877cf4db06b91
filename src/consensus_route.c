/* Routing of proposals and reads: into the local log, to the leader, or back to the requester. */
#include "consensus_voter_private.h"
#include "text.h"
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define NO_LEADER_BACKOFF (50 * USEC_PER_MSEC)

static enum status
push_pending (struct consensus_voter *self, const struct voter_pending *pending)
{
  uint32_t used = self->pending_first + self->n_pending;
  struct voter_pending *grown;

  if (self->pending_first > 0 && self->pending_first >= self->n_pending)
    {
      memmove (self->pending, self->pending + self->pending_first,
               self->n_pending * sizeof *self->pending);
      self->pending_first = 0;
      used = self->n_pending;
    }
  if (talloc_array_length (self->pending) <= used)
    {
      grown = talloc_realloc (self, self->pending, struct voter_pending, used * 2 + 64);
      if (grown == NULL)
        return status_fail (STATUS_NO_MEMORY, "proposals in the log");
      self->pending = grown;
    }
  self->pending[used] = *pending;
  self->n_pending++;
  return STATUS_OK;
}

enum status
voter_check_disk (const struct consensus_voter *self)
{
  uint64_t unstored = raft_unstored_bytes (self->raft);

  if (self->low_space)
    return status_fail (STATUS_DISK_FULL, "too little room in the leader's data folder");
  if (unstored > CONSENSUS_UNSTORED_BYTES_MAX)
    return status_fail (STATUS_LIMIT,
                        "the leader's disk has yet to store %" PRIu64 " bytes, %u at most",
                        unstored, CONSENSUS_UNSTORED_BYTES_MAX);
  return STATUS_OK;
}

static enum status
propose_locally (struct consensus_voter *self, struct request *request)
{
  struct voter_pending pending = { .request = request->number };
  enum status status;

  status = voter_check_disk (self);
  if (status != STATUS_OK)
    return status;
  status = raft_propose (self->raft, request->data, request->length, &pending.index, &pending.term);
  if (status != STATUS_OK)
    return status;
  request->stage = REQUEST_PENDING;
  request->index = pending.index;
  request->term = pending.term;
  return push_pending (self, &pending);
}

static enum status
read_locally (struct consensus_voter *self, struct request *request, int64_t now)
{
  enum status status = raft_read_request (self->raft, request->number, now);

  if (status == STATUS_OK)
    request->stage = REQUEST_READING;
  return status;
}

/* Forward a local request to the leader.  A voter that cannot store its vote follows no leader, and
 * sends the request to the configured hosts like a host outside the group. */
static void
forward (struct consensus_voter *self, struct request *request, int64_t now)
{
  const char *leader = voter_leader_name (self);
  bool member =
      self->health == STATUS_OK && !self->vote_unstored && raft_get_members (self->raft)->n > 0;

  if (self->config.port != NULL && (leader[0] != '\0' || !member)
      && strcmp (leader, self->name) != 0)
    {
      if (leader[0] != '\0')
        text_copy_truncated (self->client.leader, sizeof self->client.leader, leader);
      client_send (&self->client, request, now);
      return;
    }
  request->stage = REQUEST_FORWARDED;
  request_arm (request, now + NO_LEADER_BACKOFF);
}

void
voter_route_request (struct consensus_voter *self, struct request *request, int64_t now)
{
  enum status status = STATUS_NOT_LEADER;

  if (!voter_can_read (self) && request->kind == REQUEST_READ && request->proposal != NULL)
    status = STATUS_UNAVAILABLE;
  else if (voter_has_leadership (self))
    {
      status = request->kind == REQUEST_PROPOSE ? propose_locally (self, request)
                                                : read_locally (self, request, now);
      voter_schedule_flush (self, now);
    }
  if (status == STATUS_OK)
    request_arm (request, request->deadline);
  else if (status == STATUS_NOT_LEADER && request->proposal != NULL)
    forward (self, request, now);
  else
    request_finish (request, status, NULL, 0, now);
}

/* After losing leadership, entries of this host may or may not be committed by the next leader, so
 * local requests are proposed again; the state machine detects duplicates.  After gaining it, local
 * requests that waited for a leader are submitted here. */
void
voter_role_changed (struct consensus_voter *self, int64_t now)
{
  struct request *request;
  struct request *next;
  bool lead = voter_has_leadership (self);

  if (lead == self->was_leader)
    return;
  self->was_leader = lead;
  self->role_changed_at = now;
  if (!lead)
    self->n_pending = 0;
  HASH_ITER (hh, self->requests.by_number, request, next)
    {
      bool is_local = request->proposal != NULL;

      if (lead && is_local && request->stage == REQUEST_FORWARDED)
        request_arm (request, now);
      else if (!lead && request->stage != REQUEST_FORWARDED && is_local
               && request->stage != REQUEST_APPLYING)
        {
          request->stage = REQUEST_FORWARDED;
          request_arm (request, now);
        }
      else if (!lead && !is_local)
        request_finish (request, STATUS_UNAVAILABLE, NULL, 0, now);
    }
}

static struct consensus_voter *
of_requests (struct requests *requests)
{
  return (struct consensus_voter *) ((char *) requests
                                     - offsetof (struct consensus_voter, requests));
}

static void
request_due (struct requests *requests, struct request *request, int64_t now)
{
  struct consensus_voter *self = of_requests (requests);

  if (request->stage == REQUEST_FORWARDED)
    voter_route_request (self, request, now);
  else
    request_arm (request, request->deadline);
}

static void
request_answer (struct requests *requests,
                struct request *request,
                enum status status,
                const void *result,
                size_t length)
{
  struct consensus_voter *self = of_requests (requests);
  struct client_response answer = {
    .number = request->origin_number,
    .status = status,
    .index = request->index,
    .result = result,
    .length = length,
  };
  struct bytes out;

  text_copy_truncated (answer.leader, sizeof answer.leader, voter_leader_name (self));
  bytes_init (&out, self);
  client_write_response (&answer, &out);
  if (!bytes_has_failed (&out))
    self->config.port->ops->send (self->config.port, request->origin, PEER_CHANNEL_PROPOSAL,
                                  out.data, out.length);
  bytes_clear (&out);
}

const struct requests_ops voter_requests_ops = { .due = request_due, .answer = request_answer };
