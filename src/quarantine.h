/* Requests that end the targets that run them: what is known of each, and what may still be done
 * with it.
 *
 * Load pattern: one request comes again and again, at any host, and each run ends a target and
 * whatever else runs there.  Everything that ran on a target when it ended is a suspect; only the
 * one that is there each time stays one, as a whole answer clears a request.
 *
 * What is known of a request is a set of ends: incarnations that ended under it, each valid or
 * taken back.  Sets merge in any order, any number of times; a verdict is a function of the set.
 * The count is that of ends which cannot have had one cause: several targets that lose power
 * together count once.
 *
 * Pure: time is passed in. */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "decls.h"
#include "request_digest.h"
#include "routing.h"
#include "usec.h"
#include <stdbool.h>
#include <stdint.h>

BEGIN_DECLS

/* A request under which so many targets ended is not sent any more. */
#define QUARANTINE_ENDS 3

/* Ends that are kept of one request, those taken back included. */
#define QUARANTINE_ENDS_KEPT 8

#define QUARANTINE_SUSPECTS_MAX 512

/* Of one organisation: nobody else's place is taken by one that invents requests. */
#define QUARANTINE_OF_ONE_MAX 64

/* A request that nobody sends for so long is forgotten. */
#define QUARANTINE_KEEP (3600 * USEC_PER_SEC)

/* Targets that end within this may have had one cause while runs of the request were out on all of
 * them. */
#define QUARANTINE_INSTANT (200 * USEC_PER_MSEC)

/* Of a run that began when another one was over, the dates of two hosts may differ by this. */
#define QUARANTINE_DATES_DIFFER (20 * USEC_PER_MSEC)

/* Ends further apart than this say nothing together: a request that is sent all day is on some
 * target whenever one ends. */
#define QUARANTINE_WINDOW (600 * USEC_PER_SEC)

/* One that is not sent any more gets another try so long after its last end, and a second one so
 * long after that: it may have been beside another that ended its targets each time. */
#define QUARANTINE_FIRST_TRIAL (10 * USEC_PER_SEC)
#define QUARANTINE_SECOND_TRIAL (600 * USEC_PER_SEC)
#define QUARANTINE_TRIALS_MAX 2

/* An incarnation that ended while it ran the request.  What ended it happened between these two
 * times, and within the run. */
struct quarantine_end
{
  uint64_t incarnation;
  int64_t from;
  int64_t to;
  bool taken_back; /* it lives, or the request has had a whole answer since */
};

/* A request, and what is known of it. */
struct quarantine_suspect
{
  struct request_digest digest;
  char organisation[ROUTING_NAME_SIZE];
  char route[ROUTING_NAME_SIZE]; /* by which it came first, for people */
  int64_t seen;                  /* last sent by a client, as far as known */
  int64_t tried;                 /* the last try; 0: none here */
  uint32_t trials;
  uint32_t n_ends;
  struct quarantine_end ends[QUARANTINE_ENDS_KEPT];

  /* Not told to others. */
  uint32_t running; /* on this host */
  int64_t told;     /* when others were last told of it */
  bool to_be_told;  /* soon */
};

struct quarantine;

/* Freed with `parent`.  NULL when memory is out. */
struct quarantine *quarantine_new (void *parent);

/* Is anything suspected at all?  Where not, a request need not be digested. */
bool quarantine_is_empty (const struct quarantine *quarantine);

/* Take over what `from` knows beyond what is known; true when something was new.  `out` takes the
 * suspect as it stands then, NULL where there was no room for it; it lives until the next call that
 * is given a quarantine to change. */
bool quarantine_merge (struct quarantine *quarantine,
                       const struct quarantine_suspect *from,
                       int64_t now,
                       struct quarantine_suspect **out);

/* NULL when it is not suspected. */
struct quarantine_suspect *quarantine_find (struct quarantine *quarantine,
                                            const struct request_digest *digest);

/* The suspects in turn, from 0; NULL behind the last. */
struct quarantine_suspect *quarantine_at (struct quarantine *quarantine, uint32_t place);

/* How many of its ends cannot have had one cause and lie within QUARANTINE_WINDOW: until now, or,
 * where it is QUARANTINE_ENDS or more, at any time. */
uint32_t quarantine_count (const struct quarantine_suspect *suspect, int64_t now);

/* name, text */
#define QUARANTINE_VERDICT_LIST(X)                                                                 \
  X (PASS, "not suspected")                                                                        \
  X (APART, "where it hurts least")                                                                \
  X (WAIT, "one at a time")                                                                        \
  X (REFUSE, "not to be sent")                                                                     \
  X (TRY, "another try")

enum quarantine_verdict
{
#define X(name, text) QUARANTINE_##name,
  QUARANTINE_VERDICT_LIST (X)
#undef X
      QUARANTINE_VERDICT_COUNT
};

const char *quarantine_verdict_text (enum quarantine_verdict verdict);

/* May it be sent now?  `tries_here`: tries are this host's to make.  WAIT: not while a run of it is
 * out.  NULL is a request that is not suspected. */
enum quarantine_verdict quarantine_judge (const struct quarantine_suspect *suspect,
                                          bool tries_here,
                                          int64_t now);

/* Take back all ends of a request; false where none was valid. */
bool quarantine_clear (struct quarantine_suspect *suspect);

/* The incarnation lived at `alive`: take back its end where that is before; false where nothing was
 * taken back. */
bool quarantine_take_back (struct quarantine_suspect *suspect, uint64_t incarnation, int64_t alive);

/* Forget what nobody sends any more. */
void quarantine_expire (struct quarantine *quarantine, int64_t now);

/* Is it worth telling every entry host?  When a host of targets loses power, hundreds of requests
 * have one end each; only controllers, to whom all ends come, need to know of those. */
bool quarantine_is_shared (const struct quarantine_suspect *suspect);

/* The same for all that know the same of what is worth telling. */
uint64_t quarantine_summary (const struct quarantine *quarantine, int64_t now);

END_DECLS

#endif
