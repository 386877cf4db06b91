/* The owner's side of stage work: packs the pieces of many requests into calls to the targets of a
 * pool, one call at a time on each of their slots. */
#ifndef BATCH_H
#define BATCH_H

#include "balance.h"
#include "counter.h"
#include "decls.h"
#include "dialect.h"
#include "h1_client.h"
#include "target_watch.h"
#include "timer.h"
#include <uthash.h>

BEGIN_DECLS

/* A call that takes this many times what is expected, and a little, is given up and its pieces are
 * made elsewhere: a dead target shows no other sign while its machine answers nothing. */
#define BATCH_OVERDUE_FACTOR 2.0
#define BATCH_OVERDUE_MORE (150 * USEC_PER_MSEC)

/* While orders wait or results lie at targets, what may be sent is looked for and what nobody needs
 * is freed this often: room for results is what binds a pool in a burst. */
#define BATCH_LOOK_PERIOD (20 * USEC_PER_MSEC)

/* Results that were fetched are dropped at a target of whose room more than this share is taken:
 * one full call takes about half. */
#define BATCH_ROOM_AMPLE 0.5

/* The sizes of results are estimates.  Beside what lies at a target so much of it stays free, times
 * the square root of the number of results: their sum varies by about that.  A piece that finds no
 * room comes back a whole call later, when its inputs may be gone.  Mean worth of fifty days 0.593
 * without, 0.607 with 0.2, 0.602 with 0.35, 0.604 with 0.5, error 0.006 each. */
#define BATCH_SIZE_SPREAD 0.2

/* A piece is tried at most so often. */
#define BATCH_TRIES_MAX 4

/* Targets that end under calls with pieces of one order: then it comes to nothing. */
#define BATCH_ENDS_MAX 3

/* After its call broke an order waits so long: by then it is mostly known whether the target ended.
 */
#define BATCH_AFTER_BREAK (20 * USEC_PER_MSEC)

/* How fast the usual wait of a pool's orders follows, and the most that one counts for. */
#define BATCH_WAIT_SMOOTHING 0.1
#define BATCH_USUAL_WAIT_MAX (600 * USEC_PER_MSEC)

/* An order that would be done with less to spare than this counts as late already: what comes after
 * it varies by about so much.  Served by due time alone, all orders of a full pool would be done
 * just in time here and late at the next stage.  Mean worth of forty days 0.511 without it, 0.519
 * with 75 ms, 0.526 so, 0.523 with 250 ms, 0.509 with 400 ms. */
#define BATCH_LATE_MARGIN (150 * USEC_PER_MSEC)

/* Where orders wait, one less urgent by one step goes behind those due this much later. */
#define BATCH_URGENCY_STEP (800 * USEC_PER_MSEC)

/* An order waits for a target in the failure domain where its results are wanted while it has so
 * much time to spare: a result of megabytes that crosses costs more than the wait. */
#define BATCH_NEAR_SLACK (300 * USEC_PER_MSEC)

/* An order with less time to spare than this takes any target. */
#define BATCH_PRESSED (150 * USEC_PER_MSEC)

/* A target that said it has no room at all gets nothing for so long: results that an earlier owner
 * of the pool ordered take room that we do not know of. */
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

/* Whether targets ended when calls to them broke; NULL, and before it is set: that is not known. */
void batch_set_watch (struct batch *batch, struct target_watch *watch);

/* The pools' figures; to be told again when a routing comes into force. */
void batch_set_routing (struct batch *batch, const struct routing *routing);

struct batch_order_ops
{
  /* All pieces are done, or one cannot be made.  The order is freed after it. */
  void (*done) (struct batch_order *order, enum piece_end end, int64_t now);

  /* All its pieces are in calls now.  May come again, when one had to go into another call. */
  void (*taken) (struct batch_order *order, int64_t now);
};

/* How many pieces, and when. */
struct batch_demand
{
  uint32_t n_pieces;
  uint32_t urgency;   /* 0 is first */
  int64_t due;        /* later results make the request late */
  bool may_turn_away; /* end it at once as BUSY where it cannot be in time: it may come again */
};

/* The pieces of one stage of one request.  Made and filled by its user, owned by the batch once
 * submitted. */
struct batch_order
{
  const struct batch_order_ops *ops;
  void *user;
  char origin[ROUTING_NAME_SIZE]; /* the host that asked */
  uint64_t number;                /* its number there */
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE]; /* only targets of this failure domain; "" for any */
  char near[ROUTING_NAME_SIZE];   /* where it should be made; "" until the first piece is taken */
  uint64_t result_size;
  char key[DIALECT_ID_SIZE];
  char *inputs; /* talloc child; NULL with a key */
  struct batch_demand demand;
  int64_t deadline;
  struct piece_result *results; /* talloc child, n_pieces */

  /* The batch's own. */
  struct batch_pool *batch_pool;
  uint64_t serial; /* never used again, while an address is */
  int64_t submitted;
  bool came_late;    /* could not be in time when it came */
  uint32_t *pending; /* pieces not in a call and not done */
  uint32_t n_pending;
  uint8_t *tries; /* of each piece */
  uint64_t
      broke_on[BATCH_ENDS_MAX]; /* incarnations on which calls with its pieces broke, the newest */
  uint32_t n_broke;
  int64_t not_before; /* after a break */
  uint32_t n_done;
  bool begun; /* a piece of it was taken */
  bool queued;
  struct batch_order *prev;
  struct batch_order *next;
  UT_hash_handle hh;
};

struct batch_order *batch_order_new (struct batch *batch, uint32_t n_pieces);
void batch_submit (struct batch *batch, struct batch_order *order, int64_t now);

/* Withdraw: pieces not begun are not made, results are freed.  done() does not come. */
void batch_cancel (struct batch *batch, struct batch_order *order, int64_t now);

/* A later stage of a request that begins now: its order comes when its inputs are made.  False when
 * it could not be in time; nothing is booked then.  A booking ends with its order's coming, with
 * batch_unbook(), or when it is due. */
bool batch_book (struct batch *batch,
                 const char *pool,
                 const char *domain,
                 const char *request,
                 uint32_t stage,
                 const struct batch_demand *demand,
                 int64_t now);
void batch_unbook (
    struct batch *batch, const char *pool, const char *domain, const char *request, uint32_t stage);

/* An order of another host, by its number there; NULL when it is not here. */
struct batch_order *batch_find (struct batch *batch, const char *origin, uint64_t number);

/* What its users have done with a result. */
enum batch_release
{
  BATCH_LET_GO, /* all have fetched it who read it: it may be dropped where room is short */
  BATCH_FREE,   /* nobody needs it any more */
};

void batch_release_result (struct batch *batch,
                           enum batch_release how,
                           const char *pool,
                           const char *domain,
                           const struct stage_result *result,
                           int64_t now);

/* Does the pool run pieces? */
bool batch_knows (const struct batch *batch, const char *pool);

/* How long a new order would wait before its pieces are begun, about. */
int64_t batch_wait (struct batch *batch, const char *pool, const char *domain);

/* How much longer than on an idle target orders of the pool took lately, in microseconds. */
int64_t batch_usual_wait (struct batch *batch, const char *pool, const char *domain);

/* Does a call's answer say that its target has no room at all?  The sizes of results are estimates,
 * so one that has room for what we think may lack it for one of the pieces; it made the others, and
 * will have room again when they are fetched. */
bool batch_says_full (const struct piece_result *results, uint32_t n);

END_DECLS

#endif
