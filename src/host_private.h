/* The parts of a host's process, shared by the files that build, wire and end it. */
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

/* A talloc root: every part is its child, freed in the reverse order of building. */
struct host
{
  const struct settings *settings;
  uint64_t incarnation;   /* of this process: the wall clock's microseconds at its start */
  int64_t wall_offset_ms; /* wall clock minus monotonic clock at the start */
  struct key_pair keys;   /* all zero where the settings name no key file */

  /* Edges. */
  struct loop *loop;
  struct timer_service *timers;
  struct counters *counters;
  struct dump dump;
  struct http_server *server;
  struct http_client *client;
  struct peer_port *port;
  char addresses[HTTP_LISTENER_COUNT][RESOURCE_ADDRESS_SIZE]; /* with the ports in use */
  char peer_address[RESOURCE_ADDRESS_SIZE];

  /* Shared state. */
  struct board *board;
  struct access *access;
  struct store *store;
  struct consensus *consensus;
  bool voter; /* has a data folder, or is the whole group */
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

  /* The end. */
  struct drain *drain;
  struct drain_actions drain_actions;
  struct loop_signal signals;
  int exit;

  /* Parts without a dump source of their own. */
  struct dump_source board_dump;
  struct dump_source consensus_dump;
  struct dump_source decide_dump;
};

/* Build the parts in this order; each leaves status_message() on failure. */
enum status host_build_edges (struct host *host);
enum status host_build_state (struct host *host, int64_t now);
enum status host_build_serving (struct host *host, int64_t now);

/* Shutdown: signals in, drain.h's steps out. */
enum status host_build_drain (struct host *host);

/* Begin to hand the log's leadership over, where we hold it. */
void host_transfer_leadership (struct host *host, int64_t now);

/* The dump of the board, and of parts without a source of their own. */
void host_add_dump (struct host *host);

/* The outcome of a part that could not be made for want of memory. */
enum status host_no_memory (void);

/* A fresh random seed. */
uint64_t host_seed (void);

#endif
