/* Declarations shared by the files of the fleet simulation. */
#ifndef QUARANTINE_FLEET_PRIVATE_H
#define QUARANTINE_FLEET_PRIVATE_H

#include "bytes.h"
#include "counter.h"
#include "proven_parts.h"
#include "quarantine_control.h"
#include "quarantine_fleet.h"
#include "rng.h"
#include "timer.h"

/* The pool of all targets, and features of one request. */
#define FLEET_POOL "p"
#define FLEET_FEATURES_MAX 5

#define FLEET_NODES_MAX (SYNC_HOSTS_MAX + SYNC_CONTROLLERS_MAX)

struct fleet;

/* An entry host or a controller. */
struct node
{
  struct fleet *fleet;
  struct peer_port port;
  struct quarantine_peers peers;
  struct peer_listener *listener;
  struct quarantine_control *control; /* NULL while the process is down */
  struct proven_parts *proven;        /* freed with it */
  struct quarantine_view view;
  bool allows_trials; /* in the judgement that is being made */
  struct counters *counters;
  struct timer timer; /* end of the restart or of the partition */
  char name[16];
  bool is_entry;
  bool is_partitioned;
  uint32_t start_count;
  int64_t undisturbed_since; /* time of the last restart, partition or return */
  int64_t current_second;    /* the second in which bytes_this_second were sent */
  double bytes_this_second;
};

struct message
{
  struct timer timer;
  struct node *from;
  struct node *to;
  uint32_t start_count; /* of the receiver: a message sent before its restart is dropped */
  struct bytes bytes;
};

struct run;

struct fleet_target
{
  struct fleet *fleet;
  struct timer timer; /* end of the restart */
  bool up;
  uint64_t incarnation;
  uint32_t n_runs;
  struct run *runs;
};

/* One client request, from arrival to completion. */
struct run
{
  struct fleet *fleet;
  struct timer timer; /* next event of the run */
  struct node *host;
  uint32_t start_count; /* start number of the host at arrival */
  struct fleet_target *target;
  uint64_t incarnation; /* of the target it ran on */
  uint32_t request;     /* number of its content: poison requests first, then the popular one */
  uint32_t content;     /* the same, but for poison parts: then each has another one */
  struct request_feature features[FLEET_FEATURES_MAX];
  uint32_t n_features;
  bool is_retry;
  int64_t sent_at;
  int64_t broke_at;
  struct run *prev;
  struct run *next;
};

struct poison_request
{
  uint32_t crashes;
  uint32_t late_sends;
  int64_t third_crash_at;
};

/* Poisson arrivals of requests, or evenly spaced ones. */
struct arrivals
{
  struct fleet *fleet;
  struct timer timer;
  uint32_t request; /* a number above the popular one stands for all that are not poison */
  double rate;      /* arrivals per second */
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
  struct poison_request poison[FLEET_POISON_MAX];
  struct arrivals arrivals[FLEET_POISON_MAX + 1]; /* one per poison request, one for all others */
  struct timer fault_timer;
  struct timer crash_timer; /* the next crash of a target by itself */
  uint32_t faults_left[4];  /* power cuts, restarts, partitions and full restarts still to come */
  uint32_t next_request;
  double messages;
  double bytes;
};

static inline int64_t
fleet_draw (struct fleet *fleet, int64_t spread)
{
  return spread <= 0 ? 0 : (int64_t) rng_below (&fleet->rng, (uint64_t) spread);
}

static inline bool
fleet_is_poison (const struct fleet *fleet, uint32_t request)
{
  return request < fleet->config->poison;
}

/* ---- quarantine_fleet_feature.c ---- */

/* Sets the features of a run from its request and its content. */
void fleet_read_features (struct run *run);

/* Judges the run at its host; a trial is recorded. */
enum quarantine_verdict fleet_judge (struct run *run, int64_t now);
void fleet_run_started (struct run *run);
void fleet_run_finished (struct run *run);

/* What the run's host learns if it is still the same process. */
void fleet_note_crash (struct run *run, int64_t now);
void fleet_note_answer (struct run *run, int64_t now);

extern const struct quarantine_view_ops fleet_view_ops;

/* ---- quarantine_fleet_node.c ---- */

/* False if memory runs out. */
bool fleet_create_nodes (struct fleet *fleet);

/* Restarts or partitions a random node, unless it is already down or cut off. */
void fleet_inject_fault (struct fleet *fleet, bool restarts, int64_t now);

/* Restarts all nodes that are up. */
void fleet_restart_all (struct fleet *fleet, int64_t now);

/* The host has been up, reachable and undisturbed for FLEET_SETTLE_TIME. */
bool fleet_is_settled (const struct node *node, int64_t now);

#endif
