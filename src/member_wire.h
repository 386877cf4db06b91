/* The messages of membership, encoded and decoded with limits. */
#ifndef MEMBER_WIRE_H
#define MEMBER_WIRE_H

#include "board.h"
#include "bytes.h"
#include "decls.h"
#include "pack.h"

BEGIN_DECLS

#define MEMBER_ITEMS_MAX 1024 /* in one message */

/* name, text */
#define MEMBER_KIND_LIST(X)                                                                        \
  X (PING, "ping")                                                                                 \
  X (ACK, "ack")                                                                                   \
  X (PROBE_FOR, "probe-for") /* probe `about` for the sender */                                    \
  X (NACK, "nack")           /* `about` did not answer in time; the helper is alive */             \
  X (GOSSIP, "gossip")       /* updates only */                                                    \
  X (WANT, "want")           /* requests the whole record of `about` */                            \
  X (JOIN, "join")           /* requests a view; carries the sender's record */                    \
  X (SYNC, "sync")           /* the views differ; requests the receiver's */

enum member_kind
{
#define X(name, text) MEMBER_##name,
  MEMBER_KIND_LIST (X)
#undef X
      MEMBER_KIND_COUNT
};

/* Values that change often.  Only the latest count, and they are no evidence of liveness. */
struct member_vitals
{
  uint64_t incarnation;
  uint64_t version; /* orders vitals within the incarnation */
  uint64_t revision;
  uint32_t load_percent;
};

struct member_head
{
  enum member_kind kind;
  uint64_t number;                /* of a probe; echoed in ACK and NACK */
  char about[RESOURCE_NAME_SIZE]; /* "" for none */
  struct member_vitals vitals;    /* of the sender */
  uint32_t digest;                /* of the sender's view */
  uint32_t n_items;
};

enum member_form
{
  MEMBER_FORM_STATE, /* of a host whose record is known */
  MEMBER_FORM_RECORD,
  MEMBER_FORM_VITALS,
  MEMBER_FORM_COUNT
};

struct member_item
{
  enum member_form form;
  uint64_t sequence; /* unused with vitals */
  struct board_host host;
  struct member_vitals vitals;
};

void member_write_head (struct bytes *out, const struct member_head *head);
bool member_read_head (struct pack_reader *reader, struct member_head *head);

void member_write_item (struct bytes *out, const struct member_item *item);
bool member_read_item (struct pack_reader *reader, struct member_item *item);

END_DECLS

#endif
