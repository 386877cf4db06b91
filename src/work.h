/* Stage work as an entry host asks for it: all pieces of one stage of one request.
 *
 * Each pool of targets that run pieces in batches has one owner among the entry hosts, which packs
 * the pieces of all of them into full calls: a call costs far more than a piece in it, and hosts
 * that each batched alone would make small calls that collide.  All hosts name the same owner by
 * hashing; where their lists differ for a moment there are two, which costs some efficiency and
 * nothing else, since a piece may be made again. */
#ifndef WORK_H
#define WORK_H

#include "batch.h"
#include "decls.h"
#include "dialect.h"
#include "peer.h"
#include "subscriber.h"
#include "timer.h"

BEGIN_DECLS

/* An owner that has work of ours is asked this often whether it lives, and counts as dead after so
 * long without a word: a chain of stages has a second, and a host that lost power resets nothing.
 * It gets no work until it is heard again, or for so long. */
#define WORK_PING_PERIOD (120 * USEC_PER_MSEC)
#define WORK_OWNER_SILENCE (400 * USEC_PER_MSEC)
#define WORK_SUSPECT (4 * USEC_PER_SEC)
#define WORK_OWNERS_MAX 64

/* A connection to an owner is made before the first order needs it, and looked after this often. */
#define WORK_WARM_PERIOD (1000 * USEC_PER_MSEC)
#define WORK_WARM_SILENCE (3 * USEC_PER_SEC)

/* An order for an owner to whom there is no connection yet is tried again this often, and so many
 * times; then the owner counts as dead. */
#define WORK_SEND_AGAIN (20 * USEC_PER_MSEC)
#define WORK_SEND_TRIES 12

/* A pool of at least so many targets has an owner in each failure domain, for the targets there:
 * one host of an eighth of a core packs about so many targets' calls.  Smaller pools have one
 * owner, as their targets stand in for each other better. */
#define WORK_SPLIT_TARGETS 9

/* What another failure domain than the wanted one costs, as time: the results cross. */
#define WORK_CROSSING (150 * USEC_PER_MSEC)

/* What an owner said of its queue counts for so long. */
#define WORK_WAIT_FRESH (600 * USEC_PER_MSEC)
#define WORK_SHARDS_MAX 128

/* And of the usual wait at its pool for so long. */
#define WORK_USUAL_FRESH (3 * USEC_PER_SEC)

/* Parts of one pool that refuse one order; more than so many are not asked. */
#define WORK_PARTS_MAX 4

struct work_parts
{
  uint32_t n;
  char domains[WORK_PARTS_MAX][ROUTING_NAME_SIZE];
};

struct work;

struct work_config
{
  const char *name; /* our peer address */
  struct subscriber *subscriber;
  struct batch *batch; /* does the work of the pools we own */
  struct balance *balance;
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
  uint64_t first_number; /* random: an order of an earlier start must not pass for one of ours */
};

struct work *work_new (void *parent, const struct work_config *config);

struct work_order;

struct work_order_ops
{
  /* DONE: `results` are those of the pieces in order. */
  void (*done) (struct work_order *order, enum piece_end end, int64_t now);

  /* All its pieces are in calls now.  May come again, when one had to go into another call. */
  void (*taken) (struct work_order *order, int64_t now);
};

/* Embedded by its user and filled up to `n_pieces`. */
struct work_order
{
  const struct work_order_ops *ops;
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE]; /* work's own: where the pieces are made; "" for anywhere */
  char near[ROUTING_NAME_SIZE];   /* failure domain from which most would cross; "" for any */
  char home[ROUTING_NAME_SIZE];   /* the request's; a split pool's part there is taken for any */
  char booked[ROUTING_NAME_SIZE]; /* the part where it was booked; "" where it was not */
  char booked_with[ROUTING_NAME_SIZE]; /* the owner of that part then */
  struct work_parts refused;           /* parts that could not make it in time */
  uint64_t result_size;
  char key[DIALECT_ID_SIZE];
  const char *inputs; /* NULL with a key; copied */
  uint32_t urgency;   /* 0 is first */
  int64_t due;        /* later results make the request late */
  int64_t deadline;   /* later results are worthless */
  bool may_turn_away; /* it may come again: BUSY at once where it cannot be in time */
  uint32_t n_pieces;
  struct stage_result *results; /* of n_pieces, its user's */

  /* work's own */
  struct work *work;
  struct timer timer;
  uint64_t number;
  uint32_t send_tries;
  char owner[ROUTING_NAME_SIZE]; /* "" until one has it */
  char *inputs_copy;
  struct batch_order *local;
  struct work_order *prev;
  struct work_order *next;
};

struct work_booking;

struct work_booking_ops
{
  /* Its pool will be too full for the order to be in time.  The booking is over. */
  void (*refused) (struct work_booking *booking, int64_t now);
};

/* A stage of a request whose order will come when its inputs are made.  Embedded by its user and
 * filled up to `demand`. */
struct work_booking
{
  const struct work_booking_ops *ops;
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char home[ROUTING_NAME_SIZE]; /* as of a work_order */
  struct batch_demand demand;

  /* work's own */
  struct work *work; /* NULL: none is booked */
  struct timer timer;
  uint64_t number;
  char owner[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  struct work_parts refused;
  struct work_booking *prev;
  struct work_booking *next;
};

/* refused() comes from the loop, never from within. */
void work_book (struct work *work, struct work_booking *booking, int64_t now);

/* Its order will not come. */
void work_unbook (struct work_booking *booking);

/* Its order comes: it goes to the part of the pool where it was booked, and to none that refused.
 */
void work_use_booking (struct work_booking *booking, struct work_order *order);

void work_submit (struct work *work, struct work_order *order, int64_t now);

/* Withdraw; results that come nevertheless are freed. */
void work_cancel (struct work_order *order, int64_t now);

/* How much longer than on an idle target a stage of the pool took lately, in microseconds, as its
 * owner told; 0 where none did. */
int64_t work_usual_wait (const struct work *work, const char *pool, int64_t now);

/* Results were fetched by all who read them, or are no longer needed. */
void work_release_results (struct work *work,
                           enum batch_release how,
                           const char *pool,
                           const char *domain,
                           const struct stage_result *results,
                           uint32_t n,
                           int64_t now);

END_DECLS

#endif
