/* Linear fits by least squares. */
#include "slopes.h"
#include <math.h>

void
slopes_add_point (struct slopes_points *points, double x, double y)
{
  INVARIANT (points->count < SLOPES_POINTS_MAX);
  points->x[points->count] = x;
  points->y[points->count] = y;
  points->count++;
}

bool
slopes_fit (const struct slopes_points *points, struct slopes_line *out)
{
  double mean_x = 0;
  double mean_y = 0;
  double xx = 0;
  double xy = 0;
  double squares = 0;

  for (uint32_t i = 0; i < points->count; i++)
    {
      mean_x += points->x[i] / points->count;
      mean_y += points->y[i] / points->count;
    }
  for (uint32_t i = 0; i < points->count; i++)
    {
      xx += (points->x[i] - mean_x) * (points->x[i] - mean_x);
      xy += (points->x[i] - mean_x) * (points->y[i] - mean_y);
    }
  if (!(xx > 0))
    return false;
  out->slope = xy / xx;
  out->intercept = mean_y - out->slope * mean_x;
  for (uint32_t i = 0; i < points->count; i++)
    squares += pow (points->y[i] - out->intercept - out->slope * points->x[i], 2);
  out->residual = sqrt (squares / points->count);
  return true;
}
