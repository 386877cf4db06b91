/* Tables of JSON fields, read into structs: the machinery under resource_parse.c. */
#ifndef RESOURCE_FIELD_H
#define RESOURCE_FIELD_H

#include "resource_parse.h"

BEGIN_DECLS

/* How a field is checked, and the type it is stored as. */
enum field_type
{
  FIELD_NAME,   /* char[RESOURCE_NAME_SIZE], a resource name */
  FIELD_TEXT,   /* char[RESOURCE_ADDRESS_SIZE], printable */
  FIELD_COUNT,  /* uint32_t */
  FIELD_NUMBER, /* double */
  FIELD_MSEC,   /* int64_t USEC, milliseconds in JSON */
  FIELD_BOOL,   /* bool */
  FIELD_CHOICE, /* enum as int, one of `texts` */
  FIELD_CUSTOM  /* by `read` */
};

/* One field of an object.  A field that is absent keeps what the struct held, unless required. */
struct field
{
  const char *name;
  enum field_type type;
  size_t offset;
  double min;
  double max;
  const char *const *texts; /* NULL after the last */
  bool required;

  /* `path` is the field's own path. */
  enum status (*read) (const json_t *value,
                       void *out,
                       const char *path,
                       struct resource_problem *problem);
};

/* Read `object` into `out` by `fields`, which end with a NULL name. */
enum status fields_read (const struct field *fields,
                         const json_t *object,
                         void *out,
                         const char *path,
                         struct resource_problem *problem);

/* STATUS_INVALID with the field's path and the message. */
enum status field_problem (struct resource_problem *problem, const char *path, const char *message);

/* An array of at most `max` names into `names`. */
enum status field_names (const json_t *value,
                         char (*names)[RESOURCE_NAME_SIZE],
                         uint32_t *count,
                         uint32_t max,
                         const char *path,
                         struct resource_problem *problem);

/* 64 hex digits. */
enum status field_hash (const json_t *value,
                        uint8_t out[RESOURCE_TOKEN_HASH_SIZE],
                        const char *path,
                        struct resource_problem *problem);

END_DECLS

#endif
