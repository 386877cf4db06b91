/* Memory and connections that all clients of the process may take together.
 *
 * A limit for each connection does not bound the process: it is multiplied by their number.  Where
 * the sum is short, the connection that holds much and receives little is ended, so that clients
 * that stop in the middle of a request do not shut out others.  A request that was handed on is
 * never ended for another one. */
#ifndef QUOTA_H
#define QUOTA_H

#include "counter.h"
#include "decls.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

BEGIN_DECLS

/* Default of the memory of all clients, in bytes. */
#define QUOTA_DEFAULT_BYTES (UINT64_C (64) << 20)

/* A connection that holds no more than this, in bytes, may use the reserve, and others are ended
 * for it even if they receive. */
#define QUOTA_SMALL_BYTES (64u << 10)

/* One part in so many of the memory is reserved for small requests. */
#define QUOTA_RESERVE_PART 8

/* A connection that received this many bytes has made progress. */
#define QUOTA_PROGRESS_BYTES 4096

/* Without progress for so long, in microseconds, a request that is being received may be ended for
 * a large one, and the rest of an answer may be dropped for any. */
#define QUOTA_RECEIVE_STALL (USEC_PER_SEC / 2)
#define QUOTA_SEND_STALL (2 * USEC_PER_SEC)

/* Retry-After, in seconds, of a request that finds no room: stalled requests are ended by then. */
#define QUOTA_RETRY_AFTER_TEXT "0.5"

/* Log lines a second about connections that were refused or ended. */
#define QUOTA_LOGGED_PER_SECOND 20

enum quota_state
{
  QUOTA_IDLE,      /* no request */
  QUOTA_RECEIVING, /* a request that is incomplete */
  QUOTA_RUNNING,   /* a complete request whose answer is not complete */
  QUOTA_SENDING,   /* the rest of an answer, which the client has yet to take */
};

struct quota;
struct quota_member;

struct quota_member_ops
{
  /* Others need the memory or the connection.  Of RECEIVING with `keep` the request may be
   * answered, but what it holds is dropped; else the connection is closed.  The member counts as
   * holding nothing; without `keep` it has left. */
  void (*end) (struct quota_member *member, bool keep, int64_t now);
};

/* A connection; embedded by its user, which sets `ops` and `label`. */
struct quota_member
{
  const struct quota_member_ops *ops;
  const char *label;   /* which listener; a static text */
  struct quota *quota; /* NULL while it has not joined */
  enum quota_state state;
  size_t bytes;     /* that it holds */
  size_t received;  /* bytes since `moved_at` */
  int64_t moved_at; /* the last progress, or the begin of the state */
  struct quota_member *prev;
  struct quota_member *next;
};

struct quota_config
{
  uint64_t bytes_max;        /* 0: QUOTA_DEFAULT_BYTES */
  uint32_t connections_max;  /* of clients and to targets; 0: no limit */
  struct counters *counters; /* NULL for some of its own, which nobody reads */
};

/* Freed with `parent`.  NULL when out of memory. */
struct quota *quota_new (void *parent, const struct quota_config *config);

/* A new connection, which is idle.  If there are too many, the one without progress for longest is
 * ended; false if none can be. */
bool quota_join (struct quota *quota, struct quota_member *member, int64_t now);
void quota_leave (struct quota_member *member);

void quota_set_state (struct quota_member *member, enum quota_state state, int64_t now);

/* Bytes of a request arrived, or bytes of an answer were taken. */
void quota_note_progress (struct quota_member *member, size_t bytes, int64_t now);

/* The connection holds `bytes` from now on.  Others are ended to make room; false, with nothing
 * changed, if there is not enough. */
bool quota_hold (struct quota_member *member, size_t bytes, int64_t now);

/* Could a connection hold so much if there were no others? */
bool quota_fits (const struct quota *quota, size_t bytes);

/* Connections of this process to others, which use the same descriptors: `change` is 1 or -1. */
void quota_count_own (struct quota *quota, int change);

uint64_t quota_bytes (const struct quota *quota);
uint32_t quota_connections (const struct quota *quota);

END_DECLS

#endif
