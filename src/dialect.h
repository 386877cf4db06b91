/* How clients and targets say things on the wire, behind a vtable.
 *
 * The forwarding path works on these typed facts; whoever speaks the users' platform maps header
 * names and bodies to them and back. */
#ifndef DIALECT_H
#define DIALECT_H

#include "bytes.h"
#include "decls.h"
#include "h1.h"
#include "routing.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define DIALECT_ID_SIZE 64
#define DIALECT_PARTS_MAX 32
#define DIALECT_HANDLE_SIZE 96
#define DIALECT_PIECES_MAX 256 /* of one stage of one request */
#define DIALECT_LOAD_UNKNOWN UINT32_MAX

/* A part of a prompt. */
struct prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/* What a client's request says beside its route. */
struct request_facts
{
  char id[DIALECT_ID_SIZE];
  bool has_deadline;
  int64_t time_left; /* the client waits no longer */
  char key[ROUTING_KEY_SIZE];
  bool has_key;
  uint32_t input_tokens;
  uint32_t output_tokens; /* at most */
  uint32_t n_parts;
  struct prompt_part parts[DIALECT_PARTS_MAX];
  uint32_t n_stages;
  uint32_t pieces[ROUTING_STAGES_MAX]; /* of each stage; 0 leaves it out */
  char piece_key[DIALECT_ID_SIZE];
  char last_event[DIALECT_ID_SIZE]; /* the client has this one and those before; "" for none */
};

/* What we say to a target beside the client's own headers. */
struct call_facts
{
  int64_t time_left;
  const char *target;       /* identity of the incarnation meant; any other refuses */
  const char *organisation; /* NULL where requests carry no keys */
  const char *inputs;       /* handles of stage results, separated by commas; NULL for none */
  const char *last_event;   /* a stream goes on behind this event; NULL from its start */
};

/* What a target's answer says beside its status. */
struct answer_facts
{
  const char *id;     /* of the request it answers; NULL when it does not say */
  bool is_signed;     /* bears the target's signature */
  bool not_run;       /* the target promises that the request has not run */
  const char *target; /* identity of who answers; NULL when it does not say */
};

/* One piece of stage work. */
struct piece_facts
{
  const char *request;
  uint32_t stage;
  uint32_t piece;
  int64_t time_left;
  const char *key;    /* of a stage that needs no other; NULL else */
  const char *inputs; /* handles separated by commas; NULL with a key */
};

/* name, text */
#define PIECE_END_LIST(X)                                                                          \
  X (DONE, "done")                                                                                 \
  X (LATE, "late")                                                                                 \
  X (INPUT_GONE, "input gone")                                                                     \
  X (NO_ROOM, "no room")                                                                           \
  X (FAILED, "failed")                                                                             \
  X (BUSY, "too much waits before it")                                                             \
  X (ENDS_TARGETS, "targets ended under it")

enum piece_end
{
#define X(name, text) PIECE_##name,
  PIECE_END_LIST (X)
#undef X
      PIECE_END_COUNT
};

const char *piece_end_text (enum piece_end end);

/* A result that lies at the target that made it. */
struct stage_result
{
  char target[ROUTING_NAME_SIZE]; /* the maker's identity */
  char handle[DIALECT_HANDLE_SIZE];
};

struct piece_result
{
  enum piece_end end;
  struct stage_result result; /* its target is not the dialect's to fill */
};

struct dialect
{
  const struct dialect_ops *ops;
};

struct dialect_ops
{
  /* STATUS_INVALID with a message naming the header. */
  enum status (*read_request) (struct dialect *dialect,
                               const struct h1_head *head,
                               struct request_facts *out);

  /* Is a client's header passed on?  Not those that we set ourselves. */
  bool (*passes) (struct dialect *dialect, const char *name);
  void (*write_call) (struct dialect *dialect, const struct call_facts *facts, struct bytes *out);
  void (*read_answer) (struct dialect *dialect,
                       const struct h1_head *head,
                       struct answer_facts *out);

  /* Whole requests to a target that runs pieces. */
  void (*write_pieces) (struct dialect *dialect,
                        const char *address,
                        const char *target,
                        const struct piece_facts *pieces,
                        uint32_t n_pieces,
                        struct bytes *out);
  bool (*read_pieces) (struct dialect *dialect,
                       const char *body,
                       size_t length,
                       struct piece_result *out,
                       uint32_t n_pieces);
  void (*write_free) (struct dialect *dialect,
                      const char *address,
                      const char *target,
                      const char *const *handles,
                      uint32_t n_handles,
                      struct bytes *out);
};

END_DECLS

#endif
