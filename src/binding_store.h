/* Bindings of streams, kept by this host and by others.
 *
 * The host that a caller takes a stream up at is another one than the host that began it, most
 * often because that one ended.  So a binding is sent, before the first event goes to the caller,
 * to a few entry hosts in different failure domains and to a controller.  Which ones follows from
 * the key, so any host knows whom to ask, and a stream costs the same in a fleet of any size.
 * Controllers write them to their disks (binding_log.h): they are found again after all processes
 * have ended, unless the stream began in the last moment before. */
#ifndef BINDING_STORE_H
#define BINDING_STORE_H

#include "binding.h"
#include "counter.h"
#include "decls.h"
#include "host_view.h"
#include "peer.h"
#include "timer.h"

BEGIN_DECLS

/* Hosts that are sent a binding. */
#define BINDING_REPLICA_HOSTS 3
#define BINDING_REPLICA_CONTROLLERS 2

/* Hosts that are asked for one: more, as the order changes when hosts come and go. */
#define BINDING_LOOKUP_HOSTS 6
#define BINDING_LOOKUP_CONTROLLERS 3

/* A lookup is repeated at this period, and given up after the timeout: a host that was just
 * started has no connections yet. */
#define BINDING_LOOKUP_PERIOD (50 * USEC_PER_MSEC)
#define BINDING_LOOKUP_TIMEOUT (250 * USEC_PER_MSEC)

/* name, text */
#define BINDING_OUTCOME_LIST(X)                                                                    \
  X (UNKNOWN, "not known")                                                                         \
  X (KNOWN, "known")                                                                               \
  X (AMBIGUOUS, "of several streams")

/* Written into messages: never renumbered. */
enum binding_outcome
{
#define X(name, text) BINDING_##name,
  BINDING_OUTCOME_LIST (X)
#undef X
      BINDING_OUTCOME_COUNT
};

const char *binding_outcome_text (enum binding_outcome outcome);

struct binding_answer
{
  enum binding_outcome outcome;
  struct binding binding; /* if known */
  int64_t age;            /* since it was stored; us */
  char from[ROUTING_NAME_SIZE];
};

/* Embedded in its owner, which must cancel it before it is freed. */
struct binding_lookup
{
  const struct binding_lookup_ops *ops;
  struct binding_key key;
  uint64_t number; /* 0: not under way */
  int64_t started_at;
  uint32_t n_sent;
  uint32_t n_unknown; /* answers that it is not known */
  bool sent_to_all;   /* the last time, to each host that may hold a replica */
  struct binding_store *store;
  struct timer timer;
  struct binding_lookup *prev;
  struct binding_lookup *next;
};

struct binding_lookup_ops
{
  void (*answered) (struct binding_lookup *lookup,
                    const struct binding_answer *answer,
                    int64_t now);
};

/* The other hosts that may keep a binding, in an order that follows from the key. */
struct binding_peers
{
  const struct binding_peers_ops *ops;
};

struct binding_peers_ops
{
  /* Each stores at most `max` names in `out` and returns their number. */
  uint32_t (*list_hosts) (struct binding_peers *peers,
                          const struct binding_key *key,
                          uint32_t max,
                          const char **out);
  uint32_t (*list_controllers) (struct binding_peers *peers,
                                const struct binding_key *key,
                                uint32_t max,
                                const char **out);

  /* Whether all hosts and controllers that there are may be listed.  If not, one that holds a
   * replica may be missing. */
  bool (*is_complete) (struct binding_peers *peers);
};

/* Orders the hosts other than `self` for a key by rendezvous hashing, and so that as many different
 * failure domains as there are come first. */
uint32_t binding_order_hosts (const struct host_view *view,
                              const char *self,
                              const struct binding_key *key,
                              uint32_t max,
                              const char **out);

/* Orders names for a key by rendezvous hashing. */
void binding_order_names (const struct binding_key *key, const char **names, uint32_t n);

struct binding_store;
struct binding_log_config;

struct binding_store_config
{
  struct binding_peers *peers; /* NULL: this host only keeps bindings for others */
  struct peer_port *port;
  struct timer_service *timers;
  struct counters *counters;

  /* What others send is written there; its listener, timers and counters are set by the store.
   * NULL: it is kept in memory alone. */
  const struct binding_log_config *log;
};

/* Listens on PEER_CHANNEL_BINDING.  Freed with `parent`.  NULL when out of memory. */
struct binding_store *binding_store_new (void *parent, const struct binding_store_config *config);

/* Keeps a binding here and sends it to others. */
void binding_store_put (struct binding_store *store,
                        const struct binding_key *key,
                        const struct binding *binding,
                        int64_t lifetime,
                        int64_t now);

/* What this host keeps itself; false if it keeps nothing under the key. */
bool binding_store_find (const struct binding_store *store,
                         const struct binding_key *key,
                         struct binding_answer *out,
                         int64_t now);

/* Asks other hosts; answered() is called once, not from within this call. */
void binding_store_look_up (struct binding_store *store,
                            struct binding_lookup *lookup,
                            const struct binding_key *key,
                            int64_t now);

/* No effect unless it is under way. */
void binding_store_cancel (struct binding_lookup *lookup);

END_DECLS

#endif
