/* The state machine of the resources. */
#include "board.h"
#include "store_private.h"
#include "text.h"
#include <talloc.h>
#include <utlist.h>

#define STORE_FORMAT 1
#define STORE_FENCE_MAX (UINT64_C (1) << 52) /* a larger number stated by a target is ignored */

/* The capacity of the board for each kind. */
static const uint32_t kind_limits[] = {
  [RESOURCE_PIPELINE] = BOARD_PIPELINES_MAX, [RESOURCE_SERVICE] = BOARD_PIPELINES_MAX,
  [RESOURCE_POOL] = BOARD_POOLS_MAX,         [RESOURCE_ORGANISATION] = BOARD_ORGANISATIONS_MAX,
  [RESOURCE_HOST] = BOARD_HOSTS_MAX,         [RESOURCE_OPERATOR] = 1024,
  [RESOURCE_ASSIGNMENT] = BOARD_TARGETS_MAX,
};

static bool
kind_is_full (const struct store *store, enum resource_kind kind)
{
  uint32_t count = store->objects.kinds[kind].count;

  /* Pipelines and services share a table of the board. */
  if (kind == RESOURCE_PIPELINE || kind == RESOURCE_SERVICE)
    count = store->objects.kinds[RESOURCE_PIPELINE].count
            + store->objects.kinds[RESOURCE_SERVICE].count;
  return count >= kind_limits[kind];
}

void
store_publish (struct store *store, const struct store_object *object, enum store_event_type type)
{
  struct store_listener *listener;
  struct store_listener *following;
  struct store_event event = {
    .revision = store->revision,
    .type = type,
    .kind = object->kind,
    .generation = object->generation,
    .spec = object->spec,
    .status = object->status,
  };

  text_copy_truncated (event.name, sizeof event.name, object->name);
  store_history_add (store->history, &event);
  LL_FOREACH_SAFE (store->listeners, listener, following)
  listener->ops->changed (listener, &event);
}

void
store_publish_replaced (struct store *store)
{
  struct store_listener *listener;
  struct store_listener *following;

  store_history_reset (store->history, store->revision);
  LL_FOREACH_SAFE (store->listeners, listener, following)
  listener->ops->replaced (listener);
}

/* A service and a pipeline with the same name would be the same entry of the board. */
static bool
name_is_taken (const struct store *store, const struct store_change *change)
{
  if (change->kind == RESOURCE_PIPELINE)
    return store_objects_find (&store->objects, RESOURCE_SERVICE, change->name) != NULL;
  if (change->kind == RESOURCE_SERVICE)
    return store_objects_find (&store->objects, RESOURCE_PIPELINE, change->name) != NULL;
  return false;
}

/* The name of the first reference that does not resolve; NULL when all do. */
static const char *
missing_reference (const struct store *store, const struct store_change *change)
{
  uint32_t i;

  for (i = 0; i < change->n_references; i++)
    if (store_objects_find (&store->objects, change->references[i].kind, change->references[i].name)
        == NULL)
      return change->references[i].name;
  return NULL;
}

static enum store_verdict
check_change (const struct store *store,
              const struct store_change *change,
              const struct store_object *object,
              const char **other)
{
  const struct store_object *referrer;

  if (change->has_version && change->version != (object == NULL ? 0 : object->revision))
    return STORE_CONFLICT;
  if (change->op != STORE_PUT && object == NULL)
    return STORE_NOT_FOUND;
  if (change->op == STORE_DELETE)
    {
      referrer = store_objects_find_referrer (&store->objects, change->kind, change->name);
      *other = referrer == NULL ? NULL : referrer->name;
      return referrer == NULL ? STORE_DELETED : STORE_REFERENCED;
    }
  if (change->op == STORE_STATUS)
    return STORE_CHANGED;
  if (object == NULL && name_is_taken (store, change))
    return STORE_TAKEN;
  if (object == NULL && kind_is_full (store, change->kind))
    return STORE_FULL;
  *other = missing_reference (store, change);
  if (*other != NULL)
    return STORE_MISSING;
  return object == NULL ? STORE_CREATED : STORE_CHANGED;
}

/* Replace a text; false when it is unchanged. */
static bool
set_text (struct store_object *object, char **text, const struct store_change *change)
{
  if (*text != NULL && strlen (*text) == change->length
      && memcmp (*text, change->text, change->length) == 0)
    return false;
  talloc_free (*text);
  *text = talloc_strndup (object, change->text, change->length);
  INVARIANT (*text != NULL);
  return true;
}

