/* A host of a system whose hosts know of each other only by a few seeds: either an entry host,
 * which forwards requests, or a controller.
 *
 * Both are built from settings that name addresses alone; who speaks to the outside hands in how
 * its interfaces are spelled (`routing_codec`, `dialect`, HTTP handlers). */
#ifndef ROLE_BASE_H
#define ROLE_BASE_H

#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "h1_server.h"
#include "loop.h"
#include "peer.h"
#include "quarantine_control.h"
#include "routing.h"

BEGIN_DECLS

/* Seeds that the settings may name, and the longest path in them, in bytes. */
#define ROLE_SEEDS_MAX 8
#define ROLE_PATH_SIZE 256

struct role_settings
{
  char name[ROUTING_NAME_SIZE]; /* for people, in logs */
  char domain[ROUTING_NAME_SIZE];
  char region[ROUTING_NAME_SIZE];
  char peer_address[ROUTING_NAME_SIZE];
  char metrics_address[ROUTING_NAME_SIZE]; /* "" for none */
  uint32_t n_seeds;
  char seeds[ROLE_SEEDS_MAX][ROUTING_NAME_SIZE]; /* peer addresses of controllers */
  uint32_t connections_max;

  /* An entry host. */
  char client_address[ROUTING_NAME_SIZE];
  char ready_address[ROUTING_NAME_SIZE];
  int64_t target_lease;
  int64_t confirmed_for; /* keyed requests need a confirmation no older than this */
  int64_t ready_for;
  double retry_share;
  double retry_spare;
  int64_t shutdown_bound;

  /* A controller. */
  char control_address[ROUTING_NAME_SIZE];
  char entries_address[ROUTING_NAME_SIZE];
  char data_folder[ROLE_PATH_SIZE];
  uint32_t losses; /* of controllers to be borne at once: twice as many voters and one */
  bool may_form;   /* the first start of all: a group may be formed */
};

/* What both kinds are built on. */
struct role_base
{
  struct role_settings settings;
  uint64_t incarnation;
  uint64_t seed;
  struct loop *loop;
  struct timer_service *timers;
  struct counters *counters;
  struct dump dump;
  struct peer_port *port;
  struct h1_limits limits; /* of our own interfaces; an entry host's clients have the routing's */
  struct h1_handler metrics;
  struct quarantine_control *quarantine; /* NULL until it is made */
  int exit;
};

enum status role_base_build (struct role_base *base, const struct role_settings *settings);

/* Serve an interface of ours.  Freed with `base`. */
enum status role_base_listen (struct role_base *base,
                              const char *address,
                              struct h1_handler *handler,
                              const char *label,
                              struct h1_server **out);

/* Log what failed when a part could not be made. */
void role_log_start_failed (enum status status);

END_DECLS

#endif
