/* The members of a group, and single-server changes to them. */
#ifndef RAFT_CONFIG_H
#define RAFT_CONFIG_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define RAFT_MEMBERS_MAX 16

/* A server is identified by its id, which is random and created with its data folder.  A host that
 * returns with an empty folder has the same name but another id, so no vote or acknowledgement of
 * the new server can be taken for one of the lost server. */
struct raft_member
{
  uint64_t id;
  char name[RESOURCE_NAME_SIZE];
  bool voter; /* else a learner: receives entries, does not count in the quorum */
};

struct raft_members
{
  uint32_t n;
  uint32_t wanted; /* desired number of voters, which repair works towards */
  struct raft_member members[RAFT_MEMBERS_MAX];
};

/* name, text */
#define RAFT_CHANGE_LIST(X)                                                                        \
  X (ADD_LEARNER, "add-learner")                                                                   \
  X (PROMOTE, "promote") /* a learner that has caught up */                                        \
  X (REMOVE, "remove")                                                                             \
  X (SET_WANTED, "set-wanted")

enum raft_change_kind
{
#define X(name, text) RAFT_##name,
  RAFT_CHANGE_LIST (X)
#undef X
      RAFT_CHANGE_COUNT
};

struct raft_change
{
  enum raft_change_kind kind;
  struct raft_member member; /* the id, and for ADD_LEARNER the name */
  uint32_t wanted;           /* for SET_WANTED */
};

const char *raft_change_text (enum raft_change_kind kind);

const struct raft_member *raft_members_find (const struct raft_members *members, uint64_t id);
const struct raft_member *raft_members_find_name (const struct raft_members *members,
                                                  const char *name);
uint32_t raft_members_voters (const struct raft_members *members);
uint32_t raft_members_quorum (const struct raft_members *members);
bool raft_members_is_voter (const struct raft_members *members, uint64_t id);

/* The members after `change`.  STATUS_CONFLICT when it does not fit the members, STATUS_LIMIT when
 * the set is full. */
enum status raft_members_apply_change (const struct raft_members *members,
                                       const struct raft_change *change,
                                       struct raft_members *out);

void raft_members_write (const struct raft_members *members, struct bytes *out);

/* Decode members.  STATUS_MALFORMED. */
enum status raft_members_read (const void *data, size_t length, struct raft_members *out);

END_DECLS

#endif