static void
set_references (struct store_object *object, const struct store_change *change)
{
  talloc_free (object->references);
  object->references =
      talloc_memdup (object, change->references, change->n_references * sizeof *change->references);
  INVARIANT (object->references != NULL || change->n_references == 0);
  object->n_references = change->n_references;
}

/* Apply a change that check_change() has accepted. */
static struct store_object *
apply_checked (struct store *store,
               const struct store_change *change,
               struct store_object *object,
               enum store_verdict *verdict)
{
  bool changed;

  if (*verdict == STORE_DELETED)
    {
      store->revision++;
      object->revision = store->revision;
      store_publish (store, object, STORE_EVENT_DELETED);
      return object;
    }
  if (object == NULL)
    object = store_objects_add (&store->objects, change->kind, change->name);
  if (change->op == STORE_STATUS)
    changed = set_text (object, &object->status, change);
  else
    changed = set_text (object, &object->spec, change);
  if (!changed)
    {
      *verdict = STORE_UNCHANGED;
      return object;
    }
  store->revision++;
  object->revision = store->revision;
  if (change->op == STORE_PUT)
    {
      object->generation++;
      set_references (object, change);
    }
  store_publish (store, object,
                 *verdict == STORE_CREATED ? STORE_EVENT_ADDED : STORE_EVENT_MODIFIED);
  return object;
}

static enum store_verdict
apply_change (struct store *store, const struct store_change *change, struct bytes *result)
{
  struct store_object *object = store_objects_find (&store->objects, change->kind, change->name);
  const char *other = NULL;
  struct store_answer answer = { .verdict = check_change (store, change, object, &other) };
  struct bytes text;

  bytes_init (&text, store);
  if (answer.verdict <= STORE_DELETED)
    object = apply_checked (store, change, object, &answer.verdict);
  if (answer.verdict <= STORE_CONFLICT && object != NULL)
    store_object_write (object, &text);
  else if (other != NULL)
    bytes_append_text (&text, other);
  if (answer.verdict == STORE_DELETED)
    store_objects_remove (&store->objects, object);
  answer.revision = store->revision;
  answer.text = text.data;
  answer.length = text.length;
  store_answer_pack (&answer, result);
  bytes_clear (&text);
  return answer.verdict;
}

static void
answer_only (const struct store *store, enum store_verdict verdict, struct bytes *result)
{
  struct store_answer answer = { .verdict = verdict, .revision = store->revision };

  store_answer_pack (&answer, result);
}

/* The fencing number is above all issued before, and above the one that a target has seen. */
static void
answer_fence (struct store *store, const struct store_change *change, struct bytes *result)
{
  struct store_answer answer = { .verdict = STORE_CHANGED };

  if (change->version > store->fence && change->version < STORE_FENCE_MAX)
    store->fence = change->version;
  answer.revision = ++store->fence;
  store_answer_pack (&answer, result);
}

/* Answer to a known change id: its first answer, or a refusal when the body differs. */
static void
answer_resent (const struct store *store,
               const struct bytes *first,
               bool same_body,
               struct bytes *result)
{
  struct store_answer answer;

  if (!same_body)
    {
      answer_only (store, STORE_OTHER_BODY, result);
      return;
    }
  INVARIANT (store_answer_unpack (&answer, first->data, first->length) == STATUS_OK);
  answer.resent = true;
  store_answer_pack (&answer, result);
}

static void
apply (
    struct machine *machine, uint64_t index, const void *entry, size_t length, struct bytes *result)
{
  struct store *store = (struct store *) machine;
  struct store_change change;
  const struct bytes *first;
  enum store_verdict verdict;
  size_t begin = result->length;
  bool same_body = false;

  (void) index;
  if (store_change_unpack (&change, entry, length) != STATUS_OK)
    {
      answer_only (store, STORE_MALFORMED, result);
      return;
    }
  store_clock_observe (&store->clock, change.host, change.time_ms);
  store_ids_expire (store->ids, store->clock.now_ms);
  if (change.change_id[0] != '\0')
    {
      first = store_ids_find (store->ids, change.change_id, change.body_hash, &same_body);
      if (first != NULL || store_ids_is_full (store->ids))
        {
          if (first != NULL)
            answer_resent (store, first, same_body, result);
          else
            answer_only (store, STORE_FULL, result);
          return;
        }
    }
  if (change.op == STORE_FENCE)
    {
      answer_fence (store, &change, result);
      return;
    }
  verdict = apply_change (store, &change, result);
  if (change.change_id[0] != '\0' && verdict != STORE_FULL
      && !(verdict == STORE_CONFLICT && change.retry_on_conflict))
    store_ids_add (store->ids, change.change_id, change.body_hash, store->clock.now_ms,
                   result->data + begin, result->length - begin);
}

