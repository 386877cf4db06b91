/* Repair of the group by the leader: adds learners and replaces failed voters.
 *
 * Every host with a data folder that waits to be added becomes a learner, so that it holds the
 * configuration that it serves and can replace a voter at once.  A learner does not count in the
 * quorum, so a slow one delays no commit.
 *
 * A failed voter is removed as soon as a learner has caught up, and the learner is then promoted.
 * Removing first costs nothing while the failed voter is silent: with one of three silent, both
 * others are needed before and after; promoting first would need three of four.  Each step is one
 * log entry and depends only on the current state, so the next leader continues where this one
 * stopped. */
#include "consensus_voter_private.h"
#include "log.h"
#include <string.h>

/* Maximum age of the last hello of a host that waits to be added. */
#define HELLO_AGE_MAX (6 * USEC_PER_SEC)

/* Time since the last message from the member, in microseconds. */
static int64_t
time_since_heard (const struct consensus_voter *self, const struct raft_member *member, int64_t now)
{
  struct raft_progress progress;
  int64_t heard_at = self->role_changed_at;

  if (member->id == self->identity.id)
    return 0;
  if (raft_progress_of (self->raft, member->id, &progress) && progress.heard_at > heard_at)
    heard_at = progress.heard_at;
  return now - heard_at;
}

static bool
is_waiting (const struct consensus_voter *self, const struct voter_contact *contact, int64_t now)
{
  return contact->hello_at > 0 && now - contact->hello_at <= HELLO_AGE_MAX
         && (contact->group == 0 || contact->group == self->identity.group)
         && raft_members_find (raft_get_members (self->raft), contact->id) == NULL;
}

/* A host of the same name waits to be added with a new id: the member's data folder is lost. */
static bool
has_lost_folder (const struct consensus_voter *self, const struct raft_member *member, int64_t now)
{
  for (uint32_t i = 0; i < self->n_contacts; i++)
    if (is_waiting (self, &self->contacts[i], now)
        && strcmp (self->contacts[i].name, member->name) == 0)
      return true;
  return false;
}

/* A later member has the same name: this member's data folder is lost. */
static bool
is_superseded (const struct raft_members *members, const struct raft_member *member)
{
  for (const struct raft_member *later = member + 1; later < members->members + members->n; later++)
    if (strcmp (later->name, member->name) == 0)
      return true;
  return false;
}

static bool
has_failed (const struct consensus_voter *self, const struct raft_member *member, int64_t now)
{
  const struct raft_members *members = raft_get_members (self->raft);

  if (member->id == self->identity.id)
    return false;
  if (time_since_heard (self, member, now) < self->config.timing.election_max)
    return false;
  return is_superseded (members, member) || has_lost_folder (self, member, now)
         || time_since_heard (self, member, now) >= self->config.timing.replace_after;
}

static const struct raft_member *
find_failed (const struct consensus_voter *self, bool voter, int64_t now)
{
  const struct raft_members *members = raft_get_members (self->raft);

  for (uint32_t i = 0; i < members->n; i++)
    if (members->members[i].voter == voter && has_failed (self, &members->members[i], now))
      return &members->members[i];
  return NULL;
}

static bool
is_caught_up (const struct consensus_voter *self, const struct raft_member *learner, int64_t now)
{
  struct raft_progress progress;

  return raft_progress_of (self->raft, learner->id, &progress)
         && progress.match >= raft_committed (self->raft)
         && time_since_heard (self, learner, now) < self->config.timing.election_max;
}

/* Find a caught-up learner to replace `failed`; one with the same name is preferred. */
static const struct raft_member *
find_successor (const struct consensus_voter *self, const struct raft_member *failed, int64_t now)
{
  const struct raft_members *members = raft_get_members (self->raft);
  const struct raft_member *found = NULL;

  for (uint32_t i = 0; i < members->n; i++)
    {
      const struct raft_member *member = &members->members[i];

      if (member->voter || !is_caught_up (self, member, now))
        continue;
      if (found == NULL || (failed != NULL && strcmp (member->name, failed->name) == 0))
        found = member;
    }
  return found;
}

/* Find a host that waits to be added; one with the name of `failed` is preferred. */
static const struct voter_contact *
find_waiting (const struct consensus_voter *self, const struct raft_member *failed, int64_t now)
{
  const struct voter_contact *found = NULL;

  for (uint32_t i = 0; i < self->n_contacts; i++)
    {
      const struct voter_contact *contact = &self->contacts[i];

      if (!is_waiting (self, contact, now))
        continue;
      if (found == NULL || (failed != NULL && strcmp (contact->name, failed->name) == 0))
        found = contact;
    }
  return found;
}

/* A voter has failed or is missing, and a learner can replace it: remove the failed voter first,
 * else promote the learner. */
static bool
plan_voter_change (const struct consensus_voter *self,
                   const struct raft_member *failed,
                   struct raft_change *change,
                   int64_t now)
{
  const struct raft_member *successor = find_successor (self, failed, now);

  if (successor == NULL)
    return false;
  change->kind = failed != NULL ? RAFT_REMOVE : RAFT_PROMOTE;
  change->member = failed != NULL ? *failed : *successor;
  return true;
}

/* Remove a failed learner, else add a waiting host as a learner. */
static bool
plan_learner_change (const struct consensus_voter *self,
                     const struct raft_member *failed_voter,
                     struct raft_change *change,
                     int64_t now)
{
  const struct raft_members *members = raft_get_members (self->raft);
  const struct raft_member *failed = find_failed (self, false, now);
  const struct voter_contact *waiting;

  if (failed != NULL)
    {
      change->kind = RAFT_REMOVE;
      change->member = *failed;
      return true;
    }
  waiting = find_waiting (self, failed_voter, now);
  if (waiting == NULL || members->n == RAFT_MEMBERS_MAX)
    return false;
  change->kind = RAFT_ADD_LEARNER;
  change->member = (struct raft_member){ .id = waiting->id };
  memcpy (change->member.name, waiting->name, sizeof change->member.name);
  return true;
}

/* The next membership change; false when none is due. */
static bool
next_change (const struct consensus_voter *self, struct raft_change *change, int64_t now)
{
  const struct raft_members *members = raft_get_members (self->raft);
  const struct raft_member *failed = find_failed (self, true, now);

  if ((failed != NULL || raft_members_voters (members) < members->wanted)
      && plan_voter_change (self, failed, change, now))
    return true;
  return plan_learner_change (self, failed, change, now);
}

void
voter_repair_group (struct consensus_voter *self, int64_t now)
{
  struct raft_change change;

  if (raft_role (self->raft) != RAFT_LEADER || !next_change (self, &change, now)
      || raft_change_members (self->raft, &change) != STATUS_OK)
    return;
  log_event (LOG_MODULE_CONSENSUS, LOG_LEVEL_INFO, "members change", "{s:s,s:s}", "change",
             raft_change_text (change.kind), "host", change.member.name);
  voter_schedule_flush (self, now);
}
