/* The common part of the two kinds of host: entry hosts, which forward requests, and controllers.
 * Hosts discover each other through a few seed addresses.
 *
 * The settings hold addresses only; the platform supplies the external protocols (`routing_codec`,
 * `dialect`, HTTP handlers). */
#ifndef ROLE_BASE_H
#define ROLE_BASE_H

#include "cold_limit.h"
#include "counter.h"
#include "decls.h"
#include "dump.h"
#include "evacuation_control.h"
#include "h1_server.h"
#include "loop.h"
#include "peer.h"
#include "quarantine_control.h"
#include "retry_budget.h"
#include "routing.h"

BEGIN_DECLS

/* Maximum number of seeds and of failure domains, and the size of a path in bytes, in the
 * settings. */
#define ROLE_SEEDS_MAX 8
#define ROLE_DOMAINS_MAX 256
#define ROLE_PATH_SIZE 256

struct role_settings
{
  char name[ROUTING_NAME_SIZE]; /* for logs only */
  char domain[ROUTING_NAME_SIZE];
  char region[ROUTING_NAME_SIZE];
  char peer_address[ROUTING_NAME_SIZE];
  char metrics_address[ROUTING_NAME_SIZE]; /* "" for none */
  uint32_t n_seeds;
  char seeds[ROLE_SEEDS_MAX][ROUTING_NAME_SIZE]; /* peer addresses of controllers */
  uint32_t connections_max;
  uint64_t memory_bytes;        /* that the process may use; 0: not stated */
  uint64_t client_memory_bytes; /* that all clients together may hold of it */

  /* An entry host. */
  char client_address[ROUTING_NAME_SIZE];
  char ready_address[ROUTING_NAME_SIZE];
  int64_t target_lease;
  int64_t confirmed_for; /* maximum age of the confirmation for keyed requests, USEC */
  int64_t ready_for;
  int64_t outdated_after; /* a host that has lacked a configuration that it knows of for this long
                             serves nothing, USEC */
  struct retry_limit retries;
  struct cold_bounds cold;
  int64_t backoff_max; /* the longest backoff that a target is granted, USEC */
  int64_t shutdown_timeout;

  /* A controller. */
  char control_address[ROUTING_NAME_SIZE];
  char entries_address[ROUTING_NAME_SIZE];
  uint32_t n_domains;
  char domains[ROLE_DOMAINS_MAX][ROUTING_NAME_SIZE]; /* failure domains of the site */
  char data_folder[ROLE_PATH_SIZE];
  uint32_t tolerated_failures; /* of controllers at the same time; n need 2n + 1 voters */
  bool may_bootstrap;          /* first start of the system: a new group may be formed */
};

/* Common state of entry hosts and controllers. */
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
  struct quota *quota;     /* of the clients of all interfaces, and connections to targets */
  struct h1_limits limits; /* of this host's own interfaces; the routing sets those of clients */
  struct h1_handler metrics;
  struct quarantine_control *quarantine;  /* NULL until it is made */
  struct evacuation_control *evacuations; /* of a controller; NULL until it is made */
  int exit;
};

enum status role_base_build (struct role_base *base, const struct role_settings *settings);

/* Serves an HTTP interface at `address`.  Freed with `base`.  STATUS_IO when it cannot listen. */
enum status role_base_listen (struct role_base *base,
                              const char *address,
                              struct h1_handler *handler,
                              const char *label,
                              struct h1_server **out);

/* Logs why the start failed: `status` and its message. */
void role_log_start_failed (enum status status);

END_DECLS

#endif
