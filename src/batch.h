/* The pool owner's side of stage work: batches the pieces of many requests into calls to the
 * targets of a pool, one call at a time on each target slot. */
#ifndef BATCH_H
#define BATCH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "dialect.h"
#include "h1_client.h"
#include "target_notices.h"
#include "target_reach.h"
#include "target_watch.h"
#include "timer.h"
#include <uthash.h>

BEGIN_DECLS

/* A call that takes longer than this factor times its expected time, plus this slack, is cancelled
 * and its pieces are retried: a target whose host has stopped responding shows no other sign of
 * failure. */
#define BATCH_OVERDUE_FACTOR 2.0
#define BATCH_OVERDUE_SLACK (150 * USEC_PER_MSEC)

/* While orders wait or results are stored at targets, the pool is dispatched and results no longer
 * needed are freed at this period: room for results is the bottleneck of a pool in a burst. */
#define BATCH_SWEEP_PERIOD (20 * USEC_PER_MSEC)

/* Fetched results are evicted from a target when more than this share of its room is used: one full
 * call takes about half. */
#define BATCH_EVICTION_THRESHOLD 0.5

/* Result sizes are estimates.  The room kept free on a target is this factor times the result size
 * times the square root of the number of results: their sum varies by about that.  A piece that
 * finds no room is retried a whole call later, when its inputs may be gone.  Mean worth over 50
 * days: 0.593 without the margin, 0.607 with 0.2, 0.602 with 0.35, 0.604 with 0.5, error 0.006
 * each. */
#define BATCH_ROOM_MARGIN 0.2

/* Attempts to make a piece before its order fails. */
#define BATCH_ATTEMPTS_MAX 4

/* An order fails when this many targets have crashed during calls with its pieces. */
#define BATCH_ENDED_TARGETS_MAX 3

/* Delay before an order is retried after the connection of its call broke: by then it is mostly
 * known whether the target ended. */
#define BATCH_BREAK_RETRY_DELAY (20 * USEC_PER_MSEC)

/* Weight of a new sample in a pool's smoothed wait, and the upper bound of one sample. */
#define BATCH_WAIT_SMOOTHING 0.1
#define BATCH_WAIT_SAMPLE_MAX (600 * USEC_PER_MSEC)

/* An order that would be done with less time to spare than this counts as late: the time of the
 * stages after it varies by about as much.  By due time alone, all orders of a full pool would be
 * done just in time here and be late at the next stage.  Mean worth over 40 days: 0.511 without the
 * margin, 0.519 with 75 ms, 0.526 with 150 ms, 0.523 with 250 ms, 0.509 with 400 ms. */
#define BATCH_LATE_MARGIN (150 * USEC_PER_MSEC)

/* In the queue, one step less of urgency counts as a due time later by this much. */
#define BATCH_URGENCY_STEP (800 * USEC_PER_MSEC)

/* An order waits for a target in its preferred failure domain, where its results are wanted, while
 * it has more time to spare than this: transferring a result of megabytes between domains costs
 * more than the wait. */
#define BATCH_LOCALITY_SLACK (300 * USEC_PER_MSEC)

/* An order with less time to spare than this takes a target in any failure domain. */
#define BATCH_ANY_DOMAIN_SLACK (150 * USEC_PER_MSEC)

/* A target that reported no room at all gets no calls for this long: results ordered by an earlier
 * owner of the pool take room that this host does not know of. */
#define BATCH_NO_ROOM_PAUSE (200 * USEC_PER_MSEC)

struct batch;
struct batch_order;
struct batch_pool;

struct batch_config
{
  struct loop *loop;
  struct balance *balance;
  struct h1_client *client;
  struct dialect *dialect;
  struct counters *counters;
};

struct batch *batch_new (void *parent, const struct batch_config *config);

/* Sets the watch that determines whether a target ended when a call to it broke.  Without one, or
 * with NULL, that is unknown. */
void batch_set_watch (struct batch *batch, struct target_watch *watch);

/* Sets which pools this host reaches.  Orders of a lost pool end as UNREACHED at once.  Without it,
 * or with NULL, all are reached. */
void batch_set_reach (struct batch *batch, const struct target_reach *reach);

/* Ends the waiting orders of a pool that was lost. */
void batch_end_lost_orders (struct batch *batch, const char *pool, int64_t now);

/* Ends the waiting orders of pools, and parts of pools, whose targets are all evacuated, as BUSY:
 * another part may have targets. */
void batch_end_evacuated_orders (struct batch *batch, int64_t now);

