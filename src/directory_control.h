/* Connects the directory to the event loop: the peer channel and the timer. */
#ifndef DIRECTORY_CONTROL_H
#define DIRECTORY_CONTROL_H

#include "decls.h"
#include "directory.h"
#include "dump.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

struct directory_control_config
{
  struct board *board;
  struct counters *counters;
  struct peer_port *port;
  struct timer_service *timers;
  struct dump *dump;                  /* NULL for none */
  struct directory_cache_sink *cache; /* NULL for none */
  const char *self;
  uint64_t incarnation;
  uint64_t seed;
  int64_t now;
};

struct directory_control;

/* NULL when out of memory. */
struct directory_control *directory_control_new (void *parent,
                                                 const struct directory_control_config *config);

struct directory *directory_control_directory (struct directory_control *control);

END_DECLS

#endif
