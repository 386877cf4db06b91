/* The components of a host's process, shared by the files that build, connect and shut them
 * down. */
#ifndef HOST_PRIVATE_H
#define HOST_PRIVATE_H

#include "access.h"
#include "board.h"
#include "claim_log.h"
#include "config.h"
#include "config_feed.h"
#include "config_follow.h"
#include "config_link.h"
#include "config_wait.h"
#include "consensus.h"
#include "counter.h"
#include "decide.h"
#include "directory_control.h"
#include "drain.h"
#include "dump.h"
#include "flow.h"
#include "host.h"
#include "http_client.h"
#include "http_server.h"
#include "keyfile.h"
#include "loop.h"
#include "member_control.h"
#include "operator.h"
#include "peer_zmq.h"
#include "settings.h"
#include "store.h"
#include "target_api.h"

/* A talloc root; every component is a child of it and is freed in the reverse order of creation. */
struct host
{
  const struct settings *settings;
  uint64_t incarnation;   /* of this process: wall clock at its start, in microseconds */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  struct key_pair keys;   /* all zero where the settings name no key file */

  /* Event loop, HTTP, peers. */
  struct loop *loop;
  struct timer_service *timers;
  struct counters *counters;
  struct dump dump;
  struct http_server *server;
  struct http_client *client;
  struct peer_port *port;
  char addresses[HTTP_LISTENER_COUNT][RESOURCE_ADDRESS_SIZE]; /* with the ports actually bound */
  char peer_address[RESOURCE_ADDRESS_SIZE];

  /* Shared state. */
  struct board *board;
  struct access *access;
  struct store *store;
  struct consensus *consensus;
  bool voter; /* has a data folder, or is the only member of its group */
  struct config *config;
  struct config_link *link;
  struct config_wait *wait;
  struct claim_log *claims;
  struct operator_api *operators;

  /* Hosts, targets and requests. */
  struct member_control *members;
  struct directory_control *directory;
  struct directory_cache_sink cache_events;
  struct target_api *targets;
  struct decide *decide;
  struct flow *flow;

  /* Shutdown. */
  struct drain *drain;
  struct drain_actions drain_actions;
  struct loop_signal signals;
  int exit;

  /* Dump sources of components that have none of their own. */
  struct dump_source board_dump;
  struct dump_source consensus_dump;
  struct dump_source decide_dump;
};

/* Build the components, called in this order; on failure each sets status_message(). */
enum status host_build_io (struct host *host);
enum status host_build_state (struct host *host, int64_t now);
enum status host_build_serving (struct host *host, int64_t now);

/* Sets up the shutdown: signal handlers and the actions of drain.h. */
enum status host_build_drain (struct host *host);

/* Starts a transfer of the log's leadership if this host is the leader. */
void host_transfer_leadership (struct host *host, int64_t now);

/* Adds the dump sources of the board and of components that have none of their own. */
void host_add_dump_sources (struct host *host);

/* Returns STATUS_NO_MEMORY with its message. */
enum status host_no_memory (void);

/* Returns a new random seed. */
uint64_t host_random_seed (void);

#endif
