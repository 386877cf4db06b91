/* A fleet on virtual time in which some requests end the targets that run them: entry hosts and
 * controllers with their tables and messages, targets that end and come back, cuts, restarts.
 *
 * The tables, their messages and their verdicts are the product's; connections, probes and
 * balancing are stood in for by delays and a draw. */
#ifndef QUARANTINE_FLEET_H
#define QUARANTINE_FLEET_H

#include "decls.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A host counts as in touch when nothing happened to it for so long. */
#define FLEET_CONTACT (3 * USEC_PER_SEC)

/* Requests that end their targets at most. */
#define FLEET_BAD_MAX 8

struct quarantine_fleet_config
{
  uint32_t hosts;
  uint32_t controllers;
  uint32_t targets;
  uint64_t seed;
  int64_t span;
  bool holds_back;     /* false: verdicts are not asked for */
  uint32_t bad;        /* requests that end their targets */
  double bad_rate;     /* of each, arrivals a second */
  bool bad_evenly;     /* at even times, each at any host */
  int64_t bad_run;     /* until its target ends, at most */
  double sound_rate;   /* arrivals a second of all others */
  double popular;      /* share of them that is one request */
  uint32_t power_cuts; /* moments at which a quarter of the targets end together */
  uint32_t restarts;   /* of entry hosts and controllers, which come back empty */
  uint32_t blackouts;  /* moments at which all entry hosts and controllers start again, empty */
  uint32_t cuts;       /* of entry hosts and controllers, from all others, for 4 s */
  double resets;       /* share of the popular request's runs that break and end nothing */
};

struct quarantine_fleet_figures
{
  uint32_t ends; /* of targets, by bad requests */
  uint32_t
      late_most; /* sends of one bad request by hosts in touch, FLEET_CONTACT after its third end */
  uint32_t sound; /* other requests */
  uint32_t sound_lost;
  uint32_t sound_held;      /* refused as held */
  uint32_t sound_held_last; /* of them, in the last quarter of the play */
  uint32_t sound_asked_to_wait;
  uint32_t popular;
  double messages; /* of a host, a second */
  double bytes;    /* of a host, a second */
  double burst;    /* bytes that the busiest host or controller sent in one second */
  uint32_t memory; /* of the largest table, in bytes */
};

/* False when memory is out. */
bool quarantine_fleet_play (const struct quarantine_fleet_config *config,
                            struct quarantine_fleet_figures *out);

END_DECLS

#endif
