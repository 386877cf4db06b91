/* What the files of the fleet on virtual time share. */
#ifndef QUARANTINE_FLEET_PRIVATE_H
#define QUARANTINE_FLEET_PRIVATE_H

#include "bytes.h"
#include "counter.h"
#include "quarantine_control.h"
#include "quarantine_fleet.h"
#include "rng.h"
#include "timer.h"

#define FLEET_NODES_MAX (SYNC_HOSTS_MAX + SYNC_CONTROLLERS_MAX)

struct fleet;

/* An entry host or a controller. */
struct node
{
  struct fleet *fleet;
  struct peer_port port;
  struct quarantine_peers peers;
  struct peer_listener *listener;
  struct quarantine_control *control; /* NULL while it is down */
  struct counters *counters;
  struct timer timer; /* back, or joined */
  char name[16];
  bool is_entry;
  bool cut;
  uint32_t start;     /* counts its starts */
  int64_t calm_since; /* nothing has happened to it since */
  int64_t second;     /* of the bytes below */
  double bytes_of_second;
};

struct message
{
  struct timer timer;
  struct node *from;
  struct node *to;
  uint32_t start; /* of the receiver: one that came back does not get what went to it before */
  struct bytes bytes;
};

struct run;

struct fleet_target
{
  struct fleet *fleet;
  struct timer timer; /* back */
  bool up;
  uint64_t incarnation;
  uint32_t n_runs;
  struct run *runs;
};

/* A request, from its arrival to its last word. */
struct run
{
  struct fleet *fleet;
  struct timer timer; /* what comes next */
  struct node *host;
  uint32_t start; /* of the host */
  struct fleet_target *target;
  uint64_t incarnation; /* that it ran on */
  uint32_t request;     /* names what it asks: bad ones first, then the popular one */
  bool again;           /* its client's second try */
  bool counted;         /* among the runs of a suspect */
  int64_t sent;
  int64_t broke;
  struct run *prev;
  struct run *next;
};

struct bad_request
{
  uint32_t ends;
  uint32_t late;
  int64_t third; /* when the third target ended */
};

/* Requests that come at random. */
struct arrivals
{
  struct fleet *fleet;
  struct timer timer;
  uint32_t request; /* above the popular one: of all that are sound */
  double rate;      /* a second */
};

struct fleet
{
  const struct quarantine_fleet_config *config;
  struct quarantine_fleet_figures *figures;
  struct timer_service *timers;
  struct rng rng;
  int64_t now;
  struct node nodes[FLEET_NODES_MAX];
  uint32_t n_nodes;
  struct fleet_target *targets;
  struct bad_request bad[FLEET_BAD_MAX];
  struct arrivals arrivals[FLEET_BAD_MAX + 1]; /* of each bad request, and of all others */
  struct timer troubles;
  uint32_t left[4]; /* power cuts, restarts, cuts and blackouts still to come */
  uint32_t next_request;
  double messages;
  double bytes;
};

static inline int64_t
fleet_draw (struct fleet *fleet, int64_t spread)
{
  return spread <= 0 ? 0 : (int64_t) rng_below (&fleet->rng, (uint64_t) spread);
}

/* ---- quarantine_fleet_node.c ---- */

/* False when memory is out. */
bool fleet_build_nodes (struct fleet *fleet);

/* One of them is restarted or cut off, unless that is so already. */
void fleet_disturb (struct fleet *fleet, bool restarts, int64_t now);

/* All of them start again. */
void fleet_black_out (struct fleet *fleet, int64_t now);

/* The host is in touch: it has run, and reached the others, for the whole of FLEET_CONTACT. */
bool fleet_is_in_touch (const struct node *node, int64_t now);

#endif