/* Sets where the limits that targets name are reported.  Without it they are ignored. */
void batch_set_notices (struct batch *batch, struct target_notices *notices);

/* Loads the batch settings of the pools.  To be called again when a new routing takes effect. */
void batch_set_routing (struct batch *batch, const struct routing *routing);

struct batch_order_ops
{
  /* All pieces are done, or the order failed.  The order is freed after the call. */
  void (*done) (struct batch_order *order, enum piece_outcome end, int64_t now);

  /* All its pieces are in calls.  May be called again, after a piece was requeued. */
  void (*taken) (struct batch_order *order, int64_t now);
};

/* The number of pieces, and when they are wanted. */
struct batch_demand
{
  uint32_t n_pieces;
  uint32_t urgency; /* 0 is the most urgent */
  int64_t due;      /* later results make the request late */
  bool may_reject;  /* end it as BUSY at once if it cannot be in time: the caller may retry */
};

/* The pieces of one stage of one request.  Created and filled in by the caller, owned by the batch
 * once submitted. */
struct batch_order
{
  const struct batch_order_ops *ops;
  void *user;
  char origin[ROUTING_NAME_SIZE]; /* the host that submitted it */
  uint64_t number;                /* its number on that host */
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];           /* only targets in this failure domain; "" for any */
  char preferred_domain[ROUTING_NAME_SIZE]; /* failure domain; "" until a piece is taken */
  uint64_t result_size;
  char key[DIALECT_ID_SIZE];
  char *inputs; /* talloc child; NULL with a key */
  struct batch_demand demand;
  int64_t deadline;
  struct piece_result *results; /* talloc child, n_pieces */

  /* Private to the batch. */
  struct batch_pool *batch_pool;
  uint64_t serial; /* never reused, unlike an address */
  int64_t submitted;
  bool late_on_submit; /* could not be in time when it was submitted */
  uint32_t *pending;   /* pieces neither in a call nor done */
  uint32_t n_pending;
  uint8_t *attempts; /* of each piece */
  /* The newest incarnations on which calls with its pieces broke. */
  uint64_t broken_incarnations[BATCH_ENDED_TARGETS_MAX];
  uint32_t n_broken_incarnations;
  int64_t not_before; /* earliest retry after a break */
  uint32_t n_done;
  bool begun; /* a piece of it was put in a call */
  bool queued;
  struct batch_order *prev;
  struct batch_order *next;
  UT_hash_handle hh;
};

struct batch_order *batch_order_new (struct batch *batch, uint32_t n_pieces);
void batch_submit (struct batch *batch, struct batch_order *order, int64_t now);

/* Withdraws an order: pieces not in a call are not made, results are freed.  done() is not
 * called. */
void batch_cancel (struct batch *batch, struct batch_order *order, int64_t now);

/* Books a later stage of a request that begins now, whose order is submitted once its inputs are
 * made.  Returns false, and books nothing, if the stage could not be in time.  A booking ends when
 * its order is submitted, with batch_unbook(), or when it is due. */
bool batch_book (struct batch *batch,
                 const char *pool,
                 const char *domain,
                 const char *request,
                 uint32_t stage,
                 const struct batch_demand *demand,
                 int64_t now);
void batch_unbook (
    struct batch *batch, const char *pool, const char *domain, const char *request, uint32_t stage);

/* Finds an order by the host that submitted it and its number there; NULL if there is none. */
struct batch_order *batch_find_order (struct batch *batch, const char *origin, uint64_t number);

/* Why a result is released. */
enum batch_release
{
  BATCH_RELEASE_EVICTABLE, /* all readers have fetched it: evict where room is short */
  BATCH_RELEASE_FREE,      /* no longer needed */
};

void batch_release_result (struct batch *batch,
                           enum batch_release how,
                           const char *pool,
                           const char *domain,
                           const struct stage_result *result,
                           int64_t now);

/* Does the pool run pieces? */
bool batch_has_pool (const struct batch *batch, const char *pool);

/* Estimated time, in microseconds, that a new order would wait before its pieces are started. */
int64_t batch_estimate_wait (struct batch *batch, const char *pool, const char *domain);

/* Smoothed time, in microseconds, that orders of the pool took recently beyond the expected time on
 * an idle target. */
int64_t batch_smoothed_wait (struct batch *batch, const char *pool, const char *domain);

/* Does a call's answer show that its target has no room at all?  Result sizes are estimates, so a
 * target with enough estimated room may lack it for one of the pieces; it made the others, and has
 * room again when those are fetched. */
bool batch_target_is_full (const struct piece_result *results, uint32_t n);

END_DECLS

#endif