static enum status
save (struct machine *machine, struct bytes *out)
{
  const struct store *store = (const struct store *) machine;

  pack_uint (out, STORE_FORMAT);
  pack_uint (out, store->revision);
  pack_uint (out, store->fence);
  store_clock_save (&store->clock, out);
  store_objects_save (&store->objects, out);
  store_ids_save (store->ids, out);
  return bytes_has_failed (out) ? status_fail (STATUS_NO_MEMORY, "no memory for a snapshot")
                                : STATUS_OK;
}

static enum status
load (struct machine *machine, uint64_t index, const void *data, size_t length)
{
  struct store *store = (struct store *) machine;
  struct store_objects objects;
  struct pack_reader in;
  enum status status;

  (void) index;
  store_objects_init (&objects, store);
  pack_reader_init (&in, data, length);
  if (pack_read_uint (&in, UINT64_MAX) != STORE_FORMAT)
    return status_fail (STATUS_UNSUPPORTED, "snapshot of resources has an unsupported format");
  store->revision = pack_read_uint (&in, UINT64_MAX);
  store->fence = pack_read_uint (&in, UINT64_MAX);
  store_clock_load (&store->clock, &in);
  store_objects_load (&objects, &in);
  store_ids_clear (store->ids);
  store_ids_load (store->ids, &in);
  store_objects_clear (&store->objects);
  store->objects = objects;
  status = store_read_end (&in);
  store_publish_replaced (store);
  return status;
}

static const struct machine_ops machine_ops = { .apply = apply, .save = save, .load = load };

struct store *
store_new (void *parent, const struct store_config *config)
{
  struct store *store = talloc_zero (parent, struct store);
  struct store_config *own;

  if (store == NULL)
    return NULL;
  own = &store->config;
  *own = *config;
  if (own->change_ids_max == 0)
    own->change_ids_max = STORE_CHANGE_IDS_MAX;
  if (own->change_id_bytes_max == 0)
    own->change_id_bytes_max = STORE_CHANGE_ID_BYTES_MAX;
  if (own->change_id_retention_ms == 0)
    own->change_id_retention_ms = STORE_CHANGE_ID_RETENTION_MS;
  if (own->history_events_max == 0)
    own->history_events_max = STORE_HISTORY_EVENTS_MAX;
  if (own->history_bytes_max == 0)
    own->history_bytes_max = STORE_HISTORY_BYTES_MAX;
  store->machine.ops = &machine_ops;
  store_objects_init (&store->objects, store);
  store_objects_init (&store->incoming, store);
  store->ids = store_ids_new (store, &(struct store_ids_config){
                                         .count_max = own->change_ids_max,
                                         .bytes_max = own->change_id_bytes_max,
                                         .retention_ms = own->change_id_retention_ms,
                                     });
  store->history = store_history_new (store, own->history_events_max, own->history_bytes_max);
  if (store->ids == NULL || store->history == NULL)
    {
      talloc_free (store);
      return NULL;
    }
  return store;
}

struct machine *
store_machine (struct store *store)
{
  return &store->machine;
}

uint64_t
store_revision (const struct store *store)
{
  return store->revision;
}

const struct store_object *
store_find (const struct store *store, enum resource_kind kind, const char *name)
{
  return store_objects_find (&store->objects, kind, name);
}

const struct store_object *
store_next (const struct store *store, enum resource_kind kind, const char *name)
{
  return store_objects_next (&store->objects, kind, name);
}

uint32_t
store_count (const struct store *store, enum resource_kind kind)
{
  return store->objects.kinds[kind].count;
}

const struct store_history *
store_get_history (const struct store *store)
{
  return store->history;
}

void
store_add_listener (struct store *store, struct store_listener *listener)
{
  LL_PREPEND (store->listeners, listener);
}

void
store_remove_listener (struct store *store, struct store_listener *listener)
{
  LL_DELETE (store->listeners, listener);
}

json_t *
store_describe (const struct store *store)
{
  json_t *counts = json_object ();
  int kind;

  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    json_object_set_new (counts, resource_kind_plural ((enum resource_kind) kind),
                         json_integer (store->objects.kinds[kind].count));
  return json_pack ("{s:I,s:I,s:I,s:I,s:o}", "revision", (json_int_t) store->revision,
                    "oldest_watch", (json_int_t) store_history_oldest (store->history),
                    "change_ids", (json_int_t) store_ids_count (store->ids), "log_time_ms",
                    (json_int_t) store->clock.now_ms, "objects", counts);
}
