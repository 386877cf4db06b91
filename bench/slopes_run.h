/* A run that measures the cost of hosts against their number or against the data they hold. */
#ifndef SLOPES_RUN_H
#define SLOPES_RUN_H

#include "decls.h"
#include "slopes.h"

BEGIN_DECLS

#define SLOPES_WINDOW (20 * USEC_PER_SEC) /* interval that rates are computed over */
#define SLOPES_SETTLE (10 * USEC_PER_SEC) /* wait before the interval */
#define SLOPES_CALL_TIMEOUT (20 * USEC_PER_SEC)
#define SLOPES_SIZES_MAX 16

struct slopes_run
{
  struct launch *launch;
  const char *unit;
  bool keys;
  uint32_t first_home; /* hosts from here to before `end_home` are homes */
  uint32_t end_home;
  double sizes[SLOPES_SIZES_MAX];
  uint32_t n_sizes;
  struct slopes_points points[SLOPES_ROLE_COUNT][SLOPES_MEASURE_COUNT];
};

extern const char *const slopes_role_texts[SLOPES_ROLE_COUNT];
extern const char *const slopes_measure_texts[SLOPES_MEASURE_COUNT];

/* Exits the program if `status` is an error; the destructor of the launch ends the processes. */
void slopes_exit_on_error (struct slopes_run *run, enum status status);
void slopes_wait (struct slopes_run *run, int64_t span);

void slopes_start_hosts (struct slopes_run *run, uint32_t hosts);

/* Starts several processes of fake targets, one after the other: a single process with thousands of
 * targets is slower than the home, and the targets of a real site do not renew at the same time. */
void slopes_start_targets (struct slopes_run *run, uint32_t home, uint32_t count);

enum slopes_role slopes_role_of (const struct slopes_run *run,
                                 uint32_t host,
                                 const struct slopes_sample *sample);
void slopes_sample_all (struct slopes_run *run, struct slopes_sample samples[LAUNCH_HOSTS_MAX]);

/* Measures the rates of all hosts at rest, prints them by role and adds them to the points. */
void slopes_measure_idle (struct slopes_run *run, double size);

/* Prints the fitted line for each role and measure. */
void slopes_print_lines (const struct slopes_run *run, const char *per);

/* Prints how many targets the first host may use and how many are at home at each host.  Call it
 * after sampling, because the answers themselves take memory. */
void slopes_print_target_counts (struct slopes_run *run);

/* Replaces the number of hosts in the points by directory requests per second.  A host without
 * targets is polled every 5 s, or every 0.4 s times the number of hosts if that is longer
 * (directory_sync.c), so part of the cost grows with these requests and not with the hosts. */
void slopes_scale_to_requests (struct slopes_run *run);

END_DECLS

#endif
