/* Where a stage should be made: each of its pieces fetches all its inputs, and each result goes to
 * the engine where no other stage needs it. */
#include "forward_private.h"
#include <string.h>

/* Failure domains that a request's results lie in at most. */
#define DOMAINS_MAX 8

/* What crosses counts from so many bytes on: to wait for a target of one failure domain takes about
 * half a call, which is worth less than a few hundred kilobytes only. */
#define CROSSING_LEAST 500000

/* What would cross failure domains if a stage were made away from this one. */
struct crossing
{
  const char *domain;
  uint64_t bytes;
};

static void
add_crossing (struct crossing at[DOMAINS_MAX], const char *domain, uint64_t bytes)
{
  for (uint32_t i = 0; i < DOMAINS_MAX; i++)
    {
      if (at[i].domain != NULL && strcmp (at[i].domain, domain) != 0)
        continue;
      at[i].domain = domain;
      at[i].bytes += bytes;
      return;
    }
}

static void
add_inputs (const struct forward_job *job, uint32_t number, struct crossing at[DOMAINS_MAX])
{
  uint32_t from = job_through_left_out (job, job->route.stages[number].after);

  for (uint32_t i = 0; i < job->route.n_stages; i++)
    for (uint32_t j = 0; (from & (UINT32_C (1) << i)) != 0 && j < job_pieces (job, i); j++)
      {
        const struct balance_target *maker =
            balance_find (job->forward->config.balance, job->stages[i].results[j].target);

        if (maker != NULL)
          add_crossing (at, maker->domain,
                        job_pieces (job, number) * job->route.stages[i].result_size);
      }
}

const char *
job_choose_place (const struct forward_job *job, uint32_t number)
{
  struct crossing at[DOMAINS_MAX] = { { NULL, 0 } };
  struct crossing most = { "", CROSSING_LEAST };
  uint32_t last = job_through_left_out (job, route_last_stages (&job->route));

  add_inputs (job, number, at);
  if ((last & (UINT32_C (1) << number)) != 0 && job->prompt.near[0] != '\0')
    add_crossing (at, job->prompt.near,
                  job_pieces (job, number) * job->route.stages[number].result_size);
  for (uint32_t i = 0; i < DOMAINS_MAX; i++)
    if (at[i].domain != NULL && at[i].bytes > most.bytes)
      most = at[i];
  return most.domain;
}
