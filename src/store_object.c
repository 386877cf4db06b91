/* The set of resources. */
#include "store_object.h"
#include <string.h>
#include <talloc.h>

#define OBJECT_FIELDS 6
#define OBJECTS_FIRST_CAPACITY 16
#define OBJECTS_LOAD_MAX 65536

void
store_objects_init (struct store_objects *objects, void *parent)
{
  *objects = (struct store_objects){ .parent = parent };
}

void
store_objects_clear (struct store_objects *objects)
{
  int kind;
  uint32_t i;

  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    {
      for (i = 0; i < objects->kinds[kind].count; i++)
        talloc_free (objects->kinds[kind].sorted[i]);
      talloc_free (objects->kinds[kind].sorted);
    }
  store_objects_init (objects, objects->parent);
}

/* The position of the first object whose name does not sort before `name`. */
static uint32_t
find_position (const struct store_objects *objects, enum resource_kind kind, const char *name)
{
  uint32_t low = 0;
  uint32_t high = objects->kinds[kind].count;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (strcmp (objects->kinds[kind].sorted[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct store_object *
object_at (const struct store_objects *objects, enum resource_kind kind, uint32_t position)
{
  return position < objects->kinds[kind].count ? objects->kinds[kind].sorted[position] : NULL;
}

struct store_object *
store_objects_find (const struct store_objects *objects, enum resource_kind kind, const char *name)
{
  struct store_object *object = object_at (objects, kind, find_position (objects, kind, name));

  return object != NULL && strcmp (object->name, name) == 0 ? object : NULL;
}

struct store_object *
store_objects_next (const struct store_objects *objects, enum resource_kind kind, const char *name)
{
  uint32_t position = find_position (objects, kind, name);
  struct store_object *object = object_at (objects, kind, position);

  if (object != NULL && strcmp (object->name, name) == 0)
    object = object_at (objects, kind, position + 1);
  return object;
}

struct store_object *
store_objects_add (struct store_objects *objects, enum resource_kind kind, const char *name)
{
  uint32_t position = find_position (objects, kind, name);
  uint32_t count = objects->kinds[kind].count;
  struct store_object **sorted = objects->kinds[kind].sorted;
  struct store_object *object;

  if (count == objects->kinds[kind].capacity)
    {
      uint32_t capacity = count == 0 ? OBJECTS_FIRST_CAPACITY : count * 2;

      sorted = talloc_realloc (objects->parent, sorted, struct store_object *, capacity);
      /* Abort: a replica that skipped an entry would diverge from the others. */
      INVARIANT (sorted != NULL);
      objects->kinds[kind].sorted = sorted;
      objects->kinds[kind].capacity = capacity;
    }
  object = talloc_zero (objects->parent, struct store_object);
  INVARIANT (object != NULL);
  object->kind = kind;
  object->name = talloc_strdup (object, name);
  INVARIANT (object->name != NULL);
  memmove (sorted + position + 1, sorted + position, (count - position) * sizeof (void *));
  sorted[position] = object;
  objects->kinds[kind].count = count + 1;
  return object;
}

void
store_objects_remove (struct store_objects *objects, struct store_object *object)
{
  enum resource_kind kind = object->kind;
  uint32_t position = find_position (objects, kind, object->name);
  struct store_object **sorted = objects->kinds[kind].sorted;
  uint32_t after = objects->kinds[kind].count - position - 1;

  memmove (sorted + position, sorted + position + 1, after * sizeof (void *));
  objects->kinds[kind].count--;
  talloc_free (object);
}

static bool
refers_to (const struct store_object *object, enum resource_kind kind, const char *name)
{
  uint32_t i;

  for (i = 0; i < object->n_references; i++)
    if (object->references[i].kind == kind && strcmp (object->references[i].name, name) == 0)
      return true;
  return false;
}

const struct store_object *
store_objects_find_referrer (const struct store_objects *objects,
                             enum resource_kind kind,
                             const char *name)
{
  int other;
  uint32_t i;

  for (other = 0; other < RESOURCE_KIND_COUNT; other++)
    for (i = 0; i < objects->kinds[other].count; i++)
      if (refers_to (objects->kinds[other].sorted[i], kind, name))
        return objects->kinds[other].sorted[i];
  return NULL;
}

void
store_document_write (const struct store_document *document, struct bytes *out)
{
  bytes_append_format (out,
                       "{\"kind\":\"%s\",\"metadata\":{\"name\":\"%s\",\"generation\":%llu,"
                       "\"resourceVersion\":%llu},\"spec\":",
                       resource_kind_plural (document->kind), document->name,
                       (unsigned long long) document->generation,
                       (unsigned long long) document->revision);
  bytes_append_text (out, document->spec);
  bytes_append_text (out, ",\"status\":");
  bytes_append_text (out, document->status == NULL ? "{}" : document->status);
  bytes_append_text (out, "}");
}

void
store_object_write (const struct store_object *object, struct bytes *out)
{
  const struct store_document document = {
    .kind = object->kind,
    .name = object->name,
    .generation = object->generation,
    .revision = object->revision,
    .spec = object->spec,
    .status = object->status,
  };

  store_document_write (&document, out);
}

static void
save_object (const struct store_object *object, struct bytes *out)
{
  uint32_t i;

  pack_array (out, OBJECT_FIELDS);
  pack_text (out, object->name);
  pack_uint (out, object->generation);
  pack_uint (out, object->revision);
  pack_binary (out, object->spec, strlen (object->spec));
  pack_binary (out, object->status, object->status == NULL ? 0 : strlen (object->status));
  pack_array (out, object->n_references * 2);
  for (i = 0; i < object->n_references; i++)
    {
      pack_uint (out, object->references[i].kind);
      pack_text (out, object->references[i].name);
    }
}

void
store_objects_save (const struct store_objects *objects, struct bytes *out)
{
  int kind;
  uint32_t i;

  pack_array (out, RESOURCE_KIND_COUNT);
  for (kind = 0; kind < RESOURCE_KIND_COUNT; kind++)
    {
      pack_array (out, objects->kinds[kind].count);
      for (i = 0; i < objects->kinds[kind].count; i++)
        save_object (objects->kinds[kind].sorted[i], out);
    }
}

static char *
load_text (struct store_object *object, struct pack_reader *in)
{
  size_t length;
  const char *text = store_read_data (in, &length);

  return length == 0 ? NULL : talloc_strndup (object, text, length);
}

static void
load_object (struct store_objects *objects, enum resource_kind kind, struct pack_reader *in)
{
  char name[RESOURCE_NAME_SIZE];
  struct store_object *object;
  uint32_t i;

  if (pack_read_array (in, OBJECT_FIELDS) != OBJECT_FIELDS)
    in->failed = true;
  pack_read_text (in, name, sizeof name);
  if (in->failed || store_objects_find (objects, kind, name) != NULL)
    {
      in->failed = true;
      return;
    }
  object = store_objects_add (objects, kind, name);
  object->generation = pack_read_uint (in, UINT64_MAX);
  object->revision = pack_read_uint (in, UINT64_MAX);
  object->spec = load_text (object, in);
  object->status = load_text (object, in);
  object->n_references = pack_read_array (in, RESOURCE_REFERENCES_MAX * 2) / 2;
  object->references = talloc_zero_array (object, struct resource_reference, object->n_references);
  if (object->spec == NULL || object->references == NULL)
    in->failed = true;
  for (i = 0; i < object->n_references && !in->failed; i++)
    {
      object->references[i].kind =
          (enum resource_kind) pack_read_uint (in, RESOURCE_KIND_COUNT - 1);
      pack_read_text (in, object->references[i].name, sizeof object->references[i].name);
    }
}

void
store_objects_load (struct store_objects *objects, struct pack_reader *in)
{
  int kind;
  uint32_t count;
  uint32_t i;

  if (pack_read_array (in, RESOURCE_KIND_COUNT) != RESOURCE_KIND_COUNT)
    in->failed = true;
  for (kind = 0; kind < RESOURCE_KIND_COUNT && !in->failed; kind++)
    {
      count = pack_read_array (in, OBJECTS_LOAD_MAX);
      for (i = 0; i < count && !in->failed; i++)
        load_object (objects, (enum resource_kind) kind, in);
    }
}
