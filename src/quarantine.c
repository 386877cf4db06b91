/* Table of poison requests. */
#include "quarantine.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define FIRST_ROOM 8

/* A later `seen` is merged and passed on only if it is later by more than this. */
#define SEEN_STEP (QUARANTINE_KEEP / 4)

struct quarantine
{
  struct quarantine_suspect *suspects;
  uint32_t n;
  uint32_t room;
};

static const char *const verdict_texts[] = {
#define X(name, text) [QUARANTINE_##name] = text,
  QUARANTINE_VERDICT_LIST (X)
#undef X
};

const char *
quarantine_verdict_text (enum quarantine_verdict verdict)
{
  return verdict_texts[verdict];
}

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

/* ---- ends ---- */

/* Of the valid ends that do not overlap `before`, the one with the earliest `to`; NULL if there is
 * none. */
static const struct quarantine_end *
next_end (const struct quarantine_end *ends, uint32_t n, const struct quarantine_end *before)
{
  const struct quarantine_end *next = NULL;

  for (uint32_t i = 0; i < n; i++)
    {
      const struct quarantine_end *end = &ends[i];
      bool meets = before != NULL
                   && (end->from < before->to - QUARANTINE_DATES_DIFFER || end->to <= before->to);

      if (!end->taken_back && !meets && (next == NULL || end->to < next->to))
        next = end;
    }
  return next;
}

/* Size of the largest set of pairwise disjoint spans from `first` on: greedy interval scheduling
 * by earliest `to`. */
static uint32_t
count_from (const struct quarantine_suspect *suspect, const struct quarantine_end *first)
{
  const struct quarantine_end *end = first;
  uint32_t n = 0;

  for (; end != NULL && end->to - first->to <= QUARANTINE_WINDOW; n++)
    end = next_end (suspect->ends, suspect->n_ends, end);
  return n;
}

uint32_t
quarantine_count (const struct quarantine_suspect *suspect, int64_t now)
{
  uint32_t most = 0;

  for (uint32_t i = 0; i < suspect->n_ends; i++)
    {
      const struct quarantine_end *first = &suspect->ends[i];
      uint32_t n = first->taken_back ? 0 : count_from (suspect, first);

      if (n > most && (n >= QUARANTINE_ENDS || now - first->to <= QUARANTINE_WINDOW))
        most = n;
    }
  return most;
}

static struct quarantine_end *
find_end (struct quarantine_suspect *suspect, uint64_t incarnation)
{
  for (uint32_t i = 0; i < suspect->n_ends; i++)
    if (suspect->ends[i].incarnation == incarnation)
      return &suspect->ends[i];
  return NULL;
}

/* The end to evict: the oldest one that was taken back, else the oldest one that is not counted.
 * Deterministic, so that hosts with the same ends evict the same one. */
static uint32_t
least_needed (const struct quarantine_end *ends, uint32_t n)
{
  const struct quarantine_end *counted = next_end (ends, n, NULL);
  const struct quarantine_end *least = NULL;

  for (uint32_t i = 0; i < n; i++)
    if (ends[i].taken_back && (least == NULL || ends[i].to < least->to))
      least = &ends[i];
  if (least != NULL)
    return (uint32_t) (least - ends);
  for (; counted != NULL; counted = next_end (ends, n, counted))
    for (uint32_t i = 0; i < n; i++)
      {
        const struct quarantine_end *after = next_end (ends, n, counted);
        bool between = ends[i].to > counted->to && (after == NULL || ends[i].to < after->to);

        if (between && (least == NULL || ends[i].to < least->to))
          least = &ends[i];
      }
  return least == NULL ? n - 1 : (uint32_t) (least - ends);
}

