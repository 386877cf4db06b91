/* What real hosts cost, sampled from outside, and the lines through it. */
#ifndef SLOPES_H
#define SLOPES_H

#include "decls.h"
#include "launch.h"

BEGIN_DECLS

/* Name and text of each measure. */
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

/* What a host does in a run; a host with targets is a home whatever else it is. */
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

/* Totals of one host at one moment. */
struct slopes_sample
{
  int64_t at;
  bool leader;
  double
      totals[SLOPES_MEASURE_COUNT]; /* processor in seconds; messages and bytes since the start */
};

enum status slopes_take (struct launch *launch, uint32_t host, struct slopes_sample *out);

/* Resident memory is the later one's; the others are rates between the two. */
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
  double residual; /* root of the mean square of what the line leaves */
};

void slopes_add (struct slopes_points *points, double x, double y);

/* Least squares; false with fewer than two different x. */
bool slopes_fit (const struct slopes_points *points, struct slopes_line *out);

/* The machine's load over the last minute, -1 where it is not told. */
double slopes_load (void);

END_DECLS

#endif
