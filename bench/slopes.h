/* The resource use of real hosts, sampled from outside, and linear fits of it. */
#ifndef SLOPES_H
#define SLOPES_H

#include "decls.h"
#include "launch.h"

BEGIN_DECLS

/* Name and printed text of each measure. */
#define SLOPES_MEASURE_LIST(X)                                                                     \
  X (RESIDENT, "resident, KiB")                                                                    \
  X (PROCESSOR, "processor, % of a core")                                                          \
  X (MESSAGES_OUT, "peer messages out/s")                                                          \
  X (MESSAGES_IN, "peer messages in/s")                                                            \
  X (BYTES_OUT, "peer bytes out/s")                                                                \
  X (BYTES_IN, "peer bytes in/s")

enum slopes_measure
{
#define X(name, text) SLOPES_##name,
  SLOPES_MEASURE_LIST (X)
#undef X
      SLOPES_MEASURE_COUNT
};

/* The role of a host in a run; a host with targets is a home, whatever its other role. */
#define SLOPES_ROLE_LIST(X)                                                                        \
  X (LEADER, "leader")                                                                             \
  X (VOTER, "voter")                                                                               \
  X (FOLLOWER, "follower")                                                                         \
  X (HOME, "home")

enum slopes_role
{
#define X(name, text) SLOPES_##name,
  SLOPES_ROLE_LIST (X)
#undef X
      SLOPES_ROLE_COUNT
};

/* Totals of one host at one time. */
struct slopes_sample
{
  int64_t at;
  bool leader;
  double
      totals[SLOPES_MEASURE_COUNT]; /* processor in seconds; messages and bytes since the start */
};

enum status slopes_sample_host (struct launch *launch, uint32_t host, struct slopes_sample *out);

/* Resident memory is that of `after`; the others are rates per second between the two samples,
 * processor time in percent of a core. */
void slopes_rates (const struct slopes_sample *before,
                   const struct slopes_sample *after,
                   double rates[SLOPES_MEASURE_COUNT]);

#define SLOPES_POINTS_MAX 512

struct slopes_points
{
  uint32_t count;
  double x[SLOPES_POINTS_MAX];
  double y[SLOPES_POINTS_MAX];
};

struct slopes_line
{
  double slope;
  double intercept;
  double residual; /* root mean square error of the fit */
};

void slopes_add_point (struct slopes_points *points, double x, double y);

/* Fits a line by least squares; returns false with fewer than two different x. */
bool slopes_fit (const struct slopes_points *points, struct slopes_line *out);

/* Returns the 1-minute load average of the machine; -1 if it is not available. */
double slopes_load_average (void);

END_DECLS

#endif