/* False if `from` is the end to evict. */
static bool
add_end (struct quarantine_suspect *suspect, const struct quarantine_end *from)
{
  struct quarantine_end ends[QUARANTINE_ENDS_KEPT + 1];
  uint32_t least;

  if (suspect->n_ends < QUARANTINE_ENDS_KEPT)
    {
      suspect->ends[suspect->n_ends++] = *from;
      return true;
    }
  memcpy (ends, suspect->ends, sizeof suspect->ends);
  ends[QUARANTINE_ENDS_KEPT] = *from;
  least = least_needed (ends, QUARANTINE_ENDS_KEPT + 1);
  if (least == QUARANTINE_ENDS_KEPT)
    return false;
  suspect->ends[least] = *from;
  return true;
}

static bool
merge_end (struct quarantine_suspect *suspect, const struct quarantine_end *from)
{
  struct quarantine_end *end = find_end (suspect, from->incarnation);
  bool news;

  if (end != NULL)
    {
      news = from->taken_back && !end->taken_back;
      end->taken_back = end->taken_back || from->taken_back;
      return news;
    }
  return add_end (suspect, from);
}

bool
quarantine_clear (struct quarantine_suspect *suspect)
{
  bool any = false;

  for (uint32_t i = 0; i < suspect->n_ends; i++)
    {
      any = any || !suspect->ends[i].taken_back;
      suspect->ends[i].taken_back = true;
    }
  return any;
}

bool
quarantine_take_back (struct quarantine_suspect *suspect, uint64_t incarnation, int64_t alive)
{
  struct quarantine_end *end = find_end (suspect, incarnation);

  if (end == NULL || end->taken_back || end->to > alive)
    return false;
  end->taken_back = true;
  return true;
}

/* ---- suspects ---- */

static void
drop (struct quarantine *quarantine, struct quarantine_suspect *suspect)
{
  *suspect = quarantine->suspects[--quarantine->n];
}

/* The suspect to evict: of those that may still be sent, the one with the fewest counted ends;
 * among equals the least recently seen.  NULL if there is none. */
static struct quarantine_suspect *
least_suspected (struct quarantine *quarantine, const char *organisation, int64_t now)
{
  struct quarantine_suspect *least = NULL;
  uint32_t least_count = QUARANTINE_ENDS;

  for (uint32_t i = 0; i < quarantine->n; i++)
    {
      struct quarantine_suspect *suspect = &quarantine->suspects[i];
      uint32_t count = quarantine_count (suspect, now);

      if (organisation != NULL && strcmp (suspect->organisation, organisation) != 0)
        continue;
      if (count < least_count
          || (least != NULL && count == least_count && suspect->seen < least->seen))
        {
          least = suspect;
          least_count = count;
        }
    }
  return least;
}

static uint32_t
count_of (const struct quarantine *quarantine, const char *organisation)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < quarantine->n; i++)
    n += strcmp (quarantine->suspects[i].organisation, organisation) == 0 ? 1 : 0;
  return n;
}

static bool
grow (struct quarantine *quarantine)
{
  uint32_t room = quarantine->room == 0 ? FIRST_ROOM : 2 * quarantine->room;
  struct quarantine_suspect *suspects;

  if (quarantine->n < quarantine->room)
    return true;
  suspects = talloc_realloc (quarantine, quarantine->suspects, struct quarantine_suspect, room);
  if (suspects == NULL)
    return false;
  quarantine->suspects = suspects;
  quarantine->room = room;
  return true;
}

static bool
make_room (struct quarantine *quarantine, const char *organisation, int64_t now)
{
  struct quarantine_suspect *least = NULL;

  if (count_of (quarantine, organisation) >= QUARANTINE_OF_ONE_MAX)
    least = least_suspected (quarantine, organisation, now);
  else if (quarantine->n >= QUARANTINE_SUSPECTS_MAX)
    least = least_suspected (quarantine, NULL, now);
  else
    return grow (quarantine);
  if (least == NULL)
    return false;
  drop (quarantine, least);
  return true;
}

