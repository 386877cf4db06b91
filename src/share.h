/* Distribution of an organisation's cluster-wide limits over hosts, by demand.
 *
 * Each organisation has one coordinator among the hosts, found by rendezvous hashing.  A host sends
 * its demand to the coordinator and gets a share on a lease.  The coordinator never grants more
 * than the whole, and counts each lease until it has expired on its host.  Requests never wait for
 * this: a host applies the share it has.  SHARE_RESERVE is not leased but always split evenly, so
 * that a host without a lease serves requests too.
 *
 * Bounds.  The leases of one coordinator sum to at most 1.  A host that has not asked yet (it does
 * within SHARE_PERIOD of its first request), or whose coordinator does not answer, applies an even
 * share.  When the coordinator of an organisation changes, the new one grants at most an even share
 * for the time of one lease.  So the sum over all hosts is at most 2 at any moment, and at most 1
 * once all hosts with callers have asked.  In a partition each side applies the whole limit, so the
 * bounds are multiplied by the number of sides.  Limits that round up admit one more request on
 * each host (limit.h).
 *
 * No I/O and no clock: the time is an argument. */
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

#define SHARE_RESERVE 0.2 /* part of each limit that is always split evenly */
#define SHARE_PERIOD (2 * USEC_PER_SEC)
#define SHARE_LEASE (6 * USEC_PER_SEC) /* from the request, by the requesting host's clock */
#define SHARE_ITEMS_MAX 2048           /* most items in one message */

/* ---- coordinator ---- */

struct share_coordinator;

/* Freed with `parent`.  NULL when out of memory. */
struct share_coordinator *share_coordinator_new (void *parent);

/* Grants `host` a lease by its demand, in requests per second; returns the share granted, 0 to
 * 1 - SHARE_RESERVE, and 0 when out of memory.  `n_hosts` is the number of live hosts. */
double share_coordinator_grant (struct share_coordinator *coordinator,
                                const char *organisation,
                                const char *host,
                                double demand,
                                uint32_t n_hosts,
                                int64_t now);

/* Removes expired leases, and organisations that have none left. */
void share_coordinator_expire (struct share_coordinator *coordinator, int64_t now);

/* ---- requesting host ---- */

struct share_lease
{
  double granted;
  int64_t until; /* end of the lease; 0: none yet */
};

/* The share of the limits to apply at `now`, 0 to 1. */
double share_lease_current (const struct share_lease *lease, uint32_t n_hosts, int64_t now);

/* ---- choice of the coordinator ---- */

/* The weight of a host for an organisation; the live host with the highest is its coordinator. */
uint64_t share_coordinator_weight (const char *organisation, const char *host);

/* ---- messages ---- */

enum share_message_kind
{
  SHARE_REQUEST = 1,
  SHARE_GRANT = 2
};

struct share_item
{
  char organisation[RESOURCE_NAME_SIZE];
  double value;     /* demand, or the share granted */
  uint64_t sent_at; /* time of the request by the requesting host's clock; copied to the grant */
};

struct share_message
{
  enum share_message_kind kind;
  uint32_t n_items;
  struct share_item *items;
};

void share_message_write (const struct share_message *message, struct bytes *out);

/* `out->items` is allocated under `parent`.  STATUS_MALFORMED when the message is incomplete, too
 * long, or has a value out of range; STATUS_NO_MEMORY. */
enum status share_message_read (void *parent,
                                const void *data,
                                size_t length,
                                struct share_message *out);

END_DECLS

#endif
