/* Waits until a revision is in force on every reachable host.
 *
 * The waiting host sends a request to each host of the board directly and repeats it until that
 * host answers.  The answer is as new as the message and does not depend on gossiped revisions,
 * which lag. */
#ifndef CONFIG_WAIT_H
#define CONFIG_WAIT_H

#include "board.h"
#include "decls.h"
#include "timer.h"
#include <jansson.h>

BEGIN_DECLS

struct config_link;
struct config_wait;
struct config_waiter;

struct config_wait_config
{
  struct config_link *link; /* NULL for a single host */
  struct board *board;
  struct timer_service *timers;
};

struct config_wait_result
{
  uint64_t revision;
  bool everywhere; /* in force on every reachable host */
  uint32_t hosts;  /* number that have it in force */
  json_t *behind;  /* names of reachable hosts that do not have it; borrowed */
  json_t *cut_off; /* names of hosts that are not reachable; borrowed */
};

struct config_waiter_ops
{
  /* Called once, but not during config_wait_start(). */
  void (*done) (struct config_waiter *waiter, const struct config_wait_result *result, int64_t now);
};

struct config_waiter
{
  const struct config_waiter_ops *ops;
  void *owner; /* private to config_wait.c */
};

struct config_wait *config_wait_new (void *parent, const struct config_wait_config *config);

enum status config_wait_start (struct config_wait *wait,
                               struct config_waiter *waiter,
                               uint64_t revision,
                               int64_t deadline,
                               int64_t now);
void config_wait_cancel (struct config_wait *wait, struct config_waiter *waiter);

END_DECLS

#endif
