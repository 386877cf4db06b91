/* A run of hosts of which the cost is measured by their number or by what they hold. */
#ifndef SLOPES_RUN_H
#define SLOPES_RUN_H

#include "decls.h"
#include "slopes.h"

BEGIN_DECLS

#define SLOPES_WINDOW (20 * USEC_PER_SEC) /* that rates are taken over */
#define SLOPES_SETTLE (10 * USEC_PER_SEC) /* before it */
#define SLOPES_CALL_WITHIN (20 * USEC_PER_SEC)
#define SLOPES_SIZES_MAX 16

struct slopes_run
{
  struct launch *launch;
  const char *unit;
  bool keys;
  uint32_t first_home; /* hosts from here to `end_home` are homes */
  uint32_t end_home;
  double sizes[SLOPES_SIZES_MAX];
  uint32_t n_sizes;
  struct slopes_points points[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT];
};

extern const char *const slopes_role_texts[SLOPES_ROLE_COUNT];
extern const char *const slopes_measure_texts[SLOPES_MEASURE_COUNT];

/* A failed step of a bench ends it; the launch's destructor ends the processes. */
void slopes_must (struct slopes_run *run, enum status status);
void slopes_wait (struct slopes_run *run, int64_t span);

void slopes_start_hosts (struct slopes_run *run, uint32_t hosts);

/* Several processes of fakes, begun one after the other: one process with thousands of targets is
 * slower than the home, and targets of a real site do not renew in step. */
void slopes_start_targets (struct slopes_run *run, uint32_t home, uint32_t count);

enum slopes_role slopes_role_of (const struct slopes_run *run,
                                 uint32_t host,
                                 const struct slopes_sample *sample);
void slopes_sample_all (struct slopes_run *run, struct slopes_sample samples[LAUNCH_HOSTS_MAX]);

/* Rates of all hosts at rest: printed by role, and points for the lines. */
void slopes_measure_rest (struct slopes_run *run, double size);

/* A line through the points of each role and measure. */
void slopes_print_lines (const struct slopes_run *run, const char *per);

/* How many targets the first host may use and how many each home has; asked for after the samples,
 * because the answers themselves take memory. */
void slopes_print_known (struct slopes_run *run);

/* A host without targets is asked for news of them each 5 s, or each 0.4 s for every host where
 * that is longer (directory_sync.c), so that part of the cost follows these asks and not the hosts.
 */
void slopes_count_asks (struct slopes_run *run);

END_DECLS

#endif
