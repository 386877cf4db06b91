/* Table of features that crash targets. */
#include "quarantine.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define INITIAL_CAPACITY 8

/* A later `last_seen` is merged and passed on only if it is later by more than this. */
#define SEEN_STEP (QUARANTINE_SUSPECT_TTL / 4)

struct quarantine
{
  struct quarantine_suspect *suspects;
  uint32_t n;
  uint32_t capacity;
};

struct quarantine *
quarantine_new (void *parent)
{
  return talloc_zero (parent, struct quarantine);
}

bool
quarantine_is_empty (const struct quarantine *quarantine)
{
  return quarantine->n == 0;
}

/* The number of suspects if it is not suspected. */
static uint32_t
find_place (const struct quarantine *quarantine, const struct request_digest *digest)
{
  uint32_t i = 0;

  while (i < quarantine->n && !request_digest_equal (&quarantine->suspects[i].digest, digest))
    i++;
  return i;
}

struct quarantine_suspect *
quarantine_find (struct quarantine *quarantine, const struct request_digest *digest)
{
  return quarantine_at (quarantine, find_place (quarantine, digest));
}

struct quarantine_suspect *
quarantine_at (struct quarantine *quarantine, uint32_t place)
{
  return place < quarantine->n ? &quarantine->suspects[place] : NULL;
}

/* ---- crashes ---- */

/* Of the valid crashes that do not overlap `before`, the one with the earliest `to`; NULL if there
 * is none. */
static const struct quarantine_crash *
next_disjoint_crash (const struct quarantine_crash *crashes,
                     uint32_t n,
                     const struct quarantine_crash *before)
{
  const struct quarantine_crash *next = NULL;

  for (uint32_t i = 0; i < n; i++)
    {
      const struct quarantine_crash *crash = &crashes[i];
      bool overlaps =
          before != NULL
          && (crash->from < before->to - QUARANTINE_CLOCK_TOLERANCE || crash->to <= before->to);

      if (!crash->retracted && !overlaps && (next == NULL || crash->to < next->to))
        next = crash;
    }
  return next;
}

/* Size of the largest set of pairwise disjoint spans from `first` on: greedy interval scheduling
 * by earliest `to`. */
static uint32_t
count_disjoint_from (const struct quarantine_suspect *suspect, const struct quarantine_crash *first)
{
  const struct quarantine_crash *crash = first;
  uint32_t n = 0;

  for (; crash != NULL && crash->to - first->to <= QUARANTINE_WINDOW; n++)
    crash = next_disjoint_crash (suspect->crashes, suspect->n_crashes, crash);
  return n;
}

uint32_t
quarantine_count_crashes (const struct quarantine_suspect *suspect, int64_t now)
{
  uint32_t most = 0;

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      const struct quarantine_crash *first = &suspect->crashes[i];
      uint32_t n = first->retracted ? 0 : count_disjoint_from (suspect, first);

      if (n > most && (n >= QUARANTINE_CRASH_THRESHOLD || now - first->to <= QUARANTINE_WINDOW))
        most = n;
    }
  return most;
}

static struct quarantine_crash *
find_crash (struct quarantine_suspect *suspect, uint64_t incarnation)
{
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i].incarnation == incarnation)
      return &suspect->crashes[i];
  return NULL;
}

/* The crash to evict: the oldest retracted one, else the oldest one that is not counted.
 * Deterministic, so that hosts with the same crashes evict the same one. */
static uint32_t
select_crash_to_evict (const struct quarantine_crash *crashes, uint32_t n)
{
  const struct quarantine_crash *counted = next_disjoint_crash (crashes, n, NULL);
  const struct quarantine_crash *least = NULL;

  for (uint32_t i = 0; i < n; i++)
    if (crashes[i].retracted && (least == NULL || crashes[i].to < least->to))
      least = &crashes[i];
  if (least != NULL)
    return (uint32_t) (least - crashes);
  for (; counted != NULL; counted = next_disjoint_crash (crashes, n, counted))
    for (uint32_t i = 0; i < n; i++)
      {
        const struct quarantine_crash *after = next_disjoint_crash (crashes, n, counted);
        bool between = crashes[i].to > counted->to && (after == NULL || crashes[i].to < after->to);

        if (between && (least == NULL || crashes[i].to < least->to))
          least = &crashes[i];
      }
  return least == NULL ? n - 1 : (uint32_t) (least - crashes);
}

