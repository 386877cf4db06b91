/* The wire protocol of clients and targets, behind a vtable.
 *
 * The forwarding path works on these typed fields; the platform's implementation maps header names
 * and bodies to them and back. */
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
#define DIALECT_PARTS_MAX 128
#define DIALECT_HANDLE_SIZE 96
#define DIALECT_PIECES_MAX 256 /* of one stage of one request */
#define DIALECT_LOAD_UNKNOWN UINT32_MAX
#define DIALECT_NO_LIMIT (-1.0)
#define DIALECT_NO_COLD (-1)
#define DIALECT_NO_BACKOFF (-1)

/* A part of a prompt. */
struct prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/* Fields of a client's request other than its route.  Times are in USEC. */
struct request_fields
{
  char id[DIALECT_ID_SIZE];
  bool has_deadline;
  int64_t time_left; /* until the client's deadline */
  char key[ROUTING_KEY_SIZE];
  bool has_key;
  uint32_t input_tokens;
  uint32_t output_tokens; /* at most */
  uint32_t n_parts;
  bool has_more_parts; /* than DIALECT_PARTS_MAX; these are not read */
  struct prompt_part parts[DIALECT_PARTS_MAX];
  uint32_t n_stages;
  uint32_t pieces[ROUTING_STAGES_MAX]; /* of each stage; 0 skips the stage */
  char piece_key[DIALECT_ID_SIZE];
  char last_event[DIALECT_ID_SIZE]; /* the last event that the client received; "" for none */
  char resumes[DIALECT_ID_SIZE];    /* id of the request that began the stream; "" for none */
};

/* Fields sent to a target in addition to the client's own headers. */
struct call_fields
{
  int64_t time_left;
  const char *target;       /* identity of the intended incarnation; any other rejects the call */
  const char *organisation; /* NULL where requests have no keys */
  const char *inputs;       /* handles of stage results, separated by commas; NULL for none */
  const char *last_event;   /* resume the stream after this event; NULL: from its start */
};

/* Fields of a target's response other than its status. */
struct response_fields
{
  const char *id;     /* of the request it answers; NULL when not given */
  bool is_signed;     /* has the target's signature */
  bool not_run;       /* the target guarantees that the request has not run */
  const char *target; /* identity of the responder; NULL when not given */
  double limit;       /* requests a second that the target takes from all entry hosts together;
                         DIALECT_NO_LIMIT when it names none */
  int64_t cold_left;  /* how much longer the target is cold, USEC; DIALECT_NO_COLD when not given */
  int64_t backoff;    /* for how long the target, which turned this call away, wants none of this
                      host, USEC; DIALECT_NO_BACKOFF when not given */
  bool leaving;       /* the target is about to end and wants no new calls */
};

/* One piece of stage work. */
struct piece_fields
{
  const char *request;
  uint32_t stage;
  uint32_t piece;
  int64_t time_left;
  const char *key;    /* of a stage without inputs; else NULL */
  const char *inputs; /* handles separated by commas; NULL with a key */
};

/* name, text */
#define PIECE_OUTCOME_LIST(X)                                                                      \
  X (DONE, "done")                                                                                 \
  X (LATE, "late")                                                                                 \
  X (INPUT_GONE, "input gone")                                                                     \
  X (NO_ROOM, "no room")                                                                           \
  X (FAILED, "failed")                                                                             \
  X (BUSY, "too much waits before it")                                                             \
  X (ENDS_TARGETS, "targets ended under it")                                                       \
  X (UNREACHED, "its owner reaches no target")

enum piece_outcome
{
#define X(name, text) PIECE_##name,
  PIECE_OUTCOME_LIST (X)
#undef X
      PIECE_END_COUNT
};

const char *piece_outcome_text (enum piece_outcome outcome);

/* A result stored at the target that produced it. */
struct stage_result
{
  char target[ROUTING_NAME_SIZE]; /* identity of the producer */
  char handle[DIALECT_HANDLE_SIZE];
};

struct piece_result
{
  enum piece_outcome outcome;
  struct stage_result result; /* its target is not filled in by the dialect */
};

struct dialect
{
  const struct dialect_ops *ops;
};

struct dialect_ops
{
  /* STATUS_INVALID with a message that names the header. */
  enum status (*read_request) (struct dialect *dialect,
                               const struct h1_head *head,
                               struct request_fields *out);

  /* Is a client's header forwarded?  Not those that this host sets itself. */
  bool (*forwards_header) (struct dialect *dialect, const char *name);
  void (*write_call_headers) (struct dialect *dialect,
                              const struct call_fields *fields,
                              struct bytes *out);
  void (*read_response) (struct dialect *dialect,
                         const struct h1_head *head,
                         struct response_fields *out);

  /* Write complete HTTP requests to a target that runs pieces, and read its responses. */
  void (*write_pieces) (struct dialect *dialect,
                        const char *address,
                        const char *target,
                        const struct piece_fields *pieces,
                        uint32_t n_pieces,
                        struct bytes *out);
  bool (*read_piece_results) (struct dialect *dialect,
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
