/* A log of bindings on the disk of a controller.
 *
 * Entry hosts have no disk, and what they and the controllers keep in memory ends with their
 * processes: after a loss of power of all, nobody would know which version began a stream, and
 * callers that take it up would be refused.  Bindings are written in batches, each with one sync,
 * by a worker off the loop; nothing waits for them.  A loss of power loses what was not synced, the
 * end of the process what was not handed to the worker.
 *
 * The log gives way to the configuration on the same disk: it is bounded, it is removed where the
 * disk is short of space, and a failure of the disk only ends the writing for a while.  Damage
 * costs the bindings after it in that file, never the start of the process. */
#ifndef BINDING_LOG_H
#define BINDING_LOG_H

#include "binding.h"
#include "counter.h"
#include "decls.h"
#include "disk.h"
#include "disk_worker.h"
#include "timer.h"

BEGIN_DECLS

/* Names of the files: the prefix and a number in hexadecimal. */
#define BINDING_LOG_NAME_PREFIX "bindings-"

/* Least time between the starts of two writes. */
#define BINDING_LOG_WRITE_PERIOD (20 * USEC_PER_MSEC)

/* Files whose bindings have all expired are removed at this period, if not with a write. */
#define BINDING_LOG_SWEEP_PERIOD (60 * USEC_PER_SEC)

/* Bytes that wait to be written; bindings beyond are not written. */
#define BINDING_LOG_PENDING_MAX (256u << 10)

/* A file that is larger is followed by another one.  The oldest files make room for new ones. */
#define BINDING_LOG_FILE_BYTES (256u << 10)
#define BINDING_LOG_BYTES_MAX (2u << 20)
#define BINDING_LOG_FILES_MAX 64

/* Nothing is written for so long after the disk has failed or was found full; nothing at all where
 * the files could not be listed at the start. */
#define BINDING_LOG_PAUSE (5 * USEC_PER_SEC)

/* The wall clock shows how long the controllers were down.  It may have been set meanwhile, so
 * bindings age by at most this much over that time. */
#define BINDING_LOG_DOWNTIME_MAX (30 * USEC_PER_SEC)

struct binding_log_entry
{
  struct binding_key key;
  struct binding binding;
  int64_t lifetime; /* from when it was added, us */
};

struct binding_log_listener
{
  const struct binding_log_listener_ops *ops;
};

struct binding_log_listener_ops
{
  /* An entry of an earlier run, added `age` microseconds ago; in the order of their addition. */
  void (*restored) (struct binding_log_listener *listener,
                    const struct binding_log_entry *entry,
                    int64_t age,
                    int64_t now);

  /* All were restored that can be.  Called once. */
  void (*loaded) (struct binding_log_listener *listener, int64_t now);
};

struct binding_log_config
{
  struct disk *disk;            /* shared with others, who use files of other names */
  struct disk_worker *worker;   /* of the log alone */
  uint64_t free_bytes_min;      /* with less free space the log is removed */
  int64_t (*wall_clock) (void); /* microseconds since 1970 */
  struct timer_service *timers;
  struct counters *counters;
  struct binding_log_listener *listener;
};

struct binding_log;

/* The files are read from the event loop on; the listener is called from there.  Freed with
 * `parent`, before the disk and the worker.  NULL when out of memory. */
struct binding_log *binding_log_new (void *parent, const struct binding_log_config *config);

void binding_log_add (struct binding_log *log, const struct binding_log_entry *entry, int64_t now);

/* Whether an entry of an earlier run may still be restored. */
bool binding_log_is_loading (const struct binding_log *log);

END_DECLS

#endif
