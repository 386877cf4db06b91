/* Benchmarks of the membership protocols and of the directory of targets. */
#ifndef SPREAD_MEASURE_H
#define SPREAD_MEASURE_H

#include "decls.h"
#include "spread_protocol.h"

BEGIN_DECLS

struct spread_case
{
  const struct spread_protocol *way;
  uint32_t n_hosts;
  uint32_t trials;
  int64_t span;
  double loss;
  uint64_t seed;
};

/* Each prints one line. */
void spread_measure_idle (const struct spread_case *c);

/* As idle, but every host's load changes each second and the configuration every 20 s (4,000
 * changes a day). */
void spread_measure_busy (const struct spread_case *c);
void spread_measure_dead (const struct spread_case *c);
void spread_measure_silent (const struct spread_case *c);
void spread_measure_leave (const struct spread_case *c);
void spread_measure_alarms (const struct spread_case *c);
void spread_measure_link (const struct spread_case *c);

/* Traffic of home hosts with targets and of the hosts that follow them. */
void spread_measure_directory (
    uint32_t n_hosts, uint32_t n_homes, uint32_t n_targets, int64_t span, uint64_t seed);

/* Time during which new work may still go to a target after it announces its leave, with or
 * without a cut link from its home to a host, or dies. */
void spread_measure_target_leave (uint32_t n_hosts, uint32_t trials, double loss, uint64_t seed);

END_DECLS

#endif
