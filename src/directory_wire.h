/* Messages of the directory between hosts: types, and encoding and decoding with limits. */
#ifndef DIRECTORY_WIRE_H
#define DIRECTORY_WIRE_H

#include "bytes.h"
#include "decls.h"
#include "directory.h"
#include "pack.h"

BEGIN_DECLS

#define DIRECTORY_INTEREST_MAX 64     /* targets in one request for load reports */
#define DIRECTORY_LOADS_MAX 32        /* load reports in one answer */
#define DIRECTORY_EXCEPTIONS_MAX 2048 /* targets in an answer with a shorter lease */
#define DIRECTORY_CHANGES_MAX 128     /* changes in one message */

/* name, text */
#define DIRECTORY_PHASE_LIST(X)                                                                    \
  X (READY, "ready")                                                                               \
  X (LEAVING, "leaving")                                                                           \
  X (LAPSED, "lapsed") /* did not renew; ready again after a renewal */                            \
  X (GONE, "gone")     /* left, or has another home */

enum directory_phase
{
#define X(name, text) DIRECTORY_##name,
  DIRECTORY_PHASE_LIST (X)
#undef X
      DIRECTORY_PHASE_COUNT
};

const char *directory_phase_text (enum directory_phase phase);

enum directory_message_kind
{
  DIRECTORY_REQUEST_MESSAGE = 1,
  DIRECTORY_ANSWER_MESSAGE,
  DIRECTORY_PUSH_MESSAGE
};

/* A request for the list of a home, with the version that the requester has. */
struct directory_request_message
{
  uint64_t requested_at; /* on the requester's clock; echoed in the answer */
  uint64_t epoch;
  uint64_t version;
  uint64_t base; /* the list as known is no older than this version, but may be incomplete */
  uint32_t interest[DIRECTORY_INTEREST_MAX]; /* slots */
  uint32_t n_interest;
};

struct directory_lease_exception
{
  uint32_t slot;
  uint32_t remaining_ms;
};

struct directory_load_entry
{
  uint32_t slot;
  uint32_t age_ms;
  uint32_t running;
  uint32_t waiting;
  uint32_t kv_percent;
};

/* The header of an answer or a push; the changes follow. */
struct directory_head
{
  enum directory_message_kind kind;
  uint64_t requested_at; /* 0 in a push */
  uint64_t epoch;
  uint64_t since;    /* the message holds all changes after this version ... */
  uint64_t version;  /* ... up to this one */
  uint64_t current;  /* the home's version now */
  uint32_t lease_ms; /* for all targets of the list but the exceptions, from `requested_at` */
  bool reset;        /* drop everything known from this home */
  struct directory_lease_exception exceptions[DIRECTORY_EXCEPTIONS_MAX]; /* by slot */
  uint32_t n_exceptions;
  struct directory_load_entry loads[DIRECTORY_LOADS_MAX];
  uint32_t n_loads;
  uint32_t n_changes;
};

struct directory_change
{
  uint32_t slot;
  uint64_t version;
  enum directory_phase phase;
  struct directory_record record; /* for a GONE target only name, incarnation and sequence */
};

void directory_write_request (struct bytes *out, const struct directory_request_message *request);
bool directory_read_request (struct pack_reader *reader, struct directory_request_message *request);

void directory_write_head (struct bytes *out, const struct directory_head *head);

/* The kind must have been read already. */
bool directory_read_head (struct pack_reader *reader, struct directory_head *head);

void directory_write_change (struct bytes *out,
                             const struct directory_change *change,
                             const struct board_target *target);
bool directory_read_change (struct pack_reader *reader, struct directory_change *change);

END_DECLS

#endif
