/* Shares of an organisation's cluster-wide limits, moved between hosts by demand.
 *
 * Each organisation has one keeper among the hosts, named by hashing.  A host tells the keeper its
 * demand and gets a share on a lease; the keeper never has more than the whole out, counting each
 * lease until it has ended everywhere.  Callers never wait for this: a host applies the share it
 * has.  Kept back and always even is SHARE_RESERVE, so that a host without a lease serves too.
 *
 * Bounds.  Leases of one keeper sum to at most 1.  A host that has not asked yet (it does within
 * SHARE_PERIOD of its first request) or whose keeper is silent applies an even share; while the
 * keeper of an organisation changes, the new one gives at most an even share for one lease.  So
 * the sum over all hosts is at most 2 at any moment, and 1 once all hosts with callers have asked.
 * Across a partition each side applies the limit by itself: times the number of sides.  Limits that
 * round up let one request more through on each host (limit.h).
 *
 * Pure: no I/O, time passed in. */
#ifndef SHARE_H
#define SHARE_H

#include "bytes.h"
#include "decls.h"
#include "resource.h"
#include "status.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

#define SHARE_RESERVE 0.2 /* of each limit, always split evenly */
#define SHARE_PERIOD (2 * USEC_PER_SEC)
#define SHARE_LEASE (6 * USEC_PER_SEC) /* from the asking, on the asker's clock */
#define SHARE_ITEMS_MAX 2048           /* in one message */

/* ---- the keeper's side ---- */

struct share_book;

/* Freed with `parent`.  NULL when memory is out. */
struct share_book *share_book_new (void *parent);

/* `host` asks for its part of what is not reserved; the part granted, 0 to 1 - SHARE_RESERVE.
 * `n_hosts` are the hosts that live. */
double share_book_ask (struct share_book *book,
                       const char *organisation,
                       const char *host,
                       double demand,
                       uint32_t n_hosts,
                       int64_t now);

/* Forget organisations nobody asked for since a lease ago. */
void share_book_expire (struct share_book *book, int64_t now);

/* ---- the asker's side ---- */

struct share_hold
{
  double granted;
  int64_t until; /* 0: none yet */
};

/* The share of the limits that applies now. */
double share_hold_now (const struct share_hold *hold, uint32_t n_hosts, int64_t now);

/* ---- who keeps what ---- */

/* The weight of a host for an organisation; the live host with the highest keeps it. */
uint64_t share_keeper_weight (const char *organisation, const char *host);

/* ---- messages ---- */

enum share_message_kind
{
  SHARE_ASK = 1,
  SHARE_GRANT = 2
};

struct share_item
{
  char organisation[RESOURCE_NAME_SIZE];
  double value;     /* demand, or the share granted */
  uint64_t sent_at; /* the asker's clock; comes back in the grant */
};

struct share_message
{
  enum share_message_kind kind;
  uint32_t n_items;
  struct share_item *items;
};

void share_message_write (const struct share_message *message, struct bytes *out);

/* `out->items` are allocated under `parent`.  STATUS_MALFORMED for anything else than a whole
 * message with values in their ranges. */
enum status share_message_read (void *parent,
                                const void *data,
                                size_t length,
                                struct share_message *out);

END_DECLS

#endif
