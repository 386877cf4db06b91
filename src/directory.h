/* The directory of targets: what each target announced, which host is its home, and its lease.  A
 * target whose lease expired gets no new work.
 *
 * A target is the only writer of its own record; (incarnation, sequence) orders its announcements.
 * The host that a target announces itself to is its home.  A home is the only writer of the list of
 * its targets, and each change increments the list's version, so that a version identifies exactly
 * one state of the list.  Hosts poll every home for its list; each answer renews the leases of all
 * targets in it.  A lease runs from the time of the request, on the requester's clock, so that a
 * delayed answer does not extend it.
 *
 * No I/O and no clock: time and the seed are passed in, messages are sent through a vtable, state
 * is kept on the board. */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include "status.h"
#include <jansson.h>
#include <stddef.h>

BEGIN_DECLS

/* Lease of a target on any host, from the target's last renewal. */
#define DIRECTORY_LEASE (3 * USEC_PER_SEC)

/* Interval of a target's renewals. */
#define DIRECTORY_RENEW_INTERVAL (1 * USEC_PER_SEC)

/* An answer of the home renews a lease for at most this long, from the time of the request.  It
 * bounds how long a host that lost its connection to the home still sends work to a target that has
 * since announced its shutdown (limit: 2 s). */
#define DIRECTORY_ANSWER_LEASE (1800 * USEC_PER_MSEC)

/* Interval of requests to a home with targets, and the interval of retries when no answer came: a
 * single lost answer does not let a lease expire. */
#define DIRECTORY_POLL_INTERVAL (1400 * USEC_PER_MSEC)
#define DIRECTORY_RETRY_INTERVAL (200 * USEC_PER_MSEC)

#define DIRECTORY_MESSAGE_MAX (16u << 10)

/* The record that a target announces. */
struct directory_record
{
  char name[RESOURCE_NAME_SIZE];
  char pool[RESOURCE_NAME_SIZE];
  char domain[RESOURCE_NAME_SIZE];
  char address[RESOURCE_ADDRESS_SIZE];
  enum stage_kind kind;
  char models[BOARD_MODELS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_models;
  char adapters[BOARD_MODELS_MAX][RESOURCE_NAME_SIZE];
  uint32_t n_adapters;
  char version[RESOURCE_NAME_SIZE];
  bool checks_orders;
  bool reports_load;
  uint32_t slots;
  uint64_t incarnation;
  uint64_t sequence;
};

/* Identifies a target and the announcement that a call refers to. */
struct directory_key
{
  const char *name;
  uint64_t incarnation;
  uint64_t sequence;
};

struct directory_cache_event
{
  uint64_t block;
  bool stored;
};

/* Sends messages to other hosts. */
struct directory_wire
{
  const struct directory_wire_ops *ops;
};

struct directory_wire_ops
{
  void (*send) (struct directory_wire *wire, const char *host, const void *data, size_t length);
};

/* Receives the cache events, in order, of targets whose home is this host; host_serving.c passes
 * them to decide_cache_event(). */
struct directory_cache_sink
{
  const struct directory_cache_sink_ops *ops;
};

struct directory_cache_sink_ops
{
  void (*event) (struct directory_cache_sink *sink,
                 struct handle target,
                 const struct directory_cache_event *event,
                 int64_t now);
};

struct directory_config
{
  struct board *board; /* its `self` is set */
  struct counters *counters;
  struct directory_wire *wire;
  struct directory_cache_sink *cache; /* NULL for none */
  const char *self;
  uint64_t incarnation; /* of this process; increases at each start */
  uint64_t seed;
};

struct directory;

struct directory *directory_new (void *parent, const struct directory_config *config);

/* Handles a target's announcement to this host, which becomes its home.  STATUS_CONFLICT when the
 * announcement is older than the known record, STATUS_LIMIT when the tables are full. */
enum status directory_announce (struct directory *directory,
                                const struct directory_record *record,
                                int64_t now);

/* Handle a target's renewal and its notice of shutdown.  STATUS_NOT_FOUND when this host is not the
 * target's home, STATUS_CONFLICT for an older incarnation or sequence. */
enum status directory_renew (struct directory *directory,
                             const struct directory_key *key,
                             int64_t now);
enum status directory_leave (struct directory *directory,
                             const struct directory_key *key,
                             int64_t now);

/* `report->measured_at` is on this host's clock.  The sequence in `key` is ignored. */
enum status directory_report_load (struct directory *directory,
                                   const struct directory_key *key,
                                   const struct load_report *report,
                                   int64_t now);

/* Handles cache events numbered from `first`.  Events already seen are skipped.  Missing numbers
 * are counted as a gap, after which the known cache contents of the target may be wrong until its
 * blocks are reported again. */
enum status directory_report_cache_events (struct directory *directory,
                                           const struct directory_key *key,
                                           uint64_t first,
                                           const struct directory_cache_event *events,
                                           size_t n_events,
                                           int64_t now);

/* Handles a message from another host. */
void directory_receive (
    struct directory *directory, const char *from, const void *data, size_t length, int64_t now);

/* To be called once after the process started: sets the board's `targets_unknown` until every live
 * host has sent its list, or until a timeout. */
void directory_ready_start (struct directory *directory, int64_t now);

/* Runs what is due; returns the time of the next call. */
int64_t directory_tick (struct directory *directory, int64_t now);

/* Number of targets whose home is this host and whose lease has not expired. */
uint32_t directory_count_own_targets (const struct directory *directory);

json_t *directory_describe (const struct directory *directory);

END_DECLS

#endif
