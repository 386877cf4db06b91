/* Log entries of claims, and the results of the claim state machine. */
#ifndef CLAIM_ENTRY_H
#define CLAIM_ENTRY_H

#include "bytes.h"
#include "claim.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include <stdbool.h>

BEGIN_DECLS

#define CLAIM_KEY_SIZE 16 /* BLAKE2b of organisation and request id */
#define CLAIM_OUTCOME_SIZE 16

/* Stored in log entries: never renumbered. */
enum claim_op
{
  CLAIM_ACQUIRE = 0,
  CLAIM_SETTLE = 1,
  CLAIM_RELEASE = 2,
  CLAIM_HOLDER_STARTED = 3, /* a host's process started: its earlier epochs are over */
  CLAIM_HOLDER_DEAD = 4,    /* another host declares this epoch of the holder dead */
  CLAIM_OP_COUNT
};

/* The holder of a claim: a host and the epoch of its process, which increases at each start. */
struct claim_holder
{
  char host[RESOURCE_NAME_SIZE];
  uint64_t epoch;
};

struct claim_entry
{
  enum claim_op op;
  struct claim_holder holder;
  char host[RESOURCE_NAME_SIZE]; /* of the proposer */
  int64_t time_ms;               /* wall clock of the proposer */
  uint8_t key[CLAIM_KEY_SIZE];
  uint64_t acquire_id; /* unique to one acquire within the holder's epoch */
  uint8_t body_hash[CLAIM_HASH_SIZE];
  int64_t issued_at_ms; /* 0 when unknown */
  int64_t retention_ms;
  uint32_t code;
  char outcome[CLAIM_OUTCOME_SIZE];
  const void *body; /* points into the packed entry after decoding */
  size_t body_length;
};

struct claim_result
{
  enum claim_verdict verdict;
  bool fenced;                /* the requester's epoch is over: retry under a new one */
  struct claim_holder holder; /* for CLAIM_IN_FLIGHT */
  uint32_t code;              /* this and all below for CLAIM_SETTLED */
  char outcome[CLAIM_OUTCOME_SIZE];
  bool body_kept;
  const void *body;
  size_t body_length;
};

void claim_entry_pack (const struct claim_entry *entry, struct bytes *out);
enum status claim_entry_unpack (struct claim_entry *entry, const void *data, size_t length);
void claim_result_pack (const struct claim_result *result, struct bytes *out);
enum status claim_result_unpack (struct claim_result *result, const void *data, size_t length);

END_DECLS

#endif
