/* The messages between hosts about targets: typed, encoded and decoded with limits. */
#ifndef DIRECTORY_WIRE_H
#define DIRECTORY_WIRE_H

#include "bytes.h"
#include "decls.h"
#include "directory.h"
#include "pack.h"

BEGIN_DECLS

#define DIRECTORY_INTEREST_MAX 64     /* targets a question wants load reports of */
#define DIRECTORY_LOADS_MAX 32        /* load reports in one answer */
#define DIRECTORY_EXCEPTIONS_MAX 2048 /* targets of an answer with less than the whole lease */
#define DIRECTORY_CHANGES_MAX 128     /* entries in one message */

/* name, text */
#define DIRECTORY_PHASE_LIST(X)                                                                    \
  X (READY, "ready")                                                                               \
  X (LEAVING, "leaving")                                                                           \
  X (LAPSED, "lapsed") /* did not renew; comes back when it does */                                \
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
  DIRECTORY_ASK_MESSAGE = 1,
  DIRECTORY_ANSWER_MESSAGE,
  DIRECTORY_PUSH_MESSAGE
};

/* "Which version have you?  I have this one." */
struct directory_ask_message
{
  uint64_t asked_at; /* the asker's clock; comes back in the answer */
  uint64_t epoch;
  uint64_t version;
  uint64_t base; /* what it has is no older than this, though it may still be a part */
  uint32_t interest[DIRECTORY_INTEREST_MAX]; /* slots */
  uint32_t n_interest;
};

struct directory_exception
{
  uint32_t slot;
  uint32_t left_ms;
};

struct directory_load_entry
{
  uint32_t slot;
  uint32_t age_ms;
  uint32_t running;
  uint32_t waiting;
  uint32_t kv_percent;
};

/* The head of an answer or a push; the entries follow. */
struct directory_head
{
  enum directory_message_kind kind;
  uint64_t asked_at; /* 0 in a push */
  uint64_t epoch;
  uint64_t since;    /* the entries are all that changed after this version ... */
  uint64_t version;  /* ... up to this one */
  uint64_t current;  /* the home's version now */
  uint32_t lease_ms; /* of every target of the list that is no exception, from `asked_at` */
  bool reset;        /* forget what this home said before */
  struct directory_exception exceptions[DIRECTORY_EXCEPTIONS_MAX]; /* by slot */
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
  struct directory_record said; /* of a target that is gone: name, incarnation, sequence */
};

void directory_write_ask (struct bytes *out, const struct directory_ask_message *ask);
bool directory_read_ask (struct pack_reader *reader, struct directory_ask_message *ask);

void directory_write_head (struct bytes *out, const struct directory_head *head);

/* After the kind was read. */
bool directory_read_head (struct pack_reader *reader, struct directory_head *head);

void directory_write_change (struct bytes *out,
                             const struct directory_change *change,
                             const struct board_target *target);
bool directory_read_change (struct pack_reader *reader, struct directory_change *change);

END_DECLS

#endif
