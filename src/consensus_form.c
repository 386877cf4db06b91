/* Forming a group from the initial voters, and joining an existing one.
 *
 * The first voter named in the settings forms the group, once, after it has received a message from
 * all others and none of them belongs to a group; the server ids it received become the initial
 * members.  Any other host joins the group of the first raft message addressed to its id, which
 * only a server that received that id from it can send.  A host that lost its disk has a new id and
 * no group.  It does not form a group while any of the others belongs to one, and waits to be
 * added. */
#include "consensus_voter_private.h"
#include "log.h"
#include "text.h"
#include <inttypes.h>
#include <string.h>

#define CONTACT_AGE_MAX (2 * USEC_PER_SEC) /* maximum age of a hello used to form a group */

enum status
voter_join_group (struct consensus_voter *self, uint64_t group)
{
  if (self->identity.group == group)
    return STATUS_OK;
  if (self->identity.group != 0)
    return status_fail (STATUS_CONFLICT, "message from another group");
  self->identity.group = group;
  self->identity_unstored = true;
  return STATUS_OK;
}

static const struct voter_contact *
newest_contact (const struct consensus_voter *self, const char *name)
{
  const struct voter_contact *newest = NULL;

  for (uint32_t i = 0; i < self->n_contacts; i++)
    if (strcmp (self->contacts[i].name, name) == 0
        && (newest == NULL || self->contacts[i].heard_at > newest->heard_at))
      newest = &self->contacts[i];
  return newest;
}

/* Collect the members of a new group.  False while no recent message from one of the voters has
 * arrived, or when one already belongs to a group. */
static bool
collect_members (const struct consensus_voter *self, struct raft_members *members, int64_t now)
{
  *members = (struct raft_members){ .n = self->n_initial_voters, .wanted = self->n_initial_voters };
  if (self->config.wanted_voters > members->wanted)
    members->wanted = self->config.wanted_voters;
  for (uint32_t i = 0; i < self->n_initial_voters; i++)
    {
      const char *name = self->initial_voters[i];
      struct raft_member *member = &members->members[i];
      const struct voter_contact *contact = newest_contact (self, name);

      text_copy_truncated (member->name, sizeof member->name, name);
      member->voter = true;
      if (strcmp (name, self->name) == 0)
        member->id = self->identity.id;
      else if (contact == NULL || contact->group != 0 || now - contact->heard_at > CONTACT_AGE_MAX)
        return false;
      else
        member->id = contact->id;
    }
  return true;
}

/* The first entry is stored in the journal before any message of the group is sent. */
static void
form_group (struct consensus_voter *self, const struct raft_members *members, int64_t now)
{
  uint64_t group = 0;

  while (group == 0)
    group = rng_u64 (&self->rng);
  if (voter_join_group (self, group) != STATUS_OK)
    return;
  if (raft_bootstrap (self->raft, members) != STATUS_OK)
    {
      voter_stop (self, STATUS_NO_MEMORY, "forming the group", now);
      return;
    }
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "group formed", "{s:i}", "voters",
             (int) members->n);
  voter_flush (self, now);
}

/* A host with a group id may still be waiting: a learner whose addition was never committed,
 * because its leader was deposed, has stored the id but is not a member for any other server.  A
 * partitioned member also sends hellos; the leader ignores them, since it already is a member. */
bool
voter_is_joining (const struct consensus_voter *self, int64_t now)
{
  return self->identity.group == 0
         || (raft_role (self->raft) != RAFT_LEADER
             && now - raft_leader_heard_at (self->raft) > self->config.timing.hello_after);
}

void
voter_form_or_join (struct consensus_voter *self, int64_t now)
{
  struct raft_members members;
  bool first = !self->config.join_only && self->n_initial_voters > 0
               && strcmp (self->initial_voters[0], self->name) == 0;

  if (!voter_is_joining (self, now))
    return;
  if (first && self->identity.group == 0 && collect_members (self, &members, now))
    {
      form_group (self, &members, now);
      return;
    }
  if (self->config.port == NULL || now < self->hello_at)
    return;
  self->hello_at =
      now + (first && self->identity.group == 0 ? 0 : self->config.timing.hello_period);
  for (uint32_t i = 0; i < self->n_initial_voters; i++)
    voter_send_hello (self, self->initial_voters[i], true, now);
}
