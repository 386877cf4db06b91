/* Stage work as an entry host orders it: all pieces of one stage of one request.
 *
 * Each pool of targets that run pieces in batches has one owner among the entry hosts, which packs
 * the pieces of all of them into full calls: a call costs far more than a piece in it, and hosts
 * that batched on their own would make small calls that collide.  All hosts determine the owner by
 * the same rendezvous hashing; while their lists of hosts differ there may be two, which costs some
 * efficiency and nothing else, since a piece may be made again. */
#ifndef WORK_H
#define WORK_H

#include "batch.h"
#include "decls.h"
#include "dialect.h"
#include "peer.h"
#include "subscriber.h"
#include "timer.h"

BEGIN_DECLS

/* An owner that has orders of this host is pinged at this period, and counts as dead after this
 * silence: a chain of stages has about 1 s, and a host that loses power resets no connection.  It
 * gets no orders until it sends a message again, or until the suspicion expires. */
#define WORK_PING_PERIOD (120 * USEC_PER_MSEC)
#define WORK_OWNER_TIMEOUT (400 * USEC_PER_MSEC)
#define WORK_SUSPECT_PERIOD (4 * USEC_PER_SEC)
#define WORK_OWNERS_MAX 64

/* Owners are checked at this period, and pinged after this silence, so that a connection is open
 * before the first order needs it. */
#define WORK_WARM_PERIOD (1000 * USEC_PER_MSEC)
#define WORK_WARM_IDLE (3 * USEC_PER_SEC)

/* Retry delay of an order for an owner to which there is no connection yet, and the number of
 * attempts after which the owner counts as dead. */
#define WORK_SEND_RETRY_DELAY (20 * USEC_PER_MSEC)
#define WORK_SEND_ATTEMPTS 12

/* A pool with at least this many targets is split: it has an owner in each failure domain for the
 * targets there.  A host with an eighth of a core packs the calls of about as many targets.
 * Smaller pools have one owner, as their targets stand in for each other better. */
#define WORK_SPLIT_TARGETS_MIN 9

/* The cost, as time, of another failure domain than the wanted one: results cross domains. */
#define WORK_CROSS_DOMAIN_COST (150 * USEC_PER_MSEC)

/* How long the queue wait that an owner reported is used. */
#define WORK_WAIT_TTL (600 * USEC_PER_MSEC)
#define WORK_SHARDS_MAX 128

/* How long the smoothed wait that an owner reported is used. */
#define WORK_SMOOTHED_WAIT_TTL (3 * USEC_PER_SEC)

/* Shards of a pool that may refuse an order; after these no other is asked. */
#define WORK_REFUSED_SHARDS_MAX 4

struct work_shard_list
{
  uint32_t n;
  char domains[WORK_REFUSED_SHARDS_MAX][ROUTING_NAME_SIZE];
};

/* Owners that may answer that they do not reach a pool; after these the order fails. */
#define WORK_UNREACHING_OWNERS_MAX 3

struct work_owner_list
{
  uint32_t n;
  char names[WORK_UNREACHING_OWNERS_MAX][ROUTING_NAME_SIZE];
};

struct work;

struct work_config
{
  const char *name; /* peer address of this host */
  struct subscriber *subscriber;
  struct batch *batch; /* runs the orders of the pools that this host owns */
  struct balance *balance;
  const struct target_reach *reach; /* NULL: all pools are reached */
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;
  uint64_t first_number; /* random, so as not to match orders of an earlier run */
};

struct work *work_new (void *parent, const struct work_config *config);

struct work_order;

struct work_order_ops
{
  /* With PIECE_DONE `results` holds the results of the pieces, in order. */
  void (*done) (struct work_order *order, enum piece_outcome end, int64_t now);

  /* All its pieces are in calls.  May be called again, after a piece was requeued. */
  void (*taken) (struct work_order *order, int64_t now);
};

/* Embedded in a structure of the caller, who fills in the public members. */
struct work_order
{
  const struct work_order_ops *ops;
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE]; /* private: where the pieces are made; "" for anywhere */
  char preferred_domain[ROUTING_NAME_SIZE]; /* failure domain of most of its data; "" for any */
  char home_domain[ROUTING_NAME_SIZE];      /* the request's; wanted if there is no preferred one */
  char booked_domain[ROUTING_NAME_SIZE];    /* the shard where it was booked; "" if it was not */
  char booked_owner[ROUTING_NAME_SIZE];     /* the owner of that shard at the time */
  struct work_shard_list refused_shards;    /* shards that could not make it in time */
  struct work_owner_list unreaching;        /* owners that reach no target of the pool */
  uint64_t result_size;
  char key[DIALECT_ID_SIZE];
  const char *inputs; /* NULL with a key; copied */
  uint32_t urgency;   /* 0 is the most urgent */
  int64_t due;        /* later results make the request late */
  int64_t deadline;   /* later results are worthless */
  bool may_reject;    /* end it as BUSY at once if it cannot be in time: the caller may retry */
  uint32_t n_pieces;
  struct stage_result *results; /* n_pieces of them, owned by the caller */

  /* private */
  struct work *work;
  struct timer timer;
  uint64_t number;
  uint32_t send_attempts;
  char owner[ROUTING_NAME_SIZE]; /* "" until it was sent to one */
  char *inputs_copy;
  struct batch_order *local;
  struct work_order *prev;
  struct work_order *next;
};

struct work_booking;

struct work_booking_ops
{
  /* The pool is too full for the order to be in time.  The booking has ended. */
  void (*refused) (struct work_booking *booking, int64_t now);
};

/* A stage of a request whose order is submitted once its inputs are made.  Embedded in a structure
 * of the caller, who fills in the members up to `demand`. */
struct work_booking
{
  const struct work_booking_ops *ops;
  char request[DIALECT_ID_SIZE];
  uint32_t stage;
  char pool[ROUTING_NAME_SIZE];
  char home_domain[ROUTING_NAME_SIZE]; /* as in a work_order */
  struct batch_demand demand;

  /* private */
  struct work *work; /* NULL if nothing is booked */
  struct timer timer;
  uint64_t number;
  char owner[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE];
  struct work_shard_list refused_shards;
  struct work_booking *prev;
  struct work_booking *next;
};

/* refused() is called from the event loop, never from within this function. */
void work_book (struct work *work, struct work_booking *booking, int64_t now);

/* Cancels a booking whose order will not be submitted. */
void work_unbook (struct work_booking *booking);

/* Ends a booking as its order is submitted: the order goes to the shard where it was booked, and to
 * none that refused. */
void work_use_booking (struct work_booking *booking, struct work_order *order);

void work_submit (struct work *work, struct work_order *order, int64_t now);

/* Withdraws an order; results that arrive nevertheless are freed. */
void work_cancel (struct work_order *order, int64_t now);

/* Smoothed time, in microseconds, that a stage of the pool took recently beyond that on an idle
 * target, as its owner reported; 0 if none did. */
int64_t work_smoothed_wait (const struct work *work, const char *pool, int64_t now);

/* Releases results that all their readers have fetched, or that are no longer needed. */
void work_release_results (struct work *work,
                           enum batch_release how,
                           const char *pool,
                           const char *domain,
                           const struct stage_result *results,
                           uint32_t n,
                           int64_t now);

END_DECLS

#endif