/* False if `from` is the crash to evict. */
static bool
add_crash (struct quarantine_suspect *suspect, const struct quarantine_crash *from)
{
  struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX + 1];
  uint32_t least;

  if (suspect->n_crashes < QUARANTINE_CRASHES_MAX)
    {
      suspect->crashes[suspect->n_crashes++] = *from;
      return true;
    }
  memcpy (crashes, suspect->crashes, sizeof suspect->crashes);
  crashes[QUARANTINE_CRASHES_MAX] = *from;
  least = select_crash_to_evict (crashes, QUARANTINE_CRASHES_MAX + 1);
  if (least == QUARANTINE_CRASHES_MAX)
    return false;
  suspect->crashes[least] = *from;
  return true;
}

static bool
merge_crash (struct quarantine_suspect *suspect, const struct quarantine_crash *from)
{
  struct quarantine_crash *crash = find_crash (suspect, from->incarnation);
  bool changed;

  if (crash != NULL)
    {
      changed = from->retracted && !crash->retracted;
      crash->retracted = crash->retracted || from->retracted;
      return changed;
    }
  return add_crash (suspect, from);
}

bool
quarantine_retract_until (struct quarantine_suspect *suspect, int64_t until)
{
  bool any = false;

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      struct quarantine_crash *crash = &suspect->crashes[i];

      if (crash->retracted || crash->to > until)
        continue;
      crash->retracted = true;
      any = true;
    }
  return any;
}

bool
quarantine_clear (struct quarantine_suspect *suspect)
{
  return quarantine_retract_until (suspect, INT64_MAX);
}

bool
quarantine_retract (struct quarantine_suspect *suspect, uint64_t incarnation, int64_t alive)
{
  struct quarantine_crash *crash = find_crash (suspect, incarnation);

  if (crash == NULL || crash->retracted || crash->to > alive)
    return false;
  crash->retracted = true;
  return true;
}

/* ---- suspects ---- */

static void
remove_suspect (struct quarantine *quarantine, struct quarantine_suspect *suspect)
{
  *suspect = quarantine->suspects[--quarantine->n];
}

static bool
is_part (const struct quarantine_suspect *suspect)
{
  uint64_t part;

  return request_digest_is_part (&suspect->digest, &part);
}

/* The suspect to evict for `from`: of those of its kind that may still be sent, the one with the
 * fewest counted crashes; among equals the least recently seen.  NULL if there is none. */
static struct quarantine_suspect *
select_suspect_to_evict (struct quarantine *quarantine,
                         const struct quarantine_suspect *from,
                         bool of_its_organisation,
                         int64_t now)
{
  struct quarantine_suspect *least = NULL;
  uint32_t least_count = QUARANTINE_CRASH_THRESHOLD;

  for (uint32_t i = 0; i < quarantine->n; i++)
    {
      struct quarantine_suspect *suspect = &quarantine->suspects[i];
      uint32_t count = quarantine_count_crashes (suspect, now);

      if (is_part (suspect) != is_part (from)
          || (of_its_organisation && strcmp (suspect->organisation, from->organisation) != 0))
        continue;
      if (count < least_count
          || (least != NULL && count == least_count && suspect->last_seen < least->last_seen))
        {
          least = suspect;
          least_count = count;
        }
    }
  return least;
}

/* Counts the suspects of the same kind, and those of them of the same organisation. */
static void
count_like (const struct quarantine *quarantine,
            const struct quarantine_suspect *from,
            uint32_t *n,
            uint32_t *n_of_its_organisation)
{
  *n = 0;
  *n_of_its_organisation = 0;
  for (uint32_t i = 0; i < quarantine->n; i++)
    {
      const struct quarantine_suspect *suspect = &quarantine->suspects[i];

      if (is_part (suspect) != is_part (from))
        continue;
      *n += 1;
      *n_of_its_organisation += strcmp (suspect->organisation, from->organisation) == 0 ? 1 : 0;
    }
}

static bool
grow_table (struct quarantine *quarantine)
{
  uint32_t capacity = quarantine->capacity == 0 ? INITIAL_CAPACITY : 2 * quarantine->capacity;
  struct quarantine_suspect *suspects;

  if (quarantine->n < quarantine->capacity)
    return true;
  suspects = talloc_realloc (quarantine, quarantine->suspects, struct quarantine_suspect, capacity);
  if (suspects == NULL)
    return false;
  quarantine->suspects = suspects;
  quarantine->capacity = capacity;
  return true;
}

