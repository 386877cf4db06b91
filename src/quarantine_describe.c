/* The table of suspects as JSON, for the state dump and the command line. */
#include "quarantine_control.h"
#include <stdio.h>

static json_t *
describe_crash (const struct quarantine_crash *crash, int64_t now)
{
  char incarnation[17];

  snprintf (incarnation, sizeof incarnation, "%016llx", (unsigned long long) crash->incarnation);
  return json_pack ("{s:s,s:I,s:b}", "incarnation", incarnation, "ago_ms",
                    (json_int_t) ((now - crash->to) / USEC_PER_MSEC), "taken_back",
                    crash->retracted);
}

static json_t *
describe_suspect (const struct quarantine_suspect *suspect, int64_t now)
{
  char content[REQUEST_DIGEST_TEXT_SIZE];
  char part[REQUEST_PART_TEXT_SIZE];
  json_t *ends = json_array ();

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    json_array_append_new (ends, describe_crash (&suspect->crashes[i], now));
  request_digest_format (&suspect->digest, content);
  request_digest_format_part (&suspect->digest, part);
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:o}", "content", content, "part", part,
                    "organisation", suspect->organisation, "route", suspect->route, "verdict",
                    quarantine_verdict_text (quarantine_get_verdict (suspect, false, now)), "ends",
                    (int) quarantine_count_crashes (suspect, now), "running",
                    (int) suspect->n_running, "tries", (int) suspect->n_trials, "seen_ms",
                    (json_int_t) ((now - suspect->last_seen) / USEC_PER_MSEC), "evidence", ends);
}

json_t *
quarantine_control_describe (struct quarantine_control *control, int64_t now)
{
  struct quarantine *table = quarantine_control_table (control);
  const struct quarantine_suspect *suspect;
  json_t *out = json_array ();

  for (uint32_t i = 0; (suspect = quarantine_at (table, i)) != NULL; i++)
    json_array_append_new (out, describe_suspect (suspect, now));
  return out;
}
