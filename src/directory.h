/* The directory of targets: what they announce, which host is their home, and the leases that end
 * new work to a target by themselves.
 *
 * A target is the only writer of what is said of it: (incarnation, sequence) orders its words.  The
 * host it announces itself to is its home and the only writer of a list with a version, so that a
 * version names exactly one state of the list and a host that has it needs nothing more.  Hosts ask
 * each home for its list again and again; each answer renews the leases of all targets in it at
 * once.  A lease counts from when the question was asked, on the asker's clock, so that an answer
 * that was held up anywhere grants nothing.
 *
 * Pure over the board: time and the seed are passed in, messages go out through a vtable. */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include "board.h"
#include "counter.h"
#include "decls.h"
#include "status.h"
#include <jansson.h>
#include <stddef.h>

BEGIN_DECLS

/* A target's lease from its own last renewal, on any host. */
#define DIRECTORY_LEASE (3 * USEC_PER_SEC)

/* How often a target renews. */
#define DIRECTORY_RENEW (1 * USEC_PER_SEC)

/* An answer of the home renews for at most this long from the question.  It bounds how long a host
 * that lost the home goes on sending work to a target that has since said that it leaves (2 s). */
#define DIRECTORY_SHARE_LEASE (1800 * USEC_PER_MSEC)

/* How often a home with targets is asked, and asked again where no answer came: one answer may be
 * lost without a lease ending. */
#define DIRECTORY_ASK (1400 * USEC_PER_MSEC)
#define DIRECTORY_ASK_AGAIN (200 * USEC_PER_MSEC)

#define DIRECTORY_MESSAGE_MAX (16u << 10)

/* What a target announces. */
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

/* Which words of which target. */
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

/* Where messages to other hosts go. */
struct directory_wire
{
  const struct directory_wire_ops *ops;
};

struct directory_wire_ops
{
  void (*send) (struct directory_wire *wire, const char *host, const void *data, size_t length);
};

/* Takes the cache events of targets at home here, in order; host.c hands them to
 * decide_cache_event(). */
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
  uint64_t incarnation; /* of this process, grows at each start */
  uint64_t seed;
};

struct directory;

struct directory *directory_new (void *parent, const struct directory_config *config);

/* A target announces itself to us, which makes us its home.  STATUS_CONFLICT for words older than
 * what is known of it, STATUS_LIMIT when the tables are full. */
enum status directory_announce (struct directory *directory,
                                const struct directory_record *said,
                                int64_t now);

/* STATUS_NOT_FOUND when it is not at home here, STATUS_CONFLICT for an older incarnation or
 * sequence. */
enum status directory_renew (struct directory *directory,
                             const struct directory_key *key,
                             int64_t now);
enum status directory_leave (struct directory *directory,
                             const struct directory_key *key,
                             int64_t now);

/* `report->measured_at` is on our clock.  The sequence is not looked at. */
enum status directory_load (struct directory *directory,
                            const struct directory_key *key,
                            const struct load_report *report,
                            int64_t now);

/* Events numbered from `first`.  Those seen before are passed over; numbers left out are counted as
 * a gap, after which what is known of the target's cache may be wrong until blocks are seen again.
 */
enum status directory_cache (struct directory *directory,
                             const struct directory_key *key,
                             uint64_t first,
                             const struct directory_cache_event *events,
                             size_t n_events,
                             int64_t now);

/* A message of another host. */
void directory_receive (
    struct directory *directory, const char *from, const void *data, size_t length, int64_t now);

/* The process just started: the board's `targets_unknown` holds until every live host has told its
 * list, or for a bounded time. */
void directory_ready_start (struct directory *directory, int64_t now);

/* Does what is due; when to call again. */
int64_t directory_tick (struct directory *directory, int64_t now);

/* Targets whose home is this host and whose lease runs. */
uint32_t directory_at_home (const struct directory *directory);

json_t *directory_describe (const struct directory *directory);

END_DECLS

#endif
