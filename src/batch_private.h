/* What the files of the batching of stage work share. */
#ifndef BATCH_PRIVATE_H
#define BATCH_PRIVATE_H

#include "batch.h"

#define BATCH_POOLS_MAX 32
#define BATCH_CALL_PIECES_MAX 256

struct batch_call;
struct batch_pool;

/* One piece of an order, waiting or in a call. */
struct batch_piece
{
  /* The order may be withdrawn while the piece is in a call, and its memory used by another: it is
   * looked up by its serial, and `order` is good only where that finds it. */
  struct batch_order *order;
  uint64_t serial;
  uint32_t index;
  uint32_t tries;
  uint64_t result_size;
  struct batch_piece *prev;
  struct batch_piece *next;
};

/* A result that lies at its target. */
struct batch_result
{
  char handle[DIALECT_HANDLE_SIZE];
  uint64_t size;
  int64_t expires;
  bool unneeded; /* to be freed with the next call that frees */
  struct batch_result *prev;
  struct batch_result *next;
};

/* A target as the owner of its pool sees it. */
struct batch_target
{
  struct balance_target *target; /* NULL once gone */
  char id[ROUTING_NAME_SIZE];
  uint32_t calls;
  uint64_t used; /* bytes of results, those of running calls included */
  double slowness; /* actual over expected time of its calls, smoothed */
  int64_t paused_until;
  int64_t called_at; /* the last call's start */
  struct batch_result *results;
  struct batch_target *next;
};

struct batch_pool
{
  char name[ROUTING_NAME_SIZE];
  struct batch_spec spec;
  struct batch *batch;
  struct batch_piece *queue; /* by when they are due */
  uint32_t n_queued;
  struct batch_target *targets;
  struct timer timer; /* looks again while pieces wait, and frees */
  int64_t free_at;
};

struct batch
{
  struct batch_config config;
  struct batch_pool pools[BATCH_POOLS_MAX];
  uint32_t n_pools;
  struct batch_order_link *orders;
  uint64_t last_serial;
  struct counter *calls;
  struct counter *pieces;
  struct counter *failed_calls;
  struct counter *overdue_calls;
  struct histogram *call_time;
};

/* Where an order hangs while the batch owns it. */
struct batch_order_link
{
  struct batch_order *order;
  uint64_t serial;
  struct batch_order_link *prev;
  struct batch_order_link *next;
};

/* batch.c */
void batch_piece_done (struct batch_pool *pool,
                       struct batch_piece *piece,
                       const struct piece_result *result,
                       int64_t now);
void batch_requeue (struct batch_pool *pool, struct batch_piece *piece, bool tried, int64_t now);
void batch_dispatch (struct batch_pool *pool, int64_t now);
void batch_look_soon (struct batch_pool *pool, int64_t now);
bool batch_is_wanted (const struct batch *batch, const struct batch_piece *piece);

/* batch_call.c */
bool batch_call_start (struct batch_pool *pool,
                       struct batch_target *target,
                       struct batch_piece **pieces,
                       uint32_t n,
                       int64_t now);
int64_t batch_expected (const struct batch_pool *pool, uint32_t n_pieces);

/* batch_result.c */
struct batch_target *batch_target_of (struct batch_pool *pool, struct balance_target *target);
void batch_keep_result (struct batch_pool *pool,
                        struct batch_target *target,
                        const char *handle,
                        uint64_t size,
                        bool unneeded,
                        int64_t now);
void batch_sweep_results (struct batch_pool *pool, int64_t now);

#endif
