/* The registry of targets. */
#include "registry.h"
#include "text.h"
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define REGISTRATION_FIELDS 10
#define VERSION_FIELDS 4

static const char *const state_texts[] = {
#define X(name, text) [REGISTRY_##name] = text,
  REGISTRY_STATE_LIST (X)
#undef X
};

const char *
registry_state_text (enum registry_state state)
{
  return state_texts[state];
}

static int
free_registry (struct registry *registry)
{
  HASH_CLEAR (hh_by_hash, registry->by_hash);
  HASH_CLEAR (hh, registry->targets);
  return 0;
}

struct registry *
registry_new (void *parent)
{
  struct registry *registry = talloc_zero (parent, struct registry);

  if (registry != NULL)
    talloc_set_destructor (registry, free_registry);
  return registry;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
struct registry_target *
registry_find (const struct registry *registry, const char *id)
{
  struct registry_target *target;

  HASH_FIND (hh, registry->targets, id, strlen (id), target);
  return target;
}

struct registry_target *
registry_find_by_hash (const struct registry *registry, uint64_t id_hash)
{
  struct registry_target *target;

  HASH_FIND (hh_by_hash, registry->by_hash, &id_hash, sizeof id_hash, target);
  return target;
}
/* NOLINTEND(readability-function-size) */

uint64_t
registry_id_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

static void
bump_revision (struct registry *registry, struct registry_target *target)
{
  target->revision = ++registry->revision;
}

/* Addresses are reused: of two targets at one address, the one whose first announcement arrived
 * later owns it now.  The other becomes GONE, so that its delayed renewals do not bring it back. */
static void
resolve_address (struct registry *registry, struct registry_target *newcomer)
{
  struct registry_target *target;
  struct registry_target *next;

  HASH_ITER (hh, registry->targets, target, next)
    {
      if (target == newcomer || target->registration.state == REGISTRY_GONE
          || strcmp (target->registration.address, newcomer->registration.address) != 0)
        continue;
      if (target->first_heard_at > newcomer->first_heard_at)
        {
          newcomer->registration.state = REGISTRY_GONE;
          continue;
        }
      target->registration.state = REGISTRY_GONE;
      bump_revision (registry, target);
    }
}

/* ---- cold targets ---- */

/* An instant that is later by `left`, which may be any number. */
static int64_t
add_time (int64_t from, int64_t left)
{
  return from < 0 || left < INT64_MAX - from ? from + left : INT64_MAX;
}

/* Takes the cold time of the first registration of an incarnation, received at `heard_at`. */
static void
begin_cold (struct registry_target *target, int64_t heard_at)
{
  const struct registry_registration *held = &target->registration;

  target->cold_sequence = held->sequence;
  target->cold_heard_at = heard_at;
  target->cold_answered_at = 0;
  target->cold_until = held->warmup_remaining > 0 ? add_time (heard_at, held->warmup_remaining) : 0;
  target->cold_pushed_until = target->cold_until;
}

/* Whether the target is cold anew, or for longer, than when that last counted as a change. */
static bool
is_colder (struct registry_target *target, int64_t heard_at)
{
  if (target->cold_until <= heard_at
      || target->cold_until - target->cold_pushed_until <= REGISTRY_COLD_SLACK)
    return false;
  target->cold_pushed_until = target->cold_until;
  return true;
}

/* A registration that was under way longer than a newer one still counts if no other is known. */
static bool
merge_cold (struct registry_target *target,
            const struct registry_registration *registration,
            int64_t heard_at)
{
  if (registration->is_short || registration->sequence <= target->cold_sequence)
    return false;
  target->cold_sequence = registration->sequence;
  target->cold_heard_at = heard_at;
  if (heard_at < target->cold_answered_at)
    return false;
  target->cold_until = add_time (heard_at, registration->warmup_remaining);
  return is_colder (target, heard_at);
}

void
registry_hear_cold (struct registry *registry,
                    struct registry_target *target,
                    int64_t left,
                    int64_t asked_at,
                    int64_t now)
{
  int64_t until = add_time (now, left);

  if ((asked_at < target->cold_heard_at || asked_at < target->cold_answered_at)
      && until <= target->cold_until)
    return;
  target->cold_answered_at = asked_at;
  target->cold_until = until;
  if (is_colder (target, now))
    bump_revision (registry, target);
}

bool
registry_hear_leaving (struct registry *registry, struct registry_target *target)
{
  if (target->registration.state != REGISTRY_READY)
    return false;
  target->registration.state = REGISTRY_LEAVING;
  bump_revision (registry, target);
  return true;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static enum registry_merge_result
add (struct registry *registry,
     const struct registry_registration *registration,
     int64_t age,
     int64_t now,
     struct registry_target **out)
{
  struct registry_target *target = talloc_zero (registry, struct registry_target);

  *out = target;
  if (target == NULL)
    return REGISTRY_MERGE_NONE;
  target->registration = *registration;
  target->last_heard_at = now - age;
  target->first_heard_at = now - age;
  target->id_hash = registry_id_hash (registration->id);
  target->version_sequence = registration->sequence;
  begin_cold (target, now - age);
  HASH_ADD_STR (registry->targets, registration.id, target);
  HASH_ADD (hh_by_hash, registry->by_hash, id_hash, sizeof target->id_hash, target);
  bump_revision (registry, target);
  if (registration->state != REGISTRY_GONE)
    resolve_address (registry, target);
  return REGISTRY_MERGE_ADDED;
}
/* NOLINTEND(readability-function-size) */

/* Compares the start times of a registration and the one held: below 0 when earlier, above 0 when
 * later.  When either reports no start time they compare equal, and the sequence alone decides. */
static int
compare_starts (const struct registry_registration *registration,
                const struct registry_registration *held)
{
  if (registration->started_unix_ms == 0 || held->started_unix_ms == 0
      || registration->started_unix_ms == held->started_unix_ms)
    return 0;
  return registration->started_unix_ms < held->started_unix_ms ? -1 : 1;
}

/* Replaces the registration of a target that restarted with the same identity. */
static enum registry_merge_result
replace_registration (struct registry *registry,
                      struct registry_target *target,
                      const struct registry_registration *registration,
                      int64_t age,
                      int64_t now)
{
  target->registration = *registration;
  target->version_sequence = registration->sequence;
  target->other_version_until = now;
  target->last_heard_at = now - age;
  target->first_heard_at = now - age;
  target->expired = false;
  begin_cold (target, now - age);
  bump_revision (registry, target);
  if (registration->state != REGISTRY_GONE)
    resolve_address (registry, target);
  return REGISTRY_MERGE_CHANGED;
}

/* Whether the version held is replaced by one that a registration with this sequence named; it is
 * then to be reported as a change. */
static bool
set_version (struct registry_target *target, const char *name, uint64_t sequence, int64_t now)
{
  struct registry_registration *held = &target->registration;
  bool changed;

  if (held->version_known && sequence < target->version_sequence)
    return false;
  changed = !held->version_known || strcmp (held->version, name) != 0;
  if (held->version_known && changed)
    target->other_version_until = now;
  target->version_sequence = sequence;
  held->version_known = true;
  text_copy_truncated (held->version, sizeof held->version, name);
  return changed;
}

void
registry_merge_version (struct registry *registry,
                        const struct registry_version *version,
                        int64_t now)
{
  struct registry_target *target = registry_find_by_hash (registry, version->id_hash);

  if (target == NULL || version->started != target->registration.started_unix_ms)
    return;
  if (set_version (target, version->name, version->sequence, now))
    bump_revision (registry, target);
}

const char *
registry_single_version (const struct registry *registry, const char *pool, int64_t now)
{
  const char *single = NULL;

  for (const struct registry_target *at = registry->targets; at != NULL; at = at->hh.next)
    {
      const char *version = registry_target_version (at);
      bool changed =
          at->other_version_until != 0 && now - at->other_version_until <= REGISTRY_RETENTION;

      if (strcmp (at->registration.pool, pool) != 0)
        continue;
      if (version == NULL || changed || (single != NULL && strcmp (version, single) != 0))
        return NULL;
      single = version;
    }
  return single;
}

enum registry_merge_result
registry_merge (struct registry *registry,
                const struct registry_registration *registration,
                int64_t age,
                int64_t now,
                struct registry_target **out)
{
  struct registry_target *target = registry_find (registry, registration->id);
  bool changed;

  *out = target;
  if (target == NULL)
    return add (registry, registration, age, now, out);
  if (compare_starts (registration, &target->registration) < 0)
    return REGISTRY_MERGE_STALE;
  if (compare_starts (registration, &target->registration) > 0)
    return replace_registration (registry, target, registration, age, now);
  if (target->registration.started_unix_ms == 0)
    target->registration.started_unix_ms = registration->started_unix_ms;
  if (now - age > target->last_heard_at && registration->sequence >= target->registration.sequence)
    target->last_heard_at = now - age;
  changed = merge_cold (target, registration, now - age);
  /* The state only moves forward, whatever the sequence: the end of a target may be reported
   * without a new sequence. */
  if (registration->sequence < target->registration.sequence
      && registration->state <= target->registration.state && !changed)
    return REGISTRY_MERGE_STALE;
  changed = changed || registration->state > target->registration.state;
  if (registration->version_known
      && set_version (target, registration->version, registration->sequence, now))
    changed = true;
  if (registration->state > target->registration.state)
    target->registration.state = registration->state;
  if (registration->sequence > target->registration.sequence)
    {
      target->registration.sequence = registration->sequence;
      target->registration.slots = registration->slots;
      target->registration.warmup_remaining = registration->warmup_remaining;
      if (target->expired && target->registration.state != REGISTRY_GONE)
        {
          target->expired = false;
          changed = true;
        }
    }
  if (!changed)
    return REGISTRY_MERGE_NONE;
  bump_revision (registry, target);
  return REGISTRY_MERGE_CHANGED;
}

/* uthash: NOLINTBEGIN(readability-function-size) */
static void
free_target (struct registry *registry, struct registry_target *target)
{
  HASH_DELETE (hh_by_hash, registry->by_hash, target);
  HASH_DEL (registry->targets, target);
  talloc_free (target);
}
/* NOLINTEND(readability-function-size) */

uint32_t
registry_expire (struct registry *registry, int64_t lease, int64_t now)
{
  struct registry_target *target;
  struct registry_target *next;
  uint32_t expired = 0;

  HASH_ITER (hh, registry->targets, target, next)
    {
      if (now - target->last_heard_at > REGISTRY_RETENTION && target->user == NULL)
        {
          free_target (registry, target);
          continue;
        }
      if (target->expired || now - target->last_heard_at <= lease)
        continue;
      target->expired = true;
      bump_revision (registry, target);
      expired++;
    }
  return expired;
}

void
registry_write (const struct registry_target *target, int64_t now, struct bytes *out)
{
  const struct registry_registration *registration = &target->registration;

  pack_array (out, REGISTRATION_FIELDS);
  pack_text (out, registration->id);
  pack_uint (out, registration->started_unix_ms);
  pack_text (out, registration->pool);
  pack_text (out, registration->address);
  pack_text (out, registration->domain);
  pack_uint (out, registration->state);
  pack_uint (out, registration->sequence);
  pack_uint (out, registration->slots);
  /* The receiver counts it from the age that follows. */
  pack_uint (out, target->cold_until <= target->last_heard_at
                      ? 0
                      : (uint64_t) (target->cold_until - target->last_heard_at));
  pack_uint (out, now < target->last_heard_at ? 0 : (uint64_t) (now - target->last_heard_at));
}

bool
registry_read (struct pack_reader *in, struct registry_registration *registration, int64_t *age)
{
  registration->version_known = false;
  registration->is_short = false;
  registration->version[0] = '\0';
  if (pack_read_array (in, REGISTRATION_FIELDS) != REGISTRATION_FIELDS)
    in->failed = true;
  pack_read_text (in, registration->id, sizeof registration->id);
  registration->started_unix_ms = pack_read_uint (in, UINT64_MAX);
  pack_read_text (in, registration->pool, sizeof registration->pool);
  pack_read_text (in, registration->address, sizeof registration->address);
  pack_read_text (in, registration->domain, sizeof registration->domain);
  registration->state = (enum registry_state) pack_read_uint (in, REGISTRY_STATE_COUNT - 1);
  registration->sequence = pack_read_uint (in, UINT64_MAX);
  registration->slots = (uint32_t) pack_read_uint (in, UINT32_MAX);
  registration->warmup_remaining = (int64_t) pack_read_uint (in, INT64_MAX);
  *age = (int64_t) pack_read_uint (in, INT64_MAX);
  return pack_read_is_ok (in);
}

void
registry_write_version (const struct registry_target *target, struct bytes *out)
{
  INVARIANT (target->registration.version_known);
  pack_array (out, VERSION_FIELDS);
  pack_uint (out, target->id_hash);
  pack_uint (out, target->registration.started_unix_ms);
  pack_uint (out, target->version_sequence);
  pack_text (out, target->registration.version);
}

bool
registry_read_version (struct pack_reader *in, struct registry_version *version)
{
  if (pack_read_array (in, VERSION_FIELDS) != VERSION_FIELDS)
    in->failed = true;
  version->id_hash = pack_read_uint (in, UINT64_MAX);
  version->started = pack_read_uint (in, UINT64_MAX);
  version->sequence = pack_read_uint (in, UINT64_MAX);
  pack_read_text (in, version->name, sizeof version->name);
  return pack_read_is_ok (in);
}