static bool
make_room (struct quarantine *quarantine, const struct quarantine_suspect *from, int64_t now)
{
  struct quarantine_suspect *least = NULL;
  uint32_t n;
  uint32_t n_of_its_organisation;

  count_like (quarantine, from, &n, &n_of_its_organisation);
  if (n_of_its_organisation >= QUARANTINE_ORGANISATION_SUSPECTS_MAX)
    least = select_suspect_to_evict (quarantine, from, true, now);
  else if (n >= QUARANTINE_SUSPECTS_MAX)
    least = select_suspect_to_evict (quarantine, from, false, now);
  else
    return grow_table (quarantine);
  if (least == NULL)
    return false;
  remove_suspect (quarantine, least);
  return true;
}

/* Adds a suspect without any crashes or trials. */
static bool
add_suspect (struct quarantine *quarantine,
             const struct quarantine_suspect *from,
             int64_t now,
             uint32_t *place)
{
  struct quarantine_suspect fresh = *from;

  fresh.n_crashes = 0;
  fresh.n_trials = 0;
  fresh.n_running = 0;
  fresh.last_announced = 0;
  fresh.announce_due = false;
  if (!make_room (quarantine, from, now))
    return false;
  *place = quarantine->n++;
  quarantine->suspects[*place] = fresh;
  return true;
}

bool
quarantine_merge (struct quarantine *quarantine,
                  const struct quarantine_suspect *from,
                  int64_t now,
                  struct quarantine_suspect **out)
{
  uint32_t place = find_place (quarantine, &from->digest);
  struct quarantine_suspect *suspect;
  bool changed = false;

  *out = NULL;
  if (now - from->last_seen >= QUARANTINE_SUSPECT_TTL
      || (place == quarantine->n && !add_suspect (quarantine, from, now, &place)))
    return false;
  suspect = &quarantine->suspects[place];
  for (uint32_t i = 0; i < from->n_crashes; i++)
    changed = merge_crash (suspect, &from->crashes[i]) || changed;
  if (from->n_trials > suspect->n_trials)
    {
      suspect->n_trials = from->n_trials;
      suspect->last_trial = from->last_trial;
      changed = true;
    }
  /* Only in steps, because the times that hosts send each other differ by the message delay. */
  if (from->last_seen > suspect->last_seen + SEEN_STEP)
    {
      suspect->last_seen = from->last_seen;
      changed = true;
    }
  if (changed)
    suspect->last_announced = now;
  *out = suspect;
  return changed;
}

int64_t
quarantine_last_event (const struct quarantine_suspect *suspect)
{
  int64_t last = suspect->last_trial;

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i].to > last)
      last = suspect->crashes[i].to;
  return last;
}

/* None of its crashes counts now or will count later.  A suspect that was once held is kept as
 * cleared, because a host that was cut off may still hold it. */
static bool
is_expired (const struct quarantine_suspect *suspect, int64_t now)
{
  return suspect->n_crashes < QUARANTINE_CRASH_THRESHOLD
         && quarantine_count_crashes (suspect, now) == 0
         && now - quarantine_last_event (suspect) > QUARANTINE_WINDOW;
}

void
quarantine_expire (struct quarantine *quarantine, int64_t now)
{
  uint32_t i = 0;

  while (i < quarantine->n)
    if (now - quarantine->suspects[i].last_seen >= QUARANTINE_SUSPECT_TTL
        || is_expired (&quarantine->suspects[i], now))
      remove_suspect (quarantine, &quarantine->suspects[i]);
    else
      i++;
}

/* ---- comparing tables ---- */

bool
quarantine_is_shared (const struct quarantine_suspect *suspect)
{
  return suspect->n_crashes >= 2;
}

uint64_t
quarantine_summary (const struct quarantine *quarantine, int64_t now)
{
  uint64_t summary = 0;

  for (uint32_t i = 0; i < quarantine->n; i++)
    {
      const struct quarantine_suspect *suspect = &quarantine->suspects[i];

      for (uint32_t j = 0; j < suspect->n_crashes && quarantine_count_crashes (suspect, now) >= 2;
           j++)
        if (!suspect->crashes[j].retracted)
          summary ^= XXH3_64bits_withSeed (suspect->digest.bytes, REQUEST_DIGEST_SIZE,
                                           suspect->crashes[j].incarnation + suspect->n_trials);
    }
  return summary;
}
