/* The members of a group. */
#include "raft_config.h"
#include "pack.h"
#include "text.h"
#include <string.h>

#define MEMBERS_FIELDS 2
#define MEMBER_FIELDS 3

static const char *const change_texts[] = {
#define X(name, text) [RAFT_##name] = text,
  RAFT_CHANGE_LIST (X)
#undef X
};

const char *
raft_change_text (enum raft_change_kind kind)
{
  return (unsigned) kind < RAFT_CHANGE_COUNT ? change_texts[kind] : "unknown";
}

const struct raft_member *
raft_members_find (const struct raft_members *members, uint64_t id)
{
  for (uint32_t i = 0; i < members->n; i++)
    if (members->members[i].id == id)
      return &members->members[i];
  return NULL;
}

const struct raft_member *
raft_members_find_name (const struct raft_members *members, const char *name)
{
  for (uint32_t i = 0; i < members->n; i++)
    if (strcmp (members->members[i].name, name) == 0)
      return &members->members[i];
  return NULL;
}

uint32_t
raft_members_voters (const struct raft_members *members)
{
  uint32_t voters = 0;

  for (uint32_t i = 0; i < members->n; i++)
    voters += members->members[i].voter;
  return voters;
}

uint32_t
raft_members_quorum (const struct raft_members *members)
{
  return raft_members_voters (members) / 2 + 1;
}

bool
raft_members_is_voter (const struct raft_members *members, uint64_t id)
{
  const struct raft_member *member = raft_members_find (members, id);

  return member != NULL && member->voter;
}

static enum status
add_learner (struct raft_members *members, const struct raft_member *member)
{
  if (member->id == 0 || raft_members_find (members, member->id) != NULL)
    return status_fail (STATUS_CONFLICT, "member %s is there already", member->name);
  if (members->n == RAFT_MEMBERS_MAX)
    return status_fail (STATUS_LIMIT, "%u members at most", RAFT_MEMBERS_MAX);
  members->members[members->n] = *member;
  members->members[members->n].voter = false;
  members->n++;
  return STATUS_OK;
}

static enum status
promote (struct raft_members *members, uint64_t id)
{
  for (uint32_t i = 0; i < members->n; i++)
    if (members->members[i].id == id && !members->members[i].voter)
      {
        members->members[i].voter = true;
        return STATUS_OK;
      }
  return status_fail (STATUS_CONFLICT, "no such learner");
}

static enum status
remove_member (struct raft_members *members, uint64_t id)
{
  const struct raft_member *member = raft_members_find (members, id);
  uint32_t at;

  if (member == NULL)
    return status_fail (STATUS_CONFLICT, "no such member");
  if (member->voter && raft_members_voters (members) == 1)
    return status_fail (STATUS_CONFLICT, "the last voter cannot be removed");
  at = (uint32_t) (member - members->members);
  members->n--;
  memmove (&members->members[at], &members->members[at + 1],
           (members->n - at) * sizeof members->members[0]);
  return STATUS_OK;
}

enum status
raft_members_apply_change (const struct raft_members *members,
                           const struct raft_change *change,
                           struct raft_members *out)
{
  *out = *members;
  switch (change->kind)
    {
    case RAFT_ADD_LEARNER:
      return add_learner (out, &change->member);
    case RAFT_PROMOTE:
      return promote (out, change->member.id);
    case RAFT_REMOVE:
      return remove_member (out, change->member.id);
    case RAFT_SET_WANTED:
      out->wanted = change->wanted;
      return STATUS_OK;
    case RAFT_CHANGE_COUNT:
      break;
    }
  return status_fail (STATUS_INVALID, "unknown change of members");
}

void
raft_members_write (const struct raft_members *members, struct bytes *out)
{
  pack_array (out, MEMBERS_FIELDS);
  pack_uint (out, members->wanted);
  pack_array (out, members->n);
  for (uint32_t i = 0; i < members->n; i++)
    {
      pack_array (out, MEMBER_FIELDS);
      pack_uint (out, members->members[i].id);
      pack_text (out, members->members[i].name);
      pack_bool (out, members->members[i].voter);
    }
}

enum status
raft_members_read (const void *data, size_t length, struct raft_members *out)
{
  struct pack_reader in;

  memset (out, 0, sizeof *out);
  pack_reader_init (&in, data, length);
  in.failed |= pack_read_array (&in, MEMBERS_FIELDS) != MEMBERS_FIELDS;
  out->wanted = (uint32_t) pack_read_uint (&in, UINT64_MAX);
  out->n = pack_read_array (&in, RAFT_MEMBERS_MAX);
  for (uint32_t i = 0; i < out->n; i++)
    {
      struct raft_member *member = &out->members[i];

      in.failed |= pack_read_array (&in, MEMBER_FIELDS) != MEMBER_FIELDS;
      member->id = pack_read_uint (&in, UINT64_MAX);
      pack_read_text (&in, member->name, sizeof member->name);
      member->voter = pack_read_bool (&in);
    }
  return pack_read_is_complete (&in)
             ? STATUS_OK
             : status_fail (STATUS_MALFORMED, "malformed members of a group");
}
