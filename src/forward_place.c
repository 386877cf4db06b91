/* Placement of stages among failure domains.  Each piece of a stage fetches all inputs of the
 * stage; a result that no other stage needs is fetched by the engine. */
#include "forward_private.h"
#include "text.h"
#include <string.h>

/* Least transfer between failure domains, in bytes, for which a stage requests a certain domain.
 * Waiting for a target in one domain takes about half a call, which costs more than the transfer of
 * a few hundred kilobytes. */
#define CROSSING_MIN_BYTES 500000

/* Bytes held in, or needed by, each failure domain; they cross if the stage runs in another one. */
struct places
{
  struct balance_result_location at[BALANCE_LOCATIONS_MAX];
  uint32_t n;
};

static void
add_place (struct places *places, const char *domain, uint64_t bytes)
{
  uint32_t i = 0;

  while (i < places->n && strcmp (places->at[i].domain, domain) != 0)
    i++;
  if (i == BALANCE_LOCATIONS_MAX)
    return;
  if (i == places->n)
    {
      places->at[places->n++] = (struct balance_result_location){ .bytes = 0 };
      text_copy_truncated (places->at[i].domain, sizeof places->at[i].domain, domain);
    }
  places->at[i].bytes += bytes;
}

/* Adds the results of these stages, each read `times` times. */
static void
add_results (const struct forward_job *job, uint32_t stages, uint32_t times, struct places *places)
{
  for (uint32_t i = 0; i < job->route.n_stages; i++)
    for (uint32_t j = 0; (stages & (UINT32_C (1) << i)) != 0 && j < job_pieces (job, i); j++)
      {
        const struct balance_target *maker =
            balance_find (job->forward->config.balance, job->stages[i].results[j].target);

        if (maker != NULL)
          add_place (places, maker->domain, times * job->route.stages[i].result_size);
      }
}

void
job_choose_domain (const struct forward_job *job, uint32_t number, char out[ROUTING_NAME_SIZE])
{
  const struct route_stage *stage = &job->route.stages[number];
  struct places places = { .n = 0 };
  uint64_t most = CROSSING_MIN_BYTES;

  out[0] = '\0';
  add_results (job, job_replace_skipped (job, stage->depends_on), job_pieces (job, number),
               &places);
  if (job_is_read_by_engine (job, number) && job->engine_domain[0] != '\0')
    add_place (&places, job->engine_domain, job_pieces (job, number) * stage->result_size);
  for (uint32_t i = 0; i < places.n; i++)
    if (places.at[i].bytes > most)
      {
        most = places.at[i].bytes;
        memcpy (out, places.at[i].domain, ROUTING_NAME_SIZE);
      }
}

void
job_locate_results (struct forward_job *job)
{
  struct places places = { .n = 0 };

  add_results (job, job_replace_skipped (job, route_last_stages (&job->route)), 1, &places);
  memcpy (job->prompt.locations, places.at, sizeof places.at);
  job->prompt.n_locations = places.n;
}
