/* Declarations shared by the files of the batching of stage work. */
#ifndef BATCH_PRIVATE_H
#define BATCH_PRIVATE_H

#include "batch.h"

#define BATCH_POOLS_MAX 64
#define BATCH_CALL_PIECES_MAX 256

/* Largest answer to a call with pieces, in bytes; it is buffered completely. */
#define BATCH_ANSWER_BYTES_MAX (1u << 20)

/* Calls that free results: the time for an answer, and its largest size, in bytes; it is not kept.
 */
#define BATCH_FREE_TIMEOUT (2 * USEC_PER_SEC)
#define BATCH_FREE_ANSWER_BYTES_MAX (64u << 10)

/* One piece in a call.  Its order is known by serial alone: the order may be withdrawn meanwhile
 * and its memory reused. */
struct batch_piece
{
  uint64_t serial;
  uint32_t index;
  uint64_t result_size;
  uint64_t content_hash; /* of what is to be made; set when it is put in a call */
};

/* A result stored at its target. */
struct batch_result
{
  char handle[DIALECT_HANDLE_SIZE];
  uint64_t content_hash; /* 0 if an earlier owner ordered it */
  uint64_t size;
  int64_t expires;
  bool evictable; /* to be evicted where room is short */
  bool unneeded;  /* to be freed with the next free call */
  struct batch_result *prev;
  struct batch_result *next;
};

/* The owner's record of a target of its pool. */
struct batch_target
{
  struct balance_target *target; /* as of the last lookup; NULL once gone */
  char id[ROUTING_NAME_SIZE];
  uint64_t started; /* its incarnation */
  uint32_t calls;
  uint64_t used_bytes; /* bytes of results, including those of running calls */
  double slowness;     /* actual over expected time of its calls, smoothed */
  int64_t paused_until;
  struct batch_result *results;
  struct batch_target *next;
};

/* The targets of a pool, or those of the pool in one failure domain. */
struct batch_pool
{
  char name[ROUTING_NAME_SIZE];
  char domain[ROUTING_NAME_SIZE]; /* "" for all */
  struct batch_spec spec;
  struct batch *batch;
  struct batch_order *queue;      /* orders with pending pieces, by rank */
  struct batch_booking *bookings; /* orders that will be submitted later */
  uint32_t n_pending;             /* pending pieces of the orders in the queue */
  double smoothed_wait;           /* beyond the expected time, of orders submitted in time */
  uint64_t reserved_bytes;        /* bytes that the pending pieces of begun orders will take */
  struct batch_target *targets;
  struct timer timer; /* dispatches while orders wait, and frees results */
};

struct batch_booking;

struct batch
{
  struct batch_config config;
  struct batch_pool pools[BATCH_POOLS_MAX];
  uint32_t n_pools;
  struct target_watch *watch;
  const struct target_reach *reach;
  struct target_notices *notices;
  struct batch_order *orders; /* by serial */
  uint64_t last_serial;
  struct counter *calls;
  struct counter *pieces;
  struct counter *failed_calls;
  struct counter *overdue_calls;
  struct counter *rejected;
  struct counter *dropped; /* fetched results evicted where room was short */
  struct histogram *call_time;
};

/* batch_break.c: orders whose calls break */

/* Records that a call with pieces of the order broke on that incarnation.  May end the order. */
void batch_note_break (struct batch_order *order, uint64_t incarnation, int64_t now);

/* Is the target known to have ended, although it is still in the list of targets?  A call to it
 * would waste an attempt. */
bool batch_target_has_ended (const struct batch *batch, const struct balance_target *target);

/* Has a target crashed during a call with its pieces?  Then its pieces go into calls of their
 * own. */
bool batch_order_is_isolated (const struct batch_order *order);

/* batch_queue.c */
void batch_enqueue (struct batch_order *order);
void batch_dequeue (struct batch_order *order);
void batch_dispatch (struct batch_pool *pool, int64_t now);

/* The sort key of the queue: the due time, with the urgency added as time. */
int64_t batch_rank (const struct batch_demand *demand);
bool batch_is_late (const struct batch_pool *pool, const struct batch_demand *demand, int64_t now);

/* batch_admit.c */

/* Is an order to be rejected when it is submitted?  Logs and counts a rejection. */
bool batch_reject_if_late (struct batch_pool *pool,
                           const struct batch_demand *demand,
                           const char *request,
                           uint32_t stage,
                           int64_t now);

/* batch.c */

/* The part of a pool in one failure domain, created on first use; NULL if the pool is unknown. */
struct batch_pool *batch_get_pool (struct batch *batch, const char *name, const char *domain);
bool batch_is_in_pool (const struct batch_pool *pool, const struct balance_target *at);
struct batch_order *batch_order_of (struct batch *batch, const struct batch_piece *piece);
void batch_end_order (struct batch_order *order, enum piece_outcome end, int64_t now);
void batch_complete_piece (struct batch_pool *pool,
                           const struct batch_piece *piece,
                           const struct piece_result *result,
                           int64_t now);
void batch_requeue (struct batch_pool *pool,
                    const struct batch_piece *piece,
                    bool tried,
                    int64_t now);
void batch_schedule_sweep (struct batch_pool *pool, int64_t now);

/* batch_call.c */
bool batch_call_start (struct batch_pool *pool,
                       struct batch_target *target,
                       const struct batch_piece *pieces,
                       uint32_t n,
                       int64_t now);
int64_t batch_expected_time (const struct batch_pool *pool, uint32_t n_pieces);

/* batch_result.c */
struct batch_target *batch_get_target (struct batch_pool *pool, struct balance_target *target);

/* `piece` is the one whose result it is; NULL if an earlier owner of the pool ordered it. */
void batch_record_result (struct batch_pool *pool,
                          struct batch_target *target,
                          const char *handle,
                          const struct batch_piece *piece,
                          bool unneeded,
                          int64_t now);

/* Does the handle, at that target, already belong to the result of another piece?  Then the answer
 * that names it is to another call. */
bool batch_handle_is_foreign (const struct batch_target *target,
                              const char *handle,
                              const struct batch_piece *piece);
void batch_sweep_results (struct batch_pool *pool, int64_t now);
void batch_free_result (struct batch_pool *pool, const struct stage_result *result, int64_t now);
void batch_mark_evictable (struct batch_pool *pool, const struct stage_result *result, int64_t now);

#endif
