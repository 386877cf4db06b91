/* The experiments on real processes: which fault each injects, and when. */
#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include "decls.h"
#include "launch.h"
#include "replay.h"

BEGIN_DECLS

/* name, text, what happens after a third of the requests */
#define EXPERIMENT_LIST(X)                                                                         \
  X (CALM, "calm", "nothing")                                                                      \
  X (BURST, "burst", "three times the rate in the middle third")                                   \
  X (SLOW_STAGE, "slow-stage", "the rerankers take five times as long")                            \
  X (DOMAIN_LOST, "domain-lost", "a failure domain is silent, in a burst")                         \
  X (STALE_REPORTS, "stale-reports", "reports are 2 s old and 20% are lost, from the start")       \
  X (HANG, "hang", "a runner takes work and never answers")                                        \
  X (LEAVE, "leave", "a runner leaves")                                                            \
  X (ENTRY_KILLED, "entry-killed", "a host gets kill -9")                                          \
  X (COLD, "cold", "every runner loses its prefix cache")                                          \
  X (FLOOD, "flood", "one organisation sends as much again as all, from the start")

enum experiment
{
#define X(name, text, what) EXPERIMENT_##name,
  EXPERIMENT_LIST (X)
#undef X
      EXPERIMENT_COUNT
};

const char *experiment_text (enum experiment experiment);
bool experiment_find (const char *text, enum experiment *out);

struct experiment_setup
{
  enum experiment experiment;
  enum trace_site site;
  uint64_t seed;
  int64_t length; /* of the trace */
  double rate;    /* requests a second, outside a burst */
  double time_scale;
  uint32_t hosts;
};

struct experiment_row
{
  struct replay_result *result;
  struct replay_cost cost;
  const char *worst_organisation;
  double worst;
  uint32_t broken;
};

/* Launch hosts and fake targets, replay the trace, then stop all processes.  Raises the setup's
 * time scale to the experiment's minimum. */
enum status experiment_run (void *parent,
                            struct experiment_setup *setup,
                            struct experiment_row *out);

void experiment_print_head (FILE *file);
void experiment_print_row (const struct experiment_setup *setup,
                           const struct experiment_row *row,
                           FILE *file);

END_DECLS

#endif
