/* The set of resources: sorted by name within each kind, so that lists, pages and snapshots have
 * the same order on every host. */
#ifndef STORE_OBJECT_H
#define STORE_OBJECT_H

#include "bytes.h"
#include "decls.h"
#include "resource_parse.h"
#include "store_pack.h"

BEGIN_DECLS

struct store_object
{
  enum resource_kind kind;
  char *name;
  uint64_t generation; /* of the spec, starting at 1 */
  uint64_t revision;   /* metadata.resourceVersion */
  char *spec;          /* compact JSON */
  char *status;        /* compact JSON; NULL until a status is reported */
  struct resource_reference *references;
  uint32_t n_references;
};

struct store_objects
{
  void *parent;
  struct
  {
    struct store_object **sorted;
    uint32_t count;
    uint32_t capacity;
  } kinds[RESOURCE_KIND_COUNT];
};

void store_objects_init (struct store_objects *objects, void *parent);
void store_objects_clear (struct store_objects *objects);

/* NULL when there is none. */
struct store_object *store_objects_find (const struct store_objects *objects,
                                         enum resource_kind kind,
                                         const char *name);

/* The first object whose name sorts after `name`, which need not exist; "" gives the first. */
struct store_object *store_objects_next (const struct store_objects *objects,
                                         enum resource_kind kind,
                                         const char *name);

/* Add an object that has only a name, which must not exist yet. */
struct store_object *store_objects_add (struct store_objects *objects,
                                        enum resource_kind kind,
                                        const char *name);
void store_objects_remove (struct store_objects *objects, struct store_object *object);

/* An object that refers to the one named; NULL when none does. */
const struct store_object *store_objects_find_referrer (const struct store_objects *objects,
                                                        enum resource_kind kind,
                                                        const char *name);

/* The fields of a resource shown to operators, current or as of a change.  The texts belong to the
 * caller. */
struct store_document
{
  enum resource_kind kind;
  const char *name;
  uint64_t generation;
  uint64_t revision;
  const char *spec;   /* compact JSON */
  const char *status; /* compact JSON; NULL is written as {} */
};

/* Append the JSON object `{"kind", "metadata", "spec", "status"}`. */
void store_document_write (const struct store_document *document, struct bytes *out);
void store_object_write (const struct store_object *object, struct bytes *out);

void store_objects_save (const struct store_objects *objects, struct bytes *out);
void store_objects_load (struct store_objects *objects, struct pack_reader *in);

END_DECLS

#endif
