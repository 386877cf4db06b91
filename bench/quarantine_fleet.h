/* Simulation of a fleet with poison requests in virtual time: entry hosts and controllers with
 * their tables and messages, targets that crash and restart, partitions, process restarts.
 *
 * Tables, messages and verdicts are those of the product; connections, probes and load balancing
 * are replaced by random delays and choices. */
#ifndef QUARANTINE_FLEET_H
#define QUARANTINE_FLEET_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A host counts as settled if it was up, reachable and undisturbed for this long. */
#define FLEET_SETTLE_TIME (3 * USEC_PER_SEC)

/* Maximum number of poison requests. */
#define FLEET_POISON_MAX 8

struct quarantine_fleet_config
{
  uint32_t hosts;
  uint32_t controllers;
  uint32_t targets;
  uint64_t seed;
  int64_t duration;
  bool quarantine_enabled; /* false: requests are sent without a verdict */
  bool prompts;            /* requests have parts, and poison are parts: no two requests alike */
  uint32_t poison;         /* number of poison requests, or parts */
  int64_t poison_after;    /* the start, when they begin to arrive */
  double poison_rate;      /* of each, arrivals per second */
  bool poison_is_periodic; /* at even intervals, each at any host */
  int64_t poison_run_max;  /* longest run until its target crashes */
  double normal_rate;      /* arrivals per second of all other requests */
  double popular;          /* share of the other requests that is one request */
  double own_crashes;      /* of targets by themselves, per second */
  uint32_t power_cuts;     /* moments at which a quarter of the targets crash together */
  uint32_t restarts;       /* of single entry hosts and controllers, whose tables are lost */
  uint32_t full_restarts;  /* restarts of all entry hosts and controllers at once */
  uint32_t partitions;     /* 4 s partitions of single entry hosts and controllers */
  double reset_share;      /* share of the popular request's runs that break on a live target */
};

struct quarantine_fleet_figures
{
  uint32_t crashes; /* caused by poison requests */
  /* Most sends of one poison request by settled hosts, later than FLEET_SETTLE_TIME after its
   * third crash. */
  uint32_t late_sends_max;
  uint32_t normal; /* requests that are not poison */
  uint32_t normal_lost;
  uint32_t normal_held;      /* refused because they were held */
  uint32_t normal_held_last; /* of these, in the last quarter of the run */
  uint32_t normal_deferred;
  uint32_t popular;
  double messages;      /* per host and second */
  double bytes;         /* per host and second */
  double burst_bytes;   /* most bytes that one host or controller sent in one second */
  uint32_t table_bytes; /* largest table, in bytes */
};

/* False if memory runs out. */
bool quarantine_fleet_simulate (const struct quarantine_fleet_config *config,
                                struct quarantine_fleet_figures *out);

END_DECLS

#endif
