/* Declarations shared by the target_watch*.c files. */
#ifndef TARGET_WATCH_PRIVATE_H
#define TARGET_WATCH_PRIVATE_H

#include "target_watch.h"
#include "tcp.h"

/* A watched incarnation. */
struct watched
{
  struct target_watch *watch;
  char id[ROUTING_NAME_SIZE];
  char address[ROUTING_NAME_SIZE];
  char pool[ROUTING_NAME_SIZE];
  uint64_t started;
  uint64_t incarnation;
  int64_t broke_at;      /* the first break that the target is not known to have outlived */
  int64_t last_broke_at; /* the last break */
  int64_t probed_at;     /* when the last probe began */
  uint32_t breaks;
  int64_t asked_at; /* the last time at which more than the end of an answer hinted at its end; 0:
                       never, and it is not probed */
  enum target_fate fate;
  bool refused;    /* the address refused the last probe */
  bool path_works; /* another target accepted a connection since that probe began */
  uint32_t n_controls;
  struct tcp_stream probe;
  struct tcp_stream control; /* to another target */
  struct timer probe_timer;
  struct watched *prev;
  struct watched *next;
};

struct target_watch
{
  struct target_watch_config config;
  struct watched *watched;
  uint32_t n;
  struct timer timer;
  struct counter *fates[TARGET_FATE_COUNT];
  struct counter *unwatched;
};

/* NULL if the incarnation is not watched. */
struct watched *watched_find (const struct target_watch *watch, uint64_t incarnation);

/* Sets the fate and reports it for all breaks so far. */
void watched_set_fate (struct watched *watched, enum target_fate fate, const char *by, int64_t now);

/* Probes the target if it was asked for after the last probe began, which shows nothing about that,
 * or if that probe was refused and its control was not accepted either; at most once a
 * TARGET_WATCH_PERIOD. */
void watched_probe (struct watched *watched, int64_t now);

/* Of `probe_timer`. */
extern const struct timer_ops watched_probe_timer_ops;

void watched_end_probe (struct watched *watched);

#endif