/* Adds a suspect without any ends or trials. */
static bool
add (struct quarantine *quarantine,
     const struct quarantine_suspect *from,
     int64_t now,
     uint32_t *place)
{
  struct quarantine_suspect fresh = *from;

  fresh.n_ends = 0;
  fresh.trials = 0;
  fresh.running = 0;
  fresh.told = 0;
  fresh.to_be_told = false;
  if (!make_room (quarantine, from->organisation, now))
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
  bool news = false;

  *out = NULL;
  if (now - from->seen >= QUARANTINE_KEEP
      || (place == quarantine->n && !add (quarantine, from, now, &place)))
    return false;
  suspect = &quarantine->suspects[place];
  for (uint32_t i = 0; i < from->n_ends; i++)
    news = merge_end (suspect, &from->ends[i]) || news;
  if (from->trials > suspect->trials)
    {
      suspect->trials = from->trials;
      suspect->tried = from->tried;
      news = true;
    }
  /* Only in steps, because the times that hosts send each other differ by the message delay. */
  if (from->seen > suspect->seen + SEEN_STEP)
    {
      suspect->seen = from->seen;
      news = true;
    }
  if (news)
    suspect->told = now;
  *out = suspect;
  return news;
}

static int64_t
last_end (const struct quarantine_suspect *suspect)
{
  int64_t last = suspect->tried;

  for (uint32_t i = 0; i < suspect->n_ends; i++)
    if (suspect->ends[i].to > last)
      last = suspect->ends[i].to;
  return last;
}

/* None of its ends counts now or will count later.  A suspect that was once held is kept as
 * cleared, because a host that was cut off may still hold it. */
static bool
is_settled (const struct quarantine_suspect *suspect, int64_t now)
{
  return suspect->n_ends < QUARANTINE_ENDS && quarantine_count (suspect, now) == 0
         && now - last_end (suspect) > QUARANTINE_WINDOW;
}

void
quarantine_expire (struct quarantine *quarantine, int64_t now)
{
  uint32_t i = 0;

  while (i < quarantine->n)
    if (now - quarantine->suspects[i].seen >= QUARANTINE_KEEP
        || is_settled (&quarantine->suspects[i], now))
      drop (quarantine, &quarantine->suspects[i]);
    else
      i++;
}

/* ---- verdicts ---- */

static bool
is_due_for_try (const struct quarantine_suspect *suspect, int64_t now)
{
  static const int64_t waits[QUARANTINE_TRIALS_MAX] = { QUARANTINE_FIRST_TRIAL,
                                                        QUARANTINE_SECOND_TRIAL };

  return suspect->trials < QUARANTINE_TRIALS_MAX
         && now - last_end (suspect) >= waits[suspect->trials];
}

enum quarantine_verdict
quarantine_judge (const struct quarantine_suspect *suspect, bool tries_here, int64_t now)
{
  uint32_t count = suspect == NULL ? 0 : quarantine_count (suspect, now);

  if (count == 0)
    return QUARANTINE_PASS;
  if (count >= QUARANTINE_ENDS)
    return tries_here && is_due_for_try (suspect, now) ? QUARANTINE_TRY : QUARANTINE_REFUSE;
  if (count == QUARANTINE_ENDS - 1 && suspect->running > 0)
    return QUARANTINE_WAIT;
  return QUARANTINE_APART;
}

/* ---- comparing tables ---- */

bool
quarantine_is_shared (const struct quarantine_suspect *suspect)
{
  return suspect->n_ends >= 2;
}

uint64_t
quarantine_summary (const struct quarantine *quarantine, int64_t now)
{
  uint64_t summary = 0;

  for (uint32_t i = 0; i < quarantine->n; i++)
    {
      const struct quarantine_suspect *suspect = &quarantine->suspects[i];

      for (uint32_t j = 0; j < suspect->n_ends && quarantine_count (suspect, now) >= 2; j++)
        if (!suspect->ends[j].taken_back)
          summary ^= XXH3_64bits_withSeed (suspect->digest.bytes, REQUEST_DIGEST_SIZE,
                                           suspect->ends[j].incarnation + suspect->trials);
    }
  return summary;
}
