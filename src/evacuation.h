/* The evacuated failure domains: targets there get no work until the evacuation is reverted.
 *
 * The set is part of a replicated state machine; orders change it.  Entry hosts hold a view of it,
 * which adds the times of the changes by their own clocks.
 *
 * No I/O and no clock: time is passed in. */
#ifndef EVACUATION_H
#define EVACUATION_H

#include "bytes.h"
#include "decls.h"
#include "pack.h"
#include "routing.h"
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define EVACUATION_DOMAINS_MAX 64

struct evacuation_domain
{
  char name[ROUTING_NAME_SIZE];
  bool is_evacuated;
  uint64_t revision; /* log index of its last change */
};

/* Domains are kept after their evacuation is reverted, as hosts that start later must know when
 * that was.  Those reverted longest ago are forgotten where there are too many. */
struct evacuation_set
{
  uint64_t revision; /* log index of the last change; 0: no order was ever given */
  uint32_t n;
  struct evacuation_domain domains[EVACUATION_DOMAINS_MAX];
};

/* `base`: log index of the domain's last change that was known when the order was given; 0: none.
 * An order that is delayed for any reason must not undo a later one. */
struct evacuation_order
{
  char domain[ROUTING_NAME_SIZE];
  bool begins; /* else it reverts the evacuation */
  uint64_t base;
};

/* name, text */
#define EVACUATION_OUTCOME_LIST(X)                                                                 \
  X (CHANGED, "changed")                                                                           \
  X (UNCHANGED, "unchanged")   /* the domain was as ordered */                                     \
  X (SUPERSEDED, "superseded") /* by a later order; no effect */                                   \
  X (FULL, "too many domains") /* no effect */

enum evacuation_outcome
{
#define X(name, text) EVACUATION_##name,
  EVACUATION_OUTCOME_LIST (X)
#undef X
      EVACUATION_OUTCOME_COUNT
};

const char *evacuation_outcome_text (enum evacuation_outcome outcome);

/* Whether the text can name a domain in an order. */
bool evacuation_name_is_valid (const char *name);

/* NULL if no order ever named the domain. */
const struct evacuation_domain *evacuation_find (const struct evacuation_set *set,
                                                 const char *name);
bool evacuation_includes (const struct evacuation_set *set, const char *name);

/* The number of evacuated domains. */
uint32_t evacuation_count (const struct evacuation_set *set);

/* Apply the order that the log has at `index`. */
enum evacuation_outcome evacuation_apply (struct evacuation_set *set,
                                          const struct evacuation_order *order,
                                          uint64_t index);

void evacuation_order_pack (const struct evacuation_order *order, struct bytes *out);
bool evacuation_order_unpack (struct pack_reader *in, struct evacuation_order *order);
void evacuation_set_pack (const struct evacuation_set *set, struct bytes *out);

/* False if it is malformed; `set` must not be used then. */
bool evacuation_set_unpack (struct pack_reader *in, struct evacuation_set *set);

/* ---- views ---- */

struct evacuation_view
{
  struct evacuation_set set;
  int64_t changed_at[EVACUATION_DOMAINS_MAX]; /* of the domain at the same place of the set */
};

/* A set as it is sent, with the times since the changes. */
struct evacuation_message
{
  struct evacuation_set set;
  int64_t ages[EVACUATION_DOMAINS_MAX];
};

/* Replace the view's set with a newer one; false, without effect, if it is not newer.  `ages` may
 * be NULL: what changed, changed now. */
bool evacuation_view_update (struct evacuation_view *view,
                             const struct evacuation_set *set,
                             const int64_t *ages,
                             int64_t now);

/* When the domain's last evacuation was reverted; 0: never, or it is evacuated. */
int64_t evacuation_view_restored_at (const struct evacuation_view *view, const char *name);

void evacuation_view_write (const struct evacuation_view *view, int64_t now, struct bytes *out);

/* False if it is malformed; `message` must not be used then. */
bool evacuation_message_read (struct pack_reader *in, struct evacuation_message *message);

/* For dumps and operators; NULL when out of memory. */
json_t *evacuation_view_describe (const struct evacuation_view *view, int64_t now);

END_DECLS

#endif
