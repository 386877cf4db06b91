/* Log entries that change a resource, and the state machine's answers.
 *
 * The proposer parses and validates the spec and lists its references; the state machine compares
 * versions and references only.  So hosts of different releases, which may validate specs
 * differently, still get the same result from an entry. */
#ifndef STORE_ENTRY_H
#define STORE_ENTRY_H

#include "bytes.h"
#include "decls.h"
#include "resource_parse.h"
#include "status.h"

BEGIN_DECLS

#define STORE_CHANGE_ID_SIZE 129 /* including the NUL */
#define STORE_BODY_HASH_SIZE 16

enum store_op
{
  STORE_PUT,
  STORE_DELETE,
  STORE_STATUS, /* replaces the status; keeps the generation */
  STORE_FENCE,  /* no object; the answer's revision is a fencing number above `version` */
  STORE_OP_COUNT
};

struct store_change
{
  enum store_op op;
  enum resource_kind kind;
  char name[RESOURCE_NAME_SIZE];
  const char *text; /* compact JSON: the spec, or the status; not NUL-terminated when decoded */
  size_t length;
  struct resource_reference references[RESOURCE_REFERENCES_MAX];
  uint32_t n_references;
  bool has_version;
  uint64_t version;       /* required revision of the object; 0: it must not exist */
  bool retry_on_conflict; /* the proposer retries after a conflict: do not store that answer */
  char change_id[STORE_CHANGE_ID_SIZE]; /* "" for none */
  uint8_t body_hash[STORE_BODY_HASH_SIZE];
  char host[RESOURCE_NAME_SIZE]; /* of the proposer */
  int64_t time_ms;               /* wall clock of the proposer */
};

/* name, HTTP status, message */
#define STORE_VERDICT_LIST(X)                                                                      \
  X (CREATED, 201, "created")                                                                      \
  X (CHANGED, 200, "changed")                                                                      \
  X (UNCHANGED, 200, "already so")                                                                 \
  X (DELETED, 200, "deleted")                                                                      \
  X (CONFLICT, 409, "metadata.resourceVersion is not the current one")                             \
  X (NOT_FOUND, 404, "no such object")                                                             \
  X (MISSING, 400, "a referenced object does not exist")                                           \
  X (REFERENCED, 409, "another object refers to it")                                               \
  X (TAKEN, 409, "a pipeline or service already has this name")                                    \
  X (OTHER_BODY, 422, "this change id was used with another body")                                 \
  X (FULL, 503, "too many objects, or too many change ids remembered")                             \
  X (MALFORMED, 400, "malformed entry")

enum store_verdict
{
#define X(name, code, message) STORE_##name,
  STORE_VERDICT_LIST (X)
#undef X
      STORE_VERDICT_COUNT
};

const char *store_verdict_message (enum store_verdict verdict);
int store_verdict_code (enum store_verdict verdict);

struct store_answer
{
  enum store_verdict verdict;
  bool resent;       /* this is the stored answer to an earlier change with the same id */
  uint64_t revision; /* of the store after the change was first applied */
  const char *text; /* the object as JSON, or the name of the other object; points into the input */
  size_t length;
};

void store_change_pack (const struct store_change *change, struct bytes *out);
enum status store_change_unpack (struct store_change *change, const void *data, size_t length);
void store_answer_pack (const struct store_answer *answer, struct bytes *out);
enum status store_answer_unpack (struct store_answer *answer, const void *data, size_t length);

END_DECLS

#endif
