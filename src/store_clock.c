/* Log time. */
#include "store_clock.h"
#include "text.h"

static void
drop_silent_hosts (struct store_clock *clock)
{
  uint32_t kept = 0;
  uint32_t i;

  for (i = 0; i < clock->n_seen; i++)
    if (clock->seen[i].entry + STORE_CLOCK_WINDOW > clock->entries)
      clock->seen[kept++] = clock->seen[i];
  clock->n_seen = kept;
}

/* The host's slot, a free one, or that of the host whose last entry is the oldest. */
static uint32_t
find_slot (struct store_clock *clock, const char *host)
{
  uint32_t oldest = 0;
  uint32_t i;

  for (i = 0; i < clock->n_seen; i++)
    {
      if (strcmp (clock->seen[i].host, host) == 0)
        return i;
      if (clock->seen[i].entry < clock->seen[oldest].entry)
        oldest = i;
    }
  return clock->n_seen < STORE_CLOCK_HOSTS ? clock->n_seen++ : oldest;
}

void
store_clock_observe (struct store_clock *clock, const char *host, int64_t time_ms)
{
  int64_t latest = INT64_MIN;
  int64_t second = INT64_MIN;
  uint32_t slot;
  uint32_t i;

  clock->entries++;
  drop_silent_hosts (clock);
  slot = find_slot (clock, host);
  text_copy_truncated (clock->seen[slot].host, sizeof clock->seen[slot].host, host);
  clock->seen[slot].time_ms = time_ms;
  clock->seen[slot].entry = clock->entries;
  for (i = 0; i < clock->n_seen; i++)
    {
      int64_t time = clock->seen[i].time_ms;

      if (time > latest)
        {
          second = latest;
          latest = time;
        }
      else if (time > second)
        second = time;
    }
  if (clock->n_seen == 1)
    second = latest;
  if (second > clock->now_ms)
    clock->now_ms = second;
}

void
store_clock_save (const struct store_clock *clock, struct bytes *out)
{
  uint32_t i;

  pack_uint (out, clock->entries);
  store_pack_time (out, clock->now_ms);
  pack_array (out, clock->n_seen);
  for (i = 0; i < clock->n_seen; i++)
    {
      pack_text (out, clock->seen[i].host);
      store_pack_time (out, clock->seen[i].time_ms);
      pack_uint (out, clock->seen[i].entry);
    }
}

void
store_clock_load (struct store_clock *clock, struct pack_reader *in)
{
  uint32_t i;

  clock->entries = pack_read_uint (in, UINT64_MAX);
  clock->now_ms = store_read_time (in);
  clock->n_seen = pack_read_array (in, STORE_CLOCK_HOSTS);
  for (i = 0; i < clock->n_seen; i++)
    {
      pack_read_text (in, clock->seen[i].host, sizeof clock->seen[i].host);
      clock->seen[i].time_ms = store_read_time (in);
      clock->seen[i].entry = pack_read_uint (in, UINT64_MAX);
    }
}
