/* This host's parts of the rate limits that all entry hosts share, by the list of hosts that the
 * controllers send. */
#ifndef RATE_SHARE_H
#define RATE_SHARE_H

#include "decls.h"
#include "rate_part.h"
#include "subscriber.h"

BEGIN_DECLS

/* By then all controllers that can be reached have sent their lists. */
#define RATE_SHARE_SETTLE USEC_PER_SEC

struct rate_share
{
  struct subscriber *subscriber;
  const char *name; /* of this host in the lists */
  struct host_count count;
  const struct host_view *view; /* used instead of the subscriber's if not NULL */
  int64_t known_since;          /* when a list was first known; 0: none is */
};

/* Number of hosts that share the limits; 0 while no list is known. */
uint32_t rate_share_hosts (struct rate_share *share, int64_t now);

/* The same, but 0 until a list has been known for RATE_SHARE_SETTLE: the first lists after a start
 * may have few of the hosts, and several hosts that start at once would each take most of a limit.
 */
uint32_t rate_share_settled_hosts (struct rate_share *share, int64_t now);

/* Changes whenever a rank may have changed. */
uint64_t rate_share_revision (const struct rate_share *share);

/* This host's position among the hosts for a key, from 0.  The key names what is limited: the order
 * differs from key to key. */
uint32_t rate_share_rank (const struct rate_share *share, const char *key);

struct rate_limit rate_share_part (struct rate_share *share,
                                   const struct rate_limit *limit,
                                   const char *key,
                                   int64_t now);

END_DECLS

#endif
